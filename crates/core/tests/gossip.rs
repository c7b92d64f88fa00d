//! Tests of gossip and of the view derived from it, over a simulated network that loses
//! messages.

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

/// Size of the HTTP headers and JSON-RPC fields around one message, in bytes.
const MESSAGE_OVERHEAD: usize = 300;
const TICK_MS: u64 = 100;

/// An event of the simulation. The first field is the index of the node that ticks, sent the
/// call or waits for its answer.
enum Event {
    Tick(usize),
    Request(usize, Envelope),
    Reply(usize, String, Message),
    Timeout(usize, String, u64),
}

/// A simulated network of gossiping instances. Times are in milliseconds.
struct Network {
    now: u64,
    /// Orders events at the same time, and numbers the calls.
    sequence: u64,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    /// Each event with the number of its call, or 0 for a tick. The queue holds indices.
    events: Vec<Option<(u64, Event)>>,
    /// Numbers of the calls without an answer or timeout yet.
    open_calls: Vec<u64>,
    rng: ChaCha8Rng,
    /// Each instance and whether it is up.
    nodes: Vec<(Gossip, bool)>,
    loss_percent: u32,
    /// The first node on the second side of a network partition.
    partition: Option<usize>,
    /// Bytes that each node has sent.
    bytes: Vec<usize>,
}

fn address(node: usize) -> String {
    format!("10.0.0.{node}:1")
}

fn instance(node: usize) -> name::Instance {
    name::Instance::try_from(format!("entry-{node}")).unwrap()
}

