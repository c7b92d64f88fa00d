//! What follows when an answer arrives.

use super::{
    Action, Fault, Machine, Usage,
    machine::{Delivery, Phase, Stage, Witness},
    retry::unknown_error,
};
use crate::{budget::Budget, evidence, ledger, slot, time::Time};

impl Machine {
    /// Passes on what is kept, once the witness holds the bill and no later
    /// step can replace it.
    fn flush(&mut self, out: &mut Vec<Action>) {
        let may_begin = self.witness == Witness::Answered && self.is_last_step();
        if may_begin && self.is_streamed() && self.pieces > 0 {
            self.delivery = Delivery::Begun;
            out.push(Action::Flush);
        }
    }

    pub(super) fn opened(&mut self, budget: &Budget, out: &mut Vec<Action>) {
        self.witness = Witness::Answered;
        if self.delivery == Delivery::Ended {
            return self.complete(budget, out);
        }
        self.flush(out);
    }

    pub(super) fn head(&mut self, attempt: u32, now: Time, out: &mut Vec<Action>) {
        let at = attempt as usize;
        let Some(entry) = self.attempts.get_mut(at) else {
            return;
        };
        if entry.phase != Phase::Sent {
            return;
        }
        entry.phase = Phase::Streaming;
        entry.progress = now;
        entry.first = Some(now);
        self.may_have_run = true;
        // The first answer wins; a hedge that lost is cancelled.
        for other in 0..self.attempts.len() {
            if other != at && self.attempts[other].phase != Phase::Over {
                self.close(other, slot::Report::Cancelled, true, false, out);
            }
        }
    }

    pub(super) fn progress(&mut self, attempt: u32, now: Time) {
        if let Some(entry) = self.attempts.get_mut(attempt as usize) {
            entry.progress = now;
        }
    }

    pub(super) fn piece(
        &mut self,
        attempt: u32,
        (offset, usage): (Option<u64>, Option<Usage>),
        now: Time,
        budget: &Budget,
        out: &mut Vec<Action>,
    ) {
        let Some(entry) = self.attempts.get_mut(attempt as usize) else {
            return;
        };
        if entry.phase != Phase::Streaming {
            return;
        }
        entry.progress = now;
        match (offset, self.offset) {
            (Some(new), Some(last)) if new <= last => return,
            (Some(new), last) if new != last.map_or(0, |l| l + 1) => {
                return self.failed(attempt, &Fault::Broken, now, budget, out);
            }
            // A stream that loses its offsets in the middle can't be continued safely.
            (None, Some(_)) => return self.failed(attempt, &Fault::Broken, now, budget, out),
            _ => {}
        }
        self.offset = offset;
        self.usage = usage.or(self.usage);
        self.pieces += 1;
        self.tries = 1;
        out.push(Action::Buffer);
        self.flush(out);
    }

    pub(super) fn answered(
        &mut self,
        attempt: u32,
        usage: Option<Usage>,
        certainty: Option<f64>,
        now: Time,
        budget: &Budget,
        out: &mut Vec<Action>,
    ) {
        let at = attempt as usize;
        if self.attempts.get(at).map(|a| a.phase) != Some(Phase::Streaming) {
            return;
        }
        let usage = usage.or(self.usage);
        if self.is_streamed() && self.offset.is_some() && usage.is_none() {
            // The usage is the last piece: the stream has a gap at its end.
            return self.failed(attempt, &Fault::Broken, now, budget, out);
        }
        let first = self.attempts[at].first.unwrap_or(now);
        let first_ms = first.since(self.attempts[at].sent).as_millis();
        self.finish_attempt(at, slot::Report::Completed { first_ms }, out);
        let usage = usage.unwrap_or(self.seen_usage());
        let completed = evidence::Event::Completed {
            first_ms,
            stream_ms: now.since(first).as_millis(),
            tokens: usage.answer_tokens,
        };
        self.observe(completed, out);
        self.add_part(usage);
        // An engine that says nothing of its certainty could otherwise end every cascade at its
        // first step, below the quality target.
        let uncertain = certainty.is_none_or(|c| c < self.limits.min_certainty);
        if uncertain && !self.is_last_step() {
            self.observe(evidence::Event::Escalated, out);
            self.step += 1;
            self.restart(out);
            return self.acquire(false, now, out);
        }
        if !self.is_streamed() {
            out.push(Action::Buffer);
        }
        self.delivery = Delivery::Ended;
        if self.claimed {
            out.push(Action::FinishClaimAnswered);
        }
        if self.witness == Witness::Answered {
            self.complete(budget, out);
        }
    }

    /// Drops the kept answer so that the step can begin anew.
    pub(super) fn restart(&mut self, out: &mut Vec<Action>) {
        self.offset = None;
        self.usage = None;
        self.pieces = 0;
        out.push(Action::DiscardBuffer);
    }

    pub(super) fn seen_usage(&self) -> Usage {
        Usage {
            prompt_tokens: self.ask.prompt_tokens,
            answer_tokens: self.pieces,
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
        self.parts.push(part);
    }

    fn complete(&mut self, budget: &Budget, out: &mut Vec<Action>) {
        budget.deposit();
        self.stage = Stage::Over;
        out.push(Action::Flush);
        let parts = std::mem::take(&mut self.parts);
        let bill = self.bill_of(parts);
        out.push(Action::Complete {
            version: self.version(),
            cost: bill.cost(),
        });
        out.push(Action::SettleBill(bill));
    }

    pub(super) fn looked_up(&mut self, found: bool, out: &mut Vec<Action>) {
        if self.stage != Stage::Lookup {
            return;
        }
        if !found {
            return self.fail(unknown_error(), out);
        }
        self.stage = Stage::Over;
        out.push(Action::Buffer);
        if self.claimed {
            out.push(Action::FinishClaimAnswered);
        }
        out.push(Action::Flush);
        out.push(Action::Complete {
            version: None,
            cost: 0,
        });
        self.settle(out);
    }
}
