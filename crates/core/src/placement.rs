//! Placement of requests on upstreams, as one entry instance sees them.
//!
//! Requests about one subject go to the same upstream from every instance of a failure domain, by
//! rendezvous hashing with bounded loads, so that its prefix cache holds what they share. Other
//! failure domains are asked when the own one has too little room, and for subjects so long that
//! reading them again takes more than the way there. The loads of other instances are known with
//! a delay; the upstream's own queue absorbs what that delay hides.

use std::sync::Arc;

use crate::{
    digest,
    fleet::{Entry, Phase},
    notice,
    replicated::{Eligibility, State},
    report::{Load, Totals},
    time::{Span, Time},
};

/// Load above the mean that a preferred upstream may have before the next one is taken.
const LOAD_FACTOR: f64 = 1.25;

/// Load above the mean that is always allowed, in requests.
const LOAD_SLACK: f64 = 3.0;

/// Work that counts as one more request in a comparison of loads: tokens of the largest model.
const WORK_PER_LOAD: f64 = 4_000.0;

/// Part of an engine's memory that running requests may use.
const MEMORY_PART: f64 = 0.9;

/// Cost of another failure domain for plain services, in requests.
const FAR_LOAD: f64 = 0.5;

/// Time between two requests of one instance to an upstream in its cold start.
///
/// Longer than a second, so that no second has two.
const COLD_INTERVAL: Span = Span::from_millis(1_100);

/// Failures after which an upstream may count as ill.
const ILL_FAILURES: u32 = 3;

/// Rate of failures above that of all upstreams of the service that counts as ill.
const ILL_EXCESS: f64 = 0.2;

/// Time constant of the recent outcomes.
const RECENT: Span = Span::from_secs(4);

/// Intervals of announcements after which an upstream that took no connection is tried again. The
/// time doubles with each failure up to [`MAX_DOWN_INTERVALS`].
const DOWN_INTERVALS: u64 = 1;

/// Most intervals until an upstream that took no connection is tried again.
const MAX_DOWN_INTERVALS: u64 = 8;

/// Upstreams of a service in the own failure domain below which all failure domains share the work.
const FEW_NEAR: usize = 4;

/// Part of an upstream's slots up to which the own failure domain is preferred.
const NEAR_PART: f64 = 0.75;

/// Part of the slots of the own failure domain above which the loads of all others are asked for.
const PRESSED_PART: f64 = 0.5;

/// Tokens of a shared part of a prompt from which all failure domains send it to one upstream.
///
/// An engine reads some tens of tokens in a millisecond, so this many take longer than a request
/// to another failure domain, and all requests that run beside them wait for as long.
const WIDE_TOKENS: u64 = 2_000;

/// How long an instance counts after it was last listed. Where a partition hides instances, the
/// visible ones must not take over their part of a limit.
const LISTED: Span = Span::from_secs(10);

/// What a request asks of a placement.
#[derive(Clone, Debug)]
pub struct Criteria<'a> {
    /// The service.
    pub service: &'a str,
    /// Digest of the model and the shared part of the prompt, or none for plain services.
    pub affinity: Option<u64>,
    /// Tokens of the shared part.
    pub shared_tokens: u64,
    /// Number from 0 to 999 that decides whether a canary takes the request.
    pub draw: u16,
    /// Prompt and output tokens.
    pub tokens: u64,
    /// Tokens that fit an upstream's memory; 0 without a limit.
    pub memory_tokens: u64,
    /// Cold starts that an upstream bears in a second; 0 without a limit.
    pub cold_rate: f64,
    /// Upstreams that must not be chosen again.
    pub excluded: &'a [Arc<str>],
}

/// What a request takes of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Prompt and output tokens, which need memory.
    pub tokens: u64,
    /// Tokens weighted by the cost of their model and of their kind, which need time.
    pub work: u64,
    /// Prompt tokens weighted by the cost of their model, which are read before the answer begins.
    pub prefill: u64,
}

