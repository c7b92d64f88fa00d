//! Claims by which each non-repeatable call is sent at most once.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{
    error, name, request,
    time::{Span, Time},
};

/// How long a claim is kept after its last change.
///
/// A call that is repeated with the same key after this time runs again.
pub const RETENTION: Span = Span::from_secs(3_600);

/// Largest number of claims. When it is reached, new claims are refused, because
/// removing a claim early would let its call run twice.
pub const MAX_CLAIMS: usize = 200_000;

/// Largest stored response body in bytes. The outcome of a call with a larger one is stored as
/// unknown.
pub const MAX_RESPONSE_BYTES: usize = 64 * 1_024;

/// Largest length of an idempotency key in bytes.
pub const MAX_KEY_BYTES: usize = 255;

plain! {
    /// The key of a claim.
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
        /// The key of the claim.
        pub key: Key,
        /// Digest of account, method, path and body.
        pub fingerprint: request::Fingerprint,
        /// Id of this attempt to claim. A repeat of the call has the same request id but another
        /// holder.
        pub holder: name::Request,
        /// The instance that will send the call.
        pub instance: name::Instance,
    }

    /// The stored response of a call.
    #[derive(Eq)]
    pub struct Response {
        /// HTTP status.
        pub status: u16,
        /// Content type.
        pub content_type: String,
        /// Body.
        pub body: Vec<u8>,
    }

    /// The decision on a request to claim a call.
    #[derive(Eq)]
    pub enum Decision {
        /// The holder may send the call, once.
        Granted,
        /// Another holder is running the call with this key.
        InProgress,
        /// The call ran and got this response.
        Done(Response),
        /// The call was sent and its outcome is not known. It is not sent again.
        Unknown,
        /// The key was used with different content.
        Reused,
    }
}

/// How a claimed call ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The service responded.
    Answered(Response),
    /// It is certain that no byte was sent. The claim becomes free.
    NotSent,
    /// Bytes were sent and no complete response arrived.
    Unknown,
}

plain! {
    /// A report that a claimed call ended.
    #[derive(Eq)]
    pub struct Finish {
        /// The key of the claim.
        pub key: Key,
        /// The holder to which the claim was granted. A report of any other holder has no effect.
        pub holder: name::Request,
        /// How the call ended.
        pub end: Outcome,
    }

    /// The state of a claim.
    #[derive(Eq)]
    pub enum State {
        /// The claim is granted and bytes may have been sent.
        Running,
        /// It is certain that no byte was sent. Another holder may claim it.
        Freed,
        /// The service responded.
        Done(Response),
        /// Bytes may have been sent and no complete response arrived.
        Unknown,
    }

    /// One claim.
    #[derive(Eq)]
    pub struct Record {
        /// Digest of account, method, path and body; `None` if the call's end arrived before its
        /// claim.
        pub fingerprint: Option<request::Fingerprint>,
        /// The holder, or the last one if the claim is free.
        pub holder: name::Request,
        /// The instance of that holder; `None` if the call's end arrived before its claim.
        pub instance: Option<name::Instance>,
        /// Time of the replicated log at the last change.
        pub at: Time,
        /// The state of the claim.
        pub state: State,
    }
}

/// All claims by key, bounded by [`RETENTION`] and [`MAX_CLAIMS`].
///
/// The claims are in a map rather than a sorted list, because each
/// non-repeatable call inserts one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "Vec<(Key, Record)>", into = "Vec<(Key, Record)>")]
pub struct Table {
    records: BTreeMap<Key, Record>,
    by_age: BTreeSet<(Time, Key)>,
}

impl From<Vec<(Key, Record)>> for Table {
    fn from(list: Vec<(Key, Record)>) -> Self {
        let by_age = list.iter().map(|(k, r)| (r.at, k.clone())).collect();
        Self {
            records: list.into_iter().collect(),
            by_age,
        }
    }
}

impl From<Table> for Vec<(Key, Record)> {
    fn from(table: Table) -> Self {
        table.records.into_iter().collect()
    }
}

