//! The handlers of the events and the check of the limits.

use masticlock_core::{
    directory::{Announcement, State},
    inventory::Offer,
    name,
    slot::{self, AnnouncementResponse, Handover, Held, Holder, Lease, Report, Table, Target},
    time::{Span, Time},
};
use rand::RngExt;

use super::{
    CALL_MS, COLD, Defect, Event, INSTANCES, ObservedGrant, RESTART_MS, Simulation, UPSTREAMS,
    WARM, instance, version,
};

impl Simulation {
    /// An upstream sends an announcement through a random instance to its owner.
    pub(super) fn announce(&mut self, index: usize, incarnation: u64, call: u64) {
        let upstream = &mut self.upstreams[index];
        if !upstream.up || upstream.incarnation != incarnation || upstream.call != call {
            return;
        }
        upstream.call += 1;
        let call = upstream.call;
        let offer = [Offer::Engine, Offer::Service][usize::from(upstream.hold.is_some())];
        let announcement = Announcement {
            upstream: upstream.name.clone(),
            incarnation,
            address: format!("http://engine-{index}"),
            domain: name::Domain::try_from("east").unwrap(),
            offer,
            service: None,
            versions: vec![version(index)],
            warm: WARM,
            cold: COLD,
            fences: false,
            state: upstream.state,
            token: upstream.token.clone(),
        };
        let mut receiver = self.rng.random_range(0..INSTANCES);
        if self.nodes[receiver].announcements_blocked {
            receiver = (receiver + 1) % INSTANCES;
        }
        if self.defect == Defect::LimitPerInstance {
            for to in 0..INSTANCES {
                self.send(Event::Announced(
                    index,
                    call,
                    announcement.clone(),
                    to,
                    self.now,
                ));
            }
        } else if let (true, Some(to)) = (self.nodes[receiver].up, self.owner(receiver, index))
            && !self
                .partitions
                .contains(&(receiver.min(to), receiver.max(to)))
        {
            self.send(Event::Announced(index, call, announcement, to, self.now));
        }
        // A response after the timeout is dropped, and the next call begins.
        self.schedule(CALL_MS, Event::Announce(index, incarnation, call));
    }

    /// An instance receives an announcement and responds to it.
    pub(super) fn announced(
        &mut self,
        index: usize,
        call: u64,
        mut announcement: Announcement,
        to: usize,
    ) {
        let now = self.clock(to);
        let defect = self.defect;
        let node = &mut self.nodes[to];
        if !node.up {
            return;
        }
        let foreign = announcement.token.clone().filter(|t| t.owner != node.name);
        match (defect, foreign) {
            (Defect::NoTakeoverWait, Some(token)) => node.table.take_over(
                Handover {
                    upstream: announcement.upstream.clone(),
                    owner: token.owner,
                    boot: token.boot,
                    slow_start: slot::SlowStart::new(COLD, WARM),
                    announcement: announcement.clone(),
                    used: Vec::new(),
                },
                now,
            ),
            (Defect::LimitPerInstance, _) => {
                announcement.token.clone_from(&node.last_token[index]);
            }
            (Defect::TrustReceiveTime, None) => {
                if let Some(token) = &mut announcement.token {
                    token.issued = now;
                }
            }
            _ => {}
        }
        if let Ok(response) = node.table.announced(&announcement, false, now) {
            node.last_token[index] = Some(response.token.clone());
            self.send(Event::Answered(
                index,
                call,
                announcement.incarnation,
                response,
            ));
        }
    }

    /// An instance requests a slot on a random upstream from its owner.
    pub(super) fn request_slot(&mut self, index: usize) {
        let pause = self.rng.random_range(5..60);
        self.schedule(pause, Event::RequestSlot(index));
        let upstream = self.rng.random_range(0..UPSTREAMS);
        let node = &self.nodes[index];
        let owner = if self.defect == Defect::LimitPerInstance {
            Some(index)
        } else {
            self.owner(index, upstream)
        };
        if let (true, Some(owner)) = (node.up && !node.leaving, owner) {
            let (boot, sent) = (node.boot, self.clock(index));
            let request = Event::Acquire {
                owner,
                holder: index,
                boot,
                upstream,
                sent,
            };
            self.send_between(index, owner, request);
        }
    }

