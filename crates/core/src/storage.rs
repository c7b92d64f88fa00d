//! Durable storage of the replicated log in one data folder.
//!
//! The folder holds an identity file, the latest snapshot and numbered log segments. A segment is a
//! sequence of frames, one for each write, with length, CRC32 and number. A record is durable only
//! once it is synced. After the first error the store accepts no more records, because a failed
//! sync may have lost any of the writes before it.

mod frame;
mod load;
mod recovery;
mod store;
mod terms;

pub use self::{
    recovery::{Recovery, recover},
    store::LogStore,
};

use std::{fmt, io};

use crate::consensus::Identity;

/// Size in bytes at which a segment is full and the next write starts a new one.
pub const SEGMENT_BYTES: u64 = 4 * 1_024 * 1_024;

/// Error of the log store.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file operation failed.
    #[error("can't {operation} {file} in the data folder: {source}")]
    Disk {
        /// The operation, as a verb.
        operation: &'static str,
        /// Name of the file.
        file: String,
        /// The file system's error.
        source: io::Error,
    },
    /// A file has content that an interrupted write can't have left.
    #[error("{file} in the data folder is corrupt at byte {offset}: {problem}")]
    Corrupt {
        /// Name of the file.
        file: String,
        /// Byte offset at which the corrupt part starts.
        offset: usize,
        /// Description of the corruption.
        problem: String,
    },
    /// The folder already has the identity of a replica.
    #[error("the data folder already belongs to replica {0}")]
    AlreadyInitialized(Identity),
    /// An earlier write failed, so later records can't be made durable.
    #[error("the data folder accepts no more records after an earlier error")]
    Stopped,
}

/// File operations in one data folder without subfolders.
///
/// File names have no path separators. A file that was created or renamed survives a crash only
/// after [`Disk::sync_folder`], and its content only after [`Disk::sync`].
pub trait Disk: fmt::Debug + Send {
    /// Creates an empty file, or truncates an existing one.
    ///
    /// # Errors
    ///
    /// Returns the file system's error.
    fn create(&mut self, file: &str) -> io::Result<()>;

    /// Appends to a file.
    ///
    /// # Errors
    ///
    /// Returns the file system's error; a part of the bytes may have been written.
    fn append(&mut self, file: &str, bytes: &[u8]) -> io::Result<()>;

    /// Waits until the file's content is on stable storage.
    ///
    /// # Errors
    ///
    /// Returns the file system's error. Any write that was not synced before may then be lost.
    fn sync(&mut self, file: &str) -> io::Result<()>;

    /// Reads a whole file.
    ///
    /// # Errors
    ///
    /// Returns the file system's error.
    fn read(&mut self, file: &str) -> io::Result<Vec<u8>>;

    /// Lists the files of the folder, sorted by name.
    ///
    /// # Errors
    ///
    /// Returns the file system's error.
    fn list(&mut self) -> io::Result<Vec<String>>;

    /// Renames a file, replacing the target if it exists.
    ///
    /// # Errors
    ///
    /// Returns the file system's error.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// Returns the file system's error.
    fn remove(&mut self, file: &str) -> io::Result<()>;

    /// Waits until creations, renames and removals are on stable storage.
    ///
    /// # Errors
    ///
    /// Returns the file system's error.
    fn sync_folder(&mut self) -> io::Result<()>;
}
