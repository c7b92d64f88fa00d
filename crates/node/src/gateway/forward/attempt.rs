//! One attempt of a request at one upstream.

use std::{io, rc::Rc, sync::Arc, time::Duration};

use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    HeaderMap, Request, Response, StatusCode, Version,
    body::Incoming,
    header::{CONNECTION, CONTENT_LENGTH, HeaderName, TRANSFER_ENCODING},
};
use masticlock_core::{
    fault::Fault,
    limit::{Bounds, Rate, Statement},
    placement::{Failure, Outcome, Target},
    rollout::lateness::{Measure, micros},
    route::Kind,
    time::{Span, Time},
};
use tokio::time::timeout;

use super::{InFlightGuard, PassGuard, Proxy, RequestContext, relay};
use crate::gateway::{
    adapter::{ForwardHeaders, ResponseHeaders},
    connection_pool::{Error, MAX_IDLE_NON_REPEATABLE, PooledConnection},
    entry::ResponseBody,
    handler::{Refusal, ResolvedRoute},
    metrics::{limit_milli, whole},
};

/// Largest body, in bytes, of a response that reports that the request was not run. The connection
/// is closed after a larger one.
const MAX_NOT_RUN_BODY: usize = 16 * 1_024;

/// Longest time to read that body; the retry waits for it.
const NOT_RUN_BODY_TIMEOUT: Duration = Duration::from_millis(20);

/// Time after which a repeatable request is retried at another upstream, in percent of its
/// remaining time.
const RETRY_PERCENT: u64 = 55;

/// The same limit for a plain service, in percent of its latency objective.
const OBJECTIVE_RETRY_PERCENT: u64 = 60;

/// Time until a response head that counts as slow, as a multiple of the mean.
const SLOW_FACTOR: f64 = 4.0;

/// Time until a response head, in milliseconds, up to which it never counts as slow.
const SLOW_FLOOR_MS: f64 = 30.0;

/// Weight of the latest time until a response head in the moving mean.
const HEAD_TIME_WEIGHT: f64 = 0.05;

/// Result of an attempt.
pub enum AttemptResult {
    /// The response for the client.
    Response(Response<ResponseBody>),
    /// The request may have run and must not be retried.
    Refused(Refusal),
    /// No connection could be opened, or the upstream is no longer allowed for the request.
    ConnectFailed,
    /// Evidence has come that the request may crash its upstream.
    Held,
    /// The upstream did not run the request.
    NotRun,
    /// The request is to be retried at another upstream.
    Retry,
    /// The request is to be sent to the model at this position of the route.
    Escalate(usize),
}

