//! Tests of the orders to engines.

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

/// Returns the steps as `check` or `send`, engine and fencing number.
fn steps(driver: &mut Dispatcher, book: &OrderTable, millis: u64) -> Vec<String> {
    let text = |step| match step {
        Step::Check(order) => format!("check {} {}", order.upstream, order.fence),
        Step::Send(order) => format!("send {} {}", order.upstream, order.fence),
    };
    driver
        .steps(book, at(millis))
        .into_iter()
        .map(text)
        .collect()
}

/// Guards against an order of a new leader that an engine without fencing
/// executes besides one of the old leader.
#[test]
fn engines_without_fencing_wait_for_the_old_lease() {
    let mut book = OrderTable::default();
    book.apply(&place("checks", Action::Role("decode".into()), true));
    book.apply(&place("ignores", Action::Role("decode".into()), false));
    book.apply(&Input::Renumber);
    let mut driver = Dispatcher::new(RATE, LEASE, at(0));
    assert_eq!(steps(&mut driver, &book, 0), ["send checks 3"]);
    assert_eq!(steps(&mut driver, &book, 1_051), [""; 0]);
    assert_eq!(steps(&mut driver, &book, 1_052), ["check ignores 4"]);
    assert_eq!(steps(&mut driver, &book, 1_053), [""; 0]);
    driver.record_not_done(4);
    assert_eq!(steps(&mut driver, &book, 1_054), ["send ignores 4"]);
    // An answer that is lost leads to a look at the engine, not to a second order.
    let later = 1_054 + ORDER_TIMEOUT.as_millis();
    assert_eq!(
        steps(&mut driver, &book, later),
        ["check checks 3", "check ignores 4"]
    );
}

/// Guards against an old leader that ends or replaces the order of a new one.
#[test]
fn old_fencing_numbers_end_nothing() {
    let mut book = OrderTable::default();
    let placed = book.apply(&place("e", load("m@1"), true));
    assert_eq!(placed, Output::Placed(1));
    book.apply(&Input::Renumber);
    let ended = |fence| Input::Ended {
        upstream: upstream("e"),
        fence,
        end: End::Done,
    };
    for (fence, applied) in [(1, false), (2, true), (2, false), (3, false)] {
        let output = book.apply(&ended(fence));
        assert_eq!(output == Output::Applied, applied, "{fence}: {output:?}");
    }
    assert_eq!(book.get(&upstream("e")).unwrap().end, Some(End::Done));
    assert_eq!(
        book.apply(&place("e", load("m@2"), true)),
        Output::Placed(3)
    );
}

/// Guards against loads that exceed the weight store's rate, also across a
/// change of the leader.
#[test]
fn loads_respect_the_rate() {
    let mut book = OrderTable::default();
    for engine in ["a", "b", "c", "d", "e"] {
        book.apply(&place(engine, load("m@1"), true));
    }
    let mut driver = Dispatcher::new(RATE, LEASE, at(0));
    let mut sent = Vec::new();
    for millis in (0..40_000).step_by(100) {
        let new = steps(&mut driver, &book, millis);
        sent.extend(new.into_iter().map(|step| (millis, step)));
    }
    let times: Vec<_> = sent.iter().map(|(millis, _)| *millis).collect();
    assert_eq!(times, [10_000, 10_000, 20_000, 20_000, 30_000], "{sent:?}");
}
