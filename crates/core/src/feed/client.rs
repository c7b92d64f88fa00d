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

/// Reason to reject a reply.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReplyError {
    /// The server's last contact to control is at least [`LEASE`] ago and this instance has no
    /// configuration yet. Also returned if this process's clock can't express the time of that
    /// contact.
    #[error("the reply is {0} old and this instance has no configuration yet")]
    Stale(Span),
    /// The reply came after the poll's timeout, when control may no longer wait for a confirmation
    /// of this instance.
    #[error("the reply came {0} after the poll was sent")]
    Late(Span),
    /// The server has different content for the same revision.
    #[error("revision {revision} has digest {theirs} at the server and {ours} here")]
    Diverged {
        /// The revision.
        revision: u64,
        /// Digest at the server.
        theirs: String,
        /// Digest at this instance.
        ours: String,
    },
    /// The content does not have the digest that was sent with it.
    #[error("the content of revision {0} does not have the digest that was sent with it")]
    Corrupt(u64),
}

/// A poll with what the client needs to handle its reply.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// The poll.
    pub poll: Poll,
    /// When it was sent.
    pub sent: Time,
    /// Number of the first record that it carries, among the client's own numbers.
    pub first: u64,
}

/// Identity and address of the polling instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceInfo {
    /// The instance.
    pub instance: name::Instance,
    /// Its failure domain.
    pub domain: name::Domain,
    /// Address at which it serves other instances.
    pub address: String,
    /// Number that grows with each start, such as the wall clock in milliseconds.
    pub incarnation: u64,
}

/// State of the feed in an entry instance.
#[derive(Clone, Debug)]
pub struct Client {
    info: InstanceInfo,
    /// Holds the configuration and replies to the downstream instances, which poll this one.
    server: Server,
    /// Whether a configuration was received. Until then `server` holds the default one.
    has_config: bool,
    /// Start of the configuration lease: the last time at which the control leader's lease is known
    /// to have been valid.
    lease_start: Time,
    sources: Sources,
    /// Position up to which the records of the polled server were received.
    cursor: Cursor,
    /// The polled server, and the number up to which it has this instance's records.
    delivered: Cursor,
    /// Number of the first record that [`Client::take_new_records`] has not returned.
    next_unread: u64,
    /// Whether there is something to send that must not wait for the end of the held poll.
    has_unsent: bool,
    /// Downstream instances that control knows, with their incarnations, sorted.
    admitted: Vec<(name::Instance, u64)>,
    /// Whether the instance is stopping.
    leaving: bool,
}

impl Client {
    /// Returns a client without a configuration that knows the addresses of the control replicas.
    #[must_use]
    pub fn new(info: InstanceInfo, control: Vec<String>, now: Time) -> Self {
        let config = Config::default();
        let digest = config.digest();
        let id = rendezvous_weight(&info.incarnation.to_string(), &info.instance);
        Self {
            info,
            server: Server::new(id, Arc::new(config), digest, now),
            has_config: false,
            lease_start: Time::ZERO,
            sources: Sources::new(control),
            cursor: Cursor::default(),
            delivered: Cursor::default(),
            next_unread: 0,
            has_unsent: false,
            admitted: Vec::new(),
            leaving: false,
        }
    }

