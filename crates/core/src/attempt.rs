//! Steps of one request: planned, slot, claimed, sent, first byte, streaming,
//! answered, recorded and billed.
//!
//! [`Machine`] takes an [`Event`] and returns the [`Action`]s to carry out. It
//! keeps these invariants:
//!
//! - A call that must not be repeated is sent at most once.
//! - A refusal says "not run" only if no upstream began to work.
//! - A stream reaches the caller without gaps and without duplicates.
//! - Each request is settled by exactly one bill.
//! - Nothing is sent after the deadline.

mod event;
mod machine;
mod receive;
mod retry;

pub use event::{Action, Event, Fault, Limits, Request, Safety, Step, Usage, Work};
pub use machine::Machine;
