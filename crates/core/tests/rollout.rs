//! Tests of the rollout controller, its sequential tests and the regression detector.

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

/// Simulated behaviour of a version: shares of errors and crashes, mean time to the first token,
/// share of good ratings.
#[derive(Clone, Copy)]
struct Behaviour {
    errors: f64,
    crashes: f64,
    first_ms: u64,
    good_ratings: f64,
}

const BASELINE: Behaviour = Behaviour {
    errors: 0.01,
    crashes: 0.0,
    first_ms: 300,
    good_ratings: 0.85,
};

/// Rollout in virtual time, with two candidate requests and six control requests a second.
struct Simulation {
    rng: ChaCha8Rng,
    config: Config,
    pool: Pool,
    controller: Controller,
    now: Time,
    /// Share of completed requests that are rated.
    rated_share: f64,
    /// Actions of the last second.
    actions: Vec<Action>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            config: config(),
            pool: Pool::new(name::Instance::try_from("i").unwrap(), 1, Time::ZERO),
            controller: Controller::new(),
            now: Time::ZERO,
            rated_share: 0.5,
            actions: Vec::new(),
        }
    }

    fn run_request(&mut self, name: &str, arm: Arm, behaviour: Behaviour) {
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
        if self.rng.random_bool(self.rated_share) {
            let good = self.rng.random_bool(behaviour.good_ratings);
            self.pool
                .record(&key, Event::Rated(if good { 0.9 } else { 0.3 }));
        }
    }

    /// Runs one second and applies the changes that the controller returns.
    fn run_second(&mut self, candidate: Behaviour, baseline: Behaviour, other: Behaviour) {
        let rollout = self.config.rollouts[0].clone();
        let (candidate_arm, baseline_arm) = match rollout.progress {
            Progress::Running => (Arm::Candidate(rollout.since), Arm::Control(rollout.since)),
            Progress::Finished | Progress::RolledBack => (Arm::Plain, Arm::Plain),
        };
        for _ in 0..2 {
            if rollout.progress != Progress::RolledBack {
                self.run_request("m@2", candidate_arm, candidate);
            }
        }
        for _ in 0..6 {
            self.run_request("m@1", baseline_arm, baseline);
            self.run_request("n@1", Arm::Plain, other);
        }
        self.now += Span::from_secs(1);
        self.actions = self.controller.step(&self.config, &self.pool, self.now);
        for action in &self.actions {
            if let Action::Change(change) = action {
                self.config = self.config.changed(change).unwrap();
            }
        }
    }

    fn run_seconds(&mut self, count: usize, candidate: Behaviour, baseline: Behaviour) {
        for _ in 0..count {
            self.run_second(candidate, baseline, baseline);
        }
    }

    fn progress(&self) -> Progress {
        self.config.rollouts[0].progress
    }

    fn candidate_requests(&self) -> u64 {
        self.pool.total(|k| k.version == version("m@2")).started
    }

    fn is_held_for(&self, reason: &str) -> bool {
        let matches_reason =
            |a: &Action| matches!(a, Action::Hold { reason: r, .. } if r.contains(reason));
        self.actions.iter().any(matches_reason)
    }
}

