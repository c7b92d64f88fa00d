//! Upstreams that can reject few requests, under faults of the instances that hand out the permits.
//!
//! The decision code of control and entry instances runs on virtual time before one upstream with
//! slots and without a queue, which gets three times the requests that it can run. Entry instances
//! know its load as it was 300 ms ago.

use std::{collections::VecDeque, fmt::Write as _};

use masticlock_core::{
    limit::{Bounds, Rate},
    placement::{ACCEPTANCE_TIME, Choice, Demand, Outcome as End, RejectPermit, Target},
    replicated::State,
    report::{Load, Totals},
    time::{Span, Time},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::limit::{CRITERIA, FAULTS, Fault, START, STEP_MS, World, largest_window};

/// Length of a run in milliseconds.
const LENGTH_MS: u64 = 40_000;

/// Requests that the upstream runs at once.
const SLOTS: u32 = 8;

/// Time that a request takes.
const WORK: Span = Span::from_millis(400);

/// Requests per second that callers send: three times what the slots can run.
const DEMAND: u32 = 60;

/// Longest time that a request waits at its entry instance.
const MAX_WAIT: Span = Span::from_millis(800);

/// Age of the loads that entry instances know.
const LOAD_DELAY: Span = Span::from_millis(300);

/// Time after the first statement from which on the bound is enforced.
const CONTACT_TIME: Span = Span::from_secs(3);

/// Entry instances, control instances and rejections in a second of the columns.
pub const COLUMNS: [(usize, usize, u64); 5] =
    [(9, 3, 1), (9, 3, 4), (320, 7, 1), (320, 7, 4), (320, 7, 20)];

/// The result of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Largest number of rejections in a second.
    pub most: u64,
    /// Number of rejections in a second that the upstream can bear.
    pub allowed: u64,
    /// Requests that were run, in percent of those that the slots can run.
    pub used: u64,
}

impl Outcome {
    /// Returns whether the bound holds.
    #[must_use]
    pub const fn holds(&self) -> bool {
        self.most <= self.allowed
    }
}

/// A request that the upstream runs.
struct Running {
    entry: usize,
    until: Time,
    /// When its permit returns, and the permit.
    permit: Option<(Time, RejectPermit)>,
}

struct Scene {
    world: World,
    target: Option<Target>,
    running: Vec<Running>,
    /// Requests that each entry instance runs, at the end of each step.
    loads: VecDeque<(Time, Vec<u32>)>,
    rejections: Vec<Time>,
    accepted: u64,
}

impl Scene {
    /// Ends the requests that are done and returns the permits of those that were accepted.
    fn advance(&mut self, now: Time) {
        for running in &mut self.running {
            let pool = &mut self.world.pools[running.entry];
            let Some(target) = &self.target else {
                continue;
            };
            if let Some((at, permit)) = running.permit
                && now >= at
            {
                pool.return_reject_permit(target, permit, now);
                running.permit = None;
            }
            if now >= running.until {
                pool.end(&target.upstream, Demand::default(), End::Good, now);
            }
        }
        self.running.retain(|r| now < r.until);
    }

    /// Tells an entry instance the load of the others.
    fn report(&mut self, entry: usize, now: Time) {
        let known = self
            .loads
            .iter()
            .rfind(|(at, _)| now.since(*at) >= LOAD_DELAY);
        let others = known.map_or(0, |(_, counts)| {
            let all: u32 = counts.iter().sum();
            all - counts[entry]
        });
        let load = Load {
            upstream: "u".into(),
            running: others,
            ..Load::default()
        };
        let totals = Totals {
            loads: vec![load],
            instances: self.world.pools.len() as u64,
            ..Totals::default()
        };
        self.world.pools[entry].update_totals(&totals, now);
    }

    /// Tries to send a request, and returns whether it was sent.
    fn try_send(&mut self, entry: usize, now: Time) -> bool {
        let pool = &mut self.world.pools[entry];
        let Choice::Upstream(target) = pool.choose(&CRITERIA, &State::default(), now) else {
            return false;
        };
        let Some(pass) = pool.pass(&target, now) else {
            return false;
        };
        if self.running.len() >= SLOTS as usize {
            self.rejections.push(now);
            return true;
        }
        pool.begin(&target.upstream, Demand::default(), now);
        self.running.push(Running {
            entry,
            until: now + WORK,
            permit: pass.reject_permit.map(|p| (now + ACCEPTANCE_TIME, p)),
        });
        self.target = Some(target);
        self.accepted += 1;
        true
    }

