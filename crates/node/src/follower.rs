//! Keeps this instance's configuration current and serves the instances that poll it.

use std::{
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use arc_swap::ArcSwap;
use futures_util::future::BoxFuture;
use masticlock_core::{
    config::Config,
    error,
    feed::{self, Client, Outgoing, POLL_MARGIN, Record, Reply, Seat, Source},
    name,
    time::Span,
    timeline::Fact,
};
use tokio::{
    sync::watch,
    time::{sleep, timeout_at},
};

use crate::{
    client::Pool,
    clock::Clock,
    journal::Journal,
    port::Snapshot,
    rpc::{self, Failure, Restrict},
};

/// Pause before the next source is asked after a failure.
const FAILURE_PAUSE: Duration = Duration::from_millis(50);

/// Interval of the housekeeping, and the longest delay until the end of the lease is recorded.
const HOUSEKEEPING: Duration = Duration::from_millis(500);

/// Sends polls to relays and control replicas.
pub trait Transport: fmt::Debug + Send + Sync {
    /// Sends a poll and waits for its answer, at most for the limit.
    fn poll<'a>(
        &'a self,
        address: &'a str,
        poll: &'a feed::Poll,
        limit: Span,
    ) -> BoxFuture<'a, Result<Reply, Failure>>;
}

impl Transport for Pool {
    fn poll<'a>(
        &'a self,
        address: &'a str,
        poll: &'a feed::Poll,
        limit: Span,
    ) -> BoxFuture<'a, Result<Reply, Failure>> {
        Box::pin(self.call(address, rpc::FEED_POLL, poll, limit))
    }
}

/// Follows the configuration.
#[derive(Clone, Debug)]
pub struct Follower {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    clock: Clock,
    transport: Arc<dyn Transport>,
    journal: Journal,
    snapshot: Arc<ArcSwap<Snapshot>>,
    /// Number of the latest news, for polls that are held and for urgent polls.
    news: watch::Sender<u64>,
}

#[derive(Debug)]
struct State {
    client: Client,
    /// Restrictions that were made without the majority, sorted by id.
    restrictions: Vec<Restrict>,
    connected: bool,
}

impl Follower {
    /// Returns a follower without a configuration. [`Follower::run`] keeps it current.
    #[must_use]
    pub fn new(
        seat: Seat,
        control: Vec<String>,
        transport: Arc<dyn Transport>,
        journal: Journal,
        clock: Clock,
    ) -> Self {
        let snapshot = Snapshot {
            config: Arc::new(Config::default()),
            lease_end: Some(clock.instant(clock.now())),
        };
        let state = State {
            client: Client::new(seat, control, clock.now()),
            restrictions: Vec::new(),
            connected: false,
        };
        Self {
            shared: Arc::new(Shared {
                state: Mutex::new(state),
                clock,
                transport,
                journal,
                snapshot: Arc::new(ArcSwap::from_pointee(snapshot)),
                news: watch::Sender::new(0),
            }),
        }
    }

    /// Returns the snapshot that traffic reads.
    #[must_use]
    pub fn snapshot(&self) -> Arc<ArcSwap<Snapshot>> {
        Arc::clone(&self.shared.snapshot)
    }

    /// Returns the contact instances of all failure domains.
    #[must_use]
    pub fn contacts(&self) -> Vec<feed::Contact> {
        self.shared.lock().client.contacts().to_vec()
    }

    /// Returns the accepted revision that is applied; `None` before the first.
    #[must_use]
    pub fn revision(&self) -> Option<u64> {
        self.shared.lock().client.config().map(|c| c.revision)
    }

    /// Waits for the first configuration.
    pub async fn ready(&self) {
        let mut news = self.shared.news.subscribe();
        // The sender is part of this follower, so it can't be gone.
        let _ = news.wait_for(|_| self.revision().is_some()).await;
    }

    /// Polls until the process ends.
    pub async fn run(&self) {
        tokio::join!(self.hold(), self.hurry(), self.keep_house());
    }

    /// Sends polls that the source holds until there is news.
    async fn hold(&self) {
        loop {
            if !self.poll(false).await {
                sleep(FAILURE_PAUSE).await;
            }
        }
    }

    /// Sends confirmations and records while another poll is held.
    async fn hurry(&self) {
        let mut news = self.shared.news.subscribe();
        loop {
            if self.shared.lock().client.is_urgent() {
                if !self.poll(true).await {
                    sleep(FAILURE_PAUSE).await;
                }
            } else if news.changed().await.is_err() {
                return;
            }
        }
    }

    async fn keep_house(&self) {
        loop {
            sleep(HOUSEKEEPING).await;
            let now = self.shared.clock.now();
            let mut state = self.shared.lock();
            state.client.forget(now);
            self.shared.watch_lease(&mut state);
        }
    }

    /// Sends one poll; returns whether it was answered.
    async fn poll(&self, urgent: bool) -> bool {
        let shared = &self.shared;
        let (source, outgoing) = {
            let now = shared.clock.now();
            let mut state = shared.lock();
            let Some(source) = state.client.source(now) else {
                return false;
            };
            let outgoing = state.client.poll(urgent, now);
            if urgent {
                state.client.urgent_sent();
            }
            (source, outgoing)
        };
        let limit = outgoing.poll.hold.plus(POLL_MARGIN);
        let answer = shared
            .transport
            .poll(source.address(), &outgoing.poll, limit)
            .await;
        match answer {
            Ok(reply) => shared.take(&source, &outgoing, reply),
            Err(failure) => {
                shared.fail(&source, &failure);
                false
            }
        }
    }

