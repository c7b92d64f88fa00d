//! Deterministic simulation of replicas, their disks and the messages between them, driven by a
//! seed.

use std::collections::BTreeMap;

use masticlock_core::{
    consensus::{
        Action, Event, Fault, Identity, Image, Limits, Member, Members, Message, Payload, Record,
        Replica, Role, Settings, Timing,
    },
    name,
    storage::{Error, LogStore},
    time::Time,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    check::{History, StateMachine, Violation},
    disk::{Failure, MemoryDisk},
};

/// Small limits, so that short schedules split batches and snapshots.
const LIMITS: Limits = Limits {
    uncommitted_entries: 64,
    uncommitted_bytes: 64_000,
    payload_bytes: 1_000,
    batch_entries: 1,
    batch_bytes: 1_000,
    chunk_bytes: 9,
    trailing_entries: 2,
    trailing_bytes: 2_000,
};

/// Maximum delay of a duplicated message, in milliseconds.
const MAX_DELAY: u64 = 1_500;

/// A running process.
#[derive(Debug)]
pub struct Process {
    pub replica: Replica,
    store: LogStore,
    pub machine: StateMachine,
    /// Simulated time of its start, in milliseconds.
    started_at: u64,
    /// Its clock at that time, in milliseconds.
    clock_at_start: u64,
    /// Last applied index when the latest snapshot was taken or installed.
    snapshot_index: u64,
    /// Sequence number and records of the write in flight.
    pending_write: Option<(u64, Vec<Record>)>,
}

/// A machine with a disk and, while it runs, a process.
#[derive(Debug)]
pub struct Node {
    pub disk: MemoryDisk,
    pub process: Option<Process>,
    /// All identities that its data folder has had; the last one is current.
    pub identities: Vec<Identity>,
    /// Voters in its log when it last stopped.
    pub known_voters: Vec<Identity>,
    /// Clock rate in thousandths.
    clock_rate: u64,
    /// Changes with each start and stop, so that what was scheduled for an earlier process is
    /// dropped.
    generation: u64,
}

/// A scheduled occurrence.
#[derive(Debug)]
enum Scheduled {
    Deliver(Message),
    CompleteWrite { node: usize, generation: u64 },
    Tick { node: usize, generation: u64 },
    Start { node: usize },
}

/// Conditions of network and disks, and sizes that vary between schedules.
#[derive(Debug)]
pub struct Conditions {
    /// Probability that a message is lost.
    pub loss_probability: f64,
    /// Probability that a message is delivered twice.
    pub duplicate_probability: f64,
    /// Maximum delay of a message, in milliseconds.
    pub max_delay: u64,
    /// Maximum duration of a write, in milliseconds.
    pub max_sync_delay: u64,
    /// Minimum increase of the applied index between two snapshots.
    pub snapshot_interval: u64,
    /// Maximum number of entries in a message.
    pub batch_entries: usize,
}

impl Node {
    /// Returns the voters in the log of its replica.
    pub fn voters(&self) -> Vec<Identity> {
        match &self.process {
            Some(p) => p.replica.members().voters.iter().map(|m| m.id).collect(),
            None => self.known_voters.clone(),
        }
    }
}

impl Conditions {
    pub const RELIABLE: Self = Self {
        loss_probability: 0.0,
        duplicate_probability: 0.0,
        max_delay: 3,
        max_sync_delay: 5,
        snapshot_interval: 10,
        batch_entries: 2,
    };
}

/// Simulated nodes and the network between them.
#[derive(Debug)]
pub struct Simulation {
    pub random: ChaCha8Rng,
    /// Simulated time, in milliseconds.
    pub now: u64,
    pub nodes: Vec<Node>,
    pub conditions: Conditions,
    pub history: History,
    /// Times at which replicas lost their data, and the voters in their logs, which messages in
    /// flight may still contain.
    pub recent_wipes: Vec<(u64, Vec<Identity>)>,
    /// Pairs of nodes between which messages are lost.
    pub blocked_links: Vec<(usize, usize)>,
    fault: Option<Fault>,
    /// Scheduled occurrences by time and sequence number.
    queue: BTreeMap<(u64, u64), Scheduled>,
    /// Sequence number of the latest scheduled occurrence.
    sequence: u64,
    /// Node of each identity.
    identity_nodes: Vec<(Identity, usize)>,
    /// Payload of each ticket; `None` for other requests and answered proposals.
    proposals: Vec<Option<Payload>>,
}

