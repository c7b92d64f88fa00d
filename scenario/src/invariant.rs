//! The invariants of section 1.2 of the design page as checks over a record.

use masticlock_core::{
    config::Restriction,
    error::Execution,
    name,
    time::{Span, Time},
};

use crate::world::record::{Asked, Closure, End, Record, Run};

/// Longest time until an accepted configuration is in force.
pub const IN_FORCE: Span = Span::from_secs(4);
/// Longest time until a taken-out failure domain gets no new work.
pub const TAKEN_OUT: Span = Span::from_secs(2);
/// Longest time until a leaving upstream gets no new work.
pub const LEAVING: Span = Span::from_secs(2);
/// Control replicas whose disks must have a bill.
const DISKS: usize = 2;

/// An invariant with its name and check.
#[derive(Clone, Copy, Debug)]
pub struct Invariant {
    /// Name on the design page.
    pub name: &'static str,
    check: fn(&Record) -> Result<(), String>,
}

/// All invariants in the order of the design page.
pub const ALL: [Invariant; 12] = [
    Invariant {
        name: "allowed",
        check: allowed,
    },
    Invariant {
        name: "withdrawn",
        check: withdrawn,
    },
    Invariant {
        name: "session",
        check: session,
    },
    Invariant {
        name: "billed",
        check: billed,
    },
    Invariant {
        name: "cold",
        check: cold,
    },
    Invariant {
        name: "taken-out",
        check: taken_out,
    },
    Invariant {
        name: "whole",
        check: whole,
    },
    Invariant {
        name: "not-run",
        check: not_run,
    },
    Invariant {
        name: "at-most-once",
        check: at_most_once,
    },
    Invariant {
        name: "leaving",
        check: leaving,
    },
    Invariant {
        name: "graceful",
        check: graceful,
    },
    Invariant {
        name: "in-force",
        check: in_force,
    },
];

/// A broken invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Name of the invariant.
    pub name: &'static str,
    /// What was seen.
    pub seen: String,
}

impl Invariant {
    /// Checks a record.
    ///
    /// # Errors
    ///
    /// Returns what breaks the invariant.
    pub fn check(&self, record: &Record) -> Result<(), Violation> {
        (self.check)(record).map_err(|seen| Violation {
            name: self.name,
            seen,
        })
    }
}

/// Returns the invariants that a record breaks.
#[must_use]
pub fn broken(record: &Record) -> Vec<Violation> {
    let checks = ALL.iter();
    checks.filter_map(|i| i.check(record).err()).collect()
}

fn fail_on<T, I, F>(items: I, mut test: F) -> Result<(), String>
where
    I: IntoIterator<Item = T>,
    F: FnMut(T) -> Option<String>,
{
    match items.into_iter().find_map(&mut test) {
        Some(seen) => Err(seen),
        None => Ok(()),
    }
}

fn allowed(record: &Record) -> Result<(), String> {
    fail_on(&record.runs, |run| {
        let version = run.version.as_ref()?;
        let allowed = record.config.is_allowed(&run.account, version);
        (!allowed).then(|| format!("{} ran {} for {}", run.upstream, version, run.account))
    })
}

/// Returns whether a run began later than a closure allows. An instance counts
/// from when it had contact with a leader; without contact it serves as
/// section 4.4 of the design page says.
fn is_late(run: &Run, closure: &Closure, limit: Span) -> bool {
    let Some(reachable) = run.reachable else {
        return false;
    };
    let from = closure.at.max(reachable);
    run.at > from + limit && closure.until.is_none_or(|until| run.at < until)
}

fn closed_runs<F>(record: &Record, limit: Span, closes: F) -> Result<(), String>
where
    F: Fn(&Restriction, &Run) -> bool,
{
    fail_on(&record.closures, |closure| {
        let runs = record.runs.iter().filter(|r| closes(&closure.limit, r));
        let late = runs
            .filter(|r| is_late(r, closure, limit))
            .max_by_key(|r| r.at)?;
        Some(format!(
            "{} began {} at {}, {:?} is accepted since {}",
            late.upstream, late.request, late.at, closure.limit, closure.at
        ))
    })
}

fn withdrawn(record: &Record) -> Result<(), String> {
    closed_runs(
        record,
        IN_FORCE,
        |limit, run| matches!(limit, Restriction::Withdraw(v) if run.version.as_ref() == Some(v)),
    )
}

fn taken_out(record: &Record) -> Result<(), String> {
    closed_runs(
        record,
        TAKEN_OUT,
        |limit, run| matches!(limit, Restriction::TakeOut(d) if run.domain == *d),
    )
}

fn session(record: &Record) -> Result<(), String> {
    let mut ended: Vec<&Asked> = record
        .asked
        .iter()
        .filter(|a| a.end == End::Complete)
        .collect();
    ended.sort_by_key(|a| a.ended);
    fail_on(&ended, |asked| {
        let (session, before) = asked.session.as_ref()?;
        let (before, after) = (before.as_ref()?, asked.version.as_ref()?);
        if before == after {
            return None;
        }
        let closed = |c: &Closure| {
            c.at <= asked.ended && matches!(&c.limit, Restriction::Withdraw(v) if v == before)
        };
        let may_move = record.closures.iter().any(closed);
        (!may_move || !asked.moved)
            .then(|| format!("session {session} moved from {before} to {after}"))
    })
}

