use std::sync::Arc;

use masticlock_core::{
    config, error,
    limit::{Demand, Grant, Lender, Quota},
    name,
    time::Time,
};

use super::{CALL, Peer, wire};
use crate::port::Admission;

impl Peer {
    /// Returns the part of a client account's limits that this failure domain
    /// has, or `None` for an unknown account.
    fn amount(&self, config: &config::Config, account: &name::Account) -> Option<Quota> {
        let entry = config.inventory.account(account)?;
        let domains = &config.inventory.domains;
        let rank = domains.binary_search_by(|d| d.name.cmp(&self.settings.domain));
        Some(Quota::for_domain(
            entry.rate,
            entry.concurrency,
            domains.len(),
            rank.unwrap_or_default(),
        ))
    }

    /// Admits a request without a call to another instance.
    pub(super) fn admit_here(&self, account: &name::Account) -> Result<Admission, error::Error> {
        let config = self.snapshot.load().config.clone();
        let Some(amount) = self.amount(&config, account) else {
            let message = format!("client account {account} is unknown");
            return Err(error::Error::new(error::Kind::Unauthorized, message));
        };
        let now = self.now();
        let mut state = self.state();
        let base = amount.base(state.view.members.len());
        state.shares.get(account, base, now).admit(now)?;
        drop(state);
        let (peer, account) = (self.itself.clone(), account.clone());
        Ok(Admission::new(move || {
            if let Some(peer) = peer.upgrade() {
                peer.state().shares.release(&account);
            }
        }))
    }

    /// Lends a part of a client account's limits.
    pub(super) fn lend(
        &self,
        account: &name::Account,
        holder: &name::Instance,
        ask: Demand,
    ) -> Grant {
        let config = self.snapshot.load().config.clone();
        let amount = self.amount(&config, account).unwrap_or_default();
        let now = self.now();
        let mut state = self.state();
        let lendable = amount.lendable(state.view.members.len());
        let lenders = &mut state.lenders;
        let at = match lenders.binary_search_by(|(other, _)| other.cmp(account)) {
            Ok(at) => at,
            Err(at) => {
                lenders.insert(at, (account.clone(), Lender::new(now)));
                at
            }
        };
        lenders[at].1.grant(holder, ask, lendable, now)
    }

    /// Asks for the shares that are due.
    pub(super) fn borrow(self: &Arc<Self>, now: Time) {
        let mut due = Vec::new();
        for (account, share) in self.state().shares.iter_mut() {
            if let Some(ask) = share.next_demand(now) {
                due.push((account.clone(), ask));
            }
        }
        for (account, ask) in due {
            let peer = self.clone();
            tokio::spawn(async move { peer.borrow_from_lender(account, ask, now).await });
        }
    }

    /// Asks for a client account's share at once. Returns whether it was time
    /// to ask.
    pub(super) async fn borrow_now(&self, account: &name::Account) -> bool {
        let now = self.now();
        let ask = self.state().shares.next_demand(account, now);
        match ask {
            Some(ask) => {
                self.borrow_from_lender(account.clone(), ask, now).await;
                true
            }
            None => false,
        }
    }

    async fn borrow_from_lender(&self, account: name::Account, ask: Demand, now: Time) {
        let lender = self.state().view.highest_ranked(account.as_str()).cloned();
        match lender {
            Some(lender) if lender.name != self.settings.instance => {
                self.borrow_at(&lender.address, account, ask, now).await;
            }
            _ => {
                let grant = self.lend(&account, &self.settings.instance, ask);
                let shares = &mut self.state().shares;
                shares.apply_grant(&account, &grant, now, now);
            }
        }
    }

    async fn borrow_at(&self, to: &str, account: name::Account, ask: Demand, sent: Time) {
        let params = wire::Borrow {
            account,
            holder: self.settings.instance.clone(),
            ask,
        };
        let answer = self.call(to, wire::BORROW, &params, CALL).await;
        if let Ok(grant) = answer {
            let now = self.now();
            let shares = &mut self.state().shares;
            shares.apply_grant(&params.account, &grant, sent, now);
        }
    }
}
