//! Tests of the replicated log in seeded simulations of crashes, data loss, partitions and clock
//! drift.

mod check;
mod disk;
mod rules;
mod schedule;
mod simulation;
mod storage;

use std::{
    env,
    sync::atomic::{AtomicU64, Ordering},
    thread,
};

use masticlock_core::consensus::Fault;

/// Number of schedules if `MASTICLOCK_SCHEDULES` is not set.
const SCHEDULES: u64 = 10_000;

/// Number of schedules within which a deliberate fault must be detected.
const FAULT_SCHEDULES: u64 = 20_000;

/// Runs the schedules of `count` seeds from `first` on, on several threads; returns the lowest seed
/// with a violation, and the violation.
///
/// A deliberate fault must violate safety, so a lack of progress doesn't count for one.
fn first_violation(first: u64, count: u64, fault: Option<Fault>) -> Option<(u64, String)> {
    let next = AtomicU64::new(first);
    let lowest_failed_seed = AtomicU64::new(u64::MAX);
    let threads = thread::available_parallelism().map_or(2, |n| n.get().div_ceil(2));
    let worker = || {
        let mut failure = None;
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= first + count || seed > lowest_failed_seed.load(Ordering::Relaxed) {
                return failure;
            }
            if let Err(violation) = schedule::run_schedule(seed, fault)
                && (fault.is_none() || violation != schedule::NO_PROGRESS)
            {
                lowest_failed_seed.fetch_min(seed, Ordering::Relaxed);
                failure = Some((seed, violation));
            }
        }
    };
    thread::scope(|scope| {
        let workers: Vec<_> = (0..threads).map(|_| scope.spawn(worker)).collect();
        let failures = workers.into_iter().filter_map(|w| w.join().unwrap());
        failures.min()
    })
}

/// Returns the number in an environment variable, or the default if it is not set.
fn env_number(variable: &str, default: u64) -> u64 {
    match env::var(variable) {
        Ok(text) => text.parse().unwrap_or_else(|e| panic!("{variable}: {e}")),
        Err(_) => default,
    }
}

/// Guards against two leaders in a term, lost or reordered entries, stale reads and a log that
/// doesn't recover, under every fault that the design page lists.
///
/// `MASTICLOCK_SCHEDULES` and `MASTICLOCK_SEED` set the number of schedules and the first seed.
#[test]
fn schedules_stay_safe_and_recover() {
    let (count, first) = (
        env_number("MASTICLOCK_SCHEDULES", SCHEDULES),
        env_number("MASTICLOCK_SEED", 1),
    );
    let failure = first_violation(first, count, None);
    assert_eq!(failure, None, "seed and violation");
}

/// Guards against checks that never fail: each deliberate fault must violate safety in a schedule.
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
        let failure = first_violation(1, FAULT_SCHEDULES, Some(fault));
        let (seed, violation) = failure.unwrap_or_else(|| panic!("{fault:?} was not caught"));
        println!("{fault:?} was caught by seed {seed}: {violation}");
    }
}

/// Guards against lost entries, and against a log that stops, when a second replica fails at any
/// step of the replacement of a first one.
#[test]
fn a_second_replica_fails_during_a_repair() {
    for voters in [3, 5] {
        for moment in (0..3_000).step_by(20) {
            let (first, second) = (0, 1 + usize::try_from(moment / 20).unwrap() % (voters - 1));
            let lost = (first, second);
            for removes_first in [false, true] {
                let case = format!("{voters} {second} {moment} {removes_first}");
                let result = schedule::run_repair(voters, lost, moment, removes_first, false);
                assert_eq!(result, Ok(()), "{case}");
                // Without a majority the log may stop but must not violate safety.
                let result = schedule::run_repair(voters, lost, moment, removes_first, true);
                let stops = Err(schedule::NO_PROGRESS.to_owned());
                assert!(result == Ok(()) || result == stops, "{case}: {result:?}");
            }
        }
    }
}
