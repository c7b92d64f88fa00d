//! Connections to upstreams.

use std::{
    cell::RefCell,
    io,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use http_body_util::Full;
use hyper::{
    Request, Response,
    body::{Bytes, Incoming},
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use masticlock_core::{
    placement::Target,
    time::{Span, Time},
};
use tokio::task::{AbortHandle, spawn_local};

use super::{
    deadline_stream::{DeadlineStream, WriteDeadline},
    socket,
};
use crate::clock::Clock;

/// Longest time to open a connection.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// Longest time for which a connection without a request is used again. An instance's memory holds
/// the buffers of all of them.
const IDLE_LIMIT: Duration = Duration::from_millis(1_500);

/// Time for which a connection without a request is used again for a request that must not be
/// repeated: what it is sent on a connection that has just been closed may have run.
pub const MAX_IDLE_NON_REPEATABLE: Duration = Duration::from_millis(800);

/// Part of the time that an upstream keeps a connection open in which it is used.
const KEEP_ALIVE_PART: f64 = 0.6;

/// Largest head of an answer, and most bytes of an answer that wait to be read.
const MAX_BUFFER: usize = 64 * 1_024;

/// Idle connections to all upstreams.
#[derive(Debug)]
pub struct ConnectionPool {
    clock: Clock,
    idle: RefCell<Vec<Idle>>,
}

#[derive(Debug)]
struct Idle {
    upstream: Arc<str>,
    incarnation: u64,
    sender: SendRequest<Full<Bytes>>,
    task: Guard,
    until: WriteDeadline,
    since: Instant,
    limit: Duration,
}

/// Closes the connection when it is dropped.
#[derive(Debug)]
struct Guard(AbortHandle);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection that runs one request. It is closed unless it is given back.
#[derive(Debug)]
pub struct PooledConnection {
    pool: Rc<ConnectionPool>,
    upstream: Arc<str>,
    incarnation: u64,
    sender: SendRequest<Full<Bytes>>,
    task: Guard,
    until: WriteDeadline,
    reused: bool,
}

/// How sending a request failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No byte was sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The upstream may have run the request.
    #[error("no answer: {0}")]
    OutcomeUnknown(String),
}

impl ConnectionPool {
    /// Returns no connections.
    #[must_use]
    pub const fn new(clock: Clock) -> Self {
        Self {
            clock,
            idle: RefCell::new(Vec::new()),
        }
    }

    /// Returns a connection to the upstream that was idle for `max_idle` at most, or a new one.
    ///
    /// # Errors
    ///
    /// Returns why no connection can be opened.
    pub async fn acquire(
        self: &Rc<Self>,
        target: &Target,
        max_idle: Duration,
    ) -> io::Result<PooledConnection> {
        if let Some(idle) = self.take(target, max_idle) {
            return Ok(PooledConnection {
                pool: self.clone(),
                upstream: idle.upstream,
                incarnation: idle.incarnation,
                sender: idle.sender,
                task: idle.task,
                until: idle.until,
                reused: true,
            });
        }
        self.open(target).await
    }

    /// Opens a new connection.
    ///
    /// # Errors
    ///
    /// Returns why no connection can be opened.
    pub async fn open(self: &Rc<Self>, target: &Target) -> io::Result<PooledConnection> {
        let address: SocketAddr = target
            .address
            .parse()
            .map_err(|e| io::Error::new(io::ErrorKind::InvalidInput, e))?;
        let stream = socket::connect(address, CONNECT_LIMIT).await?;
        let until = WriteDeadline::default();
        let gate = DeadlineStream::new(stream, self.clock, until.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER)
            .handshake(TokioIo::new(gate))
            .await
            .map_err(io::Error::other)?;
        let upstream = target.upstream.clone();
        let task = spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {upstream} ended: {error}");
            }
        });
        Ok(PooledConnection {
            pool: self.clone(),
            upstream: target.upstream.clone(),
            incarnation: target.incarnation,
            sender,
            task: Guard(task.abort_handle()),
            until,
            reused: false,
        })
    }

    fn take(&self, target: &Target, max_idle: Duration) -> Option<Idle> {
        let mut idle = self.idle.borrow_mut();
        let now = Instant::now();
        idle.retain(|i| !i.sender.is_closed() && now - i.since < i.limit);
        let at = idle.iter().rposition(|i| {
            i.upstream == target.upstream
                && i.incarnation == target.incarnation
                && i.sender.is_ready()
                && now - i.since < max_idle
        })?;
        Some(idle.remove(at))
    }

    /// Closes the idle connections to an upstream.
    pub fn close_idle(&self, upstream: &str) {
        self.idle.borrow_mut().retain(|i| &*i.upstream != upstream);
    }
}

impl PooledConnection {
    /// Returns whether the connection has had a request before.
    pub const fn is_reused(&self) -> bool {
        self.reused
    }

    /// Sends a request, whose bytes may be written until the given time, and returns the head of the
    /// answer.
    ///
    /// # Errors
    ///
    /// Returns whether the upstream may have run the request.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        until: Option<Time>,
    ) -> Result<Response<Incoming>, Error> {
        self.until.set(until);
        let sent = self.sender.try_send_request(request).await;
        sent.map_err(|mut error| {
            if error.take_message().is_some() {
                Error::NotSent(error.into_error().to_string())
            } else {
                let error = error.into_error();
                let source = std::error::Error::source(&error).map(ToString::to_string);
                Error::OutcomeUnknown(format!("{error}: {}", source.unwrap_or_default()))
            }
        })
    }

    /// Gives the connection back after the answer was read to its end.
    pub fn release(self, keep_alive: Option<Span>) {
        let named = keep_alive.map_or(IDLE_LIMIT, |k| k.to_std().mul_f64(KEEP_ALIVE_PART));
        let limit = named.min(IDLE_LIMIT);
        let Self {
            pool,
            upstream,
            incarnation,
            sender,
            task,
            until,
            ..
        } = self;
        until.set(None);
        if sender.is_closed() {
            return;
        }
        pool.idle.borrow_mut().push(Idle {
            upstream,
            incarnation,
            sender,
            task,
            until,
            since: Instant::now(),
            limit,
        });
    }
}
