//! Tests of names, settings, inventory and configuration.

use masticlock_core::{
    config::{Change, Config, Progress, Restriction, Stage, VersionStatus},
    error, inventory, name, settings,
    time::Span,
};

const INVENTORY: &str = r#"{
    // Two versions of one model.
    "domains": [{"name": "east", "region": "r"}, {"name": "west", "region": "r"}],
    "versions": [
        {"name": "m@1", "model": "m", "prompt_cost": 1, "answer_cost": 2, "prior_quality": 0.8,
         "prior_first_ms": 100, "prior_token_ms": 10, "stable": true},
        {"name": "m@2", "model": "m", "prompt_cost": 1, "answer_cost": 2, "prior_quality": 0.8,
         "prior_first_ms": 100, "prior_token_ms": 10}
    ],
    "upstreams": [],
    "accounts": []
}"#;

fn config() -> Config {
    let raw: inventory::Raw = settings::parse("inventory.json", INVENTORY).unwrap();
    Config::default().changed(&Change::Import(raw)).unwrap()
}

fn version(text: &str) -> name::Version {
    name::Version::try_from(text).unwrap()
}

fn start_rollout() -> Change {
    let stage = |share| Stage {
        share,
        exposure: 100,
        at_least: Span::from_secs(1),
    };
    Change::StartRollout {
        version: version("m@2"),
        baseline: version("m@1"),
        stages: vec![stage(0.1), stage(1.0)],
    }
}

/// Guards against settings errors without the position and the problem.
#[test]
fn settings_errors_name_the_position() {
    let cases = [
        ("{\n  \"domains\": 3\n}", 2, "invalid type"),
        ("{\n // note\n \"colour\": 1}", 3, "unknown field `colour`"),
        ("{ /* open", 1, "comment"),
        ("", 1, "EOF"),
    ];
    for (text, line, problem) in cases {
        let error = settings::parse::<inventory::Raw>("f.json", text).unwrap_err();
        assert_eq!(error.line, line, "{error}");
        assert!(error.problem.contains(problem), "{error}");
    }
}

/// Guards against names with characters or lengths that break headers, paths or log lines.
#[test]
fn invalid_names_are_refused() {
    for text in ["", "a b", "a/b", "ü", "a\n", &"x".repeat(65)] {
        assert!(name::Model::try_from(text).is_err(), "{text:?}");
    }
}

/// Guards against inventories with duplicate names, unknown references or values out of range.
#[test]
fn invalid_inventories_are_refused() {
    let cases = [
        ("\"west\", \"region\": \"r\"", "\"east\", \"region\": \"r\"", "domains[east]: stands twice"),
        ("\"prior_quality\": 0.8", "\"prior_quality\": 1.8", "outside of 0.0 to 1.0"),
        (
            "\"upstreams\": []",
            "\"upstreams\": [{\"name\": \"u\", \"domain\": \"north\", \"offer\": \"engine\",
              \"credential_sha256\": \"0000000000000000000000000000000000000000000000000000000000000000\"}]",
            "unknown failure domain north",
        ),
        (
            "\"accounts\": []",
            "\"accounts\": [{\"name\": \"a\", \"key_sha256\": \"00\", \"rate\": 1, \"concurrency\": 1}]",
            "64 digits",
        ),
    ];
    for (old, new, problem) in cases {
        let text = INVENTORY.replacen(old, new, 1);
        let raw: inventory::Raw = settings::parse("f.json", &text).unwrap();
        let error = inventory::Inventory::try_from(raw).unwrap_err();
        assert!(error.to_string().contains(problem), "{error}");
    }
}

/// Guards against a rollout that skips a stage when its advance is repeated,
/// and against requests to a version that was rolled back.
#[test]
fn rollout_advances_one_stage_at_a_time() {
    let advance = |from| Change::AdvanceRollout {
        version: version("m@2"),
        from,
    };
    let config = config();
    assert_eq!(config.version_status(&version("m@2")), VersionStatus::Idle);
    let config = config.changed(&start_rollout()).unwrap();
    assert_eq!(
        config.version_status(&version("m@2")),
        VersionStatus::RollingOut(0.1)
    );
    let config = config.changed(&advance(0)).unwrap();
    assert_eq!(
        config.changed(&advance(0)).unwrap_err().kind,
        error::Kind::InvalidChange
    );
    let finished = config.changed(&advance(1)).unwrap();
    assert_eq!(
        finished.version_status(&version("m@2")),
        VersionStatus::Stable
    );
    let rolled_back = config
        .changed(&Change::RollBack {
            version: version("m@2"),
            reason: "errors".into(),
        })
        .unwrap();
    assert_eq!(
        rolled_back.version_status(&version("m@2")),
        VersionStatus::Withdrawn
    );
    assert_eq!(rolled_back.rollouts[0].progress, Progress::RolledBack);
}

/// Guards against an import that removes the withdrawal of a version.
#[test]
fn import_keeps_restrictions() {
    let withdrawal = Restriction::Withdraw(version("m@1"));
    let config = config()
        .changed(&Change::Restrict(withdrawal.clone()))
        .unwrap();
    assert!(config.changed(&Change::Restrict(withdrawal)).is_err());
    let raw: inventory::Raw = settings::parse("inventory.json", INVENTORY).unwrap();
    let imported = config.changed(&Change::Import(raw)).unwrap();
    assert_eq!(
        imported.version_status(&version("m@1")),
        VersionStatus::Withdrawn
    );
    assert_eq!(imported.revision, 3);
}

/// Guards against a digest that changes when a replica receives the configuration as JSON.
#[test]
fn digest_survives_serialization() {
    let config = config().changed(&start_rollout()).unwrap();
    let text = serde_json::to_string(&config).unwrap();
    let copy: Config = serde_json::from_str(&text).unwrap();
    assert_eq!(copy.digest(), config.digest());
}

/// Guards against two kinds of error with the same code, and against an error
/// with an HTTP status that means success.
#[test]
fn error_table_is_consistent() {
    let mut codes: Vec<_> = error::Kind::ALL.iter().map(|k| k.response().code).collect();
    codes.sort_unstable();
    codes.dedup();
    assert_eq!(codes.len(), error::Kind::ALL.len());
    for kind in error::Kind::ALL {
        assert!(kind.response().status >= 400, "{kind:?}");
    }
}
