//! Borders between the request path and the parts that need other processes.

use std::{sync::Arc, time::Instant};

use futures_util::{
    future::{BoxFuture, pending, ready},
    stream::BoxStream,
};
pub use masticlock_core::slot::Report;
use masticlock_core::{
    claim, config, directory, error, evidence, ledger, name, request, slot, time::Span,
};

/// The configuration in force on this instance.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// The configuration.
    pub config: Arc<config::Config>,
    /// When the configuration lease ends; `None` on an instance that needs none.
    pub lease_end: Option<Instant>,
}

impl Snapshot {
    /// Returns how long ago the configuration lease ended, or `None` while it is valid.
    #[must_use]
    pub fn cut_off(&self) -> Option<Span> {
        let ago = Instant::now().checked_duration_since(self.lease_end?)?;
        let millis = u64::try_from(ago.as_millis()).unwrap_or(u64::MAX);
        Some(Span::from_millis(millis))
    }
}

/// A request's place within the limits of its client account, which ends when
/// it is dropped.
pub struct Admission(Option<Box<dyn FnOnce() + Send + Sync>>);

impl Admission {
    /// Returns the place of a request that no limit applies to.
    #[must_use]
    pub const fn unlimited() -> Self {
        Self(None)
    }

    /// Returns a place whose end calls `end`.
    pub fn new<F>(end: F) -> Self
    where
        F: FnOnce() + Send + Sync + 'static,
    {
        Self(Some(Box::new(end)))
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        if let Some(end) = self.0.take() {
            end();
        }
    }
}

/// Lends slots on upstreams.
pub trait Slots: Send + Sync {
    /// Waits for a slot, at most as long as the request says.
    ///
    /// # Errors
    ///
    /// Returns an error that says "not run" when no slot can be had.
    fn acquire(&self, ask: slot::Acquire) -> BoxFuture<'_, Result<slot::Lease, error::Error>>;

    /// Returns a slot, with what its holder saw of the upstream.
    fn release(&self, lease: slot::Lease, report: Report);

    /// Admits a request within the limits of its client account.
    ///
    /// # Errors
    ///
    /// Returns [`error::Kind::RateLimited`] with the time to come back.
    fn admit(&self, _account: &name::Account) -> BoxFuture<'_, Result<Admission, error::Error>> {
        Box::pin(ready(Ok(Admission::unlimited())))
    }

    /// Resolves when the slot can't be renewed any more and its work must end.
    fn lost(&self, _lease: &slot::Lease) -> BoxFuture<'static, ()> {
        Box::pin(pending())
    }
}

/// Takes announcements of upstreams.
pub trait Announcements: Send + Sync {
    /// Records an announcement, or forwards it to the owner of the upstream.
    ///
    /// # Errors
    ///
    /// Returns [`error::Kind::Fenced`] for an old incarnation.
    fn announce(
        &self,
        announcement: directory::Announcement,
    ) -> BoxFuture<'_, Result<slot::AnnouncementResponse, error::Error>>;
}

/// Claims calls that must not be repeated.
pub trait Claims: Send + Sync {
    /// Claims a call. `Granted` is durable on a majority.
    ///
    /// # Errors
    ///
    /// Returns [`error::Kind::ClaimUnavailable`] when it is certain that the
    /// call may not be sent.
    fn begin(&self, ask: claim::Begin) -> BoxFuture<'_, Result<claim::Decision, error::Error>>;

    /// Records how a claimed call ended.
    ///
    /// # Errors
    ///
    /// Returns an error when the end isn't durable yet; the caller repeats it.
    fn finish(
        &self,
        key: claim::Key,
        end: claim::Outcome,
    ) -> BoxFuture<'_, Result<(), error::Error>>;
}

/// Keeps bills until two disks have them.
pub trait Bills: Send + Sync {
    /// Records that a request is about to be answered, at another instance.
    fn open(&self, bill: ledger::Bill) -> BoxFuture<'_, Result<(), error::Error>>;

    /// Replaces the open record by the final bill and sees to its delivery.
    fn settle(&self, bill: ledger::Bill);
}

/// Counts what happened to the work of versions.
pub trait Outcomes: Send + Sync {
    /// Counts an event.
    fn record(&self, key: &evidence::Key, event: evidence::Event);
}

impl Outcomes for crate::evidence::Evidence {
    fn record(&self, key: &evidence::Key, event: evidence::Event) {
        self.record(key, event);
    }
}

/// A part of a stored answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// Status and headers.
    Head {
        /// HTTP status.
        status: u16,
        /// Headers, in lower case.
        headers: Vec<(String, String)>,
    },
    /// A piece of the body.
    Data(Vec<u8>),
    /// The answer is complete.
    End,
    /// The work failed. A repeated request runs anew.
    Failed(error::Error),
}

/// Takes the parts of an answer as they come.
pub trait Recorder: Send {
    /// Appends a part. Dropping the recorder before [`Part::End`] breaks the
    /// answer off for all who follow it.
    fn append(&mut self, part: Part);
}

/// What a request with an idempotency key does.
pub enum Joined {
    /// It runs the work and records the answer.
    First(Box<dyn Recorder>),
    /// It follows an answer from its start. The stream ends without
    /// [`Part::End`] if the answer breaks off.
    Follower(BoxStream<'static, Part>),
}

/// Keeps the answers of model requests with an idempotency key for a bounded
/// time and size.
pub trait Answers: Send + Sync {
    /// Starts or joins the answer of a request.
    ///
    /// # Errors
    ///
    /// Returns [`error::Kind::KeyReused`] if the key was used with another body.
    fn join(
        &self,
        key: claim::Key,
        fingerprint: request::Fingerprint,
    ) -> BoxFuture<'_, Result<Joined, error::Error>>;
}
