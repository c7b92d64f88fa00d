//! The replicated log and the state machine in memory.

use std::collections::VecDeque;

use masticlock_core::{
    claim, command,
    config::{Change, Restriction},
    consensus::{
        Action, Event, Identity, Image, MAX_ELECTION_TIMEOUT, MAX_TICK_INTERVAL, Member, Members,
        Message, Payload, Replica, Settings,
    },
    machine::{Entry, Input, Machine},
    time::{Span, Time},
};

use super::{
    meter::{self, ENVELOPE, Line},
    world,
};

/// Voters at which the log is measured.
const VOTERS: [u32; 2] = [3, 7];
/// Entries of one measurement.
const ENTRIES: u32 = 20_000;
/// Entries that are proposed together, as a group commit does under load.
const GROUP: u32 = 16;
/// Virtual time without proposals. Shorter runs take less processor time than the kernel counts.
const IDLE: Span = Span::from_secs(3_600);
/// Claims in the state machine at which it is measured.
const CLAIMS: [u32; 2] = [20_000, 60_000];
/// Answer of a claimed call.
const ANSWER_BYTES: usize = 200;

/// Slopes of the log.
#[derive(Clone, Copy, Debug)]
pub struct Slopes {
    /// Bytes per second at the leader without entries, by voters.
    pub idle_bytes: Line,
    /// Processor microseconds per second of all replicas without entries, by voters.
    pub idle_micros: Line,
    /// Bytes at the leader per claimed call, by voters.
    pub claim_bytes: Line,
    /// Processor microseconds of all replicas per claimed call, by voters.
    pub claim_micros: Line,
    /// Processor microseconds to apply a claimed call, at the larger number of claims.
    pub apply_micros: f64,
    /// Processor microseconds to apply a withdrawal with the inventory of the design size.
    pub change_micros: f64,
    /// Messages per second at the leader without entries, by voters.
    pub idle_messages: Line,
    /// Messages at the leader per claimed call, by voters.
    pub claim_messages: Line,
}

struct Cluster {
    ids: Vec<Identity>,
    replicas: Vec<Replica>,
    messages: VecDeque<Vec<u8>>,
    now: Time,
    /// Bytes of messages. Each is from or to the leader.
    bytes: f64,
    messages_sent: f64,
    answered: u32,
}

impl Cluster {
    fn new(seed: u64, voters: u32) -> Self {
        let ids: Vec<_> = (1..=voters)
            .map(|n| Identity::from_random(u64::from(n) << 56))
            .collect();
        let member = |(at, &id): (u32, &Identity)| Member {
            id,
            instance: world::name("control", at),
            address: world::address(9_000 + at),
        };
        let members = Members {
            voters: (0..).zip(&ids).map(member).collect(),
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
            now: Time::ZERO,
            bytes: 0.0,
            messages_sent: 0.0,
            answered: 0,
        }
    }

