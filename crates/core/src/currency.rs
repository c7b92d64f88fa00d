//! Whether an instance may still obey the configuration that it holds.
//!
//! An instance learns the number of the newest configuration before it has its content. An older
//! configuration may be obeyed only until the newer one has to be in force.

use crate::{
    fault::Fault,
    time::{Span, Time},
};

/// Share of the time limit up to which the older configuration is obeyed, in percent. The rest is
/// for the way of the news to the instance.
const OBEY_PERCENT: u64 = 80;

/// Share of the time limit after which the instance reports that it is not ready, in percent.
const READINESS_PERCENT: u64 = 60;

/// Most newer revisions whose times are kept.
const MAX_REVISIONS: usize = 64;

/// Revisions that are newer than the one that an instance holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Currency {
    /// Revisions and the earliest times at which they were known to be agreed, sorted.
    newer: Vec<(u64, Time)>,
}

impl Currency {
    /// Records that a revision was agreed at `known_at` or before, for an instance that holds the
    /// revision `held`.
    pub fn learn(&mut self, revision: u64, known_at: Time, held: u64) {
        if revision <= held {
            return;
        }
        match self.newer.binary_search_by_key(&revision, |(r, _)| *r) {
            Ok(at) => self.newer[at].1 = self.newer[at].1.min(known_at),
            Err(at) if self.newer.len() < MAX_REVISIONS => {
                self.newer.insert(at, (revision, known_at));
            }
            // The earlier times decide.
            Err(_) => {}
        }
    }

    /// Records that the instance holds a revision.
    pub fn hold(&mut self, revision: u64) {
        self.newer.retain(|(newer, _)| *newer > revision);
    }

    /// Returns the newest known revision that the instance lacks.
    #[must_use]
    pub fn newest(&self) -> Option<u64> {
        self.newer.last().map(|(revision, _)| *revision)
    }

    /// Returns how long a newer revision than the one held has been known.
    #[must_use]
    pub fn age(&self, now: Time) -> Option<Span> {
        let earliest = self.newer.iter().map(|(_, at)| *at).min()?;
        Some(now.since(earliest))
    }

    /// Returns until when the configuration that is held may be obeyed, if a newer one has to be in
    /// force after `limit`.
    #[must_use]
    pub fn obey_until(&self, limit: Span) -> Option<Time> {
        let earliest = self.newer.iter().map(|(_, at)| *at).min()?;
        let limit = Span::from_millis(limit.as_millis() * OBEY_PERCENT / 100);
        (!Fault::ObeyOutdated.is_injected()).then(|| earliest + limit)
    }

    /// Returns whether the instance may report that it is ready.
    #[must_use]
    pub fn is_ready(&self, limit: Span, now: Time) -> bool {
        let limit = Span::from_millis(limit.as_millis() * READINESS_PERCENT / 100);
        self.age(now).is_none_or(|age| age < limit)
    }
}
