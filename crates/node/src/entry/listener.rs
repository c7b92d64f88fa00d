//! Limits on the connections of callers, below HTTP.
//!
//! The HTTP server limits neither the time in which a caller sends the head of
//! a request or reads a response, nor the number of connections.

use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use masticlock_core::error;
use poem::{
    http::uri::Scheme,
    listener::Acceptor,
    web::{LocalAddr, RemoteAddr},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
    time::{Instant, Sleep, sleep, sleep_until},
};

use super::{reply, settings::RawLimits};

/// Delay after a failed accept, for example when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum time in which a caller's bytes are read and dropped after shutdown of the write side.
const LINGER: Duration = Duration::from_secs(1);
/// Bytes that end the head of a request.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Accepts connections, limits their number and wraps each in a [`Connection`].
pub(super) struct LimitedListener {
    listener: TcpListener,
    address: SocketAddr,
    limits: RawLimits,
    open_connections: Arc<AtomicUsize>,
}

impl LimitedListener {
    pub(super) fn new(listener: TcpListener, limits: RawLimits) -> io::Result<Self> {
        Ok(Self {
            address: listener.local_addr()?,
            listener,
            limits,
            open_connections: Arc::default(),
        })
    }
}

impl Acceptor for LimitedListener {
    type Io = Connection;

    fn local_addr(&self) -> Vec<LocalAddr> {
        vec![LocalAddr(self.address.into())]
    }

    async fn accept(&mut self) -> io::Result<(Self::Io, LocalAddr, RemoteAddr, Scheme)> {
        loop {
            let (stream, remote) = match self.listener.accept().await {
                Ok(accepted) => accepted,
                Err(error) => {
                    log::warn!("failed to accept a connection: {error}");
                    sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            if self.open_connections.load(Ordering::Relaxed) >= self.limits.connections {
                refuse(&stream);
                continue;
            }
            if let Err(error) = stream.set_nodelay(true) {
                log::debug!("failed to set TCP_NODELAY on a connection: {error}");
                continue;
            }
            let connection = Connection::new(stream, self.limits, self.open_connections.clone());
            let (local, remote) = (self.address.into(), remote.into());
            return Ok((
                connection,
                LocalAddr(local),
                RemoteAddr(remote),
                Scheme::HTTP,
            ));
        }
    }
}

/// Answers a connection above the limit with an error.
fn refuse(stream: &TcpStream) {
    let message = "too many connections are open";
    let error = error::Error::new(error::Kind::Overloaded, message).retry_after(1_000);
    // If the socket doesn't accept the bytes at once, the connection closes without them.
    let _ = stream.try_write(&error_bytes(&error));
}

/// Encodes an error as an HTTP/1.1 response.
fn error_bytes(error: &error::Error) -> Vec<u8> {
    let body = reply::error_value(error).to_string();
    let retry = error.retry_after_ms.map_or_else(String::new, |millis| {
        format!("retry-after: {}\r\n", millis.div_ceil(1_000))
    });
    format!(
        "HTTP/1.1 {} Error\r\ncontent-type: application/json\r\n{retry}connection: close\r\n\
         content-length: {}\r\n\r\n{body}",
        error.kind.response().status,
        body.len(),
    )
    .into_bytes()
}

/// Part of a request that a connection is reading.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadPhase {
    /// The head: bytes so far, and how many bytes of [`HEAD_END`] the last ones match.
    Head { bytes: usize, matched: usize },
    /// The body, or nothing until the response is written.
    Body,
}

/// A caller's connection with limits on time and size.
pub(super) struct Connection {
    stream: TcpStream,
    limits: RawLimits,
    open_connections: Arc<AtomicUsize>,
    phase: ReadPhase,
    /// When the first byte of the current head arrived.
    head_started: Instant,
    /// When bytes were last written, or the connection was opened.
    last_write: Instant,
    /// Fires at the time limit of the current phase or earlier.
    timer: Option<Pin<Box<Sleep>>>,
    /// Fires when the caller has read no byte for too long.
    stall_limit: Option<Pin<Box<Sleep>>>,
    /// Encoded error that is written before the connection closes, and how many of its bytes are
    /// written.
    final_error: Option<(Vec<u8>, usize)>,
    /// Ends the time in which the caller's bytes are dropped after shutdown.
    linger: Option<Pin<Box<Sleep>>>,
}

impl Connection {
    fn new(stream: TcpStream, limits: RawLimits, open_connections: Arc<AtomicUsize>) -> Self {
        open_connections.fetch_add(1, Ordering::Relaxed);
        Self {
            stream,
            limits,
            open_connections,
            phase: ReadPhase::Head {
                bytes: 0,
                matched: 0,
            },
            head_started: Instant::now(),
            last_write: Instant::now(),
            timer: None,
            stall_limit: None,
            final_error: None,
            linger: None,
        }
    }

    /// Schedules an error that ends the connection.
    fn end_with_error(&mut self, kind: error::Kind, message: String) {
        let error = error::Error::new(kind, message);
        self.final_error = Some((error_bytes(&error), 0));
    }

