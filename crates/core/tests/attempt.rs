//! Seeded schedules of the request steps on virtual time.
//!
//! A schedule answers each action after a random time with a random outcome,
//! failures and late events included, and checks the invariants at each step.

use std::collections::{BTreeMap, BTreeSet};

use masticlock_core::{
    attempt::{Action, Event, Fault, Limits, Machine, Request, Safety, Step, Usage, Work},
    budget::Budget,
    claim, error, name, slot,
    time::{Span, Time},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SCHEDULES: u64 = 20_000;
const DEADLINE: Time = Time::from_millis(10_000);
/// Pieces of a complete stream.
const PIECES: u64 = 5;

/// How an upstream treats an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    NotSent,
    Refused,
    Rejected,
    Closed,
    Withdrawn,
    SlotLost,
    BrokenBeforeHead,
    Silent,
    SilentAfterHead,
    BrokenAfter(u64),
    GapAfter(u64),
    Answers,
}

const FATES: [Fate; 16] = [
    Fate::NotSent,
    Fate::Refused,
    Fate::Rejected,
    Fate::Closed,
    Fate::Withdrawn,
    Fate::SlotLost,
    Fate::BrokenBeforeHead,
    Fate::Silent,
    Fate::SilentAfterHead,
    Fate::BrokenAfter(1),
    Fate::BrokenAfter(3),
    Fate::GapAfter(2),
    Fate::Answers,
    Fate::Answers,
    Fate::Answers,
    Fate::Answers,
];

/// What the world has seen of a request.
struct World {
    rng: ChaCha8Rng,
    now: Time,
    events: BTreeMap<(Time, u64), Event>,
    next: u64,
    work: Work,
    /// Whether all upstreams answer, so that the request has to succeed.
    is_healthy: bool,
    leases: u64,
    held: BTreeSet<u64>,
    /// Sends that may have reached an upstream.
    reached: u32,
    /// Offset that the current event brings.
    offset: Option<u64>,
    kept: Vec<u64>,
    caller: Vec<u64>,
    is_claimed: bool,
    finished: Vec<&'static str>,
    opened: u32,
    settled: u32,
    terminal: Option<Action>,
}

fn name<N>(text: &str) -> N
where
    N: for<'a> TryFrom<&'a str, Error = name::Error>,
{
    N::try_from(text).unwrap()
}

fn step(version: &str) -> Step {
    Step {
        version: name(version),
        prompt_cost: 1_000,
        answer_cost: 2_000,
    }
}

fn overloaded() -> error::Error {
    error::Error::new(error::Kind::Overloaded, "no slot")
}

impl World {
    fn chance(&mut self, one_in: u64) -> bool {
        !self.is_healthy && self.rng.random_range(0..one_in) == 0
    }

    fn after(&mut self, max_ms: u64, event: Event) {
        let at = self.now + Span::from_millis(self.rng.random_range(0..=max_ms));
        self.at(at, event);
    }

    fn at(&mut self, at: Time, event: Event) {
        self.next += 1;
        self.events.insert((at, self.next), event);
    }

    fn act(&mut self, action: Action) {
        if self.terminal.is_some() {
            let is_clean_up = matches!(
                action,
                Action::Release { .. } | Action::FinishClaim(_) | Action::SettleBill(_)
            );
            assert!(is_clean_up, "after the end: {action:?}");
        }
        match action {
            Action::Plan => self.plan(),
            Action::Acquire {
                attempt, ref avoid, ..
            } => {
                assert!(self.now < DEADLINE);
                assert!(avoid.is_sorted());
                self.slot(attempt);
            }
            Action::Release { lease, .. } => {
                assert!(self.held.remove(&lease.id), "slot returned twice");
            }
            Action::Claim => self.claim(),
            Action::Send { attempt, after, .. } => self.send(attempt, after),
            Action::Cancel { .. } | Action::Observe { .. } => {}
            Action::Buffer => self.kept.extend(self.offset),
            Action::DiscardBuffer => self.kept.clear(),
            Action::Flush => self.caller.append(&mut self.kept),
            Action::OpenBill(_) => {
                self.opened += 1;
                self.after(300, Event::BillOpened);
            }
            Action::Lookup => {
                let found = self.reached > 0 && self.rng.random_bool(0.5);
                self.after(500, Event::LookedUp(found));
            }
            Action::FinishClaimAnswered => self.finished.push("answered"),
            Action::FinishClaim(end) => self.finish(&end),
            Action::SettleBill(_) => self.settled += 1,
            Action::Complete { .. } | Action::Replay(_) | Action::Fail(_) => self.end(action),
        }
    }

