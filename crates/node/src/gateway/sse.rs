//! Events of a stream, cut at their ends.

use hyper::body::Bytes;

/// Largest event in bytes, and most bytes without an event that carries anything. An event of the
/// largest models has less than 1 KiB.
const MAX_BYTES: usize = 64 * 1_024;

/// Ends of an event: an empty line with either line break.
const ENDS: [&[u8]; 2] = [b"\n\n", b"\r\n\r\n"];

/// Collects the bytes of a stream and gives out whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: Vec<u8>,
    /// Number of the last event that was given out.
    last: Option<u64>,
    /// Bytes since the last event that carried anything.
    idle: usize,
}

/// Events that were completed by some bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CompleteEvents {
    /// The events as they were sent.
    pub bytes: Bytes,
    /// Whether one of them carries anything.
    pub progress: bool,
}

/// Why a stream is no proper one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Too many bytes came without an event that carries anything.
    #[error("{0} bytes without an event")]
    NoEvent(usize),
    /// The events don't follow each other.
    #[error("event {found} follows event {last}")]
    OutOfOrder {
        /// Number of the event before.
        last: u64,
        /// Number of the event.
        found: u64,
    },
}

impl EventSplitter {
    /// Returns a reader of a stream whose caller has the events up to `last`.
    #[must_use]
    pub const fn resume_after(last: Option<u64>) -> Self {
        Self {
            buffer: Vec::new(),
            last,
            idle: 0,
        }
    }

    /// Returns the number of the last event that was given out.
    #[must_use]
    pub const fn last_id(&self) -> Option<u64> {
        self.last
    }

    /// Returns whether a part of an event waits for its end.
    #[must_use]
    pub const fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Forgets a part of an event after its stream has broken off.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
        self.idle = 0;
    }

    /// Takes bytes and returns the events that are complete with them.
    ///
    /// # Errors
    ///
    /// Returns why the stream can't be trusted any more. Nothing of these bytes is given out then.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<CompleteEvents>, Error> {
        let old = self.buffer.len();
        self.buffer.extend_from_slice(bytes);
        self.idle += bytes.len();
        let Some(end) = last_end(&self.buffer, old) else {
            return self.bounded(None);
        };
        let rest = self.buffer.split_off(end);
        let whole = std::mem::replace(&mut self.buffer, rest);
        let progress = self.read(&whole)?;
        if progress {
            self.idle = self.buffer.len();
        }
        self.bounded(Some(CompleteEvents {
            bytes: Bytes::from(whole),
            progress,
        }))
    }

    fn bounded(&self, whole: Option<CompleteEvents>) -> Result<Option<CompleteEvents>, Error> {
        if self.idle > MAX_BYTES {
            return Err(Error::NoEvent(self.idle));
        }
        Ok(whole)
    }

    /// Takes over the numbers of whole events and returns whether one carries anything.
    fn read(&mut self, whole: &[u8]) -> Result<bool, Error> {
        let mut progress = false;
        for line in whole.split(|b| *b == b'\n') {
            progress |= line.starts_with(b"data");
            let number = line
                .strip_prefix(b"id:")
                .and_then(|id| std::str::from_utf8(id).ok());
            let Some(found) = number.and_then(|text| text.trim().parse().ok()) else {
                continue;
            };
            if let Some(last) = self.last
                && found != last + 1
            {
                return Err(Error::OutOfOrder { last, found });
            }
            self.last = Some(found);
            progress = true;
        }
        Ok(progress)
    }
}

/// Returns the end of the last whole event, if one ends in the bytes from `old` on.
fn last_end(buffer: &[u8], old: usize) -> Option<usize> {
    let ends = ENDS.iter().filter_map(|end| {
        // An event's end may lie across the border between old and new bytes.
        let from = old.saturating_sub(end.len() - 1);
        let at = buffer[from..].windows(end.len()).rposition(|w| w == *end)?;
        Some(from + at + end.len())
    });
    ends.max()
}
