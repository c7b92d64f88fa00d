use std::{
    io,
    sync::{Arc, Mutex},
};

use arc_swap::ArcSwap;
use masticlock_core::{
    config::{Change, Config},
    error, planner,
};

use super::{Answers, Fleet, Ledger, Register};
use crate::{
    clock::Clock,
    entry::{self, Components, Handle, Settings},
    evidence::Evidence,
    port::Snapshot,
};

/// An entry instance that needs no other process.
pub struct Site {
    /// Upstreams and slots.
    pub fleet: Arc<Fleet>,
    /// Claims.
    pub register: Arc<Register>,
    /// Bills.
    pub ledger: Arc<Ledger>,
    /// Evidence.
    pub evidence: Arc<Evidence>,
    snapshot: Arc<ArcSwap<Snapshot>>,
    handle: Handle,
}

impl Site {
    /// Starts an entry instance with `config`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn start(settings: Settings, config: Config) -> io::Result<Self> {
        let fleet = Arc::new(Fleet::new(
            settings.instance.clone(),
            settings.domain.clone(),
        ));
        let register = Arc::new(Register::default());
        let ledger = Arc::new(Ledger::default());
        let snapshot = Arc::new(ArcSwap::from_pointee(Snapshot {
            config: Arc::new(config),
            lease_end: None,
        }));
        // Evidence of a single instance stays with it.
        let clock = Clock::start();
        let evidence = Arc::new(Evidence::new(&settings.instance, 1, clock));
        let handle = entry::start(Components {
            settings,
            clock,
            snapshot: snapshot.clone(),
            slots: fleet.clone(),
            announcements: fleet.clone(),
            claims: register.clone(),
            bills: ledger.clone(),
            answers: Arc::new(Answers::default()),
            outcomes: evidence.clone(),
            explanations: Arc::default(),
            availability: fleet.clone(),
            planner: Arc::new(Mutex::new(planner::Adaptive::new())),
        })
        .await?;
        Ok(Self {
            fleet,
            register,
            ledger,
            evidence,
            snapshot,
            handle,
        })
    }

    /// Returns the base URL.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.handle.address())
    }

    /// Returns the running instance.
    #[must_use]
    pub const fn handle(&self) -> &Handle {
        &self.handle
    }

    /// Returns the running instance for its stop.
    #[must_use]
    pub fn into_handle(self) -> Handle {
        self.handle
    }

    /// Applies a change of the configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if the change does not fit.
    pub fn change(&self, change: &Change) -> Result<(), error::Error> {
        let now = self.snapshot.load();
        let config = Arc::new(now.config.changed(change)?);
        self.snapshot.store(Arc::new(Snapshot {
            config,
            lease_end: now.lease_end,
        }));
        Ok(())
    }

    /// Ends the configuration lease, as on an instance that is cut off.
    pub fn end_lease(&self) {
        let now = self.snapshot.load();
        self.snapshot.store(Arc::new(Snapshot {
            config: now.config.clone(),
            lease_end: Some(std::time::Instant::now()),
        }));
    }
}
