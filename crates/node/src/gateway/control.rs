//! Control process: the replicated log, the directory of upstreams and the reports.
//!
//! One thread owns all state. No task holds a borrow of the state across an await.

mod entry_peers;
mod leader;
mod library;
mod requests;
mod server;
mod state;
mod tasks;

use std::{
    cell::RefCell,
    fs::{self, File},
    io::{self, Write},
    net::SocketAddr,
    path::{Path, PathBuf},
    rc::Rc,
    sync::Arc,
    time::{Duration, SystemTime},
};

use masticlock_core::{
    consensus::{Event, Identity, Image, MAX_TICK_INTERVAL, Member, Members},
    digest,
    fault::Fault,
    fleet::{self, Announcement},
    name,
    replicated::{self, Command},
    time::Span,
};
use tokio::{
    net::TcpListener,
    sync::{Notify, mpsc},
    task::{JoinSet, spawn_blocking},
    time::{MissedTickBehavior, interval, sleep},
};

pub use self::state::MAX_CONFIG_BYTES;
use self::state::State;
use super::{
    memory::Budget,
    message::{Refusal, Request},
    metrics::ControlStatus,
    socket,
};
use crate::{
    clock::Clock,
    control::disk::{Disk, Done, LOG},
};

/// Longest time that a command, read or confirmation may take. It is shorter than the second after
/// which callers give up.
const CALL_TIMEOUT: Duration = Duration::from_millis(850);

/// Time since the last contact after which a control instance counts as unreachable.
const CONTACT_TIMEOUT: Span = Span::from_millis(900);

/// Interval at which an instance whose disk takes no writes probes it.
const DISK_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// File written to the data folder to probe whether the disk takes writes.
const PROBE_FILE: &str = "probe";

/// Size of the probe file. A smaller file could fit into a block that it shares with other files,
/// also when no block is free.
const PROBE_BYTES: usize = 64 * 1_024;

/// Validated settings of a control process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the instance.
    pub instance: name::Instance,
    /// Internal address, for other processes of the system.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Interval at which upstreams announce themselves.
    pub announcement_interval: Span,
    /// Data folder.
    pub data_folder: PathBuf,
    /// Internal addresses of the control instances to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time and the seeds form the replica set.
    pub bootstrap: bool,
    /// Memory of the machine in bytes, if it is limited.
    pub memory_limit: Option<u64>,
    /// Maximum number of descriptors of the process for sockets and data files, if it is limited.
    pub max_descriptors: Option<u64>,
    /// Returns whether a configuration needs keys.
    pub needs_keys: fn(&[u8]) -> bool,
}

/// Why a control process ended.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The internal address can't be bound.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The data folder can't be used.
    #[error("data folder: {0}")]
    Disk(String),
    /// The log is corrupt.
    #[error("the replica was halted: {0}")]
    Halted(String),
}

/// Handle to a control process, for the thread that runs it.
#[derive(Clone, Debug)]
pub struct Handle(Rc<Shared>);

#[derive(Debug)]
struct Shared {
    settings: Settings,
    /// Room for what other processes send.
    memory: Rc<Budget>,
    clock: Clock,
    state: RefCell<State>,
    /// Notified after each step of the replica and each poll.
    changed: Notify,
    /// Notified when the replica was halted or removed.
    ended: Notify,
    /// Channel for the results of the disk thread.
    disk_results: mpsc::UnboundedSender<Done>,
}

/// Why [`Shared::run`] returned.
enum Exit {
    /// The identity was removed from the replica set.
    Removed,
    /// The log or the disk failed.
    Failed(Error),
}

/// Runs a control process as [`run_with`] does, whose messages have the room to themselves.
///
/// # Errors
///
/// Returns the same errors as [`run_with`].
pub async fn run<R>(settings: Settings, ready: R) -> Result<(), Error>
where
    R: FnMut(Handle),
{
    let memory = Rc::new(Budget::new(settings.memory_limit, Clock::start()));
    run_with(settings, memory, ready).await
}

