//! Callers of the example deployment.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use reqwest::{Client, StatusCode};
use serde_json::{Value, json};
use tokio::{task::JoinSet, time::sleep};

use super::deployment::Failure;

/// Requests that run at once.
const CONCURRENCY: usize = 8;

/// Interval of requests.
///
/// A client account's rate is divided evenly between the failure domains. The one with three of
/// the nine instances gets a third of the requests, which must fit into its quarter of the rate.
const INTERVAL: Duration = Duration::from_millis(18);

/// Client accounts that send, in turn.
const ACCOUNTS: [&str; 3] = ["crown-dispatch", "wa-growers", "crown-dispatch"];

/// Times that a request is repeated when its client account is over its rate.
const REPEATS: u32 = 20;

/// A kind of request of the example.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    Plan,
    Question,
    Tag,
    Status,
    Booking,
}

impl Kind {
    pub const ALL: [Self; 5] = [
        Self::Plan,
        Self::Question,
        Self::Tag,
        Self::Status,
        Self::Booking,
    ];

    pub const fn name(self) -> &'static str {
        match self {
            Self::Plan => "season-plan",
            Self::Question => "palm-question",
            Self::Tag => "photo-tag",
            Self::Status => "status lookup",
            Self::Booking => "booking",
        }
    }

    pub const fn is_model(self) -> bool {
        matches!(self, Self::Plan | Self::Question | Self::Tag)
    }
}

/// What callers saw of one kind of request.
pub struct Seen {
    pub requests: u64,
    pub failed: Vec<String>,
    /// Answers and sum of the costs that they named, by version.
    pub versions: BTreeMap<String, (u64, f64)>,
    pub micros: Histogram<u64>,
}

impl Seen {
    pub fn new() -> Result<Self, Failure> {
        Ok(Self {
            requests: 0,
            failed: Vec::new(),
            versions: BTreeMap::new(),
            micros: Histogram::new(3)?,
        })
    }
}

/// One answer.
pub struct Answer {
    pub status: StatusCode,
    pub version: Option<String>,
    pub cost: f64,
    pub body: String,
    pub time: Duration,
}

/// The load balancer in front of the entry instances, and a client behind it.
#[derive(Clone)]
pub struct Caller {
    client: Client,
    urls: Arc<Mutex<Vec<String>>>,
    next: Arc<AtomicUsize>,
}

impl Caller {
    pub fn new(urls: Vec<String>) -> Self {
        Self {
            client: Client::new(),
            urls: Arc::new(Mutex::new(urls)),
            next: Arc::default(),
        }
    }

    fn url(&self) -> Option<String> {
        let urls = self
            .urls
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let at = self.next.fetch_add(1, Ordering::Relaxed) % urls.len().max(1);
        urls.get(at).cloned()
    }

