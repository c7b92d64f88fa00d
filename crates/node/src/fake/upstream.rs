use std::{io, time::Duration};

use masticlock_core::{
    directory::{Announcement, State},
    inventory::{self, Offer},
    name,
};

use super::{Announcer, Conduct, Engine, Profile, Service};

/// Concurrency of an engine when warm.
const WARM: u32 = 16;
/// Concurrency of an engine when cold.
const COLD: u32 = 2;
/// Concurrency of a service.
const SERVICE_SLOTS: u32 = 64;

/// A fake of an upstream of the Pindan Crown example inventory, which announces itself.
pub struct Upstream {
    /// Its name.
    pub name: name::Upstream,
    /// Its failure domain.
    pub domain: name::Domain,
    /// The engine, if it is one.
    pub engine: Option<Engine>,
    /// The service, if it is one.
    pub service: Option<Service>,
    /// The plain service that it belongs to.
    pub offers: Option<name::Service>,
    _announcer: Announcer,
}

fn invalid(error: name::Error) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidInput, error)
}

/// Returns the versions and the behaviour of an engine of the example inventory.
fn profile(upstream: &name::Upstream) -> io::Result<Profile> {
    let (versions, first_ms): (&[&str], u64) = match upstream.as_str().rsplit_once('-') {
        Some((kind, _)) if kind.starts_with("roster") => (&["roster-8b@2"], 18),
        Some((_, "1" | "2")) => (&["advisor-3b@4"], 12),
        Some((_, "3" | "4")) => (&["advisor-14b@2", "advisor-14b@3"], 22),
        _ => (&["advisor-70b@1"], 42),
    };
    let versions = versions.iter().map(|v| name::Version::try_from(*v));
    Ok(Profile {
        versions: versions.collect::<Result<_, _>>().map_err(invalid)?,
        warm: WARM,
        cold: COLD,
        first: Duration::from_millis(first_ms),
        between: Duration::from_millis(1),
        tokens: 24,
        ..Profile::default()
    })
}

impl Upstream {
    /// Starts a fake that announces itself at the entry instances `urls` with the credential of
    /// the example inventory. Services share the bookings of a `running` one.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(
        entry: &inventory::Upstream,
        urls: Vec<String>,
        running: &[Self],
    ) -> io::Result<Self> {
        let mut said = Announcement {
            upstream: entry.name.clone(),
            incarnation: 1,
            address: String::new(),
            domain: entry.domain.clone(),
            offer: entry.offer,
            service: entry.service.clone(),
            versions: Vec::new(),
            warm: SERVICE_SLOTS,
            cold: SERVICE_SLOTS,
            fences: false,
            state: State::Ready,
            token: None,
        };
        let (mut engine, mut service) = (None, None);
        match entry.offer {
            Offer::Engine => {
                let profile = profile(&entry.name)?;
                said.versions.clone_from(&profile.versions);
                (said.warm, said.cold) = (profile.warm, profile.cold);
                let started = Engine::start(profile).await?;
                said.address = started.line().url();
                engine = Some(started);
            }
            Offer::Service => {
                let same = running.iter().find(|u| u.offers == entry.service);
                let started = match same.and_then(|u| u.service.as_ref()) {
                    Some(first) => first.replica().await?,
                    None => Service::start(Conduct::default()).await?,
                };
                said.address = started.line().url();
                service = Some(started);
            }
        }
        let credential = format!("example-key-{}", entry.name);
        Ok(Self {
            name: entry.name.clone(),
            domain: entry.domain.clone(),
            engine,
            service,
            offers: entry.service.clone(),
            _announcer: Announcer::start(said, credential, urls),
        })
    }
}
