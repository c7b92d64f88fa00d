//! Tests of the example inventories and rules.

use std::{fmt::Write as _, fs, path::Path};

use masticlock_core::{
    config::{Change, Config, VersionStatus},
    inventory::{Offer, Raw, RawRules},
    name, settings,
};
use sha2::{Digest, Sha256};

fn read(deployment: &str, file: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(deployment)
        .join(file);
    fs::read_to_string(path).unwrap()
}

fn load(deployment: &str) -> Config {
    let raw: Raw = settings::parse("inventory.json", &read(deployment, "inventory.json")).unwrap();
    let rules: RawRules = settings::parse("rules.json", &read(deployment, "rules.json")).unwrap();
    Config::default()
        .changed(&Change::Import(raw))
        .and_then(|c| c.changed(&Change::SetRules(rules)))
        .unwrap()
}

fn example_hash(name: &str) -> String {
    let digest = Sha256::digest(format!("example-key-{name}"));
    digest.iter().fold(String::new(), |mut hex, byte| {
        // Writing to a string can't fail.
        let _ = write!(hex, "{byte:02x}");
        hex
    })
}

/// Expected names of a deployment and the number of its engines by name prefix.
struct Expected {
    deployment: &'static str,
    domains: &'static [&'static str],
    engines: &'static [(&'static str, usize)],
    services: &'static [&'static str],
}

const DEPLOYMENTS: [Expected; 2] = [
    Expected {
        deployment: "pindan-crown",
        domains: &["carnarvon", "gascoyne-jn", "karratha", "onslow"],
        engines: &[("advisor-", 20), ("roster-", 4)],
        services: &["booking", "pay"],
    },
    Expected {
        deployment: "cascade-loomworks",
        domains: &["pnw-a", "pnw-b", "pnw-c"],
        engines: &[("weave-", 12), ("mill-app-", 3)],
        services: &["loom-booking", "orders"],
    },
];

/// Guards against examples that don't load or whose sizes differ from those on the design page.
#[test]
fn examples_have_the_sizes_of_the_deployments() {
    for expected in DEPLOYMENTS {
        let config = load(expected.deployment);
        let inventory = &config.inventory;
        let domains: Vec<_> = inventory.domains.iter().map(|d| d.name.as_str()).collect();
        assert_eq!(domains, expected.domains);
        let engines = |prefix: &str| {
            inventory
                .upstreams
                .iter()
                .filter(|u| u.offer == Offer::Engine && u.name.as_str().starts_with(prefix))
                .count()
        };
        for (prefix, count) in expected.engines {
            assert_eq!(engines(prefix), *count, "{prefix}");
        }
        assert_eq!(
            engines(""),
            expected.engines.iter().map(|e| e.1).sum::<usize>()
        );
        for service in expected.services {
            let service = name::Service::try_from(*service).unwrap();
            assert!(inventory.has_service(&service), "{service}");
        }
        assert_eq!(inventory.accounts.len(), 10);
        let mut models: Vec<_> = inventory.versions.iter().map(|v| &v.model).collect();
        models.sort();
        models.dedup();
        assert!(models.len() >= 3);
        let idle = inventory
            .versions
            .iter()
            .filter(|v| config.version_status(&v.name) == VersionStatus::Idle);
        assert_eq!(idle.count(), 1, "one version waits for its rollout");
    }
}

/// Guards against hashes that differ from those of the documented example keys.
#[test]
fn example_hashes_match_the_documented_keys() {
    for expected in DEPLOYMENTS {
        let inventory = load(expected.deployment).inventory;
        for account in &inventory.accounts {
            assert_eq!(account.key_sha256, example_hash(account.name.as_str()));
        }
        for upstream in &inventory.upstreams {
            assert_eq!(
                upstream.credential_sha256,
                example_hash(upstream.name.as_str())
            );
        }
    }
}

/// Guards against rules with unknown models, versions, accounts or services.
#[test]
fn example_rules_refer_to_known_names() {
    for expected in DEPLOYMENTS {
        let Config {
            inventory, rules, ..
        } = load(expected.deployment);
        assert!(rules.accounts[0].account.is_none(), "a default rule");
        for rule in &rules.accounts {
            let is_known = |m: &name::Model| inventory.versions.iter().any(|v| v.model == *m);
            assert!(rule.models.iter().all(is_known));
            assert!(rule.except.iter().all(|v| inventory.version(v).is_some()));
            assert!(rule.services.iter().all(|s| inventory.has_service(s)));
            assert!(rule.account.iter().all(|a| inventory.account(a).is_some()));
        }
        assert!(
            rules
                .services
                .iter()
                .all(|r| inventory.has_service(&r.service))
        );
        assert!(
            rules
                .versions
                .iter()
                .all(|r| inventory.version(&r.version).is_some())
        );
        assert_eq!(rules.tasks.len(), 3);
    }
}

/// Guards against rules that allow a booking, pay entry or report to run twice, and
/// against rules that don't allow a status lookup to be repeated.
#[test]
fn example_rules_define_repeatable_calls() {
    let cases = [
        ("pindan-crown", "booking", "POST", "/bookings", false),
        ("pindan-crown", "booking", "DELETE", "/bookings/7", false),
        ("pindan-crown", "booking", "GET", "/bookings/7", true),
        ("pindan-crown", "booking", "POST", "/status", true),
        ("pindan-crown", "pay", "POST", "/entries", false),
        ("pindan-crown", "pay", "POST", "/reports", false),
        ("pindan-crown", "pay", "PUT", "/entries/7", false),
        ("pindan-crown", "pay", "GET", "/entries/by-key/k", true),
        (
            "cascade-loomworks",
            "loom-booking",
            "POST",
            "/bookings",
            false,
        ),
        (
            "cascade-loomworks",
            "loom-booking",
            "GET",
            "/bookings/7",
            true,
        ),
        ("cascade-loomworks", "orders", "POST", "/orders", false),
        ("cascade-loomworks", "orders", "POST", "/reports", false),
        ("cascade-loomworks", "orders", "POST", "/status", true),
        ("cascade-loomworks", "orders", "GET", "/orders/7", true),
    ];
    for (deployment, service, method, path, repeatable) in cases {
        let rules = load(deployment).rules;
        let service = name::Service::try_from(service).unwrap();
        assert_eq!(
            rules.is_repeatable(&service, method, path),
            repeatable,
            "{service} {method} {path}"
        );
    }
}
