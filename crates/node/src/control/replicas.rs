use masticlock_core::consensus::{Event, Member, Message, Status};

use super::{
    job::{Reply, send},
    state::{State, Waiting},
};
use crate::rpc;

impl State {
    /// Takes messages of another replica and returns what there is to answer at once.
    pub fn receive(&mut self, messages: rpc::Messages) -> Vec<Message> {
        if let Some(sender) = messages.sender {
            self.peers.hear(sender);
        }
        self.peers.collect_for(messages.from);
        for message in messages.messages {
            self.step(Event::Received(message));
        }
        self.peers.collected()
    }

    /// Adds a replica that has a new data folder.
    pub fn join(&mut self, member: Member, reply: Reply<()>) {
        if !self.may_act() {
            return send(reply, Err(self.not_leader()));
        }
        let status = self.replica.status(self.clock.now());
        let known = |m: &Member| m.id == member.id;
        if status.voters.iter().chain(&status.learners).any(known) {
            return send(reply, Ok(()));
        }
        log::info!("replica {} of {} joins", member.id, member.instance);
        let ticket = self.ticket(Waiting::Join(reply));
        self.step(Event::AddLearner { ticket, member });
    }

    /// Makes a learner that has caught up a voter, after the removal of the
    /// identity that its instance had before.
    pub fn promote(&mut self, status: &Status) {
        let former = |learner: &Member| {
            let mut voters = status.voters.iter();
            voters.find(|v| v.instance == learner.instance)
        };
        let ready = status
            .learners
            .iter()
            .filter(|l| status.caught_up.contains(&l.id));
        // No learner is promoted while a lost voter remains, so removals go first.
        let Some(learner) = ready.min_by_key(|l| former(l).is_none()) else {
            return;
        };
        let old = former(learner);
        let ticket = self.ticket(Waiting::Nothing);
        self.step(match old {
            Some(old) => Event::Remove { ticket, id: old.id },
            None => Event::Promote {
                ticket,
                id: learner.id,
            },
        });
    }
}
