//! Control replicas, entry instances and fake upstreams of three failure domains in one process.

use std::{
    future::Future,
    net::TcpListener,
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use masticlock::{
    client::Control,
    control::{self, Begin},
    entry::{RawLimits, RawSettings, Settings, key_digest},
    fake::{Announcer, Conduct, Engine, Profile, Service},
    instance::{self, Handle},
    rpc::{Submit, Submitted},
};
use masticlock_core::{
    command::{Command, Outcome},
    config::Change,
    directory::{Announcement, State},
    inventory::{self, Offer},
    name,
    time::Span,
};
use reqwest::{Client, RequestBuilder};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

pub const SECRET: &str = "secret-of-the-test-cluster";
/// Failure domains, each with a control replica.
pub const DOMAINS: [&str; 3] = ["east", "west", "north"];
/// Accounts, whose keys are their names with `-key`. The rule of `local` forbids spillover.
const ACCOUNTS: [&str; 2] = ["mill", "local"];
const CREDENTIAL: &str = "upstream-key";
/// Longest wait for a condition, with a reserve for a busy machine.
pub const LIMIT: Duration = Duration::from_secs(30);
/// Time limit of a call to control.
pub const CALL: Span = Span::from_secs(10);
/// Calls that the booking service takes at once.
const SERVICE_SLOTS: u32 = 64;

static FOLDERS: AtomicU32 = AtomicU32::new(0);

/// An entry instance and what is needed to start it again.
pub struct Node {
    settings: instance::Settings,
    pub handle: Option<Handle>,
}

/// A fake engine that announces itself until it crashes.
pub struct Machine {
    pub engine: Arc<Engine>,
    announcing: tokio::task::JoinHandle<()>,
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.announcing.abort();
    }
}

pub struct Cluster {
    pub control: Control,
    pub addresses: Vec<String>,
    pub replicas: Vec<control::Handle>,
    pub nodes: Vec<Node>,
    pub machines: Vec<Machine>,
    pub service: Service,
    _announcer: Announcer,
    pub folder: PathBuf,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for replica in &self.replicas {
            replica.stop();
        }
        std::fs::remove_dir_all(&self.folder).ok();
    }
}

/// Returns a name that is known to be valid.
pub fn name<N>(text: &str) -> N
where
    N: for<'a> TryFrom<&'a str, Error = name::Error>,
{
    N::try_from(text).unwrap()
}

/// Waits until a condition holds.
pub async fn eventually<C, F>(what: &str, condition: C)
where
    C: Fn() -> F,
    F: Future<Output = bool>,
{
    let end = Instant::now() + LIMIT;
    while !condition().await {
        assert!(Instant::now() < end, "not within {LIMIT:?}: {what}");
        sleep(Duration::from_millis(10)).await;
    }
}

fn inventory(engines: &[(&str, Profile)]) -> inventory::Raw {
    let version = |name: &str, model: &str, cost: u64, quality: f64| {
        json!({
            "name": name, "model": model, "prompt_cost": cost, "answer_cost": 2 * cost,
            "prior_quality": quality, "prior_first_ms": 50, "prior_token_ms": 5.0, "stable": true
        })
    };
    let credential = key_digest(CREDENTIAL);
    let mut upstreams: Vec<_> = engines
        .iter()
        .enumerate()
        .map(|(at, (domain, _))| {
            json!({"name": format!("engine-{at}"), "domain": domain, "offer": "engine",
                "credential_sha256": credential})
        })
        .collect();
    upstreams.push(
        json!({"name": "booking-0", "domain": "east", "offer": "service",
        "service": "booking", "credential_sha256": credential}),
    );
    let accounts = ACCOUNTS.map(|account| {
        json!({"name": account, "key_sha256": key_digest(&format!("{account}-key")),
            "rate": 10_000, "concurrency": 10_000})
    });
    let domains = DOMAINS.map(|domain| json!({"name": domain, "region": "pnw"}));
    serde_json::from_value(json!({
        "domains": domains,
        "versions": [
            version("advisor@1", "advisor", 1_000, 0.8),
            version("advisor@2", "advisor", 1_500, 0.85),
            version("large@1", "large", 9_000, 0.95),
        ],
        "upstreams": upstreams,
        "accounts": accounts,
    }))
    .unwrap()
}

fn rules() -> inventory::RawRules {
    serde_json::from_value(json!({
        "accounts": [
            {"models": ["advisor", "large"], "services": ["booking"]},
            {"account": "local", "models": ["advisor", "large"], "spill": false},
        ],
        "tasks": [{"task": "chat", "quality": 0.7, "deadline_ms": 20_000, "cascade": false}],
        "services": [{
            "service": "booking", "method": "POST", "path": "/bookings",
            "repeatable": false, "lookup": "/bookings/{key}"
        }],
    }))
    .unwrap()
}

