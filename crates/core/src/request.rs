//! A caller's request as the input of routing decisions.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{name, session, time::Time};

/// BLAKE3 digest of a client account and a request body.
///
/// Requests with the same fingerprint are duplicates of each other.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint([u8; 16]);

impl Fingerprint {
    /// Returns the fingerprint of bytes that belong to no client account.
    #[must_use]
    pub fn of_bytes(bytes: &[u8]) -> Self {
        Self::finish(blake3::Hasher::new().update(bytes))
    }

    /// Returns the fingerprint that stands for a digest of a request.
    #[must_use]
    pub fn of_digest(digest: u64) -> Self {
        Self::of_bytes(&digest.to_be_bytes())
    }

    fn finish(hasher: &blake3::Hasher) -> Self {
        let mut bytes = [0; 16];
        hasher.finalize_xof().fill(&mut bytes);
        Self(bytes)
    }

    /// Returns the fingerprint of a body sent by a client account.
    #[must_use]
    pub fn of(account: &name::Account, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(account.as_str().as_bytes());
        // A name contains no NUL byte, so the separator makes the encoding unambiguous.
        hasher.update(&[0]);
        hasher.update(body);
        Self::finish(&hasher)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// Size class of a request by its prompt tokens. Quality and latency are estimated per class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Size {
    /// Up to [`Size::SMALL_TOKENS`] prompt tokens.
    Small,
    /// Up to [`Size::MEDIUM_TOKENS`] prompt tokens.
    Medium,
    /// More than [`Size::MEDIUM_TOKENS`] prompt tokens.
    Large,
}

impl Size {
    /// Maximum prompt tokens of a small request.
    pub const SMALL_TOKENS: u32 = 256;
    /// Maximum prompt tokens of a medium request.
    pub const MEDIUM_TOKENS: u32 = 2_048;

    /// Returns the size class for a number of prompt tokens.
    #[must_use]
    pub const fn of(prompt_tokens: u32) -> Self {
        match prompt_tokens {
            0..=Self::SMALL_TOKENS => Self::Small,
            257..=Self::MEDIUM_TOKENS => Self::Medium,
            _ => Self::Large,
        }
    }
}

/// A request for a model.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelRequest {
    /// The client account.
    pub account: name::Account,
    /// The request's ID.
    pub id: name::Request,
    /// The kind of request.
    pub task: name::Task,
    /// The model that the caller requests; `None` for `auto`.
    pub model: Option<name::Model>,
    /// Quality target from 0 to 1.
    pub quality: f64,
    /// When the answer must be complete.
    pub deadline: Time,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: u32,
    /// Maximum tokens of the answer.
    pub answer_tokens: u32,
    /// The session it belongs to.
    pub session: Option<session::Session>,
    /// Fingerprint of account and body.
    pub fingerprint: Fingerprint,
}

impl ModelRequest {
    /// Returns the size class.
    #[must_use]
    pub const fn size(&self) -> Size {
        Size::of(self.prompt_tokens)
    }
}
