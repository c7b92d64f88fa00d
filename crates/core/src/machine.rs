//! The control state machine, to which every replica applies the entries of the replicated log.
//!
//! The only source of time is the leader's timestamp inside each entry, so that every
//! replica computes the same state from the same entries. It is called log time here.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::{
    claim, command,
    config::{Change, Config},
    error, name, order, request,
    time::{Span, Time},
};

/// How long the outcome of a command is retained.
///
/// A command that is resent later than this is handled as a new command.
pub const OUTCOME_RETENTION: Span = Span::from_secs(24 * 3_600);

/// Maximum number of retained outcomes. At this number, new commands are refused, because
/// dropping an outcome early would let a resent command be executed twice.
pub const MAX_OUTCOMES: usize = 20_000;

/// Longest term of a permit for a suspect request.
pub const MAX_PERMIT_TERM: Span = Span::from_secs(600);

/// Resolution of log time: the smallest difference between two distinct times.
const CLOCK_RESOLUTION: Span = Span::from_millis(1);

/// Maximum number of permits that are held at the same time.
pub const MAX_PERMITS: usize = 10_000;

plain! {
    /// An entry instance that receives the configuration.
    #[derive(Eq)]
    pub struct Member {
        /// The instance.
        pub instance: name::Instance,
        /// Failure domain of the instance.
        pub domain: name::Domain,
        /// Number of this start of the instance, which differs from that of its other starts.
        pub incarnation: u64,
    }

    /// A request for a permit, the exclusive right to run a suspect request.
    #[derive(Eq)]
    pub struct PermitRequest {
        /// Fingerprint of the suspect request.
        pub fingerprint: request::Fingerprint,
        /// Id of the request that will run under the permit.
        pub request: name::Request,
        /// The instance that will run it.
        pub instance: name::Instance,
        /// How long the permit is needed, at most [`MAX_PERMIT_TERM`].
        pub term: Span,
    }

    /// A granted permit.
    #[derive(Eq)]
    pub struct Permit {
        /// Fingerprint of the suspect request.
        pub fingerprint: request::Fingerprint,
        /// Id of the request that runs under the permit.
        pub request: name::Request,
        /// The instance that runs it.
        pub instance: name::Instance,
        /// Log time at which the permit expires.
        pub until: Time,
    }

    /// The input of a log entry.
    pub enum Input {
        /// Submits a command of an operator or of the control leader itself.
        Submit(command::Command),
        /// Claims a call that must not be sent twice.
        Begin(claim::Begin),
        /// Records how a claimed call ended.
        Finish(claim::Finish),
        /// Records that an instance no longer runs the calls that it claimed before a given time.
        Gone {
            /// The instance.
            instance: name::Instance,
            /// Log time. Claims from this time on belong to the restarted instance.
            before: Time,
        },
        /// Adds an instance to those that must confirm a new configuration.
        Join(Member),
        /// Removes an instance from those that must confirm a new configuration.
        Leave(name::Instance),
        /// Requests a permit to run a suspect request.
        Acquire(PermitRequest),
        /// Releases a permit.
        Release {
            /// Fingerprint of the suspect request.
            fingerprint: request::Fingerprint,
            /// Id of the request that held the permit.
            request: name::Request,
            /// The instance that ran it.
            instance: name::Instance,
        },
        /// Changes the orders to engines.
        Order(order::Input),
    }

    /// An entry of the replicated log.
    pub struct Entry {
        /// Log time, set by the leader.
        pub at: Time,
        /// What to apply to the state machine.
        pub input: Input,
    }

    /// The result of applying an entry.
    pub enum Output {
        /// The outcome of a command.
        Outcome(command::Outcome),
        /// The decision on a claim.
        Verdict(claim::Decision),
        /// Whether the permit was granted.
        Permit(bool),
        /// The result of a change to the orders.
        Order(order::Output),
        /// The entry was applied and has no other result.
        Applied,
        /// The entry was refused and did not change the state.
        Refused(error::Error),
    }

    /// A recorded outcome and the command that it belongs to.
    pub struct OutcomeRecord {
        /// BLAKE3 digest of the command in hexadecimal, to detect that an id is reused for a
        /// different command.
        pub digest: String,
        /// Name of the operator who sent the command.
        pub operator: String,
        /// Log time at which the outcome was recorded.
        pub at: Time,
        /// Outcome of the command.
        pub outcome: command::Outcome,
    }
}

