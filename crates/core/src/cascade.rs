//! Model cascade: decides whether a small model's answer is kept or a larger model is asked.
//!
//! The smallest model answers first, because most requests are easy for it and its cost is a small
//! fraction of the largest one's. Its answer is kept if its confidence reaches a threshold. The
//! threshold falls as the upstreams slow down, because the time of a larger model is then taken from
//! other requests. An available answer is never dropped for one that is likely to be late.
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

/// Percentage of the latency objective within which a larger model's answer must be expected to
/// start. The rest covers the error of the forecast.
const TIMELY_PERCENT: u64 = 80;

/// Time constant of the exponential decay of the mean latency. Without decay by time, an instance
/// with few requests would keep the threshold low for seconds after the upstreams have recovered.
const LATENCY_DECAY: Span = Span::from_millis(700);

/// Time constant of the exponential decay of the mean confidence. After it, the smallest model is
/// tried again.
const CONFIDENCE_DECAY: Span = Span::from_secs(10);

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
    is_unsure(confidence, answer.pressure).then_some(largest)
}

/// Returns the index of the model that is to answer a request that runs only once.
///
/// `confidence` is the mean confidence of the smallest model on the route.
#[must_use]
pub fn only_level(confidence: f64, models: usize, pressure: f64) -> usize {
    if is_unsure(confidence, pressure) {
        models.saturating_sub(1)
    } else {
        0
    }
}

fn is_unsure(confidence: f64, pressure: f64) -> bool {
    confidence < ESCALATION.at(pressure)
}

/// Returns whether an answer that is expected to start `delay` after the caller's request is likely
/// to meet the objective.
#[must_use]
pub const fn is_timely(delay: Span, objective: Span) -> bool {
    delay.as_millis() <= objective.as_millis() * TIMELY_PERCENT / 100
}
