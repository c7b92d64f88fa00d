//! Servers get streams whose clients left while the streams waited for another server.

#[path = "../common/harness.rs"]
mod harness;

use std::{
    collections::HashMap,
    io::{self, Write},
    net::{Shutdown, TcpStream},
    process::ExitCode,
    sync::{Arc, Mutex, atomic::Ordering},
    thread,
};

use harness::*;

/// Requests that a server runs at once; it turns others away.
const SLOTS: u32 = 12;
/// Servers of the service; one of them, a quarter, crashes.
const SERVERS: usize = 4;
/// Streams that are already running when the last ones begin: all but one server is full.
const FIRST_STREAMS: usize = (SERVERS - 1) * SLOTS as usize;
/// Streams whose clients leave: a quarter of all clients.
const LAST_STREAMS: usize = SLOTS as usize;
/// Time after which those clients leave.
const PATIENCE_MS: u64 = 1_400;
const EVENTS: u64 = 70;
const EVENT_MS: u64 = 100;

type Arrivals = Arc<Mutex<Vec<(u64, String, String)>>>;

fn main() -> ExitCode {
    main_with(
        "trials",
        case,
        Shape {
            controls: 3,
            entries: 2,
        },
    )
}

fn serve(
    server: &Server,
    request: &Message,
    stream: &TcpStream,
    arrivals: &Arrivals,
) -> io::Result<bool> {
    let id = request.id().to_owned();
    if server.running.fetch_add(1, Ordering::SeqCst) >= SLOTS {
        server.running.fetch_sub(1, Ordering::SeqCst);
        let mut out = stream;
        write!(
            out,
            "HTTP/1.1 503 x\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        )?;
        return Ok(true);
    }
    let result = run(server, request, stream, arrivals);
    server.running.fetch_sub(1, Ordering::SeqCst);
    result
}

fn run(
    server: &Server,
    request: &Message,
    stream: &TcpStream,
    arrivals: &Arrivals,
) -> io::Result<bool> {
    let id = request.id().to_owned();
    let number = request.header("Last-Event-Id").and_then(|n| n.parse().ok());
    let from: u64 = number.unwrap_or(0);
    let events = if id.starts_with("aa") { 3 } else { EVENTS };
    arrivals
        .lock()
        .unwrap()
        .push((now_ms(), id.clone(), server.name()));
    record(&format!(
        "server {} runs {id} from event {}",
        server.name(),
        from + 1
    ));
    thread::sleep(ms(100));
    let mut out = stream;
    write!(
        out,
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nUpstream-Signature: proof.{id}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )?;
    for number in from + 1..=events {
        let event = format!("id: {number}\ndata: {id}.{number}\n\n");
        write!(out, "{:x}\r\n{event}\r\n", event.len())?;
        thread::sleep(ms(EVENT_MS));
    }
    write!(out, "0\r\n\r\n")?;
    Ok(true)
}

fn case(deployment: &mut Deployment) -> io::Result<bool> {
    let arrivals = Arrivals::default();
    let mut servers = Vec::new();
    for at in 0..SERVERS {
        let arrivals = arrivals.clone();
        let handler = move |server: &Server, request: &Message, stream: &TcpStream| {
            serve(server, request, stream, &arrivals)
        };
        let id = format!("i-llm{at}");
        servers.push(Server::start(
            deployment,
            at,
            &id,
            SLOW,
            "v1",
            SLOTS,
            Box::new(handler),
        )?);
    }
    deployment.configure(&manifest(7))?;
    thread::sleep(ms(2_000));
    let text = |id: &str| {
        let headers = format!(
            "Model: daka510000\r\nToken-Usage: 600,400\r\nPrefix-Hash: 5c1e07a2:400,{id}:200\r\n"
        );
        request(id, "POST", &format!("{STREAMS}2f"), 20_000, &headers, id)
    };
    for number in 0..4 {
        let id = format!("aa{number:014x}");
        if let Ending::Broken(_, error) = send(deployment.front(number % 2), &text(&id), ms(5_000))
        {
            return Err(io::Error::other(format!(
                "the first requests fail: {error}"
            )));
        }
    }
    thread::sleep(ms(600));
    let mut clients = Vec::new();
    let open = |number: usize| -> io::Result<(String, TcpStream, u64)> {
        let id = format!("{number:016x}");
        let stream = TcpStream::connect(deployment.front(number % 2))?;
        (&stream).write_all(text(&id).as_bytes())?;
        record(&format!("client sends {id}"));
        Ok((id, stream, now_ms()))
    };
    for number in 0..FIRST_STREAMS {
        clients.push(open(number)?);
        thread::sleep(ms(40));
    }
    thread::sleep(ms(600));
    for number in FIRST_STREAMS..FIRST_STREAMS + LAST_STREAMS {
        clients.push(open(number)?);
        thread::sleep(ms(20));
    }
    thread::sleep(ms(500));
    let last: Vec<_> = clients.split_off(FIRST_STREAMS);
    // The server that runs most of the last streams crashes.
    let most = {
        let arrivals = arrivals.lock().unwrap();
        let runs = |name: &str| {
            let of_last = |id: &str| last.iter().any(|(last, _, _)| last == id);
            arrivals
                .iter()
                .filter(|(_, id, server)| server == name && of_last(id))
                .count()
        };
        let counts: Vec<_> = servers.iter().map(|s| runs(&s.name())).collect();
        record(&format!("the servers run {counts:?} of the last streams"));
        (0..SERVERS).max_by_key(|at| counts[*at]).unwrap_or(0)
    };
    if has_trouble() {
        servers[most].crash();
        record(&format!("server {} crashes", servers[most].name()));
    }
    let mut left = HashMap::new();
    for (id, stream, sent) in last {
        thread::sleep(ms((sent + PATIENCE_MS).saturating_sub(now_ms())));
        stream.shutdown(Shutdown::Both)?;
        record(&format!("client of {id} closes its channel"));
        left.insert(id, now_ms());
    }
    thread::sleep(ms(3_200));
    if has_trouble() {
        servers[most].restart("i-new")?;
        record("the crashed server is back as i-new");
    }
    thread::sleep(ms(7_000));
    let arrivals = arrivals.lock().unwrap();
    let late = arrivals
        .iter()
        .filter(|(at, id, _)| left.get(id).is_some_and(|left| *at > left + 500));
    let late = late.count();
    record(&format!(
        "{late} requests reached a server over 500 ms after their clients had left"
    ));
    Ok(late <= 3)
}
