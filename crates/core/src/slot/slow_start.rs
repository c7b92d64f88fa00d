//! The limit of an upstream between cold and warm.

/// How many times the usual first-token time is a sign of a cold start.
const SLOW_FACTOR: u64 = 8;
/// First-token times below this are never a sign, in milliseconds.
const SLOW_FLOOR_MS: u64 = 200;
/// First-token times that are needed before one is compared with them.
const HISTORY: u32 = 8;
/// Weight of the history against a new first-token time.
const HISTORY_WEIGHT: u64 = 7;

/// How many slots an upstream can lend now.
///
/// The limit starts at the cold limit. It doubles after as many completions as
/// the current limit. Only work that began after the last sign of a cold start
/// counts.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct SlowStart {
    cold: u32,
    warm: u32,
    limit: u32,
    done: u32,
    epoch: u32,
    pinned: bool,
    first_ms: u64,
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

    /// Returns the most slots in use at once.
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

    /// Takes over the announced limits and whether the upstream says it is cold.
    pub fn announced(&mut self, cold: u32, warm: u32, says_cold: bool) {
        self.cold = cold.min(warm);
        self.warm = warm;
        self.limit = self.limit.clamp(self.cold, self.warm);
        if says_cold && !self.pinned {
            self.reset();
        }
        self.pinned = says_cold;
    }

    /// Lowers the limit to the cold limit.
    pub fn reset(&mut self) {
        self.limit = self.cold;
        self.done = 0;
        self.epoch += 1;
    }

    /// Records the end of work that began in `epoch`.
    pub fn completed(&mut self, first_ms: u64, epoch: u32) {
        if epoch != self.epoch {
            return;
        }
        if self.is_slow(first_ms) {
            self.reset();
            return;
        }
        if !self.is_cold() {
            self.learn(first_ms);
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
        self.samples >= HISTORY
            && !self.is_cold()
            && first_ms > SLOW_FLOOR_MS.max(self.first_ms * SLOW_FACTOR)
    }

    fn learn(&mut self, first_ms: u64) {
        let old = if self.samples == 0 {
            first_ms
        } else {
            self.first_ms
        };
        self.first_ms = (old * HISTORY_WEIGHT + first_ms) / (HISTORY_WEIGHT + 1);
        self.samples = self.samples.saturating_add(1);
    }
}
