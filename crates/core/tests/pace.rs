//! The pace of upstreams, and placement by it.
//!
//! Replays 80 entry instances that see four answers a second each from 90 engines, of which a third
//! takes 2.4 times as long as the rest. Each answer may fall into a stall.

use std::sync::Arc;

use masticlock_core::{
    digest::mix,
    fleet::{Announcement, Directory, Phase, Record},
    pace::{Exchange, Learner, Sample},
    placement::{Choice, Criteria, Demand, Outcome, Pool, Prompt},
    replicated::State,
    report::{Load, Totals},
    rollout::lateness::Measure,
    time::{Span, Time},
};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const START: Time = Time::from_millis(1_000_000);
const INTERVAL: Span = Span::from_millis(1_200);
const ENGINES: usize = 90;
const INSTANCES: usize = 80;
const CONTROL_INSTANCES: usize = 8;

fn id(engine: usize) -> Arc<str> {
    format!("u{engine:02}").into()
}

/// Microseconds between two events, which grow with the load. One answer in seven falls into a stall
/// that makes it 2.5 times as long.
fn time(factor: f64, load: u32, rng: &mut ChaCha8Rng) -> u64 {
    let spread = 0.85 + 0.3 * rng.random::<f64>();
    let stall = if rng.random::<f64>() < 0.15 { 2.5 } else { 1.0 };
    let micros = (30_000.0 + 700.0 * f64::from(load)) * factor * spread * stall;
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let micros = micros as u64;
    micros
}

struct Fleet {
    learners: Vec<Learner>,
    exchanges: Vec<Exchange>,
    rng: ChaCha8Rng,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        Self {
            learners: vec![Learner::default(); INSTANCES],
            exchanges: vec![Exchange::default(); CONTROL_INSTANCES],
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Plays a second with four answers an instance, and returns what each control instance sends.
    fn second(&mut self, now: Time, factors: &[f64], incarnation: u64) -> Vec<Vec<Sample>> {
        for (at, learner) in self.learners.iter_mut().enumerate() {
            for _ in 0..4 {
                let engine = self.rng.random_range(0..ENGINES);
                let load = self.rng.random_range(4..16);
                let micros = time(factors[engine], load, &mut self.rng);
                let measure = Measure::Pace("engines".into(), at % 2);
                learner.observe(&measure, load, micros, (&id(engine), incarnation), now);
            }
            let samples = learner.take(now).unwrap();
            self.exchanges[at % CONTROL_INSTANCES].report(&samples, now);
        }
        let direct: Vec<_> = self
            .exchanges
            .iter_mut()
            .map(|e| e.direct(service, now))
            .collect();
        for (to, exchange) in self.exchanges.iter_mut().enumerate() {
            for from in (0..CONTROL_INSTANCES).filter(|from| *from != to) {
                exchange.receive(&format!("c{from}"), direct[from].clone(), now);
            }
        }
        self.exchanges
            .iter_mut()
            .map(|e| e.totals(service, now))
            .collect()
    }
}

fn service(upstream: &str) -> Option<Arc<str>> {
    upstream.starts_with('u').then(|| "engines".into())
}

fn is_usual(factor: f64) -> bool {
    (factor - 1.0).abs() < 0.01
}

fn at(second: u64) -> Time {
    START + Span::from_millis(second * 1_000)
}

/// Every third engine takes this many times as long as the others.
fn mixed(factor: f64) -> Vec<f64> {
    let of = |engine: usize| {
        if engine.is_multiple_of(3) {
            factor
        } else {
            1.0
        }
    };
    (0..ENGINES).map(of).collect()
}

/// Guards against engines whose pace stays unknown because each instance sees few of their answers,
/// and against stalls that make an engine look slow.
#[test]
fn instances_learn_the_paces_together_within_seconds() {
    for (seed, factor) in [(1, 2.43), (2, 0.41), (3, 1.0)] {
        let factors = mixed(factor);
        let mut fleet = Fleet::new(seed);
        let (mut wrong, mut known, mut differing) = (0, 0, 0);
        for second in 0..30 {
            let lists = fleet.second(at(second), &factors, 1);
            for list in lists.iter().filter(|_| second >= 20) {
                differing += factors.iter().filter(|f| !is_usual(**f)).count();
                for sample in list {
                    let engine: usize = sample.upstream[1..].parse().unwrap();
                    let error = sample.factor() / factors[engine];
                    if !(0.75..1.33).contains(&error) {
                        wrong += 1;
                    } else if !is_usual(factors[engine]) {
                        known += 1;
                    }
                }
                let bytes = postcard::to_stdvec(list).unwrap().len();
                assert!(bytes < 600, "{bytes} bytes");
            }
        }
        println!("factor {factor}: {known} of {differing}, {wrong} wrong");
        assert!(
            known * 10 >= differing * 9,
            "{factor}: {known} of {differing}"
        );
        assert!(
            wrong * 50 <= 10 * CONTROL_INSTANCES * ENGINES,
            "{factor}: {wrong}"
        );
    }
}

/// An engine that restarts on a healthy machine, or recovers, counts as usual again.
#[test]
fn a_pace_is_forgotten_with_the_incarnation_and_with_time() {
    let slow = mixed(2.43);
    let mut fleet = Fleet::new(4);
    let mut count = 0;
    for second in 0..20 {
        count = fleet.second(at(second), &slow, 1)[0].len();
    }
    assert!(count >= 25, "{count}");
    let usual = mixed(1.0);
    for second in 20..50 {
        count = fleet.second(at(second), &usual, 1)[0].len();
    }
    assert!(count <= 3, "{count} after twice the time constant");
    for second in 50..70 {
        fleet.second(at(second), &slow, 1);
    }
    let lists = fleet.second(at(70), &usual, 2);
    let old = lists[0].iter().filter(|s| s.incarnation == 1).count();
    let new = lists[0].len() - old;
    assert!(new <= 3, "{new} of the later incarnation");
}

fn directory(engines: usize, slots: u32) -> Directory {
    let mut directory = Directory::default();
    for n in 0..engines {
        let announcement = Announcement {
            upstream: id(n),
            service: "engines".into(),
            address: format!("10.0.0.{n}:80").into(),
            domain: if n % 2 == 0 { "a" } else { "b" }.into(),
            version: "v1".into(),
            slots,
            phase: Phase::Ready,
            cold_left: Span::ZERO,
            incarnation: 1,
            sequence: 1,
        };
        let record = Record {
            announcement,
            age: Span::ZERO,
            silent: false,
            limit: None,
        };
        directory.merge(record, START);
    }
    directory
}

const CRITERIA: Criteria<'static> = Criteria {
    service: "engines",
    affinity: None,
    shared_tokens: 0,
    prompt: Prompt::EMPTY,
    draw: 0,
    tokens: 0,
    memory_tokens: 0,
    cold_rate: 0.0,
    excluded: &[],
    may_hand_over: false,
};

