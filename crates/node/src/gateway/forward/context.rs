//! State of a request while it is forwarded.

use std::{
    cell::{Cell, OnceCell, RefCell},
    sync::Arc,
};

use hyper::{HeaderMap, Method, StatusCode, body::Bytes};
use masticlock_core::{
    digest,
    placement::Demand,
    request::Fingerprint,
    retry_after::{self, Cause},
    route::{Kind, Route},
    run::{History, Right},
    suspect::{Subject, Trial},
    time::{Span, Time},
};

use super::hand_over::PeerPlace;
use crate::gateway::{
    adapter::RequestHeaders,
    handler::{Refusal, ResolvedRoute},
    memory::Reservation,
};

/// Number of tried upstreams from which on the router gives up when one more refuses the request or
/// accepts no connection.
const MAX_REJECTIONS: usize = 6;

/// Assumed deadline of a client that names none.
const DEFAULT_DEADLINE: Span = Span::from_secs(10);

/// Processing time of an output token relative to that of a prompt token.
const OUTPUT_TOKEN_WORK: u64 = 10;

/// Minimum work of a token relative to its work at the largest model.
const MIN_TOKEN_WORK: f64 = 0.1;

/// A client's request and the state of its forwarding.
#[derive(Debug, Default)]
pub struct RequestContext {
    /// Host in lowercase, without port.
    pub host: String,
    /// Path.
    pub path: String,
    /// Path and query as the client sent them.
    pub path_and_query: String,
    /// Method.
    pub method: Method,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Memory of the body; none if it is empty.
    pub memory: Option<Reservation>,
    /// Parsed headers.
    pub meta: RequestHeaders,
    /// When the head had been read.
    pub received_at: Time,
    /// Digest of API key, path and body.
    pub fingerprint: u64,
    /// Kind of the route, once it is resolved.
    pub kind: Cell<Option<Kind>>,
    /// Digest of the route's name, once it is resolved.
    pub route_digest: Cell<u64>,
    /// Attempts that may have run.
    pub runs: Cell<History>,
    /// Position of the current model among those of the route.
    pub level: Cell<usize>,
    /// Upstreams that were tried and are not chosen again.
    pub tried: RefCell<Vec<Arc<str>>>,
    /// Place among the requests of peers, if another entry instance has handed the request over.
    pub peer_place: Option<PeerPlace>,
    /// Whether permits are wanted for the current attempt.
    pub has_wanted: Cell<bool>,
    /// Whether the response of the current attempt has begun.
    pub has_begun: Cell<bool>,
    /// Number of upstreams that crashed while they ran the request.
    pub crashes: Cell<u32>,
    /// Permission to send the request although it has suspect parts.
    pub trial: RefCell<Option<Trial>>,
    /// Time from which on the request waits for that permission.
    pub held_since: Cell<Option<Time>>,
    /// What a crash under the request may be due to, once it was asked for.
    pub subjects: OnceCell<Vec<Subject>>,
}

impl RequestContext {
    /// Returns the ID of the request for logs.
    pub fn id(&self) -> &str {
        self.meta.id.as_deref().unwrap_or("-")
    }

    /// Returns when the complete response is due.
    pub fn deadline(&self, route: &Route) -> Time {
        let limit = self
            .meta
            .deadline
            .map_or(route.timeout, |d| d.min(route.timeout));
        self.received_at + limit
    }

    /// Returns the refusal of a request that has not run, with the time after which the client may
    /// retry.
    pub(super) fn retry_later(&self, cause: Cause, reason: &'static str, now: Time) -> Refusal {
        let limit = self.meta.deadline.unwrap_or(DEFAULT_DEADLINE);
        let left = (self.received_at + limit).since(now);
        // Each attempt of a client has its own ID, so this spreads the retries.
        let draw = digest::of(self.id().as_bytes());
        Refusal::retryable(retry_after::delay(cause, left, draw), reason)
    }

    /// Returns the refusal of a request for which no upstream was chosen in time.
    pub(super) fn refuse(&self, cause: Cause, reason: &'static str, now: Time) -> Refusal {
        if self.run_count() > 0 {
            Refusal::new(StatusCode::BAD_GATEWAY, reason)
        } else {
            self.retry_later(cause, reason, now)
        }
    }

    /// Returns the refusal of a request that is given up.
    pub fn give_up(&self, reason: &'static str, now: Time) -> Refusal {
        self.refuse(Cause::Unavailable, reason, now)
    }

    /// Returns the number of attempts that may have run.
    pub(super) const fn run_count(&self) -> u32 {
        self.runs.get().count()
    }

    /// Counts an attempt and returns the right to send it, unless the request may have run and may
    /// not run again.
    pub(super) fn count_attempt(&self, route: &Route, is_peer: bool) -> Option<Right> {
        let mut runs = self.runs.get();
        let right = if is_peer {
            runs.begin_at_peer(route)
        } else {
            runs.begin(route)
        }?;
        self.runs.set(runs);
        self.has_begun.set(false);
        self.held_since.set(None);
        Some(right)
    }

    /// Returns the final refusal of a request that may have run and may not run again.
    pub(super) fn refuse_repeat() -> Refusal {
        Refusal::new(StatusCode::BAD_GATEWAY, "may have run")
    }

