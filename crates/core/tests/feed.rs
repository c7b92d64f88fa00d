//! Tests of the distribution of the configuration.

use std::{cmp::Reverse, collections::BinaryHeap, sync::Arc};

use masticlock_core::{
    config::{Change, Config, Restriction},
    feed::{
        self, Client, InstanceInfo, Outgoing, Poll, Record, Reply, ReplyError, Server, Source,
        Update,
    },
    inventory,
    machine::Member,
    name,
    time::{Span, Time},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SEEDS: u64 = 60;
const DOMAINS: [&str; 3] = ["d0", "d1", "d2"];
const PER_DOMAIN: usize = 4;
const CONTROL: &str = "control";
/// Steps of virtual time in milliseconds.
const STEP: u64 = 10;
/// Start of the virtual clock.
const START: u64 = 1_000_000;

fn named<T>(text: &str) -> T
where
    T: for<'a> TryFrom<&'a str, Error = name::Error>,
{
    T::try_from(text).unwrap()
}

fn seat(at: usize, incarnation: u64) -> InstanceInfo {
    InstanceInfo {
        instance: named(&format!("entry-{at}")),
        domain: named(DOMAINS[at / PER_DOMAIN]),
        address: format!("entry-{at}"),
        incarnation,
    }
}

fn base() -> Config {
    let domains = DOMAINS.iter().map(|d| inventory::Domain {
        name: named(d),
        region: named("r"),
    });
    let raw = inventory::Raw {
        domains: domains.collect(),
        ..inventory::Raw::default()
    };
    Config::default().changed(&Change::Import(raw)).unwrap()
}

fn server(config: &Config) -> Server {
    let digest = config.digest();
    Server::new(
        1,
        Arc::new(config.clone()),
        digest,
        Time::from_millis(START),
    )
}

/// Takes out the first failure domain, or allows it again.
fn toggle(config: &Config) -> Change {
    let limit = Restriction::TakeOut(named(DOMAINS[0]));
    if config.taken_out.is_empty() {
        Change::Restrict(limit)
    } else {
        Change::Allow(limit)
    }
}

fn publish(server: &mut Server) -> u64 {
    let config = Arc::clone(server.config());
    let change = toggle(&config);
    let next = config.changed(&change).unwrap();
    let digest = next.digest();
    server.publish(&change, Arc::new(next), digest);
    server.config().revision
}

fn record(id: &str) -> Record {
    Record {
        id: id.into(),
        body: "evidence".into(),
    }
}

/// What happens at a point of virtual time.
enum Event {
    Arrive(usize, u64, Outgoing, Source),
    /// The end of the poll with this number, with its answer or by its time limit.
    Answered(usize, u64, Outgoing, Source, Option<Reply>),
    Crash(usize),
}

struct Held {
    from: usize,
    number: u64,
    outgoing: Outgoing,
    source: Source,
    poll: Poll,
    arrived: Time,
}

struct Node {
    client: Client,
    incarnation: u64,
    held: Vec<Held>,
    /// Numbers of the polls that are open: the held one and urgent ones.
    busy: Option<u64>,
    urgent: Vec<u64>,
    cut: bool,
}

/// Control and entry instances in virtual time with lost and late messages.
struct World {
    random: ChaCha8Rng,
    now: Time,
    control: Server,
    control_up: bool,
    held: Vec<Held>,
    nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: Vec<(u64, Event)>,
    next: u64,
    loss: f64,
}

impl World {
    fn new(seed: u64, loss: f64) -> Self {
        let now = Time::from_millis(START);
        let node = |at| Node {
            client: Client::new(seat(at, 1), vec![CONTROL.into()], now),
            incarnation: 1,
            held: Vec::new(),
            busy: None,
            urgent: Vec::new(),
            cut: false,
        };
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            now,
            control: server(&base()),
            control_up: true,
            held: Vec::new(),
            nodes: (0..DOMAINS.len() * PER_DOMAIN).map(node).collect(),
            queue: BinaryHeap::new(),
            events: Vec::new(),
            next: 0,
            loss,
        }
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        let at = self.now + Span::from_millis(delay);
        self.queue.push(Reverse((at, self.next)));
        self.events.push((self.next, event));
        self.next += 1;
    }

    fn delay(&mut self) -> u64 {
        self.random.random_range(1..4)
    }

    fn send(&mut self, at: usize, urgent: bool) {
        let Some(source) = self.nodes[at].client.source(self.now) else {
            return;
        };
        let outgoing = self.nodes[at].client.next_poll(urgent, self.now);
        let number = self.next;
        if urgent {
            self.nodes[at].client.mark_urgent_sent();
            self.nodes[at].urgent.push(number);
        } else {
            self.nodes[at].busy = Some(number);
        }
        let limit = outgoing.poll.hold.plus(feed::POLL_MARGIN).as_millis();
        let timeout = Event::Answered(at, number, outgoing.clone(), source.clone(), None);
        self.schedule(limit, timeout);
        let blocked = match &source {
            Source::Control(_) => self.nodes[at].cut,
            Source::Relay(_) => false,
        };
        if !blocked && !self.random.random_bool(self.loss) {
            let delay = self.delay();
            self.schedule(delay, Event::Arrive(at, number, outgoing, source));
        }
    }

    fn target(source: &Source) -> Option<usize> {
        source
            .address()
            .strip_prefix("entry-")
            .map(|at| at.parse().unwrap())
    }

    fn arrive(&mut self, from: usize, number: u64, outgoing: Outgoing, source: Source) {
        let poll = outgoing.poll.clone();
        let mut held = Held {
            from,
            number,
            outgoing,
            source,
            poll,
            arrived: self.now,
        };
        match Self::target(&held.source) {
            Some(at) => {
                held.poll = self.nodes[at].client.receive_poll(held.poll, self.now);
                self.nodes[at].held.push(held);
            }
            None if self.control_up => {
                held.poll = self.control.receive_poll(held.poll, self.now).0;
                self.held.push(held);
            }
            None => {}
        }
    }

    /// Answers the held polls that are due.
    fn wake(&mut self) {
        let now = self.now;
        let over = |held: &Held| now.since(held.arrived) >= held.poll.hold;
        let control = &self.control;
        let mut due: Vec<_> = Vec::new();
        if self.control_up {
            let ready = |h: &mut Held| over(h) || control.has_updates(&h.poll);
            for held in self.held.extract_if(.., ready) {
                let reply = control.reply(&held.poll, now, held.arrived, now);
                due.push((held, Some(reply)));
            }
        }
        for node in &mut self.nodes {
            let client = &node.client;
            let ready = |h: &mut Held| {
                client.is_admitted(&h.poll) && (over(h) || client.has_updates(&h.poll))
            };
            for held in node.held.extract_if(.., ready) {
                let reply = client.reply(&held.poll, held.arrived, now);
                due.push((held, reply));
            }
        }
        for (held, reply) in due {
            if reply.is_some() && self.random.random_bool(self.loss) {
                continue;
            }
            let delay = self.delay();
            let event = Event::Answered(held.from, held.number, held.outgoing, held.source, reply);
            self.schedule(delay, event);
        }
    }

    fn answered(
        &mut self,
        at: usize,
        number: u64,
        outgoing: &Outgoing,
        source: &Source,
        reply: Option<Reply>,
    ) {
        let (now, node) = (self.now, &mut self.nodes[at]);
        // A time limit after the answer says nothing. A relay may answer after the time limit.
        let urgent = node.urgent.iter().position(|n| *n == number);
        let same_start = outgoing.poll.own.incarnation == node.incarnation;
        match (urgent, node.busy == Some(number)) {
            (Some(place), _) => drop(node.urgent.remove(place)),
            (None, true) => node.busy = None,
            (None, false) if reply.is_some() && same_start => {}
            (None, false) => return,
        }
        let before = node.client.config().map_or(0, |c| c.revision);
        match reply.map(|reply| node.client.handle_reply(outgoing, reply, now)) {
            Some(Ok(_)) => node.client.pause_stale_relay(source, now),
            Some(Err(fault)) => {
                assert!(
                    matches!(fault, ReplyError::Stale(_) | ReplyError::Late(_)),
                    "{fault}"
                );
                node.client.mark_failed(source, now);
            }
            None => node.client.mark_failed(source, now),
        }
        let after = node.client.config().map_or(0, |c| c.revision);
        assert!(after >= before, "entry-{at} moved from {before} to {after}");
        assert_eq!(
            node.client.config().map_or(String::new(), |c| c.digest()),
            if after == 0 {
                String::new()
            } else {
                node.client.digest().to_owned()
            },
        );
    }

    fn run(&mut self, millis: u64) {
        let end = self.now + Span::from_millis(millis);
        while self.now < end {
            while let Some(Reverse((at, id))) = self.queue.peek().copied() {
                if at > self.now {
                    break;
                }
                self.queue.pop();
                let place = self.events.binary_search_by_key(&id, |e| e.0).unwrap();
                match self.events.remove(place).1 {
                    Event::Arrive(from, number, outgoing, source) => {
                        self.arrive(from, number, outgoing, source);
                    }
                    Event::Answered(at, number, outgoing, source, reply) => {
                        self.answered(at, number, &outgoing, &source, reply);
                    }
                    Event::Crash(at) => self.crash(at),
                }
            }
            self.wake();
            for at in 0..self.nodes.len() {
                if self.nodes[at].busy.is_none() {
                    self.send(at, false);
                } else if self.nodes[at].client.is_urgent() {
                    self.send(at, true);
                }
            }
            self.now += Span::from_millis(STEP);
        }
    }

    fn crash(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        node.incarnation += 1;
        let control = vec![CONTROL.into()];
        node.client = Client::new(seat(at, node.incarnation), control, self.now);
        node.held.clear();
        node.busy = None;
        node.urgent.clear();
    }

    fn members(&self) -> Vec<Member> {
        let member = |at| Member {
            instance: seat(at, 1).instance,
            domain: seat(at, 1).domain,
            incarnation: 1,
        };
        let mut members: Vec<_> = (0..self.nodes.len()).map(member).collect();
        members.sort_by(|a, b| a.instance.cmp(&b.instance));
        members
    }

    fn pending(&self) -> Vec<feed::Pending> {
        let revision = self.control.config().revision;
        self.control.pending(revision, &self.members(), self.now)
    }

    /// Whether control may call its revision in force.
    fn in_force(&self) -> bool {
        self.pending().iter().all(|p| p.lapsed)
    }

    /// Every instance with a lease must have what control calls in force.
    fn check(&self, in_force: u64) {
        for node in &self.nodes {
            if node.client.has_lease(self.now) {
                let revision = node.client.config().unwrap().revision;
                assert!(
                    revision >= in_force,
                    "an instance has {revision} and a lease, in force is {in_force}"
                );
            }
        }
    }
}

