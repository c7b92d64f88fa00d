//! Slots of the modelled engines and the lagging reports on them.

use masticlock_core::{
    name,
    policy::{Availability, Capacity},
};

use super::world::World;

/// Slots that stand for a deployment without a limit.
const UNLIMITED: u32 = 1_000_000;

/// Engines of a model in one failure domain.
#[derive(Clone, Copy, Debug)]
struct Pool {
    slots: u32,
    busy: u32,
}

/// All engines. Versions of a model share them.
#[derive(Clone, Debug)]
pub struct Pools {
    domains: usize,
    models: Vec<name::Model>,
    /// By model and failure domain.
    list: Vec<Pool>,
    /// Failure domain that is gone.
    gone: Option<usize>,
}

impl Pools {
    /// Returns the engines of a deployment.
    pub fn new(world: &World, unlimited: bool) -> Self {
        let mut models: Vec<_> = (world.config.inventory.versions.iter())
            .map(|v| v.model.clone())
            .collect();
        models.sort();
        models.dedup();
        let domains = world.config.inventory.domains.len();
        let pools = models.iter().flat_map(|model| {
            let slots = if unlimited {
                UNLIMITED
            } else {
                World::slots(model)
            };
            vec![Pool { slots, busy: 0 }; domains]
        });
        Self {
            domains,
            list: pools.collect(),
            models,
            gone: None,
        }
    }

    /// Returns the index of a model.
    pub fn model(&self, model: &name::Model) -> usize {
        self.models.binary_search(model).expect("a known model")
    }

    /// Returns the slots of a model in all failure domains.
    pub fn slots(&self, model: usize) -> u32 {
        (0..self.domains)
            .map(|d| self.list[model * self.domains + d].slots)
            .sum()
    }

    /// Takes a failure domain out of service, or returns all of them to it.
    pub fn set_gone(&mut self, domain: Option<usize>) {
        self.gone = domain;
    }

    /// Returns the failure domain that is gone.
    pub const fn gone(&self) -> Option<usize> {
        self.gone
    }

    fn free(&self, model: usize, domain: usize) -> u32 {
        if self.gone == Some(domain) {
            return 0;
        }
        let pool = self.list[model * self.domains + domain];
        pool.slots.saturating_sub(pool.busy)
    }

    /// Takes a slot, near if possible; returns its failure domain and how busy the engines are.
    pub fn take(&mut self, model: usize, near: usize, spill: bool) -> Option<(usize, f64)> {
        let mut places: Vec<_> = (0..self.domains).collect();
        places.sort_by_key(|d| (*d != near, std::cmp::Reverse(self.free(model, *d))));
        let domain = places
            .into_iter()
            .find(|d| (*d == near || spill) && self.free(model, *d) > 0)?;
        let pool = &mut self.list[model * self.domains + domain];
        pool.busy += 1;
        Some((domain, f64::from(pool.busy) / f64::from(pool.slots)))
    }

    /// Returns a slot.
    pub fn release(&mut self, model: usize, domain: usize) {
        self.list[model * self.domains + domain].busy -= 1;
    }
}

/// What an instance of a failure domain last heard about the engines.
pub struct Report<'a> {
    /// The reported state.
    pub pools: &'a Pools,
    /// The world, for the versions' models.
    pub world: &'a World,
    /// The failure domain of the instance.
    pub near: usize,
}

impl Availability for Report<'_> {
    fn capacity(&self, version: &name::Version) -> Capacity {
        let versions = &self.world.config.inventory.versions;
        let model = self
            .pools
            .model(&versions[self.world.version(version)].model);
        let domains = 0..self.pools.domains;
        let far = domains.clone().filter(|d| *d != self.near);
        let served = domains.filter(|d| Some(*d) != self.pools.gone);
        Capacity {
            local_free: self.pools.free(model, self.near),
            remote_free: far.map(|d| self.pools.free(model, d)).sum(),
            total: served
                .map(|d| self.pools.list[model * self.pools.domains + d].slots)
                .sum(),
        }
    }
}
