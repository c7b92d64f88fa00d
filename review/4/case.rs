//! A part of a prompt that crashes servers makes the parts beside it, which are sound, refused.

#[path = "../common/harness.rs"]
mod harness;

use std::{
    io::{self, Write},
    net::TcpStream,
    process::ExitCode,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};

use harness::*;

const CONTACT_MS: u64 = 3_000;
const SERVERS: usize = 9;
const SOUND_CLIENTS: u64 = 24;
/// Time after which a crashed server is back.
const DOWN_MS: u64 = 2_500;
/// Pause between two requests with the part that crashes servers.
const POISON_EVERY_MS: u64 = 50;
const POISON: &str = "dead01ff";
/// First part of the prompts at the beginning.
const OLD_FIRST: &str = "5c1e07a2";
/// First part of the prompts from the time on at which the part that crashes servers comes too.
const NEW_FIRST: &str = "91bd3f06";

#[derive(Default)]
struct Seen {
    /// Times at which servers crashed.
    crashes: Vec<u64>,
    /// Times at which a request with the part reached a server.
    poison: Vec<u64>,
    /// Servers that are down, with the times at which they crashed.
    down: Vec<(usize, u64)>,
    /// Times of sound first attempts, and whether they began.
    sound: Vec<(u64, bool)>,
}

fn main() -> ExitCode {
    main_with(
        "4",
        case,
        Shape {
            controls: 3,
            entries: 3,
        },
    )
}

fn serve(
    at: usize,
    server: &Server,
    request: &Message,
    stream: &TcpStream,
    seen: &Mutex<Seen>,
) -> io::Result<bool> {
    let id = request.id().to_owned();
    let prompt = request.header("Prefix-Hash").unwrap_or_default();
    let is_poison = prompt.split(',').any(|part| part.starts_with(POISON));
    if is_poison {
        seen.lock().unwrap().poison.push(now_ms());
        record(&format!(
            "server {} gets {id}, whose prompt has the part {POISON}",
            server.name()
        ));
    }
    // The prompt is read.
    thread::sleep(ms(60));
    // With `HEAD=0` the server crashes before it has sent the head; not part of the case.
    let sends_head = std::env::var("HEAD").map_or(true, |v| v != "0");
    let mut out = stream;
    if sends_head || !is_poison {
        write!(
            out,
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nUpstream-Signature: proof.{id}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )?;
    }
    if is_poison {
        thread::sleep(ms(70));
        if server.crash() {
            record(&format!(
                "server {} has crashed as it began to write the answer of {id}",
                server.name()
            ));
            let mut seen = seen.lock().unwrap();
            seen.crashes.push(now_ms());
            seen.down.push((at, now_ms()));
        }
        return Ok(false);
    }
    for number in 1..=40 {
        let event = format!("id: {number}\ndata: {id}.{number}\n\n");
        write!(out, "{:x}\r\n{event}\r\n", event.len())?;
        thread::sleep(ms(75));
    }
    write!(out, "0\r\n\r\n")?;
    Ok(true)
}

fn text(id: &str, first: &str, part: &str) -> String {
    // A part that some requests share.
    let user = format!("e4402b{:02x}", id.bytes().map(u32::from).sum::<u32>() % 24);
    let headers = format!(
        "Model: daka510000\r\nToken-Usage: 600,70\r\nPrefix-Hash: {first}:300,{part}:100,{user}:80,{id}:200\r\n"
    );
    request(id, "POST", &format!("{STREAMS}2f"), 15_000, &headers, id)
}

