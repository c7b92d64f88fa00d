//! Tests of the orders to engines: fencing, change of the leader and rate limit.

use masticlock_core::{
    name,
    order::{Action, Dispatcher, End, Input, ORDER_TIMEOUT, OrderTable, Output, Rate, Step},
    time::{Span, Time},
};

const LEASE: Span = Span::from_millis(1_052);

const RATE: Rate = Rate {
    loads: 2,
    per: Span::from_secs(10),
};

fn upstream(text: &str) -> name::Upstream {
    name::Upstream::try_from(text).unwrap()
}

fn place(engine: &str, action: Action, checks_fence: bool) -> Input {
    Input::Place {
        upstream: upstream(engine),
        action,
        checks_fence,
    }
}

fn load(version: &str) -> Action {
    Action::Load(name::Version::try_from(version).unwrap())
}

fn at(millis: u64) -> Time {
    Time::from_millis(1_000_000 + millis)
}

/// Returns the steps as texts of `check` or `send`, engine and fencing token.
fn steps(dispatcher: &mut Dispatcher, table: &OrderTable, millis: u64) -> Vec<String> {
    let describe = |step| match step {
        Step::Check(order) => format!("check {} {}", order.upstream, order.fence),
        Step::Send(order) => format!("send {} {}", order.upstream, order.fence),
    };
    dispatcher
        .steps(table, at(millis))
        .into_iter()
        .map(describe)
        .collect()
}

/// Guards against an engine without fencing that executes the orders of both an
/// old and a new leader, because the new leader sends before the old lease ends.
#[test]
fn engines_without_fencing_wait_for_the_old_lease() {
    let mut table = OrderTable::default();
    table.apply(&place("checks", Action::Role("decode".into()), true));
    table.apply(&place("ignores", Action::Role("decode".into()), false));
    table.apply(&Input::Renumber);
    let mut dispatcher = Dispatcher::new(RATE, LEASE, at(0));
    assert_eq!(steps(&mut dispatcher, &table, 0), ["send checks 3"]);
    assert_eq!(steps(&mut dispatcher, &table, 1_051), [""; 0]);
    assert_eq!(steps(&mut dispatcher, &table, 1_052), ["check ignores 4"]);
    assert_eq!(steps(&mut dispatcher, &table, 1_053), [""; 0]);
    dispatcher.record_not_done(4);
    assert_eq!(steps(&mut dispatcher, &table, 1_054), ["send ignores 4"]);
    // After a lost answer the state of the engine is queried; the order is not sent again.
    let after_timeout = 1_054 + ORDER_TIMEOUT.as_millis();
    assert_eq!(
        steps(&mut dispatcher, &table, after_timeout),
        ["check checks 3", "check ignores 4"]
    );
}

/// Guards against an old leader that ends or replaces an order of a new leader.
#[test]
fn stale_fencing_tokens_are_refused() {
    let mut table = OrderTable::default();
    let placed = table.apply(&place("e", load("m@1"), true));
    assert_eq!(placed, Output::Placed(1));
    table.apply(&Input::Renumber);
    let ended = |fence| Input::Ended {
        upstream: upstream("e"),
        fence,
        end: End::Done,
    };
    for (fence, applied) in [(1, false), (2, true), (2, false), (3, false)] {
        let output = table.apply(&ended(fence));
        assert_eq!(output == Output::Applied, applied, "{fence}: {output:?}");
    }
    assert_eq!(table.get(&upstream("e")).unwrap().end, Some(End::Done));
    assert_eq!(
        table.apply(&place("e", load("m@2"), true)),
        Output::Placed(3)
    );
}

/// Guards against loads that exceed the rate limit of the weight store, also
/// after a change of the leader.
#[test]
fn loads_respect_the_rate_limit() {
    let mut table = OrderTable::default();
    for engine in ["a", "b", "c", "d", "e"] {
        table.apply(&place(engine, load("m@1"), true));
    }
    let mut dispatcher = Dispatcher::new(RATE, LEASE, at(0));
    let mut sent = Vec::new();
    for millis in (0..40_000).step_by(100) {
        let due = steps(&mut dispatcher, &table, millis);
        sent.extend(due.into_iter().map(|step| (millis, step)));
    }
    let times: Vec<_> = sent.iter().map(|(millis, _)| *millis).collect();
    assert_eq!(times, [10_000, 10_000, 20_000, 20_000, 30_000], "{sent:?}");
}
