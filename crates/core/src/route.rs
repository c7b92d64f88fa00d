//! Routing table from host and path to services, with the client accounts that may use it.
//!
//! A [`Raw`] table is unchecked input. A [`Table`] is valid: every service that a route names
//! exists, no two routes have the same host and prefix, and no key belongs to two client accounts.

use std::sync::Arc;

use crate::{fault::Fault, time::Span};

plain! {
    /// How requests of a route may be retried.
    #[derive(Copy, Eq)]
    pub enum Kind {
        /// May run more than once.
        Idempotent,
        /// Runs at most once.
        NonRepeatable,
        /// Is answered by a stream of events.
        Stream,
    }

    /// A share of a route's requests that goes to a service.
    #[derive(Eq)]
    pub struct Share {
        /// The service.
        pub service: Arc<str>,
        /// Weight relative to the route's other shares.
        pub weight: u64,
    }

    /// A rule for the requests of one host and path prefix.
    #[derive(Eq)]
    pub struct Route {
        /// Name in the configuration.
        pub name: Arc<str>,
        /// Host, in lowercase and without port.
        pub host: Arc<str>,
        /// Path prefix; starts and ends with a slash.
        pub prefix: Arc<str>,
        /// How requests may be retried.
        pub kind: Kind,
        /// Maximum time until the answer is complete.
        pub timeout: Span,
        /// Latency objective: time within which an answer has its full value. For a stream, the time
        /// until its first event.
        pub objective: Span,
        /// Maximum pause between two events of a stream that still meets the objective.
        pub gap: Option<Span>,
        /// Priority among routes; 0 is the highest.
        pub priority: u8,
        /// Services with their weights.
        pub shares: Vec<Share>,
        /// Maximum number of upstreams that one request may be sent to.
        pub attempts: u32,
        /// Whether requests are accepted without a key.
        pub public: bool,
        /// Whether another upstream may resume a stream after its last event.
        pub resumable: bool,
        /// Models that may answer, from the smallest to the largest. Empty if the caller names the
        /// model.
        pub models: Vec<Arc<str>>,
    }

    /// A model that the upstreams of a service run.
    pub struct Model {
        /// Name.
        pub name: Arc<str>,
        /// Cost of 1,000 generated tokens.
        pub cost: f64,
    }

    /// Capacity and models of a model engine.
    pub struct Engine {
        /// Capacity of the memory for running requests and cached prefixes, in tokens.
        pub memory_tokens: u64,
        /// Models with their costs.
        pub models: Vec<Model>,
    }

    /// A group of upstreams that run the same program.
    pub struct Service {
        /// Name.
        pub name: Arc<str>,
        /// Maximum connections to one upstream from all instances together.
        pub connections: u32,
        /// Maximum requests per second to an upstream during its cold start; 0 for no limit.
        pub cold_rate: f64,
        /// Path of the health check of its upstreams, if they have one.
        pub health: Option<Arc<str>>,
        /// Its model engines; `None` for plain services.
        pub engine: Option<Engine>,
    }

    /// A client account.
    #[derive(Eq)]
    pub struct Account {
        /// Name.
        pub name: Arc<str>,
        /// API keys of the account.
        pub keys: Vec<Arc<str>>,
        /// Priority that overrides the route's.
        pub priority: Option<u8>,
    }

    /// Limits on what callers may send.
    #[derive(Copy, Eq)]
    pub struct Limits {
        /// Maximum size of a request head in bytes.
        pub head_bytes: usize,
        /// Maximum size of a request body in bytes.
        pub body_bytes: usize,
        /// Maximum time to read a request.
        pub read_timeout: Span,
        /// Maximum time that a connection stays open without a request.
        pub idle_timeout: Span,
    }

    /// An unchecked routing table.
    pub struct Raw {
        /// Revision number that the operator assigned.
        pub revision: u64,
        /// Routes.
        pub routes: Vec<Route>,
        /// Services.
        pub services: Vec<Service>,
        /// Whether requests of routes that are not public need the key of a client account.
        pub needs_keys: bool,
        /// Client accounts.
        pub accounts: Vec<Account>,
        /// Limits on what callers may send.
        pub limits: Limits,
    }
}

/// Why a routing table is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A route names a service that the table does not define.
    #[error("route {route} names the unknown service {service}")]
    UnknownService {
        /// The route.
        route: Arc<str>,
        /// The service.
        service: Arc<str>,
    },
    /// Two routes have the same host and prefix.
    #[error("routes {0} and {1} have the same host and path prefix")]
    DuplicateRoute(Arc<str>, Arc<str>),
    /// The weights of a route add up to zero.
    #[error("the weights of route {0} add up to zero")]
    ZeroWeight(Arc<str>),
    /// The timeout of a route is zero.
    #[error("the timeout of route {0} is zero")]
    ZeroTimeout(Arc<str>),
    /// Two client accounts have the same key.
    #[error("client accounts {0} and {1} share a key")]
    SharedKey(Arc<str>, Arc<str>),
    /// Two services have the same name.
    #[error("service {0} is defined twice")]
    DuplicateService(Arc<str>),
}

