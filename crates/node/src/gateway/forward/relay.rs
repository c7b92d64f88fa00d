//! Forwarding of a stream, continued by another upstream where that is allowed.

use std::{io, rc::Rc, time::Duration};

use http_body_util::BodyExt;
use hyper::{
    Response, StatusCode,
    body::{Bytes, Incoming},
};
use masticlock_core::placement::{Choice, Outcome, Target};
use tokio::{
    sync::mpsc,
    task::spawn_local,
    time::{Instant, sleep, timeout, timeout_at},
};

use super::{
    InFlightGuard, Proxy, RequestContext,
    attempt::{Arrived, strip_connection},
};
use crate::gateway::{
    connection_pool::PooledConnection, entry::ResponseBody, handler::ResolvedRoute,
    sse::EventSplitter,
};

/// Parts of a stream that wait for a slow caller.
const WAITING_PARTS: usize = 8;

/// Part of the longest pause on time after which an upstream is looked at.
const STALL_PART: f64 = 0.5;

/// Longest pause on time of a stream whose route names none.
const PAUSE: Duration = Duration::from_secs(2);

/// Pauses without an event between them after which another upstream continues a stream, although
/// this one takes connections. The caller leaves after eight of the longest pauses on time.
const MAX_STALLS: u32 = 6;

/// Longest time to learn whether an upstream takes connections.
const LOOK_LIMIT: Duration = Duration::from_millis(300);

/// Pause until an upstream is looked for again.
const LOOK_AGAIN: Duration = Duration::from_millis(20);

/// Why a part of a stream ended.
enum Cut {
    /// The upstream has ended it properly.
    Complete,
    /// The upstream broke off or went silent.
    Broken(String),
    /// The caller has left.
    Left,
}

/// A stream at one upstream.
struct Source {
    body: Incoming,
    connection: PooledConnection,
    guard: InFlightGuard,
    target: Target,
    keep_alive: Option<masticlock_core::time::Span>,
}

/// Starts to forward a stream and returns its head.
pub(super) fn start(
    proxy: &Rc<Proxy>,
    ctx: &Rc<RequestContext>,
    resolved: &ResolvedRoute,
    target: &Target,
    arrived: Arrived,
) -> Response<ResponseBody> {
    let (parts, body) = arrived.answer.into_parts();
    let (sender, receiver) = mpsc::channel(WAITING_PARTS);
    let source = Source {
        body,
        connection: arrived.connection,
        guard: arrived.guard,
        target: target.clone(),
        keep_alive: arrived.said.keep_alive,
    };
    spawn_local(forward(
        proxy.clone(),
        ctx.clone(),
        resolved.clone(),
        source,
        sender,
    ));
    let mut response = Response::new(ResponseBody::Streamed(receiver));
    *response.status_mut() = parts.status;
    *response.headers_mut() = parts.headers;
    strip_connection(response.headers_mut());
    response
}

