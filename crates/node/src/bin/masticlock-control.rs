//! Starts a control replica.

use std::{fs, path::PathBuf, process::ExitCode, time::Duration};

use bpaf::Bpaf;
use masticlock::{
    control::{self, Begin, Settings},
    logging::{self, Form},
};
use masticlock_core::settings;
use tokio::signal::unix::{SignalKind, signal};

/// Keeps the replicated log, the configuration and the bills.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Founds a new log when the data folder is empty. Used once, for all replicas of the settings
    found: bool,
    /// Settings file, JSON with comments
    #[bpaf(positional("SETTINGS"))]
    settings: PathBuf,
}

/// Interval at which the end of the replica is looked for.
const WATCH: Duration = Duration::from_millis(50);

fn load(options: &Options) -> Result<Settings, String> {
    let file = options.settings.display().to_string();
    let text = fs::read_to_string(&options.settings).map_err(|e| format!("{file}: {e}"))?;
    let raw: control::Raw = settings::parse(&file, &text).map_err(|e| e.to_string())?;
    Settings::try_from(raw).map_err(|e| format!("{file}: {e}"))
}

async fn wait_for_end(handle: &control::Handle) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            () = tokio::time::sleep(WATCH) => {
                if handle.is_finished() {
                    return Ok(());
                }
            }
        }
    }
}

fn run(options: &Options) -> Result<(), String> {
    let settings = load(options)?;
    let form = if settings.json_log {
        Form::Json
    } else {
        Form::Text
    };
    logging::start(form, log::LevelFilter::Info).map_err(|e| e.to_string())?;
    let begin = if options.found {
        Begin::Found
    } else {
        Begin::Join
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| e.to_string())?;
    let handle = control::start(settings, begin).map_err(|e| e.to_string())?;
    log::info!("answers at {}", handle.address());
    runtime
        .block_on(wait_for_end(&handle))
        .map_err(|e| e.to_string())?;
    handle.stop();
    handle.wait().map_err(|e| e.to_string())
}

fn main() -> ExitCode {
    match run(&options().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("masticlock-control: {error}");
            ExitCode::FAILURE
        }
    }
}
