//! Statistics of the instance: loads, retry budgets, outcomes by version.

use std::sync::Arc;

use masticlock_core::{
    placement::Target,
    replicated::Eligibility,
    report::VersionStats,
    retry_budget::Budget,
    rollout::lateness::{self, Measure, Pace},
};

use super::Proxy;

impl Proxy {
    /// Publishes the statistics for the control thread, which reports them.
    pub fn publish_report(&self) {
        let now = self.now();
        // Updates the pool even if there are no requests.
        self.view();
        let loads = self.pool.borrow_mut().loads(now);
        let spillover_services = self.pool.borrow().spillover_services();
        let departures = self.pool.borrow().departures(now);
        let limits = self.pool.borrow().limit_statements(now);
        let returns = self.pool.borrow_mut().take_surplus(now);
        let wants = self.pool.borrow_mut().wants(now);
        self.shared.screen().expire(now);
        let paces = self.paces.borrow_mut().take(now);
        let (room, needs_peers) = (self.peer_room(), self.pool.borrow().needs_peers(now));
        let report = self.shared.report.lock();
        // The control thread never panics while it holds the lock.
        let mut report = report.unwrap_or_else(std::sync::PoisonError::into_inner);
        report.loads = loads;
        report.spillover_services = spillover_services;
        report
            .version_stats
            .clone_from(&self.version_stats.borrow());
        report.departures = departures;
        report.limits = limits;
        report.wants = wants;
        report.returns.extend(returns);
        (report.room, report.needs_peers) = (room, needs_peers);
        report.paces = paces.or(report.paces.take());
    }

    /// Calls `act` with the retry budget of the service, which is created if it is new.
    pub(super) fn with_budget<F, T>(&self, service: &Arc<str>, act: F) -> T
    where
        F: FnOnce(&mut Budget) -> T,
    {
        let mut retry_budgets = self.retry_budgets.borrow_mut();
        let at = match retry_budgets.binary_search_by(|(s, _)| s.cmp(service)) {
            Ok(at) => at,
            Err(at) => {
                let (ratio, extra) = (self.settings.retry_ratio, self.settings.retry_extra);
                retry_budgets.insert(
                    at,
                    (
                        service.clone(),
                        Budget::new(ratio, extra, self.settings.retry_window),
                    ),
                );
                at
            }
        };
        retry_budgets[at]
            .1
            .set_instances(self.pool.borrow().instances());
        act(&mut retry_budgets[at].1)
    }

    /// Records the outcome of a request, by which the rollout of the version is judged.
    pub(super) fn record_outcome(
        &self,
        service: &Arc<str>,
        version: &Arc<str>,
        good: bool,
        slow: bool,
    ) {
        self.with_version_stats(service, version, |stats| {
            if good {
                stats.ok += 1;
            } else {
                stats.failed += 1;
            }
            stats.slow += u64::from(slow);
        });
    }

    /// Records the time of an answer of an upstream, by which the rollout of its version is judged.
    pub(super) fn record_timing(
        &self,
        service: &Arc<str>,
        target: &Target,
        measure: &Measure,
        micros: u64,
    ) {
        let load = self.pool.borrow().running(&target.upstream);
        let upstream = (&target.upstream, target.incarnation);
        let now = self.now();
        let mut paces = self.paces.borrow_mut();
        paces.observe(measure, load, micros, upstream, now);
        drop(paces);
        let mut reference = self.reference.borrow_mut();
        if let Some(late_above) = reference.late_above(measure, load) {
            self.with_version_stats(service, &target.version, |stats| {
                let is_late = micros > late_above;
                lateness::judge(&mut stats.timings, &target.upstream, is_late);
            });
        }
        let view = self.shared.view.load();
        let eligibility = view.agreed.eligibility(service, &target.version);
        if eligibility == Eligibility::Stable {
            reference.observe(measure, load, micros);
        }
    }

    /// Records events of a stream that arrived together.
    pub(super) fn record_events(
        &self,
        service: &Arc<str>,
        target: &Target,
        level: usize,
        pace: &mut Pace,
        events: u64,
    ) {
        if pace.is_judged() {
            return;
        }
        let measure = Measure::Pace(service.clone(), level);
        let load = self.pool.borrow().running(&target.upstream);
        let late_above = self.reference.borrow().late_above(&measure, load);
        if let Some(micros) = pace.record(events, late_above, self.now()) {
            self.record_timing(service, target, &measure, micros);
        }
    }

    /// Calls `act` with the statistics of the version, which are created if they are new.
    pub(super) fn with_version_stats<F>(&self, service: &Arc<str>, version: &Arc<str>, act: F)
    where
        F: FnOnce(&mut VersionStats),
    {
        let mut stats = self.version_stats.borrow_mut();
        let found =
            stats.binary_search_by(|t| t.service.cmp(service).then_with(|| t.version.cmp(version)));
        let at = found.unwrap_or_else(|at| {
            let entry = VersionStats {
                service: service.clone(),
                version: version.clone(),
                ..VersionStats::default()
            };
            stats.insert(at, entry);
            at
        });
        act(&mut stats[at]);
    }
}
