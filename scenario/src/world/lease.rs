//! Ownership of upstreams and slots at an entry instance.

use masticlock_core::{
    directory::{self, Announcement, State},
    gossip,
    slot::{self, Handover, Lease, Refusal, SlowStart, Table, Target},
    time::Time,
};

use super::{Id, Mutation, World, entry::instance, message::Body, step::Step};

impl World {
    /// Returns the entry instance that owns an upstream, as another one sees it.
    fn owner(&mut self, viewer: Id, upstream: &masticlock_core::name::Upstream) -> Option<Id> {
        let process = self.entry(viewer)?;
        let name = process.view.owner(upstream)?.address.clone();
        self.find(&name)
    }

    pub(super) fn lease_receive(&mut self, id: Id, to: (Id, u64), body: Body) {
        let now = self.now;
        match body {
            Body::Announce {
                announcement,
                forwarded,
            } => self.announced(id, *announcement, forwarded),
            Body::Acquire {
                asker,
                attempt,
                ask,
                sent,
                placed,
            } => self.acquire(id, to, (asker, attempt), ask, sent, placed),
            Body::Renew { lease, sent } => {
                if let Some(process) = self.entry(id) {
                    let renewal = process.table.renew(&lease.upstream, lease.id, now);
                    let body = Body::Renewed {
                        lease,
                        renewal,
                        sent,
                    };
                    self.reply(id, to, body);
                }
            }
            Body::Renewed {
                lease,
                renewal,
                sent,
            } => {
                if let Some(process) = self.entry(id) {
                    process.holder.renewed(&lease, renewal, sent, now);
                }
            }
            Body::Release { lease, report } => {
                if let Some(process) = self.entry(id) {
                    process
                        .table
                        .release(&lease.upstream, lease.id, report, now);
                }
            }
            Body::HandOver(handover) => {
                if let Some(process) = self.entry(id) {
                    process.table.take_over(*handover, now);
                }
            }
            body => self.job_receive(id, body),
        }
    }

    fn announced(&mut self, id: Id, mut announcement: Announcement, forwarded: bool) {
        let (now, mutation) = (self.now, self.mutation);
        let per_instance = mutation == Some(Mutation::ColdLimitPerInstance);
        if !forwarded {
            self.forward(id, &announcement, per_instance);
            return;
        }
        let (me, boot) = (instance(&self.parts[id].name), self.parts[id].boot);
        let Some(upstream) = self.find(announcement.upstream.as_str()) else {
            return;
        };
        let Some(process) = self.entry(id) else {
            return;
        };
        let key = gossip::Key::Upstream(announcement.upstream.clone());
        let known = !process.gossip.is_synced()
            || (process.gossip.store().get(&key))
                .is_some_and(|r| r.incarnation == announcement.incarnation);
        if mutation == Some(Mutation::NoTakeoverWait)
            && let Some(token) =
                (announcement.token.clone()).filter(|t| t.owner != me || t.boot != boot)
        {
            take_at_once(&mut process.table, &announcement, &token, now);
        }
        if per_instance && let Some(token) = &mut announcement.token {
            // Every instance believes that the token is its own.
            (token.owner, token.boot) = (me, boot);
        }
        let Some(process) = self.entry(id) else {
            return;
        };
        let known = known && !per_instance;
        let Ok(answer) = process.table.announced(&announcement, known, now) else {
            return;
        };
        let incarnation = announcement.incarnation;
        process.heard.retain(|h| h.0 != announcement.upstream);
        process.heard.push((announcement.upstream.clone(), now));
        let body = Announcement {
            token: None,
            ..announcement
        };
        process
            .gossip
            .put(key, incarnation, gossip::Body::Upstream(body), now);
        let body = Body::Announced {
            incarnation,
            answer,
        };
        self.send(id, upstream, body);
        self.gossip_out(id);
    }

    fn forward(&mut self, id: Id, announcement: &Announcement, everywhere: bool) {
        let mut owners: Vec<_> = self.owner(id, &announcement.upstream).into_iter().collect();
        if everywhere {
            owners = self.peers(id);
            owners.push(id);
        }
        for owner in owners {
            let body = Body::Announce {
                announcement: Box::new(announcement.clone()),
                forwarded: true,
            };
            self.send(id, owner, body);
        }
    }

