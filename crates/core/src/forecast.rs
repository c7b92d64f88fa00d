//! Prediction of the time to first token at an upstream.
//!
//! An engine prefills prompts one after the other, so an answer starts once the prompts sent before
//! it have been processed. Two load patterns make past latencies a late signal: a few very long
//! prompts for a large model block an upstream for seconds, and when a failure domain fails, its
//! requests reach the others all at once. The pending prefill tokens show both immediately.
//!
//! Each answer also takes a time that doesn't depend on the prompt. It is told apart by a linear
//! regression, because a plain ratio would charge it to the tokens and foretell far too long a time
//! for a long prompt while most are short.

use std::sync::Arc;

use crate::time::{Span, Time};

/// Time constant of the exponential decay of observations.
const DECAY: Span = Span::from_secs(5);

/// Weight of the prior that prefill takes no time in the mean time per token, in weighted tokens: that
/// of a few short prompts.
const PRIOR_TOKENS: f64 = 2_000.0;

/// Weight of the prior that no prefill takes no time, in answers. With prompts of one length the
/// whole time counts as prefill.
const PRIOR_WEIGHT: f64 = 1.0;

/// Smallest part of the mean time that counts as prefill. Few answers with unlike loads may hide
/// that longer prompts take longer.
const MIN_PREFILL_PART: f64 = 0.1;

/// Sums over the weighted prefill tokens that were pending when requests were sent, and over the
/// milliseconds until their answers started, all decayed by age.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Sums {
    weight: f64,
    tokens: f64,
    millis: f64,
    tokens_squared: f64,
    product: f64,
    at: Time,
}

/// A linear estimate of the time until an answer starts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Line {
    /// Milliseconds without prefill.
    base: f64,
    /// Milliseconds per weighted token.
    slope: f64,
}

impl Sums {
    const fn new(at: Time) -> Self {
        Self {
            weight: 0.0,
            tokens: 0.0,
            millis: 0.0,
            tokens_squared: 0.0,
            product: 0.0,
            at,
        }
    }

    fn add(&mut self, tokens: f64, millis: f64, now: Time) {
        #[expect(clippy::cast_precision_loss)]
        let elapsed = now.since(self.at).as_millis() as f64 / DECAY.as_millis() as f64;
        let factor = (-elapsed).exp();
        *self = Self {
            weight: self.weight * factor + 1.0,
            tokens: self.tokens * factor + tokens,
            millis: self.millis * factor + millis,
            tokens_squared: self.tokens_squared * factor + tokens * tokens,
            product: self.product * factor + tokens * millis,
            at: now,
        };
    }

    /// Returns the least squares line. Neither part is negative.
    fn line(&self) -> Line {
        if self.tokens <= 0.0 {
            return Line::default();
        }
        let weight = self.weight + PRIOR_WEIGHT;
        let (tokens, millis) = (self.tokens / weight, self.millis / weight);
        let variance = self.tokens_squared - weight * tokens * tokens;
        let covariance = self.product - weight * tokens * millis;
        let through_origin = millis / tokens;
        let slope = if variance > 0.0 {
            covariance / variance
        } else {
            through_origin
        };
        let slope = slope.clamp(through_origin * MIN_PREFILL_PART, through_origin);
        Line {
            base: millis - slope * tokens,
            slope,
        }
    }
}

/// The observed prefill rate of the upstreams of each service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Forecast {
    /// Sorted by service.
    services: Vec<(Arc<str>, Sums)>,
}

impl Forecast {
    /// Records the time until an answer started that had to wait for `prefill` weighted tokens,
    /// including its own prompt.
    pub fn observe(&mut self, service: &Arc<str>, prefill: u64, took: Span, now: Time) {
        let found = self.services.binary_search_by(|(s, _)| s.cmp(service));
        let at = found.unwrap_or_else(|at| {
            self.services.insert(at, (service.clone(), Sums::new(now)));
            at
        });
        #[expect(clippy::cast_precision_loss)]
        let (tokens, millis) = (prefill as f64, took.as_millis() as f64);
        self.services[at].1.add(tokens, millis, now);
    }

    /// Returns the observed milliseconds until the first event per weighted token, or 0 if nothing was
    /// observed.
    #[must_use]
    pub fn token_ms(&self, service: &str) -> f64 {
        let found = self.services.binary_search_by(|(s, _)| (**s).cmp(service));
        found.map_or(0.0, |at| {
            let sums = self.services[at].1;
            sums.millis / (sums.tokens + PRIOR_TOKENS)
        })
    }

    /// Returns the expected time until an answer starts that has to wait for `prefill` weighted
    /// tokens.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    pub fn time_to_first_token(&self, service: &Arc<str>, prefill: u64) -> Span {
        let line = self.line(service);
        Span::from_millis((line.base + line.slope * prefill as f64) as u64)
    }

    fn line(&self, service: &str) -> Line {
        let found = self.services.binary_search_by(|(s, _)| (**s).cmp(service));
        found.map_or_else(|_| Line::default(), |at| self.services[at].1.line())
    }
}
