//! Tests of the adaptive planner.

use masticlock_core::{
    config::{Change, Config, Restriction, Stage},
    error::Kind,
    evidence::{Arm, Event, Key, Pool, Role},
    inventory, name,
    planner::{Adaptive, assignment},
    policy::{
        Availability, CachedPrefix, Capacity, ConsideredPlan, Context, Plan, Planner, Verdict,
    },
    request::{Fingerprint, ModelRequest, Size},
    session::Session,
    settings,
    time::{Span, Time},
};

const INVENTORY: &str = r#"{
    "domains": [{"name": "east", "region": "r"}],
    "versions": [
        {"name": "small@1", "model": "small", "prompt_cost": 100, "answer_cost": 300, "prior_quality": 0.7,
         "prior_first_ms": 100, "prior_token_ms": 5, "stable": true},
        {"name": "mid@1", "model": "mid", "prompt_cost": 400, "answer_cost": 1200, "prior_quality": 0.85,
         "prior_first_ms": 200, "prior_token_ms": 10, "stable": true},
        {"name": "mid@2", "model": "mid", "prompt_cost": 400, "answer_cost": 1200, "prior_quality": 0.85,
         "prior_first_ms": 200, "prior_token_ms": 10},
        {"name": "large@1", "model": "large", "prompt_cost": 2000, "answer_cost": 6000, "prior_quality": 0.95,
         "prior_first_ms": 400, "prior_token_ms": 20, "stable": true}
    ],
    "upstreams": [],
    "accounts": []
}"#;

const RULES: &str = r#"{
    "accounts": [
        {"models": ["small", "mid", "large"], "when_full": "dearer", "explore": 0.5},
        {"account": "waits", "models": ["small", "mid", "large"], "when_full": "wait"},
        {"account": "refuses", "models": ["small", "mid", "large"], "when_full": "refuse"},
        {"account": "near", "models": ["small", "mid", "large"], "when_full": "dearer", "spill": false},
        {"account": "old", "models": ["mid"], "except": ["mid@2"]},
        {"account": "narrow", "models": ["small"]}
    ],
    "tasks": [
        {"task": "ask", "quality": 0.8, "deadline_ms": 20000, "explore": true},
        {"task": "report", "quality": 0.8, "deadline_ms": 20000, "cascade": false}
    ],
    "versions": [{"version": "mid@1", "cut_off_ms": 5000}]
}"#;

fn config() -> Config {
    let raw: inventory::Raw = settings::parse("inventory.json", INVENTORY).unwrap();
    let rules: inventory::RawRules = settings::parse("rules.json", RULES).unwrap();
    Config::default()
        .changed(&Change::Import(raw))
        .and_then(|c| c.changed(&Change::SetRules(rules)))
        .unwrap()
}

fn version(text: &str) -> name::Version {
    name::Version::try_from(text).unwrap()
}

fn model_request(account: &str, task: &str, id: usize) -> ModelRequest {
    let account = name::Account::try_from(account).unwrap();
    ModelRequest {
        fingerprint: Fingerprint::of(&account, b"body"),
        account,
        id: name::Request::try_from(format!("r{id}")).unwrap(),
        task: name::Task::try_from(task).unwrap(),
        model: None,
        quality: 0.8,
        deadline: Time::from_millis(20_000),
        prompt_tokens: 400,
        answer_tokens: 200,
        session: None,
    }
}

/// Availability with fixed lists of versions that have no free slot or no upstream.
///
/// With `remote_only`, only other failure domains have free slots.
#[derive(Default)]
struct Slots {
    full: Vec<&'static str>,
    no_upstream: Vec<&'static str>,
    remote_only: bool,
    cached_prefix: Option<(&'static str, Time)>,
}

impl Availability for Slots {
    fn capacity(&self, version: &name::Version) -> Capacity {
        let listed = |list: &[&str]| list.contains(&version.as_str());
        let free = if listed(&self.full) || listed(&self.no_upstream) {
            0
        } else {
            4
        };
        Capacity {
            local_free: if self.remote_only { 0 } else { free },
            remote_free: free,
            total: if listed(&self.no_upstream) { 0 } else { 8 },
        }
    }

