//! Gossip that replicates the records of one failure domain to all of its instances:
//! members, upstreams, restrictions and crash evidence.
//!
//! A new record is pushed to three random peers, which in turn push the records that
//! were new to them (rumor mongering; Demers et al., 1987). Every second, an exchange
//! of hashes with one random peer (anti-entropy) repairs gaps and probes that peer.

mod record;
mod store;

pub use record::{Body, Key, Member, Record, Status};
pub use store::{BUCKET_COUNT, RecordVersion, Store};

use rand::{RngExt, SeedableRng, seq::IteratorRandom};
use rand_chacha::ChaCha8Rng;

use crate::{
    name,
    time::{Span, Time},
};

/// Number of peers that a new record is pushed to.
pub const PUSH_FANOUT: usize = 3;
/// Interval between exchanges of hashes with a random peer.
pub const EXCHANGE_INTERVAL: Span = Span::from_secs(1);
/// Timeout of a call between two instances of one failure domain.
pub const CALL_TIMEOUT: Span = Span::from_millis(300);
/// Time after which a suspected member is removed unless it refutes the suspicion.
pub const SUSPICION_TIMEOUT: Span = Span::from_secs(1);
/// Delay after which a new record is pushed to one more peer. A single round of pushes
/// misses about one member in twenty.
pub const SECOND_PUSH_DELAY: Span = Span::from_millis(300);
/// Interval between attempts to reach seeds that are no members and members that were removed.
pub const REJOIN_INTERVAL: Span = Span::from_secs(3);
/// How long a tombstone is kept. It is exchanged for only half of this time, so that no
/// peer receives a tombstone again after dropping it.
pub const TOMBSTONE_RETENTION: Span = Span::from_secs(600);
/// Number of consecutive calls without an answer after which a member is suspected.
const MISSED_CALLS_UNTIL_SUSPECT: u32 = 4;

plain! {
    /// A message to a peer or its answer.
    #[derive(Eq)]
    pub enum Message {
        /// New records. Answered with [`Message::Done`].
        Push(Vec<Record>),
        /// Hash of all records. Answered with `Done` if it is the same, otherwise with `Buckets`.
        Hash(u64),
        /// Hash of the records in each bucket.
        Buckets(Vec<u64>),
        /// Versions of all records in some buckets. Answered with `Delta`.
        Entries(Vec<u8>, Vec<RecordVersion>),
        /// Records that are newer at the answering instance, and keys of those that are newer at
        /// the asking one.
        Delta(Vec<Record>, Vec<Key>),
        /// Nothing to send.
        Done,
    }

    /// An outgoing message.
    #[derive(Eq)]
    pub struct Envelope {
        /// Address of the peer.
        pub to: String,
        /// The message.
        pub message: Message,
    }
}

/// Consecutive calls to a member that were not answered.
#[derive(Clone, Debug)]
struct MissedCalls {
    address: String,
    count: u32,
}

/// The gossip state of one instance: its merged records and outgoing messages.
#[derive(Clone, Debug)]
pub struct Gossip {
    instance: name::Instance,
    store: Store,
    rng: ChaCha8Rng,
    seeds: Vec<String>,
    outbox: Vec<Envelope>,
    /// New records with the time of their second push.
    second_pushes: Vec<(Time, Record)>,
    missed_calls: Vec<MissedCalls>,
    /// Suspected members with the time of their removal.
    suspects: Vec<(Time, Key)>,
    next_exchange: Time,
    next_rejoin: Time,
    synced: bool,
}

