use std::{
    fs,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    sync::Arc,
    thread,
};

use masticlock::{
    client::{Control, Pool},
    clock::Clock,
    control::{self, Begin, Handle, Raw, Replica, Settings},
    feed,
};
use masticlock_core::{feed::InstanceInfo, name, time::Span};
use tokio::{runtime::Runtime, sync::oneshot};

use super::link::{Links, Meter, forward};

const SECRET: &str = "secret-of-the-control-bench";

/// Failure domains of the bench.
pub const DOMAINS: usize = 3;

/// Entry instances of the bench.
pub const ENTRIES: usize = 9;

/// Control replicas of the bench.
pub const REPLICAS: usize = 3;

/// Time limit of every call of the bench.
pub const LIMIT: Span = Span::from_secs(20);

/// Result of the parts of the bench, with the reason for the user.
pub type Outcome<T> = Result<T, String>;

/// Returns an error's text.
pub fn text<E>(error: E) -> String
where
    E: std::fmt::Display,
{
    error.to_string()
}

/// An entry instance that only follows the configuration.
struct Entry {
    meter: Arc<Meter>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<Outcome<()>>>,
}

/// Control replicas and entry instances on loopback.
pub struct World {
    folder: PathBuf,
    replicas: Vec<Replica>,
    real: Vec<SocketAddr>,
    handles: Vec<Option<Handle>>,
    /// Traffic between control replicas, by receiver.
    pub log_meters: Vec<Arc<Meter>>,
    /// Polls that control replicas answer.
    pub poll_meters: Vec<Arc<Meter>>,
    entries: Vec<Entry>,
    runtime: Runtime,
}

fn bind() -> Outcome<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(text)?;
    let address = listener.local_addr().map_err(text)?;
    Ok((listener, address))
}

/// Returns the failure domain of an instance.
pub fn domain(at: usize) -> Outcome<name::Domain> {
    name::Domain::try_from(format!("domain-{}", at % DOMAINS)).map_err(text)
}

