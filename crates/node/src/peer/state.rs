use masticlock_core::{
    config,
    directory::{self, Announcement, View},
    gossip::{Body, Envelope, Gossip, Key, Member, Message, Status},
    ledger::{PendingBills, Witness},
    limit::{Lender, Shares},
    name,
    slot::{AnnouncementResponse, Exclusions, Holder, Lease, Table},
    suspect::Tracker,
    time::{Span, Time},
};
use tokio::sync::oneshot;

use super::Settings;

/// Time after the start at which an instance serves although no peer has
/// answered. It then waits as after another owner.
const ALONE: Span = Span::from_secs(5);

/// The state that all tasks of the part share. Each use is a short decision.
pub struct State {
    me: name::Instance,
    started: Time,
    pub gossip: Gossip,
    pub view: View,
    pub table: Table,
    pub holder: Holder,
    pub bills: PendingBills,
    pub witness: Witness,
    pub tracker: Tracker,
    pub shares: Shares,
    /// Lenders of the client accounts that this instance lends, sorted.
    pub lenders: Vec<(name::Account, Lender)>,
    hash: u64,
    revision: Option<u64>,
    heard: Vec<(name::Upstream, Time)>,
    /// Senders whose drop tells that a slot is lost.
    watchers: Vec<(Lease, oneshot::Sender<()>)>,
}

impl State {
    pub fn new(settings: &Settings, address: &str, now: Time) -> Self {
        let member = Member {
            address: address.to_owned(),
            status: Status::Alive,
        };
        let me = settings.instance.clone();
        let gossip = Gossip::new(me.clone(), settings.boot, member, settings.seeds.clone());
        Self {
            view: View::from_store(gossip.store()),
            gossip,
            started: now,
            table: Table::new(me.clone(), settings.boot),
            holder: Holder::default(),
            bills: PendingBills::new(settings.replicas.clone()),
            witness: Witness::default(),
            tracker: Tracker::new(me.clone(), settings.boot),
            shares: Shares::default(),
            lenders: Vec::new(),
            hash: 0,
            revision: None,
            heard: Vec::new(),
            watchers: Vec::new(),
            me,
        }
    }

    /// Brings what depends on the merged records and the configuration up to
    /// date. Returns the members that are gone since the last call.
    pub fn refresh(&mut self, config: &config::Config) -> Vec<name::Instance> {
        let hash = self.gossip.store().hash();
        if hash == self.hash && self.revision == Some(config.revision) {
            return Vec::new();
        }
        let lifted: Vec<_> = config
            .lifted
            .iter()
            .cloned()
            .map(Key::Restriction)
            .collect();
        self.gossip.purge(&lifted);
        for record in self.gossip.store().records() {
            if let (Key::Evidence(id), Body::Evidence(evidence)) = (&record.key, &record.body) {
                self.tracker.merge(id, evidence);
            }
        }
        let mut view = View::from_store(self.gossip.store());
        merge(&mut view.exclusions, config);
        self.table.set_exclusions(view.exclusions.clone());
        let gone = self
            .view
            .members
            .iter()
            .filter(|m| !view.members.contains(m));
        let gone = gone.map(|member| member.name.clone()).collect();
        self.view = view;
        self.hash = self.gossip.store().hash();
        self.revision = Some(config.revision);
        gone
    }

    /// Returns whether this instance is the owner of an upstream.
    pub fn is_owner(&self, upstream: &name::Upstream) -> bool {
        self.view
            .owner(upstream)
            .is_some_and(|owner| owner.name == self.me)
    }

    /// Returns whether upstreams can be owned: before that, the owner of an
    /// upstream may be unknown here.
    pub fn is_ready(&self, now: Time) -> bool {
        self.gossip.is_synced() || now.since(self.started) >= ALONE
    }

    /// Records an announcement of an upstream that this instance owns.
    pub fn announced(
        &mut self,
        announcement: &Announcement,
        now: Time,
    ) -> Result<AnnouncementResponse, masticlock_core::error::Error> {
        let key = Key::Upstream(announcement.upstream.clone());
        let known = !self.gossip.is_synced() || self.gossip.store().get(&key).is_some();
        let answer = self.table.announced(announcement, known, now)?;
        match self
            .heard
            .binary_search_by(|(name, _)| name.cmp(&announcement.upstream))
        {
            Ok(at) => self.heard[at].1 = now,
            Err(at) => self.heard.insert(at, (announcement.upstream.clone(), now)),
        }
        let body = Body::Upstream(Announcement {
            token: None,
            ..announcement.clone()
        });
        self.gossip.put(key, announcement.incarnation, body, now);
        Ok(answer)
    }

    /// Removes owned upstreams that are silent.
    pub fn remove_silent(&mut self, now: Time) {
        let owned: Vec<_> = self
            .view
            .upstreams
            .iter()
            .filter(|upstream| self.is_owner(&upstream.upstream))
            .map(|upstream| (upstream.upstream.clone(), upstream.incarnation))
            .collect();
        // A new owner counts from when it became the owner.
        self.heard
            .retain(|(name, _)| owned.iter().any(|(own, _)| own == name));
        for (name, incarnation) in owned {
            match self.heard.binary_search_by(|(other, _)| other.cmp(&name)) {
                Ok(at) if now.since(self.heard[at].1) >= directory::ANNOUNCEMENT_TIMEOUT => {
                    self.heard.remove(at);
                    let key = Key::Upstream(name);
                    self.gossip.put(key, incarnation, Body::Removed, now);
                }
                Ok(_) => {}
                Err(at) => self.heard.insert(at, (name, now)),
            }
        }
    }

    /// Returns a push of one record to every other member.
    pub fn tell_all(&self, key: &Key) -> Vec<Envelope> {
        let record: Vec<_> = self.gossip.store().get(key).cloned().into_iter().collect();
        let others = self.view.members.iter().filter(|m| m.name != self.me);
        others
            .map(|member| Envelope {
                to: member.address.clone(),
                message: Message::Push(record.clone()),
            })
            .collect()
    }

    /// Returns the number of the present process of a member.
    pub fn boot_of(&self, name: &name::Instance) -> Option<u64> {
        let record = self.gossip.store().get(&Key::Member(name.clone()))?;
        match &record.body {
            Body::Member(member) if member.status != Status::Gone => Some(record.incarnation),
            _ => None,
        }
    }

    /// Returns the address of a member.
    pub fn address_of(&self, name: &name::Instance) -> Option<String> {
        let member = self.gossip.store().member(name)?;
        (member.status != Status::Gone).then(|| member.address.clone())
    }

    /// Returns a receiver that ends when the slot is lost or given back.
    pub fn watch(&mut self, lease: &Lease) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        if self.holder.held().iter().any(|held| held.lease == *lease) {
            self.watchers.push((lease.clone(), sender));
        }
        receiver
    }

    /// Wakes those who watch slots that are not held any more.
    pub fn drop_watchers(&mut self, lost: &[Lease]) {
        self.watchers.retain(|(lease, _)| !lost.contains(lease));
    }
}

/// Adds what the configuration closes.
fn merge(closed: &mut Exclusions, config: &config::Config) {
    for domain in &config.taken_out {
        config::insert_sorted(&mut closed.domains, domain.clone());
    }
    for upstream in &config.drained {
        config::insert_sorted(&mut closed.upstreams, upstream.clone());
    }
    let rolled_back = config
        .rollouts
        .iter()
        .filter(|r| r.progress == config::Progress::RolledBack)
        .map(|r| &r.version);
    for version in config.withdrawn.iter().chain(rolled_back) {
        config::insert_sorted(&mut closed.versions, version.clone());
    }
}
