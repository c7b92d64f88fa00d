//! An entry instance with all its parts: request path, configuration feed, slots, bills, claims
//! and evidence.
//!
//! Traffic runs on the caller's runtime. What the instance shares with other processes runs on a
//! thread of its own, so that a burst of requests delays no lease.

mod bridge;
mod methods;
mod run;
mod settings;

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::Duration,
};

use arc_swap::ArcSwap;
use masticlock_core::{
    config::Config,
    feed::{InstanceInfo, Record},
    planner, policy,
    time::Span,
    timeline::EventKind,
};
use tokio::{
    runtime,
    sync::{mpsc, oneshot},
    time::sleep,
};

use bridge::Bridge;

pub use run::{Checked, File, run};
pub use settings::{RawSettings, Settings, SettingsError};

use crate::{
    client::{Claims, Control, Pool},
    clock::Clock,
    entry::{self, Components},
    evidence::Evidence,
    explain::Explanations,
    feed::{self, Feed},
    journal::{self, Journal},
    local::Answers,
    peer::{self, Peer},
    port::Snapshot,
};

/// Longest wait for slots of other requests, bills and the last confirmation after the requests
/// have ended.
const HANDOVER: Span = Span::from_secs(5);

/// Pause until the snapshot is looked at again at the start.
const PUBLISH_PAUSE: Duration = Duration::from_millis(5);

/// A running entry instance.
pub struct Handle {
    entry: entry::Handle,
    peer: Arc<Peer>,
    feed: Feed,
    journal: Journal,
    /// Dropping it ends the thread of the shared parts.
    end: oneshot::Sender<()>,
}

/// The parts that run on the instance's own thread.
struct Shared {
    peer: Arc<Peer>,
    feed: Feed,
    records: mpsc::UnboundedReceiver<Vec<Record>>,
    snapshot: Arc<ArcSwap<Snapshot>>,
    evidence: Evidence,
    explanations: Arc<Explanations>,
    journal: Journal,
    clock: Clock,
    control: Arc<Control>,
    planner: Arc<Mutex<planner::Adaptive>>,
}

/// What the request path needs of the shared parts.
struct Started {
    peer: Arc<Peer>,
    feed: Feed,
    snapshot: Arc<ArcSwap<Snapshot>>,
    evidence: Evidence,
    explanations: Arc<Explanations>,
    journal: Journal,
    clock: Clock,
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
        .spawn(move || share(&parts, listener, started, ended))?;
    let shared = shared
        .await
        .map_err(|_| io::Error::other("the thread of the shared parts ended"))??;
    let mut view = shared.feed.watch();
    view.wait_for(|view| view.config.is_some())
        .await
        .map_err(|_| io::Error::other("the feed ended before the first configuration"))?;
    // The bridge publishes the snapshot after it has seen the same view.
    while shared.snapshot.load().config.revision == 0 && revision_of(&shared.feed) != Some(0) {
        sleep(PUBLISH_PAUSE).await;
    }
    let entry = entry::start(Components {
        settings: settings.entry,
        clock: shared.clock,
        snapshot: shared.snapshot,
        slots: shared.peer.clone(),
        announcements: shared.peer.clone(),
        claims: Arc::new(Claims::new(shared.control)),
        bills: shared.peer.clone(),
        answers: Arc::new(Answers::default()),
        outcomes: Arc::new(shared.evidence),
        explanations: shared.explanations,
        availability: shared.peer.clone(),
        planner: shared.planner,
    })
    .await?;
    shared.journal.record(EventKind::Started);
    Ok(Handle {
        entry,
        peer: shared.peer,
        feed: shared.feed,
        journal: shared.journal,
        end,
    })
}

/// Runs the shared parts until the handle is dropped.
fn share(
    settings: &Settings,
    listener: TcpListener,
    started: oneshot::Sender<io::Result<Started>>,
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
        let started_parts = Started {
            peer: shared.peer.clone(),
            feed: shared.feed.clone(),
            snapshot: shared.snapshot.clone(),
            evidence: shared.evidence.clone(),
            explanations: shared.explanations.clone(),
            journal: shared.journal.clone(),
            clock: shared.clock,
            control: shared.control.clone(),
            planner: shared.planner.clone(),
        };
        if started.send(Ok(started_parts)).is_ok() {
            shared.run(ended).await;
        }
    });
}

impl Shared {
    async fn run(self, ended: oneshot::Receiver<()>) {
        let learn = |evidence: &Evidence| {
            let config = self.snapshot.load().config.clone();
            let mut planner = self.planner.lock().unwrap_or_else(PoisonError::into_inner);
            evidence.read(|pool| policy::Planner::learn(&mut *planner, pool, &config));
        };
        let bridge = Bridge {
            feed: self.feed,
            peer: self.peer,
            snapshot: self.snapshot.clone(),
            journal: self.journal,
            clock: self.clock,
        };
        tokio::select! {
            () = bridge.run(self.records) => {}
            () = self.evidence.run(&self.control, learn) => {}
            // The end of the sender is the signal.
            _ = ended => {}
        }
    }
}

fn revision_of(feed: &Feed) -> Option<u64> {
    feed.view().config.as_ref().map(|config| config.revision)
}

fn build(settings: &Settings, listener: TcpListener) -> io::Result<Shared> {
    let address = listener.local_addr()?;
    let clock = Clock::start();
    let boot = journal::wall();
    let journal = Journal::new(settings.entry.instance.clone());
    let pool = Arc::new(Pool::new(&settings.secret).map_err(io::Error::other)?);
    let control = Control::new(settings.control.clone(), &settings.secret);
    let seat = InstanceInfo {
        instance: settings.entry.instance.clone(),
        domain: settings.entry.domain.clone(),
        address: address.to_string(),
        incarnation: boot,
    };
    let (feed, records) = feed::start(seat, settings.control.clone(), pool, clock);
    let snapshot = Arc::new(ArcSwap::from_pointee(Snapshot {
        config: Arc::new(Config::default()),
        lease_end: Some(clock.instant(clock.now())),
    }));
    let parts = peer::Settings {
        instance: settings.entry.instance.clone(),
        domain: settings.entry.domain.clone(),
        boot,
        seeds: settings.seeds.clone(),
        replicas: settings.control.clone(),
        secret: settings.secret.clone(),
    };
    let explanations = Arc::new(Explanations::default());
    let more = methods::methods(&feed, &journal, &explanations).map_err(io::Error::other)?;
    let peer = peer::start(parts, listener, snapshot.clone(), more)?;
    Ok(Shared {
        peer,
        feed,
        records,
        snapshot,
        clock,
        explanations,
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
        revision_of(&self.feed)
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
        self.journal.record(EventKind::Stopping);
        let cut = self.entry.stop(cut).await;
        self.peer.drain(HANDOVER).await;
        if let Err(error) = self.peer.stop(HANDOVER).await {
            log::warn!("{error}");
        }
        self.feed.leave(HANDOVER).await;
        self.journal.record(EventKind::Stopped { cut: cut as u64 });
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
