//! Rule LOST, "a machine in touch passes a request from a kept channel on to a sound engine and
//! closes that channel without an answer": clients that read slowly.

use std::{
    io::{self, BufReader, Read, Write},
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

const SERVICE: &str = "wuno96b";
const TIMEOUT_MS: u64 = 10_000;
const ANSWER_BYTES: usize = 400_000;
const CLIENTS: usize = 9;

/// Bytes after which a slow client pauses, and the length of its pause.
const FIRST_BYTES: usize = 20_000;
const PAUSE: Duration = Duration::from_secs(3);

/// Most channels that may be closed without an answer.
const ALLOWED: usize = 3;

fn manifest() -> String {
    format!(
        r#"{{"Revision":7,"Routes":[{{"Name":"r-export","Host":"ficu95.example","PathPrefix":"/export/","Type":"non_idempotent","TimeoutMs":{TIMEOUT_MS},"TargetLatencyMs":300,"Priority":0,"Backend":"{SERVICE}","MaxAttempts":1,"Public":false}}],"Backends":[{{"Name":"{SERVICE}","HealthCheck":"/healthz","MaxConnections":110,"Protocol":"h1","Tls":false,"ColdStartS":0.0,"ColdPerS":0.0}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},"Tenants":[{{"Name":"hule930","ApiKeys":["n2ctnfzs989anu6wsjnb"],"Priority":1}}]}}"#
    )
}

/// Runs a request and answers with as many bytes as its path names.
fn run(engine: &Engine, head: &Head, connection: &mut BufReader<TcpStream>) -> io::Result<()> {
    net::read_body(connection, head, false)?;
    let out = connection.get_mut();
    if engine.is_misdirected(head) {
        return out.write_all(engine.rejection("421 Misdirected Request", head).as_bytes());
    }
    let id = head.get("attempt-id").unwrap_or_default();
    let length = head.path().rsplit('/').next().and_then(|n| n.parse().ok()).unwrap_or(800);
    engine.record.note(format!("engine {}: runs {id}, answers with {length} bytes", engine.id));
    sleep(Duration::from_millis(20));
    let framing = format!("Content-Length: {length}");
    out.write_all(engine.head("200 OK", head, &framing).as_bytes())?;
    out.write_all(&vec![b'x'; length])
}

/// Sends a request on a kept channel and returns the body of its answer.
fn ask(
    reader: &mut BufReader<TcpStream>,
    id: &str,
    length: usize,
    pause: Option<Duration>,
) -> io::Result<usize> {
    let head = format!(
        "POST /export/{length} HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: {TIMEOUT_MS}\r\n\
         X-Api-Key: n2ctnfzs989anu6wsjnb\r\nContent-Length: 2\r\n\r\n{{}}"
    );
    reader.get_mut().write_all(head.as_bytes())?;
    let head = net::read_head(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    if head.status() != 200 {
        return Err(io::Error::other(format!("status {}", head.status())));
    }
    let mut body = vec![0; head.length().unwrap_or_default()];
    let first = body.len().min(FIRST_BYTES);
    reader.read_exact(&mut body[..first])?;
    if let Some(pause) = pause {
        sleep(pause);
    }
    reader.read_exact(&mut body[first..])?;
    Ok(body.len())
}

/// Returns whether the second request of a channel was answered.
fn client(front: SocketAddrV4, at: usize, trouble: bool, record: &Record) -> io::Result<bool> {
    let stream = net::connect_small(front, 16_384)?;
    stream.set_read_timeout(Some(Duration::from_millis(TIMEOUT_MS)))?;
    let mut reader = BufReader::new(stream);
    let (first, second) = (format!("51c0{at:04x}01"), format!("51c0{at:04x}02"));
    ask(&mut reader, &first, 800, None)?;
    record.note(format!("client: {first} is answered, sends {second} on the same channel"));
    let answer = ask(&mut reader, &second, ANSWER_BYTES, trouble.then_some(PAUSE));
    match &answer {
        Ok(bytes) => record.note(format!("client: {second} is answered with {bytes} bytes")),
        Err(error) => record.note(format!("client: {second} has no whole answer: {error}")),
    }
    Ok(answer.is_ok())
}

pub fn play(record: Record, trouble: bool) -> io::Result<Verdict> {
    let sheet = Sheet { entries: 3, entry_memory_mb: 110 };
    let deployment = Deployment::start(sheet, record.clone())?;
    deployment.order("POST", "/Config.Replace", &manifest())?;
    for at in 0..3 {
        Engine::start(&deployment, at, SERVICE, 6, None, Arc::new(run))?;
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
