use std::time::Duration;

use futures_util::future::BoxFuture;
use masticlock_core::{
    directory::{Announcement, Contact},
    error, name, policy,
    slot::{self, Acquire, AnnouncementResponse, Lease, Refusal, Report, Target},
    time::Time,
};
use rand::seq::SliceRandom;

use super::{CALL, Peer, run::named, wire};
use crate::port;

/// Longest pause until other owners are asked again. Releases at other owners
/// are not signalled here.
const RETRY: Duration = Duration::from_millis(25);

impl Peer {
    /// Grants a slot on an owned upstream, without a call.
    fn acquire_here(&self, ask: &Acquire) -> Result<Lease, Refusal> {
        let now = self.now();
        let mut state = self.state();
        let me = &self.settings.instance;
        let lease = state.table.acquire(ask, me, now)?;
        if state.holder.granted(lease.clone(), ask.hold, now, now)
            && state.holder.start(&lease, now)
        {
            return Ok(lease);
        }
        state
            .table
            .release(&lease.upstream, lease.id, Report::NotSent, now);
        Err(Refusal::Full)
    }

    /// Asks another owner for a slot.
    async fn acquire_at(&self, owner: &Contact, ask: &Acquire) -> Result<Lease, Refusal> {
        self.acquire_through(&owner.address, wire::ACQUIRE, ask)
            .await
    }

    /// Asks the instance at an address for a slot and starts it.
    pub(super) async fn acquire_through(
        &self,
        address: &str,
        method: &str,
        ask: &Acquire,
    ) -> Result<Lease, Refusal> {
        let sent = self.now();
        let params = wire::Acquire {
            ask: ask.clone(),
            holder: self.settings.instance.clone(),
        };
        let limit = slot::START_TIMEOUT;
        let answer = self.call(address, method, &params, limit).await;
        let lease = match answer {
            Ok(wire::Acquired::Granted(lease)) => lease,
            Ok(wire::Acquired::Refused(refusal)) => return Err(refusal),
            Err(_) => return Err(Refusal::NoUpstream),
        };
        let now = self.now();
        let mut state = self.state();
        if state.holder.granted(lease.clone(), ask.hold, sent, now)
            && state.holder.start(&lease, now)
        {
            return Ok(lease);
        }
        drop(state);
        self.give_back(lease, Report::NotSent);
        Err(Refusal::Full)
    }

    /// Returns the other owners of upstreams that serve the request, in random
    /// order, and whether there is any upstream.
    pub(super) fn owners(&self, ask: &Acquire) -> (Vec<Contact>, bool) {
        let state = self.state();
        let mut owners = Vec::new();
        let mut any = false;
        for upstream in state.view.serving(&ask.target) {
            any = true;
            if ask.avoid.contains(&upstream.upstream) {
                continue;
            }
            let owner = state.view.owner(&upstream.upstream);
            if let Some(owner) = owner.filter(|o| o.name != self.settings.instance) {
                owners.push(owner.clone());
            }
        }
        drop(state);
        owners.sort();
        owners.dedup();
        owners.shuffle(&mut rand::rng());
        (owners, any)
    }

    pub(super) async fn acquire_any(&self, ask: &Acquire) -> Result<Lease, error::Error> {
        let end = self.now() + ask.wait;
        loop {
            let refusal = match self.acquire_here(ask) {
                Ok(lease) => return Ok(lease),
                Err(refusal) => refusal,
            };
            if refusal == Refusal::Long {
                let message = "the call may last longer than a slot can be held";
                return Err(error::Error::new(error::Kind::BadRequest, message));
            }
            let (owners, any) = self.owners(ask);
            for owner in &owners {
                if let Ok(lease) = self.acquire_at(owner, ask).await {
                    return Ok(lease);
                }
                if self.now() >= end {
                    break;
                }
            }
            let spills = self.may_spill(ask);
            if spills && let Some(lease) = self.acquire_far(ask).await {
                return Ok(lease);
            }
            if !any && !spills {
                let message = "no upstream that may run the request is known";
                let error = error::Error::new(error::Kind::NoUpstream, message);
                return Err(error.retry_after(slot::ANNOUNCEMENT_INTERVAL.as_millis()));
            }
            let now = self.now();
            if now >= end {
                let wait = come_back(refusal, now);
                let message = "no slot became free in time";
                return Err(error::Error::new(error::Kind::Overloaded, message).retry_after(wait));
            }
            let pause = RETRY.min(end.since(now).to_std());
            let _ = tokio::time::timeout(pause, self.freed.notified()).await;
        }
    }

