//! Overload, cold restarts, loss of a failure domain and its take-out, on
//! virtual time.

mod control;
mod traffic;
mod upstream;
mod world;

use std::process::ExitCode;

use crate::report::Report;
use upstream::{WARM, WORK_MS};
use world::{Counts, DOMAINS, Event, UPSTREAMS, World};

/// Requests that come in for each one that all upstreams could do.
const OVERLOAD: u64 = 2;
/// Time until all processes know each other and all upstreams are warm.
const WARM_UP_MS: u64 = 20_000;
const STEADY_MS: u64 = 30_000;
/// Time that a process needs to start again.
const RESTART_MS: u64 = 1_000;
const COLD_MS: u64 = 20_000;
const LOST_MS: u64 = 30_000;
const RETURN_MS: u64 = 30_000;
const TAKEN_OUT_MS: u64 = 20_000;
/// The failure domain that is lost and the one that is taken out.
const LOST: usize = 1;
const OUT: usize = 2;

/// Returns a count as a float. Runs have fewer than 4 billion of anything.
pub fn float(count: u64) -> f64 {
    u32::try_from(count).map_or(f64::INFINITY, f64::from)
}

fn share(part: u64, all: u64) -> f64 {
    100.0 * float(part) / float(all.max(1))
}

/// Ends a phase: prints its counts and returns them.
fn phase(world: &mut World, name: &str, end: u64) -> Counts {
    world.run(end);
    let counts = std::mem::take(&mut world.counts);
    println!(
        "{name}: arrived {}, good {} ({:.1}% of {:.0}), limited {}, overloaded {}, failed {}, \
         late {}, retries {}",
        counts.arrived,
        counts.good,
        100.0 * float(counts.good) / counts.ideal,
        counts.ideal,
        counts.limited,
        counts.overloaded,
        counts.failed,
        counts.late,
        counts.retries,
    );
    counts
}

/// Runs all phases and prints the targets.
pub fn run(seed: u64) -> ExitCode {
    let mut report = Report::begin("protect", seed);
    let capacity = UPSTREAMS as u64 * u64::from(WARM) * 1_000 / WORK_MS;
    println!(
        "model: {UPSTREAMS} upstreams, {DOMAINS} failure domains, capacity {capacity}/s, \
         load {}/s",
        OVERLOAD * capacity
    );
    let mut world = World::new(seed, OVERLOAD * capacity);
    world.at(4_000, Event::Arrive);
    let mut end = world.now + WARM_UP_MS;
    phase(&mut world, "warm-up", end);
    let mut all = Vec::new();
    let mut next = |world: &mut World, name, millis| {
        end += millis;
        all.push((name, phase(world, name, end)));
    };
    next(&mut world, "overload", STEADY_MS);
    for at in (0..UPSTREAMS).step_by(3) {
        world.upstreams[at].crash();
        world.at(RESTART_MS, Event::Restart(at));
    }
    next(&mut world, "cold restart of a third", COLD_MS);
    world.lose(LOST);
    next(&mut world, "failure domain lost", LOST_MS);
    world.regain(LOST);
    next(&mut world, "failure domain back", RETURN_MS);
    let begin = world.now;
    world.take_out(OUT);
    next(&mut world, "failure domain taken out", TAKEN_OUT_MS);
    print(&mut report, &world, &all, begin);
    report.finish()
}

fn print(report: &mut Report, world: &World, all: &[(&str, Counts)], out: u64) {
    for (name, counts) in all {
        let goodput = 100.0 * float(counts.good) / counts.ideal;
        report.at_least(&format!("goodput, {name} [% of ideal]"), 90.0, goodput);
    }
    let cold = world.upstreams.iter().map(|u| u.cold_load).max();
    let cold = cold.unwrap_or(0);
    report.at_most(
        "highest load of a cold upstream [% of its limit]",
        100,
        cold,
    );
    let excess = world.upstreams.iter().map(|u| u.excess).max();
    report.at_most("requests above an upstream's limit", 0, excess.unwrap_or(0));
    let sum = |field: fn(&Counts) -> u64| all.iter().map(|(_, c)| field(c)).sum::<u64>();
    let (arrived, retries) = (sum(|c| c.arrived), sum(|c| c.retries));
    report.at_most("retries [% of requests]", 10.0, share(retries, arrived));
    let ran = world.requests.iter().filter(|r| r.ran).count();
    println!("requests that an upstream worked on: {ran}");
    report.at_most(
        "refusals without a time to come back",
        0,
        sum(|c| c.untimed),
    );
    let longest = all.iter().map(|(_, c)| c.longest_wait).max();
    println!(
        "refused requests that came back when told: {}, admitted then: {:.1}%, longest wait {} ms",
        sum(|c| c.returned),
        share(sum(|c| c.admitted), sum(|c| c.returned)),
        longest.unwrap_or(0),
    );
    let last = world.last_sent[OUT].saturating_sub(out);
    report.at_most(
        "last request to a taken-out failure domain [ms]",
        2_000,
        last,
    );
}
