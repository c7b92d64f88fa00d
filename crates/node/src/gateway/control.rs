//! A control process: the replicated log, the directory of upstreams and the reports.
//!
//! One thread owns all state. Every task borrows it between two awaits and never across one.

mod leader;
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

use self::state::State;
use super::{
    message::{Refusal, Request},
    metrics::ControlStatus,
    socket,
};
use crate::{
    clock::Clock,
    control::disk::{Disk, Done, LOG},
};

/// Longest time that a command, read or confirmation may take. Callers give up after a second.
const CALL_LIMIT: Duration = Duration::from_millis(850);

/// Time since the last contact after which a control instance counts as out of reach.
const CONTACT: Span = Span::from_millis(900);

/// Interval at which an instance whose disk takes no writes tries it again.
const DISK_RETRY: Duration = Duration::from_millis(500);

/// File that is written to learn whether the disk takes writes.
const PROBE: &str = "probe";

/// Bytes of that file. A block that other files share would take fewer of them.
const PROBE_BYTES: usize = 64 * 1_024;

/// Settings of a control process, checked.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the instance.
    pub instance: name::Instance,
    /// Address for other processes of the system.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Interval at which upstreams announce themselves.
    pub announcement_interval: Span,
    /// Data folder.
    pub data_folder: PathBuf,
    /// Internal addresses of control instances to begin with.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time.
    pub bootstrap: bool,
}

/// Why a control process ended.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The internal address can't be bound.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the operating system says.
        source: io::Error,
    },
    /// The data folder can't be used.
    #[error("data folder: {0}")]
    Disk(String),
    /// The log is damaged.
    #[error("the log has been stopped: {0}")]
    Halted(String),
}

/// Access to a control process from its own thread.
#[derive(Clone, Debug)]
pub struct Handle(Rc<Shared>);

#[derive(Debug)]
struct Shared {
    settings: Settings,
    clock: Clock,
    state: RefCell<State>,
    /// Something was applied, polled or elected.
    changed: Notify,
    /// The replica can't go on.
    ended: Notify,
    /// Where the disk's thread reports to.
    written: mpsc::UnboundedSender<Done>,
}

/// Why [`Shared::run`] ended.
enum End {
    /// The identity was removed from the replica set.
    Removed,
    /// The log or the disk failed.
    Failed(Error),
}

