//! The lease by which an instance owns an upstream.

use crate::{
    name,
    slot::OWNER_LEASE,
    time::{Span, Time},
};

plain! {
    /// A token that the response to an announcement carries and the next announcement echoes.
    #[derive(Eq)]
    pub struct Token {
        /// The instance that issued the token.
        pub owner: name::Instance,
        /// Id of the owner's process. It changes when the owner restarts.
        pub boot: u64,
        /// When the token was issued, on the owner's clock.
        pub issued: Time,
    }
}

/// Whether an instance may grant slots on one upstream.
///
/// An upstream echoes only the last token that it accepted, so at most one
/// instance sees its own token. The lease counts from when the token was
/// issued, because an announcement can arrive late.
#[derive(Clone, Debug)]
pub struct Ownership {
    incarnation: u64,
    /// When the last echoed token of this instance was issued.
    echoed: Option<Time>,
    /// Whether the upstream may have accepted a token in this incarnation.
    accepted: bool,
    grants_from: Time,
    /// The process whose token started the wait until `grants_from`.
    previous_owner: Option<Process>,
    /// Tokens issued up to this time no longer count.
    relinquished: Option<Time>,
    /// The process that handed over its slots to this instance.
    predecessor: Option<Process>,
}

/// Name and process id of an instance.
type Process = (name::Instance, u64);

impl Ownership {
    /// Returns the state before the first announcement of an upstream.
    /// `known` says whether another instance may have owned it before.
    #[must_use]
    pub const fn new(incarnation: u64, known: bool) -> Self {
        Self {
            incarnation,
            echoed: None,
            accepted: known,
            grants_from: Time::ZERO,
            previous_owner: None,
            relinquished: None,
            predecessor: None,
        }
    }

    /// Records an announcement whose response carries the token `own`.
    /// `wait` is the time to wait for the slots of another owner to expire.
    /// Returns whether signs of a cold start may have been missed since the
    /// last announcement, because another owner may have granted slots or the
    /// lease has expired.
    pub fn announced(&mut self, own: &Token, echo: Option<&Token>, wait: Span) -> bool {
        let now = own.issued;
        let expired = self
            .echoed
            .is_some_and(|issued| now >= issued + OWNER_LEASE);
        match echo {
            Some(token) if token.owner == own.owner && token.boot == own.boot => {
                self.accepted = true;
                if token.issued <= now && Some(token.issued) > self.relinquished {
                    self.echoed = self.echoed.max(Some(token.issued));
                }
                expired
            }
            Some(token) => {
                self.accepted = true;
                self.echoed = None;
                let other = (token.owner.clone(), token.boot);
                let handed_over = self.predecessor.as_ref() == Some(&other);
                if !handed_over {
                    self.grants_from = now + wait;
                    self.previous_owner = Some(other);
                }
                !handed_over
            }
            // An upstream that never accepted a token never had an owner.
            None if self.accepted => {
                self.echoed = None;
                self.grants_from = now + wait;
                self.previous_owner = None;
                true
            }
            None => expired,
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
            // No other instance could grant slots on the former process, and
            // this one still counts the slots that it granted.
            self.accepted = false;
            self.echoed = None;
        }
        true
    }

    /// Returns whether this instance may grant and renew slots.
    #[must_use]
    pub fn may_grant(&self, now: Time) -> bool {
        self.grants_from <= now && self.echoed.is_some_and(|issued| now < issued + OWNER_LEASE)
    }

    /// Returns the earliest time at which slots may be granted.
    #[must_use]
    pub const fn grants_from(&self) -> Time {
        self.grants_from
    }

    /// Ends the lease. Tokens issued up to now no longer count.
    pub fn relinquish(&mut self, now: Time) {
        self.echoed = None;
        self.relinquished = Some(now);
    }

    /// Records that another process handed over its slots and stopped granting.
    /// Returns `false` and keeps the wait if the token of a different process
    /// started it.
    #[must_use]
    pub fn accept_handover(&mut self, owner: name::Instance, boot: u64) -> bool {
        let process = (owner, boot);
        let is_successor = match &self.previous_owner {
            Some(other) => *other == process,
            None => self.grants_from == Time::ZERO,
        };
        if is_successor {
            self.grants_from = Time::ZERO;
            self.previous_owner = None;
            self.predecessor = Some(process);
        }
        is_successor
    }
}