fn start_control(folder: &std::path::Path) -> Vec<control::Handle> {
    let listeners = DOMAINS.map(|_| TcpListener::bind("127.0.0.1:0").unwrap());
    let replicas: Vec<_> = DOMAINS
        .iter()
        .zip(&listeners)
        .map(|(domain, listener)| control::Replica {
            instance: name(&format!("control-{domain}")),
            address: listener.local_addr().unwrap(),
            domain: name(domain),
        })
        .collect();
    let start = |(replica, listener): (&control::Replica, TcpListener)| {
        let raw = control::Raw {
            instance: replica.instance.clone(),
            folder: folder.join(replica.instance.as_str()),
            secret: SECRET.into(),
            replicas: replicas.clone(),
            json_log: false,
            statsd: None,
        };
        let settings = control::Settings::try_from(raw).unwrap();
        control::start_on(settings, Begin::Found, listener).unwrap()
    };
    replicas.iter().zip(listeners).map(start).collect()
}

fn node_settings(domain: &str, at: usize, control: &[String]) -> instance::Settings {
    let raw = RawSettings {
        instance: name(&format!("entry-{domain}-{at}")),
        domain: name(domain),
        listen: ([127, 0, 0, 1], 0).into(),
        session_key: "session-key-of-the-test-cluster".into(),
        metrics: None,
        limits: RawLimits {
            notice_ms: 0,
            ..RawLimits::default()
        },
    };
    instance::Settings {
        entry: Settings::try_from(raw).unwrap(),
        listen: ([127, 0, 0, 1], 0).into(),
        seeds: Vec::new(),
        control: control.to_vec(),
        secret: SECRET.into(),
    }
}

impl Node {
    pub fn handle(&self) -> &Handle {
        self.handle.as_ref().unwrap()
    }

    async fn start(&mut self, listener: TcpListener) {
        self.settings.listen = listener.local_addr().unwrap();
        let started = instance::start_on(self.settings.clone(), listener).await;
        self.handle = Some(started.unwrap());
    }

    /// Stops the instance gracefully and starts a new process of it on other ports.
    pub async fn restart(&mut self) {
        let cut = self.handle.take().unwrap().stop(sleep(LIMIT)).await;
        assert_eq!(cut, 0, "a graceful stop interrupts no request");
        self.start(TcpListener::bind("127.0.0.1:0").unwrap()).await;
    }
}

async fn start_nodes(entries: [usize; 3], control: &[String]) -> Vec<Node> {
    let mut nodes = Vec::new();
    for (domain, count) in DOMAINS.iter().zip(entries) {
        let bind = |_| TcpListener::bind("127.0.0.1:0").unwrap();
        let listeners: Vec<_> = (0..count).map(bind).collect();
        let address = |l: &TcpListener| l.local_addr().unwrap().to_string();
        let seeds: Vec<_> = listeners.iter().map(address).collect();
        for (at, listener) in listeners.into_iter().enumerate() {
            let mut settings = node_settings(domain, at, control);
            settings.seeds.clone_from(&seeds);
            let handle = None;
            let mut node = Node { settings, handle };
            node.start(listener).await;
            nodes.push(node);
        }
    }
    nodes
}

fn announcement(upstream: &str, domain: &str, offer: Offer) -> Announcement {
    Announcement {
        upstream: name(upstream),
        incarnation: 1,
        address: String::new(),
        domain: name(domain),
        offer,
        service: None,
        versions: Vec::new(),
        warm: SERVICE_SLOTS,
        cold: SERVICE_SLOTS,
        fences: true,
        state: State::Ready,
        token: None,
    }
}

async fn start_machine(at: usize, domain: &str, profile: Profile, urls: Vec<String>) -> Machine {
    let mut said = announcement(&format!("engine-{at}"), domain, Offer::Engine);
    said.versions.clone_from(&profile.versions);
    (said.warm, said.cold) = (profile.warm, profile.cold);
    let engine = Arc::new(Engine::start(profile).await.unwrap());
    said.address = engine.line().url();
    let announcer = Announcer::start(said, CREDENTIAL.into(), urls);
    let watched = engine.clone();
    let announcing = tokio::spawn(async move {
        while !watched.record().crashed {
            sleep(Duration::from_millis(5)).await;
        }
        drop(announcer);
    });
    Machine { engine, announcing }
}

