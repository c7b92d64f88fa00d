//! Builds and sends requests to upstreams.

use std::{sync::Arc, time::Duration};

use futures_util::future::BoxFuture;
use masticlock_core::{
    attempt::{Event, Safety, Work},
    claim, name, slot,
};
use reqwest::{Client, RequestBuilder, header};
use serde_json::Value;
use tokio::time::{sleep, timeout};

use super::{
    ActiveWork, Shared,
    admission::{AdmittedRequest, Outbound},
    driver::OperationResult,
    exchange::{Exchange, Mode, Signal, UpstreamResponse},
};
use crate::port::Report;

/// Time limit of a request that cancels a stream.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before another try to record the outcome of a claim.
const FINISH_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Maximum number of status lookups for one call.
const MAX_LOOKUPS: u32 = 3;
/// Delay between two status lookups.
const LOOKUP_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Sends an attempt to the upstream of a slot.
///
/// `after` is the offset of the last event that was received; `resume`
/// continues a stream instead of starting a completion.
pub(super) fn start(
    shared: &Shared,
    admitted: &AdmittedRequest,
    lease: &slot::Lease,
    version: Option<&name::Version>,
    after: Option<u64>,
    resume: bool,
) -> Exchange {
    let (request, mode) = match &admitted.outbound {
        Outbound::Model { body, streamed, .. } => {
            let client = shared.pools.get(&lease.address);
            let request = if resume {
                client.get(stream_url(lease, &admitted.request.id))
            } else {
                completion_request(&client, lease, body, version)
            };
            let mode = if *streamed { Mode::Stream } else { Mode::Model };
            (
                request.header("x-request-id", admitted.request.id.as_str()),
                mode,
            )
        }
        Outbound::Call {
            method,
            target,
            headers,
            body,
            ..
        } => {
            let repeatable = matches!(
                &admitted.request.work,
                Work::Call {
                    safety: Safety::Repeatable,
                    ..
                }
            );
            let client = if repeatable {
                shared.pools.get(&lease.address)
            } else {
                shared.pools.unpooled()
            };
            let request = client
                .request(method.clone(), format!("{}{target}", lease.address))
                .headers(headers.clone())
                .header("x-request-id", admitted.request.id.as_str())
                .body(body.clone());
            (request, Mode::Service(repeatable))
        }
    };
    let request = match after {
        Some(offset) => request.header("last-event-id", offset),
        None => request,
    };
    let lost = shared.slots.lost(lease);
    Exchange::send(request, mode, shared.settings.limits.answer_bytes, lost)
}

fn stream_url(lease: &slot::Lease, id: &name::Request) -> String {
    format!("{}/v1/streams/{id}", lease.address)
}

/// Builds a completion request that names the planned version as its model.
fn completion_request(
    client: &Client,
    lease: &slot::Lease,
    body: &serde_json::Map<String, Value>,
    version: Option<&name::Version>,
) -> RequestBuilder {
    let mut body = body.clone();
    if let Some(version) = version {
        body.insert("model".to_owned(), version.as_str().into());
    }
    client
        .post(format!("{}/v1/chat/completions", lease.address))
        .header(header::CONTENT_TYPE, "application/json")
        .body(Value::Object(body).to_string())
}

/// Cancels a stream at its upstream.
pub(super) fn cancel_stream(shared: &Arc<Shared>, lease: &slot::Lease, id: &name::Request) {
    let request = shared
        .pools
        .get(&lease.address)
        .delete(stream_url(lease, id));
    shared.runtime.spawn(async move {
        // A failure is tolerable: the upstream also sees that the connection is closed.
        if let Err(error) = request.timeout(CANCEL_TIMEOUT).send().await {
            log::debug!("failed to cancel a stream at its upstream: {error}");
        }
    });
}

/// Records the outcome of a claimed call; retries until the record is durable.
pub(super) fn finish_claim(shared: &Arc<Shared>, key: claim::Key, outcome: claim::Outcome) {
    let active = ActiveWork::new(shared);
    let claims = shared.claims.clone();
    shared.runtime.spawn(async move {
        while let Err(error) = claims.finish(key.clone(), outcome.clone()).await {
            log::warn!("failed to record the outcome of a claimed call, will retry: {error}");
            sleep(FINISH_RETRY_DELAY).await;
        }
        drop(active);
    });
}

/// Looks up the status of a call that may have run.
pub(super) fn look_up_status(
    shared: &Arc<Shared>,
    admitted: &AdmittedRequest,
) -> BoxFuture<'static, OperationResult> {
    let Outbound::Call {
        service,
        lookup: Some(path),
        ..
    } = &admitted.outbound
    else {
        return Box::pin(std::future::ready(Event::LookedUp(false).into()));
    };
    let acquire = slot::Acquire {
        request: admitted.request.id.clone(),
        account: admitted.request.account.clone(),
        fingerprint: None,
        target: slot::Target::Service(service.clone()),
        avoid: Vec::new(),
        wait: shared.settings.attempt.first_byte_timeout,
        hold: None,
    };
    let (shared, path) = (shared.clone(), path.clone());
    Box::pin(async move {
        for attempt in 0..MAX_LOOKUPS {
            if attempt > 0 {
                sleep(LOOKUP_RETRY_DELAY).await;
            }
            if let Some(response) = look_up_once(&shared, acquire.clone(), &path).await {
                return OperationResult {
                    event: Event::LookedUp(true),
                    response: Some(response),
                };
            }
        }
        Event::LookedUp(false).into()
    })
}

/// Sends one status lookup; returns a complete response with a status below 300.
async fn look_up_once(
    shared: &Shared,
    acquire: slot::Acquire,
    path: &str,
) -> Option<UpstreamResponse> {
    let lease = shared.slots.acquire(acquire).await.ok()?;
    let url = format!("{}{path}", lease.address);
    let request = shared.pools.unpooled().get(url);
    let lost = shared.slots.lost(&lease);
    let limit = shared.settings.limits.answer_bytes;
    let mut exchange = Exchange::send(request, Mode::Service(true), limit, lost);
    let reading = async {
        loop {
            match std::future::poll_fn(|context| exchange.poll(context)).await {
                Signal::Answered { .. } => return true,
                Signal::Failed(_) => return false,
                Signal::Head | Signal::Progress | Signal::Chunk { .. } => {}
            }
        }
    };
    let first_byte = shared.settings.attempt.first_byte_timeout.to_std();
    let is_complete = timeout(first_byte, reading).await.unwrap_or(false);
    let report = if is_complete {
        Report::Completed { first_ms: 0 }
    } else {
        Report::Failed
    };
    shared.slots.release(lease, report);
    let response = exchange.take_response();
    (is_complete && response.status < 300).then_some(response)
}
