//! Placement of requests on upstreams by one entry instance.
//!
//! Requests with the same affinity key go to the same upstream from every instance of a failure
//! domain, by rendezvous hashing with bounded loads, so the prefix cache of that upstream holds
//! their shared prefix. Requests go to other failure domains when the local one has too little spare
//! capacity, and for prefixes so long that another prefill takes longer than the network round
//! trip. The loads from other instances are known with a delay; the upstream's own queue absorbs
//! the resulting error.

mod affinity;
mod cold_start;
mod connection;
mod crowd;
mod limit;
mod pace;
mod peer;
mod rejects;
mod witness;

use std::sync::Arc;

pub use self::{
    affinity::{Expectation, Prompt},
    limit::{Pass, Shortage},
    peer::sample_peers,
    rejects::{ACCEPTANCE_TIME, RejectPermit},
};
use self::{
    cold_start::Restart,
    connection::{Down, SuspectDomain},
    crowd::Crowd,
    limit::Passes,
    peer::Peers,
};
use crate::{
    digest,
    fleet::{Entry, Phase},
    limit::Bounds,
    notice, prompt_cache,
    replicated::{Eligibility, State},
    report::{Load, Totals},
    time::{Span, Time},
};

/// Work that counts as one request in a comparison of loads, in tokens of the largest model.
const WORK_PER_REQUEST: f64 = 4_000.0;

/// Fraction of an engine's memory that running requests may use.
const MEMORY_FRACTION: f64 = 0.9;

/// Load penalty of an upstream in another failure domain for plain services, in requests.
const REMOTE_PENALTY: f64 = 0.5;

/// Minimum number of recent failures for an upstream to count as unhealthy.
const UNHEALTHY_FAILURES: u32 = 3;

/// Difference to the failure rate of all upstreams of the service from which an upstream counts as
/// unhealthy.
const UNHEALTHY_EXCESS: f64 = 0.2;

/// Time constant of the exponential decay of outcomes.
const OUTCOME_DECAY: Span = Span::from_secs(4);

/// Number of a service's upstreams in the local failure domain below which its requests go to all
/// failure domains.
const MIN_LOCAL_UPSTREAMS: usize = 4;

/// Slot utilization of local upstreams up to which the local failure domain is preferred.
const LOCAL_UTILIZATION: f64 = 0.75;

/// Slot utilization of the local failure domain above which the loads of all others are requested.
const SPILLOVER_UTILIZATION: f64 = 0.5;

/// Length of a shared prefix in tokens from which all failure domains send it to the same upstream.
///
/// An engine prefills some tens of tokens per millisecond, so the prefill of this many takes longer
/// than a request to another failure domain, and delays all concurrent requests by as much.
const GLOBAL_PREFIX_TOKENS: u64 = 2_000;

/// How long an instance counts after it was last listed. While a partition hides instances, the
/// visible ones must not take over their share of a limit.
const LISTING_TTL: Span = Span::from_secs(10);

/// The placement criteria of a request.
#[derive(Clone, Debug)]
pub struct Criteria<'a> {
    /// The service.
    pub service: &'a str,
    /// Affinity key: digest of the model and the shared prefix of the prompt. `None` for plain
    /// services.
    pub affinity: Option<u64>,
    /// Tokens of the shared prefix.
    pub shared_tokens: u64,
    /// The prompt; empty for plain services.
    pub prompt: Prompt<'a>,
    /// Number from 0 to 999 that assigns the request to a canary if it is below the canary's share.
    pub draw: u16,
    /// Prompt and output tokens.
    pub tokens: u64,
    /// Capacity of an upstream's memory in tokens; 0 for no limit.
    pub memory_tokens: u64,
    /// Maximum requests per second to an upstream in its cold start; 0 for no limit.
    pub cold_rate: f64,
    /// Upstreams that must not be chosen.
    pub excluded: &'a [Arc<str>],
    /// Whether a peer may handle the request. It goes from one instance to another once at most.
    pub may_hand_over: bool,
}

