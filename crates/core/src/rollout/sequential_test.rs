//! Sequential tests that compare two samples of losses from 0 to 1.
//!
//! The tests compute e-values by betting. For an assumed mean `m`, the e-value
//! is a product of one factor for each outcome, and its expectation does not
//! grow while `m` is the true mean. It therefore exceeds 1/a with probability a
//! at most, however often it is evaluated (Ville's inequality). The e-value of
//! two samples is the product of their e-values, at the `m` where it is
//! smallest. The method is that of Waudby-Smith and Ramdas, "Estimating means
//! of bounded random variables by betting" (2024), with fixed bets. The e-value
//! depends only on the counts so far and not on when it was evaluated, so a new
//! leader continues with the same value.

use crate::evidence::{Counts, counts::FIRST_TOKEN_BUCKETS};

/// Bets on the candidate, as fractions of the largest bet that keeps the e-value above 0.
///
/// They fit differences that show within some hundred outcomes.
const CANDIDATE_BETS: [f64; 5] = [0.06, 0.15, 0.3, 0.5, 0.8];

/// Bets on the control. It has many outcomes, so some of its bets fit smaller differences.
const CONTROL_BETS: [f64; 5] = [0.01, 0.05, 0.2, 0.5, 0.85];

/// Number of means in the initial grid search, evenly spaced in log odds.
const GRID_POINTS: usize = 48;

/// Log odds of the largest mean in the grid.
const MAX_LOG_ODDS: f64 = 9.0;

/// Steps of the ternary search for the minimum after the grid search.
const SEARCH_STEPS: usize = 24;

/// Z-score below which the e-value of a latency threshold is taken as 0 without computing it.
const MIN_LATENCY_Z_SCORE: f64 = 1.0;

/// Losses from 0 to 1 with the number of their occurrences.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sample {
    /// Pairs of a loss and its number of occurrences.
    levels: Vec<(f64, f64)>,
}

impl Sample {
    /// Creates a sample of `total` outcomes with `failures` losses of 1 and otherwise losses of 0.
    #[must_use]
    #[expect(clippy::cast_precision_loss)]
    pub fn binary(total: u64, failures: u64) -> Self {
        Self {
            levels: vec![
                (0.0, total.saturating_sub(failures) as f64),
                (1.0, failures as f64),
            ],
        }
    }

    /// Creates a sample of the ended requests in which each failed request is a loss.
    #[must_use]
    pub fn errors(counts: &Counts) -> Self {
        Self::binary(counts.ended(), counts.errors)
    }

    /// Creates a sample of the ended requests in which each crash is a loss.
    #[must_use]
    pub fn crashes(counts: &Counts) -> Self {
        Self::binary(counts.ended(), counts.crashes)
    }

    /// Creates a sample in which each time to the first token above the bound of `bucket` is a loss.
    #[must_use]
    pub fn slow_first_tokens(counts: &Counts, bucket: usize) -> Self {
        let slow = counts.first_buckets.iter().skip(bucket + 1).sum();
        Self::binary(counts.completed, slow)
    }

    /// Creates a sample of the differences between 1 and each rating.
    #[must_use]
    #[expect(clippy::cast_precision_loss)]
    pub fn rating_loss(counts: &Counts) -> Self {
        let levels = counts.rating_levels.iter().enumerate();
        Self {
            levels: (levels.filter(|(_, n)| **n > 0))
                .map(|(level, n)| (1.0 - level as f64 / 10.0, *n as f64))
                .collect(),
        }
    }

    /// Adds the losses of another sample, as half their difference from `centre` plus 0.5.
    pub fn add_centred(&mut self, other: &Self, centre: f64) {
        let centred = (other.levels.iter()).map(|(loss, n)| (0.5 + (loss - centre) / 2.0, *n));
        self.levels.extend(centred);
    }

    /// Returns the number of outcomes.
    #[must_use]
    pub fn size(&self) -> f64 {
        self.levels.iter().map(|(_, n)| n).sum()
    }

    /// Returns the mean loss, or 0 without outcomes.
    #[must_use]
    pub fn mean(&self) -> f64 {
        let sum: f64 = self.levels.iter().map(|(loss, n)| loss * n).sum();
        sum / self.size().max(1.0)
    }

    /// Returns the variance of the mean loss, with one loss of 0 and one of 1 added to the outcomes.
    #[must_use]
    pub fn variance(&self) -> f64 {
        let size = self.size() + 2.0;
        let sum: f64 = self.levels.iter().map(|(loss, n)| loss * n).sum();
        let squares: f64 = self.levels.iter().map(|(loss, n)| loss * loss * n).sum();
        let mean = (sum + 1.0) / size;
        ((squares + 1.0) / size - mean * mean).max(0.0) / size
    }

    /// Returns the logarithm of the e-value for a true mean above `mean`.
    fn log_e_above(&self, mean: f64) -> f64 {
        if mean >= 1.0 {
            return 0.0;
        }
        self.log_e_mixture(CANDIDATE_BETS, |bet, loss| bet / mean * (loss - mean))
    }

