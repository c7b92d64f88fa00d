//! Checks of a routing table before it is put in force.
//!
//! Errors are what a [`route::Table`] refuses. Warnings are about entries without effect and limits
//! that contradict each other: such a table is valid, but hardly what its author means.

pub mod difference;

use crate::{
    route::{self, Account, Place, Raw, Route, Service},
    time::Span,
};

/// How severe a finding is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// The table is valid, but an entry has no effect or a limit contradicts another one.
    Warning,
    /// The table is not put in force.
    Error,
}

/// A field of a table or of one of its parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Field {
    /// Revision number.
    Revision,
    /// Name of a part.
    Name,
    /// Host of a route.
    Host,
    /// Path prefix of a route.
    Prefix,
    /// How requests of a route may be retried.
    Kind,
    /// Timeout of a route.
    Timeout,
    /// Latency objective of a route.
    Objective,
    /// Maximum pause between the events of a stream.
    Gap,
    /// Priority of a route or client account.
    Priority,
    /// All shares of a route.
    Shares,
    /// Weight of one share, by position.
    Weight(usize),
    /// Maximum number of upstreams of a request.
    Attempts,
    /// Whether a route needs no key.
    Public,
    /// Whether streams of a route may be resumed.
    Resumable,
    /// All models of a route.
    Models,
    /// One model of a route, by position.
    Model(usize),
    /// Maximum connections to an upstream of a service.
    Connections,
    /// Maximum requests per second to an upstream during its cold start.
    ColdRate,
    /// Path of the health check of a service.
    Health,
    /// Memory of a service's engines.
    EngineMemory,
    /// Models of a service's engines.
    EngineModels,
    /// All keys of a client account, or whether keys are needed.
    Keys,
    /// One key of a client account, by position.
    Key(usize),
    /// Maximum size of a request head.
    HeadBytes,
    /// Maximum size of a request body.
    BodyBytes,
    /// Maximum time to read a request.
    ReadTimeout,
    /// Maximum time that a connection stays open without a request.
    IdleTimeout,
}

/// A finding about one part of a table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// How severe it is.
    pub severity: Severity,
    /// Part that it is about.
    pub place: Place,
    /// Field of that part.
    pub field: Field,
    /// What is wrong. It contains no key.
    pub text: String,
}

/// What is known of the upstreams of a service beside the table.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Upstream {
    /// Requests that one of them runs at the same time.
    pub slots: Option<u64>,
    /// Duration of their cold start.
    pub cold_time: Span,
}

/// What is known beside the table.
#[derive(Clone, Debug, Default)]
pub struct Facts {
    /// Upstreams of the services, in the order of [`Raw::services`].
    pub upstreams: Vec<Upstream>,
    /// Memory of an entry process for requests in bytes.
    pub memory_bytes: Option<u64>,
}

/// Returns all findings, sorted by place.
#[must_use]
pub fn check(raw: &Raw, facts: &Facts) -> Vec<Finding> {
    let errors = route::errors(raw.clone()).into_iter();
    let mut findings = Findings(errors.map(Finding::from).collect());
    // Control instances start with revision 0.
    findings.0.extend(check_revision(raw.revision, 0));
    findings.check_limits(&raw.limits, facts.memory_bytes);
    findings.check_routes(raw);
    findings.check_services(raw, facts);
    findings.check_access(raw);
    for (at, account) in raw.accounts.iter().enumerate() {
        findings.check_account(Place::Account(at), account);
    }
    findings.0.sort_by_key(|f| f.place);
    findings.0
}

/// Returns a finding if the revision would not replace the one in force.
#[must_use]
pub fn check_revision(revision: u64, in_force: u64) -> Option<Finding> {
    (revision <= in_force).then(|| Finding {
        severity: Severity::Error,
        place: Place::Table,
        field: Field::Revision,
        text: format!("revision {revision} is not higher than {in_force}, which is in force"),
    })
}

/// Returns a short digest by which operators can tell keys apart without seeing them.
#[must_use]
pub fn key_digest(key: &str) -> String {
    let mut hex = blake3::hash(key.as_bytes()).to_hex().to_string();
    hex.truncate(8);
    hex
}

