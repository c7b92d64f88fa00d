use std::sync::Arc;

use super::{
    Confirmation, Contact, Cursor, Delta, HOLD, LEASE, LEASE_EXPIRY, MAX_RELAY_AGE, POLL_MARGIN,
    Poll, Record, Reply, Server, Source, Sources, Update, rendezvous_weight,
};
use crate::{
    config::{Config, insert_sorted},
    name,
    time::{Span, Time},
};

/// Why an answer was not taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReplyError {
    /// An instance without a configuration needs an answer within the lease.
    #[error("the answer is {0} old and this instance has no configuration yet")]
    Stale(Span),
    /// The answer came after the poll's time limit, when control may no longer count this instance.
    #[error("the answer came {0} after the poll was sent")]
    Late(Span),
    /// The server has another content for the same revision.
    #[error("revision {revision} has digest {theirs} at the server and {ours} here")]
    Diverged {
        /// The revision.
        revision: u64,
        /// Digest at the server.
        theirs: String,
        /// Digest of this instance.
        ours: String,
    },
    /// The content does not have the digest that the answer names.
    #[error("the content of revision {0} does not have the digest that was sent with it")]
    Corrupt(u64),
}

/// A poll on its way.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// The poll.
    pub poll: Poll,
    /// When it was sent.
    pub sent: Time,
    /// Number of the first record that it carries.
    pub first: u64,
}

/// Who the instance is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceInfo {
    /// The instance.
    pub instance: name::Instance,
    /// Its failure domain.
    pub domain: name::Domain,
    /// Address at which it answers other instances.
    pub address: String,
    /// Grows from start to start, such as the wall clock in milliseconds.
    pub incarnation: u64,
}

/// The side of an entry instance.
#[derive(Clone, Debug)]
pub struct Client {
    seat: InstanceInfo,
    /// Serves the instances that poll this one; holds the configuration.
    server: Server,
    has_config: bool,
    valid: Time,
    sources: Sources,
    cursor: Cursor,
    /// The server and number up to which this instance's records were sent.
    sent: Cursor,
    /// Number of the first record that [`Client::new_records`] has not returned.
    read: u64,
    /// Confirmations from below that were not sent yet.
    unsent: bool,
    /// Starts of instances below that control knows of, sorted.
    admitted: Vec<(name::Instance, u64)>,
    leaving: bool,
}

impl Client {
    /// Returns an instance without a configuration.
    #[must_use]
    pub fn new(seat: InstanceInfo, control: Vec<String>, now: Time) -> Self {
        let config = Config::default();
        let digest = config.digest();
        let id = rendezvous_weight(&seat.incarnation.to_string(), &seat.instance);
        Self {
            seat,
            server: Server::new(id, Arc::new(config), digest, now),
            has_config: false,
            valid: Time::ZERO,
            sources: Sources::new(control),
            cursor: Cursor::default(),
            sent: Cursor::default(),
            read: 0,
            unsent: false,
            admitted: Vec::new(),
            leaving: false,
        }
    }

