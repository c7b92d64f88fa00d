//! Suspects: requests and parts of prompts that may crash upstreams.
//!
//! Each crash names what ran on the upstream; complete answers, and answers that go on, clear what
//! they are about. Parts that only ran together can't be told apart by crashes: a request with some
//! of them, one at a time over all instances, is the experiment that does. A part may crash upstreams
//! under one kind of request only, so it is judged for each kind too. The judgement follows from the
//! [`EvidenceSet`] alone. The [`Screen`] of an entry instance of the gateway applies it to requests and
//! their prompt parts, the [`Tracker`] of a peer to requests.
//!
//! The load pattern: requests with one part in common, otherwise all different, arrive dozens of
//! times a second at hundreds of instances, beside sound requests that share all their other parts,
//! and each of them crashes the upstream that begins to answer it.

mod ended;
mod evidence;
mod progress;
mod screen;

use serde::{Deserialize, Serialize};

pub use self::{
    ended::Process,
    evidence::{
        Answer, Ban, Change, Charge, Crash, EXPERIMENT_PERMIT, EvidenceSet, Message, PART_CRASHES,
        REQUEST_CRASHES, Standing, Subject, is_permit_name,
    },
    progress::Progress,
    screen::{Probe, Screen, Trial, Witness, is_crash},
};
use crate::{
    name,
    request::Fingerprint,
    time::{Span, Time},
};

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
    /// It is refused: [`REQUEST_CRASHES`] upstreams crashed while it ran on them.
    Quarantined,
}

impl Evidence {
    /// Returns the evidence of a report with this id as a message to an [`EvidenceSet`].
    #[must_use]
    pub fn message(&self, id: &Id) -> Message {
        let crash = |upstream: &name::Upstream, incarnation: u64, charges: Vec<Charge>| Crash {
            upstream: upstream.as_str().into(),
            incarnation,
            age: Span::ZERO,
            charges,
        };
        let charge = |fingerprint: Fingerprint, answer: Answer| Charge {
            subject: Subject::Request(fingerprint),
            answer,
        };
        let crashes = match self {
            Self::Crash { running } => {
                let charges = running.iter().map(|f| charge(*f, Answer::Missing));
                vec![crash(&id.upstream, id.incarnation, charges.collect())]
            }
            Self::Cleared {
                fingerprint,
                crashes,
            } => {
                let cleared = || vec![charge(*fingerprint, Answer::After)];
                let of = crashes.iter();
                of.map(|(upstream, incarnation)| crash(upstream, *incarnation, cleared()))
                    .collect()
            }
        };
        Message {
            crashes,
            bans: Vec::new(),
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
    /// Requests that ran on the upstream, sorted.
    running: Vec<Fingerprint>,
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
    pub fn new(origin: name::Instance, boot: u64) -> Self {
        Self {
            origin,
            boot,
            number: 0,
            set: EvidenceSet::default(),
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
    pub fn merge(&mut self, id: &Id, evidence: &Evidence) {
        self.set.merge(&evidence.message(id), Time::ZERO);
    }

    /// Returns the status of a request that is about to run.
    #[must_use]
    pub fn status(&self, fingerprint: Fingerprint, now: Time) -> Status {
        let status = match self.set.standing(Subject::Request(fingerprint)) {
            Standing::Clear => Status::Clear,
            Standing::Suspect => Status::Alone,
            Standing::Guilty => Status::Quarantined,
        };
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
        let is_charged = |p: &Propagation| p.running.binary_search(&fingerprint).is_ok();
        let mut open = self.propagating.iter().filter(|p| now < p.until);
        open.any(is_charged)
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
        let is_suspect = self.set.standing(Subject::Request(fingerprint)) == Standing::Suspect;
        if !completed || !is_suspect {
            return None;
        }
        let crashes = self.set.crashes(Subject::Request(fingerprint));
        let named = |(upstream, incarnation): (std::sync::Arc<str>, u64)| {
            let upstream = name::Upstream::try_from(&*upstream).ok()?;
            Some((upstream, incarnation))
        };
        // All of them come from evidence that names valid upstreams.
        let crashes = crashes.into_iter().filter_map(named).collect();
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
        let evidence = Evidence::Crash {
            running: running.clone(),
        };
        let report = self.report(upstream.clone(), incarnation, evidence);
        self.propagating.push(Propagation {
            id: report.0.clone(),
            running,
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
        self.merge(&id, &evidence);
        (id, evidence)
    }
}