async fn forward(
    proxy: Rc<Proxy>,
    ctx: Rc<RequestContext>,
    resolved: ResolvedRoute,
    source: Source,
    sender: mpsc::Sender<io::Result<Bytes>>,
) {
    let left = ctx.deadline(&resolved.route).since(proxy.now());
    let work = pieces(&proxy, &ctx, &resolved, source, &sender);
    match timeout(left.to_std(), work).await {
        Ok(Ok(())) => {}
        Ok(Err(reason)) => {
            log::info!(event = "stream_cut", request = ctx.id(), reason; "a stream is given up");
            // The caller may have left as well.
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

/// Forwards pieces of a stream from one upstream after the other.
async fn pieces(
    proxy: &Rc<Proxy>,
    ctx: &Rc<RequestContext>,
    resolved: &ResolvedRoute,
    mut source: Source,
    sender: &mpsc::Sender<io::Result<Bytes>>,
) -> Result<(), String> {
    let mut events = EventSplitter::resume_after(ctx.call.last_event_id);
    loop {
        let cut = piece(proxy, ctx, resolved, &mut source, &mut events, sender).await;
        let Source {
            connection,
            guard,
            target,
            keep_alive,
            ..
        } = source;
        match cut {
            Cut::Complete => {
                guard.end(Outcome::Good);
                connection.release(keep_alive);
                log::info!(
                    event = "stream_end", request = ctx.id(), upstream = &*target.upstream,
                    last_event = events.last_id().unwrap_or(0), runs = ctx.runs.get(),
                    waited_ms = proxy.now().since(ctx.arrived).as_millis();
                    "a stream is complete"
                );
                return Ok(());
            }
            Cut::Left => {
                log::info!(event = "caller_left", request = ctx.id(); "a stream's caller has left");
                return Ok(());
            }
            Cut::Broken(reason) => {
                guard.end(Outcome::Failed);
                drop((connection, guard));
                proxy.record(&resolved.service.name, &target.version, false, false);
                log::info!(
                    event = "stream_broken", request = ctx.id(), upstream = &*target.upstream,
                    reason, last_event = events.last_id().unwrap_or(0), runs = ctx.runs.get();
                    "an upstream broke off a stream"
                );
                proxy.check_crash(ctx, &target).await;
                ctx.tried.borrow_mut().push(target.upstream.clone());
                events.discard_partial();
                if sender.is_closed() {
                    return Ok(());
                }
                source = resume(proxy, ctx, resolved, events.last_id()).await?;
            }
        }
    }
}

/// Forwards whole events until the stream at this upstream ends.
///
/// A pause alone ends nothing: the upstream may be busy. It is left if it takes no connections any
/// more, or after several pauses if another attempt is allowed. Bytes that complete no event don't
/// end a pause.
async fn piece(
    proxy: &Rc<Proxy>,
    ctx: &Rc<RequestContext>,
    resolved: &ResolvedRoute,
    source: &mut Source,
    events: &mut EventSplitter,
    sender: &mpsc::Sender<io::Result<Bytes>>,
) -> Cut {
    let pause = resolved
        .route
        .gap
        .map_or(PAUSE, masticlock_core::time::Span::to_std);
    let stall = pause.mul_f64(STALL_PART);
    let mut stalls = 0;
    let mut due = Instant::now() + stall;
    loop {
        if Instant::now() >= due {
            stalls += 1;
            due += stall;
            if let Some(reason) = proxy.abandon(ctx, resolved, &source.target, stalls).await {
                return Cut::Broken(reason);
            }
        }
        let frame = tokio::select! {
            frame = timeout_at(due, source.body.frame()) => frame,
            () = sender.closed() => return Cut::Left,
        };
        let frame = match frame {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(error))) => return Cut::Broken(error.to_string()),
            Ok(None) if events.has_partial() => {
                return Cut::Broken("it ended within an event".into());
            }
            Ok(None) => return Cut::Complete,
            Err(_) => continue,
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let whole = match events.push(&data) {
            Ok(Some(whole)) => whole,
            Ok(None) => continue,
            Err(error) => return Cut::Broken(error.to_string()),
        };
        if sender.send(Ok(whole.bytes)).await.is_err() {
            return Cut::Left;
        }
        if whole.progress {
            stalls = 0;
            due = Instant::now() + stall;
        }
    }
}

impl Proxy {
    /// Returns why a stream that pauses is to be continued elsewhere, if it is.
    async fn abandon(
        self: &Rc<Self>,
        ctx: &RequestContext,
        resolved: &ResolvedRoute,
        target: &Target,
        stalls: u32,
    ) -> Option<String> {
        let route = &resolved.route;
        let mut tried = ctx.tried.borrow().clone();
        tried.push(target.upstream.clone());
        let other = self.choose_without(ctx, resolved, &tried);
        let allowed = route.resumable && ctx.runs.get() < route.attempts;
        if !allowed || !matches!(other, Choice::Upstream(_)) {
            return None;
        }
        if stalls > MAX_STALLS {
            return Some("no event for too long".into());
        }
        // Later pauses of the same stream need no second look.
        if stalls > 1 {
            return None;
        }
        match timeout(LOOK_LIMIT, self.connections.open(target)).await {
            Ok(Ok(connection)) => {
                connection.release(None);
                None
            }
            Ok(Err(error)) => Some(format!("it takes no connection: {error}")),
            Err(_) => Some("it takes no connection in time".into()),
        }
    }
}

/// Sends the request to another upstream, which continues after the last event.
async fn resume(
    proxy: &Rc<Proxy>,
    ctx: &Rc<RequestContext>,
    resolved: &ResolvedRoute,
    last_event: Option<u64>,
) -> Result<Source, String> {
    loop {
        if !resolved.route.resumable || ctx.runs.get() >= resolved.route.attempts {
            return Err("no attempt is left".into());
        }
        let view = proxy.view();
        let resolved = proxy
            .resolve(ctx, &view)
            .map_err(|_| "the request is not allowed any more")?;
        let target = match proxy.choose(ctx, &resolved) {
            Choice::Upstream(target) => target,
            Choice::Full | Choice::Backoff(_) | Choice::Unavailable => {
                sleep(LOOK_AGAIN).await;
                continue;
            }
        };
        if !proxy.with_budget(&resolved.service.name, |b| b.withdraw(proxy.now())) {
            return Err("the retry budget is used up".into());
        }
        let mut connection = match proxy.connections.acquire(&target, Duration::MAX).await {
            Ok(connection) => connection,
            Err(error) => {
                proxy.unreachable(&target, &error);
                continue;
            }
        };
        if !proxy.is_allowed(ctx, &target) {
            continue;
        }
        let guard =
            InFlightGuard::begin(proxy, &target, &resolved.service.name, ctx.size(&resolved));
        let request = proxy.request(ctx, &resolved, &target, last_event);
        ctx.runs.set(ctx.runs.get() + 1);
        let until = proxy.sendable_until(&resolved);
        let left = ctx.deadline(&resolved.route).since(proxy.now());
        let limit = Proxy::first_limit(&resolved, left).to_std();
        let answer = match timeout(limit, connection.send(request, until)).await {
            Ok(Ok(answer)) => answer,
            failed => {
                guard.end(Outcome::Failed);
                let reason = match failed {
                    Ok(Err(error)) => error.to_string(),
                    Ok(Ok(_)) | Err(_) => "no answer in time".to_owned(),
                };
                log::info!(
                    event = "resume_failed", request = ctx.id(), upstream = &*target.upstream,
                    reason;
                    "a stream is not continued there"
                );
                ctx.tried.borrow_mut().push(target.upstream.clone());
                continue;
            }
        };
        let said = proxy.adapter().parse_response(answer.headers());
        let own = said.request_id.as_deref() == ctx.call.request_id.as_deref();
        if own {
            proxy.heed(ctx, &target, answer.status(), &said);
        }
        if own && said.signed && answer.status() == StatusCode::OK {
            guard.read();
            log::info!(
                event = "resumed", request = ctx.id(), upstream = &*target.upstream,
                last_event = last_event.unwrap_or(0);
                "a stream goes on at another upstream"
            );
            return Ok(Source {
                body: answer.into_body(),
                connection,
                guard,
                target,
                keep_alive: said.keep_alive,
            });
        }
        log::info!(
            event = "resume_failed", request = ctx.id(), upstream = &*target.upstream,
            status = answer.status().as_u16(), own, signed = said.signed, not_run = said.not_run;
            "a stream is not continued there"
        );
        if own && said.not_run {
            ctx.runs.set(ctx.runs.get() - 1);
        }
        ctx.tried.borrow_mut().push(target.upstream.clone());
    }
}
