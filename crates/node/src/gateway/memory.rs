//! The memory that a process holds for others: request bodies as they arrive, and responses.

use std::{
    cell::{Cell, RefCell},
    fmt, fs, io,
    pin::Pin,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use hyper::{
    StatusCode,
    body::{Body, Bytes, Incoming},
};
use masticlock_core::memory::{Decision, Id, Ledger};
use tokio::{
    io::{AsyncRead, AsyncReadExt},
    sync::Notify,
    time::{sleep, timeout},
};

use crate::clock::Clock;

/// Smallest buffer of a body that does not announce a smaller size, in bytes.
const MIN_CAPACITY: usize = 8 * 1_024;

/// Pause after which a body asks for room again if nothing has been released: a body that has
/// stalled meanwhile may be ended for it.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Why a body was not read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The connection has ended within the body.
    #[error("cut off")]
    CutOff,
    /// It exceeds the limit of its size.
    #[error("too large")]
    TooLarge,
    /// It has not arrived in time.
    #[error("too late")]
    TooLate,
    /// There is no room for it.
    #[error("no room")]
    NoRoom,
}

impl Error {
    /// Returns the status for the client.
    #[must_use]
    pub const fn status(self) -> StatusCode {
        match self {
            Self::CutOff => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooLate => StatusCode::REQUEST_TIMEOUT,
            Self::NoRoom => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Returns the cause for metrics.
    #[must_use]
    pub const fn cause(self) -> &'static str {
        match self {
            Self::CutOff => "body cut off",
            Self::TooLarge => "body too large",
            Self::TooLate => "body too late",
            Self::NoRoom => "no room for a body",
        }
    }
}

/// The room of a process, on one thread.
pub struct Budget {
    ledger: RefCell<Ledger>,
    clock: Clock,
    /// Signals that memory was released.
    released: Notify,
    /// Ends the reading of bodies, sorted by identity.
    readers: RefCell<Vec<(Id, Rc<Notify>)>>,
    /// Number of bodies and responses that were ended to make room.
    ended: Cell<u64>,
    end_unread: RefCell<Option<EndUnread>>,
}

/// Disconnects a client that does not read its response, and returns whether there is one.
type EndUnread = Box<dyn Fn() -> bool>;

impl fmt::Debug for Budget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Budget")
            .field("ledger", &self.ledger)
            .finish_non_exhaustive()
    }
}

impl Budget {
    /// Creates the budget of a process on a machine with that memory in bytes.
    #[must_use]
    pub fn new(memory: Option<u64>, clock: Clock) -> Self {
        Self {
            ledger: RefCell::new(Ledger::new(memory)),
            clock,
            released: Notify::new(),
            readers: RefCell::default(),
            ended: Cell::default(),
            end_unread: RefCell::default(),
        }
    }

    /// Returns the number of bytes that are held.
    #[must_use]
    pub fn held(&self) -> u64 {
        self.ledger.borrow().held()
    }

    /// Returns the number of unfinished bodies and unread responses that were ended to make room.
    #[must_use]
    pub fn ended(&self) -> u64 {
        self.ended.get()
    }

    /// Returns a reservation without bytes for a body of that source.
    pub fn open(self: &Rc<Self>, source: Arc<str>, announced: Option<u64>) -> Reservation {
        let now = self.clock.now();
        let id = self.ledger.borrow_mut().open(source, announced, now);
        let end = Rc::new(Notify::new());
        self.readers.borrow_mut().push((id, end.clone()));
        Reservation {
            budget: self.clone(),
            id,
            end,
        }
    }

    /// Ends the largest body that has stalled, and returns whether there is one.
    pub fn end_stalled(&self) -> bool {
        let ended = self.ledger.borrow_mut().end_stalled(self.clock.now());
        ended.inspect(|id| self.end(*id)).is_some()
    }

    fn end(&self, id: Id) {
        let readers = self.readers.borrow();
        if let Ok(at) = readers.binary_search_by_key(&id, |r| r.0) {
            self.ended.set(self.ended.get() + 1);
            readers[at].1.notify_one();
        }
    }

