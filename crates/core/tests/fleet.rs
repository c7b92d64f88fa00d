//! The merged directory of upstreams.

use masticlock_core::{
    fleet::{Announcement, Directory, Heartbeat, Phase, Record},
    time::{Span, Time},
};

const NOW: Time = Time::from_millis(100_000);

fn said(upstream: &str, incarnation: u64, sequence: u64, phase: Phase) -> Announcement {
    Announcement {
        upstream: upstream.into(),
        service: "engines".into(),
        address: "10.0.0.1:80".into(),
        domain: "a".into(),
        version: "v1".into(),
        slots: 4,
        phase,
        cold_left: Span::ZERO,
        incarnation,
        sequence,
    }
}

fn record(announcement: Announcement) -> Record {
    Record {
        announcement,
        age: Span::ZERO,
        silent: false,
    }
}

fn phase(directory: &Directory, upstream: &str) -> Option<Phase> {
    directory.get(upstream).map(|e| e.announcement.phase)
}

#[test]
fn late_announcements_change_nothing() {
    let mut directory = Directory::default();
    assert!(directory.merge(record(said("u", 5, 2, Phase::Ready)), NOW));
    assert!(!directory.merge(record(said("u", 5, 1, Phase::Ready)), NOW));
    assert!(
        !directory.merge(record(said("u", 5, 2, Phase::Ready)), NOW),
        "twice"
    );
    assert!(
        !directory.merge(record(said("u", 4, 9, Phase::Ready)), NOW),
        "earlier start"
    );
    assert!(
        directory.merge(record(said("u", 6, 1, Phase::Ready)), NOW),
        "later start"
    );
}

/// A farewell reaches one control instance while the last announcement reaches another: the first
/// doesn't know the number of that announcement when it passes the farewell on.
#[test]
fn a_farewell_with_an_old_number_counts() {
    let mut other = Directory::default();
    other.merge(record(said("u", 5, 3, Phase::Ready)), NOW);
    let revision = other.revision();
    assert!(other.merge(record(said("u", 5, 2, Phase::Leaving)), NOW));
    assert_eq!(phase(&other, "u"), Some(Phase::Leaving));
    assert_eq!(other.since(revision, NOW).len(), 1, "it is passed on");
    assert!(!other.merge(record(said("u", 5, 2, Phase::Leaving)), NOW));
    assert!(!other.merge(record(said("u", 4, 9, Phase::Leaving)), NOW));
}

#[test]
fn an_upstream_that_leaves_never_takes_new_work_again() {
    let mut directory = Directory::default();
    directory.merge(record(said("u", 5, 2, Phase::Ready)), NOW);
    assert!(directory.mark_leaving("u", Some(5)));
    assert!(!directory.mark_leaving("u", Some(5)), "twice");
    // An announcement from before that was delayed, and a later one by mistake.
    directory.merge(record(said("u", 5, 1, Phase::Ready)), NOW);
    directory.merge(record(said("u", 5, 3, Phase::Ready)), NOW);
    assert_eq!(phase(&directory, "u"), Some(Phase::Leaving));
    // Under its identity it may start again.
    directory.merge(record(said("u", 6, 1, Phase::Ready)), NOW);
    assert_eq!(phase(&directory, "u"), Some(Phase::Ready));
    assert!(
        !directory.mark_leaving("u", Some(5)),
        "a farewell of the former start"
    );
}

#[test]
fn leaving_spreads_even_with_the_number_of_the_last_announcement() {
    let (mut one, mut other) = (Directory::default(), Directory::default());
    one.merge(record(said("u", 5, 2, Phase::Ready)), NOW);
    other.merge(record(said("u", 5, 2, Phase::Ready)), NOW);
    let revision = one.revision();
    one.mark_leaving("u", None);
    for record in one.since(revision, NOW) {
        assert!(other.merge(record, NOW));
    }
    assert_eq!(phase(&other, "u"), Some(Phase::Leaving));
}

#[test]
fn a_reused_address_belongs_to_the_latest_start() {
    let mut directory = Directory::default();
    directory.merge(record(said("old", 5, 2, Phase::Ready)), NOW);
    directory.merge(record(said("new", 9, 1, Phase::Ready)), NOW);
    assert_eq!(phase(&directory, "old"), None);
    let late = directory.merge(record(said("old", 5, 3, Phase::Ready)), NOW);
    assert!(!late, "held back by a partition");
    assert_eq!(phase(&directory, "new"), Some(Phase::Ready));
}

#[test]
fn readers_get_only_what_changed() {
    let mut directory = Directory::default();
    let mut other = said("v", 1, 1, Phase::Ready);
    other.address = "10.0.0.2:80".into();
    directory.merge(record(said("u", 5, 2, Phase::Ready)), NOW);
    let revision = directory.revision();
    directory.merge(record(other), NOW);
    let changed = directory.since(revision, NOW + Span::from_millis(40));
    assert_eq!(changed.len(), 1);
    assert_eq!(&*changed[0].announcement.upstream, "v");
    assert_eq!(changed[0].age, Span::from_millis(40));
    assert_eq!(directory.since(0, NOW).len(), 2);
}

