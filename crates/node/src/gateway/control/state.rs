use std::{net::SocketAddr, sync::Arc};

use masticlock_core::{
    consensus::{
        self, Action, Event, Identity, Image, Member, Payload, Replica, Settings, Snapshot, Timing,
    },
    fleet,
    notice::Departure,
    replicated::{self, Command},
    report,
    time::{Span, Time},
};
use tokio::sync::oneshot;

use crate::{
    control::disk::{Disk, Work},
    gateway::{
        message::{AgreedState, ControlInstance, Cursor, Poll, Refusal, Update},
        peers::Peers,
    },
};

/// Bytes of entries after which a snapshot is taken, unless the last snapshot is larger.
const SNAPSHOT_BYTES: usize = 1_024 * 1_024;

/// Times of heartbeats and elections.
///
/// Entry instances serve nothing that needs a key without a leader, so an election is kept short.
/// Three heartbeats fit the lease, and a heartbeat takes a few milliseconds and a sync of the disk.
/// Half of the times shown here gained nothing more: round 10 in `docs/measurements.md`.
const TIMING: Timing = Timing {
    heartbeat_interval: Span::from_millis(130),
    lease_duration: Span::from_millis(400),
    max_election_timeout: Span::from_millis(620),
};

/// Largest configuration in bytes.
pub const MAX_CONTENT: usize = 4 * 1_024 * 1_024;

/// Time without word from a leader after which a member asks whether it was removed.
const SILENT: Span = Span::from_secs(2);

/// Intervals of announcements after the start within which every upstream was heard.
const HEARD_INTERVALS: u64 = 3;

/// Who waits for a ticket of the log.
#[derive(Debug)]
pub struct Waiting(pub oneshot::Sender<Result<u64, Refusal>>);

/// What is known about another control instance.
#[derive(Debug)]
struct Contact {
    address: SocketAddr,
    /// Failure domain; none before it has answered.
    domain: Option<Arc<str>>,
    /// When it last answered a poll.
    heard: Option<Time>,
    /// Mark of this instance's directory that it has taken over.
    fleet_seen: u64,
}

/// Everything that the control thread owns.
#[derive(Debug)]
pub struct State {
    pub replica: Replica,
    pub agreed: Arc<replicated::State>,
    /// Index of the last applied entry with a payload.
    applied: u64,
    pub fleet: fleet::Directory,
    pub reports: report::Aggregator,
    pub peers: Peers,
    /// None while the data folder is being replaced.
    pub disk: Option<Disk>,
    /// Why the log was stopped.
    pub halted: Option<String>,
    /// The leader by its own word, with its identity's address, and when it said so.
    pub known_leader: Option<(SocketAddr, Time)>,
    /// Members by the word of other control instances, to find the leader before joining.
    pub told: Vec<SocketAddr>,
    /// Random number of this process.
    process: u64,
    started: Time,
    /// Failure domain of this instance.
    domain: Arc<str>,
    /// Interval at which upstreams announce themselves.
    interval: Span,
    contacts: Vec<Contact>,
    /// When each data folder's replica was last heard, sorted by identity.
    identities: Vec<(Identity, Time)>,
    /// When the agreed state was known to be the newest.
    fresh: Option<Time>,
    /// A poll's send time that counts once the log is applied up to the index.
    pending: Option<(Time, u64)>,
    tickets: Vec<(u64, Waiting)>,
    next_ticket: u64,
    bytes: usize,
    snapshot_bytes: usize,
}

/// Encodes a command for the log.
pub fn encode(command: &Command) -> Payload {
    // Commands have no maps or unsized parts that the codec could refuse.
    Payload::from(postcard::to_stdvec(command).expect("a command can be encoded"))
}

impl State {
    /// Starts from what the disk held.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the snapshot.
    pub fn new(
        settings: &super::Settings,
        image: Image,
        disk: Disk,
        now: Time,
    ) -> Result<Self, String> {
        let agreed = decode(&image.snapshot)?;
        let applied = image.snapshot.index;
        let snapshot_bytes = image.snapshot.data.as_bytes().len();
        Ok(Self {
            replica: replica(image, now),
            agreed: Arc::new(agreed),
            applied,
            fleet: fleet::Directory::default(),
            reports: report::Aggregator::default(),
            peers: Peers::default(),
            disk: Some(disk),
            halted: None,
            known_leader: None,
            told: Vec::new(),
            process: super::random(),
            started: now,
            domain: settings.domain.clone(),
            interval: settings.announcement_interval,
            contacts: Vec::new(),
            identities: Vec::new(),
            fresh: None,
            pending: None,
            tickets: Vec::new(),
            next_ticket: 1,
            bytes: 0,
            snapshot_bytes,
        })
    }