/// A placement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// An upstream that takes the request.
    Upstream(Target),
    /// All usable upstreams are full.
    Full,
    /// All upstreams that could take the request have asked for quiet; the first one for this much
    /// longer.
    Backoff(Span),
    /// No upstream may be used.
    Unavailable,
}

/// A chosen upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Identity.
    pub upstream: Arc<str>,
    /// IP address and port.
    pub address: Arc<str>,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Version of its software.
    pub version: Arc<str>,
    /// Start of the upstream.
    pub incarnation: u64,
}

/// How a connection to an upstream failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Its machine or another upstream at its address answered.
    Refused,
    /// Nothing answered: it may be cut off, with all that is near it.
    Unresponsive,
}

/// How a request at an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered.
    Good,
    /// The upstream failed it.
    Failed,
    /// It says nothing about the upstream.
    Neutral,
}

/// An upstream with this instance's work on it.
#[derive(Clone, Debug)]
struct Upstream {
    entry: Entry,
    running: u32,
    tokens: u64,
    work: u64,
    prefill: u64,
    others: Load,
    ok: f64,
    failed: f64,
    decayed: Time,
    /// None if it takes connections, as far as is known.
    down: Option<Down>,
    next_cold: Time,
}

/// An upstream that took no connection.
#[derive(Clone, Copy, Debug)]
struct Down {
    incarnation: u64,
    /// Time of the next try.
    until: Time,
    /// Failures in a row.
    failures: u32,
}

/// An instance that was listed as present.
#[derive(Clone, Copy, Debug)]
struct Listed {
    instance: u64,
    at: Time,
}

/// Another failure domain of which an upstream gave no sign of life.
#[derive(Clone, Debug)]
struct Avoided {
    domain: Arc<str>,
    /// The upstream that was tried last.
    upstream: Arc<str>,
    at: Time,
    /// It is avoided until then.
    until: Time,
    /// Times that it was avoided in a row.
    times: u32,
}

/// All upstreams that an entry instance knows, sorted by identity.
#[derive(Clone, Debug)]
pub struct Pool {
    domain: Arc<str>,
    instance: u64,
    /// Interval of announcements.
    interval: Span,
    /// Largest number of instances of late, and when it was seen.
    instances: (usize, Time),
    /// Instances of the same failure domain, sorted.
    domain_instances: Vec<Listed>,
    /// Sorted by failure domain.
    avoided: Vec<Avoided>,
    notices: notice::Store,
    upstreams: Vec<Upstream>,
}

impl Pool {
    /// Returns an empty pool for an instance.
    #[must_use]
    pub fn new(domain: Arc<str>, instance: u64, interval: Span) -> Self {
        Self {
            domain,
            instance,
            interval,
            instances: (1, Time::ZERO),
            domain_instances: Vec::new(),
            avoided: Vec::new(),
            notices: notice::Store::default(),
            upstreams: Vec::new(),
        }
    }

    /// Takes over the directory's records, which are sorted by identity.
    pub fn update(&mut self, entries: &[Entry], now: Time) {
        let old = std::mem::take(&mut self.upstreams);
        let mut old = old.into_iter().peekable();
        for entry in entries {
            while old
                .next_if(|o| o.entry.announcement.upstream < entry.announcement.upstream)
                .is_some()
            {}
            let same =
                old.next_if(|o| o.entry.announcement.upstream == entry.announcement.upstream);
            let mut upstream = match same {
                Some(mut known) => {
                    let reborn =
                        known.entry.announcement.incarnation != entry.announcement.incarnation;
                    if reborn {
                        (known.ok, known.failed) = (0.0, 0.0);
                    }
                    if known.entry.silent && !entry.silent {
                        known.down = None;
                    }
                    known.entry = entry.clone();
                    known
                }
                None => Upstream::new(entry.clone(), now),
            };
            let incarnation = upstream.entry.announcement.incarnation;
            self.notices
                .mark_listed(&entry.announcement.upstream, incarnation, now);
            if upstream.down.is_some_and(|d| d.incarnation != incarnation) {
                upstream.down = None;
            }
            self.upstreams.push(upstream);
        }
        self.notices.expire(now);
    }

