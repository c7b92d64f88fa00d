//! A time line of events over all processes.
//!
//! Stamps come from a hybrid logical clock (Kulkarni et al., "Logical Physical
//! Clocks", OPODIS 2014): close to wall time, and a cause always has a lower
//! stamp than its effect, although the wall clocks of processes differ.

use std::{collections::VecDeque, fmt};

use serde::{Deserialize, Serialize};

use crate::name;

/// Furthest that a received stamp may be ahead of this process's wall clock, in milliseconds.
///
/// A peer with a broken clock would otherwise pull all stamps into the future.
pub const MAX_CLOCK_SKEW_MS: u64 = 60_000;

/// A point on the time line.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Timestamp {
    /// Milliseconds since the Unix epoch, never behind a stamp seen before.
    pub millis: u64,
    /// Orders events within one millisecond.
    pub count: u32,
}

impl Timestamp {
    /// Returns the lowest stamp above this one that isn't behind `wall`.
    fn next(self, wall: u64) -> Self {
        if wall > self.millis {
            return Self {
                millis: wall,
                count: 0,
            };
        }
        match self.count.checked_add(1) {
            Some(count) => Self { count, ..self },
            None => Self {
                millis: self.millis + 1,
                count: 0,
            },
        }
    }
}

/// A hybrid logical clock.
#[derive(Debug, Default)]
pub struct Clock {
    last: Timestamp,
}

impl Clock {
    /// Returns the stamp of a new event at wall time `wall`, in milliseconds since the Unix epoch.
    pub fn tick(&mut self, wall: u64) -> Timestamp {
        self.last = self.last.next(wall);
        self.last
    }

    /// Takes note of a stamp that came with a message.
    ///
    /// Stamps too far ahead of `wall` are ignored.
    pub fn observe(&mut self, stamp: Timestamp, wall: u64) {
        if stamp.millis <= wall.saturating_add(MAX_CLOCK_SKEW_MS) {
            self.last = self.last.max(stamp);
        }
    }
}

plain! {
    /// What happened.
    #[serde(tag = "what", rename_all = "snake_case")]
    #[derive(Eq)]
    pub enum EventKind {
        /// A process serves.
        Started,
        /// A process was told to stop.
        Stopping,
        /// A process ended after its work.
        Stopped {
            /// Requests that were cut off.
            cut: u64,
        },
        /// A replica became leader.
        Elected {
            /// Its term.
            term: u64,
        },
        /// A leader stepped down.
        SteppedDown {
            /// Its term.
            term: u64,
        },
        /// A command was accepted or refused.
        Decided {
            /// Id of the command.
            command: name::Command,
            /// Revision that it made, if accepted.
            revision: Option<u64>,
        },
        /// An instance applies a revision.
        Applied {
            /// The revision.
            revision: u64,
        },
        /// The configuration lease ended.
        CutOff,
        /// The configuration lease is valid again.
        Reconnected,
        /// An upstream announced a state.
        Announced {
            /// The upstream.
            upstream: name::Upstream,
            /// Its incarnation.
            incarnation: u64,
            /// Its state.
            state: String,
        },
        /// The ownership of an upstream changed.
        Owned {
            /// The upstream.
            upstream: name::Upstream,
        },
        /// An upstream's limit changed.
        Limited {
            /// The upstream.
            upstream: name::Upstream,
            /// Its limit.
            slots: u32,
            /// Why.
            reason: String,
        },
        /// An upstream crashed while it ran a request.
        Crashed {
            /// The upstream.
            upstream: name::Upstream,
            /// The request.
            request: name::Request,
        },
        /// A request's fingerprint is quarantined.
        Quarantined {
            /// The request that crashed an upstream last.
            request: name::Request,
        },
        /// A rollout moved.
        RolledOut {
            /// The version.
            version: name::Version,
            /// What was done.
            step: String,
        },
        /// A replica joined, was promoted or was removed.
        Replica {
            /// The instance.
            instance: name::Instance,
            /// What was done.
            step: String,
        },
    }

    /// An event of one process.
    #[derive(Eq)]
    pub struct Event {
        /// When, on the time line.
        pub stamp: Timestamp,
        /// Number of the event in its process, from 1.
        pub sequence: u64,
        /// The process.
        pub instance: name::Instance,
        /// What happened.
        #[serde(flatten)]
        pub kind: EventKind,
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Timestamp { millis, count } = self.stamp;
        write!(f, "{}.{:03}+{count} ", millis / 1_000, millis % 1_000)?;
        write!(f, "{} {:?}", self.instance, self.kind)
    }
}

/// The latest events of one process.
#[derive(Debug)]
pub struct Log {
    instance: name::Instance,
    clock: Clock,
    events: VecDeque<Event>,
    capacity: usize,
    sequence: u64,
}

impl Log {
    /// Returns an empty log that keeps the latest `capacity` events.
    #[must_use]
    pub fn new(instance: name::Instance, capacity: usize) -> Self {
        Self {
            instance,
            clock: Clock::default(),
            events: VecDeque::new(),
            capacity,
            sequence: 0,
        }
    }

    /// Returns the process that the events are of.
    #[must_use]
    pub const fn instance(&self) -> &name::Instance {
        &self.instance
    }

    /// Records an event at wall time `wall` and returns its stamp.
    pub fn record(&mut self, kind: EventKind, wall: u64) -> Timestamp {
        let stamp = self.clock.tick(wall);
        self.sequence += 1;
        if self.events.len() == self.capacity {
            self.events.pop_front();
        }
        self.events.push_back(Event {
            stamp,
            sequence: self.sequence,
            instance: self.instance.clone(),
            kind,
        });
        stamp
    }

    /// Takes note of a stamp that came with a message.
    pub fn observe(&mut self, stamp: Timestamp, wall: u64) {
        self.clock.observe(stamp, wall);
    }

    /// Returns the stamp to send with a message.
    pub fn tick(&mut self, wall: u64) -> Timestamp {
        self.clock.tick(wall)
    }

    /// Returns the events after `sequence`.
    ///
    /// A first event with a higher number than `sequence + 1` means that
    /// events between them are not kept any more.
    #[must_use]
    pub fn events_after(&self, sequence: u64) -> Vec<Event> {
        let start = self.events.partition_point(|e| e.sequence <= sequence);
        self.events.range(start..).cloned().collect()
    }
}

/// Merges the events of several processes into one order.
#[must_use]
pub fn merge<I>(logs: I) -> Vec<Event>
where
    I: IntoIterator<Item = Vec<Event>>,
{
    let mut events: Vec<_> = logs.into_iter().flatten().collect();
    events.sort_by(|a, b| {
        (a.stamp, &a.instance, a.sequence).cmp(&(b.stamp, &b.instance, b.sequence))
    });
    events.dedup();
    events
}
