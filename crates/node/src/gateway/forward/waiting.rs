//! Selection of an upstream, and the wait for one.

use std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration};

use masticlock_core::{
    placement::{Choice, Target},
    retry_after::Cause,
    route::{Kind, Route},
    time::{Span, Time},
    waiting::{Line, Request},
};
use tokio::{sync::Notify, time::sleep};

use super::{PassGuard, Proxy, RequestContext, SELECTION_RETRY_DELAY};
use crate::gateway::{
    handler::{Refusal, ResolvedRoute},
    metrics::LoadMetrics,
};

/// Longest time that a request waits while no upstream is available.
const MAX_UNAVAILABLE_WAIT: Span = Span::from_millis(250);

/// Longest time that a request waits for the list of peers: two polls of each hop.
const MAX_PEER_WAIT: Span = Span::from_millis(900);

/// Longest time that a request waits for a permit for an upstream with a limit: the way of a want to
/// the leader of the control instances and back.
const MAX_PERMIT_WAIT: Span = Span::from_millis(700);

/// Delay before a request that is not the first of its line looks whether it is, or can't be served in
/// time any more: a tenth of the shortest usual objective of streams.
const LINE_CHECK_DELAY: Duration = Duration::from_millis(100);

/// Reason of the refusal of a request that can't be served in time.
const TOO_LATE: &str = "can't be served in time";

/// The lines of all services.
#[derive(Default)]
pub struct Lines(RefCell<Vec<ServiceLine>>);

/// The line of a service, with what wakes its requests.
struct ServiceLine {
    service: Arc<str>,
    line: Line,
    /// Sorted by ID.
    waiters: Vec<(u64, Rc<Notify>)>,
    /// ID of the next request.
    next_id: u64,
    /// When the waiting requests last checked whether they can be served in time.
    checked_at: Time,
}

impl ServiceLine {
    /// Wakes the request that is to be tried next.
    fn offer(&self, now: Time) {
        if let Some(id) = self.line.next(now) {
            self.wake(id);
        }
    }

    fn wake(&self, id: u64) {
        if let Ok(at) = self.waiters.binary_search_by_key(&id, |w| w.0) {
            self.waiters[at].1.notify_one();
        }
    }

    /// Wakes the requests that have left the line unserved.
    fn dismiss(&mut self, ids: &[u64]) {
        for id in ids {
            self.wake(*id);
            self.waiters.retain(|w| w.0 != *id);
        }
    }

    /// Dismisses the requests that can't be served in time any more.
    fn check(&mut self, now: Time) {
        if now.since(self.checked_at).to_std() >= SELECTION_RETRY_DELAY {
            self.checked_at = now;
            let refused = self.line.take_hopeless(now);
            self.dismiss(&refused);
            // One of them may have been woken for room that it does not take.
            if !refused.is_empty() {
                self.offer(now);
            }
        }
    }

    fn contains(&self, id: u64) -> bool {
        self.waiters.binary_search_by_key(&id, |w| w.0).is_ok()
    }
}

impl Lines {
    /// Calls `act` with the line of a service if one has been formed.
    fn with<A, T>(&self, service: &str, act: A) -> Option<T>
    where
        A: FnOnce(&mut ServiceLine) -> T,
    {
        let mut lines = self.0.borrow_mut();
        let found = lines.binary_search_by(|l| (*l.service).cmp(service));
        found.ok().map(|at| act(&mut lines[at]))
    }

    /// Wakes the request of a service that is to be tried next in the current round.
    pub(super) fn offer(&self, service: &str, now: Time) {
        self.with(service, |l| l.offer(now));
    }

    /// Begins a round in the line of a service.
    fn begin_round(&self, service: &str, now: Time) {
        self.with(service, |l| {
            l.line.begin_round();
            l.offer(now);
        });
    }

    /// Returns whether a request of the service waits.
    pub(super) fn has_line(&self, service: &str) -> bool {
        self.with(service, |l| !l.line.is_empty()).unwrap_or(false)
    }

