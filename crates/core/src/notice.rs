//! Notices that upstreams send about themselves in their answers to this instance.
//!
//! Announcements reach an instance through control instances. A notice in an answer is direct, so
//! it also reaches an instance that is partitioned from them. It concerns one incarnation of the
//! upstream, and no announcement of the same incarnation revokes it.
//!
//! The load pattern: a service sheds load by a backoff request from most of its upstreams at once,
//! or an upstream leaves while requests wait for it, are retried and are resumed elsewhere.

use std::sync::Arc;

use crate::{
    fleet,
    limit::Bounds,
    time::{Span, Time},
};

/// Time for which the notice of an upstream that is no longer listed is kept. An instance that was
/// partitioned may list an upstream again after it has ended.
const RETENTION: Span = Span::from_secs(600);

/// Time for which an upstream's departure is reported: several polls, with a failover to another
/// control instance between them.
const REPORTING_TIME: Span = Span::from_secs(10);

plain! {
    /// An upstream that has announced in an answer that it is leaving.
    #[derive(Eq)]
    pub struct Departure {
        /// Identity.
        pub upstream: Arc<str>,
        /// Incarnation of the upstream.
        pub incarnation: u64,
    }
}

/// What an upstream has stated about its bounds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limit {
    /// Identity.
    pub upstream: Arc<str>,
    /// Incarnation of the upstream.
    pub incarnation: u64,
    /// Its bounds.
    pub bounds: Bounds,
    /// Time of the statement.
    pub stated_at: Time,
}

/// The notices of one upstream.
#[derive(Clone, Debug)]
struct Notice {
    upstream: Arc<str>,
    incarnation: u64,
    /// Time of its first notice that it is leaving.
    leaving_since: Option<Time>,
    /// End of the backoff that it requested.
    backoff_until: Time,
    /// Its last statement about its bounds.
    limit: Option<fleet::Limit>,
    /// Time of its last listing or notice.
    last_seen: Time,
}

/// The notices of all upstreams, sorted by identity.
#[derive(Clone, Debug, Default)]
pub struct Store {
    notices: Vec<Notice>,
}

impl Store {
    fn get(&self, upstream: &str, incarnation: u64) -> Option<&Notice> {
        let found = self
            .notices
            .binary_search_by(|n| (*n.upstream).cmp(upstream));
        let notice = &self.notices[found.ok()?];
        (notice.incarnation == incarnation).then_some(notice)
    }

    /// Returns the notice of an incarnation, or `None` if a later incarnation is known.
    fn get_mut(&mut self, upstream: &Arc<str>, incarnation: u64, now: Time) -> Option<&mut Notice> {
        let empty = || Notice {
            upstream: upstream.clone(),
            incarnation,
            leaving_since: None,
            backoff_until: Time::ZERO,
            limit: None,
            last_seen: now,
        };
        let found = self.notices.binary_search_by(|n| n.upstream.cmp(upstream));
        let at = found.unwrap_or_else(|at| {
            self.notices.insert(at, empty());
            at
        });
        let notice = &mut self.notices[at];
        if notice.incarnation > incarnation {
            return None;
        }
        if notice.incarnation < incarnation {
            *notice = empty();
        }
        notice.last_seen = now;
        Some(notice)
    }

    /// Records that an upstream is leaving and returns whether that was unknown.
    pub fn mark_leaving(&mut self, upstream: &Arc<str>, incarnation: u64, now: Time) -> bool {
        let Some(notice) = self.get_mut(upstream, incarnation, now) else {
            return false;
        };
        let is_new = notice.leaving_since.is_none();
        notice.leaving_since.get_or_insert(now);
        is_new
    }

    /// Records that an upstream requests a backoff.
    ///
    /// Each backoff holds for its full time, so a later one never shortens an earlier one.
    pub fn back_off(&mut self, upstream: &Arc<str>, incarnation: u64, duration: Span, now: Time) {
        if let Some(notice) = self.get_mut(upstream, incarnation, now) {
            notice.backoff_until = notice.backoff_until.max(now + duration);
        }
    }

    /// Records the bounds that an upstream states.
    pub fn set_limit(&mut self, upstream: &Arc<str>, incarnation: u64, bounds: Bounds, now: Time) {
        if let Some(notice) = self.get_mut(upstream, incarnation, now) {
            notice.limit = Some(fleet::Limit {
                bounds,
                stated_at: now,
            });
        }
    }

    /// Returns the last statement of the incarnation of an upstream about its bounds.
    #[must_use]
    pub fn limit(&self, upstream: &str, incarnation: u64) -> Option<fleet::Limit> {
        self.get(upstream, incarnation)?.limit
    }

    /// Returns the last statements of all upstreams about their bounds.
    #[must_use]
    pub fn limits(&self) -> Vec<Limit> {
        let limit = |n: &Notice| {
            let limit = n.limit?;
            Some(Limit {
                upstream: n.upstream.clone(),
                incarnation: n.incarnation,
                bounds: limit.bounds,
                stated_at: limit.stated_at,
            })
        };
        self.notices.iter().filter_map(limit).collect()
    }

    /// Returns whether the incarnation of an upstream is leaving.
    #[must_use]
    pub fn is_leaving(&self, upstream: &str, incarnation: u64) -> bool {
        self.get(upstream, incarnation)
            .is_some_and(|n| n.leaving_since.is_some())
    }

    /// Returns the remaining backoff of the incarnation of an upstream, if it has one.
    #[must_use]
    pub fn backoff(&self, upstream: &str, incarnation: u64, now: Time) -> Option<Span> {
        let until = self.get(upstream, incarnation)?.backoff_until;
        (now < until).then(|| until.since(now))
    }

    /// Returns the recent departures, which control instances may not know yet.
    #[must_use]
    pub fn departures(&self, now: Time) -> Vec<Departure> {
        let is_recent = |n: &&Notice| {
            n.leaving_since
                .is_some_and(|at| now.since(at) < REPORTING_TIME)
        };
        let recent = self.notices.iter().filter(is_recent);
        let departure = |n: &Notice| Departure {
            upstream: n.upstream.clone(),
            incarnation: n.incarnation,
        };
        recent.map(departure).collect()
    }

    /// Records that an incarnation is listed, which discards the notices of an earlier one.
    pub fn mark_listed(&mut self, upstream: &Arc<str>, incarnation: u64, now: Time) {
        let found = self.notices.binary_search_by(|n| n.upstream.cmp(upstream));
        let Ok(at) = found else {
            return;
        };
        if self.notices[at].incarnation < incarnation {
            self.notices.remove(at);
        } else {
            self.notices[at].last_seen = now;
        }
    }

    /// Drops upstreams that have not been seen for a long time and whose backoff has ended.
    pub fn expire(&mut self, now: Time) {
        self.notices
            .retain(|n| now.since(n.last_seen) < RETENTION || now < n.backoff_until);
    }
}
