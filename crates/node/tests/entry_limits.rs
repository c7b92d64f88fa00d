//! Tests of the limits on callers and of the graceful stop.

mod kit;

use std::time::Duration;

use futures_util::future::{join_all, pending, ready};
use kit::{ask, content, eventually, messages, model, start};
use masticlock::{
    entry::RawLimits,
    fake::{Deployment, Profile, settings, text_of},
};
use reqwest::Client;
use serde_json::Value;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

const LIMITS: RawLimits = RawLimits {
    head_bytes: 2_048,
    body_bytes: 4_096,
    receive_ms: 200,
    stall_ms: 200,
    idle_ms: 300,
    connections: 8,
    notice_ms: 50,
    stop_ms: 5_000,
    connect_ms: 1_000,
    first_byte_ms: 10_000,
    between_ms: 5_000,
    total_ms: 60_000,
    hedge_ms: 0,
    backoff_ms: 50,
    attempts: 4,
    certainty: 0.5,
    answer_bytes: 1_024 * 1_024,
};

async fn connect(deployment: &Deployment) -> TcpStream {
    TcpStream::connect(deployment.site.handle().address())
        .await
        .unwrap()
}

/// Returns what the instance sends until it closes the connection.
async fn rest(mut stream: TcpStream) -> String {
    let mut bytes = Vec::new();
    let reading = stream.read_to_end(&mut bytes);
    timeout(Duration::from_secs(5), reading)
        .await
        .expect("the connection stays open")
        .unwrap();
    String::from_utf8(bytes).unwrap()
}

const HEAD: &str = "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\n\
                    authorization: Bearer mill-key\r\n";

/// Guards against callers that hold connections or memory with oversized or
/// slow input, and against refusals without a clear error.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn oversized_and_slow_input_has_a_clear_error() {
    let deployment = start([Profile::default()], LIMITS).await;
    let long = "x".repeat(3_000);
    let body = "x".repeat(5_000);
    let cases = [
        ("long head", format!("{HEAD}x: {long}"), "headers_too_large"),
        ("slow head", HEAD.to_owned(), "request_timeout"),
        (
            "long body",
            format!("{HEAD}content-length: 5000\r\n\r\n{body}"),
            "body_too_large",
        ),
        (
            "long body of unknown length",
            format!("{HEAD}transfer-encoding: chunked\r\n\r\n1388\r\n{body}\r\n0\r\n\r\n"),
            "body_too_large",
        ),
        (
            "slow body",
            format!("{HEAD}content-length: 50\r\n\r\n{{"),
            "request_timeout",
        ),
    ];
    for (case, input, code) in cases {
        let mut stream = connect(&deployment).await;
        stream.write_all(input.as_bytes()).await.unwrap();
        let answer = rest(stream).await;
        assert!(answer.contains(code), "{case}: {answer}");
        assert!(answer.contains("\"not_run\""), "{case}: {answer}");
    }
    assert_eq!(ask(&deployment, false).await.status(), 200);
}

/// Guards against a head that trickles in and never ends.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn trickling_head_is_cut_at_its_limit() {
    let deployment = start([Profile::default()], LIMITS).await;
    let mut stream = connect(&deployment).await;
    let begun = Instant::now();
    while stream.write_all(b"x").await.is_ok() && begun.elapsed() < Duration::from_secs(4) {
        sleep(Duration::from_millis(20)).await;
    }
    assert!(begun.elapsed() < Duration::from_secs(3));
}

/// Guards against idle connections and connections above the limit that stay
/// open.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idle_and_surplus_connections_are_closed() {
    let deployment = start([Profile::default()], LIMITS).await;
    let mut streams = Vec::new();
    for _ in 0..12 {
        streams.push(connect(&deployment).await);
    }
    let mut refused = 0;
    for stream in streams {
        let answer = rest(stream).await;
        assert!(
            answer.is_empty() || answer.contains("overloaded"),
            "{answer}"
        );
        refused += usize::from(!answer.is_empty());
    }
    // The two announcers may have connections as well.
    assert!((4..=6).contains(&refused), "{refused} of 12 were refused");
}

/// Guards against a caller that doesn't read its answer and keeps a slot.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn caller_that_takes_no_bytes_is_dropped() {
    let endless = Profile {
        tokens: 1_000_000,
        ..Profile::default()
    };
    let deployment = start([endless], LIMITS).await;
    let mut stream = connect(&deployment).await;
    let body = r#"{"model": "auto", "stream": true, "messages": []}"#;
    let length = body.len();
    let request = format!("{HEAD}content-length: {length}\r\n\r\n{body}");
    stream.write_all(request.as_bytes()).await.unwrap();
    eventually(|| deployment.engines[0].record().running == 1).await;
    eventually(|| deployment.engines[0].record().running == 0).await;
    eventually(|| deployment.site.fleet.used() == 0).await;
    // The cancellation is a request of its own, which may arrive after the connection has ended.
    eventually(|| deployment.engines[0].record().cancelled > 0).await;
}

