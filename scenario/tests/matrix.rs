//! Runs the fault matrix.

use std::{fs, path::Path, sync::LazyLock};

use masticlock_scenario::{
    matrix::{self, Cell, Matrix, Verdict},
    world::Mutation,
};

static MATRIX: LazyLock<Matrix> = LazyLock::new(Matrix::run);

/// Guards against a page that tells something else than the code does.
#[test]
fn the_page_is_the_output_of_a_run() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/fault-matrix.md");
    let page = fs::read_to_string(path).unwrap();
    let run = matrix::page(&MATRIX);
    let differ = page
        .lines()
        .zip(run.lines())
        .find(|(page, run)| page != run);
    assert!(page == run, "the page has to be printed again: {differ:?}");
}

/// Guards against a fault at any step that breaks an invariant.
#[test]
fn every_cell_holds() {
    let broken: Vec<_> = MATRIX
        .cells
        .iter()
        .filter(|cell| matches!(cell.verdict, Verdict::Broken(_)))
        .collect();
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Guards against cells whose step is never reached, which would hold for nothing.
#[test]
fn every_fault_strikes() {
    let missed = MATRIX
        .cells
        .iter()
        .filter(|cell| cell.verdict == Verdict::Missed);
    assert_eq!(missed.count(), 0);
}

/// Guards against checks that a known fault does not turn red.
#[test]
fn every_deliberate_fault_is_caught() {
    for (mutation, invariant) in [
        (Mutation::ClaimAfterSending, "at-most-once"),
        (Mutation::NoTakeoverWait, "cold"),
        (Mutation::BillWithoutKey, "billed"),
        (Mutation::NoRevisionCheck, "in-force"),
        (Mutation::ColdLimitPerInstance, "cold"),
    ] {
        let caught = MATRIX.caught.iter().find(|c| c.0 == mutation).unwrap();
        let names = |cell: &Cell| match &cell.verdict {
            Verdict::Broken(violations) => violations.iter().any(|v| v.name == invariant),
            _ => false,
        };
        assert!(
            caught.1.iter().any(names),
            "{mutation:?} breaks no {invariant}"
        );
    }
}
