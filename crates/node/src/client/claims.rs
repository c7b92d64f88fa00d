use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use futures_util::future::BoxFuture;
use masticlock_core::{claim, config, error, name, time::Span};

use super::{ATTEMPT, Control};
use crate::{port, rpc};

/// How long an end of a claim is resent before the caller is told.
const FINISH_LIMIT: Span = Span::from_secs(10);

/// How long a claim waits for a leader. Covers an election.
const BEGIN_LIMIT: Span = Span::from_secs(4);

/// Claims at the control replicas.
///
/// An instance has at most one claim with the same key open, so that the
/// late end of one holder can't free the claim of the next.
#[derive(Clone, Debug)]
pub struct Claims {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    control: Arc<Control>,
    open: Mutex<Vec<(claim::Key, name::Request)>>,
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, Vec<(claim::Key, name::Request)>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn reserve(&self, ask: &claim::Begin) -> bool {
        let mut open = self.lock();
        match open.binary_search_by(|o| o.0.cmp(&ask.key)) {
            Ok(_) => false,
            Err(at) => {
                open.insert(at, (ask.key.clone(), ask.holder.clone()));
                true
            }
        }
    }

    fn remove(&self, key: &claim::Key) {
        config::remove_sorted_by(&mut self.lock(), |o| o.0.cmp(key));
    }

    fn holder(&self, key: &claim::Key) -> Option<name::Request> {
        let open = self.lock();
        let at = open.binary_search_by(|o| o.0.cmp(key)).ok()?;
        Some(open[at].1.clone())
    }

    async fn finish(&self, finish: claim::Finish) -> Result<(), error::Error> {
        let control = &self.control;
        let () = control
            .call(rpc::CLAIM_FINISH, &finish, ATTEMPT, FINISH_LIMIT)
            .await?;
        self.remove(&finish.key);
        Ok(())
    }
}

/// A claim that was asked for and whose answer has not reached the caller.
///
/// When it is dropped, a grant that may be on its way is freed, because no
/// byte will be sent under it.
struct Attempt {
    inner: Arc<Inner>,
    ask: claim::Begin,
    settled: bool,
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if self.settled {
            return;
        }
        let inner = Arc::clone(&self.inner);
        let finish = claim::Finish {
            key: self.ask.key.clone(),
            holder: self.ask.holder.clone(),
            end: claim::Outcome::NotSent,
        };
        tokio::spawn(async move {
            let key = finish.key.clone();
            if let Err(error) = inner.finish(finish).await {
                // The claim stays in progress until this instance restarts.
                log::warn!("an unused claim of {} was not freed: {error}", key.account);
                inner.remove(&key);
            }
        });
    }
}

impl Claims {
    /// Returns claims through a client of the control replicas.
    #[must_use]
    pub fn new(control: Arc<Control>) -> Self {
        let open = Mutex::new(Vec::new());
        Self {
            inner: Arc::new(Inner { control, open }),
        }
    }

    async fn claim(&self, ask: claim::Begin) -> Result<claim::Decision, error::Error> {
        if !self.inner.reserve(&ask) {
            return Ok(claim::Decision::InProgress);
        }
        let mut attempt = Attempt {
            inner: Arc::clone(&self.inner),
            ask,
            settled: false,
        };
        let control = &self.inner.control;
        let verdict = control
            .call(rpc::CLAIM_BEGIN, &attempt.ask, ATTEMPT, BEGIN_LIMIT)
            .await
            .map_err(|e| error::Error::new(error::Kind::ClaimUnavailable, e.message))?;
        attempt.settled = true;
        if verdict != claim::Decision::Granted {
            self.inner.remove(&attempt.ask.key);
        }
        Ok(verdict)
    }

    async fn end(&self, key: claim::Key, end: claim::Outcome) -> Result<(), error::Error> {
        let holder = self.inner.holder(&key).ok_or_else(|| {
            error::Error::new(
                error::Kind::NotFound,
                "this instance has no open claim with that key",
            )
        })?;
        let finish = claim::Finish { key, holder, end };
        self.inner.finish(finish).await
    }
}

impl port::Claims for Claims {
    fn begin(&self, ask: claim::Begin) -> BoxFuture<'_, Result<claim::Decision, error::Error>> {
        Box::pin(self.claim(ask))
    }

    fn finish(
        &self,
        key: claim::Key,
        end: claim::Outcome,
    ) -> BoxFuture<'_, Result<(), error::Error>> {
        Box::pin(self.end(key, end))
    }
}
