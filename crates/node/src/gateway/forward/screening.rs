//! Screening of requests that may crash upstreams, and detection of crashes.

use std::{io, rc::Rc, time::Duration};

use masticlock_core::{
    placement::Target,
    retry_after::Cause,
    route::Route,
    run::Right,
    suspect::{Probe, Standing, Witness, is_crash},
    time::Span,
};
use tokio::{join, pin, task::spawn_local, time::timeout};

use super::{MAX_TRIAL_WAIT, Proxy, RequestContext};
use crate::gateway::handler::Refusal;

/// Time in which a reachable machine without a listener refuses a connection, and another upstream
/// accepts one: a few round trips between failure domains.
const CRASH_PROBE_TIMEOUT: Duration = Duration::from_millis(20);

/// The same time for a request with a part that no answer speaks for. It must not run again before
/// it is known whether it has crashed its upstream.
const SUSPECT_PROBE_TIMEOUT: Duration = Duration::from_millis(700);

/// Time after which a machine that has not answered may be silent: a few round trips between failure
/// domains.
const SILENCE_DELAY: Duration = Duration::from_millis(100);

/// Longest time for a connection to another upstream.
const WITNESS_TIMEOUT: Duration = Duration::from_millis(100);

/// Number of other upstreams that are tried.
const MAX_WITNESSES: usize = 3;

/// Time after which a caller may come back whose request needs a permit.
const TRIAL_RETRY: Span = Span::from_secs(1);

/// Crashes under one request after which it is not retried.
const MAX_REQUEST_CRASHES: u32 = 2;

impl Proxy {
    /// Returns whether the request may be sent as far as crashes are concerned, by a permit if it
    /// needs one, or has to wait.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a request that crashes upstreams or has waited too long.
    pub(super) fn is_screened(&self, ctx: &RequestContext) -> Result<bool, Refusal> {
        let now = self.now();
        let mut screen = self.shared.screen();
        if screen.set().is_clear() {
            return Ok(true);
        }
        let standing = screen.standing(ctx.subjects());
        let trial = ctx.trial.borrow();
        if screen.may_send(ctx.subjects(), trial.as_ref(), now) {
            return Ok(true);
        }
        drop(trial);
        let trial = screen.try_out(ctx.subjects(), now);
        let is_in_doubt = screen.is_in_doubt(ctx.subjects());
        drop(screen);
        let has_trial = trial.is_some();
        *ctx.trial.borrow_mut() = trial;
        if has_trial {
            log::info!(
                event = "trial", request = ctx.id(), parts = ctx.part_list(),
                guilty = standing == Standing::Guilty;
                "a request that may crash its upstream runs by a permit"
            );
            return Ok(true);
        }
        if standing == Standing::Guilty && !is_in_doubt {
            return Err(ctx.ban("crashes upstreams"));
        }
        let since = ctx.held_since.get().unwrap_or_else(|| {
            self.shared.poll_wanted.notify_one();
            ctx.held_since.set(Some(now));
            now
        });
        if now.since(since) >= MAX_TRIAL_WAIT {
            let reason = "a part of the prompt is suspect";
            return Err(ctx.refuse(Cause::Limited(TRIAL_RETRY), reason, now));
        }
        Ok(false)
    }

    /// Returns whether the request may run by a permit only.
    pub(super) fn is_restricted(&self, ctx: &RequestContext) -> bool {
        self.shared.screen().standing(ctx.subjects()) > Standing::Clear
    }

    /// Returns whether the request may be written now. Evidence may have come while it waited for a
    /// connection.
    pub(super) fn may_send(&self, ctx: &RequestContext) -> bool {
        let screen = self.shared.screen();
        screen.set().is_clear()
            || screen.may_send(ctx.subjects(), ctx.trial.borrow().as_ref(), self.now())
    }

    /// Records that the request is sent and returns the right to do so, unless it may have run and
    /// may not run again. Its next attempt needs another permit.
    pub(super) fn begin_attempt(
        &self,
        ctx: &RequestContext,
        route: &Route,
        target: &Target,
    ) -> Option<Right> {
        let right = ctx.count_attempt(route, target.is_peer)?;
        if ctx.trial.borrow_mut().take().is_some() {
            let mut screen = self.shared.screen();
            screen.begin_trial(&target.upstream, self.now());
        }
        Some(right)
    }

