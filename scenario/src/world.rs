//! A deterministic driver that joins the decision modules of all processes
//! through one message queue on virtual time.
//!
//! It has no model of latency or load: it only orders events, places faults
//! and keeps a [`record::Record`] for the checks.

mod acquire;
mod claim;
mod control;
mod deploy;
mod disk;
mod entry;
mod fault;
mod front;
mod job;
mod lead;
mod lease;
mod message;
mod net;
mod operator;
mod poll;
pub mod record;
pub mod step;
mod upstream;
mod wire;

use std::collections::BTreeMap;

use masticlock_core::{
    config::Config,
    name,
    time::{Span, Time},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use self::{
    control::Control, entry::Entry, message::Body, message::Envelope, net::Net, operator::Desk,
    record::Record, step::Injector, upstream::Upstream,
};
pub use self::{
    deploy::{SETTLED, Unknown, change_of},
    operator::{Caller, Told},
};

/// Index of a part.
pub type Id = usize;

/// Interval of the ticks of control replicas and entry instances.
const TICK: Span = Span::from_millis(40);
/// Time that a write and its sync take.
const SYNC: Span = Span::from_millis(2);
/// Time limit of calls between processes after which their connections are discarded.
const CALL: Span = Span::from_secs(1);

/// A deliberate fault in the wiring, with which tests show that the checks can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// A call is sent before its claim is asked for.
    ClaimAfterSending,
    /// A new owner grants slots without the takeover wait.
    NoTakeoverWait,
    /// Bills are stored without a key, so a resent bill counts again.
    BillWithoutKey,
    /// The expected revision of a command is not checked.
    NoRevisionCheck,
    /// Every instance lends the cold limit on its own.
    ColdLimitPerInstance,
}

impl Mutation {
    /// All deliberate faults.
    pub const ALL: [Self; 5] = [
        Self::ClaimAfterSending,
        Self::NoTakeoverWait,
        Self::BillWithoutKey,
        Self::NoRevisionCheck,
        Self::ColdLimitPerInstance,
    ];

    /// Returns the name that the page uses.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::ClaimAfterSending => "claim after sending",
            Self::NoTakeoverWait => "no takeover wait",
            Self::BillWithoutKey => "bill without a key",
            Self::NoRevisionCheck => "no revision check",
            Self::ColdLimitPerInstance => "cold limit per instance",
        }
    }
}

enum Role {
    Control(Box<Control>),
    Entry(Box<Entry>),
    Upstream(Box<Upstream>),
    /// Operators' command lines.
    Desk(Box<Desk>),
}

struct Part {
    name: String,
    domain: name::Domain,
    /// Whether the process runs.
    up: bool,
    /// Number of the process.
    boot: u64,
    role: Role,
}

/// Something that is due.
enum Due {
    Deliver(Envelope),
    Tick(Id, u64),
    Written(Id, u64),
    Start(Id),
    /// A part of an upstream's answer is due.
    Progress(Id, u64, u64),
    Announce(Id, u64, u64),
    Caller(Box<Caller>),
    Discard(Id, Id),
    Heal,
}

/// All parts, the messages between them and the record of the run.
pub struct World {
    now: Time,
    order: u64,
    queue: BTreeMap<(Time, u64), Due>,
    random: ChaCha8Rng,
    parts: Vec<Part>,
    net: Net,
    record: Record,
    mutation: Option<Mutation>,
    injector: Injector,
    boots: u64,
    requests: u64,
}

impl World {
    /// Returns an empty world.
    #[must_use]
    pub fn new(seed: u64, mutation: Option<Mutation>) -> Self {
        let mut world = Self {
            now: Time::ZERO,
            order: 0,
            queue: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            parts: Vec::new(),
            net: Net::default(),
            record: Record::default(),
            mutation,
            injector: Injector::default(),
            boots: 0,
            requests: 0,
        };
        world.add_desk();
        world
    }

    /// Returns the time.
    #[must_use]
    pub const fn now(&self) -> Time {
        self.now
    }

    /// Returns the record so far.
    #[must_use]
    pub const fn record(&self) -> &Record {
        &self.record
    }

