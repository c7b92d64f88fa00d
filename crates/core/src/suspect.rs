//! Suspect requests: requests that may have crashed an upstream.
//!
//! The state is a grow-only set of evidence, from which the status of each
//! request is derived. Evidence that is merged in any order and any number of
//! times therefore gives the same status.

use serde::{Deserialize, Serialize};

use crate::{
    name,
    request::Fingerprint,
    time::{Span, Time},
};

/// Number of crashed upstreams at which a request is refused for good.
pub const QUARANTINE_CRASHES: usize = 2;
/// Longest time for which a request waits until the evidence about it has reached the other
/// instances.
pub const PROPAGATION_TIMEOUT: Span = Span::from_secs(1);

plain! {
    /// The id of a piece of evidence. An instance reports each crash once.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct Id {
        /// The upstream that crashed or on which the request completed.
        pub upstream: name::Upstream,
        /// Incarnation of the upstream.
        pub incarnation: u64,
        /// The reporting instance.
        pub origin: name::Instance,
        /// Id of the instance's process.
        pub boot: u64,
        /// Number of the report within the process.
        pub number: u64,
    }

    /// A piece of evidence that an instance reports.
    #[derive(Eq)]
    pub enum Evidence {
        /// The upstream crashed while requests ran on it.
        Crash {
            /// Fingerprints of the requests that the reporting instance ran there, sorted.
            running: Vec<Fingerprint>,
        },
        /// A suspect request completed on the upstream, so it did not cause these crashes.
        Cleared {
            /// The request.
            fingerprint: Fingerprint,
            /// Upstreams and incarnations that crashed while it ran on them.
            crashes: Vec<(name::Upstream, u64)>,
        },
    }
}

/// Whether and how a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    /// It may run like any other request.
    Clear,
    /// It may run only with an exclusive permit, without other requests on the upstream.
    Alone,
    /// It has to wait until the evidence about it has reached the other instances.
    Pending,
    /// It is refused: [`QUARANTINE_CRASHES`] upstreams crashed while it ran on them.
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

    /// Returns the upstreams and incarnations that crashed while the request ran
    /// on them, without those crashes of which it was cleared.
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

    /// Returns the status of a request. Crashes of two upstreams quarantine it
    /// even if other requests ran there too, because it must not crash a third.
    #[must_use]
    pub fn status(&self, fingerprint: Fingerprint) -> Status {
        match self.crashes(fingerprint).len() {
            0 => Status::Clear,
            count if count < QUARANTINE_CRASHES => Status::Alone,
            _ => Status::Quarantined,
        }
    }
}

/// A request that runs on an upstream.
#[derive(Clone, Debug)]
struct Run {
    fingerprint: Fingerprint,
    upstream: name::Upstream,
    incarnation: u64,
}

/// Evidence that may not have reached all other instances.
#[derive(Clone, Debug)]
struct Propagation {
    id: Id,
    /// When the wait for the other instances ends.
    until: Time,
}

/// The evidence that an instance has and the requests that it runs.
#[derive(Clone, Debug)]
pub struct Tracker {
    origin: name::Instance,
    boot: u64,
    number: u64,
    set: EvidenceSet,
    runs: Vec<Run>,
    propagating: Vec<Propagation>,
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
            propagating: Vec::new(),
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

    /// Returns the status of a request that is about to run.
    #[must_use]
    pub fn status(&self, fingerprint: Fingerprint, now: Time) -> Status {
        let status = self.set.status(fingerprint);
        if status == Status::Alone && self.is_propagating(fingerprint, now) {
            return Status::Pending;
        }
        // A copy of a suspect request that still runs here could crash a second
        // upstream while this one requests a permit to run on a third.
        let is_running = self.runs.iter().any(|run| run.fingerprint == fingerprint);
        if status == Status::Alone && is_running {
            return Status::Pending;
        }
        status
    }

    /// Returns whether evidence against the request may not have reached all other instances.
    fn is_propagating(&self, fingerprint: Fingerprint, now: Time) -> bool {
        self.propagating.iter().any(|propagation| {
            let evidence = self
                .set
                .evidence
                .binary_search_by(|(id, _)| id.cmp(&propagation.id));
            now < propagation.until
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

    /// Records that a request ended and returns the evidence to propagate if that
    /// clears a suspect request. `completed` says whether the upstream sent a
    /// complete response.
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

    /// Records that an upstream crashed and returns the evidence to propagate.
    /// The requests that ran on it wait until [`Tracker::propagated`] is called or
    /// [`PROPAGATION_TIMEOUT`] has passed.
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
        self.propagating.push(Propagation {
            id: report.0.clone(),
            until: now + PROPAGATION_TIMEOUT,
        });
        Some(report)
    }

    /// Records that all reachable instances have the evidence.
    pub fn propagated(&mut self, id: &Id) {
        self.propagating.retain(|propagation| propagation.id != *id);
    }

    /// Adds evidence of this instance to the set and returns it with a new id.
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
