//! Interface of the planner that chooses the versions a request runs on.

use serde::{Deserialize, Serialize};

use crate::{
    config, error, evidence, name, request,
    time::{Span, Time},
};

/// Engine confidence below which the answer of a cascade's first step is escalated.
pub const ESCALATION_THRESHOLD: f64 = 0.5;

plain! {
    /// A single version, or a cascade of versions in order of rising cost.
    pub struct Plan {
        /// Versions in the order in which they run.
        pub steps: Vec<name::Version>,
        /// Expected cost in millionths of the accounting unit.
        pub cost: f64,
        /// Predicted quality from 0 to 1.
        pub quality: f64,
        /// Predicted milliseconds until the answer is complete.
        pub millis: f64,
        /// Whether the plan was chosen to explore its versions.
        pub explores: bool,
        /// The rollout comparison arm that its evidence counts for.
        #[serde(default)]
        pub arm: evidence::Arm,
    }

    /// A plan that was considered, as reported by `masticlock explain`.
    pub struct ConsideredPlan {
        /// The plan.
        pub plan: Plan,
        /// Why it was chosen or not.
        pub verdict: Verdict,
    }
}

/// Why a plan was chosen or not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The plan was chosen.
    Chosen,
    /// Predicted quality is below the target.
    Quality,
    /// The plan is predicted to end after the deadline.
    Deadline,
    /// No upstream slot is available.
    Full,
    /// Another plan costs less.
    Cost,
}

/// Slots of the upstreams that serve a version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Free slots in the instance's own failure domain.
    pub local_free: u32,
    /// Free slots in other failure domains that may be used.
    pub remote_free: u32,
    /// All slots of the upstreams that serve the version.
    pub total: u32,
}

/// Hint that an engine has a prefix of the prompt in its cache.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CachedPrefix {
    /// Fraction of the prompt's tokens in the prefix, from 0 to 1.
    pub share: f64,
    /// When the engine last reported or served the prefix.
    pub reported_at: Time,
}

/// Reports free slots and cached prefixes of the upstreams.
pub trait Availability {
    /// Returns the slots of the upstreams that serve a version.
    fn capacity(&self, version: &name::Version) -> Capacity;

    /// Returns the prefix of the prompt that engines of the version presumably have cached.
    fn cached_prefix(
        &self,
        _version: &name::Version,
        _model_request: &request::ModelRequest,
    ) -> Option<CachedPrefix> {
        None
    }
}

/// State that a plan is chosen from.
pub struct Context<'a> {
    /// The configuration in force.
    pub config: &'a config::Config,
    /// Source of free slots and cached prefixes.
    pub availability: &'a dyn Availability,
    /// How long ago the configuration lease ended; `None` while it is valid.
    pub cut_off: Option<Span>,
    /// The current time.
    pub now: Time,
}

/// Chooses plans.
pub trait Planner: Send {
    /// Chooses the plan of a request and lists the plans that were considered.
    ///
    /// # Errors
    ///
    /// Returns an error marked as not run if no plan is allowed and feasible.
    fn plan(
        &mut self,
        model_request: &request::ModelRequest,
        context: &Context<'_>,
    ) -> Result<(Plan, Vec<ConsideredPlan>), error::Error>;

    /// Updates predictions from evidence. Calling it about once a second keeps them up to date.
    fn learn(&mut self, _pool: &evidence::Pool, _config: &config::Config) {}
}
