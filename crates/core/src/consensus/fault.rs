use super::{Body, Identity, Members, Message};

/// A deliberate violation of the algorithm, which shows that the tests detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Sends votes before they are synced.
    VoteWithoutSync,
    /// Keeps the identity of a replica that lost its data. The tests start such a replica; the
    /// algorithm itself is unchanged.
    ReuseIdentity,
    /// Votes although a leader was heard from within the shortest election timeout and may hold a
    /// lease.
    VoteDuringLease,
    /// Counts learners toward the majority.
    CountLearners,
    /// Acknowledges entries before they are synced.
    AcknowledgeBeforeSync,
    /// Commits entries of older terms by counting the replicas that have them.
    CommitOlderTerm,
}

impl Fault {
    /// Returns whether the fault sends the message before the records that it depends on are
    /// synced.
    pub(super) const fn skips_sync(self, message: &Message) -> bool {
        matches!(
            (self, &message.body),
            (Self::VoteWithoutSync, Body::Ask { .. } | Body::Vote { .. })
                | (Self::AcknowledgeBeforeSync, Body::Appended { .. })
        )
    }
}

impl Members {
    /// Returns whether the replica counts toward a majority: voters, and learners under
    /// [`Fault::CountLearners`].
    pub(super) fn counts_toward_majority(&self, id: Identity, fault: Option<Fault>) -> bool {
        self.is_voter(id) || fault == Some(Fault::CountLearners) && self.is_learner(id)
    }
}
