//! Three entry instances on loopback share slots and bills.

use std::{
    net::TcpListener,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use jsonrpsee::Methods;
use masticlock::{
    client::Pool,
    peer::{self, Peer, wire},
    port::{Announcements, Bills, Report, Slots, Snapshot},
};
use masticlock_core::{
    config::{Change, Config, Restriction},
    directory::{Announcement, State},
    error,
    inventory::{self, Offer},
    ledger::Bill,
    name,
    policy::Availability,
    request::Fingerprint,
    slot::{Acquire, Target},
    suspect::Status,
    time::Span,
};
use tokio::time::sleep;

const SECRET: &str = "test secret";
const WARM: u32 = 8;
const COLD: u32 = 2;
/// Suspicion, removal and the wait of the new owner, with a reserve for a busy machine.
const TAKEOVER_LIMIT: Duration = Duration::from_secs(16);

fn upstream() -> name::Upstream {
    name::Upstream::try_from("engine-1").unwrap()
}

fn announcement() -> Announcement {
    Announcement {
        upstream: upstream(),
        incarnation: 1,
        address: "http://127.0.0.1:1".into(),
        domain: name::Domain::try_from("east").unwrap(),
        offer: Offer::Engine,
        service: None,
        versions: vec![name::Version::try_from("m@1").unwrap()],
        warm: WARM,
        cold: COLD,
        fences: false,
        state: State::Ready,
        token: None,
    }
}

fn ask(number: u64, wait: Span) -> Acquire {
    Acquire {
        request: name::Request::try_from(format!("r{number}")).unwrap(),
        account: name::Account::try_from("a").unwrap(),
        fingerprint: None,
        target: Target::Version(name::Version::try_from("m@1").unwrap()),
        avoid: Vec::new(),
        wait,
        hold: None,
    }
}

fn config() -> Config {
    let raw: inventory::Raw = serde_json::from_str(
        r#"{"domains": [{"name": "east", "region": "r"}], "versions": [], "upstreams": [],
            "accounts": [{"name": "a", "rate": 40, "concurrency": 9, "key_sha256":
            "0000000000000000000000000000000000000000000000000000000000000000"}]}"#,
    )
    .unwrap();
    Config::default().changed(&Change::Import(raw)).unwrap()
}

fn start(count: usize) -> Vec<Arc<Peer>> {
    let bind = |_| TcpListener::bind("127.0.0.1:0").unwrap();
    let listeners: Vec<_> = (0..count).map(bind).collect();
    let seeds: Vec<_> = listeners
        .iter()
        .map(|listener| listener.local_addr().unwrap().to_string())
        .collect();
    let part = |(at, listener)| {
        let settings = peer::Settings {
            instance: name::Instance::try_from(format!("entry-{at}")).unwrap(),
            domain: name::Domain::try_from("east").unwrap(),
            boot: 1,
            seeds: seeds.clone(),
            replicas: Vec::new(),
            secret: SECRET.into(),
        };
        let snapshot = Snapshot {
            config: Arc::new(config()),
            lease_end: None,
        };
        let snapshot = Arc::new(ArcSwap::from_pointee(snapshot));
        peer::start(settings, listener, snapshot, Methods::new()).unwrap()
    };
    listeners.into_iter().enumerate().map(part).collect()
}

async fn until<F>(limit: Duration, what: &str, mut is_true: F)
where
    F: FnMut() -> bool,
{
    let end = Instant::now() + limit;
    while !is_true() {
        assert!(Instant::now() < end, "not within {limit:?}: {what}");
        sleep(Duration::from_millis(20)).await;
    }
}

async fn joined(peers: &[Arc<Peer>]) {
    until(Duration::from_secs(8), "all members are known", || {
        peers.iter().all(|p| p.members().len() == peers.len())
    })
    .await;
}

/// Announces the upstream to one instance after the other, one call at a time.
async fn announce(peers: Vec<Arc<Peer>>, killed: Arc<AtomicU32>) {
    let mut said = announcement();
    for turn in 0usize.. {
        let at = turn % peers.len();
        let mut pause = Duration::from_millis(100);
        if killed.load(Ordering::SeqCst) != u32::try_from(at).unwrap() {
            let call = peers[at].announce(said.clone());
            if let Ok(Ok(answer)) = tokio::time::timeout(Duration::from_secs(1), call).await {
                said.token = Some(answer.token);
                pause = answer.interval.to_std();
            }
        }
        sleep(pause).await;
    }
}