    /// An owner receives a request for a slot and grants it if it can.
    pub(super) fn acquire(
        &mut self,
        owner: usize,
        holder: usize,
        boot: u64,
        upstream: usize,
        sent: Time,
    ) {
        let now = self.clock(owner);
        let hold = self.upstreams[upstream].hold;
        let request = slot::Acquire {
            request: name::Request::try_from("r").unwrap(),
            account: name::Account::try_from("a").unwrap(),
            fingerprint: None,
            target: Target::Version(version(upstream)),
            avoid: Vec::new(),
            wait: Span::ZERO,
            hold,
        };
        let requester = instance(holder);
        let node = &mut self.nodes[owner];
        if !node.up {
            return;
        }
        let Ok(lease) = node.table.acquire(&request, &requester, now) else {
            return;
        };
        let (_, limit) = node.table.load(&lease.upstream).unwrap();
        let limit = limit.min(WARM);
        self.observed.push(ObservedGrant {
            lease: lease.clone(),
            upstream,
            holder,
            boot,
            start_by: sent + slot::START_TIMEOUT,
            granted: self.now,
            started: None,
            ended: false,
            hold,
        });
        self.grants += 1;
        self.check_limits(upstream, owner, limit);
        let response = Event::Granted {
            holder,
            boot,
            lease,
            hold,
            sent,
        };
        self.send_between(owner, holder, response);
    }

    /// Checks that the slots of all holders are within the limit of the owner that
    /// granted one, and that this limit is within the capacity of the upstream.
    ///
    /// The capacity counts only if the owner has an announcement since the last
    /// cold start.
    pub(super) fn check_limits(&mut self, upstream: usize, owner: usize, limit: u32) {
        let mut observed = std::mem::take(&mut self.observed);
        observed.retain(|grant| self.is_usable(grant));
        self.observed = observed;
        let used = self
            .observed
            .iter()
            .filter(|grant| grant.upstream == upstream)
            .count();
        let capacity = self.upstreams[upstream].capacity;
        let is_informed =
            self.nodes[owner].last_announced[upstream] >= self.upstreams[upstream].cold_since;
        let (now, name) = (self.now, instance(owner));
        if used > limit as usize {
            let text =
                format!("{now} ms: {name} granted {used} of {limit} slots on engine-{upstream}");
            self.violations.push(text);
        }
        if self.upstreams[upstream].up && limit > capacity && is_informed {
            let text = format!(
                "{now} ms: {name} has limit {limit}, engine-{upstream} has capacity {capacity}"
            );
            self.violations.push(text);
        }
    }

    /// Returns whether work may start or is running in the slot.
    pub(super) fn is_usable(&self, grant: &ObservedGrant) -> bool {
        let upstream = &self.upstreams[grant.upstream];
        let node = &self.nodes[grant.holder];
        let is_same_process = node.up && node.boot == grant.boot;
        let clock = self.clock(grant.holder);
        match grant.started {
            None => is_same_process && !grant.ended && clock < grant.start_by,
            Some(_) if grant.ended || upstream.incarnation != grant.lease.incarnation => false,
            Some(_) => grant.hold.map_or_else(
                || {
                    let is_valid = |held: &Held| held.lease == grant.lease && clock < held.until;
                    is_same_process && node.holder.held().iter().any(is_valid)
                },
                // A call that can't be cancelled goes on after its holder has crashed.
                |hold| self.now < grant.granted + hold.as_millis(),
            ),
        }
    }

    /// A holder receives a granted slot and starts its work.
    pub(super) fn granted(
        &mut self,
        index: usize,
        boot: u64,
        lease: Lease,
        hold: Option<Span>,
        sent: Time,
    ) {
        let now = self.clock(index);
        let upstream_index = self.upstream_index(&lease);
        let node = &mut self.nodes[index];
        if !node.up || node.boot != boot || !node.holder.granted(lease.clone(), hold, sent, now) {
            return;
        }
        let upstream = &self.upstreams[upstream_index];
        if !node.holder.start(&lease, now) || !upstream.up {
            return;
        }
        let time = self.now;
        let max_length = [5_500, 8_500][usize::from(hold.is_some())];
        let length = self.rng.random_range(50..max_length);
        if let Some(grant) = self.observed.iter_mut().find(|grant| grant.lease == lease) {
            grant.started = Some(time);
            grant.lease.incarnation = upstream.incarnation;
        }
        self.schedule(
            length,
            Event::End {
                holder: index,
                boot,
                lease,
            },
        );
    }

