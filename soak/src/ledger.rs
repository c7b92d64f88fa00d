//! What callers, upstreams and operators have seen, in milliseconds since the start of the run.

use std::collections::BTreeMap;

use masticlock_platform::testing::{Fields, Kind};
use tokio::time::Instant;

/// A part of the system that faults strike.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// A control instance.
    Control(usize),
    /// An entry instance or the connections to it.
    Entry(usize),
    /// An upstream or the connections to it.
    Upstream(usize),
}

/// How a caller's request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// A whole answer with this status.
    Status(u16),
    /// The connection ended before the answer was whole.
    Cut,
    /// No whole answer came in time.
    Silent,
    /// The caller has left before the answer was whole.
    Left,
}

/// A run of a request at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Run {
    /// The upstream.
    pub upstream: usize,
    /// When it began.
    pub at: u64,
}

/// A caller's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Kind of its route.
    pub kind: Kind,
    /// Name of its route.
    pub route: String,
    /// Client account.
    pub account: &'static str,
    /// Key.
    pub key: String,
    /// Body.
    pub body: String,
    /// Entry instance that it was sent to.
    pub entry: usize,
    /// When its last byte was sent.
    pub sent: u64,
    /// Runs at upstreams.
    pub runs: Vec<Run>,
    /// When and how it ended.
    pub end: Option<(u64, End)>,
}

/// A span of time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    /// Its start.
    pub from: u64,
    /// Its end, if it has ended.
    pub to: Option<u64>,
}

impl Span {
    /// Returns whether it has a moment in common with `from` to `to`.
    #[must_use]
    pub fn meets(&self, from: u64, to: u64) -> bool {
        self.from <= to && self.to.is_none_or(|end| end >= from)
    }
}

/// A fact that holds from its confirmation until it is taken back.
#[derive(Clone, Debug)]
pub struct Fact {
    /// What it is about.
    pub name: String,
    /// From the confirmation to the moment before it is taken back.
    pub span: Span,
}

/// A word of an upstream to one entry instance, for as long as it holds.
#[derive(Clone, Copy, Debug)]
pub struct Word {
    /// The entry instance that got it.
    pub entry: usize,
    /// The upstream.
    pub upstream: usize,
    /// From the answer with the word to its end.
    pub span: Span,
}

/// A limit that an upstream has stated.
#[derive(Clone, Debug)]
pub struct Limit {
    /// The upstream.
    pub upstream: usize,
    /// Thousandths of a request per second.
    pub milli: u64,
    /// From the first answer with the limit to the first one without it.
    pub span: Span,
    /// Entry instances that got an answer with the limit, and when they got the first.
    pub told: Vec<(usize, u64)>,
}

/// A request that an upstream turned away.
#[derive(Clone, Copy, Debug)]
pub struct Refused {
    /// The entry instance that sent it.
    pub entry: usize,
    /// The upstream.
    pub upstream: usize,
    /// When it arrived.
    pub at: u64,
}

/// A read of the configuration.
#[derive(Clone, Copy, Debug)]
pub struct Read {
    /// When it was sent.
    pub sent: u64,
    /// The number that was read.
    pub revision: u64,
}

/// A time in which an upstream says how many requests it can reject in a second.
#[derive(Clone, Debug)]
pub struct Brittle {
    /// The upstream.
    pub upstream: usize,
    /// Rejections in a second.
    pub rejects: u64,
    /// From the first answer that says so to the end.
    pub span: Span,
    /// Rejections: the entry instance that sent the request, and when.
    pub rejected: Vec<(usize, u64)>,
}

/// A run of a request with a part that crashes upstreams.
#[derive(Clone, Copy, Debug)]
pub struct Poisoned {
    /// The entry instance that sent it.
    pub entry: usize,
    /// When it arrived.
    pub at: u64,
    /// When it crashed the upstream, if it did.
    pub crashed: Option<u64>,
}

