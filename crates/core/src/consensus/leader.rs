use super::{
    Action, Body, Content, Entry, Fault, Identity, Member, Members, Message, Payload, Refusal,
    Replica, leader_state::LeaderState, replica::State,
};
use crate::time::Time;

impl Replica {
    /// Becomes the leader and appends an empty entry of its own term.
    ///
    /// Entries of older terms are committed only together with an entry of the own term, because a
    /// later leader may replace them even if a majority of the replicas has them.
    pub(super) fn become_leader(&mut self) {
        let first = self.log.last_index() + 1;
        let mut leader = LeaderState::new(self.vote.term, first, self.now);
        leader.update_followers(self.log.members(), self.id, first);
        self.state = State::Leader(leader);
        self.leader = Some(self.id);
        self.append_content(Content::Empty);
    }

    /// Appends an entry of the current term and returns its index.
    fn append_content(&mut self, content: Content) -> u64 {
        let index = self.log.last_index() + 1;
        self.append_entry(Entry {
            index,
            term: self.vote.term,
            content,
        });
        if let State::Leader(leader) = &mut self.state {
            leader.update_followers(self.log.members(), self.id, index);
            if self.fault == Some(Fault::AcknowledgeBeforeSync) {
                leader.synced_index = index;
            }
        }
        index
    }

    /// Returns the end of the leader lease, if the replica is the leader and a majority has
    /// answered.
    pub(super) fn lease_end(&self, now: Time) -> Option<Time> {
        let State::Leader(leader) = &self.state else {
            return None;
        };
        let answered = leader.majority_send_time(self.log.members(), self.id, self.fault, now)?;
        Some(answered + self.timing.lease_duration)
    }

    /// Returns whether the replica may serve reads and send orders: it is the leader, has committed
    /// an entry of its term and holds the lease.
    #[must_use]
    pub fn may_act(&self, now: Time) -> bool {
        let first_committed =
            matches!(&self.state, State::Leader(leader) if leader.first_committed);
        first_committed && self.lease_end(now).is_some_and(|end| now < end)
    }

    /// Returns an error if the replica may not serve requests.
    fn check_leader(&self) -> Result<(), Refusal> {
        if !matches!(self.state, State::Leader(_)) {
            let leader = self.leader.and_then(|id| self.log.members().member(id));
            return Err(Refusal::NotLeader {
                leader: leader.cloned(),
            });
        }
        if self.may_act(self.now) {
            Ok(())
        } else {
            Err(Refusal::NoLease)
        }
    }

    /// Answers a linearizable read if the replica holds the lease.
    pub(super) fn read(&mut self, ticket: u64) {
        let outcome = self.check_leader().map(|()| self.commit_index);
        self.push_action(Action::Read { ticket, outcome });
    }

    /// Proposes a payload.
    pub(super) fn propose(&mut self, ticket: u64, payload: Payload) {
        let limits = self.limits;
        let checked = self.check_leader().and_then(|()| {
            if payload.as_bytes().len() > limits.payload_bytes {
                let problem = format!("a payload has at most {} bytes", limits.payload_bytes);
                return Err(Refusal::Unfit(problem));
            }
            let uncommitted = self.log.size_after(self.commit_index);
            let size = payload.as_bytes().len() as u64;
            let is_over = uncommitted > 0 && uncommitted + size > limits.uncommitted_bytes;
            if is_over || self.log.last_index() - self.commit_index >= limits.uncommitted_entries {
                return Err(Refusal::Overloaded);
            }
            Ok(Content::Payload(payload))
        });
        self.submit(ticket, checked);
    }

    /// Proposes a new replica set, unless another membership change is uncommitted.
    pub(super) fn change_members<F>(&mut self, ticket: u64, members: F)
    where
        F: FnOnce(&Self) -> Result<Members, Refusal>,
    {
        let checked = self.check_leader().and_then(|()| {
            if self.log.members_index() > self.commit_index {
                return Err(Refusal::ChangeUnderWay);
            }
            members(self)
        });
        self.submit(ticket, checked.map(Content::Members));
    }

    /// Appends the content of a request, or refuses the request.
    fn submit(&mut self, ticket: u64, content: Result<Content, Refusal>) {
        match content {
            Ok(content) => {
                let index = self.append_content(content);
                if let State::Leader(leader) = &mut self.state {
                    leader.pending.push_back((index, ticket));
                }
                self.advance_commit();
            }
            Err(refusal) => self.push_action(Action::Answer {
                ticket,
                outcome: Err(refusal),
            }),
        }
    }

    /// Returns the replica set with an additional learner.
    pub(super) fn members_with_learner(&self, member: Member) -> Result<Members, Refusal> {
        let members = self.log.members();
        members.with_learner(member).map_err(Refusal::Unfit)
    }

    /// Returns the replica set with the learner promoted to voter.
    ///
    /// The current voters that respond must form a majority of the new replica set without the new
    /// voter, or a failure of that voter right after the change would stop the log. The rule
    /// doesn't apply to a single voter, since it could then never get a second one.
    pub(super) fn members_with_promoted(&self, id: Identity) -> Result<Members, Refusal> {
        let members = self.log.members();
        let next = members.with_promoted(id).map_err(Refusal::Unfit)?;
        if !self.caught_up_learners(self.now).contains(&id) {
            return Err(Refusal::NotCaughtUp);
        }
        if members.voters.len() == 1 || self.responsive_voters(members) >= next.quorum() {
            return Ok(next);
        }
        let reason = "too few of the present voters answer; remove those that are lost first";
        Err(Refusal::Unfit(reason.to_owned()))
    }

