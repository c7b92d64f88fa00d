//! Options of TCP connections.

use std::{fmt, io, net::SocketAddr, pin::Pin, time::Duration};

use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    time::timeout,
};

/// Time without an acknowledgement of sent data after which a connection is closed.
///
/// Longer than two retransmissions of a lost packet take. It also decides when keepalive probes give
/// up: at the first one that is due after this time without an acknowledgement.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Idle time before the first keepalive probe, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered keepalive probes after which a connection is closed, where a system does not apply
/// [`USER_TIMEOUT`] to them.
const KEEPALIVE_RETRIES: u32 = 2;

/// Most connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Sets the options of an accepted or opened connection.
///
/// # Errors
///
/// Returns the operating system's error.
pub fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)
}

/// A connection that is being opened.
pub type Connecting = Pin<Box<dyn Future<Output = io::Result<TcpStream>>>>;

/// Opens the connections of an entry instance to upstreams.
pub trait Connector: fmt::Debug {
    /// Opens a connection within `limit`.
    fn connect(&self, address: SocketAddr, limit: Duration) -> Connecting;
}

/// Opens TCP connections.
#[derive(Clone, Copy, Debug)]
pub struct TcpConnector;

impl Connector for TcpConnector {
    fn connect(&self, address: SocketAddr, limit: Duration) -> Connecting {
        Box::pin(connect(address, limit))
    }
}

/// Opens a connection and sets its options.
///
/// # Errors
///
/// Returns the operating system's error, or [`io::ErrorKind::TimedOut`] after `limit`.
pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream = timeout(limit, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_options(&stream)?;
    Ok(stream)
}

/// Listens for IPv4 connections.
///
/// # Errors
///
/// Returns the operating system's error.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
