//! Aged sums of evidence and the pooling of their levels.

use crate::{
    evidence::{Counts, Record, Role, counts},
    inventory,
};

use super::{
    PRIOR_DEVIATION, PRIOR_ESCALATION, PRIOR_RATINGS, PRIOR_REQUESTS, PRIOR_TAIL, PRIOR_TOKENS,
    Prediction, RATING_DEVIATION, SIZE_DEVIATION, SIZES, STEP_DEVIATION, STEP_TASK_DEVIATION,
    TAIL_REQUESTS, TASK_DEVIATION, kept_change, second_change,
};

/// Percentile of the first token's time that deadlines are checked against.
const TAIL_SHARE: f64 = 0.9;

/// A mean with its variance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Normal {
    /// The mean.
    pub mean: f64,
    /// The variance of the mean.
    pub variance: f64,
}

impl Normal {
    /// Returns a mean with its variance.
    #[must_use]
    pub const fn new(mean: f64, variance: f64) -> Self {
        Self { mean, variance }
    }

    /// Returns the mean minus `deviations` standard deviations.
    #[must_use]
    pub fn lower(&self, deviations: f64) -> f64 {
        self.mean - deviations * self.variance.sqrt()
    }

    /// Returns the probability that the true value is above `bound`.
    ///
    /// The logistic function stands in for the normal distribution; it differs by less than 0.01.
    #[must_use]
    pub fn chance_above(&self, bound: f64) -> f64 {
        let deviations = (self.mean - bound) / self.variance.sqrt().max(f64::MIN_POSITIVE);
        1.0 / (1.0 + (-1.702 * deviations).exp())
    }

    /// Returns the estimate of a member of a group.
    ///
    /// `self` is the group's mean, `spread` the variance of members around it
    /// and `own` the member's measured mean.
    #[must_use]
    pub fn member(self, spread: f64, own: Option<Self>) -> Self {
        let trust = own.map_or(0.0, |o| spread / (spread + o.variance));
        let mean = own.map_or(self.mean, |o| self.mean + trust * (o.mean - self.mean));
        let rest = 1.0 - trust;
        Self::new(mean, rest * spread + rest * rest * self.variance)
    }

    /// Returns the mean of independent estimates, weighted by their certainty.
    fn pooled<I>(estimates: I) -> Option<Self>
    where
        I: Iterator<Item = Self>,
    {
        let (weight, sum) = estimates.fold((0.0, 0.0), |(weight, sum), e| {
            let own = 1.0 / e.variance;
            (weight + own, sum + own * e.mean)
        });
        (weight > 0.0).then(|| Self::new(sum / weight, 1.0 / weight))
    }
}

/// Aged ratings.
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

/// Aged evidence of a version on a task and size.
#[derive(Clone, Copy, Debug, Default)]
struct Cell {
    alone: Ratings,
    first: Ratings,
    second: Ratings,
    first_steps: f64,
    escalated: f64,
    completed: f64,
    tokens: f64,
}

/// Aged times of a version on a size.
#[derive(Clone, Debug, Default)]
struct Times {
    completed: f64,
    first_ms: f64,
    buckets: Vec<f64>,
    stream_ms: f64,
    gaps: f64,
}

/// Aged sums of all evidence, by version, task and size.
pub struct Sums {
    tasks: usize,
    cells: Vec<Cell>,
    times: Vec<Times>,
}

impl Sums {
    pub fn new(versions: usize, tasks: usize) -> Self {
        Self {
            tasks,
            cells: vec![Cell::default(); versions * tasks * SIZES.len()],
            times: vec![Times::default(); versions * SIZES.len()],
        }
    }

    const fn at(&self, version: usize, task: usize, size: usize) -> usize {
        (version * self.tasks + task) * SIZES.len() + size
    }

    #[expect(clippy::cast_precision_loss)]
    pub fn add(&mut self, place: (usize, usize, usize), record: &Record, weight: f64) {
        let (version, task, size) = place;
        let counts = &record.counts;
        let at = self.at(version, task, size);
        let cell = &mut self.cells[at];
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
        self.times[version * SIZES.len() + size].add(counts, weight);
    }

