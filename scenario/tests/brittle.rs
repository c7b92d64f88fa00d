//! Upstreams that can reject few requests, under faults of the instances that hand out the permits.

use masticlock_scenario::{
    brittle::{COLUMNS, run},
    limit::{FAULTS, Fault},
};

/// Guards against rejections that the instances cause together while the instance that hands out
/// the permits crashes, is suspended, is cut off or is replaced.
#[test]
fn all_instances_together_cause_no_more_rejections_than_an_upstream_bears() {
    for (instances, controls, rejects) in COLUMNS {
        for fault in FAULTS {
            let outcome = run(fault, instances, controls, rejects, true);
            let case = format!("{instances} instances, {rejects}/s, {fault:?}: {outcome:?}");
            assert!(outcome.holds(), "{case}");
            assert!(fault != Fault::None || outcome.used > 0, "{case}");
        }
    }
}

/// Guards against a simulation whose upstream rejects too little to break the bound.
#[test]
fn an_upstream_that_does_not_say_so_rejects_more() {
    for (instances, controls, rejects) in COLUMNS {
        let outcome = run(Fault::None, instances, controls, rejects, false);
        let is_small = rejects >= 20;
        assert!(is_small || !outcome.holds(), "{instances}: {outcome:?}");
    }
}
