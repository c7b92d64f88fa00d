//! Requests for the leader, and what this instance may confirm.

use std::{net::SocketAddr, time::Duration};

use masticlock_core::consensus::Event;
use tokio::{
    sync::oneshot,
    time::{Instant, sleep, timeout_at},
};

use super::{
    CALL_LIMIT, CONTACT, Shared,
    state::{self, Waiting},
};
use crate::gateway::{
    control_client::ControlClient,
    message::{Refusal, Reply, Request},
};

/// Pause between two tries to reach a leader within [`CALL_LIMIT`].
const CALL_PAUSE: Duration = Duration::from_millis(60);

impl Shared {
    /// Returns whether more than half of the control instances were in contact of late.
    pub(super) fn reaches_majority(&self) -> bool {
        let state = self.state.borrow();
        // Nobody polls an instance that is not a member.
        if !state.is_member() {
            return false;
        }
        let now = self.clock.now();
        let others = state.addresses(self.settings.address);
        let reached =
            |a: &&SocketAddr| state.contact(**a).is_some_and(|at| now.since(at) < CONTACT);
        let count = others.iter().filter(reached).count();
        2 * (count + 1) > others.len() + 1
    }

    /// Waits until a majority of the control instances has taken over the upstream's record.
    pub(super) async fn is_known_by_majority(&self, upstream: &str) -> bool {
        let mark = self.state.borrow().fleet.revision();
        let until = Instant::now() + CALL_LIMIT;
        loop {
            let changed = self.changed.notified();
            {
                let state = self.state.borrow();
                let others = state.addresses(self.settings.address);
                let knows = |a: &&SocketAddr| state.fleet_seen(**a) >= mark;
                let count = others.iter().filter(knows).count();
                if state.is_member() && 2 * (count + 1) > others.len() + 1 {
                    return true;
                }
            }
            if timeout_at(until, changed).await.is_err() {
                log::info!(
                    event = "leave_unconfirmed", upstream;
                    "too few control instances know that the upstream leaves"
                );
                return false;
            }
        }
    }

    /// Waits until the log is applied up to the index.
    pub(super) async fn applied(&self, index: u64) -> Result<(), ()> {
        let until = Instant::now() + CALL_LIMIT;
        loop {
            let changed = self.changed.notified();
            if self.state.borrow().replica.commit_index() >= index {
                return Ok(());
            }
            timeout_at(until, changed).await.map_err(drop)?;
        }
    }

    /// Asks the leader, which may be this instance, and tries again while there is none.
    pub(super) async fn ask_leader(&self, request: &Request) -> Result<u64, Refusal> {
        let until = Instant::now() + CALL_LIMIT;
        loop {
            let answer = timeout_at(until, self.ask_once(request)).await;
            match answer {
                Ok(Err(Refusal::NoLeader)) => {}
                Ok(answer) => return answer,
                Err(_) => return Err(Refusal::Unknown),
            }
            if Instant::now() + CALL_PAUSE >= until {
                return Err(Refusal::NoLeader);
            }
            sleep(CALL_PAUSE).await;
        }
    }

    pub(super) async fn ask_once(&self, request: &Request) -> Result<u64, Refusal> {
        if self.is_leader() {
            return self.handle(request.clone()).await;
        }
        let leader = self.state.borrow().leader();
        let Some(address) = leader.filter(|a| *a != self.settings.address) else {
            return Err(Refusal::NoLeader);
        };
        match ControlClient::new(address).call(request, CALL_LIMIT).await {
            Ok(Reply::Done(index)) => Ok(index),
            Ok(Reply::Refused(refusal)) => Err(refusal),
            Ok(Reply::Update(_)) => Err(Refusal::Unknown),
            Err(error) => {
                log::debug!("the leader {address} gave no answer: {error}");
                Err(Refusal::Unknown)
            }
        }
    }

    /// Carries out a request for the leader.
    pub(super) async fn handle(&self, request: Request) -> Result<u64, Refusal> {
        let (reply, answer) = oneshot::channel();
        let waiting = Waiting(reply);
        let event = {
            let mut state = self.state.borrow_mut();
            let ticket = state.ticket(waiting);
            match request {
                Request::Submit(command) => Event::Propose {
                    ticket,
                    payload: state::encode(&command),
                },
                Request::Read => Event::Read { ticket },
                Request::Join(member) => {
                    if state.replica.members().is_removed(member.id) {
                        return Err(Refusal::Removed);
                    }
                    if state.replica.members().member(member.id).is_some() {
                        return Ok(0);
                    }
                    Event::AddLearner { ticket, member }
                }
                Request::Replica(_) | Request::Poll(_) => return Err(Refusal::Unknown),
            }
        };
        self.step(event);
        answer.await.unwrap_or(Err(Refusal::Unknown))
    }
}
