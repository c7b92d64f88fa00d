//! The way of a request: resolved, placed, sent and answered, again where that is allowed.

mod attempt;
mod relay;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use hyper::{HeaderMap, Method, Response, StatusCode, body::Bytes};
use masticlock_core::{
    cascade::Pressure,
    place::{self, Choice, Outcome, Pool, Size, Target, Want},
    report::{Suspect, Trial},
    route::{Kind, Route},
    share::Budget,
    time::{Span, Time},
};
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

use self::attempt::End;
use super::{
    dialect::{Call, Dialect},
    entry::{Payload, Settings},
    front::{Refusal, Resolved},
    http::Limits,
    link::Links,
    metrics,
    view::{Board, View},
};
use crate::clock::Clock;

/// Part of the time until a key's revocation must be in force for which a key is believed.
const LEASE_PERCENT: u64 = 80;

/// Part of that time after which the instance no longer says that it is ready.
const READY_PERCENT: u64 = 60;

/// Age of the agreed state up to which an unknown route or key is refused for good.
const SURE: Span = Span::from_millis(1_500);

/// Longest time that a request waits while no upstream may be used.
const NOTHING_PATIENCE: Span = Span::from_millis(250);

/// Longest pause until a waiting request looks for an upstream again.
const LOOK_AGAIN: Duration = Duration::from_millis(25);

/// Time after which a caller may come back when no upstream was free.
const BUSY_RETRY: Span = Span::from_millis(300);

/// Longest time that a request waits for the newest configuration: an election and two polls.
const NEWS_PATIENCE: Span = Span::from_millis(1_800);

/// Time from the start of the process within which the first configuration is expected.
const START_LIMIT: Span = Span::from_secs(6);

/// Time after which a caller may come back to an instance that does not know the newest
/// configuration: an election and a poll.
const UNSURE_RETRY: Span = Span::from_millis(2_200);

/// Time after which a caller may come back when no upstream may be used.
const NOTHING_RETRY: Span = Span::from_millis(600);

/// Upstreams that a request may have crashed before it is not sent any more.
const MAX_CRASHES: u32 = 3;

/// How long evidence of a crash is kept.
const SUSPECT_KEPT: Span = Span::from_secs(60);

/// Most requests with evidence of a crash that are kept.
const MAX_SUSPECTS: usize = 128;

/// Requests that may be refused by upstreams before the router gives up.
const MAX_REFUSALS: usize = 6;

/// Time of an output token relative to that of a prompt token.
const OUTPUT_WORK: u64 = 10;

/// Least work of a token relative to that of the largest model.
const LEAST_WORK: f64 = 0.1;

/// Head limits before the first configuration.
const FIRST_LIMITS: Limits = Limits {
    head_bytes: 16_384,
    head_timeout: Duration::from_secs(15),
};

/// Body limits before the first configuration.
const FIRST_BODY: (usize, Duration) = (4 * 1_024 * 1_024, Duration::from_secs(3));

/// A caller's request with what has become of it.
#[derive(Debug, Default)]
pub struct Job {
    /// Host in lowercase, without port.
    pub host: String,
    /// Path.
    pub path: String,
    /// Path and query as the caller sent them.
    pub target: String,
    /// Method.
    pub method: Method,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// What the headers say.
    pub call: Call,
    /// When its head had been read.
    pub arrived: Time,
    /// Digest of account, path and body.
    pub fingerprint: u64,
    /// Kind of its route, once it is known.
    pub kind: Cell<Option<Kind>>,
    /// Attempts that may have run.
    pub runs: Cell<u32>,
    /// Position of the model among those of the route.
    pub level: Cell<usize>,
    /// Upstreams that were tried.
    pub tried: RefCell<Vec<Arc<str>>>,
}

/// Everything that the traffic thread owns.
pub struct Traffic {
    settings: Settings,
    clock: Clock,
    board: Arc<Board>,
    dialect: Box<dyn Dialect>,
    links: Rc<Links>,
    pool: RefCell<Pool>,
    /// Stamp of the view that the pool was updated from.
    stamp: Cell<u64>,
    budgets: RefCell<Vec<(Arc<str>, Budget)>>,
    trials: RefCell<Vec<Trial>>,
    suspects: RefCell<Vec<(Suspect, Time)>>,
    /// Usual time until the head of an answer, by route.
    usual: RefCell<Vec<(Arc<str>, f64)>>,
    pressure: RefCell<Pressure>,
    /// A request has ended.
    room: Notify,
    started: Time,
    metrics: metrics::Entry,
}

