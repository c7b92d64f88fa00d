//! Who may hold how much of a process's memory for request bodies and buffered responses.
//!
//! Load: clients that send many large bodies at once, most of which stop short of their end. Bodies
//! that arrive wait for room, stalled ones are ended to make it, and small ones have a part of their
//! own.

use std::sync::Arc;

use crate::time::{Span, Time};

/// Part of a machine's memory in percent that a process holds in bodies. The rest is for the
/// program, its tables, its connections and what the allocator does not reuse.
const HELD_PERCENT: u64 = 40;

/// Part of a machine's memory in percent that a process spends on its connections.
const CONNECTION_PERCENT: u64 = 30;

/// Part of a machine's memory in percent that a process holds in entries of the replicated log.
const LOG_PERCENT: u64 = 20;

/// Most bytes of entries of the replicated log in memory: sixteen of the largest configurations.
pub const MAX_LOG_BYTES: u64 = 64 * 1_024 * 1_024;

/// Part of a machine's memory in percent that a control instance holds in earlier configurations, and
/// the same again in parcels for entry instances.
const ARCHIVE_PERCENT: u64 = 6;

/// Most bytes of earlier configurations: four of the largest.
const MAX_ARCHIVE_BYTES: u64 = 16 * 1_024 * 1_024;

/// Memory of a connection in bytes: its buffer, with a head of 16 KiB and 8 KiB of a body, and the
/// state of a request.
const CONNECTION_BYTES: u64 = 32 * 1_024;

/// Memory in bytes of a machine that states no limit.
const DEFAULT_MEMORY: u64 = 4 * 1_024 * 1_024 * 1_024;

/// Largest body in bytes that uses the part for small bodies. Ordinary callers' bodies of up to
/// 72,000 bytes fit.
pub const SMALL_BYTES: u64 = 128 * 1_024;

/// Part of the room in percent for bodies that are not small, or whose size is not announced.
const LARGE_PERCENT: u64 = 50;

/// Part of the room in percent for all bodies. The rest is for responses, of which a request that
/// has run must not be deprived.
const BODY_PERCENT: u64 = 75;

/// Part of the room in percent that only responses of up to [`SMALL_BYTES`] use.
const SMALL_RESPONSE_PERCENT: u64 = 10;

/// Part of the room for large bodies in percent that one source may hold in several bodies.
const SOURCE_PERCENT: u64 = 50;

/// Time without a byte after which a body may be ended for lack of room: half the time in which
/// callers expect their request to be read.
const STALL: Span = Span::from_millis(500);

/// Age from which an unfinished body may be ended for lack of room even if it still arrives slowly.
/// A network that loses a packet twice delays a body by less.
const SLOW: Span = Span::from_millis(2_000);

/// Longest time that a body waits for room. Callers give up when their request is not read for so
/// long.
const MAX_WAIT: Span = Span::from_millis(1_000);

/// Bodies that wait for room at a time. What the operating system has received for each of them is
/// memory of the machine too.
const MAX_WAITING: usize = 32;

/// Identity of a body.
pub type Id = u64;

/// Whether a body may hold more memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It holds the memory now.
    Granted,
    /// It may ask again when something is released; this body is to be ended for it.
    Wait(Option<Id>),
    /// It is given up: there is no room in time.
    Refused,
}

/// A body that is held in memory.
#[derive(Clone, Debug)]
struct Body {
    id: Id,
    source: Arc<str>,
    is_small: bool,
    held: u64,
    opened_at: Time,
    progressed_at: Time,
    waits_since: Option<Time>,
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Arriving,
    /// Has been read to its end.
    Complete,
    /// Is to be released for lack of room.
    Ending,
}

/// Returns the maximum number of clients' connections on a machine with these limits in bytes and
/// descriptors. Half of the descriptors are for connections to upstreams and other processes.
#[must_use]
pub fn max_connections(memory: Option<u64>, descriptors: Option<u64>) -> usize {
    let memory = memory.unwrap_or(DEFAULT_MEMORY);
    let by_memory = percent_of(memory, CONNECTION_PERCENT) / CONNECTION_BYTES;
    let by_descriptors = descriptors.map(|d| d / 2);
    let most = by_descriptors.map_or(by_memory, |d| d.min(by_memory));
    usize::try_from(most.max(1)).unwrap_or(usize::MAX)
}

