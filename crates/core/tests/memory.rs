//! Room for bodies: who waits, who is ended and who is refused.

use masticlock_core::{
    memory::{Decision, Ledger, SMALL_BYTES, max_connections},
    time::Time,
};

const MIB: u64 = 1_024 * 1_024;

/// 40 MiB of room: 20 for large bodies, 30 for all bodies.
const MEMORY: u64 = 100 * MIB;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// Opens a body of unknown size that gets `bytes` at once.
fn fill(ledger: &mut Ledger, source: &str, bytes: u64, now: u64) -> u64 {
    let id = ledger.open(source.into(), None, at(now));
    assert_eq!(ledger.grow(id, bytes, at(now)), Decision::Granted);
    id
}

/// Guards against a request that is refused in calm: it may use all the room for large bodies.
#[test]
fn one_body_of_a_source_may_use_all_the_room() {
    let mut ledger = Ledger::new(Some(MEMORY));
    let id = fill(&mut ledger, "a", 19 * MIB, 0);
    ledger.complete(id);
    ledger.close(id);
    assert_eq!(ledger.held(), 0);
}

/// Guards against a source whose bodies leave no room for those of others.
#[test]
fn a_source_holds_at_most_its_share() {
    let mut ledger = Ledger::new(Some(MEMORY));
    fill(&mut ledger, "a", 9 * MIB, 0);
    let second = ledger.open("a".into(), None, at(0));
    assert_eq!(ledger.grow(second, 2 * MIB, at(0)), Decision::Wait(None));
    fill(&mut ledger, "b", 9 * MIB, 0);
}

/// Guards against unfinished bodies that keep the room: the largest one that has stalled is ended,
/// for a body of its own source too.
#[test]
fn the_largest_stalled_body_is_ended() {
    let mut ledger = Ledger::new(Some(MEMORY));
    fill(&mut ledger, "a", 3 * MIB, 0);
    let largest = fill(&mut ledger, "a", 6 * MIB, 0);
    let complete = fill(&mut ledger, "b", 7 * MIB, 0);
    ledger.complete(complete);
    let more = ledger.open("c".into(), None, at(400));
    assert_eq!(ledger.grow(more, 8 * MIB, at(400)), Decision::Wait(None));
    assert_eq!(
        ledger.grow(more, 8 * MIB, at(500)),
        Decision::Wait(Some(largest))
    );
    // Nothing else is ended until that body has been released.
    assert_eq!(ledger.grow(more, 8 * MIB, at(510)), Decision::Wait(None));
    assert_eq!(ledger.grow(largest, 7 * MIB, at(510)), Decision::Refused);
    ledger.close(largest);
    assert_eq!(ledger.grow(more, 8 * MIB, at(520)), Decision::Granted);
}

/// Guards against a body that keeps the room by a byte now and then.
#[test]
fn a_slow_body_is_ended_in_the_end() {
    let mut ledger = Ledger::new(Some(MEMORY));
    let slow = fill(&mut ledger, "a", 15 * MIB, 0);
    ledger.progress(slow, at(1_990));
    let more = ledger.open("b".into(), None, at(1_995));
    assert_eq!(ledger.grow(more, 8 * MIB, at(1_995)), Decision::Wait(None));
    assert_eq!(
        ledger.grow(more, 8 * MIB, at(2_000)),
        Decision::Wait(Some(slow))
    );
}

/// Guards against bodies that wait for each other: each is given up after a second, and only some
/// wait at a time.
#[test]
fn waiting_has_an_end() {
    let mut ledger = Ledger::new(Some(MEMORY));
    let complete = fill(&mut ledger, "a", 20 * MIB, 0);
    ledger.complete(complete);
    let mut waiting = Vec::new();
    let refused = loop {
        let id = ledger.open("b".into(), None, at(0));
        match ledger.grow(id, MIB, at(0)) {
            Decision::Wait(None) => waiting.push(id),
            other => break other,
        }
    };
    assert_eq!(refused, Decision::Refused);
    assert_eq!(waiting.len(), 32);
    assert_eq!(ledger.grow(waiting[0], MIB, at(999)), Decision::Wait(None));
    assert_eq!(ledger.grow(waiting[0], MIB, at(1_000)), Decision::Refused);
}

/// Guards against large bodies that leave no room for small ones, and bodies that leave none for
/// responses.
#[test]
fn small_bodies_and_responses_have_room_of_their_own() {
    let mut ledger = Ledger::new(Some(MEMORY));
    fill(&mut ledger, "a", 10 * MIB, 0);
    fill(&mut ledger, "b", 10 * MIB, 0);
    let mut small = 0;
    loop {
        let id = ledger.open("a".into(), Some(SMALL_BYTES), at(0));
        if ledger.grow(id, SMALL_BYTES, at(0)) != Decision::Granted {
            break;
        }
        small += 1;
    }
    assert!(small * SMALL_BYTES >= 9 * MIB, "{small}");
    assert!(ledger.hold_response(9 * MIB));
    assert!(!ledger.hold_response(2 * MIB));
    ledger.release_response(9 * MIB);
    assert!(ledger.hold_response(2 * MIB));
}

/// Guards against connections without end, and against none at all.
#[test]
fn connections_follow_descriptors_and_memory() {
    assert_eq!(max_connections(None, Some(400)), 200);
    assert_eq!(max_connections(Some(32 * MIB), Some(3_900)), 307);
    assert_eq!(max_connections(Some(MEMORY), Some(1)), 1);
}

/// The room for large bodies is taken by complete ones. Guards against small bodies of slow callers that
/// are ended for a large one, to which they leave no room.
#[test]
fn no_small_body_is_ended_for_a_large_one_that_gains_nothing() {
    let mut ledger = Ledger::new(Some(MEMORY));
    for source in ["a", "b"] {
        let id = fill(&mut ledger, source, 10 * MIB, 0);
        ledger.complete(id);
    }
    let small = ledger.open("c".into(), Some(SMALL_BYTES), at(0));
    assert_eq!(ledger.grow(small, SMALL_BYTES, at(0)), Decision::Granted);
    let large = ledger.open("d".into(), None, at(3_000));
    assert_eq!(ledger.grow(large, MIB, at(3_000)), Decision::Wait(None));
}
