//! The Pindan Crown example deployment in one process, with fake upstreams.

use std::{
    io,
    net::TcpListener,
    path::{Path, PathBuf},
    time::Duration,
};

use masticlock::rpc::{Submit, Submitted};
use masticlock::{
    client::Control,
    control::{self, Begin},
    entry,
    fake::Upstream,
    instance::{self, Handle},
};
use masticlock_core::{
    command::{Command, Outcome},
    config::Change,
    inventory, name, settings,
    time::Span,
};
use tokio::time::{Instant, sleep};

const INVENTORY: &str = include_str!("../../../../examples/pindan-crown/inventory.json");
const RULES: &str = include_str!("../../../../examples/pindan-crown/rules.json");
const SECRET: &str = "quickstart-cluster-secret";

/// Failure domains with the number of their entry instances.
const DOMAINS: [(&str, usize); 4] = [
    ("carnarvon", 3),
    ("gascoyne-jn", 2),
    ("onslow", 2),
    ("karratha", 2),
];

/// Failure domains that have a control replica.
const CONTROL: [&str; 3] = ["carnarvon", "gascoyne-jn", "onslow"];

/// Longest wait for the deployment to be complete.
const START_LIMIT: Duration = Duration::from_secs(20);

/// An error of any part.
pub type Failure = Box<dyn std::error::Error + Send + Sync>;

/// All processes of the deployment.
pub struct Deployment {
    pub control: Control,
    pub replicas: Vec<control::Handle>,
    pub entries: Vec<Option<(String, Handle)>>,
    pub upstreams: Vec<Upstream>,
    pub addresses: Vec<String>,
    pub inventory: inventory::Raw,
    folder: PathBuf,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        // The folder holds nothing that is used again.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn bind() -> io::Result<TcpListener> {
    TcpListener::bind("127.0.0.1:0")
}

fn start_control(folder: &Path) -> Result<Vec<control::Handle>, Failure> {
    let listeners = CONTROL
        .iter()
        .map(|_| bind())
        .collect::<Result<Vec<_>, _>>()?;
    let replicas = CONTROL
        .iter()
        .zip(&listeners)
        .map(|(domain, listener)| {
            Ok(control::Replica {
                instance: name::Instance::try_from(format!("control-{domain}"))?,
                address: listener.local_addr()?,
                domain: name::Domain::try_from(*domain)?,
            })
        })
        .collect::<Result<Vec<_>, Failure>>()?;
    let mut handles = Vec::new();
    for (replica, listener) in replicas.iter().zip(listeners) {
        let raw = control::Raw {
            instance: replica.instance.clone(),
            folder: folder.join(replica.instance.as_str()),
            secret: SECRET.into(),
            replicas: replicas.clone(),
            json_log: false,
            statsd: None,
        };
        let settings = control::Settings::try_from(raw)?;
        handles.push(control::start_on(settings, Begin::Found, listener)?);
    }
    Ok(handles)
}

async fn start_entries(control: &[String]) -> Result<Vec<Option<(String, Handle)>>, Failure> {
    let mut entries = Vec::new();
    for (domain, count) in DOMAINS {
        let listeners = (0..count).map(|_| bind()).collect::<Result<Vec<_>, _>>()?;
        let seeds = listeners
            .iter()
            .map(|l| Ok(l.local_addr()?.to_string()))
            .collect::<io::Result<Vec<_>>>()?;
        for (at, listener) in listeners.into_iter().enumerate() {
            let raw = entry::RawSettings {
                instance: name::Instance::try_from(format!("entry-{domain}-{}", at + 1))?,
                domain: name::Domain::try_from(domain)?,
                listen: ([127, 0, 0, 1], 0).into(),
                session_key: "quickstart-session-key".into(),
                metrics: None,
                limits: entry::RawLimits {
                    notice_ms: 500,
                    ..entry::RawLimits::default()
                },
            };
            let settings = instance::Settings {
                entry: entry::Settings::try_from(raw)?,
                listen: listener.local_addr()?,
                seeds: seeds.clone(),
                control: control.to_vec(),
                secret: SECRET.into(),
            };
            let handle = instance::start_on(settings, listener).await?;
            entries.push(Some((domain.to_owned(), handle)));
        }
    }
    Ok(entries)
}

