//! The inventory and rules that operators import, raw and checked.
//!
//! [`Raw`] and [`RawRules`] mirror the files. [`Inventory`] and [`Rules`] are
//! checked, sorted by name and safe to look up with binary search.

use serde::{Deserialize, Serialize};

use crate::name;

/// A fault in an inventory or in rules.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{location}: {problem}")]
pub struct Error {
    /// The entry with the fault, such as `versions[advisor-7b@3]`.
    pub location: String,
    /// What is wrong and which values are accepted.
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

/// What an upstream offers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Offer {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// What to do when the best plan's upstreams are full or gone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WhenFull {
    /// Waits for a slot until the deadline can't be met any more.
    #[default]
    Wait,
    /// Takes the next dearer plan that meets the target.
    Dearer,
    /// Refuses at once, not run.
    Refuse,
}

plain! {
    /// A failure domain and the region it is in.
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
        /// Name, unique over all models.
        pub name: name::Version,
        /// The model it is a version of.
        pub model: name::Model,
        /// Cost of 1,000 prompt tokens, in millionths of the accounting unit.
        pub prompt_cost: u64,
        /// Cost of 1,000 answer tokens, in millionths of the accounting unit.
        pub answer_cost: u64,
        /// Expected quality from 0 to 1 before any rating has come.
        pub prior_quality: f64,
        /// Expected time to the first token in milliseconds before any was measured.
        pub prior_first_ms: u64,
        /// Expected time between two tokens in milliseconds before any was measured.
        pub prior_token_ms: f64,
        /// Whether the version serves without a rollout when it is first imported.
        #[serde(default)]
        pub stable: bool,
    }

    /// An upstream that may announce itself.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Upstream {
        /// Name that its announcements carry.
        pub name: name::Upstream,
        /// Its failure domain.
        pub domain: name::Domain,
        /// What it offers.
        pub offer: Offer,
        /// The plain service it belongs to; only for [`Offer::Service`].
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
        /// Highest rate over all instances, in requests per second.
        pub rate: u32,
        /// Most requests open at once over all instances.
        pub concurrency: u32,
        /// Share under contention, relative to other client accounts.
        #[serde(default = "one")]
        pub weight: u32,
    }

    /// An inventory as it stands in the file.
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

    /// Versions and services a client account may use, and how.
    #[serde(deny_unknown_fields)]
    pub struct AccountRule {
        /// The client account; `None` stands for every account without a rule of its own.
        #[serde(default)]
        pub account: Option<name::Account>,
        /// Models it may use.
        pub models: Vec<name::Model>,
        /// Versions it may not use although their model is listed.
        #[serde(default)]
        pub except: Vec<name::Version>,
        /// Services it may call.
        #[serde(default)]
        pub services: Vec<name::Service>,
        /// Whether it may be served by another failure domain than the caller's.
        #[serde(default = "yes")]
        pub spill: bool,
        /// What to do when the best plan is full.
        #[serde(default)]
        pub when_full: WhenFull,
        /// Highest share of its requests that may be used to explore, from 0 to 1.
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
        /// Deadline in milliseconds when the caller names none.
        pub deadline_ms: u64,
        /// Whether requests of this kind may be used to explore.
        #[serde(default)]
        pub explore: bool,
        /// Whether a cascade may be used.
        #[serde(default = "yes")]
        pub cascade: bool,
    }

    /// Says whether calls of a plain service may be repeated.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct ServiceRule {
        /// The plain service.
        pub service: name::Service,
        /// HTTP method in capitals.
        pub method: String,
        /// Start of the path below the service.
        pub path: String,
        /// Whether a call may be sent more than once.
        pub repeatable: bool,
        /// Path of a status lookup that resolves an unknown outcome; `{key}` stands for the idempotency key.
        #[serde(default)]
        pub lookup: Option<String>,
    }

    /// How long a version may be served without contact to the majority.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct VersionRule {
        /// The version.
        pub version: name::Version,
        /// Milliseconds after the end of the configuration lease.
        pub cut_off_ms: u64,
    }

    /// Rules as they stand in the file.
    #[derive(Default)]
    #[serde(deny_unknown_fields)]
    pub struct RawRules {
        /// Rules for client accounts.
        pub accounts: Vec<AccountRule>,
        /// Targets of kinds of requests.
        pub tasks: Vec<TaskRule>,
        /// Rules for plain services; the longest matching path counts.
        #[serde(default)]
        pub services: Vec<ServiceRule>,
        /// Rules for versions.
        #[serde(default)]
        pub versions: Vec<VersionRule>,
    }
}

const fn one() -> u32 {
    1
}

const fn yes() -> bool {
    true
}

/// A checked inventory. All lists are sorted by name.
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

/// Sorts `list` by `key` and reports the first key that stands twice.
fn sort_unique<T, K, F>(list: &mut [T], what: &str, key: F) -> Result<(), Error>
where
    K: Ord + ToString,
    F: Fn(&T) -> K,
{
    list.sort_by_key(&key);
    match list.windows(2).find(|pair| key(&pair[0]) == key(&pair[1])) {
        Some(pair) => Err(Error::new(
            format!("{what}[{}]", key(&pair[0]).to_string()),
            "stands twice",
        )),
        None => Ok(()),
    }
}