fn chosen(pool: &Pool, criteria: &Criteria<'_>) -> Option<Arc<str>> {
    match pool.choose(criteria, &State::default(), START) {
        Choice::Upstream(target) => Some(target.upstream),
        Choice::Full | Choice::Limited(_) | Choice::Backoff(_) | Choice::Unavailable => None,
    }
}

fn sample(engine: usize, factor: f64) -> Sample {
    #[expect(clippy::cast_possible_truncation)]
    let steps = (factor.log2() * 32.0).round() as i8;
    Sample {
        upstream: id(engine),
        incarnation: 1,
        steps,
        answers: 100,
    }
}

/// Returns the mean time of the requests, and the part of them that the slow engines served.
fn served(samples: &[Sample], factors: &[f64]) -> (f64, f64) {
    let mut pool = Pool::new("a".into(), 1, INTERVAL);
    pool.update(directory(12, 24).entries(), START);
    pool.update_paces(samples, START);
    let demand = Demand {
        tokens: 1_000,
        work: 4_000,
        prefill: 0,
    };
    let mut running: Vec<(u64, Arc<str>)> = Vec::new();
    let (mut total, mut slow) = (0.0, 0.0);
    for number in 0..4_000_u64 {
        // A request each 10 ms, of 600 ms at the usual pace and load.
        let now = number * 10;
        for (_, upstream) in running.extract_if(.., |r| r.0 <= now) {
            pool.end(&upstream, demand, Outcome::Good, START);
        }
        let affinity = Some(mix(number)).filter(|_| number % 2 == 0);
        let criteria = Criteria {
            affinity,
            ..CRITERIA
        };
        let Some(upstream) = chosen(&pool, &criteria) else {
            continue;
        };
        pool.begin(&upstream, demand, START);
        let engine: usize = upstream[1..].parse().unwrap();
        let load = f64::from(pool.running(&upstream));
        let millis = 500.0 * factors[engine] * (1.0 + load / 24.0);
        total += millis;
        slow += f64::from(u8::from(factors[engine] > 1.0));
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        running.push((now + millis as u64, upstream));
    }
    (total / 4_000.0, slow / 4_000.0)
}

