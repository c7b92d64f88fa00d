//! Transfer of configurations to an entry instance, beside its polls.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use masticlock_core::{
    consensus::Payload,
    fault::Fault,
    route::Table,
    time::Time,
    transfer::{Digest, Download, Head},
};
use tokio::{sync::watch, task::spawn_blocking, time::sleep};

use super::{
    adapter::Adapter,
    control_client::ControlClient,
    message::{Reply, Request},
    parcel,
    socket::Connector,
    view::Publisher,
};
use crate::clock::Clock;

/// Longest time until the reply to a request for a part begins.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay before another control instance is asked after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time of a whole transfer with [`Fault::LimitTransfer`].
const PLANTED_LIMIT_MS: u64 = 500;

/// Creates an adapter on the thread that uses it.
pub type CreateAdapter = Arc<dyn Fn() -> Box<dyn Adapter> + Send + Sync>;

/// A configuration as it arrives.
#[derive(Debug)]
enum Arrival {
    /// The content.
    Content(Payload),
    /// A parcel with its description.
    Parcel(Head, Vec<u8>),
}

/// The content of the configuration that the instance holds.
#[derive(Clone, Debug)]
struct Held {
    digest: Digest,
    content: Payload,
}

/// The configuration that the instance holds, and its replacement.
pub struct Configuration {
    publisher: Rc<Publisher>,
    clock: Clock,
    create_adapter: CreateAdapter,
    held: RefCell<Option<Held>>,
    /// Whether a configuration has needed keys.
    needs_keys: Cell<bool>,
}

impl Configuration {
    /// Returns the state of an instance without a configuration.
    pub fn new(publisher: Rc<Publisher>, clock: Clock, create_adapter: CreateAdapter) -> Self {
        Self {
            publisher,
            clock,
            create_adapter,
            held: RefCell::default(),
            needs_keys: Cell::default(),
        }
    }

    /// Records that a configuration has needed keys. From now on all do.
    pub fn need_keys(&self) {
        if self.needs_keys.replace(true) {
            return;
        }
        self.publisher.change(|view| {
            let open = view.table.as_ref().filter(|t| !t.needs_keys()).cloned();
            if let Some(table) = open {
                view.table = Some(Arc::new(Table::clone(&table).with_keys_needed()));
                view.version += 1;
            }
        });
    }

    /// Returns the revision of the configuration in force; 0 without one.
    pub fn revision(&self) -> u64 {
        self.publisher.revision()
    }

    /// Returns the digest of the configuration that is held.
    fn digest(&self) -> Option<Digest> {
        self.held.borrow().as_ref().map(|h| h.digest)
    }

    /// Puts a configuration that has arrived whole into force.
    pub async fn replace(&self, content: Payload) {
        self.install(Arrival::Content(content)).await;
    }

    /// Decodes and parses a configuration on another thread, puts it into force unless it is older
    /// than the present one, and returns whether it could be decoded.
    async fn install(&self, arrival: Arrival) -> bool {
        let began = self.clock.now();
        let present = self.held.borrow().clone();
        let create_adapter = self.create_adapter.clone();
        let parse = move || -> Result<(Table, Held), String> {
            let content = match arrival {
                Arrival::Content(content) => content,
                Arrival::Parcel(head, bytes) => {
                    let base = present.as_ref().map(|h| (h.digest, h.content.as_bytes()));
                    let content = parcel::decode(&head, &bytes, base).map_err(|e| e.to_string())?;
                    content.into()
                }
            };
            let table = create_adapter().parse_table(content.as_bytes())?;
            let digest = Digest::of(content.as_bytes());
            Ok((table, Held { digest, content }))
        };
        let parsed = spawn_blocking(parse).await;
        let (mut table, held) = match parsed.map_err(|e| e.to_string()).flatten() {
            Ok(parsed) => parsed,
            Err(reason) => {
                log::error!(event = "configuration_rejected", reason; "can't use a configuration");
                return false;
            }
        };
        let revision = table.revision();
        if revision <= self.revision() {
            return true;
        }
        if self.needs_keys.get() && !table.needs_keys() {
            log::warn!(
                event = "keys_needed", revision;
                "a configuration leaves out the client accounts: keys stay needed, as before"
            );
            table = table.with_keys_needed();
        }
        self.needs_keys.set(table.needs_keys());
        log::info!(
            event = "configuration", revision, bytes = held.content.as_bytes().len(),
            parse_ms = self.clock.now().since(began).as_millis();
            "a configuration takes effect"
        );
        *self.held.borrow_mut() = Some(held);
        self.publisher.change(|view| {
            view.table = Some(Arc::new(table));
            view.currency.hold(revision);
            view.version += 1;
        });
        // The next reply confirms the configuration.
        self.publisher.request_poll();
        true
    }
}

/// What is known about newer configurations.
#[derive(Clone, Debug, Default)]
pub struct Offer {
    /// Newest known revision that is to be fetched.
    pub revision: u64,
    /// Control instance that has it.
    pub source: Option<SocketAddr>,
    /// Known control instances.
    pub others: Vec<SocketAddr>,
}

