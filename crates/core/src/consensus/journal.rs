use super::{Action, Message, Record};

/// Orders what a replica writes and holds back messages that promise unsynced records.
///
/// One write is in flight at a time. Records that arrive meanwhile share the next one, so many
/// proposals share a sync.
#[derive(Debug, Default)]
pub struct Journal {
    issued: u64,
    synced: u64,
    buffer: Vec<Record>,
    held: Vec<(u64, Message)>,
    issued_last: u64,
}

impl Journal {
    /// Adds a record to the next write.
    pub fn record(&mut self, record: Record) {
        self.buffer.push(record);
    }

    /// Returns whether everything recorded is synced.
    pub fn is_synced(&self) -> bool {
        self.buffer.is_empty() && self.issued == self.synced
    }

    /// Holds a message back until everything recorded so far is synced.
    pub fn hold(&mut self, message: Message) {
        let sequence = self.issued + u64::from(!self.buffer.is_empty());
        self.held.push((sequence, message));
    }

    /// Drops held messages of earlier terms, whose promises no longer matter.
    pub fn forget_before(&mut self, term: u64) {
        self.held.retain(|(_, message)| message.term >= term);
    }

    /// Returns the next write if none is in flight.
    pub fn flush(&mut self, last_index: u64) -> Option<Action> {
        if self.issued > self.synced || self.buffer.is_empty() {
            return None;
        }
        self.issued += 1;
        self.issued_last = last_index;
        Some(Action::Write {
            sequence: self.issued,
            records: std::mem::take(&mut self.buffer),
        })
    }

    /// Takes note of a finished sync and returns the messages that waited for it.
    pub fn synced(&mut self, sequence: u64) -> Vec<Message> {
        self.synced = self.synced.max(sequence.min(self.issued));
        let (free, held) = std::mem::take(&mut self.held)
            .into_iter()
            .partition(|(at, _)| *at <= self.synced);
        self.held = held;
        free.into_iter().map(|(_, message)| message).collect()
    }

    /// Returns the last log index at the time of the latest write, if that write is synced.
    pub fn synced_last(&self) -> Option<u64> {
        (self.issued == self.synced).then_some(self.issued_last)
    }
}
