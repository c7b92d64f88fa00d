//! Plans under consideration, without allocation.

use crate::{
    estimate::Normal,
    evidence::Arm,
    inventory,
    policy::{Plan, Verdict},
    time::Span,
};

use super::{Adaptive, Case};

/// Part of a cached prompt token's cost that is saved.
const WARM_SAVING: f64 = 0.5;

/// Time after which a hint of a warm prefix counts half.
const WARM_HALF: Span = Span::from_secs(30);

/// A plan of one or two versions, by index in the inventory.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    first: usize,
    second: Option<usize>,
    /// Expected cost.
    pub cost: f64,
    /// Predicted quality.
    pub quality: Normal,
    /// The quality that the plan is trusted with.
    pub bound: f64,
    /// Expected milliseconds to the end.
    pub millis: f64,
    /// Milliseconds to the end when all steps run and first tokens are late.
    high_millis: f64,
    /// Whether a step's upstreams have no free slot.
    pub full: bool,
    /// Whether a step has no upstreams.
    pub gone: bool,
}

/// Returns the plan that runs only the version at this index.
#[expect(clippy::cast_precision_loss)]
pub fn single(planner: &Adaptive, case: &Case<'_>, at: usize) -> Candidate {
    let version = &case.context.config.inventory.versions[at];
    let estimates = &planner.estimates;
    let (task, size) = (estimates.task(&case.ask.task), case.ask.size());
    let prediction = estimates.prediction(at, task, size);
    let tokens = estimates.answer_tokens(task, size, case.ask.answer_tokens);
    let capacity = case.context.availability.capacity(&version.name);
    let near_only = !case.rule.spill || case.context.cut_off.is_some();
    let free = capacity.local_free + if near_only { 0 } else { capacity.remote_free };
    let prompt = f64::from(case.ask.prompt_tokens) * (1.0 - WARM_SAVING * case.warmth(at));
    Candidate {
        first: at,
        second: None,
        cost: (prompt * version.prompt_cost as f64 + tokens * version.answer_cost as f64) / 1_000.0,
        quality: prediction.alone,
        bound: prediction.alone.lower(planner.lower_bound_deviations),
        millis: prediction.first_ms + prediction.token_ms * tokens,
        high_millis: prediction.first_high_ms + prediction.token_ms * tokens,
        full: free == 0,
        gone: capacity.total == 0,
    }
}

/// Returns the cascade of two single plans.
pub fn cascade(
    planner: &Adaptive,
    case: &Case<'_>,
    first: &Candidate,
    second: &Candidate,
) -> Candidate {
    let estimates = &planner.estimates;
    let (task, size) = (estimates.task(&case.ask.task), case.ask.size());
    let before = estimates.prediction(first.first, task, size);
    let after = estimates.prediction(second.first, task, size);
    let (keeps, escalates) = (1.0 - before.escalation, before.escalation);
    let quality = Normal::new(
        keeps * before.kept.mean + escalates * after.second.mean,
        keeps * keeps * before.kept.variance + escalates * escalates * after.second.variance,
    );
    Candidate {
        first: first.first,
        second: Some(second.first),
        cost: first.cost + escalates * second.cost,
        quality,
        bound: quality.lower(planner.lower_bound_deviations),
        millis: first.millis + escalates * second.millis,
        high_millis: first.high_millis + second.high_millis,
        full: first.full || second.full,
        gone: first.gone || second.gone,
    }
}

/// Sets the cost and time of a cascade to those with a known probability of escalation.
pub fn set_escalation(
    option: &mut Candidate,
    planner: &Adaptive,
    case: &Case<'_>,
    escalation: f64,
) {
    if let Some(second) = option.second {
        let first = single(planner, case, option.first);
        let second = single(planner, case, second);
        option.cost = first.cost + escalation * second.cost;
        option.millis = first.millis + escalation * second.millis;
    }
}

impl Case<'_> {
    /// Returns the version at this index of the inventory.
    pub fn version(&self, at: usize) -> &inventory::Version {
        &self.context.config.inventory.versions[at]
    }

    /// Returns the share of the version's slots that are free.
    pub fn free_share(&self, at: usize) -> f64 {
        let capacity = self.context.availability.capacity(&self.version(at).name);
        f64::from(capacity.local_free + capacity.remote_free) / f64::from(capacity.total.max(1))
    }

    /// Returns the share of the prompt that is thought to be cached.
    #[expect(clippy::cast_precision_loss)]
    fn warmth(&self, at: usize) -> f64 {
        let version = &self.context.config.inventory.versions[at].name;
        let Some(hint) = self.context.availability.cached_prefix(version, self.ask) else {
            return 0.0;
        };
        let age = self.context.now.since(hint.reported_at).as_millis() as f64;
        hint.share.clamp(0.0, 1.0) * (-age / WARM_HALF.as_millis() as f64).exp2()
    }
}

impl Candidate {
    /// Returns the index of the first version.
    pub const fn first(&self) -> usize {
        self.first
    }

    /// Returns whether the plan has a second step.
    pub const fn is_cascade(&self) -> bool {
        self.second.is_some()
    }

    /// Returns whether the plan reaches the quality target.
    pub fn is_good(&self, case: &Case<'_>) -> bool {
        self.bound >= case.ask.quality
    }

    /// Returns whether all steps end before the deadline.
    pub fn in_time(&self, case: &Case<'_>) -> bool {
        self.high_millis <= case.left_ms
    }

    /// Returns why the plan isn't the one taken.
    pub fn verdict(&self, case: &Case<'_>, cheaper: bool) -> Verdict {
        if !self.is_good(case) {
            Verdict::Quality
        } else if !self.in_time(case) {
            Verdict::Deadline
        } else if cheaper || self.full || self.gone {
            Verdict::Full
        } else {
            Verdict::Cost
        }
    }

    /// Returns the plan with its versions' names.
    pub fn plan(&self, case: &Case<'_>) -> Plan {
        let versions = &case.context.config.inventory.versions;
        let steps = [Some(self.first), self.second];
        Plan {
            steps: (steps.into_iter().flatten())
                .map(|at| versions[at].name.clone())
                .collect(),
            cost: self.cost,
            quality: self.quality.mean,
            millis: self.millis,
            explores: false,
            arm: Arm::Plain,
        }
    }
}
