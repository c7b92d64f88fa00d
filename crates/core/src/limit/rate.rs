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

plain! {
    /// What an upstream states about the requests of all instances together.
    #[derive(Copy, Default, Eq)]
    pub struct Bounds {
        /// Rate of requests that it accepts; `None` if it has no limit.
        pub rate: Option<Rate>,
        /// Rate at which it can reject requests without a crash; `None` if it can reject any number.
        pub rejects: Option<Rate>,
    }
}

/// The text is not a decimal number of requests per second.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a decimal number of requests per second")]
pub struct Error(String);

/// What an upstream states about one of its bounds in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Statement {
    /// It has none.
    #[default]
    Unlimited,
    /// This rate of all instances together.
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

    /// Returns the rate of the permits for requests that an upstream may reject at this rate.
    ///
    /// The permits that are used within a second were made within it or within
    /// [`REJECT_PERMIT_LIFETIME`](super::REJECT_PERMIT_LIFETIME) before, and one may have accumulated.
    #[must_use]
    pub const fn reject_permits(self) -> Self {
        Self {
            milli: self.milli / 10 * 3,
        }
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
