//! Placement of requests. Each test's comment names the load pattern or the failure that it covers.

use std::sync::Arc;

use masticlock_core::{
    digest::mix,
    fleet::{Announcement, Directory, Phase, Record},
    placement::{Choice, Criteria, Demand, Failure, Outcome, Pool, Prompt},
    replicated::{Command, Phase as RolloutPhase, Rollout, State},
    report::{Load, Totals},
    suspect::Process,
    time::{Span, Time},
};

const NOW: Time = Time::from_millis(1_000_000);
const INTERVAL: Span = Span::from_millis(1_200);

fn announcement(number: u64, version: &str, cold_left: Span) -> Announcement {
    Announcement {
        upstream: format!("u{number:02}").into(),
        service: "engines".into(),
        address: format!("10.0.0.{number}:80").into(),
        domain: if number.is_multiple_of(2) { "a" } else { "b" }.into(),
        version: version.into(),
        slots: 8,
        phase: Phase::Ready,
        cold_left,
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
            limit: None,
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

fn criteria(affinity: Option<u64>) -> Criteria<'static> {
    Criteria {
        service: "engines",
        affinity,
        shared_tokens: 0,
        prompt: Prompt::EMPTY,
        draw: 500,
        tokens: 1_000,
        memory_tokens: 100_000,
        cold_rate: 10.0,
        excluded: &[],
        may_hand_over: false,
    }
}

fn upstream_of(choice: Choice) -> Option<Arc<str>> {
    match choice {
        Choice::Upstream(target) => Some(target.upstream),
        Choice::Full | Choice::Limited(_) | Choice::Backoff(_) | Choice::Unavailable => None,
    }
}

fn warm_upstreams(count: u64) -> Directory {
    directory((0..count).map(|n| announcement(n, "v1", Span::ZERO)))
}

/// All instances of a failure domain choose the same upstream for an affinity key, and most keys
/// keep their upstream when another one leaves. Otherwise prefix caches would be lost.
#[test]
fn an_affinity_key_maps_to_one_upstream_on_every_instance() {
    let all = warm_upstreams(20);
    let (one, other) = (pool(1, &all), pool(2, &all));
    let mut fewer = all.clone();
    fewer.mark_leaving("u02", None);
    let after = pool(1, &fewer);
    let mut moved = 0;
    for affinity in 0..500 {
        let criteria = criteria(Some(mix(affinity)));
        let first = upstream_of(one.choose(&criteria, &State::default(), NOW));
        assert_eq!(
            first,
            upstream_of(other.choose(&criteria, &State::default(), NOW))
        );
        let then = upstream_of(after.choose(&criteria, &State::default(), NOW));
        assert_ne!(then.as_deref(), Some("u02"));
        moved += usize::from(first != then);
    }
    assert!((20..=100).contains(&moved), "{moved} of 500 moved");
}

/// Guards against overload of one upstream by a single hot affinity key.
#[test]
fn a_hot_affinity_key_spreads_when_its_upstream_fills_up() {
    let mut pool = pool(1, &warm_upstreams(10));
    let mut used = Vec::new();
    for _ in 0..40 {
        let upstream =
            upstream_of(pool.choose(&criteria(Some(7)), &State::default(), NOW)).unwrap();
        let demand = Demand {
            tokens: 1_000,
            work: 4_000,
            prefill: 900,
        };
        pool.begin(&upstream, demand, NOW);
        used.push(upstream);
    }
    used.sort_unstable();
    let most = used.chunk_by(|a, b| a == b).map(<[_]>::len).max().unwrap();
    assert!(most <= 9, "{most} of 40 at one upstream");
}

/// Guards against overload of a cold upstream when 1, 8 or 70 instances send to it without
/// coordination.
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
        // Every instance places a request every 10 ms for five seconds.
        for step in 0..500 {
            let now = NOW + Span::from_millis(step * 10);
            for pool in &mut pools {
                pool.update(cold.entries(), now);
                let choice = pool.choose(&criteria(None), &State::default(), now);
                if let Some(upstream) = upstream_of(choice) {
                    pool.begin(&upstream, Demand::default(), now);
                    pool.end(&upstream, Demand::default(), Outcome::Good, now);
                    sent.push(now);
                }
            }
        }
        for start in &sent {
            let is_within = |t: &&Time| **t >= *start && t.since(*start) < Span::from_secs(1);
            let count = sent.iter().filter(is_within).count();
            assert!(
                count <= 10,
                "{count} in a second from {instances} instances"
            );
        }
        assert!(!sent.is_empty());
    }
}

