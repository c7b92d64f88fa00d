//! Rule LOST, with "Own ends": the traffic shifts to long requests, whose bodies are within the
//! operator's limit.

use std::{
    collections::BTreeSet,
    io::{self, BufReader, Write},
    net::{SocketAddrV4, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
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
const MEMORY_MB: u64 = 110;
const MAX_BODY: usize = 4_194_304;
const ENTRIES: usize = 3;
const TIMEOUT_MS: u64 = 20_000;

/// Clients of each entry process with short requests, and with long ones.
const SHORT_CLIENTS: usize = 21;
const LONG_CLIENTS: usize = 5;
const LENGTH: Duration = Duration::from_secs(100);
const TENANTS: usize = 6;

/// Kept channels that may be closed without an answer.
const ALLOWED: usize = 3;

fn key(at: usize) -> String {
    format!("n2ctnfzs989anu6wsj{:02}", at % TENANTS)
}

fn manifest() -> String {
    let tenants: Vec<_> = (0..TENANTS)
        .map(|at| format!(r#"{{"Name":"hule9{at}0","ApiKeys":["{}"],"Priority":1}}"#, key(at)))
        .collect();
    let tenants = tenants.join(",");
    format!(
        r#"{{"Revision":7,"Routes":[{{"Name":"r-report","Host":"ficu95.example","PathPrefix":"/report/","Type":"streaming","TimeoutMs":{TIMEOUT_MS},"TargetLatencyMs":2000,"Priority":0,"Backend":"{SERVICE}","MaxAttempts":3,"Public":false,"SessionAffinity":true,"StreamResume":true,"TargetItlMs":1200}}],"Backends":[{{"Name":"{SERVICE}","HealthCheck":"/healthz","MaxConnections":370,"Protocol":"h1","Tls":false,"ColdStartS":0.0,"ColdPerS":0.0,"Engine":{{"Slots":64,"KvCapacity":454661,"KvTokenBytes":35136,"LinkMbps":350000.0,"Migrations":true,"Replicas":true,"Stride":7,"most":12,"PinMs":4000.0,"HoldMs":2000.0,"HandleTtlS":5.0,"Models":[{{"Name":"daka510000","Cost":0.016}}]}}}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":{MAX_BODY},"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},"Tenants":[{tenants}]}}"#
    )
}

/// Reads the body and streams as many events as the path names.
fn stream(
    engine: &Engine,
    head: &Head,
    connection: &mut BufReader<TcpStream>,
    counts: &Counts,
) -> io::Result<()> {
    net::read_body(connection, head, false)?;
    let out = connection.get_mut();
    if engine.is_misdirected(head) {
        return out.write_all(engine.rejection("421 Misdirected Request", head).as_bytes());
    }
    let id = head.get("attempt-id").unwrap_or_default();
    counts.ran.lock().unwrap().insert(id.to_owned());
    let from: u64 = head.get("last-event-id").and_then(|n| n.parse().ok()).unwrap_or(0);
    let events: u64 = head.path().rsplit('/').next().and_then(|n| n.parse().ok()).unwrap_or(1);
    let framing = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked";
    out.write_all(engine.head("200 OK", head, framing).as_bytes())?;
    for number in from + 1..=events {
        let text = format!("id: {number}\ndata: {id} {number}\n\n");
        out.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        sleep(Duration::from_millis(23));
    }
    out.write_all(b"0\r\n\r\n")
}

/// Sends one request on a kept channel and returns the status and whether the answer was whole.
fn ask(
    reader: &mut BufReader<TcpStream>,
    id: &str,
    at: usize,
    events: u64,
    bytes: usize,
) -> io::Result<u16> {
    let head = format!(
        "POST /report/{events} HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: {id}\r\nModel: daka510000\r\n\
         Token-Usage: 1460,400\r\nPrefix-Hash: 5c1e07a2:800,{id}:660\r\nDeadline-Ms: {TIMEOUT_MS}\r\n\
         X-Api-Key: {}\r\nContent-Length: {bytes}\r\n\r\n",
        key(at)
    );
    let mut body = id.as_bytes().to_vec();
    body.resize(bytes, b'x');
    reader.get_mut().write_all(head.as_bytes())?;
    reader.get_mut().write_all(&body)?;
    let head = net::read_head(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    net::read_body(reader, &head, true)?;
    Ok(head.status())
}

/// Counts of what clients saw.
#[derive(Default)]
struct Counts {
    answered: AtomicUsize,
    refused: AtomicUsize,
    broken: AtomicUsize,
    /// Kept channels that ended without an answer to a request that an engine ran.
    lost: AtomicUsize,
    /// Requests that an engine ran.
    ran: Mutex<BTreeSet<String>>,
}

/// Sends requests one after the other until the end.
fn client(
    front: SocketAddrV4,
    at: usize,
    (events, bytes, pause): (u64, usize, Duration),
    until: Instant,
    counts: &Counts,
    record: &Record,
) {
    let mut channel: Option<BufReader<TcpStream>> = None;
    for number in 0.. {
        if Instant::now() >= until {
            return;
        }
        let id = format!("4b{at:04x}{number:06x}");
        let is_kept = channel.is_some();
        let opened = match channel.take() {
            Some(reader) => Ok(reader),
            None => TcpStream::connect(front).map(BufReader::new),
        };
        let answer = opened.and_then(|mut reader| {
            reader.get_ref().set_read_timeout(Some(Duration::from_secs(20)))?;
            let status = ask(&mut reader, &id, at, events, bytes)?;
            channel = Some(reader);
            Ok(status)
        });
        match answer {
            Ok(200) => counts.answered.fetch_add(1, Ordering::Relaxed),
            Ok(_) => counts.refused.fetch_add(1, Ordering::Relaxed),
            Err(_) => counts.broken.fetch_add(1, Ordering::Relaxed),
        };
        match answer {
            Ok(200) if bytes < 10_000 => {}
            Ok(status) => record.note(format!("client: {id} with {bytes} bytes got {status}")),
            Err(error) => {
                let has_run = counts.ran.lock().unwrap().contains(&id);
                if is_kept && has_run {
                    counts.lost.fetch_add(1, Ordering::Relaxed);
                }
                record.note(format!(
                    "client: {id} with {bytes} bytes was broken off: {error}; kept channel: {is_kept}, has run: {has_run}"
                ));
                sleep(Duration::from_millis(200));
            }
        }
        sleep(pause);
    }
}

pub fn play(record: Record, trouble: bool) -> io::Result<Verdict> {
    let sheet = Sheet { entries: ENTRIES, entry_memory_mb: MEMORY_MB };
    let mut deployment = Deployment::start(sheet, record.clone())?;
    deployment.order("POST", "/Config.Replace", &manifest())?;
    let counts = Arc::new(Counts::default());
    for at in 0..ENGINES {
        let counts = counts.clone();
        let handler = move |engine: &Engine, head: &Head, connection: &mut BufReader<TcpStream>| {
            stream(engine, head, connection, &counts)
        };
        Engine::start(&deployment, at, SERVICE, 64, None, Arc::new(handler))?;
    }
    deployment.await_ready()?;
    sleep(Duration::from_secs(3));
    let until = Instant::now() + LENGTH;
    let mut clients = Vec::new();
    for at in 0..ENTRIES * (SHORT_CLIENTS + LONG_CLIENTS) {
        let is_long = at >= ENTRIES * SHORT_CLIENTS;
        let bytes = if is_long && trouble { MAX_BODY } else { 1_000 };
        let shape = if is_long {
            (20, bytes, Duration::from_millis(900))
        } else {
            (160, bytes, Duration::from_millis(100))
        };
        let (front, counts, record) = (deployment.front(at % ENTRIES), counts.clone(), record.clone());
        clients.push(thread::spawn(move || client(front, at, shape, until, &counts, &record)));
        sleep(Duration::from_millis(20));
    }
    let is_over = AtomicBool::new(false);
    let mut ends = vec![0; ENTRIES];
    let mut peaks = vec![0; ENTRIES];
    let mut noted = Instant::now();
    while !is_over.load(Ordering::Relaxed) {
        for at in 0..ENTRIES {
            let resident = deployment.entries[at].resident();
            peaks[at] = peaks[at].max(resident >> 20);
            if resident > MEMORY_MB << 20 {
                ends[at] += 1;
                let process = &mut deployment.entries[at];
                record.note(format!(
                    "platform: {} uses {} MB of {MEMORY_MB} MB and is killed",
                    process.name,
                    resident >> 20
                ));
                process.kill();
                sleep(Duration::from_millis(500));
                process.start(&record)?;
            }
        }
        if noted.elapsed() >= Duration::from_secs(1) {
            noted = Instant::now();
            let used: Vec<_> = deployment.entries.iter().map(|p| p.resident() >> 20).collect();
            record.note(format!("platform: the entry processes use {used:?} MB"));
        }
        is_over.store(Instant::now() >= until, Ordering::Relaxed);
        sleep(Duration::from_millis(20));
    }
    let of = |count: &AtomicUsize| count.load(Ordering::Relaxed);
    Ok(Verdict {
        held: of(&counts.lost) <= ALLOWED,
        text: format!(
            "{} kept channels ended without an answer to a request that ran ({ALLOWED} are allowed); entry processes ended {ends:?} times over {MEMORY_MB} MB (peaks {peaks:?} MB); {} answered, {} refused, {} broken off",
            of(&counts.lost),
            of(&counts.answered),
            of(&counts.refused),
            of(&counts.broken)
        ),
    })
}
