use super::{Body, Fault, Identity, Message, Replica, Vote, replica::State};
use crate::time::Span;

impl Replica {
    /// Returns how long the replica waits for a leader before it stands for election, or `None` if
    /// it never stands.
    ///
    /// A replica that is not a voter in its own log stands too, without counting its own vote: it
    /// may have a later log than a majority whose log already counts it as a voter (Ongaro, section
    /// 4.2.2). It waits longer, so that a voter is elected if possible.
    pub(super) fn election_delay(&self) -> Option<Span> {
        let members = self.log.members();
        if members.is_voter(self.id) {
            return Some(self.election_timeout());
        }
        let is_removed =
            members.is_removed(self.id) && self.log.members_index() <= self.commit_index;
        let may_stand = !members.voters.is_empty() && !is_removed;
        may_stand.then(|| {
            self.election_timeout()
                .plus(self.timing.max_election_timeout)
        })
    }

    /// Starts a pre-vote: asks the voters whether they would grant a vote, without starting a term.
    ///
    /// An isolated replica therefore does not end the leader's term when it reconnects.
    pub(super) fn start_pre_vote(&mut self) {
        self.restart_election_timeout();
        self.leader = None;
        self.state = State::PreCandidate(Vec::new());
        self.request_votes(true, self.vote.term + 1);
        self.handle_vote(self.id, self.vote.term + 1, true, true);
    }

    /// Starts a term as a candidate and requests votes.
    fn start_election(&mut self) {
        self.restart_election_timeout();
        self.state = State::Candidate(Vec::new());
        self.set_vote(Vote {
            term: self.vote.term + 1,
            candidate: Some(self.id),
        });
        self.request_votes(false, self.vote.term);
        let own_vote = Body::Vote {
            pre: false,
            granted: true,
        };
        self.send_after_sync(self.id, own_vote);
    }

    fn request_votes(&mut self, pre: bool, term: u64) {
        let body = Body::Ask {
            pre,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        for to in self.voting_peers() {
            if pre {
                self.send(to, term, body.clone());
            } else {
                self.send_after_sync(to, body.clone());
            }
        }
    }

    /// Returns the other replicas that count toward a majority.
    fn voting_peers(&self) -> Vec<Identity> {
        let members = self.log.members();
        let all = members.voters.iter().chain(&members.learners);
        all.map(|m| m.id)
            .filter(|&id| id != self.id && members.counts_toward_majority(id, self.fault))
            .collect()
    }

    /// Handles a vote or pre-vote request.
    pub(super) fn handle_vote_request(&mut self, message: &Message) {
        let Body::Ask {
            pre,
            last_index,
            last_term,
        } = message.body
        else {
            return;
        };
        let candidate_log = (last_term, last_index);
        if !self.accepts_candidate(message.from, candidate_log) || self.is_bound_by_lease() {
            return;
        }
        if !pre {
            self.adopt_term(message.term);
        }
        let own_log = (self.log.last_term(), self.log.last_index());
        let may_vote = pre || self.vote.candidate.is_none() || self.voted_for(message.from);
        let granted =
            message.term >= self.vote.term + u64::from(pre) && may_vote && candidate_log >= own_log;
        self.respond_to_vote_request(message, pre, granted);
    }

    /// Sends the response to a vote request; a granted vote is recorded first.
    fn respond_to_vote_request(&mut self, message: &Message, pre: bool, granted: bool) {
        let body = Body::Vote { pre, granted };
        if pre {
            let term = if granted {
                message.term
            } else {
                self.vote.term
            };
            return self.send(message.from, term, body);
        }
        if granted && !self.voted_for(message.from) {
            self.set_vote(Vote {
                term: message.term,
                candidate: Some(message.from),
            });
        }
        if granted {
            self.restart_election_timeout();
        }
        self.send_after_sync(message.from, body);
    }

    fn voted_for(&self, candidate: Identity) -> bool {
        self.vote.candidate == Some(candidate)
    }

    /// Returns whether to consider a vote request of the candidate, whose last term and index are
    /// `log`.
    ///
    /// Removed identities are ignored. Unknown ones are ignored unless their log is ahead: they may
    /// have been added by an entry that this replica has not received yet.
    fn accepts_candidate(&self, candidate: Identity, log: (u64, u64)) -> bool {
        let members = self.log.members();
        if members.is_removed(candidate) {
            return false;
        }
        members.member(candidate).is_some() || log > (self.log.last_term(), self.log.last_index())
    }

    /// Returns whether a leader may still hold a lease that this replica's answer extended, so that
    /// the replica must not vote.
    fn is_bound_by_lease(&self) -> bool {
        if self.fault == Some(Fault::VoteDuringLease) {
            return false;
        }
        match self.state {
            State::Leader(_) => self.lease_end(self.now).is_some_and(|end| self.now < end),
            _ => self.now.since(self.last_leader_contact) < self.timing.min_election_timeout(),
        }
    }

    /// Handles a vote or pre-vote, also the replica's own.
    pub(super) fn handle_vote(&mut self, from: Identity, term: u64, pre: bool, granted: bool) {
        let members = self.log.members();
        if members.member(from).is_none() {
            return;
        }
        if !granted {
            return self.adopt_term(term);
        }
        let (counts, quorum) = (
            members.counts_toward_majority(from, self.fault),
            members.quorum(),
        );
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
            self.start_election();
        } else {
            self.become_leader();
        }
    }
}
