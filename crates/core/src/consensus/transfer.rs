use super::{
    Action, Body, Identity, Message, Payload, Record, Replica, Snapshot,
    leader_state::{Follower, SnapshotTransfer},
    log::Log,
    replica::State,
};
use crate::time::Time;

/// A partially received snapshot.
#[derive(Debug)]
pub struct IncomingSnapshot {
    from: Identity,
    term: u64,
    index: u64,
    /// Bytes received so far, without gaps.
    data: Vec<u8>,
}

impl Replica {
    /// Stores a snapshot of the state machine and compacts the log.
    pub(super) fn handle_snapshotted(&mut self, index: u64, data: Payload) {
        if index <= self.log.snapshot().index || index > self.commit_index {
            return;
        }
        let Some(term) = self.log.term_at(index) else {
            return;
        };
        let snapshot = Snapshot {
            index,
            term,
            members: self.log.members_at(index).clone(),
            data,
        };
        self.write_queue.push(Record::Snapshot(snapshot.clone()));
        let fitting = self.log.base_for(index, self.limits.trailing_bytes);
        let mut base = fitting.max(index.saturating_sub(self.limits.trailing_entries));
        if let State::Leader(leader) = &self.state
            && let Some(needed) =
                leader.min_transfer_index(self.now, self.timing.min_election_timeout())
        {
            base = base.min(needed).max(fitting);
        }
        self.log.compact(snapshot, base);
    }

    /// Handles a part of a snapshot from a leader.
    pub(super) fn handle_chunk(&mut self, message: Message) {
        let (from, term) = (message.from, message.term);
        let Body::Chunk {
            head,
            offset,
            part,
            last,
            sent,
        } = message.body
        else {
            return;
        };
        if term < self.vote.term {
            return self.request_chunk(from, head.index, 0, sent);
        }
        if !self.accept_leader(from, term) {
            return;
        }
        if head.index <= self.commit_index {
            self.incoming_snapshot = None;
            return self.acknowledge(from, head.index, sent);
        }
        let received = self.collect_chunk(from, term, &head, offset, &part);
        if last && received == offset + part.as_bytes().len() as u64 {
            self.install_snapshot(head);
            self.acknowledge(from, self.commit_index, sent);
        } else {
            self.request_chunk(from, head.index, received, sent);
        }
    }

    /// Appends a part to the incoming snapshot unless it is out of order; returns the number of
    /// bytes received so far.
    ///
    /// A part of another snapshot, or from another leader or term, starts over.
    fn collect_chunk(
        &mut self,
        from: Identity,
        term: u64,
        head: &Snapshot,
        offset: u64,
        part: &Payload,
    ) -> u64 {
        let key = (from, term, head.index);
        let is_same = |i: &IncomingSnapshot| (i.from, i.term, i.index) == key;
        let mut incoming =
            self.incoming_snapshot
                .take()
                .filter(is_same)
                .unwrap_or(IncomingSnapshot {
                    from,
                    term,
                    index: head.index,
                    data: Vec::new(),
                });
        if incoming.data.len() as u64 == offset {
            incoming.data.extend_from_slice(part.as_bytes());
        }
        let received = incoming.data.len() as u64;
        self.incoming_snapshot = Some(incoming);
        received
    }

    /// Replaces the log and the state machine's state with the received snapshot.
    fn install_snapshot(&mut self, head: Snapshot) {
        let data = self
            .incoming_snapshot
            .take()
            .map(|i| i.data)
            .unwrap_or_default();
        let snapshot = Snapshot {
            data: data.into(),
            ..head
        };
        self.commit_index = snapshot.index;
        self.write_queue.push(Record::Snapshot(snapshot.clone()));
        self.log.replace(snapshot.clone());
        self.push_action(Action::Install(snapshot));
    }

    /// Requests the part of a snapshot at `offset` from the leader.
    fn request_chunk(&mut self, to: Identity, index: u64, offset: u64, sent: Time) {
        let body = Body::Wanted {
            index,
            offset,
            sent,
        };
        self.send_after_sync(to, body);
    }
}

impl Follower {
    /// Returns the next part of the snapshot in transfer; if there is none, starts a transfer of
    /// the latest snapshot.
    pub(super) fn next_chunk(&mut self, log: &Log, sent: Time, size: usize) -> Body {
        let transfer = self.transfer.get_or_insert_with(|| SnapshotTransfer {
            snapshot: log.snapshot().clone(),
            offset: 0,
            last_sent: sent,
        });
        transfer.last_sent = sent;
        let (snapshot, offset) = (&transfer.snapshot, transfer.offset);
        let bytes = snapshot.data.as_bytes();
        let start = usize::try_from(offset).map_or(bytes.len(), |o| o.min(bytes.len()));
        let end = chunk_end(bytes, start, size);
        Body::Chunk {
            head: Snapshot {
                data: Payload::default(),
                ..snapshot.clone()
            },
            offset: start as u64,
            part: Payload::from(&bytes[start..end]),
            last: end == bytes.len(),
            sent,
        }
    }
}

/// Returns the end of the part that starts at `start`.
///
/// UTF-8 text is split between characters, so that each part serializes as text.
fn chunk_end(bytes: &[u8], start: usize, size: usize) -> usize {
    let end = bytes.len().min(start + size);
    let is_continuation = |at: &usize| bytes.get(*at).is_some_and(|b| b & 0xC0 == 0x80);
    (end.saturating_sub(3).max(start + 1)..=end)
        .rev()
        .find(|at| !is_continuation(at))
        .unwrap_or(end)
}
