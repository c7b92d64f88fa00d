use serde::de::DeserializeOwned;

use super::{
    Disk, Error, frame,
    store::{Line, LogStore, SEGMENT, SNAPSHOT, Segment, TEMPORARY, failed},
    terms::Terms,
};
use crate::consensus::{Entry, Image, Snapshot, Vote};

/// What the segments hold, read line by line.
#[derive(Default)]
struct Replay {
    vote: Vote,
    terms: Terms,
    entries: Vec<Entry>,
    /// Index of the latest snapshot that the lines name.
    snapshot_index: u64,
    /// Number of the next frame, if one was read.
    number: Option<u64>,
    /// Whether the last frame has its mark, or there is none.
    is_marked: bool,
    segments: Vec<Segment>,
}

impl LogStore {
    /// Opens a folder, or returns `None` if it belongs to no replica yet.
    ///
    /// What a crash left of an unfinished write is removed. The newest segment is written again,
    /// because what a failed sync left in memory may not be on stable storage.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Corrupt`] if a file has content that no crash explains, and errors of the
    /// disk.
    pub fn open(disk: Box<dyn Disk>) -> Result<Option<(Self, Image)>, Error> {
        let mut folder = Self {
            disk,
            vote: Vote::default(),
            terms: Terms::default(),
            segments: Vec::new(),
            is_open: false,
            number: 1,
            next_segment: 1,
            is_stopped: false,
        };
        let Some(id) = folder.identity()? else {
            return Ok(None);
        };
        let snapshot = folder.load_snapshot()?;
        let mut replay = folder.load_segments()?;
        replay.finish(&snapshot)?;
        let entries = std::mem::take(&mut replay.entries);
        folder.take_over(replay);
        let image = Image {
            id,
            vote: folder.vote.clone(),
            snapshot,
            entries,
        };
        Ok(Some((folder, image)))
    }

    fn take_over(&mut self, replay: Replay) {
        self.vote = replay.vote;
        self.terms = replay.terms;
        self.number = replay.number.unwrap_or(1);
        let last = replay.segments.last();
        let last = last.and_then(|s| s.file.strip_prefix(SEGMENT));
        let last = last.and_then(|hex| u64::from_str_radix(hex, 16).ok());
        self.next_segment = last.unwrap_or(0) + 1;
        self.segments = replay.segments;
    }

    /// Reads the newest snapshot and removes what a crash left of older ones.
    ///
    /// An older one shows that the process stopped while it replaced the snapshot. The name of the
    /// newest may not be on stable storage then, so it is written again first.
    fn load_snapshot(&mut self) -> Result<Snapshot, Error> {
        let mut files = self.list()?;
        if files.iter().any(|f| f == TEMPORARY) {
            self.remove(TEMPORARY)?;
        }
        files.retain(|f| f.starts_with(SNAPSHOT));
        let Some(newest) = files.pop() else {
            return Err(damaged(SNAPSHOT, 0, "there is no snapshot"));
        };
        let snapshot = self.read_whole(&newest)?;
        if !files.is_empty() {
            let bytes = self.read(&newest)?;
            self.replace_bytes(&newest, &bytes)?;
        }
        for file in files {
            self.remove(&file)?;
        }
        Ok(snapshot)
    }

    fn load_segments(&mut self) -> Result<Replay, Error> {
        let mut files = self.list()?;
        files.retain(|f| f.starts_with(SEGMENT));
        let mut replay = Replay::default();
        for (at, file) in files.iter().enumerate() {
            let bytes = self.read(file)?;
            let whole = replay.segment(file, &bytes)?;
            if at + 1 < files.len() {
                if !replay.is_torn_mark(bytes.len() - whole) {
                    return Err(damaged(file, whole, "a frame before the newest segment"));
                }
            } else if whole == 0 {
                self.remove(file)?;
                replay.segments.pop();
            } else {
                self.replace_bytes(file, &bytes[..whole])?;
            }
        }
        self.sync_folder()?;
        if replay.segments.is_empty() {
            return Err(damaged(SEGMENT, 0, "there is no segment"));
        }
        Ok(replay)
    }

    fn read(&mut self, file: &str) -> Result<Vec<u8>, Error> {
        self.disk.read(file).map_err(|e| failed("read", file, e))
    }

    /// Reads a file that consists of one frame.
    pub(super) fn read_whole<T>(&mut self, file: &str) -> Result<T, Error>
    where
        T: DeserializeOwned,
    {
        let bytes = self.read(file)?;
        match frame::decode(&bytes) {
            Some((frame, length)) if length == bytes.len() => from_json(file, 0, frame.body),
            _ => Err(damaged(file, 0, "length or CRC32 does not fit")),
        }
    }
}

