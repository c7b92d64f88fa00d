//! The controller of rollouts, run by the control leader.
//!
//! In each stage the version in rollout is compared with its baseline on
//! requests that are split by hash. Errors, crashes, first tokens and ratings
//! each have a sequential test ([`sequential_test`]); together they stop a version that
//! is no worse than its baseline with probability [`FALSE_ALARM_PROBABILITY`] at most over
//! the whole rollout. All evidence is keyed by the revision that began the
//! stage, so a new leader continues from the configuration and the pool.

use crate::{
    config::{Change, Config, Progress, Rollout},
    evidence::{Arm, Counts, Pool},
    name,
    time::{Span, Time},
};

pub mod regression;
pub mod sequential_test;

use sequential_test::Sample;

/// Highest probability of stopping a version that is no worse than its baseline.
pub const FALSE_ALARM_PROBABILITY: f64 = 0.01;

/// Parts of [`FALSE_ALARM_PROBABILITY`] for errors, crashes, first tokens and ratings.
const PARTS: [f64; 4] = [0.3, 0.05, 0.1, 0.55];

/// Excess of errors and crashes that is not worth a stop.
pub const ERROR_MARGIN: f64 = 0.005;

/// Loss of quality that is not worth a stop.
pub const QUALITY_MARGIN: f64 = 0.01;

/// Excess of errors that must be ruled out before a stage passes.
const ERROR_BOUND: f64 = 0.1;

/// Loss of quality that must be ruled out before a stage passes.
const QUALITY_BOUND: f64 = 0.2;

/// Exposure below which a stage passes without ratings, because too few can come.
const RATED_EXPOSURE: u64 = 100;

/// Standard deviations granted for chance when a stage passes.
const PASS_DEVIATIONS: f64 = 2.5;

/// Fewest ratings on which a stage passes.
const PASS_RATINGS: f64 = 35.0;

/// Fewest ended requests on which a stage passes.
const PASS_REQUESTS: u64 = 40;

/// Buckets by which the median first token may be later when a stage passes.
const PASS_BUCKETS: usize = 2;

/// Time without any rating after which the rating service counts as failed.
const SILENCE: Span = Span::from_secs(60);

/// Requests that must end in [`SILENCE`] for it to say anything.
const SILENCE_REQUESTS: u64 = 100;

/// What the leader should do or tell operators. The same action comes again until the configuration shows it.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Proposes a change.
    Change(Change),
    /// Keeps a rollout at its stage.
    Hold {
        /// The version in rollout.
        version: name::Version,
        /// Why.
        reason: String,
    },
    /// Tells operators of a stable version that turned bad and can't be replaced.
    Alarm {
        /// The version.
        version: name::Version,
        /// Why.
        reason: String,
    },
}

/// Evidence of one stage so far, for `masticlock status`.
#[derive(Clone, Debug, PartialEq)]
pub struct Findings {
    /// Counters of the version in rollout.
    pub candidate: Counts,
    /// Counters of its baseline at the same time.
    pub control: Counts,
    /// Requests that the version was sent in the stage, with those outside of the comparison.
    pub exposed: u64,
    /// Log of the evidence that the version has more errors, crashes, later tokens or lower ratings.
    pub log_e_values: [f64; 4],
}

/// Names of the four tests, for messages.
const SUBJECTS: [&str; 4] = ["errors", "crashes", "first tokens", "ratings"];

/// A stage that the controller has seen.
#[derive(Clone, Debug)]
struct Seen {
    version: name::Version,
    since: u64,
    at: Time,
}

/// Moves rollouts on, stops them and watches stable versions.
#[derive(Clone, Debug, Default)]
pub struct Controller {
    stages: Vec<Seen>,
    ratings: Pulse,
    watch: regression::Detector,
}

/// Whether ratings still come.
#[derive(Clone, Copy, Debug, Default)]
struct Pulse {
    ratings: u64,
    ended: u64,
    at: Option<Time>,
}

impl Pulse {
    /// Returns whether ratings have stopped although requests end.
    fn is_silent(&mut self, pool: &Pool, now: Time) -> bool {
        let total = pool.total(|_| true);
        if self.at.is_none() || total.ratings != self.ratings {
            *self = Self {
                ratings: total.ratings,
                ended: total.ended(),
                at: Some(now),
            };
        }
        let ended = total.ended().saturating_sub(self.ended);
        let quiet = self.at.is_some_and(|at| now.since(at) >= SILENCE);
        quiet && ended >= SILENCE_REQUESTS
    }
}

impl Controller {
    /// Returns a controller that has seen nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns what to do. Called about once a second.
    pub fn step(&mut self, config: &Config, pool: &Pool, now: Time) -> Vec<Action> {
        let silent = self.ratings.is_silent(pool, now);
        let running = |r: &&Rollout| r.progress == Progress::Running;
        self.stages.retain(|s| {
            (config.rollouts.iter()).any(|r| r.version == s.version && r.since == s.since)
        });
        let mut actions: Vec<_> = (config.rollouts.iter().filter(running))
            .filter_map(|rollout| {
                let began = self.began(rollout, now);
                let strange =
                    self.watch
                        .has_recent_rating_shift(&rollout.baseline, pool, rollout.since);
                decide(rollout, pool, now.since(began), silent, strange)
            })
            .collect();
        actions.extend(self.watch.step(config, pool, now));
        actions
    }

