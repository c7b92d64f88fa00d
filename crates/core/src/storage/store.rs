use std::io;

use serde::Serialize;

use super::{Disk, Error, SEGMENT_BYTES, frame, terms::Terms};
use crate::consensus::{Entry, Identity, Image, Record, Snapshot, Vote};

/// File with the folder's identity. It is written last when a folder is created.
pub const IDENTITY: &str = "identity";

/// Prefix of the log's segments.
pub const SEGMENT: &str = "log-";

/// Prefix of snapshots.
pub const SNAPSHOT: &str = "snapshot-";

/// Name of files that are being written. What a crash leaves of them is removed.
pub const TEMPORARY: &str = "temporary";

plain! {
    /// A line of a frame in a segment.
    pub enum Line {
        /// First line of a segment: what the segments before it amount to.
        Head {
            /// Term and vote.
            vote: Vote,
            /// Index of the latest snapshot.
            base: u64,
            /// Term of the snapshot's last entry.
            base_term: u64,
            /// Index of the log's last entry.
            last_index: u64,
            /// Term of that entry.
            last_term: u64,
        },
        /// Replaces the term and vote.
        Vote(Vote),
        /// Appends an entry and drops the ones with its index or a higher one.
        Entry(Entry),
        /// A snapshot covers the entries up to an index.
        Cut {
            /// Index of the snapshot.
            index: u64,
            /// Term of the entry at that index.
            term: u64,
            /// Whether the entries after it are kept.
            kept: bool,
        },
    }
}

/// A segment of the log.
#[derive(Debug)]
pub struct Segment {
    pub file: String,
    pub bytes: u64,
    /// Highest index of its entries that are still part of the log.
    pub high: u64,
}

/// The data folder of a replica.
#[derive(Debug)]
pub struct LogStore {
    pub(super) disk: Box<dyn Disk>,
    pub(super) vote: Vote,
    pub(super) terms: Terms,
    /// Segments from the oldest to the newest.
    pub(super) segments: Vec<Segment>,
    /// Whether the newest segment takes more frames.
    pub(super) is_open: bool,
    /// Number of the next frame.
    pub(super) number: u64,
    /// Number of the next segment.
    pub(super) next_segment: u64,
    pub(super) is_stopped: bool,
}

impl LogStore {
    /// Creates a folder with the content of an image.
    ///
    /// # Errors
    ///
    /// Returns [`Error::AlreadyInitialized`] if the folder has an identity, and errors of the disk.
    pub fn create(disk: Box<dyn Disk>, image: &Image) -> Result<Self, Error> {
        let mut folder = Self {
            disk,
            vote: image.vote.clone(),
            terms: Terms::default(),
            segments: Vec::new(),
            is_open: false,
            number: 1,
            next_segment: 1,
            is_stopped: false,
        };
        if let Some(id) = folder.identity()? {
            return Err(Error::AlreadyInitialized(id));
        }
        for file in folder.list()? {
            folder.remove(&file)?;
        }
        let head = [
            Record::Vote(image.vote.clone()),
            Record::Snapshot(image.snapshot.clone()),
        ];
        let entries = image.entries.iter().cloned().map(Record::Entry);
        let records: Vec<_> = head.into_iter().chain(entries).collect();
        folder.write(&records)?;
        folder.replace(IDENTITY, 0, &image.id)?;
        Ok(folder)
    }

    /// Writes records and syncs them once.
    ///
    /// # Errors
    ///
    /// Returns errors of the disk. After any error, this and all later calls fail: the process has
    /// to stop, and what was not synced is gone.
    pub fn write(&mut self, records: &[Record]) -> Result<(), Error> {
        if self.is_stopped {
            return Err(Error::Stopped);
        }
        let result = self.write_records(records);
        self.is_stopped = result.is_err();
        result
    }

    fn write_records(&mut self, records: &[Record]) -> Result<(), Error> {
        let newest = records.iter().rev().find_map(|record| match record {
            Record::Snapshot(snapshot) => Some(snapshot),
            Record::Vote(_) | Record::Entry(_) => None,
        });
        if let Some(snapshot) = newest {
            self.write_snapshot(snapshot)?;
            self.is_open = false;
        }
        if !records.is_empty() {
            self.write_frame(records)?;
        }
        match newest {
            Some(snapshot) => self.drop_before(snapshot.index),
            None => Ok(()),
        }
    }

    /// Writes a frame with the records, syncs it and marks it as synced.
    ///
    /// The mark itself is not synced. It tells damage to the last frame, found later, from a frame
    /// that was torn by a crash.
    fn write_frame(&mut self, records: &[Record]) -> Result<(), Error> {
        let is_full = |s: &Segment| s.bytes >= SEGMENT_BYTES;
        let is_new = !self.is_open || self.segments.last().is_none_or(is_full);
        let mut lines = Vec::with_capacity(records.len() + 1);
        if is_new {
            self.start_segment()?;
            lines.push(self.head());
        }
        for record in records {
            lines.push(self.line(record)?);
        }
        let number = self.number;
        self.append_frame(number, &to_json(&lines)?)?;
        let file = self.newest();
        self.sync(&file)?;
        if is_new {
            self.sync_folder()?;
        }
        self.number += 1;
        self.append_frame(number, &[])
    }

