//! A connection that takes bytes only as long as a permission lasts.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use masticlock_core::time::Time;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::clock::Clock;

/// End of the permission to write; none while there is no limit.
pub type WriteDeadline = Rc<Cell<Option<Time>>>;

/// A connection that checks the permission right before each write.
///
/// A process may be stopped or held up for seconds between a decision and the write that follows
/// from it, so the decision alone is not enough. The clock counts such times.
#[derive(Debug)]
pub struct DeadlineStream<S> {
    stream: S,
    clock: Clock,
    until: WriteDeadline,
}

impl<S> DeadlineStream<S> {
    /// Returns a connection with a permission that its owner sets.
    pub const fn new(stream: S, clock: Clock, until: WriteDeadline) -> Self {
        Self {
            stream,
            clock,
            until,
        }
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
        let now = self.clock.now();
        if self.until.get().is_some_and(|until| now >= until) {
            let reason = "the permission to send has run out";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, reason)));
        }
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
