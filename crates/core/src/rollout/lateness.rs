//! Evidence that a version answers more slowly than the others.
//!
//! Lateness is told from load by comparing answers at like loads: an answer is late if it takes a
//! multiple of the median of the stable versions' answers at the same load, or at the next higher
//! ones if there are too few. An answer at a load that the stable versions have not had is no
//! evidence. It is told from slow
//! upstreams by leaving out the part of a version's upstreams that looks slowest.
//!
//! Evidence counts as soon as it is certain: the pace of a stream after some events, or once it is
//! late for them, and not at its end.

use std::sync::Arc;

use super::{
    FALSE_ALARM_PROBABILITY,
    sequential_test::{Sample, log_e_value},
};
use crate::{
    digest,
    time::{Span, Time},
};

/// Groups into which the upstreams of a version are divided.
const GROUPS: usize = 8;

/// Classes of loads: from 2 to the power of the class, except that the last one has no upper end.
const LOAD_CLASSES: usize = 6;

/// Number of the latest answers that are kept for each class of loads.
const KEPT_ANSWERS: usize = 32;

/// Minimum number of answers of the stable versions at like loads.
const MIN_REFERENCE: usize = 8;

/// Multiple of the median from which an answer is late.
const LATE_FACTOR: f64 = 2.0;

/// Time above the median up to which an answer is never late, in microseconds.
const LATE_FLOOR_MICROS: u64 = 10_000;

/// Events after the first one by whose times the pace of a stream is judged.
const PACE_EVENTS: u64 = 4;

/// Minimum number of late answers for a version to count as slower.
const MIN_LATE: u64 = 4;

/// Tolerated increase of the rate of late answers.
const LATE_MARGIN: f64 = 0.15;

/// Minimum number of late answers for a version to be suspect.
const MIN_SUSPECT_LATE: u64 = 2;

/// Increase of the rate of late answers from which a version is suspect.
const SUSPECT_MARGIN: f64 = 0.3;

/// Number of judged answers of a version without which it gets no more requests than its canary.
pub const MIN_JUDGED: u64 = 8;

plain! {
    /// Answers of a group of upstreams.
    #[derive(Copy, Default, Eq)]
    pub struct Timing {
        /// Answers that were judged.
        pub judged: u64,
        /// Answers that were late.
        pub late: u64,
    }
}

/// What is measured.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Measure {
    /// Time until an answer of this route begins.
    Head(Arc<str>),
    /// Time between two events of a stream of this service, by the position of the model.
    Pace(Arc<str>, usize),
}

/// The latest times at one class of loads, in microseconds.
#[derive(Clone, Debug, Default)]
struct Ring {
    times: Vec<u64>,
    next: usize,
}

/// The answers of the stable versions.
#[derive(Clone, Debug, Default)]
pub struct Reference {
    /// Sorted by measure.
    rings: Vec<(Measure, [Ring; LOAD_CLASSES])>,
}

/// The pace of one stream.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    began: Option<Time>,
    /// Events since the first ones.
    events: u64,
    is_judged: bool,
}

impl Ring {
    fn push(&mut self, micros: u64) {
        if self.times.len() < KEPT_ANSWERS {
            self.times.push(micros);
        } else {
            self.times[self.next] = micros;
        }
        self.next = (self.next + 1) % KEPT_ANSWERS;
    }
}

/// Returns the class of a load in requests.
fn load_class(load: u32) -> usize {
    let class = load.max(1).ilog2();
    usize::try_from(class).map_or(LOAD_CLASSES - 1, |c| c.min(LOAD_CLASSES - 1))
}

impl Reference {
    /// Records the time of an answer of a stable version at a load in requests.
    pub fn observe(&mut self, measure: &Measure, load: u32, micros: u64) {
        let found = self.rings.binary_search_by(|(m, _)| m.cmp(measure));
        let at = found.unwrap_or_else(|at| {
            self.rings.insert(at, (measure.clone(), Default::default()));
            at
        });
        self.rings[at].1[load_class(load)].push(micros);
    }

