//! The counters of one cell of evidence.

/// Levels that ratings are rounded to: 0, 0.1, ... 1.
pub const RATING_LEVELS: usize = 11;

/// Buckets of the time to the first token.
pub const FIRST_TOKEN_BUCKETS: usize = 48;

/// Upper bound of the first bucket in milliseconds.
const FIRST_BOUND_MS: f64 = 8.0;

/// Buckets in which the bound doubles.
const BUCKETS_PER_DOUBLING: f64 = 4.0;

/// Parts of 1 in which ratings are summed.
const RATING_SCALE: f64 = 1_000.0;

/// What happened to a version's work on a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// The request was sent to an upstream.
    Started,
    /// The answer was complete.
    Completed {
        /// Milliseconds from sending to the first token.
        first_ms: u64,
        /// Milliseconds from the first token to the last.
        stream_ms: u64,
        /// Tokens of the answer.
        tokens: u64,
    },
    /// The upstream failed the request.
    Failed,
    /// The upstream crashed while it ran the request.
    Crashed,
    /// The answer of a first step was not kept.
    Escalated,
    /// The answer was rated from 0 to 1. Other values are moved to the nearest bound.
    Rated(f64),
}

plain! {
    /// Counters that never fall.
    #[derive(Default, Eq)]
    #[serde(default, deny_unknown_fields)]
    pub struct Counts {
        /// Requests sent.
        #[serde(skip_serializing_if = "is_zero")]
        pub started: u64,
        /// Answers completed.
        #[serde(skip_serializing_if = "is_zero")]
        pub completed: u64,
        /// Requests that an upstream failed, with crashes.
        #[serde(skip_serializing_if = "is_zero")]
        pub errors: u64,
        /// Requests whose upstream crashed.
        #[serde(skip_serializing_if = "is_zero")]
        pub crashes: u64,
        /// Answers of a first step that were not kept.
        #[serde(skip_serializing_if = "is_zero")]
        pub escalated: u64,
        /// Sum of milliseconds to the first token.
        #[serde(skip_serializing_if = "is_zero")]
        pub first_ms: u64,
        /// Completed answers by time to the first token; see [`bucket`].
        #[serde(skip_serializing_if = "Vec::is_empty")]
        pub first_buckets: Vec<u64>,
        /// Sum of milliseconds from the first token to the last.
        #[serde(skip_serializing_if = "is_zero")]
        pub stream_ms: u64,
        /// Sum of answer tokens.
        #[serde(skip_serializing_if = "is_zero")]
        pub tokens: u64,
        /// Ratings.
        #[serde(skip_serializing_if = "is_zero")]
        pub ratings: u64,
        /// Sum of ratings in thousandths.
        #[serde(skip_serializing_if = "is_zero")]
        pub rating_sum: u64,
        /// Sum of squared ratings in millionths.
        #[serde(skip_serializing_if = "is_zero")]
        pub rating_squares: u64,
        /// Ratings by level of a tenth.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        pub rating_levels: Vec<u64>,
    }
}

// The signature is the one that `skip_serializing_if` calls.
#[expect(clippy::trivially_copy_pass_by_ref)]
const fn is_zero(value: &u64) -> bool {
    *value == 0
}

/// Returns the bucket of a time to the first token. Bounds grow by a fourth root of 2.
#[must_use]
#[expect(clippy::cast_precision_loss, clippy::cast_possible_truncation)]
#[expect(clippy::cast_sign_loss)]
pub fn bucket(first_ms: u64) -> usize {
    let doublings = (first_ms as f64 / FIRST_BOUND_MS).log2().max(0.0);
    ((doublings * BUCKETS_PER_DOUBLING).ceil() as usize).min(FIRST_TOKEN_BUCKETS - 1)
}

/// Returns the upper bound of a bucket in milliseconds.
#[must_use]
#[expect(clippy::cast_precision_loss)]
pub fn bucket_bound(bucket: usize) -> f64 {
    FIRST_BOUND_MS * (bucket as f64 / BUCKETS_PER_DOUBLING).exp2()
}

