//! Decayed sums of evidence and partial pooling over versions, tasks and size classes.

use crate::{
    evidence::{Counts, Record, Role, counts},
    inventory,
};

use super::{
    MIN_P90_REQUESTS, PRIOR_DEVIATION, PRIOR_ESCALATION, PRIOR_P90_RATIO, PRIOR_RATINGS,
    PRIOR_REQUESTS, PRIOR_TOKENS, Prediction, RATING_DEVIATION, SIZE_DEVIATION, SIZES,
    STEP_DEVIATION, STEP_TASK_DEVIATION, TASK_DEVIATION, kept_quality_change,
    second_step_quality_change,
};

/// Fraction of answers whose time to the first token is at most the predicted percentile.
const FIRST_TOKEN_PERCENTILE: f64 = 0.9;

/// Estimate of a mean, with the variance of the estimate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Normal {
    /// The mean.
    pub mean: f64,
    /// The variance of the estimated mean.
    pub variance: f64,
}

impl Normal {
    /// Returns an estimate with this mean and variance.
    #[must_use]
    pub const fn new(mean: f64, variance: f64) -> Self {
        Self { mean, variance }
    }

    /// Returns the mean minus `deviations` standard deviations.
    #[must_use]
    pub fn lower_bound(&self, deviations: f64) -> f64 {
        self.mean - deviations * self.variance.sqrt()
    }

    /// Returns the probability that the true value is above `bound`.
    ///
    /// Approximates the normal distribution by the logistic function; the error is below 0.01.
    #[must_use]
    pub fn probability_above(&self, bound: f64) -> f64 {
        let deviations = (self.mean - bound) / self.variance.sqrt().max(f64::MIN_POSITIVE);
        1.0 / (1.0 + (-1.702 * deviations).exp())
    }

    /// Returns the partially pooled estimate of a member of a group.
    ///
    /// `self` is the group's mean, `member_variance` the variance of members
    /// around it and `measured` the member's measured mean, which is shrunk
    /// towards the group's.
    #[must_use]
    pub fn member_estimate(self, member_variance: f64, measured: Option<Self>) -> Self {
        let data_weight =
            measured.map_or(0.0, |m| member_variance / (member_variance + m.variance));
        let mean = measured.map_or(self.mean, |m| {
            self.mean + data_weight * (m.mean - self.mean)
        });
        let prior_weight = 1.0 - data_weight;
        Self::new(
            mean,
            prior_weight * member_variance + prior_weight * prior_weight * self.variance,
        )
    }

    /// Returns the mean of independent estimates, weighted by precision (inverse variance).
    fn pooled<I>(estimates: I) -> Option<Self>
    where
        I: Iterator<Item = Self>,
    {
        let (weight, sum) = estimates.fold((0.0, 0.0), |(weight, sum), e| {
            let precision = 1.0 / e.variance;
            (weight + precision, sum + precision * e.mean)
        });
        (weight > 0.0).then(|| Self::new(sum / weight, 1.0 / weight))
    }
}

/// Decayed sums of ratings.
#[derive(Clone, Copy, Debug, Default)]
struct Ratings {
    count: f64,
    sum: f64,
    squares: f64,
}

impl Ratings {
    #[expect(clippy::cast_precision_loss)]
    fn add(&mut self, counts: &Counts, weight: f64) {
        self.count += weight * counts.ratings as f64;
        self.sum += weight * counts.rating_total();
        self.squares += weight * counts.rating_square_total();
    }

    fn mean(&self, variance: f64) -> Option<Normal> {
        (self.count > 0.0).then(|| Normal::new(self.sum / self.count, variance / self.count))
    }

    fn squared_errors(&self) -> f64 {
        if self.count > 0.0 {
            (self.squares - self.sum * self.sum / self.count).max(0.0)
        } else {
            0.0
        }
    }
}

/// Decayed sums of evidence about a version on a task and size class.
#[derive(Clone, Copy, Debug, Default)]
struct Cell {
    alone: Ratings,
    /// Ratings of answers that a cascade kept from the version as first step.
    first: Ratings,
    second: Ratings,
    /// Completed answers as first step of a cascade.
    first_steps: f64,
    /// Those of them that were escalated.
    escalated: f64,
    completed: f64,
    tokens: f64,
}

/// Decayed sums of latencies of a version on a size class.
#[derive(Clone, Debug, Default)]
struct Latencies {
    completed: f64,
    first_ms: f64,
    /// Completed answers by bucket of the time to the first token.
    buckets: Vec<f64>,
    stream_ms: f64,
    /// Intervals between consecutive tokens of an answer.
    token_intervals: f64,
}

/// Decayed sums of all evidence, by version, task and size class.
pub struct Sums {
    tasks: usize,
    cells: Vec<Cell>,
    latencies: Vec<Latencies>,
}

impl Sums {
    pub fn new(versions: usize, tasks: usize) -> Self {
        Self {
            tasks,
            cells: vec![Cell::default(); versions * tasks * SIZES.len()],
            latencies: vec![Latencies::default(); versions * SIZES.len()],
        }
    }

