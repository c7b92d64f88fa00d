//! Answers that are held back until they are complete.

use std::{cell::Cell, pin::Pin, rc::Rc};

use hyper::body::{Body, Bytes};

/// Largest answer of a plain service in bytes.
pub const MAX_ANSWER: usize = 4 * 1_024 * 1_024;

/// Most bytes of all answers that an instance holds back at the same time. The smallest instances
/// have 88 MB for everything.
pub const MAX_HELD: usize = 24 * 1_024 * 1_024;

/// Bytes of answers that an instance holds back.
#[derive(Debug, Default)]
pub struct Held(Cell<usize>);

/// Why an answer can't be collected.
#[derive(Debug, thiserror::Error)]
pub enum Error<E> {
    /// It broke off.
    #[error("the answer broke off: {0}")]
    Broken(E),
    /// It is larger than any answer may be.
    #[error("the answer has more than {MAX_ANSWER} bytes")]
    TooLong,
    /// Other answers take all the memory.
    #[error("{MAX_HELD} bytes of answers are held back")]
    NoRoom,
}

/// The part of one answer, given back when it is dropped.
struct Share {
    held: Rc<Held>,
    bytes: usize,
}

impl Share {
    fn take<E>(&mut self, bytes: usize) -> Result<(), Error<E>> {
        if self.bytes + bytes > MAX_ANSWER {
            return Err(Error::TooLong);
        }
        if self.held.0.get() + bytes > MAX_HELD {
            return Err(Error::NoRoom);
        }
        self.held.0.set(self.held.0.get() + bytes);
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.held.0.set(self.held.0.get() - self.bytes);
    }
}

impl Held {
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
            held: self.clone(),
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
