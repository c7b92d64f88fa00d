use std::collections::BTreeMap;

use masticlock_core::ledger::Bill;

use crate::rpc::{BillPage, MAX_BILLS};

/// The bills of one replica: a set by client account and request.
#[derive(Debug, Default)]
pub struct Bills {
    /// In order of arrival, with bills that were replaced later.
    list: Vec<Bill>,
    /// Position of the current bill of each request.
    index: BTreeMap<(String, String), usize>,
}

fn key(bill: &Bill) -> (String, String) {
    (bill.account.to_string(), bill.request.to_string())
}

/// Orders bills of one request, so that all replicas keep the same one.
///
/// A witness settles with the last known use, so the larger bill is the more complete one.
fn weight(bill: &Bill) -> (u64, usize, String) {
    (bill.cost(), bill.parts.len(), format!("{:?}", bill.parts))
}

impl Bills {
    /// Adds a bill; returns whether it is new or more complete than the one before.
    pub fn put(&mut self, bill: Bill) -> bool {
        let key = key(&bill);
        if let Some(&at) = self.index.get(&key)
            && weight(&self.list[at]) >= weight(&bill)
        {
            return false;
        }
        self.index.insert(key, self.list.len());
        self.list.push(bill);
        true
    }

    /// Returns the bills from a position on.
    #[must_use]
    pub fn page(&self, from: u64) -> BillPage {
        let start = usize::try_from(from)
            .unwrap_or(usize::MAX)
            .min(self.list.len());
        let end = (start + MAX_BILLS).min(self.list.len());
        BillPage {
            bills: self.list[start..end].to_vec(),
            next: end as u64,
            end: self.list.len() as u64,
        }
    }

    /// Returns the number of requests that have a bill.
    #[must_use]
    pub fn requests(&self) -> u64 {
        self.index.len() as u64
    }
}
