//! Callers, which keep using a connection until it ends.

use std::{cell::RefCell, io, rc::Rc, time::Duration};

use masticlock_platform::testing::{self, Fields, Kind};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::{
    io::{AsyncWriteExt, BufReader},
    net::TcpStream,
    task::JoinSet,
    time::{Instant, sleep, timeout},
};

use crate::{
    http,
    layout::{CHANGING, Layout, STEADY, STEADY_KEY},
    ledger::{End, Ledger, Request},
    operator, upstream,
};

/// Longest time to connect.
const CONNECT: Duration = Duration::from_millis(800);

/// Time after its deadline that a caller still waits for an answer.
const BEYOND: Duration = Duration::from_millis(1_500);

/// Longest pause between two requests in milliseconds.
const PAUSE_MS: u64 = 90;

/// Share of requests whose callers leave, and the longest time after which they do in milliseconds:
/// before the first event of a stream, within it, and while it waits for another upstream.
const LEAVING: (f64, u64) = (0.08, 1_200);

/// Changes a caller's seed to that of the draws whether it leaves, which the other draws don't depend
/// on.
const LEAVING_SEED: u64 = 0x6c65_6176_6500;

/// Part that the prompts of all streams begin with.
const COMMON_PART: &str = "5a";

/// Pause between two requests with a part that crashes upstreams.
const POISON_PAUSE: Duration = Duration::from_millis(60);

/// What all callers share.
pub struct Shared {
    /// Addresses.
    pub layout: Layout,
    /// What they see.
    pub ledger: Rc<RefCell<Ledger>>,
    /// Numbers of the newest key and route.
    pub newest: RefCell<(u64, u64)>,
}

/// Sends requests until the run ends.
pub async fn run(shared: Rc<Shared>, number: usize, seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut leaving = ChaCha8Rng::seed_from_u64(seed ^ LEAVING_SEED);
    let mut entry = number % shared.layout.entries;
    let mut connection: Option<BufReader<TcpStream>> = None;
    let mut count = 0;
    loop {
        sleep(Duration::from_millis(random.random_range(0..PAUSE_MS))).await;
        if connection.is_none() {
            let connecting = TcpStream::connect(shared.layout.front_proxy(entry));
            let Ok(Ok(stream)) = timeout(CONNECT, connecting).await else {
                entry = random.random_range(0..shared.layout.entries);
                continue;
            };
            connection = Some(BufReader::new(stream));
        }
        let Some(mut open) = connection.take() else {
            continue;
        };
        count += 1;
        let id = format!("c{number}-{count}");
        let request = draw(&shared, entry, &mut random);
        let deadline = if request.kind == Kind::Stream {
            4_000
        } else {
            1_500
        };
        let parts = if request.kind == Kind::Stream {
            vec![COMMON_PART.into(), format!("5b{}", number % 3), id.clone()]
        } else {
            Vec::new()
        };
        let bytes = testing::encode_prompt(
            &id,
            &format!("/{}/", request.route),
            &request.key,
            deadline,
            &request.body,
            &parts,
        );
        let kind = request.kind;
        shared
            .ledger
            .borrow_mut()
            .requests
            .insert(id.clone(), request);
        if open.write_all(&bytes).await.is_err() {
            shared.ledger.borrow_mut().end(&id, End::Cut);
            entry = random.random_range(0..shared.layout.entries);
            continue;
        }
        let limit = Duration::from_millis(deadline) + BEYOND;
        let leaves = leaving.random_bool(LEAVING.0);
        let patience = Duration::from_millis(leaving.random_range(0..LEAVING.1));
        let resets = leaving.random_bool(0.5);
        let limit = if leaves { patience } else { limit };
        let (end, kept) = match timeout(limit, answer(&mut open, &id, kind)).await {
            Ok(Ok((status, fault, kept))) => {
                if let Some(fault) = fault {
                    shared.ledger.borrow_mut().break_promise("whole", &fault);
                }
                (End::Status(status), kept)
            }
            Ok(Err(_)) => (End::Cut, false),
            Err(_) if leaves => {
                if resets {
                    // A connection that has ended can't be reset.
                    let _ended = open.get_ref().set_zero_linger();
                }
                drop(open);
                shared.ledger.borrow_mut().end(&id, End::Left);
                continue;
            }
            Err(_) => (End::Silent, false),
        };
        shared.ledger.borrow_mut().end(&id, end);
        if kept {
            connection = Some(open);
        } else {
            entry = random.random_range(0..shared.layout.entries);
        }
    }
}

