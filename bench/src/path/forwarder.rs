use std::io;

use masticlock::fake::Line;
use poem::{Body, Endpoint, Request, Response};
use reqwest::Client;

/// Forwards every request to one target, without any decision.
pub struct Forwarder {
    line: Line,
}

impl Forwarder {
    /// Starts a forwarder.
    pub async fn start(target: String) -> io::Result<Self> {
        let client = Client::builder()
            .no_proxy()
            .tcp_nodelay(true)
            .build()
            .map_err(io::Error::other)?;
        let line = Line::start(Handler { client, target }).await?;
        Ok(Self { line })
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        self.line.url()
    }
}

struct Handler {
    client: Client,
    target: String,
}

impl Endpoint for Handler {
    type Output = Response;

    async fn call(&self, mut request: Request) -> poem::Result<Response> {
        let url = format!("{}{}", self.target, request.uri().path());
        let body = request.take_body().into_vec().await?;
        let mut sent = self
            .client
            .request(request.method().clone(), url)
            .body(body);
        for name in ["content-type", "idempotency-key"] {
            if let Some(value) = request.headers().get(name) {
                sent = sent.header(name, value.clone());
            }
        }
        let answer = sent.send().await.map_err(poem::error::BadGateway)?;
        let mut response = Response::builder().status(answer.status());
        if let Some(kind) = answer.headers().get("content-type") {
            response = response.header("content-type", kind.clone());
        }
        let body = answer.bytes_stream();
        Ok(response.body(Body::from_bytes_stream(
            futures_util::TryStreamExt::map_err(body, io::Error::other),
        )))
    }
}