    fn acquire(
        &mut self,
        id: Id,
        from: (Id, u64),
        (asker, attempt): (Id, u32),
        ask: slot::Acquire,
        sent: Time,
        placed: bool,
    ) {
        let now = self.now;
        if placed {
            // A contact instance passes the request on to an owner of its failure domain.
            let owner = self.best_owner(id, &ask.target, &ask.avoid);
            if let Some(owner) = owner.filter(|owner| *owner != id) {
                let body = Body::Acquire {
                    asker,
                    attempt,
                    ask,
                    sent,
                    placed: false,
                };
                return self.send(id, owner, body);
            }
        }
        let holder = instance(&self.parts[asker].name);
        let is_far = self.parts[asker].domain != self.parts[id].domain;
        let far = is_far.then(|| self.parts[id].name.clone());
        let Some(process) = self.entry(id) else {
            return;
        };
        let result = process.table.acquire(&ask, &holder, now);
        let granted = result.is_ok();
        let body = Body::Acquired {
            request: ask.request.clone(),
            attempt,
            result: result.map(|lease| Lease { far, ..lease }),
            hold: ask.hold,
            sent,
        };
        let boot = self.parts[asker].boot;
        let to = if from.0 == asker { from } else { (asker, boot) };
        self.reply(id, to, body);
        if granted {
            self.reach(Step::Lent, id, Some(&ask.request));
        }
    }

    /// Returns the owner of an upstream that serves the target.
    pub(super) fn best_owner(
        &mut self,
        id: Id,
        target: &Target,
        avoid: &[masticlock_core::name::Upstream],
    ) -> Option<Id> {
        let per_instance = self.mutation == Some(Mutation::ColdLimitPerInstance);
        let process = self.entry(id)?;
        let mut serving: Vec<_> = process
            .view
            .serving(target)
            .map(|a| (avoid.contains(&a.upstream), a.upstream.clone()))
            .collect();
        serving.sort();
        if serving.is_empty() {
            return None;
        }
        if per_instance {
            return Some(id);
        }
        let free: Vec<_> = serving.iter().filter(|s| !s.0).collect();
        let pool = if free.is_empty() {
            serving.iter().collect()
        } else {
            free
        };
        let at = usize::try_from(self.order).unwrap_or(0) % pool.len();
        let upstream = pool[at].1.clone();
        self.owner(id, &upstream)
    }

    pub(super) fn lease_tick(&mut self, id: Id) {
        let now = self.now;
        let Some(process) = self.entry(id) else {
            return;
        };
        let renewals = process.holder.due_renewals(now);
        let lapsed = process.holder.remove_expired(now);
        for lease in renewals {
            // A new owner that took the table over renews as well.
            let owner = self.owner_of(id, &lease);
            if let Some(owner) = owner {
                self.send(id, owner, Body::Renew { lease, sent: now });
            }
        }
        for lease in lapsed {
            self.slot_lost(id, &lease);
        }
        self.forget_silent(id);
    }

    /// Returns where a slot is renewed and released.
    pub(super) fn owner_of(&mut self, id: Id, lease: &Lease) -> Option<Id> {
        let first = self.find(lease.owner.as_str())?;
        let near = self.parts[first].domain == self.parts[id].domain;
        let now_owner = near
            .then(|| self.owner(id, &lease.upstream))
            .flatten()
            .filter(|_| self.mutation != Some(Mutation::ColdLimitPerInstance));
        Some(now_owner.unwrap_or(first))
    }

    /// Removes upstreams that stopped announcing themselves.
    fn forget_silent(&mut self, id: Id) {
        let now = self.now;
        let Some(process) = self.entry(id) else {
            return;
        };
        let silent: Vec<_> = process
            .heard
            .extract_if(.., |h| now.since(h.1) >= directory::ANNOUNCEMENT_TIMEOUT)
            .collect();
        for (upstream, _) in silent {
            let mine = self.owner(id, &upstream) == Some(id);
            let key = gossip::Key::Upstream(upstream);
            let Some(process) = self.entry(id) else {
                return;
            };
            let incarnation = process.gossip.store().get(&key).map(|r| r.incarnation);
            if let (Some(incarnation), true) = (incarnation, mine) {
                let body = gossip::Body::Removed;
                process.gossip.put(key, incarnation, body, now);
            }
        }
    }

    /// Hands the tables of a stopping instance over to the next owners.
    pub(super) fn hand_over(&mut self, id: Id) {
        let now = self.now;
        self.gossip_out(id);
        let Some(process) = self.entry(id) else {
            return;
        };
        for handover in process.table.hand_over(now) {
            if let Some(to) = self.owner(id, &handover.upstream) {
                self.send(id, to, Body::HandOver(Box::new(handover)));
            }
        }
    }
}

/// The deliberate fault of a takeover without a wait.
fn take_at_once(table: &mut Table, announcement: &Announcement, token: &slot::Token, now: Time) {
    if announcement.state == State::Leaving {
        return;
    }
    let handover = Handover {
        upstream: announcement.upstream.clone(),
        owner: token.owner.clone(),
        boot: token.boot,
        slow_start: SlowStart::new(announcement.cold, announcement.warm),
        announcement: announcement.clone(),
        used: Vec::new(),
    };
    table.take_over(handover, now);
}

/// Returns when the owner can grant at the earliest, or `None` if waiting does not help.
pub(super) const fn worth_waiting(refusal: Refusal) -> bool {
    match refusal {
        Refusal::Full | Refusal::Waiting(_) | Refusal::NoUpstream => true,
        Refusal::Long => false,
    }
}
