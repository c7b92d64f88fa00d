use super::{Content, Entry, Members, Snapshot};

/// The log in memory: the latest snapshot and the entries after `base`.
///
/// `base` is at most the snapshot's index, and entries follow each other without gaps.
#[derive(Debug)]
pub struct Log {
    snapshot: Snapshot,
    base: u64,
    base_term: u64,
    entries: Vec<Entry>,
    members_index: u64,
    members: Members,
}

impl Log {
    /// Returns the log of a snapshot and the entries after it.
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let mut log = Self {
            base: snapshot.index,
            base_term: snapshot.term,
            members_index: snapshot.index,
            members: Members::default(),
            snapshot,
            entries,
        };
        log.find_members();
        log
    }

    pub const fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    pub const fn base(&self) -> u64 {
        self.base
    }

    /// Returns the replica set of the latest entry that has one, committed or not.
    pub const fn members(&self) -> &Members {
        &self.members
    }

    /// Returns the index from which [`Log::members`] is in force.
    pub const fn members_index(&self) -> u64 {
        self.members_index
    }

    pub fn last_index(&self) -> u64 {
        self.base + self.entries.len() as u64
    }

    pub fn last_term(&self) -> u64 {
        self.entries.last().map_or(self.base_term, |e| e.term)
    }

    /// Returns the term of the entry at `index`, if the log still has it.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base {
            return Some(self.base_term);
        }
        self.entry(index).map(|e| e.term)
    }

    pub fn entry(&self, index: u64) -> Option<&Entry> {
        let at = index.checked_sub(self.base + 1)?;
        self.entries.get(usize::try_from(at).ok()?)
    }

    /// Returns the entries from `index` on, at least one if there is any, up to about `bytes`.
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

    /// Returns the highest index below the term's entries that `index` belongs to.
    ///
    /// A leader that goes back there skips a whole term of conflicting entries at once.
    pub fn before_term_of(&self, index: u64) -> u64 {
        let Some(term) = self.term_at(index) else {
            return self.last_index();
        };
        let mut at = index;
        while at > self.base && self.term_at(at) == Some(term) {
            at -= 1;
        }
        at
    }

    /// Appends an entry and drops all entries with its index or a higher one.
    pub fn append(&mut self, entry: Entry) {
        self.truncate(entry.index);
        if let Content::Members(members) = &entry.content {
            self.members = members.clone();
            self.members_index = entry.index;
        }
        self.entries.push(entry);
    }

    fn truncate(&mut self, from: u64) {
        if from > self.last_index() {
            return;
        }
        let keep = from.saturating_sub(self.base + 1);
        self.entries.truncate(position(keep));
        if self.members_index >= from {
            self.find_members();
        }
    }

    /// Takes a snapshot of an index of this log and drops the entries up to `base`.
    pub fn compact(&mut self, snapshot: Snapshot, base: u64) {
        self.snapshot = snapshot;
        if base > self.base
            && let Some(term) = self.term_at(base)
        {
            self.entries.drain(..position(base - self.base));
            self.base = base;
            self.base_term = term;
        }
    }

    /// Replaces the log up to the snapshot, and all of it unless it has the snapshot's last entry.
    pub fn replace(&mut self, snapshot: Snapshot) {
        let entries = if self.term_at(snapshot.index) == Some(snapshot.term) {
            let after = snapshot.index - self.base;
            self.entries.split_off(position(after))
        } else {
            Vec::new()
        };
        *self = Self::new(snapshot, entries);
    }

    /// Returns the replica set in force after the entry at `index`, which is at least `base`.
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

    fn find_members(&mut self) {
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
    /// Approximate size of a serialized entry without its payload.
    const OVERHEAD: usize = 48;

    fn size(&self) -> usize {
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

/// Entries are in memory, so their number fits.
fn position(count: u64) -> usize {
    usize::try_from(count).unwrap_or(usize::MAX)
}
