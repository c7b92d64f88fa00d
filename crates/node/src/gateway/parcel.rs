//! Encoding of configurations for their transfer: a difference, compressed.

use lz4_flex::block;
use masticlock_core::{
    delta::{self, Delta},
    transfer::{Digest, Head},
};

use super::control::MAX_CONFIG_BYTES;

/// Bytes of an encoded difference beside its content: pieces and lengths.
const MAX_OVERHEAD_BYTES: usize = 4 * 1_024 * 1_024;

/// Largest parcel in bytes. Bytes that can't be compressed take slightly more than their number.
pub const MAX_BYTES: u64 = 2 * (MAX_CONFIG_BYTES + MAX_OVERHEAD_BYTES) as u64;

/// Why a parcel can't be decoded.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The bytes can't be decompressed.
    #[error("can't decompress a parcel: {0}")]
    Compression(#[from] block::DecompressError),
    /// The bytes are no difference.
    #[error("a parcel is no difference: {0}")]
    Format(#[from] postcard::Error),
    /// The decompressed difference would be larger than allowed.
    #[error("a parcel of {0} bytes is larger than allowed")]
    TooLarge(usize),
    /// The difference doesn't fit its base.
    #[error(transparent)]
    Delta(#[from] delta::Error),
    /// The parcel is a difference from another content than the one that is held.
    #[error("a parcel is a difference from a configuration that is not held")]
    WrongBase,
    /// The content doesn't match its digest.
    #[error("the content of a parcel doesn't match its digest")]
    WrongContent,
}

/// Encodes a content, as a difference if there is a base.
///
/// # Panics
///
/// Never panics: a difference has no maps or unsized values that could not be encoded.
#[must_use]
pub fn encode(base: Option<&[u8]>, content: &[u8]) -> Vec<u8> {
    let delta = match base {
        Some(base) => Delta::between(base, content),
        None => Delta::whole(content),
    };
    let bytes = postcard::to_stdvec(&delta).expect("every difference can be encoded");
    block::compress_prepend_size(&bytes)
}

/// Decodes a parcel for a receiver that holds `base`.
///
/// # Errors
///
/// Returns an error if the parcel is damaged, too large or made for another base, or its content
/// is not the one that its head names.
pub fn decode(head: &Head, parcel: &[u8], base: Option<(Digest, &[u8])>) -> Result<Vec<u8>, Error> {
    let (size, _) = block::uncompressed_size(parcel)?;
    if size > MAX_CONFIG_BYTES + MAX_OVERHEAD_BYTES {
        return Err(Error::TooLarge(size));
    }
    let delta: Delta = postcard::from_bytes(&block::decompress_size_prepended(parcel)?)?;
    let base = match (head.base, base) {
        (None, _) => &[],
        (Some(wanted), Some((digest, content))) if wanted == digest => content,
        (Some(_), _) => return Err(Error::WrongBase),
    };
    let content = delta.apply(base, MAX_CONFIG_BYTES)?;
    if Digest::of(&content) != head.content {
        return Err(Error::WrongContent);
    }
    Ok(content)
}
