//! Client of a control instance.

use std::{cell::Cell, io, net::SocketAddr, rc::Rc, time::Duration};

use tokio::net::TcpStream;

use super::{
    frame::{self, Incoming},
    message::{Extension, Reply, Request},
    socket::{Connector, TcpConnector},
};

/// Client of a control instance, whose connection is opened on demand.
#[derive(Debug)]
pub struct ControlClient {
    address: SocketAddr,
    connector: Rc<dyn Connector>,
    stream: Option<TcpStream>,
    /// Bytes of the last reply that have arrived.
    received: Cell<usize>,
}

impl ControlClient {
    /// Creates a client of the control instance at the address.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self::with_connector(address, Rc::new(TcpConnector))
    }

    /// Creates a client whose connection is opened by `connector`.
    #[must_use]
    pub fn with_connector(address: SocketAddr, connector: Rc<dyn Connector>) -> Self {
        Self {
            address,
            connector,
            stream: None,
            received: Cell::new(0),
        }
    }

    /// Returns the address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how many bytes of the last reply have arrived.
    #[must_use]
    pub const fn received(&self) -> usize {
        self.received.get()
    }

    /// Sends a request and returns its reply, which begins within `limit` and then takes as long as
    /// bytes come.
    ///
    /// After an error the connection is closed, so that a late reply is never mistaken for that of
    /// the next request.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection, [`io::ErrorKind::TimedOut`], or
    /// [`io::ErrorKind::InvalidData`] for a reply that this build can't decode.
    pub async fn call(
        &mut self,
        request: &Request,
        limit: Duration,
    ) -> io::Result<(Reply, Extension)> {
        self.call_with(request, &Extension::current(), limit).await
    }

    /// Sends a request with an extension and returns the reply.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Self::call`].
    pub async fn call_with(
        &mut self,
        request: &Request,
        extension: &Extension,
        limit: Duration,
    ) -> io::Result<(Reply, Extension)> {
        // Cancelling the future drops the connection as well.
        let stream = self.stream.take();
        self.received.set(0);
        let mut stream = match stream {
            Some(stream) => stream,
            None => self.connector.connect(self.address, limit).await?,
        };
        frame::write(&mut stream, request, extension).await?;
        let reply = frame::read(&mut stream, limit, &self.received, None).await?;
        match reply.ok_or(io::ErrorKind::ConnectionAborted)? {
            Incoming::Message(reply, extension) => {
                self.stream = Some(stream);
                Ok((reply, extension))
            }
            Incoming::Unreadable(reason) => Err(io::Error::new(io::ErrorKind::InvalidData, reason)),
        }
    }
}
