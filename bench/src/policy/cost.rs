//! Cost and quality of the planners on one stream, with unlimited slots.

use masticlock_core::{
    planner::{
        Adaptive,
        baseline::{Fixed, Oracle, Rule},
    },
    policy::Planner,
};

use super::{
    sim::{self, Answered, Outcome, Scenario},
    world::{Arrival, Deployment, World},
};
use crate::report::Report;

/// Requests of the stream.
const REQUESTS: usize = 22_000;

/// Requests per second.
const RATE: f64 = 20.0;

/// Requests in which planners may learn before they are judged.
const WARM_UP: usize = 2_000;

/// Requests over which the target must be met.
const WINDOW: usize = 1_000;

/// Cautions that the shipped one is compared with.
const CAUTIONS: [(&str, f64); 4] = [
    ("caution 0", 0.0),
    ("caution 0.25", 0.25),
    ("caution 0.5", 0.5),
    ("caution 1", 1.0),
];

/// Returns the planners by name.
fn planners(world: &World) -> Vec<(&'static str, Box<dyn Planner>)> {
    let fixed = |rule| Box::new(Fixed::new(rule)) as Box<dyn Planner>;
    let mut planners: Vec<(_, Box<dyn Planner>)> = vec![
        ("masticlock", Box::new(Adaptive::new())),
        ("oracle", Box::new(Oracle::new(Box::new(world.clone())))),
        ("always best", fixed(Rule::HighestQuality)),
        ("always cheapest", fixed(Rule::Cheapest)),
        ("fixed split", fixed(Rule::Split)),
        ("least loaded", fixed(Rule::LeastLoaded)),
    ];
    for (name, caution) in CAUTIONS {
        planners.push((
            name,
            Box::new(Adaptive::with_lower_bound_deviations(caution)),
        ));
    }
    planners
}

/// Figures of one planner after the warm-up.
#[derive(Clone, Copy, Debug, Default)]
struct Figures {
    cost: f64,
    /// Lowest mean of quality minus target over a window.
    worst: f64,
    /// Lowest mean of quality minus target of one task over a window, without sessions.
    worst_task: f64,
    /// Share of answers whose plan is truly at its target.
    at_target: f64,
    explored: f64,
    refused: f64,
}

#[expect(clippy::cast_precision_loss)]
fn figures(outcome: &Outcome, stream: &[Arrival]) -> Figures {
    let mut judged: Vec<Answered> = (outcome.answered.iter())
        .filter(|a| a.index >= WARM_UP)
        .copied()
        .collect();
    judged.sort_by_key(|a| a.index);
    let count = judged.len().max(1) as f64;
    let share = |f: fn(&Answered) -> bool| judged.iter().filter(|a| f(a)).count() as f64 / count;
    let mean = |list: &[Answered]| {
        list.iter().map(|a| a.quality - a.target).sum::<f64>() / list.len() as f64
    };
    Figures {
        cost: judged.iter().map(|a| a.cost).sum::<f64>() / count,
        worst: judged
            .chunks_exact(WINDOW)
            .map(mean)
            .fold(f64::INFINITY, f64::min),
        worst_task: judged
            .chunks_exact(WINDOW)
            .flat_map(|window| {
                let mut tasks: Vec<_> = window.iter().map(|a| &stream[a.index].ask.task).collect();
                tasks.sort_unstable();
                tasks.dedup();
                tasks.into_iter().map(|task| {
                    // A session keeps its version whatever its later requests are about.
                    let own = |a: &&Answered| {
                        let ask = &stream[a.index].ask;
                        ask.task == *task && ask.session.is_none()
                    };
                    mean(&window.iter().filter(own).copied().collect::<Vec<_>>())
                })
            })
            .fold(f64::INFINITY, f64::min),
        at_target: share(|a| a.quality >= a.target),
        explored: share(|a| a.explored),
        refused: outcome.refused.len() as f64
            / (outcome.refused.len() + outcome.answered.len()) as f64,
    }
}

/// Measures all planners on one stream.
pub fn measure(report: &mut Report, deployment: Deployment, seed: u64) {
    let world = World::new(deployment, seed);
    let stream = world.stream(REQUESTS, RATE);
    let scenario = Scenario {
        unlimited: true,
        ..Scenario::default()
    };
    println!("\n{REQUESTS} requests at {RATE}/s, unlimited slots, after the first {WARM_UP}:\n");
    println!(
        "| planner | cost per request | lowest quality over target in {WINDOW} | of one task | share at target | explored | refused |"
    );
    println!("|---|---|---|---|---|---|---|");
    let mut all = Vec::new();
    for (name, mut planner) in planners(&world) {
        let figures = figures(
            &sim::run(&world, &scenario, &stream, planner.as_mut()),
            &stream,
        );
        println!(
            "| {name} | {:.0} | {:+.4} | {:+.4} | {:.3} | {:.3} | {:.3} |",
            figures.cost,
            figures.worst,
            figures.worst_task,
            figures.at_target,
            figures.explored,
            figures.refused
        );
        all.push(figures);
    }
    println!();
    let [ours, oracle, best, ..] = all[..] else {
        return;
    };
    let rounded = |ratio: f64| (ratio * 1_000.0).round() / 1_000.0;
    report.at_most(
        &format!("{deployment}: cost against oracle"),
        1.15,
        rounded(ours.cost / oracle.cost),
    );
    report.at_most(
        &format!("{deployment}: cost against always best"),
        0.5,
        rounded(ours.cost / best.cost),
    );
    report.at_least(
        &format!("{deployment}: lowest quality over target in {WINDOW} requests"),
        0.0,
        (ours.worst * 10_000.0).round() / 10_000.0,
    );
}
