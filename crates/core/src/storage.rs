//! Records of the replicated log in one data folder.
//!
//! A record counts only once it is synced. After the first error the store
//! takes no more records, because a failed sync may have lost earlier ones.

use std::io;

/// File operations of one flat data folder.
///
/// File names have no path separators. A file that was created or renamed survives a crash only
/// after [`Disk::sync_folder`], and its content only after [`Disk::sync`].
pub trait Disk: std::fmt::Debug {
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