/// Guards against bad requests that reach an engine or have a vague error.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bad_requests_are_refused() {
    let deployment = start([Profile::default()], RawLimits::default()).await;
    let header = |name: &str, value: &str| model(&deployment, false).header(name, value);
    let json = |body: &str| model(&deployment, false).body(body.to_owned());
    let path = |path: &str| Client::new().get(format!("{}{path}", deployment.url()));
    let cases = [
        (path("/services/booking/bookings/1"), 401, "unauthorized"),
        (path("/v2"), 404, "not_found"),
        (
            path("/services/none/x").bearer_auth("mill-key"),
            404,
            "not_found",
        ),
        (
            path("/services/booking/x").bearer_auth("bad"),
            401,
            "unauthorized",
        ),
        (header("masticlock-quality", "2"), 400, "bad_request"),
        (
            header("masticlock-quality", "0.99"),
            422,
            "quality_unreachable",
        ),
        (header("masticlock-deadline-ms", "soon"), 400, "bad_request"),
        (header("masticlock-deadline-ms", "0"), 400, "bad_request"),
        (
            header("masticlock-session", "x/y/z"),
            400,
            "session_invalid",
        ),
        (header("idempotency-key", ""), 400, "bad_request"),
        (json("[]"), 400, "bad_request"),
        (json("{\"model\": \"auto\"}"), 400, "bad_request"),
        (
            json("{\"model\": \"none\", \"messages\": []}"),
            403,
            "forbidden",
        ),
    ];
    for (request, status, code) in cases {
        let response = request.send().await.unwrap();
        assert_eq!(response.status(), status, "{code}");
        let body: Value = response.json().await.unwrap();
        assert_eq!(body["error"]["code"], code, "{body}");
        assert_eq!(body["error"]["ran"], "not_run", "{body}");
    }
    assert_eq!(deployment.engines[0].record().runs, 0);
}

/// Guards against settings under which an instance refuses or holds everything.
#[test]
fn settings_out_of_range_are_refused() {
    type Change = fn(&mut RawLimits);
    let cases: [(&str, Change); 4] = [
        ("limits.total_ms", |l| l.total_ms = 0),
        ("limits.attempts", |l| l.attempts = 0),
        ("limits.connections", |l| l.connections = 0),
        ("limits.certainty", |l| l.certainty = 1.5),
    ];
    for (field, change) in cases {
        let mut limits = LIMITS;
        change(&mut limits);
        let error = settings(limits).unwrap_err().to_string();
        assert!(error.contains(field), "{error}");
    }
}

fn slow(tokens: u64) -> Profile {
    Profile {
        tokens,
        between: Duration::from_millis(10),
        ..Profile::default()
    }
}

/// Guards against a planned stop that interrupts requests or streams.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn graceful_stop_finishes_everything() {
    let limits = RawLimits {
        connections: 200,
        ..LIMITS
    };
    let deployment = start([slow(40)], limits).await;
    let url = deployment.url();
    let streams = join_all((0..30).map(|_| ask(&deployment, true))).await;
    assert!(deployment.site.handle().active() >= 30);
    let engines = (deployment.engines, deployment.announcers);
    let stop = tokio::spawn(deployment.site.into_handle().stop(pending()));
    sleep(Duration::from_millis(20)).await;
    let ready_check = Client::new().get(format!("{url}/readyz")).send().await;
    assert_eq!(ready_check.unwrap().status(), 503);
    let expected = text_of(&messages(), "advisor@1", 40);
    for text in join_all(streams.into_iter().map(reqwest::Response::text)).await {
        assert_eq!(content(&text.unwrap()), (expected.clone(), true));
    }
    assert_eq!(stop.await.unwrap(), 0);
    assert!(Client::new().get(&url).send().await.is_err());
    drop(engines);
}

/// Guards against a second signal that doesn't end the instance, or that ends
/// streams cleanly.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn second_signal_reports_what_was_cut() {
    let deployment = start([slow(2_000)], LIMITS).await;
    let streams = join_all((0..3).map(|_| ask(&deployment, true))).await;
    let engines = (deployment.engines, deployment.announcers);
    let stop = tokio::spawn(deployment.site.into_handle().stop(ready(())));
    for text in join_all(streams.into_iter().map(reqwest::Response::text)).await {
        let text = text.unwrap();
        assert!(text.contains("event: error"), "{text}");
        assert!(!text.contains("[DONE]"), "{text}");
    }
    assert_eq!(stop.await.unwrap(), 3);
    drop(engines);
}
