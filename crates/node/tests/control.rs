//! Tests of control replicas on loopback.

use std::{
    net::TcpListener,
    panic,
    path::PathBuf,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

use masticlock::{
    client::Control,
    control::{self, Begin, Handle, Raw, Replica, Settings},
    rpc,
};
use masticlock_core::{
    claim,
    command::{Command, Outcome},
    config::{Change, Restriction},
    error, inventory, ledger, name, request, settings,
    time::Span,
};

const SECRET: &str = "a-secret-for-the-tests";

const INVENTORY: &str = r#"{
    "domains": [{"name": "east", "region": "r"}, {"name": "west", "region": "r"}],
    "versions": [], "upstreams": [], "accounts": []
}"#;

/// Control replicas in one process. The folder is removed at the end.
struct World {
    folder: PathBuf,
    replicas: Vec<Replica>,
    handles: Vec<Option<Handle>>,
}

impl World {
    fn start(name: &str, count: usize) -> Self {
        let folder = std::env::temp_dir().join(format!(
            "masticlock-{name}-{}-{:?}",
            std::process::id(),
            std::thread::current().id()
        ));
        let listeners: Vec<_> = (0..count)
            .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
            .collect();
        let replica = |at: usize, listener: &TcpListener| Replica {
            instance: name::Instance::try_from(format!("control-{at}")).unwrap(),
            address: listener.local_addr().unwrap(),
            domain: name::Domain::try_from(format!("d{at}")).unwrap(),
        };
        let replicas = listeners
            .iter()
            .enumerate()
            .map(|(at, l)| replica(at, l))
            .collect();
        let mut world = Self {
            folder,
            replicas,
            handles: Vec::new(),
        };
        for (at, listener) in listeners.into_iter().enumerate() {
            let settings = world.settings(at);
            let handle = control::start_on(settings, Begin::Found, listener).unwrap();
            world.handles.push(Some(handle));
        }
        world
    }

    fn settings(&self, at: usize) -> Settings {
        let raw = Raw {
            instance: self.replicas[at].instance.clone(),
            folder: self.folder.join(at.to_string()),
            secret: SECRET.into(),
            replicas: self.replicas.clone(),
            json_log: false,
            statsd: None,
        };
        Settings::try_from(raw).unwrap()
    }

    fn client(&self) -> Control {
        let addresses = self.replicas.iter().map(|r| r.address.to_string());
        Control::new(addresses.collect(), SECRET).unwrap()
    }

    fn stop(&mut self, at: usize) {
        let handle = self.handles[at].take().unwrap();
        handle.stop();
        handle.wait().unwrap();
    }

    fn restart(&mut self, at: usize) {
        let handle = control::start(self.settings(at), Begin::Join).unwrap();
        self.handles[at] = Some(handle);
    }

    async fn leader(&self, client: &Control) -> usize {
        let status = client.status(LIMIT).await.unwrap();
        let leader = status.replica.id;
        let member = status.replica.voters.iter().find(|m| m.id == leader);
        let instance = &member.unwrap().instance;
        self.replicas
            .iter()
            .position(|r| r.instance == *instance)
            .unwrap()
    }
}

impl Drop for World {
    fn drop(&mut self) {
        for handle in self.handles.iter_mut().filter_map(Option::take) {
            handle.stop();
            let _ended = handle.wait();
        }
        std::fs::remove_dir_all(&self.folder).unwrap();
    }
}

const LIMIT: Span = Span::from_secs(10);

fn command(id: &str, expects: Option<u64>, change: Change) -> rpc::Submit {
    rpc::Submit {
        command: Command {
            id: name::Command::try_from(id).unwrap(),
            operator: "tester".into(),
            expects,
            change,
        },
        wait: Span::ZERO,
    }
}

fn import() -> Change {
    let raw: inventory::Raw = settings::parse("inventory.json", INVENTORY).unwrap();
    Change::Import(raw)
}

fn take_out(domain: &str) -> Change {
    Change::Restrict(Restriction::TakeOut(
        name::Domain::try_from(domain).unwrap(),
    ))
}

fn claim(key: &str, holder: &str) -> claim::Begin {
    let account = name::Account::try_from("mill").unwrap();
    claim::Begin {
        fingerprint: request::Fingerprint::of(&account, b"body"),
        key: claim::Key {
            account,
            key: key.into(),
        },
        holder: name::Request::try_from(holder).unwrap(),
        instance: name::Instance::try_from("entry-1").unwrap(),
    }
}

async fn begin(client: &Control, ask: &claim::Begin) -> claim::Decision {
    let short = Span::from_secs(2);
    client
        .call(rpc::CLAIM_BEGIN, ask, short, LIMIT)
        .await
        .unwrap()
}

