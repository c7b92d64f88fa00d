//! Bills of requests.

use std::collections::BTreeMap;

use crate::{
    name,
    time::{Span, Time},
};

plain! {
    /// Use of one version or service by one attempt.
    #[derive(Eq)]
    pub struct Part {
        /// The version; `None` for a plain service.
        pub version: Option<name::Version>,
        /// Prompt tokens.
        pub prompt_tokens: u64,
        /// Answer tokens.
        pub answer_tokens: u64,
        /// Cost in millionths of the accounting unit.
        pub cost: u64,
    }

    /// The bill of one request, keyed by client account and request id.
    #[derive(Eq)]
    pub struct Bill {
        /// The client account.
        pub account: name::Account,
        /// The request.
        pub request: name::Request,
        /// One part for each version that worked on the request.
        pub parts: Vec<Part>,
    }
}

impl Bill {
    /// Returns the total cost in millionths of the accounting unit.
    #[must_use]
    pub fn cost(&self) -> u64 {
        self.parts.iter().map(|part| part.cost).sum()
    }
}

/// Control replicas that must have a bill on disk before it counts as settled.
pub const SETTLED_DISKS: usize = 2;
/// Interval at which messages about bills are repeated until they are answered.
pub const REPEAT_INTERVAL: Span = Span::from_millis(500);
/// How long a witness remembers records that were closed, so that a late
/// message does not open one again.
pub const CLOSED_RETENTION: Span = Span::from_secs(60);
/// Interval at which an instance confirms its open records to their witness.
pub const REFRESH_INTERVAL: Span = Span::from_secs(10);
/// Age at which a witness drops a record that a living instance does not
/// confirm. A late message can open one that was moved to another witness.
pub const MAX_UNCONFIRMED_AGE: Span = Span::from_secs(60);
/// Most bills in one message.
pub const MAX_BATCH: usize = 256;

plain! {
    /// What a bill is keyed by.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct Key {
        /// The client account.
        pub account: name::Account,
        /// The request.
        pub request: name::Request,
    }

    /// A message that a book wants sent. It is repeated until it is answered.
    #[derive(Eq)]
    pub enum Action {
        /// Opens or updates records at a witness.
        Open {
            /// The witness.
            witness: name::Instance,
            /// The bills with the usage known so far.
            bills: Vec<Bill>,
        },
        /// Closes records at a witness.
        Close {
            /// The witness.
            witness: name::Instance,
            /// The records.
            keys: Vec<Key>,
        },
        /// Stores bills on the disk of a control replica.
        Put {
            /// Address of the replica.
            replica: String,
            /// The bills.
            bills: Vec<Bill>,
        },
    }

    /// Counts of one instance. `admitted + inherited` is `settled + open`.
    #[derive(Copy, Default, Eq)]
    pub struct Totals {
        /// Records that this process opened.
        pub admitted: u64,
        /// Records of crashed instances that this process settles.
        pub inherited: u64,
        /// Bills that are on [`SETTLED_DISKS`] disks.
        pub settled: u64,
        /// Records without a bill on [`SETTLED_DISKS`] disks.
        pub open: u64,
    }
}

impl Bill {
    /// Returns what the bill is keyed by.
    #[must_use]
    pub fn key(&self) -> Key {
        Key {
            account: self.account.clone(),
            request: self.request.clone(),
        }
    }

    /// Returns whether this bill stays when both are known for one request. The
    /// one with more usage does: a witness knows a part of what the instance
    /// that ran the request knows. The order is the same on all instances.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        let tokens = |part: &Part| part.prompt_tokens + part.answer_tokens;
        let rank = |bill: &Self| {
            let sum: u64 = bill.parts.iter().map(tokens).sum();
            (bill.cost(), sum, format!("{:?}", bill.parts))
        };
        rank(self) > rank(other)
    }
}

#[derive(Clone, Debug)]
struct Entry {
    bill: Bill,
    settled: bool,
    witness: Option<name::Instance>,
    witnessed: bool,
    refresh_at: Time,
    disks: Vec<String>,
}

/// The bills that an instance has to see through.
#[derive(Clone, Debug, Default)]
pub struct PendingBills {
    replicas: Vec<String>,
    entries: BTreeMap<Key, Entry>,
    closing: Vec<(name::Instance, Key)>,
    totals: Totals,
    repeat_at: Time,
}

