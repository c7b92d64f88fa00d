//! Handing requests over to peers while this instance has no way to upstreams.
//!
//! A request goes from one instance to another once at most. The peer handles it like one of its own
//! clients' requests, so whatever is counted for a request to an upstream is counted there.

use std::{cell::Cell, rc::Rc, time::Duration};

use futures_util::future::join_all;
use hyper::{HeaderMap, Response, StatusCode, body::Incoming, header::HeaderValue};
use masticlock_core::{
    placement::{Outcome, Target},
    reach::{Change, Trial},
    route::Kind,
};
use tokio::{
    task::spawn_local,
    time::{sleep, timeout},
};

use super::{
    InFlightGuard, Proxy, RequestContext,
    attempt::{AttemptResult, ReceivedResponse, strip_hop_headers},
    relay,
};
use crate::gateway::{
    adapter::ResponseHeaders,
    connection_pool::{Error, PooledConnection},
    entry::ResponseBody,
    handler::{HANDED_OVER, Refusal, ResolvedRoute},
};

/// Longest time for a trial connection: several round trips between failure domains, and a process
/// that is busy for a moment.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(200);

/// Number of trial connections in a round.
const TRIALS: usize = 3;

/// Number of further ones if none of the first is accepted soon, because several upstreams may have
/// crashed at once.
const MORE_TRIALS: usize = 5;

/// Time after which the further connections are tried.
const MORE_TRIALS_DELAY: Duration = Duration::from_millis(40);

/// Requests of peers that an instance handles at a time, beside as many as it has of its own.
const MIN_PEER_PLACES: u32 = 48;

/// The place of a request among those that peers have handed over.
#[derive(Debug)]
pub struct PeerPlace(Rc<Cell<u32>>);

impl Drop for PeerPlace {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// Returns whether the response of a peer says that no upstream has run the request. Its own
/// refusals have no signature; those with other statuses tell nothing.
pub(super) fn is_not_run(status: StatusCode, meta: &ResponseHeaders) -> bool {
    let promises = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
    ];
    !meta.signed && promises.contains(&status)
}

impl Proxy {
    /// Returns a place for a request of a peer, or none if there are too many or this instance has
    /// no way to upstreams.
    pub fn take_peer_place(&self) -> Option<PeerPlace> {
        if self.peer_room() == 0 {
            return None;
        }
        self.peer_places.set(self.peer_places.get() + 1);
        Some(PeerPlace(self.peer_places.clone()))
    }

    /// Takes no more requests of peers, because the instance stops.
    pub fn stop_peers(&self) {
        self.is_stopping.set(true);
    }

    /// Returns the number of requests that this instance takes from peers now.
    pub(super) fn peer_room(&self) -> u32 {
        let pool = self.pool.borrow();
        if pool.is_cut_off() || self.is_stopping.get() {
            return 0;
        }
        let taken = self.peer_places.get();
        let own = pool.running_here().saturating_sub(taken);
        MIN_PEER_PLACES.max(own).saturating_sub(taken)
    }

    /// Records that a connection to an upstream has failed or broken.
    pub(super) fn connection_failed(self: &Rc<Self>) {
        self.reach.borrow_mut().failed();
        self.watch_reach();
    }

    /// Tries connections to upstreams if it is due to find out whether this instance is cut off.
    pub fn watch_reach(self: &Rc<Self>) {
        let now = self.now();
        if !self.reach.borrow_mut().begin_round(now) {
            return;
        }
        let targets = self.pool.borrow().trial_targets(TRIALS + MORE_TRIALS, now);
        let proxy = self.clone();
        spawn_local(async move { proxy.try_connections(&targets).await });
    }

    async fn try_connections(self: Rc<Self>, targets: &[Target]) {
        let any_accepted = Cell::new(false);
        let trials = targets.iter().enumerate().map(async |(at, target)| {
            if at >= TRIALS {
                sleep(MORE_TRIALS_DELAY).await;
                if any_accepted.get() {
                    return None;
                }
            }
            let accepted = match timeout(TRIAL_TIMEOUT, self.connections.open(target)).await {
                Ok(Ok(conn)) => {
                    conn.release(None);
                    true
                }
                Ok(Err(_)) | Err(_) => false,
            };
            any_accepted.set(any_accepted.get() | accepted);
            let domain = target.domain.clone();
            Some(Trial { domain, accepted })
        });
        let trials: Vec<Trial> = join_all(trials).await.into_iter().flatten().collect();
        let now = self.now();
        let domains = self.pool.borrow().upstream_domains();
        let change = self.reach.borrow_mut().end_round(&trials, domains, now);
        if change == Change::Unchanged {
            return;
        }
        let is_cut_off = change == Change::Lost;
        let is_silent = self.reach.borrow().is_silent(now);
        log::warn!(
            event = "reach", cut_off = is_cut_off, silent = is_silent,
            tried = trials.len(), domains;
            "the way to upstreams was lost or has returned"
        );
        self.pool.borrow_mut().set_cut_off(is_cut_off);
        self.publish_report();
        self.shared.poll_wanted.notify_one();
        // Old connections may live on.
        if is_cut_off && is_silent {
            self.cut_off.notify_waiters();
        }
    }

