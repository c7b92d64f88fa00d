//! Options of TCP connections.

use std::{io, net::SocketAddr, time::Duration};

use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    time::timeout,
};

/// Time after which a connection whose peer confirms nothing is closed.
///
/// Longer than a lost packet takes to be repeated twice.
const SILENT_LIMIT: Duration = Duration::from_millis(1_500);

/// Idle time after which a peer is asked whether it is there.
const KEEPALIVE: Duration = Duration::from_secs(1);

/// Questions without an answer after which a connection is closed.
const KEEPALIVE_RETRIES: u32 = 2;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Sets the options of an accepted or opened connection.
///
/// # Errors
///
/// Returns the operating system's error.
pub fn tune(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(SILENT_LIMIT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)
}

/// Opens a connection.
///
/// # Errors
///
/// Returns the operating system's error, or [`io::ErrorKind::TimedOut`].
pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream = timeout(limit, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    tune(&stream)?;
    Ok(stream)
}

/// Listens for connections.
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