    /// Returns the configuration; `None` before one was received.
    #[must_use]
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.has_config.then(|| self.server.config())
    }

    /// Returns the digest of the configuration.
    #[must_use]
    pub fn digest(&self) -> &str {
        self.server.digest()
    }

    /// Returns when the configuration lease ends; `None` without a configuration.
    #[must_use]
    pub fn lease_end(&self) -> Option<Time> {
        self.has_config.then(|| self.lease_start + LEASE)
    }

    /// Returns whether the configuration lease is valid.
    #[must_use]
    pub fn has_lease(&self, now: Time) -> bool {
        self.lease_end().is_some_and(|end| now < end)
    }

    /// Returns the contact instances of all failure domains.
    #[must_use]
    pub fn contacts(&self) -> &[Contact] {
        self.server.contacts()
    }

    /// Returns the source to poll; `None` if none is known.
    #[must_use]
    pub fn source(&self, now: Time) -> Option<Source> {
        self.sources.select(now)
    }

    /// Returns the next poll.
    ///
    /// An urgent poll carries confirmations and records while another poll is held, and the server
    /// replies to it at once.
    #[must_use]
    pub fn next_poll(&self, urgent: bool, now: Time) -> Outgoing {
        let own = Confirmation {
            instance: self.info.instance.clone(),
            domain: self.info.domain.clone(),
            address: self.info.address.clone(),
            incarnation: self.info.incarnation,
            revision: self.server.config().revision,
            age: Span::ZERO,
            leaving: self.leaving,
        };
        let digest = if self.has_config {
            self.server.digest().to_owned()
        } else {
            String::new()
        };
        let first = self.server.records().first_from(self.delivered.next);
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

    /// Returns whether there is something to send that must not wait for the end of the held poll.
    #[must_use]
    pub fn is_urgent(&self) -> bool {
        self.has_unsent
            || (self.delivered.server != 0 && self.delivered.next < self.server.records().end())
    }

    /// Records that an urgent poll was sent. [`Client::mark_failed`] makes it due again.
    pub const fn mark_urgent_sent(&mut self) {
        self.has_unsent = false;
    }

    /// Handles the reply to a poll; returns whether a later revision was applied.
    ///
    /// # Errors
    ///
    /// Returns why the reply was rejected. The instance keeps its configuration and should poll
    /// another source.
    pub fn handle_reply(
        &mut self,
        outgoing: &Outgoing,
        reply: Reply,
        now: Time,
    ) -> Result<bool, ReplyError> {
        let elapsed = now.since(outgoing.sent);
        if elapsed > outgoing.poll.hold.plus(POLL_MARGIN) {
            return Err(ReplyError::Late(elapsed));
        }
        // The poll arrived no earlier than it was sent, and was held after its arrival.
        let replied = outgoing.sent + reply.held;
        if replied.since(Time::ZERO) < reply.age {
            // The time is before the zero of this process's clock, which can't express it.
            return Err(ReplyError::Stale(reply.age));
        }
        let lease_start = (replied - reply.age).min(now);
        if !self.has_config && now.since(lease_start) >= LEASE {
            return Err(ReplyError::Stale(now.since(lease_start)));
        }
        let changed = match reply.update {
            Update::Same => false,
            Update::Deltas(deltas) => self.apply_deltas(deltas)?,
            Update::Full { config, digest } => self.apply_full(*config, digest)?,
        };
        for downstream in &outgoing.poll.below {
            insert_sorted(
                &mut self.admitted,
                (downstream.instance.clone(), downstream.incarnation),
            );
        }
        // The reply to a held poll may arrive after the reply to a later poll.
        self.lease_start = self.lease_start.max(lease_start);
        if let Some(contacts) = reply.contacts {
            self.sources
                .set_contacts(&contacts, &self.info.domain, &self.info.instance);
            self.server.set_contacts(contacts);
        }
        self.merge_records(outgoing, reply.records, reply.cursor);
        Ok(changed)
    }

    fn apply_deltas(&mut self, deltas: Vec<Delta>) -> Result<bool, ReplyError> {
        let mut changed = false;
        for delta in deltas {
            let current = self.server.config();
            // The replies to two polls may overlap.
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

    fn apply_full(&mut self, config: Config, digest: String) -> Result<bool, ReplyError> {
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

    /// Merges the records of a reply and advances both cursors.
    fn merge_records(&mut self, outgoing: &Outgoing, records: Vec<Record>, cursor: Cursor) {
        let previous_end = self.server.records().end();
        let carried_end = outgoing.first + outgoing.poll.records.len() as u64;
        let mut next = if self.delivered.server == cursor.server {
            self.delivered.next
        } else {
            // A new server has none of the records that were delivered to the previous one.
            0
        };
        if outgoing.first <= next {
            next = next.max(carried_end);
        }
        self.server.add_records(records);
        let end = self.server.records().end();
        if next == previous_end {
            // The server has the records of its reply, so they are not sent back to it.
            next = end;
        }
        self.delivered = Cursor {
            server: cursor.server,
            next,
        };
        // The reply to an earlier poll must not move the cursor back.
        if self.cursor.server != cursor.server || self.cursor.next < cursor.next {
            self.cursor = cursor;
        }
    }

    /// Returns the records of other instances that arrived since the last call.
    pub fn take_new_records(&mut self) -> Vec<Record> {
        let records = self.server.records().all_from(self.next_unread);
        self.next_unread = self.server.records().end();
        records
    }

    /// Pauses a source that gave no reply or one that was rejected, and makes an urgent poll due.
    pub fn mark_failed(&mut self, source: &Source, now: Time) {
        self.sources.mark_failed(source, now);
        self.has_unsent = true;
    }

    /// Pauses a relay whose own contact to control is at least [`MAX_RELAY_AGE`] old.
    pub fn pause_stale_relay(&mut self, source: &Source, now: Time) {
        if matches!(source, Source::Relay(_)) && now.since(self.lease_start) >= MAX_RELAY_AGE {
            self.sources.mark_failed(source, now);
        }
    }

    /// Prefers the control replica that another one named as the leader.
    pub fn set_leader(&mut self, address: &str) {
        self.sources.set_leader(address);
    }

    /// Takes the confirmations and records of a poll from a downstream instance.
    ///
    /// Returns the poll, with an updated cursor, for [`Client::reply`].
    pub fn receive_poll(&mut self, poll: Poll, now: Time) -> Poll {
        // Contacts come from control. A relay's server would derive them from the downstream
        // instances alone.
        let contacts = self.server.contacts().to_vec();
        let (poll, changed) = self.server.receive_poll(poll, now);
        self.server.set_contacts(contacts);
        self.has_unsent |= changed;
        poll
    }

    /// Returns whether a downstream poll needs a reply at once because there is something new.
    #[must_use]
    pub fn has_updates(&self, poll: &Poll) -> bool {
        self.server.has_updates(poll)
    }

    /// Returns whether control knows the polling instance and all instances downstream of it.
    ///
    /// A reply grants a configuration lease, so control must first count the instance among those
    /// that have to confirm a revision.
    #[must_use]
    pub fn is_admitted(&self, poll: &Poll) -> bool {
        std::iter::once(&poll.own).chain(&poll.below).all(|c| {
            let key = (c.instance.clone(), c.incarnation);
            self.admitted.binary_search(&key).is_ok()
        })
    }

    /// Returns the reply to a downstream poll; `None` without a configuration.
    #[must_use]
    pub fn reply(&self, poll: &Poll, arrived: Time, now: Time) -> Option<Reply> {
        self.has_config
            .then(|| self.server.reply(poll, self.lease_start, arrived, now))
    }

    /// Adds records of this instance; returns whether any was new.
    pub fn add_records<I>(&mut self, records: I) -> bool
    where
        I: IntoIterator<Item = Record>,
    {
        let all_read = self.next_unread == self.server.records().end();
        let added = self.server.add_records(records);
        self.has_unsent |= added;
        if all_read {
            self.next_unread = self.server.records().end();
        }
        added
    }

    /// Announces with an urgent poll that the instance is stopping.
    pub const fn leave(&mut self) {
        self.leaving = true;
        self.has_unsent = true;
    }

    /// Removes downstream instances that sent no poll for [`LEASE_EXPIRY`].
    pub fn remove_lapsed_peers(&mut self, now: Time) {
        self.server.remove_silent_peers(LEASE_EXPIRY, now);
        let live: Vec<_> = self
            .server
            .peers(now)
            .map(|c| (c.instance, c.incarnation))
            .collect();
        self.admitted.retain(|key| live.contains(key));
    }
}
