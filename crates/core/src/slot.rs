//! Slots on upstreams.

use serde::{Deserialize, Serialize};

use crate::{
    name,
    time::{Span, Time},
};

plain! {
    /// A request for a slot.
    #[derive(Eq)]
    pub struct Ask {
        /// The request that needs it.
        pub request: name::Request,
        /// The client account, for fair shares.
        pub account: name::Account,
        /// What the upstream must serve.
        pub target: Target,
        /// Upstreams that failed this request before.
        pub avoid: Vec<name::Upstream>,
        /// How long the requester waits.
        pub wait: Span,
        /// How long the slot is needed without renewal; only for calls that can't be cancelled.
        pub hold: Option<Span>,
    }

    /// What a request needs from an upstream.
    #[derive(Eq, PartialOrd, Ord)]
    pub enum Target {
        /// An engine that has the version loaded.
        Version(name::Version),
        /// An upstream of the plain service.
        Service(name::Service),
    }

    /// A slot that is lent.
    #[derive(Eq)]
    pub struct Lease {
        /// Id, unique at its owner.
        pub id: u64,
        /// The owner of the upstream.
        pub owner: name::Instance,
        /// The upstream.
        pub upstream: name::Upstream,
        /// Incarnation of the upstream that the slot is for.
        pub incarnation: u64,
        /// Base URL of the upstream.
        pub address: String,
        /// Whether the upstream is in another failure domain.
        pub far: bool,
    }

    /// The answer to an announcement.
    #[derive(Eq)]
    pub struct Answer {
        /// The token that the next announcement echoes.
        pub token: Token,
        /// Time until the next announcement.
        pub interval: Span,
    }

    /// What the answer to an announcement carries and the next one echoes.
    #[derive(Eq)]
    pub struct Token {
        /// The instance that issued it.
        pub owner: name::Instance,
        /// Number of the owner's process. An owner that restarts has a new one.
        pub boot: u64,
        /// When it was issued, on the owner's clock.
        pub issued: Time,
    }
}

/// What the holder of a slot saw of the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Report {
    /// The work completed; the first token came after that many milliseconds.
    Completed {
        /// Milliseconds to the first token.
        first_ms: u64,
    },
    /// The upstream refused the work as overloaded.
    Refused,
    /// No byte was sent.
    NotSent,
    /// The connection broke or went silent while the work ran.
    Failed,
    /// The work was cancelled by its caller.
    Cancelled,
}
