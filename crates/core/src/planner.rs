//! Planner that chooses the plan with the lowest expected cost that meets quality target and deadline.
//!
//! The quality compared with the target is a lower confidence bound: the predicted
//! mean minus [`LOWER_BOUND_DEVIATIONS`] standard deviations. If no plan's bound
//! reaches the target, the plan with the highest bound is chosen among those whose
//! mean does. If there is none, the request is refused.

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

/// Standard deviations subtracted from the mean predicted quality to get the bound that is compared with the target.
pub const LOWER_BOUND_DEVIATIONS: f64 = 0.1;

/// Standard deviations added to the mean predicted quality to get the bound that must reach the target for exploration.
pub const UPPER_BOUND_DEVIATIONS: f64 = 0.5;

/// Time constant, in requests of a task, of the decaying sum of quality surplus that exploration may spend.
pub const SURPLUS_WINDOW: f64 = 200.0;

/// Maximum number of plans that are listed as considered.
pub const MAX_CONSIDERED: usize = 8;

/// Planner that adapts its predictions to evidence.
#[derive(Debug)]
pub struct Adaptive {
    /// Standard deviations subtracted from the mean predicted quality.
    lower_bound_deviations: f64,
    estimates: Estimates,
    /// Configuration revision that `estimates` and `version_statuses` belong to.
    revision: Option<u64>,
    /// Status of each version, in the order of the inventory.
    version_statuses: Vec<VersionStatus>,
    /// Buffer that is reused between requests to avoid allocation.
    candidates: Vec<Candidate>,
    /// By task, the decaying sum of predicted quality minus target over recent requests.
    surplus: Vec<f64>,
}

/// A request with the planning context and the rules that apply to it.
struct RequestContext<'a> {
    model_request: &'a ModelRequest,
    context: &'a Context<'a>,
    rule: &'a AccountRule,
    task: Option<&'a TaskRule>,
    /// Milliseconds to the deadline.
    remaining_ms: f64,
}

impl Adaptive {
    /// Returns a planner that predicts from priors only.
    #[must_use]
    pub const fn new() -> Self {
        Self::with_lower_bound_deviations(LOWER_BOUND_DEVIATIONS)
    }

    /// Returns a planner that subtracts `lower_bound_deviations` standard deviations from predicted quality.
    #[must_use]
    pub const fn with_lower_bound_deviations(lower_bound_deviations: f64) -> Self {
        Self {
            lower_bound_deviations,
            estimates: Estimates::EMPTY,
            revision: None,
            version_statuses: Vec::new(),
            candidates: Vec::new(),
            surplus: Vec::new(),
        }
    }

    /// Returns the current predictions.
    #[must_use]
    pub const fn estimates(&self) -> &Estimates {
        &self.estimates
    }

    /// Adopts a new configuration revision.
    fn sync_config(&mut self, config: &config::Config) {
        if self.revision == Some(config.revision) {
            return;
        }
        self.estimates = self.estimates.reindexed(config);
        self.set_version_statuses(config);
    }

    fn set_version_statuses(&mut self, config: &config::Config) {
        let versions = &config.inventory.versions;
        self.version_statuses = versions
            .iter()
            .map(|v| config.version_status(&v.name))
            .collect();
        self.revision = Some(config.revision);
    }

    /// Chooses the plan of a request and lists what was considered.
    fn choose(
        &mut self,
        request: &RequestContext<'_>,
    ) -> Result<(Plan, Vec<ConsideredPlan>), error::Error> {
        if let Some(version) = request.pinned_version(self)? {
            return self.plan_for_session(request, version);
        }
        self.collect_candidates(request)?;
        let selected = self.select(request)?;
        let explored = self.exploration(request, selected);
        let mut plan = self.candidates[explored.unwrap_or(selected)].plan(request);
        plan.explores = explored.is_some();
        self.add_surplus(request, plan.quality - request.model_request.quality);
        let considered = self.considered_plans(request, explored.unwrap_or(selected), &plan);
        if explored.is_none() {
            self.apply_rollout(request, &mut plan);
        }
        Ok((plan, considered))
    }

    /// Sorts the candidates by cost and returns the index of the one to run.
    fn select(&mut self, request: &RequestContext<'_>) -> Result<usize, error::Error> {
        self.candidates
            .sort_unstable_by(|a, b| a.cost.total_cmp(&b.cost));
        let best = self.best_candidate(request)?;
        self.with_capacity(request, best)
    }