/// The resources of an upstream that a request needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Prompt and output tokens, which occupy memory.
    pub tokens: u64,
    /// Tokens weighted by the cost of their model and of prompt or output, which take time.
    pub work: u64,
    /// Prompt tokens weighted by the cost of their model, which are processed before the answer
    /// starts.
    pub prefill: u64,
}

/// The result of a placement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// The request goes to this upstream.
    Upstream(Target),
    /// All usable upstreams are full.
    Full,
    /// All suitable upstreams have requested a backoff; the first one ends after this time.
    Backoff(Span),
    /// The limits of all suitable upstreams allow no request of this instance now.
    Limited(Shortage),
    /// No upstream is usable.
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
    /// Incarnation of the upstream.
    pub incarnation: u64,
    /// Whether it is a peer, which sends the request to an upstream.
    pub is_peer: bool,
}

/// How a connection to an upstream failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Its host, or another upstream at its address, refused the connection.
    Refused,
    /// There was no response: the upstream, or its whole failure domain, may be partitioned.
    Unresponsive,
}

/// How a request at an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It succeeded.
    Good,
    /// It failed at the upstream.
    Failed,
    /// Its end is no evidence about the upstream's health.
    Neutral,
}

/// An upstream with its load.
#[derive(Clone, Debug)]
struct Upstream {
    entry: Entry,
    /// When its incarnation was first listed; `None` if it was listed when this instance started.
    listed_at: Option<Time>,
    /// Running requests of this instance, and their demand.
    running: u32,
    tokens: u64,
    work: u64,
    prefill: u64,
    /// Load from the other instances.
    others: Load,
    /// Recent successes, decayed by age.
    ok: f64,
    /// Recent failures, decayed by age.
    failed: f64,
    /// Time of the last decay.
    decayed_at: Time,
    /// State after failed connections; `None` if the upstream accepts connections.
    down: Option<Down>,
    /// Set after a sign that its process has ended, until a later incarnation is listed.
    restart: Option<Restart>,
    /// Earliest time of this instance's next request during the cold start.
    next_cold_request: Time,
    /// Time that it takes as a multiple of the usual time of its service.
    pace: f64,
    /// Means of its load.
    mean: crowd::Mean,
    /// Time at which it last rejected a request of this instance.
    turned_away_at: Option<Time>,
}

/// An instance that was listed as present.
#[derive(Clone, Copy, Debug)]
struct ListedInstance {
    instance: u64,
    listed_at: Time,
}

