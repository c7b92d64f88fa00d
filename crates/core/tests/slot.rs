//! Tests of slots in a simulation with faults.

mod simulation;

use simulation::{Defect, Simulation};

const SEEDS: u64 = 300;
/// Simulated time of a run in milliseconds.
const RUN_MS: u64 = 90_000;

/// Returns the number of granted slots and the violations of all runs.
fn run(seeds: u64, defect: Defect) -> (u64, Vec<String>) {
    let mut grants = 0;
    let mut violations = Vec::new();
    for seed in 0..seeds {
        let mut simulation = Simulation::new(seed, defect).with_faults();
        simulation.run(RUN_MS);
        grants += simulation.grants;
        violations.extend(
            simulation
                .violations
                .iter()
                .map(|v| format!("seed {seed}: {v}")),
        );
    }
    (grants, violations)
}

/// Guards against more concurrent requests on an upstream than its limit, cold or
/// warm, under crashes, partitions, handovers, restarts and an unreliable network.
#[test]
fn granted_slots_never_exceed_the_limit() {
    let (grants, violations) = run(SEEDS, Defect::None);
    assert_eq!(violations, Vec::<String>::new());
    assert!(grants > 200 * SEEDS, "only {grants} slots were granted");
}

/// Guards against rules so strict that slots stay unused without faults.
#[test]
fn slots_are_used_without_faults() {
    for seed in 0..20 {
        let mut simulation = Simulation::new(seed, Defect::None);
        simulation.run(RUN_MS);
        // Two engines with 12 slots and work of 2.8 s on average and a service with
        // work of 4.3 s could complete 1,030 requests without a cold start.
        assert!(
            simulation.grants > 850,
            "seed {seed}: {} grants",
            simulation.grants
        );
    }
}

/// Guards against checks that can't detect a violation.
#[test]
fn deliberate_defects_are_detected() {
    for defect in [
        Defect::NoTakeoverWait,
        Defect::LimitPerInstance,
        Defect::TrustReceiveTime,
    ] {
        let (_, violations) = run(40, defect);
        assert!(!violations.is_empty(), "{defect:?} was not detected");
    }
}
