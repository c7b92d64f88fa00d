//! Control replicas: the log on a disk in memory, the state machine and the feed.

use std::sync::Arc;

use masticlock_core::{
    command,
    consensus::{
        self, Action, Content, Event, Identity, Image, Member, Members, Payload, Refusal, Replica,
        Role as Duty,
    },
    feed, ledger,
    machine::{Entry, Input, Machine, Output},
    name,
    storage::LogStore,
    time::{Span, Time},
};
use rand::RngExt;

use super::{
    Due, Id, Mutation, Part, Role, SYNC, World,
    disk::Memory,
    message::{Body, Envelope, Redirect},
    record,
    step::Step,
};

/// Entries after which a snapshot is taken. Few, so that a repair sends one.
const SNAPSHOT_EVERY: u64 = 4;
/// Entries that stay in memory behind a snapshot.
const TRAILING: u64 = 1;

/// What stays when the process ends.
pub(super) struct Control {
    pub(super) disk: Memory,
    pub(super) id: Identity,
    pub(super) bills: Vec<ledger::Bill>,
    pub(super) process: Option<Process>,
    /// Whether the replica set has to take the new identity in.
    pub(super) repair: bool,
}

pub(super) struct Process {
    pub(super) replica: Replica,
    pub(super) folder: LogStore,
    pub(super) machine: Machine,
    pub(super) feed: feed::Server,
    pub(super) elected: bool,
    pub(super) write: Option<(u64, Vec<consensus::Record>)>,
    pub(super) tickets: Vec<(u64, Waiting)>,
    pub(super) next_ticket: u64,
    pub(super) last: Option<(u64, Output)>,
    pub(super) applied_at: Time,
    pub(super) applied: u64,
    pub(super) snapshot_at: u64,
    pub(super) held: Vec<Held>,
    pub(super) roster: Vec<Input>,
    pub(super) housekeeping: Time,
}

pub(super) type To = (Id, u64);

pub(super) enum Waiting {
    Nothing,
    Submit(To, name::Command),
    Begin(To, name::Request),
    Finish(To, name::Request),
    Permit(To, name::Request),
}

pub(super) struct Held {
    pub(super) poll: feed::Poll,
    pub(super) arrived: Time,
    pub(super) call: u64,
    pub(super) to: To,
}

pub(super) fn member(part: &Part, id: Identity) -> Member {
    Member {
        id,
        instance: name::Instance::try_from(part.name.as_str()).expect("part names are names"),
        address: part.name.clone(),
    }
}

impl World {
    /// Adds the founding replicas with their folders.
    pub(super) fn found(&mut self, replicas: &[Id]) {
        let ids: Vec<_> = replicas
            .iter()
            .map(|_| Identity::from_random(self.random.random()))
            .collect();
        let mut voters: Vec<_> = replicas
            .iter()
            .zip(&ids)
            .map(|(&part, id)| member(&self.parts[part], *id))
            .collect();
        voters.sort_by_key(|m| m.id);
        let members = Members {
            voters,
            ..Members::default()
        };
        for (&part, &id) in replicas.iter().zip(&ids) {
            if let Role::Control(control) = &mut self.parts[part].role {
                control.id = id;
                control.create(&Image::founding(id, members.clone()));
            }
        }
    }

    pub(super) fn controls(&self) -> impl Iterator<Item = (Id, &Process)> {
        self.parts.iter().enumerate().filter_map(|(id, part)| {
            let Role::Control(control) = &part.role else {
                return None;
            };
            part.up.then_some(())?;
            Some((id, control.process.as_ref()?))
        })
    }

    pub(super) fn control_ids(&self) -> Vec<Id> {
        let is_control = |id: &Id| matches!(self.parts[*id].role, Role::Control(_));
        (0..self.parts.len()).filter(is_control).collect()
    }

    /// Returns the replica that may act as the leader.
    #[must_use]
    pub fn leader(&self) -> Option<Id> {
        let now = self.now;
        self.controls()
            .find(|(_, p)| p.may_act(now))
            .map(|(id, _)| id)
    }

    /// Returns the replicas that may act as the leader; more than one is a fault.
    #[must_use]
    pub fn leaders(&self) -> usize {
        self.controls().filter(|(_, p)| p.may_act(self.now)).count()
    }

