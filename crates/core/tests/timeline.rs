//! Tests of the time line.

use masticlock_core::{
    name,
    timeline::{Clock, EventKind, Log, MAX_CLOCK_SKEW_MS, Timestamp, merge},
};

fn log(text: &str, capacity: usize) -> Log {
    Log::new(name::Instance::try_from(text).unwrap(), capacity)
}

/// Guards against an effect that is listed before its cause because the wall
/// clock of the receiver is behind or is set back.
#[test]
fn effect_follows_cause() {
    for behind in [0, 1, 5_000, 59_000] {
        let (mut sender, mut receiver) = (log("a", 10), log("b", 10));
        let wall = 1_000_000;
        let cause = sender.record(EventKind::Started, wall);
        receiver.observe(cause, wall - behind);
        let effect = receiver.record(EventKind::Stopping, wall - behind);
        assert!(cause < effect, "behind by {behind} ms");
        let later = receiver.record(EventKind::CutOff, wall - behind - 500);
        assert!(effect < later);
        let all = merge([receiver.events_after(0), sender.events_after(0)]);
        assert_eq!(all[0].kind, EventKind::Started);
        assert_eq!(all.len(), 3);
    }
}

/// Guards against one peer with a broken clock that moves all stamps ahead.
#[test]
fn broken_clock_is_ignored() {
    let mut clock = Clock::default();
    let stamp = Timestamp {
        millis: 1_000 + MAX_CLOCK_SKEW_MS + 1,
        count: 0,
    };
    clock.observe(stamp, 1_000);
    assert_eq!(clock.tick(1_000).millis, 1_000);
}

/// Guards against events that are counted twice when a log is read twice, and
/// against a gap that can't be seen.
#[test]
fn log_is_bounded_and_gaps_show() {
    let mut log = log("a", 3);
    for wall in 0..5 {
        log.record(EventKind::Applied { revision: wall }, wall);
    }
    let events = log.events_after(0);
    assert_eq!(events.first().map(|e| e.sequence), Some(3));
    assert_eq!(log.events_after(4).len(), 1);
    assert_eq!(merge([events, log.events_after(3)]).len(), 3);
}
