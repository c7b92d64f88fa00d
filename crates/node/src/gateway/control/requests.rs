//! Requests to the leader, and the conditions under which this instance may confirm a call.

use std::{net::SocketAddr, time::Duration};

use masticlock_core::consensus::Event;
use tokio::{
    sync::oneshot,
    time::{Instant, sleep, timeout_at},
};

use super::{
    CALL_TIMEOUT, CONTACT_TIMEOUT, Shared,
    state::{self, Waiter},
};
use crate::gateway::{
    control_client::ControlClient,
    message::{Refusal, Reply, Request},
};

/// Delay between attempts to reach a leader within [`CALL_TIMEOUT`].
const RETRY_DELAY: Duration = Duration::from_millis(60);

impl Shared {
    /// Returns whether this instance had contact with a majority of the control instances within
    /// [`CONTACT_TIMEOUT`].
    pub(super) fn reaches_majority(&self) -> bool {
        let state = self.state.borrow();
        // The other instances don't poll one that is not a member.
        if !state.is_member() {
            return false;
        }
        let now = self.clock.now();
        let peers = state.peer_addresses(self.settings.address);
        let is_reachable = |a: &&SocketAddr| {
            state
                .last_answer(**a)
                .is_some_and(|at| now.since(at) < CONTACT_TIMEOUT)
        };
        let count = peers.iter().filter(is_reachable).count();
        2 * (count + 1) > peers.len() + 1
    }

    /// Waits until a majority of the control instances has received the current record of the
    /// upstream, and returns whether that was so in time.
    pub(super) async fn await_majority_receipt(&self, upstream: &str) -> bool {
        let revision = self.state.borrow().directory.revision();
        let deadline = Instant::now() + CALL_TIMEOUT;
        loop {
            let changed = self.changed.notified();
            {
                let state = self.state.borrow();
                let peers = state.peer_addresses(self.settings.address);
                let has_received = |a: &&SocketAddr| state.acknowledged_revision(**a) >= revision;
                let count = peers.iter().filter(has_received).count();
                if state.is_member() && 2 * (count + 1) > peers.len() + 1 {
                    return true;
                }
            }
            if timeout_at(deadline, changed).await.is_err() {
                log::info!(
                    event = "leave_unconfirmed", upstream;
                    "no majority of the control instances has received that the upstream is leaving"
                );
                return false;
            }
        }
    }

    /// Waits until the log is committed and applied up to the index.
    pub(super) async fn await_commit(&self, index: u64) -> Result<(), ()> {
        let deadline = Instant::now() + CALL_TIMEOUT;
        loop {
            let changed = self.changed.notified();
            if self.state.borrow().replica.commit_index() >= index {
                return Ok(());
            }
            timeout_at(deadline, changed).await.map_err(drop)?;
        }
    }

    /// Sends a request to the leader, which may be this instance, and tries again while there is
    /// none.
    pub(super) async fn call_leader(&self, request: &Request) -> Result<u64, Refusal> {
        let deadline = Instant::now() + CALL_TIMEOUT;
        loop {
            let outcome = timeout_at(deadline, self.try_call_leader(request)).await;
            match outcome {
                Ok(Err(Refusal::NoLeader)) => {}
                Ok(outcome) => return outcome,
                Err(_) => return Err(Refusal::Unknown),
            }
            if Instant::now() + RETRY_DELAY >= deadline {
                return Err(Refusal::NoLeader);
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// Sends a request to the leader once.
    pub(super) async fn try_call_leader(&self, request: &Request) -> Result<u64, Refusal> {
        if self.is_leader() {
            return self.handle_leader_request(request.clone()).await;
        }
        let leader = self.state.borrow().leader_address();
        let Some(address) = leader.filter(|a| *a != self.settings.address) else {
            return Err(Refusal::NoLeader);
        };
        match ControlClient::new(address)
            .call(request, CALL_TIMEOUT)
            .await
        {
            Ok((Reply::Done(index), _)) => Ok(index),
            Ok((Reply::Refused(refusal), _)) => Err(refusal),
            Ok((Reply::Update(_) | Reply::Part(_), _)) => Err(Refusal::Unknown),
            Err(error) => {
                log::debug!("the call to the leader {address} failed: {error}");
                Err(Refusal::Unknown)
            }
        }
    }

    /// Handles a request as the leader and waits for its outcome.
    pub(super) async fn handle_leader_request(&self, request: Request) -> Result<u64, Refusal> {
        let (sender, outcome) = oneshot::channel();
        let waiter = Waiter(sender);
        let event = {
            let mut state = self.state.borrow_mut();
            let ticket = state.register(waiter);
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
                Request::Replica(_) | Request::Poll(_) | Request::Fetch(_) => {
                    return Err(Refusal::Unknown);
                }
            }
        };
        self.step(event);
        outcome.await.unwrap_or(Err(Refusal::Unknown))
    }
}
