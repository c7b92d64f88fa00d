//! Grants of the lendable part of a limit.

use crate::{
    limit::{Quota, SHARE_LEASE},
    name,
    slot::with_clock_drift,
    time::Time,
};

plain! {
    /// A borrower's request for a grant.
    #[derive(Copy, Eq)]
    pub struct Demand {
        /// Number of the demand; later demands have higher numbers.
        pub number: u64,
        /// Number of the latest grant that the borrower received; it no longer uses earlier ones.
        pub in_use: u64,
        /// The quota that the borrower needs in addition to its fixed part.
        pub wants: Quota,
    }

    /// The lender's response to a demand.
    #[derive(Copy, Eq)]
    pub struct Grant {
        /// Number of the demand.
        pub number: u64,
        /// The granted quota, valid until [`SHARE_LEASE`] after the demand was sent.
        pub amount: Quota,
    }
}

/// A grant that its borrower may still use.
#[derive(Clone, Debug)]
struct Loan {
    holder: name::Instance,
    number: u64,
    wants: Quota,
    amount: Quota,
    until: Time,
}

/// Grants the lendable part of one client account's limits to borrowers.
///
/// A borrower may use any of its grants until the grant expires or the borrower
/// has confirmed a later one, so its largest valid grant is counted.
#[derive(Clone, Debug)]
pub struct Lender {
    /// Time at which the grants of a predecessor have expired.
    lends_from: Time,
    loans: Vec<Loan>,
}

impl Lender {
    /// Returns a lender that grants nothing until its predecessor's grants have expired.
    #[must_use]
    pub fn new(now: Time) -> Self {
        Self {
            lends_from: now + with_clock_drift(SHARE_LEASE),
            loans: Vec::new(),
        }
    }

    /// Responds to a demand. `lendable` is the quota that all borrowers share.
    pub fn grant(
        &mut self,
        holder: &name::Instance,
        demand: Demand,
        lendable: Quota,
        now: Time,
    ) -> Grant {
        self.loans.retain(|loan| {
            let superseded = loan.holder == *holder && loan.number < demand.in_use;
            now < loan.until && !superseded
        });
        let amount = if now < self.lends_from {
            Quota::default()
        } else {
            self.fair_share(holder, demand.wants, lendable)
        };
        self.loans.push(Loan {
            holder: holder.clone(),
            number: demand.number,
            wants: demand.wants,
            amount,
            until: now + with_clock_drift(SHARE_LEASE),
        });
        Grant {
            number: demand.number,
            amount,
        }
    }

    /// Returns the minimum of the wanted quota, the remaining quota, and a part
    /// of `lendable` in proportion to the wants of all borrowers.
    fn fair_share(&self, holder: &name::Instance, wants: Quota, lendable: Quota) -> Quota {
        let mut lent = Quota::default();
        let mut wanted = wants;
        let mut others: Vec<_> = self.loans.iter().filter(|l| l.holder != *holder).collect();
        others.sort_by(|a, b| a.holder.cmp(&b.holder));
        for group in others.chunk_by(|a, b| a.holder == b.holder) {
            let largest = group.iter().fold(Quota::default(), |largest, loan| Quota {
                rate: largest.rate.max(loan.amount.rate),
                concurrency: largest.concurrency.max(loan.amount.concurrency),
            });
            lent = lent.plus(largest);
            if let Some(last) = group.iter().max_by_key(|loan| loan.until) {
                wanted = wanted.plus(last.wants);
            }
        }
        let proportion = |limit: u64, own: u64, all: u64| {
            if all <= limit {
                own
            } else {
                limit * own / all.max(1)
            }
        };
        let rate = proportion(lendable.rate, wants.rate, wanted.rate);
        let concurrency = proportion(
            u64::from(lendable.concurrency),
            u64::from(wants.concurrency),
            u64::from(wanted.concurrency),
        );
        let remaining = lendable.concurrency.saturating_sub(lent.concurrency);
        Quota {
            rate: rate.min(lendable.rate.saturating_sub(lent.rate)),
            concurrency: u32::try_from(concurrency)
                .unwrap_or(u32::MAX)
                .min(remaining),
        }
    }
}
