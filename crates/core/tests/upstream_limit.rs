//! Limits that upstreams state on the requests of all instances.

use std::sync::Arc;

use masticlock_core::{
    fleet::{Announcement, Directory, Limit, Phase, Record},
    limit::{Bounds, Issuer, PERMIT_LIFETIME, Permit, Rate, Want},
    placement::{Choice, Criteria, Demand, Pool, Prompt, Target},
    replicated::State,
    report::Totals,
    time::{Span, Time},
};

const START: Time = Time::from_millis(100_000);
const INTERVAL: Span = Span::from_millis(1_200);

fn announcement(id: usize, incarnation: u64) -> Announcement {
    Announcement {
        upstream: format!("u{id}").into(),
        service: "s".into(),
        address: format!("10.0.0.{id}:1").into(),
        domain: "a".into(),
        version: "v1".into(),
        slots: 100_000,
        phase: Phase::Ready,
        cold_left: Span::ZERO,
        incarnation,
        sequence: 1,
    }
}

fn list(directory: &mut Directory, id: usize, incarnation: u64, now: Time) {
    let record = Record {
        announcement: announcement(id, incarnation),
        age: Span::ZERO,
        silent: false,
        limit: None,
    };
    directory.merge(record, now);
}

fn directory(upstreams: usize) -> Directory {
    let mut directory = Directory::default();
    for id in 0..upstreams {
        list(&mut directory, id, 1, START);
    }
    directory
}

fn totals(instances: u64) -> Totals {
    Totals {
        instances,
        ..Totals::default()
    }
}

fn pool(instance: u64, instances: u64, directory: &Directory) -> Pool {
    let mut pool = Pool::new("a".into(), instance, INTERVAL);
    pool.update(directory.entries(), START);
    pool.update_totals(&totals(instances), START);
    pool
}

fn criteria() -> Criteria<'static> {
    Criteria {
        service: "s",
        affinity: None,
        shared_tokens: 0,
        prompt: Prompt::EMPTY,
        draw: 0,
        tokens: 0,
        memory_tokens: 0,
        cold_rate: 0.0,
        excluded: &[],
        may_hand_over: false,
    }
}

fn target(id: usize, incarnation: u64) -> Target {
    Target {
        upstream: format!("u{id}").into(),
        address: format!("10.0.0.{id}:1").into(),
        domain: "a".into(),
        version: "v1".into(),
        incarnation,
        is_peer: false,
    }
}

const fn rate(milli: u64) -> Rate {
    Rate::from_milli(milli)
}

const fn limited(milli: u64) -> Bounds {
    Bounds {
        rate: Some(rate(milli)),
        rejects: None,
    }
}

fn want(count: u32) -> Want {
    Want {
        upstream: "u0".into(),
        incarnation: 1,
        count,
        demand: Rate::default(),
    }
}

fn permits(count: u32) -> Permit {
    Permit {
        upstream: "u0".into(),
        incarnation: 1,
        count,
        valid: PERMIT_LIFETIME,
        scarce: false,
    }
}

/// Tries to send a request and returns the upstream that gets it.
fn send(pool: &mut Pool, now: Time) -> Option<Arc<str>> {
    pool.want(&criteria(), &State::default(), now);
    send_again(pool, now)
}

/// Tries to send a request that has been counted as a want.
fn send_again(pool: &mut Pool, now: Time) -> Option<Arc<str>> {
    let state = State::default();
    let Choice::Upstream(target) = pool.choose(&criteria(), &state, now) else {
        return None;
    };
    pool.pass(&target, now).map(|_| target.upstream)
}

/// Guards against a limit that outlives a restart of its upstream, or that a late answer of the
/// earlier incarnation brings back.
#[test]
fn a_limit_belongs_to_one_incarnation() {
    let mut all = directory(1);
    let mut pool = pool(1, 9, &all);
    assert!(pool.set_bounds(&target(0, 1), limited(0), true, START));
    assert_eq!(send(&mut pool, START), None);
    list(&mut all, 0, 2, START);
    pool.update(all.entries(), START);
    pool.set_bounds(&target(0, 1), limited(0), true, START);
    assert_eq!(pool.limit(&target(0, 2)), None);
    assert!(send(&mut pool, START).is_some());
    let stated = Limit {
        bounds: limited(0),
        stated_at: START,
    };
    assert!(
        !all.set_limit("u0", 1, stated),
        "the directory has a later incarnation"
    );
}

