//! Expectation of what upstreams hold of prompts.
//!
//! An upstream keeps the parts of the prompts that it has processed until its memory is needed for
//! others, least recently used ones first. It does not report them with its answers, so an entry
//! instance infers them: the prompt of a request that has begun to be answered is held by its
//! upstream, until about as many other tokens have passed through the memory as it has room for. A
//! later incarnation holds nothing.

use std::sync::Arc;

use crate::{
    digest,
    time::{Span, Time},
};

/// Maximum number of records, each of 32 bytes. At a few chains a request and ten requests per
/// second of one instance, they cover minutes, and a memory is replaced in less.
const MAX_RECORDS: usize = 8_192;

/// Time constant of the exponential decay of the token rates: several times the time between two
/// requests of one instance.
const RATE_DECAY: Span = Span::from_secs(10);

/// Relative error of the estimated time after which an unused part is evicted. A part is held with
/// certainty until this fraction before it, and not at all this fraction after it.
const LIFETIME_ERROR: f64 = 0.5;

/// The beginning of a prompt up to the end of one of its parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prefix {
    /// Digest of the model and of all parts in order.
    pub digest: u64,
    /// Tokens of the last of these parts.
    pub tokens: u64,
}

/// Returns the prefixes of a prompt, the shortest first.
///
/// An upstream holds a part only for the same model and after the same parts, so the digest covers
/// all of them.
pub fn prefixes(model: u64, parts: &[(u64, u64)]) -> impl Iterator<Item = Prefix> {
    parts.iter().scan(digest::mix(model), |chain, part| {
        *chain = digest::mix(*chain ^ part.0);
        Some(Prefix {
            digest: *chain,
            tokens: part.1,
        })
    })
}

/// Returns the number that identifies an incarnation of an upstream in the records.
#[must_use]
pub fn holder(upstream: &str, incarnation: u64) -> u64 {
    digest::mix(digest::of(upstream.as_bytes()) ^ digest::mix(incarnation))
}

/// The use of a prefix at an upstream by this instance.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Record {
    prefix: u64,
    holder: u64,
    used_at: Time,
    /// Uses without an interruption after which it was probably evicted.
    uses: u32,
}

/// Tokens that this instance has caused upstreams of a service to process, decayed by age.
#[derive(Clone, Debug, PartialEq)]
struct Rate {
    service: Arc<str>,
    tokens: f64,
    at: Time,
}

/// What this instance has observed of the prompts that upstreams hold.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Store {
    /// Sorted by prefix and holder.
    records: Vec<Record>,
    /// Sorted by service.
    rates: Vec<Rate>,
}

impl Store {
    /// Records that an upstream has processed a prompt. `lifetime` is the estimated time until it
    /// evicts an unused part.
    pub fn record<I>(&mut self, prefixes: I, holder: u64, lifetime: Span, now: Time)
    where
        I: IntoIterator<Item = Prefix>,
    {
        for prefix in prefixes {
            match self.find(prefix.digest, holder) {
                Ok(at) => {
                    let record = &mut self.records[at];
                    let was_held = certainty(now.since(record.used_at), lifetime) > 0.0;
                    record.uses = if was_held { record.uses + 1 } else { 1 };
                    record.used_at = now;
                }
                Err(at) => {
                    let record = Record {
                        prefix: prefix.digest,
                        holder,
                        used_at: now,
                        uses: 1,
                    };
                    self.records.insert(at, record);
                }
            }
        }
        if self.records.len() > MAX_RECORDS {
            self.discard_oldest();
        }
    }

    /// Records that a request has caused an upstream of a service to process these tokens, those of
    /// its answer included and those that it held left out.
    pub fn record_passage(&mut self, service: &Arc<str>, tokens: f64, now: Time) {
        let found = self.rates.binary_search_by(|r| r.service.cmp(service));
        let at = found.unwrap_or_else(|at| {
            let unknown = Rate {
                service: service.clone(),
                tokens: 0.0,
                at: now,
            };
            self.rates.insert(at, unknown);
            at
        });
        let rate = &mut self.rates[at];
        rate.tokens = rate.tokens * decay(now.since(rate.at)) + tokens;
        rate.at = now;
    }

    /// Returns the tokens per millisecond that this instance causes the upstreams of a service to
    /// process.
    #[must_use]
    #[expect(clippy::cast_precision_loss)]
    pub fn rate(&self, service: &str, now: Time) -> f64 {
        let found = self.rates.binary_search_by(|r| (*r.service).cmp(service));
        found.map_or(0.0, |at| {
            let rate = &self.rates[at];
            rate.tokens * decay(now.since(rate.at)) / RATE_DECAY.as_millis() as f64
        })
    }

    /// Returns how certain it is, from 0 to 1, that an upstream holds a prefix by the requests that
    /// this instance has sent there.
    #[must_use]
    pub fn certainty(&self, prefix: u64, holder: u64, lifetime: Span, now: Time) -> f64 {
        let found = self.find(prefix, holder);
        found.map_or(0.0, |at| {
            certainty(now.since(self.records[at].used_at), lifetime)
        })
    }

    /// Returns how certain it is, from 0 to 1, that an upstream to which this instance has not sent
    /// a prefix holds it because other instances have.
    ///
    /// The requests of this instance are a sample of those of all `instances`. The share of them
    /// that went to an upstream which no other one reached estimates the share that goes to unseen
    /// upstreams (I. J. Good, 1953). A prefix at a single upstream is no evidence for others.
    #[must_use]
    #[expect(clippy::cast_precision_loss)]
    pub fn spread(
        &self,
        prefix: u64,
        upstreams: usize,
        instances: usize,
        lifetime: Span,
        now: Time,
    ) -> f64 {
        let first = self.records.partition_point(|r| r.prefix < prefix);
        let of_prefix = self.records[first..].iter();
        let of_prefix = of_prefix.take_while(|r| r.prefix == prefix);
        let held = of_prefix.filter(|r| certainty(now.since(r.used_at), lifetime) > 0.0);
        let (mut seen, mut once) = (0_usize, 0_usize);
        for record in held {
            seen += 1;
            once += usize::from(record.uses == 1);
        }
        let unseen = upstreams.saturating_sub(seen).max(1) as f64;
        let uses = once.saturating_sub(1) as f64 * instances as f64;
        1.0 - (-uses / unseen).exp()
    }

    /// Returns the number of records.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there is no record.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn find(&self, prefix: u64, holder: u64) -> Result<usize, usize> {
        self.records
            .binary_search_by_key(&(prefix, holder), |r| (r.prefix, r.holder))
    }

    /// Discards the half of the records that were used least recently.
    fn discard_oldest(&mut self) {
        let mut times: Vec<Time> = self.records.iter().map(|r| r.used_at).collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.records.retain(|r| r.used_at > median);
    }
}

/// Returns how certain it is that a part is held that was last used this long ago.
#[expect(clippy::cast_precision_loss)]
fn certainty(age: Span, lifetime: Span) -> f64 {
    let age = age.as_millis() as f64 / lifetime.as_millis().max(1) as f64;
    ((1.0 + LIFETIME_ERROR - age) / (2.0 * LIFETIME_ERROR)).clamp(0.0, 1.0)
}

#[expect(clippy::cast_precision_loss)]
fn decay(age: Span) -> f64 {
    (-(age.as_millis() as f64) / RATE_DECAY.as_millis() as f64).exp()
}
