//! Permits to send requests to an upstream with a limit.
//!
//! A limit is summed over all instances, and it may allow fewer requests than there are instances,
//! so it is not divided into rates. The leader of the control instances fills one bucket for each
//! upstream and hands out whole permits, each for one request and valid for a short time. Control
//! instances pass them on to the entry instances that poll them. A permit that is lost is never
//! used, so no party waits for another one: a new leader starts with empty buckets.

use std::sync::Arc;

use crate::{
    limit::Rate,
    time::{Span, Time},
};

/// Validity of a permit, from the time when the poll was sent that it answers.
pub const PERMIT_LIFETIME: Span = Span::from_secs(1);

/// Validity of a permit for a request that its upstream may reject. It serves one request after the
/// other, so it is worth more the longer it lasts.
pub const REJECT_PERMIT_LIFETIME: Span = Span::from_secs(2);

/// Time from taking a permit within which its request must be sent.
pub const SEND_TIMEOUT: Span = Span::from_millis(500);

/// Smallest rate at which requests are sent. Below it an upstream accepts none, and is only asked
/// for its limit.
const MIN_RATE: Rate = Rate::from_milli(50);

/// Rate of the questions for the limit of an upstream that accepts no requests.
const INQUIRY_RATE: Rate = Rate::from_milli(200);

/// Part of a limit that is not handed out, but used by instances without contact to the leader.
const RESERVE_DIVISOR: u64 = 8;

/// Longest slot of an instance without contact.
const MAX_SLOT: Span = Span::from_secs(2);

/// Time for which permits are kept in advance: two polls and the way to the leader.
pub(crate) const LEAD_TIME: Span = Span::from_millis(500);

/// Beginning of the names under which permits for requests that may be rejected are kept.
const REJECT_PREFIX: &str = "reject/";

/// Returns the name under which the permits are kept for requests that an upstream may reject.
#[must_use]
pub fn reject_permit_name(upstream: &str) -> Arc<str> {
    format!("{REJECT_PREFIX}{upstream}").into()
}

/// Returns the upstream whose permits for requests that it may reject have this name.
#[must_use]
pub fn reject_permit_upstream(name: &str) -> Option<&str> {
    name.strip_prefix(REJECT_PREFIX)
}

/// Returns the validity of a permit with this name.
pub(super) fn lifetime(name: &str) -> Span {
    match reject_permit_upstream(name) {
        Some(_) => REJECT_PERMIT_LIFETIME,
        None => PERMIT_LIFETIME,
    }
}

plain! {
    /// The permits that a borrower needs for an upstream.
    #[derive(Eq)]
    pub struct Want {
        /// The upstream.
        pub upstream: Arc<str>,
        /// Its incarnation.
        pub incarnation: u64,
        /// Number of permits that are needed now.
        pub count: u32,
        /// Rate at which the borrower expects to need permits, for which its lender keeps some.
        pub demand: Rate,
    }

    /// Permits that a borrower gives back to its lender.
    #[derive(Eq)]
    pub struct Return {
        /// Name under which they are kept.
        pub upstream: Arc<str>,
        /// Incarnation of the upstream.
        pub incarnation: u64,
        /// Number of permits.
        pub count: u32,
    }

    /// The permits that a lender gives.
    #[derive(Eq)]
    pub struct Permit {
        /// The upstream.
        pub upstream: Arc<str>,
        /// Its incarnation.
        pub incarnation: u64,
        /// Number of permits.
        pub count: u32,
        /// Validity from the time when the borrower sent its poll.
        pub valid: Span,
        /// Whether the lender could not give all that its borrowers want.
        pub scarce: bool,
    }
}

impl Rate {
    /// Returns whether an upstream with this limit accepts requests.
    #[must_use]
    pub fn accepts_requests(self) -> bool {
        self >= MIN_RATE
    }

    /// Returns the rate of the permits for this limit.
    #[must_use]
    pub fn permits(self) -> Self {
        if self.accepts_requests() {
            self
        } else {
            INQUIRY_RATE
        }
    }

    /// Returns the number of requests in a time, rounded up.
    pub(super) fn requests_in(self, time: Span) -> u32 {
        let millionths = self.as_milli().saturating_mul(time.as_millis());
        u32::try_from(millionths.div_ceil(1_000_000)).unwrap_or(u32::MAX)
    }

    /// Returns the time between two requests.
    #[must_use]
    pub fn interval(self) -> Span {
        Span::from_millis(1_000_000 / self.as_milli().max(1))
    }

    /// Returns the part of the permits that the leader hands out.
    pub(super) fn lendable(self) -> Self {
        let all = self.permits().as_milli();
        Self::from_milli(all - all / RESERVE_DIVISOR)
    }
}

/// The part of a limit that an instance without contact to the leader uses.
///
/// It follows from the limit and the number of instances alone: each instance may send one request
/// in its own slot of each period. The slots of the instances are spread over the period.
#[derive(Clone, Copy, Debug)]
pub struct Reserve {
    /// Time between the starts of two slots.
    period: Span,
    /// Length of a slot.
    slot: Span,
    /// Start of the first slot.
    phase: u64,
}

impl Reserve {
    /// Returns the reserve of one of `instances` instances. `draw` differs between instances and
    /// upstreams.
    #[must_use]
    pub fn new(limit: Rate, instances: usize, draw: u64) -> Self {
        let instances = u64::try_from(instances.max(1)).unwrap_or(u64::MAX);
        let per_request = 1_000_000 * RESERVE_DIVISOR;
        let period = per_request.saturating_mul(instances) / limit.permits().as_milli().max(1);
        let period = Span::from_millis(period.max(1));
        Self {
            period,
            slot: period.min(MAX_SLOT),
            phase: draw % period.as_millis(),
        }
    }

    /// Returns whether the instance, which last sent a request at `last`, may send one.
    #[must_use]
    pub fn allows(&self, last: Option<Time>, now: Time) -> bool {
        let position = (now.as_millis() + self.phase) % self.period.as_millis();
        position < self.slot.as_millis() && last.is_none_or(|last| now.since(last) >= self.slot)
    }
}
