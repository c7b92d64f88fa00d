//! Choice of an upstream by what it holds of a prompt, weighed against the wait there.
//!
//! The load pattern: many entry instances, each of which sees one or two percent of the requests,
//! and prompts that share long parts. An upstream that holds these parts answers sooner unless
//! other requests are ahead. A bound on the number of requests alone moves a prompt away from them
//! whenever a few requests happen to coincide, and each move costs another prefill.
//!
//! All instances rank the upstreams alike by a hash of the deepest shared part, so the rank tells
//! what an upstream holds from the requests of other instances, without messages.

use super::{MIN_LOCAL_UPSTREAMS, Pool, Upstream};
use crate::{
    digest,
    placement::{Criteria, GLOBAL_PREFIX_TOKENS},
    prompt_cache::{self, Prefix},
    time::{Span, Time},
};

/// Factor on the mean load up to which an upstream is preferred over the next one in hash order.
const LOAD_FACTOR: f64 = 1.25;

/// Load that is always allowed in addition to [`LOAD_FACTOR`] times the mean, in requests.
const LOAD_SLACK: f64 = 3.0;

/// Number of entry instances from which prompts are weighed against the wait.
///
/// Below it, an instance sends a sixteenth of the requests or more itself. It then knows enough of
/// the load at once for the bound on the load to be accurate.
const MIN_INSTANCES: usize = 16;

/// Number of upstreams in hash order among which a request is placed while one of them is within
/// the load bound.
///
/// Two choices remove most of the imbalance of one (M. Mitzenmacher, 2001), and each further one is
/// another upstream that has to process the same parts. It also bounds how many prompts an upstream
/// with little load attracts, so that old load reports send no herd there.
const GROUP: usize = 2;

/// Certainty that an upstream holds a shared part that other instances may have sent there, by its
/// rank in hash order. The next one gets the prompts for which the wait at the first is too long.
const RANK_CERTAINTY: [f64; 3] = [0.9, 0.3, 0.1];

/// Certainty from which an upstream outside of the group is a candidate for what it holds.
const MIN_CERTAINTY: f64 = 0.5;

/// Fraction of the cost up to which a difference is left to the hash order. The estimates are not
/// more accurate, and other instances with slightly different loads decide alike.
const TIE_FRACTION: f64 = 0.1;

/// Age of the loads of other instances: the interval of the reports. Prefill that takes less time
/// is over.
const REPORT_AGE_MS: f64 = 200.0;

/// Time that a request to another failure domain takes longer: a round trip for a new connection and
/// one for the request, at half a millisecond one way.
const LINK_MS: f64 = 2.0;

/// The prompt of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prompt<'a> {
    /// Digest of the model.
    pub model: u64,
    /// Digest and tokens of the parts in order. The last one is not shared with other prompts.
    pub parts: &'a [(u64, u64)],
    /// Prefill time of a token relative to that of the largest model, as in the demand.
    pub prefill_weight: f64,
    /// Observed milliseconds of prefill per weighted token; 0 if nothing was observed.
    pub token_ms: f64,
}

impl Prompt<'_> {
    /// The prompt of a request to a plain service.
    pub const EMPTY: Prompt<'static> = Prompt {
        model: 0,
        parts: &[],
        prefill_weight: 1.0,
        token_ms: 0.0,
    };
}

/// What a request is expected to meet at an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Expectation {
    /// Prompt tokens that the upstream holds.
    pub held_tokens: f64,
    /// Prompt tokens that other requests may share.
    pub shared_tokens: f64,
    /// Milliseconds of prefill that these save.
    pub saved_ms: f64,
    /// Milliseconds of delay by other requests.
    pub wait_ms: f64,
    /// Milliseconds of delay of this and of later requests, including the prefill.
    cost_ms: f64,
}

impl Expectation {
    /// Returns whether the upstream is expected to hold more than half of the shared tokens.
    #[must_use]
    pub fn is_held(&self) -> bool {
        self.held_tokens * 2.0 > self.shared_tokens
    }
}

