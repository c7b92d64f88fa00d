//! The command line as a process: exit codes and messages.

use std::{
    env, fs,
    path::PathBuf,
    process::{self, Command, Output},
};

/// Returns a new folder for a test's files.
fn folder(test: &str) -> PathBuf {
    let path = env::temp_dir().join(format!("masticlock-cli-{test}-{}", process::id()));
    fs::create_dir_all(&path).unwrap();
    path
}

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_masticlock"))
        .args(arguments)
        .env_remove("MASTICLOCK_SETTINGS")
        .output()
        .unwrap()
}

/// Guards against scripts that take a typing error or a bad file for a success or a refusal.
#[test]
fn bad_arguments_and_files_exit_with_2() {
    let folder = folder("bad");
    let file = folder.join("inventory.json");
    fs::write(&file, "{\n  \"domains\": 3\n}").unwrap();
    let path = file.to_str().unwrap();
    let cases: [(&[&str], &str); 4] = [
        (&["bogus"], "bogus"),
        (&["check", "--kind", "colour", path], "colour"),
        (&["check", "--kind", "inventory", path], "inventory.json:2:"),
        (&["--settings", "/nowhere.json", "status"], "/nowhere.json"),
    ];
    for (arguments, message) in cases {
        let output = run(arguments);
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{arguments:?}: {text}");
        assert!(text.contains(message), "{arguments:?}: {text}");
    }
    fs::remove_dir_all(folder).unwrap();
}

/// Guards against a story from log lines that needs settings or a running process, and against a
/// missing one that looks like a success.
#[test]
fn log_lines_are_explained_without_a_process() {
    let folder = folder("lines");
    let file = folder.join("log");
    let line = "{\"event\":\"refused\",\"message\":\"no\",\"request\":\"r1\",\"unix_ms\":5}";
    fs::write(&file, line).unwrap();
    let path = file.to_str().unwrap();
    let cases: [(&[&str], i32, &str); 4] = [
        (&["explain", "--lines", path, "r1"], 0, "refused: no"),
        (
            &["--json", "explain", "--lines", path, "r1"],
            0,
            "\"refused\"",
        ),
        (&["explain", "--lines", path, "r2"], 1, "r2"),
        (&["timeline", "--lines", "/nowhere.log"], 2, "/nowhere.log"),
    ];
    for (arguments, code, message) in cases {
        let output = run(arguments);
        let text = [output.stdout, output.stderr].concat();
        let text = String::from_utf8_lossy(&text).into_owned();
        assert_eq!(output.status.code(), Some(code), "{arguments:?}: {text}");
        assert!(text.contains(message), "{arguments:?}: {text}");
    }
    fs::remove_dir_all(folder).unwrap();
}

/// Guards against help that scripts take for an error.
#[test]
fn help_exits_with_0() {
    let output = run(&["--help"]);
    assert_eq!(output.status.code(), Some(0));
    assert!(String::from_utf8_lossy(&output.stdout).contains("take-out"));
}

/// Guards against a status of a system that can't be reached that looks like an answer, and
/// against a change with an unknown outcome that does not name the id to send again.
#[test]
fn silent_control_exits_with_5_or_4() {
    let folder = folder("silent");
    let settings = folder.join("operator.json");
    // Port 9 of loopback has no listener.
    let text = "{\"control\": [\"127.0.0.1:9\"], \"secret\": \"a-secret-of-a-test\"}";
    fs::write(&settings, text).unwrap();
    let settings = settings.to_str().unwrap();
    let status = run(&["--settings", settings, "status"]);
    assert_eq!(status.status.code(), Some(5), "{status:?}");
    let change = run(&[
        "--settings",
        settings,
        "withdraw",
        "--wait",
        "0",
        "--id",
        "c1",
        "m@1",
    ]);
    let text = String::from_utf8_lossy(&change.stderr).into_owned();
    assert_eq!(change.status.code(), Some(4), "{text}");
    assert!(text.contains("--id c1"), "{text}");
    fs::remove_dir_all(folder).unwrap();
}
