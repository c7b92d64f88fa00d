//! Output of the command line, for people and as JSON.

use std::path::Path;

use masticlock_core::{
    command::Outcome,
    config::{Config, Progress},
    feed::Pending,
    ledger::Bill,
    name, plain,
    timeline::{self, Event},
};
use serde::Serialize;

use super::{Exit, Failure, LIMIT, settings::Settings};
use crate::{client::Control, control::Recovered, rpc};

pub fn json<T>(value: &T) -> Result<Exit, Failure>
where
    T: Serialize,
{
    let text = serde_json::to_string_pretty(value).map_err(Failure::usage)?;
    println!("{text}");
    Ok(Exit::Done)
}

#[derive(Serialize)]
struct Submitted<'a> {
    id: &'a name::Command,
    #[serde(flatten)]
    submitted: &'a rpc::Submitted,
}

/// Prints the outcome of a command: accepted and in force are two answers.
pub fn submitted(
    id: &name::Command,
    submitted: &rpc::Submitted,
    as_json: bool,
) -> Result<(), Failure> {
    if as_json {
        return json(&Submitted { id, submitted }).map(drop);
    }
    match &submitted.outcome {
        Outcome::Accepted { revision } => {
            println!("command {id}: accepted as revision {revision}");
            force(submitted.in_force, &submitted.pending);
        }
        Outcome::Refused { error, winner } => {
            println!("command {id}: refused: {error}");
            if let Some(winner) = winner {
                println!(
                    "  revision {} was made by command {} of {}",
                    winner.revision, winner.id, winner.operator
                );
            }
        }
    }
    Ok(())
}

fn force(in_force: bool, pending: &[Pending]) {
    if in_force {
        println!("in force: on every live instance");
        return;
    }
    println!(
        "in force: not yet, {} instances have not confirmed",
        pending.len()
    );
    for entry in pending {
        let revision = entry
            .revision
            .map_or_else(|| "none heard".to_owned(), |r| format!("revision {r}"));
        let lapsed = if entry.lapsed {
            ", its configuration lease has ended"
        } else {
            ""
        };
        println!(
            "  {} in {}: {revision}, last poll {} ago{lapsed}",
            entry.instance, entry.domain, entry.silent
        );
    }
}

/// Prints a restriction that holds at one instance.
pub fn restricted(restrict: &rpc::Restrict, at: &str, as_json: bool) -> Result<Exit, Failure> {
    if as_json {
        return json(restrict);
    }
    println!(
        "restriction {} holds at {at} and spreads; only an accepted revision lifts it: \
         masticlock lift {}",
        restrict.id, restrict.id
    );
    Ok(Exit::Done)
}

/// Prints the state of the system.
pub fn status(status: &rpc::Status, as_json: bool) -> Result<Exit, Failure> {
    if as_json {
        return json(status);
    }
    println!("revision {} digest {}", status.revision, status.digest);
    force(status.in_force, &status.pending);
    let replica = &status.replica;
    println!(
        "leader in term {}, committed index {}, lease {}",
        replica.term,
        replica.commit,
        if replica.may_act { "valid" } else { "ended" }
    );
    for (kind, members) in [("voter", &replica.voters), ("learner", &replica.learners)] {
        for member in members {
            println!("  {kind} {} at {}", member.instance, member.address);
        }
    }
    println!("{} instances", status.members.len());
    for member in &status.members {
        println!("  {} in {}", member.instance, member.domain);
    }
    println!(
        "{} claims, {} bills on the leader's disk, {} records",
        status.claims,
        status.bills,
        status.records.len()
    );
    Ok(Exit::Done)
}

/// Reads the accepted configuration.
pub async fn config(control: &Control) -> Result<Config, Failure> {
    Ok(control.config(LIMIT).await?)
}

/// Prints the rollouts of the configuration.
pub fn rollouts(config: &Config, as_json: bool) -> Result<Exit, Failure> {
    if as_json {
        return json(&config.rollouts);
    }
    if config.rollouts.is_empty() {
        println!("no rollout");
    }
    for rollout in &config.rollouts {
        let progress = match rollout.progress {
            Progress::Running => "running",
            Progress::RolledBack => "rolled back",
            Progress::Finished => "finished",
        };
        println!(
            "{} against {}: {progress}, stage {} of {}, share {}, since revision {}{}",
            rollout.version,
            rollout.baseline,
            rollout.stage + 1,
            rollout.stages.len(),
            rollout.stages[rollout.stage].share,
            rollout.since,
            rollout
                .reason
                .as_ref()
                .map_or_else(String::new, |r| format!(", {r}")),
        );
    }
    Ok(Exit::Done)
}

plain! {
    /// Bills of one client account in total.
    #[derive(Eq)]
    struct Total {
        account: name::Account,
        requests: u64,
        cost: u64,
    }
}

/// Prints totals per client account, or the bills of one.
pub async fn bills(
    control: &Control,
    settings: &Settings,
    account: Option<String>,
    as_json: bool,
) -> Result<Exit, Failure> {
    let mut bills = Vec::new();
    let mut silent = 0;
    for address in &settings.control {
        match control.bills(address, LIMIT).await {
            Ok(page) => bills.extend(page),
            Err(error) => {
                silent += 1;
                eprintln!("masticlock: {address}: {error}");
            }
        }
    }
    if silent == settings.control.len() {
        return Err(Failure {
            exit: Exit::Unreachable,
            message: "no control replica listed its bills".into(),
        });
    }
    // Each settled bill is on two disks, so one silent replica hides none.
    if silent > 1 {
        eprintln!("masticlock: {silent} replicas are silent, so bills may be missing");
    }
    let bills = union(bills);
    match account {
        Some(account) => {
            let account = name::Account::try_from(account)?;
            let own: Vec<_> = bills.into_iter().filter(|b| b.account == account).collect();
            print_bills(&own, as_json)
        }
        None => print_totals(&totals(&bills), as_json),
    }
}