impl Replay {
    /// Reads a segment; returns the length of its whole frames.
    ///
    /// What follows them is a torn write, unless a later frame is whole.
    fn segment(&mut self, file: &str, bytes: &[u8]) -> Result<usize, Error> {
        self.segments.push(Segment {
            file: file.to_owned(),
            bytes: bytes.len() as u64,
            high: 0,
        });
        let mut offset = 0;
        self.is_marked = true;
        loop {
            if let Some((frame, length)) = frame::decode(&bytes[offset..]) {
                self.frame(file, offset, &frame)?;
                offset += length;
            } else if self.is_followed(&bytes[offset..]) {
                self.is_marked = true;
                offset += frame::HEADER_BYTES;
            } else {
                break;
            }
        }
        if frame::has_later(&bytes[offset..], self.number.unwrap_or(0)) {
            return Err(damaged(file, offset, "length or CRC32 does not fit"));
        }
        Ok(offset)
    }

    /// Returns whether the next frame follows a mark that a crash has torn.
    fn is_followed(&self, bytes: &[u8]) -> bool {
        let next = bytes.get(frame::HEADER_BYTES..).and_then(frame::decode);
        !self.is_marked && next.is_some_and(|(frame, _)| Some(frame.number) == self.number)
    }

    /// Returns whether a crash explains `rest` at the end of a segment that another one follows.
    ///
    /// The next segment starts after the sync of the last frame, but its mark is not synced.
    const fn is_torn_mark(&self, rest: usize) -> bool {
        rest == 0 || !self.is_marked && rest <= frame::HEADER_BYTES
    }

    fn frame(&mut self, file: &str, offset: usize, frame: &frame::Frame<'_>) -> Result<(), Error> {
        let is_mark = frame.body.is_empty();
        let expected = self.number.map(|next| next - u64::from(is_mark));
        if expected.is_some_and(|number| number != frame.number) {
            let problem = format!("frame {} is out of order", frame.number);
            return Err(damaged(file, offset, &problem));
        }
        self.is_marked = is_mark;
        if is_mark {
            return Ok(());
        }
        let is_first = self.number.is_none();
        self.number = Some(frame.number + 1);
        let lines: Vec<Line> = from_json(file, offset, frame.body)?;
        if is_first && !matches!(lines.first(), Some(Line::Head { .. })) {
            return Err(damaged(file, offset, "the oldest segment has no head"));
        }
        for line in lines {
            self.line(line, is_first)
                .map_err(|problem| damaged(file, offset, &problem))?;
        }
        Ok(())
    }

    fn line(&mut self, line: Line, is_first: bool) -> Result<(), String> {
        match line {
            Line::Head {
                vote,
                base,
                last_index,
                last_term,
                ..
            } if is_first => {
                self.snapshot_index = base;
                self.terms.reset(last_index, last_term);
                self.vote = vote;
            }
            Line::Head {
                vote,
                base,
                base_term,
                last_index,
                last_term,
            } => {
                self.align(base, base_term);
                let own = (&self.vote, self.terms.last_index(), self.terms.last_term());
                if own != (&vote, last_index, last_term) {
                    return Err("the segment does not continue the one before it".to_owned());
                }
            }
            Line::Vote(vote) => self.vote = vote,
            Line::Entry(entry) => self.entry(entry)?,
            Line::Cut {
                index,
                term,
                kept: true,
            } => self.align(index, term),
            Line::Cut { index, term, .. } => self.reset(index, term),
        }
        Ok(())
    }

    /// Adds an entry.
    ///
    /// The oldest segment may replace entries of segments that are gone. They are below the
    /// snapshot then, so only the term of the last one matters.
    fn entry(&mut self, entry: Entry) -> Result<(), String> {
        if let Some(segment) = self.segments.last_mut() {
            segment.high = segment.high.max(entry.index);
        }
        if (self.snapshot_index + 1..=self.terms.base()).contains(&entry.index) {
            self.terms.reset(entry.index, entry.term);
            self.entries.clear();
            return Ok(());
        }
        let at = self
            .terms
            .append(entry.index, entry.term)
            .ok_or_else(|| format!("entry {} leaves a gap", entry.index))?;
        self.entries.truncate(at);
        self.entries.push(entry);
        Ok(())
    }

    /// Takes a snapshot into account: keeps the entries after it if the log has its last entry.
    fn align(&mut self, index: u64, term: u64) {
        self.snapshot_index = index;
        match self.terms.cut(index, term) {
            Some(covered) => drop(self.entries.drain(..covered)),
            None => self.reset(index, term),
        }
    }

    fn reset(&mut self, index: u64, term: u64) {
        self.snapshot_index = index;
        self.terms.reset(index, term);
        self.entries.clear();
        self.segments.iter_mut().for_each(|s| s.high = 0);
    }

    /// Aligns the entries with the snapshot, which may be newer than the last line.
    fn finish(&mut self, snapshot: &Snapshot) -> Result<(), Error> {
        let base = self.terms.base();
        if base > snapshot.index {
            let problem = format!("the snapshot at entry {base} is missing");
            return Err(damaged(SNAPSHOT, 0, &problem));
        }
        self.align(snapshot.index, snapshot.term);
        Ok(())
    }
}

fn damaged(file: &str, offset: usize, problem: &str) -> Error {
    Error::Corrupt {
        file: file.to_owned(),
        offset,
        problem: problem.to_owned(),
    }
}

fn from_json<T>(file: &str, offset: usize, bytes: &[u8]) -> Result<T, Error>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(bytes).map_err(|e| damaged(file, offset, &e.to_string()))
}
