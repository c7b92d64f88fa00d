use std::{
    collections::BTreeSet,
    io,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use futures_util::future::BoxFuture;
use poem::{
    Addr, Endpoint, Request, Server,
    http::uri::Scheme,
    listener::Acceptor,
    web::{LocalAddr, RemoteAddr},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
    sync::watch,
};

/// Faults of connections. Connections are numbered from 1 as they come.
#[derive(Clone, Debug, Default)]
struct Faults {
    /// Connections up to this number are reset.
    reset: u64,
    /// Connections up to this number carry nothing any more.
    silent: u64,
    /// Single connections that are reset.
    cut: BTreeSet<u64>,
    opened: u64,
    /// Whether the server ends. The port is closed before connections are reset, so that whoever
    /// sees a reset finds the port closed.
    crashed: bool,
}

/// Resets the connection that a request came on.
#[derive(Clone, Debug)]
pub struct Cutter {
    faults: Arc<watch::Sender<Faults>>,
    number: u64,
}

impl Cutter {
    /// Resets the connection.
    pub fn cut(&self) {
        self.faults.send_modify(|f| {
            f.cut.insert(self.number);
        });
    }

    /// Closes the port and resets all connections, as after a crash.
    pub fn crash(&self) {
        self.faults.send_modify(|f| f.crashed = true);
    }
}

/// Gives the endpoint of a line the [`Cutter`] of each request.
struct Cuttable<E> {
    endpoint: E,
    faults: Arc<watch::Sender<Faults>>,
}

/// Kind of the address that carries the number of a connection.
const NUMBERED: &str = "connection";

impl<E> Endpoint for Cuttable<E>
where
    E: Endpoint,
{
    type Output = E::Output;

    async fn call(&self, mut request: Request) -> poem::Result<E::Output> {
        if let Addr::Custom(NUMBERED, number) = &request.local_addr().0
            && let Ok(number) = number.parse()
        {
            let faults = self.faults.clone();
            request.set_data(Cutter { faults, number });
        }
        self.endpoint.call(request).await
    }
}

/// A loopback server whose connections can be broken or silenced.
#[derive(Debug)]
pub struct Line {
    address: SocketAddr,
    faults: Arc<watch::Sender<Faults>>,
}

impl Line {
    /// Serves `endpoint` on a port that the system chooses.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start<E>(endpoint: E) -> io::Result<Self>
    where
        E: Endpoint + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let faults = Arc::new(watch::Sender::new(Faults::default()));
        let acceptor = Switched {
            listener,
            address,
            faults: faults.clone(),
        };
        let endpoint = Cuttable {
            endpoint,
            faults: faults.clone(),
        };
        let ended = faults.clone();
        let mut crash = faults.subscribe();
        tokio::spawn(async move {
            tokio::select! {
                result = Server::new_with_acceptor(acceptor).run(endpoint) => {
                    if let Err(error) = result {
                        log::error!("fake server on {address}: {error}");
                    }
                }
                _ = crash.wait_for(|f| f.crashed) => {}
            }
            ended.send_modify(|f| f.reset = u64::MAX);
        });
        Ok(Self { address, faults })
    }

    /// Returns the base URL.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Resets all open connections. New ones work.
    pub fn reset(&self) {
        self.faults.send_modify(|f| f.reset = f.opened);
    }

    /// Silences all open connections for good. New ones work.
    pub fn silence(&self) {
        self.faults.send_modify(|f| f.silent = f.opened);
    }

    /// Returns how many connections were opened.
    #[must_use]
    pub fn opened(&self) -> u64 {
        self.faults.borrow().opened
    }

    /// Closes the port and resets all connections, as after a crash.
    pub fn crash(&self) {
        self.faults.send_modify(|f| f.crashed = true);
    }

    /// Waits until a crashed server has closed its port.
    pub async fn closed(&self) {
        let mut faults = self.faults.subscribe();
        // The sender lives as long as the line.
        let _ = faults.wait_for(|f| f.crashed && f.reset == u64::MAX).await;
    }
}

impl Drop for Line {
    fn drop(&mut self) {
        self.crash();
    }
}

struct Switched {
    listener: TcpListener,
    address: SocketAddr,
    faults: Arc<watch::Sender<Faults>>,
}

impl Acceptor for Switched {
    type Io = Wire;

    fn local_addr(&self) -> Vec<LocalAddr> {
        vec![LocalAddr(self.address.into())]
    }

    async fn accept(&mut self) -> io::Result<(Self::Io, LocalAddr, RemoteAddr, Scheme)> {
        let (stream, remote) = self.listener.accept().await?;
        stream.set_nodelay(true)?;
        let mut number = 0;
        self.faults.send_modify(|f| {
            f.opened += 1;
            number = f.opened;
        });
        let receiver = self.faults.subscribe();
        let wire = Wire {
            stream,
            broken: Box::pin(broken(receiver, number)),
            fault: None,
        };
        let local = Addr::Custom(NUMBERED, number.to_string().into());
        Ok((
            wire,
            LocalAddr(local),
            RemoteAddr(remote.into()),
            Scheme::HTTP,
        ))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Reset,
    Silent,
}

/// Resolves when a fault reaches the connection.
async fn broken(mut receiver: watch::Receiver<Faults>, number: u64) -> Fault {
    let hit = receiver
        .wait_for(|f| number <= f.reset || number <= f.silent || f.cut.contains(&number))
        .await
        .map(|f| number <= f.silent && number > f.reset);
    match hit {
        Ok(true) => Fault::Silent,
        // The sender is gone together with the server.
        Ok(_) | Err(_) => Fault::Reset,
    }
}

/// A connection that a switch can break or silence.
struct Wire {
    stream: TcpStream,
    broken: BoxFuture<'static, Fault>,
    fault: Option<Fault>,
}

impl Wire {
    /// Returns the stream if no fault has reached the connection.
    fn healthy(&mut self, context: &mut Context<'_>) -> Poll<io::Result<Pin<&mut TcpStream>>> {
        if self.fault.is_none()
            && let Poll::Ready(fault) = self.broken.as_mut().poll(context)
        {
            self.fault = Some(fault);
        }
        match self.fault {
            None => Poll::Ready(Ok(Pin::new(&mut self.stream))),
            Some(Fault::Silent) => Poll::Pending,
            Some(Fault::Reset) => Poll::Ready(Err(io::ErrorKind::ConnectionReset.into())),
        }
    }
}

impl AsyncRead for Wire {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.healthy(context) {
            Poll::Ready(Ok(stream)) => stream.poll_read(context, buffer),
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncWrite for Wire {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.healthy(context) {
            Poll::Ready(Ok(stream)) => stream.poll_write(context, bytes),
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => Poll::Pending,
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.healthy(context) {
            Poll::Ready(Ok(stream)) => stream.poll_flush(context),
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => Poll::Pending,
        }
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.healthy(context) {
            Poll::Ready(Ok(stream)) => stream.poll_shutdown(context),
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => Poll::Pending,
        }
    }
}