/// Starts a control process and hands its handle to `ready` whenever the replica begins anew.
///
/// # Errors
///
/// Returns why it ended.
pub async fn run<R>(settings: Settings, mut ready: R) -> Result<(), Error>
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
        let (handle, done) = Handle::open(&settings, bootstrap)?;
        ready(handle.clone());
        match handle.0.clone().run(listener.clone(), done).await {
            End::Failed(error) => return Err(error),
            End::Removed => {
                log::warn!(event = "replica_removed"; "the identity was removed: begins anew");
                // The data folder is locked until the disk's thread has ended.
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

/// Returns the wall clock in milliseconds since the Unix epoch.
#[must_use]
pub fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}

/// Writes a file into the data folder and removes it.
fn probe(data: &Path) -> io::Result<()> {
    let path = data.join(PROBE);
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

/// Returns the identity of a founding replica, which all founders know from its address.
fn founder(address: SocketAddr) -> Identity {
    Identity::from_random(digest::mix(digest::of(address.to_string().as_bytes())))
}

fn founding(settings: &Settings) -> Option<Image> {
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
                id: founder(*address),
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
    Some(Image::founding(founder(settings.address), members))
}

impl Handle {
    fn open(
        settings: &Settings,
        bootstrap: bool,
    ) -> Result<(Self, mpsc::UnboundedReceiver<Done>), Error> {
        let fresh = if bootstrap { founding(settings) } else { None };
        let fresh = fresh.unwrap_or_else(|| Image::empty(Identity::from_random(random())));
        let (sender, done) = mpsc::unbounded_channel();
        let known = Disk::is_founded(&settings.data_folder);
        let (disk, content) =
            Disk::open(&settings.data_folder, fresh, sender.clone()).map_err(Error::Disk)?;
        log::info!(
            event = "replica_start", identity = content.image.id.to_string(), known,
            last = content.image.entries.last().map_or(content.image.snapshot.index, |e| e.index);
            "replica starts"
        );
        let clock = Clock::start();
        let state = State::new(settings, content.image, disk, clock.now()).map_err(Error::Disk)?;
        let shared = Shared {
            settings: settings.clone(),
            clock,
            state: RefCell::new(state),
            changed: Notify::new(),
            ended: Notify::new(),
            written: sender,
        };
        Ok((Self(Rc::new(shared)), done))
    }

    /// Merges an announcement and returns whether it may be confirmed.
    ///
    /// An instance out of reach of the majority confirms nothing, so that the upstream goes on to
    /// another one. That an upstream leaves is confirmed once a majority of the control instances
    /// knows it, because this one may end right after.
    pub async fn announce(&self, announcement: Announcement) -> bool {
        let leaving = announcement.phase == fleet::Phase::Leaving;
        let upstream = announcement.upstream.clone();
        let now = self.0.clock.now();
        let news = {
            let mut state = self.0.state.borrow_mut();
            let old = state.fleet.get(&upstream).map(|e| e.announcement.clone());
            let changed = old.is_none_or(|old| {
                old.phase != announcement.phase
                    || old.incarnation != announcement.incarnation
                    || old.cold_left.as_millis().min(1) != announcement.cold_left.as_millis().min(1)
            });
            let record = fleet::Record {
                announcement,
                age: Span::ZERO,
                silent: false,
            };
            let merged = state.fleet.merge(record, now);
            changed && merged
        };
        if news {
            self.0.log_upstream(&upstream);
        }
        if leaving {
            self.0.is_known_by_majority(&upstream).await
        } else {
            self.0.reaches_majority()
        }
    }

    /// Marks an upstream as leaving and returns whether that may be confirmed.
    pub async fn mark_leaving(&self, upstream: &str, incarnation: Option<u64>) -> bool {
        if self
            .0
            .state
            .borrow_mut()
            .fleet
            .mark_leaving(upstream, incarnation)
        {
            self.0.log_upstream(upstream);
        }
        self.0.is_known_by_majority(upstream).await
    }

    /// Appends a command to the log.
    ///
    /// # Errors
    ///
    /// Returns why it was not appended, or that this is not known.
    pub async fn submit(&self, command: Command) -> Result<(), Refusal> {
        let kind = state::describe(&command);
        let began = self.0.clock.now();
        let outcome = self.append(command).await;
        log::info!(
            event = "submitted", command = kind,
            outcome = outcome.map_or_else(|r| r.to_string(), |()| "confirmed".to_owned()),
            took_ms = self.0.clock.now().since(began).as_millis();
            "an operator's call is answered"
        );
        outcome
    }

    async fn append(&self, command: Command) -> Result<(), Refusal> {
        if let Command::Configure { revision, .. } = &command
            && *revision <= self.0.state.borrow().agreed.revision
            && !Fault::OldRevision.is_injected()
        {
            return Ok(());
        }
        self.0.ask_leader(&Request::Submit(command)).await.map(drop)
    }

    /// Returns the newest agreed state.
    ///
    /// # Errors
    ///
    /// Returns an error if this instance can't be sure which one is the newest.
    pub async fn read(&self) -> Result<Arc<replicated::State>, Refusal> {
        let index = self.0.ask_leader(&Request::Read).await?;
        self.0
            .applied(index)
            .await
            .map_err(|()| Refusal::NoLeader)?;
        Ok(self.0.state.borrow().agreed.clone())
    }

    /// Returns what this instance believes, for metrics.
    #[must_use]
    pub fn status(&self) -> ControlStatus {
        let state = self.0.state.borrow();
        let now = self.0.clock.now();
        let others = state.addresses(self.0.settings.address);
        let is_reached =
            |a: &&SocketAddr| state.contact(**a).is_some_and(|at| now.since(at) < CONTACT);
        ControlStatus {
            is_leader: state.is_leader(now),
            commit_index: state.replica.commit_index(),
            config_revision: state.agreed.revision,
            voters: state.replica.members().voters.len(),
            upstreams: state.fleet.entries().len(),
            reachable: others.iter().filter(is_reached).count(),
        }
    }

    /// Returns the address for other processes of the system.
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
    /// Runs the replica until it can't go on.
    async fn run(
        self: Rc<Self>,
        listener: Rc<TcpListener>,
        mut done: mpsc::UnboundedReceiver<Done>,
    ) -> End {
        let mut tasks = JoinSet::new();
        tasks.spawn_local(server::accept(self.clone(), listener));
        tasks.spawn_local(self.clone().poll_peers());
        tasks.spawn_local(self.clone().join());
        tasks.spawn_local(self.clone().duties());
        let mut ticks = interval(MAX_TICK_INTERVAL.to_std());
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.step(Event::Tick),
                Some(done) = done.recv() => match done {
                    Done::Records(sequence) => self.step(Event::Synced(sequence)),
                    Done::Bills(_) => {}
                    Done::Failed(reason) => {
                        log::error!(
                            event = "disk_failed", reason = &*reason;
                            "the disk takes no writes: stands aside"
                        );
                        self.state.borrow_mut().stand_aside();
                        tasks.spawn_local(self.clone().await_disk());
                    }
                },
                () = self.ended.notified() => {
                    let halted = self.state.borrow_mut().halted.take();
                    return match halted {
                        Some(reason) => End::Failed(Error::Halted(reason)),
                        None => End::Removed,
                    };
                }
            }
        }
    }

    /// Waits until the disk takes writes and takes part in the log again.
    ///
    /// What the failed write left behind is read back as after a restart, so that nothing counts as
    /// written that is not.
    async fn await_disk(self: Rc<Self>) {
        let data = &self.settings.data_folder;
        let image = loop {
            sleep(DISK_RETRY).await;
            let tried = data.clone();
            let probed = spawn_blocking(move || probe(&tried)).await;
            match probed.map_err(io::Error::other).flatten() {
                Ok(()) => {}
                Err(error) => {
                    log::debug!("the disk takes no writes yet: {error}");
                    continue;
                }
            }
            let fresh = Image::empty(Identity::from_random(random()));
            match Disk::open(data, fresh, self.written.clone()) {
                Ok((disk, content)) => break (content.image, disk),
                Err(reason) => log::warn!("the data folder can't be read: {reason}"),
            }
        };
        let rejoined = {
            let mut state = self.state.borrow_mut();
            state.rejoin(image.0, image.1, self.clock.now())
        };
        match rejoined {
            Ok(()) => {
                log::info!(event = "disk_back"; "the disk takes writes: takes part again");
            }
            Err(reason) => {
                self.state.borrow_mut().halted = Some(reason);
                self.ended.notify_one();
            }
        }
    }

    /// Steps the replica and carries out its actions.
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
        if let Some(entry) = state.fleet.get(upstream) {
            let said = &entry.announcement;
            log::info!(
                event = "upstream", upstream, service = &*said.service, address = &*said.address,
                domain = &*said.domain, version = &*said.version, phase:? = said.phase,
                cold_ms = said.cold_left.as_millis(), incarnation = said.incarnation,
                sequence = said.sequence;
                "an upstream has changed"
            );
        }
    }
}
