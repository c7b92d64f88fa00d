//! Passes for upstreams with limits.

use std::rc::Rc;

use masticlock_core::{
    placement::{Pass, Target},
    time::Time,
};

use super::Proxy;

/// A pass for one request, which is returned if it is dropped before the request is sent.
pub struct PassGuard {
    proxy: Rc<Proxy>,
    target: Target,
    /// `None` once the request is sent.
    pass: Option<Pass>,
}

impl PassGuard {
    /// Takes a pass for a request to an upstream, or returns `None` if its limit allows none.
    pub(super) fn take(proxy: &Rc<Proxy>, target: &Target) -> Option<Self> {
        let pass = proxy.pool.borrow_mut().pass(target, proxy.now())?;
        Some(Self {
            proxy: proxy.clone(),
            target: target.clone(),
            pass: Some(pass),
        })
    }

    /// Returns whether the request may be sent now. If the upstream has stated a limit since the
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

    /// Records that the request is sent, and returns the time by which it must be written.
    pub(super) fn consume(mut self) -> Option<Time> {
        self.pass.take().and_then(|pass| pass.send_by)
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
