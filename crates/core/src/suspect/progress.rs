//! How far an answer under way has got.

use crate::time::Span;

/// Time spent waiting for events after the first one from which on an answer speaks for the parts of
/// its prompt. A guilty part crashes its upstream when the answer begins.
const MIN_WAIT: Span = Span::from_secs(1);

/// Events that an answer has by then. A slow upstream may send the first ones that far apart.
const MIN_EVENTS: u64 = 4;

/// The events of one upstream's answer.
///
/// Only time spent waiting counts: events that were received before an upstream's end may be read
/// long after it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    events: u64,
    waited: Span,
    is_reported: bool,
}

impl Progress {
    /// Records events, after `waited` of waiting for them. Returns once whether the answer speaks
    /// for the parts of its prompt.
    pub fn observe(&mut self, events: u64, waited: Span) -> bool {
        if self.events > 0 {
            self.waited = self.waited.plus(waited);
        }
        self.events += events;
        let is_enough = self.events >= MIN_EVENTS && self.waited >= MIN_WAIT;
        is_enough && !std::mem::replace(&mut self.is_reported, true)
    }
}
