//! Borders between the request path and the parts that need other processes.

use futures_util::future::BoxFuture;
pub use masticlock_core::slot::Report;
use masticlock_core::{claim, error, ledger, slot};

/// Lends slots on upstreams.
pub trait Slots: Send + Sync {
    /// Waits for a slot, at most as long as the request says.
    ///
    /// # Errors
    ///
    /// Returns an error that says "not run" when no slot can be had.
    fn acquire(&self, ask: slot::Ask) -> BoxFuture<'_, Result<slot::Lease, error::Error>>;

    /// Returns a slot, with what its holder saw of the upstream.
    fn release(&self, lease: slot::Lease, report: Report);
}

/// Claims calls that must not be repeated.
pub trait Claims: Send + Sync {
    /// Claims a call. `Granted` is durable on a majority.
    ///
    /// # Errors
    ///
    /// Returns [`error::Kind::ClaimUnavailable`] when it is certain that the
    /// call may not be sent.
    fn begin(&self, ask: claim::Ask) -> BoxFuture<'_, Result<claim::Verdict, error::Error>>;

    /// Records how a claimed call ended.
    ///
    /// # Errors
    ///
    /// Returns an error when the end isn't durable yet; the caller repeats it.
    fn finish(&self, key: claim::Key, end: claim::End) -> BoxFuture<'_, Result<(), error::Error>>;
}

/// Keeps bills until two disks have them.
pub trait Bills: Send + Sync {
    /// Records that a request is about to be answered, at another instance.
    fn open(&self, bill: ledger::Bill) -> BoxFuture<'_, Result<(), error::Error>>;

    /// Replaces the open record by the final bill and sees to its delivery.
    fn settle(&self, bill: ledger::Bill);
}