    /// Records a complete answer, which clears what the request consists of.
    pub(super) fn record_answer(&self, ctx: &RequestContext, target: &Target) {
        let mut screen = self.shared.screen();
        screen.survived(&target.process(), self.now());
        if screen.answered(ctx.subjects(), self.now()) {
            drop(screen);
            self.shared.poll_wanted.notify_one();
        }
    }

    /// Records an answer that goes on, which speaks for the parts of the prompt.
    pub(super) fn record_progress(&self, ctx: &RequestContext) {
        if self.shared.screen().progressed(ctx.subjects(), self.now()) {
            log::info!(
                event = "progress", request = ctx.id(), parts = ctx.part_list();
                "an answer that goes on speaks for suspect parts of its prompt"
            );
            self.shared.poll_wanted.notify_one();
        }
    }

    /// Records that the request's attempt at an upstream has ended without a complete answer.
    pub(super) fn record_left(&self, ctx: &RequestContext, target: &Target) {
        // What stood still may have ended, which only the next process tells.
        if self.pool.borrow().is_unreachable(target) {
            self.record_broken(ctx, target);
        }
        let mut screen = self.shared.screen();
        if screen.left(&target.process(), ctx.subjects(), self.now()) {
            drop(screen);
            self.shared.poll_wanted.notify_one();
        }
    }

    /// Looks at the upstreams on which answers were given up whose prompts may crash them.
    pub(super) fn look_after_runs(self: &Rc<Self>) {
        let due = self.shared.screen().due_looks(self.now());
        for (upstream, incarnation) in due {
            let target = self.pool.borrow().target(&upstream, incarnation);
            let Some(target) = target.filter(|t| !self.connections.has_idle(t)) else {
                continue;
            };
            let proxy = self.clone();
            spawn_local(async move {
                if proxy.has_crashed(&target).await {
                    log::info!(
                        event = "crash", upstream = &*target.upstream,
                        incarnation = target.incarnation;
                        "an upstream has crashed after its answers were given up"
                    );
                    let now = proxy.now();
                    let mut screen = proxy.shared.screen();
                    screen.crashed(&target.upstream, target.incarnation, &[], now);
                    drop(screen);
                    proxy.shared.poll_wanted.notify_one();
                }
            });
        }
    }

    /// Returns whether so many upstreams have crashed under the request that it ends.
    pub(super) fn is_crash_limit_reached(ctx: &RequestContext) -> bool {
        ctx.crashes.get() >= MAX_REQUEST_CRASHES
    }

    /// Finds out whether the upstream of the current attempt, whose connection broke, has crashed.
    ///
    /// A machine without the upstream's process refuses a new connection at once. Other requests
    /// don't wait longer for a machine that does not respond.
    pub(super) async fn check_crash(self: &Rc<Self>, ctx: &Rc<RequestContext>, target: &Target) {
        if target.is_peer {
            return;
        }
        // An instance that reaches nothing can't tell a crash, only the next incarnation does.
        if self.pool.borrow().is_cut_off() {
            self.record_broken(ctx, target);
            return;
        }
        let is_trusted = {
            let screen = self.shared.screen();
            screen.are_trusted(ctx.subjects(), self.now())
        };
        let limit = if is_trusted {
            CRASH_PROBE_TIMEOUT
        } else {
            SUSPECT_PROBE_TIMEOUT
        };
        let has_begun = ctx.has_begun.get();
        let (this, ctx, target) = (self.clone(), ctx.clone(), target.clone());
        let probe = spawn_local(async move {
            if this.has_crashed(&target).await {
                this.record_crash(&ctx, &target, has_begun);
            } else {
                this.record_broken(&ctx, &target);
            }
        });
        // After the timeout the probe continues in its own task.
        let _unfinished = timeout(limit, probe).await;
    }

    /// Returns whether the process of an upstream whose connection has ended has crashed.
    pub(super) async fn has_crashed(self: &Rc<Self>, target: &Target) -> bool {
        let (upstream, near) = self.probe_beside_neighbours(target).await;
        let is_known = || {
            let screen = self.shared.screen();
            screen.set().has_crash(&target.upstream, target.incarnation)
        };
        if upstream != Probe::Accepted && is_known() {
            return true;
        }
        let is_leaving = self.is_leaving(target);
        let witness = if upstream == Probe::Refused && !is_leaving {
            self.probe_others(target).await
        } else {
            near
        };
        let has_crashed =
            is_crash(upstream, witness, is_leaving) || (upstream != Probe::Accepted && is_known());
        log::info!(
            event = "crash_probe", upstream = &*target.upstream, incarnation = target.incarnation,
            result:? = upstream, witness:?, is_leaving, has_crashed;
            "an upstream was probed whose connection has ended"
        );
        has_crashed
    }

