//! Requests that many instances without a way to upstreams hand over to few peers.
//!
//! Simulates 320 entry instances: those that are cut off get lists of peers with each poll, and
//! choose one for each request. A peer takes as many requests as it has places.

use std::sync::Arc;

use masticlock_core::{
    digest,
    placement::{Choice, Criteria, Pool, Prompt, sample_peers},
    replicated::State,
    report::Peer,
    time::{Span, Time},
};

const INSTANCES: usize = 320;

/// Places of a peer.
const ROOM: u32 = 48;

/// Peers of a list.
const LIST: usize = 16;

/// Peers that a request tries.
const TRIES: usize = 6;

/// Time that a request takes.
const WORK: Span = Span::from_millis(300);

/// Step of the virtual time and interval between two polls, in milliseconds.
const STEP_MS: u64 = 10;
const POLL_MS: u64 = 200;

const CRITERIA: Criteria<'static> = Criteria {
    service: "s",
    affinity: None,
    shared_tokens: 0,
    prompt: Prompt::EMPTY,
    draw: 0,
    tokens: 0,
    memory_tokens: 0,
    cold_rate: 0.0,
    excluded: &[],
    may_hand_over: true,
};

struct Outcome {
    sent: usize,
    served: usize,
    /// Largest number of requests that a peer had at once.
    most: u32,
}

/// Plays 10 s in which each instance that is cut off gets `rate` requests a second, and all others
/// are peers.
fn play(cut_off: usize, rate: u64) -> Outcome {
    let addresses: Vec<Arc<str>> = (0..INSTANCES - cut_off)
        .map(|n| format!("p{n:03}").into())
        .collect();
    let mut taken = vec![0_u32; addresses.len()];
    let mut pools: Vec<Pool> = (0..cut_off)
        .map(|n| Pool::new("a".into(), n as u64, Span::from_secs(1)))
        .collect();
    for pool in &mut pools {
        pool.set_cut_off(true);
    }
    let mut running: Vec<(Time, usize, usize)> = Vec::new();
    let mut outcome = Outcome {
        sent: 0,
        served: 0,
        most: 0,
    };
    let mut reported = taken.clone();
    for at in (0..10_000).step_by(usize::try_from(STEP_MS).unwrap()) {
        let now = Time::from_millis(at);
        running.retain(|(end, instance, peer)| {
            if now < *end {
                return true;
            }
            taken[*peer] -= 1;
            pools[*instance].end_handover(&addresses[*peer]);
            false
        });
        if at % POLL_MS == 0 {
            reported.clone_from(&taken);
        }
        for (instance, pool) in pools.iter_mut().enumerate() {
            let draw = instance as u64;
            if (at + STEP_MS * draw).is_multiple_of(POLL_MS) {
                let peers = addresses
                    .iter()
                    .zip(&reported)
                    .map(|(address, taken)| Peer {
                        address: address.clone(),
                        domain: "b".into(),
                        room: ROOM - taken,
                    });
                pool.set_peers(&sample_peers(peers.collect(), LIST, draw), now);
            }
            let draw = digest::mix(at << 16 | draw);
            if draw % (1_000 / STEP_MS) >= rate {
                continue;
            }
            outcome.sent += 1;
            for _ in 0..TRIES {
                let Choice::Upstream(target) = pool.choose(&CRITERIA, &State::default(), now)
                else {
                    break;
                };
                let peer = addresses.binary_search(&target.upstream).unwrap();
                if taken[peer] >= ROOM {
                    pool.avoid_peer(&target.upstream, now);
                    continue;
                }
                taken[peer] += 1;
                outcome.most = outcome.most.max(taken[peer]);
                pool.begin_handover(&target.upstream);
                running.push((now + WORK, instance, peer));
                outcome.served += 1;
                break;
            }
        }
    }
    outcome
}

/// Guards against instances that all hand over to the same few peers, although others have room.
#[test]
fn requests_are_spread_over_all_peers() {
    // 384 requests at once, 6 for each of 64 peers.
    let outcome = play(256, 5);
    assert!(outcome.sent > 12_000, "{}", outcome.sent);
    assert!(
        outcome.served * 100 >= outcome.sent * 99,
        "{} of {}",
        outcome.served,
        outcome.sent
    );
    assert!(outcome.most <= 24, "{} requests at one peer", outcome.most);
}

/// Guards against peers that get more than they have places for, and against places that stay empty
/// while requests are refused.
#[test]
fn the_places_of_few_peers_are_used() {
    // 912 requests at once for 768 places.
    let outcome = play(304, 10);
    assert!(outcome.most <= ROOM);
    let places = (INSTANCES - 304) * ROOM as usize;
    let possible = places * 10_000 / usize::try_from(WORK.as_millis()).unwrap();
    assert!(
        outcome.served * 100 >= possible * 85,
        "{} of {possible}",
        outcome.served
    );
}
