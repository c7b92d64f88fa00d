//! What entry instances report about their work, merged over all control instances.
//!
//! Each entry instance reports to one control instance, which passes on the sum of the reports
//! that it got itself. What a control instance sends and stores so grows with the number of control
//! instances and upstreams and not with that of entry instances.

use std::sync::Arc;

use crate::{
    notice::Departure,
    time::{Span, Time},
};

/// How long an instance counts as present after its last report.
pub const PRESENCE_TIMEOUT: Span = Span::from_secs(3);

/// How long a report's counts stay part of the totals of a rollout.
const KEPT: Span = Span::from_secs(60);

/// Requests at an upstream from which every instance learns its load, wherever it is.
const BUSY: u32 = 6;

/// Age up to which sums are used again. Entry instances poll several times as often.
const SUM_AGE: Span = Span::from_millis(80);

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
        /// Weighted prompt tokens of the requests whose answers have not begun.
        pub prefill: u64,
        /// Recent requests that ended well.
        pub ok: u32,
        /// Recent requests that failed at the upstream.
        pub failed: u32,
    }

    /// Outcomes of a version of a service.
    #[derive(Eq, Default)]
    pub struct VersionStats {
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
        /// Failure domain of the instance.
        pub domain: Arc<str>,
        /// Grows with each report.
        pub sequence: u64,
        /// Work by upstream.
        pub loads: Vec<Load>,
        /// Outcomes by service and version.
        pub stats: Vec<VersionStats>,
        /// Requests that may have crashed upstreams.
        pub suspects: Vec<Suspect>,
        /// Upstreams that have told the instance of late that they leave.
        pub departures: Vec<Departure>,
    }

    /// An instance whose latest report is part of a sum.
    #[derive(Eq)]
    pub struct Source {
        /// Random number of the process.
        pub instance: u64,
        /// Position of its failure domain among those of the sum.
        pub domain: u16,
        /// Number of the report.
        pub sequence: u64,
    }

    /// Evidence of one instance.
    #[derive(Copy, Eq)]
    pub struct Evidence {
        /// The instance.
        pub instance: u64,
        /// What it has seen.
        pub suspect: Suspect,
    }

    /// The reports that one control instance got itself.
    #[derive(Eq, Default)]
    pub struct Summary {
        /// Random number of the control process.
        pub origin: u64,
        /// Work of the instances that are present, sorted by upstream.
        pub loads: Vec<Load>,
        /// Outcomes, sorted by service and version.
        pub stats: Vec<VersionStats>,
        /// Evidence of crashes, by instance and fingerprint.
        pub evidence: Vec<Evidence>,
        /// Failure domains of the instances.
        pub domains: Vec<Arc<str>>,
        /// Instances that are present, sorted by instance.
        pub sources: Vec<Source>,
    }

    /// What an entry instance learns of the others.
    #[derive(Eq, Default)]
    pub struct Totals {
        /// Work of all other instances by upstream, sorted by upstream.
        pub loads: Vec<Load>,
        /// Evidence of crashes of all other instances, sorted by fingerprint.
        pub suspects: Vec<Suspect>,
        /// Number of all instances that are present, this one included.
        pub instances: u64,
        /// Instances of the same failure domain that are present, sorted.
        pub domain_instances: Vec<u64>,
    }
}

/// A report that an instance sent here itself.
#[derive(Clone, Debug)]
struct Direct {
    report: Report,
    made: Time,
}

impl Direct {
    fn is_present(&self, now: Time) -> bool {
        now.since(self.made) < PRESENCE_TIMEOUT
    }

    /// Returns the outcomes that the instance has seen. An instance that is gone has no requests
    /// under way any more, whatever its last report says.
    fn trials(&self, now: Time) -> impl Iterator<Item = VersionStats> {
        let is_present = self.is_present(now);
        self.report.stats.iter().map(move |trial| VersionStats {
            running: if is_present { trial.running } else { 0 },
            ..trial.clone()
        })
    }
}

/// The sum of another control instance's reports.
#[derive(Clone, Debug)]
struct Remote {
    sum: Summary,
    heard: Time,
}

/// The latest report of each instance that reports here and the latest sum of each other control
/// instance.
#[derive(Clone, Debug, Default)]
pub struct Aggregator {
    /// Sorted by instance.
    direct: Vec<Direct>,
    /// Sorted by origin.
    remote: Vec<Remote>,
    /// Work of all instances, sorted by upstream, and when it was summed.
    loads: Vec<Load>,
    summed: Option<Time>,
}