/// Guards against regressed versions that are promoted, or stopped only after more requests than stated.
#[test]
fn worse_versions_are_stopped() {
    let cases = [
        (
            Behaviour {
                errors: 0.3,
                ..BASELINE
            },
            50,
            "errors",
        ),
        (
            Behaviour {
                crashes: 0.2,
                ..BASELINE
            },
            80,
            "e",
        ),
        (
            Behaviour {
                first_ms: 600,
                ..BASELINE
            },
            50,
            "first tokens",
        ),
        // A share of good ratings that is lower by 0.33 lowers the mean rating by 20 points.
        (
            Behaviour {
                good_ratings: 0.52,
                ..BASELINE
            },
            300,
            "ratings",
        ),
    ];
    for (behaviour, bound, reason) in cases {
        for seed in 0..10 {
            let mut simulation = Simulation::new(seed);
            while simulation.progress() == Progress::Running
                && simulation.candidate_requests() <= bound
            {
                simulation.run_seconds(1, behaviour, BASELINE);
            }
            let rollout = &simulation.config.rollouts[0];
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

/// Guards against versions that equal their baseline and are stopped or never promoted.
#[test]
fn equal_versions_are_promoted() {
    let promoted = (0..40).filter(|seed| {
        let mut simulation = Simulation::new(1_000 + seed);
        for _ in 0..400 {
            if simulation.progress() == Progress::Running {
                simulation.run_seconds(1, BASELINE, BASELINE);
            }
        }
        assert_ne!(simulation.progress(), Progress::RolledBack, "seed {seed}");
        simulation.progress() == Progress::Finished
    });
    assert!(promoted.count() >= 39);
}

/// Guards against a rate of false alarms above the stated one when the test is evaluated repeatedly.
#[test]
fn false_alarms_keep_to_the_stated_rate() {
    const RUNS: u64 = 1_000;
    let threshold = -(0.05_f64).ln();
    let mut alarms = 0;
    for seed in 0..RUNS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut candidate, mut control) = ([0_u64; 2], [0_u64; 2]);
        let mut has_alarm = false;
        for evaluation in 0..60 {
            for _ in 0..5 {
                candidate[usize::from(rng.random_bool(0.1))] += 1;
                control[usize::from(rng.random_bool(0.1))] += 1;
                control[usize::from(rng.random_bool(0.1))] += u64::from(evaluation % 2 == 0);
            }
            let sample = |counts: [u64; 2]| Sample::binary(counts[0] + counts[1], counts[1]);
            has_alarm |= log_e_value(&sample(candidate), &sample(control), 0.0) >= threshold;
        }
        alarms += u64::from(has_alarm);
    }
    assert!(alarms <= RUNS / 20, "{alarms} of {RUNS}");
}

/// Guards against thresholds whose false-alarm probabilities add up to more than the stated one over
/// all stages.
#[test]
fn thresholds_keep_the_stated_probability() {
    let probability: f64 = (0..16).map(|stage| (-threshold(stage, 1.0)).exp()).sum();
    assert!(probability <= FALSE_ALARM_PROBABILITY, "{probability}");
}

/// Guards against a rollback or an advance while the rating service fails or
/// lowers the ratings of all versions.
#[test]
fn faults_of_the_rating_service_hold_the_rollout() {
    for seed in 0..5 {
        let mut unrated = Simulation::new(seed);
        unrated.run_seconds(20, BASELINE, BASELINE);
        unrated.rated_share = 0.0;
        unrated.run_seconds(100, BASELINE, BASELINE);
        assert!(unrated.is_held_for("no ratings"), "seed {seed}");
        assert_eq!(unrated.config.rollouts[0].stage, 0);
        unrated.rated_share = 0.5;
        unrated.run_seconds(500, BASELINE, BASELINE);
        assert_eq!(unrated.progress(), Progress::Finished, "seed {seed}");

        let low = Behaviour {
            good_ratings: 0.2,
            ..BASELINE
        };
        let mut lowered = Simulation::new(seed);
        lowered.config.rollouts[0].stages[0].at_least = Span::from_secs(150);
        lowered.run_seconds(100, BASELINE, BASELINE);
        // With a new stage revision, the ratings so far are the reference for those that follow.
        let stage = lowered.config.rollouts[0].since;
        lowered.config.rollouts[0].since = stage + 100;
        lowered.run_seconds(100, low, low);
        assert!(
            lowered.is_held_for("baseline moved"),
            "seed {seed}: {:?}",
            lowered.actions
        );
        assert_eq!(lowered.progress(), Progress::Running, "seed {seed}");
    }
}

/// Guards against a change of the leader that loses evidence or changes the decision.
#[test]
fn new_leader_continues_from_the_pool() {
    let lower = Behaviour {
        good_ratings: 0.52,
        ..BASELINE
    };
    for seed in 0..5 {
        let mut one_leader = Simulation::new(seed);
        let mut many_leaders = Simulation::new(seed);
        for _ in 0..150 {
            for simulation in [&mut one_leader, &mut many_leaders] {
                if simulation.progress() == Progress::Running {
                    simulation.run_seconds(1, lower, BASELINE);
                }
            }
            many_leaders.controller = Controller::new();
            let both =
                [&one_leader, &many_leaders].map(|b| findings(&b.config.rollouts[0], &b.pool));
            assert_eq!(both[0], both[1]);
        }
        assert_eq!(one_leader.config, many_leaders.config);
        assert_eq!(one_leader.progress(), Progress::RolledBack);
    }
}

/// Guards against a promoted version that regresses and stays in use, and
/// against the rollback of a version for a fault that all versions show.
#[test]
fn regressed_versions_are_rolled_back() {
    let failing = Behaviour {
        errors: 0.3,
        ..BASELINE
    };
    for seed in 0..5 {
        let mut simulation = Simulation::new(seed);
        simulation.run_seconds(400, BASELINE, BASELINE);
        assert_eq!(simulation.progress(), Progress::Finished, "seed {seed}");
        let mut shared = Simulation::new(seed);
        shared.run_seconds(400, BASELINE, BASELINE);
        shared.run_seconds(60, failing, failing);
        assert_eq!(shared.progress(), Progress::Finished, "seed {seed}");
        simulation.run_seconds(60, failing, BASELINE);
        assert_eq!(simulation.progress(), Progress::RolledBack, "seed {seed}");
    }
}

/// Guards against the withdrawal of the only version of a model.
#[test]
fn only_version_raises_an_alarm() {
    let failing = Behaviour {
        errors: 0.3,
        ..BASELINE
    };
    let mut simulation = Simulation::new(1);
    simulation.run_seconds(200, BASELINE, BASELINE);
    for _ in 0..60 {
        simulation.run_second(BASELINE, BASELINE, failing);
    }
    let is_alarm =
        |a: &Action| matches!(a, Action::Alarm { version: v, .. } if *v == version("n@1"));
    assert!(
        simulation.actions.iter().any(is_alarm),
        "{:?}",
        simulation.actions
    );
    assert!(simulation.config.withdrawn.is_empty());
}
