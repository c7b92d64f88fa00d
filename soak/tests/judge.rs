//! The judge finds each broken promise in what callers and upstreams saw, and the guard ends what
//! a killed soak leaves behind.

use std::process::Command;

use masticlock_platform::testing::Kind;
use masticlock_soak::{
    judge::judge,
    layout::{Layout, STEADY, STEADY_KEY},
    ledger::{
        Brittle, End, Fact, Ledger, Limit, Part, Poisoned, Read, Refused, Request, Run, Span, Word,
    },
    process::guard,
};

const LAYOUT: Layout = Layout::new(2, 2, 3);

fn request(kind: Kind, route: &str, sent: u64) -> Request {
    Request {
        kind,
        route: route.to_owned(),
        account: STEADY,
        key: STEADY_KEY.to_owned(),
        body: "body".to_owned(),
        entry: 0,
        sent,
        runs: vec![Run {
            upstream: 0,
            at: sent + 5,
        }],
        end: Some((sent + 20, End::Status(200))),
    }
}

fn from(at: u64) -> Span {
    Span { from: at, to: None }
}

fn fact(name: &str, at: u64) -> Fact {
    Fact {
        name: name.to_owned(),
        span: from(at),
    }
}

fn word(from: u64, to: Option<u64>) -> Word {
    Word {
        entry: 0,
        upstream: 0,
        span: Span { from, to },
    }
}

const fn refused(at: u64) -> Refused {
    Refused {
        entry: 0,
        upstream: 0,
        at,
    }
}

/// Returns a limit that was stated at `from`.
fn limit(milli: u64, from: u64) -> Limit {
    Limit {
        upstream: 0,
        milli,
        span: self::from(from),
        told: vec![(0, from)],
    }
}

/// Returns the first promise that is broken in a ledger.
fn first<F>(change: F) -> Option<String>
where
    F: FnOnce(&mut Ledger),
{
    let mut ledger = Ledger::default();
    change(&mut ledger);
    let broken = judge(&ledger, LAYOUT);
    broken
        .first()
        .map(|b| b.split(':').next().unwrap().to_owned())
}

fn with<F>(mut request: Request, change: F) -> impl FnOnce(&mut Ledger)
where
    F: FnOnce(&mut Request, &mut Ledger),
{
    move |ledger| {
        change(&mut request, ledger);
        ledger.requests.insert("r1".to_owned(), request);
    }
}

/// Guards against a judge that finds nothing whatever happens.
#[test]
fn each_broken_promise_is_found() {
    let book = || request(Kind::Once, "book", 20_000);
    let look = || request(Kind::Repeatable, "look", 20_000);
    let cases: Vec<(&str, Option<String>)> = vec![
        (
            "at-most-once",
            first(with(book(), |r, _| r.runs.push(r.runs[0]))),
        ),
        (
            "attempts",
            first(with(look(), |r, _| r.runs = vec![r.runs[0]; 3])),
        ),
        (
            "not-run",
            first(with(book(), |r, _| {
                r.end = Some((20_020, End::Status(503)));
            })),
        ),
        (
            "whole",
            first(with(look(), |r, _| {
                r.end = Some((20_020, End::Status(206)));
            })),
        ),
        (
            "withdrawn",
            first(with(look(), |r, l| l.revoked.push(fact(&r.key, 14_000)))),
        ),
        (
            "in-force",
            first(with(
                request(Kind::Repeatable, "extra-1", 20_000),
                |_, l| {
                    l.dropped.push(fact("extra-1", 17_000));
                },
            )),
        ),
        (
            "in-force",
            first(with(
                request(Kind::Repeatable, "extra-2", 20_000),
                |r, l| {
                    l.added.push(fact("extra-2", 17_000));
                    r.runs.clear();
                    r.end = Some((20_020, End::Status(404)));
                },
            )),
        ),
        (
            "leaving",
            first(with(look(), |_, l| l.left.push((0, from(17_000))))),
        ),
        (
            "taken-out",
            first(with(look(), |_, l| l.taken_out.push(fact("a", 14_000)))),
        ),
        (
            "cold",
            first(with(look(), |r, l| {
                r.runs = vec![r.runs[0]; 12];
                l.cold.push((0, from(19_000)));
                l.disturbed.push((Part::Upstream(0), from(19_000)));
            })),
        ),
        (
            "graceful",
            first(with(look(), |r, l| {
                r.end = Some((20_400, End::Cut));
                l.stops.push((0, from(19_900)));
            })),
        ),
        (
            "in-force",
            first(|l| {
                l.confirmed = vec![(4, 1_000), (5, 2_000)];
                l.reads.push(Read {
                    sent: 5_000,
                    revision: 4,
                });
            }),
        ),
        (
            "recovery",
            first(with(look(), |r, l| {
                l.recovered = Some(1_000);
                r.runs.clear();
                r.end = Some((20_020, End::Silent));
            })),
        ),
    ];
    for (promise, found) in cases {
        assert_eq!(found.as_deref(), Some(promise));
    }
}

/// Returns an upstream that says from 10 s on that it bears three rejections in a second, and has so
/// many from `at` on.
fn brittle(count: u64, at: u64) -> Brittle {
    Brittle {
        upstream: 0,
        rejects: 3,
        span: from(10_000),
        rejected: (0..count).map(|n| (0, at + 100 * n)).collect(),
    }
}

