//! Time from acceptance to in force, restarts and idle cost of the control plane.

mod link;
mod usage;
mod world;

use std::{
    path::Path,
    process::ExitCode,
    thread::sleep,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use masticlock::{client::Control, rpc};
use masticlock_core::{
    command::{Command, Outcome as Decision},
    config::{Change, Restriction},
    inventory, name,
    time::Span,
};

use self::world::{DOMAINS, ENTRIES, LIMIT, Outcome, REPLICAS, World, domain, text};
use crate::report::Report;

/// Changes between two stops of the leader.
const CHANGES_PER_LEADER: usize = 50;

/// Rounds in which a failure domain's polls are cut.
const CUTS: usize = 6;

/// Number of changes after which the second restart is measured.
const LATE_RESTART: usize = 5_000;

/// Time of a cut, shorter than the configuration lease.
const CUT: Duration = Duration::from_secs(4);

/// Bound of p99 from accepted to in force without faults, in milliseconds.
const IN_FORCE_P99_MS: u64 = 1_000;

/// Bound from the end of an election, or of a cut, to in force, in milliseconds.
const IN_FORCE_MAX_MS: u64 = 4_000;

/// Bounds of an idle instance.
const IDLE_BYTES: u64 = 3_000;
const IDLE_CPU_PERCENT: f64 = 1.6;
const MEMORY_MB: u64 = 128;

/// The submitting operator.
struct Operator {
    client: Control,
    number: usize,
    taken_out: bool,
}

impl Operator {
    fn change(&mut self) -> Outcome<Change> {
        if self.number == 0 {
            let mut domains = Vec::new();
            for at in 0..DOMAINS {
                domains.push(inventory::Domain {
                    name: domain(at)?,
                    region: name::Region::try_from("region").map_err(text)?,
                });
            }
            return Ok(Change::Import(inventory::Raw {
                domains,
                ..inventory::Raw::default()
            }));
        }
        let limit = Restriction::TakeOut(domain(0)?);
        self.taken_out ^= true;
        Ok(if self.taken_out {
            Change::Restrict(limit)
        } else {
            Change::Allow(limit)
        })
    }

    /// Submits the next change and returns its command once it is accepted.
    fn submit(&mut self, world: &World) -> Outcome<name::Command> {
        let id = name::Command::try_from(format!("change-{}", self.number)).map_err(text)?;
        let submit = rpc::Submit {
            command: Command {
                id: id.clone(),
                operator: "bench".into(),
                expects: None,
                change: self.change()?,
            },
            wait: Span::ZERO,
        };
        self.number += 1;
        let answer = world
            .block_on(self.client.submit(&submit, LIMIT))
            .map_err(text)?;
        match answer.outcome {
            Decision::Accepted { .. } => Ok(id),
            Decision::Refused { error, .. } => Err(error.to_string()),
        }
    }

    /// Waits until the command is in force.
    fn wait(&self, world: &World, id: name::Command) -> Outcome<()> {
        let lookup = rpc::Lookup { id, wait: LIMIT };
        let answer = world
            .block_on(self.client.outcome(&lookup, LIMIT))
            .map_err(text)?;
        if answer.in_force {
            return Ok(());
        }
        Err(format!("not in force in time: {:?}", answer.pending))
    }

    /// Waits until all instances follow again.
    fn settle(&self, world: &World) -> Outcome<()> {
        let end = Instant::now() + LIMIT.to_std();
        while Instant::now() < end {
            let status = world.block_on(self.client.status(LIMIT)).map_err(text)?;
            if status.pending.is_empty() && status.members.len() == ENTRIES {
                return Ok(());
            }
            sleep(Duration::from_millis(20));
        }
        Err("the entry instances do not follow in time".into())
    }
}

/// Times in microseconds.
struct Times(Histogram<u64>);

impl Times {
    fn new() -> Outcome<Self> {
        Ok(Self(
            Histogram::new_with_bounds(1, 60_000_000, 3).map_err(text)?,
        ))
    }

    fn add(&mut self, time: Duration) -> Outcome<()> {
        let micros = u64::try_from(time.as_micros()).map_err(text)?;
        self.0.record(micros.max(1)).map_err(text)
    }

    fn print(&self, what: &str) {
        let ms = |micros: u64| Duration::from_micros(micros);
        println!(
            "{what}: n {}, p50 {:.1?}, p99 {:.1?}, max {:.1?}",
            self.0.len(),
            ms(self.0.value_at_quantile(0.5)),
            ms(self.0.value_at_quantile(0.99)),
            ms(self.0.max())
        );
    }

    fn p99_ms(&self) -> u64 {
        self.0.value_at_quantile(0.99).div_ceil(1_000)
    }

    fn max_ms(&self) -> u64 {
        self.0.max().div_ceil(1_000)
    }
}

/// Changes without faults.
fn calm(
    world: &World,
    operator: &mut Operator,
    changes: usize,
    report: &mut Report,
) -> Outcome<()> {
    let mut times = Times::new()?;
    for _ in 0..changes {
        let id = operator.submit(world)?;
        let accepted = Instant::now();
        operator.wait(world, id)?;
        times.add(accepted.elapsed())?;
    }
    times.print("accepted to in force without faults");
    report.at_most(
        "accepted to in force p99, ms",
        IN_FORCE_P99_MS,
        times.p99_ms(),
    );
    Ok(())
}

/// Changes while the leader is stopped again and again.
fn elections(
    world: &mut World,
    operator: &mut Operator,
    changes: usize,
    report: &mut Report,
) -> Outcome<()> {
    let (mut first, mut all, mut outages) = (Times::new()?, Times::new()?, Times::new()?);
    let mut stopped = None;
    for number in 0..changes {
        let mut from = Instant::now();
        let elected = number % CHANGES_PER_LEADER == 0;
        if elected {
            if let Some(at) = stopped {
                world.restart(at)?;
                sleep(Duration::from_millis(500));
            }
            let leader = world.leader(&operator.client)?;
            let start = Instant::now();
            world.stop(leader)?;
            world.leader(&operator.client)?;
            from = Instant::now();
            outages.add(start.elapsed())?;
            stopped = Some(leader);
        }
        let id = operator.submit(world)?;
        if !elected {
            from = Instant::now();
        }
        operator.wait(world, id)?;
        let times = if elected { &mut first } else { &mut all };
        times.add(from.elapsed())?;
    }
    if let Some(at) = stopped {
        world.restart(at)?;
    }
    outages.print("stop of the leader to the answer of the next one");
    first.print("end of an election to in force of the first change");
    all.print("accepted to in force between elections");
    report.at_most(
        "end of an election to in force max, ms",
        IN_FORCE_MAX_MS,
        first.max_ms().max(all.max_ms()),
    );
    Ok(())
}

/// Changes while the polls of a failure domain are cut.
fn cuts(world: &World, operator: &mut Operator, report: &mut Report) -> Outcome<()> {
    let mut times = Times::new()?;
    for round in 0..CUTS {
        let domain = round % DOMAINS;
        operator.settle(world)?;
        world.cut(domain, true);
        let id = operator.submit(world)?;
        sleep(CUT);
        let lookup = rpc::Lookup {
            id: id.clone(),
            wait: Span::ZERO,
        };
        let during = world
            .block_on(operator.client.outcome(&lookup, LIMIT))
            .map_err(text)?;
        let listed = during.pending.iter().map(|p| p.domain.to_string());
        let expected = vec![format!("domain-{domain}"); ENTRIES / DOMAINS];
        if during.in_force || listed.collect::<Vec<_>>() != expected {
            return Err(format!(
                "unexpected list during a cut: {:?}",
                during.pending
            ));
        }
        world.cut(domain, false);
        let back = Instant::now();
        operator.wait(world, id)?;
        times.add(back.elapsed())?;
    }
    times.print("end of a cut to in force");
    report.at_most(
        "end of a cut to in force max, ms",
        IN_FORCE_MAX_MS,
        times.max_ms(),
    );
    Ok(())
}

/// Bytes, CPU time and memory while nothing changes.
fn idle(world: &World, seconds: u64, report: &mut Report) -> Outcome<()> {
    let log = |w: &World| -> Vec<u64> { w.log_meters.iter().map(|m| m.bytes()).collect() };
    let polls = |w: &World| -> Vec<u64> { w.poll_meters.iter().map(|m| m.bytes()).collect() };
    let (entries, logs, answered) = (world.entry_bytes(), log(world), polls(world));
    let threads = usage::threads()?;
    sleep(Duration::from_secs(seconds));
    let later = usage::threads()?;
    let rate = |after: Vec<u64>, before: &[u64]| -> Vec<u64> {
        let grown = after.iter().zip(before).map(|(a, b)| (a - b) / seconds);
        grown.collect()
    };
    let entry = rate(world.entry_bytes(), &entries);
    let log = rate(log(world), &logs);
    let polls = rate(polls(world), &answered);
    println!("idle bytes/s of the entry instances: {entry:?}");
    println!("idle bytes/s of log messages by receiving replica: {log:?}");
    println!("idle bytes/s of polls by answering replica: {polls:?}");
    let max = |list: &[u64]| list.iter().copied().max().unwrap_or(0);
    report.at_most(
        "idle bytes/s of an entry instance, max",
        IDLE_BYTES,
        max(&entry),
    );
    // The leader sends what the others receive and answers the polls.
    let leader = log.iter().sum::<u64>() + max(&polls);
    report.at_most("idle bytes/s of the control leader", IDLE_BYTES, leader);
    for (who, prefix) in [
        ("an entry instance", "entry-"),
        ("a control replica", "control"),
    ] {
        let ms = usage::growth(&threads, &later, prefix);
        #[expect(clippy::cast_precision_loss, reason = "a few seconds in milliseconds")]
        let percent = ms as f64 / (seconds * 10) as f64;
        report.at_most(&format!("idle CPU of {who}, %"), IDLE_CPU_PERCENT, percent);
    }
    let memory = usage::resident_mb()?;
    println!(
        "resident memory of all {} parts: {memory} MB",
        ENTRIES + REPLICAS
    );
    report.at_most(
        "resident memory, MB, at most that of all parts",
        MEMORY_MB,
        memory,
    );
    Ok(())
}

/// Stops all control replicas, starts them again and measures until they serve.
fn restart(world: &mut World, operator: &Operator) -> Outcome<()> {
    for at in 0..REPLICAS {
        world.stop(at)?;
    }
    let folder = world.folder_bytes()?;
    let start = Instant::now();
    for at in 0..REPLICAS {
        world.restart(at)?;
    }
    let opened = start.elapsed();
    let status = world
        .block_on(operator.client.status(LIMIT))
        .map_err(text)?;
    println!(
        "restart after {} changes: opened {opened:.1?}, served {:.1?}, largest folder {} kB, revision {}",
        operator.number,
        start.elapsed(),
        folder / 1_000,
        status.revision
    );
    if status.revision != operator.number as u64 {
        return Err(format!(
            "{} changes were accepted and revision {} is served",
            operator.number, status.revision
        ));
    }
    Ok(())
}

fn measure(folder: &Path, changes: usize, seconds: u64, report: &mut Report) -> Outcome<()> {
    let mut world = World::start(folder)?;
    let mut operator = Operator {
        client: world.client()?,
        number: 0,
        taken_out: false,
    };
    operator.settle(&world)?;
    calm(&world, &mut operator, changes, report)?;
    restart(&mut world, &operator)?;
    operator.settle(&world)?;
    elections(&mut world, &mut operator, changes, report)?;
    cuts(&world, &mut operator, report)?;
    operator.settle(&world)?;
    idle(&world, seconds, report)?;
    while operator.number < LATE_RESTART {
        operator.submit(&world)?;
    }
    restart(&mut world, &operator)?;
    operator.settle(&world)?;
    world.end()
}

/// Runs the bench and prints its targets.
pub fn run(seed: u64, changes: usize, seconds: u64) -> ExitCode {
    let mut report = Report::begin("control", seed);
    let folder = std::env::temp_dir().join(format!("masticlock-bench-{}", std::process::id()));
    let result = measure(&folder, changes, seconds, &mut report);
    if let Err(error) = std::fs::remove_dir_all(&folder) {
        eprintln!("the data folder stays: {error}");
    }
    match result {
        Ok(()) => report.finish(),
        Err(error) => {
            println!("the run broke off: {error}");
            ExitCode::FAILURE
        }
    }
}
