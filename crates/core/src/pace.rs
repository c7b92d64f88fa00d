//! The pace of each upstream: the time that it takes, compared with others of its service.
//!
//! An entry instance compares the times of answers with the median of those that it has seen at
//! like loads from all upstreams, and reports the differences once a second. A control instance sums
//! them over the instances that report to it, exchanges with the others what differs, and sends the
//! result to entry instances.
//!
//! The load pattern: 90 engines of which a third take 2.4 times as long as the rest, and each stalls
//! now and then for 600 ms; 80 instances see four answers a second each, so that alone none of them
//! knows an engine's pace within minutes.

use std::sync::Arc;

use crate::{
    rollout::lateness::Measure,
    time::{Span, Time},
};

/// Time between two reports, and between two answers to them.
pub const REPORT_INTERVAL: Span = Span::from_secs(1);

/// Time for which paces hold without newer ones. A control instance that has ended is replaced within
/// a few seconds.
pub const LIFETIME: Span = Span::from_secs(10);

/// Steps of a logarithm to the base of 2.
const STEPS: f64 = 32.0;

/// Difference to the others, in steps, from which an upstream differs: a quarter.
const DIFFERENCE: f64 = 10.0;

/// Largest difference of a single answer, in steps: a factor of 4. A stall counts no more than this.
const MAX_DIFFERENCE: f64 = 64.0;

/// Classes of loads: from 2 to the power of the class, except that the last one has no upper end.
const LOAD_CLASSES: usize = 6;

/// Number of the latest times that are kept for each class of loads.
const KEPT_TIMES: usize = 32;

/// Minimum number of times at like loads with which an answer is compared.
const MIN_REFERENCE: usize = 8;

/// Time constant of the exponential decay of what is known of an upstream. A change of its pace counts
/// for more than half after a time of this length.
const DECAY: Span = Span::from_secs(15);

/// Usual difference of single answers of like upstreams, in steps: a half.
const SPREAD: f64 = 18.0;

/// Difference, as a multiple of that of a mean by chance, from which an upstream differs. Chance
/// exceeds it in one of twenty upstreams.
const CONFIDENCE: f64 = 2.0;

/// Minimum number of answers by which the pace of an upstream is known.
const MIN_ANSWERS: f64 = 16.0;

/// Minimum number of answers that one control instance tells the others.
const MIN_TOLD: f64 = 2.0;

/// Largest number of upstreams in a message.
const MAX_SAMPLES: usize = 256;

plain! {
    /// Answers of an upstream, compared with others.
    #[derive(Eq)]
    pub struct Sample {
        /// The upstream.
        pub upstream: Arc<str>,
        /// Its incarnation.
        pub incarnation: u64,
        /// Mean of the logarithms of the factors on the usual time, in steps of 1/32 of an octave.
        pub steps: i8,
        /// Number of answers.
        pub answers: u16,
    }
}

impl Sample {
    /// Returns the factor on the usual time.
    #[must_use]
    pub fn factor(&self) -> f64 {
        (f64::from(self.steps) / STEPS).exp2()
    }
}

/// The latest times at one class of loads, in microseconds.
#[derive(Clone, Debug, Default)]
struct Ring {
    times: Vec<u64>,
    next: usize,
}

impl Ring {
    fn push(&mut self, micros: u64) {
        if self.times.len() < KEPT_TIMES {
            self.times.push(micros);
        } else {
            self.times[self.next] = micros;
        }
        self.next = (self.next + 1) % KEPT_TIMES;
    }
}

/// Sum of the differences of the answers of an upstream.
#[derive(Clone, Debug)]
struct Sum {
    upstream: Arc<str>,
    incarnation: u64,
    /// Sum of the logarithms, in steps.
    steps: f64,
    answers: f64,
    decayed_at: Time,
}

impl Sum {
    fn decay(&mut self, now: Time) {
        #[expect(clippy::cast_precision_loss)]
        let elapsed = now.since(self.decayed_at).as_millis() as f64 / DECAY.as_millis() as f64;
        self.steps *= (-elapsed).exp();
        self.answers *= (-elapsed).exp();
        self.decayed_at = now;
    }

