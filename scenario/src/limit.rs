//! Limits that upstreams state, under faults of the instances that hand out the permits.
//!
//! The decision code of control and entry instances runs on virtual time: the leader's issuer, the
//! issuers that pass permits on, and the pools of up to 320 entry instances before one upstream.

use std::{fmt::Write as _, sync::Arc};

use masticlock_core::{
    fleet::{Announcement, Directory, Limit, Phase, Record},
    limit::{Bounds, Issuer, Permit, Rate, Want},
    placement::{Choice, Criteria, Pool, Prompt},
    replicated::State,
    report::Totals,
    time::{Span, Time},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Start of a run.
pub(crate) const START: Time = Time::from_millis(100_000);

/// Length of a run in milliseconds.
const LENGTH_MS: u64 = 40_000;

/// Step of the virtual time in milliseconds.
pub(crate) const STEP_MS: usize = 10;

/// Requests per second that callers send.
const DEMAND: u64 = 60;

/// Interval between announcements.
const INTERVAL: Span = Span::from_millis(1_200);

/// Time since the leader's last answer within which a control instance counts as in contact.
const LEADER_CONTACT: Span = Span::from_millis(700);

/// Window in which requests are counted.
const WINDOW: Span = Span::from_secs(4);

/// Time after the first statement of a limit from which on it is enforced.
const CONTACT_TIME: Span = Span::from_secs(3);

/// Requests that the upstream runs at once: never the bound here.
const SLOTS: u32 = u32::MAX / 4;

/// First holder that stands for a control instance.
const FIRST_CONTROL_HOLDER: u64 = 1_000_000;

/// A fault of the instances that hand out permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// None.
    None,
    /// The leader crashes, and another one leads after an election.
    Crash,
    /// The leader is suspended. A permit that it gave before arrives when it is back.
    Suspension,
    /// The leader is cut off and replaced, and comes back.
    Cut,
    /// The leadership moves every 300 ms.
    Changes,
    /// No control instance leads.
    NoLeader,
    /// A third of the entry instances reaches no control instance.
    EntriesCut,
    /// Deliberate: each control instance hands out the whole limit.
    SeveralLeaders,
}

/// The faults of the matrix.
pub const FAULTS: [Fault; 7] = [
    Fault::None,
    Fault::Crash,
    Fault::Suspension,
    Fault::Cut,
    Fault::Changes,
    Fault::NoLeader,
    Fault::EntriesCut,
];

/// Entry instances, control instances and thousandths of a request per second of the columns.
pub const COLUMNS: [(usize, usize, u64); 5] = [
    (9, 3, 1_000),
    (9, 3, 20_000),
    (320, 7, 1_000),
    (320, 7, 1_300),
    (320, 7, 20_000),
];

/// The result of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Largest number of requests in a window.
    pub most: u64,
    /// Number of requests that a window may hold: one and a half times what the limit allows, and 5.
    pub allowed: u64,
    /// Requests that were sent, in percent of what the limit allows.
    pub used: u64,
}

impl Fault {
    pub(crate) const fn label(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Crash => "leader crash",
            Self::Suspension => "leader suspended",
            Self::Cut => "leader cut off",
            Self::Changes => "leader changes",
            Self::NoLeader => "no leader",
            Self::EntriesCut => "entries cut off",
            Self::SeveralLeaders => "several leaders",
        }
    }
}

impl Outcome {
    /// Returns whether the limit holds.
    #[must_use]
    pub const fn holds(&self) -> bool {
        self.most <= self.allowed
    }
}

/// Returns the largest number of requests within a window of this length.
pub(crate) fn largest_window(sent: &[Time], length: Span) -> u64 {
    let window = |at: usize| {
        let within = sent[at..].iter();
        let within = within.take_while(|t| t.since(sent[at]) < length);
        within.count() as u64
    };
    (0..sent.len()).map(window).max().unwrap_or_default()
}