/// Runs a control process and passes its handle to `ready` each time that a replica starts. What other
/// processes send is held in the room of `memory`.
///
/// A replica that was removed from the replica set starts again with a new identity and an empty
/// log.
///
/// # Errors
///
/// Returns an error if the address can't be bound, the data folder can't be used or the log is
/// corrupt.
pub async fn run_with<R>(settings: Settings, memory: Rc<Budget>, mut ready: R) -> Result<(), Error>
where
    R: FnMut(Handle),
{
    let listener = Rc::new(
        socket::listen(settings.address).map_err(|source| Error::Listen {
            address: settings.address,
            source,
        })?,
    );
    let mut bootstrap = settings.bootstrap;
    loop {
        let (handle, results) = Handle::open(&settings, memory.clone(), bootstrap)?;
        ready(handle.clone());
        match handle.0.clone().run(listener.clone(), results).await {
            Exit::Failed(error) => return Err(error),
            Exit::Removed => {
                log::warn!(
                    event = "replica_removed";
                    "the replica was removed from the set: starting with a new identity"
                );
                // The data folder is locked until the disk thread has ended.
                handle.0.state.borrow_mut().disk = None;
                let folder = settings.data_folder.join(LOG);
                fs::remove_dir_all(&folder).map_err(|e| Error::Disk(e.to_string()))?;
                bootstrap = false;
            }
        }
    }
}

fn random() -> u64 {
    rand::random()
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
#[must_use]
pub fn unix_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    elapsed.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}

/// Writes the probe file to the data folder and removes it.
fn probe_disk(folder: &Path) -> io::Result<()> {
    let path = folder.join(PROBE_FILE);
    let written = File::create(&path).and_then(|mut file| {
        file.write_all(&vec![0; PROBE_BYTES])?;
        file.sync_all()
    });
    match fs::remove_file(&path) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
        Ok(()) | Err(_) => {}
    }
    written
}

/// Returns the identity of a founding replica, which the other ones derive from its address too.
fn founder_identity(address: SocketAddr) -> Identity {
    Identity::from_random(digest::mix(digest::of(address.to_string().as_bytes())))
}

/// Returns the initial image of a founding replica, or `None` if this instance is no seed.
fn founding_image(settings: &Settings) -> Option<Image> {
    if !settings.seeds.contains(&settings.address) {
        return None;
    }
    let mut voters: Vec<_> = settings
        .seeds
        .iter()
        .filter_map(|address| {
            let text = address.to_string();
            let instance = name::Instance::try_from(text.as_str()).ok()?;
            Some(Member {
                id: founder_identity(*address),
                instance,
                address: text,
            })
        })
        .collect();
    voters.sort_by_key(|m| m.id);
    voters.dedup_by_key(|m| m.id);
    let members = Members {
        voters,
        ..Members::default()
    };
    Some(Image::founding(founder_identity(settings.address), members))
}

impl Handle {
    /// Opens the data folder and returns the handle and the results of the disk thread.
    fn open(
        settings: &Settings,
        memory: Rc<Budget>,
        bootstrap: bool,
    ) -> Result<(Self, mpsc::UnboundedReceiver<Done>), Error> {
        let founding = if bootstrap {
            founding_image(settings)
        } else {
            None
        };
        let initial = founding.unwrap_or_else(|| Image::empty(Identity::from_random(random())));
        let (sender, results) = mpsc::unbounded_channel();
        let is_founded = Disk::is_founded(&settings.data_folder);
        let (disk, content) =
            Disk::open(&settings.data_folder, initial, sender.clone()).map_err(Error::Disk)?;
        log::info!(
            event = "replica_start", identity = content.image.id.to_string(), known = is_founded,
            last = content.image.entries.last().map_or(content.image.snapshot.index, |e| e.index);
            "starting the replica"
        );
        let clock = Clock::start();
        let state = State::new(settings, content.image, disk, clock.now()).map_err(Error::Disk)?;
        let shared = Shared {
            settings: settings.clone(),
            memory,
            clock,
            state: RefCell::new(state),
            changed: Notify::new(),
            ended: Notify::new(),
            disk_results: sender,
        };
        Ok((Self(Rc::new(shared)), results))
    }

