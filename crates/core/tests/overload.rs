//! Decisions under load: cascade, retry budget, rollout and reports.

use std::sync::Arc;

use masticlock_core::{
    canary,
    cascade::{self, Answer, Pressure},
    forecast::Forecast,
    replicated::{Phase, Rollout},
    report::{Aggregator, Load, Report, Suspect, VersionStats},
    retry_after::{self, Cause},
    retry_budget::Budget,
    time::{Span, Time},
};

const NOW: Time = Time::from_millis(1_000_000);
const WINDOW: Span = Span::from_secs(10);

fn answer(confidence: u8, pressure: f64) -> Answer {
    Answer {
        confidence: Some(confidence),
        level: 0,
        models: 3,
        pressure,
    }
}

#[test]
fn an_answer_without_confidence_goes_to_the_largest_model_while_there_is_room() {
    assert_eq!(cascade::escalation(&answer(10, 0.02)), Some(2));
    assert_eq!(cascade::escalation(&answer(90, 0.02)), None);
    let silent = Answer {
        confidence: None,
        ..answer(0, 0.0)
    };
    assert_eq!(cascade::escalation(&silent), None);
    let largest = Answer {
        level: 2,
        ..answer(0, 0.0)
    };
    assert_eq!(cascade::escalation(&largest), None);
}

/// Upstreams that are busy, though not late: the largest model would take the time of several
/// requests, and keeping every doubtful answer would lose most of their worth.
#[test]
fn the_least_sure_answers_go_to_the_largest_model_under_load() {
    assert_eq!(cascade::escalation(&answer(45, 0.02)), Some(2));
    assert_eq!(cascade::escalation(&answer(30, 0.2)), Some(2));
    assert_eq!(cascade::escalation(&answer(45, 0.2)), None);
    assert_eq!(cascade::escalation(&answer(30, 0.3)), None);
    assert_eq!(
        cascade::escalation(&answer(1, 0.5)),
        None,
        "every answer is kept"
    );
    let second = Answer {
        level: 1,
        ..answer(1, 0.02)
    };
    assert_eq!(cascade::escalation(&second), None, "two runs at most");
    let two = Answer {
        models: 2,
        ..answer(30, 0.2)
    };
    assert_eq!(cascade::escalation(&two), Some(1));
}

/// Two failure domains are gone and what is left reads 60,000 weighted tokens: a short question with
/// an answer in hand would wait for 3 s of its 2 s. On a calm upstream the larger model is asked.
#[test]
fn an_answer_in_hand_is_not_dropped_for_one_that_comes_too_late() {
    let service: Arc<str> = "engines".into();
    let objective = Span::from_secs(2);
    let mut forecast = Forecast::default();
    let mut now = NOW;
    for _ in 0..100 {
        now += Span::from_millis(40);
        forecast.observe(&service, 1_000, Span::from_millis(55), now);
    }
    let begin = |unread: u64| {
        let waited = Span::from_millis(30);
        waited.plus(forecast.time_to_first_token(&service, unread + 1_800))
    };
    assert!(begin(60_000) > objective, "{:?}", begin(60_000));
    assert!(!cascade::is_timely(begin(60_000), objective));
    assert!(cascade::is_timely(begin(0), objective));
}

/// Upstreams become three times as slow, as in a cold start or with many streams beside: the
/// forecast follows within seconds, and before the first answer it assumes nothing.
#[test]
fn the_forecast_follows_the_speed_of_the_upstreams() {
    let service: Arc<str> = "engines".into();
    let mut forecast = Forecast::default();
    assert_eq!(forecast.time_to_first_token(&service, 50_000), Span::ZERO);
    let mut now = NOW;
    let mut after = |took: u64, times: u32| {
        for _ in 0..times {
            now += Span::from_millis(100);
            forecast.observe(&service, 2_000, Span::from_millis(took), now);
        }
        forecast.time_to_first_token(&service, 20_000).as_millis()
    };
    let usual = after(100, 100);
    assert!((900..=1_000).contains(&usual), "{usual}");
    let slow = after(300, 100);
    assert!((2_400..=3_000).contains(&slow), "{slow}");
    let again = after(100, 150);
    assert!((900..=1_200).contains(&again), "{again}");
}

/// Returns how many of the confidences from 0 to 99 are enough to keep an answer.
fn kept(pressure: &Pressure, service: &Arc<str>, now: Time) -> usize {
    let pressure = pressure.of(service, now);
    let kept = |c: &u8| cascade::escalation(&answer(*c, pressure)).is_none();
    (0..100).filter(kept).count()
}

