use super::{Action, Message, Record};

/// Groups the records of a replica into writes and defers messages until the records that they
/// acknowledge are synced.
///
/// One write is in flight at a time. Records that are pushed meanwhile go into the next one, so
/// many proposals share a sync.
#[derive(Debug, Default)]
pub struct WriteQueue {
    /// Sequence number of the latest write.
    issued: u64,
    /// Sequence number of the latest synced write.
    synced: u64,
    /// Records of the next write.
    buffer: Vec<Record>,
    /// Messages, each with the sequence number of the write that it waits for.
    deferred: Vec<(u64, Message)>,
    /// Last log index at the time of the latest write.
    issued_last_index: u64,
}

impl WriteQueue {
    /// Adds a record to the next write.
    pub fn push(&mut self, record: Record) {
        self.buffer.push(record);
    }

    /// Returns whether all pushed records are synced.
    pub fn is_synced(&self) -> bool {
        self.buffer.is_empty() && self.issued == self.synced
    }

    /// Defers a message until all records pushed so far are synced.
    pub fn defer(&mut self, message: Message) {
        let sequence = self.issued + u64::from(!self.buffer.is_empty());
        self.deferred.push((sequence, message));
    }

    /// Drops deferred messages of terms before `term`, which are obsolete.
    pub fn drop_deferred_before(&mut self, term: u64) {
        self.deferred.retain(|(_, message)| message.term >= term);
    }

    /// Returns the next write, unless one is in flight or no record waits.
    ///
    /// `last_index` is the last index of the log with these records.
    pub fn next_write(&mut self, last_index: u64) -> Option<Action> {
        if self.issued > self.synced || self.buffer.is_empty() {
            return None;
        }
        self.issued += 1;
        self.issued_last_index = last_index;
        Some(Action::Write {
            sequence: self.issued,
            records: std::mem::take(&mut self.buffer),
        })
    }

    /// Marks the writes up to `sequence` as synced and returns the messages that may be sent now.
    pub fn mark_synced(&mut self, sequence: u64) -> Vec<Message> {
        self.synced = self.synced.max(sequence.min(self.issued));
        let (ready, deferred) = std::mem::take(&mut self.deferred)
            .into_iter()
            .partition(|(at, _)| *at <= self.synced);
        self.deferred = deferred;
        ready.into_iter().map(|(_, message)| message).collect()
    }

    /// Returns the last log index of the latest write, if that write is synced.
    pub fn synced_last_index(&self) -> Option<u64> {
        (self.issued == self.synced).then_some(self.issued_last_index)
    }
}
