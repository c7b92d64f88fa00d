//! Failed connections: the backoff of an upstream, and of a failure domain that looks cut off.

use std::sync::Arc;

use super::{Failure, Pool, Upstream, cold_start::Restart};
use crate::time::{Span, Time};

/// Initial backoff after a failed connection, in announcement intervals. It doubles with each
/// failure up to [`MAX_DOWN_INTERVALS`].
const DOWN_INTERVALS: u64 = 1;

/// Maximum backoff after a failed connection, in announcement intervals.
const MAX_DOWN_INTERVALS: u64 = 8;

/// The backoff after failed connections to an upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct Down {
    pub(super) incarnation: u64,
    /// Time of the next attempt.
    pub(super) until: Time,
    /// Consecutive failures.
    pub(super) failures: u32,
}

/// A remote failure domain with unresponsive upstreams.
#[derive(Clone, Debug)]
pub(super) struct SuspectDomain {
    pub(super) domain: Arc<str>,
    /// The last unresponsive upstream.
    pub(super) upstream: Arc<str>,
    /// Time of its failure.
    pub(super) failed_at: Time,
    /// End of the time for which the failure domain is avoided.
    pub(super) avoided_until: Time,
    /// Consecutive times that it was avoided.
    pub(super) times: u32,
}

impl Pool {
    /// Records a failed connection to an upstream, which is not used for the backoff time.
    ///
    /// Two different unresponsive upstreams of a remote failure domain in a row indicate a partition:
    /// the whole failure domain is avoided for the backoff time, so that not every upstream has to be
    /// tried.
    pub fn connect_failed(
        &mut self,
        upstream: &str,
        incarnation: u64,
        failure: Failure,
        now: Time,
    ) {
        let Some(at) = self.find(upstream) else {
            return;
        };
        let interval = self.interval;
        let upstream = &mut self.upstreams[at];
        if upstream.entry.announcement.incarnation != incarnation {
            return;
        }
        let failures = upstream.down.map_or(0, |d| d.failures);
        upstream.down = Some(Down {
            incarnation,
            until: now + connection_backoff(interval, failures),
            failures: failures + 1,
        });
        if failure == Failure::Refused {
            upstream.restart = Some(Restart {
                incarnation,
                accepted_at: None,
            });
        }
        if failure == Failure::Refused || upstream.is_local(&self.domain) {
            return;
        }
        let announcement = &upstream.entry.announcement;
        match self
            .suspect_domains
            .binary_search_by(|s| s.domain.cmp(&announcement.domain))
        {
            Ok(at) => {
                let suspect = &mut self.suspect_domains[at];
                let is_recent =
                    now.since(suspect.failed_at) < interval.times(MAX_DOWN_INTERVALS + 1);
                if !is_recent {
                    suspect.times = 0;
                } else if suspect.times > 0 || suspect.upstream != announcement.upstream {
                    suspect.avoided_until = now + connection_backoff(interval, suspect.times);
                    suspect.times += 1;
                }
                suspect.failed_at = now;
                suspect.upstream = announcement.upstream.clone();
            }
            Err(at) => {
                let suspect = SuspectDomain {
                    domain: announcement.domain.clone(),
                    upstream: announcement.upstream.clone(),
                    failed_at: now,
                    avoided_until: now,
                    times: 0,
                };
                self.suspect_domains.insert(at, suspect);
            }
        }
    }

    /// Records that an upstream accepted a connection.
    pub fn connected(&mut self, upstream: &str, now: Time) {
        if let Some(at) = self.find(upstream) {
            self.upstreams[at].down = None;
            if let Some(restart) = &mut self.upstreams[at].restart {
                restart.accepted_at.get_or_insert(now);
            }
            let domain = &self.upstreams[at].entry.announcement.domain;
            self.suspect_domains.retain(|s| s.domain != *domain);
        }
    }

    pub(super) fn is_avoided(&self, upstream: &Upstream, now: Time) -> bool {
        let domain = &upstream.entry.announcement.domain;
        let found = self
            .suspect_domains
            .binary_search_by(|s| s.domain.cmp(domain));
        found.is_ok_and(|at| now < self.suspect_domains[at].avoided_until)
    }
}

/// Returns the backoff after a failure that was preceded by `failures` others.
fn connection_backoff(interval: Span, failures: u32) -> Span {
    let intervals = DOWN_INTERVALS << failures.min(8);
    interval.times(intervals.min(MAX_DOWN_INTERVALS))
}
