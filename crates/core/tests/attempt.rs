//! Simulation tests of the request state machine in virtual time.
//!
//! A seeded schedule answers each action after a random time with a random
//! outcome, including failures and late events, and checks the invariants at
//! each step.

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
/// Chunks of a complete stream.
const CHUNKS: u64 = 5;

/// How an upstream responds to an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Behavior {
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

const BEHAVIORS: [Behavior; 16] = [
    Behavior::NotSent,
    Behavior::Refused,
    Behavior::Rejected,
    Behavior::Closed,
    Behavior::Withdrawn,
    Behavior::SlotLost,
    Behavior::BrokenBeforeHead,
    Behavior::Silent,
    Behavior::SilentAfterHead,
    Behavior::BrokenAfter(1),
    Behavior::BrokenAfter(3),
    Behavior::GapAfter(2),
    Behavior::Answers,
    Behavior::Answers,
    Behavior::Answers,
    Behavior::Answers,
];

/// The simulated environment of one request and what it observed.
struct Simulation {
    rng: ChaCha8Rng,
    now: Time,
    events: BTreeMap<(Time, u64), Event>,
    /// Sequence number that orders events of the same time.
    next_event: u64,
    work: Work,
    /// Whether there are no faults, so that the request must succeed.
    is_healthy: bool,
    next_lease: u64,
    held_leases: BTreeSet<u64>,
    /// Number of times that the work may have run, earlier requests with the key included.
    possible_runs: u32,
    /// Chunk offset of the current event.
    event_offset: Option<u64>,
    buffered: Vec<u64>,
    delivered: Vec<u64>,
    is_claimed: bool,
    claim_outcomes: Vec<&'static str>,
    bills_opened: u32,
    bills_settled: u32,
    terminal_action: Option<Action>,
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

impl Simulation {
    /// Returns `true` once in `one_in` calls on average, and never without faults.
    fn chance(&mut self, one_in: u64) -> bool {
        !self.is_healthy && self.rng.random_range(0..one_in) == 0
    }

    fn schedule_within(&mut self, max_ms: u64, event: Event) {
        let at = self.now + Span::from_millis(self.rng.random_range(0..=max_ms));
        self.schedule_at(at, event);
    }

    fn schedule_at(&mut self, at: Time, event: Event) {
        self.next_event += 1;
        self.events.insert((at, self.next_event), event);
    }

    fn apply(&mut self, action: Action) {
        if self.terminal_action.is_some() {
            let is_cleanup = matches!(
                action,
                Action::Release { .. } | Action::FinishClaim(_) | Action::SettleBill(_)
            );
            assert!(is_cleanup, "action after the end: {action:?}");
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
                assert!(self.held_leases.remove(&lease.id), "slot returned twice");
            }
            Action::Claim => self.claim(),
            Action::Send { attempt, after, .. } => self.send(attempt, after),
            Action::Cancel { .. } | Action::Observe { .. } => {}
            Action::Buffer => self.buffered.extend(self.event_offset),
            Action::DiscardBuffer => self.buffered.clear(),
            Action::Flush => self.delivered.append(&mut self.buffered),
            Action::OpenBill(_) => {
                self.bills_opened += 1;
                self.schedule_within(300, Event::BillOpened);
            }
            Action::Lookup => {
                let found = self.possible_runs > 0 && self.rng.random_bool(0.5);
                self.schedule_within(500, Event::LookedUp(found));
            }
            Action::FinishClaimAnswered => self.claim_outcomes.push("answered"),
            Action::FinishClaim(outcome) => self.finish_claim(&outcome),
            Action::SettleBill(_) => self.bills_settled += 1,
            Action::Complete { .. } | Action::Replay(_) | Action::Fail(_) => self.finish(action),
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
        self.schedule_within(0, Event::Planned(plan));
    }

    fn slot(&mut self, attempt: u32) {
        let result = if self.chance(10) {
            Err(overloaded())
        } else {
            self.next_lease += 1;
            self.held_leases.insert(self.next_lease);
            Ok(slot::Lease {
                id: self.next_lease,
                owner: name("i1"),
                upstream: name(&format!("u{}", self.next_lease)),
                incarnation: 1,
                address: String::new(),
                far: None,
            })
        };
        let wait = if self.chance(10) { 11_000 } else { 50 };
        self.schedule_within(wait, Event::Slot { attempt, result });
    }

