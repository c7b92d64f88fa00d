//! Assignment of requests to the groups of a rollout's comparison.

use crate::{
    config::{Config, Progress, Rollout},
    request::ModelRequest,
};

/// Upper limit of the share of requests that run on the version in rollout alone.
pub const TRIAL_SHARE: f64 = 0.05;

/// Share of requests that run on the baseline alone, as control.
pub const CONTROL_SHARE: f64 = 0.15;

/// A request's group in the comparison of a version in rollout with its baseline.
#[derive(Clone, Copy, Debug)]
pub struct Assignment<'a> {
    /// The rollout.
    pub rollout: &'a Rollout,
    /// The request's group.
    pub group: Group,
}

/// Group of requests during a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// Runs on the version in rollout alone.
    Trial,
    /// Runs on the baseline alone.
    Control,
    /// Runs on the version in rollout wherever its plan has the baseline.
    Share,
    /// Is outside of the rollout.
    Unassigned,
}

impl Group {
    fn of(fraction: f64, share: f64) -> Self {
        if fraction < share.min(TRIAL_SHARE) {
            Self::Trial
        } else if fraction >= 1.0 - CONTROL_SHARE {
            Self::Control
        } else if fraction < share {
            Self::Share
        } else {
            Self::Unassigned
        }
    }
}

/// Returns the rollout and group that a request is assigned to, if any.
///
/// All requests of a session hash to the same fraction. Shares only grow, so a
/// request or session that gets the version in one stage also gets it in later ones.
#[must_use]
pub fn assign<'a>(config: &'a Config, model_request: &ModelRequest) -> Option<Assignment<'a>> {
    let key = model_request
        .session
        .as_ref()
        .map_or(model_request.id.as_str(), |s| &s.id);
    let mut running = (config.rollouts.iter()).filter(|r| {
        r.progress == Progress::Running && config.is_allowed(&model_request.account, &r.version)
    });
    running.find_map(|rollout| {
        let share = rollout.stages[rollout.stage].share;
        let group = Group::of(hash_fraction(rollout.version.as_str(), key), share);
        (group != Group::Unassigned).then_some(Assignment { rollout, group })
    })
}

/// Maps `key` to a fraction from 0 to 1, uniformly distributed over keys.
///
/// Different salts give independent fractions for the same key.
#[must_use]
#[expect(clippy::cast_precision_loss)]
pub fn hash_fraction(salt: &str, key: &str) -> f64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(salt.as_bytes());
    // Names and session ids contain no NUL byte, so it separates salt and key unambiguously.
    hasher.update(&[0]);
    hasher.update(key.as_bytes());
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    // An f64 represents integers of up to 53 bits exactly.
    (u64::from_le_bytes(bytes) >> 11) as f64 / (1_u64 << 53) as f64
}
