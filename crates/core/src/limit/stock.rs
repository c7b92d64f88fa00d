//! Permits that an instance holds.

use std::sync::Arc;

use crate::{
    limit::Permit,
    time::{Span, Time},
};

/// Permits for one upstream with a common end.
#[derive(Clone, Debug)]
struct Batch {
    upstream: Arc<str>,
    incarnation: u64,
    count: u32,
    until: Time,
}

/// The permits that an instance holds, those that end first at the front.
#[derive(Clone, Debug, Default)]
pub struct Stock {
    batches: Vec<Batch>,
}

impl Stock {
    /// Adds the permits of an answer to a poll that was sent at `sent`.
    pub fn add(&mut self, permit: &Permit, sent: Time, now: Time) {
        let until = sent + permit.valid;
        if permit.count > 0 && now < until {
            self.put(&permit.upstream, permit.incarnation, permit.count, until);
        }
    }

    /// Adds permits that end at `until`.
    pub(super) fn put(&mut self, upstream: &Arc<str>, incarnation: u64, count: u32, until: Time) {
        let at = self.batches.partition_point(|b| b.until <= until);
        let batch = Batch {
            upstream: upstream.clone(),
            incarnation,
            count,
            until,
        };
        self.batches.insert(at, batch);
    }

    /// Returns a permit that was taken and not used.
    pub fn put_back(&mut self, upstream: &Arc<str>, incarnation: u64, until: Time) {
        self.put(upstream, incarnation, 1, until);
    }

    /// Returns the number of valid permits for an upstream.
    #[must_use]
    pub fn count(&self, upstream: &str, incarnation: u64, now: Time) -> u32 {
        let valid = self
            .batches
            .iter()
            .filter(|b| now < b.until && b.incarnation == incarnation && *b.upstream == *upstream);
        valid.map(|b| b.count).sum()
    }

    /// Takes the permit for an upstream that ends first, and returns its end.
    pub fn take(&mut self, upstream: &str, incarnation: u64, now: Time) -> Option<Time> {
        self.expire(now);
        let at = self
            .batches
            .iter()
            .position(|b| b.incarnation == incarnation && *b.upstream == *upstream)?;
        let batch = &mut self.batches[at];
        let until = batch.until;
        batch.count -= 1;
        if batch.count == 0 {
            self.batches.remove(at);
        }
        Some(until)
    }

    /// Takes up to `count` permits for an upstream, and returns how many were taken and the time
    /// for which all of them are still valid.
    pub(crate) fn take_up_to(
        &mut self,
        upstream: &str,
        incarnation: u64,
        count: u32,
        now: Time,
    ) -> (u32, Span) {
        let mut valid = Span::ZERO;
        for taken in 0..count {
            let Some(until) = self.take(upstream, incarnation, now) else {
                return (taken, valid);
            };
            let left = until.since(now);
            valid = if taken == 0 { left } else { valid.min(left) };
        }
        (count, valid)
    }

    /// Removes the permits for an upstream.
    pub fn discard(&mut self, upstream: &str) {
        self.batches.retain(|b| *b.upstream != *upstream);
    }

    /// Removes the permits that have ended.
    pub fn expire(&mut self, now: Time) {
        self.batches.retain(|b| now < b.until);
    }
}
