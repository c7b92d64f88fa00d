use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use futures_util::{StreamExt, future::BoxFuture, stream};
use masticlock_core::{claim, error, request};
use tokio::sync::watch;

use crate::port::{self, Joined, Part};

/// How long a complete answer is kept.
const KEEP: Duration = Duration::from_mins(2);
/// Most bytes of all answers that are kept.
const MAX_BYTES: usize = 32 * 1024 * 1024;

/// Answers of requests with an idempotency key, kept in memory.
#[derive(Debug, Default)]
pub struct Answers {
    entries: Arc<Mutex<Entries>>,
}

#[derive(Debug, Default)]
struct Entries {
    map: BTreeMap<claim::Key, Entry>,
    bytes: usize,
}

#[derive(Debug)]
struct Entry {
    fingerprint: request::Fingerprint,
    answer: Arc<watch::Sender<Answer>>,
    /// When it was complete; `None` while it runs.
    ended: Option<Instant>,
    bytes: usize,
}

/// An answer as far as it has come.
#[derive(Debug, Default)]
struct Answer {
    parts: Vec<Part>,
    over: bool,
}

fn lock(entries: &Mutex<Entries>) -> MutexGuard<'_, Entries> {
    entries.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Entries {
    /// Drops old answers, and the oldest ones while there are too many bytes.
    fn trim(&mut self) {
        self.drop_if(|ended| ended.elapsed() >= KEEP);
        while self.bytes > MAX_BYTES {
            let oldest = self.map.values().filter_map(|e| e.ended).min();
            match oldest {
                Some(oldest) => self.drop_if(|ended| ended == oldest),
                None => return,
            }
        }
    }

    fn drop_if<F>(&mut self, is_dropped: F)
    where
        F: Fn(Instant) -> bool,
    {
        let bytes = &mut self.bytes;
        self.map.retain(|_, entry| {
            let keep = !entry.ended.is_some_and(&is_dropped);
            if !keep {
                *bytes -= entry.bytes;
            }
            keep
        });
    }
}

impl port::Answers for Answers {
    fn join(
        &self,
        key: claim::Key,
        fingerprint: request::Fingerprint,
    ) -> BoxFuture<'_, Result<Joined, error::Error>> {
        let mut entries = lock(&self.entries);
        entries.trim();
        let joined = match entries.map.get(&key) {
            Some(entry) if entry.fingerprint != fingerprint => Err(error::Error::new(
                error::Kind::KeyReused,
                "the idempotency key was used with another body",
            )),
            Some(entry) => Ok(Joined::Follower(follow(entry.answer.subscribe()))),
            None => {
                let answer = Arc::new(watch::Sender::new(Answer::default()));
                let entry = Entry {
                    fingerprint,
                    answer: answer.clone(),
                    ended: None,
                    bytes: 0,
                };
                entries.map.insert(key.clone(), entry);
                Ok(Joined::First(Box::new(Recorder {
                    entries: self.entries.clone(),
                    key,
                    answer,
                    complete: false,
                })))
            }
        };
        Box::pin(std::future::ready(joined))
    }
}

fn follow(receiver: watch::Receiver<Answer>) -> stream::BoxStream<'static, Part> {
    stream::unfold((receiver, 0), |(mut receiver, at)| async move {
        // An error means that the recorder is gone; what it left is still read.
        let _ = receiver.wait_for(|a| a.parts.len() > at || a.over).await;
        let part = receiver.borrow().parts.get(at).cloned();
        part.map(|part| (part, (receiver, at + 1)))
    })
    .boxed()
}

struct Recorder {
    entries: Arc<Mutex<Entries>>,
    key: claim::Key,
    answer: Arc<watch::Sender<Answer>>,
    complete: bool,
}

impl port::Recorder for Recorder {
    fn append(&mut self, part: Part) {
        let size = match &part {
            Part::Data(data) => data.len(),
            Part::Head { .. } | Part::End | Part::Failed(_) => 0,
        };
        self.complete = part == Part::End;
        let mut entries = lock(&self.entries);
        entries.bytes += size;
        if let Some(entry) = entries.map.get_mut(&self.key) {
            entry.bytes += size;
            if self.complete {
                entry.ended = Some(Instant::now());
            }
        }
        drop(entries);
        let over = self.complete || matches!(part, Part::Failed(_));
        self.answer.send_modify(|answer| {
            answer.parts.push(part);
            answer.over = over;
        });
    }
}

impl Drop for Recorder {
    /// Forgets an answer that broke off, so that a repeated request runs anew.
    fn drop(&mut self) {
        if self.complete {
            return;
        }
        let mut entries = lock(&self.entries);
        if let Some(entry) = entries.map.remove(&self.key) {
            entries.bytes -= entry.bytes;
        }
        drop(entries);
        self.answer.send_modify(|answer| answer.over = true);
    }
}
