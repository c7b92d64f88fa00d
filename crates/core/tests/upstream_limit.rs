//! Limits that upstreams state on the requests of all instances.

use std::sync::Arc;

use masticlock_core::{
    fleet::{Announcement, Directory, Limit, Phase, Record},
    limit::{Issuer, PERMIT_LIFETIME, Permit, Rate, Want},
    placement::{Choice, Criteria, Pool, Target},
    replicated::State,
    report::Totals,
    time::{Span, Time},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const START: Time = Time::from_millis(100_000);
const INTERVAL: Span = Span::from_millis(1_200);

/// Window in which requests are counted.
const WINDOW: Span = Span::from_secs(4);

/// Time after the first statement of a limit from which on it is enforced.
const CONTACT_TIME: Span = Span::from_secs(3);

/// Returns the number of requests that a window may hold: one and a half times what the limit
/// allows, and 5.
fn allowed(limit: Rate) -> u64 {
    limit.as_milli() * WINDOW.as_millis() * 3 / 2_000_000 + 5
}

/// Returns the largest number of requests within a window.
fn largest_window(arrivals: &[Time]) -> u64 {
    let window = |at: usize| {
        let within = arrivals[at..].iter();
        within
            .take_while(|a| a.since(arrivals[at]) < WINDOW)
            .count() as u64
    };
    (0..arrivals.len()).map(window).max().unwrap_or_default()
}

fn announcement(id: usize, incarnation: u64) -> Announcement {
    Announcement {
        upstream: format!("u{id}").into(),
        service: "s".into(),
        address: format!("10.0.0.{id}:1").into(),
        domain: "a".into(),
        version: "v1".into(),
        slots: 100_000,
        phase: Phase::Ready,
        cold_left: Span::ZERO,
        incarnation,
        sequence: 1,
    }
}

fn list(directory: &mut Directory, id: usize, incarnation: u64, now: Time) {
    let record = Record {
        announcement: announcement(id, incarnation),
        age: Span::ZERO,
        silent: false,
        limit: None,
    };
    directory.merge(record, now);
}

fn directory(upstreams: usize) -> Directory {
    let mut directory = Directory::default();
    for id in 0..upstreams {
        list(&mut directory, id, 1, START);
    }
    directory
}

fn totals(instances: u64) -> Totals {
    Totals {
        instances,
        ..Totals::default()
    }
}

fn pool(instance: u64, instances: u64, directory: &Directory) -> Pool {
    let mut pool = Pool::new("a".into(), instance, INTERVAL);
    pool.update(directory.entries(), START);
    pool.update_totals(&totals(instances), START);
    pool
}

fn criteria() -> Criteria<'static> {
    Criteria {
        service: "s",
        affinity: None,
        shared_tokens: 0,
        draw: 0,
        tokens: 0,
        memory_tokens: 0,
        cold_rate: 0.0,
        excluded: &[],
    }
}

fn target(id: usize, incarnation: u64) -> Target {
    Target {
        upstream: format!("u{id}").into(),
        address: format!("10.0.0.{id}:1").into(),
        domain: "a".into(),
        version: "v1".into(),
        incarnation,
    }
}

const fn rate(milli: u64) -> Rate {
    Rate::from_milli(milli)
}

fn want(count: u32) -> Want {
    Want {
        upstream: "u0".into(),
        incarnation: 1,
        count,
        demand: Rate::default(),
    }
}

fn permits(count: u32) -> Permit {
    Permit {
        upstream: "u0".into(),
        incarnation: 1,
        count,
        valid: PERMIT_LIFETIME,
        scarce: false,
    }
}

/// Tries to send a request and returns the upstream that gets it.
fn send(pool: &mut Pool, now: Time) -> Option<Arc<str>> {
    pool.want(&criteria(), &State::default(), now);
    send_again(pool, now)
}

/// Tries to send a request that has been counted as a want.
fn send_again(pool: &mut Pool, now: Time) -> Option<Arc<str>> {
    let state = State::default();
    let Choice::Upstream(target) = pool.choose(&criteria(), &state, now) else {
        return None;
    };
    pool.pass(&target, now).map(|_| target.upstream)
}

