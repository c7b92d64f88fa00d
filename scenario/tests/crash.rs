//! Parts of prompts that crash upstreams, drawn circumstances.

use masticlock_scenario::crash::{Case, Plant, run};

/// Number of draws.
const DRAWS: u64 = 60;

/// Guards against sound requests that are refused because they share parts with guilty ones, and
/// against guilty ones that go on crashing upstreams.
#[test]
fn guilty_parts_are_told_from_those_beside_them() {
    let failed: Vec<_> = (1..=DRAWS)
        .map(|seed| (seed, Case::draw(seed)))
        .map(|(seed, case)| (seed, run(&case, Plant::None, seed), case))
        .filter(|(_, outcome, _)| !outcome.holds())
        .collect();
    assert!(
        failed.is_empty(),
        "{} of {DRAWS}: {failed:#?}",
        failed.len()
    );
}

/// Guards against a simulation that no fault could break.
#[test]
fn each_planted_fault_breaks_a_rule() {
    for plant in [
        Plant::NoClearing,
        Plant::BanAll,
        Plant::NoBan,
        Plant::ChargeBegun,
        Plant::AllKinds,
    ] {
        let mut draws = 1..=20;
        let is_found = draws.any(|seed| !run(&Case::draw(seed), plant, seed).holds());
        assert!(is_found, "{plant:?}");
    }
}
