//! What follows when an attempt or the whole request fails.

use rand::RngExt;

use super::{
    Action, Event, Fault, Machine, Safety, Work,
    machine::{Delivery, Phase, Stage, Witness},
};
use crate::{
    budget::Budget,
    claim, error, evidence, slot,
    time::{Span, Time},
};

impl Machine {
    /// Ends an attempt and returns its slot.
    pub(super) fn finish_attempt(
        &mut self,
        at: usize,
        report: slot::Report,
        out: &mut Vec<Action>,
    ) {
        self.attempts[at].phase = Phase::Over;
        if let Some(lease) = self.attempts[at].lease.take() {
            out.push(Action::Release { lease, report });
        }
    }

    /// Ends an attempt, closes its connection and returns its slot.
    pub(super) fn close(
        &mut self,
        at: usize,
        report: slot::Report,
        upstream: bool,
        discard: bool,
        out: &mut Vec<Action>,
    ) {
        if matches!(self.attempts[at].phase, Phase::Sent | Phase::Streaming) {
            out.push(Action::Cancel {
                attempt: u32::try_from(at).unwrap_or(u32::MAX),
                upstream: upstream && self.is_model(),
                discard,
            });
            return self.finish_attempt(at, report, out);
        }
        self.finish_attempt(at, slot::Report::NotSent, out);
    }

    pub(super) fn close_all(&mut self, report: slot::Report, out: &mut Vec<Action>) {
        for at in 0..self.attempts.len() {
            if self.attempts[at].phase != Phase::Over {
                self.close(at, report, true, false, out);
            }
        }
    }

    const fn is_model(&self) -> bool {
        matches!(self.ask.work, Work::Model { .. })
    }

    pub(super) fn hedge_time(&self) -> Option<Time> {
        let after = self.limits.hedge_after?;
        let mut live = self.attempts.iter().filter(|a| a.phase != Phase::Over);
        let (Some(only), None) = (live.next(), live.next()) else {
            return None;
        };
        let first_hedge = !self.attempts.iter().any(|a| a.hedge);
        (self.is_repeatable() && first_hedge && only.phase == Phase::Sent)
            .then_some(only.sent + after)
    }

    pub(super) fn tick(&mut self, now: Time, budget: &Budget, out: &mut Vec<Action>) {
        if let Stage::Backoff(until) = self.stage
            && now >= until
        {
            return self.acquire(false, now, out);
        }
        for at in 0..self.attempts.len() {
            let expired = self
                .progress_limit(&self.attempts[at])
                .is_some_and(|limit| now >= limit);
            if expired {
                self.may_have_run = true;
                self.lose(at, now, budget, out);
            }
            if self.is_finished() {
                return;
            }
        }
        if self.hedge_time().is_some_and(|at| now >= at) {
            if budget.withdraw() {
                self.avoid_upstreams_in_use();
                self.acquire(true, now, out);
            } else {
                self.limits.hedge_after = None;
            }
        }
    }

    fn avoid_upstreams_in_use(&mut self) {
        let used: Vec<_> = self
            .attempts
            .iter()
            .filter_map(|a| a.lease.as_ref().map(|l| l.upstream.clone()))
            .collect();
        for upstream in used {
            crate::config::insert_sorted(&mut self.avoid, upstream);
        }
    }

    /// Ends a silent attempt: its connection is closed and its pool discarded.
    fn lose(&mut self, at: usize, now: Time, budget: &Budget, out: &mut Vec<Action>) {
        self.avoid_upstream(at);
        self.observe(evidence::Event::Failed, out);
        self.close(at, slot::Report::Failed, true, true, out);
        self.after_failure(None, now, budget, out);
    }

    fn avoid_upstream(&mut self, at: usize) {
        if let Some(lease) = &self.attempts[at].lease {
            crate::config::insert_sorted(&mut self.avoid, lease.upstream.clone());
        }
    }