    fn play(&mut self, fault: Fault, seed: u64) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut waiting: Vec<(usize, Time)> = Vec::new();
        self.world.elect(Some(0), START);
        for at in (0..LENGTH_MS).step_by(STEP_MS) {
            let now = START + Span::from_millis(at);
            self.world.strike(fault, at % 10_000, now);
            self.world.poll(at, now);
            self.advance(now);
            let instances = self.world.pools.len();
            for entry in 0..instances {
                if (at + 10 * entry as u64).is_multiple_of(200) {
                    self.report(entry, now);
                }
            }
            for _ in 0..DEMAND {
                if random.random_range(0..100) == 0 {
                    let entry = random.random_range(0..instances);
                    let pool = &mut self.world.pools[entry];
                    if pool.want(&CRITERIA, &State::default(), now) {
                        self.world.poll_control(entry, now);
                    }
                    waiting.push((entry, now));
                }
            }
            waiting.retain(|(entry, since)| {
                now.since(*since) < MAX_WAIT && !self.try_send(*entry, now)
            });
            let mut counts = vec![0; instances];
            for running in &self.running {
                counts[running.entry] += 1;
            }
            self.loads.push_back((now, counts));
            if self.loads.len() > 60 {
                self.loads.pop_front();
            }
        }
    }
}

/// Runs a fault against an upstream that bears `rejects` rejections in a second. `is_stated` is
/// whether the upstream says so.
#[must_use]
pub fn run(
    fault: Fault,
    instances: usize,
    controls: usize,
    rejects: u64,
    is_stated: bool,
) -> Outcome {
    let bounds = Bounds {
        rate: None,
        rejects: is_stated.then_some(Rate::from_milli(rejects * 1_000)),
    };
    let mut scene = Scene {
        world: World::new(instances, controls, bounds, SLOTS),
        target: None,
        running: Vec::new(),
        loads: VecDeque::new(),
        rejections: Vec::new(),
        accepted: 0,
    };
    scene.play(fault, instances as u64 + rejects);
    let counted = scene.rejections.iter();
    let counted: Vec<Time> = counted
        .filter(|t| t.since(START) >= CONTACT_TIME)
        .copied()
        .collect();
    let possible = u64::from(SLOTS) * LENGTH_MS / WORK.as_millis();
    Outcome {
        most: largest_window(&counted, Span::from_secs(1)),
        allowed: rejects,
        used: scene.accepted * 100 / possible,
    }
}

/// Returns the section of the fault matrix.
///
/// # Panics
///
/// Never: writing to a string can't fail.
#[must_use]
pub fn page() -> String {
    let mut text = String::from(
        "## Upstreams that can reject few requests

Entry and control instances of the gateway before one upstream with 8 slots and no queue that says how many requests it
can reject in a second, 60 requests/s of 400 ms for 40 s of virtual time, three times what the slots can run. The fault
strikes every 10 s. A cell gives the largest number of rejections in a second from 3 s after the first statement, the
number allowed, and the part of the slots' work that was done.

| fault |",
    );
    for (instances, controls, rejects) in COLUMNS {
        write!(
            text,
            " {instances} entries, {controls} control, {rejects}/s |"
        )
        .expect("a string");
    }
    text.push_str("\n|---|---|---|---|---|---|\n");
    for fault in FAULTS {
        write!(text, "| {} |", fault.label()).expect("a string");
        for (instances, controls, rejects) in COLUMNS {
            let outcome = run(fault, instances, controls, rejects, true);
            let verdict = if outcome.holds() {
                "holds"
            } else {
                "**broken**"
            };
            let Outcome {
                most,
                allowed,
                used,
            } = outcome;
            write!(text, " {verdict}: {most} of {allowed}, {used}% |").expect("a string");
        }
        text.push('\n');
    }
    text.push('\n');
    text
}
