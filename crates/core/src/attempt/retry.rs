//! Timeouts, failures, retries, hedges and stream resumption.

use rand::RngExt;

use super::{
    Action, Event, Fault, Machine, Safety, Work,
    machine::{BillState, Delivery, Phase, Stage},
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
        index: usize,
        report: slot::Report,
        actions: &mut Vec<Action>,
    ) {
        self.attempts[index].phase = Phase::Ended;
        if let Some(lease) = self.attempts[index].lease.take() {
            actions.push(Action::Release { lease, report });
        }
    }

    /// Ends an attempt, closes its connection if it was sent, and returns its slot.
    ///
    /// `upstream` also cancels the work at the upstream if it runs a model;
    /// `discard` drops the upstream's connection pool.
    pub(super) fn close_attempt(
        &mut self,
        index: usize,
        report: slot::Report,
        upstream: bool,
        discard: bool,
        actions: &mut Vec<Action>,
    ) {
        if matches!(self.attempts[index].phase, Phase::Sent | Phase::Receiving) {
            actions.push(Action::Cancel {
                attempt: u32::try_from(index).unwrap_or(u32::MAX),
                upstream: upstream && self.is_model(),
                discard,
            });
            return self.finish_attempt(index, report, actions);
        }
        self.finish_attempt(index, slot::Report::NotSent, actions);
    }

    pub(super) fn close_attempts(&mut self, report: slot::Report, actions: &mut Vec<Action>) {
        for index in 0..self.attempts.len() {
            if self.attempts[index].phase != Phase::Ended {
                self.close_attempt(index, report, true, false, actions);
            }
        }
    }

    const fn is_model(&self) -> bool {
        matches!(self.request.work, Work::Model { .. })
    }

    /// Returns when a hedge is due: once per request, while its only live attempt
    /// waits for the first byte.
    pub(super) fn hedge_time(&self) -> Option<Time> {
        let after = self.limits.hedge_after?;
        let mut live = self.attempts.iter().filter(|a| a.phase != Phase::Ended);
        let (Some(only), None) = (live.next(), live.next()) else {
            return None;
        };
        let first_hedge = !self.attempts.iter().any(|a| a.is_hedge);
        (self.is_repeatable() && first_hedge && only.phase == Phase::Sent)
            .then_some(only.sent_at + after)
    }

    pub(super) fn on_tick(&mut self, now: Time, budget: &Budget, actions: &mut Vec<Action>) {
        if let Stage::Backoff(until) = self.stage
            && now >= until
        {
            return self.acquire(false, now, actions);
        }
        for index in 0..self.attempts.len() {
            let expired = self
                .progress_deadline(&self.attempts[index])
                .is_some_and(|limit| now >= limit);
            if expired {
                self.may_have_run = true;
                self.time_out_attempt(index, now, budget, actions);
            }
            if self.is_finished() {
                return;
            }
        }
        if self.hedge_time().is_some_and(|due| now >= due) {
            if budget.withdraw() {
                self.avoid_upstreams_in_use();
                self.acquire(true, now, actions);
            } else {
                self.limits.hedge_after = None;
            }
        }
    }

    fn avoid_upstreams_in_use(&mut self) {
        let in_use: Vec<_> = self
            .attempts
            .iter()
            .filter_map(|a| a.lease.as_ref().map(|l| l.upstream.clone()))
            .collect();
        for upstream in in_use {
            crate::config::insert_sorted(&mut self.avoided, upstream);
        }
    }

    /// Fails an attempt that made no progress in time: closes its connection and discards the
    /// upstream's connection pool.
    fn time_out_attempt(
        &mut self,
        index: usize,
        now: Time,
        budget: &Budget,
        actions: &mut Vec<Action>,
    ) {
        self.avoid_upstream(index);
        self.observe(evidence::Event::Failed, actions);
        self.close_attempt(index, slot::Report::Failed, true, true, actions);
        self.retry_or_fail(None, now, budget, actions);
    }

    fn avoid_upstream(&mut self, index: usize) {
        if let Some(lease) = &self.attempts[index].lease {
            crate::config::insert_sorted(&mut self.avoided, lease.upstream.clone());
        }
    }

    pub(super) fn on_failed(
        &mut self,
        attempt: u32,
        fault: &Fault,
        now: Time,
        budget: &Budget,
        actions: &mut Vec<Action>,
    ) {
        let index = attempt as usize;
        let Some(phase) = self.attempts.get(index).map(|a| a.phase) else {
            return;
        };
        if !matches!(phase, Phase::Sent | Phase::Receiving) {
            return;
        }
        match fault {
            Fault::Rejected(message) => {
                self.finish_attempt(index, slot::Report::Cancelled, actions);
                let kind = error::Kind::BadRequest;
                return self.fail(error::Error::new(kind, message.as_str()), actions);
            }
            Fault::NotSent => {
                self.avoid_upstream(index);
                // The upstream had begun to work on a stream that broke and can't be resumed.
                let report = if self.attempts[index].is_resumption {
                    slot::Report::Failed
                } else {
                    slot::Report::Unreachable
                };
                self.finish_attempt(index, report, actions);
            }
            Fault::Closed | Fault::Withdrawn => {
                self.avoid_upstream(index);
                self.finish_attempt(index, slot::Report::NotSent, actions);
                return self.reselect(fault, now, actions);
            }
            Fault::Refused => {
                self.avoid_upstream(index);
                self.finish_attempt(index, slot::Report::Refused, actions);
            }
            Fault::Broken if phase == Phase::Receiving && self.last_offset.is_some() => {
                self.may_have_run = true;
                return self.resume(index, now, budget, actions);
            }
            Fault::Broken => {
                self.may_have_run = true;
                self.avoid_upstream(index);
                self.observe(evidence::Event::Failed, actions);
                self.finish_attempt(index, slot::Report::Failed, actions);
            }
            Fault::SlotLost => {
                self.may_have_run = true;
                self.close_attempt(index, slot::Report::Failed, true, false, actions);
            }
        }
        self.retry_or_fail(Some(fault), now, budget, actions);
    }

    /// Reconnects to a broken stream on the same upstream, in the same slot.
    fn resume(&mut self, index: usize, now: Time, budget: &Budget, actions: &mut Vec<Action>) {
        actions.push(Action::Cancel {
            attempt: u32::try_from(index).unwrap_or(u32::MAX),
            upstream: false,
            discard: false,
        });
        self.avoid_upstream(index);
        if !self.may_retry() || !budget.withdraw() {
            self.finish_attempt(index, slot::Report::Failed, actions);
            let error = self.exhausted_error(None);
            return self.fail(error, actions);
        }
        let mut next = self.attempts[index].clone();
        self.attempts[index].phase = Phase::Ended;
        self.attempts[index].lease = None;
        next.first_byte_at = None;
        next.is_resumption = true;
        self.attempts_since_progress += 1;
        self.attempts.push(next);
        self.send(self.attempts.len() - 1, true, now, actions);
    }

    /// Selects another upstream, or another plan, after an operator closed the
    /// upstream or withdrew the version. Nothing was sent, so the retry budget is not charged.
    fn reselect(&mut self, fault: &Fault, now: Time, actions: &mut Vec<Action>) {
        if self.has_live_attempt() {
            return;
        }
        if !self.may_retry() {
            let error = self.exhausted_error(Some(fault));
            return self.fail(error, actions);
        }
        if *fault == Fault::Closed {
            return self.acquire(false, now, actions);
        }
        if self.delivery == Delivery::Started {
            let message = "the version was withdrawn during the stream";
            let error = error::Error::new(error::Kind::StreamBroken, message);
            return self.fail(error, actions);
        }
        self.step = 0;
        self.restart_step(actions);
        self.stage = Stage::Planning;
        actions.push(Action::Plan);
    }

    /// Returns whether another attempt is allowed. A stream that reached the
    /// caller can only be continued if its chunks have offsets.
    fn may_retry(&self) -> bool {
        let can_resume = self.delivery != Delivery::Started || self.last_offset.is_some();
        self.attempts_since_progress < self.limits.max_attempts && can_resume
    }

    /// Schedules a retry if no other attempt is live and the rules allow it; fails the request
    /// otherwise.
    fn retry_or_fail(
        &mut self,
        fault: Option<&Fault>,
        now: Time,
        budget: &Budget,
        actions: &mut Vec<Action>,
    ) {
        if self.has_live_attempt() {
            return;
        }
        let not_sent = matches!(fault, Some(Fault::NotSent));
        if !self.is_repeatable() && !not_sent {
            self.may_have_run = true;
            return self.resolve_outcome(actions);
        }
        let wait = self.draw_backoff();
        let until = now + wait;
        if until >= self.request.deadline || !self.may_retry() || !budget.withdraw() {
            let error = self.exhausted_error(fault);
            return self.fail(error, actions);
        }
        if self.last_offset.is_none() && self.chunks > 0 {
            self.restart_step(actions);
        }
        self.stage = Stage::Backoff(until);
    }

    /// Draws the wait before a retry, uniformly up to the limit ("full jitter").
    fn draw_backoff(&mut self) -> Span {
        Span::from_millis(
            self.rng
                .random_range(0..=self.limits.max_backoff.as_millis()),
        )
    }

    /// Looks up the outcome of a call that may have run, or fails with "outcome unknown".
    pub(super) fn resolve_outcome(&mut self, actions: &mut Vec<Action>) {
        if matches!(self.request.work, Work::Call { lookup: true, .. })
            && self.safety() == Safety::Claimed
        {
            self.stage = Stage::Lookup;
            actions.push(Action::Lookup);
            return;
        }
        self.fail(outcome_unknown_error(), actions);
    }

    pub(super) fn on_caller_disconnected(&mut self, actions: &mut Vec<Action>) {
        if self.request.outlives_caller && self.is_model() {
            return;
        }
        // A call that was sent continues without its caller, so that its outcome is recorded.
        let sent = self
            .attempts
            .iter()
            .any(|a| matches!(a.phase, Phase::Sent | Phase::Receiving));
        if !self.is_repeatable()
            && (sent || self.is_answer_complete() || self.stage == Stage::Lookup)
        {
            return;
        }
        let kind = if self.may_have_run || sent {
            error::Kind::UpstreamFailed
        } else {
            error::Kind::DeadlineBeforeRun
        };
        self.fail(error::Error::new(kind, "the caller disconnected"), actions);
    }

    /// Ends the request with an error.
    pub(super) fn fail(&mut self, error: error::Error, actions: &mut Vec<Action>) {
        let sent = self
            .attempts
            .iter()
            .any(|a| matches!(a.phase, Phase::Sent | Phase::Receiving));
        let error = self.correct_not_run(error);
        self.close_attempts(slot::Report::Cancelled, actions);
        self.stage = Stage::Ended;
        if self.claimed && !self.is_answer_complete() {
            actions.push(Action::FinishClaim(if sent || self.may_have_run {
                claim::Outcome::Unknown
            } else {
                claim::Outcome::NotSent
            }));
        }
        actions.push(Action::Fail(error));
        self.settle(actions);
    }

    /// Settles the bill with what the caller has received so far.
    pub(super) fn settle(&mut self, actions: &mut Vec<Action>) {
        if self.bill_state == BillState::NotOpened {
            return;
        }
        let mut parts = std::mem::take(&mut self.bill_parts);
        if self.delivery == Delivery::Started
            && let Some(step) = self.plan.get(self.step)
        {
            parts.push(step.bill_part(self.received_usage()));
        }
        actions.push(Action::SettleBill(self.bill_with(parts)));
    }

    /// Returns whether the answer is complete, although its end may not be sent yet.
    fn is_answer_complete(&self) -> bool {
        self.delivery == Delivery::Complete
    }

    /// Returns whether an upstream may have begun to work.
    fn may_have_started(&self) -> bool {
        self.may_have_run
            || self
                .attempts
                .iter()
                .any(|a| matches!(a.phase, Phase::Sent | Phase::Receiving))
    }

    pub(super) fn deadline_error(&self) -> error::Error {
        if !self.may_have_started() {
            let message = "the deadline passed before the request was sent";
            return error::Error::new(error::Kind::DeadlineBeforeRun, message);
        }
        if !self.is_repeatable() {
            return outcome_unknown_error();
        }
        error::Error::new(error::Kind::Deadline, "the deadline passed during the work")
    }

    pub(super) fn stop_error(&self) -> error::Error {
        let message = "the instance is stopping";
        if !self.may_have_started() {
            return error::Error::new(error::Kind::Stopping, message);
        }
        if !self.is_repeatable() {
            return outcome_unknown_error();
        }
        error::Error::new(error::Kind::UpstreamFailed, message)
    }

    /// Replaces an error that says "not run" if an upstream may have begun to work.
    fn correct_not_run(&self, error: error::Error) -> error::Error {
        if !self.may_have_started() || !error.kind.response().execution.is_not_run() {
            return error;
        }
        if !self.is_repeatable() {
            return outcome_unknown_error();
        }
        error::Error {
            kind: error::Kind::UpstreamFailed,
            message: format!("an attempt failed, and then: {}", error.message),
            ..error
        }
    }

    /// Returns the error of a request that gets no further attempt.
    fn exhausted_error(&self, fault: Option<&Fault>) -> error::Error {
        if self.delivery == Delivery::Started {
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

/// Time after which a caller may retry a request that got no further attempt.
const EXHAUSTED_RETRY: Span = Span::from_secs(1);

pub(super) fn outcome_unknown_error() -> error::Error {
    error::Error::new(
        error::Kind::OutcomeUnknown,
        "the call was sent and its outcome is not known; it is not sent again",
    )
}

impl Event {
    /// Returns the number of the attempt that the event belongs to.
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
