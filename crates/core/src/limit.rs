//! Distributed limits of client accounts and of upstreams, and fair queues.
//!
//! A limit of a client account is divided into rates and concurrencies:
//! half of a failure domain's limit is divided evenly between its instances.
//! They use it without a call to another instance, so it stays available while
//! a lender is replaced. A lender grants the other half to the instances that
//! need it. A limit of an upstream is divided into permits for single requests
//! (see [`Permit`]).

mod bucket;
mod issuer;
mod lender;
mod permit;
mod queue;
mod rate;
mod stock;
mod turn;

pub use issuer::Issuer;
pub use lender::{Demand, Grant, Lender};
pub(crate) use permit::LEAD_TIME;
pub use permit::{
    PERMIT_LIFETIME, Permit, REJECT_PERMIT_LIFETIME, Reserve, Return, SEND_TIMEOUT, Want,
    reject_permit_name, reject_permit_upstream,
};
pub use queue::{Item, Priority, Queue, Refusal};
pub use rate::{Bounds, Error as RateError, Rate, Statement};
pub use stock::Stock;
pub use turn::Turns;

use self::bucket::{Bucket, TOKENS_PER_REQUEST};
use crate::{
    error, name,
    time::{Span, Time},
};

/// Validity of a grant on its borrower's clock, from the time the demand was sent.
pub const SHARE_LEASE: Span = Span::from_secs(3);
/// Interval between two demands of a borrower, and length of a measurement window.
pub const BORROW_INTERVAL: Span = Span::from_secs(1);
/// Shortest interval between two demands of a borrower that refuses requests.
const MIN_BORROW_INTERVAL: Span = Span::from_millis(100);
/// Capacity of the token bucket in milliseconds of the rate: the burst that an idle client account
/// may send.
const BURST_MS: u64 = 1_000;
/// Thousandths in one request per second.
const MILLI: u64 = 1_000;

plain! {
    /// A part of a client account's limits.
    #[derive(Copy, Default, Eq)]
    pub struct Quota {
        /// Thousandths of a request per second.
        pub rate: u64,
        /// Requests in flight at once.
        pub concurrency: u32,
    }
}

impl Quota {
    /// Returns the part of a limit for the failure domain with index `rank`.
    /// Limits are divided between failure domains, so that each enforces its
    /// part without the others.
    #[must_use]
    pub fn for_domain(rate: u32, concurrency: u32, domains: usize, rank: usize) -> Self {
        let parts = u32::try_from(domains.max(1)).unwrap_or(u32::MAX);
        let rest = concurrency % parts;
        let extra = u32::from(u32::try_from(rank).is_ok_and(|rank| rank < rest));
        Self {
            rate: u64::from(rate) * MILLI / u64::from(parts),
            concurrency: concurrency / parts + extra,
        }
    }

    /// Returns the fixed part that each of `members` instances has without a grant.
    #[must_use]
    pub fn base(self, members: usize) -> Self {
        let parts = 2 * u32::try_from(members.max(1)).unwrap_or(u32::MAX / 2);
        Self {
            rate: self.rate / u64::from(parts),
            concurrency: self.concurrency / parts,
        }
    }

    /// Returns the part that a lender may grant to `members` instances.
    #[must_use]
    pub fn lendable(self, members: usize) -> Self {
        let base = self.base(members);
        let parts = u32::try_from(members.max(1)).unwrap_or(u32::MAX);
        Self {
            rate: self.rate.saturating_sub(base.rate * u64::from(parts)),
            concurrency: self
                .concurrency
                .saturating_sub(base.concurrency.saturating_mul(parts)),
        }
    }

    fn plus(self, other: Self) -> Self {
        Self {
            rate: self.rate + other.rate,
            concurrency: self.concurrency.saturating_add(other.concurrency),
        }
    }
}

/// The part of one client account's limits that an instance enforces.
#[derive(Clone, Debug)]
pub struct Share {
    /// Fixed part, valid without a grant.
    base: Quota,
    /// Granted part, valid until `borrowed_until`.
    borrowed: Quota,
    borrowed_until: Time,
    /// Number of the latest grant received.
    latest_grant: u64,
    /// Number of the latest grant that a demand has confirmed to the lender.
    confirmed_grant: u64,
    in_flight: u32,
    bucket: Bucket,
    /// Number of the last demand.
    last_demand: u64,
    next_demand_at: Time,
    last_demand_at: Time,
    window: Window,
    /// Need of the last complete window.
    last_need: Quota,
}

