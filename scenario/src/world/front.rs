//! Admission of requests at an entry instance.

use masticlock_core::{
    attempt, claim, error, name,
    request::{Fingerprint, ModelRequest},
    session,
    time::{Span, Time},
};

use super::{
    Id, World,
    job::{Job, Opening},
    operator::Caller,
    record,
    step::Step,
    upstream::{answer_of, pieces_of},
};
use crate::script;

/// Deadline of calls of plain services.
const CALL_DEADLINE: Span = Span::from_secs(10);
/// Prompt tokens of every request. Small, so that the fake engines answer quickly.
pub(super) const PROMPT_TOKENS: u32 = 40;
/// Most answer tokens of every request.
const ANSWER_TOKENS: u32 = 20;

/// The checks that a request passed.
struct Admitted {
    work: attempt::Work,
    task: name::Task,
    quality: f64,
    deadline: Time,
    service: Option<name::Service>,
}

impl World {
    /// Lets a request arrive at an instance.
    pub(super) fn admit(&mut self, id: Id, caller: &Caller) {
        self.requests += 1;
        let request = name::Request::try_from(format!("r{}", self.requests)).expect("a name");
        let asked = &caller.request;
        let session =
            (caller.session.as_ref()).map(|s| (s.clone(), self.session_version(&asked.account, s)));
        let whole = match &asked.work {
            script::Work::Task(_) => pieces_of(&asked.label),
            script::Work::Call { .. } => vec![answer_of(&asked.label)],
        };
        self.record.asked.push(record::Asked {
            label: asked.label.clone(),
            request: request.clone(),
            account: asked.account.clone(),
            instance: self.parts[id].name.clone(),
            at: self.now,
            ended: self.now,
            got: Vec::new(),
            whole,
            end: record::End::Open,
            cost: 0,
            session: session.clone(),
            version: None,
            moved: false,
        });
        match self.check(id, asked) {
            Ok(admitted) => self.open(id, caller, &request, admitted, session),
            Err(error) => {
                if let Some(asked) = self.record.asked_mut(&request) {
                    asked.end = record::End::Failed(error);
                }
                self.told(&request);
            }
        }
    }

    fn check(&mut self, id: Id, asked: &script::Request) -> Result<Admitted, error::Error> {
        let now = self.now;
        let refuse = |kind, text: &str| Err(error::Error::new(kind, text));
        let Some(process) = self.entry(id) else {
            return refuse(error::Kind::NoUpstream, "the instance is down");
        };
        if process.stopping.is_some() {
            return refuse(error::Kind::Stopping, "the instance is stopping");
        }
        let Some(config) = process.feed.config().cloned() else {
            return refuse(error::Kind::Stopping, "the instance has no configuration");
        };
        if config.blocked.binary_search(&asked.account).is_ok() {
            return refuse(error::Kind::Blocked, "the client account is blocked");
        }
        let plain = || name::Task::try_from("call").expect("a name");
        match &asked.work {
            script::Work::Task(task) => {
                let Some(rule) = config.rules.task(task) else {
                    return refuse(error::Kind::BadRequest, "no such task");
                };
                Ok(Admitted {
                    work: attempt::Work::Model { streamed: true },
                    task: task.clone(),
                    quality: rule.quality,
                    deadline: now + Span::from_millis(rule.deadline_ms),
                    service: None,
                })
            }
            script::Work::Call {
                service,
                method,
                path,
            } => {
                let rule = config.rules.account(&asked.account);
                if !rule.is_some_and(|r| r.services.contains(service)) {
                    return refuse(error::Kind::Forbidden, "the service is not allowed");
                }
                let repeatable = config.rules.is_repeatable(service, method, path);
                let safety = match (repeatable, &asked.key) {
                    (true, _) => attempt::Safety::Repeatable,
                    (false, Some(_)) => attempt::Safety::Claimed,
                    (false, None) => attempt::Safety::Once,
                };
                Ok(Admitted {
                    work: attempt::Work::Call {
                        service: service.clone(),
                        safety,
                        lookup: false,
                    },
                    task: plain(),
                    quality: 0.0,
                    deadline: now + CALL_DEADLINE,
                    service: Some(service.clone()),
                })
            }
        }
    }

    fn open(
        &mut self,
        id: Id,
        caller: &Caller,
        request: &name::Request,
        admitted: Admitted,
        session: Option<(String, Option<name::Version>)>,
    ) {
        let asked = &caller.request;
        let key = asked.key.clone().map(|key| claim::Key {
            account: asked.account.clone(),
            key,
        });
        let repeatable = match &admitted.work {
            attempt::Work::Model { .. } => true,
            attempt::Work::Call { safety, .. } => *safety == attempt::Safety::Repeatable,
        };
        let ask = ModelRequest {
            account: asked.account.clone(),
            id: request.clone(),
            task: admitted.task,
            model: None,
            quality: admitted.quality,
            deadline: admitted.deadline,
            prompt_tokens: PROMPT_TOKENS,
            answer_tokens: ANSWER_TOKENS,
            session: session.map(|(id, version)| session::Session { id, version }),
            fingerprint: Fingerprint::of(&asked.account, asked.label.as_bytes()),
        };
        let attempt = attempt::Request {
            account: asked.account.clone(),
            id: request.clone(),
            work: admitted.work,
            deadline: admitted.deadline,
            outlives_caller: key.is_some(),
            prompt_tokens: u64::from(PROMPT_TOKENS),
            seed: self.requests,
        };
        let job = Job::new(Opening {
            label: asked.label.clone(),
            ask,
            attempt,
            // A claim is only for calls that may run once.
            key: key.filter(|_| !repeatable),
            service: admitted.service,
            repeatable,
            crashes: asked.crashes,
            takes: asked.takes,
        });
        if let Some(process) = self.entry(id) {
            process.jobs.push(job);
        }
        let boot = self.parts[id].boot;
        self.reach(Step::Admitted, id, Some(request));
        if self.runs(id, boot) {
            self.begin(id, request);
        }
    }
}