    fn plan(&mut self) {
        let fails = self.chance(20);
        let plan = match self.work {
            Work::Model { .. } if fails => Err(overloaded()),
            Work::Model { .. } if self.rng.random_bool(0.5) => Ok(vec![step("a@1"), step("b@1")]),
            Work::Model { .. } => Ok(vec![step("a@1")]),
            Work::Call { .. } => Ok(vec![]),
        };
        self.after(0, Event::Planned(plan));
    }

    fn slot(&mut self, attempt: u32) {
        let result = if self.chance(10) {
            Err(overloaded())
        } else {
            self.leases += 1;
            self.held.insert(self.leases);
            Ok(slot::Lease {
                id: self.leases,
                owner: name("i1"),
                upstream: name(&format!("u{}", self.leases)),
                incarnation: 1,
                address: String::new(),
                far: None,
            })
        };
        let wait = if self.chance(10) { 11_000 } else { 50 };
        self.after(wait, Event::Slot { attempt, result });
    }

    fn claim(&mut self) {
        let draw = if self.is_healthy {
            9
        } else {
            self.rng.random_range(0..10)
        };
        let result = match draw {
            0 => Err(error::Error::new(error::Kind::ClaimUnavailable, "cut off")),
            1 => Ok(claim::Decision::InProgress),
            2 => Ok(claim::Decision::Unknown),
            3 => Ok(claim::Decision::Reused),
            4 => Ok(claim::Decision::Done(claim::Response {
                status: 201,
                content_type: String::new(),
                body: Vec::new(),
            })),
            _ => Ok(claim::Decision::Granted),
        };
        self.is_claimed |= matches!(result, Ok(claim::Decision::Granted));
        let wait = if self.chance(10) { 11_000 } else { 50 };
        self.after(wait, Event::Claimed(result));
    }

    fn finish(&mut self, end: &claim::Outcome) {
        match end {
            claim::Outcome::NotSent => {
                assert_eq!(self.reached, 0, "a claim was freed after the call was sent");
                self.finished.push("not sent");
            }
            claim::Outcome::Unknown => self.finished.push("unknown"),
            claim::Outcome::Answered(_) => self.finished.push("answered"),
        }
    }

    fn send(&mut self, attempt: u32, after: Option<u64>) {
        assert!(self.now < DEADLINE, "sent after the deadline");
        let fate = if self.is_healthy {
            Fate::Answers
        } else {
            FATES[self.rng.random_range(0..FATES.len())]
        };
        let is_once = !matches!(
            self.work,
            Work::Model { .. }
                | Work::Call {
                    safety: Safety::Repeatable,
                    ..
                }
        );
        assert!(!is_once || self.reached == 0, "a call was sent twice");
        let fault = match fate {
            Fate::NotSent => Some(Fault::NotSent),
            Fate::Closed => Some(Fault::Closed),
            Fate::Withdrawn if matches!(self.work, Work::Model { .. }) => Some(Fault::Withdrawn),
            Fate::Refused if !is_once => Some(Fault::Refused),
            Fate::Rejected if !is_once => Some(Fault::Rejected("bad".to_owned())),
            _ => None,
        };
        if let Some(fault) = fault {
            return self.after(100, Event::Failed { attempt, fault });
        }
        self.reached += 1;
        match fate {
            Fate::BrokenBeforeHead | Fate::SlotLost => {
                let fault = if fate == Fate::SlotLost {
                    Fault::SlotLost
                } else {
                    Fault::Broken
                };
                self.after(500, Event::Failed { attempt, fault });
            }
            // Late enough to come after every time limit.
            Fate::Silent => self.answer(attempt, after, 9_000, fate),
            _ => self.answer(attempt, after, 200, fate),
        }
    }