/// Request counts of the current [`BORROW_INTERVAL`].
#[derive(Clone, Copy, Debug)]
struct Window {
    started_at: Time,
    received: u64,
    refused: u64,
    completed: u64,
    max_in_flight: u32,
}

impl Window {
    const fn new(started_at: Time) -> Self {
        Self {
            started_at,
            received: 0,
            refused: 0,
            completed: 0,
            max_in_flight: 0,
        }
    }

    /// Returns the mean milliseconds between two completed requests.
    fn mean_completion_interval(&self, now: Time) -> u64 {
        let passed = now.since(self.started_at).as_millis();
        let mean = passed.checked_div(self.completed);
        mean.unwrap_or(BORROW_INTERVAL.as_millis()).clamp(1, 10_000)
    }

    /// Returns the quota that the window's requests need, plus a quarter so that
    /// the load can grow without refusals.
    fn need(&self) -> Quota {
        // Assumes that refused requests would have run as long as the admitted ones.
        let admitted = (self.received - self.refused).max(1);
        let in_flight = u64::from(self.max_in_flight) * self.received / admitted;
        Quota {
            rate: self.received * MILLI * 1_250 / BORROW_INTERVAL.as_millis(),
            concurrency: u32::try_from(in_flight * 5 / 4 + 1).unwrap_or(u32::MAX),
        }
    }
}

/// Returns the tokens of a full bucket, enough for at least one request.
const fn bucket_capacity(rate: u64) -> u64 {
    let burst = rate.saturating_mul(BURST_MS);
    if burst > TOKENS_PER_REQUEST {
        burst
    } else {
        TOKENS_PER_REQUEST
    }
}

impl Share {
    /// Returns the share of an instance that has sent no demand yet.
    ///
    /// Its bucket is full, because the client account was idle on this instance.
    #[must_use]
    pub const fn new(base: Quota, now: Time) -> Self {
        Self {
            base,
            borrowed: Quota {
                rate: 0,
                concurrency: 0,
            },
            borrowed_until: Time::ZERO,
            latest_grant: 0,
            confirmed_grant: 0,
            in_flight: 0,
            bucket: Bucket::new(bucket_capacity(base.rate), now),
            last_demand: 0,
            next_demand_at: now,
            last_demand_at: Time::ZERO,
            window: Window::new(now),
            last_need: Quota {
                rate: 0,
                concurrency: 0,
            },
        }
    }

    /// Replaces the fixed part.
    pub fn set_base(&mut self, base: Quota, now: Time) {
        self.refill(now);
        self.base = base;
    }

    /// Returns the limits that are in force on this instance.
    #[must_use]
    pub fn quota(&self, now: Time) -> Quota {
        if now < self.borrowed_until {
            self.base.plus(self.borrowed)
        } else {
            self.base
        }
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Adds the tokens of the time since the last refill.
    fn refill(&mut self, now: Time) {
        let rate = self.quota(now).rate;
        self.bucket.refill(rate, bucket_capacity(rate), now);
    }

    /// Admits a request, or refuses it with a time to retry after.
    ///
    /// # Errors
    ///
    /// Returns [`error::Kind::RateLimited`] if the concurrency or the rate limit
    /// is reached.
    pub fn admit(&mut self, now: Time) -> Result<(), error::Error> {
        self.refill(now);
        self.window.received += 1;
        let quota = self.quota(now);
        if self.in_flight >= quota.concurrency {
            self.record_refusal(now);
            let wait_ms = self.window.mean_completion_interval(now);
            return Err(rate_limited("too many requests are open", wait_ms));
        }
        if self.bucket.whole() == 0 {
            self.record_refusal(now);
            let wait_ms = self.bucket.missing().checked_div(quota.rate);
            let wait_ms = wait_ms.unwrap_or(BORROW_INTERVAL.as_millis());
            return Err(rate_limited("the rate limit is reached", wait_ms + 1));
        }
        self.bucket.take(1);
        self.in_flight += 1;
        self.window.max_in_flight = self.window.max_in_flight.max(self.in_flight);
        Ok(())
    }

    /// Counts a refusal and makes the next demand due earlier.
    fn record_refusal(&mut self, now: Time) {
        self.window.refused += 1;
        self.next_demand_at = self
            .next_demand_at
            .min(now.max(self.last_demand_at + MIN_BORROW_INTERVAL));
    }

    /// Records the end of an admitted request.
    pub fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.window.completed += 1;
    }

