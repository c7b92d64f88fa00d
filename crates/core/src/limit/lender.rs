//! The part of a limit that is lent.

use crate::{
    limit::{Quota, SHARE_LEASE},
    name,
    slot::with_clock_drift,
    time::Time,
};

plain! {
    /// A borrower's question.
    #[derive(Copy, Eq)]
    pub struct Demand {
        /// Number of the question, growing.
        pub number: u64,
        /// Number of the latest grant that the borrower has. Earlier ones are over.
        pub in_use: u64,
        /// What the borrower needs.
        pub wants: Quota,
    }

    /// The lender's answer.
    #[derive(Copy, Eq)]
    pub struct Grant {
        /// Number of the question.
        pub number: u64,
        /// What is lent until [`SHARE_LEASE`] after the question was sent.
        pub amount: Quota,
    }
}

#[derive(Clone, Debug)]
struct Lent {
    holder: name::Instance,
    number: u64,
    wants: Quota,
    amount: Quota,
    until: Time,
}

/// Lends the limits of one client account.
///
/// A borrower may use each of its grants until the grant's lease is over or the
/// borrower has confirmed a later one, so the largest of them counts.
#[derive(Clone, Debug)]
pub struct Lender {
    free_from: Time,
    lent: Vec<Lent>,
}

impl Lender {
    /// Returns a lender that waits until grants of its predecessor are over.
    #[must_use]
    pub fn new(now: Time) -> Self {
        Self {
            free_from: now + with_clock_drift(SHARE_LEASE),
            lent: Vec::new(),
        }
    }

    /// Answers a question. `lendable` is the amount that all borrowers share.
    pub fn grant(
        &mut self,
        holder: &name::Instance,
        ask: Demand,
        lendable: Quota,
        now: Time,
    ) -> Grant {
        self.lent.retain(|lent| {
            let over = lent.holder == *holder && lent.number < ask.in_use;
            now < lent.until && !over
        });
        let amount = if now < self.free_from {
            Quota::default()
        } else {
            self.share(holder, ask.wants, lendable)
        };
        self.lent.push(Lent {
            holder: holder.clone(),
            number: ask.number,
            wants: ask.wants,
            amount,
            until: now + with_clock_drift(SHARE_LEASE),
        });
        Grant {
            number: ask.number,
            amount,
        }
    }

    /// Returns the smaller of what is wanted, what is left, and a part in
    /// proportion to what all borrowers want.
    fn share(&self, holder: &name::Instance, wants: Quota, lendable: Quota) -> Quota {
        let mut taken = Quota::default();
        let mut wanted = wants;
        let mut others: Vec<_> = self.lent.iter().filter(|l| l.holder != *holder).collect();
        others.sort_by(|a, b| a.holder.cmp(&b.holder));
        for group in others.chunk_by(|a, b| a.holder == b.holder) {
            let largest = group.iter().fold(Quota::default(), |sum, lent| Quota {
                rate: sum.rate.max(lent.amount.rate),
                concurrency: sum.concurrency.max(lent.amount.concurrency),
            });
            taken = taken.plus(largest);
            if let Some(last) = group.iter().max_by_key(|lent| lent.until) {
                wanted = wanted.plus(last.wants);
            }
        }
        let part = |limit: u64, own: u64, all: u64| {
            if all <= limit {
                own
            } else {
                limit * own / all.max(1)
            }
        };
        let rate = part(lendable.rate, wants.rate, wanted.rate);
        let open = part(
            u64::from(lendable.concurrency),
            u64::from(wants.concurrency),
            u64::from(wanted.concurrency),
        );
        let left = lendable.concurrency.saturating_sub(taken.concurrency);
        Quota {
            rate: rate.min(lendable.rate.saturating_sub(taken.rate)),
            concurrency: u32::try_from(open).unwrap_or(u32::MAX).min(left),
        }
    }
}
