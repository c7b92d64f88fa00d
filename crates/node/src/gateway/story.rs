//! The story of a request or an upstream, told from log lines of all processes.

use std::io::{self, BufRead};

use serde_json::{Map, Value};

/// Fields that name what a line is about.
const SUBJECTS: [&str; 4] = ["request", "upstream", "service", "address"];

/// Fields that every line has and that the text of a story repeats elsewhere.
const COMMON: [&str; 4] = ["event", "level", "message", "unix_ms"];

/// A line of a story.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// Time in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// What stood before the JSON object, such as the name of the machine.
    pub source: String,
    /// Event, message and the other fields.
    pub text: String,
}

/// Returns the lines about a subject, such as a request's identity, in the order of time.
///
/// Lines that are no log lines are passed over.
///
/// # Errors
///
/// Returns an error of the reader.
pub fn tell<R>(reader: R, subject: &str) -> io::Result<Vec<Line>>
where
    R: BufRead,
{
    let mut lines = Vec::new();
    for line in reader.lines() {
        lines.extend(read(&line?, subject));
    }
    lines.sort_by_key(|l| l.unix_ms);
    Ok(lines)
}

fn read(line: &str, subject: &str) -> Option<Line> {
    let start = line.find('{')?;
    let fields: Map<String, Value> = serde_json::from_str(line[start..].trim()).ok()?;
    let about = |name: &str| fields.get(name).and_then(Value::as_str) == Some(subject);
    if !SUBJECTS.into_iter().any(about) {
        return None;
    }
    let text = |name| fields.get(name).and_then(Value::as_str).unwrap_or("-");
    let others = fields
        .iter()
        .filter(|(name, _)| !COMMON.contains(&name.as_str()));
    let others: Vec<_> = others
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    Some(Line {
        unix_ms: fields.get("unix_ms").and_then(Value::as_u64)?,
        source: line[..start].trim().to_owned(),
        text: format!(
            "{}: {} ({})",
            text("event"),
            text("message"),
            others.join(" ")
        ),
    })
}
