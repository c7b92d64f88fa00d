//! Planners that the shipped one is measured against.

use crate::{
    error,
    estimate::Normal,
    evidence, name,
    policy::{ConsideredPlan, Context, Plan, Planner, Verdict},
    request::ModelRequest,
};

use super::{
    Adaptive, Case, assignment,
    candidate::{self, Candidate},
    overloaded,
};

/// How a planner without predictions picks a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// The version with the highest stated quality.
    HighestQuality,
    /// The version with the lowest cost.
    Cheapest,
    /// Fixed shares of requests, see [`SPLIT_SHARES`].
    Split,
    /// The version with the largest share of free slots.
    LeastLoaded,
}

/// Shares of [`Rule::Split`] from the cheapest version to dearer ones; the last takes the rest.
pub const SPLIT_SHARES: [f64; 3] = [0.4, 0.3, 0.3];

/// Picks single versions by a fixed rule. Targets and deadlines don't count.
#[derive(Debug)]
pub struct Fixed {
    rule: Rule,
    inner: Adaptive,
}

impl Fixed {
    /// Returns a planner that follows `rule`.
    #[must_use]
    pub fn new(rule: Rule) -> Self {
        Self {
            rule,
            inner: Adaptive::new(),
        }
    }

    fn pick(&self, case: &Case<'_>) -> usize {
        let options = &self.inner.options;
        let largest = |value: &dyn Fn(&Candidate) -> f64| {
            (0..options.len())
                .max_by(|a, b| value(&options[*a]).total_cmp(&value(&options[*b])))
                .unwrap_or(0)
        };
        match self.rule {
            Rule::HighestQuality => largest(&|o| case.version(o.first()).prior_quality),
            Rule::Cheapest => largest(&|o| -o.cost),
            Rule::LeastLoaded => largest(&|o| case.free_share(o.first())),
            Rule::Split => {
                let place = assignment::hash_fraction("split", case.ask.id.as_str());
                let mut end = 0.0;
                let slot = SPLIT_SHARES.iter().position(|part| {
                    end += part;
                    place < end
                });
                slot.unwrap_or(SPLIT_SHARES.len() - 1)
                    .min(options.len() - 1)
            }
        }
    }
}

impl Planner for Fixed {
    fn plan(
        &mut self,
        ask: &ModelRequest,
        context: &Context<'_>,
    ) -> Result<(Plan, Vec<ConsideredPlan>), error::Error> {
        self.inner.align(context.config);
        let case = Case::new(ask, context)?;
        if let Some(version) = case.kept_version(&self.inner)? {
            return self.inner.keep(&case, version);
        }
        self.inner.collect(&case)?;
        self.inner.options.retain(|o| !o.is_cascade());
        self.inner
            .options
            .sort_unstable_by(|a, b| a.cost.total_cmp(&b.cost));
        let option = &self.inner.options[self.pick(&case)];
        if option.gone {
            return Err(overloaded(option));
        }
        Ok(chosen(option.plan(&case)))
    }
}

/// What only an oracle knows.
pub trait GroundTruth: Send {
    /// Returns the true quality of a plan on a request and the probability that its second step runs.
    fn outcome(&self, steps: &[name::Version], ask: &ModelRequest) -> (f64, f64);
}

/// Takes the cheapest plan by true quality; everything else is as in [`Adaptive`].
pub struct Oracle {
    truth: Box<dyn GroundTruth>,
    inner: Adaptive,
}

impl Oracle {
    /// Returns a planner that knows the truth.
    #[must_use]
    pub fn new(truth: Box<dyn GroundTruth>) -> Self {
        Self {
            truth,
            inner: Adaptive::new(),
        }
    }
}

impl Planner for Oracle {
    fn plan(
        &mut self,
        ask: &ModelRequest,
        context: &Context<'_>,
    ) -> Result<(Plan, Vec<ConsideredPlan>), error::Error> {
        self.inner.align(context.config);
        let case = Case::new(ask, context)?;
        if let Some(version) = case.kept_version(&self.inner)? {
            return self.inner.keep(&case, version);
        }
        self.inner.collect(&case)?;
        let mut options = std::mem::take(&mut self.inner.options);
        for option in &mut options {
            let plan = option.plan(&case);
            let (quality, escalation) = self.truth.outcome(&plan.steps, ask);
            option.quality = Normal::new(quality, 0.0);
            option.bound = quality;
            candidate::set_escalation(option, &self.inner, &case, escalation);
        }
        self.inner.options = options;
        let taken = self.inner.cheapest(&case)?;
        Ok(chosen(self.inner.options[taken].plan(&case)))
    }

    /// Takes in measured times; quality is known.
    fn learn(&mut self, pool: &evidence::Pool, config: &crate::config::Config) {
        self.inner.learn(pool, config);
    }
}

fn chosen(plan: Plan) -> (Plan, Vec<ConsideredPlan>) {
    let considered = ConsideredPlan {
        plan: plan.clone(),
        verdict: Verdict::Chosen,
    };
    (plan, vec![considered])
}
