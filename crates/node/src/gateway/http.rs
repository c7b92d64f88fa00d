//! HTTP/1.1 servers on the current thread.

use std::{
    cell::{Cell, RefCell},
    cmp::Reverse,
    collections::BTreeMap,
    convert::Infallible,
    future::Future,
    net::{IpAddr, SocketAddr},
    pin::{Pin, pin},
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use hyper::{
    Request, Response,
    body::{Body, Bytes, Frame, Incoming, SizeHint},
    header::CONNECTION,
    header::HeaderValue,
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::TcpListener,
    sync::{Notify, watch},
    task::{JoinHandle, spawn_local, yield_now},
    time::{Instant, sleep, timeout},
};

use super::{client_stream::ClientStream, socket};

/// Delay after a failed accept, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Time without a new connection after which a closed server stops accepting those that the
/// operating system has already established.
const FINAL_ACCEPT_WAIT: Duration = Duration::from_millis(10);

/// Time in which a connection still reads requests that have already arrived before it is closed.
const FINAL_READ_WAIT: Duration = Duration::from_millis(10);

/// Time without reading a byte after which a client's response may be ended for lack of room. A
/// network that loses a packet twice delays it by less.
const UNREAD_LIMIT: Duration = Duration::from_secs(2);

/// Lifecycle stage of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Accepts connections and keeps them open.
    #[default]
    Open,
    /// Accepts connections and closes each after its next response.
    Draining,
    /// Accepts no connections and closes idle ones.
    Closed,
}

/// Limits for the connections of a server.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum size of a request head in bytes.
    pub head_bytes: usize,
    /// Longest time until a head has been read, counted from the end of the previous request.
    pub head_timeout: Duration,
}

/// Maximum size in bytes of the head of a request to [`serve_text`].
const TEXT_HEAD_BYTES: usize = 8_192;

/// Longest time that a connection to [`serve_text`] stays open without a request.
const TEXT_HEAD_TIMEOUT: Duration = Duration::from_secs(15);

/// Responds to every request with the current text and never returns.
pub async fn serve_text<T>(listener: TcpListener, text: T)
where
    T: Fn() -> String + 'static,
{
    let limits = || Limits {
        head_bytes: TEXT_HEAD_BYTES,
        head_timeout: TEXT_HEAD_TIMEOUT,
    };
    let stage = watch::channel(Stage::Open).1;
    serve(listener, limits, stage, move |_, _| {
        let text = text();
        async move { Response::new(http_body_util::Full::new(Bytes::from(text))) }
    })
    .await;
}

/// An open connection of a server.
#[derive(Debug)]
struct Connection {
    source: IpAddr,
    /// Whether a request is handled or its response is sent.
    is_busy: Cell<bool>,
    /// When the connection was opened or its last response has ended.
    idle_since: Cell<Instant>,
    /// Time from which on a part of a response waits until the client has read what came before.
    unread_since: Cell<Option<Instant>>,
    /// Closes the connection.
    close: Notify,
}

/// Marks a connection as busy until it is dropped.
#[derive(Debug)]
struct Busy(Rc<Connection>);

impl Busy {
    fn begin(connection: &Rc<Connection>) -> Self {
        connection.is_busy.set(true);
        Self(connection.clone())
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.is_busy.set(false);
        self.0.unread_since.set(None);
        self.0.idle_since.set(Instant::now());
    }
}

/// Body of a response, during which the connection is busy.
struct Tracked<B> {
    body: B,
    busy: Busy,
}

