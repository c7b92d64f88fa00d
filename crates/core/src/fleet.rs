//! Directory of the upstreams, merged from their announcements over all control instances.
//!
//! A record is replaced only by a later announcement of the same incarnation or by one of a later
//! incarnation, in whatever order they arrive. Each change increments the directory's revision, so
//! a reader requests only what changed since the revision that it has. Most announcements repeat
//! the previous one: control instances exchange them as heartbeats, and entry instances learn only
//! that an upstream has become silent or has returned.

use std::sync::Arc;

use crate::{
    limit::{Bounds, Rate, Want, reject_permit_upstream},
    time::{Span, Time},
};

/// How long the record of a silent upstream is kept after its last announcement.
const RETENTION: Span = Span::from_secs(30);

/// Number of announcement intervals without an announcement after which an upstream is silent and
/// gets no new requests.
const SILENT_INTERVALS: u64 = 3;

/// Difference in the end of a cold start above which it counts as changed. Message delays are
/// shorter.
const COLD_START_TOLERANCE: Span = Span::from_millis(400);

plain! {
    /// Whether an upstream accepts new requests.
    #[derive(Copy, Eq)]
    pub enum Phase {
        /// It accepts new requests.
        Ready,
        /// It only finishes its running requests.
        Leaving,
    }

    /// The state of an upstream as it announces it.
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
        /// Number of requests that it runs concurrently.
        pub slots: u32,
        /// Whether it accepts new requests.
        pub phase: Phase,
        /// Remaining time of its cold start.
        pub cold_left: Span,
        /// Incarnation: wall clock of its start, in milliseconds since the Unix epoch.
        pub incarnation: u64,
        /// Sequence number, which increases with each announcement of an incarnation.
        pub sequence: u64,
    }

    /// A directory record as exchanged between instances.
    #[derive(Eq)]
    pub struct Record {
        /// The latest announcement, with the remaining time of the cold start at sending.
        pub announcement: Announcement,
        /// Time since the upstream's last announcement.
        pub age: Span,
        /// Whether the sender considers the upstream silent.
        pub silent: bool,
        /// What the incarnation has stated last about its bounds, if anything.
        pub limit: Option<Statement>,
    }

    /// What an upstream has stated about its bounds, as exchanged between instances.
    #[derive(Copy, Eq)]
    pub struct Statement {
        /// Its bounds.
        pub bounds: Bounds,
        /// Time since the statement.
        pub age: Span,
    }

    /// An announcement that repeats the previous one.
    #[derive(Eq)]
    pub struct Heartbeat {
        /// Identity.
        pub upstream: Arc<str>,
        /// Incarnation of the upstream.
        pub incarnation: u64,
        /// Sequence number of the announcement.
        pub sequence: u64,
        /// Time since the upstream's last announcement.
        pub age: Span,
    }
}

/// What an upstream has stated about its bounds, with the time on this instance's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// Its bounds.
    pub bounds: Bounds,
    /// Time of the statement.
    pub stated_at: Time,
}

/// A directory record with times on this instance's clock.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The latest announcement.
    pub announcement: Announcement,
    /// Time of the last announcement. On an instance that follows another, time at which the upstream
    /// was reported silent, if it is.
    pub last_heard: Time,
    /// End of its cold start.
    pub cold_until: Time,
    /// Whether it has not been heard for too long and gets no new requests.
    pub silent: bool,
    /// What the incarnation has stated last about its bounds, if anything.
    pub limit: Option<Limit>,
    /// Revision of the latest change that readers need.
    change_revision: u64,
    /// Revision of the latest announcement.
    announcement_revision: u64,
}

impl Entry {
    /// Returns whether the announcement repeats the known one.
    fn is_repeat(&self, new: &Announcement, now: Time) -> bool {
        let old = &self.announcement;
        let same = old.incarnation == new.incarnation
            && old.service == new.service
            && old.address == new.address
            && old.domain == new.domain
            && old.version == new.version
            && old.slots == new.slots
            && old.phase == new.phase;
        let (known, announced) = (self.cold_until.since(now), new.cold_left);
        let difference = known.as_millis().abs_diff(announced.as_millis());
        same && !self.silent && difference <= COLD_START_TOLERANCE.as_millis()
    }
}

