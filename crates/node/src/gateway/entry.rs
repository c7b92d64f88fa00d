//! An entry process: HTTP for callers, readiness and the two threads.

use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    sync::Arc,
    task::{Context, Poll},
    thread,
    time::Duration,
};

use hyper::{
    Request, Response, StatusCode,
    body::{Body, Bytes, Frame, Incoming, SizeHint},
};
use masticlock_core::time::Span;
use tokio::{
    sync::{mpsc, watch},
    task::{LocalSet, spawn_local},
    time::{sleep, timeout},
};

use super::{
    adapter::Adapter,
    forward::Proxy,
    handler,
    http::{self, Limits, Stage},
    socket,
    sync::Poller,
    view::SharedState,
};
use crate::clock::Clock;

/// Interval at which the traffic thread writes its report.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Time after a stop was asked for in which new connections are still accepted.
///
/// The load balancer asks for readiness once a second and needs two answers.
const LEAVE: Duration = Duration::from_millis(2_600);

/// Part of the grace time after which open requests are given up.
const GRACE_PART: f64 = 0.93;

/// Longest head of a readiness request in bytes.
const READINESS_HEAD: usize = 8_192;

/// Longest time that a readiness connection stays open without a request.
const READINESS_IDLE: Duration = Duration::from_secs(10);

/// Settings of an entry process, checked.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Failure domain.
    pub domain: Arc<str>,
    /// Address for callers.
    pub frontend: SocketAddr,
    /// Address for questions about readiness.
    pub readiness: SocketAddr,
    /// Address of the metrics.
    pub metrics: SocketAddr,
    /// Internal addresses of control instances to begin with; at least one.
    pub seeds: Vec<SocketAddr>,
    /// Interval at which upstreams announce themselves.
    pub announcement_interval: Span,
    /// Time after which a key that was taken away must not work anywhere.
    pub revocation_limit: Span,
    /// Time between the request to stop and the forced end.
    pub grace_period: Span,
    /// Requests to second upstreams, as a part of all requests of a service.
    pub retry_ratio: f64,
    /// Requests to second upstreams that all instances together have beside that part.
    pub retry_extra: f64,
    /// Window of that limit.
    pub retry_window: Span,
}

/// An answer's body.
#[derive(Debug)]
pub enum ResponseBody {
    /// All of it.
    Buffered(Option<Bytes>),
    /// Parts as they arrive. An error closes the connection without the end of the body.
    Streamed(mpsc::Receiver<io::Result<Bytes>>),
}

impl ResponseBody {
    /// Returns an empty body.
    #[must_use]
    pub const fn empty() -> Self {
        Self::Buffered(None)
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            Self::Buffered(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Streamed(parts) => parts.poll_recv(cx).map(|p| p.map(|r| r.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Buffered(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Self::Streamed(_) => SizeHint::default(),
        }
    }
}

/// Runs an entry process until `stop` asks for its end and all requests have ended.
///
/// `adapter` makes one adapter for each thread.
///
/// # Errors
///
/// Returns an error if an address can't be bound or the control thread can't be started.
pub async fn run<D, S>(settings: Settings, adapter: D, stop: S) -> io::Result<()>
where
    D: Fn() -> Box<dyn Adapter> + Send + 'static,
    S: Future<Output = ()>,
{
    let clock = Clock::start();
    let shared = Arc::new(SharedState::default());
    let instance: u64 = rand::random();
    let front = socket::listen(settings.frontend)?;
    let readiness = socket::listen(settings.readiness)?;
    let metrics = socket::listen(settings.metrics)?;
    let proxy = Rc::new(Proxy::new(
        settings.clone(),
        clock,
        shared.clone(),
        adapter(),
        instance,
    ));
    let (seeds, domain) = (settings.seeds.clone(), settings.domain.clone());
    thread::Builder::new()
        .name("control".into())
        .spawn(move || {
            control(Poller::new(
                shared,
                clock,
                adapter(),
                instance,
                domain,
                seeds,
            ));
        })?;
    let (stage, staged) = watch::channel(Stage::Open);
    let reporter = proxy.clone();
    let reports = spawn_local(async move {
        loop {
            sleep(REPORT_INTERVAL).await;
            reporter.report();
        }
    });
    let ready_proxy = proxy.clone();
    let ready_stage = staged.clone();
    let readiness = spawn_local(http::serve(
        readiness,
        || Limits {
            head_bytes: READINESS_HEAD,
            head_timeout: READINESS_IDLE,
        },
        watch::channel(Stage::Open).1,
        move |_: Request<Incoming>, _| {
            let ready = *ready_stage.borrow() == Stage::Open && ready_proxy.is_ready();
            async move { answer_readiness(ready) }
        },
    ));
    let measured = proxy.clone();
    let metrics = spawn_local(http::serve_text(metrics, move || measured.metrics()));
    let limits = proxy.clone();
    let serving = http::serve(
        front,
        move || limits.limits(),
        staged,
        move |request, _| handler::handle(proxy.clone(), request),
    );
    let ending = async {
        stop.await;
        log::info!(event = "stopping"; "takes no new connections from now on");
        stage.send_replace(Stage::Draining);
        sleep(LEAVE).await;
        stage.send_replace(Stage::Closed);
        let rest = settings
            .grace_period
            .to_std()
            .mul_f64(GRACE_PART)
            .saturating_sub(LEAVE);
        sleep(rest).await;
    };
    tokio::select! {
        () = serving => {}
        () = ending => log::warn!(event = "stop_forced"; "requests are still open at the end"),
    }
    metrics.abort();
    readiness.abort();
    reports.abort();
    log::info!(event = "stopped"; "has ended");
    Ok(())
}

fn answer_readiness(ready: bool) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::empty());
    if !ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

fn control(poller: Poller) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => LocalSet::new().block_on(&runtime, poller.run()),
        Err(error) => log::error!("the control thread can't start: {error}"),
    }
}

/// Reads a body of `limit` bytes at most within `patience`.
///
/// # Errors
///
/// Returns the status that tells the caller what is wrong.
pub async fn read_body(
    mut body: Incoming,
    limit: usize,
    patience: Duration,
) -> Result<Bytes, StatusCode> {
    let mut whole = Vec::new();
    let read = async {
        loop {
            let frame = std::future::poll_fn(|cx| Pin::new(&mut body).poll_frame(cx)).await;
            let Some(frame) = frame else {
                return Ok(());
            };
            let frame = frame.map_err(|error| {
                log::debug!("a request's body broke off: {error}");
                StatusCode::BAD_REQUEST
            })?;
            if let Ok(data) = frame.into_data() {
                if whole.len() + data.len() > limit {
                    return Err(StatusCode::PAYLOAD_TOO_LARGE);
                }
                whole.extend_from_slice(&data);
            }
        }
    };
    timeout(patience, read)
        .await
        .map_err(|_| StatusCode::REQUEST_TIMEOUT)??;
    Ok(Bytes::from(whole))
}
