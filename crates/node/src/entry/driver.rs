//! Carries out the actions of one request.

use std::{
    collections::VecDeque,
    future::{Future, poll_fn},
    pin::Pin,
    sync::{Arc, PoisonError},
    task::{Context, Poll, ready},
};

use futures_util::future::BoxFuture;
use masticlock_core::{
    attempt::{Action, Event, Fault, Machine, Step},
    claim,
    config::VersionStatus,
    error, evidence, name, policy, slot,
    time::{Span, Time},
};
use tokio::{
    sync::futures::OwnedNotified,
    time::{Sleep, sleep_until},
};

use super::{
    Active, Shared,
    deliver::stored,
    job::{Job, Kind},
    send, sse,
    wire::{Answer, Signal, Wire},
};
use crate::port::Part;

/// The result of an operation outside of the request's connections.
pub(super) struct Outcome {
    pub(super) event: Event,
    /// The answer that a status lookup found.
    pub(super) answer: Option<Answer>,
}

impl From<Event> for Outcome {
    fn from(event: Event) -> Self {
        Self {
            event,
            answer: None,
        }
    }
}

/// What the current event brought.
enum Payload {
    None,
    Bytes(Vec<u8>),
    Answer(Answer),
}

/// One request with its connections.
pub(super) struct Driver {
    pub(super) shared: Arc<Shared>,
    pub(super) job: Job,
    pub(super) machine: Machine,
    wires: Vec<Option<Wire>>,
    /// Slots of the live attempts, for cancelling.
    leases: Vec<Option<slot::Lease>>,
    operations: Vec<BoxFuture<'static, Outcome>>,
    queue: VecDeque<Event>,
    pub(super) out: VecDeque<Part>,
    payload: Payload,
    pub(super) kept: Vec<u8>,
    pub(super) answer: Option<Answer>,
    /// The plan's steps and arm, which the evidence is counted for.
    plan: (Vec<name::Version>, evidence::Arm),
    pub(super) has_head: bool,
    /// Set when the request first waits, and due at a time limit or earlier.
    timer: Option<(Pin<Box<Sleep>>, Time)>,
    /// Resolves when the instance ends its requests.
    cut: Pin<Box<OwnedNotified>>,
    pub(super) started: Time,
    _active: Active,
}

impl Driver {
    pub(super) fn begin(shared: Arc<Shared>, job: Job) -> Self {
        let (machine, actions) = Machine::begin(job.ask.clone(), shared.settings.attempt);
        let started = shared.now();
        let mut driver = Self {
            _active: Active::new(&shared),
            timer: None,
            cut: Box::pin(shared.cut.clone().notified_owned()),
            shared,
            job,
            machine,
            wires: Vec::new(),
            leases: Vec::new(),
            operations: Vec::new(),
            queue: VecDeque::new(),
            out: VecDeque::new(),
            payload: Payload::None,
            kept: Vec::new(),
            answer: None,
            plan: (Vec::new(), evidence::Arm::Plain),
            has_head: false,
            started,
        };
        driver.carry_out(actions);
        driver
    }

    /// Returns the next part of the caller's answer; `None` after its end.
    pub(super) async fn next(&mut self) -> Option<Part> {
        poll_fn(|context| self.poll_next(context)).await
    }

    /// Runs the request to its end without a caller.
    pub(super) async fn finish(mut self: Box<Self>, caller_is_gone: bool) {
        if caller_is_gone {
            self.on(Event::CallerDisconnected);
        }
        while self.next().await.is_some() {}
        // Slots and claims that still arrive have to be returned.
        while !self.operations.is_empty() {
            let outcome = poll_fn(|context| self.poll_operations(context)).await;
            self.on(outcome.event);
        }
    }

    /// Returns whether nothing is left to do.
    pub(super) fn is_idle(&self) -> bool {
        self.machine.is_finished() && self.operations.is_empty()
    }

    fn poll_next(&mut self, context: &mut Context<'_>) -> Poll<Option<Part>> {
        loop {
            if let Some(event) = self.queue.pop_front() {
                self.on(event);
                continue;
            }
            if self.machine.is_finished() {
                return Poll::Ready(self.out.pop_front());
            }
            // Everything that is ready goes to the caller in one write.
            match self.poll_event(context) {
                Poll::Ready(event) => self.on(event),
                Poll::Pending => match self.out.pop_front() {
                    Some(part) => return Poll::Ready(Some(part)),
                    None => return Poll::Pending,
                },
            }
        }
    }

    fn poll_event(&mut self, context: &mut Context<'_>) -> Poll<Event> {
        if self.shared.is_cut() || self.cut.as_mut().poll(context).is_ready() {
            return Poll::Ready(Event::Stop);
        }
        for at in 0..self.wires.len() {
            if let Some(wire) = &mut self.wires[at]
                && let Poll::Ready(signal) = wire.poll(context)
            {
                return Poll::Ready(self.event_of(at, signal));
            }
        }
        if let Poll::Ready(outcome) = self.poll_operations(context) {
            if let Some(answer) = outcome.answer {
                self.payload = Payload::Answer(answer);
            }
            return Poll::Ready(outcome.event);
        }
        self.poll_time(context)
    }

