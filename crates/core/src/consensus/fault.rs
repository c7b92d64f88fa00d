/// A deliberate fault with which the tests show that their checks can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Votes are sent before they are synced.
    VoteWithoutSync,
    /// A replica without data keeps its identity.
    IdentityReuse,
    /// A voter votes although it heard from a leader within the election timeout.
    NoLeaseWait,
    /// Learners count toward the majority.
    LearnerVotes,
    /// Entries count before they are synced.
    AcknowledgeBeforeSync,
    /// Entries of older terms are committed by counting replicas.
    CommitOlderTerm,
}
