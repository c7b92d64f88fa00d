//! A disk in memory that can tear a write or run full.

use std::{
    io,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use masticlock_core::storage::Disk;

/// What happens to the next append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// A part is written and the machine stops.
    Torn,
    /// A part is written and there is no more space.
    Full,
}

#[derive(Clone, Debug, Default)]
struct File {
    name: String,
    data: Vec<u8>,
    synced: usize,
}

#[derive(Debug, Default)]
struct Content {
    files: Vec<File>,
    failure: Option<Failure>,
}

/// Handle of a disk; clones share its content.
#[derive(Clone, Debug, Default)]
pub struct Memory(Arc<Mutex<Content>>);

impl Memory {
    fn content(&self) -> MutexGuard<'_, Content> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lets the next append fail.
    pub fn fail(&self, failure: Failure) {
        self.content().failure = Some(failure);
    }

    /// Stops the machine. Half of what was not synced stays.
    pub fn crash(&self) {
        let mut content = self.content();
        content.failure = None;
        for file in &mut content.files {
            let kept = usize::midpoint(file.synced, file.data.len());
            file.data.truncate(kept);
            file.synced = kept;
        }
    }

    /// Removes everything.
    pub fn wipe(&self) {
        *self.content() = Content::default();
    }
}

impl Content {
    fn find(&mut self, file: &str) -> io::Result<&mut File> {
        let found = self.files.iter_mut().find(|f| f.name == file);
        found.ok_or(io::ErrorKind::NotFound.into())
    }
}

impl Disk for Memory {
    fn create(&mut self, file: &str) -> io::Result<()> {
        let mut content = self.content();
        content.files.retain(|f| f.name != file);
        content.files.push(File {
            name: file.to_owned(),
            ..File::default()
        });
        Ok(())
    }

    fn append(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        let mut content = self.content();
        let failure = content.failure;
        let file = content.find(file)?;
        let part = if failure.is_some() {
            bytes.len() / 2
        } else {
            bytes.len()
        };
        file.data.extend_from_slice(&bytes[..part]);
        match failure {
            None => Ok(()),
            Some(Failure::Full) => Err(io::ErrorKind::StorageFull.into()),
            Some(Failure::Torn) => Err(io::Error::other("the machine stopped")),
        }
    }

    fn sync(&mut self, file: &str) -> io::Result<()> {
        let mut content = self.content();
        let file = content.find(file)?;
        file.synced = file.data.len();
        Ok(())
    }

    fn read(&mut self, file: &str) -> io::Result<Vec<u8>> {
        self.content().find(file).map(|f| f.data.clone())
    }

    fn list(&mut self) -> io::Result<Vec<String>> {
        let mut names: Vec<_> = self
            .content()
            .files
            .iter()
            .map(|f| f.name.clone())
            .collect();
        names.sort();
        Ok(names)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut content = self.content();
        content.files.retain(|f| f.name != to);
        to.clone_into(&mut content.find(from)?.name);
        Ok(())
    }

    fn remove(&mut self, file: &str) -> io::Result<()> {
        self.content().files.retain(|f| f.name != file);
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        Ok(())
    }
}
