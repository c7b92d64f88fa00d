//! Crash evidence: requests that may have crashed an upstream.
//!
//! The state is a grow-only set of evidence. Verdicts are derived from it, so
//! that merging in any order and any number of times gives the same verdicts.

use serde::{Deserialize, Serialize};

use crate::{
    name,
    request::Fingerprint,
    time::{Span, Time},
};

/// Crashes after which a request is refused for good.
pub const QUARANTINE_CRASHES: usize = 2;
/// Longest time for which a request waits until its evidence has spread.
pub const PROPAGATION_TIMEOUT: Span = Span::from_secs(1);

plain! {
    /// Key of evidence: one instance reports a crash once.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct Id {
        /// The upstream.
        pub upstream: name::Upstream,
        /// Incarnation of the upstream.
        pub incarnation: u64,
        /// The instance that reports.
        pub origin: name::Instance,
        /// Process of the instance.
        pub boot: u64,
        /// Number of the report.
        pub number: u64,
    }

    /// What an instance reports.
    #[derive(Eq)]
    pub enum Evidence {
        /// The upstream crashed while these ran on it.
        Crash {
            /// Fingerprints of the reporting instance's requests, sorted.
            running: Vec<Fingerprint>,
        },
        /// A suspect request completed on the upstream. It did not cause these crashes.
        Cleared {
            /// The request.
            fingerprint: Fingerprint,
            /// Upstreams and incarnations whose crash it shared.
            crashes: Vec<(name::Upstream, u64)>,
        },
    }
}

/// What may be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    /// Runs as any other.
    Clear,
    /// Runs only alone, under an exclusive permit.
    Alone,
    /// Waits until evidence about it has spread.
    Pending,
    /// Crashed [`QUARANTINE_CRASHES`] upstreams and is refused.
    Quarantined,
}

/// All evidence that an instance has, sorted by id.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvidenceSet {
    evidence: Vec<(Id, Evidence)>,
}

impl EvidenceSet {
    /// Adds evidence. Returns whether it was new.
    pub fn add(&mut self, id: Id, evidence: Evidence) -> bool {
        match self.evidence.binary_search_by(|(other, _)| other.cmp(&id)) {
            Ok(_) => false,
            Err(at) => {
                self.evidence.insert(at, (id, evidence));
                true
            }
        }
    }

    /// Adds all evidence of another set.
    pub fn merge(&mut self, other: &Self) {
        for (id, evidence) in &other.evidence {
            self.add(id.clone(), evidence.clone());
        }
    }

    /// Returns the upstreams and incarnations whose crash the request shared
    /// and was not cleared of.
    #[must_use]
    pub fn crashes(&self, fingerprint: Fingerprint) -> Vec<(name::Upstream, u64)> {
        let mut crashes = Vec::new();
        let mut cleared = Vec::new();
        for (id, evidence) in &self.evidence {
            match evidence {
                Evidence::Crash { running } if running.binary_search(&fingerprint).is_ok() => {
                    crashes.push((id.upstream.clone(), id.incarnation));
                }
                Evidence::Cleared {
                    fingerprint: other,
                    crashes: of,
                } if *other == fingerprint => cleared.extend_from_slice(of),
                Evidence::Crash { .. } | Evidence::Cleared { .. } => {}
            }
        }
        crashes.dedup();
        crashes.retain(|crash| !cleared.contains(crash));
        crashes
    }

    /// Returns the verdict on a request. Crashes of two upstreams quarantine it
    /// even if it did not run alone, because a third crash must not happen.
    #[must_use]
    pub fn status(&self, fingerprint: Fingerprint) -> Status {
        match self.crashes(fingerprint).len() {
            0 => Status::Clear,
            count if count < QUARANTINE_CRASHES => Status::Alone,
            _ => Status::Quarantined,
        }
    }
}

#[derive(Clone, Debug)]
struct Run {
    fingerprint: Fingerprint,
    upstream: name::Upstream,
    incarnation: u64,
}

#[derive(Clone, Debug)]
struct Unspread {
    id: Id,
    until: Time,
}

/// The requests that run through an instance, with the evidence.
#[derive(Clone, Debug)]
pub struct Tracker {
    origin: name::Instance,
    boot: u64,
    number: u64,
    set: EvidenceSet,
    runs: Vec<Run>,
    unspread: Vec<Unspread>,
}

