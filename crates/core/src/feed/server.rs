use std::{collections::VecDeque, sync::Arc};

use serde::{Deserialize, Serialize};

use super::{
    Confirmation, Contact, Cursor, Delta, LEASE_EXPIRY, MAX_HISTORY, Poll, Record, Records, Reply,
    Update, source::select_relays,
};
use crate::{
    config::{Change, Config},
    machine::Member,
    name,
    time::{Span, Time},
};

/// An instance that has not confirmed a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pending {
    /// The instance.
    pub instance: name::Instance,
    /// Its failure domain.
    pub domain: name::Domain,
    /// The revision that it confirmed last; `None` if this leader has no poll of it.
    pub revision: Option<u64>,
    /// Time since its last poll, or since the leader's election if there was none.
    pub silent: Span,
    /// Whether its configuration lease has certainly expired, so that it serves without contact to
    /// control as section 4.4 of the design page specifies.
    pub lapsed: bool,
}

/// An instance that polls, directly or through a relay.
#[derive(Clone, Debug)]
struct Peer {
    confirmation: Confirmation,
    /// When its last poll arrived.
    last_poll: Time,
}

impl Peer {
    /// Merges a confirmation of a poll that arrived at `polled`, in any order.
    ///
    /// Returns whether the stored confirmation changed beyond its age, and whether a change affects
    /// the contacts: the address or whether the instance is leaving.
    ///
    /// Confirmations with the same incarnation are merged, and those with an earlier one are
    /// ignored, because two relays may deliver them in any order. One with an earlier incarnation
    /// is accepted if its poll arrived at least [`LEASE_EXPIRY`] after the last one: the instance's
    /// wall clock was set back.
    fn update(&mut self, new: Confirmation, polled: Time) -> (bool, bool) {
        let old = &self.confirmation;
        let same_start = old.incarnation == new.incarnation;
        if new.incarnation < old.incarnation && polled.since(self.last_poll) < LEASE_EXPIRY {
            return (false, false);
        }
        let later = polled >= self.last_poll;
        let merged = Confirmation {
            revision: if same_start {
                old.revision.max(new.revision)
            } else {
                new.revision
            },
            leaving: new.leaving || (same_start && old.leaving),
            address: if later {
                new.address.clone()
            } else {
                old.address.clone()
            },
            ..new
        };
        let contact_changed = old.address != merged.address || old.leaving != merged.leaving;
        let changed = contact_changed || !same_start || old.revision != merged.revision;
        self.confirmation = merged;
        self.last_poll = self.last_poll.max(polled);
        (changed, contact_changed)
    }
}

/// State of the feed in a process that replies to polls.
#[derive(Clone, Debug)]
pub struct Server {
    config: Arc<Config>,
    digest: String,
    /// The latest changes, from the oldest to the newest.
    history: VecDeque<Delta>,
    records: Records,
    /// Sorted by instance.
    peers: Vec<Peer>,
    contacts: Vec<Contact>,
    contacts_digest: u64,
    /// When the server started, or the leader was elected.
    started: Time,
}

fn contacts_digest(contacts: &[Contact]) -> u64 {
    let bytes = serde_json::to_vec(contacts).unwrap_or_default();
    let mut out = [0; 8];
    blake3::Hasher::new()
        .update(&bytes)
        .finalize_xof()
        .fill(&mut out);
    u64::from_le_bytes(out)
}

impl Server {
    /// Returns a server in the process with the unique id `id`.
    #[must_use]
    pub fn new(id: u64, config: Arc<Config>, digest: String, now: Time) -> Self {
        Self {
            config,
            digest,
            history: VecDeque::new(),
            records: Records::new(id),
            peers: Vec::new(),
            contacts: Vec::new(),
            contacts_digest: contacts_digest(&[]),
            started: now,
        }
    }

    /// Publishes the next revision and the change that resulted in it.
    pub fn publish(&mut self, change: &Change, config: Arc<Config>, digest: String) {
        if self.history.len() >= MAX_HISTORY {
            self.history.pop_front();
        }
        self.history.push_back(Delta {
            change: change.clone(),
            revision: config.revision,
            digest: digest.clone(),
        });
        self.config = config;
        self.digest = digest;
    }

    /// Publishes a revision whose individual changes are not known.
    pub fn replace_config(&mut self, config: Arc<Config>, digest: String) {
        self.history.clear();
        self.config = config;
        self.digest = digest;
    }

    /// Removes all confirmations after an election, and counts the time without a poll from now.
    pub fn reset_peers(&mut self, now: Time) {
        self.peers.clear();
        self.started = now;
    }

    /// Takes the confirmations and records of a poll. Returns the poll, and whether anything was
    /// new.
    ///
    /// A cursor after the last record is moved past the poll's own records, so that the reply
    /// doesn't send them back.
    pub fn receive_poll(&mut self, mut poll: Poll, now: Time) -> (Poll, bool) {
        let mut changed = self.confirm(poll.own.clone(), now);
        for downstream in &poll.below {
            changed |= self.confirm(downstream.clone(), now);
        }
        let at_end = poll.cursor == self.records.cursor();
        changed |= self.records.merge(std::mem::take(&mut poll.records));
        if at_end {
            poll.cursor = self.records.cursor();
        }
        (poll, changed)
    }

    /// Takes a confirmation; returns whether it changes more than the time of the last poll.
    fn confirm(&mut self, confirmation: Confirmation, now: Time) -> bool {
        let last_poll = now - confirmation.age;
        let (changed, contact_changed) = match self.find(&confirmation.instance) {
            Ok(position) => self.peers[position].update(confirmation, last_poll),
            Err(position) => {
                self.peers.insert(
                    position,
                    Peer {
                        confirmation,
                        last_poll,
                    },
                );
                (true, true)
            }
        };
        if contact_changed {
            self.refresh_contacts(now);
        }
        changed
    }

