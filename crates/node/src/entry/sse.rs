//! Parser of server-sent events (WHATWG HTML, section 9.2).

use masticlock_core::attempt::Usage;
use serde::Deserialize;

/// One event of an engine's stream.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Event {
    /// A chunk of the response.
    Chunk {
        /// Event id, which is the offset of the chunk in the stream.
        offset: Option<u64>,
        /// The unmodified event, including its final empty line.
        bytes: Vec<u8>,
        /// Token counts and certainty, if the chunk contains the usage.
        usage: Option<(Usage, Option<f64>)>,
    },
    /// The marker at the end of a complete stream.
    Done,
}

/// Splits the bytes of a stream into events.
#[derive(Debug, Default)]
pub(super) struct Parser {
    buffer: Vec<u8>,
    /// Start of the bytes that are not parsed yet.
    position: usize,
}

/// Maximum length of an event in bytes. A longer one is an error of the engine.
const MAX_EVENT_BYTES: usize = 256 * 1024;

impl Parser {
    /// Appends bytes of the stream. Returns whether the current event is within
    /// its maximum length.
    pub(super) fn push(&mut self, bytes: &[u8]) -> bool {
        if self.position == self.buffer.len() {
            self.buffer.clear();
            self.position = 0;
        } else if self.position > MAX_EVENT_BYTES {
            self.buffer.drain(..self.position);
            self.position = 0;
        }
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() - self.position <= MAX_EVENT_BYTES + bytes.len()
    }

    /// Returns the next complete event.
    pub(super) fn next(&mut self) -> Option<Event> {
        loop {
            let rest = &self.buffer[self.position..];
            let length = event_len(rest)?;
            let event = &rest[..length];
            let parsed = parse_event(event);
            self.position += length;
            if parsed.is_some() {
                return parsed;
            }
        }
    }
}

/// Returns the length of the first complete event, including its final empty line.
fn event_len(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (index, &byte) in bytes.iter().enumerate() {
        if byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..index];
        if (line.is_empty() || line == b"\r") && index > 0 {
            return Some(index + 1);
        }
        line_start = index + 1;
    }
    None
}

/// Parses an event; returns `None` for an event without data, such as a comment.
fn parse_event(event: &[u8]) -> Option<Event> {
    let mut offset = None;
    let mut data: Option<&[u8]> = None;
    for line in event.split(|&b| b == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if let Some(value) = field_value(line, b"id") {
            offset = std::str::from_utf8(value).ok()?.parse().ok();
        } else if let Some(value) = field_value(line, b"data") {
            data = Some(value);
        }
    }
    let data = data?;
    if data == b"[DONE]" {
        return Some(Event::Done);
    }
    Some(Event::Chunk {
        offset,
        bytes: event.to_vec(),
        usage: parse_usage(data),
    })
}

/// Returns the value of a line if it belongs to the field `name`.
fn field_value<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

#[derive(Deserialize)]
struct ChunkData {
    usage: Option<RawUsage>,
    certainty: Option<f64>,
}

/// Token counts of a response in the engines' format.
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

/// Parses the usage and certainty of a chunk, if it contains them.
fn parse_usage(data: &[u8]) -> Option<(Usage, Option<f64>)> {
    // Only the last chunk contains the usage. The search avoids parsing the others as JSON.
    let marker = b"\"usage\":{";
    if !data.windows(marker.len()).any(|window| window == marker) {
        return None;
    }
    let chunk: ChunkData = serde_json::from_slice(data).ok()?;
    Some((chunk.usage?.into(), chunk.certainty))
}

/// Adds the cost of the request to a usage event.
pub(super) fn with_cost(event: &[u8], cost: u64) -> Vec<u8> {
    let mut out = Vec::with_capacity(event.len() + 32);
    for line in event.split_inclusive(|&b| b == b'\n') {
        let trimmed = line.trim_ascii_end();
        let data = field_value(trimmed, b"data").map(serde_json::from_slice::<serde_json::Value>);
        if let Some(Ok(mut value)) = data {
            value["usage"]["masticlock_cost"] = cost.into();
            out.extend_from_slice(format!("data: {value}\n").as_bytes());
        } else {
            out.extend_from_slice(line);
        }
    }
    out
}
