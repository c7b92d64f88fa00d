//! State machine of one request: plan, slot, claim, send, first byte, stream,
//! answer, claim record and bill.
//!
//! [`Machine`] takes an [`Event`] and returns the [`Action`]s to carry out. It
//! maintains these invariants:
//!
//! - A call that must not be repeated is sent at most once.
//! - An error says "not run" only if no upstream began to work.
//! - A stream reaches the caller without gaps and without duplicates.
//! - Each request is settled by exactly one bill.
//! - Nothing is sent after the deadline.

mod event;
mod machine;
mod receive;
mod retry;

pub use event::{Action, Event, Fault, Limits, Request, Safety, Step, Usage, Work};
pub use machine::Machine;
