//! Evidence about versions, collected in replicated counters that merge without double counting.
//!
//! Each instance increments only its own counters. A cell is identified by
//! origin, incarnation, epoch and [`Key`], and merging two copies of it takes
//! the larger value of each field (the grow-only counter of Shapiro et al., "A
//! comprehensive study of Convergent and Commutative Replicated Data Types",
//! 2011). Epochs order evidence by age. An instance advances its epoch by its
//! own clock and adopts any higher epoch that it receives.

use serde::{Deserialize, Serialize};

use crate::{
    name, request,
    time::{Span, Time},
};

pub mod counts;

pub use counts::{Counts, Event};

/// Length of an epoch.
pub const EPOCH_LENGTH: Span = Span::from_secs(600);

/// Number of epochs whose counters are retained.
pub const RETAINED_EPOCHS: u32 = 36;

/// Arm of a rollout's comparison that a request belongs to.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Arm {
    /// Outside of any comparison.
    #[default]
    Plain,
    /// The version in rollout on trial requests, in the stage that began at this revision.
    Candidate(u64),
    /// The baseline version on trial requests at the same time, in the same stage.
    Control(u64),
    /// The version in rollout in place of its baseline, in the stage that began at this revision.
    Share(u64),
}

/// Position of a version in its plan.
///
/// Answers that a cascade keeps are better than the version's average, and
/// requests that reach its second step are harder, so each role has its own counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// The only step.
    Alone,
    /// The first step of a cascade; only kept answers are rated.
    First,
    /// The second step of a cascade.
    Second,
}

impl Role {
    /// Returns the role of the step at `index` in a plan with `steps` steps.
    #[must_use]
    pub const fn of(index: usize, steps: usize) -> Self {
        match (index, steps) {
            (_, 0 | 1) => Self::Alone,
            (0, _) => Self::First,
            _ => Self::Second,
        }
    }
}

plain! {
    /// Requests that a cell's counters cover.
    #[derive(Eq, PartialOrd, Ord, Hash)]
    pub struct Key {
        /// The version that ran.
        pub version: name::Version,
        /// The task of the requests.
        pub task: name::Task,
        /// Their size class.
        pub size: request::Size,
        /// The version's position in the plan.
        pub role: Role,
        /// The arm of a comparison.
        pub arm: Arm,
    }

    /// Writer and epoch of a cell's counters.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct Source {
        /// The instance that wrote the counters.
        pub origin: name::Instance,
        /// Its incarnation; a restart starts new counters.
        pub incarnation: u64,
        /// The epoch.
        pub epoch: u32,
    }

    /// A cell of counters with its identity, as sent to other instances.
    #[derive(Eq)]
    pub struct Record {
        /// Writer and epoch.
        pub source: Source,
        /// Requests covered.
        pub key: Key,
        /// The counters.
        pub counts: Counts,
    }

    /// Records that changed after a sequence number.
    #[derive(Default)]
    pub struct Delta {
        /// The sender's epoch.
        pub epoch: u32,
        /// The records.
        pub records: Vec<Record>,
    }
}

/// A record with the pool's sequence number at its last change.
#[derive(Clone, Debug)]
struct Cell {
    record: Record,
    changed_at: u64,
}

/// All evidence known to an instance, its own and what it received.
#[derive(Clone, Debug)]
pub struct Pool {
    origin: name::Instance,
    incarnation: u64,
    epoch: u32,
    epoch_started: Time,
    /// Number of the latest change.
    sequence: u64,
    /// Sorted by source and key.
    cells: Vec<Cell>,
}

impl Pool {
    /// Creates an empty pool for an instance.
    #[must_use]
    pub const fn new(origin: name::Instance, incarnation: u64, now: Time) -> Self {
        Self {
            origin,
            incarnation,
            epoch: 0,
            epoch_started: now,
            sequence: 0,
            cells: Vec::new(),
        }
    }

    /// Counts an event in the instance's own counters.
    pub fn record(&mut self, key: &Key, event: Event) {
        let source = Source {
            origin: self.origin.clone(),
            incarnation: self.incarnation,
            epoch: self.epoch,
        };
        self.sequence += 1;
        let sequence = self.sequence;
        let cell = self.cell_mut(&source, key);
        cell.record.counts.add_event(event);
        cell.changed_at = sequence;
    }

