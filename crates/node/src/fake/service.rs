use std::{
    collections::BTreeMap,
    future::pending,
    io,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use poem::{
    Endpoint, Request, Response,
    http::{Method, StatusCode},
};
use serde_json::json;
use tokio::time::sleep;

use super::{Line, line::Cutter};

/// Faults of a fake service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Conduct {
    /// Time that a call takes.
    pub time: Duration,
    /// Runs a call and resets its connection instead of answering.
    pub lose_answer: bool,
    /// Refuses calls with 503.
    pub refuse: bool,
}

#[derive(Debug, Default)]
struct Inner {
    conduct: Conduct,
    /// Runs by key. Calls without a key are counted under an empty one.
    runs: BTreeMap<String, u64>,
}

type Shared = Arc<Mutex<Inner>>;

fn lock(shared: &Shared) -> MutexGuard<'_, Inner> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A fake booking service.
///
/// `POST /bookings` runs a booking for the header `idempotency-key` and
/// `GET /bookings/{key}` looks its status up. It runs a repeated booking again,
/// so that a router that repeats one is found out.
#[derive(Debug)]
pub struct Service {
    line: Arc<Line>,
    shared: Shared,
}

impl Service {
    /// Starts a service on a port that the system chooses.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(conduct: Conduct) -> io::Result<Self> {
        let shared = Arc::new(Mutex::new(Inner {
            conduct,
            ..Inner::default()
        }));
        let line = Line::start(Handler(shared.clone())).await?;
        Ok(Self {
            line: Arc::new(line),
            shared,
        })
    }

    /// Starts another instance of the service, with the same bookings and faults.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn replica(&self) -> io::Result<Self> {
        let line = Line::start(Handler(self.shared.clone())).await?;
        Ok(Self {
            line: Arc::new(line),
            shared: self.shared.clone(),
        })
    }

    /// Returns its connections.
    #[must_use]
    pub fn line(&self) -> &Line {
        &self.line
    }

    /// Changes the behaviour for new calls.
    pub fn set(&self, conduct: Conduct) {
        lock(&self.shared).conduct = conduct;
    }

    /// Returns how often the booking of a key ran.
    #[must_use]
    pub fn runs(&self, key: &str) -> u64 {
        lock(&self.shared).runs.get(key).copied().unwrap_or(0)
    }

    /// Returns all bookings with the number of their runs.
    #[must_use]
    pub fn bookings(&self) -> BTreeMap<String, u64> {
        lock(&self.shared).runs.clone()
    }
}

struct Handler(Shared);

impl Endpoint for Handler {
    type Output = Response;

    async fn call(&self, request: Request) -> poem::Result<Response> {
        let path = request.uri().path();
        if *request.method() == Method::GET {
            return Ok(self.status(path));
        }
        let key = request.header("idempotency-key").unwrap_or_default();
        let key = key.to_owned();
        let cutter = request.data::<Cutter>().cloned();
        self.book(key, cutter).await
    }
}

fn answer(status: StatusCode, body: &serde_json::Value) -> Response {
    Response::builder()
        .status(status)
        .content_type("application/json")
        .body(body.to_string())
}

impl Handler {
    fn status(&self, path: &str) -> Response {
        let key = path.rsplit('/').next().unwrap_or_default();
        if path.starts_with("/bookings/") && lock(&self.0).runs.contains_key(key) {
            return answer(StatusCode::OK, &json!({"booked": key}));
        }
        answer(StatusCode::NOT_FOUND, &json!({"error": "no such booking"}))
    }

    async fn book(&self, key: String, cutter: Option<Cutter>) -> poem::Result<Response> {
        let conduct = lock(&self.0).conduct;
        if conduct.refuse {
            let body = json!({"error": "overloaded"});
            return Ok(answer(StatusCode::SERVICE_UNAVAILABLE, &body));
        }
        *lock(&self.0).runs.entry(key.clone()).or_default() += 1;
        if !conduct.time.is_zero() {
            sleep(conduct.time).await;
        }
        if conduct.lose_answer
            && let Some(cutter) = cutter
        {
            cutter.cut();
            pending::<()>().await;
        }
        Ok(answer(StatusCode::CREATED, &json!({"booked": key})))
    }
}
