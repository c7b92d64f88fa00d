//! HTTP interface for callers and upstreams.

use std::{io, sync::Arc, time::Duration};

use futures_util::{
    StreamExt,
    stream::{self, BoxStream},
};
use masticlock_core::{directory, error};
use poem::{
    Body, Endpoint, Request, Response,
    http::{Method, StatusCode},
};
use tokio::{io::AsyncReadExt, time::timeout};

use super::{
    Shared,
    admission::{AdmittedRequest, Admitter, authenticate, bearer_digest, constant_time_eq},
    driver::Driver,
    reply,
};
use crate::port::{Joined, Part, Recorder};

/// Maximum size of an announcement in bytes.
const MAX_ANNOUNCEMENT_BYTES: usize = 64 * 1024;
/// Delay after which a caller of a stopping instance should retry, so that the
/// load balancer routes the retry to another instance.
const STOPPING_RETRY_MS: u64 = 100;

/// Routes the HTTP requests of an entry instance.
pub(super) struct Handler(pub(super) Arc<Shared>);

impl Endpoint for Handler {
    type Output = Response;

    async fn call(&self, mut request: Request) -> poem::Result<Response> {
        let result = self.route(&mut request).await;
        Ok(result.unwrap_or_else(|error| {
            self.0.metrics.refused(error.kind);
            reply::error_response(&error)
        }))
    }
}

impl Handler {
    async fn route(&self, request: &mut Request) -> Result<Response, error::Error> {
        let path = request.uri().path();
        match path {
            "/healthz" => Ok(empty_response(StatusCode::OK)),
            "/readyz" if self.0.is_ready() && !self.0.is_taken_out() => {
                Ok(empty_response(StatusCode::OK))
            }
            "/readyz" => Ok(empty_response(StatusCode::SERVICE_UNAVAILABLE)),
            "/v1/chat/completions" if *request.method() == Method::POST => {
                self.serve(request).await
            }
            "/upstreams/v1/announce" if *request.method() == Method::POST => {
                self.announce(request).await
            }
            _ if path.starts_with("/services/") => self.serve(request).await,
            _ => Err(error::Error::new(error::Kind::NotFound, "no such path")),
        }
    }

    /// Authenticates and admits a model request or service call, then runs it.
    async fn serve(&self, request: &mut Request) -> Result<Response, error::Error> {
        let shared = &self.0;
        if shared.is_draining() {
            let message = "the instance is stopping";
            let error = error::Error::new(error::Kind::Stopping, message);
            return Err(error.retry_after(STOPPING_RETRY_MS));
        }
        let arrived = shared.now();
        let snapshot = shared.snapshot.load_full();
        let account = authenticate(&snapshot.config, request.headers())?;
        let limits = &shared.settings.limits;
        let body = read_body(request, limits.body_bytes, limits.receive_ms).await?;
        let request_admitter = Admitter {
            shared,
            config: &snapshot.config,
            account,
            headers: request.headers(),
            arrived,
        };
        if request.uri().path().starts_with("/services/") {
            let mut admitted =
                request_admitter.admit_call(request.method(), request.uri(), body)?;
            if snapshot.cut_off().is_some() && !admitted.is_repeatable() {
                let message = "a call that runs at most once needs a majority of control";
                return Err(error::Error::new(error::Kind::CutOff, message));
            }
            admitted.admission = shared.slots.admit(&admitted.request.account).await?;
            return Ok(self.run(admitted).await);
        }
        let mut admitted = request_admitter.admit_model(&body)?;
        drop(body);
        admitted.admission = shared.slots.admit(&admitted.request.account).await?;
        self.run_model(admitted).await
    }

