//! Messages between the parts.

use masticlock_core::{
    attempt::Usage,
    claim, command, consensus, directory, feed, gossip, ledger, machine, name, request, slot,
    time::{Span, Time},
};

use super::Id;

/// Address of the leader, if the refusing replica knows it.
pub type Redirect = Option<String>;

/// What a message says.
#[derive(Clone, Debug)]
pub enum Body {
    /// Replicated log.
    Log(consensus::Message),
    /// `feed.poll`.
    Poll { call: u64, poll: Box<feed::Poll> },
    /// Its answer.
    Polled {
        call: u64,
        reply: Result<Box<feed::Reply>, Redirect>,
    },
    /// `operator.submit`.
    Submit(Box<command::Command>),
    /// Its answer.
    Submitted {
        id: name::Command,
        reply: Result<command::Outcome, Redirect>,
    },
    /// `claim.begin`.
    Begin(claim::Begin),
    /// Its answer.
    Begun {
        request: name::Request,
        reply: Result<claim::Decision, Redirect>,
    },
    /// `claim.finish`.
    Finish(claim::Finish),
    /// Its answer.
    Finished {
        request: name::Request,
        reply: Result<(), Redirect>,
    },
    /// Asks for the exclusive right to run a suspect request.
    Permit(machine::PermitRequest),
    /// Its answer.
    Permitted {
        request: name::Request,
        reply: Result<bool, Redirect>,
    },
    /// Returns that right.
    PermitEnd {
        fingerprint: request::Fingerprint,
        request: name::Request,
        instance: name::Instance,
    },
    /// `bill.put`.
    Put(Vec<ledger::Bill>),
    /// Its answer: the bills are on the replica's disk.
    Stored(Vec<ledger::Bill>),
    /// `peer.gossip`.
    Gossip { call: u64, message: gossip::Message },
    /// Its answer.
    Gossiped { call: u64, message: gossip::Message },
    /// An announcement on its way to the owner.
    Announce {
        announcement: Box<directory::Announcement>,
        forwarded: bool,
    },
    /// Its answer.
    Announced {
        incarnation: u64,
        answer: slot::AnnouncementResponse,
    },
    /// `slot.acquire` and `slot.place`.
    Acquire {
        asker: Id,
        attempt: u32,
        ask: slot::Acquire,
        sent: Time,
        placed: bool,
    },
    /// Its answer.
    Acquired {
        request: name::Request,
        attempt: u32,
        result: Result<slot::Lease, slot::Refusal>,
        hold: Option<Span>,
        sent: Time,
    },
    /// `slot.renew`.
    Renew { lease: slot::Lease, sent: Time },
    /// Its answer.
    Renewed {
        lease: slot::Lease,
        renewal: slot::Renewal,
        sent: Time,
    },
    /// `slot.release`.
    Release {
        lease: slot::Lease,
        report: slot::Report,
    },
    /// `slot.handover`.
    HandOver(Box<slot::Handover>),
    /// `witness.open`.
    Open(Vec<ledger::Bill>),
    /// Its answer.
    Opened(Vec<ledger::Bill>),
    /// `witness.close`.
    Close(Vec<ledger::Key>),
    /// Its answer.
    Closed(Vec<ledger::Key>),
    /// A request to an upstream.
    Work(Box<Work>),
    /// What the upstream answers.
    Signal {
        request: name::Request,
        attempt: u32,
        signal: Signal,
    },
    /// Cancels a request at an upstream.
    Cancel { request: name::Request },
}

/// A request as an upstream gets it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Work {
    /// The request.
    pub request: name::Request,
    /// The attempt that its answers name.
    pub attempt: u32,
    /// What the caller calls the request.
    pub label: String,
    /// The client account.
    pub account: name::Account,
    /// The caller's idempotency key.
    pub key: Option<String>,
    /// The version; `None` for a plain service.
    pub version: Option<name::Version>,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// The last offset that was received.
    pub after: Option<u64>,
    /// Whether running it crashes the upstream.
    pub crashes: bool,
    /// The request's deadline.
    pub deadline: Time,
    /// How long the upstream works on it; `None` is a short time.
    pub takes: Option<Span>,
    /// Since when the sender had contact with a leader.
    pub reachable: Option<Time>,
}

/// A part of an upstream's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Signal {
    /// The first byte.
    Head,
    /// A piece of a stream.
    Piece {
        offset: u64,
        text: String,
        /// Tokens used; only the last piece has them.
        usage: Option<Usage>,
    },
    /// The end, with the answer of a plain service.
    End { text: Option<String> },
    /// The connection was reset; an upstream that crashed while the work ran.
    Reset { incarnation: u64 },
    /// The connection was refused.
    NotSent,
}

/// What a message belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flow {
    /// A call on behalf of a request.
    Request,
    /// The connection to an upstream that carries work and its answer in order.
    Stream,
    /// A configuration change.
    Change,
    /// Membership and ownership.
    Members,
}

impl Body {
    /// Returns what the message belongs to.
    #[must_use]
    pub const fn flow(&self) -> Flow {
        match self {
            Self::Log(_)
            | Self::Poll { .. }
            | Self::Polled { .. }
            | Self::Submit(_)
            | Self::Submitted { .. } => Flow::Change,
            Self::Gossip { .. }
            | Self::Gossiped { .. }
            | Self::Announce { .. }
            | Self::Announced { .. }
            | Self::HandOver(_) => Flow::Members,
            Self::Work(_) | Self::Signal { .. } | Self::Cancel { .. } => Flow::Stream,
            _ => Flow::Request,
        }
    }
}

/// A message on its way.
#[derive(Clone, Debug)]
pub struct Envelope {
    /// The sender.
    pub from: Id,
    /// The sender's process, which an answer goes back to.
    pub from_boot: u64,
    /// The receiver.
    pub to: Id,
    /// The receiver's process; only answers name it.
    pub to_boot: Option<u64>,
    /// What it says.
    pub body: Body,
}
