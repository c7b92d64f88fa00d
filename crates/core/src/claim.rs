//! Claims on calls that must not be repeated.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{
    error, name, request,
    time::{Span, Time},
};

/// How long a claim is kept after its last change.
///
/// A caller that repeats a call later than this runs it again.
pub const RETENTION: Span = Span::from_secs(3_600);

/// Most claims that are kept at once. New claims are refused at this number,
/// because dropping one early would let its call run twice.
pub const MAX_CLAIMS: usize = 200_000;

/// Largest stored answer in bytes. The claim of a larger one becomes unknown.
pub const MAX_RESPONSE_BYTES: usize = 64 * 1_024;

/// Longest idempotency key in bytes.
pub const MAX_KEY_BYTES: usize = 255;

plain! {
    /// What a claim is keyed by.
    #[derive(Eq, PartialOrd, Ord, Hash)]
    pub struct Key {
        /// The client account.
        pub account: name::Account,
        /// The caller's idempotency key.
        pub key: String,
    }

    /// A request to claim a call.
    #[derive(Eq)]
    pub struct Begin {
        /// What the claim is keyed by.
        pub key: Key,
        /// Digest of account, method, path and body.
        pub fingerprint: request::Fingerprint,
        /// Identifies this attempt to claim. Unlike the id of the request, repeats don't share it.
        pub holder: name::Request,
        /// The instance that will run it.
        pub instance: name::Instance,
    }

    /// The stored answer of a call.
    #[derive(Eq)]
    pub struct Response {
        /// HTTP status.
        pub status: u16,
        /// Content type.
        pub content_type: String,
        /// Body.
        pub body: Vec<u8>,
    }

    /// What a claimant is told.
    #[derive(Eq)]
    pub enum Decision {
        /// The call is yours to send, once.
        Granted,
        /// Another request with the same key is running it.
        InProgress,
        /// It ran; this is its answer.
        Done(Response),
        /// It was sent and its outcome is not known. It is not sent again.
        Unknown,
        /// The key was used with another content.
        Reused,
    }
}

/// How a claimed call ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The service answered.
    Answered(Response),
    /// It is certain that no byte was sent. The claim is freed.
    NotSent,
    /// Bytes were sent and no whole answer came.
    Unknown,
}

plain! {
    /// The end of a claimed call, with the holder that the claim was granted to.
    #[derive(Eq)]
    pub struct Finish {
        /// What the claim is keyed by.
        pub key: Key,
        /// The holder of the claim. The end of another holder changes nothing.
        pub holder: name::Request,
        /// How it ended.
        pub end: Outcome,
    }

    /// Where a claim stands.
    #[derive(Eq)]
    pub enum State {
        /// Granted; bytes may have been sent.
        Running,
        /// It is certain that no byte was sent. Another holder may claim it.
        Freed,
        /// The service answered.
        Done(Response),
        /// Bytes may have been sent and no whole answer came.
        Unknown,
    }

    /// One claim.
    #[derive(Eq)]
    pub struct Record {
        /// Digest of account, method, path and body; `None` when the end came before the claim.
        pub fingerprint: Option<request::Fingerprint>,
        /// Who holds or last held the claim.
        pub holder: name::Request,
        /// The instance of that holder; `None` when the end came before the claim.
        pub instance: Option<name::Instance>,
        /// Time of the log at the last change.
        pub at: Time,
        /// Where it stands.
        pub state: State,
    }
}

/// All claims by key, bounded by [`RETENTION`] and [`MAX_CLAIMS`].
///
/// A map, because a claim is inserted for each non-repeatable call.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "Vec<(Key, Record)>", into = "Vec<(Key, Record)>")]
pub struct Table {
    records: BTreeMap<Key, Record>,
    ages: BTreeSet<(Time, Key)>,
}

impl From<Vec<(Key, Record)>> for Table {
    fn from(list: Vec<(Key, Record)>) -> Self {
        let ages = list.iter().map(|(k, r)| (r.at, k.clone())).collect();
        Self {
            records: list.into_iter().collect(),
            ages,
        }
    }
}

impl From<Table> for Vec<(Key, Record)> {
    fn from(table: Table) -> Self {
        table.records.into_iter().collect()
    }
}