/// A disturbance of the simulated control instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    None,
    /// The leader ends, and another one leads after an election.
    Dies,
    /// The leader is suspended; after it, it answers the polls that it had received before.
    Freezes,
    /// The leader is cut off and replaced, and comes back.
    IsCutOff,
    /// The leadership moves at once, again and again.
    Changes,
    /// No control instance reaches a leader.
    AllCutOff,
    /// A third of the entry instances reaches no control instance.
    EntriesCutOff,
}

/// A control instance of the simulation.
struct Control {
    issuer: Issuer,
    /// Last answer of the leader.
    contact_at: Time,
    reachable: bool,
    /// A poll that was received before a suspension, and its answer.
    held: Option<(usize, Time, Vec<Permit>)>,
}

struct World {
    controls: Vec<Control>,
    leader: Option<usize>,
    term: u64,
    pools: Vec<Pool>,
    directory: Directory,
    cut_entries: usize,
}

impl World {
    fn new(instances: usize, controls: usize, limit: Rate) -> Self {
        let mut directory = directory(1);
        let stated = Limit {
            rate: Some(limit),
            stated_at: START,
        };
        directory.set_limit("u0", 1, stated);
        let control = || Control {
            issuer: Issuer::default(),
            contact_at: START,
            reachable: true,
            held: None,
        };
        let pools = (0..instances as u64).map(|i| pool(i * 7_919, instances as u64, &directory));
        Self {
            controls: (0..controls).map(|_| control()).collect(),
            leader: Some(0),
            term: 1,
            pools: pools.collect(),
            directory,
            cut_entries: 0,
        }
    }

    fn elect(&mut self, leader: Option<usize>, now: Time) {
        self.term += 1;
        self.leader = leader;
        for (at, control) in self.controls.iter_mut().enumerate() {
            let term = (Some(at) == leader).then_some(self.term);
            control.issuer.set_term(term, now);
        }
    }

    fn lend(&mut self, control: usize, holder: u64, wants: &[Want], now: Time) -> Vec<Permit> {
        let directory = &self.directory;
        let limit = |w: &Want| directory.get(&w.upstream)?.limit?.rate;
        self.controls[control]
            .issuer
            .lend(holder, wants, limit, now)
    }

    /// Lets a control instance poll the leader.
    fn poll_leader(&mut self, control: usize, now: Time) {
        let Some(leader) = self.leader else {
            return;
        };
        if leader == control {
            self.controls[control].contact_at = now;
            return;
        }
        if !self.controls[control].reachable || !self.controls[leader].reachable {
            return;
        }
        let wants = self.controls[control].issuer.wants(now);
        let permits = self.lend(leader, 1_000_000 + control as u64, &wants, now);
        let control = &mut self.controls[control];
        control.issuer.receive(&permits, now, now);
        control.contact_at = now;
    }

    /// Lets an entry instance poll the first control instance that it reaches.
    fn poll_control(&mut self, entry: usize, now: Time) {
        if entry < self.cut_entries {
            return;
        }
        let count = self.controls.len();
        let mut order = (0..count).map(|k| (entry + k) % count);
        let Some(control) = order.find(|c| self.controls[*c].reachable) else {
            return;
        };
        let wants = self.pools[entry].wants(now);
        let permits = self.lend(control, entry as u64, &wants, now);
        let has_contact = now.since(self.controls[control].contact_at) < Span::from_millis(700);
        let arrived: Vec<_> = permits.into_iter().map(|p| (p, now)).collect();
        self.pools[entry].grant(&arrived, has_contact.then_some(now), now);
    }

    /// Sends a request through an entry instance, which asks for a permit if it has none.
    fn request(&mut self, entry: usize, now: Time) -> Option<Arc<str>> {
        let sent = send(&mut self.pools[entry], now);
        if sent.is_some() {
            return sent;
        }
        self.poll_control(entry, now);
        send_again(&mut self.pools[entry], now)
    }

