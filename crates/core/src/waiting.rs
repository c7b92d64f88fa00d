//! The line of requests of one service that wait at an entry instance because all upstreams are full.
//!
//! The next one to go is one that can still meet its objective, then the most urgent, then one of the
//! client account that was served least, by the work that its requests bring, then the oldest. Each
//! [`OLDEST_EVERY`]th place goes to the oldest instead, so that none starves.
//!
//! The rate at which requests leave the line tells how long one at the end of it would wait. A request
//! that can't leave in time is refused at once, with the time after which the requests that wait, and
//! those that were sent back before it, will have been served.
//!
//! The load pattern: a burst of requests of several ranks and client accounts, one of which sends many
//! times its usual, on upstreams half of which are gone.

use std::{cmp::Ordering, sync::Arc};

use crate::time::{Span, Time};

/// Maximum number of requests in a line. At the end of a longer one, even an instance that serves a
/// hundred requests per second would need more than the usual objectives of one to four seconds.
pub const CAPACITY: usize = 256;

/// Every how many departures the oldest request goes, whatever its rank and client account are.
pub const OLDEST_EVERY: u32 = 8;

/// Number of requests that find no room after which all that need as much or more aren't tried any
/// more in the round. A single one may be bound to a new version with few upstreams.
const MAX_FAILED: usize = 2;

/// Time constant of the exponential decay of departures: the objective of most streams.
const RATE_DECAY: Span = Span::from_secs(2);

/// Departures, decayed by age, from which on their rate counts as known.
const MIN_DEPARTURES: f64 = 3.0;

/// Longest time behind the end of the line for which those that were sent back are counted: half of
/// the usual time limit of a stream. Later ones would return after their deadline anyway.
const MAX_TURN: Span = Span::from_secs(8);

/// Time without a line after which the rate is forgotten.
const RATE_TTL: Span = Span::from_secs(5);

/// A waiting request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// ID, unique in the line.
    pub id: u64,
    /// Client account; empty if it has none.
    pub account: Arc<str>,
    /// Rank; 0 is the most urgent.
    pub rank: u8,
    /// Weighted tokens.
    pub work: u64,
    /// Tokens that have to fit into an upstream's memory.
    pub tokens: u64,
    /// Whether it must not go to some of the upstreams.
    pub is_restricted: bool,
    /// Whether it may be refused before its wait ends. One that has run would get a final error.
    pub may_yield: bool,
    /// When it arrived.
    pub arrived_at: Time,
    /// End of its objective.
    pub due_at: Time,
    /// End of its wait.
    pub latest: Time,
}

/// Work that left the line, by client account.
#[derive(Clone, Debug)]
struct Account {
    name: Arc<str>,
    served: u64,
}

/// Departures from the line per time with a line, both decayed by age.
#[derive(Clone, Debug, Default)]
struct Rate {
    /// By rank, sorted.
    departures: Vec<(u8, f64)>,
    millis: f64,
    at: Time,
}

impl Rate {
    fn advance(&mut self, has_line: bool, now: Time) {
        let elapsed = now.since(self.at);
        self.at = now;
        if !has_line {
            if elapsed >= RATE_TTL {
                self.departures.clear();
                self.millis = 0.0;
            }
            return;
        }
        #[expect(clippy::cast_precision_loss)]
        let (elapsed, decay) = (elapsed.as_millis() as f64, RATE_DECAY.as_millis() as f64);
        let factor = (-elapsed / decay).exp();
        for (_, departures) in &mut self.departures {
            *departures *= factor;
        }
        self.millis = self.millis * factor + decay * (1.0 - factor);
    }

    fn count(&mut self, rank: u8) {
        let found = self.departures.binary_search_by_key(&rank, |d| d.0);
        let at = found.unwrap_or_else(|at| {
            self.departures.insert(at, (rank, 0.0));
            at
        });
        self.departures[at].1 += 1.0;
    }

    /// Returns the mean milliseconds between two departures, if known.
    fn interval(&self) -> Option<f64> {
        let departures: f64 = self.departures.iter().map(|d| d.1).sum();
        (departures >= MIN_DEPARTURES).then(|| self.millis / departures)
    }

    /// Returns the mean milliseconds between two departures of this rank or less urgent ones, if
    /// known. More urgent requests that are still to come go before them, except for the oldest.
    fn interval_from(&self, rank: u8) -> Option<f64> {
        let interval = self.interval()?;
        let from = self.departures.partition_point(|d| d.0 < rank);
        let departures: f64 = self.departures[from..].iter().map(|d| d.1).sum();
        let longest = interval * f64::from(OLDEST_EVERY);
        Some((self.millis / departures).min(longest))
    }
}

