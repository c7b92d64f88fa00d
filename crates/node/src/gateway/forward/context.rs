//! A request with what has become of it.

use std::{
    cell::{Cell, RefCell},
    sync::Arc,
};

use hyper::{HeaderMap, Method, StatusCode, body::Bytes};
use masticlock_core::{
    digest,
    placement::Demand,
    retry_after::{self, Cause},
    route::{Kind, Route},
    time::{Span, Time},
};

use crate::gateway::{
    adapter::RequestHeaders,
    handler::{Refusal, ResolvedRoute},
};

/// Upstreams that may refuse a request or take no connection before the router gives up.
const MAX_REFUSALS: usize = 6;

/// Time that a caller without a deadline is taken to wait.
const DEADLINE: Span = Span::from_secs(10);

/// Time of an output token relative to that of a prompt token.
const OUTPUT_WORK: u64 = 10;

/// Least work of a token relative to that of the largest model.
const LEAST_WORK: f64 = 0.1;

/// A caller's request with what has become of it.
#[derive(Debug, Default)]
pub struct RequestContext {
    /// Host in lowercase, without port.
    pub host: String,
    /// Path.
    pub path: String,
    /// Path and query as the caller sent them.
    pub target: String,
    /// Method.
    pub method: Method,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// What the headers say.
    pub call: RequestHeaders,
    /// When its head had been read.
    pub arrived: Time,
    /// Digest of account, path and body.
    pub fingerprint: u64,
    /// Kind of its route, once it is known.
    pub kind: Cell<Option<Kind>>,
    /// Attempts that may have run.
    pub runs: Cell<u32>,
    /// Position of the model among those of the route.
    pub level: Cell<usize>,
    /// Upstreams that were tried.
    pub tried: RefCell<Vec<Arc<str>>>,
}

impl RequestContext {
    /// Returns the identity of the request, for logs.
    pub fn id(&self) -> &str {
        self.call.request_id.as_deref().unwrap_or("-")
    }

    /// Returns when the final answer is due.
    pub fn deadline(&self, route: &Route) -> Time {
        let limit = self
            .call
            .deadline
            .map_or(route.timeout, |d| d.min(route.timeout));
        self.arrived + limit
    }

    /// Returns the refusal of a request that has not run, with the time to come back.
    pub(super) fn later(&self, cause: Cause, reason: &'static str, now: Time) -> Refusal {
        let limit = self.call.deadline.unwrap_or(DEADLINE);
        let left = (self.arrived + limit).since(now);
        // A caller's attempts have different identities.
        let draw = digest::of(self.id().as_bytes());
        Refusal::later(retry_after::delay(cause, left, draw), reason)
    }

    /// Returns the refusal of a request that is given up.
    pub fn give_up(&self, reason: &'static str, now: Time) -> Refusal {
        if self.runs.get() > 0 {
            Refusal::of(StatusCode::BAD_GATEWAY, reason)
        } else {
            self.later(Cause::Unavailable, reason, now)
        }
    }

    /// Notes that an upstream has not run the request.
    ///
    /// # Errors
    ///
    /// Returns the refusal of the request after too many of them.
    pub(super) fn reject(&self, upstream: &Arc<str>, now: Time) -> Result<(), Refusal> {
        self.tried.borrow_mut().push(upstream.clone());
        if self.tried.borrow().len() >= MAX_REFUSALS {
            return Err(self.give_up("refused by upstreams", now));
        }
        Ok(())
    }

    /// Returns the refusal of a request whose time is over.
    pub(super) fn timed_out(&self, now: Time) -> Refusal {
        if self.runs.get() > 0 {
            Refusal::of(StatusCode::GATEWAY_TIMEOUT, "no answer in time")
        } else {
            self.later(Cause::Full, "no upstream in time", now)
        }
    }

    /// Returns the tokens of prompt and output.
    pub const fn tokens(&self) -> u64 {
        self.call.prompt_tokens + self.call.max_output_tokens
    }

    /// Returns what the request takes of an upstream.
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    pub fn size(&self, resolved: &ResolvedRoute) -> Demand {
        let models = resolved
            .service
            .engine
            .as_ref()
            .map_or(&[][..], |e| &e.models);
        let largest = models.iter().map(|m| m.cost).fold(0.0, f64::max);
        let model = self.model(&resolved.route);
        let cost = model.and_then(|name| models.iter().find(|m| m.name == *name));
        let weight = cost.map_or(1.0, |m| m.cost / largest.max(f64::MIN_POSITIVE));
        let weighted = |tokens: u64| (tokens as f64 * weight.max(LEAST_WORK)) as u64;
        let prompt = self.call.prompt_tokens;
        Demand {
            tokens: self.tokens(),
            work: weighted(prompt + OUTPUT_WORK * self.call.max_output_tokens),
            prefill: weighted(prompt),
        }
    }

    /// Returns the model that the router chose, if the caller leaves the choice.
    pub fn model<'a>(&self, route: &'a Route) -> Option<&'a Arc<str>> {
        if !self.call.any_model {
            return None;
        }
        route.models.get(self.level.get()).or(route.models.last())
    }

    /// Returns what the act returns while another model is the one to answer.
    pub(super) fn as_if<A, T>(&self, level: usize, act: A) -> T
    where
        A: FnOnce() -> T,
    {
        let level = self.level.replace(level);
        let result = act();
        self.level.set(level);
        result
    }

    /// Returns a digest of the longest part of the prompt that requests share, which requests of
    /// one session have in common.
    pub(super) fn session(&self) -> Option<u64> {
        let parts = &self.call.prompt_parts;
        // The last part is the request's own.
        parts.len().checked_sub(2).map(|at| parts[at].0)
    }

    /// Returns the tokens of the parts of the prompt that requests share.
    pub(super) fn shared_tokens(&self) -> u64 {
        let shared = self
            .call
            .prompt_parts
            .split_last()
            .map_or(&[][..], |(_, s)| s);
        shared.iter().map(|(_, tokens)| tokens).sum()
    }

    /// Returns a digest of the model and the part of the prompt that requests share.
    pub(super) fn subject(&self, route: &Route) -> u64 {
        let model = self.model(route).map_or(0, |m| digest::of(m.as_bytes()));
        digest::mix(model ^ self.session().unwrap_or(self.fingerprint))
    }
}
