//! Entry instances: configuration, membership, ownership and bills.

use masticlock_core::{
    budget::Budget,
    directory, feed,
    gossip::{self, Gossip, Status},
    ledger, name,
    planner::Adaptive,
    slot::{Holder, Table},
    suspect::Tracker,
    time::{Span, Time},
};

use super::{
    CALL, Id, Role, World,
    job::Job,
    message::{Body, Envelope},
    record,
    step::Step,
};

/// Longest time that a stopping instance waits for its requests.
const STOP_LIMIT: Span = Span::from_secs(30);
/// Time for which the claims, bills and slots of a stopping instance may still be open.
const LINGER: Span = Span::from_secs(1);

/// An entry instance. Nothing of it survives the end of the process.
#[derive(Default)]
pub(super) struct Entry {
    pub(super) process: Option<Process>,
    /// Since when the instance has contact with the acting leader.
    pub(super) reach: Option<Time>,
}

pub(super) struct Process {
    pub(super) feed: feed::Client,
    pub(super) gossip: Gossip,
    pub(super) view: directory::View,
    pub(super) table: Table,
    pub(super) holder: Holder,
    pub(super) planner: Adaptive,
    pub(super) budget: Budget,
    pub(super) tracker: Tracker,
    pub(super) bills: ledger::PendingBills,
    pub(super) witness: ledger::Witness,
    pub(super) jobs: Vec<Job>,
    pub(super) polls: Vec<Polling>,
    pub(super) held: Vec<Held>,
    pub(super) calls: Vec<(u64, String, Time)>,
    pub(super) next_call: u64,
    pub(super) stopping: Option<Time>,
    pub(super) handed_over: bool,
    pub(super) idle_since: Option<Time>,
    /// When each owned upstream announced itself last.
    pub(super) heard: Vec<(name::Upstream, Time)>,
}

pub(super) struct Polling {
    pub(super) call: u64,
    pub(super) urgent: bool,
    pub(super) source: feed::Source,
    pub(super) outgoing: feed::Outgoing,
    pub(super) until: Time,
}

pub(super) struct Held {
    pub(super) poll: feed::Poll,
    pub(super) arrived: Time,
    pub(super) call: u64,
    pub(super) to: (Id, u64),
}

pub(super) fn instance(name: &str) -> name::Instance {
    name::Instance::try_from(name).expect("part names are names")
}

impl World {
    pub(super) fn entry(&mut self, id: Id) -> Option<&mut Process> {
        let part = &mut self.parts[id];
        match &mut part.role {
            Role::Entry(entry) if part.up => entry.process.as_mut(),
            _ => None,
        }
    }

    pub(super) fn entry_ids(&self) -> Vec<Id> {
        let is_entry = |id: &Id| matches!(self.parts[*id].role, Role::Entry(_));
        (0..self.parts.len()).filter(is_entry).collect()
    }

    /// Returns the other entry instances of the same failure domain.
    pub(super) fn peers(&self, id: Id) -> Vec<Id> {
        let same = |other: &Id| *other != id && self.parts[*other].domain == self.parts[id].domain;
        self.entry_ids().into_iter().filter(same).collect()
    }

    pub(super) fn start_entry(&mut self, id: Id) {
        let names = |ids: Vec<Id>| -> Vec<String> {
            ids.into_iter()
                .map(|id| self.parts[id].name.clone())
                .collect()
        };
        let (control, seeds) = (names(self.control_ids()), names(self.peers(id)));
        let (now, part) = (self.now, &mut self.parts[id]);
        let (me, boot) = (instance(&part.name), part.boot);
        let seat = feed::InstanceInfo {
            instance: me.clone(),
            domain: part.domain.clone(),
            address: part.name.clone(),
            incarnation: boot,
        };
        let member = gossip::Member {
            address: part.name.clone(),
            status: Status::Alive,
        };
        let process = Process {
            feed: feed::Client::new(seat, control.clone(), now),
            gossip: Gossip::new(me.clone(), boot, member, seeds),
            view: directory::View::default(),
            table: Table::new(me.clone(), boot),
            holder: Holder::default(),
            planner: Adaptive::new(),
            budget: Budget::default(),
            tracker: Tracker::new(me, boot),
            bills: ledger::PendingBills::new(control),
            witness: ledger::Witness::default(),
            jobs: Vec::new(),
            polls: Vec::new(),
            held: Vec::new(),
            calls: Vec::new(),
            next_call: 1,
            stopping: None,
            handed_over: false,
            idle_since: None,
            heard: Vec::new(),
        };
        if let Role::Entry(entry) = &mut part.role {
            entry.process = Some(process);
        }
    }