/// Everything that was seen.
#[derive(Debug)]
pub struct Ledger {
    start: Instant,
    /// Requests by identity.
    pub requests: BTreeMap<String, Request>,
    /// When which part was disturbed, except for orderly stops.
    pub disturbed: Vec<(Part, Span)>,
    /// Orderly stops of entry instances, until they are ready again.
    pub stops: Vec<(usize, Span)>,
    /// Cold starts of upstreams.
    pub cold: Vec<(usize, Span)>,
    /// Upstreams that have said that they leave.
    pub left: Vec<(usize, Span)>,
    /// First words of upstreams to entry instances that they leave.
    pub departures: Vec<Word>,
    /// Words of upstreams to entry instances that they want no requests.
    pub quiet: Vec<Word>,
    /// Limits that upstreams have stated.
    pub limits: Vec<Limit>,
    /// Requests that upstreams turned away while they wanted none.
    pub refused: Vec<Refused>,
    /// Runs of requests with a part that crashes upstreams, by the number of the part.
    pub poisoned: Vec<(u64, Poisoned)>,
    /// Times in which upstreams can reject few requests.
    pub brittle: Vec<Brittle>,
    /// Failure domains that are taken out.
    pub taken_out: Vec<Fact>,
    /// Keys that were taken away.
    pub revoked: Vec<Fact>,
    /// Routes that were added.
    pub added: Vec<Fact>,
    /// Routes that were dropped.
    pub dropped: Vec<Fact>,
    /// Configurations that were confirmed, with their numbers.
    pub confirmed: Vec<(u64, u64)>,
    /// Reads of the configuration.
    pub reads: Vec<Read>,
    /// When the last fault's processes had started again.
    pub recovered: Option<u64>,
    /// Promises that were seen to be broken at once.
    pub broken: Vec<String>,
}

impl Default for Ledger {
    fn default() -> Self {
        Self {
            brittle: Vec::new(),
            poisoned: Vec::new(),
            start: Instant::now(),
            requests: BTreeMap::new(),
            disturbed: Vec::new(),
            stops: Vec::new(),
            cold: Vec::new(),
            left: Vec::new(),
            departures: Vec::new(),
            quiet: Vec::new(),
            limits: Vec::new(),
            refused: Vec::new(),
            taken_out: Vec::new(),
            revoked: Vec::new(),
            added: Vec::new(),
            dropped: Vec::new(),
            confirmed: Vec::new(),
            reads: Vec::new(),
            recovered: None,
            broken: Vec::new(),
        }
    }
}

