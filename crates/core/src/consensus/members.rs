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
