use std::{
    sync::{Arc, Weak},
    time::Duration,
};

use masticlock_core::{
    gossip::Envelope,
    name,
    slot::{self, Lease, Renewal, Report},
    time::Time,
};

use super::{CALL, Peer, wire};

/// Interval of what is done regularly.
pub const TICK: Duration = Duration::from_millis(100);

/// Starts the tasks of the part. They end with it.
pub fn spawn(peer: &Arc<Peer>) {
    tokio::spawn(tick(Arc::downgrade(peer)));
    tokio::spawn(flush(Arc::downgrade(peer)));
}

async fn tick(peer: Weak<Peer>) {
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        match peer.upgrade() {
            Some(peer) if !peer.is_stopped() => peer.tick(),
            _ => return,
        }
    }
}

/// Sends what the merged records give to send, as soon as there is something.
async fn flush(peer: Weak<Peer>) {
    while let Some(peer) = peer.upgrade() {
        if peer.is_stopped() {
            return;
        }
        let sends = peer.state().gossip.take_outbox();
        for send in sends {
            let peer = peer.clone();
            tokio::spawn(async move { peer.exchange(send).await });
        }
        // The time limit lets the task see the end of the part.
        let _ = tokio::time::timeout(TICK, peer.outbox.notified()).await;
    }
}

impl Peer {
    /// Sends a message of the merged records and takes its answer.
    pub(super) async fn exchange(&self, send: Envelope) {
        let params = wire::Gossip {
            message: send.message,
        };
        let answer = self.call(&send.to, wire::GOSSIP, &params, CALL).await;
        let answer = answer.ok().map(|answer: wire::Gossip| answer.message);
        if self.is_stopped() {
            return;
        }
        let now = self.now();
        self.state().gossip.handle_answer(&send.to, answer, now);
        self.refresh();
        self.outbox.notify_one();
    }

    /// Brings the view up to date and moves bills whose witness is gone.
    pub fn refresh(&self) {
        let config = self.snapshot.load().config.clone();
        let mut state = self.state();
        let gone = state.refresh(&config);
        let mut actions = Vec::new();
        for gone in gone {
            let next = self.witness_for(&state, gone.as_str(), Some(&gone));
            actions.extend(state.bills.witness_lost(&gone, next.as_ref()));
        }
        drop(state);
        self.act(actions);
    }

    fn tick(self: &Arc<Self>) {
        let now = self.now();
        let mut state = self.state();
        state.gossip.tick(now);
        state.remove_silent(now);
        let renewals = state.holder.due_renewals(now);
        let lapsed = state.holder.remove_expired(now);
        state.drop_watchers(&lapsed);
        let mut actions = state.bills.tick(now);
        let boots: Vec<_> = state
            .gossip
            .store()
            .members()
            .map(|(name, _)| (name.clone(), state.boot_of(name)))
            .collect();
        let present = |origin: &name::Instance| {
            let boot = boots.iter().find(|(name, _)| name == origin);
            boot.and_then(|(_, boot)| *boot)
        };
        for bill in state.witness.take_orphaned(present, now) {
            actions.extend(state.bills.inherit(bill));
        }
        drop(state);
        self.refresh();
        self.act(actions);
        for lease in lapsed {
            self.give_back(lease, Report::Cancelled);
        }
        self.renew(renewals, now);
        self.borrow(now);
        let peer = self.clone();
        tokio::spawn(async move { peer.ask_summary().await });
        self.outbox.notify_one();
    }

    /// Renews slots, in one call for each owner.
    fn renew(self: &Arc<Self>, leases: Vec<Lease>, now: Time) {
        let mut owners: Vec<(String, Vec<Lease>)> = Vec::new();
        let mut state = self.state();
        for lease in leases {
            if let Some(to) = lease.far.clone() {
                add(&mut owners, to, lease);
                continue;
            }
            let owner = state.view.owner(&lease.upstream).cloned();
            let Some(owner) = owner else {
                continue;
            };
            if owner.name == self.settings.instance {
                let renewal = state.table.renew(&lease.upstream, lease.id, now);
                state.holder.renewed(&lease, renewal, now, now);
                continue;
            }
            add(&mut owners, owner.address, lease);
        }
        drop(state);
        for (to, leases) in owners {
            let peer = self.clone();
            tokio::spawn(async move { peer.renew_at(&to, &leases, now).await });
        }
    }

    async fn renew_at(&self, to: &str, leases: &[Lease], sent: Time) {
        let slots = leases.iter().map(named).collect();
        let params = wire::Renew { slots };
        let answer = self
            .call(to, wire::RENEW, &params, slot::RENEWAL_INTERVAL)
            .await;
        let Ok(renewals) = answer else {
            return;
        };
        let renewals: Vec<Renewal> = renewals;
        let now = self.now();
        let mut state = self.state();
        for (lease, renewal) in leases.iter().zip(renewals) {
            state.holder.renewed(lease, renewal, sent, now);
        }
    }

    /// Sends the table of an upstream to its next owner.
    pub(super) async fn hand_over(&self, handover: slot::Handover) {
        let next = self.state().view.owner(&handover.upstream).cloned();
        if let Some(next) = next {
            let params = wire::Handover { handover };
            let answer = self
                .call(&next.address, wire::HANDOVER, &params, CALL)
                .await;
            let answer: Result<(), crate::rpc::Failure> = answer;
            if let Err(failure) = answer {
                log::warn!(
                    "{} did not take over {}: {}",
                    next.name,
                    params.handover.upstream,
                    failure.error
                );
            }
        }
    }
}

fn add(owners: &mut Vec<(String, Vec<Lease>)>, to: String, lease: Lease) {
    match owners.iter_mut().find(|(address, _)| *address == to) {
        Some((_, list)) => list.push(lease),
        None => owners.push((to, vec![lease])),
    }
}

/// Returns a slot as other instances name it.
pub fn named(lease: &Lease) -> wire::Slot {
    wire::Slot {
        upstream: lease.upstream.clone(),
        id: lease.id,
    }
}
