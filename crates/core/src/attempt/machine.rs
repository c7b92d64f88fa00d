use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::{Action, Event, Limits, Request, Safety, Step, Usage, Work};
use crate::{
    budget::Budget,
    claim, error, evidence, ledger, name, slot,
    time::{Span, Time},
};

/// Where an attempt stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Waits for its slot.
    Slot,
    /// Has its slot and waits for the claim.
    Claim,
    /// Sent, without a first byte.
    Sent,
    /// The answer is arriving.
    Streaming,
    /// Ended. What still arrives is dropped.
    Over,
}

/// One attempt to run the request on an upstream.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub(super) phase: Phase,
    pub(super) lease: Option<slot::Lease>,
    pub(super) hedge: bool,
    /// Whether the upstream worked on it before its connection broke.
    pub(super) resumed: bool,
    pub(super) sent: Time,
    pub(super) progress: Time,
    pub(super) first: Option<Time>,
}

/// Where the request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Waits for its plan.
    Planning,
    /// At least one attempt is live.
    Running,
    /// Waits before a retry.
    Backoff(Time),
    /// Waits for the status lookup of a call.
    Lookup,
    /// Ended.
    Over,
}

/// Whether another instance holds the open bill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Witness {
    Unasked,
    Asked,
    Answered,
}

/// What the caller has received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Delivery {
    /// Nothing yet.
    Kept,
    /// A part of a stream. The step of the plan is fixed from here on.
    Begun,
    /// The answer is complete, and its end may still wait for the witness.
    Ended,
}

/// The state of one request.
#[derive(Clone, Debug)]
pub struct Machine {
    pub(super) ask: Request,
    pub(super) limits: Limits,
    pub(super) rng: ChaCha8Rng,
    pub(super) stage: Stage,
    pub(super) attempts: Vec<Attempt>,
    /// Attempts since the last piece that was kept.
    pub(super) tries: u32,
    pub(super) avoid: Vec<name::Upstream>,
    pub(super) plan: Vec<Step>,
    pub(super) step: usize,
    /// Whether an upstream may have begun to work.
    pub(super) may_have_run: bool,
    /// Whether the claim was granted.
    pub(super) claimed: bool,
    pub(super) witness: Witness,
    /// Offset of the last kept piece.
    pub(super) offset: Option<u64>,
    /// Usage that the last piece brought.
    pub(super) usage: Option<Usage>,
    /// Pieces kept since the start of the step.
    pub(super) pieces: u64,
    pub(super) delivery: Delivery,
    pub(super) parts: Vec<ledger::Part>,
}

impl Machine {
    /// Returns the state of an admitted request and the first action.
    #[must_use]
    pub fn begin(ask: Request, limits: Limits) -> (Self, Vec<Action>) {
        let machine = Self {
            rng: ChaCha8Rng::seed_from_u64(ask.seed),
            ask,
            limits,
            stage: Stage::Planning,
            attempts: Vec::with_capacity(1),
            tries: 0,
            avoid: Vec::new(),
            plan: Vec::new(),
            step: 0,
            may_have_run: false,
            claimed: false,
            witness: Witness::Unasked,
            offset: None,
            usage: None,
            pieces: 0,
            delivery: Delivery::Kept,
            parts: Vec::new(),
        };
        (machine, vec![Action::Plan])
    }

    /// Returns whether the request has ended.
    #[must_use]
    pub const fn is_finished(&self) -> bool {
        matches!(self.stage, Stage::Over)
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
        let before: u64 = self.parts.iter().map(|part| part.cost).sum();
        let step = self.plan.get(self.step);
        before + step.map_or(0, |step| step.bill_part(usage).cost)
    }

    /// Returns when [`Event::Tick`] is due.
    #[must_use]
    pub fn next_tick(&self) -> Time {
        let mut wake = self.ask.deadline;
        if let Stage::Backoff(until) = self.stage {
            wake = wake.min(until);
        }
        for attempt in &self.attempts {
            if let Some(limit) = self.progress_limit(attempt) {
                wake = wake.min(limit);
            }
        }
        if let Some(at) = self.hedge_time() {
            wake = wake.min(at);
        }
        wake
    }