    pub(super) fn failed(
        &mut self,
        attempt: u32,
        fault: &Fault,
        now: Time,
        budget: &Budget,
        out: &mut Vec<Action>,
    ) {
        let at = attempt as usize;
        let Some(phase) = self.attempts.get(at).map(|a| a.phase) else {
            return;
        };
        if !matches!(phase, Phase::Sent | Phase::Streaming) {
            return;
        }
        match fault {
            Fault::Rejected(message) => {
                self.finish_attempt(at, slot::Report::Cancelled, out);
                let kind = error::Kind::BadRequest;
                return self.fail(error::Error::new(kind, message.as_str()), out);
            }
            Fault::NotSent => {
                self.avoid_upstream(at);
                // A stream that broke and can't be resumed is a failure of the work that ran.
                let report = if self.attempts[at].resumed {
                    slot::Report::Failed
                } else {
                    slot::Report::Unreachable
                };
                self.finish_attempt(at, report, out);
            }
            Fault::Closed | Fault::Withdrawn => {
                self.avoid_upstream(at);
                self.finish_attempt(at, slot::Report::NotSent, out);
                return self.choose_again(fault, now, out);
            }
            Fault::Refused => {
                self.avoid_upstream(at);
                self.finish_attempt(at, slot::Report::Refused, out);
            }
            Fault::Broken if phase == Phase::Streaming && self.offset.is_some() => {
                self.may_have_run = true;
                return self.resume(at, now, budget, out);
            }
            Fault::Broken => {
                self.may_have_run = true;
                self.avoid_upstream(at);
                self.observe(evidence::Event::Failed, out);
                self.finish_attempt(at, slot::Report::Failed, out);
            }
            Fault::SlotLost => {
                self.may_have_run = true;
                self.close(at, slot::Report::Failed, true, false, out);
            }
        }
        self.after_failure(Some(fault), now, budget, out);
    }

    /// Reconnects to a broken stream on the same upstream, in the same slot.
    fn resume(&mut self, at: usize, now: Time, budget: &Budget, out: &mut Vec<Action>) {
        out.push(Action::Cancel {
            attempt: u32::try_from(at).unwrap_or(u32::MAX),
            upstream: false,
            discard: false,
        });
        self.avoid_upstream(at);
        if !self.may_try_again() || !budget.withdraw() {
            self.finish_attempt(at, slot::Report::Failed, out);
            let error = self.exhausted_error(None);
            return self.fail(error, out);
        }
        let mut next = self.attempts[at].clone();
        self.attempts[at].phase = Phase::Over;
        self.attempts[at].lease = None;
        next.first = None;
        next.resumed = true;
        self.tries += 1;
        self.attempts.push(next);
        self.send(self.attempts.len() - 1, true, now, out);
    }

    /// Takes another upstream, or another plan, after an operator closed the
    /// chosen one. Nothing was sent, so this isn't a retry.
    fn choose_again(&mut self, fault: &Fault, now: Time, out: &mut Vec<Action>) {
        if self.has_live() {
            return;
        }
        if !self.may_try_again() {
            let error = self.exhausted_error(Some(fault));
            return self.fail(error, out);
        }
        if *fault == Fault::Closed {
            return self.acquire(false, now, out);
        }
        if self.delivery == Delivery::Begun {
            let message = "the version was withdrawn during the stream";
            let error = error::Error::new(error::Kind::StreamBroken, message);
            return self.fail(error, out);
        }
        self.step = 0;
        self.restart(out);
        self.stage = Stage::Planning;
        out.push(Action::Plan);
    }

    fn may_try_again(&self) -> bool {
        let can_resume = self.delivery != Delivery::Begun || self.offset.is_some();
        self.tries < self.limits.max_attempts && can_resume
    }

    fn after_failure(
        &mut self,
        fault: Option<&Fault>,
        now: Time,
        budget: &Budget,
        out: &mut Vec<Action>,
    ) {
        if self.has_live() {
            return;
        }
        let unsent = matches!(fault, Some(Fault::NotSent));
        if !self.is_repeatable() && !unsent {
            self.may_have_run = true;
            return self.resolve(out);
        }
        let wait = self.jitter();
        let until = now + wait;
        if until >= self.ask.deadline || !self.may_try_again() || !budget.withdraw() {
            let error = self.exhausted_error(fault);
            return self.fail(error, out);
        }
        if self.offset.is_none() && self.pieces > 0 {
            self.restart(out);
        }
        self.stage = Stage::Backoff(until);
    }

    fn jitter(&mut self) -> Span {
        Span::from_millis(
            self.rng
                .random_range(0..=self.limits.max_backoff.as_millis()),
        )
    }

    /// Tries to learn the outcome of a call that may have run.
    pub(super) fn resolve(&mut self, out: &mut Vec<Action>) {
        if matches!(self.ask.work, Work::Call { lookup: true, .. })
            && self.safety() == Safety::Claimed
        {
            self.stage = Stage::Lookup;
            out.push(Action::Lookup);
            return;
        }
        self.fail(unknown_error(), out);
    }

    pub(super) fn on_caller_gone(&mut self, out: &mut Vec<Action>) {
        if self.ask.outlives_caller && self.is_model() {
            return;
        }
        // A call that was sent goes on, so that its outcome is recorded.
        let sent = self
            .attempts
            .iter()
            .any(|a| matches!(a.phase, Phase::Sent | Phase::Streaming));
        if !self.is_repeatable() && (sent || self.has_ended() || self.stage == Stage::Lookup) {
            return;
        }
        let kind = if self.may_have_run || sent {
            error::Kind::UpstreamFailed
        } else {
            error::Kind::DeadlineBeforeRun
        };
        self.fail(error::Error::new(kind, "the caller disconnected"), out);
    }

