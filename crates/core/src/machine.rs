//! The state machine on the replicated log.
//!
//! Time enters only as the leader's timestamp inside an entry, so that every
//! replica computes the same state from the same entries.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::{
    claim, command,
    config::{Change, Config},
    error, name, order, request,
    time::{Span, Time},
};

/// How long the outcome of a command is kept.
///
/// A command that is resent later than this counts as a new command.
pub const OUTCOME_RETENTION: Span = Span::from_secs(24 * 3_600);

/// Most outcomes that are kept at once. New commands are refused at this
/// number, because dropping an outcome early would let a resend run twice.
pub const MAX_OUTCOMES: usize = 20_000;

/// Longest time that a permit for a suspect request is granted for.
pub const MAX_PERMIT_TERM: Span = Span::from_secs(600);

/// Distance to a time that is surely later.
const TICK: Span = Span::from_millis(1);

/// Most permits that are held at once.
pub const MAX_PERMITS: usize = 10_000;

plain! {
    /// An entry instance that receives the configuration.
    #[derive(Eq)]
    pub struct Member {
        /// The instance.
        pub instance: name::Instance,
        /// Its failure domain.
        pub domain: name::Domain,
        /// Differs between its starts.
        pub incarnation: u64,
    }

    /// A request for the exclusive right to run a suspect request.
    #[derive(Eq)]
    pub struct PermitRequest {
        /// The suspect work.
        pub fingerprint: request::Fingerprint,
        /// The request that will run it.
        pub request: name::Request,
        /// The instance that will run it.
        pub instance: name::Instance,
        /// How long it is needed, at most [`MAX_PERMIT_TERM`].
        pub term: Span,
    }

    /// A granted permit.
    #[derive(Eq)]
    pub struct Permit {
        /// The suspect work.
        pub fingerprint: request::Fingerprint,
        /// The request that runs it.
        pub request: name::Request,
        /// The instance that runs it.
        pub instance: name::Instance,
        /// Time of the log at which it expires.
        pub until: Time,
    }

    /// What an entry of the log asks for.
    pub enum Input {
        /// An operator's command, or one of the control leader itself.
        Submit(command::Command),
        /// Claims a call that must not be repeated.
        Begin(claim::Begin),
        /// Records the end of a claimed call.
        Finish(claim::Finish),
        /// Records that an instance no longer runs the calls it claimed before a time.
        Gone {
            /// The instance.
            instance: name::Instance,
            /// Time of the log; later claims are of the restarted instance.
            before: Time,
        },
        /// Adds an instance to those that must confirm a configuration.
        Join(Member),
        /// Removes an instance from those that must confirm a configuration.
        Leave(name::Instance),
        /// Asks for the exclusive right to run a suspect request.
        Acquire(PermitRequest),
        /// Returns that right.
        Release {
            /// The suspect work.
            fingerprint: request::Fingerprint,
            /// The request that held the right.
            request: name::Request,
            /// The instance of that request.
            instance: name::Instance,
        },
        /// Changes the orders to engines.
        Order(order::Input),
    }

    /// An entry of the log.
    pub struct Entry {
        /// Time of the log, set by the leader.
        pub at: Time,
        /// What is asked for.
        pub input: Input,
    }

    /// What an entry led to.
    pub enum Output {
        /// Outcome of a command.
        Outcome(command::Outcome),
        /// Answer to a claim.
        Verdict(claim::Decision),
        /// Whether the permit was granted.
        Permit(bool),
        /// An order was placed or refused.
        Order(order::Output),
        /// The entry was applied and has no further answer.
        Applied,
        /// The entry was refused and changed nothing.
        Refused(error::Error),
    }

    /// A recorded outcome.
    pub struct OutcomeRecord {
        /// BLAKE3 digest of the command in hexadecimal, to recognize another content.
        pub digest: String,
        /// Who sent it.
        pub operator: String,
        /// Time of the log.
        pub at: Time,
        /// The outcome.
        pub outcome: command::Outcome,
    }
}

/// The state of the machine. It serializes as the snapshot of the log.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    now: Time,
    config: Config,
    digest: String,
    outcomes: BTreeMap<name::Command, OutcomeRecord>,
    order_of_outcomes: VecDeque<name::Command>,
    claims: claim::Table,
    members: Vec<Member>,
    permits: Vec<Permit>,
    orders: order::OrderTable,
}

fn digest_of(command: &command::Command) -> String {
    let bytes = serde_json::to_vec(command).unwrap_or_default();
    blake3::hash(&bytes).to_hex().to_string()
}

impl Permit {
    /// Returns whether this is the permit of that request on that instance.
    ///
    /// Repeats with the same idempotency key share an id, so the id alone doesn't tell.
    fn is_held_by(&self, request: &name::Request, instance: &name::Instance) -> bool {
        self.request == *request && self.instance == *instance
    }
}

