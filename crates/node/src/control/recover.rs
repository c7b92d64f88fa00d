use std::{fs, io};

use masticlock_core::{
    consensus::{Identity, Member},
    plain,
    storage::{self, recover as rebuild},
};

use super::{disk::LOG, settings::Settings};
use crate::disk;

/// Name that the former log is kept under.
const FORMER: &str = "log.former";

plain! {
    /// What a recovery keeps and what it may lose.
    #[derive(Eq)]
    pub struct Recovered {
        /// Last index of the surviving log.
        pub last_index: u64,
        /// Term of that entry.
        pub last_term: u64,
        /// Entries that may never have been committed.
        pub unconfirmed: usize,
        /// Replicas of the lost set.
        pub former: Vec<Member>,
    }
}

/// Why a recovery failed. The former log is still there.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The folder holds no log.
    #[error("there is no log to recover")]
    Missing,
    /// The folder can't be read or written.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The log is damaged.
    #[error(transparent)]
    Storage(#[from] storage::Error),
}

/// Rebuilds the log of a replica whose majority is lost for good, with this replica as the only
/// voter. Without `write` nothing is changed.
///
/// The former log is kept beside the new one.
///
/// # Errors
///
/// Returns why the log can't be read or written.
pub fn recover(settings: &Settings, write: bool) -> Result<Recovered, Error> {
    let path = settings.folder.join(LOG);
    if !path.is_dir() {
        return Err(Error::Missing);
    }
    let folder = disk::Folder::open(&path)?;
    let (log, image) = storage::LogStore::open(Box::new(folder))?.ok_or(Error::Missing)?;
    let member = settings.member(Identity::from_random(rand::random()));
    let recovery = rebuild(image, member);
    drop(log);
    if write {
        let former = settings.folder.join(FORMER);
        fs::rename(&path, &former)?;
        storage::LogStore::create(Box::new(disk::Folder::open(&path)?), &recovery.image)?;
        fs::File::open(&settings.folder)?.sync_all()?;
    }
    Ok(Recovered {
        last_index: recovery.last_index,
        last_term: recovery.last_term,
        unconfirmed: recovery.unconfirmed.len(),
        former: recovery.former,
    })
}
