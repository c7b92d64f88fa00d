//! Inventory and rules that operators import, in raw and in validated form.
//!
//! [`Raw`] and [`RawRules`] mirror the files. [`Inventory`] and [`Rules`] are
//! validated and sorted by name, so that lookups use binary search.

use serde::{Deserialize, Serialize};

use crate::name;

/// Error in an inventory or in rules.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{location}: {problem}")]
pub struct Error {
    /// Path of the invalid entry or field, such as `versions[advisor-7b@3]`.
    pub location: String,
    /// Description of the error and the accepted values.
    pub problem: String,
}

impl Error {
    fn new<P, Q>(location: P, problem: Q) -> Self
    where
        P: Into<String>,
        Q: Into<String>,
    {
        Self {
            location: location.into(),
            problem: problem.into(),
        }
    }
}

/// Kind of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Offer {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// Behaviour when the upstreams of the best plan are full or unavailable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WhenFull {
    /// Waits for a slot as long as the deadline can still be met.
    #[default]
    Wait,
    /// Uses the next more expensive plan that meets the quality target.
    Dearer,
    /// Refuses the request at once, without running it.
    Refuse,
}

plain! {
    /// A failure domain and its region.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Domain {
        /// Name of the failure domain.
        pub name: name::Domain,
        /// Its region.
        pub region: name::Region,
    }

    /// A version of a model.
    #[serde(deny_unknown_fields)]
    pub struct Version {
        /// Name, unique among all models.
        pub name: name::Version,
        /// The model it is a version of.
        pub model: name::Model,
        /// Cost of 1,000 prompt tokens, in millionths of the accounting unit.
        pub prompt_cost: u64,
        /// Cost of 1,000 answer tokens, in millionths of the accounting unit.
        pub answer_cost: u64,
        /// Expected quality from 0 to 1 until ratings are available.
        pub prior_quality: f64,
        /// Expected time to the first token in milliseconds until measurements are available.
        pub prior_first_ms: u64,
        /// Expected time between two tokens in milliseconds until measurements are available.
        pub prior_token_ms: f64,
        /// Whether the version is stable from its first import, without a rollout.
        #[serde(default)]
        pub stable: bool,
    }

    /// An upstream that may announce itself.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Upstream {
        /// Name in its announcements.
        pub name: name::Upstream,
        /// Its failure domain.
        pub domain: name::Domain,
        /// Kind of the upstream.
        pub offer: Offer,
        /// Plain service that it belongs to. Only for [`Offer::Service`].
        #[serde(default)]
        pub service: Option<name::Service>,
        /// SHA-256 of its credential, in hexadecimal.
        pub credential_sha256: String,
    }

    /// A client account.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Account {
        /// Name of the client account.
        pub name: name::Account,
        /// SHA-256 of its key, in hexadecimal.
        pub key_sha256: String,
        /// Maximum rate over all instances, in requests per second.
        pub rate: u32,
        /// Maximum number of concurrent requests over all instances.
        pub concurrency: u32,
        /// Weight of its share under contention, relative to other client accounts.
        #[serde(default = "default_weight")]
        pub weight: u32,
    }

    /// An inventory as read from a file, before validation.
    #[derive(Default)]
    #[serde(deny_unknown_fields)]
    pub struct Raw {
        /// Failure domains.
        pub domains: Vec<Domain>,
        /// Versions of all models.
        pub versions: Vec<Version>,
        /// Upstreams that may announce themselves.
        pub upstreams: Vec<Upstream>,
        /// Client accounts.
        pub accounts: Vec<Account>,
    }

    /// Models, versions and services that a client account may use, and routing options.
    #[serde(deny_unknown_fields)]
    pub struct AccountRule {
        /// The client account, or `None` for all accounts without a rule of their own.
        #[serde(default)]
        pub account: Option<name::Account>,
        /// Allowed models.
        pub models: Vec<name::Model>,
        /// Excluded versions of allowed models.
        #[serde(default)]
        pub except: Vec<name::Version>,
        /// Allowed plain services.
        #[serde(default)]
        pub services: Vec<name::Service>,
        /// Whether requests may be served by another failure domain than the caller's.
        #[serde(default = "default_true")]
        pub spill: bool,
        /// Behaviour when the upstreams of the best plan are full.
        #[serde(default)]
        pub when_full: WhenFull,
        /// Maximum share of its requests that may be used for exploration, from 0 to 1.
        #[serde(default)]
        pub explore: f64,
    }

    /// Targets of one kind of request.
    #[serde(deny_unknown_fields)]
    pub struct TaskRule {
        /// The kind of request.
        pub task: name::Task,
        /// Quality target from 0 to 1.
        pub quality: f64,
        /// Default deadline in milliseconds.
        pub deadline_ms: u64,
        /// Whether requests of this kind may be used for exploration.
        #[serde(default)]
        pub explore: bool,
        /// Whether a cascade may be used.
        #[serde(default = "default_true")]
        pub cascade: bool,
    }

    /// Rule for calls of a plain service and whether they may be repeated.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct ServiceRule {
        /// The plain service.
        pub service: name::Service,
        /// HTTP method in upper case.
        pub method: String,
        /// Prefix of the path within the service.
        pub path: String,
        /// Whether a call may be sent more than once.
        pub repeatable: bool,
        /// Path of a status lookup that resolves an unknown outcome. `{key}` is replaced by the idempotency key.
        #[serde(default)]
        pub lookup: Option<String>,
    }

    /// Time for which a version may be served without contact to the majority.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct VersionRule {
        /// The version.
        pub version: name::Version,
        /// Time in milliseconds after the end of the configuration lease.
        pub cut_off_ms: u64,
    }

    /// Rules as read from a file, before validation.
    #[derive(Default)]
    #[serde(deny_unknown_fields)]
    pub struct RawRules {
        /// Rules for client accounts.
        pub accounts: Vec<AccountRule>,
        /// Targets of kinds of requests.
        pub tasks: Vec<TaskRule>,
        /// Rules for plain services. The longest matching path prefix wins.
        #[serde(default)]
        pub services: Vec<ServiceRule>,
        /// Rules for versions.
        #[serde(default)]
        pub versions: Vec<VersionRule>,
    }
}

