//! What the instances of the model exchange besides requests.

use masticlock_core::{
    directory::Announcement,
    gossip::{Body, CALL_TIMEOUT, Key, Message},
    limit::{Demand, Grant, Lender, Quota},
    slot::{self, AnnouncementResponse, Lease, Report},
    time::Time,
};
use rand::RngExt;

use super::world::{
    ACCOUNTS, CONCURRENCY, DOMAINS, Event, INSTANCES, LATENCY_MS, RATE, World, account, address,
    instance,
};

impl World {
    pub fn tick(&mut self, at: usize, boot: u64) {
        if !self.nodes[at].up || self.nodes[at].boot != boot {
            return;
        }
        self.at(20, Event::Tick(at, boot));
        let now = self.time();
        self.nodes[at].gossip.tick(now);
        self.refresh(at);
        for refusal in self.nodes[at].queue.remove_expired(now) {
            self.refused(at, refusal.id, &refusal.error);
        }
        let lapsed = self.nodes[at].holder.remove_expired(now);
        for lease in lapsed {
            self.release(at, lease, Report::Cancelled);
        }
        for lease in self.nodes[at].holder.due_renewals(now) {
            if let Some(owner) = self.owner(at, &lease.upstream) {
                let renew = Event::Renew {
                    owner,
                    holder: at,
                    lease,
                    sent: now,
                };
                self.at(LATENCY_MS, renew);
            }
        }
        self.borrow(at);
        self.pump(at);
    }

    pub fn borrow(&mut self, at: usize) {
        let now = self.time();
        let mut asks = Vec::new();
        for (name, share) in self.nodes[at].shares.iter_mut() {
            if let Some(ask) = share.next_demand(now) {
                asks.push((name.clone(), ask));
            }
        }
        for (name, ask) in asks {
            let members = self.nodes[at].view.members.iter().map(|m| &m.name);
            let lender = slot::rendezvous(name.as_str(), members).cloned();
            let lender = lender.and_then(|l| self.nodes.iter().position(|n| n.name == l));
            let number = (0..ACCOUNTS).find(|n| account(*n) == name);
            if let (Some(lender), Some(account)) = (lender, number) {
                let event = Event::Borrow {
                    lender,
                    borrower: at,
                    account,
                    ask,
                    sent: now,
                };
                self.at(LATENCY_MS, event);
            }
        }
    }

    pub fn amount(&self, at: usize) -> Quota {
        Quota::for_domain(RATE, CONCURRENCY, DOMAINS, self.nodes[at].domain)
    }

    pub fn base(&self, at: usize) -> Quota {
        self.amount(at).base(self.nodes[at].view.members.len())
    }

    pub fn lend(
        &mut self,
        lender: usize,
        borrower: usize,
        account: usize,
        ask: Demand,
        sent: Time,
    ) {
        let now = self.time();
        if !self.nodes[lender].up {
            return;
        }
        let lendable = self
            .amount(lender)
            .lendable(self.nodes[lender].view.members.len());
        let entry = self.nodes[lender].lenders[account].get_or_insert_with(|| Lender::new(now));
        let grant = entry.grant(&instance(borrower), ask, lendable, now);
        self.at(
            LATENCY_MS,
            Event::Lent {
                borrower,
                account,
                grant,
                sent,
            },
        );
    }

    pub fn announce(&mut self, at: usize, call: u64) {
        let upstream = &mut self.upstreams[at];
        if !upstream.up || upstream.call != call {
            return;
        }
        upstream.call += 1;
        let call = upstream.call;
        let announcement = Box::new(upstream.announcement());
        let doors: Vec<_> = (0..INSTANCES)
            .filter(|n| self.nodes[*n].up && self.nodes[*n].domain == self.upstreams[at].domain)
            .collect();
        if !doors.is_empty() {
            let door = doors[self.rng.random_range(0..doors.len())];
            if let Some(owner) = self.owner(door, &announcement.upstream) {
                self.at(
                    2 * LATENCY_MS,
                    Event::Announced(at, call, announcement, owner),
                );
            }
        }
        self.at(1_000, Event::Announce(at, call));
    }

    pub fn announced(&mut self, at: usize, call: u64, announcement: &Announcement, to: usize) {
        let now = self.time();
        let node = &mut self.nodes[to];
        if !node.up {
            return;
        }
        let key = Key::Upstream(announcement.upstream.clone());
        let known = !node.gossip.is_synced() || node.gossip.store().get(&key).is_some();
        if let Ok(answer) = node.table.announced(announcement, known, now) {
            let body = Body::Upstream(Announcement {
                token: None,
                ..announcement.clone()
            });
            node.gossip.put(key, announcement.incarnation, body, now);
            self.refresh(to);
            self.at(2 * LATENCY_MS, Event::Answered(at, call, answer));
        }
    }

    pub fn gossip(&mut self, from: usize, to: String, message: Message) {
        let now = self.time();
        let at = (0..INSTANCES).find(|at| address(*at) == to).unwrap_or(0);
        let (delay, answer) = if self.nodes[at].up {
            let answer = self.nodes[at].gossip.handle_message(message, now);
            self.refresh(at);
            (LATENCY_MS, Some(answer))
        } else {
            (CALL_TIMEOUT.as_millis(), None)
        };
        let at = from;
        self.at(delay, Event::GossipAnswer { at, to, answer });
    }

    pub fn answered(&mut self, at: usize, call: u64, answer: AnnouncementResponse) {
        let upstream = &mut self.upstreams[at];
        if upstream.up && upstream.call == call {
            upstream.token = Some(answer.token);
            upstream.call += 1;
            self.at(answer.interval.as_millis(), Event::Announce(at, call + 1));
        }
    }

    pub fn renew(&mut self, owner: usize, holder: usize, lease: Lease, sent: Time) {
        let now = self.time();
        if self.nodes[owner].up {
            let renewal = self.nodes[owner]
                .table
                .renew(&lease.upstream, lease.id, now);
            let renewed = Event::Renewed {
                holder,
                lease,
                renewal,
                sent,
            };
            self.at(LATENCY_MS, renewed);
        }
    }

    pub fn lent(&mut self, borrower: usize, number: usize, grant: &Grant, sent: Time) {
        let now = self.time();
        let base = self.base(borrower);
        let shares = &mut self.nodes[borrower].shares;
        shares
            .get(&account(number), base, now)
            .apply_grant(grant, sent, now);
    }
}
