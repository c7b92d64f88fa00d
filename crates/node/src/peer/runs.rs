use std::{sync::Arc, time::Duration};

use masticlock_core::{
    error, machine, name,
    request::Fingerprint,
    slot::{Acquire, Lease, Report},
    suspect::{PROPAGATION_TIMEOUT, Status},
    time::Span,
};
use tokio::{
    net::TcpStream,
    time::{sleep, timeout},
};

use super::{Peer, run::TICK};
use crate::{client::ATTEMPT, rpc};

/// Longest wait for a connection that tells whether an upstream is still there.
const PROBE: Duration = Duration::from_millis(500);

/// Connections that are tried before the answer counts as unknown.
const PROBES: u32 = 3;

/// Pause between two connections. A process that ends closes its port some time after the first
/// connection breaks.
const PROBE_PAUSE: Duration = Duration::from_millis(50);

/// How long the exclusive right to run a suspect request lasts.
///
/// Longer than the longest request of the default settings.
const PERMIT: Span = Span::from_secs(65);

/// How long the control replicas are asked for it.
const PERMIT_LIMIT: Span = Span::from_secs(4);

/// A request that runs on a slot.
#[derive(Debug)]
struct Run {
    lease: Lease,
    fingerprint: Fingerprint,
    /// The request that holds the exclusive right, if the fingerprint is suspect.
    permit: Option<name::Request>,
}

/// Requests that run, and those whose upstream is being probed after a failure.
#[derive(Debug, Default)]
pub struct Runs {
    running: Vec<Run>,
    probed: Vec<Fingerprint>,
}

/// Returns what the exclusive right is asked for.
///
/// All suspects share one right: of two that run on one upstream, an innocent one would be found
/// guilty of the other's crash.
fn any_suspect() -> Fingerprint {
    Fingerprint::of_bytes(b"suspect requests")
}

/// Returns whether the process at a base URL refuses connections.
async fn is_gone(address: &str) -> bool {
    let host = address.split("://").last().unwrap_or_default();
    for _ in 0..PROBES {
        if let Ok(Err(_)) = timeout(PROBE, TcpStream::connect(host)).await {
            return true;
        }
        sleep(PROBE_PAUSE).await;
    }
    false
}

impl Peer {
    /// Waits for a slot as the crash evidence about the request allows.
    pub(super) async fn acquire_known(&self, ask: &Acquire) -> Result<Lease, error::Error> {
        let Some(fingerprint) = ask.fingerprint else {
            return self.acquire_any(ask).await;
        };
        let end = self.now() + ask.wait;
        loop {
            let permit = self.clearance(ask, fingerprint).await?;
            let left = Acquire {
                wait: end.since(self.now()),
                ..ask.clone()
            };
            let lease = match self.acquire_any(&left).await {
                Ok(lease) => lease,
                Err(error) => {
                    self.return_permit(permit);
                    return Err(error);
                }
            };
            // Evidence may have come while the request waited for the slot.
            if permit.is_none() && self.current_verdict(fingerprint) != Status::Clear {
                crate::port::Slots::release(self, lease, Report::NotSent);
                continue;
            }
            self.run_started(fingerprint, lease.upstream.clone(), lease.incarnation);
            self.runs().running.push(Run {
                lease: lease.clone(),
                fingerprint,
                permit,
            });
            return Ok(lease);
        }
    }

    fn current_verdict(&self, fingerprint: Fingerprint) -> Status {
        if self.runs().probed.contains(&fingerprint) {
            return Status::Pending;
        }
        self.verdict(fingerprint)
    }

