//! Tests of bills under crashes and delayed, lost and repeated messages.

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

fn instance(index: usize) -> name::Instance {
    name::Instance::try_from(format!("entry-{index}")).unwrap()
}

fn index_of(name: &name::Instance) -> usize {
    (0..INSTANCES)
        .find(|index| instance(*index) == *name)
        .unwrap()
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

/// Event of the simulation. The first two numbers are the index and the boot number of the
/// instance, unless stated otherwise.
#[derive(Clone)]
enum Event {
    /// A request with this number arrives.
    Arrival(u64),
    /// The first byte of the answer to a request is ready.
    FirstByte(usize, u64, u64),
    /// A request with this number ends.
    Settle(usize, u64, u64),
    Tick(usize, u64),
    /// A message of the instance arrives.
    Deliver(usize, u64, Action),
    Opened(usize, u64, name::Instance, Vec<Bill>),
    Stored(usize, u64, String, Vec<Bill>),
    Closed(usize, u64, name::Instance, Vec<Key>),
    Crash(usize),
    /// The first instance detects that the second one has restarted with this boot number.
    CrashDetected(usize, usize, u64),
}

struct Instance {
    boot: u64,
    /// Boot numbers of all instances as known to this one.
    known_boots: [u64; INSTANCES],
    bills: PendingBills,
    witness: Witness,
}

/// Instances and control replicas on a network that delays, loses and repeats messages.
struct Simulation {
    /// Virtual time in milliseconds.
    now: u64,
    /// Number of scheduled events. It orders events of the same time.
    scheduled: u64,
    /// Time, sequence number and index in `events`, earliest first.
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: Vec<Event>,
    rng: ChaCha8Rng,
    instances: Vec<Instance>,
    /// Bills on the disk of each control replica.
    disks: Vec<Vec<Bill>>,
    /// Requests whose answer has begun.
    answered: Vec<u64>,
    crashes: u32,
}

fn started_instance(boot: u64) -> Instance {
    let replicas = ["c0", "c1", "c2"].map(String::from).to_vec();
    Instance {
        boot,
        known_boots: [1; INSTANCES],
        bills: PendingBills::new(replicas),
        witness: Witness::default(),
    }
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut simulation = Self {
            now: 0,
            scheduled: 0,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            instances: (0..INSTANCES).map(|_| started_instance(1)).collect(),
            disks: vec![Vec::new(); 3],
            answered: Vec::new(),
            crashes: 0,
        };
        for number in 0..REQUESTS {
            simulation.schedule(number * 100, Event::Arrival(number));
        }
        (0..INSTANCES).for_each(|index| simulation.schedule(0, Event::Tick(index, 1)));
        // Crashes are far apart, so that an instance and its witness are not lost together.
        for crash in 0..2 {
            let index = simulation.rng.random_range(0..INSTANCES);
            let time = 1_000 + crash * 6_000 + simulation.rng.random_range(0..2_000);
            simulation.schedule(time, Event::Crash(index));
        }
        simulation
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.scheduled += 1;
        self.events.push(event);
        let entry = (self.now + delay, self.scheduled, self.events.len() - 1);
        self.queue.push(Reverse(entry));
    }

    /// Schedules 0, 1 or 2 copies of a message. One of 20 is delayed by up to 5 s.
    fn send(&mut self, event: &Event) {
        let copies = [0, 1, 1, 1, 1, 1, 1, 1, 1, 2][self.rng.random_range(0..10)];
        for _ in 0..copies {
            let is_delayed = self.rng.random_range(0..20) == 0;
            let delay = self
                .rng
                .random_range(1..if is_delayed { 5_000 } else { 20 });
            self.schedule(delay, event.clone());
        }
    }

    fn send_actions(&mut self, index: usize, actions: Vec<Action>) {
        let boot = self.instances[index].boot;
        for action in actions {
            self.send(&Event::Deliver(index, boot, action));
        }
    }

    fn run(&mut self) {
        while let Some(Reverse((time, _, event))) = self.queue.pop() {
            if time > 100_000 {
                break;
            }
            self.now = time;
            self.handle(self.events[event].clone());
        }
    }

    /// Returns whether the process with this boot number still runs.
    fn is_running(&self, index: usize, boot: u64) -> bool {
        self.instances[index].boot == boot
    }

    fn handle(&mut self, event: Event) {
        let now = Time::from_millis(self.now);
        match event {
            Event::Arrival(number) => {
                let index = self.rng.random_range(0..INSTANCES);
                let witness = instance((index + 1) % INSTANCES);
                let actions = self.instances[index]
                    .bills
                    .open(bill(number, 0), Some(witness));
                self.send_actions(index, actions);
                self.schedule(
                    30,
                    Event::FirstByte(index, self.instances[index].boot, number),
                );
            }
            // The first byte is sent only after the witness has acknowledged the record.
            Event::FirstByte(index, boot, number) if self.is_running(index, boot) => {
                if self.instances[index]
                    .bills
                    .is_witnessed(&bill(number, 0).key())
                {
                    self.answered.push(number);
                    let length = self.rng.random_range(1..1_500);
                    self.schedule(length, Event::Settle(index, boot, number));
                } else {
                    self.schedule(30, Event::FirstByte(index, boot, number));
                }
            }
            Event::Settle(index, boot, number) if self.is_running(index, boot) => {
                let actions = self.instances[index].bills.settle(bill(number, 50));
                self.send_actions(index, actions);
            }
            Event::Tick(index, boot) if self.is_running(index, boot) => {
                self.schedule(100, Event::Tick(index, boot));
                let instance = &mut self.instances[index];
                let mut actions = instance.bills.tick(now);
                let known_boots = instance.known_boots;
                for bill in instance
                    .witness
                    .take_orphaned(|name| Some(known_boots[index_of(name)]), now)
                {
                    actions.extend(instance.bills.inherit(bill));
                }
                self.send_actions(index, actions);
            }
            Event::Deliver(index, boot, action) => self.deliver(index, boot, action),
            Event::Opened(index, boot, witness, bills) if self.is_running(index, boot) => {
                self.instances[index]
                    .bills
                    .acknowledge_open(&witness, &bills, now);
            }
            Event::Stored(index, boot, replica, bills) if self.is_running(index, boot) => {
                let actions = self.instances[index]
                    .bills
                    .acknowledge_put(&replica, &bills);
                self.send_actions(index, actions);
            }
            Event::Closed(index, boot, witness, keys) if self.is_running(index, boot) => {
                self.instances[index]
                    .bills
                    .acknowledge_close(&witness, &keys);
            }
            Event::Crash(index) => self.crash(index),
            Event::CrashDetected(index, crashed, boot) => {
                let next = instance(
                    (0..INSTANCES)
                        .find(|n| *n != index && *n != crashed)
                        .unwrap(),
                );
                let detecting = &mut self.instances[index];
                detecting.known_boots[crashed] = boot;
                let actions = detecting
                    .bills
                    .witness_lost(&instance(crashed), Some(&next));
                self.send_actions(index, actions);
            }
            _ => {}
        }
    }

    /// Restarts an instance without its bills and records. The others detect it 0.5 to 3 s later.
    fn crash(&mut self, index: usize) {
        self.crashes += 1;
        let boot = self.instances[index].boot + 1;
        let known_boots = std::array::from_fn(|other| self.instances[other].boot);
        self.instances[index] = started_instance(boot);
        self.instances[index].known_boots = known_boots;
        self.schedule(0, Event::Tick(index, boot));
        for other in (0..INSTANCES).filter(|other| *other != index) {
            let delay = self.rng.random_range(500..3_000);
            self.schedule(delay, Event::CrashDetected(other, index, boot));
        }
    }

    fn deliver(&mut self, from: usize, boot: u64, action: Action) {
        let now = Time::from_millis(self.now);
        match action {
            Action::Open { witness, bills } => {
                let receiver = &mut self.instances[index_of(&witness)];
                receiver
                    .witness
                    .open(&instance(from), boot, bills.clone(), now);
                self.send(&Event::Opened(from, boot, witness, bills));
            }
            Action::Close { witness, keys } => {
                self.instances[index_of(&witness)].witness.close(&keys, now);
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

/// Guards against answered requests with no bill or two bills, caused by crashes
/// of the instance or its witness and by lost, repeated and delayed messages.
#[test]
fn each_answered_request_is_billed_once() {
    let mut crashes = 0;
    for seed in 0..300 {
        let mut simulation = Simulation::new(seed);
        simulation.run();
        crashes += simulation.crashes;
        for number in &simulation.answered {
            let key = bill(*number, 0).key();
            let count = |disk: &Vec<Bill>| disk.iter().filter(|b| b.key() == key).count();
            let counts: Vec<_> = simulation.disks.iter().map(count).collect();
            let complete_disks = counts.iter().filter(|count| **count == 1).count();
            assert!(
                complete_disks >= 2,
                "seed {seed}, request {number}: bills per disk {counts:?}"
            );
        }
        for instance in &simulation.instances {
            let totals = instance.bills.totals();
            assert_eq!(
                totals.admitted + totals.inherited,
                totals.settled + totals.open
            );
            assert_eq!(totals.open, 0, "seed {seed}");
            assert!(
                instance.witness.is_empty(),
                "seed {seed}: {} records stay open",
                instance.witness.len()
            );
        }
    }
    assert_eq!(crashes, 600);
}

/// Guards against a partial bill of a witness that replaces the complete one.
#[test]
fn bill_with_more_usage_wins() {
    let (partial, complete) = (bill(1, 0), bill(1, 50));
    assert!(complete.supersedes(&partial));
    assert!(!partial.supersedes(&complete));
    assert!(!complete.supersedes(&complete.clone()));
}
