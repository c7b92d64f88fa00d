//! State, messages, processor time and memory per role at the design size,
//! computed from slopes that are measured here with the real code.
//!
//! Bytes are those of JSON plus [`meter::ENVELOPE`] for each message, in both
//! directions. Processor time includes writing and reading JSON, and leaves
//! out HTTP and the kernel.

use std::process::ExitCode;

use crate::report::Report;

mod evidence;
mod feed;
mod limits;
mod log;
mod membership;
mod meter;
mod plan;
mod request;
mod role;
mod world;

/// Measures the slopes, computes each role and compares it with its budget.
pub fn run(seed: u64) -> ExitCode {
    let mut report = Report::begin("capacity", seed);
    let memory = role::Memory::measure(seed);
    let slopes = role::Slopes {
        memory,
        membership: membership::measure(seed),
        feed: feed::measure(),
        evidence: evidence::measure(seed),
        request: request::measure(),
        log: log::measure(seed),
        plan: plan::measure(),
    };
    limits::print();
    role::compare(&slopes, &mut report);
    report.finish()
}