    /// Returns when this controller first saw the rollout's stage.
    ///
    /// A new leader counts the shortest time of the stage anew.
    fn began(&mut self, rollout: &Rollout, now: Time) -> Time {
        let seen =
            (self.stages.iter()).find(|s| s.version == rollout.version && s.since == rollout.since);
        if let Some(seen) = seen {
            return seen.at;
        }
        self.stages.push(Seen {
            version: rollout.version.clone(),
            since: rollout.since,
            at: now,
        });
        now
    }
}

/// Returns the evidence of a rollout's current stage.
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

/// Returns the log of the evidence at which a test stops the rollout.
///
/// The part of false alarms is halved from one stage to the next, so that all
/// stages keep to the stated rate. `earlier` counts the stages before this one
/// in which the test could act.
#[must_use]
pub fn threshold(earlier: usize, part: f64) -> f64 {
    let share = 0.5_f64.powi(i32::try_from(earlier).unwrap_or(i32::MAX).saturating_add(1));
    -(FALSE_ALARM_PROBABILITY * part * share).ln()
}

/// Returns the stages before the current one in which a test could act.
fn earlier(rollout: &Rollout, test: usize) -> usize {
    let stages = &rollout.stages[..rollout.stage];
    if test + 1 < PARTS.len() {
        return stages.len();
    }
    // Ratings stop nothing in a stage that is too small for them.
    stages
        .iter()
        .filter(|s| s.exposure >= RATED_EXPOSURE)
        .count()
}

fn decide(
    rollout: &Rollout,
    pool: &Pool,
    spent: Span,
    silent: bool,
    strange: bool,
) -> Option<Action> {
    let findings = findings(rollout, pool);
    for (at, (evidence, part)) in findings.log_e_values.into_iter().zip(PARTS).enumerate() {
        // Ratings that moved for the baseline too say nothing about the version.
        let rated = rollout.stages[rollout.stage].exposure >= RATED_EXPOSURE;
        let counts = at + 1 < PARTS.len() || (rated && !strange);
        if counts && evidence >= threshold(earlier(rollout, at), part) {
            return Some(Action::Change(Change::RollBack {
                version: rollout.version.clone(),
                reason: describe(at, &findings),
            }));
        }
    }
    let hold = |reason: &str| {
        Some(Action::Hold {
            version: rollout.version.clone(),
            reason: reason.to_owned(),
        })
    };
    if silent {
        return hold("the rating service sends no ratings");
    }
    if strange {
        return hold("ratings of the baseline moved as well");
    }
    if spent < rollout.stages[rollout.stage].at_least {
        return None;
    }
    if let Some(reason) = missing(rollout, &findings) {
        let exposure = rollout.stages[rollout.stage].exposure;
        let used_up = findings.exposed >= exposure;
        return used_up.then(|| hold(reason)).flatten();
    }
    Some(Action::Change(Change::AdvanceRollout {
        version: rollout.version.clone(),
        from: rollout.stage,
    }))
}

fn describe(test: usize, findings: &Findings) -> String {
    format!(
        "{} are worse than the baseline's: evidence e^{:.1} after {} requests and {} ratings",
        SUBJECTS[test], findings.log_e_values[test], findings.exposed, findings.candidate.ratings
    )
}

/// Returns what a stage lacks before it passes.
fn missing(rollout: &Rollout, findings: &Findings) -> Option<&'static str> {
    let (candidate, control) = (&findings.candidate, &findings.control);
    if candidate.ended() < PASS_REQUESTS || control.ended() < PASS_REQUESTS {
        return Some("too few requests have ended");
    }
    let (errors, normal_errors) = (Sample::errors(candidate), Sample::errors(control));
    if !sequential_test::is_within(&errors, &normal_errors, ERROR_BOUND, PASS_DEVIATIONS) {
        return Some("more errors can't be ruled out");
    }
    if median(candidate) > median(control) + PASS_BUCKETS {
        return Some("later first tokens can't be ruled out");
    }
    if rollout.stages[rollout.stage].exposure < RATED_EXPOSURE {
        return None;
    }
    let (loss, normal_loss) = (Sample::rating_loss(candidate), Sample::rating_loss(control));
    if loss.size() < PASS_RATINGS || normal_loss.size() < PASS_RATINGS {
        return Some("too few ratings have come");
    }
    if !sequential_test::is_within(&loss, &normal_loss, QUALITY_BOUND, PASS_DEVIATIONS) {
        return Some("lower quality can't be ruled out");
    }
    None
}

fn median(counts: &Counts) -> usize {
    let mut left = counts.completed / 2;
    for (at, count) in counts.first_buckets.iter().enumerate() {
        if *count > left {
            return at;
        }
        left -= count;
    }
    0
}