/// All upstreams that an entry instance knows, sorted by identity.
#[derive(Clone, Debug)]
pub struct Pool {
    domain: Arc<str>,
    instance: u64,
    /// Announcement interval.
    interval: Span,
    /// Largest recent number of instances, and when it was reported.
    instances: (usize, Time),
    /// Instances of the same failure domain, sorted.
    domain_instances: Vec<ListedInstance>,
    /// Sorted by failure domain.
    suspect_domains: Vec<SuspectDomain>,
    notices: notice::Store,
    passes: Passes,
    /// Whether an upstream may have a bound.
    has_limits: bool,
    /// Whether this instance has lost its way to all upstreams.
    is_cut_off: bool,
    peers: Peers,
    /// Time of the last paces.
    paces_at: Time,
    prompts: prompt_cache::Store,
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
            suspect_domains: Vec::new(),
            notices: notice::Store::default(),
            passes: Passes::default(),
            has_limits: false,
            is_cut_off: false,
            peers: Peers::default(),
            paces_at: Time::ZERO,
            prompts: prompt_cache::Store::default(),
            upstreams: Vec::new(),
        }
    }

    /// Updates the pool from the directory's records, which are sorted by identity.
    pub fn update(&mut self, entries: &[Entry], now: Time) {
        let old = std::mem::take(&mut self.upstreams);
        let listed_at = (!old.is_empty()).then_some(now);
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
                    let restarted =
                        known.entry.announcement.incarnation != entry.announcement.incarnation;
                    if restarted {
                        (known.ok, known.failed, known.pace) = (0.0, 0.0, 1.0);
                        known.listed_at = Some(now);
                    }
                    if known.entry.silent && !entry.silent {
                        known.down = None;
                    }
                    let before = known.entry.limit.map(|l| l.bounds).unwrap_or_default();
                    let after = entry.limit.map(|l| l.bounds).unwrap_or_default();
                    if before.rate > after.rate {
                        self.passes.discard(&entry.announcement.upstream);
                    }
                    if before.rejects > after.rejects {
                        self.discard_reject_permits(&entry.announcement.upstream);
                    }
                    known.entry = entry.clone();
                    known
                }
                None => Upstream::new(entry.clone(), listed_at, now),
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
        let mut upstreams = self.upstreams.iter();
        self.has_limits = upstreams.any(|u| self.bounds_of(u) != Bounds::default());
    }

    /// Updates the loads and the list of instances from the reports of the other instances.
    pub fn update_totals(&mut self, totals: &Totals, now: Time) {
        let count = usize::try_from(totals.instances).unwrap_or(usize::MAX);
        if count >= self.instances.0 || now.since(self.instances.1) >= LISTING_TTL {
            self.instances = (count, now);
        }
        for instance in &totals.domain_instances {
            let listed = ListedInstance {
                instance: *instance,
                listed_at: now,
            };
            match self
                .domain_instances
                .binary_search_by_key(instance, |l| l.instance)
            {
                Ok(at) => self.domain_instances[at] = listed,
                Err(at) => self.domain_instances.insert(at, listed),
            }
        }
        self.domain_instances
            .retain(|l| now.since(l.listed_at) < LISTING_TTL);
        for upstream in &mut self.upstreams {
            let id = &upstream.entry.announcement.upstream;
            let found = totals.loads.binary_search_by(|l| l.upstream.cmp(id));
            upstream.others = found.map_or_else(|_| Load::default(), |at| totals.loads[at].clone());
            let (others, slots) = (upstream.others.running, upstream.entry.announcement.slots);
            let busy = slots.min(upstream.running + others);
            upstream.mean.update(others, busy, now);
        }
        self.expire_paces(now);
    }

    /// Returns the services whose requests may spill over to other failure domains, sorted. Their
    /// loads in all failure domains are needed.
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
            let local = self.upstreams.iter().filter(|u| {
                u.is_local(&self.domain) && u.entry.announcement.service == *service && u.is_ready()
            });
            let (mut count, mut slots, mut running) = (0, 0, 0);
            for upstream in local {
                count += 1;
                slots += upstream.entry.announcement.slots;
                running += upstream.running + upstream.others.running;
            }
            count < MIN_LOCAL_UPSTREAMS
                || f64::from(running) > f64::from(slots) * SPILLOVER_UTILIZATION
        });
        services
    }

    /// Returns the share of a service's slots in use, at the upstreams of the local failure domain
    /// if it has enough of them: only their loads are always known. It is above 1 while requests
    /// wait at the upstreams, and 1 if no upstream is usable.
    #[must_use]
    pub fn utilization(&self, service: &str, state: &State, now: Time) -> f64 {
        let is_usable = |u: &&Upstream| {
            let announcement = &u.entry.announcement;
            *announcement.service == *service
                && u.is_ready()
                && u.down.is_none_or(|d| now >= d.until)
                && !self
                    .notices
                    .is_leaving(&announcement.upstream, announcement.incarnation)
                && !state.is_taken_out(&announcement.domain)
                && state.eligibility(service, &announcement.version) != Eligibility::Ineligible
        };
        let usable = self.upstreams.iter().filter(is_usable);
        let local = usable.clone().filter(|u| u.is_local(&self.domain));
        let has_local = local.count() >= MIN_LOCAL_UPSTREAMS;
        let (mut slots, mut running) = (0, 0);
        for upstream in usable.filter(|u| !has_local || u.is_local(&self.domain)) {
            slots = upstream.entry.announcement.slots.saturating_add(slots);
            running += upstream.running + upstream.others.running;
        }
        if slots == 0 {
            return 1.0;
        }
        f64::from(running) / f64::from(slots)
    }

    /// Returns this instance's loads by upstream.
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

    /// Returns the number of entry instances, including this one.
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

    /// Chooses an upstream for a request.
    #[must_use]
    pub fn choose(&self, criteria: &Criteria<'_>, state: &State, now: Time) -> Choice {
        self.choose_from(criteria, state, now, true)
    }

    /// Chooses an upstream for a request as if none had a bound.
    fn choose_regardless(&self, criteria: &Criteria<'_>, state: &State, now: Time) -> Choice {
        self.choose_from(criteria, state, now, false)
    }

    fn choose_from(
        &self,
        criteria: &Criteria<'_>,
        state: &State,
        now: Time,
        needs_permits: bool,
    ) -> Choice {
        if self.is_cut_off {
            return if criteria.may_hand_over {
                self.choose_peer(criteria, now)
            } else {
                Choice::Unavailable
            };
        }
        let is_canary = self.is_canary(criteria, state);
        let usable: Vec<_> = self
            .upstreams
            .iter()
            .filter(|u| {
                self.is_usable(u, criteria, state, now)
                    && (!needs_permits || self.is_passable(u, now))
            })
            .collect();
        let of_version = |canary: bool| -> Vec<&Upstream> {
            let matches = |u: &&&Upstream| {
                let announcement = &u.entry.announcement;
                let eligibility = state.eligibility(criteria.service, &announcement.version);
                canary == matches!(eligibility, Eligibility::Canary(_))
            };
            usable.iter().filter(matches).copied().collect()
        };
        let mut candidates = of_version(is_canary);
        if candidates.is_empty() && is_canary {
            candidates = of_version(false);
        }
        if candidates.is_empty() {
            if let Some(shortage) = self.shortage(criteria, state, now) {
                return Choice::Limited(shortage);
            }
            let backoff = self.shortest_backoff(criteria, state, now);
            if backoff.is_none() && criteria.may_hand_over && self.is_blocked(criteria, state, now)
            {
                return self.choose_peer(criteria, now);
            }
            return backoff.map_or(Choice::Unavailable, Choice::Backoff);
        }
        let healthy = healthy(&candidates);
        let crowd = self.crowd(criteria, &candidates);
        let is_available = |u: &&Upstream| {
            self.has_capacity(u, criteria, crowd, now)
                && (!needs_permits || self.may_be_rejected_by(u, now))
        };
        let available: Vec<_> = healthy.into_iter().filter(is_available).collect();
        if available.is_empty() {
            // An unhealthy upstream is better than none.
            candidates.retain(is_available);
        } else {
            candidates = available;
        }
        self.retain_reachable(&mut candidates, now);
        let chosen = if crowd.is_some() {
            self.draw(&candidates, criteria.draw, now)
        } else {
            self.prefer_local(&mut candidates, criteria);
            match criteria.affinity {
                Some(affinity) => self.choose_by_affinity(&candidates, criteria, affinity, now),
                None => self.least_loaded(&candidates, criteria.draw),
            }
        };
        chosen.map_or(Choice::Full, |u| Choice::Upstream(u.target()))
    }

    /// Keeps only the candidates of reachable failure domains, if there are any.
    fn retain_reachable(&self, candidates: &mut Vec<&Upstream>, now: Time) {
        let is_reachable = |u: &&Upstream| u.is_local(&self.domain) || !self.is_avoided(u, now);
        if candidates.iter().any(is_reachable) {
            candidates.retain(is_reachable);
        }
    }

    /// Keeps only the candidates of the local failure domain while it has enough spare capacity and
    /// the shared prefix is short.
    fn prefer_local(&self, candidates: &mut Vec<&Upstream>, criteria: &Criteria<'_>) {
        if criteria.affinity.is_some() && criteria.shared_tokens >= GLOBAL_PREFIX_TOKENS {
            return;
        }
        let local = candidates.iter().filter(|u| u.is_local(&self.domain));
        let count = local.clone().count();
        let has_capacity = |u: &&&Upstream| {
            let running = f64::from(u.running + u.others.running);
            running * u.pace < f64::from(u.entry.announcement.slots) * LOCAL_UTILIZATION
        };
        if count >= MIN_LOCAL_UPSTREAMS && local.clone().any(|u| has_capacity(&u)) {
            candidates.retain(|u| u.is_local(&self.domain));
        }
    }

    /// Returns whether the request belongs to the canary of a rollout.
    fn is_canary(&self, criteria: &Criteria<'_>, state: &State) -> bool {
        let announcements = self.upstreams.iter().map(|u| &u.entry.announcement);
        let mut of_service = announcements.filter(|a| &*a.service == criteria.service);
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
        self.is_suitable(upstream, criteria, state, now) && self.backoff(upstream, now).is_none()
    }

    /// Returns whether an upstream is usable apart from a backoff that it may have requested.
    fn is_suitable(
        &self,
        upstream: &Upstream,
        criteria: &Criteria<'_>,
        state: &State,
        now: Time,
    ) -> bool {
        let announcement = &upstream.entry.announcement;
        &*announcement.service == criteria.service
            && upstream.is_ready()
            && !self
                .notices
                .is_leaving(&announcement.upstream, announcement.incarnation)
            && upstream.down.is_none_or(|d| now >= d.until)
            && !state.is_taken_out(&announcement.domain)
            && state.eligibility(criteria.service, &announcement.version) != Eligibility::Ineligible
            && !criteria.excluded.contains(&announcement.upstream)
    }

    /// Returns the remaining backoff that an upstream has requested, if any.
    fn backoff(&self, upstream: &Upstream, now: Time) -> Option<Span> {
        let announcement = &upstream.entry.announcement;
        self.notices
            .backoff(&announcement.upstream, announcement.incarnation, now)
    }

    /// Returns the time until the first backoff of a suitable upstream ends.
    ///
    /// Excluded upstreams count too, because the caller's next request may go to them.
    fn shortest_backoff(&self, criteria: &Criteria<'_>, state: &State, now: Time) -> Option<Span> {
        let criteria = Criteria {
            excluded: &[],
            ..criteria.clone()
        };
        let suitable = self.upstreams.iter();
        let suitable = suitable.filter(|u| self.is_suitable(u, &criteria, state, now));
        suitable.filter_map(|u| self.backoff(u, now)).min()
    }

    fn has_capacity(
        &self,
        upstream: &Upstream,
        criteria: &Criteria<'_>,
        crowd: Option<Crowd>,
        now: Time,
    ) -> bool {
        let running = upstream.running + upstream.others.running;
        let slots = upstream.entry.announcement.slots;
        let rejects = self.bounds_of(upstream).rejects;
        let has_queue = criteria.memory_tokens == 0 || self.has_weighed(criteria);
        let has_room = match crowd {
            Some(crowd) if crowd.is_fast && rejects.is_none() => true,
            _ => running < rejects::capacity(slots, has_queue, rejects),
        };
        if !has_room {
            return false;
        }
        #[expect(clippy::cast_precision_loss)]
        let fits = |tokens: u64| tokens as f64 <= criteria.memory_tokens as f64 * MEMORY_FRACTION;
        let tokens = upstream.tokens + upstream.others.tokens;
        if criteria.memory_tokens > 0 && tokens > 0 && !fits(tokens + criteria.tokens) {
            return false;
        }
        !upstream.may_be_cold(self.interval, now)
            || self.may_send_cold(upstream, criteria.cold_rate, now)
    }

    fn least_loaded<'a>(&self, candidates: &[&'a Upstream], salt: u16) -> Option<&'a Upstream> {
        let cost = |u: &Upstream| {
            let is_local = u.is_local(&self.domain);
            u.load_score() + if is_local { 0.0 } else { REMOTE_PENALTY }
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

    /// Records the start of a request.
    pub fn begin(&mut self, upstream: &str, demand: Demand, now: Time) {
        let interval = self.interval;
        if let Some(at) = self.find(upstream) {
            let upstream = &mut self.upstreams[at];
            upstream.running += 1;
            upstream.tokens += demand.tokens;
            upstream.work += demand.work;
            upstream.prefill += demand.prefill;
            if upstream.may_be_cold(interval, now) {
                upstream.next_cold_request = now + cold_start::REQUEST_INTERVAL;
            }
        }
    }

    /// Records that the prefill of a request is complete.
    pub fn finish_prefill(&mut self, upstream: &str, demand: Demand) {
        if let Some(at) = self.find(upstream) {
            let upstream = &mut self.upstreams[at];
            upstream.prefill = upstream.prefill.saturating_sub(demand.prefill);
        }
    }

    /// Returns the running requests of this instance.
    #[must_use]
    pub fn running_here(&self) -> u32 {
        self.upstreams.iter().map(|u| u.running).sum()
    }

    /// Returns the running requests of all instances at an upstream.
    #[must_use]
    pub fn running(&self, upstream: &str) -> u32 {
        self.find(upstream).map_or(0, |at| {
            let upstream = &self.upstreams[at];
            upstream.running + upstream.others.running
        })
    }

    /// Returns the weighted prompt tokens of all instances whose prefill is pending at an upstream.
    #[must_use]
    pub fn pending_prefill(&self, upstream: &str) -> u64 {
        self.find(upstream).map_or(0, |at| {
            let upstream = &self.upstreams[at];
            upstream.prefill + upstream.others.prefill
        })
    }

    /// Records the end of a request whose prefill was recorded as complete.
    pub fn end(&mut self, upstream: &str, demand: Demand, outcome: Outcome, now: Time) {
        if let Some(at) = self.find(upstream) {
            let upstream = &mut self.upstreams[at];
            upstream.running = upstream.running.saturating_sub(1);
            upstream.tokens = upstream.tokens.saturating_sub(demand.tokens);
            upstream.work = upstream.work.saturating_sub(demand.work);
            upstream.decay(now);
            match outcome {
                Outcome::Good => upstream.ok += 1.0,
                Outcome::Failed => upstream.failed += 1.0,
                Outcome::Neutral => {}
            }
        }
    }

    /// Records the notice of an upstream that it is leaving, and returns whether that was unknown.
    pub fn mark_leaving(&mut self, target: &Target, now: Time) -> bool {
        self.notices
            .mark_leaving(&target.upstream, target.incarnation, now)
    }

    /// Records the backoff that an upstream requests.
    pub fn back_off(&mut self, target: &Target, duration: Span, now: Time) {
        self.notices
            .back_off(&target.upstream, target.incarnation, duration, now);
    }

    /// Returns whether the incarnation of the upstream has announced that it is leaving.
    #[must_use]
    pub fn is_leaving(&self, upstream: &str, incarnation: u64) -> bool {
        let listed = self.find(upstream).is_some_and(|at| {
            let announcement = &self.upstreams[at].entry.announcement;
            announcement.incarnation == incarnation && announcement.phase != Phase::Ready
        });
        listed || self.notices.is_leaving(upstream, incarnation)
    }

    /// Returns the upstream if this incarnation of it is listed.
    #[must_use]
    pub fn target(&self, upstream: &str, incarnation: u64) -> Option<Target> {
        let upstream = &self.upstreams[self.find(upstream)?];
        let is_listed = upstream.entry.announcement.incarnation == incarnation;
        is_listed.then(|| upstream.target())
    }

    /// Returns the upstreams that have recently told this instance that they are leaving.
    #[must_use]
    pub fn departures(&self, now: Time) -> Vec<notice::Departure> {
        self.notices.departures(now)
    }

    /// Returns whether the incarnation of the upstream still accepts new requests.
    #[must_use]
    pub fn is_current(&self, upstream: &str, incarnation: u64, now: Time) -> bool {
        !self.is_cut_off
            && self.find(upstream).is_some_and(|at| {
                let known = &self.upstreams[at];
                let announcement = &known.entry.announcement;
                announcement.incarnation == incarnation
                    && announcement.phase == Phase::Ready
                    && !self.notices.is_leaving(upstream, incarnation)
                    && self.backoff(known, now).is_none()
            })
    }
}

