//! Executes the actions of one request's state machine.

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
    ActiveWork, Shared,
    admission::{AdmittedRequest, Outbound},
    deliver::stored_response,
    exchange::{Exchange, Signal, UpstreamResponse},
    send, sse,
};
use crate::port::Part;

/// Result of an operation that doesn't use an exchange of the request, such as acquiring a slot.
pub(super) struct OperationResult {
    pub(super) event: Event,
    /// Response found by a status lookup.
    pub(super) response: Option<UpstreamResponse>,
}

impl From<Event> for OperationResult {
    fn from(event: Event) -> Self {
        Self {
            event,
            response: None,
        }
    }
}

/// Data that belongs to the current event and that an action may buffer.
enum Payload {
    None,
    Bytes(Vec<u8>),
    Response(UpstreamResponse),
}

/// Drives one request: feeds events to its state machine and executes the resulting actions.
pub(super) struct Driver {
    pub(super) shared: Arc<Shared>,
    pub(super) admitted: AdmittedRequest,
    pub(super) machine: Machine,
    /// Exchanges with upstreams, by attempt.
    exchanges: Vec<Option<Exchange>>,
    /// Slots of the running attempts, by attempt; needed to cancel them.
    leases: Vec<Option<slot::Lease>>,
    /// Running operations, such as slot requests and claims.
    operations: Vec<BoxFuture<'static, OperationResult>>,
    pending_events: VecDeque<Event>,
    /// Parts that the caller has yet to receive.
    pub(super) output: VecDeque<Part>,
    payload: Payload,
    /// Stream bytes that aren't released to the caller yet.
    pub(super) buffered: Vec<u8>,
    /// Complete response that isn't released to the caller yet.
    pub(super) response: Option<UpstreamResponse>,
    /// Versions and arm of the plan, to which the evidence is attributed.
    plan: (Vec<name::Version>, evidence::Arm),
    pub(super) head_sent: bool,
    /// Timer and its due time, which is the next time limit or earlier. Created when the request
    /// first waits.
    timer: Option<(Pin<Box<Sleep>>, Time)>,
    /// Resolves when the instance aborts its requests.
    abort: Pin<Box<OwnedNotified>>,
    pub(super) started: Time,
    _active: ActiveWork,
}

impl Driver {
    /// Starts a request and executes its first actions.
    pub(super) fn begin(shared: Arc<Shared>, admitted: AdmittedRequest) -> Self {
        let (machine, actions) = Machine::begin(admitted.request.clone(), shared.settings.attempt);
        let started = shared.now();
        let mut driver = Self {
            _active: ActiveWork::new(&shared),
            timer: None,
            abort: Box::pin(shared.abort.clone().notified_owned()),
            shared,
            admitted,
            machine,
            exchanges: Vec::new(),
            leases: Vec::new(),
            operations: Vec::new(),
            pending_events: VecDeque::new(),
            output: VecDeque::new(),
            payload: Payload::None,
            buffered: Vec::new(),
            response: None,
            plan: (Vec::new(), evidence::Arm::Plain),
            head_sent: false,
            started,
        };
        driver.execute_actions(actions);
        driver
    }

    /// Returns the next part of the response to the caller; `None` after its end.
    pub(super) async fn next(&mut self) -> Option<Part> {
        poll_fn(|context| self.poll_next(context)).await
    }

    /// Runs the request to its end without delivering the response.
    pub(super) async fn finish(mut self: Box<Self>, caller_is_gone: bool) {
        if caller_is_gone {
            self.handle_event(Event::CallerDisconnected);
        }
        while self.next().await.is_some() {}
        // Slots and claims that are granted after the end must be released.
        while !self.operations.is_empty() {
            let result = poll_fn(|context| self.poll_operations(context)).await;
            self.handle_event(result.event);
        }
    }

    /// Returns whether the request is finished and no operation is running.
    pub(super) fn is_idle(&self) -> bool {
        self.machine.is_finished() && self.operations.is_empty()
    }

    fn poll_next(&mut self, context: &mut Context<'_>) -> Poll<Option<Part>> {
        loop {
            if let Some(event) = self.pending_events.pop_front() {
                self.handle_event(event);
                continue;
            }
            if self.machine.is_finished() {
                return Poll::Ready(self.output.pop_front());
            }
            // Handles all ready events first, so that their output goes to the caller in one write.
            match self.poll_event(context) {
                Poll::Ready(event) => self.handle_event(event),
                Poll::Pending => match self.output.pop_front() {
                    Some(part) => return Poll::Ready(Some(part)),
                    None => return Poll::Pending,
                },
            }
        }
    }

