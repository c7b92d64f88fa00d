//! Handler of client requests: reads and checks them and passes them on to the proxy.

use std::{cell::Cell, net::SocketAddr, rc::Rc, sync::Arc};

use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::{Body, Bytes, Incoming},
    header::{HOST, HeaderName, RETRY_AFTER},
};
use masticlock_core::{
    digest,
    route::{Account, Route, Service},
    run::History,
    time::Span,
};

use super::{
    entry::ResponseBody,
    forward::{PeerPlace, Proxy, RequestContext},
};

/// Route, service and client account of a request.
#[derive(Clone, Debug)]
pub struct ResolvedRoute {
    /// Route.
    pub route: Arc<Route>,
    /// Service.
    pub service: Arc<Service>,
    /// Client account; none if the route is public or no keys are needed.
    pub account: Option<Arc<Account>>,
}

impl ResolvedRoute {
    /// Returns the priority of the request; 0 is the highest. That of the client account overrides
    /// that of the route.
    #[must_use]
    pub fn priority(&self) -> u8 {
        let account = self.account.as_ref().and_then(|a| a.priority);
        account.unwrap_or(self.route.priority)
    }
}

/// An error response that the router generates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// HTTP status.
    pub status: StatusCode,
    /// Time after which the client may retry.
    pub retry_after: Option<Span>,
    /// Reason, for logs and metrics.
    pub reason: &'static str,
}

impl Refusal {
    /// Creates a refusal without a `Retry-After` header.
    #[must_use]
    pub const fn new(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            retry_after: None,
            reason,
        }
    }

    /// Creates the refusal of a request that has not run and may be retried after `after`.
    #[must_use]
    pub const fn retryable(after: Span, reason: &'static str) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            retry_after: Some(after),
            reason,
        }
    }
}

impl From<Refusal> for Response<ResponseBody> {
    fn from(refusal: Refusal) -> Self {
        let mut response = Self::new(ResponseBody::empty());
        *response.status_mut() = refusal.status;
        if let Some(after) = refusal.retry_after {
            let millis = after.as_millis();
            let seconds = format!("{}.{:03}", millis / 1_000, millis % 1_000);
            // Digits and a point are always a valid header value.
            if let Ok(value) = seconds.parse() {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        response
    }
}

/// Number of upstreams that may have run a request before it was handed over to a peer.
pub const HANDED_OVER: HeaderName = HeaderName::from_static("masticlock-handed-over");

/// Handles a request and returns the response for the client.
pub async fn handle(
    proxy: Rc<Proxy>,
    request: Request<Incoming>,
    peer: SocketAddr,
) -> Response<ResponseBody> {
    serve(proxy, request, peer, None).await
}

/// Handles a request that another entry instance hands over, and returns the response for it.
pub async fn handle_peer(
    proxy: Rc<Proxy>,
    mut request: Request<Incoming>,
    peer: SocketAddr,
) -> Response<ResponseBody> {
    let runs = request.headers_mut().remove(HANDED_OVER);
    let runs = runs.and_then(|v| v.to_str().ok().and_then(|runs| runs.parse().ok()));
    if runs.is_none() {
        log::warn!(event = "refused", status = 400; "a peer does not say how often a request ran");
        return Refusal::new(StatusCode::BAD_REQUEST, "unreadable headers").into();
    }
    let Some(place) = proxy.take_peer_place() else {
        return Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "no room for peers").into();
    };
    serve(proxy, request, peer, runs.map(|runs| (runs, place))).await
}

/// Handles a request. `handed_over` is the number of upstreams that may have run it at the instance
/// that has handed it over, and its place among the requests of peers.
async fn serve(
    proxy: Rc<Proxy>,
    request: Request<Incoming>,
    peer: SocketAddr,
    handed_over: Option<(u32, PeerPlace)>,
) -> Response<ResponseBody> {
    let received_at = proxy.now();
    let (parts, body) = request.into_parts();
    let parsed = proxy.adapter().parse_request(&parts.headers);
    let invalid = parsed.as_ref().err().cloned();
    let path_and_query = parts.uri.path_and_query().map_or("/", |p| p.as_str());
    let mut ctx = RequestContext {
        host: host_name(&parts.headers),
        path: parts.uri.path().into(),
        path_and_query: path_and_query.into(),
        method: parts.method,
        headers: parts.headers,
        meta: parsed.unwrap_or_default(),
        received_at,
        runs: Cell::new(History::of_count(
            handed_over.as_ref().map_or(0, |(runs, _)| *runs),
        )),
        peer_place: handed_over.map(|(_, place)| place),
        ..RequestContext::default()
    };
    let checked = if let Some(reason) = invalid {
        log::info!(event = "refused", status = 400, reason; "the request headers are invalid");
        let status = StatusCode::BAD_REQUEST;
        Err(Refusal::new(status, "unreadable headers"))
    } else {
        proxy.check_head(&ctx)
    };
    if !body.is_end_stream() {
        let account = checked.as_ref().ok().and_then(Option::as_ref);
        let source = account.map_or_else(|| peer.ip().to_string().into(), |a| a.name.clone());
        let announced = body.size_hint().exact();
        let reservation = proxy.memory().open(source.clone(), announced);
        let (limit, max_wait) = proxy.body_limits();
        let read = if checked.is_ok() {
            reservation.read(body, limit, max_wait).await
        } else {
            // The client gets to read the refusal only if it has sent all.
            let discarded = reservation.discard(body, limit, max_wait).await;
            discarded.map(|()| Bytes::new())
        };
        ctx.body = match read {
            Ok(body) => body,
            Err(error) => return proxy.refuse_unread(&ctx, error, &source),
        };
        ctx.memory = Some(reservation);
    }
    if let Err(refusal) = checked {
        return proxy.refuse(&ctx, refusal);
    }
    let key = ctx.meta.api_key.as_deref();
    ctx.fingerprint = fingerprint(key, &ctx.path_and_query, &ctx.body);
    proxy.serve(ctx).await
}

/// Returns the host in lowercase, without port.
fn host_name(headers: &HeaderMap) -> String {
    let host = headers.get(HOST).and_then(|h| h.to_str().ok());
    let host = host.unwrap_or_default();
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    name.to_ascii_lowercase()
}

/// Returns a digest of the API key, the path with its query and the body.
fn fingerprint(key: Option<&str>, path_and_query: &str, body: &[u8]) -> u64 {
    let mut digest = digest::of(path_and_query.as_bytes());
    digest = digest::mix(digest ^ digest::of(key.unwrap_or_default().as_bytes()));
    digest::mix(digest ^ digest::of(body))
}
