//! Slots on upstreams.

use crate::{name, time::Span};

plain! {
    /// A request for a slot.
    #[derive(Eq)]
    pub struct Ask {
        /// The request that needs it.
        pub request: name::Request,
        /// The client account, for fair shares.
        pub account: name::Account,
        /// What the upstream must serve.
        pub target: Target,
        /// Upstreams that failed this request before.
        pub avoid: Vec<name::Upstream>,
        /// How long the requester waits.
        pub wait: Span,
        /// How long the slot is needed without renewal; only for calls that can't be cancelled.
        pub hold: Option<Span>,
    }

    /// What a request needs from an upstream.
    #[derive(Eq)]
    pub enum Target {
        /// An engine that has the version loaded.
        Version(name::Version),
        /// An upstream of the plain service.
        Service(name::Service),
    }

    /// A slot that is lent.
    #[derive(Eq)]
    pub struct Lease {
        /// Id, unique at its owner.
        pub id: u64,
        /// The owner of the upstream.
        pub owner: name::Instance,
        /// The upstream.
        pub upstream: name::Upstream,
        /// Incarnation of the upstream that the slot is for.
        pub incarnation: u64,
        /// Base URL of the upstream.
        pub address: String,
        /// Whether the upstream is in another failure domain.
        pub far: bool,
    }
}