fn case(deployment: &mut Deployment) -> io::Result<bool> {
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let mut servers = Vec::new();
    for at in 0..SERVERS {
        let seen = seen.clone();
        let handler = move |server: &Server, request: &Message, stream: &TcpStream| {
            serve(at, server, request, stream, &seen)
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
            answer(stream, 200, request.id(), "", "booked")?;
            Ok(true)
        };
        servers.push(Server::start(
            deployment,
            20 + at,
            &format!("i-app{at}"),
            PLAIN,
            "v1",
            6,
            Box::new(handler),
        )?);
    }
    deployment.configure(&manifest(7))?;
    thread::sleep(ms(2_000));
    let stop = Arc::new(AtomicBool::new(false));
    let is_new = Arc::new(AtomicBool::new(false));
    let fronts = [
        deployment.front(0),
        deployment.front(1),
        deployment.front(2),
    ];
    let mut clients = Vec::new();
    for client in 0..SOUND_CLIENTS {
        let (stop, seen, is_new) = (stop.clone(), seen.clone(), is_new.clone());
        clients.push(thread::spawn(move || {
            let mut number = 0;
            while !stop.load(Ordering::SeqCst) {
                number += 1;
                let id = format!("{client:04x}{number:012x}");
                let sent = now_ms();
                let first = if is_new.load(Ordering::SeqCst) {
                    NEW_FIRST
                } else {
                    OLD_FIRST
                };
                let part = format!("91bd3f0{:x}", client % 5);
                let ending = send(
                    fronts[client as usize % 3],
                    &text(&id, first, &part),
                    ms(10_000),
                );
                let (Ending::Answer(answer) | Ending::Broken(answer, _)) = ending;
                seen.lock()
                    .unwrap()
                    .sound
                    .push((sent, answer.status == 200));
                thread::sleep(ms(200));
            }
        }));
    }
    thread::sleep(ms(6_000));
    let began = now_ms();
    is_new.store(true, Ordering::SeqCst);
    if has_trouble() {
        let stop = stop.clone();
        clients.push(thread::spawn(move || {
            let mut number = 0;
            while !stop.load(Ordering::SeqCst) {
                number += 1;
                let id = format!("bad{number:013x}");
                record(&format!("client sends {id} with the part {POISON}"));
                thread::spawn(move || {
                    send(
                        fronts[number % 3],
                        &text(&id, NEW_FIRST, POISON),
                        ms(10_000),
                    )
                });
                thread::sleep(ms(POISON_EVERY_MS));
            }
        }));
    }
    let mut lifetime = 0;
    while now_ms() < began + 18_000 {
        let due: Vec<usize> = {
            let mut seen = seen.lock().unwrap();
            let due = seen
                .down
                .extract_if(.., |(_, at)| *at + DOWN_MS <= now_ms());
            due.map(|(server, _)| server).collect()
        };
        for at in due {
            lifetime += 1;
            servers[at].restart(&format!("i-llm{at}-{lifetime}"))?;
        }
        thread::sleep(ms(20));
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let seen = seen.lock().unwrap();
    let fifth = seen.crashes.get(4).copied();
    // The fifth crash, or the last one if there are fewer.
    let known = fifth.or(seen.crashes.last().copied());
    record(&format!(
        "{} crashes; {} requests with the part reached servers",
        seen.crashes.len(),
        seen.poison.len()
    ));
    if let Some(fifth) = fifth {
        let late = seen.poison.iter().filter(|at| **at > fifth + CONTACT_MS);
        record(&format!(
            "{} of them later than ContactMs after the fifth crash",
            late.count()
        ));
    }
    let share = |from: u64, to: u64| {
        let of_time = seen
            .sound
            .iter()
            .filter(|(sent, _)| (from..to).contains(sent));
        let all = of_time.clone().count();
        (of_time.filter(|(_, began)| *began).count(), all)
    };
    let before = share(0, began);
    let from = known.unwrap_or(began) + 2 * CONTACT_MS;
    let after = share(from, u64::MAX);
    record(&format!(
        "sound requests of the route with the same key that began before: {} of {}",
        before.0, before.1
    ));
    record(&format!(
        "from 2 x ContactMs after the fifth or last crash: {} of {}",
        after.0, after.1
    ));
    if before.1 < 20 || after.1 < 20 {
        return Err(io::Error::other("fewer than 20 requests to compare"));
    }
    // Less than half as often.
    Ok(2 * after.0 * before.1 >= before.0 * after.1)
}
