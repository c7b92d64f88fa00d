//! Tests of slots against a model with faults.

mod world;

use world::{Fault, World};

const SEEDS: u64 = 300;
const RUN_MS: u64 = 90_000;

fn run(seeds: u64, fault: Fault) -> (u64, Vec<String>) {
    let mut grants = 0;
    let mut violations = Vec::new();
    for seed in 0..seeds {
        let mut world = World::new(seed, fault).with_chaos();
        world.run(RUN_MS);
        grants += world.grants;
        violations.extend(world.violations.iter().map(|v| format!("seed {seed}: {v}")));
    }
    (grants, violations)
}

/// Guards against more requests on an upstream than its limit, cold or warm,
/// under crashes, partitions, handovers, restarts and a faulty network.
#[test]
fn sum_of_slots_is_within_the_limit() {
    let (grants, violations) = run(SEEDS, Fault::None);
    assert_eq!(violations, Vec::<String>::new());
    assert!(grants > 200 * SEEDS, "only {grants} slots were granted");
}

/// Guards against rules so strict that an upstream is not used.
#[test]
fn calm_upstreams_are_used() {
    for seed in 0..20 {
        let mut world = World::new(seed, Fault::None);
        world.run(RUN_MS);
        // Two engines with 12 slots and work of 2.8 s and a service with work of
        // 4.3 s could do 1,030 requests without a cold start.
        assert!(world.grants > 850, "seed {seed}: {} grants", world.grants);
    }
}

/// Guards against checks that can't see a violation.
#[test]
fn deliberate_faults_are_caught() {
    for fault in [
        Fault::NoTakeoverWait,
        Fault::LimitPerInstance,
        Fault::TrustReceiveTime,
    ] {
        let (_, violations) = run(40, fault);
        assert!(!violations.is_empty(), "{fault:?} was not caught");
    }
}
