//! Tests of bills over crashes and late messages.

use std::{cmp::Reverse, collections::BinaryHeap};

use masticlock_core::{
    ledger::{Action, Bill, Key, Part, PendingBills, Witness},
    name,
    time::Time,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const INSTANCES: usize = 3;
const REQUESTS: u64 = 60;

fn instance(at: usize) -> name::Instance {
    name::Instance::try_from(format!("entry-{at}")).unwrap()
}

fn index(name: &name::Instance) -> usize {
    (0..INSTANCES).find(|at| instance(*at) == *name).unwrap()
}

fn bill(number: u64, tokens: u64) -> Bill {
    Bill {
        account: name::Account::try_from("a").unwrap(),
        request: name::Request::try_from(format!("r{number}")).unwrap(),
        parts: vec![Part {
            version: None,
            prompt_tokens: 10,
            answer_tokens: tokens,
            cost: 10 + tokens,
        }],
    }
}

#[derive(Clone)]
enum Event {
    Begin(u64),
    First(usize, u64, u64),
    Settle(usize, u64, u64),
    Tick(usize, u64),
    Act(usize, u64, Action),
    Opened(usize, u64, name::Instance, Vec<Bill>),
    Stored(usize, u64, String, Vec<Bill>),
    Closed(usize, u64, name::Instance, Vec<Key>),
    Crash(usize),
    Noticed(usize, usize, u64),
}

struct Node {
    boot: u64,
    /// Present processes as this instance has noticed them.
    seen: [u64; INSTANCES],
    book: PendingBills,
    witness: Witness,
}

struct World {
    now: u64,
    order: u64,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: Vec<Event>,
    rng: ChaCha8Rng,
    nodes: Vec<Node>,
    disks: Vec<Vec<Bill>>,
    answered: Vec<u64>,
    crashes: u32,
}

fn node(boot: u64) -> Node {
    let replicas = ["c0", "c1", "c2"].map(String::from).to_vec();
    Node {
        boot,
        seen: [1; INSTANCES],
        book: PendingBills::new(replicas),
        witness: Witness::default(),
    }
}

impl World {
    fn new(seed: u64) -> Self {
        let mut world = Self {
            now: 0,
            order: 0,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            nodes: (0..INSTANCES).map(|_| node(1)).collect(),
            disks: vec![Vec::new(); 3],
            answered: Vec::new(),
            crashes: 0,
        };
        for number in 0..REQUESTS {
            world.at(number * 100, Event::Begin(number));
        }
        (0..INSTANCES).for_each(|at| world.at(0, Event::Tick(at, 1)));
        // Crashes are apart, so that an instance and its witness don't both go.
        for crash in 0..2 {
            let at = world.rng.random_range(0..INSTANCES);
            let time = 1_000 + crash * 6_000 + world.rng.random_range(0..2_000);
            world.at(time, Event::Crash(at));
        }
        world
    }

    fn at(&mut self, delay: u64, event: Event) {
        self.order += 1;
        self.events.push(event);
        let entry = (self.now + delay, self.order, self.events.len() - 1);
        self.queue.push(Reverse(entry));
    }

    fn send(&mut self, event: &Event) {
        let copies = [0, 1, 1, 1, 1, 1, 1, 1, 1, 2][self.rng.random_range(0..10)];
        for _ in 0..copies {
            let late = self.rng.random_range(0..20) == 0;
            let delay = self.rng.random_range(1..if late { 5_000 } else { 20 });
            self.at(delay, event.clone());
        }
    }

    fn act(&mut self, at: usize, actions: Vec<Action>) {
        let boot = self.nodes[at].boot;
        for action in actions {
            self.send(&Event::Act(at, boot, action));
        }
    }

    fn run(&mut self) {
        while let Some(Reverse((time, _, at))) = self.queue.pop() {
            if time > 100_000 {
                break;
            }
            self.now = time;
            self.handle(self.events[at].clone());
        }
    }

    fn live(&self, at: usize, boot: u64) -> bool {
        self.nodes[at].boot == boot
    }

    fn handle(&mut self, event: Event) {
        let now = Time::from_millis(self.now);
        match event {
            Event::Begin(number) => {
                let at = self.rng.random_range(0..INSTANCES);
                let witness = instance((at + 1) % INSTANCES);
                let actions = self.nodes[at].book.open(bill(number, 0), Some(witness));
                self.act(at, actions);
                self.at(30, Event::First(at, self.nodes[at].boot, number));
            }
            // The first byte waits for the witness.
            Event::First(at, boot, number) if self.live(at, boot) => {
                if self.nodes[at].book.is_witnessed(&bill(number, 0).key()) {
                    self.answered.push(number);
                    let length = self.rng.random_range(1..1_500);
                    self.at(length, Event::Settle(at, boot, number));
                } else {
                    self.at(30, Event::First(at, boot, number));
                }
            }
            Event::Settle(at, boot, number) if self.live(at, boot) => {
                let actions = self.nodes[at].book.settle(bill(number, 50));
                self.act(at, actions);
            }
            Event::Tick(at, boot) if self.live(at, boot) => {
                self.at(100, Event::Tick(at, boot));
                let node = &mut self.nodes[at];
                let mut actions = node.book.tick(now);
                let seen = node.seen;
                for bill in node
                    .witness
                    .take_orphaned(|name| Some(seen[index(name)]), now)
                {
                    actions.extend(node.book.inherit(bill));
                }
                self.act(at, actions);
            }
            Event::Act(at, boot, action) => self.deliver(at, boot, action),
            Event::Opened(at, boot, witness, bills) if self.live(at, boot) => {
                self.nodes[at].book.acknowledge_open(&witness, &bills, now);
            }
            Event::Stored(at, boot, replica, bills) if self.live(at, boot) => {
                let actions = self.nodes[at].book.acknowledge_put(&replica, &bills);
                self.act(at, actions);
            }
            Event::Closed(at, boot, witness, keys) if self.live(at, boot) => {
                self.nodes[at].book.acknowledge_close(&witness, &keys);
            }
            Event::Crash(at) => self.crash(at),
            Event::Noticed(at, gone, boot) => {
                let next = instance((0..INSTANCES).find(|n| *n != at && *n != gone).unwrap());
                let node = &mut self.nodes[at];
                node.seen[gone] = boot;
                let actions = node.book.witness_lost(&instance(gone), Some(&next));
                self.act(at, actions);
            }
            _ => {}
        }
    }

    fn crash(&mut self, at: usize) {
        self.crashes += 1;
        let boot = self.nodes[at].boot + 1;
        let seen = std::array::from_fn(|other| self.nodes[other].boot);
        self.nodes[at] = node(boot);
        self.nodes[at].seen = seen;
        self.at(0, Event::Tick(at, boot));
        for other in (0..INSTANCES).filter(|other| *other != at) {
            let delay = self.rng.random_range(500..3_000);
            self.at(delay, Event::Noticed(other, at, boot));
        }
    }

    fn deliver(&mut self, from: usize, boot: u64, action: Action) {
        let now = Time::from_millis(self.now);
        match action {
            Action::Open { witness, bills } => {
                let node = &mut self.nodes[index(&witness)];
                node.witness.open(&instance(from), boot, bills.clone(), now);
                self.send(&Event::Opened(from, boot, witness, bills));
            }
            Action::Close { witness, keys } => {
                self.nodes[index(&witness)].witness.close(&keys, now);
                self.send(&Event::Closed(from, boot, witness, keys));
            }
            Action::Put { replica, bills } => {
                let disk = &mut self.disks[usize::from(replica.as_bytes()[1] - b'0')];
                for bill in &bills {
                    match disk.iter_mut().find(|b| b.key() == bill.key()) {
                        Some(old) if bill.supersedes(old) => *old = bill.clone(),
                        Some(_) => {}
                        None => disk.push(bill.clone()),
                    }
                }
                self.send(&Event::Stored(from, boot, replica, bills));
            }
        }
    }
}

/// Guards against requests without a bill or with two, after crashes of the
/// instance or its witness, lost, repeated and late messages.
#[test]
fn each_answered_request_is_billed_once() {
    let mut crashes = 0;
    for seed in 0..300 {
        let mut world = World::new(seed);
        world.run();
        crashes += world.crashes;
        for number in &world.answered {
            let key = bill(*number, 0).key();
            let of = |disk: &Vec<Bill>| disk.iter().filter(|b| b.key() == key).count();
            let counts: Vec<_> = world.disks.iter().map(of).collect();
            let kept = counts.iter().filter(|count| **count == 1).count();
            assert!(
                kept >= 2,
                "seed {seed}, request {number}: bills per disk {counts:?}"
            );
        }
        for node in &world.nodes {
            let totals = node.book.totals();
            assert_eq!(
                totals.admitted + totals.inherited,
                totals.settled + totals.open
            );
            assert_eq!(totals.open, 0, "seed {seed}");
            assert!(
                node.witness.is_empty(),
                "seed {seed}: {} records stay open",
                node.witness.len()
            );
        }
    }
    assert_eq!(crashes, 600);
}

/// Guards against a witness's partial bill that replaces the whole one.
#[test]
fn the_bill_with_more_usage_stays() {
    let (part, whole) = (bill(1, 0), bill(1, 50));
    assert!(whole.supersedes(&part));
    assert!(!part.supersedes(&whole));
    assert!(!whole.supersedes(&whole.clone()));
}
