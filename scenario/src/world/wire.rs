//! Work on its way to upstreams and their answers.

use masticlock_core::{
    attempt::{Event, Fault, Usage},
    config::VersionStatus,
    name,
    slot::Lease,
};

use super::{
    Id, World,
    job::Claimed,
    message::{Body, Signal, Work},
    step::Step,
};

impl World {
    pub(super) fn send_work(
        &mut self,
        id: Id,
        request: &name::Request,
        attempt: u32,
        lease: &Lease,
        version: Option<name::Version>,
        after: Option<u64>,
    ) {
        let now = self.now;
        if let Some(fault) = self.closed(id, lease, version.as_ref()) {
            return self.on(id, request, Event::Failed { attempt, fault });
        }
        let Some(process) = self.entry(id) else {
            return;
        };
        if !process.holder.start(lease, now) {
            let fault = Fault::NotSent;
            return self.on(id, request, Event::Failed { attempt, fault });
        }
        let Some(job) = self.job(id, request) else {
            return;
        };
        let at = attempt as usize;
        if job.leases.len() <= at {
            job.leases.resize(at + 1, None);
        }
        job.leases[at] = Some(lease.clone());
        if job.claimed == Claimed::AfterSending {
            return;
        }
        self.transfer(id, request, attempt, lease, version, after);
        self.reach(Step::Sent, id, Some(request));
    }

    pub(super) fn transfer(
        &mut self,
        id: Id,
        request: &name::Request,
        attempt: u32,
        lease: &Lease,
        version: Option<name::Version>,
        after: Option<u64>,
    ) {
        let reachable = self.reachable(id);
        let Some(upstream) = self.find(lease.upstream.as_str()) else {
            return;
        };
        let Some(process) = self.entry(id) else {
            return;
        };
        let Some(job) = process.jobs.iter().find(|j| j.id == *request) else {
            return;
        };
        let fingerprint = job.fingerprint();
        process
            .tracker
            .started(fingerprint, lease.upstream.clone(), lease.incarnation);
        let work = Work {
            request: request.clone(),
            attempt,
            label: job.label.clone(),
            account: job.ask.account.clone(),
            key: job.key.as_ref().map(|k| k.key.clone()),
            version,
            repeatable: job.repeatable,
            after,
            crashes: job.crashes,
            deadline: job.ask.deadline,
            takes: job.takes,
            reachable,
        };
        self.send(id, upstream, Body::Work(Box::new(work)));
    }

    /// Returns why the upstream or version may get no new work.
    pub(super) fn closed(
        &mut self,
        id: Id,
        lease: &Lease,
        version: Option<&name::Version>,
    ) -> Option<Fault> {
        let config = self.entry(id)?.feed.config()?;
        if version.is_some_and(|v| config.version_status(v) == VersionStatus::Withdrawn) {
            return Some(Fault::Withdrawn);
        }
        let upstream = config.inventory.upstream(&lease.upstream);
        let domain = upstream.map(|u| &u.domain);
        let closed = config.drained.binary_search(&lease.upstream).is_ok()
            || domain.is_some_and(|d| config.taken_out.binary_search(d).is_ok());
        closed.then_some(Fault::Closed)
    }

    pub(super) fn cancel(
        &mut self,
        id: Id,
        request: &name::Request,
        attempt: u32,
        upstream: bool,
        discard: bool,
    ) {
        let Some(job) = self.job(id, request) else {
            return;
        };
        let Some(lease) = job.leases.get_mut(attempt as usize).and_then(Option::take) else {
            return;
        };
        self.no_longer_runs(id, request, &lease, false);
        let Some(to) = self.find(lease.upstream.as_str()) else {
            return;
        };
        if discard {
            self.net.discard(id, to);
        }
        if upstream {
            let request = request.clone();
            self.send(id, to, Body::Cancel { request });
        }
    }

    pub(super) fn no_longer_runs(
        &mut self,
        id: Id,
        request: &name::Request,
        lease: &Lease,
        completed: bool,
    ) {
        let Some(process) = self.entry(id) else {
            return;
        };
        let Some(job) = process.jobs.iter().find(|j| j.id == *request) else {
            return;
        };
        let fingerprint = job.fingerprint();
        let cleared =
            process
                .tracker
                .ended(fingerprint, &lease.upstream, lease.incarnation, completed);
        if let Some((key, evidence)) = cleared {
            self.spread(id, &key, &evidence);
        }
    }

    pub(super) fn signal(&mut self, id: Id, request: &name::Request, attempt: u32, signal: Signal) {
        let lease = self
            .job(id, request)
            .and_then(|j| j.leases.get(attempt as usize).cloned().flatten());
        let Some(lease) = lease else {
            return;
        };
        match signal {
            Signal::Head => {
                self.on(id, request, Event::Head { attempt });
                self.reach(Step::FirstByte, id, Some(request));
            }
            Signal::Piece {
                offset,
                text,
                usage,
            } => {
                self.keep(id, request, text);
                let event = Event::Chunk {
                    attempt,
                    offset: Some(offset),
                    usage,
                };
                self.on(id, request, event);
                if offset == 2 {
                    self.reach(Step::MidStream, id, Some(request));
                }
            }
            Signal::End { text } => {
                if let Some(text) = text {
                    self.keep(id, request, text);
                }
                self.no_longer_runs(id, request, &lease, true);
                let event = Event::Answered {
                    attempt,
                    usage: None::<Usage>,
                    certainty: None,
                };
                self.on(id, request, event);
            }
            Signal::Reset { incarnation } => {
                self.crashed_upstream(id, &lease.upstream, incarnation);
                let fault = Fault::Broken;
                self.on(id, request, Event::Failed { attempt, fault });
            }
            Signal::NotSent => {
                self.no_longer_runs(id, request, &lease, false);
                let fault = Fault::NotSent;
                self.on(id, request, Event::Failed { attempt, fault });
            }
        }
    }

    pub(super) fn keep(&mut self, id: Id, request: &name::Request, text: String) {
        if let Some(job) = self.job(id, request) {
            job.payload = Some(text);
        }
    }

    pub(super) fn crashed_upstream(&mut self, id: Id, upstream: &name::Upstream, incarnation: u64) {
        let now = self.now;
        let Some(process) = self.entry(id) else {
            return;
        };
        if let Some((key, evidence)) = process.tracker.crashed(upstream, incarnation, now) {
            self.spread(id, &key, &evidence);
        }
    }

    pub(super) fn slot_lost(&mut self, id: Id, lease: &Lease) {
        let Some(process) = self.entry(id) else {
            return;
        };
        let lost = process.jobs.iter().find_map(|job| {
            let at = job.leases.iter().position(|l| l.as_ref() == Some(lease))?;
            Some((job.id.clone(), u32::try_from(at).unwrap_or(u32::MAX)))
        });
        if let Some((request, attempt)) = lost {
            let fault = Fault::SlotLost;
            self.on(id, &request, Event::Failed { attempt, fault });
        }
    }
}