#[test]
fn each_word_of_an_upstream_that_is_passed_over_is_found() {
    let look = || request(Kind::Repeatable, "look", 20_000);
    let cases = [
        (
            "leaving",
            first(with(look(), |_, l| l.departures.push(word(17_000, None)))),
        ),
        (
            "quiet",
            first(with(look(), |_, l| {
                l.quiet.push(word(19_000, Some(21_000)));
                l.refused = vec![refused(19_600), refused(20_900)];
            })),
        ),
        (
            "limit",
            first(|l| {
                l.limits.push(limit(1_000, 10_000));
                l.refused = (0..12).map(|n| refused(14_000 + 300 * n)).collect();
            }),
        ),
        ("brittle", first(|l| l.brittle.push(brittle(4, 14_000)))),
    ];
    for (promise, found) in cases {
        assert_eq!(found.as_deref(), Some(promise));
    }
}

/// Guards against promises that count as broken where a fault allows it.
#[test]
fn disturbed_parts_excuse_late_changes_and_lost_answers() {
    let look = || request(Kind::Repeatable, "look", 20_000);
    assert_eq!(first(with(look(), |_, _| {})), None);
    let disturbed = first(with(look(), |_, l| {
        l.taken_out.push(fact("a", 14_000));
        l.disturbed.push((Part::Control(1), from(18_000)));
    }));
    assert_eq!(disturbed, None);
    let cut = first(with(look(), |r, l| {
        r.end = Some((20_400, End::Cut));
        l.stops.push((0, from(19_900)));
        l.disturbed.push((Part::Upstream(0), from(19_000)));
    }));
    assert_eq!(cut, None);
    let frozen = first(with(look(), |_, l| {
        l.departures.push(word(15_000, None));
        l.quiet.push(word(15_000, Some(21_000)));
        l.refused = vec![refused(19_600), refused(19_700)];
        let to = Some(18_000);
        l.disturbed
            .push((Part::Entry(0), Span { from: 16_000, to }));
    }));
    assert_eq!(frozen, None);
    let soon = first(with(look(), |_, l| {
        l.departures.push(word(18_500, None));
        l.quiet.push(word(19_000, Some(21_000)));
        l.refused = vec![refused(19_100), refused(19_300), refused(19_600)];
    }));
    assert_eq!(soon, None);
    let many = |from: u64| (0..40).map(|n| refused(from + 100 * n)).collect();
    for allowed in [
        first(|l| {
            l.limits.push(limit(1_000, 10_000));
            l.refused = (0..12).map(|n| refused(14_000 + 400 * n)).collect();
        }),
        first(|l| l.brittle.push(brittle(3, 14_000))),
        first(|l| {
            // Within the time to be in touch.
            l.brittle.push(brittle(4, 12_900));
        }),
        first(|l| {
            // Beside another cause.
            l.brittle.push(brittle(4, 14_000));
            l.disturbed.push((Part::Upstream(0), from(13_000)));
        }),
        first(|l| {
            // Within the time to be in touch, and after the limit has ended.
            l.limits.push(limit(1_000, 10_000));
            l.limits[0].span.to = Some(13_000);
            l.refused = many(10_500);
        }),
        first(|l| {
            // The entry instance was not told.
            l.limits.push(limit(1_000, 10_000));
            l.limits[0].told[0].0 = 1;
            l.refused = many(14_000);
        }),
        first(|l| {
            l.limits.push(limit(1_000, 10_000));
            l.refused = many(14_000);
            l.disturbed.push((Part::Entry(0), from(11_000)));
        }),
    ] {
        assert_eq!(allowed, None);
    }
}

/// Guards against processes that a killed soak leaves behind.
#[test]
fn guard_ends_what_is_left_when_its_input_ends() {
    let mut left = Command::new("sleep").arg("60").spawn().unwrap();
    let mut ended = Command::new("true").spawn().unwrap();
    let gone = ended.id();
    ended.wait().unwrap();
    let input = format!("+{}\n+{gone}\n-{gone}\n", left.id());
    guard(input.as_bytes()).unwrap();
    let status = left.wait().unwrap();
    assert!(!status.success(), "it was killed: {status}");
}

/// Guards against a judge that overlooks requests with a part that is known to crash upstreams, or
/// that counts those from an instance that was cut off.
#[test]
fn requests_after_the_fifth_crash_of_a_part_break_the_ban() {
    let run = |entry: usize, at: u64| {
        let poisoned = Poisoned {
            entry,
            at,
            crashed: Some(at + 50),
        };
        (1, poisoned)
    };
    let judged = |late: usize, entry: usize| {
        let mut ledger = Ledger::default();
        ledger.poisoned = (0..5).map(|n| run(0, 1_000 + n)).collect();
        ledger
            .poisoned
            .extend((0..late as u64).map(|n| run(entry, 5_000 + n)));
        let cut = Span {
            from: 4_000,
            to: Some(4_500),
        };
        ledger.disturbed.push((Part::Entry(1), cut));
        judge(&ledger, LAYOUT)
    };
    assert!(judged(3, 0).is_empty(), "three are allowed");
    let broken = judged(4, 0);
    assert!(broken.iter().any(|b| b.starts_with("ban")), "{broken:?}");
    assert!(judged(4, 1).is_empty(), "it was cut off");
}

/// Guards against a judge that misses requests which reach upstreams after their callers have left, or
/// counts the few that cross the close.
#[test]
fn requests_of_callers_that_have_left_are_found() {
    for (count, after, is_broken) in [(4, 501, true), (3, 501, false), (9, 500, false)] {
        let found = first(|l| {
            for number in 0..count {
                let mut request = request(Kind::Stream, "ask", 20_000);
                request.end = Some((20_300, End::Left));
                request.runs.push(Run {
                    upstream: 1,
                    at: 20_300 + after,
                });
                l.requests.insert(format!("c{number}"), request);
            }
        });
        assert_eq!(found.as_deref(), is_broken.then_some("gone"));
    }
}
