use serde::de::DeserializeOwned;

use super::{
    Disk, Error, frame,
    store::{FrameItem, LogStore, SEGMENT, SNAPSHOT, Segment, TEMPORARY, disk_error},
    terms::Terms,
};
use crate::consensus::{Entry, Identity, Image, Snapshot, Vote};

/// State that is rebuilt by reading the segments in order.
#[derive(Default)]
struct Replay {
    vote: Vote,
    terms: Terms,
    entries: Vec<Entry>,
    /// Index of the latest snapshot that the items name.
    snapshot_index: u64,
    /// Number of the next frame; `None` before the first one.
    next_frame: Option<u64>,
    /// Whether the last frame of the current segment has its sync marker, or the segment has no
    /// frame yet.
    is_marked: bool,
    segments: Vec<Segment>,
}

impl LogStore {
    /// Opens a store, or returns `None` if the folder has no replica's identity yet.
    ///
    /// Remains of unfinished writes are removed. The newest segment is written again, because after
    /// a failed sync its content may be readable from memory without being on stable storage.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Corrupt`] if a file has content that an interrupted write can't have left,
    /// and errors of the disk.
    pub fn open(disk: Box<dyn Disk>) -> Result<Option<(Self, Image)>, Error> {
        let mut store = Self::new(disk);
        match store.identity()? {
            Some(id) => store.load(id).map(Some),
            None => Ok(None),
        }
    }

    /// Opens a store, or creates it with the content of an image if the folder has no replica's
    /// identity yet.
    ///
    /// The disk stays locked in between.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Corrupt`] as [`open`](Self::open) does, and errors of the disk.
    pub fn open_or_create(disk: Box<dyn Disk>, image: &Image) -> Result<(Self, Image), Error> {
        let mut store = Self::new(disk);
        match store.identity()? {
            Some(id) => store.load(id),
            None => Ok((store.initialize(image)?, image.clone())),
        }
    }

    fn load(mut self, id: Identity) -> Result<(Self, Image), Error> {
        let snapshot = self.load_snapshot()?;
        let mut replay = self.load_segments()?;
        replay.finish(&snapshot)?;
        let entries = std::mem::take(&mut replay.entries);
        self.restore(replay);
        let image = Image {
            id,
            vote: self.vote.clone(),
            snapshot,
            entries,
        };
        Ok((self, image))
    }

    fn restore(&mut self, replay: Replay) {
        self.vote = replay.vote;
        self.terms = replay.terms;
        self.next_frame = replay.next_frame.unwrap_or(1);
        let newest = replay.segments.last();
        let hex = newest.and_then(|s| s.file.strip_prefix(SEGMENT));
        let newest_number = hex.and_then(|hex| u64::from_str_radix(hex, 16).ok());
        self.next_segment = newest_number.unwrap_or(0) + 1;
        self.segments = replay.segments;
    }

    /// Reads the newest snapshot and removes older ones that a crash left.
    ///
    /// An older snapshot shows that the process stopped while it replaced the snapshot. The file
    /// name of the newest one may then not be on stable storage, so it is written again first.
    fn load_snapshot(&mut self) -> Result<Snapshot, Error> {
        let mut files = self.list()?;
        if files.iter().any(|f| f == TEMPORARY) {
            self.remove(TEMPORARY)?;
        }
        files.retain(|f| f.starts_with(SNAPSHOT));
        let Some(newest) = files.pop() else {
            return Err(corrupt(SNAPSHOT, 0, "there is no snapshot"));
        };
        let snapshot = self.read_framed(&newest)?;
        if !files.is_empty() {
            let bytes = self.read(&newest)?;
            self.replace_bytes(&newest, &bytes)?;
        }
        for file in files {
            self.remove(&file)?;
        }
        Ok(snapshot)
    }

    /// Replays all segments, and cuts an unfinished write off the newest one.
    fn load_segments(&mut self) -> Result<Replay, Error> {
        let mut files = self.list()?;
        files.retain(|f| f.starts_with(SEGMENT));
        let mut replay = Replay::default();
        for (position, file) in files.iter().enumerate() {
            let bytes = self.read(file)?;
            let valid_bytes = replay.read_segment(file, &bytes)?;
            if position + 1 < files.len() {
                if !replay.is_torn_marker(bytes.len() - valid_bytes) {
                    return Err(corrupt(
                        file,
                        valid_bytes,
                        "an invalid frame before the newest segment",
                    ));
                }
            } else if valid_bytes == 0 {
                self.remove(file)?;
                replay.segments.pop();
            } else {
                self.replace_bytes(file, &bytes[..valid_bytes])?;
            }
        }
        self.sync_folder()?;
        if replay.segments.is_empty() {
            return Err(corrupt(SEGMENT, 0, "there is no segment"));
        }
        Ok(replay)
    }

    fn read(&mut self, file: &str) -> Result<Vec<u8>, Error> {
        self.disk
            .read(file)
            .map_err(|e| disk_error("read", file, e))
    }

    /// Reads a file that consists of one frame, and parses its body.
    pub(super) fn read_framed<T>(&mut self, file: &str) -> Result<T, Error>
    where
        T: DeserializeOwned,
    {
        let bytes = self.read(file)?;
        match frame::decode(&bytes) {
            Some((frame, length)) if length == bytes.len() => from_json(file, 0, frame.body),
            _ => Err(corrupt(file, 0, "length or CRC32 does not match")),
        }
    }
}