    /// Tracks size and end of the head in the bytes that were read.
    fn track_head(&mut self, new: &[u8]) {
        let ReadPhase::Head {
            mut bytes,
            mut matched,
        } = self.phase
        else {
            return;
        };
        let is_first = bytes == 0;
        for &byte in new {
            bytes += 1;
            matched = match byte {
                _ if byte == HEAD_END[matched] => matched + 1,
                b'\r' => 1,
                _ => 0,
            };
            if matched == HEAD_END.len() {
                self.phase = ReadPhase::Body;
                return;
            }
        }
        self.phase = ReadPhase::Head { bytes, matched };
        if bytes > self.limits.head_bytes {
            let message = format!("a head has at most {} bytes", self.limits.head_bytes);
            self.end_with_error(error::Kind::HeadersTooLarge, message);
        } else if is_first {
            self.head_started = Instant::now();
        }
    }

    /// Waits for the time limit of the current phase.
    ///
    /// A timer that fires too early is set again, so that a request within its
    /// limits doesn't reset the timer.
    fn poll_read_limit(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let millis = Duration::from_millis;
        let due = match self.phase {
            ReadPhase::Body => return Poll::Pending,
            ReadPhase::Head { bytes: 0, .. } => self.last_write + millis(self.limits.idle_ms),
            ReadPhase::Head { .. } => self.head_started + millis(self.limits.receive_ms),
        };
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep_until(due)));
        if timer.deadline() > due {
            timer.as_mut().reset(due);
        }
        loop {
            ready!(timer.as_mut().poll(context));
            if Instant::now() >= due {
                return Poll::Ready(());
            }
            timer.as_mut().reset(due);
        }
    }

    /// Writes the final error; ready when the connection must close.
    fn poll_final_error(&mut self, context: &mut Context<'_>) -> Poll<io::Error> {
        while let Some((bytes, written)) = &mut self.final_error {
            if *written >= bytes.len() {
                break;
            }
            match ready!(Pin::new(&mut self.stream).poll_write(context, &bytes[*written..])) {
                Ok(0) | Err(_) => break,
                Ok(count) => *written += count,
            }
        }
        // The connection closes with the same error whether the shutdown succeeds or not.
        let _ = ready!(self.poll_linger(context));
        Poll::Ready(io::Error::new(
            io::ErrorKind::TimedOut,
            "the connection exceeded a limit",
        ))
    }

    /// Shuts the write side down, then reads and drops the caller's bytes until
    /// its end of stream, for at most [`LINGER`].
    ///
    /// Closing a socket with unread bytes resets the connection, and the
    /// caller would lose an error that it has not read yet.
    fn poll_linger(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(context))?;
        }
        let limit = self.linger.get_or_insert_with(|| Box::pin(sleep(LINGER)));
        if limit.as_mut().poll(context).is_ready() {
            return Poll::Ready(Ok(()));
        }
        let mut bytes = [0; 4_096];
        loop {
            let mut buffer = ReadBuf::new(&mut bytes);
            ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer))?;
            if buffer.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
        }
    }

    /// Notes that a response is written: the next bytes read are a new head, unless the response
    /// is an interim one (status 100).
    fn response_written(&mut self, bytes: &[u8]) {
        self.last_write = Instant::now();
        if self.phase == ReadPhase::Body && !bytes.starts_with(b"HTTP/1.1 100") {
            self.phase = ReadPhase::Head {
                bytes: 0,
                matched: 0,
            };
        }
    }

    /// Limits the time in which the caller reads no byte of a response.
    fn limit_stall<V>(
        &mut self,
        written: Poll<io::Result<V>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<V>> {
        if written.is_ready() {
            self.stall_limit = None;
            return written;
        }
        let stall = Duration::from_millis(self.limits.stall_ms);
        let limit = self
            .stall_limit
            .get_or_insert_with(|| Box::pin(sleep(stall)));
        ready!(limit.as_mut().poll(context));
        Poll::Ready(Err(io::Error::new(
            io::ErrorKind::TimedOut,
            "the caller read no bytes within the time limit",
        )))
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.open_connections.fetch_sub(1, Ordering::Relaxed);
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.final_error.is_none() {
            let before = buffer.filled().len();
            let read = Pin::new(&mut this.stream).poll_read(context, buffer);
            if let Poll::Ready(result) = read {
                result?;
                this.track_head(&buffer.filled()[before..]);
                if this.final_error.is_none() {
                    return Poll::Ready(Ok(()));
                }
                buffer.set_filled(before);
            } else {
                ready!(this.poll_read_limit(context));
                if matches!(this.phase, ReadPhase::Head { bytes: 0, .. }) {
                    // Reports end of stream, as if the caller had closed the idle connection.
                    return Poll::Ready(Ok(()));
                }
                let message = format!("the head did not arrive in {} ms", this.limits.receive_ms);
                this.end_with_error(error::Kind::SlowCaller, message);
            }
        }
        this.poll_final_error(context).map(Err)
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        this.response_written(bytes);
        let written = Pin::new(&mut this.stream).poll_write(context, bytes);
        this.limit_stall(written, context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        this.response_written(slices.first().map_or(&[], |slice| slice));
        let written = Pin::new(&mut this.stream).poll_write_vectored(context, slices);
        this.limit_stall(written, context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll_linger(context)
    }
}
