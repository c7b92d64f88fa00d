//! Carries out the actions of requests at an entry instance.

use masticlock_core::{
    attempt::{self, Action, Event, Machine, Step as Planned},
    claim, ledger, name, policy,
    policy::{Availability, Capacity, Planner},
    request::{Fingerprint, ModelRequest},
    slot::{self, Lease, Refusal},
    time::{Span, Time},
};

use super::{Id, World, entry::instance, message::Body, record, step::Step};

/// Pause before a refused call to another process is repeated.
pub(super) const PAUSE: Span = Span::from_millis(100);
/// How long the answer waits for the witness.
const WITNESS: Span = Span::from_secs(1);

/// What a suspect request waits for before it begins.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Gate {
    /// Nothing.
    Open,
    /// The exclusive right, which is asked for.
    Permit { next: Time, target: usize },
    /// It has the exclusive right.
    Held,
}

/// Whether a claim of the request may be held by it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Claimed {
    No,
    Open,
    /// The deliberate fault: the call was sent before.
    AfterSending,
}

pub(super) struct Acquiring {
    pub(super) attempt: u32,
    pub(super) ask: slot::Acquire,
    pub(super) until: Time,
    pub(super) next: Time,
    pub(super) tries: u32,
    pub(super) refusal: Option<Refusal>,
}

pub(super) struct Call {
    pub(super) until: Time,
    pub(super) next: Time,
    pub(super) target: usize,
}

/// A request at its instance.
pub(super) struct Job {
    pub(super) label: String,
    pub(super) id: name::Request,
    pub(super) ask: ModelRequest,
    pub(super) key: Option<claim::Key>,
    pub(super) service: Option<name::Service>,
    pub(super) repeatable: bool,
    pub(super) crashes: bool,
    pub(super) takes: Option<Span>,
    pub(super) machine: Machine,
    pub(super) first: Vec<Action>,
    pub(super) gate: Gate,
    pub(super) kept: Vec<String>,
    pub(super) payload: Option<String>,
    pub(super) leases: Vec<Option<Lease>>,
    pub(super) acquiring: Vec<Acquiring>,
    pub(super) claim: Option<Call>,
    pub(super) claimed: Claimed,
    pub(super) finish: Option<(claim::Outcome, Call)>,
    pub(super) witness_by: Option<Time>,
}

/// What is needed to begin a request.
pub(super) struct Opening {
    pub(super) label: String,
    pub(super) ask: ModelRequest,
    pub(super) attempt: attempt::Request,
    pub(super) key: Option<claim::Key>,
    pub(super) service: Option<name::Service>,
    pub(super) repeatable: bool,
    pub(super) crashes: bool,
    pub(super) takes: Option<Span>,
}

impl Job {
    pub(super) fn new(opening: Opening) -> Self {
        let id = opening.ask.id.clone();
        let (machine, first) = Machine::begin(opening.attempt, attempt::Limits::default());
        Self {
            label: opening.label,
            id,
            ask: opening.ask,
            key: opening.key,
            service: opening.service,
            repeatable: opening.repeatable,
            crashes: opening.crashes,
            takes: opening.takes,
            machine,
            first,
            gate: Gate::Open,
            kept: Vec::new(),
            payload: None,
            leases: Vec::new(),
            acquiring: Vec::new(),
            claim: None,
            claimed: Claimed::No,
            finish: None,
            witness_by: None,
        }
    }

    pub(super) fn is_idle(&self) -> bool {
        self.machine.is_finished() && self.acquiring.is_empty() && self.finish.is_none()
    }

    pub(super) fn fingerprint(&self) -> Fingerprint {
        self.ask.fingerprint
    }
}

/// What the planner is told of free slots. Only a hint.
pub(super) struct Stock {
    pub(super) near: Vec<(name::Version, u32)>,
    pub(super) far: Vec<(name::Version, u32)>,
}

impl Availability for Stock {
    fn capacity(&self, version: &name::Version) -> Capacity {
        let sum = |list: &[(name::Version, u32)]| {
            let of = list.iter().filter(|(v, _)| v == version);
            of.map(|(_, free)| free).sum()
        };
        let (near, far) = (sum(&self.near), sum(&self.far));
        Capacity {
            local_free: near,
            remote_free: far,
            total: near + far,
        }
    }
}

