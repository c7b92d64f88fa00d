use super::{
    Action, Body, Content, Entry, Fault, Identity, Member, Members, Message, Payload, Refusal,
    Replica, lead::Lead, replica::State,
};
use crate::time::Time;

impl Replica {
    /// Becomes the leader and appends an entry of its own term.
    ///
    /// Entries of older terms commit only together with it, because a count of replicas alone
    /// doesn't protect them from being replaced.
    pub(super) fn lead(&mut self) {
        let first = self.log.last_index() + 1;
        let mut lead = Lead::new(self.vote.term, first, self.now);
        lead.follow(self.log.members(), self.id, first);
        self.state = State::Leader(lead);
        self.leader = Some(self.id);
        self.push(Content::Empty);
    }

    fn push(&mut self, content: Content) -> u64 {
        let index = self.log.last_index() + 1;
        self.store(Entry {
            index,
            term: self.vote.term,
            content,
        });
        if let State::Leader(lead) = &mut self.state {
            lead.follow(self.log.members(), self.id, index);
            if self.fault == Some(Fault::AcknowledgeBeforeSync) {
                lead.synced = index;
            }
        }
        index
    }

    /// Returns the end of the leader lease.
    pub(super) fn lease(&self, now: Time) -> Option<Time> {
        let State::Leader(lead) = &self.state else {
            return None;
        };
        let answered = lead.majority_time(self.log.members(), self.id, self.fault, now)?;
        Some(answered + self.timing.lease_duration)
    }

    /// Returns whether the replica may answer reads and send orders: it leads, has committed an
    /// entry of its term and holds the lease.
    #[must_use]
    pub fn may_act(&self, now: Time) -> bool {
        let elected = matches!(&self.state, State::Leader(lead) if lead.elected);
        elected && self.lease(now).is_some_and(|end| now < end)
    }

