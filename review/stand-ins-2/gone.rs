//! Rule GONE: engines crash, and the clients of their streams leave while the streams wait for room
//! at another engine.

use std::{
    collections::BTreeMap,
    io::{self, BufReader, Write},
    net::{Shutdown, SocketAddrV4, TcpStream},
    sync::{Arc, Mutex},
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
const ENGINES: usize = 12;

/// Engines that crash: a share of 0.17.
const CRASHED: usize = 2;

/// The largest requests that an engine's memory has room for.
const PER_ENGINE: usize = 6;
/// Some more clients than there is room for, in a burst.
const CLIENTS: usize = ENGINES * PER_ENGINE + 36;
const EVENT_EVERY: Duration = Duration::from_millis(50);
const TIMEOUT_MS: u64 = 20_000;

/// Time without an event after which a client leaves.
const PATIENCE: Duration = Duration::from_secs(1);

/// Time after a client has left from which on its request must not reach an engine.
const LATE: Duration = Duration::from_millis(500);

/// The "few" requests that may.
const ALLOWED: usize = 3;

fn manifest() -> String {
    format!(
        r#"{{"Revision":7,"Routes":[{{"Name":"r-report","Host":"ficu95.example","PathPrefix":"/report/","Type":"streaming","TimeoutMs":{TIMEOUT_MS},"TargetLatencyMs":2000,"Priority":0,"Backend":"{SERVICE}","MaxAttempts":3,"Public":false,"SessionAffinity":true,"StreamResume":true,"TargetItlMs":1200}}],"Backends":[{{"Name":"{SERVICE}","HealthCheck":"/healthz","MaxConnections":370,"Protocol":"h1","Tls":false,"ColdStartS":0.0,"ColdPerS":0.0,"Engine":{{"Slots":64,"KvCapacity":454661,"KvTokenBytes":35136,"LinkMbps":350000.0,"Migrations":true,"Replicas":true,"Stride":7,"most":12,"PinMs":4000.0,"HoldMs":2000.0,"HandleTtlS":5.0,"Models":[{{"Name":"daka510000","Cost":0.016}}]}}}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},"Tenants":[{{"Name":"hule930","ApiKeys":["n2ctnfzs989anu6wsjnb"],"Priority":1}}]}}"#
    )
}

/// When clients left, and the requests that reached an engine long after that.
#[derive(Default)]
struct Seen {
    left: BTreeMap<String, Instant>,
    late: Vec<(String, Duration)>,
}

/// Streams until the number of events that the path names.
fn stream(
    engine: &Engine,
    head: &Head,
    connection: &mut BufReader<TcpStream>,
    seen: &Mutex<Seen>,
) -> io::Result<()> {
    net::read_body(connection, head, false)?;
    let out = connection.get_mut();
    if engine.is_misdirected(head) {
        return out.write_all(engine.rejection("421 Misdirected Request", head).as_bytes());
    }
    let id = head.get("attempt-id").unwrap_or_default().to_owned();
    let from: u64 = head.get("last-event-id").and_then(|n| n.parse().ok()).unwrap_or(0);
    let events: u64 = head.path().rsplit('/').next().and_then(|n| n.parse().ok()).unwrap_or(1);
    let gone = {
        let mut seen = seen.lock().unwrap();
        let gone = seen.left.get(&id).map(Instant::elapsed);
        if let Some(gone) = gone.filter(|g| *g > LATE) {
            seen.late.push((id.clone(), gone));
        }
        gone
    };
    engine.record.note(match gone {
        Some(gone) => format!(
            "engine {}: runs {id} from event {from}, {} ms after its client has left",
            engine.id,
            gone.as_millis()
        ),
        None => format!("engine {}: runs {id} from event {from}", engine.id),
    });
    let framing = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked";
    out.write_all(engine.head("200 OK", head, framing).as_bytes())?;
    for number in from + 1..=events {
        let text = format!("id: {number}\ndata: {id} {number}\n\n");
        out.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        sleep(EVENT_EVERY);
    }
    out.write_all(b"0\r\n\r\n")
}

/// Sends a request and leaves after a pause, or at `leaves_at`.
fn client(
    front: SocketAddrV4,
    id: &str,
    events: u64,
    leaves_at: Option<Instant>,
    seen: &Mutex<Seen>,
    record: &Record,
) -> io::Result<()> {
    let mut stream = TcpStream::connect(front)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(TIMEOUT_MS)))?;
    let head = format!(
        "POST /report/{events} HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: {id}\r\nModel: daka510000\r\n\
         Token-Usage: 60000,1120\r\nPrefix-Hash: 5c1e07a2:5400,{id}:54600\r\nDeadline-Ms: {TIMEOUT_MS}\r\n\
         X-Api-Key: n2ctnfzs989anu6wsjnb\r\nContent-Length: {}\r\n\r\n{id}",
        id.len()
    );
    stream.write_all(head.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let head = net::read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    record.note(format!("client: {id} got {}", head.status()));
    if head.status() != 200 {
        return Ok(());
    }
    reader.get_ref().set_read_timeout(Some(PATIENCE))?;
    loop {
        let is_patient = leaves_at.is_none_or(|at| Instant::now() < at);
        match net::read_chunk(&mut reader) {
            Ok(None) => {
                record.note(format!("client: {id} is answered"));
                return Ok(());
            }
            Ok(Some(_)) if is_patient => {}
            Err(error) if error.kind() != io::ErrorKind::WouldBlock => {
                record.note(format!("client: {id} was broken off: {error}"));
                return Ok(());
            }
            _ => {
                let mut seen = seen.lock().unwrap();
                let _closed = reader.get_ref().shutdown(Shutdown::Both);
                seen.left.insert(id.to_owned(), Instant::now());
                drop(reader);
                record.note(format!("client: {id} leaves and closes its channel"));
                return Ok(());
            }
        }
    }
}

