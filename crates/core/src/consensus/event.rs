use super::{
    CLOCK_DRIFT_PERCENT, Fault, HEARTBEAT_INTERVAL, Identity, LEASE_DURATION, MAX_ELECTION_TIMEOUT,
    Member, Message, Payload, Record, Snapshot,
};
use crate::time::{Span, Time};

/// Settings of a replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Settings {
    /// Seed of the election timeouts; differs between replicas.
    pub seed: u64,
    /// Sizes of messages and of what stays in memory.
    pub limits: Limits,
    /// Times of heartbeats and elections; the same for all replicas.
    pub timing: Timing,
    /// A deliberate fault; only tests set one.
    pub fault: Option<Fault>,
}

/// Times of heartbeats and elections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Interval between a leader's heartbeats.
    pub heartbeat_interval: Span,
    /// Length of the leader lease, counted from the send time of the heartbeats that a majority
    /// answered.
    pub lease_duration: Span,
    /// Longest time without a leader after which a replica stands for election.
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
    /// Returns the shortest time without a leader after which a replica votes for another one.
    ///
    /// Longer than the lease by the clock drift bound and one millisecond for each rounded clock.
    #[must_use]
    pub const fn min_election_timeout(&self) -> Span {
        Span::from_millis(self.lease_duration.as_millis() * (100 + CLOCK_DRIFT_PERCENT) / 100 + 2)
    }
}

/// Sizes of messages and of what stays in memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Most entries of a leader's log that wait for the majority.
    pub uncommitted_entries: u64,
    /// Most bytes of a payload.
    pub payload_bytes: usize,
    /// Most entries in one message.
    pub batch_entries: usize,
    /// Approximate bytes of the entries in one message.
    pub batch_bytes: usize,
    /// Most bytes of a snapshot in one message.
    pub chunk_bytes: usize,
    /// Entries that stay in memory behind a snapshot, for followers that are a little behind.
    pub trailing_entries: u64,
}

impl Default for Limits {
    /// A payload, a batch and a chunk fit an RPC request of 10 MB, even if they are not text and
    /// take up to 4 bytes of JSON for each byte.
    fn default() -> Self {
        Self {
            uncommitted_entries: 8_192,
            payload_bytes: 2 * 1_024 * 1_024,
            batch_entries: 1_024,
            batch_bytes: 256 * 1_024,
            chunk_bytes: 256 * 1_024,
            trailing_entries: 1_000,
        }
    }
}

plain! {
    /// An input of a replica.
    #[derive(Eq)]
    pub enum Event {
        /// Time has passed.
        Tick,
        /// A message has arrived.
        Received(Message),
        /// Asks to append a payload. Answered by [`Action::Answer`].
        Propose {
            /// Number that the answer repeats.
            ticket: u64,
            /// Bytes of the state machine's command.
            payload: Payload,
        },
        /// Asks for a linearizable read. Answered by [`Action::Read`].
        Read {
            /// Number that the answer repeats.
            ticket: u64,
        },
        /// The records of the write with this sequence number and all earlier ones are synced.
        Synced(u64),
        /// The state machine has taken a snapshot after the entry with that index.
        Snapshotted {
            /// An applied index.
            index: u64,
            /// The state machine's bytes.
            data: Payload,
        },
        /// Asks to add a learner. Answered by [`Action::Answer`].
        AddLearner {
            /// Number that the answer repeats.
            ticket: u64,
            /// The new replica.
            member: Member,
        },
        /// Asks to make a learner a voter. Answered by [`Action::Answer`].
        Promote {
            /// Number that the answer repeats.
            ticket: u64,
            /// The learner.
            id: Identity,
        },
        /// Asks to remove a replica for good. Answered by [`Action::Answer`].
        Remove {
            /// Number that the answer repeats.
            ticket: u64,
            /// The replica.
            id: Identity,
        },
    }

    /// Something the process has to do, in the order of the list.
    #[derive(Eq)]
    pub enum Action {
        /// Send a message. Losing it is allowed.
        Send(Message),
        /// Write the records, sync them once and then step with [`Event::Synced`].
        Write {
            /// Sequence number.
            sequence: u64,
            /// Records in order.
            records: Vec<Record>,
        },
        /// Apply a committed payload. Indexes grow; entries without payload are left out.
        Apply {
            /// Index of the entry.
            index: u64,
            /// Term of the entry.
            term: u64,
            /// Bytes of the command.
            payload: Payload,
        },
        /// Replace the state machine's state.
        Install(Snapshot),
        /// The end of a proposal or a membership change. Follows the entry's `Apply`.
        Answer {
            /// Number of the request.
            ticket: u64,
            /// Index of the committed entry, or why there is none.
            outcome: Result<u64, Refusal>,
        },
        /// The end of a read.
        Read {
            /// Number of the request.
            ticket: u64,
            /// The state that is applied now answers the read, or why it doesn't.
            outcome: Result<u64, Refusal>,
        },
        /// The replica is the leader and has committed an entry of its own term.
        ///
        /// It may act while [`Status::may_act`] holds.
        Elected {
            /// Its term.
            term: u64,
        },
        /// The replica is no longer the leader.
        StepDown {
            /// The term that it led.
            term: u64,
        },
        /// Stop the process: the log has been damaged.
        Halt {
            /// What was found.
            reason: String,
        },
    }

    /// Why a request was refused.
    #[derive(Eq, thiserror::Error)]
    pub enum Refusal {
        /// Another replica may be the leader.
        #[error("this replica is not the leader")]
        NotLeader {
            /// The leader, if it is known.
            leader: Option<Member>,
        },
        /// The replica leads without a valid lease or before its first commit.
        #[error("the leader has no valid lease")]
        NoLease,
        /// Too many proposals wait for the majority.
        #[error("too many proposals wait for the majority")]
        Overloaded,
        /// The replica stopped leading while the proposal waited.
        #[error("the leader changed while the proposal waited")]
        LeaderChanged,
        /// Another membership change is not committed yet.
        #[error("another membership change is under way")]
        ChangeUnderWay,
        /// The learner has not received the whole log.
        #[error("the learner has not caught up")]
        NotCaughtUp,
        /// The payload or the membership change can't be accepted.
        #[error("{0}")]
        Unfit(String),
    }

    /// What a replica does in its term.
    #[derive(Copy, Eq)]
    pub enum Role {
        /// Receives the log.
        Follower,
        /// Probes whether it would be elected.
        PreCandidate,
        /// Stands for election.
        Candidate,
        /// Leads.
        Leader,
    }

    /// State of a replica for status pages.
    #[derive(Eq)]
    pub struct Status {
        /// Its identity.
        pub id: Identity,
        /// Its role.
        pub role: Role,
        /// Its term.
        pub term: u64,
        /// The leader of the term, if it is known.
        pub leader: Option<Identity>,
        /// Last committed index.
        pub commit: u64,
        /// Last index of the log.
        pub last: u64,
        /// Voters.
        pub voters: Vec<Member>,
        /// Learners.
        pub learners: Vec<Member>,
        /// Learners that have received the whole log, as the leader sees it.
        pub caught_up: Vec<Identity>,
        /// End of the leader lease on this replica's clock, if it leads.
        pub lease: Option<Time>,
        /// Whether it may answer reads and send orders.
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
