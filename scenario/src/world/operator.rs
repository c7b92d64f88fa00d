//! Callers that resend and operators that repeat their commands.

use masticlock_core::{
    command, config,
    config::{Change, Restriction},
    error, name,
    time::{Span, Time},
};
use rand::RngExt;

use super::{
    CALL, Due, Id, Part, Role, World,
    message::{Body, Redirect},
    record,
    step::Step,
};
use crate::script;

/// How often a caller sends a request that was not answered.
const CALLER_TRIES: u32 = 4;
/// Pause of a caller before it sends again.
const CALLER_PAUSE: Span = Span::from_millis(1_200);
/// Pause of an operator before a refused command is sent again.
const PAUSE: Span = Span::from_millis(150);
/// How long an operator repeats a command.
const PATIENCE: Span = Span::from_secs(30);

/// A caller's request with what is needed to send it again.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The request.
    pub request: script::Request,
    /// The caller's session.
    pub session: Option<String>,
    /// How often it was sent.
    pub tries: u32,
}

/// What an operator was told of a command.
#[derive(Clone, Debug, PartialEq)]
pub struct Told {
    /// The command.
    pub id: String,
    /// When.
    pub at: Time,
    /// The outcome.
    pub outcome: command::Outcome,
}

struct Pending {
    command: command::Command,
    target: Id,
    next: Time,
    until: Time,
}

/// Operators' command lines.
#[derive(Default)]
pub(super) struct Desk {
    sent: Vec<command::Command>,
    pending: Vec<Pending>,
    told: Vec<Told>,
    callers: Vec<(name::Request, Caller)>,
    sessions: Vec<(name::Account, String, name::Version)>,
}

/// Index of the part that stands for operators and callers.
const DESK: Id = 0;

impl World {
    pub(super) fn add_desk(&mut self) {
        self.parts.push(Part {
            name: "desk".to_owned(),
            domain: name::Domain::try_from("outside").expect("a name"),
            up: true,
            boot: 0,
            role: Role::Desk(Box::default()),
        });
        self.push(Span::ZERO, Due::Tick(DESK, 0));
    }

    fn desk(&mut self) -> &mut Desk {
        match &mut self.parts[DESK].role {
            Role::Desk(desk) => desk,
            _ => unreachable!("the desk is the first part"),
        }
    }

    /// Sends a request of a caller now.
    pub fn ask(&mut self, request: script::Request, session: Option<String>) {
        let caller = Caller {
            request,
            session,
            tries: 0,
        };
        self.push(Span::ZERO, Due::Caller(Box::new(caller)));
    }

    /// Lets the load balancer pass a request to its instance or another live one.
    pub(super) fn call(&mut self, mut caller: Caller) {
        caller.tries += 1;
        let named = self.find(&caller.request.through);
        let order = named.into_iter().chain(self.entry_ids());
        let ready: Vec<_> = order.filter(|&id| self.is_ready(id)).collect();
        let Some(&id) = ready.first() else {
            return self.call_later(caller);
        };
        let request = name::Request::try_from(format!("r{}", self.requests + 1)).expect("a name");
        self.desk().callers.push((request, caller.clone()));
        self.admit(id, &caller);
    }

    fn is_ready(&mut self, id: Id) -> bool {
        self.entry(id)
            .is_some_and(|p| p.stopping.is_none() && p.feed.config().is_some())
    }

    fn call_later(&mut self, caller: Caller) {
        if caller.tries < CALLER_TRIES {
            self.push(CALLER_PAUSE, Due::Caller(Box::new(caller)));
        }
    }

    /// Lets a caller see the end of its request, and send it again if that is safe.
    pub(super) fn told(&mut self, request: &name::Request) {
        let Some(asked) = self.record.asked_mut(request).cloned() else {
            return;
        };
        let at = self.desk().callers.iter().position(|c| c.0 == *request);
        let Some(at) = at else {
            return;
        };
        let (_, caller) = self.desk().callers.remove(at);
        if let (record::End::Complete, Some((session, _)), Some(version)) =
            (&asked.end, &asked.session, &asked.version)
        {
            let (account, session) = (asked.account.clone(), session.clone());
            let sessions = &mut self.desk().sessions;
            sessions.retain(|s| s.0 != account || s.1 != session);
            sessions.push((account, session, version.clone()));
        }
        let again = match &asked.end {
            record::End::Complete | record::End::Replayed | record::End::Open => false,
            record::End::Failed(error) => error.kind.response().repeat_safe && may_help(error.kind),
            record::End::Broken => {
                let work = &caller.request.work;
                caller.request.key.is_some() || matches!(work, script::Work::Task(_))
            }
        };
        // A caller whose request crashes upstreams does not give up.
        if again || caller.request.crashes {
            self.call_later(caller);
        }
    }

