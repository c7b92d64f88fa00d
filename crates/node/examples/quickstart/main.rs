//! The main job in one process: three control replicas and nine entry instances of the Pindan
//! Crown example, with fake engines, services and callers on loopback.
//!
//! Prints what callers got and exits with 0 only if every check held.

mod deployment;
mod load;

use std::{
    collections::BTreeMap,
    process::ExitCode,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use masticlock::rpc::{TIMELINE_READ, TimelineFrom};
use masticlock_core::{
    config::{Change, Restriction},
    inventory, name,
    time::Span,
    timeline::{self, Event},
};
use tokio::time::sleep;

use deployment::{Deployment, Failure};
use load::{Caller, Kind, Seen};

/// Requests of each kind.
const REQUESTS: u64 = 120;

/// Longest run of the whole example.
const LIMIT: Duration = Duration::from_mins(1);

/// Time after which a taken-out failure domain gets no new work.
const TAKE_OUT_LIMIT: Duration = Duration::from_secs(2);

/// Prints checks and counts those that failed.
#[derive(Default)]
struct Checks {
    failed: usize,
}

impl Checks {
    fn check(&mut self, what: &str, held: bool, seen: &str) {
        println!(
            "check {what}: {} ({seen})",
            if held { "held" } else { "FAILED" }
        );
        self.failed += usize::from(!held);
    }
}

fn main() -> ExitCode {
    let start = Instant::now();
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("quickstart: {error}");
            return ExitCode::FAILURE;
        }
    };
    let mut checks = Checks::default();
    let outcome = runtime.block_on(run(&mut checks));
    if let Err(error) = outcome {
        eprintln!("quickstart: {error}");
        return ExitCode::FAILURE;
    }
    let took = start.elapsed();
    checks.check(
        "the run ends within 60 s",
        took <= LIMIT,
        &format!("{took:.1?}"),
    );
    println!("{} checks failed", checks.failed);
    ExitCode::from(u8::from(checks.failed > 0))
}

async fn run(checks: &mut Checks) -> Result<(), Failure> {
    let mut deployment = Deployment::start().await?;
    println!(
        "{} control replicas, {} entry instances, {} upstreams\n",
        deployment.replicas.len(),
        deployment.entries.len(),
        deployment.upstreams.len()
    );
    let caller = Caller::new(deployment.urls(None));
    kinds(checks, &deployment, &caller).await?;
    book_twice(checks, &deployment, &caller).await?;
    withdraw(checks, &deployment, &caller).await?;
    take_out(checks, &deployment, &caller).await?;
    stop_one(checks, &mut deployment, &caller).await?;
    print_timeline(checks, &deployment).await?;
    Ok(())
}

/// Cost of the same tokens on the dearest version, and the mean quality that the inventory states
/// for the versions that answered, which the fakes have by definition.
fn against_best(seen: &Seen, inventory: &inventory::Raw) -> (f64, f64, f64) {
    let price =
        |v: &inventory::Version| f64::from(u32::try_from(v.answer_cost).unwrap_or(u32::MAX));
    let best = inventory.versions.iter().map(price).fold(0.0, f64::max);
    let (mut cost, mut dearest, mut quality, mut answers) = (0.0, 0.0, 0.0, 0.0);
    for (name, (count, sum)) in &seen.versions {
        let version = inventory.versions.iter().find(|v| v.name.as_str() == name);
        let Some(version) = version else { continue };
        let count = f64::from(u32::try_from(*count).unwrap_or(u32::MAX));
        cost += sum;
        dearest += sum * best / price(version);
        quality += count * version.prior_quality;
        answers += count;
    }
    (cost, dearest, quality / answers.max(1.0))
}

async fn kinds(
    checks: &mut Checks,
    deployment: &Deployment,
    caller: &Caller,
) -> Result<(), Failure> {
    println!("| kind | requests | versions | cost | always best | quality | p50 ms | p99 ms |");
    println!("|---|---|---|---|---|---|---|---|");
    let (mut failed, mut total, mut best) = (Vec::new(), 0.0, 0.0);
    for kind in Kind::ALL.into_iter().rev() {
        let seen = caller.run(kind, 0, REQUESTS).await?;
        let (cost, dearest, quality) = against_best(&seen, &deployment.inventory);
        total += cost;
        best += dearest;
        let versions: Vec<_> = seen
            .versions
            .iter()
            .map(|(version, (count, _))| format!("{version} ×{count}"))
            .collect();
        let millis = |q| {
            let micros = u32::try_from(seen.micros.value_at_quantile(q)).unwrap_or(u32::MAX);
            f64::from(micros) / 1_000.0
        };
        let model = |text: String| if kind.is_model() { text } else { "-".into() };
        println!(
            "| {} | {} | {} | {} | {} | {} | {:.1} | {:.1} |",
            kind.name(),
            seen.requests,
            model(versions.join(", ")),
            model(format!("{cost:.0}")),
            model(format!("{dearest:.0}")),
            model(format!("{quality:.3}")),
            millis(0.5),
            millis(0.99),
        );
        failed.extend(seen.failed);
    }
    println!();
    for text in failed.iter().take(5) {
        println!("failed: {text}");
    }
    checks.check(
        "every request is answered",
        failed.is_empty(),
        &format!("{} failed", failed.len()),
    );
    checks.check(
        "cost is at most half of always the best model",
        total <= best / 2.0,
        &format!("{total:.0} against {best:.0}"),
    );
    Ok(())
}