/// The waiting requests of a service, in order of arrival.
#[derive(Clone, Debug, Default)]
pub struct Line {
    requests: Vec<Request>,
    /// Accounts that have been served since the line began, sorted by name.
    accounts: Vec<Account>,
    /// Work served to the account whose request left last; an account that joins starts from it.
    level: u64,
    /// Departures since the oldest request went.
    since_oldest: u32,
    rate: Rate,
    /// Time at which the last request that was sent back may expect room.
    last_turn: Time,
    /// IDs of the requests that found no room in the current round.
    tried: Vec<u64>,
    /// Tokens of those that may go to all upstreams.
    failed: Vec<u64>,
}

impl Line {
    /// Returns the number of waiting requests.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether no request waits.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns how long the oldest request has waited.
    #[must_use]
    pub fn age(&self, now: Time) -> Span {
        let oldest = self.requests.iter().map(|r| r.arrived_at).min();
        oldest.map_or(Span::ZERO, |at| now.since(at))
    }

    /// Adds a request, and returns the IDs of those that leave the line unserved because of it: the
    /// last one if the line is full, and those that can't leave in time any more.
    pub fn push(&mut self, request: Request, now: Time) -> Vec<u64> {
        self.rate.advance(!self.is_empty(), now);
        let has_others = self.requests.iter().any(|r| r.account == request.account);
        if !has_others {
            let level = self.level;
            let account = self.account(&request.account);
            account.served = account.served.max(level);
        }
        self.requests.push(request);
        let mut refused = self.take_hopeless(now);
        if self.len() > CAPACITY {
            let order = self.order(now);
            let last = order.iter().rev().find(|at| self.requests[**at].may_yield);
            let last = last.or(order.last()).map(|at| self.requests[*at].id);
            refused.extend(last);
            if let Some(id) = last {
                self.drop_request(id);
            }
        }
        refused
    }

    /// Removes the requests that can't leave in time at the observed rate, and returns their IDs.
    pub fn take_hopeless(&mut self, now: Time) -> Vec<u64> {
        self.rate.advance(!self.is_empty(), now);
        let Some(interval) = self.rate.interval() else {
            return Vec::new();
        };
        let mut kept: Vec<u8> = Vec::new();
        let mut hopeless = Vec::new();
        for at in self.order(now) {
            let request = &self.requests[at];
            let wait = |ahead: usize, interval: f64| {
                let place = f64::from(u32::try_from(ahead + 1).unwrap_or(u32::MAX));
                // Departures vary by about the root of their number.
                (place - place.sqrt()) * interval
            };
            let behind_urgent = kept.iter().filter(|rank| **rank >= request.rank).count();
            let interval_from = self.rate.interval_from(request.rank).unwrap_or(interval);
            let wait = wait(kept.len(), interval).max(wait(behind_urgent, interval_from));
            #[expect(clippy::cast_precision_loss)]
            let left = request.latest.since(now).as_millis() as f64;
            if request.may_yield && wait > left {
                hopeless.push(request.id);
            } else {
                kept.push(request.rank);
            }
        }
        for id in &hopeless {
            self.drop_request(*id);
        }
        hopeless
    }

    /// Begins a round after room may have become free: each request may be tried again.
    pub fn begin_round(&mut self) {
        self.tried.clear();
        self.failed.clear();
    }

    /// Returns the request that is to be tried next in the round, if any may find room.
    #[must_use]
    pub fn next(&self, now: Time) -> Option<u64> {
        let order = self.order(now);
        let mut requests = order.into_iter().map(|at| &self.requests[at]);
        let may_fit = |r: &&Request| {
            let failed = self.failed.iter().filter(|tokens| **tokens <= r.tokens);
            !self.tried.contains(&r.id) && failed.count() < MAX_FAILED
        };
        requests.find(may_fit).map(|r| r.id)
    }

    /// Returns whether no other request comes before this one.
    #[must_use]
    pub fn is_first(&self, id: u64, now: Time) -> bool {
        let indices = 0..self.len();
        let first = if self.is_turn_of_oldest() {
            indices.min_by_key(|at| self.age_key(*at))
        } else {
            indices.min_by(|a, b| self.compare(*a, *b, now))
        };
        first.is_some_and(|at| self.requests[at].id == id)
    }

    /// Records that a request has found no room in the round.
    pub fn pass_over(&mut self, id: u64) {
        if let Some(request) = self.requests.iter().find(|r| r.id == id) {
            self.tried.push(id);
            if !request.is_restricted {
                self.failed.push(request.tokens);
            }
        }
    }

