//! Transfer of configurations: which parcel is sent, and what has arrived of it.
//!
//! A [`Parcel`] is an encoded content or its difference from a base. The receiver asks for one part
//! after another, so a transfer goes on at any sender that has the same parcel, and takes as long as
//! its parts take to arrive.

use std::sync::Arc;

use crate::{consensus::Payload, fault::Fault, memory};

/// Bytes of a parcel in one message.
pub const PART_BYTES: usize = 64 * 1_024;

/// Contents that a sender keeps as bases, with the newest one.
const MAX_CONTENTS: usize = 8;

plain! {
    /// Cryptographic hash of a content or parcel.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub struct Digest([u8; 32]);

    /// Description of a parcel.
    #[derive(Copy, Eq)]
    pub struct Head {
        /// Revision of the configuration.
        pub revision: u64,
        /// Digest of the content.
        pub content: Digest,
        /// Digest of the content that the parcel is a difference from.
        pub base: Option<Digest>,
        /// Digest of the parcel.
        pub parcel: Digest,
        /// Size of the parcel in bytes.
        pub bytes: u64,
    }

    /// What a receiver has of a parcel.
    #[derive(Copy, Eq)]
    pub struct Partial {
        /// Digest of the parcel.
        pub parcel: Digest,
        /// Digest of the content that results from it.
        pub content: Digest,
        /// Number of bytes that have arrived.
        pub bytes: u64,
    }

    /// Asks for a part of a parcel.
    #[derive(Copy, Eq)]
    pub struct Fetch {
        /// Revision of the configuration that the receiver holds; 0 for none.
        pub revision: u64,
        /// Digest of that configuration.
        pub base: Option<Digest>,
        /// Parcel of which a part has arrived.
        pub partial: Option<Partial>,
    }

    /// A part of a parcel.
    #[derive(Eq)]
    pub struct Part {
        /// The parcel.
        pub head: Head,
        /// Offset of the part in bytes.
        pub offset: u64,
        /// Bytes of the part.
        pub bytes: Payload,
    }
}

impl Digest {
    /// Returns the digest of the bytes.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(*blake3::hash(bytes).as_bytes())
    }
}

/// A configuration that a sender keeps.
#[derive(Clone, Debug)]
pub struct Stored {
    /// Revision.
    pub revision: u64,
    /// Digest of the content.
    pub digest: Digest,
    /// Content.
    pub content: Payload,
}

/// The newest configuration and earlier ones, which are bases of differences.
#[derive(Clone, Debug)]
pub struct Archive {
    /// Sorted by revision.
    contents: Vec<Stored>,
    /// Most bytes of the earlier ones.
    room: u64,
}

impl Default for Archive {
    fn default() -> Self {
        Self::new(memory::archive_bytes(None))
    }
}

impl Archive {
    /// Creates an archive that keeps at most `room` bytes beside the newest configuration.
    #[must_use]
    pub const fn new(room: u64) -> Self {
        Self {
            contents: Vec::new(),
            room,
        }
    }

    /// Returns the most bytes that are kept beside the newest configuration.
    #[must_use]
    pub const fn room(&self) -> u64 {
        self.room
    }

    /// Adds a configuration that is newer than the others.
    pub fn insert(&mut self, revision: u64, content: Payload) {
        if revision <= self.newest().map_or(0, |n| n.revision) {
            return;
        }
        self.contents.push(Stored {
            revision,
            digest: Digest::of(content.as_bytes()),
            content,
        });
        let size = |c: &Stored| c.content.as_bytes().len() as u64;
        let older = |all: &[Stored]| -> u64 { all.iter().rev().skip(1).map(size).sum() };
        while self.contents.len() > MAX_CONTENTS || older(&self.contents) > self.room {
            self.contents.remove(0);
        }
    }

    /// Returns the newest configuration.
    #[must_use]
    pub fn newest(&self) -> Option<&Stored> {
        self.contents.last()
    }

    /// Returns the configuration with that digest.
    #[must_use]
    pub fn get(&self, digest: Digest) -> Option<&Stored> {
        self.contents.iter().find(|c| c.digest == digest)
    }
}

/// An encoded configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Parcel {
    head: Head,
    bytes: Arc<[u8]>,
}

impl Parcel {
    /// Creates the parcel with these bytes, made from `base` if there is one.
    #[must_use]
    pub fn new(stored: &Stored, base: Option<Digest>, bytes: &[u8]) -> Self {
        Self {
            head: Head {
                revision: stored.revision,
                content: stored.digest,
                base,
                parcel: Digest::of(bytes),
                bytes: bytes.len() as u64,
            },
            bytes: bytes.into(),
        }
    }

