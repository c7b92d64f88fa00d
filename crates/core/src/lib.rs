//! Decision logic of the masticlock router as deterministic state machines without I/O.
//!
//! Every module takes a state, an event and the current [`time::Time`] and
//! returns the next state and the actions to carry out. Nothing in this crate
//! opens a socket, reads a clock or draws an unseeded random number, so a test
//! can inject any fault at any step.
//!
//! ```
//! use masticlock_core::{error, name};
//!
//! let version = name::Version::try_from("advisor-7b@3").unwrap();
//! assert_eq!(version.as_str(), "advisor-7b@3");
//! assert!(error::Kind::Overloaded.response().execution.is_not_run());
//! ```

#[macro_use]
mod plain;

pub mod answer;
pub mod attempt;
pub mod budget;
pub mod canary;
pub mod cascade;
pub mod claim;
pub mod command;
pub mod config;
pub mod consensus;
pub mod currency;
pub mod delta;
pub mod digest;
pub mod directory;
pub mod error;
pub mod estimate;
pub mod evidence;
pub mod fault;
pub mod feed;
pub mod fleet;
pub mod forecast;
pub mod gossip;
pub mod inventory;
pub mod ledger;
pub mod limit;
pub mod lint;
pub mod machine;
pub mod memory;
pub mod name;
pub mod notice;
pub mod order;
pub mod pace;
pub mod pick;
pub mod placement;
pub mod planner;
pub mod policy;
pub mod prompt_cache;
pub mod reach;
pub mod replicated;
pub mod report;
pub mod request;
pub mod retry_after;
pub mod retry_budget;
pub mod rollout;
pub mod route;
pub mod run;
pub mod session;
pub mod settings;
pub mod slot;
pub mod storage;
pub mod suspect;
pub mod time;
pub mod timeline;
pub mod transfer;
pub mod waiting;
