//! Whole entry instances with control replicas and fake upstreams.

use std::{collections::BTreeSet, time::Duration};

use cluster::{CALL, Cluster, DOMAINS, eventually, name, profile, send};
use masticlock::{
    fake::{Conduct, Profile},
    rpc,
};
use masticlock_core::config::{Change, Restriction};
use serde_json::{Value, json};
use tokio::task::JoinSet;

mod cluster;

/// Text of the request that crashes engines.
const CRASHING: &str = "spin the loom backwards";

/// Returns the code of an error body, or nothing for an answer.
fn code(body: &Value) -> &str {
    body["error"]["code"].as_str().unwrap_or_default()
}

/// Starts four entry instances and six engines that [`CRASHING`] crashes.
async fn start_fragile() -> Cluster {
    let fragile = Profile {
        first: Duration::from_millis(300),
        crash_on: Some(CRASHING.into()),
        ..profile(&["advisor@1"])
    };
    let domains = ["east", "east", "east", "west", "west", "north"];
    let engines = domains.map(|domain| (domain, fragile.clone())).into();
    Cluster::start([2, 1, 1], engines).await
}

/// Guards against a request that takes down one engine after the other because its caller sends
/// it again through other instances.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crashing_request_is_quarantined_after_two_engines() {
    let cluster = start_fragile().await;
    let mut codes = Vec::new();
    for node in [0, 1, 2, 3, 0] {
        let (status, _, body) = send(cluster.model(node, "mill", CRASHING, json!({}))).await;
        assert_ne!(status, 200, "{body}");
        codes.push(code(&body).to_owned());
    }
    let crashed = cluster
        .machines
        .iter()
        .filter(|m| m.engine.record().crashed);
    assert_eq!(crashed.count(), 2, "{codes:?}");
    assert_eq!(codes.last().unwrap(), "quarantined", "{codes:?}");
}

/// Guards against refusing innocent requests because they shared an engine with one that
/// crashes it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn innocent_requests_beside_a_crashing_one_are_answered() {
    let cluster = start_fragile().await;
    let mut crashing = JoinSet::new();
    crashing.spawn(send(cluster.model(0, "mill", CRASHING, json!({}))));
    let mut innocent = JoinSet::new();
    for at in 0..9 {
        let text = format!("when do the palms flower in bed {at}?");
        innocent.spawn(send(cluster.model(at % 2, "mill", &text, json!({}))));
    }
    for (status, _, body) in innocent.join_all().await {
        assert_eq!(status, 200, "an innocent request: {body}");
    }
    for (status, _, body) in crashing.join_all().await {
        assert_ne!(status, 200, "{body}");
    }
    let crashed = cluster
        .machines
        .iter()
        .filter(|m| m.engine.record().crashed);
    assert!(crashed.count() <= 2);
}

/// Guards against a session that changes its version on another instance or after a restart, and
/// against one that moves silently when its version is withdrawn.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn session_keeps_its_version_until_it_is_withdrawn() {
    let engine = profile(&["advisor@1", "advisor@2"]);
    let engines = vec![("east", engine.clone()), ("west", engine)];
    let mut cluster = Cluster::start([2, 1, 0], engines).await;
    let start = cluster.model(0, "mill", "hello", json!({}));
    let start = start
        .header("masticlock-session", "new")
        .header("masticlock-quality", "0.84");
    let (status, headers, body) = send(start).await;
    assert_eq!(status, 200, "{body}");
    assert_eq!(headers["masticlock-version"], "advisor@2");
    let token = headers["masticlock-session"].clone();
    // Without the session the cheaper version answers.
    let (_, headers, _) = send(cluster.model(1, "mill", "hello", json!({}))).await;
    assert_eq!(headers["masticlock-version"], "advisor@1");
    cluster.nodes[0].restart().await;
    // A restarted instance refuses, not run, until it has heard of the upstreams.
    eventually("the restarted instance serves requests", || async {
        let (status, _, body) = send(cluster.model(0, "mill", "hello", json!({}))).await;
        assert!(status == 200 || body["error"]["ran"] == "not_run", "{body}");
        status == 200
    })
    .await;
    for node in [1, 2, 0] {
        let next = cluster.model(node, "mill", "hello again", json!({}));
        let (status, headers, body) = send(next.header("masticlock-session", &token)).await;
        assert_eq!(status, 200, "instance {node}: {body}");
        assert_eq!(headers["masticlock-version"], "advisor@2");
        assert!(!headers.contains_key("masticlock-session-moved"));
    }
    let withdraw = Change::Restrict(Restriction::Withdraw(name("advisor@2")));
    cluster.submit("withdraw", withdraw).await;
    let next = cluster.model(2, "mill", "hello once more", json!({}));
    let (status, headers, body) = send(next.header("masticlock-session", &token)).await;
    assert_eq!(status, 200, "{body}");
    assert_eq!(headers["masticlock-version"], "advisor@1");
    let moved = headers["masticlock-session-moved"].to_str().unwrap();
    assert!(moved.contains("advisor@2") && moved.contains("advisor@1"));
    assert_ne!(headers["masticlock-session"], token);
}