    fn mean(&self) -> f64 {
        self.steps / self.answers.max(f64::MIN_POSITIVE)
    }

    /// Returns the largest difference that may well be due to chance, in steps.
    fn chance(&self) -> f64 {
        CONFIDENCE * SPREAD / self.answers.sqrt()
    }

    /// Returns the sum with the mean as it is to be expected of later answers: what may be due to chance
    /// is left out (the positive part of the estimator of James and Stein, 1961).
    fn shrunk(&self) -> Self {
        let part = 1.0 - (self.chance() / self.mean()).powi(2);
        Self {
            steps: self.steps * part.max(0.0),
            ..self.clone()
        }
    }

    fn sample(&self) -> Sample {
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        Sample {
            upstream: self.upstream.clone(),
            incarnation: self.incarnation,
            // Casts of floats saturate.
            steps: self.mean().round() as i8,
            answers: self.answers.round() as u16,
        }
    }
}

/// Sums by upstream, sorted.
#[derive(Clone, Debug, Default)]
struct Sums(Vec<Sum>);

impl Sums {
    /// Adds answers of an upstream. Those of an earlier incarnation are dropped.
    fn add(&mut self, upstream: &Arc<str>, incarnation: u64, steps: f64, answers: f64, now: Time) {
        let sum = Sum {
            upstream: upstream.clone(),
            incarnation,
            steps: steps * answers,
            answers,
            decayed_at: now,
        };
        match self.0.binary_search_by(|s| s.upstream.cmp(upstream)) {
            Err(at) => self.0.insert(at, sum),
            Ok(at) if self.0[at].incarnation < incarnation => self.0[at] = sum,
            Ok(at) if self.0[at].incarnation == incarnation => {
                let known = &mut self.0[at];
                known.decay(now);
                known.steps += sum.steps;
                known.answers += sum.answers;
            }
            Ok(_) => {}
        }
    }

    fn add_all(&mut self, samples: &[Sample], now: Time) {
        for s in samples {
            let (steps, answers) = (f64::from(s.steps), f64::from(s.answers));
            self.add(&s.upstream, s.incarnation, steps, answers, now);
        }
    }

    /// Returns the sums in relation to the median over each service.
    ///
    /// The usual times of an instance are those of a few answers, mostly of the faster upstreams, so
    /// they are off by about the same factor for all upstreams.
    fn centered<F>(&self, service_of: F) -> Self
    where
        F: Fn(&str) -> Option<Arc<str>>,
    {
        let known = self.0.iter().filter(|s| s.answers >= MIN_TOLD);
        let mut means: Vec<_> = known
            .filter_map(|s| Some((service_of(&s.upstream)?, s.mean())))
            .collect();
        means.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let services = means.chunk_by(|a, b| a.0 == b.0);
        let medians: Vec<_> = services.map(|s| &s[s.len() / 2]).collect();
        let centered = self.0.iter().filter_map(|sum| {
            let service = service_of(&sum.upstream)?;
            let at = medians.binary_search_by(|m| m.0.cmp(&service)).ok()?;
            let mut sum = sum.clone();
            sum.steps -= medians[at].1 * sum.answers;
            Some(sum)
        });
        Self(centered.collect())
    }

    /// Returns the upstreams with so many answers that differ from the others.
    fn differing(&self, min_answers: f64) -> Vec<Sample> {
        let differs =
            |s: &&Sum| s.answers >= min_answers && s.mean().abs() >= DIFFERENCE.max(s.chance());
        let differing = self.0.iter().filter(differs);
        differing.map(Sum::sample).take(MAX_SAMPLES).collect()
    }
}

/// What an entry instance learns from the answers of upstreams.
#[derive(Clone, Debug, Default)]
pub struct Learner {
    /// Times of all upstreams, sorted by measure.
    rings: Vec<(Measure, [Ring; LOAD_CLASSES])>,
    /// Differences since the last report.
    sums: Sums,
    reported_at: Option<Time>,
}