impl World {
    pub(super) fn job(&mut self, id: Id, request: &name::Request) -> Option<&mut Job> {
        let process = self.entry(id)?;
        process.jobs.iter_mut().find(|j| j.id == *request)
    }

    /// Gives a request an event and carries out what follows.
    pub(super) fn on(&mut self, id: Id, request: &name::Request, event: Event) {
        let now = self.now;
        let Some(process) = self.entry(id) else {
            return;
        };
        let Some(job) = process.jobs.iter_mut().find(|j| j.id == *request) else {
            return;
        };
        let actions = job.machine.handle(event, now, &process.budget);
        self.carry_out(id, request, actions);
        if let Some(job) = self.job(id, request) {
            job.payload = None;
        }
    }

    pub(super) fn carry_out(&mut self, id: Id, request: &name::Request, actions: Vec<Action>) {
        let boot = self.parts[id].boot;
        for action in actions {
            if self.runs(id, boot) {
                self.act(id, request, action);
            }
        }
    }

    fn act(&mut self, id: Id, request: &name::Request, action: Action) {
        match action {
            Action::Plan => self.plan(id, request),
            Action::Acquire {
                attempt,
                target,
                avoid,
                wait,
                hold,
            } => self.want(id, request, attempt, (target, avoid), (wait, hold)),
            Action::Release { lease, report } => self.release(id, lease, report),
            Action::Claim => self.claim(id, request),
            Action::Send {
                attempt,
                lease,
                version,
                after,
                ..
            } => self.send_work(id, request, attempt, &lease, version, after),
            Action::Cancel {
                attempt,
                upstream,
                discard,
            } => self.cancel(id, request, attempt, upstream, discard),
            Action::Buffer => {
                if let Some(job) = self.job(id, request)
                    && let Some(text) = job.payload.take()
                {
                    job.kept.push(text);
                }
            }
            Action::DiscardBuffer => {
                if let Some(job) = self.job(id, request) {
                    job.kept.clear();
                }
            }
            Action::Flush => {
                let kept = self.job(id, request).map(|j| std::mem::take(&mut j.kept));
                if let Some(asked) = self.record.asked_mut(request) {
                    asked.got.extend(kept.unwrap_or_default());
                }
            }
            Action::OpenBill(bill) => self.open_bill(id, request, bill),
            Action::Complete { version, cost } => {
                self.reach(Step::Answered, id, Some(request));
                self.ended(request, record::End::Complete, version, cost);
            }
            Action::Replay(answer) => {
                let text = String::from_utf8_lossy(&answer.body).into_owned();
                if let Some(asked) = self.record.asked_mut(request) {
                    asked.got.push(text);
                }
                self.ended(request, record::End::Replayed, None, 0);
            }
            Action::Fail(error) => self.ended(request, record::End::Failed(error), None, 0),
            // The services here offer no status lookup.
            Action::Lookup => self.on(id, request, Event::LookedUp(false)),
            Action::FinishClaimAnswered => {
                let body = self.job(id, request).and_then(|j| j.kept.last().cloned());
                let answer = claim::Response {
                    status: 200,
                    content_type: "text/plain".to_owned(),
                    body: body.unwrap_or_default().into_bytes(),
                };
                self.finish_claim(id, request, claim::Outcome::Answered(answer));
            }
            Action::FinishClaim(end) => self.finish_claim(id, request, end),
            // Predictions are not part of this world.
            Action::Observe { .. } => {}
            Action::SettleBill(bill) => {
                if let Some(process) = self.entry(id) {
                    let actions = process.bills.settle(bill);
                    self.bill(id, actions);
                }
            }
        }
    }

    pub(super) fn begin(&mut self, id: Id, request: &name::Request) {
        if let Some(job) = self.job(id, request) {
            let first = std::mem::take(&mut job.first);
            self.carry_out(id, request, first);
        }
    }