/// The control state machine. Its serialized form is the snapshot of the log.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    now: Time,
    config: Config,
    /// Digest of the configuration.
    digest: String,
    outcomes: BTreeMap<name::Command, OutcomeRecord>,
    /// Ids of the retained outcomes, oldest first.
    order_of_outcomes: VecDeque<name::Command>,
    claims: claim::Table,
    members: Vec<Member>,
    permits: Vec<Permit>,
    orders: order::OrderTable,
}

fn command_digest(command: &command::Command) -> String {
    let bytes = serde_json::to_vec(command).unwrap_or_default();
    blake3::hash(&bytes).to_hex().to_string()
}

impl Permit {
    /// Returns whether this permit is held by a request on an instance.
    ///
    /// Repeated requests with the same idempotency key share an id, so the id alone does not
    /// identify the holder.
    fn is_held_by(&self, request: &name::Request, instance: &name::Instance) -> bool {
        self.request == *request && self.instance == *instance
    }
}

impl Machine {
    /// Creates an empty state machine at revision 0.
    #[must_use]
    pub fn new() -> Self {
        let config = Config::default();
        Self {
            digest: config.digest(),
            config,
            ..Self::default()
        }
    }

    /// Applies a committed entry.
    pub fn apply(&mut self, entry: &Entry) -> Output {
        // The clock of a new leader may be behind, but log time never goes back.
        self.now = self.now.max(entry.at);
        self.expire();
        match &entry.input {
            Input::Submit(command) => Output::Outcome(self.submit(command)),
            Input::Begin(begin) => match self.claims.begin(begin, self.now) {
                Ok(decision) => Output::Verdict(decision),
                Err(error) => Output::Refused(error),
            },
            Input::Finish(finish) => {
                self.claims.finish(finish, self.now);
                Output::Applied
            }
            Input::Gone { instance, before } => {
                self.claims.instance_gone(instance, *before, self.now);
                Output::Applied
            }
            Input::Join(member) => {
                self.join(member);
                Output::Applied
            }
            Input::Leave(instance) => {
                self.members.retain(|m| m.instance != *instance);
                Output::Applied
            }
            Input::Acquire(permit_request) => self.acquire_permit(permit_request),
            Input::Release {
                fingerprint,
                request,
                instance,
            } => {
                self.permits
                    .retain(|p| p.fingerprint != *fingerprint || !p.is_held_by(request, instance));
                Output::Applied
            }
            Input::Order(input) => Output::Order(self.orders.apply(input)),
        }
    }

    fn submit(&mut self, command: &command::Command) -> command::Outcome {
        let digest = command_digest(command);
        if let Some(record) = self.outcomes.get(&command.id) {
            if record.digest == digest {
                return record.outcome.clone();
            }
            return command::Outcome::refused(error::Error::new(
                error::Kind::CommandReused,
                format!("command id {} was used with another content", command.id),
            ));
        }
        if self.outcomes.len() >= MAX_OUTCOMES {
            // Not recorded: a resend may succeed once the retention period of an outcome is over.
            return command::Outcome::refused(error::Error::new(
                error::Kind::Overloaded,
                format!("{MAX_OUTCOMES} outcomes are kept and none has expired"),
            ));
        }
        let outcome = self.execute(command);
        let record = OutcomeRecord {
            digest,
            operator: command.operator.clone(),
            at: self.now,
            outcome: outcome.clone(),
        };
        self.outcomes.insert(command.id.clone(), record);
        self.order_of_outcomes.push_back(command.id.clone());
        outcome
    }

    fn execute(&mut self, command: &command::Command) -> command::Outcome {
        if let Some(expected) = command.expects.filter(|r| *r != self.config.revision) {
            return self.conflict(expected);
        }
        match self.config.changed(&command.change) {
            Ok(next) => {
                self.config = next;
                self.digest = self.config.digest();
                command::Outcome::Accepted {
                    revision: self.config.revision,
                }
            }
            Err(error) => command::Outcome::refused(error),
        }
    }

    fn conflict(&self, expected: u64) -> command::Outcome {
        let winner = self.command_for_revision(expected + 1);
        let message = format!(
            "expected revision {expected}, the configuration is at {}",
            self.config.revision
        );
        command::Outcome::Refused {
            error: error::Error::new(error::Kind::Conflict, message),
            winner,
        }
    }