/// Combines `other` into `list` position by position; absent positions count as zero.
fn combine<F>(list: &mut Vec<u64>, other: &[u64], with: F)
where
    F: Fn(u64, u64) -> u64,
{
    if list.len() < other.len() {
        list.resize(other.len(), 0);
    }
    for (mine, theirs) in list.iter_mut().zip(other) {
        *mine = with(*mine, *theirs);
    }
}

fn count(list: &mut Vec<u64>, at: usize) {
    if list.len() <= at {
        list.resize(at + 1, 0);
    }
    list[at] += 1;
}

impl Counts {
    /// Counts an event.
    pub fn add_event(&mut self, event: Event) {
        match event {
            Event::Started => self.started += 1,
            Event::Completed {
                first_ms,
                stream_ms,
                tokens,
            } => {
                self.completed += 1;
                self.first_ms += first_ms;
                count(&mut self.first_buckets, bucket(first_ms));
                self.stream_ms += stream_ms;
                self.tokens += tokens;
            }
            Event::Failed => self.errors += 1,
            Event::Crashed => {
                self.errors += 1;
                self.crashes += 1;
            }
            Event::Escalated => self.escalated += 1,
            Event::Rated(rating) => self.add_rating(rating),
        }
    }

    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn add_rating(&mut self, rating: f64) {
        // `clamp` keeps NaN, which says nothing about the answer.
        if rating.is_nan() {
            return;
        }
        let rating = rating.clamp(0.0, 1.0);
        let scaled = (rating * RATING_SCALE).round() as u64;
        self.ratings += 1;
        self.rating_sum += scaled;
        self.rating_squares += scaled * scaled;
        count(&mut self.rating_levels, (rating * 10.0).round() as usize);
    }

    /// Takes the larger value of each field; returns whether anything grew.
    pub fn merge(&mut self, other: &Self) -> bool {
        let before = self.clone();
        self.combine(other, u64::max);
        *self != before
    }

    /// Adds the counters of another cell.
    pub fn add(&mut self, other: &Self) {
        self.combine(other, u64::saturating_add);
    }

    /// Returns what was counted after `earlier`.
    #[must_use]
    pub fn minus(&self, earlier: &Self) -> Self {
        let mut rest = self.clone();
        rest.combine(earlier, u64::saturating_sub);
        rest
    }

    fn combine<F>(&mut self, other: &Self, with: F)
    where
        F: Fn(u64, u64) -> u64 + Copy,
    {
        let Self {
            started,
            completed,
            errors,
            crashes,
            escalated,
            first_ms,
            first_buckets,
            stream_ms,
            tokens,
            ratings,
            rating_sum,
            rating_squares,
            rating_levels,
        } = self;
        for (mine, theirs) in [
            (started, other.started),
            (completed, other.completed),
            (errors, other.errors),
            (crashes, other.crashes),
            (escalated, other.escalated),
            (first_ms, other.first_ms),
            (stream_ms, other.stream_ms),
            (tokens, other.tokens),
            (ratings, other.ratings),
            (rating_sum, other.rating_sum),
            (rating_squares, other.rating_squares),
        ] {
            *mine = with(*mine, theirs);
        }
        combine(first_buckets, &other.first_buckets, with);
        combine(rating_levels, &other.rating_levels, with);
    }

    /// Returns the requests that ended, well or not.
    #[must_use]
    pub const fn ended(&self) -> u64 {
        self.completed + self.errors
    }

    /// Returns the sum of ratings.
    #[must_use]
    #[expect(clippy::cast_precision_loss)]
    pub fn rating_total(&self) -> f64 {
        self.rating_sum as f64 / RATING_SCALE
    }

    /// Returns the sum of squared ratings.
    #[must_use]
    #[expect(clippy::cast_precision_loss)]
    pub fn rating_square_total(&self) -> f64 {
        self.rating_squares as f64 / (RATING_SCALE * RATING_SCALE)
    }
}
