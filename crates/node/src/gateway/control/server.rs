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

/// Pause after an accept that failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Longest time that a connection stays open without a request.
const IDLE_LIMIT: Duration = Duration::from_secs(10);

/// Accepts connections of other processes.
pub(super) async fn accept(shared: Rc<Shared>, listener: Rc<TcpListener>) {
    let mut open = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    open.spawn_local(connection(shared.clone(), stream));
                }
                Err(error) => {
                    log::warn!("no internal connection accepted: {error}");
                    sleep(ACCEPT_PAUSE).await;
                }
            },
            Some(_) = open.join_next() => {}
        }
    }
}

async fn connection(shared: Rc<Shared>, mut stream: TcpStream) {
    if let Err(error) = socket::tune(&stream) {
        log::debug!("an internal connection has ended: {error}");
        return;
    }
    loop {
        let request = match timeout(IDLE_LIMIT, frame::read(&mut stream)).await {
            Ok(Ok(Some(request))) => request,
            Ok(Ok(None)) | Err(_) => return,
            Ok(Err(error)) => {
                log::debug!("an internal connection failed: {error}");
                return;
            }
        };
        let Some(reply) = answer(&shared, request).await else {
            continue;
        };
        if let Err(error) = frame::write(&mut stream, &reply).await {
            log::debug!("an answer was not taken: {error}");
            return;
        }
    }
}

async fn answer(shared: &Rc<Shared>, request: Request) -> Option<Reply> {
    match request {
        Request::Replica(message) => {
            shared.step(Event::Received(message));
            None
        }
        Request::Poll(poll) => {
            let now = shared.clock.now();
            let update = shared.state.borrow_mut().poll(poll, now);
            shared.changed.notify_waiters();
            Some(Reply::Update(Box::new(update)))
        }
        Request::Submit(_) | Request::Read | Request::Join(_) => {
            if !shared.is_leader() {
                return Some(Reply::Refused(Refusal::NoLeader));
            }
            Some(match shared.handle(request).await {
                Ok(index) => Reply::Done(index),
                Err(refusal) => Reply::Refused(refusal),
            })
        }
    }
}
