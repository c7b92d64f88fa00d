//! Clocks, memory and slopes.

use std::{fs, hint, mem};

use serde::Serialize;

/// Bytes of HTTP and JSON-RPC around the content of one message. This is the
/// allowance that the tests of `core::gossip` make; it is not measured here.
pub const ENVELOPE: f64 = 300.0;

/// Processor time of one measurement in nanoseconds. The kernel updates the
/// counter once in a few milliseconds, so this keeps the error below 5%.
const MEASURED_NANOS: u64 = 100_000_000;

/// Bytes of the unit of `VmRSS`.
const KIB: u64 = 1_024;

/// A quantity at two sizes, taken as linear between and beyond them.
#[derive(Clone, Copy, Debug)]
pub struct Line {
    /// Value at size 0.
    pub base: f64,
    /// Increase per unit of size.
    pub slope: f64,
}

impl Line {
    /// Prints a quantity at two sizes and returns its line.
    pub fn through(what: &str, unit: &str, small: (u32, f64), large: (u32, f64)) -> Self {
        let slope = (large.1 - small.1) / f64::from(large.0 - small.0);
        let base = slope.mul_add(-f64::from(small.0), small.1);
        println!(
            "slope {what}: {:.2} at {}, {:.2} at {}: {slope:.3} {unit} each, base {base:.2}",
            small.1, small.0, large.1, large.0
        );
        Self { base, slope }
    }

    /// Measures `figure` at two sizes.
    pub fn measure<F>(what: &str, unit: &str, sizes: [u32; 2], mut figure: F) -> Self
    where
        F: FnMut(u32) -> f64,
    {
        let [small, large] = sizes.map(|size| (size, figure(size)));
        Self::through(what, unit, small, large)
    }

    /// Returns the value at a size.
    pub fn at(self, size: f64) -> f64 {
        self.slope.mul_add(size, self.base)
    }
}

/// Converts a count, which is far below 2^52 here.
#[expect(clippy::cast_precision_loss)]
pub const fn figure(count: u64) -> f64 {
    count as f64
}

/// Returns the length of a value as JSON.
pub fn json<T>(value: &T) -> f64
where
    T: Serialize,
{
    let bytes = serde_json::to_vec(value).expect("messages serialize");
    figure(bytes.len() as u64)
}

/// Returns the processor time of this thread in nanoseconds.
fn cpu_nanos() -> u64 {
    let text = fs::read_to_string("/proc/thread-self/schedstat").expect("a Linux kernel");
    let first = text.split(' ').next().and_then(|field| field.parse().ok());
    first.expect("the time on the processor")
}

/// Runs `work` repeatedly and returns its processor time in microseconds per run.
pub fn cpu<F, T>(mut work: F) -> f64
where
    F: FnMut() -> T,
{
    let start = cpu_nanos();
    let mut runs = 0;
    let mut batch = 1;
    loop {
        for _ in 0..batch {
            hint::black_box(work());
        }
        runs += batch;
        let nanos = cpu_nanos() - start;
        if nanos >= MEASURED_NANOS {
            return figure(nanos) / figure(runs) / 1_000.0;
        }
        batch = (batch * 2).min(10_000);
    }
}

/// Runs `work` once and returns its processor time in microseconds.
pub fn cpu_once<F>(work: F) -> f64
where
    F: FnOnce(),
{
    let start = cpu_nanos();
    work();
    figure(cpu_nanos() - start) / 1_000.0
}

/// Returns the resident memory of this process in bytes.
fn resident() -> f64 {
    let text = fs::read_to_string("/proc/self/status").expect("a Linux kernel");
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.trim().split(' ').next());
    let kib: u64 = kib.and_then(|kib| kib.parse().ok()).expect("VmRSS");
    figure(kib * KIB)
}

/// Grows `state` to two sizes and returns the line of its resident memory.
///
/// The state is not freed, so that later measurements do not reuse its pages.
pub fn memory<S, F>(what: &str, sizes: [u32; 2], mut state: S, mut grow: F) -> Line
where
    F: FnMut(&mut S, u32),
{
    let before = resident();
    let mut next = 0;
    let [small, large] = sizes.map(|size| {
        while next < size {
            grow(&mut state, next);
            next += 1;
        }
        (size, resident() - before)
    });
    mem::forget(state);
    Line::through(what, "B", small, large)
}