    /// Returns whether bytes of a response may be held, and counts them if so.
    pub fn hold_response(&self, bytes: usize, is_small: bool) -> bool {
        let mut ledger = self.ledger.borrow_mut();
        if is_small {
            ledger.hold_response(bytes as u64)
        } else {
            ledger.hold_large_response(bytes as u64)
        }
    }

    /// Sets what disconnects a client that does not read its response and returns whether there is
    /// one.
    pub fn set_end_unread<F>(&self, end_unread: F)
    where
        F: Fn() -> bool + 'static,
    {
        *self.end_unread.borrow_mut() = Some(Box::new(end_unread));
    }

    /// Disconnects a client that does not read its response, if there is one.
    pub fn end_unread(&self) {
        if self.end_unread.borrow().as_ref().is_some_and(|end| end()) {
            self.ended.set(self.ended.get() + 1);
        }
    }

    /// Releases bytes of a response.
    pub fn release_response(&self, bytes: usize) {
        self.ledger.borrow_mut().release_response(bytes as u64);
        self.released.notify_waiters();
    }
}

/// The memory of one body, released when it is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Rc<Budget>,
    id: Id,
    end: Rc<Notify>,
}

impl Reservation {
    /// Waits until the body may hold that number of bytes.
    async fn grow(&self, bytes: usize) -> Result<(), Error> {
        loop {
            let released = self.budget.released.notified();
            let now = self.budget.clock.now();
            let decision = self
                .budget
                .ledger
                .borrow_mut()
                .grow(self.id, bytes as u64, now);
            match decision {
                Decision::Granted => return Ok(()),
                Decision::Refused => return Err(Error::NoRoom),
                Decision::Wait(stalled) => {
                    if let Some(id) = stalled {
                        self.budget.end(id);
                    }
                    tokio::select! {
                        () = released => {}
                        () = sleep(RETRY_PAUSE) => {}
                    }
                }
            }
        }
    }

    /// Waits until the buffer of a body, which may need up to `most` bytes, may hold `length` bytes, and
    /// lets it grow. Bytes of the body have arrived.
    async fn reserve(&self, bytes: &mut Vec<u8>, length: usize, most: usize) -> Result<(), Error> {
        if length <= bytes.capacity() {
            let now = self.budget.clock.now();
            self.budget.ledger.borrow_mut().progress(self.id, now);
            return Ok(());
        }
        let capacity = next_capacity(bytes.capacity(), length, most);
        // The old buffer is released after the new one has been filled.
        self.grow(bytes.capacity() + capacity).await?;
        bytes.reserve_exact(capacity - bytes.len());
        let mut ledger = self.budget.ledger.borrow_mut();
        ledger.shrink(self.id, bytes.capacity() as u64);
        drop(ledger);
        self.budget.released.notify_waiters();
        Ok(())
    }

    /// Fills an empty buffer with `length` bytes. No byte may be missing for longer than `max_pause`.
    ///
    /// # Errors
    ///
    /// Returns the reader's error, [`io::ErrorKind::TimedOut`], [`io::ErrorKind::UnexpectedEof`] or
    /// [`io::ErrorKind::OutOfMemory`] if there is no room.
    pub async fn fill<R>(
        &self,
        reader: &mut R,
        length: usize,
        max_pause: Duration,
        received: &Cell<usize>,
    ) -> io::Result<Vec<u8>>
    where
        R: AsyncRead + Unpin,
    {
        let mut bytes = Vec::new();
        let mut limited = reader.take(length as u64);
        let filling = async {
            while bytes.len() < length {
                let next = bytes.len() + 1;
                let reserved = self.reserve(&mut bytes, next, length).await;
                reserved.map_err(|_| io::ErrorKind::OutOfMemory)?;
                let count = timeout(max_pause, limited.read_buf(&mut bytes)).await??;
                if count == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                received.set(received.get() + count);
            }
            Ok::<(), io::Error>(())
        };
        tokio::select! {
            biased;
            filled = filling => filled?,
            () = self.end.notified() => return Err(io::ErrorKind::OutOfMemory.into()),
        }
        self.budget.ledger.borrow_mut().complete(self.id);
        Ok(bytes)
    }