/// A burst after a loss of power: first events come later and later.
#[test]
fn the_bar_sinks_as_first_events_come_later_and_rises_again() {
    let service: Arc<str> = "engines".into();
    let objective = Span::from_secs(4);
    let mut pressure = Pressure::default();
    let mut now = NOW;
    let calm = kept(&pressure, &service, now);
    let mut last = calm;
    for _ in 0..60 {
        now += Span::from_millis(20);
        pressure.observe(&service, Span::from_millis(3_000), objective, now);
        let kept = kept(&pressure, &service, now);
        assert!(kept >= last);
        last = kept;
    }
    assert_eq!(last, 100, "every answer is kept");
    for _ in 0..200 {
        now += Span::from_millis(20);
        pressure.observe(&service, Span::from_millis(100), objective, now);
    }
    assert_eq!(kept(&pressure, &service, now), calm);
}

/// An instance among many with two requests a second: after a burst its own answers are too few to
/// tell soon that the upstreams are fast again.
#[test]
fn the_bar_rises_with_time_where_requests_are_few() {
    let service: Arc<str> = "engines".into();
    let objective = Span::from_secs(4);
    let mut pressure = Pressure::default();
    let mut now = NOW;
    let calm = kept(&pressure, &service, now);
    for _ in 0..8 {
        now += Span::from_millis(100);
        pressure.observe(&service, Span::from_millis(3_000), objective, now);
    }
    assert_eq!(kept(&pressure, &service, now), 100);
    for _ in 0..5 {
        now += Span::from_millis(500);
        pressure.observe(&service, Span::from_millis(100), objective, now);
    }
    assert_eq!(kept(&pressure, &service, now), calm);
}

/// Eight instances in a storm of failures: the sum stays within the service's budget in every
/// window, and a calm instance may still repeat.
#[test]
fn repeats_of_all_instances_stay_within_the_budget() {
    let (ratio, extra) = (0.9, 56.0);
    let mut budgets = vec![Budget::new(ratio, extra, WINDOW); 8];
    let mut events = Vec::new();
    for step in 0..6_000_u64 {
        let now = NOW + Span::from_millis(step * 5);
        for (at, budget) in budgets.iter_mut().enumerate() {
            budget.set_instances(8);
            // Uneven instances, in bursts; each request wants three repeats.
            if (step / 200 + at as u64).is_multiple_of(2) && step.is_multiple_of(4 + at as u64) {
                budget.deposit(now);
                let repeats = (0..3).filter(|_| budget.withdraw(now)).count();
                events.push((now, repeats));
            }
        }
    }
    for (start, _) in events.iter().step_by(7) {
        let within = |e: &&(Time, usize)| e.0 >= *start && e.0.since(*start) < WINDOW;
        let inside: Vec<_> = events.iter().filter(within).collect();
        let repeats: usize = inside.iter().map(|e| e.1).sum();
        #[expect(clippy::cast_precision_loss)]
        let (repeats, allowed) = (repeats as f64, inside.len() as f64 * ratio + extra);
        assert!(repeats <= allowed, "{repeats} of {allowed}");
    }
    let mut calm = Budget::new(ratio, extra, WINDOW);
    calm.set_instances(8);
    calm.deposit(NOW);
    assert!(calm.withdraw(NOW));
}

/// Larger models leave repeats to requests that failed.
#[test]
fn optional_repeats_leave_the_rest_of_the_budget() {
    let mut budget = Budget::new(0.9, 56.0, WINDOW);
    budget.set_instances(8);
    for _ in 0..100 {
        budget.deposit(NOW);
    }
    let optional = (0..200).filter(|_| budget.withdraw_optional(NOW)).count();
    assert!((55..=70).contains(&optional), "{optional}");
    let rest = (0..200).filter(|_| budget.withdraw(NOW)).count();
    assert!(rest >= 8, "{rest} are left for failures");
}

/// Power returns and 300 callers are refused in the same instant: they don't come back together,
/// and each has time left to be served.
#[test]
fn callers_that_are_refused_together_come_back_one_after_the_other() {
    for cause in [Cause::Full, Cause::Unavailable, Cause::Stale] {
        let left = Span::from_secs(20);
        let mut times: Vec<_> = (0..300)
            .map(|caller| retry_after::delay(cause, left, caller).as_millis())
            .collect();
        times.sort_unstable();
        let span = times[299] - times[0];
        let most = times.iter().map(|start| {
            times
                .iter()
                .filter(|t| (*start..start + span / 10).contains(t))
                .count()
        });
        let most = most.max().unwrap();
        assert!(most <= 60, "{most} of 300 in a tenth of the time");
    }
}

