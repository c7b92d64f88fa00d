//! Detection of regressions in stable versions.
//!
//! A stable version has no control arm, so its latest requests are compared
//! with its own earlier ones, by the same test as in rollouts. Ratings are
//! compared within kind, size and role, because the planner moves work between
//! versions. A change that the other versions show as well has a common cause
//! and is not counted against a version. Times to the first token are
//! not tested here: they depend on load, which the latency predictions take into
//! account.

use crate::{
    config::{Change, Config, Progress, Restriction, VersionStatus},
    evidence::{Arm, Counts, Key, Pool, Role},
    name, request,
    time::{Span, Time},
};

use super::{
    Action, ERROR_MARGIN, QUALITY_MARGIN,
    sequential_test::{self, Sample},
};

/// Interval between snapshots of the counters. Each snapshot is the start of a window.
const SNAPSHOT_INTERVAL: Span = Span::from_secs(30);

/// Maximum number of snapshots that are kept.
const MAX_SNAPSHOTS: usize = 33;

/// Windows of a version that begin in a day, one every [`SNAPSHOT_INTERVAL`].
const WINDOWS_PER_DAY: f64 = 2_880.0;

/// Snapshots back to the start of the latest ratings when a shift of the rating service is checked.
const RECENT_SNAPSHOTS: usize = 4;

/// Maximum probability of a false alarm for one version in a day.
const DAILY_FALSE_ALARM_PROBABILITY: f64 = 0.01;

/// Minimum number of requests or ratings before a window for a comparison with it.
const MIN_REFERENCE_SIZE: f64 = 100.0;

/// Minimum number of earlier ratings of a stratum for a comparison.
const MIN_STRATUM_SIZE: f64 = 20.0;

/// Change of the mean rating that counts as a shift.
const RATING_SHIFT: f64 = 0.08;

/// Standard deviations by which the mean rating must have changed to count as a shift.
const RATING_SHIFT_DEVIATIONS: f64 = 3.0;

/// Logarithm of the e-value of more errors in the other versions at which errors have a common cause.
const COMMON_CAUSE_LOG_E_VALUE: f64 = 3.0;

/// Z-score below which the test is skipped, because its e-value cannot reach the threshold.
const MIN_Z_SCORE: f64 = 2.0;

/// Counters of a version for one kind, size and role of requests.
#[derive(Clone, Debug, PartialEq)]
struct Stratum {
    id: (name::Version, name::Task, request::Size, Role),
    counts: Counts,
}

/// Counters by version, kind, size and role, over all origins, epochs and arms.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Strata {
    /// Sorted by id.
    list: Vec<Stratum>,
}

impl Strata {
    fn from_pool(pool: &Pool) -> Self {
        let mut strata = Self::default();
        for (record, _) in pool.records() {
            strata.add(&record.key, &record.counts);
        }
        strata
    }

    /// Adds counters to the stratum of `key`.
    pub fn add(&mut self, key: &Key, counts: &Counts) {
        let id = (key.version.clone(), key.task.clone(), key.size, key.role);
        match self.list.binary_search_by(|s| s.id.cmp(&id)) {
            Ok(at) => self.list[at].counts.add(counts),
            Err(at) => {
                let counts = counts.clone();
                self.list.insert(at, Stratum { id, counts });
            }
        }
    }

    /// Returns the counters without those of `earlier`.
    fn minus(&self, earlier: &Self) -> Self {
        let difference = self.list.iter().map(|s| Stratum {
            id: s.id.clone(),
            counts: match earlier.get(&s.id) {
                Some(before) => s.counts.minus(before),
                None => s.counts.clone(),
            },
        });
        Self {
            list: difference.collect(),
        }
    }

    fn get(&self, id: &(name::Version, name::Task, request::Size, Role)) -> Option<&Counts> {
        let at = self.list.binary_search_by(|s| s.id.cmp(id)).ok()?;
        Some(&self.list[at].counts)
    }

    fn filtered<F>(&self, filter: F) -> Self
    where
        F: Fn(&name::Version) -> bool,
    {
        let list = self.list.iter().filter(|s| filter(&s.id.0));
        Self {
            list: list.cloned().collect(),
        }
    }

