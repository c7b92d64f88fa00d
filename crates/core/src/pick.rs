//! Picks an upstream among those that may run a request.
//!
//! The inputs are hints that may be stale. Acquiring a slot afterwards decides whether the request
//! may be sent.

use crate::name;

/// An upstream that may run a request, with its last known load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate<'a> {
    /// The upstream.
    pub upstream: &'a name::Upstream,
    /// Slots in use.
    pub used: u32,
    /// Total slots under its current limit, which is lower during a cold start.
    pub limit: u32,
    /// Whether it is in another failure domain.
    pub remote: bool,
    /// Fraction of the prompt expected in its prefix cache, from 0 to 1.
    pub cached: f64,
}

/// Load that a fully cached prompt compensates, as a fraction of the upstream's slots.
const CACHE_WEIGHT: f64 = 0.5;

impl Candidate<'_> {
    fn cost(&self) -> f64 {
        f64::from(self.used) / f64::from(self.limit.max(1)) - CACHE_WEIGHT * self.cached
    }
}

/// Returns the index of the best candidate with a free slot.
///
/// Upstreams of the local failure domain come first, then those with low load and a cached prefix.
/// Ties are broken by `salt`, so instances with the same view don't all pick the same upstream.
/// Upstreams in the sorted list `avoid` are picked only if no other has a free slot.
#[must_use]
pub fn best(candidates: &[Candidate<'_>], avoid: &[name::Upstream], salt: u64) -> Option<usize> {
    let rank = |at: usize| {
        let candidate = &candidates[at];
        let avoided = avoid.binary_search(candidate.upstream).is_ok();
        (
            avoided,
            candidate.remote,
            candidate.cost(),
            tie_breaker(at, salt),
        )
    };
    (0..candidates.len())
        .filter(|&at| candidates[at].used < candidates[at].limit)
        .min_by(|&a, &b| {
            let (a, b) = (rank(a), rank(b));
            (a.0, a.1)
                .cmp(&(b.0, b.1))
                .then(a.2.total_cmp(&b.2))
                .then(a.3.cmp(&b.3))
        })
}

/// Hashes an index with a salt by the `SplitMix64` finalizer.
fn tie_breaker(at: usize, salt: u64) -> u64 {
    let mut z = salt ^ (at as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
