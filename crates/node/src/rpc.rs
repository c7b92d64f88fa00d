//! Names, parameters and results of the control replicas' JSON-RPC methods.

use jsonrpsee::types::ErrorObjectOwned;
use masticlock_core::{
    claim, command, config, consensus, error, evidence, feed, ledger, machine, name, plain, policy,
    request, time::Span,
};

/// Log messages between control replicas. The result are the messages that
/// the receiver has for the sender at once, such as the answer to a heartbeat.
pub const REPLICA_MESSAGE: &str = "replica.message";
/// Asks to take part in the log as a learner.
pub const REPLICA_JOIN: &str = "replica.join";
/// A replica's identity and role, answered by every replica without a quorum.
pub const REPLICA_STATUS: &str = "replica.status";
/// An operator's command.
pub const OPERATOR_SUBMIT: &str = "operator.submit";
/// The outcome of an earlier command.
pub const OPERATOR_OUTCOME: &str = "operator.outcome";
/// State of the system as the leader sees it.
pub const OPERATOR_STATUS: &str = "operator.status";
/// Poll for the configuration.
pub const FEED_POLL: &str = "feed.poll";
/// Claims a call that must not be repeated.
pub const CLAIM_BEGIN: &str = "claim.begin";
/// Records the end of a claimed call.
pub const CLAIM_FINISH: &str = "claim.finish";
/// Looks a claim up.
pub const CLAIM_LOOKUP: &str = "claim.lookup";
/// Asks for the exclusive right to run a suspect request.
pub const PERMIT_ACQUIRE: &str = "permit.acquire";
/// Returns that right.
pub const PERMIT_RELEASE: &str = "permit.release";
/// Stores bills on the replica's disk.
pub const BILL_PUT: &str = "bill.put";
/// Lists the bills of the replica's disk.
pub const BILL_LIST: &str = "bill.list";

/// The accepted configuration, as the leader has it.
pub const OPERATOR_CONFIG: &str = "operator.config";
/// A restriction that holds at one entry instance at once, without the majority.
pub const OPERATOR_RESTRICT: &str = "operator.restrict";
/// Reports an instance's evidence about versions to the leader.
pub const EVIDENCE_SHARE: &str = "evidence.share";
/// Events of one process.
pub const TIMELINE_READ: &str = "timeline.read";
/// Why a request got its plan.
pub const REQUEST_EXPLAIN: &str = "request.explain";

/// Largest request or answer in bytes.
pub const MAX_BODY_BYTES: usize = 16 * 1_024 * 1_024;

/// Most bills in one answer.
pub const MAX_BILLS: usize = 1_000;

/// Longest time that an answer waits for a revision to be in force.
pub const MAX_WAIT: Span = Span::from_secs(30);

/// JSON-RPC code of every [`Failure`].
pub const FAILURE_CODE: i32 = -32_000;

