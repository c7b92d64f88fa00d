//! Evidence about versions: pooled counters that merge without double counting.
//!
//! Each instance writes only its own counters, which never fall. A cell is
//! known by origin, incarnation, epoch and [`Key`], so merging takes the larger
//! value of each field (the grow-only counter of Shapiro et al., "A
//! comprehensive study of Convergent and Commutative Replicated Data Types",
//! 2011). Epochs number the age of evidence; an instance moves on by its own
//! clock and jumps to a higher epoch that it hears of.

use serde::{Deserialize, Serialize};

use crate::{
    name, request,
    time::{Span, Time},
};

pub mod counts;

pub use counts::{Counts, Event};

/// Length of an epoch.
pub const EPOCH_LENGTH: Span = Span::from_secs(600);

/// Epochs whose counters are kept.
pub const RETAINED_EPOCHS: u32 = 36;

/// The side of a comparison that a request is on.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Arm {
    /// No comparison.
    #[default]
    Plain,
    /// The version in rollout on trial requests, in the stage that began at this revision.
    Candidate(u64),
    /// The baseline version on trial requests at the same time, in the same stage.
    Control(u64),
    /// The version in rollout in its baseline's place, in the stage that began at this revision.
    Share(u64),
}

/// The place of a version in its plan.
///
/// Answers that a cascade keeps are better than the version's average, and
/// requests that reach its second step are harder; each is counted apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// The only step.
    Alone,
    /// The first step of a cascade; ratings are of answers that were kept.
    First,
    /// The second step of a cascade.
    Second,
}

impl Role {
    /// Returns the role of step `at` of a plan with `steps` steps.
    #[must_use]
    pub const fn of(at: usize, steps: usize) -> Self {
        match (at, steps) {
            (_, 0 | 1) => Self::Alone,
            (0, _) => Self::First,
            _ => Self::Second,
        }
    }
}

plain! {
    /// What a counter is about.
    #[derive(Eq, PartialOrd, Ord, Hash)]
    pub struct Key {
        /// The version that ran.
        pub version: name::Version,
        /// The kind of request.
        pub task: name::Task,
        /// Its size class.
        pub size: request::Size,
        /// The version's place in the plan.
        pub role: Role,
        /// The side of a comparison.
        pub arm: Arm,
    }

    /// Where and when counters were written.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct Source {
        /// The instance that counted.
        pub origin: name::Instance,
        /// Its incarnation; a restart begins new counters.
        pub incarnation: u64,
        /// The epoch.
        pub epoch: u32,
    }

    /// Counters as they travel.
    #[derive(Eq)]
    pub struct Record {
        /// Where and when.
        pub source: Source,
        /// What about.
        pub key: Key,
        /// The counters.
        pub counts: Counts,
    }

    /// Records that changed since a mark.
    #[derive(Default)]
    pub struct Delta {
        /// The sender's epoch.
        pub epoch: u32,
        /// The records.
        pub records: Vec<Record>,
    }
}

/// A record and when it last changed here.
#[derive(Clone, Debug)]
struct Cell {
    record: Record,
    changed: u64,
}

/// All evidence that an instance knows of.
#[derive(Clone, Debug)]
pub struct Pool {
    origin: name::Instance,
    incarnation: u64,
    epoch: u32,
    epoch_began: Time,
    mark: u64,
    /// Sorted by source and key.
    cells: Vec<Cell>,
}

impl Pool {
    /// Returns an empty pool of an instance.
    #[must_use]
    pub const fn new(origin: name::Instance, incarnation: u64, now: Time) -> Self {
        Self {
            origin,
            incarnation,
            epoch: 0,
            epoch_began: now,
            mark: 0,
            cells: Vec::new(),
        }
    }

    /// Counts an event of the pool's own instance.
    pub fn record(&mut self, key: &Key, event: Event) {
        let source = Source {
            origin: self.origin.clone(),
            incarnation: self.incarnation,
            epoch: self.epoch,
        };
        self.mark += 1;
        let mark = self.mark;
        let cell = self.cell(&source, key);
        cell.record.counts.add_event(event);
        cell.changed = mark;
    }

    /// Moves to the next epoch when the current one is over, and drops old ones.
    pub fn tick(&mut self, now: Time) {
        if now.since(self.epoch_began) >= EPOCH_LENGTH {
            self.enter(self.epoch + 1, now);
        }
    }

    /// Merges records of other instances. Repeats and any order give the same pool.
    pub fn merge(&mut self, delta: &Delta, now: Time) {
        let newest = delta.records.iter().map(|r| r.source.epoch).max();
        let epoch = delta.epoch.max(newest.unwrap_or(0));
        if epoch > self.epoch {
            self.enter(epoch, now);
        }
        for record in &delta.records {
            if self.age(record.source.epoch) < RETAINED_EPOCHS {
                self.merge_record(record);
            }
        }
    }

    fn merge_record(&mut self, record: &Record) {
        let mark = self.mark + 1;
        let cell = self.cell(&record.source, &record.key);
        if cell.record.counts.merge(&record.counts) {
            cell.changed = mark;
            self.mark = mark;
        }
    }

    /// Returns the records that changed after `mark`; [`Pool::sequence`] is the next mark to use.
    #[must_use]
    pub fn delta_since(&self, sequence: u64) -> Delta {
        let changed = self.cells.iter().filter(|c| c.changed > sequence);
        Delta {
            epoch: self.epoch,
            records: changed.map(|c| c.record.clone()).collect(),
        }
    }

    /// Drops all records.
    pub fn clear(&mut self) {
        self.cells.clear();
    }

    /// Returns the sums over all origins, as records of this pool's own instance.
    ///
    /// A receiver must keep them apart from records of the instances, or it
    /// counts twice.
    #[must_use]
    pub fn aggregated(&self) -> Delta {
        let mut sums: Vec<Record> = Vec::new();
        for cell in &self.cells {
            let key = (cell.record.source.epoch, &cell.record.key);
            match sums.binary_search_by(|r| (r.source.epoch, &r.key).cmp(&key)) {
                Ok(at) => sums[at].counts.add(&cell.record.counts),
                Err(at) => {
                    let source = Source {
                        origin: self.origin.clone(),
                        incarnation: self.incarnation,
                        epoch: key.0,
                    };
                    let record = Record {
                        source,
                        ..cell.record.clone()
                    };
                    sums.insert(at, record);
                }
            }
        }
        Delta {
            epoch: self.epoch,
            records: sums,
        }
    }

    /// Returns the mark of the latest change.
    #[must_use]
    pub const fn sequence(&self) -> u64 {
        self.mark
    }

    /// Returns all records with their age in epochs.
    pub fn records(&self) -> impl Iterator<Item = (&Record, u32)> {
        self.cells
            .iter()
            .map(|c| (&c.record, self.age(c.record.source.epoch)))
    }

    /// Returns the sum of the counters whose key passes `filter`.
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

    fn enter(&mut self, epoch: u32, now: Time) {
        self.epoch = epoch;
        self.epoch_began = now;
        self.cells
            .retain(|c| epoch.saturating_sub(c.record.source.epoch) < RETAINED_EPOCHS);
    }

    fn cell(&mut self, source: &Source, key: &Key) -> &mut Cell {
        let found = self
            .cells
            .binary_search_by(|c| (&c.record.source, &c.record.key).cmp(&(source, key)));
        let at = found.unwrap_or_else(|at| {
            let record = Record {
                source: source.clone(),
                key: key.clone(),
                counts: Counts::default(),
            };
            self.cells.insert(at, Cell { record, changed: 0 });
            at
        });
        &mut self.cells[at]
    }
}