    /// Returns the configuration once there is one.
    #[must_use]
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.has_config.then(|| self.server.config())
    }

    /// Returns the digest of the configuration.
    #[must_use]
    pub fn digest(&self) -> &str {
        self.server.digest()
    }

    /// Returns the end of the configuration lease; `None` without a configuration.
    #[must_use]
    pub fn lease_end(&self) -> Option<Time> {
        self.has_config.then(|| self.valid + LEASE)
    }

    /// Returns whether the configuration lease holds.
    #[must_use]
    pub fn has_lease(&self, now: Time) -> bool {
        self.lease_end().is_some_and(|end| now < end)
    }

    /// Returns the contact instances of all failure domains.
    #[must_use]
    pub fn contacts(&self) -> &[Contact] {
        self.server.contacts()
    }

    /// Returns where to poll.
    #[must_use]
    pub fn source(&self, now: Time) -> Option<Source> {
        self.sources.select(now)
    }

    /// Returns the next poll.
    ///
    /// An urgent poll carries confirmations and records and is answered at
    /// once, while another poll is held.
    #[must_use]
    pub fn next_poll(&self, urgent: bool, now: Time) -> Outgoing {
        let own = Confirmation {
            instance: self.seat.instance.clone(),
            domain: self.seat.domain.clone(),
            address: self.seat.address.clone(),
            incarnation: self.seat.incarnation,
            revision: self.server.config().revision,
            age: Span::ZERO,
            leaving: self.leaving,
        };
        let digest = if self.has_config {
            self.server.digest().to_owned()
        } else {
            String::new()
        };
        let first = self.server.records().first_from(self.sent.next);
        let records = self.server.records().batch_from(first);
        let poll = Poll {
            own,
            digest,
            below: self
                .server
                .peers(now)
                .filter(|c| c.age < LEASE_EXPIRY)
                .collect(),
            records,
            cursor: self.cursor,
            contacts: self.server.contacts_digest(),
            hold: if urgent { Span::ZERO } else { HOLD },
        };
        Outgoing {
            sent: now,
            first,
            poll,
        }
    }

    /// Returns whether there is something that should not wait for the held poll to end.
    #[must_use]
    pub fn is_urgent(&self) -> bool {
        self.unsent || (self.sent.server != 0 && self.sent.next < self.server.records().end())
    }

    /// Records that an urgent poll is on its way. [`Client::mark_failed`] makes it due again.
    pub const fn mark_urgent_sent(&mut self) {
        self.unsent = false;
    }

    /// Takes the answer to a poll; returns whether a later revision was applied.
    ///
    /// # Errors
    ///
    /// Returns why the answer was not taken. The instance keeps its
    /// configuration and should ask another source.
    pub fn handle_reply(
        &mut self,
        outgoing: &Outgoing,
        reply: Reply,
        now: Time,
    ) -> Result<bool, ReplyError> {
        let took = now.since(outgoing.sent);
        if took > outgoing.poll.hold.plus(POLL_MARGIN) {
            return Err(ReplyError::Late(took));
        }
        // The poll arrived no earlier than it was sent, and was held after that.
        let arrival = outgoing.sent + reply.held;
        if arrival.since(Time::ZERO) < reply.age {
            // Older than this process's clock, which can't express it.
            return Err(ReplyError::Stale(reply.age));
        }
        let valid = (arrival - reply.age).min(now);
        if !self.has_config && now.since(valid) >= LEASE {
            return Err(ReplyError::Stale(now.since(valid)));
        }
        let changed = match reply.update {
            Update::Same => false,
            Update::Deltas(deltas) => self.take_deltas(deltas)?,
            Update::Full { config, digest } => self.take_full(*config, digest)?,
        };
        for below in &outgoing.poll.below {
            insert_sorted(
                &mut self.admitted,
                (below.instance.clone(), below.incarnation),
            );
        }
        // A held answer may arrive after a later one.
        self.valid = self.valid.max(valid);
        if let Some(contacts) = reply.contacts {
            self.sources
                .set_contacts(&contacts, &self.seat.domain, &self.seat.instance);
            self.server.set_contacts(contacts);
        }
        self.take_records(outgoing, reply.records, reply.cursor);
        Ok(changed)
    }

    fn take_deltas(&mut self, deltas: Vec<Delta>) -> Result<bool, ReplyError> {
        let mut changed = false;
        for delta in deltas {
            let current = self.server.config();
            // The answers to two polls may overlap.
            if delta.revision <= current.revision {
                continue;
            }
            let next = current
                .changed(&delta.change)
                .ok()
                .filter(|next| next.revision == delta.revision && next.digest() == delta.digest)
                .ok_or(ReplyError::Corrupt(delta.revision))?;
            self.server
                .publish(&delta.change, Arc::new(next), delta.digest);
            changed = true;
        }
        Ok(changed)
    }

    fn take_full(&mut self, config: Config, digest: String) -> Result<bool, ReplyError> {
        if config.digest() != digest {
            return Err(ReplyError::Corrupt(config.revision));
        }
        let ours = self.server.config().revision;
        if self.has_config && config.revision == ours && digest != self.server.digest() {
            return Err(ReplyError::Diverged {
                revision: ours,
                theirs: digest,
                ours: self.server.digest().to_owned(),
            });
        }
        if self.has_config && config.revision <= ours {
            return Ok(false);
        }
        self.server.replace_config(Arc::new(config), digest);
        self.has_config = true;
        Ok(true)
    }

    fn take_records(&mut self, outgoing: &Outgoing, records: Vec<Record>, cursor: Cursor) {
        let before = self.server.records().end();
        let carried = outgoing.first + outgoing.poll.records.len() as u64;
        let mut next = if self.sent.server == cursor.server {
            self.sent.next
        } else {
            // Another server has none of the records that the last one was sent.
            0
        };
        if outgoing.first <= next {
            next = next.max(carried);
        }
        self.server.add_records(records);
        let end = self.server.records().end();
        if next == before {
            // The records of the answer need not go back to where they came from.
            next = end;
        }
        self.sent = Cursor {
            server: cursor.server,
            next,
        };
        // The answer to an earlier poll must not move the cursor back.
        if self.cursor.server != cursor.server || self.cursor.next < cursor.next {
            self.cursor = cursor;
        }
    }

    /// Returns the records of other instances that came since the last call.
    pub fn take_new_records(&mut self) -> Vec<Record> {
        let records = self.server.records().all_from(self.read);
        self.read = self.server.records().end();
        records
    }

    /// Records that a source gave no answer, or one that was not taken.
    pub fn mark_failed(&mut self, source: &Source, now: Time) {
        self.sources.mark_failed(source, now);
        self.unsent = true;
    }

    /// Leaves a relay whose own contact to control is old.
    pub fn pause_stale_relay(&mut self, source: &Source, now: Time) {
        if matches!(source, Source::Relay(_)) && now.since(self.valid) >= MAX_RELAY_AGE {
            self.sources.mark_failed(source, now);
        }
    }

    /// Puts the control replica first that another one named as the leader.
    pub fn set_leader(&mut self, address: &str) {
        self.sources.set_leader(address);
    }

    /// Takes a poll from an instance below. Returns it for [`Client::reply`].
    pub fn receive_poll(&mut self, poll: Poll, now: Time) -> Poll {
        // The contacts come from control; a relay knows its own part only.
        let contacts = self.server.contacts().to_vec();
        let (poll, news) = self.server.receive_poll(poll, now);
        self.server.set_contacts(contacts);
        self.unsent |= news;
        poll
    }

    /// Returns whether a poll from below is to be answered at once.
    #[must_use]
    pub fn has_updates(&self, poll: &Poll) -> bool {
        self.server.has_updates(poll)
    }

    /// Returns whether control knows the polling instance and all below it.
    ///
    /// An answer gives a configuration lease, so control must count the
    /// instance among those that must confirm before it is answered.
    #[must_use]
    pub fn is_admitted(&self, poll: &Poll) -> bool {
        std::iter::once(&poll.own).chain(&poll.below).all(|c| {
            let start = (c.instance.clone(), c.incarnation);
            self.admitted.binary_search(&start).is_ok()
        })
    }

    /// Answers a poll from below; `None` without a configuration.
    #[must_use]
    pub fn reply(&self, poll: &Poll, arrived: Time, now: Time) -> Option<Reply> {
        self.has_config
            .then(|| self.server.reply(poll, self.valid, arrived, now))
    }

    /// Adds records of this instance; returns whether any was new.
    pub fn add_records<I>(&mut self, records: I) -> bool
    where
        I: IntoIterator<Item = Record>,
    {
        let all_read = self.read == self.server.records().end();
        let news = self.server.add_records(records);
        self.unsent |= news;
        if all_read {
            self.read = self.server.records().end();
        }
        news
    }

    /// Announces that the instance stops.
    pub const fn leave(&mut self) {
        self.leaving = true;
        self.unsent = true;
    }

    /// Drops instances below that are silent.
    pub fn remove_lapsed_peers(&mut self, now: Time) {
        self.server.remove_silent_peers(LEASE_EXPIRY, now);
        let live: Vec<_> = self
            .server
            .peers(now)
            .map(|c| (c.instance, c.incarnation))
            .collect();
        self.admitted.retain(|start| live.contains(start));
    }
}
