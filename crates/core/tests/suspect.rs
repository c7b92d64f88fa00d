//! Tests of suspect requests and crash evidence.

use masticlock_core::{
    name,
    request::Fingerprint,
    suspect::{Evidence, EvidenceSet, Id, Message, Standing, Status, Subject, Tracker},
    time::Time,
};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn fingerprint(number: u8) -> Fingerprint {
    Fingerprint::of(&name::Account::try_from("a").unwrap(), &[number])
}

fn upstream(number: usize) -> name::Upstream {
    name::Upstream::try_from(format!("engine-{number}")).unwrap()
}

fn instance(number: usize) -> name::Instance {
    name::Instance::try_from(format!("entry-{number}")).unwrap()
}

fn evidence() -> impl Strategy<Value = (Id, Evidence)> {
    let id = (0..3usize, 0..3usize, 0..2u64).prop_map(|(engine, origin, number)| Id {
        upstream: upstream(engine),
        incarnation: 1,
        origin: instance(origin),
        boot: 1,
        number,
    });
    id.prop_map(|id| {
        // Evidence with the same id always has the same content.
        let first = u8::try_from(id.number).unwrap();
        let mut running = vec![fingerprint(first), fingerprint(first + 1)];
        running.sort_unstable();
        let evidence = if id.number == 0 {
            Evidence::Crash { running }
        } else {
            Evidence::Cleared {
                fingerprint: running[0],
                crashes: vec![(id.upstream.clone(), 1)],
            }
        };
        (id, evidence)
    })
}

fn evidence_set(list: &[(Id, Evidence)]) -> EvidenceSet {
    let mut set = EvidenceSet::default();
    for (id, evidence) in list {
        set.merge(&evidence.message(id), Time::ZERO);
    }
    set
}

/// Returns everything that a set states, and its judgements.
fn content(set: &EvidenceSet) -> (Message, Vec<Standing>) {
    let subjects = (0..4).map(|n| Subject::Request(fingerprint(n)));
    let standings = subjects.map(|s| set.standing(s)).collect();
    (set.since(0, Time::ZERO), standings)
}

proptest! {
    /// Guards against a status that depends on the order or number of merges.
    #[test]
    fn merge_is_idempotent_and_commutative(
        left in prop::collection::vec(evidence(), 0..12),
        right in prop::collection::vec(evidence(), 0..12),
    ) {
        let (left, right) = (evidence_set(&left), evidence_set(&right));
        let (mut one, mut two) = (left.clone(), right.clone());
        one.merge(&right.since(0, Time::ZERO), Time::ZERO);
        two.merge(&left.since(0, Time::ZERO), Time::ZERO);
        prop_assert_eq!(content(&one), content(&two));
        let before = two.revision();
        two.merge(&right.since(0, Time::ZERO), Time::ZERO);
        prop_assert_eq!(content(&one), content(&two));
        prop_assert_eq!(two.revision(), before, "a repeated message is not news");
    }
}

/// Guards against a request that crashes one upstream after the other while its
/// caller resends it to random instances, and against harmless requests that
/// stay suspect because they ran on the same upstream.
#[test]
fn a_request_crashes_at_most_two_upstreams() {
    for seed in 0..500 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut trackers: Vec<_> = (0..9)
            .map(|index| Tracker::new(instance(index), 1))
            .collect();
        let bad = fingerprint(0);
        let mut crashes = 0;
        let mut now = 0;
        for round in 0..40usize {
            now += 10;
            let index = rng.random_range(0..trackers.len());
            let status = trackers[index].status(bad, Time::from_millis(now));
            if !matches!(status, Status::Clear | Status::Alone) {
                continue;
            }
            // A harmless request shares the upstream unless the bad one runs alone.
            let harmless = fingerprint(1 + rng.random_range(0..3));
            let engine = upstream(round);
            let other = rng.random_range(0..trackers.len());
            let is_shared = status == Status::Clear;
            if is_shared {
                trackers[other].started(harmless, engine.clone(), 1);
            }
            trackers[index].started(bad, engine.clone(), 1);
            crashes += 1;
            let mut reports = Vec::new();
            for tracker in &mut trackers {
                reports.extend(tracker.crashed(&engine, 1, Time::from_millis(now)));
            }
            // The evidence is propagated before the caller learns of the failure.
            let pending = trackers[index].status(bad, Time::from_millis(now));
            assert!(
                !matches!(pending, Status::Clear | Status::Alone),
                "seed {seed}"
            );
            for (id, evidence) in reports {
                for tracker in &mut trackers {
                    tracker.merge(&id, &evidence);
                    tracker.propagated(&id);
                }
            }
            if is_shared {
                let tracker = &mut trackers[other];
                assert_eq!(
                    tracker.status(harmless, Time::from_millis(now)),
                    Status::Alone
                );
                tracker.started(harmless, upstream(100), 1);
                let (id, cleared) = tracker.ended(harmless, &upstream(100), 1, true).unwrap();
                for tracker in &mut trackers {
                    tracker.merge(&id, &cleared);
                }
                let status = trackers[index].status(harmless, Time::from_millis(now));
                assert_eq!(status, Status::Clear, "seed {seed}");
            }
        }
        assert_eq!(crashes, 2, "seed {seed}");
        let status = trackers[0].status(bad, Time::from_millis(now));
        assert_eq!(status, Status::Quarantined);
    }
}

/// Guards against a second copy of a request that runs while the evidence about
/// the first one has not reached all instances.
#[test]
fn a_copy_waits_until_evidence_is_propagated() {
    let mut tracker = Tracker::new(instance(0), 1);
    let now = Time::from_millis(5);
    tracker.started(fingerprint(0), upstream(0), 1);
    tracker.started(fingerprint(0), upstream(1), 1);
    let (id, _) = tracker.crashed(&upstream(0), 1, now).unwrap();
    assert_eq!(tracker.status(fingerprint(0), now), Status::Pending);
    tracker.propagated(&id);
    // The other copy still runs.
    assert_eq!(tracker.status(fingerprint(0), now), Status::Pending);
    assert!(
        tracker
            .ended(fingerprint(0), &upstream(1), 1, false)
            .is_none()
    );
    assert_eq!(tracker.status(fingerprint(0), now), Status::Alone);
    assert_eq!(tracker.status(fingerprint(1), now), Status::Clear);
}
