//! Added latency, CPU time and memory of the request path.
//!
//! The same open-loop load goes directly to a fake engine, through a bare
//! forwarder of poem and reqwest, and through one entry instance. The three
//! take turns, so that other work on the machine meets all of them. Load,
//! upstreams and the process under test run on threads of their own.

mod forwarder;
mod load;
mod usage;

use std::{collections::BTreeMap, io, process::ExitCode, time::Duration};

use masticlock::{
    entry::RawLimits,
    fake::{Conduct, Deployment, KEY, Mode, Plan, Profile},
};
use masticlock_core::name;
use serde_json::json;
use tokio::runtime::{Builder, Runtime};

use self::{forwarder::Forwarder, load::Load, usage::Usage};
use crate::report::Report;

/// Request rates per second.
const RATES: [u64; 3] = [200, 1_000, 2_000];
/// Turns of each way at each rate.
const ROUNDS: u32 = 3;
/// Requests before the measurement.
const WARM_UP: u64 = 2_000;
/// Most times the added latency of the bare forwarder.
const RATIO: f64 = 2.5;
/// Most resident memory in MB. It includes load and upstreams, which share the process.
const MEMORY_MB: f64 = 128.0;

/// Kinds of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Kind {
    Plain,
    Streamed,
    /// A booking without a claim.
    Once,
    /// A booking with an idempotency key.
    Claimed,
}

/// Ways to the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Way {
    Direct,
    Forwarder,
    Entry,
}

const WAYS: [Way; 3] = [Way::Direct, Way::Forwarder, Way::Entry];

/// Results of one way at one rate.
#[derive(Debug, Default)]
struct Cell {
    turns: Vec<load::Times>,
    cpu: Duration,
}

struct Bench {
    deployment: Deployment,
    forwarders: BTreeMap<&'static str, Forwarder>,
    load: Runtime,
    seconds: u64,
    seed: u64,
}

fn runtime(name: &'static str) -> io::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(2)
        .thread_name(name)
        .enable_all()
        .build()
}

/// Measures all kinds and rates for `seconds` a turn and prints the targets.
pub fn run(seconds: u64, seed: u64) -> ExitCode {
    match measure(seconds, seed) {
        Ok(report) => report.finish(),
        Err(error) => {
            eprintln!("path: {error}");
            ExitCode::FAILURE
        }
    }
}

fn measure(seconds: u64, seed: u64) -> io::Result<Report> {
    let mut report = Report::begin("path", seed);
    let (upstreams, middle) = (runtime("upstream")?, runtime(usage::MIDDLE)?);
    let bench = Bench::start(&upstreams, &middle, seconds, seed)?;
    for way in WAYS {
        for kind in [Kind::Plain, Kind::Streamed, Kind::Once, Kind::Claimed] {
            bench.turn(way, kind, 1_000, WARM_UP, 0)?;
        }
    }
    for kind in [Kind::Plain, Kind::Streamed] {
        for rate in RATES {
            bench.compare(&mut report, kind, rate)?;
        }
    }
    bench.bookings()?;
    report.at_most("resident memory in MB", MEMORY_MB, Usage::memory_mb()?);
    Ok(report)
}

impl Bench {
    fn start(upstreams: &Runtime, middle: &Runtime, seconds: u64, seed: u64) -> io::Result<Self> {
        let version = name::Version::try_from("advisor@1").map_err(io::Error::other)?;
        let profile = Profile {
            versions: vec![version],
            warm: 100_000,
            cold: 100_000,
            first: Duration::ZERO,
            mode: Mode::Answers,
            ..Profile::default()
        };
        let plan = Plan {
            engines: vec![profile],
            service: Conduct::default(),
            limits: RawLimits::default(),
        };
        let deployment = middle.block_on(Deployment::start_on(plan, upstreams.handle()))?;
        let mut forwarders = BTreeMap::new();
        for (name, target) in [
            ("engine", deployment.engines[0].line().url()),
            ("service", deployment.service.line().url()),
        ] {
            forwarders.insert(name, middle.block_on(Forwarder::start(target))?);
        }
        Ok(Self {
            deployment,
            forwarders,
            load: runtime("load")?,
            seconds,
            seed,
        })
    }

    fn url(&self, way: Way, kind: Kind) -> String {
        let is_model = matches!(kind, Kind::Plain | Kind::Streamed);
        let base = match (way, is_model) {
            (Way::Direct, true) => self.deployment.engines[0].line().url(),
            (Way::Direct, false) => self.deployment.service.line().url(),
            (Way::Forwarder, true) => self.forwarders["engine"].url(),
            (Way::Forwarder, false) => self.forwarders["service"].url(),
            (Way::Entry, _) => self.deployment.url(),
        };
        match (way, is_model) {
            (_, true) => format!("{base}/v1/chat/completions"),
            (Way::Entry, false) => format!("{base}/services/booking/bookings"),
            (_, false) => format!("{base}/bookings"),
        }
    }

