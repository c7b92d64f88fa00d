//! Synchronization of an entry instance with a control instance, run by the control thread.

use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use masticlock_core::{
    consensus::Payload,
    fleet,
    limit::{Permit, Return, Want},
    notice, pace, replicated,
    report::{self, Report},
    suspect,
    time::{Span, Time},
};
use tokio::{sync::watch, task::spawn_local, time::sleep};

use super::{
    control_client::ControlClient,
    fetch::{Configuration, CreateAdapter, Fetcher, Offer},
    message::{AgreedState, ControlInstance, Cursor, Extension, Poll, Reply, Request, Update},
    socket::Connector,
    view::{Publisher, SharedState, View},
};
use crate::clock::Clock;

/// Interval between polls.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Shortest time between two polls while requests wait for permits or evidence is new.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Longest time until the reply to a poll begins before another control instance is polled.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay before another control instance is polled after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Age of the agreed state above which another control instance is polled.
const MAX_STATE_AGE: Span = Span::from_millis(700);

/// Time for which a control instance of another failure domain is polled before one of the own
/// failure domain is tried.
const LOCAL_RETRY_INTERVAL: Span = Span::from_secs(4);

/// State of the control thread, which polls a control instance and publishes a [`View`].
pub struct Poller {
    shared: Arc<SharedState>,
    clock: Clock,
    publisher: Rc<Publisher>,
    configuration: Rc<Configuration>,
    offers: watch::Sender<Offer>,
    instance: u64,
    domain: Arc<str>,
    /// Address for requests of other entry instances.
    peer_address: Arc<str>,
    /// Sequence number of the last report, which equals the number of polls.
    sequence: u64,
    connector: Rc<dyn Connector>,
    seeds: Vec<SocketAddr>,
    /// Known control instances; the seeds at first, then sorted by address.
    control_instances: Vec<SocketAddr>,
    /// Control instances of the own failure domain, sorted by address.
    local_instances: Vec<SocketAddr>,
    /// Selects the control instance to poll; incremented with each switch. The first value depends
    /// on the instance, so that instances spread over the control instances.
    selector: usize,
    /// Index of the log that the agreed state of the view belongs to.
    commit_index: u64,
    /// Control process that has this instance's crash evidence, and up to which revision.
    reported_evidence: (u64, u64),
    directory: fleet::Directory,
}

/// Number of polls after the start during which the instance switches to a control instance of the
/// own failure domain at once.
const STARTUP_POLLS: u64 = 8;

/// Why the instance switches to another control instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SwitchReason {
    /// The control instance is unreachable, or its agreed state is too old.
    Lost,
    /// One of the own failure domain is tried.
    PreferLocal,
}

impl Poller {
    /// Returns the state of a new process.
    pub fn new(
        shared: Arc<SharedState>,
        clock: Clock,
        create_adapter: CreateAdapter,
        instance: u64,
        (domain, peer_address): (Arc<str>, SocketAddr),
        (connector, seeds): (Rc<dyn Connector>, Vec<SocketAddr>),
    ) -> Self {
        let selector = usize::try_from(instance % 1_024).unwrap_or_default();
        let publisher = Rc::new(Publisher::new(shared.clone()));
        let configuration = Configuration::new(publisher.clone(), clock, create_adapter);
        Self {
            shared,
            clock,
            publisher,
            configuration: Rc::new(configuration),
            offers: watch::Sender::default(),
            instance,
            domain,
            peer_address: peer_address.to_string().into(),
            sequence: 0,
            connector,
            control_instances: seeds.clone(),
            local_instances: Vec::new(),
            seeds,
            selector,
            commit_index: 0,
            reported_evidence: (0, 0),
            directory: fleet::Directory::default(),
        }
    }

    /// Polls control instances without end.
    pub async fn run(mut self) {
        let fetcher = Fetcher::new(
            self.configuration.clone(),
            self.connector.clone(),
            self.clock,
            self.offers.subscribe(),
        );
        spawn_local(fetcher.run());
        let mut lost = None;
        loop {
            let address = self.select(lost);
            log::info!(
                event = "control_chosen", address:% = address,
                home = self.local_instances.contains(&address);
                "polling a control instance"
            );
            let client = ControlClient::with_connector(address, self.connector.clone());
            let reason = self.poll_instance(client).await;
            lost = (reason == SwitchReason::Lost).then_some(address);
            self.selector = self.selector.wrapping_add(1);
            if lost.is_some() {
                sleep(RETRY_DELAY).await;
            }
        }
    }