/// Part of a [`Raw`] table, by its position in the lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Place {
    /// The table as a whole.
    Table,
    /// A route.
    Route(usize),
    /// A service.
    Service(usize),
    /// A client account.
    Account(usize),
    /// The limits.
    Limits,
}

/// A valid routing table.
#[derive(Clone, Debug)]
pub struct Table {
    revision: u64,
    limits: Limits,
    /// Sorted by host, then from the longest prefix to the shortest.
    routes: Vec<Arc<Route>>,
    /// Sorted by name.
    services: Vec<Arc<Service>>,
    /// Lowest and highest priority among the routes of each service, in the order of `services`.
    ranks: Vec<(u8, u8)>,
    /// Sorted by key.
    keys: Vec<Key>,
    needs_keys: bool,
}

/// A key with the client account that it belongs to.
type Key = (Arc<str>, Arc<Account>);

/// Parts of a raw table in the order in which a [`Table`] holds them, with their places.
struct Sorted {
    routes: Vec<(Place, Arc<Route>)>,
    services: Vec<(Place, Arc<Service>)>,
    keys: Vec<(Place, Key)>,
}

impl TryFrom<Raw> for Table {
    type Error = Error;

    fn try_from(raw: Raw) -> Result<Self, Error> {
        let (revision, limits, needs_keys) = (raw.revision, raw.limits, raw.needs_keys);
        let sorted = Sorted::from(raw);
        if let Some((_, error)) = sorted.errors().next() {
            return Err(error);
        }
        let routes = without_places(sorted.routes);
        let services = without_places(sorted.services);
        let ranks = services.iter().map(|s| ranks_of(&s.name, &routes));
        Ok(Self {
            revision,
            limits,
            ranks: ranks.collect(),
            routes,
            services,
            keys: without_places(sorted.keys),
            needs_keys,
        })
    }
}

/// Returns all errors for which a table is refused, with their places.
#[must_use]
pub fn errors(raw: Raw) -> Vec<(Place, Error)> {
    Sorted::from(raw).errors().collect()
}

fn with_places<T, P>(items: Vec<T>, place: P) -> Vec<(Place, Arc<T>)>
where
    P: Fn(usize) -> Place,
{
    let items = items.into_iter().enumerate();
    items.map(|(at, i)| (place(at), Arc::new(i))).collect()
}

fn without_places<T>(items: Vec<(Place, T)>) -> Vec<T> {
    items.into_iter().map(|(_, item)| item).collect()
}

impl From<Raw> for Sorted {
    fn from(raw: Raw) -> Self {
        let mut services = with_places(raw.services, Place::Service);
        services.sort_by(|(_, a), (_, b)| a.name.cmp(&b.name));
        let mut routes = with_places(raw.routes, Place::Route);
        routes.sort_by(|(_, a), (_, b)| {
            let longest_first = b.prefix.len().cmp(&a.prefix.len());
            a.host
                .cmp(&b.host)
                .then(longest_first)
                .then(a.prefix.cmp(&b.prefix))
        });
        let accounts = with_places(raw.accounts, Place::Account);
        let mut keys: Vec<_> = accounts
            .iter()
            .flat_map(|(place, a)| a.keys.iter().map(|k| (*place, (k.clone(), a.clone()))))
            .collect();
        keys.sort_by(|(_, a), (_, b)| a.0.cmp(&b.0));
        Self {
            routes,
            services,
            keys,
        }
    }
}

impl Sorted {
    /// Returns the errors, each found only when it is asked for.
    fn errors(&self) -> impl Iterator<Item = (Place, Error)> {
        let services = self.services.windows(2).filter_map(|pair| {
            let [(_, a), (place, b)] = pair else {
                return None;
            };
            (a.name == b.name).then(|| (*place, Error::DuplicateService(a.name.clone())))
        });
        let routes = self.routes.windows(2).filter_map(|pair| {
            let [(_, a), (place, b)] = pair else {
                return None;
            };
            let is_duplicate = a.host == b.host && a.prefix == b.prefix;
            is_duplicate.then(|| {
                let error = Error::DuplicateRoute(a.name.clone(), b.name.clone());
                (*place, error)
            })
        });
        let keys = self.keys.windows(2).filter_map(|pair| {
            let [(_, a), (place, b)] = pair else {
                return None;
            };
            let is_shared = a.0 == b.0 && a.1 != b.1;
            is_shared.then(|| {
                let error = Error::SharedKey(a.1.name.clone(), b.1.name.clone());
                (*place, error)
            })
        });
        let own = self.routes.iter().flat_map(|(place, route)| {
            let errors = route.errors(&self.services);
            errors.map(|error| (*place, error))
        });
        services.chain(routes).chain(own).chain(keys)
    }
}

