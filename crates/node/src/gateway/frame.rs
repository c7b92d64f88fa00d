//! Framing of messages on a TCP connection: a big-endian length of four bytes, a postcard body and
//! an [`Extension`].
//!
//! The size of a message is not known in advance, so a transfer may take as long as bytes come.

use std::{cell::Cell, io, rc::Rc, sync::Arc, time::Duration};

use serde::{Serialize, de::DeserializeOwned};
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    time::timeout,
};

use super::{memory::Budget, message::Extension};

/// Largest body in bytes. A chunk of a snapshot and a configuration fit.
const MAX_BODY_BYTES: usize = 16 * 1_024 * 1_024;

/// Largest buffer allocated before the body arrives, so that a wrong length reserves no memory.
const MAX_INITIAL_CAPACITY: usize = 64 * 1_024;

/// Longest time without any byte during a transfer.
pub const STALL_TIMEOUT: Duration = Duration::from_millis(500);

/// A message that has arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Incoming<M> {
    /// A message and its extension.
    Message(M, Extension),
    /// A message that this build can't decode, with the reason. The connection is still usable.
    Unreadable(String),
}

fn invalid_data<E>(error: E) -> io::Error
where
    E: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    io::Error::new(io::ErrorKind::InvalidData, error)
}

/// Returns the encoded message with its extension and length.
///
/// # Errors
///
/// Returns [`io::ErrorKind::InvalidData`] if the message is too large.
pub fn encode<M>(message: &M, extension: &Extension) -> io::Result<Vec<u8>>
where
    M: Serialize,
{
    let frame = postcard::to_extend(message, vec![0; 4]).map_err(invalid_data)?;
    let mut frame = extension.encode(frame).map_err(invalid_data)?;
    let length = u32::try_from(frame.len() - 4).map_err(invalid_data)?;
    frame[..4].copy_from_slice(&length.to_be_bytes());
    Ok(frame)
}

/// Writes a message.
///
/// # Errors
///
/// Returns the connection's error, [`io::ErrorKind::InvalidData`] or, if nothing could be written
/// for [`STALL_TIMEOUT`], [`io::ErrorKind::TimedOut`].
pub async fn write<W, M>(writer: &mut W, message: &M, extension: &Extension) -> io::Result<()>
where
    W: AsyncWrite + Unpin,
    M: Serialize,
{
    let frame = encode(message, extension)?;
    let mut rest = &frame[..];
    while !rest.is_empty() {
        let count = timeout(STALL_TIMEOUT, writer.write(rest)).await??;
        if count == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        rest = &rest[count..];
    }
    Ok(())
}

/// The room for the messages that a source sends.
#[derive(Clone, Debug)]
pub struct Room {
    /// Memory of the process.
    pub memory: Rc<Budget>,
    /// Address of the source.
    pub source: Arc<str>,
}

/// Reads a message, or returns `None` at the end of the connection. `max_wait` is the longest time
/// until its first byte. Adds the bytes that arrive to `received`, also if the read fails or is
/// cancelled. The message counts in `room` until it is decoded; one without room is from a process
/// that this one has called.
///
/// # Errors
///
/// Returns the connection's error, [`io::ErrorKind::InvalidData`] if the length is out of range,
/// [`io::ErrorKind::TimedOut`], or [`io::ErrorKind::OutOfMemory`] if there is no room for the message.
pub async fn read<R, M>(
    reader: &mut R,
    max_wait: Duration,
    received: &Cell<usize>,
    room: Option<&Room>,
) -> io::Result<Option<Incoming<M>>>
where
    R: AsyncRead + Unpin,
    M: DeserializeOwned,
{
    let mut length = [0; 4];
    if timeout(max_wait, reader.read(&mut length[..1])).await?? == 0 {
        return Ok(None);
    }
    timeout(STALL_TIMEOUT, reader.read_exact(&mut length[1..])).await??;
    let length = usize::try_from(u32::from_be_bytes(length)).map_err(invalid_data)?;
    if length > MAX_BODY_BYTES {
        return Err(invalid_data(format!(
            "a message of {length} bytes exceeds the limit"
        )));
    }
    if let Some(room) = room {
        let reservation = room.memory.open(room.source.clone(), Some(length as u64));
        let body = reservation.fill(reader, length, STALL_TIMEOUT, received);
        return Ok(Some(decode(&body.await?)));
    }
    let mut body = Vec::with_capacity(length.min(MAX_INITIAL_CAPACITY));
    let mut limited = reader.take(length as u64);
    while body.len() < length {
        let count = timeout(STALL_TIMEOUT, limited.read_buf(&mut body)).await??;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        received.set(received.get() + count);
    }
    Ok(Some(decode(&body)))
}

fn decode<M>(body: &[u8]) -> Incoming<M>
where
    M: DeserializeOwned,
{
    let decoded = postcard::take_from_bytes(body)
        .and_then(|(message, rest)| Ok((message, Extension::decode(rest)?)));
    match decoded {
        Ok((message, extension)) => Incoming::Message(message, extension),
        Err(error) => Incoming::Unreadable(error.to_string()),
    }
}
