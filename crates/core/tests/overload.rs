//! Decisions under load: cascade, retry budget, retry-after times, canary analysis and reports.

use std::sync::Arc;

use masticlock_core::{
    canary,
    cascade::{self, Answer, Pressure},
    forecast::Forecast,
    replicated::{Phase, Rollout},
    report::{Aggregator, Load, Report, VersionStats},
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
        contention: None,
    }
}

/// Guards against escalation of answers that are confident, have no confidence or come from the
/// largest model, and against unsure answers that are kept although the load is low.
#[test]
fn an_unsure_answer_goes_to_the_largest_model_under_low_load() {
    assert_eq!(cascade::escalation(&answer(10, 0.02)), Some(2));
    assert_eq!(cascade::escalation(&answer(90, 0.02)), None);
    let unrated = Answer {
        confidence: None,
        ..answer(0, 0.0)
    };
    assert_eq!(cascade::escalation(&unrated), None);
    let largest = Answer {
        level: 2,
        ..answer(0, 0.0)
    };
    assert_eq!(cascade::escalation(&largest), None);
}

/// The upstreams are busy but not late: the largest model takes the time of several requests, so only
/// the least confident answers are escalated. Keeping all of them would lose most of their value.
#[test]
fn only_the_least_confident_answers_are_escalated_under_load() {
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
    assert_eq!(cascade::escalation(&second), None, "at most two runs");
    let two_models = Answer {
        models: 2,
        ..answer(30, 0.2)
    };
    assert_eq!(cascade::escalation(&two_models), Some(1));
}

/// Two failure domains have failed and the upstreams of the rest have 60,000 weighted tokens of pending
/// prefill: a larger model's answer would start after 3 s, with an objective of 2 s. The available
/// answer must be kept. On an idle upstream the larger model is asked.
#[test]
fn an_available_answer_is_not_dropped_for_a_late_one() {
    let service: Arc<str> = "engines".into();
    let objective = Span::from_secs(2);
    let mut forecast = Forecast::default();
    let mut now = NOW;
    for _ in 0..100 {
        now += Span::from_millis(40);
        forecast.observe(&service, 1_000, Span::from_millis(55), now);
    }
    let start = |prefill: u64| {
        let elapsed = Span::from_millis(30);
        elapsed.plus(forecast.time_to_first_token(&service, prefill + 1_800))
    };
    assert!(start(60_000) > objective, "{:?}", start(60_000));
    assert!(!cascade::is_timely(start(60_000), objective));
    assert!(cascade::is_timely(start(0), objective));
}

/// The upstreams become three times slower, as in a cold start or with many concurrent streams: the
/// forecast follows within seconds. Before the first answer it predicts no delay.
#[test]
fn the_forecast_follows_the_prefill_rate_of_the_upstreams() {
    let service: Arc<str> = "engines".into();
    let mut forecast = Forecast::default();
    assert_eq!(forecast.time_to_first_token(&service, 50_000), Span::ZERO);
    let mut now = NOW;
    let mut forecast_after = |took: u64, times: u32| {
        for _ in 0..times {
            now += Span::from_millis(100);
            forecast.observe(&service, 2_000, Span::from_millis(took), now);
        }
        forecast.time_to_first_token(&service, 20_000).as_millis()
    };
    let usual = forecast_after(100, 100);
    assert!((900..=1_000).contains(&usual), "{usual}");
    let slow = forecast_after(300, 100);
    assert!((2_400..=3_000).contains(&slow), "{slow}");
    let recovered = forecast_after(100, 150);
    assert!((900..=1_200).contains(&recovered), "{recovered}");
}

