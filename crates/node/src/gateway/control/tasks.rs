//! Tasks of a replica among the others: polls, joining and the leader's duties.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use masticlock_core::consensus::Member;
use tokio::{task::JoinSet, time::sleep};

use super::{Shared, leader, unix_millis};
use crate::gateway::{
    control_client::ControlClient,
    message::{Cursor, Poll, Refusal, Reply, Request},
};

/// Interval at which control instances poll each other.
const POLL_INTERVAL: Duration = Duration::from_millis(150);

/// Longest time that a poll may take.
const POLL_LIMIT: Duration = Duration::from_millis(500);

/// Interval at which a replica outside of the set asks to join.
const JOIN_INTERVAL: Duration = Duration::from_millis(250);

/// Interval of the leader's decisions and of housekeeping.
const DUTY_INTERVAL: Duration = Duration::from_millis(200);

impl Shared {
    /// Polls all other control instances, each by a task of its own.
    pub(super) async fn poll_peers(self: Rc<Self>) {
        let mut pollers: Vec<(SocketAddr, JoinSet<()>)> = Vec::new();
        loop {
            let addresses = {
                let mut state = self.state.borrow_mut();
                let mut known = state.addresses(self.settings.address);
                state.peers.keep(&known);
                if !state.is_member() {
                    let told = self.settings.seeds.iter().chain(&state.told);
                    known.extend(told.filter(|a| **a != self.settings.address));
                    known.sort_unstable();
                    known.dedup();
                }
                known
            };
            pollers.retain(|(address, _)| addresses.contains(address));
            for address in addresses {
                if pollers.iter().all(|(a, _)| *a != address) {
                    let mut tasks = JoinSet::new();
                    tasks.spawn_local(self.clone().poll(address));
                    pollers.push((address, tasks));
                }
            }
            sleep(DUTY_INTERVAL).await;
        }
    }

    pub(super) async fn poll(self: Rc<Self>, address: SocketAddr) {
        let mut caller = ControlClient::new(address);
        let mut cursor = Cursor::default();
        let own = self.settings.address.to_string();
        loop {
            let request = Request::Poll(Poll {
                cursor,
                config_revision: None,
                report: None,
                spillover_services: Vec::new(),
                control_address: Some(own.clone()),
            });
            let sent = self.clock.now();
            match caller.call(&request, POLL_LIMIT).await {
                Ok(Reply::Update(update)) => {
                    cursor = update.cursor;
                    let now = self.clock.now();
                    let unknown = self
                        .state
                        .borrow_mut()
                        .take_news(address, *update, sent, now);
                    if unknown {
                        // Asks for all records: one was forgotten here and not there.
                        cursor.directory_revision = 0;
                    }
                    self.changed.notify_waiters();
                }
                Ok(_) => log::warn!("{address} answers a poll with something else"),
                Err(error) => log::debug!("{address} is not reached: {error}"),
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Asks to take part while this replica is not a member.
    pub(super) async fn join(self: Rc<Self>) {
        loop {
            sleep(JOIN_INTERVAL).await;
            let (id, is_member, known) = {
                let state = self.state.borrow();
                let known = state.known_leader.map(|(address, _)| address);
                (state.id(), state.is_member(), known)
            };
            let removed = self.state.borrow().replica.members().is_removed(id);
            if removed {
                self.ended.notify_one();
                return;
            }
            let silent = self.state.borrow().is_silent(self.clock.now());
            if is_member && !silent {
                continue;
            }
            let text = self.settings.address.to_string();
            let member = Member {
                id,
                instance: self.settings.instance.clone(),
                address: text,
            };
            let asked = known.into_iter().chain(self.settings.seeds.iter().copied());
            for address in asked.filter(|a| *a != self.settings.address) {
                let request = Request::Join(member.clone());
                let answer = ControlClient::new(address).call(&request, POLL_LIMIT).await;
                match answer {
                    Ok(Reply::Refused(Refusal::Removed)) => {
                        self.ended.notify_one();
                        return;
                    }
                    Ok(Reply::Done(_)) => break,
                    Ok(_) => {}
                    Err(error) => log::debug!("{address} takes no replica: {error}"),
                }
            }
        }
    }

    /// Carries out the leader's decisions and forgets what is old.
    pub(super) async fn duties(self: Rc<Self>) {
        loop {
            sleep(DUTY_INTERVAL).await;
            let now = self.clock.now();
            self.state.borrow_mut().expire(now);
            if !self.is_leader() {
                continue;
            }
            let events = leader::decide(&mut self.state.borrow_mut(), now, unix_millis());
            for event in events {
                self.step(event);
            }
        }
    }
}
