//! State that all instances agree on: configuration, failure domains out of service and rollouts.
//!
//! [`State::apply`] is the state machine on the replicated log. The same commands in the same
//! order give the same state everywhere.

use std::sync::Arc;

use crate::{consensus::Payload, fault::Fault};

/// Rollouts that the state keeps for each service, so that the log's state stays bounded.
const ROLLOUTS_KEPT: usize = 8;

plain! {
    /// Progress of a rollout.
    #[derive(Copy, Eq)]
    pub enum Phase {
        /// A part of the requests goes to the new version.
        InProgress,
        /// All requests go to the new version.
        Completed,
        /// No request goes to the new version.
        Reverted,
    }

    /// The move of a service's requests to another version.
    #[derive(Eq)]
    pub struct Rollout {
        /// The service.
        pub service: Arc<str>,
        /// The new version.
        pub target: Arc<str>,
        /// Wall clock of the leader at its start, in milliseconds since the Unix epoch.
        pub began_ms: u64,
        /// Time from the start to the operator's deadline, in milliseconds.
        pub duration_ms: u64,
        /// Requests of 1,000 that go to the new version.
        pub permille: u16,
        /// Progress.
        pub phase: Phase,
    }

    /// An entry of the log.
    #[derive(Eq)]
    pub enum Command {
        /// Replaces the configuration if its number is higher.
        Configure {
            /// The operator's number.
            revision: u64,
            /// The configuration as the operator sent it.
            content: Payload,
        },
        /// Takes a failure domain out of service.
        TakeOut(Arc<str>),
        /// Takes a failure domain back into service.
        Restore(Arc<str>),
        /// Starts a rollout.
        StartRollout(Rollout),
        /// Changes the share or the phase of the rollout of a service that is in progress.
        AdvanceRollout {
            /// The service.
            service: Arc<str>,
            /// The version that is rolled out.
            target: Arc<str>,
            /// Requests of 1,000 that go to the new version.
            permille: u16,
            /// New phase.
            phase: Phase,
        },
    }

    /// The agreed state.
    #[derive(Eq, Default)]
    pub struct State {
        /// Number of the configuration; 0 before the first.
        pub revision: u64,
        /// The configuration as the operator sent it.
        pub content: Payload,
        /// Failure domains out of service, sorted.
        pub taken_out: Vec<Arc<str>>,
        /// Rollouts, oldest first.
        pub rollouts: Vec<Rollout>,
    }
}

/// What a version may get of a service's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eligibility {
    /// Nothing.
    Ineligible,
    /// The part that no rollout takes.
    Stable,
    /// That many of 1,000 requests.
    Canary(u16),
}

impl State {
    /// Applies a command and returns whether it changed anything.
    pub fn apply(&mut self, command: Command) -> bool {
        match command {
            Command::Configure { revision, content } => self.configure(revision, content),
            Command::TakeOut(domain) => match self.taken_out.binary_search(&domain) {
                Ok(_) => false,
                Err(at) => {
                    self.taken_out.insert(at, domain);
                    true
                }
            },
            Command::Restore(domain) => match self.taken_out.binary_search(&domain) {
                Ok(at) => {
                    self.taken_out.remove(at);
                    true
                }
                Err(_) => false,
            },
            Command::StartRollout(rollout) => self.begin(rollout),
            Command::AdvanceRollout {
                service,
                target,
                permille,
                phase,
            } => self.advance(&service, &target, permille, phase),
        }
    }

    fn configure(&mut self, revision: u64, content: Payload) -> bool {
        if revision <= self.revision && !Fault::OldRevision.is_injected() {
            return false;
        }
        self.revision = revision;
        self.content = content;
        true
    }

    /// A repeated order finds its rollout and changes nothing.
    fn begin(&mut self, rollout: Rollout) -> bool {
        let latest = self.rollout(&rollout.service);
        if latest.is_some_and(|l| l.target == rollout.target) {
            return false;
        }
        let same = |r: &&Rollout| r.service == rollout.service;
        if self.rollouts.iter().filter(same).count() >= ROLLOUTS_KEPT
            && let Some(at) = self.rollouts.iter().position(|r| same(&r))
        {
            self.rollouts.remove(at);
        }
        self.rollouts.push(rollout);
        true
    }

    fn advance(&mut self, service: &str, target: &str, permille: u16, phase: Phase) -> bool {
        let Some(rollout) = self.rollouts.iter_mut().rfind(|r| &*r.service == service) else {
            return false;
        };
        if &*rollout.target != target || rollout.phase != Phase::InProgress {
            return false;
        }
        rollout.permille = permille;
        rollout.phase = phase;
        true
    }

    /// Returns the latest rollout of the service.
    #[must_use]
    pub fn rollout(&self, service: &str) -> Option<&Rollout> {
        self.rollouts.iter().rfind(|r| &*r.service == service)
    }

    /// Returns whether the failure domain is out of service.
    #[must_use]
    pub fn is_taken_out(&self, domain: &str) -> bool {
        self.taken_out
            .binary_search_by(|d| (**d).cmp(domain))
            .is_ok()
    }

    /// Returns what a version of the service may get.
    #[must_use]
    pub fn eligibility(&self, service: &str, version: &str) -> Eligibility {
        let of_service = || self.rollouts.iter().filter(|r| &*r.service == service);
        let Some(latest) = of_service().next_back() else {
            return Eligibility::Stable;
        };
        if &*latest.target == version {
            return match latest.phase {
                Phase::InProgress => Eligibility::Canary(latest.permille),
                Phase::Completed => Eligibility::Stable,
                Phase::Reverted => Eligibility::Ineligible,
            };
        }
        if latest.phase == Phase::Completed {
            return Eligibility::Ineligible;
        }
        let earlier = of_service().rfind(|r| &*r.target == version);
        match earlier.map(|r| r.phase) {
            Some(Phase::Reverted) => Eligibility::Ineligible,
            // A version that a completed rollout replaced stays replaced.
            None if of_service().any(|r| r.phase == Phase::Completed) => Eligibility::Ineligible,
            Some(Phase::Completed | Phase::InProgress) | None => Eligibility::Stable,
        }
    }
}
