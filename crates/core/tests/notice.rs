//! What upstreams say of themselves in their answers.

use std::sync::Arc;

use masticlock_core::{
    notice::Store,
    time::{Span, Time},
};

const NOW: Time = Time::from_millis(100_000);

fn name() -> Arc<str> {
    Arc::from("u")
}

#[test]
fn a_word_holds_for_one_incarnation() {
    let mut store = Store::default();
    assert!(store.mark_leaving(&name(), 5, NOW));
    assert!(!store.mark_leaving(&name(), 5, NOW), "no news");
    assert!(store.is_leaving("u", 5));
    assert!(!store.is_leaving("u", 6) && !store.is_leaving("u", 4));
    assert!(store.mark_leaving(&name(), 6, NOW));
    assert!(
        !store.mark_leaving(&name(), 5, NOW),
        "an answer that came late"
    );
    assert!(store.is_leaving("u", 6));
    store.back_off(&name(), 6, Span::from_secs(1), NOW);
    store.mark_listed(&name(), 7, NOW);
    assert!(!store.is_leaving("u", 6));
    assert_eq!(store.backoff("u", 7, NOW), None);
}

/// The listing of an upstream that has ended may come back with the end of a partition.
#[test]
fn a_departure_is_remembered_while_the_upstream_is_listed_and_long_after() {
    let mut store = Store::default();
    store.mark_leaving(&name(), 5, NOW);
    let later = NOW + Span::from_secs(500);
    store.mark_listed(&name(), 5, later);
    store.expire(later + Span::from_secs(500));
    assert!(store.is_leaving("u", 5));
    store.expire(later + Span::from_secs(700));
    assert!(!store.is_leaving("u", 5));
}

#[test]
fn departures_are_reported_until_control_must_know_them() {
    let mut store = Store::default();
    store.mark_leaving(&name(), 5, NOW);
    store.back_off(&Arc::from("v"), 1, Span::from_secs(1), NOW);
    let reported = |after: u64| {
        let departures = store.departures(NOW + Span::from_secs(after));
        departures
            .into_iter()
            .map(|d| (d.upstream, d.incarnation))
            .collect::<Vec<_>>()
    };
    assert_eq!(reported(0), [(name(), 5)]);
    assert_eq!(reported(9), [(name(), 5)]);
    assert_eq!(reported(11), []);
}

/// Several refusals with different times: each holds, so that the longest decides.
#[test]
fn a_later_request_for_quiet_never_shortens_an_earlier_one() {
    let mut store = Store::default();
    let secs = Span::from_secs;
    store.back_off(&name(), 5, secs(3), NOW);
    store.back_off(&name(), 5, secs(1), NOW + secs(1));
    assert_eq!(store.backoff("u", 5, NOW + secs(1)), Some(secs(2)));
    store.back_off(&name(), 5, secs(3), NOW + secs(1));
    assert_eq!(store.backoff("u", 5, NOW + secs(1)), Some(secs(3)));
    assert_eq!(store.backoff("u", 5, NOW + secs(4)), None);
    store.back_off(&name(), 5, Span::from_millis(u64::MAX), NOW);
    assert!(store.backoff("u", 5, NOW + secs(1_000_000)).is_some());
    store.expire(NOW + secs(1_000_000));
    assert!(store.backoff("u", 5, NOW + secs(1_000_000)).is_some());
}
