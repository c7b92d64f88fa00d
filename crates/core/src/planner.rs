//! The shipped planner: the plan with the lowest expected cost that meets target and deadline.
//!
//! A plan's quality counts as its mean minus [`LOWER_BOUND_DEVIATIONS`] deviations. When no
//! plan reaches the target by that measure, the one that comes closest is taken
//! if its mean reaches the target; otherwise the request is refused.

use std::cmp::Ordering;

use crate::{
    config::{self, Progress, VersionStatus},
    error::{self, Kind},
    estimate::Estimates,
    evidence::{self, Arm},
    inventory::{AccountRule, TaskRule, WhenFull},
    name,
    policy::{ConsideredPlan, Context, Plan, Planner, Verdict},
    request::ModelRequest,
};

pub mod assignment;
pub mod baseline;
mod candidate;

use assignment::{Assignment, Group};
use candidate::Candidate;

/// Deviations of predicted quality that are taken off its mean before it is compared with the target.
pub const LOWER_BOUND_DEVIATIONS: f64 = 0.1;

/// Deviations above its mean at which a plan must reach the target to be explored.
pub const UPPER_BOUND_DEVIATIONS: f64 = 0.5;

/// Requests of a task over which plans that are explored may use up the surplus of the others.
pub const SURPLUS_WINDOW: f64 = 200.0;

/// Most plans that are listed as considered.
pub const MAX_CONSIDERED: usize = 8;

/// Chooses plans from evidence.
#[derive(Debug)]
pub struct Adaptive {
    /// Deviations that are taken off predicted quality.
    lower_bound_deviations: f64,
    estimates: Estimates,
    /// Revision that `estimates` and `version_statuses` belong to.
    revision: Option<u64>,
    /// Statuses of the inventory's versions, in its order.
    version_statuses: Vec<VersionStatus>,
    /// Kept between requests so that choosing doesn't allocate.
    options: Vec<Candidate>,
    /// By task, the predicted quality above target of the latest requests, summed.
    surplus: Vec<f64>,
}

/// A request with the rules that apply to it.
struct Case<'a> {
    ask: &'a ModelRequest,
    context: &'a Context<'a>,
    rule: &'a AccountRule,
    task: Option<&'a TaskRule>,
    /// Milliseconds to the deadline.
    left_ms: f64,
}

impl Adaptive {
    /// Returns a planner that knows only priors.
    #[must_use]
    pub const fn new() -> Self {
        Self::with_lower_bound_deviations(LOWER_BOUND_DEVIATIONS)
    }

    /// Returns a planner that takes `lower_bound_deviations` deviations off predicted quality.
    #[must_use]
    pub const fn with_lower_bound_deviations(lower_bound_deviations: f64) -> Self {
        Self {
            lower_bound_deviations,
            estimates: Estimates::EMPTY,
            revision: None,
            version_statuses: Vec::new(),
            options: Vec::new(),
            surplus: Vec::new(),
        }
    }

    /// Returns the predictions in use.
    #[must_use]
    pub const fn estimates(&self) -> &Estimates {
        &self.estimates
    }

    fn align(&mut self, config: &config::Config) {
        if self.revision == Some(config.revision) {
            return;
        }
        self.estimates = self.estimates.aligned(config);
        self.set_standings(config);
    }

    fn set_standings(&mut self, config: &config::Config) {
        let versions = &config.inventory.versions;
        self.version_statuses = versions
            .iter()
            .map(|v| config.version_status(&v.name))
            .collect();
        self.revision = Some(config.revision);
    }

    fn decide(&mut self, case: &Case<'_>) -> Result<(Plan, Vec<ConsideredPlan>), error::Error> {
        if let Some(version) = case.kept_version(self)? {
            return self.keep(case, version);
        }
        self.collect(case)?;
        let taken = self.cheapest(case)?;
        let explored = self.explored(case, taken);
        let mut plan = self.options[explored.unwrap_or(taken)].plan(case);
        plan.explores = explored.is_some();
        self.count_surplus(case, plan.quality - case.ask.quality);
        let considered = self.considered(case, explored.unwrap_or(taken), &plan);
        if explored.is_none() {
            self.compare(case, &mut plan);
        }
        Ok((plan, considered))
    }

    /// Sorts the options by cost and returns the cheapest that can be taken.
    fn cheapest(&mut self, case: &Case<'_>) -> Result<usize, error::Error> {
        self.options
            .sort_unstable_by(|a, b| a.cost.total_cmp(&b.cost));
        let best = self.best(case)?;
        self.with_room(case, best)
    }

