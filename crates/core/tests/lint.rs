//! Findings about routing tables, and differences between them.

use masticlock_core::{
    lint::{
        Facts, Field, Finding, Severity, Upstream, check,
        difference::{Action, Change, Subject, between},
        key_digest,
    },
    route::{Account, Engine, Kind, Limits, Model, Place, Raw, Route, Service, Share, Table},
    time::Span,
};
use proptest::{collection::vec, prelude::*};

fn route(name: &str, prefix: &str, services: &[(&str, u64)]) -> Route {
    let share = |(service, weight): &(&str, u64)| Share {
        service: (*service).into(),
        weight: *weight,
    };
    Route {
        name: name.into(),
        host: "a.example".into(),
        prefix: prefix.into(),
        kind: Kind::Stream,
        timeout: Span::from_millis(800),
        objective: Span::from_millis(800),
        gap: Some(Span::from_millis(800)),
        priority: 0,
        shares: services.iter().map(share).collect(),
        attempts: 1,
        public: false,
        resumable: true,
        models: vec!["small".into()],
    }
}

fn service(name: &str) -> Service {
    Service {
        name: name.into(),
        connections: 64,
        cold_rate: 4.0,
        health: None,
        engine: Some(Engine {
            memory_tokens: 1_000,
            models: vec![Model {
                name: "small".into(),
                cost: 0.1,
            }],
        }),
    }
}

fn account(name: &str, key: &str) -> Account {
    Account {
        name: name.into(),
        keys: vec![key.into()],
        priority: None,
    }
}

/// Returns a table without findings.
fn table() -> Raw {
    Raw {
        revision: 7,
        routes: vec![
            route("r", "/a/", &[("one", 1)]),
            route("s", "/a/b/", &[("one", 1), ("two", 3)]),
        ],
        services: vec![service("one"), service("two")],
        accounts: vec![account("mill", "k1"), account("farm", "k2")],
        limits: Limits {
            head_bytes: 16_384,
            body_bytes: 4_096,
            read_timeout: Span::from_secs(3),
            idle_timeout: Span::from_secs(3),
        },
    }
}

/// What is known of the services of [`table`], at the edge of a finding.
fn facts() -> Facts {
    let upstream = Upstream {
        slots: Some(64),
        cold_time: Span::from_secs(3),
    };
    Facts {
        upstreams: vec![upstream; 2],
        memory_bytes: Some(4_096),
    }
}

type Edit = fn(&mut Raw);

/// Guards against findings that are missed or have the wrong place, and against findings about limits
/// that just agree.
#[test]
fn each_fault_is_found_at_its_place() {
    assert_eq!(check(&table(), &facts()), []);
    let (first, limits) = (Place::Route(0), Place::Limits);
    let cases: &[(Edit, Place, Field, &str)] = &[
        (
            |t| t.revision = 0,
            Place::Table,
            Field::Revision,
            "not higher",
        ),
        (
            |t| t.routes[1].name = "r".into(),
            Place::Route(1),
            Field::Name,
            "name r",
        ),
        (
            |t| t.routes[0].host = "a.example:80".into(),
            first,
            Field::Host,
            "no request matches",
        ),
        (
            |t| t.routes[0].prefix = "a/".into(),
            first,
            Field::Prefix,
            "no request matches",
        ),
        (
            |t| t.routes[0].prefix = "/a?/".into(),
            first,
            Field::Prefix,
            "no request matches",
        ),
        (
            |t| t.routes[0].prefix = "/a".into(),
            first,
            Field::Prefix,
            "end with a slash",
        ),
        (
            |t| t.routes[0].attempts = 0,
            first,
            Field::Attempts,
            "sent once",
        ),
        (
            |t| t.routes[0].objective = Span::from_millis(801),
            first,
            Field::Objective,
            "801 ms",
        ),
        (
            |t| t.routes[0].gap = Some(Span::from_millis(801)),
            first,
            Field::Gap,
            "801 ms",
        ),
        (
            |t| t.routes[0].gap = Some(Span::ZERO),
            first,
            Field::Gap,
            "late",
        ),
        (
            |t| t.routes[0].models[0] = "big".into(),
            first,
            Field::Model(0),
            "model big",
        ),
        (
            |t| t.routes[1].shares[0].weight = 0,
            Place::Route(1),
            Field::Weight(0),
            "weight of 0",
        ),
        (
            |t| t.services.push(service("idle")),
            Place::Service(2),
            Field::Name,
            "no route",
        ),
        (
            |t| t.services[1].connections = 63,
            Place::Service(1),
            Field::Connections,
            "63",
        ),
        (
            |t| t.services[1].cold_rate = 0.0,
            Place::Service(1),
            Field::ColdRate,
            "3000 ms",
        ),
        (
            |t| t.services[1].cold_rate = -1.0,
            Place::Service(1),
            Field::ColdRate,
            "negative",
        ),
        (
            |t| t.accounts[1].keys.clear(),
            Place::Account(1),
            Field::Keys,
            "no key",
        ),
        (
            |t| t.accounts[1].keys[0] = "".into(),
            Place::Account(1),
            Field::Key(0),
            "empty",
        ),
        (
            |t| t.accounts[1].keys[0] = "k2 ".into(),
            Place::Account(1),
            Field::Key(0),
            "header",
        ),
        (
            |t| t.accounts[1].keys.push("k2".into()),
            Place::Account(1),
            Field::Key(1),
            "already",
        ),
        (
            |t| t.accounts[1].name = "mill".into(),
            Place::Account(1),
            Field::Name,
            "mill",
        ),
        (
            |t| t.limits.head_bytes = 0,
            limits,
            Field::HeadBytes,
            "0 bytes",
        ),
        (
            |t| t.limits.body_bytes = 4_097,
            limits,
            Field::BodyBytes,
            "4097",
        ),
        (
            |t| t.limits.read_timeout = Span::ZERO,
            limits,
            Field::ReadTimeout,
            "0 ms",
        ),
        (
            |t| t.limits.idle_timeout = Span::from_secs(2),
            limits,
            Field::ReadTimeout,
            "3000 ms",
        ),
    ];
    for (edit, place, field, text) in cases {
        let mut raw = table();
        edit(&mut raw);
        let found = check(&raw, &facts());
        let [finding] = &found[..] else {
            panic!("{text}: {found:?}");
        };
        assert_eq!((&finding.place, &finding.field), (place, field));
        assert!(finding.text.contains(text), "{finding:?}");
        assert!(!finding.text.contains("k2"), "{finding:?}");
    }
}

