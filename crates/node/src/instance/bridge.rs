use std::sync::Arc;

use arc_swap::ArcSwap;
use masticlock_core::{
    config::Config,
    feed::Record,
    gossip::{self, Key},
    timeline::EventKind,
};
use tokio::{
    sync::mpsc,
    time::{MissedTickBehavior, interval},
};

use crate::{
    clock::Clock,
    feed::{Feed, View},
    journal::Journal,
    peer::{Peer, TICK},
    port::Snapshot,
};

/// Joins the configuration feed, which reaches all failure domains, with what the instances of
/// one failure domain share.
///
/// Restrictions and crash evidence go both ways, and traffic gets the accepted configuration with
/// the restrictions that no revision lifted.
pub struct Bridge {
    pub feed: Feed,
    pub peer: Arc<Peer>,
    pub snapshot: Arc<ArcSwap<Snapshot>>,
    pub journal: Journal,
    pub clock: Clock,
}

/// What the bridge did last.
#[derive(Default)]
struct Done {
    /// Keys of records that the feed has, sorted.
    given: Vec<Key>,
    applied: Option<u64>,
    connected: bool,
}

impl Bridge {
    /// Runs until the feed ends.
    pub async fn run(self, mut records: mpsc::UnboundedReceiver<Vec<Record>>) {
        let mut view = self.feed.watch();
        let mut tick = interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut done = Done::default();
        loop {
            tokio::select! {
                changed = view.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
                Some(records) = records.recv() => self.take(&records, &mut done),
                _ = tick.tick() => self.give(&mut done).await,
            }
            let now = view.borrow_and_update().clone();
            self.publish(&now, &mut done);
        }
    }

    /// Takes records that came from other failure domains.
    fn take(&self, records: &[Record], done: &mut Done) {
        let mut parsed = Vec::new();
        for record in records {
            match serde_json::from_str::<gossip::Record>(&record.body) {
                Ok(record) => {
                    insert(&mut done.given, &record.key);
                    parsed.push(record);
                }
                Err(error) => log::error!("record {} can't be read: {error}", record.id),
            }
        }
        self.peer.take_records(parsed);
    }

    /// Gives the feed the records of this failure domain that it does not have.
    async fn give(&self, done: &mut Done) {
        let mut fresh = Vec::new();
        for record in self.peer.global_records() {
            if done.given.binary_search(&record.key).is_ok() {
                continue;
            }
            let text = serde_json::to_string(&record.key)
                .and_then(|id| Ok((id, serde_json::to_string(&record)?)));
            match text {
                Ok((id, body)) => fresh.push(Record { id, body }),
                Err(error) => log::error!("a record can't be written: {error}"),
            }
            insert(&mut done.given, &record.key);
        }
        if !fresh.is_empty() {
            self.feed.merge(fresh).await;
        }
    }

    fn publish(&self, view: &View, done: &mut Done) {
        let (Some(config), Some(end)) = (&view.config, view.lease_end) else {
            return;
        };
        self.peer.set_contacts(&view.contacts);
        let restricted = self.restricted(config);
        let lease_end = Some(self.clock.instant(end));
        let before = self.snapshot.load();
        if before.lease_end != lease_end || *before.config != *restricted {
            self.snapshot.store(Arc::new(Snapshot {
                config: restricted,
                lease_end,
            }));
        }
        if done.applied != Some(config.revision) {
            done.applied = Some(config.revision);
            let revision = config.revision;
            self.journal.record(EventKind::Applied { revision });
            self.peer.refresh();
        }
        let connected = view.is_connected(self.clock.now());
        if connected != done.connected {
            done.connected = connected;
            self.journal.record(if connected {
                EventKind::Reconnected
            } else {
                EventKind::CutOff
            });
        }
    }

    /// Returns the configuration with the restrictions that no accepted revision lifted.
    fn restricted(&self, config: &Arc<Config>) -> Arc<Config> {
        let open: Vec<_> = self.peer.restrictions();
        let open: Vec<_> = open
            .iter()
            .filter(|(id, _)| config.lifted.binary_search(id).is_err())
            .map(|(_, limit)| limit)
            .collect();
        if open.is_empty() {
            return Arc::clone(config);
        }
        Arc::new(config.restricted(open))
    }
}

fn insert(keys: &mut Vec<Key>, key: &Key) {
    if let Err(at) = keys.binary_search(key) {
        keys.insert(at, key.clone());
    }
}
