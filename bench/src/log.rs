//! Cost of the replicated log: steps of three replicas in memory, without network and disk.

use std::{
    collections::VecDeque,
    process::ExitCode,
    time::{Duration, Instant},
};

use masticlock_core::{
    consensus::{
        Action, Event, Identity, Image, MAX_ELECTION_TIMEOUT, MAX_TICK_INTERVAL, Member, Members,
        Message, Payload, Replica, Settings,
    },
    name,
    time::{Span, Time},
};

use crate::report::Report;

/// Proposals of a run.
const PROPOSALS: u64 = 50_000;

/// Proposals that wait at the same time.
const WINDOW: u64 = 64;

/// Bytes of a proposal, about those of a claim.
const PAYLOAD_BYTES: usize = 300;

/// Bytes of the snapshot, which is JSON as the state machine writes it.
const SNAPSHOT_BYTES: usize = 1_000_000;

/// Entries between two snapshots.
const SNAPSHOT_ENTRIES: u64 = 10_000;

/// Virtual time without proposals.
const IDLE: Span = Span::from_secs(60);

/// Three times the few hundred claims a second that the log has to sustain.
const MIN_ENTRIES_PER_SECOND: u128 = 1_000;

/// The budget of an instance for control.
const MAX_IDLE_BYTES_PER_SECOND: u64 = 3_000;

/// Most bytes that a snapshot of JSON takes inside JSON messages, in percent of its size.
const MAX_SNAPSHOT_PERCENT: u64 = 150;

/// Replicas with messages that arrive at once and writes that are synced at once.
struct Cluster {
    ids: Vec<Identity>,
    replicas: Vec<Replica>,
    messages: VecDeque<Message>,
    /// A replica that receives nothing.
    absent: Option<usize>,
    now: Time,
    answered: u64,
    applied: u64,
    installed: usize,
    /// Messages and their bytes as JSON, if they are counted.
    sent: Option<(u64, u64)>,
}

impl Cluster {
    fn new(seed: u64) -> Self {
        let ids: Vec<_> = (1..4).map(|n| Identity::from_random(n << 60)).collect();
        let member = |&id: &Identity| Member {
            id,
            instance: name::Instance::try_from("control-1").expect("a valid name"),
            address: "127.0.0.1:4001".to_owned(),
        };
        let members = Members {
            voters: ids.iter().map(member).collect(),
            ..Members::default()
        };
        let replica = |(&id, seed): (&Identity, u64)| {
            let settings = Settings {
                seed,
                ..Settings::default()
            };
            let image = Image::founding(id, members.clone());
            Replica::new(&settings, image, Time::ZERO)
        };
        Self {
            replicas: ids.iter().zip(seed..).map(replica).collect(),
            ids,
            messages: VecDeque::new(),
            absent: None,
            now: Time::ZERO,
            answered: 0,
            applied: 0,
            installed: 0,
            sent: None,
        }
    }