fn check_hash(place: String, hash: &str) -> Result<(), Error> {
    let fits = hash.len() == 64 && hash.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    if fits {
        return Ok(());
    }
    Err(Error::new(
        place,
        "a SHA-256 has 64 digits from 0-9 and a-f",
    ))
}

fn check_share(place: String, value: f64) -> Result<(), Error> {
    if (0.0..=1.0).contains(&value) {
        return Ok(());
    }
    Err(Error::new(
        place,
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
        let place = |field| format!("versions[{}].{field}", self.name);
        check_share(place("prior_quality"), self.prior_quality)?;
        if self.prior_token_ms.is_finite() && self.prior_token_ms >= 0.0 {
            return Ok(());
        }
        Err(Error::new(
            place("prior_token_ms"),
            "must be zero or more milliseconds",
        ))
    }
}

impl Account {
    fn check(&self) -> Result<(), Error> {
        let place = |field| format!("accounts[{}].{field}", self.name);
        check_hash(place("key_sha256"), &self.key_sha256)?;
        for (field, value) in [
            ("rate", self.rate),
            ("concurrency", self.concurrency),
            ("weight", self.weight),
        ] {
            if value == 0 {
                return Err(Error::new(place(field), "must be at least 1"));
            }
        }
        Ok(())
    }
}

impl Upstream {
    fn check(&self, inventory: &Inventory) -> Result<(), Error> {
        let place = |field| format!("upstreams[{}].{field}", self.name);
        check_hash(place("credential_sha256"), &self.credential_sha256)?;
        if inventory.domain(&self.domain).is_none() {
            return Err(Error::new(
                place("domain"),
                format!("unknown failure domain {}", self.domain),
            ));
        }
        match (self.offer, &self.service) {
            (Offer::Service, None) => Err(Error::new(
                place("service"),
                "an upstream that offers a service names it",
            )),
            (Offer::Engine, Some(_)) => {
                Err(Error::new(place("service"), "an engine has no service"))
            }
            _ => Ok(()),
        }
    }
}

impl Inventory {
    /// Returns the failure domain of that name.
    #[must_use]
    pub fn domain(&self, name: &name::Domain) -> Option<&Domain> {
        let at = self.domains.binary_search_by(|d| d.name.cmp(name)).ok()?;
        self.domains.get(at)
    }

    /// Returns the version of that name.
    #[must_use]
    pub fn version(&self, name: &name::Version) -> Option<&Version> {
        let at = self.versions.binary_search_by(|v| v.name.cmp(name)).ok()?;
        self.versions.get(at)
    }

    /// Returns the upstream of that name.
    #[must_use]
    pub fn upstream(&self, name: &name::Upstream) -> Option<&Upstream> {
        let at = self.upstreams.binary_search_by(|u| u.name.cmp(name)).ok()?;
        self.upstreams.get(at)
    }

    /// Returns the client account of that name.
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

    /// Two accounts with one key could not be told apart.
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

/// Checked rules. All lists are sorted.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "RawRules")]
pub struct Rules {
    /// Rules for client accounts; the general rule is first.
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
            let who = rule.account.as_ref().map_or("", name::Account::as_str);
            check_share(format!("accounts[{who}].explore"), rule.explore)?;
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
        let place = |field| format!("services[{}].{field}", self.service);
        if self.method.is_empty() || !self.method.bytes().all(|b| b.is_ascii_uppercase()) {
            return Err(Error::new(place("method"), "is an HTTP method in capitals"));
        }
        if !self.path.starts_with('/') {
            return Err(Error::new(place("path"), "starts with /"));
        }
        Ok(())
    }
}

impl Rules {
    /// Returns the rule of the client account, or the general rule.
    #[must_use]
    pub fn account(&self, name: &name::Account) -> Option<&AccountRule> {
        let own = self
            .accounts
            .binary_search_by(|r| r.account.as_ref().cmp(&Some(name)));
        match own {
            Ok(at) => self.accounts.get(at),
            Err(_) => self.accounts.first().filter(|r| r.account.is_none()),
        }
    }

    /// Returns the rule for that kind of request.
    #[must_use]
    pub fn task(&self, name: &name::Task) -> Option<&TaskRule> {
        let at = self.tasks.binary_search_by(|r| r.task.cmp(name)).ok()?;
        self.tasks.get(at)
    }

    /// Returns the rule for that version.
    #[must_use]
    pub fn version(&self, name: &name::Version) -> Option<&VersionRule> {
        let at = self
            .versions
            .binary_search_by(|r| r.version.cmp(name))
            .ok()?;
        self.versions.get(at)
    }

    /// Returns the rule with the longest path that matches the call.
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
    /// Without a rule only the safe methods of RFC 9110, section 9.2.1, may.
    #[must_use]
    pub fn is_repeatable(&self, service: &name::Service, method: &str, path: &str) -> bool {
        self.service(service, method, path)
            .map_or(matches!(method, "GET" | "HEAD" | "OPTIONS"), |r| {
                r.repeatable
            })
    }
}
