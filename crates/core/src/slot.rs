//! Slots: leases that limit the concurrent requests on an upstream.
//!
//! Each upstream has one owner, an instance that grants a slot for each
//! request. The owner is the instance of the upstream's failure domain that
//! ranks highest by rendezvous hashing (Thaler and Ravishankar, 1998). Its
//! ownership is itself a lease: the upstream renews it by echoing the owner's
//! last token in each announcement.

mod holder;
mod ownership;
mod slow_start;
mod table;

pub use holder::{Held, Holder};
pub use ownership::{Ownership, Token};
pub use slow_start::SlowStart;
pub use table::{Grant, Handover, Table};

use serde::{Deserialize, Serialize};

use crate::{
    name, request,
    time::{Span, Time},
};

/// Time for which an owner may grant slots after it issued the token that was echoed last.
pub const OWNER_LEASE: Span = Span::from_secs(4);
/// Time from the request for a slot within which its work must start.
pub const START_TIMEOUT: Span = Span::from_millis(250);
/// Duration of a slot that is not renewed.
pub const SLOT_LEASE: Span = Span::from_secs(3);
/// Interval at which the holder of a slot renews it.
pub const RENEWAL_INTERVAL: Span = Span::from_secs(1);
/// Longest duration of a slot that is granted without renewals.
pub const MAX_HOLD: Span = Span::from_secs(30);
/// Largest error of a clock's rate, in thousandths.
pub const MAX_CLOCK_DRIFT_PERMILLE: u64 = 10;
/// Interval between the announcements of an upstream.
pub const ANNOUNCEMENT_INTERVAL: Span = Span::from_secs(1);
/// Interval between announcements until the upstream has echoed the owner's token.
pub const HANDSHAKE_INTERVAL: Span = Span::from_millis(100);

/// Returns the time to wait on the local clock until `span` has passed on every other clock.
///
/// With a drift of `d`, the slowest clock needs `1 / (1 - d)` to advance by one
/// unit, and the fastest advances by `1 + d` for each unit of real time. The
/// factor is therefore `(1 + d) / (1 - d)`, rounded up.
#[must_use]
pub const fn with_clock_drift(span: Span) -> Span {
    let millis = span.as_millis() * (1_000 + MAX_CLOCK_DRIFT_PERMILLE);
    Span::from_millis(millis.div_ceil(1_000 - MAX_CLOCK_DRIFT_PERMILLE) + 1)
}

/// Time that a new owner waits before it grants slots on an engine.
///
/// By then the previous owner's lease and every slot that it granted have expired.
pub const ENGINE_TAKEOVER_WAIT: Span =
    with_clock_drift(OWNER_LEASE.plus(START_TIMEOUT).plus(SLOT_LEASE));
/// Time that a new owner waits before it grants slots on a plain service, whose slots can last
/// for [`MAX_HOLD`].
pub const SERVICE_TAKEOVER_WAIT: Span =
    with_clock_drift(OWNER_LEASE.plus(START_TIMEOUT).plus(MAX_HOLD));

plain! {
    /// A request for a slot.
    #[derive(Eq)]
    pub struct Acquire {
        /// The request that needs the slot.
        pub request: name::Request,
        /// The client account, for fair sharing.
        pub account: name::Account,
        /// Digest of the request, for crash evidence; `None` for calls of plain services.
        #[serde(default)]
        pub fingerprint: Option<request::Fingerprint>,
        /// What the upstream has to serve.
        pub target: Target,
        /// Upstreams on which this request failed before.
        pub avoid: Vec<name::Upstream>,
        /// How long the requester waits for a slot.
        pub wait: Span,
        /// Duration of a slot without renewals, for calls that can't be cancelled; `None` for a
        /// slot that is renewed.
        pub hold: Option<Span>,
    }

    /// What a request needs from an upstream.
    #[derive(Eq, PartialOrd, Ord)]
    pub enum Target {
        /// An engine that has the model version loaded.
        Version(name::Version),
        /// An upstream of the plain service.
        Service(name::Service),
    }

    /// A granted slot, as its holder keeps it.
    #[derive(Eq)]
    pub struct Lease {
        /// Id, unique for the owner.
        pub id: u64,
        /// The owner of the upstream.
        pub owner: name::Instance,
        /// The upstream.
        pub upstream: name::Upstream,
        /// Incarnation of the upstream for which the slot was granted.
        pub incarnation: u64,
        /// Base URL of the upstream.
        pub address: String,
        /// Address of the owner if the upstream is in another failure domain.
        pub far: Option<String>,
    }

    /// The owner's response to an announcement.
    #[derive(Eq)]
    pub struct AnnouncementResponse {
        /// The token to echo in the next announcement.
        pub token: Token,
        /// Time until the next announcement.
        pub interval: Span,
    }

    /// What gets no new work. All lists are sorted.
    #[derive(Default, Eq)]
    pub struct Exclusions {
        /// Failure domains that are taken out of service.
        pub domains: Vec<name::Domain>,
        /// Upstreams that are drained.
        pub upstreams: Vec<name::Upstream>,
        /// Versions that are withdrawn.
        pub versions: Vec<name::Version>,
    }
}

/// How work in a slot ended, as its holder reports it to the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Report {
    /// The work completed.
    Completed {
        /// Time to the first token in milliseconds.
        first_ms: u64,
    },
    /// The upstream refused the work because it is overloaded.
    Refused,
    /// No byte was sent to the upstream.
    NotSent,
    /// The upstream accepted no connection; its process may have ended.
    Unreachable,
    /// The connection broke or timed out while the work ran.
    Failed,
    /// The caller cancelled the work.
    Cancelled,
}

/// Why an owner refuses a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The owner has no upstream that may serve the request.
    NoUpstream,
    /// All slots are in use.
    Full,
    /// The owner may not grant slots before this time on its clock.
    Waiting(Time),
    /// The requested duration exceeds [`MAX_HOLD`].
    Long,
}

/// The owner's response to a renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Renewal {
    /// The slot now lasts until [`SLOT_LEASE`] after the renewal was sent.
    Renewed,
    /// The owner may not renew slots now. The expiry of the slot is unchanged.
    Later,
    /// The slot has expired or was released. Its work must be cancelled.
    Gone,
}

/// Returns the candidate that ranks highest for a key by rendezvous hashing.
pub fn rendezvous<'a, I>(key: &str, candidates: I) -> Option<&'a name::Instance>
where
    I: IntoIterator<Item = &'a name::Instance>,
{
    candidates
        .into_iter()
        .max_by_key(|candidate| (rank(key, candidate), *candidate))
}

/// Returns the rank of an instance for a key, a BLAKE3 hash of both.
fn rank(key: &str, candidate: &name::Instance) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.as_bytes());
    // A name can't contain a NUL byte, so the two parts can't be confused.
    hasher.update(&[0]);
    hasher.update(candidate.as_str().as_bytes());
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    u64::from_le_bytes(bytes)
}
