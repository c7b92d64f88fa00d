use super::{
    Action, Body, Identity, Message, Payload, Record, Replica, Snapshot,
    lead::{Follower, Transfer},
    log::Log,
    replica::State,
};
use crate::time::Time;

/// A snapshot that is being received.
#[derive(Debug)]
pub struct Incoming {
    from: Identity,
    term: u64,
    index: u64,
    data: Vec<u8>,
}

impl Replica {
    /// Takes over the state machine's snapshot and compacts the log.
    pub(super) fn snapshotted(&mut self, index: u64, data: Payload) {
        if index <= self.log.snapshot().index || index > self.commit {
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
        self.journal.record(Record::Snapshot(snapshot.clone()));
        let mut base = index.saturating_sub(self.limits.trailing_entries);
        if let State::Leader(lead) = &self.state
            && let Some(needed) = lead.transfer_index(self.now, self.timing.min_election_timeout())
        {
            base = base.min(needed);
        }
        self.log.compact(snapshot, base);
    }

    pub(super) fn chunk(&mut self, message: Message) {
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
            return self.want(from, head.index, 0, sent);
        }
        if !self.accept_leader(from, term) {
            return;
        }
        if head.index <= self.commit {
            self.incoming = None;
            return self.confirm(from, head.index, sent);
        }
        let arrived = self.collect(from, term, &head, offset, &part);
        if last && arrived == offset + part.as_bytes().len() as u64 {
            self.install(head);
            self.confirm(from, self.commit, sent);
        } else {
            self.want(from, head.index, arrived, sent);
        }
    }

    /// Adds a part to the incoming snapshot; returns how many bytes have arrived without gaps.
    fn collect(
        &mut self,
        from: Identity,
        term: u64,
        head: &Snapshot,
        offset: u64,
        part: &Payload,
    ) -> u64 {
        let key = (from, term, head.index);
        let same = |i: &Incoming| (i.from, i.term, i.index) == key;
        let mut incoming = self.incoming.take().filter(same).unwrap_or(Incoming {
            from,
            term,
            index: head.index,
            data: Vec::new(),
        });
        if incoming.data.len() as u64 == offset {
            incoming.data.extend_from_slice(part.as_bytes());
        }
        let arrived = incoming.data.len() as u64;
        self.incoming = Some(incoming);
        arrived
    }

    fn install(&mut self, head: Snapshot) {
        let data = self.incoming.take().map(|i| i.data).unwrap_or_default();
        let snapshot = Snapshot {
            data: data.into(),
            ..head
        };
        self.commit = snapshot.index;
        self.journal.record(Record::Snapshot(snapshot.clone()));
        self.log.replace(snapshot.clone());
        self.act(Action::Install(snapshot));
    }

    fn want(&mut self, to: Identity, index: u64, offset: u64, sent: Time) {
        let body = Body::Wanted {
            index,
            offset,
            sent,
        };
        self.promise(to, body);
    }
}

impl Follower {
    /// Returns the next part of the snapshot that is being sent, or the first one of the latest.
    pub(super) fn chunk(&mut self, log: &Log, sent: Time, size: usize) -> Body {
        let transfer = self.transfer.get_or_insert_with(|| Transfer {
            snapshot: log.snapshot().clone(),
            offset: 0,
            sent,
        });
        transfer.sent = sent;
        let (snapshot, offset) = (&transfer.snapshot, transfer.offset);
        let bytes = snapshot.data.as_bytes();
        let start = usize::try_from(offset).map_or(bytes.len(), |o| o.min(bytes.len()));
        let end = part_end(bytes, start, size);
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

/// Returns the end of the part that starts at `start`, between two characters if the bytes are
/// text, so that the part serializes as text.
fn part_end(bytes: &[u8], start: usize, size: usize) -> usize {
    let end = bytes.len().min(start + size);
    let is_inside = |at: &usize| bytes.get(*at).is_some_and(|b| b & 0xC0 == 0x80);
    (end.saturating_sub(3).max(start + 1)..=end)
        .rev()
        .find(|at| !is_inside(at))
        .unwrap_or(end)
}
