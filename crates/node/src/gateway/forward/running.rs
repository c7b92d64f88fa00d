use std::{cell::Cell, rc::Rc, sync::Arc};

use masticlock_core::placement::{Demand, Outcome, Target};

use super::Traffic;

/// Counts a request at an upstream until it is dropped.
pub struct Running {
    traffic: Rc<Traffic>,
    target: Target,
    service: Arc<str>,
    size: Demand,
    outcome: Cell<Outcome>,
    /// Whether the answer has begun.
    read: Cell<bool>,
}

impl Running {
    pub(super) fn begin(
        traffic: &Rc<Traffic>,
        target: &Target,
        service: &Arc<str>,
        size: Demand,
    ) -> Self {
        let now = traffic.now();
        traffic.pool.borrow_mut().begin(&target.upstream, size, now);
        traffic.with_trial(service, &target.version, |t| t.running += 1);
        Self {
            traffic: traffic.clone(),
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
            let mut pool = self.traffic.pool.borrow_mut();
            pool.finish_prefill(&self.target.upstream, self.size);
        }
    }

    /// Sets how the request ended.
    pub(super) fn end(&self, outcome: Outcome) {
        self.outcome.set(outcome);
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.read();
        let now = self.traffic.now();
        let mut pool = self.traffic.pool.borrow_mut();
        pool.end(&self.target.upstream, self.size, self.outcome.get(), now);
        drop(pool);
        self.traffic
            .with_trial(&self.service, &self.target.version, |t| {
                t.running = t.running.saturating_sub(1);
            });
        self.traffic.room.notify_waiters();
    }
}