    /// Appends the predictions of a version for all tasks and sizes.
    pub fn predict(&self, version: usize, entry: &inventory::Version, into: &mut Vec<Prediction>) {
        let rating_variance = self.rating_variance(version);
        let task_means: Vec<_> = (0..self.tasks)
            .map(|task| self.task_mean(version, task, rating_variance))
            .collect();
        let spread = TASK_DEVIATION * TASK_DEVIATION;
        let prior = Normal::new(entry.prior_quality, PRIOR_DEVIATION * PRIOR_DEVIATION);
        let whole = Normal::pooled(
            (task_means.iter().flatten())
                .map(|m| Normal::new(m.mean, m.variance + spread))
                .chain([prior]),
        )
        .unwrap_or(prior);
        let size_spread = SIZE_DEVIATION * SIZE_DEVIATION;
        let alone: Vec<_> = (task_means.into_iter().enumerate())
            .flat_map(|(task, own)| {
                let mean = whole.member(spread, own);
                (0..SIZES.len()).map(move |size| {
                    let cell = &self.cells[self.at(version, task, size)];
                    mean.member(size_spread, cell.alone.mean(rating_variance))
                })
            })
            .collect();
        let first = self.step(version, &alone, rating_variance, |c| &c.first, kept_change);
        let second = self.step(
            version,
            &alone,
            rating_variance,
            |c| &c.second,
            second_change,
        );
        let escalation = self.escalation(version, 0..self.tasks, PRIOR_ESCALATION);
        for (at, alone) in alone.into_iter().enumerate() {
            let (task, size) = (at / SIZES.len(), at % SIZES.len());
            let (first_ms, first_high_ms, token_ms) = self.times(version, size, entry);
            into.push(Prediction {
                alone,
                kept: first[at],
                second: second[at],
                escalation: self.escalation(version, task..task + 1, escalation),
                first_ms,
                first_high_ms,
                token_ms,
            });
        }
    }

    /// Returns the quality of a version as a step of cascades, by task and size.
    ///
    /// A step changes quality by an expected amount plus the version's own
    /// deviation from it, which all tasks and sizes share.
    fn step<R, C>(
        &self,
        version: usize,
        alone: &[Normal],
        variance: f64,
        ratings: R,
        change: C,
    ) -> Vec<Normal>
    where
        R: Fn(&Cell) -> &Ratings,
        C: Fn(f64) -> f64,
    {
        let start = self.at(version, 0, 0);
        let own = STEP_TASK_DEVIATION * STEP_TASK_DEVIATION;
        let deviations = alone.iter().enumerate().filter_map(|(at, alone)| {
            let measured = ratings(&self.cells[start + at]).mean(variance)?;
            let mean = measured.mean - alone.mean - change(alone.mean);
            Some(Normal::new(mean, measured.variance + alone.variance + own))
        });
        let prior = Normal::new(0.0, STEP_DEVIATION * STEP_DEVIATION);
        let shared = Normal::pooled(deviations.chain([prior])).unwrap_or(prior);
        (alone.iter().enumerate())
            .map(|(at, alone)| {
                let mean = alone.mean + change(alone.mean) + shared.mean;
                let measured = ratings(&self.cells[start + at]).mean(variance);
                let spread = own + alone.variance + shared.variance;
                Normal::new(mean, 0.0).member(spread, measured)
            })
            .collect()
    }

    /// Returns the variance of single ratings.
    fn rating_variance(&self, version: usize) -> f64 {
        let cells = &self.cells[self.at(version, 0, 0)..self.at(version + 1, 0, 0)];
        let ratings = || cells.iter().map(|c| c.alone);
        let errors: f64 = ratings().map(|r| r.squared_errors()).sum();
        let count: f64 = ratings().map(|r| r.count).sum();
        let prior = RATING_DEVIATION * RATING_DEVIATION;
        (PRIOR_RATINGS * prior + errors) / (PRIOR_RATINGS + count)
    }