    /// Advances to the next epoch when the current one is over and drops expired records.
    pub fn tick(&mut self, now: Time) {
        if now.since(self.epoch_started) >= EPOCH_LENGTH {
            self.enter_epoch(self.epoch + 1, now);
        }
    }

    /// Merges records of other instances. The result doesn't depend on order or repetition.
    pub fn merge(&mut self, delta: &Delta, now: Time) {
        let newest = delta.records.iter().map(|r| r.source.epoch).max();
        let epoch = delta.epoch.max(newest.unwrap_or(0));
        if epoch > self.epoch {
            self.enter_epoch(epoch, now);
        }
        for record in &delta.records {
            if self.age(record.source.epoch) < RETAINED_EPOCHS {
                self.merge_record(record);
            }
        }
    }

    fn merge_record(&mut self, record: &Record) {
        let sequence = self.sequence + 1;
        let cell = self.cell_mut(&record.source, &record.key);
        if cell.record.counts.merge(&record.counts) {
            cell.changed_at = sequence;
            self.sequence = sequence;
        }
    }

    /// Returns the records that changed after `sequence`. Take [`Pool::sequence`] for the next call.
    #[must_use]
    pub fn delta_since(&self, sequence: u64) -> Delta {
        let changed = self.cells.iter().filter(|c| c.changed_at > sequence);
        Delta {
            epoch: self.epoch,
            records: changed.map(|c| c.record.clone()).collect(),
        }
    }

    /// Drops all records.
    pub fn clear(&mut self) {
        self.cells.clear();
    }

    /// Returns the sums over all origins by epoch and key, as records of this pool's instance.
    ///
    /// A receiver must not merge them with records of single instances, or
    /// requests are counted twice.
    #[must_use]
    pub fn aggregated(&self) -> Delta {
        let mut sums: Vec<Record> = Vec::new();
        for cell in &self.cells {
            let key = (cell.record.source.epoch, &cell.record.key);
            match sums.binary_search_by(|r| (r.source.epoch, &r.key).cmp(&key)) {
                Ok(index) => sums[index].counts.add(&cell.record.counts),
                Err(index) => {
                    let source = Source {
                        origin: self.origin.clone(),
                        incarnation: self.incarnation,
                        epoch: key.0,
                    };
                    let record = Record {
                        source,
                        ..cell.record.clone()
                    };
                    sums.insert(index, record);
                }
            }
        }
        Delta {
            epoch: self.epoch,
            records: sums,
        }
    }

    /// Returns the sequence number of the latest change.
    #[must_use]
    pub const fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns all records with their age in epochs.
    pub fn records(&self) -> impl Iterator<Item = (&Record, u32)> {
        self.cells
            .iter()
            .map(|c| (&c.record, self.age(c.record.source.epoch)))
    }

    /// Returns the sum of the counters whose key satisfies `filter`.
    #[must_use]
    pub fn total<F>(&self, filter: F) -> Counts
    where
        F: Fn(&Key) -> bool,
    {
        let mut total = Counts::default();
        for cell in &self.cells {
            if filter(&cell.record.key) {
                total.add(&cell.record.counts);
            }
        }
        total
    }

    const fn age(&self, epoch: u32) -> u32 {
        self.epoch.saturating_sub(epoch)
    }

    fn enter_epoch(&mut self, epoch: u32, now: Time) {
        self.epoch = epoch;
        self.epoch_started = now;
        self.cells
            .retain(|c| epoch.saturating_sub(c.record.source.epoch) < RETAINED_EPOCHS);
    }

    fn cell_mut(&mut self, source: &Source, key: &Key) -> &mut Cell {
        let found = self
            .cells
            .binary_search_by(|c| (&c.record.source, &c.record.key).cmp(&(source, key)));
        let index = found.unwrap_or_else(|index| {
            let record = Record {
                source: source.clone(),
                key: key.clone(),
                counts: Counts::default(),
            };
            self.cells.insert(
                index,
                Cell {
                    record,
                    changed_at: 0,
                },
            );
            index
        });
        &mut self.cells[index]
    }
}