/// Guards against slow engines that get as many requests as the others, so that they are the busiest
/// and all requests to them are late, and against slow engines that get none.
#[test]
fn a_slow_engine_gets_its_share() {
    let factors: Vec<f64> = mixed(2.43).into_iter().take(12).collect();
    let slow = (0..12).filter(|e| factors[*e] > 1.0);
    let samples: Vec<_> = slow.map(|e| sample(e, factors[e])).collect();
    let (mean, share) = served(&samples, &factors);
    let (former_mean, former_share) = served(&[], &factors);
    println!("{mean} ms, share {share}, formerly {former_mean} ms, {former_share}");
    assert!(mean < former_mean, "{mean} ms, formerly {former_mean} ms");
    assert!(share < former_share, "{share}, formerly {former_share}");
    assert!(share > 0.1, "{share}");
}

/// Guards against a weighing of held prompts against the wait that takes a slow engine's wait for that
/// of a usual one, and against one that leaves slow engines idle.
#[test]
fn prompts_leave_a_slow_engine_for_the_next_one() {
    let slow = |engine: &usize| engine.is_multiple_of(3);
    let sent = |samples: &[Sample], slow_running: u32| {
        let load = |engine| {
            let running = if slow(&engine) { slow_running } else { 10 };
            Load {
                upstream: id(engine),
                running,
                work: u64::from(running) * 4_000,
                ..Load::default()
            }
        };
        let totals = Totals {
            loads: (0..12).map(load).collect(),
            instances: 80,
            domain_instances: Vec::new(),
        };
        let mut pool = Pool::new("a".into(), 1, INTERVAL);
        pool.update(directory(12, 24).entries(), START);
        pool.update_totals(&totals, START);
        pool.update_paces(samples, START);
        let is_slow = |number: &u64| {
            let criteria = Criteria {
                affinity: Some(mix(*number)),
                prompt: Prompt {
                    model: 1,
                    parts: &[(mix(*number), 500), (number + 1, 100)],
                    prefill_weight: 1.0,
                    token_ms: 0.01,
                },
                tokens: 700,
                memory_tokens: 400_000,
                ..CRITERIA
            };
            let engine = chosen(&pool, &criteria).unwrap()[1..].parse().unwrap();
            slow(&engine)
        };
        (0..1_000).filter(is_slow).count()
    };
    let samples: Vec<_> = (0..12).filter(slow).map(|e| sample(e, 2.43)).collect();
    // At equal loads, and at loads in inverse proportion to the pace.
    let (alike, formerly) = (sent(&samples, 10), sent(&[], 10));
    let fair = sent(&samples, 4);
    println!("{alike} of 1000 prompts to slow engines, {fair}, formerly {formerly}");
    assert!(alike * 2 < formerly, "{alike}, formerly {formerly}");
    assert!(fair * 2 > formerly, "{fair}, formerly {formerly}");
}

/// The paces are relative to the median of the service, belong to an incarnation and end without
/// news.
#[test]
fn a_pace_is_that_of_the_incarnation_compared_with_its_service() {
    let mut pool = Pool::new("a".into(), 1, INTERVAL);
    pool.update(directory(3, 8).entries(), START);
    let mut other = sample(1, 2.0);
    other.incarnation = 0;
    pool.update_paces(&[sample(0, 2.0), other], START);
    let paces = |pool: &Pool| [0, 1, 2].map(|e| format!("{}", pool.pace(&id(e))));
    assert_eq!(paces(&pool), ["2", "1", "1"]);
    pool.update_paces(&[sample(0, 2.0), sample(1, 2.0)], START);
    assert_eq!(paces(&pool), ["1", "1", "0.5"]);
    assert_eq!(pool.pace_range(), (0.5, 1.0));
    pool.update_totals(&Totals::default(), START + Span::from_secs(10));
    assert_eq!(paces(&pool), ["1"; 3]);
}

proptest! {
    /// With equal paces each decision is the one without any.
    #[test]
    fn equal_paces_change_nothing(
        loads in proptest::collection::vec((0_u32..12, 0_u64..30_000), 1..12),
        factor in -2.0_f64..2.0,
        key in any::<u64>(),
        has_affinity in any::<bool>(),
        instances in 1_u64..200,
    ) {
        let load = |(at, (running, work)): (usize, &(u32, u64))| Load {
            upstream: id(at),
            running: *running,
            work: *work,
            ..Load::default()
        };
        let totals = Totals {
            loads: loads.iter().enumerate().map(load).collect(),
            instances,
            domain_instances: Vec::new(),
        };
        let mut pool = Pool::new("a".into(), 1, INTERVAL);
        pool.update(directory(loads.len(), 8).entries(), START);
        pool.update_totals(&totals, START);
        let criteria = Criteria {
            affinity: has_affinity.then_some(key),
            draw: u16::try_from(key % 1_000).unwrap(),
            ..CRITERIA
        };
        let before = chosen(&pool, &criteria);
        let samples: Vec<_> = (0..loads.len()).map(|e| sample(e, factor.exp2())).collect();
        pool.update_paces(&samples, START);
        prop_assert_eq!(chosen(&pool, &criteria), before);
    }
}