    /// Takes over what the other instances report.
    pub fn update_totals(&mut self, totals: &Totals, now: Time) {
        let count = usize::try_from(totals.instances).unwrap_or(usize::MAX);
        if count >= self.instances.0 || now.since(self.instances.1) >= LISTED {
            self.instances = (count, now);
        }
        for instance in &totals.domain_instances {
            let listed = Listed {
                instance: *instance,
                at: now,
            };
            match self
                .domain_instances
                .binary_search_by_key(instance, |l| l.instance)
            {
                Ok(at) => self.domain_instances[at] = listed,
                Err(at) => self.domain_instances.insert(at, listed),
            }
        }
        self.domain_instances.retain(|l| now.since(l.at) < LISTED);
        for upstream in &mut self.upstreams {
            let id = &upstream.entry.announcement.upstream;
            let found = totals.loads.binary_search_by(|l| l.upstream.cmp(id));
            upstream.others = found.map_or_else(|_| Load::default(), |at| totals.loads[at].clone());
        }
    }

    /// Returns the services of which the loads in all failure domains are needed, sorted.
    #[must_use]
    pub fn spillover_services(&self) -> Vec<Arc<str>> {
        let mut services: Vec<Arc<str>> = Vec::new();
        for upstream in &self.upstreams {
            let service = &upstream.entry.announcement.service;
            if let Err(at) = services.binary_search(service) {
                services.insert(at, service.clone());
            }
        }
        services.retain(|service| {
            let near = self.upstreams.iter().filter(|u| {
                u.is_local(&self.domain) && u.entry.announcement.service == *service && u.is_up()
            });
            let (mut count, mut slots, mut running) = (0, 0, 0);
            for upstream in near {
                count += 1;
                slots += upstream.entry.announcement.slots;
                running += upstream.running + upstream.others.running;
            }
            count < FEW_NEAR || f64::from(running) > f64::from(slots) * PRESSED_PART
        });
        services
    }

    /// Returns this instance's work by upstream.
    #[must_use]
    pub fn loads(&mut self, now: Time) -> Vec<Load> {
        let mut loads = Vec::new();
        for upstream in &mut self.upstreams {
            upstream.decay(now);
            let load = upstream.load();
            if load.running > 0 || load.ok > 0 || load.failed > 0 {
                loads.push(load);
            }
        }
        loads
    }

    /// Returns the number of entry instances, this one included.
    #[must_use]
    pub fn instances(&self) -> usize {
        self.instances.0.max(1)
    }

    fn find(&self, upstream: &str) -> Option<usize> {
        let found = self
            .upstreams
            .binary_search_by(|u| (*u.entry.announcement.upstream).cmp(upstream));
        found.ok()
    }

    /// Chooses an upstream.
    #[must_use]
    pub fn choose(&self, criteria: &Criteria<'_>, state: &State, now: Time) -> Choice {
        let canary = self.canary(criteria, state);
        let usable: Vec<_> = self
            .upstreams
            .iter()
            .filter(|u| self.is_usable(u, criteria, state, now))
            .collect();
        let of = |new: bool| -> Vec<&Upstream> {
            let version = |u: &&&Upstream| {
                let said = &u.entry.announcement;
                let permit = state.eligibility(criteria.service, &said.version);
                new == matches!(permit, Eligibility::Canary(_))
            };
            usable.iter().filter(version).copied().collect()
        };
        let mut candidates = of(canary);
        if candidates.is_empty() && canary {
            candidates = of(false);
        }
        if candidates.is_empty() {
            let rest = self.first_rest(criteria, state, now);
            return rest.map_or(Choice::Unavailable, Choice::Backoff);
        }
        let healthy = healthy(&candidates);
        let free: Vec<_> = healthy
            .into_iter()
            .filter(|u| self.has_room(u, criteria, now))
            .collect();
        if free.is_empty() {
            // An ill upstream is better than none.
            candidates.retain(|u| self.has_room(u, criteria, now));
        } else {
            candidates = free;
        }
        self.narrow(&mut candidates, criteria, now);
        let chosen = match criteria.affinity {
            Some(subject) => preferred(&candidates, &self.domain, subject),
            None => self.least_loaded(&candidates, criteria.draw),
        };
        chosen.map_or(Choice::Full, |u| Choice::Upstream(u.target()))
    }

