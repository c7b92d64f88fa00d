use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    Action, Body, Content, Entry, Event, Fault, Identity, Image, Limits, Members, Message, Record,
    Refusal, Role, Settings, Status, Timing, Vote, journal::Journal, lead::Lead, log::Log,
    transfer::Incoming,
};
use crate::time::{Span, Time};

/// A replica of the log.
#[derive(Debug)]
pub struct Replica {
    pub(super) id: Identity,
    pub(super) limits: Limits,
    pub(super) timing: Timing,
    pub(super) fault: Option<Fault>,
    pub(super) vote: Vote,
    pub(super) log: Log,
    pub(super) journal: Journal,
    pub(super) commit: u64,
    pub(super) state: State,
    pub(super) leader: Option<Identity>,
    /// When it last heard from a leader, or its start: a vote before the crash is forgotten, so a
    /// replica that restarts assumes that it has just heard from one.
    pub(super) heard: Time,
    /// Start of the current election timeout.
    pub(super) waiting_since: Time,
    pub(super) incoming: Option<Incoming>,
    pub(super) now: Time,
    timeout: Span,
    random: ChaCha8Rng,
    halted: bool,
    actions: Vec<Action>,
}

/// The role with what belongs to it.
#[derive(Debug)]
pub enum State {
    Follower,
    /// Voters that would grant their vote.
    PreCandidate(Vec<Identity>),
    /// Voters that granted their vote.
    Candidate(Vec<Identity>),
    Leader(Lead),
}

