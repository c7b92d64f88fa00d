//! Model cascade: decides whether a small model's answer is kept or a larger model is asked.
//!
//! The smallest model answers first, because most requests are easy for it and its cost is a small
//! fraction of the largest one's. Its answer is kept if its confidence reaches a threshold. The
//! threshold falls as the upstreams slow down, because the time of a larger model is then taken from
//! other requests. An available answer is never dropped for one that is likely to be late.
//!
//! Where the routes of a service differ in rank, the threshold also falls as its slots run out, and
//! it falls first for requests that take much and are less urgent: a burst of long prompts of the
//! last rank must not take the slots in which short urgent ones would be answered.
//!
//! The answer to a request that may run only once is final. The recent confidence of the smallest
//! model on its route then takes the place of the answer's own, before the first run.

use std::sync::Arc;

use crate::time::{Span, Time};

/// A confidence threshold that falls linearly with the pressure.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Threshold {
    /// Confidence, from 0 to 100, while the upstreams have spare capacity.
    confidence: f64,
    /// Pressure above which it falls.
    falls_from: f64,
    /// Pressure at which it is 0.
    zero_at: f64,
}

impl Threshold {
    fn at(self, pressure: f64) -> f64 {
        self.confidence
            * ((self.zero_at - pressure) / (self.zero_at - self.falls_from)).clamp(0.0, 1.0)
    }

    /// Returns how far the pressure is on the way from where the threshold falls (0) to where it is
    /// 0 (1 and more).
    fn scarcity(self, pressure: f64) -> f64 {
        (pressure - self.falls_from) / (self.zero_at - self.falls_from)
    }
}

/// Confidence below which the largest model is asked.
///
/// Models in between are skipped: they cost half as much as the largest one and fail on many of the
/// requests that are too hard for the smallest, while the largest answers nearly all of them.
const ESCALATION: Threshold = Threshold {
    confidence: 50.0,
    falls_from: 0.1,
    zero_at: 0.4,
};

/// Share of the slots in use above which the threshold falls: with more, a burst to twice the load
/// fills them all.
const UTILIZATION_FALLS_FROM: f64 = 0.5;

/// Part of the way from spare to no capacity over which the threshold of one request falls: of three
/// ranks, each has yielded before the next one begins to.
const FALL_WIDTH: f64 = 1.0 / 3.0;

/// Percentage of the latency objective within which a larger model's answer must be expected to
/// start. The rest covers the error of the forecast.
const TIMELY_PERCENT: u64 = 80;

/// Time constant of the exponential decay of the mean latency. Without decay by time, an instance
/// with few requests would keep the threshold low for seconds after the upstreams have recovered.
const LATENCY_DECAY: Span = Span::from_millis(700);

/// Time constant of the exponential decay of the mean confidence. After it, the smallest model is
/// tried again.
const CONFIDENCE_DECAY: Span = Span::from_secs(10);

/// Time constant of the exponential decay of the mean work: some hundreds of a busy instance's
/// requests.
const WORK_DECAY: Span = Span::from_secs(10);

/// Weight of the prior that the upstreams are fast and the smallest model is confident, in answers.
const PRIOR_WEIGHT: f64 = 0.5;

/// Confidence of the smallest model without answers.
const PRIOR_CONFIDENCE: f64 = 100.0;

/// Upper bound of one answer's latency as a fraction of the objective.
const MAX_RATIO: f64 = 1.5;

/// Sum and weight of values, decayed by age.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Mean {
    sum: f64,
    weight: f64,
    at: Time,
}

impl Mean {
    fn decayed(self, decay: Span, now: Time) -> Self {
        #[expect(clippy::cast_precision_loss)]
        let elapsed = now.since(self.at).as_millis() as f64 / decay.as_millis() as f64;
        let factor = (-elapsed).exp();
        Self {
            sum: self.sum * factor,
            weight: self.weight * factor,
            at: now,
        }
    }
}

/// Recent means by name.
#[derive(Clone, Debug, PartialEq)]
struct Means {
    decay: Span,
    /// Value of [`PRIOR_WEIGHT`] answers.
    prior: f64,
    /// Sorted by name.
    entries: Vec<(Arc<str>, Mean)>,
}

impl Means {
    const fn new(decay: Span, prior: f64) -> Self {
        Self {
            decay,
            prior,
            entries: Vec::new(),
        }
    }

    fn observe(&mut self, name: &Arc<str>, value: f64, now: Time) {
        let found = self.entries.binary_search_by(|(n, _)| n.cmp(name));
        let at = found.unwrap_or_else(|at| {
            let empty = Mean {
                sum: 0.0,
                weight: 0.0,
                at: now,
            };
            self.entries.insert(at, (name.clone(), empty));
            at
        });
        let mean = &mut self.entries[at].1;
        *mean = mean.decayed(self.decay, now);
        mean.sum += value;
        mean.weight += 1.0;
    }

    /// Returns the mean of the observed values without a prior, or none before the first one.
    fn mean(&self, name: &str) -> Option<f64> {
        let found = self.entries.binary_search_by(|(n, _)| (**n).cmp(name));
        found
            .ok()
            .map(|at| self.entries[at].1.sum / self.entries[at].1.weight)
    }

    fn of(&self, name: &str, now: Time) -> f64 {
        let found = self.entries.binary_search_by(|(n, _)| (**n).cmp(name));
        found.map_or(self.prior, |at| {
            let mean = self.entries[at].1.decayed(self.decay, now);
            (mean.sum + self.prior * PRIOR_WEIGHT) / (mean.weight + PRIOR_WEIGHT)
        })
    }
}