    /// Ends the run and returns its record.
    #[must_use]
    pub fn finish(mut self) -> Record {
        self.end_reaches();
        self.record.end = self.now;
        self.record.config = self.latest_config();
        self.record.bills = self.stored_bills();
        self.record
    }

    /// Runs everything that is due until a time.
    pub fn run_until(&mut self, end: Time) {
        while let Some(first) = self.queue.first_entry() {
            if first.key().0 > end {
                break;
            }
            let ((at, _), due) = first.remove_entry();
            self.now = at;
            self.handle(due);
        }
        self.now = end;
    }

    fn handle(&mut self, due: Due) {
        match due {
            Due::Deliver(envelope) => self.deliver(envelope),
            Due::Tick(id, boot) if self.runs(id, boot) => self.tick(id),
            Due::Written(id, boot) if self.runs(id, boot) => self.written(id),
            Due::Progress(id, boot, run) if self.runs(id, boot) => self.progress(id, run),
            Due::Announce(id, boot, call) if self.runs(id, boot) => self.announce(id, call),
            Due::Tick(..) | Due::Written(..) | Due::Progress(..) | Due::Announce(..) => {}
            Due::Start(id) => self.start(id),
            Due::Caller(caller) => self.call(*caller),
            Due::Discard(a, b) => self.net.discard(a, b),
            Due::Heal => self.net.heal(),
        }
    }

    fn tick(&mut self, id: Id) {
        self.push(TICK, Due::Tick(id, self.parts[id].boot));
        match self.parts[id].role {
            Role::Control(_) => self.control_tick(id),
            Role::Entry(_) => self.entry_tick(id),
            Role::Desk(_) => self.desk_tick(),
            Role::Upstream(_) => {}
        }
    }

    fn push(&mut self, delay: Span, due: Due) {
        self.order += 1;
        self.queue.insert((self.now + delay, self.order), due);
    }

    fn runs(&self, id: Id, boot: u64) -> bool {
        self.parts[id].up && self.parts[id].boot == boot
    }

    /// Returns the part with that name.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<Id> {
        self.parts.iter().position(|p| p.name == name)
    }

    fn send(&mut self, from: Id, to: Id, body: Body) {
        self.transmit(from, to, None, body);
    }

    /// Answers a message; the answer is dropped if its receiver has restarted.
    fn reply(&mut self, from: Id, to: (Id, u64), body: Body) {
        self.transmit(from, to.0, Some(to.1), body);
    }

    fn transmit(&mut self, from: Id, to: Id, to_boot: Option<u64>, body: Body) {
        let delay = if from == to {
            Span::ZERO
        } else {
            Span::from_millis(self.random.random_range(1..=3))
        };
        let mut arrivals = self.net.arrivals(from, to, body.flow(), self.now + delay);
        let Some(last) = arrivals.pop() else {
            return;
        };
        let envelope = Envelope {
            from,
            from_boot: self.parts[from].boot,
            to,
            to_boot,
            body,
        };
        for at in arrivals {
            self.push(at.since(self.now), Due::Deliver(envelope.clone()));
        }
        self.push(last.since(self.now), Due::Deliver(envelope));
    }

    fn deliver(&mut self, envelope: Envelope) {
        let part = &self.parts[envelope.to];
        if !part.up || envelope.to_boot.is_some_and(|boot| boot != part.boot) {
            return self.undelivered(envelope);
        }
        match part.role {
            Role::Control(_) => self.control_receive(envelope),
            Role::Entry(_) => self.entry_receive(envelope),
            Role::Upstream(_) => self.upstream_receive(envelope),
            Role::Desk(_) => self.desk_receive(envelope.body),
        }
    }

    /// A connection to a process that is gone is refused.
    fn undelivered(&mut self, envelope: Envelope) {
        if let Body::Work(work) = envelope.body {
            let refused = Body::Signal {
                request: work.request,
                attempt: work.attempt,
                signal: message::Signal::NotSent,
            };
            self.reply(envelope.to, (envelope.from, envelope.from_boot), refused);
        }
    }

    /// Returns the configuration of the acting leader, or the latest of a replica.
    #[must_use]
    pub fn latest_config(&self) -> Config {
        let machines = self.controls().map(|(_, process)| process.machine.config());
        machines
            .max_by_key(|c| c.revision)
            .cloned()
            .unwrap_or_default()
    }
}