    /// Returns the description.
    #[must_use]
    pub const fn head(&self) -> &Head {
        &self.head
    }

    /// Returns the part at the offset.
    #[must_use]
    pub fn part(&self, offset: u64) -> Part {
        let start = usize::try_from(offset).unwrap_or(usize::MAX);
        let start = start.min(self.bytes.len());
        let end = self.bytes.len().min(start + PART_BYTES);
        Part {
            head: self.head,
            offset: start as u64,
            bytes: Payload::from(&self.bytes[start..end]),
        }
    }
}

/// Returns the part that answers a request: of the parcel that the receiver has begun with, unless
/// the newest one takes no longer than the rest of it.
///
/// What is left until the receiver has a newer configuration never grows, so that changes in quick
/// succession can't keep a slow receiver from all of them.
#[must_use]
pub fn choose_part(fetch: &Fetch, newest: &Parcel, begun: Option<&Parcel>) -> Part {
    if let (Some(begun), Some(partial)) = (begun, fetch.partial)
        && begun.head.parcel == partial.parcel
        && begun.head.revision > fetch.revision
        && partial.bytes <= begun.head.bytes
        && !Fault::RestartTransfer.is_injected()
    {
        let rest = begun.head.bytes - partial.bytes;
        if begun.head.parcel == newest.head.parcel || rest < newest.head.bytes {
            return begun.part(partial.bytes);
        }
    }
    newest.part(0)
}

/// Why a part was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The part does not follow what has arrived.
    #[error("a part at offset {offset} does not follow {received} bytes")]
    OutOfOrder {
        /// Offset of the part.
        offset: u64,
        /// Bytes that have arrived.
        received: u64,
    },
    /// The parcel has more bytes than its head says, or more than allowed.
    #[error("the parcel is too large")]
    TooLarge,
    /// The parcel does not match its digest.
    #[error("the parcel is damaged")]
    Damaged,
}

/// What has arrived of a parcel.
#[derive(Clone, Debug, Default)]
pub struct Download {
    head: Option<Head>,
    received: Vec<u8>,
    /// Bytes of parcels that were given up.
    discarded: u64,
}

impl Download {
    /// Returns the request for the next part, for a receiver that holds that configuration.
    #[must_use]
    pub fn request(&self, revision: u64, base: Option<Digest>) -> Fetch {
        Fetch {
            revision,
            base,
            partial: self.head.map(|head| Partial {
                parcel: head.parcel,
                content: head.content,
                bytes: self.received.len() as u64,
            }),
        }
    }

    /// Returns the number of bytes that have arrived and how many there are.
    #[must_use]
    pub fn progress(&self) -> (u64, u64) {
        let total = self.head.map_or(0, |h| h.bytes);
        (self.received.len() as u64, total)
    }

    /// Returns the number of bytes of parcels that were given up.
    #[must_use]
    pub const fn discarded(&self) -> u64 {
        self.discarded
    }

    /// Gives up what has arrived.
    pub fn clear(&mut self) {
        self.discarded += self.received.len() as u64;
        self.received = Vec::new();
        self.head = None;
    }

    /// Accepts a part and returns the parcel once it is complete. `limit` is the largest parcel in
    /// bytes.
    ///
    /// A part of another parcel at offset 0 replaces what has arrived.
    ///
    /// # Errors
    ///
    /// Returns an error if the part does not follow what has arrived, or the parcel is too large or
    /// damaged. What has arrived of a large or damaged parcel is given up.
    pub fn accept(&mut self, part: &Part, limit: u64) -> Result<Option<(Head, Vec<u8>)>, Error> {
        if self.head != Some(part.head) {
            if part.offset != 0 {
                return Err(Error::OutOfOrder {
                    offset: part.offset,
                    received: 0,
                });
            }
            self.clear();
            self.head = Some(part.head);
        }
        let received = self.received.len() as u64;
        if part.offset != received {
            return Err(Error::OutOfOrder {
                offset: part.offset,
                received,
            });
        }
        let bytes = part.bytes.as_bytes();
        if part.head.bytes > limit || received + bytes.len() as u64 > part.head.bytes {
            self.clear();
            return Err(Error::TooLarge);
        }
        self.received.extend_from_slice(bytes);
        if (self.received.len() as u64) < part.head.bytes {
            return Ok(None);
        }
        if Digest::of(&self.received) != part.head.parcel {
            self.clear();
            return Err(Error::Damaged);
        }
        self.head = None;
        Ok(Some((part.head, std::mem::take(&mut self.received))))
    }
}
