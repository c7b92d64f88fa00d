//! Log output of the processes.

use std::time::SystemTime;

use log::LevelFilter;
use serde::Serialize;

/// Form of the log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// Text for people.
    Text,
    /// One JSON object a line.
    Json,
}

/// A log line as a JSON object.
#[derive(Serialize)]
struct Line<'a> {
    unix_ms: u128,
    level: &'a str,
    target: &'a str,
    message: String,
}

fn unix_ms() -> u128 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |d| d.as_millis())
}

/// Sends log lines to standard error.
///
/// # Errors
///
/// Returns an error if the process has a logger already.
pub fn start(form: Form, level: LevelFilter) -> Result<(), log::SetLoggerError> {
    fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("masticlock", level)
        .level_for("masticlock_core", level)
        .format(move |out, message, record| {
            let line = Line {
                unix_ms: unix_ms(),
                level: record.level().as_str(),
                target: record.target(),
                message: message.to_string(),
            };
            match form {
                Form::Text => out.finish(format_args!(
                    "{} {} {}: {}",
                    line.unix_ms, line.level, line.target, line.message
                )),
                Form::Json => {
                    let json = serde_json::to_string(&line).unwrap_or(line.message);
                    out.finish(format_args!("{json}"));
                }
            }
        })
        .chain(std::io::stderr())
        .apply()
}