    /// Returns the final refusal of a request that crashes upstreams.
    pub(super) fn ban(&self, reason: &'static str) -> Refusal {
        let status = if self.run_count() > 0 {
            StatusCode::BAD_GATEWAY
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        Refusal::new(status, reason)
    }

    /// Records that an upstream has not run the request.
    ///
    /// # Errors
    ///
    /// Returns the refusal of the request if too many upstreams were tried.
    pub(super) fn mark_tried(&self, upstream: &Arc<str>, now: Time) -> Result<(), Refusal> {
        self.tried.borrow_mut().push(upstream.clone());
        if self.tried.borrow().len() >= MAX_REJECTIONS {
            return Err(self.give_up("refused by upstreams", now));
        }
        Ok(())
    }

    /// Returns the refusal of a request whose deadline has passed.
    pub(super) fn timed_out(&self, now: Time) -> Refusal {
        if self.run_count() > 0 {
            Refusal::new(StatusCode::GATEWAY_TIMEOUT, "no answer in time")
        } else {
            self.retry_later(Cause::Full, "no upstream in time", now)
        }
    }

    /// Returns the number of prompt tokens and maximum output tokens.
    pub const fn tokens(&self) -> u64 {
        self.meta.prompt_tokens + self.meta.max_output_tokens
    }

    /// Returns the processing time of a prompt token of the current model relative to that of the
    /// largest one.
    pub(super) fn token_weight(&self, resolved: &ResolvedRoute) -> f64 {
        let models = resolved
            .service
            .engine
            .as_ref()
            .map_or(&[][..], |e| &e.models);
        let largest = models.iter().map(|m| m.cost).fold(0.0, f64::max);
        let model = self.model(&resolved.route);
        let cost = model.and_then(|name| models.iter().find(|m| m.name == *name));
        let weight = cost.map_or(1.0, |m| m.cost / largest.max(f64::MIN_POSITIVE));
        weight.max(MIN_TOKEN_WORK)
    }

    /// Returns the capacity of an upstream that the request needs.
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    pub fn demand(&self, resolved: &ResolvedRoute) -> Demand {
        let weight = self.token_weight(resolved);
        let weighted = |tokens: u64| (tokens as f64 * weight) as u64;
        let prompt = self.meta.prompt_tokens;
        Demand {
            tokens: self.tokens(),
            work: weighted(prompt + OUTPUT_TOKEN_WORK * self.meta.max_output_tokens),
            prefill: weighted(prompt),
        }
    }

    /// Returns the model that the router chose, if the client leaves it the choice.
    pub fn model<'a>(&self, route: &'a Route) -> Option<&'a Arc<str>> {
        if !self.meta.any_model {
            return None;
        }
        route.models.get(self.level.get()).or(route.models.last())
    }

    /// Calls `act` while the model at `level` is the current one.
    pub(super) fn with_level<A, T>(&self, level: usize, act: A) -> T
    where
        A: FnOnce() -> T,
    {
        let level = self.level.replace(level);
        let result = act();
        self.level.set(level);
        result
    }

    /// Returns the digests of the shared parts of the prompt for logs, separated by commas.
    pub(super) fn part_list(&self) -> String {
        let shared = self.shared_parts().iter();
        let digests: Vec<_> = shared.map(|(part, _)| format!("{part:016x}")).collect();
        digests.join(",")
    }

    /// Records the route of the request.
    pub(super) fn set_route(&self, route: &Route) {
        self.kind.set(Some(route.kind));
        self.route_digest.set(digest::of(route.name.as_bytes()));
    }

    /// Returns what a crash under the request may be due to: the shared parts of its prompt, the same
    /// parts in requests of its route, and the request itself, which is the last entry.
    ///
    /// The route has to be known.
    pub(super) fn subjects(&self) -> &[Subject] {
        self.subjects.get_or_init(|| {
            let request = Subject::Request(Fingerprint::of_digest(self.fingerprint));
            let digests = self.shared_parts().iter().map(|(part, _)| *part);
            let route = self.route_digest.get();
            let of_route = digests.clone().map(|part| Subject::of_kind(part, route));
            let parts = digests.map(Subject::Part);
            parts.chain(of_route).chain([request]).collect()
        })
    }

    /// Returns the parts of the prompt that other requests may have too.
    pub(super) fn shared_parts(&self) -> &[(u64, u64)] {
        let parts = self.meta.prompt_parts.split_last();
        parts.map_or(&[][..], |(_, shared)| shared)
    }

    /// Returns the digest that identifies the longest shared prefix of the prompt, which the
    /// requests of a session have in common.
    pub(super) fn session_digest(&self) -> Option<u64> {
        let parts = &self.meta.prompt_parts;
        // The last part is not shared with other requests.
        parts.len().checked_sub(2).map(|at| parts[at].0)
    }

    /// Returns the number of tokens in the shared parts of the prompt.
    pub(super) fn shared_tokens(&self) -> u64 {
        self.shared_parts().iter().map(|(_, tokens)| tokens).sum()
    }

    /// Returns a digest of the model that the router chose, or 0 if the client names it.
    pub(super) fn model_digest(&self, route: &Route) -> u64 {
        self.model(route).map_or(0, |m| digest::of(m.as_bytes()))
    }

    /// Returns a digest of the model and the shared prefix of the prompt, or of the request if its
    /// prompt has none.
    pub(super) fn affinity_key(&self, route: &Route) -> u64 {
        let model = self.model_digest(route);
        digest::mix(model ^ self.session_digest().unwrap_or(self.fingerprint))
    }
}
