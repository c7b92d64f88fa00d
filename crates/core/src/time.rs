//! Time for state machines that read no clock: each gets the current time as an argument.

use std::{
    fmt,
    ops::{Add, AddAssign, Sub},
};

use serde::{Deserialize, Serialize};

/// An instant of a process's monotonic clock, in milliseconds.
///
/// Instants of different processes are not comparable.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Time(u64);

/// A duration in milliseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Span(u64);

impl Time {
    /// The origin of the clock.
    pub const ZERO: Self = Self(0);

    /// Returns the instant `millis` milliseconds after the origin of the clock.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the milliseconds since the origin of the clock.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Span {
    /// The zero duration.
    pub const ZERO: Self = Self(0);

    /// Returns a duration of `millis` milliseconds.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns a duration of `secs` seconds.
    #[must_use]
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1_000)
    }

    /// Returns the duration in milliseconds.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Converts the duration to [`std::time::Duration`].
    #[must_use]
    pub const fn to_std(self) -> std::time::Duration {
        std::time::Duration::from_millis(self.0)
    }

    /// Returns the duration multiplied by `factor`, saturating.
    #[must_use]
    pub const fn times(self, factor: u64) -> Self {
        Self(self.0.saturating_mul(factor))
    }

    /// Returns the sum of both durations, saturating.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Returns the difference of both durations, or zero if `other` is longer.
    #[must_use]
    pub const fn minus(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl Add<Span> for Time {
    type Output = Self;

    fn add(self, span: Span) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl AddAssign<Span> for Time {
    fn add_assign(&mut self, span: Span) {
        *self = *self + span;
    }
}

impl Sub<Span> for Time {
    type Output = Self;

    fn sub(self, span: Span) -> Self {
        Self(self.0.saturating_sub(span.0))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03} s", self.0 / 1_000, self.0 % 1_000)
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}
