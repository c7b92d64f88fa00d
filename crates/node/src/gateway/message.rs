//! Messages between entry and control processes.

use std::sync::Arc;

use masticlock_core::{
    consensus::{Identity, Member, Message, Payload},
    fleet,
    limit::{Permit, Return, Want},
    pace, plain,
    replicated::{Command, Rollout},
    report, suspect,
    time::Span,
    transfer::{Fetch, Part},
};

plain! {
    /// Position up to which an instance has received the state of a control instance.
    #[derive(Copy, Eq, Default)]
    pub struct Cursor {
        /// Random number of the control process that the cursor belongs to.
        pub process_id: u64,
        /// Revision of the control instance's directory.
        pub directory_revision: u64,
        /// Revision of the control instance's crash evidence.
        pub evidence_revision: u64,
        /// Whether the full directory was sent after the process had time to hear all upstreams.
        pub complete: bool,
    }

    /// Asks a control instance for changes since the cursor.
    #[derive(Eq)]
    pub struct Poll {
        /// Position up to which the sender has received the state; from the previous update.
        pub cursor: Cursor,
        /// Revision of the configuration that the sender holds; `None` from a control instance,
        /// which has the agreed state from the log.
        pub config_revision: Option<u64>,
        /// Report of the sender, if it is an entry instance.
        pub report: Option<report::Report>,
        /// Services whose loads are needed in all failure domains. Those of other services are
        /// needed in the failure domain of the sender only.
        pub spillover_services: Vec<Arc<str>>,
        /// Internal address of the sender, if it is a control instance.
        pub control_address: Option<String>,
        /// Permits that the sender wants for upstreams with limits.
        pub wants: Vec<Want>,
        /// Permits that the sender, if it is an entry instance, gives back to the receiver.
        pub returns: Vec<Return>,
        /// Crash evidence of the sender, if it is an entry instance, that the receiver may not have.
        pub evidence: suspect::Message,
        /// The sender as a peer of other entry instances, if it is an entry instance.
        pub peer: Option<report::Peer>,
        /// Whether the sender needs peers, for itself or for entry instances that poll it.
        pub needs_peers: bool,
    }

    /// Agreed state as sent to entry instances.
    #[derive(Eq)]
    pub struct AgreedState {
        /// Revision of the configuration.
        pub revision: u64,
        /// Configuration, unless the sender of the poll holds it already.
        pub content: Option<Payload>,
        /// Failure domains taken out of service.
        pub taken_out: Vec<Arc<str>>,
        /// Rollouts.
        pub rollouts: Vec<Rollout>,
    }

    /// Address of a control instance and its failure domain, as far as it is known.
    #[derive(Eq)]
    pub struct ControlInstance {
        /// Internal address.
        pub address: String,
        /// Failure domain; `None` until it has answered a poll.
        pub domain: Option<Arc<str>>,
    }

    /// Changes at a control instance, in answer to a poll.
    #[derive(Eq)]
    pub struct Update {
        /// Cursor to send with the next poll.
        pub cursor: Cursor,
        /// Identity of the sender's replica, kept in its data folder.
        pub identity: Identity,
        /// Whether the sender is the leader with a valid lease.
        pub is_leader: bool,
        /// Time since the agreed state was known to be the newest; `None` if it never was.
        pub agreed_age: Option<Span>,
        /// Index of the log that the agreed state belongs to.
        pub commit_index: u64,
        /// Failure domain of the sender.
        pub domain: Arc<str>,
        /// Whether `records` holds all upstreams and not only those whose records changed. A process
        /// that has just started doesn't know all of them yet.
        pub is_full: bool,
        /// Records of upstreams that changed.
        pub records: Vec<fleet::Record>,
        /// Announcements without changes, for a control instance.
        pub heartbeats: Vec<fleet::Heartbeat>,
        /// Summary of the reports that the sender received itself, for a control instance.
        pub summary: Option<report::Summary>,
        /// Totals of the reports of the other entry instances, for an entry instance.
        pub totals: Option<report::Totals>,
        /// Permits for upstreams with limits.
        pub permits: Vec<Permit>,
        /// Whether the sender is in contact with the leader, which hands out the permits.
        pub has_permits: bool,
        /// Crash evidence that changed.
        pub evidence: suspect::Message,
        /// Entry instances that take requests from others, if they are needed.
        pub peers: Vec<report::Peer>,
        /// Agreed state, for an entry instance.
        pub agreed: Option<AgreedState>,
        /// Members of the replica set.
        pub control_instances: Vec<ControlInstance>,
    }

    /// Message to a control instance.
    #[derive(Eq)]
    pub enum Request {
        /// Message of the replicated log, which gets no reply.
        Replica(Message),
        /// Asks for changes.
        Poll(Poll),
        /// Asks the leader to append a command.
        Submit(Command),
        /// Asks the leader for the index up to which the log must be applied before a read.
        Read,
        /// Asks the leader to add a replica.
        Join(Member),
        /// Asks for a part of a newer configuration. Only for instances of [`FORMAT`] 2.
        Fetch(Fetch),
    }

    /// Why a control instance did not carry out a request.
    #[derive(Copy, Eq, thiserror::Error)]
    pub enum Refusal {
        /// No leader with a valid lease is known or reachable.
        #[error("no leader with a valid lease is reached")]
        NoLeader,
        /// The command may or may not take effect.
        #[error("the outcome of the command is not known")]
        Unknown,
        /// The identity was removed from the replica set permanently.
        #[error("the replica was removed")]
        Removed,
    }

    /// Reply of a control instance.
    #[derive(Eq)]
    pub enum Reply {
        /// Changes, in reply to a poll.
        Update(Box<Update>),
        /// Index of the committed entry, or index that a read must wait for.
        Done(u64),
        /// The request was not carried out.
        Refused(Refusal),
        /// A part of a configuration, or none if the sender has no newer one.
        Part(Option<Part>),
    }

    /// A field of an [`Extension`].
    #[derive(Eq)]
    struct Field {
        /// Kind of the field.
        kind: u32,
        /// Content.
        body: Payload,
    }
}

