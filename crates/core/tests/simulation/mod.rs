//! Simulation of instances, upstreams and an unreliable network in virtual time.
//!
//! Times are in milliseconds. Instances and upstreams are identified by their
//! index. The checks count the slots that holders could use, not those that the
//! owners have recorded.

mod handlers;

use std::{cmp::Reverse, collections::BinaryHeap};

use masticlock_core::{
    directory::{Announcement, State},
    name,
    slot::{self, Handover, Holder, Lease, Renewal, Report, Table, Token},
    time::{Span, Time},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A deliberate defect in the protocol, which the checks must detect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Defect {
    /// The protocol is not changed.
    None,
    /// A new owner grants slots at once.
    NoTakeoverWait,
    /// Each instance grants slots up to the limit as if it were the only owner.
    LimitPerInstance,
    /// The ownership lease counts from when the announcement arrives.
    TrustReceiveTime,
}

const INSTANCES: usize = 4;
const UPSTREAMS: usize = 3;
/// Limit of an upstream after a cold start.
const COLD: u32 = 2;
/// Limit of a warm upstream.
const WARM: u32 = 12;
/// Timeout of an announcement call in milliseconds.
const CALL_MS: u64 = 1_000;
/// Time that an upstream takes to restart in milliseconds, longer than [`slot::START_TIMEOUT`].
const RESTART_MS: u64 = 5_000;

#[derive(Clone)]
enum Event {
    /// An upstream announces itself: upstream, incarnation and number of the call.
    Announce(usize, u64, u64),
    /// An announcement arrives: upstream, number of the call, announcement, receiving instance
    /// and time of sending.
    Announced(usize, u64, Announcement, usize, u64),
    /// The response arrives: upstream, number of the call, incarnation and response.
    Answered(usize, u64, u64, slot::AnnouncementResponse),
    /// An instance requests a slot on a random upstream.
    RequestSlot(usize),
    /// The request for a slot arrives at the owner.
    Acquire {
        owner: usize,
        holder: usize,
        boot: u64,
        upstream: usize,
        sent: Time,
    },
    /// A granted slot arrives at its holder.
    Granted {
        holder: usize,
        boot: u64,
        lease: Lease,
        hold: Option<Span>,
        sent: Time,
    },
    /// A process renews its slots and removes expired ones: instance and process id.
    Tick(usize, u64),
    /// A renewal arrives at the owner.
    Renew {
        owner: usize,
        holder: usize,
        lease: Lease,
        sent: Time,
    },
    /// The response to a renewal arrives at the holder.
    Renewed {
        holder: usize,
        boot: u64,
        lease: Lease,
        renewal: Renewal,
        sent: Time,
    },
    /// The work in a slot ends.
    End {
        holder: usize,
        boot: u64,
        lease: Lease,
    },
    /// A release arrives at the owner.
    Release {
        owner: usize,
        lease: Lease,
        report: Report,
    },
    /// A handover arrives at an instance.
    HandOver(usize, Handover),
    /// A new process of an instance starts: instance and process id.
    StartNode(usize, u64),
    /// An instance learns which instances it can reach.
    UpdateView(usize),
    /// A random fault occurs.
    InjectFault,
    /// A process stops: instance and process id.
    StopNode(usize, u64),
    /// An upstream has restarted.
    StartUpstream(usize),
    /// An upstream no longer announces that it is cold: upstream and time of the cold start.
    WarmUp(usize, u64),
}

/// An instance.
struct Node {
    name: name::Instance,
    up: bool,
    leaving: bool,
    /// Whether the load balancer in front of the instances sends no announcements to this one.
    announcements_blocked: bool,
    /// Id of the process.
    boot: u64,
    /// Rate of the local clock in thousandths.
    clock_rate: u64,
    clock_offset: u64,
    table: Table,
    holder: Holder,
    /// The instances that this one considers reachable.
    view: Vec<name::Instance>,
    /// The last token issued to each upstream.
    last_token: Vec<Option<Token>>,
    /// When the newest announcement received from each upstream was sent.
    last_announced: [u64; UPSTREAMS],
}

/// An upstream and what it can really serve.
struct Upstream {
    name: name::Upstream,
    incarnation: u64,
    token: Option<Token>,
    /// Number of the current announcement call.
    call: u64,
    up: bool,
    state: State,
    /// Number of concurrent requests that it can serve. It doubles after as many completions.
    capacity: u32,
    /// Completions since the capacity last changed.
    completions: u32,
    /// Time of the last cold start.
    cold_since: u64,
    /// Duration of its slots if they are not renewed.
    hold: Option<Span>,
}

/// A granted slot, as an outside observer sees it.
struct ObservedGrant {
    lease: Lease,
    upstream: usize,
    holder: usize,
    boot: u64,
    /// Latest start of the work, on the holder's clock.
    start_by: Time,
    granted: u64,
    started: Option<u64>,
    ended: bool,
    hold: Option<Span>,
}

/// The state of the simulation.
pub struct Simulation {
    now: u64,
    /// Number of the last event. It orders the events of one time.
    sequence: u64,
    /// Time, number and index of each event that has not occurred.
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: Vec<Option<Event>>,
    rng: ChaCha8Rng,
    nodes: Vec<Node>,
    upstreams: Vec<Upstream>,
    observed: Vec<ObservedGrant>,
    /// Pairs of instances that can't reach each other, the lower index first.
    partitions: Vec<(usize, usize)>,
    /// Id of the last process that was started.
    last_boot: u64,
    defect: Defect,
    /// Whether the network loses, duplicates and delays messages.
    unreliable: bool,
    /// Number of granted slots.
    pub grants: u64,
    /// Descriptions of the violated limits.
    pub violations: Vec<String>,
}

fn instance(index: usize) -> name::Instance {
    name::Instance::try_from(format!("entry-{index}")).unwrap()
}

fn version(index: usize) -> name::Version {
    name::Version::try_from(format!("m{index}@1")).unwrap()
}

impl Simulation {
    pub fn new(seed: u64, defect: Defect) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let names: Vec<_> = (0..INSTANCES).map(instance).collect();
        let node = |index: usize, rng: &mut ChaCha8Rng| Node {
            name: instance(index),
            up: true,
            leaving: false,
            announcements_blocked: false,
            boot: index as u64 + 1,
            clock_rate: 1_000 - slot::MAX_CLOCK_DRIFT_PERMILLE
                + rng.random_range(0..=2 * slot::MAX_CLOCK_DRIFT_PERMILLE),
            clock_offset: rng.random_range(0..1_000_000),
            table: Table::new(instance(index), index as u64 + 1),
            holder: Holder::default(),
            view: names.clone(),
            last_token: vec![None; UPSTREAMS],
            last_announced: [0; UPSTREAMS],
        };
        let upstream = |index: usize| Upstream {
            name: name::Upstream::try_from(format!("engine-{index}")).unwrap(),
            incarnation: 1,
            token: None,
            call: 0,
            up: true,
            state: State::Ready,
            capacity: COLD,
            completions: 0,
            cold_since: 0,
            hold: (index == 0).then_some(Span::from_secs(9)),
        };
        let mut simulation = Self {
            now: 0,
            sequence: 0,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            nodes: (0..INSTANCES).map(|index| node(index, &mut rng)).collect(),
            upstreams: (0..UPSTREAMS).map(upstream).collect(),
            rng,
            observed: Vec::new(),
            partitions: Vec::new(),
            last_boot: 100,
            defect,
            unreliable: false,
            grants: 0,
            violations: Vec::new(),
        };
        for index in 0..UPSTREAMS {
            simulation.schedule(index as u64, Event::Announce(index, 1, 0));
        }
        for index in 0..INSTANCES {
            simulation.schedule(10, Event::RequestSlot(index));
            simulation.schedule(0, Event::Tick(index, index as u64 + 1));
        }
        simulation
    }

    /// Adds an unreliable network, crashes, partitions, shutdowns and cold starts.
    pub fn with_faults(mut self) -> Self {
        self.unreliable = true;
        self.schedule(3_000, Event::InjectFault);
        self
    }

    /// Handles all events up to the time `until`.
    pub fn run(&mut self, until: u64) {
        while let Some(Reverse((time, _, index))) = self.queue.pop() {
            if time > until {
                break;
            }
            self.now = time;
            if let Some(event) = self.events[index].take() {
                self.handle(event);
            }
        }
    }

    /// Schedules an event after `delay`.
    fn schedule(&mut self, delay: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Some(event));
        let entry = (self.now + delay, self.sequence, self.events.len() - 1);
        self.queue.push(Reverse(entry));
    }

    /// Sends a message over the network, which may delay, lose or duplicate it.
    fn send(&mut self, event: Event) {
        if !self.unreliable {
            let delay = self.rng.random_range(1..20);
            self.schedule(delay, event);
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
            self.schedule(delay, event.clone());
        }
    }

    /// Sends a message from one instance to another unless a partition separates them.
    fn send_between(&mut self, from: usize, to: usize, event: Event) {
        if from == to {
            self.schedule(0, event);
        } else if !self.partitions.contains(&(from.min(to), from.max(to))) {
            self.send(event);
        }
    }

    /// Returns the time on the clock of an instance.
    fn clock(&self, index: usize) -> Time {
        let node = &self.nodes[index];
        Time::from_millis(node.clock_offset + self.now * node.clock_rate / 1_000)
    }

    /// Returns the owner of an upstream as an instance sees it.
    fn owner(&self, viewer: usize, upstream: usize) -> Option<usize> {
        let key = self.upstreams[upstream].name.as_str();
        let owner = slot::rendezvous(key, &self.nodes[viewer].view)?;
        self.nodes.iter().position(|n| n.name == *owner)
    }

    fn upstream_index(&self, lease: &Lease) -> usize {
        self.upstreams
            .iter()
            .position(|u| u.name == lease.upstream)
            .unwrap()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Announce(index, incarnation, call) => self.announce(index, incarnation, call),
            Event::Announced(index, call, announcement, to, sent) => {
                self.nodes[to].last_announced[index] =
                    self.nodes[to].last_announced[index].max(sent);
                self.announced(index, call, announcement, to);
            }
            Event::Answered(index, call, incarnation, response) => {
                self.answered(index, call, incarnation, response);
            }
            Event::RequestSlot(index) => self.request_slot(index),
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
            Event::Tick(index, boot) => self.tick(index, boot),
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
            Event::StartNode(index, boot) => self.start_node(index, boot),
            Event::UpdateView(index) => self.update_view(index),
            Event::InjectFault => self.inject_fault(),
            Event::StopNode(index, boot) => {
                if self.nodes[index].up && self.nodes[index].boot == boot {
                    self.stop_node(index, 500);
                }
            }
            Event::StartUpstream(index) => self.start_upstream(index),
            Event::WarmUp(index, cold_since) => {
                if self.upstreams[index].cold_since == cold_since {
                    self.upstreams[index].state = State::Ready;
                }
            }
        }
    }
}
