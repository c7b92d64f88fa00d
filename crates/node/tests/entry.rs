//! Tests of the request path of an entry instance with fake upstreams.

mod kit;

use kit::{ask, content, eventually, messages, start};
use masticlock::{
    entry::RawLimits,
    fake::{KEY, Profile, text_of},
};
use reqwest::Client;
use serde_json::Value;

/// Guards against answers without the headers that callers rely on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn plain_answer_has_headers_and_one_bill() {
    let deployment = start([Profile::default()], RawLimits::default()).await;
    let response = ask(&deployment, false).await;
    assert_eq!(response.status(), 200);
    for (name, value) in [
        ("masticlock-model", "advisor"),
        ("masticlock-version", "advisor@1"),
        ("masticlock-cost", "26"),
    ] {
        assert_eq!(response.headers()[name], value);
    }
    let answer: Value = response.json().await.unwrap();
    let text = text_of(&messages(), "advisor@1", 8);
    assert_eq!(answer["choices"][0]["message"]["content"], text);
    let bills = deployment.site.ledger.settled();
    assert_eq!(bills.len(), 1);
    assert_eq!(bills[0].cost(), 26);
    eventually(|| deployment.site.fleet.used() == 0).await;
    let counts = deployment.site.evidence.read(|pool| pool.total(|_| true));
    assert_eq!((counts.started, counts.completed, counts.errors), (1, 1, 0));
}

/// Guards against a stream with gaps, duplicates, no cost or no end mark.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streamed_answer_is_whole() {
    let deployment = start([Profile::default()], RawLimits::default()).await;
    let response = ask(&deployment, true).await;
    assert_eq!(response.headers()["content-type"], "text/event-stream");
    let text = response.text().await.unwrap();
    let expected = text_of(&messages(), "advisor@1", 8);
    assert_eq!(content(&text), (expected, true), "{text}");
    assert!(text.contains("\"masticlock_cost\":26"), "{text}");
    assert_eq!(deployment.site.ledger.settled().len(), 1);
}

/// Guards against a booking that a repeated request runs again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn booking_runs_once() {
    let deployment = start([Profile::default()], RawLimits::default()).await;
    for _ in 0..3 {
        let response = Client::new()
            .post(format!("{}/services/booking/bookings", deployment.url()))
            .bearer_auth(KEY)
            .header("idempotency-key", "b1")
            .body("{\"climber\": 7}")
            .send()
            .await
            .unwrap();
        assert_eq!(response.status(), 201);
        let answer: Value = response.json().await.unwrap();
        assert_eq!(answer["booked"], "b1");
    }
    assert_eq!(deployment.service.runs("b1"), 1);
}
