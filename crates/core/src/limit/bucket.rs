//! Token bucket.

use crate::time::Time;

/// Millionths of a request: a rate in thousandths of a request per second adds its value in each
/// millisecond, without rounding.
pub(super) const TOKENS_PER_REQUEST: u64 = 1_000_000;

/// A token bucket.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bucket {
    /// Level in millionths of a request.
    tokens: u64,
    refilled_at: Time,
}

impl Bucket {
    /// Returns a bucket with `tokens` millionths of a request.
    pub(super) const fn new(tokens: u64, now: Time) -> Self {
        Self {
            tokens,
            refilled_at: now,
        }
    }

    /// Adds the tokens of the time since the last refill, up to `capacity`.
    ///
    /// `rate` is in thousandths of a request per second.
    pub(super) fn refill(&mut self, rate: u64, capacity: u64, now: Time) {
        let added = rate.saturating_mul(now.since(self.refilled_at).as_millis());
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = self.tokens.saturating_add(added).min(capacity);
    }

    /// Returns the number of whole requests that the level allows.
    pub(super) const fn whole(&self) -> u64 {
        self.tokens / TOKENS_PER_REQUEST
    }

    /// Returns the tokens that one request lacks.
    pub(super) const fn missing(&self) -> u64 {
        TOKENS_PER_REQUEST.saturating_sub(self.tokens)
    }

    /// Takes the tokens of `count` requests.
    pub(super) const fn take(&mut self, count: u64) {
        self.tokens = self
            .tokens
            .saturating_sub(count.saturating_mul(TOKENS_PER_REQUEST));
    }
}