    /// Plans a request of a session that has a version.
    fn keep(
        &self,
        case: &Case<'_>,
        version: usize,
    ) -> Result<(Plan, Vec<ConsideredPlan>), error::Error> {
        let option = candidate::single(self, case, version);
        if !option.in_time(case) {
            return Err(late());
        }
        if option.gone {
            return Err(error::Error::new(
                Kind::NoUpstream,
                "no upstream serves the session's version",
            )
            .retry_after(RETRY_MS));
        }
        if option.full && case.rule.when_full == WhenFull::Refuse {
            return Err(overloaded(&option));
        }
        let mut plan = option.plan(case);
        let rollout = (case.context.config.rollouts.iter())
            .find(|r| r.version == plan.steps[0] && r.progress == Progress::Running);
        if let Some(rollout) = rollout {
            // A session outlives the conditions under which it began, so it
            // counts for exposure and not for the comparison.
            plan.arm = Arm::Share(rollout.since);
        }
        let chosen = ConsideredPlan {
            plan: plan.clone(),
            verdict: Verdict::Chosen,
        };
        Ok((plan, vec![chosen]))
    }

    /// Collects the plans that may be taken into `options`.
    fn collect(&mut self, case: &Case<'_>) -> Result<(), error::Error> {
        let mut options = std::mem::take(&mut self.options);
        options.clear();
        let versions = &case.context.config.inventory.versions;
        let mut allowed = false;
        for at in 0..versions.len() {
            if case.allows(at) {
                allowed = true;
                if self.version_statuses[at] == VersionStatus::Stable && case.is_served(at) {
                    options.push(candidate::single(self, case, at));
                }
            }
        }
        let singles = options.len();
        if case.may_cascade() {
            for first in 0..singles {
                for second in 0..singles {
                    if options[first].cost < options[second].cost {
                        let pair =
                            candidate::cascade(self, case, &options[first], &options[second]);
                        options.push(pair);
                    }
                }
            }
        }
        self.options = options;
        match (allowed, singles) {
            (false, _) => Err(error::Error::new(
                Kind::Forbidden,
                "the client account may use no version of the model",
            )),
            (true, 0) => Err(error::Error::new(
                Kind::NoUpstream,
                "no version that the client account may use is in service",
            )
            .retry_after(RETRY_MS)),
            (true, _) => Ok(()),
        }
    }

    /// Returns the cheapest plan that meets target and deadline, wherever there is room.
    fn best(&self, case: &Case<'_>) -> Result<usize, error::Error> {
        let fits = |o: &Candidate| o.in_time(case) && o.is_good(case);
        if let Some(at) = self.options.iter().position(fits) {
            return Ok(at);
        }
        let hopeful = |o: &Candidate| o.quality.mean >= case.ask.quality;
        let closest = (self.options.iter().enumerate())
            .filter(|(_, o)| o.in_time(case) && hopeful(o))
            .max_by(|(_, a), (_, b)| a.bound.total_cmp(&b.bound));
        if let Some((at, _)) = closest {
            return Ok(at);
        }
        if self.options.iter().any(hopeful) {
            return Err(late());
        }
        Err(error::Error::new(
            Kind::QualityUnreachable,
            format!(
                "no allowed plan is predicted to reach quality {}",
                case.ask.quality
            ),
        ))
    }

    /// Returns the plan to take when the best one may be full or gone.
    fn with_room(&self, case: &Case<'_>, best: usize) -> Result<usize, error::Error> {
        let option = &self.options[best];
        if !option.full && !option.gone {
            return Ok(best);
        }
        let other = |free: bool| {
            self.options.iter().enumerate().position(|(at, o)| {
                at != best && o.in_time(case) && o.is_good(case) && !o.gone && !(free && o.full)
            })
        };
        let taken = match case.rule.when_full {
            WhenFull::Refuse => None,
            // There is nothing to wait for where no upstream is left.
            WhenFull::Wait if option.gone => other(true).or_else(|| other(false)),
            WhenFull::Wait => Some(best),
            WhenFull::Dearer => other(true)
                .or((!option.gone).then_some(best))
                .or_else(|| other(false)),
        };
        taken.ok_or_else(|| overloaded(option))
    }

