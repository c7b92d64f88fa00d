use super::{Body, Entry, Identity, Message, Replica, replica::State};
use crate::time::Time;

impl Replica {
    /// Takes the sender as the leader of the message's term.
    ///
    /// Returns whether the message counts. A leader that removes itself is heard until its term
    /// ends; other removed identities are ignored.
    pub(super) fn accept_leader(&mut self, from: Identity, term: u64) -> bool {
        if self.log.members().is_removed(from) && self.leader != Some(from) {
            return false;
        }
        self.adopt(term);
        if matches!(self.state, State::Leader(_)) {
            self.halt(format!("{from} also leads term {term}"));
            return false;
        }
        self.state = State::Follower;
        self.leader = Some(from);
        self.heard = self.now;
        self.restart_timeout();
        true
    }

    pub(super) fn append(&mut self, message: Message) {
        let (from, term) = (message.from, message.term);
        let Body::Append {
            prev_index,
            prev_term,
            entries,
            commit,
            sent,
        } = message.body
        else {
            return;
        };
        if term < self.vote.term {
            return self.refuse(from, self.log.last_index(), sent);
        }
        if !self.accept_leader(from, term) {
            return;
        }
        let last = prev_index + entries.len() as u64;
        match self.term_of_shared(prev_index, prev_term) {
            Some(true) => {}
            Some(false) => {
                let retry = self.log.before_term_of(prev_index).max(self.commit);
                return self.refuse(from, retry, sent);
            }
            None => return self.refuse(from, self.log.last_index(), sent),
        }
        if !self.extend(entries) {
            return;
        }
        self.commit_to(commit.min(last).max(self.commit));
        self.confirm(from, last, sent);
    }

    /// Returns whether the log has that entry, or `None` if it is too short.
    ///
    /// Entries up to the commit index are the same in every leader's log.
    fn term_of_shared(&self, index: u64, term: u64) -> Option<bool> {
        if index <= self.commit {
            return Some(true);
        }
        self.log.term_at(index).map(|own| own == term)
    }

    /// Adds the entries that the log doesn't have; returns false if the replica halts.
    fn extend(&mut self, entries: Vec<Entry>) -> bool {
        for entry in entries {
            if entry.index <= self.log.base() {
                continue;
            }
            match self.log.term_at(entry.index) {
                Some(term) if term == entry.term => {}
                Some(_) if entry.index <= self.commit => {
                    let index = entry.index;
                    self.halt(format!("the leader replaces the committed entry {index}"));
                    return false;
                }
                _ => self.store(entry),
            }
        }
        true
    }

    pub(super) fn confirm(&mut self, to: Identity, index: u64, sent: Time) {
        let body = Body::Appended {
            index,
            matched: true,
            sent,
        };
        self.promise(to, body);
    }

    fn refuse(&mut self, to: Identity, index: u64, sent: Time) {
        let body = Body::Appended {
            index,
            matched: false,
            sent,
        };
        self.promise(to, body);
    }
}