    /// Applies a disturbance `at` milliseconds after the start.
    fn disturb(&mut self, trouble: Trouble, at: u64, now: Time) {
        match (trouble, at % 10_000) {
            (Trouble::Dies, 5_000) => {
                let leader = self.leader.unwrap();
                self.controls[leader].reachable = false;
                self.controls[leader].issuer = Issuer::default();
                self.elect(None, now);
            }
            (Trouble::Freezes, 5_000) => {
                let leader = self.leader.unwrap();
                let answer = self.lend(leader, 3, &[want(1)], now);
                self.controls[leader].held = Some((3, now, answer));
                self.controls[leader].reachable = false;
                self.leader = None;
            }
            (Trouble::IsCutOff, 5_000) => {
                let leader = self.leader.unwrap();
                self.controls[leader].reachable = false;
                self.elect(None, now);
            }
            (Trouble::Dies | Trouble::Freezes | Trouble::IsCutOff, 5_600) => {
                let next = self.controls.iter().position(|c| c.reachable);
                self.elect(next, now);
            }
            (Trouble::Dies | Trouble::Freezes | Trouble::IsCutOff, 8_000) => {
                for control in 0..self.controls.len() {
                    self.controls[control].reachable = true;
                    if let Some((entry, sent, answer)) = self.controls[control].held.take() {
                        let late: Vec<_> = answer.into_iter().map(|p| (p, sent)).collect();
                        self.pools[entry].grant(&late, None, now);
                    }
                }
            }
            (Trouble::Changes, moment) if moment % 300 == 0 => {
                let next = self.leader.map(|l| (l + 1) % self.controls.len());
                self.elect(next, now);
            }
            (Trouble::AllCutOff, 4_000) => self.elect(None, now),
            (Trouble::AllCutOff, 9_000) => self.elect(Some(0), now),
            (Trouble::EntriesCutOff, 4_000) => self.cut_entries = self.pools.len() / 3,
            (Trouble::EntriesCutOff, 9_000) => self.cut_entries = 0,
            _ => {}
        }
    }

    /// Plays 40 s with `demand` requests per second, and returns when requests were sent.
    fn play(&mut self, trouble: Trouble, demand: u64, rng: &mut ChaCha8Rng) -> Vec<Time> {
        let mut sent = Vec::new();
        self.elect(Some(0), START);
        for at in (0..40_000).step_by(10) {
            let now = START + Span::from_millis(at);
            self.disturb(trouble, at, now);
            for control in 0..self.controls.len() {
                if (at + 30 * control as u64).is_multiple_of(150) {
                    self.poll_leader(control, now);
                }
            }
            for entry in 0..self.pools.len() {
                if (at + 10 * entry as u64).is_multiple_of(200) {
                    self.poll_control(entry, now);
                }
            }
            for _ in 0..demand {
                if rng.random_range(0..100) == 0 {
                    let entry = rng.random_range(0..self.pools.len());
                    sent.extend(self.request(entry, now).map(|_| now));
                }
            }
        }
        sent
    }
}

/// Guards against a limit that the instances exceed together, while the instance that hands out the
/// permits dies, is suspended, is cut off or is replaced, and against one that leaves its upstream
/// unused.
#[test]
fn all_instances_together_stay_within_a_limit() {
    let troubles = [
        Trouble::None,
        Trouble::Dies,
        Trouble::Freezes,
        Trouble::IsCutOff,
        Trouble::Changes,
        Trouble::AllCutOff,
        Trouble::EntriesCutOff,
    ];
    for (instances, controls) in [(9, 3), (320, 7)] {
        for milli in [1_000, 1_300, 20_000] {
            for trouble in troubles {
                let seed = instances as u64 + milli;
                let mut rng = ChaCha8Rng::seed_from_u64(seed);
                let limit = Rate::from_milli(milli);
                let mut world = World::new(instances, controls, limit);
                let sent = world.play(trouble, 60, &mut rng);
                let counted = sent.iter().filter(|t| t.since(START) >= CONTACT_TIME);
                let most = largest_window(&counted.copied().collect::<Vec<_>>());
                let case = format!("{instances} instances, {milli} milli, {trouble:?}");
                assert!(
                    most <= allowed(limit),
                    "{case}: {most} requests in a window"
                );
                let possible = 40 * milli / 1_000;
                let share = sent.len() as u64 * 100 / possible;
                if trouble == Trouble::None {
                    assert!(share >= 50, "{case}: {share}% of the limit is used");
                }
            }
        }
    }
}

/// Guards against instances without contact to control that use their parts at the same time, or
/// that use none.
#[test]
fn isolated_instances_stay_within_a_limit() {
    for (instances, milli) in [(9, 1_000), (320, 1_000), (320, 100_000)] {
        let limit = Rate::from_milli(milli);
        let mut world = World::new(instances, 1, limit);
        let mut sent = Vec::new();
        for at in (0..2_000_000).step_by(100) {
            let now = START + Span::from_millis(at);
            for pool in &mut world.pools {
                sent.extend(send(pool, now).map(|_| now));
            }
        }
        let most = largest_window(&sent);
        assert!(most <= allowed(limit), "{instances}, {milli}: {most}");
        let share = sent.len() as u64 * 100 * 1_000 / (2_000 * milli);
        assert!((5..=13).contains(&share), "{instances}, {milli}: {share}%");
    }
}