impl From<(Place, route::Error)> for Finding {
    fn from((place, error): (Place, route::Error)) -> Self {
        let field = match &error {
            route::Error::UnknownService { .. } | route::Error::ZeroWeight(_) => Field::Shares,
            route::Error::DuplicateRoute(..) => Field::Prefix,
            route::Error::ZeroTimeout(_) => Field::Timeout,
            route::Error::SharedKey(..) => Field::Keys,
            route::Error::DuplicateService(_) => Field::Name,
        };
        Self {
            severity: Severity::Error,
            place,
            field,
            text: error.to_string(),
        }
    }
}

struct Findings(Vec<Finding>);

impl Findings {
    fn warn<T>(&mut self, place: Place, field: Field, text: T)
    where
        T: Into<String>,
    {
        self.0.push(Finding {
            severity: Severity::Warning,
            place,
            field,
            text: text.into(),
        });
    }

    fn check_limits(&mut self, limits: &route::Limits, memory_bytes: Option<u64>) {
        let (read, idle) = (limits.read_timeout, limits.idle_timeout);
        if read > idle {
            let text = format!(
                "the time to read a request, {read}, is over that of an idle connection, {idle}; \
                 idle connections stay open for the longer one"
            );
            self.warn(Place::Limits, Field::ReadTimeout, text);
        }
        let body = limits.body_bytes as u64;
        if let Some(memory) = memory_bytes.filter(|m| body > *m) {
            let text = format!("one body may have {body} bytes, a process has {memory} for it");
            self.warn(Place::Limits, Field::BodyBytes, text);
        }
    }

    fn check_routes(&mut self, raw: &Raw) {
        let mut engines: Vec<_> = raw.services.iter().map(engine_models).collect();
        engines.sort_unstable();
        for (at, route) in raw.routes.iter().enumerate() {
            let place = Place::Route(at);
            self.check_match(place, route);
            self.check_times(place, route);
            if route.attempts == 0 {
                let text = "a request is sent once even if no attempt is allowed";
                self.warn(place, Field::Attempts, text);
            }
            self.check_shares(place, route, &engines);
        }
    }

    /// Checks whether requests can match the route.
    fn check_match(&mut self, place: Place, route: &Route) {
        let is_outside_of_host = |c: char| c == ':' || c == '/' || c.is_whitespace();
        if route.host.is_empty() || route.host.contains(is_outside_of_host) {
            let text = format!(
                "no request matches: {:?} is not a host name without port",
                route.host
            );
            self.warn(place, Field::Host, text);
        }
        let prefix = &*route.prefix;
        let is_outside_of_path = |c: char| matches!(c, '?' | '#' | ' ') || c.is_control();
        if !prefix.starts_with('/') && !prefix.is_empty() {
            let text = format!("no request matches: {prefix:?} does not begin with a slash");
            self.warn(place, Field::Prefix, text);
        } else if prefix.contains(is_outside_of_path) {
            let text = format!(
                "no request matches: {prefix:?} has a query, fragment or blank, a path has none"
            );
            self.warn(place, Field::Prefix, text);
        } else if !prefix.ends_with('/') {
            let text = format!(
                "{prefix:?} does not end with a slash, so longer names of its last segment match too"
            );
            self.warn(place, Field::Prefix, text);
        }
    }

    fn check_times(&mut self, place: Place, route: &Route) {
        let timeout = route.timeout;
        if route.objective > timeout {
            let text = format!(
                "the objective, {}, is over the timeout, {timeout}",
                route.objective
            );
            self.warn(place, Field::Objective, text);
        }
        match route.gap {
            Some(Span::ZERO) => {
                let text = "no two events come within 0 ms, so every stream is late";
                self.warn(place, Field::Gap, text);
            }
            Some(gap) if gap > timeout => {
                let text = format!("the longest pause, {gap}, is over the timeout, {timeout}");
                self.warn(place, Field::Gap, text);
            }
            Some(_) | None => {}
        }
    }

