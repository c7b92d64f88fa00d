//! The process's clock as the pure state machines see it.

use std::time::Instant;

use masticlock_core::time::{Span, Time};
use rustix::time::{ClockId, clock_gettime};

/// Time of the clock at its start.
///
/// Above zero, so that times before the start of the process, such as the age
/// of an answer, can be told apart.
const START: Span = Span::from_secs(24 * 3_600);

/// A monotonic clock that also counts the time for which the machine was suspended.
///
/// A lease must not outlive a suspension, so [`Instant`] alone doesn't do.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    /// Milliseconds of the boot clock at the start.
    origin: u64,
}

/// Returns the milliseconds since the machine was booted, suspensions included.
fn boot_millis() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(now.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(now.tv_nsec).unwrap_or_default();
    secs * 1_000 + nanos / 1_000_000
}

impl Clock {
    /// Starts a clock.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
            origin: boot_millis(),
        }
    }

    /// Returns the time.
    #[must_use]
    pub fn now(&self) -> Time {
        let millis = boot_millis().saturating_sub(self.origin);
        Time::ZERO + START.plus(Span::from_millis(millis))
    }

    /// Returns a time as the standard library's timers take it, if no suspension comes between.
    ///
    /// Times before the start of the clock give its start.
    #[must_use]
    pub fn instant(&self, time: Time) -> Instant {
        self.start + time.since(Time::ZERO + START).to_std()
    }
}