    fn poll_event(&mut self, context: &mut Context<'_>) -> Poll<Event> {
        if self.shared.is_aborting() || self.abort.as_mut().poll(context).is_ready() {
            return Poll::Ready(Event::Stop);
        }
        for index in 0..self.exchanges.len() {
            if let Some(exchange) = &mut self.exchanges[index]
                && let Poll::Ready(signal) = exchange.poll(context)
            {
                return Poll::Ready(self.event_for_signal(index, signal));
            }
        }
        if let Poll::Ready(result) = self.poll_operations(context) {
            if let Some(response) = result.response {
                self.payload = Payload::Response(response);
            }
            return Poll::Ready(result.event);
        }
        self.poll_time(context)
    }

    fn poll_operations(&mut self, context: &mut Context<'_>) -> Poll<OperationResult> {
        for index in 0..self.operations.len() {
            if let Poll::Ready(result) = self.operations[index].as_mut().poll(context) {
                drop(self.operations.swap_remove(index));
                return Poll::Ready(result);
            }
        }
        Poll::Pending
    }

    /// Waits for the next time limit.
    ///
    /// A timer that fires too early only costs a read of the clock, so it is
    /// reset when the limit moves closer, but not for each chunk of a stream.
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

    /// Converts a signal of an exchange to an event and keeps its data as the payload.
    fn event_for_signal(&mut self, index: usize, signal: Signal) -> Event {
        let attempt = u32::try_from(index).unwrap_or(u32::MAX);
        match signal {
            Signal::Head => Event::Head { attempt },
            Signal::Progress => Event::Progress { attempt },
            Signal::Chunk {
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
                if let Some(mut exchange) = self.exchanges[index].take() {
                    self.payload = Payload::Response(exchange.take_response());
                }
                Event::Answered {
                    attempt,
                    usage,
                    certainty,
                }
            }
            Signal::Failed(fault) => {
                self.exchanges[index] = None;
                Event::Failed { attempt, fault }
            }
        }
    }

    /// Passes an event to the state machine and executes the resulting actions.
    fn handle_event(&mut self, event: Event) {
        let now = self.shared.now();
        let actions = self.machine.handle(event, now, &self.shared.budget);
        self.execute_actions(actions);
        self.payload = Payload::None;
    }

