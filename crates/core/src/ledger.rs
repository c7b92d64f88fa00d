//! Bills of requests.
//!
//! The instance that runs a request opens a record of it at a witness, which is
//! another instance. After the request it stores the final bill on the disks of
//! the control replicas and closes the record. When an instance crashes, its
//! witnesses settle the records that are still open.

use std::collections::BTreeMap;

use crate::{
    name,
    time::{Span, Time},
};

plain! {
    /// Usage of one version or plain service by one attempt.
    #[derive(Eq)]
    pub struct Part {
        /// The version, or `None` for a plain service.
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
        /// The request id.
        pub request: name::Request,
        /// One part for each attempt that used a version or plain service.
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

/// Number of control replicas that must have a bill on disk before it counts as settled.
pub const SETTLED_DISKS: usize = 2;
/// Interval at which unanswered messages about bills are repeated.
pub const REPEAT_INTERVAL: Span = Span::from_millis(500);
/// Time for which a witness remembers closed records, so that a delayed message
/// does not open one again.
pub const CLOSED_RETENTION: Span = Span::from_secs(60);
/// Interval at which an instance confirms its open records to their witnesses.
pub const REFRESH_INTERVAL: Span = Span::from_secs(10);
/// Time since the last confirmation after which a witness drops the record of a
/// live instance. A delayed message can open a record that has moved to another
/// witness; nobody confirms or closes it there.
pub const MAX_UNCONFIRMED_AGE: Span = Span::from_secs(60);
/// Maximum number of bills in one message.
pub const MAX_BATCH: usize = 256;

plain! {
    /// Key of a bill.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct Key {
        /// The client account.
        pub account: name::Account,
        /// The request id.
        pub request: name::Request,
    }

    /// Message to send for [`PendingBills`]. It is repeated until it is answered.
    #[derive(Eq)]
    pub enum Action {
        /// Opens, updates or confirms records at a witness.
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
            /// Keys of the records.
            keys: Vec<Key>,
        },
        /// Stores bills on the disk of a control replica.
        Put {
            /// Address of the control replica.
            replica: String,
            /// The bills.
            bills: Vec<Bill>,
        },
    }

    /// Counters of one instance. `admitted + inherited` equals `settled + open`.
    #[derive(Copy, Default, Eq)]
    pub struct Totals {
        /// Bills of requests that this process ran.
        pub admitted: u64,
        /// Bills of crashed instances that this process took over.
        pub inherited: u64,
        /// Bills that are stored on [`SETTLED_DISKS`] disks.
        pub settled: u64,
        /// Bills that are not yet stored on [`SETTLED_DISKS`] disks.
        pub open: u64,
    }
}

impl Bill {
    /// Returns the key of the bill.
    #[must_use]
    pub fn key(&self) -> Key {
        Key {
            account: self.account.clone(),
            request: self.request.clone(),
        }
    }

    /// Returns whether this bill replaces another one of the same request.
    ///
    /// The bill with more usage wins, because a witness knows only a part of
    /// what the instance that ran the request knows. The order is the same on
    /// all instances.
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

/// A bill that is not yet settled.
#[derive(Clone, Debug)]
struct Entry {
    bill: Bill,
    /// Whether the request has ended and the bill is complete.
    is_final: bool,
    witness: Option<name::Instance>,
    /// Whether the witness has acknowledged the present bill.
    is_witnessed: bool,
    /// When the record is confirmed to the witness again.
    refresh_at: Time,
    /// Addresses of the control replicas that have the bill on disk.
    stored_on: Vec<String>,
}

/// Bills of an instance that are not yet settled, with the messages that settle them.
#[derive(Clone, Debug, Default)]
pub struct PendingBills {
    replicas: Vec<String>,
    entries: BTreeMap<Key, Entry>,
    /// Records whose witness has not yet acknowledged the close.
    closing: Vec<(name::Instance, Key)>,
    totals: Totals,
    repeat_at: Time,
}

impl PendingBills {
    /// Creates an empty set of bills that are stored at the control replicas with these addresses.
    #[must_use]
    pub fn new(replicas: Vec<String>) -> Self {
        Self {
            replicas,
            ..Self::default()
        }
    }

    /// Returns the counters.
    #[must_use]
    pub const fn totals(&self) -> Totals {
        self.totals
    }

    /// Returns whether the witness has acknowledged the record.
    #[must_use]
    pub fn is_witnessed(&self, key: &Key) -> bool {
        self.entries
            .get(key)
            .is_some_and(|entry| entry.is_witnessed)
    }

    /// Opens a record at a witness. Without a witness, a crash of this instance
    /// loses the bill.
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
        is_final: bool,
    ) -> Vec<Action> {
        let key = bill.key();
        self.totals.open += 1;
        let entry = Entry {
            bill,
            is_final,
            witness,
            is_witnessed: false,
            refresh_at: Time::ZERO,
            stored_on: Vec::new(),
        };
        let actions = entry.actions(&self.replicas);
        self.entries.insert(key, entry);
        actions
    }

