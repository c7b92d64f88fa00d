use std::{net::SocketAddr, sync::Arc, thread, time::Duration};

use jsonrpsee::Methods;
use masticlock_core::{
    consensus::{self, Event, Identity, Image, Member, Members, Message},
    ledger,
    time::Span,
    timeline::EventKind,
};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{Instant, MissedTickBehavior, interval, sleep},
};

use super::{
    bills::Bills,
    disk::{Content, Disk, Done},
    http,
    job::{self, Job, MAX_JOBS},
    metrics::Metrics,
    peer::Peers,
    settings::Settings,
    state::{Parts, State},
};
use crate::{
    client::{ATTEMPT, Control, Pool},
    clock::Clock,
    journal::Journal,
    rpc,
};

/// Interval of the housekeeping.
const HOUSEKEEPING: Duration = Duration::from_secs(1);

/// Interval at which bills of other replicas are fetched.
const BILL_EXCHANGE: Duration = Duration::from_secs(5);

/// Interval at which a new replica asks to take part.
const JOIN_INTERVAL: Duration = Duration::from_millis(500);

/// Time limit of the question whether other replicas have a log.
const FOUNDING_LIMIT: Span = Span::from_millis(250);

/// How long open proposals may take after the stop was asked for.
const DRAIN: Duration = Duration::from_secs(2);

/// What a replica without data does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Begin {
    /// Founds a new log together with all replicas of the settings. Used once.
    Found,
    /// Joins the log of the other replicas with a new identity.
    Join,
}

/// Why a control replica ended.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The address can't be bound or a thread can't be started.
    #[error("can't start: {0}")]
    Start(String),
    /// The data folder can't be used.
    #[error("data folder: {0}")]
    Storage(String),
    /// The replica stopped because its data can't be trusted any more.
    #[error("stopped: {0}")]
    Halted(String),
}

/// A running control replica.
#[derive(Debug)]
pub struct Handle {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    thread: thread::JoinHandle<Result<(), Error>>,
}

impl Handle {
    /// Returns the address at which it answers.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Asks it to finish its open calls and end.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }

    /// Returns whether it has ended.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.thread.is_finished()
    }

    /// Waits for its end.
    ///
    /// # Errors
    ///
    /// Returns why it ended before it was asked to.
    pub fn wait(self) -> Result<(), Error> {
        self.thread
            .join()
            .unwrap_or_else(|_| Err(Error::Halted("the control thread panicked".into())))
    }
}

/// Starts a control replica on the address of its settings.
///
/// # Errors
///
/// Returns an error if the address can't be bound or the data folder can't be used.
pub fn start(settings: Settings, begin: Begin) -> Result<Handle, Error> {
    let listener = std::net::TcpListener::bind(settings.own.address)
        .map_err(|e| Error::Start(format!("{}: {e}", settings.own.address)))?;
    start_on(settings, begin, listener)
}

/// Starts a control replica on a listener that is bound to the address of its settings.
///
/// # Errors
///
/// Returns an error if the data folder can't be used.
pub fn start_on(
    settings: Settings,
    begin: Begin,
    listener: std::net::TcpListener,
) -> Result<Handle, Error> {
    let failed = |e: std::io::Error| Error::Start(e.to_string());
    let address = listener.local_addr().map_err(failed)?;
    let (stop, stopped) = watch::channel(false);
    let (done, disk_done) = mpsc::unbounded_channel();
    if begin == Begin::Found && !Disk::is_founded(&settings.folder) {
        refuse_second_founding(&settings)?;
    }
    let fresh = fresh_image(&settings, begin);
    let (disk, content) = Disk::open(&settings.folder, fresh, done).map_err(Error::Storage)?;
    let part = Part {
        settings,
        listener,
        disk,
        content,
        disk_done,
        stopped,
    };
    let thread = thread::Builder::new()
        .name("control".into())
        .spawn(move || {
            tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .map_err(failed)?
                .block_on(part.run())
        })
        .map_err(failed)?;
    Ok(Handle {
        address,
        stop,
        thread,
    })
}

