//! Tests of the rollout controller and its sequential tests.

use masticlock_core::{
    config::{Change, Config, Progress, Stage},
    evidence::{Arm, Event, Key, Pool, Role},
    inventory, name,
    request::Size,
    rollout::{
        Action, Controller, FALSE_ALARM_PROBABILITY, findings,
        sequential_test::{Sample, log_e_value},
        threshold,
    },
    settings,
    time::{Span, Time},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const INVENTORY: &str = r#"{
    "domains": [],
    "versions": [
        {"name": "m@1", "model": "m", "prompt_cost": 1, "answer_cost": 1, "prior_quality": 0.8,
         "prior_first_ms": 100, "prior_token_ms": 5, "stable": true},
        {"name": "m@2", "model": "m", "prompt_cost": 1, "answer_cost": 1, "prior_quality": 0.8,
         "prior_first_ms": 100, "prior_token_ms": 5},
        {"name": "n@1", "model": "n", "prompt_cost": 1, "answer_cost": 1, "prior_quality": 0.8,
         "prior_first_ms": 100, "prior_token_ms": 5, "stable": true}
    ],
    "upstreams": [],
    "accounts": []
}"#;

fn version(text: &str) -> name::Version {
    name::Version::try_from(text).unwrap()
}

fn config() -> Config {
    let raw: inventory::Raw = settings::parse("inventory.json", INVENTORY).unwrap();
    let stage = |share, exposure| Stage {
        share,
        exposure,
        at_least: Span::from_secs(30),
    };
    Config::default()
        .changed(&Change::Import(raw))
        .and_then(|c| {
            c.changed(&Change::StartRollout {
                version: version("m@2"),
                baseline: version("m@1"),
                stages: vec![stage(0.05, 280), stage(0.5, 2_000)],
            })
        })
        .unwrap()
}

/// Behaviour of a version: share of errors and crashes, time to the first token, share of good ratings.
#[derive(Clone, Copy)]
struct Behaviour {
    errors: f64,
    crashes: f64,
    first_ms: u64,
    good: f64,
}

const GOOD: Behaviour = Behaviour {
    errors: 0.01,
    crashes: 0.0,
    first_ms: 300,
    good: 0.85,
};

/// Virtual time, evidence and the controller; two trial requests and six control requests a second.
struct Bench {
    rng: ChaCha8Rng,
    config: Config,
    pool: Pool,
    controller: Controller,
    now: Time,
    rated: f64,
    last: Vec<Action>,
}

impl Bench {
    fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            config: config(),
            pool: Pool::new(name::Instance::try_from("i").unwrap(), 1, Time::ZERO),
            controller: Controller::new(),
            now: Time::ZERO,
            rated: 0.5,
            last: Vec::new(),
        }
    }

    fn run_one(&mut self, name: &str, arm: Arm, behaviour: Behaviour) {
        let key = Key {
            version: version(name),
            task: name::Task::try_from("t").unwrap(),
            size: Size::Small,
            role: Role::Alone,
            arm,
        };
        self.pool.record(&key, Event::Started);
        if self.rng.random_bool(behaviour.crashes) {
            return self.pool.record(&key, Event::Crashed);
        }
        if self.rng.random_bool(behaviour.errors) {
            return self.pool.record(&key, Event::Failed);
        }
        let first_ms = behaviour.first_ms * self.rng.random_range(70..=130) / 100;
        self.pool.record(
            &key,
            Event::Completed {
                first_ms,
                stream_ms: 1_000,
                tokens: 100,
            },
        );
        if self.rng.random_bool(self.rated) {
            let good = self.rng.random_bool(behaviour.good);
            self.pool
                .record(&key, Event::Rated(if good { 0.9 } else { 0.3 }));
        }
    }

    /// Runs one second, applies the changes that the controller asks for and returns whether it held.
    fn second(&mut self, candidate: Behaviour, baseline: Behaviour, other: Behaviour) {
        let rollout = self.config.rollouts[0].clone();
        let (new, old) = match rollout.progress {
            Progress::Running => (Arm::Candidate(rollout.since), Arm::Control(rollout.since)),
            Progress::Finished | Progress::RolledBack => (Arm::Plain, Arm::Plain),
        };
        for _ in 0..2 {
            if rollout.progress != Progress::RolledBack {
                self.run_one("m@2", new, candidate);
            }
        }
        for _ in 0..6 {
            self.run_one("m@1", old, baseline);
            self.run_one("n@1", Arm::Plain, other);
        }
        self.now += Span::from_secs(1);
        self.last = self.controller.step(&self.config, &self.pool, self.now);
        for action in &self.last {
            if let Action::Change(change) = action {
                self.config = self.config.changed(change).unwrap();
            }
        }
    }

    fn seconds(&mut self, count: usize, candidate: Behaviour, baseline: Behaviour) {
        for _ in 0..count {
            self.second(candidate, baseline, baseline);
        }
    }

    fn progress(&self) -> Progress {
        self.config.rollouts[0].progress
    }

    fn exposed(&self) -> u64 {
        self.pool.total(|k| k.version == version("m@2")).started
    }

    fn holds(&self, reason: &str) -> bool {
        let text = |a: &Action| matches!(a, Action::Hold { reason: r, .. } if r.contains(reason));
        self.last.iter().any(text)
    }
}

