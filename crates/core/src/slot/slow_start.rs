//! Slow start: the limit of an upstream from a cold start until it is warm.

/// Multiple of the average time to the first token above which a time is a sign of a cold start.
const SLOW_FACTOR: u64 = 8;
/// Time to the first token up to which a time is never a sign of a cold start, in milliseconds.
const SLOW_FLOOR_MS: u64 = 200;
/// Number of times to the first token that the average needs before times are compared with it.
const MIN_SAMPLES: u32 = 8;
/// Weight of the average against one new time to the first token.
const AVERAGE_WEIGHT: u64 = 7;

/// Limit on the slots of an upstream that may be cold.
///
/// The limit starts at the cold limit and doubles, up to the warm limit, after
/// as many completions as the current limit. Only work that began after the
/// last sign of a cold start counts.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct SlowStart {
    /// Limit after a cold start.
    cold: u32,
    /// Limit when warm.
    warm: u32,
    /// Current limit.
    limit: u32,
    /// Completions since the limit was last doubled or reset.
    done: u32,
    /// Number of cold starts seen.
    epoch: u32,
    /// Whether the upstream announces that it is cold, which keeps the limit from growing.
    pinned: bool,
    /// Moving average of the time to the first token when warm, in milliseconds.
    first_ms: u64,
    /// Number of times in the average.
    samples: u32,
}

impl SlowStart {
    /// Returns the state of an upstream that may be cold.
    #[must_use]
    pub const fn new(cold: u32, warm: u32) -> Self {
        let cold = if cold < warm { cold } else { warm };
        Self {
            cold,
            warm,
            limit: cold,
            done: 0,
            epoch: 0,
            pinned: false,
            first_ms: 0,
            samples: 0,
        }
    }

    /// Returns the largest number of slots that may be in use at once.
    #[must_use]
    pub const fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns the number of cold starts seen so far.
    #[must_use]
    pub const fn epoch(&self) -> u32 {
        self.epoch
    }

    /// Returns whether the limit is below the warm limit.
    #[must_use]
    pub const fn is_cold(&self) -> bool {
        self.limit < self.warm
    }

    /// Records the announced limits and whether the upstream announces that it is cold.
    pub fn announced(&mut self, cold: u32, warm: u32, is_cold: bool) {
        self.cold = cold.min(warm);
        self.warm = warm;
        self.limit = self.limit.clamp(self.cold, self.warm);
        if is_cold && !self.pinned {
            self.reset();
        }
        self.pinned = is_cold;
    }

    /// Records a sign of a cold start: lowers the limit to the cold limit and begins a new epoch.
    pub fn reset(&mut self) {
        self.limit = self.cold;
        self.done = 0;
        self.epoch += 1;
    }

    /// Records the completion of work that began in `epoch`.
    ///
    /// A first token that took much longer than the average resets a warm upstream.
    pub fn completed(&mut self, first_ms: u64, epoch: u32) {
        if epoch != self.epoch {
            return;
        }
        if self.is_slow(first_ms) {
            self.reset();
            return;
        }
        if !self.is_cold() {
            self.update_average(first_ms);
        }
        if self.pinned {
            return;
        }
        self.done += 1;
        if self.done >= self.limit {
            self.done = 0;
            self.limit = self.limit.saturating_mul(2).min(self.warm);
        }
    }

    fn is_slow(&self, first_ms: u64) -> bool {
        self.samples >= MIN_SAMPLES
            && !self.is_cold()
            && first_ms > SLOW_FLOOR_MS.max(self.first_ms * SLOW_FACTOR)
    }

    fn update_average(&mut self, first_ms: u64) {
        let average = if self.samples == 0 {
            first_ms
        } else {
            self.first_ms
        };
        self.first_ms = (average * AVERAGE_WEIGHT + first_ms) / (AVERAGE_WEIGHT + 1);
        self.samples = self.samples.saturating_add(1);
    }
}