    pub fn id(&self) -> Identity {
        self.replica.id()
    }

    pub fn is_member(&self) -> bool {
        self.replica.members().member(self.id()).is_some()
    }

    pub fn is_leader(&self, now: Time) -> bool {
        self.disk.is_some() && self.replica.may_act(now)
    }

    /// Takes no part in the log any more, because the disk takes no writes.
    ///
    /// The directory, the reports and the agreed state are served on, the latter only while another
    /// instance's word shows that it is the newest.
    pub fn stand_aside(&mut self) {
        self.disk = None;
        for (_, Waiting(reply)) in self.tickets.drain(..) {
            // The caller may have given up.
            let _gone = reply.send(Err(Refusal::Unknown));
        }
    }

    /// Takes part in the log again, from what the disk holds.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the snapshot.
    pub fn rejoin(&mut self, image: Image, disk: Disk, now: Time) -> Result<(), String> {
        let agreed = decode(&image.snapshot)?;
        self.applied = image.snapshot.index;
        self.snapshot_bytes = image.snapshot.data.as_bytes().len();
        self.bytes = 0;
        self.replica = replica(image, now);
        self.agreed = Arc::new(agreed);
        (self.fresh, self.pending) = (None, None);
        self.disk = Some(disk);
        Ok(())
    }

    /// Returns whether no leader has been heard for a long time.
    pub fn is_silent(&self, now: Time) -> bool {
        !self.is_leader(now) && self.fresh.is_none_or(|at| now.since(at) > SILENT)
    }

    /// Returns the internal address of the leader.
    pub fn leader(&self) -> Option<SocketAddr> {
        let id = self.replica.leader()?;
        let member = self.replica.members().member(id)?;
        member.address.parse().ok()
    }

