//! Announcements of upstreams, and the members, upstreams and free capacity of failure
//! domains.

use crate::{
    config,
    gossip::{Body, Key, Status, Store},
    inventory, name, slot,
    time::{Span, Time},
};

/// Time without an announcement after which the owner removes an upstream.
pub const ANNOUNCEMENT_TIMEOUT: Span = Span::from_secs(5);
/// Age above which the summary of another failure domain is taken to offer no capacity.
pub const MAX_SUMMARY_AGE: Span = Span::from_secs(5);
/// Number of instances of a failure domain that instances of other domains contact.
pub const CONTACT_COUNT: usize = 2;

/// Whether an upstream accepts work.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Accepts work up to its warm limit.
    Ready,
    /// Accepts work up to its cold limit.
    Cold,
    /// Finishes its work and accepts no more.
    Leaving,
}

plain! {
    /// An upstream's announcement of itself, sent at the interval that the last
    /// [`slot::AnnouncementResponse`] gave.
    #[derive(Eq)]
    pub struct Announcement {
        /// Name of the upstream.
        pub upstream: name::Upstream,
        /// Number that increases with each start of the upstream.
        pub incarnation: u64,
        /// Base URL of the upstream.
        pub address: String,
        /// Failure domain of the upstream.
        pub domain: name::Domain,
        /// Whether it is a model engine or a plain service.
        pub offer: inventory::Offer,
        /// The plain service that it is an upstream of, if any.
        #[serde(default)]
        pub service: Option<name::Service>,
        /// Model versions that are loaded.
        #[serde(default)]
        pub versions: Vec<name::Version>,
        /// Maximum number of concurrent requests once warm.
        pub warm: u32,
        /// Maximum number of concurrent requests during a cold start.
        pub cold: u32,
        /// Whether it refuses orders with an outdated fencing token.
        #[serde(default)]
        pub fences: bool,
        /// Whether it accepts work.
        pub state: State,
        /// The token of the last response.
        #[serde(default)]
        pub token: Option<slot::Token>,
    }
}

impl Announcement {
    /// Returns whether the upstream can serve requests for a target.
    #[must_use]
    pub fn serves(&self, target: &slot::Target) -> bool {
        match target {
            slot::Target::Version(version) => self.versions.contains(version),
            slot::Target::Service(service) => self.service.as_ref() == Some(service),
        }
    }
}

plain! {
    /// An instance and its address.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct Contact {
        /// The instance.
        pub name: name::Instance,
        /// Address at which other instances reach it.
        pub address: String,
    }

    /// Free capacity for one target.
    #[derive(Eq)]
    pub struct Capacity {
        /// The version or service that the slots are for.
        pub target: slot::Target,
        /// Number of free slots.
        pub free: u32,
        /// Number of all slots.
        pub total: u32,
    }

    /// A summary of a failure domain for the other domains.
    #[derive(Eq)]
    pub struct Summary {
        /// The failure domain.
        pub domain: name::Domain,
        /// The instances that other domains contact.
        pub contacts: Vec<Contact>,
        /// Free capacity for each target, sorted by target.
        pub capacity: Vec<Capacity>,
        /// Time since the summary was made.
        pub age: Span,
    }
}

/// The members and upstreams of a failure domain, derived from the merged gossip records.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Members that can own upstreams: alive or suspected, sorted by name.
    pub members: Vec<Contact>,
    /// Upstreams, sorted by name.
    pub upstreams: Vec<Announcement>,
    /// What local restrictions exclude from new work.
    pub exclusions: slot::Exclusions,
    /// Client accounts that local restrictions block, sorted.
    pub blocked_accounts: Vec<name::Account>,
}