/// Guards against an instance that moves to a lower revision or serves with a
/// lease without what is in force, under lost messages, cuts, crashes and a
/// control replica that is away.
#[test]
fn random_faults_never_revert() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed, 0.05);
        let mut in_force = 0;
        for _ in 0..120 {
            match world.random.random_range(0..12) {
                0..4 => {
                    publish(&mut world.control);
                }
                4 => {
                    let at = world.random.random_range(0..world.nodes.len());
                    world.crash(at);
                }
                5 => {
                    let at = world.random.random_range(0..world.nodes.len());
                    let delay = world.random.random_range(0..200);
                    world.schedule(delay, Event::Crash(at));
                }
                6 | 7 => {
                    let at = world.random.random_range(0..world.nodes.len());
                    world.nodes[at].cut ^= true;
                }
                8 => world.control_up ^= true,
                _ => {}
            }
            let millis = world.random.random_range(10..1_500);
            world.run(millis);
            if world.in_force() {
                in_force = world.control.config().revision;
            }
            world.check(in_force);
        }
        world.control_up = true;
        world.loss = 0.0;
        for node in &mut world.nodes {
            node.cut = false;
        }
        publish(&mut world.control);
        world.run(12_000);
        assert_eq!(
            world.pending(),
            [],
            "seed {seed}: not in force after all faults ended"
        );
    }
}