/// Format of the messages that this build sends.
///
/// Format 1 is that of the commit 5c52cd1, whose messages have no extension and don't name it. It
/// ignores what follows a message.
pub const FORMAT: u32 = 2;

/// Kind of the field that holds [`Extension::format`].
const FORMAT_FIELD: u32 = 0;

/// Kind of the field that holds [`Extension::revision_age`].
const REVISION_AGE_FIELD: u32 = 1;

/// Kind of the field that holds [`Extension::paces`].
const PACES_FIELD: u32 = 2;

/// Kind of the field that holds [`Extension::needs_keys`].
const NEEDS_KEYS_FIELD: u32 = 3;

/// Fields that follow a message. Builds skip those that they don't know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Extension {
    /// Highest format that the sender understands.
    pub format: u32,
    /// Time for which the sender of an update has had the newest configuration that it knows of.
    pub revision_age: Option<Span>,
    /// In a poll, what the sender has learnt of the pace of upstreams, and that it wants theirs; in an
    /// update, the upstreams whose pace differs.
    pub paces: Option<Vec<pace::Sample>>,
    /// In an update or a part, whether a configuration has needed keys, so that all later ones do.
    pub needs_keys: bool,
}

impl Default for Extension {
    /// Returns the extension of a message without one.
    fn default() -> Self {
        Self {
            format: 1,
            revision_age: None,
            paces: None,
            needs_keys: false,
        }
    }
}

impl Extension {
    /// Returns the extension of a message of this build.
    #[must_use]
    pub fn current() -> Self {
        Self {
            format: FORMAT,
            ..Self::default()
        }
    }

    /// Appends the encoded fields to a message.
    ///
    /// # Errors
    ///
    /// Returns an error if a field can't be encoded.
    pub fn encode(&self, message: Vec<u8>) -> Result<Vec<u8>, postcard::Error> {
        let field = |kind, body: Vec<u8>| Field {
            kind,
            body: body.into(),
        };
        let mut fields = vec![field(FORMAT_FIELD, postcard::to_stdvec(&self.format)?)];
        if let Some(age) = &self.revision_age {
            fields.push(field(REVISION_AGE_FIELD, postcard::to_stdvec(age)?));
        }
        if let Some(paces) = &self.paces {
            fields.push(field(PACES_FIELD, postcard::to_stdvec(paces)?));
        }
        if self.needs_keys {
            fields.push(field(
                NEEDS_KEYS_FIELD,
                postcard::to_stdvec(&self.needs_keys)?,
            ));
        }
        postcard::to_extend(&fields, message)
    }

    /// Decodes the fields that follow a message; unknown ones are skipped.
    ///
    /// # Errors
    ///
    /// Returns an error if a known field can't be decoded.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let mut extension = Self::default();
        if bytes.is_empty() {
            return Ok(extension);
        }
        for Field { kind, body } in postcard::from_bytes::<Vec<Field>>(bytes)? {
            let body = body.as_bytes();
            match kind {
                FORMAT_FIELD => extension.format = postcard::from_bytes(body)?,
                REVISION_AGE_FIELD => extension.revision_age = Some(postcard::from_bytes(body)?),
                NEEDS_KEYS_FIELD => extension.needs_keys = postcard::from_bytes(body)?,
                PACES_FIELD => extension.paces = Some(postcard::from_bytes(body)?),
                _ => log::debug!("skipped a field of kind {kind}, which this build doesn't know"),
            }
        }
        Ok(extension)
    }
}