    /// Answers the poll of another instance of the failure domain.
    ///
    /// # Errors
    ///
    /// Returns [`error::Kind::NoLeader`] while this instance has no
    /// configuration, or control does not know the poller yet.
    pub async fn serve(&self, poll: feed::Poll) -> Result<Reply, Failure> {
        let shared = &self.shared;
        let arrived = shared.clock.now();
        let hold = poll.hold.min(feed::HOLD);
        let until = tokio::time::Instant::from_std(shared.clock.instant(arrived + hold));
        let mut news = shared.news.subscribe();
        let poll = shared.lock().client.hear(poll, arrived);
        shared.tell();
        loop {
            let due = tokio::time::Instant::now() >= until;
            {
                let state = shared.lock();
                let admitted = state.client.is_admitted(&poll);
                if admitted && (due || state.client.has_news(&poll)) {
                    let reply = state.client.answer(&poll, arrived, shared.clock.now());
                    return reply.ok_or_else(not_ready);
                }
            }
            if due {
                return Err(not_ready());
            }
            // Both a change and the end of the hold lead to another look.
            let _ = timeout_at(until, news.changed()).await;
        }
    }

    /// Applies a restriction here at once and spreads it.
    ///
    /// # Errors
    ///
    /// Returns [`error::Kind::CommandReused`] if the id is known with another content.
    pub fn restrict(&self, restrict: &Restrict) -> Result<(), error::Error> {
        let mut state = self.shared.lock();
        if let Ok(at) = find(&state.restrictions, &restrict.id)
            && state.restrictions[at] != *restrict
        {
            return Err(error::Error::new(
                error::Kind::CommandReused,
                format!("restriction {} exists with another content", restrict.id),
            ));
        }
        let record = Record {
            id: format!("restriction/{}", restrict.id),
            body: serde_json::to_string(restrict)
                .map_err(|e| error::Error::new(error::Kind::Internal, e.to_string()))?,
        };
        state.client.merge([record]);
        add(&mut state.restrictions, restrict.clone());
        self.shared.publish(&state);
        drop(state);
        self.shared.tell();
        Ok(())
    }

    /// Announces that this instance stops and needs no later configuration.
    pub fn leave(&self) {
        self.shared.lock().client.leave();
        self.shared.tell();
    }
}

fn not_ready() -> Failure {
    Failure::new(
        error::Kind::NoLeader,
        "this relay can't vouch for the polling instance yet",
    )
}

fn find(list: &[Restrict], id: &name::Restriction) -> Result<usize, usize> {
    list.binary_search_by(|r| r.id.cmp(id))
}

fn add(list: &mut Vec<Restrict>, restrict: Restrict) {
    if let Err(at) = find(list, &restrict.id) {
        list.insert(at, restrict);
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn tell(&self) {
        self.news.send_modify(|number| *number += 1);
    }

    fn take(&self, source: &Source, outgoing: &Outgoing, reply: Reply) -> bool {
        let now = self.clock.now();
        let mut state = self.lock();
        let applied = match state.client.answered(outgoing, reply, now) {
            Ok(applied) => applied,
            Err(fault) => {
                log::warn!("the answer of {} was not taken: {fault}", source.address());
                state.client.failed(source, now);
                return false;
            }
        };
        state.client.check_age(source, now);
        for record in state.client.new_records() {
            if record.id.starts_with("restriction/") {
                match serde_json::from_str(&record.body) {
                    Ok(restrict) => add(&mut state.restrictions, restrict),
                    Err(error) => log::error!("record {} can't be read: {error}", record.id),
                }
            }
        }
        self.publish(&state);
        if applied && let Some(config) = state.client.config() {
            let revision = config.revision;
            self.journal.record(Fact::Applied { revision });
        }
        self.watch_lease(&mut state);
        drop(state);
        self.tell();
        true
    }

    fn fail(&self, source: &Source, failure: &Failure) {
        log::debug!("no answer from {}: {}", source.address(), failure.error);
        let mut state = self.lock();
        state.client.failed(source, self.clock.now());
        if let Some(leader) = &failure.leader {
            state.client.set_leader(leader);
        }
    }

    /// Publishes the accepted configuration with the local restrictions that no revision lifted.
    fn publish(&self, state: &State) {
        let (Some(config), Some(end)) = (state.client.config(), state.client.lease_end()) else {
            return;
        };
        let open: Vec<_> = state
            .restrictions
            .iter()
            .filter(|r| config.lifted.binary_search(&r.id).is_err())
            .map(|r| &r.limit)
            .collect();
        let config = if open.is_empty() {
            Arc::clone(config)
        } else {
            Arc::new(config.restricted(open))
        };
        self.snapshot.store(Arc::new(Snapshot {
            config,
            lease_end: Some(self.clock.instant(end)),
        }));
    }

    /// Records when the configuration lease ends and begins again.
    fn watch_lease(&self, state: &mut State) {
        let connected = state.client.is_connected(self.clock.now());
        if connected == state.connected {
            return;
        }
        state.connected = connected;
        self.journal.record(if connected {
            Fact::Reconnected
        } else {
            Fact::CutOff
        });
    }
}