    pub(super) fn progress_limit(&self, attempt: &Attempt) -> Option<Time> {
        match attempt.phase {
            // A call that may run once is not given up before the deadline.
            Phase::Sent if self.is_repeatable() => {
                Some(attempt.sent + self.limits.first_byte_timeout)
            }
            Phase::Streaming => Some(attempt.progress + self.limits.idle_timeout),
            Phase::Sent | Phase::Slot | Phase::Claim | Phase::Over => None,
        }
    }

    pub(super) const fn safety(&self) -> Safety {
        match &self.ask.work {
            Work::Model { .. } => Safety::Repeatable,
            Work::Call { safety, .. } => *safety,
        }
    }

    pub(super) const fn is_repeatable(&self) -> bool {
        matches!(self.safety(), Safety::Repeatable)
    }

    /// Returns the actions that follow from `event`.
    pub fn handle(&mut self, event: Event, now: Time, budget: &Budget) -> Vec<Action> {
        let mut out = Vec::new();
        if self.is_finished() {
            after_end(event, &mut out);
            return out;
        }
        if now >= self.ask.deadline {
            after_end(event, &mut out);
            self.fail(self.deadline_error(), &mut out);
            return out;
        }
        match event {
            Event::Planned(Ok(plan)) => self.planned(plan, now, &mut out),
            Event::Planned(Err(error)) => self.fail(error, &mut out),
            Event::Slot { attempt, result } => self.slot(attempt, result, now, &mut out),
            Event::Claimed(result) => self.on_claim(result, now, &mut out),
            Event::BillOpened => self.opened(budget, &mut out),
            Event::Head { attempt } => self.head(attempt, now, &mut out),
            Event::Progress { attempt } => self.progress(attempt, now),
            Event::Chunk {
                attempt,
                offset,
                usage,
            } => self.piece(attempt, (offset, usage), now, budget, &mut out),
            Event::Answered {
                attempt,
                usage,
                certainty,
            } => self.answered(attempt, usage, certainty, now, budget, &mut out),
            Event::Failed { attempt, fault } => self.failed(attempt, &fault, now, budget, &mut out),
            Event::LookedUp(found) => self.looked_up(found, &mut out),
            Event::CallerDisconnected => self.on_caller_gone(&mut out),
            Event::Tick => self.tick(now, budget, &mut out),
            Event::Stop => self.fail(self.stop_error(), &mut out),
        }
        out
    }

    fn planned(&mut self, plan: Vec<Step>, now: Time, out: &mut Vec<Action>) {
        self.plan = plan;
        self.acquire(false, now, out);
    }

    pub(super) fn acquire(&mut self, hedge: bool, now: Time, out: &mut Vec<Action>) {
        let attempt = self.attempts.len();
        let target = match &self.ask.work {
            Work::Model { .. } => {
                let Some(step) = self.plan.get(self.step) else {
                    let error = error::Error::new(error::Kind::NoUpstream, "the plan is empty");
                    return self.fail(error, out);
                };
                slot::Target::Version(step.version.clone())
            }
            Work::Call { service, .. } => slot::Target::Service(service.clone()),
        };
        let left = self.ask.deadline.since(now);
        self.tries += 1;
        self.attempts.push(Attempt {
            phase: Phase::Slot,
            lease: None,
            hedge,
            resumed: false,
            sent: now,
            progress: now,
            first: None,
        });
        self.stage = Stage::Running;
        out.push(Action::Acquire {
            attempt: index(attempt),
            target,
            avoid: self.avoid.clone(),
            // A hedge that has to wait for a slot would come too late to help.
            wait: if hedge { Span::ZERO } else { left },
            hold: (!self.is_repeatable()).then_some(left),
        });
    }

    fn slot(
        &mut self,
        attempt: u32,
        result: Result<slot::Lease, error::Error>,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let at = attempt as usize;
        let waiting = self
            .attempts
            .get(at)
            .is_some_and(|a| a.phase == Phase::Slot);
        match result {
            Ok(lease) if !waiting => out.push(Action::Release {
                lease,
                report: slot::Report::NotSent,
            }),
            Err(_) if !waiting => {}
            Ok(lease) => {
                self.attempts[at].lease = Some(lease);
                if self.safety() == Safety::Claimed && !self.claimed {
                    self.attempts[at].phase = Phase::Claim;
                    out.push(Action::Claim);
                } else {
                    self.send(at, false, now, out);
                }
            }
            Err(error) => {
                self.attempts[at].phase = Phase::Over;
                if !self.has_live() {
                    self.fail(error, out);
                }
            }
        }
    }

