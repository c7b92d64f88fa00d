//! Splitting of server-sent event streams into complete events.

use hyper::body::Bytes;

/// Maximum size of an event in bytes, and maximum number of bytes without an event that has data or
/// an ID. An event of the largest models has less than 1 KiB.
const MAX_IDLE_BYTES: usize = 64 * 1_024;

/// Ends of an event: an empty line with LF or CRLF line breaks.
const EVENT_ENDS: [&[u8]; 2] = [b"\n\n", b"\r\n\r\n"];

/// Collects the bytes of a stream and returns complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: Vec<u8>,
    /// ID of the last event that was returned.
    last_id: Option<u64>,
    /// Bytes since the last event with data or an ID.
    idle_bytes: usize,
}

/// Consecutive complete events.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CompleteEvents {
    /// The events, unchanged.
    pub bytes: Bytes,
    /// Whether one of them has data or an ID.
    pub progress: bool,
}

/// Why a stream is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Too many bytes arrived without an event that has data or an ID.
    #[error("{0} bytes without an event")]
    NoEvent(usize),
    /// The IDs of events are not consecutive.
    #[error("event {found} follows event {last}")]
    OutOfOrder {
        /// ID of the previous event.
        last: u64,
        /// ID of the event.
        found: u64,
    },
}

impl EventSplitter {
    /// Creates a splitter for a stream of which the client has the events up to `last_id`.
    #[must_use]
    pub const fn resume_after(last_id: Option<u64>) -> Self {
        Self {
            buffer: Vec::new(),
            last_id,
            idle_bytes: 0,
        }
    }

    /// Returns the ID of the last event that was returned.
    #[must_use]
    pub const fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether the buffer holds an incomplete event.
    #[must_use]
    pub const fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Discards an incomplete event after the connection of its stream broke.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
        self.idle_bytes = 0;
    }

    /// Appends bytes and returns the events that they complete.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream is invalid. No event that ends in these bytes is returned
    /// then.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<CompleteEvents>, Error> {
        let old = self.buffer.len();
        self.buffer.extend_from_slice(bytes);
        self.idle_bytes += bytes.len();
        let Some(end) = last_event_end(&self.buffer, old) else {
            return self.check_limit(None);
        };
        let rest = self.buffer.split_off(end);
        let complete = std::mem::replace(&mut self.buffer, rest);
        let progress = self.parse_ids(&complete)?;
        if progress {
            self.idle_bytes = self.buffer.len();
        }
        self.check_limit(Some(CompleteEvents {
            bytes: Bytes::from(complete),
            progress,
        }))
    }

    /// Returns `complete`, or an error if too many bytes arrived without data or an ID.
    fn check_limit(
        &self,
        complete: Option<CompleteEvents>,
    ) -> Result<Option<CompleteEvents>, Error> {
        if self.idle_bytes > MAX_IDLE_BYTES {
            return Err(Error::NoEvent(self.idle_bytes));
        }
        Ok(complete)
    }

    /// Checks the IDs of complete events and returns whether one has data or an ID.
    fn parse_ids(&mut self, complete: &[u8]) -> Result<bool, Error> {
        let mut progress = false;
        for line in complete.split(|b| *b == b'\n') {
            progress |= line.starts_with(b"data");
            let number = line
                .strip_prefix(b"id:")
                .and_then(|id| std::str::from_utf8(id).ok());
            let Some(found) = number.and_then(|text| text.trim().parse().ok()) else {
                continue;
            };
            if let Some(last) = self.last_id
                && found != last + 1
            {
                return Err(Error::OutOfOrder { last, found });
            }
            self.last_id = Some(found);
            progress = true;
        }
        Ok(progress)
    }
}

/// Returns the end of the last complete event, if one ends in the bytes from `old` on.
fn last_event_end(buffer: &[u8], old: usize) -> Option<usize> {
    let ends = EVENT_ENDS.iter().filter_map(|end| {
        // The end of an event may span old and new bytes.
        let from = old.saturating_sub(end.len() - 1);
        let at = buffer[from..].windows(end.len()).rposition(|w| w == *end)?;
        Some(from + at + end.len())
    });
    ends.max()
}