    fn error_sample<F>(&self, filter: F) -> Sample
    where
        F: Fn(&name::Version) -> bool,
    {
        let matching = self.list.iter().filter(|s| filter(&s.id.0));
        let (ended, errors) = matching.fold((0, 0), |(ended, errors), s| {
            (ended + s.counts.ended(), errors + s.counts.errors)
        });
        Sample::binary(ended, errors)
    }

    fn started(&self) -> u64 {
        self.list.iter().map(|s| s.counts.started).sum()
    }
}

/// Returns whether the mean rating differs between two periods, weighted by the current mix of work.
#[must_use]
pub fn have_ratings_shifted(current: &Strata, reference: &Strata) -> bool {
    let (mut size, mut difference, mut variance) = (0.0, 0.0, 0.0);
    for stratum in &current.list {
        let Some(earlier) = reference.get(&stratum.id) else {
            continue;
        };
        let (new, old) = (
            Sample::rating_loss(&stratum.counts),
            Sample::rating_loss(earlier),
        );
        if old.size() < 1.0 || new.size() < 1.0 {
            continue;
        }
        let weight = new.size();
        size += weight;
        difference += weight * (new.mean() - old.mean());
        variance += weight * weight * (new.variance() + old.variance());
    }
    let shift = difference.abs();
    shift > RATING_SHIFT * size && shift > RATING_SHIFT_DEVIATIONS * variance.sqrt()
}

/// Compares the latest requests of stable versions with earlier ones.
#[derive(Clone, Debug, Default)]
pub struct Detector {
    /// Snapshots of the counters, oldest first.
    snapshots: Vec<(Time, Strata)>,
}

impl Detector {
    /// Returns whether the latest ratings of a version have shifted.
    ///
    /// The reference is the version's ratings outside of the control arm that began at revision `since`.
    #[must_use]
    pub fn has_recent_rating_shift(
        &self,
        version: &name::Version,
        pool: &Pool,
        since: u64,
    ) -> bool {
        let start = self.snapshots.len().saturating_sub(RECENT_SNAPSHOTS);
        let Some((_, earlier)) = self.snapshots.get(start) else {
            return false;
        };
        let is_version = |v: &name::Version| v == version;
        let recent = Strata::from_pool(pool)
            .filtered(is_version)
            .minus(&earlier.filtered(is_version));
        let mut reference = Strata::default();
        for (record, _) in pool.records() {
            if record.key.version == *version && record.key.arm != Arm::Control(since) {
                reference.add(&record.key, &record.counts);
            }
        }
        have_ratings_shifted(&recent, &reference)
    }

    /// Returns the actions for stable versions that have regressed.
    pub fn step(&mut self, config: &Config, pool: &Pool, now: Time) -> Vec<Action> {
        let current = Strata::from_pool(pool);
        // Totals fall when an epoch is dropped; earlier snapshots are not comparable then.
        if (self.snapshots.last())
            .is_some_and(|(_, snapshot)| snapshot.started() > current.started())
        {
            self.snapshots.clear();
        }
        if (self.snapshots.last()).is_none_or(|(at, _)| now.since(*at) >= SNAPSHOT_INTERVAL) {
            if self.snapshots.len() == MAX_SNAPSHOTS {
                self.snapshots.remove(0);
            }
            self.snapshots.push((now, current.clone()));
        }
        let stable: Vec<_> = (config.inventory.versions.iter().map(|v| &v.name))
            .filter(|v| config.version_status(v) == VersionStatus::Stable)
            .collect();
        let mut actions: Vec<(&name::Version, Action)> = Vec::new();
        // The window length doubles, so that few windows cover all snapshots.
        let lengths = (0..usize::BITS).map(|power| 1 << power);
        for length in lengths.take_while(|length| *length <= self.snapshots.len()) {
            let earlier = &self.snapshots[self.snapshots.len() - length].1;
            let window = current.minus(earlier);
            for version in &stable {
                let has_action = actions.iter().any(|(v, _)| v == version);
                if let (false, Some(reason)) =
                    (has_action, regression_reason(version, &window, earlier))
                {
                    actions.push((version, regression_action(config, version, reason)));
                }
            }
        }
        actions.into_iter().map(|(_, action)| action).collect()
    }
}

