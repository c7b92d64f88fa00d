//! The request path of an entry instance.
//!
//! [`start`] serves callers and upstreams. [`masticlock_core::attempt`] decides
//! about each request; this module performs the I/O of those decisions.

mod admission;
mod deliver;
mod driver;
mod exchange;
mod handler;
mod listener;
mod metrics;
mod pool;
mod reply;
mod send;
mod settings;
mod sse;

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use arc_swap::ArcSwap;
use masticlock_core::{budget::Budget, policy, session::Signer, time::Time};
use poem::Server;
use tokio::{
    net::TcpListener,
    runtime,
    sync::{Notify, watch},
    task::JoinHandle,
    time::timeout,
};

pub use admission::key_digest;
pub use settings::{RawLimits, RawSettings, Settings, SettingsError};

use crate::{
    clock::Clock,
    explain::Explanations,
    port::{Announcements, Answers, Bills, Claims, Outcomes, Slots, Snapshot},
};

/// Components that an entry instance is assembled from.
pub struct Components {
    /// Checked settings.
    pub settings: Settings,
    /// Clock shared with the planner's predictions.
    pub clock: Clock,
    /// Active configuration.
    pub snapshot: Arc<ArcSwap<Snapshot>>,
    /// Allocates slots on upstreams.
    pub slots: Arc<dyn Slots>,
    /// Registers the announcements of upstreams.
    pub announcements: Arc<dyn Announcements>,
    /// Records the claims of calls that run at most once.
    pub claims: Arc<dyn Claims>,
    /// Records the bills of requests.
    pub bills: Arc<dyn Bills>,
    /// Shares the responses to requests that have the same idempotency key.
    pub answers: Arc<dyn Answers>,
    /// Collects the results of model versions as evidence.
    pub outcomes: Arc<dyn Outcomes>,
    /// Keeps the reasons for the plans of recent requests.
    pub explanations: Arc<Explanations>,
    /// Reports free slots to the planner.
    pub availability: Arc<dyn policy::Availability + Send + Sync>,
    /// Chooses the plan of each request.
    pub planner: Arc<Mutex<dyn policy::Planner>>,
}

/// Phase of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ShutdownPhase {
    /// Ready and accepts new work.
    Serving,
    /// Not ready, but accepts new work until the load balancer has noticed.
    Unready,
    /// Finishes running requests and rejects new ones.
    Draining,
    /// Ends all running requests with an error.
    Aborting,
}

/// State shared by all requests of an instance.
struct Shared {
    settings: Settings,
    snapshot: Arc<ArcSwap<Snapshot>>,
    slots: Arc<dyn Slots>,
    announcements: Arc<dyn Announcements>,
    claims: Arc<dyn Claims>,
    bills: Arc<dyn Bills>,
    answers: Arc<dyn Answers>,
    outcomes: Arc<dyn Outcomes>,
    explanations: Arc<Explanations>,
    availability: Arc<dyn policy::Availability + Send + Sync>,
    planner: Arc<Mutex<dyn policy::Planner>>,
    signer: Signer,
    pools: pool::Pools,
    budget: Budget,
    metrics: metrics::Metrics,
    runtime: runtime::Handle,
    clock: Clock,
    /// Start of the process in milliseconds since the Unix epoch, which makes the ids of two
    /// starts differ.
    process_start_ms: u64,
    next_number: AtomicU64,
    active: AtomicUsize,
    idle: Notify,
    shutdown_phase: watch::Sender<ShutdownPhase>,
    /// Wakes all running requests when the instance aborts them.
    abort: Arc<Notify>,
    aborting: AtomicBool,
}

impl Shared {
    fn now(&self) -> Time {
        self.clock.now()
    }

    /// Converts a time to an instant of the runtime's timers.
    fn instant(&self, time: Time) -> tokio::time::Instant {
        self.clock.instant(time).into()
    }

    fn next_seed(&self) -> u64 {
        self.process_start_ms
            .wrapping_add(self.next_number.fetch_add(1, Ordering::Relaxed))
    }

    /// Returns a unique id for a request or session.
    fn next_id(&self) -> String {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        format!(
            "{}-{:x}-{number:x}",
            self.short_name(),
            self.process_start_ms
        )
    }

    /// Returns the instance's name, truncated to the length that fits into an id.
    fn short_name(&self) -> &str {
        const MAX_BYTES: usize = 24;
        let name = self.settings.instance.as_str();
        // Names are ASCII, so every byte index is a character boundary.
        &name[..name.len().min(MAX_BYTES)]
    }

    fn is_ready(&self) -> bool {
        *self.shutdown_phase.borrow() == ShutdownPhase::Serving
    }

    /// Returns whether the instance's failure domain is taken out of service. The instance then
    /// reports that it is not ready, so that the load balancer uses other instances.
    fn is_taken_out(&self) -> bool {
        let snapshot = self.snapshot.load();
        let taken_out = &snapshot.config.taken_out;
        taken_out.binary_search(&self.settings.domain).is_ok()
    }

