use std::{
    collections::{BTreeMap, BTreeSet},
    future::pending,
    io,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use futures_util::stream;
use masticlock_core::name;
use poem::{
    Body, Endpoint, Request, Response,
    http::{Method, StatusCode},
};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep, sleep_until};

use super::{Line, line::Cutter};

/// What a fake engine does with new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Answers it.
    Answers,
    /// Refuses it as overloaded.
    Refuses,
    /// Accepts it and never answers.
    Silent,
}

/// Behaviour of a fake engine, its faults included.
#[derive(Clone, Debug)]
pub struct Profile {
    /// Versions that are loaded.
    pub versions: Vec<name::Version>,
    /// Most requests at once when warm. More are refused.
    pub warm: u32,
    /// Most requests at once in a cold start. More are refused.
    pub cold: u32,
    /// Whether the engine is in a cold start.
    pub is_cold: bool,
    /// Time to the first token.
    pub first: Duration,
    /// Time between two tokens.
    pub between: Duration,
    /// Tokens of an answer.
    pub tokens: u64,
    /// Certainty that plain answers and usage chunks carry.
    pub certainty: Option<f64>,
    /// Breaks each connection of a stream after that many tokens.
    pub break_after: Option<u64>,
    /// Sends no offsets.
    pub no_offsets: bool,
    /// What it does with new work.
    pub mode: Mode,
    /// Crashes at the first token of work whose messages contain this text.
    pub crash_on: Option<String>,
}

impl Default for Profile {
    fn default() -> Self {
        Self {
            versions: Vec::new(),
            warm: 64,
            cold: 64,
            is_cold: false,
            first: Duration::from_millis(1),
            between: Duration::ZERO,
            tokens: 8,
            certainty: None,
            break_after: None,
            no_offsets: false,
            mode: Mode::Answers,
            crash_on: None,
        }
    }
}

/// Streams that an engine can resume. The oldest ids are forgotten first.
const MAX_STREAMS: usize = 4_096;

/// Time between the last token before a break and the break.
const BREAK_DELAY: Duration = Duration::from_millis(5);

/// What an engine did.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Requests running now.
    pub running: u32,
    /// Most requests that ran at once.
    pub peak: u32,
    /// Work that was begun.
    pub runs: u64,
    /// Ids of the requests that were begun.
    pub requests: BTreeSet<String>,
    /// Streams that were cancelled.
    pub cancelled: u64,
    /// Streams that were resumed.
    pub resumed: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Whether a request crashed it.
    pub crashed: bool,
}

#[derive(Debug, Default)]
struct Inner {
    profile: Profile,
    record: Record,
    streams: BTreeMap<String, Work>,
}

/// An answer in progress. The same prompt and version give the same text.
#[derive(Clone, Debug)]
struct Work {
    seed: u32,
    version: String,
    started: Instant,
    tokens: u64,
}

type Shared = Arc<Mutex<Inner>>;

fn lock(shared: &Shared) -> MutexGuard<'_, Inner> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the text of an answer of `tokens` tokens, one word for each.
#[must_use]
pub fn text_of(messages: &Value, version: &str, tokens: u64) -> String {
    let seed = seed_of(messages, version);
    (0..tokens).map(|at| word(seed, at)).collect()
}

fn seed_of(messages: &Value, version: &str) -> u32 {
    let digest = blake3::hash(format!("{version} {messages}").as_bytes());
    let bytes = digest.as_bytes();
    u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}

fn word(seed: u32, at: u64) -> String {
    format!("w{seed:x}-{at} ")
}

/// A fake model engine.
#[derive(Debug)]
pub struct Engine {
    line: Line,
    shared: Shared,
}

