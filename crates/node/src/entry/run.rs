//! The process of an entry instance.

use std::{
    fs, io,
    path::{Path, PathBuf},
    process::ExitCode,
};

use masticlock_core::{
    config::{Change, Config},
    settings,
};
use serde::Deserialize;
use tokio::signal::unix::{Signal, SignalKind, signal};

use super::{RawSettings, Settings};
use crate::local::Site;

/// Settings file of a process.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    /// The instance.
    entry: RawSettings,
    /// Configuration of an instance that runs without control.
    standalone: Standalone,
}

/// Files of the configuration, relative to the settings file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Standalone {
    inventory: PathBuf,
    rules: PathBuf,
}

/// Runs an entry instance until a signal stops it.
///
/// The first SIGTERM or SIGINT begins a graceful stop and the second one cuts
/// it short. The exit code is 0 if no request was cut.
#[must_use]
pub fn run(path: &Path) -> ExitCode {
    match prepare(path).and_then(|(settings, config)| serve(settings, config)) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(cut) => {
            log::error!("{cut} requests were cut by the end of the instance");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("masticlock-entry: {error}");
            ExitCode::FAILURE
        }
    }
}

fn invalid<E>(error: E) -> io::Error
where
    E: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    io::Error::new(io::ErrorKind::InvalidInput, error)
}

fn read<T>(path: &Path) -> io::Result<T>
where
    T: serde::de::DeserializeOwned,
{
    let name = path.display().to_string();
    let text =
        fs::read_to_string(path).map_err(|e| io::Error::new(e.kind(), format!("{name}: {e}")))?;
    settings::parse(&name, &text).map_err(invalid)
}

fn prepare(path: &Path) -> io::Result<(Settings, Config)> {
    fern::Dispatch::new()
        .level(log::LevelFilter::Info)
        .format(|out, message, record| {
            out.finish(format_args!("{} {message}", record.level()));
        })
        .chain(io::stderr())
        .apply()
        .map_err(invalid)?;
    let file: File = read(path)?;
    let folder = path.parent().unwrap_or_else(|| Path::new("."));
    let inventory = read(&folder.join(file.standalone.inventory))?;
    let rules = read(&folder.join(file.standalone.rules))?;
    let config = Config::default()
        .changed(&Change::Import(inventory))
        .and_then(|config| config.changed(&Change::SetRules(rules)))
        .map_err(invalid)?;
    Ok((Settings::try_from(file.entry).map_err(invalid)?, config))
}

fn serve(settings: Settings, config: Config) -> io::Result<usize> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let site = Site::start(settings, config).await?;
        log::info!("listening on {}", site.handle().address());
        stopped(&mut terminate, &mut interrupt).await;
        log::info!("stopping");
        let cut = stopped(&mut terminate, &mut interrupt);
        Ok(site.into_handle().stop(cut).await)
    })
}

async fn stopped(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