    /// Returns the headers of a request for a peer.
    pub(super) fn peer_headers(
        &self,
        ctx: &RequestContext,
        resolved: &ResolvedRoute,
        last_event_id: Option<u64>,
    ) -> HeaderMap {
        let left = ctx.deadline(&resolved.route).since(self.now());
        let adapter = self.adapter();
        let mut headers = adapter.peer_headers(&ctx.headers, left, last_event_id);
        strip_hop_headers(&mut headers);
        headers.insert(HANDED_OVER, HeaderValue::from(ctx.run_count()));
        headers
    }

    /// Hands the request over to a peer and returns the result.
    ///
    /// How often the peer has sent it is unknown here, so it is not tried again unless the peer says
    /// that no upstream has run it.
    pub(super) async fn hand_over(
        self: Rc<Self>,
        ctx: &Rc<RequestContext>,
        resolved: &ResolvedRoute,
        target: &Target,
        mut conn: PooledConnection,
    ) -> AttemptResult {
        let runs = ctx.runs.get();
        let demand = ctx.demand(resolved);
        let guard = InFlightGuard::begin(&self, ctx, target, &resolved.service.name, demand);
        let sent_at = self.now();
        let request = self.build_request(ctx, resolved, target, ctx.meta.last_event_id);
        let Some(right) = self.begin_attempt(ctx, &resolved.route, target) else {
            return AttemptResult::Refused(RequestContext::refuse_repeat());
        };
        self.log_sent(ctx, resolved, target);
        let left = ctx.deadline(&resolved.route).since(sent_at);
        let sent = conn.send(request, right, self.send_deadline(resolved));
        let response = match timeout(left.to_std(), sent).await {
            Ok(Ok(response)) => response,
            Ok(Err(Error::NotSent(reason))) => {
                ctx.runs.set(runs);
                log::debug!("{} was not handed over: {reason}", ctx.id());
                return AttemptResult::NotRun;
            }
            Ok(Err(Error::OutcomeUnknown(reason))) => {
                log::info!(
                    event = "lost", request = ctx.id(), upstream = &*target.upstream,
                    reason, runs = runs.count();
                    "a peer gave no answer"
                );
                let status = StatusCode::BAD_GATEWAY;
                return AttemptResult::Refused(Refusal::new(status, "no answer from a peer"));
            }
            Err(_) => return AttemptResult::Refused(ctx.timed_out(self.now())),
        };
        let meta = self.adapter().parse_response(response.headers());
        let status = response.status();
        if is_not_run(status, &meta) {
            ctx.runs.set(runs);
            self.pool
                .borrow_mut()
                .avoid_peer(&target.upstream, self.now());
            log::info!(
                event = "not_run", request = ctx.id(), upstream = &*target.upstream,
                status = status.as_u16();
                "a peer has not run the request"
            );
            return AttemptResult::NotRun;
        }
        if !meta.signed {
            let status = if status.is_server_error() {
                status
            } else {
                StatusCode::BAD_GATEWAY
            };
            return AttemptResult::Refused(Refusal::new(status, "a peer has no answer"));
        }
        if meta.id.as_deref() != ctx.meta.id.as_deref() {
            let reason = "response to another request";
            return AttemptResult::Refused(Refusal::new(StatusCode::BAD_GATEWAY, reason));
        }
        self.reach.borrow_mut().heard();
        ctx.has_begun.set(true);
        let received = ReceivedResponse {
            response,
            meta,
            conn,
            guard,
            head_time: self.now().since(sent_at),
            queued_prefill: 0,
        };
        self.deliver_from_peer(ctx, resolved, target, received)
            .await
    }

    async fn deliver_from_peer(
        self: &Rc<Self>,
        ctx: &Rc<RequestContext>,
        resolved: &ResolvedRoute,
        target: &Target,
        received: ReceivedResponse,
    ) -> AttemptResult {
        received.guard.finish_prefill();
        let status = received.response.status();
        if status.is_success() && resolved.route.kind == Kind::Stream {
            return AttemptResult::Response(relay::start(self, ctx, resolved, target, received));
        }
        let (response, conn, guard) = (received.response, received.conn, received.guard);
        let (parts, body): (_, Incoming) = response.into_parts();
        match self.buffer.collect(body).await {
            Ok(body) => {
                guard.set_outcome(Outcome::Neutral);
                conn.release(received.meta.keep_alive);
                let mut response = Response::new(ResponseBody::Buffered(Some(body)));
                *response.status_mut() = status;
                *response.headers_mut() = parts.headers;
                strip_hop_headers(response.headers_mut());
                AttemptResult::Response(response)
            }
            Err(error) => {
                log::info!(
                    event = "lost", request = ctx.id(), upstream = &*target.upstream,
                    reason = error.to_string(), runs = ctx.run_count();
                    "a peer gave no complete answer"
                );
                let status = StatusCode::BAD_GATEWAY;
                AttemptResult::Refused(Refusal::new(status, "no answer from a peer"))
            }
        }
    }
}