    /// Merges an announcement and returns whether it may be confirmed.
    ///
    /// An instance that does not reach the majority confirms nothing, so that the upstream turns to
    /// another one. That an upstream is leaving is confirmed once a majority of the control instances
    /// has received it, because this one may end right after.
    pub async fn announce(&self, announcement: Announcement) -> bool {
        let leaving = announcement.phase == fleet::Phase::Leaving;
        let upstream = announcement.upstream.clone();
        let now = self.0.clock.now();
        let has_changed = {
            let mut state = self.0.state.borrow_mut();
            let old = state
                .directory
                .get(&upstream)
                .map(|e| e.announcement.clone());
            let changed = old.is_none_or(|old| {
                old.phase != announcement.phase
                    || old.incarnation != announcement.incarnation
                    || old.cold_left.as_millis().min(1) != announcement.cold_left.as_millis().min(1)
            });
            let record = fleet::Record {
                announcement,
                age: Span::ZERO,
                silent: false,
                limit: None,
            };
            let merged = state.directory.merge(record, now);
            changed && merged
        };
        if has_changed {
            self.0.log_upstream(&upstream);
        }
        if leaving {
            self.0.await_majority_receipt(&upstream).await
        } else {
            self.0.reaches_majority()
        }
    }

    /// Marks an upstream as leaving and returns whether a majority of the control instances has
    /// received that.
    pub async fn mark_leaving(&self, upstream: &str, incarnation: Option<u64>) -> bool {
        if self
            .0
            .state
            .borrow_mut()
            .directory
            .mark_leaving(upstream, incarnation)
        {
            self.0.log_upstream(upstream);
        }
        self.0.await_majority_receipt(upstream).await
    }

    /// Appends a command to the log and logs the outcome.
    ///
    /// # Errors
    ///
    /// Returns why the command was not appended, or [`Refusal::Unknown`] if it may have been.
    pub async fn submit(&self, command: Command) -> Result<(), Refusal> {
        let kind = state::describe(&command);
        let began = self.0.clock.now();
        let outcome = self.append(command).await;
        log::info!(
            event = "submitted", command = kind,
            outcome = outcome.map_or_else(|r| r.to_string(), |()| "confirmed".to_owned()),
            took_ms = self.0.clock.now().since(began).as_millis();
            "an operator's command was handled"
        );
        outcome
    }

    /// Appends a command to the log. A configuration that is not newer than the current one succeeds
    /// without an effect.
    async fn append(&self, command: Command) -> Result<(), Refusal> {
        if let Command::Configure { revision, .. } = &command
            && *revision <= self.0.state.borrow().agreed.revision
            && !Fault::OldRevision.is_injected()
        {
            return Ok(());
        }
        self.0
            .call_leader(&Request::Submit(command))
            .await
            .map(drop)
    }

    /// Returns the newest agreed state.
    ///
    /// # Errors
    ///
    /// Returns an error if no leader confirms which state is the newest, or it is not applied in
    /// time.
    pub async fn read(&self) -> Result<Arc<replicated::State>, Refusal> {
        let index = self.0.call_leader(&Request::Read).await?;
        self.0
            .await_commit(index)
            .await
            .map_err(|()| Refusal::NoLeader)?;
        Ok(self.0.state.borrow().agreed.clone())
    }

    /// Returns the status of this instance for the metrics.
    #[must_use]
    pub fn status(&self) -> ControlStatus {
        let state = self.0.state.borrow();
        let now = self.0.clock.now();
        let peers = state.peer_addresses(self.0.settings.address);
        let is_reachable = |a: &&SocketAddr| {
            state
                .last_answer(**a)
                .is_some_and(|at| now.since(at) < CONTACT_TIMEOUT)
        };
        ControlStatus {
            is_leader: state.is_leader(now),
            commit_index: state.replica.commit_index(),
            config_revision: state.agreed.revision,
            voters: state.replica.members().voters.len(),
            upstreams: state.directory.entries().len(),
            reachable: peers.iter().filter(is_reachable).count(),
            log_bytes: state.replica.log_bytes(),
        }
    }

