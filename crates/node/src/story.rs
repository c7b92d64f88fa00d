//! Stories and time lines told from the structured log lines of all processes.

use std::{
    fmt,
    io::{self, BufRead},
    str::FromStr,
};

use serde::Serialize;
use serde_json::{Map, Value};

/// Fields that name what a line is about.
const NAMES: [&str; 8] = [
    "request", "upstream", "service", "address", "command", "version", "route", "account",
];

/// Fields that every line has and that the text of a line gives elsewhere.
const COMMON: [&str; 4] = ["event", "level", "message", "unix_ms"];

/// Field of the lines about one request.
const REQUEST: &str = "request";

/// What a story is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// A name that one of the fields which name things holds, such as a request's identity.
    Name(String),
    /// A field with its value, such as `revision=54`.
    Field(String, String),
}

impl FromStr for Subject {
    type Err = std::convert::Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(match text.split_once('=') {
            Some((field, value)) => Self::Field(field.to_owned(), value.to_owned()),
            None => Self::Name(text.to_owned()),
        })
    }
}

impl Subject {
    fn is_of(&self, line: &Line) -> bool {
        match self {
            Self::Name(name) => NAMES
                .iter()
                .any(|field| line.fields.get(*field).and_then(Value::as_str) == Some(name)),
            Self::Field(field, value) => match line.fields.get(field) {
                Some(Value::String(text)) => text == value,
                Some(other) => serde_json::from_str::<Value>(value).is_ok_and(|v| v == *other),
                None => false,
            },
        }
    }
}

/// A log line.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Time in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// What stood before the JSON object, such as the name of the machine.
    pub source: String,
    /// Kind of the line.
    pub event: String,
    /// What happened, for people.
    pub message: String,
    /// The inputs and the outcome of the decision.
    pub fields: Map<String, Value>,
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} ", self.unix_ms, self.source)?;
        write!(f, "{}: {} (", self.event, self.message)?;
        for (at, (name, value)) in self.fields.iter().enumerate() {
            let space = if at == 0 { "" } else { " " };
            write!(f, "{space}{name}={value}")?;
        }
        f.write_str(")")
    }
}

impl Line {
    /// Returns the log line in a text, or none for other text.
    fn read(text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let mut fields: Map<String, Value> = serde_json::from_str(text[start..].trim()).ok()?;
        let unix_ms = fields.get("unix_ms").and_then(Value::as_u64)?;
        let said = |name| {
            let text = fields.get(name).and_then(Value::as_str);
            text.unwrap_or("-").to_owned()
        };
        let (event, message) = (said("event"), said("message"));
        for name in COMMON {
            fields.remove(name);
        }
        Some(Self {
            unix_ms,
            source: text[..start].trim().to_owned(),
            event,
            message,
            fields,
        })
    }
}

/// Returns the lines that are kept, in the order of time.
///
/// Text that is no log line is passed over.
///
/// # Errors
///
/// Returns an error of the reader.
fn lines<R, F>(reader: R, is_kept: F) -> io::Result<Vec<Line>>
where
    R: BufRead,
    F: Fn(&Line) -> bool,
{
    let mut kept = Vec::new();
    for text in reader.lines() {
        kept.extend(Line::read(&text?).filter(&is_kept));
    }
    kept.sort_by_key(|l| l.unix_ms);
    Ok(kept)
}

/// Returns the lines about a subject, such as a request or a change.
///
/// # Errors
///
/// Returns an error of the reader.
pub fn tell<R>(reader: R, subject: &Subject) -> io::Result<Vec<Line>>
where
    R: BufRead,
{
    lines(reader, |line| subject.is_of(line))
}

/// Returns the lines about what the processes did and believed, without those about one request.
///
/// # Errors
///
/// Returns an error of the reader.
pub fn timeline<R>(reader: R) -> io::Result<Vec<Line>>
where
    R: BufRead,
{
    lines(reader, |line| !line.fields.contains_key(REQUEST))
}
