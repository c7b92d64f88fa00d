use std::collections::{BTreeSet, VecDeque};

use super::{Cursor, MAX_RECORD_BYTES, MAX_RECORDS, MAX_RECORDS_PER_MESSAGE, Record};

/// Numbered log of merged records in order of arrival, without duplicates.
///
/// It keeps at most [`MAX_RECORDS`] records and forgets the ids of the dropped ones.
#[derive(Clone, Debug)]
pub struct Records {
    /// Unique id of the process that numbers the records.
    server: u64,
    /// Number of the oldest record that is kept.
    first: u64,
    list: VecDeque<Record>,
    /// Ids of the records in `list`.
    ids: BTreeSet<String>,
}

impl Records {
    /// Returns an empty log of the process with the unique id `server`.
    #[must_use]
    pub const fn new(server: u64) -> Self {
        Self {
            server,
            first: 0,
            list: VecDeque::new(),
            ids: BTreeSet::new(),
        }
    }

    /// Adds the records with new ids and bodies of at most [`MAX_RECORD_BYTES`]; returns whether
    /// there were any.
    pub fn merge<I>(&mut self, records: I) -> bool
    where
        I: IntoIterator<Item = Record>,
    {
        let previous_end = self.end();
        for record in records {
            if record.body.len() > MAX_RECORD_BYTES || !self.ids.insert(record.id.clone()) {
                continue;
            }
            if self.list.len() >= MAX_RECORDS
                && let Some(oldest) = self.list.pop_front()
            {
                self.first += 1;
                self.ids.remove(&oldest.id);
            }
            self.list.push_back(record);
        }
        self.end() > previous_end
    }

    /// Returns the cursor after the last record.
    #[must_use]
    pub fn cursor(&self) -> Cursor {
        Cursor {
            server: self.server,
            next: self.end(),
        }
    }

    /// Returns the number of the next record to be added.
    #[must_use]
    pub fn end(&self) -> u64 {
        self.first + self.list.len() as u64
    }

    /// Returns `next`, or the number of the oldest record if that is larger.
    #[must_use]
    pub fn first_from(&self, next: u64) -> u64 {
        next.max(self.first)
    }

    /// Returns the records from number `next` on, at most [`MAX_RECORDS_PER_MESSAGE`].
    #[must_use]
    pub fn batch_from(&self, next: u64) -> Vec<Record> {
        self.iter_from(next)
            .take(MAX_RECORDS_PER_MESSAGE)
            .cloned()
            .collect()
    }

    /// Returns all records from number `next` on.
    #[must_use]
    pub fn all_from(&self, next: u64) -> Vec<Record> {
        self.iter_from(next).cloned().collect()
    }

    fn iter_from(&self, next: u64) -> impl Iterator<Item = &Record> {
        let skip = usize::try_from(next.saturating_sub(self.first)).unwrap_or(usize::MAX);
        self.list.iter().skip(skip)
    }

    /// Returns the records after a cursor, at most [`MAX_RECORDS_PER_MESSAGE`], and the cursor
    /// after them.
    ///
    /// A cursor of another process counts as one before all records.
    #[must_use]
    pub fn batch_after(&self, cursor: Cursor) -> (Vec<Record>, Cursor) {
        let first = self.position(cursor);
        let records = self.batch_from(first);
        let cursor = Cursor {
            server: self.server,
            next: first + records.len() as u64,
        };
        (records, cursor)
    }

    /// Returns whether there are records after a cursor.
    #[must_use]
    pub fn has_after(&self, cursor: Cursor) -> bool {
        self.position(cursor) < self.end()
    }

    /// Returns the number of the first record after a cursor.
    fn position(&self, cursor: Cursor) -> u64 {
        if cursor.server == self.server {
            self.first_from(cursor.next)
        } else {
            self.first
        }
    }
}
