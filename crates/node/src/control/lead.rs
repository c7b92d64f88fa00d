use masticlock_core::{
    command, consensus, error, feed, machine,
    machine::Input,
    time::{Span, Time},
};

use super::{
    disk::Work,
    job::{Job, Reply, send},
    metrics::Figures,
    state::{EntryReply, Held, InForce, Read, State, Waiting},
};
use crate::rpc::{self, Failure};

/// Time without a poll after which an instance is no longer listed as one that must confirm.
const FORGET: Span = Span::from_secs(3_600);

/// Most polls that are held at once.
const MAX_HELD: usize = 1_024;

impl State {
    /// Answers a call, now or later.
    pub fn job(&mut self, job: Job) {
        if self.stopping && !matches!(job, Job::Messages(..) | Job::Replica(_)) {
            return job.fail(self.not_leader());
        }
        match job {
            Job::Messages(messages, reply) => {
                let answers = self.receive(messages);
                send(reply, Ok(answers));
            }
            Job::Replica(reply) => send(reply, Ok(self.replica.status(self.clock.now()))),
            Job::Join(join, reply) => self.join(join.member, reply),
            Job::Submit(submit, reply) => {
                let waiting = Waiting::Submit(submit.wait.min(rpc::MAX_WAIT), reply);
                self.propose(Input::Submit(submit.command), waiting);
            }
            Job::Lookup(lookup, reply) => self.read(Read::Lookup(lookup, reply)),
            Job::Status(reply) => self.read(Read::Status(reply)),
            Job::Config(reply) => self.read(Read::Config(reply)),
            Job::Share(share, reply) => {
                let answer = if self.may_act() {
                    Ok(self.rollouts.share(&share, self.clock.now()))
                } else {
                    Err(self.not_leader())
                };
                send(reply, answer);
            }
            Job::Timeline(from, reply) => send(reply, Ok(self.journal.after(from.after))),
            Job::Claim(lookup, reply) => self.read(Read::Claim(lookup, reply)),
            Job::Poll(poll, reply) => self.poll(poll, reply),
            Job::Begin(ask, reply) => {
                let waiting = Waiting::Entry(EntryReply::Begin(reply));
                self.propose(Input::Begin(ask), waiting);
            }
            Job::Finish(finish, reply) => {
                let waiting = Waiting::Entry(EntryReply::Applied(reply));
                self.propose(Input::Finish(finish), waiting);
            }
            Job::Acquire(ask, reply) => {
                let waiting = Waiting::Entry(EntryReply::Acquire(reply));
                self.propose(Input::Acquire(ask), waiting);
            }
            Job::Release(release, reply) => {
                let input = Input::Release {
                    fingerprint: release.fingerprint,
                    request: release.request,
                    instance: release.instance,
                };
                self.propose(input, Waiting::Entry(EntryReply::Applied(reply)));
            }
            Job::Put(bills, reply) => self.put_bills(bills.bills, Some(reply)),
            Job::List(page, reply) => send(reply, Ok(self.bills.page(page.from))),
        }
    }

    fn poll(&mut self, poll: feed::Poll, reply: Reply<feed::Reply>) {
        if !self.may_act() {
            return send(reply, Err(self.not_leader()));
        }
        if self.held.len() >= MAX_HELD {
            let failure = Failure::new(error::Kind::Overloaded, "too many polls are held");
            return send(reply, Err(failure));
        }
        let arrived = self.clock.now();
        let (poll, news) = self.feed.receive_poll(poll, arrived);
        self.held.push(Held {
            poll,
            arrived,
            reply,
        });
        if news {
            self.update_roster();
        }
        self.wake();
    }

    /// Proposes the arrivals and departures that the polls tell of.
    fn update_roster(&mut self) {
        let members = self.machine.members();
        let mut inputs = Vec::new();
        for peer in self.feed.peers(self.clock.now()) {
            let known = members
                .binary_search_by(|m| m.instance.cmp(&peer.instance))
                .ok()
                .map(|at| &members[at]);
            let same = known.is_some_and(|m| m.incarnation == peer.incarnation);
            if peer.leaving && same {
                inputs.push(Input::Leave(peer.instance));
            } else if !peer.leaving && !same {
                inputs.push(Input::Join(machine::Member {
                    instance: peer.instance,
                    domain: peer.domain,
                    incarnation: peer.incarnation,
                }));
            }
        }
        for input in inputs {
            self.propose_once(input);
        }
    }