    pub(super) fn entry_tick(&mut self, id: Id) {
        self.note_reach(id);
        self.poll_tick(id);
        self.gossip_tick(id);
        self.bill_tick(id);
        self.lease_tick(id);
        self.job_tick(id);
        self.stop_tick(id);
    }

    pub(super) fn entry_receive(&mut self, envelope: Envelope) {
        let (id, from) = (envelope.to, envelope.from);
        let to = (from, envelope.from_boot);
        let now = self.now;
        match envelope.body {
            Body::Poll { call, poll } => {
                if let Some(process) = self.entry(id) {
                    let poll = process.feed.receive_poll(*poll, now);
                    process.held.push(Held {
                        poll,
                        arrived: now,
                        call,
                        to,
                    });
                }
                self.wake_below(id);
            }
            Body::Polled { call, reply } => self.poll_answered(id, call, reply),
            Body::Gossip { call, message } => {
                if let Some(process) = self.entry(id) {
                    let message = process.gossip.handle_message(message, now);
                    self.reply(id, to, Body::Gossiped { call, message });
                }
                self.gossip_out(id);
            }
            Body::Gossiped { call, message } => self.gossiped(id, call, Some(message)),
            Body::Open(bills) => {
                let origin = instance(&self.parts[from].name);
                if let Some(process) = self.entry(id) {
                    process.witness.open(&origin, to.1, bills.clone(), now);
                }
                self.reply(id, to, Body::Opened(bills));
            }
            Body::Close(keys) => {
                if let Some(process) = self.entry(id) {
                    process.witness.close(&keys, now);
                }
                self.reply(id, to, Body::Closed(keys));
            }
            Body::Opened(bills) => self.opened(id, from, &bills),
            Body::Closed(keys) => {
                let witness = instance(&self.parts[from].name);
                if let Some(process) = self.entry(id) {
                    process.bills.acknowledge_close(&witness, &keys);
                }
            }
            Body::Stored(bills) => self.stored(id, from, &bills),
            body => self.lease_receive(id, to, body),
        }
    }

    fn opened(&mut self, id: Id, from: Id, bills: &[ledger::Bill]) {
        let (now, witness) = (self.now, instance(&self.parts[from].name));
        if let Some(process) = self.entry(id) {
            process.bills.acknowledge_open(&witness, bills, now);
        }
        for bill in bills {
            self.witnessed(id, &bill.request);
        }
    }

    fn stored(&mut self, id: Id, from: Id, bills: &[ledger::Bill]) {
        let replica = self.parts[from].name.clone();
        if let Some(process) = self.entry(id) {
            let actions = process.bills.acknowledge_put(&replica, bills);
            self.bill(id, actions);
        }
    }

    /// Sends what `PendingBills` wants sent.
    pub(super) fn bill(&mut self, id: Id, actions: Vec<ledger::Action>) {
        for action in actions {
            let (to, body) = match action {
                ledger::Action::Open { witness, bills } => (witness.to_string(), Body::Open(bills)),
                ledger::Action::Close { witness, keys } => (witness.to_string(), Body::Close(keys)),
                ledger::Action::Put { replica, bills } => (replica, Body::Put(bills)),
            };
            if let Some(to) = self.find(&to) {
                self.send(id, to, body);
            }
        }
    }