    /// Returns the next demand to send to the lender, if one is due.
    pub fn next_demand(&mut self, now: Time) -> Option<Demand> {
        if now.since(self.window.started_at) >= BORROW_INTERVAL {
            self.last_need = self.window.need();
            if self.window.received == 0 && self.in_flight == 0 {
                self.last_need = Quota::default();
            }
            self.window = Window::new(now);
            self.window.max_in_flight = self.in_flight;
        }
        let need = self.window.need();
        let rate = self.last_need.rate.max(need.rate);
        let concurrency = self.last_need.concurrency.max(need.concurrency);
        // The lender counts a grant until a demand confirms a later one, so an idle share keeps
        // sending demands until it has confirmed the latest grant.
        let idle = self.window.received == 0
            && self.in_flight == 0
            && self.last_need == Quota::default()
            && self.borrowed == Quota::default()
            && self.confirmed_grant == self.latest_grant;
        if now < self.next_demand_at || idle {
            return None;
        }
        let interval = if self.window.refused > 0 {
            MIN_BORROW_INTERVAL
        } else {
            BORROW_INTERVAL
        };
        self.next_demand_at = now + interval;
        self.last_demand_at = now;
        self.last_demand += 1;
        self.confirmed_grant = self.latest_grant;
        Some(Demand {
            number: self.last_demand,
            in_use: self.latest_grant,
            wants: Quota {
                rate: rate.saturating_sub(self.base.rate),
                concurrency: concurrency.saturating_sub(self.base.concurrency),
            },
        })
    }

    /// Applies the grant for a demand that was sent at `sent`. Late grants for
    /// earlier demands have no effect.
    pub fn apply_grant(&mut self, grant: &Grant, sent: Time, now: Time) {
        if grant.number <= self.latest_grant {
            return;
        }
        self.refill(now);
        self.latest_grant = grant.number;
        self.borrowed = grant.amount;
        self.borrowed_until = sent + SHARE_LEASE;
    }
}

fn rate_limited(message: &str, wait_ms: u64) -> error::Error {
    error::Error::new(error::Kind::RateLimited, message).retry_after(wait_ms)
}

/// The shares of an instance, sorted by client account.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    entries: Vec<(name::Account, Share)>,
}

impl Shares {
    /// Returns the share of a client account, with `base` as its fixed part.
    pub fn get(&mut self, account: &name::Account, base: Quota, now: Time) -> &mut Share {
        let index = match self
            .entries
            .binary_search_by(|(other, _)| other.cmp(account))
        {
            Ok(index) => {
                if self.entries[index].1.base != base {
                    self.entries[index].1.set_base(base, now);
                }
                index
            }
            Err(index) => {
                self.entries
                    .insert(index, (account.clone(), Share::new(base, now)));
                index
            }
        };
        &mut self.entries[index].1
    }

    /// Returns the next demand to send to a client account's lender, if one is due.
    pub fn next_demand(&mut self, account: &name::Account, now: Time) -> Option<Demand> {
        let share = self.entries.iter_mut().find(|(other, _)| other == account);
        share.and_then(|(_, share)| share.next_demand(now))
    }

    /// Records the end of an admitted request of a client account.
    pub fn release(&mut self, account: &name::Account) {
        if let Some((_, share)) = self.entries.iter_mut().find(|(other, _)| other == account) {
            share.release();
        }
    }

    /// Applies a grant to a client account's share.
    pub fn apply_grant(&mut self, account: &name::Account, grant: &Grant, sent: Time, now: Time) {
        if let Some((_, share)) = self.entries.iter_mut().find(|(other, _)| other == account) {
            share.apply_grant(grant, sent, now);
        }
    }

    /// Returns all shares.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&name::Account, &mut Share)> {
        self.entries
            .iter_mut()
            .map(|(account, share)| (&*account, share))
    }
}
