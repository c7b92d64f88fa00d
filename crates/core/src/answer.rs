//! Stored answers of model requests with an idempotency key.
//!
//! The instance that runs a request records its answer and replicates it to the
//! key's home, the first instance in rendezvous order. A repeated request that
//! reaches any instance reads the replica from its start. A key belongs to one
//! client account, so no other account can read the answer.

use std::collections::BTreeMap;

use crate::{
    claim, name, request, slot,
    time::{Span, Time},
};

/// Retention of a complete answer.
pub const RETENTION: Span = Span::from_secs(120);
/// Time without a new chunk after which an incomplete answer is dropped.
pub const STALL_TIMEOUT: Span = Span::from_secs(30);

plain! {
    /// A part of an answer. The request path defines the encoding of its content.
    #[derive(Eq)]
    pub struct Chunk {
        /// Index in the answer, from 0.
        pub at: u64,
        /// The encoded content.
        pub content: Vec<u8>,
        /// Whether the answer ends with it.
        pub last: bool,
    }

    /// Chunks to replicate to the home of an answer's key.
    #[derive(Eq)]
    pub struct Update {
        /// The key of the answer.
        pub key: claim::Key,
        /// Digest of the request.
        pub fingerprint: request::Fingerprint,
        /// The instance that runs the request.
        pub runner: name::Instance,
        /// Consecutive chunks, in order.
        #[serde(rename = "pieces")]
        pub chunks: Vec<Chunk>,
    }

    /// Whether a request runs or reads a stored answer.
    #[derive(Eq)]
    pub enum Admission {
        /// It is the first request with its key and runs.
        Run,
        /// The home has the answer, complete or still growing, and the request reads it there.
        Follow,
        /// The key was used with another request body.
        Reused,
    }

    /// The result of reading a stored answer.
    #[derive(Eq)]
    pub enum Contents {
        /// Chunks from the requested index on; more may follow unless one is the last.
        #[serde(rename = "Pieces")]
        Chunks(Vec<Chunk>),
        /// There is no answer, or it was dropped.
        Gone,
    }
}

/// A stored answer.
#[derive(Clone, Debug)]
struct Entry {
    fingerprint: request::Fingerprint,
    runner: name::Instance,
    chunks: Vec<Chunk>,
    bytes: usize,
    /// Time of the last new chunk.
    updated: Time,
    /// The home and the number of chunks that it has acknowledged.
    acknowledged: Option<(name::Instance, u64)>,
}

impl Entry {
    fn is_complete(&self) -> bool {
        self.chunks.last().is_some_and(|chunk| chunk.last)
    }
}

/// The stored answers of an instance.
#[derive(Clone, Debug)]
pub struct Store {
    instance: name::Instance,
    max_bytes: usize,
    bytes: usize,
    entries: BTreeMap<claim::Key, Entry>,
}

/// Returns the home of a key: the instance to which its answer is replicated.
pub fn home<'a, I>(key: &claim::Key, members: I) -> Option<&'a name::Instance>
where
    I: IntoIterator<Item = &'a name::Instance>,
{
    slot::rendezvous(&format!("{}\0{}", key.account, key.key), members)
}

impl Store {
    /// Returns an empty store of `instance` for at most `max_bytes` of content.
    #[must_use]
    pub const fn new(instance: name::Instance, max_bytes: usize) -> Self {
        Self {
            instance,
            max_bytes,
            bytes: 0,
            entries: BTreeMap::new(),
        }
    }

    /// Returns the bytes of stored content.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Decides, at the key's home, whether a request that `runner` received runs.
    pub fn begin(
        &mut self,
        key: &claim::Key,
        fingerprint: request::Fingerprint,
        runner: &name::Instance,
        now: Time,
    ) -> Admission {
        match self.entries.get(key) {
            Some(entry) if entry.fingerprint != fingerprint => Admission::Reused,
            Some(_) => Admission::Follow,
            None => {
                self.insert(key.clone(), fingerprint, runner.clone(), now);
                Admission::Run
            }
        }
    }

    /// Inserts an empty answer, or returns the one that exists.
    fn insert(
        &mut self,
        key: claim::Key,
        fingerprint: request::Fingerprint,
        runner: name::Instance,
        now: Time,
    ) -> &mut Entry {
        self.entries.entry(key).or_insert(Entry {
            fingerprint,
            runner,
            chunks: Vec::new(),
            bytes: 0,
            updated: now,
            acknowledged: None,
        })
    }

    /// Starts recording an answer on the instance that runs the request.
    pub fn record(&mut self, key: claim::Key, fingerprint: request::Fingerprint, now: Time) {
        let runner = self.instance.clone();
        self.insert(key, fingerprint, runner, now);
    }