    /// Replaces an open record by its final bill.
    pub fn settle(&mut self, bill: Bill) -> Vec<Action> {
        let Some(entry) = self.entries.get_mut(&bill.key()) else {
            // No record was opened, because the request needed none before its answer.
            self.totals.admitted += 1;
            return self.insert(bill, None, true);
        };
        if entry.is_final {
            return Vec::new();
        }
        entry.bill = bill;
        entry.is_final = true;
        entry.is_witnessed = false;
        entry.actions(&self.replicas)
    }

    /// Handles the acknowledgement of a witness that has exactly these bills.
    pub fn acknowledge_open(&mut self, witness: &name::Instance, bills: &[Bill], now: Time) {
        for bill in bills {
            if let Some(entry) = self.entries.get_mut(&bill.key())
                && entry.witness.as_ref() == Some(witness)
                && entry.bill == *bill
            {
                entry.is_witnessed = true;
                entry.refresh_at = now + REFRESH_INTERVAL;
            }
        }
    }

    /// Handles the acknowledgement of a replica that has these bills on disk.
    pub fn acknowledge_put(&mut self, replica: &str, bills: &[Bill]) -> Vec<Action> {
        let mut actions = Vec::new();
        for bill in bills {
            let key = bill.key();
            let Some(entry) = self.entries.get_mut(&key) else {
                continue;
            };
            let is_duplicate = entry.stored_on.iter().any(|address| address == replica);
            if entry.bill != *bill || !entry.is_final || is_duplicate {
                continue;
            }
            entry.stored_on.push(replica.to_owned());
            if entry.stored_on.len() < SETTLED_DISKS {
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

    /// Handles the acknowledgement of a witness that closed records.
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
        entry.is_witnessed = false;
        entry.actions(&[])
    }

    /// Moves the records of a witness that is lost to another one.
    pub fn witness_lost(
        &mut self,
        lost: &name::Instance,
        next: Option<&name::Instance>,
    ) -> Vec<Action> {
        self.closing.retain(|(witness, _)| witness != lost);
        let mut actions = Vec::new();
        for entry in self.entries.values_mut() {
            if entry.witness.as_ref() == Some(lost) {
                entry.witness = next.cloned();
                entry.is_witnessed = false;
                actions.extend(entry.actions(&[]));
            }
        }
        actions
    }

    /// Returns the messages that are due for repetition or confirmation, in batches.
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
                && (!entry.is_witnessed || entry.refresh_at <= now)
            {
                opens.entry(witness).or_default().push(entry.bill.clone());
            }
            for replica in entry.missing_replicas(&self.replicas) {
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

/// Splits each list into batches of at most [`MAX_BATCH`] elements.
fn batches<K, V>(lists: BTreeMap<K, Vec<V>>) -> impl Iterator<Item = (K, Vec<V>)>
where
    K: Copy,
    V: Clone,
{
    lists.into_iter().flat_map(|(receiver, list)| {
        let batches: Vec<_> = list.chunks(MAX_BATCH).map(<[V]>::to_vec).collect();
        batches.into_iter().map(move |batch| (receiver, batch))
    })
}

impl Entry {
    /// Returns the replicas that have not yet stored the final bill.
    fn missing_replicas<'a>(&self, replicas: &'a [String]) -> impl Iterator<Item = &'a String> {
        replicas
            .iter()
            .filter(|replica| self.is_final && !self.stored_on.contains(replica))
    }

    /// Returns the first messages to the witness and the replicas.
    fn actions(&self, replicas: &[String]) -> Vec<Action> {
        let open = self.witness.clone().map(|witness| Action::Open {
            witness,
            bills: vec![self.bill.clone()],
        });
        let put = self.missing_replicas(replicas).map(|replica| Action::Put {
            replica: replica.clone(),
            bills: vec![self.bill.clone()],
        });
        open.into_iter().chain(put).collect()
    }
}

/// An open record at a witness.
#[derive(Clone, Debug)]
struct Record {
    /// The instance that runs the request.
    origin: name::Instance,
    /// Number of the instance's process.
    boot: u64,
    bill: Bill,
    confirmed_at: Time,
}

/// Open records that an instance keeps for other instances.
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
            let is_superseded = self
                .open
                .get(&key)
                .is_some_and(|record| record.bill.supersedes(&bill));
            if is_superseded || self.closed.contains_key(&key) {
                continue;
            }
            let record = Record {
                origin: origin.clone(),
                boot,
                bill,
                confirmed_at: now,
            };
            self.open.insert(key, record);
        }
    }

    /// Closes records of settled bills.
    pub fn close(&mut self, keys: &[Key], now: Time) {
        self.closed
            .retain(|_, closed_at| now.since(*closed_at) < CLOSED_RETENTION);
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

    /// Removes and returns the bills of processes that no longer exist.
    ///
    /// `current_boot` returns the number of the current process of an instance
    /// that is a member. Called every second, because a message of a process
    /// can arrive after its end.
    pub fn take_orphaned<F>(&mut self, current_boot: F, now: Time) -> Vec<Bill>
    where
        F: Fn(&name::Instance) -> Option<u64>,
    {
        let orphans = self
            .open
            .extract_if(.., |_, record| {
                current_boot(&record.origin) != Some(record.boot)
            })
            .map(|(_, record)| record.bill)
            .collect();
        self.open
            .retain(|_, record| now.since(record.confirmed_at) < MAX_UNCONFIRMED_AGE);
        orphans
    }
}