impl Traffic {
    /// Returns the state of a new process.
    pub fn new(
        settings: Settings,
        clock: Clock,
        board: Arc<Board>,
        dialect: Box<dyn Dialect>,
        instance: u64,
    ) -> Self {
        let pool = Pool::new(settings.domain.clone(), instance, settings.announcements);
        Self {
            settings,
            clock,
            board,
            dialect,
            links: Rc::default(),
            pool: RefCell::new(pool),
            stamp: Cell::new(0),
            budgets: RefCell::default(),
            trials: RefCell::default(),
            suspects: RefCell::default(),
            usual: RefCell::default(),
            pressure: RefCell::default(),
            room: Notify::new(),
            started: clock.now(),
            metrics: metrics::Entry::default(),
        }
    }

    /// Returns the time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns the platform's dialect.
    pub fn dialect(&self) -> &dyn Dialect {
        &*self.dialect
    }

    /// Returns the latest view, with the pool brought up to it.
    fn view(&self) -> Arc<View> {
        let view = self.board.view.load_full();
        if view.stamp != self.stamp.get() {
            self.stamp.set(view.stamp);
            let mut pool = self.pool.borrow_mut();
            pool.update(view.fleet.entries(), self.now());
            pool.update_totals(&view.totals);
        }
        view
    }

    /// Returns the time since the agreed state was known to be the newest.
    fn age(&self, view: &View) -> Option<Span> {
        view.fresh.map(|at| self.now().since(at))
    }

    fn is_younger(&self, view: &View, percent: u64) -> bool {
        let limit = Span::from_millis(self.settings.revocation.as_millis() * percent / 100);
        self.age(view).is_some_and(|age| age < limit)
    }

    /// Returns whether the instance takes new connections.
    pub fn is_ready(&self) -> bool {
        let view = self.view();
        view.table.is_some() && self.is_younger(&view, READY_PERCENT)
    }

    /// Returns the limits of a caller's connection.
    pub fn limits(&self) -> Limits {
        self.board
            .view
            .load()
            .table
            .as_ref()
            .map_or(FIRST_LIMITS, |table| {
                let limits = table.limits();
                Limits {
                    head_bytes: limits.head_bytes,
                    head_timeout: limits.idle_timeout.max(limits.read_timeout).to_std(),
                }
            })
    }

    /// Returns the limits of a request's body in bytes and time.
    pub fn body_limits(&self) -> (usize, Duration) {
        self.board
            .view
            .load()
            .table
            .as_ref()
            .map_or(FIRST_BODY, |table| {
                let limits = table.limits();
                (limits.body_bytes, limits.read_timeout.to_std())
            })
    }

    /// Writes this instance's report.
    pub fn report(&self) {
        let now = self.now();
        // Brings the pool up to date even without requests.
        self.view();
        let loads = self.pool.borrow_mut().loads(now);
        let mut suspects = self.suspects.borrow_mut();
        suspects.retain(|(_, seen)| now.since(*seen) < SUSPECT_KEPT);
        let suspects = suspects.iter().map(|(s, _)| *s).collect();
        let outbox = self.board.outbox.lock();
        // The control thread never panics while it holds the lock.
        let mut outbox = outbox.unwrap_or_else(std::sync::PoisonError::into_inner);
        outbox.loads = loads;
        outbox.trials.clone_from(&self.trials.borrow());
        outbox.suspects = suspects;
    }

    /// Returns the metrics as text.
    pub fn metrics(&self) -> String {
        let view = self.board.view.load();
        let revision = view.table.as_ref().map_or(0, |t| t.revision());
        self.metrics
            .believe(self.age(&view), revision, view.fleet.entries().len());
        self.metrics.text()
    }

    /// Looks the request up in the newest tables.
    ///
    /// A request that has waited is looked up again before it is sent, so that it is never sent by
    /// tables that are out of date.
    fn resolve(&self, job: &Job, view: &View) -> Result<Resolved, Refusal> {
        let unsure = || Refusal::later(UNSURE_RETRY, "configuration not known to be current");
        let Some(table) = &view.table else {
            return Err(unsure());
        };
        let sure = self.age(view).is_some_and(|age| age < SURE);
        let answer = |status, reason| {
            if sure {
                Refusal::of(status, reason)
            } else {
                unsure()
            }
        };
        let Some(route) = table.find(&job.host, &job.path) else {
            return Err(answer(StatusCode::NOT_FOUND, "no route"));
        };
        let mut account = None;
        if table.has_accounts() && !route.public {
            let key = job.call.key.as_deref();
            account = key.and_then(|k| table.account(k)).cloned();
            if account.is_none() {
                return Err(answer(StatusCode::UNAUTHORIZED, "unknown key"));
            }
            if !self.is_younger(view, LEASE_PERCENT) {
                return Err(unsure());
            }
        }
        let service = route.share(job.fingerprint).and_then(|s| table.service(s));
        // A checked table has the services of all its routes.
        let service = service.ok_or_else(unsure)?;
        Ok(Resolved {
            route: route.clone(),
            service: service.clone(),
            account,
        })
    }