    /// Runs one turn of load.
    fn turn(&self, way: Way, kind: Kind, rate: u64, count: u64, round: u32) -> io::Result<Cell> {
        let messages =
            json!([{"role": "user", "content": "when do the palms flower? ".repeat(20)}]);
        let body = json!({
            "model": "advisor@1", "stream": kind == Kind::Streamed, "messages": messages
        });
        let body = if way == Way::Entry {
            body.to_string().replace("advisor@1", "advisor")
        } else {
            body.to_string()
        };
        let load = Load {
            url: self.url(way, kind),
            key: KEY.to_owned(),
            body,
            idempotency: (kind == Kind::Claimed).then(|| format!("{way:?}-{rate}-{round}")),
            rate,
            count,
            seed: self.seed + u64::from(round),
        };
        let before = Usage::middle()?;
        let times = load.run(&self.load)?;
        Ok(Cell {
            turns: vec![times],
            cpu: Usage::middle()?.saturating_sub(before),
        })
    }

    /// Runs all ways in turns and prints what they took.
    fn cells(&self, kind: Kind, rate: u64) -> io::Result<BTreeMap<Way, Cell>> {
        let mut cells: BTreeMap<Way, Cell> = BTreeMap::new();
        for round in 1..=ROUNDS {
            for way in WAYS {
                let cell = self.turn(way, kind, rate, rate * self.seconds, round)?;
                let sum = cells.entry(way).or_default();
                sum.turns.extend(cell.turns);
                sum.cpu += cell.cpu;
            }
        }
        for (way, cell) in &cells {
            println!(
                "{kind:?} at {rate}/s, {way:?}: p50 {} us, p99 {} us, {} answers, {} errors, \
                 CPU {:.0} us per request",
                cell.quantile(0.5),
                cell.quantile(0.99),
                cell.count(),
                cell.errors(),
                cell.cpu_us(),
            );
        }
        Ok(cells)
    }

    fn compare(&self, report: &mut Report, kind: Kind, rate: u64) -> io::Result<()> {
        let cells = self.cells(kind, rate)?;
        for (name, quantile) in [("p50", 0.5), ("p99", 0.99)] {
            let added = |way: Way| {
                let own = cells[&way].quantile(quantile);
                own.saturating_sub(cells[&Way::Direct].quantile(quantile))
            };
            let (bare, entry) = (added(Way::Forwarder), added(Way::Entry));
            println!("{kind:?} at {rate}/s: added {name} forwarder {bare} us, entry {entry} us");
            let ratio = micros(entry) / micros(bare.max(1));
            let target = format!("{kind:?} at {rate}/s, added {name} over the forwarder's");
            report.at_most(&target, RATIO, (ratio * 100.0).round() / 100.0);
        }
        let errors: u64 = cells.values().map(Cell::errors).sum();
        report.at_most(&format!("{kind:?} at {rate}/s, errors"), 0, errors);
        Ok(())
    }

    /// Shows calls that run at most once, and the share of their claim.
    ///
    /// The claim is the one of a single instance, in memory.
    fn bookings(&self) -> io::Result<()> {
        let rate = RATES[0];
        let once = self.cells(Kind::Once, rate)?;
        let claimed = self.cells(Kind::Claimed, rate)?;
        let p50 = |cells: &BTreeMap<Way, Cell>| cells[&Way::Entry].quantile(0.5);
        let (without, with) = (p50(&once), p50(&claimed));
        let share = 100.0 * micros(with.saturating_sub(without)) / micros(with.max(1));
        println!("booking at {rate}/s: p50 {with} us, of which the claim is {share:.1}%");
        Ok(())
    }
}

/// Returns microseconds as a number that can be divided.
fn micros(value: u64) -> f64 {
    f64::from(u32::try_from(value).unwrap_or(u32::MAX))
}

impl Cell {
    /// Returns the median of the turns' quantiles.
    ///
    /// A burst of other work on the machine then doesn't decide the p99.
    fn quantile(&self, quantile: f64) -> u64 {
        let mut turns: Vec<_> = self.turns.iter().map(|t| t.quantile(quantile)).collect();
        turns.sort_unstable();
        turns.get(turns.len() / 2).copied().unwrap_or(0)
    }

    fn count(&self) -> u64 {
        self.turns.iter().map(load::Times::count).sum()
    }

    fn errors(&self) -> u64 {
        self.turns.iter().map(|turn| turn.errors).sum()
    }

    fn cpu_us(&self) -> f64 {
        self.cpu.as_secs_f64() * 1e6 / micros(self.count().max(1))
    }
}