/// Guards against distribution that waits for the end of held polls, and
/// against relays that are not used.
#[test]
fn changes_arrive_at_once_through_relays() {
    let mut world = World::new(1, 0.0);
    world.run(8_000);
    assert_eq!(world.pending(), []);
    let direct = world.held.len();
    assert!(
        direct <= DOMAINS.len() * feed::RELAYS_PER_DOMAIN,
        "{direct} instances poll control"
    );
    for _ in 0..10 {
        publish(&mut world.control);
        world.run(150);
        assert_eq!(world.pending(), [], "not in force after 150 ms");
    }
    world.nodes[3].client.add_records([record("crash-1")]);
    world.run(300);
    for (at, node) in world.nodes.iter_mut().enumerate() {
        let records = node.client.take_new_records();
        assert_eq!(records.len(), usize::from(at != 3), "records at entry-{at}");
        assert_eq!(node.client.take_new_records(), []);
    }
}

/// Guards against a failure domain that is cut off and still counts as
/// connected, and against one that counts as confirmed or is never listed.
#[test]
fn cut_off_instances_lapse_and_are_listed() {
    let mut world = World::new(2, 0.0);
    world.run(8_000);
    for at in 0..PER_DOMAIN {
        world.nodes[at].cut = true;
    }
    world.run(200);
    publish(&mut world.control);
    world.run(3_000);
    let pending = world.pending();
    assert_eq!(pending.len(), PER_DOMAIN, "{pending:?}");
    assert!(!world.in_force());
    world.run(10_000);
    let connected = |w: &World, at: usize| w.nodes[at].client.has_lease(w.now);
    for at in 0..world.nodes.len() {
        assert_eq!(connected(&world, at), at >= PER_DOMAIN, "entry-{at}");
    }
    world.run(3_000);
    assert!(world.in_force(), "{:?}", world.pending());
    for at in 0..PER_DOMAIN {
        world.nodes[at].cut = false;
    }
    world.run(2_000);
    assert_eq!(world.pending(), []);
}