const fn default_weight() -> u32 {
    1
}

const fn default_true() -> bool {
    true
}

/// A validated inventory. All lists are sorted by name.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "Raw")]
pub struct Inventory {
    /// Failure domains.
    pub domains: Vec<Domain>,
    /// Versions of all models.
    pub versions: Vec<Version>,
    /// Upstreams that may announce themselves.
    pub upstreams: Vec<Upstream>,
    /// Client accounts.
    pub accounts: Vec<Account>,
}

/// Sorts `list` by `key` and returns an error for the first duplicate key.
fn sort_unique<T, K, F>(list: &mut [T], list_name: &str, key: F) -> Result<(), Error>
where
    K: Ord + ToString,
    F: Fn(&T) -> K,
{
    list.sort_by_key(&key);
    match list.windows(2).find(|pair| key(&pair[0]) == key(&pair[1])) {
        Some(pair) => Err(Error::new(
            format!("{list_name}[{}]", key(&pair[0]).to_string()),
            "stands twice",
        )),
        None => Ok(()),
    }
}

fn check_hash(location: String, hash: &str) -> Result<(), Error> {
    let is_valid = hash.len() == 64 && hash.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    if is_valid {
        return Ok(());
    }
    Err(Error::new(
        location,
        "a SHA-256 has 64 digits from 0-9 and a-f",
    ))
}

fn check_share(location: String, value: f64) -> Result<(), Error> {
    if (0.0..=1.0).contains(&value) {
        return Ok(());
    }
    Err(Error::new(
        location,
        format!("{value} is outside of 0.0 to 1.0"),
    ))
}

impl TryFrom<Raw> for Inventory {
    type Error = Error;