    /// Reads a body of at most `limit` bytes within `max_wait`. The body is not polled while there
    /// is no room for it.
    ///
    /// # Errors
    ///
    /// Returns why it was not read to its end.
    pub async fn read(
        &self,
        mut body: Incoming,
        limit: usize,
        max_wait: Duration,
    ) -> Result<Bytes, Error> {
        let announced = announced(&body, limit)?;
        let mut bytes = Vec::new();
        let read = async {
            while let Some(data) = next_data(&mut body).await? {
                let length = bytes.len() + data.len();
                if length > limit {
                    return Err(Error::TooLarge);
                }
                self.reserve(&mut bytes, length, announced.unwrap_or(limit))
                    .await?;
                bytes.extend_from_slice(&data);
            }
            Ok(())
        };
        self.within(max_wait, read).await?;
        self.budget.ledger.borrow_mut().complete(self.id);
        Ok(Bytes::from(bytes))
    }

    /// Reads a body to its end without holding it, within the same limits as [`Self::read`].
    ///
    /// # Errors
    ///
    /// Returns why it was not read to its end.
    pub async fn discard(
        &self,
        mut body: Incoming,
        limit: usize,
        max_wait: Duration,
    ) -> Result<(), Error> {
        announced(&body, limit)?;
        let read = async {
            let mut length = 0;
            while let Some(data) = next_data(&mut body).await? {
                length += data.len();
                if length > limit {
                    return Err(Error::TooLarge);
                }
            }
            Ok(())
        };
        self.within(max_wait, read).await
    }

    /// Runs `read` until it ends, the time is over or the body is ended to make room.
    async fn within<R>(&self, max_wait: Duration, read: R) -> Result<(), Error>
    where
        R: Future<Output = Result<(), Error>>,
    {
        tokio::select! {
            biased;
            read = timeout(max_wait, read) => read.map_err(|_| Error::TooLate)?,
            () = self.end.notified() => Err(Error::NoRoom),
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.ledger.borrow_mut().close(self.id);
        let mut readers = self.budget.readers.borrow_mut();
        if let Ok(at) = readers.binary_search_by_key(&self.id, |r| r.0) {
            readers.remove(at);
        }
        drop(readers);
        self.budget.released.notify_waiters();
    }
}

/// Returns the resident memory of the process in bytes, or none where the system doesn't tell.
#[must_use]
pub fn resident_bytes() -> Option<u64> {
    let status = fs::read_to_string("/proc/self/status").ok()?;
    let resident = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    let kib: u64 = resident.trim().strip_suffix(" kB")?.trim().parse().ok()?;
    Some(kib * 1_024)
}

/// Returns the announced size of a body, if there is one.
fn announced(body: &Incoming, limit: usize) -> Result<Option<usize>, Error> {
    let Some(size) = body.size_hint().exact() else {
        return Ok(None);
    };
    match usize::try_from(size) {
        Ok(size) if size <= limit => Ok(Some(size)),
        _ => Err(Error::TooLarge),
    }
}

/// Returns the next bytes of a body, or none at its end.
async fn next_data(body: &mut Incoming) -> Result<Option<Bytes>, Error> {
    loop {
        let frame = std::future::poll_fn(|cx| Pin::new(&mut *body).poll_frame(cx)).await;
        let Some(frame) = frame else {
            return Ok(None);
        };
        let frame = frame.map_err(|error| {
            log::debug!("a request body was cut off: {error}");
            Error::CutOff
        })?;
        // Trailers are not forwarded.
        if let Ok(data) = frame.into_data() {
            return Ok(Some(data));
        }
    }
}

/// Returns the capacity of a buffer that has to hold `length` bytes. It doubles, so that a body in
/// small pieces is copied a few times only, but never goes beyond what the body may have.
fn next_capacity(current: usize, length: usize, most: usize) -> usize {
    (current * 2).max(length).max(MIN_CAPACITY).min(most)
}
