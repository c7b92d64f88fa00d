//! Links between parts and their faults.

use masticlock_core::time::{Span, Time};

use super::{Id, message::Flow};

/// What happens to one message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It is lost.
    Lost,
    /// It arrives twice.
    Doubled,
    /// It arrives late.
    Late,
    /// It arrives behind the next one.
    Reordered,
}

/// How late a late message is. Longer than every call limit.
const LATE: Span = Span::from_millis(4_500);
/// How late a reordered message is. Longer than the delay of the next one.
const BEHIND: Span = Span::from_millis(30);

/// All links.
#[derive(Clone, Debug, Default)]
pub struct Net {
    /// Pairs of sender and receiver between which messages are lost.
    cuts: Vec<(Id, Id)>,
    /// Pairs whose open connections are silent until they are discarded.
    silent: Vec<(Id, Id)>,
    /// The fate of the next message of a flow to or from a part.
    fate: Option<(Flow, Id, Fate)>,
    /// When the last part of a stream arrives, by sender and receiver.
    streams: Vec<((Id, Id), Time)>,
}

const fn pair(a: Id, b: Id) -> (Id, Id) {
    if a < b { (a, b) } else { (b, a) }
}

impl Net {
    /// Loses messages from one part to another.
    pub fn cut(&mut self, from: Id, to: Id) {
        self.cuts.push((from, to));
    }

    /// Ends all cuts.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Silences the open connections of two parts.
    pub fn silence(&mut self, a: Id, b: Id) {
        self.silent.push(pair(a, b));
    }

    /// Replaces the connections of two parts by new ones.
    pub fn discard(&mut self, a: Id, b: Id) {
        self.silent.retain(|p| *p != pair(a, b));
    }

    /// Returns whether messages from one part reach another.
    #[must_use]
    pub fn passes(&self, from: Id, to: Id) -> bool {
        !self.cuts.contains(&(from, to))
    }

    /// Returns whether the open connections of two parts are silent.
    #[must_use]
    pub fn is_silent(&self, a: Id, b: Id) -> bool {
        self.silent.contains(&pair(a, b))
    }

    /// Sets the fate of the next message of a flow to or from a part.
    pub const fn set_fate(&mut self, flow: Flow, part: Id, fate: Fate) {
        self.fate = Some((flow, part, fate));
    }

    /// Returns whether a fate is set that no message met.
    #[must_use]
    pub const fn has_fate(&self) -> bool {
        self.fate.is_some()
    }

    /// Returns the times at which a message arrives.
    pub fn arrivals(&mut self, from: Id, to: Id, flow: Flow, at: Time) -> Vec<Time> {
        if from != to && (!self.passes(from, to) || self.is_silent(from, to)) {
            return Vec::new();
        }
        let hit = |(of, part, _): &mut (Flow, Id, Fate)| {
            *of == flow && (*part == from || *part == to) && from != to
        };
        let fate = self.fate.take_if(hit).map(|(_, _, fate)| fate);
        if flow == Flow::Stream {
            return self.stream_arrival(from, to, fate, at);
        }
        match fate {
            None => vec![at],
            Some(Fate::Lost) => Vec::new(),
            Some(Fate::Doubled) => vec![at, at + BEHIND],
            Some(Fate::Late) => vec![at + LATE],
            Some(Fate::Reordered) => vec![at + BEHIND],
        }
    }

    /// A stream keeps its order and has no gaps: what is late delays the rest,
    /// and a loss that is not repaired silences the connection.
    fn stream_arrival(&mut self, from: Id, to: Id, fate: Option<Fate>, at: Time) -> Vec<Time> {
        if fate == Some(Fate::Lost) {
            self.silence(from, to);
            return Vec::new();
        }
        let at = if fate == Some(Fate::Late) {
            at + LATE
        } else {
            at
        };
        if let Some((_, last)) = self.streams.iter_mut().find(|s| s.0 == (from, to)) {
            *last = at.max(*last);
            return vec![*last];
        }
        self.streams.push(((from, to), at));
        vec![at]
    }
}