    /// Schedules the head and body of an answer.
    fn answer(&mut self, attempt: u32, after: Option<u64>, first_ms: u64, fate: Fate) {
        let mut at = self.now + Span::from_millis(first_ms);
        self.at(at, Event::Head { attempt });
        if fate == Fate::SilentAfterHead {
            at += Span::from_millis(8_000);
        }
        let start = after.map_or(0, |offset| offset + 1);
        // An upstream may repeat the piece that was received last.
        let start = start.saturating_sub(u64::from(self.chance(4)));
        for piece in start..PIECES {
            at += Span::from_millis(20);
            match fate {
                Fate::BrokenAfter(n) if piece >= start + n => {
                    let fault = Fault::Broken;
                    return self.at(at, Event::Failed { attempt, fault });
                }
                Fate::GapAfter(n) if piece == start + n => {}
                _ if self.is_streamed() => self.at(
                    at,
                    Event::Chunk {
                        attempt,
                        offset: Some(piece),
                        usage: (piece + 1 == PIECES).then(Usage::default),
                    },
                ),
                _ => self.at(at, Event::Progress { attempt }),
            }
        }
        let certainty = Some(if self.rng.random_bool(0.5) { 0.9 } else { 0.1 });
        let answered = Event::Answered {
            attempt,
            usage: (!self.is_streamed()).then(Usage::default),
            certainty,
        };
        self.at(at, answered);
    }

    fn is_streamed(&self) -> bool {
        matches!(self.work, Work::Model { streamed: true })
    }

    fn end(&mut self, action: Action) {
        match &action {
            Action::Fail(error) if error.kind.response().execution.is_not_run() => {
                assert_eq!(self.reached, 0, "wrong \"not run\": {error}");
            }
            Action::Complete { .. } if self.is_streamed() => {
                let whole: Vec<_> = (0..PIECES).collect();
                assert_eq!(self.caller, whole, "gap or duplicate in a stream");
            }
            _ => {}
        }
        let prefix: Vec<_> = (0..self.caller.len() as u64).collect();
        assert!(!self.is_streamed() || self.caller == prefix);
        assert!(self.now <= DEADLINE, "ended at {}", self.now);
        self.terminal = Some(action);
    }
}

fn run(seed: u64, work: Work, is_healthy: bool) -> World {
    let mut world = World {
        rng: ChaCha8Rng::seed_from_u64(seed),
        now: Time::ZERO,
        events: BTreeMap::new(),
        next: 0,
        work: work.clone(),
        is_healthy,
        leases: 0,
        held: BTreeSet::new(),
        reached: 0,
        offset: None,
        kept: Vec::new(),
        caller: Vec::new(),
        is_claimed: false,
        finished: Vec::new(),
        opened: 0,
        settled: 0,
        terminal: None,
    };
    let ask = Request {
        account: name("mill"),
        id: name("r1"),
        work,
        deadline: DEADLINE,
        outlives_caller: world.rng.random_bool(0.5),
        prompt_tokens: 10,
        seed,
    };
    let limits = Limits {
        first_byte_timeout: Span::from_millis(2_000),
        idle_timeout: Span::from_millis(1_000),
        hedge_after: world.rng.random_bool(0.5).then(|| Span::from_millis(100)),
        ..Limits::default()
    };
    if world.chance(5) {
        world.after(3_000, Event::CallerDisconnected);
    }
    if world.chance(20) {
        world.after(3_000, Event::Stop);
    }
    let budget = Budget::default();
    let (mut machine, actions) = Machine::begin(ask, limits);
    for action in actions {
        world.act(action);
    }
    loop {
        let wake = (!machine.is_finished()).then(|| machine.next_tick());
        let due = world.events.first_key_value().map(|(key, _)| key.0);
        let event = match (due, wake) {
            (Some(due), wake) if wake.is_none_or(|wake| due <= wake) => {
                let ((at, _), event) = world.events.pop_first().unwrap();
                world.now = world.now.max(at);
                event
            }
            (_, Some(wake)) => {
                world.now = world.now.max(wake);
                Event::Tick
            }
            (_, None) => break,
        };
        world.offset = match &event {
            Event::Chunk { offset, .. } => *offset,
            _ => None,
        };
        if matches!(event, Event::Claimed(Ok(claim::Decision::Unknown))) {
            // An earlier request with the key may have run.
            world.reached += 1;
        }
        for action in machine.handle(event, world.now, &budget) {
            world.act(action);
        }
    }
    world
}