    /// Returns the mean over the sizes of a task that have ratings.
    fn task_mean(&self, version: usize, task: usize, variance: f64) -> Option<Normal> {
        let spread = SIZE_DEVIATION * SIZE_DEVIATION;
        Normal::pooled((0..SIZES.len()).filter_map(|size| {
            let own = self.cells[self.at(version, task, size)]
                .alone
                .mean(variance)?;
            Some(Normal::new(own.mean, own.variance + spread))
        }))
    }

    /// Returns the probability of escalation over some tasks.
    fn escalation(&self, version: usize, tasks: std::ops::Range<usize>, prior: f64) -> f64 {
        let cells = &self.cells[self.at(version, tasks.start, 0)..self.at(version, tasks.end, 0)];
        let steps: f64 = cells.iter().map(|c| c.first_steps).sum();
        let escalated: f64 = cells.iter().map(|c| c.escalated).sum();
        ((PRIOR_REQUESTS * prior + escalated) / (PRIOR_REQUESTS + steps)).min(1.0)
    }

    /// Returns mean and high milliseconds to the first token, and milliseconds between tokens.
    #[expect(clippy::cast_precision_loss)]
    fn times(&self, version: usize, size: usize, entry: &inventory::Version) -> (f64, f64, f64) {
        let all = &self.times[version * SIZES.len()..(version + 1) * SIZES.len()];
        let own = &all[size];
        let first_sum: f64 = all.iter().map(|t| t.first_ms).sum();
        let completed: f64 = all.iter().map(|t| t.completed).sum();
        let whole = (PRIOR_REQUESTS * entry.prior_first_ms as f64 + first_sum)
            / (PRIOR_REQUESTS + completed);
        let first = (PRIOR_REQUESTS * whole + own.first_ms) / (PRIOR_REQUESTS + own.completed);
        let stream: f64 = all.iter().map(|t| t.stream_ms).sum();
        let gaps: f64 = all.iter().map(|t| t.gaps).sum();
        let token = (PRIOR_TOKENS * entry.prior_token_ms + stream) / (PRIOR_TOKENS + gaps);
        let high = own.tail().unwrap_or(first * PRIOR_TAIL);
        (first, high.max(first), token)
    }

    /// Returns mean answer tokens by task and size, over all versions.
    pub fn answer_tokens(&self) -> Vec<Option<f64>> {
        let row = self.tasks * SIZES.len();
        (0..row)
            .map(|at| {
                let cells = self.cells.iter().skip(at).step_by(row);
                let (completed, tokens) = cells.fold((0.0, 0.0), |(completed, tokens), c| {
                    (completed + c.completed, tokens + c.tokens)
                });
                (completed >= PRIOR_REQUESTS).then(|| tokens / completed)
            })
            .collect()
    }
}

impl Times {
    #[expect(clippy::cast_precision_loss)]
    fn add(&mut self, counts: &Counts, weight: f64) {
        self.completed += weight * counts.completed as f64;
        self.first_ms += weight * counts.first_ms as f64;
        self.stream_ms += weight * counts.stream_ms as f64;
        self.gaps += weight * counts.tokens.saturating_sub(counts.completed) as f64;
        if self.buckets.len() < counts.first_buckets.len() {
            self.buckets.resize(counts.first_buckets.len(), 0.0);
        }
        for (mine, theirs) in self.buckets.iter_mut().zip(&counts.first_buckets) {
            *mine += weight * *theirs as f64;
        }
    }

    /// Returns the bound of the bucket that the share [`TAIL_SHARE`] of answers keeps to.
    fn tail(&self) -> Option<f64> {
        if self.completed < TAIL_REQUESTS {
            return None;
        }
        let mut left = self.completed * TAIL_SHARE;
        for (at, count) in self.buckets.iter().enumerate() {
            left -= count;
            if left <= 0.0 {
                return Some(counts::bucket_bound(at));
            }
        }
        None
    }
}