impl Gossip {
    /// Creates the state of an instance that starts with the addresses of some peers.
    #[must_use]
    pub fn new(
        instance: name::Instance,
        incarnation: u64,
        member: Member,
        seeds: Vec<String>,
    ) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(incarnation ^ hash_name(&instance));
        let first_exchange = Span::from_millis(rng.random_range(0..EXCHANGE_INTERVAL.as_millis()));
        let synced = seeds.iter().all(|seed| *seed == member.address);
        let mut gossip = Self {
            instance: instance.clone(),
            store: Store::default(),
            rng,
            seeds,
            outbox: Vec::new(),
            second_pushes: Vec::new(),
            missed_calls: Vec::new(),
            suspects: Vec::new(),
            next_exchange: Time::ZERO + first_exchange,
            next_rejoin: Time::ZERO,
            synced,
        };
        gossip.store.merge(
            Record {
                key: Key::Member(instance),
                incarnation,
                sequence: 0,
                body: Body::Member(member),
            },
            Time::ZERO,
        );
        gossip
    }

    /// Returns the merged records.
    #[must_use]
    pub const fn store(&self) -> &Store {
        &self.store
    }

    /// Returns whether the records of a peer were received, or no other instance is a seed.
    #[must_use]
    pub const fn is_synced(&self) -> bool {
        self.synced
    }

    /// Removes and returns the messages to send.
    pub fn take_outbox(&mut self) -> Vec<Envelope> {
        std::mem::take(&mut self.outbox)
    }

    /// Replaces the body of a record that this instance may change, under the next
    /// sequence number, and pushes it.
    ///
    /// Does nothing if the body is unchanged or the stored record has a later incarnation.
    pub fn put(&mut self, key: Key, incarnation: u64, body: Body, now: Time) {
        let old = self.store.get(&key);
        if old.is_some_and(|r| r.incarnation > incarnation || r.body == body) {
            return;
        }
        let sequence = match old {
            Some(r) if r.incarnation == incarnation => r.sequence + 1,
            _ => 0,
        };
        let record = Record {
            key,
            incarnation,
            sequence,
            body,
        };
        self.merge_and_push(vec![record], now);
    }

    /// Changes the status of this instance.
    pub fn set_status(&mut self, status: Status, now: Time) {
        let key = Key::Member(self.instance.clone());
        if let Some(record) = self.store.get(&key)
            && let Body::Member(member) = &record.body
        {
            let member = Member {
                status,
                ..member.clone()
            };
            let incarnation = record.incarnation;
            self.put(key, incarnation, Body::Member(member), now);
        }
    }

    /// Removes records permanently, such as lifted restrictions. They are refused if a peer
    /// sends them again.
    pub fn purge(&mut self, keys: &[Key]) {
        self.store.purge(keys);
    }

    /// Merges records and pushes those that were new.
    fn merge_and_push(&mut self, records: Vec<Record>, now: Time) {
        let mut new = Vec::new();
        for record in records {
            if self.store.merge(record.clone(), now) {
                self.track_suspicion(&record, now);
                new.push(record);
            }
        }
        if let Some(own) = self.refutation() {
            self.store.merge(own.clone(), now);
            new.retain(|record| record.key != own.key);
            new.push(own);
        }
        if new.is_empty() {
            return;
        }
        self.second_pushes
            .extend(new.iter().map(|r| (now + SECOND_PUSH_DELAY, r.clone())));
        self.push(&new, PUSH_FANOUT);
    }

    /// Schedules the removal of a member that is suspected, and cancels it for one that no
    /// longer is.
    fn track_suspicion(&mut self, record: &Record, now: Time) {
        self.suspects.retain(|(_, key)| *key != record.key);
        if let Body::Member(member) = &record.body
            && member.status == Status::Suspect
        {
            self.suspects
                .push((now + SUSPICION_TIMEOUT, record.key.clone()));
        }
    }

    /// Returns a newer version of this instance's own record if a peer suspects or removed it.
    fn refutation(&self) -> Option<Record> {
        let record = self.store.get(&Key::Member(self.instance.clone()))?;
        let Body::Member(member) = &record.body else {
            return None;
        };
        matches!(member.status, Status::Suspect | Status::Gone).then(|| Record {
            sequence: record.sequence + 1,
            body: Body::Member(Member {
                status: Status::Alive,
                ..member.clone()
            }),
            ..record.clone()
        })
    }

    /// Pushes records to `fanout` random peers.
    fn push(&mut self, records: &[Record], fanout: usize) {
        let peers = self.peers();
        let chosen = peers.into_iter().sample(&mut self.rng, fanout);
        for to in chosen {
            self.outbox.push(Envelope {
                to,
                message: Message::Push(records.to_vec()),
            });
        }
    }

    /// Returns the addresses of all other members, except for removed ones.
    fn peers(&self) -> Vec<String> {
        self.store
            .members()
            .filter(|(name, member)| **name != self.instance && member.status != Status::Gone)
            .map(|(_, member)| member.address.clone())
            .collect()
    }

    /// Runs what is due: exchanges, second pushes and removals.
    pub fn tick(&mut self, now: Time) {
        self.store.expire(now);
        self.remove_suspects(now);
        let (due, later) = std::mem::take(&mut self.second_pushes)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.second_pushes = later;
        let due: Vec<_> = due
            .into_iter()
            .map(|(_, record): (Time, _)| record)
            .collect();
        if !due.is_empty() {
            self.push(&due, 1);
        }
        if self.next_exchange <= now {
            self.next_exchange = now + EXCHANGE_INTERVAL;
            let peer = self.peers().into_iter().choose(&mut self.rng);
            self.start_exchange(peer);
        }
        if self.next_rejoin <= now {
            self.next_rejoin = now
                + if self.synced {
                    REJOIN_INTERVAL
                } else {
                    EXCHANGE_INTERVAL
                };
            let address = self.rejoin_addresses().into_iter().choose(&mut self.rng);
            self.start_exchange(address);
        }
    }

    /// Starts an exchange with a peer by sending it the hash of all records.
    fn start_exchange(&mut self, peer: Option<String>) {
        if let Some(to) = peer {
            let message = Message::Hash(self.store.hash());
            self.outbox.push(Envelope { to, message });
        }
    }

    /// Returns the addresses at which an instance may run that is not a member: seeds and
    /// removed members.
    fn rejoin_addresses(&self) -> Vec<String> {
        let peers = self.peers();
        let gone = self
            .store
            .members()
            .filter(|(_, member)| member.status == Status::Gone)
            .map(|(_, member)| &member.address);
        let own = self
            .store
            .member(&self.instance)
            .map(|m| m.address.as_str());
        self.seeds
            .iter()
            .chain(gone)
            .filter(|a| Some(a.as_str()) != own && !peers.contains(a))
            .cloned()
            .collect()
    }

    fn remove_suspects(&mut self, now: Time) {
        let due: Vec<_> = self.suspects.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, key) in due {
            self.set_member_status(&key, Status::Gone, now);
        }
    }

    /// Records that a member is suspected or removed, under the sequence number of the
    /// member's own record.
    fn set_member_status(&mut self, key: &Key, status: Status, now: Time) {
        let Some(record) = self.store.get(key).cloned() else {
            return;
        };
        if let Body::Member(member) = &record.body {
            let body = Body::Member(Member {
                status,
                ..member.clone()
            });
            self.merge_and_push(vec![Record { body, ..record }], now);
        }
    }

    /// Handles the message of a peer and returns the answer.
    #[must_use]
    pub fn handle_message(&mut self, message: Message, now: Time) -> Message {
        match message {
            Message::Push(records) => {
                self.merge_and_push(records, now);
                Message::Done
            }
            Message::Hash(hash) if hash == self.store.hash() => Message::Done,
            Message::Hash(_) => Message::Buckets(self.store.bucket_hashes()),
            Message::Entries(buckets, versions) => {
                let (newer, wanted) = self.store.diff(&buckets, &versions);
                Message::Delta(newer, wanted)
            }
            Message::Buckets(_) | Message::Delta(..) | Message::Done => Message::Done,
        }
    }

    /// Handles the answer of a peer, or `None` if there was none within [`CALL_TIMEOUT`].
    pub fn handle_answer(&mut self, to: &str, answer: Option<Message>, now: Time) {
        let Some(answer) = answer else {
            self.handle_missed_call(to, now);
            return;
        };
        self.missed_calls.retain(|missed| missed.address != to);
        match answer {
            Message::Buckets(theirs) => {
                let own = self.store.bucket_hashes();
                let differing = (0u8..)
                    .zip(own.iter().zip(&theirs))
                    .filter(|(_, (a, b))| a != b);
                let differing: Vec<_> = differing.map(|(bucket, _)| bucket).collect();
                let versions = self.store.versions(&differing);
                self.outbox.push(Envelope {
                    to: to.to_owned(),
                    message: Message::Entries(differing, versions),
                });
            }
            Message::Delta(records, wanted) => {
                self.synced = true;
                let wanted: Vec<_> = wanted
                    .iter()
                    .filter_map(|key| self.store.get(key).cloned())
                    .collect();
                if !wanted.is_empty() {
                    self.outbox.push(Envelope {
                        to: to.to_owned(),
                        message: Message::Push(wanted),
                    });
                }
                self.merge_and_push(records, now);
            }
            Message::Done | Message::Push(_) | Message::Hash(_) | Message::Entries(..) => {}
        }
    }

    /// Counts a call without an answer. A member that does not answer several direct calls
    /// in a row is suspected.
    fn handle_missed_call(&mut self, to: &str, now: Time) {
        let member = self
            .store
            .members()
            .find(|(_, member)| member.address == to && member.status.is_present())
            .map(|(name, _)| Key::Member(name.clone()));
        let Some(key) = member else {
            return;
        };
        let known = self
            .missed_calls
            .iter()
            .position(|missed| missed.address == to);
        let index = known.unwrap_or_else(|| {
            self.missed_calls.push(MissedCalls {
                address: to.to_owned(),
                count: 0,
            });
            self.missed_calls.len() - 1
        });
        self.missed_calls[index].count += 1;
        let count = self.missed_calls[index].count;
        if count >= MISSED_CALLS_UNTIL_SUSPECT {
            self.missed_calls.retain(|missed| missed.address != to);
            self.set_member_status(&key, Status::Suspect, now);
            // The suspected member is told, so that it can refute the suspicion before its removal.
            let record = self.store.get(&key).cloned();
            self.outbox.push(Envelope {
                to: to.to_owned(),
                message: Message::Push(record.into_iter().collect()),
            });
        } else {
            self.start_exchange(Some(to.to_owned()));
        }
    }
}

fn hash_name(name: &name::Instance) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&blake3::hash(name.as_str().as_bytes()).as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}