impl Replica {
    /// Starts a replica from what its data folder holds.
    ///
    /// The state machine starts from the snapshot of the image.
    #[must_use]
    pub fn new(settings: &Settings, image: Image, now: Time) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(settings.seed);
        Self {
            id: image.id,
            limits: settings.limits,
            timing: settings.timing,
            fault: settings.fault,
            vote: image.vote,
            commit: image.snapshot.index,
            log: Log::new(image.snapshot, image.entries),
            journal: Journal::default(),
            state: State::Follower,
            leader: None,
            heard: now,
            waiting_since: now,
            incoming: None,
            now,
            timeout: draw_timeout(&mut random, settings.timing),
            random,
            halted: false,
            actions: Vec::new(),
        }
    }

    /// Takes an event and returns the actions in the order in which they are to be carried out.
    ///
    /// `now` never goes back.
    pub fn step(&mut self, event: Event, now: Time) -> Vec<Action> {
        self.now = now;
        if self.halted {
            return Vec::new();
        }
        match event {
            Event::Tick => self.tick(),
            Event::Received(message) => self.receive(message),
            Event::Synced(sequence) => self.synced(sequence),
            Event::Snapshotted { index, data } => self.snapshotted(index, data),
            Event::Propose { ticket, payload } => self.propose(ticket, payload),
            Event::Read { ticket } => self.read(ticket),
            Event::AddLearner { ticket, member } => {
                self.change(ticket, |replica| replica.added(member));
            }
            Event::Promote { ticket, id } => self.change(ticket, |replica| replica.promoted(id)),
            Event::Remove { ticket, id } => self.change(ticket, |replica| replica.removed(id)),
        }
        self.settle();
        std::mem::take(&mut self.actions)
    }

    /// Returns the identity of the data folder.
    #[must_use]
    pub const fn id(&self) -> Identity {
        self.id
    }

    /// Returns the leader of the term, if it is known.
    #[must_use]
    pub const fn leader(&self) -> Option<Identity> {
        self.leader
    }

    /// Returns the index of the last committed entry, with or without a payload.
    #[must_use]
    pub const fn commit_index(&self) -> u64 {
        self.commit
    }

    /// Returns the current term.
    #[must_use]
    pub const fn term(&self) -> u64 {
        self.vote.term
    }

    /// Returns what the replica does in its term.
    #[must_use]
    pub const fn role(&self) -> Role {
        match self.state {
            State::Follower => Role::Follower,
            State::PreCandidate(_) => Role::PreCandidate,
            State::Candidate(_) => Role::Candidate,
            State::Leader(_) => Role::Leader,
        }
    }

    /// Returns the replica set of the latest entry that has one, committed or not.
    #[must_use]
    pub const fn members(&self) -> &Members {
        self.log.members()
    }

    /// Returns the state for status pages.
    #[must_use]
    pub fn status(&self, now: Time) -> Status {
        let members = self.log.members();
        Status {
            id: self.id,
            role: self.role(),
            term: self.vote.term,
            leader: self.leader,
            commit: self.commit,
            last: self.log.last_index(),
            voters: members.voters.clone(),
            learners: members.learners.clone(),
            caught_up: self.caught_up(now),
            lease: self.lease(now),
            may_act: self.may_act(now),
        }
    }

    fn tick(&mut self) {
        if matches!(self.state, State::Leader(_)) {
            self.lead_tick();
        } else if let Some(patience) = self.patience()
            && self.now.since(self.waiting_since) >= patience
        {
            self.probe();
        }
    }

    fn receive(&mut self, message: Message) {
        if message.to != self.id || message.from == self.id {
            return;
        }
        match message.body {
            Body::Ask { .. } => self.asked(&message),
            Body::Vote { pre, granted } => self.voted(message.from, message.term, pre, granted),
            Body::Append { .. } => self.append(message),
            Body::Chunk { .. } => self.chunk(message),
            Body::Appended { .. } | Body::Wanted { .. } => self.answered(&message),
        }
    }

    fn synced(&mut self, sequence: u64) {
        for message in self.journal.synced(sequence) {
            self.release(message);
        }
        if let (State::Leader(lead), Some(last)) = (&mut self.state, self.journal.synced_last()) {
            lead.synced = lead.synced.max(last);
            self.advance();
        }
    }

    /// Sends a message, or handles it if it is the replica's own vote.
    fn release(&mut self, message: Message) {
        match message.body {
            Body::Vote { pre, granted } if message.to == self.id => {
                self.voted(self.id, message.term, pre, granted);
            }
            _ => self.act(Action::Send(message)),
        }
    }

    /// Starts the next write and sends what is due after all state changes of the step.
    fn settle(&mut self) {
        if matches!(self.state, State::Leader(_)) {
            self.replicate();
        }
        if let Some(write) = self.journal.flush(self.log.last_index()) {
            self.act(write);
        }
    }

    pub(super) fn act(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Sends a message that promises nothing that is not synced.
    pub(super) fn send(&mut self, to: Identity, term: u64, body: Body) {
        let from = self.id;
        self.act(Action::Send(Message {
            from,
            to,
            term,
            body,
        }));
    }

    /// Sends a message in the current term once everything recorded so far is synced.
    pub(super) fn promise(&mut self, to: Identity, body: Body) {
        let message = Message {
            from: self.id,
            to,
            term: self.vote.term,
            body,
        };
        let overtakes = self.fault.is_some_and(|f| f.overtakes(&message));
        if overtakes || self.journal.is_synced() {
            self.release(message);
        } else {
            self.journal.hold(message);
        }
    }

    /// Appends an entry to the log and to the next write.
    pub(super) fn store(&mut self, entry: Entry) {
        self.journal.record(Record::Entry(entry.clone()));
        self.log.append(entry);
    }

    /// Moves to a later term as a follower.
    pub(super) fn adopt(&mut self, term: u64) {
        if term > self.vote.term {
            self.set_vote(Vote {
                term,
                candidate: None,
            });
            self.leader = None;
            self.follow();
        }
    }

    pub(super) fn set_vote(&mut self, vote: Vote) {
        self.journal.record(Record::Vote(vote.clone()));
        self.journal.forget_before(vote.term);
        self.vote = vote;
    }

    /// Becomes a follower and ends the leadership, if there was one.
    pub(super) fn follow(&mut self) {
        let old = std::mem::replace(&mut self.state, State::Follower);
        let State::Leader(lead) = old else {
            return;
        };
        for (_, ticket) in lead.tickets {
            self.act(Action::Answer {
                ticket,
                outcome: Err(Refusal::LeaderChanged),
            });
        }
        self.leader = None;
        self.restart_timeout();
        self.act(Action::StepDown { term: lead.term });
    }

    pub(super) const fn timeout(&self) -> Span {
        self.timeout
    }

    pub(super) fn restart_timeout(&mut self) {
        self.waiting_since = self.now;
        self.timeout = draw_timeout(&mut self.random, self.timing);
    }

    /// Commits up to `index` and applies what is new.
    pub(super) fn commit_to(&mut self, index: u64) {
        for at in self.commit + 1..=index {
            let Some(entry) = self.log.entry(at) else {
                return self.halt(format!("entry {at} was committed and is not in the log"));
            };
            if let Content::Payload(payload) = &entry.content {
                let (term, payload) = (entry.term, payload.clone());
                self.act(Action::Apply {
                    index: at,
                    term,
                    payload,
                });
            }
            self.commit = at;
            self.answer_committed(at);
        }
    }

    pub(super) fn halt(&mut self, reason: String) {
        self.follow();
        self.halted = true;
        self.act(Action::Halt { reason });
    }
}

fn draw_timeout(random: &mut ChaCha8Rng, timing: Timing) -> Span {
    let range = timing.min_election_timeout().as_millis()..=timing.max_election_timeout.as_millis();
    Span::from_millis(random.random_range(range))
}
