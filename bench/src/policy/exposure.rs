//! Requests exposed to bad versions in rollouts, and wrong stops of good ones.

use std::{
    sync::atomic::{AtomicUsize, Ordering},
    thread,
};

use masticlock_core::{
    config::{Change, Stage},
    name,
    planner::Adaptive,
    time::{Span, Time},
};

use super::{
    sim::{self, Outcome, Ratings, Scenario},
    world::{Deployment, Fault, World},
};
use crate::report::Report;

/// Seeds of each bad version.
const BAD_SEEDS: u64 = 10;

/// Seeds of good rollouts.
const GOOD_SEEDS: u64 = 200;

/// Threads that run seeds.
const THREADS: usize = 3;

/// Requests of a stream.
const REQUESTS: usize = 60_000;

/// Requests per second.
const RATE: f64 = 20.0;

/// Start of the rollout.
const START: Time = Time::from_millis(120_000);

/// Time from promotion to the fault of a version that turns bad in service.
const TURNS_BAD: Span = Span::from_secs(60);

/// Stages by share, exposure and shortest seconds.
const STAGES: [(f64, u64, u64); 4] = [
    (0.05, 44, 30),
    (0.055, 240, 30),
    (0.2, 1_500, 30),
    (0.5, 6_000, 30),
];

/// A version to roll out.
struct Case {
    name: &'static str,
    fault: Fault,
    turns_bad: Option<Span>,
    ratings: Option<(u64, u64, Ratings)>,
    /// Highest exposure, if it is a target.
    bound: Option<u64>,
}

fn cases() -> Vec<Case> {
    let worse = Fault {
        loss: 0.2,
        ..Fault::default()
    };
    let failing = Fault {
        errors: 0.3,
        ..Fault::default()
    };
    let slow = Fault {
        delay: 1.0,
        ..Fault::default()
    };
    let case = |name, fault, turns_bad, bound| Case {
        name,
        fault,
        turns_bad,
        ratings: None,
        bound,
    };
    vec![
        case("20 points worse", worse, None, Some(300)),
        case("30% errors", failing, None, Some(50)),
        case("doubled latency", slow, None, None),
        case("30% errors after promotion", failing, Some(TURNS_BAD), None),
        case(
            "20 points worse after promotion",
            worse,
            Some(TURNS_BAD),
            None,
        ),
    ]
}

/// Returns the version that waits for its rollout and its baseline.
fn versions(world: &World) -> (name::Version, name::Version) {
    let inventory = &world.config.inventory;
    let idle = (inventory.versions.iter())
        .find(|v| !v.stable)
        .expect("one version waits");
    let baseline = (inventory.versions.iter())
        .find(|v| v.model == idle.model && v.stable)
        .expect("its model has a stable version");
    (idle.name.clone(), baseline.name.clone())
}

fn scenario(world: &World, case: &Case) -> Scenario {
    let (version, baseline) = versions(world);
    let stages = STAGES.map(|(share, exposure, secs)| Stage {
        share,
        exposure,
        at_least: Span::from_secs(secs),
    });
    let start = Change::StartRollout {
        version: version.clone(),
        baseline,
        stages: stages.to_vec(),
    };
    let fault = (case.fault != Fault::default()).then_some((version, case.fault, case.turns_bad));
    Scenario {
        unlimited: true,
        changes: vec![(START, start)],
        fault,
        ratings: (case.ratings)
            .map(|(from, to, fault)| (Time::from_millis(from), Time::from_millis(to), fault)),
        ends_with_rollout: true,
        ..Scenario::default()
    }
}

/// Runs a case for each seed, on a few threads.
fn outcomes(deployment: Deployment, case: &Case, seeds: std::ops::Range<u64>) -> Vec<Outcome> {
    let next = AtomicUsize::new(0);
    let seeds: Vec<_> = seeds.collect();
    let work = || {
        let mut done = Vec::new();
        loop {
            let at = next.fetch_add(1, Ordering::Relaxed);
            let Some(seed) = seeds.get(at) else {
                return done;
            };
            let world = World::new(deployment, *seed);
            let stream = world.stream(REQUESTS, RATE);
            let mut planner = Adaptive::new();
            let outcome = sim::run(&world, &scenario(&world, case), &stream, &mut planner);
            done.push((at, outcome));
        }
    };
    let mut all: Vec<_> = thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|_| scope.spawn(work)).collect();
        let joined = threads.into_iter().map(thread::ScopedJoinHandle::join);
        joined
            .flat_map(|done| done.expect("no seed panics"))
            .collect()
    });
    all.sort_by_key(|(at, _)| *at);
    all.into_iter().map(|(_, outcome)| outcome).collect()
}

