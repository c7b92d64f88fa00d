//! Upstreams and the rating service for tests, benches and the quickstart.
//!
//! Each serves its published protocol on a loopback port and has switches for
//! its faults.

mod announcer;
mod deployment;
mod engine;
mod line;
mod rating;
mod service;
mod upstream;

pub use announcer::Announcer;
pub use deployment::{Deployment, KEY, Plan, rules, settings};
pub use engine::{Engine, Mode, Profile, Record, text_of};
pub use line::Line;
pub use rating::Rating;
pub use service::{Conduct, Service};
pub use upstream::Upstream;