    fn poll_operations(&mut self, context: &mut Context<'_>) -> Poll<Outcome> {
        for at in 0..self.operations.len() {
            if let Poll::Ready(outcome) = self.operations[at].as_mut().poll(context) {
                drop(self.operations.swap_remove(at));
                return Poll::Ready(outcome);
            }
        }
        Poll::Pending
    }

    /// Waits for the next time limit.
    ///
    /// A timer that is due too early only costs a look at the clock, so it is
    /// reset when a limit moves closer, and not at each piece of a stream.
    fn poll_time(&mut self, context: &mut Context<'_>) -> Poll<Event> {
        let wake = self.machine.next_tick();
        let shared = &self.shared;
        let (sleep, due) = self
            .timer
            .get_or_insert_with(|| (Box::pin(sleep_until(shared.instant(wake))), wake));
        if wake < *due {
            *due = wake;
            sleep.as_mut().reset(shared.instant(wake));
        }
        loop {
            ready!(sleep.as_mut().poll(context));
            if shared.now() >= wake {
                // A timer that has fired must not be polled again.
                self.timer = None;
                return Poll::Ready(Event::Tick);
            }
            *due = wake;
            sleep.as_mut().reset(shared.instant(wake));
        }
    }

    fn event_of(&mut self, at: usize, signal: Signal) -> Event {
        let attempt = u32::try_from(at).unwrap_or(u32::MAX);
        match signal {
            Signal::Head => Event::Head { attempt },
            Signal::Progress => Event::Progress { attempt },
            Signal::Piece {
                offset,
                bytes,
                usage,
            } => {
                let bytes = match usage {
                    Some(usage) => sse::with_cost(&bytes, self.machine.cost_with(usage)),
                    None => bytes,
                };
                self.payload = Payload::Bytes(bytes);
                Event::Chunk {
                    attempt,
                    offset,
                    usage,
                }
            }
            Signal::Answered { usage, certainty } => {
                if let Some(mut wire) = self.wires[at].take() {
                    self.payload = Payload::Answer(wire.take_answer());
                }
                Event::Answered {
                    attempt,
                    usage,
                    certainty,
                }
            }
            Signal::Failed(fault) => {
                self.wires[at] = None;
                Event::Failed { attempt, fault }
            }
        }
    }