    /// Gives a slot back to its owner.
    pub(super) fn give_back(&self, lease: Lease, report: Report) {
        if let Some(owner) = lease.far.clone() {
            return self.release_at(owner, lease, report);
        }
        let now = self.now();
        let mut state = self.state();
        let owner = state.view.owner(&lease.upstream).cloned();
        match owner {
            Some(owner) if owner.name != self.settings.instance => {
                drop(state);
                self.release_at(owner.address, lease, report);
            }
            _ => {
                state.table.release(&lease.upstream, lease.id, report, now);
                drop(state);
                self.freed.notify_waiters();
            }
        }
    }

    fn release_at(&self, to: String, lease: Lease, report: Report) {
        // A release that is lost costs the slot until its lease is over.
        let Some(peer) = self.itself() else {
            return;
        };
        tokio::spawn(async move {
            let params = wire::Release {
                slot: named(&lease),
                report,
            };
            let answer: Result<(), _> = peer.call(&to, wire::RELEASE, &params, CALL).await;
            if answer.is_err() {
                let _: Result<(), _> = peer.call(&to, wire::RELEASE, &params, CALL).await;
            }
        });
    }

    /// Takes an announcement of an upstream that this instance owns.
    pub(super) fn own_announcement(
        &self,
        announcement: &Announcement,
    ) -> Result<AnnouncementResponse, error::Error> {
        let now = self.now();
        let mut state = self.state();
        if !state.is_ready(now) || !state.is_owner(&announcement.upstream) {
            let message = format!("this instance does not own {}", announcement.upstream);
            return Err(error::Error::new(error::Kind::NoUpstream, message)
                .retry_after(slot::HANDSHAKE_INTERVAL.as_millis()));
        }
        let answer = state.announced(announcement, now)?;
        drop(state);
        self.refresh();
        self.outbox.notify_one();
        self.freed.notify_waiters();
        Ok(answer)
    }
}

/// Returns the milliseconds until the owner may grant, or a short pause.
fn come_back(refusal: Refusal, now: Time) -> u64 {
    match refusal {
        Refusal::Waiting(at) => at
            .since(now)
            .as_millis()
            .max(slot::HANDSHAKE_INTERVAL.as_millis()),
        Refusal::NoUpstream | Refusal::Full | Refusal::Long => {
            slot::ANNOUNCEMENT_INTERVAL.as_millis()
        }
    }
}

impl port::Slots for Peer {
    fn acquire(&self, ask: Acquire) -> BoxFuture<'_, Result<Lease, error::Error>> {
        Box::pin(async move { self.acquire_known(&ask).await })
    }

    fn release(&self, lease: Lease, report: Report) {
        self.run_released(&lease, report);
        let mut state = self.state();
        let held = state.holder.released(&lease);
        state.drop_watchers(std::slice::from_ref(&lease));
        drop(state);
        if held {
            self.give_back(lease, report);
        }
    }

    fn admit(
        &self,
        account: &name::Account,
    ) -> BoxFuture<'_, Result<port::Admission, error::Error>> {
        let account = account.clone();
        Box::pin(async move {
            match self.admit_here(&account) {
                Ok(admission) => Ok(admission),
                Err(error) if self.borrow_now(&account).await => {
                    self.admit_here(&account).map_err(|_| error)
                }
                Err(error) => Err(error),
            }
        })
    }

    fn lost(&self, lease: &Lease) -> BoxFuture<'static, ()> {
        let lost = self.state().watch(lease);
        Box::pin(async move {
            // The end of the sender is the signal.
            let _ = lost.await;
        })
    }
}

impl port::Announcements for Peer {
    fn announce(
        &self,
        announcement: Announcement,
    ) -> BoxFuture<'_, Result<AnnouncementResponse, error::Error>> {
        Box::pin(async move {
            let owner = self.state().view.owner(&announcement.upstream).cloned();
            match owner {
                Some(owner) if owner.name != self.settings.instance => {
                    let params = wire::Announce { announcement };
                    self.call(&owner.address, wire::ANNOUNCE, &params, CALL)
                        .await
                        .map_err(|failure| failure.error)
                }
                _ => self.own_announcement(&announcement),
            }
        })
    }
}

impl policy::Availability for Peer {
    fn capacity(&self, version: &name::Version) -> policy::Capacity {
        let (near, total) = self.near_room(version);
        let (far, far_total) = self.far_room(version);
        policy::Capacity {
            local_free: near,
            remote_free: far,
            total: total + far_total,
        }
    }
}

impl Peer {
    /// Counts the free slots of owned upstreams, and all slots. The limits of
    /// other owners are known and their load is not, so theirs count as free.
    pub(super) fn near_room(&self, version: &name::Version) -> (u32, u32) {
        let target = Target::Version(version.clone());
        let now = self.now();
        let state = self.state();
        let (mut near, mut total) = state.table.capacity(&target, now);
        for upstream in state.view.serving(&target) {
            if !state.is_owner(&upstream.upstream) {
                near += upstream.warm;
                total += upstream.warm;
            }
        }
        (near, total)
    }
}
