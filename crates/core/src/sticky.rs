//! Versions that sessions have used of late.
//!
//! An instance remembers what it has sent itself. A caller's connection stays with its instance, so
//! that is nearly all of a session.

use std::sync::Arc;

use crate::time::{Span, Time};

/// Most sessions that are remembered; the oldest are forgotten first.
const MAX_SESSIONS: usize = 2_048;

/// A session.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Session {
    digest: u64,
    version: Arc<str>,
    used: Time,
}

/// Recent sessions, sorted by digest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sessions {
    kept: Span,
    sessions: Vec<Session>,
}

impl Sessions {
    /// Returns an empty memory of sessions whose requests follow each other within `kept`.
    #[must_use]
    pub const fn new(kept: Span) -> Self {
        Self {
            kept,
            sessions: Vec::new(),
        }
    }

    /// Returns the version that the session has used.
    #[must_use]
    pub fn version(&self, digest: u64, now: Time) -> Option<&Arc<str>> {
        let at = self
            .sessions
            .binary_search_by_key(&digest, |s| s.digest)
            .ok()?;
        let session = &self.sessions[at];
        (now.since(session.used) < self.kept).then_some(&session.version)
    }

    /// Remembers that the session uses the version.
    pub fn use_version(&mut self, digest: u64, version: &Arc<str>, now: Time) {
        match self.sessions.binary_search_by_key(&digest, |s| s.digest) {
            Ok(at) => {
                let session = &mut self.sessions[at];
                session.used = now;
                if session.version != *version {
                    session.version = version.clone();
                }
            }
            Err(at) => {
                let session = Session {
                    digest,
                    version: version.clone(),
                    used: now,
                };
                self.sessions.insert(at, session);
                self.shrink(now);
            }
        }
    }

    fn shrink(&mut self, now: Time) {
        if self.sessions.len() <= MAX_SESSIONS {
            return;
        }
        let kept = self.kept;
        self.sessions.retain(|s| now.since(s.used) < kept);
        let oldest = self.sessions.iter().map(|s| s.used).min();
        if self.sessions.len() > MAX_SESSIONS {
            self.sessions.retain(|s| Some(s.used) != oldest);
        }
    }
}
