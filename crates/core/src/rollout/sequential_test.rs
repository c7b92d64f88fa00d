//! Sequential tests of two samples of bounded losses.
//!
//! The test is a bet against the hypothesis: for an assumed mean `m`, stakes on
//! every outcome multiply a wealth that can't grow on average while `m` is
//! true, so it passes 1/a with probability a at most, whenever one looks
//! (Ville's inequality). The wealth of two samples is the product of their
//! wealths, at the `m` where it is smallest. The method is that of Waudby-Smith
//! and Ramdas, "Estimating means of bounded random variables by betting"
//! (2024), with fixed stakes. Wealth depends only on the counts so far and not
//! on when they were looked at, so a new leader continues with the same value.

use crate::evidence::{Counts, counts::FIRST_TOKEN_BUCKETS};

/// Stakes on the candidate, as parts of the largest one that can't lose everything.
///
/// They fit differences that show within some hundred outcomes.
const CANDIDATE_STAKES: [f64; 5] = [0.06, 0.15, 0.3, 0.5, 0.8];

/// Stakes on the control, which has many outcomes and bets on small differences.
const CONTROL_STAKES: [f64; 5] = [0.01, 0.05, 0.2, 0.5, 0.85];

/// Means that are tried first, evenly spaced in log odds.
const GRID: usize = 48;

/// Log odds of the largest mean tried.
const WIDEST_ODDS: f64 = 9.0;

/// Steps that narrow the place of the smallest wealth.
const NARROWING: usize = 24;

/// Standard deviations of excess below which a threshold's bet counts as lost without a closer look.
const SLOWER_DEVIATIONS: f64 = 1.0;

/// Counts of losses from 0 to 1.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sample {
    /// Loss and how often it occurred.
    levels: Vec<(f64, f64)>,
}

impl Sample {
    /// Returns `bad` losses of 1 among `all`.
    #[must_use]
    #[expect(clippy::cast_precision_loss)]
    pub fn binary(all: u64, bad: u64) -> Self {
        Self {
            levels: vec![(0.0, all.saturating_sub(bad) as f64), (1.0, bad as f64)],
        }
    }

    /// Returns failed requests among those that ended.
    #[must_use]
    pub fn errors(counts: &Counts) -> Self {
        Self::binary(counts.ended(), counts.errors)
    }

    /// Returns crashes among the requests that ended.
    #[must_use]
    pub fn crashes(counts: &Counts) -> Self {
        Self::binary(counts.ended(), counts.crashes)
    }

    /// Returns first tokens above the bound of `bucket`.
    #[must_use]
    pub fn slow_first_tokens(counts: &Counts, bucket: usize) -> Self {
        let slow = counts.first_buckets.iter().skip(bucket + 1).sum();
        Self::binary(counts.completed, slow)
    }

    /// Returns what ratings fall short of 1.
    #[must_use]
    #[expect(clippy::cast_precision_loss)]
    pub fn rating_loss(counts: &Counts) -> Self {
        let levels = counts.rating_levels.iter().enumerate();
        Self {
            levels: (levels.filter(|(_, n)| **n > 0))
                .map(|(at, n)| (1.0 - at as f64 / 10.0, *n as f64))
                .collect(),
        }
    }

