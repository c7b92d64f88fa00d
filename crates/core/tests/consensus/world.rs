//! Replicas, their disks and the messages between them, driven by a seed.

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
    check::{History, Machine, Violation},
    disk::{Failure, Memory},
};

/// Small sizes, so that short schedules split batches and snapshots.
const LIMITS: Limits = Limits {
    uncommitted_entries: 64,
    payload_bytes: 1_000,
    batch_entries: 1,
    batch_bytes: 1_000,
    chunk_bytes: 9,
    trailing_entries: 2,
};

/// Longest delay of a message, in milliseconds.
const MAX_DELAY: u64 = 1_500;

/// A running process.
#[derive(Debug)]
pub struct Process {
    pub replica: Replica,
    folder: LogStore,
    pub machine: Machine,
    /// Schedule time of its start, and its clock at that time.
    epoch: u64,
    clock: u64,
    snapshot_at: u64,
    write: Option<(u64, Vec<Record>)>,
}

/// A machine with a disk.
#[derive(Debug)]
pub struct Node {
    pub disk: Memory,
    pub process: Option<Process>,
    /// All identities of its folders; the last one is current.
    pub ids: Vec<Identity>,
    /// Voters that it knew when it stopped.
    pub known: Vec<Identity>,
    /// Clock rate in thousandths.
    rate: u64,
    /// Counts starts, so that what was due for an earlier process is dropped.
    generation: u64,
}

/// Something that is due.
#[derive(Debug)]
enum Item {
    Deliver(Message),
    Written { node: usize, generation: u64 },
    Tick { node: usize, generation: u64 },
    Start { node: usize },
}

/// How reliable network and disks are.
#[derive(Debug)]
pub struct Odds {
    pub loss: f64,
    pub repeat: f64,
    pub delay: u64,
    pub sync: u64,
    pub snapshot_every: u64,
    /// Most entries in a message.
    pub batch: usize,
}

impl Node {
    /// Returns the voters that its replica knows.
    pub fn voters(&self) -> Vec<Identity> {
        match &self.process {
            Some(p) => p.replica.members().voters.iter().map(|m| m.id).collect(),
            None => self.known.clone(),
        }
    }
}

impl Odds {
    pub const GOOD: Self = Self {
        loss: 0.0,
        repeat: 0.0,
        delay: 3,
        sync: 5,
        snapshot_every: 10,
        batch: 2,
    };
}

#[derive(Debug)]
pub struct World {
    pub random: ChaCha8Rng,
    pub now: u64,
    pub nodes: Vec<Node>,
    pub odds: Odds,
    pub history: History,
    /// When replicas lost their data, and the voters that they knew: messages that are still on the
    /// way may have them.
    pub wiped: Vec<(u64, Vec<Identity>)>,
    /// Pairs of nodes between which messages are lost.
    pub blocked: Vec<(usize, usize)>,
    fault: Option<Fault>,
    queue: BTreeMap<(u64, u64), Item>,
    order: u64,
    owners: Vec<(Identity, usize)>,
    tickets: Vec<Option<Payload>>,
}

pub fn member(node: usize, id: Identity) -> Member {
    Member {
        id,
        instance: name::Instance::try_from(format!("n{node}")).unwrap(),
        address: "127.0.0.1:1".to_owned(),
    }
}

