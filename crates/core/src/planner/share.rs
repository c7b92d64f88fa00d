//! The share of requests that a version in roll-out gets.

use crate::{
    config::{Config, Progress, Rollout},
    evidence::Arm,
    name,
    request::Ask,
};

/// Highest share of a stage that takes effect; the rest stays with the baseline as control.
pub const MAX_SHARE: f64 = 0.9;

/// A request's place in the comparison of a version in roll-out with its baseline.
#[derive(Clone, Copy, Debug)]
pub struct Comparison<'a> {
    /// The roll-out.
    pub rollout: &'a Rollout,
    /// Whether the request is in the version's share.
    pub inside: bool,
}

impl Comparison<'_> {
    /// Returns the arm that a version's work on the request counts for.
    #[must_use]
    pub fn arm(&self, version: &name::Version) -> Arm {
        let since = self.rollout.since;
        if self.inside && *version == self.rollout.version {
            Arm::Candidate(since)
        } else if !self.inside && *version == self.rollout.baseline {
            Arm::Control(since)
        } else {
            Arm::Plain
        }
    }
}

/// Returns the comparison that a request with these steps takes part in.
///
/// A session's requests all have the same place. Shares only grow, so a request
/// inside of a stage's share is inside of the later ones.
#[must_use]
pub fn comparison<'a>(
    config: &'a Config,
    ask: &Ask,
    steps: &[name::Version],
) -> Option<Comparison<'a>> {
    let key = ask.session.as_ref().map_or(ask.id.as_str(), |s| &s.id);
    let concerned = |r: &&Rollout| {
        r.progress == Progress::Running
            && (steps.contains(&r.baseline) || steps.contains(&r.version))
            && config.is_allowed(&ask.account, &r.version)
    };
    let mut outside = None;
    for rollout in config.rollouts.iter().filter(concerned) {
        let share = rollout.stages[rollout.stage].share.min(MAX_SHARE);
        let inside = position(rollout.version.as_str(), key) < share;
        let comparison = Comparison { rollout, inside };
        if inside {
            return Some(comparison);
        }
        outside = outside.or(Some(comparison));
    }
    outside
}

/// Returns the place of `key` in 0 to 1, drawn by a hash that `salt` makes independent of other uses.
#[must_use]
#[expect(clippy::cast_precision_loss)]
pub fn position(salt: &str, key: &str) -> f64 {
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
