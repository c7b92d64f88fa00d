//! A timeline that merges the events of all processes.
//!
//! Timestamps come from a hybrid logical clock (Kulkarni et al., "Logical Physical
//! Clocks", OPODIS 2014): they stay close to wall time, and a cause always has a
//! lower timestamp than its effect, even if the wall clocks of the processes differ.

use std::{collections::VecDeque, fmt};

use serde::{Deserialize, Serialize};

use crate::name;

/// Furthest that a received timestamp may be ahead of the local wall clock, in milliseconds.
///
/// Without this bound, one peer with a broken clock would move the timestamps of all
/// processes into the future.
pub const MAX_CLOCK_SKEW_MS: u64 = 60_000;

/// A timestamp of the hybrid logical clock.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Timestamp {
    /// Milliseconds since the Unix epoch, never lower than in an earlier or observed timestamp.
    pub millis: u64,
    /// Counter that orders events within one millisecond.
    pub count: u32,
}

impl Timestamp {
    /// Returns the lowest timestamp above this one that isn't behind `wall_ms`.
    fn next(self, wall_ms: u64) -> Self {
        if wall_ms > self.millis {
            return Self {
                millis: wall_ms,
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
    /// Returns the timestamp of a new event at wall time `wall_ms`, in milliseconds since the
    /// Unix epoch.
    pub fn tick(&mut self, wall_ms: u64) -> Timestamp {
        self.last = self.last.next(wall_ms);
        self.last
    }

    /// Advances the clock to a timestamp received with a message.
    ///
    /// Timestamps more than [`MAX_CLOCK_SKEW_MS`] ahead of `wall_ms` are ignored.
    pub fn observe(&mut self, stamp: Timestamp, wall_ms: u64) {
        if stamp.millis <= wall_ms.saturating_add(MAX_CLOCK_SKEW_MS) {
            self.last = self.last.max(stamp);
        }
    }
}

plain! {
    /// The kind of an event, with its details.
    #[serde(tag = "what", rename_all = "snake_case")]
    #[derive(Eq)]
    pub enum EventKind {
        /// The process started to serve.
        Started,
        /// The process received the request to stop.
        Stopping,
        /// The process finished its requests and stopped.
        Stopped {
            /// Requests that were aborted by the stop.
            cut: u64,
        },
        /// The replica became leader.
        Elected {
            /// Its term.
            term: u64,
        },
        /// The leader stepped down.
        SteppedDown {
            /// Its term.
            term: u64,
        },
        /// An operator command was accepted or refused.
        Decided {
            /// Id of the command.
            command: name::Command,
            /// Revision that the command created, if it was accepted.
            revision: Option<u64>,
        },
        /// The process applied a configuration revision.
        Applied {
            /// The revision.
            revision: u64,
        },
        /// The configuration lease expired.
        CutOff,
        /// The configuration lease is valid again.
        Reconnected,
        /// An upstream announced its state.
        Announced {
            /// The upstream.
            upstream: name::Upstream,
            /// Incarnation of the upstream.
            incarnation: u64,
            /// Announced state.
            state: String,
        },
        /// The ownership of an upstream changed.
        Owned {
            /// The upstream.
            upstream: name::Upstream,
        },
        /// The concurrency limit of an upstream changed.
        Limited {
            /// The upstream.
            upstream: name::Upstream,
            /// New limit, in slots.
            slots: u32,
            /// Reason for the change.
            reason: String,
        },
        /// An upstream crashed while running a request.
        Crashed {
            /// The upstream.
            upstream: name::Upstream,
            /// The request.
            request: name::Request,
        },
        /// A request's fingerprint is quarantined.
        Quarantined {
            /// The last request that crashed an upstream.
            request: name::Request,
        },
        /// A rollout advanced or was reverted.
        RolledOut {
            /// The model version.
            version: name::Version,
            /// What was done.
            step: String,
        },
        /// A replica joined, was promoted or was removed.
        Replica {
            /// The instance that runs the replica.
            instance: name::Instance,
            /// What was done.
            step: String,
        },
    }

    /// An event of one process.
    #[derive(Eq)]
    pub struct Event {
        /// Timestamp of the event.
        pub stamp: Timestamp,
        /// Number of the event within its process, counted from 1.
        pub sequence: u64,
        /// The process that recorded the event.
        pub instance: name::Instance,
        /// Kind of the event.
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

/// A bounded log of the latest events of one process.
#[derive(Debug)]
pub struct Log {
    instance: name::Instance,
    clock: Clock,
    events: VecDeque<Event>,
    capacity: usize,
    sequence: u64,
}

impl Log {
    /// Creates an empty log that keeps the latest `capacity` events.
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

    /// Returns the process that records these events.
    #[must_use]
    pub const fn instance(&self) -> &name::Instance {
        &self.instance
    }

    /// Records an event at wall time `wall_ms` and returns its timestamp.
    pub fn record(&mut self, kind: EventKind, wall_ms: u64) -> Timestamp {
        let stamp = self.clock.tick(wall_ms);
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

    /// Advances the clock to a timestamp received with a message, see [`Clock::observe`].
    pub fn observe(&mut self, stamp: Timestamp, wall_ms: u64) {
        self.clock.observe(stamp, wall_ms);
    }

    /// Returns a new timestamp to send with a message.
    pub fn tick(&mut self, wall_ms: u64) -> Timestamp {
        self.clock.tick(wall_ms)
    }

    /// Returns the retained events with a number above `sequence`.
    ///
    /// If the first one's number is higher than `sequence + 1`, the events in between
    /// have been evicted.
    #[must_use]
    pub fn events_after(&self, sequence: u64) -> Vec<Event> {
        let start = self.events.partition_point(|e| e.sequence <= sequence);
        self.events.range(start..).cloned().collect()
    }
}

/// Merges the events of several processes into one order and drops duplicates.
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