fn directory(bounds: Bounds, slots: u32) -> Directory {
    let mut directory = Directory::default();
    let announcement = Announcement {
        upstream: "u".into(),
        service: "s".into(),
        address: "10.0.0.1:1".into(),
        domain: "a".into(),
        version: "v1".into(),
        slots,
        phase: Phase::Ready,
        cold_left: Span::ZERO,
        incarnation: 1,
        sequence: 1,
    };
    let record = Record {
        announcement,
        age: Span::ZERO,
        silent: false,
        limit: None,
    };
    directory.merge(record, START);
    let stated = Limit {
        bounds,
        stated_at: START,
    };
    directory.set_limit("u", 1, stated);
    directory
}

fn pool(instance: u64, instances: u64, directory: &Directory) -> Pool {
    let mut pool = Pool::new("a".into(), instance, INTERVAL);
    pool.update(directory.entries(), START);
    let totals = Totals {
        instances,
        ..Totals::default()
    };
    pool.update_totals(&totals, START);
    pool
}

pub(crate) const CRITERIA: Criteria<'static> = Criteria {
    service: "s",
    affinity: None,
    shared_tokens: 0,
    prompt: Prompt::EMPTY,
    draw: 0,
    tokens: 0,
    memory_tokens: 0,
    cold_rate: 0.0,
    excluded: &[],
    may_hand_over: false,
};

/// Tries to send a request and returns whether it was sent.
fn try_send(pool: &mut Pool, now: Time) -> bool {
    match pool.choose(&CRITERIA, &State::default(), now) {
        Choice::Upstream(target) => pool.pass(&target, now).is_some(),
        Choice::Full | Choice::Backoff(_) | Choice::Limited(_) | Choice::Unavailable => false,
    }
}

/// A control instance.
struct Control {
    issuer: Issuer,
    /// Last answer of the leader.
    contact_at: Time,
    is_reachable: bool,
}

/// A permit that arrives late: the entry instance, when its poll was sent, and the permits.
type Late = (usize, Time, Vec<Permit>);

pub(crate) struct World {
    controls: Vec<Control>,
    leader: Option<usize>,
    term: u64,
    /// The entry instances.
    pub pools: Vec<Pool>,
    directory: Arc<Directory>,
    /// Number of entry instances, the first ones, that reach no control instance.
    cut_entries: usize,
    late: Option<Late>,
}

impl World {
    /// Returns control instances without a leader and entry instances before one upstream.
    pub fn new(instances: usize, controls: usize, bounds: Bounds, slots: u32) -> Self {
        let directory = directory(bounds, slots);
        let control = || Control {
            issuer: Issuer::default(),
            contact_at: START,
            is_reachable: true,
        };
        let count = instances as u64;
        Self {
            controls: (0..controls).map(|_| control()).collect(),
            leader: None,
            term: 0,
            pools: (0..count)
                .map(|i| pool(i * 7_919, count, &directory))
                .collect(),
            directory: Arc::new(directory),
            cut_entries: 0,
            late: None,
        }
    }

    /// Sets the leader.
    pub fn elect(&mut self, leader: Option<usize>, now: Time) {
        self.term += 1;
        self.leader = leader;
        for (at, control) in self.controls.iter_mut().enumerate() {
            let term = (Some(at) == leader).then_some(self.term);
            control.issuer.set_term(term, now);
        }
    }

    fn lend(&mut self, control: usize, holder: u64, wants: &[Want], now: Time) -> Vec<Permit> {
        let directory = self.directory.clone();
        let limit = |w: &Want| directory.permit_rate(w);
        let issuer = &mut self.controls[control].issuer;
        issuer.lend(holder, wants, limit, now)
    }

