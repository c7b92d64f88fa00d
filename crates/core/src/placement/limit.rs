//! Limits that upstreams state on the requests of all instances.
//!
//! Every request to an upstream with a limit needs a [`Pass`], whatever it is for: a first attempt,
//! a retry, a larger model, or the rest of a stream. It is taken when the upstream is chosen and
//! checked when the request is sent.
//!
//! The load pattern: an upstream in need accepts one request per second while hundreds of instances
//! prefer it for its cached prefixes, and all of its service's upstreams may be in need at once.

use std::sync::Arc;

use super::{Choice, Criteria, Pool, Restart, Target, Upstream, rejects::RejectPermit};
use crate::{
    digest,
    limit::{
        Bounds, LEAD_TIME, PERMIT_LIFETIME, Permit, Rate, Reserve, SEND_TIMEOUT, Stock, Turns,
        Want, reject_permit_upstream,
    },
    notice,
    replicated::State,
    time::{Span, Time},
};

/// Time without an answer from a control instance with contact to the leader after which the
/// instance uses its part of the reserve.
const CONTACT_TTL: Span = Span::from_secs(1);

/// Time constant of the exponential decay of the demand.
const DEMAND_DECAY: Span = Span::from_secs(1);

/// Demand in requests per second below which the lender keeps no permit.
const MIN_DEMAND: f64 = 0.1;

/// Time after which a request no longer waits for a permit.
const UNMET_TTL: Span = Span::from_secs(1);

/// Time for which a lender's word that permits are scarce holds.
const SCARCITY_TTL: Span = Span::from_secs(1);

/// Time before the end of a pass in which no request is begun, because it takes time to write.
const SEND_MARGIN: Span = Span::from_millis(100);

/// Permission to send one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pass {
    /// Time by which the request must be sent; `None` if the upstream has no limit.
    pub send_by: Option<Time>,
    /// End of the permit that was taken for it.
    permit_until: Option<Time>,
    /// Permit for a request that the upstream may reject, if it needs one.
    pub reject_permit: Option<RejectPermit>,
}

impl Pass {
    fn new(permit_until: Option<Time>, now: Time) -> Self {
        Self {
            send_by: Some(now + SEND_TIMEOUT),
            permit_until,
            reject_permit: None,
        }
    }
}

/// Why no upstream that would suit may be sent a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shortage {
    /// Sum of the limits.
    pub rate: Rate,
    /// Whether the lender has said that it has no permits left.
    pub scarce: bool,
}

/// The use of one upstream with a bound.
#[derive(Clone, Debug)]
pub(super) struct Use {
    pub(super) upstream: Arc<str>,
    /// Requests that would have gone there, decayed by age.
    demand: f64,
    decayed_at: Time,
    /// Requests since the lender's last answer for which no permit was at hand.
    unmet: u32,
    unmet_at: Time,
    /// Time of the last permit.
    granted_at: Time,
    /// Time of the last request from the reserve.
    pub(super) reserve_used_at: Option<Time>,
    /// Time of the lender's last word that permits are scarce.
    scarce_at: Option<Time>,
    /// Whether an upstream that accepted none has answered a question without a limit, so that one
    /// request may find out.
    is_on_trial: bool,
}

/// Permits and demand of the upstreams with limits.
#[derive(Clone, Debug, Default)]
pub(super) struct Passes {
    pub(super) stock: Stock,
    /// Time of the last answer from a control instance with contact to the leader.
    contact_at: Option<Time>,
    /// Number of instances at that time.
    instances: usize,
    /// Use of upstreams with limits, sorted by upstream.
    uses: Vec<Use>,
    /// Use of upstreams that can reject few requests, sorted by upstream.
    pub(super) reject_uses: Vec<Use>,
    turns: Turns,
}

impl Use {
    fn new(upstream: &Arc<str>, now: Time) -> Self {
        Self {
            upstream: upstream.clone(),
            demand: 0.0,
            decayed_at: now,
            unmet: 0,
            unmet_at: now,
            granted_at: now,
            reserve_used_at: None,
            scarce_at: None,
            is_on_trial: false,
        }
    }

    pub(super) fn decay(&mut self, now: Time) {
        #[expect(clippy::cast_precision_loss)]
        let elapsed =
            now.since(self.decayed_at).as_millis() as f64 / DEMAND_DECAY.as_millis() as f64;
        self.demand *= (-elapsed).exp();
        self.decayed_at = now;
    }

    pub(super) fn is_scarce(&self, now: Time) -> bool {
        self.scarce_at
            .is_some_and(|at| now.since(at) < SCARCITY_TTL)
    }
}

