//! HTTP/1.1 servers on the current thread.

use std::{convert::Infallible, future::Future, net::SocketAddr, pin::pin, rc::Rc, time::Duration};

use hyper::{
    Request, Response,
    body::{Body, Bytes, Incoming},
    header::CONNECTION,
    header::HeaderValue,
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::TcpListener,
    sync::watch,
    task::{JoinHandle, spawn_local},
    time::{sleep, timeout},
};

use super::socket;

/// Pause after an accept that failed, for example for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Time without a new connection after which a closed server accepts no more.
const LAST_ACCEPT: Duration = Duration::from_millis(10);

/// Time in which a connection reads what has arrived before it is closed.
const LAST_READ: Duration = Duration::from_millis(10);

/// How a server goes on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Accepts connections and keeps them open.
    #[default]
    Open,
    /// Accepts connections and closes each after its answer.
    Draining,
    /// Accepts no connections and closes those without a request.
    Closed,
}

/// Limits of a server's connections.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest head of a request in bytes.
    pub head_bytes: usize,
    /// Longest time until a head has been read, counted from the end of the request before.
    pub head_timeout: Duration,
}

/// Largest head of a request for text in bytes.
const TEXT_HEAD: usize = 8_192;

/// Longest time that a connection for text stays open without a request.
const TEXT_IDLE: Duration = Duration::from_secs(15);

/// Serves a text for ever, whatever is asked for.
pub async fn serve_text<T>(listener: TcpListener, text: T)
where
    T: Fn() -> String + 'static,
{
    let limits = || Limits {
        head_bytes: TEXT_HEAD,
        head_timeout: TEXT_IDLE,
    };
    let stage = watch::channel(Stage::Open).1;
    serve(listener, limits, stage, move |_, _| {
        let text = text();
        async move { Response::new(http_body_util::Full::new(Bytes::from(text))) }
    })
    .await;
}

/// Accepts connections until the stage is [`Stage::Closed`] and returns when the last has ended.
pub async fn serve<H, F, B, L>(
    listener: TcpListener,
    limits: L,
    mut stage: watch::Receiver<Stage>,
    handler: H,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + 'static,
    F: Future<Output = Response<B>> + 'static,
    B: Body + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    L: Fn() -> Limits,
{
    let handler = Rc::new(handler);
    let mut open: Vec<JoinHandle<()>> = Vec::new();
    let mut closed = false;
    loop {
        let accepted = if closed {
            // What the operating system has accepted before is served to the last.
            match timeout(LAST_ACCEPT, listener.accept()).await {
                Ok(accepted) => accepted,
                Err(_) => break,
            }
        } else {
            tokio::select! {
                accepted = listener.accept() => accepted,
                () = reached(&mut stage, Stage::Closed) => {
                    closed = true;
                    continue;
                }
            }
        };
        let (stream, peer) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("no connection accepted: {error}");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if let Err(error) = socket::set_options(&stream) {
            log::debug!("connection from {peer} has ended: {error}");
            continue;
        }
        open.retain(|task| !task.is_finished());
        let connection = connection(stream, peer, limits(), stage.clone(), handler.clone());
        open.push(spawn_local(connection));
    }
    drop(listener);
    for task in open {
        if let Err(error) = task.await {
            log::error!("a connection's task failed: {error}");
        }
    }
}

async fn reached(stage: &mut watch::Receiver<Stage>, wanted: Stage) {
    if stage.wait_for(|s| *s >= wanted).await.is_err() {
        // Without a sender the stage stays as it is.
        std::future::pending::<()>().await;
    }
}

async fn connection<H, F, B>(
    stream: tokio::net::TcpStream,
    peer: SocketAddr,
    limits: Limits,
    mut stage: watch::Receiver<Stage>,
    handler: Rc<H>,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + 'static,
    F: Future<Output = Response<B>> + 'static,
    B: Body + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let at_answer = stage.clone();
    let service = service_fn(move |request| {
        let answer = handler(request, peer);
        let stage = at_answer.clone();
        async move {
            let mut response = answer.await;
            if *stage.borrow() > Stage::Open {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.head_bytes.max(8_192) + 8_192)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let closing = async {
        reached(&mut stage, Stage::Closed).await;
        sleep(LAST_READ).await;
    };
    let ended = tokio::select! {
        biased;
        ended = connection.as_mut() => ended,
        () = closing => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("connection from {peer} ended: {error}");
    }
}
