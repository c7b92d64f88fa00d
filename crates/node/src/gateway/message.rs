//! Messages between entry and control processes.

use std::sync::Arc;

use masticlock_core::{
    consensus::{Identity, Member, Message, Payload},
    fleet, plain,
    replicated::{Command, Rollout},
    report,
    time::Span,
};

plain! {
    /// What an instance has seen of a control instance's merged state.
    #[derive(Copy, Eq, Default)]
    pub struct Cursor {
        /// Random number of the control process that the marks belong to.
        pub process_id: u64,
        /// Mark of the directory.
        pub directory_revision: u64,
        /// Whether the whole directory was sent after the process had time to hear all upstreams.
        pub complete: bool,
    }

    /// Asks a control instance for what is new.
    #[derive(Eq)]
    pub struct Poll {
        /// What the sender has seen.
        pub cursor: Cursor,
        /// Number of the configuration that the sender holds; none from a control instance, which
        /// has the agreed state from the log.
        pub config_revision: Option<u64>,
        /// The sender's own report, if it is an entry instance.
        pub report: Option<report::Report>,
        /// Services of which the loads in all failure domains are wanted. Of the others only those in
        /// the sender's own failure domain are.
        pub spillover_services: Vec<Arc<str>>,
        /// Internal address of the sender, if it is a control instance.
        pub control_address: Option<String>,
    }

    /// The agreed state as entry instances get it.
    #[derive(Eq)]
    pub struct AgreedState {
        /// Number of the configuration.
        pub revision: u64,
        /// The configuration, unless the sender of the poll holds it.
        pub content: Option<Payload>,
        /// Failure domains out of service.
        pub taken_out: Vec<Arc<str>>,
        /// Rollouts.
        pub rollouts: Vec<Rollout>,
    }

    /// A control instance as the others know it.
    #[derive(Eq)]
    pub struct ControlInstance {
        /// Internal address.
        pub address: String,
        /// Failure domain; none before it has told.
        pub domain: Option<Arc<str>>,
    }

    /// What is new at a control instance.
    #[derive(Eq)]
    pub struct Update {
        /// Marks to send with the next poll.
        pub cursor: Cursor,
        /// Identity of the sender's data folder.
        pub identity: Identity,
        /// Whether the sender is the leader with a valid lease.
        pub is_leader: bool,
        /// Time since the agreed state was known to be the newest; none if it never was.
        pub agreed_age: Option<Span>,
        /// Index of the log that the agreed state belongs to.
        pub commit_index: u64,
        /// Failure domain of the sender.
        pub domain: Arc<str>,
        /// Whether `fleet` has all upstreams and not only those whose records changed. A process that
        /// has just started doesn't know them yet.
        pub is_full: bool,
        /// Upstreams whose records changed.
        pub records: Vec<fleet::Record>,
        /// Announcements that changed nothing, for control instances.
        pub heartbeats: Vec<fleet::Heartbeat>,
        /// The reports that the sender got itself, for control instances.
        pub summary: Option<report::Summary>,
        /// Totals over the other entry instances, for an entry instance.
        pub totals: Option<report::Totals>,
        /// The agreed state, for an entry instance.
        pub agreed: Option<AgreedState>,
        /// The control instances.
        pub control_instances: Vec<ControlInstance>,
    }

    /// A message to a control instance.
    #[derive(Eq)]
    pub enum Request {
        /// A message of the replicated log, which is not answered.
        Replica(Message),
        /// Asks for what is new.
        Poll(Poll),
        /// Asks the leader to append a command.
        Submit(Command),
        /// Asks the leader for the index that a read must see.
        Read,
        /// Asks the leader to add a replica.
        Join(Member),
    }

    /// Why a control instance did not do what it was asked for.
    #[derive(Copy, Eq, thiserror::Error)]
    pub enum Refusal {
        /// No leader with a valid lease is known or reached.
        #[error("no leader with a valid lease is reached")]
        NoLeader,
        /// The command may or may not take effect.
        #[error("the outcome of the command is not known")]
        Unknown,
        /// The identity was removed from the replica set for good.
        #[error("the replica was removed")]
        Removed,
    }

    /// An answer of a control instance.
    #[derive(Eq)]
    pub enum Reply {
        /// Answers a poll.
        Update(Box<Update>),
        /// The command or replica is committed, or the read must see this index.
        Done(u64),
        /// It was not done.
        Refused(Refusal),
    }
}
