//! The decisions about plans and versions over a modelled deployment.
//!
//! The model has engines with true quality, cost, time and slots, delayed and
//! partial ratings, and load reports that lag. It models the interfaces of the
//! decision code, not a cluster.

use std::process::ExitCode;

use crate::report::Report;

mod cost;
mod exposure;
mod load;
mod pools;
mod sim;
mod world;

pub use world::Deployment;

/// Measures the decisions, for one deployment or both.
pub fn run(deployment: Option<Deployment>, seed: u64) -> ExitCode {
    let mut report = Report::begin("policy", seed);
    for each in [Deployment::PindanCrown, Deployment::CascadeLoomworks] {
        if deployment.is_none_or(|d| d == each) {
            println!("\n## {each}");
            cost::measure(&mut report, each, seed);
            load::measure(&mut report, each, seed);
            exposure::measure(&mut report, each, seed);
        }
    }
    report.finish()
}
