//! Tests of distributed limits and fair queues.

use masticlock_core::{
    error,
    limit::{BORROW_INTERVAL, Item, Lender, Priority, Queue, Quota, SHARE_LEASE, Share},
    name,
    time::{Span, Time},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const INSTANCES: usize = 9;

fn account(text: &str) -> name::Account {
    name::Account::try_from(text).unwrap()
}

fn instance(at: usize) -> name::Instance {
    name::Instance::try_from(format!("entry-{at}")).unwrap()
}

/// Guards against limits that are exceeded over all instances, or that leave
/// most of a limit unused when the load is on few instances.
#[test]
fn shares_stay_within_the_limit_and_follow_the_load() {
    for seed in 0..40 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let limit = Quota {
            rate: 400_000,
            concurrency: 90,
        };
        let base = limit.base(INSTANCES);
        let start = Time::from_millis(1_000);
        let mut lender = Lender::new(start);
        let mut shares: Vec<_> = (0..INSTANCES).map(|_| Share::new(base, start)).collect();
        let mut ends: Vec<(u64, usize)> = Vec::new();
        let (mut admitted, mut refused) = (0u32, 0u32);
        for now in (1_000..21_000).step_by(2) {
            let time = Time::from_millis(now);
            // Two instances receive all the load, and another two from 10 s on.
            let loaded = if now < 11_000 { 0 } else { 4 } + rng.random_range(0..2);
            ends.retain(|(end, at)| {
                if *end <= now {
                    shares[*at].release();
                }
                *end > now
            });
            if rng.random_range(0..10) < 7 {
                if shares[loaded].admit(time).is_ok() {
                    ends.push((now + rng.random_range(50..250), loaded));
                    admitted += 1;
                } else {
                    refused += 1;
                }
            }
            for (at, share) in shares.iter_mut().enumerate() {
                if let Some(demand) = share.next_demand(time) {
                    let lendable = limit.lendable(INSTANCES);
                    let grant = lender.grant(&instance(at), demand, lendable, time);
                    // Some grants are lost.
                    if rng.random_range(0..10) > 0 {
                        share.apply_grant(&grant, time, time);
                    }
                }
            }
            let concurrency: u32 = shares.iter().map(|s| s.quota(time).concurrency).sum();
            let rate: u64 = shares.iter().map(|s| s.quota(time).rate).sum();
            assert!(
                concurrency <= 90 && rate <= 400_000,
                "seed {seed}: {concurrency} in flight allowed, rate {rate}"
            );
            let in_flight: u32 = shares.iter().map(Share::in_flight).sum();
            assert!(in_flight <= 90, "seed {seed}: {in_flight} in flight");
        }
        // 350 requests/s arrive. Two instances can borrow the lendable half of 400 requests/s in
        // addition to their fixed part of the other half.
        let rate = admitted / 20;
        assert!(
            rate > 170,
            "seed {seed}: {rate}/s admitted, {refused} refused"
        );
    }
}

/// Guards against a new lender that grants what its predecessor has granted.
#[test]
fn new_lender_waits_for_the_grants_of_its_predecessor() {
    let lendable = Quota {
        rate: 10_000,
        concurrency: 10,
    };
    let demand = masticlock_core::limit::Demand {
        number: 1,
        in_use: 0,
        wants: lendable,
    };
    let mut lender = Lender::new(Time::ZERO);
    let early = Time::ZERO + SHARE_LEASE;
    assert_eq!(
        lender.grant(&instance(0), demand, lendable, early).amount,
        Quota::default()
    );
    let later = early + BORROW_INTERVAL;
    assert_eq!(
        lender.grant(&instance(0), demand, lendable, later).amount,
        lendable
    );
    let second = lender.grant(&instance(1), demand, lendable, later);
    assert_eq!(second.amount, Quota::default());
}

/// Guards against a demand to the lender for every refused request.
#[test]
fn a_share_that_refuses_sends_at_most_one_demand_each_100_ms() {
    let mut share = Share::new(Quota::default(), Time::from_millis(1_000));
    let mut demands = Vec::new();
    for now in 1_000..3_000 {
        let now = Time::from_millis(now);
        share.admit(now).unwrap_err();
        demands.extend(share.next_demand(now).map(|_| now));
    }
    let closest = demands.windows(2).map(|d| d[1].since(d[0])).min();
    assert_eq!(
        closest,
        Some(Span::from_millis(100)),
        "{} demands",
        demands.len()
    );
}