/// Short prompts whose answers take a fixed time, and few long ones: a forecast that charges the fixed
/// time to the tokens foretells more than the objective for a long prompt, which then never gets the
/// larger model's answer.
#[test]
fn a_fixed_time_of_each_answer_is_not_charged_to_the_tokens_of_a_long_prompt() {
    let service: Arc<str> = "engines".into();
    let objective = Span::from_secs(2);
    let mut forecast = Forecast::default();
    let (mut now, mut tokens, mut millis) = (NOW, 0, 0);
    for n in 0..100_u64 {
        now += Span::from_millis(100);
        let prefill = if n % 10 == 0 {
            8_000
        } else {
            200 + n % 7 * 100
        };
        let took = 60 + prefill / 50;
        (tokens, millis) = (tokens + prefill, millis + took);
        forecast.observe(&service, prefill, Span::from_millis(took), now);
    }
    let ratio = Span::from_millis(50_000 * millis / tokens);
    assert!(!cascade::is_timely(ratio, objective), "{ratio:?}");
    let start = forecast.time_to_first_token(&service, 50_000);
    assert!(cascade::is_timely(start, objective), "{start:?}");
    assert!(start > Span::from_millis(900), "{start:?}");
}

/// Returns the number of confidences from 0 to 99 with which an answer is kept.
fn kept_count(pressure: &Pressure, service: &Arc<str>, now: Time) -> usize {
    let pressure = pressure.of(service, now);
    let is_kept = |c: &u8| cascade::escalation(&answer(*c, pressure)).is_none();
    (0..100).filter(is_kept).count()
}

/// A burst after a power outage: while first events are late, the confidence threshold falls until
/// every answer is kept. It recovers with the latency.
#[test]
fn the_confidence_threshold_falls_with_late_first_events_and_recovers() {
    let service: Arc<str> = "engines".into();
    let objective = Span::from_secs(4);
    let mut pressure = Pressure::default();
    let mut now = NOW;
    let initial = kept_count(&pressure, &service, now);
    let mut last = initial;
    for _ in 0..60 {
        now += Span::from_millis(20);
        pressure.observe(&service, Span::from_millis(3_000), objective, now);
        let count = kept_count(&pressure, &service, now);
        assert!(count >= last);
        last = count;
    }
    assert_eq!(last, 100, "every answer is kept");
    for _ in 0..200 {
        now += Span::from_millis(20);
        pressure.observe(&service, Span::from_millis(100), objective, now);
    }
    assert_eq!(kept_count(&pressure, &service, now), initial);
}

/// An instance gets only two requests per second: after a burst its own answers are too few to show
/// soon that the upstreams have recovered, so the threshold must recover with time.
#[test]
fn the_confidence_threshold_recovers_with_time_under_few_requests() {
    let service: Arc<str> = "engines".into();
    let objective = Span::from_secs(4);
    let mut pressure = Pressure::default();
    let mut now = NOW;
    let initial = kept_count(&pressure, &service, now);
    for _ in 0..8 {
        now += Span::from_millis(100);
        pressure.observe(&service, Span::from_millis(3_000), objective, now);
    }
    assert_eq!(kept_count(&pressure, &service, now), 100);
    for _ in 0..5 {
        now += Span::from_millis(500);
        pressure.observe(&service, Span::from_millis(100), objective, now);
    }
    assert_eq!(kept_count(&pressure, &service, now), initial);
}

/// Guards against a retry storm: when most requests of eight instances fail, the sum of their retries
/// stays within the service's budget in every window. An instance with few requests may still retry.
#[test]
fn retries_of_all_instances_stay_within_the_budget() {
    let (ratio, extra) = (0.9, 56.0);
    let mut budgets = vec![Budget::new(ratio, extra, WINDOW); 8];
    let mut events = Vec::new();
    for step in 0..6_000_u64 {
        let now = NOW + Span::from_millis(step * 5);
        for (at, budget) in budgets.iter_mut().enumerate() {
            budget.set_instances(8);
            // The instances have uneven, bursty loads. Each request attempts three retries.
            if (step / 200 + at as u64).is_multiple_of(2) && step.is_multiple_of(4 + at as u64) {
                budget.deposit(now);
                let retries = (0..3).filter(|_| budget.withdraw(now)).count();
                events.push((now, retries));
            }
        }
    }
    for (start, _) in events.iter().step_by(7) {
        let is_within = |e: &&(Time, usize)| e.0 >= *start && e.0.since(*start) < WINDOW;
        let window: Vec<_> = events.iter().filter(is_within).collect();
        let retries: usize = window.iter().map(|e| e.1).sum();
        #[expect(clippy::cast_precision_loss)]
        let (retries, allowed) = (retries as f64, window.len() as f64 * ratio + extra);
        assert!(retries <= allowed, "{retries} of {allowed}");
    }
    let mut idle = Budget::new(ratio, extra, WINDOW);
    idle.set_instances(8);
    idle.deposit(NOW);
    assert!(idle.withdraw(NOW));
}