    /// Returns when a request that is sent back may expect room, if that is known.
    fn turn(&self, service: &str, now: Time) -> Option<Span> {
        self.with(service, |l| l.line.turn(now)).flatten()
    }

    /// Sets the metrics of the lines.
    pub(super) fn report(&self, metrics: &LoadMetrics, now: Time) {
        for line in self.0.borrow().iter() {
            metrics.set_line(&line.service, line.line.len(), line.line.age(now));
        }
    }

    /// Adds a request with an ID of the line's to it.
    fn join(&self, service: &Arc<str>, mut request: Request, now: Time) -> (u64, Rc<Notify>) {
        let mut lines = self.0.borrow_mut();
        let found = lines.binary_search_by(|l| l.service.cmp(service));
        let at = found.unwrap_or_else(|at| {
            let line = ServiceLine {
                service: service.clone(),
                line: Line::default(),
                waiters: Vec::new(),
                next_id: 0,
                checked_at: now,
            };
            lines.insert(at, line);
            at
        });
        let line = &mut lines[at];
        let notify = Rc::new(Notify::new());
        request.id = line.next_id;
        line.next_id += 1;
        let id = request.id;
        line.waiters.push((id, notify.clone()));
        let refused = line.line.push(request, now);
        line.dismiss(&refused);
        (id, notify)
    }
}

/// A request's place in the line of its service, which it leaves when this is dropped.
pub struct Place {
    proxy: Rc<Proxy>,
    service: Arc<str>,
    id: u64,
    notify: Rc<Notify>,
    /// End of the wait.
    latest: Time,
}

impl Place {
    fn join(proxy: &Rc<Proxy>, ctx: &RequestContext, resolved: &ResolvedRoute) -> Self {
        let service = &resolved.service.name;
        let now = proxy.now();
        let demand = ctx.demand(resolved);
        // A rollout divides the requests between versions, of which one may be full by itself.
        let is_rolling_out = proxy.view().agreed.rollout(service).is_some();
        let request = Request {
            id: 0,
            account: resolved
                .account
                .as_ref()
                .map_or_else(|| "".into(), |a| a.name.clone()),
            rank: resolved.priority(),
            work: demand.work,
            tokens: demand.tokens,
            is_restricted: is_rolling_out || !ctx.tried.borrow().is_empty(),
            may_yield: ctx.run_count() == 0,
            arrived_at: ctx.received_at,
            due_at: ctx.received_at + resolved.route.objective,
            latest: ctx.received_at + max_wait(&resolved.route),
        };
        let latest = request.latest;
        let (id, notify) = proxy.lines.join(service, request, now);
        Self {
            proxy: proxy.clone(),
            service: service.clone(),
            id,
            notify,
            latest,
        }
    }

    /// Calls `act` with the line, unless the request has been dismissed from it.
    fn with<A, T>(&self, act: A) -> Option<T>
    where
        A: FnOnce(&mut ServiceLine) -> T,
    {
        let act = |l: &mut ServiceLine| l.contains(self.id).then(|| act(l));
        self.proxy.lines.with(&self.service, act).flatten()
    }

    /// Returns whether the request is still in the line.
    fn is_kept(&self) -> bool {
        self.with(|_| ()).is_some()
    }

    /// Leaves the line for an upstream. The next request is woken once this one counts as in flight.
    fn depart(self, ctx: &RequestContext, resolved: &ResolvedRoute) {
        let now = self.proxy.now();
        self.with(|l| {
            l.line.depart(self.id, now);
            l.waiters.retain(|w| w.0 != self.id);
        });
        log::info!(
            event = "line_left", request = ctx.id(), service = &*self.service,
            rank = resolved.priority(),
            account = resolved.account.as_ref().map_or("-", |a| &*a.name),
            waited_ms = now.since(ctx.received_at).as_millis();
            "a request that waited gets an upstream"
        );
    }

    /// Records that no upstream has room for the request, and wakes the next one.
    fn pass_over(&self) {
        let now = self.proxy.now();
        self.with(|l| {
            l.line.pass_over(self.id);
            l.offer(now);
        });
    }