    fn step(&mut self, at: usize, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            for action in self.replicas[at].step(event, self.now) {
                match action {
                    Action::Send(message) => self.send(message),
                    Action::Write { sequence, .. } => events.push_back(Event::Synced(sequence)),
                    Action::Apply { index, .. } => self.applied = self.applied.max(index),
                    Action::Install(snapshot) => self.installed = snapshot.data.as_bytes().len(),
                    Action::Answer { outcome, .. } => self.answered += u64::from(outcome.is_ok()),
                    Action::Read { .. } | Action::Elected { .. } | Action::StepDown { .. } => {}
                    Action::Halt { reason } => panic!("{reason}"),
                }
            }
        }
    }

    fn send(&mut self, message: Message) {
        if let Some((count, bytes)) = &mut self.sent {
            let json = serde_json::to_vec(&message).expect("messages serialize");
            *count += 1;
            *bytes += json.len() as u64;
        }
        self.messages.push_back(message);
    }

    fn deliver(&mut self) {
        while let Some(message) = self.messages.pop_front() {
            let at = self.ids.iter().position(|id| *id == message.to);
            if let Some(at) = at.filter(|at| self.absent != Some(*at)) {
                self.step(at, Event::Received(message));
            }
        }
    }

    fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.now += MAX_TICK_INTERVAL;
            for at in 0..self.replicas.len() {
                self.step(at, Event::Tick);
                self.deliver();
            }
        }
    }

    fn leader(&self) -> usize {
        let acts = |r: &Replica| r.may_act(self.now);
        self.replicas.iter().position(acts).expect("a leader")
    }

    /// Starts counting messages and runs; returns their number and bytes.
    fn count(&mut self, span: Span) -> (u64, u64) {
        self.sent = Some((0, 0));
        self.run(span);
        self.sent.take().unwrap_or_default()
    }

    /// Sends proposals in groups and returns the time they took.
    fn propose(&mut self, leader: usize) -> Duration {
        let text = format!("{{\"claim\":\"{}\"}}", "x".repeat(PAYLOAD_BYTES));
        let payload = Payload::from(text.into_bytes());
        let start = Instant::now();
        for ticket in 0..PROPOSALS {
            let payload = payload.clone();
            self.step(leader, Event::Propose { ticket, payload });
            if ticket % WINDOW == WINDOW - 1 {
                self.deliver();
            }
            if ticket % SNAPSHOT_ENTRIES == SNAPSHOT_ENTRIES - 1 {
                let (index, data) = (self.applied, Payload::default());
                self.step(leader, Event::Snapshotted { index, data });
            }
        }
        self.deliver();
        start.elapsed()
    }

    /// Sends a snapshot to a replica that was absent; returns the bytes.
    fn transfer(&mut self, leader: usize) -> u64 {
        let absent = (leader + 1) % self.ids.len();
        self.absent = Some(absent);
        self.propose(leader);
        let text = "{\"request\":\"r1\",\"outcome\":null},".bytes().cycle();
        let data = Payload::from(text.take(SNAPSHOT_BYTES).collect::<Vec<_>>());
        let index = self.applied;
        self.step(leader, Event::Snapshotted { index, data });
        self.messages.clear();
        self.absent = None;
        let (_, bytes) = self.count(MAX_ELECTION_TIMEOUT);
        assert_eq!(self.installed, SNAPSHOT_BYTES, "the snapshot has arrived");
        bytes
    }
}

/// Measures the log and prints the targets.
pub fn run(seed: u64) -> ExitCode {
    let mut report = Report::begin("log", seed);
    let mut cluster = Cluster::new(seed);
    cluster.run(MAX_ELECTION_TIMEOUT.times(2));
    let leader = cluster.leader();
    let (messages, bytes) = cluster.count(IDLE);
    println!("{} bytes per heartbeat or answer", bytes / messages.max(1));
    report.at_most(
        "bytes per second between three idle replicas, without HTTP",
        MAX_IDLE_BYTES_PER_SECOND,
        bytes * 1_000 / IDLE.as_millis(),
    );
    let took = cluster.propose(leader);
    assert_eq!(cluster.answered, PROPOSALS, "all proposals are committed");
    let nanos = took.as_nanos() / u128::from(PROPOSALS);
    println!("{nanos} ns per entry of {PAYLOAD_BYTES} bytes");
    let per_second = u128::from(PROPOSALS) * 1_000_000 / took.as_micros().max(1);
    report.at_least("entries per second", MIN_ENTRIES_PER_SECOND, per_second);
    let bytes = cluster.transfer(leader);
    println!("{bytes} bytes sent for a snapshot of {SNAPSHOT_BYTES} bytes");
    report.at_most(
        "bytes sent for a snapshot, in percent of its size",
        MAX_SNAPSHOT_PERCENT,
        bytes * 100 / SNAPSHOT_BYTES as u64,
    );
    report.finish()
}
