//! Placement of requests, each test with the load pattern that it answers.

use std::sync::Arc;

use masticlock_core::{
    digest::mix,
    fleet::{Announcement, Directory, Phase, Record},
    placement::{Choice, Criteria, Demand, Failure, Outcome, Pool},
    replicated::{Command, Phase as Rolled, Rollout, State},
    report::{Load, Totals},
    time::{Span, Time},
};

const NOW: Time = Time::from_millis(1_000_000);
const INTERVAL: Span = Span::from_millis(1_200);

fn announcement(number: u64, version: &str, cold: Span) -> Announcement {
    Announcement {
        upstream: format!("u{number:02}").into(),
        service: "engines".into(),
        address: format!("10.0.0.{number}:80").into(),
        domain: if number.is_multiple_of(2) { "a" } else { "b" }.into(),
        version: version.into(),
        slots: 8,
        phase: Phase::Ready,
        cold_left: cold,
        incarnation: 1,
        sequence: 1,
    }
}

fn directory<I>(announcements: I) -> Directory
where
    I: IntoIterator<Item = Announcement>,
{
    let mut directory = Directory::default();
    for announcement in announcements {
        let record = Record {
            announcement,
            age: Span::ZERO,
            silent: false,
        };
        directory.merge(record, NOW);
    }
    directory
}

fn pool(instance: u64, directory: &Directory) -> Pool {
    let mut pool = Pool::new("a".into(), instance, INTERVAL);
    pool.update(directory.entries(), NOW);
    pool
}

fn criteria(subject: Option<u64>) -> Criteria<'static> {
    Criteria {
        service: "engines",
        affinity: subject,
        shared_tokens: 0,
        draw: 500,
        tokens: 1_000,
        memory_tokens: 100_000,
        cold_rate: 10.0,
        excluded: &[],
    }
}

fn chosen(choice: Choice) -> Option<Arc<str>> {
    match choice {
        Choice::Upstream(target) => Some(target.upstream),
        Choice::Full | Choice::Backoff(_) | Choice::Unavailable => None,
    }
}

fn warm(count: u64) -> Directory {
    directory((0..count).map(|n| announcement(n, "v1", Span::ZERO)))
}

/// Many instances of a failure domain, one subject: all choose the same upstream, and most keep it
/// when one leaves.
#[test]
fn a_subject_stays_with_one_upstream_on_every_instance() {
    let all = warm(20);
    let (one, other) = (pool(1, &all), pool(2, &all));
    let mut fewer = all.clone();
    fewer.mark_leaving("u02", None);
    let after = pool(1, &fewer);
    let mut moved = 0;
    for subject in 0..500 {
        let criteria = criteria(Some(mix(subject)));
        let first = chosen(one.choose(&criteria, &State::default(), NOW));
        assert_eq!(
            first,
            chosen(other.choose(&criteria, &State::default(), NOW))
        );
        let then = chosen(after.choose(&criteria, &State::default(), NOW));
        assert_ne!(then.as_deref(), Some("u02"));
        moved += usize::from(first != then);
    }
    assert!((20..=100).contains(&moved), "{moved} of 500 moved");
}

/// One hot subject: the preferred upstream doesn't take everything.
#[test]
fn a_hot_subject_spreads_when_its_upstream_fills_up() {
    let mut pool = pool(1, &warm(10));
    let mut used = Vec::new();
    for _ in 0..40 {
        let upstream = chosen(pool.choose(&criteria(Some(7)), &State::default(), NOW)).unwrap();
        let size = Demand {
            tokens: 1_000,
            work: 4_000,
            prefill: 900,
        };
        pool.begin(&upstream, size, NOW);
        used.push(upstream);
    }
    used.sort_unstable();
    let most = used.chunk_by(|a, b| a == b).map(<[_]>::len).max().unwrap();
    assert!(most <= 9, "{most} of 40 at one upstream");
}

