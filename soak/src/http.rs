//! Reading of messages as they are on the wire, so that a broken one is seen as broken.

use std::io;

use masticlock_platform::testing::Fields;
use tokio::io::{AsyncBufRead, AsyncBufReadExt, AsyncReadExt};

/// Reads the first line and the fields of a message, or nothing if the connection has ended.
///
/// # Errors
///
/// Returns an error of the connection, also if it ends within the message.
pub async fn head<R>(reader: &mut R) -> io::Result<Option<(String, Fields)>>
where
    R: AsyncBufRead + Unpin,
{
    let mut first = String::new();
    if reader.read_line(&mut first).await? == 0 {
        return Ok(None);
    }
    let mut fields = Fields::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), fields)));
        }
        if let Some((name, value)) = line.split_once(':') {
            fields.set(name, value.trim());
        }
    }
}

/// Reads a body of the given length.
///
/// # Errors
///
/// Returns an error of the connection, also if it ends within the body.
pub async fn body<R>(reader: &mut R, length: usize) -> io::Result<String>
where
    R: AsyncBufRead + Unpin,
{
    let mut bytes = vec![0; length];
    reader.read_exact(&mut bytes).await?;
    String::from_utf8(bytes).map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))
}

/// Reads a chunk of a body; the last one is empty.
///
/// # Errors
///
/// Returns an error of the connection, also if it ends within the chunk.
pub async fn chunk<R>(reader: &mut R) -> io::Result<String>
where
    R: AsyncBufRead + Unpin,
{
    let mut line = String::new();
    if reader.read_line(&mut line).await? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let length = usize::from_str_radix(line.trim(), 16);
    let length = length.map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))?;
    let text = body(reader, length + 2).await?;
    Ok(text[..length].to_owned())
}