    fn count_surplus(&mut self, case: &Case<'_>, surplus: f64) {
        let task = self.estimates.task(&case.ask.task);
        if self.surplus.len() <= task {
            self.surplus.resize(task + 1, 0.0);
        }
        let sum = &mut self.surplus[task];
        *sum += surplus - *sum / SURPLUS_WINDOW;
    }

    /// Returns the cheaper plan with the largest expected saving, to learn whether it reaches the target.
    ///
    /// The mean predicted quality of a task's requests stays at its target: a
    /// plan predicted below it is only taken against a surplus of earlier ones.
    fn explored(&self, case: &Case<'_>, taken: usize) -> Option<usize> {
        let chance = case.rule.explore;
        if !case.task.is_some_and(|t| t.explore)
            || case.context.cut_off.is_some()
            || assignment::hash_fraction("explore", case.ask.id.as_str()) >= chance
        {
            return None;
        }
        let limit = self.options[taken].cost;
        let task = self.estimates.task(&case.ask.task);
        let surplus = self.surplus.get(task).copied().unwrap_or(0.0);
        let open = (self.options.iter().enumerate()).filter(|(_, o)| {
            o.cost < limit
                && o.in_time(case)
                && !o.full
                && !o.gone
                && !o.is_good(case)
                && o.quality.lower(-UPPER_BOUND_DEVIATIONS) >= case.ask.quality
                && surplus + o.quality.mean >= case.ask.quality
        });
        let gain = |o: &Candidate| (limit - o.cost) * o.quality.chance_above(case.ask.quality);
        open.max_by(|(_, a), (_, b)| gain(a).total_cmp(&gain(b)))
            .map(|(at, _)| at)
    }

    /// Applies the request's part in a rollout to its plan.
    ///
    /// Trial and control requests are drawn by hash under the same conditions
    /// and run alone, so they differ in nothing but the version. Until the
    /// comparison says otherwise, a version in rollout counts as good as its baseline.
    fn compare(&self, case: &Case<'_>, plan: &mut Plan) {
        if case.context.cut_off.is_some() || !case.task.is_some_and(|t| t.explore) {
            return;
        }
        let Some(Assignment { rollout, group }) = assignment::assign(case.context.config, case.ask)
        else {
            return;
        };
        let (Some(new), Some(old)) = (case.index(&rollout.version), case.index(&rollout.baseline))
        else {
            return;
        };
        let usable = |at| {
            let option = candidate::single(self, case, at);
            case.allows(at)
                && self.version_statuses[at] != VersionStatus::Withdrawn
                && option.in_time(case)
                && !option.full
                && !option.gone
        };
        let exposed = self.estimates.exposed(&rollout.version, rollout.since);
        if !usable(new) || !usable(old) {
            return;
        }
        let open = exposed < rollout.stages[rollout.stage].exposure;
        let place = plan.steps.iter().position(|v| *v == rollout.baseline);
        // Sessions outlive the conditions of one request, so they get the version
        // by share only and take no part in the comparison.
        let good = case.ask.session.is_none()
            && candidate::single(self, case, old).quality.mean >= case.ask.quality;
        match (group, place) {
            (Group::Trial, _) if good && open => {
                *plan = candidate::single(self, case, new).plan(case);
                plan.arm = Arm::Candidate(rollout.since);
            }
            // The control goes on after the exposure is used up, and sharpens the comparison.
            (Group::Control, _) if good => {
                *plan = candidate::single(self, case, old).plan(case);
                plan.arm = Arm::Control(rollout.since);
            }
            (Group::Share, Some(step)) if open => {
                plan.steps[step] = rollout.version.clone();
                plan.arm = Arm::Share(rollout.since);
            }
            _ => {}
        }
    }

    /// Lists the cheapest plans and the one taken, with verdicts.
    fn considered(&self, case: &Case<'_>, taken: usize, plan: &Plan) -> Vec<ConsideredPlan> {
        let mut listed: Vec<_> = (self.options.iter().enumerate())
            .filter(|(at, _)| *at != taken)
            .take(MAX_CONSIDERED - 1)
            .map(|(at, o)| ConsideredPlan {
                plan: o.plan(case),
                verdict: o.verdict(case, at.cmp(&taken) == Ordering::Less),
            })
            .collect();
        let place = listed
            .iter()
            .position(|c| c.plan.cost > plan.cost)
            .unwrap_or(listed.len());
        listed.insert(
            place,
            ConsideredPlan {
                plan: plan.clone(),
                verdict: Verdict::Chosen,
            },
        );
        listed
    }
}

