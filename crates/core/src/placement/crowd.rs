//! Placement on few slots that many instances share.
//!
//! An instance knows the loads of the others as they were up to 300 ms ago. If the instances
//! outnumber the slots of a plain service's upstreams, all of them find the same upstream least
//! loaded and send it more requests than it has slots, until the next loads say so. Each instance
//! therefore draws an upstream with a probability in proportion to its expected room, by its mean
//! load.
//!
//! The load pattern: 66 instances send 214 requests a second, and 1.7 times as many in a burst, to
//! four upstreams with six slots each, of which half are gone for some time. A request takes 30 ms,
//! so an upstream ends several requests a slot before its load is known elsewhere.

use std::sync::Arc;

use super::{Criteria, OUTCOME_DECAY, Pool, REMOTE_PENALTY, SPILLOVER_UTILIZATION, Upstream};
use crate::{
    digest,
    time::{Span, Time},
};

/// Usual age of the loads of other instances: the intervals of a report, a summary and a poll.
const LOAD_AGE: Span = Span::from_millis(200);

/// Time constant of the mean load of an upstream. A mean over several times [`LOAD_AGE`] does not
/// follow the swings that the delay of the loads would cause.
const MEAN_TIME: Span = Span::from_secs(1);

/// Queue that counts as room, in requests per slot. A request that joins it waits for one service
/// time.
const QUEUE: f64 = 1.0;

/// Room, in requests, of an upstream that is full by its mean load. It may have room by now, and
/// without it the other upstreams would get all requests.
const MIN_ROOM: f64 = 0.5;

/// Means of the load of an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Mean {
    /// Running requests of the other instances.
    others: f64,
    /// Slots in use, over the time over which outcomes are counted.
    busy: f64,
    updated_at: Option<Time>,
}

impl Mean {
    /// Records the running requests of the other instances and the slots in use.
    pub(super) fn update(&mut self, others: u32, busy: u32, now: Time) {
        let elapsed = self.updated_at.map(|at| now.since(at));
        let weight = |time: Span| elapsed.map_or(1.0, |e| 1.0 - (-ratio(e, time)).exp());
        self.others += weight(MEAN_TIME) * (f64::from(others) - self.others);
        self.busy += weight(OUTCOME_DECAY) * (f64::from(busy) - self.busy);
        self.updated_at = Some(now);
    }
}

/// The state of a service whose slots are fewer than the instances that share them.
#[derive(Clone, Copy, Debug)]
pub(super) struct Crowd {
    /// Whether a slot ends a request or more before the load of its upstream is known elsewhere, so
    /// that only the upstream itself knows whether it is full.
    pub(super) is_fast: bool,
}

impl Pool {
    /// Returns the state of the service of a request if the instances outnumber the slots of the
    /// candidates.
    pub(super) fn crowd(&self, criteria: &Criteria<'_>, candidates: &[&Upstream]) -> Option<Crowd> {
        let slots = candidates.iter().map(|u| u.entry.announcement.slots.max(1));
        let slots = slots.fold(0, u32::saturating_add);
        let slots = usize::try_from(slots).unwrap_or(usize::MAX);
        let is_plain = criteria.affinity.is_none() && criteria.memory_tokens == 0;
        (is_plain && self.instances() > slots).then(|| Crowd {
            is_fast: turnover(candidates) >= 1.0,
        })
    }

    /// Returns the services whose slots are fewer than the instances, sorted.
    #[must_use]
    pub fn crowded_services(&self) -> Vec<Arc<str>> {
        let announcements = self.upstreams.iter().map(|u| &u.entry.announcement);
        let mut slots: Vec<_> = announcements
            .map(|a| (&a.service, a.slots.max(1)))
            .collect();
        slots.sort_unstable();
        let of_services = slots.chunk_by(|a, b| a.0 == b.0);
        let crowded = of_services.filter(|s| {
            let sum: u32 = s.iter().map(|(_, slots)| slots).sum();
            usize::try_from(sum).is_ok_and(|sum| self.instances() > sum)
        });
        crowded.map(|s| s[0].0.clone()).collect()
    }

