use std::collections::{BTreeSet, VecDeque};

use super::{Cursor, MAX_RECORD_BYTES, MAX_RECORDS, MAX_RECORDS_PER_MESSAGE, Record};

/// Merged records in order of arrival, without duplicates.
#[derive(Clone, Debug)]
pub struct Records {
    server: u64,
    first: u64,
    list: VecDeque<Record>,
    ids: BTreeSet<String>,
}

impl Records {
    /// Returns an empty list of the process with that random id.
    #[must_use]
    pub const fn new(server: u64) -> Self {
        Self {
            server,
            first: 0,
            list: VecDeque::new(),
            ids: BTreeSet::new(),
        }
    }

    /// Adds the records that are new and not too large; returns whether there were any.
    pub fn merge<I>(&mut self, records: I) -> bool
    where
        I: IntoIterator<Item = Record>,
    {
        let before = self.end();
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
        self.end() > before
    }

    /// Returns the cursor behind the last record.
    #[must_use]
    pub fn cursor(&self) -> Cursor {
        Cursor {
            server: self.server,
            next: self.end(),
        }
    }

    /// Returns the number behind that of the last record.
    #[must_use]
    pub fn end(&self) -> u64 {
        self.first + self.list.len() as u64
    }

    /// Returns `next`, or the number of the oldest record if that is larger.
    #[must_use]
    pub fn first_from(&self, next: u64) -> u64 {
        next.max(self.first)
    }

    /// Returns the records from the number on, at most [`MAX_RECORDS_PER_MESSAGE`].
    #[must_use]
    pub fn batch_from(&self, next: u64) -> Vec<Record> {
        self.iter_from(next)
            .take(MAX_RECORDS_PER_MESSAGE)
            .cloned()
            .collect()
    }

    /// Returns all records from the number on.
    #[must_use]
    pub fn all_from(&self, next: u64) -> Vec<Record> {
        self.iter_from(next).cloned().collect()
    }

    fn iter_from(&self, next: u64) -> impl Iterator<Item = &Record> {
        let skip = usize::try_from(next.saturating_sub(self.first)).unwrap_or(usize::MAX);
        self.list.iter().skip(skip)
    }

    /// Returns at most [`MAX_RECORDS_PER_MESSAGE`] records behind a cursor, and the cursor behind them.
    ///
    /// The cursor of another process stands before all records.
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

    /// Returns whether there are records behind a cursor.
    #[must_use]
    pub fn has_after(&self, cursor: Cursor) -> bool {
        self.position(cursor) < self.end()
    }

    fn position(&self, cursor: Cursor) -> u64 {
        if cursor.server == self.server {
            self.first_from(cursor.next)
        } else {
            self.first
        }
    }
}
