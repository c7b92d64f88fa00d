//! Distribution of the configuration to entry instances.
//!
//! [`Server`] answers polls, at a control replica or at a relay. [`Client`] is
//! the side of an entry instance, which also serves the instances that poll it.

mod client;
mod record;
mod server;
mod source;

pub use self::{
    client::{Client, InstanceInfo, Outgoing, ReplyError},
    record::Records,
    server::{Pending, Server},
    source::{Source, Sources, rendezvous_weight, select_relays},
};

use crate::{
    config::{Change, Config},
    name,
    time::Span,
};

/// How long an instance serves without contact to the majority as if it had contact.
///
/// Counted from the last time at which the leader's lease is known to have been valid.
pub const LEASE: Span = Span::from_secs(10);

/// How long a poll is held when there is nothing new.
///
/// A relay's answer is at most this old, so an instance behind a relay renews
/// its lease with at most two holds of age. A poll that is lost in a cut is
/// sent again after [`HOLD`] and [`POLL_MARGIN`], which must stay below the
/// 4 s within which a change is in force.
pub const HOLD: Span = Span::from_secs(2);

/// Time after which a poll or its answer counts as lost, on top of the hold.
pub const POLL_MARGIN: Span = Span::from_secs(1);

/// Time without a poll after which an instance's configuration lease has certainly ended.
///
/// The answer to the last poll comes at most [`HOLD`] and [`POLL_MARGIN`] after
/// it and gives a lease of at most [`LEASE`]; the last second covers clock drift.
pub const LEASE_EXPIRY: Span = LEASE.plus(HOLD).plus(POLL_MARGIN).plus(Span::from_secs(1));

/// Age of a relay's answer above which an instance asks another source.
///
/// Covers one hold and an election of the control leader.
pub const MAX_RELAY_AGE: Span = HOLD.plus(Span::from_secs(3));

/// Number of relays in each failure domain.
pub const RELAYS_PER_DOMAIN: usize = 2;

/// Changes that a server keeps to answer with deltas.
pub const MAX_HISTORY: usize = 64;

/// Most records that are kept. The oldest are dropped first.
pub const MAX_RECORDS: usize = 4_096;

/// Most records in one poll or answer. The others follow in the next ones.
pub const MAX_RECORDS_PER_MESSAGE: usize = 256;

/// Largest record in bytes of its body.
pub const MAX_RECORD_BYTES: usize = 16 * 1_024;

plain! {
    /// Crash evidence or a local restriction, opaque to the feed.
    #[derive(Eq)]
    pub struct Record {
        /// Unique id. A record with a known id is dropped.
        pub id: String,
        /// Content, which the reader parses.
        pub body: String,
    }

    /// How far the records of one server were received.
    #[derive(Copy, Eq, Default)]
    pub struct Cursor {
        /// Unique id of the server's process.
        pub server: u64,
        /// Number of its first record that was not received.
        pub next: u64,
    }

    /// What is known of an instance that receives the configuration.
    #[derive(Eq)]
    pub struct Confirmation {
        /// The instance.
        pub instance: name::Instance,
        /// Its failure domain.
        pub domain: name::Domain,
        /// Address at which it answers other instances.
        pub address: String,
        /// Grows from start to start of the instance.
        pub incarnation: u64,
        /// The revision that it applies.
        pub revision: u64,
        /// Time since its poll arrived, at the sender.
        pub age: Span,
        /// Whether it stops and needs no later configuration.
        pub leaving: bool,
    }

    /// A poll for the configuration.
    #[derive(Eq)]
    pub struct Poll {
        /// The polling instance. Its age is zero.
        pub own: Confirmation,
        /// Digest of the revision that it applies; empty before the first.
        pub digest: String,
        /// Instances that poll this one.
        pub below: Vec<Confirmation>,
        /// Records that the server may not have.
        pub records: Vec<Record>,
        /// The server's records that were received.
        pub cursor: Cursor,
        /// Digest of the contact instances that are known.
        pub contacts: u64,
        /// How long the server may hold the poll.
        pub hold: Span,
    }

    /// One accepted change.
    pub struct Delta {
        /// The change.
        pub change: Change,
        /// Revision that it made.
        pub revision: u64,
        /// Digest of that revision.
        pub digest: String,
    }

    /// What has changed since the polled revision.
    pub enum Update {
        /// Nothing that the server knows of.
        Same,
        /// Changes in order, from the polled revision on.
        Deltas(Vec<Delta>),
        /// The whole configuration.
        Full {
            /// The configuration with its revision.
            config: Box<Config>,
            /// Its digest.
            digest: String,
        },
    }

    /// An instance that other failure domains turn to.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct Contact {
        /// Its failure domain.
        pub domain: name::Domain,
        /// The instance.
        pub instance: name::Instance,
        /// Its address.
        pub address: String,
    }

    /// The answer to a poll.
    pub struct Reply {
        /// What has changed.
        pub update: Update,
        /// Time since the leader's lease was last known to be valid.
        pub age: Span,
        /// How long the server held the poll.
        pub held: Span,
        /// Records that the poller may not have.
        pub records: Vec<Record>,
        /// Where the next poll continues.
        pub cursor: Cursor,
        /// Contact instances of all failure domains, if they differ from the polled digest.
        pub contacts: Option<Vec<Contact>>,
    }
}
