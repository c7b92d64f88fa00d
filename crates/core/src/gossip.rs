//! Merged state of one failure domain: members, upstreams, restrictions and
//! crash evidence.
//!
//! A new record is pushed to three random peers, which push on what was new to
//! them (Demers et al., 1987). An exchange of hashes with one random peer every
//! second repairs gaps and probes that peer.

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
/// Interval of the exchange of hashes.
pub const EXCHANGE_INTERVAL: Span = Span::from_secs(1);
/// Time limit of a call between two instances of one failure domain.
pub const CALL_TIMEOUT: Span = Span::from_millis(300);
/// Time after which a suspected member is removed.
pub const SUSPICION_TIMEOUT: Span = Span::from_secs(1);
/// Time until a new record is pushed to one more peer. One round of pushes alone
/// misses about one member in twenty.
pub const SECOND_PUSH_DELAY: Span = Span::from_millis(300);
/// Interval of attempts to reach members that were removed.
pub const REJOIN_INTERVAL: Span = Span::from_secs(3);
/// How long a tombstone is kept. It is exchanged for half as long, so that no
/// peer gets one again that it has dropped.
pub const TOMBSTONE_RETENTION: Span = Span::from_secs(600);
/// Missed calls in a row after which a member is suspected.
const MISSES: u32 = 4;

plain! {
    /// A message to a peer or its answer.
    #[derive(Eq)]
    pub enum Message {
        /// New records. Answered with [`Message::Done`].
        Push(Vec<Record>),
        /// Hash of all records. Answered with `Done` or `Buckets`.
        Hash(u64),
        /// Hashes of the records per bucket.
        Buckets(Vec<u64>),
        /// Versions of all records in some buckets. Answered with `Delta`.
        Entries(Vec<u8>, Vec<RecordVersion>),
        /// Records that the asker lacks, and keys that the answerer lacks.
        Delta(Vec<Record>, Vec<Key>),
        /// Nothing to send.
        Done,
    }

    /// A message to send.
    #[derive(Eq)]
    pub struct Envelope {
        /// Address of the peer.
        pub to: String,
        /// The message.
        pub message: Message,
    }
}

#[derive(Clone, Debug)]
struct Probe {
    address: String,
    misses: u32,
}

/// The merged state of an instance and what it has to send.
#[derive(Clone, Debug)]
pub struct Gossip {
    me: name::Instance,
    store: Store,
    rng: ChaCha8Rng,
    seeds: Vec<String>,
    outbox: Vec<Envelope>,
    fresh: Vec<(Time, Record)>,
    probes: Vec<Probe>,
    suspects: Vec<(Time, Key)>,
    exchange_at: Time,
    rejoin_at: Time,
    synced: bool,
}

