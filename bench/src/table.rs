//! The table from error kind to answer, as `docs/callers.md` has it.

use std::process::ExitCode;

use masticlock_core::error::{Execution, Kind};

use crate::report::Report;

/// Prints the table and checks that statuses mean failure and codes differ.
pub fn run() -> ExitCode {
    let mut report = Report::begin("errors", 0);
    println!("| code | status | ran | repeat is safe |\n|---|---|---|---|");
    for kind in Kind::ALL {
        let answer = kind.response();
        let ran = match answer.execution {
            Execution::NotRun => "not run",
            Execution::Unknown => "unknown",
            Execution::Ran => "ran",
        };
        println!(
            "| `{}` | {} | {ran} | {} |",
            answer.code, answer.status, answer.repeat_safe
        );
    }
    let success = Kind::ALL
        .iter()
        .filter(|k| k.response().status < 400)
        .count();
    report.at_most("error kinds with a status of success", 0, success);
    let mut codes: Vec<_> = Kind::ALL.iter().map(|k| k.response().code).collect();
    codes.sort_unstable();
    codes.dedup();
    report.at_least("distinct codes", Kind::ALL.len(), codes.len());
    report.finish()
}
