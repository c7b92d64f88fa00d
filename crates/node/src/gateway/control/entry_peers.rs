//! Entry instances that take requests from others, as a control instance knows them.

use std::{net::SocketAddr, sync::Arc};

use masticlock_core::{
    digest,
    placement::sample_peers,
    report::Peer,
    time::{Span, Time},
};

/// Time after which the report of an entry instance or of a control instance no longer counts.
const PEER_TTL: Span = Span::from_secs(1);

/// Time for which a request for peers counts.
const NEED_TTL: Span = Span::from_secs(1);

/// Maximum number of peers that are sent to an entry instance at once.
const MAX_PEERS: usize = 16;

/// Maximum number of peers that are sent to a control instance at once.
const MAX_DIRECT_PEERS: usize = 48;

/// A peer that reports to this control instance.
#[derive(Clone, Debug)]
struct Direct {
    peer: Peer,
    at: Time,
}

/// The peers that report here and those that other control instances know.
#[derive(Clone, Debug, Default)]
pub struct EntryPeers {
    /// Sorted by address.
    direct: Vec<Direct>,
    /// By control instance.
    remote: Vec<(SocketAddr, Vec<Peer>, Time)>,
    needed_at: Option<Time>,
}

impl EntryPeers {
    /// Records what an entry instance reports.
    pub fn report(&mut self, peer: Peer, now: Time) {
        let found = self
            .direct
            .binary_search_by(|d| d.peer.address.cmp(&peer.address));
        let direct = Direct { peer, at: now };
        match found {
            Ok(at) => self.direct[at] = direct,
            Err(at) => self.direct.insert(at, direct),
        }
        self.direct.retain(|d| now.since(d.at) < PEER_TTL.times(8));
    }

    /// Records the peers that another control instance knows.
    pub fn receive(&mut self, address: SocketAddr, peers: Vec<Peer>, now: Time) {
        self.remote
            .retain(|(a, _, at)| *a != address && now.since(*at) < PEER_TTL);
        if !peers.is_empty() {
            self.remote.push((address, peers, now));
        }
    }

    /// Returns whether an entry instance has asked for peers a short time ago.
    pub fn are_needed(&self, now: Time) -> bool {
        self.needed_at.is_some_and(|at| now.since(at) < NEED_TTL)
    }

    /// Returns peers that report here and have room, for another control instance.
    pub fn direct(&self, now: Time) -> Vec<Peer> {
        let present = self
            .direct
            .iter()
            .filter(|d| now.since(d.at) < PEER_TTL && d.peer.room > 0);
        let present = present.map(|d| d.peer.clone()).collect();
        sample_peers(present, MAX_DIRECT_PEERS, now.as_millis())
    }

    /// Returns the peers for an entry instance, which asks for them.
    pub fn all(&mut self, except: &Arc<str>, now: Time) -> Vec<Peer> {
        self.needed_at = Some(now);
        let mut all = self.direct(now);
        for (_, peers, at) in &self.remote {
            if now.since(*at) < PEER_TTL {
                all.extend_from_slice(peers);
            }
        }
        all.retain(|p| p.address != *except);
        all.sort_by(|a, b| a.address.cmp(&b.address));
        all.dedup_by(|a, b| a.address == b.address);
        let draw = digest::of(except.as_bytes()) ^ now.as_millis();
        sample_peers(all, MAX_PEERS, draw)
    }
}
