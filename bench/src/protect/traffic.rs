//! The way of requests through the instances of the model.

use masticlock_core::{
    error,
    limit::{Item, Priority},
    name,
    slot::{Acquire, Lease, Report, Target},
    time::{Span, Time},
};
use rand::RngExt;

use super::{
    upstream::{WORK_MS, version},
    world::{
        ACCOUNTS, ARRIVAL_MS, ASKS, DEADLINE_MS, DOMAINS, Event, INSTANCES, LATENCY_MS, RETURNS,
        Request, UPSTREAMS, World, account, instance, node, usize_of,
    },
};

impl World {
    pub fn arrive(&mut self) {
        let doors: Vec<_> = (0..INSTANCES).filter(|n| self.nodes[*n].up).collect();
        // Arrivals vary by a half around their mean.
        let mean = self.arrivals_per_s * ARRIVAL_MS / 1_000;
        let total = self.rng.random_range(mean / 2..=mean * 3 / 2);
        for _ in 0..total {
            let at = doors[self.rng.random_range(0..doors.len())];
            // The first client account sends three times as much as each other.
            let account = self.rng.random_range(0..ACCOUNTS + 2).saturating_sub(2);
            let deadline = self.now + DEADLINE_MS;
            self.requests.push(Request {
                account,
                deadline,
                ran: false,
                back: false,
            });
            self.counts.arrived += 1;
            self.admit(at, self.requests.len() as u64 - 1);
        }
        self.at(ARRIVAL_MS, Event::Arrive);
    }

    pub fn admit(&mut self, at: usize, request: u64) {
        let now = self.time();
        let base = self.base(at);
        let name = account(self.requests[usize_of(request)].account);
        let admitted = self.nodes[at].shares.get(&name, base, now).admit(now);
        match admitted {
            Ok(()) => self.enqueue(at, request),
            Err(error) => {
                self.counts.limited += 1;
                self.come_back(at, request, &error);
            }
        }
    }

    pub fn enqueue(&mut self, at: usize, request: u64) {
        if !self.nodes[at].up {
            return;
        }
        let now = self.time();
        let Request {
            account: who,
            deadline,
            ..
        } = self.requests[usize_of(request)];
        let item = Item {
            id: request,
            account: account(who),
            weight: 1,
            priority: Priority::Normal,
            start_by: Time::from_millis(deadline.saturating_sub(2 * WORK_MS)),
        };
        if let Some(refusal) = self.nodes[at].queue.push(item, now) {
            self.refused(at, refusal.id, &refusal.error);
        }
        self.pump(at);
    }

    pub fn refused(&mut self, at: usize, request: u64, error: &error::Error) {
        self.leave(at, request);
        if self.requests[usize_of(request)].ran {
            // It is answered as failed, because it may have run.
            self.counts.failed += 1;
            return;
        }
        self.counts.overloaded += 1;
        self.come_back(at, request, error);
    }

    /// Lets a part of the refused requests come back at the time they were told.
    pub fn come_back(&mut self, at: usize, request: u64, error: &error::Error) {
        let Some(wait) = error.retry_after_ms else {
            self.counts.untimed += 1;
            return;
        };
        self.counts.longest_wait = self.counts.longest_wait.max(wait);
        if request.is_multiple_of(RETURNS) && !self.requests[usize_of(request)].back {
            self.at(wait, Event::Return(at, request));
        }
    }

    pub fn returned(&mut self, at: usize, request: u64) {
        if !self.nodes[at].up {
            return;
        }
        let before = self.counts.limited + self.counts.overloaded;
        self.requests[usize_of(request)].back = true;
        self.requests[usize_of(request)].deadline = self.now + DEADLINE_MS;
        self.counts.arrived += 1;
        self.counts.returned += 1;
        self.admit(at, request);
        let after = self.counts.limited + self.counts.overloaded;
        self.counts.admitted += u64::from(before == after);
    }

    /// Takes a request off its client account's open ones.
    pub fn leave(&mut self, at: usize, request: u64) {
        let now = self.time();
        let base = self.base(at);
        let name = account(self.requests[usize_of(request)].account);
        self.nodes[at].shares.get(&name, base, now).release();
    }

    /// Asks for as many slots as requests wait, within bounds.
    pub fn pump(&mut self, at: usize) {
        let most = ASKS.min(u32::try_from(self.nodes[at].queue.len()).unwrap_or(ASKS));
        while self.nodes[at].asks < most && self.nodes[at].pause_until <= self.now {
            let target = Target::Version(version());
            let view = &self.nodes[at].view;
            let owners: Vec<_> = view
                .serving(&target)
                .filter_map(|u| view.owner(&u.upstream).map(|o| o.name.clone()))
                .collect();
            if owners.is_empty() {
                return;
            }
            let owner = &owners[self.rng.random_range(0..owners.len())];
            let Some(owner) = self.nodes.iter().position(|n| n.name == *owner) else {
                return;
            };
            self.nodes[at].asks += 1;
            let delay = if owner == at { 0 } else { LATENCY_MS };
            self.at(delay, Event::Acquire(at, owner));
        }
    }

