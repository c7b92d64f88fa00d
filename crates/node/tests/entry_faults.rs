//! Tests of an entry instance with upstreams that fail and callers that leave.

mod kit;

use std::time::Duration;

use futures_util::StreamExt;
use kit::{ask, content, eventually, messages, model, start};
use masticlock::{
    entry::RawLimits,
    fake::{Conduct, Deployment, KEY, Mode, Profile, text_of},
};
use masticlock_core::config::{Change, Restriction};
use reqwest::{Client, Response};
use serde_json::Value;

fn quick() -> RawLimits {
    RawLimits {
        first_byte_ms: 200,
        between_ms: 200,
        backoff_ms: 5,
        ..RawLimits::default()
    }
}

fn slow(tokens: u64) -> Profile {
    Profile {
        tokens,
        between: Duration::from_millis(5),
        ..Profile::default()
    }
}

/// Guards against streams with a gap, a duplicate or a second run after their
/// connection broke.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn broken_stream_is_resumed() {
    let breaks = Profile {
        break_after: Some(3),
        ..slow(14)
    };
    let deployment = start([breaks], quick()).await;
    let text = ask(&deployment, true).await.text().await.unwrap();
    let expected = text_of(&messages(), "advisor@1", 14);
    assert_eq!(content(&text), (expected, true), "{text}");
    let record = deployment.engines[0].record();
    assert_eq!(record.runs, 1);
    assert!(record.resumed >= 5, "{record:?}");
    assert_eq!(deployment.site.ledger.settled().len(), 1);
}

/// Guards against a clean end of a stream that can't be resumed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_without_offsets_ends_with_an_error_event() {
    let breaks = Profile {
        break_after: Some(3),
        no_offsets: true,
        ..slow(8)
    };
    let deployment = start([breaks], quick()).await;
    let text = ask(&deployment, true).await.text().await.unwrap();
    assert!(text.contains("event: error"), "{text}");
    assert!(text.contains("stream_broken"), "{text}");
    assert!(!text.contains("[DONE]"), "{text}");
    assert_eq!(deployment.site.ledger.settled().len(), 1);
}

/// Reads a stream and calls `fault` once its first bytes have come.
async fn read_with<F>(response: Response, fault: F) -> String
where
    F: FnOnce(),
{
    let mut fault = Some(fault);
    let mut bytes = Vec::new();
    let mut stream = response.bytes_stream();
    while let Some(chunk) = stream.next().await {
        bytes.extend_from_slice(&chunk.unwrap());
        if let Some(fault) = fault.take() {
            fault();
        }
    }
    String::from_utf8(bytes).unwrap()
}

/// Guards against streams that hang or break when an engine goes silent,
/// resets its connections or crashes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_moves_to_another_engine() {
    for fault in ["silence", "reset", "crash"] {
        let deployment = start([slow(40), slow(40)], quick()).await;
        let response = ask(&deployment, true).await;
        let text = read_with(response, || {
            let busy = deployment.engines.iter().find(|e| e.record().running > 0);
            let line = busy.unwrap().line();
            match fault {
                "silence" => line.silence(),
                "reset" => line.reset(),
                _ => line.crash(),
            }
        })
        .await;
        let expected = text_of(&messages(), "advisor@1", 40);
        assert_eq!(content(&text), (expected, true), "{fault}: {text}");
        eventually(|| deployment.site.fleet.used() == 0).await;
        assert_eq!(deployment.site.ledger.settled().len(), 1, "{fault}");
    }
}

/// Guards against a wrong "not run" and against errors without a time to come
/// back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusals_and_silence_have_the_right_error() {
    let mode = |mode| Profile {
        mode,
        ..Profile::default()
    };
    let cases = [
        (Mode::Refuses, 503, "overloaded", "not_run", true),
        (Mode::Silent, 502, "upstream_failed", "ran", true),
    ];
    for (bad, status, code, ran, has_retry) in cases {
        let deployment = start([mode(bad)], quick()).await;
        let response = ask(&deployment, false).await;
        assert_eq!(response.status(), status);
        assert_eq!(response.headers().contains_key("retry-after"), has_retry);
        let body: Value = response.json().await.unwrap();
        assert_eq!(body["error"]["code"], code);
        assert_eq!(body["error"]["ran"], ran);

        let deployment = start([mode(bad), mode(Mode::Answers)], quick()).await;
        for _ in 0..4 {
            assert_eq!(ask(&deployment, false).await.status(), 200, "{code}");
        }
    }
}

/// Guards against work for a caller that has left.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_of_a_caller_that_left_is_cancelled() {
    let deployment = start([slow(2_000)], quick()).await;
    let mut stream = ask(&deployment, true).await.bytes_stream();
    stream.next().await.unwrap().unwrap();
    drop(stream);
    eventually(|| deployment.engines[0].record().cancelled == 1).await;
    eventually(|| deployment.engines[0].record().running == 0).await;
    eventually(|| deployment.site.handle().active() == 0).await;
    assert_eq!(deployment.site.fleet.used(), 0);
    assert_eq!(deployment.site.ledger.settled().len(), 1);
}