    /// Returns the internal address, for other processes of the system.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.0.settings.address
    }

    /// Returns whether this instance leads with a valid lease.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        self.0.is_leader()
    }
}

impl Shared {
    /// Runs the replica until it is halted or removed from the replica set.
    async fn run(
        self: Rc<Self>,
        listener: Rc<TcpListener>,
        mut results: mpsc::UnboundedReceiver<Done>,
    ) -> Exit {
        let mut tasks = JoinSet::new();
        tasks.spawn_local(server::accept(self.clone(), listener));
        tasks.spawn_local(self.clone().poll_peers());
        tasks.spawn_local(self.clone().join_replica_set());
        tasks.spawn_local(self.clone().maintain());
        let mut ticks = interval(MAX_TICK_INTERVAL.to_std());
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.step(Event::Tick),
                Some(result) = results.recv() => match result {
                    Done::Records(sequence) => self.step(Event::Synced(sequence)),
                    Done::Bills(_) => {}
                    Done::Failed(reason) => {
                        log::error!(
                            event = "disk_failed", reason = &*reason;
                            "the disk takes no writes: the replica is suspended"
                        );
                        self.state.borrow_mut().suspend();
                        tasks.spawn_local(self.clone().await_disk_recovery());
                    }
                },
                () = self.ended.notified() => {
                    let halted = self.state.borrow_mut().halted.take();
                    return match halted {
                        Some(reason) => Exit::Failed(Error::Halted(reason)),
                        None => Exit::Removed,
                    };
                }
            }
        }
    }

    /// Waits until the disk takes writes and resumes the replica.
    ///
    /// The log is read back from the disk as after a restart, so that nothing counts as written that
    /// the failed write did not store.
    async fn await_disk_recovery(self: Rc<Self>) {
        let folder = &self.settings.data_folder;
        let restored = loop {
            sleep(DISK_RETRY_INTERVAL).await;
            let probe_folder = folder.clone();
            let probed = spawn_blocking(move || probe_disk(&probe_folder)).await;
            match probed.map_err(io::Error::other).flatten() {
                Ok(()) => {}
                Err(error) => {
                    log::debug!("the disk still takes no writes: {error}");
                    continue;
                }
            }
            let initial = Image::empty(Identity::from_random(random()));
            match Disk::open(folder, initial, self.disk_results.clone()) {
                Ok((disk, content)) => break (content.image, disk),
                Err(reason) => log::warn!("can't read the data folder: {reason}"),
            }
        };
        let resumed = {
            let mut state = self.state.borrow_mut();
            state.resume(restored.0, restored.1, self.clock.now())
        };
        match resumed {
            Ok(()) => {
                log::info!(event = "disk_back"; "the disk takes writes: the replica resumes");
            }
            Err(reason) => {
                self.state.borrow_mut().halted = Some(reason);
                self.ended.notify_one();
            }
        }
    }

    /// Steps the replica and executes its actions.
    fn step(&self, event: Event) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let halted = state.step(event, now);
        drop(state);
        if halted {
            self.ended.notify_one();
        }
        self.changed.notify_waiters();
    }

    fn is_leader(&self) -> bool {
        self.state.borrow().is_leader(self.clock.now())
    }

    fn log_upstream(&self, upstream: &str) {
        let state = self.state.borrow();
        if let Some(entry) = state.directory.get(upstream) {
            let announced = &entry.announcement;
            log::info!(
                event = "upstream", upstream, service = &*announced.service,
                address = &*announced.address, domain = &*announced.domain,
                version = &*announced.version, phase:? = announced.phase,
                cold_ms = announced.cold_left.as_millis(), incarnation = announced.incarnation,
                sequence = announced.sequence;
                "an upstream has changed"
            );
        }
    }
}