impl View {
    /// Derives the view from gossip records.
    #[must_use]
    pub fn from_store(store: &Store) -> Self {
        let mut view = Self::default();
        for record in store.records() {
            match (&record.key, &record.body) {
                (Key::Member(name), Body::Member(member)) => {
                    if matches!(member.status, Status::Alive | Status::Suspect) {
                        view.members.push(Contact {
                            name: name.clone(),
                            address: member.address.clone(),
                        });
                    }
                }
                (Key::Upstream(_), Body::Upstream(upstream)) => {
                    view.upstreams.push(upstream.clone());
                }
                (Key::Restriction(_), Body::Restriction(restriction)) => view.restrict(restriction),
                _ => {}
            }
        }
        view
    }

    fn restrict(&mut self, restriction: &config::Restriction) {
        match restriction {
            config::Restriction::Withdraw(version) => {
                config::insert_sorted(&mut self.exclusions.versions, version.clone());
            }
            config::Restriction::TakeOut(domain) => {
                config::insert_sorted(&mut self.exclusions.domains, domain.clone());
            }
            config::Restriction::Drain(upstream) => {
                config::insert_sorted(&mut self.exclusions.upstreams, upstream.clone());
            }
            config::Restriction::Block(account) => {
                config::insert_sorted(&mut self.blocked_accounts, account.clone());
            }
        }
    }

    /// Returns the member that owns an upstream.
    #[must_use]
    pub fn owner(&self, upstream: &name::Upstream) -> Option<&Contact> {
        self.highest_ranked(upstream.as_str())
    }

    /// Returns the member that ranks highest for a key by rendezvous hashing.
    #[must_use]
    pub fn highest_ranked(&self, key: &str) -> Option<&Contact> {
        let names = self.members.iter().map(|member| &member.name);
        let name = slot::rendezvous(key, names)?;
        self.members.iter().find(|member| member.name == *name)
    }

    /// Returns the instances of the failure domain that other domains contact: the
    /// [`CONTACT_COUNT`] members that rank highest for its name.
    #[must_use]
    pub fn contacts(&self, domain: &name::Domain) -> Vec<Contact> {
        let mut remaining = self.clone();
        let mut contacts = Vec::new();
        while contacts.len() < CONTACT_COUNT {
            let Some(contact) = remaining.highest_ranked(domain.as_str()).cloned() else {
                break;
            };
            remaining.members.retain(|member| *member != contact);
            contacts.push(contact);
        }
        contacts
    }

    /// Returns the upstreams that accept work for a target.
    pub fn serving(&self, target: &slot::Target) -> impl Iterator<Item = &Announcement> {
        self.upstreams.iter().filter(|upstream| {
            upstream.state != State::Leaving
                && upstream.serves(target)
                && !self.exclusions.excludes(upstream, target)
        })
    }
}

/// The latest summaries of other failure domains, sorted by domain name.
#[derive(Clone, Debug, Default)]
pub struct Summaries {
    /// Each summary with the time at which it was made.
    entries: Vec<(Time, Summary)>,
}

impl Summaries {
    /// Stores a summary unless the stored one of the same domain is at least as recent.
    pub fn merge(&mut self, summary: Summary, now: Time) {
        let made_at = now - summary.age;
        match self
            .entries
            .binary_search_by(|(_, stored)| stored.domain.cmp(&summary.domain))
        {
            Ok(index) if self.entries[index].0 >= made_at => {}
            Ok(index) => self.entries[index] = (made_at, summary),
            Err(index) => self.entries.insert(index, (made_at, summary)),
        }
    }

    /// Returns all summaries with their age at `now`. Those older than
    /// [`MAX_SUMMARY_AGE`] keep their contacts but have no capacity.
    pub fn all(&self, now: Time) -> impl Iterator<Item = Summary> {
        self.entries.iter().map(move |(made_at, summary)| {
            let age = now.since(*made_at);
            Summary {
                age,
                capacity: if age > MAX_SUMMARY_AGE {
                    Vec::new()
                } else {
                    summary.capacity.clone()
                },
                ..summary.clone()
            }
        })
    }
}