/// Measures bad versions, good versions and faults of the rating service.
pub fn measure(report: &mut Report, deployment: Deployment, seed: u64) {
    println!("\nBad versions, {BAD_SEEDS} seeds each, ratings of 1 in 5 answers:\n");
    println!(
        "| version | requests exposed: each seed | most | stopped | held | longest time to stop | most sessions on it |"
    );
    println!("|---|---|---|---|---|---|---|");
    let mut figures = Vec::new();
    for case in cases() {
        let outcomes = outcomes(deployment, &case, seed..seed + BAD_SEEDS);
        let exposed: Vec<_> = outcomes.iter().map(|o| o.exposed).collect();
        let stopped = outcomes.iter().filter(|o| o.stop.is_some()).count();
        let held = outcomes
            .iter()
            .filter(|o| o.stop.is_none() && o.held.is_some())
            .count();
        let longest = (outcomes.iter().filter_map(|o| o.stop))
            .map(|(began, ended)| ended.since(began))
            .max();
        let most = exposed.iter().copied().max().unwrap_or(0);
        println!(
            "| {} | {exposed:?} | {most} | {stopped} of {BAD_SEEDS} | {held} | {} | {} |",
            case.name,
            longest.map_or_else(|| "-".to_owned(), |s| s.to_string()),
            outcomes.iter().map(|o| o.sessions).max().unwrap_or(0),
        );
        figures.push((case, most, stopped + held));
    }
    println!();
    for (case, most, stopped) in figures {
        let name = case.name;
        if let Some(bound) = case.bound {
            report.at_most(
                &format!("{deployment}: requests exposed to {name}"),
                bound,
                most,
            );
        }
        report.at_least(
            &format!("{deployment}: seeds in which {name} is stopped or held"),
            usize::try_from(BAD_SEEDS).unwrap_or(usize::MAX),
            stopped,
        );
    }
    good(report, deployment, seed);
}

fn good(report: &mut Report, deployment: Deployment, seed: u64) {
    let case = |name, ratings| Case {
        name,
        fault: Fault::default(),
        turns_bad: None,
        ratings,
        bound: None,
    };
    let cases = [
        (case("good version", None), GOOD_SEEDS),
        (
            case(
                "good version, no ratings for 300 s",
                Some((150_000, 450_000, Ratings::Down)),
            ),
            BAD_SEEDS,
        ),
        (
            case(
                "good version, all ratings 0.4 lower for 300 s",
                Some((150_000, 450_000, Ratings::Low(0.4))),
            ),
            BAD_SEEDS,
        ),
    ];
    println!(
        "\n| version | seeds | stopped | finished | undecided | reasons |\n|---|---|---|---|---|---|"
    );
    let mut wrong = Vec::new();
    for (case, seeds) in cases {
        let outcomes = outcomes(deployment, &case, seed..seed + seeds);
        let reasons: Vec<_> = outcomes
            .iter()
            .filter_map(|o| o.reason.as_deref())
            .collect();
        let finished = outcomes.iter().filter(|o| o.finished).count();
        let held: Vec<_> = (outcomes
            .iter()
            .filter(|o| !o.finished && o.reason.is_none()))
        .map(|o| o.held.as_deref().unwrap_or("the stream ended"))
        .collect();
        println!(
            "| {} | {seeds} | {} | {finished} | {} | {} {} |",
            case.name,
            reasons.len(),
            held.len(),
            reasons.join("; "),
            held.join("; "),
        );
        wrong.push((case.name, seeds, reasons.len()));
    }
    println!();
    for (name, seeds, stopped) in wrong {
        report.at_most(
            &format!("{deployment}: stops of {name} in {seeds} seeds"),
            usize::try_from(seeds / 100).unwrap_or(0),
            stopped,
        );
    }
}
