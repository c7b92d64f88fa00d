use super::{Contact, RELAYS_PER_DOMAIN};
use crate::{
    name,
    time::{Span, Time},
};

/// How long a relay is not polled after it failed.
const RELAY_PAUSE: Span = Span::from_secs(5);

/// How long a control replica is not polled after it failed, while there is another one to poll.
const CONTROL_PAUSE: Span = Span::from_millis(500);

/// Returns the weight of an instance for a key in rendezvous hashing.
///
/// The method is the one of Thaler and Ravishankar (1998). The instance with the highest weight
/// comes first.
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

/// Selects the relays of every failure domain among all instances.
///
/// These are the [`RELAYS_PER_DOMAIN`] instances with the highest rendezvous weights, sorted by
/// failure domain and descending weight.
#[must_use]
pub fn select_relays(mut instances: Vec<Contact>) -> Vec<Contact> {
    instances.sort_by_cached_key(|c| {
        let weight = rendezvous_weight(c.domain.as_str(), &c.instance);
        (c.domain.clone(), std::cmp::Reverse(weight))
    });
    let mut relays: Vec<Contact> = Vec::new();
    for contact in instances {
        let selected = relays.iter().filter(|r| r.domain == contact.domain).count();
        if selected < RELAYS_PER_DOMAIN {
            relays.push(contact);
        }
    }
    relays
}

/// A server that an instance polls for the configuration.
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

/// The sources of an instance in order of preference, with those that failed recently.
#[derive(Clone, Debug)]
pub struct Sources {
    /// Addresses of the relays of the failure domain.
    relays: Vec<String>,
    /// Addresses of the control replicas.
    control: Vec<String>,
    /// Sources that failed, sorted, each with the end of its pause.
    paused: Vec<(Source, Time)>,
}

impl Sources {
    /// Returns the sources of an instance that knows only the control replicas.
    #[must_use]
    pub const fn new(control: Vec<String>) -> Self {
        Self {
            relays: Vec::new(),
            control,
            paused: Vec::new(),
        }
    }

    /// Sets the relays to the contacts of the instance's own failure domain.
    ///
    /// An instance that is itself a relay polls control only.
    pub fn set_contacts(
        &mut self,
        contacts: &[Contact],
        domain: &name::Domain,
        own: &name::Instance,
    ) {
        let same_domain = || contacts.iter().filter(|c| c.domain == *domain);
        self.relays = if same_domain().any(|c| c.instance == *own) {
            Vec::new()
        } else {
            same_domain().map(|c| c.address.clone()).collect()
        };
    }

    /// Moves the control replica that leads to the front and ends its pause.
    pub fn set_leader(&mut self, address: &str) {
        match self.control.iter().position(|c| c == address) {
            Some(position) => self.control[..=position].rotate_right(1),
            None => self.control.insert(0, address.to_owned()),
        }
        self.paused
            .retain(|(source, _)| *source != Source::Control(address.to_owned()));
    }

    /// Returns the first source that is not paused, or else the one whose pause ends first.
    #[must_use]
    pub fn select(&self, now: Time) -> Option<Source> {
        let relays = self.relays.iter().cloned().map(Source::Relay);
        let control = self.control.iter().cloned().map(Source::Control);
        relays
            .chain(control)
            .min_by_key(|source| self.paused_until(source).filter(|until| *until > now))
    }

    fn paused_until(&self, source: &Source) -> Option<Time> {
        let position = self.paused.binary_search_by(|p| p.0.cmp(source)).ok()?;
        Some(self.paused[position].1)
    }

    /// Pauses a source that gave no usable reply.
    pub fn mark_failed(&mut self, source: &Source, now: Time) {
        let until = now
            + match source {
                Source::Relay(_) => RELAY_PAUSE,
                Source::Control(_) => CONTROL_PAUSE,
            };
        self.paused.retain(|(_, until)| *until > now);
        match self.paused.binary_search_by(|p| p.0.cmp(source)) {
            Ok(position) => self.paused[position].1 = until,
            Err(position) => self.paused.insert(position, (source.clone(), until)),
        }
    }
}