    /// Returns the request of the line that is to be tried next in the current round.
    fn next(&self) -> Option<u64> {
        let now = self.proxy.now();
        self.with(|l| l.line.next(now)).flatten()
    }

    /// Waits until the request is to be tried, or is to be refused.
    async fn wait(&self) {
        let is_first = |now| self.with(|l| l.line.is_first(self.id, now));
        loop {
            let now = self.proxy.now();
            // Room that no request of this instance has freed shows in the views.
            let delay = if is_first(now) == Some(true) {
                SELECTION_RETRY_DELAY
            } else {
                LINE_CHECK_DELAY
            };
            tokio::select! {
                () = self.notify.notified() => return,
                () = sleep(delay.min(self.latest.since(now).to_std())) => {}
            }
            let now = self.proxy.now();
            self.with(|l| l.check(now));
            match is_first(now) {
                Some(true) => {
                    self.with(|l| l.line.begin_round());
                    return;
                }
                Some(false) if now < self.latest => {}
                Some(false) | None => return,
            }
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let now = self.proxy.now();
        self.with(|l| {
            l.line.remove(self.id, now);
            l.waiters.retain(|w| w.0 != self.id);
            // It may have been woken for room that it does not take.
            l.offer(now);
        });
    }
}

impl Proxy {
    /// Selects an upstream, or returns none after a wait for one: the request is then to be
    /// resolved again. `place` is kept while the request waits in the line of its service.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a request that has waited too long, can't be served in time or crashes
    /// upstreams.
    pub(super) async fn select_upstream(
        self: &Rc<Self>,
        ctx: &RequestContext,
        resolved: &ResolvedRoute,
        place: &mut Option<Place>,
    ) -> Result<Option<(Target, PassGuard)>, Refusal> {
        let service = &resolved.service.name;
        // A request may be resolved to another service after a wait.
        place.take_if(|p| p.service != *service);
        if place.as_ref().is_some_and(|p| !p.is_kept()) {
            return Err(self.refuse_waiting(ctx, resolved, TOO_LATE));
        }
        if !self.is_screened(ctx)? {
            *place = None;
            sleep(SELECTION_RETRY_DELAY).await;
            return Ok(None);
        }
        self.want_permits(ctx, resolved);
        let choice = self.choose(ctx, resolved);
        let has_room = matches!(choice, Choice::Upstream(_));
        let may_wait = self.now().since(ctx.received_at) < max_wait(&resolved.route);
        let must_queue =
            has_room && (place.is_some() || (may_wait && self.lines.has_line(service)));
        if must_queue || choice == Choice::Full {
            let is_new = place.is_none();
            let place = place.get_or_insert_with(|| Place::join(self, ctx, resolved));
            let next = place.next();
            if has_room && next != Some(place.id) && (is_new || next.is_none()) {
                self.lines.begin_round(service, self.now());
            }
            if !has_room || place.next() != Some(place.id) {
                self.wait_in_line(ctx, resolved, place, has_room).await?;
                return Ok(None);
            }
        }
        if let Choice::Upstream(target) = choice {
            let Some(pass) = PassGuard::take(self, &target) else {
                return Ok(None);
            };
            if let Some(place) = place.take() {
                place.depart(ctx, resolved);
            }
            return Ok(Some((target, pass)));
        }
        *place = None;
        self.wait_outside(ctx, resolved, choice).await?;
        Ok(None)
    }

    /// Waits until it is the request's turn to look for room again.
    async fn wait_in_line(
        &self,
        ctx: &RequestContext,
        resolved: &ResolvedRoute,
        place: &Place,
        has_room: bool,
    ) -> Result<(), Refusal> {
        if !place.is_kept() {
            return Err(self.refuse_waiting(ctx, resolved, TOO_LATE));
        }
        if self.now() >= place.latest {
            return Err(self.refuse_waiting(ctx, resolved, "all upstreams full"));
        }
        if !has_room {
            place.pass_over();
        }
        place.wait().await;
        Ok(())
    }

