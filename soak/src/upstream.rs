//! Stand-ins for upstreams: a booking service and engines that stream.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, SystemTime},
};

use masticlock_platform::testing::{self, Call, Fields, Notice};
use tokio::{
    io::{AsyncWriteExt, BufReader},
    net::TcpStream,
    task::{JoinSet, spawn_local},
    time::sleep,
};

use crate::{
    http,
    layout::{ANNOUNCEMENTS_MS, BOOKINGS, Layout},
    ledger::{Ledger, Part, Span},
    operator,
    proxy::{self, Proxy},
};

/// Time that a booking takes.
const BOOKING: Duration = Duration::from_millis(15);

/// Pause between two events of a stream.
const EVENT: Duration = Duration::from_millis(40);

/// Time for which an upstream that has said in its answers that it leaves is gone.
const DEPARTED: Duration = Duration::from_millis(500);

/// Length of a cold start in milliseconds.
const COLD_MS: u64 = 1_500;

/// Requests that an upstream with little room runs at once.
const LITTLE_ROOM: u32 = 2;

/// Time from the head of an answer until a part of its prompt crashes the upstream.
const POISON: Duration = Duration::from_millis(50);

/// Time for which an upstream is down after such a crash.
const POISONED: Duration = Duration::from_millis(400);

/// Beginning of the names of parts that crash upstreams.
const POISON_PREFIX: &str = "dead";

/// Returns the name of a part of a prompt that crashes upstreams.
#[must_use]
pub fn poison(number: u64) -> String {
    format!("{POISON_PREFIX}{number}")
}

/// Returns the number of events of a request's stream.
#[must_use]
pub fn events(id: &str) -> u64 {
    let sum: u64 = id.bytes().map(u64::from).sum();
    3 + sum % 20
}

/// Returns the text of an event.
#[must_use]
pub fn event(id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {id}.{number}\n\n")
}

/// Returns the proof of an upstream for a request.
#[must_use]
pub fn signature(id: &str) -> String {
    format!("proof-{id}")
}

/// A stand-in for an upstream.
pub struct Upstream {
    at: usize,
    id: String,
    service: &'static str,
    layout: Layout,
    ledger: Rc<RefCell<Ledger>>,
    /// The proxy that entry instances connect to.
    pub proxy: Rc<Proxy>,
    listen: SocketAddr,
    alive: Cell<bool>,
    incarnation: Cell<u64>,
    sequence: Cell<u64>,
    cold_until: Cell<u64>,
    /// It says in its answers that it leaves.
    departs: Cell<bool>,
    /// It turns requests away until then.
    sheds_until: Cell<u64>,
    /// Limit that it states in its answers, in thousandths of a request per second.
    limit: Cell<Option<u64>>,
    /// Requests in a second that it can reject, if it says so.
    brittle: Cell<Option<u64>>,
    /// Requests that it runs.
    running: Cell<u32>,
    connections: RefCell<JoinSet<()>>,
}

/// Counts a request as running until it is dropped.
struct Running(Rc<Upstream>);

impl Running {
    fn begin(upstream: &Rc<Upstream>) -> Self {
        upstream.running.set(upstream.running.get() + 1);
        Self(upstream.clone())
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
    }
}

/// Returns the confidence of a model in its answer: any for the smaller one.
fn confidence(id: &str, model: Option<&str>) -> u64 {
    if model == Some(testing::SMALL) {
        id.bytes().map(u64::from).sum::<u64>() * 37 % 101
    } else {
        100
    }
}

fn wall_ms() -> u64 {
    let passed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    passed.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}

