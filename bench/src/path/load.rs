use std::{
    io,
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use reqwest::Client;
use tokio::runtime::Runtime;

/// Longest latency that is told apart, in microseconds.
const MAX_US: u64 = 60_000_000;
/// Longest wait for the answers after the last request.
const DRAIN: Duration = Duration::from_secs(20);

/// Requests at random times with a fixed mean rate (a Poisson process).
pub struct Load {
    pub url: String,
    pub key: String,
    pub body: String,
    /// Start of the idempotency keys.
    pub idempotency: Option<String>,
    pub rate: u64,
    pub count: u64,
    pub seed: u64,
}

/// Latencies in microseconds.
#[derive(Debug, Default)]
pub struct Times {
    histogram: Option<Histogram<u64>>,
    pub errors: u64,
}

impl Times {
    /// Returns the latency that a share `quantile` of the answers kept.
    pub fn quantile(&self, quantile: f64) -> u64 {
        self.histogram
            .as_ref()
            .map_or(0, |h| h.value_at_quantile(quantile))
    }

    /// Returns how many answers were measured.
    pub fn count(&self) -> u64 {
        self.histogram.as_ref().map_or(0, Histogram::len)
    }

    fn record(&mut self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_US);
        if let Some(histogram) = &mut self.histogram {
            histogram.saturating_record(micros.max(1));
        }
    }
}

impl Load {
    /// Sends the requests and waits for their answers.
    ///
    /// A latency counts from when the request was due, so that a slow answer
    /// doesn't hide the wait of the next ones.
    pub fn run(&self, runtime: &Runtime) -> io::Result<Times> {
        let client = Client::builder()
            .no_proxy()
            .tcp_nodelay(true)
            .build()
            .map_err(io::Error::other)?;
        let histogram = Histogram::new_with_bounds(1, MAX_US, 3).map_err(io::Error::other)?;
        let times = Arc::new(Mutex::new(Times {
            histogram: Some(histogram),
            errors: 0,
        }));
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let mut due = Instant::now();
        let mean =
            Duration::from_secs(1).as_secs_f64() / f64::from(u32::try_from(self.rate).unwrap_or(1));
        let mut last = None;
        for number in 0..self.count {
            let draw: f64 = rng.random_range(f64::EPSILON..1.0);
            due += Duration::from_secs_f64(-draw.ln() * mean);
            thread::sleep(due.saturating_duration_since(Instant::now()));
            let request = self.request(&client, number);
            let times = times.clone();
            last = Some(runtime.spawn(async move {
                let is_good = finish(request).await;
                let latency = due.elapsed();
                let mut times = times.lock().unwrap_or_else(PoisonError::into_inner);
                if is_good {
                    times.record(latency);
                } else {
                    times.errors += 1;
                }
            }));
        }
        drop(last);
        let end = Instant::now() + DRAIN;
        loop {
            let times = times.lock().unwrap_or_else(PoisonError::into_inner);
            let done = times.count() + times.errors;
            if done >= self.count || Instant::now() > end {
                return Ok(Times {
                    histogram: times.histogram.clone(),
                    errors: times.errors + self.count.saturating_sub(done),
                });
            }
            drop(times);
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn request(&self, client: &Client, number: u64) -> reqwest::RequestBuilder {
        let request = client
            .post(&self.url)
            .bearer_auth(&self.key)
            .header("content-type", "application/json")
            .body(self.body.clone());
        match &self.idempotency {
            Some(start) => request.header("idempotency-key", format!("{start}-{number}")),
            None => request,
        }
    }
}

/// Returns whether the request has a whole good answer.
async fn finish(request: reqwest::RequestBuilder) -> bool {
    match request.send().await {
        Ok(response) if response.status().is_success() => response.bytes().await.is_ok(),
        Ok(_) | Err(_) => false,
    }
}
