//! Relaying of a streamed response, with failover to another upstream where that is allowed.

use std::{cell::RefCell, io, rc::Rc, time::Duration};

use http_body_util::BodyExt;
use hyper::{
    Response, StatusCode,
    body::{Bytes, Incoming},
};
use masticlock_core::{
    placement::{Choice, Outcome, Target},
    rollout::lateness::Pace,
    suspect::Progress,
    time::Span,
};
use tokio::{
    sync::mpsc,
    task::spawn_local,
    time::{Instant, sleep, timeout, timeout_at},
};

use super::{
    InFlightGuard, PassGuard, Proxy, RequestContext,
    attempt::{ReceivedResponse, earliest, is_framed, strip_hop_headers},
    hand_over::is_not_run,
};
use crate::gateway::{
    connection_pool::PooledConnection, entry::ResponseBody, handler::ResolvedRoute,
    sse::EventSplitter,
};

/// Maximum number of chunks that are buffered for a slow client.
const CHANNEL_CAPACITY: usize = 8;

/// Time without an event that counts as a stall, as a fraction of the maximum gap between events.
const STALL_FRACTION: f64 = 0.5;

/// Maximum gap between events of a stream whose route sets none.
const DEFAULT_MAX_GAP: Duration = Duration::from_secs(2);

/// Consecutive stalls after which another upstream continues a stream even if this one accepts
/// connections. Clients give up after eight times the maximum gap.
const MAX_STALLS: u32 = 6;

/// Longest time to find out whether an upstream accepts connections.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Time in which the ends of two connections to one process arrive.
const WITNESS_DELAY: Duration = Duration::from_millis(20);

/// Delay before the selection of an upstream is tried again.
const SELECTION_RETRY_DELAY: Duration = Duration::from_millis(20);

/// How the stream of one upstream ended.
enum StreamEnd {
    /// The upstream has completed the stream.
    Complete,
    /// The connection broke, the upstream stalled or its events were invalid.
    Broken(String),
    /// The client has closed the connection.
    ClientClosed,
}

/// The stream of one upstream.
struct UpstreamStream {
    body: Incoming,
    conn: PooledConnection,
    guard: InFlightGuard,
    target: Target,
    keep_alive: Option<masticlock_core::time::Span>,
    /// Whether the response ends by its own framing and not with its connection.
    is_framed: bool,
    /// Another connection to the same process, which closes too if the process ends.
    witness: Witness,
}

/// A connection that is opened for its end only.
type Witness = Rc<RefCell<Option<PooledConnection>>>;

/// Starts to relay a stream and returns the response with its head.
pub(super) fn start(
    proxy: &Rc<Proxy>,
    ctx: &Rc<RequestContext>,
    resolved: &ResolvedRoute,
    target: &Target,
    received: ReceivedResponse,
) -> Response<ResponseBody> {
    let is_framed = is_framed(received.response.headers());
    let (parts, body) = received.response.into_parts();
    let (sender, chunks) = mpsc::channel(CHANNEL_CAPACITY);
    let source = UpstreamStream {
        body,
        conn: received.conn,
        guard: received.guard,
        target: target.clone(),
        keep_alive: received.meta.keep_alive,
        is_framed,
        witness: proxy.open_witness(ctx, target, is_framed),
    };
    spawn_local(relay(
        proxy.clone(),
        ctx.clone(),
        resolved.clone(),
        source,
        sender,
    ));
    let mut response = Response::new(ResponseBody::Streamed(chunks));
    *response.status_mut() = parts.status;
    *response.headers_mut() = parts.headers;
    strip_hop_headers(response.headers_mut());
    response
}

/// Relays a stream until its end or the deadline of the request.
async fn relay(
    proxy: Rc<Proxy>,
    ctx: Rc<RequestContext>,
    resolved: ResolvedRoute,
    source: UpstreamStream,
    sender: mpsc::Sender<io::Result<Bytes>>,
) {
    let left = ctx.deadline(&resolved.route).since(proxy.now());
    let work = relay_upstreams(&proxy, &ctx, &resolved, source, &sender);
    let ended = tokio::select! {
        biased;
        // The request ends with its client, whatever it waits for.
        () = sender.closed() => {
            log::info!(event = "caller_left", request = ctx.id(); "the client of a stream has disconnected");
            return;
        }
        ended = timeout(left.to_std(), work) => ended,
    };
    match ended {
        Ok(Ok(())) => {}
        Ok(Err(reason)) => {
            log::info!(event = "stream_cut", request = ctx.id(), reason; "a stream is given up");
            // The client may have closed the connection as well.
            let _gone = sender
                .send(Err(io::ErrorKind::ConnectionAborted.into()))
                .await;
        }
        Err(_) => {
            log::info!(event = "stream_cut", request = ctx.id(), reason = "timeout"; "a stream is given up");
            let _gone = sender.try_send(Err(io::ErrorKind::TimedOut.into()));
        }
    }
}

