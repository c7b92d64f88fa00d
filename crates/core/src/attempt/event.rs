//! Input and output of the request steps.

use crate::{
    claim, error, evidence, ledger, name, slot,
    time::{Span, Time},
};

/// Whether a call may be sent more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Safety {
    /// The call may be sent more than once.
    Repeatable,
    /// The call runs at most once, under a claim on its idempotency key.
    Claimed,
    /// The call is sent once, without a claim.
    Once,
}

/// What a request asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Work {
    /// A model's answer, which may be computed more than once.
    Model {
        /// Whether the caller receives it as a stream.
        streamed: bool,
    },
    /// A call of a plain service.
    Call {
        /// The plain service.
        service: name::Service,
        /// Whether it may be sent more than once.
        safety: Safety,
        /// Whether a status lookup can resolve an unknown outcome.
        lookup: bool,
    },
}

/// A request that was admitted.
#[derive(Clone, Debug)]
pub struct Request {
    /// The client account.
    pub account: name::Account,
    /// The request's id.
    pub id: name::Request,
    /// What it asks for.
    pub work: Work,
    /// When the answer must be complete.
    pub deadline: Time,
    /// Whether the work goes on when its caller disconnects.
    pub outlives_caller: bool,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: u64,
    /// Seed of the retry jitter.
    pub seed: u64,
}

/// Time limits of the attempts of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Longest time from sending to the first byte.
    pub first_byte_timeout: Span,
    /// Longest time between two pieces of an answer.
    pub idle_timeout: Span,
    /// Time without a first byte after which a hedge is sent; `None` sends none.
    pub hedge_after: Option<Span>,
    /// Longest wait before a retry; the jitter is drawn below it.
    pub max_backoff: Span,
    /// Most attempts without progress, hedges and resumptions included.
    pub max_attempts: u32,
    /// Certainty from 0 to 1 below which a cascade escalates.
    pub min_certainty: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            first_byte_timeout: Span::from_secs(10),
            idle_timeout: Span::from_secs(5),
            hedge_after: None,
            max_backoff: Span::from_millis(50),
            max_attempts: 4,
            min_certainty: 0.5,
        }
    }
}

/// A step of a plan with the prices of its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// The version.
    pub version: name::Version,
    /// Cost of 1,000 prompt tokens, in millionths of the accounting unit.
    pub prompt_cost: u64,
    /// Cost of 1,000 answer tokens, in millionths of the accounting unit.
    pub answer_cost: u64,
}

impl Step {
    /// Returns the part of a bill for `usage` of the version, rounded up.
    #[must_use]
    pub fn bill_part(&self, usage: Usage) -> ledger::Part {
        let cost = |tokens: u64, price: u64| tokens.saturating_mul(price).div_ceil(1_000);
        ledger::Part {
            version: Some(self.version.clone()),
            prompt_tokens: usage.prompt_tokens,
            answer_tokens: usage.answer_tokens,
            cost: cost(usage.prompt_tokens, self.prompt_cost)
                .saturating_add(cost(usage.answer_tokens, self.answer_cost)),
        }
    }
}

/// Tokens that an answer used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Answer tokens.
    pub answer_tokens: u64,
}

