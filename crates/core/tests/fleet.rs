//! The directory of upstreams that is merged from announcements.

use masticlock_core::{
    fleet::{Announcement, Directory, Heartbeat, Phase, Record},
    time::{Span, Time},
};

const NOW: Time = Time::from_millis(100_000);

fn announcement(upstream: &str, incarnation: u64, sequence: u64, phase: Phase) -> Announcement {
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
        limit: None,
    }
}

fn phase(directory: &Directory, upstream: &str) -> Option<Phase> {
    directory.get(upstream).map(|e| e.announcement.phase)
}

/// Guards against delayed or repeated announcements that replace later ones.
#[test]
fn outdated_announcements_change_nothing() {
    let mut directory = Directory::default();
    assert!(directory.merge(record(announcement("u", 5, 2, Phase::Ready)), NOW));
    assert!(!directory.merge(record(announcement("u", 5, 1, Phase::Ready)), NOW));
    assert!(
        !directory.merge(record(announcement("u", 5, 2, Phase::Ready)), NOW),
        "repeated"
    );
    assert!(
        !directory.merge(record(announcement("u", 4, 9, Phase::Ready)), NOW),
        "earlier incarnation"
    );
    assert!(
        directory.merge(record(announcement("u", 6, 1, Phase::Ready)), NOW),
        "later incarnation"
    );
}

/// A leave notice reaches one control instance while the last announcement reaches another: the first
/// doesn't know the sequence number of that announcement when it forwards the notice.
#[test]
fn a_leave_notice_with_an_old_sequence_number_counts() {
    let mut other = Directory::default();
    other.merge(record(announcement("u", 5, 3, Phase::Ready)), NOW);
    let revision = other.revision();
    assert!(other.merge(record(announcement("u", 5, 2, Phase::Leaving)), NOW));
    assert_eq!(phase(&other, "u"), Some(Phase::Leaving));
    assert_eq!(other.since(revision, NOW).len(), 1, "it is forwarded");
    assert!(!other.merge(record(announcement("u", 5, 2, Phase::Leaving)), NOW));
    assert!(!other.merge(record(announcement("u", 4, 9, Phase::Leaving)), NOW));
}

/// Guards against new requests to an incarnation that has announced that it is leaving.
#[test]
fn a_leaving_upstream_never_becomes_ready_again() {
    let mut directory = Directory::default();
    directory.merge(record(announcement("u", 5, 2, Phase::Ready)), NOW);
    assert!(directory.mark_leaving("u", Some(5)));
    assert!(!directory.mark_leaving("u", Some(5)), "repeated");
    // A delayed earlier announcement, and a later one that was sent by mistake.
    directory.merge(record(announcement("u", 5, 1, Phase::Ready)), NOW);
    directory.merge(record(announcement("u", 5, 3, Phase::Ready)), NOW);
    assert_eq!(phase(&directory, "u"), Some(Phase::Leaving));
    // A new incarnation may start under the same identity.
    directory.merge(record(announcement("u", 6, 1, Phase::Ready)), NOW);
    assert_eq!(phase(&directory, "u"), Some(Phase::Ready));
    assert!(
        !directory.mark_leaving("u", Some(5)),
        "a leave notice of the previous incarnation"
    );
}

/// A leave notice has no sequence number of its own, so it carries that of the last announcement.
#[test]
fn a_leave_notice_with_a_known_sequence_number_counts() {
    let (mut one, mut other) = (Directory::default(), Directory::default());
    one.merge(record(announcement("u", 5, 2, Phase::Ready)), NOW);
    other.merge(record(announcement("u", 5, 2, Phase::Ready)), NOW);
    let revision = one.revision();
    one.mark_leaving("u", None);
    for record in one.since(revision, NOW) {
        assert!(other.merge(record, NOW));
    }
    assert_eq!(phase(&other, "u"), Some(Phase::Leaving));
}

/// Guards against two upstreams with the same address when a late announcement of the previous owner
/// arrives.
#[test]
fn a_reused_address_belongs_to_the_latest_start() {
    let mut directory = Directory::default();
    directory.merge(record(announcement("old", 5, 2, Phase::Ready)), NOW);
    directory.merge(record(announcement("new", 9, 1, Phase::Ready)), NOW);
    assert_eq!(phase(&directory, "old"), None);
    let is_new = directory.merge(record(announcement("old", 5, 3, Phase::Ready)), NOW);
    assert!(!is_new, "delayed by a partition");
    assert_eq!(phase(&directory, "new"), Some(Phase::Ready));
}

