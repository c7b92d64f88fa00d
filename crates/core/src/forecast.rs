//! When an upstream is likely to begin an answer.
//!
//! An engine reads prompts one after the other, so an answer begins once what was sent before it is
//! read. The load pattern: a few very long prompts for a large model keep an upstream from all
//! others for seconds, and when a failure domain goes, its requests arrive at the rest in one moment.
//! Times that were measured tell of that too late; what is still unread tells of it at once.

use std::sync::Arc;

use crate::time::{Span, Time};

/// Time constant of the speeds.
const RECENT: Span = Span::from_secs(5);

/// Weight of the belief that reading takes no time, in weighted tokens: a few short prompts.
const INSTANT: f64 = 2_000.0;

/// Weighted tokens that were unread when requests were sent, and the time until their answers
/// began, both weighted by their age.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Speed {
    tokens: f64,
    millis: f64,
    at: Time,
}

/// How fast the upstreams of each service read prompts, as observed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Forecast {
    /// Sorted by service.
    services: Vec<(Arc<str>, Speed)>,
}

impl Forecast {
    /// Takes over the time until an answer began that had `unread` weighted tokens before its first
    /// event, its own prompt included.
    pub fn observe(&mut self, service: &Arc<str>, unread: u64, took: Span, now: Time) {
        let found = self.services.binary_search_by(|(s, _)| s.cmp(service));
        let at = found.unwrap_or_else(|at| {
            let unknown = Speed {
                tokens: 0.0,
                millis: 0.0,
                at: now,
            };
            self.services.insert(at, (service.clone(), unknown));
            at
        });
        let speed = &mut self.services[at].1;
        #[expect(clippy::cast_precision_loss)]
        let passed = now.since(speed.at).as_millis() as f64 / RECENT.as_millis() as f64;
        let factor = (-passed).exp();
        #[expect(clippy::cast_precision_loss)]
        let (tokens, millis) = (unread as f64, took.as_millis() as f64);
        *speed = Speed {
            tokens: speed.tokens * factor + tokens,
            millis: speed.millis * factor + millis,
            at: now,
        };
    }

    /// Returns the time until an answer is likely to begin.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    pub fn time_to_first_token(&self, service: &Arc<str>, unread: u64) -> Span {
        let found = self.services.binary_search_by(|(s, _)| s.cmp(service));
        found.map_or(Span::ZERO, |at| {
            let speed = self.services[at].1;
            let millis = unread as f64 * speed.millis / (speed.tokens + INSTANT);
            Span::from_millis(millis as u64)
        })
    }
}