    /// Runs a model request, or joins a running or finished one that has the same idempotency key.
    async fn run_model(&self, admitted: AdmittedRequest) -> Result<Response, error::Error> {
        let Some(key) = admitted.idempotency_key.clone() else {
            return Ok(self.run(admitted).await);
        };
        let joined = self.0.answers.join(key, admitted.fingerprint).await?;
        let parts = match joined {
            Joined::Follower(parts) => parts,
            Joined::First(recorder) => {
                let driver = Box::new(Driver::begin(self.0.clone(), admitted));
                let (parts, recording) = record_response(driver, recorder);
                self.0.runtime.spawn(recording);
                parts
            }
        };
        Ok(to_response(parts).await)
    }

    /// Runs a request whose response goes to this caller only.
    async fn run(&self, admitted: AdmittedRequest) -> Response {
        let driver = Driver::begin(self.0.clone(), admitted);
        let caller = AttachedCaller {
            driver: Some(Box::new(driver)),
        };
        let parts = stream::unfold(caller, |mut caller| async move {
            let part = caller.next().await;
            part.map(|part| (part, caller))
        });
        to_response(parts.boxed()).await
    }

    /// Checks an upstream's announcement against the inventory and registers it.
    async fn announce(&self, request: &mut Request) -> Result<Response, error::Error> {
        let limit = self.0.settings.limits.receive_ms;
        let digest = bearer_digest(request.headers());
        let body = read_body(request, MAX_ANNOUNCEMENT_BYTES, limit).await?;
        let announcement: directory::Announcement = serde_json::from_slice(&body)
            .map_err(|e| error::Error::new(error::Kind::BadRequest, e.to_string()))?;
        let snapshot = self.0.snapshot.load_full();
        let upstream = snapshot.config.inventory.upstream(&announcement.upstream);
        let credential = upstream.map_or("", |u| u.credential_sha256.as_str());
        if !digest.is_some_and(|digest| constant_time_eq(credential.as_bytes(), &digest)) {
            let message = "the credential is not the one of this upstream";
            return Err(error::Error::new(error::Kind::Unauthorized, message));
        }
        let matches_inventory = upstream.is_some_and(|u| {
            u.domain == announcement.domain
                && u.offer == announcement.offer
                && u.service == announcement.service
        });
        if !matches_inventory {
            let message = "failure domain, offer or service differ from the inventory";
            return Err(error::Error::new(error::Kind::Forbidden, message));
        }
        let response = self.0.announcements.announce(announcement).await?;
        let body = serde_json::to_vec(&response)
            .map_err(|e| error::Error::new(error::Kind::Internal, e.to_string()))?;
        Ok(Response::builder()
            .content_type("application/json")
            .body(body))
    }
}

fn empty_response(status: StatusCode) -> Response {
    Response::builder().status(status).finish()
}

/// Reads the body of a request within the limits of size and time.
async fn read_body(
    request: &mut Request,
    max_bytes: usize,
    max_ms: u64,
) -> Result<Vec<u8>, error::Error> {
    let too_large = || {
        let message = format!("a body has at most {max_bytes} bytes");
        error::Error::new(error::Kind::BodyTooLarge, message)
    };
    let content_length = request
        .header("content-length")
        .and_then(|length| length.parse::<usize>().ok());
    if content_length.is_some_and(|length| length > max_bytes) {
        return Err(too_large());
    }
    let mut body = Vec::with_capacity(content_length.unwrap_or(0));
    let reader = request.take_body().into_async_read();
    // Reads one byte more than the limit to detect a body that is too large.
    let mut reader = reader.take(max_bytes as u64 + 1);
    match timeout(Duration::from_millis(max_ms), reader.read_to_end(&mut body)).await {
        Err(_) => {
            let message = format!("the body did not arrive within {max_ms} ms");
            Err(error::Error::new(error::Kind::SlowCaller, message))
        }
        Ok(Err(error)) => {
            let message = format!("the body broke off: {error}");
            Err(error::Error::new(error::Kind::BadRequest, message))
        }
        Ok(Ok(_)) if body.len() > max_bytes => Err(too_large()),
        Ok(Ok(_)) => Ok(body),
    }
}

