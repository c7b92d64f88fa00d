use super::{Body, Entry, Identity, Message, Replica, replica::State};
use crate::time::Time;

impl Replica {
    /// Follows the sender of an append or a snapshot part as the leader of `term`.
    ///
    /// Returns false if the message is to be ignored. Messages of removed identities are, except
    /// those of the current leader: it leads until the entry that removes it is committed.
    pub(super) fn accept_leader(&mut self, from: Identity, term: u64) -> bool {
        if self.log.members().is_removed(from) && self.leader != Some(from) {
            return false;
        }
        self.adopt_term(term);
        if matches!(self.state, State::Leader(_)) {
            self.halt(format!("term {term} has a second leader: {from}"));
            return false;
        }
        self.state = State::Follower;
        self.leader = Some(from);
        self.last_leader_contact = self.now;
        self.restart_election_timeout();
        true
    }

    /// Handles entries or a heartbeat of a leader.
    pub(super) fn handle_append(&mut self, message: Message) {
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
            return self.reject(from, self.log.last_index(), sent);
        }
        if !self.accept_leader(from, term) {
            return;
        }
        let last = prev_index + entries.len() as u64;
        match self.has_entry(prev_index, prev_term) {
            Some(true) => {}
            Some(false) => {
                let retry = self
                    .log
                    .last_index_before_term_at(prev_index)
                    .max(self.commit_index);
                return self.reject(from, retry, sent);
            }
            None => return self.reject(from, self.log.last_index(), sent),
        }
        if !self.append_missing(entries) {
            return;
        }
        self.commit_to(commit.min(last).max(self.commit_index));
        self.acknowledge(from, last, sent);
    }

    /// Returns whether the log has the entry with that index and term, or `None` if it ends before.
    ///
    /// A committed entry is not compared, since every later leader has the same one.
    fn has_entry(&self, index: u64, term: u64) -> Option<bool> {
        if index <= self.commit_index {
            return Some(true);
        }
        self.log.term_at(index).map(|own| own == term)
    }

    /// Appends the entries that the log lacks, replacing conflicting ones.
    ///
    /// Returns false if a committed entry conflicts, which halts the replica.
    fn append_missing(&mut self, entries: Vec<Entry>) -> bool {
        for entry in entries {
            if entry.index <= self.log.base_index() {
                continue;
            }
            match self.log.term_at(entry.index) {
                Some(term) if term == entry.term => {}
                Some(_) if entry.index <= self.commit_index => {
                    let index = entry.index;
                    self.halt(format!(
                        "the leader sent another entry for the committed index {index}"
                    ));
                    return false;
                }
                _ => self.append_entry(entry),
            }
        }
        true
    }

    /// Acknowledges the log up to `index` to the leader.
    pub(super) fn acknowledge(&mut self, to: Identity, index: u64, sent: Time) {
        let body = Body::Appended {
            index,
            matched: true,
            sent,
        };
        self.send_after_sync(to, body);
    }

    /// Rejects an append and suggests that the leader retries after `index`.
    fn reject(&mut self, to: Identity, index: u64, sent: Time) {
        let body = Body::Appended {
            index,
            matched: false,
            sent,
        };
        self.send_after_sync(to, body);
    }
}