    fn claim(&mut self) {
        let draw = if self.is_healthy {
            9
        } else {
            self.rng.random_range(0..10)
        };
        let result = match draw {
            0 => Err(error::Error::new(
                error::Kind::ClaimUnavailable,
                "no leader",
            )),
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
        self.schedule_within(wait, Event::Claimed(result));
    }

    fn finish_claim(&mut self, outcome: &claim::Outcome) {
        match outcome {
            claim::Outcome::NotSent => {
                assert_eq!(
                    self.possible_runs, 0,
                    "a claim was freed after the call was sent"
                );
                self.claim_outcomes.push("not sent");
            }
            claim::Outcome::Unknown => self.claim_outcomes.push("unknown"),
            claim::Outcome::Answered(_) => self.claim_outcomes.push("answered"),
        }
    }

    fn send(&mut self, attempt: u32, after: Option<u64>) {
        assert!(self.now < DEADLINE, "sent after the deadline");
        let behavior = if self.is_healthy {
            Behavior::Answers
        } else {
            BEHAVIORS[self.rng.random_range(0..BEHAVIORS.len())]
        };
        let is_once = !matches!(
            self.work,
            Work::Model { .. }
                | Work::Call {
                    safety: Safety::Repeatable,
                    ..
                }
        );
        assert!(!is_once || self.possible_runs == 0, "a call was sent twice");
        let fault = match behavior {
            Behavior::NotSent => Some(Fault::NotSent),
            Behavior::Closed => Some(Fault::Closed),
            Behavior::Withdrawn if matches!(self.work, Work::Model { .. }) => {
                Some(Fault::Withdrawn)
            }
            Behavior::Refused if !is_once => Some(Fault::Refused),
            Behavior::Rejected if !is_once => Some(Fault::Rejected("bad".to_owned())),
            _ => None,
        };
        if let Some(fault) = fault {
            return self.schedule_within(100, Event::Failed { attempt, fault });
        }
        self.possible_runs += 1;
        match behavior {
            Behavior::BrokenBeforeHead | Behavior::SlotLost => {
                let fault = if behavior == Behavior::SlotLost {
                    Fault::SlotLost
                } else {
                    Fault::Broken
                };
                self.schedule_within(500, Event::Failed { attempt, fault });
            }
            // Later than every timeout.
            Behavior::Silent => self.schedule_answer(attempt, after, 9_000, behavior),
            _ => self.schedule_answer(attempt, after, 200, behavior),
        }
    }

    /// Schedules the head and body of an answer.
    fn schedule_answer(
        &mut self,
        attempt: u32,
        after: Option<u64>,
        first_ms: u64,
        behavior: Behavior,
    ) {
        let mut at = self.now + Span::from_millis(first_ms);
        self.schedule_at(at, Event::Head { attempt });
        if behavior == Behavior::SilentAfterHead {
            at += Span::from_millis(8_000);
        }
        let start = after.map_or(0, |offset| offset + 1);
        // An upstream may repeat the last chunk that was received.
        let start = start.saturating_sub(u64::from(self.chance(4)));
        for chunk in start..CHUNKS {
            at += Span::from_millis(20);
            match behavior {
                Behavior::BrokenAfter(n) if chunk >= start + n => {
                    let fault = Fault::Broken;
                    return self.schedule_at(at, Event::Failed { attempt, fault });
                }
                Behavior::GapAfter(n) if chunk == start + n => {}
                _ if self.is_streamed() => self.schedule_at(
                    at,
                    Event::Chunk {
                        attempt,
                        offset: Some(chunk),
                        usage: (chunk + 1 == CHUNKS).then(Usage::default),
                    },
                ),
                _ => self.schedule_at(at, Event::Progress { attempt }),
            }
        }
        let certainty = Some(if self.rng.random_bool(0.5) { 0.9 } else { 0.1 });
        let answered = Event::Answered {
            attempt,
            usage: (!self.is_streamed()).then(Usage::default),
            certainty,
        };
        self.schedule_at(at, answered);
    }

    fn is_streamed(&self) -> bool {
        matches!(self.work, Work::Model { streamed: true })
    }

    fn finish(&mut self, action: Action) {
        match &action {
            Action::Fail(error) if error.kind.response().execution.is_not_run() => {
                assert_eq!(self.possible_runs, 0, "wrong \"not run\": {error}");
            }
            Action::Complete { .. } if self.is_streamed() => {
                let expected: Vec<_> = (0..CHUNKS).collect();
                assert_eq!(self.delivered, expected, "gap or duplicate in a stream");
            }
            _ => {}
        }
        let prefix: Vec<_> = (0..self.delivered.len() as u64).collect();
        assert!(!self.is_streamed() || self.delivered == prefix);
        assert!(self.now <= DEADLINE, "ended at {}", self.now);
        self.terminal_action = Some(action);
    }
}

fn run(seed: u64, work: Work, is_healthy: bool) -> Simulation {
    let mut sim = Simulation {
        rng: ChaCha8Rng::seed_from_u64(seed),
        now: Time::ZERO,
        events: BTreeMap::new(),
        next_event: 0,
        work: work.clone(),
        is_healthy,
        next_lease: 0,
        held_leases: BTreeSet::new(),
        possible_runs: 0,
        event_offset: None,
        buffered: Vec::new(),
        delivered: Vec::new(),
        is_claimed: false,
        claim_outcomes: Vec::new(),
        bills_opened: 0,
        bills_settled: 0,
        terminal_action: None,
    };
    let request = Request {
        account: name("mill"),
        id: name("r1"),
        work,
        deadline: DEADLINE,
        outlives_caller: sim.rng.random_bool(0.5),
        prompt_tokens: 10,
        seed,
    };
    let limits = Limits {
        first_byte_timeout: Span::from_millis(2_000),
        idle_timeout: Span::from_millis(1_000),
        hedge_after: sim.rng.random_bool(0.5).then(|| Span::from_millis(100)),
        ..Limits::default()
    };
    if sim.chance(5) {
        sim.schedule_within(3_000, Event::CallerDisconnected);
    }
    if sim.chance(20) {
        sim.schedule_within(3_000, Event::Stop);
    }
    let budget = Budget::default();
    let (mut machine, actions) = Machine::begin(request, limits);
    for action in actions {
        sim.apply(action);
    }
    loop {
        let next_tick = (!machine.is_finished()).then(|| machine.next_tick());
        let due = sim.events.first_key_value().map(|(key, _)| key.0);
        let event = match (due, next_tick) {
            (Some(due), next_tick) if next_tick.is_none_or(|next_tick| due <= next_tick) => {
                let ((at, _), event) = sim.events.pop_first().unwrap();
                sim.now = sim.now.max(at);
                event
            }
            (_, Some(next_tick)) => {
                sim.now = sim.now.max(next_tick);
                Event::Tick
            }
            (_, None) => break,
        };
        sim.event_offset = match &event {
            Event::Chunk { offset, .. } => *offset,
            _ => None,
        };
        if matches!(event, Event::Claimed(Ok(claim::Decision::Unknown))) {
            // An earlier request with the key may have run.
            sim.possible_runs += 1;
        }
        for action in machine.handle(event, sim.now, &budget) {
            sim.apply(action);
        }
    }
    sim
}

fn all_work() -> Vec<Work> {
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
    let sim = run(seed, work.clone(), is_healthy);
    assert!(sim.terminal_action.is_some(), "the request did not end");
    assert!(sim.held_leases.is_empty(), "a slot was not released");
    assert_eq!(
        sim.bills_opened, sim.bills_settled,
        "opened and settled bills differ"
    );
    assert!(sim.bills_opened <= 1, "two bills were opened");
    assert_eq!(
        sim.claim_outcomes.len(),
        usize::from(sim.is_claimed),
        "outcomes of the claim: {:?}",
        sim.claim_outcomes
    );
    if is_healthy {
        assert!(matches!(sim.terminal_action, Some(Action::Complete { .. })));
    }
}

/// Guards against a false "not run", a second run of an at-most-once call, a gap
/// or duplicate in a stream, a second or missing bill, a slot or claim that is
/// never released, and work after the deadline.
#[test]
fn schedules_with_faults_keep_the_invariants() {
    for work in all_work() {
        for seed in 0..SCHEDULES {
            let result = std::panic::catch_unwind(|| check(seed, &work, false));
            assert!(result.is_ok(), "{work:?}, seed {seed}");
        }
    }
}

/// Guards against schedules that don't produce every outcome they are meant to check.
#[test]
fn schedules_cover_every_outcome() {
    let mut outcomes = BTreeSet::new();
    for work in all_work() {
        for seed in 0..SCHEDULES / 4 {
            let sim = run(seed, work.clone(), false);
            let resumed = sim.is_streamed() && sim.possible_runs > 1;
            outcomes.insert(match sim.terminal_action {
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
    assert_eq!(outcomes.into_iter().collect::<Vec<_>>(), expected);
}

/// Guards against requests that fail although there is no fault.
#[test]
fn schedules_without_faults_complete() {
    for work in all_work() {
        for seed in 0..SCHEDULES / 10 {
            let result = std::panic::catch_unwind(|| check(seed, &work, true));
            assert!(result.is_ok(), "{work:?}, seed {seed}");
        }
    }
}
