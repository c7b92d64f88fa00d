//! The way of a request: resolved, placed, sent and answered, again where that is allowed.

mod attempt;
mod context;
mod evidence;
mod in_flight;
mod relay;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use hyper::{Response, StatusCode};
use masticlock_core::{
    cascade::Pressure,
    digest,
    fault::Fault,
    forecast::Forecast,
    placement::{Choice, Criteria, Pool, Target},
    report::{Suspect, VersionStats},
    retry_after::Cause,
    retry_budget::Budget,
    route::{Kind, Route},
    time::{Span, Time},
};
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

pub use self::context::RequestContext;
use self::{attempt::End, in_flight::InFlightGuard};
use super::{
    adapter::Adapter,
    buffer::ResponseBuffer,
    connection_pool::ConnectionPool,
    entry::{ResponseBody, Settings},
    handler::{Refusal, ResolvedRoute},
    http::Limits,
    metrics,
    view::{SharedState, View},
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

/// Longest time that a request waits for the newest configuration: an election and two polls.
const NEWS_PATIENCE: Span = Span::from_millis(1_800);

/// Time from the start of the process within which the first configuration is expected.
const START_LIMIT: Span = Span::from_secs(6);

/// Upstreams that a request may have crashed before it is not sent any more.
const MAX_CRASHES: u32 = 3;

/// Head limits before the first configuration.
const FIRST_LIMITS: Limits = Limits {
    head_bytes: 16_384,
    head_timeout: Duration::from_secs(15),
};

/// Body limits before the first configuration.
const FIRST_BODY: (usize, Duration) = (4 * 1_024 * 1_024, Duration::from_secs(3));

/// Everything that the traffic thread owns.
pub struct Proxy {
    settings: Settings,
    clock: Clock,
    shared: Arc<SharedState>,
    adapter: Box<dyn Adapter>,
    connections: Rc<ConnectionPool>,
    buffer: Rc<ResponseBuffer>,
    pool: RefCell<Pool>,
    /// Version of the view that the pool was updated from.
    view_version: Cell<u64>,
    /// Version of the directory that the pool was updated from.
    directory_version: Cell<u64>,
    budgets: RefCell<Vec<(Arc<str>, Budget)>>,
    trials: RefCell<Vec<VersionStats>>,
    suspects: RefCell<Vec<(Suspect, Time)>>,
    /// Usual time until the head of an answer, by route.
    usual: RefCell<Vec<(Arc<str>, f64)>>,
    pressure: RefCell<Pressure>,
    forecast: RefCell<Forecast>,
    /// A request has ended.
    room: Notify,
    started: Time,
    metrics: metrics::EntryMetrics,
}

impl Proxy {
    /// Returns the state of a new process.
    pub fn new(
        settings: Settings,
        clock: Clock,
        shared: Arc<SharedState>,
        adapter: Box<dyn Adapter>,
        instance: u64,
    ) -> Self {
        let pool = Pool::new(
            settings.domain.clone(),
            instance,
            settings.announcement_interval,
        );
        Self {
            settings,
            clock,
            shared,
            adapter,
            connections: Rc::new(ConnectionPool::new(clock)),
            buffer: Rc::default(),
            pool: RefCell::new(pool),
            view_version: Cell::new(0),
            directory_version: Cell::new(0),
            budgets: RefCell::default(),
            trials: RefCell::default(),
            suspects: RefCell::default(),
            usual: RefCell::default(),
            pressure: RefCell::default(),
            forecast: RefCell::default(),
            room: Notify::new(),
            started: clock.now(),
            metrics: metrics::EntryMetrics::default(),
        }
    }

    /// Returns the time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns the platform's adapter.
    pub fn adapter(&self) -> &dyn Adapter {
        &*self.adapter
    }

    /// Returns the latest view, with the pool brought up to it.
    fn view(&self) -> Arc<View> {
        let view = self.shared.view.load_full();
        if view.version != self.view_version.get() {
            self.view_version.set(view.version);
            let mut pool = self.pool.borrow_mut();
            if view.directory_version != self.directory_version.replace(view.directory_version) {
                pool.update(view.directory.entries(), self.now());
            }
            pool.update_totals(&view.totals, self.now());
        }
        view
    }

    /// Returns the time since the agreed state was known to be the newest.
    fn age(&self, view: &View) -> Option<Span> {
        view.confirmed_at.map(|at| self.now().since(at))
    }

    fn is_younger(&self, view: &View, percent: u64) -> bool {
        let limit = Span::from_millis(self.settings.revocation_limit.as_millis() * percent / 100);
        self.age(view).is_some_and(|age| age < limit)
    }

    /// Returns until when a request may be sent by the newest tables, if its key limits that.
    fn sendable_until(&self, resolved: &ResolvedRoute) -> Option<Time> {
        let limit =
            Span::from_millis(self.settings.revocation_limit.as_millis() * LEASE_PERCENT / 100);
        let fresh = self.shared.view.load().confirmed_at;
        let until = fresh.map_or(Time::ZERO, |at| at + limit);
        (resolved.account.is_some() && !Fault::NoLease.is_injected()).then_some(until)
    }

    /// Returns whether the instance takes new connections.
    pub fn is_ready(&self) -> bool {
        let view = self.view();
        view.table.is_some() && self.is_younger(&view, READY_PERCENT)
    }

    /// Returns the limits of a caller's connection.
    pub fn limits(&self) -> Limits {
        self.shared
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
        self.shared
            .view
            .load()
            .table
            .as_ref()
            .map_or(FIRST_BODY, |table| {
                let limits = table.limits();
                (limits.body_bytes, limits.read_timeout.to_std())
            })
    }

    /// Returns the metrics as text.
    pub fn metrics(&self) -> String {
        let view = self.shared.view.load();
        let revision = view.table.as_ref().map_or(0, |t| t.revision());
        self.metrics
            .set_state(self.age(&view), revision, view.directory.entries().len());
        self.metrics.text()
    }

    /// Looks the request up in the newest tables.
    ///
    /// A request that has waited is looked up again before it is sent, so that it is never sent by
    /// tables that are out of date.
    fn resolve(&self, ctx: &RequestContext, view: &View) -> Result<ResolvedRoute, Refusal> {
        let unsure = || {
            let reason = "configuration not known to be current";
            ctx.later(Cause::Stale, reason, self.now())
        };
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
        let Some(route) = table.find(&ctx.host, &ctx.path) else {
            return Err(answer(StatusCode::NOT_FOUND, "no route"));
        };
        let mut account = None;
        if table.has_accounts() && !route.public {
            let key = ctx.call.api_key.as_deref();
            account = key.and_then(|k| table.account(k)).cloned();
            if account.is_none() {
                return Err(answer(StatusCode::UNAUTHORIZED, "unknown key"));
            }
            if !self.is_younger(view, LEASE_PERCENT) && !Fault::NoLease.is_injected() {
                return Err(unsure());
            }
        }
        let service = route
            .select_service(ctx.fingerprint)
            .and_then(|s| table.service(s));
        // A checked table has the services of all its routes.
        let service = service.ok_or_else(unsure)?;
        Ok(ResolvedRoute {
            route: route.clone(),
            service: service.clone(),
            account,
        })
    }

    /// Answers a request.
    pub async fn serve(self: Rc<Self>, ctx: RequestContext) -> Response<ResponseBody> {
        let ctx = Rc::new(ctx);
        self.await_news(&ctx).await;
        let answered = match self.resolve(&ctx, &self.view()) {
            Ok(resolved) => {
                ctx.kind.set(Some(resolved.route.kind));
                self.with_budget(&resolved.service.name, |b| b.deposit(self.now()));
                let left = ctx.deadline(&resolved.route).since(self.now());
                let attempts = self.clone().attempts(ctx.clone());
                let timely = timeout(left.to_std(), attempts).await;
                timely.unwrap_or_else(|_| Err(ctx.timed_out(self.now())))
            }
            Err(refusal) => Err(refusal),
        };
        let response = match answered {
            Ok(response) => {
                log::info!(
                    event = "answered", request = ctx.id(), status = response.status().as_u16(),
                    runs = ctx.runs.get(), tried = ctx.tried.borrow().len(),
                    waited_ms = self.now().since(ctx.arrived).as_millis();
                    "an upstream's answer is passed on"
                );
                response
            }
            Err(refusal) => {
                self.log_refusal(&ctx, &refusal);
                self.metrics.count_refusal(refusal.reason);
                refusal.into()
            }
        };
        self.metrics
            .count_response(ctx.kind.get(), response.status());
        response
    }

    /// Waits while the instance starts or the control instances elect a leader.
    ///
    /// Callers come back once or not at all, so a short wait serves more of them than a refusal.
    /// Without a prospect of news, for example behind a partition, nothing is waited for.
    async fn await_news(&self, ctx: &RequestContext) {
        let quarter = ctx
            .call
            .deadline
            .map_or(NEWS_PATIENCE, |d| Span::from_millis(d.as_millis() / 4));
        let until = ctx.arrived + quarter.min(NEWS_PATIENCE);
        loop {
            let view = self.shared.view.load();
            let limit =
                Span::from_millis(self.settings.revocation_limit.as_millis() * LEASE_PERCENT / 100);
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

    fn log_refusal(&self, ctx: &RequestContext, refusal: &Refusal) {
        let view = self.shared.view.load();
        log::info!(
            event = "refused", request = ctx.id(), status = refusal.status.as_u16(),
            reason = refusal.reason, runs = ctx.runs.get(), tried = ctx.tried.borrow().len(),
            waited_ms = self.now().since(ctx.arrived).as_millis(),
            retry_after_ms = refusal.retry_after.map_or(0, Span::as_millis),
            revision = view.table.as_ref().map_or(0, |t| t.revision()),
            age_ms = self.age(&view).map_or(-1, |a| i64::try_from(a.as_millis()).unwrap_or(-1));
            "a request is refused"
        );
    }

    /// Sends the request to one upstream after the other until it is answered.
    async fn attempts(
        self: Rc<Self>,
        ctx: Rc<RequestContext>,
    ) -> Result<Response<ResponseBody>, Refusal> {
        loop {
            let resolved = match self.resolve(&ctx, &self.view()) {
                Ok(resolved) => resolved,
                Err(refusal) if ctx.runs.get() == 0 => return Err(refusal),
                Err(refusal) => return Err(Refusal::of(StatusCode::BAD_GATEWAY, refusal.reason)),
            };
            let Some(target) = self.place(&ctx, &resolved).await? else {
                continue;
            };
            match self.clone().attempt(&ctx, &resolved, &target).await {
                End::Answer(response) => return Ok(response),
                End::Refused(refusal) => return Err(refusal),
                End::Unreached => ctx.reject(&target.upstream, self.now())?,
                End::NotRun => {
                    ctx.reject(&target.upstream, self.now())?;
                    if !self.with_budget(&resolved.service.name, |b| b.withdraw(self.now())) {
                        return Err(ctx.give_up("no retry budget", self.now()));
                    }
                }
                End::Again => ctx.tried.borrow_mut().push(target.upstream.clone()),
                End::Larger(level) => ctx.level.set(level),
            }
        }
    }

    /// Chooses an upstream, waits for one, or returns why the request is given up.
    ///
    /// After a wait the request is resolved anew, for which none is returned.
    async fn place(
        &self,
        ctx: &RequestContext,
        resolved: &ResolvedRoute,
    ) -> Result<Option<Target>, Refusal> {
        if self.crashes(ctx.fingerprint) >= MAX_CRASHES {
            return Err(ctx.give_up("quarantined", self.now()));
        }
        let waited = self.now().since(ctx.arrived);
        let (patience, cause, reason) = match self.choose(ctx, resolved) {
            Choice::Upstream(target) => return Ok(Some(target)),
            Choice::Full => (patience(&resolved.route), Cause::Full, "all upstreams full"),
            Choice::Backoff(rest) => {
                // A wait that ends before the upstreams are open again serves nobody.
                let patience = patience(&resolved.route).minus(rest);
                (patience, Cause::Backoff(rest), "all upstreams want quiet")
            }
            Choice::Unavailable => (NOTHING_PATIENCE, Cause::Unavailable, "no usable upstream"),
        };
        if waited >= patience {
            return Err(if ctx.runs.get() > 0 {
                Refusal::of(StatusCode::BAD_GATEWAY, reason)
            } else {
                ctx.later(cause, reason, self.now())
            });
        }
        tokio::select! {
            () = self.room.notified() => {}
            () = sleep(LOOK_AGAIN) => {}
        }
        Ok(None)
    }

    fn choose(&self, ctx: &RequestContext, resolved: &ResolvedRoute) -> Choice {
        self.choose_without(ctx, resolved, &ctx.tried.borrow())
    }

    /// Chooses an upstream that is not one of those that were tried.
    fn choose_without(
        &self,
        ctx: &RequestContext,
        resolved: &ResolvedRoute,
        tried: &[Arc<str>],
    ) -> Choice {
        let view = self.view();
        let service = &resolved.service;
        let subject = service
            .engine
            .is_some()
            .then(|| ctx.subject(&resolved.route));
        let session = ctx.session().unwrap_or(ctx.fingerprint);
        let draw = digest::mix(session ^ digest::of(service.name.as_bytes()));
        let criteria = Criteria {
            service: &service.name,
            affinity: subject,
            shared_tokens: ctx.shared_tokens(),
            // A remainder below 1,000 fits.
            draw: u16::try_from(draw % 1_000).unwrap_or_default(),
            tokens: ctx.tokens(),
            memory_tokens: service.engine.as_ref().map_or(0, |e| e.memory_tokens),
            cold_rate: service.cold_rate,
            excluded: tried,
        };
        self.pool
            .borrow()
            .choose(&criteria, &view.agreed, self.now())
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
