//! The merged gossip records of an instance.

use crate::{
    gossip::{Body, Key, Member, Record, TOMBSTONE_RETENTION},
    name,
    time::Time,
};

/// Number of buckets of records whose hashes are compared.
pub const BUCKET_COUNT: usize = 16;

plain! {
    /// The version of a record, without its content.
    #[derive(Eq)]
    pub struct RecordVersion {
        /// Key of the record.
        pub key: Key,
        /// Incarnation of the record.
        pub incarnation: u64,
        /// Sequence number of the record.
        pub sequence: u64,
        /// Rank of the record, see [`Record::rank`].
        pub rank: u8,
        /// Hash of the record, which breaks the tie between records that are otherwise equal.
        pub hash: u64,
    }
}

#[derive(Clone, Debug)]
struct StoredRecord {
    record: Record,
    hash: u64,
    bucket: usize,
    merged_at: Time,
}

impl StoredRecord {
    /// Returns the key by which two versions of a record are compared; the larger one is kept.
    fn precedence(&self) -> (u64, u64, u8, u64) {
        let record = &self.record;
        (
            record.incarnation,
            record.sequence,
            record.rank(),
            self.hash,
        )
    }

    fn version(&self) -> RecordVersion {
        RecordVersion {
            key: self.record.key.clone(),
            incarnation: self.record.incarnation,
            sequence: self.record.sequence,
            rank: self.record.rank(),
            hash: self.hash,
        }
    }
}

/// The records of an instance, sorted by key.
#[derive(Clone, Debug, Default)]
pub struct Store {
    records: Vec<StoredRecord>,
    /// Keys of purged records, sorted. Records with these keys are refused.
    purged: Vec<Key>,
    bucket_hashes: [u64; BUCKET_COUNT],
    now: Time,
}

fn bucket_of(key: &Key) -> usize {
    let text = match key {
        Key::Member(name) => name.as_str(),
        Key::Upstream(name) => name.as_str(),
        Key::Restriction(name) => name.as_str(),
        Key::Evidence(id) => id.upstream.as_str(),
    };
    usize::from(blake3::hash(text.as_bytes()).as_bytes()[0]) % BUCKET_COUNT
}

impl Store {
    /// Returns the index of a record, or the index at which to insert it.
    fn find(&self, key: &Key) -> Result<usize, usize> {
        self.records
            .binary_search_by(|stored| stored.record.key.cmp(key))
    }

    /// Returns the record with a key.
    #[must_use]
    pub fn get(&self, key: &Key) -> Option<&Record> {
        self.find(key).ok().map(|index| &self.records[index].record)
    }

    /// Returns all records, sorted by key.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.iter().map(|stored| &stored.record)
    }

    /// Returns all members, including removed ones.
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

    /// Returns a member by name.
    #[must_use]
    pub fn member(&self, name: &name::Instance) -> Option<&Member> {
        match &self.get(&Key::Member(name.clone()))?.body {
            Body::Member(member) => Some(member),
            _ => None,
        }
    }

    /// Merges a record. Returns whether it took precedence over the stored one.
    pub fn merge(&mut self, record: Record, now: Time) -> bool {
        if self.purged.binary_search(&record.key).is_ok() {
            return false;
        }
        let stored = StoredRecord {
            hash: record.hash(),
            bucket: bucket_of(&record.key),
            merged_at: now,
            record,
        };
        match self.find(&stored.record.key) {
            Ok(index) if self.records[index].precedence() >= stored.precedence() => return false,
            Ok(index) => self.records[index] = stored,
            Err(index) => self.records.insert(index, stored),
        }
        self.update_bucket_hashes();
        true
    }

    /// Drops the records with these keys and refuses them from now on.
    pub fn purge(&mut self, keys: &[Key]) {
        for key in keys {
            if let Err(index) = self.purged.binary_search(key) {
                self.purged.insert(index, key.clone());
            }
        }
        let purged = &self.purged;
        self.records
            .retain(|stored| purged.binary_search(&stored.record.key).is_err());
        self.update_bucket_hashes();
    }

    /// Drops expired tombstones, see [`TOMBSTONE_RETENTION`].
    pub fn expire(&mut self, now: Time) {
        self.now = now;
        if self
            .records
            .iter()
            .any(|stored| stored.record.is_tombstone())
        {
            self.records.retain(|stored| {
                !stored.record.is_tombstone() || now.since(stored.merged_at) < TOMBSTONE_RETENTION
            });
            self.update_bucket_hashes();
        }
    }

    /// Returns whether a record is included in exchanges. A tombstone is included for half of
    /// its retention, see [`TOMBSTONE_RETENTION`].
    fn is_exchanged(&self, stored: &StoredRecord) -> bool {
        !stored.record.is_tombstone()
            || self.now.since(stored.merged_at).times(2) < TOMBSTONE_RETENTION
    }

    fn update_bucket_hashes(&mut self) {
        let mut hashes = [0; BUCKET_COUNT];
        for stored in &self.records {
            if self.is_exchanged(stored) {
                // Unlike a chained hash, a sum does not depend on the order of the records.
                hashes[stored.bucket] = u64::wrapping_add(hashes[stored.bucket], stored.hash);
            }
        }
        self.bucket_hashes = hashes;
    }

    /// Returns a hash of all exchanged records.
    #[must_use]
    pub fn hash(&self) -> u64 {
        let mut hasher = blake3::Hasher::new();
        for hash in &self.bucket_hashes {
            hasher.update(&hash.to_le_bytes());
        }
        let mut bytes = [0; 8];
        hasher.finalize_xof().fill(&mut bytes);
        u64::from_le_bytes(bytes)
    }

    /// Returns the hash of each bucket of exchanged records.
    #[must_use]
    pub fn bucket_hashes(&self) -> Vec<u64> {
        self.bucket_hashes.to_vec()
    }

    fn in_buckets(&self, buckets: &[u8]) -> impl Iterator<Item = &StoredRecord> {
        self.records.iter().filter(|stored| {
            let is_listed = |b: &u8| usize::from(*b) == stored.bucket;
            self.is_exchanged(stored) && buckets.iter().any(is_listed)
        })
    }

    /// Returns the versions of the records in some buckets.
    #[must_use]
    pub fn versions(&self, buckets: &[u8]) -> Vec<RecordVersion> {
        self.in_buckets(buckets)
            .map(StoredRecord::version)
            .collect()
    }

    /// Compares the records in some buckets with a peer's `versions` of them. Returns the
    /// records that are newer here and the keys of those that are newer at the peer.
    #[must_use]
    pub fn diff(&self, buckets: &[u8], versions: &[RecordVersion]) -> (Vec<Record>, Vec<Key>) {
        let precedence = |v: &RecordVersion| (v.incarnation, v.sequence, v.rank, v.hash);
        let newer = self
            .in_buckets(buckets)
            .filter(|stored| {
                let theirs = versions.iter().find(|v| v.key == stored.record.key);
                theirs.is_none_or(|v| precedence(v) < stored.precedence())
            })
            .map(|stored| stored.record.clone())
            .collect();
        let wanted = versions
            .iter()
            .filter(|v| match self.find(&v.key) {
                Ok(index) => self.records[index].precedence() < precedence(v),
                Err(_) => self.purged.binary_search(&v.key).is_err(),
            })
            .map(|v| v.key.clone())
            .collect();
        (newer, wanted)
    }
}