    fn is_draining(&self) -> bool {
        *self.shutdown_phase.borrow() >= ShutdownPhase::Draining
    }

    fn is_aborting(&self) -> bool {
        self.aborting.load(Ordering::Acquire)
    }
}

/// Counts a request or other work as active until it is dropped. A graceful shutdown waits for
/// all active work.
struct ActiveWork(Arc<Shared>);

impl ActiveWork {
    fn new(shared: &Arc<Shared>) -> Self {
        shared.active.fetch_add(1, Ordering::Relaxed);
        Self(shared.clone())
    }
}

impl Drop for ActiveWork {
    fn drop(&mut self) {
        if self.0.active.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.0.idle.notify_waiters();
        }
    }
}

/// A running entry instance.
pub struct Handle {
    address: SocketAddr,
    shared: Arc<Shared>,
    server: JoinHandle<io::Result<()>>,
}

/// Time for the errors of aborted requests to reach the callers.
const ABORT_GRACE: Duration = Duration::from_millis(500);

/// Starts an entry instance, which serves callers and upstreams.
///
/// # Errors
///
/// Returns an error if the address can't be bound or a client can't be built.
pub async fn start(components: Components) -> io::Result<Handle> {
    let listener = TcpListener::bind(components.settings.listen).await?;
    let address = listener.local_addr()?;
    let limits = components.settings.limits;
    let process_start_ms = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(0));
    let shared = Arc::new(Shared {
        signer: Signer::new(&components.settings.session_key),
        pools: pool::Pools::new(Duration::from_millis(limits.connect_ms))
            .map_err(io::Error::other)?,
        metrics: metrics::Metrics::new(components.settings.metrics)?,
        settings: components.settings,
        snapshot: components.snapshot,
        slots: components.slots,
        announcements: components.announcements,
        claims: components.claims,
        bills: components.bills,
        answers: components.answers,
        outcomes: components.outcomes,
        explanations: components.explanations,
        availability: components.availability,
        planner: components.planner,
        budget: Budget::default(),
        runtime: runtime::Handle::current(),
        clock: components.clock,
        process_start_ms,
        next_number: AtomicU64::new(0),
        active: AtomicUsize::new(0),
        idle: Notify::new(),
        shutdown_phase: watch::Sender::new(ShutdownPhase::Serving),
        abort: Arc::default(),
        aborting: AtomicBool::new(false),
    });
    let mut phase = shared.shutdown_phase.subscribe();
    let draining = async move {
        // An error means that the sender is gone, but it lives as long as the server.
        let _ = phase.wait_for(|p| *p >= ShutdownPhase::Draining).await;
    };
    let server = Server::new_with_acceptor(listener::LimitedListener::new(listener, limits)?);
    let handler = handler::Handler(shared.clone());
    let server = tokio::spawn(server.run_with_graceful_shutdown(handler, draining, None));
    Ok(Handle {
        address,
        shared,
        server,
    })
}

impl Handle {
    /// Returns the address on which the instance listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of running requests and other active work.
    #[must_use]
    pub fn active(&self) -> usize {
        self.shared.active.load(Ordering::Acquire)
    }

    /// Stops gracefully and returns how many requests were aborted.
    ///
    /// The instance reports at once that it is not ready, but accepts new work
    /// until the load balancer has had time to notice. It then finishes all
    /// requests. When `abort` resolves or the time limit passes, it ends the
    /// remaining ones with an error.
    pub async fn stop<A>(mut self, abort: A) -> usize
    where
        A: Future<Output = ()>,
    {
        let limits = self.shared.settings.limits;
        self.shared
            .shutdown_phase
            .send_replace(ShutdownPhase::Unready);
        let finish = async {
            tokio::time::sleep(Duration::from_millis(limits.notice_ms)).await;
            self.shared
                .shutdown_phase
                .send_replace(ShutdownPhase::Draining);
            let limit = Duration::from_millis(limits.stop_ms);
            // After a timeout the number of active requests is above zero.
            let _ = timeout(limit, self.wait_until_idle()).await;
        };
        tokio::select! {
            () = finish => {}
            () = abort => {}
        }
        let aborted = self.active();
        self.shared
            .shutdown_phase
            .send_replace(ShutdownPhase::Aborting);
        self.shared.aborting.store(true, Ordering::Release);
        self.shared.abort.notify_waiters();
        // The server closes idle keep-alive connections.
        let _ = timeout(ABORT_GRACE, &mut self.server).await;
        self.server.abort();
        aborted
    }

    /// Waits until no work is active.
    async fn wait_until_idle(&self) {
        loop {
            let idle = self.shared.idle.notified();
            tokio::pin!(idle);
            // Registered before the count is read, so that no notification is missed.
            idle.as_mut().enable();
            if self.active() == 0 {
                return;
            }
            idle.await;
        }
    }
}
