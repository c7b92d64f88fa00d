//! When the answer of a small model is taken and when a larger model is asked.
//!
//! The smallest model answers first, because most requests are easy for it and its cost is a small
//! part of the largest one's. Its confidence decides whether the answer is kept. The bar sinks as
//! the upstreams become slow: what a larger model gains for one request it then takes from others.
//! An answer that is there is never dropped for one that is likely to come too late.

use std::sync::Arc;

use crate::time::{Span, Time};

/// A confidence below which another model is asked, and how it sinks with the pressure.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Bar {
    /// Confidence, from 0 to 100, while the upstreams have room.
    calm: f64,
    /// Pressure from which it sinks.
    from: f64,
    /// Pressure at which it is 0.
    to: f64,
}

impl Bar {
    fn at(self, pressure: f64) -> f64 {
        self.calm * ((self.to - pressure) / (self.to - self.from)).clamp(0.0, 1.0)
    }
}

/// Confidence below which the largest model is asked.
///
/// It answers nearly all requests that are too hard for the smallest, while those in between leave
/// many of them for half its cost. The values come from the rounds in
/// `docs/deciding-under-load.md`.
const LARGEST: Bar = Bar {
    calm: 50.0,
    from: 0.1,
    to: 0.4,
};

/// Part of the objective within which the answer of a larger model must be likely to begin, in
/// percent, from the same rounds. The rest covers what the forecast doesn't know.
const TIMELY_PERCENT: u64 = 80;

/// Time constant of the mean. An instance with few requests would otherwise keep the bar low for
/// seconds after the upstreams have become fast again.
const RECENT: Span = Span::from_millis(700);

/// Weight of the belief that the upstreams are fast, in answers.
const CALM: f64 = 0.5;

/// Largest part of the objective that one answer counts for.
const MOST: f64 = 1.5;

/// Times until the first event as parts of the objective, weighted by their age.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Mean {
    sum: f64,
    weight: f64,
    at: Time,
}

impl Mean {
    fn aged(self, now: Time) -> Self {
        #[expect(clippy::cast_precision_loss)]
        let passed = now.since(self.at).as_millis() as f64 / RECENT.as_millis() as f64;
        let factor = (-passed).exp();
        Self {
            sum: self.sum * factor,
            weight: self.weight * factor,
            at: now,
        }
    }
}

/// How slowly the upstreams of each service answer, as a part of the objective.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pressure {
    /// Sorted by service.
    services: Vec<(Arc<str>, Mean)>,
}

impl Pressure {
    /// Takes over the time until the first event of an answer.
    pub fn observe(&mut self, service: &Arc<str>, took: Span, objective: Span, now: Time) {
        #[expect(clippy::cast_precision_loss)]
        let part = took.as_millis() as f64 / objective.as_millis().max(1) as f64;
        let found = self.services.binary_search_by(|(s, _)| s.cmp(service));
        let at = found.unwrap_or_else(|at| {
            let empty = Mean {
                sum: 0.0,
                weight: 0.0,
                at: now,
            };
            self.services.insert(at, (service.clone(), empty));
            at
        });
        let mean = &mut self.services[at].1;
        *mean = mean.aged(now);
        mean.sum += part.min(MOST);
        mean.weight += 1.0;
    }

    /// Returns the mean time until the first event as a part of the objective.
    #[must_use]
    pub fn of(&self, service: &Arc<str>, now: Time) -> f64 {
        let found = self.services.binary_search_by(|(s, _)| s.cmp(service));
        found.map_or(0.0, |at| {
            let mean = self.services[at].1.aged(now);
            mean.sum / (mean.weight + CALM)
        })
    }
}

/// What is known when the head of an answer has arrived.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Answer {
    /// The model's own estimate of its answer, from 0 to 100, if it gives one.
    pub confidence: Option<u8>,
    /// Position of the model among those of the route, from the smallest.
    pub level: usize,
    /// Number of models of the route.
    pub models: usize,
    /// Mean time until the first event as a part of the objective.
    pub pressure: f64,
}

/// Returns the position of the model that is to answer instead, or none if the answer is kept.
#[must_use]
pub fn escalation(answer: &Answer) -> Option<usize> {
    let largest = answer.models.checked_sub(1)?;
    // The second model's answer is kept, so that a request runs twice at most.
    if answer.level > 0 || largest == 0 {
        return None;
    }
    let confidence = f64::from(answer.confidence?);
    (confidence < LARGEST.at(answer.pressure)).then_some(largest)
}

/// Returns whether an answer that begins so long after the caller's request is likely to be on time.
#[must_use]
pub const fn is_timely(begin: Span, objective: Span) -> bool {
    begin.as_millis() <= objective.as_millis() * TIMELY_PERCENT / 100
}
