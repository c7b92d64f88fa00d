//! Processes and command line of the router.
//!
//! The decisions are in [`masticlock_core`]; this crate does their input and
//! output.

pub mod client;
pub mod clock;
pub mod control;
pub mod disk;
pub mod feed;
pub mod logging;
pub mod port;
pub mod rpc;
