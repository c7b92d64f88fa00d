//! One request at one upstream.

use std::{io, rc::Rc, sync::Arc, time::Duration};

use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    HeaderMap, Request, Response, StatusCode, Version,
    body::Incoming,
    header::{CONNECTION, CONTENT_LENGTH, HeaderName, TRANSFER_ENCODING},
};
use masticlock_core::{
    cascade,
    fault::Fault,
    placement::{Choice, Failure, Outcome, Target},
    route::Kind,
    time::Span,
};
use tokio::{task::spawn_local, time::timeout};

use super::{InFlightGuard, Proxy, RequestContext, relay};
use crate::gateway::{
    adapter::{ForwardHeaders, ResponseHeaders},
    connection_pool::{Error, MAX_IDLE_NON_REPEATABLE, PooledConnection},
    entry::ResponseBody,
    handler::{Refusal, ResolvedRoute},
};

/// Largest body, in bytes, of an answer that says that the request was not run. Others close
/// the connection.
const MAX_REFUSAL: usize = 16 * 1_024;

/// Longest time to read that body while the request could be sent elsewhere.
const REFUSAL_LIMIT: Duration = Duration::from_millis(20);

/// Time in which a machine that is reached refuses a connection: some round trips between failure
/// domains.
const REFUSED_WITHIN: Duration = Duration::from_millis(20);

/// Part of the remaining time, in percent, after which a request that may be repeated is sent
/// elsewhere.
const FIRST_PERCENT: u64 = 55;

/// The same as a part of the objective of a plain service, in percent.
const TIMELY_PERCENT: u64 = 60;

/// Time until the head of an answer, as a multiple of the usual one, that counts as slow.
const SLOW_FACTOR: f64 = 4.0;

/// Time until the head of an answer that never counts as slow, in milliseconds.
const SLOW_FLOOR_MS: f64 = 30.0;

/// Weight of the newest time in the usual one.
const USUAL_WEIGHT: f64 = 0.05;

/// How an attempt ended.
pub enum End {
    /// With the answer for the caller.
    Answer(Response<ResponseBody>),
    /// With a refusal, because the request may have run.
    Refused(Refusal),
    /// No connection could be opened, or the tables don't allow the upstream any more.
    Unreached,
    /// The upstream did not run the request.
    NotRun,
    /// The request may be sent to another upstream.
    Again,
    /// The model at that position of the route is to answer.
    Larger(usize),
}