/// Keeps one bill per request: the one with the most parts and cost.
fn union(mut bills: Vec<Bill>) -> Vec<Bill> {
    bills.sort_by(|a, b| {
        let key = |bill: &Bill| (bill.account.clone(), bill.request.clone());
        key(a).cmp(&key(b)).then_with(|| {
            let size = |bill: &Bill| (bill.parts.len(), bill.cost());
            size(b).cmp(&size(a))
        })
    });
    bills.dedup_by(|a, b| a.account == b.account && a.request == b.request);
    bills
}

fn totals(bills: &[Bill]) -> Vec<Total> {
    let mut totals: Vec<Total> = Vec::new();
    for bill in bills {
        match totals.last_mut() {
            Some(total) if total.account == bill.account => {
                total.requests += 1;
                total.cost += bill.cost();
            }
            _ => totals.push(Total {
                account: bill.account.clone(),
                requests: 1,
                cost: bill.cost(),
            }),
        }
    }
    totals
}

fn print_totals(totals: &[Total], as_json: bool) -> Result<Exit, Failure> {
    if as_json {
        return json(&totals);
    }
    for total in totals {
        println!(
            "{}: {} requests, cost {}",
            total.account, total.requests, total.cost
        );
    }
    Ok(Exit::Done)
}

fn print_bills(bills: &[Bill], as_json: bool) -> Result<Exit, Failure> {
    if as_json {
        return json(&bills);
    }
    for bill in bills {
        println!(
            "{}: cost {}, {} parts",
            bill.request,
            bill.cost(),
            bill.parts.len()
        );
    }
    Ok(Exit::Done)
}

/// Prints the merged time line of all processes that answer.
pub async fn timeline(
    control: &Control,
    settings: &Settings,
    as_json: bool,
) -> Result<Exit, Failure> {
    let mut logs = Vec::new();
    let mut silent = 0;
    for address in settings.control.iter().chain(&settings.entries) {
        let read: Result<Vec<Event>, _> = control
            .pool()
            .call(
                address,
                rpc::TIMELINE_READ,
                &rpc::TimelineFrom { after: 0 },
                LIMIT,
            )
            .await;
        match read {
            Ok(events) => logs.push(events),
            Err(failure) => {
                silent += 1;
                eprintln!("masticlock: {address}: {}", failure.error);
            }
        }
    }
    let events = timeline::merge(logs);
    if as_json {
        json(&events)?;
    } else {
        for event in &events {
            println!("{event}");
        }
    }
    Ok(if silent == 0 {
        Exit::Done
    } else {
        Exit::Unreachable
    })
}

/// Prints why a request got its plan, from the instance that still knows.
pub async fn explain(
    control: &Control,
    settings: &Settings,
    request: &str,
    as_json: bool,
) -> Result<Exit, Failure> {
    let ask = rpc::Explain {
        request: name::Request::try_from(request)?,
    };
    for address in &settings.entries {
        let found: Result<rpc::Explanation, _> = control
            .pool()
            .call(address, rpc::REQUEST_EXPLAIN, &ask, LIMIT)
            .await;
        let Ok(found) = found else { continue };
        if as_json {
            return json(&found);
        }
        println!(
            "request {request}: task {}, target {}, {} ms to the deadline",
            found.task, found.quality, found.deadline_ms
        );
        for considered in &found.considered {
            let plan = &considered.plan;
            let steps: Vec<_> = plan.steps.iter().map(name::Version::as_str).collect();
            println!(
                "  {:?}: {}: cost {:.1}, quality {:.3}, {:.0} ms",
                considered.verdict,
                steps.join(" then "),
                plan.cost,
                plan.quality,
                plan.millis
            );
        }
        return Ok(Exit::Done);
    }
    Err(Failure {
        exit: Exit::Refused,
        message: format!("no entry instance that answered knows request {request}"),
    })
}

/// Prints that a file is right, with notes.
pub fn checked(file: &Path, notes: &[String], as_json: bool) -> Result<Exit, Failure> {
    if as_json {
        return json(&serde_json::json!({"file": file, "notes": notes}));
    }
    println!("{}: no fault found", file.display());
    for note in notes {
        println!("  note: {note}");
    }
    Ok(Exit::Done)
}

/// Prints what a recovery keeps and what it may lose.
pub fn recovered(
    folder: &Path,
    report: &Recovered,
    written: bool,
    as_json: bool,
) -> Result<Exit, Failure> {
    if as_json {
        return json(report);
    }
    println!(
        "{}: last record {} of term {}; {} records may never have been committed",
        folder.display(),
        report.last_index,
        report.last_term,
        report.unconfirmed
    );
    println!("commands and claims that only the lost replicas had are lost for good");
    for member in &report.former {
        println!("  former replica {} at {}", member.instance, member.address);
    }
    println!(
        "{}",
        if written {
            "written: the folder now holds a log with one voter"
        } else {
            "nothing written; repeat with --write to make a log with one voter"
        }
    );
    Ok(Exit::Done)
}