/// Guards against bad versions that are promoted, or stopped later than stated.
#[test]
fn bad_versions_are_stopped() {
    let cases = [
        (
            Behaviour {
                errors: 0.3,
                ..GOOD
            },
            50,
            "errors",
        ),
        (
            Behaviour {
                crashes: 0.2,
                ..GOOD
            },
            80,
            "e",
        ),
        (
            Behaviour {
                first_ms: 600,
                ..GOOD
            },
            50,
            "first tokens",
        ),
        // 0.33 of good ratings less is 20 points less in the mean.
        (Behaviour { good: 0.52, ..GOOD }, 300, "ratings"),
    ];
    for (behaviour, bound, reason) in cases {
        for seed in 0..10 {
            let mut bench = Bench::new(seed);
            while bench.progress() == Progress::Running && bench.exposed() <= bound {
                bench.seconds(1, behaviour, GOOD);
            }
            let rollout = &bench.config.rollouts[0];
            assert_eq!(
                rollout.progress,
                Progress::RolledBack,
                "{reason}, seed {seed}"
            );
            assert!(
                rollout.reason.as_ref().unwrap().contains(reason),
                "{rollout:?}"
            );
        }
    }
}

/// Guards against good versions that are stopped, or never promoted.
#[test]
fn good_versions_are_promoted() {
    let promoted = (0..40).filter(|seed| {
        let mut bench = Bench::new(1_000 + seed);
        for _ in 0..400 {
            if bench.progress() == Progress::Running {
                bench.seconds(1, GOOD, GOOD);
            }
        }
        assert_ne!(bench.progress(), Progress::RolledBack, "seed {seed}");
        bench.progress() == Progress::Finished
    });
    assert!(promoted.count() >= 39);
}

/// Guards against tests whose rate of false alarms is above the stated one however often one looks.
#[test]
fn false_alarms_keep_to_the_stated_rate() {
    const RUNS: u64 = 1_000;
    let limit = -(0.05_f64).ln();
    let mut alarms = 0;
    for seed in 0..RUNS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut new, mut old) = ([0_u64; 2], [0_u64; 2]);
        let mut alarm = false;
        for look in 0..60 {
            for _ in 0..5 {
                new[usize::from(rng.random_bool(0.1))] += 1;
                old[usize::from(rng.random_bool(0.1))] += 1;
                old[usize::from(rng.random_bool(0.1))] += u64::from(look % 2 == 0);
            }
            let sample = |s: [u64; 2]| Sample::binary(s[0] + s[1], s[1]);
            alarm |= log_e_value(&sample(new), &sample(old), 0.0) >= limit;
        }
        alarms += u64::from(alarm);
    }
    assert!(alarms <= RUNS / 20, "{alarms} of {RUNS}");
}