fn upstream(number: usize, state: State) -> Announcement {
    Announcement {
        upstream: name::Upstream::try_from(format!("engine-{number}")).unwrap(),
        incarnation: 1,
        address: format!("http://10.1.0.{number}:8000"),
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

fn gossip(node: usize, incarnation: u64) -> Gossip {
    let member = Member {
        address: address(node),
        status: Status::Alive,
    };
    Gossip::new(
        instance(node),
        incarnation,
        member,
        vec![address(0), address(1)],
    )
}

impl Network {
    fn new(seed: u64, size: usize, loss_percent: u32) -> Self {
        let mut network = Self {
            now: 0,
            sequence: 0,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            open_calls: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            nodes: (0..size)
                .map(|node| (gossip(node, seed + 1), true))
                .collect(),
            loss_percent,
            partition: None,
            bytes: vec![0; size],
        };
        for node in 0..size {
            network.schedule(network.now + node as u64 % TICK_MS, 0, Event::Tick(node));
        }
        network
    }

    fn schedule(&mut self, time: u64, call: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Some((call, event)));
        let entry = Reverse((time, self.sequence, self.events.len() - 1));
        self.queue.push(entry);
    }

    fn node_at(&self, target: &str) -> usize {
        (0..self.nodes.len())
            .find(|&node| address(node) == target)
            .unwrap()
    }

    fn is_delivered(&mut self, from: usize, to: usize) -> bool {
        let is_cut = self
            .partition
            .is_some_and(|first| (from < first) != (to < first));
        !is_cut && self.rng.random_range(0..100) >= self.loss_percent
    }

    fn count_bytes(&mut self, node: usize, message: &Message) {
        self.bytes[node] += MESSAGE_OVERHEAD + serde_json::to_vec(message).unwrap().len();
    }

    fn send_outbox(&mut self, from: usize) {
        for envelope in self.nodes[from].0.take_outbox() {
            let to = self.node_at(&envelope.to);
            self.sequence += 1;
            let call = self.sequence;
            self.open_calls.push(call);
            let timeout = self.now + CALL_TIMEOUT.as_millis();
            self.schedule(
                timeout,
                call,
                Event::Timeout(from, envelope.to.clone(), call),
            );
            self.count_bytes(from, &envelope.message);
            if self.is_delivered(from, to) {
                let delay = self.rng.random_range(1..4);
                self.schedule(self.now + delay, call, Event::Request(from, envelope));
            }
        }
    }

    fn run(&mut self, until: u64) {
        while let Some(Reverse((time, _, index))) = self.queue.pop() {
            if time > until {
                self.queue.push(Reverse((time, 0, index)));
                break;
            }
            self.now = time;
            if let Some((call, event)) = self.events[index].take() {
                self.handle(call, event);
            }
        }
        self.now = until;
    }

    fn handle(&mut self, call: u64, event: Event) {
        let now = Time::from_millis(self.now);
        match event {
            Event::Tick(node) => {
                self.schedule(self.now + TICK_MS, 0, Event::Tick(node));
                if self.nodes[node].1 {
                    self.nodes[node].0.tick(now);
                    self.send_outbox(node);
                }
            }
            Event::Request(from, envelope) => {
                let to = self.node_at(&envelope.to);
                if !self.nodes[to].1 {
                    return;
                }
                let answer = self.nodes[to].0.handle_message(envelope.message, now);
                self.send_outbox(to);
                self.count_bytes(to, &answer);
                if self.is_delivered(to, from) {
                    let delay = self.rng.random_range(1..4);
                    self.schedule(
                        self.now + delay,
                        call,
                        Event::Reply(from, envelope.to, answer),
                    );
                }
            }
            Event::Reply(node, to, answer) => self.complete_call(call, node, &to, Some(answer)),
            Event::Timeout(node, to, call) => self.complete_call(call, node, &to, None),
        }
    }

    fn complete_call(&mut self, call: u64, node: usize, to: &str, answer: Option<Message>) {
        if let Some(index) = self.open_calls.iter().position(|c| *c == call) {
            self.open_calls.swap_remove(index);
            let now = Time::from_millis(self.now);
            self.nodes[node].0.handle_answer(to, answer, now);
            self.send_outbox(node);
        }
    }

    fn put(&mut self, node: usize, upstream: Announcement) {
        let now = Time::from_millis(self.now);
        let key = Key::Upstream(upstream.upstream.clone());
        self.nodes[node]
            .0
            .put(key, 1, Body::Upstream(upstream), now);
        self.send_outbox(node);
    }

    fn views(&self) -> Vec<View> {
        let up = self.nodes.iter().filter(|(_, up)| *up);
        up.map(|(gossip, _)| View::from_store(gossip.store()))
            .collect()
    }
}

/// Guards against an instance that learns too late that an upstream is leaving, with one
/// message in twenty lost.
#[test]
fn a_leaving_upstream_is_known_within_two_seconds() {
    for size in [3, 36] {
        for seed in 0..60 {
            let mut network = Network::new(seed, size, 5);
            for number in 0..24 {
                network.put(number % size, upstream(number, State::Ready));
            }
            network.run(10_000);
            for view in network.views() {
                assert_eq!(
                    (view.members.len(), view.upstreams.len()),
                    (size, 24),
                    "seed {seed}"
                );
            }
            network.put(1, upstream(7, State::Leaving));
            network.run(12_000);
            for view in network.views() {
                let leaving = view.upstreams.iter().filter(|u| u.state == State::Leaving);
                assert_eq!(leaving.count(), 1, "seed {seed}, {size} instances");
            }
        }
    }
}

/// Guards against control traffic that grows with the failure domain: gossip must stay within
/// its share of the budget with 36 instances and 96 upstreams.
#[test]
fn traffic_is_within_the_budget() {
    let mut network = Network::new(1, 36, 0);
    for number in 0..96 {
        network.put(number % 36, upstream(number, State::Ready));
    }
    network.run(20_000);
    network.bytes.fill(0);
    // An upstream changes its state every ten seconds: 8,640 changes a day.
    for change in 0..12 {
        let state = [State::Cold, State::Ready][change / 6];
        network.put(change % 36, upstream(change % 6, state));
        network.run(20_000 + 10_000 * (change as u64 + 1));
    }
    let most = network.bytes.iter().max().unwrap() / 120;
    let mean = network.bytes.iter().sum::<usize>() / network.bytes.len() / 120;
    println!("36 instances: {mean} B/s sent on average, {most} B/s at most");
    // The rest of the budget of 3,000 B/s is reserved for polls of the configuration.
    assert!(most < 2_000, "{most} B/s");
}

/// Guards against crashed members that are not removed, and against the two sides of a
/// network partition that don't merge again or lose a restriction when it heals.
#[test]
fn crashes_and_partitions_are_repaired() {
    for seed in 0..20 {
        let mut network = Network::new(seed, 9, 2);
        network.run(5_000);
        network.nodes[4].1 = false;
        network.run(11_000);
        let views = network.views();
        assert!(views.iter().all(|v| v.members.len() == 8), "seed {seed}");
        network.nodes[4] = (gossip(4, 1_000 + seed), true);
        network.partition = Some(3);
        network.run(25_000);
        let restriction = config::Restriction::TakeOut(name::Domain::try_from("east").unwrap());
        let key = Key::Restriction(name::Restriction::try_from("r1").unwrap());
        let now = Time::from_millis(network.now);
        network.nodes[0]
            .0
            .put(key.clone(), 0, Body::Restriction(restriction), now);
        network.run(30_000);
        let informed = network
            .views()
            .iter()
            .filter(|v| !v.exclusions.domains.is_empty())
            .count();
        assert_eq!(informed, 3, "seed {seed}");
        network.partition = None;
        network.run(60_000);
        for view in network.views() {
            assert_eq!(
                (view.members.len(), view.exclusions.domains.len()),
                (9, 1),
                "seed {seed}"
            );
        }
        network
            .nodes
            .iter_mut()
            .for_each(|(g, _)| g.purge(std::slice::from_ref(&key)));
        network.run(65_000);
        assert!(
            network
                .views()
                .iter()
                .all(|v| v.exclusions.domains.is_empty())
        );
    }
}