impl Learner {
    /// Records the time of an answer in microseconds at a load in requests.
    pub fn observe(
        &mut self,
        measure: &Measure,
        load: u32,
        micros: u64,
        (upstream, incarnation): (&Arc<str>, u64),
        now: Time,
    ) {
        let found = self.rings.binary_search_by(|(m, _)| m.cmp(measure));
        let at = found.unwrap_or_else(|at| {
            self.rings.insert(at, (measure.clone(), Default::default()));
            at
        });
        let class = usize::try_from(load.max(1).ilog2()).unwrap_or(usize::MAX);
        let class = class.min(LOAD_CLASSES - 1);
        let rings = &mut self.rings[at].1;
        if let Some(usual) = usual(rings, class) {
            #[expect(clippy::cast_precision_loss)]
            let factor = micros.max(1) as f64 / usual.max(1) as f64;
            let steps = (factor.log2() * STEPS).clamp(-MAX_DIFFERENCE, MAX_DIFFERENCE);
            self.sums.add(upstream, incarnation, steps, 1.0, now);
        }
        rings[class].push(micros);
    }

    /// Takes the differences since the last report, if it is time for another one.
    pub fn take(&mut self, now: Time) -> Option<Vec<Sample>> {
        if self
            .reported_at
            .is_some_and(|at| now.since(at) < REPORT_INTERVAL)
        {
            return None;
        }
        self.reported_at = Some(now);
        let sums = std::mem::take(&mut self.sums);
        let counted = sums.0.iter().filter(|s| s.answers >= 0.5);
        Some(counted.map(Sum::sample).take(MAX_SAMPLES).collect())
    }
}

/// Returns the median of the times at this class of loads, and at the next ones if there are too
/// few.
fn usual(rings: &[Ring; LOAD_CLASSES], class: usize) -> Option<u64> {
    let mut times = rings[class].times.clone();
    if times.len() < MIN_REFERENCE {
        for near in [class.checked_sub(1), Some(class + 1)] {
            let near = near.and_then(|class| rings.get(class));
            times.extend(near.iter().flat_map(|ring| &ring.times));
        }
    }
    if times.len() < MIN_REFERENCE {
        return None;
    }
    times.sort_unstable();
    Some(times[times.len() / 2])
}

/// What a control instance knows of the paces.
#[derive(Clone, Debug, Default)]
pub struct Exchange {
    /// From the entry instances that report here, by upstream.
    direct: Sums,
    /// From other control instances, by address.
    remote: Vec<(Arc<str>, Vec<Sample>, Time)>,
}

impl Exchange {
    /// Records the report of an entry instance.
    pub fn report(&mut self, samples: &[Sample], now: Time) {
        self.direct.add_all(samples, now);
    }

    /// Records what another control instance has from its reports.
    pub fn receive(&mut self, address: &str, samples: Vec<Sample>, now: Time) {
        self.remote
            .retain(|(a, _, at)| **a != *address && now.since(*at) < LIFETIME);
        if !samples.is_empty() {
            self.remote.push((address.into(), samples, now));
        }
    }

    fn expire(&mut self, now: Time) {
        for sum in &mut self.direct.0 {
            sum.decay(now);
        }
        self.direct.0.retain(|s| s.answers >= 0.5);
    }

    /// Returns the upstreams that differ by the reports received here, for another control instance.
    pub fn direct<F>(&mut self, service_of: F, now: Time) -> Vec<Sample>
    where
        F: Fn(&str) -> Option<Arc<str>>,
    {
        self.expire(now);
        self.direct.centered(service_of).differing(MIN_TOLD)
    }

    /// Returns the upstreams that differ by all reports, for an entry instance.
    pub fn totals<F>(&mut self, service_of: F, now: Time) -> Vec<Sample>
    where
        F: Fn(&str) -> Option<Arc<str>>,
    {
        self.expire(now);
        let mut all = self.direct.centered(service_of);
        for (_, samples, at) in &self.remote {
            if now.since(*at) < LIFETIME {
                all.add_all(samples, now);
            }
        }
        let sums = all.0.iter().map(Sum::shrunk).collect();
        Sums(sums).differing(MIN_ANSWERS)
    }
}
