//! Records of the replicated log in one data folder.
//!
//! The folder holds an identity file, the latest snapshot and numbered log segments. A segment is a
//! sequence of frames, one for each write, with length, CRC32 and number. A record counts only once
//! it is synced. After the first error the folder takes no more records, because a failed sync may
//! have lost any of the writes before it.

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

/// Size from which a segment is full.
pub const SEGMENT_BYTES: u64 = 4 * 1_024 * 1_024;

/// Why a data folder can't be used any more.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file operation failed.
    #[error("can't {operation} {file} in the data folder: {source}")]
    Disk {
        /// The operation.
        operation: &'static str,
        /// The file.
        file: String,
        /// The file system's error.
        source: io::Error,
    },
    /// A file has content that no crash explains.
    #[error("{file} in the data folder is damaged at byte {offset}: {problem}")]
    Corrupt {
        /// The file.
        file: String,
        /// Where the damaged part starts.
        offset: usize,
        /// What was found.
        problem: String,
    },
    /// The folder belongs to a replica already.
    #[error("the data folder already belongs to replica {0}")]
    AlreadyInitialized(Identity),
    /// An earlier write failed, so nothing after it may count.
    #[error("the data folder takes no more records after an earlier error")]
    Stopped,
}

/// File operations of one flat data folder.
///
/// File names have no path separators. A file that was created or renamed survives a crash only
/// after [`Disk::sync_folder`], and its content only after [`Disk::sync`].
pub trait Disk: fmt::Debug + Send {
    /// Creates an empty file, or empties an existing one.
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
    /// Returns the file system's error. The state of everything that was not synced before is
    /// unknown then.
    fn sync(&mut self, file: &str) -> io::Result<()>;

    /// Reads a whole file.
    ///
    /// # Errors
    ///
    /// Returns the file system's error.
    fn read(&mut self, file: &str) -> io::Result<Vec<u8>>;

    /// Lists the files of the folder in order of their names.
    ///
    /// # Errors
    ///
    /// Returns the file system's error.
    fn list(&mut self) -> io::Result<Vec<String>>;

    /// Renames a file and replaces the target.
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
