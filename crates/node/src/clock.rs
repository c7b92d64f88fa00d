//! The process's clock as the pure state machines see it.

use std::time::Instant;

use masticlock_core::time::{Span, Time};

/// Time of the clock at its start.
///
/// Above zero, so that times before the start of the process, such as the age
/// of an answer, can be told apart.
const START: Span = Span::from_secs(24 * 3_600);

/// A monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time.
    #[must_use]
    pub fn now(&self) -> Time {
        let millis = u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX);
        Time::ZERO + START.plus(Span::from_millis(millis))
    }

    /// Returns a time as the standard library's timers take it.
    ///
    /// Times before the start of the clock give its start.
    #[must_use]
    pub fn instant(&self, time: Time) -> Instant {
        self.start + time.since(Time::ZERO + START).to_std()
    }
}
