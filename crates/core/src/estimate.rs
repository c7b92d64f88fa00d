//! Predictions of quality, time and cost from evidence.
//!
//! Quality is estimated by partial pooling in a random-effects model (Gelman and
//! Hill, "Data Analysis Using Regression and Multilevel Models", chapter 12). Its
//! levels are the version's stated prior, the version, its tasks and their size
//! classes. The weight of evidence is multiplied by [`EPOCH_DECAY`] each epoch,
//! so without new ratings a prediction returns to the prior and its deviation grows.
//!
//! Ratings belong to the epoch in which they arrive, however late. Requests
//! without a rating don't affect predicted quality. While no ratings arrive,
//! predictions rest on the decayed older ones and on the priors.

use crate::{
    config, evidence, inventory, name,
    request::{self, Size},
};

mod pooling;

pub use pooling::Normal;

/// Factor by which the weight of evidence is multiplied each epoch.
pub const EPOCH_DECAY: f64 = 0.9;

/// Standard deviation of a version's mean quality around its stated prior.
pub const PRIOR_DEVIATION: f64 = 0.05;

/// Standard deviation of a task's quality around the version's mean.
pub const TASK_DEVIATION: f64 = 0.04;

/// Standard deviation of a size class's quality around the task's mean.
pub const SIZE_DEVIATION: f64 = 0.02;

/// Standard deviation of a version's change of quality as a cascade step around the expected change.
pub const STEP_DEVIATION: f64 = 0.05;

/// Standard deviation of a step's change of quality on a task and size around the version's mean change.
pub const STEP_TASK_DEVIATION: f64 = 0.02;

/// Standard deviation of single ratings before any has arrived.
pub const RATING_DEVIATION: f64 = 0.3;

/// Fraction of the gap to quality 1 that is closed by keeping only confident answers, before any rating.
pub const KEPT_QUALITY_GAIN: f64 = 0.4;

/// Quality lost on the harder requests that reach a second step, before any rating.
pub const SECOND_STEP_LOSS: f64 = 0.04;

/// Probability of escalation before any first step has run.
pub const PRIOR_ESCALATION: f64 = 0.35;

/// Weight of the priors of escalation and of the time to the first token, in requests.
const PRIOR_REQUESTS: f64 = 10.0;

/// Weight of the prior variance of single ratings, in ratings.
const PRIOR_RATINGS: f64 = 20.0;

/// Weight of the prior time between tokens, in tokens.
const PRIOR_TOKENS: f64 = 500.0;

/// Ratio of the ninetieth percentile of the time to the first token to its mean, until enough answers have completed.
const PRIOR_P90_RATIO: f64 = 1.6;

/// Weighted completed answers from which the measured percentile is used.
const MIN_P90_REQUESTS: f64 = 30.0;

/// All size classes, in index order.
const SIZES: [Size; 3] = [Size::Small, Size::Medium, Size::Large];

/// Predicted quality, escalation and latency of a version for a task and size class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prediction {
    /// Quality when the version is the only step.
    pub alone_quality: Normal,
    /// Quality of the answers that a cascade keeps when the version is its first step.
    pub kept_quality: Normal,
    /// Quality when the version is the second step of a cascade.
    pub second_step_quality: Normal,
    /// Probability that a cascade escalates when the version is its first step.
    pub escalation_probability: f64,
    /// Mean milliseconds to the first token.
    pub first_token_ms: f64,
    /// Ninetieth percentile of milliseconds to the first token.
    pub first_token_p90_ms: f64,
    /// Mean milliseconds between two tokens.
    pub inter_token_ms: f64,
}

impl Prediction {
    /// Returns the prediction for a version without evidence.
    #[must_use]
    #[expect(clippy::cast_precision_loss)]
    pub fn prior(version: &inventory::Version) -> Self {
        let deviation = PRIOR_DEVIATION.hypot(TASK_DEVIATION).hypot(SIZE_DEVIATION);
        let alone_quality = Normal::new(version.prior_quality, deviation * deviation);
        let first_token_ms = version.prior_first_ms as f64;
        let step_quality = |change: fn(f64) -> f64| {
            let deviation = STEP_DEVIATION.hypot(STEP_TASK_DEVIATION);
            Normal::new(
                alone_quality.mean + change(alone_quality.mean),
                alone_quality.variance + deviation * deviation,
            )
        };
        Self {
            alone_quality,
            kept_quality: step_quality(kept_quality_change),
            second_step_quality: step_quality(second_step_quality_change),
            escalation_probability: PRIOR_ESCALATION,
            first_token_ms,
            first_token_p90_ms: first_token_ms * PRIOR_P90_RATIO,
            inter_token_ms: version.prior_token_ms,
        }
    }
}

/// Returns the expected change of quality of a first step's kept answers against running alone.
fn kept_quality_change(alone_quality: f64) -> f64 {
    KEPT_QUALITY_GAIN * (1.0 - alone_quality)
}

/// Returns the expected change of quality of a second step's answers against running alone.
fn second_step_quality_change(alone_quality: f64) -> f64 {
    -SECOND_STEP_LOSS.min(alone_quality)
}

/// Number of requests sent to a version during one rollout stage.
#[derive(Clone, Debug, PartialEq)]
struct Exposure {
    version: name::Version,
    /// Revision at which the stage began.
    since: u64,
    started: u64,
}