impl Aggregator {
    /// Takes over an instance's own report.
    pub fn merge_report(&mut self, report: Report, now: Time) {
        let made = now;
        let entry = Direct { report, made };
        let found = self
            .direct
            .binary_search_by_key(&entry.report.instance, |e| e.report.instance);
        match found {
            Ok(at) if self.direct[at].report.sequence >= entry.report.sequence => {}
            Ok(at) => self.direct[at] = entry,
            Err(at) => self.direct.insert(at, entry),
        }
    }

    /// Takes over another control instance's sum.
    ///
    /// An instance that has reported there after its last report here has moved, and its report
    /// here is forgotten.
    pub fn merge_summary(&mut self, sum: Summary, now: Time) {
        self.direct.retain(|e| {
            let report = &e.report;
            let part = sum
                .sources
                .binary_search_by_key(&report.instance, |p| p.instance);
            part.map_or(true, |at| sum.sources[at].sequence <= report.sequence)
        });
        let remote = Remote { sum, heard: now };
        match self
            .remote
            .binary_search_by_key(&remote.sum.origin, |r| r.sum.origin)
        {
            Ok(at) => self.remote[at] = remote,
            Err(at) => self.remote.insert(at, remote),
        }
    }

    /// Returns the sum of the reports that came here.
    #[must_use]
    pub fn summary(&self, origin: u64, now: Time) -> Summary {
        let mut sum = Summary {
            origin,
            ..Summary::default()
        };
        for entry in &self.direct {
            let report = &entry.report;
            for trial in entry.trials(now) {
                add_trial(&mut sum.stats, &trial);
            }
            for suspect in &report.suspects {
                sum.evidence.push(Evidence {
                    instance: report.instance,
                    suspect: *suspect,
                });
            }
            if !entry.is_present(now) {
                continue;
            }
            let known = sum.domains.iter().position(|d| *d == report.domain);
            let domain = known.unwrap_or_else(|| {
                sum.domains.push(report.domain.clone());
                sum.domains.len() - 1
            });
            sum.sources.push(Source {
                instance: report.instance,
                domain: u16::try_from(domain).unwrap_or(u16::MAX),
                sequence: report.sequence,
            });
        }
        sum.loads = add_loads(self.present(now).flat_map(|r| &r.loads));
        sum
    }

    /// Returns the reports of the instances that report here and are present.
    fn present(&self, now: Time) -> impl Iterator<Item = &Report> {
        let present = self.direct.iter().filter(move |e| e.is_present(now));
        present.map(|e| &e.report)
    }

    /// Returns the sums of other control instances that are not too old.
    fn sums(&self, now: Time) -> impl Iterator<Item = &Summary> {
        let recent = self
            .remote
            .iter()
            .filter(move |r| now.since(r.heard) < PRESENCE_TIMEOUT);
        recent.map(|r| &r.sum)
    }

    /// Forgets what was not heard for a long time.
    pub fn expire(&mut self, now: Time) {
        self.direct.retain(|e| now.since(e.made) < KEPT);
        self.remote
            .retain(|r| now.since(r.heard) < PRESENCE_TIMEOUT);
    }

    /// Returns what `instance` learns of the others: the work at the upstreams that `wanted` names and
    /// at busy ones, the evidence of crashes and which instances are present in its failure domain.
    pub fn totals<W>(&mut self, instance: u64, now: Time, wanted: W) -> Totals
    where
        W: Fn(&str) -> bool,
    {
        if self.summed.is_none_or(|at| now.since(at) >= SUM_AGE) {
            let remote = self.sums(now).flat_map(|s| &s.loads);
            let direct = self.present(now).flat_map(|r| &r.loads);
            self.loads = add_loads(direct.chain(remote));
            self.summed = Some(now);
        }
        let own = self
            .direct
            .binary_search_by_key(&instance, |e| e.report.instance);
        let own = own.ok().map(|at| &self.direct[at].report);
        let loads = self.loads.iter();
        let loads = loads.filter(|l| l.running >= BUSY || wanted(&l.upstream));
        let loads = loads.map(|sum| {
            let part = own.and_then(|r| r.loads.iter().find(|l| l.upstream == sum.upstream));
            part.map_or_else(|| sum.clone(), |part| sum.without(part))
        });
        let domain = own.map(|r| r.domain.clone()).unwrap_or_default();
        let mut totals = Totals {
            loads: loads.collect(),
            ..Totals::default()
        };
        for report in self.present(now) {
            totals.instances += 1;
            if report.domain == domain {
                totals.domain_instances.push(report.instance);
            }
        }
        for sum in self.sums(now) {
            totals.instances += sum.sources.len() as u64;
            let home = sum.domains.iter().position(|d| *d == domain);
            let home = home.and_then(|at| u16::try_from(at).ok());
            let sources = sum.sources.iter().filter(|p| Some(p.domain) == home);
            totals.domain_instances.extend(sources.map(|p| p.instance));
        }
        totals.domain_instances.sort_unstable();
        totals.domain_instances.dedup();
        totals.suspects = self.suspects(instance, now);
        totals
    }

