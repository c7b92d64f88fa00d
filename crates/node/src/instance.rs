//! An entry instance with all its parts: request path, configuration feed, slots, bills, claims
//! and evidence.
//!
//! Traffic runs on the caller's runtime. What the instance shares with other processes runs on a
//! thread of its own, so that a burst of requests delays no lease.

mod methods;
mod settings;

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex, PoisonError},
    thread,
};

use masticlock_core::{
    feed::Seat,
    planner, policy,
    time::Span,
    timeline::Fact,
};
use tokio::{runtime, sync::oneshot};

pub use settings::{RawSettings, Settings, SettingsError};

use crate::{
    client::{Claims, Control, Pool},
    clock::Clock,
    entry::{self, Parts},
    evidence::Evidence,
    follower::Follower,
    journal::{self, Journal},
    local::Shelf,
    peer::{self, Peer},
};

/// Longest wait for slots of other requests, bills and the last confirmation after the requests
/// have ended.
const HANDOVER: Span = Span::from_secs(5);

/// A running entry instance.
pub struct Handle {
    entry: entry::Handle,
    peer: Arc<Peer>,
    follower: Follower,
    journal: Journal,
    /// Dropping it ends the thread of the shared parts.
    end: oneshot::Sender<()>,
}

/// The parts that run on the instance's own thread.
struct Shared {
    peer: Arc<Peer>,
    follower: Follower,
    evidence: Evidence,
    journal: Journal,
    control: Arc<Control>,
    planner: Arc<Mutex<planner::Adaptive>>,
}

/// Starts an entry instance on the addresses of its settings and waits for its configuration.
///
/// # Errors
///
/// Returns an error if an address can't be bound.
pub async fn start(settings: Settings) -> io::Result<Handle> {
    let listener = TcpListener::bind(settings.listen)?;
    start_on(settings, listener).await
}

/// Starts an entry instance on a listener for other instances.
///
/// # Errors
///
/// Returns an error if the address for callers can't be bound or the cluster secret can't be used.
pub async fn start_on(settings: Settings, listener: TcpListener) -> io::Result<Handle> {
    let (started, shared) = oneshot::channel();
    let (end, ended) = oneshot::channel();
    let parts = settings.clone();
    thread::Builder::new()
        .name("shared".into())
        .spawn(move || run(&parts, listener, started, ended))?;
    let shared = shared
        .await
        .map_err(|_| io::Error::other("the thread of the shared parts ended"))??;
    shared.follower.ready().await;
    let entry = entry::start(Parts {
        settings: settings.entry,
        snapshot: shared.follower.snapshot(),
        slots: shared.peer.clone(),
        announcements: shared.peer.clone(),
        claims: Arc::new(Claims::new(shared.control)),
        bills: shared.peer.clone(),
        answers: Arc::new(Shelf::default()),
        supply: shared.peer.clone(),
        planner: shared.planner,
    })
    .await?;
    shared.journal.record(Fact::Started);
    Ok(Handle {
        entry,
        peer: shared.peer,
        follower: shared.follower,
        journal: shared.journal,
        end,
    })
}

/// Runs the shared parts until the handle is dropped.
fn run(
    settings: &Settings,
    listener: TcpListener,
    started: oneshot::Sender<io::Result<Shared>>,
    ended: oneshot::Receiver<()>,
) {
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            // The starter waits for this answer.
            let _gone = started.send(Err(error));
            return;
        }
    };
    runtime.block_on(async {
        let shared = match build(settings, listener) {
            Ok(shared) => shared,
            Err(error) => {
                let _gone = started.send(Err(error));
                return;
            }
        };
        let (follower, evidence) = (shared.follower.clone(), shared.evidence.clone());
        let (control, planner) = (shared.control.clone(), shared.planner.clone());
        if started.send(Ok(shared)).is_err() {
            return;
        }
        let snapshot = follower.snapshot();
        let learn = |evidence: &Evidence| {
            let config = snapshot.load().config.clone();
            let mut planner = planner.lock().unwrap_or_else(PoisonError::into_inner);
            evidence.read(|pool| policy::Planner::learn(&mut *planner, pool, &config));
        };
        tokio::select! {
            () = follower.run() => {}
            () = evidence.run(&control, learn) => {}
            // The end of the sender is the signal.
            _ = ended => {}
        }
    });
}

fn build(settings: &Settings, listener: TcpListener) -> io::Result<Shared> {
    let address = listener.local_addr()?;
    let clock = Clock::start();
    let boot = journal::wall();
    let journal = Journal::new(settings.entry.instance.clone());
    let pool = Arc::new(Pool::new(&settings.secret).map_err(io::Error::other)?);
    let control = Control::new(settings.control.clone(), &settings.secret);
    let seat = Seat {
        instance: settings.entry.instance.clone(),
        domain: settings.entry.domain.clone(),
        address: address.to_string(),
        incarnation: boot,
    };
    let follower = Follower::new(seat, settings.control.clone(), pool, journal.clone(), clock);
    let parts = peer::Settings {
        instance: settings.entry.instance.clone(),
        domain: settings.entry.domain.clone(),
        boot,
        seeds: settings.seeds.clone(),
        replicas: settings.control.clone(),
        secret: settings.secret.clone(),
    };
    let more = methods::methods(&follower, &journal).map_err(io::Error::other)?;
    let peer = peer::start(parts, listener, follower.snapshot(), more)?;
    follower.on_restriction(&peer);
    Ok(Shared {
        peer,
        follower,
        evidence: Evidence::new(&settings.entry.instance, boot, clock),
        journal,
        control: Arc::new(control.map_err(io::Error::other)?),
        planner: Arc::new(Mutex::new(planner::Adaptive::new())),
    })
}

impl Handle {
    /// Returns the address for callers and upstreams.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.entry.address()
    }

    /// Returns the base URL for callers and upstreams.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.entry.address())
    }

    /// Returns the part that talks to other entry instances.
    #[must_use]
    pub const fn peer(&self) -> &Arc<Peer> {
        &self.peer
    }

    /// Returns the accepted revision that is applied.
    #[must_use]
    pub fn revision(&self) -> Option<u64> {
        self.follower.revision()
    }

    /// Returns how many requests are running.
    #[must_use]
    pub fn active(&self) -> usize {
        self.entry.active()
    }

    /// Stops gracefully: finishes all requests, hands over slots and bills, and says goodbye.
    ///
    /// Returns how many requests were cut because `cut` resolved or the time limit passed.
    pub async fn stop<C>(self, cut: C) -> usize
    where
        C: Future<Output = ()>,
    {
        self.journal.record(Fact::Stopping);
        let cut = self.entry.stop(cut).await;
        self.peer.drain(HANDOVER).await;
        if let Err(error) = self.peer.stop(HANDOVER).await {
            log::warn!("{error}");
        }
        self.follower.leave(HANDOVER).await;
        self.journal.record(Fact::Stopped { cut: cut as u64 });
        drop(self.end);
        cut
    }

    /// Ends at once, as after a crash: nothing is handed over.
    pub async fn kill(self) {
        self.peer.kill();
        drop(self.end);
        self.entry.stop(std::future::ready(())).await;
    }
}