/// Sends requests with a part that crashes upstreams to all entry instances in turn for a time.
pub async fn poison(shared: Rc<Shared>, part: u64, length: Duration) {
    let end = Instant::now() + length;
    let mut requests = JoinSet::new();
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let id = format!("p{part}-{number}");
        let request = Request {
            kind: Kind::Stream,
            route: "ask".to_owned(),
            account: STEADY,
            key: STEADY_KEY.to_owned(),
            body: format!("body of {id}"),
            entry: number % shared.layout.entries,
            sent: shared.ledger.borrow().now(),
            runs: Vec::new(),
            end: None,
        };
        requests.spawn_local(send_poison(shared.clone(), id, part, request));
        sleep(POISON_PAUSE).await;
    }
    requests.join_all().await;
}

async fn send_poison(shared: Rc<Shared>, id: String, part: u64, request: Request) {
    let parts = [COMMON_PART.to_owned(), upstream::poison(part), id.clone()];
    let (path, key) = (format!("/{}/", request.route), request.key.clone());
    let bytes = testing::encode_prompt(&id, &path, &key, 4_000, &request.body, &parts);
    let address = shared.layout.front_proxy(request.entry);
    let Ok(Ok(mut stream)) = timeout(CONNECT, TcpStream::connect(address)).await else {
        return;
    };
    shared
        .ledger
        .borrow_mut()
        .requests
        .insert(id.clone(), request);
    let mut connection = match stream.write_all(&bytes).await {
        Ok(()) => BufReader::new(stream),
        Err(_) => return shared.ledger.borrow_mut().end(&id, End::Cut),
    };
    let limit = Duration::from_secs(4) + BEYOND;
    let end = match timeout(limit, answer(&mut connection, &id, Kind::Stream)).await {
        Ok(Ok((status, _, _))) => End::Status(status),
        Ok(Err(_)) => End::Cut,
        Err(_) => End::Silent,
    };
    shared.ledger.borrow_mut().end(&id, end);
}

fn draw(shared: &Shared, entry: usize, random: &mut ChaCha8Rng) -> Request {
    let (newest_key, newest_route) = *shared.newest.borrow();
    let (kind, route) = match random.random_range(0..10) {
        0..3 => (Kind::Once, "book".to_owned()),
        3..5 => (Kind::Repeatable, "look".to_owned()),
        5 => {
            let back = random.random_range(0..2.min(newest_route));
            (Kind::Repeatable, operator::extra(newest_route - back))
        }
        _ => (Kind::Stream, "ask".to_owned()),
    };
    let (account, key) = if random.random_bool(0.7) {
        (STEADY, STEADY_KEY.to_owned())
    } else {
        let back = random.random_range(0..3.min(newest_key));
        (CHANGING, operator::key(newest_key - back))
    };
    Request {
        kind,
        route,
        account,
        key,
        body: format!("body {}", random.random_range(0..1_000_000)),
        entry,
        sent: shared.ledger.borrow().now(),
        runs: Vec::new(),
        end: None,
    }
}

/// Reads an answer: its status, what is wrong with it, and whether the connection stays open.
async fn answer(
    connection: &mut BufReader<TcpStream>,
    id: &str,
    kind: Kind,
) -> io::Result<(u16, Option<String>, bool)> {
    let Some((first, fields)) = http::head(connection).await? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    let status = first.split(' ').nth(1).and_then(|s| s.parse().ok());
    let status: u16 = status.ok_or(io::ErrorKind::InvalidData)?;
    let fault = if fields.chunked {
        stream(connection, id).await?
    } else {
        let body = http::body(connection, fields.length.unwrap_or(0)).await?;
        let due = format!("{id} done");
        let wrong = kind == Kind::Stream || body != due;
        (status == 200 && wrong).then(|| format!("request {id} is answered with {body:?}"))
    };
    Ok((
        status,
        fault.or_else(|| proof(id, status, &fields)),
        !fields.closes,
    ))
}

fn proof(id: &str, status: u16, fields: &Fields) -> Option<String> {
    let proven = fields.signature == Some(upstream::signature(id));
    let own = fields.id.as_deref().is_none_or(|i| i == id);
    let wrong = !own || (status == 200 && !proven);
    wrong.then(|| format!("request {id} has the answer {status} with {fields:?}"))
}

/// Reads a stream to its end and returns what is wrong with its events.
async fn stream(connection: &mut BufReader<TcpStream>, id: &str) -> io::Result<Option<String>> {
    let mut text = String::new();
    loop {
        let chunk = http::chunk(connection).await?;
        if chunk.is_empty() {
            break;
        }
        text.push_str(&chunk);
    }
    let due: String = (1..=upstream::events(id))
        .map(|n| upstream::event(id, n))
        .collect();
    Ok((text != due).then(|| format!("request {id} has the events {text:?}")))
}