    /// Finds out whether an upstream accepts connections, and whether its neighbours do if its machine
    /// does not answer.
    async fn probe_beside_neighbours(self: &Rc<Self>, target: &Target) -> (Probe, Witness) {
        let probe = self.probe(target);
        pin!(probe);
        if let Ok(probe) = timeout(SILENCE_DELAY, &mut probe).await {
            return (probe, Witness::None);
        }
        // A lost packet looks like silence, so another connection is tried.
        let (first, second, witness) = join!(
            probe,
            self.probe_again(target),
            self.probe_neighbours(target)
        );
        let probe = if first == Probe::Silent {
            second
        } else {
            first
        };
        (probe, witness)
    }

    /// Opens a connection to the upstream, which is kept for later requests.
    async fn probe(self: &Rc<Self>, target: &Target) -> Probe {
        match self.connections.open(target).await {
            Ok(conn) => {
                conn.release(None);
                Probe::Accepted
            }
            Err(error) => {
                self.mark_unreachable(target, &error);
                failed_probe(&error)
            }
        }
    }

    /// Opens another connection to an upstream that has not answered yet.
    async fn probe_again(self: &Rc<Self>, target: &Target) -> Probe {
        match self.connections.open(target).await {
            Ok(_unused) => Probe::Accepted,
            Err(error) => failed_probe(&error),
        }
    }

    /// Finds out whether any other upstream accepts a connection.
    async fn probe_others(self: &Rc<Self>, target: &Target) -> Witness {
        let now = self.now();
        let others = self.pool.borrow().witnesses(target, MAX_WITNESSES, now);
        self.find_witness(target, others).await
    }

    /// Finds out whether another upstream of the same failure domain accepts a connection.
    async fn probe_neighbours(self: &Rc<Self>, target: &Target) -> Witness {
        let now = self.now();
        let others = self.pool.borrow().neighbours(target, MAX_WITNESSES, now);
        self.find_witness(target, others).await
    }

    async fn find_witness(self: &Rc<Self>, target: &Target, others: Vec<Target>) -> Witness {
        for other in others {
            let probe = timeout(WITNESS_TIMEOUT, self.probe(&other)).await;
            if probe == Ok(Probe::Accepted) {
                return if other.domain == target.domain {
                    Witness::Near
                } else {
                    Witness::Far
                };
            }
        }
        Witness::None
    }

    fn is_leaving(&self, target: &Target) -> bool {
        let pool = self.pool.borrow();
        pool.is_leaving(&target.upstream, target.incarnation)
    }

    /// Records that the connection of a request broke and nothing shows why yet.
    fn record_broken(&self, ctx: &RequestContext, target: &Target) {
        // It ends as planned, so the next process in its place shows no crash.
        if self.is_leaving(target) {
            return;
        }
        let mut screen = self.shared.screen();
        screen.broke(&target.process(), ctx.subjects(), self.now());
    }

    fn record_crash(&self, ctx: &RequestContext, target: &Target, has_begun: bool) {
        ctx.crashes.set(ctx.crashes.get() + 1);
        self.metrics.count_crash();
        log::info!(
            event = "crash", request = ctx.id(), fingerprint = format!("{:016x}", ctx.fingerprint),
            parts = ctx.part_list(), has_begun,
            upstream = &*target.upstream, incarnation = target.incarnation;
            "an upstream has crashed while it ran a request"
        );
        let mut screen = self.shared.screen();
        let (upstream, incarnation) = (&target.upstream, target.incarnation);
        screen.crashed(upstream, incarnation, ctx.subjects(), self.now());
        drop(screen);
        self.shared.poll_wanted.notify_one();
    }
}

/// Returns what the error of a new connection shows.
fn failed_probe(error: &io::Error) -> Probe {
    if error.kind() == io::ErrorKind::ConnectionRefused {
        Probe::Refused
    } else {
        Probe::Silent
    }
}
