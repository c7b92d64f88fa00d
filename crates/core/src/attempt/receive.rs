//! Handling of the answer: head, chunks, completion and the status lookup.

use super::{
    Action, Fault, Machine, Usage,
    machine::{BillState, Delivery, Phase, Stage},
    retry::outcome_unknown_error,
};
use crate::{budget::Budget, evidence, ledger, slot, time::Time};

impl Machine {
    /// Forwards the buffered chunks once the bill is open and no later step of
    /// the plan can replace them.
    fn flush(&mut self, actions: &mut Vec<Action>) {
        let may_start = self.bill_state == BillState::Open && self.is_last_step();
        if may_start && self.is_streamed() && self.chunks > 0 {
            self.delivery = Delivery::Started;
            actions.push(Action::Flush);
        }
    }

    pub(super) fn on_bill_opened(&mut self, budget: &Budget, actions: &mut Vec<Action>) {
        self.bill_state = BillState::Open;
        if self.delivery == Delivery::Complete {
            return self.complete(budget, actions);
        }
        self.flush(actions);
    }

    pub(super) fn on_head(&mut self, attempt: u32, now: Time, actions: &mut Vec<Action>) {
        let index = attempt as usize;
        let Some(entry) = self.attempts.get_mut(index) else {
            return;
        };
        if entry.phase != Phase::Sent {
            return;
        }
        entry.phase = Phase::Receiving;
        entry.last_progress = now;
        entry.first_byte_at = Some(now);
        self.may_have_run = true;
        // The attempt that answers first is used; the other one is cancelled.
        for other in 0..self.attempts.len() {
            if other != index && self.attempts[other].phase != Phase::Ended {
                self.close_attempt(other, slot::Report::Cancelled, true, false, actions);
            }
        }
    }

    pub(super) fn on_progress(&mut self, attempt: u32, now: Time) {
        if let Some(entry) = self.attempts.get_mut(attempt as usize) {
            entry.last_progress = now;
        }
    }

    pub(super) fn on_chunk(
        &mut self,
        attempt: u32,
        (offset, usage): (Option<u64>, Option<Usage>),
        now: Time,
        budget: &Budget,
        actions: &mut Vec<Action>,
    ) {
        let Some(entry) = self.attempts.get_mut(attempt as usize) else {
            return;
        };
        if entry.phase != Phase::Receiving {
            return;
        }
        entry.last_progress = now;
        match (offset, self.last_offset) {
            (Some(new), Some(last)) if new <= last => return,
            (Some(new), last) if new != last.map_or(0, |l| l + 1) => {
                return self.on_failed(attempt, &Fault::Broken, now, budget, actions);
            }
            // Without offsets, gaps and duplicates in the rest of the stream can't be detected.
            (None, Some(_)) => {
                return self.on_failed(attempt, &Fault::Broken, now, budget, actions);
            }
            _ => {}
        }
        self.last_offset = offset;
        self.last_usage = usage.or(self.last_usage);
        self.chunks += 1;
        self.attempts_since_progress = 1;
        actions.push(Action::Buffer);
        self.flush(actions);
    }

    pub(super) fn on_answered(
        &mut self,
        attempt: u32,
        usage: Option<Usage>,
        certainty: Option<f64>,
        now: Time,
        budget: &Budget,
        actions: &mut Vec<Action>,
    ) {
        let index = attempt as usize;
        if self.attempts.get(index).map(|a| a.phase) != Some(Phase::Receiving) {
            return;
        }
        let usage = usage.or(self.last_usage);
        if self.is_streamed() && self.last_offset.is_some() && usage.is_none() {
            // The last chunk carries the usage: it is missing, so the stream is incomplete.
            return self.on_failed(attempt, &Fault::Broken, now, budget, actions);
        }
        let first = self.attempts[index].first_byte_at.unwrap_or(now);
        let first_ms = first.since(self.attempts[index].sent_at).as_millis();
        self.finish_attempt(index, slot::Report::Completed { first_ms }, actions);
        let usage = usage.unwrap_or(self.received_usage());
        let completed = evidence::Event::Completed {
            first_ms,
            stream_ms: now.since(first).as_millis(),
            tokens: usage.answer_tokens,
        };
        self.observe(completed, actions);
        self.add_part(usage);
        // A missing certainty counts as low: an engine that reports none would otherwise end every
        // cascade at its first step, below the quality target.
        let uncertain = certainty.is_none_or(|c| c < self.limits.min_certainty);
        if uncertain && !self.is_last_step() {
            self.observe(evidence::Event::Escalated, actions);
            self.step += 1;
            self.restart_step(actions);
            return self.acquire(false, now, actions);
        }
        if !self.is_streamed() {
            actions.push(Action::Buffer);
        }
        self.delivery = Delivery::Complete;
        if self.claimed {
            actions.push(Action::FinishClaimAnswered);
        }
        if self.bill_state == BillState::Open {
            self.complete(budget, actions);
        }
    }

    /// Discards the buffered answer so that the step can start again.
    pub(super) fn restart_step(&mut self, actions: &mut Vec<Action>) {
        self.last_offset = None;
        self.last_usage = None;
        self.chunks = 0;
        actions.push(Action::DiscardBuffer);
    }

    /// Returns the usage of what was received so far, counting each chunk as one
    /// token.
    pub(super) fn received_usage(&self) -> Usage {
        Usage {
            prompt_tokens: self.request.prompt_tokens,
            answer_tokens: self.chunks,
        }
    }

    fn add_part(&mut self, usage: Usage) {
        let part = match self.plan.get(self.step) {
            Some(step) => step.bill_part(usage),
            None => ledger::Part {
                version: None,
                prompt_tokens: 0,
                answer_tokens: 0,
                cost: 0,
            },
        };
        self.bill_parts.push(part);
    }

    fn complete(&mut self, budget: &Budget, actions: &mut Vec<Action>) {
        budget.deposit();
        self.stage = Stage::Ended;
        actions.push(Action::Flush);
        let parts = std::mem::take(&mut self.bill_parts);
        let bill = self.bill_with(parts);
        actions.push(Action::Complete {
            version: self.version(),
            cost: bill.cost(),
        });
        actions.push(Action::SettleBill(bill));
    }

    pub(super) fn on_looked_up(&mut self, found: bool, actions: &mut Vec<Action>) {
        if self.stage != Stage::Lookup {
            return;
        }
        if !found {
            return self.fail(outcome_unknown_error(), actions);
        }
        self.stage = Stage::Ended;
        actions.push(Action::Buffer);
        if self.claimed {
            actions.push(Action::FinishClaimAnswered);
        }
        actions.push(Action::Flush);
        actions.push(Action::Complete {
            version: None,
            cost: 0,
        });
        self.settle(actions);
    }
}
