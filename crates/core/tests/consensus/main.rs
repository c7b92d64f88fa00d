//! Seeded schedules of the replicated log with crashes, lost data, partitions and clock drift.

mod chaos;
mod check;
mod disk;
mod rules;
mod storage;
mod world;

use std::{
    env,
    sync::atomic::{AtomicU64, Ordering},
    thread,
};

use masticlock_core::consensus::Fault;

/// Schedules of a run without `MASTICLOCK_SCHEDULES`.
const SCHEDULES: u64 = 10_000;

/// Schedules within which a deliberate fault must be caught.
const FAULT_SCHEDULES: u64 = 10_000;

/// Runs the schedules of `count` seeds on several threads; returns the first broken one.
///
/// A deliberate fault must break safety; that it hinders progress is not enough.
fn run(first: u64, count: u64, fault: Option<Fault>) -> Option<(u64, String)> {
    let next = AtomicU64::new(first);
    let found = AtomicU64::new(u64::MAX);
    let threads = thread::available_parallelism().map_or(2, |n| n.get().div_ceil(2));
    let worker = || {
        let mut broken = None;
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= first + count || seed > found.load(Ordering::Relaxed) {
                return broken;
            }
            if let Err(violation) = chaos::schedule(seed, fault)
                && (fault.is_none() || violation != chaos::NO_PROGRESS)
            {
                found.fetch_min(seed, Ordering::Relaxed);
                broken = Some((seed, violation));
            }
        }
    };
    thread::scope(|scope| {
        let workers: Vec<_> = (0..threads).map(|_| scope.spawn(worker)).collect();
        let broken = workers.into_iter().filter_map(|w| w.join().unwrap());
        broken.min()
    })
}

fn number(variable: &str, default: u64) -> u64 {
    match env::var(variable) {
        Ok(text) => text.parse().unwrap_or_else(|e| panic!("{variable}: {e}")),
        Err(_) => default,
    }
}

/// Guards against two leaders in a term, lost or reordered entries, stale reads and a log that
/// doesn't recover, under every fault of the design page.
///
/// `MASTICLOCK_SCHEDULES` and `MASTICLOCK_SEED` set the number of schedules and the first seed.
#[test]
fn schedules_keep_the_log() {
    let (count, first) = (
        number("MASTICLOCK_SCHEDULES", SCHEDULES),
        number("MASTICLOCK_SEED", 1),
    );
    let broken = run(first, count, None);
    assert_eq!(broken, None, "seed and violation");
}

/// Guards against checks that can't fail: each deliberate fault must break a schedule.
#[test]
fn schedules_catch_deliberate_faults() {
    for fault in [
        Fault::VoteWithoutSync,
        Fault::ReuseIdentity,
        Fault::VoteDuringLease,
        Fault::CountLearners,
        Fault::AcknowledgeBeforeSync,
        Fault::CommitOlderTerm,
    ] {
        let broken = run(1, FAULT_SCHEDULES, Some(fault));
        let (seed, violation) = broken.unwrap_or_else(|| panic!("{fault:?} was not caught"));
        println!("{fault:?} was caught by seed {seed}: {violation}");
    }
}

/// Guards against entries that are lost, or a log that stops, when a second replica is lost at any
/// step of the repair of a first one.
#[test]
fn a_second_replica_is_lost_during_a_repair() {
    for voters in [3, 5] {
        for moment in (0..3_000).step_by(20) {
            let (first, second) = (0, 1 + usize::try_from(moment / 20).unwrap() % (voters - 1));
            let lost = (first, second);
            for removes_first in [false, true] {
                let case = format!("{voters} {second} {moment} {removes_first}");
                let result = chaos::repair(voters, lost, moment, removes_first, false);
                assert_eq!(result, Ok(()), "{case}");
                // Without a majority the log stops, and still contradicts nothing.
                let result = chaos::repair(voters, lost, moment, removes_first, true);
                let stops = Err(chaos::NO_PROGRESS.to_owned());
                assert!(result == Ok(()) || result == stops, "{case}: {result:?}");
            }
        }
    }
}
