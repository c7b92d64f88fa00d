use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    Action, Body, Content, Entry, Event, Fault, Identity, Image, Limits, Members, Message, Record,
    Refusal, Role, Settings, Status, Timing, Vote, leader_state::LeaderState, log::Log,
    transfer::IncomingSnapshot, write_queue::WriteQueue,
};
use crate::time::{Span, Time};

/// A replica of the log, as a state machine without I/O.
#[derive(Debug)]
pub struct Replica {
    pub(super) id: Identity,
    pub(super) limits: Limits,
    pub(super) timing: Timing,
    pub(super) fault: Option<Fault>,
    pub(super) vote: Vote,
    pub(super) log: Log,
    pub(super) write_queue: WriteQueue,
    pub(super) commit_index: u64,
    pub(super) state: State,
    /// Leader of the current term, if it is known.
    pub(super) leader: Option<Identity>,
    /// Time of the last message from a leader, or of the start: contact before a crash is not
    /// stored, so a replica that restarts assumes that it has just heard from a leader.
    pub(super) last_leader_contact: Time,
    /// Time at which the current election timeout started.
    pub(super) timeout_started: Time,
    pub(super) incoming_snapshot: Option<IncomingSnapshot>,
    /// Time of the current step.
    pub(super) now: Time,
    election_timeout: Span,
    random: ChaCha8Rng,
    /// Whether a contradiction in the log was found, after which events are ignored.
    halted: bool,
    /// Actions of the current step.
    actions: Vec<Action>,
}

/// Role of a replica with the state that it needs.
#[derive(Debug)]
pub enum State {
    Follower,
    /// With the voters that granted a pre-vote.
    PreCandidate(Vec<Identity>),
    /// With the voters that granted their vote.
    Candidate(Vec<Identity>),
    Leader(LeaderState),
}

