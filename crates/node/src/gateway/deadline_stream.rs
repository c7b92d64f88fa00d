//! A connection that rejects writes after a deadline.

use std::{
    cell::Cell,
    io::{self, IoSlice},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use masticlock_core::time::Time;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::clock::Clock;

/// Time from which on writes fail, shared with the owner of the connection; none for no limit.
pub type WriteDeadline = Rc<Cell<Option<Time>>>;

/// A connection that checks a deadline right before each write.
///
/// A process may be suspended or delayed for seconds between the decision to send a request and the
/// write, so a check at the decision is not enough. The clock includes suspended time.
#[derive(Debug)]
pub struct DeadlineStream<S> {
    stream: S,
    clock: Clock,
    deadline: WriteDeadline,
}

impl<S> DeadlineStream<S> {
    /// Wraps a connection. Its owner sets the deadline.
    pub const fn new(stream: S, clock: Clock, deadline: WriteDeadline) -> Self {
        Self {
            stream,
            clock,
            deadline,
        }
    }

    /// Returns an error if nothing may be written any more.
    fn check_deadline(&self) -> io::Result<()> {
        let now = self.clock.now();
        if self.deadline.get().is_some_and(|deadline| now >= deadline) {
            let reason = "the write deadline has passed";
            return Err(io::Error::new(io::ErrorKind::TimedOut, reason));
        }
        Ok(())
    }
}

impl<S> AsyncRead for DeadlineStream<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl<S> AsyncWrite for DeadlineStream<S>
where
    S: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_deadline()?;
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_deadline()?;
        Pin::new(&mut self.stream).poll_write_vectored(cx, parts)
    }

    /// The HTTP client copies a whole request into a buffer of the connection, which keeps its size, if
    /// the connection can't write several parts at once.
    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