/// Guards against a restarted instance that takes an old peer's configuration,
/// and against an answer so late that control counts the instance no more.
#[test]
fn an_empty_instance_refuses_an_old_answer() {
    let now = Time::from_millis(START);
    let config = base();
    let limit = feed::HOLD.plus(feed::POLL_MARGIN).as_millis();
    let cases = [
        (0, 0, 0, true),
        (9_999, 0, 0, true),
        (10_000, 0, 0, false),
        (9_000, 0, 1_000, false),
        (9_999, 2_000, 2_000, true),
        (10_000, 2_000, 2_000, false),
        (START + 10, 0, 0, false),
        (0, limit, limit, true),
        (0, limit + 1, limit + 1, false),
    ];
    for (age, held, took, accepted) in cases {
        let mut client = Client::new(seat(0, 2), vec![CONTROL.into()], now);
        let outgoing = client.next_poll(false, now);
        let mut reply = server(&config).reply(&outgoing.poll, now, now, now);
        reply.age = Span::from_millis(age);
        reply.held = Span::from_millis(held);
        let later = now + Span::from_millis(took);
        let result = client.handle_reply(&outgoing, reply, later);
        assert_eq!(result.is_ok(), accepted, "{age} {held} {took}: {result:?}");
        assert_eq!(client.config().is_some(), accepted);
        assert_eq!(client.has_lease(later), accepted);
    }
}

/// Guards against content that does not have its digest, and against a second
/// content for the same revision.
#[test]
fn digests_are_checked() {
    let now = Time::from_millis(START);
    let full = |config: Config, digest: String| Update::Full {
        config: Box::new(config),
        digest,
    };
    let deltas = |change: Change, revision, digest: String| {
        Update::Deltas(vec![feed::Delta {
            change,
            revision,
            digest,
        }])
    };
    let second = base().changed(&toggle(&base())).unwrap();
    let other = base()
        .changed(&Change::Import(inventory::Raw::default()))
        .unwrap();
    let older = Config::default();
    let cases = [
        (
            "good delta",
            deltas(toggle(&base()), 2, second.digest()),
            Ok(2),
        ),
        (
            "other change",
            deltas(toggle(&second), 2, second.digest()),
            Err("digest"),
        ),
        (
            "gap",
            deltas(toggle(&base()), 3, second.digest()),
            Err("digest"),
        ),
        (
            "known delta",
            deltas(toggle(&base()), 1, base().digest()),
            Ok(1),
        ),
        ("good full", full(second.clone(), second.digest()), Ok(2)),
        (
            "wrong digest",
            full(second.clone(), base().digest()),
            Err("digest"),
        ),
        ("older", full(older.clone(), older.digest()), Ok(1)),
        (
            "same revision",
            full(
                Config {
                    revision: 1,
                    ..other.clone()
                },
                Config {
                    revision: 1,
                    ..other
                }
                .digest(),
            ),
            Err("here"),
        ),
    ];
    for (case, update, expected) in cases {
        let mut client = Client::new(seat(0, 1), vec![CONTROL.into()], now);
        let outgoing = client.next_poll(false, now);
        let mut reply = server(&base()).reply(&outgoing.poll, now, now, now);
        client.handle_reply(&outgoing, reply.clone(), now).unwrap();
        reply.update = update;
        let result = client.handle_reply(&outgoing, reply, now);
        let revision = client.config().unwrap().revision;
        match (result, expected) {
            (Ok(_), Ok(expected)) => assert_eq!(revision, expected, "{case}"),
            (Err(fault), Err(text)) => {
                assert!(fault.to_string().contains(text), "{case}: {fault}");
                assert_eq!(revision, 1, "{case}");
            }
            (result, _) => panic!("{case}: {result:?}"),
        }
    }
}

