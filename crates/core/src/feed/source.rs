use super::{Contact, RELAYS_PER_DOMAIN};
use crate::{
    name,
    time::{Span, Time},
};

/// How long a relay that failed is not asked.
const RELAY_PAUSE: Span = Span::from_secs(5);

/// How long a control replica that failed is not asked while another one is left.
const CONTROL_PAUSE: Span = Span::from_millis(500);

/// Returns the weight of an instance for a key in rendezvous hashing
/// (Thaler and Ravishankar, 1998). The highest weight is first.
#[must_use]
pub fn rendezvous_weight(key: &str, instance: &name::Instance) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.as_bytes());
    hasher.update(&[0]);
    hasher.update(instance.as_str().as_bytes());
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    u64::from_le_bytes(bytes)
}

/// Returns the relays of every failure domain among the contacts, sorted by failure domain and rank.
#[must_use]
pub fn select_relays(mut all: Vec<Contact>) -> Vec<Contact> {
    all.sort_by_cached_key(|c| {
        let weight = rendezvous_weight(c.domain.as_str(), &c.instance);
        (c.domain.clone(), std::cmp::Reverse(weight))
    });
    let mut relays: Vec<Contact> = Vec::new();
    for contact in all {
        let same = relays.iter().filter(|r| r.domain == contact.domain).count();
        if same < RELAYS_PER_DOMAIN {
            relays.push(contact);
        }
    }
    relays
}

/// Where an instance polls.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// A relay of the instance's failure domain, by address.
    Relay(String),
    /// A control replica, by address.
    Control(String),
}

impl Source {
    /// Returns the address.
    #[must_use]
    pub fn address(&self) -> &str {
        match self {
            Self::Relay(address) | Self::Control(address) => address,
        }
    }
}

/// The order in which an instance asks its sources.
#[derive(Clone, Debug)]
pub struct Sources {
    relays: Vec<String>,
    control: Vec<String>,
    paused: Vec<(Source, Time)>,
}

impl Sources {
    /// Returns the sources of an instance that knows the control replicas only.
    #[must_use]
    pub const fn new(control: Vec<String>) -> Self {
        Self {
            relays: Vec::new(),
            control,
            paused: Vec::new(),
        }
    }

    /// Takes the relays of the failure domain from the contacts. A relay itself polls control.
    pub fn set_contacts(
        &mut self,
        contacts: &[Contact],
        domain: &name::Domain,
        own: &name::Instance,
    ) {
        let near = || contacts.iter().filter(|c| c.domain == *domain);
        self.relays = if near().any(|c| c.instance == *own) {
            Vec::new()
        } else {
            near().map(|c| c.address.clone()).collect()
        };
    }

    /// Puts a control replica first that is known to lead.
    pub fn set_leader(&mut self, address: &str) {
        match self.control.iter().position(|c| c == address) {
            Some(at) => self.control[..=at].rotate_right(1),
            None => self.control.insert(0, address.to_owned()),
        }
        self.paused
            .retain(|(source, _)| *source != Source::Control(address.to_owned()));
    }

    /// Returns the first source that has not failed of late, or the one that may be asked soonest.
    #[must_use]
    pub fn select(&self, now: Time) -> Option<Source> {
        let relays = self.relays.iter().cloned().map(Source::Relay);
        let control = self.control.iter().cloned().map(Source::Control);
        relays
            .chain(control)
            .min_by_key(|source| self.paused_until(source).filter(|until| *until > now))
    }

    fn paused_until(&self, source: &Source) -> Option<Time> {
        let at = self.paused.binary_search_by(|p| p.0.cmp(source)).ok()?;
        Some(self.paused[at].1)
    }

    /// Records that a source gave no useful answer.
    pub fn mark_failed(&mut self, source: &Source, now: Time) {
        let until = now
            + match source {
                Source::Relay(_) => RELAY_PAUSE,
                Source::Control(_) => CONTROL_PAUSE,
            };
        self.paused.retain(|(_, until)| *until > now);
        match self.paused.binary_search_by(|p| p.0.cmp(source)) {
            Ok(at) => self.paused[at].1 = until,
            Err(at) => self.paused.insert(at, (source.clone(), until)),
        }
    }
}
