//! The line of waiting requests: order, refusals and bounds.

use std::sync::Arc;

use masticlock_core::{
    digest,
    time::{Span, Time},
    waiting::{CAPACITY, Line, OLDEST_EVERY, Request},
};
use proptest::prelude::*;

const START: Time = Time::from_millis(100_000);
const OBJECTIVE: Span = Span::from_millis(150);
const ACCOUNTS: u64 = 12;

fn account(number: u64) -> Arc<str> {
    format!("account-{number:02}").into()
}

fn request(id: u64, number: u64, rank: u8, now: Time) -> Request {
    Request {
        id,
        account: account(number),
        rank,
        work: 1,
        tokens: 0,
        is_restricted: false,
        may_yield: true,
        arrived_at: now,
        due_at: now + OBJECTIVE,
        latest: now + OBJECTIVE.times(2),
    }
}

/// Decides who waits and who goes in the replay.
trait Discipline {
    /// Adds a request and returns the IDs of those that are refused.
    fn push(&mut self, request: Request, now: Time) -> Vec<u64>;
    /// Removes the request that goes next.
    fn pop(&mut self, now: Time) -> Option<u64>;
    /// Removes the requests that are refused now.
    fn refuse(&mut self, now: Time) -> Vec<u64>;
}

impl Discipline for Line {
    fn push(&mut self, request: Request, now: Time) -> Vec<u64> {
        self.push(request, now)
    }

    fn pop(&mut self, now: Time) -> Option<u64> {
        self.begin_round();
        let id = self.next(now)?;
        self.depart(id, now);
        Some(id)
    }

    fn refuse(&mut self, now: Time) -> Vec<u64> {
        self.take_hopeless(now)
    }
}

/// The waiting requests without a line: all look again at once, in no order.
#[derive(Default)]
struct Crowd(Vec<Request>);

impl Discipline for Crowd {
    fn push(&mut self, request: Request, _: Time) -> Vec<u64> {
        self.0.push(request);
        Vec::new()
    }

    fn pop(&mut self, now: Time) -> Option<u64> {
        let draw = |r: &Request| digest::mix(r.id ^ now.as_millis() << 20);
        let at = (0..self.0.len()).min_by_key(|at| draw(&self.0[*at]))?;
        Some(self.0.remove(at).id)
    }

    fn refuse(&mut self, now: Time) -> Vec<u64> {
        let late: Vec<_> = self.0.iter().filter(|r| r.latest <= now).collect();
        let late = late.into_iter().map(|r| r.id).collect();
        self.0.retain(|r| r.latest > now);
        late
    }
}

/// Requests of a group in the replay.
#[derive(Clone, Copy, Debug, Default)]
struct Group {
    arrived: u64,
    in_time: u64,
    served: u64,
    refused: u64,
    /// Time that the refused ones have waited for nothing.
    wasted: Span,
}

/// Replays three seconds of a burst on 24 slots of 40 ms, half of which are gone: 640 requests per
/// second on room for 300. One of twelve accounts sends nine times its usual. Returns the groups of
/// the others by rank, and that of the hot account.
fn replay(line: &mut dyn Discipline) -> [Group; 4] {
    let mut groups = [Group::default(); 4];
    let mut requests: Vec<(Time, usize)> = Vec::new();
    let mut running: Vec<Time> = Vec::new();
    for millis in 0..3_000 {
        let now = START + Span::from_millis(millis);
        let mut refused = line.refuse(now);
        for number in 0..ACCOUNTS {
            let rate = if number == 0 { 288 } else { 32 };
            let draw = digest::mix(millis * ACCOUNTS + number);
            if draw % 1_000 >= rate {
                continue;
            }
            let rank = [0, 1, 1, 2, 2][usize::try_from(draw / 1_000 % 5).unwrap()];
            let group = if number == 0 { 3 } else { usize::from(rank) };
            groups[group].arrived += 1;
            let id = requests.len() as u64;
            requests.push((now, group));
            refused.extend(line.push(request(id, number, rank, now), now));
        }
        let of = |id: u64| requests[usize::try_from(id).unwrap()];
        for id in refused {
            let (arrived_at, group) = of(id);
            groups[group].refused += 1;
            groups[group].wasted = groups[group].wasted.plus(now.since(arrived_at));
        }
        running.retain(|end| *end > now);
        while running.len() < 12
            && let Some(id) = line.pop(now)
        {
            let (arrived_at, group) = of(id);
            running.push(now + Span::from_millis(40));
            groups[group].served += 1;
            groups[group].in_time += u64::from(now.since(arrived_at) <= OBJECTIVE);
        }
    }
    groups
}

/// Guards against urgent requests, and those of accounts that send no more than usual, which are late
/// because others came at the same time; against refusals after the whole wait; and against requests
/// of the last rank of which none is served.
#[test]
fn the_urgent_and_the_usual_are_served_in_a_burst_on_half_of_the_upstreams() {
    let is_fair = |[urgent, usual, last, _]: [Group; 4]| {
        let refused = urgent.refused + usual.refused + last.refused;
        let wasted = [urgent, usual, last].map(|g| g.wasted.as_millis());
        urgent.in_time * 100 >= urgent.arrived * 95
            && usual.in_time * 100 >= usual.arrived * 85
            && last.served > 0
            && wasted.iter().sum::<u64>() <= refused * OBJECTIVE.as_millis()
    };
    let groups = replay(&mut Line::default());
    assert!(is_fair(groups), "{groups:?}");
    let old = replay(&mut Crowd::default());
    assert!(!is_fair(old), "{old:?}");
}