/// Returns the reason why a version counts as regressed, if it does.
fn regression_reason(version: &name::Version, window: &Strata, earlier: &Strata) -> Option<String> {
    let threshold = (WINDOWS_PER_DAY / DAILY_FALSE_ALARM_PROBABILITY).ln() + 2.0_f64.ln();
    let is_version = |v: &name::Version| v == version;
    let is_other = |v: &name::Version| v != version;
    if error_log_e_value(window, earlier, is_version) >= threshold
        && error_log_e_value(window, earlier, is_other) < COMMON_CAUSE_LOG_E_VALUE
    {
        return Some("errors rose in service".to_owned());
    }
    if rating_log_e_value(window, earlier, is_version) >= threshold
        && !have_ratings_shifted(&window.filtered(is_other), &earlier.filtered(is_other))
    {
        return Some("ratings fell in service".to_owned());
    }
    None
}

/// Returns the logarithm of the e-value of a higher error rate of the versions that pass `filter`.
fn error_log_e_value<F>(window: &Strata, earlier: &Strata, filter: F) -> f64
where
    F: Fn(&name::Version) -> bool + Copy,
{
    let (current, reference) = (window.error_sample(filter), earlier.error_sample(filter));
    if reference.size() < MIN_REFERENCE_SIZE {
        return 0.0;
    }
    screened_log_e_value(&current, &reference, ERROR_MARGIN)
}

/// Returns the logarithm of the e-value of a higher loss, or 0 below [`MIN_Z_SCORE`].
fn screened_log_e_value(current: &Sample, reference: &Sample, margin: f64) -> f64 {
    if sequential_test::z_score(current, reference) < MIN_Z_SCORE {
        return 0.0;
    }
    sequential_test::log_e_value(current, reference, margin)
}

/// Returns the logarithm of the e-value of lower ratings.
///
/// Each rating is replaced by its difference from the earlier mean of its
/// stratum, halved and centred at 0.5, so that it stays within 0 to 1.
fn rating_log_e_value<F>(window: &Strata, earlier: &Strata, filter: F) -> f64
where
    F: Fn(&name::Version) -> bool,
{
    let (mut current, mut reference) = (Sample::default(), Sample::default());
    for stratum in window.list.iter().filter(|s| filter(&s.id.0)) {
        let Some(counts) = earlier.get(&stratum.id) else {
            continue;
        };
        let reference_loss = Sample::rating_loss(counts);
        if reference_loss.size() >= MIN_STRATUM_SIZE {
            current.add_centred(&Sample::rating_loss(&stratum.counts), reference_loss.mean());
            reference.add_centred(&reference_loss, reference_loss.mean());
        }
    }
    if reference.size() < MIN_REFERENCE_SIZE {
        return 0.0;
    }
    screened_log_e_value(&current, &reference, QUALITY_MARGIN / 2.0)
}

/// Returns a rollback, a withdrawal if another stable version of the model exists, or an alarm.
fn regression_action(config: &Config, version: &name::Version, reason: String) -> Action {
    let promoted =
        (config.rollouts.iter()).any(|r| r.version == *version && r.progress == Progress::Finished);
    if promoted {
        return Action::Change(Change::RollBack {
            version: version.clone(),
            reason,
        });
    }
    let model = |v: &name::Version| config.inventory.version(v).map(|e| e.model.clone());
    let has_replacement = config.inventory.versions.iter().any(|other| {
        other.name != *version
            && Some(&other.model) == model(version).as_ref()
            && config.version_status(&other.name) == VersionStatus::Stable
    });
    if has_replacement {
        return Action::Change(Change::Restrict(Restriction::Withdraw(version.clone())));
    }
    Action::Alarm {
        version: version.clone(),
        reason,
    }
}