/// An instance that is not in the list of present instances sends nothing to a cold upstream, because
/// the others use its whole rate.
#[test]
fn an_unlisted_instance_sends_nothing_to_cold_upstreams() {
    let cold = directory([announcement(0, "v1", Span::from_secs(30))]);
    let pool = pool(9, &cold);
    assert_eq!(
        pool.choose(&criteria(None), &State::default(), NOW),
        Choice::Full
    );
}

/// Guards against overload of an upstream that other instances have filled: their reported loads
/// count, even if they are stale.
#[test]
fn loads_of_other_instances_count() {
    let mut pool = pool(1, &warm_upstreams(2));
    let loads = ["u00", "u01"].map(|upstream| Load {
        upstream: upstream.into(),
        running: if upstream == "u00" { 8 } else { 7 },
        ..Load::default()
    });
    let totals = Totals {
        loads: loads.to_vec(),
        instances: 2,
        domain_instances: vec![1, 2],
    };
    pool.update_totals(&totals, NOW);
    let upstream = upstream_of(pool.choose(&criteria(Some(1)), &State::default(), NOW)).unwrap();
    assert_eq!(&*upstream, "u01");
    pool.begin(&upstream, Demand::default(), NOW);
    assert_eq!(
        pool.choose(&criteria(Some(1)), &State::default(), NOW),
        Choice::Full
    );
}

/// An upstream with a higher failure rate than the others gets no requests.
#[test]
fn an_upstream_that_fails_more_than_others_is_avoided() {
    let mut pool = pool(1, &warm_upstreams(4));
    for number in 0..4 {
        for _ in 0..10 {
            let upstream = format!("u{number:02}");
            pool.begin(&upstream, Demand::default(), NOW);
            let is_failing = number == 2;
            let outcome = if is_failing {
                Outcome::Failed
            } else {
                Outcome::Good
            };
            pool.end(&upstream, Demand::default(), outcome, NOW);
        }
    }
    for affinity in 0..100 {
        let upstream =
            upstream_of(pool.choose(&criteria(Some(mix(affinity))), &State::default(), NOW));
        assert_ne!(upstream.as_deref(), Some("u02"));
    }
}

/// An upstream that accepts no connection is avoided with exponential backoff, unless it restarts or
/// is reachable again.
#[test]
fn failed_connections_cause_exponential_backoff() {
    let mut all = warm_upstreams(1);
    let mut pool = pool(1, &all);
    let mut now = NOW;
    let is_chosen = |pool: &Pool, now| {
        upstream_of(pool.choose(&criteria(None), &State::default(), now)).is_some()
    };
    for intervals in [1, 2, 4, 8, 8] {
        pool.connect_failed("u00", 1, Failure::Refused, now);
        assert!(!is_chosen(&pool, now));
        now = now + INTERVAL.times(intervals) - Span::from_millis(1);
        pool.update(all.entries(), now);
        assert!(!is_chosen(&pool, now), "after {intervals} intervals");
        now += Span::from_millis(1);
        assert!(is_chosen(&pool, now), "after {intervals} intervals");
    }
    pool.connected("u00", now);
    pool.connect_failed("u00", 1, Failure::Refused, now);
    assert!(is_chosen(&pool, now + INTERVAL), "a connection succeeded");
    let mut restarted = announcement(0, "v1", Span::ZERO);
    restarted.incarnation = 2;
    all.merge(
        Record {
            announcement: restarted,
            age: Span::ZERO,
            silent: false,
            limit: None,
        },
        now,
    );
    pool.update(all.entries(), now);
    assert!(is_chosen(&pool, now), "a later incarnation");
    pool.connect_failed("u00", 1, Failure::Refused, now);
    assert!(
        is_chosen(&pool, now),
        "a failure of the previous incarnation"
    );
}