impl Table {
    /// Decides on a request to claim a call and records the claim if it is granted.
    ///
    /// The current holder's request is granted again when it is resent, because
    /// the first response may have been lost; the holder sends the call once.
    ///
    /// # Errors
    ///
    /// Returns [`error::Kind::ClaimUnavailable`] if the table is full and
    /// [`error::Kind::BadRequest`] for a key that is too long.
    pub fn begin(&mut self, request: &Begin, now: Time) -> Result<Decision, error::Error> {
        if request.key.key.len() > MAX_KEY_BYTES {
            return Err(error::Error::new(
                error::Kind::BadRequest,
                format!("an idempotency key has at most {MAX_KEY_BYTES} bytes"),
            ));
        }
        let decision = match self.records.get(&request.key) {
            None if self.records.len() >= MAX_CLAIMS => {
                return Err(error::Error::new(
                    error::Kind::ClaimUnavailable,
                    format!("{MAX_CLAIMS} claims are kept and none has expired"),
                ));
            }
            None => Decision::Granted,
            Some(record) => record.decide(request),
        };
        let held = self
            .records
            .get(&request.key)
            .is_some_and(|r| r.state == State::Running && r.is_held_by(request));
        if decision == Decision::Granted && !held {
            let record = Record {
                fingerprint: Some(request.fingerprint),
                holder: request.holder.clone(),
                instance: Some(request.instance.clone()),
                at: now,
                state: State::Running,
            };
            self.put(request.key.clone(), record);
        }
        Ok(decision)
    }

    /// Records the end of a call. A claim becomes free only by [`Outcome::NotSent`] from its holder.
    pub fn finish(&mut self, finish: &Finish, now: Time) {
        let state = match &finish.end {
            Outcome::Answered(answer) if answer.body.len() <= MAX_RESPONSE_BYTES => {
                State::Done(answer.clone())
            }
            Outcome::Answered(_) | Outcome::Unknown => State::Unknown,
            Outcome::NotSent => State::Freed,
        };
        let record = match self.records.get(&finish.key) {
            // The end arrived before its claim, which must no longer be granted.
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

    /// Marks the running claims of an instance that began before `before` as unknown.
    ///
    /// Returns their number.
    pub fn instance_gone(&mut self, instance: &name::Instance, before: Time, now: Time) -> usize {
        let abandoned: Vec<_> = self
            .records
            .iter()
            .filter(|(_, r)| {
                r.state == State::Running && r.instance.as_ref() == Some(instance) && r.at < before
            })
            .map(|(k, r)| (k.clone(), r.clone()))
            .collect();
        for (key, record) in &abandoned {
            let record = Record {
                at: now,
                state: State::Unknown,
                ..record.clone()
            };
            self.put(key.clone(), record);
        }
        abandoned.len()
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

    /// Returns the claim with this key.
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

    /// Removes the claims that have not changed for [`RETENTION`].
    ///
    /// A running claim is kept, because its call may have been sent.
    pub fn expire(&mut self, now: Time) {
        while let Some((at, key)) = self.by_age.first().cloned() {
            if now.since(at) < RETENTION {
                return;
            }
            self.by_age.pop_first();
            let running = |r: &Record| r.state == State::Running;
            if self.records.get(&key).is_some_and(running) {
                // Its age is checked again after another retention period.
                self.touch(key, now);
            } else {
                self.records.remove(&key);
            }
        }
    }

    /// Restarts the retention period of a claim.
    fn touch(&mut self, key: Key, now: Time) {
        if let Some(record) = self.records.get_mut(&key) {
            record.at = now;
            self.by_age.insert((now, key));
        }
    }

    fn put(&mut self, key: Key, record: Record) {
        let at = record.at;
        if let Some(old) = self.records.insert(key.clone(), record) {
            self.by_age.remove(&(old.at, key.clone()));
        }
        self.by_age.insert((at, key));
    }
}

impl Record {
    fn is_held_by(&self, request: &Begin) -> bool {
        self.holder == request.holder && self.instance.as_ref() == Some(&request.instance)
    }

    fn decide(&self, request: &Begin) -> Decision {
        let reused = self.fingerprint.is_some_and(|f| f != request.fingerprint);
        match &self.state {
            // No byte of the former content was sent, so the key may be used with another.
            State::Freed if self.holder != request.holder => Decision::Granted,
            State::Freed => Decision::InProgress,
            _ if reused => Decision::Reused,
            State::Running if self.is_held_by(request) => Decision::Granted,
            State::Running => Decision::InProgress,
            State::Done(answer) => Decision::Done(answer.clone()),
            State::Unknown => Decision::Unknown,
        }
    }
}
