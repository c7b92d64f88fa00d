use std::{
    collections::BTreeMap,
    sync::{PoisonError, RwLock},
    time::Duration,
};

use reqwest::{Client, redirect, retry};

/// Connection pools, one for each upstream address.
///
/// A pool whose connection went silent is replaced, because its other
/// connections have probably gone silent as well.
#[derive(Debug)]
pub(super) struct Pools {
    connect: Duration,
    clients: RwLock<BTreeMap<String, Client>>,
    single: Client,
}

/// Time after which an idle connection is closed.
const IDLE: Duration = Duration::from_secs(20);
/// Most pools. Upstreams that change their address would otherwise leave pools behind.
const MAX_POOLS: usize = 2_048;

fn build(connect: Duration, idle: usize) -> reqwest::Result<Client> {
    Client::builder()
        .no_proxy()
        .http1_only()
        .redirect(redirect::Policy::none())
        // Retries are decided by `core::attempt`.
        .retry(retry::never())
        .connect_timeout(connect)
        .pool_idle_timeout(IDLE)
        .pool_max_idle_per_host(idle)
        .tcp_nodelay(true)
        .build()
}

impl Pools {
    pub(super) fn new(connect: Duration) -> reqwest::Result<Self> {
        Ok(Self {
            connect,
            clients: RwLock::default(),
            single: build(connect, 0)?,
        })
    }

    /// Returns the client without a pool.
    ///
    /// A call that runs at most once uses a connection of its own: on a reused
    /// one a failed write would not show whether the service has seen it.
    pub(super) fn single(&self) -> Client {
        self.single.clone()
    }

    /// Returns the pool of an upstream.
    pub(super) fn get(&self, address: &str) -> Client {
        let clients = self.clients.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(client) = clients.get(address) {
            return client.clone();
        }
        drop(clients);
        let Ok(client) = build(self.connect, usize::MAX) else {
            return self.single();
        };
        let mut clients = self.clients.write().unwrap_or_else(PoisonError::into_inner);
        if clients.len() >= MAX_POOLS {
            clients.pop_first();
        }
        clients.entry(address.to_owned()).or_insert(client).clone()
    }

    /// Discards the pool of an upstream. The next request opens a new one.
    pub(super) fn discard(&self, address: &str) {
        let mut clients = self.clients.write().unwrap_or_else(PoisonError::into_inner);
        clients.remove(address);
    }
}
