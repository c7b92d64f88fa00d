use super::{
    CLOCK_DRIFT_PERCENT, Fault, HEARTBEAT_INTERVAL, Identity, LEASE_DURATION, MAX_ELECTION_TIMEOUT,
    Member, Message, Payload, Record, Snapshot,
};
use crate::{
    memory,
    time::{Span, Time},
};

/// Settings of a replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Settings {
    /// Seed of the election timeouts; differs between replicas.
    pub seed: u64,
    /// Limits of message sizes and of the log in memory.
    pub limits: Limits,
    /// Timing of heartbeats and elections; must be the same for all replicas.
    pub timing: Timing,
    /// A deliberate violation of the algorithm, for tests only.
    pub fault: Option<Fault>,
}

/// Timing of heartbeats and elections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Interval between a leader's heartbeats.
    pub heartbeat_interval: Span,
    /// Duration of the leader lease, counted from the send time of the heartbeats that a majority
    /// answered.
    pub lease_duration: Span,
    /// Upper bound of the randomized election timeout.
    pub max_election_timeout: Span,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat_interval: HEARTBEAT_INTERVAL,
            lease_duration: LEASE_DURATION,
            max_election_timeout: MAX_ELECTION_TIMEOUT,
        }
    }
}

impl Timing {
    /// Returns the lower bound of the election timeout. Until it has passed since a replica heard
    /// from a leader, the replica votes for no other one.
    ///
    /// It exceeds the lease by the clock drift bound and by one millisecond for each of the two
    /// rounded clocks.
    #[must_use]
    pub const fn min_election_timeout(&self) -> Span {
        Span::from_millis(self.lease_duration.as_millis() * (100 + CLOCK_DRIFT_PERCENT) / 100 + 2)
    }
}

/// Limits of message sizes and of the log in memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of uncommitted entries in a leader's log.
    pub uncommitted_entries: u64,
    /// Approximate maximum size of the uncommitted entries in a leader's log, in bytes. A single one
    /// may be larger.
    pub uncommitted_bytes: u64,
    /// Maximum size of a payload, in bytes.
    pub payload_bytes: usize,
    /// Maximum number of entries in one message.
    pub batch_entries: usize,
    /// Approximate maximum size of the entries in one message, in bytes.
    pub batch_bytes: usize,
    /// Maximum size of the snapshot part in one message, in bytes.
    pub chunk_bytes: usize,
    /// Number of entries before a snapshot that stay in memory, so that followers that lag slightly
    /// need no snapshot.
    pub trailing_entries: u64,
    /// Approximate maximum size of these entries, in bytes.
    pub trailing_bytes: u64,
}

impl Limits {
    /// Returns the default limits for a log that takes up at most `bytes` of memory: half of it in
    /// uncommitted entries, a quarter in those before the snapshot and a quarter in those after it,
    /// for which the state machine takes snapshots.
    #[must_use]
    pub fn for_log(bytes: u64) -> Self {
        Self {
            uncommitted_bytes: bytes / 2,
            trailing_bytes: bytes / 4,
            ..Self::default()
        }
    }
}

impl Default for Limits {
    /// Returns limits with which a payload, a batch and a snapshot part each fit in an RPC request
    /// of 10 MB, even if they are not text and take up to 4 bytes of JSON for each byte.
    fn default() -> Self {
        Self {
            uncommitted_entries: 8_192,
            uncommitted_bytes: memory::MAX_LOG_BYTES / 2,
            payload_bytes: 2 * 1_024 * 1_024,
            batch_entries: 1_024,
            batch_bytes: 256 * 1_024,
            chunk_bytes: 256 * 1_024,
            trailing_entries: 1_000,
            trailing_bytes: memory::MAX_LOG_BYTES / 4,
        }
    }
}