/// The recent latency of the upstreams of each service, as a fraction of the objective.
#[derive(Clone, Debug, PartialEq)]
pub struct Pressure(Means);

impl Default for Pressure {
    fn default() -> Self {
        Self(Means::new(LATENCY_DECAY, 0.0))
    }
}

impl Pressure {
    /// Records the time to the first event of an answer.
    pub fn observe(&mut self, service: &Arc<str>, took: Span, objective: Span, now: Time) {
        #[expect(clippy::cast_precision_loss)]
        let ratio = took.as_millis() as f64 / objective.as_millis().max(1) as f64;
        self.0.observe(service, ratio.min(MAX_RATIO), now);
    }

    /// Returns the mean time to the first event as a fraction of the objective.
    #[must_use]
    pub fn of(&self, service: &Arc<str>, now: Time) -> f64 {
        self.0.of(service, now)
    }
}

/// The recent confidence of the smallest model of each route, from 0 to 100.
#[derive(Clone, Debug, PartialEq)]
pub struct Confidence(Means);

impl Default for Confidence {
    fn default() -> Self {
        Self(Means::new(CONFIDENCE_DECAY, PRIOR_CONFIDENCE))
    }
}

impl Confidence {
    /// Records the confidence of the smallest model in an answer.
    pub fn observe(&mut self, route: &Arc<str>, confidence: u8, now: Time) {
        self.0.observe(route, f64::from(confidence), now);
    }

    /// Returns the mean confidence of the smallest model.
    #[must_use]
    pub fn of(&self, route: &str, now: Time) -> f64 {
        self.0.of(route, now)
    }
}

/// The recent work of runs of the largest model, by service.
#[derive(Clone, Debug, PartialEq)]
pub struct Work(Means);

impl Default for Work {
    fn default() -> Self {
        Self(Means::new(WORK_DECAY, 0.0))
    }
}

impl Work {
    /// Records what a run of the largest model takes for a request, and returns it relative to the
    /// mean of the service's requests.
    #[expect(clippy::cast_precision_loss)]
    pub fn observe(&mut self, service: &Arc<str>, work: u64, now: Time) -> f64 {
        self.0.observe(service, work as f64, now);
        work as f64 / self.0.mean(service).unwrap_or_default().max(1.0)
    }
}

/// How a request compares with the others that compete for the slots of its service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Contention {
    /// Share of the service's slots in use.
    pub utilization: f64,
    /// Position of the request's rank among those of the service's routes, from 0 (most urgent) to 1.
    pub rank: f64,
    /// Work of a run of the largest model relative to the mean of the service's requests.
    pub work: f64,
}

impl Contention {
    /// Returns how early the request yields to others, from 0 (last) to 1 (first).
    fn yielding(self) -> f64 {
        let work = self.work / (1.0 + self.work);
        self.rank.midpoint(work).clamp(0.0, 1.0)
    }

    /// Returns the threshold of the request.
    fn threshold(self, pressure: f64) -> f64 {
        let of_slots = (self.utilization - UTILIZATION_FALLS_FROM) / (1.0 - UTILIZATION_FALLS_FROM);
        let scarcity = ESCALATION.scarcity(pressure).max(of_slots);
        let zero_at = 1.0 - self.yielding() * (1.0 - FALL_WIDTH);
        ESCALATION.confidence * ((zero_at - scarcity) / FALL_WIDTH).clamp(0.0, 1.0)
    }
}

/// The inputs of the decision, known once the head of an answer has arrived.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Answer {
    /// The model's confidence in its answer, from 0 to 100, if it reports one.
    pub confidence: Option<u8>,
    /// Index of the model among those of the route, from the smallest.
    pub level: usize,
    /// Number of models of the route.
    pub models: usize,
    /// Mean time to the first event as a fraction of the objective.
    pub pressure: f64,
    /// `None` if the routes of the service have the same rank.
    pub contention: Option<Contention>,
}

/// Returns the index of the model that is to answer instead, or `None` if the answer is kept.
#[must_use]
pub fn escalation(answer: &Answer) -> Option<usize> {
    let largest = answer.models.checked_sub(1)?;
    // The second model's answer is always kept, so a request runs at most twice.
    if answer.level > 0 || largest == 0 {
        return None;
    }
    let confidence = f64::from(answer.confidence?);
    is_unsure(confidence, answer.pressure, answer.contention).then_some(largest)
}

/// Returns the index of the model that is to answer a request that runs only once.
///
/// `confidence` is the mean confidence of the smallest model on the route.
#[must_use]
pub fn only_level(
    confidence: f64,
    models: usize,
    pressure: f64,
    contention: Option<Contention>,
) -> usize {
    if is_unsure(confidence, pressure, contention) {
        models.saturating_sub(1)
    } else {
        0
    }
}

fn is_unsure(confidence: f64, pressure: f64, contention: Option<Contention>) -> bool {
    confidence < contention.map_or_else(|| ESCALATION.at(pressure), |c| c.threshold(pressure))
}

/// Returns whether an answer that is expected to start `delay` after the caller's request is likely
/// to meet the objective.
#[must_use]
pub const fn is_timely(delay: Span, objective: Span) -> bool {
    delay.as_millis() <= objective.as_millis() * TIMELY_PERCENT / 100
}
