//! Crashes, restarts, partitions and contact between parts.

use masticlock_core::time::{Span, Time};

use super::{
    Due, Id, Role, World,
    disk::Failure,
    record::{End, Instance},
};

impl World {
    /// Ends a process without a warning; with a span it starts again after that.
    pub fn crash(&mut self, id: Id, restart: Option<Span>) {
        self.end(id, false);
        if let Some(delay) = restart {
            self.push(delay, Due::Start(id));
        }
    }

    /// Ends a control replica and removes its data; it starts again with a new identity.
    pub fn wipe(&mut self, id: Id, restart: Span) {
        self.end(id, true);
        self.push(restart, Due::Start(id));
    }

    fn end(&mut self, id: Id, wipe: bool) {
        if !self.parts[id].up && !wipe {
            return;
        }
        match self.parts[id].role {
            Role::Control(_) => self.end_control(id, wipe),
            Role::Entry(_) => self.end_entry(id),
            Role::Upstream(_) => self.end_upstream(id),
            Role::Desk(_) => {}
        }
        self.boots += 1;
        let part = &mut self.parts[id];
        part.up = false;
        part.boot = self.boots;
    }

    fn end_entry(&mut self, id: Id) {
        self.close_reach(id);
        self.disconnect(id);
        let name = self.parts[id].name.clone();
        if let Role::Entry(entry) = &mut self.parts[id].role {
            entry.process = None;
        }
        let open = self.record.asked.iter_mut();
        let mut broken = Vec::new();
        for asked in open.filter(|a| a.end == End::Open && a.instance == name) {
            asked.end = End::Broken;
            asked.ended = self.now;
            broken.push(asked.request.clone());
        }
        for request in broken {
            self.told(&request);
        }
    }

    /// Starts a process that does not run.
    pub fn start(&mut self, id: Id) {
        if self.parts[id].up {
            return;
        }
        self.boots += 1;
        let part = &mut self.parts[id];
        part.up = true;
        part.boot = self.boots;
        match part.role {
            Role::Control(_) => self.start_control(id),
            Role::Entry(_) => self.start_entry(id),
            Role::Upstream(_) => return self.start_upstream(id),
            Role::Desk(_) => return,
        }
        self.push(Span::ZERO, Due::Tick(id, self.parts[id].boot));
    }

    /// Returns all parts.
    pub fn all(&self) -> impl Iterator<Item = Id> + use<> {
        0..self.parts.len()
    }

    /// Returns the parts that a name stands for: a part, or those of a failure domain.
    #[must_use]
    pub fn members_of(&self, name: &str) -> Vec<Id> {
        if let Some(id) = self.find(name) {
            return vec![id];
        }
        let inside = |id: &Id| self.parts[*id].domain.as_str() == name;
        (0..self.parts.len()).filter(inside).collect()
    }

    /// Loses messages between two groups of parts.
    pub fn cut(&mut self, from: &[Id], to: &[Id], both: bool) {
        for &a in from {
            for &b in to.iter().filter(|b| !from.contains(b)) {
                self.net.cut(a, b);
                if both {
                    self.net.cut(b, a);
                }
            }
        }
    }

    /// Loses messages between a failure domain and the others until the heal.
    pub(super) fn isolate(&mut self, id: Id, both: bool, heal: Span) {
        let domain = self.parts[id].domain.clone();
        let (inside, outside): (Vec<_>, Vec<_>) =
            (1..self.parts.len()).partition(|&p| self.parts[p].domain == domain);
        self.cut(&outside, &inside, both);
        self.push(heal, Due::Heal);
    }

    /// Ends all cuts.
    pub fn heal(&mut self) {
        self.net.heal();
    }

    /// Lets the open connections between two parts go silent.
    pub fn silence(&mut self, a: Id, b: Id) {
        self.net.silence(a, b);
        let is_entry = |id: Id| matches!(self.parts[id].role, Role::Entry(_));
        // Other connections are discarded at the limit of their calls.
        if !is_entry(a) && !is_entry(b) || is_entry(a) && is_entry(b) {
            self.discard_later(a, b);
        }
    }

    /// Lets the next write of a control replica fail.
    pub fn fill_disk(&mut self, id: Id) {
        self.fail_disk(id, Failure::Full);
    }

    /// Lets the next write of a control replica be torn by a crash.
    pub fn tear_write(&mut self, id: Id) {
        self.fail_disk(id, Failure::Torn);
    }

    /// Notes whether an instance has contact with the acting leader.
    pub(super) fn note_reach(&mut self, id: Id) {
        let contact = self
            .leader()
            .is_some_and(|leader| self.net.passes(id, leader) && self.net.passes(leader, id));
        let now = self.now;
        let Role::Entry(entry) = &mut self.parts[id].role else {
            return;
        };
        if contact {
            entry.reach = entry.reach.or(Some(now));
        } else {
            self.close_reach(id);
        }
    }

    /// Returns since when an instance has contact with the acting leader.
    pub(super) fn reachable(&self, id: Id) -> Option<Time> {
        match &self.parts[id].role {
            Role::Entry(entry) => entry.reach,
            _ => None,
        }
    }

    fn close_reach(&mut self, id: Id) {
        let (now, boot) = (self.now, self.parts[id].boot);
        let name = self.parts[id].name.clone();
        let Role::Entry(entry) = &mut self.parts[id].role else {
            return;
        };
        if let Some(since) = entry.reach.take() {
            self.record.instances.push(Instance {
                instance: name,
                boot,
                since,
                until: now,
            });
        }
    }

    pub(super) fn end_reaches(&mut self) {
        for id in self.entry_ids() {
            if self.parts[id].up {
                self.close_reach(id);
            }
        }
    }
}
