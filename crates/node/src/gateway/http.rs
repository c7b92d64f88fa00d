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

/// Delay after a failed accept, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Time without a new connection after which a closed server stops accepting those that the
/// operating system has already established.
const FINAL_ACCEPT_WAIT: Duration = Duration::from_millis(10);

/// Time in which a connection still reads requests that have already arrived before it is closed.
const FINAL_READ_WAIT: Duration = Duration::from_millis(10);

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

/// Serves connections until the stage is [`Stage::Closed`] and the last connection has ended.
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
        let connection = serve_connection(stream, peer, limits(), stage.clone(), handler.clone());
        open.push(spawn_local(connection));
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
    let response_stage = stage.clone();
    let service = service_fn(move |request| {
        let response = handler(request, peer);
        let stage = response_stage.clone();
        async move {
            let mut response = response.await;
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
        wait_for_stage(&mut stage, Stage::Closed).await;
        sleep(FINAL_READ_WAIT).await;
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