    fn plan(&mut self, id: Id, request: &name::Request) {
        let (now, stock) = (self.now, self.stock(id));
        let Some(process) = self.entry(id) else {
            return;
        };
        let Some(job) = process.jobs.iter().find(|j| j.id == *request) else {
            return;
        };
        let (Some(config), Some(end)) = (process.feed.config(), process.feed.lease_end()) else {
            return;
        };
        let plan = if job.service.is_some() {
            Ok(Vec::new())
        } else {
            let context = policy::Context {
                config,
                availability: &stock,
                cut_off: (now >= end).then(|| now.since(end)),
                now,
            };
            let plan = process.planner.plan(&job.ask, &context);
            plan.map(|(plan, _)| {
                let steps = plan.steps.into_iter();
                steps
                    .map(|version| {
                        let entry = config.inventory.version(&version);
                        Planned {
                            prompt_cost: entry.map_or(0, |e| e.prompt_cost),
                            answer_cost: entry.map_or(0, |e| e.answer_cost),
                            version,
                        }
                    })
                    .collect()
            })
        };
        self.reach(Step::Chosen, id, Some(request));
        self.on(id, request, Event::Planned(plan));
    }

    pub(super) fn job_receive(&mut self, id: Id, body: Body) {
        match body {
            Body::Acquired {
                request,
                attempt,
                result,
                hold,
                sent,
            } => self.acquired(id, &request, attempt, result, (hold, sent)),
            Body::Begun { request, reply } => self.begun(id, &request, reply),
            Body::Finished { request, reply } => {
                let now = self.now;
                if let Some(job) = self.job(id, &request) {
                    match (&reply, &mut job.finish) {
                        (Ok(()), _) => {
                            job.finish = None;
                            job.claimed = Claimed::No;
                        }
                        (Err(_), Some((_, call))) => {
                            call.next = now + PAUSE;
                            call.target += 1;
                        }
                        (Err(_), None) => {}
                    }
                }
                if reply.is_ok() {
                    self.reach(Step::Recorded, id, Some(&request));
                }
            }
            Body::Permitted { request, reply } => self.permitted(id, &request, &reply),
            Body::Signal {
                request,
                attempt,
                signal,
            } => self.signal(id, &request, attempt, signal),
            _ => {}
        }
    }

    fn open_bill(&mut self, id: Id, request: &name::Request, bill: ledger::Bill) {
        let (now, me) = (self.now, instance(&self.parts[id].name));
        let Some(process) = self.entry(id) else {
            return;
        };
        let members = &process.view.members;
        let witness = members.iter().map(|c| &c.name).find(|n| **n != me).cloned();
        let alone = witness.is_none();
        let actions = process.bills.open(bill, witness);
        if let Some(job) = self.job(id, request) {
            job.witness_by = Some(now + WITNESS);
        }
        self.bill(id, actions);
        if alone {
            self.witnessed(id, request);
        }
    }

    /// The witness has the open record, or the wait for it is over.
    pub(super) fn witnessed(&mut self, id: Id, request: &name::Request) {
        if let Some(job) = self.job(id, request)
            && job.witness_by.take().is_some()
        {
            self.on(id, request, Event::BillOpened);
        }
    }

    pub(super) fn job_tick(&mut self, id: Id) {
        let now = self.now;
        let Some(process) = self.entry(id) else {
            return;
        };
        let ended: Vec<_> = process.jobs.extract_if(.., |j| j.is_idle()).collect();
        let open: Vec<_> = process.jobs.iter().map(|j| j.id.clone()).collect();
        for job in ended.iter().filter(|j| j.gate == Gate::Held) {
            self.return_permit(id, job);
        }
        for request in open {
            self.acquire_due(id, &request);
            self.claim_due(id, &request);
            self.finish_due(id, &request);
            let Some(job) = self.job(id, &request) else {
                continue;
            };
            if job.witness_by.is_some_and(|by| now >= by) {
                self.witnessed(id, &request);
            }
            let Some(job) = self.job(id, &request) else {
                continue;
            };
            if !job.machine.is_finished() && now >= job.machine.next_tick() {
                self.on(id, &request, Event::Tick);
            }
        }
    }

    pub(super) fn ended(
        &mut self,
        request: &name::Request,
        end: record::End,
        version: Option<name::Version>,
        cost: u64,
    ) {
        let now = self.now;
        let Some(asked) = self.record.asked_mut(request) else {
            return;
        };
        if asked.end != record::End::Open {
            return;
        }
        asked.end = end;
        asked.ended = now;
        asked.cost = cost;
        if let Some((_, before)) = &asked.session
            && version.is_some()
        {
            asked.moved = before.as_ref().is_some_and(|v| Some(v) != version.as_ref());
        }
        asked.version = version;
        let request = request.clone();
        self.told(&request);
    }
}
