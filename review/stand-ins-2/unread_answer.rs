//! Rule LOST, "a machine in touch passes a request from a kept channel on to a sound engine and
//! closes that channel without an answer": clients that read slowly.

use std::{
    io::{self, BufReader, Write},
    net::{SocketAddrV4, TcpStream},
    sync::Arc,
    thread::{self, sleep},
    time::Duration,
};

use crate::{
    Verdict,
    deploy::{Deployment, Record, Sheet},
    engine::Engine,
    net::{self, Head},
};

const SERVICE: &str = "huvo11a";
const TIMEOUT_MS: u64 = 20_000;
const CLIENTS: usize = 9;

/// Most events of a stream, and most bytes of an event, of the site's largest kind of request.
const EVENTS: usize = 160;
const EVENT_BYTES: usize = 390;
const EVENT_EVERY: Duration = Duration::from_millis(23);

/// Events after which a slow client pauses, and the length of its pause.
const FIRST_EVENTS: usize = 10;
const PAUSE: Duration = Duration::from_secs(3);

/// Most channels that may be closed without an answer.
const ALLOWED: usize = 3;

fn manifest() -> String {
    format!(
        r#"{{"Revision":7,"Routes":[{{"Name":"r-report","Host":"ficu95.example","PathPrefix":"/report/","Type":"streaming","TimeoutMs":{TIMEOUT_MS},"TargetLatencyMs":2000,"Priority":0,"Backend":"{SERVICE}","MaxAttempts":3,"Public":false,"SessionAffinity":true,"StreamResume":true,"TargetItlMs":1200}}],"Backends":[{{"Name":"{SERVICE}","HealthCheck":"/healthz","MaxConnections":370,"Protocol":"h1","Tls":false,"ColdStartS":0.0,"ColdPerS":0.0,"Engine":{{"Slots":64,"KvCapacity":454661,"KvTokenBytes":35136,"LinkMbps":350000.0,"Migrations":true,"Replicas":true,"Stride":7,"most":12,"PinMs":4000.0,"HoldMs":2000.0,"HandleTtlS":5.0,"Models":[{{"Name":"daka510000","Cost":0.016}}]}}}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},"Tenants":[{{"Name":"hule930","ApiKeys":["n2ctnfzs989anu6wsjnb"],"Priority":1}}]}}"#
    )
}

/// Streams as many events as the path names.
fn run(engine: &Engine, head: &Head, connection: &mut BufReader<TcpStream>) -> io::Result<()> {
    net::read_body(connection, head, false)?;
    let out = connection.get_mut();
    if engine.is_misdirected(head) {
        return out.write_all(engine.rejection("421 Misdirected Request", head).as_bytes());
    }
    let id = head.get("attempt-id").unwrap_or_default();
    let from = head.get("last-event-id").and_then(|n| n.parse().ok()).unwrap_or(0);
    let events = head.path().rsplit('/').next().and_then(|n| n.parse().ok()).unwrap_or(1);
    engine.record.note(format!("engine {}: runs {id} from event {from}", engine.id));
    let framing = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked";
    out.write_all(engine.head("200 OK", head, framing).as_bytes())?;
    for number in from + 1..=events {
        let mut text = format!("id: {number}\ndata: {id} {number} of {events} ");
        text.extend(std::iter::repeat_n('x', EVENT_BYTES.saturating_sub(text.len() + 2)));
        text.push_str("\n\n");
        if let Err(error) = out.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()) {
            engine.record.note(format!("engine {}: its channel for {id} ended at event {number}: {error}", engine.id));
            return Err(error);
        }
        sleep(EVENT_EVERY);
    }
    engine.record.note(format!("engine {}: has completed {id}", engine.id));
    out.write_all(b"0\r\n\r\n")
}

/// Sends a request on a kept channel and returns the number of events of its answer.
fn ask(
    reader: &mut BufReader<TcpStream>,
    id: &str,
    events: usize,
    pause: Option<Duration>,
) -> io::Result<usize> {
    let head = format!(
        "POST /report/{events} HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: {id}\r\nModel: daka510000\r\n\
         Token-Usage: 11992,1200\r\nPrefix-Hash: 5c1e07a2:5382,{id}:6610\r\nDeadline-Ms: {TIMEOUT_MS}\r\n\
         X-Api-Key: n2ctnfzs989anu6wsjnb\r\nContent-Length: {}\r\n\r\n{id}",
        id.len()
    );
    reader.get_mut().write_all(head.as_bytes())?;
    let head = net::read_head(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    if head.status() != 200 {
        return Err(io::Error::other(format!("status {}", head.status())));
    }
    let mut got = 0;
    while let Some(chunk) = net::read_chunk(reader)? {
        got += String::from_utf8_lossy(&chunk).matches("\n\n").count();
        if let Some(pause) = pause.filter(|_| got == FIRST_EVENTS) {
            sleep(pause);
        }
    }
    if got < events {
        return Err(io::Error::other(format!("only {got} of {events} events")));
    }
    Ok(got)
}

/// Returns whether the second request of a channel was answered.
fn client(front: SocketAddrV4, at: usize, trouble: bool, record: &Record) -> io::Result<bool> {
    let stream = net::connect_small(front, 4_096)?;
    stream.set_read_timeout(Some(Duration::from_millis(TIMEOUT_MS)))?;
    let mut reader = BufReader::with_capacity(1_024, stream);
    let (first, second) = (format!("51c0{at:04x}01"), format!("51c0{at:04x}02"));
    ask(&mut reader, &first, 3, None)?;
    record.note(format!("client: {first} is answered, sends {second} on the same channel"));
    let answer = ask(&mut reader, &second, EVENTS, trouble.then_some(PAUSE));
    match &answer {
        Ok(events) => record.note(format!("client: {second} is answered with {events} events")),
        Err(error) => record.note(format!("client: {second} has no whole answer: {error}")),
    }
    Ok(answer.is_ok())
}

pub fn play(record: Record, trouble: bool) -> io::Result<Verdict> {
    let sheet = Sheet { entries: 3, entry_memory_mb: 110 };
    let deployment = Deployment::start(sheet, record.clone())?;
    deployment.order("POST", "/Config.Replace", &manifest())?;
    for at in 0..3 {
        Engine::start(&deployment, at, SERVICE, 64, None, Arc::new(run))?;
    }
    deployment.await_ready()?;
    sleep(Duration::from_secs(3));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|at| {
            let (front, record) = (deployment.front(at % 3), record.clone());
            thread::spawn(move || {
                sleep(Duration::from_millis(100 * at as u64));
                client(front, at, trouble, &record)
            })
        })
        .collect();
    let mut lost = 0;
    for client in clients {
        let answered = client.join().map_err(|_| io::Error::other("a client failed"))?;
        lost += usize::from(!answered?);
    }
    Ok(Verdict {
        held: lost <= ALLOWED,
        text: format!("{lost} of {CLIENTS} channels were closed without a whole answer ({ALLOWED} are allowed)"),
    })
}
