use std::fmt;

use serde::{Deserialize, Serialize};

use crate::name;

/// Random identity of a replica, stored in its data folder.
///
/// A replica that lost its data gets a new one, because the old identity may have voted or
/// acknowledged entries that are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Identity(u64);

impl Identity {
    /// Creates an identity from a random number.
    #[must_use]
    pub const fn from_random(random: u64) -> Self {
        Self(random)
    }

    /// Returns the random number.
    #[must_use]
    pub const fn as_u64(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

plain! {
    /// A voter or learner of the replica set.
    #[derive(Eq)]
    pub struct Member {
        /// Identity of its data folder.
        pub id: Identity,
        /// The instance that runs it.
        pub instance: name::Instance,
        /// IP address and port of its control process.
        pub address: String,
    }

    /// The replica set. All lists are sorted by identity.
    #[derive(Eq, Default)]
    pub struct Members {
        /// Replicas that vote and count toward a majority.
        pub voters: Vec<Member>,
        /// Replicas that receive the log without counting toward a majority.
        pub learners: Vec<Member>,
        /// Identities that were removed and can't be added again.
        pub removed: Vec<Identity>,
    }
}

impl Members {
    /// Returns whether the identity is a voter.
    #[must_use]
    pub fn is_voter(&self, id: Identity) -> bool {
        find(&self.voters, id).is_ok()
    }

    /// Returns whether the identity is a learner.
    #[must_use]
    pub fn is_learner(&self, id: Identity) -> bool {
        find(&self.learners, id).is_ok()
    }

    /// Returns whether the identity was removed.
    #[must_use]
    pub fn is_removed(&self, id: Identity) -> bool {
        self.removed.binary_search(&id).is_ok()
    }

    /// Returns the voter or learner with that identity.
    #[must_use]
    pub fn member(&self, id: Identity) -> Option<&Member> {
        let voter = find(&self.voters, id).ok().map(|at| &self.voters[at]);
        voter.or_else(|| find(&self.learners, id).ok().map(|at| &self.learners[at]))
    }

    /// Returns the number of voters that form a majority.
    #[must_use]
    pub const fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns the replica set with `member` as an additional learner.
    ///
    /// # Errors
    ///
    /// Returns an error if the identity was removed or is a replica already.
    pub fn with_learner(&self, member: Member) -> Result<Self, String> {
        if self.is_removed(member.id) {
            return Err(format!("identity {} was removed for good", member.id));
        }
        if self.member(member.id).is_some() {
            return Err(format!("identity {} is already a replica", member.id));
        }
        let mut next = self.clone();
        insert(&mut next.learners, member);
        Ok(next)
    }

    /// Returns the replica set with the learner as a voter.
    ///
    /// # Errors
    ///
    /// Returns an error if the identity is not a learner.
    pub fn with_promoted(&self, id: Identity) -> Result<Self, String> {
        let at = find(&self.learners, id).map_err(|_| format!("identity {id} is not a learner"))?;
        let mut next = self.clone();
        let member = next.learners.remove(at);
        insert(&mut next.voters, member);
        Ok(next)
    }

    /// Returns the replica set without the replica, whose identity can't be added again.
    ///
    /// # Errors
    ///
    /// Returns an error if the identity is not a replica or is the last voter.
    pub fn without(&self, id: Identity) -> Result<Self, String> {
        let mut next = self.clone();
        next.voters.retain(|m| m.id != id);
        next.learners.retain(|m| m.id != id);
        if next == *self {
            return Err(format!("identity {id} is not a replica"));
        }
        if next.voters.is_empty() {
            return Err("the last voter can't be removed".to_owned());
        }
        if let Err(at) = next.removed.binary_search(&id) {
            next.removed.insert(at, id);
        }
        Ok(next)
    }
}

/// Returns the position of the identity in a sorted list, or where to insert it.
fn find(list: &[Member], id: Identity) -> Result<usize, usize> {
    list.binary_search_by_key(&id, |m| m.id)
}

fn insert(list: &mut Vec<Member>, member: Member) {
    if let Err(at) = find(list, member.id) {
        list.insert(at, member);
    }
}