    /// Answers a request.
    pub async fn serve(self: Rc<Self>, job: Job) -> Response<Payload> {
        let job = Rc::new(job);
        self.await_news(&job).await;
        let answered = match self.resolve(&job, &self.view()) {
            Ok(resolved) => {
                job.kind.set(Some(resolved.route.kind));
                self.with_budget(&resolved.service.name, |b| b.deposit(self.now()));
                let left = job.deadline(&resolved.route).since(self.now());
                let attempts = self.clone().attempts(job.clone());
                let timely = timeout(left.to_std(), attempts).await;
                timely.unwrap_or_else(|_| Err(job.timed_out()))
            }
            Err(refusal) => Err(refusal),
        };
        let response = answered.unwrap_or_else(|refusal| {
            self.log_refusal(&job, &refusal);
            self.metrics.refused(refusal.reason);
            refusal.into()
        });
        self.metrics.answered(job.kind.get(), response.status());
        response
    }

    /// Waits while the instance starts or the control instances elect a leader.
    ///
    /// Callers come back once or not at all, so a short wait serves more of them than a refusal.
    /// Without a prospect of news, for example behind a partition, nothing is waited for.
    async fn await_news(&self, job: &Job) {
        let quarter = job
            .call
            .deadline
            .map_or(NEWS_PATIENCE, |d| Span::from_millis(d.as_millis() / 4));
        let until = job.arrived + quarter.min(NEWS_PATIENCE);
        loop {
            let view = self.board.view.load();
            let limit =
                Span::from_millis(self.settings.revocation.as_millis() * LEASE_PERCENT / 100);
            let now = self.now();
            let expected = match self.age(&view) {
                Some(age) => age >= limit && age < limit.plus(NEWS_PATIENCE),
                None => now.since(self.started) < START_LIMIT,
            };
            if !expected || now >= until {
                return;
            }
            drop(view);
            sleep(LOOK_AGAIN).await;
        }
    }

    fn log_refusal(&self, job: &Job, refusal: &Refusal) {
        let view = self.board.view.load();
        log::info!(
            event = "refused", request = job.id(), status = refusal.status.as_u16(),
            reason = refusal.reason, runs = job.runs.get(), tried = job.tried.borrow().len(),
            waited_ms = self.now().since(job.arrived).as_millis(),
            retry_after_ms = refusal.retry_after.map_or(0, Span::as_millis),
            revision = view.table.as_ref().map_or(0, |t| t.revision()),
            age_ms = self.age(&view).map_or(-1, |a| i64::try_from(a.as_millis()).unwrap_or(-1));
            "a request is refused"
        );
    }

    /// Sends the request to one upstream after the other until it is answered.
    async fn attempts(self: Rc<Self>, job: Rc<Job>) -> Result<Response<Payload>, Refusal> {
        loop {
            let resolved = match self.resolve(&job, &self.view()) {
                Ok(resolved) => resolved,
                Err(refusal) if job.runs.get() == 0 => return Err(refusal),
                Err(refusal) => return Err(Refusal::of(StatusCode::BAD_GATEWAY, refusal.reason)),
            };
            let Some(target) = self.place(&job, &resolved).await? else {
                continue;
            };
            match self.clone().attempt(&job, &resolved, &target).await {
                End::Answer(response) => return Ok(response),
                End::Refused(refusal) => return Err(refusal),
                End::NotRun => {
                    job.tried.borrow_mut().push(target.upstream.clone());
                    if job.tried.borrow().len() >= MAX_REFUSALS {
                        return Err(job.give_up("refused by upstreams"));
                    }
                    if !self.with_budget(&resolved.service.name, |b| b.withdraw(self.now())) {
                        return Err(job.give_up("no retry budget"));
                    }
                }
                End::Again => job.tried.borrow_mut().push(target.upstream.clone()),
                End::Larger(level) => job.level.set(level),
            }
        }
    }

