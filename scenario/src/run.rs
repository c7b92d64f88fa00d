//! Runs scripts in a world and checks their expectations and all invariants.

use std::fmt;

use masticlock_core::{
    command::Outcome,
    error::Execution,
    name,
    time::{Span, Time},
};

use crate::{
    invariant::{self, Violation},
    script::{Action, Expect, Script, Step},
    world::{
        self, Mutation, SETTLED, Unknown, World, change_of,
        record::{Asked, End, Record},
    },
};

/// Time after the last step in which everything settles. Longer than the
/// takeover of a plain service.
const REST: Span = Span::from_secs(50);

/// What a script showed.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Expectations that did not hold.
    pub failures: Vec<String>,
    /// Invariants that were broken.
    pub broken: Vec<Violation>,
    /// Placed faults that struck.
    pub struck: usize,
    /// Whether a message fault is placed that no message met.
    pub pending: bool,
    /// Steps that were run.
    pub steps: usize,
    /// Requests of callers, resends included.
    pub requests: usize,
    /// Runs on upstreams.
    pub runs: usize,
    /// Digest of the record, equal for equal runs.
    pub digest: String,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} steps, {} requests, {} runs, {} failures, {} broken, digest {}",
            self.steps,
            self.requests,
            self.runs,
            self.failures.len(),
            self.broken.len(),
            &self.digest[..16]
        )
    }
}

/// An expectation that is looked at after the end.
struct Later {
    line: usize,
    at: Time,
    expect: Expect,
}

/// A fault to place while a script runs.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Time of the script from which on the step counts.
    pub from: Time,
    /// The step.
    pub step: world::step::Step,
    /// The request whose step counts; `None` counts that of any.
    pub label: Option<&'static str>,
    /// The fault.
    pub column: world::step::Column,
}

/// Runs a script.
///
/// # Errors
///
/// Returns [`Unknown`] if the script names a deployment or part that does not exist.
pub fn run(script: &Script) -> Result<Report, Unknown> {
    run_with(script, None, None)
}

/// Runs a script with a placed fault and a deliberate one.
///
/// # Errors
///
/// Returns [`Unknown`] if the script names a deployment or part that does not exist.
pub fn run_with(
    script: &Script,
    placement: Option<&Placement>,
    mutation: Option<Mutation>,
) -> Result<Report, Unknown> {
    let mut world = World::new(script.seed, mutation);
    let deployment = script.deployment.as_deref().unwrap_or("pindan-crown");
    world.deploy(deployment, &script.parts)?;
    let mut report = Report::default();
    let mut later = Vec::new();
    let mut placement = placement;
    for step in &script.steps {
        if let Some(p) = placement.take_if(|p| p.from <= step.at) {
            world.run_until(SETTLED + p.from.since(Time::ZERO));
            world.place(p.step, p.label, p.column);
        }
        let at = SETTLED + step.at.since(Time::ZERO);
        world.run_until(at);
        report.steps += 1;
        match &step.action {
            Action::Expect(expect @ (Expect::InForce | Expect::OneLeader | Expect::Repaired)) => {
                if let Some(seen) = expected_now(&mut world, expect) {
                    report.failures.push(format!("line {}: {seen}", step.line));
                }
            }
            Action::Expect(expect) => later.push(Later {
                line: step.line,
                at,
                expect: expect.clone(),
            }),
            _ => act(&mut world, step)?,
        }
    }
    world.run_until(world.now() + REST);
    let told = world.outcomes().to_vec();
    report.struck = world.struck().len();
    report.pending = world.has_pending_fate();
    let record = world.finish();
    for later in later {
        if let Some(seen) = expected(&record, &told, &later) {
            report.failures.push(format!("line {}: {seen}", later.line));
        }
    }
    report.broken = invariant::broken(&record);
    report.requests = record.asked.len();
    report.runs = record.runs.len();
    report.digest = digest(&record);
    Ok(report)
}