/// Guards against a booking that runs twice when it is sent through two instances at once, and
/// against one that runs without a durable claim.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn booking_runs_once_and_never_without_a_majority() {
    let cluster = Cluster::start([2, 1, 0], Vec::new()).await;
    let mut bookings = JoinSet::new();
    for node in [0, 1] {
        bookings.spawn(send(cluster.booking(node, "palm-7")));
    }
    let answers = bookings.join_all().await;
    let booked = answers.iter().filter(|(status, ..)| *status == 201).count();
    let waiting = answers
        .iter()
        .filter(|(_, _, body)| code(body) == "in_progress");
    assert!(booked >= 1, "{answers:?}");
    assert_eq!(booked + waiting.count(), 2, "{answers:?}");
    assert_eq!(cluster.service.runs("palm-7"), 1);
    for replica in &cluster.replicas[..2] {
        replica.stop();
    }
    eventually("the majority has ended", || async {
        cluster.replicas[..2]
            .iter()
            .all(masticlock::control::Handle::is_finished)
    })
    .await;
    let (status, _, body) = send(cluster.booking(1, "palm-8")).await;
    assert_eq!(status, 503, "{body}");
    assert_eq!(body["error"]["ran"], "not_run", "{body}");
    assert_eq!(cluster.service.runs("palm-8"), 0);
}

/// Guards against a booking that runs on two instances because the second copy arrives while the
/// first one is running.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn booking_that_takes_long_runs_once() {
    let cluster = Cluster::start([2, 1, 0], Vec::new()).await;
    cluster.service.set(Conduct {
        time: Duration::from_secs(1),
        ..Conduct::default()
    });
    let mut bookings = JoinSet::new();
    for node in [0, 1, 2] {
        bookings.spawn(send(cluster.booking(node, "palm-9")));
    }
    let answers = bookings.join_all().await;
    assert_eq!(cluster.service.runs("palm-9"), 1, "{answers:?}");
    let booked = answers.iter().filter(|(status, ..)| *status == 201).count();
    assert!(booked >= 1, "{answers:?}");
}

/// Guards against a request that is lost from the bills, or billed twice, when its instance is
/// killed while the engine works.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn witness_bills_a_request_of_a_killed_instance() {
    let slow = Profile {
        between: Duration::from_millis(200),
        tokens: 500,
        ..profile(&["advisor@1"])
    };
    let mut cluster = Cluster::start([3, 0, 0], vec![("east", slow)]).await;
    let request = cluster.model(0, "mill", "weave", json!({"stream": true}));
    let mut answer = request.send().await.unwrap();
    let id = answer.headers()["masticlock-request-id"].clone();
    let id = id.to_str().unwrap();
    assert!(answer.chunk().await.unwrap().is_some());
    cluster.nodes[0].handle.take().unwrap().kill().await;
    let bills = |address: String| {
        let control = &cluster.control;
        async move {
            let bills = control.bills(&address, CALL).await.unwrap();
            let own = bills.into_iter().filter(|b| b.request.as_str() == id);
            own.collect::<Vec<_>>()
        }
    };
    eventually("two replicas have the bill", || async {
        let mut disks = 0;
        for address in &cluster.addresses {
            disks += usize::from(!bills(address.clone()).await.is_empty());
        }
        disks >= 2
    })
    .await;
    let mut costs = BTreeSet::new();
    for address in &cluster.addresses {
        let bills = bills(address.clone()).await;
        assert!(bills.len() <= 1, "billed twice at {address}: {bills:?}");
        costs.extend(bills.iter().map(masticlock_core::ledger::Bill::cost));
    }
    assert_eq!(costs.len(), 1, "the replicas differ: {costs:?}");
}

/// Guards against a restriction that stays in one failure domain or ends without an accepted
/// revision that names it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn local_restriction_holds_everywhere_until_it_is_lifted() {
    let engine = profile(&["advisor@1"]);
    let engines = DOMAINS.map(|domain| (domain, engine.clone())).into();
    let cluster = Cluster::start([1, 1, 1], engines).await;
    let restrict = rpc::Restrict {
        id: name("block-mill"),
        limit: Restriction::Block(name("mill")),
    };
    let address = cluster.nodes[0].handle().peer().address().to_string();
    let pool = cluster.control.pool();
    let () = pool
        .call(&address, rpc::OPERATOR_RESTRICT, &restrict, CALL)
        .await
        .unwrap();
    let statuses = || async {
        let mut statuses = Vec::new();
        for node in 0..3 {
            let (status, ..) = send(cluster.model(node, "mill", "hello", json!({}))).await;
            statuses.push(status);
        }
        statuses
    };
    eventually("all instances refuse the account", || async {
        statuses().await == [403; 3]
    })
    .await;
    // Ending the same restriction of the configuration does not name the local one.
    let block = Restriction::Block(name("mill"));
    let restrict = Change::Restrict(block.clone());
    cluster.submit("restrict", restrict).await;
    cluster.submit("allow", Change::Allow(block)).await;
    assert_eq!(statuses().await, [403; 3], "only a lift ends it");
    let lift = Change::Lift(name("block-mill"));
    cluster.submit("lift", lift).await;
    eventually("all instances serve the account", || async {
        statuses().await == [200; 3]
    })
    .await;
}
