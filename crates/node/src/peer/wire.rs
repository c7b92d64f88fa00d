//! Names and parameters of the JSON-RPC methods between entry instances.

use masticlock_core::{
    config, directory, gossip, ledger, limit, name, plain,
    slot::{self, Report},
};

/// Exchange of merged records.
pub const GOSSIP: &str = "peer.gossip";
/// An announcement on its way to the owner of the upstream.
pub const ANNOUNCE: &str = "peer.announce";
/// Asks the owner for a slot.
pub const ACQUIRE: &str = "slot.acquire";
/// Asks a contact instance of another failure domain for a slot there.
pub const PLACE: &str = "slot.place";
/// Asks what is free in the failure domain.
pub const SUMMARY: &str = "peer.summary";
/// Renews slots.
pub const RENEW: &str = "slot.renew";
/// Gives a slot back.
pub const RELEASE: &str = "slot.release";
/// Hands the table of an upstream over.
pub const HANDOVER: &str = "slot.handover";
/// Opens records of bills.
pub const WITNESS_OPEN: &str = "witness.open";
/// Closes records of bills.
pub const WITNESS_CLOSE: &str = "witness.close";
/// Asks the lender of a client account's limits for a share.
pub const BORROW: &str = "limit.borrow";
/// Applies a restriction without the majority.
pub const RESTRICT: &str = "operator.restrict";

plain! {
    /// Parameters and result of [`GOSSIP`].
    #[derive(Eq)]
    pub struct Gossip {
        /// The message or its answer.
        pub message: gossip::Message,
    }

    /// Parameters of [`ANNOUNCE`].
    #[derive(Eq)]
    pub struct Announce {
        /// The announcement.
        pub announcement: directory::Announcement,
    }

    /// Parameters of [`ACQUIRE`].
    #[derive(Eq)]
    pub struct Acquire {
        /// What is asked for.
        pub ask: slot::Acquire,
        /// Who will hold the slot.
        pub holder: name::Instance,
    }

    /// Result of [`ACQUIRE`].
    #[derive(Eq)]
    pub enum Acquired {
        /// The slot.
        Granted(slot::Lease),
        /// Why there is none.
        Refused(slot::Refusal),
    }

    /// Parameters of methods without parameters.
    #[derive(Eq)]
    pub struct Nothing {}

    /// What is free for a version, as [`SUMMARY`] lists it.
    #[derive(Eq)]
    pub struct Free {
        /// The version.
        pub version: name::Version,
        /// Free slots.
        pub free: u32,
        /// All slots.
        pub total: u32,
    }

    /// A slot as [`RENEW`] and [`RELEASE`] name it.
    #[derive(Eq)]
    pub struct Slot {
        /// The upstream.
        pub upstream: name::Upstream,
        /// Id of the slot.
        pub id: u64,
    }

    /// Parameters of [`RENEW`]. The result has a [`slot::Renewal`] for each.
    #[derive(Eq)]
    pub struct Renew {
        /// Slots of one owner.
        pub slots: Vec<Slot>,
    }

    /// Parameters of [`RELEASE`].
    #[derive(Eq)]
    pub struct Release {
        /// The slot.
        pub slot: Slot,
        /// What its holder saw of the upstream.
        pub report: Report,
    }

    /// Parameters of [`HANDOVER`].
    #[derive(Eq)]
    pub struct Handover {
        /// The table of the upstream.
        pub handover: slot::Handover,
    }

    /// Parameters of [`WITNESS_OPEN`].
    #[derive(Eq)]
    pub struct Open {
        /// The instance that runs the requests.
        pub origin: name::Instance,
        /// Its process.
        pub boot: u64,
        /// Bills with the usage known so far.
        pub bills: Vec<ledger::Bill>,
    }

    /// Parameters of [`WITNESS_CLOSE`].
    #[derive(Eq)]
    pub struct Close {
        /// The records.
        pub keys: Vec<ledger::Key>,
    }

    /// Parameters of [`BORROW`].
    #[derive(Eq)]
    pub struct Borrow {
        /// The client account.
        pub account: name::Account,
        /// The instance that asks.
        pub holder: name::Instance,
        /// What it asks for.
        pub ask: limit::Demand,
    }

    /// Parameters of [`RESTRICT`].
    #[derive(Eq)]
    pub struct Restrict {
        /// Id made by the client. A resend carries the same id.
        pub id: name::Restriction,
        /// The restriction.
        pub limit: config::Restriction,
    }
}
