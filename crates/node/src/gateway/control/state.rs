//! State of a control process and the messages exchanged with other processes.

use std::{net::SocketAddr, sync::Arc};

use masticlock_core::{
    consensus::{
        self, Action, Event, Identity, Image, Member, Payload, Replica, Settings, Snapshot, Timing,
    },
    digest, fleet,
    limit::{Issuer, Rate, Want},
    memory,
    notice::Departure,
    pace,
    replicated::{self, Command},
    report,
    suspect::{self, EvidenceSet},
    time::{Span, Time},
};
use tokio::sync::oneshot;

use super::{entry_peers::EntryPeers, library::Library};
use crate::{
    control::disk::{Disk, Work},
    gateway::{
        message::{AgreedState, ControlInstance, Cursor, Poll, Refusal, Update},
        metrics::limit_milli,
        peers::Peers,
    },
};

/// Bytes of log entries after which a snapshot is taken, unless four times the size of the last
/// snapshot is more. A quarter of the room for the log is the most.
const SNAPSHOT_INTERVAL_BYTES: u64 = 1_024 * 1_024;

/// Timing of heartbeats, leases and elections.
///
/// Elections are kept short, because entry instances serve no request that needs a key while there
/// is no leader. Three heartbeats fit into the lease; a heartbeat takes a few milliseconds and an
/// fsync.
const TIMING: Timing = Timing {
    heartbeat_interval: Span::from_millis(130),
    lease_duration: Span::from_millis(400),
    max_election_timeout: Span::from_millis(620),
};

/// Largest configuration in bytes.
pub const MAX_CONFIG_BYTES: usize = 4 * 1_024 * 1_024;

/// Time without confirmation by a leader after which a member asks to join again, which tells it
/// whether it was removed.
const LEADER_TIMEOUT: Span = Span::from_secs(2);

/// Time since the last answer of the leader within which permits are known to be handed out.
const LEADER_CONTACT_TTL: Span = Span::from_millis(700);

/// Number of announcement intervals after the start within which every upstream has been heard.
const DISCOVERY_INTERVALS: u64 = 3;

/// Caller that waits for the outcome of a request to the log.
#[derive(Debug)]
pub struct Waiter(pub oneshot::Sender<Result<u64, Refusal>>);

/// State of the contact with another control instance.
#[derive(Debug)]
struct Contact {
    address: SocketAddr,
    /// Failure domain; `None` until it has answered a poll.
    domain: Option<Arc<str>>,
    /// When it last answered a poll.
    last_answer: Option<Time>,
    /// Revision of this instance's directory up to which it has received the records.
    acknowledged_revision: u64,
}

/// State of a control process.
#[derive(Debug)]
pub struct State {
    pub replica: Replica,
    pub agreed: Arc<replicated::State>,
    /// Configurations and their parcels for entry instances.
    pub library: Library,
    /// Time at which the newest configuration was applied, or the process started with it.
    configured_at: Time,
    /// Index of the last applied entry that has a payload.
    applied_index: u64,
    pub directory: fleet::Directory,
    pub reports: report::Aggregator,
    /// Permits for upstreams with limits.
    issuer: Issuer,
    entry_peers: EntryPeers,
    /// Paces of upstreams.
    pub paces: pace::Exchange,
    /// Crash evidence and bans.
    evidence: EvidenceSet,
    /// Versions of services that were listed since the process started, sorted.
    versions: Vec<(Arc<str>, Arc<str>)>,
    pub peers: Peers,
    /// `None` while the disk takes no writes or the data folder is being replaced.
    pub disk: Option<Disk>,
    /// Why the replica was halted.
    pub halted: Option<String>,
    /// Address of the instance that last reported to be the leader, and when it did.
    pub known_leader: Option<(SocketAddr, Time)>,
    /// Addresses of the members as reported by other control instances, to find the leader before
    /// joining.
    pub reported_members: Vec<SocketAddr>,
    /// Random number that identifies this process.
    process_id: u64,
    started: Time,
    /// Failure domain of this instance.
    domain: Arc<str>,
    /// Interval at which upstreams announce themselves.
    announcement_interval: Span,
    /// Returns whether a configuration needs keys.
    needs_keys: fn(&[u8]) -> bool,
    contacts: Vec<Contact>,
    /// Time of the last contact with each replica, sorted by identity.
    replica_contacts: Vec<(Identity, Time)>,
    /// Latest time at which the agreed state was known to be the newest.
    confirmed_at: Option<Time>,
    /// Time at which a poll was sent, and the index of the leader in the reply. The time counts as
    /// confirmation once the log is committed up to that index.
    pending_confirmation: Option<(Time, u64)>,
    waiters: Vec<(u64, Waiter)>,
    next_ticket: u64,
    /// Room for the log in memory, in bytes.
    log_room: u64,
    /// Bytes of log entries since the last snapshot.
    log_bytes: u64,
    /// Size of the last snapshot.
    snapshot_bytes: u64,
}

