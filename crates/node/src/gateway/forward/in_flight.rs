//! Accounting of requests in flight.

use std::{cell::Cell, rc::Rc, sync::Arc};

use masticlock_core::placement::{Demand, Outcome, Target};

use super::{Proxy, RequestContext};

/// Counts a request as in flight at its upstream until it is dropped.
pub struct InFlightGuard {
    proxy: Rc<Proxy>,
    ctx: Rc<RequestContext>,
    target: Target,
    service: Arc<str>,
    demand: Demand,
    outcome: Cell<Outcome>,
    /// Whether the upstream has done all that it was to do, or nothing.
    is_settled: Cell<bool>,
    /// Whether the prompt has been processed, which the start of the response shows.
    prefill_finished: Cell<bool>,
}

impl InFlightGuard {
    /// Starts counting a request.
    pub(super) fn begin(
        proxy: &Rc<Proxy>,
        ctx: &Rc<RequestContext>,
        target: &Target,
        service: &Arc<str>,
        demand: Demand,
    ) -> Self {
        let now = proxy.now();
        if target.is_peer {
            proxy.pool.borrow_mut().begin_handover(&target.upstream);
        }
        proxy.pool.borrow_mut().begin(&target.upstream, demand, now);
        if proxy.pool.borrow().limit(target).is_some() {
            proxy.metrics.count_limited_attempt();
        }
        if !target.is_peer {
            proxy.with_version_stats(service, &target.version, |t| t.running += 1);
        }
        // The next one in the line is tried once this one counts.
        proxy.lines.offer(service, now);
        Self {
            proxy: proxy.clone(),
            ctx: ctx.clone(),
            target: target.clone(),
            service: service.clone(),
            demand,
            outcome: Cell::new(Outcome::Neutral),
            is_settled: Cell::new(false),
            prefill_finished: Cell::new(false),
        }
    }

    /// Records that the response has begun, so the upstream has processed the prompt.
    pub(super) fn finish_prefill(&self) {
        if !self.prefill_finished.replace(true) {
            let mut pool = self.proxy.pool.borrow_mut();
            pool.finish_prefill(&self.target.upstream, self.demand);
        }
    }

    /// Sets the outcome that is recorded when the request ends.
    pub(super) fn set_outcome(&self, outcome: Outcome) {
        self.outcome.set(outcome);
    }

    /// Records that the upstream has answered completely or has not run the request. Otherwise it
    /// may still crash under the request after this side has given up.
    pub(super) fn settle(&self) {
        self.is_settled.set(true);
    }

    /// Takes back the attempt, which the upstream has not run.
    pub(super) fn set_not_run(&self) {
        self.ctx.runs.set(self.ctx.runs.get().without_last());
        self.settle();
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.finish_prefill();
        let now = self.proxy.now();
        let mut pool = self.proxy.pool.borrow_mut();
        pool.end(&self.target.upstream, self.demand, self.outcome.get(), now);
        if self.target.is_peer {
            pool.end_handover(&self.target.upstream);
        }
        drop(pool);
        if !self.target.is_peer {
            self.proxy
                .with_version_stats(&self.service, &self.target.version, |t| {
                    t.running = t.running.saturating_sub(1);
                });
        }
        if !self.target.is_peer && !self.is_settled.get() {
            self.proxy.record_left(&self.ctx, &self.target);
        }
        self.proxy.free_capacity(&self.service);
    }
}
