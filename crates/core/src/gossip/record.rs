//! Records and their order.

use serde::{Deserialize, Serialize};

use crate::{config, directory::Announcement, name, suspect};

/// Whether a member takes part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// Takes part.
    Alive,
    /// Finishes its work and owns nothing any more.
    Leaving,
    /// Missed direct calls.
    Suspect,
    /// Removed.
    Gone,
}

impl Status {
    /// Returns whether the member may still answer.
    #[must_use]
    pub const fn is_present(self) -> bool {
        matches!(self, Self::Alive | Self::Leaving)
    }
}

plain! {
    /// What a record is about.
    #[derive(Eq, PartialOrd, Ord)]
    pub enum Key {
        /// An entry instance.
        Member(name::Instance),
        /// An upstream.
        Upstream(name::Upstream),
        /// A restriction that was made without the majority.
        Restriction(name::Restriction),
        /// Evidence about crashes.
        Evidence(suspect::Id),
    }

    /// An entry instance.
    #[derive(Eq)]
    pub struct Member {
        /// Where other instances reach it.
        pub address: String,
        /// Whether it takes part.
        pub status: Status,
    }

    /// What a record says.
    #[derive(Eq)]
    pub enum Body {
        /// An entry instance.
        Member(Member),
        /// An upstream as it last announced itself, without the token.
        Upstream(Announcement),
        /// A restriction.
        Restriction(config::Restriction),
        /// Evidence about crashes.
        Evidence(suspect::Evidence),
        /// The record was removed.
        Removed,
    }

    /// A version of a record. The one with the larger
    /// (incarnation, sequence, rank) stays.
    #[derive(Eq)]
    pub struct Record {
        /// What it is about.
        pub key: Key,
        /// Number that grows with each start of what it is about.
        pub incarnation: u64,
        /// Number that grows with each change.
        pub sequence: u64,
        /// What it says.
        pub body: Body,
    }
}

impl Record {
    /// Returns a number that decides between records of one sequence: a removal
    /// outranks a suspicion, and a suspicion outranks everything else.
    #[must_use]
    pub const fn rank(&self) -> u8 {
        match &self.body {
            Body::Member(member) => match member.status {
                Status::Alive | Status::Leaving => 0,
                Status::Suspect => 1,
                Status::Gone => 2,
            },
            Body::Removed => 2,
            Body::Upstream(_) | Body::Restriction(_) | Body::Evidence(_) => 0,
        }
    }

    /// Returns whether the record is a tombstone.
    #[must_use]
    pub const fn is_tombstone(&self) -> bool {
        self.rank() == 2
    }

    /// Returns a hash of the record, equal on all instances.
    ///
    /// # Panics
    ///
    /// Never: records always serialize.
    #[must_use]
    pub fn hash(&self) -> u64 {
        let bytes = serde_json::to_vec(self).expect("records serialize");
        let mut head = [0; 8];
        head.copy_from_slice(&blake3::hash(&bytes).as_bytes()[..8]);
        u64::from_le_bytes(head)
    }
}
