//! Passes for upstreams with bounds.

use std::{cell::Cell, rc::Rc};

use masticlock_core::{
    placement::{ACCEPTANCE_TIME, Pass, RejectPermit, Target},
    time::Time,
};
use tokio::{task::spawn_local, time::sleep};

use super::Proxy;

/// A pass for one request, which is returned if it is dropped before the request is sent.
pub struct PassGuard {
    proxy: Rc<Proxy>,
    target: Target,
    /// `None` once the request is sent.
    pass: Option<Pass>,
}

impl PassGuard {
    /// Takes a pass for a request to an upstream, or returns `None` if its bounds allow none.
    pub(super) fn take(proxy: &Rc<Proxy>, target: &Target) -> Option<Self> {
        let pass = proxy.pool.borrow_mut().pass(target, proxy.now())?;
        Some(Self {
            proxy: proxy.clone(),
            target: target.clone(),
            pass: Some(pass),
        })
    }

    /// Returns whether the request may be sent now. If the upstream has stated a bound since the
    /// pass was taken, another one is taken.
    pub(super) fn is_valid(&mut self) -> bool {
        let now = self.proxy.now();
        let mut pool = self.proxy.pool.borrow_mut();
        let is_valid = |p: Pass| pool.is_valid(&self.target, p, now);
        if self.pass.is_some_and(is_valid) {
            return true;
        }
        self.pass = pool.pass(&self.target, now);
        self.pass.is_some()
    }

    /// Records that the request is sent, and returns the time by which it must be written and what
    /// its rejection would use up.
    pub(super) fn consume(mut self) -> (Option<Time>, Rejection) {
        let pass = self.pass.take();
        let rejection = Rejection::new(&self, pass.and_then(|p| p.reject_permit));
        (pass.and_then(|p| p.send_by), rejection)
    }
}

/// What the rejection of a request that was sent would use up.
pub struct Rejection(Option<Rc<Pending>>);

/// The permit of a request that the upstream has neither accepted nor rejected.
struct Pending {
    proxy: Rc<Proxy>,
    target: Target,
    /// `None` once it is returned or used up.
    permit: Cell<Option<RejectPermit>>,
}

impl Rejection {
    fn new(guard: &PassGuard, permit: Option<RejectPermit>) -> Self {
        if permit.is_none() {
            return Self(None);
        }
        let pending = Rc::new(Pending {
            proxy: guard.proxy.clone(),
            target: guard.target.clone(),
            permit: Cell::new(permit),
        });
        let waiting = pending.clone();
        spawn_local(async move {
            sleep(ACCEPTANCE_TIME.to_std()).await;
            waiting.accept();
        });
        Self(Some(pending))
    }

    /// Records the head of the response.
    pub(super) fn settle(self, is_rejected: bool) {
        let Some(pending) = self.0 else {
            return;
        };
        if !is_rejected {
            pending.accept();
            return;
        }
        let (proxy, target) = (&pending.proxy, &pending.target);
        proxy.metrics.count_brittle_rejection();
        if pending.permit.take().is_none() {
            let now = proxy.now();
            proxy.pool.borrow_mut().use_reject_permit(target, now);
        }
    }
}

impl Pending {
    /// Returns the permit, because the upstream has accepted the request.
    fn accept(&self) {
        let Some(permit) = self.permit.take() else {
            return;
        };
        let now = self.proxy.now();
        let mut pool = self.proxy.pool.borrow_mut();
        pool.return_reject_permit(&self.target, permit, now);
        drop(pool);
        self.proxy.free_capacity_of_all();
    }
}

impl Drop for PassGuard {
    fn drop(&mut self) {
        if let Some(pass) = self.pass {
            let now = self.proxy.now();
            self.proxy
                .pool
                .borrow_mut()
                .return_pass(&self.target, pass, now);
        }
    }
}
