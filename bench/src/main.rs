//! Measurements of masticlock, one subcommand per subject.
//!
//! Each run prints its seed and, for every target, bound and figure. It exits
//! with 1 when a target is missed.

use std::process::ExitCode;

use bpaf::Bpaf;

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
    /// Measures overload, cold restarts and the loss of a failure domain.
    #[bpaf(command)]
    Protect {
        /// Seed of the load and the network
        #[bpaf(argument("SEED"), fallback(1))]
        seed: u64,
    },
}

fn main() -> ExitCode {
    match subject().run() {
        Subject::Errors => table::run(),
        Subject::Protect { seed } => protect::run(seed),
    }
}
