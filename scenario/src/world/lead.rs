//! What a control leader does besides the log: polls, bills, departed instances and repairs.

use masticlock_core::{
    consensus::{Event, Member},
    feed, ledger, machine,
    machine::Input,
};

use super::{
    Id, Mutation, Role, World,
    control::{Held, To, Waiting, member},
    message::Body,
    step::Step,
};

impl World {
    pub(super) fn polled(&mut self, id: Id, call: u64, poll: feed::Poll, to: To) {
        let (now, redirect) = (self.now, self.redirect(id));
        let Some(process) = self.process(id) else {
            return;
        };
        if !process.may_act(now) {
            let reply = Err(redirect);
            return self.reply(id, to, Body::Polled { call, reply });
        }
        let revision = process.machine.config().revision;
        let had = process
            .feed
            .pending(revision, process.machine.members(), now);
        let (poll, news) = process.feed.receive_poll(poll, now);
        let has = process
            .feed
            .pending(revision, process.machine.members(), now);
        process.held.push(Held {
            poll,
            arrived: now,
            call,
            to,
        });
        if news {
            self.update_roster(id);
        }
        if !had.is_empty() && has.is_empty() {
            self.reach(Step::Confirmed, id, None);
        }
        self.wake(id);
    }

    pub(super) fn update_roster(&mut self, id: Id) {
        let now = self.now;
        let Some(process) = self.process(id) else {
            return;
        };
        let members = process.machine.members();
        let mut inputs = Vec::new();
        for peer in process.feed.peers(now) {
            let known = members.iter().find(|m| m.instance == peer.instance);
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
        inputs.retain(|input| !process.roster.contains(input));
        process.roster.extend(inputs.iter().cloned());
        for input in inputs {
            self.propose(id, input, Waiting::Nothing);
        }
    }

    pub(super) fn wake(&mut self, id: Id) {
        let now = self.now;
        let Some(process) = self.process(id) else {
            return;
        };
        if !process.may_act(now) {
            if !process.held.is_empty() {
                self.step_down(id);
            }
            return;
        }
        let (feed, members) = (&process.feed, process.machine.members());
        let listed = |c: &feed::Confirmation| {
            let found = members.iter().find(|m| m.instance == c.instance);
            c.leaving || found.is_some_and(|m| m.incarnation >= c.incarnation)
        };
        let due = |held: &mut Held| {
            let over = now.since(held.arrived) >= held.poll.hold.min(feed::HOLD);
            let mut heard = std::iter::once(&held.poll.own).chain(&held.poll.below);
            heard.all(listed) && (over || feed.has_updates(&held.poll))
        };
        let ready: Vec<_> = process.held.extract_if(.., due).collect();
        let replies: Vec<_> = ready
            .into_iter()
            .map(|h| (h.to, h.call, feed.reply(&h.poll, now, h.arrived, now)))
            .collect();
        for (to, call, reply) in replies {
            let reply = Ok(Box::new(reply));
            self.reply(id, to, Body::Polled { call, reply });
        }
    }

    /// Does what is due every second: departed instances and repairs.
    pub(super) fn housekeeping(&mut self, id: Id) {
        let now = self.now;
        let Some(process) = self.process(id) else {
            return;
        };
        process.housekeeping = now;
        if !process.may_act(now) {
            return;
        }
        process.feed.refresh_contacts(now);
        let before = process.machine.now() + now.since(process.applied_at);
        let mut holders = process.machine.claims().holders();
        holders.retain(|i| process.feed.time_since_poll(i, now) >= feed::LEASE_EXPIRY);
        for instance in holders {
            self.propose(id, Input::Gone { instance, before }, Waiting::Nothing);
        }
        self.update_roster(id);
        self.repair(id);
    }

    /// Takes a replica with a new identity in: learner, the old identity out, and voter.
    pub(super) fn repair(&mut self, leader: Id) {
        let fresh = self.parts.iter().find_map(|part| match &part.role {
            Role::Control(c) if c.repair && part.up => Some(member(part, c.id)),
            _ => None,
        });
        let (Some(fresh), now) = (fresh, self.now) else {
            return;
        };
        let Some(process) = self.process(leader) else {
            return;
        };
        let status = process.replica.status(now);
        let ticket = u64::MAX;
        let old = status
            .voters
            .iter()
            .find(|m| m.instance == fresh.instance && m.id != fresh.id);
        let is_learner = status.learners.iter().any(|m| m.id == fresh.id);
        let (event, step) = if status.voters.iter().any(|m| m.id == fresh.id) {
            return self.repaired(&fresh);
        } else if !is_learner {
            let member = fresh;
            (Event::AddLearner { ticket, member }, Step::Learner)
        } else if !status.caught_up.contains(&fresh.id) {
            return;
        } else if let Some(old) = old {
            // A lost voter is removed first, or another loss right after the
            // promotion would stop the log.
            (Event::Remove { ticket, id: old.id }, Step::Removed)
        } else {
            let id = fresh.id;
            (Event::Promote { ticket, id }, Step::Promoted)
        };
        self.step(leader, event);
        self.reach(step, leader, None);
    }

    pub(super) fn repaired(&mut self, fresh: &Member) {
        for part in &mut self.parts {
            if let Role::Control(control) = &mut part.role
                && control.id == fresh.id
            {
                control.repair = false;
            }
        }
    }

    /// Returns whether every replica that lost its data is a voter again.
    #[must_use]
    pub fn is_repaired(&self) -> bool {
        self.parts
            .iter()
            .all(|part| !matches!(&part.role, Role::Control(c) if c.repair))
    }

    /// Returns which live and reachable instances have not applied the latest revision.
    #[must_use]
    pub fn not_in_force(&mut self) -> Option<String> {
        let now = self.now;
        let leader = self.leader()?;
        let revision = self.process(leader)?.machine.config().revision;
        let behind = self.entry_ids().into_iter().find(|&id| {
            let reachable = self.reachable(id).is_some();
            let has = self
                .entry(id)
                .and_then(|p| p.feed.config().map(|c| c.revision));
            reachable && has.is_some() && has < Some(revision)
        })?;
        let name = &self.parts[behind].name;
        Some(format!(
            "revision {revision} is not in force on {name} at {now}"
        ))
    }

    pub(super) fn put(&mut self, id: Id, to: To, bills: Vec<ledger::Bill>) {
        let keyed = self.mutation != Some(Mutation::BillWithoutKey);
        let Role::Control(control) = &mut self.parts[id].role else {
            return;
        };
        for bill in &bills {
            let same = |b: &ledger::Bill| b.account == bill.account && b.request == bill.request;
            match control.bills.iter().position(same).filter(|_| keyed) {
                Some(at) if bill.supersedes(&control.bills[at]) => control.bills[at] = bill.clone(),
                Some(_) => {}
                None => control.bills.push(bill.clone()),
            }
        }
        if let Some(bill) = bills.first() {
            self.reach(Step::Billed, id, Some(&bill.request));
        }
        self.reply(id, to, Body::Stored(bills));
    }
}