async fn finish(client: &Control, ask: &claim::Begin, end: claim::Outcome) {
    let finish = claim::Finish {
        key: ask.key.clone(),
        holder: ask.holder.clone(),
        end,
    };
    let () = client
        .call(rpc::CLAIM_FINISH, &finish, Span::from_secs(2), LIMIT)
        .await
        .unwrap();
}

/// Guards against an accepted command, a conflict or a claim whose outcome
/// changes when the leader is lost and the call is sent again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn outcomes_survive_the_leader() {
    let mut world = World::start("leader", 3);
    let client = world.client();
    let first = command("c1", Some(0), import());
    let racing = command("c2", Some(0), import());
    let accepted = client.submit(&first, LIMIT).await.unwrap();
    assert_eq!(accepted.outcome, Outcome::Accepted { revision: 1 });
    let lost = client.submit(&racing, LIMIT).await.unwrap();
    let ask = claim("k1", "r1");
    assert_eq!(begin(&client, &ask).await, claim::Decision::Granted);
    let answer = claim::Response {
        status: 200,
        content_type: "text/plain".into(),
        body: b"booked".to_vec(),
    };
    finish(&client, &ask, claim::Outcome::Answered(answer.clone())).await;

    let leader = world.leader(&client).await;
    world.stop(leader);
    let client = world.client();
    assert_eq!(
        client.submit(&first, LIMIT).await.unwrap().outcome,
        accepted.outcome
    );
    assert_eq!(
        client.submit(&racing, LIMIT).await.unwrap().outcome,
        lost.outcome
    );
    let Outcome::Refused { error, winner } = lost.outcome else {
        panic!("two commands with the same expected revision were accepted");
    };
    assert_eq!(error.kind, error::Kind::Conflict);
    assert_eq!(winner.unwrap().id, first.command.id);
    let again = claim("k1", "r2");
    assert_eq!(begin(&client, &again).await, claim::Decision::Done(answer));

    world.restart(leader);
    let next = command("c3", Some(1), take_out("east"));
    let accepted = client.submit(&next, LIMIT).await.unwrap();
    assert_eq!(accepted.outcome, Outcome::Accepted { revision: 2 });
    // With the second replica gone, the restarted one is part of every majority.
    let leader = world.leader(&client).await;
    world.stop(leader);
    assert_eq!(
        client.submit(&next, LIMIT).await.unwrap().outcome,
        accepted.outcome
    );
}

