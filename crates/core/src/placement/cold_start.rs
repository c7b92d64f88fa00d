//! Upstreams in their cold start, which bear few requests a second from all instances together.

use super::{Pool, Upstream};
use crate::{
    digest,
    time::{Span, Time},
};

/// Minimum time between two requests of one instance to an upstream in its cold start.
///
/// It is longer than a second, so that no window of a second contains two.
pub(super) const REQUEST_INTERVAL: Span = Span::from_millis(1_100);

/// Number of announcement intervals after which an upstream that accepts connections again has
/// announced its new incarnation, if it has one.
const RESTART_INTERVALS: u64 = 2;

/// A sign that the process has ended, so that the next one at its address may be cold: a refused
/// connection, or a limit that has ended on a new connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct Restart {
    pub(super) incarnation: u64,
    /// Time of the first connection that was accepted again.
    pub(super) accepted_at: Option<Time>,
}

impl Pool {
    /// Returns whether this instance may send a request to an upstream in its cold start.
    ///
    /// The instances of the upstream's failure domain are ranked by a hash with its identity. As many
    /// of the first ones as the rate allows send one request per interval each, so that all instances
    /// together stay within the rate.
    pub(super) fn may_send_cold(&self, upstream: &Upstream, rate: f64, now: Time) -> bool {
        if rate <= 0.0 {
            return true;
        }
        if now < upstream.next_cold_request || !upstream.is_local(&self.domain) {
            return false;
        }
        let id = digest::of(upstream.entry.announcement.upstream.as_bytes());
        let own = digest::mix(id ^ self.instance);
        let domain_instances = self.domain_instances.iter().map(|l| l.instance);
        let ahead = domain_instances
            .clone()
            .filter(|i| digest::mix(id ^ i) < own)
            .count();
        #[expect(clippy::cast_precision_loss)]
        let fits = (ahead as f64) < rate.floor();
        let is_listed = self
            .domain_instances
            .iter()
            .any(|l| l.instance == self.instance);
        let is_known_cold = now < upstream.entry.cold_until;
        fits && (is_listed || (self.domain_instances.is_empty() && !is_known_cold))
    }
}

impl Upstream {
    /// Returns whether it is in its cold start, or may be because its process has ended and a new one
    /// is not listed yet.
    pub(super) fn may_be_cold(&self, interval: Span, now: Time) -> bool {
        now < self.entry.cold_until || self.may_have_restarted(interval, now)
    }

    /// Returns whether its process may have ended without a later incarnation being listed.
    pub(super) fn may_have_restarted(&self, interval: Span, now: Time) -> bool {
        self.restart.is_some_and(|restart| {
            let accepted = restart.accepted_at;
            let limit = interval.times(RESTART_INTERVALS);
            restart.incarnation == self.entry.announcement.incarnation
                && accepted.is_none_or(|at| now.since(at) < limit)
        })
    }
}