/// Guards against a second run of a request with an idempotency key whose
/// caller lost its connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repeated_request_joins_the_running_stream() {
    let deployment = start([slow(60)], quick()).await;
    let keyed = || model(&deployment, true).header("idempotency-key", "q1");
    let mut stream = keyed().send().await.unwrap().bytes_stream();
    stream.next().await.unwrap().unwrap();
    drop(stream);
    let expected = text_of(&messages(), "advisor@1", 60);
    // The first repeat joins the running stream, the second one finds it complete.
    for _ in 0..2 {
        let text = keyed().send().await.unwrap().text().await.unwrap();
        assert_eq!(content(&text), (expected.clone(), true), "{text}");
    }
    let other = model(&deployment, false).header("idempotency-key", "q1");
    assert_eq!(other.send().await.unwrap().status(), 422);
    assert_eq!(deployment.engines[0].record().runs, 1);
    assert_eq!(deployment.site.ledger.settled().len(), 1);
}

async fn book(deployment: &Deployment, key: Option<&str>) -> Response {
    let mut request = Client::new()
        .post(format!("{}/services/booking/bookings", deployment.url()))
        .bearer_auth(KEY);
    if let Some(key) = key {
        request = request.header("idempotency-key", key);
    }
    request.send().await.unwrap()
}

/// Guards against a second run of a booking whose answer was lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn booking_with_a_lost_answer_is_not_sent_again() {
    let deployment = start([Profile::default()], quick()).await;
    deployment.service.set(Conduct {
        lose_answer: true,
        ..Conduct::default()
    });
    // The status lookup finds the booking of a key.
    for _ in 0..2 {
        assert_eq!(book(&deployment, Some("b1")).await.status(), 200);
    }
    let unknown = book(&deployment, None).await;
    assert_eq!(unknown.status(), 504);
    let body: Value = unknown.json().await.unwrap();
    assert_eq!(body["error"]["code"], "outcome_unknown");
    assert_eq!(body["error"]["repeat_safe"], false);
    let runs = deployment.service.bookings();
    assert!(runs.values().all(|&runs| runs == 1), "{runs:?}");
}

/// Guards against a claim that blocks a booking although no byte was sent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn booking_that_was_not_sent_frees_its_claim() {
    let deployment = start([Profile::default()], quick()).await;
    deployment.service.line().crash();
    // Before the port is closed a booking could still be sent.
    deployment.service.line().closed().await;
    for _ in 0..2 {
        let response = book(&deployment, Some("b1")).await;
        assert_eq!(response.status(), 503);
        let body: Value = response.json().await.unwrap();
        assert_eq!(body["error"]["code"], "no_upstream");
        assert_eq!(body["error"]["ran"], "not_run");
    }
}

/// Guards against calls that run at most once on an instance without a
/// majority.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cut_off_instance_refuses_bookings() {
    let deployment = start([Profile::default()], quick()).await;
    deployment.site.end_lease();
    let response = book(&deployment, Some("b1")).await;
    let body: Value = response.json().await.unwrap();
    assert_eq!(body["error"]["code"], "cut_off");
    assert_eq!(ask(&deployment, false).await.status(), 200);
    assert_eq!(deployment.service.runs("b1"), 0);
}

/// Guards against a session that changes its version, keeps a withdrawn one or
/// moves silently.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn session_moves_only_from_a_withdrawn_version() {
    let versions = ["advisor@1", "advisor@2"].map(|v| v.try_into().unwrap());
    let deployment = start(
        [Profile {
            versions: versions.to_vec(),
            ..Profile::default()
        }],
        quick(),
    )
    .await;
    let ask = async |session: &str| {
        let request = model(&deployment, false).header("masticlock-session", session);
        request.send().await.unwrap().headers().clone()
    };
    let first = ask("new").await;
    let token = first["masticlock-session"].to_str().unwrap();
    let again = ask(token).await;
    assert_eq!(again["masticlock-session"], token);
    assert!(!again.contains_key("masticlock-session-moved"));
    let withdraw = Restriction::Withdraw(versions[0].clone());
    deployment.site.change(&Change::Restrict(withdraw)).unwrap();
    let moved = ask(token).await;
    assert_eq!(moved["masticlock-session-moved"], "advisor@1 to advisor@2");
    assert_ne!(moved["masticlock-session"], token);
    let forged = model(&deployment, false).header("masticlock-session", format!("{token}0"));
    assert_eq!(forged.send().await.unwrap().status(), 400);
}

/// Guards against a cold engine that gets more than its cold limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cold_engine_gets_its_cold_limit_only() {
    let deployment = start(
        [Profile {
            warm: 64,
            cold: 2,
            is_cold: true,
            ..slow(10)
        }],
        quick(),
    )
    .await;
    let answers = futures_util::future::join_all((0..12).map(|_| ask(&deployment, false))).await;
    assert!(answers.iter().all(|answer| answer.status() == 200));
    let record = deployment.engines[0].record();
    assert_eq!((record.peak, record.refused), (2, 0));
}
