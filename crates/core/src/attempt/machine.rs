use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::{Action, Event, Limits, Request, Safety, Step, Usage, Work};
use crate::{
    budget::Budget,
    claim, error, evidence, ledger, name, slot,
    time::{Span, Time},
};

/// State of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Waits for a slot.
    AwaitingSlot,
    /// Holds a slot and waits for the claim.
    AwaitingClaim,
    /// Sent; no byte of the answer has arrived.
    Sent,
    /// The answer is arriving.
    Receiving,
    /// Ended; later events of the attempt are ignored.
    Ended,
}

/// One attempt to run the request on an upstream.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub(super) phase: Phase,
    pub(super) lease: Option<slot::Lease>,
    pub(super) is_hedge: bool,
    /// Whether it reconnects to a stream whose connection broke.
    pub(super) is_resumption: bool,
    pub(super) sent_at: Time,
    pub(super) last_progress: Time,
    pub(super) first_byte_at: Option<Time>,
}

/// State of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Waits for a plan.
    Planning,
    /// At least one attempt is live.
    Running,
    /// Waits until this time before a retry.
    Backoff(Time),
    /// Waits for the result of a status lookup.
    Lookup,
    /// The request has ended.
    Ended,
}

/// Whether a witness, another instance, holds the open bill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BillState {
    /// Nothing has been sent, so no bill was opened.
    NotOpened,
    /// [`Action::OpenBill`] was returned and not yet answered.
    Opening,
    /// The witness holds the bill, or no witness could be reached.
    Open,
}

/// What the caller has received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Delivery {
    /// Nothing yet.
    NotStarted,
    /// A part of a stream, so the current step of the plan can no longer change.
    Started,
    /// The answer is complete; its end may still wait for [`BillState::Open`].
    Complete,
}

/// The state of one request.
#[derive(Clone, Debug)]
pub struct Machine {
    pub(super) request: Request,
    pub(super) limits: Limits,
    pub(super) rng: ChaCha8Rng,
    pub(super) stage: Stage,
    pub(super) attempts: Vec<Attempt>,
    /// Attempts since the last chunk that was accepted.
    pub(super) attempts_since_progress: u32,
    /// Upstreams that further attempts avoid, sorted.
    pub(super) avoided: Vec<name::Upstream>,
    pub(super) plan: Vec<Step>,
    /// Index of the current step of the plan.
    pub(super) step: usize,
    /// Whether an upstream may have begun to work.
    pub(super) may_have_run: bool,
    /// Whether the claim was granted.
    pub(super) claimed: bool,
    pub(super) bill_state: BillState,
    /// Offset of the last accepted chunk.
    pub(super) last_offset: Option<u64>,
    /// Most recent token usage that a chunk carried.
    pub(super) last_usage: Option<Usage>,
    /// Chunks accepted since the start of the step.
    pub(super) chunks: u64,
    pub(super) delivery: Delivery,
    /// Bill parts of the completed steps.
    pub(super) bill_parts: Vec<ledger::Part>,
}

impl Machine {
    /// Returns the state of an admitted request and the first action.
    #[must_use]
    pub fn begin(request: Request, limits: Limits) -> (Self, Vec<Action>) {
        let machine = Self {
            rng: ChaCha8Rng::seed_from_u64(request.seed),
            request,
            limits,
            stage: Stage::Planning,
            attempts: Vec::with_capacity(1),
            attempts_since_progress: 0,
            avoided: Vec::new(),
            plan: Vec::new(),
            step: 0,
            may_have_run: false,
            claimed: false,
            bill_state: BillState::NotOpened,
            last_offset: None,
            last_usage: None,
            chunks: 0,
            delivery: Delivery::NotStarted,
            bill_parts: Vec::new(),
        };
        (machine, vec![Action::Plan])
    }

    /// Returns whether the request has ended.
    #[must_use]
    pub const fn is_finished(&self) -> bool {
        matches!(self.stage, Stage::Ended)
    }

    /// Returns the version of the current step; `None` for a plain service.
    #[must_use]
    pub fn version(&self) -> Option<name::Version> {
        self.plan.get(self.step).map(|step| step.version.clone())
    }

    /// Returns the cost of the request if the current step ends with `usage`,
    /// in millionths of the accounting unit.
    #[must_use]
    pub fn cost_with(&self, usage: Usage) -> u64 {
        let before: u64 = self.bill_parts.iter().map(|part| part.cost).sum();
        let step = self.plan.get(self.step);
        before + step.map_or(0, |step| step.bill_part(usage).cost)
    }

