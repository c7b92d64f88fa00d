//! The share of requests that a version in rollout gets.

use crate::{
    config::{Config, Progress, Rollout},
    request::ModelRequest,
};

/// Share of requests that try a version in rollout on its own, at most.
pub const TRIAL_SHARE: f64 = 0.05;

/// Share of requests that run on the baseline on its own, for comparison.
pub const CONTROL_SHARE: f64 = 0.15;

/// A request's place in the comparison of a version in rollout with its baseline.
#[derive(Clone, Copy, Debug)]
pub struct Assignment<'a> {
    /// The rollout.
    pub rollout: &'a Rollout,
    /// The part of requests that it belongs to.
    pub group: Group,
}

/// A part of the requests during a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// Runs on the version in rollout alone.
    Trial,
    /// Runs on the baseline alone.
    Control,
    /// Gets the version in rollout where it would get the baseline.
    Share,
    /// Takes no part.
    Unassigned,
}

impl Group {
    fn of(place: f64, share: f64) -> Self {
        if place < share.min(TRIAL_SHARE) {
            Self::Trial
        } else if place >= 1.0 - CONTROL_SHARE {
            Self::Control
        } else if place < share {
            Self::Share
        } else {
            Self::Unassigned
        }
    }
}

/// Returns the comparison that a request takes part in.
///
/// A session's requests all have the same place. Shares only grow, so a request
/// that gets the version in one stage gets it in the later ones.
#[must_use]
pub fn assign<'a>(config: &'a Config, ask: &ModelRequest) -> Option<Assignment<'a>> {
    let key = ask.session.as_ref().map_or(ask.id.as_str(), |s| &s.id);
    let mut running = (config.rollouts.iter())
        .filter(|r| r.progress == Progress::Running && config.is_allowed(&ask.account, &r.version));
    running.find_map(|rollout| {
        let share = rollout.stages[rollout.stage].share;
        let group = Group::of(hash_fraction(rollout.version.as_str(), key), share);
        (group != Group::Unassigned).then_some(Assignment { rollout, group })
    })
}

/// Returns the place of `key` in 0 to 1, drawn by a hash that `salt` makes independent of other uses.
#[must_use]
#[expect(clippy::cast_precision_loss)]
pub fn hash_fraction(salt: &str, key: &str) -> f64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(salt.as_bytes());
    // Names and session ids have no NUL byte, so salt and key can't run together.
    hasher.update(&[0]);
    hasher.update(key.as_bytes());
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    // 53 bits are what a double holds exactly.
    (u64::from_le_bytes(bytes) >> 11) as f64 / (1_u64 << 53) as f64
}
