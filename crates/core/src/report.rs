//! Aggregation of the load reports of entry instances over all control instances.
//!
//! Each entry instance reports to one control instance, which sends the others only a summary of
//! the reports that it received directly. The data that a control instance sends and stores
//! therefore grows with the number of control instances and upstreams, not of entry instances.

use std::sync::Arc;

use crate::{
    fleet::Statement,
    notice::Departure,
    rollout::lateness::{self, Timing},
    time::{Span, Time},
};

/// How long an instance counts as present after its last report.
pub const PRESENCE_TIMEOUT: Span = Span::from_secs(3);

/// How long the statistics of an instance's last report count for a rollout.
const STATS_RETENTION: Span = Span::from_secs(60);

/// Number of running requests from which an upstream's load is sent to the instances of all failure
/// domains.
const BUSY_REQUESTS: u32 = 6;

/// How long the total loads are cached. Entry instances poll several times as often.
const LOADS_MAX_AGE: Span = Span::from_millis(80);

plain! {
    /// Load of one upstream.
    #[derive(Eq, Default)]
    pub struct Load {
        /// The upstream.
        pub upstream: Arc<str>,
        /// Requests that were sent and not yet answered.
        pub running: u32,
        /// Prompt and output tokens of these requests.
        pub tokens: u64,
        /// Weighted tokens of these requests, in proportion to the time that they take.
        pub work: u64,
        /// Weighted prompt tokens of the requests whose answers have not started.
        pub prefill: u64,
        /// Recent requests that succeeded.
        pub ok: u32,
        /// Recent requests that failed at the upstream.
        pub failed: u32,
    }

    /// Request statistics of a version of a service.
    #[derive(Eq, Default)]
    pub struct VersionStats {
        /// The service.
        pub service: Arc<str>,
        /// The version.
        pub version: Arc<str>,
        /// Requests that succeeded.
        pub ok: u64,
        /// Requests that failed at the upstream.
        pub failed: u64,
        /// Requests whose first byte took much longer than is usual for the service.
        pub slow: u64,
        /// Requests that were sent and not yet answered.
        pub running: u64,
        /// Answers whose times were compared with those of the stable versions, by group of
        /// upstreams.
        pub timings: Vec<Timing>,
    }

    /// A statement of an upstream about its bounds.
    #[derive(Eq)]
    pub struct Limit {
        /// The upstream.
        pub upstream: Arc<str>,
        /// Its incarnation.
        pub incarnation: u64,
        /// The statement.
        pub statement: Statement,
    }

    /// A report of one entry instance.
    #[derive(Eq, Default)]
    pub struct Report {
        /// Random number of the process.
        pub instance: u64,
        /// Failure domain of the instance.
        pub domain: Arc<str>,
        /// Sequence number, which increases with each report.
        pub sequence: u64,
        /// Loads by upstream.
        pub loads: Vec<Load>,
        /// Statistics by service and version.
        pub stats: Vec<VersionStats>,
        /// Upstreams that have recently told the instance that they are leaving.
        pub departures: Vec<Departure>,
        /// Statements of upstreams about their bounds that the directory does not show yet.
        pub limits: Vec<Limit>,
    }

    /// An instance whose latest report is included in a summary.
    #[derive(Eq)]
    pub struct Source {
        /// Random number of the process.
        pub instance: u64,
        /// Index of its failure domain in [`Summary::domains`].
        pub domain: u16,
        /// Sequence number of the report.
        pub sequence: u64,
    }

    /// An entry instance that may send requests to upstreams for others.
    #[derive(Eq)]
    pub struct Peer {
        /// Its address for requests of other entry instances.
        pub address: Arc<str>,
        /// Failure domain.
        pub domain: Arc<str>,
        /// Number of requests that it takes from others at a time; 0 if it has no way to upstreams.
        pub room: u32,
    }

    /// The aggregated reports that one control instance received directly.
    #[derive(Eq, Default)]
    pub struct Summary {
        /// Random number of the control process.
        pub origin: u64,
        /// Loads from the present instances, sorted by upstream.
        pub loads: Vec<Load>,
        /// Statistics, sorted by service and version.
        pub stats: Vec<VersionStats>,
        /// Failure domains of the instances.
        pub domains: Vec<Arc<str>>,
        /// Present instances, sorted by instance.
        pub sources: Vec<Source>,
    }

    /// Totals over the other instances, as sent to one entry instance.
    #[derive(Eq, Default)]
    pub struct Totals {
        /// Loads from all other instances, sorted by upstream.
        pub loads: Vec<Load>,
        /// Number of present instances, including this one.
        pub instances: u64,
        /// Present instances of the same failure domain, sorted.
        pub domain_instances: Vec<u64>,
    }
}

