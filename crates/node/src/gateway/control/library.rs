//! Parcels of configurations for entry instances, each encoded once for all receivers.

use std::rc::Rc;

use masticlock_core::transfer::{self, Archive, Digest, Fetch, Parcel, Part, Stored};
use tokio::{sync::OnceCell, task::spawn_blocking};

use crate::gateway::parcel;

/// Parcels that are kept, unless they take up more bytes than the earlier configurations may.
const MAX_PARCELS: usize = 16;

/// Content and base of a parcel.
type Key = (Digest, Option<Digest>);

/// A parcel that is encoded when it is first needed.
type Cell = Rc<OnceCell<Parcel>>;

/// The configurations of a control instance and their parcels.
#[derive(Debug)]
pub struct Library {
    /// The newest configuration and earlier ones.
    pub archive: Archive,
    /// The latest ones are last.
    parcels: Vec<(Key, Cell)>,
}

/// What is needed to make a parcel.
#[derive(Debug)]
pub struct Order {
    target: Stored,
    base: Option<Stored>,
    cell: Cell,
}

impl Library {
    /// Creates a library whose earlier configurations and parcels take up `room` bytes each at most.
    pub const fn new(room: u64) -> Self {
        Self {
            archive: Archive::new(room),
            parcels: Vec::new(),
        }
    }

    /// Returns whether one of the parcels has to go before another one is encoded.
    fn is_full(&self) -> bool {
        let encoded = self.parcels.iter().filter_map(|(_, cell)| cell.get());
        let bytes: u64 = encoded.map(|p| p.head().bytes).sum();
        self.parcels.len() >= MAX_PARCELS || bytes > self.archive.room()
    }

    /// Returns the order for the parcel of a content for a receiver that holds `base`.
    fn order(&mut self, target: Stored, base: Option<Digest>) -> Order {
        let base = base.and_then(|b| self.archive.get(b)).cloned();
        let key = (target.digest, base.as_ref().map(|b| b.digest));
        let found = self.parcels.iter().find(|(k, _)| *k == key);
        let cell = if let Some((_, cell)) = found {
            cell.clone()
        } else {
            while self.is_full() {
                self.parcels.remove(0);
            }
            let cell = Cell::default();
            self.parcels.push((key, cell.clone()));
            cell
        };
        Order { target, base, cell }
    }

    /// Returns the orders for the newest parcel and the one that the receiver has begun with, or
    /// `None` if there is no newer configuration than the receiver's.
    pub fn orders(&mut self, fetch: &Fetch) -> Option<(Order, Option<Order>)> {
        let newest = self.archive.newest()?;
        if newest.revision <= fetch.revision {
            return None;
        }
        let newest = newest.clone();
        let begun = fetch.partial.map(|p| p.content);
        let begun = begun.and_then(|content| self.archive.get(content)).cloned();
        let newest = self.order(newest, fetch.base);
        let begun = begun.map(|content| self.order(content, fetch.base));
        Some((newest, begun))
    }
}

impl Order {
    /// Returns the parcel, which is encoded on another thread if it is the first time.
    async fn parcel(&self) -> &Parcel {
        self.cell
            .get_or_init(|| async {
                let (target, base) = (self.target.clone(), self.base.clone());
                let encode = move || {
                    let base = base.as_ref();
                    let content = base.map(|b| b.content.as_bytes());
                    let bytes = parcel::encode(content, target.content.as_bytes());
                    Parcel::new(&target, base.map(|b| b.digest), &bytes)
                };
                // The encoder doesn't panic, and the task is not cancelled.
                spawn_blocking(encode).await.expect("the encoder ends")
            })
            .await
    }
}

/// Returns the part that answers a request.
pub async fn part(fetch: &Fetch, newest: Order, begun: Option<Order>) -> Part {
    let newest = newest.parcel().await;
    let begun = match &begun {
        Some(begun) => Some(begun.parcel().await),
        None => None,
    };
    transfer::choose_part(fetch, newest, begun)
}
