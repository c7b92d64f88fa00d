//! Limits of upstreams under faults of the instances that hand out the permits.

use masticlock_scenario::limit::{COLUMNS, FAULTS, Fault, run, run_isolated};

/// Guards against a limit that the instances exceed together while the instance that hands out the
/// permits crashes, is suspended, is cut off or is replaced, and against one that is left unused.
#[test]
fn all_instances_together_stay_within_a_limit() {
    for (instances, controls, milli) in COLUMNS {
        for fault in FAULTS {
            let outcome = run(fault, instances, controls, milli);
            let case = format!("{instances} instances, {milli} milli, {fault:?}: {outcome:?}");
            assert!(outcome.holds(), "{case}");
            assert!(fault != Fault::None || outcome.used >= 50, "{case}");
        }
    }
}

/// Guards against a simulation that no fault could break.
#[test]
fn several_leaders_break_a_limit() {
    assert!(!run(Fault::SeveralLeaders, 320, 7, 1_000).holds());
    assert!(!run(Fault::SeveralLeaders, 9, 3, 20_000).holds());
}

/// Guards against instances without contact to control that use their parts at the same time, or
/// that use none.
#[test]
fn isolated_instances_stay_within_a_limit() {
    for (instances, milli) in [(9, 1_000), (320, 1_000), (320, 100_000)] {
        let outcome = run_isolated(instances, milli, 2_000);
        assert!(outcome.holds(), "{instances}, {milli}: {outcome:?}");
        let is_eighth = (5..=13).contains(&outcome.used);
        assert!(is_eighth, "{instances}, {milli}: {outcome:?}");
    }
}
