//! The entry instance's side of the configuration feed, which also serves as a relay.

use std::{fmt, sync::Arc, time::Duration};

use futures_util::future::BoxFuture;
use jsonrpsee::{RpcModule, core::RegisterMethodError};
use masticlock_core::{
    config::Config,
    error,
    feed::{self, Client, InstanceInfo, Outgoing, Poll, Record, Reply, Source},
    time::{Span, Time},
};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{Instant, MissedTickBehavior, interval},
};

use crate::{
    client::Pool,
    clock::Clock,
    rpc::{self, Failure},
};

/// Interval at which held polls are looked at.
const TICK: Duration = Duration::from_millis(50);

/// Pause after a poll that failed.
const PAUSE: Duration = Duration::from_millis(50);

/// Time limit of an urgent poll, which is not held.
const URGENT_LIMIT: Span = feed::POLL_MARGIN;

/// Most calls and polls that wait for the task.
const MAX_JOBS: usize = 1_024;

/// Sends polls to relays and control replicas.
pub trait Transport: fmt::Debug + Send + Sync {
    /// Sends a poll and waits for its answer, at most for the limit.
    fn poll<'a>(
        &'a self,
        address: &'a str,
        poll: &'a Poll,
        limit: Span,
    ) -> BoxFuture<'a, Result<Reply, Failure>>;
}

impl Transport for Pool {
    fn poll<'a>(
        &'a self,
        address: &'a str,
        poll: &'a Poll,
        limit: Span,
    ) -> BoxFuture<'a, Result<Reply, Failure>> {
        Box::pin(self.call(address, rpc::FEED_POLL, poll, limit))
    }
}

/// What the instance knows of the configuration.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The configuration; `None` until the first answer.
    pub config: Option<Arc<Config>>,
    /// End of the configuration lease on the clock given to [`start`].
    pub lease_end: Option<Time>,
    /// Contact instances of all failure domains.
    pub contacts: Vec<feed::Contact>,
}

impl View {
    /// Returns whether the configuration lease holds.
    #[must_use]
    pub fn is_connected(&self, now: Time) -> bool {
        self.lease_end.is_some_and(|end| now < end)
    }
}

enum Job {
    Poll(Poll, oneshot::Sender<Result<Reply, Failure>>),
    Merge(Vec<Record>),
    Leave(oneshot::Sender<()>),
    Answered(Box<Ended>),
}

/// A poll that has ended.
struct Ended {
    outgoing: Outgoing,
    source: Source,
    result: Result<Reply, Failure>,
}

/// The feed of a running instance.
#[derive(Clone, Debug)]
pub struct Feed {
    jobs: mpsc::Sender<Job>,
    view: watch::Receiver<Arc<View>>,
}

impl Feed {
    /// Returns what the instance knows now.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// Returns a receiver that sees each change of what the instance knows.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<Arc<View>> {
        self.view.clone()
    }

    /// Answers the poll of another instance.
    ///
    /// # Errors
    ///
    /// Returns [`error::Kind::NoLeader`] when the instance stops.
    pub async fn poll(&self, poll: Poll) -> Result<Reply, Failure> {
        let (reply, answer) = oneshot::channel();
        let stopping = || Failure::new(error::Kind::NoLeader, "this instance stops");
        let job = Job::Poll(poll, reply);
        self.jobs.send(job).await.map_err(|_| stopping())?;
        answer.await.unwrap_or_else(|_| Err(stopping()))
    }

    /// Spreads crash evidence and restrictions.
    pub async fn merge(&self, records: Vec<Record>) {
        if self.jobs.send(Job::Merge(records)).await.is_err() {
            log::warn!("records are not spread: the feed has ended");
        }
    }

    /// Tells control that the instance stops, and waits until it was told or `limit` is over.
    pub async fn leave(&self, limit: Span) {
        let (told, wait) = oneshot::channel();
        if self.jobs.send(Job::Leave(told)).await.is_err()
            || tokio::time::timeout(limit.to_std(), wait).await.is_err()
        {
            log::warn!("control was not told that this instance stops");
        }
    }
}

/// Returns the JSON-RPC method that serves the instances below.
///
/// # Errors
///
/// Returns an error if the method can't be registered.
pub fn methods(feed: Feed) -> Result<RpcModule<Feed>, RegisterMethodError> {
    let mut module = RpcModule::new(feed);
    module.register_async_method(rpc::FEED_POLL, |params, feed, _| async move {
        let poll: Poll = params
            .parse()
            .map_err(|e| Failure::new(error::Kind::BadRequest, e.message()))?;
        feed.poll(poll).await
    })?;
    Ok(module)
}

/// Starts the feed on the current runtime.
///
/// The receiver gets the records of other instances.
///
/// # Panics
///
/// Panics outside of a tokio runtime.
#[must_use]
pub fn start(
    seat: InstanceInfo,
    control: Vec<String>,
    transport: Arc<dyn Transport>,
    clock: Clock,
) -> (Feed, mpsc::UnboundedReceiver<Vec<Record>>) {
    let (jobs, receiver) = mpsc::channel(MAX_JOBS);
    let (news, records) = mpsc::unbounded_channel();
    let (view, seen) = watch::channel(Arc::default());
    let task = Task {
        client: Client::new(seat, control, clock.now()),
        clock,
        transport,
        jobs: jobs.downgrade(),
        held: Vec::new(),
        polling: false,
        urgent: false,
        not_before: Instant::now(),
        leaving: None,
        view,
        records: news,
    };
    tokio::spawn(task.run(receiver));
    (Feed { jobs, view: seen }, records)
}