/// Relays the stream from one upstream after another until it is complete.
///
/// # Errors
///
/// Returns why no upstream could continue the stream.
async fn relay_upstreams(
    proxy: &Rc<Proxy>,
    ctx: &Rc<RequestContext>,
    resolved: &ResolvedRoute,
    mut source: UpstreamStream,
    sender: &mpsc::Sender<io::Result<Bytes>>,
) -> Result<(), String> {
    let mut events = EventSplitter::resume_after(ctx.meta.last_event_id);
    loop {
        let end = relay_events(proxy, ctx, resolved, &mut source, &mut events, sender).await;
        let UpstreamStream {
            conn,
            guard,
            target,
            keep_alive,
            ..
        } = source;
        match end {
            StreamEnd::Complete => {
                guard.set_outcome(Outcome::Good);
                guard.settle();
                conn.release(keep_alive);
                proxy.record_answer(ctx, &target);
                log::info!(
                    event = "stream_end", request = ctx.id(), upstream = &*target.upstream,
                    last_event = events.last_id().unwrap_or(0), runs = ctx.run_count(),
                    waited_ms = proxy.now().since(ctx.received_at).as_millis();
                    "a stream is complete"
                );
                return Ok(());
            }
            StreamEnd::ClientClosed => return Ok(()),
            StreamEnd::Broken(reason) => {
                guard.set_outcome(Outcome::Failed);
                drop((conn, guard));
                if !target.is_peer {
                    proxy.record_outcome(&resolved.service.name, &target.version, false, false);
                }
                log::info!(
                    event = "stream_broken", request = ctx.id(), upstream = &*target.upstream,
                    reason, last_event = events.last_id().unwrap_or(0), runs = ctx.run_count();
                    "the stream of an upstream has failed"
                );
                proxy.check_crash(ctx, &target).await;
                if Proxy::is_crash_limit_reached(ctx) {
                    return Err("crashes upstreams".into());
                }
                ctx.tried.borrow_mut().push(target.upstream.clone());
                events.discard_partial();
                source = resume(proxy, ctx, resolved, events.last_id()).await?;
            }
        }
    }
}

/// Relays complete events until the stream of this upstream ends.
///
/// A single stall does not end the stream, because the upstream may be busy. If another attempt is
/// allowed, the stream moves to another upstream when this one accepts no connections or has
/// stalled several times. Bytes that complete no event don't end a stall.
async fn relay_events(
    proxy: &Rc<Proxy>,
    ctx: &Rc<RequestContext>,
    resolved: &ResolvedRoute,
    source: &mut UpstreamStream,
    events: &mut EventSplitter,
    sender: &mpsc::Sender<io::Result<Bytes>>,
) -> StreamEnd {
    let max_gap = resolved
        .route
        .gap
        .map_or(DEFAULT_MAX_GAP, masticlock_core::time::Span::to_std);
    let stall = max_gap.mul_f64(STALL_FRACTION);
    let mut stalls = 0;
    let mut has_events = false;
    let mut pace = Pace::default();
    let mut progress = Progress::default();
    let mut waited = Span::ZERO;
    let mut stall_at = Instant::now() + stall;
    loop {
        if Instant::now() >= stall_at {
            stalls += 1;
            stall_at += stall;
            if let Some(reason) = proxy
                .failover_reason(ctx, resolved, &source.target, stalls)
                .await
            {
                return StreamEnd::Broken(reason);
            }
        }
        let can_resume = ctx.runs.get().may_repeat(&resolved.route) && !source.target.is_peer;
        let wait_from = proxy.now();
        let frame = tokio::select! {
            frame = timeout_at(stall_at, source.body.frame()) => frame,
            () = proxy.cut_off.notified(), if can_resume => {
                return StreamEnd::Broken("no way to the upstream".into());
            }
        };
        waited = waited.plus(proxy.now().since(wait_from));
        let frame = match frame {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(error))) => return StreamEnd::Broken(error.to_string()),
            Ok(None) if events.has_partial() => {
                return StreamEnd::Broken("the stream ended within an event".into());
            }
            // The connection ends in the same way if the process ends.
            Ok(None)
                if !source.is_framed
                    && (!has_events
                        || proxy.has_crashed(&source.target).await
                        || has_ended(&source.witness).await) =>
            {
                return StreamEnd::Broken("the connection has ended without the stream".into());
            }
            Ok(None) => return StreamEnd::Complete,
            Err(_) => continue,
        };
        proxy.reach.borrow_mut().heard();
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let before = events.last_id().unwrap_or(0);
        let complete = match events.push(&data) {
            Ok(Some(complete)) => complete,
            Ok(None) => continue,
            Err(error) => return StreamEnd::Broken(error.to_string()),
        };
        if complete.progress && !source.target.is_peer {
            let count = events.last_id().unwrap_or(0).saturating_sub(before);
            let service = &resolved.service.name;
            proxy.record_events(service, &source.target, ctx.level.get(), &mut pace, count);
            if progress.observe(count, std::mem::take(&mut waited)) {
                proxy.record_progress(ctx);
            }
        }
        if sender.send(Ok(complete.bytes)).await.is_err() {
            return StreamEnd::ClientClosed;
        }
        if complete.progress {
            has_events = true;
            stalls = 0;
            stall_at = Instant::now() + stall;
        }
    }
}