/// Refuses to found a log that the other replicas have already.
///
/// A founding identity that lost its data may have voted, so it must not come
/// back: the replica joins with a new identity instead.
fn refuse_second_founding(settings: &Settings) -> Result<(), Error> {
    let settings = settings.clone();
    // The caller may be on a runtime, which can't wait for another one.
    let asked = thread::spawn(move || -> Result<Option<String>, String> {
        let pool = Pool::new(&settings.secret).map_err(|e| e.to_string())?;
        let asked = settings.others().into_iter().map(|address| {
            let pool = &pool;
            async move {
                let status: Result<consensus::Status, _> = pool
                    .call(&address, rpc::REPLICA_STATUS, &(), FOUNDING_LIMIT)
                    .await;
                status.is_ok_and(|s| s.term > 0).then_some(address)
            }
        });
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|e| e.to_string())?;
        let answers = runtime.block_on(futures_util::future::join_all(asked));
        Ok(answers.into_iter().flatten().next())
    });
    let asked = asked
        .join()
        .unwrap_or_else(|_| Err("the question to the other replicas panicked".into()));
    match asked.map_err(Error::Start)? {
        None => Ok(()),
        Some(address) => Err(Error::Start(format!(
            "the replica at {address} has a log already; join it instead of founding another one"
        ))),
    }
}

fn fresh_image(settings: &Settings, begin: Begin) -> Image {
    match begin {
        Begin::Found => {
            let members = Members {
                voters: settings.founders(),
                ..Members::default()
            };
            Image::founding(settings.founding_identity(&settings.own.instance), members)
        }
        Begin::Join => Image::empty(Identity::from_random(rand::random())),
    }
}

struct Part {
    settings: Settings,
    listener: std::net::TcpListener,
    disk: Disk,
    content: Content,
    disk_done: mpsc::UnboundedReceiver<Done>,
    stopped: watch::Receiver<bool>,
}

impl Part {
    async fn run(self) -> Result<(), Error> {
        let settings = Arc::new(self.settings);
        let start = |e: &dyn std::fmt::Display| Error::Start(e.to_string());
        let pool = Arc::new(Pool::new(&settings.secret).map_err(|e| start(&e))?);
        let own = settings.member(self.content.image.id);
        let bills = read_bills(&self.content.bills)?;
        let joins = self.content.image.snapshot.members.voters.is_empty()
            && self.content.image.entries.is_empty();
        let journal = Journal::new(settings.own.instance.clone());
        journal.record(EventKind::Started);
        let (returned, answers) = mpsc::channel(MAX_JOBS);
        let metrics =
            Metrics::new(settings.statsd, settings.own.instance.as_str()).map_err(|e| start(&e))?;
        let mut state = State::new(Parts {
            clock: Clock::start(),
            seed: rand::random(),
            image: self.content.image,
            bills,
            disk: self.disk,
            peers: Peers::new(Arc::clone(&pool), own.clone(), returned),
            journal,
            metrics,
        })
        .map_err(Error::Storage)?;
        state.housekeeping();
        let (jobs, receiver) = mpsc::channel(MAX_JOBS);
        let methods = job::methods(jobs.clone()).map_err(|e| start(&e))?;
        let server = tokio::spawn(serve(
            self.listener,
            methods.into(),
            Arc::clone(&settings),
            self.stopped.clone(),
        ));
        if joins {
            tokio::spawn(join(Arc::clone(&settings), own));
        }
        tokio::spawn(exchange_bills(Arc::clone(&settings), pool, jobs));
        let inputs = Inputs {
            jobs: receiver,
            answers,
            disk: self.disk_done,
            stopped: self.stopped,
        };
        let result = inputs.run(&mut state).await;
        if result.is_ok() {
            // A join error is a panic of the server, which was reported where it happened.
            let _panic = server.await;
        }
        result
    }
}

