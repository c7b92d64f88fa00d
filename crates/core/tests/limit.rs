//! Tests of shared limits and fair queues.

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
fn shares_keep_the_limit_and_follow_the_load() {
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
            // Two instances have all the load, and another two after 10 s.
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
                if let Some(ask) = share.next_demand(time) {
                    let lendable = limit.lendable(INSTANCES);
                    let grant = lender.grant(&instance(at), ask, lendable, time);
                    // Some answers are lost and some are late.
                    if rng.random_range(0..10) > 0 {
                        share.apply_grant(&grant, time, time);
                    }
                }
            }
            let sum: u32 = shares.iter().map(|s| s.quota(time).concurrency).sum();
            let rate: u64 = shares.iter().map(|s| s.quota(time).rate).sum();
            assert!(
                sum <= 90 && rate <= 400_000,
                "seed {seed}: {sum} open, rate {rate}"
            );
            let open: u32 = shares.iter().map(Share::in_flight).sum();
            assert!(open <= 90, "seed {seed}: {open} open");
        }
        // 350 requests/s arrive, and two instances may have half of 400 lent
        // besides their part of the other half.
        let rate = admitted / 20;
        assert!(
            rate > 170,
            "seed {seed}: {rate}/s admitted, {refused} refused"
        );
    }
}

/// Guards against a new lender that lends what its predecessor has lent.
#[test]
fn a_new_lender_waits() {
    let lendable = Quota {
        rate: 10_000,
        concurrency: 10,
    };
    let ask = masticlock_core::limit::Demand {
        number: 1,
        in_use: 0,
        wants: lendable,
    };
    let mut lender = Lender::new(Time::ZERO);
    let early = Time::ZERO + SHARE_LEASE;
    assert_eq!(
        lender.grant(&instance(0), ask, lendable, early).amount,
        Quota::default()
    );
    let later = early + BORROW_INTERVAL;
    assert_eq!(
        lender.grant(&instance(0), ask, lendable, later).amount,
        lendable
    );
    let second = lender.grant(&instance(1), ask, lendable, later);
    assert_eq!(second.amount, Quota::default());
}

/// Guards against a time to come back at which the request is refused again.
#[test]
fn rate_limits_say_when_to_come_back() {
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

fn item(id: u64, who: &str, weight: u32, priority: Priority, start_by: u64) -> Item {
    Item {
        id,
        account: account(who),
        weight,
        priority,
        start_by: Time::from_millis(start_by),
    }
}

/// Guards against one client account that takes the turns of the others.
#[test]
fn turns_follow_weights() {
    let mut queue = Queue::new(1_000);
    let kinds = [
        ("large", 3, Priority::Normal, 0),
        ("small", 1, Priority::Normal, 1),
        ("small", 1, Priority::Batch, 2),
    ];
    for id in 0..300u64 {
        for (who, weight, priority, kind) in kinds {
            let added = item(id * 3 + kind, who, weight, priority, 1_000_000);
            assert_eq!(queue.push(added, Time::ZERO), None);
        }
    }
    let mut served = [0; 3];
    for _ in 0..180 {
        let item = queue.pop(Time::ZERO).unwrap();
        served[usize::try_from(item.id % 3).unwrap()] += 1;
    }
    for (kind, share) in [120, 40, 20].into_iter().enumerate() {
        assert!(i32::abs(served[kind] - share) <= 1, "{served:?}");
    }
}

/// Guards against a full queue in which a client account with few requests is
/// refused, and against queues that grow without bound.
#[test]
fn the_longest_lane_gives_way() {
    let mut queue = Queue::new(50);
    for id in 0..50 {
        let added = item(id, "large", 1, Priority::Normal, 1_000);
        assert_eq!(queue.push(added, Time::ZERO), None);
    }
    let refused = queue.push(item(50, "small", 1, Priority::Normal, 1_000), Time::ZERO);
    assert_eq!(refused.map(|r| r.id), Some(49));
    assert_eq!(queue.len(), 50);
    assert!(queue.remove(50));
    assert_eq!(queue.remove_expired(Time::from_millis(1_001)).len(), 49);
    assert!(queue.is_empty());
}

/// Guards against requests that wait although their deadline can't be met, and
/// against a time to come back that is too early or far too late.
#[test]
fn hopeless_requests_are_refused_at_once() {
    let mut queue = Queue::new(10_000);
    let mut now = 0;
    let (mut id, mut refusals, mut late) = (0, 0, 0);
    let mut returns: Vec<u64> = Vec::new();
    for step in 0..4_000u64 {
        now += 5;
        let time = Time::from_millis(now);
        // One departure in 10 ms; arrivals are twice as many until 10 s.
        let fresh = u32::from(now < 10_000);
        let back = returns.extract_if(.., |at| *at <= now).count();
        for turn in 0..fresh as usize + back {
            id += 1;
            let added = item(id, "a", 1, Priority::Normal, now + 500);
            if let Some(refusal) = queue.push(added, time) {
                let wait = refusal.error.retry_after_ms.unwrap();
                assert!((1..=2_000).contains(&wait), "{wait} ms");
                refusals += 1;
                if turn < fresh as usize && id % 10 == 0 {
                    returns.push(now + wait);
                }
            }
        }
        if step % 2 == 0 {
            late += u32::from(queue.pop(time).is_some_and(|i| i.start_by < time));
        }
    }
    assert!(refusals > 500, "{refusals}");
    assert!(late * 100 < 1_000, "{late} of 1,000 departures were late");
    assert!(queue.is_empty() && returns.is_empty());
}

/// Guards against a time to come back that counts the time in which nothing
/// waited: a run of the protect bench told a caller to come back after 101 s.
#[test]
fn idle_time_is_no_service_time() {
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