/// Returns the member entry of a node's replica.
pub fn member(node: usize, id: Identity) -> Member {
    Member {
        id,
        instance: name::Instance::try_from(format!("n{node}")).unwrap(),
        address: "127.0.0.1:1".to_owned(),
    }
}

impl Simulation {
    /// Starts `voters` founding replicas, and `spare` more nodes with empty stores.
    pub fn new(
        seed: u64,
        voters: usize,
        spare: usize,
        conditions: Conditions,
        fault: Option<Fault>,
    ) -> Self {
        let mut sim = Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            nodes: Vec::new(),
            conditions,
            history: History::default(),
            recent_wipes: Vec::new(),
            blocked_links: Vec::new(),
            fault,
            queue: BTreeMap::new(),
            sequence: 0,
            identity_nodes: Vec::new(),
            proposals: Vec::new(),
        };
        for node in 0..voters + spare {
            let clock_rate = sim.random.random_range(1_000..=1_050);
            sim.nodes.push(Node {
                disk: MemoryDisk::default(),
                process: None,
                identities: Vec::new(),
                known_voters: Vec::new(),
                clock_rate,
                generation: 0,
            });
            sim.assign_identity(node);
        }
        let mut founders: Vec<_> = (0..voters).map(|n| member(n, sim.id(n))).collect();
        founders.sort_by_key(|m| m.id);
        let members = Members {
            voters: founders,
            ..Members::default()
        };
        for node in 0..voters + spare {
            let image = if node < voters {
                Image::founding(sim.id(node), members.clone())
            } else {
                Image::empty(sim.id(node))
            };
            LogStore::create(sim.nodes[node].disk.boxed(), &image).unwrap();
            sim.schedule(0, Scheduled::Start { node });
        }
        sim
    }

    /// Returns the current identity of a node.
    pub fn id(&self, node: usize) -> Identity {
        *self.nodes[node].identities.last().unwrap()
    }

    /// Gives a node a new random identity.
    fn assign_identity(&mut self, node: usize) {
        let id = Identity::from_random(self.random.random());
        self.nodes[node].identities.push(id);
        self.identity_nodes.push((id, node));
    }

    fn schedule(&mut self, delay: u64, item: Scheduled) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), item);
    }

    /// Executes everything that is due within `span` milliseconds.
    pub fn run(&mut self, span: u64) -> Result<(), Violation> {
        let end = self.now + span;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((due, _), item) = entry.remove_entry();
            self.now = due;
            self.execute(item)?;
            self.check_single_active_leader()?;
        }
        self.now = end;
        Ok(())
    }

    /// Runs until `done` holds, for at most `span` milliseconds; returns whether it holds.
    pub fn run_until<F>(&mut self, span: u64, mut done: F) -> Result<bool, Violation>
    where
        F: FnMut(&mut Self) -> Result<bool, Violation>,
    {
        let end = self.now + span;
        while self.now < end {
            if done(self)? {
                return Ok(true);
            }
            self.run(20)?;
        }
        done(self)
    }

    fn execute(&mut self, item: Scheduled) -> Result<(), Violation> {
        match item {
            Scheduled::Start { node } => self.start(node),
            Scheduled::Tick { node, generation } => {
                if self.nodes[node].generation != generation {
                    return Ok(());
                }
                let next = self.random.random_range(20..=45);
                self.schedule(next, Scheduled::Tick { node, generation });
                self.step(node, Event::Tick)
            }
            Scheduled::CompleteWrite { node, generation } => {
                if self.nodes[node].generation != generation {
                    return Ok(());
                }
                self.complete_write(node)
            }
            Scheduled::Deliver(message) => {
                let owner = self.identity_nodes.iter().find(|(id, _)| *id == message.to);
                let node = owner.map(|(_, node)| *node).ok_or("unknown receiver")?;
                self.step(node, Event::Received(message))
            }
        }
    }

    /// Completes the write in flight of a node, or stops the process if its disk fails.
    fn complete_write(&mut self, node: usize) -> Result<(), Violation> {
        let Some(process) = &mut self.nodes[node].process else {
            return Ok(());
        };
        let Some((sequence, records)) = process.pending_write.take() else {
            return Ok(());
        };
        if process.store.write(&records).is_ok() {
            return self.step(node, Event::Synced(sequence));
        }
        self.stop_and_restart(node);
        Ok(())
    }

    /// Stops a process whose disk failed and starts it again later.
    fn stop_and_restart(&mut self, node: usize) {
        let machine_stops = self.random.random();
        self.stop(node, machine_stops);
        let pause = self.random.random_range(0..2_000);
        self.schedule(pause, Scheduled::Start { node });
    }

    /// Steps a replica with an event and carries out its actions.
    pub fn step(&mut self, node: usize, event: Event) -> Result<(), Violation> {
        let now = self.local_time(node);
        let Some(process) = &mut self.nodes[node].process else {
            return Ok(());
        };
        let actions = process.replica.step(event, now);
        for action in actions {
            self.carry_out(node, action)?;
        }
        let Some(process) = &self.nodes[node].process else {
            return Ok(());
        };
        if process.replica.role() == Role::Leader {
            let (id, term) = (self.id(node), process.replica.term());
            self.history.record_leader(id, term)?;
        }
        self.take_snapshot_if_due(node)
    }

    /// Returns the time on the node's clock.
    pub fn local_time(&self, node: usize) -> Time {
        let node = &self.nodes[node];
        let (started_at, clock_at_start) = node
            .process
            .as_ref()
            .map_or((0, 0), |p| (p.started_at, p.clock_at_start));
        Time::from_millis(clock_at_start + (self.now - started_at) * node.clock_rate / 1_000)
    }

    fn carry_out(&mut self, node: usize, action: Action) -> Result<(), Violation> {
        match action {
            Action::Send(message) => self.send(node, message),
            Action::Write { sequence, records } => {
                let generation = self.nodes[node].generation;
                if let Some(process) = &mut self.nodes[node].process {
                    process.pending_write = Some((sequence, records));
                }
                let delay = self.random.random_range(0..=self.conditions.max_sync_delay);
                self.schedule(delay, Scheduled::CompleteWrite { node, generation });
            }
            Action::Apply { index, payload, .. } => {
                if let Some(process) = &mut self.nodes[node].process {
                    self.history.apply(&mut process.machine, index, &payload)?;
                }
            }
            Action::Install(snapshot) => {
                if let Some(process) = &mut self.nodes[node].process {
                    self.history.install(&mut process.machine, &snapshot.data)?;
                    process.snapshot_index = snapshot.index;
                }
            }
            Action::Answer { ticket, outcome } => {
                let place = usize::try_from(ticket).unwrap();
                let Some(payload) = self.proposals[place].take() else {
                    return Ok(());
                };
                match outcome {
                    Ok(index) => self.history.acknowledge(index, &payload)?,
                    Err(refusal) if refusal.may_commit() => {}
                    Err(_) => self.history.refuse(payload)?,
                }
            }
            Action::Read { outcome, .. } => {
                if let (Ok(_), Some(process)) = (outcome, &self.nodes[node].process) {
                    self.history.read(&process.machine)?;
                }
            }
            Action::Halt { reason } => return Err(format!("node {node} halted: {reason}")),
            Action::Elected { .. } | Action::StepDown { .. } => {}
        }
        Ok(())
    }

    /// Sends a message from a node over the simulated network.
    fn send(&mut self, from: usize, message: Message) {
        let owner = self.identity_nodes.iter().find(|(id, _)| *id == message.to);
        let Some(&(_, to)) = owner else {
            return;
        };
        if self.blocked_links.contains(&(from, to))
            || self.random.random_bool(self.conditions.loss_probability)
        {
            return;
        }
        if self
            .random
            .random_bool(self.conditions.duplicate_probability)
        {
            let delay = self.random.random_range(0..MAX_DELAY);
            self.schedule(delay, Scheduled::Deliver(message.clone()));
        }
        let delay = self.random.random_range(1..=self.conditions.max_delay);
        self.schedule(delay, Scheduled::Deliver(message));
    }

    /// Takes a snapshot of the state machine if enough entries were applied since the last one.
    fn take_snapshot_if_due(&mut self, node: usize) -> Result<(), Violation> {
        let every = self.conditions.snapshot_interval;
        let Some(process) = &mut self.nodes[node].process else {
            return Ok(());
        };
        let index = process.machine.index;
        if index < process.snapshot_index + every {
            return Ok(());
        }
        process.snapshot_index = index;
        let data = process.machine.snapshot();
        self.step(node, Event::Snapshotted { index, data })
    }

    /// Checks that at most one replica may act; otherwise reads would not be linearizable.
    fn check_single_active_leader(&self) -> Result<(), Violation> {
        match self.active_leaders().nth(1) {
            Some(other) => Err(format!("node {other} may act at the same time as another")),
            None => Ok(()),
        }
    }

    /// Returns the node whose replica is the leader and may act now.
    pub fn active_leader(&self) -> Option<usize> {
        self.active_leaders().next()
    }

    /// Returns a node that leads or stands for election.
    pub fn candidate(&self) -> Option<usize> {
        self.nodes.iter().position(|node| {
            let role = node.process.as_ref().map(|p| p.replica.role());
            matches!(role, Some(Role::Candidate | Role::Leader))
        })
    }

    fn active_leaders(&self) -> impl Iterator<Item = usize> {
        (0..self.nodes.len()).filter(|&node| {
            let process = self.nodes[node].process.as_ref();
            process.is_some_and(|p| p.replica.may_act(self.local_time(node)))
        })
    }

    /// Starts a process from the content of its disk. A lost identity or damaged data is a
    /// violation.
    fn start(&mut self, node: usize) -> Result<(), Violation> {
        if self.nodes[node].process.is_some() {
            return Ok(());
        }
        let opened = LogStore::open(self.nodes[node].disk.boxed());
        let (store, image) = match opened {
            Ok(Some(opened)) => opened,
            Ok(None) => return Err(format!("node {node} has lost its identity")),
            Err(Error::Disk { .. }) => {
                self.stop_and_restart(node);
                return Ok(());
            }
            Err(error) => return Err(format!("node {node} can't start: {error}")),
        };
        let machine = StateMachine::restore(&image.snapshot.data)?;
        let settings = Settings {
            timing: Timing::default(),
            seed: self.random.random(),
            limits: Limits {
                batch_entries: self.conditions.batch_entries,
                ..LIMITS
            },
            fault: self.fault,
        };
        let clock_at_start = self.random.random_range(0..1_000_000);
        let snapshot_index = image.snapshot.index;
        let replica = Replica::new(&settings, image, Time::from_millis(clock_at_start));
        self.nodes[node].process = Some(Process {
            replica,
            store,
            machine,
            started_at: self.now,
            clock_at_start,
            snapshot_index,
            pending_write: None,
        });
        self.nodes[node].generation += 1;
        let generation = self.nodes[node].generation;
        self.schedule(1, Scheduled::Tick { node, generation });
        Ok(())
    }

    /// Stops a process, and with `machine_stops` also its machine, which may lose unsynced content.
    pub fn stop(&mut self, node: usize, machine_stops: bool) {
        let stopped = &mut self.nodes[node];
        stopped.generation += 1;
        stopped.known_voters = stopped.voters();
        stopped.process = None;
        if machine_stops {
            stopped.disk.crash(&mut self.random);
        }
    }

    /// Stops a machine: with a probability of one half in the middle of the write in flight, and
    /// with the same probability with the loss of its messages in flight.
    pub fn crash(&mut self, node: usize) {
        let operations = self.random.random_range(0..4);
        let during = self.random.random_bool(0.5);
        if self.random.random() {
            let ids = self.nodes[node].identities.clone();
            self.queue
                .retain(|_, item| !matches!(item, Scheduled::Deliver(m) if ids.contains(&m.from)));
        }
        let Node { disk, process, .. } = &mut self.nodes[node];
        if let Some(process) = process
            && let Some((_, records)) = process.pending_write.take()
            && during
        {
            disk.fail_after(operations, Failure::Crash);
            let written = process.store.write(&records);
            assert!(written.is_err() || operations > 0);
        }
        self.stop(node, true);
    }

    /// Stops a machine, erases its disk and creates an empty folder with a new identity, or with
    /// the old one under [`Fault::ReuseIdentity`].
    pub fn wipe(&mut self, node: usize) {
        self.stop(node, true);
        self.nodes[node].disk.wipe();
        let now = self.now;
        self.recent_wipes.retain(|(at, _)| at + MAX_DELAY >= now);
        let known = std::mem::take(&mut self.nodes[node].known_voters);
        self.recent_wipes.push((now, known));
        if self.fault != Some(Fault::ReuseIdentity) {
            self.assign_identity(node);
        }
        let image = Image::empty(self.id(node));
        LogStore::create(self.nodes[node].disk.boxed(), &image).unwrap();
    }

    /// Starts a process after a delay in milliseconds, unless it is running by then.
    pub fn start_after(&mut self, delay: u64, node: usize) {
        self.schedule(delay, Scheduled::Start { node });
    }

    /// Proposes a new payload to a node's replica.
    pub fn propose(&mut self, node: usize) -> Result<(), Violation> {
        let ticket = self.proposals.len() as u64;
        let payload = Payload::from(format!("p{ticket}").into_bytes());
        self.proposals.push(Some(payload.clone()));
        self.step(node, Event::Propose { ticket, payload })
    }

    /// Returns a new ticket for a request that is not a proposal.
    pub fn next_ticket(&mut self) -> u64 {
        self.proposals.push(None);
        self.proposals.len() as u64 - 1
    }
}
