use super::{Body, Identity, Members, Message};

/// A deliberate fault with which the tests show that their checks can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Votes are sent before they are synced.
    VoteWithoutSync,
    /// A replica without data keeps its identity. The tests start such a replica; the replica
    /// itself behaves as usual.
    ReuseIdentity,
    /// A voter votes although it heard from a leader within the election timeout.
    VoteDuringLease,
    /// Learners count toward the majority.
    CountLearners,
    /// Entries count before they are synced.
    AcknowledgeBeforeSync,
    /// Entries of older terms are committed by counting replicas.
    CommitOlderTerm,
}

impl Fault {
    /// Returns whether the fault lets the message overtake the records that it promises.
    pub(super) const fn overtakes(self, message: &Message) -> bool {
        matches!(
            (self, &message.body),
            (Self::VoteWithoutSync, Body::Ask { .. } | Body::Vote { .. })
                | (Self::AcknowledgeBeforeSync, Body::Appended { .. })
        )
    }
}

impl Members {
    /// Returns whether the replica counts toward the majority.
    pub(super) fn counts(&self, id: Identity, fault: Option<Fault>) -> bool {
        self.is_voter(id) || fault == Some(Fault::CountLearners) && self.is_learner(id)
    }
}
