//! Input from outside never makes the process panic, and errors are clear.

use masticlock_core::{
    config::{Change, Config},
    inventory, name, session, settings,
};
use masticlock_fuzz::{Mutation, mutate, places};
use proptest::prelude::*;
use serde_json::Value;

const INVENTORY: &str = r#"{
    "domains": [{"name": "east", "region": "r"}],
    "versions": [
        {"name": "m@1", "model": "m", "prompt_cost": 1, "answer_cost": 2, "prior_quality": 0.8,
         "prior_first_ms": 100, "prior_token_ms": 10, "stable": true}
    ],
    "upstreams": [
        {"name": "u", "domain": "east", "offer": "service", "service": "booking",
         "credential_sha256": "00000000000000000000000000000000000000000000000000000000000000aa"}
    ],
    "accounts": [
        {"name": "a", "rate": 1, "concurrency": 1,
         "key_sha256": "00000000000000000000000000000000000000000000000000000000000000bb"}
    ]
}"#;

const RULES: &str = r#"{
    "accounts": [{"models": ["m"], "services": ["booking"], "explore": 0.1}],
    "tasks": [{"task": "plan", "quality": 0.9, "deadline_ms": 1000}],
    "services": [{"service": "booking", "method": "POST", "path": "/", "repeatable": false}],
    "versions": [{"version": "m@1", "cut_off_ms": 0}]
}"#;

fn document(text: &str) -> Value {
    settings::parse("seed.json", text).unwrap()
}

/// Guards against a mutated import that panics, or that is accepted and then
/// gives another digest after a round trip.
#[test]
fn mutated_imports_are_refused_or_consistent() {
    let mut accepted = 0;
    let mut refused = 0;
    for (seed, is_rules) in [(INVENTORY, false), (RULES, true)] {
        let seed = document(seed);
        for at in 0..places(&seed) {
            for mutation in Mutation::ALL {
                let mut value = seed.clone();
                mutate(&mut value, at, mutation);
                let text = serde_json::to_string_pretty(&value).unwrap();
                let change = if is_rules {
                    settings::parse::<inventory::RawRules>("f", &text).map(Change::SetRules)
                } else {
                    settings::parse::<inventory::Raw>("f", &text).map(Change::Import)
                };
                let config = change
                    .map_err(|e| e.to_string())
                    .and_then(|c| Config::default().changed(&c).map_err(|e| e.to_string()));
                match config {
                    Ok(config) => {
                        accepted += 1;
                        let copy = serde_json::to_string(&config).unwrap();
                        let copy: Config = serde_json::from_str(&copy).unwrap();
                        assert_eq!(copy.digest(), config.digest(), "{text}");
                    }
                    Err(message) => {
                        refused += 1;
                        assert!(message.len() > 10, "{message}");
                    }
                }
            }
        }
    }
    assert!(accepted > 0 && refused > accepted, "{accepted} {refused}");
}

proptest! {
    /// Guards against panics on any text in place of a settings file.
    #[test]
    fn any_settings_text_is_handled(text in "[ -~\\n\"/*{}\\[\\]:,]{0,200}") {
        let _ = settings::parse::<inventory::Raw>("f", &text);
    }

    /// Guards against names that pass the check and don't survive serialization.
    #[test]
    fn any_name_is_handled(text in "\\PC{0,80}") {
        if let Ok(name) = name::Model::try_from(text.as_str()) {
            let copy: name::Model =
                serde_json::from_str(&serde_json::to_string(&name).unwrap()).unwrap();
            prop_assert_eq!(copy, name);
        }
    }

    /// Guards against panics on any text in place of a session token, and
    /// against a token that is valid for another account or version.
    #[test]
    fn forged_tokens_are_refused(text in "\\PC{0,100}", at in 0usize..60, byte in 0u8..128) {
        let signer = session::Signer::new(b"key");
        let account = name::Account::try_from("a").unwrap();
        let other = name::Account::try_from("b").unwrap();
        let version = name::Version::try_from("m@1").unwrap();
        prop_assert!(signer.verify(&account, &text).is_err());
        let token = signer.sign(&account, "s1", &version);
        prop_assert!(signer.verify(&account, &token).is_ok());
        prop_assert!(signer.verify(&other, &token).is_err());
        let mut forged = token.clone().into_bytes();
        let at = at % forged.len();
        // Hexadecimal digits of the code may differ in case only.
        if !forged[at].eq_ignore_ascii_case(&byte) {
            forged[at] = byte;
            let forged = String::from_utf8(forged).unwrap();
            prop_assert!(signer.verify(&account, &forged).is_err(), "{forged}");
        }
    }
}
