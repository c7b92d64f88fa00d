//! Rate of requests that an upstream accepts.

/// Thousandths in one request per second.
const MILLI: u64 = 1_000;

plain! {
    /// A rate of requests.
    #[derive(Copy, Default, Eq, PartialOrd, Ord)]
    pub struct Rate {
        /// Thousandths of a request per second.
        milli: u64,
    }
}

/// The text is not a decimal number of requests per second.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a decimal number of requests per second")]
pub struct Error(String);

/// What an upstream states about its limit in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Statement {
    /// It has no limit.
    #[default]
    Unlimited,
    /// It accepts this rate from all instances together.
    Limited(Rate),
    /// It states something that can't be read.
    Unreadable,
}

impl Rate {
    /// Returns the rate of `milli` thousandths of a request per second.
    #[must_use]
    pub const fn from_milli(milli: u64) -> Self {
        Self { milli }
    }

    /// Returns the sum of two rates.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            milli: self.milli.saturating_add(other.milli),
        }
    }

    /// Returns the thousandths of a request per second.
    #[must_use]
    pub const fn as_milli(self) -> u64 {
        self.milli
    }
}

impl TryFrom<&str> for Rate {
    type Error = Error;

    /// Reads a decimal number of requests per second, rounded down to thousandths.
    ///
    /// Numbers that are too large to represent give the largest rate.
    ///
    /// # Errors
    ///
    /// Returns an error for anything but digits with at most one point.
    fn try_from(text: &str) -> Result<Self, Self::Error> {
        let error = || Error(text.to_owned());
        let (whole, fraction) = text.split_once('.').unwrap_or((text, ""));
        let is_decimal = |digits: &str| digits.bytes().all(|b| b.is_ascii_digit());
        let has_digits = !(whole.is_empty() && fraction.is_empty());
        if !has_digits || !is_decimal(whole) || !is_decimal(fraction) {
            return Err(error());
        }
        let digit = |at: usize| {
            fraction
                .as_bytes()
                .get(at)
                .map_or(0, |b| u64::from(b - b'0'))
        };
        let fraction = digit(0) * 100 + digit(1) * 10 + digit(2);
        let whole = whole.bytes().fold(0_u64, |number, b| {
            number
                .saturating_mul(10)
                .saturating_add(u64::from(b - b'0'))
        });
        let milli = whole.saturating_mul(MILLI).saturating_add(fraction);
        Ok(Self { milli })
    }
}
