//! An entry process: HTTP for clients, readiness, metrics and the two threads.

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
use masticlock_core::{
    memory::{max_connections, max_peer_connections},
    time::Span,
};
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
    task::{LocalSet, spawn_local},
    time::sleep,
};

use super::{
    adapter::Adapter,
    buffer::Held,
    forward::Proxy,
    handler,
    http::{self, Limits, Stage},
    socket::{self, Connector, TcpConnector},
    sync::Poller,
    view::SharedState,
};
use crate::clock::Clock;

/// Interval at which the traffic thread publishes its statistics.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Time after a stop request for which new connections are still accepted.
///
/// The load balancer checks readiness once a second and needs two failed checks.
const DRAIN_ACCEPT_TIME: Duration = Duration::from_millis(2_600);

/// Fraction of the grace period after which open requests are aborted.
const GRACE_FRACTION: f64 = 0.93;

/// Maximum size of the head of a readiness request in bytes.
const READINESS_HEAD_BYTES: usize = 8_192;

/// Longest time that a readiness connection stays open without a request.
const READINESS_HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Validated settings of an entry process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Failure domain.
    pub domain: Arc<str>,
    /// Address for clients.
    pub frontend: SocketAddr,
    /// Address of the readiness check.
    pub readiness: SocketAddr,
    /// Address of the metrics.
    pub metrics: SocketAddr,
    /// Internal address, for requests of other entry instances.
    pub peer: SocketAddr,
    /// Internal addresses of the first control instances to contact; at least one.
    pub seeds: Vec<SocketAddr>,
    /// Interval at which upstreams announce themselves.
    pub announcement_interval: Span,
    /// Time after which a revoked key must not work anywhere.
    pub revocation_limit: Span,
    /// Time after which a configuration must be in force everywhere.
    pub apply_limit: Span,
    /// Time between the stop request and the forced end.
    pub grace_period: Span,
    /// Maximum number of retries of a service, as a fraction of its requests.
    pub retry_ratio: f64,
    /// Retries that all instances together may make in addition to that fraction.
    pub retry_extra: f64,
    /// Window in which retries are counted.
    pub retry_window: Span,
    /// Memory of the machine in bytes, if it is limited.
    pub memory_limit: Option<u64>,
    /// Maximum number of descriptors of the process for sockets and data files, if it is limited.
    pub max_descriptors: Option<u64>,
}

