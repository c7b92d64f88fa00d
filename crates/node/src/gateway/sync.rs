//! The control thread of an entry instance: polls a control instance and publishes what is new.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use masticlock_core::{
    agreed, fleet,
    report::Report,
    time::{Span, Time},
};
use tokio::time::sleep;

use super::{
    caller::Caller,
    dialect::Dialect,
    message::{Agreed, News, Poll, Reply, Request, Seen},
    view::{Board, View},
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

/// Everything that the control thread owns.
pub struct Sync {
    board: Arc<Board>,
    clock: Clock,
    dialect: Box<dyn Dialect>,
    instance: u64,
    sequence: u64,
    seeds: Vec<SocketAddr>,
    control: Vec<SocketAddr>,
    /// Position in `control` of the instance that is polled.
    at: usize,
    index: u64,
    view: View,
    directory: fleet::Directory,
}

impl Sync {
    /// Returns the state of a new process.
    pub fn new(
        board: Arc<Board>,
        clock: Clock,
        dialect: Box<dyn Dialect>,
        instance: u64,
        seeds: Vec<SocketAddr>,
    ) -> Self {
        let at = usize::try_from(instance % 1_024).unwrap_or_default();
        Self {
            board,
            clock,
            dialect,
            instance,
            sequence: 0,
            control: seeds.clone(),
            seeds,
            at,
            index: 0,
            view: View::default(),
            directory: fleet::Directory::default(),
        }
    }

    /// Polls for ever.
    pub async fn run(mut self) {
        loop {
            let address = self.control[self.at % self.control.len()];
            log::info!(event = "control_chosen", address:% = address; "polls a control instance");
            self.follow(Caller::new(address)).await;
            self.at = self.at.wrapping_add(1);
            sleep(PAUSE).await;
        }
    }

    /// Polls one control instance until it fails or falls behind.
    async fn follow(&mut self, mut caller: Caller) {
        let mut seen = Seen::default();
        loop {
            let sent = self.clock.now();
            let request = Request::Poll(Poll {
                seen,
                revision: self.view.table.as_ref().map(|t| t.revision()),
                report: Some(self.report()),
                control: None,
            });
            let news = match caller.call(&request, LIMIT).await {
                Ok(Reply::News(news)) => *news,
                Ok(_) => {
                    log::warn!("{} answers a poll with something else", caller.address());
                    return;
                }
                Err(error) => {
                    let address = caller.address();
                    log::info!(
                        event = "control_lost", address:% = address, reason:% = error;
                        "a control instance is not reached"
                    );
                    return;
                }
            };
            seen = news.seen;
            let age = news.age;
            self.take(news, sent);
            if age.is_none_or(|age| age > STALE) {
                log::info!(
                    event = "control_stale", address:% = caller.address(),
                    age_ms = age.map_or(-1, |a| i64::try_from(a.as_millis()).unwrap_or(i64::MAX));
                    "a control instance has no word from a leader"
                );
                return;
            }
            sleep(INTERVAL).await;
        }
    }

    fn report(&mut self) -> Report {
        self.sequence += 1;
        let outbox = self.board.outbox.lock();
        // The traffic thread never panics while it holds the lock.
        let outbox = outbox.unwrap_or_else(std::sync::PoisonError::into_inner);
        Report {
            instance: self.instance,
            sequence: self.sequence,
            loads: outbox.loads.clone(),
            trials: outbox.trials.clone(),
            suspects: outbox.suspects.clone(),
        }
    }

    fn take(&mut self, news: News, sent: Time) {
        let now = self.clock.now();
        let mut changed = false;
        for record in news.fleet {
            changed |= self.directory.merge(record, now);
        }
        self.directory.expire(now);
        if changed {
            self.view.fleet = Arc::new(self.directory.clone());
        }
        if let Some(totals) = news.totals {
            self.view.totals = Arc::new(totals);
            changed = true;
        }
        // The agreed state never goes back, whichever control instance is asked.
        if news.index >= self.index {
            self.index = news.index;
            if let Some(agreed) = news.agreed {
                changed |= self.take_agreed(agreed);
            }
            if let Some(age) = news.age {
                self.view.fresh = self.view.fresh.max(Some(sent - age));
            }
        }
        let control: Vec<SocketAddr> = news.control.iter().filter_map(|a| a.parse().ok()).collect();
        if !control.is_empty() {
            self.set_control(control);
        }
        if changed {
            self.view.stamp += 1;
        }
        self.board.view.store(Arc::new(self.view.clone()));
    }

    /// Replaces the list of control instances and stays with the one that is polled.
    fn set_control(&mut self, mut control: Vec<SocketAddr>) {
        control.extend(&self.seeds);
        control.sort_unstable();
        control.dedup();
        if control == self.control {
            return;
        }
        let current = self.control[self.at % self.control.len()];
        let at = control.iter().position(|a| *a == current);
        self.at = at.unwrap_or(self.at);
        self.control = control;
    }

    fn take_agreed(&mut self, agreed: Agreed) -> bool {
        let mut changed = false;
        if let Some(content) = &agreed.content {
            match self.dialect.table(content.as_bytes()) {
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
            self.view.agreed = Arc::new(agreed::State {
                revision: agreed.revision,
                taken_out: agreed.taken_out,
                rollouts: agreed.rollouts,
                ..agreed::State::default()
            });
            changed = true;
        }
        changed
    }
}