/// Guards against a limit that outlives a restart of its upstream, or that a late answer of the
/// earlier incarnation brings back.
#[test]
fn a_limit_belongs_to_one_incarnation() {
    let mut all = directory(1);
    let mut pool = pool(1, 9, &all);
    assert!(pool.set_limit(&target(0, 1), Some(rate(0)), START));
    assert_eq!(send(&mut pool, START), None);
    list(&mut all, 0, 2, START);
    pool.update(all.entries(), START);
    pool.set_limit(&target(0, 1), Some(rate(0)), START);
    assert_eq!(pool.limit(&target(0, 2)), None);
    assert!(send(&mut pool, START).is_some());
    let stated = Limit {
        rate: Some(rate(0)),
        stated_at: START,
    };
    assert!(
        !all.set_limit("u0", 1, stated),
        "the directory has a later incarnation"
    );
}

/// Guards against permits for a higher limit that are used after the limit has fallen.
#[test]
fn a_limit_that_falls_withdraws_permits() {
    let contact = Some(START);
    let mut pool = pool(1, 9, &directory(1));
    pool.set_limit(&target(0, 1), Some(rate(100_000)), START);
    pool.grant(&[(permits(50), START)], contact, START);
    assert!(send(&mut pool, START).is_some());
    pool.set_limit(&target(0, 1), Some(rate(1_000)), START);
    assert_eq!(send(&mut pool, START), None);
    pool.grant(&[(permits(1), START)], contact, START);
    assert!(send(&mut pool, START).is_some());
    assert_eq!(
        send(&mut pool, START),
        None,
        "one permit is for one request"
    );
    pool.set_limit(&target(0, 1), None, START);
    assert!(send(&mut pool, START).is_some(), "the limit has ended");
}

/// Guards against an upstream that accepts no requests and gets some, or never gets any again.
#[test]
fn an_upstream_that_accepts_no_requests_is_asked_for_its_limit() {
    let contact = Some(START);
    let mut pool = pool(1, 9, &directory(1));
    for (milli, accepts) in [(0, false), (40, false), (60, true)] {
        pool.set_limit(&target(0, 1), Some(rate(milli)), START);
        pool.grant(&[(permits(1), START)], contact, START);
        assert_eq!(
            pool.inquiries(START).len(),
            usize::from(!accepts),
            "{milli}"
        );
        assert_eq!(send(&mut pool, START).is_some(), accepts, "{milli}");
    }
    pool.set_limit(&target(0, 1), Some(rate(0)), START);
    pool.try_out(&target(0, 1), START);
    assert!(send(&mut pool, START).is_some(), "one request tries it out");
    assert_eq!(send(&mut pool, START), None);
}

/// Guards against a statement that is overridden by an earlier one of another instance, and against
/// one that other instances don't get.
#[test]
fn the_latest_statement_of_all_instances_counts() {
    let second = |n: u64| START + Span::from_secs(n);
    let stated = |milli: Option<u64>, at: u64| Limit {
        rate: milli.map(rate),
        stated_at: second(at),
    };
    let mut all = directory(1);
    let mut pool = pool(1, 9, &all);
    pool.set_limit(&target(0, 1), Some(rate(1_000)), second(5));
    assert_eq!(pool.limit_statements().len(), 1);
    assert!(all.set_limit("u0", 1, stated(Some(3_000), 4)));
    pool.update(all.entries(), second(6));
    assert_eq!(
        pool.limit(&target(0, 1)),
        Some(rate(1_000)),
        "an earlier one"
    );
    assert_eq!(
        pool.limit_statements().len(),
        1,
        "the directory has an earlier one"
    );
    assert!(all.set_limit("u0", 1, stated(Some(1_000), 5)));
    pool.update(all.entries(), second(6));
    assert!(pool.limit_statements().is_empty());
    let records = all.since(0, second(7));
    let mut other = directory(1);
    for record in records {
        other.merge(record, second(8));
    }
    assert_eq!(other.get("u0").unwrap().limit, Some(stated(Some(1_000), 6)));
    assert!(all.set_limit("u0", 1, stated(None, 6)));
    pool.update(all.entries(), second(7));
    assert_eq!(
        pool.limit(&target(0, 1)),
        None,
        "another instance got an answer without a limit"
    );
}