    /// Waits for an upstream that is not just full.
    async fn wait_outside(
        &self,
        ctx: &RequestContext,
        resolved: &ResolvedRoute,
        choice: Choice,
    ) -> Result<(), Refusal> {
        let waited = self.now().since(ctx.received_at);
        let (max_wait, cause, reason) = match choice {
            Choice::Limited(shortage) => {
                let max_wait = if shortage.scarce {
                    Span::ZERO
                } else {
                    max_wait(&resolved.route).min(MAX_PERMIT_WAIT)
                };
                let reason = "limits of all upstreams reached";
                if waited >= max_wait {
                    let mut pool = self.pool.borrow_mut();
                    let turn = pool.next_turn(&resolved.service.name, shortage, self.now());
                    return Err(ctx.refuse(Cause::Limited(turn), reason, self.now()));
                }
                (max_wait, Cause::Full, reason)
            }
            Choice::Backoff(rest) => {
                // A wait that ends before the backoff of the upstreams is useless.
                let max_wait = max_wait(&resolved.route).minus(rest);
                (max_wait, Cause::Backoff(rest), "all upstreams want quiet")
            }
            Choice::Upstream(_) | Choice::Full | Choice::Unavailable => (
                self.unavailable_wait(ctx),
                Cause::Unavailable,
                "no usable upstream",
            ),
        };
        if waited >= max_wait {
            return Err(ctx.refuse(cause, reason, self.now()));
        }
        self.await_capacity(SELECTION_RETRY_DELAY).await;
        Ok(())
    }

    /// Waits outside of the lines until a request has ended, for at most `delay`.
    pub(super) async fn await_capacity(&self, delay: Duration) {
        tokio::select! {
            () = self.capacity_freed.notified() => {}
            () = sleep(delay) => {}
        }
    }

    /// Returns the refusal of a request for which no upstream has room.
    fn refuse_waiting(
        &self,
        ctx: &RequestContext,
        resolved: &ResolvedRoute,
        reason: &'static str,
    ) -> Refusal {
        let now = self.now();
        let service = &resolved.service.name;
        let turn = self.lines.turn(service, now);
        let rank = resolved.priority();
        self.metrics.load.count_line_refusal(service, rank, reason);
        log::info!(
            event = "line_refused", request = ctx.id(), service = &**service, rank, reason,
            account = resolved.account.as_ref().map_or("-", |a| &*a.name),
            turn_ms = turn.map_or(-1, |t| i64::try_from(t.as_millis()).unwrap_or(i64::MAX)),
            waited_ms = now.since(ctx.received_at).as_millis();
            "a request finds no upstream with room in time"
        );
        ctx.refuse(turn.map_or(Cause::Full, Cause::Queued), reason, now)
    }

    /// Wakes who may use the capacity that a request of the service has freed: first the streams that
    /// look for another upstream, then the first one in the line.
    pub(super) fn free_capacity(&self, service: &str) {
        self.capacity_freed.notify_waiters();
        self.lines.begin_round(service, self.now());
    }

    /// Wakes who may use an upstream of any service again.
    pub(super) fn free_capacity_of_all(&self) {
        self.capacity_freed.notify_waiters();
        let now = self.now();
        for line in self.lines.0.borrow_mut().iter_mut() {
            line.line.begin_round();
            line.offer(now);
        }
    }

    /// Returns how long a request waits while no upstream is available: until peers are known after
    /// the way to upstreams was lost.
    fn unavailable_wait(&self, ctx: &RequestContext) -> Span {
        let pool = self.pool.borrow();
        if pool.is_cut_off() && ctx.peer_place.is_none() && !pool.has_peers(self.now()) {
            MAX_PEER_WAIT
        } else if ctx.peer_place.is_some() {
            Span::ZERO
        } else {
            MAX_UNAVAILABLE_WAIT
        }
    }
}

/// Returns how long a request may wait for an upstream with free capacity.
fn max_wait(route: &Route) -> Span {
    match route.kind {
        // A later response of a plain service is of little use to its client.
        Kind::Idempotent | Kind::NonRepeatable => route.objective.times(2),
        Kind::Stream => route.objective,
    }
}
