//! Stored answers of model requests with an idempotency key.
//!
//! The instance that runs a request records its answer and copies it to the
//! key's home, the first instance in rendezvous order. A repeated request that
//! reaches any instance reads the copy from its start. A key belongs to one
//! client account, so no other one can name an answer.

use std::collections::BTreeMap;

use crate::{
    claim, name, request, slot,
    time::{Span, Time},
};

/// How long a complete answer is kept.
pub const RETENTION: Span = Span::from_secs(120);
/// Time without a new piece after which an answer that is not complete counts
/// as broken off.
pub const STALL_TIMEOUT: Span = Span::from_secs(30);

plain! {
    /// A piece of an answer. Chunks are encoded by the request path.
    #[derive(Eq)]
    pub struct Chunk {
        /// Position in the answer, from 0.
        pub at: u64,
        /// Content.
        pub content: Vec<u8>,
        /// Whether the answer is complete with it.
        pub last: bool,
    }

    /// A copy of an answer or of its next pieces.
    #[derive(Eq)]
    pub struct Update {
        /// What the answer is keyed by.
        pub key: claim::Key,
        /// Digest of the request.
        pub fingerprint: request::Fingerprint,
        /// The instance that runs the request.
        pub runner: name::Instance,
        /// Chunks in order.
        #[serde(rename = "pieces")]
        pub chunks: Vec<Chunk>,
    }

    /// Whether a request runs or follows.
    #[derive(Eq)]
    pub enum Admission {
        /// It is the first one and runs.
        Run,
        /// An answer is recorded or being recorded; it is read from here.
        Follow,
        /// The key was used with another body.
        Reused,
    }

    /// What a reader gets.
    #[derive(Eq)]
    pub enum Contents {
        /// Chunks from the asked position on; more may come unless one is the last.
        #[serde(rename = "Pieces")]
        Chunks(Vec<Chunk>),
        /// The answer broke off, or there is none.
        Gone,
    }
}

#[derive(Clone, Debug)]
struct Entry {
    fingerprint: request::Fingerprint,
    runner: name::Instance,
    chunks: Vec<Chunk>,
    bytes: usize,
    touched: Time,
    copied: Option<(name::Instance, u64)>,
}

impl Entry {
    fn is_complete(&self) -> bool {
        self.chunks.last().is_some_and(|chunk| chunk.last)
    }
}

/// The answers that an instance keeps.
#[derive(Clone, Debug)]
pub struct Store {
    me: name::Instance,
    most_bytes: usize,
    bytes: usize,
    entries: BTreeMap<claim::Key, Entry>,
}

/// Returns the instance that a key's answer is copied to.
pub fn home<'a, I>(key: &claim::Key, members: I) -> Option<&'a name::Instance>
where
    I: IntoIterator<Item = &'a name::Instance>,
{
    slot::rendezvous(&format!("{}\0{}", key.account, key.key), members)
}

impl Store {
    /// Returns an empty store that keeps at most `most_bytes` of content.
    #[must_use]
    pub const fn new(me: name::Instance, most_bytes: usize) -> Self {
        Self {
            me,
            most_bytes,
            bytes: 0,
            entries: BTreeMap::new(),
        }
    }

    /// Returns the bytes of content that are kept.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Decides, at the key's home, whether a request of `runner` runs.
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
            touched: now,
            copied: None,
        })
    }

    /// Starts to record an answer on the instance that runs the request.
    pub fn record(&mut self, key: claim::Key, fingerprint: request::Fingerprint, now: Time) {
        let me = self.me.clone();
        self.insert(key, fingerprint, me, now);
    }

    /// Appends to an answer that this instance records.
    pub fn append(&mut self, key: &claim::Key, content: Vec<u8>, last: bool, now: Time) {
        let Some(entry) = self.entries.get(key) else {
            return;
        };
        let at = entry.chunks.len() as u64;
        let chunk = Chunk { at, content, last };
        self.add(key, vec![chunk], now);
    }

    fn add(&mut self, key: &claim::Key, chunks: Vec<Chunk>, now: Time) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        for chunk in chunks {
            // A repeated piece is there, and one after a gap comes again.
            if chunk.at == entry.chunks.len() as u64 && !entry.is_complete() {
                entry.bytes += chunk.content.len();
                self.bytes += chunk.content.len();
                entry.chunks.push(chunk);
                entry.touched = now;
            }
        }
        self.trim();
    }

    /// Merges a copy from the instance that runs the request. Returns the
    /// number of pieces that are here now.
    pub fn merge(&mut self, copy: Update, now: Time) -> u64 {
        let Update {
            key,
            fingerprint,
            runner,
            chunks,
        } = copy;
        let other = self
            .entries
            .get(&key)
            .is_some_and(|e| e.runner != runner || e.fingerprint != fingerprint);
        if other {
            return 0;
        }
        self.insert(key.clone(), fingerprint, runner, now);
        self.add(&key, chunks, now);
        self.entries.get(&key).map_or(0, |e| e.chunks.len() as u64)
    }

    /// Returns the copies to send. `home` gives the home of a key; the whole
    /// answer is copied again after it changed.
    pub fn pending_updates<F>(&mut self, home: F) -> Vec<(name::Instance, Update)>
    where
        F: Fn(&claim::Key) -> Option<name::Instance>,
    {
        let mut copies = Vec::new();
        for (key, entry) in &mut self.entries {
            let target = home(key).filter(|home| *home != self.me);
            let (Some(target), true) = (target, entry.runner == self.me) else {
                continue;
            };
            let sent = match &entry.copied {
                Some((to, sent)) if *to == target => *sent,
                _ => 0,
            };
            let from = usize::try_from(sent).unwrap_or(usize::MAX);
            if let Some(chunks) = entry.chunks.get(from..).filter(|p| !p.is_empty()) {
                let copy = Update {
                    key: key.clone(),
                    fingerprint: entry.fingerprint,
                    runner: self.me.clone(),
                    chunks: chunks.to_vec(),
                };
                copies.push((target, copy));
            }
        }
        copies
    }

    /// Records how many pieces the home has.
    pub fn acknowledge(&mut self, key: &claim::Key, home: &name::Instance, chunks: u64) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.copied = Some((home.clone(), chunks));
        }
    }

    /// Returns the pieces of an answer from a position on.
    #[must_use]
    pub fn read(&self, key: &claim::Key, from: u64) -> Contents {
        let from = usize::try_from(from).unwrap_or(usize::MAX);
        self.entries.get(key).map_or(Contents::Gone, |entry| {
            Contents::Chunks(entry.chunks.get(from..).unwrap_or_default().to_vec())
        })
    }

    /// Forgets an answer that broke off, so that a repeated request runs anew.
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

    /// Drops old answers and those that broke off silently.
    pub fn expire(&mut self, now: Time) {
        let over: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, entry)| {
                let limit = if entry.is_complete() {
                    RETENTION
                } else {
                    STALL_TIMEOUT
                };
                now.since(entry.touched) >= limit
            })
            .map(|(key, _)| key.clone())
            .collect();
        for key in over {
            self.remove(&key);
        }
    }

    /// Drops the oldest complete answers, then the oldest ones of all, while
    /// there are too many bytes.
    fn trim(&mut self) {
        while self.bytes > self.most_bytes {
            let oldest = self
                .entries
                .iter()
                .min_by_key(|(_, entry)| (!entry.is_complete(), entry.touched))
                .map(|(key, _)| key.clone());
            let Some(key) = oldest else {
                return;
            };
            self.remove(&key);
        }
    }
}
