use std::io;

use super::Error;

/// Bytes before a frame's body: length and CRC32 with 4 bytes each, and number with 8 bytes, all
/// little-endian. The CRC32 covers the number and the body.
pub const HEADER_BYTES: usize = 16;

/// Largest distance between the number of a missing frame and that of a later frame.
const MAX_FRAME_GAP: u64 = 1 << 20;

/// A decoded frame. A frame without a body is a sync marker: the frame of its number was synced.
#[derive(Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    pub number: u64,
    pub body: &'a [u8],
}

/// Encodes a frame.
pub fn encode(number: u64, body: &[u8]) -> Result<Vec<u8>, Error> {
    let length = u32::try_from(body.len()).map_err(|e| Error::Disk {
        operation: "encode",
        file: format!("a frame of {} bytes", body.len()),
        source: io::Error::new(io::ErrorKind::InvalidInput, e),
    })?;
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.extend_from_slice(&checksum(number, body).to_le_bytes());
    bytes.extend_from_slice(&number.to_le_bytes());
    bytes.extend_from_slice(body);
    Ok(bytes)
}

/// Decodes the frame at the start of `bytes` and returns it with its length in bytes.
///
/// Returns `None` if the frame is incomplete or its CRC32 doesn't match.
pub fn decode(bytes: &[u8]) -> Option<(Frame<'_>, usize)> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (crc, rest) = rest.split_first_chunk::<4>()?;
    let (number, rest) = rest.split_first_chunk::<8>()?;
    let length = usize::try_from(u32::from_le_bytes(*length)).ok()?;
    let body = rest.get(..length)?;
    let number = u64::from_le_bytes(*number);
    let is_valid = checksum(number, body) == u32::from_le_bytes(*crc);
    is_valid.then_some((Frame { number, body }, HEADER_BYTES + length))
}

/// Returns whether `bytes` has, at any offset, a valid frame with `number` or a later number.
///
/// Each write is synced before the next one starts, so such a frame shows that the bytes before it
/// had been synced and were corrupted later.
pub fn has_later_frame(bytes: &[u8], number: u64) -> bool {
    (0..bytes.len().saturating_sub(HEADER_BYTES - 1)).any(|offset| {
        let tail = &bytes[offset..];
        let found = tail[8..].first_chunk::<8>().map(|n| u64::from_le_bytes(*n));
        found.is_some_and(|n| (number..number.saturating_add(MAX_FRAME_GAP)).contains(&n))
            && decode(tail).is_some()
    })
}

fn checksum(number: u64, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&number.to_le_bytes());
    hasher.update(body);
    hasher.finalize()
}
