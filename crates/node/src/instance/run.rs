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
use crate::{
    entry,
    local::Site,
    logging::{self, Form},
};

/// Settings file of an entry instance.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    /// The request path.
    entry: entry::RawSettings,
    /// The other processes.
    cluster: Option<RawSettings>,
    /// Configuration of an instance that runs without other processes.
    standalone: Option<Standalone>,
    /// Whether log lines are JSON objects.
    #[serde(default)]
    json_log: bool,
}

/// Files of the configuration, relative to the settings file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Standalone {
    inventory: PathBuf,
    rules: PathBuf,
}

/// How an instance runs.
enum Mode {
    Cluster(Settings),
    Standalone(entry::Settings, Standalone),
}

/// Checked settings file.
pub struct Checked {
    mode: Mode,
    form: Form,
}

impl TryFrom<File> for Checked {
    type Error = String;

    fn try_from(file: File) -> Result<Self, String> {
        let entry = entry::Settings::try_from(file.entry).map_err(|e| format!("entry.{e}"))?;
        let mode = match (file.cluster, file.standalone) {
            (Some(cluster), None) => {
                Mode::Cluster(Settings::try_from((entry, cluster)).map_err(|e| e.to_string())?)
            }
            (None, Some(standalone)) => Mode::Standalone(entry, standalone),
            _ => return Err("there must be either cluster or standalone".into()),
        };
        let form = if file.json_log {
            Form::Json
        } else {
            Form::Text
        };
        Ok(Self { mode, form })
    }
}

/// Runs an entry instance until a signal stops it.
///
/// The first SIGTERM or SIGINT begins a graceful stop and the second one cuts
/// it short. The exit code is 0 if no request was cut.
#[must_use]
pub fn run(path: &Path) -> ExitCode {
    match prepare(path).and_then(|(mode, folder)| serve(mode, &folder)) {
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

fn prepare(path: &Path) -> io::Result<(Mode, PathBuf)> {
    let file: File = read(path)?;
    let checked =
        Checked::try_from(file).map_err(|e| invalid(format!("{}: {e}", path.display())))?;
    logging::start(checked.form, log::LevelFilter::Info).map_err(invalid)?;
    let folder = path.parent().unwrap_or_else(|| Path::new("."));
    Ok((checked.mode, folder.to_owned()))
}

/// Returns the configuration of an instance that runs alone.
fn configuration(files: &Standalone, folder: &Path) -> io::Result<Config> {
    let inventory = read(&folder.join(&files.inventory))?;
    let rules = read(&folder.join(&files.rules))?;
    Config::default()
        .changed(&Change::Import(inventory))
        .and_then(|config| config.changed(&Change::SetRules(rules)))
        .map_err(invalid)
}

fn serve(mode: Mode, folder: &Path) -> io::Result<usize> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        match mode {
            Mode::Cluster(settings) => {
                // A stop that comes before the first configuration has nothing to finish.
                let handle = tokio::select! {
                    handle = super::start(settings) => handle?,
                    () = stopped(&mut terminate, &mut interrupt) => return Ok(0),
                };
                log::info!("listening on {}", handle.address());
                stopped(&mut terminate, &mut interrupt).await;
                log::info!("stopping");
                let cut = stopped(&mut terminate, &mut interrupt);
                Ok(handle.stop(cut).await)
            }
            Mode::Standalone(settings, files) => {
                let site = Site::start(settings, configuration(&files, folder)?).await?;
                log::info!("listening on {}", site.handle().address());
                stopped(&mut terminate, &mut interrupt).await;
                log::info!("stopping");
                let cut = stopped(&mut terminate, &mut interrupt);
                Ok(site.into_handle().stop(cut).await)
            }
        }
    })
}

async fn stopped(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