    /// Plans a request whose session is pinned to a version.
    fn plan_for_session(
        &self,
        request: &RequestContext<'_>,
        version: usize,
    ) -> Result<(Plan, Vec<ConsideredPlan>), error::Error> {
        let candidate = candidate::single(self, request, version);
        if !candidate.meets_deadline(request) {
            return Err(deadline_error());
        }
        if candidate.no_upstream {
            return Err(error::Error::new(
                Kind::NoUpstream,
                "no upstream serves the session's version",
            )
            .retry_after(RETRY_MS));
        }
        if candidate.full && request.rule.when_full == WhenFull::Refuse {
            return Err(overload_error(&candidate));
        }
        let mut plan = candidate.plan(request);
        let rollout = (request.context.config.rollouts.iter())
            .find(|r| r.version == plan.steps[0] && r.progress == Progress::Running);
        if let Some(rollout) = rollout {
            // A session outlasts the conditions under which it was assigned, so
            // its requests count towards exposure but not in the comparison.
            plan.arm = Arm::Share(rollout.since);
        }
        let chosen = ConsideredPlan {
            plan: plan.clone(),
            verdict: Verdict::Chosen,
        };
        Ok((plan, vec![chosen]))
    }

    /// Fills `candidates` with the plans that the rules allow.
    fn collect_candidates(&mut self, request: &RequestContext<'_>) -> Result<(), error::Error> {
        let mut candidates = std::mem::take(&mut self.candidates);
        candidates.clear();
        let versions = &request.context.config.inventory.versions;
        let mut allowed = false;
        for index in 0..versions.len() {
            if request.allows(index) {
                allowed = true;
                if self.version_statuses[index] == VersionStatus::Stable && request.may_serve(index)
                {
                    candidates.push(candidate::single(self, request, index));
                }
            }
        }
        let single_count = candidates.len();
        if request.may_cascade() {
            for first in 0..single_count {
                for second in 0..single_count {
                    if candidates[first].cost < candidates[second].cost {
                        let pair = candidate::cascade(
                            self,
                            request,
                            &candidates[first],
                            &candidates[second],
                        );
                        candidates.push(pair);
                    }
                }
            }
        }
        self.candidates = candidates;
        match (allowed, single_count) {
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

    /// Returns the cheapest plan that meets target and deadline, regardless of free slots.
    fn best_candidate(&self, request: &RequestContext<'_>) -> Result<usize, error::Error> {
        let acceptable = |c: &Candidate| c.meets_deadline(request) && c.meets_target(request);
        if let Some(index) = self.candidates.iter().position(acceptable) {
            return Ok(index);
        }
        let mean_meets_target = |c: &Candidate| c.quality.mean >= request.model_request.quality;
        let closest = (self.candidates.iter().enumerate())
            .filter(|(_, c)| c.meets_deadline(request) && mean_meets_target(c))
            .max_by(|(_, a), (_, b)| a.quality_bound.total_cmp(&b.quality_bound));
        if let Some((index, _)) = closest {
            return Ok(index);
        }
        if self.candidates.iter().any(mean_meets_target) {
            return Err(deadline_error());
        }
        Err(error::Error::new(
            Kind::QualityUnreachable,
            format!(
                "no allowed plan is predicted to reach quality {}",
                request.model_request.quality
            ),
        ))
    }

    /// Returns the plan to run instead of `best` if that one has no free slot or no upstream.
    fn with_capacity(
        &self,
        request: &RequestContext<'_>,
        best: usize,
    ) -> Result<usize, error::Error> {
        let candidate = &self.candidates[best];
        if !candidate.full && !candidate.no_upstream {
            return Ok(best);
        }
        let alternative = |with_free_slot: bool| {
            self.candidates.iter().enumerate().position(|(index, c)| {
                index != best
                    && c.meets_deadline(request)
                    && c.meets_target(request)
                    && !c.no_upstream
                    && !(with_free_slot && c.full)
            })
        };
        let selected = match request.rule.when_full {
            WhenFull::Refuse => None,
            // Without an upstream no slot can become free, so waiting is pointless.
            WhenFull::Wait if candidate.no_upstream => {
                alternative(true).or_else(|| alternative(false))
            }
            WhenFull::Wait => Some(best),
            WhenFull::Dearer => alternative(true)
                .or((!candidate.no_upstream).then_some(best))
                .or_else(|| alternative(false)),
        };
        selected.ok_or_else(|| overload_error(candidate))
    }

    /// Adds to the task's decaying sum of quality surplus.
    fn add_surplus(&mut self, request: &RequestContext<'_>, surplus: f64) {
        let task = self.estimates.task_index(&request.model_request.task);
        if self.surplus.len() <= task {
            self.surplus.resize(task + 1, 0.0);
        }
        let sum = &mut self.surplus[task];
        *sum += surplus - *sum / SURPLUS_WINDOW;
    }

    /// Returns the cheaper plan to explore, the one with the largest expected saving.
    ///
    /// The mean predicted quality of a task's requests stays at its target or above:
    /// a plan predicted below the target needs a surplus from earlier requests.
    fn exploration(&self, request: &RequestContext<'_>, selected: usize) -> Option<usize> {
        let exploration_rate = request.rule.explore;
        if !request.task.is_some_and(|t| t.explore)
            || request.context.cut_off.is_some()
            || assignment::hash_fraction("explore", request.model_request.id.as_str())
                >= exploration_rate
        {
            return None;
        }
        let selected_cost = self.candidates[selected].cost;
        let task = self.estimates.task_index(&request.model_request.task);
        let surplus = self.surplus.get(task).copied().unwrap_or(0.0);
        let eligible = (self.candidates.iter().enumerate()).filter(|(_, c)| {
            c.cost < selected_cost
                && c.meets_deadline(request)
                && !c.full
                && !c.no_upstream
                && !c.meets_target(request)
                && c.quality.lower_bound(-UPPER_BOUND_DEVIATIONS) >= request.model_request.quality
                && surplus + c.quality.mean >= request.model_request.quality
        });
        let expected_saving = |c: &Candidate| {
            (selected_cost - c.cost) * c.quality.probability_above(request.model_request.quality)
        };
        eligible
            .max_by(|(_, a), (_, b)| expected_saving(a).total_cmp(&expected_saving(b)))
            .map(|(index, _)| index)
    }

    /// Changes the plan according to the request's group in a rollout.
    ///
    /// Trial and control requests are sampled by hash under the same conditions
    /// and run without a cascade, so they differ only in the version. Until the
    /// comparison shows otherwise, a version in rollout is assumed to be as good as
    /// its baseline.
    fn apply_rollout(&self, request: &RequestContext<'_>, plan: &mut Plan) {
        if request.context.cut_off.is_some() || !request.task.is_some_and(|t| t.explore) {
            return;
        }
        let Some(Assignment { rollout, group }) =
            assignment::assign(request.context.config, request.model_request)
        else {
            return;
        };
        let (Some(rollout_version), Some(baseline)) = (
            request.version_index(&rollout.version),
            request.version_index(&rollout.baseline),
        ) else {
            return;
        };
        let usable = |index| {
            let candidate = candidate::single(self, request, index);
            request.allows(index)
                && self.version_statuses[index] != VersionStatus::Withdrawn
                && candidate.meets_deadline(request)
                && !candidate.full
                && !candidate.no_upstream
        };
        let exposure = self.estimates.exposure(&rollout.version, rollout.since);
        if !usable(rollout_version) || !usable(baseline) {
            return;
        }
        let below_exposure = exposure < rollout.stages[rollout.stage].exposure;
        let baseline_step = plan.steps.iter().position(|v| *v == rollout.baseline);
        // Sessions outlast the conditions of one request, so they get the version
        // only through `Group::Share` and stay out of the comparison.
        let comparable = request.model_request.session.is_none()
            && candidate::single(self, request, baseline).quality.mean
                >= request.model_request.quality;
        match (group, baseline_step) {
            (Group::Trial, _) if comparable && below_exposure => {
                *plan = candidate::single(self, request, rollout_version).plan(request);
                plan.arm = Arm::Candidate(rollout.since);
            }
            // More control requests narrow the comparison even after the exposure is used up.
            (Group::Control, _) if comparable => {
                *plan = candidate::single(self, request, baseline).plan(request);
                plan.arm = Arm::Control(rollout.since);
            }
            (Group::Share, Some(step)) if below_exposure => {
                plan.steps[step] = rollout.version.clone();
                plan.arm = Arm::Share(rollout.since);
            }
            _ => {}
        }
    }

    /// Lists the cheapest plans and the chosen one, with verdicts.
    fn considered_plans(
        &self,
        request: &RequestContext<'_>,
        selected: usize,
        plan: &Plan,
    ) -> Vec<ConsideredPlan> {
        let mut considered: Vec<_> = (self.candidates.iter().enumerate())
            .filter(|(index, _)| *index != selected)
            .take(MAX_CONSIDERED - 1)
            .map(|(index, c)| ConsideredPlan {
                plan: c.plan(request),
                verdict: c.verdict(request, index.cmp(&selected) == Ordering::Less),
            })
            .collect();
        let insert_at = considered
            .iter()
            .position(|c| c.plan.cost > plan.cost)
            .unwrap_or(considered.len());
        considered.insert(
            insert_at,
            ConsideredPlan {
                plan: plan.clone(),
                verdict: Verdict::Chosen,
            },
        );
        considered
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
        model_request: &ModelRequest,
        context: &Context<'_>,
    ) -> Result<(Plan, Vec<ConsideredPlan>), error::Error> {
        self.sync_config(context.config);
        let request = RequestContext::new(model_request, context)?;
        self.choose(&request)
    }

    fn learn(&mut self, pool: &evidence::Pool, config: &config::Config) {
        self.estimates = Estimates::new(config, pool);
        self.set_version_statuses(config);
    }
}

/// Shortest retry delay suggested to callers, in milliseconds.
const RETRY_MS: u64 = 1_000;

fn deadline_error() -> error::Error {
    error::Error::new(
        Kind::DeadlineBeforeRun,
        "no plan that meets the quality target can end before the deadline",
    )
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn overload_error(candidate: &Candidate) -> error::Error {
    error::Error::new(Kind::Overloaded, "the upstreams of the best plan are full")
        .retry_after((candidate.expected_ms.max(0.0) as u64).max(RETRY_MS))
}

impl<'a> RequestContext<'a> {
    #[expect(clippy::cast_precision_loss)]
    fn new(
        model_request: &'a ModelRequest,
        context: &'a Context<'a>,
    ) -> Result<Self, error::Error> {
        let config = context.config;
        if config.blocked.binary_search(&model_request.account).is_ok() {
            return Err(error::Error::new(
                Kind::Blocked,
                format!("client account {} is blocked", model_request.account),
            ));
        }
        let rule = config
            .rules
            .account(&model_request.account)
            .ok_or_else(|| {
                error::Error::new(
                    Kind::Forbidden,
                    format!(
                        "no rule allows client account {} any model",
                        model_request.account
                    ),
                )
            })?;
        Ok(Self {
            model_request,
            context,
            rule,
            task: config.rules.task(&model_request.task),
            remaining_ms: model_request.deadline.since(context.now).as_millis() as f64,
        })
    }

    /// Returns whether account and request allow the version at `index` in the inventory.
    fn allows(&self, index: usize) -> bool {
        let version = &self.context.config.inventory.versions[index];
        self.rule.models.binary_search(&version.model).is_ok()
            && self.rule.except.binary_search(&version.name).is_err()
            && (self.model_request.model.as_ref()).is_none_or(|m| *m == version.model)
    }

    /// Returns whether the version may be served, given how long the instance has been cut off.
    fn may_serve(&self, index: usize) -> bool {
        let Some(cut_off) = self.context.cut_off else {
            return true;
        };
        let config = self.context.config;
        let rule = config.rules.version(&config.inventory.versions[index].name);
        rule.is_none_or(|r| cut_off.as_millis() < r.cut_off_ms)
    }

    /// Returns whether cascades are allowed. A session keeps one version, so its requests run none.
    fn may_cascade(&self) -> bool {
        self.model_request.session.is_none() && self.task.is_none_or(|t| t.cascade)
    }

    /// Returns the index of the version that the request's session is pinned to.
    ///
    /// Returns `None` if that version was withdrawn or rolled back, so the session gets a new one.
    fn pinned_version(&self, planner: &Adaptive) -> Result<Option<usize>, error::Error> {
        let session_version = self
            .model_request
            .session
            .as_ref()
            .and_then(|s| s.version.as_ref());
        let Some(index) = session_version.and_then(|v| self.version_index(v)) else {
            return Ok(None);
        };
        let cut_off = || {
            Err(error::Error::new(
                Kind::CutOff,
                "the session's version is not served without contact to a majority",
            )
            .retry_after(RETRY_MS))
        };
        match planner.version_statuses[index] {
            VersionStatus::Withdrawn | VersionStatus::Idle => return Ok(None),
            VersionStatus::RollingOut(_) if self.context.cut_off.is_some() => return cut_off(),
            VersionStatus::RollingOut(_) | VersionStatus::Stable => {}
        }
        if !self.context.config.is_allowed(
            &self.model_request.account,
            &self.context.config.inventory.versions[index].name,
        ) {
            return Err(error::Error::new(
                Kind::Forbidden,
                "the client account may no longer use the session's version",
            ));
        }
        if !self.may_serve(index) {
            return cut_off();
        }
        Ok(Some(index))
    }

    fn version_index(&self, version: &name::Version) -> Option<usize> {
        let versions = &self.context.config.inventory.versions;
        versions.binary_search_by(|v| v.name.cmp(version)).ok()
    }
}
