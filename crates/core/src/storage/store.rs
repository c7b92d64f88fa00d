use std::io;

use serde::Serialize;

use super::{Disk, Error, SEGMENT_BYTES, frame, terms::Terms};
use crate::consensus::{Entry, Identity, Image, Record, Snapshot, Vote};

/// File with the replica's identity. It is written last when a store is created, so a folder
/// without it holds at most an unfinished creation.
pub const IDENTITY: &str = "identity";

/// Prefix of the file names of log segments. A hexadecimal segment number follows.
pub const SEGMENT: &str = "log-";

/// Prefix of the file names of snapshots. The hexadecimal index of the snapshot follows.
pub const SNAPSHOT: &str = "snapshot-";

/// Name of a file before it is renamed into place. One that a crash left is removed.
pub const TEMPORARY: &str = "temporary";

/// Largest size of a frame's entries in bytes, if it has several. As JSON they take up four times as
/// much memory, and twice that while they are written.
const MAX_FRAME_BYTES: usize = 1_024 * 1_024;

plain! {
    /// An item in the body of a segment's frame.
    pub enum FrameItem {
        /// First item of a segment: the state after all segments before it.
        Head {
            /// Term and vote.
            vote: Vote,
            /// Index of the last entry that the latest snapshot covers.
            base: u64,
            /// Term of that entry.
            base_term: u64,
            /// Index of the log's last entry.
            last_index: u64,
            /// Term of the log's last entry.
            last_term: u64,
        },
        /// Replaces the term and vote.
        Vote(Vote),
        /// Appends an entry and drops the ones with its index or a higher one.
        Entry(Entry),
        /// Drops the entries that a snapshot covers.
        Cut {
            /// Index of the last entry that the snapshot covers.
            index: u64,
            /// Term of that entry.
            term: u64,
            /// Whether the entries after it stay in the log. Otherwise all entries are dropped.
            kept: bool,
        },
    }
}

/// A segment file of the log.
#[derive(Debug)]
pub struct Segment {
    pub file: String,
    /// Size in bytes.
    pub bytes: u64,
    /// Highest index among the entries written to it since the log was last reset to a snapshot;
    /// 0 without any. A snapshot at this index or later makes the segment obsolete.
    pub max_index: u64,
}

/// The log and snapshots of a replica in its data folder.
#[derive(Debug)]
pub struct LogStore {
    pub(super) disk: Box<dyn Disk>,
    pub(super) vote: Vote,
    pub(super) terms: Terms,
    /// Segments from the oldest to the newest.
    pub(super) segments: Vec<Segment>,
    /// Whether the newest segment accepts more frames.
    pub(super) is_segment_open: bool,
    /// Number of the next frame.
    pub(super) next_frame: u64,
    /// Number of the next segment.
    pub(super) next_segment: u64,
    /// Whether a write has failed.
    pub(super) is_stopped: bool,
}

impl LogStore {
    /// Creates a store with the content of an image.
    ///
    /// # Errors
    ///
    /// Returns [`Error::AlreadyInitialized`] if the folder has an identity, and errors of the disk.
    pub fn create(disk: Box<dyn Disk>, image: &Image) -> Result<Self, Error> {
        let mut store = Self::new(disk);
        match store.identity()? {
            Some(id) => Err(Error::AlreadyInitialized(id)),
            None => store.initialize(image),
        }
    }

    pub(super) fn new(disk: Box<dyn Disk>) -> Self {
        Self {
            disk,
            vote: Vote::default(),
            terms: Terms::default(),
            segments: Vec::new(),
            is_segment_open: false,
            next_frame: 1,
            next_segment: 1,
            is_stopped: false,
        }
    }

    /// Writes an image to a folder without an identity.
    pub(super) fn initialize(mut self, image: &Image) -> Result<Self, Error> {
        self.vote = image.vote.clone();
        for file in self.list()? {
            self.remove(&file)?;
        }
        let state = [
            Record::Vote(image.vote.clone()),
            Record::Snapshot(image.snapshot.clone()),
        ];
        let entries = image.entries.iter().cloned().map(Record::Entry);
        let records: Vec<_> = state.into_iter().chain(entries).collect();
        self.write(&records)?;
        self.replace(IDENTITY, 0, &image.id)?;
        Ok(self)
    }

