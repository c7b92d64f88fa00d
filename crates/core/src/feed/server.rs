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
    /// The revision that it confirmed last; `None` if this leader has not heard it.
    pub revision: Option<u64>,
    /// Time since its last poll, or since the leader's election.
    pub silent: Span,
    /// Whether its configuration lease has certainly ended, so that it serves as section 4.4 says.
    pub lapsed: bool,
}

/// An instance as the server heard it last.
#[derive(Clone, Debug)]
struct Peer {
    last: Confirmation,
    heard: Time,
}

impl Peer {
    /// Takes a later or an earlier report. Returns whether the confirmation
    /// changed, and whether the instance moved or leaves.
    ///
    /// Reports of one start are merged, and those of an earlier start are
    /// ignored, because reports of two relays come in any order. An earlier
    /// incarnation that is heard long after the later one is taken: the
    /// instance's wall clock was set back.
    fn update(&mut self, last: Confirmation, heard: Time) -> (bool, bool) {
        let old = &self.last;
        let same_start = old.incarnation == last.incarnation;
        if last.incarnation < old.incarnation && heard.since(self.heard) < LEASE_EXPIRY {
            return (false, false);
        }
        let later = heard >= self.heard;
        let next = Confirmation {
            revision: if same_start {
                old.revision.max(last.revision)
            } else {
                last.revision
            },
            leaving: last.leaving || (same_start && old.leaving),
            address: if later {
                last.address.clone()
            } else {
                old.address.clone()
            },
            ..last
        };
        let moved = old.address != next.address || old.leaving != next.leaving;
        let changed = moved || !same_start || old.revision != next.revision;
        self.last = next;
        self.heard = self.heard.max(heard);
        (changed, moved)
    }
}

/// The side that answers polls.
#[derive(Clone, Debug)]
pub struct Server {
    config: Arc<Config>,
    digest: String,
    history: VecDeque<Delta>,
    records: Records,
    peers: Vec<Peer>,
    contacts: Vec<Contact>,
    contacts_digest: u64,
    start: Time,
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
    /// Returns a server of the process with that unique id.
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
            start: now,
        }
    }

    /// Takes the next revision and the change that made it.
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

    /// Takes a revision whose changes are not known one by one.
    pub fn replace_config(&mut self, config: Arc<Config>, digest: String) {
        self.history.clear();
        self.config = config;
        self.digest = digest;
    }

    /// Forgets what was heard before an election, and counts silence from now.
    pub fn reset_peers(&mut self, now: Time) {
        self.peers.clear();
        self.start = now;
    }

    /// Takes the confirmations and records of a poll. Returns the poll with
    /// its cursor moved over its own records, and whether anything was new.
    pub fn receive_poll(&mut self, mut poll: Poll, now: Time) -> (Poll, bool) {
        let mut news = self.confirm(poll.own.clone(), now);
        for below in &poll.below {
            news |= self.confirm(below.clone(), now);
        }
        let at_end = poll.cursor == self.records.cursor();
        news |= self.records.merge(std::mem::take(&mut poll.records));
        if at_end {
            poll.cursor = self.records.cursor();
        }
        (poll, news)
    }

    /// Returns whether the confirmation tells more than the time of a poll.
    fn confirm(&mut self, last: Confirmation, now: Time) -> bool {
        let heard = now - last.age;
        let (changed, moved) = match self.find(&last.instance) {
            Ok(at) => self.peers[at].update(last, heard),
            Err(at) => {
                self.peers.insert(at, Peer { last, heard });
                (true, true)
            }
        };
        if moved {
            self.refresh_contacts(now);
        }
        changed
    }

    fn find(&self, instance: &name::Instance) -> Result<usize, usize> {
        self.peers
            .binary_search_by(|p| p.last.instance.cmp(instance))
    }

    /// Names the relays among the instances that were heard of late.
    pub fn refresh_contacts(&mut self, now: Time) {
        let live = self
            .peers
            .iter()
            .filter(|p| !p.last.leaving && now.since(p.heard) < LEASE_EXPIRY);
        let all = live.map(|p| Contact {
            domain: p.last.domain.clone(),
            instance: p.last.instance.clone(),
            address: p.last.address.clone(),
        });
        self.set_contacts(select_relays(all.collect()));
    }

    /// Takes the contact instances from another server.
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

    /// Returns whether a poll is to be answered at once.
    #[must_use]
    pub fn has_updates(&self, poll: &Poll) -> bool {
        poll.own.revision < self.config.revision
            || poll.digest.is_empty()
            || (poll.own.revision == self.config.revision && poll.digest != self.digest)
            || self.records.has_after(poll.cursor)
            || poll.contacts != self.contacts_digest
    }

    /// Answers a poll that arrived at `arrived`. `valid` is when the leader's
    /// lease was last known to be valid, on this server's clock.
    #[must_use]
    pub fn reply(&self, poll: &Poll, valid: Time, arrived: Time, now: Time) -> Reply {
        let (records, cursor) = self.records.batch_after(poll.cursor);
        Reply {
            update: self.update(poll),
            age: now.since(valid),
            held: now.since(arrived),
            records,
            cursor,
            contacts: (poll.contacts != self.contacts_digest).then(|| self.contacts.clone()),
        }
    }

    fn update(&self, poll: &Poll) -> Update {
        let revision = poll.own.revision;
        if !poll.digest.is_empty() {
            if revision > self.config.revision
                || (revision == self.config.revision && poll.digest == self.digest)
            {
                return Update::Same;
            }
            // Deltas apply only to the very state that they were made on.
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
            let peer = self.find(&member.instance).ok().map(|at| &self.peers[at]);
            let confirmed = peer.map(|p| p.last.revision);
            if confirmed.is_some_and(|r| r >= revision) {
                return None;
            }
            let silent = now.since(peer.map_or(self.start, |p| p.heard));
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

    /// Returns the instances that were heard, with the time since then.
    pub fn peers(&self, now: Time) -> impl Iterator<Item = Confirmation> {
        self.peers.iter().map(move |p| Confirmation {
            age: now.since(p.heard),
            ..p.last.clone()
        })
    }

    /// Returns the time since an instance was heard, or since the start of the server.
    #[must_use]
    pub fn time_since_poll(&self, instance: &name::Instance, now: Time) -> Span {
        let heard = self
            .find(instance)
            .map_or(self.start, |at| self.peers[at].heard);
        now.since(heard)
    }

    /// Drops instances that were not heard for that long.
    pub fn remove_silent_peers(&mut self, after: Span, now: Time) {
        self.peers.retain(|p| now.since(p.heard) < after);
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

    /// Returns the cursor behind the last record.
    #[must_use]
    pub fn cursor(&self) -> Cursor {
        self.records.cursor()
    }
}
