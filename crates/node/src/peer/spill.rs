use masticlock_core::{
    feed::Contact,
    name,
    slot::{self, Acquire, Lease, Refusal},
    time::{Span, Time},
};
use rand::seq::{IndexedRandom, SliceRandom};

use super::{CALL, Peer, wire};

/// Age after which a summary counts for nothing.
const SUMMARY_AGE: Span = Span::from_secs(15);

/// Interval at which one other failure domain is asked for a summary.
const SUMMARY_INTERVAL: Span = Span::from_secs(1);

/// Another failure domain, as far as this instance knows it.
#[derive(Debug)]
struct Domain {
    name: name::Domain,
    /// Addresses of its contact instances.
    contacts: Vec<String>,
    summary: Vec<wire::Free>,
    at: Option<Time>,
}

/// The other failure domains.
#[derive(Debug, Default)]
pub struct Far {
    domains: Vec<Domain>,
    next: usize,
    due: Time,
}

impl Far {
    /// Takes the contact instances of all failure domains but `own`.
    fn set_contacts(&mut self, contacts: &[Contact], own: &name::Domain) {
        self.domains
            .retain(|d| contacts.iter().any(|c| c.domain == d.name));
        for domain in &mut self.domains {
            domain.contacts.clear();
        }
        for contact in contacts.iter().filter(|c| c.domain != *own) {
            let found = self
                .domains
                .binary_search_by(|d| d.name.cmp(&contact.domain));
            let at = found.unwrap_or_else(|at| {
                let domain = Domain {
                    name: contact.domain.clone(),
                    contacts: Vec::new(),
                    summary: Vec::new(),
                    at: None,
                };
                self.domains.insert(at, domain);
                at
            });
            self.domains[at].contacts.push(contact.address.clone());
        }
    }

    /// Returns the failure domain to ask for a summary, in turn.
    fn due(&mut self, now: Time) -> Option<(name::Domain, String)> {
        if now < self.due || self.domains.is_empty() {
            return None;
        }
        self.due = now + SUMMARY_INTERVAL;
        self.next = (self.next + 1) % self.domains.len();
        let domain = &self.domains[self.next];
        let address = domain.contacts.choose(&mut rand::rng())?;
        Some((domain.name.clone(), address.clone()))
    }

    fn take(&mut self, name: &name::Domain, summary: Vec<wire::Free>, now: Time) {
        if let Ok(at) = self.domains.binary_search_by(|d| d.name.cmp(name)) {
            self.domains[at].summary = summary;
            self.domains[at].at = Some(now);
        }
    }

    /// Returns the free slots for a version in failure domains that are not closed.
    fn free(&self, version: &name::Version, closed: &[name::Domain], now: Time) -> (u32, u32) {
        let domains = self.domains.iter().filter(|domain| {
            let fresh = domain.at.is_some_and(|at| now.since(at) < SUMMARY_AGE);
            fresh && closed.binary_search(&domain.name).is_err()
        });
        domains
            .flat_map(|domain| &domain.summary)
            .filter(|free| free.version == *version)
            .fold((0, 0), |(free, total), entry| {
                (free + entry.free, total + entry.total)
            })
    }

    /// Returns one contact of each failure domain that is not closed, in random order.
    fn contacts(&self, closed: &[name::Domain]) -> Vec<String> {
        let mut rng = rand::rng();
        let open = self
            .domains
            .iter()
            .filter(|domain| closed.binary_search(&domain.name).is_err());
        let mut contacts: Vec<_> = open
            .filter_map(|domain| domain.contacts.choose(&mut rng).cloned())
            .collect();
        contacts.shuffle(&mut rng);
        contacts
    }
}

impl Peer {
    /// Takes the contact instances of all failure domains.
    pub fn set_contacts(&self, contacts: &[Contact]) {
        let own = self.settings.domain.clone();
        self.far().set_contacts(contacts, &own);
    }

    /// Asks one other failure domain what is free there, when that is due.
    pub(super) async fn ask_summary(&self) {
        let now = self.now();
        let Some((domain, address)) = self.far().due(now) else {
            return;
        };
        let answer = self
            .call(&address, wire::SUMMARY, &wire::Nothing {}, CALL)
            .await;
        if let Ok(summary) = answer {
            let now = self.now();
            self.far().take(&domain, summary, now);
        }
    }

    /// Returns what is free in this failure domain.
    pub(super) fn summary(&self) -> Vec<wire::Free> {
        let versions: Vec<_> = {
            let state = self.state();
            let mut all: Vec<_> = state
                .view
                .upstreams
                .iter()
                .flat_map(|upstream| upstream.versions.iter().cloned())
                .collect();
            all.sort();
            all.dedup();
            all
        };
        let free = versions.into_iter().map(|version| {
            let (free, total) = self.near_room(&version);
            wire::Free {
                version,
                free,
                total,
            }
        });
        free.filter(|entry| entry.total > 0).collect()
    }

    /// Returns the free slots of other failure domains.
    pub(super) fn far_room(&self, version: &name::Version) -> (u32, u32) {
        let closed = self.state().view.exclusions.domains.clone();
        self.far().free(version, &closed, self.now())
    }

    /// Returns whether a client account's work may leave the failure domain now.
    pub(super) fn may_spill(&self, ask: &Acquire) -> bool {
        let snapshot = self.snapshot.load();
        let rule = snapshot.config.rules.account(&ask.account);
        snapshot.cut_off().is_none() && rule.is_some_and(|rule| rule.spill)
    }

    /// Asks other failure domains for a slot.
    pub(super) async fn acquire_far(&self, ask: &Acquire) -> Option<Lease> {
        let closed = self.state().view.exclusions.domains.clone();
        let contacts = self.far().contacts(&closed);
        for contact in contacts {
            if let Ok(lease) = self.acquire_through(&contact, wire::PLACE, ask).await {
                return Some(lease);
            }
        }
        None
    }

    /// Places the work of an instance of another failure domain.
    pub(super) async fn place(&self, params: wire::Acquire) -> Result<Lease, Refusal> {
        let now = self.now();
        let granted = self.state().table.acquire(&params.ask, &params.holder, now);
        let refusal = match granted {
            Ok(lease) => {
                let far = Some(self.address.to_string());
                return Ok(Lease { far, ..lease });
            }
            Err(refusal) => refusal,
        };
        let (owners, _) = self.owners(&params.ask);
        for owner in owners {
            let limit = slot::START_TIMEOUT;
            let answer = self
                .call(&owner.address, wire::ACQUIRE, &params, limit)
                .await;
            if let Ok(wire::Acquired::Granted(lease)) = answer {
                let far = Some(owner.address);
                return Ok(Lease { far, ..lease });
            }
        }
        Err(refusal)
    }
}
