//! What the instance counts and reports about its work.

use std::sync::Arc;

use masticlock_core::{
    report::{Suspect, VersionStats},
    retry_budget::Budget,
    time::Span,
};

use super::Proxy;

/// How long evidence of a crash is kept.
const SUSPECT_KEPT: Span = Span::from_secs(60);

/// Most requests with evidence of a crash that are kept.
const MAX_SUSPECTS: usize = 128;

impl Proxy {
    /// Writes this instance's report.
    pub fn report(&self) {
        let now = self.now();
        // Brings the pool up to date even without requests.
        self.view();
        let loads = self.pool.borrow_mut().loads(now);
        let spillover_services = self.pool.borrow().spillover_services();
        let departures = self.pool.borrow().departures(now);
        let mut suspects = self.suspects.borrow_mut();
        suspects.retain(|(_, seen)| now.since(*seen) < SUSPECT_KEPT);
        let suspects = suspects.iter().map(|(s, _)| *s).collect();
        let report = self.shared.report.lock();
        // The control thread never panics while it holds the lock.
        let mut report = report.unwrap_or_else(std::sync::PoisonError::into_inner);
        report.loads = loads;
        report.spillover_services = spillover_services;
        report.version_stats.clone_from(&self.trials.borrow());
        report.suspects = suspects;
        report.departures = departures;
    }

    pub(super) fn with_budget<F, T>(&self, service: &Arc<str>, act: F) -> T
    where
        F: FnOnce(&mut Budget) -> T,
    {
        let mut budgets = self.budgets.borrow_mut();
        let at = match budgets.binary_search_by(|(s, _)| s.cmp(service)) {
            Ok(at) => at,
            Err(at) => {
                let (ratio, extra) = (self.settings.retry_ratio, self.settings.retry_extra);
                budgets.insert(
                    at,
                    (
                        service.clone(),
                        Budget::new(ratio, extra, self.settings.retry_window),
                    ),
                );
                at
            }
        };
        budgets[at].1.set_instances(self.pool.borrow().instances());
        act(&mut budgets[at].1)
    }

    /// Returns how many upstreams the request has crashed, as far as all instances know.
    pub(super) fn crashes(&self, fingerprint: u64) -> u32 {
        let suspects = self.suspects.borrow();
        let own = suspects.iter().find(|(s, _)| s.fingerprint == fingerprint);
        let view = self.shared.view.load();
        let others = &view.totals.suspects;
        let others = others.binary_search_by_key(&fingerprint, |s| s.fingerprint);
        let others = others.map_or(0, |at| view.totals.suspects[at].crashes);
        own.map_or(0, |(s, _)| s.crashes) + others
    }

    /// Records that an upstream ended while it ran the request.
    pub(super) fn suspect(&self, fingerprint: u64) {
        let now = self.now();
        let mut suspects = self.suspects.borrow_mut();
        if let Some((suspect, seen)) = suspects
            .iter_mut()
            .find(|(s, _)| s.fingerprint == fingerprint)
        {
            suspect.crashes += 1;
            *seen = now;
            return;
        }
        if suspects.len() >= MAX_SUSPECTS {
            suspects.remove(0);
        }
        let suspect = Suspect {
            fingerprint,
            crashes: 1,
        };
        suspects.push((suspect, now));
    }

    /// Records the outcome of a request for the rollout of its version.
    pub(super) fn record(&self, service: &Arc<str>, version: &Arc<str>, good: bool, slow: bool) {
        self.with_trial(service, version, |trial| {
            if good {
                trial.ok += 1;
            } else {
                trial.failed += 1;
            }
            trial.slow += u64::from(slow);
        });
    }

    pub(super) fn with_trial<F>(&self, service: &Arc<str>, version: &Arc<str>, act: F)
    where
        F: FnOnce(&mut VersionStats),
    {
        let mut trials = self.trials.borrow_mut();
        let found = trials
            .binary_search_by(|t| t.service.cmp(service).then_with(|| t.version.cmp(version)));
        let at = found.unwrap_or_else(|at| {
            let trial = VersionStats {
                service: service.clone(),
                version: version.clone(),
                ..VersionStats::default()
            };
            trials.insert(at, trial);
            at
        });
        act(&mut trials[at]);
    }
}
