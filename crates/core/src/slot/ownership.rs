//! The owner's lease on an upstream.

use crate::{
    name,
    slot::OWNER_LEASE,
    time::{Span, Time},
};

plain! {
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

/// Whether an instance may grant slots on one upstream.
///
/// Only the latest token that the upstream has adopted can be echoed, so at
/// most one instance sees its own token. The lease counts from the issue of
/// the token, because an announcement can arrive late.
#[derive(Clone, Debug)]
pub struct Ownership {
    incarnation: u64,
    echoed: Option<Time>,
    /// Whether the upstream may have adopted a token in this incarnation.
    adopted: bool,
    grants_from: Time,
    /// Whose token the wait counts from.
    waits_for: Option<Process>,
    surrendered: Option<Time>,
    predecessor: Option<Process>,
}

type Process = (name::Instance, u64);

impl Ownership {
    /// Returns the state before the first announcement of an upstream.
    /// `known` says whether another instance may have owned it.
    #[must_use]
    pub const fn new(incarnation: u64, known: bool) -> Self {
        Self {
            incarnation,
            echoed: None,
            adopted: known,
            grants_from: Time::ZERO,
            waits_for: None,
            surrendered: None,
            predecessor: None,
        }
    }

    /// Records an announcement that is answered with the token `mine`.
    /// `wait` is the time to wait after another owner. Returns whether the
    /// upstream may have become cold unnoticed since the last one: another
    /// owner may have lent it, or the lease has ended.
    pub fn announced(&mut self, mine: &Token, echo: Option<&Token>, wait: Span) -> bool {
        let now = mine.issued;
        let lapsed = self
            .echoed
            .is_some_and(|issued| now >= issued + OWNER_LEASE);
        match echo {
            Some(token) if token.owner == mine.owner && token.boot == mine.boot => {
                self.adopted = true;
                if token.issued <= now && Some(token.issued) > self.surrendered {
                    self.echoed = self.echoed.max(Some(token.issued));
                }
                lapsed
            }
            Some(token) => {
                self.adopted = true;
                self.echoed = None;
                let other = (token.owner.clone(), token.boot);
                let handed = self.predecessor.as_ref() == Some(&other);
                if !handed {
                    self.grants_from = now + wait;
                    self.waits_for = Some(other);
                }
                !handed
            }
            // An upstream that never adopted a token never had an owner.
            None if self.adopted => {
                self.echoed = None;
                self.grants_from = now + wait;
                self.waits_for = None;
                true
            }
            None => lapsed,
        }
    }

    /// Records that the upstream restarted. Returns whether it is a new
    /// incarnation.
    pub fn restarted(&mut self, incarnation: u64, now: Time) -> bool {
        if incarnation <= self.incarnation {
            return false;
        }
        self.incarnation = incarnation;
        if self.may_grant(now) {
            // Nobody else could grant on the former process, and this instance
            // keeps counting the slots that it granted.
            self.adopted = false;
            self.echoed = None;
        }
        true
    }

    /// Returns whether slots may be granted and renewed.
    #[must_use]
    pub fn may_grant(&self, now: Time) -> bool {
        self.grants_from <= now && self.echoed.is_some_and(|issued| now < issued + OWNER_LEASE)
    }

    /// Returns when slots may be granted at the earliest.
    #[must_use]
    pub const fn grants_from(&self) -> Time {
        self.grants_from
    }

    /// Ends the lease. Tokens issued up to now don't count any more.
    pub fn relinquish(&mut self, now: Time) {
        self.echoed = None;
        self.surrendered = Some(now);
    }

    /// Records that another process handed over its slots and stopped granting.
    /// Returns `false` and keeps the wait if it counts from another owner's
    /// token.
    #[must_use]
    pub fn accept_handover(&mut self, owner: name::Instance, boot: u64) -> bool {
        let process = (owner, boot);
        let follows = match &self.waits_for {
            Some(other) => *other == process,
            None => self.grants_from == Time::ZERO,
        };
        if follows {
            self.grants_from = Time::ZERO;
            self.waits_for = None;
            self.predecessor = Some(process);
        }
        follows
    }
}