/// Guards against a call that is answered without the cluster secret.
#[tokio::test]
async fn calls_need_the_secret() {
    let world = World::start("secret", 1);
    let address = world.replicas[0].address.to_string();
    for secret in ["another-secret-text", "a-secret-for-the-test", "x"] {
        let client = Control::new(vec![address.clone()], secret).unwrap();
        let status = client.status(Span::from_millis(300)).await;
        assert!(status.is_err(), "{secret}");
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    world.client().status(LIMIT).await.unwrap();
}

/// Guards against a new folder that is locked twice: a process that another thread starts keeps the
/// first lock until it runs its own program.
#[test]
fn a_replica_starts_while_other_threads_start_processes() {
    let is_done = AtomicBool::new(false);
    thread::scope(|scope| {
        for _ in 0..2 {
            scope.spawn(|| {
                while !is_done.load(Ordering::Relaxed) {
                    std::process::Command::new("true").status().unwrap();
                }
            });
        }
        let started = panic::catch_unwind(|| {
            for at in 0..50 {
                drop(World::start(&format!("fork-{at}"), 1));
            }
        });
        is_done.store(true, Ordering::Relaxed);
        started.unwrap();
    });
}

/// Guards against a replica that lost its data and founds the log again with
/// its old identity, which may have voted.
#[tokio::test]
async fn a_lost_replica_joins_with_a_new_identity() {
    let mut world = World::start("lost", 3);
    let client = world.client();
    client
        .submit(&command("c1", None, import()), LIMIT)
        .await
        .unwrap();
    let lost = (world.leader(&client).await + 1) % 3;
    world.stop(lost);
    std::fs::remove_dir_all(world.folder.join(lost.to_string())).unwrap();
    let again = control::start(world.settings(lost), Begin::Found);
    assert!(again.is_err_and(|e| e.to_string().contains("has a log already")));
    world.restart(lost);
    let instance = &world.replicas[lost].instance;
    let old = world.settings(lost).founding_identity(instance);
    for _ in 0..200 {
        let replica = client.status(LIMIT).await.unwrap().replica;
        if let Some(voter) = replica.voters.iter().find(|v| v.instance == *instance)
            && voter.id != old
        {
            assert_eq!(replica.voters.len(), 3);
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the new replica is no voter after 10 s");
}

/// Guards against a binary that can't be started from a settings file or does
/// not end with success on SIGTERM.
#[tokio::test]
async fn the_binary_stops_with_success() {
    let folder = std::env::temp_dir().join(format!("masticlock-bin-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let text = format!(
        r#"{{
            // A single replica.
            "instance": "control-0", "folder": {:?}, "secret": {SECRET:?}, "json_log": true,
            "replicas": [{{"instance": "control-0", "address": "{address}", "domain": "d0"}}]
        }}"#,
        folder.join("data")
    );
    let file = folder.join("settings.json");
    std::fs::write(&file, text).unwrap();
    let mut process = std::process::Command::new(env!("CARGO_BIN_EXE_masticlock-control"))
        .arg("--found")
        .arg(&file)
        .stderr(std::process::Stdio::piped())
        .spawn()
        .unwrap();
    let client = Control::new(vec![address.to_string()], SECRET).unwrap();
    let submitted = client.submit(&command("c1", None, import()), LIMIT).await;
    let kill = std::process::Command::new("kill")
        .arg(process.id().to_string())
        .status();
    let status = process.wait().unwrap();
    let log = std::io::read_to_string(process.stderr.take().unwrap()).unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
    assert!(kill.unwrap().success());
    assert_eq!(
        submitted.unwrap().outcome,
        Outcome::Accepted { revision: 1 },
        "{log}"
    );
    assert!(status.success(), "{status}: {log}");
    for line in log.lines() {
        serde_json::from_str::<serde_json::Value>(line).unwrap();
    }
}

/// Guards against settings that are accepted and can't work.
#[test]
fn bad_settings_are_refused() {
    let good = r#"{"instance": "a", "folder": "f", "secret": "sixteen-bytes-ok",
        "replicas": [{"instance": "a", "address": "127.0.0.1:1", "domain": "d"}]}"#;
    let other = r#"{"instance": "b", "address": "127.0.0.1:2", "domain": "d"}"#;
    let cases = [
        ("sixteen-bytes-ok", "short", "needs at least 16"),
        ("sixteen-bytes-ok", "sixteen bytes ok", "visible ASCII"),
        (
            "\"instance\": \"a\", \"folder\"",
            "\"instance\": \"c\", \"folder\"",
            "not one of",
        ),
        (
            "\"d\"}]",
            &format!("\"d\"}}, {other}]"),
            "accepted are 1, 3, 5 and 7",
        ),
        (
            "\"d\"}]",
            &format!("\"d\"}}, {other}, {other}]"),
            "stands twice",
        ),
        ("\"folder\"", "\"colour\"", "unknown field `colour`"),
        ("127.0.0.1:1", "localhost:1", "invalid socket address"),
    ];
    for (old, new, problem) in cases {
        let text = good.replacen(old, new, 1);
        let result = settings::parse::<Raw>("s.json", &text)
            .map_err(|e| e.to_string())
            .and_then(|raw| Settings::try_from(raw).map_err(|e| e.to_string()));
        let error = result.expect_err(new);
        assert!(error.contains(problem), "{error}");
    }
    let raw: Raw = settings::parse("s.json", good).unwrap();
    Settings::try_from(raw).unwrap();
}

/// Guards against a bill that is lost or counted twice when two instances
/// store it at two replicas, and when a replica restarts.
#[tokio::test]
async fn bills_are_a_union() {
    let mut world = World::start("bills", 3);
    let client = world.client();
    let bill = |request: &str, cost| ledger::Bill {
        account: name::Account::try_from("mill").unwrap(),
        request: name::Request::try_from(request).unwrap(),
        parts: vec![ledger::Part {
            version: None,
            prompt_tokens: 0,
            answer_tokens: 0,
            cost,
        }],
    };
    let address = |at: usize| world.replicas[at].address.to_string();
    for (at, bills, fresh) in [
        (0, vec![bill("r1", 5), bill("r2", 5)], 2),
        (0, vec![bill("r1", 5), bill("r2", 4)], 0),
        (1, vec![bill("r2", 7)], 1),
    ] {
        let put = rpc::Bills { bills };
        let stored: usize = client
            .pool()
            .call(&address(at), rpc::BILL_PUT, &put, LIMIT)
            .await
            .unwrap();
        assert_eq!(stored, fresh);
    }
    world.stop(0);
    world.restart(0);
    let mut costs = Vec::new();
    for _ in 0..200 {
        costs.clear();
        for replica in &world.replicas {
            let from = rpc::BillsFrom { from: 0 };
            // The first call after a restart may use a connection of the earlier process.
            let page: Result<rpc::BillPage, _> = client
                .pool()
                .call(&replica.address.to_string(), rpc::BILL_LIST, &from, LIMIT)
                .await;
            let Ok(page) = page else { continue };
            let last = |r: &str| page.bills.iter().rfind(|b| b.request.as_str() == r);
            costs.push([
                last("r1").map(ledger::Bill::cost),
                last("r2").map(ledger::Bill::cost),
            ]);
        }
        if costs == [[Some(5), Some(7)]; 3] {
            return;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("the replicas keep {costs:?}");
}