    /// Writes records in order, with one sync unless their entries are large. A crash may lose the last
    /// ones only.
    ///
    /// # Errors
    ///
    /// Returns errors of the disk. After any error all later calls return [`Error::Stopped`]: the
    /// process has to stop, and records that were not synced are lost.
    pub fn write(&mut self, records: &[Record]) -> Result<(), Error> {
        if self.is_stopped {
            return Err(Error::Stopped);
        }
        let result = self.write_records(records);
        self.is_stopped = result.is_err();
        result
    }

    fn write_records(&mut self, records: &[Record]) -> Result<(), Error> {
        let latest = records.iter().rev().find_map(|record| match record {
            Record::Snapshot(snapshot) => Some(snapshot),
            Record::Vote(_) | Record::Entry(_) => None,
        });
        if let Some(snapshot) = latest {
            self.write_snapshot(snapshot)?;
            self.is_segment_open = false;
        }
        let mut rest = records;
        while !rest.is_empty() {
            let (frame, later) = rest.split_at(frame_length(rest));
            self.write_frame(frame)?;
            rest = later;
        }
        match latest {
            Some(snapshot) => self.remove_obsolete(snapshot.index),
            None => Ok(()),
        }
    }

    /// Writes a frame with the records, syncs it and appends its sync marker.
    ///
    /// The marker itself is not synced. If the last frame is unreadable on the next start, a marker
    /// after it shows that the frame was corrupted after its sync and not torn by a crash.
    fn write_frame(&mut self, records: &[Record]) -> Result<(), Error> {
        let is_full = |s: &Segment| s.bytes >= SEGMENT_BYTES;
        let is_new = !self.is_segment_open || self.segments.last().is_none_or(is_full);
        let mut items = Vec::with_capacity(records.len() + 1);
        if is_new {
            self.start_segment()?;
            items.push(self.segment_head());
        }
        for record in records {
            items.push(self.apply(record)?);
        }
        let number = self.next_frame;
        self.append_frame(number, &to_json(&items)?)?;
        let file = self.newest_file();
        self.sync(&file)?;
        if is_new {
            self.sync_folder()?;
        }
        self.next_frame += 1;
        self.append_frame(number, &[])
    }

    fn newest_file(&self) -> String {
        let newest = self.segments.last();
        newest.map_or_else(String::new, |s| s.file.clone())
    }

    fn start_segment(&mut self) -> Result<(), Error> {
        let file = format!("{SEGMENT}{:016x}", self.next_segment);
        let created = self.disk.create(&file);
        created.map_err(|e| disk_error("create", &file, e))?;
        self.next_segment += 1;
        self.segments.push(Segment {
            file,
            bytes: 0,
            max_index: 0,
        });
        self.is_segment_open = true;
        Ok(())
    }

    fn segment_head(&self) -> FrameItem {
        FrameItem::Head {
            vote: self.vote.clone(),
            base: self.terms.base(),
            base_term: self.terms.base_term(),
            last_index: self.terms.last_index(),
            last_term: self.terms.last_term(),
        }
    }

    /// Applies a record to the vote, the terms and the segments, and returns its item.
    fn apply(&mut self, record: &Record) -> Result<FrameItem, Error> {
        match record {
            Record::Vote(vote) => {
                self.vote = vote.clone();
                Ok(FrameItem::Vote(vote.clone()))
            }
            Record::Entry(entry) => {
                if self.terms.append(entry.index, entry.term).is_none() {
                    let problem = format!("entry {} would leave a gap", entry.index);
                    return Err(disk_error(
                        "append to",
                        &self.newest_file(),
                        io::Error::other(problem),
                    ));
                }
                if let Some(segment) = self.segments.last_mut() {
                    segment.max_index = segment.max_index.max(entry.index);
                }
                Ok(FrameItem::Entry(entry.clone()))
            }
            Record::Snapshot(Snapshot { index, term, .. }) => {
                let kept = self.terms.compact(*index, *term).is_some();
                if !kept {
                    self.terms.reset(*index, *term);
                    self.segments.iter_mut().for_each(|s| s.max_index = 0);
                }
                Ok(FrameItem::Cut {
                    index: *index,
                    term: *term,
                    kept,
                })
            }
        }
    }