impl Proxy {
    /// Sends the request to an upstream and returns how that ended.
    pub(super) async fn attempt(
        self: Rc<Self>,
        ctx: &Rc<RequestContext>,
        resolved: &ResolvedRoute,
        target: &Target,
    ) -> End {
        let max_idle = match resolved.route.kind {
            Kind::NonRepeatable => MAX_IDLE_NON_REPEATABLE,
            Kind::Idempotent | Kind::Stream => Duration::MAX,
        };
        let mut connection = match self.connections.acquire(target, max_idle).await {
            Ok(connection) => connection,
            Err(error) => {
                self.unreachable(target, &error);
                return End::Unreached;
            }
        };
        self.pool.borrow_mut().connected(&target.upstream);
        if !self.is_allowed(ctx, target) {
            return End::Unreached;
        }
        let size = ctx.size(resolved);
        let unread = self.pool.borrow().pending_prefill(&target.upstream) + size.prefill;
        let guard = InFlightGuard::begin(&self, target, &resolved.service.name, size);
        let sent = self.now();
        let request = self.request(ctx, resolved, target, ctx.call.last_event_id);
        ctx.runs.set(ctx.runs.get() + 1);
        log::info!(
            event = "sent", request = ctx.id(), route = &*resolved.route.name,
            account = resolved.account.as_ref().map_or("-", |a| &*a.name),
            upstream = &*target.upstream, domain = &*target.domain, version = &*target.version,
            model = ctx.model(&resolved.route).map_or("-", |m| &**m),
            session = ctx.session().unwrap_or_default(), runs = ctx.runs.get(),
            waited_ms = sent.since(ctx.arrived).as_millis();
            "a request is sent to an upstream"
        );
        let until = self.sendable_until(resolved);
        let left = ctx.deadline(&resolved.route).since(sent);
        let again = resolved.route.is_repeatable() && ctx.runs.get() < resolved.route.attempts;
        let limit = if again {
            Self::first_limit(resolved, left).to_std()
        } else {
            left.to_std()
        };
        let answer = match timeout(limit, connection.send(request, until)).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(Error::NotSent(reason))) => {
                ctx.runs.set(ctx.runs.get() - 1);
                log::debug!("{} was not sent: {reason}", ctx.id());
                return End::NotRun;
            }
            Ok(Err(Error::OutcomeUnknown(reason))) => {
                guard.end(Outcome::Failed);
                drop(connection);
                return self.lost(ctx, resolved, target, &reason).await;
            }
            Err(_) => {
                guard.end(Outcome::Failed);
                drop(connection);
                self.record(&resolved.service.name, &target.version, false, true);
                self.count(resolved, target, "silent");
                log::info!(
                    event = "silent", request = ctx.id(), upstream = &*target.upstream,
                    waited_ms = self.now().since(sent).as_millis();
                    "an upstream does not answer"
                );
                return self.again_or(ctx, resolved, StatusCode::GATEWAY_TIMEOUT);
            }
        };
        let said = self.adapter().parse_response(answer.headers());
        if !is_own(
            said.request_id.as_deref(),
            ctx.call.request_id.as_deref(),
            connection.is_reused(),
        ) {
            guard.end(Outcome::Failed);
            drop(connection);
            return self
                .lost(ctx, resolved, target, "the answer is another request's")
                .await;
        }
        self.heed(ctx, target, answer.status(), &said);
        if said.not_run || answer.status() == StatusCode::MISDIRECTED_REQUEST {
            self.count(resolved, target, "not_run");
            return self.not_run(ctx, target, answer, connection, &said).await;
        }
        if answer.status().is_success() && !said.signed {
            guard.end(Outcome::Failed);
            drop(connection);
            return self
                .lost(ctx, resolved, target, "no upstream vouches for the answer")
                .await;
        }
        let took = self.now().since(sent);
        self.deliver(
            ctx,
            resolved,
            target,
            Arrived {
                answer,
                said,
                connection,
                guard,
                took,
                unread,
            },
        )
        .await
    }

    fn count(&self, resolved: &ResolvedRoute, target: &Target, outcome: &str) {
        self.metrics
            .count_attempt(&resolved.service.name, &target.domain, outcome);
    }

    /// Returns how long to wait for the head of an answer before another upstream is asked.
    ///
    /// A stream that begins late was mostly waiting for its turn, and sending it again would add to
    /// the load. A plain service that doesn't answer in time is an exception.
    pub(super) fn first_limit(resolved: &ResolvedRoute, left: Span) -> Span {
        let late = Span::from_millis(left.as_millis() * FIRST_PERCENT / 100);
        match resolved.route.kind {
            Kind::Stream => late,
            Kind::Idempotent | Kind::NonRepeatable => {
                let objective = resolved.route.objective.as_millis();
                late.min(Span::from_millis(objective * TIMELY_PERCENT / 100))
            }
        }
    }

    /// Returns whether the tables still allow the upstream after a connection was opened.
    pub(super) fn is_allowed(&self, ctx: &RequestContext, target: &Target) -> bool {
        let view = self.view();
        let state = &view.agreed;
        let current =
            self.pool
                .borrow()
                .is_current(&target.upstream, target.incarnation, self.now());
        current && !state.is_taken_out(&target.domain) && self.resolve(ctx, &view).is_ok()
    }

    /// Returns the request for the upstream.
    pub(super) fn request(
        &self,
        ctx: &RequestContext,
        resolved: &ResolvedRoute,
        target: &Target,
        last_event: Option<u64>,
    ) -> Request<Full<hyper::body::Bytes>> {
        let out = ForwardHeaders {
            remaining_time: ctx.deadline(&resolved.route).since(self.now()),
            upstream: &target.upstream,
            account: resolved.account.as_ref().map(|a| &*a.name),
            model: ctx.model(&resolved.route).map(|m| &**m),
            last_event_id: last_event,
            engine_priority: resolved
                .priority()
                .saturating_mul(2)
                .saturating_add(2)
                .min(9),
        };
        let mut headers = self.adapter().forward_headers(&ctx.headers, &out);
        strip_connection(&mut headers);
        let mut request = Request::new(Full::new(ctx.body.clone()));
        *request.version_mut() = Version::HTTP_11;
        *request.method_mut() = ctx.method.clone();
        if let Ok(uri) = ctx.target.parse() {
            *request.uri_mut() = uri;
        }
        *request.headers_mut() = headers;
        request
    }

    /// Marks an upstream that takes no connection as down.
    pub(super) fn unreachable(&self, target: &Target, error: &io::Error) {
        log::info!(
            event = "upstream_down", upstream = &*target.upstream, address = &*target.address,
            domain = &*target.domain, reason:% = error;
            "an upstream takes no connection"
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

    /// Handles a request whose connection broke: looks whether the upstream has ended.
    pub(super) async fn lost(
        self: Rc<Self>,
        ctx: &RequestContext,
        resolved: &ResolvedRoute,
        target: &Target,
        reason: &str,
    ) -> End {
        self.record(&resolved.service.name, &target.version, false, false);
        self.count(resolved, target, "lost");
        log::info!(
            event = "lost", request = ctx.id(), upstream = &*target.upstream, reason,
            runs = ctx.runs.get();
            "an upstream gave no answer"
        );
        self.check_crash(ctx, target).await;
        self.again_or(ctx, resolved, StatusCode::BAD_GATEWAY)
    }

    /// Opens a connection to learn whether the upstream has ended, which is evidence against the
    /// request that it ran.
    ///
    /// A machine whose upstream has ended refuses at once. The request does not wait for one that
    /// says nothing.
    pub(super) async fn check_crash(self: &Rc<Self>, ctx: &RequestContext, target: &Target) {
        let (this, target, fingerprint) = (self.clone(), target.clone(), ctx.fingerprint);
        let look = spawn_local(async move {
            match this.connections.open(&target).await {
                Ok(connection) => connection.release(None),
                Err(error) => {
                    this.suspect(fingerprint);
                    this.unreachable(&target, &error);
                }
            }
        });
        // The look goes on by itself.
        let _unfinished = timeout(REFUSED_WITHIN, look).await;
    }

    fn again_or(&self, ctx: &RequestContext, resolved: &ResolvedRoute, status: StatusCode) -> End {
        if self.may_repeat(ctx, resolved) {
            return End::Again;
        }
        End::Refused(Refusal::of(status, "no answer from an upstream"))
    }

    /// Returns whether a request that may have run may be sent again, and counts it if so.
    fn may_repeat(&self, ctx: &RequestContext, resolved: &ResolvedRoute) -> bool {
        let route = &resolved.route;
        route.is_repeatable()
            && ctx.runs.get() < route.attempts
            && self.with_budget(&resolved.service.name, |b| b.withdraw(self.now()))
    }

    /// Takes over what an upstream says of itself in an answer.
    pub(super) fn heed(
        &self,
        ctx: &RequestContext,
        target: &Target,
        status: StatusCode,
        said: &ResponseHeaders,
    ) {
        // The answer of another upstream, which has the address now.
        if status == StatusCode::MISDIRECTED_REQUEST {
            return;
        }
        let now = self.now();
        let mut pool = self.pool.borrow_mut();
        if said.leaving && !Fault::NoNotice.is_injected() && pool.mark_leaving(target, now) {
            log::info!(
                event = "upstream_leaving", request = ctx.id(), upstream = &*target.upstream,
                incarnation = target.incarnation, source = "answer";
                "an upstream says that it leaves"
            );
        }
        let quiet = said
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

    /// Handles the word of an upstream that it has not run the request.
    async fn not_run(
        &self,
        ctx: &RequestContext,
        target: &Target,
        answer: Response<Incoming>,
        connection: PooledConnection,
        said: &ResponseHeaders,
    ) -> End {
        ctx.runs.set(ctx.runs.get() - 1);
        let status = answer.status();
        log::info!(
            event = "not_run", request = ctx.id(), upstream = &*target.upstream,
            status = status.as_u16();
            "an upstream has not run the request"
        );
        if status == StatusCode::MISDIRECTED_REQUEST {
            let error = io::Error::other("another upstream has the address");
            self.unreachable(target, &error);
        }
        let body = Limited::new(answer.into_body(), MAX_REFUSAL).collect();
        if matches!(timeout(REFUSAL_LIMIT, body).await, Ok(Ok(_))) {
            connection.release(said.keep_alive);
        }
        End::NotRun
    }

    async fn deliver(
        self: &Rc<Self>,
        ctx: &Rc<RequestContext>,
        resolved: &ResolvedRoute,
        target: &Target,
        arrived: Arrived,
    ) -> End {
        arrived.guard.read();
        let service = &resolved.service.name;
        let route = &resolved.route;
        let status = arrived.answer.status();
        let good = !status.is_server_error();
        let slow = self.is_slow(&route.name, arrived.took);
        if route.kind == Kind::Stream {
            let now = self.now();
            let mut pressure = self.pressure.borrow_mut();
            pressure.observe(service, arrived.took, route.objective, now);
            let mut forecast = self.forecast.borrow_mut();
            forecast.observe(service, arrived.unread, arrived.took, now);
        }
        self.record(service, &target.version, good, slow);
        if !good && self.may_repeat(ctx, resolved) {
            arrived.guard.end(Outcome::Failed);
            return End::Again;
        }
        self.metrics.observe_response_head(route.kind, arrived.took);
        if good && let Some(level) = self.larger(ctx, resolved, &arrived.said) {
            self.count(resolved, target, "larger_model");
            return End::Larger(level);
        }
        self.count(resolved, target, if good { "answered" } else { "failed" });
        if good && route.kind == Kind::Stream {
            return End::Answer(relay::start(self, ctx, resolved, target, arrived));
        }
        let Arrived {
            answer,
            said,
            connection,
            guard,
            ..
        } = arrived;
        let (parts, body) = answer.into_parts();
        match self.buffer.collect(body).await {
            Ok(body) => {
                guard.end(if good { Outcome::Good } else { Outcome::Failed });
                connection.release(said.keep_alive);
                let mut response = Response::new(ResponseBody::Buffered(Some(body)));
                *response.status_mut() = status;
                *response.headers_mut() = parts.headers;
                strip_connection(response.headers_mut());
                End::Answer(response)
            }
            Err(error) => {
                guard.end(Outcome::Failed);
                drop(connection);
                let reason = error.to_string();
                self.clone().lost(ctx, resolved, target, &reason).await
            }
        }
    }

    /// Returns how long after the caller's request the answer of a model is likely to begin, or none
    /// if no upstream has room for it.
    fn begin_of(
        &self,
        ctx: &RequestContext,
        resolved: &ResolvedRoute,
        level: usize,
    ) -> Option<Span> {
        let (choice, own) = ctx.as_if(level, || {
            (self.choose(ctx, resolved), ctx.size(resolved).prefill)
        });
        let Choice::Upstream(target) = choice else {
            return None;
        };
        let unread = self.pool.borrow().pending_prefill(&target.upstream) + own;
        let forecast = self.forecast.borrow();
        let wait = forecast.time_to_first_token(&resolved.service.name, unread);
        Some(self.now().since(ctx.arrived).plus(wait))
    }

    /// Returns the model that is to answer instead, if there is time and budget for it.
    fn larger(
        &self,
        ctx: &RequestContext,
        resolved: &ResolvedRoute,
        said: &ResponseHeaders,
    ) -> Option<usize> {
        let route = &resolved.route;
        if !ctx.call.any_model || ctx.runs.get() >= route.attempts {
            return None;
        }
        let answer = cascade::Answer {
            confidence: said.confidence,
            level: ctx.level.get(),
            models: route.models.len(),
            pressure: self
                .pressure
                .borrow()
                .of(&resolved.service.name, self.now()),
        };
        let level = cascade::escalation(&answer)?;
        let begin = self.begin_of(ctx, resolved, level)?;
        if !cascade::is_timely(begin, route.objective) {
            log::debug!(
                event = "cascade", request = ctx.id(), level, begin_ms = begin.as_millis();
                "a larger model would answer too late"
            );
            return None;
        }
        let allowed = self.with_budget(&resolved.service.name, |b| b.withdraw_optional(self.now()));
        log::debug!(
            event = "cascade", request = ctx.id(), level, allowed,
            confidence = answer.confidence.unwrap_or_default(), pressure = answer.pressure;
            "a larger model is wanted"
        );
        allowed.then_some(level)
    }

    /// Returns whether an answer's head took much longer than usual, and learns from it.
    fn is_slow(&self, route: &Arc<str>, took: Span) -> bool {
        #[expect(clippy::cast_precision_loss)]
        let took = took.as_millis() as f64;
        let mut usual = self.usual.borrow_mut();
        match usual.binary_search_by(|(name, _)| name.cmp(route)) {
            Ok(at) => {
                let mean = usual[at].1;
                let slow = took > SLOW_FLOOR_MS.max(mean * SLOW_FACTOR);
                // A slow answer moves the mean as little as one at the bound.
                let bounded = took.min(mean * SLOW_FACTOR + SLOW_FLOOR_MS);
                usual[at].1 += USUAL_WEIGHT * (bounded - mean);
                slow
            }
            Err(at) => {
                usual.insert(at, (route.clone(), took));
                false
            }
        }
    }
}

/// An answer whose head has arrived.
pub struct Arrived {
    /// Head and body.
    pub answer: Response<Incoming>,
    /// What its headers say.
    pub said: ResponseHeaders,
    /// The connection.
    pub connection: PooledConnection,
    /// The request's count.
    pub guard: InFlightGuard,
    /// Time until the head.
    pub took: Span,
    /// Weighted prompt tokens that the upstream had to read until then, the request's own included.
    pub unread: u64,
}

/// Returns whether an answer belongs to the request.
///
/// On a connection that was used before, an answer without an identity may be a second one to an
/// earlier request.
fn is_own(said: Option<&str>, id: Option<&str>, used: bool) -> bool {
    match said {
        Some(said) => Some(said) == id,
        None => id.is_none() || !used,
    }
}

/// Removes the headers that concern one connection only.
pub(super) fn strip_connection(headers: &mut HeaderMap) {
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
