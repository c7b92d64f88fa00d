//! Answers that are held back until they are complete.

use std::{cell::Cell, pin::Pin, rc::Rc};

use hyper::body::{Body, Bytes};

/// Largest answer of a plain service in bytes.
pub const MAX_RESPONSE_BYTES: usize = 4 * 1_024 * 1_024;

/// Most bytes of all answers that an instance holds back at the same time. The smallest instances
/// have 88 MB for everything.
pub const MAX_BUFFERED_BYTES: usize = 24 * 1_024 * 1_024;

/// Bytes of answers that an instance holds back.
#[derive(Debug, Default)]
pub struct ResponseBuffer(Cell<usize>);

/// Why an answer can't be collected.
#[derive(Debug, thiserror::Error)]
pub enum Error<E> {
    /// It broke off.
    #[error("the response was cut off: {0}")]
    Broken(E),
    /// It is larger than any answer may be.
    #[error("the response has more than {MAX_RESPONSE_BYTES} bytes")]
    TooLarge,
    /// Other answers take all the memory.
    #[error("{MAX_BUFFERED_BYTES} bytes of responses are buffered")]
    BufferFull,
}

/// The part of one answer, given back when it is dropped.
struct Share {
    buffer: Rc<ResponseBuffer>,
    bytes: usize,
}

impl Share {
    fn take<E>(&mut self, bytes: usize) -> Result<(), Error<E>> {
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

impl Drop for Share {
    fn drop(&mut self) {
        self.buffer.0.set(self.buffer.0.get() - self.bytes);
    }
}

impl ResponseBuffer {
    /// Reads an answer to its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the answer breaks off or takes too much memory.
    pub async fn collect<B>(self: &Rc<Self>, mut body: B) -> Result<Bytes, Error<B::Error>>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let mut share = Share {
            buffer: self.clone(),
            bytes: 0,
        };
        let mut whole = Vec::new();
        loop {
            let frame = std::future::poll_fn(|cx| Pin::new(&mut body).poll_frame(cx)).await;
            let Some(frame) = frame else {
                return Ok(Bytes::from(whole));
            };
            if let Ok(data) = frame.map_err(Error::Broken)?.into_data() {
                share.take(data.len())?;
                whole.extend_from_slice(&data);
            }
        }
    }
}