/// Callers with different deadlines: nobody is told to come back when too little time is left.
#[test]
fn callers_with_little_time_left_come_back_first() {
    for cause in [Cause::Full, Cause::Unavailable, Cause::Stale] {
        for draw in 0..100 {
            let times = [300, 1_500, 5_000, 20_000].map(|left| {
                let left = Span::from_millis(left);
                let after = retry_after::delay(cause, left, draw);
                assert!(after.as_millis() <= left.as_millis() / 3);
                after
            });
            assert!(times.is_sorted(), "{times:?}");
        }
        assert_eq!(retry_after::delay(cause, Span::ZERO, 1), Span::ZERO);
    }
}

fn rollout(permille: u16) -> Rollout {
    Rollout {
        service: "engines".into(),
        target: "v2".into(),
        began_ms: 10_000,
        duration_ms: 24_000,
        permille,
        phase: Phase::InProgress,
    }
}

fn trial(ok: u64, failed: u64, slow: u64, running: u64) -> VersionStats {
    VersionStats {
        ok,
        failed,
        slow,
        running,
        ..VersionStats::default()
    }
}

#[test]
fn a_bad_version_is_reverted_after_few_requests() {
    let old = trial(700, 10, 7, 90);
    for new in [trial(6, 6, 0, 2), trial(12, 0, 11, 2)] {
        let step = canary::step(&rollout(50), &new, &old, 14_000).unwrap();
        assert_eq!(step.phase, Phase::Reverted);
    }
    for new in [trial(30, 1, 0, 2), trial(30, 0, 2, 2), trial(0, 2, 0, 1)] {
        assert_eq!(canary::step(&rollout(50), &new, &old, 14_000), None);
    }
}

#[test]
fn a_good_version_gets_all_requests_late_and_is_completed_before_the_deadline() {
    let (new, old) = (trial(60, 1, 0, 4), trial(900, 10, 9, 80));
    let mut current = rollout(0);
    let mut phases = Vec::new();
    for now in (10_000..34_000).step_by(200) {
        let running = if current.permille == 1_000 && now > 31_000 {
            0
        } else {
            80
        };
        let old = VersionStats {
            running,
            ..old.clone()
        };
        if let Some(step) = canary::step(&current, &new, &old, now) {
            (current.permille, current.phase) = (step.permille, step.phase);
            phases.push((now, step.permille, step.phase));
        }
    }
    let shares: Vec<_> = phases.iter().map(|p| p.1).collect();
    assert_eq!(shares, [80, 1_000, 1_000]);
    assert!(
        phases[0].0 >= 22_000,
        "sessions keep their version in the first half: {phases:?}"
    );
    assert!(phases[1].0 >= 28_000, "{phases:?}");
    let (last, _, phase) = phases[2];
    assert!(last < 33_500 && phase == Phase::Completed);
}

/// Long streams never let the old version run dry, and the operator counts from the first of its
/// calls, of which the ones of the first second got no answer.
#[test]
fn a_rollout_whose_order_was_heard_late_is_completed_in_time() {
    let late = 1_500;
    let current = rollout(1_000);
    let (new, old) = (trial(300, 1, 0, 9), trial(900, 10, 9, 3));
    let steps = (28_000..34_000 - late).step_by(100);
    let completed = |now| {
        let step = canary::step(&current, &new, &old, now);
        step.is_some_and(|s| s.phase == Phase::Completed)
    };
    assert!(steps.into_iter().any(completed));
}

/// An instance was killed while it ran requests: the old version counts as drained without them.
#[test]
fn an_instance_that_is_gone_has_no_requests_under_way() {
    let mut aggregator = Aggregator::default();
    let mut gone = report(1, 1, 0);
    gone.stats[0].running = 7;
    aggregator.merge_report(gone, NOW);
    let later = NOW + Span::from_secs(4);
    let mut present = report(2, 1, 0);
    present.stats[0].running = 2;
    aggregator.merge_report(present, later);
    let seen = aggregator.version_stats("engines", "v2", later);
    assert_eq!((seen.ok, seen.running), (10, 2));
    let mut other = Aggregator::default();
    other.merge_summary(aggregator.summary(9, later), later);
    let seen = other.version_stats("engines", "v2", later);
    assert_eq!((seen.ok, seen.running), (10, 2));
}

#[test]
fn a_version_that_hardly_ran_is_reverted_at_the_end() {
    let step = canary::step(
        &rollout(50),
        &trial(2, 0, 0, 0),
        &trial(500, 0, 0, 9),
        33_500,
    );
    assert_eq!(step.unwrap().phase, Phase::Reverted);
}

