//! Checks the error table of the callers' page.

use std::process::Command;

/// Guards against a page that promises other errors than callers get.
#[test]
fn page_has_the_printed_table() {
    let output = Command::new(env!("CARGO_BIN_EXE_masticlock-bench"))
        .arg("errors")
        .output()
        .unwrap();
    let printed = String::from_utf8(output.stdout).unwrap();
    let page = include_str!("../../docs/callers.md");
    let table = |text: &str| -> Vec<String> {
        let rows = text.lines().filter(|line| line.starts_with("| `"));
        rows.filter(|row| row.contains(" true |") || row.contains(" false |"))
            .map(str::to_owned)
            .collect()
    };
    assert!(table(&printed).len() > 30, "{printed}");
    assert_eq!(table(page), table(&printed));
}
