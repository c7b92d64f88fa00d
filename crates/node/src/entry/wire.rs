use std::task::{Context, Poll};

use futures_util::{FutureExt, StreamExt, future::BoxFuture, stream::BoxStream};
use masticlock_core::attempt::{Fault, Usage};
use reqwest::{RequestBuilder, Response, StatusCode, header};
use serde::Deserialize;

use super::sse::{Item, Parser, RawUsage};

/// What an attempt's connection brought.
#[derive(Debug)]
pub(super) enum Signal {
    Head,
    Progress,
    Piece {
        offset: Option<u64>,
        bytes: Vec<u8>,
        usage: Option<Usage>,
    },
    Answered {
        usage: Option<Usage>,
        certainty: Option<f64>,
    },
    Failed(Fault),
}

/// A whole answer of an upstream.
#[derive(Clone, Debug)]
pub(super) struct Answer {
    pub(super) status: u16,
    pub(super) headers: Vec<(String, String)>,
    pub(super) body: Vec<u8>,
}

/// How an answer is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Mode {
    /// Events of a model's stream.
    Stream,
    /// A model's plain answer.
    Model,
    /// The answer of a plain service, whatever its status; `true` if a refusal
    /// may be retried.
    Service(bool),
}

enum State {
    Sending(BoxFuture<'static, reqwest::Result<Response>>),
    Receiving(BoxStream<'static, reqwest::Result<Vec<u8>>>),
    /// Reads the message of an upstream that rejected the request.
    Rejected(BoxFuture<'static, String>),
    Over,
}

/// The connection of one attempt.
pub(super) struct Wire {
    state: State,
    mode: Mode,
    parser: Parser,
    answer: Answer,
    last: (Option<Usage>, Option<f64>),
    max_bytes: usize,
    lost: BoxFuture<'static, ()>,
}

/// Headers that belong to one connection (RFC 9110, section 7.6.1) or that
/// the sender sets anew.
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

/// Longest message of an upstream that is passed on.
const MAX_MESSAGE_BYTES: usize = 512;

impl Wire {
    pub(super) fn send(
        request: RequestBuilder,
        mode: Mode,
        max_bytes: usize,
        lost: BoxFuture<'static, ()>,
    ) -> Self {
        Self {
            state: State::Sending(request.send().boxed()),
            mode,
            parser: Parser::default(),
            answer: Answer {
                status: 0,
                headers: Vec::new(),
                body: Vec::new(),
            },
            last: (None, None),
            max_bytes,
            lost,
        }
    }

    /// Returns the answer that was received as a whole.
    pub(super) fn take_answer(&mut self) -> Answer {
        Answer {
            status: self.answer.status,
            headers: std::mem::take(&mut self.answer.headers),
            body: std::mem::take(&mut self.answer.body),
        }
    }

    pub(super) fn poll(&mut self, context: &mut Context<'_>) -> Poll<Signal> {
        loop {
            if let Some(signal) = self.parsed() {
                return Poll::Ready(signal);
            }
            let signal = match &mut self.state {
                State::Over => return Poll::Pending,
                State::Sending(sending) => match sending.poll_unpin(context) {
                    Poll::Ready(Ok(response)) => self.head(response),
                    Poll::Ready(Err(error)) => Some(self.failed(&error)),
                    Poll::Pending => return self.poll_lost(context),
                },
                State::Rejected(message) => match message.poll_unpin(context) {
                    Poll::Ready(message) => {
                        self.state = State::Over;
                        Some(Signal::Failed(Fault::Rejected(message)))
                    }
                    Poll::Pending => return self.poll_lost(context),
                },
                State::Receiving(body) => match body.poll_next_unpin(context) {
                    Poll::Ready(Some(Ok(bytes))) => self.received(&bytes),
                    Poll::Ready(Some(Err(error))) => Some(self.failed(&error)),
                    Poll::Ready(None) => Some(self.ended()),
                    Poll::Pending => return self.poll_lost(context),
                },
            };
            if let Some(signal) = signal {
                return Poll::Ready(signal);
            }
        }
    }

    fn poll_lost(&mut self, context: &mut Context<'_>) -> Poll<Signal> {
        self.lost.poll_unpin(context).map(|()| {
            self.state = State::Over;
            Signal::Failed(Fault::SlotLost)
        })
    }

    fn failed(&mut self, error: &reqwest::Error) -> Signal {
        self.state = State::Over;
        log::debug!("attempt failed: {error}");
        let unsent = error.is_connect() || error.is_builder();
        Signal::Failed(if unsent {
            Fault::NotSent
        } else {
            Fault::Broken
        })
    }

    fn head(&mut self, response: Response) -> Option<Signal> {
        let status = response.status();
        let refused = matches!(
            status,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
        );
        let fault = match self.mode {
            Mode::Service(repeatable) => (repeatable && refused).then_some(Fault::Refused),
            Mode::Stream | Mode::Model if status == StatusCode::OK => None,
            // 404 says that the version or the stream is not there any more.
            Mode::Stream | Mode::Model if refused || status == StatusCode::NOT_FOUND => {
                Some(Fault::Refused)
            }
            Mode::Stream | Mode::Model if status.is_client_error() => {
                let message = async move { message_of(response).await };
                self.state = State::Rejected(message.boxed());
                return None;
            }
            Mode::Stream | Mode::Model => Some(Fault::Broken),
        };
        if let Some(fault) = fault {
            self.state = State::Over;
            return Some(Signal::Failed(fault));
        }
        self.answer.status = status.as_u16();
        self.answer.headers = kept_headers(&response, self.mode);
        let body = response.bytes_stream();
        self.state = State::Receiving(body.map(|piece| piece.map(|bytes| bytes.to_vec())).boxed());
        Some(Signal::Head)
    }

    fn received(&mut self, bytes: &[u8]) -> Option<Signal> {
        let fits = if self.mode == Mode::Stream {
            self.parser.push(bytes)
        } else {
            self.answer.body.extend_from_slice(bytes);
            self.answer.body.len() <= self.max_bytes
        };
        if !fits {
            self.state = State::Over;
            return Some(Signal::Failed(Fault::Broken));
        }
        (self.mode != Mode::Stream).then_some(Signal::Progress)
    }

    fn parsed(&mut self) -> Option<Signal> {
        if self.mode != Mode::Stream || matches!(self.state, State::Over) {
            return None;
        }
        match self.parser.next()? {
            Item::Done => {
                self.state = State::Over;
                let (usage, certainty) = self.last;
                Some(Signal::Answered { usage, certainty })
            }
            Item::Piece {
                offset,
                bytes,
                usage,
            } => {
                if let Some((usage, certainty)) = usage {
                    self.last = (Some(usage), certainty);
                }
                Some(Signal::Piece {
                    offset,
                    bytes,
                    usage: usage.map(|(usage, _)| usage),
                })
            }
        }
    }

    /// Returns the signal of a body that ended.
    fn ended(&mut self) -> Signal {
        self.state = State::Over;
        match self.mode {
            // A stream is complete only with its end mark.
            Mode::Stream => Signal::Failed(Fault::Broken),
            Mode::Service(_) => Signal::Answered {
                usage: None,
                certainty: None,
            },
            Mode::Model => match serde_json::from_slice::<Completion>(&self.answer.body) {
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

fn kept_headers(response: &Response, mode: Mode) -> Vec<(String, String)> {
    let is_kept = |name: &header::HeaderName| match mode {
        Mode::Stream | Mode::Model => *name == header::CONTENT_TYPE,
        Mode::Service(_) => !HOP_BY_HOP.contains(name),
    };
    let headers = response.headers().iter();
    headers
        .filter(|(name, _)| is_kept(name))
        .filter_map(|(name, value)| {
            let value = value.to_str().ok()?;
            Some((name.as_str().to_owned(), value.to_owned()))
        })
        .collect()
}

async fn message_of(mut response: Response) -> String {
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
