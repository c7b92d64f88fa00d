//! Runs of requests against a reference that counts them.

use masticlock_core::{
    route::{Kind, Route, Share},
    run::History,
    time::Span,
};
use proptest::prelude::*;

/// What a request meets.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// It is to be sent to an upstream, whatever the reason: a first attempt, a retry, a larger
    /// model or the rest of a stream.
    Send,
    /// It is to be handed over to a peer.
    HandOver,
    /// The last receiver has not run it.
    NotRun,
    /// A configuration changes the kind of its route.
    Configure(Kind, bool, u32),
}

fn event() -> impl Strategy<Value = Event> {
    let kinds = vec![Kind::Idempotent, Kind::NonRepeatable, Kind::Stream];
    let configure = (prop::sample::select(kinds), any::<bool>(), 1..5_u32);
    prop_oneof![
        4 => Just(Event::Send),
        1 => Just(Event::HandOver),
        2 => Just(Event::NotRun),
        1 => configure.prop_map(|(kind, resumable, attempts)| {
            Event::Configure(kind, resumable, attempts)
        }),
    ]
}

fn route(kind: Kind, resumable: bool, attempts: u32) -> Route {
    Route {
        name: "r".into(),
        host: "a.example".into(),
        prefix: "/".into(),
        kind,
        timeout: Span::from_millis(800),
        objective: Span::from_millis(100),
        gap: None,
        priority: 0,
        shares: vec![Share {
            service: "one".into(),
            weight: 1,
        }],
        attempts,
        public: false,
        resumable,
        models: Vec::new(),
    }
}

/// Returns whether the page allows a second run on the route.
fn is_repeatable(route: &Route) -> bool {
    match route.kind {
        Kind::Idempotent => true,
        Kind::NonRepeatable => false,
        Kind::Stream => route.resumable,
    }
}

proptest! {
    /// Guards against a second run of a request that may run once, whatever asks for it, also if a
    /// configuration changes the kind of its route between two attempts, and against a request that
    /// may be repeated and is not.
    #[test]
    fn a_request_runs_again_only_where_each_of_its_routes_allows_it(
        events in prop::collection::vec(event(), 1..30),
        kind in prop::sample::select(vec![Kind::Idempotent, Kind::NonRepeatable, Kind::Stream]),
        resumable in any::<bool>(),
    ) {
        let mut current = route(kind, resumable, 3);
        let mut history = History::default();
        // The kinds of the routes under which it may have run, with the history before.
        let mut runs: Vec<(bool, u32, History)> = Vec::new();
        let mut is_last_open = false;
        for event in events {
            let before = history;
            let right = match event {
                Event::Send => history.begin(&current),
                Event::HandOver => history.begin_at_peer(&current),
                Event::NotRun => {
                    if is_last_open && let Some((_, _, before)) = runs.pop() {
                        history = before;
                    }
                    is_last_open = false;
                    continue;
                }
                Event::Configure(kind, resumable, attempts) => {
                    current = route(kind, resumable, attempts);
                    continue;
                }
            };
            let known: u32 = runs.iter().map(|(_, count, _)| count).sum();
            let repeatable = runs.iter().all(|(r, _, _)| *r) && is_repeatable(&current);
            let allowed = runs.is_empty() || (repeatable && known < current.attempts);
            prop_assert_eq!(right.is_some(), allowed, "{:?} after {:?}", event, runs);
            if right.is_some() {
                let count = match event {
                    // The peer may send it as often as the route allows.
                    Event::HandOver => current.attempts.max(known + 1) - known,
                    _ => 1,
                };
                runs.push((is_repeatable(&current), count, before));
                is_last_open = true;
            }
        }
    }

    /// Guards against a count that goes wrong when an upstream has not run the request.
    #[test]
    fn a_run_that_did_not_take_place_leaves_no_trace(count in 0..3_u32) {
        let route = route(Kind::Idempotent, false, 9);
        let mut history = History::of_count(count);
        let before = history;
        prop_assert!(history.begin(&route).is_some());
        prop_assert_eq!(history.without_last(), before);
    }
}
