//! Whether an instance has a way to upstreams at all.
//!
//! A single upstream that is silent, refuses connections or resets them is a matter of that
//! upstream, and a failure domain without an answer one of that failure domain. An instance is cut
//! off if new connections to several upstreams of several failure domains fail and none is accepted.
//! Connections that were open before may live on, so answers on them do not speak against it.
//!
//! The load pattern: most instances of a failure domain, or all of them, lose their way to all
//! upstreams for seconds, while clients, peers and control instances reach them as before.

use std::sync::Arc;

use crate::time::{Span, Time};

/// Time without an answer after a request was to be sent until connections are tried.
const MAX_SILENCE: Span = Span::from_millis(200);

/// Shortest time between two rounds of trial connections.
const ROUND_INTERVAL: Span = Span::from_millis(250);

/// Rounds in a row in which connections were accepted until the instance returns to upstreams, if
/// its way was lost a short time before.
const STABLE_ROUNDS: u32 = 4;

/// Time after a return within which the way counts as unstable.
const UNSTABLE_TIME: Span = Span::from_secs(10);

/// The result of a connection to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trial {
    /// Failure domain of the upstream.
    pub domain: Arc<str>,
    /// Whether the connection was accepted.
    pub accepted: bool,
}

/// What a round of trial connections has shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The instance has lost its way to upstreams.
    Lost,
    /// It has its way back.
    Returned,
    /// Nothing.
    Unchanged,
}

/// The state of an instance's way to upstreams.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    /// When a request was to be sent after the last sign of life.
    waiting_since: Option<Time>,
    /// Whether a connection has failed since the last round.
    has_failure: bool,
    last_round: Option<Time>,
    is_cut_off: bool,
    returned_at: Option<Time>,
    /// Whether the way was lost a short time after its last return.
    is_unstable: bool,
    /// Rounds in a row in which connections were accepted while cut off.
    good_rounds: u32,
}

impl Reach {
    /// Returns whether the instance has no way to upstreams.
    #[must_use]
    pub const fn is_cut_off(&self) -> bool {
        self.is_cut_off
    }

    /// Records that a request is to be sent to an upstream.
    pub fn wanted(&mut self, now: Time) {
        self.waiting_since.get_or_insert(now);
    }

    /// Records a sign of life of an upstream.
    pub const fn heard(&mut self) {
        self.waiting_since = None;
    }

    /// Records that a connection failed.
    pub const fn failed(&mut self) {
        self.has_failure = true;
    }

    /// Returns whether no upstream has given a sign of life for some time.
    #[must_use]
    pub fn is_silent(&self, now: Time) -> bool {
        self.waiting_since
            .is_some_and(|since| now.since(since) >= MAX_SILENCE)
    }

    /// Returns whether connections to upstreams are to be tried now, and starts the round if so.
    pub fn begin_round(&mut self, now: Time) -> bool {
        let is_rested = self
            .last_round
            .is_none_or(|at| now.since(at) >= ROUND_INTERVAL);
        let is_due = self.is_cut_off || self.has_failure || self.is_silent(now);
        if !is_rested || !is_due {
            return false;
        }
        self.last_round = Some(now);
        self.has_failure = false;
        true
    }

    /// Records the results of a round. `domains` is the number of failure domains with upstreams.
    pub fn end_round(&mut self, trials: &[Trial], domains: usize, now: Time) -> Change {
        let accepted = trials.iter().any(|t| t.accepted);
        if self.is_cut_off {
            if !accepted {
                self.good_rounds = 0;
                return Change::Unchanged;
            }
            self.good_rounds += 1;
            if self.is_unstable && self.good_rounds < STABLE_ROUNDS {
                return Change::Unchanged;
            }
            self.is_cut_off = false;
            self.waiting_since = None;
            self.returned_at = Some(now);
            return Change::Returned;
        }
        let mut tried: Vec<&Arc<str>> = trials.iter().map(|t| &t.domain).collect();
        tried.sort_unstable();
        tried.dedup();
        if accepted || trials.len() < 2 || tried.len() < domains.min(2) {
            return Change::Unchanged;
        }
        self.is_cut_off = true;
        self.good_rounds = 0;
        self.is_unstable = self
            .returned_at
            .is_some_and(|at| now.since(at) < UNSTABLE_TIME);
        Change::Lost
    }
}
