//! The committed configuration, its changes and its digest.
//!
//! Changes are deterministic: the same changes in the same order give the same
//! configuration and digest on every replica and instance.

use serde::{Deserialize, Serialize};

use crate::{error, inventory, name, time::Span};

/// Maximum number of stages of a rollout.
pub const MAX_STAGES: usize = 16;

/// Progress of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Progress {
    /// The version gets the stage's share of new sessions and requests.
    Running,
    /// Stopped and rolled back. The version gets no new requests.
    RolledBack,
    /// All stages passed. The version is stable.
    Finished,
}

/// Which requests a version may serve.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum VersionStatus {
    /// Serves all requests that are allowed to use it.
    Stable,
    /// Serves its sessions and this share of new requests, from 0 to 1.
    RollingOut(f64),
    /// Imported, but not yet rolled out.
    Idle,
    /// Rolled back or withdrawn. Serves no new requests.
    Withdrawn,
}

plain! {
    /// A stage of a rollout.
    #[serde(deny_unknown_fields)]
    pub struct Stage {
        /// Share of new requests and sessions, above 0 and at most 1.
        pub share: f64,
        /// Maximum number of requests that the version may serve in this stage before the evidence decides.
        pub exposure: u64,
        /// Minimum duration of the stage.
        pub at_least: Span,
    }

    /// A rollout of a version.
    pub struct Rollout {
        /// The version that is rolled out.
        pub version: name::Version,
        /// The stable version of the same model that it is compared with.
        pub baseline: name::Version,
        /// Stages in order, with increasing shares.
        pub stages: Vec<Stage>,
        /// Index of the current stage.
        pub stage: usize,
        /// Progress.
        pub progress: Progress,
        /// Revision that began the current stage.
        pub since: u64,
        /// Reason for the rollback.
        pub reason: Option<String>,
    }

    /// A restriction. Instances apply it as soon as they learn of it, also without a majority.
    #[derive(Eq)]
    pub enum Restriction {
        /// The version gets no new requests.
        Withdraw(name::Version),
        /// The failure domain gets no new requests.
        TakeOut(name::Domain),
        /// The upstream gets no new requests.
        Drain(name::Upstream),
        /// The client account's requests are refused.
        Block(name::Account),
    }

    /// A change of the configuration.
    pub enum Change {
        /// Replaces the inventory. Restrictions stay.
        Import(inventory::Raw),
        /// Replaces the rules.
        SetRules(inventory::RawRules),
        /// Applies a restriction.
        Restrict(Restriction),
        /// Removes a restriction from the configuration.
        Allow(Restriction),
        /// Lifts a restriction that was made without a majority, in a partitioned part of the cluster.
        Lift(name::Restriction),
        /// Starts a rollout.
        StartRollout {
            /// The version to roll out.
            version: name::Version,
            /// The stable version to compare with.
            baseline: name::Version,
            /// Stages in order, with increasing shares.
            stages: Vec<Stage>,
        },
        /// Moves a rollout to its next stage, or finishes it after the last.
        AdvanceRollout {
            /// The version that is rolled out.
            version: name::Version,
            /// The current stage. A repeated change is refused and skips no stage.
            from: usize,
        },
        /// Stops a rollout and rolls it back, also after it has finished.
        RollBack {
            /// The version that is rolled out.
            version: name::Version,
            /// Reason for the rollback.
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
        /// Upstreams that get no new requests.
        pub drained: Vec<name::Upstream>,
        /// Client accounts whose requests are refused.
        pub blocked: Vec<name::Account>,
        /// Versions that have finished a rollout.
        pub promoted: Vec<name::Version>,
        /// Rollouts, running and ended, sorted by version.
        pub rollouts: Vec<Rollout>,
        /// Ids of lifted restrictions that were made without a majority.
        pub lifted: Vec<name::Restriction>,
    }
}

fn invalid<M>(message: M) -> error::Error
where
    M: Into<String>,
{
    error::Error::new(error::Kind::InvalidChange, message)
}

/// Inserts an element into a sorted vector. Returns `false` if it is already present.
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

/// Removes an element from a sorted vector. Returns `false` if it is absent.
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

/// Removes the element of a sorted vector that compares as equal. Returns `false` if there is none.
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
    /// Returns [`error::Kind::InvalidChange`] if the change does not apply to this configuration.
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
            Change::Restrict(restriction) => self.restrict(restriction),
            Change::Allow(restriction) => self.allow(restriction),
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

    fn restrict(&mut self, restriction: &Restriction) -> Result<(), error::Error> {
        // A restriction of an unknown name has no effect. It is refused, because a misspelt name
        // would otherwise look as if the restriction had worked.
        let (is_known, is_new) = match restriction {
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
        match (is_known, is_new) {
            (false, _) => Err(invalid(format!(
                "{restriction:?} names nothing in the inventory"
            ))),
            (true, false) => Err(invalid(format!("{restriction:?} holds already"))),
            (true, true) => Ok(()),
        }
    }

    fn allow(&mut self, restriction: &Restriction) -> Result<(), error::Error> {
        let was_present = match restriction {
            Restriction::Withdraw(v) => remove_sorted(&mut self.withdrawn, v),
            Restriction::TakeOut(d) => remove_sorted(&mut self.taken_out, d),
            Restriction::Drain(u) => remove_sorted(&mut self.drained, u),
            Restriction::Block(a) => remove_sorted(&mut self.blocked, a),
        };
        if was_present {
            return Ok(());
        }
        Err(invalid(format!("{restriction:?} does not hold")))
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

    /// Returns the running rollout of the version.
    fn running_rollout(&mut self, version: &name::Version) -> Result<&mut Rollout, error::Error> {
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
        let rollout = self.running_rollout(version)?;
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

    /// Returns the configuration with additional restrictions that are not part of a revision.
    ///
    /// The revision stays the same. Restrictions of unknown names have no effect.
    #[must_use]
    pub fn restricted<'a, I>(&self, restrictions: I) -> Self
    where
        I: IntoIterator<Item = &'a Restriction>,
    {
        let mut next = self.clone();
        for restriction in restrictions {
            match restriction {
                Restriction::Withdraw(v) => insert_sorted(&mut next.withdrawn, v.clone()),
                Restriction::TakeOut(d) => insert_sorted(&mut next.taken_out, d.clone()),
                Restriction::Drain(u) => insert_sorted(&mut next.drained, u.clone()),
                Restriction::Block(a) => insert_sorted(&mut next.blocked, a.clone()),
            };
        }
        next
    }

    /// Returns which requests the version may serve.
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

    /// Returns whether the rules allow the client account to use the version.
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

/// Checks that the number of stages is allowed and that their shares increase.
fn check_stages(stages: &[Stage]) -> Result<(), error::Error> {
    if stages.is_empty() || stages.len() > MAX_STAGES {
        return Err(invalid(format!("a rollout has 1 to {MAX_STAGES} stages")));
    }
    let mut previous = 0.0;
    for stage in stages {
        if !(stage.share > previous && stage.share <= 1.0) {
            return Err(invalid(
                "shares of stages grow and lie above 0 and at most at 1",
            ));
        }
        previous = stage.share;
    }
    Ok(())
}