    fn try_from(mut raw: Raw) -> Result<Self, Error> {
        sort_unique(&mut raw.domains, "domains", |d| d.name.clone())?;
        sort_unique(&mut raw.versions, "versions", |v| v.name.clone())?;
        sort_unique(&mut raw.upstreams, "upstreams", |u| u.name.clone())?;
        sort_unique(&mut raw.accounts, "accounts", |a| a.name.clone())?;
        for version in &raw.versions {
            version.check()?;
        }
        for account in &raw.accounts {
            account.check()?;
        }
        let inventory = Self {
            domains: raw.domains,
            versions: raw.versions,
            upstreams: raw.upstreams,
            accounts: raw.accounts,
        };
        for upstream in &inventory.upstreams {
            upstream.check(&inventory)?;
        }
        inventory.check_keys()?;
        Ok(inventory)
    }
}

impl Version {
    fn check(&self) -> Result<(), Error> {
        let location = |field| format!("versions[{}].{field}", self.name);
        check_share(location("prior_quality"), self.prior_quality)?;
        if self.prior_token_ms.is_finite() && self.prior_token_ms >= 0.0 {
            return Ok(());
        }
        Err(Error::new(
            location("prior_token_ms"),
            "must be zero or more milliseconds",
        ))
    }
}

impl Account {
    fn check(&self) -> Result<(), Error> {
        let location = |field| format!("accounts[{}].{field}", self.name);
        check_hash(location("key_sha256"), &self.key_sha256)?;
        for (field, value) in [
            ("rate", self.rate),
            ("concurrency", self.concurrency),
            ("weight", self.weight),
        ] {
            if value == 0 {
                return Err(Error::new(location(field), "must be at least 1"));
            }
        }
        Ok(())
    }
}

impl Upstream {
    fn check(&self, inventory: &Inventory) -> Result<(), Error> {
        let location = |field| format!("upstreams[{}].{field}", self.name);
        check_hash(location("credential_sha256"), &self.credential_sha256)?;
        if inventory.domain(&self.domain).is_none() {
            return Err(Error::new(
                location("domain"),
                format!("unknown failure domain {}", self.domain),
            ));
        }
        match (self.offer, &self.service) {
            (Offer::Service, None) => Err(Error::new(
                location("service"),
                "an upstream that offers a service names it",
            )),
            (Offer::Engine, Some(_)) => {
                Err(Error::new(location("service"), "an engine has no service"))
            }
            _ => Ok(()),
        }
    }
}

impl Inventory {
    /// Returns the failure domain with this name.
    #[must_use]
    pub fn domain(&self, name: &name::Domain) -> Option<&Domain> {
        let at = self.domains.binary_search_by(|d| d.name.cmp(name)).ok()?;
        self.domains.get(at)
    }

    /// Returns the version with this name.
    #[must_use]
    pub fn version(&self, name: &name::Version) -> Option<&Version> {
        let at = self.versions.binary_search_by(|v| v.name.cmp(name)).ok()?;
        self.versions.get(at)
    }

    /// Returns the upstream with this name.
    #[must_use]
    pub fn upstream(&self, name: &name::Upstream) -> Option<&Upstream> {
        let at = self.upstreams.binary_search_by(|u| u.name.cmp(name)).ok()?;
        self.upstreams.get(at)
    }

    /// Returns the client account with this name.
    #[must_use]
    pub fn account(&self, name: &name::Account) -> Option<&Account> {
        let at = self.accounts.binary_search_by(|a| a.name.cmp(name)).ok()?;
        self.accounts.get(at)
    }

    /// Returns whether any upstream offers the plain service.
    #[must_use]
    pub fn has_service(&self, service: &name::Service) -> bool {
        self.upstreams
            .iter()
            .any(|u| u.service.as_ref() == Some(service))
    }

    /// Checks that no two accounts have the same key, which identifies the account of a request.
    fn check_keys(&self) -> Result<(), Error> {
        let mut keys: Vec<_> = self
            .accounts
            .iter()
            .map(|a| (a.key_sha256.as_str(), &a.name))
            .collect();
        keys.sort();
        match keys.windows(2).find(|pair| pair[0].0 == pair[1].0) {
            Some(pair) => Err(Error::new(
                format!("accounts[{}].key_sha256", pair[1].1),
                format!("is also the key of {}", pair[0].1),
            )),
            None => Ok(()),
        }
    }
}

