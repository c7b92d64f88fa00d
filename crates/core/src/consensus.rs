//! The replicated log: Raft with pre-vote, check-quorum and a leader lease.
//!
//! [`Replica::step`] takes an event and the current time and returns the
//! actions for the process to carry out, in order; it does no I/O itself. The
//! algorithm follows Ongaro and Ousterhout, "In Search of an Understandable
//! Consensus Algorithm" (2014), with the single-server membership changes of
//! Ongaro's dissertation (section 4.1) and the lease of its section 6.4.1.

mod append;
mod election;
mod event;
mod fault;
mod leader;
mod leader_state;
mod log;
mod members;
mod message;
mod payload;
mod replica;
mod transfer;
mod write_queue;

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
/// The lease outlasts one lost heartbeat. A shorter interval would add to the idle traffic, which
/// is limited to 3 KB/s per instance.
pub const HEARTBEAT_INTERVAL: Span = Span::from_millis(400);

/// Longest time between two [`Event::Tick`]s of a replica.
pub const MAX_TICK_INTERVAL: Span = Span::from_millis(50);

/// Duration of the leader lease, counted from the send time of the heartbeats that a majority
/// answered.
pub const LEASE_DURATION: Span = Span::from_millis(1_000);

/// Largest difference in rate between two replicas' clocks, in percent.
pub const CLOCK_DRIFT_PERCENT: u64 = 5;

/// Upper bound of the randomized election timeout: the time without a leader after which a voter
/// stands for election.
pub const MAX_ELECTION_TIMEOUT: Span = Span::from_millis(1_600);
