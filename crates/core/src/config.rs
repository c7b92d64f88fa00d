//! The accepted configuration, its changes and its digest.
//!
//! Applying the same changes in the same order gives the same configuration
//! and digest on every replica and instance.

use serde::{Deserialize, Serialize};

use crate::{error, inventory, name, time::Span};

/// Largest number of stages of a rollout.
pub const MAX_STAGES: usize = 16;

/// Where a rollout stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Progress {
    /// The stage's share of new sessions and requests goes to the version.
    Running,
    /// Stopped and rolled back: the version gets no new work.
    RolledBack,
    /// All stages passed: the version is stable.
    Finished,
}

/// What a version may be used for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum VersionStatus {
    /// Serves all requests that are allowed to use it.
    Stable,
    /// Serves this share of new requests, from 0 to 1, and its sessions.
    RollingOut(f64),
    /// Imported, and not yet rolled out.
    Idle,
    /// Rolled back or withdrawn: no new work.
    Withdrawn,
}

plain! {
    /// A stage of a rollout.
    #[serde(deny_unknown_fields)]
    pub struct Stage {
        /// Share of new requests and sessions, above 0 and at most 1.
        pub share: f64,
        /// Most requests that the version may answer in this stage before evidence decides.
        pub exposure: u64,
        /// Shortest time in this stage.
        pub at_least: Span,
    }

    /// A rollout of a version.
    pub struct Rollout {
        /// The version that is rolled out.
        pub version: name::Version,
        /// The stable version of the same model that it is compared with.
        pub baseline: name::Version,
        /// Stages in order, with growing shares.
        pub stages: Vec<Stage>,
        /// Index of the current stage.
        pub stage: usize,
        /// Where it stands.
        pub progress: Progress,
        /// Revision that began the current stage.
        pub since: u64,
        /// Why it was rolled back.
        pub reason: Option<String>,
    }

    /// A restriction that holds where it is heard, without the majority.
    #[derive(Eq)]
    pub enum Restriction {
        /// The version gets no new work.
        Withdraw(name::Version),
        /// The failure domain gets no new work.
        TakeOut(name::Domain),
        /// The upstream gets no new work.
        Drain(name::Upstream),
        /// The client account's requests are refused.
        Block(name::Account),
    }

    /// A change of the configuration.
    pub enum Change {
        /// Replaces the inventory. Withdrawals, blocks and taken-out domains stay.
        Import(inventory::Raw),
        /// Replaces the rules.
        SetRules(inventory::RawRules),
        /// Applies a restriction.
        Restrict(Restriction),
        /// Lifts a restriction of the configuration.
        Allow(Restriction),
        /// Lifts a restriction that was made on a cut-off side.
        Lift(name::Restriction),
        /// Starts a rollout.
        StartRollout {
            /// The version to roll out.
            version: name::Version,
            /// The stable version to compare with.
            baseline: name::Version,
            /// Stages in order, with growing shares.
            stages: Vec<Stage>,
        },
        /// Moves a rollout to its next stage, or finishes it after the last.
        AdvanceRollout {
            /// The version that is rolled out.
            version: name::Version,
            /// The stage that is left, so that a repeat does not skip one.
            from: usize,
        },
        /// Stops a rollout and rolls it back, also after it has finished.
        RollBack {
            /// The version that is rolled out.
            version: name::Version,
            /// Why.
            reason: String,
        },
    }

    /// The configuration at one revision. Lists are sorted.
    #[derive(Default)]
    pub struct Config {
        /// Number of accepted changes.
        pub revision: u64,
        /// Imported inventory.
        pub inventory: inventory::Inventory,
        /// Rules.
        pub rules: inventory::Rules,
        /// Withdrawn versions.
        pub withdrawn: Vec<name::Version>,
        /// Failure domains that are taken out.
        pub taken_out: Vec<name::Domain>,
        /// Upstreams that get no new work.
        pub drained: Vec<name::Upstream>,
        /// Client accounts that are refused.
        pub blocked: Vec<name::Account>,
        /// Versions that finished a rollout.
        pub promoted: Vec<name::Version>,
        /// Rollouts, running and ended, sorted by version.
        pub rollouts: Vec<Rollout>,
        /// Local restrictions that are lifted.
        pub lifted: Vec<name::Restriction>,
    }
}

fn invalid<M>(message: M) -> error::Error
where
    M: Into<String>,
{
    error::Error::new(error::Kind::InvalidChange, message)
}

/// Inserts into a sorted vector; returns whether it was absent.
pub fn insert_sorted<T>(list: &mut Vec<T>, item: T) -> bool
where
    T: Ord,
{
    match list.binary_search(&item) {
        Ok(_) => false,
        Err(at) => {
            list.insert(at, item);
            true
        }
    }
}

