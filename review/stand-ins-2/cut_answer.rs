//! Rule MIXED, "An answer that ends early must not look complete": clients that read slowly, on
//! streams that last longer than their route's `TimeoutMs`.

use std::{
    io::{self, BufReader, Read, Write},
    net::{SocketAddrV4, TcpStream},
    sync::Arc,
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    deploy::{Deployment, Record, Sheet},
    engine::Engine,
    net::{self, Head},
};

const SERVICE: &str = "huvo11a";
const EVENTS: u64 = 400;
const EVENT_EVERY: Duration = Duration::from_millis(25);
const EVENT_BYTES: usize = 3_000;
const TIMEOUT_MS: u64 = 6_000;
const DEADLINE_MS: u64 = 20_000;
const CLIENTS: usize = 12;


/// How long before the time limit the first slow client stops reading, and the difference between two.
const FIRST_LEAD: Duration = Duration::from_millis(700);
const LEAD_STEP: Duration = Duration::from_millis(90);

/// How long after the time limit a slow client reads on.
const REST: Duration = Duration::from_millis(100);

fn manifest() -> String {
    format!(
        r#"{{"Revision":7,"Routes":[{{"Name":"r-report","Host":"ficu95.example","PathPrefix":"/report/","Type":"streaming","TimeoutMs":{TIMEOUT_MS},"TargetLatencyMs":2000,"Priority":0,"Backend":"{SERVICE}","MaxAttempts":3,"Public":false,"SessionAffinity":true,"StreamResume":true,"TargetItlMs":1200}}],"Backends":[{{"Name":"{SERVICE}","HealthCheck":"/healthz","MaxConnections":370,"Protocol":"h1","Tls":false,"ColdStartS":0.0,"ColdPerS":0.0,"Engine":{{"Slots":64,"KvCapacity":454661,"KvTokenBytes":35136,"LinkMbps":350000.0,"Migrations":true,"Replicas":true,"Stride":7,"most":12,"PinMs":4000.0,"HoldMs":2000.0,"HandleTtlS":5.0,"Models":[{{"Name":"daka510000","Cost":0.016}}]}}}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},"Tenants":[{{"Name":"hule930","ApiKeys":["n2ctnfzs989anu6wsjnb"],"Priority":1}}]}}"#
    )
}

/// Returns the text of an event; the last one says so.
fn event(id: &str, number: u64) -> String {
    let last = if number == EVENTS { "LAST" } else { "more" };
    let mut text = format!("id: {number}\ndata: {id} {number} of {EVENTS} {last} ");
    text.extend(std::iter::repeat_n('x', EVENT_BYTES.saturating_sub(text.len() + 2)));
    text + "\n\n"
}

/// Streams the events, and stops work at the deadline that the request names.
fn stream(engine: &Engine, head: &Head, connection: &mut BufReader<TcpStream>) -> io::Result<()> {
    net::read_body(connection, head, false)?;
    let out = connection.get_mut();
    if engine.is_misdirected(head) {
        return out.write_all(engine.rejection("421 Misdirected Request", head).as_bytes());
    }
    let id = head.get("attempt-id").unwrap_or_default().to_owned();
    let from = head.get("last-event-id").and_then(|n| n.parse().ok()).unwrap_or(0);
    let left = head.get("deadline-ms").and_then(|n| n.parse().ok()).unwrap_or(DEADLINE_MS);
    let until = Instant::now() + Duration::from_millis(left);
    engine.record.note(format!("engine {}: runs {id} from event {from}, {left} ms left", engine.id));
    // An engine cuts off a response that remains unread for some seconds.
    out.set_write_timeout(Some(Duration::from_secs(5)))?;
    let framing = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked";
    out.write_all(engine.head("200 OK", head, framing).as_bytes())?;
    for number in from + 1..=EVENTS {
        if Instant::now() >= until {
            engine.record.note(format!("engine {}: stops {id} at its deadline before event {number}", engine.id));
            return Err(io::ErrorKind::TimedOut.into());
        }
        let text = event(&id, number);
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        if let Err(error) = out.write_all(chunk.as_bytes()) {
            engine.record.note(format!("engine {}: its channel for {id} ended at event {number}: {error}", engine.id));
            return Err(error);
        }
        sleep(EVENT_EVERY);
    }
    engine.record.note(format!("engine {}: has completed {id}", engine.id));
    out.write_all(b"0\r\n\r\n")
}