    /// Waits until a request may run; returns the holder of the exclusive right if it needs one.
    async fn clearance(
        &self,
        ask: &Acquire,
        fingerprint: Fingerprint,
    ) -> Result<Option<name::Request>, error::Error> {
        let end = self.now() + ask.wait;
        loop {
            match self.current_verdict(fingerprint) {
                Status::Clear => return Ok(None),
                Status::Quarantined => {
                    let message = "this request crashed two upstreams and is not run again";
                    return Err(error::Error::new(error::Kind::Quarantined, message));
                }
                Status::Alone if self.snapshot.load().cut_off().is_some() => {
                    let message = "a suspect request needs contact to the control replicas";
                    return Err(error::Error::new(error::Kind::CutOff, message));
                }
                Status::Alone if self.ask_permit(ask).await => {
                    let permit = Some(ask.request.clone());
                    // The former holder's evidence may have come in the meantime.
                    if self.current_verdict(fingerprint) == Status::Alone {
                        return Ok(permit);
                    }
                    self.return_permit(permit);
                }
                Status::Alone | Status::Pending => {}
            }
            if self.now() >= end {
                let message = "the request is suspect and another copy of it is running";
                return Err(error::Error::new(error::Kind::Overloaded, message)
                    .retry_after(PROPAGATION_TIMEOUT.as_millis()));
            }
            sleep(TICK).await;
        }
    }

    async fn ask_permit(&self, ask: &Acquire) -> bool {
        let permit = machine::PermitRequest {
            fingerprint: any_suspect(),
            request: ask.request.clone(),
            instance: self.settings.instance.clone(),
            term: PERMIT,
        };
        let Some(control) = &self.control else {
            return false;
        };
        let granted = control
            .call(rpc::PERMIT_ACQUIRE, &permit, ATTEMPT, PERMIT_LIMIT)
            .await;
        granted.unwrap_or_else(|error| {
            log::debug!("no permit for request {}: {error}", ask.request);
            false
        })
    }

    fn return_permit(&self, holder: Option<name::Request>) {
        let (Some(request), Some(peer)) = (holder, self.itself()) else {
            return;
        };
        tokio::spawn(async move {
            let release = rpc::Release {
                fingerprint: any_suspect(),
                request,
                instance: peer.settings.instance.clone(),
            };
            let Some(control) = &peer.control else { return };
            let returned: Result<(), _> = control
                .call(rpc::PERMIT_RELEASE, &release, ATTEMPT, PERMIT_LIMIT)
                .await;
            if let Err(error) = returned {
                // The permit expires by itself.
                log::debug!("a permit was not returned: {error}");
            }
        });
    }

    /// Returns the exclusive right once all failure domains have the evidence of the crash.
    ///
    /// An instance that lacks it would run the request once more.
    fn return_permit_late(&self, holder: Option<name::Request>) {
        let Some(peer) = self.itself() else { return };
        tokio::spawn(async move {
            sleep(PROPAGATION_TIMEOUT.times(2).to_std()).await;
            peer.return_permit(holder);
        });
    }

    /// Records how the work on a slot ended.
    pub(super) fn run_released(&self, lease: &Lease, report: Report) {
        let run = {
            let mut runs = self.runs();
            let found = runs.running.iter().position(|run| run.lease == *lease);
            let Some(at) = found else { return };
            let run = runs.running.swap_remove(at);
            if report == Report::Failed {
                runs.probed.push(run.fingerprint);
            }
            run
        };
        let Some(peer) = self.itself() else { return };
        match report {
            Report::Failed => {
                tokio::spawn(async move { peer.probe(run).await });
            }
            Report::Completed { .. }
            | Report::Refused
            | Report::NotSent
            | Report::Unreachable
            | Report::Cancelled => {
                let completed = matches!(report, Report::Completed { .. });
                peer.end_run(run, completed);
            }
        }
    }

    fn end_run(&self, run: Run, completed: bool) {
        let (upstream, incarnation) = (&run.lease.upstream, run.lease.incarnation);
        self.run_ended(run.fingerprint, upstream, incarnation, completed);
        self.return_permit(run.permit);
    }

    /// Finds out whether an upstream crashed: a process that is gone refuses connections.
    async fn probe(self: &Arc<Self>, run: Run) {
        let crashed = is_gone(&run.lease.address).await;
        let fingerprint = run.fingerprint;
        if crashed {
            log::warn!("upstream {} crashed", run.lease.upstream);
            self.run_crashed(&run.lease.upstream, run.lease.incarnation)
                .await;
            self.return_permit_late(run.permit);
        } else {
            self.end_run(run, false);
        }
        self.forget_probe(fingerprint);
    }

    fn forget_probe(&self, fingerprint: Fingerprint) {
        let mut runs = self.runs();
        if let Some(at) = runs.probed.iter().position(|f| *f == fingerprint) {
            runs.probed.swap_remove(at);
        }
    }
}
