//! Upstreams that crash when they have to reject many requests in a second.
//!
//! A request that such an upstream may reject needs a permit. It is returned as soon as the upstream
//! has accepted the request, and used up by a rejection. So the number of rejections is bounded by
//! the permits that the leader of the control instances makes, however old the reported loads are.
//! A request without a permit waits at its entry instance.
//!
//! The load pattern: all upstreams of a service are full or nearly so, hundreds of instances know
//! their loads as they were some hundred milliseconds ago, and each upstream crashes at its third
//! rejection in a second.

use super::{Choice, Criteria, Pool, Target, Upstream, limit::Use};
use crate::{
    limit::{Rate, Return, Stock, Want, reject_permit_name},
    replicated::State,
    time::{Span, Time},
};

/// Time after which a request without an answer counts as accepted: an upstream without room rejects
/// a request when it arrives.
pub const ACCEPTANCE_TIME: Span = Span::from_millis(100);

/// Rate of requests to an upstream from which on an instance keeps a permit between two requests.
const KEEP_RATE: Rate = Rate::from_milli(5_000);

/// Time for which a permit waits for the request that it was wanted for.
const PICKUP_TIME: Span = Span::from_millis(60);

/// Permission to be rejected once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RejectPermit {
    /// Its end; `None` if it is of the part of an instance without contact to the leader.
    until: Option<Time>,
}

impl Pool {
    /// Returns whether a permit for a request that an upstream may reject is at hand or not needed.
    pub(super) fn has_reject_permit(
        &self,
        upstream: &str,
        incarnation: u64,
        rejects: Option<Rate>,
        now: Time,
    ) -> bool {
        let Some(rejects) = rejects else {
            return true;
        };
        let name = reject_permit_name(upstream);
        if self.passes.stock.count(&name, incarnation, now) > 0 {
            return true;
        }
        let last = self.passes.reject_use(upstream);
        let last = last.and_then(|u| u.reserve_used_at);
        let reserve = self.reserve(upstream, rejects.reject_permits());
        self.passes.is_isolated(now) && reserve.allows(last, now)
    }

    /// Returns whether an upstream may be sent a request as far as rejections are concerned.
    pub(super) fn may_be_rejected_by(&self, upstream: &Upstream, now: Time) -> bool {
        if !self.has_limits {
            return true;
        }
        let announcement = &upstream.entry.announcement;
        let rejects = self.bounds_of(upstream).rejects;
        self.has_reject_permit(
            &announcement.upstream,
            announcement.incarnation,
            rejects,
            now,
        )
    }

    /// Takes a permit from the stock or uses the reserve.
    pub(super) fn take_reject_permit(
        &mut self,
        target: &Target,
        rejects: Rate,
        now: Time,
    ) -> Option<RejectPermit> {
        let name = reject_permit_name(&target.upstream);
        let until = self.passes.stock.take(&name, target.incarnation, now);
        if until.is_some() {
            return Some(RejectPermit { until });
        }
        if !self.has_reject_permit(&target.upstream, target.incarnation, Some(rejects), now) {
            return None;
        }
        let known = self.passes.reject_use_mut(&target.upstream, now);
        known.reserve_used_at = Some(now);
        Some(RejectPermit { until })
    }

    /// Returns the permit of a request that the upstream has accepted or never got.
    pub fn return_reject_permit(&mut self, target: &Target, permit: RejectPermit, now: Time) {
        if let Some(until) = permit.until
            && now < until
            && self.bounds(target).rejects.is_some()
        {
            let name = reject_permit_name(&target.upstream);
            let stock = &mut self.passes.stock;
            stock.put_back(&name, target.incarnation, until);
        }
    }

    /// Uses up another permit for a rejection whose own permit was returned before.
    pub fn use_reject_permit(&mut self, target: &Target, now: Time) {
        let name = reject_permit_name(&target.upstream);
        self.passes.stock.take(&name, target.incarnation, now);
    }

    /// Takes the permits that this instance does not need now, to give them back.
    pub fn take_surplus(&mut self, now: Time) -> Vec<Return> {
        let mut uses = std::mem::take(&mut self.passes.reject_uses);
        let mut returns = Vec::new();
        for known in &mut uses {
            known.decay(now);
            if known.unmet() > 0 || known.permit_age(now) < PICKUP_TIME {
                continue;
            }
            let Some(at) = self.find(&known.upstream) else {
                continue;
            };
            let incarnation = self.upstreams[at].entry.announcement.incarnation;
            let kept = if known.rate() >= KEEP_RATE {
                at_once(known)
            } else {
                0
            };
            let name = reject_permit_name(&known.upstream);
            let stock = &mut self.passes.stock;
            let surplus = stock.count(&name, incarnation, now).saturating_sub(kept);
            let (count, _) = stock.take_up_to(&name, incarnation, surplus, now);
            if count > 0 {
                returns.push(Return {
                    upstream: name,
                    incarnation,
                    count,
                });
            }
        }
        self.passes.reject_uses = uses;
        returns
    }

    pub(super) fn discard_reject_permits(&mut self, upstream: &str) {
        self.passes.discard(&reject_permit_name(upstream));
    }

    /// Returns the number of upstreams that can reject few requests.
    #[must_use]
    pub fn brittle(&self) -> usize {
        let upstreams = self.upstreams.iter();
        let brittle = upstreams.filter(|u| self.bounds_of(u).rejects.is_some());
        brittle.count()
    }

    /// Records that a request is about to be sent for which an upstream may need a permit.
    ///
    /// Returns whether there is none and the lender may have some.
    pub(super) fn want_reject_permit(
        &mut self,
        criteria: &Criteria<'_>,
        state: &State,
        choice: &Choice,
        now: Time,
    ) -> bool {
        let is_unmet = *choice == Choice::Full;
        let preferred = if is_unmet {
            self.choose_regardless(criteria, state, now)
        } else {
            choice.clone()
        };
        let Choice::Upstream(target) = preferred else {
            return false;
        };
        if self.bounds(&target).rejects.is_none() {
            return false;
        }
        let known = self.passes.reject_use_mut(&target.upstream, now);
        known.count(is_unmet, now);
        is_unmet && !known.is_scarce(now)
    }

    /// Returns the permits that are wanted for an upstream. One serves a request after the other.
    pub(super) fn reject_want(
        upstream: &Upstream,
        known: &Use,
        stock: &Stock,
        now: Time,
    ) -> Option<Want> {
        let announcement = &upstream.entry.announcement;
        let name = reject_permit_name(&announcement.upstream);
        let needed = known.unmet().min(at_once(known));
        let held = stock.count(&name, announcement.incarnation, now);
        (needed > held).then(|| Want {
            upstream: name,
            incarnation: announcement.incarnation,
            count: needed - held,
            demand: Rate::default(),
        })
    }
}

/// Returns the number of permits that serve the requests of an instance to an upstream.
fn at_once(known: &Use) -> u32 {
    let in_flight = known.rate().as_milli() * ACCEPTANCE_TIME.as_millis() / 1_000_000;
    u32::try_from(in_flight)
        .unwrap_or(u32::MAX)
        .saturating_add(1)
}

/// Returns the number of requests of all instances up to which an upstream counts as free.
pub(super) fn capacity(slots: u32, has_queue: bool, rejects: Option<Rate>) -> u32 {
    // A short queue at the upstream avoids idle time between two requests.
    let queue = if has_queue && rejects.is_none() {
        slots / 2
    } else {
        0
    };
    (slots + queue).max(1)
}
