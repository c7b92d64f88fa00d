//! Connection pools to upstreams.

use std::{
    collections::BTreeMap,
    sync::{PoisonError, RwLock},
    time::Duration,
};

use reqwest::{Client, redirect, retry};

/// HTTP clients with connection pools, one for each upstream address.
///
/// A pool with an unresponsive connection is discarded, because its other
/// connections are probably unresponsive as well.
#[derive(Debug)]
pub(super) struct Pools {
    connect_timeout: Duration,
    clients: RwLock<BTreeMap<String, Client>>,
    unpooled: Client,
}

/// Time after which an idle pooled connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum number of pools. Without it, upstreams that change their address would leak pools.
const MAX_POOLS: usize = 2_048;

fn build_client(connect_timeout: Duration, max_idle: usize) -> reqwest::Result<Client> {
    Client::builder()
        .no_proxy()
        .http1_only()
        .redirect(redirect::Policy::none())
        // `masticlock_core::attempt` decides about retries.
        .retry(retry::never())
        .connect_timeout(connect_timeout)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(max_idle)
        .tcp_nodelay(true)
        .build()
}

impl Pools {
    pub(super) fn new(connect_timeout: Duration) -> reqwest::Result<Self> {
        Ok(Self {
            connect_timeout,
            clients: RwLock::default(),
            unpooled: build_client(connect_timeout, 0)?,
        })
    }

    /// Returns the client that opens a new connection for each request.
    ///
    /// Calls that run at most once use it: after a failed write on a reused
    /// connection it is unknown whether the service has received the call.
    pub(super) fn unpooled(&self) -> Client {
        self.unpooled.clone()
    }

    /// Returns the client for an upstream, and creates it if there is none.
    pub(super) fn get(&self, address: &str) -> Client {
        let clients = self.clients.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(client) = clients.get(address) {
            return client.clone();
        }
        drop(clients);
        let Ok(client) = build_client(self.connect_timeout, usize::MAX) else {
            return self.unpooled();
        };
        let mut clients = self.clients.write().unwrap_or_else(PoisonError::into_inner);
        if clients.len() >= MAX_POOLS {
            clients.pop_first();
        }
        clients.entry(address.to_owned()).or_insert(client).clone()
    }

    /// Discards the pool of an upstream. The next request creates a new one.
    pub(super) fn discard(&self, address: &str) {
        let mut clients = self.clients.write().unwrap_or_else(PoisonError::into_inner);
        clients.remove(address);
    }
}