/// Guards against permits for a higher limit that are used after the limit has fallen.
#[test]
fn a_limit_that_falls_withdraws_permits() {
    let contact = Some(START);
    let mut pool = pool(1, 9, &directory(1));
    pool.set_bounds(&target(0, 1), limited(100_000), true, START);
    pool.grant(&[(permits(50), START)], contact, START);
    assert!(send(&mut pool, START).is_some());
    pool.set_bounds(&target(0, 1), limited(1_000), true, START);
    assert_eq!(send(&mut pool, START), None);
    pool.grant(&[(permits(1), START)], contact, START);
    assert!(send(&mut pool, START).is_some());
    assert_eq!(
        send(&mut pool, START),
        None,
        "one permit is for one request"
    );
    pool.set_bounds(&target(0, 1), Bounds::default(), true, START);
    assert!(send(&mut pool, START).is_some(), "the limit has ended");
}

/// Guards against a cold process that gets all requests because its answers state no limit, as those
/// of the process before it did.
#[test]
fn an_upstream_whose_limit_ends_on_a_new_connection_may_be_cold() {
    let cold = Criteria {
        cold_rate: 4.0,
        ..criteria()
    };
    let state = State::default();
    let try_send = |pool: &mut Pool, now| match pool.choose(&cold, &state, now) {
        Choice::Upstream(target) => {
            pool.begin(&target.upstream, Demand::default(), now);
            true
        }
        _ => false,
    };
    let in_a_second = |is_same_process| {
        let mut all = directory(1);
        let stated = Limit {
            bounds: limited(1_000),
            stated_at: Time::ZERO,
        };
        assert!(all.set_limit("u0", 1, stated));
        let mut pool = pool(1, 9, &all);
        pool.set_bounds(&target(0, 1), Bounds::default(), is_same_process, START);
        let at = (0..1_000).step_by(10).map(Span::from_millis);
        let count = at.filter(|at| try_send(&mut pool, START + *at)).count();
        (count, pool)
    };
    let (count, mut pool) = in_a_second(false);
    assert_eq!(count, 1);
    assert!(
        pool.limit_statements(START).is_empty(),
        "other instances would send theirs"
    );
    let later = START + INTERVAL.times(2);
    assert!(try_send(&mut pool, later) && try_send(&mut pool, later));
    assert_eq!(pool.limit_statements(later).len(), 1);
    let (count, pool) = in_a_second(true);
    assert_eq!(count, 100, "the process is the same");
    assert_eq!(pool.limit_statements(START).len(), 1);
}

/// Guards against an upstream that accepts no requests and gets some, or never gets any again.
#[test]
fn an_upstream_that_accepts_no_requests_is_asked_for_its_limit() {
    let contact = Some(START);
    let mut pool = pool(1, 9, &directory(1));
    for (milli, accepts) in [(0, false), (40, false), (60, true)] {
        pool.set_bounds(&target(0, 1), limited(milli), true, START);
        pool.grant(&[(permits(1), START)], contact, START);
        assert_eq!(
            pool.inquiries(START).len(),
            usize::from(!accepts),
            "{milli}"
        );
        assert_eq!(send(&mut pool, START).is_some(), accepts, "{milli}");
    }
    pool.set_bounds(&target(0, 1), limited(0), true, START);
    pool.try_out(&target(0, 1), START);
    assert!(send(&mut pool, START).is_some(), "one request tries it out");
    assert_eq!(send(&mut pool, START), None);
}

/// Guards against a statement that is overridden by an earlier one of another instance, and against
/// one that other instances don't get.
#[test]
fn the_latest_statement_of_all_instances_counts() {
    let second = |n: u64| START + Span::from_secs(n);
    let stated = |milli: Option<u64>, at: u64| Limit {
        bounds: milli.map(limited).unwrap_or_default(),
        stated_at: second(at),
    };
    let mut all = directory(1);
    let mut pool = pool(1, 9, &all);
    pool.set_bounds(&target(0, 1), limited(1_000), true, second(5));
    assert_eq!(pool.limit_statements(second(6)).len(), 1);
    assert!(all.set_limit("u0", 1, stated(Some(3_000), 4)));
    pool.update(all.entries(), second(6));
    assert_eq!(
        pool.limit(&target(0, 1)),
        Some(rate(1_000)),
        "an earlier one"
    );
    assert_eq!(
        pool.limit_statements(second(6)).len(),
        1,
        "the directory has an earlier one"
    );
    assert!(all.set_limit("u0", 1, stated(Some(1_000), 5)));
    pool.update(all.entries(), second(6));
    assert!(pool.limit_statements(second(6)).is_empty());
    let records = all.since(0, second(7));
    let mut other = directory(1);
    for record in records {
        other.merge(record, second(8));
    }
    assert_eq!(other.get("u0").unwrap().limit, Some(stated(Some(1_000), 6)));
    assert!(all.set_limit("u0", 1, stated(None, 6)));
    pool.update(all.entries(), second(7));
    assert_eq!(
        pool.limit(&target(0, 1)),
        None,
        "another instance got an answer without a limit"
    );
}