/// A report that was received directly from its instance.
#[derive(Clone, Debug)]
struct DirectReport {
    report: Report,
    received: Time,
}

impl DirectReport {
    fn is_present(&self, now: Time) -> bool {
        now.since(self.received) < PRESENCE_TIMEOUT
    }

    /// Returns the statistics of the instance. An instance that is no longer present has no running
    /// requests, whatever its last report says.
    fn stats(&self, now: Time) -> impl Iterator<Item = VersionStats> {
        let is_present = self.is_present(now);
        self.report.stats.iter().map(move |stats| VersionStats {
            running: if is_present { stats.running } else { 0 },
            ..stats.clone()
        })
    }
}

/// The summary of another control instance.
#[derive(Clone, Debug)]
struct RemoteSummary {
    summary: Summary,
    received: Time,
}

/// Combines the latest report of each instance that reports here with the latest summary of each
/// other control instance.
#[derive(Clone, Debug, Default)]
pub struct Aggregator {
    /// Sorted by instance.
    direct: Vec<DirectReport>,
    /// Sorted by origin.
    remote: Vec<RemoteSummary>,
    /// Cached total loads of all instances, sorted by upstream.
    loads: Vec<Load>,
    /// Time of the cached loads.
    loads_at: Option<Time>,
}

impl Aggregator {
    /// Merges a report that came directly from its instance.
    pub fn merge_report(&mut self, report: Report, now: Time) {
        let received = now;
        let entry = DirectReport { report, received };
        let found = self
            .direct
            .binary_search_by_key(&entry.report.instance, |e| e.report.instance);
        match found {
            Ok(at) if self.direct[at].report.sequence >= entry.report.sequence => {}
            Ok(at) => self.direct[at] = entry,
            Err(at) => self.direct.insert(at, entry),
        }
    }

    /// Merges the summary of another control instance.
    ///
    /// An instance whose later report is in the summary has moved there, so its report here is
    /// dropped.
    pub fn merge_summary(&mut self, summary: Summary, now: Time) {
        self.direct.retain(|e| {
            let report = &e.report;
            let source = summary
                .sources
                .binary_search_by_key(&report.instance, |s| s.instance);
            source.map_or(true, |at| summary.sources[at].sequence <= report.sequence)
        });
        let remote = RemoteSummary {
            summary,
            received: now,
        };
        match self
            .remote
            .binary_search_by_key(&remote.summary.origin, |r| r.summary.origin)
        {
            Ok(at) => self.remote[at] = remote,
            Err(at) => self.remote.insert(at, remote),
        }
    }

    /// Returns the summary of the reports that were received directly.
    #[must_use]
    pub fn summary(&self, origin: u64, now: Time) -> Summary {
        let mut summary = Summary {
            origin,
            ..Summary::default()
        };
        for entry in &self.direct {
            let report = &entry.report;
            for stats in entry.stats(now) {
                add_stats(&mut summary.stats, &stats);
            }
            if !entry.is_present(now) {
                continue;
            }
            let known = summary.domains.iter().position(|d| *d == report.domain);
            let domain = known.unwrap_or_else(|| {
                summary.domains.push(report.domain.clone());
                summary.domains.len() - 1
            });
            summary.sources.push(Source {
                instance: report.instance,
                domain: u16::try_from(domain).unwrap_or(u16::MAX),
                sequence: report.sequence,
            });
        }
        summary.loads = sum_loads(self.present(now).flat_map(|r| &r.loads));
        summary
    }

    /// Returns the direct reports of present instances.
    fn present(&self, now: Time) -> impl Iterator<Item = &Report> {
        let present = self.direct.iter().filter(move |e| e.is_present(now));
        present.map(|e| &e.report)
    }

    /// Returns the current summaries of other control instances.
    fn summaries(&self, now: Time) -> impl Iterator<Item = &Summary> {
        let recent = self
            .remote
            .iter()
            .filter(move |r| now.since(r.received) < PRESENCE_TIMEOUT);
        recent.map(|r| &r.summary)
    }

