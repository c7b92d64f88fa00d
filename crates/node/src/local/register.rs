use std::{
    collections::BTreeMap,
    sync::{Mutex, PoisonError},
};

use futures_util::future::BoxFuture;
use masticlock_core::{
    claim::{Begin, Decision, Key, Outcome},
    error, request,
};

use crate::port;

/// Keeps claims in memory.
#[derive(Debug, Default)]
pub struct Register {
    claims: Mutex<BTreeMap<Key, (request::Fingerprint, Decision)>>,
}

impl port::Claims for Register {
    fn begin(&self, ask: Begin) -> BoxFuture<'_, Result<Decision, error::Error>> {
        let mut claims = self.claims.lock().unwrap_or_else(PoisonError::into_inner);
        let verdict = match claims.get(&ask.key) {
            Some((fingerprint, _)) if *fingerprint != ask.fingerprint => Decision::Reused,
            Some((_, verdict)) => verdict.clone(),
            None => {
                claims.insert(ask.key, (ask.fingerprint, Decision::InProgress));
                Decision::Granted
            }
        };
        Box::pin(std::future::ready(Ok(verdict)))
    }

    fn finish(&self, key: Key, end: Outcome) -> BoxFuture<'_, Result<(), error::Error>> {
        let mut claims = self.claims.lock().unwrap_or_else(PoisonError::into_inner);
        match end {
            Outcome::NotSent => {
                claims.remove(&key);
            }
            Outcome::Answered(answer) => {
                if let Some(claim) = claims.get_mut(&key) {
                    claim.1 = Decision::Done(answer);
                }
            }
            Outcome::Unknown => {
                if let Some(claim) = claims.get_mut(&key) {
                    claim.1 = Decision::Unknown;
                }
            }
        }
        Box::pin(std::future::ready(Ok(())))
    }
}
