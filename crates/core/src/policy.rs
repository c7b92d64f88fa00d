//! The choice of a plan for a request.

use serde::{Deserialize, Serialize};

use crate::{
    config, error, evidence, name, request,
    time::{Span, Time},
};

/// Confidence of an engine below which the answer of a cascade's first step is not kept.
pub const ESCALATION_THRESHOLD: f64 = 0.5;

plain! {
    /// A plan: one version, or a cascade of versions from cheap to dear.
    pub struct Plan {
        /// Versions in the order in which they are tried.
        pub steps: Vec<name::Version>,
        /// Expected cost in millionths of the accounting unit.
        pub cost: f64,
        /// Predicted quality from 0 to 1.
        pub quality: f64,
        /// Predicted time to the end in milliseconds.
        pub millis: f64,
        /// Whether it was taken to learn about its version.
        pub explores: bool,
        /// The side of a comparison that its evidence counts for.
        #[serde(default)]
        pub arm: evidence::Arm,
    }

    /// A plan that was considered, for `masticlock explain`.
    pub struct ConsideredPlan {
        /// The plan.
        pub plan: Plan,
        /// Why it was taken or not.
        pub verdict: Verdict,
    }
}

/// Why a plan was taken or not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// Taken.
    Chosen,
    /// Predicted quality is below the target.
    Quality,
    /// Predicted time passes the deadline.
    Deadline,
    /// No slot can be had.
    Full,
    /// Another plan costs less.
    Cost,
}

/// What is free to run a version on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Free slots in the instance's own failure domain.
    pub local_free: u32,
    /// Free slots in other failure domains that may be used.
    pub remote_free: u32,
    /// All slots of the upstreams that serve the version.
    pub total: u32,
}

/// A hint that engines hold the start of a prompt in their cache.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CachedPrefix {
    /// Share of the prompt's tokens, from 0 to 1.
    pub share: f64,
    /// When the engine last reported or served it.
    pub reported_at: Time,
}

/// Reports what is free.
pub trait Availability {
    /// Returns the room for a version.
    fn capacity(&self, version: &name::Version) -> Capacity;

    /// Returns what engines of the version are thought to hold of the prompt.
    fn cached_prefix(
        &self,
        _version: &name::Version,
        _ask: &request::ModelRequest,
    ) -> Option<CachedPrefix> {
        None
    }
}

/// What a choice is made from.
pub struct Context<'a> {
    /// The configuration in force.
    pub config: &'a config::Config,
    /// Free slots.
    pub availability: &'a dyn Availability,
    /// How long ago the configuration lease ended; `None` while it is valid.
    pub cut_off: Option<Span>,
    /// The current time.
    pub now: Time,
}

/// Chooses plans.
pub trait Planner: Send {
    /// Chooses the plan of a request and lists what was considered.
    ///
    /// # Errors
    ///
    /// Returns an error that says "not run" if no plan may be taken.
    fn plan(
        &mut self,
        ask: &request::ModelRequest,
        context: &Context<'_>,
    ) -> Result<(Plan, Vec<ConsideredPlan>), error::Error>;

    /// Takes in evidence. Calls every second or so keep predictions fresh.
    fn learn(&mut self, _pool: &evidence::Pool, _config: &config::Config) {}
}