    fn execute_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Plan => {
                let plan = self.plan();
                self.pending_events.push_back(Event::Planned(plan));
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
                Payload::Bytes(bytes) => self.buffered.extend_from_slice(&bytes),
                Payload::Response(response) => self.response = Some(response),
            },
            Action::DiscardBuffer => {
                self.buffered.clear();
                self.response = None;
            }
            Action::Flush => self.flush(),
            Action::OpenBill(bill) => {
                let bills = self.shared.bills.clone();
                self.operations.push(Box::pin(async move {
                    if let Err(error) = bills.open(bill).await {
                        log::warn!("failed to record an open bill on another instance: {error}");
                    }
                    Event::BillOpened.into()
                }));
            }
            Action::Complete { version, cost } => self.complete(version.as_ref(), cost),
            Action::Replay(response) => self.replay(response),
            Action::Fail(error) => {
                self.shared.metrics.failed(error.kind);
                self.output.push_back(Part::Failed(error));
            }
            Action::Lookup => self
                .operations
                .push(send::look_up_status(&self.shared, &self.admitted)),
            Action::FinishClaimAnswered => {
                if let Some(response) = &self.response {
                    let outcome = claim::Outcome::Answered(stored_response(response));
                    self.finish_claim(outcome);
                }
            }
            Action::FinishClaim(outcome) => self.finish_claim(outcome),
            Action::Observe { step, event } => self.observe(step, event),
            Action::SettleBill(bill) => self.shared.bills.settle(bill),
        }
    }

    /// Plans a model request; a service call has no steps.
    fn plan(&mut self) -> Result<Vec<Step>, error::Error> {
        let Outbound::Model { request, .. } = &self.admitted.outbound else {
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
        let (plan, considered) = planner.plan(request, &context)?;
        drop(planner);
        self.shared
            .explanations
            .keep(request, considered, context.now);
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

    /// Records what happened at a step of the plan as evidence about its version.
    fn observe(&self, step: usize, event: evidence::Event) {
        let (versions, arm) = &self.plan;
        let (Outbound::Model { request, .. }, Some(version)) =
            (&self.admitted.outbound, versions.get(step))
        else {
            return;
        };
        let key = evidence::Key {
            version: version.clone(),
            task: request.task.clone(),
            size: request.size(),
            role: evidence::Role::of(step, versions.len()),
            arm: *arm,
        };
        self.shared.outcomes.record(&key, event);
    }

    /// Starts to acquire a slot for an attempt.
    fn acquire(
        &mut self,
        attempt: u32,
        target: slot::Target,
        avoid: Vec<name::Upstream>,
        (wait, hold): (Span, Option<Span>),
    ) {
        let fingerprint = match &self.admitted.outbound {
            Outbound::Model { request, .. } => Some(request.fingerprint),
            Outbound::Call { .. } => None,
        };
        let acquire = slot::Acquire {
            request: self.admitted.request.id.clone(),
            account: self.admitted.request.account.clone(),
            fingerprint,
            target,
            avoid,
            wait,
            hold,
        };
        let slots = self.shared.slots.clone();
        self.operations.push(Box::pin(async move {
            let result = slots.acquire(acquire).await;
            Event::Slot { attempt, result }.into()
        }));
    }

    /// Starts to claim the call, so that it runs at most once.
    fn claim(&mut self) {
        let Some(key) = self.admitted.idempotency_key.clone() else {
            return;
        };
        // The request's id is not unique: a repeat through another instance has the same one.
        let holder = match name::Request::try_from(self.shared.next_id()) {
            Ok(holder) => holder,
            Err(error) => {
                let error = error::Error::new(error::Kind::Internal, error.to_string());
                return self.pending_events.push_back(Event::Claimed(Err(error)));
            }
        };
        let begin = claim::Begin {
            key,
            fingerprint: self.admitted.fingerprint,
            holder,
            instance: self.shared.settings.instance.clone(),
        };
        let claims = self.shared.claims.clone();
        self.operations.push(Box::pin(async move {
            Event::Claimed(claims.begin(begin).await).into()
        }));
    }

    /// Sends an attempt to the upstream that its slot belongs to.
    fn send(
        &mut self,
        attempt: u32,
        lease: slot::Lease,
        version: Option<&name::Version>,
        after: Option<u64>,
        resume: bool,
    ) {
        if let Some(fault) = self.dispatch_fault(&lease, version) {
            self.pending_events
                .push_back(Event::Failed { attempt, fault });
            return;
        }
        let index = attempt as usize;
        if self.exchanges.len() <= index {
            self.exchanges.resize_with(index + 1, || None);
            self.leases.resize(index + 1, None);
        }
        let exchange = send::start(&self.shared, &self.admitted, &lease, version, after, resume);
        self.exchanges[index] = Some(exchange);
        self.leases[index] = Some(lease);
    }

    /// Returns the reason if the upstream or version may no longer receive new
    /// work. The configuration may have changed while the request waited for
    /// its slot.
    fn dispatch_fault(
        &self,
        lease: &slot::Lease,
        version: Option<&name::Version>,
    ) -> Option<Fault> {
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

    /// Cancels an attempt. `upstream` also cancels its stream at the upstream; `discard` discards
    /// the upstream's connection pool.
    fn cancel(&mut self, attempt: u32, upstream: bool, discard: bool) {
        let index = attempt as usize;
        let exchange = self.exchanges.get_mut(index).and_then(Option::take);
        let lease = self.leases.get_mut(index).and_then(Option::take);
        drop(exchange);
        let Some(lease) = lease else {
            return;
        };
        if discard {
            self.shared.pools.discard(&lease.address);
        }
        if upstream
            && matches!(
                self.admitted.outbound,
                Outbound::Model { streamed: true, .. }
            )
        {
            send::cancel_stream(&self.shared, &lease, &self.admitted.request.id);
        }
    }

    fn finish_claim(&self, outcome: claim::Outcome) {
        if let Some(key) = self.admitted.idempotency_key.clone() {
            send::finish_claim(&self.shared, key, outcome);
        }
    }
}