    /// Returns why the replica can't take requests.
    fn check_lead(&self) -> Result<(), Refusal> {
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

    pub(super) fn read(&mut self, ticket: u64) {
        let outcome = self.check_lead().map(|()| self.commit);
        self.act(Action::Read { ticket, outcome });
    }

    pub(super) fn propose(&mut self, ticket: u64, payload: Payload) {
        let limits = self.limits;
        let checked = self.check_lead().and_then(|()| {
            if payload.as_bytes().len() > limits.payload_bytes {
                let problem = format!("a payload has at most {} bytes", limits.payload_bytes);
                return Err(Refusal::Unfit(problem));
            }
            if self.log.last_index() - self.commit >= limits.uncommitted_entries {
                return Err(Refusal::Overloaded);
            }
            Ok(Content::Payload(payload))
        });
        self.submit(ticket, checked);
    }

    /// Starts a membership change, one at a time.
    pub(super) fn change<F>(&mut self, ticket: u64, members: F)
    where
        F: FnOnce(&Self) -> Result<Members, Refusal>,
    {
        let checked = self.check_lead().and_then(|()| {
            if self.log.members_index() > self.commit {
                return Err(Refusal::ChangeUnderWay);
            }
            members(self)
        });
        self.submit(ticket, checked.map(Content::Members));
    }

    fn submit(&mut self, ticket: u64, content: Result<Content, Refusal>) {
        match content {
            Ok(content) => {
                let index = self.push(content);
                if let State::Leader(lead) = &mut self.state {
                    lead.tickets.push_back((index, ticket));
                }
                self.advance();
            }
            Err(refusal) => self.act(Action::Answer {
                ticket,
                outcome: Err(refusal),
            }),
        }
    }

    pub(super) fn added(&self, member: Member) -> Result<Members, Refusal> {
        let members = self.log.members();
        members.with_learner(member).map_err(Refusal::Unfit)
    }

    /// The present voters that answer need a majority without the new one, or its loss right after
    /// the change would stop the log. A second voter can only be added without this rule.
    pub(super) fn promoted(&self, id: Identity) -> Result<Members, Refusal> {
        let members = self.log.members();
        let next = members.with_promoted(id).map_err(Refusal::Unfit)?;
        if !self.caught_up(self.now).contains(&id) {
            return Err(Refusal::NotCaughtUp);
        }
        if members.voters.len() == 1 || self.answering(members) >= next.quorum() {
            return Ok(next);
        }
        let reason = "too few of the present voters answer; remove those that are lost first";
        Err(Refusal::Unfit(reason.to_owned()))
    }

    /// The remaining voters that answer need a majority, or nothing could be committed any more.
    pub(super) fn removed(&self, id: Identity) -> Result<Members, Refusal> {
        let next = self.log.members().without(id).map_err(Refusal::Unfit)?;
        if self.answering(&next) >= next.quorum() {
            return Ok(next);
        }
        let reason = "no majority of the remaining voters answers";
        Err(Refusal::Unfit(reason.to_owned()))
    }

    /// Returns how many of the voters have answered within the length of the lease.
    fn answering(&self, members: &Members) -> usize {
        let State::Leader(lead) = &self.state else {
            return 0;
        };
        let voters = members.voters.iter().map(|m| m.id);
        voters
            .filter(|&id| {
                let follower = lead.follower(id).and_then(|f| f.answered);
                id == self.id
                    || follower.is_some_and(|at| self.now < at + self.timing.lease_duration)
            })
            .count()
    }

    /// Returns the learners that have synced everything committed and answer now.
    pub(super) fn caught_up(&self, now: Time) -> Vec<Identity> {
        let State::Leader(lead) = &self.state else {
            return Vec::new();
        };
        let learners = self.log.members().learners.iter();
        learners
            .filter_map(|m| lead.follower(m.id))
            .filter(|f| f.matched >= self.commit)
            .filter(|f| {
                f.answered
                    .is_some_and(|at| now < at + self.timing.lease_duration)
            })
            .map(|f| f.id)
            .collect()
    }

    /// Sends heartbeats, and steps down when no majority has answered for an election timeout.
    pub(super) fn lead_tick(&mut self) {
        let answered = match &self.state {
            State::Leader(lead) => lead
                .majority_time(self.log.members(), self.id, self.fault, self.now)
                .map_or(lead.since, |at| at.max(lead.since)),
            _ => return,
        };
        if self.now.since(answered) >= self.timing.min_election_timeout() {
            return self.follow();
        }
        if let State::Leader(lead) = &mut self.state
            && self.now.since(lead.heartbeat) >= self.timing.heartbeat_interval
        {
            lead.heartbeat = self.now;
            for follower in &mut lead.followers {
                follower.waiting = false;
                follower.due = true;
            }
        }
    }

    /// Sends what followers lack, one message at a time to each.
    pub(super) fn replicate(&mut self) {
        let State::Leader(lead) = &mut self.state else {
            return;
        };
        let limits = self.limits;
        let mut messages = Vec::new();
        for follower in &mut lead.followers {
            let behind = follower.next <= self.log.last_index() || follower.told < self.commit;
            if !follower.due && (follower.waiting || !behind) {
                continue;
            }
            follower.due = false;
            follower.told = self.commit;
            let prev_index = follower.next - 1;
            let body = match self.log.term_at(prev_index) {
                Some(prev_term) => Body::Append {
                    prev_index,
                    prev_term,
                    entries: self.log.batch(
                        follower.next,
                        limits.batch_entries,
                        limits.batch_bytes,
                    ),
                    commit: self.commit,
                    sent: self.now,
                },
                None => follower.chunk(&self.log, self.now, limits.chunk_bytes),
            };
            follower.waiting = true;
            messages.push((follower.id, body));
        }
        let term = self.vote.term;
        for (to, body) in messages {
            self.send(to, term, body);
        }
    }

    /// Handles a follower's answer.
    pub(super) fn answered(&mut self, message: &Message) {
        if self.log.members().member(message.from).is_none() {
            return;
        }
        if message.term > self.vote.term {
            return self.adopt(message.term);
        }
        let State::Leader(lead) = &mut self.state else {
            return;
        };
        if message.term < self.vote.term {
            return;
        }
        let Some(follower) = lead.follower_mut(message.from) else {
            return;
        };
        follower.answer(&message.body, self.log.last_index());
        self.advance();
    }

    /// Commits what a majority has synced.
    pub(super) fn advance(&mut self) {
        let State::Leader(lead) = &self.state else {
            return;
        };
        let index = lead.majority_index(self.log.members(), self.id, self.fault);
        let own_term = index >= lead.first || self.fault == Some(Fault::CommitOlderTerm);
        if index <= self.commit || !own_term {
            return;
        }
        self.commit_to(index);
        self.finish_commit();
    }

    /// Reports the election after the first commit of the term, or ends the term if the leader is
    /// not a voter.
    fn finish_commit(&mut self) {
        let (id, commit) = (self.id, self.commit);
        let State::Leader(lead) = &mut self.state else {
            return;
        };
        if commit < lead.first {
            return;
        }
        if self.log.members_index() <= commit && !self.log.members().is_voter(id) {
            self.follow();
        } else if !lead.elected {
            lead.elected = true;
            let term = lead.term;
            self.act(Action::Elected { term });
        }
    }

    /// Answers the tickets of a committed entry.
    pub(super) fn answer_committed(&mut self, index: u64) {
        let State::Leader(lead) = &mut self.state else {
            return;
        };
        let Some(&(at, ticket)) = lead.tickets.front() else {
            return;
        };
        if at == index {
            lead.tickets.pop_front();
            self.act(Action::Answer {
                ticket,
                outcome: Ok(index),
            });
        }
    }
}
