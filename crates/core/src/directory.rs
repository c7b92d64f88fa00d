//! Upstreams as they announce themselves, and the view of a failure domain.

use crate::{
    config,
    gossip::{Body, Key, Status, Store},
    inventory, name, slot,
    time::{Span, Time},
};

/// Time without an announcement after which its owner removes an upstream.
pub const ANNOUNCEMENT_TIMEOUT: Span = Span::from_secs(5);
/// Age after which the summary of another failure domain counts as empty.
pub const MAX_SUMMARY_AGE: Span = Span::from_secs(5);
/// Number of instances that represent a failure domain to others.
pub const CONTACT_COUNT: usize = 2;

/// Whether an upstream takes work.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Takes work up to its warm limit.
    Ready,
    /// Takes work up to its cold limit.
    Cold,
    /// Finishes its work and takes no more.
    Leaving,
}

plain! {
    /// What an upstream says of itself, at the interval that the last answer named.
    #[derive(Eq)]
    pub struct Announcement {
        /// The upstream.
        pub upstream: name::Upstream,
        /// Number that grows with each start of the upstream.
        pub incarnation: u64,
        /// Base URL.
        pub address: String,
        /// Its failure domain.
        pub domain: name::Domain,
        /// What it offers.
        pub offer: inventory::Offer,
        /// The plain service it belongs to.
        #[serde(default)]
        pub service: Option<name::Service>,
        /// Versions that are loaded.
        #[serde(default)]
        pub versions: Vec<name::Version>,
        /// Most requests at once when warm.
        pub warm: u32,
        /// Most requests at once in a cold start.
        pub cold: u32,
        /// Whether it refuses orders with an old fencing number.
        #[serde(default)]
        pub fences: bool,
        /// Whether it takes work.
        pub state: State,
        /// The token of the last answer.
        #[serde(default)]
        pub token: Option<slot::Token>,
    }
}

impl Announcement {
    /// Returns whether the upstream offers what is asked for.
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
        /// Where other instances reach it.
        pub address: String,
    }

    /// Free capacity for one target.
    #[derive(Eq)]
    pub struct Capacity {
        /// What is offered.
        pub target: slot::Target,
        /// Free slots.
        pub free: u32,
        /// All slots.
        pub total: u32,
    }

    /// What a failure domain tells others about itself.
    #[derive(Eq)]
    pub struct Summary {
        /// The failure domain.
        pub domain: name::Domain,
        /// Its contact instances.
        pub contacts: Vec<Contact>,
        /// Free capacity, sorted by target.
        pub capacity: Vec<Capacity>,
        /// Age of the content.
        pub age: Span,
    }
}

/// Who and what is in a failure domain, as the merged records have it.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Members that can own upstreams, sorted by name.
    pub members: Vec<Contact>,
    /// Upstreams, sorted by name.
    pub upstreams: Vec<Announcement>,
    /// What local restrictions close. Lists are sorted.
    pub exclusions: slot::Exclusions,
    /// Client accounts that local restrictions block, sorted.
    pub blocked_accounts: Vec<name::Account>,
}

impl View {
    /// Returns the view that the records give.
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
                (Key::Restriction(_), Body::Restriction(limit)) => view.restrict(limit),
                _ => {}
            }
        }
        view
    }

    fn restrict(&mut self, limit: &config::Restriction) {
        match limit {
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

    /// Returns the owner of an upstream.
    #[must_use]
    pub fn owner(&self, upstream: &name::Upstream) -> Option<&Contact> {
        self.highest_ranked(upstream.as_str())
    }

    /// Returns the member that ranks highest for a key.
    #[must_use]
    pub fn highest_ranked(&self, key: &str) -> Option<&Contact> {
        let names = self.members.iter().map(|member| &member.name);
        let first = slot::rendezvous(key, names)?;
        self.members.iter().find(|member| member.name == *first)
    }

    /// Returns the instances that represent the failure domain to others.
    #[must_use]
    pub fn contacts(&self, domain: &name::Domain) -> Vec<Contact> {
        let mut rest = self.clone();
        let mut contacts = Vec::new();
        while contacts.len() < CONTACT_COUNT {
            let Some(first) = rest.highest_ranked(domain.as_str()).cloned() else {
                break;
            };
            rest.members.retain(|member| *member != first);
            contacts.push(first);
        }
        contacts
    }

    /// Returns the upstreams that take work for a target.
    pub fn serving(&self, target: &slot::Target) -> impl Iterator<Item = &Announcement> {
        self.upstreams.iter().filter(|upstream| {
            upstream.state != State::Leaving
                && upstream.serves(target)
                && !self.exclusions.excludes(upstream, target)
        })
    }
}

/// Summaries of other failure domains, sorted by name.
#[derive(Clone, Debug, Default)]
pub struct Summaries {
    kept: Vec<(Time, Summary)>,
}

impl Summaries {
    /// Merges a summary; the youngest content stays.
    pub fn merge(&mut self, summary: Summary, now: Time) {
        let made = now - summary.age;
        match self
            .kept
            .binary_search_by(|(_, kept)| kept.domain.cmp(&summary.domain))
        {
            Ok(at) if self.kept[at].0 >= made => {}
            Ok(at) => self.kept[at] = (made, summary),
            Err(at) => self.kept.insert(at, (made, summary)),
        }
    }

    /// Returns all summaries with their present age. Old ones keep their
    /// contacts and have no capacity.
    pub fn all(&self, now: Time) -> impl Iterator<Item = Summary> {
        self.kept.iter().map(move |(made, summary)| {
            let age = now.since(*made);
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
