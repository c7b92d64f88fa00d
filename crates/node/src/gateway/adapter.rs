//! Adapter to a platform: translates its headers and configurations.

use std::sync::Arc;

use hyper::HeaderMap;
use masticlock_core::{limit::Statement, route::Table, time::Span};

/// Parsed headers of a client request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHeaders {
    /// ID of the request.
    pub id: Option<Arc<str>>,
    /// How long the client waits.
    pub deadline: Option<Span>,
    /// API key of the client account.
    pub api_key: Option<String>,
    /// Whether the client leaves the choice of the model to the router.
    pub any_model: bool,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Maximum number of output tokens.
    pub max_output_tokens: u64,
    /// Digest and number of tokens of each part of the prompt, in order. The last part is not
    /// shared with other requests.
    pub prompt_parts: Vec<(u64, u64)>,
    /// ID of the last event of the stream that the client has received.
    pub last_event_id: Option<u64>,
}

/// Values of the headers that the router adds to a request for an upstream.
#[derive(Clone, Copy, Debug)]
pub struct ForwardHeaders<'a> {
    /// Time until the deadline.
    pub remaining_time: Span,
    /// The only upstream that may run the request.
    pub upstream: &'a str,
    /// The client account.
    pub account: Option<&'a str>,
    /// The model that the router chose.
    pub model: Option<&'a str>,
    /// ID of the last event that the client has received.
    pub last_event_id: Option<u64>,
    /// Priority at the engine, from 0 for the highest to 9.
    pub engine_priority: u8,
}

/// Parsed headers of an upstream's response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHeaders {
    /// ID of the request that it belongs to.
    pub id: Option<String>,
    /// Whether the response has the signature of an upstream.
    pub signed: bool,
    /// Whether the upstream reports that it has not run the request.
    pub not_run: bool,
    /// The model's confidence in its answer, from 0 to 100.
    pub confidence: Option<u8>,
    /// How long the upstream keeps an idle connection open.
    pub keep_alive: Option<Span>,
    /// Whether the upstream reports that it shuts down.
    pub leaving: bool,
    /// How long the upstream wants no requests from this instance. It is used with status 503 only.
    pub retry_after: Option<Span>,
    /// What the upstream states about the rate that it accepts from all instances together.
    pub limit: Statement,
    /// What the upstream states about the rate at which it can reject requests of all instances
    /// together without a crash.
    pub rejects: Statement,
}

/// Translates a platform's headers and configurations.
pub trait Adapter {
    /// Parses and validates a configuration.
    ///
    /// # Errors
    ///
    /// Returns a message that describes the problem.
    fn parse_table(&self, content: &[u8]) -> Result<Table, String>;

    /// Parses the headers of a client request.
    ///
    /// # Errors
    ///
    /// Returns a message that names the invalid header.
    fn parse_request(&self, headers: &HeaderMap) -> Result<RequestHeaders, String>;

    /// Returns the headers for an upstream: those of the client, without the ones that only the
    /// router may set, and those that the router adds.
    fn forward_headers(&self, headers: &HeaderMap, added: &ForwardHeaders<'_>) -> HeaderMap;

    /// Returns the headers for a peer: those of the client, with the remaining time and the last
    /// event that it has received.
    fn peer_headers(
        &self,
        headers: &HeaderMap,
        remaining_time: Span,
        last_event_id: Option<u64>,
    ) -> HeaderMap;

    /// Parses the headers of an upstream's response.
    fn parse_response(&self, headers: &HeaderMap) -> ResponseHeaders;
}
