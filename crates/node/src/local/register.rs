use std::{
    collections::BTreeMap,
    sync::{Mutex, PoisonError},
};

use futures_util::future::BoxFuture;
use masticlock_core::{
    claim::{Ask, End, Key, Verdict},
    error, request,
};

use crate::port;

/// Keeps claims in memory.
#[derive(Debug, Default)]
pub struct Register {
    claims: Mutex<BTreeMap<Key, (request::Fingerprint, Verdict)>>,
}

impl port::Claims for Register {
    fn begin(&self, ask: Ask) -> BoxFuture<'_, Result<Verdict, error::Error>> {
        let mut claims = self.claims.lock().unwrap_or_else(PoisonError::into_inner);
        let verdict = match claims.get(&ask.key) {
            Some((fingerprint, _)) if *fingerprint != ask.fingerprint => Verdict::Reused,
            Some((_, verdict)) => verdict.clone(),
            None => {
                claims.insert(ask.key, (ask.fingerprint, Verdict::InProgress));
                Verdict::Granted
            }
        };
        Box::pin(std::future::ready(Ok(verdict)))
    }

    fn finish(&self, key: Key, end: End) -> BoxFuture<'_, Result<(), error::Error>> {
        let mut claims = self.claims.lock().unwrap_or_else(PoisonError::into_inner);
        match end {
            End::NotSent => {
                claims.remove(&key);
            }
            End::Answered(answer) => {
                if let Some(claim) = claims.get_mut(&key) {
                    claim.1 = Verdict::Done(answer);
                }
            }
            End::Unknown => {
                if let Some(claim) = claims.get_mut(&key) {
                    claim.1 = Verdict::Unknown;
                }
            }
        }
        Box::pin(std::future::ready(Ok(())))
    }
}
