//! Tests of the replicated evidence counters.

use masticlock_core::{
    evidence::{
        Arm, Delta, EPOCH_LENGTH, Event, Key, Pool, RETAINED_EPOCHS, Role,
        counts::{FIRST_TOKEN_BUCKETS, bucket, bucket_bound},
    },
    name,
    request::Size,
    time::Time,
};
use proptest::prelude::*;

fn key(version: usize, arm: Arm) -> Key {
    Key {
        version: name::Version::try_from(format!("m@{version}")).unwrap(),
        task: name::Task::try_from("photo-tag").unwrap(),
        size: Size::Small,
        role: Role::Alone,
        arm,
    }
}

fn pool(origin: &str) -> Pool {
    let origin = name::Instance::try_from(origin).unwrap();
    Pool::new(origin, 1, Time::ZERO)
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        Just(Event::Started),
        Just(Event::Failed),
        Just(Event::Crashed),
        Just(Event::Escalated),
        (0.0..=1.0).prop_map(Event::Rated),
        (0_u64..90_000, 0_u64..90_000, 0_u64..2_000).prop_map(|(first_ms, stream_ms, tokens)| {
            Event::Completed {
                first_ms,
                stream_ms,
                tokens,
            }
        }),
    ]
}

/// Generates the deltas of one instance after each of its events, which may arrive anywhere in any order.
fn history(origin: &'static str) -> impl Strategy<Value = Vec<Delta>> {
    proptest::collection::vec((0_usize..3, 0_u64..3, event(), any::<bool>()), 1..20).prop_map(
        move |events| {
            let mut pool = pool(origin);
            let mut now = Time::ZERO;
            let mut deltas = Vec::new();
            for (version, since, event, next_epoch) in events {
                if next_epoch {
                    now += EPOCH_LENGTH;
                    pool.tick(now);
                }
                let sequence = pool.sequence();
                pool.record(&key(version, Arm::Candidate(since)), event);
                deltas.push(pool.delta_since(sequence));
            }
            deltas
        },
    )
}

fn all_records(pool: &Pool) -> Delta {
    pool.delta_since(0)
}

proptest! {
    /// Guards against events that are counted twice or lost when gossip repeats,
    /// reorders or relays records.
    #[test]
    fn merge_is_commutative_associative_and_idempotent(
        a in history("a"),
        b in history("b"),
        order in any::<u64>(),
    ) {
        let all: Vec<_> = a.iter().chain(&b).cloned().collect();
        let mut in_order = pool("x");
        for delta in &all {
            in_order.merge(delta, Time::ZERO);
        }
        let mut shuffled = pool("x");
        let mut relay = pool("y");
        let mut rng_state = order;
        for round in 0..2 * all.len() {
            rng_state = rng_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(round as u64 | 1);
            let index = usize::try_from(rng_state >> 33).unwrap() % all.len();
            relay.merge(&all[index], Time::ZERO);
            shuffled.merge(&all[index], Time::ZERO);
        }
        for delta in all.iter().rev() {
            relay.merge(delta, Time::ZERO);
        }
        shuffled.merge(&all_records(&relay), Time::ZERO);
        shuffled.merge(&all_records(&relay), Time::ZERO);
        prop_assert_eq!(all_records(&shuffled), all_records(&in_order));
        prop_assert_eq!(all_records(&relay), all_records(&in_order));
    }

    /// Guards against sums that differ from the number of recorded events.
    #[test]
    fn totals_match_the_events(events in proptest::collection::vec(event(), 0..50)) {
        let mut pool = pool("a");
        for event in &events {
            pool.record(&key(0, Arm::Plain), *event);
        }
        let total = pool.total(|_| true);
        let count = |f: fn(&Event) -> bool| events.iter().filter(|e| f(e)).count() as u64;
        prop_assert_eq!(total.started, count(|e| *e == Event::Started));
        prop_assert_eq!(total.errors, count(|e| matches!(e, Event::Failed | Event::Crashed)));
        prop_assert_eq!(total.ratings, count(|e| matches!(e, Event::Rated(_))));
        prop_assert_eq!(total.ratings, total.rating_levels.iter().sum::<u64>());
        prop_assert_eq!(total.completed, total.first_buckets.iter().sum::<u64>());
    }
}