/// Removes from a sorted vector; returns whether it was present.
pub fn remove_sorted<T>(list: &mut Vec<T>, item: &T) -> bool
where
    T: Ord,
{
    match list.binary_search(item) {
        Ok(at) => {
            list.remove(at);
            true
        }
        Err(_) => false,
    }
}

/// Removes the element of a sorted vector that compares equal; returns whether it was present.
pub fn remove_sorted_by<T, F>(list: &mut Vec<T>, compare: F) -> bool
where
    F: FnMut(&T) -> std::cmp::Ordering,
{
    match list.binary_search_by(compare) {
        Ok(at) => {
            list.remove(at);
            true
        }
        Err(_) => false,
    }
}

impl Config {
    /// Returns the configuration after `change`, one revision later.
    ///
    /// # Errors
    ///
    /// Returns [`error::Kind::InvalidChange`] if the change does not fit. The
    /// configuration stays as it is.
    pub fn changed(&self, change: &Change) -> Result<Self, error::Error> {
        let mut next = self.clone();
        next.apply(change)?;
        next.revision += 1;
        Ok(next)
    }

    fn apply(&mut self, change: &Change) -> Result<(), error::Error> {
        match change {
            Change::Import(raw) => {
                self.inventory = raw
                    .clone()
                    .try_into()
                    .map_err(|e: inventory::Error| invalid(e.to_string()))?;
                Ok(())
            }
            Change::SetRules(raw) => {
                self.rules = raw
                    .clone()
                    .try_into()
                    .map_err(|e: inventory::Error| invalid(e.to_string()))?;
                Ok(())
            }
            Change::Restrict(limit) => self.restrict(limit),
            Change::Allow(limit) => self.allow(limit),
            Change::Lift(id) => {
                if insert_sorted(&mut self.lifted, id.clone()) {
                    return Ok(());
                }
                Err(invalid(format!("restriction {id} is lifted already")))
            }
            Change::StartRollout {
                version,
                baseline,
                stages,
            } => self.start_rollout(version, baseline, stages),
            Change::AdvanceRollout { version, from } => self.advance_rollout(version, *from),
            Change::RollBack { version, reason } => self.roll_back(version, reason),
        }
    }

    fn restrict(&mut self, limit: &Restriction) -> Result<(), error::Error> {
        // A restriction that names nothing known is a typing error that would
        // otherwise look as if it had worked.
        let (known, fresh) = match limit {
            Restriction::Withdraw(v) => (
                self.inventory.version(v).is_some(),
                insert_sorted(&mut self.withdrawn, v.clone()),
            ),
            Restriction::TakeOut(d) => (
                self.inventory.domain(d).is_some(),
                insert_sorted(&mut self.taken_out, d.clone()),
            ),
            Restriction::Drain(u) => (
                self.inventory.upstream(u).is_some(),
                insert_sorted(&mut self.drained, u.clone()),
            ),
            Restriction::Block(a) => (
                self.inventory.account(a).is_some(),
                insert_sorted(&mut self.blocked, a.clone()),
            ),
        };
        match (known, fresh) {
            (false, _) => Err(invalid(format!("{limit:?} names nothing in the inventory"))),
            (true, false) => Err(invalid(format!("{limit:?} holds already"))),
            (true, true) => Ok(()),
        }
    }

    fn allow(&mut self, limit: &Restriction) -> Result<(), error::Error> {
        let present = match limit {
            Restriction::Withdraw(v) => remove_sorted(&mut self.withdrawn, v),
            Restriction::TakeOut(d) => remove_sorted(&mut self.taken_out, d),
            Restriction::Drain(u) => remove_sorted(&mut self.drained, u),
            Restriction::Block(a) => remove_sorted(&mut self.blocked, a),
        };
        if present {
            return Ok(());
        }
        Err(invalid(format!("{limit:?} does not hold")))
    }

    fn start_rollout(
        &mut self,
        version: &name::Version,
        baseline: &name::Version,
        stages: &[Stage],
    ) -> Result<(), error::Error> {
        let candidate = self
            .inventory
            .version(version)
            .ok_or_else(|| invalid(format!("unknown version {version}")))?;
        let stable = self
            .inventory
            .version(baseline)
            .ok_or_else(|| invalid(format!("unknown version {baseline}")))?;
        if candidate.model != stable.model {
            return Err(invalid(format!(
                "{version} and {baseline} are not of one model"
            )));
        }
        if self.version_status(baseline) != VersionStatus::Stable {
            return Err(invalid(format!("baseline {baseline} is not stable")));
        }
        if matches!(
            self.version_status(version),
            VersionStatus::Stable | VersionStatus::RollingOut(_)
        ) {
            return Err(invalid(format!("{version} is in use already")));
        }
        if self.withdrawn.binary_search(version).is_ok() {
            return Err(invalid(format!("{version} is withdrawn")));
        }
        check_stages(stages)?;
        let rollout = Rollout {
            version: version.clone(),
            baseline: baseline.clone(),
            stages: stages.to_vec(),
            stage: 0,
            progress: Progress::Running,
            since: self.revision + 1,
            reason: None,
        };
        match self.rollouts.binary_search_by(|r| r.version.cmp(version)) {
            Ok(at) => self.rollouts[at] = rollout,
            Err(at) => self.rollouts.insert(at, rollout),
        }
        Ok(())
    }