    /// Returns the replica set without a voter or learner.
    ///
    /// The remaining voters that respond must be a majority, or nothing could be committed any
    /// more.
    pub(super) fn members_without(&self, id: Identity) -> Result<Members, Refusal> {
        let next = self.log.members().without(id).map_err(Refusal::Unfit)?;
        if self.responsive_voters(&next) >= next.quorum() {
            return Ok(next);
        }
        let reason = "no majority of the remaining voters answers";
        Err(Refusal::Unfit(reason.to_owned()))
    }

    /// Returns how many of the voters have answered a message sent within the last lease duration.
    fn responsive_voters(&self, members: &Members) -> usize {
        let State::Leader(leader) = &self.state else {
            return 0;
        };
        let voters = members.voters.iter().map(|m| m.id);
        voters
            .filter(|&id| {
                let follower = leader.follower(id).and_then(|f| f.answered_send_time);
                id == self.id
                    || follower.is_some_and(|at| self.now < at + self.timing.lease_duration)
            })
            .count()
    }

    /// Returns the learners that have synced everything committed and have answered a message sent
    /// within the last lease duration.
    pub(super) fn caught_up_learners(&self, now: Time) -> Vec<Identity> {
        let State::Leader(leader) = &self.state else {
            return Vec::new();
        };
        let learners = self.log.members().learners.iter();
        learners
            .filter_map(|m| leader.follower(m.id))
            .filter(|f| f.match_index >= self.commit_index)
            .filter(|f| {
                f.answered_send_time
                    .is_some_and(|at| now < at + self.timing.lease_duration)
            })
            .map(|f| f.id)
            .collect()
    }

    /// Marks heartbeats as due, and steps down when no majority has answered for the shortest
    /// election timeout.
    pub(super) fn leader_tick(&mut self) {
        let majority_time = match &self.state {
            State::Leader(leader) => leader
                .majority_send_time(self.log.members(), self.id, self.fault, self.now)
                .map_or(leader.started, |at| at.max(leader.started)),
            _ => return,
        };
        if self.now.since(majority_time) >= self.timing.min_election_timeout() {
            return self.become_follower();
        }
        if let State::Leader(leader) = &mut self.state
            && self.now.since(leader.last_heartbeat) >= self.timing.heartbeat_interval
        {
            leader.last_heartbeat = self.now;
            for follower in &mut leader.followers {
                follower.send_due = true;
            }
        }
    }

    /// Sends followers the entries or the snapshot part that they lack, and heartbeats that are
    /// due.
    ///
    /// Apart from heartbeats, each follower has one message in flight at a time. A heartbeat repeats
    /// no entries, which may be large and still on their way.
    pub(super) fn replicate(&mut self) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let limits = self.limits;
        let mut messages = Vec::new();
        for follower in &mut leader.followers {
            let behind = follower.next_index <= self.log.last_index()
                || follower.sent_commit < self.commit_index;
            if !follower.send_due && (follower.in_flight || !behind) {
                continue;
            }
            follower.send_due = false;
            follower.sent_commit = self.commit_index;
            let prev_index = follower.next_index - 1;
            let body = match self.log.term_at(prev_index) {
                Some(prev_term) => {
                    let entries = if follower.in_flight {
                        Vec::new()
                    } else {
                        follower.content_sent = self.now;
                        let (count, bytes) = (limits.batch_entries, limits.batch_bytes);
                        self.log.batch(follower.next_index, count, bytes)
                    };
                    Body::Append {
                        prev_index,
                        prev_term,
                        entries,
                        commit: self.commit_index,
                        sent: self.now,
                    }
                }
                None => follower.next_chunk(&self.log, self.now, limits.chunk_bytes),
            };
            follower.in_flight = true;
            messages.push((follower.id, body));
        }
        let term = self.vote.term;
        for (to, body) in messages {
            self.send(to, term, body);
        }
    }

    /// Handles a response of a follower.
    pub(super) fn handle_response(&mut self, message: &Message) {
        if self.log.members().member(message.from).is_none() {
            return;
        }
        if message.term > self.vote.term {
            return self.adopt_term(message.term);
        }
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        if message.term < self.vote.term {
            return;
        }
        let Some(follower) = leader.follower_mut(message.from) else {
            return;
        };
        follower.handle_response(&message.body, self.log.last_index());
        self.advance_commit();
    }

    /// Commits the entries that a majority has synced.
    pub(super) fn advance_commit(&mut self) {
        let State::Leader(leader) = &self.state else {
            return;
        };
        let index = leader.majority_index(self.log.members(), self.id, self.fault);
        let own_term = index >= leader.first_index || self.fault == Some(Fault::CommitOlderTerm);
        if index <= self.commit_index || !own_term {
            return;
        }
        self.commit_to(index);
        self.finish_commit();
    }

    /// Reports the election after the first commit of the term, or steps down if the leader is not
    /// a voter of the committed replica set.
    fn finish_commit(&mut self) {
        let (id, commit) = (self.id, self.commit_index);
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        if commit < leader.first_index {
            return;
        }
        if self.log.members_index() <= commit && !self.log.members().is_voter(id) {
            self.become_follower();
        } else if !leader.first_committed {
            leader.first_committed = true;
            let term = leader.term;
            self.push_action(Action::Elected { term });
        }
    }

    /// Answers the request whose entry was committed at `index`.
    pub(super) fn answer_committed(&mut self, index: u64) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let Some(&(at, ticket)) = leader.pending.front() else {
            return;
        };
        if at == index {
            leader.pending.pop_front();
            self.push_action(Action::Answer {
                ticket,
                outcome: Ok(index),
            });
        }
    }
}