    /// Chooses an upstream, waits for one, or returns why the request is given up.
    ///
    /// After a wait the request is resolved anew, for which none is returned.
    async fn place(&self, job: &Job, resolved: &Resolved) -> Result<Option<Target>, Refusal> {
        if self.crashes(job.fingerprint) >= MAX_CRASHES {
            return Err(job.give_up("quarantined"));
        }
        let waited = self.now().since(job.arrived);
        let (patience, retry, reason) = match self.choose(job, resolved) {
            Choice::Upstream(target) => return Ok(Some(target)),
            Choice::Full => (patience(&resolved.route), BUSY_RETRY, "all upstreams full"),
            Choice::Nothing => (NOTHING_PATIENCE, NOTHING_RETRY, "no usable upstream"),
        };
        if waited >= patience {
            return Err(if job.runs.get() > 0 {
                Refusal::of(StatusCode::BAD_GATEWAY, reason)
            } else {
                Refusal::later(retry, reason)
            });
        }
        tokio::select! {
            () = self.room.notified() => {}
            () = sleep(LOOK_AGAIN) => {}
        }
        Ok(None)
    }

    fn choose(&self, job: &Job, resolved: &Resolved) -> Choice {
        let view = self.view();
        let service = &resolved.service;
        let subject = service
            .engine
            .is_some()
            .then(|| job.subject(&resolved.route));
        let session = job.session().unwrap_or(job.fingerprint);
        let draw = place::mix(session ^ place::digest(service.name.as_bytes()));
        let tried = job.tried.borrow();
        let want = Want {
            service: &service.name,
            subject,
            // A remainder below 1,000 fits.
            draw: u16::try_from(draw % 1_000).unwrap_or_default(),
            tokens: job.tokens(),
            memory: service.engine.as_ref().map_or(0, |e| e.memory_tokens),
            cold_rate: service.cold_rate,
            tried: &tried,
        };
        self.pool.borrow().choose(&want, &view.agreed, self.now())
    }

    fn with_budget<F, T>(&self, service: &Arc<str>, act: F) -> T
    where
        F: FnOnce(&mut Budget) -> T,
    {
        let mut budgets = self.budgets.borrow_mut();
        let at = match budgets.binary_search_by(|(s, _)| s.cmp(service)) {
            Ok(at) => at,
            Err(at) => {
                let (ratio, extra) = (self.settings.retry_ratio, self.settings.retry_extra);
                budgets.insert(
                    at,
                    (
                        service.clone(),
                        Budget::new(ratio, extra, self.settings.retry_window),
                    ),
                );
                at
            }
        };
        budgets[at].1.set_instances(self.pool.borrow().instances());
        act(&mut budgets[at].1)
    }

    /// Returns how many upstreams the request has crashed, as far as all instances know.
    fn crashes(&self, fingerprint: u64) -> u32 {
        let suspects = self.suspects.borrow();
        let own = suspects.iter().find(|(s, _)| s.fingerprint == fingerprint);
        let view = self.board.view.load();
        let others = &view.totals.suspects;
        let others = others.binary_search_by_key(&fingerprint, |s| s.fingerprint);
        let others = others.map_or(0, |at| view.totals.suspects[at].crashes);
        own.map_or(0, |(s, _)| s.crashes) + others
    }

    /// Records that an upstream ended while it ran the request.
    fn suspect(&self, fingerprint: u64) {
        let now = self.now();
        let mut suspects = self.suspects.borrow_mut();
        if let Some((suspect, seen)) = suspects
            .iter_mut()
            .find(|(s, _)| s.fingerprint == fingerprint)
        {
            suspect.crashes += 1;
            *seen = now;
            return;
        }
        if suspects.len() >= MAX_SUSPECTS {
            suspects.remove(0);
        }
        let suspect = Suspect {
            fingerprint,
            crashes: 1,
        };
        suspects.push((suspect, now));
    }

    /// Records the outcome of a request for the rollout of its version.
    fn record(&self, service: &Arc<str>, version: &Arc<str>, good: bool, slow: bool) {
        self.with_trial(service, version, |trial| {
            if good {
                trial.ok += 1;
            } else {
                trial.failed += 1;
            }
            trial.slow += u64::from(slow);
        });
    }

    fn with_trial<F>(&self, service: &Arc<str>, version: &Arc<str>, act: F)
    where
        F: FnOnce(&mut Trial),
    {
        let mut trials = self.trials.borrow_mut();
        let found = trials
            .binary_search_by(|t| t.service.cmp(service).then_with(|| t.version.cmp(version)));
        let at = found.unwrap_or_else(|at| {
            let trial = Trial {
                service: service.clone(),
                version: version.clone(),
                ..Trial::default()
            };
            trials.insert(at, trial);
            at
        });
        act(&mut trials[at]);
    }
}