    fn propose_once(&mut self, input: Input) {
        if !self.roster.contains(&input) {
            self.roster.push(input.clone());
            self.propose(input, Waiting::Nothing);
        }
    }

    /// Answers the polls that have news or were held long enough.
    ///
    /// An instance is answered only once it and those below it are listed
    /// among those that must confirm, because the answer gives them a
    /// configuration lease.
    pub fn wake(&mut self) {
        let now = self.clock.now();
        if !self.held.is_empty() && !self.may_act() {
            let failure = self.not_leader();
            for held in self.held.drain(..) {
                send(held.reply, Err(failure.clone()));
            }
        }
        let (feed, members) = (&self.feed, self.machine.members());
        let listed = |c: &feed::Confirmation| {
            let listed = members
                .binary_search_by(|m| m.instance.cmp(&c.instance))
                .is_ok_and(|at| members[at].incarnation >= c.incarnation);
            c.leaving || listed
        };
        let due = |held: &mut Held| {
            let over = now.since(held.arrived) >= held.poll.hold.min(feed::HOLD);
            let mut heard = std::iter::once(&held.poll.own).chain(&held.poll.below);
            heard.all(listed) && (over || feed.has_updates(&held.poll))
        };
        for held in self.held.extract_if(.., due) {
            let reply = feed.reply(&held.poll, now, held.arrived, now);
            send(held.reply, Ok(reply));
        }
        self.held.retain(|held| !held.reply.is_closed());
        self.wake_in_force(now);
    }

    fn wake_in_force(&mut self, now: Time) {
        if self.in_force.is_empty() {
            return;
        }
        for waiter in std::mem::take(&mut self.in_force) {
            let submitted = self.submitted(waiter.outcome.clone(), waiter.revision, now);
            if submitted.in_force || now >= waiter.until {
                send(waiter.reply, Ok(submitted));
            } else if !waiter.reply.is_closed() {
                self.in_force.push(waiter);
            }
        }
    }

    fn submitted(&self, outcome: command::Outcome, revision: u64, now: Time) -> rpc::Submitted {
        let pending = self.feed.pending(revision, self.machine.members(), now);
        rpc::Submitted {
            outcome,
            in_force: pending.iter().all(|p| p.lapsed),
            pending,
        }
    }

    /// Answers with an outcome, for an accepted one when it is in force or `wait` is over.
    pub fn answer_command(
        &mut self,
        outcome: command::Outcome,
        wait: Span,
        reply: Reply<rpc::Submitted>,
    ) {
        let now = self.clock.now();
        match outcome {
            command::Outcome::Accepted { revision } => {
                self.in_force.push(InForce {
                    revision,
                    until: now + wait,
                    outcome,
                    reply,
                });
                self.wake();
            }
            command::Outcome::Refused { .. } => {
                let submitted = rpc::Submitted {
                    outcome,
                    in_force: false,
                    pending: Vec::new(),
                };
                send(reply, Ok(submitted));
            }
        }
    }

    /// Answers a read from the applied state.
    pub fn read_now(&mut self, read: Read) {
        match read {
            Read::Lookup(lookup, reply) => self.look_up(&lookup, reply),
            Read::Status(reply) => send(reply, Ok(self.status())),
            Read::Config(reply) => send(reply, Ok(self.machine.config().clone())),
            Read::Claim(lookup, reply) => {
                let state = self.machine.claims().get(&lookup.key);
                send(reply, Ok(state.map(|r| r.state.clone())));
            }
        }
    }

