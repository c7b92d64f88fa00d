//! Rollout controller, run by the leader of the control replicas.
//!
//! Each stage compares the new version with its baseline on requests that are
//! split by hash. Errors, crashes, times to the first token and ratings each
//! have a sequential test ([`sequential_test`]). Together the tests stop a
//! version that is no worse than its baseline with probability
//! [`FALSE_ALARM_PROBABILITY`] at most over the whole rollout. All counters are
//! keyed by the revision that began the stage, so a new leader continues from
//! the configuration and the evidence pool.

use crate::{
    config::{Change, Config, Progress, Rollout},
    evidence::{Arm, Counts, Pool},
    name,
    time::{Span, Time},
};

pub mod lateness;
pub mod regression;
pub mod sequential_test;

use sequential_test::Sample;

/// Maximum probability that a rollout stops a version that is no worse than its baseline.
pub const FALSE_ALARM_PROBABILITY: f64 = 0.01;

/// Fractions of [`FALSE_ALARM_PROBABILITY`] for the tests of errors, crashes, first tokens and ratings.
const TEST_FRACTIONS: [f64; 4] = [0.3, 0.05, 0.1, 0.55];

/// Increase of the error or crash rate up to which a version is not stopped.
pub const ERROR_MARGIN: f64 = 0.005;

/// Decrease of the mean rating up to which a version is not stopped.
pub const QUALITY_MARGIN: f64 = 0.01;

/// Increase of the error rate that must be ruled out before a stage passes.
const MAX_ERROR_INCREASE: f64 = 0.1;

/// Decrease of the mean rating that must be ruled out before a stage passes.
const MAX_QUALITY_LOSS: f64 = 0.2;

/// Exposure below which ratings are not evaluated, because a stage yields too few of them.
const MIN_RATED_EXPOSURE: u64 = 100;

/// Standard deviations of a difference that are allowed for chance when a stage passes.
const PASS_DEVIATIONS: f64 = 2.5;

/// Minimum number of ratings of each arm before a stage passes.
const MIN_PASS_RATINGS: f64 = 35.0;

/// Minimum number of ended requests of each arm before a stage passes.
const MIN_PASS_REQUESTS: u64 = 40;

/// Histogram buckets by which the median time to the first token may increase when a stage passes.
const MAX_MEDIAN_INCREASE: usize = 2;

/// Time without a rating after which the rating service counts as failed.
const RATING_TIMEOUT: Span = Span::from_secs(60);

/// Requests that must end without a rating, besides [`RATING_TIMEOUT`], before the rating service counts as failed.
const MIN_UNRATED_REQUESTS: u64 = 100;

/// Action of the leader: a change to propose or a notice to operators.
///
/// The same action is returned again until the configuration reflects it.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Proposes a change.
    Change(Change),
    /// Keeps a rollout at its stage.
    Hold {
        /// The version in rollout.
        version: name::Version,
        /// Why the stage does not pass.
        reason: String,
    },
    /// Notifies operators of a stable version that regressed and has no replacement.
    Alarm {
        /// The version that regressed.
        version: name::Version,
        /// What became worse.
        reason: String,
    },
}

/// Results of one stage so far, for `masticlock status`.
#[derive(Clone, Debug, PartialEq)]
pub struct Findings {
    /// Counters of the version in rollout.
    pub candidate: Counts,
    /// Counters of its baseline over the same time.
    pub control: Counts,
    /// Requests sent to the version in the stage, including those outside of the comparison.
    pub exposed: u64,
    /// Logarithms of the e-values against the hypotheses that the version has no more errors, no
    /// more crashes, no later first tokens and no lower ratings than its baseline.
    pub log_e_values: [f64; 4],
}

/// Names of the four tests in messages.
const TEST_NAMES: [&str; 4] = ["errors", "crashes", "first tokens", "ratings"];

/// Time at which the controller first saw a stage of a rollout.
#[derive(Clone, Debug)]
struct StageStart {
    version: name::Version,
    /// Revision that began the stage.
    since: u64,
    seen_at: Time,
}

/// Advances and stops rollouts and detects regressions of stable versions.
#[derive(Clone, Debug, Default)]
pub struct Controller {
    stages: Vec<StageStart>,
    rating_monitor: RatingMonitor,
    regression_detector: regression::Detector,
}

