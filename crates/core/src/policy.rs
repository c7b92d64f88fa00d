//! The choice of a plan for a request.

use serde::{Deserialize, Serialize};

use crate::{
    config, error, evidence, name, request,
    time::{Span, Time},
};

/// Confidence of an engine below which the answer of a cascade's first step is not kept.
pub const ESCALATE_BELOW: f64 = 0.5;

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
    pub struct Considered {
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
pub struct Room {
    /// Free slots in the instance's own failure domain.
    pub near: u32,
    /// Free slots in other failure domains that may be used.
    pub far: u32,
    /// All slots of the upstreams that serve the version.
    pub total: u32,
}

/// A hint that engines hold the start of a prompt in their cache.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Warmth {
    /// Share of the prompt's tokens, from 0 to 1.
    pub share: f64,
    /// When the engine last reported or served it.
    pub at: Time,
}

/// Reports what is free.
pub trait Supply {
    /// Returns the room for a version.
    fn room(&self, version: &name::Version) -> Room;

    /// Returns what engines of the version are thought to hold of the prompt.
    fn warmth(&self, _version: &name::Version, _ask: &request::ModelRequest) -> Option<Warmth> {
        None
    }
}

/// What a choice is made from.
pub struct View<'a> {
    /// The configuration in force.
    pub config: &'a config::Config,
    /// Free slots.
    pub supply: &'a dyn Supply,
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
        view: &View<'_>,
    ) -> Result<(Plan, Vec<Considered>), error::Error>;

    /// Takes in evidence. Calls every second or so keep predictions fresh.
    fn learn(&mut self, _pool: &evidence::Pool, _config: &config::Config) {}
}
