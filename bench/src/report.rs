//! Printed targets: each line has a target, its bound and the measured figure.

use std::{fmt, process::ExitCode};

/// Collects the targets of one run.
#[derive(Debug, Default)]
pub struct Report {
    missed: usize,
}

impl Report {
    /// Prints the subject and its seed.
    #[must_use]
    pub fn begin(subject: &str, seed: u64) -> Self {
        println!("subject {subject}, seed {seed}");
        Self::default()
    }

    /// Prints a target that holds if `figure` is at most `bound`.
    pub fn at_most<V>(&mut self, target: &str, bound: V, figure: V)
    where
        V: Copy + PartialOrd + fmt::Display,
    {
        let met = figure <= bound;
        self.line(target, &format!("at most {bound}"), &figure, met);
    }

    /// Prints a target that holds if `figure` is at least `bound`.
    pub fn at_least<V>(&mut self, target: &str, bound: V, figure: V)
    where
        V: Copy + PartialOrd + fmt::Display,
    {
        let met = figure >= bound;
        self.line(target, &format!("at least {bound}"), &figure, met);
    }

    fn line(&mut self, target: &str, bound: &str, figure: &dyn fmt::Display, met: bool) {
        let verdict = if met { "met" } else { "MISSED" };
        println!("target {target}: {bound}, measured {figure}: {verdict}");
        self.missed += usize::from(!met);
    }

    /// Returns 1 if a target was missed.
    #[must_use]
    pub fn finish(self) -> ExitCode {
        println!("{} targets missed", self.missed);
        ExitCode::from(u8::from(self.missed > 0))
    }
}