impl Proxy {
    /// Sends the request to an upstream and returns the result.
    pub(super) async fn attempt(
        self: Rc<Self>,
        ctx: &Rc<RequestContext>,
        resolved: &ResolvedRoute,
        target: &Target,
        mut pass: PassGuard,
    ) -> AttemptResult {
        let max_idle = match resolved.route.kind {
            Kind::NonRepeatable => MAX_IDLE_NON_REPEATABLE,
            Kind::Idempotent | Kind::Stream => Duration::MAX,
        };
        self.reach.borrow_mut().wanted(self.now());
        let mut conn = match self.connections.acquire(target, max_idle).await {
            Ok(conn) => conn,
            Err(error) => {
                self.mark_unreachable(target, &error);
                return AttemptResult::ConnectFailed;
            }
        };
        self.pool
            .borrow_mut()
            .connected(&target.upstream, self.now());
        if !self.is_still_allowed(ctx, target) || !pass.is_valid() {
            return AttemptResult::ConnectFailed;
        }
        if !self.may_send(ctx) {
            return AttemptResult::Held;
        }
        if target.is_peer {
            return self.hand_over(ctx, resolved, target, conn).await;
        }
        let demand = ctx.demand(resolved);
        let queued_prefill = self.pool.borrow().pending_prefill(&target.upstream) + demand.prefill;
        let request = self.build_request(ctx, resolved, target, ctx.meta.last_event_id);
        let Some(right) = self.begin_attempt(ctx, &resolved.route, target) else {
            return AttemptResult::Refused(RequestContext::refuse_repeat());
        };
        let (send_by, rejection) = pass.consume();
        let guard = InFlightGuard::begin(&self, ctx, target, &resolved.service.name, demand);
        let sent_at = self.now();
        self.log_sent(ctx, resolved, target);
        let deadline = earliest(self.send_deadline(resolved), send_by);
        let limit = Self::head_timeout(ctx, resolved, sent_at);
        let can_retry = ctx.runs.get().may_repeat(&resolved.route);
        let sent = tokio::select! {
            sent = timeout(limit, conn.send(request, right, deadline)) => sent.ok(),
            () = self.cut_off.notified(), if can_retry => None,
        };
        let response = match sent {
            Some(Ok(response)) => response,
            Some(Err(Error::NotSent(reason))) => {
                guard.set_not_run();
                log::debug!("{} was not sent: {reason}", ctx.id());
                return AttemptResult::NotRun;
            }
            Some(Err(Error::OutcomeUnknown(reason))) => {
                guard.set_outcome(Outcome::Failed);
                drop(conn);
                return self.on_lost(ctx, resolved, target, &reason).await;
            }
            None => {
                guard.set_outcome(Outcome::Failed);
                drop(conn);
                return self.on_silence(ctx, resolved, target, sent_at);
            }
        };
        ctx.has_begun.set(true);
        self.reach.borrow_mut().heard();
        let meta = self.adapter().parse_response(response.headers());
        if !is_matching(meta.id.as_deref(), ctx.meta.id.as_deref(), conn.is_reused()) {
            guard.set_outcome(Outcome::Failed);
            drop(conn);
            return self
                .on_lost(ctx, resolved, target, "response to another request")
                .await;
        }
        self.apply_signals(ctx, target, response.status(), &meta, conn.is_reused());
        let is_not_run = meta.not_run || response.status() == StatusCode::MISDIRECTED_REQUEST;
        rejection.settle(is_not_run);
        if is_not_run {
            guard.set_not_run();
            self.count_attempt(resolved, target, "not_run");
            return self.on_not_run(ctx, target, response, conn, &meta).await;
        }
        if response.status().is_success() && !meta.signed {
            guard.set_outcome(Outcome::Failed);
            drop(conn);
            return self
                .on_lost(ctx, resolved, target, "response without signature")
                .await;
        }
        self.deliver(
            ctx,
            resolved,
            target,
            ReceivedResponse {
                response,
                meta,
                conn,
                guard,
                head_time: self.now().since(sent_at),
                queued_prefill,
            },
        )
        .await
    }

    /// Returns how long to wait for the head of the response to a request sent at `sent_at`.
    fn head_timeout(ctx: &RequestContext, resolved: &ResolvedRoute, sent_at: Time) -> Duration {
        let left = ctx.deadline(&resolved.route).since(sent_at);
        if ctx.runs.get().may_repeat(&resolved.route) {
            Self::retry_timeout(resolved, left).to_std()
        } else {
            left.to_std()
        }
    }

    /// Handles a request without a response in time.
    fn on_silence(
        &self,
        ctx: &RequestContext,
        resolved: &ResolvedRoute,
        target: &Target,
        sent_at: Time,
    ) -> AttemptResult {
        self.record_outcome(&resolved.service.name, &target.version, false, true);
        self.count_attempt(resolved, target, "silent");
        log::info!(
            event = "silent", request = ctx.id(), upstream = &*target.upstream,
            waited_ms = self.now().since(sent_at).as_millis();
            "an upstream does not answer"
        );
        self.retry_or(ctx, resolved, StatusCode::GATEWAY_TIMEOUT)
    }

