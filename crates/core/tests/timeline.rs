//! Tests of the event timeline and its hybrid logical clock.

use masticlock_core::{
    name,
    timeline::{Clock, EventKind, Log, MAX_CLOCK_SKEW_MS, Timestamp, merge},
};

fn log(instance: &str, capacity: usize) -> Log {
    Log::new(name::Instance::try_from(instance).unwrap(), capacity)
}

/// Guards against an effect that is ordered before its cause because the receiver's
/// wall clock is behind the sender's or is set back.
#[test]
fn effects_follow_causes_despite_clock_skew() {
    for skew_ms in [0, 1, 5_000, 59_000] {
        let (mut sender, mut receiver) = (log("a", 10), log("b", 10));
        let wall_ms = 1_000_000;
        let cause = sender.record(EventKind::Started, wall_ms);
        receiver.observe(cause, wall_ms - skew_ms);
        let effect = receiver.record(EventKind::Stopping, wall_ms - skew_ms);
        assert!(cause < effect, "behind by {skew_ms} ms");
        let later = receiver.record(EventKind::CutOff, wall_ms - skew_ms - 500);
        assert!(effect < later);
        let merged = merge([receiver.events_after(0), sender.events_after(0)]);
        assert_eq!(merged[0].kind, EventKind::Started);
        assert_eq!(merged.len(), 3);
    }
}

/// Guards against one peer with a broken clock that moves all timestamps into the future.
#[test]
fn timestamps_too_far_ahead_are_ignored() {
    let mut clock = Clock::default();
    let stamp = Timestamp {
        millis: 1_000 + MAX_CLOCK_SKEW_MS + 1,
        count: 0,
    };
    clock.observe(stamp, 1_000);
    assert_eq!(clock.tick(1_000).millis, 1_000);
}

/// Guards against events that are listed twice when overlapping ranges of a log are
/// merged, and against evicted events that leave no gap in the sequence numbers.
#[test]
fn log_is_bounded_and_gaps_are_visible() {
    let mut log = log("a", 3);
    for wall_ms in 0..5 {
        log.record(EventKind::Applied { revision: wall_ms }, wall_ms);
    }
    let events = log.events_after(0);
    assert_eq!(events.first().map(|e| e.sequence), Some(3));
    assert_eq!(log.events_after(4).len(), 1);
    assert_eq!(merge([events, log.events_after(3)]).len(), 3);
}
