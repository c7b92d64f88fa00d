//! Upstreams as they announce themselves.

use crate::{inventory, name, slot};

/// Whether an upstream takes work.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Takes work up to its warm limit.
    Ready,
    /// Takes work up to its cold limit.
    Cold,
    /// Finishes its work and takes no more.
    Leaving,
}

plain! {
    /// What an upstream says of itself, at the interval that the last answer named.
    #[derive(Eq)]
    pub struct Announcement {
        /// The upstream.
        pub upstream: name::Upstream,
        /// Number that grows with each start of the upstream.
        pub incarnation: u64,
        /// Base URL.
        pub address: String,
        /// Its failure domain.
        pub domain: name::Domain,
        /// What it offers.
        pub offer: inventory::Offer,
        /// The plain service it belongs to.
        #[serde(default)]
        pub service: Option<name::Service>,
        /// Versions that are loaded.
        #[serde(default)]
        pub versions: Vec<name::Version>,
        /// Most requests at once when warm.
        pub warm: u32,
        /// Most requests at once in a cold start.
        pub cold: u32,
        /// Whether it refuses orders with an old fencing number.
        #[serde(default)]
        pub fences: bool,
        /// Whether it takes work.
        pub state: State,
        /// The token of the last answer.
        #[serde(default)]
        pub token: Option<slot::Token>,
    }
}

impl Announcement {
    /// Returns whether the upstream offers what is asked for.
    #[must_use]
    pub fn serves(&self, target: &slot::Target) -> bool {
        match target {
            slot::Target::Version(version) => self.versions.contains(version),
            slot::Target::Service(service) => self.service.as_ref() == Some(service),
        }
    }
}
