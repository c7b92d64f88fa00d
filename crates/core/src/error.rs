//! The fixed list of error kinds and the response to each.

use serde::{Deserialize, Serialize};

/// Whether an upstream began to work on the request before the error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// No byte of the request reached an upstream.
    NotRun,
    /// An upstream may have worked on the request.
    Unknown,
    /// An upstream worked on the request.
    Ran,
}

impl Execution {
    /// Returns whether it is certain that no upstream began to work on the request.
    #[must_use]
    pub const fn is_not_run(self) -> bool {
        matches!(self, Self::NotRun)
    }
}

/// The response to a caller about an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Stable, machine-readable code.
    pub code: &'static str,
    /// Whether an upstream began to work on the request.
    pub execution: Execution,
    /// Whether the caller may repeat the request without the risk that it runs twice.
    pub repeat_safe: bool,
}

macro_rules! kinds {
    ($($(#[$doc:meta])* $kind:ident => ($status:literal, $code:literal, $ran:ident, $safe:literal)),+ $(,)?) => {
        /// A kind of error that callers, upstreams or operators get.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum Kind {
            $($(#[$doc])* $kind),+
        }

        impl Kind {
            /// All kinds, in the order of the table.
            pub const ALL: &'static [Self] = &[$(Self::$kind),+];

            /// Returns the response for the kind.
            #[must_use]
            pub const fn response(self) -> Response {
                match self {
                    $(Self::$kind => Response {
                        status: $status,
                        code: $code,
                        execution: Execution::$ran,
                        repeat_safe: $safe,
                    }),+
                }
            }
        }
    };
}

kinds! {
    /// The request can't be parsed or contains an invalid value.
    BadRequest => (400, "bad_request", NotRun, true),
    /// The credential is missing or unknown.
    Unauthorized => (401, "unauthorized", NotRun, true),
    /// The client account is blocked.
    Blocked => (403, "account_blocked", NotRun, true),
    /// The client account may not use the model, version or service.
    Forbidden => (403, "forbidden", NotRun, true),
    /// The path, service or record does not exist.
    NotFound => (404, "not_found", NotRun, true),
    /// The caller took too long to send the request.
    SlowCaller => (408, "request_timeout", NotRun, true),
    /// The headers are larger than the limit.
    HeadersTooLarge => (431, "headers_too_large", NotRun, true),
    /// The body is larger than the limit.
    BodyTooLarge => (413, "body_too_large", NotRun, true),
    /// The session token was not issued by this system or belongs to another client account.
    SessionInvalid => (400, "session_invalid", NotRun, true),
    /// The idempotency key was used with a different body.
    KeyReused => (422, "idempotency_key_reused", NotRun, false),
    /// A call with this idempotency key is still running.
    InProgress => (409, "in_progress", Unknown, true),
    /// A non-repeatable call was sent and its outcome is not known. It is not sent again.
    OutcomeUnknown => (504, "outcome_unknown", Unknown, false),
    /// The call can't be claimed because a majority of the control replicas can't be reached.
    ClaimUnavailable => (503, "claim_unavailable", NotRun, true),
    /// The client account exceeds its rate or concurrency limit.
    RateLimited => (429, "rate_limited", NotRun, true),
    /// No slot can become free before the deadline.
    Overloaded => (503, "overloaded", NotRun, true),
    /// No upstream that may run the request is known.
    NoUpstream => (503, "no_upstream", NotRun, true),
    /// No allowed plan meets the quality target.
    QualityUnreachable => (422, "quality_unreachable", NotRun, true),
    /// The session's version can't be served by an instance that is cut off from the majority.
    CutOff => (503, "cut_off", NotRun, true),
    /// The request crashed upstreams and is not run again.
    Quarantined => (422, "quarantined", Ran, false),
    /// The deadline passed before the request was sent to an upstream.
    DeadlineBeforeRun => (504, "deadline_before_run", NotRun, true),
    /// The deadline passed while an upstream was working on idempotent work.
    Deadline => (504, "deadline", Ran, true),
    /// Idempotent work failed on upstreams and the retry budget or the deadline allows no more attempts.
    UpstreamFailed => (502, "upstream_failed", Ran, true),
    /// A stream was interrupted and can't be resumed.
    StreamBroken => (502, "stream_broken", Ran, true),
    /// The response of the upstream is malformed.
    BadUpstreamAnswer => (502, "bad_upstream_answer", Ran, true),
    /// The instance is shutting down and accepts no new work.
    Stopping => (503, "stopping", NotRun, true),
    /// An internal error. Whether an upstream began to work on the request is not known.
    Internal => (500, "internal", Unknown, false),
    /// The revision that an operator command expected is not the current one.
    Conflict => (409, "conflict", NotRun, true),
    /// A command id was used with different content.
    CommandReused => (422, "command_id_reused", NotRun, false),
    /// The replica is not the leader and knows no leader.
    NoLeader => (503, "no_leader", NotRun, true),
    /// The command was sent to the log and its outcome is not known. Resending the same id is safe.
    CommandUnknown => (504, "command_outcome_unknown", Unknown, true),
    /// The change is not valid for the current configuration.
    InvalidChange => (422, "invalid_change", NotRun, true),
    /// An order or announcement carries an old fencing number or incarnation.
    Fenced => (409, "fenced", NotRun, false),
    /// The replica's storage failed and it has stopped.
    StorageFailed => (503, "storage_failed", Unknown, true),
}

/// An error of a [`Kind`] with a human-readable message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{}: {message}", kind.response().code)]
pub struct Error {
    /// The kind, which determines the response.
    pub kind: Kind,
    /// Human-readable description of what happened.
    pub message: String,
    /// Time after which the caller should retry, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl Error {
    /// Returns an error of `kind` with `message`.
    pub fn new<M>(kind: Kind, message: M) -> Self
    where
        M: Into<String>,
    {
        Self {
            kind,
            message: message.into(),
            retry_after_ms: None,
        }
    }

    /// Sets the time in milliseconds after which the caller should retry.
    #[must_use]
    pub fn retry_after(mut self, millis: u64) -> Self {
        self.retry_after_ms = Some(millis);
        self
    }
}
