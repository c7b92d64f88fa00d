//! Choice of the model that answers a request.

use masticlock_core::{
    cascade::{self, Contention},
    placement::Choice,
    time::Span,
};

use super::{Proxy, RequestContext};
use crate::gateway::{adapter::ResponseHeaders, handler::ResolvedRoute};

/// Outcome of an unsure answer for which the larger model is asked.
const ASKED: &str = "asked";

impl Proxy {
    /// Chooses the model of a request that can't be sent to a larger one after its first answer.
    pub(super) fn choose_only_model(&self, ctx: &RequestContext, resolved: &ResolvedRoute) {
        let route = &resolved.route;
        if !ctx.meta.any_model || (route.is_repeatable() && route.attempts > 1) {
            return;
        }
        let now = self.now();
        let confidence = self.confidence.borrow().of(&route.name, now);
        let pressure = self.pressure.borrow().of(&resolved.service.name, now);
        let contention = self.contention(ctx, resolved);
        let level = cascade::only_level(confidence, route.models.len(), pressure, contention);
        if level == 0 {
            return;
        }
        let begin = self.forecast_start(ctx, resolved, level);
        if begin.is_some_and(|begin| cascade::is_timely(begin, route.objective)) {
            ctx.level.set(level);
        }
    }

    /// Returns the position of the larger model that is to answer instead, if the cascade asks for
    /// it and time and retry budget allow it.
    pub(super) fn escalation(
        &self,
        ctx: &RequestContext,
        resolved: &ResolvedRoute,
        meta: &ResponseHeaders,
    ) -> Option<usize> {
        let route = &resolved.route;
        if !ctx.meta.any_model || ctx.level.get() > 0 || !ctx.runs.get().may_repeat(route) {
            return None;
        }
        // It would need another permit, and its answer shows whether it crashes upstreams.
        if self.is_restricted(ctx) {
            return None;
        }
        let answer = cascade::Answer {
            confidence: meta.confidence,
            level: ctx.level.get(),
            models: route.models.len(),
            pressure: self
                .pressure
                .borrow()
                .of(&resolved.service.name, self.now()),
            contention: self.contention(ctx, resolved),
        };
        let (level, outcome) = self.consider(ctx, resolved, &answer)?;
        let service = &resolved.service.name;
        let rank = resolved.priority();
        self.metrics.load.count_unsure(service, rank, outcome);
        log::debug!(
            event = "cascade", request = ctx.id(), level, outcome, rank,
            confidence = answer.confidence.unwrap_or_default(), pressure = answer.pressure,
            utilization = answer.contention.map_or(0.0, |c| c.utilization),
            work = answer.contention.map_or(0.0, |c| c.work);
            "an answer is unsure"
        );
        (outcome == ASKED).then_some(level)
    }

    /// Returns the level that would answer an unsure answer's request under low load, and
    /// [`ASKED`] or why it is not asked.
    fn consider(
        &self,
        ctx: &RequestContext,
        resolved: &ResolvedRoute,
        answer: &cascade::Answer,
    ) -> Option<(usize, &'static str)> {
        let under_low_load = cascade::Answer {
            pressure: 0.0,
            contention: None,
            ..*answer
        };
        let level = cascade::escalation(&under_low_load)?;
        if cascade::escalation(answer).is_none() {
            return Some((level, "scarce"));
        }
        let Some(begin) = self.forecast_start(ctx, resolved, level) else {
            return Some((level, "no_room"));
        };
        if !cascade::is_timely(begin, resolved.route.objective) {
            return Some((level, "late"));
        }
        let service = &resolved.service.name;
        let allowed = self.with_budget(service, |b| b.withdraw_optional(self.now()));
        Some((level, if allowed { ASKED } else { "no_budget" }))
    }

    /// Returns how the request compares with the others of its service, or none if the routes of
    /// the service have the same rank or the request has no larger model.
    fn contention(&self, ctx: &RequestContext, resolved: &ResolvedRoute) -> Option<Contention> {
        let largest = resolved.route.models.len().checked_sub(1)?;
        if largest == 0 {
            return None;
        }
        let service = &resolved.service.name;
        let view = self.shared.view.load();
        let table = view.table.as_ref()?;
        let rank = table.relative_rank(service, resolved.priority())?;
        let now = self.now();
        let work = ctx.with_level(largest, || ctx.demand(resolved).work);
        Some(Contention {
            utilization: self.pool.borrow().utilization(service, &view.agreed, now),
            rank,
            work: self.large_work.borrow_mut().observe(service, work, now),
        })
    }

    /// Returns how long after the client's request a response of the model at `level` is expected
    /// to begin, or none if no upstream has capacity for it.
    fn forecast_start(
        &self,
        ctx: &RequestContext,
        resolved: &ResolvedRoute,
        level: usize,
    ) -> Option<Span> {
        // The request would have to join the line, and its answer would be gone.
        if self.lines.has_line(&resolved.service.name) {
            return None;
        }
        let (choice, own) = ctx.with_level(level, || {
            (self.choose(ctx, resolved), ctx.demand(resolved).prefill)
        });
        let Choice::Upstream(target) = choice else {
            return None;
        };
        let queued_prefill = self.pool.borrow().pending_prefill(&target.upstream) + own;
        let forecast = self.forecast.borrow();
        let wait = forecast.time_to_first_token(&resolved.service.name, queued_prefill);
        Some(self.now().since(ctx.received_at).plus(wait))
    }
}
