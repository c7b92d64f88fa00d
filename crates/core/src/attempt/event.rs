//! Events, actions and data types of the request state machine.

use crate::{
    claim, error, evidence, ledger, name, slot,
    time::{Span, Time},
};

/// Whether and how a call may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Safety {
    /// The call may be sent more than once.
    Repeatable,
    /// The call runs at most once, under a claim on its idempotency key.
    Claimed,
    /// The call is sent at most once, without a claim.
    Once,
}

/// The work that a request asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Work {
    /// An answer of a model, which may be computed more than once.
    Model {
        /// Whether the caller receives the answer as a stream.
        streamed: bool,
    },
    /// A call of a plain service.
    Call {
        /// The plain service.
        service: name::Service,
        /// Whether and how the call may be repeated.
        safety: Safety,
        /// Whether a status lookup can resolve an unknown outcome.
        lookup: bool,
    },
}

/// An admitted request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The client account.
    pub account: name::Account,
    /// The request's ID.
    pub id: name::Request,
    /// The work to do.
    pub work: Work,
    /// Time by which the answer must be complete.
    pub deadline: Time,
    /// Whether a model's answer is completed although its caller has disconnected.
    pub outlives_caller: bool,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: u64,
    /// Seed of the retry jitter.
    pub seed: u64,
}

/// Limits of the attempts of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Longest time from sending the request to the first byte of the answer.
    pub first_byte_timeout: Span,
    /// Longest time between two chunks of an answer.
    pub idle_timeout: Span,
    /// Time without a first byte after which a hedge is sent; `None` disables hedging.
    pub hedge_after: Option<Span>,
    /// Longest wait before a retry; the wait is drawn uniformly from zero to it.
    pub max_backoff: Span,
    /// Most attempts without progress, including hedges and resumptions.
    pub max_attempts: u32,
    /// Certainty from 0 to 1 below which a cascade escalates to its next step.
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

/// A step of a plan: a version and its prices.
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
    /// Returns the bill part for `usage` of the version; each cost is rounded up.
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

/// Token counts of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Answer tokens.
    pub answer_tokens: u64,
}

/// The cause of a failed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No byte was sent, such as after a failed connect.
    NotSent,
    /// The upstream refused the work before it started.
    Refused,
    /// The upstream rejected the request as invalid.
    Rejected(String),
    /// The connection broke, or the answer is incomplete or malformed.
    Broken,
    /// An operator closed the upstream to new work; nothing was sent.
    Closed,
    /// The version was withdrawn before the request was sent.
    Withdrawn,
    /// The slot was lost because its owner could not be reached.
    SlotLost,
}

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// A plan was chosen, or none is possible.
    Planned(Result<Vec<Step>, error::Error>),
    /// The wait for a slot ended.
    Slot {
        /// The attempt that waited.
        attempt: u32,
        /// The slot, or why there is none.
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
    /// A part of an answer that is not streamed arrived.
    Progress {
        /// The attempt.
        attempt: u32,
    },
    /// A chunk of a stream arrived.
    Chunk {
        /// The attempt.
        attempt: u32,
        /// The chunk's offset, if it carries one; offsets count chunks from 0.
        offset: Option<u64>,
        /// Token counts, which the last chunk of a stream carries.
        usage: Option<Usage>,
    },
    /// The answer of an attempt is complete.
    Answered {
        /// The attempt.
        attempt: u32,
        /// Token counts, if the upstream reported them.
        usage: Option<Usage>,
        /// Certainty of the answer from 0 to 1, if the upstream reported it.
        certainty: Option<f64>,
    },
    /// An attempt failed.
    Failed {
        /// The attempt.
        attempt: u32,
        /// The cause.
        fault: Fault,
    },
    /// The status lookup of a call ended; `true` if it returned the call's answer.
    LookedUp(bool),
    /// The caller's connection closed.
    CallerDisconnected,
    /// The time returned by [`Machine::next_tick`](super::Machine::next_tick) is reached.
    Tick,
    /// The instance is being forced to stop.
    Stop,
}

/// An output of the state machine, carried out by its driver.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Chooses a plan and reports [`Event::Planned`].
    Plan,
    /// Waits for a slot and reports [`Event::Slot`].
    Acquire {
        /// The attempt that needs the slot.
        attempt: u32,
        /// What the upstream must serve.
        target: slot::Target,
        /// Upstreams not to use if another one is available.
        avoid: Vec<name::Upstream>,
        /// Longest wait.
        wait: Span,
        /// How long the slot must last without renewal; `None` if it is renewed.
        hold: Option<Span>,
    },
    /// Returns a slot.
    Release {
        /// The slot.
        lease: slot::Lease,
        /// Outcome of the attempt.
        report: slot::Report,
    },
    /// Claims the call and reports [`Event::Claimed`].
    Claim,
    /// Sends the request and reports its progress.
    Send {
        /// The attempt.
        attempt: u32,
        /// The attempt's slot.
        lease: slot::Lease,
        /// The version; `None` for a plain service.
        version: Option<name::Version>,
        /// Offset of the last accepted chunk, after which the stream continues.
        after: Option<u64>,
        /// Whether to reconnect to the stream that the upstream already runs.
        resume: bool,
    },
    /// Closes the attempt's connection and ignores further data from it.
    Cancel {
        /// The attempt.
        attempt: u32,
        /// Whether to cancel the work at the upstream as well.
        upstream: bool,
        /// Whether to discard the upstream's connection pool.
        discard: bool,
    },
    /// Appends the event's chunk or answer to the buffer.
    Buffer,
    /// Discards the buffer.
    DiscardBuffer,
    /// Sends the buffer to the caller.
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
    /// Returns the claim's stored answer to the caller.
    Replay(claim::Response),
    /// Ends the caller's answer with an error.
    Fail(error::Error),
    /// Looks up the status of the call and reports [`Event::LookedUp`].
    Lookup,
    /// Records that the claimed call ended with the buffered answer.
    FinishClaimAnswered,
    /// Records how the claimed call ended without an answer.
    FinishClaim(claim::Outcome),
    /// Adds an event to the evidence about a version.
    Observe {
        /// Index of the step of the plan.
        step: usize,
        /// The event.
        event: evidence::Event,
    },
    /// Delivers the final bill.
    SettleBill(ledger::Bill),
}