fn report(instance: u64, sequence: u64, running: u32) -> Report {
    Report {
        instance,
        domain: if instance < 10 { "a" } else { "b" }.into(),
        sequence,
        loads: vec![Load {
            upstream: "u".into(),
            running,
            ..Load::default()
        }],
        stats: vec![VersionStats {
            service: "engines".into(),
            version: "v2".into(),
            ok: 5,
            ..VersionStats::default()
        }],
        suspects: vec![Suspect {
            fingerprint: 42,
            crashes: 1,
        }],
        departures: Vec::new(),
    }
}

#[test]
fn reports_replace_each_other_and_are_never_counted_twice() {
    let mut aggregator = Aggregator::default();
    let mut other = Aggregator::default();
    aggregator.merge_report(report(1, 1, 3), NOW);
    other.merge_report(report(2, 1, 4), NOW);
    aggregator.merge_summary(other.summary(77, NOW), NOW);
    aggregator.merge_summary(other.summary(77, NOW), NOW);
    aggregator.merge_report(report(1, 2, 5), NOW);
    aggregator.merge_report(report(1, 1, 9), NOW);
    let totals = aggregator.totals(9, NOW, |_| true);
    assert_eq!(totals.loads[0].running, 9);
    assert_eq!(totals.suspects[0].crashes, 2);
    assert_eq!(totals.instances, 2);
    let own = aggregator.totals(1, NOW, |_| true);
    assert_eq!(own.loads[0].running, 4, "without its own");
    assert_eq!(own.suspects[0].crashes, 1, "without its own");
    assert_eq!(aggregator.version_stats("engines", "v2", NOW).ok, 10);
    assert_eq!(aggregator.baseline_stats("engines", "v3", NOW).ok, 10);
    assert_eq!(
        aggregator.summary(78, NOW).sources.len(),
        1,
        "only its own is passed on"
    );
    let later = NOW + Span::from_secs(4);
    assert_eq!(
        aggregator.totals(9, later, |_| true).instances,
        0,
        "silent instances don't count"
    );
}

/// Hundreds of instances leave a control instance that has ended or was cut off: for some seconds
/// both it and the next one hold their reports.
#[test]
fn an_instance_that_moves_to_another_control_instance_counts_once() {
    let (mut old, mut new) = (Aggregator::default(), Aggregator::default());
    old.merge_report(report(1, 4, 3), NOW);
    new.merge_report(report(1, 5, 3), NOW);
    new.merge_summary(old.summary(7, NOW), NOW);
    // Evidence is counted by instance even before the old one has heard of the move.
    assert_eq!(new.totals(9, NOW, |_| true).suspects[0].crashes, 1);
    old.merge_summary(new.summary(8, NOW), NOW);
    new.merge_summary(old.summary(7, NOW), NOW);
    let later = NOW + Span::from_millis(100);
    for aggregator in [&mut old, &mut new] {
        let totals = aggregator.totals(9, later, |_| true);
        assert_eq!(totals.loads[0].running, 3);
        assert_eq!(totals.instances, 1);
        assert_eq!(aggregator.version_stats("engines", "v2", later).ok, 5);
    }
}

/// 300 instances in six failure domains: an instance learns of the work in its own one and of the
/// services that it names, and of the other instances only how many there are.
#[test]
fn an_instance_learns_no_more_than_its_failure_domain_needs() {
    let mut aggregator = Aggregator::default();
    let mut other = Aggregator::default();
    aggregator.merge_report(report(1, 1, 2), NOW);
    aggregator.merge_report(report(2, 1, 3), NOW);
    for instance in 10..300 {
        other.merge_report(report(instance, 1, 0), NOW);
    }
    aggregator.merge_summary(other.summary(7, NOW), NOW);
    let totals = aggregator.totals(1, NOW, |upstream| upstream != "u");
    assert!(totals.loads.is_empty());
    assert_eq!(totals.domain_instances, [1, 2]);
    assert_eq!(totals.instances, 292);
    aggregator.merge_report(report(1, 2, 30), NOW + Span::from_secs(1));
    let totals = aggregator.totals(2, NOW + Span::from_secs(1), |upstream| upstream != "u");
    assert_eq!(totals.loads.len(), 1, "a busy upstream is known to all");
}

/// Every upstream of a service has asked for quiet: nobody comes back before the first is open.
#[test]
fn callers_come_back_after_the_quiet_that_upstreams_asked_for() {
    let rest = Span::from_millis(2_400);
    let mut times: Vec<_> = (0..100)
        .map(|caller| retry_after::delay(Cause::Backoff(rest), Span::from_secs(20), caller))
        .collect();
    times.sort_unstable();
    assert!(times[0] >= rest && times[99] <= Span::from_millis(3_600));
    assert!(times[99].minus(times[0]) > Span::from_secs(1));
    let short = retry_after::delay(Cause::Backoff(rest), Span::from_secs(3), 1);
    assert!(short <= Span::from_secs(1), "a third of the time left");
}