    fn bill_tick(&mut self, id: Id) {
        let now = self.now;
        let Some(process) = self.entry(id) else {
            return;
        };
        let mut actions = process.bills.tick(now);
        let store = process.gossip.store();
        let present = |name: &name::Instance| {
            let key = gossip::Key::Member(name.clone());
            let record = store.get(&key)?;
            let gossip::Body::Member(member) = &record.body else {
                return None;
            };
            (member.status != Status::Gone).then_some(record.incarnation)
        };
        for bill in process.witness.take_orphaned(present, now) {
            actions.extend(process.bills.inherit(bill));
        }
        let gone: Vec<_> = store
            .members()
            .filter(|(_, m)| m.status == Status::Gone)
            .map(|(name, _)| name.clone())
            .collect();
        for gone in gone {
            actions.extend(process.bills.witness_lost(&gone, None));
        }
        self.bill(id, actions);
    }

    fn gossip_tick(&mut self, id: Id) {
        let now = self.now;
        let Some(process) = self.entry(id) else {
            return;
        };
        process.gossip.tick(now);
        let missed: Vec<_> = process.calls.extract_if(.., |c| c.2 <= now).collect();
        for (_, address, _) in missed {
            process.gossip.handle_answer(&address, None, now);
        }
        self.gossip_out(id);
    }

    pub(super) fn gossip_out(&mut self, id: Id) {
        let now = self.now;
        let Some(process) = self.entry(id) else {
            return;
        };
        let mut out = Vec::new();
        for send in process.gossip.take_outbox() {
            process.next_call += 1;
            let call = process.next_call;
            process
                .calls
                .push((call, send.to.clone(), now + gossip::CALL_TIMEOUT));
            out.push((call, send));
        }
        process.view = directory::View::from_store(process.gossip.store());
        for record in process.gossip.store().records() {
            if let (gossip::Key::Evidence(key), gossip::Body::Evidence(evidence)) =
                (&record.key, &record.body)
            {
                process.tracker.merge(key, evidence);
            }
        }
        for (call, send) in out {
            if let Some(to) = self.find(&send.to) {
                let message = send.message;
                self.send(id, to, Body::Gossip { call, message });
            }
        }
    }

    fn gossiped(&mut self, id: Id, call: u64, answer: Option<gossip::Message>) {
        let now = self.now;
        let Some(process) = self.entry(id) else {
            return;
        };
        if let Some(at) = process.calls.iter().position(|c| c.0 == call) {
            let (_, address, _) = process.calls.remove(at);
            process.gossip.handle_answer(&address, answer, now);
        }
        self.gossip_out(id);
    }

    /// Begins a planned stop.
    pub fn stop(&mut self, id: Id) {
        let now = self.now;
        let Some(process) = self.entry(id) else {
            return;
        };
        process.stopping = Some(now);
        process.feed.leave();
        process.gossip.set_status(Status::Leaving, now);
        self.reach(Step::Stopping, id, None);
        self.gossip_out(id);
    }

    fn stop_tick(&mut self, id: Id) {
        let now = self.now;
        let Some(process) = self.entry(id) else {
            return;
        };
        let Some(since) = process.stopping else {
            return;
        };
        if !process.handed_over {
            process.handed_over = true;
            self.hand_over(id);
            return self.reach(Step::HandedOver, id, None);
        }
        let settled = process.bills.totals().open == 0;
        let idle = process.jobs.iter().all(Job::is_idle) && settled;
        if idle && process.idle_since.is_none() {
            process.idle_since = Some(now);
            return self.reach(Step::Drained, id, None);
        }
        let lingered = process.idle_since.is_some_and(|at| now.since(at) >= LINGER);
        if !lingered && now.since(since) < STOP_LIMIT {
            return;
        }
        let open = process.jobs.iter().filter(|j| !j.is_idle());
        let interrupted = open.map(|j| j.id.clone()).collect();
        self.record.stops.push(record::Stop {
            instance: self.parts[id].name.clone(),
            interrupted,
        });
        self.reach(Step::Stopped, id, None);
        self.crash(id, None);
    }

    /// Discards the connections of a call that was not answered in time.
    pub(super) fn discard_later(&mut self, a: Id, b: Id) {
        self.push(CALL, super::Due::Discard(a, b));
    }
}