pub fn play(record: Record, trouble: bool) -> io::Result<Verdict> {
    let sheet = Sheet { entries: 3, entry_memory_mb: 110 };
    let deployment = Deployment::start(sheet, record.clone())?;
    deployment.order("POST", "/Config.Replace", &manifest())?;
    let seen = Arc::new(Mutex::new(Seen::default()));
    let mut engines = Vec::new();
    for at in 0..ENGINES {
        let seen = seen.clone();
        let handler = move |engine: &Engine, head: &Head, connection: &mut BufReader<TcpStream>| {
            stream(engine, head, connection, &seen)
        };
        engines.push(Engine::start(&deployment, at, SERVICE, 64, None, Arc::new(handler))?);
    }
    deployment.await_ready()?;
    sleep(Duration::from_secs(3));
    let leaves_at = Instant::now() + Duration::from_secs(8);
    let mut clients = Vec::new();
    for at in 0..CLIENTS {
        let (front, seen, record) = (deployment.front(at % 3), seen.clone(), record.clone());
        let leaves_at = (!trouble && at < CRASHED * PER_ENGINE).then_some(leaves_at);
        clients.push(thread::spawn(move || {
            // Most streams last for 12 s.
            client(front, &format!("7d{at:04x}"), 240, leaves_at, &seen, &record)
        }));
        sleep(Duration::from_millis(50));
    }
    sleep(leaves_at.saturating_duration_since(Instant::now() + PATIENCE));
    if trouble {
        for engine in &engines[..CRASHED] {
            engine.crash();
        }
    }
    for client in clients {
        match client.join() {
            Ok(Ok(())) => {}
            Ok(Err(error)) => record.note(format!("client: no answer: {error}")),
            Err(_) => return Err(io::Error::other("a client failed")),
        }
    }
    sleep(Duration::from_secs(2));
    let seen = seen.lock().unwrap();
    if seen.left.len() < CRASHED * 3 {
        return Err(io::Error::other(format!("only {} clients left", seen.left.len())));
    }
    let longest = seen.late.iter().map(|l| l.1.as_millis()).max().unwrap_or(0);
    Ok(Verdict {
        held: seen.late.len() <= ALLOWED,
        text: format!(
            "{} requests of {} clients that had left reached an engine over {} ms later, up to {longest} ms",
            seen.late.len(),
            seen.left.len(),
            LATE.as_millis()
        ),
    })
}
