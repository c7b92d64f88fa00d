//! Fake engines and plain services that note what runs.

use masticlock_core::{
    attempt::Usage,
    directory::{Announcement, State},
    inventory::Offer,
    name, slot,
    time::{Span, Time},
};

use super::{
    Due, Id, Role, World,
    front::PROMPT_TOKENS,
    message::{Body, Envelope, Signal, Work},
    record,
};

/// Time to the first byte of an engine.
const FIRST: Span = Span::from_millis(60);
/// Time between two pieces of a stream.
const BETWEEN: Span = Span::from_millis(60);
/// Time that a call of a plain service takes.
const CALL: Span = Span::from_millis(80);
/// Pieces of every stream.
const PIECES: u64 = 6;
/// Time after which owners know of a cold start that came without warning.
const NOTICE: Span = Span::from_secs(2);
/// How long an upstream that turned cold says so.
const COLD: Span = Span::from_secs(5);
/// Time limit of an announcement.
const ANNOUNCE_CALL: Span = Span::from_secs(1);

/// What an upstream is.
#[derive(Clone, Debug)]
pub(super) struct Kind {
    pub(super) offer: Offer,
    pub(super) service: Option<name::Service>,
    pub(super) versions: Vec<name::Version>,
    pub(super) warm: u32,
    pub(super) cold: u32,
}

struct Run {
    number: u64,
    work: Work,
    to: (Id, u64),
    offset: u64,
    has_head: bool,
}

pub(super) struct Upstream {
    kind: Kind,
    incarnation: u64,
    token: Option<slot::Token>,
    call: u64,
    runs: Vec<Run>,
    next: u64,
    /// Requests that it can handle at once.
    bears: u32,
    done: u32,
    /// When it turned cold without warning, and what it could handle before.
    cooled: Option<(Time, u32)>,
    leaving: bool,
    /// Requests whose whole answer it still has.
    answered: Vec<name::Request>,
}

/// Returns the pieces of the answer to a request of a model.
#[must_use]
pub fn pieces_of(label: &str) -> Vec<String> {
    (0..PIECES).map(|at| format!("{label}:{at}")).collect()
}

/// Returns the answer to a call of a plain service.
#[must_use]
pub fn answer_of(label: &str) -> String {
    format!("{label}:done")
}

impl Upstream {
    pub(super) const fn new(kind: Kind) -> Self {
        Self {
            bears: kind.cold,
            kind,
            incarnation: 0,
            token: None,
            call: 0,
            runs: Vec::new(),
            next: 0,
            done: 0,
            cooled: None,
            leaving: false,
            answered: Vec::new(),
        }
    }

    fn state(&self, now: Time) -> State {
        let cold = |(at, _): &(Time, u32)| now.since(*at) < COLD;
        if self.leaving {
            State::Leaving
        } else if self.cooled.as_ref().is_some_and(cold) {
            State::Cold
        } else {
            State::Ready
        }
    }

    /// Returns how many requests senders may give it now. Owners need a moment
    /// to learn of a cold start that came without warning.
    fn bound(&self, now: Time) -> u32 {
        match self.cooled {
            Some((at, before)) if now.since(at) < NOTICE => before.max(self.bears),
            _ => self.bears,
        }
    }

    fn completed(&mut self) {
        self.done += 1;
        if self.done >= self.bears {
            self.done = 0;
            self.bears = (self.bears * 2).min(self.kind.warm);
        }
    }
}

impl World {
    pub(super) fn upstream(&mut self, id: Id) -> Option<&mut Upstream> {
        match &mut self.parts[id].role {
            Role::Upstream(upstream) => Some(upstream),
            _ => None,
        }
    }

    pub(super) fn start_upstream(&mut self, id: Id) {
        if let Some(upstream) = self.upstream(id) {
            let kind = upstream.kind.clone();
            let (incarnation, next) = (upstream.incarnation + 1, upstream.next);
            *upstream = Upstream {
                incarnation,
                next,
                ..Upstream::new(kind)
            };
        }
        self.push(Span::ZERO, Due::Announce(id, self.parts[id].boot, 0));
    }

