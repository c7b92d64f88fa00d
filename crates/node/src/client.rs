//! JSON-RPC client with time limits that discards silent connections.

mod claims;

pub use self::claims::Claims;

use std::{sync::Mutex, time::Duration};

use jsonrpsee::{
    core::{ClientError, client::ClientT, traits::ToRpcParams},
    http_client::{HeaderMap, HeaderValue, HttpClient, HttpClientBuilder},
};
use masticlock_core::{config, error, ledger, time::Span};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::value::{RawValue, to_raw_value};
use tokio::time::{Instant, sleep, timeout};

use crate::rpc::{self, Failure};

/// Time limit of a connection attempt.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// Time limit of one attempt at one replica, for calls that are not held.
pub const ATTEMPT: Span = Span::from_secs(2);

/// Pause after all replicas were asked in vain.
const ROUND_PAUSE: Duration = Duration::from_millis(50);

/// Parameters as one JSON object.
struct Params<'a, P>(&'a P);

impl<P> ToRpcParams for Params<'_, P>
where
    P: Serialize,
{
    fn to_rpc_params(self) -> Result<Option<Box<RawValue>>, serde_json::Error> {
        to_raw_value(self.0).map(Some)
    }
}

/// Calls JSON-RPC methods of other processes.
#[derive(Debug)]
pub struct Pool {
    credential: HeaderValue,
    connections: Mutex<Vec<(String, HttpClient)>>,
}

impl Pool {
    /// Returns a pool that sends the cluster secret.
    ///
    /// # Errors
    ///
    /// Returns [`error::Kind::BadRequest`] for a secret that can't be sent in a header.
    pub fn new(secret: &str) -> Result<Self, error::Error> {
        let mut credential = HeaderValue::try_from(rpc::credential(secret)).map_err(|_| {
            error::Error::new(
                error::Kind::BadRequest,
                "the cluster secret has a character that HTTP headers can't carry",
            )
        })?;
        credential.set_sensitive(true);
        Ok(Self {
            credential,
            connections: Mutex::default(),
        })
    }

    fn connection(&self, address: &str, limit: Duration) -> Result<HttpClient, Failure> {
        let mut connections = self.lock();
        match connections.binary_search_by(|c| c.0.as_str().cmp(address)) {
            Ok(at) => Ok(connections[at].1.clone()),
            Err(at) => {
                let client = self.connect(address, limit).map_err(|e| {
                    Failure::new(
                        error::Kind::Internal,
                        format!("no client for {address}: {e}"),
                    )
                })?;
                connections.insert(at, (address.to_owned(), client.clone()));
                Ok(client)
            }
        }
    }

