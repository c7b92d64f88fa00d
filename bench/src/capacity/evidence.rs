//! Evidence about versions: reports of entry instances and totals of the control leader.

use masticlock::rpc;
use masticlock_core::{
    evidence::{Delta, Event, Pool},
    name,
    time::Time,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    meter::{self, ENVELOPE, Line},
    world,
};

/// Requests that each cell has counted: about those of an instance in an epoch.
const REQUESTS_PER_CELL: u32 = 27;
/// Versions at which reports and totals are measured.
const VERSIONS: [u32; 2] = [11, world::VERSIONS];
/// Instances at which the leader is measured.
const ORIGINS: [u32; 2] = [20, 60];

/// Instances at which the memory of the leader is measured.
const HELD_ORIGINS: [u32; 2] = [40, 160];

/// Slopes of the evidence.
#[derive(Clone, Copy, Debug)]
pub struct Slopes {
    /// Bytes of a report and its answer without totals, by changed cells.
    pub report_bytes: Line,
    /// Bytes of totals, by cells.
    pub totals_bytes: Line,
    /// Processor microseconds at the instance to write a report, by changed cells.
    pub report_micros: Line,
    /// Processor microseconds at the instance to read totals, by cells.
    pub read_micros: Line,
    /// Processor microseconds at the leader to read and merge a report, by changed cells.
    pub merge_micros: Line,
    /// Processor microseconds at the leader to sum and write totals, by stored cells.
    pub sum_micros: Line,
}

fn pool(origin: u32) -> Pool {
    Pool::new(
        world::name::<name::Instance>("entry", origin),
        1,
        Time::ZERO,
    )
}

/// Returns the evidence of one instance.
fn filled(rng: &mut ChaCha8Rng, origin: u32, versions: u32) -> Pool {
    let mut pool = pool(origin);
    for key in world::cells(versions) {
        for _ in 0..REQUESTS_PER_CELL {
            pool.record(&key, Event::Started);
            let completed = Event::Completed {
                first_ms: rng.random_range(100..1_500),
                stream_ms: rng.random_range(500..8_000),
                tokens: rng.random_range(20..600),
            };
            pool.record(&key, completed);
            if rng.random_range(0..5) == 0 {
                pool.record(&key, Event::Rated(rng.random_range(0.0..1.0)));
            }
        }
    }
    pool
}

fn share(delta: Delta) -> rpc::Share {
    rpc::Share {
        leader: 1 << 60,
        totals: false,
        delta,
    }
}

fn shared(totals: Delta) -> rpc::Shared {
    rpc::Shared {
        leader: 1 << 60,
        totals,
    }
}

fn cells(versions: [u32; 2]) -> [u32; 2] {
    versions.map(|n| n * world::TASKS * 3)
}

/// Measures the slopes of evidence.
pub fn measure(seed: u64) -> Slopes {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let pools = VERSIONS.map(|versions| filled(&mut rng, 0, versions));
    let sizes = cells(VERSIONS);
    let line = |what: &str, unit: &str, figure: &dyn Fn(&Pool) -> f64| {
        let [small, large] = [0, 1].map(|at| (sizes[at], figure(&pools[at])));
        Line::through(what, unit, small, large)
    };
    let none = meter::json(&shared(Delta::default()));
    Slopes {
        report_bytes: line("evidence report, by changed cells", "B", &|pool| {
            meter::json(&share(pool.delta_since(0))) + none + 2.0 * ENVELOPE
        }),
        totals_bytes: line("evidence totals, by cells", "B", &|pool| {
            meter::json(&shared(pool.aggregated()))
        }),
        report_micros: line(
            "evidence report at the instance, by changed cells",
            "us",
            &|p| meter::cpu(|| meter::json(&share(p.delta_since(0)))),
        ),
        read_micros: line("evidence totals at the instance, by cells", "us", &|pool| {
            let json = serde_json::to_vec(&shared(pool.aggregated())).expect("totals serialize");
            let mut known = self::pool(1);
            meter::cpu(|| {
                let read: rpc::Shared = serde_json::from_slice(&json).expect("totals can be read");
                known.merge(&read.totals, Time::ZERO);
            })
        }),
        merge_micros: line(
            "evidence report at the leader, by changed cells",
            "us",
            &|p| {
                let json = serde_json::to_vec(&share(p.delta_since(0))).expect("reports serialize");
                let mut leader = self::pool(1);
                meter::cpu(|| {
                    let read: rpc::Share =
                        serde_json::from_slice(&json).expect("reports can be read");
                    leader.merge(&read.delta, Time::ZERO);
                })
            },
        ),
        sum_micros: sum_micros(&pools[1]),
    }
}

/// Returns the evidence of `pool` as if another instance had counted it.
fn renamed(pool: &Pool, origin: u32) -> Delta {
    let mut delta = pool.delta_since(0);
    for record in &mut delta.records {
        record.source.origin = world::name("entry", origin);
    }
    delta
}

fn sum_micros(pool: &Pool) -> Line {
    let [small, large] = ORIGINS.map(|origins| {
        let mut leader = self::pool(9_999);
        for origin in 0..origins {
            leader.merge(&renamed(pool, origin), Time::ZERO);
        }
        let micros = meter::cpu(|| meter::json(&shared(leader.aggregated())));
        (origins * cells(VERSIONS)[1], micros)
    });
    Line::through(
        "evidence totals at the leader, by stored cells",
        "us",
        small,
        large,
    )
}

/// Measures the memory of a stored cell in bytes.
pub fn memory(seed: u64) -> f64 {
    let pool = filled(&mut ChaCha8Rng::seed_from_u64(seed), 0, world::VERSIONS);
    let per_origin = f64::from(cells(VERSIONS)[1]);
    let line = meter::memory(
        "evidence by instances",
        HELD_ORIGINS,
        self::pool(9_999),
        |leader, origin| leader.merge(&renamed(&pool, origin), Time::ZERO),
    );
    println!("memory per evidence cell: {:.0} B", line.slope / per_origin);
    line.slope / per_origin
}
