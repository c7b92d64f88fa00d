//! Model cascade where urgent short requests and less urgent long ones compete for slots.

use std::{collections::VecDeque, sync::Arc};

use masticlock_core::{
    cascade::{self, Answer, Contention, Pressure, Work},
    digest,
    time::{Span, Time},
};
use proptest::prelude::*;

const LARGEST: usize = 2;

/// Start of the burst in the replay, in milliseconds.
const BURST_AT: u64 = 3_000;

/// A kind of request in the replay of a burst.
struct Kind {
    rank: f64,
    objective: Span,
    per_second: u64,
    /// Weighted tokens of a run of the largest model.
    work: u64,
    /// Time for which a run of the largest model holds a slot; one of the smallest takes a tenth.
    holds: Span,
}

const KINDS: [Kind; 3] = [
    Kind {
        rank: 0.0,
        objective: Span::from_millis(1_000),
        per_second: 10,
        work: 3_700,
        holds: Span::from_millis(3_800),
    },
    Kind {
        rank: 0.5,
        objective: Span::from_millis(1_000),
        per_second: 23,
        work: 2_600,
        holds: Span::from_millis(400),
    },
    Kind {
        rank: 1.0,
        objective: Span::from_millis(3_000),
        per_second: 12,
        work: 15_800,
        holds: Span::from_millis(5_300),
    },
];

/// A run that waits for a slot.
#[derive(Clone, Copy)]
struct Run {
    kind: usize,
    arrived_at: Time,
    confidence: u8,
    is_large: bool,
}

/// What became of the requests of a kind that arrived in the burst.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    arrived: u32,
    /// Answers within the objective that are confident or come from the largest model.
    good: u32,
}

/// Replays eight seconds of load, the last five of them a burst to 1.7 times the usual, on 72 slots.
fn replay(is_weighed: bool) -> [Outcome; 3] {
    let service: Arc<str> = "engines".into();
    let (mut pressure, mut work) = (Pressure::default(), Work::default());
    let mut outcomes = [Outcome::default(); 3];
    let mut waiting: VecDeque<Run> = VecDeque::new();
    let mut running: Vec<(Time, Run)> = Vec::new();
    for millis in 0..8_000_u64 {
        let now = Time::from_millis(100_000 + millis);
        let is_burst = millis >= BURST_AT;
        for (at, kind) in KINDS.iter().enumerate() {
            let permille = kind.per_second * if is_burst { 17 } else { 10 } / 10;
            if digest::mix(millis * 3 + at as u64) % 1_000 < permille {
                outcomes[at].arrived += u32::from(is_burst);
                waiting.push_back(Run {
                    kind: at,
                    arrived_at: now,
                    confidence: u8::try_from(digest::mix(millis + 77) % 100).unwrap(),
                    is_large: false,
                });
            }
        }
        running.retain(|(end, _)| *end > now);
        while running.len() < 72
            && let Some(run) = waiting.pop_front()
        {
            let kind = &KINDS[run.kind];
            let wait = now.since(run.arrived_at);
            pressure.observe(&service, wait, kind.objective, now);
            let is_good = (run.is_large || run.confidence >= 50) && wait <= kind.objective;
            if is_good && run.arrived_at >= Time::from_millis(100_000 + BURST_AT) {
                outcomes[run.kind].good += 1;
            }
            let holds = kind.holds.as_millis() / if run.is_large { 1 } else { 10 };
            running.push((now + Span::from_millis(holds), run));
            if run.is_large {
                continue;
            }
            let relative_work = work.observe(&service, kind.work, now);
            #[expect(clippy::cast_precision_loss)]
            let utilization = (running.len() + waiting.len()) as f64 / 72.0;
            let answer = Answer {
                confidence: Some(run.confidence),
                level: 0,
                models: LARGEST + 1,
                pressure: pressure.of(&service, now),
                contention: is_weighed.then_some(Contention {
                    utilization,
                    rank: kind.rank,
                    work: relative_work,
                }),
            };
            if cascade::escalation(&answer).is_some() {
                waiting.push_back(Run {
                    is_large: true,
                    ..run
                });
                running.pop();
            }
        }
    }
    outcomes
}

/// The load pattern: a burst while half of the upstreams are gone. Runs of the largest model for long
/// prompts of the last rank fill the slots for seconds; then urgent short requests are late, and
/// their poor answers are kept.
#[test]
fn long_prompts_of_the_last_rank_yield_in_a_burst() {
    let is_served = |[urgent, ..]: [Outcome; 3]| urgent.good * 100 >= urgent.arrived * 85;
    let weighed = replay(true);
    assert!(is_served(weighed), "{weighed:?}");
    let old = replay(false);
    assert!(!is_served(old), "{old:?}");
}

fn answer(confidence: u8, pressure: f64, contention: Option<Contention>) -> Answer {
    Answer {
        confidence: Some(confidence),
        level: 0,
        models: LARGEST + 1,
        pressure,
        contention,
    }
}

proptest! {
    /// Guards against other decisions than those of a service without ranks while there is room.
    #[test]
    fn under_low_load_rank_and_work_change_nothing(
        confidence in 0..=100_u8,
        pressure in 0.0..0.1,
        utilization in 0.0..0.5,
        rank in 0.0..=1.0,
        work in 0.0..50.0,
    ) {
        let contention = Some(Contention { utilization, rank, work });
        let old = cascade::escalation(&answer(confidence, pressure, None));
        prop_assert_eq!(cascade::escalation(&answer(confidence, pressure, contention)), old);
        let mean = f64::from(confidence);
        let only = cascade::only_level(mean, 3, pressure, contention);
        prop_assert_eq!(only, cascade::only_level(mean, 3, pressure, None));
    }

    /// Guards against a larger model for a request while one that is more urgent, takes less and
    /// finds more room is denied it, and for any without room.
    #[test]
    fn a_request_yields_before_those_that_are_more_urgent_or_take_less(
        confidence in 0..=100_u8,
        pressure in 0.0..0.6,
        more_pressure in 0.0..0.6,
        utilization in 0.0..1.2,
        more_utilization in 0.0..1.2,
        rank in 0.0..=1.0,
        more_rank in 0.0..=1.0_f64,
        work in 0.0..50.0,
        more_work in 0.0..50.0,
    ) {
        let first = Contention { utilization, rank, work };
        let last = Contention {
            utilization: utilization + more_utilization,
            rank: f64::min(rank + more_rank, 1.0),
            work: work + more_work,
        };
        let of_first = cascade::escalation(&answer(confidence, pressure, Some(first)));
        let pressure = pressure + more_pressure;
        let of_last = cascade::escalation(&answer(confidence, pressure, Some(last)));
        prop_assert!(of_last.is_none() || of_first.is_some());
        prop_assert!(of_last.is_none() || (last.utilization < 1.0 && pressure < 0.4));
    }
}