    /// Returns the command that created a revision, as long as its outcome is retained.
    #[must_use]
    pub fn command_for_revision(&self, revision: u64) -> Option<command::Winner> {
        let created_revision = |r: &OutcomeRecord| matches!(r.outcome, command::Outcome::Accepted { revision: n } if n == revision);
        self.order_of_outcomes.iter().rev().find_map(|id| {
            let record = self.outcomes.get(id).filter(|r| created_revision(r))?;
            Some(command::Winner {
                id: id.clone(),
                operator: record.operator.clone(),
                revision,
            })
        })
    }

    fn join(&mut self, member: &Member) {
        match self
            .members
            .binary_search_by(|m| m.instance.cmp(&member.instance))
        {
            Ok(index) => {
                // The calls of the previous start ended with it. The new start claims
                // none before this entry is applied, so all claims up to now are old.
                if self.members[index].incarnation != member.incarnation {
                    let now = self.now;
                    self.claims
                        .instance_gone(&member.instance, now + CLOCK_RESOLUTION, now);
                }
                self.members[index] = member.clone();
            }
            Err(index) => self.members.insert(index, member.clone()),
        }
    }

    fn acquire_permit(&mut self, permit_request: &PermitRequest) -> Output {
        let until = self.now + permit_request.term.min(MAX_PERMIT_TERM);
        let permit = Permit {
            fingerprint: permit_request.fingerprint,
            request: permit_request.request.clone(),
            instance: permit_request.instance.clone(),
            until,
        };
        match self
            .permits
            .binary_search_by(|p| p.fingerprint.cmp(&permit_request.fingerprint))
        {
            // A resend does not extend the permit: the holder relies on the first expiry.
            Ok(index) => {
                let is_held = self.permits[index]
                    .is_held_by(&permit_request.request, &permit_request.instance);
                Output::Permit(is_held)
            }
            Err(_) if self.permits.len() >= MAX_PERMITS => Output::Permit(false),
            Err(index) => {
                self.permits.insert(index, permit);
                Output::Permit(true)
            }
        }
    }

    fn expire(&mut self) {
        let now = self.now;
        self.claims.expire(now);
        self.permits.retain(|p| p.until > now);
        while let Some(id) = self.order_of_outcomes.front() {
            let is_expired = |r: &OutcomeRecord| now.since(r.at) >= OUTCOME_RETENTION;
            if !self.outcomes.get(id).is_none_or(is_expired) {
                return;
            }
            self.outcomes.remove(id);
            self.order_of_outcomes.pop_front();
        }
    }

    /// Returns the log time of the last entry.
    #[must_use]
    pub const fn now(&self) -> Time {
        self.now
    }

    /// Returns the configuration.
    #[must_use]
    pub const fn config(&self) -> &Config {
        &self.config
    }

    /// Returns the digest of the configuration.
    #[must_use]
    pub fn digest(&self) -> &str {
        &self.digest
    }

    /// Returns the recorded outcome of a command.
    #[must_use]
    pub fn outcome(&self, id: &name::Command) -> Option<&command::Outcome> {
        self.outcomes.get(id).map(|r| &r.outcome)
    }

    /// Returns the claims on calls.
    #[must_use]
    pub const fn claims(&self) -> &claim::Table {
        &self.claims
    }

    /// Returns the instances that must confirm a new configuration, sorted by name.
    #[must_use]
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the permits that are held, sorted by fingerprint.
    #[must_use]
    pub fn permits(&self) -> &[Permit] {
        &self.permits
    }

    /// Returns the orders to engines.
    #[must_use]
    pub const fn orders(&self) -> &order::OrderTable {
        &self.orders
    }

    /// Returns the change that an entry made to the configuration, if any. `before` is the
    /// revision before the entry was applied.
    #[must_use]
    pub fn accepted_change<'a>(
        before: u64,
        entry: &'a Entry,
        output: &Output,
    ) -> Option<&'a Change> {
        match (&entry.input, output) {
            (Input::Submit(command), Output::Outcome(command::Outcome::Accepted { revision }))
                if *revision == before + 1 =>
            {
                Some(&command.change)
            }
            _ => None,
        }
    }
}
