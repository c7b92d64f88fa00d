//! Slots on upstreams.
//!
//! Each upstream has one owner, which lends a slot for each request. The
//! owner is the first of its failure domain's instances in rendezvous order
//! (Thaler and Ravishankar, 1998). Its lease on the upstream is renewed by the
//! upstream's announcements, which echo the owner's last token.

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

/// How long an owner may grant slots after it issued the last echoed token.
pub const OWNER_LEASE: Span = Span::from_secs(4);
/// How long after the request for a slot its work may start.
pub const START_TIMEOUT: Span = Span::from_millis(250);
/// How long a slot lasts without a renewal.
pub const SLOT_LEASE: Span = Span::from_secs(3);
/// How often the holder of a slot renews it.
pub const RENEWAL_INTERVAL: Span = Span::from_secs(1);
/// Longest time for which a slot can be held without a renewal.
pub const MAX_HOLD: Span = Span::from_secs(30);
/// Largest deviation of the rate of a clock, in thousandths.
pub const MAX_CLOCK_DRIFT_PERMILLE: u64 = 10;
/// Interval between announcements.
pub const ANNOUNCEMENT_INTERVAL: Span = Span::from_secs(1);
/// Interval between announcements until the owner's token has been echoed.
pub const HANDSHAKE_INTERVAL: Span = Span::from_millis(100);

/// Returns the time to count here until `span` has passed on any other clock.
///
/// The slowest clock takes `1 / (1 - d)` and the fastest counts `1 + d` for
/// each unit of time, so the factor is `(1 + d) / (1 - d)`, rounded up.
#[must_use]
pub const fn with_clock_drift(span: Span) -> Span {
    let millis = span.as_millis() * (1_000 + MAX_CLOCK_DRIFT_PERMILLE);
    Span::from_millis(millis.div_ceil(1_000 - MAX_CLOCK_DRIFT_PERMILLE) + 1)
}

/// How long a new owner waits before it grants slots on an engine.
pub const ENGINE_TAKEOVER_WAIT: Span =
    with_clock_drift(OWNER_LEASE.plus(START_TIMEOUT).plus(SLOT_LEASE));
/// How long a new owner waits before it grants slots on a plain service.
pub const SERVICE_TAKEOVER_WAIT: Span =
    with_clock_drift(OWNER_LEASE.plus(START_TIMEOUT).plus(MAX_HOLD));

plain! {
    /// A request for a slot.
    #[derive(Eq)]
    pub struct Acquire {
        /// The request that needs it.
        pub request: name::Request,
        /// The client account, for fair shares.
        pub account: name::Account,
        /// Digest of the work, for crash evidence; `None` for calls of plain services.
        #[serde(default)]
        pub fingerprint: Option<request::Fingerprint>,
        /// What the upstream must serve.
        pub target: Target,
        /// Upstreams that failed this request before.
        pub avoid: Vec<name::Upstream>,
        /// How long the requester waits.
        pub wait: Span,
        /// How long the slot is needed without renewal; only for calls that can't be cancelled.
        pub hold: Option<Span>,
    }

    /// What a request needs from an upstream.
    #[derive(Eq, PartialOrd, Ord)]
    pub enum Target {
        /// An engine that has the version loaded.
        Version(name::Version),
        /// An upstream of the plain service.
        Service(name::Service),
    }

    /// A slot that is lent.
    #[derive(Eq)]
    pub struct Lease {
        /// Id, unique at its owner.
        pub id: u64,
        /// The owner of the upstream.
        pub owner: name::Instance,
        /// The upstream.
        pub upstream: name::Upstream,
        /// Incarnation of the upstream that the slot is for.
        pub incarnation: u64,
        /// Base URL of the upstream.
        pub address: String,
        /// Address of the owner, if the upstream is in another failure domain.
        pub far: Option<String>,
    }

    /// The answer to an announcement.
    #[derive(Eq)]
    pub struct AnnouncementResponse {
        /// The token that the next announcement echoes.
        pub token: Token,
        /// Time until the next announcement.
        pub interval: Span,
    }

    /// What is closed for new work. Lists are sorted.
    #[derive(Default, Eq)]
    pub struct Exclusions {
        /// Failure domains that are taken out.
        pub domains: Vec<name::Domain>,
        /// Upstreams that are drained.
        pub upstreams: Vec<name::Upstream>,
        /// Versions that are withdrawn.
        pub versions: Vec<name::Version>,
    }
}

/// What the holder of a slot saw of the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Report {
    /// The work completed; the first token came after that many milliseconds.
    Completed {
        /// Milliseconds to the first token.
        first_ms: u64,
    },
    /// The upstream refused the work as overloaded.
    Refused,
    /// No byte was sent.
    NotSent,
    /// The upstream took no connection, so that its process may have ended.
    Unreachable,
    /// The connection broke or went silent while the work ran.
    Failed,
    /// The work was cancelled by its caller.
    Cancelled,
}

/// Why an owner grants no slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The owner has no upstream that may run the work.
    NoUpstream,
    /// All slots are lent.
    Full,
    /// The owner may not grant yet; it can at that time on its clock at the earliest.
    Waiting(Time),
    /// The work would outlast [`MAX_HOLD`].
    Long,
}

/// What an owner answers to a renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Renewal {
    /// The slot lasts for another [`SLOT_LEASE`] from when the renewal was sent.
    Renewed,
    /// The owner may not renew now. The slot lasts as long as before.
    Later,
    /// The slot is not lent any more. Its work is cancelled.
    Gone,
}

/// Returns the candidate that ranks highest for a key in rendezvous order.
pub fn rendezvous<'a, I>(key: &str, candidates: I) -> Option<&'a name::Instance>
where
    I: IntoIterator<Item = &'a name::Instance>,
{
    candidates
        .into_iter()
        .max_by_key(|candidate| (weight(key, candidate), *candidate))
}

/// Returns the weight of an instance for a key, by BLAKE3.
fn weight(key: &str, candidate: &name::Instance) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.as_bytes());
    // A name can't contain a NUL byte, so the two parts can't run together.
    hasher.update(&[0]);
    hasher.update(candidate.as_str().as_bytes());
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    u64::from_le_bytes(bytes)
}
