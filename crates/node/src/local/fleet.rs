use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use futures_util::future::BoxFuture;
use masticlock_core::{
    directory::{Announcement, State},
    error, name, pick, policy,
    slot::{Acquire, AnnouncementResponse, Lease, Target, Token},
    time::{Span, Time},
};
use tokio::sync::Notify;

use crate::port;

/// Interval between announcements.
const INTERVAL: Span = Span::from_secs(1);
/// An upstream is forgotten when it hasn't announced itself for that long.
const SILENCE: Duration = Duration::from_secs(4);

/// Upstreams of one instance and the slots on them.
#[derive(Debug)]
pub struct Fleet {
    instance: name::Instance,
    domain: name::Domain,
    started: Instant,
    table: Mutex<Table>,
    freed: Notify,
}

#[derive(Debug, Default)]
struct Table {
    upstreams: Vec<Entry>,
    next: u64,
}

#[derive(Debug)]
struct Entry {
    said: Announcement,
    heard: Instant,
    used: u32,
    limit: u32,
    done: u32,
}

impl Entry {
    fn is_usable(&self, target: &Target) -> bool {
        self.said.state != State::Leaving
            && self.heard.elapsed() < SILENCE
            && self.said.serves(target)
    }

    fn chill(&mut self) {
        self.limit = self.said.cold.min(self.said.warm);
        self.done = 0;
    }

    fn completed(&mut self) {
        self.done += 1;
        if self.done >= self.limit && self.said.state == State::Ready {
            self.done = 0;
            self.limit = self.limit.saturating_mul(2).min(self.said.warm);
        }
    }
}

impl Fleet {
    /// Returns an empty fleet of an instance in `domain`.
    #[must_use]
    pub fn new(instance: name::Instance, domain: name::Domain) -> Self {
        Self {
            instance,
            domain,
            started: Instant::now(),
            table: Mutex::default(),
            freed: Notify::new(),
        }
    }

    /// Returns how many upstreams have announced themselves.
    #[must_use]
    pub fn known(&self) -> usize {
        self.table().upstreams.len()
    }

    /// Returns how many slots are in use.
    #[must_use]
    pub fn used(&self) -> u32 {
        self.table().upstreams.iter().map(|e| e.used).sum()
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lend(&self, ask: &Acquire) -> Result<Option<Lease>, error::Error> {
        let mut table = self.table();
        let salt = table.next;
        let usable: Vec<usize> = (0..table.upstreams.len())
            .filter(|&at| table.upstreams[at].is_usable(&ask.target))
            .collect();
        if usable.is_empty() {
            let message = "no upstream that may run the request is known";
            return Err(error::Error::new(error::Kind::NoUpstream, message)
                .retry_after(INTERVAL.as_millis()));
        }
        let candidates: Vec<_> = usable
            .iter()
            .map(|&at| pick::Candidate {
                upstream: &table.upstreams[at].said.upstream,
                used: table.upstreams[at].used,
                limit: table.upstreams[at].limit,
                remote: table.upstreams[at].said.domain != self.domain,
                cached: 0.0,
            })
            .collect();
        let Some(at) = pick::best(&candidates, &ask.avoid, salt) else {
            return Ok(None);
        };
        table.next += 1;
        let id = table.next;
        let entry = &mut table.upstreams[usable[at]];
        entry.used += 1;
        Ok(Some(Lease {
            id,
            owner: self.instance.clone(),
            upstream: entry.said.upstream.clone(),
            incarnation: entry.said.incarnation,
            address: entry.said.address.clone(),
            far: None,
        }))
    }

    fn record(&self, said: Announcement) -> Result<(), error::Error> {
        let mut table = self.table();
        let found = table
            .upstreams
            .binary_search_by(|e| e.said.upstream.cmp(&said.upstream));
        match found {
            Ok(at) => {
                let entry = &mut table.upstreams[at];
                if said.incarnation < entry.said.incarnation {
                    return Err(error::Error::new(
                        error::Kind::Fenced,
                        "a later incarnation of this upstream has announced itself",
                    ));
                }
                let restarted = said.incarnation > entry.said.incarnation;
                let cold = said.state == State::Cold;
                entry.said = said;
                entry.heard = Instant::now();
                if restarted {
                    // The slots of the old incarnation ended with its process.
                    entry.used = 0;
                }
                if restarted || cold {
                    entry.chill();
                }
            }
            Err(at) => {
                let mut entry = Entry {
                    said,
                    heard: Instant::now(),
                    used: 0,
                    limit: 0,
                    done: 0,
                };
                entry.chill();
                table.upstreams.insert(at, entry);
            }
        }
        drop(table);
        self.freed.notify_waiters();
        Ok(())
    }
}

impl port::Slots for Fleet {
    fn acquire(&self, ask: Acquire) -> BoxFuture<'_, Result<Lease, error::Error>> {
        Box::pin(async move {
            let deadline = tokio::time::Instant::now() + ask.wait.to_std();
            loop {
                let freed = self.freed.notified();
                tokio::pin!(freed);
                // Enabled before the look at the table, so that no release is missed.
                freed.as_mut().enable();
                if let Some(lease) = self.lend(&ask)? {
                    return Ok(lease);
                }
                if tokio::time::timeout_at(deadline, freed).await.is_err() {
                    let message = "no slot became free in time";
                    return Err(error::Error::new(error::Kind::Overloaded, message)
                        .retry_after(INTERVAL.as_millis()));
                }
            }
        })
    }

    fn release(&self, lease: Lease, report: port::Report) {
        let mut table = self.table();
        let found = table
            .upstreams
            .binary_search_by(|e| e.said.upstream.cmp(&lease.upstream));
        if let Ok(at) = found
            && table.upstreams[at].said.incarnation == lease.incarnation
        {
            let entry = &mut table.upstreams[at];
            entry.used = entry.used.saturating_sub(1);
            match report {
                port::Report::Completed { .. } => entry.completed(),
                port::Report::Refused => entry.chill(),
                port::Report::NotSent
                | port::Report::Unreachable
                | port::Report::Failed
                | port::Report::Cancelled => {}
            }
        }
        drop(table);
        self.freed.notify_waiters();
    }
}

impl port::Announcements for Fleet {
    fn announce(
        &self,
        said: Announcement,
    ) -> BoxFuture<'_, Result<AnnouncementResponse, error::Error>> {
        let answer = self.record(said).map(|()| AnnouncementResponse {
            token: Token {
                owner: self.instance.clone(),
                boot: 0,
                issued: Time::from_millis(
                    u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX),
                ),
            },
            interval: INTERVAL,
        });
        Box::pin(std::future::ready(answer))
    }
}

impl policy::Availability for Fleet {
    fn capacity(&self, version: &name::Version) -> policy::Capacity {
        let target = Target::Version(version.clone());
        let table = self.table();
        let mut capacity = policy::Capacity::default();
        for entry in table.upstreams.iter().filter(|e| e.is_usable(&target)) {
            let free = entry.limit.saturating_sub(entry.used);
            if entry.said.domain == self.domain {
                capacity.local_free += free;
            } else {
                capacity.remote_free += free;
            }
            capacity.total += entry.limit;
        }
        capacity
    }
}
