//! `Retry-After` times for refused requests.
//!
//! Callers retry once or not at all, so each gets a delay after which it is likely to be served.
//! Callers that are refused at the same time get different delays, and those with the least time
//! left until their deadline get the shortest.

use crate::{digest, time::Span};

/// Delay while all upstreams are full: a busy service finishes part of its requests in this time,
/// a plain service a few of them.
const FULL_DELAY: Span = Span::from_millis(300);

/// Delay while no upstream is usable: an upstream that has ended restarts or is replaced in this
/// time.
const UNAVAILABLE_DELAY: Span = Span::from_millis(600);

/// Delay while the instance's tables may be stale: an election of the control leader and the poll
/// that delivers its state.
const STALE_DELAY: Span = Span::from_millis(2_200);

/// Range of the random factor on a delay, in permille.
const JITTER: (u64, u64) = (750, 1_250);

/// Range of the random factor on a backoff, before whose end no caller can be served, in permille.
const BACKOFF_JITTER: (u64, u64) = (1_000, 1_500);

/// Divisor of the time left until the deadline that gives the longest delay: the request has to be
/// served in the rest.
const TIME_LEFT_DIVISOR: u64 = 3;

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// All upstreams are full.
    Full,
    /// All upstreams are full; the caller may expect room after this time, by the rate at which
    /// waiting requests are served.
    Queued(Span),
    /// No upstream is usable.
    Unavailable,
    /// All upstreams have requested a backoff; the first one ends after this time.
    Backoff(Span),
    /// The limits of all upstreams are reached; the caller may expect to be served after this time.
    Limited(Span),
    /// The instance's tables may be stale.
    Stale,
    /// The instance lacks a configuration that has to be in force; it is expected to arrive after
    /// this time, zero if that is not known.
    Outdated(Span),
}

/// Returns the time after which a caller with `left` until its deadline should retry.
///
/// `draw` is any number that differs between callers.
#[must_use]
pub fn delay(cause: Cause, left: Span, draw: u64) -> Span {
    let base = match cause {
        Cause::Full => FULL_DELAY,
        Cause::Queued(turn) => turn,
        Cause::Unavailable | Cause::Outdated(Span::ZERO) => UNAVAILABLE_DELAY,
        Cause::Backoff(backoff) => backoff,
        // An earlier time would be wrong, even if it is too late for the caller.
        Cause::Limited(turn) => return turn,
        Cause::Stale => STALE_DELAY,
        Cause::Outdated(rest) => rest,
    };
    let latest = left.as_millis() / TIME_LEFT_DIVISOR;
    let base = base.as_millis().min(latest);
    let (min, max) = match cause {
        Cause::Backoff(_) | Cause::Outdated(_) => BACKOFF_JITTER,
        Cause::Full | Cause::Queued(_) | Cause::Unavailable | Cause::Limited(_) | Cause::Stale => {
            JITTER
        }
    };
    let permille = min + digest::mix(draw) % (max - min + 1);
    Span::from_millis((base * permille / 1_000).min(latest))
}
