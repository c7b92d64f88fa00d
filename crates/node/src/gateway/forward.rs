//! Request forwarding: routing, selection of an upstream, attempts and retries.

mod admission;
mod attempt;
mod cascading;
mod context;
mod hand_over;
mod in_flight;
mod inquiry;
mod pass;
mod relay;
mod screening;
mod stats;
mod waiting;

use std::{
    cell::{Cell, OnceCell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use hyper::{Response, StatusCode};
use masticlock_core::{
    cascade::{Confidence, Pressure, Work},
    digest,
    fault::Fault,
    forecast::Forecast,
    pace,
    placement::{Choice, Criteria, Pool, Prompt, Target},
    reach::Reach,
    report::VersionStats,
    retry_after::Cause,
    retry_budget,
    rollout::lateness::Reference,
    time::{Span, Time},
};
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

use self::{attempt::AttemptResult, in_flight::InFlightGuard, pass::PassGuard};
pub use self::{context::RequestContext, hand_over::PeerPlace};
use super::{
    adapter::Adapter,
    buffer::ResponseBuffer,
    connection_pool::ConnectionPool,
    entry::{ResponseBody, Settings},
    handler::{Refusal, ResolvedRoute},
    http::{self, Limits},
    memory::{Budget, resident_bytes},
    metrics,
    socket::Connector,
    view::{SharedState, View},
};
use crate::clock::Clock;

/// Age of the replicated state up to which API keys are accepted, in percent of the time until a
/// key's revocation must be in force.
const KEY_LEASE_PERCENT: u64 = 80;

/// Age of the replicated state, in percent of the same time, from which the instance reports that
/// it is not ready.
const READINESS_PERCENT: u64 = 60;

/// Age of the replicated state below which an unknown route or key gets a final error (404 or 401)
/// instead of a 503 that asks for a retry.
const MAX_DEFINITIVE_AGE: Span = Span::from_millis(1_500);

/// Delay before a request that waits for its configuration or a permit looks again.
const SELECTION_RETRY_DELAY: Duration = Duration::from_millis(25);

/// Longest time that a request waits for a current configuration: an election and two polls.
const MAX_CONFIGURATION_WAIT: Span = Span::from_millis(1_800);

/// Time after the start of the process within which the first configuration is expected.
const STARTUP_LIMIT: Span = Span::from_secs(6);

/// Longest time that a request with a suspect part waits for a permit. The parts that other requests
/// have answered meanwhile are no longer suspect.
const MAX_TRIAL_WAIT: Span = Span::from_millis(1_500);

/// Limits of request heads before the first configuration.
const INITIAL_HEAD_LIMITS: Limits = Limits {
    head_bytes: 16_384,
    head_timeout: Duration::from_secs(15),
};

/// Limits of request bodies, in bytes and time, before the first configuration.
const INITIAL_BODY_LIMITS: (usize, Duration) = (4 * 1_024 * 1_024, Duration::from_secs(3));

/// State of the traffic thread, which forwards requests.
pub struct Proxy {
    settings: Settings,
    clock: Clock,
    shared: Arc<SharedState>,
    adapter: Box<dyn Adapter>,
    connections: Rc<ConnectionPool>,
    memory: Rc<Budget>,
    /// Connections of clients, once the instance listens.
    client_connections: OnceCell<Rc<http::Connections>>,
    buffer: Rc<ResponseBuffer>,
    pool: RefCell<Pool>,
    /// Version of the view from which the pool was last updated.
    view_version: Cell<u64>,
    /// Version of the directory from which the pool was last updated.
    directory_version: Cell<u64>,
    /// Version of the inbox from which permits were last taken.
    inbox_version: Cell<u64>,
    retry_budgets: RefCell<Vec<(Arc<str>, retry_budget::Budget)>>,
    version_stats: RefCell<Vec<VersionStats>>,
    /// Moving mean of the time until a response head, in milliseconds, by route.
    mean_head_times: RefCell<Vec<(Arc<str>, f64)>>,
    pressure: RefCell<Pressure>,
    confidence: RefCell<Confidence>,
    /// What runs of the largest models take.
    large_work: RefCell<Work>,
    forecast: RefCell<Forecast>,
    /// Pace of the upstreams.
    paces: RefCell<pace::Learner>,
    /// Number of the list of paces in the pool.
    paces_version: Cell<u64>,
    /// Answers of the stable versions.
    reference: RefCell<Reference>,
    reach: RefCell<Reach>,
    /// Ends the wait for upstreams that this instance does not reach any more.
    cut_off: Notify,
    /// Whether the instance stops and takes no more requests of peers.
    is_stopping: Cell<bool>,
    /// Number of requests of peers.
    peer_places: Rc<Cell<u32>>,
    /// Number of the list of peers in the pool.
    peers_version: Cell<u64>,
    /// Wakes requests that wait outside of the lines when another request has ended.
    capacity_freed: Notify,
    /// Requests that wait because all upstreams of their service are full.
    lines: waiting::Lines,
    started_at: Time,
    metrics: metrics::EntryMetrics,
}

impl Proxy {
    /// Creates the state of a new process.
    pub fn new(
        settings: Settings,
        clock: Clock,
        shared: Arc<SharedState>,
        adapter: Box<dyn Adapter>,
        connector: Rc<dyn Connector>,
        instance: u64,
    ) -> Self {
        let memory = Rc::new(Budget::new(settings.memory_limit, clock));
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
            connections: Rc::new(ConnectionPool::new(clock, connector)),
            buffer: Rc::new(ResponseBuffer::with_budget(memory.clone())),
            memory,
            client_connections: OnceCell::new(),
            pool: RefCell::new(pool),
            view_version: Cell::new(0),
            directory_version: Cell::new(0),
            inbox_version: Cell::new(0),
            retry_budgets: RefCell::default(),
            version_stats: RefCell::default(),
            mean_head_times: RefCell::default(),
            pressure: RefCell::default(),
            confidence: RefCell::default(),
            large_work: RefCell::default(),
            forecast: RefCell::default(),
            paces: RefCell::default(),
            paces_version: Cell::new(0),
            reference: RefCell::default(),
            reach: RefCell::default(),
            cut_off: Notify::new(),
            is_stopping: Cell::default(),
            peer_places: Rc::default(),
            peers_version: Cell::new(0),
            capacity_freed: Notify::new(),
            lines: waiting::Lines::default(),
            started_at: clock.now(),
            metrics: metrics::EntryMetrics::default(),
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns the settings of the instance.
    pub const fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the adapter of the platform.
    pub fn adapter(&self) -> &dyn Adapter {
        &*self.adapter
    }

    /// Returns the latest view and updates the pool from it if it is new.
    fn view(&self) -> Arc<View> {
        let view = self.shared.view.load_full();
        if view.inbox_version != self.inbox_version.replace(view.inbox_version) {
            self.take_permits();
        }
        if view.peers.0 != self.peers_version.replace(view.peers.0) {
            let mut pool = self.pool.borrow_mut();
            pool.set_peers(&view.peers.1, self.now());
        }
        if view.version != self.view_version.get() {
            self.view_version.set(view.version);
            let mut pool = self.pool.borrow_mut();
            if view.directory_version != self.directory_version.replace(view.directory_version) {
                pool.update(view.directory.entries(), self.now());
                let mut screen = self.shared.screen();
                screen.detect_restarts(|process| pool.is_replaced(process), self.now());
            }
            if view.paces.0 != self.paces_version.replace(view.paces.0) {
                pool.update_paces(&view.paces.1, self.now());
            }
            pool.update_totals(&view.totals, self.now());
        }
        view
    }

    /// Takes over the permits that have arrived.
    fn take_permits(&self) {
        let inbox = self.shared.inbox.lock();
        // The control thread never panics while it holds the lock.
        let mut inbox = inbox.unwrap_or_else(std::sync::PoisonError::into_inner);
        let permits = std::mem::take(&mut inbox.permits);
        let contact_at = inbox.contact_at;
        drop(inbox);
        let mut pool = self.pool.borrow_mut();
        pool.grant(&permits, contact_at, self.now());
    }

    /// Returns the time since the replicated state was last known to be current.
    fn state_age(&self, view: &View) -> Option<Span> {
        view.confirmed_at.map(|at| self.now().since(at))
    }

    fn is_state_within(&self, view: &View, percent: u64) -> bool {
        let limit = Span::from_millis(self.settings.revocation_limit.as_millis() * percent / 100);
        self.state_age(view).is_some_and(|age| age < limit)
    }

    /// Returns until when a request may be written to an upstream, or none if it has no client
    /// account and no newer configuration is known. The limit keeps a revoked key from being used
    /// and an outdated configuration from being obeyed.
    fn send_deadline(&self, resolved: &ResolvedRoute) -> Option<Time> {
        let limit =
            Span::from_millis(self.settings.revocation_limit.as_millis() * KEY_LEASE_PERCENT / 100);
        let view = self.shared.view.load();
        let lease_end = view.confirmed_at.map_or(Time::ZERO, |at| at + limit);
        let lease_end =
            (resolved.account.is_some() && !Fault::NoLease.is_injected()).then_some(lease_end);
        let obey_until = view.currency.obey_until(self.settings.apply_limit);
        lease_end.into_iter().chain(obey_until).min()
    }

    /// Returns whether the instance is ready for new connections.
    pub fn is_ready(&self) -> bool {
        let view = self.view();
        view.table.is_some()
            && self.is_state_within(&view, READINESS_PERCENT)
            && view
                .currency
                .is_ready(self.settings.apply_limit, self.now())
    }

    /// Returns the limits of a client's connection.
    pub fn limits(&self) -> Limits {
        self.shared
            .view
            .load()
            .table
            .as_ref()
            .map_or(INITIAL_HEAD_LIMITS, |table| {
                let limits = table.limits();
                Limits {
                    head_bytes: limits.head_bytes,
                    head_timeout: limits.idle_timeout.max(limits.read_timeout).to_std(),
                }
            })
    }

    /// Returns the limits of a request body in bytes and time.
    pub fn body_limits(&self) -> (usize, Duration) {
        self.shared
            .view
            .load()
            .table
            .as_ref()
            .map_or(INITIAL_BODY_LIMITS, |table| {
                let limits = table.limits();
                (limits.body_bytes, limits.read_timeout.to_std())
            })
    }

    /// Closes the connections to upstreams that are no longer reused. The buffers of each take up
    /// memory.
    pub fn close_expired_connections(&self) {
        self.connections.close_expired();
    }

    /// Returns the metrics in text format.
    pub fn metrics(&self) -> String {
        let view = self.shared.view.load();
        let revision = view.table.as_ref().map_or(0, |t| t.revision());
        self.metrics.set_state(
            self.state_age(&view),
            revision,
            view.directory.entries().len(),
        );
        let age = view.currency.age(self.now());
        let newest = view.currency.newest().unwrap_or(revision);
        self.metrics
            .set_currency(newest, age.unwrap_or(Span::ZERO), &self.shared.transfers);
        let pool = self.pool.borrow();
        self.metrics
            .set_bounded_upstreams(pool.limited(), pool.brittle());
        self.metrics
            .set_crowded_services(pool.crowded_services().len());
        self.metrics.set_paces(pool.pace_range());
        drop(pool);
        self.lines.report(&self.metrics.load, self.now());
        let closed = self.client_connections.get().map_or(0, |c| c.closed());
        self.metrics
            .set_memory(self.memory.held(), self.memory.ended(), closed);
        self.metrics.set_resident(resident_bytes());
        self.metrics.text()
    }

    /// Resolves the request to its route, service and client account.
    ///
    /// A request that has waited is resolved again before it is sent, so that it is never sent by
    /// an outdated route table.
    fn resolve(&self, ctx: &RequestContext, view: &View) -> Result<ResolvedRoute, Refusal> {
        let stale = || {
            let reason = "configuration not known to be current";
            ctx.retry_later(Cause::Stale, reason, self.now())
        };
        let Some(table) = &view.table else {
            return Err(stale());
        };
        let obey_until = view.currency.obey_until(self.settings.apply_limit);
        if obey_until.is_some_and(|until| self.now() >= until) {
            let cause = Cause::Outdated(self.shared.transfers.rest());
            let reason = "a newer configuration has not arrived";
            return Err(ctx.retry_later(cause, reason, self.now()));
        }
        let definitive = obey_until.is_none()
            && self
                .state_age(view)
                .is_some_and(|age| age < MAX_DEFINITIVE_AGE);
        let reject = |status, reason| {
            if definitive {
                Refusal::new(status, reason)
            } else {
                stale()
            }
        };
        let Some(route) = table.find(&ctx.host, &ctx.path) else {
            return Err(reject(StatusCode::NOT_FOUND, "no route"));
        };
        let mut account = None;
        if table.needs_keys() && !route.public {
            let key = ctx.meta.api_key.as_deref();
            account = key.and_then(|k| table.account(k)).cloned();
            if account.is_none() {
                return Err(reject(StatusCode::UNAUTHORIZED, "unknown key"));
            }
            if !self.is_state_within(view, KEY_LEASE_PERCENT) && !Fault::NoLease.is_injected() {
                return Err(stale());
            }
        }
        let service = route
            .select_service(ctx.fingerprint)
            .and_then(|s| table.service(s));
        // Validation ensures that the table has the services of all its routes.
        let service = service.ok_or_else(stale)?;
        Ok(ResolvedRoute {
            route: route.clone(),
            service: service.clone(),
            account,
        })
    }

    /// Forwards a request and returns the response for the client.
    pub async fn serve(self: Rc<Self>, ctx: RequestContext) -> Response<ResponseBody> {
        let ctx = Rc::new(ctx);
        self.await_configuration(&ctx).await;
        let result = match self.resolve(&ctx, &self.view()) {
            Ok(resolved) => {
                ctx.set_route(&resolved.route);
                // The instance that has handed it over has counted it.
                if ctx.peer_place.is_none() {
                    self.with_budget(&resolved.service.name, |b| b.deposit(self.now()));
                }
                self.choose_only_model(&ctx, &resolved);
                let left = ctx.deadline(&resolved.route).since(self.now());
                let attempts = self.clone().try_upstreams(ctx.clone());
                let result = timeout(left.to_std(), attempts).await;
                result.unwrap_or_else(|_| Err(ctx.timed_out(self.now())))
            }
            Err(refusal) => Err(refusal),
        };
        let response = match result {
            Ok(response) => {
                log::info!(
                    event = "answered", request = ctx.id(), status = response.status().as_u16(),
                    runs = ctx.run_count(), tried = ctx.tried.borrow().len(),
                    waited_ms = self.now().since(ctx.received_at).as_millis();
                    "an upstream's response is forwarded"
                );
                response
            }
            Err(refusal) => return self.refuse(&ctx, refusal),
        };
        self.metrics
            .count_response(ctx.kind.get(), response.status());
        response
    }

    /// Waits while the instance starts or the control instances elect a leader.
    ///
    /// Clients retry once or not at all, so a short wait serves more of them than an error. The
    /// request does not wait if no update is to be expected, for example during a network
    /// partition.
    async fn await_configuration(&self, ctx: &RequestContext) {
        let quarter = ctx.meta.deadline.map_or(MAX_CONFIGURATION_WAIT, |d| {
            Span::from_millis(d.as_millis() / 4)
        });
        let until = ctx.received_at + quarter.min(MAX_CONFIGURATION_WAIT);
        loop {
            let view = self.shared.view.load();
            let limit = Span::from_millis(
                self.settings.revocation_limit.as_millis() * KEY_LEASE_PERCENT / 100,
            );
            let now = self.now();
            let expected = match self.state_age(&view) {
                Some(age) => age >= limit && age < limit.plus(MAX_CONFIGURATION_WAIT),
                None => now.since(self.started_at) < STARTUP_LIMIT,
            };
            if !expected || now >= until {
                return;
            }
            drop(view);
            sleep(SELECTION_RETRY_DELAY).await;
        }
    }

    /// Sends the request to one upstream after another until one responds or no attempt is left.
    async fn try_upstreams(
        self: Rc<Self>,
        ctx: Rc<RequestContext>,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let mut place = None;
        loop {
            let resolved = match self.resolve(&ctx, &self.view()) {
                Ok(resolved) => resolved,
                Err(refusal) if ctx.run_count() == 0 => return Err(refusal),
                Err(refusal) => return Err(Refusal::new(StatusCode::BAD_GATEWAY, refusal.reason)),
            };
            let selected = self.select_upstream(&ctx, &resolved, &mut place).await?;
            let Some((target, pass)) = selected else {
                continue;
            };
            ctx.has_wanted.set(false);
            match self.clone().attempt(&ctx, &resolved, &target, pass).await {
                AttemptResult::Response(response) => return Ok(response),
                AttemptResult::Refused(refusal) => return Err(refusal),
                AttemptResult::ConnectFailed => ctx.mark_tried(&target.upstream, self.now())?,
                AttemptResult::Held => {}
                AttemptResult::NotRun => {
                    let mut pool = self.pool.borrow_mut();
                    pool.turned_away(&target.upstream, self.now());
                    drop(pool);
                    ctx.mark_tried(&target.upstream, self.now())?;
                    if !self.with_budget(&resolved.service.name, |b| b.withdraw(self.now())) {
                        return Err(ctx.give_up("no retry budget", self.now()));
                    }
                }
                AttemptResult::Retry => ctx.tried.borrow_mut().push(target.upstream.clone()),
                AttemptResult::Escalate(level) => ctx.level.set(level),
            }
        }
    }

    fn choose(&self, ctx: &RequestContext, resolved: &ResolvedRoute) -> Choice {
        self.choose_excluding(ctx, resolved, &ctx.tried.borrow())
    }

    /// Chooses an upstream other than those in `tried`.
    fn choose_excluding(
        &self,
        ctx: &RequestContext,
        resolved: &ResolvedRoute,
        tried: &[Arc<str>],
    ) -> Choice {
        let view = self.view();
        let choose = |tried: &[Arc<str>]| {
            self.with_criteria(ctx, resolved, tried, |criteria| {
                let pool = self.pool.borrow();
                pool.choose(criteria, &view.agreed, self.now())
            })
        };
        if ctx.trial.borrow().is_some() {
            let mut avoided = tried.to_vec();
            avoided.extend(self.shared.screen().trials(self.now()).cloned());
            let choice = choose(&avoided);
            if matches!(choice, Choice::Upstream(_)) {
                return choice;
            }
        }
        choose(tried)
    }

    /// Records that an upstream has begun to answer and holds the prompt of the request.
    fn record_prompt(&self, ctx: &RequestContext, resolved: &ResolvedRoute, target: &Target) {
        if resolved.service.engine.is_none() || target.is_peer {
            return;
        }
        self.with_criteria(ctx, resolved, &[], |criteria| {
            let mut pool = self.pool.borrow_mut();
            pool.record_prompt(&target.upstream, target.incarnation, criteria, self.now());
        });
    }

    /// Records once for each attempt that permits are wanted for upstreams with limits.
    fn want_permits(&self, ctx: &RequestContext, resolved: &ResolvedRoute) {
        if ctx.has_wanted.replace(true) {
            return;
        }
        let view = self.view();
        if !self.pool.borrow().has_limits() {
            return;
        }
        let has_unmet = self.with_criteria(ctx, resolved, &ctx.tried.borrow(), |criteria| {
            let mut pool = self.pool.borrow_mut();
            pool.want(criteria, &view.agreed, self.now())
        });
        if has_unmet {
            let wants = self.pool.borrow_mut().wants(self.now());
            let report = self.shared.report.lock();
            // The control thread never panics while it holds the lock.
            let mut report = report.unwrap_or_else(std::sync::PoisonError::into_inner);
            report.wants = wants;
            drop(report);
            self.shared.poll_wanted.notify_one();
        }
    }

    /// Calls `act` with the placement criteria of a request.
    fn with_criteria<A, T>(
        &self,
        ctx: &RequestContext,
        resolved: &ResolvedRoute,
        tried: &[Arc<str>],
        act: A,
    ) -> T
    where
        A: FnOnce(&Criteria<'_>) -> T,
    {
        let service = &resolved.service;
        // A request that may crash its upstream goes where it disturbs the fewest others.
        let has_affinity = service.engine.is_some() && ctx.trial.borrow().is_none();
        let affinity_key = has_affinity.then(|| ctx.affinity_key(&resolved.route));
        let session = ctx.session_digest().unwrap_or(ctx.fingerprint);
        let draw = digest::mix(session ^ digest::of(service.name.as_bytes()));
        let prompt = Prompt {
            model: ctx.model_digest(&resolved.route),
            parts: &ctx.meta.prompt_parts,
            prefill_weight: ctx.token_weight(resolved),
            token_ms: self.forecast.borrow().token_ms(&service.name),
        };
        act(&Criteria {
            service: &service.name,
            affinity: affinity_key,
            shared_tokens: ctx.shared_tokens(),
            prompt,
            // A remainder below 1,000 fits.
            draw: u16::try_from(draw % 1_000).unwrap_or_default(),
            tokens: ctx.tokens(),
            memory_tokens: service.engine.as_ref().map_or(0, |e| e.memory_tokens),
            cold_rate: service.cold_rate,
            excluded: tried,
            may_hand_over: ctx.peer_place.is_none(),
        })
    }
}