/// Guards against differences that are missed or invented, and against losses that are not named.
#[test]
fn differences_name_what_callers_lose() {
    assert_eq!(between(&table(), &table()), []);
    let cases: &[(Edit, &str, Option<&str>)] = &[
        (|t| t.routes.truncate(1), "removed /a/b/", Some("route r")),
        (|t| drop(t.routes.remove(0)), "removed /a/", Some("refused")),
        (
            |t| t.routes.push(route("t", "/a/c/", &[])),
            "added /a/c/",
            None,
        ),
        (|t| t.routes[0].name = "q".into(), "[Name] /a/", None),
        (|t| t.routes[0].shares[0].weight = 2, "[Shares] /a/", None),
        (
            |t| t.services.truncate(1),
            "removed two",
            Some("no more requests"),
        ),
        (|t| t.services.push(service("new")), "added new", None),
        (
            |t| t.services[0].engine = None,
            "[EngineMemory, EngineModels] one",
            None,
        ),
        (
            |t| t.accounts[0].keys.push("k3".into()),
            "[Keys] mill",
            None,
        ),
        (
            |t| t.accounts[0].keys.clear(),
            "[Keys] mill",
            Some("1 of its keys"),
        ),
        (
            |t| t.accounts[1].name = "mead".into(),
            "removed farm, added mead",
            None,
        ),
        (
            |t| t.accounts[0].priority = Some(2),
            "[Priority] mill",
            None,
        ),
        (|t| t.limits.body_bytes = 1, "[BodyBytes] limits", None),
    ];
    for (edit, expected, loss) in cases {
        let mut new = table();
        edit(&mut new);
        let changes = between(&table(), &new);
        let words: Vec<_> = changes.iter().map(summary).collect();
        assert_eq!(&words.join(", "), expected);
        let lost = changes.iter().find_map(|c| c.loss.as_deref());
        assert_eq!(lost.is_some(), loss.is_some(), "{changes:?}");
        assert!(lost.unwrap_or_default().contains(loss.unwrap_or_default()));
        assert!(!format!("{changes:?}").contains("\"k"), "{changes:?}");
    }
}

/// Guards against callers without a key who are shut out unnoticed.
#[test]
fn callers_without_a_key_count() {
    let mut open = table();
    open.accounts.clear();
    let loss = |old: &Raw, new: &Raw| between(old, new).iter().any(|c| c.loss.is_some());
    assert!(loss(&open, &table()));
    let mut public = table();
    public.routes[0].public = true;
    assert!(loss(&public, &table()));
    assert!(!loss(&table(), &public));
}

/// Returns the action and subject of a change.
fn summary(change: &Change) -> String {
    let subject = match &change.subject {
        Subject::Access => "access",
        Subject::Limits => "limits",
        Subject::Route { prefix, .. } => prefix,
        Subject::Service(name) | Subject::Account(name) => name,
    };
    match &change.action {
        Action::Added => format!("added {subject}"),
        Action::Removed => format!("removed {subject}"),
        Action::Changed(edits) => {
            let fields: Vec<_> = edits.iter().map(|e| e.field).collect();
            format!("{fields:?} {subject}")
        }
    }
}

proptest! {
    /// Guards against a verdict that differs from that of the programs, and against keys in texts.
    #[test]
    fn errors_are_those_of_the_table(
        routes in vec((0..3u8, 0..2u64, 0..3u8, 0..3u64), 0..4),
        services in vec(0..3u8, 0..3),
        accounts in vec((0..2u8, vec(0..4u8, 0..3)), 0..3),
    ) {
        let mut raw = table();
        raw.routes = routes.into_iter().map(|(prefix, timeout, service, weight)| {
            let service = format!("s{service}");
            let mut route = route("r", &format!("/{prefix}/"), &[(&service, weight)]);
            route.timeout = Span::from_millis(timeout * 900);
            route
        }).collect();
        raw.services = services.into_iter().map(|s| service(&format!("s{s}"))).collect();
        raw.accounts = accounts.into_iter().map(|(name, keys)| Account {
            name: format!("a{name}").into(),
            keys: keys.into_iter().map(|k| format!("secret{k}").into()).collect(),
            priority: None,
        }).collect();
        let findings = check(&raw, &Facts::default());
        let is_error = |f: &Finding| f.severity == Severity::Error;
        prop_assert_eq!(findings.iter().any(is_error), Table::try_from(raw.clone()).is_err());
        prop_assert!(findings.iter().all(|f| !f.text.contains("secret")));
    }
}

/// Guards against digests that give a key away or can't tell keys apart.
#[test]
fn digests_of_keys_are_short_and_differ() {
    assert_eq!(key_digest("k1").len(), 8);
    assert_ne!(key_digest("k1"), key_digest("k2"));
}