/// Returns whether the process has ended to which the connection was opened.
async fn has_ended(witness: &Witness) -> bool {
    if witness.borrow().is_none() {
        return false;
    }
    sleep(WITNESS_DELAY).await;
    let witness = witness.borrow();
    witness.as_ref().is_some_and(PooledConnection::is_closed)
}

impl Proxy {
    /// Opens another connection to the process that answers, if the answer ends with its connection
    /// and no earlier one speaks for its prompt: a new process may listen when it ends.
    fn open_witness(
        self: &Rc<Self>,
        ctx: &RequestContext,
        target: &Target,
        is_framed: bool,
    ) -> Witness {
        let witness = Witness::default();
        let is_trusted = self.shared.screen().are_trusted(ctx.subjects(), self.now());
        if !is_framed && !target.is_peer && !is_trusted {
            let (proxy, target, slot) = (self.clone(), target.clone(), witness.clone());
            spawn_local(async move {
                // Without a connection the end of the answer is judged by a probe alone.
                if let Ok(conn) = proxy.connections.open(&target).await {
                    *slot.borrow_mut() = Some(conn);
                }
            });
        }
        witness
    }

    /// Returns why another upstream is to continue a stalled stream, or none if it stays.
    async fn failover_reason(
        self: &Rc<Self>,
        ctx: &RequestContext,
        resolved: &ResolvedRoute,
        target: &Target,
        stalls: u32,
    ) -> Option<String> {
        let route = &resolved.route;
        let mut tried = ctx.tried.borrow().clone();
        tried.push(target.upstream.clone());
        let other = self.choose_excluding(ctx, resolved, &tried);
        let allowed = ctx.runs.get().may_repeat(route);
        if !allowed || !matches!(other, Choice::Upstream(_)) {
            return None;
        }
        if stalls > MAX_STALLS {
            return Some("no event for too long".into());
        }
        // The connection is probed at the first stall only.
        if stalls > 1 {
            return None;
        }
        match timeout(PROBE_TIMEOUT, self.connections.open(target)).await {
            Ok(Ok(conn)) => {
                conn.release(None);
                None
            }
            Ok(Err(error)) => Some(format!("the upstream accepts no connection: {error}")),
            Err(_) => Some("the upstream accepts no connection in time".into()),
        }
    }
}

/// Selects the upstream that is to continue a stream, or returns none if there is none now.
///
/// # Errors
///
/// Returns why no further attempt is possible.
fn select_next(
    proxy: &Rc<Proxy>,
    ctx: &Rc<RequestContext>,
    resolved: &ResolvedRoute,
) -> Result<Option<(Target, PassGuard)>, String> {
    if !proxy.is_screened(ctx).map_err(|refusal| refusal.reason)? {
        return Ok(None);
    }
    proxy.want_permits(ctx, resolved);
    Ok(match proxy.choose(ctx, resolved) {
        Choice::Upstream(target) => PassGuard::take(proxy, &target).map(|pass| (target, pass)),
        Choice::Full | Choice::Limited(_) | Choice::Backoff(_) | Choice::Unavailable => None,
    })
}

/// Records that an upstream does not continue a stream.
///
/// # Errors
///
/// Returns why no further attempt is possible.
async fn fail_resume(
    proxy: &Rc<Proxy>,
    ctx: &Rc<RequestContext>,
    target: &Target,
    reason: &str,
) -> Result<(), String> {
    log::info!(
        event = "resume_failed", request = ctx.id(), upstream = &*target.upstream, reason;
        "an upstream does not continue a stream"
    );
    proxy.check_crash(ctx, target).await;
    if Proxy::is_crash_limit_reached(ctx) {
        return Err("crashes upstreams".into());
    }
    ctx.tried.borrow_mut().push(target.upstream.clone());
    Ok(())
}