    /// Ends the request with an error.
    pub(super) fn fail(&mut self, error: error::Error, out: &mut Vec<Action>) {
        let sent = self
            .attempts
            .iter()
            .any(|a| matches!(a.phase, Phase::Sent | Phase::Streaming));
        let error = self.truthful(error);
        self.close_all(slot::Report::Cancelled, out);
        self.stage = Stage::Over;
        if self.claimed && !self.has_ended() {
            out.push(Action::FinishClaim(if sent || self.may_have_run {
                claim::Outcome::Unknown
            } else {
                claim::Outcome::NotSent
            }));
        }
        out.push(Action::Fail(error));
        self.settle(out);
    }

    /// Settles the bill with what the caller has received so far.
    pub(super) fn settle(&mut self, out: &mut Vec<Action>) {
        if self.witness == Witness::Unasked {
            return;
        }
        let mut parts = std::mem::take(&mut self.parts);
        if self.delivery == Delivery::Begun
            && let Some(step) = self.plan.get(self.step)
        {
            parts.push(step.bill_part(self.seen_usage()));
        }
        out.push(Action::SettleBill(self.bill_of(parts)));
    }

    fn has_ended(&self) -> bool {
        self.delivery == Delivery::Ended
    }

    fn has_sent(&self) -> bool {
        self.may_have_run
            || self
                .attempts
                .iter()
                .any(|a| matches!(a.phase, Phase::Sent | Phase::Streaming))
    }

    pub(super) fn deadline_error(&self) -> error::Error {
        if !self.has_sent() {
            let message = "the deadline passed before the request was sent";
            return error::Error::new(error::Kind::DeadlineBeforeRun, message);
        }
        if !self.is_repeatable() {
            return unknown_error();
        }
        error::Error::new(error::Kind::Deadline, "the deadline passed during the work")
    }

    pub(super) fn stop_error(&self) -> error::Error {
        let message = "the instance is stopping";
        if !self.has_sent() {
            return error::Error::new(error::Kind::Stopping, message);
        }
        if !self.is_repeatable() {
            return unknown_error();
        }
        error::Error::new(error::Kind::UpstreamFailed, message)
    }

    /// Replaces an error that says "not run" if an upstream may have begun.
    fn truthful(&self, error: error::Error) -> error::Error {
        if !self.has_sent() || !error.kind.response().execution.is_not_run() {
            return error;
        }
        if !self.is_repeatable() {
            return unknown_error();
        }
        error::Error {
            kind: error::Kind::UpstreamFailed,
            message: format!("an attempt failed, and then: {}", error.message),
            ..error
        }
    }

    fn exhausted_error(&self, fault: Option<&Fault>) -> error::Error {
        if self.delivery == Delivery::Begun {
            let message = "the stream broke off and can't be resumed";
            return error::Error::new(error::Kind::StreamBroken, message);
        }
        if self.may_have_run {
            let message = "the upstreams failed and no more attempts are allowed";
            return error::Error::new(error::Kind::UpstreamFailed, message)
                .retry_after(EXHAUSTED_RETRY.as_millis());
        }
        let (kind, message) = match fault {
            Some(Fault::Refused) => (error::Kind::Overloaded, "the upstreams refused the work"),
            _ => (error::Kind::NoUpstream, "no upstream could be reached"),
        };
        error::Error::new(kind, message).retry_after(EXHAUSTED_RETRY.as_millis())
    }
}

/// When a caller should come back after its attempts are used up.
const EXHAUSTED_RETRY: Span = Span::from_secs(1);

pub(super) fn unknown_error() -> error::Error {
    error::Error::new(
        error::Kind::OutcomeUnknown,
        "the call was sent and its outcome is not known; it is not sent again",
    )
}

impl Event {
    /// Returns the attempt that the event belongs to.
    #[must_use]
    pub const fn attempt(&self) -> Option<u32> {
        match self {
            Self::Slot { attempt, .. }
            | Self::Head { attempt }
            | Self::Progress { attempt }
            | Self::Chunk { attempt, .. }
            | Self::Answered { attempt, .. }
            | Self::Failed { attempt, .. } => Some(*attempt),
            Self::Planned(_)
            | Self::Claimed(_)
            | Self::BillOpened
            | Self::LookedUp(_)
            | Self::CallerDisconnected
            | Self::Tick
            | Self::Stop => None,
        }
    }
}