/// Guards against thresholds that add up to more than the stated rate over all stages.
#[test]
fn thresholds_share_the_stated_rate() {
    let spent: f64 = (0..16).map(|stage| (-threshold(stage, 1.0)).exp()).sum();
    assert!(spent <= FALSE_ALARM_PROBABILITY, "{spent}");
}

/// Guards against a good version that is rolled back, or moved on, because the
/// rating service fails or rates everything lower.
#[test]
fn faults_of_the_rating_service_hold_the_rollout() {
    for seed in 0..5 {
        let mut silent = Bench::new(seed);
        silent.seconds(20, GOOD, GOOD);
        silent.rated = 0.0;
        silent.seconds(100, GOOD, GOOD);
        assert!(silent.holds("no ratings"), "seed {seed}");
        assert_eq!(silent.config.rollouts[0].stage, 0);
        silent.rated = 0.5;
        silent.seconds(500, GOOD, GOOD);
        assert_eq!(silent.progress(), Progress::Finished, "seed {seed}");

        let strange = Behaviour { good: 0.2, ..GOOD };
        let mut lowered = Bench::new(seed);
        lowered.config.rollouts[0].stages[0].at_least = Span::from_secs(150);
        lowered.seconds(100, GOOD, GOOD);
        // The control arm had the same stage before; only work of the time before it counts as reference.
        let stage = lowered.config.rollouts[0].since;
        lowered.config.rollouts[0].since = stage + 100;
        lowered.seconds(100, strange, strange);
        assert!(
            lowered.holds("baseline moved"),
            "seed {seed}: {:?}",
            lowered.last
        );
        assert_eq!(lowered.progress(), Progress::Running, "seed {seed}");
    }
}

/// Guards against a new leader that forgets the evidence or decides otherwise.
#[test]
fn new_leader_continues_from_the_pool() {
    let bad = Behaviour { good: 0.52, ..GOOD };
    for seed in 0..5 {
        let mut steady = Bench::new(seed);
        let mut changing = Bench::new(seed);
        for _ in 0..150 {
            for bench in [&mut steady, &mut changing] {
                if bench.progress() == Progress::Running {
                    bench.seconds(1, bad, GOOD);
                }
            }
            changing.controller = Controller::new();
            let both = [&steady, &changing].map(|b| findings(&b.config.rollouts[0], &b.pool));
            assert_eq!(both[0], both[1]);
        }
        assert_eq!(steady.config, changing.config);
        assert_eq!(steady.progress(), Progress::RolledBack);
    }
}

/// Guards against a promoted version that turns bad and stays, and against a
/// good one that is blamed for a fault that all versions share.
#[test]
fn promoted_versions_are_watched() {
    let failing = Behaviour {
        errors: 0.3,
        ..GOOD
    };
    for seed in 0..5 {
        let mut bench = Bench::new(seed);
        bench.seconds(400, GOOD, GOOD);
        assert_eq!(bench.progress(), Progress::Finished, "seed {seed}");
        let mut shared = Bench::new(seed);
        shared.seconds(400, GOOD, GOOD);
        shared.seconds(60, failing, failing);
        assert_eq!(shared.progress(), Progress::Finished, "seed {seed}");
        bench.seconds(60, failing, GOOD);
        assert_eq!(bench.progress(), Progress::RolledBack, "seed {seed}");
    }
}

/// Guards against the withdrawal of a version that nothing can replace.
#[test]
fn sole_version_raises_an_alarm() {
    let failing = Behaviour {
        errors: 0.3,
        ..GOOD
    };
    let mut bench = Bench::new(1);
    bench.seconds(200, GOOD, GOOD);
    for _ in 0..60 {
        bench.second(GOOD, GOOD, failing);
    }
    let alarm = |a: &Action| matches!(a, Action::Alarm { version: v, .. } if *v == version("n@1"));
    assert!(bench.last.iter().any(alarm), "{:?}", bench.last);
    assert!(bench.config.withdrawn.is_empty());
}