    fn newest(&self) -> String {
        let newest = self.segments.last();
        newest.map_or_else(String::new, |s| s.file.clone())
    }

    fn start_segment(&mut self) -> Result<(), Error> {
        let file = format!("{SEGMENT}{:016x}", self.next_segment);
        let created = self.disk.create(&file);
        created.map_err(|e| failed("create", &file, e))?;
        self.next_segment += 1;
        self.segments.push(Segment {
            file,
            bytes: 0,
            high: 0,
        });
        self.is_open = true;
        Ok(())
    }

    fn head(&self) -> Line {
        Line::Head {
            vote: self.vote.clone(),
            base: self.terms.base(),
            base_term: self.terms.base_term(),
            last_index: self.terms.last_index(),
            last_term: self.terms.last_term(),
        }
    }

    /// Returns the line of a record and applies it to what is known about the log.
    fn line(&mut self, record: &Record) -> Result<Line, Error> {
        match record {
            Record::Vote(vote) => {
                self.vote = vote.clone();
                Ok(Line::Vote(vote.clone()))
            }
            Record::Entry(entry) => {
                if self.terms.append(entry.index, entry.term).is_none() {
                    let problem = format!("entry {} would leave a gap", entry.index);
                    return Err(failed(
                        "append to",
                        &self.newest(),
                        io::Error::other(problem),
                    ));
                }
                if let Some(segment) = self.segments.last_mut() {
                    segment.high = segment.high.max(entry.index);
                }
                Ok(Line::Entry(entry.clone()))
            }
            Record::Snapshot(Snapshot { index, term, .. }) => {
                let kept = self.terms.cut(*index, *term).is_some();
                if !kept {
                    self.terms.reset(*index, *term);
                    self.segments.iter_mut().for_each(|s| s.high = 0);
                }
                Ok(Line::Cut {
                    index: *index,
                    term: *term,
                    kept,
                })
            }
        }
    }

    fn append_frame(&mut self, number: u64, body: &[u8]) -> Result<(), Error> {
        let file = self.newest();
        let bytes = frame::encode(number, body)?;
        let appended = self.disk.append(&file, &bytes);
        appended.map_err(|e| failed("append to", &file, e))?;
        if let Some(segment) = self.segments.last_mut() {
            segment.bytes += bytes.len() as u64;
        }
        Ok(())
    }

    /// Writes a snapshot so that a crash leaves either the old one or the new one.
    fn write_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), Error> {
        let file = format!("{SNAPSHOT}{:016x}", snapshot.index);
        self.replace(&file, snapshot.index, snapshot)
    }

    fn replace<T>(&mut self, file: &str, number: u64, content: &T) -> Result<(), Error>
    where
        T: Serialize,
    {
        let bytes = frame::encode(number, &to_json(content)?)?;
        self.replace_bytes(file, &bytes)
    }

    pub(super) fn replace_bytes(&mut self, file: &str, bytes: &[u8]) -> Result<(), Error> {
        let created = self.disk.create(TEMPORARY);
        created.map_err(|e| failed("create", TEMPORARY, e))?;
        let appended = self.disk.append(TEMPORARY, bytes);
        appended.map_err(|e| failed("append to", TEMPORARY, e))?;
        self.sync(TEMPORARY)?;
        let renamed = self.disk.rename(TEMPORARY, file);
        renamed.map_err(|e| failed("rename a new file to", file, e))?;
        self.sync_folder()
    }

    /// Removes older snapshots and the segments that the snapshot covers.
    fn drop_before(&mut self, index: u64) -> Result<(), Error> {
        let newest = format!("{SNAPSHOT}{index:016x}");
        for file in self.list()? {
            if file.starts_with(SNAPSHOT) && file < newest {
                self.remove(&file)?;
            }
        }
        while self.segments.len() > 1 && self.segments[0].high <= index {
            let segment = self.segments.remove(0);
            self.remove(&segment.file)?;
            // Without a sync in between, a crash could bring back an older segment alone.
            self.sync_folder()?;
        }
        Ok(())
    }

    pub(super) fn identity(&mut self) -> Result<Option<Identity>, Error> {
        if !self.list()?.iter().any(|f| f == IDENTITY) {
            return Ok(None);
        }
        self.read_whole(IDENTITY).map(Some)
    }

    pub(super) fn list(&mut self) -> Result<Vec<String>, Error> {
        self.disk.list().map_err(|e| failed("list", "files", e))
    }

    pub(super) fn remove(&mut self, file: &str) -> Result<(), Error> {
        let removed = self.disk.remove(file);
        removed.map_err(|e| failed("remove", file, e))
    }

    fn sync(&mut self, file: &str) -> Result<(), Error> {
        self.disk.sync(file).map_err(|e| failed("sync", file, e))
    }

    pub(super) fn sync_folder(&mut self) -> Result<(), Error> {
        let synced = self.disk.sync_folder();
        synced.map_err(|e| failed("sync", "the list of files", e))
    }
}

pub fn failed(operation: &'static str, file: &str, source: io::Error) -> Error {
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
    serde_json::to_vec(value).map_err(|e| failed("serialize", "a record", e.into()))
}
