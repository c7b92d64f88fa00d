use super::{Identity, Members, Payload};
use crate::time::Time;

plain! {
    /// Content of a log entry.
    #[derive(Eq)]
    pub enum Content {
        /// First entry of a leader's term.
        Empty,
        /// A proposal.
        Payload(Payload),
        /// The replica set from this entry on.
        Members(Members),
    }

    /// A log entry.
    #[derive(Eq)]
    pub struct Entry {
        /// Position in the log, from 1.
        pub index: u64,
        /// Term of the leader that created it.
        pub term: u64,
        /// What it holds.
        pub content: Content,
    }

    /// The state machine's state after an entry.
    #[derive(Eq)]
    pub struct Snapshot {
        /// Index of the last entry that it covers; 0 before the first.
        pub index: u64,
        /// Term of that entry.
        pub term: u64,
        /// The replica set after that entry.
        pub members: Members,
        /// The state machine's bytes; empty at index 0.
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

    /// What a replica must have synced before it counts.
    #[derive(Eq)]
    pub enum Record {
        /// Replaces the term and vote.
        Vote(Vote),
        /// Appends an entry. Entries with the same or a higher index are dropped first.
        Entry(Entry),
        /// Replaces the entries up to the snapshot's index, and all later ones if the entry at its
        /// index has another term.
        Snapshot(Snapshot),
    }

    /// What a data folder holds at the start of a replica.
    #[derive(Eq)]
    pub struct Image {
        /// Identity of the folder.
        pub id: Identity,
        /// Term and vote.
        pub vote: Vote,
        /// Latest snapshot. Its members are empty in a folder that has not joined yet.
        pub snapshot: Snapshot,
        /// Entries after the snapshot, without gaps.
        pub entries: Vec<Entry>,
    }

    /// A message between replicas.
    #[derive(Eq)]
    pub struct Message {
        /// Sender.
        pub from: Identity,
        /// Receiver. Other identities ignore the message.
        pub to: Identity,
        /// Sender's term; in a pre-vote, the term that it would start.
        pub term: u64,
        /// Kind and content.
        pub body: Body,
    }

    /// Kind and content of a message.
    #[derive(Eq)]
    pub enum Body {
        /// Asks for a vote, or with `pre` whether a vote would be granted.
        Ask {
            /// Whether the term is only probed.
            pre: bool,
            /// Index of the candidate's last entry.
            last_index: u64,
            /// Term of the candidate's last entry.
            last_term: u64,
        },
        /// Grants or refuses a vote.
        Vote {
            /// Whether this answers a pre-vote.
            pre: bool,
            /// Whether the vote is granted.
            granted: bool,
        },
        /// Carries entries, or none as a heartbeat.
        Append {
            /// Index of the entry before the first one.
            prev_index: u64,
            /// Term of that entry.
            prev_term: u64,
            /// Entries without gaps.
            entries: Vec<Entry>,
            /// Leader's commit index.
            commit: u64,
            /// Leader's clock when it sent this.
            sent: Time,
        },
        /// Answers `Append` or `Chunk`.
        Appended {
            /// Last index that is synced and equals the leader's log, or where to retry.
            index: u64,
            /// Whether the entries fit.
            matched: bool,
            /// Copied from the request.
            sent: Time,
        },
        /// Carries a part of a snapshot.
        Chunk {
            /// Snapshot without its data.
            head: Snapshot,
            /// Offset of the part.
            offset: u64,
            /// The part.
            part: Payload,
            /// Whether this is the last part.
            last: bool,
            /// Leader's clock when it sent this.
            sent: Time,
        },
        /// Asks for the part of the snapshot at an offset.
        Wanted {
            /// Index of the snapshot.
            index: u64,
            /// Number of bytes that have arrived without gaps.
            offset: u64,
            /// Copied from the request.
            sent: Time,
        },
    }
}

impl Image {
    /// Returns the image of a new folder that has not joined a replica set.
    #[must_use]
    pub fn empty(id: Identity) -> Self {
        Self::founding(id, Members::default())
    }

    /// Returns the image with which every founding replica of a new log starts.
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
