//! Delivery of messages of the replicated log to other control instances.

use std::{net::SocketAddr, time::Duration};

use masticlock_core::consensus::Message;
use tokio::{
    net::TcpStream,
    sync::mpsc,
    task::{JoinHandle, spawn_local},
};

use super::{
    frame,
    message::{Extension, Request},
    socket,
};

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Most messages queued for a slow peer. The replicated log sends lost messages again.
const QUEUE_CAPACITY: usize = 256;

/// Queues and connections to other control instances, one for each address.
#[derive(Debug, Default)]
pub struct Peers {
    /// Sorted by address.
    peers: Vec<Peer>,
}

#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    queue: mpsc::Sender<Message>,
    task: JoinHandle<()>,
}

impl Drop for Peer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Peers {
    /// Queues a message for the peer, or drops it if the queue is full.
    pub fn send(&mut self, address: SocketAddr, message: Message) {
        let at = match self.peers.binary_search_by_key(&address, |p| p.address) {
            Ok(at) => at,
            Err(at) => {
                let (queue, messages) = mpsc::channel(QUEUE_CAPACITY);
                let task = spawn_local(deliver(address, messages));
                self.peers.insert(
                    at,
                    Peer {
                        address,
                        queue,
                        task,
                    },
                );
                at
            }
        };
        if self.peers[at].queue.try_send(message).is_err() {
            log::debug!("the queue to {address} is full: dropped a message of the replicated log");
        }
    }

    /// Closes the connections to all addresses but the given ones.
    pub fn retain(&mut self, addresses: &[SocketAddr]) {
        self.peers.retain(|p| addresses.contains(&p.address));
    }
}

/// Sends the queued messages to a peer and connects again after a failure.
async fn deliver(address: SocketAddr, mut messages: mpsc::Receiver<Message>) {
    let mut stream: Option<TcpStream> = None;
    while let Some(message) = messages.recv().await {
        let send = async {
            let mut open = match stream.take() {
                Some(open) => open,
                None => socket::connect(address, CONNECT_TIMEOUT).await?,
            };
            let request = Request::Replica(message);
            frame::write(&mut open, &request, &Extension::current()).await?;
            Ok::<_, std::io::Error>(open)
        };
        match send.await {
            Ok(open) => stream = Some(open),
            Err(error) => {
                log::debug!("can't send to {address}: {error}");
                discard_queued(&mut messages);
            }
        }
    }
}

/// Drops the messages queued during a failure, so that a peer that returns gets new ones first.
fn discard_queued(messages: &mut mpsc::Receiver<Message>) {
    while messages.try_recv().is_ok() {}
}
