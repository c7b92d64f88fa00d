//! When a caller that was refused may come back.
//!
//! Callers come back once or not at all, so each is told a time at which it is likely to be served,
//! and callers that are refused together are told different times. Those with the least time left
//! come back first.

use crate::{digest, time::Span};

/// Time in which a busy service has finished a part of its requests: a few of a plain service.
const ROOM: Span = Span::from_millis(300);

/// Time in which an upstream that has ended is replaced by another one or returns.
const REPLACED: Span = Span::from_millis(600);

/// Time of an election and of the poll that brings its news.
const NEWS: Span = Span::from_millis(2_200);

/// Least and most of the time that callers are told, in parts of a thousand.
const SPREAD: (u64, u64) = (750, 1_250);

/// The same for a time that is known, before which no caller can be served.
const LATER_SPREAD: (u64, u64) = (1_000, 1_500);

/// Parts of the time left of which one may pass until the caller comes back: it has to be served
/// in the rest.
const LEFT_PARTS: u64 = 3;

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// All upstreams are full.
    Full,
    /// No upstream may be used.
    Unavailable,
    /// All upstreams have asked for quiet; the first one for this much longer.
    Backoff(Span),
    /// The instance doesn't know whether its tables are current.
    Stale,
}

/// Returns the time after which a caller may come back that has `left` until its deadline.
///
/// `draw` is any number that differs between callers.
#[must_use]
pub fn delay(cause: Cause, left: Span, draw: u64) -> Span {
    let middle = match cause {
        Cause::Full => ROOM,
        Cause::Unavailable => REPLACED,
        Cause::Backoff(rest) => rest,
        Cause::Stale => NEWS,
    };
    let latest = left.as_millis() / LEFT_PARTS;
    let middle = middle.as_millis().min(latest);
    let (least, most) = match cause {
        Cause::Backoff(_) => LATER_SPREAD,
        Cause::Full | Cause::Unavailable | Cause::Stale => SPREAD,
    };
    let part = least + digest::mix(draw) % (most - least + 1);
    Span::from_millis((middle * part / 1_000).min(latest))
}