fn works() -> Vec<Work> {
    let call = |safety, lookup| Work::Call {
        service: name("booking"),
        safety,
        lookup,
    };
    vec![
        Work::Model { streamed: false },
        Work::Model { streamed: true },
        call(Safety::Repeatable, false),
        call(Safety::Claimed, false),
        call(Safety::Claimed, true),
        call(Safety::Once, false),
    ]
}

fn check(seed: u64, work: &Work, is_healthy: bool) {
    let world = run(seed, work.clone(), is_healthy);
    assert!(world.terminal.is_some(), "no end");
    assert!(world.held.is_empty(), "a slot was kept");
    assert_eq!(world.opened, world.settled, "bills");
    assert!(world.opened <= 1, "two bills");
    assert_eq!(
        world.finished.len(),
        usize::from(world.is_claimed),
        "ends of the claim: {:?}",
        world.finished
    );
    if is_healthy {
        assert!(matches!(world.terminal, Some(Action::Complete { .. })));
    }
}

/// Guards against a wrong "not run", a second run of a call that runs at most
/// once, a gap or duplicate in a stream, a second or missing bill, a slot or
/// claim that is never returned, and work after the deadline.
#[test]
fn schedules_with_faults_keep_the_invariants() {
    for work in works() {
        for seed in 0..SCHEDULES {
            let result = std::panic::catch_unwind(|| check(seed, &work, false));
            assert!(result.is_ok(), "{work:?}, seed {seed}");
        }
    }
}

/// Guards against schedules that don't reach what they are meant to check.
#[test]
fn schedules_reach_every_end() {
    let mut ends = BTreeSet::new();
    for work in works() {
        for seed in 0..SCHEDULES / 4 {
            let world = run(seed, work.clone(), false);
            let resumed = world.is_streamed() && world.reached > 1;
            ends.insert(match world.terminal {
                Some(Action::Fail(error)) => error.kind.response().code,
                Some(Action::Replay(_)) => "replay",
                Some(_) if resumed => "complete after a resumption",
                Some(_) => "complete",
                None => "none",
            });
        }
    }
    let expected = [
        "bad_request",
        "claim_unavailable",
        "complete",
        "complete after a resumption",
        "deadline",
        "deadline_before_run",
        "idempotency_key_reused",
        "in_progress",
        "no_upstream",
        "outcome_unknown",
        "overloaded",
        "replay",
        "stopping",
        "stream_broken",
        "upstream_failed",
    ];
    assert_eq!(ends.into_iter().collect::<Vec<_>>(), expected);
}

/// Guards against failures without a cause.
#[test]
fn schedules_without_faults_complete() {
    for work in works() {
        for seed in 0..SCHEDULES / 10 {
            let result = std::panic::catch_unwind(|| check(seed, &work, true));
            assert!(result.is_ok(), "{work:?}, seed {seed}");
        }
    }
}
