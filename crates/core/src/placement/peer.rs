//! Peers: entry instances that send requests to upstreams for an instance without a way to them.

use std::sync::Arc;

use super::{Choice, Criteria, Pool, Target};
use crate::{
    digest,
    replicated::State,
    report::Peer,
    time::{Span, Time},
};

/// Time after the last list of peers for which it is used.
const LIST_TTL: Span = Span::from_secs(2);

/// Time for which a peer that could not be reached, or took no request, is not used.
const PEER_BACKOFF: Span = Span::from_millis(500);

/// Returns the key of a peer in a weighted draw (Efraimidis and Spirakis, 2006): the peers with the
/// lowest keys are chosen with a probability in proportion to their room.
fn draw_key(address: &str, room: u32, draw: u64) -> f64 {
    let id = digest::of(address.as_bytes());
    #[expect(clippy::cast_precision_loss)]
    let uniform = ((digest::mix(id ^ draw) >> 12) as f64 + 0.5) / (1_u64 << 52) as f64;
    -uniform.ln() / f64::from(room)
}

/// Returns up to `count` of the peers, drawn with a probability in proportion to their room.
///
/// Different draws give different peers, so that not all instances use the same ones.
#[must_use]
pub fn sample_peers(peers: Vec<Peer>, count: usize, draw: u64) -> Vec<Peer> {
    let present = peers.into_iter().filter(|p| p.room > 0);
    let mut keyed: Vec<_> = present
        .map(|p| (draw_key(&p.address, p.room, draw), p))
        .collect();
    keyed.sort_by(|(a, _), (b, _)| a.total_cmp(b));
    keyed.truncate(count);
    keyed.into_iter().map(|(_, peer)| peer).collect()
}

/// A peer and the use of it.
#[derive(Clone, Debug)]
struct KnownPeer {
    peer: Peer,
    /// Requests of this instance that it handles.
    running: u32,
    avoided_until: Time,
}

/// The peers that an instance knows, sorted by address.
#[derive(Clone, Debug, Default)]
pub(super) struct Peers {
    known: Vec<KnownPeer>,
    listed_at: Time,
}

impl KnownPeer {
    fn target(&self) -> Target {
        Target {
            upstream: self.peer.address.clone(),
            address: self.peer.address.clone(),
            domain: self.peer.domain.clone(),
            version: Arc::default(),
            incarnation: 0,
            is_peer: true,
        }
    }
}

impl Pool {
    /// Sets whether this instance has lost its way to all upstreams. When it has it back, upstreams
    /// that could not be reached meanwhile are used again.
    pub fn set_cut_off(&mut self, is_cut_off: bool) {
        if self.is_cut_off && !is_cut_off {
            for upstream in &mut self.upstreams {
                upstream.down = None;
            }
            self.suspect_domains.clear();
        }
        self.is_cut_off = is_cut_off;
    }

    /// Returns whether this instance has lost its way to all upstreams.
    #[must_use]
    pub const fn is_cut_off(&self) -> bool {
        self.is_cut_off
    }

    /// Replaces the list of peers.
    pub fn set_peers(&mut self, peers: &[Peer], now: Time) {
        self.peers.listed_at = now;
        let old = std::mem::take(&mut self.peers.known);
        let known = |peer: &Peer| {
            let same = old.iter().find(|k| k.peer.address == peer.address);
            KnownPeer {
                peer: peer.clone(),
                running: same.map_or(0, |k| k.running),
                avoided_until: same.map_or(Time::ZERO, |k| k.avoided_until),
            }
        };
        self.peers.known = peers.iter().map(known).collect();
        self.peers
            .known
            .sort_by(|a, b| a.peer.address.cmp(&b.peer.address));
    }

    /// Returns whether a list of peers is at hand.
    #[must_use]
    pub fn has_peers(&self, now: Time) -> bool {
        now.since(self.peers.listed_at) < LIST_TTL && !self.peers.known.is_empty()
    }

    fn peer_mut(&mut self, address: &str) -> Option<&mut KnownPeer> {
        let known = &mut self.peers.known;
        known.iter_mut().find(|k| *k.peer.address == *address)
    }

    /// Records that a peer gets a request.
    pub fn begin_handover(&mut self, address: &str) {
        if let Some(known) = self.peer_mut(address) {
            known.running += 1;
        }
    }

    /// Records that a peer has handled a request.
    pub fn end_handover(&mut self, address: &str) {
        if let Some(known) = self.peer_mut(address) {
            known.running = known.running.saturating_sub(1);
        }
    }

    /// Records that a peer could not be reached or took no request.
    pub fn avoid_peer(&mut self, address: &str, now: Time) {
        if let Some(known) = self.peer_mut(address) {
            known.avoided_until = now + PEER_BACKOFF;
        }
    }

    /// Returns whether the list of peers is needed: this instance is cut off, or has no connection
    /// to any upstream of a service that others may reach.
    #[must_use]
    pub fn needs_peers(&self, now: Time) -> bool {
        let is_down = |u: &super::Upstream| u.down.is_some_and(|d| now < d.until);
        self.is_cut_off
            || self.upstreams.iter().any(|u| {
                let service = &u.entry.announcement.service;
                let mut same = self
                    .upstreams
                    .iter()
                    .filter(|o| o.is_ready() && o.entry.announcement.service == *service);
                u.is_ready() && is_down(u) && same.all(is_down)
            })
    }

    /// Returns whether upstreams would suit a request but for failed connections of this instance.
    pub(super) fn is_blocked(&self, criteria: &Criteria<'_>, state: &State, now: Time) -> bool {
        let criteria = Criteria {
            excluded: &[],
            ..criteria.clone()
        };
        let blocked = |u: &super::Upstream| {
            let mut reachable = u.clone();
            reachable.down = None;
            u.down.is_some() && self.is_suitable(&reachable, &criteria, state, now)
        };
        self.upstreams.iter().any(blocked)
    }

    /// Chooses a peer for a request, with a probability in proportion to its room.
    ///
    /// Many instances know the same room as it was at their last polls, so the one with the most
    /// would get the requests of all.
    pub(super) fn choose_peer(&self, criteria: &Criteria<'_>, now: Time) -> Choice {
        if now.since(self.peers.listed_at) >= LIST_TTL {
            return Choice::Unavailable;
        }
        let usable = self.peers.known.iter().filter(|k| {
            now >= k.avoided_until
                && k.running < k.peer.room
                && !criteria.excluded.contains(&k.peer.address)
        });
        let draw = digest::mix(now.as_millis() ^ digest::mix(self.instance));
        let draw = digest::mix(draw ^ u64::from(criteria.draw));
        let keyed = usable.map(|k| (draw_key(&k.peer.address, k.peer.room - k.running, draw), k));
        let chosen = keyed.min_by(|(a, _), (b, _)| a.total_cmp(b));
        chosen.map_or(Choice::Unavailable, |(_, k)| Choice::Upstream(k.target()))
    }
}
