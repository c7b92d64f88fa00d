//! A bounded queue that is fair between client accounts and priorities.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{
    error, name,
    time::{Span, Time},
};

/// Virtual time that a request takes at weight 1. Weights that are powers of two divide it exactly.
const VIRTUAL_COST: u64 = 1 << 20;
/// Weight of the old mean against 1 for a new interval between two departures.
const HISTORY_WEIGHT: u64 = 15;
/// Measured intervals are kept in microseconds.
const MICROS_PER_MILLI: u64 = 1_000;

/// The priority class of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Background work that no user waits for.
    Batch,
    /// Any other work.
    Normal,
    /// A user waits for the answer.
    Interactive,
}

impl Priority {
    /// Returns the factor that multiplies the client account's weight.
    const fn factor(self) -> u64 {
        match self {
            Self::Batch => 1,
            Self::Normal => 2,
            Self::Interactive => 4,
        }
    }
}

/// A queued request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// ID, chosen by the user of the queue.
    pub id: u64,
    /// The client account.
    pub account: name::Account,
    /// The client account's weight.
    pub weight: u32,
    /// The priority class.
    pub priority: Priority,
    /// Time by which it must leave the queue to meet its deadline.
    pub start_by: Time,
}

/// A request that is refused without being run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The request.
    pub id: u64,
    /// The error for the caller.
    pub error: error::Error,
}

/// The queued requests of one client account and priority.
#[derive(Clone, Debug)]
struct Flow {
    account: name::Account,
    priority: Priority,
    weight: u64,
    /// Virtual start time of its first item.
    start_tag: u64,
    items: VecDeque<Item>,
}

/// A bounded queue with start-time fair queueing (Goyal et al., 1996).
#[derive(Clone, Debug)]
pub struct Queue {
    capacity: usize,
    len: usize,
    virtual_time: u64,
    flows: Vec<Flow>,
    /// Moving average of the microseconds between two departures while requests wait.
    mean_interval: u64,
    last_departure: Option<Time>,
}

impl Queue {
    /// Returns a queue for at most `capacity` requests.
    #[must_use]
    pub const fn new(capacity: usize) -> Self {
        Self {
            capacity,
            len: 0,
            virtual_time: 0,
            flows: Vec::new(),
            mean_interval: 0,
            last_departure: None,
        }
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the queue is empty.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Estimates how long a new request of this client account and priority would wait.
    #[must_use]
    pub fn estimated_wait(&self, account: &name::Account, weight: u32, priority: Priority) -> Span {
        if self.len == 0 {
            return Span::ZERO;
        }
        let own = u64::from(weight.max(1)) * priority.factor();
        let index = self.flow_index(account, priority);
        let ahead = index.map_or(0, |index| self.flows[index].items.len() as u64);
        let others: u64 = self
            .flows
            .iter()
            .filter(|f| f.account != *account || f.priority != priority)
            // While `ahead + 1` items of this flow are served, another flow is served at most in
            // proportion to its weight, and no more items than it has.
            .map(|f| ((ahead + 1) * f.weight / own).min(f.items.len() as u64))
            .sum();
        // The request leaves one interval after the last one ahead of it.
        Span::from_millis((ahead + others + 1) * self.mean_interval / MICROS_PER_MILLI)
    }

    fn flow_index(&self, account: &name::Account, priority: Priority) -> Option<usize> {
        self.flows
            .iter()
            .position(|f| f.account == *account && f.priority == priority)
    }

    /// Adds a request. Returns the request that is refused, if any: `item` itself
    /// if it would leave the queue too late, or the newest request of the longest
    /// flow if the queue is full.
    pub fn push(&mut self, item: Item, now: Time) -> Option<Refusal> {
        let wait = self.estimated_wait(&item.account, item.weight, item.priority);
        if now + wait > item.start_by {
            let late = (now + wait).since(item.start_by);
            return Some(refusal(item.id, "the deadline can't be met", late));
        }
        let weight = u64::from(item.weight.max(1)) * item.priority.factor();
        let index = self
            .flow_index(&item.account, item.priority)
            .unwrap_or_else(|| {
                self.flows.push(Flow {
                    account: item.account.clone(),
                    priority: item.priority,
                    weight,
                    start_tag: 0,
                    items: VecDeque::new(),
                });
                self.flows.len() - 1
            });
        let flow = &mut self.flows[index];
        flow.weight = weight;
        if flow.items.is_empty() {
            flow.start_tag = flow.start_tag.max(self.virtual_time);
        }
        flow.items.push_back(item);
        self.len += 1;
        (self.len > self.capacity).then(|| self.evict())
    }

    /// Removes the newest request of the flow that is longest relative to its weight.
    fn evict(&mut self) -> Refusal {
        let longest = self
            .flows
            .iter_mut()
            .max_by_key(|flow| flow.items.len() as u64 * VIRTUAL_COST / flow.weight);
        let item = longest.and_then(|flow| flow.items.pop_back());
        self.len -= 1;
        let retry_after = Span::from_millis((self.mean_interval / MICROS_PER_MILLI).max(1));
        refusal(
            item.map_or(0, |item| item.id),
            "too many requests wait",
            retry_after,
        )
    }

    /// Removes and returns the next request, for which a slot is free now.
    pub fn pop(&mut self, now: Time) -> Option<Item> {
        let flow = self
            .flows
            .iter_mut()
            .filter(|flow| !flow.items.is_empty())
            .min_by_key(|flow| flow.start_tag)?;
        self.virtual_time = flow.start_tag;
        flow.start_tag += VIRTUAL_COST / flow.weight.max(1);
        let item = flow.items.pop_front()?;
        self.len -= 1;
        if let Some(last) = self.last_departure {
            let passed = now.since(last).as_millis() * MICROS_PER_MILLI;
            self.mean_interval = match self.mean_interval {
                0 => passed,
                mean => (mean * HISTORY_WEIGHT + passed) / (HISTORY_WEIGHT + 1),
            };
        }
        // Time during which the queue is empty must not count as service time.
        self.last_departure = (self.len > 0).then_some(now);
        if self.len == 0 {
            self.flows.clear();
            self.virtual_time = 0;
        }
        Some(item)
    }

    /// Removes a request whose caller has disconnected. Returns whether it was queued.
    pub fn remove(&mut self, id: u64) -> bool {
        let before = self.len;
        for flow in &mut self.flows {
            flow.items.retain(|item| item.id != id);
        }
        self.len = self.flows.iter().map(|flow| flow.items.len()).sum();
        self.clear_departure_if_empty();
        self.len < before
    }

    /// Removes and refuses all requests whose `start_by` has passed.
    pub fn remove_expired(&mut self, now: Time) -> Vec<Refusal> {
        let mut refusals = Vec::new();
        let retry_after = Span::from_millis((self.mean_interval / MICROS_PER_MILLI).max(1));
        for flow in &mut self.flows {
            flow.items.retain(|item| {
                let late = item.start_by < now;
                if late {
                    refusals.push(refusal(item.id, "no slot became free in time", retry_after));
                }
                !late
            });
        }
        self.len -= refusals.len();
        self.clear_departure_if_empty();
        refusals
    }

    /// Ends the current interval if the queue is empty: idle time must not count as service time.
    const fn clear_departure_if_empty(&mut self) {
        if self.len == 0 {
            self.last_departure = None;
        }
    }
}

fn refusal(id: u64, message: &str, retry_after: Span) -> Refusal {
    let error = error::Error::new(error::Kind::Overloaded, message);
    Refusal {
        id,
        error: error.retry_after(retry_after.as_millis().max(1)),
    }
}