impl Deployment {
    /// Starts three control replicas, imports inventory and rules, and starts nine entry
    /// instances and all upstreams of the inventory.
    pub async fn start() -> Result<Self, Failure> {
        let folder =
            std::env::temp_dir().join(format!("masticlock-quickstart-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let replicas = start_control(&folder)?;
        let addresses: Vec<_> = replicas.iter().map(|r| r.address().to_string()).collect();
        let control = Control::new(addresses.clone(), SECRET)?;
        let inventory: inventory::Raw = settings::parse("inventory.json", INVENTORY)?;
        let rules: inventory::RawRules = settings::parse("rules.json", RULES)?;
        let mut deployment = Self {
            control,
            replicas,
            entries: Vec::new(),
            upstreams: Vec::new(),
            addresses,
            inventory: inventory.clone(),
            folder,
        };
        deployment
            .submit("import", Change::Import(inventory.clone()))
            .await?;
        deployment.submit("rules", Change::SetRules(rules)).await?;
        deployment.entries = start_entries(&deployment.addresses).await?;
        for entry in &inventory.upstreams {
            let urls = deployment.urls(Some(entry.domain.as_str()));
            let started = Upstream::start(entry, urls, &deployment.upstreams).await?;
            deployment.upstreams.push(started);
        }
        deployment.wait_for_upstreams().await?;
        Ok(deployment)
    }

    /// Returns the base URLs of the entry instances, or of those in one failure domain.
    pub fn urls(&self, domain: Option<&str>) -> Vec<String> {
        let entries = self.entries.iter().flatten();
        entries
            .filter(|(own, _)| domain.is_none_or(|d| d == own))
            .map(|(_, handle)| handle.url())
            .collect()
    }

    /// Returns the addresses at which all processes answer other processes.
    pub fn processes(&self) -> Vec<String> {
        let entries = self.entries.iter().flatten();
        let entries = entries.map(|(_, handle)| handle.peer().address().to_string());
        self.addresses.iter().cloned().chain(entries).collect()
    }

    /// Submits a change; returns its outcome and whether it is in force.
    pub async fn submit(&self, id: &str, change: Change) -> Result<Submitted, Failure> {
        let submit = Submit {
            command: Command {
                id: name::Command::try_from(id)?,
                operator: "quickstart".into(),
                expects: None,
                change,
            },
            wait: Span::from_secs(4),
        };
        let submitted = self.control.submit(&submit, Span::from_secs(10)).await?;
        match &submitted.outcome {
            Outcome::Accepted { .. } => Ok(submitted),
            Outcome::Refused { error, .. } => Err(error.clone().into()),
        }
    }

    /// Waits until each owner may grant slots.
    async fn wait_for_upstreams(&self) -> Result<(), Failure> {
        let end = Instant::now() + START_LIMIT;
        for upstream in &self.upstreams {
            let name = upstream.name.clone();
            loop {
                let mut handles = self.entries.iter().flatten();
                if handles.any(|(_, h)| h.peer().load(&name).is_some()) {
                    break;
                }
                if Instant::now() >= end {
                    return Err(format!("{name} was not announced in time").into());
                }
                sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }

    /// Returns how much work was begun on engines of a failure domain so far.
    pub fn runs(&self, domain: &str) -> u64 {
        let own = self
            .upstreams
            .iter()
            .filter(|u| u.domain.as_str() == domain);
        own.filter_map(|u| u.engine.as_ref())
            .map(|engine| engine.record().runs)
            .sum()
    }

    /// Returns how often the booking of a key ran, on any instance of the booking service.
    pub fn bookings(&self, key: &str) -> u64 {
        let mut services = self.upstreams.iter().filter(|u| {
            let offers = u.offers.as_ref().map(name::Service::as_str);
            offers == Some("booking")
        });
        let service = services.find_map(|u| u.service.as_ref());
        service.map_or(0, |service| service.runs(key))
    }
}
