//! Claims on calls that must not be repeated.

use serde::{Deserialize, Serialize};

use crate::{name, request};

plain! {
    /// What a claim is keyed by.
    #[derive(Eq, PartialOrd, Ord, Hash)]
    pub struct Key {
        /// The client account.
        pub account: name::Account,
        /// The caller's idempotency key.
        pub key: String,
    }

    /// A request to claim a call.
    #[derive(Eq)]
    pub struct Ask {
        /// What the claim is keyed by.
        pub key: Key,
        /// Digest of account, method, path and body.
        pub fingerprint: request::Fingerprint,
        /// The request that will run it.
        pub request: name::Request,
        /// The instance that will run it.
        pub instance: name::Instance,
    }

    /// The stored answer of a call.
    #[derive(Eq)]
    pub struct Answer {
        /// HTTP status.
        pub status: u16,
        /// Content type.
        pub content_type: String,
        /// Body.
        pub body: Vec<u8>,
    }

    /// What a claimant is told.
    #[derive(Eq)]
    pub enum Verdict {
        /// The call is yours to send, once.
        Granted,
        /// Another request with the same key is running it.
        InProgress,
        /// It ran; this is its answer.
        Done(Answer),
        /// It was sent and its outcome is not known. It is not sent again.
        Unknown,
        /// The key was used with another content.
        Reused,
    }
}

/// How a claimed call ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// The service answered.
    Answered(Answer),
    /// It is certain that no byte was sent. The claim is freed.
    NotSent,
    /// Bytes were sent and no whole answer came.
    Unknown,
}
