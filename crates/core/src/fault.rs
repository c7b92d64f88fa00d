//! Faults that the soak plants to show that it finds them.
//!
//! They exist only in programs that are built with the feature `plant`.

/// A planted fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Requests that may run once are sent again after a lost answer.
    RepeatUnsafe,
    /// Keys are believed without a lease.
    NoLease,
    /// An older configuration replaces a newer one.
    OldRevision,
    /// The last write to a disk is acknowledged before it is done.
    NoSync,
    /// What an upstream says in an answer of its leaving is passed over.
    NoNotice,
    /// An upstream's request for quiet is passed over.
    NoQuiet,
}

impl Fault {
    /// Returns whether the fault is planted in this process.
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
        };
        std::env::var("MASTICLOCK_PLANT").is_ok_and(|planted| planted == name)
    }

    /// Returns whether the fault is planted in this process.
    #[cfg(not(feature = "plant"))]
    #[must_use]
    pub const fn is_injected(self) -> bool {
        false
    }
}
