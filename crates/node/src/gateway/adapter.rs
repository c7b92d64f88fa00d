//! The border to a platform: how its requests, headers and configurations read.

use std::sync::Arc;

use hyper::HeaderMap;
use masticlock_core::{route::Table, time::Span};

/// What a caller's headers say.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHeaders {
    /// Identity of the request.
    pub request_id: Option<Arc<str>>,
    /// How long the caller waits.
    pub deadline: Option<Span>,
    /// Key of the client account.
    pub api_key: Option<String>,
    /// Whether the caller leaves the choice of the model to the router.
    pub any_model: bool,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Most output tokens.
    pub max_output_tokens: u64,
    /// Parts of the prompt in order: digest and tokens. The last part is the request's own.
    pub prompt_parts: Vec<(u64, u64)>,
    /// Number of the last event of the stream that the caller has.
    pub last_event_id: Option<u64>,
}

/// What an upstream is told beside the caller's own headers.
#[derive(Clone, Copy, Debug)]
pub struct ForwardHeaders<'a> {
    /// Time that is left.
    pub remaining_time: Span,
    /// The only upstream that may run the request.
    pub upstream: &'a str,
    /// The caller's client account.
    pub account: Option<&'a str>,
    /// The model that the router chose.
    pub model: Option<&'a str>,
    /// Number of the last event that the caller has.
    pub last_event_id: Option<u64>,
    /// Urgency at the engine, from 0 for the most urgent to 9.
    pub engine_priority: u8,
}

/// What an upstream's headers say.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHeaders {
    /// Identity of the request that it answers.
    pub request_id: Option<String>,
    /// Whether the upstream vouches for the answer.
    pub signed: bool,
    /// Whether the upstream says that it has not run the request.
    pub not_run: bool,
    /// The model's own estimate of its answer, from 0 to 100.
    pub confidence: Option<u8>,
    /// How long the upstream keeps the connection open without a request.
    pub keep_alive: Option<Span>,
    /// Whether the upstream says that it leaves.
    pub leaving: bool,
    /// How long the upstream wants no requests from this instance. It counts for a refusal only.
    pub retry_after: Option<Span>,
}

/// Reads and writes a platform's headers and configurations.
pub trait Adapter {
    /// Reads and checks a configuration.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with it.
    fn parse_table(&self, content: &[u8]) -> Result<Table, String>;

    /// Reads a caller's headers.
    ///
    /// # Errors
    ///
    /// Returns which header can't be read.
    fn parse_request(&self, headers: &HeaderMap) -> Result<RequestHeaders, String>;

    /// Returns the headers for an upstream: the caller's, without those that only the router may
    /// set, and the router's own.
    fn forward_headers(&self, headers: &HeaderMap, out: &ForwardHeaders<'_>) -> HeaderMap;

    /// Reads an upstream's headers.
    fn parse_response(&self, headers: &HeaderMap) -> ResponseHeaders;
}