/// Sends the request to another upstream, which continues the stream after the last event.
///
/// # Errors
///
/// Returns why no further attempt is possible.
async fn resume(
    proxy: &Rc<Proxy>,
    ctx: &Rc<RequestContext>,
    resolved: &ResolvedRoute,
    last_event_id: Option<u64>,
) -> Result<UpstreamStream, String> {
    loop {
        if !ctx.runs.get().may_repeat(&resolved.route) {
            return Err("no attempt is left".into());
        }
        let view = proxy.view();
        let resolved = proxy
            .resolve(ctx, &view)
            .map_err(|_| "the request is no longer allowed")?;
        let Some((target, mut pass)) = select_next(proxy, ctx, &resolved)? else {
            proxy.await_capacity(SELECTION_RETRY_DELAY).await;
            continue;
        };
        ctx.has_wanted.set(false);
        if !proxy.with_budget(&resolved.service.name, |b| b.withdraw(proxy.now())) {
            return Err("the retry budget is used up".into());
        }
        proxy.reach.borrow_mut().wanted(proxy.now());
        let mut conn = match proxy.connections.acquire(&target, Duration::MAX).await {
            Ok(conn) => conn,
            Err(error) => {
                proxy.mark_unreachable(&target, &error);
                continue;
            }
        };
        if !proxy.is_still_allowed(ctx, &target) || !pass.is_valid() {
            continue;
        }
        if !proxy.may_send(ctx) {
            continue;
        }
        let runs = ctx.runs.get();
        let Some(right) = proxy.begin_attempt(ctx, &resolved.route, &target) else {
            return Err("no attempt is left".into());
        };
        let (send_by, rejection) = pass.consume();
        let demand = ctx.demand(&resolved);
        let guard = InFlightGuard::begin(proxy, ctx, &target, &resolved.service.name, demand);
        let request = proxy.build_request(ctx, &resolved, &target, last_event_id);
        proxy.log_sent(ctx, &resolved, &target);
        let deadline = earliest(proxy.send_deadline(&resolved), send_by);
        let left = ctx.deadline(&resolved.route).since(proxy.now());
        let limit = Proxy::retry_timeout(&resolved, left).to_std();
        let response = match timeout(limit, conn.send(request, right, deadline)).await {
            Ok(Ok(response)) => response,
            failed => {
                guard.set_outcome(Outcome::Failed);
                drop(conn);
                let reason = match failed {
                    Ok(Err(error)) => error.to_string(),
                    Ok(Ok(_)) | Err(_) => "no response in time".to_owned(),
                };
                fail_resume(proxy, ctx, &target, &reason).await?;
                continue;
            }
        };
        ctx.has_begun.set(true);
        let meta = proxy.adapter().parse_response(response.headers());
        let own = meta.id.as_deref() == ctx.meta.id.as_deref();
        if own && !target.is_peer {
            proxy.apply_signals(ctx, &target, response.status(), &meta, conn.is_reused());
        }
        rejection.settle(meta.not_run || response.status() == StatusCode::MISDIRECTED_REQUEST);
        if own && meta.signed && response.status() == StatusCode::OK {
            guard.finish_prefill();
            proxy.record_prompt(ctx, &resolved, &target);
            log::info!(
                event = "resumed", request = ctx.id(), upstream = &*target.upstream,
                last_event = last_event_id.unwrap_or(0);
                "another upstream continues a stream"
            );
            let is_framed = is_framed(response.headers());
            return Ok(UpstreamStream {
                is_framed,
                witness: proxy.open_witness(ctx, &target, is_framed),
                body: response.into_body(),
                conn,
                guard,
                target,
                keep_alive: meta.keep_alive,
            });
        }
        log::info!(
            event = "resume_failed", request = ctx.id(), upstream = &*target.upstream,
            status = response.status().as_u16(), own, signed = meta.signed, not_run = meta.not_run;
            "an upstream does not continue a stream"
        );
        let is_refused = target.is_peer && is_not_run(response.status(), &meta);
        if is_refused {
            let now = proxy.now();
            proxy.pool.borrow_mut().avoid_peer(&target.upstream, now);
        }
        if is_refused || (own && meta.not_run) {
            guard.settle();
            ctx.runs.set(runs);
        }
        ctx.tried.borrow_mut().push(target.upstream.clone());
    }
}