impl Gossip {
    /// Returns the state of an instance that knows the addresses of some peers.
    #[must_use]
    pub fn new(me: name::Instance, boot: u64, member: Member, seeds: Vec<String>) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(boot ^ hash_name(&me));
        let first = Span::from_millis(rng.random_range(0..EXCHANGE_INTERVAL.as_millis()));
        let synced = seeds.iter().all(|seed| *seed == member.address);
        let mut gossip = Self {
            me: me.clone(),
            store: Store::default(),
            rng,
            seeds,
            outbox: Vec::new(),
            fresh: Vec::new(),
            probes: Vec::new(),
            suspects: Vec::new(),
            exchange_at: Time::ZERO + first,
            rejoin_at: Time::ZERO,
            synced,
        };
        gossip.store.merge(
            Record {
                key: Key::Member(me),
                incarnation: boot,
                sequence: 0,
                body: Body::Member(member),
            },
            Time::ZERO,
        );
        gossip
    }

    /// Returns the records.
    #[must_use]
    pub const fn store(&self) -> &Store {
        &self.store
    }

    /// Returns whether the records of a peer have been seen, or there is none.
    #[must_use]
    pub const fn is_synced(&self) -> bool {
        self.synced
    }

    /// Takes the messages to send.
    pub fn take_outbox(&mut self) -> Vec<Envelope> {
        std::mem::take(&mut self.outbox)
    }

    /// Replaces the body of a record that this instance may change, with the
    /// next sequence number. Nothing is sent if the body is the same.
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
        self.learn(vec![record], now);
    }

    /// Changes this instance's own status.
    pub fn set_status(&mut self, status: Status, now: Time) {
        let key = Key::Member(self.me.clone());
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

    /// Removes records for good, such as lifted restrictions.
    pub fn purge(&mut self, keys: &[Key]) {
        self.store.purge(keys);
    }

    /// Merges records and pushes on what was new.
    fn learn(&mut self, records: Vec<Record>, now: Time) {
        let mut new = Vec::new();
        for record in records {
            if self.store.merge(record.clone(), now) {
                self.watch(&record, now);
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
        self.fresh
            .extend(new.iter().map(|r| (now + SECOND_PUSH_DELAY, r.clone())));
        self.push(&new, PUSH_FANOUT);
    }

    fn watch(&mut self, record: &Record, now: Time) {
        self.suspects.retain(|(_, key)| *key != record.key);
        if let Body::Member(member) = &record.body
            && member.status == Status::Suspect
        {
            self.suspects
                .push((now + SUSPICION_TIMEOUT, record.key.clone()));
        }
    }

    /// Returns a newer own record if a peer holds this instance for failed.
    fn refutation(&self) -> Option<Record> {
        let record = self.store.get(&Key::Member(self.me.clone()))?;
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

    /// Returns the addresses of all other members that are not removed.
    fn peers(&self) -> Vec<String> {
        self.store
            .members()
            .filter(|(name, member)| **name != self.me && member.status != Status::Gone)
            .map(|(_, member)| member.address.clone())
            .collect()
    }

    /// Does what is due: exchanges, second pushes and removals.
    pub fn tick(&mut self, now: Time) {
        self.store.expire(now);
        self.remove_suspects(now);
        let (due, later) = std::mem::take(&mut self.fresh)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.fresh = later;
        let due: Vec<_> = due
            .into_iter()
            .map(|(_, record): (Time, _)| record)
            .collect();
        if !due.is_empty() {
            self.push(&due, 1);
        }
        if self.exchange_at <= now {
            self.exchange_at = now + EXCHANGE_INTERVAL;
            let peer = self.peers().into_iter().choose(&mut self.rng);
            self.exchange(peer);
        }
        if self.rejoin_at <= now {
            self.rejoin_at = now
                + if self.synced {
                    REJOIN_INTERVAL
                } else {
                    EXCHANGE_INTERVAL
                };
            let lost = self.lost().into_iter().choose(&mut self.rng);
            self.exchange(lost);
        }
    }

    fn exchange(&mut self, peer: Option<String>) {
        if let Some(to) = peer {
            let message = Message::Hash(self.store.hash());
            self.outbox.push(Envelope { to, message });
        }
    }

    /// Returns addresses at which an instance could be that is not a member.
    fn lost(&self) -> Vec<String> {
        let peers = self.peers();
        let gone = self
            .store
            .members()
            .filter(|(_, member)| member.status == Status::Gone)
            .map(|(_, member)| &member.address);
        let own = self.store.member(&self.me).map(|m| m.address.as_str());
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
            self.mark(&key, Status::Gone, now);
        }
    }

    /// Records that a member is suspected or removed, at its own sequence.
    fn mark(&mut self, key: &Key, status: Status, now: Time) {
        let Some(record) = self.store.get(key).cloned() else {
            return;
        };
        if let Body::Member(member) = &record.body {
            let body = Body::Member(Member {
                status,
                ..member.clone()
            });
            self.learn(vec![Record { body, ..record }], now);
        }
    }

    /// Answers the message of a peer.
    #[must_use]
    pub fn handle_message(&mut self, message: Message, now: Time) -> Message {
        match message {
            Message::Push(records) => {
                self.learn(records, now);
                Message::Done
            }
            Message::Hash(hash) if hash == self.store.hash() => Message::Done,
            Message::Hash(_) => Message::Buckets(self.store.buckets()),
            Message::Entries(buckets, entries) => {
                let (newer, wanted) = self.store.diff(&buckets, &entries);
                Message::Delta(newer, wanted)
            }
            Message::Buckets(_) | Message::Delta(..) | Message::Done => Message::Done,
        }
    }

    /// Records the answer of a peer, or `None` if none came in time.
    pub fn handle_answer(&mut self, to: &str, answer: Option<Message>, now: Time) {
        let Some(answer) = answer else {
            self.missed(to, now);
            return;
        };
        self.probes.retain(|probe| probe.address != to);
        match answer {
            Message::Buckets(theirs) => {
                let mine = self.store.buckets();
                let differ = (0u8..)
                    .zip(mine.iter().zip(&theirs))
                    .filter(|(_, (a, b))| a != b);
                let differ: Vec<_> = differ.map(|(at, _)| at).collect();
                let entries = self.store.versions(&differ);
                self.outbox.push(Envelope {
                    to: to.to_owned(),
                    message: Message::Entries(differ, entries),
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
                self.learn(records, now);
            }
            Message::Done | Message::Push(_) | Message::Hash(_) | Message::Entries(..) => {}
        }
    }

    /// Counts a missed call. A member that misses several direct calls in a row
    /// is suspected.
    fn missed(&mut self, to: &str, now: Time) {
        let member = self
            .store
            .members()
            .find(|(_, member)| member.address == to && member.status.is_present())
            .map(|(name, _)| Key::Member(name.clone()));
        let Some(key) = member else {
            return;
        };
        let known = self.probes.iter().position(|p| p.address == to);
        let at = known.unwrap_or_else(|| {
            self.probes.push(Probe {
                address: to.to_owned(),
                misses: 0,
            });
            self.probes.len() - 1
        });
        self.probes[at].misses += 1;
        let misses = self.probes[at].misses;
        if misses >= MISSES {
            self.probes.retain(|probe| probe.address != to);
            self.mark(&key, Status::Suspect, now);
            // The member itself is told, so that it can object in time.
            let record = self.store.get(&key).cloned();
            self.outbox.push(Envelope {
                to: to.to_owned(),
                message: Message::Push(record.into_iter().collect()),
            });
        } else {
            self.exchange(Some(to.to_owned()));
        }
    }
}

fn hash_name(name: &name::Instance) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&blake3::hash(name.as_str().as_bytes()).as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}
