//! Why recent requests got their plans.

use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard, PoisonError},
};

use masticlock_core::{name, policy::ConsideredPlan, request::ModelRequest, time::Time};

use crate::rpc::Explanation;

/// Requests whose explanation is kept.
const CAPACITY: usize = 1_024;

/// Explanations of the latest requests of this instance.
#[derive(Debug, Default)]
pub struct Explanations {
    latest: Mutex<VecDeque<(name::Request, Explanation)>>,
}

impl Explanations {
    fn lock(&self) -> MutexGuard<'_, VecDeque<(name::Request, Explanation)>> {
        self.latest.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Keeps what was considered for a request.
    pub fn keep(&self, ask: &ModelRequest, considered: Vec<ConsideredPlan>, now: Time) {
        let explanation = Explanation {
            task: ask.task.clone(),
            quality: ask.quality,
            deadline_ms: ask.deadline.since(now).as_millis(),
            considered,
        };
        let mut latest = self.lock();
        if latest.len() == CAPACITY {
            latest.pop_front();
        }
        latest.push_back((ask.id.clone(), explanation));
    }

    /// Returns the latest explanation of a request.
    #[must_use]
    pub fn get(&self, request: &name::Request) -> Option<Explanation> {
        let latest = self.lock();
        let found = latest.iter().rev().find(|(id, _)| id == request);
        found.map(|(_, explanation)| explanation.clone())
    }
}
