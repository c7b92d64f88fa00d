use std::{io, time::Duration};

use masticlock_core::{
    config::{Change, Config},
    directory::{Announcement, State},
    inventory::{self, Offer},
    name,
};
use serde_json::json;
use tokio::{runtime::Handle, time::sleep};

use super::{Announcer, Conduct, Engine, Profile, Service};
use crate::{
    entry::{RawLimits, RawSettings, Settings, key_digest},
    local::Site,
};

/// Key of the client account `mill`.
pub const KEY: &str = "mill-key";
/// Credential of all fake upstreams.
const CREDENTIAL: &str = "upstream-key";

fn invalid<E>(error: E) -> io::Error
where
    E: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    io::Error::new(io::ErrorKind::InvalidInput, error)
}

/// Returns a name that is known to be valid.
fn name<N>(text: &str) -> io::Result<N>
where
    N: for<'a> TryFrom<&'a str, Error = name::Error>,
{
    N::try_from(text).map_err(invalid)
}

/// What a deployment consists of.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// One profile for each engine. An engine without versions loads `advisor@1`.
    pub engines: Vec<Profile>,
    /// Behaviour of the booking service.
    pub service: Conduct,
    /// Limits of the entry instance.
    pub limits: RawLimits,
}

/// Engines, a booking service and one entry instance on loopback ports.
pub struct Deployment {
    /// The entry instance.
    pub site: Site,
    /// The engines, in the order of the plan.
    pub engines: Vec<Engine>,
    /// The booking service.
    pub service: Service,
    /// Announcers of the engines and of the service, which is the last one.
    pub announcers: Vec<Announcer>,
}

/// Returns the settings of an entry instance on a port that the system chooses.
///
/// # Errors
///
/// Returns an error if a limit is out of range.
pub fn settings(limits: RawLimits) -> io::Result<Settings> {
    let raw = RawSettings {
        instance: name("entry-1")?,
        domain: name("east")?,
        listen: ([127, 0, 0, 1], 0).into(),
        session_key: "session-key-of-the-deployment".to_owned(),
        metrics: None,
        limits,
    };
    Settings::try_from(raw).map_err(invalid)
}

/// Returns the rules of a deployment.
///
/// # Errors
///
/// Returns an error if they don't parse.
pub fn rules() -> io::Result<inventory::RawRules> {
    serde_json::from_value(json!({
        "accounts": [{"models": ["advisor", "large"], "services": ["booking"]}],
        "tasks": [{"task": "report", "quality": 0.9, "deadline_ms": 20_000}],
        "services": [{
            "service": "booking", "method": "POST", "path": "/bookings",
            "repeatable": false, "lookup": "/bookings/{key}"
        }],
    }))
    .map_err(invalid)
}

fn inventory(engines: usize) -> io::Result<inventory::Raw> {
    let version = |name: &str, model: &str, cost: u64, quality: f64| {
        json!({
            "name": name, "model": model, "prompt_cost": cost, "answer_cost": 2 * cost,
            "prior_quality": quality, "prior_first_ms": 50, "prior_token_ms": 5.0, "stable": true
        })
    };
    let credential = key_digest(CREDENTIAL);
    let mut upstreams: Vec<_> = (0..engines)
        .map(|at| {
            json!({
                "name": format!("engine-{at}"), "domain": "east", "offer": "engine",
                "credential_sha256": credential
            })
        })
        .collect();
    upstreams.push(json!({
        "name": "booking-0", "domain": "east", "offer": "service", "service": "booking",
        "credential_sha256": credential
    }));
    serde_json::from_value(json!({
        "domains": [{"name": "east", "region": "pnw"}],
        "versions": [
            version("advisor@1", "advisor", 1_000, 0.8),
            version("advisor@2", "advisor", 1_500, 0.85),
            version("large@1", "large", 9_000, 0.95),
        ],
        "upstreams": upstreams,
        "accounts": [
            {"name": "mill", "key_sha256": key_digest(KEY), "rate": 10_000, "concurrency": 10_000},
            {"name": "other", "key_sha256": key_digest("other-key"), "rate": 1, "concurrency": 1},
        ],
    }))
    .map_err(invalid)
}

impl Deployment {
    /// Starts the processes of a plan and waits until all upstreams are known.
    ///
    /// # Errors
    ///
    /// Returns an error if a port can't be bound or a limit is out of range.
    pub async fn start(plan: Plan) -> io::Result<Self> {
        Self::start_on(plan, &Handle::current()).await
    }

    /// Starts the processes of a plan with the upstreams on a runtime of their own.
    ///
    /// # Errors
    ///
    /// Returns an error if a port can't be bound or a limit is out of range.
    pub async fn start_on(plan: Plan, upstreams: &Handle) -> io::Result<Self> {
        let import = Change::Import(inventory(plan.engines.len())?);
        let config = Config::default()
            .changed(&import)
            .and_then(|config| config.changed(&Change::SetRules(rules().unwrap_or_default())))
            .map_err(invalid)?;
        let site = Site::start(settings(plan.limits)?, config).await?;
        let mut engines = Vec::new();
        let mut announcers = Vec::new();
        for (at, mut profile) in plan.engines.into_iter().enumerate() {
            if profile.versions.is_empty() {
                profile.versions.push(name("advisor@1")?);
            }
            let engine = upstreams.spawn(Engine::start(profile)).await??;
            let said = announcement(&format!("engine-{at}"), &engine)?;
            announcers.push(announce(&site, said));
            engines.push(engine);
        }
        let service = upstreams.spawn(Service::start(plan.service)).await??;
        announcers.push(announce(&site, announcement_of(&service)?));
        let deployment = Self {
            site,
            engines,
            service,
            announcers,
        };
        while deployment.site.fleet.known() < deployment.announcers.len() {
            sleep(Duration::from_millis(2)).await;
        }
        Ok(deployment)
    }

    /// Returns the base URL of the entry instance.
    #[must_use]
    pub fn url(&self) -> String {
        self.site.url()
    }
}

fn announce(site: &Site, said: Announcement) -> Announcer {
    Announcer::start(said, CREDENTIAL.to_owned(), vec![site.url()])
}

fn announcement(upstream: &str, engine: &Engine) -> io::Result<Announcement> {
    let profile = engine.profile();
    Ok(Announcement {
        upstream: name(upstream)?,
        incarnation: 1,
        address: engine.line().url(),
        domain: name("east")?,
        offer: Offer::Engine,
        service: None,
        versions: profile.versions,
        warm: profile.warm,
        cold: profile.cold,
        fences: true,
        state: if profile.is_cold {
            State::Cold
        } else {
            State::Ready
        },
        token: None,
    })
}

/// Calls that the booking service takes at once.
const SERVICE_SLOTS: u32 = 256;

fn announcement_of(service: &Service) -> io::Result<Announcement> {
    Ok(Announcement {
        upstream: name("booking-0")?,
        incarnation: 1,
        address: service.line().url(),
        domain: name("east")?,
        offer: Offer::Service,
        service: Some(name("booking")?),
        versions: Vec::new(),
        warm: SERVICE_SLOTS,
        cold: SERVICE_SLOTS,
        fences: false,
        state: State::Ready,
        token: None,
    })
}