/// Eight instances before one cold upstream: together they stay within its rate.
#[test]
fn a_cold_upstream_gets_no_more_than_its_rate_from_all_instances() {
    for instances in [1_u64, 8, 70] {
        let cold = directory([announcement(0, "v1", Span::from_secs(30))]);
        let totals = Totals {
            instances,
            domain_instances: (1..=instances).collect(),
            ..Totals::default()
        };
        let mut pools: Vec<_> = (1..=instances).map(|i| pool(i, &cold)).collect();
        for pool in &mut pools {
            pool.update_totals(&totals, NOW);
        }
        let mut sent = Vec::new();
        // Every instance tries every 10 ms for five seconds.
        for step in 0..500 {
            let now = NOW + Span::from_millis(step * 10);
            for pool in &mut pools {
                pool.update(cold.entries(), now);
                let choice = pool.choose(&criteria(None), &State::default(), now);
                if let Some(upstream) = chosen(choice) {
                    pool.begin(&upstream, Demand::default(), now);
                    pool.end(&upstream, Demand::default(), Outcome::Good, now);
                    sent.push(now);
                }
            }
        }
        for start in &sent {
            let within = |t: &&Time| **t >= *start && t.since(*start) < Span::from_secs(1);
            let count = sent.iter().filter(within).count();
            assert!(
                count <= 10,
                "{count} in a second from {instances} instances"
            );
        }
        assert!(!sent.is_empty());
    }
}

/// An instance that doesn't know itself to be counted sends nothing to a cold upstream.
#[test]
fn an_instance_that_is_not_counted_spares_cold_upstreams() {
    let cold = directory([announcement(0, "v1", Span::from_secs(30))]);
    let pool = pool(9, &cold);
    assert_eq!(
        pool.choose(&criteria(None), &State::default(), NOW),
        Choice::Full
    );
}

/// Stale reports of other instances count, so that a full upstream isn't filled further.
#[test]
fn work_of_other_instances_counts() {
    let mut pool = pool(1, &warm(2));
    let loads = ["u00", "u01"].map(|upstream| Load {
        upstream: upstream.into(),
        running: if upstream == "u00" { 8 } else { 7 },
        ..Load::default()
    });
    let totals = Totals {
        loads: loads.to_vec(),
        instances: 2,
        domain_instances: vec![1, 2],
        ..Totals::default()
    };
    pool.update_totals(&totals, NOW);
    let upstream = chosen(pool.choose(&criteria(Some(1)), &State::default(), NOW)).unwrap();
    assert_eq!(&*upstream, "u01");
    pool.begin(&upstream, Demand::default(), NOW);
    assert_eq!(
        pool.choose(&criteria(Some(1)), &State::default(), NOW),
        Choice::Full
    );
}

/// An upstream that fails many requests while others don't gets none.
#[test]
fn an_upstream_that_fails_more_than_others_is_avoided() {
    let mut pool = pool(1, &warm(4));
    for number in 0..4 {
        for _ in 0..10 {
            let upstream = format!("u{number:02}");
            pool.begin(&upstream, Demand::default(), NOW);
            let failed = number == 2;
            let outcome = if failed {
                Outcome::Failed
            } else {
                Outcome::Good
            };
            pool.end(&upstream, Demand::default(), outcome, NOW);
        }
    }
    for subject in 0..100 {
        let upstream = chosen(pool.choose(&criteria(Some(mix(subject))), &State::default(), NOW));
        assert_ne!(upstream.as_deref(), Some("u02"));
    }
}

/// An upstream that takes no connection is left for an announcement interval, and for longer with
/// each failure, unless it starts again or returns from silence.
#[test]
fn an_upstream_that_is_down_is_tried_again_later_and_later() {
    let mut all = warm(1);
    let mut pool = pool(1, &all);
    let mut now = NOW;
    let may_choose =
        |pool: &Pool, now| chosen(pool.choose(&criteria(None), &State::default(), now)).is_some();
    for intervals in [1, 2, 4, 8, 8] {
        pool.connection_failed("u00", 1, Failure::Refused, now);
        assert!(!may_choose(&pool, now));
        now = now + INTERVAL.times(intervals) - Span::from_millis(1);
        pool.update(all.entries(), now);
        assert!(!may_choose(&pool, now), "after {intervals} intervals");
        now += Span::from_millis(1);
        assert!(may_choose(&pool, now), "after {intervals} intervals");
    }
    pool.connection_established("u00");
    pool.connection_failed("u00", 1, Failure::Refused, now);
    assert!(may_choose(&pool, now + INTERVAL), "it was reached");
    let mut next = announcement(0, "v1", Span::ZERO);
    next.incarnation = 2;
    all.merge(
        Record {
            announcement: next,
            age: Span::ZERO,
            silent: false,
        },
        now,
    );
    pool.update(all.entries(), now);
    assert!(may_choose(&pool, now), "another start");
    pool.connection_failed("u00", 1, Failure::Refused, now);
    assert!(may_choose(&pool, now), "a failure of the start before");
}