    /// Keeps only the candidates of failure domains that are reached and, while it has enough room
    /// and the subject is not long to read, of the own one.
    fn narrow(&self, candidates: &mut Vec<&Upstream>, criteria: &Criteria<'_>, now: Time) {
        let is_reached = |u: &&Upstream| u.is_local(&self.domain) || !self.is_avoided(u, now);
        if candidates.iter().any(is_reached) {
            candidates.retain(is_reached);
        }
        if criteria.affinity.is_some() && criteria.shared_tokens >= WIDE_TOKENS {
            return;
        }
        let near = candidates.iter().filter(|u| u.is_local(&self.domain));
        let count = near.clone().count();
        let has_room = |u: &&&Upstream| {
            let running = f64::from(u.running + u.others.running);
            running < f64::from(u.entry.announcement.slots) * NEAR_PART
        };
        if count >= FEW_NEAR && near.clone().any(|u| has_room(&u)) {
            candidates.retain(|u| u.is_local(&self.domain));
        }
    }

    fn is_avoided(&self, upstream: &Upstream, now: Time) -> bool {
        let domain = &upstream.entry.announcement.domain;
        let found = self.avoided.binary_search_by(|a| a.domain.cmp(domain));
        found.is_ok_and(|at| now < self.avoided[at].until)
    }

    /// Returns whether the request belongs to the new version of a rollout.
    fn canary(&self, criteria: &Criteria<'_>, state: &State) -> bool {
        let versions = self.upstreams.iter().map(|u| &u.entry.announcement);
        let mut of_service = versions.filter(|a| &*a.service == criteria.service);
        of_service.any(|a| match state.eligibility(criteria.service, &a.version) {
            Eligibility::Canary(permille) => criteria.draw < permille,
            Eligibility::Stable | Eligibility::Ineligible => false,
        })
    }

    fn is_usable(
        &self,
        upstream: &Upstream,
        criteria: &Criteria<'_>,
        state: &State,
        now: Time,
    ) -> bool {
        self.is_open(upstream, criteria, state, now) && self.rest(upstream, now).is_none()
    }

    /// Returns whether an upstream could take a request if it had not asked for quiet.
    fn is_open(
        &self,
        upstream: &Upstream,
        criteria: &Criteria<'_>,
        state: &State,
        now: Time,
    ) -> bool {
        let said = &upstream.entry.announcement;
        &*said.service == criteria.service
            && upstream.is_up()
            && !self.notices.is_leaving(&said.upstream, said.incarnation)
            && upstream.down.is_none_or(|d| now >= d.until)
            && !state.is_taken_out(&said.domain)
            && state.eligibility(criteria.service, &said.version) != Eligibility::Ineligible
            && !criteria.excluded.contains(&said.upstream)
    }

    /// Returns how much longer an upstream wants no requests from this instance, if it does.
    fn rest(&self, upstream: &Upstream, now: Time) -> Option<Span> {
        let said = &upstream.entry.announcement;
        self.notices.backoff(&said.upstream, said.incarnation, now)
    }

    /// Returns the time until the first of the upstreams that have asked for quiet is open again.
    ///
    /// Those that have refused this request count: its caller may come back to them.
    fn first_rest(&self, criteria: &Criteria<'_>, state: &State, now: Time) -> Option<Span> {
        let criteria = Criteria {
            excluded: &[],
            ..criteria.clone()
        };
        let open = self.upstreams.iter();
        let open = open.filter(|u| self.is_open(u, &criteria, state, now));
        open.filter_map(|u| self.rest(u, now)).min()
    }

