//! What instances, upstreams and faults of the model do.

use masticlock_core::{
    directory::{Announcement, State},
    inventory::Offer,
    name,
    slot::{self, AnnouncementResponse, Handover, Held, Holder, Lease, Report, Table, Target},
    time::{Span, Time},
};
use rand::RngExt;

use super::{
    CALL_MS, COLD, Event, Fault, INSTANCES, RESTART_MS, Truth, UPSTREAMS, WARM, World, instance,
    version,
};

impl World {
    pub(super) fn announce(&mut self, at: usize, incarnation: u64, call: u64) {
        let upstream = &mut self.upstreams[at];
        if !upstream.up || upstream.incarnation != incarnation || upstream.call != call {
            return;
        }
        upstream.call += 1;
        let call = upstream.call;
        let offer = [Offer::Engine, Offer::Service][usize::from(upstream.hold.is_some())];
        let announcement = Announcement {
            upstream: upstream.name.clone(),
            incarnation,
            address: format!("http://engine-{at}"),
            domain: name::Domain::try_from("east").unwrap(),
            offer,
            service: None,
            versions: vec![version(at)],
            warm: WARM,
            cold: COLD,
            fences: false,
            state: upstream.state,
            token: upstream.token.clone(),
        };
        let mut door = self.rng.random_range(0..INSTANCES);
        if self.nodes[door].deaf {
            door = (door + 1) % INSTANCES;
        }
        if self.fault == Fault::LimitPerInstance {
            for to in 0..INSTANCES {
                self.send(Event::Announced(
                    at,
                    call,
                    announcement.clone(),
                    to,
                    self.now,
                ));
            }
        } else if let (true, Some(to)) = (self.nodes[door].up, self.owner(door, at))
            && !self.cut.contains(&(door.min(to), door.max(to)))
        {
            self.send(Event::Announced(at, call, announcement, to, self.now));
        }
        // An answer after the call's limit is dropped and the next call begins.
        self.at(CALL_MS, Event::Announce(at, incarnation, call));
    }