    fn connect(&self, address: &str, limit: Duration) -> Result<HttpClient, ClientError> {
        let mut headers = HeaderMap::new();
        headers.insert("authorization", self.credential.clone());
        let bytes = u32::try_from(rpc::MAX_BODY_BYTES).unwrap_or(u32::MAX);
        HttpClientBuilder::default()
            .set_headers(headers)
            .max_request_size(bytes)
            .max_response_size(bytes)
            .connect_timeout(CONNECT_LIMIT)
            // The limit of each call is kept outside, because calls differ.
            .request_timeout(limit.max(Duration::from_hours(1)))
            .build(format!("http://{address}"))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<(String, HttpClient)>> {
        self.connections
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn discard(&self, address: &str) {
        self.lock().retain(|c| c.0 != address);
    }

    /// Calls a method once at one address.
    ///
    /// After a time limit or a transport error all connections to the address
    /// are given up, because a connection can stay silent while new ones work.
    ///
    /// # Errors
    ///
    /// Returns the callee's failure, or [`error::Kind::CommandUnknown`] when
    /// there was no answer.
    pub async fn call<P, R>(
        &self,
        address: &str,
        method: &str,
        params: &P,
        limit: Span,
    ) -> Result<R, Failure>
    where
        P: Serialize + Sync,
        R: DeserializeOwned,
    {
        let limit = limit.to_std();
        let client = self.connection(address, limit)?;
        match timeout(limit, client.request(method, Params(params))).await {
            Ok(Ok(result)) => Ok(result),
            Ok(Err(ClientError::Call(object))) => Err(failure(&object)),
            Ok(Err(error)) => {
                self.discard(address);
                Err(unanswered(address, method, &error.to_string()))
            }
            Err(_) => {
                self.discard(address);
                let text = format!("no answer within {} ms", limit.as_millis());
                Err(unanswered(address, method, &text))
            }
        }
    }
}

fn failure(object: &jsonrpsee::types::ErrorObjectOwned) -> Failure {
    object
        .data()
        .and_then(|data| serde_json::from_str(data.get()).ok())
        .unwrap_or_else(|| Failure::new(error::Kind::Internal, object.message()))
}

fn unanswered(address: &str, method: &str, text: &str) -> Failure {
    Failure::new(
        error::Kind::CommandUnknown,
        format!("{method} at {address}: {text}"),
    )
}

/// Calls methods of the control replicas: follows the leader and tries other replicas.
///
/// All methods are safe to resend, because each carries an id.
#[derive(Debug)]
pub struct Control {
    pool: Pool,
    addresses: Mutex<Vec<String>>,
}

impl Control {
    /// Returns a client of the control replicas at these addresses.
    ///
    /// # Errors
    ///
    /// Returns [`error::Kind::BadRequest`] for an unusable secret or no address.
    pub fn new(addresses: Vec<String>, secret: &str) -> Result<Self, error::Error> {
        if addresses.is_empty() {
            return Err(error::Error::new(
                error::Kind::BadRequest,
                "no address of a control replica is given",
            ));
        }
        Ok(Self {
            pool: Pool::new(secret)?,
            addresses: Mutex::new(addresses),
        })
    }

    /// Returns the pool of connections.
    #[must_use]
    pub const fn pool(&self) -> &Pool {
        &self.pool
    }

    fn first(&self) -> String {
        self.lock()[0].clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<String>> {
        self.addresses
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Moves a replica to the end if it is still first.
    fn rotate(&self, failed: &str) {
        let mut addresses = self.lock();
        if addresses[0] == failed {
            addresses.rotate_left(1);
        }
    }

    /// Moves a leader to the front; returns whether it was not there.
    fn lead(&self, address: &str) -> bool {
        let mut addresses = self.lock();
        match addresses.iter().position(|a| a == address) {
            Some(0) => false,
            Some(at) => {
                addresses[..=at].rotate_right(1);
                true
            }
            None => {
                addresses.insert(0, address.to_owned());
                true
            }
        }
    }

    /// Calls a method until a replica answers it or `limit` is over.
    ///
    /// # Errors
    ///
    /// Returns the leader's failure, or that of the last attempt.
    pub async fn call<P, R>(
        &self,
        method: &str,
        params: &P,
        attempt: Span,
        limit: Span,
    ) -> Result<R, error::Error>
    where
        P: Serialize + Sync,
        R: DeserializeOwned,
    {
        let end = Instant::now() + limit.to_std();
        let mut asked = 0;
        let mut unanswered = None;
        loop {
            let rest = end.saturating_duration_since(Instant::now());
            let millis = u64::try_from(rest.as_millis()).unwrap_or(u64::MAX);
            let address = self.first();
            let span = attempt.min(Span::from_millis(millis));
            let failure = match self.pool.call(&address, method, params, span).await {
                Ok(result) => return Ok(result),
                Err(failure) => failure,
            };
            let hinted = failure.leader.as_deref().is_some_and(|l| self.lead(l));
            match failure.error.kind {
                error::Kind::NoLeader if hinted => {}
                error::Kind::NoLeader => self.rotate(&address),
                error::Kind::CommandUnknown => {
                    self.rotate(&address);
                    unanswered = Some(failure.error.clone());
                }
                _ => return Err(failure.error),
            }
            asked += 1;
            if Instant::now() >= end {
                // Whether an earlier attempt worked is not known.
                return Err(unanswered.unwrap_or(failure.error));
            }
            let replicas = self.lock().len();
            if asked % replicas == 0 {
                sleep(ROUND_PAUSE.min(end.saturating_duration_since(Instant::now()))).await;
            }
        }
    }

    /// Submits a command and waits up to `wait` for it to be in force.
    ///
    /// # Errors
    ///
    /// Returns [`error::Kind::CommandUnknown`] when there was no answer within
    /// `limit`. Resending the same command is safe.
    pub async fn submit(
        &self,
        submit: &rpc::Submit,
        limit: Span,
    ) -> Result<rpc::Submitted, error::Error> {
        let attempt = ATTEMPT.plus(submit.wait);
        self.call(rpc::OPERATOR_SUBMIT, submit, attempt, limit)
            .await
    }

    /// Looks up the outcome of a command.
    ///
    /// # Errors
    ///
    /// Returns [`error::Kind::NotFound`] for an id that was never accepted or is no longer kept.
    pub async fn outcome(
        &self,
        lookup: &rpc::Lookup,
        limit: Span,
    ) -> Result<rpc::Submitted, error::Error> {
        let attempt = ATTEMPT.plus(lookup.wait);
        self.call(rpc::OPERATOR_OUTCOME, lookup, attempt, limit)
            .await
    }

    /// Returns the state of the system.
    ///
    /// # Errors
    ///
    /// Returns the last failure when no leader answers within `limit`.
    pub async fn status(&self, limit: Span) -> Result<rpc::Status, error::Error> {
        self.call(rpc::OPERATOR_STATUS, &Empty {}, ATTEMPT, limit)
            .await
    }
}

impl Control {
    /// Returns the accepted configuration.
    ///
    /// # Errors
    ///
    /// Returns the last failure when no leader answers within `limit`.
    pub async fn config(&self, limit: Span) -> Result<config::Config, error::Error> {
        self.call(rpc::OPERATOR_CONFIG, &Empty {}, ATTEMPT, limit)
            .await
    }

    /// Returns all bills of one replica, with earlier versions of bills that were replaced.
    ///
    /// # Errors
    ///
    /// Returns the replica's failure.
    pub async fn bills(
        &self,
        address: &str,
        limit: Span,
    ) -> Result<Vec<ledger::Bill>, error::Error> {
        let mut bills = Vec::new();
        let mut from = 0;
        loop {
            let page: rpc::BillPage = self
                .pool()
                .call(address, rpc::BILL_LIST, &rpc::BillsFrom { from }, limit)
                .await
                .map_err(|failure| failure.error)?;
            bills.extend(page.bills);
            if page.next >= page.end || page.next == from {
                return Ok(bills);
            }
            from = page.next;
        }
    }
}

/// Parameters of methods without parameters.
#[derive(Debug, Serialize)]
struct Empty {}
