//! Upstreams as they announce themselves, merged over all control instances.
//!
//! A record is replaced only by a later one of the same start of the upstream or by one of a later
//! start, whatever order they arrive in. Each change gets a mark, so that a reader asks only for
//! what it has not seen.

use std::sync::Arc;

use crate::time::{Span, Time};

/// How long a record stays after the upstream's last announcement.
const KEPT: Span = Span::from_secs(30);

plain! {
    /// Whether an upstream takes new work.
    #[derive(Copy, Eq)]
    pub enum Phase {
        /// It takes new work.
        Ready,
        /// It finishes what it has.
        Leaving,
    }

    /// What an upstream says of itself.
    #[derive(Eq)]
    pub struct Announcement {
        /// Identity.
        pub upstream: Arc<str>,
        /// Service that it belongs to.
        pub service: Arc<str>,
        /// IP address and port.
        pub address: Arc<str>,
        /// Failure domain.
        pub domain: Arc<str>,
        /// Version of its software.
        pub version: Arc<str>,
        /// Requests that it runs at the same time.
        pub slots: u32,
        /// Whether it takes new work.
        pub phase: Phase,
        /// Remaining time of its cold start.
        pub cold: Span,
        /// Wall clock of its start, in milliseconds since the Unix epoch.
        pub incarnation: u64,
        /// Grows with each announcement of an incarnation.
        pub sequence: u64,
    }

    /// A record as instances exchange it.
    #[derive(Eq)]
    pub struct Record {
        /// The latest announcement, with the cold start's remaining time at sending.
        pub announcement: Announcement,
        /// Time since the upstream was heard.
        pub age: Span,
    }
}

/// A record on this instance's clock.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The latest announcement.
    pub announcement: Announcement,
    /// When the upstream was heard.
    pub heard: Time,
    /// End of its cold start.
    pub cold_until: Time,
    mark: u64,
}

/// All known upstreams, sorted by identity.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    entries: Vec<Entry>,
    mark: u64,
}

impl Directory {
    /// Returns the mark of the latest change.
    #[must_use]
    pub const fn mark(&self) -> u64 {
        self.mark
    }

    /// Returns the records, sorted by identity.
    #[must_use]
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Returns the record of the upstream.
    #[must_use]
    pub fn get(&self, upstream: &str) -> Option<&Entry> {
        self.find(upstream).ok().map(|at| &self.entries[at])
    }

    fn find(&self, upstream: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|e| (*e.announcement.upstream).cmp(upstream))
    }

    /// Merges a record and returns whether it was news.
    pub fn merge(&mut self, record: Record, now: Time) -> bool {
        let Record { announcement, age } = record;
        let heard = now - age;
        let entry = Entry {
            cold_until: now + announcement.cold,
            heard,
            mark: self.mark + 1,
            announcement,
        };
        let new = &entry.announcement;
        let taken = self.entries.iter().any(|e| {
            let old = &e.announcement;
            old.address == new.address
                && old.upstream != new.upstream
                && old.incarnation > new.incarnation
        });
        if taken {
            return false;
        }
        match self.find(&new.upstream) {
            Ok(at) => {
                let old = &self.entries[at].announcement;
                let order = (old.incarnation, old.sequence).cmp(&(new.incarnation, new.sequence));
                let left = old.incarnation == new.incarnation && old.phase == Phase::Leaving;
                // An upstream that has said that it leaves never takes new work again.
                if order.is_gt() || (order.is_eq() && old.phase == new.phase) {
                    return false;
                }
                if left && new.phase == Phase::Ready {
                    return false;
                }
                self.entries[at] = entry;
            }
            Err(at) => {
                let (address, upstream) = (new.address.clone(), new.upstream.clone());
                self.entries.insert(at, entry);
                // The former owner of a reused address has ended.
                self.entries.retain(|e| {
                    let old = &e.announcement;
                    old.address != address || old.upstream == upstream
                });
            }
        }
        self.mark += 1;
        true
    }

    /// Marks an upstream as leaving and returns whether that is news.
    ///
    /// An upstream that leaves without a number of its own ends whatever incarnation is known.
    pub fn leave(&mut self, upstream: &str, incarnation: Option<u64>) -> bool {
        let Ok(at) = self.find(upstream) else {
            return false;
        };
        let known = &mut self.entries[at];
        let other = incarnation.is_some_and(|i| i != known.announcement.incarnation);
        if other || known.announcement.phase == Phase::Leaving {
            return false;
        }
        self.mark += 1;
        known.announcement.phase = Phase::Leaving;
        known.mark = self.mark;
        true
    }

    /// Returns the records that changed after the mark.
    #[must_use]
    pub fn since(&self, mark: u64, now: Time) -> Vec<Record> {
        let changed = self.entries.iter().filter(|e| e.mark > mark);
        let record = |e: &Entry| {
            let mut announcement = e.announcement.clone();
            announcement.cold = e.cold_until.since(now);
            Record {
                announcement,
                age: now.since(e.heard),
            }
        };
        changed.map(record).collect()
    }

    /// Forgets upstreams that were not heard for a long time.
    pub fn expire(&mut self, now: Time) {
        self.entries.retain(|e| now.since(e.heard) < KEPT);
    }
}
