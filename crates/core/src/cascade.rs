//! When the answer of a small model is taken and when a larger model is asked.
//!
//! The smallest model answers first, because most requests are easy for it and its cost is a small
//! part of the largest one's. Its confidence decides whether the answer is kept. The bar sinks as
//! the upstreams fill up: what a larger model gains for one request it then takes from others.

/// Confidence below which a larger model is asked while the upstreams have room, from 0 to 100.
const BAR: f64 = 50.0;

/// Load of the upstreams, as a part of their slots, from which the bar sinks.
const BUSY_FROM: f64 = 0.25;

/// Load of the upstreams at which every answer of the smallest model is kept.
const BUSY_TO: f64 = 0.7;

/// What is known when the head of an answer has arrived.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Answer {
    /// The model's own estimate of its answer, from 0 to 100, if it gives one.
    pub confidence: Option<u8>,
    /// Position of the model among those of the route, from the smallest.
    pub level: usize,
    /// Number of models of the route.
    pub models: usize,
    /// Running requests as a part of the slots of the service's upstreams.
    pub load: f64,
}

/// Returns the position of the model that is to answer instead, or none if the answer is kept.
#[must_use]
pub fn larger(answer: &Answer) -> Option<usize> {
    let largest = answer.models.checked_sub(1)?;
    if answer.level >= largest {
        return None;
    }
    let confidence = f64::from(answer.confidence?);
    let room = ((BUSY_TO - answer.load) / (BUSY_TO - BUSY_FROM)).clamp(0.0, 1.0);
    (confidence < BAR * room).then_some(largest)
}