    /// Returns the evidence of all instances but one, each instance's counted once.
    fn suspects(&self, except: u64, now: Time) -> Vec<Suspect> {
        let direct = self.direct.iter().flat_map(|e| {
            let instance = e.report.instance;
            let suspects = e.report.suspects.iter();
            suspects.map(move |s| (s.fingerprint, instance, s.crashes))
        });
        let remote = self.sums(now).flat_map(|s| &s.evidence);
        let remote = remote.map(|e| (e.suspect.fingerprint, e.instance, e.suspect.crashes));
        let mut all: Vec<_> = direct
            .chain(remote)
            .filter(|(_, instance, _)| *instance != except)
            .collect();
        all.sort_unstable();
        let mut suspects: Vec<Suspect> = Vec::new();
        for of_instance in all.chunk_by(|a, b| (a.0, a.1) == (b.0, b.1)) {
            // The last of a chunk has the most crashes.
            let (fingerprint, _, crashes) = of_instance[of_instance.len() - 1];
            match suspects.last_mut() {
                Some(last) if last.fingerprint == fingerprint => last.crashes += crashes,
                _ => suspects.push(Suspect {
                    fingerprint,
                    crashes,
                }),
            }
        }
        suspects
    }

    /// Returns the sum of the outcomes that the filter names over all instances.
    fn trials<F>(&self, now: Time, filter: F) -> VersionStats
    where
        F: Fn(&VersionStats) -> bool,
    {
        let mut sum = VersionStats::default();
        let direct = self.direct.iter().flat_map(|e| e.trials(now));
        let remote = self.sums(now).flat_map(|s| s.stats.iter().cloned());
        for trial in direct.chain(remote).filter(|t| filter(t)) {
            sum.add(&trial);
        }
        sum
    }

    /// Returns the outcomes of a version of a service over all instances.
    #[must_use]
    pub fn version_stats(&self, service: &str, version: &str, now: Time) -> VersionStats {
        self.trials(now, |t| &*t.service == service && &*t.version == version)
    }

    /// Returns the outcomes of all other versions of a service over all instances.
    #[must_use]
    pub fn baseline_stats(&self, service: &str, version: &str, now: Time) -> VersionStats {
        self.trials(now, |t| &*t.service == service && &*t.version != version)
    }
}

impl Load {
    fn add(&mut self, other: &Self) {
        self.running += other.running;
        self.tokens += other.tokens;
        self.work += other.work;
        self.prefill += other.prefill;
        self.ok += other.ok;
        self.failed += other.failed;
    }

    /// Returns the sum without a part that may be newer than the sum.
    fn without(&self, part: &Self) -> Self {
        Self {
            upstream: self.upstream.clone(),
            running: self.running.saturating_sub(part.running),
            tokens: self.tokens.saturating_sub(part.tokens),
            work: self.work.saturating_sub(part.work),
            prefill: self.prefill.saturating_sub(part.prefill),
            ok: self.ok.saturating_sub(part.ok),
            failed: self.failed.saturating_sub(part.failed),
        }
    }
}

impl VersionStats {
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

/// Returns the sums by upstream, sorted.
fn add_loads<'a, L>(loads: L) -> Vec<Load>
where
    L: Iterator<Item = &'a Load>,
{
    let mut all: Vec<&Load> = loads.collect();
    all.sort_unstable_by(|a, b| a.upstream.cmp(&b.upstream));
    let mut sums: Vec<Load> = Vec::new();
    for load in all {
        match sums.last_mut() {
            Some(last) if last.upstream == load.upstream => last.add(load),
            _ => sums.push(load.clone()),
        }
    }
    sums
}

fn add_trial(trials: &mut Vec<VersionStats>, trial: &VersionStats) {
    let key = |t: &VersionStats| (t.service.clone(), t.version.clone());
    match trials.binary_search_by(|t| key(t).cmp(&key(trial))) {
        Ok(at) => trials[at].add(trial),
        Err(at) => trials.insert(at, trial.clone()),
    }
}
