//! What entry instances of a failure domain share: membership, upstreams,
//! slots, restrictions, crash evidence and open records of bills.

mod bills;
mod limits;
mod methods;
mod run;
mod runs;
mod slots;
mod spill;
mod state;

pub mod wire;

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex, MutexGuard, PoisonError, Weak},
};

use arc_swap::ArcSwap;
use jsonrpsee::Methods;
use masticlock_core::{
    config, error,
    gossip::{self, Body, Key, Status},
    name,
    request::Fingerprint,
    suspect,
    time::{Span, Time},
};
use serde::{Serialize, de::DeserializeOwned};
use tokio::sync::{Notify, watch};

use crate::{
    client::{Control, Pool},
    clock::Clock,
    control,
    port::Snapshot,
    rpc::Failure,
};
pub use run::TICK;
use state::State;

/// Time limit of a call to an instance of the own failure domain.
pub const CALL: Span = Span::from_millis(300);

/// Settings of the part that talks to other entry instances.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this instance.
    pub instance: name::Instance,
    /// Its failure domain.
    pub domain: name::Domain,
    /// Number of this process. It grows with each start of the instance.
    pub boot: u64,
    /// Addresses of some instances of the failure domain.
    pub seeds: Vec<String>,
    /// Addresses of the control replicas, which store bills.
    pub replicas: Vec<String>,
    /// The cluster secret.
    pub secret: String,
}

/// The part of an entry instance that talks to other entry instances.
pub struct Peer {
    settings: Settings,
    address: SocketAddr,
    clock: Clock,
    pool: Pool,
    state: Mutex<State>,
    /// The other failure domains. Never locked together with `state`.
    far: Mutex<spill::Far>,
    /// Never locked together with `state`.
    runs: Mutex<runs::Runs>,
    /// Without control replicas no suspect request runs.
    control: Option<Control>,
    snapshot: Arc<ArcSwap<Snapshot>>,
    /// Signals that a slot may have become free.
    freed: Notify,
    /// Signals that there are messages to send.
    outbox: Notify,
    stop: watch::Sender<bool>,
    itself: Weak<Self>,
}

/// Starts the part on a bound listener, which also answers the methods `more`.
///
/// # Errors
///
/// Returns an error if the listener or the cluster secret can't be used.
///
/// # Panics
///
/// Panics outside of a tokio runtime.
pub fn start(
    settings: Settings,
    listener: TcpListener,
    snapshot: Arc<ArcSwap<Snapshot>>,
    more: Methods,
) -> io::Result<Arc<Peer>> {
    let address = listener.local_addr()?;
    let clock = Clock::start();
    let pool = Pool::new(&settings.secret).map_err(io::Error::other)?;
    let control = match settings.replicas.as_slice() {
        [] => None,
        replicas => {
            Some(Control::new(replicas.to_vec(), &settings.secret).map_err(io::Error::other)?)
        }
    };
    let state = State::new(&settings, &address.to_string(), clock.now());
    let (stop, mut stopped) = watch::channel(false);
    let peer = Arc::new_cyclic(|itself| Peer {
        itself: itself.clone(),
        address,
        clock,
        pool,
        state: Mutex::new(state),
        far: Mutex::default(),
        runs: Mutex::default(),
        control,
        snapshot,
        freed: Notify::new(),
        outbox: Notify::new(),
        stop,
        settings,
    });
    let mut methods = methods::methods(&peer).map_err(io::Error::other)?;
    methods.merge(more).map_err(io::Error::other)?;
    let secret = peer.settings.secret.clone();
    let server = async move {
        let end = async move {
            // The sender goes only with the part itself.
            let _ = stopped.wait_for(|stop| *stop).await;
        };
        if let Err(error) = control::serve(listener, methods, &secret, end).await {
            log::error!("the listener for other instances failed: {error}");
        }
    };
    tokio::spawn(server);
    run::spawn(&peer);
    Ok(peer)
}

impl Peer {
    /// Returns the address at which other instances reach this one.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a reference for a task, or `None` at the end of the part.
    fn itself(&self) -> Option<Arc<Self>> {
        self.itself.upgrade()
    }

