//! Periodic tasks of a replica: polls of the other instances, joining the replica set, the leader's
//! proposals and the removal of old records.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use masticlock_core::{consensus::Member, pace::REPORT_INTERVAL, suspect};
use tokio::{task::JoinSet, time::sleep};

use super::{Shared, leader, unix_millis};
use crate::gateway::{
    control_client::ControlClient,
    message::{Cursor, Extension, Poll, Refusal, Reply, Request},
};

/// Interval at which a control instance polls each other one.
const POLL_INTERVAL: Duration = Duration::from_millis(150);

/// Longest time until the reply to a poll begins.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval at which a replica that is not in the replica set asks to join.
const JOIN_INTERVAL: Duration = Duration::from_millis(250);

/// Interval of the leader's proposals, the removal of old records and the update of the peers.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(200);

impl Shared {
    /// Polls all other control instances, each in a task of its own.
    pub(super) async fn poll_peers(self: Rc<Self>) {
        let mut pollers: Vec<(SocketAddr, JoinSet<()>)> = Vec::new();
        loop {
            let addresses = {
                let mut state = self.state.borrow_mut();
                let mut peers = state.peer_addresses(self.settings.address);
                state.peers.retain(&peers);
                if !state.is_member() {
                    let candidates = self.settings.seeds.iter().chain(&state.reported_members);
                    peers.extend(candidates.filter(|a| **a != self.settings.address));
                    peers.sort_unstable();
                    peers.dedup();
                }
                peers
            };
            pollers.retain(|(address, _)| addresses.contains(address));
            for address in addresses {
                if pollers.iter().all(|(a, _)| *a != address) {
                    let mut tasks = JoinSet::new();
                    tasks.spawn_local(self.clone().poll_peer(address));
                    pollers.push((address, tasks));
                }
            }
            sleep(MAINTENANCE_INTERVAL).await;
        }
    }

    /// Polls another control instance until the task is cancelled.
    pub(super) async fn poll_peer(self: Rc<Self>, address: SocketAddr) {
        let mut client = ControlClient::new(address);
        let mut cursor = Cursor::default();
        let own_address = self.settings.address.to_string();
        let mut paces_at = None;
        loop {
            let now = self.clock.now();
            let wants = self.state.borrow_mut().wants(now);
            let needs_peers = self.state.borrow().needs_peers(now);
            let request = Request::Poll(Poll {
                cursor,
                config_revision: None,
                report: None,
                spillover_services: Vec::new(),
                control_address: Some(own_address.clone()),
                wants,
                returns: Vec::new(),
                evidence: suspect::Message::default(),
                peer: None,
                needs_peers,
            });
            let mut extension = Extension::current();
            if paces_at.is_none_or(|at| now.since(at) >= REPORT_INTERVAL) {
                paces_at = Some(now);
                extension.paces = Some(Vec::new());
            }
            let sent = self.clock.now();
            let reply = client.call_with(&request, &extension, REPLY_TIMEOUT);
            match reply.await {
                Ok((Reply::Update(update), extension)) => {
                    cursor = update.cursor;
                    let now = self.clock.now();
                    if let Some(samples) = extension.paces {
                        let mut state = self.state.borrow_mut();
                        state.paces.receive(&address.to_string(), samples, now);
                    }
                    let has_unknown = self
                        .state
                        .borrow_mut()
                        .apply_update(address, *update, sent, now);
                    if has_unknown {
                        // Requests all records: one was removed here but not there.
                        cursor.directory_revision = 0;
                    }
                    self.changed.notify_waiters();
                }
                Ok(_) => log::warn!("{address} sent an unexpected reply to a poll"),
                Err(error) => log::debug!("can't poll {address}: {error}"),
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Asks to join the replica set while this replica is not a member, or has not heard from a
    /// leader and may have been removed.
    pub(super) async fn join_replica_set(self: Rc<Self>) {
        loop {
            sleep(JOIN_INTERVAL).await;
            let (id, is_member, known_leader) = {
                let state = self.state.borrow();
                let known_leader = state.known_leader.map(|(address, _)| address);
                (state.id(), state.is_member(), known_leader)
            };
            let removed = self.state.borrow().replica.members().is_removed(id);
            if removed {
                self.ended.notify_one();
                return;
            }
            let lost_leader = self.state.borrow().has_lost_leader(self.clock.now());
            if is_member && !lost_leader {
                continue;
            }
            let own_address = self.settings.address.to_string();
            let member = Member {
                id,
                instance: self.settings.instance.clone(),
                address: own_address,
            };
            let contacts = known_leader
                .into_iter()
                .chain(self.settings.seeds.iter().copied());
            for address in contacts.filter(|a| *a != self.settings.address) {
                let request = Request::Join(member.clone());
                let reply = ControlClient::new(address)
                    .call(&request, REPLY_TIMEOUT)
                    .await;
                match reply {
                    Ok((Reply::Refused(Refusal::Removed), _)) => {
                        self.ended.notify_one();
                        return;
                    }
                    Ok((Reply::Done(_), _)) => break,
                    Ok(_) => {}
                    Err(error) => log::debug!("can't ask {address} to join: {error}"),
                }
            }
        }
    }

    /// Removes old records and, on the leader, makes the proposals that are due.
    pub(super) async fn maintain(self: Rc<Self>) {
        loop {
            sleep(MAINTENANCE_INTERVAL).await;
            let now = self.clock.now();
            self.state.borrow_mut().expire(now);
            if !self.is_leader() {
                continue;
            }
            let events = leader::propose(&mut self.state.borrow_mut(), now, unix_millis());
            for event in events {
                self.step(event);
            }
        }
    }
}
