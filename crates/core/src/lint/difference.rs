//! Differences between two routing tables, and what callers lose by them.

use std::{cmp::Ordering, sync::Arc};

use super::{Field, key_digest};
use crate::route::{Account, Kind, Limits, Raw, Route, Service, Share};

/// What callers lose if their requests need a key that was not needed before.
const NEEDS_KEY: &str = "requests without a key are refused";

/// What has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// Whether requests need a key.
    Access,
    /// The limits on what callers may send.
    Limits,
    /// A route. Host and prefix identify it, because callers know it by them.
    Route {
        /// Name in the newer table that has it.
        name: Arc<str>,
        /// Host.
        host: Arc<str>,
        /// Path prefix.
        prefix: Arc<str>,
    },
    /// The service with this name.
    Service(Arc<str>),
    /// The client account with this name.
    Account(Arc<str>),
}

/// A changed field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Edit {
    /// The field.
    pub field: Field,
    /// Former value; `None` for an added key.
    pub from: Option<String>,
    /// New value; `None` for a removed key. Keys are given as digests.
    pub to: Option<String>,
}

/// How a subject has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// It is new.
    Added,
    /// It is gone.
    Removed,
    /// These fields are different.
    Changed(Vec<Edit>),
}

/// A difference between two tables.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// What has changed.
    pub subject: Subject,
    /// How it has changed.
    pub action: Action,
    /// What callers lose by it.
    pub loss: Option<String>,
}

/// Returns the differences of `new` from `old`: routes, services, client accounts, then the rest.
#[must_use]
pub fn between(old: &Raw, new: &Raw) -> Vec<Change> {
    // Keys that were needed once stay needed.
    let needs_keys = new.needs_keys || old.needs_keys;
    let routes = pairs(&old.routes, &new.routes, |r| (&*r.host, &*r.prefix)).into_iter();
    let services = pairs(&old.services, &new.services, |s| &*s.name).into_iter();
    let routes = routes.filter_map(|pair| route_change(pair, needs_keys));
    let mut changes: Vec<_> = routes.chain(services.filter_map(service_change)).collect();
    let mut keys: Vec<_> = new.accounts.iter().flat_map(|a| &a.keys).collect();
    keys.sort_unstable();
    let accounts = pairs(&old.accounts, &new.accounts, |a| &*a.name).into_iter();
    changes.extend(accounts.filter_map(|pair| account_change(pair, &keys)));
    let limits = edits(limit_fields(&old.limits), limit_fields(&new.limits));
    changes.extend(change(Subject::Limits, limits));
    let access = |is_needed: bool| {
        let value = if is_needed { "needed" } else { "not needed" };
        [(Field::Keys, value.to_owned())]
    };
    let access = edits(access(old.needs_keys), access(needs_keys));
    changes.extend(change(Subject::Access, access).map(|change| Change {
        loss: Some(NEEDS_KEY.to_owned()),
        ..change
    }));
    changes
}

/// An element of either table, or the elements of both with the same key.
type Pair<'a, T> = (Option<&'a T>, Option<&'a T>);

/// Pairs the elements of two lists by their keys, in the order of the keys.
fn pairs<'a, T, K, F>(old: &'a [T], new: &'a [T], key: F) -> Vec<Pair<'a, T>>
where
    K: Ord,
    F: Fn(&'a T) -> K,
{
    let sorted = |items: &'a [T]| {
        let mut items: Vec<_> = items.iter().collect();
        items.sort_by_key(|item| key(item));
        items.into_iter().peekable()
    };
    let (mut old, mut new) = (sorted(old), sorted(new));
    let mut pairs = Vec::new();
    loop {
        let order = match (old.peek(), new.peek()) {
            (None, None) => return pairs,
            (Some(_), None) => Ordering::Less,
            (None, Some(_)) => Ordering::Greater,
            (Some(a), Some(b)) => key(a).cmp(&key(b)),
        };
        pairs.push(match order {
            Ordering::Less => (old.next(), None),
            Ordering::Greater => (None, new.next()),
            Ordering::Equal => (old.next(), new.next()),
        });
    }
}

/// Returns a change of the subject's fields, if there is any.
fn change(subject: Subject, edits: Vec<Edit>) -> Option<Change> {
    (!edits.is_empty()).then_some(Change {
        subject,
        action: Action::Changed(edits),
        loss: None,
    })
}

/// Returns the fields whose values differ.
fn edits<const N: usize>(old: [(Field, String); N], new: [(Field, String); N]) -> Vec<Edit> {
    let fields = old.into_iter().zip(new);
    let different = fields.filter(|((_, from), (_, to))| from != to);
    let edit = |((field, from), (_, to))| Edit {
        field,
        from: Some(from),
        to: Some(to),
    };
    different.map(edit).collect()
}