struct Count {
    used: AtomicU32,
    most: AtomicU32,
    done: AtomicU64,
    last_done: std::sync::Mutex<Instant>,
}

/// Takes and gives back slots, and counts those that are in use at once.
async fn load(peer: Arc<Peer>, count: Arc<Count>, over: Arc<AtomicBool>) {
    for number in 0.. {
        if over.load(Ordering::SeqCst) {
            return;
        }
        let Ok(lease) = peer.acquire(ask(number, Span::from_millis(300))).await else {
            sleep(Duration::from_millis(20)).await;
            continue;
        };
        let used = count.used.fetch_add(1, Ordering::SeqCst) + 1;
        count.most.fetch_max(used, Ordering::SeqCst);
        let lost = peer.lost(&lease);
        let work = sleep(Duration::from_millis(30));
        let complete = tokio::select! {
            () = work => true,
            () = lost => false,
        };
        count.used.fetch_sub(1, Ordering::SeqCst);
        if complete {
            peer.release(lease, Report::Completed { first_ms: 5 });
            count.done.fetch_add(1, Ordering::SeqCst);
            *count.last_done.lock().unwrap() = Instant::now();
        }
    }
}

/// Guards against an upstream that is lent beyond its limit, or never again,
/// after its owner is killed.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn another_instance_takes_over_a_killed_owner() {
    let peers = start(3);
    joined(&peers).await;
    let killed = Arc::new(AtomicU32::new(u32::MAX));
    tokio::spawn(announce(peers.clone(), killed.clone()));
    let count = Arc::new(Count {
        used: AtomicU32::new(0),
        most: AtomicU32::new(0),
        done: AtomicU64::new(0),
        last_done: std::sync::Mutex::new(Instant::now()),
    });
    let owner = peers[0].owner(&upstream()).unwrap();
    let at = (0..3)
        .find(|at| format!("entry-{at}") == owner.as_str())
        .unwrap();
    let over: Vec<_> = (0..3).map(|_| Arc::new(AtomicBool::new(false))).collect();
    for (peer, over) in peers.iter().zip(&over) {
        for _ in 0..5 {
            tokio::spawn(load(peer.clone(), count.clone(), over.clone()));
        }
    }
    until(Duration::from_secs(8), "the upstream is warm", || {
        peers[at]
            .load(&upstream())
            .is_some_and(|(_, limit)| limit == WARM)
    })
    .await;
    sleep(Duration::from_secs(1)).await;
    let before = count.done.load(Ordering::SeqCst);
    assert!(before > 50, "{before} requests done");
    peers[at].kill();
    killed.store(u32::try_from(at).unwrap(), Ordering::SeqCst);
    over[at].store(true, Ordering::SeqCst);
    let dead = Instant::now();
    // What was lent before the kill ends first.
    sleep(Duration::from_secs(4)).await;
    let paused = count.done.load(Ordering::SeqCst);
    until(TAKEOVER_LIMIT, "requests run again", || {
        count.done.load(Ordering::SeqCst) > paused + 50
    })
    .await;
    println!("50 requests done {:?} after the kill", dead.elapsed());
    let most = count.most.load(Ordering::SeqCst);
    assert!(most <= WARM, "{most} slots of {WARM} in use at once");
}

