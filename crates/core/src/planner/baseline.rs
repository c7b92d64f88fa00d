//! Reference planners for benchmarks of the adaptive planner.

use crate::{
    error,
    estimate::Normal,
    evidence, name,
    policy::{ConsideredPlan, Context, Plan, Planner, Verdict},
    request::ModelRequest,
};

use super::{
    Adaptive, RequestContext, assignment,
    candidate::{self, Candidate},
    overload_error,
};

/// Rule by which [`Fixed`] selects a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// The version with the highest prior quality.
    HighestQuality,
    /// The version with the lowest cost.
    Cheapest,
    /// Fixed shares of requests by order of cost; see [`SPLIT_SHARES`].
    Split,
    /// The version with the largest fraction of free slots.
    LeastLoaded,
}

/// Shares of [`Rule::Split`] in order of rising cost; the last one covers the remaining requests.
pub const SPLIT_SHARES: [f64; 3] = [0.4, 0.3, 0.3];

/// Selects single versions by a fixed rule and ignores quality targets and deadlines.
#[derive(Debug)]
pub struct Fixed {
    rule: Rule,
    planner: Adaptive,
}

impl Fixed {
    /// Returns a planner that follows `rule`.
    #[must_use]
    pub fn new(rule: Rule) -> Self {
        Self {
            rule,
            planner: Adaptive::new(),
        }
    }

    fn select_candidate(&self, request: &RequestContext<'_>) -> usize {
        let candidates = &self.planner.candidates;
        let index_of_max = |value: &dyn Fn(&Candidate) -> f64| {
            (0..candidates.len())
                .max_by(|a, b| value(&candidates[*a]).total_cmp(&value(&candidates[*b])))
                .unwrap_or(0)
        };
        match self.rule {
            Rule::HighestQuality => {
                index_of_max(&|c| request.version(c.first_version()).prior_quality)
            }
            Rule::Cheapest => index_of_max(&|c| -c.cost),
            Rule::LeastLoaded => index_of_max(&|c| request.free_share(c.first_version())),
            Rule::Split => {
                let fraction =
                    assignment::hash_fraction("split", request.model_request.id.as_str());
                let mut upper_bound = 0.0;
                let index = SPLIT_SHARES.iter().position(|share| {
                    upper_bound += share;
                    fraction < upper_bound
                });
                index
                    .unwrap_or(SPLIT_SHARES.len() - 1)
                    .min(candidates.len() - 1)
            }
        }
    }
}

impl Planner for Fixed {
    fn plan(
        &mut self,
        model_request: &ModelRequest,
        context: &Context<'_>,
    ) -> Result<(Plan, Vec<ConsideredPlan>), error::Error> {
        self.planner.sync_config(context.config);
        let request = RequestContext::new(model_request, context)?;
        if let Some(version) = request.pinned_version(&self.planner)? {
            return self.planner.plan_for_session(&request, version);
        }
        self.planner.collect_candidates(&request)?;
        self.planner.candidates.retain(|c| !c.is_cascade());
        self.planner
            .candidates
            .sort_unstable_by(|a, b| a.cost.total_cmp(&b.cost));
        let candidate = &self.planner.candidates[self.select_candidate(&request)];
        if candidate.no_upstream {
            return Err(overload_error(candidate));
        }
        Ok(chosen_only(candidate.plan(&request)))
    }
}

/// True qualities of plans, which only a simulation knows.
pub trait GroundTruth: Send {
    /// Returns the true quality of a plan on a request and the probability that its second step runs.
    fn outcome(&self, steps: &[name::Version], model_request: &ModelRequest) -> (f64, f64);
}

/// Chooses the cheapest plan by true quality; otherwise identical to [`Adaptive`].
pub struct Oracle {
    truth: Box<dyn GroundTruth>,
    planner: Adaptive,
}

impl Oracle {
    /// Returns a planner with access to the true qualities.
    #[must_use]
    pub fn new(truth: Box<dyn GroundTruth>) -> Self {
        Self {
            truth,
            planner: Adaptive::new(),
        }
    }
}

impl Planner for Oracle {
    fn plan(
        &mut self,
        model_request: &ModelRequest,
        context: &Context<'_>,
    ) -> Result<(Plan, Vec<ConsideredPlan>), error::Error> {
        self.planner.sync_config(context.config);
        let request = RequestContext::new(model_request, context)?;
        if let Some(version) = request.pinned_version(&self.planner)? {
            return self.planner.plan_for_session(&request, version);
        }
        self.planner.collect_candidates(&request)?;
        let mut candidates = std::mem::take(&mut self.planner.candidates);
        for candidate in &mut candidates {
            let plan = candidate.plan(&request);
            let (quality, escalation) = self.truth.outcome(&plan.steps, model_request);
            candidate.quality = Normal::new(quality, 0.0);
            candidate.quality_bound = quality;
            candidate::set_escalation(candidate, &self.planner, &request, escalation);
        }
        self.planner.candidates = candidates;
        let selected = self.planner.select(&request)?;
        Ok(chosen_only(
            self.planner.candidates[selected].plan(&request),
        ))
    }

    /// Updates predicted latencies; true qualities need no evidence.
    fn learn(&mut self, pool: &evidence::Pool, config: &crate::config::Config) {
        self.planner.learn(pool, config);
    }
}

fn chosen_only(plan: Plan) -> (Plan, Vec<ConsideredPlan>) {
    let considered = ConsideredPlan {
        plan: plan.clone(),
        verdict: Verdict::Chosen,
    };
    (plan, vec![considered])
}