    /// Adds another sample's losses, halved around `centre` and moved to 0.5.
    pub fn add_centred(&mut self, other: &Self, centre: f64) {
        let moved = (other.levels.iter()).map(|(loss, n)| (0.5 + (loss - centre) / 2.0, *n));
        self.levels.extend(moved);
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

    /// Returns the variance of the mean loss, with one loss of each bound added to the outcomes.
    #[must_use]
    pub fn variance(&self) -> f64 {
        let size = self.size() + 2.0;
        let sum: f64 = self.levels.iter().map(|(loss, n)| loss * n).sum();
        let squares: f64 = self.levels.iter().map(|(loss, n)| loss * loss * n).sum();
        let mean = (sum + 1.0) / size;
        ((squares + 1.0) / size - mean * mean).max(0.0) / size
    }

    /// Returns the log of the wealth from betting on a mean above `mean`.
    fn above(&self, mean: f64) -> f64 {
        if mean >= 1.0 {
            return 0.0;
        }
        self.wealth(CANDIDATE_STAKES, |stake, loss| stake / mean * (loss - mean))
    }

    /// Returns the log of the wealth from betting on a mean below `mean`.
    fn below(&self, mean: f64) -> f64 {
        if mean >= 1.0 {
            return 0.0;
        }
        self.wealth(CONTROL_STAKES, |stake, loss| {
            stake / (1.0 - mean) * (mean - loss)
        })
    }

    fn wealth<G>(&self, stakes: [f64; 5], gain: G) -> f64
    where
        G: Fn(f64, f64) -> f64,
    {
        let logs = stakes.map(|stake| {
            let terms = self.levels.iter();
            terms.map(|(loss, n)| n * gain(stake, *loss).ln_1p()).sum()
        });
        log_mean(&logs)
    }
}

/// Returns the log of the mean of values given by their logs.
fn log_mean(logs: &[f64]) -> f64 {
    let largest = logs.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    let sum: f64 = logs.iter().map(|log| (log - largest).exp()).sum();
    #[expect(clippy::cast_precision_loss)]
    let count = logs.len() as f64;
    largest + (sum / count).ln()
}

/// Returns the log of the evidence that the candidate's mean loss exceeds the control's by more than `margin`.
///
/// It passes ln(1/a) with probability a at most if that is not so.
#[must_use]
pub fn log_e_value(candidate: &Sample, control: &Sample, margin: f64) -> f64 {
    if candidate.mean() <= control.mean() + margin {
        // The bet has not won; its exact value is of no use.
        return 0.0;
    }
    smallest(|mean| candidate.above(mean + margin) + control.below(mean))
}

/// Returns the smallest value of `wealth` over means from 0 to 1.
fn smallest<W>(wealth: W) -> f64
where
    W: Fn(f64) -> f64,
{
    #[expect(clippy::cast_precision_loss)]
    let odds = |at: usize| WIDEST_ODDS * (2.0 * at as f64 / (GRID - 1) as f64 - 1.0);
    let value = |odds: f64| wealth(1.0 / (1.0 + (-odds).exp()));
    let values: Vec<_> = (0..GRID).map(|at| value(odds(at))).collect();
    let best = (0..GRID)
        .min_by(|a, b| values[*a].total_cmp(&values[*b]))
        .unwrap_or(0);
    let mut low = odds(best.saturating_sub(1));
    let mut high = odds((best + 1).min(GRID - 1));
    let mut least = values[best];
    for _ in 0..NARROWING {
        let (a, b) = ((2.0 * low + high) / 3.0, (low + 2.0 * high) / 3.0);
        let (at_a, at_b) = (value(a), value(b));
        least = least.min(at_a).min(at_b);
        if at_a < at_b {
            high = b;
        } else {
            low = a;
        }
    }
    least
}

/// Returns the log of the evidence that the candidate's first tokens are later than the control's.
///
/// The bets on all thresholds share one wealth. The candidate's threshold is a
/// bucket higher than the control's, so a difference below a fifth counts for nothing.
#[must_use]
pub fn latency_log_e_value(candidate: &Counts, control: &Counts) -> f64 {
    let logs: Vec<_> = (0..FIRST_TOKEN_BUCKETS - 1)
        .map(|at| {
            let (candidate, control) = (
                Sample::slow_first_tokens(candidate, at + 1),
                Sample::slow_first_tokens(control, at),
            );
            // A bet that has not won counts as lost.
            if z_score(&candidate, &control) < SLOWER_DEVIATIONS {
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
/// `deviations` standard deviations of the difference are granted for chance.
#[must_use]
pub fn is_within(candidate: &Sample, control: &Sample, bound: f64, deviations: f64) -> bool {
    let spread = (candidate.variance() + control.variance()).sqrt();
    candidate.mean() - control.mean() + deviations * spread <= bound
}