    const fn index(&self, version: usize, task: usize, size: usize) -> usize {
        (version * self.tasks + task) * SIZES.len() + size
    }

    #[expect(clippy::cast_precision_loss)]
    pub fn add(&mut self, indices: (usize, usize, usize), record: &Record, weight: f64) {
        let (version, task, size) = indices;
        let counts = &record.counts;
        let index = self.index(version, task, size);
        let cell = &mut self.cells[index];
        match record.key.role {
            Role::Alone => cell.alone.add(counts, weight),
            Role::Second => cell.second.add(counts, weight),
            Role::First => {
                cell.first.add(counts, weight);
                cell.first_steps += weight * counts.completed as f64;
                cell.escalated += weight * counts.escalated as f64;
            }
        }
        cell.completed += weight * counts.completed as f64;
        cell.tokens += weight * counts.tokens as f64;
        self.latencies[version * SIZES.len() + size].add(counts, weight);
    }

    /// Appends the predictions for a version, ordered by task and size class.
    pub fn predict(
        &self,
        version: usize,
        inventory_version: &inventory::Version,
        predictions: &mut Vec<Prediction>,
    ) {
        let rating_variance = self.rating_variance(version);
        let task_means: Vec<_> = (0..self.tasks)
            .map(|task| self.task_mean(version, task, rating_variance))
            .collect();
        let task_variance = TASK_DEVIATION * TASK_DEVIATION;
        let prior = Normal::new(
            inventory_version.prior_quality,
            PRIOR_DEVIATION * PRIOR_DEVIATION,
        );
        let version_mean = Normal::pooled(
            (task_means.iter().flatten())
                .map(|m| Normal::new(m.mean, m.variance + task_variance))
                .chain([prior]),
        )
        .unwrap_or(prior);
        let size_variance = SIZE_DEVIATION * SIZE_DEVIATION;
        let alone_quality: Vec<_> = (task_means.into_iter().enumerate())
            .flat_map(|(task, measured)| {
                let mean = version_mean.member_estimate(task_variance, measured);
                (0..SIZES.len()).map(move |size| {
                    let cell = &self.cells[self.index(version, task, size)];
                    mean.member_estimate(size_variance, cell.alone.mean(rating_variance))
                })
            })
            .collect();
        let kept_quality = self.step_quality(
            version,
            &alone_quality,
            rating_variance,
            |c| &c.first,
            kept_quality_change,
        );
        let second_step_quality = self.step_quality(
            version,
            &alone_quality,
            rating_variance,
            |c| &c.second,
            second_step_quality_change,
        );
        let version_escalation = self.escalation(version, 0..self.tasks, PRIOR_ESCALATION);
        for (index, alone_quality) in alone_quality.into_iter().enumerate() {
            let (task, size) = (index / SIZES.len(), index % SIZES.len());
            let (first_token_ms, first_token_p90_ms, inter_token_ms) =
                self.latency(version, size, inventory_version);
            predictions.push(Prediction {
                alone_quality,
                kept_quality: kept_quality[index],
                second_step_quality: second_step_quality[index],
                escalation_probability: self.escalation(
                    version,
                    task..task + 1,
                    version_escalation,
                ),
                first_token_ms,
                first_token_p90_ms,
                inter_token_ms,
            });
        }
    }

    /// Returns the quality of a version as a cascade step, by task and size class.
    ///
    /// The step's quality is the quality alone plus an expected change plus a
    /// deviation from that change, which all tasks and sizes of the version share.
    fn step_quality<R, C>(
        &self,
        version: usize,
        alone_quality: &[Normal],
        rating_variance: f64,
        ratings: R,
        change: C,
    ) -> Vec<Normal>
    where
        R: Fn(&Cell) -> &Ratings,
        C: Fn(f64) -> f64,
    {
        let start = self.index(version, 0, 0);
        let step_task_variance = STEP_TASK_DEVIATION * STEP_TASK_DEVIATION;
        let deviations = alone_quality
            .iter()
            .enumerate()
            .filter_map(|(index, alone_quality)| {
                let measured = ratings(&self.cells[start + index]).mean(rating_variance)?;
                let mean = measured.mean - alone_quality.mean - change(alone_quality.mean);
                Some(Normal::new(
                    mean,
                    measured.variance + alone_quality.variance + step_task_variance,
                ))
            });
        let prior = Normal::new(0.0, STEP_DEVIATION * STEP_DEVIATION);
        let shared_change = Normal::pooled(deviations.chain([prior])).unwrap_or(prior);
        (alone_quality.iter().enumerate())
            .map(|(index, alone_quality)| {
                let mean = alone_quality.mean + change(alone_quality.mean) + shared_change.mean;
                let measured = ratings(&self.cells[start + index]).mean(rating_variance);
                let member_variance =
                    step_task_variance + alone_quality.variance + shared_change.variance;
                Normal::new(mean, 0.0).member_estimate(member_variance, measured)
            })
            .collect()
    }

