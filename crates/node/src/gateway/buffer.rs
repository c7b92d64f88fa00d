//! Buffering of responses until they are complete and their clients have read them, within a memory
//! limit.

use std::{cell::Cell, pin::Pin, rc::Rc, time::Duration};

use hyper::body::{Body, Buf, Bytes};
use masticlock_core::memory::SMALL_BYTES;
use tokio::time::{Instant, sleep};

use super::memory::Budget;

/// Most bytes of a response that are handed to its connection at a time. The rest stays counted
/// until the client has read what came before.
const PIECE_BYTES: usize = 16 * 1_024;

/// Smallest buffer of a response that states no length, in bytes.
const MIN_CAPACITY: usize = 8 * 1_024;

/// Longest time that a response waits for room. Its request has run, so it is refused late only.
const MAX_WAIT: Duration = Duration::from_secs(4);

/// Pause after which a response asks for room again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Maximum size of a buffered response in bytes.
pub const MAX_RESPONSE_BYTES: usize = 4 * 1_024 * 1_024;

/// Maximum number of bytes of all responses that an instance buffers at the same time. The smallest
/// instances have 88 MB of memory in total.
pub const MAX_BUFFERED_BYTES: usize = 24 * 1_024 * 1_024;

/// Limits the memory for buffered responses of an instance by counting their bytes.
#[derive(Debug, Default)]
pub struct ResponseBuffer {
    bytes: Cell<usize>,
    /// Room of the process, which request bodies use too.
    budget: Option<Rc<Budget>>,
}

/// Why a response can't be buffered.
#[derive(Debug, thiserror::Error)]
pub enum Error<E> {
    /// The response was cut off.
    #[error("the response was cut off: {0}")]
    Broken(E),
    /// The response exceeds [`MAX_RESPONSE_BYTES`].
    #[error("the response has more than {MAX_RESPONSE_BYTES} bytes")]
    TooLarge,
    /// All buffered responses together would exceed [`MAX_BUFFERED_BYTES`] or the room of the process.
    #[error("no room to buffer a response")]
    BufferFull,
}

/// The bytes of one response, released when it is dropped.
#[derive(Debug)]
struct Reservation {
    buffer: Rc<ResponseBuffer>,
    bytes: usize,
}

impl Reservation {
    /// Counts more bytes, or returns false if there is no room for them.
    fn try_reserve(&mut self, bytes: usize) -> bool {
        let buffered = self.buffer.bytes.get() + bytes;
        let is_small = (self.bytes + bytes) as u64 <= SMALL_BYTES;
        let has_room = |b: &Rc<Budget>| b.hold_response(bytes, is_small);
        if buffered > MAX_BUFFERED_BYTES || !self.buffer.budget.as_ref().is_none_or(has_room) {
            return false;
        }
        self.buffer.bytes.set(buffered);
        self.bytes += bytes;
        true
    }

    /// Counts more bytes. Clients that don't read their responses are disconnected for them.
    async fn reserve<E>(&mut self, bytes: usize) -> Result<(), Error<E>> {
        let end = Instant::now() + MAX_WAIT;
        while !self.try_reserve(bytes) {
            let budget = self.buffer.budget.clone().ok_or(Error::BufferFull)?;
            if Instant::now() >= end {
                return Err(Error::BufferFull);
            }
            budget.end_unread();
            sleep(RETRY_PAUSE).await;
        }
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.buffer.bytes.set(self.buffer.bytes.get() - self.bytes);
        if let Some(budget) = &self.buffer.budget {
            budget.release_response(self.bytes);
        }
    }
}

/// The body of a response, which is counted until its connection has taken it.
#[derive(Debug)]
pub struct Held {
    bytes: Bytes,
    is_large: bool,
    _reservation: Reservation,
}

impl Held {
    /// Returns the number of bytes that are left.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether nothing is left.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Takes the next bytes for the connection.
    pub fn take_piece(&mut self) -> Bytes {
        if !self.is_large {
            return std::mem::take(&mut self.bytes);
        }
        // A copy, because a part of the buffer would keep all of it.
        let piece = Bytes::copy_from_slice(&self.bytes[..self.bytes.len().min(PIECE_BYTES)]);
        self.bytes.advance(piece.len());
        piece
    }
}

impl ResponseBuffer {
    /// Creates a buffer that also draws on the room of the process.
    #[must_use]
    pub fn with_budget(budget: Rc<Budget>) -> Self {
        Self {
            bytes: Cell::default(),
            budget: Some(budget),
        }
    }

    /// Reads a response body to its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the response is cut off or needs too much memory.
    pub async fn collect<B>(self: &Rc<Self>, mut body: B) -> Result<Held, Error<B::Error>>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let mut reservation = Reservation {
            buffer: self.clone(),
            bytes: 0,
        };
        let stated = body.size_hint().exact();
        let stated = stated.and_then(|size| usize::try_from(size).ok());
        let mut bytes = Vec::new();
        loop {
            let frame = std::future::poll_fn(|cx| Pin::new(&mut body).poll_frame(cx)).await;
            let Some(frame) = frame else {
                return Ok(Held {
                    is_large: bytes.len() > PIECE_BYTES,
                    bytes: Bytes::from(bytes),
                    _reservation: reservation,
                });
            };
            let Ok(data) = frame.map_err(Error::Broken)?.into_data() else {
                continue;
            };
            let length = bytes.len() + data.len();
            if length > MAX_RESPONSE_BYTES {
                return Err(Error::TooLarge);
            }
            if length > bytes.capacity() {
                let most = stated.unwrap_or(MAX_RESPONSE_BYTES).max(length);
                let capacity = (bytes.capacity() * 2).max(length).max(MIN_CAPACITY);
                let capacity = stated.unwrap_or(capacity).max(length).min(most);
                // One response at a time is copied, so only the new buffer counts.
                reservation.reserve(capacity - bytes.capacity()).await?;
                bytes.reserve_exact(capacity - bytes.len());
            }
            bytes.extend_from_slice(&data);
        }
    }
}
