//! Evidence that a version answers more slowly than the others.

use masticlock_core::{
    canary::{is_worse, step},
    replicated::{Phase, Rollout},
    report::VersionStats,
    rollout::lateness::{self, Measure, Pace, Reference, Timing},
    time::Time,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn pace() -> Measure {
    Measure::Pace("engines".into(), 0)
}

/// Returns a time between events in microseconds of an upstream that takes `base` with one request
/// and 5% more with each further one, with noise.
fn time_at(base: u64, load: u32, rng: &mut ChaCha8Rng) -> u64 {
    let loaded = base * (100 + 5 * u64::from(load)) / 100;
    loaded * rng.random_range(70..150) / 100
}

/// A simulated rollout: the times of each upstream of both versions and their loads.
struct Case {
    name: &'static str,
    /// Base times of the stable version's upstreams.
    old: Vec<u64>,
    new: Vec<u64>,
    old_load: u32,
    new_load: u32,
    is_slower: bool,
}

/// Returns whether the new version counts as slower after `answers` answers.
fn play(case: &Case, answers: usize, seed: u64) -> bool {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut reference = Reference::default();
    let (mut old, mut new) = (Vec::new(), Vec::new());
    for number in 0..600 {
        let at = number % case.old.len();
        let load = rng.random_range(1..=case.old_load);
        let micros = time_at(case.old[at], load, &mut rng);
        if let Some(limit) = reference.late_above(&pace(), load) {
            lateness::judge(&mut old, &format!("old-{at}"), micros > limit);
        }
        reference.observe(&pace(), load, micros);
    }
    for _ in 0..answers {
        let at = rng.random_range(0..case.new.len());
        let load = rng.random_range(case.new_load.div_ceil(2)..=case.new_load);
        let micros = time_at(case.new[at], load, &mut rng);
        if let Some(limit) = reference.late_above(&pace(), load) {
            lateness::judge(&mut new, &format!("new-{at}"), micros > limit);
        }
    }
    lateness::is_slower(&new, &old)
}

/// Guards against a slower version that is kept, and against a good one that is rolled back because
/// it is loaded or because some upstreams are slow.
#[test]
fn a_slower_version_is_told_from_load_and_from_slow_upstreams() {
    let good = || vec![30_000; 12];
    let with_slow = |count: usize| {
        let mut bases = good();
        bases[..count].fill(240_000);
        bases
    };
    let case = |name, old, new, new_load, is_slower| Case {
        name,
        old,
        new,
        old_load: 16,
        new_load,
        is_slower,
    };
    for case in [
        case("equal", good(), good(), 2, false),
        case("3 times slower", good(), vec![90_000; 12], 2, true),
        case("4 times slower", good(), vec![120_000; 12], 2, true),
        case("8 times slower", good(), vec![240_000; 12], 2, true),
        case("loaded", good(), good(), 12, false),
        case("loaded and slower", good(), vec![240_000; 12], 12, true),
        case("overloaded", good(), good(), 60, false),
        case("two slow upstreams", good(), with_slow(2), 2, false),
        case("slow stable upstreams", with_slow(4), good(), 2, false),
        case(
            "slower among slow stable upstreams",
            with_slow(3),
            vec![240_000; 12],
            2,
            true,
        ),
    ] {
        let wrong = (0..200).filter(|seed| play(&case, 40, *seed) != case.is_slower);
        let wrong = wrong.count();
        assert!(wrong <= 2, "{}: {wrong} of 200 runs are wrong", case.name);
    }
    let slower = case("soon", good(), vec![240_000; 12], 2, true);
    let found = (0..200).filter(|seed| play(&slower, 20, *seed)).count();
    assert!(found >= 198, "{found} of 200 found within 20 answers");
}

/// Guards against evidence that waits for the end of a slow stream.
#[test]
fn the_pace_of_a_stream_counts_before_its_end() {
    let at = Time::from_millis;
    let mut usual = Pace::default();
    assert_eq!(usual.record(1, Some(80_000), at(0)), None);
    assert_eq!(usual.record(3, Some(80_000), at(90)), None);
    assert_eq!(usual.record(1, Some(80_000), at(120)), Some(30_000));
    assert_eq!(
        usual.record(9, Some(80_000), at(900)),
        None,
        "a stream counts once"
    );
    let mut slow = Pace::default();
    slow.record(1, Some(80_000), at(0));
    assert_eq!(slow.record(1, Some(80_000), at(250)), None);
    assert_eq!(slow.record(1, Some(80_000), at(500)), Some(125_000));
    let mut unknown = Pace::default();
    unknown.record(1, None, at(0));
    assert_eq!(unknown.record(1, None, at(5_000)), None);
}

/// Guards against a version that gets all requests before the times of its answers are known.
#[test]
fn a_version_whose_times_are_not_known_stays_a_canary() {
    let timings = |judged, late| vec![Timing { judged, late }; 8];
    let stats = |timings| VersionStats {
        ok: 400,
        timings,
        ..VersionStats::default()
    };
    let rollout = Rollout {
        service: "engines".into(),
        target: "v2".into(),
        began_ms: 0,
        duration_ms: 10_000,
        permille: 80,
        phase: Phase::InProgress,
    };
    let old = stats(timings(50, 2));
    let phase = |new: &VersionStats, old: &VersionStats, now| step(&rollout, new, old, now);
    assert_eq!(phase(&stats(timings(0, 0)), &old, 8_300), None);
    assert_eq!(
        phase(&stats(timings(5, 0)), &old, 8_300).unwrap().permille,
        1_000
    );
    let unknown = stats(Vec::new());
    assert_eq!(phase(&unknown, &unknown, 8_300).unwrap().permille, 1_000);
    // Half of 6 answers are late, too few to rule out chance.
    let suspect = stats(vec![Timing { judged: 2, late: 1 }; 3]);
    let suspect_timings = VersionStats { ok: 40, ..suspect };
    assert!(!is_worse(&suspect_timings, &old));
    assert_eq!(phase(&suspect_timings, &old, 8_300), None);
    assert_eq!(
        phase(&suspect_timings, &old, 9_300).unwrap().phase,
        Phase::Reverted
    );
    let late = stats(timings(3, 3));
    assert!(is_worse(&late, &old));
    assert_eq!(phase(&late, &old, 6_000).unwrap().phase, Phase::Reverted);
}
