//! Handing out of permits by a control instance.

use std::sync::Arc;

use crate::{
    limit::{
        LEAD_TIME, Permit, Rate, Return, Stock, Want,
        bucket::{Bucket, TOKENS_PER_REQUEST},
        permit::{lifetime, reject_permit_upstream},
    },
    time::{Span, Time},
};

/// Time for which the rate of a limit that nobody uses accumulates, in milliseconds.
const BURST_MS: u64 = 250;

/// Virtual time that a permit takes at weight 1.
const VIRTUAL_COST: u64 = 1 << 20;

/// Time for which a borrower's want counts if it isn't repeated. Borrowers poll several times as
/// often.
const WANT_TTL: Span = Span::from_millis(700);

/// Time after the last want at which an upstream is forgotten.
const IDLE_TTL: Span = Span::from_secs(10);

/// A borrower with an open want.
#[derive(Clone, Copy, Debug)]
struct Borrower {
    holder: u64,
    count: u32,
    demand: Rate,
    /// Time of its last want.
    wanted_at: Time,
    /// Virtual time at which its next permit is due.
    due: u64,
    /// Weight in the division of permits: the permits that it wanted last.
    weight: u32,
}

/// Permits that a borrower may give back.
#[derive(Clone, Copy, Debug)]
struct Loan {
    holder: u64,
    count: u32,
    until: Time,
}

/// The permits of one upstream.
#[derive(Clone, Debug)]
struct Line {
    upstream: Arc<str>,
    incarnation: u64,
    /// Permits that this instance makes while it leads.
    bucket: Bucket,
    /// Sorted by holder.
    borrowers: Vec<Borrower>,
    /// Permits that may be given back, those that end first at the front.
    loans: Vec<Loan>,
    /// Latest due time of a permit that was given.
    virtual_time: u64,
    /// Whether the leader could not give all permits that were wanted at the last answer.
    leader_is_short: bool,
    last_used: Time,
}

/// The permits that a control instance hands out: while it leads, those that it makes itself, and
/// those that it got from the leader.
#[derive(Clone, Debug, Default)]
pub struct Issuer {
    /// Term in which this instance leads, if it does.
    term: Option<u64>,
    /// Sorted by upstream.
    lines: Vec<Line>,
    stock: Stock,
}

impl Line {
    fn new(upstream: &Arc<str>, incarnation: u64, now: Time) -> Self {
        Self {
            upstream: upstream.clone(),
            incarnation,
            bucket: Bucket::new(0, now),
            borrowers: Vec::new(),
            loans: Vec::new(),
            virtual_time: 0,
            leader_is_short: false,
            last_used: now,
        }
    }

    /// Records the want of a borrower.
    fn want(&mut self, holder: u64, want: &Want, now: Time) {
        self.last_used = now;
        self.borrowers
            .retain(|b| now.since(b.wanted_at) < WANT_TTL || b.holder == holder);
        match self.borrowers.binary_search_by_key(&holder, |b| b.holder) {
            Ok(at) => {
                let borrower = &mut self.borrowers[at];
                borrower.count = want.count;
                borrower.demand = want.demand;
                borrower.wanted_at = now;
                borrower.weight = want.count.max(1);
                borrower.due = borrower.due.max(self.virtual_time);
            }
            Err(at) => {
                let borrower = Borrower {
                    holder,
                    count: want.count,
                    demand: want.demand,
                    wanted_at: now,
                    due: self.virtual_time,
                    weight: want.count.max(1),
                };
                self.borrowers.insert(at, borrower);
            }
        }
    }

    fn wanted(&self) -> u64 {
        self.borrowers.iter().map(|b| u64::from(b.count)).sum()
    }

    /// Returns the borrower's part of the available permits: in proportion to the wants, and what
    /// remains one by one to those whose permits are due first.
    fn part(&self, holder: u64, available: u64) -> u32 {
        let wanted = self.wanted();
        let floor = |count: u32| u64::from(count) * available.min(wanted) / wanted.max(1);
        let Ok(at) = self.borrowers.binary_search_by_key(&holder, |b| b.holder) else {
            return 0;
        };
        let own = &self.borrowers[at];
        let rest =
            available.min(wanted) - self.borrowers.iter().map(|b| floor(b.count)).sum::<u64>();
        let is_short = |b: &&Borrower| floor(b.count) < u64::from(b.count);
        let ahead = self.borrowers.iter().filter(is_short);
        let ahead = ahead.filter(|b| (b.due, b.holder) < (own.due, own.holder));
        let gets_rest = is_short(&own) && (ahead.count() as u64) < rest;
        u32::try_from(floor(own.count) + u64::from(gets_rest)).unwrap_or(u32::MAX)
    }

    /// Records that a borrower got permits.
    fn serve(&mut self, holder: u64, count: u32) {
        if count == 0 {
            return;
        }
        if let Ok(at) = self.borrowers.binary_search_by_key(&holder, |b| b.holder) {
            let borrower = &mut self.borrowers[at];
            borrower.count = borrower.count.saturating_sub(count);
            self.virtual_time = self.virtual_time.max(borrower.due);
            borrower.due += u64::from(count) * VIRTUAL_COST / u64::from(borrower.weight);
        }
    }
}

impl Issuer {
    /// Sets whether this instance leads, and in which term.
    ///
    /// Its buckets are empty when it begins to lead, because its predecessor may have handed out
    /// what has accumulated. Wants are forgotten, so that two instances that lead in turn don't want
    /// for each other.
    pub fn set_term(&mut self, term: Option<u64>, now: Time) {
        if term == self.term {
            return;
        }
        self.term = term;
        for line in &mut self.lines {
            line.bucket = Bucket::new(0, now);
            line.borrowers.clear();
        }
    }

