//! Tests of predictions.

use masticlock_core::{
    config::{Change, Config},
    estimate::{Estimates, Normal, Prediction},
    evidence::{Arm, EPOCH_LENGTH, Event, Key, Pool, RETAINED_EPOCHS, Role},
    inventory, name,
    request::Size,
    settings,
    time::Time,
};

const INVENTORY: &str = r#"{
    "domains": [],
    "versions": [
        {"name": "a@1", "model": "a", "prompt_cost": 100, "answer_cost": 300, "prior_quality": 0.8,
         "prior_first_ms": 100, "prior_token_ms": 5, "stable": true},
        {"name": "b@1", "model": "b", "prompt_cost": 100, "answer_cost": 300, "prior_quality": 0.6,
         "prior_first_ms": 100, "prior_token_ms": 5, "stable": true}
    ],
    "upstreams": [],
    "accounts": []
}"#;

const RULES: &str = r#"{
    "accounts": [],
    "tasks": [
        {"task": "t1", "quality": 0.8, "deadline_ms": 1000},
        {"task": "t2", "quality": 0.8, "deadline_ms": 1000}
    ]
}"#;

fn config() -> Config {
    let raw: inventory::Raw = settings::parse("inventory.json", INVENTORY).unwrap();
    let rules: inventory::RawRules = settings::parse("rules.json", RULES).unwrap();
    Config::default()
        .changed(&Change::Import(raw))
        .and_then(|c| c.changed(&Change::SetRules(rules)))
        .unwrap()
}

fn pool() -> Pool {
    Pool::new(name::Instance::try_from("i").unwrap(), 1, Time::ZERO)
}

fn key(version: &str, task: &str, size: Size, role: Role) -> Key {
    Key {
        version: name::Version::try_from(version).unwrap(),
        task: name::Task::try_from(task).unwrap(),
        size,
        role,
        arm: Arm::Plain,
    }
}

fn rate(pool: &mut Pool, key: &Key, rating: f64, count: usize) {
    for _ in 0..count {
        pool.record(key, Event::Rated(rating));
    }
}

fn predict(pool: &Pool, version: &str, task: &str, size: Size) -> Prediction {
    let estimates = Estimates::new(&config(), pool);
    let version = name::Version::try_from(version).unwrap();
    let task = estimates.task_index(&name::Task::try_from(task).unwrap());
    *estimates.prediction(estimates.version_index(&version).unwrap(), task, size)
}

fn approx_eq(a: Normal, b: Normal) -> bool {
    (a.mean - b.mean).abs() < 1e-9 && (a.variance - b.variance).abs() < 1e-9
}

/// Guards against predictions without evidence that differ from the stated prior.
#[test]
fn prior_is_predicted_without_evidence() {
    let config = config();
    for entry in &config.inventory.versions {
        let prior = Prediction::prior(entry);
        let predicted = predict(&pool(), entry.name.as_str(), "t1", Size::Small);
        assert!(
            approx_eq(predicted.alone_quality, prior.alone_quality),
            "{predicted:?} {prior:?}"
        );
        assert!(
            approx_eq(predicted.kept_quality, prior.kept_quality),
            "{predicted:?} {prior:?}"
        );
        assert!(
            approx_eq(predicted.second_step_quality, prior.second_step_quality),
            "{predicted:?} {prior:?}"
        );
        assert!((predicted.escalation_probability - prior.escalation_probability).abs() < 1e-9);
    }
}

/// Guards against ratings that affect other versions, don't affect other sizes and
/// tasks of the same version, or affect those as much as their own.
#[test]
fn evidence_is_partially_pooled() {
    let mut pool = pool();
    rate(
        &mut pool,
        &key("a@1", "t1", Size::Small, Role::Alone),
        0.5,
        100,
    );
    let mean = |version, task, size| predict(&pool, version, task, size).alone_quality.mean;
    let same_cell = mean("a@1", "t1", Size::Small);
    let other_size = mean("a@1", "t1", Size::Large);
    let other_task = mean("a@1", "t2", Size::Small);
    assert!(
        same_cell < 0.66 && same_cell < other_size && other_size < other_task && other_task < 0.8,
        "{same_cell} {other_size} {other_task}"
    );
    assert!((mean("b@1", "t1", Size::Small) - 0.6).abs() < 1e-9);
    let variance = |size| predict(&pool, "a@1", "t1", size).alone_quality.variance;
    assert!(variance(Size::Small) < variance(Size::Large));
}