    fn check_shares(&mut self, place: Place, route: &Route, engines: &[(&str, Vec<&str>)]) {
        let has_weight = route.shares.iter().any(|s| s.weight > 0);
        for (at, share) in route.shares.iter().enumerate() {
            let service = &*share.service;
            if share.weight == 0 {
                // A route without any weight is an error.
                if has_weight {
                    let text = format!("service {service} gets no requests with a weight of 0");
                    self.warn(place, Field::Weight(at), text);
                }
                continue;
            }
            let Ok(found) = engines.binary_search_by(|(name, _)| (*name).cmp(service)) else {
                continue;
            };
            let known = &engines[found].1;
            for (at, model) in route.models.iter().enumerate() {
                if !known.is_empty() && known.binary_search(&&**model).is_err() {
                    let text = format!("the engines of service {service} don't have model {model}");
                    self.warn(place, Field::Model(at), text);
                }
            }
        }
    }

    fn check_services(&mut self, raw: &Raw, facts: &Facts) {
        let shares = raw.routes.iter().flat_map(|r| &r.shares);
        let mut used: Vec<_> = shares
            .filter(|s| s.weight > 0)
            .map(|s| &s.service)
            .collect();
        used.sort_unstable();
        for (at, service) in raw.services.iter().enumerate() {
            let place = Place::Service(at);
            if used.binary_search(&&service.name).is_err() {
                let text = format!("no route sends requests to service {}", service.name);
                self.warn(place, Field::Name, text);
            }
            let upstream = facts.upstreams.get(at).copied().unwrap_or_default();
            self.check_upstream(place, service, upstream);
        }
    }

    fn check_upstream(&mut self, place: Place, service: &Service, upstream: Upstream) {
        let connections = u64::from(service.connections);
        // A maximum of 0 is one that is not stated.
        if let Some(slots) = upstream
            .slots
            .filter(|s| connections > 0 && connections < *s)
        {
            let text = format!("{connections} connections can't fill {slots} slots");
            self.warn(place, Field::Connections, text);
        }
        let (rate, cold_time) = (service.cold_rate, upstream.cold_time);
        if rate <= 0.0 && cold_time > Span::ZERO {
            let text = format!("a rate of {rate} sets no limit to a cold start of {cold_time}");
            self.warn(place, Field::ColdRate, text);
        }
    }

    fn check_access(&mut self, raw: &Raw) {
        if raw.needs_keys && raw.accounts.iter().all(|a| a.keys.is_empty()) {
            let text = "keys are needed and there is none: only public routes are served";
            self.warn(Place::Table, Field::Keys, text);
        }
    }

    fn check_account(&mut self, place: Place, account: &Account) {
        if account.keys.is_empty() {
            let text = format!("client account {} has no key", account.name);
            self.warn(place, Field::Keys, text);
        }
        for (at, key) in account.keys.iter().enumerate() {
            let is_visible = |b: u8| b == b'\t' || (0x20..0x7f).contains(&b);
            if key.is_empty() {
                let text = "an empty key lets in everyone who sends an empty one";
                self.warn(place, Field::Key(at), text);
            } else if key.trim() != &**key || !key.bytes().all(is_visible) {
                let digest = key_digest(key);
                let text = format!("no request has key {digest}: it can't stand in a header");
                self.warn(place, Field::Key(at), text);
            }
        }
        let mut keys: Vec<_> = account.keys.iter().zip(0..).collect();
        keys.sort_unstable();
        for pair in keys.windows(2).filter(|p| p[0].0 == p[1].0) {
            let (key, at) = pair[1];
            let text = format!("key {} is in the list already", key_digest(key));
            self.warn(place, Field::Key(at), text);
        }
    }
}

/// Returns the name of a service and the models of its engines, sorted.
fn engine_models(service: &Service) -> (&str, Vec<&str>) {
    let models = service.engine.iter().flat_map(|e| &e.models);
    let mut models: Vec<_> = models.map(|m| &*m.name).collect();
    models.sort_unstable();
    (&service.name, models)
}
