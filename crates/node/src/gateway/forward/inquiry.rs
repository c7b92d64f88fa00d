//! Questions to upstreams that accept no requests whether they still have their limits.

use std::{io, rc::Rc, time::Duration};

use http_body_util::Full;
use hyper::{HeaderMap, Request, StatusCode};
use masticlock_core::{
    limit::{Bounds, SEND_TIMEOUT, Statement},
    placement::Target,
};
use tokio::{task::spawn_local, time::timeout};

use super::Proxy;
use crate::gateway::{
    adapter::{ForwardHeaders, ResponseHeaders},
    metrics::limit_milli,
};

/// Longest time until the head of the response to a health check.
const INQUIRY_TIMEOUT: Duration = Duration::from_secs(1);

impl Proxy {
    /// Asks and probes the upstreams that are due.
    pub fn probe_upstreams(self: &Rc<Self>) {
        self.send_inquiries();
        self.look_after_runs();
    }

    /// Asks the upstreams that are due.
    ///
    /// An upstream without a health check gets one request instead.
    fn send_inquiries(self: &Rc<Self>) {
        if !self.pool.borrow().has_limits() {
            return;
        }
        let now = self.now();
        let due = self.pool.borrow_mut().inquiries(now);
        let view = self.shared.view.load();
        for (service, target) in due {
            let service = view.table.as_ref().and_then(|t| t.service(&service));
            match service.and_then(|s| s.health.clone()) {
                Some(path) => {
                    let proxy = self.clone();
                    spawn_local(async move { proxy.inquire(&target, &path).await });
                }
                None => self.pool.borrow_mut().try_out(&target, now),
            }
        }
    }

    /// Sends a health check and applies what the response states about the limit.
    async fn inquire(&self, target: &Target, path: &str) {
        match timeout(INQUIRY_TIMEOUT, self.check_health(target, path)).await {
            Ok(Ok((status, meta))) if status != StatusCode::MISDIRECTED_REQUEST => {
                self.apply_inquiry(target, &meta);
            }
            Ok(Ok(_)) => log::debug!("another upstream has the address of {}", target.upstream),
            Ok(Err(error)) => log::debug!("can't ask {} for its limit: {error}", target.upstream),
            Err(_) => log::debug!("{} states no limit in time", target.upstream),
        }
    }

    fn apply_inquiry(&self, target: &Target, meta: &ResponseHeaders) {
        let now = self.now();
        let mut pool = self.pool.borrow_mut();
        let limit = match meta.limit {
            Statement::Limited(rate) => {
                let bounds = Bounds {
                    rate: Some(rate),
                    ..pool.bounds(target)
                };
                pool.set_bounds(target, bounds, false, now);
                Some(rate)
            }
            // Upstreams may state their limits in responses to requests only.
            Statement::Unlimited => {
                pool.try_out(target, now);
                None
            }
            Statement::Unreadable => return,
        };
        log::info!(
            event = "limit_asked", upstream = &*target.upstream,
            incarnation = target.incarnation, limit_milli = limit_milli(limit);
            "an upstream that accepts no requests was asked for its limit"
        );
    }

    async fn check_health(
        &self,
        target: &Target,
        path: &str,
    ) -> io::Result<(StatusCode, ResponseHeaders)> {
        let mut conn = self.connections.acquire(target, Duration::MAX).await?;
        let out = ForwardHeaders {
            remaining_time: SEND_TIMEOUT,
            upstream: &target.upstream,
            account: None,
            model: None,
            last_event_id: None,
            engine_priority: 0,
        };
        let mut request = Request::new(Full::default());
        *request.headers_mut() = self.adapter().forward_headers(&HeaderMap::new(), &out);
        *request.uri_mut() = path.parse().map_err(io::Error::other)?;
        let response = conn.check_health(request).await.map_err(io::Error::other)?;
        let meta = self.adapter().parse_response(response.headers());
        Ok((response.status(), meta))
    }
}