    fn step(&mut self, at: usize, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            for action in self.replicas[at].step(event, self.now) {
                match action {
                    Action::Send(message) => self.send(&message),
                    Action::Write { sequence, .. } => events.push_back(Event::Synced(sequence)),
                    Action::Answer { outcome, .. } => self.answered += u32::from(outcome.is_ok()),
                    Action::Apply { .. }
                    | Action::Install(_)
                    | Action::Read { .. }
                    | Action::Elected { .. }
                    | Action::StepDown { .. } => {}
                    Action::Halt { reason } => panic!("{reason}"),
                }
            }
        }
    }

    fn send(&mut self, message: &Message) {
        let json = serde_json::to_vec(message).expect("messages serialize");
        self.bytes += meter::figure(json.len() as u64) + ENVELOPE;
        self.messages_sent += 1.0;
        self.messages.push_back(json);
    }

    fn deliver(&mut self) {
        while let Some(json) = self.messages.pop_front() {
            let message: Message = serde_json::from_slice(&json).expect("messages can be read");
            if let Some(at) = self.ids.iter().position(|id| *id == message.to) {
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
        let acts = |replica: &Replica| replica.may_act(self.now);
        self.replicas.iter().position(acts).expect("a leader")
    }

    /// Proposes the entries of claimed calls in groups.
    fn propose(&mut self) {
        let leader = self.leader();
        for ticket in 0..ENTRIES {
            let call = call(ticket / 2);
            let entry = serde_json::to_vec(&call[ticket as usize % 2]).expect("entries serialize");
            let payload = Payload::from(entry);
            let ticket = u64::from(ticket);
            self.step(leader, Event::Propose { ticket, payload });
            if ticket % u64::from(GROUP) == u64::from(GROUP) - 1 {
                self.deliver();
            }
        }
        self.deliver();
        assert_eq!(self.answered, ENTRIES, "all entries are committed");
    }
}

/// Returns the two entries of a claimed call.
fn call(at: u32) -> [Entry; 2] {
    let key = claim::Key {
        account: world::name("account", at % 10),
        key: format!("booking-{at:08}-0123456789abcdef"),
    };
    let begin = Input::Begin(claim::Begin {
        key: key.clone(),
        fingerprint: world::fingerprint(at),
        holder: world::name("request-0123456789abcdef", at),
        instance: world::name("entry", at % world::NODES),
    });
    let finish = Input::Finish(claim::Finish {
        key,
        holder: world::name("request-0123456789abcdef", at),
        end: claim::Outcome::Answered(claim::Response {
            status: 200,
            content_type: "application/json".to_owned(),
            body: vec![b'x'; ANSWER_BYTES],
        }),
    });
    let at = Time::ZERO + Span::from_millis(u64::from(at));
    [begin, finish].map(|input| Entry { at, input })
}

fn submit(at: u32, change: Change) -> Entry {
    Entry {
        at: Time::ZERO,
        input: Input::Submit(command::Command {
            id: world::name("command", at),
            operator: "operator".to_owned(),
            expects: None,
            change,
        }),
    }
}

/// Returns bytes and microseconds per idle second and per claimed call.
fn cluster(seed: u64, voters: u32) -> [f64; 6] {
    let mut cluster = Cluster::new(seed, voters);
    cluster.run(MAX_ELECTION_TIMEOUT.times(3));
    (cluster.bytes, cluster.messages_sent) = (0.0, 0.0);
    let seconds = meter::figure(IDLE.as_millis()) / 1_000.0;
    let idle = meter::cpu_once(|| cluster.run(IDLE));
    let (idle_bytes, idle_messages) = (cluster.bytes, cluster.messages_sent);
    (cluster.bytes, cluster.messages_sent) = (0.0, 0.0);
    let calls = f64::from(ENTRIES / 2);
    let micros = meter::cpu_once(|| cluster.propose());
    [
        idle_bytes / seconds,
        idle / seconds,
        cluster.bytes / calls,
        micros / calls,
        idle_messages / seconds,
        cluster.messages_sent / calls,
    ]
}

/// Measures the slopes of log and state machine.
pub fn measure(seed: u64) -> Slopes {
    let measured = VOTERS.map(|voters| cluster(seed, voters));
    let line = |what: &str, unit: &str, at: usize| {
        let [small, large] = [0, 1].map(|n| (VOTERS[n], measured[n][at]));
        Line::through(what, unit, small, large)
    };
    let apply = CLAIMS.map(apply_micros);
    Line::through(
        "claimed call applied, by claims",
        "us",
        (CLAIMS[0], apply[0]),
        (CLAIMS[1], apply[1]),
    );
    Slopes {
        idle_bytes: line("idle log per second, by voters", "B", 0),
        idle_micros: line("idle log of all replicas per second, by voters", "us", 1),
        claim_bytes: line("log per claimed call, by voters", "B", 2),
        claim_micros: line("log of all replicas per claimed call, by voters", "us", 3),
        apply_micros: apply[1],
        change_micros: change_micros(),
        idle_messages: line("idle log per second, by voters", "messages", 4),
        claim_messages: line("log per claimed call, by voters", "messages", 5),
    }
}

/// Returns the microseconds to apply a claimed call to a machine with `claims` claims.
fn apply_micros(claims: u32) -> f64 {
    let mut machine = Machine::new();
    for at in 0..claims {
        for entry in call(at) {
            machine.apply(&entry);
        }
    }
    let mut at = claims;
    meter::cpu(|| {
        for entry in call(at) {
            machine.apply(&entry);
        }
        at += 1;
    })
}

fn change_micros() -> f64 {
    let figure = |engines| {
        let mut machine = Machine::new();
        machine.apply(&submit(
            0,
            Change::Import(world::inventory(engines, world::VERSIONS)),
        ));
        let limit = Restriction::Withdraw(world::version(1));
        let mut at = 0;
        meter::cpu(|| {
            at += 1;
            let change = if at % 2 == 1 {
                Change::Restrict
            } else {
                Change::Allow
            };
            machine.apply(&submit(at, change(limit.clone())))
        })
    };
    let sizes = [430, world::ENGINES];
    Line::measure(
        "change applied by the state machine, by engines",
        "us",
        sizes,
        figure,
    )
    .at(f64::from(world::ENGINES))
}

/// Measures the memory of claims.
pub fn memory() -> Line {
    meter::memory("claims", CLAIMS, Machine::new(), |machine, at| {
        for entry in call(at) {
            machine.apply(&entry);
        }
    })
}
