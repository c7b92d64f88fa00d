//! Gossip records and their precedence.

use serde::{Deserialize, Serialize};

use crate::{config, directory::Announcement, name, suspect};

/// Status of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// Takes part and can own upstreams.
    Alive,
    /// Finishes its work and owns nothing any more.
    Leaving,
    /// Did not answer several calls in a row.
    Suspect,
    /// Removed after it was suspected.
    Gone,
}

impl Status {
    /// Returns whether the member is neither suspected nor removed.
    #[must_use]
    pub const fn is_present(self) -> bool {
        matches!(self, Self::Alive | Self::Leaving)
    }
}

plain! {
    /// Key of a record.
    #[derive(Eq, PartialOrd, Ord)]
    pub enum Key {
        /// An entry instance.
        Member(name::Instance),
        /// An upstream.
        Upstream(name::Upstream),
        /// A restriction that was made without a majority of the control replicas.
        Restriction(name::Restriction),
        /// Evidence about crashes.
        Evidence(suspect::Id),
    }

    /// An entry instance as a member of its failure domain.
    #[derive(Eq)]
    pub struct Member {
        /// Address at which other instances reach it.
        pub address: String,
        /// Status of the member.
        pub status: Status,
    }

    /// Content of a record.
    #[derive(Eq)]
    pub enum Body {
        /// An entry instance.
        Member(Member),
        /// The last announcement of an upstream, without the token.
        Upstream(Announcement),
        /// A restriction.
        Restriction(config::Restriction),
        /// Evidence about crashes.
        Evidence(suspect::Evidence),
        /// The record was removed. This is a tombstone.
        Removed,
    }

    /// A record in one version. Of two versions, the one with the larger
    /// (incarnation, sequence, rank) takes precedence.
    #[derive(Eq)]
    pub struct Record {
        /// Key of the record.
        pub key: Key,
        /// Number that increases with each start of the instance or upstream.
        pub incarnation: u64,
        /// Number that increases with each change.
        pub sequence: u64,
        /// Content of the record.
        pub body: Body,
    }
}

impl Record {
    /// Returns the rank, which decides between versions with the same sequence number: a removal
    /// takes precedence over a suspicion, and a suspicion over everything else.
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

    /// Returns whether the record is a tombstone, which is a removed record or member.
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
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&blake3::hash(&bytes).as_bytes()[..8]);
        u64::from_le_bytes(prefix)
    }
}
