//! Runs an entry instance with a settings file.

use std::process::ExitCode;

use bpaf::Bpaf;
use masticlock::instance::run;

/// Routes requests to model engines and plain services.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Settings file in JSON with comments
    #[bpaf(positional("SETTINGS"))]
    settings: std::path::PathBuf,
}

fn main() -> ExitCode {
    run(&options().run().settings)
}