/// Detects that the rating service sends no ratings any more.
#[derive(Clone, Copy, Debug, Default)]
struct RatingMonitor {
    /// Total number of ratings when it last changed.
    ratings: u64,
    /// Total number of ended requests at that time.
    ended: u64,
    changed_at: Option<Time>,
}

impl RatingMonitor {
    /// Returns whether no ratings have come for [`RATING_TIMEOUT`] although requests end.
    fn has_stopped(&mut self, pool: &Pool, now: Time) -> bool {
        let total = pool.total(|_| true);
        if self.changed_at.is_none() || total.ratings != self.ratings {
            *self = Self {
                ratings: total.ratings,
                ended: total.ended(),
                changed_at: Some(now),
            };
        }
        let ended = total.ended().saturating_sub(self.ended);
        let timed_out = self
            .changed_at
            .is_some_and(|at| now.since(at) >= RATING_TIMEOUT);
        timed_out && ended >= MIN_UNRATED_REQUESTS
    }
}

impl Controller {
    /// Creates a controller without observations.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the actions that are due. Called about once a second.
    pub fn step(&mut self, config: &Config, pool: &Pool, now: Time) -> Vec<Action> {
        let ratings_stopped = self.rating_monitor.has_stopped(pool, now);
        let running = |r: &&Rollout| r.progress == Progress::Running;
        self.stages.retain(|s| {
            (config.rollouts.iter()).any(|r| r.version == s.version && r.since == s.since)
        });
        let mut actions: Vec<_> = (config.rollouts.iter().filter(running))
            .filter_map(|rollout| {
                let start = self.stage_start(rollout, now);
                let baseline_shifted = self.regression_detector.has_recent_rating_shift(
                    &rollout.baseline,
                    pool,
                    rollout.since,
                );
                decide(
                    rollout,
                    pool,
                    now.since(start),
                    ratings_stopped,
                    baseline_shifted,
                )
            })
            .collect();
        actions.extend(self.regression_detector.step(config, pool, now));
        actions
    }

    /// Returns when this controller first saw the rollout's stage.
    ///
    /// After a change of the leader, the minimum duration of the stage starts again.
    fn stage_start(&mut self, rollout: &Rollout, now: Time) -> Time {
        let seen =
            (self.stages.iter()).find(|s| s.version == rollout.version && s.since == rollout.since);
        if let Some(seen) = seen {
            return seen.seen_at;
        }
        self.stages.push(StageStart {
            version: rollout.version.clone(),
            since: rollout.since,
            seen_at: now,
        });
        now
    }
}

/// Returns the results of a rollout's current stage.
#[must_use]
pub fn findings(rollout: &Rollout, pool: &Pool) -> Findings {
    let arm = |arm: Arm, version: &name::Version| {
        pool.total(|key| key.arm == arm && key.version == *version)
    };
    let candidate = arm(Arm::Candidate(rollout.since), &rollout.version);
    let control = arm(Arm::Control(rollout.since), &rollout.baseline);
    let share = arm(Arm::Share(rollout.since), &rollout.version);
    let log_e_value = |sample: fn(&Counts) -> Sample, margin| {
        sequential_test::log_e_value(&sample(&candidate), &sample(&control), margin)
    };
    let log_e_values = [
        log_e_value(Sample::errors, ERROR_MARGIN),
        log_e_value(Sample::crashes, ERROR_MARGIN),
        sequential_test::latency_log_e_value(&candidate, &control),
        log_e_value(Sample::rating_loss, QUALITY_MARGIN),
    ];
    Findings {
        exposed: candidate.started + share.started,
        candidate,
        control,
        log_e_values,
    }
}

/// Returns the logarithm of the e-value at which a test stops the rollout.
///
/// `fraction` is the test's part of [`FALSE_ALARM_PROBABILITY`]. It is halved
/// from one stage to the next, so that the sum over all stages stays within
/// that probability. `earlier` counts the earlier stages in which the test
/// could stop the rollout.
#[must_use]
pub fn threshold(earlier: usize, fraction: f64) -> f64 {
    let stage_fraction = 0.5_f64.powi(i32::try_from(earlier).unwrap_or(i32::MAX).saturating_add(1));
    -(FALSE_ALARM_PROBABILITY * fraction * stage_fraction).ln()
}

