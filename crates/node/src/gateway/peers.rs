//! Sending messages of the replicated log to other control instances.

use std::{net::SocketAddr, time::Duration};

use masticlock_core::consensus::Message;
use tokio::{
    net::TcpStream,
    sync::mpsc,
    task::{JoinHandle, spawn_local},
    time::timeout,
};

use super::{frame, message::Request, socket};

/// Longest time to open a connection or to write a message.
const LIMIT: Duration = Duration::from_millis(600);

/// Messages that wait for a slow peer. The log repeats what is lost.
const QUEUE: usize = 256;

/// Connections to other control instances, one an address.
#[derive(Debug, Default)]
pub struct Peers {
    /// Sorted by address.
    links: Vec<Link>,
}

#[derive(Debug)]
struct Link {
    address: SocketAddr,
    queue: mpsc::Sender<Message>,
    task: JoinHandle<()>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Peers {
    /// Sends a message, or drops it if the peer is slow.
    pub fn send(&mut self, address: SocketAddr, message: Message) {
        let at = match self.links.binary_search_by_key(&address, |l| l.address) {
            Ok(at) => at,
            Err(at) => {
                let (queue, messages) = mpsc::channel(QUEUE);
                let task = spawn_local(deliver(address, messages));
                self.links.insert(
                    at,
                    Link {
                        address,
                        queue,
                        task,
                    },
                );
                at
            }
        };
        if self.links[at].queue.try_send(message).is_err() {
            log::debug!("{address} is slow: a message of the log is dropped");
        }
    }

    /// Closes the connections to other addresses.
    pub fn keep(&mut self, addresses: &[SocketAddr]) {
        self.links.retain(|l| addresses.contains(&l.address));
    }
}

async fn deliver(address: SocketAddr, mut messages: mpsc::Receiver<Message>) {
    let mut stream: Option<TcpStream> = None;
    while let Some(message) = messages.recv().await {
        let work = async {
            let mut open = match stream.take() {
                Some(open) => open,
                None => socket::connect(address, LIMIT).await?,
            };
            frame::write(&mut open, &Request::Replica(message)).await?;
            Ok::<_, std::io::Error>(open)
        };
        match timeout(LIMIT, work).await {
            Ok(Ok(open)) => stream = Some(open),
            Ok(Err(error)) => {
                log::debug!("{address} is not reached: {error}");
                drain(&mut messages);
            }
            Err(_) => {
                log::debug!("{address} takes no message of the log");
                drain(&mut messages);
            }
        }
    }
}

/// Drops what has waited during a failure, so that a peer that returns gets fresh messages first.
fn drain(messages: &mut mpsc::Receiver<Message>) {
    while messages.try_recv().is_ok() {}
}