/// Guards against readers that get records again which they already have.
#[test]
fn readers_get_only_what_changed() {
    let mut directory = Directory::default();
    let mut other = announcement("v", 1, 1, Phase::Ready);
    other.address = "10.0.0.2:80".into();
    directory.merge(record(announcement("u", 5, 2, Phase::Ready)), NOW);
    let revision = directory.revision();
    directory.merge(record(other), NOW);
    let changed = directory.since(revision, NOW + Span::from_millis(40));
    assert_eq!(changed.len(), 1);
    assert_eq!(&*changed[0].announcement.upstream, "v");
    assert_eq!(changed[0].age, Span::from_millis(40));
    assert_eq!(directory.since(0, NOW).len(), 2);
}

/// The remaining time of a cold start is exchanged instead of its end, because the clocks of
/// instances differ.
#[test]
fn the_remaining_cold_start_shrinks_with_the_age_of_a_record() {
    let mut directory = Directory::default();
    let mut cold = announcement("u", 5, 1, Phase::Ready);
    cold.cold_left = Span::from_millis(3_000);
    directory.merge(record(cold), NOW);
    let later = directory.since(0, NOW + Span::from_millis(1_000));
    assert_eq!(later[0].announcement.cold_left, Span::from_millis(2_000));
}

const INTERVAL: Span = Span::from_millis(1_200);

/// Hundreds of upstreams repeat their announcements: entry instances get nothing, control instances
/// get heartbeats.
#[test]
fn repeated_announcements_are_no_change() {
    let mut directory = Directory::default();
    directory.merge(record(announcement("u", 5, 1, Phase::Ready)), NOW);
    let revision = directory.revision();
    let later = NOW + INTERVAL;
    assert!(directory.merge(record(announcement("u", 5, 2, Phase::Ready)), later));
    assert!(directory.since(revision, later).is_empty());
    let heartbeats = directory.heartbeats(revision, later);
    assert_eq!(heartbeats.len(), 1);
    assert_eq!(heartbeats[0].sequence, 2);
    let mut cold = announcement("u", 5, 3, Phase::Ready);
    cold.cold_left = Span::from_secs(3);
    directory.merge(record(cold), later);
    assert_eq!(
        directory.since(revision, later).len(),
        1,
        "a cold start is a change"
    );
    assert!(
        directory.heartbeats(revision, later).is_empty(),
        "sent as a record"
    );
}

/// Guards against upstreams that become silent although their heartbeats arrive, and against
/// heartbeats of unknown incarnations that go unnoticed.
#[test]
fn heartbeats_keep_an_upstream_alive_and_unknown_ones_are_reported() {
    let mut directory = Directory::default();
    directory.merge(record(announcement("u", 5, 1, Phase::Ready)), NOW);
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
        "a later incarnation"
    );
    assert!(
        directory.merge_heartbeat(&heartbeat("u", 4, 9), later),
        "an earlier incarnation has ended"
    );
    directory.mark_silent(NOW + Span::from_secs(8), INTERVAL);
    assert!(directory.get("u").unwrap().silent);
    assert!(directory.merge_heartbeat(&heartbeat("u", 5, 3), NOW + Span::from_secs(8)));
    assert!(!directory.get("u").unwrap().silent, "heard again");
}

/// An entry instance learns that an upstream has become silent or has returned, even if the sequence
/// number of its announcement is the same or lower at the control instance that it follows now.
#[test]
fn silence_is_learned_from_the_followed_instance() {
    let mut followed = Directory::default();
    followed.merge(record(announcement("u", 5, 2, Phase::Ready)), NOW);
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
    other.merge(record(announcement("u", 5, 1, Phase::Ready)), later);
    own.resync(other.since(0, later), later);
    assert!(!own.get("u").unwrap().silent);
    own.resync(Vec::new(), later);
    assert!(
        own.get("u").unwrap().silent,
        "unknown to the followed instance"
    );
}

/// Guards against the loss of live upstreams that don't change, and against silent ones that are
/// never dropped.
#[test]
fn live_upstreams_are_kept_and_silent_ones_expire() {
    let mut own = Directory::default();
    own.sync(record(announcement("u", 5, 1, Phase::Ready)), NOW);
    own.expire(NOW + Span::from_secs(300));
    assert!(own.get("u").is_some());
    own.resync(Vec::new(), NOW + Span::from_secs(300));
    own.expire(NOW + Span::from_secs(331));
    assert!(own.get("u").is_none());
}

/// A control instance decides that an upstream is silent by the time of its last announcement, not by
/// another instance's record.
#[test]
fn merging_ignores_whether_the_sender_considers_an_upstream_silent() {
    let mut directory = Directory::default();
    directory.merge(record(announcement("u", 5, 1, Phase::Ready)), NOW);
    let silent = Record {
        silent: true,
        limit: None,
        ..record(announcement("u", 5, 2, Phase::Ready))
    };
    directory.merge(silent, NOW);
    assert!(!directory.get("u").unwrap().silent);
}
