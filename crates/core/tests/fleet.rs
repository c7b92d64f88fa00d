//! The merged directory of upstreams.

use masticlock_core::{
    fleet::{Announcement, Directory, Phase, Record},
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
        cold: Span::ZERO,
        incarnation,
        sequence,
    }
}

fn record(announcement: Announcement) -> Record {
    Record {
        announcement,
        age: Span::ZERO,
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

#[test]
fn an_upstream_that_leaves_never_takes_new_work_again() {
    let mut directory = Directory::default();
    directory.merge(record(said("u", 5, 2, Phase::Ready)), NOW);
    assert!(directory.leave("u", Some(5)));
    assert!(!directory.leave("u", Some(5)), "twice");
    // An announcement from before that was delayed, and a later one by mistake.
    directory.merge(record(said("u", 5, 1, Phase::Ready)), NOW);
    directory.merge(record(said("u", 5, 3, Phase::Ready)), NOW);
    assert_eq!(phase(&directory, "u"), Some(Phase::Leaving));
    // Under its identity it may start again.
    directory.merge(record(said("u", 6, 1, Phase::Ready)), NOW);
    assert_eq!(phase(&directory, "u"), Some(Phase::Ready));
    assert!(
        !directory.leave("u", Some(5)),
        "a farewell of the former start"
    );
}

#[test]
fn leaving_spreads_even_with_the_number_of_the_last_announcement() {
    let (mut one, mut other) = (Directory::default(), Directory::default());
    one.merge(record(said("u", 5, 2, Phase::Ready)), NOW);
    other.merge(record(said("u", 5, 2, Phase::Ready)), NOW);
    let mark = one.mark();
    one.leave("u", None);
    for record in one.since(mark, NOW) {
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
    let mark = directory.mark();
    directory.merge(record(other), NOW);
    let changed = directory.since(mark, NOW + Span::from_millis(40));
    assert_eq!(changed.len(), 1);
    assert_eq!(&*changed[0].announcement.upstream, "v");
    assert_eq!(changed[0].age, Span::from_millis(40));
    assert_eq!(directory.since(0, NOW).len(), 2);
}

#[test]
fn the_cold_start_ends_on_the_clock_of_each_reader() {
    let mut directory = Directory::default();
    let mut cold = said("u", 5, 1, Phase::Ready);
    cold.cold = Span::from_millis(3_000);
    directory.merge(record(cold), NOW);
    let later = directory.since(0, NOW + Span::from_millis(1_000));
    assert_eq!(later[0].announcement.cold, Span::from_millis(2_000));
}
