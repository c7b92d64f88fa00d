//! The watch on stable versions.
//!
//! A stable version has no control arm, so its latest requests are compared
//! with its own earlier ones, by the same test as in rollouts. Ratings are
//! compared within kind, size and role, because the planner moves work between
//! versions. What moves for the other versions too has a common cause and
//! stops nothing. Times to the first token depend on load and are left to the
//! predictions.

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

/// Time between two points from which windows begin.
const STEP: Span = Span::from_secs(30);

/// Points that are kept.
const POINTS: usize = 33;

/// Windows that begin at a point in a day, for each version.
const WINDOWS_A_DAY: f64 = 2_880.0;

/// Points that cover the latest ratings when the rating service is checked.
const RECENT_POINTS: usize = 4;

/// Highest probability of a false alarm of one version in a day.
const FALSE_ALARM_A_DAY: f64 = 0.01;

/// Fewest requests or ratings before a window that it is compared with.
const REFERENCE: f64 = 100.0;

/// Fewest earlier ratings of a kind of work that is compared.
const STRATUM_REFERENCE: f64 = 20.0;

/// Change of mean ratings that makes the rating service strange.
const SHIFT: f64 = 0.08;

/// Standard deviations by which mean ratings must have changed to be strange.
const SHIFT_DEVIATIONS: f64 = 3.0;

/// Evidence that the other versions fail too, at which errors have a common cause.
const COMMON_CAUSE: f64 = 3.0;

/// Standard deviations of excess below which no bet can have won enough.
const WORTHWHILE_DEVIATIONS: f64 = 2.0;

/// Counters of a version on one kind of work.
#[derive(Clone, Debug, PartialEq)]
struct Stratum {
    place: (name::Version, name::Task, request::Size, Role),
    counts: Counts,
}

/// Counters by version, kind, size and role, over all origins, epochs and arms.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Strata {
    /// Sorted.
    list: Vec<Stratum>,
}

impl Strata {
    fn of(pool: &Pool) -> Self {
        let mut strata = Self::default();
        for (record, _) in pool.records() {
            strata.add(&record.key, &record.counts);
        }
        strata
    }

    /// Adds counters.
    pub fn add(&mut self, key: &Key, counts: &Counts) {
        let place = (key.version.clone(), key.task.clone(), key.size, key.role);
        match self.list.binary_search_by(|s| s.place.cmp(&place)) {
            Ok(at) => self.list[at].counts.add(counts),
            Err(at) => {
                let counts = counts.clone();
                self.list.insert(at, Stratum { place, counts });
            }
        }
    }

    /// Returns what was counted after `earlier`.
    fn minus(&self, earlier: &Self) -> Self {
        let rest = self.list.iter().map(|s| Stratum {
            place: s.place.clone(),
            counts: match earlier.get(&s.place) {
                Some(before) => s.counts.minus(before),
                None => s.counts.clone(),
            },
        });
        Self {
            list: rest.collect(),
        }
    }

    fn get(&self, place: &(name::Version, name::Task, request::Size, Role)) -> Option<&Counts> {
        let at = self.list.binary_search_by(|s| s.place.cmp(place)).ok()?;
        Some(&self.list[at].counts)
    }

    fn filtered<F>(&self, filter: F) -> Self
    where
        F: Fn(&name::Version) -> bool,
    {
        let list = self.list.iter().filter(|s| filter(&s.place.0));
        Self {
            list: list.cloned().collect(),
        }
    }

    fn error_sample<F>(&self, filter: F) -> Sample
    where
        F: Fn(&name::Version) -> bool,
    {
        let own = self.list.iter().filter(|s| filter(&s.place.0));
        let (ended, errors) = own.fold((0, 0), |(ended, errors), s| {
            (ended + s.counts.ended(), errors + s.counts.errors)
        });
        Sample::binary(ended, errors)
    }

    fn started(&self) -> u64 {
        self.list.iter().map(|s| s.counts.started).sum()
    }
}

/// Returns whether mean ratings have changed between two times, on the same mix of work.
#[must_use]
pub fn have_ratings_shifted(now: &Strata, before: &Strata) -> bool {
    let (mut size, mut difference, mut variance) = (0.0, 0.0, 0.0);
    for stratum in &now.list {
        let Some(earlier) = before.get(&stratum.place) else {
            continue;
        };
        let (late, early) = (
            Sample::rating_loss(&stratum.counts),
            Sample::rating_loss(earlier),
        );
        if early.size() < 1.0 || late.size() < 1.0 {
            continue;
        }
        let weight = late.size();
        size += weight;
        difference += weight * (late.mean() - early.mean());
        variance += weight * weight * (late.variance() + early.variance());
    }
    let moved = difference.abs();
    moved > SHIFT * size && moved > SHIFT_DEVIATIONS * variance.sqrt()
}

/// Compares the latest requests of stable versions with earlier ones.
#[derive(Clone, Debug, Default)]
pub struct Detector {
    /// Oldest first.
    points: Vec<(Time, Strata)>,
}

