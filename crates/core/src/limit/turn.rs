//! Times at which refused callers may expect to be served.

use std::sync::Arc;

use crate::{
    limit::bucket::TOKENS_PER_REQUEST,
    time::{Span, Time},
};

/// The callers that were refused for a service and have not had their turn.
#[derive(Clone, Debug)]
struct Line {
    service: Arc<str>,
    /// Requests ahead of the next one, in millionths.
    ahead: u64,
    updated_at: Time,
}

/// The refused callers of all services.
///
/// Each refused caller gets a time of its own, so that not all of them come back for the same
/// permit.
#[derive(Clone, Debug, Default)]
pub struct Turns {
    /// Sorted by service.
    lines: Vec<Line>,
}

impl Turns {
    /// Returns the time after which the next refused caller of a service may expect to be served,
    /// if the instance can send `rate` thousandths of a request per second.
    pub fn next(&mut self, service: &Arc<str>, rate: u64, now: Time) -> Span {
        let found = self.lines.binary_search_by(|l| l.service.cmp(service));
        let at = found.unwrap_or_else(|at| {
            let line = Line {
                service: service.clone(),
                ahead: 0,
                updated_at: now,
            };
            self.lines.insert(at, line);
            at
        });
        let line = &mut self.lines[at];
        let rate = rate.max(1);
        let served = rate.saturating_mul(now.since(line.updated_at).as_millis());
        line.ahead = line.ahead.saturating_sub(served) + TOKENS_PER_REQUEST;
        line.updated_at = now;
        Span::from_millis(line.ahead / rate)
    }
}