/// Guards against a burst of requests to an upstream that has just started again and whose new
/// incarnation is not listed yet, as in seeds 1010 and 2301 of the soak.
#[test]
fn an_upstream_that_refused_a_connection_counts_as_cold_until_it_is_listed_again() {
    let all = warm_upstreams(1);
    let mut pool = pool(1, &all);
    let totals = Totals {
        instances: 1,
        domain_instances: vec![1],
        ..Totals::default()
    };
    pool.update_totals(&totals, NOW);
    pool.connect_failed("u00", 1, Failure::Refused, NOW);
    let sent = |pool: &mut Pool, now| {
        let choose = |pool: &Pool| pool.choose(&criteria(None), &State::default(), now);
        let mut sent = 0;
        while sent < 20 && matches!(choose(pool), Choice::Upstream(_)) {
            pool.connected("u00", now);
            pool.begin("u00", Demand::default(), now);
            pool.end("u00", Demand::default(), Outcome::Good, now);
            sent += 1;
        }
        sent
    };
    let back = NOW + INTERVAL;
    assert_eq!(sent(&mut pool, back), 1);
    assert_eq!(sent(&mut pool, back + Span::from_millis(300)), 0);
    assert_eq!(sent(&mut pool, back + INTERVAL), 1);
    assert_eq!(
        sent(&mut pool, back + INTERVAL.times(2)),
        20,
        "it has announced itself since"
    );
    let later = back + INTERVAL.times(4);
    pool.connect_failed("u00", 1, Failure::Unresponsive, later);
    pool.connected("u00", later);
    assert_eq!(sent(&mut pool, later), 20, "only its link was broken");
}

/// Guards against new requests to an upstream that sends no announcements any more.
#[test]
fn silent_upstreams_get_no_requests() {
    let mut all = warm_upstreams(1);
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
        Choice::Full | Choice::Limited(_) | Choice::Backoff(_) | Choice::Unavailable => None,
    }
}

/// Under low load requests stay in their own failure domain.
#[test]
fn requests_stay_in_their_failure_domain_while_it_has_capacity() {
    let pool = pool(1, &warm_upstreams(20));
    for affinity in 0..200 {
        let choice = pool.choose(&criteria(Some(mix(affinity))), &State::default(), NOW);
        assert_eq!(domain_of(choice).as_deref(), Some("a"));
    }
    assert!(pool.spillover_services().is_empty());
}

/// Long prefixes that clients of all failure domains share are processed by one engine each. A
/// partitioned failure domain is avoided after two unresponsive connections.
#[test]
fn a_long_prefix_goes_to_one_upstream_from_all_failure_domains() {
    let all = warm_upstreams(40);
    let mut one = pool(1, &all);
    let mut other = Pool::new("b".into(), 2, INTERVAL);
    other.update(all.entries(), NOW);
    let long = |affinity| Criteria {
        shared_tokens: 5_000,
        ..criteria(Some(mix(affinity)))
    };
    let mut remote = 0;
    for affinity in 0..200 {
        let first = one.choose(&long(affinity), &State::default(), NOW);
        assert_eq!(first, other.choose(&long(affinity), &State::default(), NOW));
        remote += u32::from(domain_of(first).as_deref() == Some("b"));
    }
    assert!((70..=130).contains(&remote), "{remote} of 200");
    one.connect_failed("u01", 1, Failure::Unresponsive, NOW);
    one.connect_failed("u03", 1, Failure::Unresponsive, NOW);
    for affinity in 0..200 {
        let choice = one.choose(&long(affinity), &State::default(), NOW);
        assert_eq!(domain_of(choice).as_deref(), Some("a"));
    }
    one.connected("u05", NOW);
    let remote = (0..200).filter(|affinity| {
        let choice = one.choose(&long(*affinity), &State::default(), NOW);
        domain_of(choice).as_deref() == Some("b")
    });
    assert!(remote.count() >= 60, "it is reachable again");
}