    fn now(&self) -> Time {
        self.clock.now()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn runs(&self) -> MutexGuard<'_, runs::Runs> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn far(&self) -> MutexGuard<'_, spill::Far> {
        self.far.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn call<P, R>(
        &self,
        address: &str,
        method: &str,
        params: &P,
        limit: Span,
    ) -> Result<R, Failure>
    where
        P: Serialize + Sync,
        R: DeserializeOwned,
    {
        self.pool.call(address, method, params, limit).await
    }

    /// Returns the names of the members that can own upstreams.
    #[must_use]
    pub fn members(&self) -> Vec<name::Instance> {
        let state = self.state();
        let members = state.view.members.iter();
        members.map(|member| member.name.clone()).collect()
    }

    /// Returns the owner of an upstream as this instance sees it.
    #[must_use]
    pub fn owner(&self, upstream: &name::Upstream) -> Option<name::Instance> {
        let state = self.state();
        state.view.owner(upstream).map(|owner| owner.name.clone())
    }

    /// Returns the slots in use and the limit of an upstream that this
    /// instance has a table of.
    #[must_use]
    pub fn load(&self, upstream: &name::Upstream) -> Option<(u32, u32)> {
        self.state().table.load(upstream)
    }

    /// Returns the client accounts that local restrictions block.
    #[must_use]
    pub fn blocked(&self) -> Vec<name::Account> {
        self.state().view.blocked_accounts.clone()
    }

    /// Applies a restriction here at once and spreads it.
    pub fn restrict(&self, id: name::Restriction, limit: config::Restriction) {
        let now = self.now();
        let mut state = self.state();
        let key = Key::Restriction(id);
        state.gossip.put(key, 0, Body::Restriction(limit), now);
        state.refresh(&self.snapshot.load().config);
        drop(state);
        self.outbox.notify_one();
    }

    /// Returns the restrictions that were made without the majority.
    #[must_use]
    pub fn restrictions(&self) -> Vec<(name::Restriction, config::Restriction)> {
        let state = self.state();
        let records = state.gossip.store().records();
        records
            .filter_map(|record| match (&record.key, &record.body) {
                (Key::Restriction(id), Body::Restriction(limit)) => {
                    Some((id.clone(), limit.clone()))
                }
                _ => None,
            })
            .collect()
    }

    /// Returns the records that concern all failure domains: restrictions and crash evidence.
    #[must_use]
    pub fn global_records(&self) -> Vec<gossip::Record> {
        let state = self.state();
        let is_global = |key: &Key| matches!(key, Key::Restriction(_) | Key::Evidence(_));
        let records = state.gossip.store().records();
        records.filter(|r| is_global(&r.key)).cloned().collect()
    }

    /// Takes records of other failure domains.
    pub fn take_records(&self, records: Vec<gossip::Record>) {
        if records.is_empty() {
            return;
        }
        let now = self.now();
        // The answer is for a sender that may lack records, and this one has them all.
        let _answer = self
            .state()
            .gossip
            .handle_message(gossip::Message::Push(records), now);
        self.refresh();
        self.outbox.notify_one();
    }

    /// Waits until two disks have all bills, at most for `limit`.
    pub async fn drain(&self, limit: Span) {
        let end = self.now() + limit;
        while self.bills().open > 0 && self.now() < end {
            tokio::time::sleep(run::TICK).await;
        }
        let open = self.bills().open;
        if open > 0 {
            log::warn!("{open} bills are left to their witnesses");
        }
    }

    /// Returns what may be done with a request.
    #[must_use]
    pub fn verdict(&self, fingerprint: Fingerprint) -> suspect::Status {
        self.state().tracker.status(fingerprint, self.now())
    }

    /// Records that a request starts on an upstream.
    pub fn run_started(
        &self,
        fingerprint: Fingerprint,
        upstream: name::Upstream,
        incarnation: u64,
    ) {
        let tracker = &mut self.state().tracker;
        tracker.started(fingerprint, upstream, incarnation);
    }

    /// Records that a request ended; `completed` says that its answer was whole.
    pub fn run_ended(
        &self,
        fingerprint: Fingerprint,
        upstream: &name::Upstream,
        incarnation: u64,
        completed: bool,
    ) {
        let mut state = self.state();
        let report = state
            .tracker
            .ended(fingerprint, upstream, incarnation, completed);
        if let Some((id, evidence)) = report {
            let key = Key::Evidence(id);
            state
                .gossip
                .put(key, 0, Body::Evidence(evidence), self.now());
            drop(state);
            self.outbox.notify_one();
        }
    }

    /// Records that an upstream crashed and returns when all members that can
    /// be reached have the evidence, or [`suspect::PROPAGATION_TIMEOUT`] is over. The callers
    /// of the requests are answered after that.
    pub async fn run_crashed(&self, upstream: &name::Upstream, incarnation: u64) {
        let now = self.now();
        let (id, messages) = {
            let mut state = self.state();
            let report = state.tracker.crashed(upstream, incarnation, now);
            let Some((id, evidence)) = report else {
                return;
            };
            let key = Key::Evidence(id.clone());
            state
                .gossip
                .put(key.clone(), 0, Body::Evidence(evidence), now);
            (id, state.tell_all(&key))
        };
        self.outbox.notify_one();
        let sends = messages.into_iter().map(|send| self.exchange(send));
        let all = futures_util::future::join_all(sends);
        // Members that don't answer get the evidence by the exchange of hashes.
        let _ = tokio::time::timeout(suspect::PROPAGATION_TIMEOUT.to_std(), all).await;
        self.state().tracker.propagated(&id);
    }

    /// Hands over all upstreams, waits until the slots that are held here are
    /// given back, and ends.
    ///
    /// # Errors
    ///
    /// Returns [`error::Kind::Stopping`] if slots were still held at the limit.
    pub async fn stop(&self, limit: Span) -> Result<(), error::Error> {
        let handovers = {
            let now = self.now();
            let mut state = self.state();
            state.gossip.set_status(Status::Leaving, now);
            state.refresh(&self.snapshot.load().config);
            state.table.hand_over(now)
        };
        self.outbox.notify_one();
        for handover in handovers {
            self.hand_over(handover).await;
        }
        let end = self.now() + limit;
        while !self.state().holder.held().is_empty() && self.now() < end {
            tokio::time::sleep(run::TICK).await;
        }
        let held = self.state().holder.held().len();
        self.kill();
        match held {
            0 => Ok(()),
            _ => Err(error::Error::new(
                error::Kind::Stopping,
                format!("{held} slots were in use when the stop's time limit ended"),
            )),
        }
    }

    /// Ends at once, as after a crash.
    pub fn kill(&self) {
        self.stop.send_replace(true);
    }

    fn is_stopped(&self) -> bool {
        *self.stop.borrow()
    }
}