impl Detector {
    /// Returns whether the ratings of a version moved lately, against those outside of the comparison that began at `since`.
    #[must_use]
    pub fn has_recent_rating_shift(
        &self,
        version: &name::Version,
        pool: &Pool,
        since: u64,
    ) -> bool {
        let back = self.points.len().saturating_sub(RECENT_POINTS);
        let Some((_, earlier)) = self.points.get(back) else {
            return false;
        };
        let own = |v: &name::Version| v == version;
        let recent = Strata::of(pool).filtered(own).minus(&earlier.filtered(own));
        let mut before = Strata::default();
        for (record, _) in pool.records() {
            if record.key.version == *version && record.key.arm != Arm::Control(since) {
                before.add(&record.key, &record.counts);
            }
        }
        have_ratings_shifted(&recent, &before)
    }

    /// Returns what to do about stable versions that turned bad.
    pub fn step(&mut self, config: &Config, pool: &Pool, now: Time) -> Vec<Action> {
        let current = Strata::of(pool);
        // Totals fall when an epoch is dropped; older points can't be compared then.
        if (self.points.last()).is_some_and(|(_, p)| p.started() > current.started()) {
            self.points.clear();
        }
        if (self.points.last()).is_none_or(|(at, _)| now.since(*at) >= STEP) {
            if self.points.len() == POINTS {
                self.points.remove(0);
            }
            self.points.push((now, current.clone()));
        }
        let stable: Vec<_> = (config.inventory.versions.iter().map(|v| &v.name))
            .filter(|v| config.version_status(v) == VersionStatus::Stable)
            .collect();
        let mut actions: Vec<(&name::Version, Action)> = Vec::new();
        // Windows double in length, so a few of them cover all points.
        let lengths = (0..usize::BITS).map(|power| 1 << power);
        for back in lengths.take_while(|back| *back <= self.points.len()) {
            let earlier = &self.points[self.points.len() - back].1;
            let window = current.minus(earlier);
            for version in &stable {
                let known = actions.iter().any(|(v, _)| v == version);
                if let (false, Some(reason)) = (known, finding(version, &window, earlier)) {
                    actions.push((version, action(config, version, reason)));
                }
            }
        }
        actions.into_iter().map(|(_, action)| action).collect()
    }
}

/// Returns why a version counts as turned bad.
fn finding(version: &name::Version, window: &Strata, earlier: &Strata) -> Option<String> {
    let limit = (WINDOWS_A_DAY / FALSE_ALARM_A_DAY).ln() + 2.0_f64.ln();
    let own = |v: &name::Version| v == version;
    let others = |v: &name::Version| v != version;
    if errors(window, earlier, own) >= limit && errors(window, earlier, others) < COMMON_CAUSE {
        return Some("errors rose in service".to_owned());
    }
    if ratings(window, earlier, own) >= limit
        && !have_ratings_shifted(&window.filtered(others), &earlier.filtered(others))
    {
        return Some("ratings fell in service".to_owned());
    }
    None
}

/// Returns the log of the evidence that errors rose for the versions that pass `filter`.
fn errors<F>(now: &Strata, before: &Strata, filter: F) -> f64
where
    F: Fn(&name::Version) -> bool + Copy,
{
    let (now, before) = (now.error_sample(filter), before.error_sample(filter));
    if before.size() < REFERENCE {
        return 0.0;
    }
    evidence(&now, &before, ERROR_MARGIN)
}

/// Returns the log of the evidence that a loss rose, or 0 if a look at it is not worthwhile.
fn evidence(now: &Sample, before: &Sample, margin: f64) -> f64 {
    if sequential_test::z_score(now, before) < WORTHWHILE_DEVIATIONS {
        return 0.0;
    }
    sequential_test::log_e_value(now, before, margin)
}

/// Returns the log of the evidence that ratings fell.
///
/// Each rating counts by its difference from the earlier mean of its kind of
/// work, halved and moved to the middle of 0 to 1.
fn ratings<F>(now: &Strata, before: &Strata, filter: F) -> f64
where
    F: Fn(&name::Version) -> bool,
{
    let (mut late, mut early) = (Sample::default(), Sample::default());
    for stratum in now.list.iter().filter(|s| filter(&s.place.0)) {
        let Some(counts) = before.get(&stratum.place) else {
            continue;
        };
        let reference = Sample::rating_loss(counts);
        if reference.size() >= STRATUM_REFERENCE {
            late.add_centred(&Sample::rating_loss(&stratum.counts), reference.mean());
            early.add_centred(&reference, reference.mean());
        }
    }
    if early.size() < REFERENCE {
        return 0.0;
    }
    evidence(&late, &early, QUALITY_MARGIN / 2.0)
}

fn action(config: &Config, version: &name::Version, reason: String) -> Action {
    let promoted =
        (config.rollouts.iter()).any(|r| r.version == *version && r.progress == Progress::Finished);
    if promoted {
        return Action::Change(Change::RollBack {
            version: version.clone(),
            reason,
        });
    }
    let model = |v: &name::Version| config.inventory.version(v).map(|e| e.model.clone());
    let replaced = config.inventory.versions.iter().any(|other| {
        other.name != *version
            && Some(&other.model) == model(version).as_ref()
            && config.version_status(&other.name) == VersionStatus::Stable
    });
    if replaced {
        return Action::Change(Change::Restrict(Restriction::Withdraw(version.clone())));
    }
    Action::Alarm {
        version: version.clone(),
        reason,
    }
}