    /// Takes instances that are not ready out of rotation, as a load balancer does.
    pub async fn probe(&self, all: &[String]) {
        let mut ready = Vec::new();
        for url in all {
            let probe = self.client.get(format!("{url}/readyz"));
            let answer = probe.timeout(Duration::from_millis(500)).send().await;
            if answer.is_ok_and(|a| a.status().is_success()) {
                ready.push(url.clone());
            }
        }
        *self
            .urls
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner) = ready;
    }

    /// Sends one request of a kind and comes back when it is told to.
    pub async fn send(&self, kind: Kind, number: u64, stream: bool) -> Result<Answer, Failure> {
        let start = Instant::now();
        let mut answer = self.send_once(kind, number, stream).await?;
        for _ in 0..REPEATS {
            if answer.status != StatusCode::TOO_MANY_REQUESTS {
                break;
            }
            let told: Value = serde_json::from_str(&answer.body)?;
            let millis = told["error"]["retry_after_ms"].as_u64();
            sleep(Duration::from_millis(millis.ok_or("no time to come back")?)).await;
            answer = self.send_once(kind, number, stream).await?;
        }
        answer.time = start.elapsed();
        Ok(answer)
    }

    async fn send_once(&self, kind: Kind, number: u64, stream: bool) -> Result<Answer, Failure> {
        let url = self.url().ok_or("no instance is ready")?;
        let key = format!("{}-{number}", kind.name().replace(' ', "-"));
        let request = match kind {
            Kind::Plan | Kind::Question | Kind::Tag => self
                .client
                .post(format!("{url}/v1/chat/completions"))
                .header("masticlock-task", kind.name())
                .json(&json!({
                    "model": "auto", "stream": stream, "max_tokens": 24,
                    "messages": [{"role": "user", "content": format!("block {number}: {key}?")}]
                })),
            Kind::Status => self
                .client
                .get(format!("{url}/services/booking/bookings/booking-{number}")),
            Kind::Booking => self
                .client
                .post(format!("{url}/services/booking/bookings"))
                .header("idempotency-key", &key)
                .json(&json!({"palm": number})),
        };
        let account = ACCOUNTS[usize::try_from(number)? % ACCOUNTS.len()];
        finish(request.bearer_auth(format!("example-key-{account}"))).await
    }

    /// Sends a booking through the instance at `url`.
    pub async fn book(&self, url: &str, key: &str) -> Result<Answer, Failure> {
        let request = self
            .client
            .post(format!("{url}/services/booking/bookings"))
            .bearer_auth("example-key-crown-dispatch")
            .header("idempotency-key", key)
            .json(&json!({"palm": key}));
        finish(request).await
    }

    /// Sends `count` requests of a kind, some at once.
    pub async fn run(&self, kind: Kind, first: u64, count: u64) -> Result<Seen, Failure> {
        let mut seen = Seen::new()?;
        let mut open = JoinSet::new();
        for number in first..first + count {
            while open.len() >= CONCURRENCY {
                take(&mut seen, open.join_next().await)?;
            }
            let caller = self.clone();
            open.spawn(async move { caller.send(kind, number, number % 2 == 0).await });
            sleep(INTERVAL).await;
        }
        while let Some(answer) = open.join_next().await {
            take(&mut seen, Some(answer))?;
        }
        Ok(seen)
    }

    /// Sends model requests until `stop` is set.
    pub async fn keep_on(&self, stop: Arc<AtomicBool>, first: u64) -> Result<Seen, Failure> {
        let mut seen = Seen::new()?;
        let mut open = JoinSet::new();
        let mut number = first;
        while !stop.load(Ordering::Relaxed) {
            let kind = [Kind::Plan, Kind::Question, Kind::Tag][usize::try_from(number % 3)?];
            let caller = self.clone();
            open.spawn(async move { caller.send(kind, number, true).await });
            number += 1;
            while open.len() >= CONCURRENCY {
                take(&mut seen, open.join_next().await)?;
            }
            sleep(INTERVAL).await;
        }
        while let Some(answer) = open.join_next().await {
            take(&mut seen, Some(answer))?;
        }
        Ok(seen)
    }
}

type Joined = Option<Result<Result<Answer, Failure>, tokio::task::JoinError>>;

fn take(seen: &mut Seen, joined: Joined) -> Result<(), Failure> {
    let Some(joined) = joined else { return Ok(()) };
    seen.requests += 1;
    match joined? {
        Ok(answer) if answer.status.is_success() => {
            seen.micros
                .record(u64::try_from(answer.time.as_micros())?)?;
            if let Some(version) = answer.version {
                let entry = seen.versions.entry(version).or_default();
                entry.0 += 1;
                entry.1 += answer.cost;
            }
        }
        Ok(answer) => seen
            .failed
            .push(format!("{}: {}", answer.status, answer.body)),
        Err(error) => seen.failed.push(error.to_string()),
    }
    Ok(())
}

async fn finish(request: reqwest::RequestBuilder) -> Result<Answer, Failure> {
    let start = Instant::now();
    let response = request.send().await?;
    let status = response.status();
    let header = |name: &str| {
        let value = response.headers().get(name)?.to_str().ok()?;
        Some(value.to_owned())
    };
    let version = header("masticlock-version");
    let cost = header("masticlock-cost").and_then(|text| text.parse().ok());
    let body = response.text().await?;
    if status.is_success() && body.contains("data: ") && !body.ends_with("data: [DONE]\n\n") {
        return Err("the stream has no end mark".into());
    }
    Ok(Answer {
        status,
        version,
        cost: cost.or_else(|| stream_cost(&body)).unwrap_or(0.0),
        body,
        time: start.elapsed(),
    })
}

/// Returns the cost that the usage chunk of a stream names.
fn stream_cost(body: &str) -> Option<f64> {
    let chunks = body.lines().filter_map(|line| line.strip_prefix("data: "));
    let mut usages = chunks.filter_map(|chunk| {
        let chunk: Value = serde_json::from_str(chunk).ok()?;
        chunk["usage"]["masticlock_cost"].as_f64()
    });
    usages.next_back()
}
