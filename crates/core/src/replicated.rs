//! Replicated state: configuration, failure domains out of service and rollouts.
//!
//! [`State::apply`] is the deterministic state machine on the replicated log: the same commands in
//! the same order give the same state on every instance.

use std::sync::Arc;

use crate::{consensus::Payload, fault::Fault};

/// Maximum number of rollouts in the state for each service, which bounds the size of snapshots.
const MAX_ROLLOUTS: usize = 8;

plain! {
    /// Progress of a rollout.
    #[derive(Copy, Eq)]
    pub enum Phase {
        /// A share of the requests goes to the new version.
        InProgress,
        /// All requests go to the new version.
        Completed,
        /// No request goes to the new version.
        Reverted,
    }

    /// The gradual move of a service's requests to another version.
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
        /// Share of the requests that goes to the new version, in permille.
        pub permille: u16,
        /// Progress.
        pub phase: Phase,
    }

    /// An entry of the log.
    #[derive(Eq)]
    pub enum Command {
        /// Replaces the configuration if its revision is higher.
        Configure {
            /// Revision number that the operator assigned.
            revision: u64,
            /// The configuration as the operator sent it.
            content: Payload,
        },
        /// Takes a failure domain out of service.
        TakeOut(Arc<str>),
        /// Returns a failure domain to service.
        Restore(Arc<str>),
        /// Starts a rollout.
        StartRollout(Rollout),
        /// Changes the share or the phase of a service's rollout in progress.
        AdvanceRollout {
            /// The service.
            service: Arc<str>,
            /// The version that is rolled out.
            target: Arc<str>,
            /// Share of the requests that goes to the new version, in permille.
            permille: u16,
            /// New phase.
            phase: Phase,
        },
    }

    /// The replicated state.
    #[derive(Eq, Default)]
    pub struct State {
        /// Revision of the configuration; 0 before the first one.
        pub revision: u64,
        /// The configuration as the operator sent it.
        pub content: Payload,
        /// Failure domains out of service, sorted.
        pub taken_out: Vec<Arc<str>>,
        /// Rollouts, oldest first.
        pub rollouts: Vec<Rollout>,
        /// Whether a configuration has needed keys. From then on all do, so that one that leaves the
        /// client accounts out opens nothing. A field of its own at the end of snapshots.
        #[serde(skip)]
        pub needs_keys: bool,
    }
}

/// Why a snapshot can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("can't decode the snapshot: {0}")]
pub struct DecodeError(#[from] postcard::Error);

/// Which of a service's requests a version may get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eligibility {
    /// None.
    Ineligible,
    /// Those that don't belong to a canary.
    Stable,
    /// The canary's share, in permille.
    Canary(u16),
}

impl State {
    /// Encodes a snapshot. Builds that don't know the last field ignore it.
    ///
    /// # Panics
    ///
    /// Never panics: a state has no maps or unsized values that could not be encoded.
    #[must_use]
    pub fn encode(&self) -> Payload {
        let state = postcard::to_stdvec(self).expect("every state can be encoded");
        let bytes = postcard::to_extend(&self.needs_keys, state);
        Payload::from(bytes.expect("a truth value can be encoded"))
    }

    /// Decodes a snapshot; an empty one stands for the initial state. One of a build that doesn't know
    /// the last field has it unset.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are no snapshot.
    pub fn decode(snapshot: &[u8]) -> Result<Self, DecodeError> {
        if snapshot.is_empty() {
            return Ok(Self::default());
        }
        let (mut state, rest) = postcard::take_from_bytes::<Self>(snapshot)?;
        if !rest.is_empty() {
            state.needs_keys = postcard::from_bytes(rest)?;
        }
        Ok(state)
    }

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
            Command::StartRollout(rollout) => self.start_rollout(rollout),
            Command::AdvanceRollout {
                service,
                target,
                permille,
                phase,
            } => self.advance_rollout(&service, &target, permille, phase),
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

    /// Adds a rollout. A repeated command for the same target changes nothing.
    fn start_rollout(&mut self, rollout: Rollout) -> bool {
        let latest = self.rollout(&rollout.service);
        if latest.is_some_and(|l| l.target == rollout.target) {
            return false;
        }
        let of_service = |r: &&Rollout| r.service == rollout.service;
        if self.rollouts.iter().filter(of_service).count() >= MAX_ROLLOUTS
            && let Some(at) = self.rollouts.iter().position(|r| of_service(&r))
        {
            self.rollouts.remove(at);
        }
        self.rollouts.push(rollout);
        true
    }

    fn advance_rollout(
        &mut self,
        service: &str,
        target: &str,
        permille: u16,
        phase: Phase,
    ) -> bool {
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

    /// Returns which of the service's requests a version may get.
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
            // A version that a completed rollout has replaced is never used again.
            None if of_service().any(|r| r.phase == Phase::Completed) => Eligibility::Ineligible,
            Some(Phase::Completed | Phase::InProgress) | None => Eligibility::Stable,
        }
    }
}
