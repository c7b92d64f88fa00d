//! The part of a limit that is lent.

use crate::{
    limit::{Amount, SHARE_LEASE},
    name,
    slot::with_clock_drift,
    time::Time,
};

plain! {
    /// A borrower's question.
    #[derive(Copy, Eq)]
    pub struct Ask {
        /// Number of the question, growing.
        pub number: u64,
        /// Number of the latest grant that the borrower has. Earlier ones are over.
        pub in_use: u64,
        /// What the borrower needs.
        pub wants: Amount,
    }

    /// The lender's answer.
    #[derive(Copy, Eq)]
    pub struct Grant {
        /// Number of the question.
        pub number: u64,
        /// What is lent until [`SHARE_LEASE`] after the question was sent.
        pub amount: Amount,
    }
}

#[derive(Clone, Debug)]
struct Lent {
    holder: name::Instance,
    number: u64,
    wants: Amount,
    amount: Amount,
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
        ask: Ask,
        lendable: Amount,
        now: Time,
    ) -> Grant {
        self.lent.retain(|lent| {
            let over = lent.holder == *holder && lent.number < ask.in_use;
            now < lent.until && !over
        });
        let amount = if now < self.free_from {
            Amount::default()
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
    fn share(&self, holder: &name::Instance, wants: Amount, lendable: Amount) -> Amount {
        let mut taken = Amount::default();
        let mut wanted = wants;
        let mut others: Vec<_> = self.lent.iter().filter(|l| l.holder != *holder).collect();
        others.sort_by(|a, b| a.holder.cmp(&b.holder));
        for group in others.chunk_by(|a, b| a.holder == b.holder) {
            let largest = group.iter().fold(Amount::default(), |sum, lent| Amount {
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
        Amount {
            rate: rate.min(lendable.rate.saturating_sub(taken.rate)),
            concurrency: u32::try_from(open).unwrap_or(u32::MAX).min(left),
        }
    }
}