/// An upstream that has gone silent gets no new requests.
#[test]
fn silent_upstreams_get_nothing() {
    let mut all = warm(1);
    let mut pool = pool(1, &all);
    let later = NOW + Span::from_secs(4);
    all.mark_silent(later, INTERVAL);
    pool.update(all.entries(), later);
    assert_eq!(
        pool.choose(&criteria(None), &State::default(), later),
        Choice::Unavailable
    );
}

fn domain_of(choice: Choice) -> Option<Arc<str>> {
    match choice {
        Choice::Upstream(target) => Some(target.domain),
        Choice::Full | Choice::Backoff(_) | Choice::Unavailable => None,
    }
}

/// A calm day on many failure domains: prompts and streams stay in their own.
#[test]
fn requests_stay_in_their_failure_domain_while_it_has_room() {
    let pool = pool(1, &warm(20));
    for subject in 0..200 {
        let choice = pool.choose(&criteria(Some(mix(subject))), &State::default(), NOW);
        assert_eq!(domain_of(choice).as_deref(), Some("a"));
    }
    assert!(pool.spillover_services().is_empty());
}

/// Long prompts that clients of all failure domains share: each is read by one engine only, and a
/// failure domain that is cut off is left after two connections that nothing answered.
#[test]
fn a_long_subject_goes_to_one_upstream_from_all_failure_domains() {
    let all = warm(40);
    let mut one = pool(1, &all);
    let mut other = Pool::new("b".into(), 2, INTERVAL);
    other.update(all.entries(), NOW);
    let long = |subject| Criteria {
        shared_tokens: 5_000,
        ..criteria(Some(mix(subject)))
    };
    let mut far = 0;
    for subject in 0..200 {
        let first = one.choose(&long(subject), &State::default(), NOW);
        assert_eq!(first, other.choose(&long(subject), &State::default(), NOW));
        far += u32::from(domain_of(first).as_deref() == Some("b"));
    }
    assert!((70..=130).contains(&far), "{far} of 200");
    one.connection_failed("u01", 1, Failure::Unresponsive, NOW);
    one.connection_failed("u03", 1, Failure::Unresponsive, NOW);
    for subject in 0..200 {
        let choice = one.choose(&long(subject), &State::default(), NOW);
        assert_eq!(domain_of(choice).as_deref(), Some("a"));
    }
    one.connection_established("u05");
    let again = (0..200).filter(|subject| {
        let choice = one.choose(&long(*subject), &State::default(), NOW);
        domain_of(choice).as_deref() == Some("b")
    });
    assert!(again.count() >= 60, "it is reached again");
}

/// A failure domain is cut off from the others of a small deployment: its upstreams are not tried
/// one after the other, and now and then one is tried again.
#[test]
fn a_failure_domain_that_is_cut_off_is_left_at_once() {
    let all = warm(6);
    let choose = |pool: &Pool, subject, now| {
        domain_of(pool.choose(&criteria(Some(mix(subject))), &State::default(), now))
    };
    let mut pool = pool(1, &all);
    let far = |pool: &Pool, now| {
        let chosen = (0..100).map(|s| choose(pool, s, now));
        chosen.filter(|d| d.as_deref() == Some("b")).count()
    };
    assert!(far(&pool, NOW) > 30);
    pool.connection_failed("u01", 1, Failure::Unresponsive, NOW);
    assert!(far(&pool, NOW) > 20, "one upstream may have ended alone");
    pool.connection_failed("u03", 1, Failure::Refused, NOW);
    assert!(far(&pool, NOW) > 0, "its machine answers");
    pool.connection_failed("u05", 1, Failure::Unresponsive, NOW);
    assert_eq!(far(&pool, NOW), 0);
    let mut now = NOW + INTERVAL;
    assert!(far(&pool, now) > 0, "tried again");
    pool.connection_failed("u03", 1, Failure::Unresponsive, now);
    assert_eq!(far(&pool, now + INTERVAL), 0, "for longer");
    now += INTERVAL.times(2);
    pool.connection_established("u01");
    assert!(far(&pool, now) > 30, "the cut is over");
}

