//! Requests of callers: reading, checking and answering them.

use std::{rc::Rc, sync::Arc};

use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::Incoming,
    header::{HOST, RETRY_AFTER},
};
use masticlock_core::{
    digest,
    route::{Account, Route, Service},
    time::Span,
};

use super::{
    entry::{ResponseBody, read_body},
    forward::{Proxy, RequestContext},
};

/// What the tables say of a request.
#[derive(Clone, Debug)]
pub struct ResolvedRoute {
    /// Its route.
    pub route: Arc<Route>,
    /// Its service.
    pub service: Arc<Service>,
    /// Its client account, unless it needs none.
    pub account: Option<Arc<Account>>,
}

impl ResolvedRoute {
    /// Returns the rank of the request; 0 is the most urgent.
    #[must_use]
    pub fn priority(&self) -> u8 {
        let account = self.account.as_ref().and_then(|a| a.priority);
        account.unwrap_or(self.route.priority)
    }
}

/// An answer of the router's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Status.
    pub status: StatusCode,
    /// Time after which the caller may come back.
    pub retry_after: Option<Span>,
    /// Reason, for logs.
    pub reason: &'static str,
}

impl Refusal {
    /// Returns a refusal that names no time to come back.
    #[must_use]
    pub const fn of(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            retry_after: None,
            reason,
        }
    }

    /// Returns the refusal of a request that has not run and may come back.
    #[must_use]
    pub const fn later(after: Span, reason: &'static str) -> Self {
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
            // Digits and a point are a valid header value.
            if let Ok(value) = seconds.parse() {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        response
    }
}

/// Answers a request.
pub async fn handle(proxy: Rc<Proxy>, request: Request<Incoming>) -> Response<ResponseBody> {
    let arrived = proxy.now();
    let (parts, body) = request.into_parts();
    let limits = proxy.body_limits();
    let body = match read_body(body, limits.0, limits.1).await {
        Ok(body) => body,
        Err(status) => {
            log::info!(event = "refused", status = status.as_u16(); "a body was not read");
            return Refusal::of(status, "unread body").into();
        }
    };
    let call = match proxy.adapter().parse_request(&parts.headers) {
        Ok(call) => call,
        Err(reason) => {
            log::info!(event = "refused", status = 400, reason; "the headers can't be read");
            return Refusal::of(StatusCode::BAD_REQUEST, "unreadable headers").into();
        }
    };
    let target = parts.uri.path_and_query().map_or("/", |p| p.as_str());
    let ctx = RequestContext {
        host: host(&parts.headers),
        path: parts.uri.path().into(),
        fingerprint: fingerprint(call.api_key.as_deref(), target, &body),
        target: target.into(),
        method: parts.method,
        headers: parts.headers,
        body,
        call,
        arrived,
        ..RequestContext::default()
    };
    proxy.serve(ctx).await
}

fn host(headers: &HeaderMap) -> String {
    let host = headers.get(HOST).and_then(|h| h.to_str().ok());
    let host = host.unwrap_or_default();
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    name.to_ascii_lowercase()
}

/// Returns a digest of the caller, the path and the body.
fn fingerprint(key: Option<&str>, target: &str, body: &[u8]) -> u64 {
    let mut digest = digest::of(target.as_bytes());
    digest = digest::mix(digest ^ digest::of(key.unwrap_or_default().as_bytes()));
    digest::mix(digest ^ digest::of(body))
}
