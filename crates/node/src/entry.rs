//! The request path of an entry instance.
//!
//! [`start`] serves callers and upstreams. The decisions about a request are
//! in [`masticlock_core::attempt`]; this module only carries them out.

mod deliver;
mod driver;
mod front;
mod guard;
mod job;
mod metrics;
mod pool;
mod reply;
mod send;
mod settings;
mod sse;
mod wire;

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

pub use job::key_digest;
pub use settings::{RawLimits, RawSettings, Settings, SettingsError};

use crate::{
    clock::Clock,
    explain::Explanations,
    port::{Announcements, Answers, Bills, Claims, Outcomes, Slots, Snapshot},
};

/// Components that an entry instance is assembled from.
pub struct Components {
    /// Settings.
    pub settings: Settings,
    /// Clock that the planner's predictions share.
    pub clock: Clock,
    /// The configuration in force.
    pub snapshot: Arc<ArcSwap<Snapshot>>,
    /// Slots on upstreams.
    pub slots: Arc<dyn Slots>,
    /// Announcements of upstreams.
    pub announcements: Arc<dyn Announcements>,
    /// Claims on calls that run at most once.
    pub claims: Arc<dyn Claims>,
    /// Bills.
    pub bills: Arc<dyn Bills>,
    /// Answers of requests with an idempotency key.
    pub answers: Arc<dyn Answers>,
    /// Evidence of what versions did.
    pub outcomes: Arc<dyn Outcomes>,
    /// Why requests got their plans.
    pub explanations: Arc<Explanations>,
    /// Free slots, as the planner sees them.
    pub availability: Arc<dyn policy::Availability + Send + Sync>,
    /// Chooses plans.
    pub planner: Arc<Mutex<dyn policy::Planner>>,
}

/// How far a graceful stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    /// Takes new work.
    Serving,
    /// Takes new work until the load balancer has seen that it is not ready.
    Leaving,
    /// Finishes its requests and takes no new ones.
    Closed,
    /// Ends its requests.
    Cut,
}

/// What the requests of an instance share.
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
    /// Number of the process, so that ids of two starts differ.
    boot: u64,
    next: AtomicU64,
    active: AtomicUsize,
    idle: Notify,
    stage: watch::Sender<Stage>,
    /// Wakes all requests when they must end.
    cut: Arc<Notify>,
    is_cut: AtomicBool,
}

impl Shared {
    fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns a time as the runtime's timers take it.
    fn instant(&self, time: Time) -> tokio::time::Instant {
        self.clock.instant(time).into()
    }

    fn next_seed(&self) -> u64 {
        self.boot
            .wrapping_add(self.next.fetch_add(1, Ordering::Relaxed))
    }

    /// Returns an id that no other request or session has.
    fn next_id(&self) -> String {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{number:x}", self.short_name(), self.boot)
    }

    /// Returns as much of the instance's name as fits into an id.
    fn short_name(&self) -> &str {
        const MAX_BYTES: usize = 24;
        let name = self.settings.instance.as_str();
        // Names are ASCII, so that every byte is a boundary.
        &name[..name.len().min(MAX_BYTES)]
    }

    fn is_ready(&self) -> bool {
        *self.stage.borrow() == Stage::Serving
    }

    /// Returns whether the own failure domain gets no new work, so that the load balancer should
    /// use other instances.
    fn is_taken_out(&self) -> bool {
        let snapshot = self.snapshot.load();
        let taken_out = &snapshot.config.taken_out;
        taken_out.binary_search(&self.settings.domain).is_ok()
    }

    fn is_closed(&self) -> bool {
        *self.stage.borrow() >= Stage::Closed
    }

    fn is_cut(&self) -> bool {
        self.is_cut.load(Ordering::Acquire)
    }
}

/// Counts a request or other work that a graceful stop waits for.
struct Active(Arc<Shared>);

impl Active {
    fn new(shared: &Arc<Shared>) -> Self {
        shared.active.fetch_add(1, Ordering::Relaxed);
        Self(shared.clone())
    }
}

impl Drop for Active {
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

/// Time for errors of requests that were cut to reach the callers.
const CUT_GRACE: Duration = Duration::from_millis(500);

/// Starts to serve callers and upstreams.
///
/// # Errors
///
/// Returns an error if the address can't be bound or a client can't be built.
pub async fn start(components: Components) -> io::Result<Handle> {
    let listener = TcpListener::bind(components.settings.listen).await?;
    let address = listener.local_addr()?;
    let limits = components.settings.limits;
    let boot = SystemTime::now()
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
        boot,
        next: AtomicU64::new(0),
        active: AtomicUsize::new(0),
        idle: Notify::new(),
        stage: watch::Sender::new(Stage::Serving),
        cut: Arc::default(),
        is_cut: AtomicBool::new(false),
    });
    let mut stage = shared.stage.subscribe();
    let closed = async move {
        // The sender lives as long as the server.
        let _ = stage.wait_for(|s| *s >= Stage::Closed).await;
    };
    let server = Server::new_with_acceptor(guard::Guard::new(listener, limits)?);
    let front = front::Front(shared.clone());
    let server = tokio::spawn(server.run_with_graceful_shutdown(front, closed, None));
    Ok(Handle {
        address,
        shared,
        server,
    })
}

impl Handle {
    /// Returns the address that is served.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how many requests are running.
    #[must_use]
    pub fn active(&self) -> usize {
        self.shared.active.load(Ordering::Acquire)
    }

    /// Stops gracefully and returns how many requests were cut.
    ///
    /// The instance is not ready at once and takes new work until the load
    /// balancer has had time to notice. It then finishes all requests. When
    /// `cut` resolves or the time limit passes, it ends what is left.
    pub async fn stop<C>(mut self, cut: C) -> usize
    where
        C: Future<Output = ()>,
    {
        let limits = self.shared.settings.limits;
        self.shared.stage.send_replace(Stage::Leaving);
        let finish = async {
            tokio::time::sleep(Duration::from_millis(limits.notice_ms)).await;
            self.shared.stage.send_replace(Stage::Closed);
            let limit = Duration::from_millis(limits.stop_ms);
            // Running out of time is seen by the number of active requests.
            let _ = timeout(limit, self.drained()).await;
        };
        tokio::select! {
            () = finish => {}
            () = cut => {}
        }
        let left = self.active();
        self.shared.stage.send_replace(Stage::Cut);
        self.shared.is_cut.store(true, Ordering::Release);
        self.shared.cut.notify_waiters();
        // Keep-alive connections without a request are closed by the server.
        let _ = timeout(CUT_GRACE, &mut self.server).await;
        self.server.abort();
        left
    }

    async fn drained(&self) {
        loop {
            let idle = self.shared.idle.notified();
            tokio::pin!(idle);
            // Enabled before the count is read, so that no end is missed.
            idle.as_mut().enable();
            if self.active() == 0 {
                return;
            }
            idle.await;
        }
    }
}