    pub fn acquire(&mut self, at: usize, owner: usize) {
        let now = self.time();
        let ask = Acquire {
            request: name::Request::try_from("r").expect("a valid name"),
            account: account(0),
            fingerprint: None,
            target: Target::Version(version()),
            avoid: Vec::new(),
            wait: Span::ZERO,
            hold: None,
        };
        let holder = instance(at);
        let node = &mut self.nodes[owner];
        let lease = if node.up {
            node.table.acquire(&ask, &holder, now).ok()
        } else {
            None
        };
        let delay = if owner == at { 0 } else { LATENCY_MS };
        let sent = Time::from_millis(self.now - delay);
        self.at(delay, Event::Acquired { at, lease, sent });
    }

    pub fn acquired(&mut self, at: usize, lease: Option<Lease>, sent: Time) {
        let now = self.time();
        let pause = self.rng.random_range(2..6);
        let node = &mut self.nodes[at];
        if !node.up {
            return;
        }
        node.asks = node.asks.saturating_sub(1);
        let Some(lease) = lease else {
            node.pause_until = now.as_millis() + pause;
            return;
        };
        let usable = node.holder.granted(lease.clone(), None, sent, now);
        let item = if usable && node.holder.start(&lease, now) {
            node.queue.pop(now)
        } else {
            None
        };
        match item {
            Some(item) => self.start(at, item.id, lease),
            None => self.release(at, lease, Report::NotSent),
        }
        self.pump(at);
    }

    pub fn start(&mut self, at: usize, request: u64, lease: Lease) {
        let now = self.now;
        let Some(index) = self.upstreams.iter().position(|u| u.name == lease.upstream) else {
            return;
        };
        let upstream = &mut self.upstreams[index];
        if !upstream.up {
            self.again(at, request, lease, Report::NotSent);
            return;
        }
        self.last_sent[upstream.domain] = now;
        if upstream.begin() {
            self.requests[usize_of(request)].ran = true;
            let work = self.rng.random_range(WORK_MS / 2..WORK_MS * 3 / 2);
            let boot = self.nodes[at].boot;
            let mut lease = lease;
            lease.incarnation = upstream.incarnation;
            self.at(
                work,
                Event::Done {
                    at,
                    boot,
                    request,
                    lease,
                },
            );
        } else {
            self.again(at, request, lease, Report::Refused);
        }
    }

    pub fn done(&mut self, at: usize, boot: u64, request: u64, lease: Lease) {
        let upstream = self.upstreams.iter_mut().find(|u| u.name == lease.upstream);
        let alive = upstream.is_some_and(|u| {
            let alive = u.up && u.incarnation == lease.incarnation;
            if alive {
                u.end();
            }
            alive
        });
        if !self.nodes[at].up || self.nodes[at].boot != boot {
            return;
        }
        if !alive {
            self.again(at, request, lease, Report::Failed);
            return;
        }
        self.release(at, lease, Report::Completed { first_ms: 50 });
        self.nodes[at].budget.deposit();
        self.leave(at, request);
        if self.now <= self.requests[usize_of(request)].deadline {
            self.counts.good += 1;
        } else {
            self.counts.late += 1;
        }
    }

    /// Repeats a request within the retry budget, or fails it.
    pub fn again(&mut self, at: usize, request: u64, lease: Lease, report: Report) {
        self.release(at, lease, report);
        let in_time = self.now + 2 * WORK_MS < self.requests[usize_of(request)].deadline;
        if in_time && self.nodes[at].budget.withdraw() {
            self.counts.retries += 1;
            let jitter = self.rng.random_range(5..50);
            self.at(jitter, Event::Retry(at, request));
        } else {
            self.counts.failed += 1;
            self.leave(at, request);
        }
    }

    pub fn release(&mut self, at: usize, lease: Lease, report: Report) {
        self.nodes[at].holder.released(&lease);
        if let Some(owner) = self.owner(at, &lease.upstream) {
            let delay = if owner == at { 0 } else { LATENCY_MS };
            self.at(delay, Event::Release(owner, lease, report));
        }
    }

    /// Ends all processes of a failure domain.
    pub fn lose(&mut self, lost: usize) {
        for node in self.nodes.iter_mut().filter(|n| n.domain == lost) {
            node.up = false;
        }
        for upstream in self.upstreams.iter_mut().filter(|u| u.domain == lost) {
            upstream.crash();
        }
    }

    /// Starts all processes of a failure domain again.
    pub fn regain(&mut self, lost: usize) {
        let boot = self.now;
        for at in (0..INSTANCES).filter(|at| at % DOMAINS == lost) {
            self.nodes[at] = node(at, boot, self.now);
            self.at(0, Event::Tick(at, boot));
        }
        for at in (0..UPSTREAMS).filter(|at| at % DOMAINS == lost) {
            self.at(2_000, Event::Restart(at));
        }
    }
}