fn read_bills(lines: &[String]) -> Result<Bills, Error> {
    let mut bills = Bills::default();
    for (at, line) in lines.iter().enumerate() {
        let bill: ledger::Bill = serde_json::from_str(line)
            .map_err(|e| Error::Storage(format!("line {} of the bills: {e}", at + 1)))?;
        bills.put(bill);
    }
    Ok(bills)
}

async fn serve(
    listener: std::net::TcpListener,
    methods: Methods,
    settings: Arc<Settings>,
    mut stopped: watch::Receiver<bool>,
) {
    let stop = async move {
        // The sender goes only with the handle, which ends nothing.
        if stopped.wait_for(|stop| *stop).await.is_err() {
            std::future::pending::<()>().await;
        }
    };
    if let Err(error) = http::serve(listener, methods, &settings.secret, stop).await {
        log::error!("the listener failed: {error}");
    }
}

struct Inputs {
    jobs: mpsc::Receiver<Job>,
    /// Messages that other replicas returned from a call.
    answers: mpsc::Receiver<Vec<Message>>,
    disk: mpsc::UnboundedReceiver<Done>,
    stopped: watch::Receiver<bool>,
}

impl Inputs {
    async fn run(mut self, state: &mut State) -> Result<(), Error> {
        let mut tick = interval(consensus::MAX_TICK_INTERVAL.to_std());
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut second = interval(HOUSEKEEPING);
        second.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut drained_by: Option<Instant> = None;
        loop {
            tokio::select! {
                Some(done) = self.disk.recv() => state.done(done),
                Some(job) = self.jobs.recv() => state.job(job),
                Some(messages) = self.answers.recv() => {
                    for message in messages {
                        state.step(Event::Received(message));
                    }
                }
                _ = tick.tick() => state.step(Event::Tick),
                _ = second.tick() => state.housekeeping(),
                Ok(_) = self.stopped.wait_for(|stop| *stop), if drained_by.is_none() => {
                    drained_by = Some(Instant::now() + DRAIN);
                    state.stop();
                }
            }
            // Whatever happened may have answered a poll or put a revision in force.
            state.wake();
            if let Some(reason) = state.halted.take() {
                return Err(Error::Halted(reason));
            }
            if drained_by.is_some_and(|end| state.is_idle() || Instant::now() >= end) {
                return Ok(());
            }
        }
    }
}

async fn join(settings: Arc<Settings>, member: Member) {
    let control = match Control::new(settings.others(), &settings.secret) {
        Ok(control) => control,
        Err(error) => return log::error!("can't join: {error}"),
    };
    let join = rpc::Join { member };
    loop {
        let joined: Result<(), _> = control
            .call(rpc::REPLICA_JOIN, &join, ATTEMPT, ATTEMPT.times(2))
            .await;
        match joined {
            Ok(()) => return log::info!("joined as {}", join.member.id),
            Err(error) => log::warn!("not joined yet: {error}"),
        }
        sleep(JOIN_INTERVAL).await;
    }
}

async fn exchange_bills(settings: Arc<Settings>, pool: Arc<Pool>, jobs: mpsc::Sender<Job>) {
    let mut positions: Vec<(String, u64)> = settings.others().into_iter().map(|a| (a, 0)).collect();
    loop {
        sleep(BILL_EXCHANGE).await;
        for (address, from) in &mut positions {
            let params = rpc::BillsFrom { from: *from };
            let page: Result<rpc::BillPage, _> = pool
                .call(address, rpc::BILL_LIST, &params, Span::from_secs(2))
                .await;
            let Ok(page) = page else { continue };
            // A replica that lost its disk starts its list again.
            if page.end < *from {
                *from = 0;
                continue;
            }
            if page.bills.is_empty() {
                continue;
            }
            let (reply, stored) = oneshot::channel();
            let put = Job::Put(rpc::Bills { bills: page.bills }, reply);
            if jobs.send(put).await.is_err() {
                return;
            }
            if matches!(stored.await, Ok(Ok(_))) {
                *from = page.next;
            }
        }
    }
}
