//! Framing of messages on a TCP connection: a big-endian length of four bytes and a postcard body.

use std::{cell::Cell, io};

use serde::{Serialize, de::DeserializeOwned};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Largest body in bytes. A chunk of a snapshot and a configuration fit.
const MAX_BODY_BYTES: usize = 16 * 1_024 * 1_024;

/// Largest buffer allocated before the body arrives, so that a wrong length reserves no memory.
const MAX_INITIAL_CAPACITY: usize = 64 * 1_024;

fn invalid_data<E>(error: E) -> io::Error
where
    E: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    io::Error::new(io::ErrorKind::InvalidData, error)
}

/// Writes a message.
///
/// # Errors
///
/// Returns the connection's error or [`io::ErrorKind::InvalidData`].
pub async fn write<W, M>(writer: &mut W, message: &M) -> io::Result<()>
where
    W: AsyncWrite + Unpin,
    M: Serialize,
{
    let frame = postcard::to_extend(message, vec![0; 4]).map_err(invalid_data)?;
    write_frame(writer, frame).await
}

/// Fills in the length of the frame and writes it.
async fn write_frame<W>(writer: &mut W, mut frame: Vec<u8>) -> io::Result<()>
where
    W: AsyncWrite + Unpin,
{
    let length = u32::try_from(frame.len() - 4).map_err(invalid_data)?;
    frame[..4].copy_from_slice(&length.to_be_bytes());
    writer.write_all(&frame).await
}

/// Reads a message, or returns `None` at the end of the connection.
///
/// # Errors
///
/// Returns the connection's error or [`io::ErrorKind::InvalidData`].
pub async fn read<R, M>(reader: &mut R) -> io::Result<Option<M>>
where
    R: AsyncRead + Unpin,
    M: DeserializeOwned,
{
    read_counted(reader, &Cell::new(0)).await
}

/// Reads a message as [`read`] does and adds the bytes that arrive to `received`, also if the read
/// fails or is cancelled.
///
/// # Errors
///
/// Returns the connection's error or [`io::ErrorKind::InvalidData`].
pub async fn read_counted<R, M>(reader: &mut R, received: &Cell<usize>) -> io::Result<Option<M>>
where
    R: AsyncRead + Unpin,
    M: DeserializeOwned,
{
    let mut length = [0; 4];
    if reader.read(&mut length[..1]).await? == 0 {
        return Ok(None);
    }
    reader.read_exact(&mut length[1..]).await?;
    let length = usize::try_from(u32::from_be_bytes(length)).map_err(invalid_data)?;
    if length > MAX_BODY_BYTES {
        return Err(invalid_data(format!(
            "a message of {length} bytes exceeds the limit"
        )));
    }
    let mut body = Vec::with_capacity(length.min(MAX_INITIAL_CAPACITY));
    let mut limited = reader.take(length as u64);
    loop {
        let count = limited.read_buf(&mut body).await?;
        received.set(received.get() + count);
        if count == 0 {
            break;
        }
    }
    if body.len() < length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    postcard::from_bytes(&body).map(Some).map_err(invalid_data)
}
