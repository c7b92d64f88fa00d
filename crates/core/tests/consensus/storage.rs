//! Tests of the data folder on a disk that fails, crashes and corrupts bytes.

use std::collections::BTreeSet;

use masticlock_core::{
    consensus::{Content, Entry, Identity, Image, Members, Payload, Record, Snapshot, Vote},
    storage::{Error, LogStore, recover},
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::{
    disk::{Failure, MemoryDisk},
    simulation::member,
};

const ID: Identity = Identity::from_random(7);

fn entry(index: u64, term: u64) -> Record {
    let payload = Payload::from(format!("entry {index} of term {term}").into_bytes());
    Record::Entry(Entry {
        index,
        term,
        content: Content::Payload(payload),
    })
}

fn vote(term: u64) -> Record {
    Record::Vote(Vote {
        term,
        candidate: Some(ID),
    })
}

fn snapshot(index: u64, term: u64) -> Record {
    Record::Snapshot(Snapshot {
        index,
        term,
        members: Members::default(),
        data: Payload::from(vec![0xff, index.to_le_bytes()[0]]),
    })
}

/// Returns writes that truncate entries, store a snapshot of the own log and install one that
/// replaces the log.
fn sample_writes() -> Vec<Vec<Record>> {
    vec![
        vec![vote(1), entry(1, 1), entry(2, 1)],
        vec![entry(3, 1), entry(4, 1)],
        vec![vote(2), entry(3, 2)],
        vec![snapshot(2, 1), entry(4, 2)],
        vec![entry(5, 2), entry(6, 2)],
        vec![snapshot(4, 2)],
        vec![entry(5, 3)],
        vec![vote(4), snapshot(9, 4), entry(10, 4)],
        vec![entry(11, 4)],
    ]
}

/// Applies records to an image as the documentation of [`Record`] and the design page specify.
fn apply(image: &mut Image, records: &[Record]) {
    for record in records {
        match record {
            Record::Vote(vote) => image.vote = vote.clone(),
            Record::Entry(entry) => {
                image.entries.retain(|e| e.index < entry.index);
                image.entries.push(entry.clone());
            }
            Record::Snapshot(snapshot) => {
                let at = (snapshot.index, snapshot.term);
                if !image.entries.iter().any(|e| (e.index, e.term) == at) {
                    image.entries.clear();
                }
                image.entries.retain(|e| e.index > snapshot.index);
                image.snapshot = snapshot.clone();
            }
        }
    }
}

/// Returns the expected image before the first write and after each write.
fn expected_images() -> Vec<Image> {
    let mut image = Image::empty(ID);
    let mut images = vec![image.clone()];
    for records in sample_writes() {
        apply(&mut image, &records);
        images.push(image.clone());
    }
    images
}

/// Creates a store and carries out the sample writes until one fails; returns how many succeeded.
fn write_sample(disk: &MemoryDisk) -> (LogStore, usize) {
    let mut store = LogStore::create(disk.boxed(), &Image::empty(ID)).unwrap();
    let mut done = 0;
    for records in sample_writes() {
        if store.write(&records).is_err() {
            break;
        }
        done += 1;
    }
    (store, done)
}

/// Guards against lost synced records, and against unsynced writes that are recovered in part,
/// after a failure of any operation, a crash and a second crash during the start.
#[test]
fn every_failure_keeps_what_was_synced() {
    let images = expected_images();
    let mut reached = BTreeSet::new();
    for failure in [Failure::Crash, Failure::Full, Failure::Sync] {
        for (operations, seed) in (0..70).flat_map(|o| (0..20).map(move |s| (o, s))) {
            let mut random = ChaCha8Rng::seed_from_u64(seed);
            let disk = MemoryDisk::default();
            drop(LogStore::create(disk.boxed(), &Image::empty(ID)).unwrap());
            let (mut store, _) = LogStore::open(disk.boxed()).unwrap().unwrap();
            disk.fail_after(operations, failure);
            let results = sample_writes()
                .into_iter()
                .map(|records| store.write(&records));
            let results: Vec<_> = results.collect();
            let done = results.iter().take_while(|r| r.is_ok()).count();
            let rest = &results[done..];
            assert!(
                rest.iter()
                    .skip(1)
                    .all(|r| matches!(r, Err(Error::Stopped)))
            );
            if failure == Failure::Crash || seed % 2 == 0 {
                disk.crash(&mut random);
            }
            disk.fail_after(u32::try_from(seed).unwrap() % 6, Failure::Crash);
            drop(LogStore::open(disk.boxed()));
            disk.crash(&mut random);
            let (_, image) = LogStore::open(disk.boxed()).unwrap().unwrap();
            let snapshot_only = with_snapshot_only(&images[done], sample_writes().get(done));
            let after = [
                Some(&images[done]),
                images.get(done + 1),
                snapshot_only.as_ref(),
            ];
            let case = format!("{failure:?} after {operations} operations, seed {seed}");
            assert!(after.contains(&Some(&image)), "{case}: {image:#?}");
            reached.insert(done);
        }
    }
    assert_eq!(reached.len(), images.len(), "failures at every write");
}

/// Returns the image if only the snapshot of the records was written, which is possible because its
/// file is renamed before the records are synced.
fn with_snapshot_only(image: &Image, records: Option<&Vec<Record>>) -> Option<Image> {
    let mut image = image.clone();
    let is_snapshot = |r: &&Record| matches!(r, Record::Snapshot(_));
    let snapshot = records?.iter().find(is_snapshot)?.clone();
    apply(&mut image, &[snapshot]);
    Some(image)
}

/// Guards against corruption that is mistaken for a torn write, and against corruption that is not
/// detected.
#[test]
fn every_changed_byte_is_found_or_harmless() {
    let disk = MemoryDisk::default();
    drop(write_sample(&disk));
    let expected = expected_images().pop().unwrap();
    let mut found = 0;
    for file in disk.boxed().list().unwrap() {
        let bytes = disk.boxed().read(&file).unwrap();
        for at in 0..bytes.len() {
            let copy = MemoryDisk::default();
            drop(write_sample(&copy));
            copy.edit(&file, |bytes| bytes[at] ^= 0x10);
            match LogStore::open(copy.boxed()) {
                Err(Error::Corrupt { .. }) => found += 1,
                Ok(Some((_, image))) => {
                    assert_eq!(image, expected, "{file} at {at}");
                    assert!(file.starts_with("log-") && is_in_empty_frame(&bytes, at));
                }
                other => panic!("{file} at {at}: {other:?}"),
            }
        }
    }
    assert!(found > 0);
}

/// Returns whether the byte at `at` belongs to a frame without a body.
fn is_in_empty_frame(bytes: &[u8], at: usize) -> bool {
    let mut start = 0;
    loop {
        let length = u32::from_le_bytes(bytes[start..start + 4].try_into().unwrap());
        let end = start + 16 + usize::try_from(length).unwrap();
        if at < end {
            return length == 0;
        }
        start = end;
    }
}

/// Guards against more than one sync per write, and against a folder whose size is unbounded.
#[test]
fn writes_share_a_sync_and_snapshots_free_space() {
    let disk = MemoryDisk::default();
    let (mut store, _) = write_sample(&disk);
    let before = disk.sync_count();
    let records: Vec<_> = (12..500).map(|index| entry(index, 4)).collect();
    store.write(&records).unwrap();
    assert_eq!(disk.sync_count() - before, 1);
    for round in 1..50 {
        let last = 499 + round;
        store.write(&[entry(last, 4)]).unwrap();
        store.write(&[snapshot(last, 4)]).unwrap();
    }
    assert_eq!(disk.boxed().list().unwrap().len(), 3, "{disk:?}");
}

/// Guards against overwriting a data folder that is in use, and against treating an empty one as
/// damaged.
#[test]
fn an_identity_is_created_once() {
    let disk = MemoryDisk::default();
    assert!(LogStore::open(disk.boxed()).unwrap().is_none());
    drop(write_sample(&disk));
    let again = LogStore::create(disk.boxed(), &Image::empty(ID));
    assert!(matches!(again, Err(Error::AlreadyInitialized(ID))));
}

/// Guards against a recovered log that loses entries of the surviving replica, and against old
/// replicas that take part in it.
#[test]
fn recovery_keeps_the_survivors_log() {
    let old = Identity::from_random(1);
    let mut image = expected_images().pop().unwrap();
    image.snapshot.members.voters = vec![member(0, old), member(1, ID)];
    let new = Identity::from_random(99);
    let recovery = recover(image.clone(), member(1, new));
    assert_eq!((recovery.last_index, recovery.last_term), (11, 4));
    assert_eq!(recovery.unconfirmed, [10, 11]);
    assert_eq!(recovery.former, image.snapshot.members.voters);
    let disk = MemoryDisk::default();
    drop(LogStore::create(disk.boxed(), &recovery.image).unwrap());
    let (_, opened) = LogStore::open(disk.boxed()).unwrap().unwrap();
    assert_eq!(opened, recovery.image);
    assert_eq!(opened.entries[..2], image.entries);
    let Content::Members(members) = &opened.entries[2].content else {
        panic!("{opened:#?}");
    };
    assert_eq!(members.voters, [member(1, new)]);
    assert_eq!(members.removed, [old, ID]);
    assert!(opened.vote.term > image.vote.term);
}
