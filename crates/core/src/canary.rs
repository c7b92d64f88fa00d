//! The share of a service's requests that a new version gets, and the verdict on it.
//!
//! The first half of a rollout changes nothing for sessions that are under way. Then a small share is
//! tried, and all requests move late, so that a version that turns bad late or only under load has
//! been given little. A session belongs to the new version if its draw lies below the share, on
//! every instance, and the share only grows.

use crate::{
    replicated::{Phase, Rollout},
    report::VersionStats,
    rollout::{
        FALSE_ALARM_PROBABILITY,
        sequential_test::{Sample, log_e_value},
    },
};

/// Part of the rollout's time, in percent, after which the new version is tried.
const TRIAL_PERCENT: u64 = 51;

/// Requests of 1,000 that a new version gets while it is tried.
const TRIAL_PERMILLE: u16 = 80;

/// Part of the rollout's time, in percent, after which a good version gets all requests.
const SWITCH_PERCENT: u64 = 82;

/// Part of the rollout's time, in percent, after which the old version is given up. An operator whose
/// first calls got no answer counts from the first of them, and asks for the result now and then.
const COMPLETE_PERCENT: u64 = 92;

/// Requests that a version must have answered before it gets all of them.
const LEAST_ANSWERS: u64 = 12;

/// Failed or slow answers by which a version is never stopped for chance alone.
const LEAST_BAD: u64 = 3;

/// Difference in failures that is no reason to stop a version.
const ERROR_MARGIN: f64 = 0.03;

/// Difference in slow answers that is no reason to stop a version.
const SLOW_MARGIN: f64 = 0.15;

/// What becomes of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// Requests of 1,000 that the new version gets.
    pub permille: u16,
    /// Progress.
    pub phase: Phase,
}

/// Returns whether the new version does worse than the others beyond chance.
#[must_use]
pub fn is_worse(new: &VersionStats, old: &VersionStats) -> bool {
    let threshold = -FALSE_ALARM_PROBABILITY.ln();
    let failures = new.failed >= LEAST_BAD
        && log_e_value(
            &Sample::binary(new.ended(), new.failed),
            &Sample::binary(old.ended(), old.failed),
            ERROR_MARGIN,
        ) > threshold;
    let delays = new.slow >= LEAST_BAD
        && log_e_value(
            &Sample::binary(new.ended(), new.slow),
            &Sample::binary(old.ended(), old.slow),
            SLOW_MARGIN,
        ) > threshold;
    failures || delays
}

/// Returns the next step of a rollout in progress, if it changes anything.
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
        let due = rollout.permille == 0 && percent >= TRIAL_PERCENT;
        return due.then_some(Step {
            permille: TRIAL_PERMILLE,
            phase: Phase::InProgress,
        });
    }
    if new.ended() < LEAST_ANSWERS {
        return (percent >= COMPLETE_PERCENT).then_some(reverted);
    }
    Some(Step {
        permille: 1_000,
        phase: Phase::InProgress,
    })
}