fn find<'a>(uses: &'a [Use], upstream: &str) -> Option<&'a Use> {
    let found = uses.binary_search_by(|u| (*u.upstream).cmp(upstream));
    found.ok().map(|at| &uses[at])
}

fn get_mut<'a>(uses: &'a mut Vec<Use>, upstream: &Arc<str>, now: Time) -> &'a mut Use {
    let found = uses.binary_search_by(|u| u.upstream.cmp(upstream));
    let at = found.unwrap_or_else(|at| {
        uses.insert(at, Use::new(upstream, now));
        at
    });
    &mut uses[at]
}

impl Passes {
    fn find(&self, upstream: &str) -> Option<&Use> {
        find(&self.uses, upstream)
    }

    fn get_mut(&mut self, upstream: &Arc<str>, now: Time) -> &mut Use {
        get_mut(&mut self.uses, upstream, now)
    }

    /// Returns the use of an upstream that can reject few requests.
    pub(super) fn reject_use(&self, upstream: &str) -> Option<&Use> {
        find(&self.reject_uses, upstream)
    }

    /// Returns the use of an upstream that can reject few requests, which is created if it is new.
    pub(super) fn reject_use_mut(&mut self, upstream: &Arc<str>, now: Time) -> &mut Use {
        get_mut(&mut self.reject_uses, upstream, now)
    }

    /// Drops the permits for an upstream, because its limit has fallen.
    pub(super) fn discard(&mut self, upstream: &str) {
        self.stock.discard(upstream);
    }

    pub(super) fn is_isolated(&self, now: Time) -> bool {
        self.contact_at
            .is_none_or(|at| now.since(at) >= CONTACT_TTL)
    }
}

impl Pool {
    /// Returns the bounds of an upstream: the latest statement that this instance or another one has
    /// received.
    pub(super) fn bounds_of(&self, upstream: &Upstream) -> Bounds {
        let announcement = &upstream.entry.announcement;
        let own = self
            .notices
            .limit(&announcement.upstream, announcement.incarnation);
        let listed = upstream.entry.limit;
        match (own, listed) {
            (Some(own), Some(listed)) if listed.stated_at > own.stated_at => listed.bounds,
            (Some(own), _) => own.bounds,
            (None, listed) => listed.map(|l| l.bounds).unwrap_or_default(),
        }
    }

    fn limit_of(&self, upstream: &Upstream) -> Option<Rate> {
        self.bounds_of(upstream).rate
    }

    /// Returns the bounds of an incarnation of an upstream.
    #[must_use]
    pub fn bounds(&self, target: &Target) -> Bounds {
        let known = self.find(&target.upstream).map(|at| &self.upstreams[at]);
        let same = known.filter(|u| u.entry.announcement.incarnation == target.incarnation);
        same.map(|u| self.bounds_of(u)).unwrap_or_default()
    }

    /// Returns the limit of an upstream, if it has one.
    #[must_use]
    pub fn limit(&self, target: &Target) -> Option<Rate> {
        self.bounds(target).rate
    }

    /// Returns whether an upstream may have a bound.
    #[must_use]
    pub const fn has_limits(&self) -> bool {
        self.has_limits
    }

    /// Returns the number of upstreams with a limit.
    #[must_use]
    pub fn limited(&self) -> usize {
        let limited = self.upstreams.iter().filter(|u| self.limit_of(u).is_some());
        limited.count()
    }

    /// Records the bounds that an upstream states, and returns whether that is a change.
    ///
    /// `is_same_process` is whether the connection of the statement had been used before. On a new
    /// connection, a bound may have ended with the process that stated it.
    pub fn set_bounds(
        &mut self,
        target: &Target,
        bounds: Bounds,
        is_same_process: bool,
        now: Time,
    ) -> bool {
        let known = self.bounds(target);
        // Most upstreams never state a bound and need no notice.
        if known == bounds && bounds == Bounds::default() {
            return false;
        }
        self.has_limits = true;
        self.notices
            .set_limit(&target.upstream, target.incarnation, bounds, now);
        if known.rate.is_some() || bounds.rate.is_some() {
            self.passes.get_mut(&target.upstream, now).is_on_trial = false;
        }
        if bounds.rate < known.rate {
            self.passes.discard(&target.upstream);
        }
        if bounds.rejects < known.rejects {
            self.discard_reject_permits(&target.upstream);
        }
        let has_ended = (known.rate.is_some() && bounds.rate.is_none())
            || (known.rejects.is_some() && bounds.rejects.is_none());
        if has_ended && !is_same_process {
            self.mark_restart(target, now);
        }
        bounds != known
    }