    /// Appends a chunk to an answer that this instance records.
    pub fn append(&mut self, key: &claim::Key, content: Vec<u8>, last: bool, now: Time) {
        let Some(entry) = self.entries.get(key) else {
            return;
        };
        let at = entry.chunks.len() as u64;
        let chunk = Chunk { at, content, last };
        self.add_chunks(key, vec![chunk], now);
    }

    /// Adds consecutive chunks to an answer and evicts answers if there are too many bytes.
    fn add_chunks(&mut self, key: &claim::Key, chunks: Vec<Chunk>, now: Time) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        for chunk in chunks {
            // Skips repeated chunks, and chunks after a gap, which are sent again until acknowledged.
            if chunk.at == entry.chunks.len() as u64 && !entry.is_complete() {
                entry.bytes += chunk.content.len();
                self.bytes += chunk.content.len();
                entry.chunks.push(chunk);
                entry.updated = now;
            }
        }
        self.evict();
    }

    /// Merges an update from the instance that runs the request. Returns the
    /// number of chunks to acknowledge, 0 if the key belongs to another request.
    pub fn merge(&mut self, update: Update, now: Time) -> u64 {
        let Update {
            key,
            fingerprint,
            runner,
            chunks,
        } = update;
        let conflicts = self
            .entries
            .get(&key)
            .is_some_and(|e| e.runner != runner || e.fingerprint != fingerprint);
        if conflicts {
            return 0;
        }
        self.insert(key.clone(), fingerprint, runner, now);
        self.add_chunks(&key, chunks, now);
        self.entries.get(&key).map_or(0, |e| e.chunks.len() as u64)
    }

    /// Returns the updates to send. `home` returns the home of a key; if the home
    /// has changed, the whole answer is sent again.
    pub fn pending_updates<F>(&mut self, home: F) -> Vec<(name::Instance, Update)>
    where
        F: Fn(&claim::Key) -> Option<name::Instance>,
    {
        let mut updates = Vec::new();
        for (key, entry) in &mut self.entries {
            let target = home(key).filter(|home| *home != self.instance);
            let (Some(target), true) = (target, entry.runner == self.instance) else {
                continue;
            };
            let sent = match &entry.acknowledged {
                Some((to, sent)) if *to == target => *sent,
                _ => 0,
            };
            let from = usize::try_from(sent).unwrap_or(usize::MAX);
            if let Some(chunks) = entry.chunks.get(from..).filter(|c| !c.is_empty()) {
                let update = Update {
                    key: key.clone(),
                    fingerprint: entry.fingerprint,
                    runner: self.instance.clone(),
                    chunks: chunks.to_vec(),
                };
                updates.push((target, update));
            }
        }
        updates
    }

    /// Records that `home` has the first `chunks` chunks.
    pub fn acknowledge(&mut self, key: &claim::Key, home: &name::Instance, chunks: u64) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.acknowledged = Some((home.clone(), chunks));
        }
    }

    /// Returns the chunks of an answer from index `from` on.
    #[must_use]
    pub fn read(&self, key: &claim::Key, from: u64) -> Contents {
        let from = usize::try_from(from).unwrap_or(usize::MAX);
        self.entries.get(key).map_or(Contents::Gone, |entry| {
            Contents::Chunks(entry.chunks.get(from..).unwrap_or_default().to_vec())
        })
    }

    /// Removes an answer whose request failed on `runner`, so that a repeated request runs again.
    pub fn abandon(&mut self, key: &claim::Key, runner: &name::Instance) {
        if self.entries.get(key).is_some_and(|e| e.runner == *runner) {
            self.remove(key);
        }
    }

    fn remove(&mut self, key: &claim::Key) {
        if let Some(entry) = self.entries.remove(key) {
            self.bytes -= entry.bytes;
        }
    }

    /// Removes complete answers after [`RETENTION`], and incomplete ones that got no new chunk for
    /// [`STALL_TIMEOUT`].
    pub fn expire(&mut self, now: Time) {
        let expired: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, entry)| {
                let limit = if entry.is_complete() {
                    RETENTION
                } else {
                    STALL_TIMEOUT
                };
                now.since(entry.updated) >= limit
            })
            .map(|(key, _)| key.clone())
            .collect();
        for key in expired {
            self.remove(&key);
        }
    }

    /// Removes the oldest complete answers, then the oldest incomplete ones, while
    /// the store holds too many bytes.
    fn evict(&mut self) {
        while self.bytes > self.max_bytes {
            let oldest = self
                .entries
                .iter()
                .min_by_key(|(_, entry)| (!entry.is_complete(), entry.updated))
                .map(|(key, _)| key.clone());
            let Some(key) = oldest else {
                return;
            };
            self.remove(&key);
        }
    }
}