    /// Logs that a request is sent to an upstream.
    pub(super) fn log_sent(&self, ctx: &RequestContext, resolved: &ResolvedRoute, target: &Target) {
        let expected = self.with_criteria(ctx, resolved, &[], |criteria| {
            let pool = self.pool.borrow();
            pool.expectation(&target.upstream, criteria, self.now())
        });
        if let Some(expected) = &expected {
            self.metrics.count_weighed(expected);
        }
        let expected = expected.unwrap_or_default();
        log::info!(
            event = "sent", request = ctx.id(), route = &*resolved.route.name,
            account = resolved.account.as_ref().map_or("-", |a| &*a.name),
            upstream = &*target.upstream, domain = &*target.domain, version = &*target.version,
            model = ctx.model(&resolved.route).map_or("-", |m| &**m),
            session = ctx.session_digest().unwrap_or_default(), parts = ctx.part_list(),
            runs = ctx.run_count(), held_tokens = whole(expected.held_tokens),
            saved_ms = whole(expected.saved_ms), wait_ms = whole(expected.wait_ms),
            limit_milli = limit_milli(self.pool.borrow().limit(target)),
            waited_ms = self.now().since(ctx.received_at).as_millis();
            "a request is sent to an upstream"
        );
    }

    fn count_attempt(&self, resolved: &ResolvedRoute, target: &Target, outcome: &str) {
        self.metrics
            .count_attempt(&resolved.service.name, &target.domain, outcome);
    }

    /// Returns how long to wait for a response head before the request is retried elsewhere.
    ///
    /// The latency objective limits this only for plain services, which rarely miss it. A stream
    /// that begins late was mostly queued, and a retry would add to the load.
    pub(super) fn retry_timeout(resolved: &ResolvedRoute, left: Span) -> Span {
        let late = Span::from_millis(left.as_millis() * RETRY_PERCENT / 100);
        match resolved.route.kind {
            Kind::Stream => late,
            Kind::Idempotent | Kind::NonRepeatable => {
                let objective = resolved.route.objective.as_millis();
                late.min(Span::from_millis(objective * OBJECTIVE_RETRY_PERCENT / 100))
            }
        }
    }

    /// Returns whether the request may still be sent to the upstream after the connection was
    /// opened.
    pub(super) fn is_still_allowed(&self, ctx: &RequestContext, target: &Target) -> bool {
        let view = self.view();
        if target.is_peer {
            return self.resolve(ctx, &view).is_ok();
        }
        let state = &view.agreed;
        let current =
            self.pool
                .borrow()
                .is_current(&target.upstream, target.incarnation, self.now());
        current && !state.is_taken_out(&target.domain) && self.resolve(ctx, &view).is_ok()
    }

    /// Builds the request for the upstream.
    pub(super) fn build_request(
        &self,
        ctx: &RequestContext,
        resolved: &ResolvedRoute,
        target: &Target,
        last_event_id: Option<u64>,
    ) -> Request<Full<hyper::body::Bytes>> {
        let out = ForwardHeaders {
            remaining_time: ctx.deadline(&resolved.route).since(self.now()),
            upstream: &target.upstream,
            account: resolved.account.as_ref().map(|a| &*a.name),
            model: ctx.model(&resolved.route).map(|m| &**m),
            last_event_id,
            engine_priority: resolved
                .priority()
                .saturating_mul(2)
                .saturating_add(2)
                .min(9),
        };
        let headers = if target.is_peer {
            self.peer_headers(ctx, resolved, last_event_id)
        } else {
            let mut headers = self.adapter().forward_headers(&ctx.headers, &out);
            strip_hop_headers(&mut headers);
            headers
        };
        let mut request = Request::new(Full::new(ctx.body.clone()));
        *request.version_mut() = Version::HTTP_11;
        *request.method_mut() = ctx.method.clone();
        if let Ok(uri) = ctx.path_and_query.parse() {
            *request.uri_mut() = uri;
        }
        *request.headers_mut() = headers;
        request
    }