    fn has_room(&self, upstream: &Upstream, criteria: &Criteria<'_>, now: Time) -> bool {
        let running = upstream.running + upstream.others.running;
        let said = &upstream.entry.announcement;
        let limit = if criteria.memory_tokens > 0 {
            said.slots
        } else {
            // A short queue at the upstream keeps it busy between two requests.
            said.slots + said.slots / 2
        };
        if running >= limit.max(1) {
            return false;
        }
        #[expect(clippy::cast_precision_loss)]
        let fits = |tokens: u64| tokens as f64 <= criteria.memory_tokens as f64 * MEMORY_PART;
        let tokens = upstream.tokens + upstream.others.tokens;
        if criteria.memory_tokens > 0 && tokens > 0 && !fits(tokens + criteria.tokens) {
            return false;
        }
        now >= upstream.entry.cold_until || self.may_start_cold(upstream, criteria.cold_rate, now)
    }

    /// Returns whether this instance may send to an upstream in its cold start.
    ///
    /// Of the instances of its failure domain, those that come first in an order by the upstream's
    /// identity have one request an interval each, so that all together stay within its rate.
    fn may_start_cold(&self, upstream: &Upstream, rate: f64, now: Time) -> bool {
        if rate <= 0.0 {
            return true;
        }
        if now < upstream.next_cold || !upstream.is_local(&self.domain) {
            return false;
        }
        let id = digest::of(upstream.entry.announcement.upstream.as_bytes());
        let own = digest::mix(id ^ self.instance);
        let domain_instances = self.domain_instances.iter().map(|l| l.instance);
        let ahead = domain_instances
            .clone()
            .filter(|i| digest::mix(id ^ i) < own)
            .count();
        #[expect(clippy::cast_precision_loss)]
        let fits = (ahead as f64) < rate.floor();
        fits && domain_instances.into_iter().any(|i| i == self.instance)
    }

