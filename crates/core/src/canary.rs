//! Canary analysis: the share of a service's requests that a new version gets, and when it is
//! reverted.
//!
//! The first half of a rollout leaves running sessions alone. Then the canary gets a small share,
//! and all requests move late, which limits the exposure to a version that fails late or only under
//! load. A session belongs to the new version if its draw lies below the share. That holds on every
//! instance, and the share only grows, so sessions don't move back.

use crate::{
    replicated::{Phase, Rollout},
    report::VersionStats,
    rollout::{
        FALSE_ALARM_PROBABILITY,
        lateness::{self, MIN_JUDGED},
        sequential_test::{Sample, log_e_value},
    },
};

/// Percentage of the rollout's time after which the canary starts.
const CANARY_PERCENT: u64 = 51;

/// Share of the requests that the canary gets, in permille.
const CANARY_PERMILLE: u16 = 80;

/// Percentage of the rollout's time after which a good version gets all requests.
const SWITCH_PERCENT: u64 = 82;

/// Percentage of the rollout's time after which it completes even if the old version still has
/// running requests.
///
/// The rest of the time is a reserve: an operator whose first calls got no answer measures the
/// deadline from the first of them, and polls for the result.
const COMPLETE_PERCENT: u64 = 92;

/// Minimum number of requests that a version must have answered before it gets all of them.
const MIN_ANSWERS: u64 = 12;

/// Minimum number of failed or slow answers for a revert, so that one or two chance failures never
/// cause it.
const MIN_BAD_ANSWERS: u64 = 3;

/// Tolerated increase of the failure rate.
const FAILURE_MARGIN: f64 = 0.03;

/// Tolerated increase of the rate of slow answers.
const SLOW_MARGIN: f64 = 0.15;

/// A change of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// Share of the requests that the new version gets, in permille.
    pub permille: u16,
    /// Progress.
    pub phase: Phase,
}

/// Returns whether the new version is significantly worse than the others.
#[must_use]
pub fn is_worse(new: &VersionStats, old: &VersionStats) -> bool {
    let threshold = -FALSE_ALARM_PROBABILITY.ln();
    let failures = new.failed >= MIN_BAD_ANSWERS
        && log_e_value(
            &Sample::binary(new.ended(), new.failed),
            &Sample::binary(old.ended(), old.failed),
            FAILURE_MARGIN,
        ) > threshold;
    let latency = new.slow >= MIN_BAD_ANSWERS
        && log_e_value(
            &Sample::binary(new.ended(), new.slow),
            &Sample::binary(old.ended(), old.slow),
            SLOW_MARGIN,
        ) > threshold;
    failures || latency || lateness::is_slower(&new.timings, &old.timings)
}

/// Returns the next change of a rollout in progress, if one is due.
///
/// `now_ms` is the leader's wall clock in milliseconds since the Unix epoch.
#[must_use]
pub fn step(
    rollout: &Rollout,
    new: &VersionStats,
    old: &VersionStats,
    now_ms: u64,
) -> Option<Step> {
    if rollout.phase != Phase::InProgress {
        return None;
    }
    let reverted = Step {
        permille: 0,
        phase: Phase::Reverted,
    };
    if is_worse(new, old) {
        return Some(reverted);
    }
    let elapsed = now_ms.saturating_sub(rollout.began_ms);
    let percent = elapsed * 100 / rollout.duration_ms.max(1);
    if rollout.permille >= 1_000 {
        let drained = old.running == 0;
        return (drained || percent >= COMPLETE_PERCENT).then_some(Step {
            permille: 1_000,
            phase: Phase::Completed,
        });
    }
    if percent < SWITCH_PERCENT {
        let due = rollout.permille == 0 && percent >= CANARY_PERCENT;
        return due.then_some(Step {
            permille: CANARY_PERMILLE,
            phase: Phase::InProgress,
        });
    }
    if new.ended() < MIN_ANSWERS {
        return (percent >= COMPLETE_PERCENT).then_some(reverted);
    }
    let can_judge = lateness::total(&old.timings).judged >= MIN_JUDGED;
    let is_unjudged = can_judge && lateness::total(&new.timings).judged < MIN_JUDGED;
    let is_suspect = lateness::is_suspect(&new.timings, &old.timings);
    if percent < COMPLETE_PERCENT && (is_unjudged || is_suspect) {
        return None;
    }
    if is_suspect {
        return Some(reverted);
    }
    Some(Step {
        permille: 1_000,
        phase: Phase::InProgress,
    })
}
