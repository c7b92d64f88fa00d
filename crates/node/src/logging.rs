//! Log output of the processes.

use std::{
    io,
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc,
    },
    thread,
    time::SystemTime,
};

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
        .chain(io::stderr())
        .apply()
}

/// Lines that wait to be written. More are dropped and counted.
pub const WAITING_LINES: usize = 4_096;

/// A line of structured output.
struct Fields<'a> {
    json: serde_json::Map<String, serde_json::Value>,
    record: &'a log::Record<'a>,
}

impl<'kvs> log::kv::VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(
        &mut self,
        key: log::kv::Key<'kvs>,
        value: log::kv::Value<'kvs>,
    ) -> Result<(), log::kv::Error> {
        let value = if let Some(number) = value.to_u64() {
            number.into()
        } else if let Some(number) = value.to_i64() {
            number.into()
        } else if let Some(flag) = value.to_bool() {
            flag.into()
        } else {
            value.to_string().into()
        };
        self.json.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}

impl Fields<'_> {
    fn line(mut self, message: &str) -> String {
        let unix_ms = u64::try_from(unix_ms()).unwrap_or(u64::MAX);
        self.json.insert("unix_ms".into(), unix_ms.into());
        self.json
            .insert("level".into(), self.record.level().as_str().into());
        self.json.insert("message".into(), message.into());
        if self.record.key_values().visit(&mut self).is_err() {
            self.json.insert("incomplete".into(), true.into());
        }
        serde_json::Value::Object(self.json).to_string()
    }
}

/// Hands lines to the thread that writes them and never waits for it.
struct Queue {
    lines: mpsc::SyncSender<String>,
    dropped: AtomicU64,
}

impl log::Log for Queue {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        let mut line = record.args().to_string();
        if dropped > 0 {
            let count =
                format!("{{\"level\":\"WARN\",\"event\":\"log_dropped\",\"lines\":{dropped}}}\n");
            line.insert_str(0, &count);
        }
        if self.lines.try_send(line).is_err() {
            self.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
        }
    }

    fn flush(&self) {}
}

/// Sends log lines as JSON objects to standard output, from a thread of their own.
///
/// At most [`WAITING_LINES`] wait; further ones are dropped, and their number is logged with the
/// next line.
///
/// # Errors
///
/// Returns an error if the process has a logger already.
pub fn start_lines(level: LevelFilter) -> Result<(), log::SetLoggerError> {
    lines_to(level, io::stdout()).apply()
}

/// Returns a logger like that of [`start_lines`] which writes to `out`.
pub fn lines_to<W>(level: LevelFilter, mut out: W) -> fern::Dispatch
where
    W: io::Write + Send + 'static,
{
    let (lines, queue) = mpsc::sync_channel::<String>(WAITING_LINES);
    thread::spawn(move || {
        while let Ok(mut line) = queue.recv() {
            line.push('\n');
            // Without a reader of the output there is nowhere to report that.
            let _closed = out.write_all(line.as_bytes());
        }
    });
    let queue: Box<dyn log::Log> = Box::new(Queue {
        lines,
        dropped: AtomicU64::new(0),
    });
    fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("masticlock", level)
        .level_for("masticlock_core", level)
        .level_for("masticlock_platform", level)
        .format(|out, message, record| {
            let fields = Fields {
                json: serde_json::Map::new(),
                record,
            };
            out.finish(format_args!("{}", fields.line(&message.to_string())));
        })
        .chain(queue)
}
