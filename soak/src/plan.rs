//! Which faults strike and when, drawn from a seed.

use std::fmt;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    layout::{DOMAINS, Layout},
    proxy::Mode,
};

/// Time from the start of the callers to the first fault in milliseconds.
const CALM_MS: u64 = 2_500;

/// Longest pause between two faults in milliseconds.
const PAUSE_MS: u64 = 1_300;

/// Time that the control instances are left alone after a fault of one of them, in milliseconds.
const CONTROL_REST_MS: u64 = 4_500;

/// Limits that upstreams state, in thousandths of a request per second.
const LIMITS: [u64; 5] = [0, 500, 1_000, 1_300, 4_000];

/// Time for which a limit is stated, in milliseconds.
const LIMIT_MS: std::ops::Range<u64> = 6_000..14_000;

/// Pause between the starts of two limits in milliseconds.
const LIMIT_PAUSE_MS: std::ops::Range<u64> = 2_000..7_000;

/// Rejections in a second that an upstream can bear.
const REJECTS: std::ops::RangeInclusive<u64> = 1..=5;

/// Time for which an upstream can reject few requests, in milliseconds.
const BRITTLE_MS: std::ops::Range<u64> = 5_000..9_000;

/// Pause between the starts of two such times in milliseconds.
const BRITTLE_PAUSE_MS: std::ops::Range<u64> = 4_000..9_000;

/// Time for which requests with a part that crashes upstreams come, in milliseconds.
const POISON_MS: std::ops::Range<u64> = 6_000..10_000;

/// Pause between the starts of two such parts in milliseconds.
const POISON_PAUSE_MS: std::ops::Range<u64> = 9_000..20_000;

/// Routes of a configuration beside those that callers use.
const SIZES: [usize; 6] = [0, 40, 400, 1_400, 3_500, 10_000];

/// Pause between two changes of the size of the configuration in milliseconds.
const SIZE_PAUSE_MS: std::ops::Range<u64> = 1_500..7_000;

/// Pause between the replacements of two processes by those of another build in milliseconds.
const REPLACE_PAUSE_MS: std::ops::Range<u64> = 1_200..3_000;

/// A process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// A control instance.
    Control(usize),
    /// An entry instance.
    Entry(usize),
}

