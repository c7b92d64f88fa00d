//! Client of a control instance.

use std::{io, net::SocketAddr, time::Duration};

use tokio::{net::TcpStream, time::timeout};

use super::{
    frame,
    message::{Reply, Request},
    socket,
};

/// Client of a control instance, whose connection is opened on demand.
#[derive(Debug)]
pub struct ControlClient {
    address: SocketAddr,
    stream: Option<TcpStream>,
}

impl ControlClient {
    /// Creates a client of the control instance at the address.
    #[must_use]
    pub const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            stream: None,
        }
    }

    /// Returns the address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and returns its reply.
    ///
    /// After an error the connection is closed, so that a late reply is never mistaken for that of
    /// the next request.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection, or [`io::ErrorKind::TimedOut`] after `limit`.
    pub async fn call(&mut self, request: &Request, limit: Duration) -> io::Result<Reply> {
        // Cancelling the future drops the connection as well.
        let stream = self.stream.take();
        let work = async {
            let mut stream = match stream {
                Some(stream) => stream,
                None => socket::connect(self.address, limit).await?,
            };
            frame::write(&mut stream, request).await?;
            let reply = frame::read(&mut stream).await?;
            let reply = reply.ok_or(io::ErrorKind::ConnectionAborted)?;
            Ok::<_, io::Error>((stream, reply))
        };
        let (stream, reply) = timeout(limit, work)
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        self.stream = Some(stream);
        Ok(reply)
    }
}
