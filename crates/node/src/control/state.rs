use std::sync::Arc;

use masticlock_core::{
    command, config,
    consensus::{self, Action, Event, Image, Payload, Refusal, Replica},
    error, feed,
    machine::{Entry, Input, Machine, Output},
    time::{Span, Time},
    timeline::EventKind,
};

use super::{
    bills::Bills,
    disk::{Disk, Done, Work},
    job::{Reply, send},
    metrics::Metrics,
    peer::Peers,
    rollouts::Rollouts,
};
use crate::{
    clock::Clock,
    journal::Journal,
    rpc::{self, Failure},
};

/// Bytes of entries after which a snapshot is taken, unless the last snapshot is larger.
const SNAPSHOT_BYTES: usize = 512 * 1_024;

/// What waits for a ticket of the log.
#[derive(Debug)]
pub enum Waiting {
    /// An entry without a caller.
    Nothing,
    /// A command, and how long its answer may wait to be in force.
    Submit(Span, Reply<rpc::Submitted>),
    /// A claim, permit or other entry, with the way to its answer.
    Entry(EntryReply),
    /// A read.
    Read(Read),
    /// A new replica.
    Join(Reply<()>),
}

/// The answer to an entry.
#[derive(Debug)]
pub enum EntryReply {
    /// A claim.
    Begin(Reply<masticlock_core::claim::Decision>),
    /// A permit.
    Acquire(Reply<bool>),
    /// An entry without further answer.
    Applied(Reply<()>),
}

/// A read of the agreed state.
#[derive(Debug)]
pub enum Read {
    /// The outcome of a command.
    Lookup(rpc::Lookup, Reply<rpc::Submitted>),
    /// The state of the system.
    Status(Reply<rpc::Status>),
    /// The accepted configuration.
    Config(Reply<config::Config>),
    /// A claim.
    Claim(
        rpc::ClaimLookup,
        Reply<Option<masticlock_core::claim::State>>,
    ),
}

/// A poll that is held until there is news.
#[derive(Debug)]
pub struct Held {
    /// The poll.
    pub poll: feed::Poll,
    /// When it arrived.
    pub arrived: Time,
    /// Where the answer goes.
    pub reply: Reply<feed::Reply>,
}

/// An answer that waits for a revision to be in force.
#[derive(Debug)]
pub struct InForce {
    /// The revision.
    pub revision: u64,
    /// When the answer is due at the latest.
    pub until: Time,
    /// The command's outcome.
    pub outcome: command::Outcome,
    /// Where the answer goes.
    pub reply: Reply<rpc::Submitted>,
}

/// Everything that the control thread owns.
#[derive(Debug)]
pub struct State {
    pub clock: Clock,
    pub replica: Replica,
    pub machine: Machine,
    pub feed: feed::Server,
    pub bills: Bills,
    pub bill_writes: Vec<(u64, usize, Option<Reply<usize>>)>,
    pub disk: Disk,
    pub peers: Peers,
    pub journal: Journal,
    pub metrics: Metrics,
    pub rollouts: Rollouts,
    pub held: Vec<Held>,
    pub in_force: Vec<InForce>,
    /// Joins and departures that are proposed and not applied yet.
    pub roster: Vec<Input>,
    pub next_ticket: u64,
    /// Why the replica can't go on.
    pub halted: Option<String>,
    pub elected: bool,
    /// Whether the replica finishes its open calls and takes no new ones.
    pub stopping: bool,
    tickets: Vec<(u64, Waiting)>,
    /// The last applied entry and its output.
    last: Option<(u64, Output)>,
    /// When the last entry was applied, to continue the time of the log.
    applied_at: Time,
    applied_index: u64,
    bytes_since_snapshot: usize,
    snapshot_bytes: usize,
}

/// The parts that [`State::new`] is made from.
#[derive(Debug)]
pub struct Parts {
    pub clock: Clock,
    pub seed: u64,
    pub image: Image,
    pub bills: Bills,
    pub disk: Disk,
    pub peers: Peers,
    pub journal: Journal,
    pub metrics: Metrics,
}

