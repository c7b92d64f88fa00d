//! Distribution of the configuration to entry instances by long polling.
//!
//! [`Server`] replies to polls and runs in a control replica or a relay. [`Client`] runs in an
//! entry instance: it polls a source and, if the instance is a relay, replies to the instances that
//! poll it.

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

/// Length of the configuration lease: how long an instance serves normally without contact to the
/// majority of the control replicas.
///
/// Counted from the last time at which the leader's lease is known to have been valid.
pub const LEASE: Span = Span::from_secs(10);

/// How long a poll is held when there is nothing new.
///
/// The contact of a relay to control is at most this old when it replies, so an instance behind a
/// relay renews its lease with an age of at most two holds. A poll that is lost in a network
/// partition is sent again after [`HOLD`] plus [`POLL_MARGIN`], which must stay below the 4 s
/// within which a change has to be in force.
pub const HOLD: Span = Span::from_secs(2);

/// Time beyond the hold after which a poll or its reply counts as lost.
pub const POLL_MARGIN: Span = Span::from_secs(1);

/// Time without a poll after which an instance's configuration lease has certainly expired.
///
/// The reply to the last poll comes at most [`HOLD`] plus [`POLL_MARGIN`] after it and grants a
/// lease of at most [`LEASE`]; 1 s more allows for clock drift.
pub const LEASE_EXPIRY: Span = LEASE.plus(HOLD).plus(POLL_MARGIN).plus(Span::from_secs(1));

/// Age of a relay's contact to control from which on an instance polls another source.
///
/// Allows for one hold and 3 s for an election of the control leader.
pub const MAX_RELAY_AGE: Span = HOLD.plus(Span::from_secs(3));

/// Number of relays in each failure domain.
pub const RELAYS_PER_DOMAIN: usize = 2;

/// Maximum number of changes that a server keeps to reply with deltas.
pub const MAX_HISTORY: usize = 64;

/// Maximum number of records that are kept. The oldest are dropped first.
pub const MAX_RECORDS: usize = 4_096;

/// Maximum number of records in one poll or reply. The others follow in the next ones.
pub const MAX_RECORDS_PER_MESSAGE: usize = 256;

/// Maximum size of a record's body in bytes.
pub const MAX_RECORD_BYTES: usize = 16 * 1_024;

plain! {
    /// Crash evidence or a local restriction, whose content is opaque to the feed.
    #[derive(Eq)]
    pub struct Record {
        /// Unique id. A record with a known id is a duplicate and dropped.
        pub id: String,
        /// Content, which the receiver parses.
        pub body: String,
    }

    /// Position up to which the records of one server were received.
    #[derive(Copy, Eq, Default)]
    pub struct Cursor {
        /// Unique id of the server's process.
        pub server: u64,
        /// Number of the server's first record that was not received.
        pub next: u64,
    }

    /// State of an instance that receives the configuration, as it last reported it.
    #[derive(Eq)]
    pub struct Confirmation {
        /// The instance.
        pub instance: name::Instance,
        /// Its failure domain.
        pub domain: name::Domain,
        /// Address at which it serves other instances.
        pub address: String,
        /// Number that grows with each start of the instance.
        pub incarnation: u64,
        /// The revision that it has applied.
        pub revision: u64,
        /// Time since its poll arrived, on the clock of the sender of this confirmation.
        pub age: Span,
        /// Whether it is stopping and needs no later configuration.
        pub leaving: bool,
    }

    /// A poll for the configuration.
    #[derive(Eq)]
    pub struct Poll {
        /// Confirmation of the polling instance. Its age is zero.
        pub own: Confirmation,
        /// Digest of the revision that it has applied; empty before the first.
        pub digest: String,
        /// Confirmations of the downstream instances, which poll this one.
        pub below: Vec<Confirmation>,
        /// Records that the server may not have.
        pub records: Vec<Record>,
        /// Position up to which the server's records were received.
        pub cursor: Cursor,
        /// Digest of the contact instances that the polling instance knows.
        pub contacts: u64,
        /// How long the server may hold the poll.
        pub hold: Span,
    }

    /// An accepted change of the configuration.
    pub struct Delta {
        /// The change.
        pub change: Change,
        /// Revision that results from it.
        pub revision: u64,
        /// Digest of that revision.
        pub digest: String,
    }

    /// Changes of the configuration since the revision that the poll names.
    pub enum Update {
        /// The server has no later revision.
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

    /// Contact instance: a relay of its failure domain, and the instance that other failure domains
    /// send requests to.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct Contact {
        /// Its failure domain.
        pub domain: name::Domain,
        /// The instance.
        pub instance: name::Instance,
        /// Its address.
        pub address: String,
    }

    /// The reply to a poll.
    pub struct Reply {
        /// Changes of the configuration.
        pub update: Update,
        /// Time since the leader's lease was last known to be valid.
        pub age: Span,
        /// How long the server held the poll.
        pub held: Span,
        /// Records that the polling instance may not have.
        pub records: Vec<Record>,
        /// Cursor for the next poll.
        pub cursor: Cursor,
        /// Contact instances of all failure domains, if their digest differs from the polled one.
        pub contacts: Option<Vec<Contact>>,
    }
}
