//! Buffering of responses until they are complete, within a memory limit.

use std::{cell::Cell, pin::Pin, rc::Rc};

use hyper::body::{Body, Bytes};

/// Maximum size of a buffered response in bytes.
pub const MAX_RESPONSE_BYTES: usize = 4 * 1_024 * 1_024;

/// Maximum number of bytes of all responses that an instance buffers at the same time. The smallest
/// instances have 88 MB of memory in total.
pub const MAX_BUFFERED_BYTES: usize = 24 * 1_024 * 1_024;

/// Limits the memory for buffered responses of an instance by counting their bytes.
#[derive(Debug, Default)]
pub struct ResponseBuffer(Cell<usize>);

/// Why a response can't be buffered.
#[derive(Debug, thiserror::Error)]
pub enum Error<E> {
    /// The response was cut off.
    #[error("the response was cut off: {0}")]
    Broken(E),
    /// The response exceeds [`MAX_RESPONSE_BYTES`].
    #[error("the response has more than {MAX_RESPONSE_BYTES} bytes")]
    TooLarge,
    /// All buffered responses together would exceed [`MAX_BUFFERED_BYTES`].
    #[error("{MAX_BUFFERED_BYTES} bytes of responses are buffered")]
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
        if self.buffer.0.get() + bytes > MAX_BUFFERED_BYTES {
            return Err(Error::BufferFull);
        }
        self.buffer.0.set(self.buffer.0.get() + bytes);
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.buffer.0.set(self.buffer.0.get() - self.bytes);
    }
}

impl ResponseBuffer {
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
