use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use poem::{Endpoint, Request, Response, http::StatusCode};
use serde_json::{Value, json};

use super::Line;

#[derive(Debug, Default)]
struct Inner {
    rated: AtomicU64,
    fails: AtomicBool,
    /// Share of good ratings, in thousandths.
    good: AtomicU64,
}

/// A fake rating service.
///
/// `POST /rate` takes an answer and returns a rating from 0 to 1. The rating
/// is 1 for a fixed share of the answers, chosen by their digest, and 0 for
/// the rest.
#[derive(Debug)]
pub struct Rating {
    line: Line,
    inner: Arc<Inner>,
}

impl Rating {
    /// Starts a rating service that rates `good` of 1,000 answers as good.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(good: u64) -> io::Result<Self> {
        let inner = Arc::new(Inner::default());
        inner.good.store(good, Ordering::Relaxed);
        let line = Line::start(Handler(inner.clone())).await?;
        Ok(Self { line, inner })
    }

    /// Returns its connections.
    #[must_use]
    pub const fn line(&self) -> &Line {
        &self.line
    }

    /// Sets the share of good ratings, in thousandths.
    pub fn set_good(&self, good: u64) {
        self.inner.good.store(good, Ordering::Relaxed);
    }

    /// Sets whether it answers all requests with 500.
    pub fn set_fails(&self, fails: bool) {
        self.inner.fails.store(fails, Ordering::Relaxed);
    }

    /// Returns how many answers it rated.
    #[must_use]
    pub fn rated(&self) -> u64 {
        self.inner.rated.load(Ordering::Relaxed)
    }
}

struct Handler(Arc<Inner>);

impl Endpoint for Handler {
    type Output = Response;

    async fn call(&self, mut request: Request) -> poem::Result<Response> {
        if self.0.fails.load(Ordering::Relaxed) {
            return Ok(status(StatusCode::INTERNAL_SERVER_ERROR));
        }
        let body = request.take_body().into_vec().await?;
        if serde_json::from_slice::<Value>(&body).is_err() {
            return Ok(status(StatusCode::BAD_REQUEST));
        }
        self.0.rated.fetch_add(1, Ordering::Relaxed);
        let digest = blake3::hash(&body);
        let draw = u64::from(u16::from_le_bytes([
            digest.as_bytes()[0],
            digest.as_bytes()[1],
        ]));
        let is_good = draw % 1_000 < self.0.good.load(Ordering::Relaxed);
        let body = json!({"rating": f64::from(u8::from(is_good))});
        Ok(Response::builder()
            .content_type("application/json")
            .body(body.to_string()))
    }
}

fn status(status: StatusCode) -> Response {
    Response::builder().status(status).finish()
}