    fn least_loaded<'a>(&self, candidates: &[&'a Upstream], salt: u16) -> Option<&'a Upstream> {
        let cost = |u: &Upstream| {
            let near = u.is_local(&self.domain);
            u.busy() + if near { 0.0 } else { FAR_LOAD }
        };
        let order = |u: &Upstream| {
            digest::mix(digest::of(u.entry.announcement.upstream.as_bytes()) ^ u64::from(salt))
        };
        let by_cost = |a: &&&Upstream, b: &&&Upstream| {
            cost(a)
                .total_cmp(&cost(b))
                .then_with(|| order(a).cmp(&order(b)))
        };
        candidates.iter().min_by(by_cost).copied()
    }

    /// Counts a request as sent.
    pub fn begin(&mut self, upstream: &str, size: Demand, now: Time) {
        if let Some(at) = self.find(upstream) {
            let upstream = &mut self.upstreams[at];
            upstream.running += 1;
            upstream.tokens += size.tokens;
            upstream.work += size.work;
            upstream.prefill += size.prefill;
            if now < upstream.entry.cold_until {
                upstream.next_cold = now + COLD_INTERVAL;
            }
        }
    }

    /// Counts the prompt of a request as read.
    pub fn finish_prefill(&mut self, upstream: &str, size: Demand) {
        if let Some(at) = self.find(upstream) {
            let upstream = &mut self.upstreams[at];
            upstream.prefill = upstream.prefill.saturating_sub(size.prefill);
        }
    }

    /// Returns the weighted prompt tokens that an upstream has to read for all instances.
    #[must_use]
    pub fn pending_prefill(&self, upstream: &str) -> u64 {
        self.find(upstream).map_or(0, |at| {
            let upstream = &self.upstreams[at];
            upstream.prefill + upstream.others.prefill
        })
    }

    /// Counts a request as ended, whose prompt was counted as read.
    pub fn end(&mut self, upstream: &str, size: Demand, outcome: Outcome, now: Time) {
        if let Some(at) = self.find(upstream) {
            let upstream = &mut self.upstreams[at];
            upstream.running = upstream.running.saturating_sub(1);
            upstream.tokens = upstream.tokens.saturating_sub(size.tokens);
            upstream.work = upstream.work.saturating_sub(size.work);
            upstream.decay(now);
            match outcome {
                Outcome::Good => upstream.ok += 1.0,
                Outcome::Failed => upstream.failed += 1.0,
                Outcome::Neutral => {}
            }
        }
    }

    /// Counts an upstream that took no connection as down for some time.
    ///
    /// Two upstreams of another failure domain in a row that give no sign of life speak for a cut:
    /// the whole failure domain is left for that time, so that not every upstream has to be tried.
    pub fn connection_failed(
        &mut self,
        upstream: &str,
        incarnation: u64,
        failure: Failure,
        now: Time,
    ) {
        let Some(at) = self.find(upstream) else {
            return;
        };
        let interval = self.interval;
        let upstream = &mut self.upstreams[at];
        if upstream.entry.announcement.incarnation != incarnation {
            return;
        }
        let failures = upstream.down.map_or(0, |d| d.failures);
        upstream.down = Some(Down {
            incarnation,
            until: now + pause(interval, failures),
            failures: failures + 1,
        });
        if failure == Failure::Refused || upstream.is_local(&self.domain) {
            return;
        }
        let said = &upstream.entry.announcement;
        match self
            .avoided
            .binary_search_by(|a| a.domain.cmp(&said.domain))
        {
            Ok(at) => {
                let avoided = &mut self.avoided[at];
                let is_recent = now.since(avoided.at) < interval.times(MAX_DOWN_INTERVALS + 1);
                if !is_recent {
                    avoided.times = 0;
                } else if avoided.times > 0 || avoided.upstream != said.upstream {
                    avoided.until = now + pause(interval, avoided.times);
                    avoided.times += 1;
                }
                avoided.at = now;
                avoided.upstream = said.upstream.clone();
            }
            Err(at) => {
                let avoided = Avoided {
                    domain: said.domain.clone(),
                    upstream: said.upstream.clone(),
                    at: now,
                    until: now,
                    times: 0,
                };
                self.avoided.insert(at, avoided);
            }
        }
    }

    /// Notes that an upstream took a connection.
    pub fn connection_established(&mut self, upstream: &str) {
        if let Some(at) = self.find(upstream) {
            self.upstreams[at].down = None;
            let domain = &self.upstreams[at].entry.announcement.domain;
            self.avoided.retain(|a| a.domain != *domain);
        }
    }

    /// Takes over the word of an upstream that it leaves, and returns whether that is news.
    pub fn mark_leaving(&mut self, target: &Target, now: Time) -> bool {
        self.notices
            .mark_leaving(&target.upstream, target.incarnation, now)
    }

    /// Takes over the word of an upstream that it wants no requests for some time.
    pub fn back_off(&mut self, target: &Target, time: Span, now: Time) {
        self.notices
            .back_off(&target.upstream, target.incarnation, time, now);
    }

    /// Returns the upstreams that have told this instance of late that they leave.
    #[must_use]
    pub fn departures(&self, now: Time) -> Vec<notice::Departure> {
        self.notices.departures(now)
    }

    /// Returns whether new requests may still be sent to the incarnation of the upstream.
    #[must_use]
    pub fn is_current(&self, upstream: &str, incarnation: u64, now: Time) -> bool {
        self.find(upstream).is_some_and(|at| {
            let known = &self.upstreams[at];
            let said = &known.entry.announcement;
            said.incarnation == incarnation
                && said.phase == Phase::Ready
                && !self.notices.is_leaving(upstream, incarnation)
                && self.rest(known, now).is_none()
        })
    }
}

impl Upstream {
    fn new(entry: Entry, now: Time) -> Self {
        Self {
            entry,
            running: 0,
            tokens: 0,
            work: 0,
            prefill: 0,
            others: Load::default(),
            ok: 0.0,
            failed: 0.0,
            decayed: now,
            down: None,
            next_cold: Time::ZERO,
        }
    }

