//! Feeds each invariant a record that breaks it and one that does not.

use masticlock_core::{
    config::{Change, Config, Restriction},
    error::{Error, Kind},
    inventory::{Raw, RawRules},
    ledger::{Bill, Part},
    name, settings,
    time::Time,
};
use masticlock_scenario::{
    invariant,
    world::record::{Accepted, Applied, Asked, Closure, End, Instance, Leaving, Record, Run, Stop},
};

fn named<T>(text: &str) -> T
where
    T: for<'a> TryFrom<&'a str, Error = name::Error>,
{
    T::try_from(text).unwrap()
}

const fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn config() -> Config {
    let raw: Raw = settings::parse(
        "inventory.json",
        include_str!("../../examples/pindan-crown/inventory.json"),
    )
    .unwrap();
    let rules: RawRules = settings::parse(
        "rules.json",
        include_str!("../../examples/pindan-crown/rules.json"),
    )
    .unwrap();
    let empty = Config::default();
    let imported = empty.changed(&Change::Import(raw)).unwrap();
    imported.changed(&Change::SetRules(rules)).unwrap()
}

fn run() -> Run {
    Run {
        at: at(10_000),
        upstream: named("advisor-onslow-1"),
        domain: named("onslow"),
        version: Some(named("advisor-14b@2")),
        request: named("r1"),
        account: named("wa-growers"),
        key: None,
        repeatable: true,
        resumed: false,
        load: 1,
        bears: 1,
        reachable: Some(at(1_000)),
    }
}

fn asked() -> Asked {
    Asked {
        label: "plan".to_owned(),
        request: named("r1"),
        account: named("wa-growers"),
        instance: "onslow-1".to_owned(),
        at: at(9_990),
        ended: at(10_500),
        got: vec!["plan:0".to_owned(), "plan:1".to_owned()],
        whole: vec!["plan:0".to_owned(), "plan:1".to_owned()],
        end: End::Complete,
        cost: 7,
        session: Some(("s1".to_owned(), Some(named("advisor-14b@2")))),
        version: Some(named("advisor-14b@2")),
        moved: false,
    }
}

fn bill(replica: &str) -> (String, Bill) {
    let bill = Bill {
        account: named("wa-growers"),
        request: named("r1"),
        parts: vec![Part {
            version: Some(named("advisor-14b@2")),
            prompt_tokens: 1,
            answer_tokens: 1,
            cost: 7,
        }],
    };
    (replica.to_owned(), bill)
}

fn applied(millis: u64, revision: u64) -> Applied {
    Applied {
        at: at(millis),
        instance: "onslow-1".to_owned(),
        boot: 1,
        revision,
        digest: format!("digest-{revision}"),
    }
}

fn closure(limit: Restriction, millis: u64) -> Closure {
    Closure {
        at: at(millis),
        until: None,
        limit,
    }
}

/// A record of one request and one change that breaks nothing.
fn good() -> Record {
    Record {
        runs: vec![run()],
        asked: vec![asked()],
        bills: vec![bill("control-1"), bill("control-2")],
        accepted: vec![Accepted {
            id: "c1".to_owned(),
            at: at(9_000),
            expects: Some(2),
            revision: 3,
        }],
        applied: vec![applied(1_000, 2), applied(9_100, 3)],
        instances: vec![Instance {
            instance: "onslow-1".to_owned(),
            boot: 1,
            since: at(1_000),
            until: at(30_000),
        }],
        stops: vec![Stop {
            instance: "onslow-1".to_owned(),
            interrupted: Vec::new(),
        }],
        config: config(),
        end: at(30_000),
        ..Record::default()
    }
}

type Edit = fn(&mut Record);