/// Guards against escalations to larger models that use up the budget for failed requests.
#[test]
fn optional_retries_leave_a_reserve_of_the_budget() {
    let mut budget = Budget::new(0.9, 56.0, WINDOW);
    budget.set_instances(8);
    for _ in 0..100 {
        budget.deposit(NOW);
    }
    let optional = (0..200).filter(|_| budget.withdraw_optional(NOW)).count();
    assert!((55..=70).contains(&optional), "{optional}");
    let rest = (0..200).filter(|_| budget.withdraw(NOW)).count();
    assert!(rest >= 8, "{rest} are left for failed requests");
}

/// Guards against a thundering herd: 300 callers that are refused at the same instant, as after a power
/// outage, must not retry together, and must have time left to be served.
#[test]
fn retry_times_of_callers_that_are_refused_together_are_spread() {
    for cause in [Cause::Full, Cause::Unavailable, Cause::Stale] {
        let left = Span::from_secs(20);
        let mut times: Vec<_> = (0..300)
            .map(|caller| retry_after::delay(cause, left, caller).as_millis())
            .collect();
        times.sort_unstable();
        let range = times[299] - times[0];
        let counts = times.iter().map(|start| {
            times
                .iter()
                .filter(|t| (*start..start + range / 10).contains(t))
                .count()
        });
        let most = counts.max().unwrap();
        assert!(most <= 60, "{most} of 300 in a tenth of the time");
    }
}