async fn book_twice(
    checks: &mut Checks,
    deployment: &Deployment,
    caller: &Caller,
) -> Result<(), Failure> {
    let urls = deployment.urls(None);
    let first = caller.book(&urls[0], "double-1").await?;
    let second = caller.book(&urls[urls.len() - 1], "double-1").await?;
    let runs = deployment.bookings("double-1");
    checks.check(
        "a booking sent twice through two instances runs once",
        runs == 1 && first.status.is_success() && first.body == second.body,
        &format!(
            "{runs} runs, answers {} and {}",
            first.status, second.status
        ),
    );
    Ok(())
}

async fn withdraw(
    checks: &mut Checks,
    deployment: &Deployment,
    caller: &Caller,
) -> Result<(), Failure> {
    let version = name::Version::try_from("advisor-3b@4")?;
    let limit = Restriction::Withdraw(version.clone());
    let submitted = deployment
        .submit("withdraw", Change::Restrict(limit.clone()))
        .await?;
    checks.check(
        "a withdrawal is in force on all instances within 4 s",
        submitted.in_force,
        &format!("{} not confirmed", submitted.pending.len()),
    );
    let seen = caller.run(Kind::Tag, 1_000, REQUESTS).await?;
    let used = seen.versions.get(version.as_str()).map_or(0, |v| v.0);
    checks.check(
        "a withdrawn version gets no new work",
        used == 0 && seen.failed.is_empty(),
        &format!("{used} of {}, {} failed", seen.requests, seen.failed.len()),
    );
    deployment
        .submit("return-version", Change::Allow(limit))
        .await?;
    Ok(())
}

async fn take_out(
    checks: &mut Checks,
    deployment: &Deployment,
    caller: &Caller,
) -> Result<(), Failure> {
    let domain = "karratha";
    let limit = Restriction::TakeOut(name::Domain::try_from(domain)?);
    // A taken-out failure domain's instances leave the load balancer, so callers use the others.
    let stop = Arc::new(AtomicBool::new(false));
    let load = tokio::spawn({
        let (caller, stop) = (caller.clone(), stop.clone());
        async move { caller.keep_on(stop, 2_000).await }
    });
    sleep(Duration::from_millis(300)).await;
    let begin = Instant::now();
    deployment
        .submit("take-out", Change::Restrict(limit.clone()))
        .await?;
    sleep(TAKE_OUT_LIMIT.saturating_sub(begin.elapsed())).await;
    let before = deployment.runs(domain);
    sleep(Duration::from_secs(1)).await;
    let after = deployment.runs(domain);
    checks.check(
        "a taken-out failure domain gets no new work after 2 s",
        before == after,
        &format!("{} requests in the second after that", after - before),
    );
    deployment.submit("return", Change::Allow(limit)).await?;
    let end = Instant::now() + Duration::from_secs(5);
    while deployment.runs(domain) == after && Instant::now() < end {
        sleep(Duration::from_millis(50)).await;
    }
    stop.store(true, Ordering::Relaxed);
    let seen = load.await??;
    checks.check(
        "a returned failure domain works again",
        deployment.runs(domain) > after,
        &format!("{} requests", deployment.runs(domain) - after),
    );
    for text in seen.failed.iter().take(3) {
        println!("failed: {text}");
    }
    checks.check(
        "callers are served during the take-out",
        seen.failed.is_empty(),
        &format!("{} of {} failed", seen.failed.len(), seen.requests),
    );
    Ok(())
}

async fn stop_one(
    checks: &mut Checks,
    deployment: &mut Deployment,
    caller: &Caller,
) -> Result<(), Failure> {
    let urls = deployment.urls(None);
    let stop = Arc::new(AtomicBool::new(false));
    let probes = tokio::spawn({
        let (caller, urls, stop) = (caller.clone(), urls, stop.clone());
        async move {
            while !stop.load(Ordering::Relaxed) {
                caller.probe(&urls).await;
                sleep(Duration::from_millis(100)).await;
            }
        }
    });
    let load = tokio::spawn({
        let (caller, stop) = (caller.clone(), stop.clone());
        async move { caller.keep_on(stop, 3_000).await }
    });
    sleep(Duration::from_millis(500)).await;
    let Some((_, handle)) = deployment.entries[0].take() else {
        return Err("the first instance has stopped already".into());
    };
    let cut = handle.stop(std::future::pending()).await;
    sleep(Duration::from_millis(500)).await;
    stop.store(true, Ordering::Relaxed);
    let seen = load.await??;
    probes.await?;
    for text in seen.failed.iter().take(3) {
        println!("failed: {text}");
    }
    checks.check(
        "a graceful stop under load cuts no request",
        cut == 0 && seen.failed.is_empty() && seen.requests > 0,
        &format!(
            "{cut} cut, {} of {} failed",
            seen.failed.len(),
            seen.requests
        ),
    );
    Ok(())
}

async fn print_timeline(checks: &mut Checks, deployment: &Deployment) -> Result<(), Failure> {
    let mut logs = Vec::new();
    for address in deployment.processes() {
        let from = TimelineFrom { after: 0 };
        let read: Result<Vec<Event>, _> = deployment
            .control
            .pool()
            .call(&address, TIMELINE_READ, &from, Span::from_secs(2))
            .await;
        logs.push(read.map_err(|failure| failure.error)?);
    }
    let processes = logs.len();
    let events = timeline::merge(logs);
    let mut by_process: BTreeMap<_, usize> = BTreeMap::new();
    for event in &events {
        *by_process.entry(event.instance.clone()).or_default() += 1;
    }
    println!("\ntime line, last 24 of {} events:", events.len());
    for event in events.iter().rev().take(24).rev() {
        println!("  {event}");
    }
    checks.check(
        "every process is on the time line",
        by_process.len() == processes,
        &format!("{} of {processes}", by_process.len()),
    );
    Ok(())
}