    fn running(&mut self, version: &name::Version) -> Result<&mut Rollout, error::Error> {
        self.rollouts
            .iter_mut()
            .find(|r| r.version == *version && r.progress == Progress::Running)
            .ok_or_else(|| invalid(format!("no rollout of {version} is running")))
    }

    fn advance_rollout(
        &mut self,
        version: &name::Version,
        from: usize,
    ) -> Result<(), error::Error> {
        let since = self.revision + 1;
        let rollout = self.running(version)?;
        if rollout.stage != from {
            return Err(invalid(format!(
                "the rollout of {version} is at stage {}, not {from}",
                rollout.stage
            )));
        }
        rollout.since = since;
        if from + 1 < rollout.stages.len() {
            rollout.stage += 1;
            return Ok(());
        }
        rollout.progress = Progress::Finished;
        insert_sorted(&mut self.promoted, version.clone());
        Ok(())
    }

    fn roll_back(&mut self, version: &name::Version, reason: &str) -> Result<(), error::Error> {
        let since = self.revision + 1;
        let rollout = self
            .rollouts
            .iter_mut()
            .find(|r| r.version == *version && r.progress != Progress::RolledBack)
            .ok_or_else(|| invalid(format!("no rollout of {version} is running or finished")))?;
        rollout.progress = Progress::RolledBack;
        rollout.reason = Some(reason.to_owned());
        rollout.since = since;
        remove_sorted(&mut self.promoted, version);
        Ok(())
    }

    /// Returns the configuration with restrictions that no accepted revision made.
    ///
    /// The revision stays the same. What names nothing known has no effect.
    #[must_use]
    pub fn restricted<'a, I>(&self, limits: I) -> Self
    where
        I: IntoIterator<Item = &'a Restriction>,
    {
        let mut next = self.clone();
        for limit in limits {
            match limit {
                Restriction::Withdraw(v) => insert_sorted(&mut next.withdrawn, v.clone()),
                Restriction::TakeOut(d) => insert_sorted(&mut next.taken_out, d.clone()),
                Restriction::Drain(u) => insert_sorted(&mut next.drained, u.clone()),
                Restriction::Block(a) => insert_sorted(&mut next.blocked, a.clone()),
            };
        }
        next
    }

    /// Returns what the version may be used for.
    #[must_use]
    pub fn version_status(&self, version: &name::Version) -> VersionStatus {
        let Some(entry) = self.inventory.version(version) else {
            return VersionStatus::Withdrawn;
        };
        if self.withdrawn.binary_search(version).is_ok() {
            return VersionStatus::Withdrawn;
        }
        let rollout = self
            .rollouts
            .binary_search_by(|r| r.version.cmp(version))
            .map(|at| &self.rollouts[at]);
        match rollout {
            Ok(r) => match r.progress {
                Progress::Running => VersionStatus::RollingOut(r.stages[r.stage].share),
                Progress::RolledBack => VersionStatus::Withdrawn,
                Progress::Finished => VersionStatus::Stable,
            },
            Err(_) if entry.stable => VersionStatus::Stable,
            Err(_) if self.promoted.binary_search(version).is_ok() => VersionStatus::Stable,
            Err(_) => VersionStatus::Idle,
        }
    }

    /// Returns whether the client account may use the version at all.
    #[must_use]
    pub fn is_allowed(&self, account: &name::Account, version: &name::Version) -> bool {
        let (Some(entry), Some(rule)) =
            (self.inventory.version(version), self.rules.account(account))
        else {
            return false;
        };
        rule.models.binary_search(&entry.model).is_ok()
            && rule.except.binary_search(version).is_err()
    }

    /// Returns the BLAKE3 digest of the configuration in hexadecimal.
    ///
    /// # Panics
    ///
    /// Never: the types of the configuration always serialize.
    #[must_use]
    pub fn digest(&self) -> String {
        let bytes = serde_json::to_vec(self).expect("configuration types serialize");
        blake3::hash(&bytes).to_hex().to_string()
    }
}

fn check_stages(stages: &[Stage]) -> Result<(), error::Error> {
    if stages.is_empty() || stages.len() > MAX_STAGES {
        return Err(invalid(format!("a rollout has 1 to {MAX_STAGES} stages")));
    }
    let mut last = 0.0;
    for stage in stages {
        if !(stage.share > last && stage.share <= 1.0) {
            return Err(invalid(
                "shares of stages grow and lie above 0 and at most at 1",
            ));
        }
        last = stage.share;
    }
    Ok(())
}
