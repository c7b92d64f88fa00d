//! A client's connection, whose end is noticed whatever the server does with it.
//!
//! The server reads nothing while it handles a request after which the client has sent more bytes,
//! so it would not see that the client has left.

use std::{
    io::{self, IoSlice},
    net::Shutdown,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, Interest, ReadBuf, Ready},
    net::TcpStream,
    time::sleep,
};

/// Interval at which a connection with unread bytes is checked for its end: a tenth of the half
/// second after which nothing may reach an upstream for a client that has left.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Most bytes that are read at a time. The HTTP server begins with buffers of 8 KiB and enlarges those
/// that are filled by one read, of which a body that waits for room takes up three.
const MAX_READ_BYTES: usize = 8 * 1_024 - 1;

/// A client's connection. Clones share it.
#[derive(Clone, Debug)]
pub struct ClientStream(Rc<TcpStream>);

impl From<TcpStream> for ClientStream {
    fn from(stream: TcpStream) -> Self {
        Self(Rc::new(stream))
    }
}

impl ClientStream {
    /// Waits until the client has closed the connection, or it has broken, while `is_busy` returns
    /// true. A client that closes its sending half only can't be told from one that has left.
    pub async fn left<F>(&self, is_busy: F)
    where
        F: Fn() -> bool,
    {
        loop {
            let ready = self.0.ready(Interest::READABLE).await;
            let is_closed = ready.map_or(true, Ready::is_read_closed);
            if is_closed && is_busy() {
                return;
            }
            sleep(CHECK_INTERVAL).await;
        }
    }

    /// Calls `write` once the connection takes bytes.
    fn poll_with<W>(&self, cx: &mut Context<'_>, write: W) -> Poll<io::Result<usize>>
    where
        W: Fn(&TcpStream) -> io::Result<usize>,
    {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match write(&self.0) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            let length = buffer.remaining().min(MAX_READ_BYTES);
            match self.0.try_read(buffer.initialize_unfilled_to(length)) {
                Ok(count) => {
                    buffer.advance(count);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_with(cx, |stream| stream.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_with(cx, |stream| stream.try_write_vectored(parts))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.0).shutdown(Shutdown::Write))
    }
}