/// One failure domain with much more traffic than the others: it first asks for the loads of all,
/// then its requests go to where there is room.
#[test]
fn requests_leave_a_failure_domain_that_fills_up() {
    let mut pool = pool(1, &warm(20));
    let mut far = 0;
    let mut pressed_at = None;
    for subject in 0..120 {
        let choice = pool.choose(&criteria(Some(mix(subject))), &State::default(), NOW);
        let Choice::Upstream(target) = choice else {
            panic!("nothing was chosen");
        };
        let is_far = &*target.domain == "b";
        far += u32::from(is_far);
        if !pool.spillover_services().is_empty() {
            pressed_at = pressed_at.or(Some(subject));
        }
        assert!(
            !is_far || pressed_at.is_some(),
            "left without knowing the loads"
        );
        pool.begin(&target.upstream, Demand::default(), NOW);
    }
    assert!((30..=60).contains(&far), "{far} of 120");
}

/// The own failure domain's upstreams have all ended: the others take over at once.
#[test]
fn requests_leave_a_failure_domain_without_upstreams() {
    let mut all = warm(20);
    for number in (0..20).step_by(2) {
        all.mark_leaving(&format!("u{number:02}"), None);
    }
    let pool = pool(1, &all);
    let choice = pool.choose(&criteria(Some(1)), &State::default(), NOW);
    assert_eq!(domain_of(choice).as_deref(), Some("b"));
    assert_eq!(pool.spillover_services().len(), 1);
}

/// 300 instances of which a partition hides a third: those that are visible don't share out the
/// part of the hidden ones among themselves, neither of the retry budget nor of cold starts.
#[test]
fn hidden_instances_keep_their_part_of_the_limits() {
    let cold = directory([announcement(0, "v1", Span::from_secs(60))]);
    let totals = |instances: u64| Totals {
        instances,
        domain_instances: (1..=instances).collect(),
        ..Totals::default()
    };
    let may_start =
        |pool: &Pool, now| chosen(pool.choose(&criteria(None), &State::default(), now)).is_some();
    let mut starting = 0;
    for instance in 1..=300 {
        let mut pool = pool(instance, &cold);
        pool.update_totals(&totals(300), NOW);
        let before = may_start(&pool, NOW);
        let later = NOW + Span::from_secs(5);
        pool.update_totals(&totals(200), later);
        assert_eq!(pool.instances(), 300);
        assert_eq!(may_start(&pool, later), before);
        starting += usize::from(before);
        let much_later = NOW + Span::from_secs(16);
        pool.update_totals(&totals(200), much_later);
        assert_eq!(pool.instances(), 200, "they are gone for good");
    }
    assert_eq!(starting, 10);
}

/// Instances of other failure domains send nothing to an upstream in its cold start: those of its
/// own use its rate up.
#[test]
fn a_cold_upstream_belongs_to_its_failure_domain() {
    let cold = directory([announcement(1, "v1", Span::from_secs(30))]);
    let mut pool = pool(1, &cold);
    let totals = Totals {
        instances: 1,
        domain_instances: vec![1],
        ..Totals::default()
    };
    pool.update_totals(&totals, NOW);
    assert_eq!(
        pool.choose(&criteria(None), &State::default(), NOW),
        Choice::Full
    );
}

fn rollout(permille: u16, phase: Rolled) -> State {
    let mut state = State::default();
    state.apply(Command::StartRollout(Rollout {
        service: "engines".into(),
        target: "v2".into(),
        began_ms: 0,
        duration_ms: 24_000,
        permille,
        phase,
    }));
    state
}

/// A rollout: the share of the new version is the one that was agreed, and a subject whose draw is
/// below the share stays with the new version.
#[test]
fn the_canary_gets_its_share() {
    let all =
        directory((0..8).map(|n| announcement(n, if n < 4 { "v1" } else { "v2" }, Span::ZERO)));
    let pool = pool(1, &all);
    let state = rollout(50, Rolled::InProgress);
    for draw in 0..1_000 {
        let criteria = Criteria {
            draw,
            ..criteria(Some(u64::from(draw)))
        };
        let upstream = chosen(pool.choose(&criteria, &state, NOW)).unwrap();
        assert_eq!(*upstream >= *"u04", draw < 50, "draw {draw} at {upstream}");
    }
    let ended = rollout(0, Rolled::Reverted);
    let upstream = chosen(pool.choose(&criteria(Some(1)), &ended, NOW)).unwrap();
    assert!(*upstream < *"u04");
}

