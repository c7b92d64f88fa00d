use std::{
    fs::{self, File, OpenOptions},
    io::{self, Read, Write},
    path::{Path, PathBuf},
    sync::mpsc,
    thread,
};

use masticlock_core::{
    consensus::{Image, Record},
    storage,
};
use tokio::sync::mpsc as local;

use crate::disk;

/// Folder of the log's records.
pub const LOG: &str = "log";

/// File of the bills, one JSON object a line.
const BILLS: &str = "bills";

/// Work of the disk thread.
#[derive(Debug)]
pub enum Work {
    /// Records of the log with the number of their write.
    Records(u64, Vec<Record>),
    /// Lines for the file of bills with the number of their write.
    Bills(u64, String),
}

/// What the disk thread has done.
#[derive(Debug)]
pub enum Done {
    /// The write of records with this number is synced.
    Records(u64),
    /// The write of bills with this number is synced.
    Bills(u64),
    /// A write failed, and no later one will be done.
    Failed(String),
}

/// What the data folder held at the start.
#[derive(Debug)]
pub struct Content {
    /// State of the log.
    pub image: Image,
    /// Lines of the file of bills.
    pub bills: Vec<String>,
}

/// The thread that waits for the disk, so that the control thread never does.
#[derive(Debug)]
pub struct Disk {
    work: Option<mpsc::Sender<Work>>,
    thread: Option<thread::JoinHandle<()>>,
}

/// The files, which stay on the thread that opened them.
struct Files {
    log: storage::LogStore,
    bills: File,
}

impl Disk {
    /// Returns whether the data folder has been used by a replica.
    #[must_use]
    pub fn is_founded(folder: &Path) -> bool {
        folder.join(LOG).exists()
    }

    /// Opens the data folder, or creates it with `fresh`, and starts the thread.
    ///
    /// # Errors
    ///
    /// Returns what failed, with the file's name.
    pub fn open(
        folder: &Path,
        fresh: Image,
        done: local::UnboundedSender<Done>,
    ) -> Result<(Self, Content), String> {
        let (opened, content) = mpsc::channel();
        let (work, receiver) = mpsc::channel();
        let folder = folder.to_owned();
        let thread = thread::Builder::new()
            .name("control-disk".into())
            .spawn(move || match Files::open(&folder, &fresh) {
                Ok((files, content)) => {
                    // The opener waits for this answer.
                    let _gone = opened.send(Ok(content));
                    files.run(&receiver, &done);
                }
                Err(error) => {
                    let _gone = opened.send(Err(error));
                }
            })
            .map_err(|e| format!("no thread for the disk: {e}"))?;
        let disk = Self {
            work: Some(work),
            thread: Some(thread),
        };
        let content = content
            .recv()
            .map_err(|_| "the disk thread ended early".to_owned())??;
        Ok((disk, content))
    }

    /// Hands work to the thread. After a failure it is not done, and [`Done::Failed`] tells so.
    pub fn send(&self, work: Work) {
        if let Some(sender) = &self.work {
            // The thread ends only after it has sent the failure.
            let _ended = sender.send(work);
        }
    }
}

impl Drop for Disk {
    /// Waits until all work is done.
    fn drop(&mut self) {
        self.work = None;
        if let Some(thread) = self.thread.take() {
            // A panic of the thread was reported where it happened.
            let _panic = thread.join();
        }
    }
}

impl Files {
    fn open(folder: &Path, fresh: &Image) -> Result<(Self, Content), String> {
        let path = folder.join(LOG);
        let place = |e: &dyn std::fmt::Display| format!("{}: {e}", folder.display());
        fs::create_dir_all(folder).map_err(|e| place(&e))?;
        let folder_disk = disk::Folder::open(&path).map_err(|e| place(&e))?;
        let opened = storage::LogStore::open_or_create(Box::new(folder_disk), fresh);
        let (log, image) = opened.map_err(|e| place(&e))?;
        let (bills, lines) = open_lines(&folder.join(BILLS)).map_err(|e| place(&e))?;
        let content = Content {
            image,
            bills: lines,
        };
        Ok((Self { log, bills }, content))
    }

    fn run(mut self, work: &mpsc::Receiver<Work>, done: &local::UnboundedSender<Done>) {
        while let Ok(work) = work.recv() {
            let result = match work {
                Work::Records(number, records) => self
                    .log
                    .write(&records)
                    .map(|()| Done::Records(number))
                    .map_err(|e| e.to_string()),
                Work::Bills(number, lines) => self
                    .append(&lines)
                    .map(|()| Done::Bills(number))
                    .map_err(|e| format!("{BILLS}: {e}")),
            };
            let failed = result.is_err();
            // Nobody receives this when the control thread has gone.
            if done.send(result.unwrap_or_else(Done::Failed)).is_err() || failed {
                return;
            }
        }
    }

    fn append(&mut self, lines: &str) -> io::Result<()> {
        self.bills.write_all(lines.as_bytes())?;
        self.bills.sync_data()
    }
}

/// Opens or creates a file of lines and returns the complete ones.
///
/// A last line without an end was never confirmed to anyone and is cut off.
fn open_lines(path: &PathBuf) -> io::Result<(File, Vec<String>)> {
    let mut file = OpenOptions::new()
        .read(true)
        .append(true)
        .create(true)
        .open(path)?;
    let mut bytes = Vec::new();
    file.read_to_end(&mut bytes)?;
    let end = bytes
        .iter()
        .rposition(|b| *b == b'\n')
        .map_or(0, |at| at + 1);
    if end < bytes.len() {
        bytes.truncate(end);
        file.set_len(end as u64)?;
    }
    file.sync_all()?;
    if let Some(folder) = path.parent() {
        File::open(folder)?.sync_all()?;
    }
    let text =
        String::from_utf8(bytes).map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))?;
    Ok((file, text.lines().map(str::to_owned).collect()))
}