    /// Removes a request that has found room.
    pub fn depart(&mut self, id: u64, now: Time) {
        self.rate.advance(!self.is_empty(), now);
        let Some(at) = self.requests.iter().position(|r| r.id == id) else {
            return;
        };
        self.rate.count(self.requests[at].rank);
        let oldest = (0..self.len()).min_by_key(|at| self.age_key(*at));
        self.since_oldest = if oldest == Some(at) {
            0
        } else {
            self.since_oldest + 1
        };
        let request = self.requests.remove(at);
        let account = self.account(&request.account);
        let before = account.served;
        // A request of a plain service brings no tokens.
        account.served = account.served.saturating_add(request.work.max(1));
        self.level = self.level.max(before);
        self.reset_if_empty();
    }

    /// Removes a request that does not wait any more. Returns whether it was in the line.
    pub fn remove(&mut self, id: u64, now: Time) -> bool {
        self.rate.advance(!self.is_empty(), now);
        let before = self.len();
        self.drop_request(id);
        self.len() < before
    }

    /// Returns the time after which a request that is sent back may expect room: that of those in the
    /// line, and of those that were sent back before. None if the rate is not known.
    pub fn turn(&mut self, now: Time) -> Option<Span> {
        self.rate.advance(!self.is_empty(), now);
        let interval = self.rate.interval()?;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_precision_loss,
            clippy::cast_sign_loss
        )]
        let span = |requests: usize| Span::from_millis((requests as f64 * interval) as u64);
        let line_end = now + span(self.len());
        let turn = line_end.max(self.last_turn) + span(1);
        self.last_turn = turn.min(line_end + MAX_TURN);
        Some(self.last_turn.since(now))
    }

    fn drop_request(&mut self, id: u64) {
        self.requests.retain(|r| r.id != id);
        self.reset_if_empty();
    }

    /// Forgets what was served: the next line starts even.
    fn reset_if_empty(&mut self) {
        if self.is_empty() {
            self.accounts.clear();
            self.level = 0;
            self.since_oldest = 0;
            self.begin_round();
        }
    }

    fn account_index(&self, name: &Arc<str>) -> Result<usize, usize> {
        self.accounts.binary_search_by(|a| a.name.cmp(name))
    }

    fn account(&mut self, name: &Arc<str>) -> &mut Account {
        let at = self.account_index(name).unwrap_or_else(|at| {
            let account = Account {
                name: name.clone(),
                served: 0,
            };
            self.accounts.insert(at, account);
            at
        });
        &mut self.accounts[at]
    }

    fn served(&self, request: &Request) -> u64 {
        let found = self.account_index(&request.account);
        found.map_or(0, |at| self.accounts[at].served)
    }

    /// Returns the indices of the requests in the order in which they are to go if none joins.
    fn order(&self, now: Time) -> Vec<usize> {
        let mut order: Vec<_> = (0..self.len()).collect();
        order.sort_by(|a, b| self.compare(*a, *b, now));
        // Each request of an account goes after the work of those before it.
        let mut ahead = vec![0; self.accounts.len()];
        let mut tags = vec![0; self.len()];
        for at in &order {
            let request = &self.requests[*at];
            if let Ok(account) = self.account_index(&request.account) {
                let served = self.accounts[account].served;
                tags[*at] = served.saturating_add(ahead[account]);
                ahead[account] = request.work.max(1).saturating_add(ahead[account]);
            }
        }
        let key = |at: &usize| {
            let request = &self.requests[*at];
            let age = (request.arrived_at, request.id);
            (request.due_at < now, request.rank, tags[*at], age)
        };
        order.sort_by_key(key);
        if self.is_turn_of_oldest()
            && let Some(at) = (0..order.len()).min_by_key(|at| self.age_key(order[*at]))
        {
            order[..=at].rotate_right(1);
        }
        order
    }

    const fn is_turn_of_oldest(&self) -> bool {
        self.since_oldest + 1 >= OLDEST_EVERY
    }

    fn age_key(&self, at: usize) -> (Time, u64) {
        (self.requests[at].arrived_at, self.requests[at].id)
    }

    /// Compares two requests; those of one account are in order of age within their rank.
    fn compare(&self, a: usize, b: usize, now: Time) -> Ordering {
        let key = |at: usize| {
            let request = &self.requests[at];
            (request.due_at < now, request.rank, self.served(request))
        };
        let by_age = || self.age_key(a).cmp(&self.age_key(b));
        key(a).cmp(&key(b)).then_with(by_age)
    }
}
