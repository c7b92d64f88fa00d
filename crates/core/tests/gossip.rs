//! Tests of membership and directory over a network that loses messages.

use std::{cmp::Reverse, collections::BinaryHeap};

use masticlock_core::{
    config,
    directory::{Announcement, State, View},
    gossip::{Body, CALL_TIMEOUT, Envelope, Gossip, Key, Member, Message, Status},
    inventory::Offer,
    name,
    time::Time,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Bytes of HTTP and JSON-RPC around the content of one message.
const MESSAGE_OVERHEAD: usize = 300;
const TICK_MS: u64 = 100;

enum Event {
    Tick(usize),
    Request(usize, Envelope),
    Reply(usize, String, Message),
    Timeout(usize, String, u64),
}

struct Net {
    now: u64,
    order: u64,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: Vec<Option<(u64, Event)>>,
    open: Vec<u64>,
    rng: ChaCha8Rng,
    nodes: Vec<(Gossip, bool)>,
    loss: u32,
    split: Option<usize>,
    bytes: Vec<usize>,
}

fn address(at: usize) -> String {
    format!("10.0.0.{at}:1")
}

fn instance(at: usize) -> name::Instance {
    name::Instance::try_from(format!("entry-{at}")).unwrap()
}

fn upstream(at: usize, state: State) -> Announcement {
    Announcement {
        upstream: name::Upstream::try_from(format!("engine-{at}")).unwrap(),
        incarnation: 1,
        address: format!("http://10.1.0.{at}:8000"),
        domain: name::Domain::try_from("east").unwrap(),
        offer: Offer::Engine,
        service: None,
        versions: vec![name::Version::try_from("advisor-7b@3").unwrap()],
        warm: 64,
        cold: 8,
        fences: true,
        state,
        token: None,
    }
}

fn gossip(at: usize, boot: u64) -> Gossip {
    let member = Member {
        address: address(at),
        status: Status::Alive,
    };
    Gossip::new(instance(at), boot, member, vec![address(0), address(1)])
}

impl Net {
    fn new(seed: u64, size: usize, loss: u32) -> Self {
        let mut net = Self {
            now: 0,
            order: 0,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            open: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            nodes: (0..size).map(|at| (gossip(at, seed + 1), true)).collect(),
            loss,
            split: None,
            bytes: vec![0; size],
        };
        for at in 0..size {
            net.at(net.now + at as u64 % TICK_MS, 0, Event::Tick(at));
        }
        net
    }

    fn at(&mut self, time: u64, call: u64, event: Event) {
        self.order += 1;
        self.events.push(Some((call, event)));
        let entry = Reverse((time, self.order, self.events.len() - 1));
        self.queue.push(entry);
    }

    fn find(&self, address_of: &str) -> usize {
        (0..self.nodes.len())
            .find(|&at| address(at) == address_of)
            .unwrap()
    }

    fn passes(&mut self, from: usize, to: usize) -> bool {
        let cut = self.split.is_some_and(|at| (from < at) != (to < at));
        !cut && self.rng.random_range(0..100) >= self.loss
    }

    fn count(&mut self, at: usize, message: &Message) {
        self.bytes[at] += MESSAGE_OVERHEAD + serde_json::to_vec(message).unwrap().len();
    }

    fn flush(&mut self, from: usize) {
        for send in self.nodes[from].0.take_outbox() {
            let to = self.find(&send.to);
            self.order += 1;
            let call = self.order;
            self.open.push(call);
            let end = self.now + CALL_TIMEOUT.as_millis();
            self.at(end, call, Event::Timeout(from, send.to.clone(), call));
            self.count(from, &send.message);
            if self.passes(from, to) {
                let delay = self.rng.random_range(1..4);
                self.at(self.now + delay, call, Event::Request(from, send));
            }
        }
    }

    fn run(&mut self, until: u64) {
        while let Some(Reverse((time, _, at))) = self.queue.pop() {
            if time > until {
                self.queue.push(Reverse((time, 0, at)));
                break;
            }
            self.now = time;
            if let Some((call, event)) = self.events[at].take() {
                self.handle(call, event);
            }
        }
        self.now = until;
    }

    fn handle(&mut self, call: u64, event: Event) {
        let now = Time::from_millis(self.now);
        match event {
            Event::Tick(at) => {
                self.at(self.now + TICK_MS, 0, Event::Tick(at));
                if self.nodes[at].1 {
                    self.nodes[at].0.tick(now);
                    self.flush(at);
                }
            }
            Event::Request(from, send) => {
                let to = self.find(&send.to);
                if !self.nodes[to].1 {
                    return;
                }
                let answer = self.nodes[to].0.handle_message(send.message, now);
                self.flush(to);
                self.count(to, &answer);
                if self.passes(to, from) {
                    let delay = self.rng.random_range(1..4);
                    self.at(self.now + delay, call, Event::Reply(from, send.to, answer));
                }
            }
            Event::Reply(at, to, answer) => self.finish(call, at, &to, Some(answer)),
            Event::Timeout(at, to, call) => self.finish(call, at, &to, None),
        }
    }

    fn finish(&mut self, call: u64, at: usize, to: &str, answer: Option<Message>) {
        if let Some(open) = self.open.iter().position(|c| *c == call) {
            self.open.swap_remove(open);
            let now = Time::from_millis(self.now);
            self.nodes[at].0.handle_answer(to, answer, now);
            self.flush(at);
        }
    }

    fn put(&mut self, at: usize, upstream: Announcement) {
        let now = Time::from_millis(self.now);
        let key = Key::Upstream(upstream.upstream.clone());
        self.nodes[at].0.put(key, 1, Body::Upstream(upstream), now);
        self.flush(at);
    }

    fn views(&self) -> Vec<View> {
        let up = self.nodes.iter().filter(|(_, up)| *up);
        up.map(|(gossip, _)| View::from_store(gossip.store()))
            .collect()
    }
}

/// Guards against an instance that doesn't hear in time that an upstream
/// leaves, with one message in twenty lost.
#[test]
fn a_leaving_upstream_is_known_within_two_seconds() {
    for size in [3, 36] {
        for seed in 0..60 {
            let mut net = Net::new(seed, size, 5);
            for at in 0..24 {
                net.put(at % size, upstream(at, State::Ready));
            }
            net.run(10_000);
            for view in net.views() {
                assert_eq!(
                    (view.members.len(), view.upstreams.len()),
                    (size, 24),
                    "seed {seed}"
                );
            }
            net.put(1, upstream(7, State::Leaving));
            net.run(12_000);
            for view in net.views() {
                let left = view.upstreams.iter().filter(|u| u.state == State::Leaving);
                assert_eq!(left.count(), 1, "seed {seed}, {size} instances");
            }
        }
    }
}

/// Guards against control traffic that grows with the failure domain.
#[test]
fn traffic_is_within_the_budget() {
    let mut net = Net::new(1, 36, 0);
    for at in 0..96 {
        net.put(at % 36, upstream(at, State::Ready));
    }
    net.run(20_000);
    net.bytes.fill(0);
    // An upstream changes its state every ten seconds: 8,640 changes a day.
    for change in 0..12 {
        let state = [State::Cold, State::Ready][change / 6];
        net.put(change % 36, upstream(change % 6, state));
        net.run(20_000 + 10_000 * (change as u64 + 1));
    }
    let most = net.bytes.iter().max().unwrap() / 120;
    let mean = net.bytes.iter().sum::<usize>() / net.bytes.len() / 120;
    println!("36 instances: {mean} B/s sent on average, {most} B/s at most");
    // The rest of the budget of 3,000 B/s is for polls of the configuration.
    assert!(most < 2_000, "{most} B/s");
}

/// Guards against members that stay after a crash, and against sides of a
/// partition that don't find each other again or lose a restriction.
#[test]
fn crashes_and_partitions_are_repaired() {
    for seed in 0..20 {
        let mut net = Net::new(seed, 9, 2);
        net.run(5_000);
        net.nodes[4].1 = false;
        net.run(11_000);
        let views = net.views();
        assert!(views.iter().all(|v| v.members.len() == 8), "seed {seed}");
        net.nodes[4] = (gossip(4, 1_000 + seed), true);
        net.split = Some(3);
        net.run(25_000);
        let limit = config::Restriction::TakeOut(name::Domain::try_from("east").unwrap());
        let id = Key::Restriction(name::Restriction::try_from("r1").unwrap());
        let now = Time::from_millis(net.now);
        net.nodes[0]
            .0
            .put(id.clone(), 0, Body::Restriction(limit), now);
        net.run(30_000);
        let known = net
            .views()
            .iter()
            .filter(|v| !v.exclusions.domains.is_empty())
            .count();
        assert_eq!(known, 3, "seed {seed}");
        net.split = None;
        net.run(60_000);
        for view in net.views() {
            assert_eq!(
                (view.members.len(), view.exclusions.domains.len()),
                (9, 1),
                "seed {seed}"
            );
        }
        net.nodes
            .iter_mut()
            .for_each(|(g, _)| g.purge(std::slice::from_ref(&id)));
        net.run(65_000);
        assert!(net.views().iter().all(|v| v.exclusions.domains.is_empty()));
    }
}
