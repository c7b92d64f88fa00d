use super::{Identity, Members, Payload};
use crate::time::Time;

plain! {
    /// Kind and content of a log entry.
    #[derive(Eq)]
    pub enum Content {
        /// No content: the entry that a new leader appends first.
        Empty,
        /// A proposed payload.
        Payload(Payload),
        /// A new replica set, in force from this entry on.
        Members(Members),
    }

    /// A log entry.
    #[derive(Eq)]
    pub struct Entry {
        /// Position in the log, from 1.
        pub index: u64,
        /// Term of the leader that created it.
        pub term: u64,
        /// Kind and content.
        pub content: Content,
    }

    /// The state machine's state after a committed entry, which replaces the log up to it.
    #[derive(Eq)]
    pub struct Snapshot {
        /// Index of the last entry that it covers; 0 if it covers none.
        pub index: u64,
        /// Term of that entry.
        pub term: u64,
        /// The replica set after that entry.
        pub members: Members,
        /// Serialized state of the state machine; empty at index 0.
        pub data: Payload,
    }

    /// A replica's term and its vote in that term.
    #[derive(Eq, Default)]
    pub struct Vote {
        /// Current term.
        pub term: u64,
        /// The candidate that got this replica's vote in the term.
        pub candidate: Option<Identity>,
    }

    /// A change to the persistent state of a replica.
    ///
    /// It must be synced before the replica sends a message that depends on it.
    #[derive(Eq)]
    pub enum Record {
        /// Replaces the term and vote.
        Vote(Vote),
        /// Appends an entry after dropping all entries with the same or a higher index.
        Entry(Entry),
        /// Replaces the entries up to the snapshot's index. Later entries are dropped too unless
        /// the log has the snapshot's last entry.
        Snapshot(Snapshot),
    }

    /// Persistent state in a data folder, from which a replica starts.
    #[derive(Eq)]
    pub struct Image {
        /// Identity of the folder.
        pub id: Identity,
        /// Term and vote.
        pub vote: Vote,
        /// Latest snapshot. Its replica set is empty if the replica has not joined one yet.
        pub snapshot: Snapshot,
        /// Entries after the snapshot, without gaps.
        pub entries: Vec<Entry>,
    }

    /// A message between replicas.
    #[derive(Eq)]
    pub struct Message {
        /// Sender.
        pub from: Identity,
        /// Receiver. A replica ignores messages to other identities.
        pub to: Identity,
        /// Sender's term. In a pre-vote request and a granted pre-vote, the term that the candidate
        /// would start.
        pub term: u64,
        /// Kind and content.
        pub body: Body,
    }

    /// Kind and content of a message.
    #[derive(Eq)]
    pub enum Body {
        /// Requests a vote or, in a pre-vote, asks whether it would be granted.
        Ask {
            /// Whether this is a pre-vote, which starts no term.
            pre: bool,
            /// Index of the candidate's last entry.
            last_index: u64,
            /// Term of the candidate's last entry.
            last_term: u64,
        },
        /// Response to `Ask`: grants or denies the vote.
        Vote {
            /// Whether the request was a pre-vote.
            pre: bool,
            /// Whether the vote is granted.
            granted: bool,
        },
        /// Replicates entries; a heartbeat may have none.
        Append {
            /// Index of the entry that precedes `entries`.
            prev_index: u64,
            /// Term of that entry.
            prev_term: u64,
            /// Entries with consecutive indexes.
            entries: Vec<Entry>,
            /// Leader's commit index.
            commit: u64,
            /// Send time on the leader's clock.
            sent: Time,
        },
        /// Response to `Append`, or to `Chunk` if no further part is needed.
        Appended {
            /// If matched, the last index up to which the synced log equals the leader's; otherwise
            /// the index after which the leader should retry.
            index: u64,
            /// Whether the log had the preceding entry.
            matched: bool,
            /// Copied from the request.
            sent: Time,
        },
        /// Transfers a part of a snapshot.
        Chunk {
            /// The snapshot without its data.
            head: Snapshot,
            /// Offset of the part in the data, in bytes.
            offset: u64,
            /// Bytes of the part.
            part: Payload,
            /// Whether this is the last part.
            last: bool,
            /// Send time on the leader's clock.
            sent: Time,
        },
        /// Response to `Chunk` that requests the part at an offset.
        Wanted {
            /// Index of the snapshot.
            index: u64,
            /// Offset of the requested part: the number of bytes received so far.
            offset: u64,
            /// Copied from the request.
            sent: Time,
        },
    }
}

impl Image {
    /// Returns the initial state of a replica that joins an existing log.
    #[must_use]
    pub fn empty(id: Identity) -> Self {
        Self::founding(id, Members::default())
    }

    /// Returns the initial state of a founding replica of a new log.
    #[must_use]
    pub fn founding(id: Identity, members: Members) -> Self {
        Self {
            id,
            vote: Vote::default(),
            snapshot: Snapshot {
                index: 0,
                term: 0,
                members,
                data: Payload::default(),
            },
            entries: Vec::new(),
        }
    }
}