/// All known upstreams, sorted by identity.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    entries: Vec<Entry>,
    revision: u64,
}

impl Directory {
    /// Returns the revision of the latest change.
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

    /// Merges a record and returns whether it was new.
    ///
    /// The sender's `silent` flag is ignored: [`Self::mark_silent`] decides by the time of the last
    /// announcement.
    pub fn merge(&mut self, record: Record, now: Time) -> bool {
        let Record {
            announcement,
            age,
            limit,
            ..
        } = record;
        let (upstream, incarnation) = (announcement.upstream.clone(), announcement.incarnation);
        let is_new = self.merge_announcement(announcement, age, now);
        let limit = limit.map(|statement| Limit {
            bounds: statement.bounds,
            stated_at: now - statement.age,
        });
        let is_changed = limit.is_some_and(|l| self.set_limit(&upstream, incarnation, l));
        is_new || is_changed
    }

    fn merge_announcement(&mut self, announcement: Announcement, age: Span, now: Time) -> bool {
        let found = self.find(&announcement.upstream);
        if let Ok(at) = found {
            let old = &self.entries[at].announcement;
            let order = (old.incarnation, old.sequence)
                .cmp(&(announcement.incarnation, announcement.sequence));
            let same = old.incarnation == announcement.incarnation;
            // A leave notice has no sequence number of its own, so it may carry an old one.
            if same && order.is_gt() && announcement.phase == Phase::Leaving {
                return self.mark_leaving(&announcement.upstream, Some(announcement.incarnation));
            }
            let has_left = same && old.phase == Phase::Leaving;
            // An incarnation that is leaving never accepts new requests again.
            if order.is_gt()
                || (order.is_eq() && old.phase == announcement.phase)
                || (has_left && announcement.phase == Phase::Ready)
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
        let is_repeat = found.is_ok_and(|at| self.entries[at].is_repeat(&announcement, now));
        let change_revision = match found {
            Ok(at) if is_repeat => self.entries[at].change_revision,
            Ok(_) | Err(_) => self.revision,
        };
        // A limit belongs to one incarnation.
        let limit = found.ok().and_then(|at| {
            let known = &self.entries[at];
            let is_same = known.announcement.incarnation == announcement.incarnation;
            known.limit.filter(|_| is_same)
        });
        let entry = Entry {
            cold_until: now + announcement.cold_left,
            last_heard: now - age,
            silent: false,
            limit,
            change_revision,
            announcement_revision: self.revision,
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
            // The previous owner of a reused address has ended.
            self.entries.retain(|e| {
                let old = &e.announcement;
                old.address != address || old.upstream == upstream
            });
        }
        true
    }

    /// Returns whether a different upstream with a later start has the announced address.
    fn is_address_taken(&self, new: &Announcement) -> bool {
        self.entries.iter().any(|e| {
            let old = &e.announcement;
            old.address == new.address
                && old.upstream != new.upstream
                && old.incarnation > new.incarnation
        })
    }

    /// Merges a heartbeat and returns whether its incarnation, or a later one, is known.
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
            entry.announcement_revision = self.revision;
            if entry.silent {
                entry.silent = false;
                entry.change_revision = self.revision;
            }
        }
        true
    }

    /// Applies a record from the control instance that this one follows and returns whether anything
    /// has changed. The followed instance also decides whether the upstream is silent.
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

    /// Applies all records of a control instance that this one starts to follow. Upstreams that it
    /// doesn't list become silent.
    pub fn resync(&mut self, records: Vec<Record>, now: Time) {
        let mut listed: Vec<Arc<str>> = Vec::with_capacity(records.len());
        for record in records {
            listed.push(record.announcement.upstream.clone());
            self.sync(record, now);
        }
        listed.sort_unstable();
        let is_unlisted = |e: &&mut Entry| listed.binary_search(&e.announcement.upstream).is_err();
        for entry in self.entries.iter_mut().filter(is_unlisted) {
            if !entry.silent {
                entry.silent = true;
                entry.last_heard = now;
            }
        }
    }

    /// Marks the upstreams as silent that have sent no announcement for several intervals.
    pub fn mark_silent(&mut self, now: Time, interval: Span) {
        let timeout = interval.times(SILENT_INTERVALS);
        for entry in &mut self.entries {
            if !entry.silent && now.since(entry.last_heard) >= timeout {
                self.revision += 1;
                entry.silent = true;
                entry.change_revision = self.revision;
            }
        }
    }

    /// Marks an upstream as leaving and returns whether that was unknown.
    ///
    /// Without an incarnation, the call applies to whichever incarnation is known.
    pub fn mark_leaving(&mut self, upstream: &str, incarnation: Option<u64>) -> bool {
        let Ok(at) = self.find(upstream) else {
            return false;
        };
        let known = &mut self.entries[at];
        let is_other = incarnation.is_some_and(|i| i != known.announcement.incarnation);
        if is_other || known.announcement.phase == Phase::Leaving {
            return false;
        }
        self.revision += 1;
        known.announcement.phase = Phase::Leaving;
        known.change_revision = self.revision;
        true
    }

    /// Records what an incarnation of an upstream states about its bounds, unless a later statement is
    /// known, and returns whether they have changed.
    pub fn set_limit(&mut self, upstream: &str, incarnation: u64, limit: Limit) -> bool {
        let Ok(at) = self.find(upstream) else {
            return false;
        };
        let known = &mut self.entries[at];
        let is_old = known.limit.is_some_and(|l| l.stated_at >= limit.stated_at);
        if known.announcement.incarnation != incarnation || is_old {
            return false;
        }
        let before = known.limit.replace(limit);
        if before.map(|l| l.bounds).unwrap_or_default() == limit.bounds {
            return false;
        }
        self.revision += 1;
        known.change_revision = self.revision;
        true
    }

    /// Returns the rate of the permits that a borrower wants, if the upstream has such a bound.
    #[must_use]
    pub fn permit_rate(&self, want: &Want) -> Option<Rate> {
        let rejecting = reject_permit_upstream(&want.upstream);
        let known = self.get(rejecting.unwrap_or(&want.upstream))?;
        let is_same = known.announcement.incarnation == want.incarnation;
        let bounds = known.limit.filter(|_| is_same)?.bounds;
        match rejecting {
            Some(_) => bounds.rejects.map(Rate::reject_permits),
            None => bounds.rate,
        }
    }

    /// Returns the records that changed after the revision.
    #[must_use]
    pub fn since(&self, revision: u64, now: Time) -> Vec<Record> {
        let changed = self.entries.iter().filter(|e| e.change_revision > revision);
        let record = |e: &Entry| {
            let mut announcement = e.announcement.clone();
            announcement.cold_left = e.cold_until.since(now);
            Record {
                announcement,
                age: now.since(e.last_heard),
                silent: e.silent,
                limit: e.limit.map(|l| Statement {
                    bounds: l.bounds,
                    age: now.since(l.stated_at),
                }),
            }
        };
        changed.map(record).collect()
    }

    /// Returns heartbeats for the announcements after the revision that changed nothing.
    #[must_use]
    pub fn heartbeats(&self, revision: u64, now: Time) -> Vec<Heartbeat> {
        let repeated = self
            .entries
            .iter()
            .filter(|e| e.announcement_revision > revision && e.change_revision <= revision);
        repeated
            .map(|e| Heartbeat {
                upstream: e.announcement.upstream.clone(),
                incarnation: e.announcement.incarnation,
                sequence: e.announcement.sequence,
                age: now.since(e.last_heard),
            })
            .collect()
    }

    /// Drops upstreams that have been silent for too long.
    pub fn expire(&mut self, now: Time) {
        self.entries
            .retain(|e| !e.silent || now.since(e.last_heard) < RETENTION);
    }
}