/// Predictions for all versions of a configuration, by index of version, task and size class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Estimates {
    /// Sorted.
    versions: Vec<name::Version>,
    /// Sorted. One more row of predictions serves all tasks without a rule.
    tasks: Vec<name::Task>,
    /// Ordered by version, task and size class.
    predictions: Vec<Prediction>,
    /// Mean answer tokens by task and size class; `None` without enough completed answers.
    answer_tokens: Vec<Option<f64>>,
    /// Sorted by version and stage.
    exposures: Vec<Exposure>,
}

impl Estimates {
    /// Estimates without versions or tasks.
    pub const EMPTY: Self = Self {
        versions: Vec::new(),
        tasks: Vec::new(),
        predictions: Vec::new(),
        answer_tokens: Vec::new(),
        exposures: Vec::new(),
    };

    /// Computes the predictions for the configuration's versions from evidence.
    #[must_use]
    pub fn new(config: &config::Config, pool: &evidence::Pool) -> Self {
        let mut estimates = Self {
            versions: (config.inventory.versions.iter())
                .map(|v| v.name.clone())
                .collect(),
            tasks: config.rules.tasks.iter().map(|r| r.task.clone()).collect(),
            ..Self::default()
        };
        let task_rows = estimates.tasks.len() + 1;
        let mut sums = pooling::Sums::new(estimates.versions.len(), task_rows);
        for (record, age) in pool.records() {
            let weight = EPOCH_DECAY.powi(i32::try_from(age).unwrap_or(i32::MAX));
            estimates.add_exposure(record);
            if let Some(version) = estimates.version_index(&record.key.version) {
                let task = estimates.task_index(&record.key.task);
                let size = size_index(record.key.size);
                sums.add((version, task, size), record, weight);
            }
        }
        for (index, version) in config.inventory.versions.iter().enumerate() {
            sums.predict(index, version, &mut estimates.predictions);
        }
        estimates.answer_tokens = sums.answer_tokens();
        estimates
    }

    /// Adds the record's started requests to its rollout stage, if it belongs to one.
    fn add_exposure(&mut self, record: &evidence::Record) {
        let (evidence::Arm::Candidate(since) | evidence::Arm::Share(since)) = record.key.arm else {
            return;
        };
        let version = &record.key.version;
        let found =
            (self.exposures).binary_search_by(|e| (&e.version, e.since).cmp(&(version, since)));
        let index = found.unwrap_or_else(|index| {
            let exposure = Exposure {
                version: version.clone(),
                since,
                started: 0,
            };
            self.exposures.insert(index, exposure);
            index
        });
        self.exposures[index].started += record.counts.started;
    }

    /// Returns the index of a version, or `None` if there are no predictions for it.
    #[must_use]
    pub fn version_index(&self, name: &name::Version) -> Option<usize> {
        self.versions.binary_search(name).ok()
    }

    /// Returns the index of a task. All tasks without a rule share the last one.
    #[must_use]
    pub fn task_index(&self, name: &name::Task) -> usize {
        (self.tasks.binary_search(name)).unwrap_or(self.tasks.len())
    }

    /// Returns the prediction for a version, task and size class.
    ///
    /// # Panics
    ///
    /// Panics if the version's index is out of range; [`Estimates::version_index`] returns valid ones.
    #[must_use]
    pub fn prediction(&self, version: usize, task: usize, size: request::Size) -> &Prediction {
        let task_rows = self.tasks.len() + 1;
        &self.predictions[(version * task_rows + task) * SIZES.len() + size_index(size)]
    }

    /// Returns the expected answer tokens of a request that allows `max_tokens`.
    #[must_use]
    pub fn answer_tokens(&self, task: usize, size: request::Size, max_tokens: u32) -> f64 {
        let max_tokens = f64::from(max_tokens);
        let index = task * SIZES.len() + size_index(size);
        match self.answer_tokens.get(index) {
            Some(Some(mean)) => mean.min(max_tokens),
            // Requests typically allow about twice the tokens of their answers.
            _ => max_tokens / 2.0,
        }
    }

    /// Returns the number of requests sent to the version in the stage that began at revision `since`.
    #[must_use]
    pub fn exposure(&self, version: &name::Version, since: u64) -> u64 {
        (self.exposures)
            .binary_search_by(|e| (&e.version, e.since).cmp(&(version, since)))
            .map_or(0, |index| self.exposures[index].started)
    }

    /// Returns these estimates re-indexed for the versions and tasks of `config`.
    ///
    /// Predictions for known versions stay; new versions start from their priors.
    #[must_use]
    pub fn reindexed(&self, config: &config::Config) -> Self {
        let tasks: Vec<_> = config.rules.tasks.iter().map(|r| r.task.clone()).collect();
        let task_rows = tasks.iter().map(Some).chain([None]);
        let mut next = Self {
            exposures: self.exposures.clone(),
            ..Self::default()
        };
        for version in &config.inventory.versions {
            let known = self.version_index(&version.name);
            for task in task_rows.clone() {
                let row = task.map_or(self.tasks.len(), |t| self.task_index(t));
                next.predictions.extend(SIZES.map(|size| {
                    known.map_or_else(
                        || Prediction::prior(version),
                        |index| *self.prediction(index, row, size),
                    )
                }));
            }
            next.versions.push(version.name.clone());
        }
        for task in task_rows {
            let row = task.map_or(self.tasks.len(), |t| self.task_index(t));
            let index = row * SIZES.len();
            let known = self.answer_tokens.get(index..index + SIZES.len());
            next.answer_tokens
                .extend_from_slice(known.unwrap_or(&[None; SIZES.len()]));
        }
        next.tasks = tasks;
        next
    }
}

const fn size_index(size: Size) -> usize {
    match size {
        Size::Small => 0,
        Size::Medium => 1,
        Size::Large => 2,
    }
}