/// Fetches configurations that are offered.
pub struct Fetcher {
    configuration: Rc<Configuration>,
    connector: Rc<dyn Connector>,
    clock: Clock,
    offers: watch::Receiver<Offer>,
    download: Download,
    /// When the present transfer began, and whether it was resumed.
    began: Option<(Time, bool)>,
}

/// Why a control instance did not give a part.
#[derive(Debug, thiserror::Error)]
enum Error {
    /// The connection failed or stood still.
    #[error(transparent)]
    Connection(#[from] std::io::Error),
    /// The control instance has no newer configuration.
    #[error("it has no newer configuration")]
    Nothing,
    /// The reply was of another kind.
    #[error("an unexpected reply")]
    Unexpected,
    /// A part was not accepted.
    #[error(transparent)]
    Part(#[from] masticlock_core::transfer::Error),
    /// The parcel can't be used.
    #[error("a parcel can't be used")]
    Unusable,
}

impl Fetcher {
    /// Returns the state of a new process.
    pub fn new(
        configuration: Rc<Configuration>,
        connector: Rc<dyn Connector>,
        clock: Clock,
        offers: watch::Receiver<Offer>,
    ) -> Self {
        Self {
            configuration,
            connector,
            clock,
            offers,
            download: Download::default(),
            began: None,
        }
    }

    /// Fetches what is offered, without end.
    pub async fn run(mut self) {
        // Number of failures in a row, which selects the control instance.
        let mut failures = 0;
        loop {
            let revision = self.configuration.revision();
            let is_newer = |offer: &Offer| offer.revision > revision && offer.source.is_some();
            let Ok(offer) = self.offers.wait_for(is_newer).await.map(|o| o.clone()) else {
                return;
            };
            let candidates: Vec<_> = offer.source.into_iter().chain(offer.others).collect();
            let address = candidates[failures % candidates.len()];
            let client = ControlClient::with_connector(address, self.connector.clone());
            match self.fetch_from(client).await {
                Ok(()) => failures = 0,
                Err(error) => {
                    failures += 1;
                    let (received, total) = self.download.progress();
                    log::info!(
                        event = "transfer_interrupted", address:% = address, reason:% = error,
                        received, total;
                        "a control instance doesn't send the configuration any more"
                    );
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Fetches the parts that are missing and puts the configuration into force.
    async fn fetch_from(&mut self, mut client: ControlClient) -> Result<(), Error> {
        let mut is_resumed = self.download.progress().0 > 0;
        loop {
            let sent = self.clock.now();
            let (began, _) = *self.began.get_or_insert((sent, false));
            if Fault::LimitTransfer.is_injected()
                && sent.since(began).as_millis() > PLANTED_LIMIT_MS
            {
                self.download.clear();
                self.began = None;
                return Err(Error::Connection(std::io::ErrorKind::TimedOut.into()));
            }
            let base = self.configuration.digest();
            let fetch = self.download.request(self.configuration.revision(), base);
            let (reply, extension) = client.call(&Request::Fetch(fetch), REPLY_TIMEOUT).await?;
            if extension.needs_keys {
                self.configuration.need_keys();
            }
            let part = match reply {
                Reply::Part(Some(part)) => part,
                Reply::Part(None) => return Err(Error::Nothing),
                Reply::Update(_) | Reply::Done(_) | Reply::Refused(_) => {
                    return Err(Error::Unexpected);
                }
            };
            let discarded = self.download.discarded();
            let accepted = self.download.accept(&part, parcel::MAX_BYTES);
            let stats = self.configuration.publisher.transfers();
            let count = |counter: &std::sync::atomic::AtomicU64, added: u64| {
                counter.fetch_add(added, Ordering::Relaxed);
            };
            count(
                &stats.discarded_bytes,
                self.download.discarded() - discarded,
            );
            count(&stats.bytes, part.bytes.as_bytes().len() as u64);
            if is_resumed && part.offset > 0 {
                count(&stats.resumed, 1);
                self.began = Some((began, true));
                log::info!(
                    event = "transfer_resumed", address:% = client.address(),
                    revision = part.head.revision, offset = part.offset, total = part.head.bytes;
                    "the transfer of a configuration goes on"
                );
            }
            is_resumed = false;
            let Some((head, bytes)) = accepted? else {
                let (received, total) = self.download.progress();
                stats.set_progress(self.clock.now().since(began), received, total);
                continue;
            };
            stats.clear_progress();
            let took = self.clock.now().since(began);
            let (_, was_resumed) = self.began.take().unwrap_or((sent, false));
            count(&stats.completed, 1);
            count(&stats.millis, took.as_millis());
            log::info!(
                event = "transfer", revision = head.revision, bytes = head.bytes,
                difference = head.base.is_some(), resumed = was_resumed,
                took_ms = took.as_millis();
                "a configuration has arrived"
            );
            if !self
                .configuration
                .install(Arrival::Parcel(head, bytes))
                .await
            {
                return Err(Error::Unusable);
            }
            return Ok(());
        }
    }
}