/// Guards against a `retry_after` after which the request is refused again.
#[test]
fn request_is_admitted_after_retry_after() {
    let base = Quota {
        rate: 3_000,
        concurrency: 100,
    };
    let mut now = Time::from_millis(10);
    let mut share = Share::new(base, now);
    for _ in 0..50 {
        while share.admit(now).is_ok() {}
        let error = share.admit(now).unwrap_err();
        assert_eq!(error.kind, error::Kind::RateLimited);
        let wait = error.retry_after_ms.unwrap();
        assert!(share.admit(now + Span::from_millis(wait / 2)).is_err());
        now += Span::from_millis(wait);
        share.admit(now).unwrap();
    }
}

fn item(id: u64, account_name: &str, weight: u32, priority: Priority, start_by: u64) -> Item {
    Item {
        id,
        account: account(account_name),
        weight,
        priority,
        start_by: Time::from_millis(start_by),
    }
}

/// Guards against one client account that starves the others.
#[test]
fn service_follows_weights() {
    let mut queue = Queue::new(1_000);
    let flows = [
        ("large", 3, Priority::Normal, 0),
        ("small", 1, Priority::Normal, 1),
        ("small", 1, Priority::Batch, 2),
    ];
    for id in 0..300u64 {
        for (account_name, weight, priority, flow) in flows {
            let new_item = item(id * 3 + flow, account_name, weight, priority, 1_000_000);
            assert_eq!(queue.push(new_item, Time::ZERO), None);
        }
    }
    let mut served = [0; 3];
    for _ in 0..180 {
        let item = queue.pop(Time::ZERO).unwrap();
        served[usize::try_from(item.id % 3).unwrap()] += 1;
    }
    for (flow, share) in [120, 40, 20].into_iter().enumerate() {
        assert!(i32::abs(served[flow] - share) <= 1, "{served:?}");
    }
}

/// Guards against a full queue that refuses a client account with few requests,
/// and against queues that grow without bound.
#[test]
fn full_queue_evicts_from_the_longest_flow() {
    let mut queue = Queue::new(50);
    for id in 0..50 {
        let new_item = item(id, "large", 1, Priority::Normal, 1_000);
        assert_eq!(queue.push(new_item, Time::ZERO), None);
    }
    let refused = queue.push(item(50, "small", 1, Priority::Normal, 1_000), Time::ZERO);
    assert_eq!(refused.map(|r| r.id), Some(49));
    assert_eq!(queue.len(), 50);
    assert!(queue.remove(50));
    assert_eq!(queue.remove_expired(Time::from_millis(1_001)).len(), 49);
    assert!(queue.is_empty());
}

/// Guards against requests that wait although their deadline can't be met, and
/// against a `retry_after` that is too early or far too late.
#[test]
fn requests_with_unmeetable_deadlines_are_refused_at_once() {
    let mut queue = Queue::new(10_000);
    let mut now = 0;
    let (mut id, mut refusals, mut late) = (0, 0, 0);
    let mut retries: Vec<u64> = Vec::new();
    for step in 0..4_000u64 {
        now += 5;
        let time = Time::from_millis(now);
        // One departure per 10 ms; twice as many arrivals until 10 s.
        let arrivals = u32::from(now < 10_000);
        let due_retries = retries.extract_if(.., |at| *at <= now).count();
        for arrival in 0..arrivals as usize + due_retries {
            id += 1;
            let new_item = item(id, "a", 1, Priority::Normal, now + 500);
            if let Some(refusal) = queue.push(new_item, time) {
                let wait = refusal.error.retry_after_ms.unwrap();
                assert!((1..=2_000).contains(&wait), "{wait} ms");
                refusals += 1;
                if arrival < arrivals as usize && id % 10 == 0 {
                    retries.push(now + wait);
                }
            }
        }
        if step % 2 == 0 {
            late += u32::from(queue.pop(time).is_some_and(|i| i.start_by < time));
        }
    }
    assert!(refusals > 500, "{refusals}");
    assert!(late * 100 < 1_000, "{late} of 1,000 departures were late");
    assert!(queue.is_empty() && retries.is_empty());
}

/// Guards against a `retry_after` that counts time during which the queue was
/// empty as service time; a caller was told to retry after 101 s.
#[test]
fn idle_time_does_not_count_as_service_time() {
    let mut queue = Queue::new(100);
    for step in 0..20 {
        let now = Time::from_millis(step * 10);
        for id in [2 * step, 2 * step + 1] {
            queue.push(item(id, "a", 1, Priority::Normal, step * 10 + 5_000), now);
        }
        queue.pop(now);
    }
    assert_eq!(queue.remove_expired(Time::from_millis(30_000)).len(), 20);
    let late = Time::from_millis(100_000);
    for id in 100..103 {
        queue.push(item(id, "a", 1, Priority::Normal, 101_000), late);
    }
    queue.pop(late);
    let wait = queue.estimated_wait(&account("a"), 1, Priority::Normal);
    assert!(wait <= Span::from_millis(40), "{wait}");
}
