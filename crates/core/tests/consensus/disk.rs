//! A disk in memory whose failures and crashes follow a seed.

use std::{
    io,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use masticlock_core::storage::Disk;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// What happens to an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The machine stops: a part of an append may be written.
    Crash,
    /// An append finds no space and writes a part.
    Full,
    /// A sync fails, and the file's unsynced content never reaches the disk.
    Sync,
}

#[derive(Clone, Debug, Default)]
struct File {
    data: Vec<u8>,
    synced: usize,
    /// Whether a sync failed: later ones report success without effect, as Linux does.
    is_lost: bool,
}

#[derive(Debug, Default)]
struct Content {
    files: Vec<File>,
    /// Names as a process sees them, and as they are on the disk.
    names: Vec<(String, usize)>,
    synced_names: Vec<(String, usize)>,
    /// Operations until the failure.
    failure: Option<(u32, Failure)>,
    syncs: u64,
}

/// Handle of a disk; clones share its content.
#[derive(Clone, Debug, Default)]
pub struct Memory(Arc<Mutex<Content>>);

impl Memory {
    fn content(&self) -> MutexGuard<'_, Content> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn boxed(&self) -> Box<dyn Disk> {
        Box::new(self.clone())
    }

    /// Lets an operation fail after `operations` others, and after a crash all later ones too.
    pub fn fail_after(&self, operations: u32, failure: Failure) {
        self.content().failure = Some((operations, failure));
    }

    /// Takes back a failure that has not struck.
    pub fn heal(&self) {
        self.content().failure = None;
    }

    pub fn syncs(&self) -> u64 {
        self.content().syncs
    }

    /// Stops the machine: unsynced bytes and names are kept, changed or lost at random.
    pub fn crash(&self, random: &mut ChaCha8Rng) {
        let mut content = self.content();
        content.failure = None;
        let (new, old) = (content.names.clone(), content.synced_names.clone());
        let keep = |list: &[(String, usize)], random: &mut ChaCha8Rng| {
            let other = if list == new { &old } else { &new };
            let lone = |n: &String| !other.iter().any(|(o, _)| o == n);
            let kept = list.iter().filter(|(n, _)| lone(n) && random.random());
            kept.cloned().collect::<Vec<_>>()
        };
        let mut names = keep(&new, random);
        names.extend(keep(&old, random));
        for (name, at) in &new {
            if let Some((_, before)) = old.iter().find(|(n, _)| n == name) {
                let file = if random.random() { *at } else { *before };
                names.push((name.clone(), file));
            }
        }
        names.sort();
        names.dedup();
        content.names.clone_from(&names);
        content.synced_names = names;
        content.files.iter_mut().for_each(|f| f.crash(random));
    }

    /// Removes everything.
    pub fn wipe(&self) {
        *self.content() = Content::default();
    }

    /// Changes the bytes of a file that are on the disk.
    pub fn edit<F>(&self, file: &str, change: F)
    where
        F: FnOnce(&mut Vec<u8>),
    {
        let mut content = self.content();
        let at = content.find(file).unwrap();
        let file = &mut content.files[at];
        change(&mut file.data);
        file.synced = file.data.len();
    }
}

impl File {
    fn crash(&mut self, random: &mut ChaCha8Rng) {
        let kept = random.random_range(self.synced..=self.data.len());
        self.data.truncate(kept);
        if kept > self.synced && random.random_bool(0.3) {
            let torn = random.random_range(self.synced..kept);
            self.data[torn] ^= random.random_range(1..=255u8);
        }
        self.synced = kept;
        self.is_lost = false;
    }
}

impl Content {
    fn find(&self, file: &str) -> io::Result<usize> {
        let found = self.names.iter().find(|(name, _)| name == file);
        found
            .map(|(_, at)| *at)
            .ok_or(io::ErrorKind::NotFound.into())
    }

    /// Returns the failure that strikes now.
    fn strike(&mut self, is_sync: bool, is_append: bool) -> Option<Failure> {
        let (left, failure) = self.failure?;
        let fits = match failure {
            Failure::Crash => true,
            Failure::Full => is_append,
            Failure::Sync => is_sync,
        };
        if left > 0 {
            self.failure = Some((left - 1, failure));
            return None;
        }
        if fits && failure != Failure::Crash {
            self.failure = None;
        }
        fits.then_some(failure)
    }

    fn strike_other(&mut self) -> io::Result<()> {
        match self.strike(false, false) {
            Some(_) => Err(io::Error::other("the machine stopped")),
            None => Ok(()),
        }
    }
}

impl Disk for Memory {
    fn create(&mut self, file: &str) -> io::Result<()> {
        let mut content = self.content();
        content.strike_other()?;
        content.files.push(File::default());
        let at = content.files.len() - 1;
        content.names.retain(|(name, _)| name != file);
        content.names.push((file.to_owned(), at));
        Ok(())
    }

    fn append(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        let mut content = self.content();
        let strike = content.strike(false, true);
        let at = content.find(file)?;
        let part = if strike.is_some() {
            bytes.len() / 2
        } else {
            bytes.len()
        };
        content.files[at].data.extend_from_slice(&bytes[..part]);
        match strike {
            Some(Failure::Full) => Err(io::ErrorKind::StorageFull.into()),
            Some(_) => Err(io::Error::other("the machine stopped")),
            None => Ok(()),
        }
    }

    fn sync(&mut self, file: &str) -> io::Result<()> {
        let mut content = self.content();
        content.syncs += 1;
        let strike = content.strike(true, false);
        let at = content.find(file)?;
        let file = &mut content.files[at];
        if let Some(failure) = strike {
            file.is_lost = failure == Failure::Sync;
            return Err(io::Error::other("input/output error"));
        }
        if !file.is_lost {
            file.synced = file.data.len();
        }
        Ok(())
    }

    fn read(&mut self, file: &str) -> io::Result<Vec<u8>> {
        let content = self.content();
        content.find(file).map(|at| content.files[at].data.clone())
    }

    fn list(&mut self) -> io::Result<Vec<String>> {
        let content = self.content();
        let mut names: Vec<_> = content.names.iter().map(|(name, _)| name.clone()).collect();
        names.sort();
        Ok(names)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut content = self.content();
        content.strike_other()?;
        let at = content.find(from)?;
        content.names.retain(|(name, _)| name != from && name != to);
        content.names.push((to.to_owned(), at));
        Ok(())
    }

    fn remove(&mut self, file: &str) -> io::Result<()> {
        let mut content = self.content();
        content.strike_other()?;
        content.find(file)?;
        content.names.retain(|(name, _)| name != file);
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut content = self.content();
        content.syncs += 1;
        if content.strike(true, false).is_some() {
            return Err(io::Error::other("input/output error"));
        }
        let Content {
            names,
            synced_names,
            ..
        } = &mut *content;
        synced_names.clone_from(names);
        Ok(())
    }
}
