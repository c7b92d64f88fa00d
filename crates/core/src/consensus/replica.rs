use super::{Action, Event, Identity, Image, Refusal, Role, Settings, Status};
use crate::time::Time;

/// A replica of the log.
#[derive(Debug)]
pub struct Replica {
    image: Image,
    role: Role,
    leader: Option<Identity>,
}

impl Replica {
    /// Starts a replica from what its data folder holds.
    #[must_use]
    pub fn new(_settings: Settings, image: Image, _now: Time) -> Self {
        Self {
            image,
            role: Role::Follower,
            leader: None,
        }
    }

    /// Takes an event and returns the actions in the order in which they are to be carried out.
    pub fn step(&mut self, event: Event, _now: Time) -> Vec<Action> {
        match event {
            Event::Propose { ticket, .. }
            | Event::AddLearner { ticket, .. }
            | Event::Promote { ticket, .. }
            | Event::Remove { ticket, .. } => vec![Action::Answer {
                ticket,
                outcome: Err(Refusal::NotLeader { leader: None }),
            }],
            Event::Read { ticket } => vec![Action::Read {
                ticket,
                outcome: Err(Refusal::NotLeader { leader: None }),
            }],
            Event::Received(message) => {
                self.leader = Some(message.from);
                Vec::new()
            }
            Event::Tick | Event::Synced(_) | Event::Snapshotted { .. } => Vec::new(),
        }
    }

    /// Returns the state for status pages.
    #[must_use]
    pub fn status(&self, _now: Time) -> Status {
        Status {
            id: self.image.id,
            role: self.role,
            term: self.image.vote.term,
            leader: self.leader,
            commit: self.image.snapshot.index,
            last: self.image.snapshot.index,
            voters: self.image.snapshot.members.voters.clone(),
            learners: self.image.snapshot.members.learners.clone(),
            caught_up: Vec::new(),
            lease: None,
            may_act: false,
        }
    }
}