impl State {
    /// Starts from what the disk held.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the snapshot.
    pub fn new(parts: Parts) -> Result<Self, String> {
        let now = parts.clock.now();
        let data = &parts.image.snapshot.data;
        let machine = if data.as_bytes().is_empty() {
            Machine::new()
        } else {
            serde_json::from_slice(data.as_bytes())
                .map_err(|e| format!("the snapshot can't be read: {e}"))?
        };
        let snapshot_bytes = data.as_bytes().len();
        let config = Arc::new(machine.config().clone());
        let settings = consensus::Settings {
            seed: parts.seed,
            ..consensus::Settings::default()
        };
        let applied_index = parts.image.snapshot.index;
        Ok(Self {
            clock: parts.clock,
            replica: Replica::new(&settings, parts.image, now),
            feed: feed::Server::new(parts.seed, config, machine.digest().to_owned(), now),
            machine,
            bills: parts.bills,
            bill_writes: Vec::new(),
            disk: parts.disk,
            peers: parts.peers,
            rollouts: Rollouts::new(parts.journal.instance(), parts.seed, now),
            journal: parts.journal,
            metrics: parts.metrics,
            held: Vec::new(),
            in_force: Vec::new(),
            roster: Vec::new(),
            next_ticket: 1,
            halted: None,
            elected: false,
            stopping: false,
            tickets: Vec::new(),
            last: None,
            applied_at: now,
            applied_index,
            bytes_since_snapshot: 0,
            snapshot_bytes,
        })
    }

    /// Returns whether this replica may answer as the leader.
    #[must_use]
    pub fn may_act(&self) -> bool {
        self.elected && !self.stopping && self.replica.status(self.clock.now()).may_act
    }

    /// Takes no new calls and gives back the polls that are held.
    pub fn stop(&mut self) {
        self.stopping = true;
        self.release_waiters();
    }

