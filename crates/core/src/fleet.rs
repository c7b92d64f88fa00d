//! Upstreams as they announce themselves, merged over all control instances.
//!
//! A record is replaced only by a later one of the same start of the upstream or by one of a later
//! start, whatever order they arrive in. Each change gets a mark, so that a reader asks only for
//! what it has not seen. Most announcements repeat the one before: between control instances they
//! travel as beats, and entry instances learn only that an upstream has gone silent or returned.

use std::sync::Arc;

use crate::time::{Span, Time};

/// How long a record stays after the upstream's last announcement.
const KEPT: Span = Span::from_secs(30);

/// How long an upstream may be silent before it gets no new requests, in announcement intervals.
const SILENT_INTERVALS: u64 = 3;

/// Difference in the end of a cold start that counts as a change. Delays of messages stay below.
const COLD_CHANGE: Span = Span::from_millis(400);

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
        pub cold_left: Span,
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
        /// Whether the sender has not heard the upstream for too long.
        pub silent: bool,
    }

    /// An announcement that repeats the one before.
    #[derive(Eq)]
    pub struct Heartbeat {
        /// Identity.
        pub upstream: Arc<str>,
        /// Start of the upstream.
        pub incarnation: u64,
        /// Number of the announcement.
        pub sequence: u64,
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
    pub last_heard: Time,
    /// End of its cold start.
    pub cold_until: Time,
    /// Whether it has not been heard for too long to get new requests.
    pub silent: bool,
    /// Mark of the latest change of what a reader needs.
    changed: u64,
    /// Mark of the latest announcement.
    heartbeat: u64,
}

impl Entry {
    /// Returns whether the announcement tells nothing that the known one did not.
    fn is_repeat(&self, said: &Announcement, now: Time) -> bool {
        let old = &self.announcement;
        let same = old.incarnation == said.incarnation
            && old.service == said.service
            && old.address == said.address
            && old.domain == said.domain
            && old.version == said.version
            && old.slots == said.slots
            && old.phase == said.phase;
        let (known, told) = (self.cold_until.since(now), said.cold_left);
        let differ = known.as_millis().abs_diff(told.as_millis());
        same && !self.silent && differ <= COLD_CHANGE.as_millis()
    }
}

/// All known upstreams, sorted by identity.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    entries: Vec<Entry>,
    revision: u64,
}

impl Directory {
    /// Returns the mark of the latest change.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
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
    ///
    /// Whether the sender finds the upstream silent counts for nothing: [`Self::mark_silent`] decides
    /// that from when it was heard.
    pub fn merge(&mut self, record: Record, now: Time) -> bool {
        let Record {
            announcement, age, ..
        } = record;
        let found = self.find(&announcement.upstream);
        if let Ok(at) = found {
            let old = &self.entries[at].announcement;
            let order = (old.incarnation, old.sequence)
                .cmp(&(announcement.incarnation, announcement.sequence));
            let same = old.incarnation == announcement.incarnation;
            // A farewell is no announcement with a number of its own, so it may come with an old one.
            if same && order.is_gt() && announcement.phase == Phase::Leaving {
                return self.mark_leaving(&announcement.upstream, Some(announcement.incarnation));
            }
            let left = same && old.phase == Phase::Leaving;
            // An upstream that has said that it leaves never takes new work again.
            if order.is_gt()
                || (order.is_eq() && old.phase == announcement.phase)
                || (left && announcement.phase == Phase::Ready)
            {
                return false;
            }
        }
        let moved = found.map_or(true, |at| {
            self.entries[at].announcement.address != announcement.address
        });
        if moved && self.is_address_taken(&announcement) {
            return false;
        }
        self.revision += 1;
        let repeat = found.is_ok_and(|at| self.entries[at].is_repeat(&announcement, now));
        let changed = match found {
            Ok(at) if repeat => self.entries[at].changed,
            Ok(_) | Err(_) => self.revision,
        };
        let entry = Entry {
            cold_until: now + announcement.cold_left,
            last_heard: now - age,
            silent: false,
            changed,
            heartbeat: self.revision,
            announcement,
        };
        let (address, upstream) = (
            entry.announcement.address.clone(),
            entry.announcement.upstream.clone(),
        );
        match found {
            Ok(at) => self.entries[at] = entry,
            Err(at) => self.entries.insert(at, entry),
        }
        if moved {
            // The former owner of a reused address has ended.
            self.entries.retain(|e| {
                let old = &e.announcement;
                old.address != address || old.upstream == upstream
            });
        }
        true
    }