    /// Work ends, and its holder releases the slot.
    pub(super) fn end(&mut self, index: usize, boot: u64, lease: &Lease) {
        let upstream_index = self.upstream_index(lease);
        let is_this = |grant: &&mut ObservedGrant| {
            grant.lease.id == lease.id && grant.lease.upstream == lease.upstream
        };
        let node = &mut self.nodes[index];
        if !node.up || node.boot != boot || !node.holder.released(lease) {
            return;
        }
        let Some(grant) = self.observed.iter_mut().find(is_this) else {
            return;
        };
        grant.ended = true;
        let upstream = &mut self.upstreams[upstream_index];
        let is_alive = upstream.up && upstream.incarnation == grant.lease.incarnation;
        let report = if is_alive {
            Report::Completed { first_ms: 50 }
        } else {
            Report::Failed
        };
        if is_alive && grant.started >= Some(upstream.cold_since) {
            upstream.completions += 1;
            if upstream.completions >= upstream.capacity {
                upstream.completions = 0;
                upstream.capacity = (2 * upstream.capacity).min(WARM);
            }
        }
        let owner = self.owner(index, upstream_index).unwrap_or(index);
        self.send_between(
            index,
            owner,
            Event::Release {
                owner,
                lease: lease.clone(),
                report,
            },
        );
    }

    /// An instance renews its slots and releases the expired ones.
    pub(super) fn tick(&mut self, index: usize, boot: u64) {
        if !self.nodes[index].up || self.nodes[index].boot != boot {
            return;
        }
        self.schedule(100, Event::Tick(index, boot));
        let now = self.clock(index);
        let (due, expired) = (
            self.nodes[index].holder.due_renewals(now),
            self.nodes[index].holder.remove_expired(now),
        );
        for lease in due {
            let owner = self
                .owner(index, self.upstream_index(&lease))
                .unwrap_or(index);
            self.send_between(
                index,
                owner,
                Event::Renew {
                    owner,
                    holder: index,
                    lease,
                    sent: now,
                },
            );
        }
        for lease in expired {
            let owner = self
                .owner(index, self.upstream_index(&lease))
                .unwrap_or(index);
            let report = Report::Cancelled;
            self.send_between(
                index,
                owner,
                Event::Release {
                    owner,
                    lease,
                    report,
                },
            );
        }
    }

    /// Schedules an update of the view of each instance.
    pub(super) fn schedule_view_updates(&mut self) {
        for index in 0..INSTANCES {
            let delay = self.rng.random_range(0..3_000);
            self.schedule(delay, Event::UpdateView(index));
        }
    }

    /// Starts a new process of an instance.
    pub(super) fn start_node(&mut self, index: usize, boot: u64) {
        let node = &mut self.nodes[index];
        node.up = true;
        node.leaving = false;
        node.boot = boot;
        node.table = Table::new(node.name.clone(), boot);
        node.holder = Holder::default();
        node.last_token = vec![None; UPSTREAMS];
        node.last_announced = [0; UPSTREAMS];
        node.clock_offset = 0;
        self.schedule(0, Event::Tick(index, boot));
        self.schedule_view_updates();
    }

    /// Stops the process of an instance. The next one starts after `downtime`.
    pub(super) fn stop_node(&mut self, index: usize, downtime: u64) {
        self.nodes[index].up = false;
        self.last_boot += 1;
        self.schedule(downtime, Event::StartNode(index, self.last_boot));
    }

