use super::{Content, Entry, Members, Snapshot};

/// In-memory log: the latest snapshot and the entries after `base_index`.
///
/// `base_index` is at most the snapshot's index, and the indexes of the entries are consecutive.
#[derive(Debug)]
pub struct Log {
    snapshot: Snapshot,
    base_index: u64,
    base_term: u64,
    /// Approximate size of all entries up to `base_index` since the start, in bytes.
    base_size: u64,
    entries: Vec<Entry>,
    /// The same size up to each of the entries.
    sizes: Vec<u64>,
    members_index: u64,
    members: Members,
}

impl Log {
    /// Creates the log from a snapshot and the entries after it.
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let mut log = Self {
            base_index: snapshot.index,
            base_term: snapshot.term,
            base_size: 0,
            sizes: cumulative_sizes(&entries),
            members_index: snapshot.index,
            members: Members::default(),
            snapshot,
            entries,
        };
        log.recompute_members();
        log
    }

    pub const fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Returns the index before the first entry in memory.
    pub const fn base_index(&self) -> u64 {
        self.base_index
    }

    /// Returns the replica set of the latest entry that changes it, committed or not.
    pub const fn members(&self) -> &Members {
        &self.members
    }

    /// Returns the index from which [`Log::members`] is in force.
    pub const fn members_index(&self) -> u64 {
        self.members_index
    }

    pub fn last_index(&self) -> u64 {
        self.base_index + self.entries.len() as u64
    }

    pub fn last_term(&self) -> u64 {
        self.entries.last().map_or(self.base_term, |e| e.term)
    }

    /// Returns the term of the entry at `index`, if the log still has it.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.entry(index).map(|e| e.term)
    }

    pub fn entry(&self, index: u64) -> Option<&Entry> {
        let at = index.checked_sub(self.base_index + 1)?;
        self.entries.get(usize::try_from(at).ok()?)
    }

    /// Returns the approximate size of all entries up to `index` since the start, in bytes.
    fn size_up_to(&self, index: u64) -> u64 {
        let count = to_usize(index.saturating_sub(self.base_index)).min(self.sizes.len());
        let last = count.checked_sub(1);
        last.map_or(self.base_size, |at| self.sizes[at])
    }

    /// Returns the approximate size of the entries after `index`, in bytes.
    pub fn size_after(&self, index: u64) -> u64 {
        self.size_up_to(self.last_index()) - self.size_up_to(index)
    }

    /// Returns the lowest index in memory from which on the entries up to `index` take up at most
    /// `bytes`.
    pub fn base_for(&self, index: u64, bytes: u64) -> u64 {
        let end = self.size_up_to(index);
        let is_over = |size: u64| end.saturating_sub(size) > bytes;
        let over = self.sizes.partition_point(|size| is_over(*size)) as u64;
        let is_whole = over == 0 && !is_over(self.base_size);
        let base = self.base_index + if is_whole { 0 } else { over + 1 };
        base.min(index)
    }

    /// Returns at most `count` entries from `index` on, of about `bytes` in total. An entry that is
    /// larger than that is returned alone.
    pub fn batch(&self, index: u64, count: usize, bytes: usize) -> Vec<Entry> {
        let mut size = 0;
        (index..=self.last_index())
            .map_while(|at| self.entry(at))
            .take(count)
            .take_while(|entry| {
                let fits = size == 0 || size + entry.size() <= bytes;
                size += entry.size();
                fits
            })
            .cloned()
            .collect()
    }

    /// Returns the last index before the first entry that has the same term as the one at `index`.
    ///
    /// A leader that retries after it skips all conflicting entries of that term at once.
    pub fn last_index_before_term_at(&self, index: u64) -> u64 {
        let Some(term) = self.term_at(index) else {
            return self.last_index();
        };
        let mut at = index;
        while at > self.base_index && self.term_at(at) == Some(term) {
            at -= 1;
        }
        at
    }

    /// Appends an entry and drops all entries with its index or a higher one.
    pub fn append(&mut self, entry: Entry) {
        self.truncate_from(entry.index);
        if let Content::Members(members) = &entry.content {
            self.members = members.clone();
            self.members_index = entry.index;
        }
        let size = self.size_up_to(self.last_index()) + entry.size() as u64;
        self.entries.push(entry);
        self.sizes.push(size);
    }

    /// Drops the entries with the index `from` or a higher one.
    fn truncate_from(&mut self, from: u64) {
        if from > self.last_index() {
            return;
        }
        let keep = from.saturating_sub(self.base_index + 1);
        self.entries.truncate(to_usize(keep));
        self.sizes.truncate(to_usize(keep));
        if self.members_index >= from {
            self.recompute_members();
        }
    }

    /// Stores a snapshot of this log and drops the entries up to `base_index`.
    pub fn compact(&mut self, snapshot: Snapshot, base_index: u64) {
        self.snapshot = snapshot;
        if base_index > self.base_index
            && let Some(term) = self.term_at(base_index)
        {
            let dropped = to_usize(base_index - self.base_index);
            self.base_size = self.size_up_to(base_index);
            self.entries.drain(..dropped);
            self.sizes.drain(..dropped);
            self.base_index = base_index;
            self.base_term = term;
        }
    }

    /// Replaces the entries up to the snapshot's index with a received snapshot.
    ///
    /// Later entries are dropped too unless the log has the snapshot's last entry.
    pub fn replace(&mut self, snapshot: Snapshot) {
        let entries = if self.term_at(snapshot.index) == Some(snapshot.term) {
            let after = snapshot.index - self.base_index;
            self.entries.split_off(to_usize(after))
        } else {
            Vec::new()
        };
        *self = Self::new(snapshot, entries);
    }

    /// Returns the replica set in force at `index`, which is at least `base_index`.
    pub fn members_at(&self, index: u64) -> &Members {
        if index >= self.members_index {
            return &self.members;
        }
        self.entries
            .iter()
            .rev()
            .filter(|e| e.index <= index)
            .find_map(Entry::members)
            .unwrap_or(&self.snapshot.members)
    }

    /// Finds the replica set in force at the end of the log.
    fn recompute_members(&mut self) {
        let found = self
            .entries
            .iter()
            .rev()
            .find_map(|e| e.members().map(|m| (e.index, m.clone())));
        let (index, members) =
            found.unwrap_or_else(|| (self.snapshot.index, self.snapshot.members.clone()));
        self.members_index = index;
        self.members = members;
    }
}

impl Entry {
    /// Approximate size of a serialized entry without its payload, in bytes.
    const OVERHEAD: usize = 48;

    pub(crate) fn size(&self) -> usize {
        match &self.content {
            Content::Payload(payload) => Self::OVERHEAD + payload.as_bytes().len(),
            Content::Empty | Content::Members(_) => Self::OVERHEAD,
        }
    }

    fn members(&self) -> Option<&Members> {
        match &self.content {
            Content::Members(members) => Some(members),
            Content::Empty | Content::Payload(_) => None,
        }
    }
}

/// Returns the approximate size of the entries up to each of them, in bytes.
fn cumulative_sizes(entries: &[Entry]) -> Vec<u64> {
    let sizes = entries.iter().scan(0, |sum, entry| {
        *sum += entry.size() as u64;
        Some(*sum)
    });
    sizes.collect()
}

/// Converts a number of entries in memory, which always fits.
fn to_usize(count: u64) -> usize {
    usize::try_from(count).unwrap_or(usize::MAX)
}
