//! A bounded queue that is fair between client accounts and priorities.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{
    error, name,
    time::{Span, Time},
};

/// Unit of virtual time, divisible by all usual weights.
const UNIT: u64 = 1 << 20;
/// Weight of the history against a new interval between two departures.
const HISTORY_WEIGHT: u64 = 15;
/// Thousandths of a millisecond, the unit of measured intervals.
const MICROS: u64 = 1_000;

/// How urgent a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Work that nobody waits for.
    Batch,
    /// Anything else.
    Normal,
    /// Somebody waits for the answer.
    Interactive,
}

impl Priority {
    /// Returns the factor of the client account's weight.
    const fn factor(self) -> u64 {
        match self {
            Self::Batch => 1,
            Self::Normal => 2,
            Self::Interactive => 4,
        }
    }
}

/// A request that waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Id, chosen by the caller.
    pub id: u64,
    /// The client account.
    pub account: name::Account,
    /// The client account's weight.
    pub weight: u32,
    /// How urgent it is.
    pub priority: Priority,
    /// When it must have left the queue to meet its deadline.
    pub start_by: Time,
}

/// A request that is refused, not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The request.
    pub id: u64,
    /// The answer.
    pub error: error::Error,
}

#[derive(Clone, Debug)]
struct Lane {
    account: name::Account,
    priority: Priority,
    weight: u64,
    /// Virtual time at which its first item is served.
    at: u64,
    items: VecDeque<Item>,
}

/// Waiting requests, served by start-time fair queueing (Goyal et al., 1996).
#[derive(Clone, Debug)]
pub struct Queue {
    most: usize,
    len: usize,
    virtual_now: u64,
    lanes: Vec<Lane>,
    /// Mean microseconds between two departures while the queue is not empty.
    interval: u64,
    departed: Option<Time>,
}

impl Queue {
    /// Returns a queue for at most `most` requests.
    #[must_use]
    pub const fn new(most: usize) -> Self {
        Self {
            most,
            len: 0,
            virtual_now: 0,
            lanes: Vec::new(),
            interval: 0,
            departed: None,
        }
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Returns whether nothing waits.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns how long a new request of this kind would wait.
    #[must_use]
    pub fn estimated_wait(&self, account: &name::Account, weight: u32, priority: Priority) -> Span {
        if self.len == 0 {
            return Span::ZERO;
        }
        let own = u64::from(weight.max(1)) * priority.factor();
        let at = self.find(account, priority);
        let ahead = at.map_or(0, |at| self.lanes[at].items.len() as u64);
        let others: u64 = self
            .lanes
            .iter()
            .filter(|l| l.account != *account || l.priority != priority)
            // While `ahead + 1` items of this lane are served, another lane has
            // at most its weight's part served, and no more than it holds.
            .map(|l| ((ahead + 1) * l.weight / own).min(l.items.len() as u64))
            .sum();
        // The request leaves one interval after those ahead of it.
        Span::from_millis((ahead + others + 1) * self.interval / MICROS)
    }

    fn find(&self, account: &name::Account, priority: Priority) -> Option<usize> {
        self.lanes
            .iter()
            .position(|l| l.account == *account && l.priority == priority)
    }

    /// Adds a request. Returns the request that is refused for it: itself if
    /// its turn would come too late, or the newest of the longest lane if the
    /// queue is full.
    pub fn push(&mut self, item: Item, now: Time) -> Option<Refusal> {
        let wait = self.estimated_wait(&item.account, item.weight, item.priority);
        if now + wait > item.start_by {
            let late = (now + wait).since(item.start_by);
            return Some(refusal(item.id, "the deadline can't be met", late));
        }
        let weight = u64::from(item.weight.max(1)) * item.priority.factor();
        let at = self.find(&item.account, item.priority).unwrap_or_else(|| {
            self.lanes.push(Lane {
                account: item.account.clone(),
                priority: item.priority,
                weight,
                at: 0,
                items: VecDeque::new(),
            });
            self.lanes.len() - 1
        });
        let lane = &mut self.lanes[at];
        lane.weight = weight;
        if lane.items.is_empty() {
            lane.at = lane.at.max(self.virtual_now);
        }
        lane.items.push_back(item);
        self.len += 1;
        (self.len > self.most).then(|| self.evict())
    }

    /// Removes the newest request of the lane that is longest for its weight.
    fn evict(&mut self) -> Refusal {
        let longest = self
            .lanes
            .iter_mut()
            .max_by_key(|lane| lane.items.len() as u64 * UNIT / lane.weight);
        let item = longest.and_then(|lane| lane.items.pop_back());
        self.len -= 1;
        let step = Span::from_millis((self.interval / MICROS).max(1));
        refusal(
            item.map_or(0, |item| item.id),
            "too many requests wait",
            step,
        )
    }

    /// Takes the next request, which gets a slot now.
    pub fn pop(&mut self, now: Time) -> Option<Item> {
        let lane = self
            .lanes
            .iter_mut()
            .filter(|lane| !lane.items.is_empty())
            .min_by_key(|lane| lane.at)?;
        self.virtual_now = lane.at;
        lane.at += UNIT / lane.weight.max(1);
        let item = lane.items.pop_front()?;
        self.len -= 1;
        if let Some(last) = self.departed {
            let passed = now.since(last).as_millis() * MICROS;
            self.interval = match self.interval {
                0 => passed,
                old => (old * HISTORY_WEIGHT + passed) / (HISTORY_WEIGHT + 1),
            };
        }
        // The time until the next arrival is no service time.
        self.departed = (self.len > 0).then_some(now);
        if self.len == 0 {
            self.lanes.clear();
            self.virtual_now = 0;
        }
        Some(item)
    }

    /// Removes a request whose caller is gone.
    pub fn remove(&mut self, id: u64) -> bool {
        let before = self.len;
        for lane in &mut self.lanes {
            lane.items.retain(|item| item.id != id);
        }
        self.len = self.lanes.iter().map(|lane| lane.items.len()).sum();
        self.forget_departure();
        self.len < before
    }

    /// Refuses all requests whose turn can't come in time any more.
    pub fn remove_expired(&mut self, now: Time) -> Vec<Refusal> {
        let mut refusals = Vec::new();
        let step = Span::from_millis((self.interval / MICROS).max(1));
        for lane in &mut self.lanes {
            lane.items.retain(|item| {
                let late = item.start_by < now;
                if late {
                    refusals.push(refusal(item.id, "no slot became free in time", step));
                }
                !late
            });
        }
        self.len -= refusals.len();
        self.forget_departure();
        refusals
    }

    /// The time without waiting requests is no service time.
    const fn forget_departure(&mut self) {
        if self.len == 0 {
            self.departed = None;
        }
    }
}

fn refusal(id: u64, message: &str, after: Span) -> Refusal {
    let error = error::Error::new(error::Kind::Overloaded, message);
    Refusal {
        id,
        error: error.retry_after(after.as_millis().max(1)),
    }
}
