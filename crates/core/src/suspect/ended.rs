//! Runs that ended without a complete answer, until it is known what became of their upstreams.
//!
//! An upstream may crash a moment after this side has given up its answer. The run is charged with
//! that crash as if it had been under way.

use std::sync::Arc;

use super::{Subject, evidence::RETENTION};
use crate::time::{Span, Time};

/// Longest time between the end of a run on this side and a crash that it may have caused. A guilty
/// part crashes its upstream when the answer begins; the rest is the time in which any instance
/// notices.
const ATTRIBUTION: Span = Span::from_secs(2);

/// Maximum number of runs.
const MAX_RUNS: usize = 512;

/// Times after the end of a run at which its upstream is looked at: after the crash of a part that
/// crashes it at once, and of one that does so late.
const LOOKS: [Span; 2] = [Span::from_millis(250), Span::from_secs(1)];

plain! {
    /// A process of an upstream.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct Process {
        /// The upstream.
        pub upstream: Arc<str>,
        /// Incarnation of the upstream.
        pub incarnation: u64,
        /// IP address and port. The next process there mostly has another name.
        pub address: Arc<str>,
    }
}

/// A run that ended without a complete answer.
#[derive(Clone, Debug)]
pub struct Run {
    /// Where it ran.
    pub process: Process,
    /// What the request consists of.
    pub subjects: Vec<Subject>,
    /// When it ended.
    pub at: Time,
    /// Whether the upstream has ended its connection.
    pub is_broken: bool,
    /// Whether its upstream is looked at.
    pub is_watched: bool,
    /// Number of looks so far.
    pub looks: usize,
}

impl Run {
    fn is_expired(&self, now: Time) -> bool {
        // A machine may take long to start, so its next process may be listed late.
        let ttl = if self.is_broken {
            RETENTION
        } else {
            ATTRIBUTION
        };
        now.since(self.at) >= ttl
    }

    /// Returns whether it may have caused a crash of its upstream at that time.
    fn may_have_caused(&self, crash: Time) -> bool {
        let apart = crash.since(self.at).max(self.at.since(crash));
        self.is_broken || apart < ATTRIBUTION
    }
}

/// The runs of an instance, the oldest one first.
#[derive(Clone, Debug, Default)]
pub struct Store {
    runs: Vec<Run>,
}

impl Store {
    /// Adds a run, or the news about it that its connection broke.
    pub fn add(&mut self, run: Run, now: Time) {
        self.runs.retain(|r| !r.is_expired(now));
        let known = self
            .runs
            .iter()
            .position(|r| r.process == run.process && r.subjects.last() == run.subjects.last());
        if let Some(at) = known {
            self.runs[at].is_broken |= run.is_broken;
            return;
        }
        if self.runs.len() >= MAX_RUNS {
            self.runs.remove(0);
        }
        self.runs.push(run);
    }

    /// Drops the runs whose process has answered another request well after them, so that it has not
    /// crashed under them.
    pub fn forget_survived(&mut self, process: &Process, now: Time) {
        let has_survived = |r: &Run| r.process == *process && now.since(r.at) >= ATTRIBUTION;
        self.runs.retain(|r| !has_survived(r));
    }

    /// Returns the processes that have ended the connections of runs, sorted.
    #[must_use]
    pub fn broken(&self) -> Vec<Process> {
        let broken = self.runs.iter().filter(|run| run.is_broken);
        let mut processes: Vec<_> = broken.map(|run| run.process.clone()).collect();
        processes.sort_unstable();
        processes.dedup();
        processes
    }

    /// Takes the runs that may have caused a crash, by its time that `crash` returns for an upstream
    /// and its incarnation.
    pub fn take_crashed<F>(&mut self, crash: F, now: Time) -> Vec<(Run, Time)>
    where
        F: Fn(&Run) -> Option<Time>,
    {
        self.runs.retain(|r| !r.is_expired(now));
        let time = |run: &Run| crash(run).filter(|at| run.may_have_caused(*at));
        let crashed = self.runs.extract_if(.., |run| time(run).is_some());
        let crashed: Vec<Run> = crashed.collect();
        let timed = crashed.into_iter();
        timed
            .filter_map(|run| crash(&run).map(|at| (run, at)))
            .collect()
    }

    /// Returns the upstreams to look at now, with their incarnations.
    pub fn due_looks(&mut self, now: Time) -> Vec<(Arc<str>, u64)> {
        let mut due: Vec<(Arc<str>, u64)> = Vec::new();
        for run in &mut self.runs {
            let next = LOOKS.get(run.looks).filter(|_| run.is_watched);
            if next.is_none_or(|wait| now.since(run.at) < *wait) {
                continue;
            }
            run.looks += 1;
            due.push((run.process.upstream.clone(), run.process.incarnation));
        }
        due.sort_unstable();
        due.dedup();
        due
    }
}