/// Guards against deltas for a state that they were not made on, and against
/// a full state where deltas are enough.
#[test]
fn answers_fit_the_polled_state() {
    let now = Time::from_millis(START);
    let mut server = server(&base());
    let first = server.digest().to_owned();
    let kept = feed::MAX_HISTORY as u64;
    for _ in 0..=kept {
        publish(&mut server);
    }
    let last = server.config().revision;
    let cases = [
        (last, server.digest().to_owned(), "same"),
        (last + 5, "another".into(), "same"),
        (last, "another".into(), "full"),
        (1, first.clone(), "full"),
        (0, String::new(), "full"),
        (last, String::new(), "full"),
    ];
    let kind = |server: &Server, revision, digest: String| {
        let mut poll = Client::new(seat(0, 1), Vec::new(), now)
            .next_poll(false, now)
            .poll;
        (poll.own.revision, poll.digest) = (revision, digest);
        match server.reply(&poll, now, now, now).update {
            Update::Same => "same".to_owned(),
            Update::Full { .. } => "full".to_owned(),
            Update::Deltas(deltas) => format!("{} deltas", deltas.len()),
        }
    };
    for (revision, digest, expected) in cases {
        assert_eq!(
            kind(&server, revision, digest),
            expected,
            "revision {revision}"
        );
    }
    let digest = server.digest().to_owned();
    publish(&mut server);
    publish(&mut server);
    assert_eq!(kind(&server, last, digest), "2 deltas");
    assert_eq!(kind(&server, last, first), "full");
}

/// Guards against a relay that gives a lease to an instance which control
/// does not count yet, and against reports of an earlier start that hide a later one.
#[test]
fn relays_answer_only_counted_instances() {
    let now = Time::from_millis(START);
    let mut control = server(&base());
    let mut relay = Client::new(seat(0, 1), vec![CONTROL.into()], now);
    let exchange = |relay: &mut Client, control: &mut Server| {
        let outgoing = relay.next_poll(true, now);
        let (poll, _) = control.receive_poll(outgoing.poll.clone(), now);
        let reply = control.reply(&poll, now, now, now);
        relay.handle_reply(&outgoing, reply, now).unwrap();
    };
    exchange(&mut relay, &mut control);
    for incarnation in [1, 2] {
        let mut poll = Client::new(seat(1, incarnation), Vec::new(), now)
            .next_poll(false, now)
            .poll;
        poll.own.revision = 2 - incarnation;
        let poll = relay.receive_poll(poll, now);
        assert!(!relay.is_admitted(&poll), "start {incarnation}");
        assert!(relay.is_urgent(), "start {incarnation}");
        exchange(&mut relay, &mut control);
        assert!(relay.is_admitted(&poll), "start {incarnation}");
    }
    let mut late = Client::new(seat(1, 1), Vec::new(), now)
        .next_poll(false, now)
        .poll;
    late.own.revision = 1;
    control.receive_poll(late, now + Span::from_millis(1));
    let members = [Member {
        instance: seat(1, 1).instance,
        domain: seat(1, 1).domain,
        incarnation: 2,
    }];
    let pending = control.pending(1, &members, now);
    assert_eq!(
        pending.len(),
        1,
        "the earlier start had revision 1, the later one has none"
    );
}
