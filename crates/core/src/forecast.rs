//! Prediction of the time to first token at an upstream.
//!
//! An engine prefills prompts one after the other, so an answer starts once the prompts sent before
//! it have been processed. Two load patterns make past latencies a late signal: a few very long
//! prompts for a large model block an upstream for seconds, and when a failure domain fails, its
//! requests reach the others all at once. The pending prefill tokens show both immediately.

use std::sync::Arc;

use crate::time::{Span, Time};

/// Time constant of the exponential decay of observations.
const DECAY: Span = Span::from_secs(5);

/// Weight of the prior that prefill takes no time, in weighted tokens: that of a few short prompts.
const PRIOR_TOKENS: f64 = 2_000.0;

/// Weighted prefill tokens that were pending when requests were sent, and the times until their
/// answers started, both decayed by age.
#[derive(Clone, Copy, Debug, PartialEq)]
struct PrefillRate {
    tokens: f64,
    millis: f64,
    at: Time,
}

/// The observed prefill rate of the upstreams of each service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Forecast {
    /// Sorted by service.
    services: Vec<(Arc<str>, PrefillRate)>,
}

impl Forecast {
    /// Records the time until an answer started that had to wait for `prefill` weighted tokens,
    /// including its own prompt.
    pub fn observe(&mut self, service: &Arc<str>, prefill: u64, took: Span, now: Time) {
        let found = self.services.binary_search_by(|(s, _)| s.cmp(service));
        let at = found.unwrap_or_else(|at| {
            let unknown = PrefillRate {
                tokens: 0.0,
                millis: 0.0,
                at: now,
            };
            self.services.insert(at, (service.clone(), unknown));
            at
        });
        let rate = &mut self.services[at].1;
        #[expect(clippy::cast_precision_loss)]
        let elapsed = now.since(rate.at).as_millis() as f64 / DECAY.as_millis() as f64;
        let factor = (-elapsed).exp();
        #[expect(clippy::cast_precision_loss)]
        let (tokens, millis) = (prefill as f64, took.as_millis() as f64);
        *rate = PrefillRate {
            tokens: rate.tokens * factor + tokens,
            millis: rate.millis * factor + millis,
            at: now,
        };
    }

    /// Returns the observed milliseconds of prefill per weighted token, or 0 if nothing was observed.
    #[must_use]
    pub fn token_ms(&self, service: &str) -> f64 {
        let found = self.services.binary_search_by(|(s, _)| (**s).cmp(service));
        found.map_or(0.0, |at| {
            let rate = self.services[at].1;
            rate.millis / (rate.tokens + PRIOR_TOKENS)
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
        let millis = prefill as f64 * self.token_ms(service);
        Span::from_millis(millis as u64)
    }
}