/// Reads as a usual client, but for one pause.
struct Pausing {
    stream: TcpStream,
    /// Start of the pause and its length.
    pause: Option<(Instant, Duration)>,
}

impl Read for Pausing {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if let Some((_, length)) = self.pause.take_if(|(at, _)| Instant::now() >= *at) {
            sleep(length);
        }
        self.stream.read(buffer)
    }
}

/// What a client has got.
struct Got {
    status: u16,
    events: u64,
    has_last: bool,
    /// Whether the answer ended with the last chunk, as a complete one does.
    looks_complete: bool,
}

/// Sends a request and reads its answer. A slow client stops reading `lead` before the time limit.
fn ask(front: SocketAddrV4, id: &str, lead: Option<Duration>, record: &Record) -> io::Result<Got> {
    let mut stream = net::connect_small(front, 4_096)?;
    stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)))?;
    let head = format!(
        "POST /report/2f HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: {id}\r\nModel: daka510000\r\n\
         Token-Usage: 1460,3500\r\nPrefix-Hash: 5c1e07a2:800,{id}:660\r\nDeadline-Ms: {DEADLINE_MS}\r\n\
         X-Api-Key: n2ctnfzs989anu6wsjnb\r\nContent-Length: 2\r\n\r\n{{}}"
    );
    stream.write_all(head.as_bytes())?;
    let limit = Instant::now() + Duration::from_millis(TIMEOUT_MS);
    let pause = lead.map(|lead| (limit - lead, lead + REST));
    let pauses = lead.map_or(0, |l| (l + REST).as_millis());
    record.note(format!("client: sent {id}, will not read for {pauses} ms"));
    let mut reader = BufReader::with_capacity(1_024, Pausing { stream, pause });
    let head = net::read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let mut text = String::new();
    let end = loop {
        match net::read_chunk(&mut reader) {
            Ok(Some(chunk)) => text.push_str(&String::from_utf8_lossy(&chunk)),
            Ok(None) => break Ok(()),
            Err(error) => break Err(error),
        }
    };
    let got = Got {
        status: head.status(),
        events: text.matches("\n\n").count() as u64,
        has_last: text.contains(" LAST "),
        looks_complete: end.is_ok(),
    };
    record.note(format!(
        "client: {id} got {} with {} of {EVENTS} events, {}",
        got.status,
        got.events,
        match end {
            Ok(()) => "which ended with the last chunk, as a complete answer".to_owned(),
            Err(error) => format!("which was broken off: {error}"),
        }
    ));
    Ok(got)
}

pub fn play(record: Record, trouble: bool) -> io::Result<Verdict> {
    let sheet = Sheet { entries: 3, entry_memory_mb: 110 };
    let deployment = Deployment::start(sheet, record.clone())?;
    deployment.order("POST", "/Config.Replace", &manifest())?;
    for at in 0..3 {
        Engine::start(&deployment, at, SERVICE, 64, None, Arc::new(stream))?;
    }
    deployment.await_ready()?;
    sleep(Duration::from_secs(3));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|at| {
            let (front, record) = (deployment.front(at % 3), record.clone());
            let lead = trouble.then(|| FIRST_LEAD + LEAD_STEP * at as u32);
            thread::spawn(move || {
                sleep(Duration::from_millis(at as u64 * 97));
                ask(front, &format!("9c41d07be2a3{at:04x}"), lead, &record)
            })
        })
        .collect();
    let mut answers = Vec::new();
    for client in clients {
        match client.join() {
            Ok(Ok(got)) => answers.push(got),
            Ok(Err(error)) => record.note(format!("client: no answer: {error}")),
            Err(_) => return Err(io::Error::other("a client failed")),
        }
    }
    let successes = answers.iter().filter(|g| g.status == 200).count();
    if successes < CLIENTS / 2 {
        return Err(io::Error::other("too few answers began"));
    }
    let broken = answers.iter().filter(|g| g.status == 200 && g.looks_complete && !g.has_last);
    let broken: Vec<u64> = broken.map(|g| g.events).collect();
    Ok(Verdict {
        held: broken.is_empty(),
        text: format!(
            "{} of {successes} streams ended early as if complete, after {broken:?} of {EVENTS} events",
            broken.len()
        ),
    })
}
