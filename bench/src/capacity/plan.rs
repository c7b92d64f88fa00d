//! Plan choice and changes of the configuration.

use masticlock_core::{
    config::{Change, Config, Restriction},
    evidence::{Event, Pool},
    name,
    planner::Adaptive,
    policy::{Availability, Capacity, Context, Planner},
    request::ModelRequest,
    time::{Span, Time},
};

use super::{
    meter::{self, Line},
    world,
};

/// Versions at which a plan choice is measured.
const VERSIONS: [u32; 2] = [12, world::VERSIONS];
/// Engines at which a change is measured.
const ENGINES: [u32; 2] = [430, world::ENGINES];

/// Slopes of decisions and changes.
#[derive(Clone, Copy, Debug)]
pub struct Slopes {
    /// Processor microseconds of a plan choice, by versions.
    pub plan: Line,
    /// Processor microseconds to take in evidence, by versions. Done every second.
    pub learn: Line,
    /// Processor microseconds to apply a withdrawal and digest the result, by engines.
    pub change: Line,
}

/// Free slots for all versions.
struct Free;

impl Availability for Free {
    fn capacity(&self, _version: &name::Version) -> Capacity {
        Capacity {
            local_free: 10,
            remote_free: 10,
            total: 100,
        }
    }
}

fn ask(now: Time) -> ModelRequest {
    ModelRequest {
        account: world::name("account", 0),
        id: world::name("request", 0),
        task: world::name("task", 0),
        model: None,
        quality: 0.7,
        deadline: now + Span::from_secs(20),
        prompt_tokens: 100,
        answer_tokens: 300,
        session: None,
        fingerprint: world::fingerprint(0),
    }
}

/// Returns evidence about a number of versions.
fn pool(versions: u32) -> Pool {
    let mut pool = Pool::new(world::name("entry", 0), 1, Time::ZERO);
    for key in world::cells(versions) {
        for _ in 0..20 {
            pool.record(&key, Event::Started);
            pool.record(
                &key,
                Event::Completed {
                    first_ms: 300,
                    stream_ms: 2_000,
                    tokens: 200,
                },
            );
            pool.record(&key, Event::Rated(0.8));
        }
    }
    pool
}

/// Returns the microseconds of a plan choice and of taking in evidence.
fn choice(versions: u32) -> [f64; 2] {
    let config = world::config(world::ENGINES, versions);
    let pool = pool(versions);
    let mut planner = Adaptive::new();
    planner.learn(&pool, &config);
    let now = Time::ZERO + Span::from_secs(10);
    let context = Context {
        config: &config,
        availability: &Free,
        cut_off: None,
        now,
    };
    let ask = ask(now);
    let plan = meter::cpu(|| planner.plan(&ask, &context).expect("a plan"));
    [plan, meter::cpu(|| planner.learn(&pool, &config))]
}

fn change(config: &Config) -> f64 {
    let change = Change::Restrict(Restriction::Withdraw(world::version(1)));
    meter::cpu(|| config.changed(&change).expect("a valid change").digest())
}

/// Measures the slopes of decisions and changes.
pub fn measure() -> Slopes {
    let choices = VERSIONS.map(choice);
    let line = |what: &str, at: usize| {
        let [small, large] = [0, 1].map(|n| (VERSIONS[n], choices[n][at]));
        Line::through(what, "us", small, large)
    };
    let config = |engines| world::config(engines, world::VERSIONS);
    Slopes {
        plan: line("plan choice, by versions", 0),
        learn: line("estimates from evidence, by versions", 1),
        change: Line::measure("change applied, by engines", "us", ENGINES, |engines| {
            change(&config(engines))
        }),
    }
}

/// Copies of the configuration that are held at once to measure one.
const COPIES: [u32; 2] = [50, 200];

/// Measures the memory of a configuration, by engines.
pub fn memory() -> Line {
    let [small, large] = ENGINES.map(|engines| {
        let config = world::config(engines, world::VERSIONS);
        let copies = meter::memory(
            "copies of a configuration",
            COPIES,
            Vec::new(),
            |held, _| {
                held.push(config.clone());
            },
        );
        (engines, copies.slope)
    });
    Line::through("memory of a configuration, by engines", "B", small, large)
}