    /// Returns the control instance to poll next: one of the own failure domain, or any if the one
    /// lost just now belongs to that failure domain.
    fn select(&self, lost: Option<SocketAddr>) -> SocketAddr {
        let usable = |a: &&SocketAddr| Some(**a) != lost;
        let local: Vec<_> = self.local_instances.iter().filter(usable).collect();
        let lost_local = lost.is_some_and(|a| self.local_instances.contains(&a));
        if !local.is_empty() && !lost_local {
            return *local[self.selector % local.len()];
        }
        let all: Vec<_> = self.control_instances.iter().filter(usable).collect();
        if all.is_empty() {
            return self.control_instances[self.selector % self.control_instances.len()];
        }
        *all[self.selector % all.len()]
    }

    /// Polls one control instance until it fails, falls behind or one of the own failure domain is
    /// to be tried.
    async fn poll_instance(&mut self, mut client: ControlClient) -> SwitchReason {
        let mut cursor = Cursor::default();
        let began = self.clock.now();
        loop {
            let sent = self.clock.now();
            let (evidence_revision, evidence) = self.new_evidence(cursor.process_id);
            let request = Request::Poll(Poll {
                cursor,
                config_revision: Some(self.configuration.revision()).filter(|r| *r > 0),
                report: Some(self.next_report()),
                spillover_services: self.spillover_services(),
                control_address: None,
                wants: self.wants(),
                returns: self.take_returns(),
                evidence,
                peer: Some(self.peer()),
                needs_peers: self.needs_peers(),
            });
            let extension = Extension {
                paces: self.take_paces(),
                ..Extension::current()
            };
            let reply = client.call_with(&request, &extension, REPLY_TIMEOUT);
            let (update, extension) = match reply.await {
                Ok((Reply::Update(update), extension)) => (*update, extension),
                Ok(_) => {
                    log::warn!("{} sent an unexpected reply to a poll", client.address());
                    return SwitchReason::Lost;
                }
                Err(error) => {
                    let address = client.address();
                    log::info!(
                        event = "control_lost", address:% = address, reason:% = error,
                        received = client.received(),
                        took_ms = self.clock.now().since(sent).as_millis();
                        "a control instance is unreachable"
                    );
                    return SwitchReason::Lost;
                }
            };
            cursor = update.cursor;
            // A process that has started meanwhile has received a part only.
            if self.reported_evidence.0 == cursor.process_id {
                self.reported_evidence.1 = evidence_revision;
            } else {
                self.reported_evidence = (cursor.process_id, 0);
            }
            let age = update.agreed_age;
            let content = self.apply_update(update, &extension, client.address(), sent);
            if let Some(content) = content {
                self.configuration.replace(content).await;
            }
            if age.is_none_or(|age| age > MAX_STATE_AGE) {
                log::info!(
                    event = "control_stale", address:% = client.address(),
                    age_ms = age.map_or(-1, |a| i64::try_from(a.as_millis()).unwrap_or(i64::MAX));
                    "a control instance has lost contact with the leader"
                );
                return SwitchReason::Lost;
            }
            if self.should_try_local(client.address(), began) {
                return SwitchReason::PreferLocal;
            }
            sleep(MIN_POLL_INTERVAL).await;
            tokio::select! {
                () = self.shared.poll_wanted.notified() => {}
                () = sleep(POLL_INTERVAL.saturating_sub(MIN_POLL_INTERVAL)) => {}
            }
        }
    }

    /// Returns whether to try a control instance of the own failure domain instead of the given one,
    /// which has been polled since `began`.
    ///
    /// At the start it is tried at once, later only every [`LOCAL_RETRY_INTERVAL`], as it may be unreachable.
    fn should_try_local(&self, address: SocketAddr, began: Time) -> bool {
        let limit = if self.sequence <= STARTUP_POLLS {
            Span::ZERO
        } else {
            LOCAL_RETRY_INTERVAL
        };
        !self.local_instances.is_empty()
            && !self.local_instances.contains(&address)
            && self.clock.now().since(began) >= limit
    }

    fn spillover_services(&self) -> Vec<Arc<str>> {
        let report = self.shared.report.lock();
        // The traffic thread never panics while it holds the lock.
        let report = report.unwrap_or_else(std::sync::PoisonError::into_inner);
        report.spillover_services.clone()
    }

