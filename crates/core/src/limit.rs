//! Limits of client accounts over all instances, and fair queues.
//!
//! Half of a limit is divided evenly between the instances of a failure domain;
//! nobody has to be asked for it, so it serves while a lender is replaced. The
//! other half is lent where it is needed.

mod lender;
mod queue;

pub use lender::{Demand, Grant, Lender};
pub use queue::{Item, Priority, Queue, Refusal};

use crate::{
    error, name,
    time::{Span, Time},
};

/// How long a share lasts on its borrower's clock.
pub const SHARE_LEASE: Span = Span::from_secs(3);
/// How often a borrower asks for the share it needs.
pub const BORROW_INTERVAL: Span = Span::from_secs(1);
/// Shortest time between two questions of a borrower that refuses requests.
const HURRY: Span = Span::from_millis(100);
/// Milliseconds of its rate that an idle client account may send at once.
const BURST_MS: u64 = 1_000;
/// Thousandths of a request: unit of the token bucket.
const REQUEST: u64 = 1_000;

plain! {
    /// An amount of a client account's limits.
    #[derive(Copy, Default, Eq)]
    pub struct Quota {
        /// Thousandths of a request per second.
        pub rate: u64,
        /// Requests open at once.
        pub concurrency: u32,
    }
}

impl Quota {
    /// Returns a failure domain's part of a limit that several share. Limits
    /// are divided between failure domains, so that each works on its own.
    #[must_use]
    pub fn for_domain(rate: u32, concurrency: u32, domains: usize, rank: usize) -> Self {
        let parts = u32::try_from(domains.max(1)).unwrap_or(u32::MAX);
        let rest = concurrency % parts;
        let extra = u32::from(u32::try_from(rank).is_ok_and(|rank| rank < rest));
        Self {
            rate: u64::from(rate) * REQUEST / u64::from(parts),
            concurrency: concurrency / parts + extra,
        }
    }

    /// Returns what each of `members` instances has without asking.
    #[must_use]
    pub fn base(self, members: usize) -> Self {
        let parts = 2 * u32::try_from(members.max(1)).unwrap_or(u32::MAX / 2);
        Self {
            rate: self.rate / u64::from(parts),
            concurrency: self.concurrency / parts,
        }
    }

    /// Returns what is left to lend.
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

/// The part of one client account's limits that an instance has.
#[derive(Clone, Debug)]
pub struct Share {
    base: Quota,
    lent: Quota,
    lent_until: Time,
    answer: u64,
    confirmed: u64,
    open: u32,
    /// Token bucket in thousandths of a request.
    tokens: u64,
    filled: Time,
    asked: u64,
    ask_at: Time,
    asked_at: Time,
    window: Window,
    /// What the last whole window needed.
    needed: Quota,
}

/// Counts of the current [`BORROW_INTERVAL`].
#[derive(Clone, Copy, Debug)]
struct Window {
    from: Time,
    seen: u64,
    refused: u64,
    done: u64,
    most: u32,
}

impl Window {
    const fn new(from: Time) -> Self {
        Self {
            from,
            seen: 0,
            refused: 0,
            done: 0,
            most: 0,
        }
    }

    /// Returns the mean milliseconds between two ends of requests.
    fn turn(&self, now: Time) -> u64 {
        let passed = now.since(self.from).as_millis();
        let mean = passed.checked_div(self.done);
        mean.unwrap_or(BORROW_INTERVAL.as_millis()).clamp(1, 10_000)
    }

    /// Returns what the requests of the window need, a quarter more than was
    /// seen so that there is room to grow without a refusal.
    fn need(&self) -> Quota {
        // Refused requests would have stayed open as long as the admitted ones.
        let admitted = (self.seen - self.refused).max(1);
        let open = u64::from(self.most) * self.seen / admitted;
        Quota {
            rate: self.seen * REQUEST * 1_250 / BORROW_INTERVAL.as_millis(),
            concurrency: u32::try_from(open * 5 / 4 + 1).unwrap_or(u32::MAX),
        }
    }
}

/// Returns the tokens that a full bucket has, at least one request.
const fn most(rate: u64) -> u64 {
    let burst = rate * BURST_MS / 1_000;
    if burst > REQUEST { burst } else { REQUEST }
}

impl Share {
    /// Returns the share of an instance that has asked for nothing yet.
    ///
    /// Its bucket is full, because the client account was idle here.
    #[must_use]
    pub const fn new(base: Quota, now: Time) -> Self {
        Self {
            base,
            lent: Quota {
                rate: 0,
                concurrency: 0,
            },
            lent_until: Time::ZERO,
            answer: 0,
            confirmed: 0,
            open: 0,
            tokens: most(base.rate),
            filled: now,
            asked: 0,
            ask_at: now,
            asked_at: Time::ZERO,
            window: Window::new(now),
            needed: Quota {
                rate: 0,
                concurrency: 0,
            },
        }
    }

    /// Changes what the instance has without asking.
    pub fn set_base(&mut self, base: Quota, now: Time) {
        self.fill(now);
        self.base = base;
    }

    /// Returns the limits in force here.
    #[must_use]
    pub fn quota(&self, now: Time) -> Quota {
        if now < self.lent_until {
            self.base.plus(self.lent)
        } else {
            self.base
        }
    }

