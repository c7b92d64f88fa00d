//! Validation of routing tables and lookups in them.

use std::sync::Arc;

use masticlock_core::{
    route::{Account, Error, Kind, Limits, Place, Raw, Route, Service, Share, Table, errors},
    time::Span,
};

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: "a.example".into(),
        prefix: prefix.into(),
        kind: Kind::Idempotent,
        timeout: Span::from_millis(800),
        objective: Span::from_millis(100),
        gap: None,
        priority: 0,
        shares: vec![Share {
            service: "one".into(),
            weight: 1,
        }],
        attempts: 2,
        public: false,
        resumable: false,
        models: Vec::new(),
    }
}

fn service(name: &str) -> Service {
    Service {
        name: name.into(),
        connections: 100,
        cold_rate: 0.0,
        health: None,
        engine: None,
    }
}

fn account(name: &str, keys: &[&str]) -> Account {
    Account {
        name: name.into(),
        keys: keys.iter().map(|k| Arc::from(*k)).collect(),
        priority: None,
    }
}

fn raw(routes: Vec<Route>) -> Raw {
    Raw {
        revision: 7,
        routes,
        services: vec![service("one"), service("two")],
        needs_keys: true,
        accounts: vec![account("mill", &["k1", "k2"]), account("farm", &["k3"])],
        limits: Limits {
            head_bytes: 16_384,
            body_bytes: 4_096,
            read_timeout: Span::from_secs(3),
            idle_timeout: Span::from_secs(15),
        },
    }
}

/// Guards against matches of shorter prefixes, partial path segments or other hosts.
#[test]
fn the_longest_prefix_of_the_host_wins() {
    let routes = vec![
        route("short", "/a/"),
        route("long", "/a/b/"),
        route("root", "/"),
    ];
    let table = Table::try_from(raw(routes)).unwrap();
    let cases = [
        ("a.example", "/a/b/c", Some("long")),
        ("a.example", "/a/b/", Some("long")),
        ("a.example", "/a/bc", Some("short")),
        ("a.example", "/x", Some("root")),
        ("b.example", "/a/b/c", None),
        ("a.exampl", "/a/", None),
    ];
    for (host, path, expected) in cases {
        let found = table.find(host, path).map(|r| &*r.name);
        assert_eq!(found, expected, "{host}{path}");
    }
}

/// Guards against a key that authenticates two accounts.
#[test]
fn keys_belong_to_one_account() {
    let table = Table::try_from(raw(vec![route("r", "/")])).unwrap();
    assert_eq!(&*table.account("k3").unwrap().name, "farm");
    assert!(table.account("k4").is_none());
    let mut shared = raw(vec![route("r", "/")]);
    shared.accounts[1].keys.push("k1".into());
    assert!(matches!(Table::try_from(shared), Err(Error::SharedKey(..))));
}

/// Guards against ambiguous or incomplete routing tables.
#[test]
fn invalid_tables_are_rejected() {
    let duplicate = raw(vec![route("r", "/a/"), route("s", "/a/")]);
    assert!(matches!(
        Table::try_from(duplicate),
        Err(Error::DuplicateRoute(..))
    ));
    let mut zero_timeout = route("r", "/");
    zero_timeout.timeout = Span::ZERO;
    let zero_timeout = Table::try_from(raw(vec![zero_timeout]));
    assert!(matches!(zero_timeout, Err(Error::ZeroTimeout(_))));
    let mut zero_weight = route("r", "/");
    zero_weight.shares[0].weight = 0;
    let zero_weight = Table::try_from(raw(vec![zero_weight]));
    assert!(matches!(zero_weight, Err(Error::ZeroWeight(_))));
    let mut unknown = route("r", "/");
    unknown.shares[0].service = "three".into();
    let unknown = Table::try_from(raw(vec![unknown]));
    assert!(matches!(unknown, Err(Error::UnknownService { .. })));
}

/// Guards against weights whose sum overflows, which would make the table invalid or panic.
#[test]
fn the_sum_of_weights_may_exceed_a_number() {
    let mut heavy = route("r", "/");
    heavy.shares = ["one", "two"]
        .map(|service| Share {
            service: service.into(),
            weight: 1 << 63,
        })
        .into();
    let table = Table::try_from(raw(vec![heavy])).unwrap();
    let route = table.find("a.example", "/").unwrap();
    let services = [0, u64::MAX - 1].map(|hash| route.select_service(hash).map(|s| &**s));
    assert_eq!(services, [Some("one"), Some("two")]);
}

/// Guards against errors that are not found beside others, and against the wrong place.
#[test]
fn all_errors_are_found_with_their_places() {
    let mut late = route("late", "/z/");
    late.timeout = Span::ZERO;
    late.shares[0].service = "three".into();
    let routes = vec![late, route("r", "/a/"), route("s", "/a/")];
    let mut raw = raw(routes);
    raw.services.push(service("one"));
    raw.accounts[1].keys.push("k1".into());
    let mut places: Vec<_> = errors(raw.clone()).into_iter().map(|(p, _)| p).collect();
    places.sort();
    let (late, account) = (Place::Route(0), Place::Account(1));
    let expected = [late, late, Place::Route(2), Place::Service(2), account];
    assert_eq!(places, expected);
    let first = errors(raw.clone()).into_iter().next().map(|(_, e)| e);
    assert_eq!(Table::try_from(raw).err(), first);
}

/// Guards against a traffic split that deviates from the weights.
#[test]
fn services_are_selected_in_proportion_to_their_weights() {
    let mut split = route("r", "/");
    split.shares = vec![
        Share {
            service: "one".into(),
            weight: 9,
        },
        Share {
            service: "two".into(),
            weight: 1,
        },
    ];
    let count = (0..1_000)
        .filter(|n| &**split.select_service(*n).unwrap() == "two")
        .count();
    assert_eq!(count, 100);
}

/// Guards against retries of requests that must run at most once.
#[test]
fn only_resumable_streams_and_idempotent_requests_are_repeatable() {
    let cases = [
        (Kind::Idempotent, false, true),
        (Kind::NonRepeatable, true, false),
        (Kind::Stream, false, false),
        (Kind::Stream, true, true),
    ];
    for (kind, resumable, expected) in cases {
        let route = Route {
            kind,
            resumable,
            ..route("r", "/")
        };
        assert_eq!(route.is_repeatable(), expected, "{kind:?} {resumable}");
    }
}

/// Guards against ranks of other services' routes, and against a difference where all routes of the
/// service have the same rank.
#[test]
fn ranks_are_relative_to_those_of_the_service() {
    let ranked = |name: &str, service: &str, priority: u8| Route {
        priority,
        shares: vec![Share {
            service: service.into(),
            weight: 1,
        }],
        ..route(name, &format!("/{name}/"))
    };
    let routes = vec![
        ranked("a", "one", 1),
        ranked("b", "one", 3),
        ranked("c", "two", 9),
    ];
    let table = Table::try_from(raw(routes)).unwrap();
    let of_one = [0, 1, 2, 3, 9].map(|priority| table.relative_rank("one", priority));
    assert_eq!(of_one, [0.0, 0.0, 0.5, 1.0, 1.0].map(Some));
    assert_eq!(table.relative_rank("two", 9), None);
    assert_eq!(table.relative_rank("three", 9), None);
}