    pub(super) fn process(&mut self, id: Id) -> Option<&mut Process> {
        let part = &mut self.parts[id];
        match &mut part.role {
            Role::Control(control) if part.up => control.process.as_mut(),
            _ => None,
        }
    }

    pub(super) fn stored_bills(&self) -> Vec<(String, ledger::Bill)> {
        let mut all = Vec::new();
        for part in &self.parts {
            if let Role::Control(control) = &part.role {
                all.extend(control.bills.iter().map(|b| (part.name.clone(), b.clone())));
            }
        }
        all
    }

    pub(super) fn start_control(&mut self, id: Id) {
        let now = self.now;
        let seed = self.random.random();
        let Role::Control(control) = &mut self.parts[id].role else {
            return;
        };
        let Ok(Some((folder, image))) = LogStore::open(Box::new(control.disk.clone())) else {
            return;
        };
        let machine = restore(&image.snapshot.data);
        let settings = consensus::Settings {
            seed,
            limits: consensus::Limits {
                trailing_entries: TRAILING,
                ..consensus::Limits::default()
            },
            ..consensus::Settings::default()
        };
        let config = Arc::new(machine.config().clone());
        let index = image.snapshot.index;
        control.process = Some(Process {
            feed: feed::Server::new(seed, config, machine.digest().to_owned(), now),
            replica: Replica::new(&settings, image, now),
            folder,
            machine,
            elected: false,
            write: None,
            tickets: Vec::new(),
            next_ticket: 1,
            last: None,
            applied_at: now,
            applied: index,
            snapshot_at: index,
            held: Vec::new(),
            roster: Vec::new(),
            housekeeping: now,
        });
    }

    /// Ends the process; with `wipe` the replica comes back with a new identity.
    pub(super) fn end_control(&mut self, id: Id, wipe: bool) {
        let fresh = Identity::from_random(self.random.random());
        if let Role::Control(control) = &mut self.parts[id].role {
            control.process = None;
            control.disk.crash();
            if wipe {
                control.disk.wipe();
                control.bills.clear();
                control.id = fresh;
                control.repair = true;
                control.create(&Image::empty(fresh));
            }
        }
    }

    /// Lets the replica's next write fail.
    pub(super) fn fail_disk(&mut self, id: Id, failure: super::disk::Failure) {
        if let Role::Control(control) = &self.parts[id].role {
            control.disk.fail(failure);
        }
    }

    pub(super) fn control_tick(&mut self, id: Id) {
        self.step(id, Event::Tick);
        let now = self.now;
        let due = self
            .process(id)
            .is_some_and(|p| now.since(p.housekeeping) >= Span::from_secs(1));
        if due {
            self.housekeeping(id);
        }
        self.wake(id);
    }

    pub(super) fn step(&mut self, id: Id, event: Event) {
        let now = self.now;
        let Some(process) = self.process(id) else {
            return;
        };
        let actions = process.replica.step(event, now);
        let boot = self.parts[id].boot;
        for action in actions {
            if self.runs(id, boot) {
                self.control_act(id, action);
            }
        }
    }

    fn control_act(&mut self, id: Id, action: Action) {
        match action {
            Action::Send(message) => {
                let to = self.control_ids().into_iter().find(
                    |&to| matches!(&self.parts[to].role, Role::Control(c) if c.id == message.to),
                );
                if let Some(to) = to {
                    self.send(id, to, Body::Log(message));
                }
            }
            Action::Write { sequence, records } => {
                if let Some(process) = self.process(id) {
                    process.write = Some((sequence, records));
                }
                self.push(SYNC, Due::Written(id, self.parts[id].boot));
            }
            Action::Apply { index, payload, .. } => self.apply(id, index, &payload),
            Action::Install(snapshot) => {
                if let Some(process) = self.process(id) {
                    process.machine = restore(&snapshot.data);
                    process.applied = snapshot.index;
                    process.snapshot_at = snapshot.index;
                    let config = Arc::new(process.machine.config().clone());
                    process
                        .feed
                        .replace_config(config, process.machine.digest().to_owned());
                }
                self.reach(Step::Installed, id, None);
            }
            Action::Answer { ticket, outcome } => self.answer(id, ticket, &outcome),
            Action::Elected { .. } => {
                let now = self.now;
                if let Some(process) = self.process(id) {
                    process.elected = true;
                    process.feed.reset_peers(now);
                }
            }
            Action::StepDown { .. } => self.step_down(id),
            Action::Halt { .. } => self.crash(id, None),
            Action::Read { .. } => {}
        }
    }