impl Upstream {
    /// Starts an upstream and its announcements.
    ///
    /// # Errors
    ///
    /// Returns an error if its addresses can't be bound.
    pub async fn start(
        at: usize,
        service: &'static str,
        layout: Layout,
        ledger: &Rc<RefCell<Ledger>>,
    ) -> io::Result<Rc<Self>> {
        let listen = layout.upstream(at);
        let listener = proxy::listen(listen).await?;
        let upstream = Rc::new(Self {
            at,
            id: format!("u-{at}"),
            service,
            layout,
            ledger: ledger.clone(),
            proxy: Proxy::start(layout.upstream_proxy(at), listen).await?,
            listen,
            alive: Cell::new(true),
            incarnation: Cell::new(wall_ms()),
            sequence: Cell::new(0),
            cold_until: Cell::new(0),
            departs: Cell::new(false),
            sheds_until: Cell::new(0),
            limit: Cell::new(None),
            brittle: Cell::new(None),
            running: Cell::new(0),
            connections: RefCell::default(),
        });
        let accepting = upstream.clone();
        spawn_local(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) if accepting.alive.get() => {
                        let serving = accepting.clone().serve(stream);
                        accepting.connections.borrow_mut().spawn_local(serving);
                    }
                    Ok(_) => {}
                    Err(error) => eprintln!("upstream {}: {error}", accepting.listen),
                }
            }
        });
        spawn_local(upstream.clone().announce());
        Ok(upstream)
    }

    async fn announce(self: Rc<Self>) {
        let mut control = self.at;
        loop {
            if self.alive.get() {
                self.sequence.set(self.sequence.get() + 1);
                let now = self.ledger.borrow().now();
                let call = Call::Announce(testing::Announcement {
                    id: self.id.clone(),
                    service: self.service,
                    address: self.layout.upstream_proxy(self.at),
                    domain: self.layout.domain(self.at).to_owned(),
                    cold_left_ms: self.cold_until.get().saturating_sub(now),
                    incarnation: self.incarnation.get(),
                    sequence: self.sequence.get(),
                });
                if operator::call(self.layout, control, &call).await.is_err() {
                    control += 1;
                }
            }
            sleep(Duration::from_millis(ANNOUNCEMENTS_MS)).await;
        }
    }

    /// Ends as a crashed process does, and starts again later. One that has left or is down
    /// already stays so.
    pub async fn crash(&self, down: Duration) {
        if !self.alive.get() {
            return;
        }
        let record = self.ledger.borrow_mut().disturb(Part::Upstream(self.at));
        self.stop();
        sleep(down).await;
        self.restart().await;
        self.ledger.borrow_mut().calm(record);
    }

    /// Says in its answers that it leaves, goes on serving and announcing itself for a time, and
    /// comes back as a new process.
    pub async fn depart(&self, away: Duration) {
        if !self.alive.get() {
            return;
        }
        self.departs.set(true);
        sleep(away).await;
        // It may have crashed or left meanwhile.
        if self.alive.get() && self.departs.get() {
            self.crash(DEPARTED).await;
        }
    }

    /// Turns all requests away for a time, with the time that is left of it.
    pub async fn shed(&self, length: Duration) {
        let length = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
        let until = self.ledger.borrow().now() + length;
        self.sheds_until.set(until);
        sleep(Duration::from_millis(length)).await;
    }

    /// States a limit in its answers for a time.
    pub async fn limit(&self, milli: u64, length: Duration) {
        self.limit.set(Some(milli));
        sleep(length).await;
        self.limit.set(None);
        self.ledger.borrow_mut().end_limit(self.at);
    }

    /// Has little room, and says how many requests it can reject in a second, for a time.
    pub async fn be_brittle(&self, rejects: u64, length: Duration) {
        self.brittle.set(Some(rejects));
        sleep(length).await;
        self.brittle.set(None);
        self.ledger.borrow_mut().end_brittle(self.at);
    }

    fn stop(&self) {
        self.ledger.borrow_mut().end_departure(self.at);
        self.ledger.borrow_mut().end_limit(self.at);
        self.ledger.borrow_mut().end_brittle(self.at);
        self.limit.set(None);
        self.brittle.set(None);
        self.alive.set(false);
        self.proxy.close();
        self.connections.borrow_mut().abort_all();
    }

    async fn restart(&self) {
        if let Err(error) = self.proxy.open().await {
            eprintln!("upstream {}: {error}", self.listen);
        }
        self.incarnation.set(wall_ms());
        self.sequence.set(0);
        self.departs.set(false);
        self.sheds_until.set(0);
        let mut ledger = self.ledger.borrow_mut();
        let now = ledger.now();
        self.cold_until.set(now + COLD_MS);
        let to = Some(now + COLD_MS);
        ledger.cold.push((self.at, Span { from: now, to }));
        self.alive.set(true);
    }

    /// Says that it leaves, finishes its work and comes back as a new process, unless it is down.
    pub async fn leave(&self, away: Duration) {
        if !self.alive.get() {
            return;
        }
        let call = Call::Leave(self.id.clone(), self.incarnation.get());
        // An announcement after the farewell would be a contradiction.
        self.alive.set(false);
        let confirmed = operator::until_done(self.layout, &call, &self.ledger).await;
        let record = {
            let mut ledger = self.ledger.borrow_mut();
            let from = ledger.now();
            ledger.left.push((self.at, Span { from, to: None }));
            ledger.left.len() - 1
        };
        sleep(away).await;
        {
            let mut ledger = self.ledger.borrow_mut();
            let now = ledger.now();
            // Without a confirmation nothing was promised.
            ledger.left[record].1.to = Some(if confirmed { now } else { 0 });
        }
        let disturbed = self.ledger.borrow_mut().disturb(Part::Upstream(self.at));
        self.stop();
        self.restart().await;
        self.ledger.borrow_mut().calm(disturbed);
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) {
        let _delayed = stream.set_nodelay(true);
        let (read, mut write) = stream.into_split();
        let mut reader = BufReader::new(read);
        // The connection's end is for the ledger of its caller.
        while let Ok(Some((first, fields))) = http::head(&mut reader).await {
            let length = fields.length.unwrap_or(0);
            let Ok(body) = http::body(&mut reader, length).await else {
                return;
            };
            if self
                .clone()
                .answer(&first, &fields, &body, &mut write)
                .await
                .is_err()
            {
                return;
            }
        }
    }

    fn tell(&self, word: Notice, id: &str) {
        let mut ledger = self.ledger.borrow_mut();
        if word == Notice::Leaving {
            ledger.depart(self.at, id);
        }
        match word {
            Notice::Limited(milli) => ledger.limit(self.at, id, milli),
            // Without a limit in its answer it has none.
            Notice::None | Notice::Leaving | Notice::RetryAfter(_) | Notice::Brittle(_) => {
                ledger.end_limit(self.at);
            }
        }
    }

    async fn answer<W>(
        self: Rc<Self>,
        first: &str,
        fields: &Fields,
        body: &str,
        out: &mut W,
    ) -> io::Result<()>
    where
        W: AsyncWriteExt + Unpin,
    {
        let id = fields.id.clone().unwrap_or_default();
        if fields.upstream.as_deref() != Some(&self.id) {
            return out
                .write_all(&testing::encode_response_head(
                    421,
                    &id,
                    None,
                    Some(0),
                    None,
                    Notice::None,
                ))
                .await;
        }
        let now = self.ledger.borrow().now();
        let quiet_ms = self.sheds_until.get().saturating_sub(now);
        if quiet_ms > 0 {
            self.ledger.borrow_mut().refuse(self.at, &id, quiet_ms);
            let word = Notice::RetryAfter(quiet_ms);
            self.tell(word, &id);
            return out
                .write_all(&testing::encode_response_head(
                    503,
                    &id,
                    None,
                    Some(0),
                    None,
                    word,
                ))
                .await;
        }
        if let Some(rejects) = self.brittle.get() {
            let is_rejected = self.running.get() >= LITTLE_ROOM;
            self.ledger
                .borrow_mut()
                .say_brittle(self.at, &id, rejects, is_rejected);
            if is_rejected {
                let word = Notice::Brittle(rejects);
                self.tell(word, &id);
                let head = testing::encode_response_head(503, &id, None, Some(0), None, word);
                return out.write_all(&head).await;
            }
        }
        let _running = Running::begin(&self);
        let path = first.split(' ').nth(1).unwrap_or_default();
        let run = self.ledger.borrow_mut().run(self.at, path, fields, body);
        if run.is_none() {
            return Err(io::ErrorKind::InvalidData.into());
        }
        let proof = signature(&id);
        let confidence = Some(confidence(&id, fields.model.as_deref()));
        let word = if self.departs.get() {
            Notice::Leaving
        } else if let Some(rejects) = self.brittle.get() {
            Notice::Brittle(rejects)
        } else {
            self.limit.get().map_or(Notice::None, Notice::Limited)
        };
        if self.service == BOOKINGS {
            sleep(BOOKING).await;
            let text = format!("{id} done");
            let length = Some(text.len());
            let mut answer =
                testing::encode_response_head(200, &id, Some(&proof), length, confidence, word);
            answer.extend_from_slice(text.as_bytes());
            out.write_all(&answer).await?;
            self.tell(word, &id);
            return Ok(());
        }
        out.write_all(&testing::encode_response_head(
            200,
            &id,
            Some(&proof),
            None,
            confidence,
            word,
        ))
        .await?;
        self.tell(word, &id);
        let poison = fields
            .parts
            .iter()
            .find_map(|p| p.strip_prefix(POISON_PREFIX));
        if let Some(part) = poison.and_then(|p| p.parse().ok()) {
            let run = self.ledger.borrow_mut().poison(part, &id);
            sleep(POISON).await;
            let now = self.ledger.borrow().now();
            self.ledger.borrow_mut().poisoned[run].1.crashed = Some(now);
            // The crash ends this connection too.
            spawn_local(async move { self.crash(POISONED).await });
            return std::future::pending().await;
        }
        for number in fields.last_event.unwrap_or(0) + 1..=events(&id) {
            let text = event(&id, number);
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            out.write_all(chunk.as_bytes()).await?;
            sleep(EVENT).await;
        }
        out.write_all(b"0\r\n\r\n").await
    }
}