#[test]
fn the_cold_start_ends_on_the_clock_of_each_reader() {
    let mut directory = Directory::default();
    let mut cold = said("u", 5, 1, Phase::Ready);
    cold.cold_left = Span::from_millis(3_000);
    directory.merge(record(cold), NOW);
    let later = directory.since(0, NOW + Span::from_millis(1_000));
    assert_eq!(later[0].announcement.cold_left, Span::from_millis(2_000));
}

const INTERVAL: Span = Span::from_millis(1_200);

/// Hundreds of upstreams that repeat themselves: entry instances get nothing, control instances get
/// heartbeats.
#[test]
fn repeated_announcements_are_no_change() {
    let mut directory = Directory::default();
    directory.merge(record(said("u", 5, 1, Phase::Ready)), NOW);
    let revision = directory.revision();
    let later = NOW + INTERVAL;
    assert!(directory.merge(record(said("u", 5, 2, Phase::Ready)), later));
    assert!(directory.since(revision, later).is_empty());
    let heartbeats = directory.heartbeats(revision, later);
    assert_eq!(heartbeats.len(), 1);
    assert_eq!(heartbeats[0].sequence, 2);
    let mut cold = said("u", 5, 3, Phase::Ready);
    cold.cold_left = Span::from_secs(3);
    directory.merge(record(cold), later);
    assert_eq!(
        directory.since(revision, later).len(),
        1,
        "a cold start is one"
    );
    assert!(
        directory.heartbeats(revision, later).is_empty(),
        "sent once"
    );
}

#[test]
fn beats_keep_an_upstream_alive_and_unknown_ones_are_told() {
    let mut directory = Directory::default();
    directory.merge(record(said("u", 5, 1, Phase::Ready)), NOW);
    let heartbeat = |upstream: &str, incarnation, sequence| Heartbeat {
        upstream: upstream.into(),
        incarnation,
        sequence,
        age: Span::ZERO,
    };
    let later = NOW + Span::from_secs(3);
    assert!(directory.merge_heartbeat(&heartbeat("u", 5, 2), later));
    directory.mark_silent(NOW + Span::from_secs(5), INTERVAL);
    assert!(!directory.get("u").unwrap().silent);
    assert!(
        !directory.merge_heartbeat(&heartbeat("v", 1, 2), later),
        "unknown"
    );
    assert!(
        !directory.merge_heartbeat(&heartbeat("u", 6, 1), later),
        "a later start"
    );
    assert!(
        directory.merge_heartbeat(&heartbeat("u", 4, 9), later),
        "an earlier start is over"
    );
    directory.mark_silent(NOW + Span::from_secs(8), INTERVAL);
    assert!(directory.get("u").unwrap().silent);
    assert!(directory.merge_heartbeat(&heartbeat("u", 5, 3), NOW + Span::from_secs(8)));
    assert!(!directory.get("u").unwrap().silent, "heard again");
}

/// An entry instance learns that an upstream has gone silent and that it returned, although its
/// announcement's number is the same or lower at the control instance that it now follows.
#[test]
fn silence_is_learned_from_the_instance_that_is_followed() {
    let mut followed = Directory::default();
    followed.merge(record(said("u", 5, 2, Phase::Ready)), NOW);
    let mut own = Directory::default();
    own.sync(followed.since(0, NOW).remove(0), NOW);
    let revision = followed.revision();
    let later = NOW + Span::from_secs(4);
    followed.mark_silent(later, INTERVAL);
    for record in followed.since(revision, later) {
        assert!(own.sync(record, later));
    }
    assert!(own.get("u").unwrap().silent);
    let mut other = Directory::default();
    other.merge(record(said("u", 5, 1, Phase::Ready)), later);
    own.resync(other.since(0, later), later);
    assert!(!own.get("u").unwrap().silent);
    own.resync(Vec::new(), later);
    assert!(own.get("u").unwrap().silent, "unknown to the next one");
}

#[test]
fn live_upstreams_are_kept_without_news_and_silent_ones_forgotten() {
    let mut own = Directory::default();
    own.sync(record(said("u", 5, 1, Phase::Ready)), NOW);
    own.expire(NOW + Span::from_secs(300));
    assert!(own.get("u").is_some());
    own.resync(Vec::new(), NOW + Span::from_secs(300));
    own.expire(NOW + Span::from_secs(331));
    assert!(own.get("u").is_none());
}

/// A control instance judges silence by when it heard of an upstream, not by another one's word.
#[test]
fn another_instance_finding_an_upstream_silent_counts_for_nothing() {
    let mut directory = Directory::default();
    directory.merge(record(said("u", 5, 1, Phase::Ready)), NOW);
    let silent = Record {
        silent: true,
        ..record(said("u", 5, 2, Phase::Ready))
    };
    directory.merge(silent, NOW);
    assert!(!directory.get("u").unwrap().silent);
}