    /// Returns when [`Event::Tick`] is due.
    #[must_use]
    pub fn next_tick(&self) -> Time {
        let mut next = self.request.deadline;
        if let Stage::Backoff(until) = self.stage {
            next = next.min(until);
        }
        for attempt in &self.attempts {
            if let Some(limit) = self.progress_deadline(attempt) {
                next = next.min(limit);
            }
        }
        if let Some(due) = self.hedge_time() {
            next = next.min(due);
        }
        next
    }

    /// Returns when an attempt without progress counts as failed.
    pub(super) fn progress_deadline(&self, attempt: &Attempt) -> Option<Time> {
        match attempt.phase {
            // A call that must not be repeated waits until the request's deadline.
            Phase::Sent if self.is_repeatable() => {
                Some(attempt.sent_at + self.limits.first_byte_timeout)
            }
            Phase::Receiving => Some(attempt.last_progress + self.limits.idle_timeout),
            Phase::Sent | Phase::AwaitingSlot | Phase::AwaitingClaim | Phase::Ended => None,
        }
    }

    pub(super) const fn safety(&self) -> Safety {
        match &self.request.work {
            Work::Model { .. } => Safety::Repeatable,
            Work::Call { safety, .. } => *safety,
        }
    }

    pub(super) const fn is_repeatable(&self) -> bool {
        matches!(self.safety(), Safety::Repeatable)
    }