impl PendingBills {
    /// Returns an empty book that stores bills at these control replicas.
    #[must_use]
    pub fn new(replicas: Vec<String>) -> Self {
        Self {
            replicas,
            ..Self::default()
        }
    }

    /// Returns the counts.
    #[must_use]
    pub const fn totals(&self) -> Totals {
        self.totals
    }

    /// Returns whether a witness has the record.
    #[must_use]
    pub fn is_witnessed(&self, key: &Key) -> bool {
        self.entries.get(key).is_some_and(|entry| entry.witnessed)
    }

    /// Opens a record at a witness. Without a witness, a crash of this instance
    /// loses it.
    pub fn open(&mut self, bill: Bill, witness: Option<name::Instance>) -> Vec<Action> {
        let key = bill.key();
        if self.entries.contains_key(&key) {
            return Vec::new();
        }
        self.totals.admitted += 1;
        self.insert(bill, witness, false)
    }

    /// Takes over the bill of a crashed instance.
    pub fn inherit(&mut self, bill: Bill) -> Vec<Action> {
        if self.entries.contains_key(&bill.key()) {
            return Vec::new();
        }
        self.totals.inherited += 1;
        self.insert(bill, None, true)
    }

    fn insert(
        &mut self,
        bill: Bill,
        witness: Option<name::Instance>,
        settled: bool,
    ) -> Vec<Action> {
        let key = bill.key();
        self.totals.open += 1;
        let entry = Entry {
            bill,
            settled,
            witness,
            witnessed: false,
            refresh_at: Time::ZERO,
            disks: Vec::new(),
        };
        let actions = entry.actions(&self.replicas);
        self.entries.insert(key, entry);
        actions
    }

    /// Replaces an open record by its final bill.
    pub fn settle(&mut self, bill: Bill) -> Vec<Action> {
        let Some(entry) = self.entries.get_mut(&bill.key()) else {
            // The request needed no record before its answer.
            self.totals.admitted += 1;
            return self.insert(bill, None, true);
        };
        if entry.settled {
            return Vec::new();
        }
        entry.bill = bill;
        entry.settled = true;
        entry.witnessed = false;
        entry.actions(&self.replicas)
    }

    /// Records that a witness has exactly these bills.
    pub fn acknowledge_open(&mut self, witness: &name::Instance, bills: &[Bill], now: Time) {
        for bill in bills {
            if let Some(entry) = self.entries.get_mut(&bill.key())
                && entry.witness.as_ref() == Some(witness)
                && entry.bill == *bill
            {
                entry.witnessed = true;
                entry.refresh_at = now + REFRESH_INTERVAL;
            }
        }
    }

    /// Records that a replica has bills on disk.
    pub fn acknowledge_put(&mut self, replica: &str, bills: &[Bill]) -> Vec<Action> {
        let mut actions = Vec::new();
        for bill in bills {
            let key = bill.key();
            let Some(entry) = self.entries.get_mut(&key) else {
                continue;
            };
            let counted = entry.disks.iter().any(|disk| disk == replica);
            if entry.bill != *bill || !entry.settled || counted {
                continue;
            }
            entry.disks.push(replica.to_owned());
            if entry.disks.len() < SETTLED_DISKS {
                continue;
            }
            let witness = entry.witness.take();
            self.entries.remove(&key);
            self.totals.open -= 1;
            self.totals.settled += 1;
            if let Some(witness) = witness {
                self.closing.push((witness.clone(), key.clone()));
                let keys = vec![key];
                actions.push(Action::Close { witness, keys });
            }
        }
        actions
    }

    /// Records that a witness closed records.
    pub fn acknowledge_close(&mut self, witness: &name::Instance, keys: &[Key]) {
        self.closing
            .retain(|(other, key)| other != witness || !keys.contains(key));
    }

    /// Moves one record to another witness.
    pub fn reassign_witness(&mut self, key: &Key, next: Option<name::Instance>) -> Vec<Action> {
        let Some(entry) = self.entries.get_mut(key) else {
            return Vec::new();
        };
        entry.witness = next;
        entry.witnessed = false;
        entry.actions(&[])
    }

    /// Moves the records of a witness that is gone to another one.
    pub fn witness_lost(
        &mut self,
        gone: &name::Instance,
        next: Option<&name::Instance>,
    ) -> Vec<Action> {
        self.closing.retain(|(witness, _)| witness != gone);
        let mut actions = Vec::new();
        for entry in self.entries.values_mut() {
            if entry.witness.as_ref() == Some(gone) {
                entry.witness = next.cloned();
                entry.witnessed = false;
                actions.extend(entry.actions(&[]));
            }
        }
        actions
    }

