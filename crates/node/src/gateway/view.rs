//! The blackboard between the threads of an entry process.

use std::sync::{Arc, Mutex};

use arc_swap::ArcSwap;
use masticlock_core::{
    fleet,
    notice::Departure,
    replicated,
    report::{self, Suspect, VersionStats},
    route::Table,
    time::Time,
};

/// What an entry instance believes, published by its control thread.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Grows with each change of the agreed state, the directory or the totals.
    pub version: u64,
    /// Grows with each change of the directory.
    pub directory_version: u64,
    /// Routes; none before the first configuration.
    pub table: Option<Arc<Table>>,
    /// Rollouts and failure domains out of service. Its configuration is in `table`.
    pub agreed: Arc<replicated::State>,
    /// Upstreams.
    pub directory: Arc<fleet::Directory>,
    /// Work of the other entry instances.
    pub totals: Arc<report::Totals>,
    /// When the agreed state was known to be the newest.
    pub confirmed_at: Option<Time>,
}

/// What the traffic thread reports.
#[derive(Debug, Default)]
pub struct TrafficReport {
    /// Work by upstream.
    pub loads: Vec<report::Load>,
    /// Services of which the loads in all failure domains are needed.
    pub spillover_services: Vec<Arc<str>>,
    /// Outcomes by service and version.
    pub version_stats: Vec<VersionStats>,
    /// Requests that may have crashed upstreams.
    pub suspects: Vec<Suspect>,
    /// Upstreams that have said in an answer that they leave.
    pub departures: Vec<Departure>,
}

/// The blackboard.
#[derive(Debug, Default)]
pub struct SharedState {
    /// Written by the control thread.
    pub view: ArcSwap<View>,
    /// Written by the traffic thread.
    pub report: Mutex<TrafficReport>,
}
