//! What other upstreams say about one that does not answer: new processes in its place, and upstreams
//! to which connections are opened only to find out what is reachable.

use super::{Pool, Target, Upstream};
use crate::{digest, suspect::Process, time::Time};

impl Target {
    /// Returns the process.
    #[must_use]
    pub fn process(&self) -> Process {
        Process {
            upstream: self.upstream.clone(),
            incarnation: self.incarnation,
            address: self.address.clone(),
        }
    }
}

impl Pool {
    /// Returns whether a later process is listed under the name or at the address of one that has not
    /// announced its end.
    #[must_use]
    pub fn is_replaced(&self, process: &Process) -> bool {
        let is_later = |u: &Upstream| {
            let listed = &u.entry.announcement;
            let is_there =
                listed.upstream == process.upstream || *listed.address == *process.address;
            is_there && listed.incarnation > process.incarnation
        };
        !self.is_leaving(&process.upstream, process.incarnation)
            && self.upstreams.iter().any(is_later)
    }

    /// Returns whether the last connection to the upstream has failed, or the instance has no way to any,
    /// so that its silence does not tell whether its process has ended.
    #[must_use]
    pub fn is_unreachable(&self, target: &Target) -> bool {
        let listed = self.find(&target.upstream);
        self.is_cut_off || listed.is_some_and(|at| self.upstreams[at].down.is_some())
    }

    /// Returns up to `count` other upstreams that are expected to accept connections, those of other
    /// failure domains first.
    #[must_use]
    pub fn witnesses(&self, target: &Target, count: usize, now: Time) -> Vec<Target> {
        let mut others = self.others(target, now);
        // The sort is stable, so the order within each of the two groups stays drawn.
        others.sort_by_key(|other| other.domain == target.domain);
        others.truncate(count);
        others
    }

    /// Returns up to `count` other upstreams of the same failure domain that are expected to accept
    /// connections.
    #[must_use]
    pub fn neighbours(&self, target: &Target, count: usize, now: Time) -> Vec<Target> {
        let mut others = self.others(target, now);
        others.retain(|other| other.domain == target.domain);
        others.truncate(count);
        others
    }

    /// Returns the other upstreams that are expected to accept connections, in an order that is drawn.
    fn others(&self, target: &Target, now: Time) -> Vec<Target> {
        let is_other = |u: &&Upstream| {
            u.is_ready()
                && u.down.is_none_or(|d| now >= d.until)
                && u.entry.announcement.upstream != target.upstream
        };
        let mut others: Vec<_> = self.upstreams.iter().filter(is_other).collect();
        let draw = |u: &&Upstream| {
            let id = digest::of(u.entry.announcement.upstream.as_bytes());
            digest::mix(id ^ now.as_millis())
        };
        others.sort_by_cached_key(draw);
        others.iter().map(|u| u.target()).collect()
    }

    /// Returns the number of failure domains with upstreams that accept requests by their
    /// announcements.
    #[must_use]
    pub fn upstream_domains(&self) -> usize {
        let ready = self.upstreams.iter().filter(|u| u.is_ready());
        let mut domains: Vec<_> = ready.map(|u| &u.entry.announcement.domain).collect();
        domains.sort_unstable();
        domains.dedup();
        domains.len()
    }

    /// Returns up to `count` upstreams for trial connections: first one of each failure domain, and
    /// first those whose last connection has not failed. Upstreams that have crashed at once say
    /// nothing about the way to the others.
    #[must_use]
    pub fn trial_targets(&self, count: usize, now: Time) -> Vec<Target> {
        let ready = self.upstreams.iter().filter(|u| u.is_ready());
        let mut ranked: Vec<_> = ready
            .map(|u| {
                let id = digest::of(u.entry.announcement.upstream.as_bytes());
                let draw = digest::mix(id ^ now.as_millis() ^ self.instance);
                ((u.down.is_some(), draw), u)
            })
            .collect();
        ranked.sort_unstable_by_key(|(rank, _)| *rank);
        let mut targets: Vec<Target> = Vec::new();
        for is_repeated in [false, true] {
            for (_, upstream) in &ranked {
                let target = upstream.target();
                let is_known = targets.iter().any(|t| t.domain == target.domain);
                if targets.len() < count && is_known == is_repeated && !targets.contains(&target) {
                    targets.push(target);
                }
            }
        }
        targets
    }
}