    /// Records that an upstream has rejected a request of this instance.
    pub fn turned_away(&mut self, upstream: &str, now: Time) {
        if let Some(at) = self.find(upstream) {
            self.upstreams[at].turned_away_at = Some(now);
        }
    }

    /// Draws one of the candidates in proportion to their expected room.
    ///
    /// The draw follows from the number of the request, the instance and the time, by rendezvous hashing
    /// with weights, so that equal requests are spread too. Upstreams that have just rejected a request of this instance are left out while there
    /// are others.
    pub(super) fn draw<'a>(
        &self,
        candidates: &[&'a Upstream],
        draw: u16,
        now: Time,
    ) -> Option<&'a Upstream> {
        let salt = digest::mix(digest::mix(u64::from(draw) ^ self.instance) ^ now.as_millis());
        let away = self.away_weight(candidates);
        let rank = |u: &Upstream| {
            let weight = if u.is_local(&self.domain) {
                u.expected_room().max(MIN_ROOM) / u.pace
            } else {
                (u.expected_room() - REMOTE_PENALTY).max(MIN_ROOM) * away / u.pace
            };
            exponential(u.entry.announcement.upstream.as_bytes(), salt) / weight
        };
        let is_last_resort =
            |u: &Upstream| u.turned_away_at.is_some_and(|at| now.since(at) < LOAD_AGE);
        let order = |a: &&&Upstream, b: &&&Upstream| {
            let by_rank = rank(a).total_cmp(&rank(b));
            is_last_resort(a).cmp(&is_last_resort(b)).then(by_rank)
        };
        candidates.iter().min_by(order).copied()
    }

    /// Returns the factor on the weights of upstreams in other failure domains, from 0 to 1. The less
    /// the local slots are used, the less a request would gain elsewhere.
    fn away_weight(&self, candidates: &[&Upstream]) -> f64 {
        let local = candidates.iter().filter(|u| u.is_local(&self.domain));
        let (slots, load) = local.fold((0.0, 0.0), |(slots, load), u| {
            (slots + u.slots(), load + u.expected_load())
        });
        if slots > 0.0 {
            (load / slots / SPILLOVER_UTILIZATION).min(1.0)
        } else {
            1.0
        }
    }
}

impl Upstream {
    fn slots(&self) -> f64 {
        f64::from(self.entry.announcement.slots.max(1))
    }

    /// Returns the running requests of this instance and the mean of those of the others.
    fn expected_load(&self) -> f64 {
        f64::from(self.running) + self.mean.others
    }

    fn expected_room(&self) -> f64 {
        self.slots() * (1.0 + QUEUE) - self.expected_load()
    }
}

/// Returns how many requests each busy slot of the candidates ends within [`LOAD_AGE`].
fn turnover(candidates: &[&Upstream]) -> f64 {
    let (mut ended, mut busy) = (0.0, 0.0);
    for upstream in candidates {
        ended += upstream.ok.round() + f64::from(upstream.others.ok);
        busy += upstream.mean.busy;
    }
    if busy > 0.0 {
        ended * ratio(LOAD_AGE, OUTCOME_DECAY) / busy
    } else {
        0.0
    }
}

/// Returns a number with exponential distribution that follows from an identity and a salt.
///
/// Over weights, the least of several is each one's with a probability in proportion to its weight
/// (Efraimidis and Spirakis, 2006).
fn exponential(id: &[u8], salt: u64) -> f64 {
    let bits = digest::mix(digest::of(id) ^ salt) >> 11;
    #[expect(clippy::cast_precision_loss)]
    let uniform = (bits as f64 + 0.5) / (1_u64 << 53) as f64;
    -uniform.ln()
}

#[expect(clippy::cast_precision_loss)]
fn ratio(time: Span, unit: Span) -> f64 {
    time.as_millis() as f64 / unit.as_millis() as f64
}
