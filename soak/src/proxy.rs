//! A loopback proxy whose connections can be delayed, reset, cut one way or silenced.

use std::{cell::RefCell, io, net::SocketAddr, rc::Rc, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpSocket, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    task::{JoinHandle, spawn_local},
    time::sleep,
};

/// Bytes that are forwarded at once.
const PIECE: usize = 16_384;

/// Pause until a port that is still in use is tried again.
const PORT_PAUSE: Duration = Duration::from_millis(20);

/// What a proxy does with its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Forwards.
    #[default]
    Pass,
    /// Forwards each piece so many milliseconds later.
    Delay(u64),
    /// Forwards nothing towards the target.
    MuteForward,
    /// Forwards nothing from the target.
    MuteBackward,
    /// Forwards nothing.
    Silent,
}

/// A proxy.
#[derive(Debug)]
pub struct Proxy {
    listen: SocketAddr,
    target: SocketAddr,
    mode: watch::Sender<Mode>,
    /// Changes when all connections are reset.
    resets: watch::Sender<u64>,
    accepting: RefCell<Option<JoinHandle<()>>>,
}

impl Proxy {
    /// Starts a proxy.
    ///
    /// # Errors
    ///
    /// Returns an error if its address can't be bound.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> io::Result<Rc<Self>> {
        let proxy = Rc::new(Self {
            listen,
            target,
            mode: watch::Sender::default(),
            resets: watch::Sender::default(),
            accepting: RefCell::default(),
        });
        proxy.open().await?;
        Ok(proxy)
    }

    /// Sets what happens to the connections from now on.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    /// Resets all connections.
    pub fn reset(&self) {
        self.resets.send_modify(|n| *n += 1);
    }

    /// Resets all connections and refuses new ones.
    pub fn close(&self) {
        if let Some(task) = self.accepting.borrow_mut().take() {
            task.abort();
        }
        self.reset();
    }

    /// Accepts connections again.
    ///
    /// # Errors
    ///
    /// Returns an error if its address can't be bound.
    pub async fn open(self: &Rc<Self>) -> io::Result<()> {
        let listener = listen(self.listen).await?;
        let proxy = self.clone();
        let task = spawn_local(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => {
                        spawn_local(proxy.clone().forward(stream));
                    }
                    Err(error) => {
                        eprintln!("proxy {}: {error}", proxy.listen);
                        sleep(PORT_PAUSE).await;
                    }
                }
            }
        });
        *self.accepting.borrow_mut() = Some(task);
        Ok(())
    }

    async fn forward(self: Rc<Self>, near: TcpStream) {
        let Ok(far) = TcpStream::connect(self.target).await else {
            // Resets the connection, as a target that is gone would.
            let _closed = socket2::SockRef::from(&near).set_linger(Some(Duration::ZERO));
            return;
        };
        let _delayed = (near.set_nodelay(true), far.set_nodelay(true));
        let mut resets = self.resets.subscribe();
        let linger = [&near, &far].map(|s| socket2::SockRef::from(s).try_clone());
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        let forward = pump(
            near_read,
            far_write,
            self.mode.subscribe(),
            Mode::MuteForward,
        );
        let backward = pump(
            far_read,
            near_write,
            self.mode.subscribe(),
            Mode::MuteBackward,
        );
        let both = async { tokio::join!(forward, backward) };
        tokio::select! {
            _ = both => {}
            _ = resets.changed() => {
                for socket in linger.into_iter().flatten() {
                    let _closed = socket.set_linger(Some(Duration::ZERO));
                }
            }
        }
    }
}

/// Binds an address, which may be in use by connections that are about to end.
///
/// # Errors
///
/// Returns an error if it stays in use.
pub async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    for _ in 0..100 {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        match socket.bind(address) {
            Ok(()) => return socket.listen(256),
            Err(_) => sleep(PORT_PAUSE).await,
        }
    }
    let socket = TcpSocket::new_v4()?;
    socket.bind(address)?;
    socket.listen(256)
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<Mode>,
    muted: Mode,
) {
    let mut piece = vec![0; PIECE];
    loop {
        let count = match from.read(&mut piece).await {
            Ok(0) => {
                let _gone = to.shutdown().await;
                return;
            }
            Ok(count) => count,
            Err(_) => return,
        };
        let passes = |m: &Mode| *m != muted && *m != Mode::Silent;
        let Ok(now) = mode.wait_for(passes).await.map(|m| *m) else {
            return;
        };
        if let Mode::Delay(millis) = now {
            sleep(Duration::from_millis(millis)).await;
        }
        if to.write_all(&piece[..count]).await.is_err() {
            return;
        }
    }
}