    fn append_frame(&mut self, number: u64, body: &[u8]) -> Result<(), Error> {
        let file = self.newest_file();
        let bytes = frame::encode(number, body)?;
        let appended = self.disk.append(&file, &bytes);
        appended.map_err(|e| disk_error("append to", &file, e))?;
        if let Some(segment) = self.segments.last_mut() {
            segment.bytes += bytes.len() as u64;
        }
        Ok(())
    }

    /// Writes a snapshot atomically: a crash leaves either the old one or the new one.
    fn write_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), Error> {
        let file = format!("{SNAPSHOT}{:016x}", snapshot.index);
        self.replace(&file, snapshot.index, snapshot)
    }

    /// Replaces a file atomically by one frame with the content.
    fn replace<T>(&mut self, file: &str, number: u64, content: &T) -> Result<(), Error>
    where
        T: Serialize,
    {
        let bytes = frame::encode(number, &to_json(content)?)?;
        self.replace_bytes(file, &bytes)
    }

    /// Replaces a file atomically through a synced temporary file.
    pub(super) fn replace_bytes(&mut self, file: &str, bytes: &[u8]) -> Result<(), Error> {
        let created = self.disk.create(TEMPORARY);
        created.map_err(|e| disk_error("create", TEMPORARY, e))?;
        let appended = self.disk.append(TEMPORARY, bytes);
        appended.map_err(|e| disk_error("append to", TEMPORARY, e))?;
        self.sync(TEMPORARY)?;
        let renamed = self.disk.rename(TEMPORARY, file);
        renamed.map_err(|e| disk_error("rename a new file to", file, e))?;
        self.sync_folder()
    }

    /// Removes the snapshots older than the one at `index` and the segments that it covers.
    fn remove_obsolete(&mut self, index: u64) -> Result<(), Error> {
        let current = format!("{SNAPSHOT}{index:016x}");
        for file in self.list()? {
            if file.starts_with(SNAPSHOT) && file < current {
                self.remove(&file)?;
            }
        }
        while self.segments.len() > 1 && self.segments[0].max_index <= index {
            let segment = self.segments.remove(0);
            self.remove(&segment.file)?;
            // Without a sync after each removal, a crash could undo the removal of an older segment
            // but not that of a newer one, which would leave a gap in the log.
            self.sync_folder()?;
        }
        Ok(())
    }

    pub(super) fn identity(&mut self) -> Result<Option<Identity>, Error> {
        if !self.list()?.iter().any(|f| f == IDENTITY) {
            return Ok(None);
        }
        self.read_framed(IDENTITY).map(Some)
    }

    pub(super) fn list(&mut self) -> Result<Vec<String>, Error> {
        self.disk.list().map_err(|e| disk_error("list", "files", e))
    }

    pub(super) fn remove(&mut self, file: &str) -> Result<(), Error> {
        let removed = self.disk.remove(file);
        removed.map_err(|e| disk_error("remove", file, e))
    }

    fn sync(&mut self, file: &str) -> Result<(), Error> {
        self.disk
            .sync(file)
            .map_err(|e| disk_error("sync", file, e))
    }

    pub(super) fn sync_folder(&mut self) -> Result<(), Error> {
        let synced = self.disk.sync_folder();
        synced.map_err(|e| disk_error("sync", "the list of files", e))
    }
}

/// Returns the number of records at the start that make up a frame.
fn frame_length(records: &[Record]) -> usize {
    let size = |record: &Record| match record {
        Record::Entry(entry) => entry.size(),
        // The snapshot itself has a file of its own.
        Record::Vote(_) | Record::Snapshot(_) => 0,
    };
    let mut bytes = 0;
    let fits = records.iter().take_while(|record| {
        bytes += size(record);
        bytes <= MAX_FRAME_BYTES
    });
    fits.count().max(1)
}

pub fn disk_error(operation: &'static str, file: &str, source: io::Error) -> Error {
    Error::Disk {
        operation,
        file: file.to_owned(),
        source,
    }
}

fn to_json<T>(value: &T) -> Result<Vec<u8>, Error>
where
    T: Serialize,
{
    serde_json::to_vec(value).map_err(|e| disk_error("serialize", "a record", e.into()))
}