    fn on_claim(
        &mut self,
        result: Result<claim::Decision, error::Error>,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let Some(at) = self.attempts.iter().position(|a| a.phase == Phase::Claim) else {
            return;
        };
        match result {
            Ok(claim::Decision::Granted) => {
                self.claimed = true;
                self.send(at, false, now, out);
            }
            Ok(claim::Decision::Done(answer)) => {
                self.close_all(slot::Report::NotSent, out);
                self.stage = Stage::Over;
                out.push(Action::Replay(answer));
            }
            Ok(claim::Decision::Unknown) => {
                self.close_all(slot::Report::NotSent, out);
                self.may_have_run = true;
                self.resolve(out);
            }
            Ok(claim::Decision::InProgress) => {
                let message = "a call with this idempotency key is running";
                let error = error::Error::new(error::Kind::InProgress, message);
                self.fail(error.retry_after(IN_PROGRESS_RETRY.as_millis()), out);
            }
            Ok(claim::Decision::Reused) => {
                let message = "the idempotency key was used with another method, path or body";
                self.fail(error::Error::new(error::Kind::KeyReused, message), out);
            }
            Err(error) => self.fail(error, out),
        }
    }

    pub(super) fn send(&mut self, at: usize, resume: bool, now: Time, out: &mut Vec<Action>) {
        let attempt = &mut self.attempts[at];
        let Some(lease) = attempt.lease.clone() else {
            return;
        };
        attempt.phase = Phase::Sent;
        attempt.sent = now;
        attempt.progress = now;
        if self.witness == Witness::Unasked {
            self.witness = Witness::Asked;
            out.push(Action::OpenBill(self.open_bill()));
        }
        if !resume {
            self.observe(evidence::Event::Started, out);
        }
        out.push(Action::Send {
            attempt: index(at),
            lease,
            version: self.version(),
            after: self.offset,
            resume,
        });
    }

    /// Reports what happened to the current step's version. A plain service has none.
    pub(super) fn observe(&self, event: evidence::Event, out: &mut Vec<Action>) {
        if self.step < self.plan.len() {
            out.push(Action::Observe {
                step: self.step,
                event,
            });
        }
    }

    fn open_bill(&self) -> ledger::Bill {
        let part = self.plan.get(self.step).map(|step| {
            step.bill_part(Usage {
                prompt_tokens: self.ask.prompt_tokens,
                answer_tokens: 0,
            })
        });
        self.bill_of(part.into_iter().collect())
    }

    pub(super) fn bill_of(&self, parts: Vec<ledger::Part>) -> ledger::Bill {
        ledger::Bill {
            account: self.ask.account.clone(),
            request: self.ask.id.clone(),
            parts,
        }
    }

    pub(super) fn has_live(&self) -> bool {
        self.attempts.iter().any(|a| a.phase != Phase::Over)
    }

    pub(super) fn is_last_step(&self) -> bool {
        self.step + 1 >= self.plan.len()
    }

    pub(super) fn is_streamed(&self) -> bool {
        matches!(self.ask.work, Work::Model { streamed: true })
    }
}

/// Returns a slot or a claim that came for an attempt that was abandoned.
fn after_end(event: Event, out: &mut Vec<Action>) {
    match event {
        Event::Slot {
            result: Ok(lease), ..
        } => out.push(Action::Release {
            lease,
            report: slot::Report::NotSent,
        }),
        Event::Claimed(Ok(claim::Decision::Granted)) => {
            out.push(Action::FinishClaim(claim::Outcome::NotSent));
        }
        _ => {}
    }
}

/// When a caller should ask again for a call that is running.
const IN_PROGRESS_RETRY: Span = Span::from_millis(200);

/// Returns the number of an attempt. A request has a handful of them.
fn index(at: usize) -> u32 {
    u32::try_from(at).unwrap_or(u32::MAX)
}