    /// Returns all messages that have not been answered, in batches.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        if now < self.repeat_at {
            return Vec::new();
        }
        self.repeat_at = now + REPEAT_INTERVAL;
        let mut opens: BTreeMap<&name::Instance, Vec<Bill>> = BTreeMap::new();
        let mut puts: BTreeMap<&String, Vec<Bill>> = BTreeMap::new();
        let mut closes: BTreeMap<&name::Instance, Vec<Key>> = BTreeMap::new();
        for entry in self.entries.values() {
            if let Some(witness) = &entry.witness
                && (!entry.witnessed || entry.refresh_at <= now)
            {
                opens.entry(witness).or_default().push(entry.bill.clone());
            }
            for replica in entry.lacking(&self.replicas) {
                puts.entry(replica).or_default().push(entry.bill.clone());
            }
        }
        for (witness, key) in &self.closing {
            closes.entry(witness).or_default().push(key.clone());
        }
        let open = batches(opens).map(|(witness, bills)| Action::Open {
            witness: witness.clone(),
            bills,
        });
        let put = batches(puts).map(|(replica, bills)| Action::Put {
            replica: replica.clone(),
            bills,
        });
        let close = batches(closes).map(|(witness, keys)| Action::Close {
            witness: witness.clone(),
            keys,
        });
        open.chain(put).chain(close).collect()
    }
}

fn batches<K, V>(lists: BTreeMap<K, Vec<V>>) -> impl Iterator<Item = (K, Vec<V>)>
where
    K: Copy,
    V: Clone,
{
    lists.into_iter().flat_map(|(to, list)| {
        let parts: Vec<_> = list.chunks(MAX_BATCH).map(<[V]>::to_vec).collect();
        parts.into_iter().map(move |part| (to, part))
    })
}

impl Entry {
    fn lacking<'a>(&self, replicas: &'a [String]) -> impl Iterator<Item = &'a String> {
        replicas
            .iter()
            .filter(|replica| self.settled && !self.disks.contains(replica))
    }

    fn actions(&self, replicas: &[String]) -> Vec<Action> {
        let open = self.witness.clone().map(|witness| Action::Open {
            witness,
            bills: vec![self.bill.clone()],
        });
        let put = self.lacking(replicas).map(|replica| Action::Put {
            replica: replica.clone(),
            bills: vec![self.bill.clone()],
        });
        open.into_iter().chain(put).collect()
    }
}

#[derive(Clone, Debug)]
struct Record {
    origin: name::Instance,
    boot: u64,
    bill: Bill,
    confirmed: Time,
}

/// The open records that an instance keeps for others.
#[derive(Clone, Debug, Default)]
pub struct Witness {
    open: BTreeMap<Key, Record>,
    closed: BTreeMap<Key, Time>,
}

impl Witness {
    /// Opens records, updates their usage or confirms them.
    pub fn open(&mut self, origin: &name::Instance, boot: u64, bills: Vec<Bill>, now: Time) {
        for bill in bills {
            let key = bill.key();
            let older = self
                .open
                .get(&key)
                .is_some_and(|record| record.bill.supersedes(&bill));
            if older || self.closed.contains_key(&key) {
                continue;
            }
            let record = Record {
                origin: origin.clone(),
                boot,
                bill,
                confirmed: now,
            };
            self.open.insert(key, record);
        }
    }

    /// Closes records whose bills are settled.
    pub fn close(&mut self, keys: &[Key], now: Time) {
        self.closed
            .retain(|_, closed| now.since(*closed) < CLOSED_RETENTION);
        for key in keys {
            self.open.remove(key);
            self.closed.insert(key.clone(), now);
        }
    }

    /// Returns the number of open records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Returns whether no record is open.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Takes the bills of processes that are gone. `present` gives the number
    /// of the present process of an instance that is a member. Called every
    /// second, because a message of a process can arrive after its end.
    pub fn take_orphaned<F>(&mut self, present: F, now: Time) -> Vec<Bill>
    where
        F: Fn(&name::Instance) -> Option<u64>,
    {
        let orphans = self
            .open
            .extract_if(.., |_, record| present(&record.origin) != Some(record.boot))
            .map(|(_, record)| record.bill)
            .collect();
        self.open
            .retain(|_, record| now.since(record.confirmed) < MAX_UNCONFIRMED_AGE);
        orphans
    }
}