/// A break of an invariant: its name, what it is, and how it is made.
const BREAKS: &[(&str, &str, Edit)] = &[
    ("allowed", "a forbidden version", |r| {
        r.runs[0].account = named("dampier-council");
        r.runs[0].version = Some(named("advisor-14b@3"));
    }),
    ("withdrawn", "work after 4 s", |r| {
        let limit = Restriction::Withdraw(named("advisor-14b@2"));
        r.closures.push(closure(limit, 5_900));
    }),
    ("session", "a move without a withdrawal", |r| {
        r.asked[0].version = Some(named("advisor-70b@1"));
        r.asked[0].moved = true;
    }),
    ("session", "a move that the answer hides", |r| {
        let limit = Restriction::Withdraw(named("advisor-14b@2"));
        r.closures.push(closure(limit, 9_000));
        r.asked[0].version = Some(named("advisor-70b@1"));
    }),
    ("billed", "a bill on one disk", |r| {
        r.bills.pop();
    }),
    ("billed", "two bills on one disk", |r| {
        r.bills.push(bill("control-1"));
    }),
    ("billed", "another cost than the caller was told", |r| {
        r.asked[0].cost = 8;
    }),
    ("billed", "a broken answer without a bill", |r| {
        r.asked[0].end = End::Broken;
        r.asked[0].got.pop();
        r.bills.clear();
    }),
    ("cold", "too much load", |r| r.runs[0].load = 2),
    ("taken-out", "work after 2 s", |r| {
        let limit = Restriction::TakeOut(named("onslow"));
        r.closures.push(closure(limit, 7_900));
    }),
    ("whole", "a piece of another request", |r| {
        "other:1".clone_into(&mut r.asked[0].got[1]);
    }),
    ("whole", "an end with a missing piece", |r| {
        r.asked[0].got.pop();
    }),
    ("whole", "a piece twice before an error", |r| {
        let error = Error::new(Kind::StreamBroken, "broken");
        r.asked[0].end = End::Failed(error);
        "plan:0".clone_into(&mut r.asked[0].got[1]);
    }),
    ("not-run", "a refusal after a run", |r| {
        let error = Error::new(Kind::Overloaded, "full");
        r.asked[0].end = End::Failed(error);
    }),
    ("at-most-once", "two runs with one key", |r| {
        r.runs[0].repeatable = false;
        r.runs[0].key = Some("k1".to_owned());
        let again = Run {
            request: named("r2"),
            ..r.runs[0].clone()
        };
        r.runs.push(again);
    }),
    ("at-most-once", "two runs of a call without a key", |r| {
        r.runs[0].repeatable = false;
        r.runs.push(r.runs[0].clone());
    }),
    ("leaving", "work after 2 s", |r| {
        r.leaving.push(Leaving {
            at: at(7_900),
            upstream: named("advisor-onslow-1"),
        });
    }),
    ("graceful", "an interrupted request", |r| {
        r.stops[0].interrupted.push(named("r1"));
    }),
    ("in-force", "a change that comes after 4 s", |r| {
        r.applied[1].at = at(13_100);
    }),
    ("in-force", "a revision that goes back", |r| {
        r.applied.push(applied(9_200, 2));
    }),
    ("in-force", "two contents of one revision", |r| {
        r.applied.push(Applied {
            instance: "onslow-2".to_owned(),
            digest: "other".to_owned(),
            ..applied(9_200, 3)
        });
    }),
    ("in-force", "two commands with one expected revision", |r| {
        r.accepted[0].expects = Some(1);
    }),
];

/// Guards against checks that accept everything, or that reject a good run.
#[test]
fn each_check_finds_its_break_and_nothing_else() {
    assert_eq!(invariant::broken(&good()), []);
    for (name, what, change) in BREAKS {
        let mut record = good();
        change(&mut record);
        let broken = invariant::broken(&record);
        let names: Vec<_> = broken.iter().map(|v| v.name).collect();
        assert_eq!(names, [*name], "{what}: {broken:?}");
    }
    for invariant in invariant::ALL {
        let covered = BREAKS.iter().any(|b| b.0 == invariant.name);
        assert!(covered, "{} has no record that breaks it", invariant.name);
    }
}

/// Guards against limits that are stricter than the design page says: work on
/// an instance without contact, and within the limit.
#[test]
fn work_within_the_limits_is_accepted() {
    let limit = || Restriction::TakeOut(named("onslow"));
    let cases: [(&str, Edit); 3] = [
        ("within 2 s", |r| r.closures[0].at = at(8_100)),
        ("without contact", |r| r.runs[0].reachable = None),
        ("after the return", |r| {
            r.closures[0].until = Some(at(9_000));
        }),
    ];
    for (what, change) in cases {
        let mut record = good();
        record.closures.push(closure(limit(), 7_000));
        change(&mut record);
        assert_eq!(invariant::broken(&record), [], "{what}");
    }
}