/// Guards against a stop that makes the next owner wait as after a crash.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_graceful_stop_hands_over() {
    let peers = start(3);
    joined(&peers).await;
    let killed = Arc::new(AtomicU32::new(u32::MAX));
    tokio::spawn(announce(peers.clone(), killed.clone()));
    let owner = peers[0].owner(&upstream()).unwrap();
    let at = (0..3)
        .find(|at| format!("entry-{at}") == owner.as_str())
        .unwrap();
    let rest = &peers[(at + 1) % 3];
    until(Duration::from_secs(5), "the upstream is known", || {
        rest.capacity(&name::Version::try_from("m@1").unwrap())
            .total
            > 0
            && peers[at].load(&upstream()).is_some()
    })
    .await;
    let lease = rest.acquire(ask(0, Span::from_secs(5))).await.unwrap();
    let begin = Instant::now();
    peers[at].stop(Span::from_secs(5)).await.unwrap();
    killed.store(u32::try_from(at).unwrap(), Ordering::SeqCst);
    let second = rest.acquire(ask(1, Span::from_secs(6))).await.unwrap();
    let taken = begin.elapsed();
    println!("granted {taken:?} after the stop began");
    assert!(taken < Duration::from_secs(6), "{taken:?}");
    assert_ne!(lease.id, second.id);
    // The slot that was lent before the stop counts at the new owner.
    let next = rest.owner(&upstream()).unwrap();
    let next = peers
        .iter()
        .find(|p| p.load(&upstream()).is_some() && p.owner(&upstream()) == Some(next.clone()));
    assert!(next.is_some());
    let third = rest.acquire(ask(2, Span::from_millis(50))).await;
    assert_eq!(third.unwrap_err().kind, error::Kind::Overloaded);
}

/// Guards against a local grant that calls another instance, a restriction or
/// evidence that does not spread, a record without a witness, and callers
/// without the cluster secret.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn instances_share_restrictions_evidence_and_records() {
    let peers = start(3);
    joined(&peers).await;
    let bill = Bill {
        account: name::Account::try_from("a").unwrap(),
        request: name::Request::try_from("r1").unwrap(),
        parts: Vec::new(),
    };
    peers[0].open(bill.clone()).await.unwrap();
    peers[0].settle(bill);
    let totals = peers[0].bills();
    assert_eq!((totals.admitted, totals.settled, totals.open), (1, 0, 1));
    let print = Fingerprint::of(&name::Account::try_from("a").unwrap(), b"body");
    peers[1].run_started(print, upstream(), 1);
    peers[1].run_crashed(&upstream(), 1).await;
    for peer in &peers {
        assert_eq!(peer.verdict(print), Status::Alone);
    }
    let account = name::Account::try_from("b").unwrap();
    let id = name::Restriction::try_from("r1").unwrap();
    peers[2].restrict(id.clone(), Restriction::Block(account.clone()));
    until(Duration::from_secs(2), "the restriction is known", || {
        peers.iter().all(|p| p.blocked() == vec![account.clone()])
    })
    .await;
    let params = wire::Restrict {
        id,
        limit: Restriction::Block(account),
    };
    let to = peers[0].address().to_string();
    for (secret, allowed) in [("wrong", false), (SECRET, true)] {
        let pool = Pool::new(secret).unwrap();
        let answer: Result<(), _> = pool
            .call(&to, wire::RESTRICT, &params, Span::from_secs(2))
            .await;
        assert_eq!(answer.is_ok(), allowed, "{secret}");
    }
}

/// Guards against a client account that exceeds its limits by using several
/// instances, or can't use them on one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn limits_hold_over_all_instances() {
    let peers = start(3);
    joined(&peers).await;
    let account = name::Account::try_from("a").unwrap();
    let unknown = name::Account::try_from("x").unwrap();
    assert!(peers[0].admit(&unknown).await.is_err());
    // A new lender waits until grants of its predecessor would be over.
    let _ = peers[0].admit(&account).await;
    sleep(Duration::from_millis(3_500)).await;
    let mut open = Vec::new();
    for _ in 0..40 {
        if let Ok(admission) = peers[0].admit(&account).await {
            open.push(admission);
        }
        sleep(Duration::from_millis(50)).await;
    }
    // Nine at once over all instances; each other instance has one of its own.
    assert_eq!(open.len(), 7, "requests open on one instance");
    let mut others = Vec::new();
    for turn in 0..20 {
        let admitted = peers[1 + turn % 2].admit(&account).await;
        others.extend(admitted);
    }
    assert_eq!(open.len() + others.len(), 9);
    drop(open);
    drop(others);
    let begin = Instant::now();
    let mut admitted = 0u32;
    while begin.elapsed() < Duration::from_secs(3) {
        for peer in &peers {
            admitted += u32::from(peer.admit(&account).await.is_ok());
        }
        sleep(Duration::from_millis(2)).await;
    }
    // Three seconds and a burst of one second.
    assert!((60..=170).contains(&admitted), "{admitted} requests in 3 s");
}