    pub(super) fn written(&mut self, id: Id) {
        let Some(process) = self.process(id) else {
            return;
        };
        let Some((sequence, records)) = process.write.take() else {
            return;
        };
        let leads = process.replica.role() == Duty::Leader;
        if process.folder.write(&records).is_err() {
            // The operator frees space before the restart.
            return self.crash(id, Some(Span::from_secs(2)));
        }
        let boot = self.parts[id].boot;
        if records.iter().any(is_command) {
            let step = if leads {
                Step::Stored
            } else {
                Step::Replicated
            };
            self.reach(step, id, None);
        }
        if self.runs(id, boot) {
            self.step(id, Event::Synced(sequence));
        }
    }

    fn apply(&mut self, id: Id, index: u64, payload: &Payload) {
        let now = self.now;
        let Some(process) = self.process(id) else {
            return;
        };
        let entry: Entry =
            serde_json::from_slice(payload.as_bytes()).expect("entries of the log are JSON");
        let before = process.machine.config().revision;
        let output = process.machine.apply(&entry);
        process.applied_at = now;
        process.applied = index;
        process.roster.retain(|input| *input != entry.input);
        let leads = process.elected;
        if let Some(change) = Machine::accepted_change(before, &entry, &output).cloned() {
            let config = Arc::new(process.machine.config().clone());
            let digest = process.machine.digest().to_owned();
            process.feed.publish(&change, config, digest);
            if let Input::Submit(command) = &entry.input {
                self.accepted(command, before + 1);
            }
        }
        let Some(process) = self.process(id) else {
            return;
        };
        process.last = Some((index, output));
        if index >= process.snapshot_at + SNAPSHOT_EVERY {
            process.snapshot_at = index;
            let data = serde_json::to_vec(&process.machine).expect("machines serialize");
            let data = Payload::from(data);
            self.step(id, Event::Snapshotted { index, data });
        }
        if leads && matches!(entry.input, Input::Submit(_)) {
            self.reach(Step::Committed, id, None);
        }
    }

    /// Notes the first application of an accepted command.
    fn accepted(&mut self, command: &command::Command, revision: u64) {
        if self.record.accepted.iter().any(|a| a.revision == revision) {
            return;
        }
        let sent = self.expected(&command.id).or(command.expects);
        self.record.accepted.push(record::Accepted {
            id: command.id.to_string(),
            at: self.now,
            expects: sent,
            revision,
        });
        self.note_closure(&command.change);
    }

    fn answer(&mut self, id: Id, ticket: u64, outcome: &Result<u64, Refusal>) {
        let redirect = self.redirect(id);
        let Some(process) = self.process(id) else {
            return;
        };
        let Ok(at) = process.tickets.binary_search_by_key(&ticket, |t| t.0) else {
            return;
        };
        let (_, waiting) = process.tickets.remove(at);
        let output = match outcome {
            Ok(index) => process.last.take_if(|(at, _)| at == index).map(|l| l.1),
            Err(_) => None,
        };
        match (waiting, output) {
            (Waiting::Submit(to, command), Some(Output::Outcome(outcome))) => {
                let body = Body::Submitted {
                    id: command,
                    reply: Ok(outcome),
                };
                self.reply(id, to, body);
            }
            (Waiting::Submit(to, command), _) => {
                let body = Body::Submitted {
                    id: command,
                    reply: Err(redirect),
                };
                self.reply(id, to, body);
            }
            (Waiting::Begin(to, request), output) => {
                let reply = match output {
                    Some(Output::Verdict(verdict)) => Ok(verdict),
                    _ => Err(redirect),
                };
                self.reply(id, to, Body::Begun { request, reply });
            }
            (Waiting::Finish(to, request), output) => {
                let reply = output.map(|_| ()).ok_or(redirect);
                self.reply(id, to, Body::Finished { request, reply });
            }
            (Waiting::Permit(to, request), output) => {
                let reply = match output {
                    Some(Output::Permit(granted)) => Ok(granted),
                    _ => Err(redirect),
                };
                self.reply(id, to, Body::Permitted { request, reply });
            }
            (Waiting::Nothing, _) => {}
        }
    }