    pub(super) fn announced(
        &mut self,
        at: usize,
        call: u64,
        mut announcement: Announcement,
        to: usize,
    ) {
        let now = self.clock(to);
        let fault = self.fault;
        let node = &mut self.nodes[to];
        if !node.up {
            return;
        }
        let foreign = announcement.token.clone().filter(|t| t.owner != node.name);
        match (fault, foreign) {
            (Fault::NoTakeoverWait, Some(token)) => node.table.take_over(
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
            (Fault::LimitPerInstance, _) => {
                announcement.token.clone_from(&node.last_token[at]);
            }
            (Fault::TrustReceiveTime, None) => {
                if let Some(token) = &mut announcement.token {
                    token.issued = now;
                }
            }
            _ => {}
        }
        if let Ok(answer) = node.table.announced(&announcement, false, now) {
            node.last_token[at] = Some(answer.token.clone());
            self.send(Event::Answered(at, call, announcement.incarnation, answer));
        }
    }

    pub(super) fn want(&mut self, at: usize) {
        let pause = self.rng.random_range(5..60);
        self.at(pause, Event::Want(at));
        let upstream = self.rng.random_range(0..UPSTREAMS);
        let node = &self.nodes[at];
        let owner = if self.fault == Fault::LimitPerInstance {
            Some(at)
        } else {
            self.owner(at, upstream)
        };
        if let (true, Some(owner)) = (node.up && !node.leaving, owner) {
            let (boot, sent) = (node.boot, self.clock(at));
            let ask = Event::Acquire {
                owner,
                holder: at,
                boot,
                upstream,
                sent,
            };
            self.send_between(at, owner, ask);
        }
    }

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
        let ask = slot::Acquire {
            request: name::Request::try_from("r").unwrap(),
            account: name::Account::try_from("a").unwrap(),
            fingerprint: None,
            target: Target::Version(version(upstream)),
            avoid: Vec::new(),
            wait: Span::ZERO,
            hold,
        };
        let asker = instance(holder);
        let node = &mut self.nodes[owner];
        if !node.up {
            return;
        }
        let Ok(lease) = node.table.acquire(&ask, &asker, now) else {
            return;
        };
        let (_, limit) = node.table.load(&lease.upstream).unwrap();
        let limit = limit.min(WARM);
        self.truths.push(Truth {
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
        self.check(upstream, owner, limit);
        let answer = Event::Granted {
            holder,
            boot,
            lease,
            hold,
            sent,
        };
        self.send_between(owner, holder, answer);
    }

    /// The sum over all holders is within the limit of the granting owner, and
    /// that limit is within what the upstream can bear.
    pub(super) fn check(&mut self, upstream: usize, owner: usize, limit: u32) {
        let mut truths = std::mem::take(&mut self.truths);
        truths.retain(|truth| self.usable(truth));
        self.truths = truths;
        let used = self
            .truths
            .iter()
            .filter(|t| t.upstream == upstream)
            .count();
        let bears = self.upstreams[upstream].bears;
        let told = self.nodes[owner].told[upstream] >= self.upstreams[upstream].since;
        let (now, name) = (self.now, instance(owner));
        if used > limit as usize {
            let text = format!("{now} ms: {name} lent {used} of {limit} on engine-{upstream}");
            self.violations.push(text);
        }
        if self.upstreams[upstream].up && limit > bears && told {
            let text = format!("{now} ms: {name} limit {limit}, engine-{upstream} bears {bears}");
            self.violations.push(text);
        }
    }

    pub(super) fn usable(&self, truth: &Truth) -> bool {
        let upstream = &self.upstreams[truth.upstream];
        let node = &self.nodes[truth.holder];
        let same = node.up && node.boot == truth.boot;
        let clock = self.clock(truth.holder);
        match truth.started {
            None => same && !truth.ended && clock < truth.start_by,
            Some(_) if truth.ended || upstream.incarnation != truth.lease.incarnation => false,
            Some(_) => truth.hold.map_or_else(
                || {
                    let valid = |h: &Held| h.lease == truth.lease && clock < h.until;
                    same && node.holder.held().iter().any(valid)
                },
                // A call that can't be cancelled outlives its holder.
                |hold| self.now < truth.granted + hold.as_millis(),
            ),
        }
    }

    pub(super) fn granted(
        &mut self,
        at: usize,
        boot: u64,
        lease: Lease,
        hold: Option<Span>,
        sent: Time,
    ) {
        let now = self.clock(at);
        let index = self.upstream_of(&lease);
        let node = &mut self.nodes[at];
        if !node.up || node.boot != boot || !node.holder.granted(lease.clone(), hold, sent, now) {
            return;
        }
        let upstream = &self.upstreams[index];
        if !node.holder.start(&lease, now) || !upstream.up {
            return;
        }
        let time = self.now;
        let longest = [5_500, 8_500][usize::from(hold.is_some())];
        let length = self.rng.random_range(50..longest);
        if let Some(truth) = self.truths.iter_mut().find(|t| t.lease == lease) {
            truth.started = Some(time);
            truth.lease.incarnation = upstream.incarnation;
        }
        self.at(
            length,
            Event::End {
                holder: at,
                boot,
                lease,
            },
        );
    }

    pub(super) fn end(&mut self, at: usize, boot: u64, lease: &Lease) {
        let index = self.upstream_of(lease);
        let is_this = |t: &&mut Truth| t.lease.id == lease.id && t.lease.upstream == lease.upstream;
        let node = &mut self.nodes[at];
        if !node.up || node.boot != boot || !node.holder.released(lease) {
            return;
        }
        let Some(truth) = self.truths.iter_mut().find(is_this) else {
            return;
        };
        truth.ended = true;
        let upstream = &mut self.upstreams[index];
        let alive = upstream.up && upstream.incarnation == truth.lease.incarnation;
        let report = if alive {
            Report::Completed { first_ms: 50 }
        } else {
            Report::Failed
        };
        if alive && truth.started >= Some(upstream.since) {
            upstream.done += 1;
            if upstream.done >= upstream.bears {
                upstream.done = 0;
                upstream.bears = (2 * upstream.bears).min(WARM);
            }
        }
        let owner = self.owner(at, index).unwrap_or(at);
        self.send_between(
            at,
            owner,
            Event::Release {
                owner,
                lease: lease.clone(),
                report,
            },
        );
    }

    pub(super) fn tick(&mut self, at: usize, boot: u64) {
        if !self.nodes[at].up || self.nodes[at].boot != boot {
            return;
        }
        self.at(100, Event::Tick(at, boot));
        let now = self.clock(at);
        let (due, gone) = (
            self.nodes[at].holder.due_renewals(now),
            self.nodes[at].holder.remove_expired(now),
        );
        for lease in due {
            let owner = self.owner(at, self.upstream_of(&lease)).unwrap_or(at);
            self.send_between(
                at,
                owner,
                Event::Renew {
                    owner,
                    holder: at,
                    lease,
                    sent: now,
                },
            );
        }
        for lease in gone {
            let owner = self.owner(at, self.upstream_of(&lease)).unwrap_or(at);
            let report = Report::Cancelled;
            self.send_between(
                at,
                owner,
                Event::Release {
                    owner,
                    lease,
                    report,
                },
            );
        }
    }

    pub(super) fn views_change(&mut self) {
        for at in 0..INSTANCES {
            let delay = self.rng.random_range(0..3_000);
            self.at(delay, Event::View(at));
        }
    }

    pub(super) fn restart(&mut self, at: usize, boot: u64) {
        let node = &mut self.nodes[at];
        node.up = true;
        node.leaving = false;
        node.boot = boot;
        node.table = Table::new(node.name.clone(), boot);
        node.holder = Holder::default();
        node.last_token = vec![None; UPSTREAMS];
        node.told = [0; UPSTREAMS];
        node.offset = 0;
        self.at(0, Event::Tick(at, boot));
        self.views_change();
    }

    pub(super) fn stop(&mut self, at: usize, down: u64) {
        self.nodes[at].up = false;
        self.boots += 1;
        self.at(down, Event::Restart(at, self.boots));
    }

    pub(super) fn chaos(&mut self) {
        let pause = self.rng.random_range(500..9_000);
        self.at(pause, Event::Chaos);
        let node = self.rng.random_range(0..INSTANCES);
        let engine = self.rng.random_range(0..UPSTREAMS);
        match self.rng.random_range(0..9) {
            0 if self.nodes[node].up => {
                let down = self.rng.random_range(10..20_000);
                self.stop(node, down);
            }
            1 if self.nodes[node].up && !self.nodes[node].leaving => self.leave(node),
            2 => {
                let other = (node + self.rng.random_range(1..INSTANCES)) % INSTANCES;
                self.cut.push((node.min(other), node.max(other)));
            }
            3 | 7 => {
                self.cut.clear();
                self.nodes.iter_mut().for_each(|n| n.deaf = false);
            }
            // Only one other instance still reaches this one.
            6 => {
                let friend = (node + self.rng.random_range(1..INSTANCES)) % INSTANCES;
                let others = (0..INSTANCES).filter(|&n| n != node && n != friend);
                self.cut.extend(others.map(|n| (node.min(n), node.max(n))));
                self.nodes[node].deaf = true;
            }
            4 if self.upstreams[engine].up => {
                let upstream = &mut self.upstreams[engine];
                upstream.up = false;
                upstream.incarnation += 1;
                upstream.token = None;
                self.at(RESTART_MS, Event::Boot(engine));
            }
            5 if self.upstreams[engine].up => {
                self.chill(engine, State::Cold);
                self.at(7_000, Event::Warm(engine, self.now));
            }
            _ => {}
        }
        self.views_change();
    }

    pub(super) fn chill(&mut self, at: usize, state: State) {
        let upstream = &mut self.upstreams[at];
        upstream.state = state;
        upstream.bears = COLD;
        upstream.done = 0;
        upstream.since = self.now;
    }

    pub(super) fn leave(&mut self, at: usize) {
        let now = self.clock(at);
        self.nodes[at].leaving = true;
        let handovers = self.nodes[at].table.hand_over(now);
        for to in 0..INSTANCES {
            self.nodes[to].view.retain(|n| *n != instance(at));
        }
        for handover in handovers {
            let index = self
                .upstreams
                .iter()
                .position(|u| u.name == handover.upstream)
                .unwrap();
            if let Some(to) = self.owner(at, index) {
                self.send_between(at, to, Event::HandOver(to, handover));
            }
        }
        let delay = self.rng.random_range(6_000..12_000);
        self.at(delay, Event::Stop(at, self.nodes[at].boot));
    }

    pub(super) fn answered(
        &mut self,
        at: usize,
        call: u64,
        incarnation: u64,
        answer: AnnouncementResponse,
    ) {
        let upstream = &mut self.upstreams[at];
        if upstream.up && upstream.call == call && upstream.incarnation == incarnation {
            upstream.token = Some(answer.token);
            upstream.call += 1;
            let next = Event::Announce(at, incarnation, call + 1);
            self.at(answer.interval.as_millis(), next);
        }
    }

    pub(super) fn renew(&mut self, owner: usize, holder: usize, lease: Lease, sent: Time) {
        let now = self.clock(owner);
        let (boot, node) = (self.nodes[holder].boot, &mut self.nodes[owner]);
        if node.up {
            let renewal = node.table.renew(&lease.upstream, lease.id, now);
            let answer = Event::Renewed {
                holder,
                boot,
                lease,
                renewal,
                sent,
            };
            self.send_between(owner, holder, answer);
        }
    }

    pub(super) fn boot(&mut self, at: usize) {
        let upstream = &mut self.upstreams[at];
        upstream.up = true;
        upstream.call += 1;
        let next = Event::Announce(at, upstream.incarnation, upstream.call);
        self.chill(at, State::Ready);
        self.at(0, next);
    }

    pub(super) fn view(&mut self, at: usize) {
        self.nodes[at].view = (0..INSTANCES)
            .filter(|&n| {
                let cut = self.cut.contains(&(n.min(at), n.max(at)));
                self.nodes[n].up && !self.nodes[n].leaving && !cut
            })
            .map(instance)
            .collect();
    }
}
