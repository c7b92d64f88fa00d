//! An entry process answers nobody while a few servers send interim heads without end.

#[path = "../common/harness.rs"]
mod harness;

use std::{
    io::{self, Write},
    net::TcpStream,
    process::ExitCode,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::Instant,
};

use harness::*;

const SERVERS: usize = 4;
/// Servers that spoil answers: half of them.
const SPOILING_SERVERS: usize = 2;
/// At most this part of such a server's answers is spoiled.
const SPOILED_SHARE: f64 = 0.05;
/// Spoiled answers at the same time.
const SPOILED: u32 = 6;
/// Bytes in a millisecond of each: all of them stay within 1,000 Mbit/s, the link of a machine.
const BYTES_PER_MS: u64 = 18_000;
const BOOKED: usize = 60;
const TIMEOUT_MS: u64 = 800;

#[derive(Default)]
struct Answers {
    all: AtomicU32,
    spoiled: AtomicU32,
}

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

/// Sends interim heads until the caller closes.
fn spoil(stream: &TcpStream) -> io::Result<()> {
    let heads = "HTTP/1.1 100 \r\n\r\n".repeat(1_200);
    let began = Instant::now();
    let mut sent = 0;
    while began.elapsed() < ms(20_000) {
        (&mut &*stream).write_all(heads.as_bytes())?;
        sent += heads.len() as u64;
        let now = began.elapsed().as_millis() as u64;
        thread::sleep(ms((sent / BYTES_PER_MS).saturating_sub(now)));
    }
    Ok(())
}

fn serve(
    server: &Server,
    request: &Message,
    stream: &TcpStream,
    answers: Option<&Answers>,
    spoiled: &AtomicU32,
) -> io::Result<bool> {
    let id = request.id();
    if let Some(answers) = answers {
        let all = answers.all.fetch_add(1, Ordering::SeqCst) + 1;
        let own = answers.spoiled.load(Ordering::SeqCst) + 1;
        let may = f64::from(own) <= f64::from(all) * SPOILED_SHARE;
        if id.starts_with("bb") && may && spoiled.load(Ordering::SeqCst) < SPOILED && has_trouble()
        {
            answers.spoiled.store(own, Ordering::SeqCst);
            spoiled.fetch_add(1, Ordering::SeqCst);
            record(&format!(
                "server {} answers {id} with interim heads without end ({own} of its {all} answers)",
                server.name()
            ));
            let ended = spoil(stream);
            record(&format!(
                "server {}: the channel of {id} has ended: {ended:?}",
                server.name()
            ));
            return Ok(false);
        }
    }
    let mut out = stream;
    let events = "id: 1\ndata: x\n\nid: 2\ndata: x\n\n";
    write!(
        out,
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nUpstream-Signature: proof.{id}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{events}\r\n0\r\n\r\n",
        events.len()
    )?;
    Ok(true)
}

fn text(id: &str) -> String {
    let headers = format!("Model: daka510000\r\nToken-Usage: 600,14\r\nPrefix-Hash: {id}:600\r\n");
    request(id, "POST", &format!("{STREAMS}2f"), 20_000, &headers, id)
}

fn case(deployment: &mut Deployment) -> io::Result<bool> {
    let spoiled = Arc::new(AtomicU32::new(0));
    let mut servers = Vec::new();
    for at in 0..SERVERS {
        let (answers, spoiled) = (Answers::default(), spoiled.clone());
        let handler = move |server: &Server, request: &Message, stream: &TcpStream| {
            serve(
                server,
                request,
                stream,
                (at < SPOILING_SERVERS).then_some(&answers),
                &spoiled,
            )
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
    for at in 0..3 {
        let handler = |_: &Server, request: &Message, stream: &TcpStream| {
            thread::sleep(ms(15));
            answer(stream, 200, request.id(), "", "booked")?;
            Ok(true)
        };
        servers.push(Server::start(
            deployment,
            10 + at,
            &format!("i-app{at}"),
            PLAIN,
            "v1",
            6,
            Box::new(handler),
        )?);
    }
    deployment.configure(&manifest(7))?;
    thread::sleep(ms(2_000));
    let front = deployment.front(0);
    let first: Vec<_> = (0..8)
        .map(|client: usize| {
            thread::spawn(move || {
                for number in 0..60 {
                    let _ = send(
                        front,
                        &text(&format!("aa{client:06x}{number:08x}")),
                        ms(5_000),
                    );
                }
            })
        })
        .collect();
    for client in first {
        let _ = client.join();
    }
    record("clients got 480 streams");
    for number in 0..40 {
        if spoiled.load(Ordering::SeqCst) >= SPOILED {
            break;
        }
        thread::spawn(move || {
            let id = format!("bb{number:014x}");
            let _ = send(front, &text(&id), ms(21_000));
        });
        thread::sleep(ms(10));
    }
    if has_trouble() && spoiled.load(Ordering::SeqCst) == 0 {
        return Err(io::Error::other("no answer was spoiled"));
    }
    thread::sleep(ms(300));
    let mut clients = Vec::new();
    for number in 0..BOOKED {
        clients.push(thread::spawn(move || {
            let id = format!("cc{number:014x}");
            let text = request(&id, "POST", &format!("{BOOKINGS}2f"), 1_500, "", "{}");
            record(&format!("client sends {id}"));
            let sent = Instant::now();
            let ending = send(front, &text, ms(1_500));
            let took = sent.elapsed().as_millis() as u64;
            let result = match ending {
                Ending::Answer(answer) => answer.status.to_string(),
                Ending::Broken(_, _) => "no answer".to_owned(),
            };
            record(&format!("client: {result} for {id} after {took} ms"));
            // A client that has waited until its deadline has no answer.
            if result == "no answer" {
                took.max(1_500)
            } else {
                took
            }
        }));
        thread::sleep(ms(100));
    }
    let times: Vec<u64> = clients.into_iter().filter_map(|c| c.join().ok()).collect();
    let unanswered = times.iter().filter(|t| **t > TIMEOUT_MS).count();
    let late = times.iter().filter(|t| **t > TIMEOUT_MS + 500).count();
    record(&format!(
        "of {BOOKED} bookings, {unanswered} were unanswered at their route's TimeoutMs, {late} of these half a second later"
    ));
    Ok(2 * late <= unanswered)
}
