//! Counters of one evidence cell.

/// Number of levels that ratings are rounded to: 0, 0.1, ... 1.
pub const RATING_LEVELS: usize = 11;

/// Number of histogram buckets for the time to the first token.
pub const FIRST_TOKEN_BUCKETS: usize = 48;

/// Upper bound of the first bucket in milliseconds.
const FIRST_BUCKET_BOUND_MS: f64 = 8.0;

/// Number of buckets over which the bound doubles.
const BUCKETS_PER_DOUBLING: f64 = 4.0;

/// Units per 1 in which ratings are summed as integers.
const RATING_SCALE: f64 = 1_000.0;

/// Event in the execution of a request on a version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// The request was sent to an upstream.
    Started,
    /// The answer completed.
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
    /// The upstream crashed while running the request.
    Crashed,
    /// The answer of a cascade's first step was not kept, so the second step runs.
    Escalated,
    /// The answer was rated from 0 to 1. Values outside are clamped and NaN is ignored.
    Rated(f64),
}

plain! {
    /// Counters that only grow.
    #[derive(Default, Eq)]
    #[serde(default, deny_unknown_fields)]
    pub struct Counts {
        /// Requests sent to an upstream.
        #[serde(skip_serializing_if = "is_zero")]
        pub started: u64,
        /// Completed answers.
        #[serde(skip_serializing_if = "is_zero")]
        pub completed: u64,
        /// Requests that an upstream failed, including crashes.
        #[serde(skip_serializing_if = "is_zero")]
        pub errors: u64,
        /// Requests whose upstream crashed.
        #[serde(skip_serializing_if = "is_zero")]
        pub crashes: u64,
        /// Answers of a first step that were escalated.
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
        /// Number of ratings.
        #[serde(skip_serializing_if = "is_zero")]
        pub ratings: u64,
        /// Sum of ratings in thousandths.
        #[serde(skip_serializing_if = "is_zero")]
        pub rating_sum: u64,
        /// Sum of squared ratings in millionths.
        #[serde(skip_serializing_if = "is_zero")]
        pub rating_squares: u64,
        /// Ratings by level, in steps of a tenth.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        pub rating_levels: Vec<u64>,
    }
}

// `skip_serializing_if` requires a function that takes a reference.
#[expect(clippy::trivially_copy_pass_by_ref)]
const fn is_zero(value: &u64) -> bool {
    *value == 0
}

/// Returns the bucket of a time to the first token. Each bound is the fourth root of 2 times the one below it.
#[must_use]
#[expect(clippy::cast_precision_loss, clippy::cast_possible_truncation)]
#[expect(clippy::cast_sign_loss)]
pub fn bucket(first_ms: u64) -> usize {
    let doublings = (first_ms as f64 / FIRST_BUCKET_BOUND_MS).log2().max(0.0);
    ((doublings * BUCKETS_PER_DOUBLING).ceil() as usize).min(FIRST_TOKEN_BUCKETS - 1)
}

/// Returns the upper bound of a bucket in milliseconds.
#[must_use]
#[expect(clippy::cast_precision_loss)]
pub fn bucket_bound(bucket: usize) -> f64 {
    FIRST_BUCKET_BOUND_MS * (bucket as f64 / BUCKETS_PER_DOUBLING).exp2()
}

/// Combines `other` into `list` element by element; missing elements count as zero.
fn combine_lists<F>(list: &mut Vec<u64>, other: &[u64], operation: F)
where
    F: Fn(u64, u64) -> u64,
{
    if list.len() < other.len() {
        list.resize(other.len(), 0);
    }
    for (value, other_value) in list.iter_mut().zip(other) {
        *value = operation(*value, *other_value);
    }
}

fn increment(list: &mut Vec<u64>, index: usize) {
    if list.len() <= index {
        list.resize(index + 1, 0);
    }
    list[index] += 1;
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
                increment(&mut self.first_buckets, bucket(first_ms));
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
        // NaN carries no rating, and `clamp` would let it pass.
        if rating.is_nan() {
            return;
        }
        let rating = rating.clamp(0.0, 1.0);
        let scaled = (rating * RATING_SCALE).round() as u64;
        self.ratings += 1;
        self.rating_sum += scaled;
        self.rating_squares += scaled * scaled;
        increment(&mut self.rating_levels, (rating * 10.0).round() as usize);
    }

    /// Takes the larger value of each field and returns whether any has changed.
    pub fn merge(&mut self, other: &Self) -> bool {
        let before = self.clone();
        self.combine(other, u64::max);
        *self != before
    }

    /// Adds the counters of another cell.
    pub fn add(&mut self, other: &Self) {
        self.combine(other, u64::saturating_add);
    }

    /// Returns the counts added since `earlier`.
    #[must_use]
    pub fn minus(&self, earlier: &Self) -> Self {
        let mut difference = self.clone();
        difference.combine(earlier, u64::saturating_sub);
        difference
    }

    fn combine<F>(&mut self, other: &Self, operation: F)
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
        for (value, other_value) in [
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
            *value = operation(*value, other_value);
        }
        combine_lists(first_buckets, &other.first_buckets, operation);
        combine_lists(rating_levels, &other.rating_levels, operation);
    }

    /// Returns the number of requests that completed or failed.
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