    fn is_local(&self, domain: &str) -> bool {
        *self.entry.announcement.domain == *domain
    }

    /// Returns whether it takes new work by its own word.
    fn is_up(&self) -> bool {
        self.entry.announcement.phase == Phase::Ready && !self.entry.silent
    }

    fn target(&self) -> Target {
        let said = &self.entry.announcement;
        Target {
            upstream: said.upstream.clone(),
            address: said.address.clone(),
            domain: said.domain.clone(),
            version: said.version.clone(),
            incarnation: said.incarnation,
        }
    }

    /// Returns the requests and their work of all instances as one number.
    fn busy(&self) -> f64 {
        #[expect(clippy::cast_precision_loss)]
        let work = (self.work + self.others.work) as f64;
        f64::from(self.running + self.others.running) + work / WORK_PER_LOAD
    }

    fn decay(&mut self, now: Time) {
        #[expect(clippy::cast_precision_loss)]
        let passed = now.since(self.decayed).as_millis() as f64 / RECENT.as_millis() as f64;
        let factor = (-passed).exp();
        self.ok *= factor;
        self.failed *= factor;
        self.decayed = now;
    }

    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn load(&self) -> Load {
        Load {
            upstream: self.entry.announcement.upstream.clone(),
            running: self.running,
            tokens: self.tokens,
            work: self.work,
            prefill: self.prefill,
            ok: self.ok.round() as u32,
            failed: self.failed.round() as u32,
        }
    }

    /// Returns recent good and failed requests of all instances.
    fn recent(&self) -> (u32, u32) {
        let own = self.load();
        (own.ok + self.others.ok, own.failed + self.others.failed)
    }
}

/// Returns how long to leave what has failed that many times before.
fn pause(interval: Span, failures: u32) -> Span {
    let intervals = DOWN_INTERVALS << failures.min(8);
    interval.times(intervals.min(MAX_DOWN_INTERVALS))
}

/// Returns the candidates whose failures don't stand out, or all if none is left.
fn healthy<'a>(candidates: &[&'a Upstream]) -> Vec<&'a Upstream> {
    let ok: u32 = candidates.iter().map(|u| u.recent().0).sum();
    let failed: u32 = candidates.iter().map(|u| u.recent().1).sum();
    let usual = f64::from(failed) / f64::from((ok + failed).max(1));
    let is_healthy = |u: &&&Upstream| {
        let (ok, failed) = u.recent();
        let rate = f64::from(failed) / f64::from((ok + failed).max(1));
        failed < ILL_FAILURES || rate < (usual + ILL_EXCESS).min(0.6)
    };
    let healthy: Vec<_> = candidates.iter().filter(is_healthy).copied().collect();
    if healthy.is_empty() {
        candidates.to_vec()
    } else {
        healthy
    }
}

/// Returns the first upstream in the subject's order whose load is not far above the mean.
///
/// The mean is that of the own failure domain, whose loads are always known.
fn preferred<'a>(candidates: &[&'a Upstream], domain: &str, subject: u64) -> Option<&'a Upstream> {
    let mut order: Vec<_> = candidates
        .iter()
        .map(|u| {
            (
                digest::mix(digest::of(u.entry.announcement.upstream.as_bytes()) ^ subject),
                *u,
            )
        })
        .collect();
    order.sort_unstable_by_key(|(rank, _)| *rank);
    let near = candidates.iter().filter(|u| u.is_local(domain));
    let near: Vec<f64> = near.map(|u| u.busy()).collect();
    let loads = if near.len() < FEW_NEAR {
        candidates.iter().map(|u| u.busy()).collect()
    } else {
        near
    };
    #[expect(clippy::cast_precision_loss)]
    let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
    let bound = mean * LOAD_FACTOR + LOAD_SLACK;
    let within = order.iter().find(|(_, u)| u.busy() <= bound);
    within.or_else(|| order.first()).map(|(_, u)| *u)
}