    fn wants(&self) -> Vec<Want> {
        let report = self.shared.report.lock();
        // The traffic thread never panics while it holds the lock.
        let report = report.unwrap_or_else(std::sync::PoisonError::into_inner);
        let mut wants = report.wants.clone();
        drop(report);
        wants.extend(self.shared.screen().permit_wants(self.clock.now()));
        wants
    }

    /// Takes the permits to be given back. If the poll fails, they are lost, which is harmless.
    fn take_returns(&self) -> Vec<Return> {
        let report = self.shared.report.lock();
        // The traffic thread never panics while it holds the lock.
        let mut report = report.unwrap_or_else(std::sync::PoisonError::into_inner);
        std::mem::take(&mut report.returns)
    }

    /// Takes what was learnt of the pace of upstreams. If the poll fails, it is lost, and later answers
    /// show the same.
    fn take_paces(&self) -> Option<Vec<pace::Sample>> {
        let report = self.shared.report.lock();
        // The traffic thread never panics while it holds the lock.
        let mut report = report.unwrap_or_else(std::sync::PoisonError::into_inner);
        report.paces.take()
    }

    fn peer(&self) -> report::Peer {
        let report = self.shared.report.lock();
        // The traffic thread never panics while it holds the lock.
        let report = report.unwrap_or_else(std::sync::PoisonError::into_inner);
        report::Peer {
            address: self.peer_address.clone(),
            domain: self.domain.clone(),
            room: report.room,
        }
    }

    fn needs_peers(&self) -> bool {
        let report = self.shared.report.lock();
        // The traffic thread never panics while it holds the lock.
        let report = report.unwrap_or_else(std::sync::PoisonError::into_inner);
        report.needs_peers
    }

    /// Returns the revision of the crash evidence and what of it the control process does not have.
    fn new_evidence(&self, process_id: u64) -> (u64, suspect::Message) {
        let screen = self.shared.screen();
        let known = match self.reported_evidence {
            (process, revision) if process == process_id => revision,
            _ => 0,
        };
        let set = screen.set();
        (set.revision(), set.since(known, self.clock.now()))
    }

    /// Returns the next report with the data of the traffic thread.
    fn next_report(&mut self) -> Report {
        self.sequence += 1;
        let now = self.clock.now();
        let limit = |l: &notice::Limit| report::Limit {
            upstream: l.upstream.clone(),
            incarnation: l.incarnation,
            statement: fleet::Statement {
                bounds: l.bounds,
                age: now.since(l.stated_at),
            },
        };
        let report = self.shared.report.lock();
        // The traffic thread never panics while it holds the lock.
        let report = report.unwrap_or_else(std::sync::PoisonError::into_inner);
        Report {
            instance: self.instance,
            domain: self.domain.clone(),
            sequence: self.sequence,
            loads: report.loads.clone(),
            stats: report.version_stats.clone(),
            departures: report.departures.clone(),
            limits: report.limits.iter().map(limit).collect(),
        }
    }

