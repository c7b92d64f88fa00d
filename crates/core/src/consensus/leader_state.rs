use std::collections::VecDeque;

use super::{Body, Fault, Identity, Members, Snapshot};
use crate::time::{Span, Time};

/// State that a replica keeps while it is the leader.
#[derive(Debug)]
pub struct LeaderState {
    /// Term of the leader.
    pub term: u64,
    /// Index of the first entry of the leader's term.
    pub first_index: u64,
    /// Whether that entry is committed.
    pub first_committed: bool,
    /// Time of the election on the leader's clock.
    pub started: Time,
    /// Time of the last heartbeats.
    pub last_heartbeat: Time,
    /// Last index that the leader itself has synced.
    pub synced_index: u64,
    /// Indexes and tickets of the uncommitted proposals and membership changes, in log order.
    pub pending: VecDeque<(u64, u64)>,
    /// Followers, sorted by identity.
    pub followers: Vec<Follower>,
}

/// Replication progress of a follower.
#[derive(Debug)]
pub struct Follower {
    pub id: Identity,
    /// Index of the next entry to send.
    pub next_index: u64,
    /// Last index that the follower is known to have synced.
    pub match_index: u64,
    /// Latest send time, on the leader's clock, of a message that the follower has answered.
    pub answered_send_time: Option<Time>,
    /// Whether entries or a snapshot part are in flight, that is, sent and not answered.
    pub in_flight: bool,
    /// Send time of the latest entries or snapshot part. An answer to a later message shows that
    /// they were lost, as messages and answers keep their order on a connection.
    pub content_sent: Time,
    /// Whether a message is due even if one is in flight or nothing is new.
    pub send_due: bool,
    /// Commit index in the last message.
    pub sent_commit: u64,
    /// Transfer of a snapshot, if the log no longer has the next entry.
    pub transfer: Option<SnapshotTransfer>,
}

/// Progress of sending a snapshot to a follower.
#[derive(Debug)]
pub struct SnapshotTransfer {
    /// The snapshot. It is not replaced by a newer one, so that a transfer completes even if
    /// snapshots are taken faster than they are sent.
    pub snapshot: Snapshot,
    /// Offset of the part that is due or in flight, in bytes.
    pub offset: u64,
    /// Send time of the latest part.
    pub last_sent: Time,
}

impl Follower {
    fn new(id: Identity, next_index: u64) -> Self {
        Self {
            id,
            next_index,
            match_index: 0,
            answered_send_time: None,
            in_flight: false,
            content_sent: Time::ZERO,
            send_due: true,
            sent_commit: 0,
            transfer: None,
        }
    }
}

impl Follower {
    /// Updates the progress from a response to entries or to a part of a snapshot.
    ///
    /// Responses may be delayed, duplicated or reordered, so `match_index` never decreases and only
    /// a response to the latest part changes the offset. A restarted follower requests offset 0.
    pub fn handle_response(&mut self, body: &Body, last_index: u64) {
        match *body {
            Body::Appended {
                index,
                matched,
                sent,
            } => {
                self.answered_send_time = self.answered_send_time.max(Some(sent));
                self.in_flight &= sent < self.content_sent;
                if matched {
                    self.match_index = self.match_index.max(index);
                    self.next_index = self.next_index.max(self.match_index + 1);
                    self.transfer = None;
                } else {
                    let retry = (index + 1).min(self.next_index.saturating_sub(1));
                    self.next_index = retry.clamp(self.match_index + 1, last_index + 1);
                }
            }
            Body::Wanted {
                index,
                offset,
                sent,
            } => {
                self.answered_send_time = self.answered_send_time.max(Some(sent));
                if let Some(transfer) = &mut self.transfer
                    && transfer.snapshot.index == index
                    && transfer.last_sent <= sent
                    && transfer.offset != offset
                {
                    transfer.offset = offset;
                    self.in_flight = false;
                    self.send_due = true;
                }
            }
            Body::Ask { .. } | Body::Vote { .. } | Body::Append { .. } | Body::Chunk { .. } => {}
        }
    }
}

impl LeaderState {
    pub fn new(term: u64, first_index: u64, now: Time) -> Self {
        Self {
            term,
            first_index,
            first_committed: false,
            started: now,
            last_heartbeat: now,
            synced_index: 0,
            pending: VecDeque::new(),
            followers: Vec::new(),
        }
    }

    /// Adds new members of the replica set as followers, starting at `next_index`, and drops
    /// removed ones.
    pub fn update_followers(&mut self, members: &Members, own: Identity, next_index: u64) {
        self.followers
            .retain(|f| members.is_voter(f.id) || members.is_learner(f.id));
        for member in members.voters.iter().chain(&members.learners) {
            if member.id == own {
                continue;
            }
            if let Err(at) = self.followers.binary_search_by_key(&member.id, |f| f.id) {
                self.followers
                    .insert(at, Follower::new(member.id, next_index));
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

    /// Returns the lowest index of the snapshots that are being sent to followers whose last
    /// answered message was sent less than `limit` ago.
    ///
    /// The entries after it are kept in memory, since the follower needs them next.
    pub fn min_transfer_index(&self, now: Time, limit: Span) -> Option<u64> {
        let responsive =
            |f: &&Follower| f.answered_send_time.is_some_and(|at| now.since(at) < limit);
        let transfers = self.followers.iter().filter(responsive);
        transfers
            .filter_map(|f| f.transfer.as_ref())
            .map(|transfer| transfer.snapshot.index)
            .min()
    }

    /// Returns the highest index that a majority has synced.
    pub fn majority_index(&self, members: &Members, own: Identity, fault: Option<Fault>) -> u64 {
        let values = self.voter_values(members, own, fault, Some(self.synced_index), |f| {
            Some(f.match_index)
        });
        majority(values, members).unwrap_or(0)
    }

    /// Returns the latest time such that a majority answered messages sent at that time or later.
    pub fn majority_send_time(
        &self,
        members: &Members,
        own: Identity,
        fault: Option<Fault>,
        now: Time,
    ) -> Option<Time> {
        let values = self.voter_values(members, own, fault, Some(now), |f| f.answered_send_time);
        majority(values, members)
    }

    /// Returns a value of each replica that counts toward a majority.
    fn voter_values<V, F>(
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
            .filter(|f| members.counts_toward_majority(f.id, fault))
            .map(value)
            .collect();
        if members.is_voter(own) {
            values.push(own_value);
        }
        values
    }
}

/// Returns the highest value that a majority of the voters has reached, or `None` if fewer have a
/// value.
fn majority<V>(mut values: Vec<Option<V>>, members: &Members) -> Option<V>
where
    V: Ord + Copy,
{
    values.sort_unstable_by(|a, b| b.cmp(a));
    values.get(members.quorum() - 1).copied().flatten()
}