impl Ledger {
    /// Returns the time.
    #[must_use]
    pub fn now(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Records a promise that is broken.
    pub fn break_promise(&mut self, promise: &str, what: &str) {
        let now = self.now();
        self.broken.push(format!("{promise}: {what}, at {now} ms"));
    }

    /// Records that a part is disturbed from now on, and returns the record's number.
    pub fn disturb(&mut self, part: Part) -> usize {
        let from = self.now();
        self.disturbed.push((part, Span { from, to: None }));
        self.disturbed.len() - 1
    }

    /// Records the end of a disturbance.
    pub fn calm(&mut self, record: usize) {
        let now = self.now();
        self.disturbed[record].1.to = Some(now);
    }

    /// Returns whether a part was disturbed at some moment of a span of time.
    #[must_use]
    pub fn is_disturbed(&self, part: Part, from: u64, to: u64) -> bool {
        let mut of_part = self.disturbed.iter().filter(|(p, _)| *p == part);
        of_part.any(|(_, span)| span.meets(from, to))
    }

    /// Records a run at an upstream with what reached it, and returns the request's number of
    /// runs, or nothing if no caller has sent it.
    pub fn run(&mut self, upstream: usize, path: &str, fields: &Fields, body: &str) -> Option<u64> {
        let at = self.now();
        let id = fields.id.clone().unwrap_or_default();
        let Some(request) = self.requests.get_mut(&id) else {
            self.break_promise(
                "unasked",
                &format!("request {id:?} runs, which nobody sent"),
            );
            return None;
        };
        request.runs.push(Run { upstream, at });
        let number = request.runs.len() as u64;
        let sent = format!("/{}/", request.route);
        let whole = request.body == body && path == sent;
        let account = fields.account.as_deref() == Some(request.account);
        if !whole {
            self.break_promise(
                "unasked",
                &format!("request {id} runs with another content"),
            );
        }
        if !account || fields.key.is_some() {
            self.break_promise("account", &format!("request {id} runs for {fields:?}"));
        }
        Some(number)
    }

    /// Records that an upstream tells the entry instance of a request that it leaves.
    pub fn depart(&mut self, upstream: usize, id: &str) {
        let span = Span {
            from: self.now(),
            to: None,
        };
        let Some(entry) = self.requests.get(id).map(|r| r.entry) else {
            return;
        };
        let told = |w: &Word| w.entry == entry && w.upstream == upstream && w.span.to.is_none();
        if !self.departures.iter().any(told) {
            self.departures.push(Word {
                entry,
                upstream,
                span,
            });
        }
    }

    /// Records the end of an upstream that has said that it leaves.
    pub fn end_departure(&mut self, upstream: usize) {
        let to = Some(self.now());
        let words = self.departures.iter_mut();
        for word in words.filter(|w| w.upstream == upstream && w.span.to.is_none()) {
            word.span.to = to;
        }
    }

    /// Records that an upstream turns a request away and wants no others for some milliseconds.
    pub fn refuse(&mut self, upstream: usize, id: &str, quiet_ms: u64) {
        let at = self.now();
        let Some(entry) = self.requests.get(id).map(|r| r.entry) else {
            return;
        };
        self.refused.push(Refused {
            entry,
            upstream,
            at,
        });
        self.quiet.push(Word {
            entry,
            upstream,
            span: Span {
                from: at,
                to: Some(at + quiet_ms),
            },
        });
    }

    /// Records that an upstream states a limit to the entry instance of a request.
    pub fn limit(&mut self, upstream: usize, id: &str, milli: u64) {
        let now = self.now();
        let Some(entry) = self.requests.get(id).map(|r| r.entry) else {
            return;
        };
        let is_open = |l: &&mut Limit| l.upstream == upstream && l.span.to.is_none();
        let open = self.limits.iter_mut().find(is_open);
        if let Some(limit) = open {
            if limit.told.iter().all(|(e, _)| *e != entry) {
                limit.told.push((entry, now));
            }
            return;
        }
        self.limits.push(Limit {
            upstream,
            milli,
            span: Span {
                from: now,
                to: None,
            },
            told: vec![(entry, now)],
        });
    }

    /// Records that an upstream has no limit any more.
    pub fn end_limit(&mut self, upstream: usize) {
        let to = Some(self.now());
        let limits = self.limits.iter_mut();
        for limit in limits.filter(|l| l.upstream == upstream && l.span.to.is_none()) {
            limit.span.to = to;
        }
    }

    /// Records that an upstream says how many requests it can reject in a second, and whether it
    /// rejects the request of the answer.
    pub fn say_brittle(&mut self, upstream: usize, id: &str, rejects: u64, is_rejected: bool) {
        let at = self.now();
        let entry = self.requests.get(id).map_or(0, |r| r.entry);
        let is_open = |b: &Brittle| b.upstream == upstream && b.span.to.is_none();
        if !self.brittle.iter().any(is_open) {
            self.brittle.push(Brittle {
                upstream,
                rejects,
                span: Span { from: at, to: None },
                rejected: Vec::new(),
            });
        }
        let open = self.brittle.iter_mut().find(|b| is_open(b));
        if let Some(open) = open.filter(|_| is_rejected) {
            open.rejected.push((entry, at));
        }
    }

    /// Records that an upstream can reject any number of requests again.
    pub fn end_brittle(&mut self, upstream: usize) {
        let to = Some(self.now());
        let spans = self.brittle.iter_mut();
        for known in spans.filter(|b| b.upstream == upstream && b.span.to.is_none()) {
            known.span.to = to;
        }
    }

    /// Records that a request with a part that crashes upstreams arrives, and returns its number.
    pub fn poison(&mut self, part: u64, id: &str) -> usize {
        let at = self.now();
        let entry = self.requests.get(id).map_or(0, |r| r.entry);
        let poisoned = Poisoned {
            entry,
            at,
            crashed: None,
        };
        self.poisoned.push((part, poisoned));
        self.poisoned.len() - 1
    }

    /// Records how a request ended.
    pub fn end(&mut self, id: &str, end: End) {
        let now = self.now();
        if let Some(request) = self.requests.get_mut(id) {
            request.end = Some((now, end));
        }
    }
}
