//! Claims and permits of requests at the control replicas.

use masticlock_core::{
    attempt::Event,
    claim, error, machine, name,
    suspect::Status,
    time::{Span, Time},
};

use super::{
    CALL, Id, Mutation, World,
    entry::instance,
    job::{Call, Claimed, Gate, Job, PAUSE},
    message::Body,
    step::Step,
};

/// How long a claim waits for a leader. Covers an election.
const BEGIN_LIMIT: Span = Span::from_secs(4);
/// How long a permit is asked for.
const PERMIT: Span = Span::from_secs(30);

impl World {
    pub(super) fn claim(&mut self, id: Id, request: &name::Request) {
        let now = self.now;
        let Some(process) = self.entry(id) else {
            return;
        };
        let key = process
            .jobs
            .iter()
            .find(|j| j.id == *request)
            .and_then(|j| j.key.clone());
        // An instance has at most one claim with the same key open.
        if process
            .jobs
            .iter()
            .any(|j| j.claimed != Claimed::No && j.key == key)
        {
            let verdict = Ok(claim::Decision::InProgress);
            return self.on(id, request, Event::Claimed(verdict));
        }
        let early = self.mutation == Some(Mutation::ClaimAfterSending);
        if let Some(job) = self.job(id, request) {
            job.claimed = Claimed::Open;
            job.claim = Some(Call {
                until: now + BEGIN_LIMIT,
                next: now,
                target: 0,
            });
            let lease = job.leases.iter().rev().flatten().next().cloned();
            if let (true, Some(lease)) = (early, lease) {
                job.claimed = Claimed::AfterSending;
                let attempt = u32::try_from(job.leases.len() - 1).unwrap_or(u32::MAX);
                self.transfer(id, request, attempt, &lease, None, None);
            }
        }
        self.claim_due(id, request);
    }

    pub(super) fn claim_due(&mut self, id: Id, request: &name::Request) {
        let (now, controls) = (self.now, self.control_ids());
        let me = instance(&self.parts[id].name);
        let Some(job) = self.job(id, request) else {
            return;
        };
        let (Some(call), Some(key)) = (&mut job.claim, job.key.clone()) else {
            return;
        };
        if now >= call.until {
            job.claim = None;
            let message = "no control leader answered";
            let error = error::Error::new(error::Kind::ClaimUnavailable, message);
            // The grant may be on its way, and no byte will be sent under it.
            self.finish_claim(id, request, claim::Outcome::NotSent);
            return self.on(id, request, Event::Claimed(Err(error)));
        }
        if now < call.next {
            return;
        }
        call.next = now + CALL;
        let to = controls[call.target % controls.len()];
        call.target += 1;
        let ask = claim::Begin {
            key,
            fingerprint: job.ask.fingerprint,
            holder: request.clone(),
            instance: me,
        };
        self.discard_later(id, to);
        self.send(id, to, Body::Begin(ask));
    }

    pub(super) fn begun(
        &mut self,
        id: Id,
        request: &name::Request,
        reply: Result<claim::Decision, Option<String>>,
    ) {
        let now = self.now;
        let target = match &reply {
            Err(Some(leader)) => self.find(leader),
            _ => None,
        };
        let controls = self.control_ids();
        let Some(job) = self.job(id, request) else {
            return;
        };
        let Some(call) = &mut job.claim else {
            return;
        };
        if let Ok(verdict) = reply {
            job.claim = None;
            if verdict != claim::Decision::Granted {
                job.claimed = Claimed::No;
            }
            self.reach(Step::Claimed, id, Some(request));
            return self.on(id, request, Event::Claimed(Ok(verdict)));
        }
        if let Some(at) = controls.iter().position(|c| Some(*c) == target) {
            call.target = at;
        }
        call.next = now + PAUSE;
    }

    pub(super) fn finish_claim(&mut self, id: Id, request: &name::Request, end: claim::Outcome) {
        let now = self.now;
        if let Some(job) = self.job(id, request)
            && job.key.is_some()
        {
            let call = Call {
                until: Time::from_millis(u64::MAX),
                next: now,
                target: 0,
            };
            job.finish = Some((end, call));
        }
        self.finish_due(id, request);
    }

    pub(super) fn finish_due(&mut self, id: Id, request: &name::Request) {
        let (now, controls) = (self.now, self.control_ids());
        let Some(job) = self.job(id, request) else {
            return;
        };
        let (Some((end, call)), Some(key)) = (&mut job.finish, job.key.clone()) else {
            return;
        };
        if now < call.next {
            return;
        }
        call.next = now + CALL;
        let to = controls[call.target % controls.len()];
        call.target += 1;
        let finish = claim::Finish {
            key,
            holder: request.clone(),
            end: end.clone(),
        };
        self.discard_later(id, to);
        self.send(id, to, Body::Finish(finish));
    }

    /// Returns whether the crash evidence about a request lets it ask for a slot now.
    pub(super) fn may_ask(&mut self, id: Id, request: &name::Request) -> bool {
        let now = self.now;
        let Some(process) = self.entry(id) else {
            return false;
        };
        let Some(job) = process.jobs.iter_mut().find(|j| j.id == *request) else {
            return false;
        };
        match (process.tracker.status(job.ask.fingerprint, now), &job.gate) {
            (Status::Clear, _) | (Status::Alone, Gate::Held) => true,
            (Status::Pending, _) => false,
            (Status::Alone, Gate::Open) => {
                job.gate = Gate::Permit {
                    next: now,
                    target: 0,
                };
                self.permit_due(id, request);
                false
            }
            (Status::Alone, Gate::Permit { .. }) => {
                self.permit_due(id, request);
                false
            }
            (Status::Quarantined, _) => {
                let waiting: Vec<_> = job.acquiring.drain(..).map(|a| a.attempt).collect();
                for attempt in waiting {
                    let message = "the request crashed two upstreams";
                    let error = error::Error::new(error::Kind::Quarantined, message);
                    let result = Err(error);
                    self.on(id, request, Event::Slot { attempt, result });
                }
                false
            }
        }
    }

    pub(super) fn permit_due(&mut self, id: Id, request: &name::Request) {
        let (now, controls) = (self.now, self.control_ids());
        let me = instance(&self.parts[id].name);
        let Some(job) = self.job(id, request) else {
            return;
        };
        let Gate::Permit { next, target } = &mut job.gate else {
            return;
        };
        if now < *next {
            return;
        }
        *next = now + CALL;
        let to = controls[*target % controls.len()];
        *target += 1;
        let ask = machine::PermitRequest {
            fingerprint: job.ask.fingerprint,
            request: request.clone(),
            instance: me,
            term: PERMIT,
        };
        self.discard_later(id, to);
        self.send(id, to, Body::Permit(ask));
    }

    pub(super) fn permitted(
        &mut self,
        id: Id,
        request: &name::Request,
        reply: &Result<bool, Option<String>>,
    ) {
        let now = self.now;
        let Some(job) = self.job(id, request) else {
            return;
        };
        let Gate::Permit { next, .. } = &mut job.gate else {
            return;
        };
        match reply {
            Ok(true) => job.gate = Gate::Held,
            Ok(false) | Err(_) => *next = now + PAUSE,
        }
    }

    /// Returns the exclusive right of a request that ended. Only the leader records it.
    pub(super) fn return_permit(&mut self, id: Id, job: &Job) {
        let me = instance(&self.parts[id].name);
        for to in self.control_ids() {
            let body = Body::PermitEnd {
                fingerprint: job.ask.fingerprint,
                request: job.id.clone(),
                instance: me.clone(),
            };
            self.send(id, to, body);
        }
    }
}
