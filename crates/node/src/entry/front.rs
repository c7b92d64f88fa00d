//! HTTP for callers and upstreams.

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
    driver::Driver,
    job::{Entrance, Job, authenticate, bearer_digest, same},
    reply,
};
use crate::port::{Joined, Part, Recorder};

/// Largest announcement.
const ANNOUNCEMENT_BYTES: usize = 64 * 1024;
/// When a caller should come back to an instance that is stopping, or rather
/// to another one.
const STOPPING_RETRY_MS: u64 = 100;

/// Serves the paths of an entry instance.
pub(super) struct Front(pub(super) Arc<Shared>);

impl Endpoint for Front {
    type Output = Response;

    async fn call(&self, mut request: Request) -> poem::Result<Response> {
        let answer = self.route(&mut request).await;
        Ok(answer.unwrap_or_else(|error| {
            self.0.metrics.refused(error.kind);
            reply::error_response(&error)
        }))
    }
}

impl Front {
    async fn route(&self, request: &mut Request) -> Result<Response, error::Error> {
        let path = request.uri().path();
        match path {
            "/healthz" => Ok(status(StatusCode::OK)),
            "/readyz" if self.0.is_ready() && !self.0.is_taken_out() => Ok(status(StatusCode::OK)),
            "/readyz" => Ok(status(StatusCode::SERVICE_UNAVAILABLE)),
            "/v1/chat/completions" if *request.method() == Method::POST => self.work(request).await,
            "/upstreams/v1/announce" if *request.method() == Method::POST => {
                self.announce(request).await
            }
            _ if path.starts_with("/services/") => self.work(request).await,
            _ => Err(error::Error::new(error::Kind::NotFound, "no such path")),
        }
    }

    async fn work(&self, request: &mut Request) -> Result<Response, error::Error> {
        let shared = &self.0;
        if shared.is_closed() {
            let message = "the instance is stopping";
            let error = error::Error::new(error::Kind::Stopping, message);
            return Err(error.retry_after(STOPPING_RETRY_MS));
        }
        let arrived = shared.now();
        let snapshot = shared.snapshot.load_full();
        let account = authenticate(&snapshot.config, request.headers())?;
        let limits = &shared.settings.limits;
        let body = receive(request, limits.body_bytes, limits.receive_ms).await?;
        let entrance = Entrance {
            shared,
            config: &snapshot.config,
            account,
            headers: request.headers(),
            arrived,
        };
        if request.uri().path().starts_with("/services/") {
            let mut job = entrance.call(request.method(), request.uri(), body)?;
            if snapshot.cut_off().is_some() && !job.is_repeatable() {
                let message = "a call that runs at most once needs a majority of control";
                return Err(error::Error::new(error::Kind::CutOff, message));
            }
            job.admission = shared.slots.admit(&job.ask.account).await?;
            return Ok(self.run(job).await);
        }
        let mut job = entrance.model(&body)?;
        drop(body);
        job.admission = shared.slots.admit(&job.ask.account).await?;
        self.model(job).await
    }

    async fn model(&self, job: Job) -> Result<Response, error::Error> {
        let Some(key) = job.key.clone() else {
            return Ok(self.run(job).await);
        };
        let joined = self.0.answers.join(key, job.fingerprint).await?;
        let parts = match joined {
            Joined::Follower(parts) => parts,
            Joined::First(recorder) => {
                let driver = Box::new(Driver::begin(self.0.clone(), job));
                let (parts, recording) = record(driver, recorder);
                self.0.runtime.spawn(recording);
                parts
            }
        };
        Ok(answer(parts).await)
    }

    /// Runs a request whose answer goes to this caller only.
    async fn run(&self, job: Job) -> Response {
        let driver = Driver::begin(self.0.clone(), job);
        let caller = Caller {
            driver: Some(Box::new(driver)),
        };
        let parts = stream::unfold(caller, |mut caller| async move {
            let part = caller.next().await;
            part.map(|part| (part, caller))
        });
        answer(parts.boxed()).await
    }

