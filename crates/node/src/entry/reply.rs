//! HTTP responses to callers.

use masticlock_core::error::{self, Execution};
use poem::{
    Body, Response,
    http::{HeaderName, HeaderValue, StatusCode, header},
};
use serde_json::{Value, json};

/// Returns the JSON body of an error.
pub(super) fn error_value(error: &error::Error) -> Value {
    let properties = error.kind.response();
    let execution = match properties.execution {
        Execution::NotRun => "not_run",
        Execution::Unknown => "unknown",
        Execution::Ran => "ran",
    };
    json!({"error": {
        "code": properties.code,
        "message": error.message,
        "ran": execution,
        "repeat_safe": properties.repeat_safe,
        "retry_after_ms": error.retry_after_ms,
    }})
}

/// Returns the HTTP response for an error.
pub(super) fn error_response(error: &error::Error) -> Response {
    let properties = error.kind.response();
    let status =
        StatusCode::from_u16(properties.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = Response::builder()
        .status(status)
        .content_type("application/json")
        .body(error_value(error).to_string());
    if let Some(millis) = error.retry_after_ms {
        let seconds = HeaderValue::from(millis.div_ceil(1_000));
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    if matches!(
        error.kind,
        error::Kind::BodyTooLarge | error::Kind::SlowCaller
    ) {
        // Otherwise the unread rest of the body would be parsed as the head of the next request.
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Encodes an error as the last event of a stream.
pub(super) fn error_event(error: &error::Error) -> Vec<u8> {
    format!("event: error\ndata: {}\n\n", error_value(error)).into_bytes()
}

/// Builds a response. Headers that are not valid in HTTP are left out.
pub(super) fn response(status: u16, headers: Vec<(String, String)>, body: Body) -> Response {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::builder().status(status).body(body);
    for (name, value) in headers {
        let parsed = (HeaderName::try_from(name), HeaderValue::try_from(value));
        if let (Ok(name), Ok(value)) = parsed {
            response.headers_mut().append(name, value);
        }
    }
    response
}