/// Guards against a request that is sent with a pass from before the limit, or with one that has
/// ended while its process was suspended, and against permits that are lost with unsent requests.
#[test]
fn a_pass_is_checked_when_its_request_is_sent() {
    let mut pool = pool(1, 9, &directory(1));
    let before = pool.pass(&target(0, 1), START).unwrap();
    assert!(pool.is_valid(&target(0, 1), before, START));
    pool.set_limit(&target(0, 1), Some(rate(1_000)), START);
    assert!(!pool.is_valid(&target(0, 1), before, START));
    pool.grant(&[(permits(1), START)], Some(START), START);
    let pass = pool.pass(&target(0, 1), START).unwrap();
    assert!(pool.is_valid(&target(0, 1), pass, START + Span::from_millis(300)));
    assert!(!pool.is_valid(&target(0, 1), pass, START + Span::from_millis(500)));
    pool.return_pass(&target(0, 1), pass, START);
    assert!(pool.pass(&target(0, 1), START).is_some());
    pool.return_pass(&target(0, 1), pass, START + PERMIT_LIFETIME);
    assert_eq!(pool.pass(&target(0, 1), START + PERMIT_LIFETIME), None);
}

/// Guards against requests that are refused although an upstream without a limit can take them.
#[test]
fn requests_go_to_upstreams_that_can_take_them() {
    let mut pool = pool(1, 9, &directory(3));
    pool.set_limit(&target(0, 1), Some(rate(1_000)), START);
    pool.set_limit(&target(1, 1), Some(rate(0)), START);
    for _ in 0..30 {
        assert_eq!(send(&mut pool, START).as_deref(), Some("u2"));
    }
    let mut wants = pool.wants(START);
    wants.sort_by(|a, b| a.upstream.cmp(&b.upstream));
    let wanted: Vec<_> = wants.iter().map(|w| &*w.upstream).collect();
    assert!(!wanted.contains(&"u2"), "{wanted:?}");
}

/// Guards against refused callers who all come back for the same permit.
#[test]
fn each_refused_caller_gets_a_turn_of_its_own() {
    let mut pool = pool(1, 10, &directory(1));
    pool.set_limit(&target(0, 1), Some(rate(5_000)), START);
    let Choice::Limited(shortage) = pool.choose(&criteria(), &State::default(), START) else {
        panic!("there is no permit");
    };
    let mut turn = |now| pool.next_turn(&"s".into(), shortage, now);
    assert_eq!(turn(START), Span::from_secs(2));
    assert_eq!(turn(START), Span::from_secs(4));
    assert_eq!(turn(START + Span::from_secs(3)), Span::from_secs(3));
    assert_eq!(turn(START + Span::from_secs(60)), Span::from_secs(2));
}

/// Guards against a new leader that hands out what its predecessor may have handed out, and against
/// an issuer that serves one borrower and forgets another.
#[test]
fn permits_are_divided_fairly_and_a_new_leader_starts_without_any() {
    let limit = |_: &Want| Some(rate(8_000));
    let mut issuer = Issuer::default();
    issuer.set_term(Some(1), START);
    let mut given = [0; 3];
    for at in (0..10_000).step_by(150) {
        let now = START + Span::from_millis(at);
        for (holder, given) in given.iter_mut().enumerate() {
            let count = [9, 3, 3][holder];
            let permits = issuer.lend(holder as u64, &[want(count)], limit, now);
            *given += permits[0].count;
            assert!(at == 0 || permits[0].scarce);
        }
    }
    let all: u32 = given.iter().sum();
    assert!((65..=72).contains(&all), "{given:?}: 7 of the 8 a second");
    assert!(
        given[1] >= 10 && given[2] >= 10 && given[0] > given[1],
        "{given:?}"
    );
    let later = START + Span::from_secs(60);
    issuer.set_term(None, later);
    assert_eq!(issuer.lend(0, &[want(1)], limit, later)[0].count, 0);
    issuer.set_term(Some(3), later);
    assert_eq!(issuer.lend(0, &[want(1)], limit, later)[0].count, 0);
}
