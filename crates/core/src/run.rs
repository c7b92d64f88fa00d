//! Runs of a request: whether one that may have run may be written to an upstream again.
//!
//! Whatever wants a further run (a retry, a larger model, the rest of a stream, a peer) gets a
//! [`Right`] from the request's [`History`] right before it writes, and can't write without one.

use crate::route::Route;

/// The runs of a request that may have begun.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct History {
    count: u32,
    /// Whether a run was under a route whose requests may run only once.
    is_final: bool,
}

/// The right to write a request to an upstream once.
#[derive(Debug)]
#[must_use]
pub struct Right(());

impl History {
    /// Returns the history of a request that may have run `count` times at other instances.
    #[must_use]
    pub const fn of_count(count: u32) -> Self {
        Self {
            count,
            is_final: false,
        }
    }

    /// Returns the number of runs that may have begun.
    #[must_use]
    pub const fn count(self) -> u32 {
        self.count
    }

    /// Returns whether another run may follow those that may have begun.
    #[must_use]
    pub fn may_repeat(self, route: &Route) -> bool {
        !self.is_final && route.is_repeatable() && self.count < route.attempts
    }

    /// Counts a run and returns the right to write the request, unless it may have run and may not
    /// run again.
    ///
    /// The kind of a route may have changed since the run before. Both kinds have to allow it.
    pub fn begin(&mut self, route: &Route) -> Option<Right> {
        if self.count > 0 && !self.may_repeat(route) {
            return None;
        }
        self.count += 1;
        self.is_final = !route.is_repeatable();
        Some(Right(()))
    }

    /// Does the same for a request that a peer gets, which may send it as often as the route allows.
    pub fn begin_at_peer(&mut self, route: &Route) -> Option<Right> {
        let right = self.begin(route)?;
        self.count = self.count.max(route.attempts);
        Some(right)
    }

    /// Returns the history without its last run, which has not taken place.
    #[must_use]
    pub const fn without_last(self) -> Self {
        // A run that is final is the only one.
        Self::of_count(self.count.saturating_sub(1))
    }
}