    fn cached_prefix(
        &self,
        version: &name::Version,
        _request: &ModelRequest,
    ) -> Option<CachedPrefix> {
        let (cached_version, reported_at) = self.cached_prefix?;
        (version.as_str() == cached_version).then_some(CachedPrefix {
            share: 1.0,
            reported_at,
        })
    }
}

fn plan_with(
    planner: &mut Adaptive,
    config: &Config,
    availability: &Slots,
    cut_off: Option<Span>,
    request: &ModelRequest,
) -> Result<(Plan, Vec<ConsideredPlan>), Kind> {
    let context = Context {
        config,
        availability,
        cut_off,
        now: Time::ZERO,
    };
    planner.plan(request, &context).map_err(|e| {
        assert!(e.kind.response().execution.is_not_run(), "{e}");
        e.kind
    })
}

fn joined_steps(result: Result<(Plan, Vec<ConsideredPlan>), Kind>) -> Result<String, Kind> {
    let names = |p: Plan| {
        p.steps
            .iter()
            .map(name::Version::as_str)
            .collect::<Vec<_>>()
            .join("+")
    };
    result.map(|(plan, _)| names(plan))
}

/// Guards against a plan that ignores quality target, deadline, rules or free slots.
#[test]
fn plan_follows_the_rules() {
    type Change = fn(&mut ModelRequest, &mut Slots);
    let cases: [(&str, &str, Change, Result<&str, Kind>); 14] = [
        ("waits", "report", |_, _| {}, Ok("mid@1")),
        ("waits", "report", |a, _| a.quality = 0.6, Ok("small@1")),
        ("waits", "report", |a, _| a.quality = 0.92, Ok("large@1")),
        (
            "waits",
            "report",
            |a, _| a.quality = 0.99,
            Err(Kind::QualityUnreachable),
        ),
        (
            "waits",
            "report",
            |a, _| a.deadline = Time::from_millis(900),
            Err(Kind::DeadlineBeforeRun),
        ),
        ("narrow", "report", |_, _| {}, Err(Kind::QualityUnreachable)),
        (
            "narrow",
            "report",
            |a, _| a.model = Some(name::Model::try_from("large").unwrap()),
            Err(Kind::Forbidden),
        ),
        (
            "waits",
            "report",
            |a, _| a.model = Some(name::Model::try_from("large").unwrap()),
            Ok("large@1"),
        ),
        (
            "waits",
            "report",
            |_, s| s.full = vec!["mid@1"],
            Ok("mid@1"),
        ),
        (
            "waits",
            "report",
            |_, s| s.no_upstream = vec!["mid@1"],
            Ok("large@1"),
        ),
        (
            "refuses",
            "report",
            |_, s| s.full = vec!["mid@1"],
            Err(Kind::Overloaded),
        ),
        (
            "near",
            "report",
            |_, s| s.full = vec!["mid@1"],
            Ok("large@1"),
        ),
        (
            "refuses",
            "report",
            |_, s| s.remote_only = true,
            Ok("mid@1"),
        ),
        ("near", "report", |_, s| s.remote_only = true, Ok("mid@1")),
    ];
    for (index, (account, task, change, expected)) in cases.into_iter().enumerate() {
        let (mut request, mut slots) = (model_request(account, task, 0), Slots::default());
        change(&mut request, &mut slots);
        let got = joined_steps(plan_with(
            &mut Adaptive::new(),
            &config(),
            &slots,
            None,
            &request,
        ));
        assert_eq!(got, expected.map(str::to_owned), "case {index}");
    }
}

/// Guards against choosing a cascade whose second step would miss the deadline.
#[test]
fn cascade_needs_time_for_both_steps() {
    let (config, slots) = (config(), Slots::default());
    let mut request = model_request("waits", "ask", 0);
    request.quality = 0.87;
    let got = joined_steps(plan_with(
        &mut Adaptive::new(),
        &config,
        &slots,
        None,
        &request,
    ));
    assert_eq!(got, Ok("mid@1+large@1".to_owned()));
    // The large version alone takes 640 + 20 * 100 ms; the cascade takes 320 + 10 * 100 ms more.
    request.deadline = Time::from_millis(3_000);
    let got = joined_steps(plan_with(
        &mut Adaptive::new(),
        &config,
        &slots,
        None,
        &request,
    ));
    assert_eq!(got, Ok("large@1".to_owned()));
}

/// Guards against plans with a version that is withdrawn, idle or not allowed, whatever its predicted quality.
#[test]
fn forbidden_versions_run_nothing() {
    let config = config()
        .changed(&Change::Restrict(Restriction::Withdraw(version("mid@1"))))
        .unwrap();
    let mut planner = Adaptive::new();
    for id in 0..500 {
        for account in ["any", "waits", "old"] {
            let result = plan_with(
                &mut planner,
                &config,
                &Slots::default(),
                None,
                &model_request(account, "ask", id),
            );
            match result {
                Ok((plan, _)) => assert!(
                    plan.steps.iter().all(|v| !v.as_str().starts_with("mid")),
                    "{plan:?}"
                ),
                Err(kind) => assert_eq!((account, kind), ("old", Kind::NoUpstream)),
            }
        }
    }
}

fn config_with_rollout(share: f64, exposure: u64) -> Config {
    let stage = Stage {
        share,
        exposure,
        at_least: Span::ZERO,
    };
    config()
        .changed(&Change::StartRollout {
            version: version("mid@2"),
            baseline: version("mid@1"),
            stages: vec![stage],
        })
        .unwrap()
}

fn session(id: usize, pinned: Option<&str>) -> Session {
    Session {
        id: format!("s{id}"),
        version: pinned.map(version),
    }
}

/// Guards against sessions that lose their version although it wasn't withdrawn or
/// rolled back, and against sessions that keep it afterwards.
#[test]
fn sessions_keep_their_version() {
    let in_rollout = config_with_rollout(0.5, 1_000);
    let withdrawn = config()
        .changed(&Change::Restrict(Restriction::Withdraw(version("mid@1"))))
        .unwrap();
    let rolled_back = in_rollout
        .changed(&Change::RollBack {
            version: version("mid@2"),
            reason: "errors".into(),
        })
        .unwrap();
    let cut_off_1_s = Some(Span::from_secs(1));
    let cut_off_6_s = Some(Span::from_secs(6));
    let cases = [
        (config(), None, "large@1", Ok("large@1")),
        (config(), None, "small@1", Ok("small@1")),
        (in_rollout.clone(), None, "mid@2", Ok("mid@2")),
        (in_rollout.clone(), cut_off_1_s, "mid@2", Err(Kind::CutOff)),
        (in_rollout, cut_off_1_s, "mid@1", Ok("mid@1")),
        (config(), cut_off_6_s, "mid@1", Err(Kind::CutOff)),
        (config(), cut_off_6_s, "large@1", Ok("large@1")),
        (withdrawn, None, "mid@1", Ok("large@1")),
        (rolled_back, None, "mid@2", Ok("mid@1")),
    ];
    for (index, (config, cut_off, pinned, expected)) in cases.into_iter().enumerate() {
        let mut request = model_request("waits", "ask", 0);
        request.session = Some(session(index, Some(pinned)));
        let got = plan_with(
            &mut Adaptive::new(),
            &config,
            &Slots::default(),
            cut_off,
            &request,
        );
        assert_eq!(
            joined_steps(got),
            expected.map(str::to_owned),
            "case {index}"
        );
    }
    let mut request = model_request("old", "ask", 0);
    request.session = Some(session(0, Some("large@1")));
    let got = plan_with(
        &mut Adaptive::new(),
        &config(),
        &Slots::default(),
        None,
        &request,
    );
    assert_eq!(joined_steps(got), Err(Kind::Forbidden));
}

/// Guards against a cut-off instance that explores, uses other failure domains, takes
/// part in a rollout or serves a version for longer than its rule allows.
#[test]
fn cut_off_instance_serves_stable_versions_locally() {
    let config = config_with_rollout(0.9, 1_000);
    let remote_only_slots = Slots {
        remote_only: true,
        ..Slots::default()
    };
    for id in 0..200 {
        let request = model_request("any", "report", id);
        let plan = |slots: &Slots, millis| {
            let cut_off = Some(Span::from_millis(millis));
            plan_with(&mut Adaptive::new(), &config, slots, cut_off, &request)
        };
        let (served, _) = plan(&Slots::default(), 4_999).unwrap();
        assert_eq!(served.steps, [version("mid@1")]);
        assert!(!served.explores && served.arm == Arm::Plain);
        let (served, _) = plan(&Slots::default(), 5_000).unwrap();
        assert_eq!(served.steps, [version("large@1")]);
        let mut refusing = request.clone();
        refusing.account = name::Account::try_from("refuses").unwrap();
        let cut_off = Some(Span::ZERO);
        let got = plan_with(
            &mut Adaptive::new(),
            &config,
            &remote_only_slots,
            cut_off,
            &refusing,
        );
        assert_eq!(got.unwrap_err(), Kind::Overloaded);
    }
}

/// Guards against a version in rollout that gets more than its share, more requests
/// than its stage's exposure, or requests of a task that excludes exploration.
#[test]
fn rollout_gets_its_share_and_no_more() {
    let config = config_with_rollout(0.04, 50);
    let since = config.rollouts[0].since;
    let origin = name::Instance::try_from("a").unwrap();
    let mut pool = Pool::new(origin, 1, Time::ZERO);
    let mut planner = Adaptive::new();
    let (mut trials, mut controls, mut sent) = (0, 0, 0);
    for id in 0..20_000 {
        let task = if id % 2 == 0 { "ask" } else { "report" };
        let request = model_request("waits", task, id);
        let (plan, _) =
            plan_with(&mut planner, &config, &Slots::default(), None, &request).unwrap();
        let on_rollout_version = plan.steps.contains(&version("mid@2"));
        assert!(!on_rollout_version || (task == "ask" && plan.arm == Arm::Candidate(since)));
        trials += usize::from(on_rollout_version && id < 2_000);
        sent += usize::from(on_rollout_version);
        controls += usize::from(plan.arm == Arm::Control(since) && id < 2_000);
        if on_rollout_version {
            let key = Key {
                version: version("mid@2"),
                task: request.task.clone(),
                size: Size::Medium,
                role: Role::Alone,
                arm: plan.arm,
            };
            pool.record(&key, Event::Started);
            planner.learn(&pool, &config);
        }
    }
    assert!((20..=60).contains(&trials), "{trials} of 1000");
    assert!((110..=190).contains(&controls), "{controls} of 1000");
    assert_eq!(sent, 50);
}

/// Guards against a growing share that takes the version away from a request or session.
#[test]
fn shares_only_grow() {
    for id in 0..2_000 {
        let mut request = model_request("any", "ask", id);
        if id % 2 == 0 {
            request.session = Some(session(id, None));
        }
        let gets_version = |share| {
            let config = config_with_rollout(share, 1_000);
            let group = assignment::assign(&config, &request).map(|a| a.group);
            matches!(
                group,
                Some(assignment::Group::Trial | assignment::Group::Share)
            )
        };
        assert!(!gets_version(0.1) || gets_version(0.4));
        assert!(!gets_version(0.4) || gets_version(1.0));
    }
}

/// Guards against exploration above the account's share, of a task that excludes it,
/// or with plans far below the quality target.
#[test]
fn exploration_is_limited() {
    let config = config();
    let mut planner = Adaptive::new();
    let mut explored = 0;
    for id in 0..4_000 {
        for (account, task) in [("any", "ask"), ("any", "report"), ("waits", "ask")] {
            let mut request = model_request(account, task, id);
            request.quality = 0.84;
            let slots = Slots::default();
            let (plan, _) = plan_with(&mut planner, &config, &slots, None, &request).unwrap();
            assert!(!plan.explores || (account, task) == ("any", "ask"));
            assert!(!plan.explores || plan.quality > 0.78, "{plan:?}");
            explored += usize::from(plan.explores);
        }
    }
    assert!((1..=2_100).contains(&explored), "{explored} of 4000");
}

/// Guards against evidence without effect: low ratings must lead to a more expensive
/// version and high ratings to a cheaper one.
#[test]
fn ratings_change_the_chosen_version() {
    let config = config();
    let origin = name::Instance::try_from("a").unwrap();
    let cases = [
        ("mid@1", 0.5, "large@1"),
        ("small@1", 0.9, "small@1"),
        ("mid@1", 0.9, "mid@1"),
    ];
    for (rated, rating, expected) in cases {
        let mut pool = Pool::new(origin.clone(), 1, Time::ZERO);
        let key = Key {
            version: version(rated),
            task: name::Task::try_from("report").unwrap(),
            size: Size::Medium,
            role: Role::Alone,
            arm: Arm::Plain,
        };
        for _ in 0..200 {
            pool.record(&key, Event::Rated(rating));
        }
        let mut planner = Adaptive::new();
        planner.learn(&pool, &config);
        let request = model_request("waits", "report", 0);
        let got = plan_with(&mut planner, &config, &Slots::default(), None, &request);
        assert_eq!(joined_steps(got), Ok(expected.to_owned()));
    }
}

/// Guards against hints of cached prefixes that never lose their weight.
#[test]
fn cached_prefixes_lower_cost_until_the_hint_ages() {
    let config = config();
    let mut costs = Vec::new();
    for (hint_at, now) in [
        (None, 0),
        (Some(0), 0),
        (Some(0), 60_000),
        (Some(0), 900_000),
    ] {
        let slots = Slots {
            cached_prefix: hint_at.map(|millis| ("mid@1", Time::from_millis(millis))),
            ..Slots::default()
        };
        let context = Context {
            config: &config,
            availability: &slots,
            cut_off: None,
            now: Time::from_millis(now),
        };
        let mut request = model_request("waits", "report", 0);
        request.deadline = Time::from_millis(now + 20_000);
        costs.push(Adaptive::new().plan(&request, &context).unwrap().0.cost);
    }
    assert!(costs[1] < costs[2] && costs[2] < costs[3]);
    assert!(costs[3] <= costs[0] && costs[0] - costs[3] < 0.01);
}

/// Guards against an explanation without the chosen plan or without the reasons against cheaper ones.
#[test]
fn considered_plans_have_verdicts() {
    let slots = Slots {
        full: vec!["mid@1"],
        ..Slots::default()
    };
    let request = model_request("near", "report", 0);
    let (plan, considered) =
        plan_with(&mut Adaptive::new(), &config(), &slots, None, &request).unwrap();
    let listed: Vec<_> = (considered.iter())
        .map(|c| (c.plan.steps[0].as_str(), c.verdict))
        .collect();
    assert_eq!(
        listed,
        [
            ("small@1", Verdict::Quality),
            ("mid@1", Verdict::Full),
            ("large@1", Verdict::Chosen),
        ]
    );
    assert_eq!(considered[2].plan, plan);
}
