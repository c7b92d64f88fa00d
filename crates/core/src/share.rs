//! An instance's part of a limit that all instances share without asking each other.

/// Part of the allowed ratio that is used, which leaves room for windows that are cut unevenly.
const RATIO_PART: f64 = 0.8;

/// Part of the allowed extra that is used, which leaves room for instances that are not counted.
const EXTRA_PART: f64 = 0.7;

/// Part of what may be saved up that optional repeats leave.
const RESERVED_PART: f64 = 0.6;

/// The part of a service's retry budget that belongs to one instance.
///
/// Each request adds the allowed ratio and each repeat takes one. What is saved up is bounded, so
/// that the sum over all instances stays within the service's budget in any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    ratio: f64,
    extra: f64,
    cap: f64,
    saved: f64,
}

impl Budget {
    /// Returns a full budget for the only instance.
    #[must_use]
    pub fn new(ratio: f64, extra: f64) -> Self {
        let cap = (extra * EXTRA_PART).max(1.0);
        Self {
            ratio: ratio * RATIO_PART,
            extra,
            cap,
            saved: cap,
        }
    }

    /// Takes over how many instances share the budget.
    pub fn set_instances(&mut self, instances: usize) {
        #[expect(clippy::cast_precision_loss)]
        let part = self.extra * EXTRA_PART / instances.max(1) as f64;
        self.cap = part.max(1.0);
        self.saved = self.saved.min(self.cap);
    }

    /// Counts a request.
    pub fn deposit(&mut self) {
        self.saved = (self.saved + self.ratio).min(self.cap);
    }

    /// Takes a repeat that could be done without, unless little is left for those that can't.
    #[must_use]
    pub fn withdraw_optional(&mut self) -> bool {
        self.saved >= self.cap * RESERVED_PART + 1.0 && self.withdraw()
    }

    /// Takes a repeat and returns whether there was one left.
    #[must_use]
    pub fn withdraw(&mut self) -> bool {
        let left = self.saved >= 1.0;
        if left {
            self.saved -= 1.0;
        }
        left
    }
}