impl Default for Adaptive {
    fn default() -> Self {
        Self::new()
    }
}

impl Planner for Adaptive {
    fn plan(
        &mut self,
        ask: &ModelRequest,
        context: &Context<'_>,
    ) -> Result<(Plan, Vec<ConsideredPlan>), error::Error> {
        self.align(context.config);
        let case = Case::new(ask, context)?;
        self.decide(&case)
    }

    fn learn(&mut self, pool: &evidence::Pool, config: &config::Config) {
        self.estimates = Estimates::new(config, pool);
        self.set_standings(config);
    }
}

/// Milliseconds after which a caller may find an upstream again.
const RETRY_MS: u64 = 1_000;

fn late() -> error::Error {
    error::Error::new(
        Kind::DeadlineBeforeRun,
        "no plan that meets the quality target can end before the deadline",
    )
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn overloaded(option: &Candidate) -> error::Error {
    error::Error::new(Kind::Overloaded, "the upstreams of the best plan are full")
        .retry_after((option.millis.max(0.0) as u64).max(RETRY_MS))
}

impl<'a> Case<'a> {
    #[expect(clippy::cast_precision_loss)]
    fn new(ask: &'a ModelRequest, context: &'a Context<'a>) -> Result<Self, error::Error> {
        let config = context.config;
        if config.blocked.binary_search(&ask.account).is_ok() {
            return Err(error::Error::new(
                Kind::Blocked,
                format!("client account {} is blocked", ask.account),
            ));
        }
        let rule = config.rules.account(&ask.account).ok_or_else(|| {
            error::Error::new(
                Kind::Forbidden,
                format!("no rule allows client account {} any model", ask.account),
            )
        })?;
        Ok(Self {
            ask,
            context,
            rule,
            task: config.rules.task(&ask.task),
            left_ms: ask.deadline.since(context.now).as_millis() as f64,
        })
    }

    /// Returns whether account and request allow the version at this index of the inventory.
    fn allows(&self, at: usize) -> bool {
        let version = &self.context.config.inventory.versions[at];
        self.rule.models.binary_search(&version.model).is_ok()
            && self.rule.except.binary_search(&version.name).is_err()
            && (self.ask.model.as_ref()).is_none_or(|m| *m == version.model)
    }

    /// Returns whether the version may still be served while the instance is cut off.
    fn is_served(&self, at: usize) -> bool {
        let Some(cut_off) = self.context.cut_off else {
            return true;
        };
        let config = self.context.config;
        let rule = config.rules.version(&config.inventory.versions[at].name);
        rule.is_none_or(|r| cut_off.as_millis() < r.cut_off_ms)
    }

    /// A session keeps one version, so its requests run no cascades.
    fn may_cascade(&self) -> bool {
        self.ask.session.is_none() && self.task.is_none_or(|t| t.cascade)
    }

    /// Returns the index of the version that the request's session keeps.
    ///
    /// A session whose version was withdrawn or rolled back gets a new one.
    fn kept_version(&self, planner: &Adaptive) -> Result<Option<usize>, error::Error> {
        let bound = self.ask.session.as_ref().and_then(|s| s.version.as_ref());
        let Some(at) = bound.and_then(|v| self.index(v)) else {
            return Ok(None);
        };
        let cut_off = || {
            Err(error::Error::new(
                Kind::CutOff,
                "the session's version is not served without contact to a majority",
            )
            .retry_after(RETRY_MS))
        };
        match planner.version_statuses[at] {
            VersionStatus::Withdrawn | VersionStatus::Idle => return Ok(None),
            VersionStatus::RollingOut(_) if self.context.cut_off.is_some() => return cut_off(),
            VersionStatus::RollingOut(_) | VersionStatus::Stable => {}
        }
        if !self.context.config.is_allowed(
            &self.ask.account,
            &self.context.config.inventory.versions[at].name,
        ) {
            return Err(error::Error::new(
                Kind::Forbidden,
                "the client account may no longer use the session's version",
            ));
        }
        if !self.is_served(at) {
            return cut_off();
        }
        Ok(Some(at))
    }

    fn index(&self, version: &name::Version) -> Option<usize> {
        let versions = &self.context.config.inventory.versions;
        versions.binary_search_by(|v| v.name.cmp(version)).ok()
    }
}
