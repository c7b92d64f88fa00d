use crate::consensus::{Content, Entry, Identity, Image, Member, Members};

/// A single-voter log that was rebuilt from a surviving folder.
#[derive(Clone, Debug, PartialEq)]
pub struct Recovery {
    /// Image for a new folder.
    pub image: Image,
    /// Last index of the surviving folder.
    pub last_index: u64,
    /// Term of that entry.
    pub last_term: u64,
    /// Indexes of entries that may never have been committed and are committed now.
    pub unconfirmed: Vec<u64>,
    /// Replicas of the old set. Entries after `last_index` that only they have are lost.
    pub former: Vec<Member>,
}

/// Rebuilds a log whose only voter is `member`, which has a new identity.
///
/// The old identities are removed for good, so an old replica that returns can't end the new
/// leader's term. The folder doesn't record what was committed, so all entries after the snapshot
/// are listed as unconfirmed.
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
            removed: removed(&former, image.id, id),
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

fn latest_members(image: &Image) -> Members {
    let latest = image.entries.iter().rev().find_map(|e| match &e.content {
        Content::Members(members) => Some(members),
        Content::Empty | Content::Payload(_) => None,
    });
    latest.unwrap_or(&image.snapshot.members).clone()
}

fn removed(former: &Members, survivor: Identity, id: Identity) -> Vec<Identity> {
    let replicas = former.voters.iter().chain(&former.learners).map(|m| m.id);
    let mut list: Vec<_> = former.removed.iter().copied().chain(replicas).collect();
    list.push(survivor);
    list.retain(|&old| old != id);
    list.sort_unstable();
    list.dedup();
    list
}
