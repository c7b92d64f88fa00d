//! Service under load and while a failure domain leaves and returns, with real slots.

use masticlock_core::{
    planner::{
        Adaptive,
        baseline::{Fixed, GroundTruth, Oracle, Rule},
    },
    policy::Planner,
    time::Time,
};

use super::{
    pools::Pools,
    sim::{self, Answered, Outcome, Scenario},
    world::{Arrival, Deployment, World},
};
use crate::report::Report;

/// Requests of a stream.
const REQUESTS: usize = 16_000;

/// Requests in which planners may learn before they are judged.
const WARM_UP: usize = 2_000;

/// Loads, in parts of the capacity.
const LOADS: [f64; 3] = [0.5, 0.8, 1.1];

/// Load at which a failure domain leaves.
const OUTAGE_LOAD: f64 = 0.7;

/// Parts of the stream's length between which the failure domain is gone.
const OUTAGE: (f64, f64) = (0.4, 0.7);

/// Requests on which the capacity is computed.
const SAMPLE: usize = 4_000;

/// Returns the rate per second at which the oracle's plans fill the first model's engines.
#[expect(clippy::cast_precision_loss)]
fn capacity(world: &World) -> f64 {
    let stream = world.stream(SAMPLE, 1.0);
    let scenario = Scenario {
        unlimited: true,
        ..Scenario::default()
    };
    let mut oracle = Oracle::new(Box::new(world.clone()));
    let outcome = sim::run(world, &scenario, &stream, &mut oracle);
    let pools = Pools::new(world, false);
    (outcome.busy_ms.iter().enumerate())
        .filter(|(_, busy)| **busy > 0)
        .map(|(model, busy)| f64::from(pools.slots(model)) * 1_000.0 * SAMPLE as f64 / *busy as f64)
        .fold(f64::INFINITY, f64::min)
}

/// Figures of the requests that arrived between two times.
struct Figures {
    /// Share answered before the deadline.
    in_time: f64,
    at_target: f64,
    cost: f64,
    first: (u64, u64),
    end: (u64, u64),
}

#[expect(clippy::cast_precision_loss, clippy::cast_possible_truncation)]
#[expect(clippy::cast_sign_loss)]
fn figures(outcome: &Outcome, stream: &[Arrival], from: usize, to: usize) -> Figures {
    let own: Vec<&Answered> = (outcome.answered.iter())
        .filter(|a| (from..to).contains(&a.index))
        .collect();
    let count = own.len().max(1) as f64;
    let percentiles = |value: fn(&Answered) -> u64| {
        let mut values: Vec<_> = own.iter().map(|a| value(a)).collect();
        values.sort_unstable();
        let at = |share: f64| {
            let place = (values.len() as f64 * share) as usize;
            values.get(place).copied().unwrap_or(0)
        };
        (at(0.5), at(0.99))
    };
    let good = own.iter().filter(|a| a.quality >= a.target).count();
    let in_time = |a: &&&Answered| {
        let arrival = &stream[a.index];
        a.end_ms <= arrival.ask.deadline.since(arrival.at).as_millis()
    };
    Figures {
        in_time: own.iter().filter(in_time).count() as f64 / stream[from..to].len().max(1) as f64,
        at_target: good as f64 / count,
        cost: own.iter().map(|a| a.cost).sum::<f64>() / count,
        first: percentiles(|a| a.first_ms),
        end: percentiles(|a| a.end_ms),
    }
}

impl Figures {
    fn print(&self, name: &str) {
        println!(
            "| {name} | {:.3} | {:.3} | {:.0} | {} / {} | {} / {} |",
            self.in_time,
            self.at_target,
            self.cost,
            self.first.0,
            self.first.1,
            self.end.0,
            self.end.1
        );
    }
}

const HEAD: &str = "answered in time | share at target | cost | first token p50 / p99 ms | end p50 / p99 ms |\n|---|---|---|---|---|---|";

fn planners(world: &World) -> [(&'static str, Box<dyn Planner>); 4] {
    let truth: Box<dyn GroundTruth> = Box::new(world.clone());
    [
        ("masticlock", Box::new(Adaptive::new())),
        ("oracle", Box::new(Oracle::new(truth))),
        ("always best", Box::new(Fixed::new(Rule::HighestQuality))),
        ("least loaded", Box::new(Fixed::new(Rule::LeastLoaded))),
    ]
}

/// Measures service under load and over an outage.
pub fn measure(report: &mut Report, deployment: Deployment, seed: u64) {
    let world = World::new(deployment, seed);
    let capacity = capacity(&world);
    println!(
        "\nLoad, in parts of {capacity:.1} requests/s, the rate at which the oracle's plans fill a model's engines:\n"
    );
    println!("| planner and load | {HEAD}");
    for load in LOADS {
        let stream = world.stream(REQUESTS, capacity * load);
        for (name, mut planner) in planners(&world) {
            let outcome = sim::run(&world, &Scenario::default(), &stream, planner.as_mut());
            figures(&outcome, &stream, WARM_UP, REQUESTS)
                .print(&format!("{name}, {:.0}%", load * 100.0));
        }
    }
    outage(report, &world, capacity);
}

#[expect(clippy::cast_precision_loss, clippy::cast_possible_truncation)]
#[expect(clippy::cast_sign_loss)]
fn outage(report: &mut Report, world: &World, capacity: f64) {
    let stream = world.stream(REQUESTS, capacity * OUTAGE_LOAD);
    let place = |part: f64| (REQUESTS as f64 * part) as usize;
    let (from, to) = (place(OUTAGE.0), place(OUTAGE.1));
    let time = |index: usize| stream.get(index).map_or(Time::ZERO, |a| a.at);
    let scenario = Scenario {
        outage: Some((0, time(from), time(to))),
        ..Scenario::default()
    };
    let domain = &world.config.inventory.domains[0].name;
    println!(
        "\nFailure domain {domain} leaves and returns at {:.0}% load:\n",
        OUTAGE_LOAD * 100.0
    );
    println!("| planner and time | {HEAD}");
    let mut ours = Vec::new();
    for (name, mut planner) in planners(world) {
        let outcome = sim::run(world, &scenario, &stream, planner.as_mut());
        for (phase, from, to) in [
            ("before", WARM_UP, from),
            ("during", from, to),
            ("after", to, REQUESTS),
        ] {
            let figures = figures(&outcome, &stream, from, to);
            figures.print(&format!("{name}, {phase}"));
            if name == "masticlock" {
                ours.push(figures.at_target);
            }
        }
    }
    println!();
    if let [before, during, after] = ours[..] {
        let deployment = world.deployment;
        // A twentieth allows for the plans that are still being learned.
        let bound = ((before - 0.05) * 1_000.0).round() / 1_000.0;
        for (phase, share) in [("during", during), ("after", after)] {
            report.at_least(
                &format!(
                    "{deployment}: share at target {phase} the outage, against {before:.3} before"
                ),
                bound,
                (share * 1_000.0).round() / 1_000.0,
            );
        }
    }
}
