//! Limits on the connections of callers, below HTTP.
//!
//! The HTTP server has no limit on the time in which a head arrives or an
//! answer is taken, and none on the number of connections.

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

/// Wait after a failed accept, such as when no file descriptor is left.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);
/// Longest time in which the bytes of a caller are dropped after an error.
const LINGER: Duration = Duration::from_secs(1);
/// End of a head.
const END: &[u8] = b"\r\n\r\n";

/// Accepts connections within their limits.
pub(super) struct Guard {
    listener: TcpListener,
    address: SocketAddr,
    limits: RawLimits,
    open: Arc<AtomicUsize>,
}

impl Guard {
    pub(super) fn new(listener: TcpListener, limits: RawLimits) -> io::Result<Self> {
        Ok(Self {
            address: listener.local_addr()?,
            listener,
            limits,
            open: Arc::default(),
        })
    }
}

impl Acceptor for Guard {
    type Io = Connection;

    fn local_addr(&self) -> Vec<LocalAddr> {
        vec![LocalAddr(self.address.into())]
    }

    async fn accept(&mut self) -> io::Result<(Self::Io, LocalAddr, RemoteAddr, Scheme)> {
        loop {
            let (stream, remote) = match self.listener.accept().await {
                Ok(accepted) => accepted,
                Err(error) => {
                    log::warn!("a connection could not be accepted: {error}");
                    sleep(ACCEPT_RETRY).await;
                    continue;
                }
            };
            if self.open.load(Ordering::Relaxed) >= self.limits.connections {
                refuse(&stream);
                continue;
            }
            if let Err(error) = stream.set_nodelay(true) {
                log::debug!("a connection broke off: {error}");
                continue;
            }
            let connection = Connection::new(stream, self.limits, self.open.clone());
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

fn refuse(stream: &TcpStream) {
    let message = "too many connections are open";
    let error = error::Error::new(error::Kind::Overloaded, message).retry_after(1_000);
    // A caller that can't take a few bytes at once is closed without them.
    let _ = stream.try_write(&raw_response(&error));
}

/// Returns an error as bytes of HTTP/1.1.
fn raw_response(error: &error::Error) -> Vec<u8> {
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

/// What a connection is reading.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// A head: bytes so far, and how many bytes of its end have come.
    Head { bytes: usize, matched: usize },
    /// The body of a request, or nothing until its answer.
    Body,
}

/// A caller's connection.
pub(super) struct Connection {
    stream: TcpStream,
    limits: RawLimits,
    open: Arc<AtomicUsize>,
    phase: Phase,
    /// When the first byte of the current head came.
    head_since: Instant,
    /// When the last bytes were written, or the connection was opened.
    active: Instant,
    /// Runs until the limit of the current phase or earlier.
    timer: Option<Pin<Box<Sleep>>>,
    /// When the caller must have taken a byte.
    stall_limit: Option<Pin<Box<Sleep>>>,
    /// An error that is written before the connection ends.
    farewell: Option<(Vec<u8>, usize)>,
    /// How long the caller's bytes are dropped after the end.
    linger: Option<Pin<Box<Sleep>>>,
}

impl Connection {
    fn new(stream: TcpStream, limits: RawLimits, open: Arc<AtomicUsize>) -> Self {
        open.fetch_add(1, Ordering::Relaxed);
        Self {
            stream,
            limits,
            open,
            phase: Phase::Head {
                bytes: 0,
                matched: 0,
            },
            head_since: Instant::now(),
            active: Instant::now(),
            timer: None,
            stall_limit: None,
            farewell: None,
            linger: None,
        }
    }

    fn fail(&mut self, kind: error::Kind, message: String) {
        let error = error::Error::new(kind, message);
        self.farewell = Some((raw_response(&error), 0));
    }

    /// Follows the head in the bytes that were read.
    fn follow(&mut self, new: &[u8]) {
        let Phase::Head {
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
                _ if byte == END[matched] => matched + 1,
                b'\r' => 1,
                _ => 0,
            };
            if matched == END.len() {
                self.phase = Phase::Body;
                return;
            }
        }
        self.phase = Phase::Head { bytes, matched };
        if bytes > self.limits.head_bytes {
            let message = format!("a head has at most {} bytes", self.limits.head_bytes);
            self.fail(error::Kind::HeadersTooLarge, message);
        } else if is_first {
            self.head_since = Instant::now();
        }
    }

    /// Waits for the limit of the current phase.
    ///
    /// A timer that is due too early is set again, so that an ordinary request
    /// needs no change of the timer.
    fn poll_limit(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let millis = Duration::from_millis;
        let due = match self.phase {
            Phase::Body => return Poll::Pending,
            Phase::Head { bytes: 0, .. } => self.active + millis(self.limits.idle_ms),
            Phase::Head { .. } => self.head_since + millis(self.limits.receive_ms),
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

    /// Writes the farewell; ready when the connection has to end.
    fn poll_farewell(&mut self, context: &mut Context<'_>) -> Poll<io::Error> {
        while let Some((bytes, at)) = &mut self.farewell {
            if *at >= bytes.len() {
                break;
            }
            match ready!(Pin::new(&mut self.stream).poll_write(context, &bytes[*at..])) {
                Ok(0) | Err(_) => break,
                Ok(count) => *at += count,
            }
        }
        // The caller reads the error even if it can't know its outcome here.
        let _ = ready!(self.poll_linger(context));
        Poll::Ready(io::Error::new(
            io::ErrorKind::TimedOut,
            "a limit of the connection was passed",
        ))
    }

    /// Ends the connection, and drops what the caller still sends for a while.
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

    /// Expects the next head after an answer, but not after an interim one.
    fn answering(&mut self, bytes: &[u8]) {
        self.active = Instant::now();
        if self.phase == Phase::Body && !bytes.starts_with(b"HTTP/1.1 100") {
            self.phase = Phase::Head {
                bytes: 0,
                matched: 0,
            };
        }
    }

    /// Limits the time in which the caller takes no byte.
    fn stalled<V>(
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
            "the caller takes no bytes",
        )))
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.farewell.is_none() {
            let before = buffer.filled().len();
            let read = Pin::new(&mut this.stream).poll_read(context, buffer);
            if let Poll::Ready(result) = read {
                result?;
                this.follow(&buffer.filled()[before..]);
                if this.farewell.is_none() {
                    return Poll::Ready(Ok(()));
                }
                buffer.set_filled(before);
            } else {
                ready!(this.poll_limit(context));
                if matches!(this.phase, Phase::Head { bytes: 0, .. }) {
                    // An idle connection ends like one that its caller closed.
                    return Poll::Ready(Ok(()));
                }
                let message = format!("the head did not arrive in {} ms", this.limits.receive_ms);
                this.fail(error::Kind::SlowCaller, message);
            }
        }
        this.poll_farewell(context).map(Err)
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        this.answering(bytes);
        let written = Pin::new(&mut this.stream).poll_write(context, bytes);
        this.stalled(written, context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        this.answering(slices.first().map_or(&[], |slice| slice));
        let written = Pin::new(&mut this.stream).poll_write_vectored(context, slices);
        this.stalled(written, context)
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
