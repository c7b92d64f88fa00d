//! The control thread of an entry instance: polls a control instance and publishes what is new.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use masticlock_core::{
    fleet, replicated,
    report::Report,
    time::{Span, Time},
};
use tokio::time::sleep;

use super::{
    adapter::Adapter,
    control_client::ControlClient,
    message::{AgreedState, ControlInstance, Cursor, Poll, Reply, Request, Update},
    view::{SharedState, View},
};
use crate::clock::Clock;

/// Interval of polls.
const INTERVAL: Duration = Duration::from_millis(200);

/// Longest time that a poll may take before another control instance is asked.
const LIMIT: Duration = Duration::from_millis(500);

/// Pause after a poll that failed.
const PAUSE: Duration = Duration::from_millis(50);

/// Age of the agreed state above which another control instance is asked.
const STALE: Span = Span::from_millis(700);

/// Time at a control instance of another failure domain after which one of the own is tried.
const AWAY_LIMIT: Span = Span::from_secs(4);

/// Everything that the control thread owns.
pub struct ControlSync {
    shared: Arc<SharedState>,
    clock: Clock,
    adapter: Box<dyn Adapter>,
    instance: u64,
    domain: Arc<str>,
    sequence: u64,
    seeds: Vec<SocketAddr>,
    /// Sorted by address.
    control: Vec<SocketAddr>,
    /// Control instances of the own failure domain, sorted.
    home: Vec<SocketAddr>,
    /// Counts the control instances that were given up.
    turns: usize,
    index: u64,
    view: View,
    directory: fleet::Directory,
}

/// Polls from the start within which a nearer control instance is taken at once.
const FIRST_POLLS: u64 = 8;

/// Why a control instance is not polled any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Left {
    /// It is not reached, or it has no word from a leader.
    Lost,
    /// One of the own failure domain is tried.
    ForHome,
}

impl ControlSync {
    /// Returns the state of a new process.
    pub fn new(
        shared: Arc<SharedState>,
        clock: Clock,
        adapter: Box<dyn Adapter>,
        instance: u64,
        domain: Arc<str>,
        seeds: Vec<SocketAddr>,
    ) -> Self {
        let turns = usize::try_from(instance % 1_024).unwrap_or_default();
        Self {
            shared,
            clock,
            adapter,
            instance,
            domain,
            sequence: 0,
            control: seeds.clone(),
            home: Vec::new(),
            seeds,
            turns,
            index: 0,
            view: View::default(),
            directory: fleet::Directory::default(),
        }
    }

    /// Polls for ever.
    pub async fn run(mut self) {
        let mut lost = None;
        loop {
            let address = self.next(lost);
            log::info!(
                event = "control_chosen", address:% = address, home = self.home.contains(&address);
                "polls a control instance"
            );
            let left = self.follow(ControlClient::new(address)).await;
            lost = (left == Left::Lost).then_some(address);
            self.turns = self.turns.wrapping_add(1);
            if lost.is_some() {
                sleep(PAUSE).await;
            }
        }
    }

    /// Returns the control instance to poll next: one of the own failure domain, or any if the last
    /// one tried was of that failure domain and could not be used.
    fn next(&self, lost: Option<SocketAddr>) -> SocketAddr {
        let usable = |a: &&SocketAddr| Some(**a) != lost;
        let home: Vec<_> = self.home.iter().filter(usable).collect();
        let was_home = lost.is_some_and(|a| self.home.contains(&a));
        if !home.is_empty() && !was_home {
            return *home[self.turns % home.len()];
        }
        let all: Vec<_> = self.control.iter().filter(usable).collect();
        if all.is_empty() {
            return self.control[self.turns % self.control.len()];
        }
        *all[self.turns % all.len()]
    }

    /// Polls one control instance until it fails, falls behind or another one is nearer.
    async fn follow(&mut self, mut caller: ControlClient) -> Left {
        let mut cursor = Cursor::default();
        let began = self.clock.now();
        loop {
            let sent = self.clock.now();
            let request = Request::Poll(Poll {
                cursor,
                config_revision: self.view.table.as_ref().map(|t| t.revision()),
                report: Some(self.report()),
                spillover_services: self.spillover_services(),
                control_address: None,
            });
            let update = match caller.call(&request, LIMIT).await {
                Ok(Reply::Update(update)) => *update,
                Ok(_) => {
                    log::warn!("{} answers a poll with something else", caller.address());
                    return Left::Lost;
                }
                Err(error) => {
                    let address = caller.address();
                    log::info!(
                        event = "control_lost", address:% = address, reason:% = error;
                        "a control instance is not reached"
                    );
                    return Left::Lost;
                }
            };
            cursor = update.cursor;
            let age = update.agreed_age;
            self.take(update, sent);
            if age.is_none_or(|age| age > STALE) {
                log::info!(
                    event = "control_stale", address:% = caller.address(),
                    age_ms = age.map_or(-1, |a| i64::try_from(a.as_millis()).unwrap_or(i64::MAX));
                    "a control instance has no word from a leader"
                );
                return Left::Lost;
            }
            if self.is_away(caller.address(), began) {
                return Left::ForHome;
            }
            sleep(INTERVAL).await;
        }
    }

