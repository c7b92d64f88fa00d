//! Processes and command line of the router.
//!
//! The decisions are in [`masticlock_core`]; this crate does their input and
//! output.

pub mod client;
pub mod disk;
pub mod port;
pub mod rpc;