/// Returns how long a request may wait for a free upstream.
fn patience(route: &Route) -> Span {
    match route.kind {
        // A later answer of a plain service is worth little to its caller.
        Kind::Idempotent | Kind::NonRepeatable => route.objective.times(2),
        Kind::Stream => route.objective,
    }
}

impl Job {
    /// Returns the identity of the request, for logs.
    pub fn id(&self) -> &str {
        self.call.id.as_deref().unwrap_or("-")
    }

    /// Returns when the final answer is due.
    pub fn deadline(&self, route: &Route) -> Time {
        let limit = self
            .call
            .deadline
            .map_or(route.timeout, |d| d.min(route.timeout));
        self.arrived + limit
    }

    /// Returns the refusal of a request that is given up.
    pub fn give_up(&self, reason: &'static str) -> Refusal {
        if self.runs.get() > 0 {
            Refusal::of(StatusCode::BAD_GATEWAY, reason)
        } else {
            Refusal::later(NOTHING_RETRY, reason)
        }
    }

    /// Returns the refusal of a request whose time is over.
    fn timed_out(&self) -> Refusal {
        if self.runs.get() > 0 {
            Refusal::of(StatusCode::GATEWAY_TIMEOUT, "no answer in time")
        } else {
            Refusal::later(BUSY_RETRY, "no upstream in time")
        }
    }

    /// Returns the tokens of prompt and output.
    pub const fn tokens(&self) -> u64 {
        self.call.prompt_tokens + self.call.output_tokens
    }

    /// Returns what the request takes of an upstream.
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    pub fn size(&self, resolved: &Resolved) -> Size {
        let models = resolved
            .service
            .engine
            .as_ref()
            .map_or(&[][..], |e| &e.models);
        let largest = models.iter().map(|m| m.cost).fold(0.0, f64::max);
        let model = self.model(&resolved.route);
        let cost = model.and_then(|name| models.iter().find(|m| m.name == *name));
        let weight = cost.map_or(1.0, |m| m.cost / largest.max(f64::MIN_POSITIVE));
        let tokens = self.call.prompt_tokens + OUTPUT_WORK * self.call.output_tokens;
        Size {
            tokens: self.tokens(),
            work: (tokens as f64 * weight.max(LEAST_WORK)) as u64,
        }
    }

    /// Returns the model that the router chose, if the caller leaves the choice.
    pub fn model<'a>(&self, route: &'a Route) -> Option<&'a Arc<str>> {
        if !self.call.any_model {
            return None;
        }
        route.models.get(self.level.get()).or(route.models.last())
    }

    /// Returns a digest of the longest part of the prompt that requests share, which requests of
    /// one session have in common.
    fn session(&self) -> Option<u64> {
        let parts = &self.call.parts;
        // The last part is the request's own.
        parts.len().checked_sub(2).map(|at| parts[at].0)
    }

    /// Returns a digest of the model and the part of the prompt that requests share.
    fn subject(&self, route: &Route) -> u64 {
        let model = self.model(route).map_or(0, |m| place::digest(m.as_bytes()));
        place::mix(model ^ self.session().unwrap_or(self.fingerprint))
    }
}

/// Counts a request at an upstream until it is dropped.
pub struct Running {
    traffic: Rc<Traffic>,
    target: Target,
    service: Arc<str>,
    size: Size,
    outcome: Cell<Outcome>,
}

impl Running {
    fn begin(traffic: &Rc<Traffic>, target: &Target, service: &Arc<str>, size: Size) -> Self {
        let now = traffic.now();
        traffic.pool.borrow_mut().begin(&target.upstream, size, now);
        traffic.with_trial(service, &target.version, |t| t.running += 1);
        Self {
            traffic: traffic.clone(),
            target: target.clone(),
            service: service.clone(),
            size,
            outcome: Cell::new(Outcome::Neutral),
        }
    }

    /// Sets how the request ended.
    fn end(&self, outcome: Outcome) {
        self.outcome.set(outcome);
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let now = self.traffic.now();
        let mut pool = self.traffic.pool.borrow_mut();
        pool.end(&self.target.upstream, self.size, self.outcome.get(), now);
        drop(pool);
        self.traffic
            .with_trial(&self.service, &self.target.version, |t| {
                t.running = t.running.saturating_sub(1);
            });
        self.traffic.room.notify_waiters();
    }
}
