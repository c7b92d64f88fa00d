//! Buffering of responses until they are complete, within a memory limit.

use std::{cell::Cell, pin::Pin, rc::Rc};

use hyper::body::{Body, Bytes};

use super::memory::Budget;

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
struct Reservation {
    buffer: Rc<ResponseBuffer>,
    bytes: usize,
}

impl Reservation {
    fn reserve<E>(&mut self, bytes: usize) -> Result<(), Error<E>> {
        if self.bytes + bytes > MAX_RESPONSE_BYTES {
            return Err(Error::TooLarge);
        }
        let buffered = self.buffer.bytes.get() + bytes;
        let has_room = |b: &Rc<Budget>| b.hold_response(bytes);
        if buffered > MAX_BUFFERED_BYTES || !self.buffer.budget.as_ref().is_none_or(has_room) {
            return Err(Error::BufferFull);
        }
        self.buffer.bytes.set(buffered);
        self.bytes += bytes;
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
    pub async fn collect<B>(self: &Rc<Self>, mut body: B) -> Result<Bytes, Error<B::Error>>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let mut reservation = Reservation {
            buffer: self.clone(),
            bytes: 0,
        };
        let mut bytes = Vec::new();
        loop {
            let frame = std::future::poll_fn(|cx| Pin::new(&mut body).poll_frame(cx)).await;
            let Some(frame) = frame else {
                return Ok(Bytes::from(bytes));
            };
            if let Ok(data) = frame.map_err(Error::Broken)?.into_data() {
                reservation.reserve(data.len())?;
                bytes.extend_from_slice(&data);
            }
        }
    }
}