/// Guards against connection attempts to every upstream of a partitioned failure domain in a small
/// deployment. After each backoff the failure domain is tried again.
#[test]
fn a_partitioned_failure_domain_is_avoided_as_a_whole() {
    let all = warm_upstreams(6);
    let choose = |pool: &Pool, affinity, now| {
        domain_of(pool.choose(&criteria(Some(mix(affinity))), &State::default(), now))
    };
    let mut pool = pool(1, &all);
    let remote = |pool: &Pool, now| {
        let domains = (0..100).map(|s| choose(pool, s, now));
        domains.filter(|d| d.as_deref() == Some("b")).count()
    };
    assert!(remote(&pool, NOW) > 30);
    pool.connect_failed("u01", 1, Failure::Unresponsive, NOW);
    assert!(remote(&pool, NOW) > 20, "a single upstream may have ended");
    pool.connect_failed("u03", 1, Failure::Refused, NOW);
    assert!(remote(&pool, NOW) > 0, "its host responds");
    pool.connect_failed("u05", 1, Failure::Unresponsive, NOW);
    assert_eq!(remote(&pool, NOW), 0);
    let mut now = NOW + INTERVAL;
    assert!(remote(&pool, now) > 0, "tried again");
    pool.connect_failed("u03", 1, Failure::Unresponsive, now);
    assert_eq!(remote(&pool, now + INTERVAL), 0, "the backoff has doubled");
    now += INTERVAL.times(2);
    pool.connected("u01", NOW);
    assert!(remote(&pool, now) > 30, "the partition has ended");
}

/// One failure domain has much more traffic than the others: it requests the loads of all failure
/// domains before its requests spill over to those with spare capacity.
#[test]
fn requests_spill_over_from_a_failure_domain_that_fills_up() {
    let mut pool = pool(1, &warm_upstreams(20));
    let mut remote = 0;
    let mut spillover_at = None;
    for affinity in 0..120 {
        let choice = pool.choose(&criteria(Some(mix(affinity))), &State::default(), NOW);
        let Choice::Upstream(target) = choice else {
            panic!("no upstream was chosen");
        };
        let is_remote = &*target.domain == "b";
        remote += u32::from(is_remote);
        if !pool.spillover_services().is_empty() {
            spillover_at = spillover_at.or(Some(affinity));
        }
        assert!(
            !is_remote || spillover_at.is_some(),
            "spilled over without the loads"
        );
        pool.begin(&target.upstream, Demand::default(), NOW);
    }
    assert!((30..=60).contains(&remote), "{remote} of 120");
}

/// All upstreams of the local failure domain have ended: the others take over immediately.
#[test]
fn requests_go_to_other_failure_domains_without_local_upstreams() {
    let mut all = warm_upstreams(20);
    for number in (0..20).step_by(2) {
        all.mark_leaving(&format!("u{number:02}"), None);
    }
    let pool = pool(1, &all);
    let choice = pool.choose(&criteria(Some(1)), &State::default(), NOW);
    assert_eq!(domain_of(choice).as_deref(), Some("b"));
    assert_eq!(pool.spillover_services().len(), 1);
}

/// A partition hides a third of 300 instances: the visible ones must not take over the share of the
/// hidden ones, neither of the retry budget nor of cold starts.
#[test]
fn hidden_instances_keep_their_share_of_the_limits() {
    let cold = directory([announcement(0, "v1", Span::from_secs(60))]);
    let totals = |instances: u64| Totals {
        instances,
        domain_instances: (1..=instances).collect(),
        ..Totals::default()
    };
    let may_send = |pool: &Pool, now| {
        upstream_of(pool.choose(&criteria(None), &State::default(), now)).is_some()
    };
    let mut senders = 0;
    for instance in 1..=300 {
        let mut pool = pool(instance, &cold);
        pool.update_totals(&totals(300), NOW);
        let before = may_send(&pool, NOW);
        let later = NOW + Span::from_secs(5);
        pool.update_totals(&totals(200), later);
        assert_eq!(pool.instances(), 300);
        assert_eq!(may_send(&pool, later), before);
        senders += usize::from(before);
        let much_later = NOW + Span::from_secs(16);
        pool.update_totals(&totals(200), much_later);
        assert_eq!(pool.instances(), 200, "the listing has expired");
    }
    assert_eq!(senders, 10);
}

