//! Configuration and crash evidence of an entry instance through the feed.

use std::sync::Arc;

use masticlock_core::{
    config::{Config, VersionStatus, insert_sorted},
    feed, gossip,
    slot::Exclusions,
    suspect::{Evidence, Id as EvidenceId},
};

use super::{
    Id, World,
    entry::{Held, Polling, Process},
    message::{Body, Redirect},
    record,
    step::Step,
};

impl World {
    pub(super) fn poll_tick(&mut self, id: Id) {
        let now = self.now;
        let Some(process) = self.entry(id) else {
            return;
        };
        let lost: Vec<_> = process.polls.extract_if(.., |p| p.until <= now).collect();
        for polling in &lost {
            process.feed.mark_failed(&polling.source, now);
        }
        for polling in lost {
            if let Some(to) = self.find(polling.source.address()) {
                self.net.discard(id, to);
            }
        }
        let Some(process) = self.entry(id) else {
            return;
        };
        process.feed.remove_lapsed_peers(now);
        let (held, urgent) = (
            process.polls.iter().any(|p| !p.urgent),
            process.polls.iter().any(|p| p.urgent),
        );
        if !held {
            self.poll(id, false);
        } else if !urgent && self.entry(id).is_some_and(|p| p.feed.is_urgent()) {
            self.poll(id, true);
        }
        self.wake_below(id);
    }

    pub(super) fn poll(&mut self, id: Id, urgent: bool) {
        let now = self.now;
        let Some(process) = self.entry(id) else {
            return;
        };
        let Some(source) = process.feed.source(now) else {
            return;
        };
        let outgoing = process.feed.next_poll(urgent, now);
        if urgent {
            process.feed.mark_urgent_sent();
        }
        process.next_call += 1;
        let call = process.next_call;
        let poll = Box::new(outgoing.poll.clone());
        let to = source.address().to_owned();
        process.polls.push(Polling {
            call,
            urgent,
            source,
            until: now + outgoing.poll.hold.plus(feed::POLL_MARGIN),
            outgoing,
        });
        if let Some(to) = self.find(&to) {
            self.send(id, to, Body::Poll { call, poll });
        }
    }

    pub(super) fn poll_answered(
        &mut self,
        id: Id,
        call: u64,
        reply: Result<Box<feed::Reply>, Redirect>,
    ) {
        let now = self.now;
        let Some(process) = self.entry(id) else {
            return;
        };
        let Some(at) = process.polls.iter().position(|p| p.call == call) else {
            return;
        };
        let polling = process.polls.remove(at);
        let reply = match reply {
            Ok(reply) => *reply,
            Err(redirect) => {
                process.feed.mark_failed(&polling.source, now);
                if let Some(leader) = redirect {
                    process.feed.set_leader(&leader);
                }
                return;
            }
        };
        let news = !matches!(reply.update, feed::Update::Same);
        if news {
            self.reach(Step::Delivered, id, None);
        }
        let Some(process) = self.entry(id) else {
            return;
        };
        match process.feed.handle_reply(&polling.outgoing, reply, now) {
            Ok(changed) => {
                process.feed.pause_stale_relay(&polling.source, now);
                if changed {
                    self.configured(id);
                }
                self.take_records(id);
            }
            Err(_) => process.feed.mark_failed(&polling.source, now),
        }
        let held = |p: &Process| p.polls.iter().any(|p| !p.urgent);
        if self.entry(id).is_some_and(|p| !held(p)) {
            self.poll(id, false);
        }
        self.wake_below(id);
    }

    /// Applies a new configuration.
    pub(super) fn configured(&mut self, id: Id) {
        let Some(process) = self.entry(id) else {
            return;
        };
        let Some(config) = process.feed.config().cloned() else {
            return;
        };
        let digest = process.feed.digest().to_owned();
        process.table.set_exclusions(closed(&config));
        self.record.applied.push(record::Applied {
            at: self.now,
            instance: self.parts[id].name.clone(),
            boot: self.parts[id].boot,
            revision: config.revision,
            digest,
        });
        self.reach(Step::Applied, id, None);
    }

    /// Takes crash evidence of other instances from the feed.
    pub(super) fn take_records(&mut self, id: Id) {
        let now = self.now;
        let Some(process) = self.entry(id) else {
            return;
        };
        for record in process.feed.take_new_records() {
            if let Ok((key, evidence)) =
                serde_json::from_str::<(EvidenceId, Evidence)>(&record.body)
            {
                let body = gossip::Body::Evidence(evidence.clone());
                process
                    .gossip
                    .put(gossip::Key::Evidence(key.clone()), key.boot, body, now);
                process.tracker.merge(&key, &evidence);
            }
        }
    }

    /// Spreads crash evidence in the failure domain and to the others.
    pub(super) fn spread(&mut self, id: Id, key: &EvidenceId, evidence: &Evidence) {
        let now = self.now;
        let Some(process) = self.entry(id) else {
            return;
        };
        let text = serde_json::to_string(&(key, evidence)).expect("evidence serializes");
        process.feed.add_records([feed::Record {
            id: format!("{key:?}"),
            body: text,
        }]);
        process.gossip.put(
            gossip::Key::Evidence(key.clone()),
            key.boot,
            gossip::Body::Evidence(evidence.clone()),
            now,
        );
        self.gossip_out(id);
    }

    pub(super) fn wake_below(&mut self, id: Id) {
        let now = self.now;
        let Some(process) = self.entry(id) else {
            return;
        };
        let feed = &process.feed;
        let due = |held: &mut Held| {
            let over = now.since(held.arrived) >= held.poll.hold.min(feed::HOLD);
            feed.is_admitted(&held.poll) && (over || feed.has_updates(&held.poll))
        };
        let ready: Vec<_> = process.held.extract_if(.., due).collect();
        process
            .held
            .retain(|h| now.since(h.arrived) < feed::HOLD.plus(feed::POLL_MARGIN));
        let feed = &process.feed;
        let replies: Vec<_> = ready
            .into_iter()
            .map(|h| (h.to, h.call, feed.reply(&h.poll, h.arrived, now)))
            .collect();
        for (to, call, reply) in replies {
            let reply = reply.map(Box::new).ok_or(None);
            self.reply(id, to, Body::Polled { call, reply });
        }
    }
}

fn closed(config: &Arc<Config>) -> Exclusions {
    let mut versions = config.withdrawn.clone();
    for version in &config.inventory.versions {
        if config.version_status(&version.name) == VersionStatus::Withdrawn {
            insert_sorted(&mut versions, version.name.clone());
        }
    }
    Exclusions {
        domains: config.taken_out.clone(),
        upstreams: config.drained.clone(),
        versions,
    }
}