    /// Marks an upstream as down after a failed connection attempt.
    pub(super) fn mark_unreachable(self: &Rc<Self>, target: &Target, error: &io::Error) {
        let now = self.now();
        if target.is_peer {
            self.pool.borrow_mut().avoid_peer(&target.upstream, now);
            return;
        }
        self.connection_failed();
        if self.pool.borrow().is_cut_off() {
            return;
        }
        log::info!(
            event = "upstream_down", upstream = &*target.upstream, address = &*target.address,
            domain = &*target.domain, reason:% = error;
            "an upstream accepts no connection"
        );
        let failure = match error.kind() {
            io::ErrorKind::TimedOut | io::ErrorKind::HostUnreachable => Failure::Unresponsive,
            _ => Failure::Refused,
        };
        self.pool.borrow_mut().connect_failed(
            &target.upstream,
            target.incarnation,
            failure,
            self.now(),
        );
        self.connections.close_idle(&target.upstream);
    }

    /// Handles a request without a usable response: checks whether the upstream has crashed.
    pub(super) async fn on_lost(
        self: Rc<Self>,
        ctx: &Rc<RequestContext>,
        resolved: &ResolvedRoute,
        target: &Target,
        reason: &str,
    ) -> AttemptResult {
        self.record_outcome(&resolved.service.name, &target.version, false, false);
        self.count_attempt(resolved, target, "lost");
        log::info!(
            event = "lost", request = ctx.id(), upstream = &*target.upstream, reason,
            runs = ctx.run_count();
            "an upstream gave no answer"
        );
        self.check_crash(ctx, target).await;
        if Self::is_crash_limit_reached(ctx) {
            return AttemptResult::Refused(ctx.ban("crashes upstreams"));
        }
        self.retry_or(ctx, resolved, StatusCode::BAD_GATEWAY)
    }

    fn retry_or(
        &self,
        ctx: &RequestContext,
        resolved: &ResolvedRoute,
        status: StatusCode,
    ) -> AttemptResult {
        if self.withdraw_retry(ctx, resolved) {
            return AttemptResult::Retry;
        }
        AttemptResult::Refused(Refusal::new(status, "no answer from an upstream"))
    }

    /// Returns whether a request that may have run may be retried, and takes the retry from the
    /// budget if so.
    fn withdraw_retry(&self, ctx: &RequestContext, resolved: &ResolvedRoute) -> bool {
        ctx.runs.get().may_repeat(&resolved.route)
            && self.with_budget(&resolved.service.name, |b| b.withdraw(self.now()))
    }

    /// Applies what a response reports about its upstream: that it shuts down, or wants no requests
    /// for some time. `is_reused` is whether its connection had carried a request before.
    pub(super) fn apply_signals(
        &self,
        ctx: &RequestContext,
        target: &Target,
        status: StatusCode,
        meta: &ResponseHeaders,
        is_reused: bool,
    ) {
        // Another upstream, which has the address now, has sent this response.
        if status == StatusCode::MISDIRECTED_REQUEST {
            return;
        }
        self.record_bounds(ctx, target, meta, is_reused);
        let now = self.now();
        let mut pool = self.pool.borrow_mut();
        if meta.leaving && !Fault::NoNotice.is_injected() && pool.mark_leaving(target, now) {
            log::info!(
                event = "upstream_leaving", request = ctx.id(), upstream = &*target.upstream,
                incarnation = target.incarnation, source = "answer";
                "an upstream reports that it shuts down"
            );
        }
        let quiet = meta
            .retry_after
            .filter(|_| status == StatusCode::SERVICE_UNAVAILABLE && !Fault::NoQuiet.is_injected());
        if let Some(quiet) = quiet {
            pool.back_off(target, quiet, now);
            log::info!(
                event = "upstream_quiet", request = ctx.id(), upstream = &*target.upstream,
                quiet_ms = quiet.as_millis();
                "an upstream wants no requests for some time"
            );
        }
    }

