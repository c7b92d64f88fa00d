//! A model of instances, upstreams and a faulty network on virtual time.
//!
//! The checks look at what holders could use, not at what owners have noted.

mod parts;

use std::{cmp::Reverse, collections::BinaryHeap};

use masticlock_core::{
    directory::{Announcement, State},
    name,
    slot::{self, Handover, Holder, Lease, Renewal, Report, Table, Token},
    time::{Span, Time},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A deliberate fault in the protocol.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    None,
    NoTakeoverWait,
    LimitPerInstance,
    TrustReceiveTime,
}

const INSTANCES: usize = 4;
const UPSTREAMS: usize = 3;
const COLD: u32 = 2;
const WARM: u32 = 12;
/// The model's call limit for an announcement.
const CALL_MS: u64 = 1_000;
/// An engine needs longer than [`slot::START_TIMEOUT`] to start again.
const RESTART_MS: u64 = 5_000;

#[derive(Clone)]
enum Event {
    Announce(usize, u64, u64),
    Announced(usize, u64, Announcement, usize, u64),
    Answered(usize, u64, u64, slot::AnnouncementResponse),
    Want(usize),
    Acquire {
        owner: usize,
        holder: usize,
        boot: u64,
        upstream: usize,
        sent: Time,
    },
    Granted {
        holder: usize,
        boot: u64,
        lease: Lease,
        hold: Option<Span>,
        sent: Time,
    },
    Tick(usize, u64),
    Renew {
        owner: usize,
        holder: usize,
        lease: Lease,
        sent: Time,
    },
    Renewed {
        holder: usize,
        boot: u64,
        lease: Lease,
        renewal: Renewal,
        sent: Time,
    },
    End {
        holder: usize,
        boot: u64,
        lease: Lease,
    },
    Release {
        owner: usize,
        lease: Lease,
        report: Report,
    },
    HandOver(usize, Handover),
    Restart(usize, u64),
    View(usize),
    Chaos,
    Stop(usize, u64),
    Boot(usize),
    Warm(usize, u64),
}

struct Node {
    name: name::Instance,
    up: bool,
    leaving: bool,
    /// Whether the load balancer sends it no announcements.
    deaf: bool,
    boot: u64,
    rate: u64,
    offset: u64,
    table: Table,
    holder: Holder,
    view: Vec<name::Instance>,
    last_token: Vec<Option<Token>>,
    /// When the latest announcement that it has was made.
    told: [u64; UPSTREAMS],
}

struct Upstream {
    name: name::Upstream,
    incarnation: u64,
    token: Option<Token>,
    call: u64,
    up: bool,
    state: State,
    /// What the upstream can bear: doubles as in the design.
    bears: u32,
    done: u32,
    since: u64,
    hold: Option<Span>,
}

/// A slot that was granted, seen from outside.
struct Truth {
    lease: Lease,
    upstream: usize,
    holder: usize,
    boot: u64,
    start_by: Time,
    granted: u64,
    started: Option<u64>,
    ended: bool,
    hold: Option<Span>,
}

pub struct World {
    now: u64,
    order: u64,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: Vec<Option<Event>>,
    rng: ChaCha8Rng,
    nodes: Vec<Node>,
    upstreams: Vec<Upstream>,
    truths: Vec<Truth>,
    cut: Vec<(usize, usize)>,
    boots: u64,
    fault: Fault,
    /// Whether the network loses, repeats and delays messages.
    faulty: bool,
    pub grants: u64,
    pub violations: Vec<String>,
}

fn instance(at: usize) -> name::Instance {
    name::Instance::try_from(format!("entry-{at}")).unwrap()
}

fn version(at: usize) -> name::Version {
    name::Version::try_from(format!("m{at}@1")).unwrap()
}