/// Encodes a command for the log.
pub fn encode(command: &Command) -> Payload {
    // Commands have no maps or unsized values that postcard could refuse to encode.
    Payload::from(postcard::to_stdvec(command).expect("every command can be encoded"))
}

impl State {
    /// Returns the state of a new process, restored from the image that was read from the disk.
    ///
    /// # Errors
    ///
    /// Returns an error if the snapshot can't be decoded.
    pub fn new(
        settings: &super::Settings,
        image: Image,
        disk: Disk,
        now: Time,
    ) -> Result<Self, String> {
        let agreed = decode(&image.snapshot, settings.needs_keys)?;
        let applied = image.snapshot.index;
        let snapshot_bytes = image.snapshot.data.as_bytes().len() as u64;
        let log_room = memory::log_bytes(settings.memory_limit);
        let mut library = Library::new(memory::archive_bytes(settings.memory_limit));
        library
            .archive
            .insert(agreed.revision, agreed.content.clone());
        Ok(Self {
            replica: new_replica(image, log_room, now),
            agreed: Arc::new(agreed),
            library,
            configured_at: now,
            applied_index: applied,
            directory: fleet::Directory::default(),
            reports: report::Aggregator::default(),
            issuer: Issuer::default(),
            entry_peers: EntryPeers::default(),
            paces: pace::Exchange::default(),
            evidence: EvidenceSet::default(),
            versions: Vec::new(),
            peers: Peers::default(),
            disk: Some(disk),
            halted: None,
            known_leader: None,
            reported_members: Vec::new(),
            process_id: super::random(),
            started: now,
            domain: settings.domain.clone(),
            announcement_interval: settings.announcement_interval,
            needs_keys: settings.needs_keys,
            contacts: Vec::new(),
            replica_contacts: Vec::new(),
            confirmed_at: None,
            pending_confirmation: None,
            waiters: Vec::new(),
            next_ticket: 1,
            log_room,
            log_bytes: 0,
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

    /// Stops taking part in the replicated log, because the disk takes no writes.
    ///
    /// The directory and the reports are still served, and so is the agreed state while the reply of
    /// a leader shows that it is the newest.
    pub fn suspend(&mut self) {
        self.disk = None;
        for (_, Waiter(reply)) in self.waiters.drain(..) {
            // The caller may have given up.
            let _gone = reply.send(Err(Refusal::Unknown));
        }
    }

    /// Takes part in the replicated log again, restored from the image that was read from the disk.
    ///
    /// # Errors
    ///
    /// Returns an error if the snapshot can't be decoded.
    pub fn resume(&mut self, image: Image, disk: Disk, now: Time) -> Result<(), String> {
        let agreed = decode(&image.snapshot, self.needs_keys)?;
        self.applied_index = image.snapshot.index;
        self.snapshot_bytes = image.snapshot.data.as_bytes().len() as u64;
        self.log_bytes = 0;
        self.replica = new_replica(image, self.log_room, now);
        self.set_agreed(agreed, now);
        (self.confirmed_at, self.pending_confirmation) = (None, None);
        self.disk = Some(disk);
        Ok(())
    }

    /// Returns whether no leader has confirmed the agreed state for [`LEADER_TIMEOUT`].
    pub fn has_lost_leader(&self, now: Time) -> bool {
        !self.is_leader(now)
            && self
                .confirmed_at
                .is_none_or(|at| now.since(at) > LEADER_TIMEOUT)
    }

    /// Returns the internal address of the leader.
    pub fn leader_address(&self) -> Option<SocketAddr> {
        let id = self.replica.leader()?;
        let member = self.replica.members().member(id)?;
        member.address.parse().ok()
    }

    /// Returns the internal addresses of the other members.
    pub fn peer_addresses(&self, own: SocketAddr) -> Vec<SocketAddr> {
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

    /// Registers a caller that waits for an outcome and returns its ticket.
    pub fn register(&mut self, waiter: Waiter) -> u64 {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.waiters.push((ticket, waiter));
        ticket
    }

    /// Steps the replica, executes its actions and returns whether it was halted.
    ///
    /// While the disk takes no writes, the replica sends no messages and casts no votes.
    pub fn step(&mut self, event: Event, now: Time) -> bool {
        if self.disk.is_none() {
            return false;
        }
        let mut events = vec![event];
        let mut halted = false;
        while let Some(event) = events.pop() {
            for action in self.replica.step(event, now) {
                halted |= self.execute(action, &mut events, now);
            }
        }
        if let Some((sent, index)) = self.pending_confirmation
            && self.replica.commit_index() >= index
        {
            self.confirmed_at = self.confirmed_at.max(Some(sent));
            self.pending_confirmation = None;
        }
        halted
    }

    /// Executes an action, adds the events that result and returns whether the replica was halted.
    fn execute(&mut self, action: Action, events: &mut Vec<Event>, now: Time) -> bool {
        match action {
            Action::Send(message) => {
                let member = self.replica.members().member(message.to);
                // A new replica has an empty member set, but must reply to the leader.
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
                self.apply(index, &payload, now);
                events.extend(self.snapshot_if_due(payload.as_bytes().len()));
            }
            Action::Install(snapshot) => match decode(&snapshot, self.needs_keys) {
                Ok(agreed) => {
                    self.set_agreed(agreed, now);
                    self.applied_index = snapshot.index;
                }
                Err(reason) => {
                    self.halted = Some(reason);
                    return true;
                }
            },
            Action::Answer { ticket, outcome } | Action::Read { ticket, outcome } => {
                self.complete(ticket, outcome);
            }
            Action::Elected { term } => log::info!(event = "leader", term; "became the leader"),
            Action::StepDown { term } => log::info!(event = "follower", term; "stepped down"),
            Action::Halt { reason } => {
                self.halted = Some(reason);
                return true;
            }
        }
        false
    }

    fn apply(&mut self, index: u64, payload: &Payload, now: Time) {
        self.applied_index = index;
        match postcard::from_bytes::<Command>(payload.as_bytes()) {
            Ok(command) => {
                let kind = describe(&command);
                let before = self.agreed.revision;
                let changed = Arc::make_mut(&mut self.agreed).apply(command);
                if self.agreed.revision > before {
                    self.configured_at = now;
                    let content = self.agreed.content.clone();
                    if !self.agreed.needs_keys && (self.needs_keys)(content.as_bytes()) {
                        Arc::make_mut(&mut self.agreed).needs_keys = true;
                    }
                    self.library.archive.insert(self.agreed.revision, content);
                }
                log::info!(event = "applied", index, command = kind, changed; "applied a command");
            }
            Err(error) => log::error!("can't decode entry {index}, which is skipped: {error}"),
        }
    }

    /// Counts the bytes of an applied entry and returns a snapshot if one is due.
    fn snapshot_if_due(&mut self, bytes: usize) -> Option<Event> {
        self.log_bytes += bytes as u64;
        let interval = SNAPSHOT_INTERVAL_BYTES.max(4 * self.snapshot_bytes);
        if self.log_bytes < interval.min(self.log_room / 4) {
            return None;
        }
        self.log_bytes = 0;
        let data = self.agreed.encode();
        self.snapshot_bytes = data.as_bytes().len() as u64;
        Some(Event::Snapshotted {
            index: self.applied_index,
            data,
        })
    }

    /// Sends the outcome to the caller that waits for the ticket.
    fn complete(&mut self, ticket: u64, outcome: Result<u64, consensus::Refusal>) {
        let Some(at) = self.waiters.iter().position(|(t, _)| *t == ticket) else {
            return;
        };
        let (_, Waiter(reply)) = self.waiters.swap_remove(at);
        let outcome = outcome.map_err(|refusal| {
            log::info!(
                event = "not_appended", reason = refusal.to_string();
                "the log has not confirmed a request"
            );
            if refusal.may_commit() {
                Refusal::Unknown
            } else {
                Refusal::NoLeader
            }
        });
        // The caller may have given up.
        let _gone = reply.send(outcome);
    }

    /// Returns when the control instance last answered a poll.
    pub fn last_answer(&self, address: SocketAddr) -> Option<Time> {
        let found = self.contacts.iter().find(|c| c.address == address);
        found.and_then(|c| c.last_answer)
    }

    /// Returns the time since the last contact with the member.
    ///
    /// Without any contact, the time counts from the first call for this member.
    pub fn time_since_contact(&mut self, id: Identity, now: Time) -> Span {
        match self
            .replica_contacts
            .binary_search_by_key(&id, |(id, _)| *id)
        {
            Ok(at) => now.since(self.replica_contacts[at].1),
            Err(at) => {
                self.replica_contacts.insert(at, (id, now));
                Span::ZERO
            }
        }
    }

    fn record_contact(&mut self, id: Identity, now: Time) {
        match self
            .replica_contacts
            .binary_search_by_key(&id, |(id, _)| *id)
        {
            Ok(at) => self.replica_contacts[at].1 = now,
            Err(at) => self.replica_contacts.insert(at, (id, now)),
        }
    }

    /// Returns the revision of this instance's directory up to which the control instance has
    /// received the records.
    pub fn acknowledged_revision(&self, address: SocketAddr) -> u64 {
        let found = self.contacts.iter().find(|c| c.address == address);
        found.map_or(0, |c| c.acknowledged_revision)
    }

    fn contact_mut(&mut self, address: SocketAddr) -> &mut Contact {
        let at = self.contacts.iter().position(|c| c.address == address);
        let at = at.unwrap_or_else(|| {
            self.contacts.push(Contact {
                address,
                domain: None,
                last_answer: None,
                acknowledged_revision: 0,
            });
            self.contacts.len() - 1
        });
        &mut self.contacts[at]
    }

    /// Applies the reply of another control instance to a poll that was sent at `sent`, and returns
    /// whether it names an upstream that this instance has no record of.
    pub fn apply_update(
        &mut self,
        address: SocketAddr,
        update: Update,
        sent: Time,
        now: Time,
    ) -> bool {
        let contact = self.contact_mut(address);
        contact.last_answer = Some(now);
        contact.domain = Some(update.domain);
        self.record_contact(update.identity, now);
        let reported = update
            .control_instances
            .iter()
            .filter_map(|c| c.address.parse().ok());
        let reported: Vec<SocketAddr> = reported.collect();
        if !reported.is_empty() {
            self.reported_members = reported;
        }
        for record in update.records {
            self.directory.merge(record, now);
        }
        let mut has_unknown = false;
        for heartbeat in &update.heartbeats {
            has_unknown |= !self.directory.merge_heartbeat(heartbeat, now);
        }
        self.evidence.merge(&update.evidence, now);
        self.entry_peers.receive(address, update.peers, now);
        if let Some(summary) = update.summary {
            self.reports.merge_summary(summary, now);
        }
        if update.is_leader {
            self.issuer.receive(&update.permits, sent, now);
            self.known_leader = Some((address, now));
            if self.replica.commit_index() >= update.commit_index {
                self.confirmed_at = self.confirmed_at.max(Some(sent));
            } else {
                self.pending_confirmation = Some((sent, update.commit_index));
            }
        }
        has_unknown
    }

    /// Makes the trials of bans due when a version of a service is listed that is new.
    fn detect_new_versions(&mut self, now: Time) {
        let is_complete =
            now.since(self.started) >= self.announcement_interval.times(DISCOVERY_INTERVALS);
        for entry in self.directory.entries() {
            let (service, version) = (&entry.announcement.service, &entry.announcement.version);
            let found = self
                .versions
                .binary_search_by(|(s, v)| s.cmp(service).then_with(|| v.cmp(version)));
            let Err(at) = found else {
                continue;
            };
            self.versions.insert(at, (service.clone(), version.clone()));
            if is_complete {
                self.evidence.reconsider(now);
            }
        }
    }

    /// Returns whether an entry instance needs peers that other control instances know.
    pub fn needs_peers(&self, now: Time) -> bool {
        self.entry_peers.are_needed(now)
    }

    /// Returns the permits that this instance wants from the leader.
    pub fn wants(&mut self, now: Time) -> Vec<Want> {
        self.update_term(now);
        self.issuer.wants(now)
    }

    /// Tells the issuer of permits whether this instance leads.
    fn update_term(&mut self, now: Time) {
        let term = self.is_leader(now).then(|| self.replica.status(now).term);
        self.issuer.set_term(term, now);
    }

    /// Adds permits to the answer to a poll.
    ///
    /// Only the leader gives permits to control instances, so that none goes around in a circle.
    fn add_permits(&mut self, update: &mut Update, holder: u64, wants: &[Want], now: Time) {
        self.update_term(now);
        let (directory, evidence) = (&self.directory, &self.evidence);
        let is_leader = update.is_leader;
        let limit = |want: &Want| -> Option<Rate> {
            if suspect::is_permit_name(&want.upstream) {
                return evidence.permit_rate(&want.upstream, want.incarnation, is_leader, now);
            }
            directory.permit_rate(want)
        };
        update.permits = self.issuer.lend(holder, wants, limit, now);
        let issued = update.permits.iter();
        let issued = issued.filter(|p| is_leader && p.count > 0);
        for permit in issued.filter(|p| suspect::is_permit_name(&p.upstream)) {
            self.evidence.permit_issued(&permit.upstream, now);
        }
        update.has_permits = update.is_leader
            || self
                .known_leader
                .is_some_and(|(_, at)| now.since(at) < LEADER_CONTACT_TTL);
    }

    /// Records what upstreams have stated about their bounds to an entry instance.
    fn apply_limits(&mut self, limits: &[report::Limit], now: Time) {
        for limit in limits {
            let stated = fleet::Limit {
                bounds: limit.statement.bounds,
                stated_at: now - limit.statement.age,
            };
            if self
                .directory
                .set_limit(&limit.upstream, limit.incarnation, stated)
            {
                log::info!(
                    event = "upstream_limit", upstream = &*limit.upstream,
                    incarnation = limit.incarnation, source = "report",
                    limit_milli = limit_milli(stated.bounds.rate),
                    rejects_milli = limit_milli(stated.bounds.rejects);
                    "an upstream has stated other bounds to an entry instance"
                );
            }
        }
    }

    /// Answers a poll of a process that understands that format of messages.
    ///
    /// From format 2 on, entry instances fetch configurations apart from their polls.
    pub fn answer_poll(&mut self, poll: Poll, format: u32, now: Time) -> Update {
        let mut cursor = poll.cursor;
        if cursor.process_id != self.process_id {
            cursor = Cursor::default();
        }
        let is_full = !cursor.complete
            && now.since(self.started) >= self.announcement_interval.times(DISCOVERY_INTERVALS);
        if self.evidence.merge(&poll.evidence, now) {
            let (suspects, guilty) = self.evidence.totals();
            log::info!(
                event = "evidence", suspects, guilty;
                "an entry instance has reported crashes or answers"
            );
        }
        let from = if is_full {
            0
        } else {
            cursor.directory_revision
        };
        let mut update = Update {
            cursor: Cursor {
                process_id: self.process_id,
                directory_revision: self.directory.revision(),
                evidence_revision: self.evidence.revision(),
                complete: cursor.complete || is_full,
            },
            identity: self.id(),
            is_leader: self.is_leader(now),
            agreed_age: self.agreed_age(now),
            commit_index: self.replica.commit_index(),
            domain: self.domain.clone(),
            is_full,
            records: self.directory.since(from, now),
            heartbeats: Vec::new(),
            summary: None,
            totals: None,
            permits: Vec::new(),
            has_permits: false,
            evidence: self.evidence.since(cursor.evidence_revision, now),
            peers: Vec::new(),
            agreed: None,
            control_instances: Vec::new(),
        };
        if let Some(address) = poll
            .control_address
            .and_then(|a| a.parse::<SocketAddr>().ok())
        {
            if update.is_leader {
                let holder = digest::of(address.to_string().as_bytes());
                self.add_permits(&mut update, holder, &poll.wants, now);
            }
            if poll.needs_peers {
                update.peers = self.entry_peers.direct(now);
            }
            self.contact_mut(address).acknowledged_revision = cursor.directory_revision;
            update.heartbeats = self.directory.heartbeats(cursor.directory_revision, now);
            update.summary = Some(self.reports.summary(self.process_id, now));
            update.control_instances = self.control_instances();
            return update;
        }
        update.control_instances = self.control_instances();
        if let Some(report) = poll.report {
            let (instance, domain) = (report.instance, report.domain.clone());
            if let Some(peer) = poll.peer {
                if poll.needs_peers {
                    update.peers = self.entry_peers.all(&peer.address, now);
                }
                self.entry_peers.report(peer, now);
            }
            self.apply_departures(&report.departures);
            self.apply_limits(&report.limits, now);
            self.reports.merge_report(report, now);
            let directory = &self.directory;
            let wanted = |upstream: &str| {
                directory.get(upstream).is_some_and(|e| {
                    let announced = &e.announcement;
                    announced.domain == domain
                        || poll.spillover_services.contains(&announced.service)
                })
            };
            update.totals = Some(self.reports.totals(instance, now, wanted));
            self.issuer.take_back(instance, &poll.returns, now);
            self.add_permits(&mut update, instance, &poll.wants, now);
        }
        let is_current = format >= 2 || poll.config_revision == Some(self.agreed.revision);
        update.agreed = Some(AgreedState {
            revision: self.agreed.revision,
            content: (!is_current && self.agreed.revision > 0).then(|| self.agreed.content.clone()),
            taken_out: self.agreed.taken_out.clone(),
            rollouts: self.agreed.rollouts.clone(),
        });
        update
    }

    /// Records what a sender has learnt of the pace of upstreams, and returns those that differ by the
    /// reports to all control instances or, for one of these, to this one.
    pub fn answer_paces(
        &mut self,
        samples: &[pace::Sample],
        is_entry: bool,
        now: Time,
    ) -> Vec<pace::Sample> {
        let directory = &self.directory;
        let service_of = |upstream: &str| {
            let entry = directory.get(upstream)?;
            Some(entry.announcement.service.clone())
        };
        if is_entry {
            self.paces.report(samples, now);
            self.paces.totals(service_of, now)
        } else {
            self.paces.direct(service_of, now)
        }
    }

    /// Marks the upstreams as leaving that have announced it to an entry instance in a response.
    fn apply_departures(&mut self, departures: &[Departure]) {
        for departure in departures {
            let Departure {
                upstream,
                incarnation,
            } = departure;
            if self.directory.mark_leaving(upstream, Some(*incarnation)) {
                log::info!(
                    event = "upstream_leaving", upstream = &**upstream, incarnation,
                    source = "answer";
                    "an upstream announced in a response that it is leaving"
                );
            }
        }
    }

    /// Returns the addresses and known failure domains of all members.
    fn control_instances(&self) -> Vec<ControlInstance> {
        let members = self.replica.members();
        let all = members.voters.iter().chain(&members.learners);
        let instance = |m: &Member| ControlInstance {
            address: m.address.clone(),
            domain: if m.id == self.id() {
                Some(self.domain.clone())
            } else {
                let parsed = m.address.parse().ok();
                let contact = self.contacts.iter().find(|c| Some(c.address) == parsed);
                contact.and_then(|c| c.domain.clone())
            },
        };
        all.map(instance).collect()
    }

    /// Returns for how long this instance has had its configuration; `None` without one.
    pub fn revision_age(&self, now: Time) -> Option<Span> {
        (self.agreed.revision > 0).then(|| now.since(self.configured_at))
    }

    /// Replaces the agreed state.
    fn set_agreed(&mut self, agreed: replicated::State, now: Time) {
        if agreed.revision > self.agreed.revision {
            self.configured_at = now;
        }
        self.library
            .archive
            .insert(agreed.revision, agreed.content.clone());
        self.agreed = Arc::new(agreed);
    }

    /// Returns the time since the agreed state was known to be the newest; `None` if it never was.
    fn agreed_age(&self, now: Time) -> Option<Span> {
        if self.is_leader(now) {
            return Some(Span::ZERO);
        }
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Marks upstreams as silent that announce themselves no more, and removes old records and
    /// reports.
    pub fn expire(&mut self, now: Time) {
        self.directory.mark_silent(now, self.announcement_interval);
        self.directory.expire(now);
        self.reports.expire(now);
        self.issuer.expire(now);
        self.evidence.expire(now);
        self.detect_new_versions(now);
        for change in self.evidence.take_changes() {
            log::warn!(
                event = "judged", subject:? = change.subject, standing:? = change.standing,
                missing = change.missing, before = change.before;
                "crash evidence about a request or a part of prompts has changed its standing"
            );
        }
        for subject in self.evidence.ban_guilty(now) {
            log::warn!(
                event = "banned", subject:? = subject;
                "a request or a part of prompts crashes upstreams and is not sent any more"
            );
        }
    }
}

/// Returns the replica with that image, whose log takes up at most `log_room` bytes of memory.
fn new_replica(image: Image, log_room: u64, now: Time) -> Replica {
    let limits = consensus::Limits {
        payload_bytes: MAX_CONFIG_BYTES + 1_024,
        ..consensus::Limits::for_log(log_room)
    };
    let settings = Settings {
        seed: super::random(),
        limits,
        timing: TIMING,
        fault: None,
    };
    Replica::new(&settings, image, now)
}

/// Decodes the agreed state. `needs_keys` tells whether a configuration needs keys, which a snapshot
/// of an older build doesn't say.
fn decode(snapshot: &Snapshot, needs_keys: fn(&[u8]) -> bool) -> Result<replicated::State, String> {
    let mut state =
        replicated::State::decode(snapshot.data.as_bytes()).map_err(|e| e.to_string())?;
    state.needs_keys |= needs_keys(state.content.as_bytes());
    Ok(state)
}

/// Returns a short description of a command for log lines.
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