plain! {
    /// An input of [`Replica::step`](super::Replica::step).
    #[derive(Eq)]
    pub enum Event {
        /// Time has passed.
        Tick,
        /// A message has arrived.
        Received(Message),
        /// Proposes a payload. Completed by [`Action::Answer`].
        Propose {
            /// Request number, repeated in the answer.
            ticket: u64,
            /// The state machine's command.
            payload: Payload,
        },
        /// Requests a linearizable read. Completed by [`Action::Read`].
        Read {
            /// Request number, repeated in the answer.
            ticket: u64,
        },
        /// The writes up to this sequence number are synced.
        Synced(u64),
        /// The state machine has taken a snapshot.
        Snapshotted {
            /// Index of the last applied entry that it covers.
            index: u64,
            /// Serialized state of the state machine.
            data: Payload,
        },
        /// Requests that a learner is added. Completed by [`Action::Answer`].
        AddLearner {
            /// Request number, repeated in the answer.
            ticket: u64,
            /// The new replica.
            member: Member,
        },
        /// Requests that a learner becomes a voter. Completed by [`Action::Answer`].
        Promote {
            /// Request number, repeated in the answer.
            ticket: u64,
            /// The learner.
            id: Identity,
        },
        /// Requests that a replica is removed permanently. Completed by [`Action::Answer`].
        Remove {
            /// Request number, repeated in the answer.
            ticket: u64,
            /// The replica.
            id: Identity,
        },
    }

    /// An operation for the process to carry out, in the order in which a step returns them.
    #[derive(Eq)]
    pub enum Action {
        /// Send a message. It may be lost.
        Send(Message),
        /// Write the records, sync them with one sync and then step with [`Event::Synced`].
        Write {
            /// Sequence number, which increases by 1 with each write.
            sequence: u64,
            /// Records in the order in which they apply.
            records: Vec<Record>,
        },
        /// Apply a committed payload to the state machine. Indexes increase; entries without a
        /// payload are skipped.
        Apply {
            /// Index of the entry.
            index: u64,
            /// Term of the entry.
            term: u64,
            /// The state machine's command.
            payload: Payload,
        },
        /// Replace the state machine's state with a received snapshot.
        Install(Snapshot),
        /// Complete a proposal or a membership change. Follows the entry's `Apply`.
        Answer {
            /// Request number.
            ticket: u64,
            /// Index of the committed entry, or why the request was refused.
            outcome: Result<u64, Refusal>,
        },
        /// Complete a read from the state that is applied now.
        Read {
            /// Request number.
            ticket: u64,
            /// Commit index that the read observes, or why the read was refused.
            outcome: Result<u64, Refusal>,
        },
        /// The replica is the leader and has committed the first entry of its term.
        ///
        /// It may serve reads and send orders while [`Status::may_act`] is true.
        Elected {
            /// The term that it leads.
            term: u64,
        },
        /// The replica is no longer the leader.
        StepDown {
            /// The term that it led.
            term: u64,
        },
        /// Stop the process because the logs of the replicas contradict each other.
        Halt {
            /// The contradiction.
            reason: String,
        },
    }

    /// Why a request was refused.
    #[derive(Eq, thiserror::Error)]
    pub enum Refusal {
        /// The replica is not the leader.
        #[error("this replica is not the leader")]
        NotLeader {
            /// The leader, if it is known.
            leader: Option<Member>,
        },
        /// The replica is the leader but has no valid lease or has committed no entry of its term.
        #[error("the leader has no valid lease")]
        NoLease,
        /// Too many proposals are uncommitted.
        #[error("too many proposals wait for the majority")]
        Overloaded,
        /// The replica lost leadership before the proposal was committed; it may still be
        /// committed.
        #[error("the leader changed while the proposal waited")]
        LeaderChanged,
        /// Another membership change is not committed yet.
        #[error("another membership change is under way")]
        ChangeUnderWay,
        /// The learner has not synced the committed log.
        #[error("the learner has not caught up")]
        NotCaughtUp,
        /// The payload or the membership change is invalid.
        #[error("{0}")]
        Unfit(String),
    }

    /// Role of a replica in its term.
    #[derive(Copy, Eq)]
    pub enum Role {
        /// Receives the log from a leader or waits for one.
        Follower,
        /// Asks in a pre-vote whether it would be elected.
        PreCandidate,
        /// Stands for election.
        Candidate,
        /// Appends entries and replicates them.
        Leader,
    }

    /// State of a replica as reported to operators.
    #[derive(Eq)]
    pub struct Status {
        /// Identity of the replica.
        pub id: Identity,
        /// Role in the current term.
        pub role: Role,
        /// Current term.
        pub term: u64,
        /// The leader of the term, if it is known.
        pub leader: Option<Identity>,
        /// Index of the last committed entry.
        pub commit: u64,
        /// Index of the last entry of the log.
        pub last: u64,
        /// Voters.
        pub voters: Vec<Member>,
        /// Learners.
        pub learners: Vec<Member>,
        /// Learners that have synced everything committed, if this replica is the leader.
        pub caught_up: Vec<Identity>,
        /// End of the leader lease on this replica's clock, if it is the leader.
        pub lease: Option<Time>,
        /// Whether the replica may serve reads and send orders: it is the leader, has committed an
        /// entry of its term and holds the lease.
        pub may_act: bool,
    }
}

impl Refusal {
    /// Returns whether the refused proposal may still be committed.
    #[must_use]
    pub const fn may_commit(&self) -> bool {
        matches!(self, Self::LeaderChanged)
    }
}