/// Guards against a restart after which earlier counters are lost or counted twice.
#[test]
fn restart_begins_new_counters() {
    let origin = name::Instance::try_from("a").unwrap();
    let mut before = Pool::new(origin.clone(), 1, Time::ZERO);
    let mut after = Pool::new(origin, 2, Time::ZERO);
    for _ in 0..5 {
        before.record(&key(0, Arm::Plain), Event::Started);
    }
    after.record(&key(0, Arm::Plain), Event::Started);
    after.merge(&all_records(&before), Time::ZERO);
    after.merge(&all_records(&before), Time::ZERO);
    assert_eq!(after.total(|_| true).started, 6);
}

/// Guards against expired records that stay, or come back from a slow peer.
#[test]
fn old_epochs_are_dropped_and_stay_dropped() {
    let mut pool = pool("a");
    pool.record(&key(0, Arm::Plain), Event::Started);
    let expired = all_records(&pool);
    let mut now = Time::ZERO;
    for age in 1..=RETAINED_EPOCHS {
        now += EPOCH_LENGTH;
        pool.tick(now);
        let kept = pool.records().next().map(|(_, age)| age);
        assert_eq!(kept, (age < RETAINED_EPOCHS).then_some(age));
    }
    pool.merge(&expired, now);
    assert_eq!(pool.records().count(), 0);
}

/// Guards against deltas with unchanged records or without a changed one.
#[test]
fn delta_has_exactly_the_changes() {
    let mut pool = pool("a");
    pool.record(&key(0, Arm::Plain), Event::Started);
    let sequence = pool.sequence();
    assert!(pool.delta_since(sequence).records.is_empty());
    pool.record(&key(1, Arm::Plain), Event::Started);
    let delta = pool.delta_since(sequence);
    assert_eq!(delta.records.len(), 1);
    assert_eq!(delta.records[0].key, key(1, Arm::Plain));
    let sequence_before_merge = pool.sequence();
    pool.merge(&delta, Time::ZERO);
    assert_eq!(
        pool.sequence(),
        sequence_before_merge,
        "a repeat is no change"
    );
}

/// Guards against records too large for gossip: a busy cell must stay under 512 bytes.
#[test]
fn records_are_compact() {
    let mut pool = pool("entry-carnarvon-1");
    for index in 0..100_000_u64 {
        let event = match index % 10 {
            0..4 => Event::Started,
            4 => Event::Rated(0.1 * f64::from(u32::try_from(index % 11).unwrap())),
            _ => Event::Completed {
                first_ms: 200 + index % 800,
                stream_ms: 4_000,
                tokens: 300,
            },
        };
        pool.record(&key(0, Arm::Plain), event);
    }
    let delta = pool.delta_since(0);
    let bytes = serde_json::to_string(&delta.records[0]).unwrap().len();
    assert!(bytes < 512, "{bytes} bytes");
    let copy: Delta = serde_json::from_str(&serde_json::to_string(&delta).unwrap()).unwrap();
    assert_eq!(copy, delta);
}

/// Guards against ratings that are NaN or out of range and would corrupt the sums.
#[test]
fn invalid_ratings_are_clamped_or_ignored() {
    for (rating, ratings, sum) in [(f64::NAN, 0, 0), (7.0, 1, 1_000), (-1.0, 1, 0)] {
        let mut pool = pool("a");
        pool.record(&key(0, Arm::Plain), Event::Rated(rating));
        let total = pool.total(|_| true);
        assert_eq!((total.ratings, total.rating_sum), (ratings, sum));
    }
}

/// Guards against a time that lies outside its bucket's bounds.
#[test]
fn buckets_enclose_their_times() {
    for first_ms in [0, 1, 8, 9, 100, 1_000, 20_000, 27_000, 10_000_000] {
        let index = bucket(first_ms);
        let millis = f64::from(u32::try_from(first_ms).unwrap());
        assert!(index == FIRST_TOKEN_BUCKETS - 1 || millis <= bucket_bound(index) + 1e-9);
        assert!(index == 0 || millis > bucket_bound(index - 1) - 1e-9);
    }
}