impl Tracker {
    /// Returns the state of a process that runs nothing.
    #[must_use]
    pub const fn new(origin: name::Instance, boot: u64) -> Self {
        Self {
            origin,
            boot,
            number: 0,
            set: EvidenceSet {
                evidence: Vec::new(),
            },
            runs: Vec::new(),
            unspread: Vec::new(),
        }
    }

    /// Returns the evidence.
    #[must_use]
    pub const fn set(&self) -> &EvidenceSet {
        &self.set
    }

    /// Merges evidence of another instance.
    pub fn merge(&mut self, id: Id, evidence: Evidence) {
        self.set.add(id, evidence);
    }

    /// Returns the verdict on a request that is about to run.
    #[must_use]
    pub fn status(&self, fingerprint: Fingerprint, now: Time) -> Status {
        let verdict = self.set.status(fingerprint);
        if verdict == Status::Alone && self.is_unspread(fingerprint, now) {
            return Status::Pending;
        }
        // A copy of a suspect request that still runs here could crash a
        // second upstream while a permit for a third is asked for.
        let runs = self.runs.iter().any(|run| run.fingerprint == fingerprint);
        if verdict == Status::Alone && runs {
            return Status::Pending;
        }
        verdict
    }

    fn is_unspread(&self, fingerprint: Fingerprint, now: Time) -> bool {
        self.unspread.iter().any(|unspread| {
            let evidence = self
                .set
                .evidence
                .binary_search_by(|(id, _)| id.cmp(&unspread.id));
            now < unspread.until
                && evidence.is_ok_and(|at| match &self.set.evidence[at].1 {
                    Evidence::Crash { running } => running.binary_search(&fingerprint).is_ok(),
                    Evidence::Cleared { .. } => false,
                })
        })
    }

    /// Records that a request starts on an upstream.
    pub fn started(
        &mut self,
        fingerprint: Fingerprint,
        upstream: name::Upstream,
        incarnation: u64,
    ) {
        self.runs.push(Run {
            fingerprint,
            upstream,
            incarnation,
        });
    }

    /// Records that a request ended. `completed` says that the upstream
    /// answered it whole; evidence that clears a suspect request is returned.
    pub fn ended(
        &mut self,
        fingerprint: Fingerprint,
        upstream: &name::Upstream,
        incarnation: u64,
        completed: bool,
    ) -> Option<(Id, Evidence)> {
        let run = self.runs.iter().position(|run| {
            run.fingerprint == fingerprint
                && run.upstream == *upstream
                && run.incarnation == incarnation
        })?;
        self.runs.swap_remove(run);
        let crashes = self.set.crashes(fingerprint);
        if !completed || crashes.is_empty() || crashes.len() >= QUARANTINE_CRASHES {
            return None;
        }
        let evidence = Evidence::Cleared {
            fingerprint,
            crashes,
        };
        Some(self.report(upstream.clone(), incarnation, evidence))
    }

    /// Records that an upstream crashed and returns the evidence to spread. The
    /// requests that ran on it wait until [`Tracker::propagated`].
    pub fn crashed(
        &mut self,
        upstream: &name::Upstream,
        incarnation: u64,
        now: Time,
    ) -> Option<(Id, Evidence)> {
        let lost: Vec<_> = self
            .runs
            .extract_if(.., |run| {
                run.upstream == *upstream && run.incarnation == incarnation
            })
            .collect();
        let mut running: Vec<_> = lost.into_iter().map(|run| run.fingerprint).collect();
        running.sort_unstable();
        running.dedup();
        if running.is_empty() {
            return None;
        }
        let report = self.report(upstream.clone(), incarnation, Evidence::Crash { running });
        self.unspread.push(Unspread {
            id: report.0.clone(),
            until: now + PROPAGATION_TIMEOUT,
        });
        Some(report)
    }

    /// Records that all reachable instances have the evidence.
    pub fn propagated(&mut self, id: &Id) {
        self.unspread.retain(|unspread| unspread.id != *id);
    }

    fn report(
        &mut self,
        upstream: name::Upstream,
        incarnation: u64,
        evidence: Evidence,
    ) -> (Id, Evidence) {
        self.number += 1;
        let id = Id {
            upstream,
            incarnation,
            origin: self.origin.clone(),
            boot: self.boot,
            number: self.number,
        };
        self.set.add(id.clone(), evidence.clone());
        (id, evidence)
    }
}
