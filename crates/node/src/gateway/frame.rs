//! Messages on a TCP connection: a length in four bytes and a body in postcard.

use std::io;

use serde::{Serialize, de::DeserializeOwned};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Largest body in bytes. A snapshot's chunk and a configuration fit.
const MAX_BYTES: usize = 16 * 1_024 * 1_024;

/// Bytes that are read at a time, so that a false length reserves no memory.
const STEP: usize = 64 * 1_024;

fn invalid<E>(error: E) -> io::Error
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
    let frame = postcard::to_extend(message, vec![0; 4]).map_err(invalid)?;
    send(writer, frame).await
}

async fn send<W>(writer: &mut W, mut frame: Vec<u8>) -> io::Result<()>
where
    W: AsyncWrite + Unpin,
{
    let length = u32::try_from(frame.len() - 4).map_err(invalid)?;
    frame[..4].copy_from_slice(&length.to_be_bytes());
    writer.write_all(&frame).await
}

/// Reads a message, or none at the end of the connection.
///
/// # Errors
///
/// Returns the connection's error or [`io::ErrorKind::InvalidData`].
pub async fn read<R, M>(reader: &mut R) -> io::Result<Option<M>>
where
    R: AsyncRead + Unpin,
    M: DeserializeOwned,
{
    let mut length = [0; 4];
    if reader.read(&mut length[..1]).await? == 0 {
        return Ok(None);
    }
    reader.read_exact(&mut length[1..]).await?;
    let length = usize::try_from(u32::from_be_bytes(length)).map_err(invalid)?;
    if length > MAX_BYTES {
        return Err(invalid(format!("a message of {length} bytes is too long")));
    }
    let mut body = Vec::with_capacity(length.min(STEP));
    let mut limited = reader.take(length as u64);
    limited.read_to_end(&mut body).await?;
    if body.len() < length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    postcard::from_bytes(&body).map(Some).map_err(invalid)
}