    /// Returns whether a control instance of the own failure domain is to be tried instead.
    ///
    /// At the start that is done at once, later only now and then: it may be out of reach.
    fn is_away(&self, address: SocketAddr, began: Time) -> bool {
        let limit = if self.sequence <= FIRST_POLLS {
            Span::ZERO
        } else {
            AWAY_LIMIT
        };
        !self.home.is_empty()
            && !self.home.contains(&address)
            && self.clock.now().since(began) >= limit
    }

    fn spillover_services(&self) -> Vec<Arc<str>> {
        let report = self.shared.report.lock();
        // The traffic thread never panics while it holds the lock.
        let report = report.unwrap_or_else(std::sync::PoisonError::into_inner);
        report.spillover_services.clone()
    }

    fn report(&mut self) -> Report {
        self.sequence += 1;
        let report = self.shared.report.lock();
        // The traffic thread never panics while it holds the lock.
        let report = report.unwrap_or_else(std::sync::PoisonError::into_inner);
        Report {
            instance: self.instance,
            domain: self.domain.clone(),
            sequence: self.sequence,
            loads: report.loads.clone(),
            stats: report.version_stats.clone(),
            suspects: report.suspects.clone(),
            departures: report.departures.clone(),
        }
    }

    fn take(&mut self, update: Update, sent: Time) {
        let now = self.clock.now();
        let mut changed = false;
        if update.is_full {
            self.directory.resync(update.records, now);
            changed = true;
        } else {
            for record in update.records {
                changed |= self.directory.sync(record, now);
            }
        }
        self.directory.expire(now);
        if changed {
            self.view.directory = Arc::new(self.directory.clone());
            self.view.directory_version += 1;
        }
        if let Some(totals) = update.totals {
            self.view.totals = Arc::new(totals);
            changed = true;
        }
        // The agreed state never goes back, whichever control instance is asked.
        if update.commit_index >= self.index {
            self.index = update.commit_index;
            if let Some(agreed) = update.agreed {
                changed |= self.take_agreed(agreed);
            }
            if let Some(age) = update.agreed_age {
                self.view.confirmed_at = self.view.confirmed_at.max(Some(sent - age));
            }
        }
        self.set_control(&update.control_instances);
        if changed {
            self.view.version += 1;
        }
        self.shared.view.store(Arc::new(self.view.clone()));
    }

    /// Takes over the list of control instances.
    fn set_control(&mut self, instances: &[ControlInstance]) {
        if instances.is_empty() {
            return;
        }
        let address = |s: &ControlInstance| s.address.parse().ok();
        let mut control: Vec<SocketAddr> = instances.iter().filter_map(address).collect();
        control.extend(&self.seeds);
        control.sort_unstable();
        control.dedup();
        self.control = control;
        let near = |s: &&ControlInstance| s.domain.as_ref() == Some(&self.domain);
        let mut home: Vec<_> = instances.iter().filter(near).filter_map(address).collect();
        home.sort_unstable();
        self.home = home;
    }

    fn take_agreed(&mut self, agreed: AgreedState) -> bool {
        let mut changed = false;
        if let Some(content) = &agreed.content {
            match self.adapter.parse_table(content.as_bytes()) {
                Ok(table) => {
                    log::info!(event = "configuration", revision = table.revision(); "in force");
                    self.view.table = Some(Arc::new(table));
                    changed = true;
                }
                Err(reason) => {
                    log::error!(
                        "accepted configuration {} can't be read: {reason}",
                        agreed.revision
                    );
                }
            }
        }
        let state = &self.view.agreed;
        if state.taken_out != agreed.taken_out || state.rollouts != agreed.rollouts {
            log::info!(
                event = "agreed", taken_out:? = agreed.taken_out, rollouts:? = agreed.rollouts;
                "the agreed state has changed"
            );
            self.view.agreed = Arc::new(replicated::State {
                revision: agreed.revision,
                taken_out: agreed.taken_out,
                rollouts: agreed.rollouts,
                ..replicated::State::default()
            });
            changed = true;
        }
        changed
    }
}