/// Returns the maximum number of connections of other processes of the system with these limits: half
/// as many as of clients. A control instance has one of each entry instance that polls it, and an
/// entry instance one for each request that is handed over to it.
#[must_use]
pub fn max_peer_connections(memory: Option<u64>, descriptors: Option<u64>) -> usize {
    (max_connections(memory, descriptors) / 2).max(1)
}

/// Returns the number of bytes that a process on a machine with that memory in bytes holds in entries
/// of the replicated log.
#[must_use]
pub fn log_bytes(memory: Option<u64>) -> u64 {
    percent_of(memory.unwrap_or(DEFAULT_MEMORY), LOG_PERCENT).min(MAX_LOG_BYTES)
}

/// Returns the number of bytes that a control instance with that memory in bytes holds in earlier
/// configurations.
#[must_use]
pub fn archive_bytes(memory: Option<u64>) -> u64 {
    percent_of(memory.unwrap_or(DEFAULT_MEMORY), ARCHIVE_PERCENT).min(MAX_ARCHIVE_BYTES)
}

const fn percent_of(bytes: u64, percent: u64) -> u64 {
    bytes.saturating_mul(percent) / 100
}

/// Counts the memory that a process holds in bodies.
#[derive(Clone, Debug)]
pub struct Ledger {
    /// Room in bytes.
    room: u64,
    /// Sorted by identity.
    bodies: Vec<Body>,
    next: Id,
    /// Bytes in bodies.
    in_bodies: u64,
    /// Bytes in large bodies.
    in_large: u64,
    /// Bytes in responses.
    in_responses: u64,
}

impl Ledger {
    /// Creates the ledger of a process on a machine with that memory in bytes.
    #[must_use]
    pub fn new(memory: Option<u64>) -> Self {
        Self {
            room: percent_of(memory.unwrap_or(DEFAULT_MEMORY), HELD_PERCENT),
            bodies: Vec::new(),
            next: 0,
            in_bodies: 0,
            in_large: 0,
            in_responses: 0,
        }
    }

    /// Returns the number of bytes that are held.
    #[must_use]
    pub const fn held(&self) -> u64 {
        self.in_bodies + self.in_responses
    }

    /// Records a body that begins to arrive. `announced` is its announced size in bytes.
    pub fn open(&mut self, source: Arc<str>, announced: Option<u64>, now: Time) -> Id {
        let id = self.next;
        self.next += 1;
        self.bodies.push(Body {
            id,
            source,
            is_small: announced.is_some_and(|size| size <= SMALL_BYTES),
            held: 0,
            opened_at: now,
            progressed_at: now,
            waits_since: None,
            state: State::Arriving,
        });
        id
    }

    fn at(&self, id: Id) -> Option<usize> {
        self.bodies.binary_search_by_key(&id, |b| b.id).ok()
    }

    /// Records that bytes of a body have arrived.
    pub fn progress(&mut self, id: Id, now: Time) {
        if let Some(at) = self.at(id) {
            self.bodies[at].progressed_at = now;
        }
    }

    /// Decides whether a body may hold `bytes` in all.
    pub fn grow(&mut self, id: Id, bytes: u64, now: Time) -> Decision {
        let Some(at) = self.at(id) else {
            return Decision::Refused;
        };
        let body = &self.bodies[at];
        if body.state == State::Ending {
            return Decision::Refused;
        }
        let more = bytes.saturating_sub(body.held);
        let is_over_share = !body.is_small && self.is_over_share(body, more);
        if !is_over_share && self.fits(body.is_small, more) {
            self.hold(at, bytes);
            let body = &mut self.bodies[at];
            (body.progressed_at, body.waits_since) = (now, None);
            return Decision::Granted;
        }
        let since = body.waits_since;
        let is_last = since.is_some_and(|since| now.since(since) >= MAX_WAIT);
        if is_last || (since.is_none() && self.waiting() >= MAX_WAITING) {
            return Decision::Refused;
        }
        let source = is_over_share.then(|| body.source.clone());
        // Small bodies take nothing of the room for large ones, nor of a source's share of it.
        let is_large_only = !body.is_small && (is_over_share || self.fits(true, more));
        self.bodies[at].waits_since = Some(since.unwrap_or(now));
        Decision::Wait(self.end_largest(source.as_deref(), 1, is_large_only, now))
    }