/// Without old upstreams the stable share is not given to a version on trial.
#[test]
fn the_stable_share_never_goes_to_a_version_on_trial() {
    let all = directory((0..4).map(|n| announcement(n, "v2", Span::ZERO)));
    let pool = pool(1, &all);
    let state = rollout(50, Rolled::InProgress);
    assert_eq!(
        pool.choose(&criteria(Some(1)), &state, NOW),
        Choice::Unavailable
    );
}

/// A failure domain that was taken out gets nothing.
#[test]
fn a_failure_domain_out_of_service_gets_nothing() {
    let pool = pool(1, &warm(6));
    let mut state = State::default();
    state.apply(Command::TakeOut("a".into()));
    for subject in 0..100 {
        let choice = pool.choose(&criteria(Some(mix(subject))), &state, NOW);
        let Choice::Upstream(target) = choice else {
            panic!("nothing was chosen");
        };
        assert_eq!(&*target.domain, "b");
    }
}

/// A service sheds load: one upstream after the other asks for quiet.
#[test]
fn upstreams_that_want_quiet_get_nothing_and_the_first_to_open_is_named() {
    let mut pool = pool(1, &warm(3));
    let state = State::default();
    for times in [[3, 1, 2], [1, 1, 1]] {
        for time in times {
            let Choice::Upstream(target) = pool.choose(&criteria(None), &state, NOW) else {
                continue;
            };
            pool.back_off(&target, Span::from_secs(time), NOW);
            assert!(!pool.is_current(&target.upstream, target.incarnation, NOW));
        }
    }
    let choice = pool.choose(&criteria(None), &state, NOW);
    assert_eq!(choice, Choice::Backoff(Span::from_secs(1)));
    let later = NOW + Span::from_secs(1);
    assert!(chosen(pool.choose(&criteria(None), &state, later)).is_some());
}

/// The word of an upstream holds against whatever control instances list, until it starts anew.
#[test]
fn an_upstream_that_leaves_by_its_own_word_gets_nothing() {
    let mut pool = pool(1, &warm(1));
    let state = State::default();
    let Choice::Upstream(target) = pool.choose(&criteria(None), &state, NOW) else {
        panic!("it is free");
    };
    assert!(pool.mark_leaving(&target, NOW));
    pool.update(warm(1).entries(), NOW);
    assert_eq!(
        pool.choose(&criteria(None), &state, NOW),
        Choice::Unavailable
    );
    assert!(!pool.is_current(&target.upstream, target.incarnation, NOW));
    pool.update(&[], NOW);
    pool.update(warm(1).entries(), NOW + Span::from_secs(60));
    assert_eq!(
        pool.choose(&criteria(None), &state, NOW),
        Choice::Unavailable
    );
}

/// Many instances send prompts to one upstream: each counts what it has not read yet, with the
/// others' part as reported, until the answer begins.
#[test]
fn unread_prompts_count_until_the_answer_begins() {
    let mut pool = pool(1, &warm(1));
    let upstream = chosen(pool.choose(&criteria(Some(7)), &State::default(), NOW)).unwrap();
    let size = Demand {
        tokens: 1_000,
        work: 4_000,
        prefill: 900,
    };
    pool.begin(&upstream, size, NOW);
    pool.begin(&upstream, size, NOW);
    let others = Load {
        upstream: upstream.clone(),
        running: 1,
        prefill: 5_000,
        ..Load::default()
    };
    let totals = Totals {
        loads: vec![others],
        ..Totals::default()
    };
    pool.update_totals(&totals, NOW);
    assert_eq!(pool.pending_prefill(&upstream), 6_800);
    pool.finish_prefill(&upstream, size);
    assert_eq!(pool.pending_prefill(&upstream), 5_900);
    assert_eq!(
        pool.loads(NOW)[0].prefill,
        900,
        "only the own part is reported"
    );
    pool.end(&upstream, size, Outcome::Good, NOW);
    assert_eq!(
        pool.pending_prefill(&upstream),
        5_900,
        "it was counted as read"
    );
}