impl Replica {
    /// Starts a replica from the persistent state in its data folder.
    ///
    /// The state machine must start from the snapshot of the image.
    #[must_use]
    pub fn new(settings: &Settings, image: Image, now: Time) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(settings.seed);
        Self {
            id: image.id,
            limits: settings.limits,
            timing: settings.timing,
            fault: settings.fault,
            vote: image.vote,
            commit_index: image.snapshot.index,
            log: Log::new(image.snapshot, image.entries),
            write_queue: WriteQueue::default(),
            state: State::Follower,
            leader: None,
            last_leader_contact: now,
            timeout_started: now,
            incoming_snapshot: None,
            now,
            election_timeout: random_timeout(&mut random, settings.timing),
            random,
            halted: false,
            actions: Vec::new(),
        }
    }

    /// Handles an event and returns the actions in the order in which they must be carried out.
    ///
    /// `now` must not decrease between calls.
    pub fn step(&mut self, event: Event, now: Time) -> Vec<Action> {
        self.now = now;
        if self.halted {
            return Vec::new();
        }
        match event {
            Event::Tick => self.handle_tick(),
            Event::Received(message) => self.handle_message(message),
            Event::Synced(sequence) => self.handle_synced(sequence),
            Event::Snapshotted { index, data } => self.handle_snapshotted(index, data),
            Event::Propose { ticket, payload } => self.propose(ticket, payload),
            Event::Read { ticket } => self.read(ticket),
            Event::AddLearner { ticket, member } => {
                self.change_members(ticket, |replica| replica.members_with_learner(member));
            }
            Event::Promote { ticket, id } => {
                self.change_members(ticket, |replica| replica.members_with_promoted(id));
            }
            Event::Remove { ticket, id } => {
                self.change_members(ticket, |replica| replica.members_without(id));
            }
        }
        self.flush();
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
        self.commit_index
    }

    /// Returns the approximate size of the entries in memory, in bytes.
    #[must_use]
    pub fn log_bytes(&self) -> u64 {
        self.log.size_after(self.log.base_index())
    }

    /// Returns the current term.
    #[must_use]
    pub const fn term(&self) -> u64 {
        self.vote.term
    }

    /// Returns the role of the replica in its term.
    #[must_use]
    pub const fn role(&self) -> Role {
        match self.state {
            State::Follower => Role::Follower,
            State::PreCandidate(_) => Role::PreCandidate,
            State::Candidate(_) => Role::Candidate,
            State::Leader(_) => Role::Leader,
        }
    }

    /// Returns the replica set of the latest entry that changes it, committed or not.
    #[must_use]
    pub const fn members(&self) -> &Members {
        self.log.members()
    }

    /// Returns the state that is reported to operators.
    #[must_use]
    pub fn status(&self, now: Time) -> Status {
        let members = self.log.members();
        Status {
            id: self.id,
            role: self.role(),
            term: self.vote.term,
            leader: self.leader,
            commit: self.commit_index,
            last: self.log.last_index(),
            voters: members.voters.clone(),
            learners: members.learners.clone(),
            caught_up: self.caught_up_learners(now),
            lease: self.lease_end(now),
            may_act: self.may_act(now),
        }
    }

    fn handle_tick(&mut self) {
        if matches!(self.state, State::Leader(_)) {
            self.leader_tick();
        } else if let Some(delay) = self.election_delay()
            && self.now.since(self.timeout_started) >= delay
        {
            self.start_pre_vote();
        }
    }

    fn handle_message(&mut self, message: Message) {
        if message.to != self.id || message.from == self.id {
            return;
        }
        match message.body {
            Body::Ask { .. } => self.handle_vote_request(&message),
            Body::Vote { pre, granted } => {
                self.handle_vote(message.from, message.term, pre, granted);
            }
            Body::Append { .. } => self.handle_append(message),
            Body::Chunk { .. } => self.handle_chunk(message),
            Body::Appended { .. } | Body::Wanted { .. } => self.handle_response(&message),
        }
    }

    fn handle_synced(&mut self, sequence: u64) {
        for message in self.write_queue.mark_synced(sequence) {
            self.deliver(message);
        }
        if let (State::Leader(leader), Some(last)) =
            (&mut self.state, self.write_queue.synced_last_index())
        {
            leader.synced_index = leader.synced_index.max(last);
            self.advance_commit();
        }
    }

    /// Sends a message, or handles it if it is the replica's own vote.
    fn deliver(&mut self, message: Message) {
        match message.body {
            Body::Vote { pre, granted } if message.to == self.id => {
                self.handle_vote(self.id, message.term, pre, granted);
            }
            _ => self.push_action(Action::Send(message)),
        }
    }

    /// Sends due messages to followers and starts the next write, after all state changes of the
    /// step.
    fn flush(&mut self) {
        if matches!(self.state, State::Leader(_)) {
            self.replicate();
        }
        if let Some(write) = self.write_queue.next_write(self.log.last_index()) {
            self.push_action(write);
        }
    }

    pub(super) fn push_action(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Sends a message at once. It must not depend on unsynced records.
    pub(super) fn send(&mut self, to: Identity, term: u64, body: Body) {
        let from = self.id;
        self.push_action(Action::Send(Message {
            from,
            to,
            term,
            body,
        }));
    }

    /// Sends a message of the current term once all records pushed so far are synced.
    pub(super) fn send_after_sync(&mut self, to: Identity, body: Body) {
        let message = Message {
            from: self.id,
            to,
            term: self.vote.term,
            body,
        };
        let skips_sync = self.fault.is_some_and(|f| f.skips_sync(&message));
        if skips_sync || self.write_queue.is_synced() {
            self.deliver(message);
        } else {
            self.write_queue.defer(message);
        }
    }

    /// Appends an entry to the log and to the next write.
    pub(super) fn append_entry(&mut self, entry: Entry) {
        self.write_queue.push(Record::Entry(entry.clone()));
        self.log.append(entry);
    }

    /// Becomes a follower in `term` if it is later than the current one.
    pub(super) fn adopt_term(&mut self, term: u64) {
        if term > self.vote.term {
            self.set_vote(Vote {
                term,
                candidate: None,
            });
            self.leader = None;
            self.become_follower();
        }
    }

    /// Records the term and vote.
    pub(super) fn set_vote(&mut self, vote: Vote) {
        self.write_queue.push(Record::Vote(vote.clone()));
        self.write_queue.drop_deferred_before(vote.term);
        self.vote = vote;
    }

    /// Becomes a follower; a leader refuses its uncommitted requests and steps down.
    pub(super) fn become_follower(&mut self) {
        let old = std::mem::replace(&mut self.state, State::Follower);
        let State::Leader(leader) = old else {
            return;
        };
        for (_, ticket) in leader.pending {
            self.push_action(Action::Answer {
                ticket,
                outcome: Err(Refusal::LeaderChanged),
            });
        }
        self.leader = None;
        self.restart_election_timeout();
        self.push_action(Action::StepDown { term: leader.term });
    }

    pub(super) const fn election_timeout(&self) -> Span {
        self.election_timeout
    }

    pub(super) fn restart_election_timeout(&mut self) {
        self.timeout_started = self.now;
        self.election_timeout = random_timeout(&mut self.random, self.timing);
    }

    /// Commits the entries up to `index` and applies them in order.
    pub(super) fn commit_to(&mut self, index: u64) {
        for at in self.commit_index + 1..=index {
            let Some(entry) = self.log.entry(at) else {
                return self.halt(format!("committed entry {at} is missing from the log"));
            };
            if let Content::Payload(payload) = &entry.content {
                let (term, payload) = (entry.term, payload.clone());
                self.push_action(Action::Apply {
                    index: at,
                    term,
                    payload,
                });
            }
            self.commit_index = at;
            self.answer_committed(at);
        }
    }

    /// Stops the replica after a contradiction in the log.
    pub(super) fn halt(&mut self, reason: String) {
        self.become_follower();
        self.halted = true;
        self.push_action(Action::Halt { reason });
    }
}

/// Returns a random election timeout.
fn random_timeout(random: &mut ChaCha8Rng, timing: Timing) -> Span {
    let range = timing.min_election_timeout().as_millis()..=timing.max_election_timeout.as_millis();
    Span::from_millis(random.random_range(range))
}
