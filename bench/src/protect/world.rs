//! Nine entry instances and 24 upstreams on virtual time.

use std::{cmp::Reverse, collections::BinaryHeap};

use masticlock_core::{
    budget::Budget,
    config,
    directory::{Announcement, View},
    gossip::{Body, Gossip, Key, Member, Message, Status},
    limit::{Demand, Grant, Lender, Queue, Shares},
    name,
    slot::{AnnouncementResponse, Holder, Lease, Renewal, Report, Table},
    time::Time,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::upstream::{Upstream, domain};

pub const DOMAINS: usize = 3;
pub const INSTANCES: usize = 9;
pub const UPSTREAMS: usize = 24;
pub const ACCOUNTS: usize = 10;
/// One-way latency between processes.
pub const LATENCY_MS: u64 = 1;
/// Deadline of every request.
pub const DEADLINE_MS: u64 = 2_000;
/// Interval at which requests arrive.
pub const ARRIVAL_MS: u64 = 10;
/// One refused request in that many comes back when it was told to.
pub const RETURNS: u64 = 20;
/// Requests that wait at one instance.
pub const QUEUE: usize = 2_000;
/// Slots that one instance asks for at once.
pub const ASKS: u32 = 8;
/// Limits of each client account, above its part of the load but for the first.
pub const RATE: u32 = 700;
pub const CONCURRENCY: u32 = 2_000;

/// What a message or a timer does.
pub enum Event {
    Arrive,
    Tick(usize, u64),
    Gossip {
        from: usize,
        to: String,
        message: Message,
    },
    GossipAnswer {
        at: usize,
        to: String,
        answer: Option<Message>,
    },
    Announce(usize, u64),
    Announced(usize, u64, Box<Announcement>, usize),
    Answered(usize, u64, AnnouncementResponse),
    Acquire(usize, usize),
    Acquired {
        at: usize,
        lease: Option<Lease>,
        sent: Time,
    },
    Release(usize, Lease, Report),
    Renew {
        owner: usize,
        holder: usize,
        lease: Lease,
        sent: Time,
    },
    Renewed {
        holder: usize,
        lease: Lease,
        renewal: Renewal,
        sent: Time,
    },
    Borrow {
        lender: usize,
        borrower: usize,
        account: usize,
        ask: Demand,
        sent: Time,
    },
    Lent {
        borrower: usize,
        account: usize,
        grant: Grant,
        sent: Time,
    },
    Retry(usize, u64),
    Return(usize, u64),
    Done {
        at: usize,
        boot: u64,
        request: u64,
        lease: Lease,
    },
    Restart(usize),
}

/// A request of a caller.
#[derive(Clone, Copy)]
pub struct Request {
    pub account: usize,
    pub deadline: u64,
    /// Whether an upstream may have worked on it.
    pub ran: bool,
    /// Whether it was refused before and came back.
    pub back: bool,
}

/// Counts of one phase.
#[derive(Clone, Copy, Default)]
pub struct Counts {
    pub arrived: u64,
    pub good: u64,
    pub limited: u64,
    pub overloaded: u64,
    pub failed: u64,
    pub late: u64,
    pub retries: u64,
    pub ideal: f64,
    /// Refused requests that came back when they were told to.
    pub returned: u64,
    /// Of those, the ones that were admitted then.
    pub admitted: u64,
    /// Refusals without a time to come back.
    pub untimed: u64,
    /// Longest time to come back, in milliseconds.
    pub longest_wait: u64,
}

pub struct Node {
    pub up: bool,
    pub domain: usize,
    pub name: name::Instance,
    pub boot: u64,
    pub gossip: Gossip,
    pub view: View,
    pub hash: u64,
    pub table: Table,
    pub holder: Holder,
    pub shares: Shares,
    pub lenders: Vec<Option<Lender>>,
    pub queue: Queue,
    pub budget: Budget,
    pub asks: u32,
    pub pause_until: u64,
}

pub struct World {
    pub now: u64,
    order: u64,
    pub queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: Vec<Option<Event>>,
    free: Vec<usize>,
    pub rng: ChaCha8Rng,
    pub nodes: Vec<Node>,
    pub upstreams: Vec<Upstream>,
    pub requests: Vec<Request>,
    pub counts: Counts,
    pub arrivals_per_s: u64,
    pub taken_out: Option<usize>,
    /// When the last request was sent to each failure domain.
    pub last_sent: [u64; DOMAINS],
}

pub fn instance(at: usize) -> name::Instance {
    name::Instance::try_from(format!("entry-{at}")).expect("a valid name")
}

pub fn account(at: usize) -> name::Account {
    name::Account::try_from(format!("account-{at}")).expect("a valid name")
}

pub fn address(at: usize) -> String {
    format!("entry-{at}:1")
}

/// Returns a request's number as an index.
pub fn usize_of(request: u64) -> usize {
    usize::try_from(request).unwrap_or(usize::MAX)
}

pub fn node(at: usize, boot: u64, now: u64) -> Node {
    let home = at % DOMAINS;
    let member = Member {
        address: address(at),
        status: Status::Alive,
    };
    let seeds = (0..INSTANCES).filter(|n| n % DOMAINS == home).map(address);
    let gossip = Gossip::new(instance(at), boot, member, seeds.collect());
    Node {
        up: true,
        domain: home,
        name: instance(at),
        boot,
        view: View::from_store(gossip.store()),
        gossip,
        hash: 0,
        table: Table::new(instance(at), boot),
        holder: Holder::default(),
        shares: Shares::default(),
        lenders: vec![None; ACCOUNTS],
        queue: Queue::new(QUEUE),
        budget: Budget::default(),
        asks: 0,
        pause_until: now,
    }
}

impl World {
    pub fn new(seed: u64, arrivals_per_s: u64) -> Self {
        let mut world = Self {
            now: 1_000,
            order: 0,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            free: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            nodes: (0..INSTANCES).map(|at| node(at, 1, 1_000)).collect(),
            upstreams: (0..UPSTREAMS)
                .map(|at| Upstream::new(at, at % DOMAINS))
                .collect(),
            requests: Vec::new(),
            counts: Counts::default(),
            arrivals_per_s,
            taken_out: None,
            last_sent: [0; DOMAINS],
        };
        for at in 0..INSTANCES {
            world.at(0, Event::Tick(at, 1));
        }
        for at in 0..UPSTREAMS {
            world.upstreams[at].since = world.now;
            // Upstreams that start while nobody knows anybody wait as after another owner.
            world.at(3_000, Event::Announce(at, 0));
        }
        world
    }

    pub fn at(&mut self, delay: u64, event: Event) {
        self.order += 1;
        let place = self.free.pop().unwrap_or_else(|| {
            self.events.push(None);
            self.events.len() - 1
        });
        self.events[place] = Some(event);
        self.queue
            .push(Reverse((self.now + delay, self.order, place)));
    }

    pub fn time(&self) -> Time {
        Time::from_millis(self.now)
    }

    /// Runs until `end` and adds up what the upstreams could do at best.
    pub fn run(&mut self, end: u64) {
        while let Some(&Reverse((time, _, place))) = self.queue.peek() {
            if time > end {
                break;
            }
            self.queue.pop();
            self.pass(time);
            if let Some(event) = self.events[place].take() {
                self.free.push(place);
                self.handle(event);
            }
        }
        self.pass(end);
    }

    fn pass(&mut self, time: u64) {
        while self.now < time {
            let usable = self
                .upstreams
                .iter()
                .filter(|u| Some(u.domain) != self.taken_out);
            self.counts.ideal += usable.map(|u| u.ideal(self.now)).sum::<f64>();
            self.now += 1;
        }
    }

    /// Returns the owner of an upstream as an instance sees it.
    pub fn owner(&self, viewer: usize, upstream: &name::Upstream) -> Option<usize> {
        let owner = &self.nodes[viewer].view.owner(upstream)?.name;
        self.nodes.iter().position(|n| n.name == *owner)
    }

    fn handle(&mut self, event: Event) {
        let now = self.time();
        match event {
            Event::Arrive => self.arrive(),
            Event::Tick(at, boot) => self.tick(at, boot),
            Event::Gossip { from, to, message } => self.gossip(from, to, message),
            Event::GossipAnswer { at, to, answer } => {
                if self.nodes[at].up {
                    self.nodes[at].gossip.handle_answer(&to, answer, now);
                    self.refresh(at);
                }
            }
            Event::Announce(at, call) => self.announce(at, call),
            Event::Announced(at, call, announcement, to) => {
                self.announced(at, call, &announcement, to);
            }
            Event::Answered(at, call, answer) => self.answered(at, call, answer),
            Event::Acquire(at, owner) => self.acquire(at, owner),
            Event::Acquired { at, lease, sent } => self.acquired(at, lease, sent),
            Event::Release(owner, lease, report) => {
                if self.nodes[owner].up {
                    let table = &mut self.nodes[owner].table;
                    table.release(&lease.upstream, lease.id, report, now);
                }
            }
            Event::Renew {
                owner,
                holder,
                lease,
                sent,
            } => self.renew(owner, holder, lease, sent),
            Event::Renewed {
                holder,
                lease,
                renewal,
                sent,
            } => {
                self.nodes[holder]
                    .holder
                    .renewed(&lease, renewal, sent, now);
            }
            Event::Borrow {
                lender,
                borrower,
                account,
                ask,
                sent,
            } => {
                self.lend(lender, borrower, account, ask, sent);
            }
            Event::Lent {
                borrower,
                account,
                grant,
                sent,
            } => self.lent(borrower, account, &grant, sent),
            Event::Retry(at, request) => self.enqueue(at, request),
            Event::Return(at, request) => self.returned(at, request),
            Event::Done {
                at,
                boot,
                request,
                lease,
            } => self.done(at, boot, request, lease),
            Event::Restart(at) => {
                let now = self.now;
                self.upstreams[at].restart(now);
                let call = self.upstreams[at].call;
                self.at(0, Event::Announce(at, call));
            }
        }
    }

    /// Takes the view over from the merged records and sends what is new.
    pub fn refresh(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        let hash = node.gossip.store().hash();
        if node.hash != hash {
            node.hash = hash;
            node.view = View::from_store(node.gossip.store());
            node.table.set_exclusions(node.view.exclusions.clone());
        }
        for send in node.gossip.take_outbox() {
            let event = Event::Gossip {
                from: at,
                to: send.to,
                message: send.message,
            };
            self.at(LATENCY_MS, event);
        }
    }

    /// Takes a failure domain out at one of its instances.
    pub fn take_out(&mut self, at: usize) {
        let now = self.time();
        let home = self.nodes[at].domain;
        let key = Key::Restriction(name::Restriction::try_from("r1").expect("a valid name"));
        let body = Body::Restriction(config::Restriction::TakeOut(domain(home)));
        self.nodes[at].gossip.put(key, 0, body, now);
        self.taken_out = Some(home);
        self.refresh(at);
    }
}
