use std::{cell::Cell, rc::Rc, sync::Arc};

use masticlock_core::placement::{Demand, Outcome, Target};

use super::Proxy;

/// Counts a request at an upstream until it is dropped.
pub struct InFlightGuard {
    proxy: Rc<Proxy>,
    target: Target,
    service: Arc<str>,
    size: Demand,
    outcome: Cell<Outcome>,
    /// Whether the answer has begun.
    read: Cell<bool>,
}

impl InFlightGuard {
    pub(super) fn begin(
        proxy: &Rc<Proxy>,
        target: &Target,
        service: &Arc<str>,
        size: Demand,
    ) -> Self {
        let now = proxy.now();
        proxy.pool.borrow_mut().begin(&target.upstream, size, now);
        proxy.with_trial(service, &target.version, |t| t.running += 1);
        Self {
            proxy: proxy.clone(),
            target: target.clone(),
            service: service.clone(),
            size,
            outcome: Cell::new(Outcome::Neutral),
            read: Cell::new(false),
        }
    }

    /// Notes that the answer has begun, so that its prompt is read.
    pub(super) fn read(&self) {
        if !self.read.replace(true) {
            let mut pool = self.proxy.pool.borrow_mut();
            pool.finish_prefill(&self.target.upstream, self.size);
        }
    }

    /// Sets how the request ended.
    pub(super) fn end(&self, outcome: Outcome) {
        self.outcome.set(outcome);
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.read();
        let now = self.proxy.now();
        let mut pool = self.proxy.pool.borrow_mut();
        pool.end(&self.target.upstream, self.size, self.outcome.get(), now);
        drop(pool);
        self.proxy
            .with_trial(&self.service, &self.target.version, |t| {
                t.running = t.running.saturating_sub(1);
            });
        self.proxy.room.notify_waiters();
    }
}