    /// Drops expired reports and summaries.
    pub fn expire(&mut self, now: Time) {
        self.direct
            .retain(|e| now.since(e.received) < STATS_RETENTION);
        self.remote
            .retain(|r| now.since(r.received) < PRESENCE_TIMEOUT);
    }

    /// Returns the totals for `instance`: the loads of busy upstreams and of those that `wanted`
    /// selects, and the present instances of its failure domain.
    pub fn totals<W>(&mut self, instance: u64, now: Time, wanted: W) -> Totals
    where
        W: Fn(&str) -> bool,
    {
        if self
            .loads_at
            .is_none_or(|at| now.since(at) >= LOADS_MAX_AGE)
        {
            let remote = self.summaries(now).flat_map(|s| &s.loads);
            let direct = self.present(now).flat_map(|r| &r.loads);
            self.loads = sum_loads(direct.chain(remote));
            self.loads_at = Some(now);
        }
        let own = self
            .direct
            .binary_search_by_key(&instance, |e| e.report.instance);
        let own = own.ok().map(|at| &self.direct[at].report);
        let loads = self.loads.iter();
        let loads = loads.filter(|l| l.running >= BUSY_REQUESTS || wanted(&l.upstream));
        let loads = loads.map(|total| {
            let part = own.and_then(|r| r.loads.iter().find(|l| l.upstream == total.upstream));
            part.map_or_else(|| total.clone(), |part| total.without(part))
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
        for summary in self.summaries(now) {
            totals.instances += summary.sources.len() as u64;
            let index = summary.domains.iter().position(|d| *d == domain);
            let index = index.and_then(|at| u16::try_from(at).ok());
            let sources = summary.sources.iter().filter(|s| Some(s.domain) == index);
            totals.domain_instances.extend(sources.map(|s| s.instance));
        }
        totals.domain_instances.sort_unstable();
        totals.domain_instances.dedup();
        totals
    }

    /// Returns the sum of the statistics that pass the filter over all instances.
    fn sum_stats<F>(&self, now: Time, filter: F) -> VersionStats
    where
        F: Fn(&VersionStats) -> bool,
    {
        let mut sum = VersionStats::default();
        let direct = self.direct.iter().flat_map(|e| e.stats(now));
        let remote = self.summaries(now).flat_map(|s| s.stats.iter().cloned());
        for stats in direct.chain(remote).filter(|s| filter(s)) {
            sum.add(&stats);
        }
        sum
    }

    /// Returns the statistics of a version of a service over all instances.
    #[must_use]
    pub fn version_stats(&self, service: &str, version: &str, now: Time) -> VersionStats {
        self.sum_stats(now, |s| &*s.service == service && &*s.version == version)
    }

    /// Returns the statistics of all other versions of a service over all instances.
    #[must_use]
    pub fn baseline_stats(&self, service: &str, version: &str, now: Time) -> VersionStats {
        self.sum_stats(now, |s| &*s.service == service && &*s.version != version)
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

    /// Returns the total without one instance's part, which may be newer than the total.
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
        lateness::add(&mut self.timings, &other.timings);
    }

    /// Returns the number of requests that have ended.
    #[must_use]
    pub const fn ended(&self) -> u64 {
        self.ok + self.failed
    }
}

/// Returns the total loads by upstream, sorted.
fn sum_loads<'a, L>(loads: L) -> Vec<Load>
where
    L: Iterator<Item = &'a Load>,
{
    let mut all: Vec<&Load> = loads.collect();
    all.sort_unstable_by(|a, b| a.upstream.cmp(&b.upstream));
    let mut totals: Vec<Load> = Vec::new();
    for load in all {
        match totals.last_mut() {
            Some(last) if last.upstream == load.upstream => last.add(load),
            _ => totals.push(load.clone()),
        }
    }
    totals
}

/// Adds statistics to a list that is sorted by service and version.
fn add_stats(list: &mut Vec<VersionStats>, stats: &VersionStats) {
    let key = |s: &VersionStats| (s.service.clone(), s.version.clone());
    match list.binary_search_by(|s| key(s).cmp(&key(stats))) {
        Ok(at) => list[at].add(stats),
        Err(at) => list.insert(at, stats.clone()),
    }
}
