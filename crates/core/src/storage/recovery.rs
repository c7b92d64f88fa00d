use crate::consensus::{Content, Entry, Identity, Image, Member, Members};

/// A single-voter log that was rebuilt from the data folder of a surviving replica.
#[derive(Clone, Debug, PartialEq)]
pub struct Recovery {
    /// Image for a new store.
    pub image: Image,
    /// Index of the last entry in the surviving folder.
    pub last_index: u64,
    /// Term of that entry.
    pub last_term: u64,
    /// Indexes of entries that may not have been committed before and will be committed by the new
    /// log.
    pub unconfirmed: Vec<u64>,
    /// Replicas of the old cluster. Entries after `last_index` that only they have are lost.
    pub former: Vec<Member>,
}

/// Rebuilds a log from the image of a surviving replica.
///
/// The only voter of the new log is `member`, which has a new identity. The old identities are
/// removed permanently, so that an old replica that comes back can't depose the new leader. The
/// data folder doesn't record the commit index, so all entries after the snapshot are listed as
/// unconfirmed.
#[must_use]
pub fn recover(image: Image, member: Member) -> Recovery {
    let former = latest_members(&image);
    let last = image.entries.last();
    let last_index = last.map_or(image.snapshot.index, |e| e.index);
    let last_term = last.map_or(image.snapshot.term, |e| e.term);
    let unconfirmed = image.entries.iter().map(|e| e.index).collect();
    let replicas: Vec<Member> = former
        .voters
        .iter()
        .chain(&former.learners)
        .cloned()
        .collect();
    let mut vote = image.vote;
    vote.term += 1;
    vote.candidate = None;
    let mut entries = image.entries;
    let id = member.id;
    entries.push(Entry {
        index: last_index + 1,
        term: vote.term,
        content: Content::Members(Members {
            removed: removed_identities(&former, image.id, id),
            voters: vec![member],
            learners: Vec::new(),
        }),
    });
    Recovery {
        image: Image {
            id,
            vote,
            snapshot: image.snapshot,
            entries,
        },
        last_index,
        last_term,
        unconfirmed,
        former: replicas,
    }
}

/// Returns the latest membership in the image, whether committed or not.
fn latest_members(image: &Image) -> Members {
    let latest = image.entries.iter().rev().find_map(|e| match &e.content {
        Content::Members(members) => Some(members),
        Content::Empty | Content::Payload(_) => None,
    });
    latest.unwrap_or(&image.snapshot.members).clone()
}

/// Returns all identities that the new log must never admit again, sorted.
fn removed_identities(former: &Members, survivor: Identity, id: Identity) -> Vec<Identity> {
    let replicas = former.voters.iter().chain(&former.learners).map(|m| m.id);
    let mut identities: Vec<_> = former.removed.iter().copied().chain(replicas).collect();
    identities.push(survivor);
    identities.retain(|&old| old != id);
    identities.sort_unstable();
    identities.dedup();
    identities
}
