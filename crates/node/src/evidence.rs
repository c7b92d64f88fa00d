//! Shares evidence about versions: instances report their own counters to the control leader,
//! which answers with totals over all instances.
//!
//! Own counters travel every second, so that a bad version is seen within seconds. Totals travel
//! less often: they are larger, and only predictions depend on them.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use masticlock_core::{
    evidence::{Delta, Event, Key, Pool},
    name,
    time::Span,
};
use tokio::time::sleep;

use crate::{
    client::{ATTEMPT, Control},
    clock::Clock,
    rpc,
};

/// Interval of reports.
const REPORT: Duration = Duration::from_secs(1);

/// Reports between two that ask for totals.
const REPORTS_PER_TOTAL: u32 = 10;

/// How long a report may take.
const LIMIT: Span = Span::from_secs(2);

/// Evidence of this instance and of all others.
#[derive(Clone, Debug)]
pub struct Evidence {
    state: Arc<Mutex<State>>,
    clock: Clock,
}

#[derive(Debug)]
struct State {
    own: Pool,
    /// Totals over all instances, as a leader sent them.
    totals: Pool,
    /// The leader process that sent the totals.
    leader: u64,
    /// Mark of the own counters that the leader has.
    reported: u64,
}

impl Evidence {
    /// Returns an instance's empty evidence.
    #[must_use]
    pub fn new(instance: &name::Instance, incarnation: u64, clock: Clock) -> Self {
        let now = clock.now();
        let pool = || Pool::new(instance.clone(), incarnation, now);
        let state = State {
            own: pool(),
            totals: pool(),
            leader: 0,
            reported: 0,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            clock,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts an event of this instance.
    pub fn record(&self, key: &Key, event: Event) {
        self.lock().own.record(key, event);
    }

    /// Calls `read` with the best evidence: totals, or the own counters before the first totals.
    pub fn read<F, T>(&self, read: F) -> T
    where
        F: FnOnce(&Pool) -> T,
    {
        let state = self.lock();
        read(if state.leader == 0 {
            &state.own
        } else {
            &state.totals
        })
    }

    /// Reports until the process ends; calls `learn` after each report.
    pub async fn run<F>(&self, control: &Control, learn: F)
    where
        F: Fn(&Self),
    {
        let mut number = 0;
        loop {
            self.report(control, number % REPORTS_PER_TOTAL == 0).await;
            learn(self);
            number += 1;
            sleep(REPORT).await;
        }
    }

    async fn report(&self, control: &Control, totals: bool) {
        let (share, mark) = {
            let mut state = self.lock();
            state.own.tick(self.clock.now());
            let share = rpc::Share {
                leader: state.leader,
                totals,
                delta: state.own.delta_since(state.reported),
            };
            (share, state.own.sequence())
        };
        let answer: Result<rpc::Shared, _> = control
            .call(rpc::EVIDENCE_SHARE, &share, ATTEMPT, LIMIT)
            .await;
        match answer {
            Ok(shared) => self.take(share.leader, &shared, mark),
            Err(error) => log::debug!("evidence was not reported: {error}"),
        }
    }

    fn take(&self, known: u64, shared: &rpc::Shared, mark: u64) {
        let now = self.clock.now();
        let mut state = self.lock();
        if shared.leader == known {
            state.reported = mark;
        } else {
            // Another leader has none of the counters that the last one was sent.
            state.leader = shared.leader;
            state.reported = 0;
            state.totals.clear();
        }
        state.totals.merge(&shared.totals, now);
        state.own.merge(
            &Delta {
                epoch: shared.totals.epoch,
                records: Vec::new(),
            },
            now,
        );
    }
}