/// A poll of an instance below.
struct Held {
    poll: Poll,
    arrived: Time,
    reply: oneshot::Sender<Result<Reply, Failure>>,
}

struct Task {
    client: Client,
    clock: Clock,
    transport: Arc<dyn Transport>,
    jobs: mpsc::WeakSender<Job>,
    held: Vec<Held>,
    /// Whether the poll that may be held is open.
    polling: bool,
    /// Whether an urgent poll is open.
    urgent: bool,
    not_before: Instant,
    leaving: Option<oneshot::Sender<()>>,
    view: watch::Sender<Arc<View>>,
    records: mpsc::UnboundedSender<Vec<Record>>,
}

impl Task {
    async fn run(mut self, mut jobs: mpsc::Receiver<Job>) {
        let mut tick = interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            self.send_due();
            tokio::select! {
                job = jobs.recv() => match job {
                    Some(job) => self.job(job),
                    None => return,
                },
                _ = tick.tick() => {}
            }
            self.wake();
        }
    }

    fn job(&mut self, job: Job) {
        let now = self.clock.now();
        match job {
            Job::Poll(poll, reply) => {
                let poll = self.client.receive_poll(poll, now);
                self.held.push(Held {
                    poll,
                    arrived: now,
                    reply,
                });
                self.publish();
            }
            Job::Merge(records) => {
                self.client.add_records(records);
            }
            Job::Leave(told) => {
                self.client.leave();
                self.leaving = Some(told);
            }
            Job::Answered(ended) => self.answered(*ended, now),
        }
    }

    fn answered(&mut self, ended: Ended, now: Time) {
        let Ended {
            outgoing,
            source,
            result,
        } = ended;
        if outgoing.poll.hold == Span::ZERO {
            self.urgent = false;
        } else {
            self.polling = false;
        }
        let told = outgoing.poll.own.leaving;
        match result {
            Ok(reply) => match self.client.handle_reply(&outgoing, reply, now) {
                Ok(_) => {
                    self.client.pause_stale_relay(&source, now);
                    if let Some(leaving) = self.leaving.take_if(|_| told) {
                        // The caller may have given up waiting.
                        let _gone = leaving.send(());
                    }
                }
                Err(fault) => {
                    log::warn!("an answer of {} was not taken: {fault}", source.address());
                    self.failed(&source, now);
                }
            },
            Err(failure) => {
                log::debug!("no answer of {}: {}", source.address(), failure.error);
                self.failed(&source, now);
                if let Some(leader) = failure.leader {
                    self.client.set_leader(&leader);
                }
            }
        }
        self.client.remove_lapsed_peers(now);
        self.publish();
    }

    fn failed(&mut self, source: &Source, now: Time) {
        self.client.mark_failed(source, now);
        self.not_before = Instant::now() + PAUSE;
    }

    /// Shows the traffic threads what has changed.
    fn publish(&mut self) {
        let records = self.client.take_new_records();
        if !records.is_empty() {
            // An instance without interest in records drops the receiver.
            let _gone = self.records.send(records);
        }
        self.view.send_replace(Arc::new(View {
            config: self.client.config().cloned(),
            lease_end: self.client.lease_end(),
            contacts: self.client.contacts().to_vec(),
        }));
    }

    fn send_due(&mut self) {
        if Instant::now() < self.not_before {
            return;
        }
        if !self.polling {
            self.polling = self.send(false);
        } else if !self.urgent && self.client.is_urgent() {
            self.urgent = self.send(true);
            self.client.mark_urgent_sent();
        }
    }

    /// Sends a poll; returns whether there was a source.
    fn send(&self, urgent: bool) -> bool {
        let now = self.clock.now();
        let (Some(source), Some(jobs)) = (self.client.source(now), self.jobs.upgrade()) else {
            return false;
        };
        let outgoing = self.client.next_poll(urgent, now);
        let transport = Arc::clone(&self.transport);
        tokio::spawn(async move {
            let limit = if urgent {
                URGENT_LIMIT
            } else {
                outgoing.poll.hold.plus(feed::POLL_MARGIN)
            };
            let result = transport
                .poll(source.address(), &outgoing.poll, limit)
                .await;
            let ended = Box::new(Ended {
                outgoing,
                source,
                result,
            });
            // The task ends with the last handle of the feed.
            let _ended = jobs.send(Job::Answered(ended)).await;
        });
        true
    }

    /// Answers the polls from below that have news or were held long enough.
    fn wake(&mut self) {
        let now = self.clock.now();
        let client = &self.client;
        let due = |held: &mut Held| {
            let over = now.since(held.arrived) >= held.poll.hold.min(feed::HOLD);
            client.is_admitted(&held.poll) && (over || client.has_updates(&held.poll))
        };
        for held in self.held.extract_if(.., due) {
            let answer = client.reply(&held.poll, held.arrived, now).ok_or_else(|| {
                Failure::new(
                    error::Kind::NoLeader,
                    "this instance has no configuration yet",
                )
            });
            // A caller that has gone asks again.
            let _gone = held.reply.send(answer);
        }
        self.held.retain(|held| !held.reply.is_closed());
    }
}
