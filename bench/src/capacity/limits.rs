//! Permits for upstreams with limits, in the gateway's encoding.

use masticlock_core::{
    limit::{Issuer, PERMIT_LIFETIME, Permit, Rate, Want},
    time::{Span, Time},
};

use super::{
    meter::{self, Line},
    world,
};

/// Limited upstreams at which the load is measured: few, and all of a failure domain.
const LIMITED: [u32; 2] = [5, 96];

/// Control instances at the design size.
const CONTROL: u32 = 7;

/// Polls of an entry instance per second.
const ENTRY_POLLS: f64 = 5.0;

/// Polls of a control instance at the leader per second.
const CONTROL_POLLS: f64 = 1_000.0 / 150.0;

/// Milliseconds between two polls of one of the borrowers.
const POLL_STEP_MS: u64 = 4;

fn wants(limited: u32) -> Vec<Want> {
    let want = |at: u32| Want {
        upstream: format!("i-{at:010x}").into(),
        incarnation: 1_796_403_519_699,
        count: 1,
        demand: Rate::from_milli(400),
    };
    (0..limited).map(want).collect()
}

fn permits(limited: u32) -> Vec<Permit> {
    let permit = |want: Want| Permit {
        upstream: want.upstream,
        incarnation: want.incarnation,
        count: 1,
        valid: PERMIT_LIFETIME,
        scarce: true,
    };
    wants(limited).into_iter().map(permit).collect()
}

/// Returns the bytes of the wants of a poll and of the permits of its answer.
#[expect(clippy::cast_precision_loss)]
fn bytes(limited: u32) -> f64 {
    let length = |encoded: Result<Vec<u8>, postcard::Error>| {
        // Wants and permits have no maps or unsized values that postcard could refuse to encode.
        encoded.expect("they can be encoded").len() as f64
    };
    length(postcard::to_stdvec(&wants(limited))) + length(postcard::to_stdvec(&permits(limited)))
}

/// Returns the microseconds of an answer to one of `borrowers` by the leader.
fn lend(borrowers: u64, limited: u32) -> f64 {
    let wants = wants(limited);
    let mut issuer = Issuer::default();
    let mut now = Time::ZERO;
    issuer.set_term(Some(1), now);
    let mut holder = 0;
    meter::cpu(|| {
        now += Span::from_millis(POLL_STEP_MS);
        holder = (holder + 1) % borrowers;
        issuer.lend(holder, &wants, |_| Some(Rate::from_milli(1_000)), now)
    })
}

/// Prints the load of the roles while upstreams have limits.
pub fn print() {
    println!(
        "gateway, while upstreams of a failure domain have limits and each instance wants permits for all of them"
    );
    let entries = world::NODES.div_ceil(CONTROL);
    let bytes = Line::measure(
        "wants and permits of a poll, by upstreams",
        "B",
        LIMITED,
        bytes,
    );
    let borrowers = u64::from(entries + CONTROL - 1);
    let lend = Line::measure(
        "permits of a poll, by upstreams",
        "us",
        LIMITED,
        |limited| lend(borrowers, limited),
    );
    for limited in LIMITED.map(f64::from) {
        let per_entry = ENTRY_POLLS * bytes.at(limited);
        let entry_polls = ENTRY_POLLS * f64::from(entries);
        let polls = f64::from(CONTROL - 1).mul_add(CONTROL_POLLS, entry_polls);
        println!(
            "  {limited} upstreams: entry {per_entry:.0} B/s; control leader of {entries} entry and {} control \
             instances {polls:.0} polls/s, {:.0} B/s, {:.2}% of a core",
            CONTROL - 1,
            polls * bytes.at(limited),
            polls * lend.at(limited) / 1e4,
        );
    }
}