    fn line(&mut self, upstream: &Arc<str>, incarnation: u64, now: Time) -> &mut Line {
        let found = self.lines.binary_search_by(|l| l.upstream.cmp(upstream));
        let at = found.unwrap_or_else(|at| {
            self.lines.insert(at, Line::new(upstream, incarnation, now));
            at
        });
        if self.lines[at].incarnation < incarnation {
            self.lines[at] = Line::new(upstream, incarnation, now);
        }
        &mut self.lines[at]
    }

    /// Answers the wants of a borrower. `limit` returns the limit of an incarnation of an upstream,
    /// if it has one.
    pub fn lend<F>(&mut self, holder: u64, wants: &[Want], limit: F, now: Time) -> Vec<Permit>
    where
        F: Fn(&Want) -> Option<Rate>,
    {
        let mut permits = Vec::new();
        for want in wants {
            if let Some(limit) = limit(want) {
                permits.push(self.lend_one(holder, want, limit, now));
            }
        }
        permits
    }

    fn lend_one(&mut self, holder: u64, want: &Want, limit: Rate, now: Time) -> Permit {
        let leads = self.term.is_some();
        let (upstream, incarnation) = (&want.upstream, want.incarnation);
        let in_stock = self.stock.count(upstream, incarnation, now);
        let line = self.line(upstream, incarnation, now);
        let mut permit = Permit {
            upstream: upstream.clone(),
            incarnation,
            count: 0,
            valid: lifetime(upstream),
            scarce: false,
        };
        if line.incarnation != incarnation {
            return permit;
        }
        line.want(holder, want, now);
        let mut available = u64::from(in_stock);
        if leads {
            let rate = limit.lendable().as_milli();
            let capacity = rate.saturating_mul(BURST_MS).max(TOKENS_PER_REQUEST);
            line.bucket.refill(rate, capacity, now);
            available += line.bucket.whole();
        }
        let part = line.part(holder, available);
        let is_short = available < line.wanted();
        line.serve(holder, part);
        permit.scarce = is_short && (leads || line.leader_is_short);
        let (taken, valid) = self.stock.take_up_to(upstream, incarnation, part, now);
        if leads && taken < part {
            self.line(upstream, incarnation, now)
                .bucket
                .take(u64::from(part - taken));
        }
        permit.count = if leads { part } else { taken };
        if taken > 0 {
            permit.valid = valid;
        }
        if permit.count > 0 && reject_permit_upstream(upstream).is_some() {
            let loan = Loan {
                holder,
                count: permit.count,
                until: now + permit.valid,
            };
            let loans = &mut self.line(upstream, incarnation, now).loans;
            loans.retain(|l| now < l.until);
            let at = loans.partition_point(|l| l.until <= loan.until);
            loans.insert(at, loan);
        }
        permit
    }

    /// Takes back permits that a borrower does not need. They end when they would have ended there,
    /// by the clock of this instance.
    pub fn take_back(&mut self, holder: u64, returns: &[Return], now: Time) {
        for returned in returns {
            let (upstream, incarnation) = (&returned.upstream, returned.incarnation);
            let line = self.line(upstream, incarnation, now);
            if line.incarnation != incarnation {
                continue;
            }
            line.loans.retain(|l| now < l.until);
            let mut open = returned.count;
            let mut batches = Vec::new();
            for loan in line.loans.iter_mut().filter(|l| l.holder == holder) {
                let count = loan.count.min(open);
                open -= count;
                loan.count -= count;
                batches.push((count, loan.until));
            }
            line.loans.retain(|l| l.count > 0);
            for (count, until) in batches {
                if count > 0 {
                    self.stock.put(upstream, incarnation, count, until);
                }
            }
        }
    }

    /// Returns what the borrowers of this instance want beyond its stock, for the leader.
    #[must_use]
    pub fn wants(&mut self, now: Time) -> Vec<Want> {
        if self.term.is_some() {
            return Vec::new();
        }
        let stock = &self.stock;
        let want = |line: &Line| {
            let mut want = Want {
                upstream: line.upstream.clone(),
                incarnation: line.incarnation,
                count: 0,
                demand: Rate::default(),
            };
            let open = line.borrowers.iter();
            for borrower in open.filter(|b| now.since(b.wanted_at) < WANT_TTL) {
                want.count = want.count.saturating_add(borrower.count);
                want.demand = want.demand.plus(borrower.demand);
            }
            let held = stock.count(&line.upstream, line.incarnation, now);
            let kept = want.demand.requests_in(LEAD_TIME);
            want.count = want.count.max(kept).saturating_sub(held);
            (want.count > 0).then_some(want)
        };
        self.lines.iter().filter_map(want).collect()
    }

    /// Adds the permits of the leader's answer to a poll that was sent at `sent`.
    pub fn receive(&mut self, permits: &[Permit], sent: Time, now: Time) {
        for permit in permits {
            self.stock.add(permit, sent, now);
            let line = self.line(&permit.upstream, permit.incarnation, now);
            line.leader_is_short = permit.scarce;
        }
    }

    /// Forgets upstreams that nobody wants.
    pub fn expire(&mut self, now: Time) {
        self.stock.expire(now);
        self.lines.retain(|l| now.since(l.last_used) < IDLE_TTL);
    }
}
