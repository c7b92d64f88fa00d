//! A short run of the soak with the real programs.

use std::{path::Path, process::Command};

/// Seeds of the short run. A seed that ever failed is added with a line on its cause.
const SEEDS: [&str; 1] = ["1"];

/// Guards against broken promises under a series of faults.
#[test]
fn short_runs_keep_all_promises() {
    for seed in SEEDS {
        let soak = Path::new(env!("CARGO_BIN_EXE_soak"));
        let output = Command::new(soak)
            .args([
                "--seed",
                seed,
                "--minutes",
                "0.3",
                "--entries",
                "4",
                "--callers",
                "12",
            ])
            .output()
            .unwrap();
        let text = [output.stdout, output.stderr].concat();
        let text = String::from_utf8_lossy(&text);
        assert!(output.status.success(), "seed {seed}: {text}");
    }
}