    /// Returns the number of open requests.
    #[must_use]
    pub const fn in_flight(&self) -> u32 {
        self.open
    }

    fn fill(&mut self, now: Time) {
        let rate = self.quota(now).rate;
        let new = rate * now.since(self.filled).as_millis() / 1_000;
        // Time that is too short for a whole unit stays on the account.
        if new > 0 || rate == 0 {
            self.filled = now;
        }
        self.tokens = (self.tokens + new).min(most(rate));
    }

    /// Admits a request, or says when to come back.
    ///
    /// # Errors
    ///
    /// Returns [`error::Kind::RateLimited`].
    pub fn admit(&mut self, now: Time) -> Result<(), error::Error> {
        self.fill(now);
        self.window.seen += 1;
        let amount = self.quota(now);
        if self.open >= amount.concurrency {
            self.refuse(now);
            let wait = self.window.turn(now);
            return Err(limited("too many requests are open", wait));
        }
        if self.tokens < REQUEST {
            self.refuse(now);
            let lack = REQUEST - self.tokens;
            let wait = (lack * 1_000).checked_div(amount.rate);
            let wait = wait.unwrap_or(BORROW_INTERVAL.as_millis());
            return Err(limited("the rate limit is reached", wait + 1));
        }
        self.tokens -= REQUEST;
        self.open += 1;
        self.window.most = self.window.most.max(self.open);
        Ok(())
    }

    /// Counts a refusal and brings the next question to the lender forward.
    fn refuse(&mut self, now: Time) {
        self.window.refused += 1;
        self.ask_at = self.ask_at.min(now.max(self.asked_at + HURRY));
    }

    /// Records that an admitted request ended.
    pub fn release(&mut self) {
        self.open = self.open.saturating_sub(1);
        self.window.done += 1;
    }

    /// Returns what to ask the lender for, if it is time.
    pub fn next_demand(&mut self, now: Time) -> Option<Demand> {
        if now.since(self.window.from) >= BORROW_INTERVAL {
            self.needed = self.window.need();
            if self.window.seen == 0 && self.open == 0 {
                self.needed = Quota::default();
            }
            self.window = Window::new(now);
            self.window.most = self.open;
        }
        let need = self.window.need();
        let rate = self.needed.rate.max(need.rate);
        let concurrency = self.needed.concurrency.max(need.concurrency);
        // The lender counts a returned grant until it hears that it is returned.
        let idle = self.window.seen == 0
            && self.open == 0
            && self.needed == Quota::default()
            && self.lent == Quota::default()
            && self.confirmed == self.answer;
        if now < self.ask_at || idle {
            return None;
        }
        let pause = if self.window.refused > 0 {
            HURRY
        } else {
            BORROW_INTERVAL
        };
        self.ask_at = now + pause;
        self.asked += 1;
        self.confirmed = self.answer;
        Some(Demand {
            number: self.asked,
            in_use: self.answer,
            wants: Quota {
                rate: rate.saturating_sub(self.base.rate),
                concurrency: concurrency.saturating_sub(self.base.concurrency),
            },
        })
    }

    /// Takes over a grant that was asked for at `sent`. Late answers to earlier
    /// questions have no effect.
    pub fn apply_grant(&mut self, grant: &Grant, sent: Time, now: Time) {
        if grant.number <= self.answer {
            return;
        }
        self.fill(now);
        self.answer = grant.number;
        self.lent = grant.amount;
        self.lent_until = sent + SHARE_LEASE;
    }
}

fn limited(message: &str, wait: u64) -> error::Error {
    error::Error::new(error::Kind::RateLimited, message).retry_after(wait)
}

/// The shares of an instance, sorted by client account.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    list: Vec<(name::Account, Share)>,
}

impl Shares {
    /// Returns the share of a client account with `base` as its fixed part.
    pub fn get(&mut self, account: &name::Account, base: Quota, now: Time) -> &mut Share {
        let at = match self.list.binary_search_by(|(other, _)| other.cmp(account)) {
            Ok(at) => {
                if self.list[at].1.base != base {
                    self.list[at].1.set_base(base, now);
                }
                at
            }
            Err(at) => {
                self.list
                    .insert(at, (account.clone(), Share::new(base, now)));
                at
            }
        };
        &mut self.list[at].1
    }

    /// Returns what to ask the lender of a client account for, if it is time.
    pub fn next_demand(&mut self, account: &name::Account, now: Time) -> Option<Demand> {
        let share = self.list.iter_mut().find(|(other, _)| other == account);
        share.and_then(|(_, share)| share.next_demand(now))
    }

    /// Records that an admitted request of a client account ended.
    pub fn release(&mut self, account: &name::Account) {
        if let Some((_, share)) = self.list.iter_mut().find(|(other, _)| other == account) {
            share.release();
        }
    }

    /// Takes over a grant to a client account's share.
    pub fn apply_grant(&mut self, account: &name::Account, grant: &Grant, sent: Time, now: Time) {
        if let Some((_, share)) = self.list.iter_mut().find(|(other, _)| other == account) {
            share.apply_grant(grant, sent, now);
        }
    }

    /// Returns all shares.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&name::Account, &mut Share)> {
        self.list
            .iter_mut()
            .map(|(account, share)| (&*account, share))
    }
}