    pub(super) fn session_version(
        &mut self,
        account: &name::Account,
        session: &str,
    ) -> Option<name::Version> {
        let sessions = &self.desk().sessions;
        let found = sessions.iter().find(|s| s.0 == *account && s.1 == session);
        found.map(|s| s.2.clone())
    }

    /// Sends a command of an operator now and repeats it until it is answered.
    pub fn submit(&mut self, command: command::Command, through: Id) {
        let now = self.now;
        let desk = self.desk();
        desk.sent.push(command.clone());
        desk.pending.push(Pending {
            command,
            target: through,
            next: now,
            until: now + PATIENCE,
        });
        self.reach(Step::CommandSent, through, None);
        self.desk_due();
    }

    pub(super) fn desk_tick(&mut self) {
        self.desk_due();
    }

    fn desk_due(&mut self) {
        let (now, controls) = (self.now, self.control_ids());
        let mut sends = Vec::new();
        let desk = self.desk();
        desk.pending.retain(|p| now < p.until);
        for pending in &mut desk.pending {
            if now >= pending.next {
                pending.next = now + CALL;
                sends.push((pending.target, pending.command.clone()));
                let at = controls.iter().position(|c| *c == pending.target);
                pending.target = controls[at.map_or(0, |at| (at + 1) % controls.len())];
            }
        }
        for (to, command) in sends {
            self.discard_later(DESK, to);
            self.send(DESK, to, Body::Submit(Box::new(command)));
        }
    }

    pub(super) fn desk_receive(&mut self, body: Body) {
        if let Body::Submitted { id, reply } = body {
            self.submitted(&id, reply);
        }
    }

    fn submitted(&mut self, id: &name::Command, reply: Result<command::Outcome, Redirect>) {
        let now = self.now;
        let target = match &reply {
            Err(Some(leader)) => self.find(leader),
            _ => None,
        };
        let desk = self.desk();
        let Some(at) = desk.pending.iter().position(|p| p.command.id == *id) else {
            return;
        };
        if let Ok(outcome) = reply {
            desk.pending.remove(at);
            desk.told.push(Told {
                id: id.to_string(),
                at: now,
                outcome,
            });
            return self.reach(Step::Replied, DESK, None);
        }
        let pending = &mut desk.pending[at];
        pending.next = now + PAUSE;
        if let Some(leader) = target {
            pending.target = leader;
        }
    }

    /// Returns what operators were told.
    pub fn outcomes(&mut self) -> &[Told] {
        &self.desk().told
    }

    /// Returns the revision that the sender of a command expected.
    pub(super) fn expected(&mut self, id: &name::Command) -> Option<u64> {
        let sent = &self.desk().sent;
        sent.iter().find(|c| c.id == *id).and_then(|c| c.expects)
    }

    /// Returns a command with a new id.
    ///
    /// # Panics
    ///
    /// Never: hexadecimal digits are a name.
    pub fn command(&mut self, operator: &str, change: Change) -> command::Command {
        let id = format!("cmd-{:016x}", self.random.random::<u64>());
        command::Command {
            id: name::Command::try_from(id).expect("a name"),
            operator: operator.to_owned(),
            expects: None,
            change,
        }
    }

    /// Notes what a change closes or opens for new work.
    pub(super) fn note_closure(&mut self, change: &Change) {
        let now = self.now;
        let mut close = |limit: Restriction| {
            self.record.closures.push(record::Closure {
                at: now,
                until: None,
                limit,
            });
        };
        match change {
            Change::Restrict(limit) => close(limit.clone()),
            Change::RollBack { version, .. } => close(Restriction::Withdraw(version.clone())),
            Change::Allow(limit) => {
                let open = self.record.closures.iter_mut();
                for closure in open.filter(|c| c.limit == *limit && c.until.is_none()) {
                    closure.until = Some(now);
                }
            }
            Change::Import(_)
            | Change::SetRules(_)
            | Change::Lift(_)
            | Change::StartRollout { .. }
            | Change::AdvanceRollout { .. } => {}
        }
    }
}

/// Returns whether sending again can lead to another answer.
const fn may_help(kind: error::Kind) -> bool {
    !matches!(
        kind,
        error::Kind::BadRequest
            | error::Kind::Forbidden
            | error::Kind::Blocked
            | error::Kind::QualityUnreachable
            | error::Kind::SessionInvalid
    )
}

/// Returns the stages that rollouts of the scenarios have.
#[must_use]
pub fn stages() -> Vec<config::Stage> {
    [0.5, 1.0]
        .map(|share| config::Stage {
            share,
            exposure: 1_000,
            at_least: Span::from_secs(1),
        })
        .to_vec()
}