/// Guards against evidence that never loses weight: without new ratings the
/// prediction must return to the prior and its variance must grow.
#[test]
fn predictions_decay_to_the_prior() {
    let mut pool = pool();
    rate(
        &mut pool,
        &key("a@1", "t1", Size::Small, Role::Alone),
        0.3,
        200,
    );
    let mut last = predict(&pool, "a@1", "t1", Size::Small).alone_quality;
    let mut now = Time::ZERO;
    for _ in 0..RETAINED_EPOCHS {
        now += EPOCH_LENGTH;
        pool.tick(now);
        let next = predict(&pool, "a@1", "t1", Size::Small).alone_quality;
        assert!(next.mean > last.mean && next.variance > last.variance);
        last = next;
    }
    assert!((last.mean - 0.8).abs() < 1e-9);
}

/// Guards against ratings of kept answers that change the quality of the version alone,
/// and against ratings of cascade steps that have no effect.
#[test]
fn cascade_steps_are_estimated_separately() {
    let mut pool = pool();
    let first = key("a@1", "t1", Size::Small, Role::First);
    let before = predict(&pool, "a@1", "t1", Size::Small);
    rate(&mut pool, &first, 0.6, 200);
    rate(
        &mut pool,
        &key("b@1", "t1", Size::Small, Role::Second),
        0.9,
        200,
    );
    for index in 0..200 {
        pool.record(&first, completed(100, 0, 1));
        if index % 10 == 0 {
            pool.record(&first, Event::Escalated);
        }
    }
    let after = predict(&pool, "a@1", "t1", Size::Small);
    assert!(approx_eq(after.alone_quality, before.alone_quality));
    assert!(
        after.kept_quality.mean < before.kept_quality.mean - 0.1,
        "{after:?}"
    );
    assert!(
        (0.1..0.15).contains(&after.escalation_probability),
        "{after:?}"
    );
    let related = predict(&pool, "a@1", "t2", Size::Small);
    assert!(
        related.kept_quality.mean < before.kept_quality.mean,
        "{related:?}"
    );
    assert!(
        predict(&pool, "b@1", "t1", Size::Small)
            .second_step_quality
            .mean
            > 0.75
    );
}

const fn completed(first_ms: u64, stream_ms: u64, tokens: u64) -> Event {
    Event::Completed {
        first_ms,
        stream_ms,
        tokens,
    }
}

/// Guards against predicted latencies that ignore measurements or their slow tail.
#[test]
fn latency_follows_measurements() {
    let mut pool = pool();
    let key = key("a@1", "t1", Size::Small, Role::Alone);
    for index in 0..1_000 {
        let first_ms = if index % 5 == 0 { 2_000 } else { 400 };
        pool.record(&key, completed(first_ms, 2_000, 101));
    }
    let predicted = predict(&pool, "a@1", "t1", Size::Small);
    assert!(
        (700.0..740.0).contains(&predicted.first_token_ms),
        "{predicted:?}"
    );
    assert!(
        (2_000.0..2_400.0).contains(&predicted.first_token_p90_ms),
        "{predicted:?}"
    );
    assert!(
        (19.5..20.0).contains(&predicted.inter_token_ms),
        "{predicted:?}"
    );
    let estimates = Estimates::new(&config(), &pool);
    assert!((estimates.answer_tokens(0, Size::Small, 400) - 101.0).abs() < 1e-9);
    assert!((estimates.answer_tokens(0, Size::Small, 50) - 50.0).abs() < 1e-9);
    assert!((estimates.answer_tokens(1, Size::Small, 400) - 200.0).abs() < 1e-9);
}

/// Guards against an inventory import that drops the predictions of retained versions.
#[test]
fn new_configuration_keeps_predictions() {
    let mut pool = pool();
    rate(
        &mut pool,
        &key("b@1", "t2", Size::Small, Role::Alone),
        0.9,
        100,
    );
    let mut config = config();
    let old = Estimates::new(&config, &pool);
    let mut added = config.inventory.versions[0].clone();
    added.name = name::Version::try_from("a@2").unwrap();
    config.inventory.versions.insert(1, added.clone());
    config.rules.tasks.remove(0);
    let new = old.reindexed(&config);
    let prediction = |e: &Estimates, version: &str| {
        let version = name::Version::try_from(version).unwrap();
        let task = e.task_index(&name::Task::try_from("t2").unwrap());
        *e.prediction(e.version_index(&version).unwrap(), task, Size::Small)
    };
    assert_eq!(prediction(&new, "b@1"), prediction(&old, "b@1"));
    assert_eq!(prediction(&new, "a@2"), Prediction::prior(&added));
}
