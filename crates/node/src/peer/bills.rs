use futures_util::future::BoxFuture;
use masticlock_core::{
    error,
    ledger::{Action, Bill, Totals},
    name, slot,
};

use super::{CALL, Peer, state::State, wire};
use crate::{client::ATTEMPT, port, rpc};

impl Peer {
    /// Returns the counts of bills.
    #[must_use]
    pub fn bills(&self) -> Totals {
        self.state().bills.totals()
    }

    /// Returns another member that keeps open records, by rendezvous.
    pub(super) fn witness_for(
        &self,
        state: &State,
        key: &str,
        not: Option<&name::Instance>,
    ) -> Option<name::Instance> {
        let members = state.view.members.iter().map(|member| &member.name);
        let others = members.filter(|name| **name != self.settings.instance && Some(*name) != not);
        slot::rendezvous(key, others).cloned()
    }

    /// Sends messages about bills. What gets no answer is repeated by `PendingBills`.
    pub(super) fn act(&self, actions: Vec<Action>) {
        let Some(peer) = self.itself() else {
            return;
        };
        for action in actions {
            let peer = peer.clone();
            tokio::spawn(async move { peer.perform(action).await });
        }
    }

    async fn perform(&self, action: Action) {
        match action {
            Action::Open { witness, bills } => {
                self.open_at(&witness, bills).await;
            }
            Action::Close { witness, keys } => {
                let params = wire::Close { keys };
                let to = self.state().address_of(&witness);
                if let Some(to) = to {
                    let answer = self.call(&to, wire::WITNESS_CLOSE, &params, CALL).await;
                    let answer: Result<(), _> = answer;
                    if answer.is_ok() {
                        self.state().bills.acknowledge_close(&witness, &params.keys);
                    }
                }
            }
            Action::Put { replica, bills } => {
                let params = rpc::Bills { bills };
                let answer = self.call(&replica, rpc::BILL_PUT, &params, ATTEMPT).await;
                let answer: Result<usize, _> = answer;
                if answer.is_ok() {
                    let next = self.state().bills.acknowledge_put(&replica, &params.bills);
                    self.act(next);
                }
            }
        }
    }

    async fn open_at(&self, witness: &name::Instance, bills: Vec<Bill>) -> bool {
        let params = wire::Open {
            origin: self.settings.instance.clone(),
            boot: self.settings.boot,
            bills,
        };
        let to = self.state().address_of(witness);
        let Some(to) = to else {
            return false;
        };
        let answer: Result<(), _> = self.call(&to, wire::WITNESS_OPEN, &params, CALL).await;
        let now = self.now();
        if answer.is_ok() {
            self.state()
                .bills
                .acknowledge_open(witness, &params.bills, now);
        }
        answer.is_ok()
    }

    /// Opens a record in the pending bills and names its witness. The record is sent by
    /// the caller, so that its answer is waited for.
    fn begin_record(&self, bill: &Bill) -> Option<name::Instance> {
        let mut state = self.state();
        let witness = self.witness_for(&state, bill.request.as_str(), None);
        let _sent_by_caller = state.bills.open(bill.clone(), witness.clone());
        witness
    }

    /// Moves a record away from a witness that did not answer.
    fn move_record(&self, bill: &Bill, from: &name::Instance) -> Option<name::Instance> {
        let mut state = self.state();
        let next = self.witness_for(&state, bill.request.as_str(), Some(from));
        let _sent_by_caller = state.bills.reassign_witness(&bill.key(), next.clone());
        next
    }

    async fn open_record(&self, bill: Bill) -> Result<(), error::Error> {
        // An instance that is alone in its failure domain has no witness.
        let Some(first) = self.begin_record(&bill) else {
            return Ok(());
        };
        if self.open_at(&first, vec![bill.clone()]).await {
            return Ok(());
        }
        match self.move_record(&bill, &first) {
            Some(second) if self.open_at(&second, vec![bill]).await => Ok(()),
            _ => Err(error::Error::new(
                error::Kind::Overloaded,
                "no other instance could record the request",
            )
            .retry_after(CALL.as_millis())),
        }
    }
}

impl port::Bills for Peer {
    fn open(&self, bill: Bill) -> BoxFuture<'_, Result<(), error::Error>> {
        Box::pin(self.open_record(bill))
    }

    fn settle(&self, bill: Bill) {
        let actions = self.state().bills.settle(bill);
        self.act(actions);
    }
}