    fn look_up(&mut self, lookup: &rpc::Lookup, reply: Reply<rpc::Submitted>) {
        if let Some(outcome) = self.machine.outcome(&lookup.id).cloned() {
            return self.answer_command(outcome, lookup.wait.min(rpc::MAX_WAIT), reply);
        }
        let text = format!("no outcome of command {} is kept", lookup.id);
        send(reply, Err(Failure::new(error::Kind::NotFound, text)));
    }

    fn status(&self) -> rpc::Status {
        let now = self.clock.now();
        let revision = self.machine.config().revision;
        let pending = self.feed.pending(revision, self.machine.members(), now);
        rpc::Status {
            revision,
            digest: self.machine.digest().to_owned(),
            in_force: pending.iter().all(|p| p.lapsed),
            pending,
            members: self.machine.members().to_vec(),
            contacts: self.feed.contacts().to_vec(),
            records: self.feed.records().all_from(0),
            claims: self.machine.claims().len(),
            bills: self.bills.requests(),
            replica: self.replica.status(now),
        }
    }

    /// Stores bills and answers once they are synced.
    pub fn put_bills(
        &mut self,
        bills: Vec<masticlock_core::ledger::Bill>,
        reply: Option<Reply<usize>>,
    ) {
        let mut lines = String::new();
        let mut fresh = 0;
        for bill in bills {
            match serde_json::to_string(&bill) {
                Ok(line) if self.bills.put(bill) => {
                    lines.push_str(&line);
                    lines.push('\n');
                    fresh += 1;
                }
                Ok(_) => {}
                Err(error) => log::error!("a bill can't be written: {error}"),
            }
        }
        // Known bills may be in a write that is not synced yet, so the answer
        // follows a write in any case.
        let number = self.next_ticket;
        self.next_ticket += 1;
        self.bill_writes.push((number, fresh, reply));
        self.disk.send(Work::Bills(number, lines));
    }

    /// Does what is due every second.
    pub fn housekeeping(&mut self) {
        let status = self.replica.status(self.clock.now());
        let mut known = [status.voters.as_slice(), status.learners.as_slice()].concat();
        known.sort_by_key(|m| m.id);
        known.retain(|m| m.id != status.id);
        self.peers.set(&known);
        if self.may_act() {
            self.expire_instances();
            self.promote(&status);
            self.move_rollouts();
        }
        self.metrics.report(self.figures(&status));
    }

    fn figures(&self, status: &consensus::Status) -> Figures {
        let (now, revision) = (self.clock.now(), self.machine.config().revision);
        let leads = self.may_act();
        let pending = if leads {
            self.feed
                .pending(revision, self.machine.members(), now)
                .len()
        } else {
            0
        };
        Figures {
            leads: u64::from(leads),
            term: status.term,
            revision,
            pending: pending as u64,
            claims: self.machine.claims().len() as u64,
            bills: self.bills.requests(),
        }
    }

    fn expire_instances(&mut self) {
        let now = self.clock.now();
        self.feed.refresh_contacts(now);
        let before = self.log_time();
        let gone = |i: &_| self.feed.time_since_poll(i, now) >= feed::LEASE_EXPIRY;
        let mut holders = self.machine.claims().holders();
        holders.retain(gone);
        for instance in holders {
            log::warn!("the claims of {instance} become unknown: it was silent too long");
            self.propose(Input::Gone { instance, before }, Waiting::Nothing);
        }
        let members = self.machine.members().iter().map(|m| m.instance.clone());
        let old: Vec<_> = members
            .filter(|i| self.feed.time_since_poll(i, now) >= FORGET)
            .collect();
        for instance in old {
            self.propose_once(Input::Leave(instance));
        }
        self.feed.remove_silent_peers(FORGET, now);
        self.update_roster();
    }

    /// Proposes the next steps of rollouts.
    ///
    /// The id of a step follows from the stage it leaves, so that two leaders
    /// that propose the same step make one change.
    fn move_rollouts(&mut self) {
        let now = self.clock.now();
        for command in self.rollouts.step(self.machine.config(), now) {
            if self.machine.outcome(&command.id).is_none() {
                self.propose(Input::Submit(command), Waiting::Nothing);
            }
        }
    }
}