/// Returns the lowest and the highest priority among the routes of a service.
fn ranks_of(service: &str, routes: &[Arc<Route>]) -> (u8, u8) {
    let has_share = |r: &&Arc<Route>| {
        r.shares
            .iter()
            .any(|s| *s.service == *service && s.weight > 0)
    };
    let ranks = routes.iter().filter(has_share).map(|r| r.priority);
    let lowest = ranks.clone().min().unwrap_or_default();
    (lowest, ranks.max().unwrap_or_default())
}

impl Table {
    /// Returns the revision number that the operator assigned.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the limits on what callers may send.
    #[must_use]
    pub const fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns the route of the host with the longest prefix that matches the path.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let start = self.routes.partition_point(|r| &*r.host < host);
        let of_host = self.routes[start..].iter().take_while(|r| &*r.host == host);
        of_host.into_iter().find(|r| path.starts_with(&*r.prefix))
    }

    /// Returns the service with that name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        let found = self.services.binary_search_by(|s| (*s.name).cmp(name));
        found.ok().map(|at| &self.services[at])
    }

    /// Returns the position of a priority among those of the service's routes, from 0 (highest
    /// priority) to 1 (lowest), or none if all its routes have the same.
    #[must_use]
    pub fn relative_rank(&self, service: &str, priority: u8) -> Option<f64> {
        let found = self.services.binary_search_by(|s| (*s.name).cmp(service));
        let (lowest, highest) = self.ranks[found.ok()?];
        let range = highest.checked_sub(lowest).filter(|range| *range > 0)?;
        // The priority of a client account may be outside of the range.
        let position = priority.clamp(lowest, highest) - lowest;
        Some(f64::from(position) / f64::from(range))
    }

    /// Returns the services, sorted by name.
    #[must_use]
    pub fn services(&self) -> &[Arc<Service>] {
        &self.services
    }

    /// Returns whether requests of routes that are not public need a key, also if there is none that
    /// is accepted.
    #[must_use]
    pub const fn needs_keys(&self) -> bool {
        self.needs_keys
    }

    /// Returns the table with keys needed, as an earlier one needed them.
    #[must_use]
    pub const fn with_keys_needed(mut self) -> Self {
        self.needs_keys = true;
        self
    }

    /// Returns the client account that the key belongs to.
    #[must_use]
    pub fn account(&self, key: &str) -> Option<&Arc<Account>> {
        let found = self.keys.binary_search_by(|k| (*k.0).cmp(key));
        found.ok().map(|at| &self.keys[at].1)
    }
}

impl Route {
    /// Returns what is wrong with the route, given all services sorted by name.
    fn errors(&self, services: &[(Place, Arc<Service>)]) -> impl Iterator<Item = Error> {
        let timeout = (self.timeout == Span::ZERO).then(|| Error::ZeroTimeout(self.name.clone()));
        let weight = self.shares.iter().all(|s| s.weight == 0);
        let weight = weight.then(|| Error::ZeroWeight(self.name.clone()));
        let is_unknown = |share: &&Share| {
            services
                .binary_search_by(|(_, s)| s.name.cmp(&share.service))
                .is_err()
        };
        let unknown = self.shares.iter().filter(is_unknown);
        let unknown = unknown.map(|share| Error::UnknownService {
            route: self.name.clone(),
            service: share.service.clone(),
        });
        timeout.into_iter().chain(weight).chain(unknown)
    }

    /// Returns the service for a request hash, in proportion to the weights of the shares.
    #[must_use]
    pub fn select_service(&self, hash: u64) -> Option<&Arc<str>> {
        let weights = self.shares.iter().map(|s| s.weight);
        let total = weights.fold(0, u64::saturating_add);
        let mut offset = hash.checked_rem(total)?;
        for share in &self.shares {
            if offset < share.weight {
                return Some(&share.service);
            }
            offset -= share.weight;
        }
        None
    }

    /// Returns whether a request that may already have run may be retried.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            Kind::Idempotent => true,
            Kind::NonRepeatable => Fault::RepeatUnsafe.is_injected(),
            Kind::Stream => self.resumable,
        }
    }
}
