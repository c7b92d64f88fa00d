//! Faults that the soak test injects to verify that its checks detect them.
//!
//! They are compiled in only with the feature `plant`. The environment variable
//! `MASTICLOCK_PLANT` selects one of them.

/// A deliberate bug.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Resends a non-repeatable request after its answer was lost.
    RepeatUnsafe,
    /// Accepts API keys without a valid lease.
    NoLease,
    /// Lets an older configuration replace a newer one.
    OldRevision,
    /// Acknowledges the last disk write before it has completed.
    NoSync,
    /// Ignores the notice in an answer that its upstream is leaving.
    NoNotice,
    /// Ignores an upstream's backoff request.
    NoQuiet,
    /// Ignores the limits that upstreams state.
    NoLimit,
    /// Sends requests although they crash upstreams.
    NoBan,
    /// Makes no experiment with parts of prompts that only ran together.
    NoExperiment,
    /// Ignores how many requests upstreams can reject.
    NoBrittle,
    /// Gives up a transfer that takes longer than half a second.
    LimitTransfer,
    /// Starts a transfer again from its first byte at each part.
    RestartTransfer,
    /// Obeys a configuration although a newer one has to be in force.
    ObeyOutdated,
}

impl Fault {
    /// Returns whether the fault is injected in this process.
    #[cfg(feature = "plant")]
    #[must_use]
    pub fn is_injected(self) -> bool {
        let name = match self {
            Self::RepeatUnsafe => "repeat-unsafe",
            Self::NoLease => "no-lease",
            Self::OldRevision => "old-revision",
            Self::NoSync => "no-sync",
            Self::NoNotice => "no-notice",
            Self::NoQuiet => "no-quiet",
            Self::NoLimit => "no-limit",
            Self::NoBan => "no-ban",
            Self::NoExperiment => "no-experiment",
            Self::NoBrittle => "no-brittle",
            Self::LimitTransfer => "limit-transfer",
            Self::RestartTransfer => "restart-transfer",
            Self::ObeyOutdated => "obey-outdated",
        };
        std::env::var("MASTICLOCK_PLANT").is_ok_and(|selected| selected == name)
    }

    /// Returns whether the fault is injected in this process.
    #[cfg(not(feature = "plant"))]
    #[must_use]
    pub const fn is_injected(self) -> bool {
        false
    }
}
