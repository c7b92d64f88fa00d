//! An instance's part of a limit that all instances share without asking each other.

use crate::time::{Span, Time};

/// Part of the allowed ratio that is used. Windows of the limit may begin within a second of the
/// instance's own.
const RATIO_PART: f64 = 0.8;

/// Part of the allowed extra that is used, which leaves room for instances that are not counted.
const EXTRA_PART: f64 = 0.7;

/// Part of the ratio that repeats which could be done without may use.
const OPTIONAL_PART: f64 = 0.9;

/// Length of a count in a window.
const COUNT: Span = Span::from_secs(1);

/// Most counts in a window.
const MAX_COUNTS: usize = 60;

/// Requests and repeats of one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Count {
    start: Time,
    requests: u32,
    repeats: u32,
}

/// The part of a service's retry budget that belongs to one instance.
///
/// In each window an instance repeats at most the allowed ratio of its own requests and its part
/// of the extra, so that the sum over all instances stays within the service's budget.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    ratio: f64,
    extra: f64,
    window: Span,
    instances: usize,
    /// Oldest first.
    counts: Vec<Count>,
}

impl Budget {
    /// Returns the budget of the only instance: `ratio` of the requests in a window and `extra`.
    #[must_use]
    pub const fn new(ratio: f64, extra: f64, window: Span) -> Self {
        Self {
            ratio,
            extra,
            window,
            instances: 1,
            counts: Vec::new(),
        }
    }

    /// Takes over how many instances share the budget.
    pub fn set_instances(&mut self, instances: usize) {
        self.instances = instances.max(1);
    }

    /// Counts a request.
    pub fn deposit(&mut self, now: Time) {
        self.current(now).requests += 1;
    }

    /// Takes a repeat and returns whether there was one left.
    #[must_use]
    pub fn withdraw(&mut self, now: Time) -> bool {
        #[expect(clippy::cast_precision_loss)]
        let extra = self.extra * EXTRA_PART / self.instances as f64;
        self.take(now, RATIO_PART, extra.max(1.0))
    }

    /// Takes a repeat that could be done without, unless little is left for those that can't.
    #[must_use]
    pub fn withdraw_optional(&mut self, now: Time) -> bool {
        self.take(now, RATIO_PART * OPTIONAL_PART, 0.0)
    }

    fn take(&mut self, now: Time, part: f64, extra: f64) -> bool {
        self.current(now);
        let requests: u32 = self.counts.iter().map(|c| c.requests).sum();
        let repeats: u32 = self.counts.iter().map(|c| c.repeats).sum();
        let allowed = f64::from(requests) * self.ratio * part + extra;
        let left = f64::from(repeats) + 1.0 <= allowed;
        if left {
            self.current(now).repeats += 1;
        }
        left
    }

    /// Forgets counts before the window and returns the latest.
    fn current(&mut self, now: Time) -> &mut Count {
        let window = self.window;
        self.counts.retain(|c| now.since(c.start) < window);
        let fits = |c: &Count| now.since(c.start) < COUNT;
        if !self.counts.last().is_some_and(fits) {
            if self.counts.len() >= MAX_COUNTS {
                self.counts.remove(0);
            }
            self.counts.push(Count {
                start: now,
                ..Count::default()
            });
        }
        let last = self.counts.len() - 1;
        &mut self.counts[last]
    }
}
