//! Tests of whether an instance has a way to upstreams, and of the choice of a peer.

use std::sync::Arc;

use masticlock_core::{
    fleet::{Announcement, Directory, Phase, Record},
    placement::{Choice, Criteria, Failure, Pool, Prompt, Target},
    reach::{Change, Reach, Trial},
    replicated::State,
    report::Peer,
    time::{Span, Time},
};

const fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn trials(results: &[(&str, bool)]) -> Vec<Trial> {
    let trial = |(domain, accepted): &(&str, bool)| Trial {
        domain: (*domain).into(),
        accepted: *accepted,
    };
    results.iter().map(trial).collect()
}

/// Plays a round after a failed connection.
fn round(reach: &mut Reach, results: &[(&str, bool)], now: Time) -> Change {
    reach.failed();
    assert!(reach.begin_round(now));
    reach.end_round(&trials(results), 3, now)
}

/// Guards against one silent upstream or one failure domain that is taken for all.
#[test]
fn several_upstreams_of_several_domains_have_to_fail() {
    for results in [
        &[("a", false)][..],
        &[("a", false), ("a", false)],
        &[("a", false), ("b", false), ("c", true)],
    ] {
        let mut reach = Reach::default();
        assert_eq!(round(&mut reach, results, at(1_000)), Change::Unchanged);
    }
    let mut reach = Reach::default();
    let all = [("a", false), ("b", false)];
    assert_eq!(round(&mut reach, &all, at(1_000)), Change::Lost);
}

/// Guards against trial connections on a calm day, and against a silence that nobody looks into.
#[test]
fn connections_are_tried_after_a_silence_or_a_failure_only() {
    let mut reach = Reach::default();
    assert!(!reach.begin_round(at(1_000)));
    reach.wanted(at(1_000));
    assert!(!reach.begin_round(at(1_100)));
    reach.heard();
    assert!(!reach.begin_round(at(1_300)));
    reach.wanted(at(1_300));
    assert!(reach.begin_round(at(1_500)));
    assert!(!reach.begin_round(at(1_600)), "one after the other");
}

/// Guards against an instance that stays away after the way's return, or that goes back at once to a
/// link that comes and goes.
#[test]
fn an_instance_returns_at_once_but_not_to_an_unstable_link() {
    let (lost, back) = ([("a", false), ("b", false)], [("a", true), ("b", false)]);
    let mut reach = Reach::default();
    assert_eq!(round(&mut reach, &lost, at(1_000)), Change::Lost);
    assert_eq!(round(&mut reach, &back, at(1_300)), Change::Returned);
    assert_eq!(round(&mut reach, &lost, at(1_600)), Change::Lost);
    let mut now = at(1_600);
    let mut rounds = 0;
    loop {
        now += Span::from_millis(250);
        rounds += 1;
        if round(&mut reach, &back, now) == Change::Returned {
            break;
        }
    }
    assert_eq!(rounds, 4);
    // Within a second of the way's return.
    assert!(now.since(at(1_600)) <= Span::from_secs(1));
}

fn pool() -> Pool {
    pool_of(&["a", "b"])
}

/// Returns a pool with one upstream in each of these failure domains.
fn pool_of(domains: &[&str]) -> Pool {
    let mut directory = Directory::default();
    for (number, domain) in domains.iter().enumerate() {
        let upstream: Arc<str> = format!("u{number}").into();
        let announcement = Announcement {
            upstream: upstream.clone(),
            service: "s".into(),
            address: upstream,
            domain: (*domain).into(),
            version: "v".into(),
            slots: 8,
            phase: Phase::Ready,
            cold_left: Span::ZERO,
            incarnation: 1,
            sequence: 1,
        };
        let record = Record {
            announcement,
            age: Span::ZERO,
            silent: false,
            limit: None,
        };
        directory.merge(record, at(0));
    }
    let mut pool = Pool::new("a".into(), 1, Span::from_secs(1));
    pool.update(directory.entries(), at(0));
    pool
}

const fn criteria(may_hand_over: bool) -> Criteria<'static> {
    Criteria {
        service: "s",
        affinity: None,
        shared_tokens: 0,
        prompt: Prompt::EMPTY,
        draw: 0,
        tokens: 0,
        memory_tokens: 0,
        cold_rate: 0.0,
        excluded: &[],
        may_hand_over,
    }
}

fn peer(address: &str, room: u32) -> Peer {
    Peer {
        address: address.into(),
        domain: "b".into(),
        room,
    }
}

/// Returns the peer or upstream that is chosen.
fn chosen(pool: &Pool, may_hand_over: bool, now: Time) -> Option<(String, bool)> {
    match pool.choose(&criteria(may_hand_over), &State::default(), now) {
        Choice::Upstream(target) => Some((target.upstream.to_string(), target.is_peer)),
        _ => None,
    }
}

/// Guards against requests that go from peer to peer, against one peer that gets them all, and
/// against more of them than it has room for.
#[test]
fn peers_are_chosen_by_their_room_and_once() {
    let mut pool = pool();
    pool.set_peers(&[peer("p1", 2), peer("p2", 1)], at(0));
    assert!(!chosen(&pool, true, at(1)).unwrap().1, "the way is open");
    pool.set_cut_off(true);
    assert_eq!(chosen(&pool, false, at(1)), None);
    let mut counts = [0, 0];
    for _ in 0..3 {
        let (address, is_peer) = chosen(&pool, true, at(1)).unwrap();
        assert!(is_peer);
        pool.begin_handover(&address);
        counts[usize::from(address == "p2")] += 1;
    }
    assert_eq!(counts, [2, 1]);
    assert_eq!(chosen(&pool, true, at(1)), None, "no room is left");
    pool.end_handover("p1");
    assert_eq!(chosen(&pool, true, at(1)).unwrap().0, "p1");
    pool.avoid_peer("p1", at(2));
    assert_eq!(chosen(&pool, true, at(3)), None);
    pool.set_cut_off(false);
    assert!(!chosen(&pool, true, at(4)).unwrap().1);
}

/// Guards against an instance that hands nothing over because it reaches the upstreams of other
/// services, and against one that hands over because upstreams of one failure domain are cut off.
#[test]
fn a_service_whose_upstreams_are_all_out_of_reach_is_served_by_peers() {
    let mut pool = pool();
    pool.set_peers(&[peer("p1", 2)], at(0));
    pool.connect_failed("u0", 1, Failure::Unresponsive, at(10));
    assert_eq!(chosen(&pool, true, at(20)).unwrap().0, "u1");
    assert!(!pool.needs_peers(at(20)));
    pool.connect_failed("u1", 1, Failure::Unresponsive, at(10));
    assert!(pool.needs_peers(at(20)));
    assert_eq!(chosen(&pool, true, at(20)).unwrap().0, "p1");
}

/// Guards against an instance that takes itself for cut off because the upstreams of one service
/// have crashed at once.
#[test]
fn upstreams_that_have_not_failed_are_tried_first() {
    let mut pool = pool_of(&["a", "b", "c", "a", "b", "c"]);
    for crashed in ["u0", "u1", "u2"] {
        pool.connect_failed(crashed, 1, Failure::Refused, at(10));
    }
    for now in 10..200 {
        let targets = pool.trial_targets(3, at(now));
        let has_failed = |t: &Target| matches!(&*t.upstream, "u0" | "u1" | "u2");
        assert!(!targets.iter().any(has_failed), "{targets:?}");
    }
    for crashed in ["u3", "u4", "u5"] {
        pool.connect_failed(crashed, 1, Failure::Refused, at(10));
    }
    assert_eq!(pool.trial_targets(3, at(20)).len(), 3);
}
