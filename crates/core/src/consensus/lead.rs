use std::collections::VecDeque;

use super::{Body, Fault, Identity, Members, Snapshot};
use crate::time::{Span, Time};

/// What a leader knows about its followers and about the proposals that wait.
#[derive(Debug)]
pub struct Lead {
    /// The term that it leads.
    pub term: u64,
    /// Index of the first entry of the leader's term.
    pub first: u64,
    /// Whether that entry is committed.
    pub elected: bool,
    /// When the term began on the leader's clock.
    pub since: Time,
    /// When the last heartbeat was sent.
    pub heartbeat: Time,
    /// The leader's own synced index.
    pub synced: u64,
    /// Index and ticket of the proposals that wait, in order.
    pub tickets: VecDeque<(u64, u64)>,
    /// Followers, sorted by identity.
    pub followers: Vec<Follower>,
}

/// A follower, as its leader sees it.
#[derive(Debug)]
pub struct Follower {
    pub id: Identity,
    /// Next index to send.
    pub next: u64,
    /// Last index that it has synced.
    pub matched: u64,
    /// Latest send time of a message that it answered.
    pub answered: Option<Time>,
    /// Whether entries or a part of a snapshot are on the way.
    pub waiting: bool,
    /// Whether a heartbeat is due.
    pub due: bool,
    /// Commit index that was sent last.
    pub told: u64,
    /// The snapshot that is being sent.
    pub transfer: Option<Transfer>,
}

/// Progress of a snapshot on its way to a follower.
#[derive(Debug)]
pub struct Transfer {
    /// The snapshot. It is not replaced by a newer one, so a transfer ends even if snapshots are
    /// taken faster than they are sent.
    pub snapshot: Snapshot,
    /// Offset of the part that is due or on the way.
    pub offset: u64,
    /// When the latest part was sent.
    pub sent: Time,
}

impl Follower {
    fn new(id: Identity, next: u64) -> Self {
        Self {
            id,
            next,
            matched: 0,
            answered: None,
            waiting: false,
            due: true,
            told: 0,
            transfer: None,
        }
    }
}

impl Follower {
    /// Takes note of an answer to entries or to a part of a snapshot.
    ///
    /// Answers may arrive late, repeated or out of order, so `matched` never goes back and only an
    /// answer to the latest part moves the offset. A follower that restarted asks for offset 0.
    pub fn answer(&mut self, body: &Body, last_index: u64) {
        match *body {
            Body::Appended {
                index,
                matched,
                sent,
            } => {
                self.answered = self.answered.max(Some(sent));
                self.waiting = false;
                if matched {
                    self.matched = self.matched.max(index);
                    self.next = self.next.max(self.matched + 1);
                    self.transfer = None;
                } else {
                    let retry = (index + 1).min(self.next.saturating_sub(1));
                    self.next = retry.clamp(self.matched + 1, last_index + 1);
                }
            }
            Body::Wanted {
                index,
                offset,
                sent,
            } => {
                self.answered = self.answered.max(Some(sent));
                if let Some(transfer) = &mut self.transfer
                    && transfer.snapshot.index == index
                    && transfer.sent <= sent
                    && transfer.offset != offset
                {
                    transfer.offset = offset;
                    self.waiting = false;
                    self.due = true;
                }
            }
            Body::Ask { .. } | Body::Vote { .. } | Body::Append { .. } | Body::Chunk { .. } => {}
        }
    }
}

impl Lead {
    pub fn new(term: u64, first: u64, now: Time) -> Self {
        Self {
            term,
            first,
            elected: false,
            since: now,
            heartbeat: now,
            synced: 0,
            tickets: VecDeque::new(),
            followers: Vec::new(),
        }
    }

    /// Follows the replica set: new members start at `next`, removed ones are dropped.
    pub fn follow(&mut self, members: &Members, own: Identity, next: u64) {
        self.followers
            .retain(|f| members.is_voter(f.id) || members.is_learner(f.id));
        for member in members.voters.iter().chain(&members.learners) {
            if member.id == own {
                continue;
            }
            if let Err(at) = self.followers.binary_search_by_key(&member.id, |f| f.id) {
                self.followers.insert(at, Follower::new(member.id, next));
            }
        }
    }

    pub fn follower(&self, id: Identity) -> Option<&Follower> {
        let at = self.followers.binary_search_by_key(&id, |f| f.id).ok()?;
        self.followers.get(at)
    }

    pub fn follower_mut(&mut self, id: Identity) -> Option<&mut Follower> {
        let at = self.followers.binary_search_by_key(&id, |f| f.id).ok()?;
        self.followers.get_mut(at)
    }

    /// Returns the lowest index of the snapshots that are being sent to followers that have answered
    /// within `limit`.
    ///
    /// The entries after it are kept, since the follower needs them next.
    pub fn transfer_index(&self, now: Time, limit: Span) -> Option<u64> {
        let answers = |f: &&Follower| f.answered.is_some_and(|at| now.since(at) < limit);
        let transfers = self.followers.iter().filter(answers);
        transfers
            .filter_map(|f| f.transfer.as_ref())
            .map(|transfer| transfer.snapshot.index)
            .min()
    }

    /// Returns the highest index that a majority has synced.
    pub fn majority_index(&self, members: &Members, own: Identity, fault: Option<Fault>) -> u64 {
        let values = self.values(members, own, fault, Some(self.synced), |f| Some(f.matched));
        majority(values, members).unwrap_or(0)
    }

    /// Returns the latest send time such that a majority answered messages of that time or later.
    pub fn majority_time(
        &self,
        members: &Members,
        own: Identity,
        fault: Option<Fault>,
        now: Time,
    ) -> Option<Time> {
        let values = self.values(members, own, fault, Some(now), |f| f.answered);
        majority(values, members)
    }

    fn values<V, F>(
        &self,
        members: &Members,
        own: Identity,
        fault: Option<Fault>,
        own_value: Option<V>,
        value: F,
    ) -> Vec<Option<V>>
    where
        F: Fn(&Follower) -> Option<V>,
    {
        let mut values: Vec<_> = self
            .followers
            .iter()
            .filter(|f| members.counts(f.id, fault))
            .map(value)
            .collect();
        if members.is_voter(own) {
            values.push(own_value);
        }
        values
    }
}

/// Returns the highest value that a majority of the voters has reached.
fn majority<V>(mut values: Vec<Option<V>>, members: &Members) -> Option<V>
where
    V: Ord + Copy,
{
    values.sort_unstable_by(|a, b| b.cmp(a));
    values.get(members.quorum() - 1).copied().flatten()
}