impl World {
    /// Starts `voters` founding replicas and prepares empty folders on `spare` more nodes.
    pub fn new(seed: u64, voters: usize, spare: usize, odds: Odds, fault: Option<Fault>) -> Self {
        let mut world = Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            nodes: Vec::new(),
            odds,
            history: History::default(),
            wiped: Vec::new(),
            blocked: Vec::new(),
            fault,
            queue: BTreeMap::new(),
            order: 0,
            owners: Vec::new(),
            tickets: Vec::new(),
        };
        for node in 0..voters + spare {
            let rate = world.random.random_range(1_000..=1_050);
            world.nodes.push(Node {
                disk: Memory::default(),
                process: None,
                ids: Vec::new(),
                known: Vec::new(),
                rate,
                generation: 0,
            });
            world.identify(node);
        }
        let mut founders: Vec<_> = (0..voters).map(|n| member(n, world.id(n))).collect();
        founders.sort_by_key(|m| m.id);
        let members = Members {
            voters: founders,
            ..Members::default()
        };
        for node in 0..voters + spare {
            let image = if node < voters {
                Image::founding(world.id(node), members.clone())
            } else {
                Image::empty(world.id(node))
            };
            LogStore::create(world.nodes[node].disk.boxed(), &image).unwrap();
            world.push(0, Item::Start { node });
        }
        world
    }

    /// Returns the current identity of a node.
    pub fn id(&self, node: usize) -> Identity {
        *self.nodes[node].ids.last().unwrap()
    }

    fn identify(&mut self, node: usize) {
        let id = Identity::from_random(self.random.random());
        self.nodes[node].ids.push(id);
        self.owners.push((id, node));
    }

    fn push(&mut self, delay: u64, item: Item) {
        self.order += 1;
        self.queue.insert((self.now + delay, self.order), item);
    }

    /// Runs everything that is due within `span` milliseconds.
    pub fn run(&mut self, span: u64) -> Result<(), Violation> {
        let end = self.now + span;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((due, _), item) = entry.remove_entry();
            self.now = due;
            self.item(item)?;
            self.check_acting()?;
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

    fn item(&mut self, item: Item) -> Result<(), Violation> {
        match item {
            Item::Start { node } => self.start(node),
            Item::Tick { node, generation } => {
                if self.nodes[node].generation != generation {
                    return Ok(());
                }
                let next = self.random.random_range(20..=45);
                self.push(next, Item::Tick { node, generation });
                self.step(node, Event::Tick)
            }
            Item::Written { node, generation } => {
                if self.nodes[node].generation != generation {
                    return Ok(());
                }
                self.written(node)
            }
            Item::Deliver(message) => {
                let owner = self.owners.iter().find(|(id, _)| *id == message.to);
                let node = owner.map(|(_, node)| *node).ok_or("unknown receiver")?;
                self.step(node, Event::Received(message))
            }
        }
    }

    fn written(&mut self, node: usize) -> Result<(), Violation> {
        let Some(process) = &mut self.nodes[node].process else {
            return Ok(());
        };
        let Some((sequence, records)) = process.write.take() else {
            return Ok(());
        };
        if process.folder.write(&records).is_ok() {
            return self.step(node, Event::Synced(sequence));
        }
        self.fail(node);
        Ok(())
    }

    /// Stops a process whose disk failed and starts it again later.
    fn fail(&mut self, node: usize) {
        let machine_stops = self.random.random();
        self.stop(node, machine_stops);
        let pause = self.random.random_range(0..2_000);
        self.push(pause, Item::Start { node });
    }

    /// Lets a replica take an event and carries out its actions.
    pub fn step(&mut self, node: usize, event: Event) -> Result<(), Violation> {
        let now = self.local(node);
        let Some(process) = &mut self.nodes[node].process else {
            return Ok(());
        };
        let actions = process.replica.step(event, now);
        for action in actions {
            self.act(node, action)?;
        }
        let Some(process) = &self.nodes[node].process else {
            return Ok(());
        };
        if process.replica.role() == Role::Leader {
            let (id, term) = (self.id(node), process.replica.term());
            self.history.leads(id, term)?;
        }
        self.snapshot(node)
    }

    /// Returns the time on the node's clock.
    pub fn local(&self, node: usize) -> Time {
        let node = &self.nodes[node];
        let (epoch, clock) = node.process.as_ref().map_or((0, 0), |p| (p.epoch, p.clock));
        Time::from_millis(clock + (self.now - epoch) * node.rate / 1_000)
    }

    fn act(&mut self, node: usize, action: Action) -> Result<(), Violation> {
        match action {
            Action::Send(message) => self.transmit(node, message),
            Action::Write { sequence, records } => {
                let generation = self.nodes[node].generation;
                if let Some(process) = &mut self.nodes[node].process {
                    process.write = Some((sequence, records));
                }
                let delay = self.random.random_range(0..=self.odds.sync);
                self.push(delay, Item::Written { node, generation });
            }
            Action::Apply { index, payload, .. } => {
                if let Some(process) = &mut self.nodes[node].process {
                    self.history.apply(&mut process.machine, index, &payload)?;
                }
            }
            Action::Install(snapshot) => {
                if let Some(process) = &mut self.nodes[node].process {
                    self.history.install(&mut process.machine, &snapshot.data)?;
                    process.snapshot_at = snapshot.index;
                }
            }
            Action::Answer { ticket, outcome } => {
                let place = usize::try_from(ticket).unwrap();
                let Some(payload) = self.tickets[place].take() else {
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

    fn transmit(&mut self, from: usize, message: Message) {
        let owner = self.owners.iter().find(|(id, _)| *id == message.to);
        let Some(&(_, to)) = owner else {
            return;
        };
        if self.blocked.contains(&(from, to)) || self.random.random_bool(self.odds.loss) {
            return;
        }
        if self.random.random_bool(self.odds.repeat) {
            let delay = self.random.random_range(0..MAX_DELAY);
            self.push(delay, Item::Deliver(message.clone()));
        }
        let delay = self.random.random_range(1..=self.odds.delay);
        self.push(delay, Item::Deliver(message));
    }

    /// Takes a snapshot of the state machine after every few entries.
    fn snapshot(&mut self, node: usize) -> Result<(), Violation> {
        let every = self.odds.snapshot_every;
        let Some(process) = &mut self.nodes[node].process else {
            return Ok(());
        };
        let index = process.machine.index;
        if index < process.snapshot_at + every {
            return Ok(());
        }
        process.snapshot_at = index;
        let data = process.machine.snapshot();
        self.step(node, Event::Snapshotted { index, data })
    }

    /// At most one replica may act at a time, or reads are not linearizable.
    fn check_acting(&self) -> Result<(), Violation> {
        match self.acting().nth(1) {
            Some(other) => Err(format!("node {other} acts at the same time as another")),
            None => Ok(()),
        }
    }

    /// Returns the node whose replica may act now.
    pub fn leader(&self) -> Option<usize> {
        self.acting().next()
    }

    /// Returns a node that leads or stands for election.
    pub fn candidate(&self) -> Option<usize> {
        self.nodes.iter().position(|node| {
            let role = node.process.as_ref().map(|p| p.replica.role());
            matches!(role, Some(Role::Candidate | Role::Leader))
        })
    }

    fn acting(&self) -> impl Iterator<Item = usize> {
        (0..self.nodes.len()).filter(|&node| {
            let process = self.nodes[node].process.as_ref();
            process.is_some_and(|p| p.replica.may_act(self.local(node)))
        })
    }

    /// Starts a process from what its disk holds; damage to the disk fails the schedule.
    fn start(&mut self, node: usize) -> Result<(), Violation> {
        if self.nodes[node].process.is_some() {
            return Ok(());
        }
        let opened = LogStore::open(self.nodes[node].disk.boxed());
        let (folder, image) = match opened {
            Ok(Some(opened)) => opened,
            Ok(None) => return Err(format!("node {node} has lost its identity")),
            Err(Error::Disk { .. }) => {
                self.fail(node);
                return Ok(());
            }
            Err(error) => return Err(format!("node {node} can't start: {error}")),
        };
        let machine = Machine::restore(&image.snapshot.data)?;
        let settings = Settings {
            timing: Timing::default(),
            seed: self.random.random(),
            limits: Limits {
                batch_entries: self.odds.batch,
                ..LIMITS
            },
            fault: self.fault,
        };
        let clock = self.random.random_range(0..1_000_000);
        let snapshot_at = image.snapshot.index;
        let replica = Replica::new(&settings, image, Time::from_millis(clock));
        self.nodes[node].process = Some(Process {
            replica,
            folder,
            machine,
            epoch: self.now,
            clock,
            snapshot_at,
            write: None,
        });
        self.nodes[node].generation += 1;
        let generation = self.nodes[node].generation;
        self.push(1, Item::Tick { node, generation });
        Ok(())
    }

    /// Stops a process, and with `machine` also what keeps unsynced content.
    pub fn stop(&mut self, node: usize, machine: bool) {
        let stopped = &mut self.nodes[node];
        stopped.generation += 1;
        stopped.known = stopped.voters();
        stopped.process = None;
        if machine {
            stopped.disk.crash(&mut self.random);
        }
    }

    /// Stops a machine in the middle of its write, if there is one, and loses in half of the cases
    /// what it has sent and has not arrived.
    pub fn crash(&mut self, node: usize) {
        let operations = self.random.random_range(0..4);
        let during = self.random.random_bool(0.5);
        if self.random.random() {
            let ids = self.nodes[node].ids.clone();
            self.queue
                .retain(|_, item| !matches!(item, Item::Deliver(m) if ids.contains(&m.from)));
        }
        let Node { disk, process, .. } = &mut self.nodes[node];
        if let Some(process) = process
            && let Some((_, records)) = process.write.take()
            && during
        {
            disk.fail_after(operations, Failure::Crash);
            let written = process.folder.write(&records);
            assert!(written.is_err() || operations > 0);
        }
        self.stop(node, true);
    }

    /// Stops a machine for good and gives it an empty folder with a new identity.
    pub fn wipe(&mut self, node: usize) {
        self.stop(node, true);
        self.nodes[node].disk.wipe();
        let now = self.now;
        self.wiped.retain(|(at, _)| at + MAX_DELAY >= now);
        let known = std::mem::take(&mut self.nodes[node].known);
        self.wiped.push((now, known));
        if self.fault != Some(Fault::ReuseIdentity) {
            self.identify(node);
        }
        let image = Image::empty(self.id(node));
        LogStore::create(self.nodes[node].disk.boxed(), &image).unwrap();
    }

    /// Starts a process after a delay in milliseconds, unless it runs already.
    pub fn start_in(&mut self, delay: u64, node: usize) {
        self.push(delay, Item::Start { node });
    }

    pub fn propose(&mut self, node: usize) -> Result<(), Violation> {
        let ticket = self.tickets.len() as u64;
        let payload = Payload::from(format!("p{ticket}").into_bytes());
        self.tickets.push(Some(payload.clone()));
        self.step(node, Event::Propose { ticket, payload })
    }

    /// Returns a ticket of a request that is not a proposal.
    pub fn ticket(&mut self) -> u64 {
        self.tickets.push(None);
        self.tickets.len() as u64 - 1
    }
}
