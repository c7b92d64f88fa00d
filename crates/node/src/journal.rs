//! The time line of this process, shared by its threads.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{SystemTime, UNIX_EPOCH},
};

use masticlock_core::{
    name,
    timeline::{Event, EventKind, Log, Timestamp},
};

/// Events that are kept.
const CAPACITY: usize = 4_096;

/// Records events on the time line.
#[derive(Clone, Debug)]
pub struct Journal {
    log: Arc<Mutex<Log>>,
}

/// Returns the wall clock in milliseconds since the Unix epoch, or 0 before it.
#[must_use]
pub fn wall() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |s| u64::try_from(s.as_millis()).unwrap_or(u64::MAX))
}

impl Journal {
    /// Returns an empty time line.
    #[must_use]
    pub fn new(instance: name::Instance) -> Self {
        Self {
            log: Arc::new(Mutex::new(Log::new(instance, CAPACITY))),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Log> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the instance that the events are of.
    #[must_use]
    pub fn instance(&self) -> name::Instance {
        self.lock().instance().clone()
    }

    /// Records an event.
    pub fn record(&self, kind: EventKind) {
        log::info!("event {kind:?}");
        self.lock().record(kind, wall());
    }

    /// Returns the stamp to send with a message.
    #[must_use]
    pub fn stamp(&self) -> Timestamp {
        self.lock().tick(wall())
    }

    /// Takes note of a stamp that came with a message.
    pub fn observe(&self, stamp: Timestamp) {
        self.lock().observe(stamp, wall());
    }

    /// Returns the events after a number.
    #[must_use]
    pub fn after(&self, sequence: u64) -> Vec<Event> {
        self.lock().events_after(sequence)
    }
}