/// Returns a digest of everything that callers and upstreams saw.
#[must_use]
pub fn digest(record: &Record) -> String {
    let text = format!("{record:?}");
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
    for byte in text.bytes() {
        // FNV-1a.
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    format!("{hash:016x}")
}

fn part(world: &World, name: &str) -> Result<usize, Unknown> {
    world
        .find(name)
        .ok_or_else(|| Unknown::Part(name.to_owned()))
}

fn parts(world: &World, name: &str) -> Result<Vec<usize>, Unknown> {
    let leader = world.leader();
    let found = match name {
        "leader" => leader.into_iter().collect(),
        "others" => world.all().filter(|id| Some(*id) != leader).collect(),
        _ => world.members_of(name),
    };
    if found.is_empty() {
        return Err(Unknown::Part(name.to_owned()));
    }
    Ok(found)
}

fn act(world: &mut World, step: &Step) -> Result<(), Unknown> {
    match &step.action {
        Action::Send(request) => {
            part(world, &request.through)?;
            world.ask(request.clone(), request.session.clone());
        }
        Action::Operator {
            operator,
            order,
            through,
            expects,
            id,
        } => {
            let through = part(world, through)?;
            let mut command = world.command(operator, change_of(order));
            let id = id.as_deref().map(name::Command::try_from);
            if let Some(Ok(id)) = id {
                command.id = id;
            }
            command.expects = expects.map(|seen| seen + BASE);
            world.submit(command, through);
        }
        Action::Crash(name) => {
            for id in parts(world, name)? {
                world.crash(id, None);
            }
        }
        Action::Restart {
            part: name,
            without_data,
        } => {
            for id in parts(world, name)? {
                if *without_data {
                    world.wipe(id, Span::ZERO);
                } else {
                    world.start(id);
                }
            }
        }
        Action::Stop(name) => {
            let id = part(world, name)?;
            world.stop(id);
        }
        Action::Leave(name) => {
            let id = part(world, name)?;
            world.leave(id);
        }
        Action::Cool(name) => {
            for id in parts(world, name)? {
                world.cool(id);
            }
        }
        Action::Cut { from, to, both } => {
            let (from, to) = (parts(world, from)?, parts(world, to)?);
            world.cut(&from, &to, *both);
        }
        Action::Silence { from, to } => {
            for a in parts(world, from)? {
                for b in parts(world, to)? {
                    world.silence(a, b);
                }
            }
        }
        Action::Heal => world.heal(),
        Action::Expect(_) => {}
    }
    Ok(())
}

/// Revision of the configuration after the import. Scripts count revisions from there.
const BASE: u64 = 2;

fn expected_now(world: &mut World, expect: &Expect) -> Option<String> {
    match expect {
        Expect::OneLeader => {
            let leaders = world.leaders();
            (leaders != 1).then(|| format!("{leaders} leaders"))
        }
        Expect::Repaired => (!world.is_repaired()).then(|| "a repair is not complete".to_owned()),
        _ => world.not_in_force(),
    }
}

fn expected(record: &Record, told: &[crate::world::Told], later: &Later) -> Option<String> {
    match &later.expect {
        Expect::Answered(label) => {
            let ends = ends(record, label, |a| {
                matches!(a.end, End::Complete | End::Replayed) && a.got == a.whole
            });
            (ends != 1).then(|| format!("{label} was answered whole {ends} times"))
        }
        Expect::NotRun(label) => {
            let refused = ends(
                record,
                label,
                |a| matches!(&a.end, End::Failed(e) if e.kind.response().execution == Execution::NotRun),
            );
            let runs = runs(record, label);
            (refused == 0 || runs > 0)
                .then(|| format!("{label} was refused {refused} times and ran {runs} times"))
        }
        Expect::RanOnce(label) => {
            let runs = runs(record, label);
            (runs != 1).then(|| format!("{label} ran {runs} times"))
        }
        Expect::RanAtMost(label, most) => {
            let runs = runs(record, label);
            (runs > *most).then(|| format!("{label} ran {runs} times"))
        }
        Expect::BilledOnce(label) => {
            let billed = record.asked.iter().filter(|a| {
                a.label == *label
                    && record
                        .bills
                        .iter()
                        .any(|(_, b)| b.request == a.request && !b.parts.is_empty())
            });
            let billed = billed.count();
            (billed != 1).then(|| format!("{billed} requests of {label} were billed"))
        }
        Expect::NoNewWork(name) => {
            let late = record.runs.iter().find(|r| {
                let version = r.version.as_ref().map(name::Version::as_str);
                let on = [
                    r.upstream.as_str(),
                    r.domain.as_str(),
                    version.unwrap_or_default(),
                ];
                r.at >= later.at && on.contains(&name.as_str())
            })?;
            Some(format!(
                "{} began {} at {}",
                late.upstream, late.request, late.at
            ))
        }
        Expect::Accepted(id) => {
            let outcome = told.iter().find(|t| t.id == *id).map(|t| &t.outcome);
            (!matches!(outcome, Some(Outcome::Accepted { .. })))
                .then(|| format!("{id} has the outcome {outcome:?}"))
        }
        Expect::Conflict(id) => {
            let outcome = told.iter().find(|t| t.id == *id).map(|t| &t.outcome);
            (!matches!(
                outcome,
                Some(Outcome::Refused {
                    winner: Some(_),
                    ..
                })
            ))
            .then(|| format!("{id} has the outcome {outcome:?}"))
        }
        Expect::InForce | Expect::OneLeader | Expect::Repaired => None,
    }
}

fn ends<F>(record: &Record, label: &str, test: F) -> usize
where
    F: Fn(&Asked) -> bool,
{
    let asked = record.asked.iter();
    asked.filter(|a| a.label == label && test(a)).count()
}

fn runs(record: &Record, label: &str) -> usize {
    let of = |request: &name::Request| {
        record
            .asked
            .iter()
            .any(|a| a.label == label && a.request == *request)
    };
    record
        .runs
        .iter()
        .filter(|r| of(&r.request) && !r.resumed)
        .count()
}