/// Guards against callers who are sent back and return together, or before the line has been served.
#[test]
fn callers_who_are_sent_back_return_one_after_the_other() {
    let mut line = Line::default();
    assert_eq!(line.turn(START), None, "no departures yet");
    for id in 0..100 {
        line.push(request(id, id, 0, START), START);
    }
    let mut now = START;
    for id in 0..20 {
        now += Span::from_millis(10);
        line.depart(id, now);
    }
    let waiting = line.len() as u64;
    let turns: Vec<_> = (0..5).map(|_| line.turn(now).unwrap()).collect();
    assert!(turns[0].as_millis() >= waiting * 9, "{turns:?}");
    let gaps = turns.windows(2).map(|t| t[1].minus(t[0]).as_millis());
    assert!(gaps.into_iter().all(|gap| gap >= 9), "{turns:?}");
}

/// One request doesn't fit, because its upstreams are excluded or its prompt is long: those that fit
/// must not wait behind it, and those that need as much aren't tried in vain.
#[test]
fn a_request_without_room_does_not_block_smaller_ones() {
    let mut line = Line::default();
    for (id, tokens) in [50, 60, 70, 10].into_iter().enumerate() {
        let request = Request {
            tokens,
            ..request(id as u64, 1, 0, START)
        };
        line.push(request, START);
    }
    for expected in [0, 1, 3] {
        assert_eq!(line.next(START), Some(expected));
        line.pass_over(expected);
    }
    assert_eq!(
        line.next(START),
        None,
        "the third needs more than the first two"
    );
    line.begin_round();
    assert_eq!(line.next(START), Some(0));
}

/// A step of a line's life: account and rank of an arrival, a departure, or the end of a wait.
#[derive(Clone, Debug)]
enum Step {
    Arrive(u64, u8),
    Depart,
    Leave(usize),
    Pause(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (0..5_u64, 0..3_u8).prop_map(|(number, rank)| Step::Arrive(number, rank)),
        2 => Just(Step::Depart),
        1 => (0..CAPACITY).prop_map(Step::Leave),
        1 => (1..100_u64).prop_map(Step::Pause),
    ];
    prop::collection::vec(step, 1..900)
}

proptest! {
    /// Guards against a line without bound, and against requests that are lost or leave it twice.
    #[test]
    fn each_request_leaves_a_bounded_line_once(steps in steps()) {
        let mut line = Line::default();
        let mut now = START;
        let mut waiting: Vec<u64> = Vec::new();
        for (id, step) in steps.into_iter().enumerate() {
            let mut gone = Vec::new();
            match step {
                Step::Arrive(number, rank) => {
                    waiting.push(id as u64);
                    gone = line.push(request(id as u64, number, rank, now), now);
                }
                Step::Depart => {
                    line.begin_round();
                    let next = line.next(now);
                    prop_assert_eq!(next.is_some(), !waiting.is_empty());
                    prop_assert!(next.is_none_or(|id| line.is_first(id, now)));
                    if let Some(id) = next {
                        line.depart(id, now);
                    }
                    gone.extend(next);
                }
                Step::Leave(at) => {
                    if let Some(id) = waiting.get(at).copied() {
                        prop_assert!(line.remove(id, now));
                        gone.push(id);
                    }
                }
                Step::Pause(millis) => {
                    now += Span::from_millis(millis);
                    gone = line.take_hopeless(now);
                }
            }
            for id in gone {
                let at = waiting.iter().position(|w| *w == id);
                prop_assert!(at.is_some(), "{id} leaves twice");
                waiting.remove(at.unwrap());
            }
            prop_assert_eq!(line.len(), waiting.len());
            prop_assert!(line.len() <= CAPACITY);
        }
    }

    /// Guards against a request that never goes while more urgent ones of other accounts keep coming.
    #[test]
    fn none_starves(ahead in 0..40_u64, rank in 0..3_u8) {
        let mut line = Line::default();
        let patient = |request: Request| Request { latest: START + Span::from_secs(3_600), ..request };
        for id in 0..ahead {
            line.push(patient(request(id, id, 0, START)), START);
        }
        let victim = 1_000;
        line.push(patient(request(victim, 0, rank, START)), START);
        let limit = (ahead + 1) * u64::from(OLDEST_EVERY);
        let mut departures = 0;
        loop {
            let now = START + Span::from_millis(departures + 1);
            line.push(patient(request(2_000 + departures, departures % 7, 0, now)), now);
            line.begin_round();
            let id = line.next(now).unwrap();
            line.depart(id, now);
            departures += 1;
            if id == victim {
                break;
            }
            prop_assert!(departures < limit, "{departures} departures");
        }
    }
}

/// During a rollout the upstreams of one version may be full while those of another have room. Guards
/// against requests of the first one that end the round for all others.
#[test]
fn restricted_requests_without_room_do_not_end_the_round() {
    let mut line = Line::default();
    for id in 0..5 {
        let request = Request {
            is_restricted: true,
            ..request(id, 1, 0, START)
        };
        line.push(request, START);
    }
    for id in 0..5 {
        assert_eq!(line.next(START), Some(id));
        line.pass_over(id);
    }
}

/// Thousands are sent back in an overload. Guards against times to return that keep growing and then
/// hold for the callers of a later overload too.
#[test]
fn times_to_return_are_bounded() {
    let mut line = Line::default();
    for id in 0..100 {
        line.push(request(id, id, 0, START), START);
    }
    let mut now = START;
    for id in 0..20 {
        now += Span::from_millis(100);
        line.depart(id, now);
    }
    let turns: Vec<_> = (0..2_000).map(|_| line.turn(now).unwrap()).collect();
    let last = turns[turns.len() - 1];
    assert!(last <= Span::from_secs(8 + 12), "{last:?}");
    for id in 20..95 {
        now += Span::from_millis(100);
        line.depart(id, now);
    }
    let later = line.turn(now).unwrap();
    assert!(later <= Span::from_secs(8 + 1), "{later:?}");
}