    /// Returns whether the source of `body` would hold more than its share. A body that is the only
    /// one of its source may use all the room for large bodies.
    fn is_over_share(&self, body: &Body, more: u64) -> bool {
        let others = self.bodies.iter();
        let others = others.filter(|b| b.id != body.id && !b.is_small && b.source == body.source);
        let others: u64 = others.map(|b| b.held).sum();
        let share = percent_of(percent_of(self.room, LARGE_PERCENT), SOURCE_PERCENT);
        others > 0 && others + body.held + more > share
    }

    const fn fits(&self, is_small: bool, more: u64) -> bool {
        let large = percent_of(self.room, LARGE_PERCENT);
        let bodies = percent_of(self.room, BODY_PERCENT);
        (is_small || self.in_large + more <= large)
            && self.in_bodies + more <= bodies
            && self.held() + more <= self.room
    }

    /// Sets what a body holds.
    fn hold(&mut self, at: usize, bytes: u64) {
        let body = &mut self.bodies[at];
        let before = std::mem::replace(&mut body.held, bytes);
        self.in_bodies = self.in_bodies - before + bytes;
        if !body.is_small {
            self.in_large = self.in_large - before + bytes;
        }
    }

    fn waiting(&self) -> usize {
        let waiting = self.bodies.iter().filter(|b| b.waits_since.is_some());
        waiting.count()
    }

    /// Marks the largest unfinished body that has stalled as one to end, for its connection. The
    /// caller ends it.
    pub fn end_stalled(&mut self, now: Time) -> Option<Id> {
        self.end_largest(None, 0, false, now)
    }

    /// Marks the largest of the unfinished bodies that have stalled, or the oldest of several, as
    /// one to end. It holds `min_held` bytes or more, is of `source` if there is one, and a large one
    /// if `is_large_only`.
    fn end_largest(
        &mut self,
        source: Option<&str>,
        min_held: u64,
        is_large_only: bool,
        now: Time,
    ) -> Option<Id> {
        if self.bodies.iter().any(|b| b.state == State::Ending) {
            // Its memory is about to be released.
            return None;
        }
        let stalled = self.bodies.iter_mut().filter(|b| {
            b.state == State::Arriving
                && b.waits_since.is_none()
                && b.held >= min_held
                && !(is_large_only && b.is_small)
                && source.is_none_or(|s| *b.source == *s)
                && (now.since(b.progressed_at) >= STALL || now.since(b.opened_at) >= SLOW)
        });
        let body = stalled.max_by_key(|b| (b.held, std::cmp::Reverse(b.id)))?;
        body.state = State::Ending;
        Some(body.id)
    }

    /// Records that a body has released a part and holds `bytes`.
    pub fn shrink(&mut self, id: Id, bytes: u64) {
        if let Some(at) = self.at(id) {
            self.hold(at, bytes);
        }
    }

    /// Records that a body has been read to its end.
    pub fn complete(&mut self, id: Id) {
        if let Some(at) = self.at(id) {
            self.bodies[at].state = State::Complete;
        }
    }

    /// Releases a body.
    pub fn close(&mut self, id: Id) {
        if let Some(at) = self.at(id) {
            self.hold(at, 0);
            self.bodies.remove(at);
        }
    }

    /// Returns whether bytes of responses may be held, and counts them if so.
    pub const fn hold_response(&mut self, bytes: u64) -> bool {
        let fits = self.held() + bytes <= self.room;
        if fits {
            self.in_responses += bytes;
        }
        fits
    }

    /// Does the same for a response that is not small, which leaves a part of the room to small ones.
    pub const fn hold_large_response(&mut self, bytes: u64) -> bool {
        let reserve = percent_of(self.room, SMALL_RESPONSE_PERCENT);
        self.held() + bytes + reserve <= self.room && self.hold_response(bytes)
    }

    /// Releases bytes of responses.
    pub const fn release_response(&mut self, bytes: u64) {
        self.in_responses -= bytes;
    }
}
