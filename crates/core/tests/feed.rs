//! Tests of the configuration feed: polls, replies, leases and relays.

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

/// Number of simulations with random faults.
const SEEDS: u64 = 60;
const DOMAINS: [&str; 3] = ["d0", "d1", "d2"];
/// Number of entry instances in each failure domain.
const PER_DOMAIN: usize = 4;
/// Address of the control replica.
const CONTROL: &str = "control";
/// Step of the virtual clock in milliseconds.
const STEP: u64 = 10;
/// Start of the virtual clock in milliseconds.
const START: u64 = 1_000_000;

fn named<T>(text: &str) -> T
where
    T: for<'a> TryFrom<&'a str, Error = name::Error>,
{
    T::try_from(text).unwrap()
}

fn instance_info(index: usize, incarnation: u64) -> InstanceInfo {
    InstanceInfo {
        instance: named(&format!("entry-{index}")),
        domain: named(DOMAINS[index / PER_DOMAIN]),
        address: format!("entry-{index}"),
        incarnation,
    }
}

/// Returns a configuration with all failure domains, at revision 1.
fn base_config() -> Config {
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

/// Returns a change that takes out the first failure domain, or allows it again.
fn toggle_change(config: &Config) -> Change {
    let restriction = Restriction::TakeOut(named(DOMAINS[0]));
    if config.taken_out.is_empty() {
        Change::Restrict(restriction)
    } else {
        Change::Allow(restriction)
    }
}

/// Publishes the next change and returns the resulting revision.
fn publish_change(server: &mut Server) -> u64 {
    let config = Arc::clone(server.config());
    let change = toggle_change(&config);
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

/// Event of the simulation at a point of virtual time.
///
/// The first field of each variant is the index of an entry instance, the second one of poll events
/// the number of its poll.
enum Event {
    /// A poll arrives at its source.
    PollArrives(usize, u64, Outgoing, Source),
    /// The reply to a poll arrives, or its timeout passes.
    PollEnds(usize, u64, Outgoing, Source, Option<Reply>),
    /// An entry instance restarts without its state.
    Crash(usize),
}

/// A poll that waits at its source for a reply.
struct HeldPoll {
    /// Index of the polling instance.
    from: usize,
    number: u64,
    outgoing: Outgoing,
    source: Source,
    /// The poll as its source returned it for the reply.
    poll: Poll,
    arrived: Time,
}

struct Node {
    client: Client,
    incarnation: u64,
    /// Polls of downstream instances.
    held: Vec<HeldPoll>,
    /// Number of the open poll that the source may hold.
    open_poll: Option<u64>,
    /// Numbers of the open urgent polls.
    urgent_polls: Vec<u64>,
    /// Whether the node's polls can't reach control.
    is_partitioned: bool,
}

/// Simulation of a control replica and entry instances in virtual time, with lost and late
/// messages.
struct Simulation {
    random: ChaCha8Rng,
    now: Time,
    control: Server,
    is_control_up: bool,
    /// Polls that control holds.
    held: Vec<HeldPoll>,
    nodes: Vec<Node>,
    /// Times and ids of the scheduled events.
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    /// Scheduled events, sorted by id.
    events: Vec<(u64, Event)>,
    /// Id of the next event, also used to number polls.
    next_id: u64,
    /// Probability that a message is lost.
    loss: f64,
}

impl Simulation {
    fn new(seed: u64, loss: f64) -> Self {
        let now = Time::from_millis(START);
        let node = |index| Node {
            client: Client::new(instance_info(index, 1), vec![CONTROL.into()], now),
            incarnation: 1,
            held: Vec::new(),
            open_poll: None,
            urgent_polls: Vec::new(),
            is_partitioned: false,
        };
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            now,
            control: server(&base_config()),
            is_control_up: true,
            held: Vec::new(),
            nodes: (0..DOMAINS.len() * PER_DOMAIN).map(node).collect(),
            queue: BinaryHeap::new(),
            events: Vec::new(),
            next_id: 0,
            loss,
        }
    }

    /// Schedules an event after a delay in milliseconds.
    fn schedule(&mut self, delay: u64, event: Event) {
        let due = self.now + Span::from_millis(delay);
        self.queue.push(Reverse((due, self.next_id)));
        self.events.push((self.next_id, event));
        self.next_id += 1;
    }

    /// Returns a random network delay in milliseconds.
    fn random_delay(&mut self) -> u64 {
        self.random.random_range(1..4)
    }

    fn send_poll(&mut self, index: usize, urgent: bool) {
        let Some(source) = self.nodes[index].client.source(self.now) else {
            return;
        };
        let outgoing = self.nodes[index].client.next_poll(urgent, self.now);
        let number = self.next_id;
        if urgent {
            self.nodes[index].client.mark_urgent_sent();
            self.nodes[index].urgent_polls.push(number);
        } else {
            self.nodes[index].open_poll = Some(number);
        }
        let timeout_ms = outgoing.poll.hold.plus(feed::POLL_MARGIN).as_millis();
        let timeout = Event::PollEnds(index, number, outgoing.clone(), source.clone(), None);
        self.schedule(timeout_ms, timeout);
        let is_blocked = match &source {
            Source::Control(_) => self.nodes[index].is_partitioned,
            Source::Relay(_) => false,
        };
        if !is_blocked && !self.random.random_bool(self.loss) {
            let delay = self.random_delay();
            self.schedule(delay, Event::PollArrives(index, number, outgoing, source));
        }
    }

    /// Returns the index of the entry instance at a source; `None` for control.
    fn entry_index(source: &Source) -> Option<usize> {
        source
            .address()
            .strip_prefix("entry-")
            .map(|index| index.parse().unwrap())
    }

    fn receive_poll(&mut self, from: usize, number: u64, outgoing: Outgoing, source: Source) {
        let poll = outgoing.poll.clone();
        let mut held = HeldPoll {
            from,
            number,
            outgoing,
            source,
            poll,
            arrived: self.now,
        };
        match Self::entry_index(&held.source) {
            Some(index) => {
                held.poll = self.nodes[index].client.receive_poll(held.poll, self.now);
                self.nodes[index].held.push(held);
            }
            None if self.is_control_up => {
                held.poll = self.control.receive_poll(held.poll, self.now).0;
                self.held.push(held);
            }
            None => {}
        }
    }

    /// Replies to the held polls that are due.
    fn reply_to_held_polls(&mut self) {
        let now = self.now;
        let is_over = |held: &HeldPoll| now.since(held.arrived) >= held.poll.hold;
        let control = &self.control;
        let mut due: Vec<_> = Vec::new();
        if self.is_control_up {
            let is_due = |h: &mut HeldPoll| is_over(h) || control.has_updates(&h.poll);
            for held in self.held.extract_if(.., is_due) {
                let reply = control.reply(&held.poll, now, held.arrived, now);
                due.push((held, Some(reply)));
            }
        }
        for node in &mut self.nodes {
            let client = &node.client;
            let is_due = |h: &mut HeldPoll| {
                client.is_admitted(&h.poll) && (is_over(h) || client.has_updates(&h.poll))
            };
            for held in node.held.extract_if(.., is_due) {
                let reply = client.reply(&held.poll, held.arrived, now);
                due.push((held, reply));
            }
        }
        for (held, reply) in due {
            if reply.is_some() && self.random.random_bool(self.loss) {
                continue;
            }
            let delay = self.random_delay();
            let event = Event::PollEnds(held.from, held.number, held.outgoing, held.source, reply);
            self.schedule(delay, event);
        }
    }

    /// Ends a poll with its reply, or by its timeout if there is none.
    fn end_poll(
        &mut self,
        index: usize,
        number: u64,
        outgoing: &Outgoing,
        source: &Source,
        reply: Option<Reply>,
    ) {
        let (now, node) = (self.now, &mut self.nodes[index]);
        // A timeout after the reply is ignored. A relay's reply may come after the timeout.
        let urgent = node.urgent_polls.iter().position(|n| *n == number);
        let same_start = outgoing.poll.own.incarnation == node.incarnation;
        match (urgent, node.open_poll == Some(number)) {
            (Some(position), _) => drop(node.urgent_polls.remove(position)),
            (None, true) => node.open_poll = None,
            (None, false) if reply.is_some() && same_start => {}
            (None, false) => return,
        }
        let before = node.client.config().map_or(0, |c| c.revision);
        match reply.map(|reply| node.client.handle_reply(outgoing, reply, now)) {
            Some(Ok(_)) => node.client.pause_stale_relay(source, now),
            Some(Err(error)) => {
                assert!(
                    matches!(error, ReplyError::Stale(_) | ReplyError::Late(_)),
                    "{error}"
                );
                node.client.mark_failed(source, now);
            }
            None => node.client.mark_failed(source, now),
        }
        let after = node.client.config().map_or(0, |c| c.revision);
        assert!(
            after >= before,
            "entry-{index} moved from {before} to {after}"
        );
        assert_eq!(
            node.client.config().map_or(String::new(), |c| c.digest()),
            if after == 0 {
                String::new()
            } else {
                node.client.digest().to_owned()
            },
        );
    }

    /// Advances the virtual clock by a number of milliseconds.
    fn run(&mut self, millis: u64) {
        let end = self.now + Span::from_millis(millis);
        while self.now < end {
            while let Some(Reverse((due, id))) = self.queue.peek().copied() {
                if due > self.now {
                    break;
                }
                self.queue.pop();
                let position = self.events.binary_search_by_key(&id, |e| e.0).unwrap();
                match self.events.remove(position).1 {
                    Event::PollArrives(from, number, outgoing, source) => {
                        self.receive_poll(from, number, outgoing, source);
                    }
                    Event::PollEnds(index, number, outgoing, source, reply) => {
                        self.end_poll(index, number, &outgoing, &source, reply);
                    }
                    Event::Crash(index) => self.crash(index),
                }
            }
            self.reply_to_held_polls();
            for index in 0..self.nodes.len() {
                if self.nodes[index].open_poll.is_none() {
                    self.send_poll(index, false);
                } else if self.nodes[index].client.is_urgent() {
                    self.send_poll(index, true);
                }
            }
            self.now += Span::from_millis(STEP);
        }
    }

    /// Restarts an entry instance without its state.
    fn crash(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.incarnation += 1;
        let control = vec![CONTROL.into()];
        node.client = Client::new(instance_info(index, node.incarnation), control, self.now);
        node.held.clear();
        node.open_poll = None;
        node.urgent_polls.clear();
    }

    /// Returns all entry instances as members, sorted by instance.
    fn members(&self) -> Vec<Member> {
        let member = |index| Member {
            instance: instance_info(index, 1).instance,
            domain: instance_info(index, 1).domain,
            incarnation: 1,
        };
        let mut members: Vec<_> = (0..self.nodes.len()).map(member).collect();
        members.sort_by(|a, b| a.instance.cmp(&b.instance));
        members
    }

    /// Returns the instances that have not confirmed control's revision.
    fn pending(&self) -> Vec<feed::Pending> {
        let revision = self.control.config().revision;
        self.control.pending(revision, &self.members(), self.now)
    }

    /// Returns whether control may report its revision as in force.
    fn is_in_force(&self) -> bool {
        self.pending().iter().all(|p| p.lapsed)
    }

    /// Checks that every instance with a lease has the revision that control reports as in force.
    fn check_leases(&self, in_force: u64) {
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

/// Guards against an instance that goes back to a lower revision, or has a lease but not the
/// revision that is in force.
///
/// Messages are lost, instances are partitioned and crash, and control is down at times.
#[test]
fn random_faults_never_revert() {
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed, 0.05);
        let mut in_force = 0;
        for _ in 0..120 {
            match simulation.random.random_range(0..12) {
                0..4 => {
                    publish_change(&mut simulation.control);
                }
                4 => {
                    let index = simulation.random.random_range(0..simulation.nodes.len());
                    simulation.crash(index);
                }
                5 => {
                    let index = simulation.random.random_range(0..simulation.nodes.len());
                    let delay = simulation.random.random_range(0..200);
                    simulation.schedule(delay, Event::Crash(index));
                }
                6 | 7 => {
                    let index = simulation.random.random_range(0..simulation.nodes.len());
                    simulation.nodes[index].is_partitioned ^= true;
                }
                8 => simulation.is_control_up ^= true,
                _ => {}
            }
            let millis = simulation.random.random_range(10..1_500);
            simulation.run(millis);
            if simulation.is_in_force() {
                in_force = simulation.control.config().revision;
            }
            simulation.check_leases(in_force);
        }
        simulation.is_control_up = true;
        simulation.loss = 0.0;
        for node in &mut simulation.nodes {
            node.is_partitioned = false;
        }
        publish_change(&mut simulation.control);
        simulation.run(12_000);
        assert_eq!(
            simulation.pending(),
            [],
            "seed {seed}: not in force after all faults ended"
        );
    }
}

/// Guards against changes that reach instances only when held polls end, and against instances that
/// poll control instead of their relays.
#[test]
fn changes_are_distributed_at_once_through_relays() {
    let mut simulation = Simulation::new(1, 0.0);
    simulation.run(8_000);
    assert_eq!(simulation.pending(), []);
    let direct_polls = simulation.held.len();
    assert!(
        direct_polls <= DOMAINS.len() * feed::RELAYS_PER_DOMAIN,
        "{direct_polls} instances poll control"
    );
    for _ in 0..10 {
        publish_change(&mut simulation.control);
        simulation.run(150);
        assert_eq!(simulation.pending(), [], "not in force after 150 ms");
    }
    simulation.nodes[3].client.add_records([record("crash-1")]);
    simulation.run(300);
    for (index, node) in simulation.nodes.iter_mut().enumerate() {
        let records = node.client.take_new_records();
        assert_eq!(
            records.len(),
            usize::from(index != 3),
            "records at entry-{index}"
        );
        assert_eq!(node.client.take_new_records(), []);
    }
}

/// Guards against instances of a partitioned failure domain that keep their lease, count as having
/// confirmed a revision, or are missing from the pending instances.
#[test]
fn partitioned_instances_lapse_and_are_pending() {
    let mut simulation = Simulation::new(2, 0.0);
    simulation.run(8_000);
    for index in 0..PER_DOMAIN {
        simulation.nodes[index].is_partitioned = true;
    }
    simulation.run(200);
    publish_change(&mut simulation.control);
    simulation.run(3_000);
    let pending = simulation.pending();
    assert_eq!(pending.len(), PER_DOMAIN, "{pending:?}");
    assert!(!simulation.is_in_force());
    simulation.run(10_000);
    let has_lease = |w: &Simulation, index: usize| w.nodes[index].client.has_lease(w.now);
    for index in 0..simulation.nodes.len() {
        assert_eq!(
            has_lease(&simulation, index),
            index >= PER_DOMAIN,
            "entry-{index}"
        );
    }
    simulation.run(3_000);
    assert!(simulation.is_in_force(), "{:?}", simulation.pending());
    for index in 0..PER_DOMAIN {
        simulation.nodes[index].is_partitioned = false;
    }
    simulation.run(2_000);
    assert_eq!(simulation.pending(), []);
}

/// Guards against a restarted instance that accepts an outdated configuration from a relay, and
/// against a reply so late that control may no longer wait for the instance's confirmation.
#[test]
fn instances_without_configuration_reject_old_replies() {
    let now = Time::from_millis(START);
    let config = base_config();
    let timeout_ms = feed::HOLD.plus(feed::POLL_MARGIN).as_millis();
    let cases = [
        (0, 0, 0, true),
        (9_999, 0, 0, true),
        (10_000, 0, 0, false),
        (9_000, 0, 1_000, false),
        (9_999, 2_000, 2_000, true),
        (10_000, 2_000, 2_000, false),
        (START + 10, 0, 0, false),
        (0, timeout_ms, timeout_ms, true),
        (0, timeout_ms + 1, timeout_ms + 1, false),
    ];
    for (age, held, elapsed, is_accepted) in cases {
        let mut client = Client::new(instance_info(0, 2), vec![CONTROL.into()], now);
        let outgoing = client.next_poll(false, now);
        let mut reply = server(&config).reply(&outgoing.poll, now, now, now);
        reply.age = Span::from_millis(age);
        reply.held = Span::from_millis(held);
        let later = now + Span::from_millis(elapsed);
        let result = client.handle_reply(&outgoing, reply, later);
        assert_eq!(
            result.is_ok(),
            is_accepted,
            "{age} {held} {elapsed}: {result:?}"
        );
        assert_eq!(client.config().is_some(), is_accepted);
        assert_eq!(client.has_lease(later), is_accepted);
    }
}

/// Guards against accepting content that does not match its digest, or different content for a
/// revision that the instance already has.
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
    let second = base_config()
        .changed(&toggle_change(&base_config()))
        .unwrap();
    let other = base_config()
        .changed(&Change::Import(inventory::Raw::default()))
        .unwrap();
    let older = Config::default();
    let cases = [
        (
            "good delta",
            deltas(toggle_change(&base_config()), 2, second.digest()),
            Ok(2),
        ),
        (
            "other change",
            deltas(toggle_change(&second), 2, second.digest()),
            Err("digest"),
        ),
        (
            "gap",
            deltas(toggle_change(&base_config()), 3, second.digest()),
            Err("digest"),
        ),
        (
            "known delta",
            deltas(toggle_change(&base_config()), 1, base_config().digest()),
            Ok(1),
        ),
        ("good full", full(second.clone(), second.digest()), Ok(2)),
        (
            "wrong digest",
            full(second.clone(), base_config().digest()),
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
        let mut client = Client::new(instance_info(0, 1), vec![CONTROL.into()], now);
        let outgoing = client.next_poll(false, now);
        let mut reply = server(&base_config()).reply(&outgoing.poll, now, now, now);
        client.handle_reply(&outgoing, reply.clone(), now).unwrap();
        reply.update = update;
        let result = client.handle_reply(&outgoing, reply, now);
        let revision = client.config().unwrap().revision;
        match (result, expected) {
            (Ok(_), Ok(expected)) => assert_eq!(revision, expected, "{case}"),
            (Err(error), Err(text)) => {
                assert!(error.to_string().contains(text), "{case}: {error}");
                assert_eq!(revision, 1, "{case}");
            }
            (result, _) => panic!("{case}: {result:?}"),
        }
    }
}

/// Guards against deltas that don't apply to the polled state, and against a full configuration
/// where deltas are enough.
#[test]
fn replies_match_the_polled_state() {
    let now = Time::from_millis(START);
    let mut server = server(&base_config());
    let first = server.digest().to_owned();
    let history = feed::MAX_HISTORY as u64;
    for _ in 0..=history {
        publish_change(&mut server);
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
        let mut poll = Client::new(instance_info(0, 1), Vec::new(), now)
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
    publish_change(&mut server);
    publish_change(&mut server);
    assert_eq!(kind(&server, last, digest), "2 deltas");
    assert_eq!(kind(&server, last, first), "full");
}

/// Guards against a relay that grants a lease to an instance that control doesn't know yet, and
/// against a late poll of an earlier start that replaces the confirmation of the current start.
#[test]
fn relays_reply_only_to_admitted_instances() {
    let now = Time::from_millis(START);
    let mut control = server(&base_config());
    let mut relay = Client::new(instance_info(0, 1), vec![CONTROL.into()], now);
    let exchange = |relay: &mut Client, control: &mut Server| {
        let outgoing = relay.next_poll(true, now);
        let (poll, _) = control.receive_poll(outgoing.poll.clone(), now);
        let reply = control.reply(&poll, now, now, now);
        relay.handle_reply(&outgoing, reply, now).unwrap();
    };
    exchange(&mut relay, &mut control);
    for incarnation in [1, 2] {
        let mut poll = Client::new(instance_info(1, incarnation), Vec::new(), now)
            .next_poll(false, now)
            .poll;
        poll.own.revision = 2 - incarnation;
        let poll = relay.receive_poll(poll, now);
        assert!(!relay.is_admitted(&poll), "start {incarnation}");
        assert!(relay.is_urgent(), "start {incarnation}");
        exchange(&mut relay, &mut control);
        assert!(relay.is_admitted(&poll), "start {incarnation}");
    }
    let mut late = Client::new(instance_info(1, 1), Vec::new(), now)
        .next_poll(false, now)
        .poll;
    late.own.revision = 1;
    control.receive_poll(late, now + Span::from_millis(1));
    let members = [Member {
        instance: instance_info(1, 1).instance,
        domain: instance_info(1, 1).domain,
        incarnation: 2,
    }];
    let pending = control.pending(1, &members, now);
    assert_eq!(
        pending.len(),
        1,
        "the earlier start had revision 1, the later one has none"
    );
}