/// How an attempt failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No byte was sent, such as after a failed connect.
    NotSent,
    /// The upstream refused the work before it began.
    Refused,
    /// The upstream found the request itself faulty.
    Rejected(String),
    /// The connection broke, or the answer is incomplete or can't be understood.
    Broken,
    /// The upstream is closed for new work by an operator; nothing was sent.
    Closed,
    /// The version was withdrawn before the request was sent.
    Withdrawn,
    /// The slot was lost, because its owner could not be reached.
    SlotLost,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The plan was chosen.
    Planned(Result<Vec<Step>, error::Error>),
    /// The wait for a slot ended.
    Slot {
        /// The attempt it was for.
        attempt: u32,
        /// The slot.
        result: Result<slot::Lease, error::Error>,
    },
    /// The wait for the claim ended.
    Claimed(Result<claim::Decision, error::Error>),
    /// The witness holds the open bill, or no witness could be reached.
    BillOpened,
    /// The head of an answer arrived.
    Head {
        /// The attempt.
        attempt: u32,
    },
    /// A part of a plain answer arrived.
    Progress {
        /// The attempt.
        attempt: u32,
    },
    /// A piece of a stream arrived.
    Chunk {
        /// The attempt.
        attempt: u32,
        /// The offset it carries; offsets count pieces from 0.
        offset: Option<u64>,
        /// Tokens used. The last piece of a stream has them.
        usage: Option<Usage>,
    },
    /// The answer of an attempt is complete.
    Answered {
        /// The attempt.
        attempt: u32,
        /// Tokens used, if the upstream told.
        usage: Option<Usage>,
        /// Certainty of the answer from 0 to 1, if the upstream told.
        certainty: Option<f64>,
    },
    /// An attempt failed.
    Failed {
        /// The attempt.
        attempt: u32,
        /// How.
        fault: Fault,
    },
    /// The status lookup of a call ended; `true` if it returned the call's answer.
    LookedUp(bool),
    /// The caller's connection broke.
    CallerDisconnected,
    /// The time that [`Machine::next_tick`](super::Machine::next_tick) returned has come.
    Tick,
    /// The instance must stop now.
    Stop,
}

/// What the shell does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Chooses a plan and reports [`Event::Planned`].
    Plan,
    /// Waits for a slot and reports [`Event::Slot`].
    Acquire {
        /// The attempt it is for.
        attempt: u32,
        /// What the upstream must serve.
        target: slot::Target,
        /// Upstreams that failed before.
        avoid: Vec<name::Upstream>,
        /// Longest wait.
        wait: Span,
        /// How long the slot is needed without renewal.
        hold: Option<Span>,
    },
    /// Returns a slot.
    Release {
        /// The slot.
        lease: slot::Lease,
        /// What the attempt saw.
        report: slot::Report,
    },
    /// Claims the call and reports [`Event::Claimed`].
    Claim,
    /// Sends the request and reports its progress.
    Send {
        /// The attempt.
        attempt: u32,
        /// Its slot.
        lease: slot::Lease,
        /// The version; `None` for a plain service.
        version: Option<name::Version>,
        /// The last offset that was received.
        after: Option<u64>,
        /// Whether the upstream still has the stream.
        resume: bool,
    },
    /// Closes the attempt's connection and drops what still arrives from it.
    Cancel {
        /// The attempt.
        attempt: u32,
        /// Whether to cancel the work at the upstream as well.
        upstream: bool,
        /// Whether to discard the upstream's connection pool.
        discard: bool,
    },
    /// Keeps the piece or answer that the event brought.
    Buffer,
    /// Drops everything that was kept.
    DiscardBuffer,
    /// Passes everything that was kept on to the caller.
    Flush,
    /// Opens the bill at a witness and reports [`Event::BillOpened`].
    OpenBill(ledger::Bill),
    /// Ends the caller's answer as complete.
    Complete {
        /// The version that answered; `None` for a plain service.
        version: Option<name::Version>,
        /// Cost of the request in millionths of the accounting unit.
        cost: u64,
    },
    /// Answers with the stored answer of the claim.
    Replay(claim::Response),
    /// Ends the caller's answer with an error.
    Fail(error::Error),
    /// Looks the status of the call up and reports [`Event::LookedUp`].
    Lookup,
    /// Records that the claimed call ended with the kept answer.
    FinishClaimAnswered,
    /// Records how the claimed call ended without an answer.
    FinishClaim(claim::Outcome),
    /// Counts what happened to a version's work.
    Observe {
        /// Index of the step of the plan.
        step: usize,
        /// What happened.
        event: evidence::Event,
    },
    /// Delivers the final bill.
    SettleBill(ledger::Bill),
}