    pub(super) fn redirect(&self, id: Id) -> Redirect {
        let (_, process) = self.controls().find(|(at, _)| *at == id)?;
        let status = process.replica.status(self.now);
        let leader = status.leader.filter(|l| *l != status.id)?;
        let member = status.voters.iter().find(|m| m.id == leader)?;
        Some(member.address.clone())
    }

    pub(super) fn propose(&mut self, id: Id, input: Input, waiting: Waiting) {
        let now = self.now;
        let Some(process) = self.process(id) else {
            return;
        };
        let entry = Entry {
            at: process.machine.now() + now.since(process.applied_at),
            input,
        };
        let bytes = serde_json::to_vec(&entry).expect("entries serialize");
        let ticket = process.next_ticket;
        process.next_ticket += 1;
        process.tickets.push((ticket, waiting));
        let payload = Payload::from(bytes);
        self.step(id, Event::Propose { ticket, payload });
    }

    pub(super) fn step_down(&mut self, id: Id) {
        let redirect = self.redirect(id);
        let Some(process) = self.process(id) else {
            return;
        };
        process.elected = false;
        process.roster.clear();
        for held in std::mem::take(&mut process.held) {
            let reply = Err(redirect.clone());
            let call = held.call;
            self.reply(id, held.to, Body::Polled { call, reply });
        }
    }

    pub(super) fn control_receive(&mut self, envelope: Envelope) {
        let (id, to) = (envelope.to, (envelope.from, envelope.from_boot));
        match envelope.body {
            Body::Log(message) => self.step(id, Event::Received(message)),
            Body::Submit(mut command) => {
                if self.mutation == Some(Mutation::NoRevisionCheck) {
                    command.expects = None;
                }
                let waiting = Waiting::Submit(to, command.id.clone());
                self.propose(id, Input::Submit(*command), waiting);
            }
            Body::Begin(ask) => {
                let waiting = Waiting::Begin(to, ask.holder.clone());
                self.propose(id, Input::Begin(ask), waiting);
            }
            Body::Finish(finish) => {
                let waiting = Waiting::Finish(to, finish.holder.clone());
                self.propose(id, Input::Finish(finish), waiting);
            }
            Body::Permit(ask) => {
                let waiting = Waiting::Permit(to, ask.request.clone());
                self.propose(id, Input::Acquire(ask), waiting);
            }
            Body::PermitEnd {
                fingerprint,
                request,
                instance,
            } => {
                let input = Input::Release {
                    fingerprint,
                    request,
                    instance,
                };
                self.propose(id, input, Waiting::Nothing);
            }
            Body::Poll { call, poll } => self.polled(id, call, *poll, to),
            Body::Put(bills) => self.put(id, to, bills),
            _ => {}
        }
    }
}

fn restore(data: &Payload) -> Machine {
    if data.as_bytes().is_empty() {
        return Machine::new();
    }
    serde_json::from_slice(data.as_bytes()).expect("snapshots are JSON")
}

fn is_command(record: &consensus::Record) -> bool {
    let consensus::Record::Entry(entry) = record else {
        return false;
    };
    let Content::Payload(payload) = &entry.content else {
        return false;
    };
    serde_json::from_slice::<Entry>(payload.as_bytes())
        .is_ok_and(|e| matches!(e.input, Input::Submit(_)))
}

impl Control {
    pub(super) fn new() -> Self {
        Self {
            disk: Memory::default(),
            id: Identity::from_random(0),
            bills: Vec::new(),
            process: None,
            repair: false,
        }
    }

    fn create(&mut self, image: &Image) {
        LogStore::create(Box::new(self.disk.clone()), image)
            .expect("an empty folder takes an image");
    }
}

impl Process {
    pub(super) fn may_act(&self, now: Time) -> bool {
        self.elected && self.replica.status(now).may_act
    }
}