plain! {
    /// An error with the address of the leader, if another replica leads.
    #[derive(Eq)]
    pub struct Failure {
        /// The error.
        pub error: error::Error,
        /// Address of the leader.
        pub leader: Option<String>,
    }

    /// Parameters of [`REPLICA_MESSAGE`].
    #[derive(Eq)]
    pub struct Messages {
        /// The sender's identity.
        pub from: consensus::Identity,
        /// The sender, for a receiver that may not know its address: one that has just joined.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub sender: Option<consensus::Member>,
        /// Messages of one sender in order.
        pub messages: Vec<consensus::Message>,
    }

    /// Parameters of [`REPLICA_JOIN`].
    #[derive(Eq)]
    pub struct Join {
        /// The replica that takes part from now on.
        pub member: consensus::Member,
    }

    /// Parameters of [`OPERATOR_SUBMIT`].
    pub struct Submit {
        /// The command.
        pub command: command::Command,
        /// How long the answer may wait for the revision to be in force.
        pub wait: Span,
    }

    /// Parameters of [`OPERATOR_OUTCOME`].
    #[derive(Eq)]
    pub struct Lookup {
        /// The command.
        pub id: name::Command,
        /// How long the answer may wait for the revision to be in force.
        pub wait: Span,
    }

    /// Result of [`OPERATOR_SUBMIT`] and [`OPERATOR_OUTCOME`].
    pub struct Submitted {
        /// The outcome; `Accepted` is durable on a majority.
        pub outcome: command::Outcome,
        /// Whether every live instance has confirmed the revision.
        pub in_force: bool,
        /// The instances that have not confirmed it.
        pub pending: Vec<feed::Pending>,
    }

    /// Result of [`OPERATOR_STATUS`].
    pub struct Status {
        /// Accepted revision.
        pub revision: u64,
        /// Its digest.
        pub digest: String,
        /// Whether every live instance has confirmed it.
        pub in_force: bool,
        /// The instances that have not confirmed it.
        pub pending: Vec<feed::Pending>,
        /// Instances that must confirm a revision.
        pub members: Vec<machine::Member>,
        /// Contact instances of the failure domains.
        pub contacts: Vec<feed::Contact>,
        /// Crash evidence and local restrictions.
        pub records: Vec<feed::Record>,
        /// Number of claims.
        pub claims: usize,
        /// Number of bills on the leader's disk.
        pub bills: u64,
        /// The leader's replica.
        pub replica: consensus::Status,
    }

    /// Parameters of [`PERMIT_RELEASE`].
    #[derive(Eq)]
    pub struct Release {
        /// The suspect work.
        pub fingerprint: request::Fingerprint,
        /// The request that held the right.
        pub request: name::Request,
        /// The instance of that request.
        pub instance: name::Instance,
    }

    /// Parameters of [`CLAIM_LOOKUP`].
    #[derive(Eq)]
    pub struct ClaimLookup {
        /// What the claim is keyed by.
        pub key: claim::Key,
    }

    /// Parameters of [`BILL_PUT`].
    #[derive(Eq)]
    pub struct Bills {
        /// Bills to store.
        pub bills: Vec<ledger::Bill>,
    }

    /// Parameters of [`BILL_LIST`].
    #[derive(Copy, Eq)]
    pub struct BillsFrom {
        /// Position of the first bill in the replica's order of arrival.
        pub from: u64,
    }

    /// Result of [`BILL_LIST`].
    #[derive(Eq)]
    pub struct BillPage {
        /// At most [`MAX_BILLS`] bills. A later bill replaces an earlier one of the same request.
        pub bills: Vec<ledger::Bill>,
        /// Position behind the last bill of the page.
        pub next: u64,
        /// Position behind the last bill of the replica.
        pub end: u64,
    }

    /// Parameters of [`OPERATOR_RESTRICT`].
    #[derive(Eq)]
    pub struct Restrict {
        /// Id that an accepted revision names to lift it.
        pub id: name::Restriction,
        /// The restriction.
        pub limit: config::Restriction,
    }

    /// Parameters of [`EVIDENCE_SHARE`].
    pub struct Share {
        /// The leader process that the last report went to.
        pub leader: u64,
        /// Whether totals are asked for.
        pub totals: bool,
        /// Own counters that the leader may not have.
        pub delta: evidence::Delta,
    }

    /// Result of [`EVIDENCE_SHARE`].
    pub struct Shared {
        /// The leader process.
        pub leader: u64,
        /// Totals over all instances, if asked for.
        pub totals: evidence::Delta,
    }

    /// Parameters of [`TIMELINE_READ`].
    #[derive(Copy, Eq)]
    pub struct TimelineFrom {
        /// Number of the last event that is known.
        pub after: u64,
    }

    /// Parameters of [`REQUEST_EXPLAIN`].
    #[derive(Eq)]
    pub struct Explain {
        /// The request.
        pub request: name::Request,
    }

    /// Result of [`REQUEST_EXPLAIN`].
    pub struct Explanation {
        /// Kind of request.
        pub task: name::Task,
        /// Quality target.
        pub quality: f64,
        /// Milliseconds to the deadline when the plan was chosen.
        pub deadline_ms: u64,
        /// Plans that were considered.
        pub considered: Vec<policy::ConsideredPlan>,
    }
}

impl Failure {
    /// Returns a failure of `kind` that names no leader.
    pub fn new<M>(kind: error::Kind, message: M) -> Self
    where
        M: Into<String>,
    {
        Self::from(error::Error::new(kind, message))
    }
}

impl From<error::Error> for Failure {
    fn from(error: error::Error) -> Self {
        Self {
            error,
            leader: None,
        }
    }
}

impl From<Failure> for ErrorObjectOwned {
    fn from(failure: Failure) -> Self {
        Self::owned(FAILURE_CODE, failure.error.to_string(), Some(failure))
    }
}

/// Returns the value of the `authorization` header for the cluster secret.
#[must_use]
pub fn credential(secret: &str) -> String {
    format!("Bearer {secret}")
}

/// Returns whether the `authorization` header has the cluster secret.
///
/// Compares digests, whose comparison takes the same time wherever they differ.
#[must_use]
pub fn is_authorized(header: Option<&str>, secret: &str) -> bool {
    let given = blake3::hash(header.unwrap_or_default().as_bytes());
    given == blake3::hash(credential(secret).as_bytes())
}