impl Cluster {
    /// Starts three control replicas, entry instances in the three failure domains, engines with
    /// their failure domains, and a booking service in the first failure domain.
    pub async fn start(entries: [usize; 3], engines: Vec<(&str, Profile)>) -> Self {
        let number = FOLDERS.fetch_add(1, Ordering::Relaxed);
        let folder = format!("masticlock-instance-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(folder);
        std::fs::create_dir_all(&folder).unwrap();
        let replicas = start_control(&folder);
        let addresses: Vec<_> = replicas.iter().map(|r| r.address().to_string()).collect();
        let control = Control::new(addresses.clone(), SECRET).unwrap();
        let service = Service::start(Conduct::default()).await.unwrap();
        submit(&control, "import", Change::Import(inventory(&engines))).await;
        submit(&control, "rules", Change::SetRules(rules())).await;
        let nodes = start_nodes(entries, &addresses).await;
        let urls = |domain: &str| -> Vec<_> {
            let own = nodes
                .iter()
                .filter(|n| n.settings.entry.domain.as_str() == domain);
            own.map(|n| n.handle().url()).collect()
        };
        let mut machines = Vec::new();
        for (at, (domain, profile)) in engines.into_iter().enumerate() {
            machines.push(start_machine(at, domain, profile, urls(domain)).await);
        }
        let mut said = announcement("booking-0", "east", Offer::Service);
        said.service = Some(name("booking"));
        said.address = service.line().url();
        let announcer = Announcer::start(said, CREDENTIAL.into(), urls("east"));
        let cluster = Self {
            control,
            addresses,
            replicas,
            nodes,
            machines,
            service,
            _announcer: announcer,
            folder,
        };
        cluster.wait_for_upstreams().await;
        cluster
    }

    /// Waits until each upstream has an owner that lends its slots.
    async fn wait_for_upstreams(&self) {
        let engines = (0..self.machines.len()).map(|at| format!("engine-{at}"));
        for upstream in engines.chain(["booking-0".into()]) {
            let upstream = name(&upstream);
            let has_owner = || async {
                let mut handles = self.nodes.iter().filter_map(|n| n.handle.as_ref());
                handles.any(|h| h.peer().load(&upstream).is_some())
            };
            eventually(&format!("{upstream} has an owner"), has_owner).await;
        }
    }

    /// Returns a model request of an account through an entry instance.
    pub fn model(&self, node: usize, account: &str, text: &str, more: Value) -> RequestBuilder {
        let mut body = json!({
            "model": "auto", "messages": [{"role": "user", "content": text}]
        });
        if let (Some(body), Value::Object(more)) = (body.as_object_mut(), more) {
            body.extend(more);
        }
        Client::new()
            .post(format!(
                "{}/v1/chat/completions",
                self.nodes[node].handle().url()
            ))
            .bearer_auth(format!("{account}-key"))
            .timeout(LIMIT)
            .json(&body)
    }

    /// Returns a booking through an entry instance.
    pub fn booking(&self, node: usize, key: &str) -> RequestBuilder {
        let url = self.nodes[node].handle().url();
        Client::new()
            .post(format!("{url}/services/booking/bookings"))
            .bearer_auth("mill-key")
            .header("idempotency-key", key)
            .timeout(LIMIT)
            .body("palm 7")
    }

    /// Submits a change and waits until it is in force.
    pub async fn submit(&self, id: &str, change: Change) {
        assert!(submit(&self.control, id, change).await.in_force, "{id}");
    }
}

async fn submit(control: &Control, id: &str, change: Change) -> Submitted {
    let submit = Submit {
        command: Command {
            id: name(id),
            operator: "test".into(),
            expects: None,
            change,
        },
        wait: Span::from_secs(20),
    };
    let submitted = control.submit(&submit, Span::from_secs(30)).await.unwrap();
    let accepted = matches!(submitted.outcome, Outcome::Accepted { .. });
    assert!(accepted, "{id}: {:?}", submitted.outcome);
    submitted
}

/// Returns an engine's behaviour with these versions.
pub fn profile(versions: &[&str]) -> Profile {
    Profile {
        versions: versions.iter().map(|v| name(v)).collect(),
        ..Profile::default()
    }
}

/// Sends a request; returns its status, headers and body as JSON.
pub async fn send(request: RequestBuilder) -> (u16, reqwest::header::HeaderMap, Value) {
    let response = request.send().await.unwrap();
    let (status, headers) = (response.status().as_u16(), response.headers().clone());
    let text = response.text().await.unwrap();
    let body = serde_json::from_str(&text).unwrap_or(Value::String(text));
    (status, headers, body)
}