/// Guards against a request that is sent with a pass from before the limit, or with one that has
/// ended while its process was suspended, and against permits that are lost with unsent requests.
#[test]
fn a_pass_is_checked_when_its_request_is_sent() {
    let mut pool = pool(1, 9, &directory(1));
    let before = pool.pass(&target(0, 1), START).unwrap();
    assert!(pool.is_valid(&target(0, 1), before, START));
    pool.set_bounds(&target(0, 1), limited(1_000), true, START);
    assert!(!pool.is_valid(&target(0, 1), before, START));
    pool.grant(&[(permits(1), START)], Some(START), START);
    let pass = pool.pass(&target(0, 1), START).unwrap();
    assert!(pool.is_valid(&target(0, 1), pass, START + Span::from_millis(300)));
    assert!(!pool.is_valid(&target(0, 1), pass, START + Span::from_millis(500)));
    pool.return_pass(&target(0, 1), pass, START);
    assert!(pool.pass(&target(0, 1), START).is_some());
    pool.return_pass(&target(0, 1), pass, START + PERMIT_LIFETIME);
    assert_eq!(pool.pass(&target(0, 1), START + PERMIT_LIFETIME), None);
}

/// Guards against requests that are refused although an upstream without a limit can take them.
#[test]
fn requests_go_to_upstreams_that_can_take_them() {
    let mut pool = pool(1, 9, &directory(3));
    pool.set_bounds(&target(0, 1), limited(1_000), true, START);
    pool.set_bounds(&target(1, 1), limited(0), true, START);
    for _ in 0..30 {
        assert_eq!(send(&mut pool, START).as_deref(), Some("u2"));
    }
    let mut wants = pool.wants(START);
    wants.sort_by(|a, b| a.upstream.cmp(&b.upstream));
    let wanted: Vec<_> = wants.iter().map(|w| &*w.upstream).collect();
    assert!(!wanted.contains(&"u2"), "{wanted:?}");
}

/// Guards against refused callers who all come back for the same permit.
#[test]
fn each_refused_caller_gets_a_turn_of_its_own() {
    let mut pool = pool(1, 10, &directory(1));
    pool.set_bounds(&target(0, 1), limited(5_000), true, START);
    let Choice::Limited(shortage) = pool.choose(&criteria(), &State::default(), START) else {
        panic!("there is no permit");
    };
    let mut turn = |now| pool.next_turn(&"s".into(), shortage, now);
    assert_eq!(turn(START), Span::from_secs(2));
    assert_eq!(turn(START), Span::from_secs(4));
    assert_eq!(turn(START + Span::from_secs(3)), Span::from_secs(3));
    assert_eq!(turn(START + Span::from_secs(60)), Span::from_secs(2));
}

/// Guards against a new leader that hands out what its predecessor may have handed out, and against
/// an issuer that serves one borrower and forgets another.
#[test]
fn permits_are_divided_fairly_and_a_new_leader_starts_without_any() {
    let limit = |_: &Want| Some(rate(8_000));
    let mut issuer = Issuer::default();
    issuer.set_term(Some(1), START);
    let mut given = [0; 3];
    for at in (0..10_000).step_by(150) {
        let now = START + Span::from_millis(at);
        for (holder, given) in given.iter_mut().enumerate() {
            let count = [9, 3, 3][holder];
            let permits = issuer.lend(holder as u64, &[want(count)], limit, now);
            *given += permits[0].count;
            assert!(at == 0 || permits[0].scarce);
        }
    }
    let all: u32 = given.iter().sum();
    assert!((65..=72).contains(&all), "{given:?}: 7 of the 8 a second");
    assert!(
        given[1] >= 10 && given[2] >= 10 && given[0] > given[1],
        "{given:?}"
    );
    let later = START + Span::from_secs(60);
    issuer.set_term(None, later);
    assert_eq!(issuer.lend(0, &[want(1)], limit, later)[0].count, 0);
    issuer.set_term(Some(3), later);
    assert_eq!(issuer.lend(0, &[want(1)], limit, later)[0].count, 0);
}
