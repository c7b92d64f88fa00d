//! Choice of an upstream among those that may run a request.
//!
//! The choice rests on hints only. Whether work may be sent is decided by the
//! slot that is acquired afterwards.

use crate::name;

/// What is known about an upstream that may run a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate<'a> {
    /// The upstream.
    pub upstream: &'a name::Upstream,
    /// Slots in use.
    pub used: u32,
    /// Slots in all, at its current cold or warm limit.
    pub limit: u32,
    /// Whether it is in another failure domain.
    pub remote: bool,
    /// Share of the prompt that its prefix cache is expected to hold, from 0 to 1.
    pub cached: f64,
}

/// Load that a fully cached prompt outweighs, as a share of an upstream's slots.
const CACHE_WEIGHT: f64 = 0.5;

impl Candidate<'_> {
    fn cost(&self) -> f64 {
        f64::from(self.used) / f64::from(self.limit.max(1)) - CACHE_WEIGHT * self.cached
    }
}

/// Returns the index of the best candidate with a free slot.
///
/// Near upstreams come before far ones, then low load and cached prefixes
/// count. Equal candidates are told apart by `salt`, so that instances with
/// the same view don't all choose the same upstream. Upstreams in the sorted
/// list `avoid` are taken only if no other is free.
#[must_use]
pub fn best(candidates: &[Candidate<'_>], avoid: &[name::Upstream], salt: u64) -> Option<usize> {
    let rank = |at: usize| {
        let candidate = &candidates[at];
        let avoided = avoid.binary_search(candidate.upstream).is_ok();
        (
            avoided,
            candidate.remote,
            candidate.cost(),
            spread(at, salt),
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

/// Mixes an index with a salt (finalizer of `SplitMix64`).
fn spread(at: usize, salt: u64) -> u64 {
    let mut z = salt ^ (at as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