impl Engine {
    /// Starts an engine on a port that the system chooses.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(profile: Profile) -> io::Result<Self> {
        let shared = Arc::new(Mutex::new(Inner {
            profile,
            ..Inner::default()
        }));
        let line = Line::start(Handler(shared.clone())).await?;
        Ok(Self { line, shared })
    }

    /// Returns its connections.
    #[must_use]
    pub const fn line(&self) -> &Line {
        &self.line
    }

    /// Changes the behaviour for new requests.
    pub fn set<F>(&self, change: F)
    where
        F: FnOnce(&mut Profile),
    {
        change(&mut lock(&self.shared).profile);
    }

    /// Returns its behaviour.
    #[must_use]
    pub fn profile(&self) -> Profile {
        lock(&self.shared).profile.clone()
    }

    /// Returns what it did.
    #[must_use]
    pub fn record(&self) -> Record {
        lock(&self.shared).record.clone()
    }
}

/// Counts a running request for as long as it lives.
struct Running {
    shared: Shared,
    cutter: Option<Cutter>,
}

impl Drop for Running {
    fn drop(&mut self) {
        lock(&self.shared).record.running -= 1;
    }
}

struct Handler(Shared);

impl Endpoint for Handler {
    type Output = Response;

    async fn call(&self, mut request: Request) -> poem::Result<Response> {
        let path = request.uri().path().to_owned();
        if request.method() == Method::POST && path == "/v1/chat/completions" {
            let body = request.take_body().into_vec().await?;
            return self.complete(&request, &body).await;
        }
        let Some(id) = path.strip_prefix("/v1/streams/") else {
            return Ok(refusal(StatusCode::NOT_FOUND, "no such path"));
        };
        Ok(match *request.method() {
            Method::GET => self.resume(&request, id),
            Method::DELETE => self.cancel(id),
            _ => refusal(StatusCode::METHOD_NOT_ALLOWED, "GET or DELETE"),
        })
    }
}

fn last_event(request: &Request) -> Option<u64> {
    request.header("last-event-id")?.parse().ok()
}

fn refusal(status: StatusCode, message: &str) -> Response {
    Response::builder()
        .status(status)
        .content_type("application/json")
        .body(json!({"error": {"message": message}}).to_string())
}

impl Handler {
    /// Begins work, unless the engine is full.
    fn admit(
        &self,
        request: &Request,
        id: &str,
        body: &Value,
    ) -> Result<(Profile, Work, Running), Box<Response>> {
        let mut inner = lock(&self.0);
        let profile = inner.profile.clone();
        let version = body["model"].as_str().unwrap_or_default().to_owned();
        if !profile.versions.iter().any(|v| v.as_str() == version) {
            let refused = refusal(StatusCode::NOT_FOUND, "version is not loaded");
            return Err(Box::new(refused));
        }
        let limit = if profile.is_cold {
            profile.cold
        } else {
            profile.warm
        };
        if profile.mode == Mode::Refuses || inner.record.running >= limit {
            inner.record.refused += 1;
            let refused = refusal(StatusCode::SERVICE_UNAVAILABLE, "overloaded");
            return Err(Box::new(refused));
        }
        let record = &mut inner.record;
        record.running += 1;
        record.peak = record.peak.max(record.running);
        record.runs += 1;
        if record.requests.len() < MAX_STREAMS {
            record.requests.insert(id.to_owned());
        }
        let work = Work {
            seed: seed_of(&body["messages"], &version),
            version,
            started: Instant::now() + profile.first,
            tokens: profile.tokens,
        };
        drop(inner);
        Ok((profile, work, self.running(request)))
    }

    async fn complete(&self, request: &Request, body: &[u8]) -> poem::Result<Response> {
        let Ok(body) = serde_json::from_slice::<Value>(body) else {
            return Ok(refusal(StatusCode::BAD_REQUEST, "the body is not JSON"));
        };
        let id = request.header("x-request-id").unwrap_or_default();
        let (profile, work, running) = match self.admit(request, id, &body) {
            Ok(begun) => begun,
            Err(refused) => return Ok(*refused),
        };
        if profile.mode == Mode::Silent {
            pending::<()>().await;
        }
        let crashes = |text: &String| body["messages"].to_string().contains(text);
        if profile.crash_on.as_ref().is_some_and(crashes) {
            sleep(profile.first).await;
            self.crash(&running).await;
        }
        if body["stream"] == Value::Bool(true) {
            let mut inner = lock(&self.0);
            if inner.streams.len() >= MAX_STREAMS {
                inner.streams.pop_first();
            }
            inner.streams.insert(id.to_owned(), work.clone());
            drop(inner);
            return Ok(events(profile, work, last_event(request), running));
        }
        let spent = u32::try_from(work.tokens).unwrap_or(u32::MAX);
        let time = profile.first + profile.between * spent;
        if !time.is_zero() {
            sleep(time).await;
        }
        Ok(whole(&profile, &work))
    }