    /// Records what a response states about its upstream's bounds.
    fn record_bounds(
        &self,
        ctx: &RequestContext,
        target: &Target,
        meta: &ResponseHeaders,
        is_reused: bool,
    ) {
        let known = self.pool.borrow().bounds(target);
        let stated = |statement: Statement, known: Option<Rate>, is_ignored: bool| match statement {
            _ if is_ignored => None,
            Statement::Limited(rate) => Some(rate),
            // Only the upstream's own word ends its bound.
            Statement::Unlimited if meta.signed || meta.not_run => None,
            Statement::Unlimited => known,
            Statement::Unreadable => {
                log::warn!(
                    event = "limit_unreadable", request = ctx.id(), upstream = &*target.upstream;
                    "an upstream states a bound that can't be read"
                );
                known
            }
        };
        let bounds = Bounds {
            rate: stated(meta.limit, known.rate, Fault::NoLimit.is_injected()),
            rejects: stated(meta.rejects, known.rejects, Fault::NoBrittle.is_injected()),
        };
        let now = self.now();
        let mut pool = self.pool.borrow_mut();
        if pool.set_bounds(target, bounds, is_reused, now) {
            log::info!(
                event = "upstream_limit", request = ctx.id(), upstream = &*target.upstream,
                incarnation = target.incarnation, source = "answer",
                limit_milli = limit_milli(bounds.rate), rejects_milli = limit_milli(bounds.rejects);
                "an upstream states other bounds"
            );
        }
    }

    /// Handles the report of an upstream that it has not run the request.
    async fn on_not_run(
        self: &Rc<Self>,
        ctx: &RequestContext,
        target: &Target,
        response: Response<Incoming>,
        conn: PooledConnection,
        meta: &ResponseHeaders,
    ) -> AttemptResult {
        let status = response.status();
        log::info!(
            event = "not_run", request = ctx.id(), upstream = &*target.upstream,
            status = status.as_u16();
            "an upstream has not run the request"
        );
        if status == StatusCode::MISDIRECTED_REQUEST {
            let error = io::Error::other("another upstream has the address");
            self.mark_unreachable(target, &error);
        }
        let body = Limited::new(response.into_body(), MAX_NOT_RUN_BODY).collect();
        if matches!(timeout(NOT_RUN_BODY_TIMEOUT, body).await, Ok(Ok(_))) {
            conn.release(meta.keep_alive);
        }
        AttemptResult::NotRun
    }

    /// Decides by the head of a response whether it goes to the client, the request is retried or a
    /// larger model is to answer.
    async fn deliver(
        self: &Rc<Self>,
        ctx: &Rc<RequestContext>,
        resolved: &ResolvedRoute,
        target: &Target,
        received: ReceivedResponse,
    ) -> AttemptResult {
        received.guard.finish_prefill();
        let service = &resolved.service.name;
        let route = &resolved.route;
        let status = received.response.status();
        let good = !status.is_server_error();
        let slow = self.observe_head_time(&route.name, received.head_time);
        if route.kind == Kind::Stream {
            let now = self.now();
            let mut pressure = self.pressure.borrow_mut();
            pressure.observe(service, received.head_time, route.objective, now);
            let mut forecast = self.forecast.borrow_mut();
            forecast.observe(service, received.queued_prefill, received.head_time, now);
        }
        self.record_outcome(service, &target.version, good, slow);
        if good {
            self.record_prompt(ctx, resolved, target);
        }
        if good && route.kind != Kind::Stream {
            let measure = Measure::Head(route.name.clone());
            self.record_timing(service, target, &measure, micros(received.head_time));
        }
        if !good && self.withdraw_retry(ctx, resolved) {
            received.guard.set_outcome(Outcome::Failed);
            return AttemptResult::Retry;
        }
        self.metrics
            .observe_response_head(route.kind, received.head_time);
        let is_smallest = ctx.meta.any_model && ctx.level.get() == 0;
        if good
            && is_smallest
            && let Some(confidence) = received.meta.confidence
        {
            let mut means = self.confidence.borrow_mut();
            means.observe(&route.name, confidence, self.now());
        }
        if good && let Some(level) = self.escalation(ctx, resolved, &received.meta) {
            self.count_attempt(resolved, target, "larger_model");
            log::info!(
                event = "answer_dropped", request = ctx.id(), upstream = &*target.upstream,
                incarnation = target.incarnation, level;
                "an unsure answer is given up for that of a larger model"
            );
            return AttemptResult::Escalate(level);
        }
        self.count_attempt(resolved, target, if good { "answered" } else { "failed" });
        if good && route.kind == Kind::Stream {
            return AttemptResult::Response(relay::start(self, ctx, resolved, target, received));
        }
        let ReceivedResponse {
            response,
            meta,
            conn,
            guard,
            ..
        } = received;
        let (parts, body) = response.into_parts();
        let is_framed = is_framed(&parts.headers);
        match self.buffer.collect(body).await {
            Ok(_) if !is_framed && self.has_crashed(target).await => {
                guard.set_outcome(Outcome::Failed);
                drop(conn);
                let reason = "the connection has ended with the process";
                self.clone().on_lost(ctx, resolved, target, reason).await
            }
            Ok(body) => {
                guard.settle();
                guard.set_outcome(if good { Outcome::Good } else { Outcome::Failed });
                if good {
                    self.record_answer(ctx, target);
                }
                conn.release(meta.keep_alive);
                let mut response = Response::new(ResponseBody::Buffered(Some(body)));
                *response.status_mut() = status;
                *response.headers_mut() = parts.headers;
                strip_hop_headers(response.headers_mut());
                AttemptResult::Response(response)
            }
            Err(error) => {
                guard.set_outcome(Outcome::Failed);
                drop(conn);
                let reason = error.to_string();
                self.clone().on_lost(ctx, resolved, target, &reason).await
            }
        }
    }

