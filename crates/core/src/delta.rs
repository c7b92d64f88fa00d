//! Differences between two contents.
//!
//! A content is cut into segments after each closing brace, so that an element that was added,
//! changed or removed leaves the segments of the others as they were.

use crate::{consensus::Payload, digest};

/// Byte after which a segment ends.
const SEGMENT_END: u8 = b'}';

/// Shortest segment in bytes.
const MIN_SEGMENT_BYTES: usize = 16;

/// Longest segment in bytes, for contents without [`SEGMENT_END`].
const MAX_SEGMENT_BYTES: usize = 4_096;

plain! {
    /// A part of the new content.
    #[derive(Copy, Eq)]
    enum Piece {
        /// Bytes of the base.
        Copy {
            /// Offset in the base.
            from: u64,
            /// Number of bytes.
            length: u64,
        },
        /// The next bytes of the literals.
        Insert(u64),
    }

    /// How a content is made from a base.
    #[derive(Eq)]
    pub struct Delta {
        pieces: Vec<Piece>,
        /// Bytes that the base does not have.
        literals: Payload,
    }
}

/// Why a difference can't be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A piece lies outside the base or the literals.
    #[error("a piece lies outside the content that it is taken from")]
    Range,
    /// The content would be larger than allowed.
    #[error("the content is larger than allowed")]
    TooLarge,
}

/// Returns the segments of a content with their offsets.
fn segments(content: &[u8]) -> impl Iterator<Item = (usize, &[u8])> {
    let mut start = 0;
    std::iter::from_fn(move || {
        let rest = content.get(start..).filter(|r| !r.is_empty())?;
        let window = &rest[..rest.len().min(MAX_SEGMENT_BYTES)];
        let skipped = window.get(MIN_SEGMENT_BYTES..).unwrap_or_default();
        let length = skipped
            .iter()
            .position(|b| *b == SEGMENT_END)
            .map_or(window.len(), |at| MIN_SEGMENT_BYTES + at + 1);
        let at = start;
        start += length;
        Some((at, &rest[..length]))
    })
}

fn to_u64(number: usize) -> u64 {
    // Contents are far smaller than the largest number.
    u64::try_from(number).unwrap_or(u64::MAX)
}

impl Delta {
    /// Returns the difference that contains the whole content and needs no base.
    #[must_use]
    pub fn whole(content: &[u8]) -> Self {
        Self {
            pieces: vec![Piece::Insert(to_u64(content.len()))],
            literals: Payload::from(content),
        }
    }

    /// Returns how `target` is made from `base`.
    #[must_use]
    pub fn between(base: &[u8], target: &[u8]) -> Self {
        let mut known: Vec<(u64, usize)> = segments(base)
            .map(|(at, segment)| (digest::of(segment), at))
            .collect();
        known.sort_unstable();
        let find = |segment: &[u8]| {
            let hash = digest::of(segment);
            let first = known.partition_point(|(h, _)| *h < hash);
            known[first..]
                .iter()
                .take_while(|(h, _)| *h == hash)
                .map(|(_, at)| *at)
                .find(|at| base[*at..].starts_with(segment))
        };
        let mut pieces: Vec<Piece> = Vec::new();
        let mut literals = Vec::new();
        // Offset in the base that follows the last copied segment.
        let mut next = 0;
        for (_, segment) in segments(target) {
            let follows = base.get(next..).is_some_and(|b| b.starts_with(segment));
            let found = if follows { Some(next) } else { find(segment) };
            let added = to_u64(segment.len());
            match (found, pieces.last_mut()) {
                (Some(at), Some(Piece::Copy { from, length })) if *from + *length == to_u64(at) => {
                    *length += added;
                }
                (Some(at), _) => pieces.push(Piece::Copy {
                    from: to_u64(at),
                    length: added,
                }),
                (None, Some(Piece::Insert(length))) => *length += added,
                (None, _) => pieces.push(Piece::Insert(added)),
            }
            match found {
                Some(at) => next = at + segment.len(),
                None => literals.extend_from_slice(segment),
            }
        }
        Self {
            pieces,
            literals: literals.into(),
        }
    }

    /// Returns the content that results from `base`, which has at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if a piece lies outside its source or the content is too large.
    pub fn apply(&self, base: &[u8], limit: usize) -> Result<Vec<u8>, Error> {
        let mut content = Vec::new();
        let mut literals = self.literals.as_bytes();
        for piece in &self.pieces {
            let part = match *piece {
                Piece::Copy { from, length } => {
                    let from = usize::try_from(from).map_err(|_| Error::Range)?;
                    let length = usize::try_from(length).map_err(|_| Error::Range)?;
                    let end = from.checked_add(length).ok_or(Error::Range)?;
                    base.get(from..end).ok_or(Error::Range)?
                }
                Piece::Insert(length) => {
                    let length = usize::try_from(length).map_err(|_| Error::Range)?;
                    let (part, rest) = literals.split_at_checked(length).ok_or(Error::Range)?;
                    literals = rest;
                    part
                }
            };
            if content.len() + part.len() > limit {
                return Err(Error::TooLarge);
            }
            content.extend_from_slice(part);
        }
        Ok(content)
    }
}
