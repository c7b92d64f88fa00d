use std::sync::{Mutex, PoisonError};

use futures_util::future::BoxFuture;
use masticlock_core::{error, ledger::Bill};

use crate::port;

/// Keeps bills in memory.
#[derive(Debug, Default)]
pub struct Ledger {
    settled: Mutex<Vec<Bill>>,
}

/// Bills that are kept. The oldest half is dropped when they are reached.
const MAX_BILLS: usize = 100_000;

impl Ledger {
    /// Returns the settled bills in the order in which they came.
    #[must_use]
    pub fn settled(&self) -> Vec<Bill> {
        self.settled
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

impl port::Bills for Ledger {
    fn open(&self, _bill: Bill) -> BoxFuture<'_, Result<(), error::Error>> {
        // A single instance has no witness.
        Box::pin(std::future::ready(Ok(())))
    }

    fn settle(&self, bill: Bill) {
        let mut settled = self.settled.lock().unwrap_or_else(PoisonError::into_inner);
        if settled.len() >= MAX_BILLS {
            settled.drain(..MAX_BILLS / 2);
        }
        settled.push(bill);
    }
}