/// Guards against retry times that leave too little time until the deadline.
#[test]
fn callers_with_little_time_left_retry_first() {
    for cause in [Cause::Full, Cause::Unavailable, Cause::Stale] {
        for draw in 0..100 {
            let delays = [300, 1_500, 5_000, 20_000].map(|left| {
                let left = Span::from_millis(left);
                let delay = retry_after::delay(cause, left, draw);
                assert!(delay.as_millis() <= left.as_millis() / 3);
                delay
            });
            assert!(delays.is_sorted(), "{delays:?}");
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

fn stats(ok: u64, failed: u64, slow: u64, running: u64) -> VersionStats {
    VersionStats {
        ok,
        failed,
        slow,
        running,
        ..VersionStats::default()
    }
}

/// Guards against slow detection of a failing or slow version, and against reverts after one or two bad
/// answers.
#[test]
fn a_bad_version_is_reverted_after_few_requests() {
    let old = stats(700, 10, 7, 90);
    for new in [stats(6, 6, 0, 2), stats(12, 0, 11, 2)] {
        let step = canary::step(&rollout(50), &new, &old, 14_000).unwrap();
        assert_eq!(step.phase, Phase::Reverted);
    }
    for new in [stats(30, 1, 0, 2), stats(30, 0, 2, 2), stats(0, 2, 0, 1)] {
        assert_eq!(canary::step(&rollout(50), &new, &old, 14_000), None);
    }
}

/// Guards against early exposure to a new version and against a rollout that misses its deadline.
#[test]
fn a_good_version_gets_all_requests_late_and_is_completed_before_the_deadline() {
    let (new, old) = (stats(60, 1, 0, 4), stats(900, 10, 9, 80));
    let mut current = rollout(0);
    let mut steps = Vec::new();
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
            steps.push((now, step.permille, step.phase));
        }
    }
    let shares: Vec<_> = steps.iter().map(|s| s.1).collect();
    assert_eq!(shares, [80, 1_000, 1_000]);
    assert!(
        steps[0].0 >= 22_000,
        "sessions keep their version in the first half: {steps:?}"
    );
    assert!(steps[1].0 >= 28_000, "{steps:?}");
    let (last, _, phase) = steps[2];
    assert!(last < 33_500 && phase == Phase::Completed);
}

/// Long streams keep requests of the old version running until the end, and the command arrives late
/// because the operator's calls of the first second got no answer. The rollout must complete before
/// the deadline that the operator measures from its first call.
#[test]
fn a_rollout_whose_command_arrived_late_is_completed_in_time() {
    let delay = 1_500;
    let current = rollout(1_000);
    let (new, old) = (stats(300, 1, 0, 9), stats(900, 10, 9, 3));
    let steps = (28_000..34_000 - delay).step_by(100);
    let is_completed = |now| {
        let step = canary::step(&current, &new, &old, now);
        step.is_some_and(|s| s.phase == Phase::Completed)
    };
    assert!(steps.into_iter().any(is_completed));
}

/// An instance was killed while it ran requests: they must not delay the drain of the old version.
#[test]
fn an_instance_that_has_ended_has_no_running_requests() {
    let mut aggregator = Aggregator::default();
    let mut ended = report(1, 1, 0);
    ended.stats[0].running = 7;
    aggregator.merge_report(ended, NOW);
    let later = NOW + Span::from_secs(4);
    let mut present = report(2, 1, 0);
    present.stats[0].running = 2;
    aggregator.merge_report(present, later);
    let stats = aggregator.version_stats("engines", "v2", later);
    assert_eq!((stats.ok, stats.running), (10, 2));
    let mut other = Aggregator::default();
    other.merge_summary(aggregator.summary(9, later), later);
    let stats = other.version_stats("engines", "v2", later);
    assert_eq!((stats.ok, stats.running), (10, 2));
}

/// Guards against a rollout that completes without enough answers of the new version.
#[test]
fn a_version_with_too_few_answers_is_reverted_at_the_end() {
    let step = canary::step(
        &rollout(50),
        &stats(2, 0, 0, 0),
        &stats(500, 0, 0, 9),
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
        departures: Vec::new(),
        limits: Vec::new(),
    }
}

/// Guards against reports that are counted twice, as after repeated or reordered messages or in the
/// totals for the instance that sent them.
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
    assert_eq!(totals.instances, 2);
    let own = aggregator.totals(1, NOW, |_| true);
    assert_eq!(own.loads[0].running, 4, "without its own");
    assert_eq!(aggregator.version_stats("engines", "v2", NOW).ok, 10);
    assert_eq!(aggregator.baseline_stats("engines", "v3", NOW).ok, 10);
    assert_eq!(
        aggregator.summary(78, NOW).sources.len(),
        1,
        "only direct reports are in the summary"
    );
    let later = NOW + Span::from_secs(4);
    assert_eq!(
        aggregator.totals(9, later, |_| true).instances,
        0,
        "absent instances don't count"
    );
}

/// Guards against double counting after a failover: when hundreds of instances leave a control instance
/// that has ended or is partitioned, both it and the next one hold their reports for some seconds.
#[test]
fn an_instance_that_moves_to_another_control_instance_counts_once() {
    let (mut old, mut new) = (Aggregator::default(), Aggregator::default());
    old.merge_report(report(1, 4, 3), NOW);
    new.merge_report(report(1, 5, 3), NOW);
    new.merge_summary(old.summary(7, NOW), NOW);
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

/// Guards against totals that grow with the number of instances. With 300 instances in six failure
/// domains, an instance gets the loads of its own failure domain and of the services that it names,
/// and only the number of all instances.
#[test]
fn totals_contain_only_what_the_failure_domain_needs() {
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
    assert_eq!(totals.loads.len(), 1, "a busy upstream is sent to all");
}

/// All upstreams of a service have requested a backoff: no caller is told to retry before the first
/// backoff ends.
#[test]
fn callers_retry_after_the_backoff_of_the_upstreams() {
    let backoff = Span::from_millis(2_400);
    let mut times: Vec<_> = (0..100)
        .map(|caller| retry_after::delay(Cause::Backoff(backoff), Span::from_secs(20), caller))
        .collect();
    times.sort_unstable();
    assert!(times[0] >= backoff && times[99] <= Span::from_millis(3_600));
    assert!(times[99].minus(times[0]) > Span::from_secs(1));
    let short = retry_after::delay(Cause::Backoff(backoff), Span::from_secs(3), 1);
    assert!(short <= Span::from_secs(1), "a third of the time left");
}