/// A request whose candidates are compared.
struct Weighing<'a> {
    pool: &'a Pool,
    criteria: &'a Criteria<'a>,
    now: Time,
    prefixes: Vec<Prefix>,
    affinity: u64,
    /// Hash rank and failure domain of the upstreams that accept requests.
    ready: Vec<(u64, &'a str)>,
    /// Tokens that pass through an upstream per millisecond.
    rate: f64,
}

impl Pool {
    /// Chooses among the candidates for a prompt with this affinity key.
    pub(super) fn choose_by_affinity<'a>(
        &self,
        candidates: &[&'a Upstream],
        criteria: &Criteria<'_>,
        affinity: u64,
        now: Time,
    ) -> Option<&'a Upstream> {
        let order = hash_order(candidates, affinity);
        let bound = load_bound(candidates, &self.domain);
        if !self.is_weighed(criteria) {
            let within = order.iter().find(|u| u.load_score() <= bound);
            return within.or_else(|| order.first()).copied();
        }
        let weighing = Weighing::new(self, criteria, affinity, now);
        let mut group = GROUP.min(order.len());
        while group < order.len() && order[..group].iter().all(|u| u.load_score() > bound) {
            group = (group * 2).min(order.len());
        }
        let (group, rest) = order.split_at(group);
        let holders = rest.iter().filter(|u| weighing.has_held(u));
        let costs: Vec<_> = group
            .iter()
            .chain(holders)
            .map(|u| (*u, weighing.expect(u).cost_ms))
            .collect();
        let lowest = costs.iter().map(|(_, cost)| *cost).min_by(f64::total_cmp)?;
        let limit = lowest + (lowest + weighing.prefill_ms()) * TIE_FRACTION;
        let chosen = costs.iter().find(|(_, cost)| *cost <= limit);
        chosen.map(|(upstream, _)| *upstream)
    }

    /// Returns whether what upstreams hold of a prompt is weighed against the wait.
    ///
    /// It takes engines with a memory, prompts with shared parts, an observed prefill rate, and so
    /// many entry instances that none knows the load at once. Such an upstream may then have a short
    /// queue: if only those with a slot free in the last reports were candidates, all instances would
    /// send to the same few when nearly all slots are taken.
    fn is_weighed(&self, criteria: &Criteria<'_>) -> bool {
        criteria.prompt.parts.len() > 1 && self.has_weighed(criteria)
    }

    /// Returns whether prompts of the request's service are weighed if they have shared parts. All
    /// requests of the service see the same room, so that none is passed by others for good.
    pub(super) fn has_weighed(&self, criteria: &Criteria<'_>) -> bool {
        criteria.memory_tokens > 0
            && criteria.prompt.token_ms > 0.0
            && self.instances() >= MIN_INSTANCES
    }

    /// Returns what a request meets at an upstream, or `None` if that is not weighed.
    #[must_use]
    pub fn expectation(
        &self,
        upstream: &str,
        criteria: &Criteria<'_>,
        now: Time,
    ) -> Option<Expectation> {
        let affinity = criteria.affinity.filter(|_| self.is_weighed(criteria))?;
        let upstream = &self.upstreams[self.find(upstream)?];
        Some(Weighing::new(self, criteria, affinity, now).expect(upstream))
    }

    /// Records that an upstream has begun to answer, so that it holds the prompt.
    pub fn record_prompt(
        &mut self,
        upstream: &str,
        incarnation: u64,
        criteria: &Criteria<'_>,
        now: Time,
    ) {
        let Some(at) = self.find(upstream) else {
            return;
        };
        let service = self.upstreams[at].entry.announcement.service.clone();
        let weighing = Weighing::new(self, criteria, criteria.affinity.unwrap_or_default(), now);
        let known = &self.upstreams[at];
        #[expect(clippy::cast_precision_loss)]
        let passed = criteria.tokens as f64 - weighing.held_tokens(known);
        let prefixes = weighing.prefixes;
        let holder = prompt_cache::holder(upstream, incarnation);
        self.prompts.record(prefixes, holder, now);
        self.prompts.record_passage(&service, passed.max(0.0), now);
    }
}