impl Upstream {
    fn new(entry: Entry, listed_at: Option<Time>, now: Time) -> Self {
        Self {
            entry,
            listed_at,
            running: 0,
            tokens: 0,
            work: 0,
            prefill: 0,
            others: Load::default(),
            ok: 0.0,
            failed: 0.0,
            decayed_at: now,
            down: None,
            restart: None,
            next_cold_request: Time::ZERO,
            pace: 1.0,
            mean: crowd::Mean::default(),
            turned_away_at: None,
        }
    }

    fn is_local(&self, domain: &str) -> bool {
        *self.entry.announcement.domain == *domain
    }

    /// Returns whether it accepts new requests according to its announcements.
    fn is_ready(&self) -> bool {
        self.entry.announcement.phase == Phase::Ready && !self.entry.silent
    }

    fn target(&self) -> Target {
        let announcement = &self.entry.announcement;
        Target {
            upstream: announcement.upstream.clone(),
            address: announcement.address.clone(),
            domain: announcement.domain.clone(),
            version: announcement.version.clone(),
            incarnation: announcement.incarnation,
            is_peer: false,
        }
    }

    /// Returns the load from all instances in requests of the usual pace, including the weight of their
    /// work.
    fn load_score(&self) -> f64 {
        #[expect(clippy::cast_precision_loss)]
        let work = (self.work + self.others.work) as f64;
        (f64::from(self.running + self.others.running) + work / WORK_PER_REQUEST) * self.pace
    }