    /// Returns whether no call waits for the log or the disk.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.tickets.is_empty() && self.bill_writes.is_empty()
    }

    /// Returns the failure that names the leader.
    #[must_use]
    pub fn not_leader(&self) -> Failure {
        let status = self.replica.status(self.clock.now());
        let leader = status.leader.filter(|l| *l != status.id);
        let address = leader.and_then(|id| status.voters.iter().find(|m| m.id == id));
        Failure {
            error: error::Error::new(error::Kind::NoLeader, "this replica is not the leader")
                .retry_after(consensus::MAX_ELECTION_TIMEOUT.as_millis()),
            leader: address.map(|m| m.address.clone()),
        }
    }

    /// Returns the time of the log: that of the last entry and what has passed since.
    ///
    /// It never runs ahead of real time, so nothing expires early after a change of the leader.
    #[must_use]
    pub fn log_time(&self) -> Time {
        self.machine.now() + self.clock.now().since(self.applied_at)
    }

    /// Proposes an entry.
    pub fn propose(&mut self, input: Input, waiting: Waiting) {
        let entry = Entry {
            at: self.log_time(),
            input,
        };
        match serde_json::to_vec(&entry) {
            Ok(bytes) => {
                let ticket = self.ticket(waiting);
                let payload = Payload::from(bytes);
                self.step(Event::Propose { ticket, payload });
            }
            Err(error) => waiting.fail(Failure::new(error::Kind::Internal, error.to_string())),
        }
    }

    /// Asks the log for a read.
    pub fn read(&mut self, read: Read) {
        let ticket = self.ticket(Waiting::Read(read));
        self.step(Event::Read { ticket });
    }

    /// Keeps what waits for the next ticket.
    pub fn ticket(&mut self, waiting: Waiting) -> u64 {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.tickets.push((ticket, waiting));
        ticket
    }

    fn take(&mut self, ticket: u64) -> Option<Waiting> {
        let at = self.tickets.binary_search_by_key(&ticket, |t| t.0).ok()?;
        Some(self.tickets.remove(at).1)
    }

    /// Gives the replica an event and carries out what it asks for.
    pub fn step(&mut self, event: Event) {
        let actions = self.replica.step(event, self.clock.now());
        for action in actions {
            self.act(action);
        }
        self.snapshot_if_due();
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send(message) => self.peers.send(message),
            Action::Write { sequence, records } => {
                self.disk.send(Work::Records(sequence, records));
            }
            Action::Apply { index, payload, .. } => self.apply(index, &payload),
            Action::Install(snapshot) => self.install(&snapshot),
            Action::Answer { ticket, outcome } => self.answer(ticket, outcome),
            Action::Read { ticket, outcome } => {
                if let Some(Waiting::Read(read)) = self.take(ticket) {
                    match outcome {
                        Ok(_) => self.read_now(read),
                        Err(refusal) => read.fail(self.refused(&refusal)),
                    }
                }
            }
            Action::Elected { term } => {
                log::info!(
                    "leads term {term} at revision {}",
                    self.machine.config().revision
                );
                self.elected = true;
                self.journal.record(EventKind::Elected { term });
                self.feed.reset_peers(self.clock.now());
            }
            Action::StepDown { term } => {
                self.journal.record(EventKind::SteppedDown { term });
                self.step_down();
            }
            Action::Halt { reason } => self.halted = Some(reason),
        }
    }

    fn apply(&mut self, index: u64, payload: &Payload) {
        let entry: Entry = match serde_json::from_slice(payload.as_bytes()) {
            Ok(entry) => entry,
            Err(error) => {
                // Skipping it would make this replica differ from the others.
                self.halted = Some(format!("entry {index} of the log can't be read: {error}"));
                return;
            }
        };
        let before = self.machine.config().revision;
        let output = self.machine.apply(&entry);
        self.applied_at = self.clock.now();
        self.applied_index = index;
        self.bytes_since_snapshot += payload.as_bytes().len();
        if let Some(change) = Machine::accepted_change(before, &entry, &output) {
            let config = Arc::new(self.machine.config().clone());
            self.feed
                .publish(change, config, self.machine.digest().to_owned());
            let revision = self.machine.config().revision;
            self.journal.record(EventKind::Applied { revision });
        }
        self.roster.retain(|input| *input != entry.input);
        self.last = Some((index, output));
    }

    fn install(&mut self, snapshot: &consensus::Snapshot) {
        match serde_json::from_slice::<Machine>(snapshot.data.as_bytes()) {
            Ok(machine) => {
                let config = Arc::new(machine.config().clone());
                self.feed
                    .replace_config(config, machine.digest().to_owned());
                self.machine = machine;
                self.applied_at = self.clock.now();
                self.applied_index = snapshot.index;
                self.bytes_since_snapshot = 0;
                self.snapshot_bytes = snapshot.data.as_bytes().len();
            }
            Err(error) => self.halted = Some(format!("a snapshot can't be read: {error}")),
        }
    }

    fn snapshot_if_due(&mut self) {
        if self.bytes_since_snapshot < SNAPSHOT_BYTES.max(self.snapshot_bytes) {
            return;
        }
        match serde_json::to_vec(&self.machine) {
            Ok(bytes) => {
                self.bytes_since_snapshot = 0;
                self.snapshot_bytes = bytes.len();
                let (index, data) = (self.applied_index, Payload::from(bytes));
                self.step(Event::Snapshotted { index, data });
            }
            Err(error) => self.halted = Some(format!("no snapshot can be written: {error}")),
        }
    }

    fn answer(&mut self, ticket: u64, outcome: Result<u64, Refusal>) {
        let Some(waiting) = self.take(ticket) else {
            return;
        };
        let index = match outcome {
            Ok(index) => index,
            Err(refusal) => return waiting.fail(self.refused(&refusal)),
        };
        if let Waiting::Join(reply) = waiting {
            return send(reply, Ok(()));
        }
        match self.last.take_if(|(at, _)| *at == index) {
            Some((_, output)) => self.answer_with(waiting, output),
            None => waiting.fail(Failure::new(
                error::Kind::CommandUnknown,
                "the entry was committed and its answer is not kept",
            )),
        }
    }

    fn answer_with(&mut self, waiting: Waiting, output: Output) {
        match (waiting, output) {
            (Waiting::Submit(wait, reply), Output::Outcome(outcome)) => {
                self.answer_command(outcome, wait, reply);
            }
            (Waiting::Entry(EntryReply::Begin(reply)), Output::Verdict(verdict)) => {
                send(reply, Ok(verdict));
            }
            (Waiting::Entry(EntryReply::Acquire(reply)), Output::Permit(granted)) => {
                send(reply, Ok(granted));
            }
            (Waiting::Entry(EntryReply::Applied(reply)), Output::Applied) => send(reply, Ok(())),
            (waiting, Output::Refused(error)) => waiting.fail(Failure::from(error)),
            (Waiting::Nothing, _) => {}
            (waiting, output) => waiting.fail(Failure::new(
                error::Kind::Internal,
                format!("unexpected output {output:?}"),
            )),
        }
    }

    fn refused(&self, refusal: &Refusal) -> Failure {
        let kind = match refusal {
            Refusal::NotLeader { .. } | Refusal::NoLease => return self.not_leader(),
            Refusal::Overloaded => error::Kind::Overloaded,
            Refusal::LeaderChanged => error::Kind::CommandUnknown,
            Refusal::ChangeUnderWay | Refusal::NotCaughtUp | Refusal::Unfit(_) => {
                error::Kind::Conflict
            }
        };
        Failure::new(kind, refusal.to_string())
    }

    fn step_down(&mut self) {
        self.elected = false;
        self.roster.clear();
        self.release_waiters();
    }

    /// Answers the calls that wait for something else than the log.
    fn release_waiters(&mut self) {
        let failure = self.not_leader();
        for held in self.held.drain(..) {
            send(held.reply, Err(failure.clone()));
        }
        for waiter in self.in_force.drain(..) {
            // The outcome is durable; whether it is in force is the next leader's to say.
            send(
                waiter.reply,
                Ok(rpc::Submitted {
                    outcome: waiter.outcome,
                    in_force: false,
                    pending: Vec::new(),
                }),
            );
        }
    }

    /// Takes what the disk thread has done.
    pub fn done(&mut self, done: Done) {
        match done {
            Done::Records(number) => self.step(Event::Synced(number)),
            Done::Bills(number) => {
                while let Some((at, _, _)) = self.bill_writes.first() {
                    if *at > number {
                        return;
                    }
                    let (_, fresh, reply) = self.bill_writes.remove(0);
                    if let Some(reply) = reply {
                        send(reply, Ok(fresh));
                    }
                }
            }
            Done::Failed(reason) => self.halted = Some(reason),
        }
    }
}

impl Waiting {
    fn fail(self, failure: Failure) {
        match self {
            Self::Nothing => {}
            Self::Submit(_, reply) => send(reply, Err(failure)),
            Self::Entry(EntryReply::Begin(reply)) => send(reply, Err(failure)),
            Self::Entry(EntryReply::Acquire(reply)) => send(reply, Err(failure)),
            Self::Entry(EntryReply::Applied(reply)) | Self::Join(reply) => {
                send(reply, Err(failure));
            }
            Self::Read(read) => read.fail(failure),
        }
    }
}

impl Read {
    fn fail(self, failure: Failure) {
        match self {
            Self::Lookup(_, reply) => send(reply, Err(failure)),
            Self::Status(reply) => send(reply, Err(failure)),
            Self::Config(reply) => send(reply, Err(failure)),
            Self::Claim(_, reply) => send(reply, Err(failure)),
        }
    }
}
