//! Use of the paces of upstreams. An upstream that takes longer counts as more loaded by as much, so
//! it gets its share and is not dropped.

use super::{Pool, Upstream};
use crate::{
    pace::{LIFETIME, Sample},
    time::Time,
};

impl Pool {
    /// Updates the paces from those of the upstreams that differ, sorted by upstream.
    ///
    /// A pace is relative to the median over the service's upstreams.
    pub fn update_paces(&mut self, samples: &[Sample], now: Time) {
        self.paces_at = now;
        for upstream in &mut self.upstreams {
            let announcement = &upstream.entry.announcement;
            let found = samples.binary_search_by(|s| s.upstream.cmp(&announcement.upstream));
            let sample = found.ok().map(|at| &samples[at]);
            let sample = sample.filter(|s| s.incarnation == announcement.incarnation);
            upstream.pace = sample.map_or(1.0, Sample::factor);
        }
        let mut paces: Vec<_> = self.upstreams.iter().map(of_service).collect();
        paces.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let services = paces.chunk_by(|a, b| a.0 == b.0);
        let medians: Vec<_> = services.map(|s| s[s.len() / 2].clone()).collect();
        for upstream in &mut self.upstreams {
            let service = &upstream.entry.announcement.service;
            if let Ok(at) = medians.binary_search_by(|(s, _)| s.cmp(service)) {
                upstream.pace /= medians[at].1;
            }
        }
    }

    /// Forgets the paces if there have been no newer ones for their lifetime.
    pub(super) fn expire_paces(&mut self, now: Time) {
        if now.since(self.paces_at) >= LIFETIME {
            for upstream in &mut self.upstreams {
                upstream.pace = 1.0;
            }
        }
    }

    /// Returns the time that an upstream takes as a multiple of the usual time of its service.
    #[must_use]
    pub fn pace(&self, upstream: &str) -> f64 {
        self.find(upstream)
            .map_or(1.0, |at| self.upstreams[at].pace)
    }

    /// Returns the smallest and the largest pace.
    #[must_use]
    pub fn pace_range(&self) -> (f64, f64) {
        let paces = self.upstreams.iter().map(|u| u.pace);
        paces.fold((1.0, 1.0), |(low, high): (f64, f64), pace| {
            (low.min(pace), high.max(pace))
        })
    }
}

fn of_service(upstream: &Upstream) -> (std::sync::Arc<str>, f64) {
    let service = &upstream.entry.announcement.service;
    (service.clone(), upstream.pace)
}
