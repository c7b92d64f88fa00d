//! In-memory disk with injected failures and seeded crashes.

use std::{
    io,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use masticlock_core::storage::Disk;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Failure of a disk operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The machine stops; an append may be written in part.
    Crash,
    /// The disk is full; an append is written in part.
    Full,
    /// A sync fails, and the file's unsynced content never reaches the disk.
    Sync,
}

#[derive(Clone, Debug, Default)]
struct File {
    data: Vec<u8>,
    /// Number of synced bytes.
    synced: usize,
    /// Whether a sync failed. Later syncs report success without effect, as on Linux.
    sync_failed: bool,
}

#[derive(Debug, Default)]
struct DiskState {
    files: Vec<File>,
    /// File names and positions in `files`, as a process sees them.
    names: Vec<(String, usize)>,
    /// The same as synced to the disk.
    synced_names: Vec<(String, usize)>,
    /// Number of operations before the next failure, and the failure.
    failure: Option<(u32, Failure)>,
    syncs: u64,
}

/// Handle of an in-memory disk; clones share the disk.
#[derive(Clone, Debug, Default)]
pub struct MemoryDisk(Arc<Mutex<DiskState>>);

impl MemoryDisk {
    fn state(&self) -> MutexGuard<'_, DiskState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn boxed(&self) -> Box<dyn Disk> {
        Box::new(self.clone())
    }

    /// Injects a failure at the first operation that it can affect after `operations` others. After
    /// a crash, all later operations fail too.
    pub fn fail_after(&self, operations: u32, failure: Failure) {
        self.state().failure = Some((operations, failure));
    }

    /// Removes an injected failure that has not occurred.
    pub fn clear_failure(&self) {
        self.state().failure = None;
    }

    pub fn sync_count(&self) -> u64 {
        self.state().syncs
    }

    /// Stops the machine: unsynced bytes and file names are kept, corrupted or lost at random.
    pub fn crash(&self, random: &mut ChaCha8Rng) {
        let mut state = self.state();
        state.failure = None;
        let (new, old) = (state.names.clone(), state.synced_names.clone());
        let keep = |list: &[(String, usize)], random: &mut ChaCha8Rng| {
            let other = if list == new { &old } else { &new };
            let is_unpaired = |n: &String| !other.iter().any(|(o, _)| o == n);
            let kept = list
                .iter()
                .filter(|(n, _)| is_unpaired(n) && random.random());
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
        state.names.clone_from(&names);
        state.synced_names = names;
        state.files.iter_mut().for_each(|f| f.crash(random));
    }

    /// Removes all files.
    pub fn wipe(&self) {
        *self.state() = DiskState::default();
    }

    /// Changes the content of a file and marks it as synced.
    pub fn edit<F>(&self, file: &str, change: F)
    where
        F: FnOnce(&mut Vec<u8>),
    {
        let mut state = self.state();
        let at = state.find(file).unwrap();
        let file = &mut state.files[at];
        change(&mut file.data);
        file.synced = file.data.len();
    }
}

impl File {
    fn crash(&mut self, random: &mut ChaCha8Rng) {
        let kept = random.random_range(self.synced..=self.data.len());
        self.data.truncate(kept);
        if kept > self.synced && random.random_bool(0.3) {
            let corrupted = random.random_range(self.synced..kept);
            self.data[corrupted] ^= random.random_range(1..=255u8);
        }
        self.synced = kept;
        self.sync_failed = false;
    }
}

impl DiskState {
    fn find(&self, file: &str) -> io::Result<usize> {
        let found = self.names.iter().find(|(name, _)| name == file);
        found
            .map(|(_, at)| *at)
            .ok_or(io::ErrorKind::NotFound.into())
    }

    /// Counts an operation and returns the injected failure if it occurs there.
    fn take_failure(&mut self, is_sync: bool, is_append: bool) -> Option<Failure> {
        let (left, failure) = self.failure?;
        let applies = match failure {
            Failure::Crash => true,
            Failure::Full => is_append,
            Failure::Sync => is_sync,
        };
        if left > 0 {
            self.failure = Some((left - 1, failure));
            return None;
        }
        if applies && failure != Failure::Crash {
            self.failure = None;
        }
        applies.then_some(failure)
    }

    /// Returns an error if the machine has crashed; for operations that fail in no other way.
    fn check_crashed(&mut self) -> io::Result<()> {
        match self.take_failure(false, false) {
            Some(_) => Err(io::Error::other("the machine stopped")),
            None => Ok(()),
        }
    }
}

impl Disk for MemoryDisk {
    fn create(&mut self, file: &str) -> io::Result<()> {
        let mut state = self.state();
        state.check_crashed()?;
        state.files.push(File::default());
        let at = state.files.len() - 1;
        state.names.retain(|(name, _)| name != file);
        state.names.push((file.to_owned(), at));
        Ok(())
    }

    fn append(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.state();
        let failure = state.take_failure(false, true);
        let at = state.find(file)?;
        let part = if failure.is_some() {
            bytes.len() / 2
        } else {
            bytes.len()
        };
        state.files[at].data.extend_from_slice(&bytes[..part]);
        match failure {
            Some(Failure::Full) => Err(io::ErrorKind::StorageFull.into()),
            Some(_) => Err(io::Error::other("the machine stopped")),
            None => Ok(()),
        }
    }

    fn sync(&mut self, file: &str) -> io::Result<()> {
        let mut state = self.state();
        state.syncs += 1;
        let failure = state.take_failure(true, false);
        let at = state.find(file)?;
        let file = &mut state.files[at];
        if let Some(failure) = failure {
            file.sync_failed = failure == Failure::Sync;
            return Err(io::Error::other("input/output error"));
        }
        if !file.sync_failed {
            file.synced = file.data.len();
        }
        Ok(())
    }

    fn read(&mut self, file: &str) -> io::Result<Vec<u8>> {
        let state = self.state();
        state.find(file).map(|at| state.files[at].data.clone())
    }

    fn list(&mut self) -> io::Result<Vec<String>> {
        let state = self.state();
        let mut names: Vec<_> = state.names.iter().map(|(name, _)| name.clone()).collect();
        names.sort();
        Ok(names)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.state();
        state.check_crashed()?;
        let at = state.find(from)?;
        state.names.retain(|(name, _)| name != from && name != to);
        state.names.push((to.to_owned(), at));
        Ok(())
    }

    fn remove(&mut self, file: &str) -> io::Result<()> {
        let mut state = self.state();
        state.check_crashed()?;
        state.find(file)?;
        state.names.retain(|(name, _)| name != file);
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut state = self.state();
        state.syncs += 1;
        if state.take_failure(true, false).is_some() {
            return Err(io::Error::other("input/output error"));
        }
        let DiskState {
            names,
            synced_names,
            ..
        } = &mut *state;
        synced_names.clone_from(names);
        Ok(())
    }
}
