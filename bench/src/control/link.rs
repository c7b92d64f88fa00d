use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use futures_util::future::BoxFuture;
use masticlock::{client::Pool, feed::Transport, rpc::Failure};
use masticlock_core::{
    feed::{Poll, Reply},
    time::Span,
};
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime::Handle,
};

/// Bytes that go through links, and whether they are cut.
#[derive(Debug, Default)]
pub struct Meter {
    bytes: AtomicU64,
    cut: AtomicBool,
}

impl Meter {
    /// Returns the bytes of both directions.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Lets no byte through, or lets them through again.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
    }

    fn count(&self, bytes: usize) {
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn is_cut(&self) -> bool {
        self.cut.load(Ordering::Relaxed)
    }
}

/// Forwards connections on `listener` to `target` and counts their bytes.
pub async fn forward(listener: TcpListener, target: SocketAddr, meters: Arc<[Arc<Meter>]>) {
    while let Ok((near, _)) = listener.accept().await {
        let meters = Arc::clone(&meters);
        tokio::spawn(async move {
            let Ok(far) = TcpStream::connect(target).await else {
                return;
            };
            if near.set_nodelay(true).is_err() || far.set_nodelay(true).is_err() {
                return;
            }
            let (near_read, near_write) = near.into_split();
            let (far_read, far_write) = far.into_split();
            tokio::select! {
                () = copy(near_read, far_write, &meters) => {}
                () = copy(far_read, near_write, &meters) => {}
            }
        });
    }
}

async fn copy<R, W>(mut from: R, mut to: W, meters: &[Arc<Meter>])
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let mut buffer = vec![0; 16 * 1_024];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        for meter in meters {
            meter.count(length);
        }
        if meters.iter().any(|m| m.is_cut()) {
            // A cut network loses bytes without closing the connection.
            continue;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

/// The way of one instance to the others, with a link to each of them.
#[derive(Debug)]
pub struct Links {
    pool: Pool,
    runtime: Handle,
    own: Arc<Meter>,
    /// Meter and address of every process that can be polled.
    targets: Vec<(String, SocketAddr, Arc<Meter>)>,
    open: Mutex<Vec<(String, String)>>,
}

impl Links {
    /// Returns links that carry the secret and count on the instance's own
    /// meter and on that of the target.
    pub const fn new(
        pool: Pool,
        runtime: Handle,
        own: Arc<Meter>,
        targets: Vec<(String, SocketAddr, Arc<Meter>)>,
    ) -> Self {
        Self {
            pool,
            runtime,
            own,
            targets,
            open: Mutex::new(Vec::new()),
        }
    }

    /// Returns the address of the link to a target, which is opened at its first use.
    fn link(&self, address: &str) -> Option<String> {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((_, link)) = open.iter().find(|(target, _)| target == address) {
            return Some(link.clone());
        }
        let (_, target, meter) = self.targets.iter().find(|(name, ..)| name == address)?;
        let listener = std::net::TcpListener::bind("127.0.0.1:0").ok()?;
        listener.set_nonblocking(true).ok()?;
        let link = listener.local_addr().ok()?.to_string();
        let meters: Arc<[Arc<Meter>]> = Arc::from([Arc::clone(&self.own), Arc::clone(meter)]);
        let target = *target;
        self.runtime.spawn(async move {
            if let Ok(listener) = TcpListener::from_std(listener) {
                forward(listener, target, meters).await;
            }
        });
        open.push((address.to_owned(), link.clone()));
        Some(link)
    }
}

impl Transport for Links {
    fn poll<'a>(
        &'a self,
        address: &'a str,
        poll: &'a Poll,
        limit: Span,
    ) -> BoxFuture<'a, Result<Reply, Failure>> {
        let link = self.link(address).unwrap_or_else(|| address.to_owned());
        Box::pin(async move {
            self.pool
                .call(&link, masticlock::rpc::FEED_POLL, poll, limit)
                .await
        })
    }
}
