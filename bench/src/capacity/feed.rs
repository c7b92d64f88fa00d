//! Configuration polls between control, relays and the instances below them.

use std::sync::Arc;

use masticlock_core::{
    config::{Change, Config, Restriction},
    feed::{Client, InstanceInfo, Outgoing, Reply, Server},
    time::{Span, Time},
};

use super::{
    meter::{self, ENVELOPE, Line},
    world,
};

/// Instances below a relay at which its polls are measured.
const BELOW: [u32; 2] = [0, 17];
/// Engines of the inventories whose import is measured.
const ENGINES: [u32; 2] = [430, world::ENGINES];
/// Time between a poll and its answer; only the order of the times counts.
const STEP: Span = Span::from_millis(1);

/// Slopes of the feed.
#[derive(Clone, Copy, Debug)]
pub struct Slopes {
    /// Bytes of a poll and its answer without news, by instances below the poller.
    pub poll_bytes: Line,
    /// Processor microseconds of a poll at the poller, by instances below it.
    pub poll_micros: Line,
    /// Processor microseconds of a poll at the server, by instances below the poller.
    pub serve_micros: Line,
    /// Bytes of an answer with an imported inventory, by engines.
    pub import_bytes: Line,
    /// Processor microseconds at an instance to take an import, by engines.
    pub import_micros: Line,
    /// Bytes of an answer with a withdrawn version.
    pub restrict_bytes: f64,
}

fn client(at: u32, now: Time) -> Client {
    let seat = InstanceInfo {
        instance: world::name("entry", at),
        domain: world::name("domain", 0),
        address: world::address(at),
        incarnation: 1_790_000_000_000,
    };
    Client::new(seat, vec![world::address(9_000)], now)
}

fn server(config: Config) -> Server {
    let digest = config.digest();
    Server::new(1 << 60, Arc::new(config), digest, Time::ZERO)
}

/// Returns an answer as it is read from the wire, and its bytes.
fn answer(server: &mut Server, outgoing: &Outgoing, now: Time) -> (Reply, f64) {
    let (poll, _) = server.receive_poll(outgoing.poll.clone(), now);
    let json = serde_json::to_vec(&server.reply(&poll, now, now, now)).expect("answers serialize");
    let reply = serde_json::from_slice(&json).expect("answers can be read");
    (reply, meter::figure(json.len() as u64))
}

/// Polls once; returns the bytes of the answer.
fn poll(client: &mut Client, server: &mut Server, now: Time) -> f64 {
    let outgoing = client.next_poll(false, now);
    let (reply, bytes) = answer(server, &outgoing, now);
    client
        .handle_reply(&outgoing, reply, now)
        .expect("a valid answer");
    bytes
}

/// Returns a relay with the configuration that knows instances below it.
fn relay(below: u32, control: &mut Server) -> Client {
    let mut now = Time::ZERO + STEP;
    let mut relay = client(0, now);
    for at in 0..below {
        relay.receive_poll(client(at + 1, now).next_poll(false, now).poll, now);
    }
    // The second answer finds the contact instances known.
    for _ in 0..2 {
        now += STEP;
        poll(&mut relay, control, now);
    }
    relay
}

/// Returns bytes and processor microseconds at the poller and at the server.
fn polls(below: u32) -> [f64; 3] {
    let mut control = server(world::config(world::ENGINES, world::VERSIONS));
    let mut relay = relay(below, &mut control);
    let now = Time::ZERO + STEP.times(4);
    let outgoing = relay.next_poll(false, now);
    let (reply, bytes) = answer(&mut control, &outgoing, now);
    let answered = serde_json::to_vec(&reply).expect("answers serialize");
    let asked = serde_json::to_vec(&outgoing.poll).expect("polls serialize");
    let poller = meter::cpu(|| {
        let outgoing = relay.next_poll(false, now);
        let bytes = meter::json(&outgoing.poll);
        let reply = serde_json::from_slice(&answered).expect("answers can be read");
        relay
            .handle_reply(&outgoing, reply, now)
            .expect("a valid answer");
        bytes
    });
    let server = meter::cpu(|| {
        let poll = serde_json::from_slice(&asked).expect("polls can be read");
        let (poll, _) = control.receive_poll(poll, now);
        meter::json(&control.reply(&poll, now, now, now))
    });
    [
        meter::json(&outgoing.poll) + bytes + 2.0 * ENVELOPE,
        poller,
        server,
    ]
}

fn publish(server: &mut Server, change: &Change) {
    let next = server.config().changed(change).expect("a valid change");
    let digest = next.digest();
    server.publish(change, Arc::new(next), digest);
}

/// Returns the bytes of an answer with a change, and the microseconds to take it.
fn change(engines: u32, change: &Change) -> (f64, f64) {
    let mut control = server(world::config(engines, world::VERSIONS));
    // A server answers with deltas only from a revision that it published itself.
    publish(
        &mut control,
        &Change::Restrict(Restriction::Withdraw(world::version(2))),
    );
    let before = relay(0, &mut control);
    publish(&mut control, change);
    let now = Time::ZERO + STEP.times(4);
    let outgoing = before.next_poll(false, now);
    let (reply, bytes) = answer(&mut control, &outgoing, now);
    let json = serde_json::to_vec(&reply).expect("answers serialize");
    let micros = meter::cpu(|| {
        let reply = serde_json::from_slice(&json).expect("answers can be read");
        before
            .clone()
            .handle_reply(&outgoing, reply, now)
            .expect("a valid answer")
    });
    (bytes, micros)
}

/// Measures the slopes of the feed.
pub fn measure() -> Slopes {
    let measured = BELOW.map(polls);
    let line = |what: &str, unit: &str, at: usize| {
        let [small, large] = [0, 1].map(|n| (BELOW[n], measured[n][at]));
        Line::through(what, unit, small, large)
    };
    let imports = ENGINES.map(|engines| {
        let import = Change::Import(world::inventory(engines, world::VERSIONS));
        change(engines, &import)
    });
    let import = |unit: &str, pick: &dyn Fn((f64, f64)) -> f64| {
        let [small, large] = [0, 1].map(|n| (ENGINES[n], pick(imports[n])));
        Line::through("answer with an import, by engines", unit, small, large)
    };
    let withdraw = Change::Restrict(Restriction::Withdraw(world::version(1)));
    Slopes {
        poll_bytes: line("poll and answer, by instances below", "B", 0),
        poll_micros: line("poll at the poller, by instances below", "us", 1),
        serve_micros: line("poll at the server, by instances below", "us", 2),
        import_bytes: import("B", &|(bytes, _)| bytes),
        import_micros: import("us", &|(_, micros)| micros),
        restrict_bytes: change(world::ENGINES, &withdraw).0,
    }
}
