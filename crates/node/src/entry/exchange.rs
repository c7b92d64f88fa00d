//! One HTTP exchange with an upstream.

use std::task::{Context, Poll};

use futures_util::{FutureExt, StreamExt, future::BoxFuture, stream::BoxStream};
use masticlock_core::attempt::{Fault, Usage};
use reqwest::{RequestBuilder, Response, StatusCode, header};
use serde::Deserialize;

use super::sse::{Event, Parser, RawUsage};

/// Progress of an exchange.
#[derive(Debug)]
pub(super) enum Signal {
    /// The head of the response was received and accepted.
    Head,
    /// Bytes of a response that isn't a stream were received.
    Progress,
    /// An event of a stream was received.
    Chunk {
        offset: Option<u64>,
        bytes: Vec<u8>,
        usage: Option<Usage>,
    },
    /// The response is complete.
    Answered {
        usage: Option<Usage>,
        certainty: Option<f64>,
    },
    /// The exchange failed.
    Failed(Fault),
}

/// A complete response of an upstream.
#[derive(Clone, Debug)]
pub(super) struct UpstreamResponse {
    pub(super) status: u16,
    pub(super) headers: Vec<(String, String)>,
    pub(super) body: Vec<u8>,
}

/// How a response is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Mode {
    /// A model's event stream.
    Stream,
    /// A model's response that isn't streamed.
    Model,
    /// A response of a plain service, accepted with any status. If `true`, the
    /// statuses 429 and 503 fail the attempt instead, so that it may be retried.
    Service(bool),
}