impl Machine {
    /// Returns an empty machine at revision 0.
    #[must_use]
    pub fn new() -> Self {
        let config = Config::default();
        Self {
            digest: config.digest(),
            config,
            ..Self::default()
        }
    }

    /// Applies one entry.
    pub fn apply(&mut self, entry: &Entry) -> Output {
        // A new leader's clock may lag behind; time of the log never goes back.
        self.now = self.now.max(entry.at);
        self.expire();
        match &entry.input {
            Input::Submit(command) => Output::Outcome(self.submit(command)),
            Input::Begin(ask) => match self.claims.begin(ask, self.now) {
                Ok(verdict) => Output::Verdict(verdict),
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
            Input::Acquire(ask) => self.acquire(ask),
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
        let digest = digest_of(command);
        if let Some(known) = self.outcomes.get(&command.id) {
            if known.digest == digest {
                return known.outcome.clone();
            }
            return command::Outcome::refused(error::Error::new(
                error::Kind::CommandReused,
                format!("command id {} was used with another content", command.id),
            ));
        }
        if self.outcomes.len() >= MAX_OUTCOMES {
            // Not recorded: a resend after the retention period may succeed.
            return command::Outcome::refused(error::Error::new(
                error::Kind::Overloaded,
                format!("{MAX_OUTCOMES} outcomes are kept and none has expired"),
            ));
        }
        let outcome = self.decide(command);
        let recorded = OutcomeRecord {
            digest,
            operator: command.operator.clone(),
            at: self.now,
            outcome: outcome.clone(),
        };
        self.outcomes.insert(command.id.clone(), recorded);
        self.order_of_outcomes.push_back(command.id.clone());
        outcome
    }

    fn decide(&mut self, command: &command::Command) -> command::Outcome {
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

    /// Returns the command that made the revision, while its outcome is kept.
    #[must_use]
    pub fn command_for_revision(&self, revision: u64) -> Option<command::Winner> {
        let made = |r: &OutcomeRecord| matches!(r.outcome, command::Outcome::Accepted { revision: n } if n == revision);
        self.order_of_outcomes.iter().rev().find_map(|id| {
            let recorded = self.outcomes.get(id).filter(|r| made(r))?;
            Some(command::Winner {
                id: id.clone(),
                operator: recorded.operator.clone(),
                revision,
            })
        })
    }

    fn join(&mut self, member: &Member) {
        match self
            .members
            .binary_search_by(|m| m.instance.cmp(&member.instance))
        {
            Ok(at) => {
                // The calls of the earlier start ended with it. The new start
                // claims none before this entry is applied.
                if self.members[at].incarnation != member.incarnation {
                    let now = self.now;
                    self.claims.instance_gone(&member.instance, now + TICK, now);
                }
                self.members[at] = member.clone();
            }
            Err(at) => self.members.insert(at, member.clone()),
        }
    }

    fn acquire(&mut self, ask: &PermitRequest) -> Output {
        let until = self.now + ask.term.min(MAX_PERMIT_TERM);
        let permit = Permit {
            fingerprint: ask.fingerprint,
            request: ask.request.clone(),
            instance: ask.instance.clone(),
            until,
        };
        match self
            .permits
            .binary_search_by(|p| p.fingerprint.cmp(&ask.fingerprint))
        {
            // A resend keeps the first expiry, which its holder counts with.
            Ok(at) => {
                let held = self.permits[at].is_held_by(&ask.request, &ask.instance);
                Output::Permit(held)
            }
            Err(_) if self.permits.len() >= MAX_PERMITS => Output::Permit(false),
            Err(at) => {
                self.permits.insert(at, permit);
                Output::Permit(true)
            }
        }
    }

    fn expire(&mut self) {
        let now = self.now;
        self.claims.expire(now);
        self.permits.retain(|p| p.until > now);
        while let Some(id) = self.order_of_outcomes.front() {
            let old = |r: &OutcomeRecord| now.since(r.at) >= OUTCOME_RETENTION;
            if !self.outcomes.get(id).is_none_or(old) {
                return;
            }
            self.outcomes.remove(id);
            self.order_of_outcomes.pop_front();
        }
    }

    /// Returns the time of the last entry.
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

    /// Returns all claims.
    #[must_use]
    pub const fn claims(&self) -> &claim::Table {
        &self.claims
    }

    /// Returns the instances that must confirm a configuration, sorted by name.
    #[must_use]
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the permits, sorted by fingerprint.
    #[must_use]
    pub fn permits(&self) -> &[Permit] {
        &self.permits
    }

    /// Returns the orders to engines.
    #[must_use]
    pub const fn orders(&self) -> &order::OrderTable {
        &self.orders
    }

    /// Returns the change an entry made to the configuration, if it made one.
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
