//! What entry instances report about their work, merged over all control instances.
//!
//! Each instance counts only for itself and replaces its own report, so merging never counts
//! anything twice.

use std::sync::Arc;

use crate::time::{Span, Time};

/// How long an instance counts as present after its last report.
pub const PRESENT: Span = Span::from_secs(3);

/// How long a report's counts stay part of the totals of a rollout.
const KEPT: Span = Span::from_secs(60);

plain! {
    /// Work at one upstream.
    #[derive(Eq, Default)]
    pub struct Load {
        /// The upstream.
        pub upstream: Arc<str>,
        /// Requests that are sent and not answered.
        pub running: u32,
        /// Prompt and output tokens of these requests.
        pub tokens: u64,
        /// Weighted tokens of these requests, which tell how long they take.
        pub work: u64,
        /// Recent requests that ended well.
        pub ok: u32,
        /// Recent requests that failed at the upstream.
        pub failed: u32,
    }

    /// Outcomes of a version of a service.
    #[derive(Eq, Default)]
    pub struct Trial {
        /// The service.
        pub service: Arc<str>,
        /// The version.
        pub version: Arc<str>,
        /// Requests that ended well.
        pub ok: u64,
        /// Requests that failed at the upstream.
        pub failed: u64,
        /// Requests whose first byte came later than the service's usual time by a large factor.
        pub slow: u64,
        /// Requests that are sent and not answered.
        pub running: u64,
    }

    /// Evidence that a request crashes upstreams.
    #[derive(Copy, Eq)]
    pub struct Suspect {
        /// Digest of account, path and body.
        pub fingerprint: u64,
        /// Times that an upstream ended while it ran the request.
        pub crashes: u32,
    }

    /// Report of one entry instance.
    #[derive(Eq, Default)]
    pub struct Report {
        /// Random number of the process.
        pub instance: u64,
        /// Grows with each report.
        pub sequence: u64,
        /// Work by upstream.
        pub loads: Vec<Load>,
        /// Outcomes by service and version.
        pub trials: Vec<Trial>,
        /// Requests that may have crashed upstreams.
        pub suspects: Vec<Suspect>,
    }

    /// A report as instances exchange it.
    #[derive(Eq)]
    pub struct Record {
        /// The report.
        pub report: Report,
        /// Time since it was made.
        pub age: Span,
    }

    /// Totals over all instances but one.
    #[derive(Eq, Default)]
    pub struct Totals {
        /// Work by upstream, sorted by upstream.
        pub loads: Vec<Load>,
        /// Evidence of crashes, sorted by fingerprint.
        pub suspects: Vec<Suspect>,
        /// Instances that are present, sorted.
        pub instances: Vec<u64>,
    }
}

#[derive(Clone, Debug)]
struct Entry {
    report: Report,
    made: Time,
    mark: u64,
    /// Whether the instance itself sent it here. Only such reports are passed on, so that each
    /// control instance gets each report once.
    direct: bool,
}

/// The latest report of each instance, sorted by instance.
#[derive(Clone, Debug, Default)]
pub struct Board {
    entries: Vec<Entry>,
    mark: u64,
}

impl Board {
    /// Returns the mark of the latest change.
    #[must_use]
    pub const fn mark(&self) -> u64 {
        self.mark
    }

    /// Merges a report, which is `direct` if it came from the instance itself.
    pub fn merge(&mut self, record: Record, now: Time, direct: bool) {
        let entry = Entry {
            made: now - record.age,
            report: record.report,
            mark: self.mark + 1,
            direct,
        };
        let found = self
            .entries
            .binary_search_by_key(&entry.report.instance, |e| e.report.instance);
        match found {
            Ok(at) if self.entries[at].report.sequence >= entry.report.sequence => return,
            Ok(at) => self.entries[at] = entry,
            Err(at) => self.entries.insert(at, entry),
        }
        self.mark += 1;
    }

    /// Returns the direct reports that changed after the mark.
    #[must_use]
    pub fn since(&self, mark: u64, now: Time) -> Vec<Record> {
        let changed = self.entries.iter().filter(|e| e.direct && e.mark > mark);
        changed
            .map(|e| Record {
                report: e.report.clone(),
                age: now.since(e.made),
            })
            .collect()
    }

    /// Forgets instances that were not heard for a long time.
    pub fn expire(&mut self, now: Time) {
        self.entries.retain(|e| now.since(e.made) < KEPT);
    }

    /// Returns the totals over the instances that are present, without those of `except`.
    #[must_use]
    pub fn totals(&self, except: u64, now: Time) -> Totals {
        let mut totals = Totals::default();
        let present = self.entries.iter().filter(|e| now.since(e.made) < PRESENT);
        for entry in present {
            totals.instances.push(entry.report.instance);
            let others = entry.report.instance != except;
            let loads = entry.report.loads.iter().filter(|_| others);
            for load in loads {
                add_load(&mut totals.loads, load);
            }
        }
        for entry in self.entries.iter().filter(|e| e.report.instance != except) {
            for suspect in &entry.report.suspects {
                add_suspect(&mut totals.suspects, *suspect);
            }
        }
        totals
    }

    /// Returns the outcomes of a version of a service over all instances.
    #[must_use]
    pub fn trial(&self, service: &str, version: &str) -> Trial {
        let mut sum = Trial::default();
        let trials = self.entries.iter().flat_map(|e| &e.report.trials);
        for trial in trials.filter(|t| &*t.service == service && &*t.version == version) {
            sum.add(trial);
        }
        sum
    }

    /// Returns the outcomes of all other versions of a service over all instances.
    #[must_use]
    pub fn control(&self, service: &str, version: &str) -> Trial {
        let mut sum = Trial::default();
        let trials = self.entries.iter().flat_map(|e| &e.report.trials);
        for trial in trials.filter(|t| &*t.service == service && &*t.version != version) {
            sum.add(trial);
        }
        sum
    }
}

impl Trial {
    fn add(&mut self, other: &Self) {
        self.ok += other.ok;
        self.failed += other.failed;
        self.slow += other.slow;
        self.running += other.running;
    }

    /// Returns the requests that have ended.
    #[must_use]
    pub const fn ended(&self) -> u64 {
        self.ok + self.failed
    }
}

fn add_load(loads: &mut Vec<Load>, load: &Load) {
    match loads.binary_search_by(|l| l.upstream.cmp(&load.upstream)) {
        Ok(at) => {
            let sum = &mut loads[at];
            sum.running += load.running;
            sum.tokens += load.tokens;
            sum.work += load.work;
            sum.ok += load.ok;
            sum.failed += load.failed;
        }
        Err(at) => loads.insert(at, load.clone()),
    }
}

fn add_suspect(suspects: &mut Vec<Suspect>, suspect: Suspect) {
    match suspects.binary_search_by_key(&suspect.fingerprint, |s| s.fingerprint) {
        Ok(at) => suspects[at].crashes += suspect.crashes,
        Err(at) => suspects.insert(at, suspect),
    }
}