    /// Ends the process; connections with running work are reset.
    pub(super) fn end_upstream(&mut self, id: Id) {
        let Some(upstream) = self.upstream(id) else {
            return;
        };
        let incarnation = upstream.incarnation;
        for run in std::mem::take(&mut upstream.runs) {
            let signal = Signal::Reset { incarnation };
            self.signal_to(id, &run.work, run.to, signal);
        }
    }

    fn signal_to(&mut self, id: Id, work: &Work, to: (Id, u64), signal: Signal) {
        let body = Body::Signal {
            request: work.request.clone(),
            attempt: work.attempt,
            signal,
        };
        self.reply(id, to, body);
    }

    pub(super) fn announce(&mut self, id: Id, call: u64) {
        let (now, boot, part) = (self.now, self.parts[id].boot, &self.parts[id]);
        let (address, domain) = (part.name.clone(), part.domain.clone());
        let Some(upstream) = self.upstream(id) else {
            return;
        };
        if upstream.call != call {
            return;
        }
        upstream.call += 1;
        let next = upstream.call;
        let announcement = Announcement {
            upstream: name::Upstream::try_from(address.as_str()).expect("part names are names"),
            incarnation: upstream.incarnation,
            address,
            domain: domain.clone(),
            offer: upstream.kind.offer,
            service: upstream.kind.service.clone(),
            versions: upstream.kind.versions.clone(),
            warm: upstream.kind.warm,
            cold: upstream.kind.cold,
            fences: false,
            state: upstream.state(now),
            token: upstream.token.clone(),
        };
        let doors: Vec<_> = self
            .entry_ids()
            .into_iter()
            .filter(|e| self.parts[*e].up && self.parts[*e].domain == domain)
            .collect();
        if !doors.is_empty() {
            let door = doors[usize::try_from(next).unwrap_or(0) % doors.len()];
            let body = Body::Announce {
                announcement: Box::new(announcement),
                forwarded: false,
            };
            self.discard_later(id, door);
            self.send(id, door, body);
        }
        self.push(ANNOUNCE_CALL, Due::Announce(id, boot, next));
    }

    pub(super) fn upstream_receive(&mut self, envelope: Envelope) {
        let id = envelope.to;
        match envelope.body {
            Body::Work(work) => self.work(id, *work, (envelope.from, envelope.from_boot)),
            Body::Cancel { request } => {
                if let Some(upstream) = self.upstream(id) {
                    upstream.runs.retain(|r| r.work.request != request);
                }
            }
            Body::Announced {
                incarnation,
                answer,
            } => {
                let boot = self.parts[id].boot;
                let Some(upstream) = self.upstream(id) else {
                    return;
                };
                if upstream.incarnation == incarnation {
                    upstream.token = Some(answer.token);
                    upstream.call += 1;
                    let call = upstream.call;
                    self.push(answer.interval, Due::Announce(id, boot, call));
                }
            }
            _ => {}
        }
    }

    fn work(&mut self, id: Id, work: Work, to: (Id, u64)) {
        let (now, boot) = (self.now, self.parts[id].boot);
        let (name, domain) = (self.parts[id].name.clone(), self.parts[id].domain.clone());
        let Some(upstream) = self.upstream(id) else {
            return;
        };
        let kept = work.after.is_some()
            && (upstream.answered.contains(&work.request)
                || upstream.runs.iter().any(|r| r.work.request == work.request));
        // A reconnected stream takes the place of the broken one.
        if kept {
            upstream.runs.retain(|r| r.work.request != work.request);
        }
        upstream.next += 1;
        let number = upstream.next;
        // A slot lasts until the deadline of a call that can't be cancelled.
        let held = upstream
            .runs
            .iter()
            .filter(|r| now < r.work.deadline)
            .count();
        let load = u32::try_from(held).unwrap_or(u32::MAX) + 1;
        let run = record::Run {
            at: now,
            upstream: name::Upstream::try_from(name).expect("part names are names"),
            domain,
            version: work.version.clone(),
            request: work.request.clone(),
            account: work.account.clone(),
            key: work.key.clone(),
            repeatable: work.repeatable,
            resumed: kept,
            load,
            bears: upstream.bound(now),
            reachable: work.reachable,
        };
        let crashes = work.crashes;
        let first = match (work.version.is_some(), work.takes) {
            (true, _) => FIRST,
            (false, Some(takes)) => takes,
            (false, None) => CALL,
        };
        upstream.runs.push(Run {
            number,
            offset: work.after.map_or(0, |after| after + 1),
            work,
            to,
            has_head: false,
        });
        self.record.runs.push(run);
        if crashes {
            return self.crash(id, Some(Span::from_secs(2)));
        }
        self.push(first, Due::Progress(id, boot, number));
    }