/// Validated rules. All lists are sorted.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "RawRules")]
pub struct Rules {
    /// Rules for client accounts. The default rule, if there is one, is first.
    pub accounts: Vec<AccountRule>,
    /// Targets of kinds of requests.
    pub tasks: Vec<TaskRule>,
    /// Rules for plain services.
    pub services: Vec<ServiceRule>,
    /// Rules for versions.
    pub versions: Vec<VersionRule>,
}

impl TryFrom<RawRules> for Rules {
    type Error = Error;

    fn try_from(mut raw: RawRules) -> Result<Self, Error> {
        sort_unique(&mut raw.accounts, "accounts", |r| {
            r.account
                .as_ref()
                .map_or_else(String::new, ToString::to_string)
        })?;
        sort_unique(&mut raw.tasks, "tasks", |r| r.task.clone())?;
        sort_unique(&mut raw.services, "services", |r| {
            format!("{} {} {}", r.service, r.method, r.path)
        })?;
        sort_unique(&mut raw.versions, "versions", |r| r.version.clone())?;
        for rule in &mut raw.accounts {
            let account = rule.account.as_ref().map_or("", name::Account::as_str);
            check_share(format!("accounts[{account}].explore"), rule.explore)?;
            rule.models.sort();
            rule.except.sort();
            rule.services.sort();
        }
        for rule in &raw.tasks {
            check_share(format!("tasks[{}].quality", rule.task), rule.quality)?;
            if rule.deadline_ms == 0 {
                return Err(Error::new(
                    format!("tasks[{}].deadline_ms", rule.task),
                    "must be at least 1",
                ));
            }
        }
        for rule in &raw.services {
            rule.check()?;
        }
        Ok(Self {
            accounts: raw.accounts,
            tasks: raw.tasks,
            services: raw.services,
            versions: raw.versions,
        })
    }
}

impl ServiceRule {
    fn check(&self) -> Result<(), Error> {
        let location = |field| format!("services[{}].{field}", self.service);
        if self.method.is_empty() || !self.method.bytes().all(|b| b.is_ascii_uppercase()) {
            return Err(Error::new(
                location("method"),
                "is an HTTP method in capitals",
            ));
        }
        if !self.path.starts_with('/') {
            return Err(Error::new(location("path"), "starts with /"));
        }
        Ok(())
    }
}

impl Rules {
    /// Returns the rule of the client account, or the default rule.
    #[must_use]
    pub fn account(&self, name: &name::Account) -> Option<&AccountRule> {
        let found = self
            .accounts
            .binary_search_by(|r| r.account.as_ref().cmp(&Some(name)));
        match found {
            Ok(at) => self.accounts.get(at),
            Err(_) => self.accounts.first().filter(|r| r.account.is_none()),
        }
    }

    /// Returns the rule for this kind of request.
    #[must_use]
    pub fn task(&self, name: &name::Task) -> Option<&TaskRule> {
        let at = self.tasks.binary_search_by(|r| r.task.cmp(name)).ok()?;
        self.tasks.get(at)
    }

    /// Returns the rule for this version.
    #[must_use]
    pub fn version(&self, name: &name::Version) -> Option<&VersionRule> {
        let at = self
            .versions
            .binary_search_by(|r| r.version.cmp(name))
            .ok()?;
        self.versions.get(at)
    }

    /// Returns the matching rule with the longest path prefix.
    #[must_use]
    pub fn service(
        &self,
        service: &name::Service,
        method: &str,
        path: &str,
    ) -> Option<&ServiceRule> {
        self.services
            .iter()
            .filter(|r| r.service == *service && r.method == method && path.starts_with(&r.path))
            .max_by_key(|r| r.path.len())
    }

    /// Returns whether a call may be sent more than once.
    ///
    /// Without a rule, only calls with a safe method (RFC 9110, section 9.2.1) may be repeated.
    #[must_use]
    pub fn is_repeatable(&self, service: &name::Service, method: &str, path: &str) -> bool {
        self.service(service, method, path)
            .map_or(matches!(method, "GET" | "HEAD" | "OPTIONS"), |r| {
                r.repeatable
            })
    }
}
