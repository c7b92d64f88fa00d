//! Measurements of masticlock, one subcommand per subject.
//!
//! Each run prints its seed and, for every target, bound and figure. It exits
//! with 1 when a target is missed.

use std::process::ExitCode;

use bpaf::Bpaf;

mod control;
mod path;
mod report;
mod table;

/// Measures masticlock.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Subject {
    /// Prints the table from error kind to answer.
    #[bpaf(command)]
    Errors,
    /// Measures the request path of one entry instance.
    #[bpaf(command)]
    Path {
        /// Seconds of each turn
        #[bpaf(fallback(5))]
        seconds: u64,
        /// Seed of the arrival times
        #[bpaf(fallback(1))]
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
}

fn main() -> ExitCode {
    match subject().run() {
        Subject::Errors => table::run(),
        Subject::Path { seconds, seed } => path::run(seconds, seed),
        Subject::Control {
            seed,
            changes,
            idle,
        } => control::run(seed, changes, idle),
    }
}
