//! Names and content of the design size.

use masticlock_core::{
    config::{Change, Config},
    directory::{Announcement, State},
    evidence::{Arm, Key, Role},
    inventory::{self, Offer},
    name,
    request::{Fingerprint, Size},
};

/// Entry instances.
pub const NODES: u32 = 320;
/// Failure domains.
pub const DOMAINS: u32 = 9;
/// Entry instances of one failure domain, rounded up.
pub const DOMAIN_NODES: u32 = 36;
/// Engines.
pub const ENGINES: u32 = 860;
/// Engines of one failure domain, rounded up.
pub const DOMAIN_ENGINES: u32 = 96;
/// Models and versions.
pub const VERSIONS: u32 = 33;
/// Requests per second at the peak.
pub const REQUESTS: f64 = 4_300.0;
/// Changes of the configuration per second.
pub const CHANGES: f64 = 510.0 / 86_400.0;
/// Kinds of request. The deployments have three.
pub const TASKS: u32 = 3;

/// Versions of one model.
const VERSIONS_PER_MODEL: u32 = 3;

/// Returns a name of any type.
pub fn name<T>(kind: &str, at: u32) -> T
where
    T: for<'a> TryFrom<&'a str>,
{
    T::try_from(&format!("{kind}-{at:04}"))
        .ok()
        .expect("a valid name")
}

/// Returns the version with a number.
pub fn version(at: u32) -> name::Version {
    let (model, number) = (at / VERSIONS_PER_MODEL, at % VERSIONS_PER_MODEL);
    let text = format!("model-{model:02}@{number}");
    name::Version::try_from(text).expect("a valid name")
}

/// Returns the address of an instance.
pub fn address(at: u32) -> String {
    format!("10.0.{}.{}:4100", at / 256, at % 256)
}

/// Returns an engine that has three versions loaded, without token.
pub fn engine(at: u32) -> Announcement {
    Announcement {
        upstream: name("engine", at),
        incarnation: 1_790_000_000_000,
        address: format!("http://10.1.{}.{}:8000", at / 256, at % 256),
        domain: name("domain", at % DOMAINS),
        offer: Offer::Engine,
        service: None,
        versions: (0..3).map(|n| version((at + n) % VERSIONS)).collect(),
        warm: 64,
        cold: 8,
        fences: true,
        state: State::Ready,
        token: None,
    }
}

/// Returns a fingerprint that differs for each number.
pub fn fingerprint(at: u32) -> Fingerprint {
    Fingerprint::of(&name("account", at % 10), &at.to_le_bytes())
}

/// Returns the keys of evidence for a number of versions.
pub fn cells(versions: u32) -> Vec<Key> {
    let sizes = [Size::Small, Size::Medium, Size::Large];
    let mut keys = Vec::new();
    for at in 0..versions {
        for task in 0..TASKS {
            keys.extend(sizes.map(|size| Key {
                version: version(at),
                task: name("task", task),
                size,
                role: Role::Alone,
                arm: Arm::default(),
            }));
        }
    }
    keys
}

/// Returns an inventory with a number of engines and versions.
pub fn inventory(engines: u32, versions: u32) -> inventory::Raw {
    let hash = "0123456789abcdef".repeat(4);
    let domain = |at| inventory::Domain {
        name: name("domain", at),
        region: name("region", at % 3),
    };
    let one = |at: u32| inventory::Version {
        name: version(at),
        model: name("model", at / VERSIONS_PER_MODEL),
        prompt_cost: 100 + u64::from(at),
        answer_cost: 300 + u64::from(at),
        prior_quality: 0.6 + f64::from(at) / 100.0,
        prior_first_ms: 100,
        prior_token_ms: 5.0,
        stable: at.is_multiple_of(VERSIONS_PER_MODEL),
    };
    let upstream = |at| inventory::Upstream {
        name: name("engine", at),
        domain: name("domain", at % DOMAINS),
        offer: Offer::Engine,
        service: None,
        credential_sha256: hash.clone(),
    };
    let account = |at| inventory::Account {
        name: name("account", at),
        key_sha256: format!("{at:064x}"),
        rate: 1_000,
        concurrency: 1_000,
        weight: 1,
    };
    inventory::Raw {
        domains: (0..DOMAINS).map(domain).collect(),
        versions: (0..versions).map(one).collect(),
        upstreams: (0..engines).map(upstream).collect(),
        accounts: (0..10).map(account).collect(),
    }
}

/// Returns rules that allow every account all models.
fn rules() -> inventory::RawRules {
    let task = |at| inventory::TaskRule {
        task: name("task", at),
        quality: 0.7,
        deadline_ms: 20_000,
        explore: true,
        cascade: true,
    };
    inventory::RawRules {
        accounts: vec![inventory::AccountRule {
            account: None,
            models: (0..VERSIONS / VERSIONS_PER_MODEL)
                .map(|at| name("model", at))
                .collect(),
            except: Vec::new(),
            services: Vec::new(),
            spill: true,
            when_full: inventory::WhenFull::default(),
            explore: 0.0,
        }],
        tasks: (0..TASKS).map(task).collect(),
        ..inventory::RawRules::default()
    }
}

/// Returns a configuration with a number of engines and versions.
pub fn config(engines: u32, versions: u32) -> Config {
    Config::default()
        .changed(&Change::Import(inventory(engines, versions)))
        .and_then(|config| config.changed(&Change::SetRules(rules())))
        .expect("a valid inventory")
}