/// A request with a connected caller. Dropped when the caller disconnects: the
/// request is then cancelled, or continues in the background.
struct AttachedCaller {
    driver: Option<Box<Driver>>,
}

impl AttachedCaller {
    async fn next(&mut self) -> Option<Part> {
        let part = self.driver.as_mut()?.next().await;
        let ended = matches!(part, None | Some(Part::End | Part::Failed(_)));
        if ended && self.driver.as_ref().is_some_and(|driver| driver.is_idle()) {
            self.driver = None;
        }
        part
    }
}

impl Drop for AttachedCaller {
    fn drop(&mut self) {
        if let Some(driver) = self.driver.take() {
            let runtime = driver.shared.runtime.clone();
            runtime.spawn(driver.finish(true));
        }
    }
}

/// Returns the parts of a response for the first caller, and the task that runs
/// the request and records them.
fn record_response(
    mut driver: Box<Driver>,
    mut recorder: Box<dyn Recorder>,
) -> (BoxStream<'static, Part>, impl Future<Output = ()> + Send) {
    // The first caller receives the parts like any other, so that it can disconnect at any time.
    let (sender, receiver) = tokio::sync::mpsc::unbounded_channel();
    let recording = async move {
        while let Some(part) = driver.next().await {
            // An error means that the caller has disconnected.
            let _ = sender.send(part.clone());
            recorder.append(part);
        }
        drop(recorder);
        driver.finish(false).await;
    };
    let parts = stream::unfold(receiver, |mut receiver| async move {
        let part = receiver.recv().await;
        part.map(|part| (part, receiver))
    });
    (parts.boxed(), recording)
}

/// Builds the HTTP response as soon as its head is known.
async fn to_response(mut parts: BoxStream<'static, Part>) -> Response {
    match parts.next().await {
        Some(Part::Head { status, headers }) => response_with_body(status, headers, parts).await,
        Some(Part::Failed(error)) => reply::error_response(&error),
        Some(Part::Data(_) | Part::End) | None => {
            let message = "the answer broke off before it began";
            reply::error_response(&error::Error::new(error::Kind::UpstreamFailed, message))
        }
    }
}

/// Builds a response with a streamed body for an event stream, or else with a complete one.
async fn response_with_body(
    status: u16,
    headers: Vec<(String, String)>,
    mut parts: BoxStream<'static, Part>,
) -> Response {
    let is_stream = headers
        .iter()
        .any(|(name, value)| name == "content-type" && value == "text/event-stream");
    if is_stream {
        return reply::response(status, headers, Body::from_bytes_stream(stream_body(parts)));
    }
    let mut body = Vec::new();
    while let Some(part) = parts.next().await {
        match part {
            Part::Data(data) if body.is_empty() => body = data,
            Part::Data(data) => body.extend_from_slice(&data),
            Part::End => return reply::response(status, headers, body.into()),
            Part::Failed(error) => return reply::error_response(&error),
            Part::Head { .. } => {}
        }
    }
    let message = "the answer broke off";
    reply::error_response(&error::Error::new(error::Kind::UpstreamFailed, message))
}

/// Returns the body of an event stream. A stream that is interrupted ends with an
/// error event and without the end marker.
fn stream_body(
    parts: BoxStream<'static, Part>,
) -> impl futures_util::Stream<Item = io::Result<Vec<u8>>> + Send {
    stream::unfold(Some(parts), |parts| async move {
        let mut parts = parts?;
        match parts.next().await {
            Some(Part::Data(data)) => Some((Ok(data), Some(parts))),
            Some(Part::Failed(error)) => Some((Ok(reply::error_event(&error)), None)),
            Some(Part::Head { .. }) => Some((Ok(Vec::new()), Some(parts))),
            Some(Part::End) => None,
            None => {
                let message = "the stream broke off";
                let error = error::Error::new(error::Kind::StreamBroken, message);
                Some((Ok(reply::error_event(&error)), None))
            }
        }
    })
}
