//! The replicated log: Raft with pre-vote, check-quorum and a leader lease.
//!
//! [`Replica::step`] takes an event and the time and returns the actions that
//! the process carries out, in order. The method is the one of Ongaro and
//! Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014),
//! with the single-server membership changes of Ongaro's dissertation
//! (section 4.1) and the lease of its section 6.4.1.

mod append;
mod election;
mod event;
mod fault;
mod journal;
mod lead;
mod leader;
mod log;
mod members;
mod message;
mod payload;
mod replica;
mod transfer;

pub use self::{
    event::{Action, Event, Limits, Refusal, Role, Settings, Status, Timing},
    fault::Fault,
    members::{Identity, Member, Members},
    message::{Body, Content, Entry, Image, Message, Record, Snapshot, Vote},
    payload::Payload,
    replica::Replica,
};

use crate::time::Span;

/// Interval between a leader's heartbeats.
///
/// The lease outlasts one lost heartbeat. A shorter interval adds to the idle cost, which is bounded
/// by 3 KB/s per instance.
pub const HEARTBEAT_INTERVAL: Span = Span::from_millis(400);

/// Longest time between two ticks that a process may leave.
pub const MAX_TICK_INTERVAL: Span = Span::from_millis(50);

/// Length of the leader lease, counted from the send time of the heartbeats that a majority
/// answered.
pub const LEASE_DURATION: Span = Span::from_millis(1_000);

/// Largest difference in rate between two replicas' clocks, in percent.
pub const CLOCK_DRIFT_PERCENT: u64 = 5;

/// Longest time without a leader after which a replica stands for election.
pub const MAX_ELECTION_TIMEOUT: Span = Span::from_millis(1_600);