    /// Returns the time in microseconds above which an answer at a load is late, if there are enough
    /// answers at like loads.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    pub fn late_above(&self, measure: &Measure, load: u32) -> Option<u64> {
        let found = self.rings.binary_search_by(|(m, _)| m.cmp(measure));
        let mut times = Vec::new();
        for ring in &self.rings[found.ok()?].1[load_class(load)..] {
            times.extend_from_slice(&ring.times);
            if times.len() >= MIN_REFERENCE {
                break;
            }
        }
        if times.len() < MIN_REFERENCE {
            return None;
        }
        times.sort_unstable();
        let median = times[times.len() / 2];
        let multiple = (median as f64 * LATE_FACTOR) as u64;
        Some(multiple.max(median.saturating_add(LATE_FLOOR_MICROS)))
    }
}

impl Pace {
    /// Returns whether the stream is judged already.
    #[must_use]
    pub const fn is_judged(&self) -> bool {
        self.is_judged
    }

    /// Records events that arrived together, and returns the time between two events in microseconds
    /// once it can be judged.
    ///
    /// A stream that is late for the events to come is judged by the time that has passed.
    pub fn record(&mut self, events: u64, late_above: Option<u64>, now: Time) -> Option<u64> {
        let Some(began) = self.began else {
            self.began = Some(now);
            return None;
        };
        self.events += events;
        let micros = now.since(began).as_millis() * 1_000 / PACE_EVENTS.max(self.events);
        let is_complete = self.events >= PACE_EVENTS || late_above.is_some_and(|l| micros > l);
        if self.is_judged || !is_complete {
            return None;
        }
        self.is_judged = true;
        Some(micros)
    }
}

/// Records a judged answer of an upstream.
pub fn judge(timings: &mut Vec<Timing>, upstream: &str, is_late: bool) {
    timings.resize(GROUPS.max(timings.len()), Timing::default());
    // A remainder below the number of groups fits.
    let group = digest::mix(digest::of(upstream.as_bytes())) % GROUPS as u64;
    let timing = &mut timings[usize::try_from(group).unwrap_or_default()];
    timing.judged += 1;
    timing.late += u64::from(is_late);
}

/// Adds the timings of another instance.
pub fn add(timings: &mut Vec<Timing>, others: &[Timing]) {
    timings.resize(others.len().max(timings.len()), Timing::default());
    for (timing, other) in timings.iter_mut().zip(others) {
        timing.judged += other.judged;
        timing.late += other.late;
    }
}

/// Returns the sum over all groups.
#[must_use]
pub fn total(timings: &[Timing]) -> Timing {
    timings.iter().fold(Timing::default(), |sum, t| Timing {
        judged: sum.judged + t.judged,
        late: sum.late + t.late,
    })
}

/// Returns the sum without the third of the groups that looks slowest.
fn trimmed(timings: &[Timing]) -> Timing {
    let mut groups: Vec<Timing> = timings.iter().filter(|t| t.judged > 0).copied().collect();
    // Compares the fractions without division.
    groups.sort_by(|a, b| (b.late * a.judged).cmp(&(a.late * b.judged)));
    let left_out = (groups.len() + 1) / 3;
    total(&groups[left_out..])
}

/// Returns whether a version's answers are late significantly more often than the others', whatever
/// a third of its upstreams does.
#[must_use]
pub fn is_slower(new: &[Timing], old: &[Timing]) -> bool {
    let (new, old) = (trimmed(new), total(old));
    let sample = |t: Timing| Sample::binary(t.judged, t.late);
    new.late >= MIN_LATE
        && log_e_value(&sample(new), &sample(old), LATE_MARGIN) > -FALSE_ALARM_PROBABILITY.ln()
}

/// Returns whether a version's answers have been late so much more often than the others' that it
/// must not get more requests, although chance is not ruled out.
#[must_use]
pub fn is_suspect(new: &[Timing], old: &[Timing]) -> bool {
    let (new, old) = (trimmed(new), total(old));
    #[expect(clippy::cast_precision_loss)]
    let rate = |t: Timing| t.late as f64 / t.judged.max(1) as f64;
    new.late >= MIN_SUSPECT_LATE && rate(new) > rate(old) + SUSPECT_MARGIN
}

/// Returns the time in microseconds.
#[must_use]
pub const fn micros(time: Span) -> u64 {
    time.as_millis().saturating_mul(1_000)
}