impl World {
    /// Starts control replicas and entry instances with data below `folder`.
    pub fn start(folder: &Path) -> Outcome<Self> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .thread_name("bench")
            .enable_all()
            .build()
            .map_err(text)?;
        let mut world = Self {
            folder: folder.to_owned(),
            replicas: Vec::new(),
            real: Vec::new(),
            handles: Vec::new(),
            log_meters: (0..REPLICAS).map(|_| Arc::default()).collect(),
            poll_meters: (0..REPLICAS).map(|_| Arc::default()).collect(),
            entries: Vec::new(),
            runtime,
        };
        let mut listeners = Vec::new();
        for at in 0..REPLICAS {
            let (listener, real) = bind()?;
            let (link, address) = bind()?;
            world.carry(link, real, Arc::clone(&world.log_meters[at]))?;
            world.real.push(real);
            world.replicas.push(Replica {
                instance: name::Instance::try_from(format!("control-{at}")).map_err(text)?,
                address,
                domain: domain(at)?,
            });
            listeners.push(listener);
        }
        for (at, listener) in listeners.into_iter().enumerate() {
            let handle = control::start_on(world.settings(at)?, Begin::Found, listener);
            world.handles.push(Some(handle.map_err(text)?));
        }
        world.start_entries()?;
        Ok(world)
    }

    /// Counts what goes to a control replica from the others.
    fn carry(&self, link: TcpListener, target: SocketAddr, meter: Arc<Meter>) -> Outcome<()> {
        link.set_nonblocking(true).map_err(text)?;
        let _guard = self.runtime.enter();
        let link = tokio::net::TcpListener::from_std(link).map_err(text)?;
        self.runtime
            .spawn(forward(link, target, Arc::from([meter])));
        Ok(())
    }

    fn settings(&self, at: usize) -> Outcome<Settings> {
        let raw = Raw {
            instance: self.replicas[at].instance.clone(),
            folder: self.folder.join(format!("control-{at}")),
            secret: SECRET.into(),
            replicas: self.replicas.clone(),
            json_log: false,
            statsd: None,
        };
        Settings::try_from(raw).map_err(text)
    }

    fn control_addresses(&self) -> Vec<String> {
        self.replicas
            .iter()
            .map(|r| r.address.to_string())
            .collect()
    }

    fn start_entries(&mut self) -> Outcome<()> {
        let mut listeners = Vec::new();
        let mut targets = Vec::new();
        for ((name, real), meter) in self
            .control_addresses()
            .into_iter()
            .zip(&self.real)
            .zip(&self.poll_meters)
        {
            targets.push((name, *real, Arc::clone(meter)));
        }
        for _ in 0..ENTRIES {
            let (listener, address) = bind()?;
            targets.push((address.to_string(), address, Arc::default()));
            listeners.push(listener);
        }
        for (at, listener) in listeners.into_iter().enumerate() {
            let meter = Arc::clone(&targets[REPLICAS + at].2);
            let pool = Pool::new(SECRET).map_err(text)?;
            let runtime = self.runtime.handle().clone();
            let links = Links::new(pool, runtime, Arc::clone(&meter), targets.clone());
            let seat = InstanceInfo {
                instance: name::Instance::try_from(format!("entry-{at}")).map_err(text)?,
                domain: domain(at)?,
                address: targets[REPLICAS + at].0.clone(),
                incarnation: 1,
            };
            let control = self.control_addresses();
            let (stop, stopped) = oneshot::channel();
            let thread = thread::Builder::new()
                .name(format!("entry-{at}"))
                .spawn(move || run_entry(seat, control, links, listener, stopped))
                .map_err(text)?;
            self.entries.push(Entry {
                meter,
                stop: Some(stop),
                thread: Some(thread),
            });
        }
        Ok(())
    }

    /// Returns a client of the control replicas.
    pub fn client(&self) -> Outcome<Control> {
        let addresses = self.real.iter().map(ToString::to_string);
        Control::new(addresses.collect(), SECRET).map_err(text)
    }

    /// Runs a future on the bench's own threads.
    pub fn block_on<F>(&self, future: F) -> F::Output
    where
        F: Future,
    {
        self.runtime.block_on(future)
    }

    /// Cuts the polls of a failure domain's entry instances, or mends them.
    pub fn cut(&self, domain: usize, cut: bool) {
        for (at, entry) in self.entries.iter().enumerate() {
            if at % DOMAINS == domain {
                entry.meter.set_cut(cut);
            }
        }
    }

    /// Returns the bytes that went to and from each entry instance.
    pub fn entry_bytes(&self) -> Vec<u64> {
        self.entries.iter().map(|e| e.meter.bytes()).collect()
    }

    /// Stops a control replica and waits for its end.
    pub fn stop(&mut self, at: usize) -> Outcome<()> {
        let handle = self.handles[at].take().ok_or("the replica is stopped")?;
        handle.stop();
        handle.wait().map_err(text)
    }

    /// Starts a stopped control replica on its data folder.
    pub fn restart(&mut self, at: usize) -> Outcome<()> {
        let listener = TcpListener::bind(self.real[at]).map_err(text)?;
        let handle = control::start_on(self.settings(at)?, Begin::Join, listener);
        self.handles[at] = Some(handle.map_err(text)?);
        Ok(())
    }

    /// Returns the position of the leader.
    pub fn leader(&self, client: &Control) -> Outcome<usize> {
        let status = self.block_on(client.status(LIMIT)).map_err(text)?;
        let id = status.replica.id;
        let member = status.replica.voters.iter().find(|m| m.id == id);
        let instance = &member.ok_or("the leader is no voter")?.instance;
        self.replicas
            .iter()
            .position(|r| r.instance == *instance)
            .ok_or_else(|| "the leader is unknown".into())
    }

    /// Returns the bytes of the largest data folder.
    pub fn folder_bytes(&self) -> Outcome<u64> {
        let mut largest = 0;
        for at in 0..REPLICAS {
            largest = largest.max(size(&self.folder.join(format!("control-{at}")))?);
        }
        Ok(largest)
    }

    /// Ends all parts.
    pub fn end(mut self) -> Outcome<()> {
        for entry in &mut self.entries {
            // An entry instance that has ended tells why below.
            let _ended = entry.stop.take().map(|stop| stop.send(()));
            if let Some(thread) = entry.thread.take() {
                thread.join().map_err(|_| "an entry instance panicked")??;
            }
        }
        for at in 0..REPLICAS {
            if self.handles[at].is_some() {
                self.stop(at)?;
            }
        }
        Ok(())
    }
}

fn size(folder: &Path) -> Outcome<u64> {
    let mut sum = 0;
    for entry in fs::read_dir(folder).map_err(text)? {
        let entry = entry.map_err(text)?;
        let meta = entry.metadata().map_err(text)?;
        sum += if meta.is_dir() {
            size(&entry.path())?
        } else {
            meta.len()
        };
    }
    Ok(sum)
}

fn run_entry(
    seat: InstanceInfo,
    control: Vec<String>,
    links: Links,
    listener: TcpListener,
    stopped: oneshot::Receiver<()>,
) -> Outcome<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(text)?;
    runtime.block_on(async move {
        let (feed, _records) = feed::start(seat, control, Arc::new(links), Clock::start());
        let methods = feed::methods(feed).map_err(text)?;
        let stop = async move {
            // The sender goes when the bench ends early.
            let _gone = stopped.await;
        };
        control::serve(listener, methods.into(), SECRET, stop)
            .await
            .map_err(text)
    })
}
