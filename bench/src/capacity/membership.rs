//! Gossip of one failure domain in virtual time, and summaries of relays.

use masticlock::peer::wire;
use masticlock_core::{
    gossip::{Body, Gossip, Key, Member, Message, Status},
    time::{Span, Time},
};

use super::{
    meter::{self, ENVELOPE, Line},
    world,
};

/// Virtual time of one measurement.
const RUN: Span = Span::from_secs(60);
/// Virtual time until all instances know each other.
const SETTLE: Span = Span::from_secs(30);
/// Interval of the shell's ticks.
const TICK: Span = Span::from_millis(100);
/// Changes of upstreams during a measurement.
const CHANGES: [u32; 2] = [60, 240];

/// Slopes of the gossip.
#[derive(Clone, Copy, Debug)]
pub struct Slopes {
    /// Bytes per node and second without changes, by nodes of the failure domain.
    pub idle_bytes: Line,
    /// Messages per node and second without changes, by nodes of the failure domain.
    pub idle_messages: Line,
    /// Processor microseconds per node and second without changes, by nodes.
    pub idle_micros: Line,
    /// Bytes at each node per changed record.
    pub change_bytes: f64,
    /// Processor microseconds at each node per changed record.
    pub change_micros: f64,
    /// Bytes of one summary and its answer, by versions.
    pub summary_bytes: Line,
}

struct Domain {
    nodes: Vec<Gossip>,
    now: Time,
    bytes: f64,
    messages: f64,
}

impl Domain {
    fn new(seed: u64, size: u32) -> Self {
        let seeds: Vec<_> = (0..size.min(2)).map(world::address).collect();
        let node = |at| {
            let member = Member {
                address: world::address(at),
                status: Status::Alive,
            };
            let boot = seed + u64::from(at) + 1;
            Gossip::new(world::name("entry", at), boot, member, seeds.clone())
        };
        let mut domain = Self {
            nodes: (0..size).map(node).collect(),
            now: Time::ZERO,
            bytes: 0.0,
            messages: 0.0,
        };
        for at in 0..world::DOMAIN_ENGINES {
            domain.announce(at, 0);
        }
        domain.run(SETTLE);
        domain
    }

    fn announce(&mut self, at: u32, change: u32) {
        let mut engine = world::engine(at);
        engine.warm += change;
        let key = Key::Upstream(engine.upstream.clone());
        let owner = at as usize % self.nodes.len();
        let incarnation = engine.incarnation;
        self.nodes[owner].put(key, incarnation, Body::Upstream(engine), self.now);
    }

    /// Counts a message at its sender and its receiver and returns it as read.
    fn wire(&mut self, message: &Message) -> Message {
        let json = serde_json::to_vec(message).expect("messages serialize");
        self.bytes += 2.0 * (meter::figure(json.len() as u64) + ENVELOPE);
        self.messages += 2.0;
        serde_json::from_slice(&json).expect("messages can be read")
    }

    fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.now += TICK;
            for at in 0..self.nodes.len() {
                self.nodes[at].tick(self.now);
            }
            for at in 0..self.nodes.len() {
                self.flush(at);
            }
        }
    }

    fn flush(&mut self, from: usize) {
        loop {
            let sends = self.nodes[from].take_outbox();
            if sends.is_empty() {
                return;
            }
            for send in sends {
                let seat = |at: &usize| world::address(u32::try_from(*at).unwrap_or(0)) == send.to;
                let to = (0..self.nodes.len()).find(seat).expect("a member");
                let message = self.wire(&send.message);
                let answer = self.nodes[to].handle_message(message, self.now);
                let answer = self.wire(&answer);
                self.nodes[from].handle_answer(&send.to, Some(answer), self.now);
            }
        }
    }

    /// Runs with a number of changes; returns bytes, messages and processor
    /// microseconds per node.
    fn measure(&mut self, changes: u32) -> [f64; 3] {
        (self.bytes, self.messages) = (0.0, 0.0);
        let micros = meter::cpu_once(|| {
            let parts = changes.max(1);
            for change in 0..parts {
                if changes > 0 {
                    self.announce(change % world::DOMAIN_ENGINES, change + 1);
                }
                self.run(Span::from_millis(RUN.as_millis() / u64::from(parts)));
            }
        });
        let nodes = meter::figure(self.nodes.len() as u64);
        [self.bytes, self.messages, micros].map(|total| total / nodes)
    }
}

fn summary(versions: u32) -> Vec<wire::Free> {
    let free = |at| wire::Free {
        version: world::version(at),
        free: 100,
        total: 600,
    };
    (0..versions).map(free).collect()
}

/// Measures the slopes of gossip and summaries.
pub fn measure(seed: u64) -> Slopes {
    let sizes = [world::DOMAIN_NODES / 2, world::DOMAIN_NODES];
    let seconds = meter::figure(RUN.as_millis()) / 1_000.0;
    let idle = sizes.map(|size| Domain::new(seed, size).measure(0).map(|x| x / seconds));
    let line = |what: &str, unit: &str, at: usize| {
        Line::through(what, unit, (sizes[0], idle[0][at]), (sizes[1], idle[1][at]))
    };
    let (idle_bytes, idle_messages, idle_micros) = (
        line("idle gossip per node and second, by nodes", "B", 0),
        line("idle gossip per node and second, by nodes", "messages", 1),
        line("idle gossip per node and second, by nodes", "us", 2),
    );
    let mut domain = Domain::new(seed, world::DOMAIN_NODES);
    let changed = CHANGES.map(|changes| domain.measure(changes));
    let change = |unit: &str, at: usize| {
        let [small, large] = [0, 1].map(|n| (CHANGES[n], changed[n][at]));
        Line::through("gossip per node in 60 s, by changes", unit, small, large).slope
    };
    Slopes {
        idle_bytes,
        idle_messages,
        idle_micros,
        change_bytes: change("B", 0),
        change_micros: change("us", 2),
        summary_bytes: Line::measure("summary, by versions", "B", [11, 33], |versions| {
            meter::json(&wire::Nothing {}) + meter::json(&summary(versions)) + 2.0 * ENVELOPE
        }),
    }
}

/// Measures the memory of the records, by engines.
pub fn memory(seed: u64) -> Line {
    let domain = Domain::new(seed, 1);
    let sizes = [2_000, 6_000];
    meter::memory("records by engines", sizes, domain, |domain, at| {
        domain.announce(at, 0);
        domain.now += Span::from_secs(1);
        let now = domain.now;
        domain.nodes[0].tick(now);
        domain.nodes[0].take_outbox();
    })
}
