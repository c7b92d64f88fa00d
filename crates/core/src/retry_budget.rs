//! The share of one instance in a service's retry budget, without coordination between instances.

use crate::time::{Span, Time};

/// Fraction of the allowed ratio that is used. The windows of the limit may start up to a second
/// apart from the instance's own.
const RATIO_FRACTION: f64 = 0.8;

/// Fraction of the extra retries that is used, which leaves room for uncounted instances.
const EXTRA_FRACTION: f64 = 0.7;

/// Fraction of the ratio that optional retries may use.
const OPTIONAL_FRACTION: f64 = 0.9;

/// Length of a bucket of the window.
const BUCKET: Span = Span::from_secs(1);

/// Maximum number of buckets in the window.
const MAX_BUCKETS: usize = 60;

/// Requests and retries of one [`BUCKET`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Bucket {
    start: Time,
    requests: u32,
    retries: u32,
}

/// The share of a service's retry budget that belongs to one instance.
///
/// In each window an instance retries at most the allowed ratio of its own requests and its share
/// of the extra retries, so the sum over all instances stays within the service's budget.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    ratio: f64,
    extra: f64,
    window: Span,
    instances: usize,
    /// Oldest first.
    buckets: Vec<Bucket>,
}

impl Budget {
    /// Returns the budget of a single instance: `ratio` retries per request of a window, and `extra`
    /// more.
    #[must_use]
    pub const fn new(ratio: f64, extra: f64, window: Span) -> Self {
        Self {
            ratio,
            extra,
            window,
            instances: 1,
            buckets: Vec::new(),
        }
    }

    /// Sets the number of instances that share the budget.
    pub fn set_instances(&mut self, instances: usize) {
        self.instances = instances.max(1);
    }

    /// Counts a request.
    pub fn deposit(&mut self, now: Time) {
        self.current(now).requests += 1;
    }

    /// Takes a retry from the budget and returns whether one was left.
    #[must_use]
    pub fn withdraw(&mut self, now: Time) -> bool {
        #[expect(clippy::cast_precision_loss)]
        let extra = self.extra * EXTRA_FRACTION / self.instances as f64;
        self.take(now, RATIO_FRACTION, extra.max(1.0))
    }

    /// Takes an optional retry, unless the rest of the budget is reserved for necessary ones.
    #[must_use]
    pub fn withdraw_optional(&mut self, now: Time) -> bool {
        self.take(now, RATIO_FRACTION * OPTIONAL_FRACTION, 0.0)
    }

    fn take(&mut self, now: Time, fraction: f64, extra: f64) -> bool {
        self.current(now);
        let requests: u32 = self.buckets.iter().map(|b| b.requests).sum();
        let retries: u32 = self.buckets.iter().map(|b| b.retries).sum();
        let allowed = f64::from(requests) * self.ratio * fraction + extra;
        let left = f64::from(retries) + 1.0 <= allowed;
        if left {
            self.current(now).retries += 1;
        }
        left
    }

    /// Drops the buckets before the window and returns the current one.
    fn current(&mut self, now: Time) -> &mut Bucket {
        let window = self.window;
        self.buckets.retain(|b| now.since(b.start) < window);
        let is_current = |b: &Bucket| now.since(b.start) < BUCKET;
        if !self.buckets.last().is_some_and(is_current) {
            if self.buckets.len() >= MAX_BUCKETS {
                self.buckets.remove(0);
            }
            self.buckets.push(Bucket {
                start: now,
                ..Bucket::default()
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