impl Table {
    /// Grants the claim, or says why not.
    ///
    /// A resend of the ask that holds the claim is granted again, because
    /// its first answer may be lost; the holder sends the call once.
    ///
    /// # Errors
    ///
    /// Returns [`error::Kind::ClaimUnavailable`] when the table is full and
    /// [`error::Kind::BadRequest`] for a key that is too long.
    pub fn begin(&mut self, ask: &Begin, now: Time) -> Result<Decision, error::Error> {
        if ask.key.key.len() > MAX_KEY_BYTES {
            return Err(error::Error::new(
                error::Kind::BadRequest,
                format!("an idempotency key has at most {MAX_KEY_BYTES} bytes"),
            ));
        }
        let verdict = match self.records.get(&ask.key) {
            None if self.records.len() >= MAX_CLAIMS => {
                return Err(error::Error::new(
                    error::Kind::ClaimUnavailable,
                    format!("{MAX_CLAIMS} claims are kept and none has expired"),
                ));
            }
            None => Decision::Granted,
            Some(record) => record.verdict(ask),
        };
        let held = self
            .records
            .get(&ask.key)
            .is_some_and(|r| r.state == State::Running && r.is_held_by(ask));
        if verdict == Decision::Granted && !held {
            let record = Record {
                fingerprint: Some(ask.fingerprint),
                holder: ask.holder.clone(),
                instance: Some(ask.instance.clone()),
                at: now,
                state: State::Running,
            };
            self.put(ask.key.clone(), record);
        }
        Ok(verdict)
    }

    /// Records the end of a call. Only [`Outcome::NotSent`] of the holder frees a claim.
    pub fn finish(&mut self, finish: &Finish, now: Time) {
        let state = match &finish.end {
            Outcome::Answered(answer) if answer.body.len() <= MAX_RESPONSE_BYTES => {
                State::Done(answer.clone())
            }
            Outcome::Answered(_) | Outcome::Unknown => State::Unknown,
            Outcome::NotSent => State::Freed,
        };
        let record = match self.records.get(&finish.key) {
            // The end overtook its claim, which must not be granted any more.
            None if self.records.len() < MAX_CLAIMS => Record {
                fingerprint: None,
                holder: finish.holder.clone(),
                instance: None,
                at: now,
                state,
            },
            Some(old)
                if old.holder == finish.holder
                    && matches!(old.state, State::Running | State::Unknown) =>
            {
                Record {
                    at: now,
                    state,
                    ..old.clone()
                }
            }
            _ => return,
        };
        self.put(finish.key.clone(), record);
    }

    /// Makes the running claims of an instance unknown that began before `before`.
    ///
    /// Returns how many there were.
    pub fn instance_gone(&mut self, instance: &name::Instance, before: Time, now: Time) -> usize {
        let gone: Vec<_> = self
            .records
            .iter()
            .filter(|(_, r)| {
                r.state == State::Running && r.instance.as_ref() == Some(instance) && r.at < before
            })
            .map(|(k, r)| (k.clone(), r.clone()))
            .collect();
        for (key, record) in &gone {
            let record = Record {
                at: now,
                state: State::Unknown,
                ..record.clone()
            };
            self.put(key.clone(), record);
        }
        gone.len()
    }

    /// Returns the instances that hold running claims, sorted.
    #[must_use]
    pub fn holders(&self) -> Vec<name::Instance> {
        let mut list: Vec<_> = self
            .records
            .values()
            .filter(|r| r.state == State::Running)
            .filter_map(|r| r.instance.clone())
            .collect();
        list.sort();
        list.dedup();
        list
    }

    /// Returns the claim of that key.
    #[must_use]
    pub fn get(&self, key: &Key) -> Option<&Record> {
        self.records.get(key)
    }

    /// Returns the number of claims.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there is no claim.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Drops claims that have not changed for [`RETENTION`].
    ///
    /// A running claim is kept: its call may have been sent.
    pub fn expire(&mut self, now: Time) {
        while let Some((at, key)) = self.ages.first().cloned() {
            if now.since(at) < RETENTION {
                return;
            }
            self.ages.pop_first();
            let running = |r: &Record| r.state == State::Running;
            if self.records.get(&key).is_some_and(running) {
                // Looked at again after another retention period.
                self.touch(key, now);
            } else {
                self.records.remove(&key);
            }
        }
    }

    fn touch(&mut self, key: Key, now: Time) {
        if let Some(record) = self.records.get_mut(&key) {
            record.at = now;
            self.ages.insert((now, key));
        }
    }

    fn put(&mut self, key: Key, record: Record) {
        let at = record.at;
        if let Some(old) = self.records.insert(key.clone(), record) {
            self.ages.remove(&(old.at, key.clone()));
        }
        self.ages.insert((at, key));
    }
}

impl Record {
    fn is_held_by(&self, ask: &Begin) -> bool {
        self.holder == ask.holder && self.instance.as_ref() == Some(&ask.instance)
    }

    fn verdict(&self, ask: &Begin) -> Decision {
        let reused = self.fingerprint.is_some_and(|f| f != ask.fingerprint);
        match &self.state {
            // No byte was sent under the old content, so a new one may use the key.
            State::Freed if self.holder != ask.holder => Decision::Granted,
            State::Freed => Decision::InProgress,
            _ if reused => Decision::Reused,
            State::Running if self.is_held_by(ask) => Decision::Granted,
            State::Running => Decision::InProgress,
            State::Done(answer) => Decision::Done(answer.clone()),
            State::Unknown => Decision::Unknown,
        }
    }
}
