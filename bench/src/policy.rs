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

/// A part of the measurements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Table {
    /// Cost and quality against the baselines.
    Cost,
    /// Load and a failure domain that leaves and returns.
    Load,
    /// Bad and good versions in rollouts.
    Rollouts,
}

impl std::str::FromStr for Table {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "cost" => Ok(Self::Cost),
            "load" => Ok(Self::Load),
            "rollouts" => Ok(Self::Rollouts),
            _ => Err("accepted are cost, load and rollouts".to_owned()),
        }
    }
}

/// Measures the decisions, for one deployment or both, in one table or all.
pub fn run(deployment: Option<Deployment>, table: Option<Table>, seed: u64) -> ExitCode {
    let mut report = Report::begin("policy", seed);
    let asked = |t| table.is_none_or(|asked| asked == t);
    for each in [Deployment::PindanCrown, Deployment::CascadeLoomworks] {
        if deployment.is_some_and(|d| d != each) {
            continue;
        }
        println!("\n## {each}");
        if asked(Table::Cost) {
            cost::measure(&mut report, each, seed);
        }
        if asked(Table::Load) {
            load::measure(&mut report, each, seed);
        }
        if asked(Table::Rollouts) {
            exposure::measure(&mut report, each, seed);
        }
    }
    report.finish()
}