    /// Returns the position of an instance in `peers`, or the position to insert it at.
    fn find(&self, instance: &name::Instance) -> Result<usize, usize> {
        self.peers
            .binary_search_by(|p| p.confirmation.instance.cmp(instance))
    }

    /// Selects the contacts among the instances that are not leaving and whose last poll is younger
    /// than [`LEASE_EXPIRY`].
    pub fn refresh_contacts(&mut self, now: Time) {
        let live = self
            .peers
            .iter()
            .filter(|p| !p.confirmation.leaving && now.since(p.last_poll) < LEASE_EXPIRY);
        let candidates = live.map(|p| Contact {
            domain: p.confirmation.domain.clone(),
            instance: p.confirmation.instance.clone(),
            address: p.confirmation.address.clone(),
        });
        self.set_contacts(select_relays(candidates.collect()));
    }

    /// Replaces the contact instances by those of another server.
    pub fn set_contacts(&mut self, contacts: Vec<Contact>) {
        self.contacts_digest = contacts_digest(&contacts);
        self.contacts = contacts;
    }

    /// Returns the contact instances of all failure domains.
    #[must_use]
    pub fn contacts(&self) -> &[Contact] {
        &self.contacts
    }

    /// Returns the digest of the contact instances.
    #[must_use]
    pub const fn contacts_digest(&self) -> u64 {
        self.contacts_digest
    }

    /// Returns whether a poll needs a reply at once because there is something new.
    #[must_use]
    pub fn has_updates(&self, poll: &Poll) -> bool {
        poll.own.revision < self.config.revision
            || poll.digest.is_empty()
            || (poll.own.revision == self.config.revision && poll.digest != self.digest)
            || self.records.has_after(poll.cursor)
            || poll.contacts != self.contacts_digest
    }

    /// Returns the reply to a poll that arrived at `arrived`.
    ///
    /// `last_valid` is when the leader's lease was last known to be valid, on this server's clock.
    #[must_use]
    pub fn reply(&self, poll: &Poll, last_valid: Time, arrived: Time, now: Time) -> Reply {
        let (records, cursor) = self.records.batch_after(poll.cursor);
        Reply {
            update: self.update_for(poll),
            age: now.since(last_valid),
            held: now.since(arrived),
            records,
            cursor,
            contacts: (poll.contacts != self.contacts_digest).then(|| self.contacts.clone()),
        }
    }

    /// Returns the shortest update from the polled revision to the current one.
    fn update_for(&self, poll: &Poll) -> Update {
        let revision = poll.own.revision;
        if !poll.digest.is_empty() {
            if revision > self.config.revision
                || (revision == self.config.revision && poll.digest == self.digest)
            {
                return Update::Same;
            }
            // Deltas apply only to the exact state that they were derived from.
            let base = self
                .history
                .iter()
                .position(|d| d.revision == revision && d.digest == poll.digest);
            if let Some(base) = base {
                return Update::Deltas(self.history.iter().skip(base + 1).cloned().collect());
            }
        }
        Update::Full {
            config: Box::new(Config::clone(&self.config)),
            digest: self.digest.clone(),
        }
    }

    /// Returns the members that have not confirmed the revision.
    #[must_use]
    pub fn pending(&self, revision: u64, members: &[Member], now: Time) -> Vec<Pending> {
        let pending = members.iter().filter_map(|member| {
            let peer = self
                .find(&member.instance)
                .ok()
                .map(|position| &self.peers[position]);
            let confirmed = peer.map(|p| p.confirmation.revision);
            if confirmed.is_some_and(|r| r >= revision) {
                return None;
            }
            let silent = now.since(peer.map_or(self.started, |p| p.last_poll));
            Some(Pending {
                instance: member.instance.clone(),
                domain: member.domain.clone(),
                revision: confirmed,
                silent,
                lapsed: silent >= LEASE_EXPIRY,
            })
        });
        pending.collect()
    }

    /// Returns the confirmations of all polling instances, with the time since their polls arrived.
    pub fn peers(&self, now: Time) -> impl Iterator<Item = Confirmation> {
        self.peers.iter().map(move |p| Confirmation {
            age: now.since(p.last_poll),
            ..p.confirmation.clone()
        })
    }

    /// Returns the time since an instance's last poll, or since [`Server::reset_peers`] or the
    /// start of the server if there was none.
    #[must_use]
    pub fn time_since_poll(&self, instance: &name::Instance, now: Time) -> Span {
        let last_poll = self
            .find(instance)
            .map_or(self.started, |position| self.peers[position].last_poll);
        now.since(last_poll)
    }

    /// Removes the instances without a poll for `limit` or longer.
    pub fn remove_silent_peers(&mut self, limit: Span, now: Time) {
        self.peers.retain(|p| now.since(p.last_poll) < limit);
    }

    /// Returns the configuration.
    #[must_use]
    pub const fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Returns the digest of the configuration.
    #[must_use]
    pub fn digest(&self) -> &str {
        &self.digest
    }

    /// Returns the merged records.
    #[must_use]
    pub const fn records(&self) -> &Records {
        &self.records
    }

    /// Adds records; returns whether any was new.
    pub fn add_records<I>(&mut self, records: I) -> bool
    where
        I: IntoIterator<Item = Record>,
    {
        self.records.merge(records)
    }

    /// Returns the cursor after the last record.
    #[must_use]
    pub fn cursor(&self) -> Cursor {
        self.records.cursor()
    }
}