impl World {
    pub fn new(seed: u64, fault: Fault) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let names: Vec<_> = (0..INSTANCES).map(instance).collect();
        let node = |at: usize, rng: &mut ChaCha8Rng| Node {
            name: instance(at),
            up: true,
            leaving: false,
            deaf: false,
            boot: at as u64 + 1,
            rate: 1_000 - slot::MAX_CLOCK_DRIFT_PERMILLE
                + rng.random_range(0..=2 * slot::MAX_CLOCK_DRIFT_PERMILLE),
            offset: rng.random_range(0..1_000_000),
            table: Table::new(instance(at), at as u64 + 1),
            holder: Holder::default(),
            view: names.clone(),
            last_token: vec![None; UPSTREAMS],
            told: [0; UPSTREAMS],
        };
        let upstream = |at: usize| Upstream {
            name: name::Upstream::try_from(format!("engine-{at}")).unwrap(),
            incarnation: 1,
            token: None,
            call: 0,
            up: true,
            state: State::Ready,
            bears: COLD,
            done: 0,
            since: 0,
            hold: (at == 0).then_some(Span::from_secs(9)),
        };
        let mut world = Self {
            now: 0,
            order: 0,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            nodes: (0..INSTANCES).map(|at| node(at, &mut rng)).collect(),
            upstreams: (0..UPSTREAMS).map(upstream).collect(),
            rng,
            truths: Vec::new(),
            cut: Vec::new(),
            boots: 100,
            fault,
            faulty: false,
            grants: 0,
            violations: Vec::new(),
        };
        for at in 0..UPSTREAMS {
            world.at(at as u64, Event::Announce(at, 1, 0));
        }
        for at in 0..INSTANCES {
            world.at(10, Event::Want(at));
            world.at(0, Event::Tick(at, at as u64 + 1));
        }
        world
    }

    /// Begins with a faulty network, crashes, partitions, stops and cold starts.
    pub fn with_chaos(mut self) -> Self {
        self.faulty = true;
        self.at(3_000, Event::Chaos);
        self
    }

    pub fn run(&mut self, until: u64) {
        while let Some(Reverse((time, _, at))) = self.queue.pop() {
            if time > until {
                break;
            }
            self.now = time;
            if let Some(event) = self.events[at].take() {
                self.handle(event);
            }
        }
    }

    fn at(&mut self, delay: u64, event: Event) {
        self.order += 1;
        self.events.push(Some(event));
        let entry = (self.now + delay, self.order, self.events.len() - 1);
        self.queue.push(Reverse(entry));
    }

    /// Sends with delay, loss and repetition.
    fn send(&mut self, event: Event) {
        if !self.faulty {
            let delay = self.rng.random_range(1..20);
            self.at(delay, event);
            return;
        }
        let copies = match self.rng.random_range(0..100) {
            0..4 => 0,
            4..7 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let delay = match self.rng.random_range(0..100) {
                0..3 => self.rng.random_range(1_000..9_000),
                3..10 => self.rng.random_range(50..1_000),
                _ => self.rng.random_range(1..20),
            };
            self.at(delay, event.clone());
        }
    }

    fn send_between(&mut self, from: usize, to: usize, event: Event) {
        if from == to {
            self.at(0, event);
        } else if !self.cut.contains(&(from.min(to), from.max(to))) {
            self.send(event);
        }
    }

    fn clock(&self, at: usize) -> Time {
        let node = &self.nodes[at];
        Time::from_millis(node.offset + self.now * node.rate / 1_000)
    }

    fn owner(&self, viewer: usize, upstream: usize) -> Option<usize> {
        let key = self.upstreams[upstream].name.as_str();
        let first = slot::rendezvous(key, &self.nodes[viewer].view)?;
        self.nodes.iter().position(|n| n.name == *first)
    }

    fn upstream_of(&self, lease: &Lease) -> usize {
        self.upstreams
            .iter()
            .position(|u| u.name == lease.upstream)
            .unwrap()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Announce(at, incarnation, call) => self.announce(at, incarnation, call),
            Event::Announced(at, call, announcement, to, made) => {
                self.nodes[to].told[at] = self.nodes[to].told[at].max(made);
                self.announced(at, call, announcement, to);
            }
            Event::Answered(at, call, incarnation, answer) => {
                self.answered(at, call, incarnation, answer);
            }
            Event::Want(at) => self.want(at),
            Event::Acquire {
                owner,
                holder,
                boot,
                upstream,
                sent,
            } => {
                self.acquire(owner, holder, boot, upstream, sent);
            }
            Event::Granted {
                holder,
                boot,
                lease,
                hold,
                sent,
            } => {
                self.granted(holder, boot, lease, hold, sent);
            }
            Event::Tick(at, boot) => self.tick(at, boot),
            Event::Renew {
                owner,
                holder,
                lease,
                sent,
            } => self.renew(owner, holder, lease, sent),
            Event::Renewed {
                holder,
                boot,
                lease,
                renewal,
                sent,
            } => {
                let now = self.clock(holder);
                let node = &mut self.nodes[holder];
                if node.up && node.boot == boot {
                    node.holder.renewed(&lease, renewal, sent, now);
                }
            }
            Event::End {
                holder,
                boot,
                lease,
            } => self.end(holder, boot, &lease),
            Event::Release {
                owner,
                lease,
                report,
            } => {
                let now = self.clock(owner);
                if self.nodes[owner].up {
                    let table = &mut self.nodes[owner].table;
                    table.release(&lease.upstream, lease.id, report, now);
                }
            }
            Event::HandOver(to, handover) => {
                let now = self.clock(to);
                if self.nodes[to].up {
                    self.nodes[to].table.take_over(handover, now);
                }
            }
            Event::Restart(at, boot) => self.restart(at, boot),
            Event::View(at) => self.view(at),
            Event::Chaos => self.chaos(),
            Event::Stop(at, boot) => {
                if self.nodes[at].up && self.nodes[at].boot == boot {
                    self.stop(at, 500);
                }
            }
            Event::Boot(at) => self.boot(at),
            Event::Warm(at, since) => {
                if self.upstreams[at].since == since {
                    self.upstreams[at].state = State::Ready;
                }
            }
        }
    }
}
