//! Requests to upstreams.

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
    Active, Shared,
    driver::Outcome,
    job::{Job, Kind},
    wire::{Answer, Mode, Signal, Wire},
};
use crate::port::Report;

/// Time limit of a cancellation.
const CANCEL: Duration = Duration::from_secs(2);
/// Wait before a claim's end is recorded again.
const FINISH_REPEAT: Duration = Duration::from_millis(200);
/// Times that the status of a call is looked up.
const LOOKUPS: u32 = 3;
/// Wait before the status of a call is looked up again.
const LOOKUP_REPEAT: Duration = Duration::from_millis(200);

/// Sends an attempt.
pub(super) fn wire(
    shared: &Shared,
    job: &Job,
    lease: &slot::Lease,
    version: Option<&name::Version>,
    after: Option<u64>,
    resume: bool,
) -> Wire {
    let (request, mode) = match &job.kind {
        Kind::Model { body, streamed, .. } => {
            let client = shared.pools.get(&lease.address);
            let request = if resume {
                client.get(stream_url(lease, &job.ask.id))
            } else {
                completion(&client, lease, body, version)
            };
            let mode = if *streamed { Mode::Stream } else { Mode::Model };
            (request.header("x-request-id", job.ask.id.as_str()), mode)
        }
        Kind::Call {
            method,
            target,
            headers,
            body,
            ..
        } => {
            let repeatable = matches!(
                &job.ask.work,
                Work::Call {
                    safety: Safety::Repeatable,
                    ..
                }
            );
            let client = if repeatable {
                shared.pools.get(&lease.address)
            } else {
                shared.pools.single()
            };
            let request = client
                .request(method.clone(), format!("{}{target}", lease.address))
                .headers(headers.clone())
                .header("x-request-id", job.ask.id.as_str())
                .body(body.clone());
            (request, Mode::Service(repeatable))
        }
    };
    let request = match after {
        Some(offset) => request.header("last-event-id", offset),
        None => request,
    };
    let lost = shared.slots.lost(lease);
    Wire::send(request, mode, shared.settings.limits.answer_bytes, lost)
}

fn stream_url(lease: &slot::Lease, id: &name::Request) -> String {
    format!("{}/v1/streams/{id}", lease.address)
}

fn completion(
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
pub(super) fn cancel(shared: &Arc<Shared>, lease: &slot::Lease, id: &name::Request) {
    let request = shared
        .pools
        .get(&lease.address)
        .delete(stream_url(lease, id));
    shared.runtime.spawn(async move {
        // The upstream also sees that the connection is closed.
        if let Err(error) = request.timeout(CANCEL).send().await {
            log::debug!("a stream could not be cancelled: {error}");
        }
    });
}

/// Records how a claimed call ended, until that is durable.
pub(super) fn finish_claim(shared: &Arc<Shared>, key: claim::Key, end: claim::Outcome) {
    let active = Active::new(shared);
    let claims = shared.claims.clone();
    shared.runtime.spawn(async move {
        while let Err(error) = claims.finish(key.clone(), end.clone()).await {
            log::warn!("the end of a claimed call is not durable yet: {error}");
            sleep(FINISH_REPEAT).await;
        }
        drop(active);
    });
}

/// Looks the status of a call up that may have run.
pub(super) fn lookup(shared: &Arc<Shared>, job: &Job) -> BoxFuture<'static, Outcome> {
    let Kind::Call {
        service,
        lookup: Some(path),
        ..
    } = &job.kind
    else {
        return Box::pin(std::future::ready(Event::LookedUp(false).into()));
    };
    let ask = slot::Acquire {
        request: job.ask.id.clone(),
        account: job.ask.account.clone(),
        fingerprint: None,
        target: slot::Target::Service(service.clone()),
        avoid: Vec::new(),
        wait: shared.settings.attempt.first_byte_timeout,
        hold: None,
    };
    let (shared, path) = (shared.clone(), path.clone());
    Box::pin(async move {
        for at in 0..LOOKUPS {
            if at > 0 {
                sleep(LOOKUP_REPEAT).await;
            }
            if let Some(answer) = look(&shared, ask.clone(), &path).await {
                return Outcome {
                    event: Event::LookedUp(true),
                    answer: Some(answer),
                };
            }
        }
        Event::LookedUp(false).into()
    })
}

async fn look(shared: &Shared, ask: slot::Acquire, path: &str) -> Option<Answer> {
    let lease = shared.slots.acquire(ask).await.ok()?;
    let url = format!("{}{path}", lease.address);
    let request = shared.pools.single().get(url);
    let lost = shared.slots.lost(&lease);
    let limit = shared.settings.limits.answer_bytes;
    let mut wire = Wire::send(request, Mode::Service(true), limit, lost);
    let reading = async {
        loop {
            match std::future::poll_fn(|context| wire.poll(context)).await {
                Signal::Answered { .. } => return true,
                Signal::Failed(_) => return false,
                Signal::Head | Signal::Progress | Signal::Piece { .. } => {}
            }
        }
    };
    let first_byte = shared.settings.attempt.first_byte_timeout.to_std();
    let complete = timeout(first_byte, reading).await.unwrap_or(false);
    let report = if complete {
        Report::Completed { first_ms: 0 }
    } else {
        Report::Failed
    };
    shared.slots.release(lease, report);
    let answer = wire.take_answer();
    (complete && answer.status < 300).then_some(answer)
}