    fn on(&mut self, event: Event) {
        let now = self.shared.now();
        let actions = self.machine.handle(event, now, &self.shared.budget);
        self.carry_out(actions);
        self.payload = Payload::None;
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            self.act(action);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Plan => {
                let plan = self.plan();
                self.queue.push_back(Event::Planned(plan));
            }
            Action::Acquire {
                attempt,
                target,
                avoid,
                wait,
                hold,
            } => self.acquire(attempt, target, avoid, (wait, hold)),
            Action::Release { lease, report } => self.shared.slots.release(lease, report),
            Action::Claim => self.claim(),
            Action::Send {
                attempt,
                lease,
                version,
                after,
                resume,
            } => self.send(attempt, lease, version.as_ref(), after, resume),
            Action::Cancel {
                attempt,
                upstream,
                discard,
            } => self.cancel(attempt, upstream, discard),
            Action::Buffer => match std::mem::replace(&mut self.payload, Payload::None) {
                Payload::None => {}
                Payload::Bytes(bytes) => self.kept.extend_from_slice(&bytes),
                Payload::Answer(answer) => self.answer = Some(answer),
            },
            Action::DiscardBuffer => {
                self.kept.clear();
                self.answer = None;
            }
            Action::Flush => self.flush(),
            Action::OpenBill(bill) => {
                let bills = self.shared.bills.clone();
                self.operations.push(Box::pin(async move {
                    if let Err(error) = bills.open(bill).await {
                        log::warn!("no witness for an open bill: {error}");
                    }
                    Event::BillOpened.into()
                }));
            }
            Action::Complete { version, cost } => self.complete(version.as_ref(), cost),
            Action::Replay(answer) => self.replay(answer),
            Action::Fail(error) => {
                self.shared.metrics.failed(error.kind);
                self.out.push_back(Part::Failed(error));
            }
            Action::Lookup => self.operations.push(send::lookup(&self.shared, &self.job)),
            Action::FinishClaimAnswered => {
                if let Some(answer) = &self.answer {
                    let end = claim::Outcome::Answered(stored(answer));
                    self.finish_claim(end);
                }
            }
            Action::FinishClaim(end) => self.finish_claim(end),
            Action::Observe { step, event } => self.observe(step, event),
            Action::SettleBill(bill) => self.shared.bills.settle(bill),
        }
    }

    fn plan(&mut self) -> Result<Vec<Step>, error::Error> {
        let Kind::Model { ask, .. } = &self.job.kind else {
            return Ok(Vec::new());
        };
        let snapshot = self.shared.snapshot.load();
        let context = policy::Context {
            config: &snapshot.config,
            availability: &*self.shared.availability,
            cut_off: snapshot.cut_off(),
            now: self.shared.now(),
        };
        let mut planner = self
            .shared
            .planner
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let (plan, considered) = planner.plan(ask, &context)?;
        drop(planner);
        self.shared.explanations.keep(ask, considered, context.now);
        self.plan = (plan.steps.clone(), plan.arm);
        let steps = plan.steps.into_iter().map(|version| {
            let entry = snapshot.config.inventory.version(&version);
            Step {
                prompt_cost: entry.map_or(0, |e| e.prompt_cost),
                answer_cost: entry.map_or(0, |e| e.answer_cost),
                version,
            }
        });
        Ok(steps.collect())
    }

    fn observe(&self, step: usize, event: evidence::Event) {
        let (versions, arm) = &self.plan;
        let (Kind::Model { ask, .. }, Some(version)) = (&self.job.kind, versions.get(step)) else {
            return;
        };
        let key = evidence::Key {
            version: version.clone(),
            task: ask.task.clone(),
            size: ask.size(),
            role: evidence::Role::of(step, versions.len()),
            arm: *arm,
        };
        self.shared.outcomes.record(&key, event);
    }

    fn acquire(
        &mut self,
        attempt: u32,
        target: slot::Target,
        avoid: Vec<name::Upstream>,
        (wait, hold): (Span, Option<Span>),
    ) {
        let fingerprint = match &self.job.kind {
            Kind::Model { ask, .. } => Some(ask.fingerprint),
            Kind::Call { .. } => None,
        };
        let ask = slot::Acquire {
            request: self.job.ask.id.clone(),
            account: self.job.ask.account.clone(),
            fingerprint,
            target,
            avoid,
            wait,
            hold,
        };
        let slots = self.shared.slots.clone();
        self.operations.push(Box::pin(async move {
            let result = slots.acquire(ask).await;
            Event::Slot { attempt, result }.into()
        }));
    }

    fn claim(&mut self) {
        let Some(key) = self.job.key.clone() else {
            return;
        };
        // The id of the request doesn't do: repeats through other instances share it.
        let holder = match name::Request::try_from(self.shared.next_id()) {
            Ok(holder) => holder,
            Err(error) => {
                let error = error::Error::new(error::Kind::Internal, error.to_string());
                return self.queue.push_back(Event::Claimed(Err(error)));
            }
        };
        let ask = claim::Begin {
            key,
            fingerprint: self.job.fingerprint,
            holder,
            instance: self.shared.settings.instance.clone(),
        };
        let claims = self.shared.claims.clone();
        self.operations.push(Box::pin(async move {
            Event::Claimed(claims.begin(ask).await).into()
        }));
    }

    fn send(
        &mut self,
        attempt: u32,
        lease: slot::Lease,
        version: Option<&name::Version>,
        after: Option<u64>,
        resume: bool,
    ) {
        if let Some(fault) = self.closed(&lease, version) {
            self.queue.push_back(Event::Failed { attempt, fault });
            return;
        }
        let at = attempt as usize;
        if self.wires.len() <= at {
            self.wires.resize_with(at + 1, || None);
            self.leases.resize(at + 1, None);
        }
        let wire = send::wire(&self.shared, &self.job, &lease, version, after, resume);
        self.wires[at] = Some(wire);
        self.leases[at] = Some(lease);
    }

    /// Returns why the upstream or version may get no new work. The
    /// configuration may have changed while the request waited for its slot.
    fn closed(&self, lease: &slot::Lease, version: Option<&name::Version>) -> Option<Fault> {
        let snapshot = self.shared.snapshot.load();
        let config = &snapshot.config;
        if version.is_some_and(|v| config.version_status(v) == VersionStatus::Withdrawn) {
            return Some(Fault::Withdrawn);
        }
        let domain = config
            .inventory
            .upstream(&lease.upstream)
            .map(|u| &u.domain);
        let closed = config.drained.binary_search(&lease.upstream).is_ok()
            || domain.is_some_and(|d| config.taken_out.binary_search(d).is_ok());
        closed.then_some(Fault::Closed)
    }

    fn cancel(&mut self, attempt: u32, upstream: bool, discard: bool) {
        let at = attempt as usize;
        let wire = self.wires.get_mut(at).and_then(Option::take);
        let lease = self.leases.get_mut(at).and_then(Option::take);
        drop(wire);
        let Some(lease) = lease else {
            return;
        };
        if discard {
            self.shared.pools.discard(&lease.address);
        }
        if upstream && matches!(self.job.kind, Kind::Model { streamed: true, .. }) {
            send::cancel(&self.shared, &lease, &self.job.ask.id);
        }
    }

    fn finish_claim(&self, end: claim::Outcome) {
        if let Some(key) = self.job.key.clone() {
            send::finish_claim(&self.shared, key, end);
        }
    }
}
