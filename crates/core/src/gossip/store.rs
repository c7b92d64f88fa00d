//! The merged records of an instance.

use crate::{
    gossip::{Body, Key, Member, Record, TOMBSTONE_RETENTION},
    name,
    time::Time,
};

/// Number of groups of records that are compared by hash.
pub const BUCKET_COUNT: usize = 16;

plain! {
    /// Version of a record.
    #[derive(Eq)]
    pub struct RecordVersion {
        /// The record's key.
        pub key: Key,
        /// The record's incarnation.
        pub incarnation: u64,
        /// The record's sequence.
        pub sequence: u64,
        /// The record's rank.
        pub rank: u8,
        /// The record's hash, which decides between records that are else equal.
        pub hash: u64,
    }
}

#[derive(Clone, Debug)]
struct Kept {
    record: Record,
    hash: u64,
    bucket: usize,
    since: Time,
}

impl Kept {
    fn order(&self) -> (u64, u64, u8, u64) {
        let record = &self.record;
        (
            record.incarnation,
            record.sequence,
            record.rank(),
            self.hash,
        )
    }

    fn entry(&self) -> RecordVersion {
        RecordVersion {
            key: self.record.key.clone(),
            incarnation: self.record.incarnation,
            sequence: self.record.sequence,
            rank: self.record.rank(),
            hash: self.hash,
        }
    }
}

/// Records sorted by key.
#[derive(Clone, Debug, Default)]
pub struct Store {
    kept: Vec<Kept>,
    banned: Vec<Key>,
    buckets: [u64; BUCKET_COUNT],
    now: Time,
}

fn bucket(key: &Key) -> usize {
    let text = match key {
        Key::Member(name) => name.as_str(),
        Key::Upstream(name) => name.as_str(),
        Key::Restriction(name) => name.as_str(),
        Key::Evidence(id) => id.upstream.as_str(),
    };
    usize::from(blake3::hash(text.as_bytes()).as_bytes()[0]) % BUCKET_COUNT
}

impl Store {
    fn find(&self, key: &Key) -> Result<usize, usize> {
        self.kept.binary_search_by(|kept| kept.record.key.cmp(key))
    }

    /// Returns the record of a key.
    #[must_use]
    pub fn get(&self, key: &Key) -> Option<&Record> {
        self.find(key).ok().map(|at| &self.kept[at].record)
    }

    /// Returns all records, sorted by key.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.kept.iter().map(|kept| &kept.record)
    }

    /// Returns all members, also removed ones.
    pub fn members(&self) -> impl Iterator<Item = (&name::Instance, &Member)> {
        self.records().filter_map(|record| match record {
            Record {
                key: Key::Member(name),
                body: Body::Member(member),
                ..
            } => Some((name, member)),
            _ => None,
        })
    }

    /// Returns a member.
    #[must_use]
    pub fn member(&self, name: &name::Instance) -> Option<&Member> {
        match &self.get(&Key::Member(name.clone()))?.body {
            Body::Member(member) => Some(member),
            _ => None,
        }
    }

    /// Merges a record. Returns whether it was newer than what was there.
    pub fn merge(&mut self, record: Record, now: Time) -> bool {
        if self.banned.binary_search(&record.key).is_ok() {
            return false;
        }
        let kept = Kept {
            hash: record.hash(),
            bucket: bucket(&record.key),
            since: now,
            record,
        };
        match self.find(&kept.record.key) {
            Ok(at) if self.kept[at].order() >= kept.order() => return false,
            Ok(at) => self.kept[at] = kept,
            Err(at) => self.kept.insert(at, kept),
        }
        self.refresh();
        true
    }

    /// Drops records and refuses them from now on.
    pub fn purge(&mut self, keys: &[Key]) {
        for key in keys {
            if let Err(at) = self.banned.binary_search(key) {
                self.banned.insert(at, key.clone());
            }
        }
        let banned = &self.banned;
        self.kept
            .retain(|kept| banned.binary_search(&kept.record.key).is_err());
        self.refresh();
    }

    /// Drops old tombstones.
    pub fn expire(&mut self, now: Time) {
        self.now = now;
        if self.kept.iter().any(|kept| kept.record.is_tombstone()) {
            self.kept.retain(|kept| {
                !kept.record.is_tombstone() || now.since(kept.since) < TOMBSTONE_RETENTION
            });
            self.refresh();
        }
    }

    fn is_exchanged(&self, kept: &Kept) -> bool {
        !kept.record.is_tombstone() || self.now.since(kept.since).times(2) < TOMBSTONE_RETENTION
    }

    fn refresh(&mut self) {
        let mut buckets = [0; BUCKET_COUNT];
        for kept in &self.kept {
            if self.is_exchanged(kept) {
                // The sum does not depend on the order of the records.
                buckets[kept.bucket] = u64::wrapping_add(buckets[kept.bucket], kept.hash);
            }
        }
        self.buckets = buckets;
    }

    /// Returns the hash of all records.
    #[must_use]
    pub fn hash(&self) -> u64 {
        let mut hasher = blake3::Hasher::new();
        for bucket in &self.buckets {
            hasher.update(&bucket.to_le_bytes());
        }
        let mut head = [0; 8];
        hasher.finalize_xof().fill(&mut head);
        u64::from_le_bytes(head)
    }

    /// Returns the hash of each bucket.
    #[must_use]
    pub fn buckets(&self) -> Vec<u64> {
        self.buckets.to_vec()
    }

    fn in_buckets(&self, buckets: &[u8]) -> impl Iterator<Item = &Kept> {
        self.kept.iter().filter(|kept| {
            let listed = |b: &u8| usize::from(*b) == kept.bucket;
            self.is_exchanged(kept) && buckets.iter().any(listed)
        })
    }

    /// Returns the versions of the records in some buckets.
    #[must_use]
    pub fn versions(&self, buckets: &[u8]) -> Vec<RecordVersion> {
        self.in_buckets(buckets).map(Kept::entry).collect()
    }

    /// Returns the records that are newer here and the keys that are newer in
    /// `entries`.
    #[must_use]
    pub fn diff(&self, buckets: &[u8], entries: &[RecordVersion]) -> (Vec<Record>, Vec<Key>) {
        let order = |e: &RecordVersion| (e.incarnation, e.sequence, e.rank, e.hash);
        let newer = self
            .in_buckets(buckets)
            .filter(|kept| {
                let theirs = entries.iter().find(|e| e.key == kept.record.key);
                theirs.is_none_or(|e| order(e) < kept.order())
            })
            .map(|kept| kept.record.clone())
            .collect();
        let wanted = entries
            .iter()
            .filter(|e| match self.find(&e.key) {
                Ok(at) => self.kept[at].order() < order(e),
                Err(_) => self.banned.binary_search(&e.key).is_err(),
            })
            .map(|e| e.key.clone())
            .collect();
        (newer, wanted)
    }
}