    /// Records that another process may have the place of the known incarnation.
    fn mark_restart(&mut self, target: &Target, now: Time) {
        if let Some(at) = self.find(&target.upstream) {
            self.upstreams[at].restart = Some(Restart {
                incarnation: target.incarnation,
                accepted_at: Some(now),
            });
        }
    }

    /// Returns the statements on bounds that the directory does not show yet, but for those that
    /// may come from a process that is not listed yet.
    #[must_use]
    pub fn limit_statements(&self, now: Time) -> Vec<notice::Limit> {
        let is_unknown = |limit: &&notice::Limit| {
            let Some(at) = self.find(&limit.upstream) else {
                return false;
            };
            let known = &self.upstreams[at];
            let is_certain =
                limit.bounds != Bounds::default() || !known.may_have_restarted(self.interval, now);
            let entry = &known.entry;
            is_certain
                && entry.announcement.incarnation == limit.incarnation
                && entry.limit.map(|l| l.bounds).unwrap_or_default() != limit.bounds
                && entry.limit.is_none_or(|l| l.stated_at < limit.stated_at)
        };
        let limits = self.notices.limits();
        limits.iter().filter(is_unknown).cloned().collect()
    }

    /// Returns the part of the reserve that this instance may use of an upstream's limit.
    pub(super) fn reserve(&self, upstream: &str, limit: Rate) -> Reserve {
        let draw = digest::mix(digest::of(upstream.as_bytes()) ^ self.instance);
        Reserve::new(limit, self.passes.instances.max(self.instances()), draw)
    }

    /// Returns whether a permit for an upstream is at hand.
    fn has_permit(&self, upstream: &Upstream, limit: Rate, now: Time) -> bool {
        let announcement = &upstream.entry.announcement;
        let id = &announcement.upstream;
        if self.passes.stock.count(id, announcement.incarnation, now) > 0 {
            return true;
        }
        let last = self.passes.find(id).and_then(|u| u.reserve_used_at);
        self.passes.is_isolated(now) && self.reserve(id, limit).allows(last, now)
    }

    /// Returns whether an upstream has no limit or a pass for it is available.
    pub(super) fn is_passable(&self, upstream: &Upstream, now: Time) -> bool {
        if !self.has_limits {
            return true;
        }
        let Some(limit) = self.limit_of(upstream) else {
            return true;
        };
        let known = self.passes.find(&upstream.entry.announcement.upstream);
        known.is_some_and(|u| u.is_on_trial)
            || (limit.accepts_requests() && self.has_permit(upstream, limit, now))
    }

    /// Returns the shortage if upstreams would suit but for their limits.
    pub(super) fn shortage(
        &self,
        criteria: &Criteria<'_>,
        state: &State,
        now: Time,
    ) -> Option<Shortage> {
        let mut shortage = None;
        for (upstream, limit) in self.limited_candidates(criteria, state, now) {
            let id = &upstream.entry.announcement.upstream;
            let is_scarce =
                !limit.accepts_requests() || self.passes.find(id).is_some_and(|u| u.is_scarce(now));
            let known = shortage.get_or_insert(Shortage {
                rate: Rate::default(),
                scarce: true,
            });
            if limit.accepts_requests() {
                known.rate = known.rate.plus(limit);
            }
            known.scarce &= is_scarce;
        }
        shortage
    }

