//! When the options of a TCP connection give a silent peer up.
//!
//! The peer's kernel drops all packets of its socket by a filter, so nothing is acknowledged.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use masticlock::gateway::socket::{connect, listen};
use socket2::{SockFilter, SockRef};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

/// A filter program of one instruction: return 0, which drops the packet.
const DROP: [SockFilter; 1] = [SockFilter::new(0x06, 0, 0, 0)];

/// Longest time of a test's wait.
const LIMIT: Duration = Duration::from_secs(10);

async fn pair() -> (TcpStream, TcpStream) {
    let listener = listen(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).unwrap();
    let address = listener.local_addr().unwrap();
    let own = connect(address, LIMIT).await.unwrap();
    let (peer, _) = listener.accept().await.unwrap();
    (own, peer)
}

/// Returns the time until reading from the connection fails, and how.
async fn time_to_failure(own: &mut TcpStream) -> (Duration, io::ErrorKind) {
    let before = Instant::now();
    let mut byte = [0];
    let read = timeout(LIMIT, own.read(&mut byte)).await;
    let error = read.expect("the peer is given up").unwrap_err();
    (before.elapsed(), error.kind())
}

/// Guards against keep-alive probes whose count decides alone when an idle connection ends, or not at
/// all: with the time for unacknowledged data the second unanswered probe does.
#[tokio::test]
async fn a_silent_peer_of_an_idle_connection_is_given_up_after_two_seconds() {
    let (mut own, peer) = pair().await;
    SockRef::from(&peer).attach_filter(&DROP).unwrap();
    let (time, kind) = time_to_failure(&mut own).await;
    assert_eq!(kind, io::ErrorKind::TimedOut);
    let expected = Duration::from_millis(1_500)..Duration::from_millis(2_900);
    assert!(expected.contains(&time), "{time:?}");
}

/// Guards against requests that wait for a peer that acknowledges nothing.
#[tokio::test]
async fn a_peer_that_acknowledges_no_data_is_given_up() {
    let (mut own, peer) = pair().await;
    SockRef::from(&peer).attach_filter(&DROP).unwrap();
    own.write_all(b"request").await.unwrap();
    let (time, kind) = time_to_failure(&mut own).await;
    assert_eq!(kind, io::ErrorKind::TimedOut);
    let expected = Duration::from_millis(1_400)..Duration::from_millis(2_900);
    assert!(expected.contains(&time), "{time:?}");
}

/// Guards against a sound peer that is given up for a silence of a second.
#[tokio::test]
async fn a_peer_that_is_silent_for_a_second_stays() {
    let (mut own, mut peer) = pair().await;
    SockRef::from(&peer).attach_filter(&DROP).unwrap();
    own.write_all(b"request").await.unwrap();
    sleep(Duration::from_secs(1)).await;
    SockRef::from(&peer).detach_filter().unwrap();
    let mut request = [0; 7];
    timeout(LIMIT, peer.read_exact(&mut request))
        .await
        .unwrap()
        .unwrap();
    assert_eq!(&request, b"request");
    peer.write_all(b"answer").await.unwrap();
    let mut answer = [0; 6];
    timeout(LIMIT, own.read_exact(&mut answer))
        .await
        .unwrap()
        .unwrap();
    assert_eq!(&answer, b"answer");
}