    /// Applies the reply to a poll that was sent at `sent`, publishes the new view and returns the
    /// content of a configuration that came with it.
    fn apply_update(
        &mut self,
        mut update: Update,
        extension: &Extension,
        address: SocketAddr,
        sent: Time,
    ) -> Option<Payload> {
        let now = self.clock.now();
        let mut changed = false;
        // Before the state is confirmed: an instance that returns knows the bans before it serves.
        let mut screen = self.shared.screen();
        let is_news = screen.merge(&update.evidence, now);
        for change in screen.take_changes() {
            log::debug!(
                event = "judged", subject:? = change.subject, standing:? = change.standing,
                missing = change.missing, before = change.before;
                "crash evidence about a request or a part of prompts has changed its standing"
            );
        }
        if is_news {
            self.shared.poll_wanted.notify_one();
        }
        screen.take_permits(&mut update.permits, sent, now);
        drop(screen);
        if update.is_full {
            self.directory.resync(update.records, now);
            changed = true;
        } else {
            for record in update.records {
                changed |= self.directory.sync(record, now);
            }
        }
        self.directory.expire(now);
        if update.has_permits {
            self.deliver_permits(update.permits, sent);
        }
        self.set_control_instances(&update.control_instances);
        // The agreed state never goes back, whichever control instance is polled.
        let agreed = update
            .agreed
            .filter(|_| update.commit_index >= self.commit_index);
        self.commit_index = self.commit_index.max(update.commit_index);
        if let Some(agreed) = &agreed {
            self.offer(agreed, extension, address);
        }
        if extension.needs_keys {
            self.configuration.need_keys();
        }
        let held = self.configuration.revision();
        let directory = &self.directory;
        let mut content = None;
        self.publisher.change(|view| {
            if changed {
                view.directory = Arc::new(directory.clone());
                view.directory_version += 1;
            }
            if update.has_permits {
                view.inbox_version += 1;
            }
            if !update.peers.is_empty() {
                view.peers = (view.peers.0 + 1, update.peers.into());
            }
            if let Some(paces) = &extension.paces {
                view.paces = (view.paces.0 + 1, paces.as_slice().into());
                changed = true;
            }
            if let Some(totals) = update.totals {
                view.totals = Arc::new(totals);
                changed = true;
            }
            if let Some(agreed) = agreed {
                let known_at = sent - extension.revision_age.unwrap_or(Span::ZERO);
                view.currency.learn(agreed.revision, known_at, held);
                content.clone_from(&agreed.content);
                let is_held = agreed.revision <= held;
                changed |= apply_agreed(view, agreed);
                // Without its content the state is not confirmed: keys of the older one may be revoked.
                if let Some(age) = update.agreed_age.filter(|_| is_held) {
                    view.confirmed_at = view.confirmed_at.max(Some(sent - age));
                }
            }
            if changed {
                view.version += 1;
            }
        });
        content
    }

    /// Lets the configuration be fetched if it is newer and the control instance sends it apart
    /// from its replies to polls.
    fn offer(&self, agreed: &AgreedState, extension: &Extension, address: SocketAddr) {
        if extension.format < 2 || agreed.revision <= self.configuration.revision() {
            return;
        }
        let others = &self.control_instances;
        self.offers.send_if_modified(|offer| {
            if agreed.revision > offer.revision {
                log::info!(
                    event = "configuration_known", revision = agreed.revision,
                    age_ms = extension.revision_age.map_or(-1, |a| {
                        i64::try_from(a.as_millis()).unwrap_or(i64::MAX)
                    });
                    "a newer configuration is known"
                );
            }
            let is_new = agreed.revision != offer.revision || offer.source != Some(address);
            *offer = Offer {
                revision: offer.revision.max(agreed.revision),
                source: Some(address),
                others: others.clone(),
            };
            is_new
        });
    }

    /// Hands permits over to the traffic thread.
    fn deliver_permits(&mut self, permits: Vec<Permit>, sent: Time) {
        let inbox = self.shared.inbox.lock();
        // The traffic thread never panics while it holds the lock.
        let mut inbox = inbox.unwrap_or_else(std::sync::PoisonError::into_inner);
        inbox.permits.extend(permits.into_iter().map(|p| (p, sent)));
        inbox.contact_at = Some(sent);
    }

    /// Replaces the control instances and keeps the seeds among them.
    fn set_control_instances(&mut self, instances: &[ControlInstance]) {
        if instances.is_empty() {
            return;
        }
        let address = |c: &ControlInstance| c.address.parse().ok();
        let mut all: Vec<SocketAddr> = instances.iter().filter_map(address).collect();
        all.extend(&self.seeds);
        all.sort_unstable();
        all.dedup();
        self.control_instances = all;
        let is_local = |c: &&ControlInstance| c.domain.as_ref() == Some(&self.domain);
        let mut local: Vec<_> = instances
            .iter()
            .filter(is_local)
            .filter_map(address)
            .collect();
        local.sort_unstable();
        self.local_instances = local;
    }
}

/// Applies the rollouts and failure domains out of service, and returns whether they have changed.
fn apply_agreed(view: &mut View, agreed: AgreedState) -> bool {
    let state = &view.agreed;
    if state.taken_out == agreed.taken_out && state.rollouts == agreed.rollouts {
        return false;
    }
    log::info!(
        event = "agreed", taken_out:? = agreed.taken_out, rollouts:? = agreed.rollouts;
        "the agreed state has changed"
    );
    view.agreed = Arc::new(replicated::State {
        revision: agreed.revision,
        taken_out: agreed.taken_out,
        rollouts: agreed.rollouts,
        ..replicated::State::default()
    });
    true
}
