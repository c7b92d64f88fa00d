//! What a run left behind, for the invariant checks.

use masticlock_core::{config, config::Config, error, ledger, name, time::Time};

/// Work that an upstream began.
#[derive(Clone, Debug)]
pub struct Run {
    /// When.
    pub at: Time,
    /// The upstream.
    pub upstream: name::Upstream,
    /// Its failure domain.
    pub domain: name::Domain,
    /// The version; `None` for a plain service.
    pub version: Option<name::Version>,
    /// The request.
    pub request: name::Request,
    /// The client account.
    pub account: name::Account,
    /// The caller's idempotency key.
    pub key: Option<String>,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Whether it continues a stream that broke off.
    pub resumed: bool,
    /// Requests that run on the upstream with this one.
    pub load: u32,
    /// Requests that the upstream can handle.
    pub bears: u32,
    /// Since when the sending instance had contact with a leader; `None` without contact.
    pub reachable: Option<Time>,
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// Not yet.
    Open,
    /// With a complete answer.
    Complete,
    /// With the stored answer of an earlier request.
    Replayed,
    /// With an error.
    Failed(error::Error),
    /// Its instance crashed.
    Broken,
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Asked {
    /// What the caller calls it. A resend has the same label.
    pub label: String,
    /// Its id.
    pub request: name::Request,
    /// The client account.
    pub account: name::Account,
    /// The instance.
    pub instance: String,
    /// When it arrived.
    pub at: Time,
    /// When it ended.
    pub ended: Time,
    /// What the caller received.
    pub got: Vec<String>,
    /// What a complete answer consists of.
    pub whole: Vec<String>,
    /// How it ended.
    pub end: End,
    /// Cost that the caller was told.
    pub cost: u64,
    /// The session's id and the version that it had before, if any.
    pub session: Option<(String, Option<name::Version>)>,
    /// The version that answered.
    pub version: Option<name::Version>,
    /// Whether the answer says that the session moved.
    pub moved: bool,
}

/// A command's acceptance as the log has it.
#[derive(Clone, Debug)]
pub struct Accepted {
    /// The command.
    pub id: String,
    /// When the leader applied it.
    pub at: Time,
    /// The revision that the operator expected.
    pub expects: Option<u64>,
    /// The revision that it made.
    pub revision: u64,
}

/// A configuration that an instance applied.
#[derive(Clone, Debug)]
pub struct Applied {
    /// When.
    pub at: Time,
    /// The instance.
    pub instance: String,
    /// Number of its process.
    pub boot: u64,
    /// Revision.
    pub revision: u64,
    /// Digest.
    pub digest: String,
}

/// Something that must receive no new work.
#[derive(Clone, Debug)]
pub struct Closure {
    /// When it was accepted.
    pub at: Time,
    /// When it was lifted.
    pub until: Option<Time>,
    /// What is closed.
    pub limit: config::Restriction,
}

/// An upstream that announced that it leaves.
#[derive(Clone, Debug)]
pub struct Leaving {
    /// When.
    pub at: Time,
    /// The upstream.
    pub upstream: name::Upstream,
}

/// A planned stop of an instance that has ended.
#[derive(Clone, Debug)]
pub struct Stop {
    /// The instance.
    pub instance: String,
    /// Requests that it interrupted.
    pub interrupted: Vec<name::Request>,
}

/// A live instance at the end of a reachable time.
#[derive(Clone, Debug)]
pub struct Instance {
    /// The instance.
    pub instance: String,
    /// Number of its process.
    pub boot: u64,
    /// Since when it was up and had contact with a leader.
    pub since: Time,
    /// Until when.
    pub until: Time,
}

/// The record of a run.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Work that upstreams began.
    pub runs: Vec<Run>,
    /// Requests of callers.
    pub asked: Vec<Asked>,
    /// Bills on the disks of control replicas, with the replica's name.
    pub bills: Vec<(String, ledger::Bill)>,
    /// Accepted commands.
    pub accepted: Vec<Accepted>,
    /// Configurations that instances applied.
    pub applied: Vec<Applied>,
    /// What operators closed.
    pub closures: Vec<Closure>,
    /// Upstreams that left.
    pub leaving: Vec<Leaving>,
    /// Planned stops.
    pub stops: Vec<Stop>,
    /// Times in which instances were up and had contact with a leader.
    pub instances: Vec<Instance>,
    /// The last configuration.
    pub config: Config,
    /// The end of the run.
    pub end: Time,
}

impl Record {
    /// Returns the request with that id.
    pub fn asked_mut(&mut self, request: &name::Request) -> Option<&mut Asked> {
        self.asked.iter_mut().rev().find(|a| a.request == *request)
    }
}
