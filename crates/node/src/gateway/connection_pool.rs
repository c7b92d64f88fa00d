//! Pool of HTTP connections to upstreams.

use std::{
    cell::RefCell,
    io,
    net::SocketAddr,
    ops::RangeInclusive,
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
    run::Right,
    time::{Span, Time},
};
use tokio::task::{AbortHandle, spawn_local};

use super::{
    deadline_stream::{DeadlineStream, WriteDeadline},
    socket::Connector,
};
use crate::clock::Clock;

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Idle time after which a connection is no longer reused. The buffers of all idle connections take
/// up memory of the instance.
const MAX_IDLE: Duration = Duration::from_millis(1_500);

/// Idle time up to which a connection is reused for a request that must not be repeated: a request
/// that is sent while the upstream closes the connection may have run.
pub const MAX_IDLE_NON_REPEATABLE: Duration = Duration::from_millis(800);

/// Fraction of the keep-alive time announced by an upstream for which a connection is reused.
const KEEP_ALIVE_FRACTION: f64 = 0.6;

/// Largest head of a response in bytes, and most bytes of a response buffered before they are read.
const MAX_BUFFER_BYTES: usize = 64 * 1_024;

/// Statuses of answers. Others are no answer in HTTP or only precede one.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Idle connections to all upstreams.
#[derive(Debug)]
pub struct ConnectionPool {
    clock: Clock,
    connector: Rc<dyn Connector>,
    idle: RefCell<Vec<IdleConnection>>,
}

#[derive(Debug)]
struct IdleConnection {
    upstream: Arc<str>,
    incarnation: u64,
    sender: SendRequest<Full<Bytes>>,
    task: AbortOnDrop,
    write_deadline: WriteDeadline,
    idle_since: Instant,
    max_idle: Duration,
}

/// Closes the connection when it is dropped.
#[derive(Debug)]
struct AbortOnDrop(AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection for one request, closed when it is dropped without a call of
/// [`release`](Self::release).
#[derive(Debug)]
pub struct PooledConnection {
    pool: Rc<ConnectionPool>,
    upstream: Arc<str>,
    incarnation: u64,
    sender: SendRequest<Full<Bytes>>,
    task: AbortOnDrop,
    write_deadline: WriteDeadline,
    reused: bool,
}

/// Failure to send a request, which tells whether the upstream may have run it.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No byte of the request was sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The upstream may have run the request.
    #[error("no answer: {0}")]
    OutcomeUnknown(String),
}

impl ConnectionPool {
    /// Returns an empty pool.
    #[must_use]
    pub const fn new(clock: Clock, connector: Rc<dyn Connector>) -> Self {
        Self {
            clock,
            connector,
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
        if let Some(idle) = self.take_idle(target, max_idle) {
            return Ok(PooledConnection {
                pool: self.clone(),
                upstream: idle.upstream,
                incarnation: idle.incarnation,
                sender: idle.sender,
                task: idle.task,
                write_deadline: idle.write_deadline,
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
        let stream = self.connector.connect(address, CONNECT_TIMEOUT).await?;
        let write_deadline = WriteDeadline::default();
        let stream = DeadlineStream::new(stream, self.clock, write_deadline.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let upstream = target.upstream.clone();
        let task = spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {upstream} failed: {error}");
            }
        });
        Ok(PooledConnection {
            pool: self.clone(),
            upstream: target.upstream.clone(),
            incarnation: target.incarnation,
            sender,
            task: AbortOnDrop(task.abort_handle()),
            write_deadline,
            reused: false,
        })
    }

    /// Closes the connections that are no longer reused.
    pub fn close_expired(&self) {
        let now = Instant::now();
        let is_kept = |i: &IdleConnection| !i.sender.is_closed() && now - i.idle_since < i.max_idle;
        self.idle.borrow_mut().retain(is_kept);
    }

    /// Closes expired connections and takes the one to the target that was idle for the shortest
    /// time, `max_idle` at most.
    fn take_idle(&self, target: &Target, max_idle: Duration) -> Option<IdleConnection> {
        self.close_expired();
        let mut idle = self.idle.borrow_mut();
        let now = Instant::now();
        let at = idle.iter().rposition(|i| {
            i.upstream == target.upstream
                && i.incarnation == target.incarnation
                && i.sender.is_ready()
                && now - i.idle_since < max_idle
        })?;
        Some(idle.remove(at))
    }

    /// Returns whether an idle connection to the upstream is open, so that its process lives.
    #[must_use]
    pub fn has_idle(&self, target: &Target) -> bool {
        let idle = self.idle.borrow();
        let mut of_target = idle
            .iter()
            .filter(|i| i.upstream == target.upstream && i.incarnation == target.incarnation);
        of_target.any(|i| !i.sender.is_closed())
    }

    /// Closes the idle connections to an upstream.
    pub fn close_idle(&self, upstream: &str) {
        self.idle.borrow_mut().retain(|i| &*i.upstream != upstream);
    }
}

impl PooledConnection {
    /// Returns whether the connection has carried a request before.
    pub const fn is_reused(&self) -> bool {
        self.reused
    }

    /// Returns whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a client's request by the right to do so and returns the head of the response.
    ///
    /// No byte of the request is written after `until`.
    ///
    /// # Errors
    ///
    /// Returns an error that tells whether the upstream may have run the request.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        _right: Right,
        until: Option<Time>,
    ) -> Result<Response<Incoming>, Error> {
        self.write(request, until).await
    }

    /// Sends a health check, which is no client's request, and returns the head of the response.
    ///
    /// # Errors
    ///
    /// Returns why there is no response.
    pub async fn check_health(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Error> {
        self.write(request, None).await
    }

    async fn write(
        &mut self,
        request: Request<Full<Bytes>>,
        until: Option<Time>,
    ) -> Result<Response<Incoming>, Error> {
        self.write_deadline.set(until);
        let sent = self.sender.try_send_request(request).await;
        let response = sent.map_err(|mut error| {
            if error.take_message().is_some() {
                Error::NotSent(error.into_error().to_string())
            } else {
                let error = error.into_error();
                let source = std::error::Error::source(&error).map(ToString::to_string);
                Error::OutcomeUnknown(format!("{error}: {}", source.unwrap_or_default()))
            }
        })?;
        let status = response.status().as_u16();
        if FINAL_STATUSES.contains(&status) {
            Ok(response)
        } else {
            Err(Error::OutcomeUnknown(format!("the status {status}")))
        }
    }

    /// Returns the connection to the pool after the response was read to its end.
    ///
    /// `keep_alive` is the time for which the upstream has announced to keep it open.
    pub fn release(self, keep_alive: Option<Span>) {
        let limit = keep_alive.map_or(MAX_IDLE, |k| k.to_std().mul_f64(KEEP_ALIVE_FRACTION));
        let max_idle = limit.min(MAX_IDLE);
        let Self {
            pool,
            upstream,
            incarnation,
            sender,
            task,
            write_deadline,
            ..
        } = self;
        write_deadline.set(None);
        if sender.is_closed() {
            return;
        }
        pool.idle.borrow_mut().push(IdleConnection {
            upstream,
            incarnation,
            sender,
            task,
            write_deadline,
            idle_since: Instant::now(),
            max_idle,
        });
    }
}