    /// Lets a control instance poll the leader.
    fn poll_leader(&mut self, control: usize, now: Time) {
        let Some(leader) = self.leader else {
            return;
        };
        if leader != control {
            if !self.controls[control].is_reachable || !self.controls[leader].is_reachable {
                return;
            }
            let wants = self.controls[control].issuer.wants(now);
            let holder = FIRST_CONTROL_HOLDER + control as u64;
            let permits = self.lend(leader, holder, &wants, now);
            self.controls[control].issuer.receive(&permits, now, now);
        }
        self.controls[control].contact_at = now;
    }

    /// Lets an entry instance poll the first control instance that it reaches.
    pub fn poll_control(&mut self, entry: usize, now: Time) {
        let count = self.controls.len();
        let mut order = (0..count).map(|k| (entry + k) % count);
        let reached = order.find(|c| self.controls[*c].is_reachable);
        let Some(control) = reached.filter(|_| entry >= self.cut_entries) else {
            return;
        };
        let returns = self.pools[entry].take_surplus(now);
        let issuer = &mut self.controls[control].issuer;
        issuer.take_back(entry as u64, &returns, now);
        let wants = self.pools[entry].wants(now);
        let permits = self.lend(control, entry as u64, &wants, now);
        let has_contact = now.since(self.controls[control].contact_at) < LEADER_CONTACT;
        let arrived: Vec<_> = permits.into_iter().map(|p| (p, now)).collect();
        self.pools[entry].grant(&arrived, has_contact.then_some(now), now);
    }

    /// Sends a request through an entry instance, which asks for a permit if it has none.
    fn send(&mut self, entry: usize, now: Time) -> bool {
        self.pools[entry].want(&CRITERIA, &State::default(), now);
        if try_send(&mut self.pools[entry], now) {
            return true;
        }
        self.poll_control(entry, now);
        try_send(&mut self.pools[entry], now)
    }

    /// Applies what a fault does `moment` milliseconds after the start of each 10 s.
    pub fn strike(&mut self, fault: Fault, moment: u64, now: Time) {
        match (fault, moment) {
            (Fault::Crash | Fault::Cut | Fault::Suspension, 5_000) => {
                let leader = self.leader.unwrap_or_default();
                if fault == Fault::Suspension {
                    let want = Want {
                        upstream: "u".into(),
                        incarnation: 1,
                        count: 1,
                        demand: Rate::default(),
                    };
                    self.late = Some((0, now, self.lend(leader, 0, &[want], now)));
                }
                self.controls[leader].is_reachable = false;
                if fault == Fault::Crash {
                    self.controls[leader].issuer = Issuer::default();
                }
                self.elect(None, now);
            }
            (Fault::Crash | Fault::Cut | Fault::Suspension, 5_600) => {
                let next = self.controls.iter().position(|c| c.is_reachable);
                self.elect(next, now);
            }
            (Fault::Crash | Fault::Cut | Fault::Suspension, 8_000) => {
                for control in &mut self.controls {
                    control.is_reachable = true;
                }
                if let Some((entry, sent, permits)) = self.late.take() {
                    let late: Vec<_> = permits.into_iter().map(|p| (p, sent)).collect();
                    self.pools[entry].grant(&late, None, now);
                }
            }
            (Fault::Changes, _) if moment.is_multiple_of(300) => {
                let next = self.leader.map(|l| (l + 1) % self.controls.len());
                self.elect(next, now);
            }
            (Fault::NoLeader, 4_000) => self.elect(None, now),
            (Fault::NoLeader, 9_000) => self.elect(Some(0), now),
            (Fault::EntriesCut, 4_000) => self.cut_entries = self.pools.len() / 3,
            (Fault::EntriesCut, 9_000) => self.cut_entries = 0,
            (Fault::SeveralLeaders, 0) => {
                for control in &mut self.controls {
                    control.issuer.set_term(Some(self.term), now);
                }
            }
            _ => {}
        }
    }

