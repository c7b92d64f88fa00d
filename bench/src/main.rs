//! Measurements of masticlock, one subcommand per subject.
//!
//! Each run prints its seed and, for every target, bound and figure. It exits
//! with 1 when a target is missed.

use std::process::ExitCode;

use bpaf::Bpaf;

mod log;
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
        /// Seed of the election timeouts.
        #[bpaf(fallback(1), display_fallback)]
        seed: u64,
    },
}

fn main() -> ExitCode {
    match subject().run() {
        Subject::Errors => table::run(),
        Subject::Log { seed } => log::run(seed),
    }
}
