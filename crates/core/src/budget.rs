//! Retry budget: retries and hedges together are limited to 10% of successes.

use std::sync::atomic::{AtomicU64, Ordering};

/// Successes that allow one retry or hedge.
pub const SUCCESSES_PER_RETRY: u64 = 10;
/// Retries in a new budget, so that an instance without history can retry.
pub const INITIAL_RETRIES: u64 = 10;
/// Most retries that a budget accumulates; bounds the burst of retries after a long time without
/// faults.
pub const MAX_RETRIES: u64 = 100;

/// A retry budget shared by all requests of an instance. Each success adds one unit.
#[derive(Debug)]
pub struct Budget {
    units: AtomicU64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            units: AtomicU64::new(INITIAL_RETRIES * SUCCESSES_PER_RETRY),
        }
    }
}

impl Budget {
    /// Adds one success.
    pub fn deposit(&self) {
        let add = |units: u64| (units < MAX_RETRIES * SUCCESSES_PER_RETRY).then_some(units + 1);
        // An error means that the budget is full and stays unchanged.
        let _ = self
            .units
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Takes one retry or hedge; returns whether one was available.
    #[must_use]
    pub fn withdraw(&self) -> bool {
        let take = |units: u64| units.checked_sub(SUCCESSES_PER_RETRY);
        self.units
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
            .is_ok()
    }

    /// Returns the number of retries left.
    #[must_use]
    pub fn remaining(&self) -> u64 {
        self.units.load(Ordering::Relaxed) / SUCCESSES_PER_RETRY
    }
}