    /// Injects a random fault or repairs the network.
    pub(super) fn inject_fault(&mut self) {
        let pause = self.rng.random_range(500..9_000);
        self.schedule(pause, Event::InjectFault);
        let node = self.rng.random_range(0..INSTANCES);
        let engine = self.rng.random_range(0..UPSTREAMS);
        match self.rng.random_range(0..9) {
            0 if self.nodes[node].up => {
                let downtime = self.rng.random_range(10..20_000);
                self.stop_node(node, downtime);
            }
            1 if self.nodes[node].up && !self.nodes[node].leaving => self.leave(node),
            2 => {
                let other = (node + self.rng.random_range(1..INSTANCES)) % INSTANCES;
                self.partitions.push((node.min(other), node.max(other)));
            }
            3 | 7 => {
                self.partitions.clear();
                self.nodes
                    .iter_mut()
                    .for_each(|n| n.announcements_blocked = false);
            }
            // Only one other instance can reach this one, and the load balancer sends it no
            // announcements.
            6 => {
                let peer = (node + self.rng.random_range(1..INSTANCES)) % INSTANCES;
                let others = (0..INSTANCES).filter(|&n| n != node && n != peer);
                self.partitions
                    .extend(others.map(|n| (node.min(n), node.max(n))));
                self.nodes[node].announcements_blocked = true;
            }
            4 if self.upstreams[engine].up => {
                let upstream = &mut self.upstreams[engine];
                upstream.up = false;
                upstream.incarnation += 1;
                upstream.token = None;
                self.schedule(RESTART_MS, Event::StartUpstream(engine));
            }
            5 if self.upstreams[engine].up => {
                self.make_cold(engine, State::Cold);
                self.schedule(7_000, Event::WarmUp(engine, self.now));
            }
            _ => {}
        }
        self.schedule_view_updates();
    }

    /// Makes an upstream cold.
    pub(super) fn make_cold(&mut self, index: usize, state: State) {
        let upstream = &mut self.upstreams[index];
        upstream.state = state;
        upstream.capacity = COLD;
        upstream.completions = 0;
        upstream.cold_since = self.now;
    }

    /// An instance hands over its slots and stops later.
    pub(super) fn leave(&mut self, index: usize) {
        let now = self.clock(index);
        self.nodes[index].leaving = true;
        let handovers = self.nodes[index].table.hand_over(now);
        for to in 0..INSTANCES {
            self.nodes[to].view.retain(|n| *n != instance(index));
        }
        for handover in handovers {
            let upstream_index = self
                .upstreams
                .iter()
                .position(|u| u.name == handover.upstream)
                .unwrap();
            if let Some(to) = self.owner(index, upstream_index) {
                self.send_between(index, to, Event::HandOver(to, handover));
            }
        }
        let delay = self.rng.random_range(6_000..12_000);
        self.schedule(delay, Event::StopNode(index, self.nodes[index].boot));
    }

    /// An upstream receives the response to its announcement.
    pub(super) fn answered(
        &mut self,
        index: usize,
        call: u64,
        incarnation: u64,
        response: AnnouncementResponse,
    ) {
        let upstream = &mut self.upstreams[index];
        if upstream.up && upstream.call == call && upstream.incarnation == incarnation {
            upstream.token = Some(response.token);
            upstream.call += 1;
            let next = Event::Announce(index, incarnation, call + 1);
            self.schedule(response.interval.as_millis(), next);
        }
    }

    /// An owner receives a renewal and responds to it.
    pub(super) fn renew(&mut self, owner: usize, holder: usize, lease: Lease, sent: Time) {
        let now = self.clock(owner);
        let (boot, node) = (self.nodes[holder].boot, &mut self.nodes[owner]);
        if node.up {
            let renewal = node.table.renew(&lease.upstream, lease.id, now);
            let response = Event::Renewed {
                holder,
                boot,
                lease,
                renewal,
                sent,
            };
            self.send_between(owner, holder, response);
        }
    }

    /// An upstream has restarted and announces itself.
    pub(super) fn start_upstream(&mut self, index: usize) {
        let upstream = &mut self.upstreams[index];
        upstream.up = true;
        upstream.call += 1;
        let next = Event::Announce(index, upstream.incarnation, upstream.call);
        self.make_cold(index, State::Ready);
        self.schedule(0, next);
    }

    /// Sets the view of an instance to those that it can reach.
    pub(super) fn update_view(&mut self, index: usize) {
        self.nodes[index].view = (0..INSTANCES)
            .filter(|&n| {
                let is_cut = self.partitions.contains(&(n.min(index), n.max(index)));
                self.nodes[n].up && !self.nodes[n].leaving && !is_cut
            })
            .map(instance)
            .collect();
    }
}