impl<'a> Weighing<'a> {
    fn new(pool: &'a Pool, criteria: &'a Criteria<'a>, affinity: u64, now: Time) -> Self {
        let of_service = pool
            .upstreams
            .iter()
            .filter(|u| &*u.entry.announcement.service == criteria.service && u.is_ready());
        let ready: Vec<_> = of_service
            .map(|u| (hash_rank(u, affinity), &*u.entry.announcement.domain))
            .collect();
        let prompt = &criteria.prompt;
        #[expect(clippy::cast_precision_loss)]
        let rate = pool.prompts.rate(criteria.service, now) * pool.instances() as f64
            / ready.len().max(1) as f64;
        Self {
            pool,
            criteria,
            now,
            prefixes: prompt_cache::prefixes(prompt.model, prompt.parts).collect(),
            affinity,
            ready,
            rate,
        }
    }

    /// Returns the time in which as many tokens pass through an upstream as fit into this part of
    /// its memory.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    fn lifetime_of(&self, tokens: u64) -> Span {
        let millis = tokens as f64 / self.rate.max(f64::MIN_POSITIVE);
        // A conversion of a larger number saturates.
        Span::from_millis((millis as u64).min(u64::from(u32::MAX)))
    }

    /// Returns the time after which an upstream evicts a part that is not used.
    fn lifetime(&self, upstream: &Upstream) -> Span {
        let running = upstream.tokens + upstream.others.tokens;
        self.lifetime_of(self.criteria.memory_tokens.saturating_sub(running))
    }

    /// Returns the rank of an upstream among those to which all instances send the prompt.
    fn rank(&self, upstream: &Upstream) -> usize {
        let own = hash_rank(upstream, self.affinity);
        let domain = &*upstream.entry.announcement.domain;
        let is_global = self.criteria.shared_tokens >= GLOBAL_PREFIX_TOKENS;
        let ahead = self
            .ready
            .iter()
            .filter(|(rank, of)| *rank < own && (is_global || *of == domain));
        ahead.count()
    }

    /// Returns whether this instance has sent the prompt to the upstream up to its deepest shared
    /// part, and that is probably still held.
    fn has_held(&self, upstream: &Upstream) -> bool {
        let shared = self.prefixes.len().saturating_sub(2);
        let lifetime = self.lifetime(upstream);
        let deepest = self.prefixes.get(shared);
        deepest.is_some_and(|p| self.observed(upstream, p, lifetime) >= MIN_CERTAINTY)
    }

    fn observed(&self, upstream: &Upstream, prefix: &Prefix, lifetime: Span) -> f64 {
        let announcement = &upstream.entry.announcement;
        let holder = prompt_cache::holder(&announcement.upstream, announcement.incarnation);
        let store = &self.pool.prompts;
        store.certainty(prefix.digest, holder, lifetime, self.now)
    }

    /// Returns the expected number of prompt tokens that an upstream holds.
    #[expect(clippy::cast_precision_loss)]
    fn held_tokens(&self, upstream: &Upstream) -> f64 {
        let lifetime = self.lifetime(upstream);
        // It can't hold more than what has passed through it since its start.
        let filled = upstream.listed_at.map_or(1.0, |at| {
            let age = self.now.since(at).as_millis() as f64;
            (age / lifetime.as_millis().max(1) as f64).min(1.0)
        });
        let by_rank = RANK_CERTAINTY.get(self.rank(upstream));
        let deepest_shared = self.prefixes.len().checked_sub(2);
        let (mut certainty, mut held) = (0.0_f64, 0.0);
        for (at, prefix) in self.prefixes.iter().enumerate().rev() {
            let by_others = by_rank.filter(|_| Some(at) == deepest_shared);
            // An upstream that holds a part holds those before it.
            certainty = certainty
                .max(by_others.map_or(0.0, |rank| rank * filled))
                .max(self.observed(upstream, prefix, lifetime));
            held += certainty * prefix.tokens as f64;
        }
        held
    }

    /// Returns the milliseconds that the prefill of the whole prompt takes.
    #[expect(clippy::cast_precision_loss)]
    fn prefill_ms(&self) -> f64 {
        let tokens: u64 = self.prefixes.iter().map(|p| p.tokens).sum();
        tokens as f64 * self.criteria.prompt.prefill_weight * self.criteria.prompt.token_ms
    }

    /// Returns the milliseconds by which other requests at an upstream delay this one: pending
    /// prefill, a slot that is not free yet, and the steps shared with running requests.
    #[expect(clippy::cast_precision_loss)]
    fn wait_ms(&self, upstream: &Upstream) -> f64 {
        let token_ms = self.criteria.prompt.token_ms;
        let reported = upstream.others.prefill as f64 * token_ms - REPORT_AGE_MS;
        let prefill = upstream.prefill as f64 * token_ms + reported.max(0.0);
        let running = f64::from(upstream.running + upstream.others.running);
        let work = (upstream.work + upstream.others.work) as f64 * token_ms;
        let slots = f64::from(upstream.entry.announcement.slots.max(1));
        let excess = (running + 1.0 - slots).max(0.0);
        let queued = excess * work / running.max(1.0);
        prefill + queued + work / slots
    }

    /// Returns what the request is expected to meet at an upstream.
    #[expect(clippy::cast_precision_loss)]
    fn expect(&self, upstream: &Upstream) -> Expectation {
        let criteria = self.criteria;
        let pace = upstream.pace;
        let token_ms = criteria.prompt.prefill_weight * criteria.prompt.token_ms * pace;
        let held_tokens = self.held_tokens(upstream);
        let saved_ms = held_tokens * token_ms;
        let wait_ms = self.wait_ms(upstream) * pace;
        let missing_ms = (self.prefill_ms() * pace - saved_ms).max(0.0);
        // Each token that is not held evicts one, which costs the next request as much if it is in
        // use. The more of the memory running requests take, the more of the rest is.
        let running = (upstream.tokens + upstream.others.tokens + criteria.tokens) as f64;
        let occupied = (running / criteria.memory_tokens.max(1) as f64).min(1.0);
        let link_ms = if upstream.is_local(&self.pool.domain) {
            0.0
        } else {
            LINK_MS
        };
        Expectation {
            held_tokens,
            shared_tokens: criteria.shared_tokens as f64,
            saved_ms,
            wait_ms,
            cost_ms: wait_ms + missing_ms * (1.0 + occupied) + link_ms,
        }
    }
}

fn hash_rank(upstream: &Upstream, affinity: u64) -> u64 {
    digest::mix(digest::of(upstream.entry.announcement.upstream.as_bytes()) ^ affinity)
}

/// Returns the candidates in the rendezvous order of the affinity key.
fn hash_order<'a>(candidates: &[&'a Upstream], affinity: u64) -> Vec<&'a Upstream> {
    let mut order = candidates.to_vec();
    order.sort_by_cached_key(|u| hash_rank(u, affinity));
    order
}

/// Returns the load up to which an upstream is preferred over the next one in hash order.
///
/// The bound refers to the mean of the local failure domain, whose loads are always known, unless it
/// has fewer than [`MIN_LOCAL_UPSTREAMS`] candidates.
fn load_bound(candidates: &[&Upstream], domain: &str) -> f64 {
    let local = candidates.iter().filter(|u| u.is_local(domain));
    let local: Vec<f64> = local.map(|u| u.load_score()).collect();
    let loads = if local.len() < MIN_LOCAL_UPSTREAMS {
        candidates.iter().map(|u| u.load_score()).collect()
    } else {
        local
    };
    #[expect(clippy::cast_precision_loss)]
    let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
    mean * LOAD_FACTOR + LOAD_SLACK
}
