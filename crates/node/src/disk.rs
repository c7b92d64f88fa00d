//! A data folder on the file system.

use std::{
    fs::{self, File, OpenOptions, TryLockError},
    io::{self, Write},
    path::{Path, PathBuf},
};

use masticlock_core::storage::Disk;

/// File that a process locks while it uses the folder.
const LOCK: &str = "lock";

/// Least bytes of a write that the planted fault holds back: a configuration, and not what a
/// replica needs to start.
#[cfg(feature = "plant")]
const HELD_BYTES: usize = 400;

/// A folder that one process uses at a time.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    /// The file that was written last. A failed sync can only be reported through the handle that
    /// wrote, so it stays open between append and sync.
    open: Option<(String, File)>,
    /// Held for its lock.
    _lock: File,
    /// The writes that a planted fault holds back, in their order.
    #[cfg(feature = "plant")]
    held: Vec<(String, Vec<u8>)>,
}

impl Folder {
    /// Opens the folder, creating it if needed, and locks it.
    ///
    /// # Errors
    ///
    /// Returns [`io::ErrorKind::ResourceBusy`] if another process uses the folder, and errors of
    /// the file system.
    pub fn open<P>(path: P) -> io::Result<Self>
    where
        P: AsRef<Path>,
    {
        let path = path.as_ref().to_owned();
        fs::create_dir_all(&path)?;
        if let Some(parent) = path.parent().filter(|p| !p.as_os_str().is_empty()) {
            File::open(parent)?.sync_all()?;
        }
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path.join(LOCK))?;
        match lock.try_lock() {
            Ok(()) => Ok(Self {
                path,
                open: None,
                _lock: lock,
                #[cfg(feature = "plant")]
                held: Vec::new(),
            }),
            Err(TryLockError::WouldBlock) => Err(io::Error::new(
                io::ErrorKind::ResourceBusy,
                format!("another process uses the data folder {}", path.display()),
            )),
            Err(TryLockError::Error(error)) => Err(error),
        }
    }

    /// Returns the handle of the file, opening it to append if it is not the latest one.
    fn handle(&mut self, file: &str) -> io::Result<&mut File> {
        let handle = match self.open.take() {
            Some((name, handle)) if name == file => handle,
            _ => OpenOptions::new().append(true).open(self.path.join(file))?,
        };
        Ok(&mut self.open.insert((file.to_owned(), handle)).1)
    }

    fn close(&mut self, file: &str) {
        self.open.take_if(|(name, _)| name == file);
    }
}

impl Disk for Folder {
    fn create(&mut self, file: &str) -> io::Result<()> {
        self.close(file);
        File::create(self.path.join(file)).map(drop)
    }

    fn append(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        #[cfg(feature = "plant")]
        if masticlock_core::fault::Fault::NoSync.is_injected() {
            let is_large = bytes.len() >= HELD_BYTES;
            if is_large {
                for (file, bytes) in std::mem::take(&mut self.held) {
                    self.handle(&file)?.write_all(&bytes)?;
                }
            }
            if is_large || !self.held.is_empty() {
                self.held.push((file.to_owned(), bytes.to_owned()));
                return Ok(());
            }
        }
        self.handle(file)?.write_all(bytes)
    }

    fn sync(&mut self, file: &str) -> io::Result<()> {
        self.handle(file)?.sync_all()
    }

    fn read(&mut self, file: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(file))
    }

    fn list(&mut self) -> io::Result<Vec<String>> {
        let mut files = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let name = entry?.file_name();
            let name = name.into_string().map_err(|name| {
                let problem = format!("the file name {} is not text", name.display());
                io::Error::new(io::ErrorKind::InvalidData, problem)
            })?;
            if name != LOCK {
                files.push(name);
            }
        }
        files.sort_unstable();
        Ok(files)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.close(from);
        self.close(to);
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, file: &str) -> io::Result<()> {
        self.close(file);
        fs::remove_file(self.path.join(file))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