impl Replay {
    /// Reads a segment; returns the length in bytes of its valid part.
    ///
    /// The bytes after it are a torn write. They are corrupt instead if they contain a later valid
    /// frame.
    fn read_segment(&mut self, file: &str, bytes: &[u8]) -> Result<usize, Error> {
        self.segments.push(Segment {
            file: file.to_owned(),
            bytes: bytes.len() as u64,
            max_index: 0,
        });
        let mut offset = 0;
        self.is_marked = true;
        loop {
            if let Some((frame, length)) = frame::decode(&bytes[offset..]) {
                self.apply_frame(file, offset, &frame)?;
                offset += length;
            } else if self.is_torn_marker_before_frame(&bytes[offset..]) {
                self.is_marked = true;
                offset += frame::HEADER_BYTES;
            } else {
                break;
            }
        }
        if frame::has_later_frame(&bytes[offset..], self.next_frame.unwrap_or(0)) {
            return Err(corrupt(file, offset, "length or CRC32 does not match"));
        }
        Ok(offset)
    }

    /// Returns whether `bytes` starts with a sync marker torn by a crash and then the next frame.
    fn is_torn_marker_before_frame(&self, bytes: &[u8]) -> bool {
        let next = bytes.get(frame::HEADER_BYTES..).and_then(frame::decode);
        !self.is_marked && next.is_some_and(|(frame, _)| Some(frame.number) == self.next_frame)
    }

    /// Returns whether a segment that another one follows may end with `invalid_bytes` bytes after
    /// its last valid frame.
    ///
    /// The next segment starts after the last frame was synced, but the frame's marker is not
    /// synced, so a crash can tear it.
    const fn is_torn_marker(&self, invalid_bytes: usize) -> bool {
        invalid_bytes == 0 || !self.is_marked && invalid_bytes <= frame::HEADER_BYTES
    }

    fn apply_frame(
        &mut self,
        file: &str,
        offset: usize,
        frame: &frame::Frame<'_>,
    ) -> Result<(), Error> {
        let is_marker = frame.body.is_empty();
        let expected = self.next_frame.map(|next| next - u64::from(is_marker));
        if expected.is_some_and(|number| number != frame.number) {
            let problem = format!("frame {} is out of order", frame.number);
            return Err(corrupt(file, offset, &problem));
        }
        self.is_marked = is_marker;
        if is_marker {
            return Ok(());
        }
        let is_first = self.next_frame.is_none();
        self.next_frame = Some(frame.number + 1);
        let items: Vec<FrameItem> = from_json(file, offset, frame.body)?;
        if is_first && !matches!(items.first(), Some(FrameItem::Head { .. })) {
            return Err(corrupt(file, offset, "the oldest segment has no head"));
        }
        for item in items {
            self.apply_item(item, is_first)
                .map_err(|problem| corrupt(file, offset, &problem))?;
        }
        Ok(())
    }

    fn apply_item(&mut self, item: FrameItem, is_first: bool) -> Result<(), String> {
        match item {
            FrameItem::Head {
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
            FrameItem::Head {
                vote,
                base,
                base_term,
                last_index,
                last_term,
            } => {
                self.compact(base, base_term);
                let replayed = (&self.vote, self.terms.last_index(), self.terms.last_term());
                if replayed != (&vote, last_index, last_term) {
                    return Err("the segment does not continue the one before it".to_owned());
                }
            }
            FrameItem::Vote(vote) => self.vote = vote,
            FrameItem::Entry(entry) => self.append_entry(entry)?,
            FrameItem::Cut {
                index,
                term,
                kept: true,
            } => self.compact(index, term),
            FrameItem::Cut { index, term, .. } => self.reset(index, term),
        }
        Ok(())
    }

    /// Appends an entry.
    ///
    /// The oldest segment may replace entries of segments that were removed. Such entries are
    /// covered by the snapshot on disk, so only the term of the last one is needed.
    fn append_entry(&mut self, entry: Entry) -> Result<(), String> {
        if let Some(segment) = self.segments.last_mut() {
            segment.max_index = segment.max_index.max(entry.index);
        }
        if (self.snapshot_index + 1..=self.terms.base()).contains(&entry.index) {
            self.terms.reset(entry.index, entry.term);
            self.entries.clear();
            return Ok(());
        }
        let kept = self
            .terms
            .append(entry.index, entry.term)
            .ok_or_else(|| format!("entry {} leaves a gap", entry.index))?;
        self.entries.truncate(kept);
        self.entries.push(entry);
        Ok(())
    }

    /// Drops the entries that a snapshot covers, or all entries if the log lacks its last entry.
    fn compact(&mut self, index: u64, term: u64) {
        self.snapshot_index = index;
        match self.terms.compact(index, term) {
            Some(covered) => drop(self.entries.drain(..covered)),
            None => self.reset(index, term),
        }
    }

    /// Drops all entries and continues after a snapshot.
    fn reset(&mut self, index: u64, term: u64) {
        self.snapshot_index = index;
        self.terms.reset(index, term);
        self.entries.clear();
        self.segments.iter_mut().for_each(|s| s.max_index = 0);
    }

    /// Drops the entries that the loaded snapshot covers. It may be newer than the last item.
    fn finish(&mut self, snapshot: &Snapshot) -> Result<(), Error> {
        let base = self.terms.base();
        if base > snapshot.index {
            let problem = format!("the snapshot at entry {base} is missing");
            return Err(corrupt(SNAPSHOT, 0, &problem));
        }
        self.compact(snapshot.index, snapshot.term);
        Ok(())
    }
}

fn corrupt(file: &str, offset: usize, problem: &str) -> Error {
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
    serde_json::from_slice(bytes).map_err(|e| corrupt(file, offset, &e.to_string()))
}
