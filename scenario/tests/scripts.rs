//! Runs all scripts.

use std::{fs, path::Path};

use masticlock_scenario::{run::run, syntax::parse};

fn scripts() -> Vec<(String, String)> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("scripts");
    let mut found: Vec<_> = fs::read_dir(folder)
        .unwrap()
        .map(|entry| {
            let path = entry.unwrap().path();
            let name = path.file_name().unwrap().to_string_lossy().into_owned();
            (name, fs::read_to_string(path).unwrap())
        })
        .collect();
    found.sort();
    found
}

/// Guards against expectations and invariants that fail in a scenario, and
/// against a run that differs from the run before with the same seed.
#[test]
fn every_script_holds_and_repeats() {
    let mut failures = Vec::new();
    for (name, text) in scripts() {
        let script = parse(&text).unwrap_or_else(|e| panic!("{name}: {e}"));
        let (first, second) = (run(&script).unwrap(), run(&script).unwrap());
        println!("{name}: {first}");
        assert_eq!(
            first.digest, second.digest,
            "{name} differs between two runs"
        );
        failures.extend(first.failures.iter().map(|f| format!("{name}: {f}")));
        failures.extend(first.broken.iter().map(|v| format!("{name}: {v:?}")));
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
