//! Callers for the tests of the request path.

use masticlock::{
    entry::RawLimits,
    fake::{Deployment, KEY, Plan, Profile},
};
use reqwest::{Client, RequestBuilder, Response};
use serde_json::{Value, json};

pub fn messages() -> Value {
    json!([{"role": "user", "content": "when do the palms flower?"}])
}

/// Returns a request for a model that is ready to be sent.
pub fn model(deployment: &Deployment, stream: bool) -> RequestBuilder {
    let body = json!({"model": "auto", "stream": stream, "messages": messages()});
    Client::new()
        .post(format!("{}/v1/chat/completions", deployment.url()))
        .bearer_auth(KEY)
        .json(&body)
}

pub async fn ask(deployment: &Deployment, stream: bool) -> Response {
    model(deployment, stream).send().await.unwrap()
}

/// Returns the content of a stream, and whether it ended with the end mark.
pub fn content(text: &str) -> (String, bool) {
    let data = text.lines().filter_map(|l| l.strip_prefix("data: "));
    let tokens = data
        .filter_map(|d| serde_json::from_str::<Value>(d).ok())
        .filter_map(|v| Some(v["choices"][0]["delta"]["content"].as_str()?.to_owned()));
    (tokens.collect(), text.ends_with("data: [DONE]\n\n"))
}

/// Starts a deployment with one engine for each profile.
pub async fn start<const N: usize>(engines: [Profile; N], limits: RawLimits) -> Deployment {
    let plan = Plan {
        engines: engines.into(),
        limits,
        ..Plan::default()
    };
    Deployment::start(plan).await.unwrap()
}

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics if it doesn't hold within some seconds.
pub async fn eventually<F>(condition: F)
where
    F: Fn() -> bool,
{
    for _ in 0..1_000 {
        if condition() {
            return;
        }
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    panic!("the condition doesn't hold after 5 s");
}