    /// Sends the next part of an answer.
    pub(super) fn progress(&mut self, id: Id, number: u64) {
        let boot = self.parts[id].boot;
        let Some(upstream) = self.upstream(id) else {
            return;
        };
        let Some(at) = upstream.runs.iter().position(|r| r.number == number) else {
            return;
        };
        let run = &mut upstream.runs[at];
        let (work, to) = (run.work.clone(), run.to);
        let head = !std::mem::replace(&mut run.has_head, true);
        let (offset, streams) = (run.offset, run.work.version.is_some());
        run.offset += 1;
        let ends = !streams || offset + 1 >= PIECES;
        if ends {
            upstream.runs.remove(at);
            upstream.answered.push(work.request.clone());
            upstream.completed();
        }
        if head {
            self.signal_to(id, &work, to, Signal::Head);
        }
        if streams && offset < PIECES {
            let text = format!("{}:{offset}", work.label);
            let usage = ends.then_some(Usage {
                prompt_tokens: u64::from(PROMPT_TOKENS),
                answer_tokens: PIECES,
            });
            let piece = Signal::Piece {
                offset,
                text,
                usage,
            };
            self.signal_to(id, &work, to, piece);
        }
        if ends {
            let text = (!streams).then(|| answer_of(&work.label));
            self.signal_to(id, &work, to, Signal::End { text });
        } else {
            let between = work.takes.map_or(BETWEEN, |takes| {
                Span::from_millis(takes.as_millis() / PIECES)
            });
            self.push(between, Due::Progress(id, boot, number));
        }
    }

    /// Drops the engines' work whose connection ended with an instance.
    pub(super) fn disconnect(&mut self, entry: Id) {
        for part in &mut self.parts {
            if let Role::Upstream(upstream) = &mut part.role
                && upstream.kind.offer == Offer::Engine
            {
                upstream.runs.retain(|r| r.to.0 != entry);
            }
        }
    }

    /// Lets an upstream turn cold without a warning.
    pub fn cool(&mut self, id: Id) {
        let now = self.now;
        if let Some(upstream) = self.upstream(id) {
            let before = upstream.bound(now);
            upstream.cooled = Some((now, before));
            upstream.bears = upstream.kind.cold;
            upstream.done = 0;
        }
    }

    /// Lets an upstream announce that it leaves.
    ///
    /// # Panics
    ///
    /// Never: the names of parts are names.
    pub fn leave(&mut self, id: Id) {
        let at = self.now;
        let name = self.parts[id].name.clone();
        if let Some(upstream) = self.upstream(id) {
            upstream.leaving = true;
            let upstream = name::Upstream::try_from(name).expect("part names are names");
            self.record.leaving.push(record::Leaving { at, upstream });
        }
    }

    /// Returns the versions that other failure domains serve, with their slots.
    pub(super) fn served_elsewhere(&self, domain: &name::Domain) -> Vec<(name::Version, u32)> {
        let mut served = Vec::new();
        for part in &self.parts {
            if let Role::Upstream(upstream) = &part.role
                && part.up
                && part.domain != *domain
            {
                let kind = &upstream.kind;
                served.extend(kind.versions.iter().map(|v| (v.clone(), kind.warm)));
            }
        }
        served
    }

    pub(super) fn serves(&mut self, id: Id, call: bool) -> bool {
        let up = self.parts[id].up;
        let offer = if call { Offer::Service } else { Offer::Engine };
        self.upstream(id)
            .is_some_and(|u| up && u.kind.offer == offer)
    }

    /// Returns the upstream that runs a request.
    pub(super) fn running(&self, request: &name::Request) -> Option<Id> {
        self.parts.iter().position(|part| match &part.role {
            Role::Upstream(u) => u.runs.iter().any(|r| r.work.request == *request),
            _ => false,
        })
    }
}