    async fn announce(&self, request: &mut Request) -> Result<Response, error::Error> {
        let limit = self.0.settings.limits.receive_ms;
        let digest = bearer_digest(request.headers());
        let body = receive(request, ANNOUNCEMENT_BYTES, limit).await?;
        let said: directory::Announcement = serde_json::from_slice(&body)
            .map_err(|e| error::Error::new(error::Kind::BadRequest, e.to_string()))?;
        let snapshot = self.0.snapshot.load_full();
        let known = snapshot.config.inventory.upstream(&said.upstream);
        let credential = known.map_or("", |u| u.credential_sha256.as_str());
        if !digest.is_some_and(|digest| same(credential.as_bytes(), &digest)) {
            let message = "the credential is not the one of this upstream";
            return Err(error::Error::new(error::Kind::Unauthorized, message));
        }
        let fits = known.is_some_and(|u| {
            u.domain == said.domain && u.offer == said.offer && u.service == said.service
        });
        if !fits {
            let message = "failure domain, offer or service differ from the inventory";
            return Err(error::Error::new(error::Kind::Forbidden, message));
        }
        let answer = self.0.announcements.announce(said).await?;
        let body = serde_json::to_vec(&answer)
            .map_err(|e| error::Error::new(error::Kind::Internal, e.to_string()))?;
        Ok(Response::builder()
            .content_type("application/json")
            .body(body))
    }
}

fn status(status: StatusCode) -> Response {
    Response::builder().status(status).finish()
}

/// Returns the body of a request, within the limits of size and time.
async fn receive(
    request: &mut Request,
    max_bytes: usize,
    max_ms: u64,
) -> Result<Vec<u8>, error::Error> {
    let too_large = || {
        let message = format!("a body has at most {max_bytes} bytes");
        error::Error::new(error::Kind::BodyTooLarge, message)
    };
    let announced = request
        .header("content-length")
        .and_then(|length| length.parse::<usize>().ok());
    if announced.is_some_and(|length| length > max_bytes) {
        return Err(too_large());
    }
    let mut body = Vec::with_capacity(announced.unwrap_or(0));
    let reader = request.take_body().into_async_read();
    // One byte more shows that the body is too large.
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

/// A request whose caller waits. When the caller disconnects, the request is
/// cancelled, or goes on without it.
struct Caller {
    driver: Option<Box<Driver>>,
}

impl Caller {
    async fn next(&mut self) -> Option<Part> {
        let part = self.driver.as_mut()?.next().await;
        let over = matches!(part, None | Some(Part::End | Part::Failed(_)));
        if over && self.driver.as_ref().is_some_and(|driver| driver.is_idle()) {
            self.driver = None;
        }
        part
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        if let Some(driver) = self.driver.take() {
            let runtime = driver.shared.runtime.clone();
            runtime.spawn(driver.finish(true));
        }
    }
}

/// Returns the answer that is recorded and the task that records it.
fn record(
    mut driver: Box<Driver>,
    mut recorder: Box<dyn Recorder>,
) -> (BoxStream<'static, Part>, impl Future<Output = ()> + Send) {
    // The caller is one of the followers, so that it can disconnect at any time.
    let (sender, receiver) = tokio::sync::mpsc::unbounded_channel();
    let recording = async move {
        while let Some(part) = driver.next().await {
            // An error means that the caller is gone.
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

/// Returns the response of an answer once its head has come.
async fn answer(mut parts: BoxStream<'static, Part>) -> Response {
    match parts.next().await {
        Some(Part::Head { status, headers }) => body_of(status, headers, parts).await,
        Some(Part::Failed(error)) => reply::error_response(&error),
        Some(Part::Data(_) | Part::End) | None => {
            let message = "the answer broke off before it began";
            reply::error_response(&error::Error::new(error::Kind::UpstreamFailed, message))
        }
    }
}

async fn body_of(
    status: u16,
    headers: Vec<(String, String)>,
    mut parts: BoxStream<'static, Part>,
) -> Response {
    let is_stream = headers
        .iter()
        .any(|(name, value)| name == "content-type" && value == "text/event-stream");
    if is_stream {
        return reply::response(status, headers, Body::from_bytes_stream(pieces(parts)));
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

/// Returns the body of a stream. A stream that breaks off ends with an error
/// event and without the end mark.
fn pieces(
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