    /// Applies `event` and returns the actions to carry out.
    pub fn handle(&mut self, event: Event, now: Time, budget: &Budget) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.is_finished() {
            release_late(event, &mut actions);
            return actions;
        }
        if now >= self.request.deadline {
            release_late(event, &mut actions);
            self.fail(self.deadline_error(), &mut actions);
            return actions;
        }
        match event {
            Event::Planned(Ok(plan)) => self.on_planned(plan, now, &mut actions),
            Event::Planned(Err(error)) => self.fail(error, &mut actions),
            Event::Slot { attempt, result } => self.on_slot(attempt, result, now, &mut actions),
            Event::Claimed(result) => self.on_claim(result, now, &mut actions),
            Event::BillOpened => self.on_bill_opened(budget, &mut actions),
            Event::Head { attempt } => self.on_head(attempt, now, &mut actions),
            Event::Progress { attempt } => self.on_progress(attempt, now),
            Event::Chunk {
                attempt,
                offset,
                usage,
            } => self.on_chunk(attempt, (offset, usage), now, budget, &mut actions),
            Event::Answered {
                attempt,
                usage,
                certainty,
            } => self.on_answered(attempt, usage, certainty, now, budget, &mut actions),
            Event::Failed { attempt, fault } => {
                self.on_failed(attempt, &fault, now, budget, &mut actions);
            }
            Event::LookedUp(found) => self.on_looked_up(found, &mut actions),
            Event::CallerDisconnected => self.on_caller_disconnected(&mut actions),
            Event::Tick => self.on_tick(now, budget, &mut actions),
            Event::Stop => self.fail(self.stop_error(), &mut actions),
        }
        actions
    }

    fn on_planned(&mut self, plan: Vec<Step>, now: Time, actions: &mut Vec<Action>) {
        self.plan = plan;
        self.acquire(false, now, actions);
    }

    pub(super) fn acquire(&mut self, hedge: bool, now: Time, actions: &mut Vec<Action>) {
        let index = self.attempts.len();
        let target = match &self.request.work {
            Work::Model { .. } => {
                let Some(step) = self.plan.get(self.step) else {
                    let error = error::Error::new(error::Kind::NoUpstream, "the plan is empty");
                    return self.fail(error, actions);
                };
                slot::Target::Version(step.version.clone())
            }
            Work::Call { service, .. } => slot::Target::Service(service.clone()),
        };
        let remaining = self.request.deadline.since(now);
        self.attempts_since_progress += 1;
        self.attempts.push(Attempt {
            phase: Phase::AwaitingSlot,
            lease: None,
            is_hedge: hedge,
            is_resumption: false,
            sent_at: now,
            last_progress: now,
            first_byte_at: None,
        });
        self.stage = Stage::Running;
        actions.push(Action::Acquire {
            attempt: attempt_number(index),
            target,
            avoid: self.avoided.clone(),
            // A hedge that waits for a slot would come too late to cut the latency.
            wait: if hedge { Span::ZERO } else { remaining },
            hold: (!self.is_repeatable()).then_some(remaining),
        });
    }

    fn on_slot(
        &mut self,
        attempt: u32,
        result: Result<slot::Lease, error::Error>,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let index = attempt as usize;
        let waiting = self
            .attempts
            .get(index)
            .is_some_and(|a| a.phase == Phase::AwaitingSlot);
        match result {
            Ok(lease) if !waiting => actions.push(Action::Release {
                lease,
                report: slot::Report::NotSent,
            }),
            Err(_) if !waiting => {}
            Ok(lease) => {
                self.attempts[index].lease = Some(lease);
                if self.safety() == Safety::Claimed && !self.claimed {
                    self.attempts[index].phase = Phase::AwaitingClaim;
                    actions.push(Action::Claim);
                } else {
                    self.send(index, false, now, actions);
                }
            }
            Err(error) => {
                self.attempts[index].phase = Phase::Ended;
                if !self.has_live_attempt() {
                    self.fail(error, actions);
                }
            }
        }
    }

    fn on_claim(
        &mut self,
        result: Result<claim::Decision, error::Error>,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let Some(index) = self
            .attempts
            .iter()
            .position(|a| a.phase == Phase::AwaitingClaim)
        else {
            return;
        };
        match result {
            Ok(claim::Decision::Granted) => {
                self.claimed = true;
                self.send(index, false, now, actions);
            }
            Ok(claim::Decision::Done(answer)) => {
                self.close_attempts(slot::Report::NotSent, actions);
                self.stage = Stage::Ended;
                actions.push(Action::Replay(answer));
            }
            Ok(claim::Decision::Unknown) => {
                self.close_attempts(slot::Report::NotSent, actions);
                self.may_have_run = true;
                self.resolve_outcome(actions);
            }
            Ok(claim::Decision::InProgress) => {
                let message = "a call with this idempotency key is running";
                let error = error::Error::new(error::Kind::InProgress, message);
                self.fail(error.retry_after(IN_PROGRESS_RETRY.as_millis()), actions);
            }
            Ok(claim::Decision::Reused) => {
                let message = "the idempotency key was used with another method, path or body";
                self.fail(error::Error::new(error::Kind::KeyReused, message), actions);
            }
            Err(error) => self.fail(error, actions),
        }
    }

    pub(super) fn send(
        &mut self,
        index: usize,
        resume: bool,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let attempt = &mut self.attempts[index];
        let Some(lease) = attempt.lease.clone() else {
            return;
        };
        attempt.phase = Phase::Sent;
        attempt.sent_at = now;
        attempt.last_progress = now;
        if self.bill_state == BillState::NotOpened {
            self.bill_state = BillState::Opening;
            actions.push(Action::OpenBill(self.open_bill()));
        }
        if !resume {
            self.observe(evidence::Event::Started, actions);
        }
        actions.push(Action::Send {
            attempt: attempt_number(index),
            lease,
            version: self.version(),
            after: self.last_offset,
            resume,
        });
    }

    /// Reports an event of the current step's version. A call of a plain service has no version.
    pub(super) fn observe(&self, event: evidence::Event, actions: &mut Vec<Action>) {
        if self.step < self.plan.len() {
            actions.push(Action::Observe {
                step: self.step,
                event,
            });
        }
    }

    fn open_bill(&self) -> ledger::Bill {
        let part = self.plan.get(self.step).map(|step| {
            step.bill_part(Usage {
                prompt_tokens: self.request.prompt_tokens,
                answer_tokens: 0,
            })
        });
        self.bill_with(part.into_iter().collect())
    }

    pub(super) fn bill_with(&self, parts: Vec<ledger::Part>) -> ledger::Bill {
        ledger::Bill {
            account: self.request.account.clone(),
            request: self.request.id.clone(),
            parts,
        }
    }

    pub(super) fn has_live_attempt(&self) -> bool {
        self.attempts.iter().any(|a| a.phase != Phase::Ended)
    }

    pub(super) fn is_last_step(&self) -> bool {
        self.step + 1 >= self.plan.len()
    }

    pub(super) fn is_streamed(&self) -> bool {
        matches!(self.request.work, Work::Model { streamed: true })
    }
}

/// Gives back a slot or a claim that was granted after the request ended.
fn release_late(event: Event, actions: &mut Vec<Action>) {
    match event {
        Event::Slot {
            result: Ok(lease), ..
        } => actions.push(Action::Release {
            lease,
            report: slot::Report::NotSent,
        }),
        Event::Claimed(Ok(claim::Decision::Granted)) => {
            actions.push(Action::FinishClaim(claim::Outcome::NotSent));
        }
        _ => {}
    }
}

/// Time after which a caller may retry a call that is still running.
const IN_PROGRESS_RETRY: Span = Span::from_millis(200);

/// Converts an index of [`Machine::attempts`] to the number used in actions.
fn attempt_number(index: usize) -> u32 {
    u32::try_from(index).unwrap_or(u32::MAX)
}
