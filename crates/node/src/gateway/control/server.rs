//! Server for the internal connections of other processes.

use std::{rc::Rc, time::Duration};

use masticlock_core::consensus::Event;
use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time::{sleep, timeout},
};

use super::Shared;
use crate::gateway::{
    frame,
    message::{Refusal, Reply, Request},
    socket,
};

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Time without a request after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Accepts connections of other processes and serves each in a task of its own.
pub(super) async fn accept(shared: Rc<Shared>, listener: Rc<TcpListener>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn_local(serve_connection(shared.clone(), stream));
                }
                Err(error) => {
                    log::warn!("can't accept an internal connection: {error}");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

/// Handles the requests of one connection.
async fn serve_connection(shared: Rc<Shared>, mut stream: TcpStream) {
    if let Err(error) = socket::set_options(&stream) {
        log::debug!("can't set the options of an internal connection: {error}");
        return;
    }
    loop {
        let request = match timeout(IDLE_TIMEOUT, frame::read(&mut stream)).await {
            Ok(Ok(Some(request))) => request,
            Ok(Ok(None)) | Err(_) => return,
            Ok(Err(error)) => {
                log::debug!("an internal connection failed: {error}");
                return;
            }
        };
        let Some(reply) = handle_request(&shared, request).await else {
            continue;
        };
        if let Err(error) = frame::write(&mut stream, &reply).await {
            log::debug!("can't send a reply: {error}");
            return;
        }
    }
}

/// Handles a request and returns the reply, if it gets one.
async fn handle_request(shared: &Rc<Shared>, request: Request) -> Option<Reply> {
    match request {
        Request::Replica(message) => {
            shared.step(Event::Received(message));
            None
        }
        Request::Poll(poll) => {
            let now = shared.clock.now();
            let update = shared.state.borrow_mut().answer_poll(poll, now);
            shared.changed.notify_waiters();
            Some(Reply::Update(Box::new(update)))
        }
        Request::Submit(_) | Request::Read | Request::Join(_) => {
            if !shared.is_leader() {
                return Some(Reply::Refused(Refusal::NoLeader));
            }
            Some(match shared.handle_leader_request(request).await {
                Ok(index) => Reply::Done(index),
                Err(refusal) => Reply::Refused(refusal),
            })
        }
    }
}
