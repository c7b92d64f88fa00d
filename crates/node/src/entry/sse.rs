//! Parser of server-sent events (WHATWG HTML, section 9.2).

use masticlock_core::attempt::Usage;
use serde::Deserialize;

/// One event of an engine's stream.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Item {
    /// A piece of the answer.
    Piece {
        offset: Option<u64>,
        /// The event as it came, with its empty line.
        bytes: Vec<u8>,
        /// Tokens and certainty, if the piece carries the usage.
        usage: Option<(Usage, Option<f64>)>,
    },
    /// The mark of a complete stream.
    Done,
}

/// Splits the bytes of a stream into events.
#[derive(Debug, Default)]
pub(super) struct Parser {
    buffer: Vec<u8>,
    /// Start of the bytes that aren't parsed yet.
    at: usize,
}

/// Longest event. A longer one is a fault of the engine.
const MAX_EVENT_BYTES: usize = 256 * 1024;

impl Parser {
    /// Appends bytes of the stream; returns whether the current event is still
    /// short enough.
    pub(super) fn push(&mut self, bytes: &[u8]) -> bool {
        if self.at == self.buffer.len() {
            self.buffer.clear();
            self.at = 0;
        } else if self.at > MAX_EVENT_BYTES {
            self.buffer.drain(..self.at);
            self.at = 0;
        }
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() - self.at <= MAX_EVENT_BYTES + bytes.len()
    }

    /// Returns the next complete event.
    pub(super) fn next(&mut self) -> Option<Item> {
        loop {
            let rest = &self.buffer[self.at..];
            let length = event_length(rest)?;
            let event = &rest[..length];
            let item = parse(event);
            self.at += length;
            if item.is_some() {
                return item;
            }
        }
    }
}

/// Returns the length of the first event with its empty line.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (at, &byte) in bytes.iter().enumerate() {
        if byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..at];
        if (line.is_empty() || line == b"\r") && at > 0 {
            return Some(at + 1);
        }
        line_start = at + 1;
    }
    None
}

/// Returns the item of an event; `None` for comments and empty lines.
fn parse(event: &[u8]) -> Option<Item> {
    let mut offset = None;
    let mut data: Option<&[u8]> = None;
    for line in event.split(|&b| b == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if let Some(value) = field(line, b"id") {
            offset = std::str::from_utf8(value).ok()?.parse().ok();
        } else if let Some(value) = field(line, b"data") {
            data = Some(value);
        }
    }
    let data = data?;
    if data == b"[DONE]" {
        return Some(Item::Done);
    }
    Some(Item::Piece {
        offset,
        bytes: event.to_vec(),
        usage: usage_of(data),
    })
}

fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

#[derive(Deserialize)]
struct Chunk {
    usage: Option<RawUsage>,
    certainty: Option<f64>,
}

/// Token counts of an answer as engines send them.
#[derive(Deserialize)]
pub(super) struct RawUsage {
    #[serde(default)]
    prompt_tokens: u64,
    #[serde(default)]
    completion_tokens: u64,
}

impl From<RawUsage> for Usage {
    fn from(raw: RawUsage) -> Self {
        Self {
            prompt_tokens: raw.prompt_tokens,
            answer_tokens: raw.completion_tokens,
        }
    }
}

fn usage_of(data: &[u8]) -> Option<(Usage, Option<f64>)> {
    // Only the last piece has the usage, so that most pieces need no JSON parser.
    let key = b"\"usage\":{";
    if !data.windows(key.len()).any(|window| window == key) {
        return None;
    }
    let chunk: Chunk = serde_json::from_slice(data).ok()?;
    Some((chunk.usage?.into(), chunk.certainty))
}

/// Returns a usage event with the cost of the request added.
pub(super) fn with_cost(event: &[u8], cost: u64) -> Vec<u8> {
    let mut out = Vec::with_capacity(event.len() + 32);
    for line in event.split_inclusive(|&b| b == b'\n') {
        let trimmed = line.trim_ascii_end();
        let data = field(trimmed, b"data").map(serde_json::from_slice::<serde_json::Value>);
        if let Some(Ok(mut value)) = data {
            value["usage"]["masticlock_cost"] = cost.into();
            out.extend_from_slice(format!("data: {value}\n").as_bytes());
        } else {
            out.extend_from_slice(line);
        }
    }
    out
}
