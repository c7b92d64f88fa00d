//! Measurements of masticlock, one subcommand per subject.
//!
//! Each run prints its seed and, for every target, bound and figure. It exits
//! with 1 when a target is missed.

use std::process::ExitCode;

use bpaf::Bpaf;

mod capacity;
mod control;
mod log;
mod path;
mod policy;
mod protect;
mod report;
mod table;

/// Measures masticlock.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Subject {
    /// Prints the table from error kind to answer.
    #[bpaf(command)]
    Errors,
    /// Measures the replicated log.
    #[bpaf(command)]
    Log {
        /// Seed of the election timeouts
        #[bpaf(fallback(1), display_fallback)]
        seed: u64,
    },
    /// Measures the control plane: changes, elections, cuts, restarts and idle cost.
    #[bpaf(command)]
    Control {
        /// Seed, printed with the run; the changes and faults are the same for every seed
        #[bpaf(fallback(1), display_fallback)]
        seed: u64,
        /// Changes of each part
        #[bpaf(fallback(500), display_fallback)]
        changes: usize,
        /// Seconds of the idle part
        #[bpaf(fallback(20), display_fallback)]
        idle: u64,
    },
    /// Computes load per role at the design size from slopes measured here.
    #[bpaf(command)]
    Capacity {
        /// Seed of the gossip, the evidence and the election timeouts
        #[bpaf(fallback(1), display_fallback)]
        seed: u64,
    },
    /// Measures the request path of one entry instance.
    #[bpaf(command)]
    Path {
        /// Seconds of each turn
        #[bpaf(fallback(5), display_fallback)]
        seconds: u64,
        /// Seed of the arrival times
        #[bpaf(fallback(1), display_fallback)]
        seed: u64,
    },
    /// Measures overload, cold restarts, and the loss and take-out of a failure domain.
    #[bpaf(command)]
    Protect {
        /// Seed of the load and the network
        #[bpaf(fallback(1), display_fallback)]
        seed: u64,
    },
    /// Measures cost, quality and rollouts of the decision code.
    #[bpaf(command)]
    Policy {
        /// The deployment to model: pindan-crown or cascade-loomworks. Without it, both
        #[bpaf(argument("NAME"))]
        deployment: Option<policy::Deployment>,
        /// The table to measure: cost, load or rollouts. Without it, all
        #[bpaf(argument("NAME"))]
        table: Option<policy::Table>,
        /// Seed of all draws
        #[bpaf(argument("N"), fallback(1), display_fallback)]
        seed: u64,
    },
}

fn main() -> ExitCode {
    match subject().run() {
        Subject::Errors => table::run(),
        Subject::Log { seed } => log::run(seed),
        Subject::Control {
            seed,
            changes,
            idle,
        } => control::run(seed, changes, idle),
        Subject::Capacity { seed } => capacity::run(seed),
        Subject::Path { seconds, seed } => path::run(seconds, seed),
        Subject::Protect { seed } => protect::run(seed),
        Subject::Policy {
            deployment,
            table,
            seed,
        } => policy::run(deployment, table, seed),
    }
}