    async fn crash(&self, running: &Running) {
        lock(&self.0).record.crashed = true;
        if let Some(cutter) = &running.cutter {
            cutter.crash();
        }
        pending::<()>().await;
    }

    fn running(&self, request: &Request) -> Running {
        Running {
            shared: self.0.clone(),
            cutter: request.data::<Cutter>().cloned(),
        }
    }

    fn resume(&self, request: &Request, id: &str) -> Response {
        let mut inner = lock(&self.0);
        let Some(work) = inner.streams.get(id).cloned() else {
            return refusal(StatusCode::NOT_FOUND, "no such stream");
        };
        inner.record.resumed += 1;
        inner.record.running += 1;
        let profile = inner.profile.clone();
        drop(inner);
        events(profile, work, last_event(request), self.running(request))
    }

    fn cancel(&self, id: &str) -> Response {
        let mut inner = lock(&self.0);
        if inner.streams.remove(id).is_none() {
            return refusal(StatusCode::NOT_FOUND, "no such stream");
        }
        inner.record.cancelled += 1;
        Response::builder().status(StatusCode::NO_CONTENT).finish()
    }
}

fn usage(work: &Work) -> Value {
    json!({"prompt_tokens": 10, "completion_tokens": work.tokens, "total_tokens": 10 + work.tokens})
}

fn whole(profile: &Profile, work: &Work) -> Response {
    let text: String = (0..work.tokens).map(|at| word(work.seed, at)).collect();
    let mut choice = json!({
        "index": 0,
        "message": {"role": "assistant", "content": text},
        "finish_reason": "stop",
    });
    if let Some(certainty) = profile.certainty {
        choice["certainty"] = json!(certainty);
    }
    let body = json!({
        "object": "chat.completion",
        "model": work.version,
        "choices": [choice],
        "usage": usage(work),
    });
    Response::builder()
        .content_type("application/json")
        .body(body.to_string())
}

/// Returns event `at` of a stream: the tokens, the usage and the end mark.
fn event(profile: &Profile, work: &Work, at: u64) -> String {
    let mut data = json!({"object": "chat.completion.chunk", "model": work.version});
    if at > work.tokens {
        return "data: [DONE]\n\n".to_owned();
    }
    if at == work.tokens {
        data["choices"] = json!([]);
        data["usage"] = usage(work);
        if let Some(certainty) = profile.certainty {
            data["certainty"] = json!(certainty);
        }
    } else {
        data["choices"] = json!([{"index": 0, "delta": {"content": word(work.seed, at)}}]);
    }
    if profile.no_offsets {
        return format!("data: {data}\n\n");
    }
    format!("id: {at}\ndata: {data}\n\n")
}

fn events(profile: Profile, work: Work, after: Option<u64>, running: Running) -> Response {
    let start = after.map_or(0, |offset| offset + 1);
    let state = (profile, work, running, start);
    let body = stream::unfold(state, move |(profile, work, running, at)| async move {
        if at > work.tokens + 1 {
            return None;
        }
        if profile.break_after.is_some_and(|n| at >= start + n) {
            // The tokens before the break have to leave the server's buffer.
            sleep(BREAK_DELAY).await;
            if let Some(cutter) = &running.cutter {
                cutter.cut();
            }
            pending::<()>().await;
        }
        let before = u32::try_from(at.min(work.tokens)).unwrap_or(u32::MAX);
        let due = work.started + profile.between * before;
        if due > Instant::now() {
            sleep_until(due).await;
        }
        let text = event(&profile, &work, at);
        Some((Ok::<_, io::Error>(text), (profile, work, running, at + 1)))
    });
    Response::builder()
        .content_type("text/event-stream")
        .body(Body::from_bytes_stream(body))
}