    fn decay(&mut self, now: Time) {
        #[expect(clippy::cast_precision_loss)]
        let elapsed =
            now.since(self.decayed_at).as_millis() as f64 / OUTCOME_DECAY.as_millis() as f64;
        let factor = (-elapsed).exp();
        self.ok *= factor;
        self.failed *= factor;
        self.decayed_at = now;
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

    /// Returns the recent successes and failures of all instances.
    fn recent_outcomes(&self) -> (u32, u32) {
        let own = self.load();
        (own.ok + self.others.ok, own.failed + self.others.failed)
    }
}

/// Returns the candidates without an outlying failure rate, or all if none is left.
fn healthy<'a>(candidates: &[&'a Upstream]) -> Vec<&'a Upstream> {
    let ok: u32 = candidates.iter().map(|u| u.recent_outcomes().0).sum();
    let failed: u32 = candidates.iter().map(|u| u.recent_outcomes().1).sum();
    let mean = f64::from(failed) / f64::from((ok + failed).max(1));
    let is_healthy = |u: &&&Upstream| {
        let (ok, failed) = u.recent_outcomes();
        let rate = f64::from(failed) / f64::from((ok + failed).max(1));
        failed < UNHEALTHY_FAILURES || rate < (mean + UNHEALTHY_EXCESS).min(0.6)
    };
    let healthy: Vec<_> = candidates.iter().filter(is_healthy).copied().collect();
    if healthy.is_empty() {
        candidates.to_vec()
    } else {
        healthy
    }
}
