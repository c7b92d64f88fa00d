//! Events of a stream, cut at their ends.

use hyper::body::Bytes;

/// Collects the bytes of a stream and gives out whole events.
#[derive(Debug, Default)]
pub struct Events {
    buffer: Vec<u8>,
    /// Number of the last event that was given out.
    last: Option<u64>,
}

impl Events {
    /// Returns a reader of a stream whose caller has the events up to `last`.
    #[must_use]
    pub const fn after(last: Option<u64>) -> Self {
        Self {
            buffer: Vec::new(),
            last,
        }
    }

    /// Returns the number of the last event that was given out.
    #[must_use]
    pub const fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns whether a part of an event waits for its end.
    #[must_use]
    pub const fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Forgets a part of an event after its stream has broken off.
    pub fn restart(&mut self) {
        self.buffer.clear();
    }

    /// Takes bytes and returns the events that are complete with them.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        let old = self.buffer.len();
        self.buffer.extend_from_slice(bytes);
        // An event's end may lie across the border between old and new bytes.
        let from = old.saturating_sub(1);
        let end = self.buffer[from..].windows(2).rposition(|w| w == b"\n\n")? + from + 2;
        let rest = self.buffer.split_off(end);
        let whole = std::mem::replace(&mut self.buffer, rest);
        for line in whole.split(|b| *b == b'\n') {
            if let Some(id) = line.strip_prefix(b"id:")
                && let Ok(text) = std::str::from_utf8(id)
                && let Ok(number) = text.trim().parse()
            {
                self.last = Some(number);
            }
        }
        Some(Bytes::from(whole))
    }
}