    /// Returns the internal addresses of the other members.
    pub fn addresses(&self, own: SocketAddr) -> Vec<SocketAddr> {
        let members = self.replica.members();
        let all = members.voters.iter().chain(&members.learners);
        let mut addresses: Vec<SocketAddr> = all
            .filter_map(|m| m.address.parse().ok())
            .filter(|a| *a != own)
            .collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// Registers who waits for the outcome and returns its ticket.
    pub fn ticket(&mut self, waiting: Waiting) -> u64 {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.tickets.push((ticket, waiting));
        ticket
    }

    /// Steps the replica, carries out its actions and returns whether it has been stopped.
    ///
    /// An instance that stands aside says nothing and votes for nobody.
    pub fn step(&mut self, event: Event, now: Time) -> bool {
        if self.disk.is_none() {
            return false;
        }
        let mut events = vec![event];
        let mut halted = false;
        while let Some(event) = events.pop() {
            for action in self.replica.step(event, now) {
                halted |= self.carry_out(action, &mut events);
            }
        }
        if let Some((sent, index)) = self.pending
            && self.replica.commit_index() >= index
        {
            self.fresh = self.fresh.max(Some(sent));
            self.pending = None;
        }
        halted
    }

    fn carry_out(&mut self, action: Action, events: &mut Vec<Event>) -> bool {
        match action {
            Action::Send(message) => {
                let member = self.replica.members().member(message.to);
                // A new replica answers a leader that is not in its own empty set.
                let address = member.and_then(|m| m.address.parse().ok());
                let known = self.known_leader.map(|(address, _)| address);
                if let Some(address) = address.or(known) {
                    self.peers.send(address, message);
                }
            }
            Action::Write { sequence, records } => {
                if let Some(disk) = &self.disk {
                    disk.send(Work::Records(sequence, records));
                }
            }
            Action::Apply { index, payload, .. } => {
                self.apply(index, &payload);
                events.extend(self.snapshot(payload.as_bytes().len()));
            }
            Action::Install(snapshot) => match decode(&snapshot) {
                Ok(agreed) => {
                    self.agreed = Arc::new(agreed);
                    self.applied = snapshot.index;
                }
                Err(reason) => {
                    self.halted = Some(reason);
                    return true;
                }
            },
            Action::Answer { ticket, outcome } | Action::Read { ticket, outcome } => {
                self.answer(ticket, outcome);
            }
            Action::Elected { term } => log::info!(event = "leader", term; "leads the log"),
            Action::StepDown { term } => log::info!(event = "follower", term; "leads no more"),
            Action::Halt { reason } => {
                self.halted = Some(reason);
                return true;
            }
        }
        false
    }

    fn apply(&mut self, index: u64, payload: &Payload) {
        self.applied = index;
        match postcard::from_bytes::<Command>(payload.as_bytes()) {
            Ok(command) => {
                let kind = describe(&command);
                let changed = Arc::make_mut(&mut self.agreed).apply(command);
                log::info!(event = "applied", index, command = kind, changed; "a command is applied");
            }
            Err(error) => log::error!("entry {index} can't be read and changes nothing: {error}"),
        }
    }

    fn snapshot(&mut self, bytes: usize) -> Option<Event> {
        self.bytes += bytes;
        if self.bytes < SNAPSHOT_BYTES.max(4 * self.snapshot_bytes) {
            return None;
        }
        self.bytes = 0;
        match postcard::to_stdvec(&*self.agreed) {
            Ok(data) => {
                self.snapshot_bytes = data.len();
                Some(Event::Snapshotted {
                    index: self.applied,
                    data: Payload::from(data),
                })
            }
            Err(error) => {
                log::error!("no snapshot of the agreed state: {error}");
                None
            }
        }
    }

    fn answer(&mut self, ticket: u64, outcome: Result<u64, consensus::Refusal>) {
        let Some(at) = self.tickets.iter().position(|(t, _)| *t == ticket) else {
            return;
        };
        let (_, Waiting(reply)) = self.tickets.swap_remove(at);
        let outcome = outcome.map_err(|refusal| {
            log::info!(event = "not_appended", reason = refusal.to_string(); "the log refuses");
            if refusal.may_commit() {
                Refusal::Unknown
            } else {
                Refusal::NoLeader
            }
        });
        // The caller may have given up.
        let _gone = reply.send(outcome);
    }

    /// Returns when the control instance last answered.
    pub fn contact(&self, address: SocketAddr) -> Option<Time> {
        let found = self.contacts.iter().find(|c| c.address == address);
        found.and_then(|c| c.heard)
    }

    /// Returns for how long the member has been out of contact.
    ///
    /// A member that was never heard counts from the first question about it.
    pub fn silence(&mut self, id: Identity, now: Time) -> Span {
        match self.identities.binary_search_by_key(&id, |(id, _)| *id) {
            Ok(at) => now.since(self.identities[at].1),
            Err(at) => {
                self.identities.insert(at, (id, now));
                Span::ZERO
            }
        }
    }

    fn heard(&mut self, id: Identity, now: Time) {
        match self.identities.binary_search_by_key(&id, |(id, _)| *id) {
            Ok(at) => self.identities[at].1 = now,
            Err(at) => self.identities.insert(at, (id, now)),
        }
    }

    /// Returns the mark of this instance's directory that the control instance has taken over.
    pub fn fleet_seen(&self, address: SocketAddr) -> u64 {
        let found = self.contacts.iter().find(|c| c.address == address);
        found.map_or(0, |c| c.fleet_seen)
    }

    fn contact_mut(&mut self, address: SocketAddr) -> &mut Contact {
        let at = self.contacts.iter().position(|c| c.address == address);
        let at = at.unwrap_or_else(|| {
            self.contacts.push(Contact {
                address,
                domain: None,
                heard: None,
                fleet_seen: 0,
            });
            self.contacts.len() - 1
        });
        &mut self.contacts[at]
    }

    /// Takes over the update of another control instance that were asked for at `sent`, and returns
    /// whether it named an upstream that this instance has no record of.
    pub fn take_news(
        &mut self,
        address: SocketAddr,
        update: Update,
        sent: Time,
        now: Time,
    ) -> bool {
        let contact = self.contact_mut(address);
        contact.heard = Some(now);
        contact.domain = Some(update.domain);
        self.heard(update.identity, now);
        let told = update
            .control_instances
            .iter()
            .filter_map(|s| s.address.parse().ok());
        let told: Vec<SocketAddr> = told.collect();
        if !told.is_empty() {
            self.told = told;
        }
        for record in update.records {
            self.fleet.merge(record, now);
        }
        let mut unknown = false;
        for beat in &update.heartbeats {
            unknown |= !self.fleet.merge_heartbeat(beat, now);
        }
        if let Some(sum) = update.summary {
            self.reports.merge_summary(sum, now);
        }
        if update.is_leader {
            self.known_leader = Some((address, now));
            if self.replica.commit_index() >= update.commit_index {
                self.fresh = self.fresh.max(Some(sent));
            } else {
                self.pending = Some((sent, update.commit_index));
            }
        }
        unknown
    }

    /// Answers a poll.
    pub fn poll(&mut self, poll: Poll, now: Time) -> Update {
        let mut cursor = poll.cursor;
        if cursor.process_id != self.process {
            cursor = Cursor::default();
        }
        let whole =
            !cursor.complete && now.since(self.started) >= self.interval.times(HEARD_INTERVALS);
        let from = if whole { 0 } else { cursor.directory_revision };
        let mut update = Update {
            cursor: Cursor {
                process_id: self.process,
                directory_revision: self.fleet.revision(),
                complete: cursor.complete || whole,
            },
            identity: self.id(),
            is_leader: self.is_leader(now),
            agreed_age: self.age(now),
            commit_index: self.replica.commit_index(),
            domain: self.domain.clone(),
            is_full: whole,
            records: self.fleet.since(from, now),
            heartbeats: Vec::new(),
            summary: None,
            totals: None,
            agreed: None,
            control_instances: Vec::new(),
        };
        if let Some(address) = poll.control_address.and_then(|a| a.parse().ok()) {
            self.contact_mut(address).fleet_seen = cursor.directory_revision;
            update.heartbeats = self.fleet.heartbeats(cursor.directory_revision, now);
            update.summary = Some(self.reports.summary(self.process, now));
            update.control_instances = self.instances();
            return update;
        }
        update.control_instances = self.instances();
        if let Some(report) = poll.report {
            let (instance, domain) = (report.instance, report.domain.clone());
            self.take_departures(&report.departures);
            self.reports.merge_report(report, now);
            let fleet = &self.fleet;
            let wanted = |upstream: &str| {
                fleet.get(upstream).is_some_and(|e| {
                    let said = &e.announcement;
                    said.domain == domain || poll.spillover_services.contains(&said.service)
                })
            };
            update.totals = Some(self.reports.totals(instance, now, wanted));
        }
        let has = poll.config_revision == Some(self.agreed.revision);
        update.agreed = Some(AgreedState {
            revision: self.agreed.revision,
            content: (!has && self.agreed.revision > 0).then(|| self.agreed.content.clone()),
            taken_out: self.agreed.taken_out.clone(),
            rollouts: self.agreed.rollouts.clone(),
        });
        update
    }

    /// Takes over what upstreams have told an entry instance in their answers.
    fn take_departures(&mut self, departures: &[Departure]) {
        for departure in departures {
            let Departure {
                upstream,
                incarnation,
            } = departure;
            if self.fleet.mark_leaving(upstream, Some(*incarnation)) {
                log::info!(
                    event = "upstream_leaving", upstream = &**upstream, incarnation,
                    source = "answer";
                    "an upstream has said in an answer that it leaves"
                );
            }
        }
    }

    /// Returns all members with what is known of their failure domains.
    fn instances(&self) -> Vec<ControlInstance> {
        let members = self.replica.members();
        let all = members.voters.iter().chain(&members.learners);
        let station = |m: &Member| ControlInstance {
            address: m.address.clone(),
            domain: if m.id == self.id() {
                Some(self.domain.clone())
            } else {
                let parsed = m.address.parse().ok();
                let contact = self.contacts.iter().find(|c| Some(c.address) == parsed);
                contact.and_then(|c| c.domain.clone())
            },
        };
        all.map(station).collect()
    }

    /// Returns the time since the agreed state was known to be the newest.
    fn age(&self, now: Time) -> Option<Span> {
        if self.is_leader(now) {
            return Some(Span::ZERO);
        }
        self.fresh.map(|at| now.since(at))
    }

    /// Forgets what is old.
    pub fn expire(&mut self, now: Time) {
        self.fleet.mark_silent(now, self.interval);
        self.fleet.expire(now);
        self.reports.expire(now);
    }
}

fn replica(image: Image, now: Time) -> Replica {
    let limits = consensus::Limits {
        payload_bytes: MAX_CONTENT + 1_024,
        ..consensus::Limits::default()
    };
    let settings = Settings {
        seed: super::random(),
        limits,
        timing: TIMING,
        fault: None,
    };
    Replica::new(&settings, image, now)
}

fn decode(snapshot: &Snapshot) -> Result<replicated::State, String> {
    if snapshot.data.as_bytes().is_empty() {
        return Ok(replicated::State::default());
    }
    postcard::from_bytes(snapshot.data.as_bytes())
        .map_err(|e| format!("the snapshot can't be read: {e}"))
}

pub(super) fn describe(command: &Command) -> String {
    match command {
        Command::Configure { revision, .. } => format!("configure {revision}"),
        Command::TakeOut(domain) => format!("take out {domain}"),
        Command::Restore(domain) => format!("restore {domain}"),
        Command::StartRollout(rollout) => format!("begin {} {}", rollout.service, rollout.target),
        Command::AdvanceRollout {
            service,
            target,
            permille,
            phase,
        } => format!("advance {service} {target} {permille} {phase:?}"),
    }
}