impl<B> Body for Tracked<B>
where
    B: Body + Unpin,
{
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        // The next part is asked for when this one has been written.
        let has_part = matches!(frame, Poll::Ready(Some(_)));
        let since = has_part.then(Instant::now);
        self.busy.0.unread_since.set(since);
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// The open connections of a server, of which there is a maximum number.
///
/// At the maximum, a new connection takes the place of one that is idle or has not sent a whole
/// head: the one that has been so for longest, of the source with the most such connections. If all
/// are busy, `make_room` may end a request whose body does not arrive. Otherwise the new one is closed.
pub struct Connections {
    max: usize,
    open: RefCell<Vec<Rc<Connection>>>,
    make_room: Box<dyn Fn() -> bool>,
    closed: Cell<u64>,
}

impl Connections {
    /// Creates the list of a server with at most `max` connections.
    pub fn new<M>(max: usize, make_room: M) -> Rc<Self>
    where
        M: Fn() -> bool + 'static,
    {
        Rc::new(Self {
            max,
            open: RefCell::default(),
            make_room: Box::new(make_room),
            closed: Cell::default(),
        })
    }

    fn is_full(&self) -> bool {
        self.open.borrow().len() >= self.max
    }

    /// Returns the number of connections that were closed or refused at the maximum number.
    #[must_use]
    pub fn closed(&self) -> u64 {
        self.closed.get()
    }

    /// Closes the connection whose client has taken nothing of its response for longest, and returns
    /// whether there is one.
    pub fn end_unread(&self) -> bool {
        let now = Instant::now();
        let open = self.open.borrow();
        let since = |c: &&Rc<Connection>| c.unread_since.get();
        let unread = open
            .iter()
            .filter(|c| since(c).is_some_and(|at| now - at >= UNREAD_LIMIT));
        let Some(connection) = unread.min_by_key(since) else {
            return false;
        };
        log::info!(event = "connection_closed", peer = connection.source.to_string(); "a client does not read its response, which needs room");
        connection.unread_since.set(None);
        connection.close.notify_one();
        true
    }

    /// Records a new connection, or returns none if there is no room for it.
    fn admit(&self, source: IpAddr) -> Option<Rc<Connection>> {
        let mut open = self.open.borrow_mut();
        if open.len() >= self.max {
            self.closed.set(self.closed.get() + 1);
            if let Some(at) = longest_idle(&open) {
                let idle = open.swap_remove(at);
                log::info!(event = "connection_closed", peer = idle.source.to_string(); "an idle connection makes room for a new one");
                idle.close.notify_one();
            } else if (self.make_room)() {
                log::info!(event = "connection_closed", peer = source.to_string(); "an unfinished request makes room for a new connection");
            } else {
                log::warn!(event = "connection_refused", peer = source.to_string(); "all connections are busy");
                return None;
            }
        }
        let connection = Rc::new(Connection {
            source,
            is_busy: Cell::new(false),
            idle_since: Cell::new(Instant::now()),
            unread_since: Cell::default(),
            close: Notify::new(),
        });
        open.push(connection.clone());
        Some(connection)
    }

    /// Forgets a connection that has ended.
    fn remove(&self, connection: &Rc<Connection>) {
        let mut open = self.open.borrow_mut();
        if let Some(at) = open.iter().position(|c| Rc::ptr_eq(c, connection)) {
            open.swap_remove(at);
        }
    }
}

/// Returns the position of the connection that has been idle for longest, of the source with the
/// most idle connections.
fn longest_idle(open: &[Rc<Connection>]) -> Option<usize> {
    let idle = || open.iter().enumerate().filter(|(_, c)| !c.is_busy.get());
    let mut counts: BTreeMap<IpAddr, usize> = BTreeMap::new();
    for (_, connection) in idle() {
        *counts.entry(connection.source).or_default() += 1;
    }
    let rank = |c: &Connection| (Reverse(counts[&c.source]), c.source, c.idle_since.get());
    idle().min_by_key(|(_, c)| rank(c)).map(|(at, _)| at)
}

/// Maximum number of connections to [`serve`]: a platform has a few processes that probe and scrape.
const MAX_PROBES: usize = 32;

/// Serves probes until the stage is [`Stage::Closed`] and the last connection has ended.
pub async fn serve<H, F, B, L>(
    listener: TcpListener,
    limits: L,
    stage: watch::Receiver<Stage>,
    handler: H,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + 'static,
    F: Future<Output = Response<B>> + 'static,
    B: Body + Unpin + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    L: Fn() -> Limits,
{
    let connections = Connections::new(MAX_PROBES, || false);
    serve_bounded(listener, limits, connections, stage, handler).await;
}

/// Serves connections as [`serve`] does, with at most as many as `connections` allows.
pub async fn serve_bounded<H, F, B, L>(
    listener: TcpListener,
    limits: L,
    connections: Rc<Connections>,
    mut stage: watch::Receiver<Stage>,
    handler: H,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + 'static,
    F: Future<Output = Response<B>> + 'static,
    B: Body + Unpin + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    L: Fn() -> Limits,
{
    let handler = Rc::new(handler);
    let mut open: Vec<JoinHandle<()>> = Vec::new();
    let mut closed = false;
    loop {
        let accepted = if closed {
            // Connections that the operating system has already accepted are still served.
            match timeout(FINAL_ACCEPT_WAIT, listener.accept()).await {
                Ok(accepted) => accepted,
                Err(_) => break,
            }
        } else {
            tokio::select! {
                accepted = listener.accept() => accepted,
                () = wait_for_stage(&mut stage, Stage::Closed) => {
                    closed = true;
                    continue;
                }
            }
        };
        let (stream, peer) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("a connection can't be accepted: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if let Err(error) = socket::set_options(&stream) {
            log::debug!("a connection from {peer} can't be set up: {error}");
            continue;
        }
        open.retain(|task| !task.is_finished());
        let Some(connection) = connections.admit(peer.ip()) else {
            continue;
        };
        let serving = serve_connection(
            stream,
            (connection.clone(), peer),
            limits(),
            stage.clone(),
            handler.clone(),
        );
        let list = connections.clone();
        open.push(spawn_local(async move {
            // A request that arrives at an idle connection at this moment stays unread.
            tokio::select! {
                biased;
                () = connection.close.notified() => {}
                () = serving => {}
            }
            list.remove(&connection);
        }));
        if connections.is_full() {
            // The connection that gives way is closed before another one is accepted.
            yield_now().await;
        }
    }
    drop(listener);
    for task in open {
        if let Err(error) = task.await {
            log::error!("a connection's task failed: {error}");
        }
    }
}

/// Waits until the stage is `wanted` or a later one.
async fn wait_for_stage(stage: &mut watch::Receiver<Stage>, wanted: Stage) {
    if stage.wait_for(|s| *s >= wanted).await.is_err() {
        // The sender is gone, so the stage can't change any more.
        std::future::pending::<()>().await;
    }
}

/// Serves the requests of one connection until it ends.
async fn serve_connection<H, F, B>(
    stream: tokio::net::TcpStream,
    (connection, peer): (Rc<Connection>, SocketAddr),
    limits: Limits,
    mut stage: watch::Receiver<Stage>,
    handler: Rc<H>,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + 'static,
    F: Future<Output = Response<B>> + 'static,
    B: Body + Unpin + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let response_stage = stage.clone();
    let client = ClientStream::from(stream);
    let stream = client.clone();
    let served = connection.clone();
    let service = service_fn(move |request| {
        let busy = Busy::begin(&served);
        let response = handler(request, peer);
        let stage = response_stage.clone();
        async move {
            let mut response = response.await;
            if *stage.borrow() > Stage::Open {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            let tracked = |body| Tracked { body, busy };
            Ok::<_, Infallible>(response.map(tracked))
        }
    });
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.head_bytes.max(8_192) + 8_192)
        .serve_connection(TokioIo::new(stream), service);
    let mut serving = pin!(serving);
    let closing = async {
        wait_for_stage(&mut stage, Stage::Closed).await;
        sleep(FINAL_READ_WAIT).await;
    };
    let serving = async {
        tokio::select! {
            biased;
            ended = serving.as_mut() => ended,
            () = closing => {
                serving.as_mut().graceful_shutdown();
                serving.await
            }
        }
    };
    tokio::select! {
        biased;
        ended = serving => if let Err(error) = ended {
            log::debug!("connection from {peer} ended: {error}");
        },
        // The request ends with its client, whatever it waits for.
        () = client.left(|| connection.is_busy.get()) => {
            log::debug!("connection from {peer} ended: the client has left");
        }
    }
}