    /// Returns the variance of single ratings of a version that runs alone.
    fn rating_variance(&self, version: usize) -> f64 {
        let cells = &self.cells[self.index(version, 0, 0)..self.index(version + 1, 0, 0)];
        let ratings = || cells.iter().map(|c| c.alone);
        let errors: f64 = ratings().map(|r| r.squared_errors()).sum();
        let count: f64 = ratings().map(|r| r.count).sum();
        let prior = RATING_DEVIATION * RATING_DEVIATION;
        (PRIOR_RATINGS * prior + errors) / (PRIOR_RATINGS + count)
    }

    /// Returns the mean quality over the size classes of a task that have ratings.
    fn task_mean(&self, version: usize, task: usize, rating_variance: f64) -> Option<Normal> {
        let size_variance = SIZE_DEVIATION * SIZE_DEVIATION;
        Normal::pooled((0..SIZES.len()).filter_map(|size| {
            let measured = self.cells[self.index(version, task, size)]
                .alone
                .mean(rating_variance)?;
            Some(Normal::new(
                measured.mean,
                measured.variance + size_variance,
            ))
        }))
    }

    /// Returns the probability of escalation over a range of tasks.
    fn escalation(&self, version: usize, tasks: std::ops::Range<usize>, prior: f64) -> f64 {
        let cells =
            &self.cells[self.index(version, tasks.start, 0)..self.index(version, tasks.end, 0)];
        let steps: f64 = cells.iter().map(|c| c.first_steps).sum();
        let escalated: f64 = cells.iter().map(|c| c.escalated).sum();
        ((PRIOR_REQUESTS * prior + escalated) / (PRIOR_REQUESTS + steps)).min(1.0)
    }

    /// Returns the mean and the ninetieth percentile of milliseconds to the first token, and the mean between tokens.
    #[expect(clippy::cast_precision_loss)]
    fn latency(
        &self,
        version: usize,
        size: usize,
        inventory_version: &inventory::Version,
    ) -> (f64, f64, f64) {
        let all = &self.latencies[version * SIZES.len()..(version + 1) * SIZES.len()];
        let latencies = &all[size];
        let first_ms_sum: f64 = all.iter().map(|t| t.first_ms).sum();
        let completed: f64 = all.iter().map(|t| t.completed).sum();
        let version_mean = (PRIOR_REQUESTS * inventory_version.prior_first_ms as f64
            + first_ms_sum)
            / (PRIOR_REQUESTS + completed);
        let first_token_ms = (PRIOR_REQUESTS * version_mean + latencies.first_ms)
            / (PRIOR_REQUESTS + latencies.completed);
        let stream_ms_sum: f64 = all.iter().map(|t| t.stream_ms).sum();
        let token_intervals: f64 = all.iter().map(|t| t.token_intervals).sum();
        let inter_token_ms = (PRIOR_TOKENS * inventory_version.prior_token_ms + stream_ms_sum)
            / (PRIOR_TOKENS + token_intervals);
        let p90_ms = latencies
            .first_token_percentile()
            .unwrap_or(first_token_ms * PRIOR_P90_RATIO);
        (first_token_ms, p90_ms.max(first_token_ms), inter_token_ms)
    }

    /// Returns mean answer tokens by task and size class, over all versions.
    pub fn answer_tokens(&self) -> Vec<Option<f64>> {
        let row = self.tasks * SIZES.len();
        (0..row)
            .map(|index| {
                let cells = self.cells.iter().skip(index).step_by(row);
                let (completed, tokens) = cells.fold((0.0, 0.0), |(completed, tokens), c| {
                    (completed + c.completed, tokens + c.tokens)
                });
                (completed >= PRIOR_REQUESTS).then(|| tokens / completed)
            })
            .collect()
    }
}

impl Latencies {
    #[expect(clippy::cast_precision_loss)]
    fn add(&mut self, counts: &Counts, weight: f64) {
        self.completed += weight * counts.completed as f64;
        self.first_ms += weight * counts.first_ms as f64;
        self.stream_ms += weight * counts.stream_ms as f64;
        self.token_intervals += weight * counts.tokens.saturating_sub(counts.completed) as f64;
        if self.buckets.len() < counts.first_buckets.len() {
            self.buckets.resize(counts.first_buckets.len(), 0.0);
        }
        for (sum, count) in self.buckets.iter_mut().zip(&counts.first_buckets) {
            *sum += weight * *count as f64;
        }
    }

    /// Returns the upper bound of the bucket that contains the percentile [`FIRST_TOKEN_PERCENTILE`].
    ///
    /// Returns `None` below [`MIN_P90_REQUESTS`] completed answers.
    fn first_token_percentile(&self) -> Option<f64> {
        if self.completed < MIN_P90_REQUESTS {
            return None;
        }
        let mut remaining = self.completed * FIRST_TOKEN_PERCENTILE;
        for (index, count) in self.buckets.iter().enumerate() {
            remaining -= count;
            if remaining <= 0.0 {
                return Some(counts::bucket_bound(index));
            }
        }
        None
    }
}
