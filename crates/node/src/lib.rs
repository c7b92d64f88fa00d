//! Processes and command line of the router.
//!
//! The decisions are in [`masticlock_core`]; this crate does their input and
//! output.

pub mod entry;
pub mod fake;
pub mod local;
pub mod port;