/// Returns the subject as one that is only in one of the tables.
fn added_or_removed(subject: Subject, is_removed: bool, loss: &str) -> Change {
    Change {
        subject,
        action: if is_removed {
            Action::Removed
        } else {
            Action::Added
        },
        loss: is_removed.then(|| loss.to_owned()),
    }
}

/// Returns the change of a route, given whether keys are needed.
fn route_change(pair: Pair<'_, Route>, needs_keys: bool) -> Option<Change> {
    let route = pair.1.or(pair.0)?;
    let subject = Subject::Route {
        name: route.name.clone(),
        host: route.host.clone(),
        prefix: route.prefix.clone(),
    };
    let (Some(from), Some(to)) = pair else {
        let loss = "its requests are refused or go to a route with a shorter prefix";
        return Some(added_or_removed(subject, pair.1.is_none(), loss));
    };
    if from == to {
        return None;
    }
    let needs_key = from.public && !to.public && needs_keys;
    let change = change(subject, edits(route_fields(from), route_fields(to)))?;
    Some(Change {
        loss: needs_key.then(|| NEEDS_KEY.to_owned()),
        ..change
    })
}

fn service_change(pair: Pair<'_, Service>) -> Option<Change> {
    let subject = Subject::Service(pair.1.or(pair.0)?.name.clone());
    let (Some(from), Some(to)) = pair else {
        let loss = "its upstreams get no more requests";
        return Some(added_or_removed(subject, pair.1.is_none(), loss));
    };
    change(subject, edits(service_fields(from), service_fields(to)))
}

/// Returns the change of a client account, given all keys of the new table, sorted.
fn account_change(pair: Pair<'_, Account>, new_keys: &[&Arc<str>]) -> Option<Change> {
    let account = pair.1.or(pair.0)?;
    let no_keys: &[Arc<str>] = &[];
    let old_keys = pair.0.map_or(no_keys, |a| &a.keys);
    let lost = old_keys
        .iter()
        .filter(|k| new_keys.binary_search(k).is_err())
        .count();
    let action = match pair {
        (None, _) => Action::Added,
        (_, None) => Action::Removed,
        (Some(from), Some(to)) => {
            let mut edits = edits([priority_field(from)], [priority_field(to)]);
            let keys = pairs(&from.keys, &to.keys, |k| &**k).into_iter();
            edits.extend(keys.filter(|(a, b)| a != b).map(|(a, b)| Edit {
                field: Field::Keys,
                from: a.map(|k| key_digest(k)),
                to: b.map(|k| key_digest(k)),
            }));
            if edits.is_empty() {
                return None;
            }
            Action::Changed(edits)
        }
    };
    Some(Change {
        subject: Subject::Account(account.name.clone()),
        action,
        loss: (lost > 0).then(|| format!("{lost} of its keys are refused")),
    })
}

fn optional<T>(value: Option<T>) -> String
where
    T: ToString,
{
    value.map_or_else(|| "none".to_owned(), |v| v.to_string())
}

fn priority_field(account: &Account) -> (Field, String) {
    (Field::Priority, optional(account.priority))
}

fn route_fields(route: &Route) -> [(Field, String); 11] {
    let kind = match route.kind {
        Kind::Idempotent => "idempotent",
        Kind::NonRepeatable => "non-repeatable",
        Kind::Stream => "stream",
    };
    let share = |s: &Share| format!("{} {}", s.service, s.weight);
    let shares: Vec<_> = route.shares.iter().map(share).collect();
    [
        (Field::Name, route.name.to_string()),
        (Field::Kind, kind.to_owned()),
        (Field::Timeout, route.timeout.to_string()),
        (Field::Objective, route.objective.to_string()),
        (Field::Gap, optional(route.gap)),
        (Field::Priority, route.priority.to_string()),
        (Field::Shares, shares.join(", ")),
        (Field::Attempts, route.attempts.to_string()),
        (Field::Public, route.public.to_string()),
        (Field::Resumable, route.resumable.to_string()),
        (Field::Models, route.models.join(", ")),
    ]
}

fn service_fields(service: &Service) -> [(Field, String); 5] {
    let engine = service.engine.as_ref();
    let models = engine.iter().flat_map(|e| &e.models);
    let models: Vec<_> = models.map(|m| format!("{} {}", m.name, m.cost)).collect();
    [
        (Field::Connections, service.connections.to_string()),
        (Field::ColdRate, service.cold_rate.to_string()),
        (Field::Health, optional(service.health.as_deref())),
        (
            Field::EngineMemory,
            optional(engine.map(|e| e.memory_tokens)),
        ),
        (Field::EngineModels, models.join(", ")),
    ]
}

fn limit_fields(limits: &Limits) -> [(Field, String); 4] {
    [
        (Field::HeadBytes, limits.head_bytes.to_string()),
        (Field::BodyBytes, limits.body_bytes.to_string()),
        (Field::ReadTimeout, limits.read_timeout.to_string()),
        (Field::IdleTimeout, limits.idle_timeout.to_string()),
    ]
}
