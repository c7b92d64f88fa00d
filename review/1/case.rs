//! Requests that may run once only run twice when a model is not confident in its answer.

#[path = "../common/harness.rs"]
mod harness;

use std::{
    collections::BTreeMap,
    io::{self, Write},
    net::TcpStream,
    process::ExitCode,
    sync::{Arc, Mutex},
    thread,
};

use harness::*;

/// Path prefix of plain requests that must not be repeated and that a model answers.
const MODEL_BOOKINGS: &str = "/puxa404/";
const SMALLEST: &str = "daka510000";
const REQUESTS: usize = 20;

/// Identities of the requests with the servers that have run them.
type Runs = Arc<Mutex<BTreeMap<String, Vec<String>>>>;

fn main() -> ExitCode {
    main_with(
        "1",
        case,
        Shape {
            controls: 3,
            entries: 2,
        },
    )
}

fn serve(server: &Server, request: &Message, stream: &TcpStream, runs: &Runs) -> io::Result<bool> {
    let id = request.id().to_owned();
    let model = request.header("Model").unwrap_or("-").to_owned();
    runs.lock()
        .unwrap()
        .entry(id.clone())
        .or_default()
        .push(server.name());
    record(&format!(
        "server {} runs {id} with model {model}",
        server.name()
    ));
    thread::sleep(ms(60));
    let confidence = if has_trouble() && model == SMALLEST {
        20
    } else {
        95
    };
    if !request.path().starts_with(STREAMS) {
        answer(
            stream,
            200,
            &id,
            &format!("Confidence: {confidence}\r\n"),
            "booked",
        )?;
        return Ok(true);
    }
    let mut out = stream;
    write!(
        out,
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nUpstream-Signature: proof.{id}\r\nConfidence: {confidence}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )?;
    for number in 1..=10 {
        let event = format!("id: {number}\ndata: {id}.{number}\n\n");
        write!(out, "{:x}\r\n{event}\r\n", event.len())?;
        thread::sleep(ms(20));
    }
    write!(out, "0\r\n\r\n")?;
    Ok(true)
}

/// Returns the manifest with `Sizes` on a route of streams that may not be resumed and on one of
/// requests that are not idempotent.
fn manifest_with_sizes() -> String {
    let sizes = "\"Sizes\":[\"daka510000\",\"rada7437b5\",\"ravo486f6a\"]";
    let bookings = format!(
        "{{\"Name\":\"r-d\",\"Host\":\"{HOST}\",\"PathPrefix\":\"{MODEL_BOOKINGS}\",\"Type\":\"non_idempotent\",\
         \"TimeoutMs\":15000,\"TargetLatencyMs\":2000,\"Priority\":0,\"Backend\":\"{SLOW}\",\"MaxAttempts\":3,\
         \"Public\":false,\"SessionAffinity\":true,{sizes}}},"
    );
    manifest(7)
        .replace("\"StreamResume\":true", "\"StreamResume\":false")
        .replace(
            "\"Type\":\"streaming\",",
            &format!("\"Type\":\"streaming\",{sizes},"),
        )
        .replace("\"Routes\":[", &format!("\"Routes\":[{bookings}"))
}

fn case(deployment: &mut Deployment) -> io::Result<bool> {
    let runs = Runs::default();
    let mut servers = Vec::new();
    for at in 0..3 {
        let runs = runs.clone();
        let handler = move |server: &Server, request: &Message, stream: &TcpStream| {
            serve(server, request, stream, &runs)
        };
        servers.push(Server::start(
            deployment,
            at,
            &format!("i-llm{at}"),
            SLOW,
            "v1",
            64,
            Box::new(handler),
        )?);
    }
    deployment.configure(&manifest_with_sizes())?;
    thread::sleep(ms(2_000));
    for (kind, prefix) in [("aa", STREAMS), ("bb", MODEL_BOOKINGS)] {
        for number in 0..REQUESTS {
            let id = format!("{kind}{number:014x}");
            let headers = format!(
                "Model: *\r\nToken-Usage: 600,70\r\nPrefix-Hash: 5c1e07a2:400,{id}:200\r\n"
            );
            let text = request(&id, "POST", &format!("{prefix}2f"), 15_000, &headers, &id);
            record(&format!("client sends {id}, {prefix}"));
            match send(deployment.front(number % 2), &text, ms(16_000)) {
                Ending::Answer(answer) => {
                    record(&format!("client gets {} for {id}", answer.status))
                }
                Ending::Broken(_, error) => {
                    record(&format!("client gets no whole answer for {id}: {error}"))
                }
            }
        }
    }
    let runs = runs.lock().unwrap();
    if runs.len() < 2 * REQUESTS {
        return Err(io::Error::other("too few requests ran"));
    }
    let twice = |kind: &str| {
        runs.iter()
            .filter(|(id, ran)| id.starts_with(kind) && ran.len() > 1)
            .count()
    };
    record(&format!(
        "of {REQUESTS} streams that may not be resumed, {} ran more than once",
        twice("aa")
    ));
    record(&format!(
        "of {REQUESTS} requests that are not idempotent, {} ran more than once",
        twice("bb")
    ));
    Ok(twice("aa") + twice("bb") == 0)
}
