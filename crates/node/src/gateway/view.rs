//! State shared between the threads of an entry process.

use std::{
    cell::RefCell,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use arc_swap::ArcSwap;
use masticlock_core::{
    currency::Currency,
    fleet,
    limit::{Permit, Return, Want},
    notice::{self, Departure},
    pace, replicated,
    report::{self, VersionStats},
    route::Table,
    suspect::Screen,
    time::{Span, Time},
};
use tokio::sync::Notify;

/// Routing state of an entry instance, published by its control thread.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Incremented with each change of the agreed state, the directory or the totals.
    pub version: u64,
    /// Incremented with each change of the directory.
    pub directory_version: u64,
    /// Routing table; `None` before the first configuration.
    pub table: Option<Arc<Table>>,
    /// Rollouts and failure domains taken out of service. The configuration is in `table`.
    pub agreed: Arc<replicated::State>,
    /// Directory of upstreams.
    pub directory: Arc<fleet::Directory>,
    /// Load reported by the other entry instances.
    pub totals: Arc<report::Totals>,
    /// Peers that take requests from this instance, and the number of times that they were received.
    pub peers: (u64, Arc<[report::Peer]>),
    /// Upstreams whose pace differs, and the number of times that they were received.
    pub paces: (u64, Arc<[pace::Sample]>),
    /// Number of answers whose permits are in the inbox or were taken from it.
    pub inbox_version: u64,
    /// Latest time at which the agreed state was known to be the newest.
    pub confirmed_at: Option<Time>,
    /// Newer configurations than the one in `table`.
    pub currency: Currency,
}

/// Data of the traffic thread for the next report to a control instance.
#[derive(Debug, Default)]
pub struct TrafficReport {
    /// Load by upstream.
    pub loads: Vec<report::Load>,
    /// Services whose loads in all failure domains are needed.
    pub spillover_services: Vec<Arc<str>>,
    /// Outcomes of requests by service and version.
    pub version_stats: Vec<VersionStats>,
    /// Upstreams that have announced in a response that they are leaving.
    pub departures: Vec<Departure>,
    /// Statements of upstreams about their limits that the directory does not show yet.
    pub limits: Vec<notice::Limit>,
    /// Permits that are wanted for upstreams with limits.
    pub wants: Vec<Want>,
    /// Permits that are to be given back with the next poll.
    pub returns: Vec<Return>,
    /// What was learnt of the pace of upstreams since the last report; `None` if it was sent.
    pub paces: Option<Vec<pace::Sample>>,
    /// Number of requests that this instance takes from its peers at a time.
    pub room: u32,
    /// Whether it needs peers itself.
    pub needs_peers: bool,
}

/// Permits that have arrived and that the traffic thread has not taken over.
#[derive(Debug, Default)]
pub struct Inbox {
    /// Permits, each with the time when its poll was sent.
    pub permits: Vec<(Permit, Time)>,
    /// Time when the last poll was sent that was answered by a control instance in contact with the
    /// leader.
    pub contact_at: Option<Time>,
}

/// State that each thread writes for the other one.
#[derive(Debug, Default)]
pub struct SharedState {
    /// Written by the control thread.
    pub view: ArcSwap<View>,
    /// Written by the traffic thread.
    pub report: Mutex<TrafficReport>,
    /// Filled by the control thread and emptied by the traffic thread.
    pub inbox: Mutex<Inbox>,
    /// Crash evidence, written by both threads.
    pub screen: Mutex<Screen>,
    /// Wakes the control thread when a request waits for a permit or there is new crash evidence.
    pub poll_wanted: Notify,
    /// Written by the control thread.
    pub transfers: Transfers,
}

/// Statistics of the transfers of configurations.
#[derive(Debug, Default)]
pub struct Transfers {
    /// Bytes that have arrived.
    pub bytes: AtomicU64,
    /// Bytes that were given up.
    pub discarded_bytes: AtomicU64,
    /// Transfers that went on at another connection.
    pub resumed: AtomicU64,
    /// Transfers that have ended.
    pub completed: AtomicU64,
    /// Time that they have taken, in milliseconds.
    pub millis: AtomicU64,
    /// Expected time until the present transfer ends, in milliseconds; 0 if it is not known.
    rest_millis: AtomicU64,
}

impl Transfers {
    /// Records what has arrived of the present transfer.
    pub fn set_progress(&self, elapsed: Span, received: u64, total: u64) {
        let rest = elapsed.as_millis() * total.saturating_sub(received) / received.max(1);
        self.rest_millis.store(rest, Ordering::Relaxed);
    }

    /// Records the end of the present transfer.
    pub fn clear_progress(&self) {
        self.rest_millis.store(0, Ordering::Relaxed);
    }

    /// Returns the expected time until the present transfer ends; zero if it is not known.
    #[must_use]
    pub fn rest(&self) -> Span {
        Span::from_millis(self.rest_millis.load(Ordering::Relaxed))
    }
}

/// The view as the tasks of the control thread change and publish it.
#[derive(Debug)]
pub struct Publisher {
    shared: Arc<SharedState>,
    view: RefCell<View>,
}

impl Publisher {
    /// Returns the publisher of an empty view.
    #[must_use]
    pub fn new(shared: Arc<SharedState>) -> Self {
        Self {
            shared,
            view: RefCell::default(),
        }
    }

    /// Changes the view and publishes it.
    pub fn change<F>(&self, change: F)
    where
        F: FnOnce(&mut View),
    {
        let mut view = self.view.borrow_mut();
        change(&mut view);
        self.shared.view.store(Arc::new(view.clone()));
    }

    /// Returns the revision of the configuration in force; 0 without one.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.view
            .borrow()
            .table
            .as_ref()
            .map_or(0, |t| t.revision())
    }

    /// Wakes the task that polls control instances.
    pub fn request_poll(&self) {
        self.shared.poll_wanted.notify_one();
    }

    /// Returns the statistics of transfers.
    #[must_use]
    pub fn transfers(&self) -> &Transfers {
        &self.shared.transfers
    }
}

impl SharedState {
    /// Returns the crash evidence.
    pub fn screen(&self) -> MutexGuard<'_, Screen> {
        // No thread panics while it holds the lock.
        self.screen.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
