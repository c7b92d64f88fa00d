use std::{future::Future, sync::Arc, time::Duration};

use jsonrpsee::Methods;
use poem::{Endpoint, Request, Response, Server, http::StatusCode, listener::TcpAcceptor};
use tokio::time::timeout;

use crate::rpc;

/// Longest time that a caller may take to send its request.
const BODY_LIMIT: Duration = Duration::from_secs(5);

/// How long open calls may take after the stop was asked for.
const STOP_LIMIT: Duration = Duration::from_secs(3);

/// Path of the health check.
const HEALTH: &str = "/healthz";

/// Serves JSON-RPC methods to callers that have the cluster secret.
struct Rpc {
    methods: Methods,
    secret: Arc<str>,
}

impl Rpc {
    async fn answer(&self, mut request: Request) -> Result<String, StatusCode> {
        if !rpc::is_authorized(request.header("authorization"), &self.secret) {
            return Err(StatusCode::UNAUTHORIZED);
        }
        let body = request.take_body().into_bytes_limit(rpc::MAX_BODY_BYTES);
        let bytes = timeout(BODY_LIMIT, body)
            .await
            .map_err(|_| StatusCode::REQUEST_TIMEOUT)?
            .map_err(|_| StatusCode::PAYLOAD_TOO_LARGE)?;
        let text = std::str::from_utf8(&bytes).map_err(|_| StatusCode::BAD_REQUEST)?;
        let (answer, _) = self
            .methods
            .raw_json_request(text, 1)
            .await
            .map_err(|_| StatusCode::BAD_REQUEST)?;
        Ok(answer.get().to_owned())
    }
}

impl Endpoint for Rpc {
    type Output = Response;

    async fn call(&self, request: Request) -> poem::Result<Response> {
        if request.uri().path() == HEALTH {
            return Ok(Response::builder().body("ok\n"));
        }
        Ok(match self.answer(request).await {
            Ok(body) => Response::builder()
                .content_type("application/json")
                .body(body),
            Err(status) => Response::builder().status(status).finish(),
        })
    }
}

/// Serves the methods on a bound listener until `stop` is over and open calls have ended.
///
/// # Errors
///
/// Returns the listener's error.
pub async fn serve<F>(
    listener: std::net::TcpListener,
    methods: Methods,
    secret: &str,
    stop: F,
) -> std::io::Result<()>
where
    F: Future<Output = ()>,
{
    listener.set_nonblocking(true)?;
    let acceptor = TcpAcceptor::from_std(listener)?;
    let endpoint = Rpc {
        methods,
        secret: Arc::from(secret),
    };
    Server::new_with_acceptor(acceptor)
        .run_with_graceful_shutdown(endpoint, stop, Some(STOP_LIMIT))
        .await
}
