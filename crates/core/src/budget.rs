//! The retry budget: retries and hedges together are at most 10% of successes.

use std::sync::atomic::{AtomicU64, Ordering};

/// Successes that pay for one retry or hedge.
pub const SUCCESSES_PER_RETRY: u64 = 10;
/// Retries that a new budget holds, so that an instance without history can retry.
pub const INITIAL_RETRIES: u64 = 10;
/// Most retries that a budget saves up. It bounds the burst after a long time without faults.
pub const MAX_RETRIES: u64 = 100;

/// A budget in units of one success, shared by all requests of an instance.
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
        // An error means that the budget is at its cap and stays there.
        let _ = self
            .units
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Takes one retry or hedge; returns whether there was one left.
    #[must_use]
    pub fn withdraw(&self) -> bool {
        let take = |units: u64| units.checked_sub(SUCCESSES_PER_RETRY);
        self.units
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
            .is_ok()
    }

    /// Returns how many retries are left.
    #[must_use]
    pub fn remaining(&self) -> u64 {
        self.units.load(Ordering::Relaxed) / SUCCESSES_PER_RETRY
    }
}