    /// Returns the upstreams with limits that would suit a request, and their limits.
    fn limited_candidates<'a>(
        &'a self,
        criteria: &'a Criteria<'_>,
        state: &'a State,
        now: Time,
    ) -> impl Iterator<Item = (&'a Upstream, Rate)> {
        let suitable = self.upstreams.iter().filter(move |u| {
            self.is_suitable(u, criteria, state, now) && self.backoff(u, now).is_none()
        });
        suitable.filter_map(|u| Some((u, self.limit_of(u)?)))
    }

    /// Records that a request is about to be sent, so that permits are wanted for the upstream that
    /// suits it best, or for all that would suit if none can take it.
    ///
    /// Returns whether none can take it and the lender may have permits.
    pub fn want(&mut self, criteria: &Criteria<'_>, state: &State, now: Time) -> bool {
        let choice = self.choose(criteria, state, now);
        let lacks_reject_permit = self.want_reject_permit(criteria, state, &choice, now);
        let is_unmet = matches!(choice, Choice::Limited(_));
        let wanted: Vec<Arc<str>> = match &choice {
            Choice::Limited(_) => {
                let candidates = self.limited_candidates(criteria, state, now);
                candidates
                    .map(|(u, _)| u.entry.announcement.upstream.clone())
                    .collect()
            }
            Choice::Upstream(_) | Choice::Full | Choice::Backoff(_) | Choice::Unavailable => {
                let preferred = self.choose_regardless(criteria, state, now);
                let limited = match preferred {
                    Choice::Upstream(target) if self.limit(&target).is_some() => Some(target),
                    _ => None,
                };
                limited.into_iter().map(|t| t.upstream).collect()
            }
        };
        for upstream in wanted {
            let known = self.passes.get_mut(&upstream, now);
            known.count(is_unmet, now);
        }
        lacks_reject_permit || matches!(choice, Choice::Limited(shortage) if !shortage.scarce)
    }

    /// Takes a pass for one request to an upstream, if there is one.
    pub fn pass(&mut self, target: &Target, now: Time) -> Option<Pass> {
        let Bounds { rate, rejects } = self.bounds(target);
        if !self.has_reject_permit(&target.upstream, target.incarnation, rejects, now) {
            return None;
        }
        let mut pass = self.limit_pass(target, rate, now)?;
        if let Some(rejects) = rejects {
            pass.reject_permit = Some(self.take_reject_permit(target, rejects, now)?);
            pass.send_by = pass.send_by.or(Some(now + SEND_TIMEOUT));
        }
        Some(pass)
    }

    fn limit_pass(&mut self, target: &Target, limit: Option<Rate>, now: Time) -> Option<Pass> {
        let Some(limit) = limit else {
            return Some(Pass {
                send_by: None,
                permit_until: None,
                reject_permit: None,
            });
        };
        let known = self.passes.get_mut(&target.upstream, now);
        if std::mem::take(&mut known.is_on_trial) {
            return Some(Pass::new(None, now));
        }
        let accepts = limit.accepts_requests();
        accepts
            .then(|| self.take_permit(target, limit, now))
            .flatten()
    }

    /// Takes a permit from the stock or uses the reserve.
    fn take_permit(&mut self, target: &Target, limit: Rate, now: Time) -> Option<Pass> {
        let stock = &mut self.passes.stock;
        if let Some(until) = stock.take(&target.upstream, target.incarnation, now) {
            return Some(Pass::new(Some(until), now));
        }
        let reserve = self.reserve(&target.upstream, limit);
        if !self.passes.is_isolated(now) {
            return None;
        }
        let known = self.passes.get_mut(&target.upstream, now);
        if !reserve.allows(known.reserve_used_at, now) {
            return None;
        }
        known.reserve_used_at = Some(now);
        Some(Pass::new(None, now))
    }

    /// Returns whether a request may still be sent with its pass.
    ///
    /// The upstream may have stated a bound after the request was given a pass without it.
    #[must_use]
    pub fn is_valid(&self, target: &Target, pass: Pass, now: Time) -> bool {
        let bounds = self.bounds(target);
        let is_in_time = pass.send_by.map_or_else(
            || bounds.rate.is_none(),
            |send_by| now + SEND_MARGIN < send_by,
        );
        is_in_time && (bounds.rejects.is_none() || pass.reject_permit.is_some())
    }

    /// Returns a pass that was not used.
    pub fn return_pass(&mut self, target: &Target, pass: Pass, now: Time) {
        if let Some(until) = pass.permit_until
            && now < until
        {
            let stock = &mut self.passes.stock;
            stock.put_back(&target.upstream, target.incarnation, until);
        }
        if let Some(permit) = pass.reject_permit {
            self.return_reject_permit(target, permit, now);
        }
    }

    /// Adds permits from a control instance, each with the time when its poll was sent.
    ///
    /// `contact_at` is the time of the last poll that a control instance with contact to the leader
    /// answered.
    pub fn grant(&mut self, permits: &[(Permit, Time)], contact_at: Option<Time>, now: Time) {
        for (permit, sent) in permits {
            self.passes.stock.add(permit, *sent, now);
            let rejecting = reject_permit_upstream(&permit.upstream);
            let is_for_rejection = rejecting.is_some();
            let known = match rejecting {
                Some(upstream) => self.passes.reject_use_mut(&upstream.into(), now),
                None => self.passes.get_mut(&permit.upstream, now),
            };
            known.scarce_at = permit.scarce.then_some(now);
            if permit.count > 0 {
                known.granted_at = now;
            }
            // A request waits for a permit of this kind as long as for free capacity.
            known.unmet = if permit.scarce && !is_for_rejection {
                0
            } else {
                known.unmet.saturating_sub(permit.count)
            };
        }
        if contact_at > self.passes.contact_at {
            self.passes.contact_at = contact_at;
            self.passes.instances = self.instances();
        }
    }

    /// Returns the permits that this instance wants.
    #[must_use]
    pub fn wants(&mut self, now: Time) -> Vec<Want> {
        let mut passes = std::mem::take(&mut self.passes);
        passes.stock.expire(now);
        let mut wants = Vec::new();
        passes.uses.retain_mut(|known| {
            known.decay(now);
            let Some(at) = self.find(&known.upstream) else {
                return false;
            };
            let upstream = &self.upstreams[at];
            if self.limit_of(upstream).is_none() {
                return false;
            }
            let incarnation = upstream.entry.announcement.incarnation;
            let held = passes.stock.count(&known.upstream, incarnation, now);
            if now.since(known.unmet_at) >= UNMET_TTL {
                known.unmet = 0;
            }
            let count = known.unmet.max(known.ahead()).saturating_sub(held);
            if count > 0 || known.demand >= MIN_DEMAND {
                wants.push(Want {
                    upstream: known.upstream.clone(),
                    incarnation,
                    count,
                    demand: known.rate(),
                });
            }
            true
        });
        passes.reject_uses.retain_mut(|known| {
            known.decay(now);
            let Some(at) = self.find(&known.upstream) else {
                return false;
            };
            let upstream = &self.upstreams[at];
            if self.bounds_of(upstream).rejects.is_none() {
                return false;
            }
            if now.since(known.unmet_at) >= UNMET_TTL {
                known.unmet = 0;
            }
            wants.extend(Self::reject_want(upstream, known, &passes.stock, now));
            true
        });
        self.passes = passes;
        wants
    }

    /// Returns the upstreams that accept no requests and are to be asked now for their limits, with
    /// their services.
    #[must_use]
    pub fn inquiries(&mut self, now: Time) -> Vec<(Arc<str>, Target)> {
        let due = |pool: &Self, u: &Upstream| {
            let limit = pool.limit_of(u).filter(|l| !l.accepts_requests())?;
            let service = || u.entry.announcement.service.clone();
            let is_due = u.is_ready() && pool.has_permit(u, limit, now);
            is_due.then(|| (service(), u.target(), limit))
        };
        let due: Vec<_> = self.upstreams.iter().filter_map(|u| due(self, u)).collect();
        let taken = due
            .into_iter()
            .filter(|(_, target, limit)| self.take_permit(target, *limit, now).is_some());
        taken
            .map(|(service, target, _)| (service, target))
            .collect()
    }

    /// Records that an upstream that accepts no requests was asked for its limit and has stated
    /// none. One request may find out.
    pub fn try_out(&mut self, target: &Target, now: Time) {
        if self.limit(target).is_some() {
            self.passes.get_mut(&target.upstream, now).is_on_trial = true;
        }
    }

    /// Returns the time after which a caller that is refused for a shortage may expect to be served.
    pub fn next_turn(&mut self, service: &Arc<str>, shortage: Shortage, now: Time) -> Span {
        let instances = u64::try_from(self.instances()).unwrap_or(u64::MAX);
        if shortage.rate == Rate::default() {
            return PERMIT_LIFETIME.plus(Rate::default().permits().interval());
        }
        let rate = shortage.rate.as_milli() / instances;
        self.passes.turns.next(service, rate, now)
    }
}

impl Use {
    /// Counts a request, and whether no permit was at hand for it.
    pub(super) fn count(&mut self, is_unmet: bool, now: Time) {
        self.decay(now);
        self.demand += 1.0;
        if is_unmet {
            self.unmet += 1;
            self.unmet_at = now;
        }
    }

    /// Returns the time since the last permit.
    pub(super) fn permit_age(&self, now: Time) -> Span {
        now.since(self.granted_at)
    }

    /// Returns the number of requests for which no permit was at hand.
    pub(super) const fn unmet(&self) -> u32 {
        self.unmet
    }

    /// Returns the demand.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub(super) fn rate(&self) -> Rate {
        Rate::from_milli((self.demand * 1_000.0) as u64)
    }

    /// Returns the number of permits that the demand is sure to use until more can arrive.
    ///
    /// Without a permit at hand, a request asks the lender for one.
    fn ahead(&self) -> u32 {
        let requests = self.rate().as_milli() * LEAD_TIME.as_millis() / 1_000_000;
        u32::try_from(requests).unwrap_or(u32::MAX)
    }
}
