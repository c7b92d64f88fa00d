use super::{Body, Fault, Identity, Message, Replica, Vote, replica::State};
use crate::time::Span;

impl Replica {
    /// Returns how long the replica waits for a leader before it stands for election.
    ///
    /// A replica that is no voter in its own log stands too, without counting itself: it may have a
    /// later log than a majority whose own log already counts it (Ongaro, section 4.2.2). It waits
    /// longer, so that a voter is elected if one can be.
    pub(super) fn patience(&self) -> Option<Span> {
        let members = self.log.members();
        if members.is_voter(self.id) {
            return Some(self.timeout());
        }
        let is_gone = members.is_removed(self.id) && self.log.members_index() <= self.commit;
        let stands = !members.voters.is_empty() && !is_gone;
        stands.then(|| self.timeout().plus(self.timing.max_election_timeout))
    }

    /// Asks the voters whether they would grant a vote, without a new term.
    ///
    /// A replica that was isolated thus can't end the leader's term when it returns.
    pub(super) fn probe(&mut self) {
        self.restart_timeout();
        self.leader = None;
        self.state = State::PreCandidate(Vec::new());
        self.ask(true, self.vote.term + 1);
        self.voted(self.id, self.vote.term + 1, true, true);
    }

    fn stand(&mut self) {
        self.restart_timeout();
        self.state = State::Candidate(Vec::new());
        self.set_vote(Vote {
            term: self.vote.term + 1,
            candidate: Some(self.id),
        });
        self.ask(false, self.vote.term);
        let own = Body::Vote {
            pre: false,
            granted: true,
        };
        self.promise(self.id, own);
    }

    fn ask(&mut self, pre: bool, term: u64) {
        let body = Body::Ask {
            pre,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        for to in self.peers() {
            if pre {
                self.send(to, term, body.clone());
            } else {
                self.promise(to, body.clone());
            }
        }
    }

    /// Returns the other replicas that may count toward a majority.
    fn peers(&self) -> Vec<Identity> {
        let members = self.log.members();
        let all = members.voters.iter().chain(&members.learners);
        all.map(|m| m.id)
            .filter(|&id| id != self.id && members.counts(id, self.fault))
            .collect()
    }

    pub(super) fn asked(&mut self, message: &Message) {
        let Body::Ask {
            pre,
            last_index,
            last_term,
        } = message.body
        else {
            return;
        };
        let candidate_log = (last_term, last_index);
        if !self.hears(message.from, candidate_log) || self.is_bound() {
            return;
        }
        if !pre {
            self.adopt(message.term);
        }
        let own_log = (self.log.last_term(), self.log.last_index());
        let free = pre || self.vote.candidate.is_none() || self.votes_for(message.from);
        let granted =
            message.term >= self.vote.term + u64::from(pre) && free && candidate_log >= own_log;
        self.grant(message, pre, granted);
    }

    fn grant(&mut self, message: &Message, pre: bool, granted: bool) {
        let body = Body::Vote { pre, granted };
        if pre {
            let term = if granted {
                message.term
            } else {
                self.vote.term
            };
            return self.send(message.from, term, body);
        }
        if granted && !self.votes_for(message.from) {
            self.set_vote(Vote {
                term: message.term,
                candidate: Some(message.from),
            });
        }
        if granted {
            self.restart_timeout();
        }
        self.promise(message.from, body);
    }

    fn votes_for(&self, candidate: Identity) -> bool {
        self.vote.candidate == Some(candidate)
    }

    /// Returns whether a candidate is heard.
    ///
    /// Removed identities are ignored. Unknown ones are ignored unless their log is ahead: they may
    /// have joined with an entry that this replica has not received yet.
    fn hears(&self, candidate: Identity, log: (u64, u64)) -> bool {
        let members = self.log.members();
        if members.is_removed(candidate) {
            return false;
        }
        members.member(candidate).is_some() || log > (self.log.last_term(), self.log.last_index())
    }

    /// Returns whether a leader may still count on this replica not to vote for another one.
    fn is_bound(&self) -> bool {
        if self.fault == Some(Fault::VoteDuringLease) {
            return false;
        }
        match self.state {
            State::Leader(_) => self.lease(self.now).is_some_and(|end| self.now < end),
            _ => self.now.since(self.heard) < self.timing.min_election_timeout(),
        }
    }

    pub(super) fn voted(&mut self, from: Identity, term: u64, pre: bool, granted: bool) {
        let members = self.log.members();
        if members.member(from).is_none() {
            return;
        }
        if !granted {
            return self.adopt(term);
        }
        let (counts, quorum) = (members.counts(from, self.fault), members.quorum());
        let expected = self.vote.term + u64::from(pre);
        let votes = match &mut self.state {
            State::PreCandidate(votes) if pre => votes,
            State::Candidate(votes) if !pre => votes,
            _ => return,
        };
        if term != expected || !counts || votes.contains(&from) {
            return;
        }
        votes.push(from);
        if votes.len() < quorum {
            return;
        }
        if pre {
            self.stand();
        } else {
            self.lead();
        }
    }
}