/// Body of a response.
#[derive(Debug)]
pub enum ResponseBody {
    /// The complete body; none if it is empty or was sent.
    Buffered(Option<Held>),
    /// Chunks as they arrive. An error closes the connection before the end of the body.
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
            Self::Buffered(held) => {
                let piece = held.as_mut().map(|held| Ok(Frame::data(held.take_piece())));
                if held.as_ref().is_some_and(Held::is_empty) {
                    *held = None;
                }
                Poll::Ready(piece)
            }
            Self::Streamed(parts) => parts.poll_recv(cx).map(|p| p.map(|r| r.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Buffered(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(held) => {
                SizeHint::with_exact(held.as_ref().map_or(0, |held| held.len() as u64))
            }
            Self::Streamed(_) => SizeHint::default(),
        }
    }
}

/// Runs an entry process until `stop` completes and all requests have ended.
///
/// `adapter` creates an adapter for each of the two threads.
///
/// # Errors
///
/// Returns an error if an address can't be bound or the control thread can't be started.
pub async fn run<D, S>(settings: Settings, adapter: D, stop: S) -> io::Result<()>
where
    D: Fn() -> Box<dyn Adapter> + Send + Sync + 'static,
    S: Future<Output = ()>,
{
    run_with(settings, adapter, Links::default(), stop).await
}

/// Creates a connector on the thread that uses it.
pub type CreateConnector = Box<dyn FnOnce() -> Rc<dyn Connector> + Send>;

/// Connectors of an entry process.
pub struct Links {
    /// Opens connections to upstreams.
    pub upstreams: Rc<dyn Connector>,
    /// Creates the connector to control instances.
    pub control: CreateConnector,
}

impl Default for Links {
    fn default() -> Self {
        Self {
            upstreams: Rc::new(TcpConnector),
            control: Box::new(|| Rc::new(TcpConnector)),
        }
    }
}

/// Runs an entry process as [`run`] does, with connections by `links`.
///
/// # Errors
///
/// Returns an error if an address can't be bound or the control thread can't be started.
pub async fn run_with<D, S>(settings: Settings, adapter: D, links: Links, stop: S) -> io::Result<()>
where
    D: Fn() -> Box<dyn Adapter> + Send + Sync + 'static,
    S: Future<Output = ()>,
{
    let clock = Clock::start();
    let state = Arc::new(SharedState::default());
    let id: u64 = rand::random();
    let frontend = socket::listen(settings.frontend)?;
    let readiness = socket::listen(settings.readiness)?;
    let metrics = socket::listen(settings.metrics)?;
    let peers = socket::listen(settings.peer)?;
    let proxy = Rc::new(Proxy::new(
        settings.clone(),
        clock,
        state.clone(),
        adapter(),
        links.upstreams,
        id,
    ));
    let seeds = settings.seeds.clone();
    let place = (settings.domain.clone(), settings.peer);
    let connect = links.control;
    let create_adapter = Arc::new(adapter);
    thread::Builder::new()
        .name("control".into())
        .spawn(move || {
            let links = (connect(), seeds);
            run_control(Poller::new(state, clock, create_adapter, id, place, links));
        })?;
    let (stage_sender, stage_receiver) = watch::channel(Stage::Open);
    let reporter = proxy.clone();
    let reports = spawn_local(async move {
        loop {
            sleep(REPORT_INTERVAL).await;
            reporter.watch_reach();
            reporter.probe_upstreams();
            reporter.close_expired_connections();
            reporter.publish_report();
        }
    });
    let readiness_proxy = proxy.clone();
    let readiness_stage = stage_receiver.clone();
    let readiness = spawn_local(http::serve(
        readiness,
        || Limits {
            head_bytes: READINESS_HEAD_BYTES,
            head_timeout: READINESS_HEAD_TIMEOUT,
        },
        watch::channel(Stage::Open).1,
        move |_: Request<Incoming>, _| {
            let ready = *readiness_stage.borrow() == Stage::Open && readiness_proxy.is_ready();
            async move { readiness_response(ready) }
        },
    ));
    let metrics_proxy = proxy.clone();
    let metrics = spawn_local(http::serve_text(metrics, move || metrics_proxy.metrics()));
    let peers = spawn_local(serve_peers(proxy.clone(), peers, stage_receiver.clone()));
    let limits_proxy = proxy.clone();
    let stopping_proxy = proxy.clone();
    let body_proxy = proxy.clone();
    let connections = http::Connections::new(
        max_connections(settings.memory_limit, settings.max_descriptors),
        move || body_proxy.memory().end_stalled(),
    );
    proxy.watch_connections(connections.clone());
    let serving = http::serve_bounded(
        frontend,
        move || limits_proxy.limits(),
        connections,
        stage_receiver,
        move |request, peer| handler::handle(proxy.clone(), request, peer),
    );
    let ending = async {
        stop.await;
        log::info!(event = "stopping"; "the instance stops");
        stopping_proxy.stop_peers();
        stage_sender.send_replace(Stage::Draining);
        sleep(DRAIN_ACCEPT_TIME).await;
        stage_sender.send_replace(Stage::Closed);
        let rest = settings
            .grace_period
            .to_std()
            .mul_f64(GRACE_FRACTION)
            .saturating_sub(DRAIN_ACCEPT_TIME);
        sleep(rest).await;
    };
    tokio::select! {
        () = serving => {}
        () = ending => log::warn!(event = "stop_forced"; "open requests are aborted before the grace period ends"),
    }
    metrics.abort();
    readiness.abort();
    peers.abort();
    reports.abort();
    log::info!(event = "stopped"; "the instance has stopped");
    Ok(())
}

/// Serves the requests that other entry instances hand over.
async fn serve_peers(proxy: Rc<Proxy>, listener: TcpListener, stage: watch::Receiver<Stage>) {
    let settings = proxy.settings();
    let max = max_peer_connections(settings.memory_limit, settings.max_descriptors);
    let limits = proxy.clone();
    http::serve_bounded(
        listener,
        move || limits.limits(),
        http::Connections::new(max, || false),
        stage,
        move |request, peer| handler::handle_peer(proxy.clone(), request, peer),
    )
    .await;
}

fn readiness_response(ready: bool) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::empty());
    if !ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

/// Runs the control thread.
fn run_control(poller: Poller) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => LocalSet::new().block_on(&runtime, poller.run()),
        Err(error) => log::error!("the control thread can't start: {error}"),
    }
}