/// Instances of other failure domains send nothing to an upstream in its cold start, because those of
/// its own use its whole rate.
#[test]
fn a_cold_upstream_gets_requests_only_from_its_failure_domain() {
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

fn rollout(permille: u16, phase: RolloutPhase) -> State {
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

/// During a rollout the new version gets exactly the requests whose draw is below its replicated
/// share.
#[test]
fn the_canary_gets_its_share() {
    let all =
        directory((0..8).map(|n| announcement(n, if n < 4 { "v1" } else { "v2" }, Span::ZERO)));
    let pool = pool(1, &all);
    let state = rollout(50, RolloutPhase::InProgress);
    for draw in 0..1_000 {
        let criteria = Criteria {
            draw,
            ..criteria(Some(u64::from(draw)))
        };
        let upstream = upstream_of(pool.choose(&criteria, &state, NOW)).unwrap();
        assert_eq!(*upstream >= *"u04", draw < 50, "draw {draw} at {upstream}");
    }
    let ended = rollout(0, RolloutPhase::Reverted);
    let upstream = upstream_of(pool.choose(&criteria(Some(1)), &ended, NOW)).unwrap();
    assert!(*upstream < *"u04");
}

/// Even without upstreams of the old version, its requests don't go to the canary.
#[test]
fn stable_requests_never_go_to_the_canary() {
    let all = directory((0..4).map(|n| announcement(n, "v2", Span::ZERO)));
    let pool = pool(1, &all);
    let state = rollout(50, RolloutPhase::InProgress);
    assert_eq!(
        pool.choose(&criteria(Some(1)), &state, NOW),
        Choice::Unavailable
    );
}

/// Guards against requests to a failure domain that was taken out of service.
#[test]
fn a_failure_domain_out_of_service_gets_no_requests() {
    let pool = pool(1, &warm_upstreams(6));
    let mut state = State::default();
    state.apply(Command::TakeOut("a".into()));
    for affinity in 0..100 {
        let choice = pool.choose(&criteria(Some(mix(affinity))), &state, NOW);
        let Choice::Upstream(target) = choice else {
            panic!("no upstream was chosen");
        };
        assert_eq!(&*target.domain, "b");
    }
}

/// A service sheds load: its upstreams request a backoff one after the other. The result reports the
/// shortest remaining backoff.
#[test]
fn upstreams_get_no_requests_during_their_backoff() {
    let mut pool = pool(1, &warm_upstreams(3));
    let state = State::default();
    for backoffs in [[3, 1, 2], [1, 1, 1]] {
        for secs in backoffs {
            let Choice::Upstream(target) = pool.choose(&criteria(None), &state, NOW) else {
                continue;
            };
            pool.back_off(&target, Span::from_secs(secs), NOW);
            assert!(!pool.is_current(&target.upstream, target.incarnation, NOW));
        }
    }
    let choice = pool.choose(&criteria(None), &state, NOW);
    assert_eq!(choice, Choice::Backoff(Span::from_secs(1)));
    let later = NOW + Span::from_secs(1);
    assert!(upstream_of(pool.choose(&criteria(None), &state, later)).is_some());
}

/// A leave notice in an answer holds whatever the control instances list, until the upstream
/// restarts.
#[test]
fn an_upstream_gets_no_requests_after_its_leave_notice() {
    let mut pool = pool(1, &warm_upstreams(1));
    let state = State::default();
    let Choice::Upstream(target) = pool.choose(&criteria(None), &state, NOW) else {
        panic!("no upstream was chosen");
    };
    assert!(pool.mark_leaving(&target, NOW));
    pool.update(warm_upstreams(1).entries(), NOW);
    assert_eq!(
        pool.choose(&criteria(None), &state, NOW),
        Choice::Unavailable
    );
    assert!(!pool.is_current(&target.upstream, target.incarnation, NOW));
    pool.update(&[], NOW);
    pool.update(warm_upstreams(1).entries(), NOW + Span::from_secs(60));
    assert_eq!(
        pool.choose(&criteria(None), &state, NOW),
        Choice::Unavailable
    );
}

/// The pending prefill of an upstream includes the prompts of all instances until their answers
/// start.
#[test]
fn prefill_is_pending_until_the_answer_starts() {
    let mut pool = pool(1, &warm_upstreams(1));
    let upstream = upstream_of(pool.choose(&criteria(Some(7)), &State::default(), NOW)).unwrap();
    let demand = Demand {
        tokens: 1_000,
        work: 4_000,
        prefill: 900,
    };
    pool.begin(&upstream, demand, NOW);
    pool.begin(&upstream, demand, NOW);
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
    pool.finish_prefill(&upstream, demand);
    assert_eq!(pool.pending_prefill(&upstream), 5_900);
    assert_eq!(
        pool.loads(NOW)[0].prefill,
        900,
        "only this instance's part is reported"
    );
    pool.end(&upstream, demand, Outcome::Good, NOW);
    assert_eq!(
        pool.pending_prefill(&upstream),
        5_900,
        "its prefill was already complete"
    );
}

/// Guards against spare capacity that is counted at upstreams that take no requests, or at those of
/// other failure domains, whose loads may be unknown.
#[test]
fn utilization_counts_the_slots_of_usable_upstreams() {
    let directory = warm_upstreams(8);
    let mut pool = pool(1, &directory);
    let state = State::default();
    assert!(pool.utilization("engines", &state, NOW) <= 0.0);
    assert!(pool.utilization("other", &state, NOW) >= 1.0);
    let Choice::Upstream(target) = pool.choose(&criteria(Some(1)), &state, NOW) else {
        panic!("there is room");
    };
    pool.begin(&target.upstream, Demand::default(), NOW);
    // Four local upstreams have eight slots each.
    let is_close = |a: f64, b: f64| (a - b).abs() < 1e-9;
    assert!(is_close(
        pool.utilization("engines", &state, NOW),
        1.0 / 32.0
    ));
    for _ in 0..3 {
        pool.begin("u01", Demand::default(), NOW);
    }
    assert!(is_close(
        pool.utilization("engines", &state, NOW),
        1.0 / 32.0
    ));
    let mut without_local = State::default();
    without_local.apply(Command::TakeOut("a".into()));
    assert!(is_close(
        pool.utilization("engines", &without_local, NOW),
        3.0 / 32.0
    ));
    // Too few local upstreams are left, so those of both failure domains count.
    pool.mark_leaving(&target, NOW);
    assert!(is_close(
        pool.utilization("engines", &state, NOW),
        3.0 / 56.0
    ));
}

/// Guards against a crash that is missed because the next process has another name, and against a
/// planned end that is taken for a crash.
#[test]
fn a_later_process_at_the_same_address_replaces_one_that_has_not_left() {
    let old = announcement(1, "v1", Span::ZERO);
    let next = Announcement {
        upstream: "next".into(),
        incarnation: 2,
        ..old.clone()
    };
    let elsewhere = Announcement {
        address: "10.0.0.9:80".into(),
        ..next.clone()
    };
    let process = Process {
        upstream: old.upstream.clone(),
        incarnation: old.incarnation,
        address: old.address.clone(),
    };
    let is_replaced = |directory: &Directory| pool(1, directory).is_replaced(&process);
    assert!(!is_replaced(&directory([old.clone()])));
    assert!(!is_replaced(&directory([old.clone(), elsewhere])));
    assert!(is_replaced(&directory([next.clone()])));
    // A late announcement of an earlier process shows nothing.
    let earlier = Announcement {
        upstream: "earlier".into(),
        incarnation: 0,
        ..old.clone()
    };
    assert!(!is_replaced(&directory([earlier])));
    let mut leaving = pool(1, &directory([old]));
    let target = leaving.target("u01", 1).unwrap();
    leaving.mark_leaving(&target, NOW);
    leaving.update(directory([next]).entries(), NOW);
    assert!(!leaving.is_replaced(&process));
}
