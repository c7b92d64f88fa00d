//! Candidate plans, represented by inventory indices so that evaluating one doesn't allocate.

use crate::{
    estimate::Normal,
    evidence::Arm,
    inventory,
    policy::{Plan, Verdict},
    time::Span,
};

use super::{Adaptive, RequestContext};

/// Fraction of a prompt token's cost that is saved when it is cached.
const CACHED_TOKEN_SAVING: f64 = 0.5;

/// Half-life of a hint that a prefix is cached.
const CACHE_HINT_HALF_LIFE: Span = Span::from_secs(30);

/// A plan of one or two versions, given by their indices in the inventory.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    first: usize,
    second: Option<usize>,
    /// Expected cost.
    pub cost: f64,
    /// Predicted quality.
    pub quality: Normal,
    /// Lower confidence bound of the predicted quality.
    pub quality_bound: f64,
    /// Expected milliseconds until the answer is complete.
    pub expected_ms: f64,
    /// Milliseconds until the answer is complete if all steps run and first tokens take their 90th percentile.
    pessimistic_ms: f64,
    /// Whether the upstreams of a step have no free slot.
    pub full: bool,
    /// Whether a step has no upstream.
    pub no_upstream: bool,
}

/// Returns the plan that runs only the version at `index`.
#[expect(clippy::cast_precision_loss)]
pub fn single(planner: &Adaptive, request: &RequestContext<'_>, index: usize) -> Candidate {
    let version = &request.context.config.inventory.versions[index];
    let estimates = &planner.estimates;
    let (task, size) = (
        estimates.task_index(&request.model_request.task),
        request.model_request.size(),
    );
    let prediction = estimates.prediction(index, task, size);
    let tokens = estimates.answer_tokens(task, size, request.model_request.answer_tokens);
    let capacity = request.context.availability.capacity(&version.name);
    let local_only = !request.rule.spill || request.context.cut_off.is_some();
    let free = capacity.local_free + if local_only { 0 } else { capacity.remote_free };
    let prompt = f64::from(request.model_request.prompt_tokens)
        * (1.0 - CACHED_TOKEN_SAVING * request.cached_share(index));
    Candidate {
        first: index,
        second: None,
        cost: (prompt * version.prompt_cost as f64 + tokens * version.answer_cost as f64) / 1_000.0,
        quality: prediction.alone_quality,
        quality_bound: prediction
            .alone_quality
            .lower_bound(planner.lower_bound_deviations),
        expected_ms: prediction.first_token_ms + prediction.inter_token_ms * tokens,
        pessimistic_ms: prediction.first_token_p90_ms + prediction.inter_token_ms * tokens,
        full: free == 0,
        no_upstream: capacity.total == 0,
    }
}

/// Returns the cascade that runs `second` when the answer of `first` is escalated.
pub fn cascade(
    planner: &Adaptive,
    request: &RequestContext<'_>,
    first: &Candidate,
    second: &Candidate,
) -> Candidate {
    let estimates = &planner.estimates;
    let (task, size) = (
        estimates.task_index(&request.model_request.task),
        request.model_request.size(),
    );
    let first_prediction = estimates.prediction(first.first, task, size);
    let second_prediction = estimates.prediction(second.first, task, size);
    let (kept_probability, escalation_probability) = (
        1.0 - first_prediction.escalation_probability,
        first_prediction.escalation_probability,
    );
    let quality = Normal::new(
        kept_probability * first_prediction.kept_quality.mean
            + escalation_probability * second_prediction.second_step_quality.mean,
        kept_probability * kept_probability * first_prediction.kept_quality.variance
            + escalation_probability
                * escalation_probability
                * second_prediction.second_step_quality.variance,
    );
    Candidate {
        first: first.first,
        second: Some(second.first),
        cost: first.cost + escalation_probability * second.cost,
        quality,
        quality_bound: quality.lower_bound(planner.lower_bound_deviations),
        expected_ms: first.expected_ms + escalation_probability * second.expected_ms,
        pessimistic_ms: first.pessimistic_ms + second.pessimistic_ms,
        full: first.full || second.full,
        no_upstream: first.no_upstream || second.no_upstream,
    }
}

/// Recomputes a cascade's expected cost and time for a known probability of escalation.
pub fn set_escalation(
    candidate: &mut Candidate,
    planner: &Adaptive,
    request: &RequestContext<'_>,
    escalation: f64,
) {
    if let Some(second) = candidate.second {
        let first = single(planner, request, candidate.first);
        let second = single(planner, request, second);
        candidate.cost = first.cost + escalation * second.cost;
        candidate.expected_ms = first.expected_ms + escalation * second.expected_ms;
    }
}

impl RequestContext<'_> {
    /// Returns the version at `index` in the inventory.
    pub fn version(&self, index: usize) -> &inventory::Version {
        &self.context.config.inventory.versions[index]
    }

    /// Returns the fraction of the version's slots that are free.
    pub fn free_share(&self, index: usize) -> f64 {
        let capacity = self
            .context
            .availability
            .capacity(&self.version(index).name);
        f64::from(capacity.local_free + capacity.remote_free) / f64::from(capacity.total.max(1))
    }

    /// Returns the fraction of the prompt that is presumably cached, weighted by the age of the hint.
    #[expect(clippy::cast_precision_loss)]
    fn cached_share(&self, index: usize) -> f64 {
        let version = &self.context.config.inventory.versions[index].name;
        let Some(hint) = self
            .context
            .availability
            .cached_prefix(version, self.model_request)
        else {
            return 0.0;
        };
        let age = self.context.now.since(hint.reported_at).as_millis() as f64;
        hint.share.clamp(0.0, 1.0) * (-age / CACHE_HINT_HALF_LIFE.as_millis() as f64).exp2()
    }
}

impl Candidate {
    /// Returns the index of the first version.
    pub const fn first_version(&self) -> usize {
        self.first
    }

    /// Returns whether the plan has a second step.
    pub const fn is_cascade(&self) -> bool {
        self.second.is_some()
    }

    /// Returns whether the lower quality bound reaches the target.
    pub fn meets_target(&self, request: &RequestContext<'_>) -> bool {
        self.quality_bound >= request.model_request.quality
    }

    /// Returns whether the plan is predicted to end before the deadline even if all steps run.
    pub fn meets_deadline(&self, request: &RequestContext<'_>) -> bool {
        self.pessimistic_ms <= request.remaining_ms
    }

    /// Returns why the plan was not chosen; `cheaper` means it comes before the chosen one by cost.
    pub fn verdict(&self, request: &RequestContext<'_>, cheaper: bool) -> Verdict {
        if !self.meets_target(request) {
            Verdict::Quality
        } else if !self.meets_deadline(request) {
            Verdict::Deadline
        } else if cheaper || self.full || self.no_upstream {
            Verdict::Full
        } else {
            Verdict::Cost
        }
    }

    /// Returns the plan with the names of its versions.
    pub fn plan(&self, request: &RequestContext<'_>) -> Plan {
        let versions = &request.context.config.inventory.versions;
        let steps = [Some(self.first), self.second];
        Plan {
            steps: (steps.into_iter().flatten())
                .map(|index| versions[index].name.clone())
                .collect(),
            cost: self.cost,
            quality: self.quality.mean,
            millis: self.expected_ms,
            explores: false,
            arm: Arm::Plain,
        }
    }
}