    /// Lets the instances poll whose turn it is `at` milliseconds after the start.
    pub fn poll(&mut self, at: u64, now: Time) {
        for control in 0..self.controls.len() {
            if (at + 30 * control as u64).is_multiple_of(150) {
                self.poll_leader(control, now);
            }
        }
        for entry in 0..self.pools.len() {
            if (at + 10 * entry as u64).is_multiple_of(200) {
                self.poll_control(entry, now);
            }
        }
    }

    /// Returns when requests were sent.
    fn play(&mut self, fault: Fault, seed: u64) -> Vec<Time> {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut sent = Vec::new();
        self.elect(Some(0), START);
        for at in (0..LENGTH_MS).step_by(STEP_MS) {
            let now = START + Span::from_millis(at);
            self.strike(fault, at % 10_000, now);
            self.poll(at, now);
            for _ in 0..DEMAND {
                if random.random_range(0..100) == 0 {
                    let entry = random.random_range(0..self.pools.len());
                    if self.send(entry, now) {
                        sent.push(now);
                    }
                }
            }
        }
        sent
    }
}

const fn limited(milli: u64) -> Bounds {
    Bounds {
        rate: Some(Rate::from_milli(milli)),
        rejects: None,
    }
}

/// Runs a fault against an upstream that states `milli` thousandths of a request per second.
#[must_use]
pub fn run(fault: Fault, instances: usize, controls: usize, milli: u64) -> Outcome {
    let seed = instances as u64 + milli;
    let sent = World::new(instances, controls, limited(milli), SLOTS).play(fault, seed);
    let counted = sent.iter().filter(|t| t.since(START) >= CONTACT_TIME);
    let counted: Vec<Time> = counted.copied().collect();
    Outcome {
        most: largest_window(&counted, WINDOW),
        allowed: milli * WINDOW.as_millis() * 3 / 2_000_000 + 5,
        used: sent.len() as u64 * 100 * 1_000_000 / (LENGTH_MS * milli),
    }
}

/// Runs instances that all lose contact to control and get a request each 100 ms for `seconds`.
#[must_use]
pub fn run_isolated(instances: usize, milli: u64, seconds: u64) -> Outcome {
    let mut world = World::new(instances, 1, limited(milli), SLOTS);
    let mut sent = Vec::new();
    for at in (0..seconds * 1_000).step_by(100) {
        let now = START + Span::from_millis(at);
        for pool in &mut world.pools {
            if try_send(pool, now) {
                sent.push(now);
            }
        }
    }
    Outcome {
        most: largest_window(&sent, WINDOW),
        allowed: milli * WINDOW.as_millis() * 3 / 2_000_000 + 5,
        used: sent.len() as u64 * 100 * 1_000 / (seconds * milli),
    }
}

/// Returns the section of the fault matrix.
///
/// # Panics
///
/// Never: writing to a string can't fail.
#[must_use]
pub fn page() -> String {
    let mut text = String::from(
        "## Limits of upstreams

Entry and control instances of the gateway before one upstream that states a limit, 60 requests/s for 40 s of virtual
time. The fault strikes every 10 s. A cell gives the largest number of requests in 4 s from 3 s after the first
statement, the number allowed (one and a half times the limit, and 5), and the part of the limit that was used.

| fault |",
    );
    for (instances, controls, milli) in COLUMNS {
        let rate = format!("{}.{}", milli / 1_000, milli % 1_000 / 100);
        write!(text, " {instances} entries, {controls} control, {rate}/s |").expect("a string");
    }
    text.push_str("\n|---|---|---|---|---|---|\n");
    for fault in FAULTS {
        write!(text, "| {} |", fault.label()).expect("a string");
        for (instances, controls, milli) in COLUMNS {
            let outcome = run(fault, instances, controls, milli);
            let verdict = if outcome.holds() {
                "holds"
            } else {
                "**broken**"
            };
            let Outcome {
                most,
                allowed,
                used,
            } = outcome;
            write!(text, " {verdict}: {most} of {allowed}, {used}% |").expect("a string");
        }
        text.push('\n');
    }
    text.push('\n');
    text
}
