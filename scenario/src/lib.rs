//! Scripted failure scenarios in a small, line-based test language.
//!
//! ```
//! let script = masticlock_scenario::syntax::parse(
//!     "seed 7\nat 2s crash carnarvon-1\nat 9s expect one leader\n",
//! )
//! .unwrap();
//! assert_eq!(script.steps.len(), 2);
//! ```

pub mod brittle;
pub mod crash;
pub mod fan_out;
pub mod invariant;
pub mod limit;
pub mod matrix;
pub mod run;
pub mod script;
pub mod syntax;
pub mod world;