/// A fault, with its times in milliseconds.
#[derive(Clone, Debug)]
pub enum Fault {
    /// A process is killed and starts again.
    Kill(Target, u64),
    /// A process stands still.
    Pause(Target, u64),
    /// An entry instance is asked to stop and starts again.
    Stop(usize),
    /// A control instance is killed, loses its disk and starts again.
    Wipe(usize, u64),
    /// All processes are killed at the same moment and start again.
    KillAll(u64),
    /// Connections to an entry instance are harmed.
    Callers(usize, Mode, u64),
    /// Connections to an entry instance are reset.
    ResetCallers(usize),
    /// Connections to an upstream are harmed.
    Link(usize, Mode, u64),
    /// Connections to an upstream are reset.
    ResetLink(usize),
    /// An upstream crashes and comes back cold.
    Crash(usize, u64),
    /// An upstream leaves and comes back as a new process.
    Leave(usize, u64),
    /// An upstream says only in its answers that it leaves, and comes back as a new process.
    Depart(usize, u64),
    /// An upstream turns requests away and wants none for a time.
    Shed(usize, u64),
    /// An upstream states a limit in thousandths of a request per second for a time.
    Limit(usize, u64, u64),
    /// An upstream has little room and can reject few requests in a second for a time.
    Brittle(usize, u64, u64),
    /// Requests with a part that crashes upstreams come for a time.
    Poison(u64, u64),
    /// A failure domain is taken out for a time.
    TakeOut(&'static str, u64),
    /// A key is taken away and one added.
    Keys,
    /// A route is replaced.
    Routes,
    /// The configuration has so many routes beside those that callers use.
    Resize(usize),
    /// A process is asked to stop and starts again with the other build.
    Replace(Target),
    /// An older configuration is sent again.
    Older,
    /// The configuration is read.
    Read(usize),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// A fault and when it strikes, in milliseconds after the start of the callers.
pub type Step = (u64, Fault);

/// Returns the faults of a run in the order of their times.
#[must_use]
pub fn draw(seed: u64, length_ms: u64, layout: Layout) -> Vec<Step> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut control_free = 0;
    let mut domains_free = 0;
    let mut at = CALM_MS;
    while at < length_ms {
        let upstream = random.random_range(0..2 * layout.upstreams);
        let entry = random.random_range(0..layout.entries);
        let control = random.random_range(0..DOMAINS.len());
        let time = random.random_range(300..3_000);
        let mode = match random.random_range(0..4) {
            0 => Mode::Delay(random.random_range(5..120)),
            1 => Mode::MuteForward,
            2 => Mode::MuteBackward,
            _ => Mode::Silent,
        };
        let fault = match random.random_range(0..26) {
            0 => Fault::Kill(Target::Entry(entry), time),
            // Longer than a revocation takes, so that a stale instance may wake up.
            1 => Fault::Pause(Target::Entry(entry), 3 * time),
            2 | 3 => Fault::Stop(entry),
            4..6 if at >= control_free => {
                control_free = at + time + CONTROL_REST_MS;
                Fault::Kill(Target::Control(control), time)
            }
            6 if at >= control_free => {
                control_free = at + time + CONTROL_REST_MS;
                Fault::Pause(Target::Control(control), time)
            }
            7 if at >= control_free => {
                control_free = at + time + 2 * CONTROL_REST_MS;
                Fault::Wipe(control, time)
            }
            8 if at >= control_free => {
                control_free = at + time + 2 * CONTROL_REST_MS;
                Fault::KillAll(time.min(1_500))
            }
            9 => Fault::Callers(entry, mode, time),
            10 => Fault::ResetCallers(entry),
            11 => Fault::Link(upstream, mode, time),
            12 => Fault::ResetLink(upstream),
            13 => Fault::Crash(upstream, time),
            14 => Fault::Leave(upstream, 2_500 + time),
            15 if at >= domains_free => {
                let time = 5_500 + time;
                domains_free = at + time + CONTROL_REST_MS;
                Fault::TakeOut(DOMAINS[control], time)
            }
            16..18 => Fault::Keys,
            18..21 => Fault::Older,
            21 => Fault::Read(control),
            22 => Fault::Depart(upstream, 2_500 + time),
            23 => Fault::Shed(upstream, 1_500 + time),
            // A fault that has to wait makes room for a change.
            _ => Fault::Routes,
        };
        steps.push((at, fault));
        at += random.random_range(0..PAUSE_MS);
    }
    steps.extend(draw_limits(seed, length_ms, layout));
    steps.extend(draw_poison(seed, length_ms));
    steps.extend(draw_brittle(seed, length_ms, layout));
    steps.extend(draw_sizes(seed, length_ms));
    steps.sort_by_key(|(at, _)| *at);
    steps
}

/// Draws the limits that upstreams state, from numbers of their own.
fn draw_limits(seed: u64, length_ms: u64, layout: Layout) -> Vec<Step> {
    let mut random = ChaCha8Rng::seed_from_u64(!seed);
    let mut steps = Vec::new();
    let mut at = random.random_range(0..CALM_MS);
    while at < length_ms {
        let upstream = random.random_range(0..2 * layout.upstreams);
        let milli = LIMITS[random.random_range(0..LIMITS.len())];
        let length = random.random_range(LIMIT_MS);
        steps.push((at, Fault::Limit(upstream, milli, length)));
        at += random.random_range(LIMIT_PAUSE_MS);
    }
    steps
}

/// Draws the upstreams that can reject few requests, from numbers of their own.
fn draw_brittle(seed: u64, length_ms: u64, layout: Layout) -> Vec<Step> {
    let mut random = ChaCha8Rng::seed_from_u64(seed.rotate_left(16));
    let mut steps = Vec::new();
    let mut at = random.random_range(0..CALM_MS);
    while at < length_ms {
        let upstream = random.random_range(0..2 * layout.upstreams);
        let rejects = random.random_range(REJECTS);
        let length = random.random_range(BRITTLE_MS);
        steps.push((at, Fault::Brittle(upstream, rejects, length)));
        at += random.random_range(BRITTLE_PAUSE_MS);
    }
    steps
}

/// Draws the sizes of the configuration, from numbers of their own.
fn draw_sizes(seed: u64, length_ms: u64) -> Vec<Step> {
    let mut random = ChaCha8Rng::seed_from_u64(seed.rotate_left(48));
    let mut steps = Vec::new();
    let mut at = random.random_range(0..CALM_MS);
    while at < length_ms {
        let size = SIZES[random.random_range(0..SIZES.len())];
        steps.push((at, Fault::Resize(size)));
        at += random.random_range(SIZE_PAUSE_MS);
    }
    steps
}

/// Returns when each process is replaced by one of another build: control instances first with even
/// seeds, entry instances first with odd ones.
#[must_use]
pub fn draw_replacements(seed: u64, layout: Layout) -> Vec<Step> {
    let mut random = ChaCha8Rng::seed_from_u64(seed.rotate_left(8));
    let mut targets: Vec<_> = (0..DOMAINS.len())
        .map(Target::Control)
        .chain((0..layout.entries).map(Target::Entry))
        .collect();
    if !seed.is_multiple_of(2) {
        targets.rotate_left(DOMAINS.len());
    }
    let mut at = CALM_MS;
    let mut steps = Vec::new();
    for target in targets {
        steps.push((at, Fault::Replace(target)));
        at += random.random_range(REPLACE_PAUSE_MS);
        if matches!(target, Target::Control(_)) {
            at += CONTROL_REST_MS;
        }
    }
    steps
}

/// Draws the parts of prompts that crash upstreams, from numbers of their own.
fn draw_poison(seed: u64, length_ms: u64) -> Vec<Step> {
    let mut random = ChaCha8Rng::seed_from_u64(seed.rotate_left(32));
    let mut steps = Vec::new();
    let mut at = CALM_MS + random.random_range(0..POISON_PAUSE_MS.start);
    let mut part = 0;
    while at < length_ms {
        part += 1;
        let length = random.random_range(POISON_MS);
        steps.push((at, Fault::Poison(part, length)));
        at += random.random_range(POISON_PAUSE_MS);
    }
    steps
}