    /// Returns the logarithm of the e-value for a true mean below `mean`.
    fn log_e_below(&self, mean: f64) -> f64 {
        if mean >= 1.0 {
            return 0.0;
        }
        self.log_e_mixture(CONTROL_BETS, |bet, loss| bet / (1.0 - mean) * (mean - loss))
    }

    /// Returns the logarithm of the mean of the e-values of all `bets`.
    ///
    /// `gain` returns the relative change of an e-value by a bet and a loss.
    fn log_e_mixture<G>(&self, bets: [f64; 5], gain: G) -> f64
    where
        G: Fn(f64, f64) -> f64,
    {
        let logs = bets.map(|bet| {
            let terms = self.levels.iter();
            terms.map(|(loss, n)| n * gain(bet, *loss).ln_1p()).sum()
        });
        log_mean(&logs)
    }
}

/// Returns the logarithm of the mean of values that are given by their logarithms.
fn log_mean(logs: &[f64]) -> f64 {
    let largest = logs.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    let sum: f64 = logs.iter().map(|log| (log - largest).exp()).sum();
    #[expect(clippy::cast_precision_loss)]
    let count = logs.len() as f64;
    largest + (sum / count).ln()
}

/// Returns the logarithm of the e-value against a mean loss of the candidate of at most the control's plus `margin`.
///
/// While that hypothesis is true, the result exceeds ln(1/a) with probability a at most.
#[must_use]
pub fn log_e_value(candidate: &Sample, control: &Sample, margin: f64) -> f64 {
    if candidate.mean() <= control.mean() + margin {
        // Without an excess the test can't reach a threshold, so the exact value is not needed.
        return 0.0;
    }
    minimize(|mean| candidate.log_e_above(mean + margin) + control.log_e_below(mean))
}

/// Returns the smallest value of `function` over means from 0 to 1.
fn minimize<F>(function: F) -> f64
where
    F: Fn(f64) -> f64,
{
    #[expect(clippy::cast_precision_loss)]
    let log_odds =
        |index: usize| MAX_LOG_ODDS * (2.0 * index as f64 / (GRID_POINTS - 1) as f64 - 1.0);
    let value = |log_odds: f64| function(1.0 / (1.0 + (-log_odds).exp()));
    let values: Vec<_> = (0..GRID_POINTS)
        .map(|index| value(log_odds(index)))
        .collect();
    let best = (0..GRID_POINTS)
        .min_by(|a, b| values[*a].total_cmp(&values[*b]))
        .unwrap_or(0);
    let mut low = log_odds(best.saturating_sub(1));
    let mut high = log_odds((best + 1).min(GRID_POINTS - 1));
    let mut minimum = values[best];
    for _ in 0..SEARCH_STEPS {
        let (a, b) = ((2.0 * low + high) / 3.0, (low + 2.0 * high) / 3.0);
        let (value_a, value_b) = (value(a), value(b));
        minimum = minimum.min(value_a).min(value_b);
        if value_a < value_b {
            high = b;
        } else {
            low = a;
        }
    }
    minimum
}

/// Returns the logarithm of the e-value of later first tokens of the candidate than of the control.
///
/// It is the mean of the e-values over all thresholds of the histogram. The
/// candidate's threshold is one bucket above the control's, so a difference
/// below a fifth is ignored.
#[must_use]
pub fn latency_log_e_value(candidate: &Counts, control: &Counts) -> f64 {
    let logs: Vec<_> = (0..FIRST_TOKEN_BUCKETS - 1)
        .map(|bucket| {
            let (candidate, control) = (
                Sample::slow_first_tokens(candidate, bucket + 1),
                Sample::slow_first_tokens(control, bucket),
            );
            // A threshold below the minimum z-score contributes an e-value of 0.
            if z_score(&candidate, &control) < MIN_LATENCY_Z_SCORE {
                return f64::NEG_INFINITY;
            }
            log_e_value(&candidate, &control, 0.0)
        })
        .collect();
    log_mean(&logs).max(0.0)
}

/// Returns by how many standard deviations the candidate's mean loss exceeds the control's.
#[must_use]
pub fn z_score(candidate: &Sample, control: &Sample) -> f64 {
    let variance = candidate.variance() + control.variance();
    (candidate.mean() - control.mean()) / variance.sqrt().max(f64::MIN_POSITIVE)
}

/// Returns whether the candidate's mean loss exceeds the control's by less than `bound`.
///
/// `deviations` standard deviations of the difference are allowed for chance.
#[must_use]
pub fn is_within(candidate: &Sample, control: &Sample, bound: f64, deviations: f64) -> bool {
    let standard_error = (candidate.variance() + control.variance()).sqrt();
    candidate.mean() - control.mean() + deviations * standard_error <= bound
}
