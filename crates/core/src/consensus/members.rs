use std::fmt;

use serde::{Deserialize, Serialize};

use crate::name;

/// Random identity of a data folder.
///
/// A folder that lost its data gets a new one, because the votes and entries that the old identity
/// promised to keep are gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Identity(u64);

impl Identity {
    /// Returns the identity with that random number.
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
    /// A replica that takes part in the log.
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
        /// Replicas that count toward the majority.
        pub voters: Vec<Member>,
        /// Replicas that receive the log and don't count.
        pub learners: Vec<Member>,
        /// Identities that never take part again.
        pub removed: Vec<Identity>,
    }
}

impl Members {
    /// Returns whether the replica counts toward the majority.
    #[must_use]
    pub fn is_voter(&self, id: Identity) -> bool {
        find(&self.voters, id).is_ok()
    }

    /// Returns whether the replica receives the log without counting.
    #[must_use]
    pub fn is_learner(&self, id: Identity) -> bool {
        find(&self.learners, id).is_ok()
    }

    /// Returns whether the replica was removed.
    #[must_use]
    pub fn is_removed(&self, id: Identity) -> bool {
        self.removed.binary_search(&id).is_ok()
    }

    /// Returns the voter or learner.
    #[must_use]
    pub fn member(&self, id: Identity) -> Option<&Member> {
        let voter = find(&self.voters, id).ok().map(|at| &self.voters[at]);
        voter.or_else(|| find(&self.learners, id).ok().map(|at| &self.learners[at]))
    }

    /// Returns the number of voters that is a majority.
    #[must_use]
    pub const fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns the replica set with another learner.
    ///
    /// # Errors
    ///
    /// Returns why the replica can't be added.
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
    /// Returns why the replica can't be promoted.
    pub fn with_promoted(&self, id: Identity) -> Result<Self, String> {
        let at = find(&self.learners, id).map_err(|_| format!("identity {id} is not a learner"))?;
        let mut next = self.clone();
        let member = next.learners.remove(at);
        insert(&mut next.voters, member);
        Ok(next)
    }

    /// Returns the replica set without the replica.
    ///
    /// # Errors
    ///
    /// Returns why the replica can't be removed.
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

fn find(list: &[Member], id: Identity) -> Result<usize, usize> {
    list.binary_search_by_key(&id, |m| m.id)
}

fn insert(list: &mut Vec<Member>, member: Member) {
    if let Err(at) = find(list, member.id) {
        list.insert(at, member);
    }
}
