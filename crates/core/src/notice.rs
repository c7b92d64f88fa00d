//! What upstreams say of themselves in their answers to this instance.
//!
//! An announcement reaches an instance through control instances; a word in an answer needs nobody
//! else, so it holds behind a partition too. It concerns one incarnation and is never taken back by
//! an announcement of the same one.
//!
//! The load pattern: a service sheds load with a request for quiet from most of its upstreams at
//! once, or an upstream leaves while requests wait for it, are repeated and are continued elsewhere.

use std::sync::Arc;

use crate::time::{Span, Time};

/// Time for which the word of an upstream that is not listed any more is remembered. The listing of
/// an upstream that has ended may come back from an instance that was cut off.
const KEPT: Span = Span::from_secs(600);

/// Time for which an upstream's departure is reported: several polls, and a change of the control
/// instance between them.
const REPORTED: Span = Span::from_secs(10);

plain! {
    /// An upstream that has said in an answer that it leaves.
    #[derive(Eq)]
    pub struct Departure {
        /// Identity.
        pub upstream: Arc<str>,
        /// Start of the upstream.
        pub incarnation: u64,
    }
}

/// The word of one upstream.
#[derive(Clone, Debug)]
struct Notice {
    upstream: Arc<str>,
    incarnation: u64,
    /// When it first said that it leaves.
    leaving: Option<Time>,
    /// It wants no requests until then.
    backoff_until: Time,
    /// When it was last listed or heard.
    seen: Time,
}

/// The words of all upstreams, sorted by identity.
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

    /// Returns the notice of an incarnation, or none if a later one has been heard.
    fn get_mut(&mut self, upstream: &Arc<str>, incarnation: u64, now: Time) -> Option<&mut Notice> {
        let empty = || Notice {
            upstream: upstream.clone(),
            incarnation,
            leaving: None,
            backoff_until: Time::ZERO,
            seen: now,
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
        notice.seen = now;
        Some(notice)
    }

    /// Notes that an upstream leaves and returns whether that is news.
    pub fn mark_leaving(&mut self, upstream: &Arc<str>, incarnation: u64, now: Time) -> bool {
        let Some(notice) = self.get_mut(upstream, incarnation, now) else {
            return false;
        };
        let news = notice.leaving.is_none();
        notice.leaving.get_or_insert(now);
        news
    }

    /// Notes that an upstream wants no requests for some time.
    ///
    /// Each such word holds for the time that it names, so a later one never shortens an earlier
    /// one.
    pub fn back_off(&mut self, upstream: &Arc<str>, incarnation: u64, time: Span, now: Time) {
        if let Some(notice) = self.get_mut(upstream, incarnation, now) {
            notice.backoff_until = notice.backoff_until.max(now + time);
        }
    }

    /// Returns whether the incarnation of an upstream has said that it leaves.
    #[must_use]
    pub fn is_leaving(&self, upstream: &str, incarnation: u64) -> bool {
        self.get(upstream, incarnation)
            .is_some_and(|n| n.leaving.is_some())
    }

    /// Returns how much longer the incarnation of an upstream wants no requests, if it does.
    #[must_use]
    pub fn backoff(&self, upstream: &str, incarnation: u64, now: Time) -> Option<Span> {
        let until = self.get(upstream, incarnation)?.backoff_until;
        (now < until).then(|| until.since(now))
    }

    /// Returns the departures that control instances may not know yet.
    #[must_use]
    pub fn departures(&self, now: Time) -> Vec<Departure> {
        let is_new = |n: &&Notice| n.leaving.is_some_and(|at| now.since(at) < REPORTED);
        let new = self.notices.iter().filter(is_new);
        let departure = |n: &Notice| Departure {
            upstream: n.upstream.clone(),
            incarnation: n.incarnation,
        };
        new.map(departure).collect()
    }

    /// Notes that an incarnation is listed, which ends the word of an earlier one.
    pub fn mark_listed(&mut self, upstream: &Arc<str>, incarnation: u64, now: Time) {
        let found = self.notices.binary_search_by(|n| n.upstream.cmp(upstream));
        let Ok(at) = found else {
            return;
        };
        if self.notices[at].incarnation < incarnation {
            self.notices.remove(at);
        } else {
            self.notices[at].seen = now;
        }
    }

    /// Forgets upstreams that have not been listed for a long time and want no quiet.
    pub fn expire(&mut self, now: Time) {
        self.notices
            .retain(|n| now.since(n.seen) < KEPT || now < n.backoff_until);
    }
}
