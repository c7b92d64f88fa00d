//! Tests of the data folder on the file system.

use std::{env, fs, io, path::PathBuf, process};

use masticlock::disk;
use masticlock_core::{
    consensus::{Content, Entry, Identity, Image, Payload, Record, Snapshot},
    storage::{Disk, Error, LogStore},
};

/// A folder that is removed at the end of a test.
struct Scratch(PathBuf);

impl Scratch {
    fn new(name: &str) -> Self {
        let path = env::temp_dir().join(format!("masticlock-{name}-{}", process::id()));
        Self(path)
    }

    fn disk(&self) -> Box<dyn Disk> {
        Box::new(disk::Folder::open(&self.0).unwrap())
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let removed = fs::remove_dir_all(&self.0);
        assert!(removed.is_ok(), "{removed:?}");
    }
}

fn entry(index: u64) -> Entry {
    Entry {
        index,
        term: 1,
        content: Content::Payload(Payload::from(index.to_le_bytes().as_slice())),
    }
}

/// Guards against a real folder that behaves unlike the one in the schedules.
#[test]
fn a_log_survives_restarts() {
    let scratch = Scratch::new("log");
    let mut expected = Image::empty(Identity::from_random(5));
    drop(LogStore::create(scratch.disk(), &expected).unwrap());
    for round in 0..10 {
        let (mut folder, image) = LogStore::open(scratch.disk()).unwrap().unwrap();
        assert_eq!(image, expected);
        let entries: Vec<_> = (round * 3 + 1..round * 3 + 4).map(entry).collect();
        expected.entries.extend(entries.clone());
        let records: Vec<_> = entries.into_iter().map(Record::Entry).collect();
        folder.write(&records).unwrap();
        if round % 4 == 3 {
            expected.snapshot = Snapshot {
                index: round * 3 + 2,
                term: 1,
                data: Payload::from(vec![0xfe; 100_000]),
                ..expected.snapshot
            };
            expected.entries.drain(..expected.entries.len() - 1);
            let record = Record::Snapshot(expected.snapshot.clone());
            folder.write(&[record]).unwrap();
        }
    }
}

/// Guards against two processes that write to one folder.
#[test]
fn a_folder_is_used_once() {
    let scratch = Scratch::new("lock");
    let first = scratch.disk();
    let second = disk::Folder::open(&scratch.0).unwrap_err();
    assert_eq!(second.kind(), io::ErrorKind::ResourceBusy);
    drop(first);
    assert!(disk::Folder::open(&scratch.0).is_ok());
}

/// Guards against a write that continues after the file system refused one.
#[test]
fn a_refused_write_stops_the_folder() {
    let scratch = Scratch::new("refused");
    let image = Image::empty(Identity::from_random(5));
    let mut folder = LogStore::create(scratch.disk(), &image).unwrap();
    let lost = scratch.0.with_extension("lost");
    fs::rename(&scratch.0, &lost).unwrap();
    let snapshot = Record::Snapshot(image.snapshot);
    let refused = folder.write(&[snapshot]).unwrap_err();
    fs::rename(&lost, &scratch.0).unwrap();
    let message = "can't create temporary in the data folder: ";
    assert!(refused.to_string().starts_with(message), "{refused}");
    let stopped = folder.write(&[Record::Entry(entry(1))]);
    assert!(matches!(stopped, Err(Error::Stopped)));
}