    /// Returns whether an upstream of a later start has the announced address.
    fn is_address_taken(&self, new: &Announcement) -> bool {
        self.entries.iter().any(|e| {
            let old = &e.announcement;
            old.address == new.address
                && old.upstream != new.upstream
                && old.incarnation > new.incarnation
        })
    }

    /// Merges a beat and returns whether its upstream's start is known.
    pub fn merge_heartbeat(&mut self, heartbeat: &Heartbeat, now: Time) -> bool {
        let Ok(at) = self.find(&heartbeat.upstream) else {
            return false;
        };
        let entry = &mut self.entries[at];
        if entry.announcement.incarnation != heartbeat.incarnation {
            return entry.announcement.incarnation > heartbeat.incarnation;
        }
        if entry.announcement.sequence < heartbeat.sequence {
            self.revision += 1;
            entry.announcement.sequence = heartbeat.sequence;
            entry.last_heard = now - heartbeat.age;
            entry.heartbeat = self.revision;
            if entry.silent {
                entry.silent = false;
                entry.changed = self.revision;
            }
        }
        true
    }

    /// Takes over a record from the instance that this one follows, which also decides whether
    /// the upstream is silent, and returns whether anything has changed.
    pub fn sync(&mut self, record: Record, now: Time) -> bool {
        let (upstream, incarnation, silent) = (
            record.announcement.upstream.clone(),
            record.announcement.incarnation,
            record.silent,
        );
        let merged = self.merge(record, now);
        let Ok(at) = self.find(&upstream) else {
            return merged;
        };
        let entry = &mut self.entries[at];
        if entry.announcement.incarnation != incarnation || entry.silent == silent {
            return merged;
        }
        entry.silent = silent;
        if silent {
            entry.last_heard = now;
        }
        true
    }

    /// Takes over all records of the instance that this one begins to follow. Upstreams that it
    /// doesn't know are silent.
    pub fn resync(&mut self, records: Vec<Record>, now: Time) {
        let mut known: Vec<Arc<str>> = Vec::with_capacity(records.len());
        for record in records {
            known.push(record.announcement.upstream.clone());
            self.sync(record, now);
        }
        known.sort_unstable();
        let unknown = |e: &&mut Entry| known.binary_search(&e.announcement.upstream).is_err();
        for entry in self.entries.iter_mut().filter(unknown) {
            if !entry.silent {
                entry.silent = true;
                entry.last_heard = now;
            }
        }
    }

    /// Marks upstreams as silent that were not heard for some intervals of their announcements.
    pub fn mark_silent(&mut self, now: Time, interval: Span) {
        let limit = interval.times(SILENT_INTERVALS);
        for entry in &mut self.entries {
            if !entry.silent && now.since(entry.last_heard) >= limit {
                self.revision += 1;
                entry.silent = true;
                entry.changed = self.revision;
            }
        }
    }

    /// Marks an upstream as leaving and returns whether that is news.
    ///
    /// An upstream that leaves without a number of its own ends whatever incarnation is known.
    pub fn mark_leaving(&mut self, upstream: &str, incarnation: Option<u64>) -> bool {
        let Ok(at) = self.find(upstream) else {
            return false;
        };
        let known = &mut self.entries[at];
        let other = incarnation.is_some_and(|i| i != known.announcement.incarnation);
        if other || known.announcement.phase == Phase::Leaving {
            return false;
        }
        self.revision += 1;
        known.announcement.phase = Phase::Leaving;
        known.changed = self.revision;
        true
    }

    /// Returns the records that changed after the mark.
    #[must_use]
    pub fn since(&self, mark: u64, now: Time) -> Vec<Record> {
        let changed = self.entries.iter().filter(|e| e.changed > mark);
        let record = |e: &Entry| {
            let mut announcement = e.announcement.clone();
            announcement.cold_left = e.cold_until.since(now);
            Record {
                announcement,
                age: now.since(e.last_heard),
                silent: e.silent,
            }
        };
        changed.map(record).collect()
    }

    /// Returns the announcements after the mark that changed nothing.
    #[must_use]
    pub fn heartbeats(&self, mark: u64, now: Time) -> Vec<Heartbeat> {
        let repeated = self
            .entries
            .iter()
            .filter(|e| e.heartbeat > mark && e.changed <= mark);
        repeated
            .map(|e| Heartbeat {
                upstream: e.announcement.upstream.clone(),
                incarnation: e.announcement.incarnation,
                sequence: e.announcement.sequence,
                age: now.since(e.last_heard),
            })
            .collect()
    }

    /// Forgets upstreams that have been silent for a long time.
    pub fn expire(&mut self, now: Time) {
        self.entries
            .retain(|e| !e.silent || now.since(e.last_heard) < KEPT);
    }
}