/// Returns the number of earlier stages in which a test could stop the rollout.
fn earlier_stages(rollout: &Rollout, test: usize) -> usize {
    let stages = &rollout.stages[..rollout.stage];
    if test + 1 < TEST_FRACTIONS.len() {
        return stages.len();
    }
    // Ratings are not evaluated in stages below the minimum exposure.
    stages
        .iter()
        .filter(|s| s.exposure >= MIN_RATED_EXPOSURE)
        .count()
}

/// Returns the action for a running rollout: rollback, hold, advance or none.
fn decide(
    rollout: &Rollout,
    pool: &Pool,
    elapsed: Span,
    ratings_stopped: bool,
    baseline_shifted: bool,
) -> Option<Action> {
    let findings = findings(rollout, pool);
    for (test, (log_e_value, fraction)) in findings
        .log_e_values
        .into_iter()
        .zip(TEST_FRACTIONS)
        .enumerate()
    {
        // A shift that also affects the baseline is no evidence against the version.
        let is_rated = rollout.stages[rollout.stage].exposure >= MIN_RATED_EXPOSURE;
        let is_evaluated = test + 1 < TEST_FRACTIONS.len() || (is_rated && !baseline_shifted);
        if is_evaluated && log_e_value >= threshold(earlier_stages(rollout, test), fraction) {
            return Some(Action::Change(Change::RollBack {
                version: rollout.version.clone(),
                reason: rollback_reason(test, &findings),
            }));
        }
    }
    let hold = |reason: &str| {
        Some(Action::Hold {
            version: rollout.version.clone(),
            reason: reason.to_owned(),
        })
    };
    if ratings_stopped {
        return hold("the rating service sends no ratings");
    }
    if baseline_shifted {
        return hold("ratings of the baseline moved as well");
    }
    if elapsed < rollout.stages[rollout.stage].at_least {
        return None;
    }
    if let Some(reason) = unmet_condition(rollout, &findings) {
        let exposure = rollout.stages[rollout.stage].exposure;
        let is_exhausted = findings.exposed >= exposure;
        return is_exhausted.then(|| hold(reason)).flatten();
    }
    Some(Action::Change(Change::AdvanceRollout {
        version: rollout.version.clone(),
        from: rollout.stage,
    }))
}

/// Returns the reason for a rollback by the given test.
fn rollback_reason(test: usize, findings: &Findings) -> String {
    format!(
        "{} are worse than the baseline's: evidence e^{:.1} after {} requests and {} ratings",
        TEST_NAMES[test], findings.log_e_values[test], findings.exposed, findings.candidate.ratings
    )
}

/// Returns the first condition that keeps a stage from passing.
fn unmet_condition(rollout: &Rollout, findings: &Findings) -> Option<&'static str> {
    let (candidate, control) = (&findings.candidate, &findings.control);
    if candidate.ended() < MIN_PASS_REQUESTS || control.ended() < MIN_PASS_REQUESTS {
        return Some("too few requests have ended");
    }
    let (errors, baseline_errors) = (Sample::errors(candidate), Sample::errors(control));
    if !sequential_test::is_within(
        &errors,
        &baseline_errors,
        MAX_ERROR_INCREASE,
        PASS_DEVIATIONS,
    ) {
        return Some("more errors can't be ruled out");
    }
    if median_bucket(candidate) > median_bucket(control) + MAX_MEDIAN_INCREASE {
        return Some("later first tokens can't be ruled out");
    }
    if rollout.stages[rollout.stage].exposure < MIN_RATED_EXPOSURE {
        return None;
    }
    let (loss, baseline_loss) = (Sample::rating_loss(candidate), Sample::rating_loss(control));
    if loss.size() < MIN_PASS_RATINGS || baseline_loss.size() < MIN_PASS_RATINGS {
        return Some("too few ratings have come");
    }
    if !sequential_test::is_within(&loss, &baseline_loss, MAX_QUALITY_LOSS, PASS_DEVIATIONS) {
        return Some("lower quality can't be ruled out");
    }
    None
}

/// Returns the histogram bucket of the median time to the first token.
fn median_bucket(counts: &Counts) -> usize {
    let mut remaining = counts.completed / 2;
    for (bucket, count) in counts.first_buckets.iter().enumerate() {
        if *count > remaining {
            return bucket;
        }
        remaining -= count;
    }
    0
}
