//! Tests of the retry budget and of upstream selection.

use masticlock_core::{
    budget::{Budget, INITIAL_RETRIES, MAX_RETRIES, SUCCESSES_PER_RETRY},
    name,
    pick::{Candidate, best},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Guards against retry storms: retries stay within the initial budget plus 10%
/// of the successes, and at most [`MAX_RETRIES`] accumulate without faults.
#[test]
fn retries_stay_within_a_tenth_of_successes() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let budget = Budget::default();
        let (mut successes, mut retries) = (0, 0);
        let failing = rng.random_range(0.0..1.0);
        for _ in 0..2_000 {
            if rng.random_bool(failing) {
                retries += u64::from(budget.withdraw());
            } else {
                budget.deposit();
                successes += 1;
            }
            let most = INITIAL_RETRIES + successes / SUCCESSES_PER_RETRY;
            assert!(retries <= most, "seed {seed}: {retries} retries");
            assert!(budget.remaining() <= MAX_RETRIES);
        }
        // A budget that was never full allows all the retries that it accumulated.
        if successes / SUCCESSES_PER_RETRY + INITIAL_RETRIES < MAX_RETRIES {
            assert_eq!(
                retries + budget.remaining(),
                INITIAL_RETRIES + successes / SUCCESSES_PER_RETRY
            );
        }
    }
}

/// Guards against the selection of a full, remote, loaded or failed upstream
/// while a better one is free.
#[test]
fn best_prefers_fresh_near_free_and_cached() {
    let names = ["a", "b", "c"].map(|n| name::Upstream::try_from(n).unwrap());
    let candidate = |at: usize, used, far, cached| Candidate {
        upstream: &names[at],
        used,
        limit: 10,
        remote: far,
        cached,
    };
    let failed = &names[..1];
    let cases = [
        ("full", vec![candidate(0, 10, false, 0.0)], &[][..], None),
        (
            "load",
            vec![candidate(0, 5, false, 0.0), candidate(1, 4, false, 0.0)],
            &[],
            Some(1),
        ),
        (
            "near",
            vec![candidate(0, 0, true, 1.0), candidate(1, 9, false, 0.0)],
            &[],
            Some(1),
        ),
        (
            "cache",
            vec![candidate(0, 2, false, 0.0), candidate(1, 5, false, 1.0)],
            &[],
            Some(1),
        ),
        (
            "failed",
            vec![candidate(0, 0, false, 0.0), candidate(1, 9, true, 0.0)],
            failed,
            Some(1),
        ),
        (
            "only",
            vec![candidate(0, 0, false, 0.0), candidate(1, 10, false, 0.0)],
            failed,
            Some(0),
        ),
    ];
    for (case, candidates, avoid, expected) in cases {
        assert_eq!(best(&candidates, avoid, 7), expected, "{case}");
    }
}

/// Guards against instances that all select the same one of several equal upstreams.
#[test]
fn equal_upstreams_share_the_work() {
    let names: Vec<_> = (0..4)
        .map(|n| name::Upstream::try_from(format!("u{n}")).unwrap())
        .collect();
    let candidates: Vec<_> = names
        .iter()
        .map(|upstream| Candidate {
            upstream,
            used: 0,
            limit: 1,
            remote: false,
            cached: 0.0,
        })
        .collect();
    let mut chosen = [0; 4];
    for salt in 0..4_000 {
        chosen[best(&candidates, &[], salt).unwrap()] += 1;
    }
    assert!(chosen.iter().all(|&n| n > 800), "{chosen:?}");
}
