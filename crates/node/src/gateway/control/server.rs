//! Server for the internal connections of other processes.

use std::{cell::Cell, io, rc::Rc, time::Duration};

use masticlock_core::{consensus::Event, memory::max_peer_connections};
use tokio::{
    net::{TcpListener, TcpStream},
    task::{AbortHandle, JoinSet},
    time::{Instant, sleep},
};

use super::{Shared, library};
use crate::gateway::{
    frame::{self, Incoming, Room},
    message::{Extension, Refusal, Reply, Request},
    socket,
};

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Time without a request after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// A connection of another process.
struct Connection {
    task: AbortHandle,
    /// When it was opened or its last request arrived.
    idle_since: Rc<Cell<Instant>>,
}

/// Accepts connections of other processes and serves each in a task of its own.
///
/// At the maximum number, the connection closes whose last request is oldest.
pub(super) async fn accept(shared: Rc<Shared>, listener: Rc<TcpListener>) {
    let settings = &shared.settings;
    let max = max_peer_connections(settings.memory_limit, settings.max_descriptors);
    let mut open: Vec<Connection> = Vec::new();
    let mut tasks = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, caller)) => {
                    open.retain(|c| !c.task.is_finished());
                    if open.len() >= max
                        && let Some(at) = (0..open.len()).min_by_key(|at| open[*at].idle_since.get())
                    {
                        log::info!(event = "connection_closed", max; "an internal connection makes room for a new one");
                        open.swap_remove(at).task.abort();
                    }
                    let idle_since = Rc::new(Cell::new(Instant::now()));
                    let room = Room {
                        memory: shared.memory.clone(),
                        source: caller.ip().to_string().into(),
                    };
                    let serving =
                        serve_connection(shared.clone(), stream, idle_since.clone(), room);
                    let task = tasks.spawn_local(serving);
                    open.push(Connection { task, idle_since });
                }
                Err(error) => {
                    log::warn!("can't accept an internal connection: {error}");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            Some(_) = tasks.join_next() => {}
        }
    }
}

/// Handles the requests of one connection.
async fn serve_connection(
    shared: Rc<Shared>,
    mut stream: TcpStream,
    idle_since: Rc<Cell<Instant>>,
    room: Room,
) {
    if let Err(error) = socket::set_options(&stream) {
        log::debug!("can't set the options of an internal connection: {error}");
        return;
    }
    loop {
        let received = Cell::new(0);
        let read = frame::read(&mut stream, IDLE_TIMEOUT, &received, Some(&room));
        let (reply, extension) = match read.await {
            Ok(Some(Incoming::Message(request, extension))) => {
                idle_since.set(Instant::now());
                let Some(reply) = handle_request(&shared, request, &extension).await else {
                    continue;
                };
                reply
            }
            Ok(Some(Incoming::Unreadable(reason))) => {
                log::warn!(
                    event = "unknown_message", reason;
                    "a process sent a message that this build can't decode"
                );
                (Reply::Refused(Refusal::Unknown), Extension::current())
            }
            Ok(None) => return,
            Err(error) if error.kind() == io::ErrorKind::OutOfMemory => {
                log::info!(event = "message_refused", peer = &*room.source; "there is no room for a message");
                return;
            }
            Err(error) => {
                log::debug!("an internal connection failed: {error}");
                return;
            }
        };
        if let Err(error) = frame::write(&mut stream, &reply, &extension).await {
            log::debug!("can't send a reply: {error}");
            return;
        }
    }
}

/// Handles a request and returns the reply, if it gets one.
async fn handle_request(
    shared: &Rc<Shared>,
    request: Request,
    sender: &Extension,
) -> Option<(Reply, Extension)> {
    let mut extension = Extension::current();
    let reply = match request {
        Request::Replica(message) => {
            shared.step(Event::Received(message));
            return None;
        }
        Request::Poll(poll) => {
            let now = shared.clock.now();
            let mut state = shared.state.borrow_mut();
            if let Some(samples) = &sender.paces {
                let is_entry = poll.report.is_some();
                extension.paces = Some(state.answer_paces(samples, is_entry, now));
            }
            let update = state.answer_poll(poll, sender.format, now);
            extension.revision_age = state.revision_age(now);
            extension.needs_keys = state.agreed.needs_keys;
            drop(state);
            shared.changed.notify_waiters();
            Reply::Update(Box::new(update))
        }
        Request::Fetch(fetch) => {
            extension.needs_keys = shared.state.borrow().agreed.needs_keys;
            let orders = shared.state.borrow_mut().library.orders(&fetch);
            Reply::Part(match orders {
                Some((newest, begun)) => Some(library::part(&fetch, newest, begun).await),
                None => None,
            })
        }
        Request::Submit(_) | Request::Read | Request::Join(_) => {
            if shared.is_leader() {
                match shared.handle_leader_request(request).await {
                    Ok(index) => Reply::Done(index),
                    Err(refusal) => Reply::Refused(refusal),
                }
            } else {
                Reply::Refused(Refusal::NoLeader)
            }
        }
    };
    Some((reply, extension))
}
