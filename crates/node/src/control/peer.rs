use std::{collections::VecDeque, sync::Arc};

use masticlock_core::{
    consensus::{Body, Identity, Member, Message},
    time::Span,
};
use tokio::sync::mpsc;

use crate::{client::Pool, rpc};

/// Most messages that wait for one replica. Later ones are dropped, which the log allows.
const MAX_WAITING: usize = 1_024;

/// Most messages in one call.
const MAX_BATCH: usize = 64;

/// Most senders that are kept besides the replica set.
const MAX_HEARD: usize = 16;

/// Time limit of one call.
///
/// Shorter than a heartbeat interval, so that a silent connection is replaced
/// before the leader's lease ends.
const LIMIT: Span = Span::from_millis(350);

/// Sends messages to the other replicas, in order for each of them.
#[derive(Debug)]
pub struct Peers {
    pool: Arc<Pool>,
    own: Member,
    /// Senders of messages that may not be in this replica's own replica set yet.
    heard: VecDeque<Member>,
    /// Queues in order of the receivers' identities.
    queues: Vec<(Member, mpsc::Sender<Message>)>,
    /// The replica whose call is being answered, and the messages for it.
    answering: Option<(Identity, Vec<Message>)>,
    /// Takes the messages that other replicas return from a call.
    received: mpsc::Sender<Vec<Message>>,
}

impl Peers {
    /// Returns the sender of a replica that knows no other one.
    #[must_use]
    pub const fn new(pool: Arc<Pool>, own: Member, received: mpsc::Sender<Vec<Message>>) -> Self {
        Self {
            pool,
            own,
            heard: VecDeque::new(),
            queues: Vec::new(),
            answering: None,
            received,
        }
    }

    /// Takes the current replica set, sorted by identity.
    pub fn set(&mut self, members: &[Member]) {
        let heard = &self.heard;
        self.queues
            .retain(|(member, _)| members.contains(member) || heard.contains(member));
        for member in members {
            self.add(member);
        }
    }

    /// Takes the sender of a message.
    pub fn hear(&mut self, member: Member) {
        if self.find(member.id).is_ok() {
            return;
        }
        if self.heard.len() >= MAX_HEARD {
            self.heard.pop_front();
        }
        self.add(&member);
        self.heard.push_back(member);
    }

    fn add(&mut self, member: &Member) {
        if let Err(at) = self.find(member.id) {
            let (sender, receiver) = mpsc::channel(MAX_WAITING);
            let route = Route {
                pool: Arc::clone(&self.pool),
                own: self.own.clone(),
                received: self.received.clone(),
                address: member.address.clone(),
            };
            tokio::spawn(route.deliver(receiver));
            self.queues.insert(at, (member.clone(), sender));
        }
    }

    fn find(&self, id: Identity) -> Result<usize, usize> {
        self.queues.binary_search_by_key(&id, |(m, _)| m.id)
    }

    /// Keeps messages for a replica until [`Peers::collected`], to answer its call with them.
    pub fn collect_for(&mut self, id: Identity) {
        self.answering = Some((id, Vec::new()));
    }

    /// Returns the kept messages.
    pub fn collected(&mut self) -> Vec<Message> {
        self.answering
            .take()
            .map_or_else(Vec::new, |(_, kept)| kept)
    }

    /// Sends a message; loses it if the receiver is unknown or its queue is full.
    pub fn send(&mut self, message: Message) {
        if let Some((id, kept)) = &mut self.answering
            && *id == message.to
        {
            return kept.push(message);
        }
        if let Ok(at) = self.find(message.to) {
            // A full queue means that the receiver is slow; the log repeats what matters.
            let _full = self.queues[at].1.try_send(message);
        }
    }
}

/// The way to one replica.
struct Route {
    pool: Arc<Pool>,
    own: Member,
    received: mpsc::Sender<Vec<Message>>,
    address: String,
}

impl Route {
    async fn deliver(self, mut queue: mpsc::Receiver<Message>) {
        while let Some(first) = queue.recv().await {
            let mut messages = vec![first];
            while messages.len() < MAX_BATCH
                && let Ok(message) = queue.try_recv()
            {
                messages.push(message);
            }
            // Only appends and parts of a snapshot go to a replica that has just joined.
            let joining = messages.iter().any(|m| match m.body {
                Body::Append { prev_index, .. } => prev_index == 0,
                Body::Chunk { .. } => true,
                _ => false,
            });
            let params = rpc::Messages {
                from: self.own.id,
                sender: joining.then(|| self.own.clone()),
                messages,
            };
            let answer: Result<Vec<Message>, _> = self
                .pool
                .call(&self.address, rpc::REPLICA_MESSAGE, &params, LIMIT)
                .await;
            match answer {
                Ok(messages) if messages.is_empty() => {}
                // The replica has stopped when nobody takes them.
                Ok(messages) => drop(self.received.send(messages).await),
                Err(failure) => {
                    log::debug!("messages to {} were lost: {}", self.address, failure.error);
                }
            }
        }
    }
}