fn billed(record: &Record) -> Result<(), String> {
    let served = |a: &&Asked| a.end == End::Complete || !a.got.is_empty() && a.end != End::Replayed;
    let bills_of = |account: &name::Account, request: &name::Request| -> Vec<_> {
        let bills = record.bills.iter();
        bills
            .filter(|(_, b)| b.account == *account && b.request == *request)
            .collect()
    };
    fail_on(&record.bills, |(replica, bill)| {
        let mine = bills_of(&bill.account, &bill.request);
        let copies = mine.iter().filter(|(r, _)| r == replica).count();
        (copies > 1).then(|| format!("{replica} has {copies} bills of {}", bill.request))
    })?;
    fail_on(record.asked.iter().filter(served), |asked| {
        let bills = bills_of(&asked.account, &asked.request);
        if bills.len() < DISKS {
            return Some(format!(
                "the bill of {} ({}) is on {} disks",
                asked.request,
                asked.label,
                bills.len()
            ));
        }
        let wrong = |b: &&&(String, masticlock_core::ledger::Bill)| b.1.cost() != asked.cost;
        let complete = asked.end == End::Complete;
        let wrong = bills.iter().find(wrong).filter(|_| complete)?;
        Some(format!(
            "{} costs {} and is billed {}",
            asked.request,
            asked.cost,
            wrong.1.cost()
        ))
    })
}

fn cold(record: &Record) -> Result<(), String> {
    fail_on(&record.runs, |run| {
        (run.load > run.bears).then(|| {
            format!(
                "{} ran {} at once at {} and bears {}",
                run.upstream, run.load, run.at, run.bears
            )
        })
    })
}

fn whole(record: &Record) -> Result<(), String> {
    fail_on(&record.asked, |asked| {
        let fits = match asked.end {
            End::Complete | End::Replayed => asked.got == asked.whole,
            End::Open | End::Failed(_) | End::Broken => asked.whole.starts_with(&asked.got),
        };
        (!fits).then(|| {
            format!(
                "{} got {:?} and ended {:?}",
                asked.label, asked.got, asked.end
            )
        })
    })
}

fn not_run(record: &Record) -> Result<(), String> {
    fail_on(&record.asked, |asked| {
        let End::Failed(error) = &asked.end else {
            return None;
        };
        let says = error.kind.response().execution == Execution::NotRun;
        let ran = record.runs.iter().any(|r| r.request == asked.request);
        (says && ran).then(|| format!("{} ran and ended with {error}", asked.request))
    })
}

fn at_most_once(record: &Record) -> Result<(), String> {
    let single: Vec<_> = record.runs.iter().filter(|r| !r.repeatable).collect();
    fail_on(single.iter().enumerate(), |(at, run)| {
        let again = single[..at].iter().find(|other| match &run.key {
            Some(_) => other.account == run.account && other.key == run.key,
            None => other.request == run.request,
        })?;
        Some(format!(
            "{} on {} and {} on {} are one call",
            again.request, again.upstream, run.request, run.upstream
        ))
    })
}

fn leaving(record: &Record) -> Result<(), String> {
    fail_on(&record.leaving, |left| {
        let runs = record.runs.iter().filter(|r| r.upstream == left.upstream);
        let late = runs
            .filter(|r| !r.resumed)
            .find(|r| r.at > left.at + LEAVING)?;
        Some(format!(
            "{} began {} at {} and is leaving since {}",
            late.upstream, late.request, late.at, left.at
        ))
    })
}

fn graceful(record: &Record) -> Result<(), String> {
    fail_on(&record.stops, |stop| {
        let first = stop.interrupted.first()?;
        Some(format!("the stop of {} interrupted {first}", stop.instance))
    })
}

fn in_force(record: &Record) -> Result<(), String> {
    reverts(record)?;
    races(record)?;
    fail_on(&record.accepted, |accepted| {
        let late = record.instances.iter().find(|instance| {
            let due = accepted.at.max(instance.since) + IN_FORCE;
            due < instance.until && !has(record, &instance.instance, accepted.revision, due)
        })?;
        Some(format!(
            "revision {} of {} was accepted at {} and not in force on {} {IN_FORCE} later",
            accepted.revision, accepted.id, accepted.at, late.instance
        ))
    })
}

fn has(record: &Record, instance: &str, revision: u64, due: Time) -> bool {
    let applied = record.applied.iter();
    let mut mine = applied.filter(|a| a.instance == instance && a.at <= due);
    mine.next_back().is_some_and(|a| a.revision >= revision)
}

/// Two accepted commands with the same expected revision, or a command that was
/// accepted at another revision than it expected, undo each other's decision.
fn races(record: &Record) -> Result<(), String> {
    fail_on(&record.accepted, |accepted| {
        let expects = accepted.expects?;
        (expects + 1 != accepted.revision).then(|| {
            format!(
                "{} expected revision {expects} and made {}",
                accepted.id, accepted.revision
            )
        })
    })
}

fn reverts(record: &Record) -> Result<(), String> {
    let applied = &record.applied;
    fail_on(applied.iter().enumerate(), |(at, later)| {
        let earlier = applied[..at].iter().find(|earlier| {
            let same = earlier.instance == later.instance && earlier.boot == later.boot;
            let back = same && earlier.revision >= later.revision;
            let differs = earlier.revision == later.revision && earlier.digest != later.digest;
            back || differs
        })?;
        Some(format!(
            "{} applied revision {} after {} had revision {}",
            later.instance, later.revision, earlier.instance, earlier.revision
        ))
    })
}