    /// Returns whether a response head took much longer than the mean, and updates the mean.
    fn observe_head_time(&self, route: &Arc<str>, head_time: Span) -> bool {
        #[expect(clippy::cast_precision_loss)]
        let head_time = head_time.as_millis() as f64;
        let mut mean_head_times = self.mean_head_times.borrow_mut();
        match mean_head_times.binary_search_by(|(name, _)| name.cmp(route)) {
            Ok(at) => {
                let mean = mean_head_times[at].1;
                let slow = head_time > SLOW_FLOOR_MS.max(mean * SLOW_FACTOR);
                // Limits the influence of outliers on the mean.
                let bounded = head_time.min(mean * SLOW_FACTOR + SLOW_FLOOR_MS);
                mean_head_times[at].1 += HEAD_TIME_WEIGHT * (bounded - mean);
                slow
            }
            Err(at) => {
                mean_head_times.insert(at, (route.clone(), head_time));
                false
            }
        }
    }
}

/// A response whose head has been received.
pub struct ReceivedResponse {
    /// Head and body.
    pub response: Response<Incoming>,
    /// Its parsed headers.
    pub meta: ResponseHeaders,
    /// The connection.
    pub conn: PooledConnection,
    /// Counts the request as in flight.
    pub guard: InFlightGuard,
    /// Time from sending the request until the head.
    pub head_time: Span,
    /// Weighted prompt tokens that the upstream had to process before, including those of the
    /// request.
    pub queued_prefill: u64,
}

/// Returns whether a response belongs to the request with this ID.
///
/// On a connection that was used before, a response without an ID may be a second one to an earlier
/// request.
fn is_matching(response_id: Option<&str>, id: Option<&str>, used: bool) -> bool {
    match response_id {
        Some(response_id) => Some(response_id) == id,
        None => id.is_none() || !used,
    }
}

/// Returns whether a response with these headers ends by its own framing and not with its
/// connection.
pub(super) fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// Returns the earlier of two times; `None` stands for no limit.
pub(super) fn earliest(a: Option<Time>, b: Option<Time>) -> Option<Time> {
    a.into_iter().chain(b).min()
}

/// Removes the hop-by-hop headers and the body length.
pub(super) fn strip_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in ["keep-alive", "proxy-connection", "te", "trailer", "upgrade"] {
        headers.remove(name);
    }
    headers.remove(CONNECTION);
    headers.remove(TRANSFER_ENCODING);
    headers.remove(CONTENT_LENGTH);
}
