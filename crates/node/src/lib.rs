//! Processes and command line of the router.
//!
//! The decisions are in [`masticlock_core`]; this crate does their input and
//! output.

pub mod cli;
pub mod client;
pub mod clock;
pub mod control;
pub mod disk;
pub mod entry;
pub mod evidence;
pub mod explain;
pub mod fake;
pub mod feed;
pub mod gateway;
pub mod instance;
pub mod journal;
pub mod local;
pub mod logging;
pub mod peer;
pub mod port;
pub mod rpc;
pub mod story;