enum State {
    Sending(BoxFuture<'static, reqwest::Result<Response>>),
    Receiving(BoxStream<'static, reqwest::Result<Vec<u8>>>),
    /// Reads the error message of an upstream that rejected the request.
    Rejected(BoxFuture<'static, String>),
    Ended,
}

/// One HTTP request to an upstream and its response.
pub(super) struct Exchange {
    state: State,
    mode: Mode,
    parser: Parser,
    response: UpstreamResponse,
    /// Latest usage and certainty of a stream.
    final_usage: (Option<Usage>, Option<f64>),
    max_bytes: usize,
    /// Resolves when the slot of the exchange is lost.
    slot_lost: BoxFuture<'static, ()>,
}

/// Headers that apply to one connection only (RFC 9110, section 7.6.1) or that
/// the sender sets itself.
pub(super) const HOP_BY_HOP: [header::HeaderName; 8] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::HOST,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Maximum length in bytes of an upstream's error message that is forwarded.
const MAX_MESSAGE_BYTES: usize = 512;

impl Exchange {
    /// Sends a request. `max_bytes` limits the size of a response that isn't streamed.
    pub(super) fn send(
        request: RequestBuilder,
        mode: Mode,
        max_bytes: usize,
        slot_lost: BoxFuture<'static, ()>,
    ) -> Self {
        Self {
            state: State::Sending(request.send().boxed()),
            mode,
            parser: Parser::default(),
            response: UpstreamResponse {
                status: 0,
                headers: Vec::new(),
                body: Vec::new(),
            },
            final_usage: (None, None),
            max_bytes,
            slot_lost,
        }
    }

    /// Takes the complete response out of the exchange.
    pub(super) fn take_response(&mut self) -> UpstreamResponse {
        UpstreamResponse {
            status: self.response.status,
            headers: std::mem::take(&mut self.response.headers),
            body: std::mem::take(&mut self.response.body),
        }
    }

    /// Polls for the next signal. Stays pending after the last one.
    pub(super) fn poll(&mut self, context: &mut Context<'_>) -> Poll<Signal> {
        loop {
            if let Some(signal) = self.next_stream_signal() {
                return Poll::Ready(signal);
            }
            let signal = match &mut self.state {
                State::Ended => return Poll::Pending,
                State::Sending(sending) => match sending.poll_unpin(context) {
                    Poll::Ready(Ok(response)) => self.handle_head(response),
                    Poll::Ready(Err(error)) => Some(self.handle_error(&error)),
                    Poll::Pending => return self.poll_slot_lost(context),
                },
                State::Rejected(message) => match message.poll_unpin(context) {
                    Poll::Ready(message) => {
                        self.state = State::Ended;
                        Some(Signal::Failed(Fault::Rejected(message)))
                    }
                    Poll::Pending => return self.poll_slot_lost(context),
                },
                State::Receiving(body) => match body.poll_next_unpin(context) {
                    Poll::Ready(Some(Ok(bytes))) => self.handle_bytes(&bytes),
                    Poll::Ready(Some(Err(error))) => Some(self.handle_error(&error)),
                    Poll::Ready(None) => Some(self.handle_end()),
                    Poll::Pending => return self.poll_slot_lost(context),
                },
            };
            if let Some(signal) = signal {
                return Poll::Ready(signal);
            }
        }
    }

    fn poll_slot_lost(&mut self, context: &mut Context<'_>) -> Poll<Signal> {
        self.slot_lost.poll_unpin(context).map(|()| {
            self.state = State::Ended;
            Signal::Failed(Fault::SlotLost)
        })
    }

    fn handle_error(&mut self, error: &reqwest::Error) -> Signal {
        self.state = State::Ended;
        log::debug!("attempt failed: {error}");
        let is_unsent = error.is_connect() || error.is_builder();
        Signal::Failed(if is_unsent {
            Fault::NotSent
        } else {
            Fault::Broken
        })
    }

    /// Decides by the status whether the response is read, and starts to read it.
    fn handle_head(&mut self, response: Response) -> Option<Signal> {
        let status = response.status();
        let is_refused = matches!(
            status,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
        );
        let fault = match self.mode {
            Mode::Service(repeatable) => (repeatable && is_refused).then_some(Fault::Refused),
            Mode::Stream | Mode::Model if status == StatusCode::OK => None,
            // 404 means that the version or the stream no longer exists there.
            Mode::Stream | Mode::Model if is_refused || status == StatusCode::NOT_FOUND => {
                Some(Fault::Refused)
            }
            Mode::Stream | Mode::Model if status.is_client_error() => {
                let message = async move { rejection_message(response).await };
                self.state = State::Rejected(message.boxed());
                return None;
            }
            Mode::Stream | Mode::Model => Some(Fault::Broken),
        };
        if let Some(fault) = fault {
            self.state = State::Ended;
            return Some(Signal::Failed(fault));
        }
        self.response.status = status.as_u16();
        self.response.headers = forwarded_headers(&response, self.mode);
        let body = response.bytes_stream();
        self.state = State::Receiving(body.map(|chunk| chunk.map(|bytes| bytes.to_vec())).boxed());
        Some(Signal::Head)
    }

    fn handle_bytes(&mut self, bytes: &[u8]) -> Option<Signal> {
        let is_within_limit = if self.mode == Mode::Stream {
            self.parser.push(bytes)
        } else {
            self.response.body.extend_from_slice(bytes);
            self.response.body.len() <= self.max_bytes
        };
        if !is_within_limit {
            self.state = State::Ended;
            return Some(Signal::Failed(Fault::Broken));
        }
        (self.mode != Mode::Stream).then_some(Signal::Progress)
    }

    /// Returns the signal of the next complete event of a stream.
    fn next_stream_signal(&mut self) -> Option<Signal> {
        if self.mode != Mode::Stream || matches!(self.state, State::Ended) {
            return None;
        }
        match self.parser.next()? {
            Event::Done => {
                self.state = State::Ended;
                let (usage, certainty) = self.final_usage;
                Some(Signal::Answered { usage, certainty })
            }
            Event::Chunk {
                offset,
                bytes,
                usage,
            } => {
                if let Some((usage, certainty)) = usage {
                    self.final_usage = (Some(usage), certainty);
                }
                Some(Signal::Chunk {
                    offset,
                    bytes,
                    usage: usage.map(|(usage, _)| usage),
                })
            }
        }
    }

    /// Returns the signal for the end of the body.
    fn handle_end(&mut self) -> Signal {
        self.state = State::Ended;
        match self.mode {
            // A stream without its end marker is incomplete.
            Mode::Stream => Signal::Failed(Fault::Broken),
            Mode::Service(_) => Signal::Answered {
                usage: None,
                certainty: None,
            },
            Mode::Model => match serde_json::from_slice::<Completion>(&self.response.body) {
                Ok(completion) => Signal::Answered {
                    usage: completion.usage.map(Into::into),
                    certainty: completion.choices.first().and_then(|c| c.certainty),
                },
                Err(_) => Signal::Failed(Fault::Broken),
            },
        }
    }
}

#[derive(Deserialize)]
struct Completion {
    usage: Option<RawUsage>,
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    certainty: Option<f64>,
}

/// Returns the response headers that are forwarded to the caller.
fn forwarded_headers(response: &Response, mode: Mode) -> Vec<(String, String)> {
    let is_forwarded = |name: &header::HeaderName| match mode {
        Mode::Stream | Mode::Model => *name == header::CONTENT_TYPE,
        Mode::Service(_) => !HOP_BY_HOP.contains(name),
    };
    let headers = response.headers().iter();
    headers
        .filter(|(name, _)| is_forwarded(name))
        .filter_map(|(name, value)| {
            let value = value.to_str().ok()?;
            Some((name.as_str().to_owned(), value.to_owned()))
        })
        .collect()
}

/// Returns the error message for a rejected request, with the start of the response body.
async fn rejection_message(mut response: Response) -> String {
    let status = response.status();
    let mut bytes = Vec::new();
    while let Ok(Some(chunk)) = response.chunk().await {
        bytes.extend_from_slice(&chunk);
        if bytes.len() >= MAX_MESSAGE_BYTES {
            break;
        }
    }
    bytes.truncate(MAX_MESSAGE_BYTES);
    let text = String::from_utf8_lossy(&bytes);
    format!("the engine rejected the request with {status}: {text}")
}
