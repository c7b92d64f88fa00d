//! Placement by what upstreams hold of prompts, replayed with many entry instances whose loads are
//! known to each other with a delay. Each test's comment names the load pattern or the failure that
//! it covers. The former decision, which knows nothing of the prompts, runs beside the new one.

#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss
)]

use std::{cmp::Reverse, collections::BinaryHeap, sync::Arc};

use masticlock_core::{
    digest::{self, mix},
    fleet::{Announcement, Directory, Phase, Record},
    forecast::Forecast,
    placement::{Choice, Criteria, Demand, Failure, Outcome, Pool, Prompt},
    prompt_cache,
    replicated::State,
    report::{Load, Totals},
    time::{Span, Time},
};

const SERVICE: &str = "engines";
const START_MS: u64 = 1_000_000;
const DOMAINS: [&str; 4] = ["a", "b", "c", "d"];

/// Interval of the load reports, in milliseconds.
const REPORT_MS: u64 = 200;

/// Interval at which a request tries again to find an upstream, and how long, by kind.
const RETRY_MS: u64 = 25;
const OBJECTIVES_MS: [u64; 3] = [3_000, 1_000, 1_000];

/// Time between two failure domains one way, in milliseconds, rounded up.
const LINK_MS: u64 = 1;

/// Prompt tokens that an upstream processes per millisecond.
const PREFILL: f64 = 150.0;

/// Milliseconds of a step and tokens of an event.
const STEP_MS: f64 = 4.0;

/// A kind of request.
#[derive(Clone, Copy)]
struct Kind {
    per_second: f64,
    /// Number and tokens of the first parts, and of the subjects that follow them.
    first: (u64, u64),
    subject: (u64, u64),
    own_tokens: u64,
    output_tokens: u64,
    /// Share of the requests with the first subject.
    hot: f64,
}

#[derive(Clone)]
struct Request {
    kind: usize,
    parts: Vec<(u64, u64)>,
    output: u64,
    sent_at: u64,
}

impl Request {
    fn prompt(&self) -> u64 {
        self.parts.iter().map(|p| p.1).sum()
    }

    fn demand(&self) -> Demand {
        Demand {
            tokens: self.prompt() + self.output,
            work: self.prompt() + 10 * self.output,
            prefill: self.prompt(),
        }
    }
}

/// An upstream that processes prompts one after the other and keeps them in a limited memory.
#[derive(Clone, Default)]
struct Engine {
    incarnation: u64,
    /// Requests since the last report.
    arrivals: usize,
    prefill_until: f64,
    /// Times when the running requests end, and their tokens.
    ends: Vec<(f64, u64)>,
    /// Prefixes with their tokens and last use.
    held: Vec<(u64, u64, f64)>,
}

impl Engine {
    fn restart(&mut self) {
        *self = Self {
            incarnation: self.incarnation + 1,
            ..Self::default()
        };
    }
}

struct Replay {
    is_weighed: bool,
    slots: u32,
    memory: u64,
    pools: Vec<Pool>,
    forecasts: Vec<Forecast>,
    engines: Vec<Engine>,
    /// Time until the first event, by kind, in milliseconds.
    waits: Vec<Vec<u64>>,
    /// Time of the last use of each shared prefix at any upstream.
    last_used: Vec<(u64, f64)>,
    shared_tokens: u64,
    /// Tokens of subjects that were processed again within ten seconds, by kind.
    reread_tokens: Vec<u64>,
    /// Largest number of requests to one upstream between two reports.
    most_arrivals: usize,
    most_running: usize,
}

impl Replay {
    fn new(instances: usize, engines: usize, slots: u32, memory: u64, is_weighed: bool) -> Self {
        let engines = vec![Engine::default(); engines];
        let mut replay = Self {
            is_weighed,
            slots,
            memory,
            pools: Vec::new(),
            forecasts: vec![Forecast::default(); instances],
            engines,
            waits: Vec::new(),
            last_used: Vec::new(),
            shared_tokens: 0,
            reread_tokens: Vec::new(),
            most_arrivals: 0,
            most_running: 0,
        };
        for instance in 0..instances {
            let domain = DOMAINS[instance % DOMAINS.len()].into();
            let pool = Pool::new(domain, instance as u64, Span::from_millis(1_200));
            replay.pools.push(pool);
        }
        replay.announce(START_MS);
        replay
    }

    fn announce(&mut self, now: u64) {
        let mut directory = Directory::default();
        for (number, engine) in self.engines.iter().enumerate() {
            let announcement = Announcement {
                upstream: format!("u{number:03}").into(),
                service: SERVICE.into(),
                address: format!("10.0.0.{number}:80").into(),
                domain: DOMAINS[number % DOMAINS.len()].into(),
                version: "v1".into(),
                slots: self.slots,
                phase: Phase::Ready,
                cold_left: Span::ZERO,
                incarnation: engine.incarnation + 1,
                sequence: 1,
            };
            let record = Record {
                announcement,
                age: Span::ZERO,
                silent: false,
                limit: None,
            };
            directory.merge(record, Time::from_millis(now));
        }
        for pool in &mut self.pools {
            pool.update(directory.entries(), Time::from_millis(now));
        }
    }

    fn report(&mut self, now: u64) {
        for engine in &mut self.engines {
            self.most_arrivals = self.most_arrivals.max(engine.arrivals);
            engine.arrivals = 0;
        }
        let now = Time::from_millis(now);
        let loads: Vec<_> = self.pools.iter_mut().map(|p| p.loads(now)).collect();
        let mut sums: Vec<Load> = Vec::new();
        for load in loads.iter().flatten() {
            match sums.binary_search_by(|l| l.upstream.cmp(&load.upstream)) {
                Ok(at) => add(&mut sums[at], load),
                Err(at) => sums.insert(at, load.clone()),
            }
        }
        let instances = self.pools.len() as u64;
        for (pool, own) in self.pools.iter_mut().zip(&loads) {
            let mut others = sums.clone();
            for load in own {
                let at = others.binary_search_by(|l| l.upstream.cmp(&load.upstream));
                let other = &mut others[at.unwrap()];
                other.running -= load.running;
                other.tokens -= load.tokens;
                other.work -= load.work;
                other.prefill -= load.prefill;
            }
            let totals = Totals {
                loads: others,
                instances,
                domain_instances: Vec::new(),
            };
            pool.update_totals(&totals, now);
        }
    }

    /// Returns the time a token that an instance takes into account.
    fn token_ms(&self, at: usize) -> f64 {
        if self.is_weighed {
            self.forecasts[at].token_ms(SERVICE)
        } else {
            0.0
        }
    }

    fn choose(&self, at: usize, request: &Request, now: u64) -> Option<Arc<str>> {
        let now = Time::from_millis(now);
        let pool = &self.pools[at];
        let choose = |criteria: &Criteria| pool.choose(criteria, &State::default(), now);
        match choose(&criteria(request, self.token_ms(at), self.memory)) {
            Choice::Upstream(target) => Some(target.upstream),
            _ => None,
        }
    }

    /// Runs a request at an engine and returns when its answer begins and ends.
    fn run(&mut self, number: usize, request: &Request, now: u64) -> (u64, u64) {
        let slots = self.slots as usize;
        let engine = &mut self.engines[number];
        engine.arrivals += 1;
        let now = now as f64;
        engine.ends.retain(|(end, _)| *end > now);
        engine.ends.sort_by(|a, b| a.0.total_cmp(&b.0));
        let queued = (engine.ends.len() + 1).saturating_sub(slots);
        let free_at = queued.checked_sub(1).map_or(now, |at| engine.ends[at].0);
        let running: u64 = engine
            .ends
            .iter()
            .take(slots)
            .map(|(_, tokens)| tokens)
            .sum();
        let mut missing = 0;
        let mut is_prefix_held = true;
        let last = request.parts.len() - 1;
        for (at, prefix) in prompt_cache::prefixes(1, &request.parts).enumerate() {
            let found = engine.held.iter_mut().find(|h| h.0 == prefix.digest);
            is_prefix_held &= found.is_some();
            missing += if is_prefix_held { 0 } else { prefix.tokens };
            if at < last {
                self.shared_tokens += prefix.tokens;
                let known = self.last_used.iter_mut().find(|(p, _)| *p == prefix.digest);
                if let Some((_, used_at)) = known {
                    if !is_prefix_held && now - *used_at < 10_000.0 {
                        self.reread_tokens[request.kind] += prefix.tokens;
                    }
                    *used_at = now;
                } else {
                    self.last_used.push((prefix.digest, now));
                }
            }
            match found {
                Some(held) => held.2 = now,
                None => engine.held.push((prefix.digest, prefix.tokens, now)),
            }
        }
        engine.held.sort_by(|a, b| b.2.total_cmp(&a.2));
        let mut room = self.memory.saturating_sub(running);
        engine.held.retain(|(_, tokens, _)| {
            let fits = *tokens <= room;
            room = room.saturating_sub(*tokens);
            fits
        });
        let begin = now.max(free_at).max(engine.prefill_until) + missing as f64 / PREFILL;
        engine.prefill_until = begin;
        let first = begin + 5.0 * STEP_MS;
        let step = STEP_MS * (1.0 + engine.ends.len().min(slots) as f64 / slots as f64);
        let end = first + request.output as f64 * step;
        engine.ends.push((end, request.demand().tokens));
        self.most_running = self.most_running.max(engine.ends.len());
        (first as u64, end as u64)
    }

    /// Replays the requests; `at_second` may change the engines.
    fn play(&mut self, kinds: &[Kind], seconds: u64, mut at_second: impl FnMut(u64, &mut Self)) {
        self.waits = vec![Vec::new(); kinds.len()];
        self.reread_tokens = vec![0; kinds.len()];
        let mut arrivals = arrivals(kinds, seconds).into_iter().peekable();
        // End or begin of an answer, by time: (time, is end, request, instance, engine, incarnation).
        let mut events = BinaryHeap::<Reverse<(u64, bool, usize, usize, usize, u64)>>::new();
        let mut requests: Vec<Request> = Vec::new();
        let mut waiting: Vec<(Request, usize)> = Vec::new();
        let mut serial = 0;
        for ms in START_MS..START_MS + seconds * 1_000 {
            if ms % 1_000 == 0 {
                at_second((ms - START_MS) / 1_000, self);
            }
            if ms % REPORT_MS == 0 {
                self.report(ms);
            }
            let now = Time::from_millis(ms);
            while events.peek().is_some_and(|Reverse((at, ..))| *at <= ms) {
                let Some(Reverse((_, is_end, request, at, engine, queued))) = events.pop() else {
                    break;
                };
                let request: &Request = &requests[request];
                let upstream: String = format!("u{engine:03}");
                if is_end {
                    self.pools[at].end(&upstream, request.demand(), Outcome::Good, now);
                    continue;
                }
                self.pools[at].finish_prefill(&upstream, request.demand());
                let took = Span::from_millis(ms - request.sent_at);
                self.waits[request.kind].push(took.as_millis());
                self.forecasts[at].observe(&SERVICE.into(), queued, took, now);
                let incarnation = self.engines[engine].incarnation + 1;
                let criteria = criteria(request, self.token_ms(at), self.memory);
                self.pools[at].record_prompt(&upstream, incarnation, &criteria, now);
            }
            let mut due: Vec<(Request, usize)> = Vec::new();
            while let Some(request) = arrivals.next_if(|r| r.sent_at <= ms) {
                serial += 1;
                due.push((request, mix(serial) as usize % self.pools.len()));
            }
            if ms % RETRY_MS == 0 {
                due.append(&mut waiting);
            }
            for (request, at) in due {
                let Some(upstream) = self.choose(at, &request, ms) else {
                    if ms - request.sent_at < OBJECTIVES_MS[request.kind] {
                        waiting.push((request, at));
                    }
                    continue;
                };
                let engine: usize = upstream[1..].parse().unwrap();
                self.pools[at].begin(&upstream, request.demand(), now);
                let queued = self.pools[at].pending_prefill(&upstream);
                let is_local = at % DOMAINS.len() == engine % DOMAINS.len();
                let link = if is_local { 0 } else { LINK_MS };
                let (first, end) = self.run(engine, &request, ms + link);
                let (first, end) = (first + link, end + link);
                events.push(Reverse((first, false, requests.len(), at, engine, queued)));
                events.push(Reverse((end, true, requests.len(), at, engine, 0)));
                requests.push(request);
            }
        }
    }

    /// Returns the number of answers that began later than their objective.
    fn late(&self) -> usize {
        let waits = self.waits.iter().zip(OBJECTIVES_MS);
        let late = waits.map(|(waits, limit)| waits.iter().filter(|w| **w > limit).count());
        late.sum()
    }

    fn quantile(&self, kind: usize, share: f64) -> u64 {
        let mut waits = self.waits[kind].clone();
        waits.sort_unstable();
        waits[((waits.len() - 1) as f64 * share) as usize]
    }
}

/// Returns the criteria of a request.
fn criteria(request: &Request, token_ms: f64, memory_tokens: u64) -> Criteria<'_> {
    let shared = &request.parts[..request.parts.len() - 1];
    Criteria {
        service: SERVICE,
        affinity: Some(mix(shared.last().unwrap().0)),
        shared_tokens: shared.iter().map(|p| p.1).sum(),
        prompt: Prompt {
            model: 1,
            parts: &request.parts,
            prefill_weight: 1.0,
            token_ms,
        },
        draw: 0,
        tokens: request.demand().tokens,
        memory_tokens,
        cold_rate: 0.0,
        excluded: &[],
        may_hand_over: false,
    }
}

fn add(sum: &mut Load, load: &Load) {
    sum.running += load.running;
    sum.tokens += load.tokens;
    sum.work += load.work;
    sum.prefill += load.prefill;
}

/// Returns the requests in order, with exponential gaps.
fn arrivals(kinds: &[Kind], seconds: u64) -> Vec<Request> {
    let mut all = Vec::new();
    for (number, kind) in kinds.iter().enumerate() {
        let mut state = mix(number as u64 + 77);
        let mut draw = || {
            state = mix(state.wrapping_add(0x9e37_79b9_7f4a_7c15));
            (state >> 11) as f64 / (1_u64 << 53) as f64
        };
        let mut at = 0.0;
        loop {
            at -= (1.0 - draw()).ln() * 1_000.0 / kind.per_second;
            if at >= seconds as f64 * 1_000.0 {
                break;
            }
            let uniform = (draw() * kind.subject.0 as f64) as u64;
            let subject = if draw() < kind.hot { 0 } else { uniform };
            let first = subject % kind.first.0;
            let id = |level: u64, part: u64| mix(mix(number as u64 * 10 + level) ^ part);
            // The lengths vary by a factor of nine around the mean.
            let length = |tokens: u64, draw: f64| (tokens as f64 * (0.2 + 1.6 * draw)) as u64;
            let subject_length = (id(3, subject) >> 11) as f64 / (1_u64 << 53) as f64;
            all.push(Request {
                kind: number,
                parts: vec![
                    (id(1, first), kind.first.1),
                    (id(2, subject), length(kind.subject.1, subject_length)),
                    (
                        digest::mix(all.len() as u64) ^ id(4, 0),
                        length(kind.own_tokens, draw()),
                    ),
                ],
                output: length(kind.output_tokens, draw()),
                sent_at: START_MS + at as u64,
            });
        }
    }
    all.sort_by_key(|r| r.sent_at);
    all
}

/// Requests of three kinds: long prompts with a long subject, short ones and tags.
const KINDS: [Kind; 3] = [
    Kind {
        per_second: 117.0,
        first: (3, 512),
        subject: (746, 4_870),
        own_tokens: 6_610,
        output_tokens: 380,
        hot: 0.0,
    },
    Kind {
        per_second: 95.0,
        first: (80, 119),
        subject: (349, 79),
        own_tokens: 628,
        output_tokens: 290,
        hot: 0.0,
    },
    Kind {
        per_second: 231.0,
        first: (16, 341),
        subject: (1_465, 227),
        own_tokens: 1_800,
        output_tokens: 20,
        hot: 0.0,
    },
];

/// Replays the load with the former and with the new decision. If `restarts` is set, one upstream
/// after the other restarts, every second.
fn compare(kinds: &[Kind], memory: u64, restarts: bool) -> [Replay; 2] {
    [false, true].map(|is_weighed| {
        let mut replay = Replay::new(66, 90, 16, memory, is_weighed);
        replay.play(kinds, 20, |second, replay| {
            if restarts && second > 4 {
                let engine = &mut replay.engines[usize::try_from(second).unwrap()];
                engine.restart();
                replay.announce(START_MS + second * 1_000);
            }
        });
        println!(
            "weighed {is_weighed}: read again {:?} of {}, p50 and p99 {:?}, late {}, most arrivals {}",
            replay.reread_tokens,
            replay.shared_tokens,
            (0..kinds.len())
                .map(|k| (replay.quantile(k, 0.5), replay.quantile(k, 0.99)))
                .collect::<Vec<_>>(),
            replay.late(),
            replay.most_arrivals,
        );
        replay
    })
}

/// Returns the kinds with so many times their usual rate and a share of hot long prompts.
fn load(factor: f64, hot: f64) -> [Kind; 3] {
    let mut kinds = KINDS.map(|kind| Kind {
        per_second: kind.per_second * factor,
        ..kind
    });
    kinds[0].hot = hot;
    kinds
}

/// Asserts that no kind waits longer for its first event than with the former decision.
fn assert_no_later([old, new]: &[Replay; 2]) {
    for kind in 0..old.waits.len() {
        for share in [0.5, 0.99] {
            let (old, new) = (old.quantile(kind, share), new.quantile(kind, share));
            assert!(new <= old, "kind {kind}: {new} ms after {old} ms");
        }
    }
}

/// 66 entry instances, each of which sees a subject once in minutes: coincident requests must not
/// move prompts away from the upstream that holds them. Guards against a second prefill of the long
/// subjects, half of which the bound on the load alone causes.
#[test]
fn long_prompts_stay_where_they_are_held() {
    let both = compare(&load(1.0, 0.0), 600_000, false);
    assert_no_later(&both);
    let [old, new] = both;
    assert!(new.reread_tokens[0] * 2 <= old.reread_tokens[0]);
}

/// Twice the usual load, and more than a quarter of the long prompts have the same subject: it
/// spreads over more upstreams when the wait passes the saving. Guards against a line at the first
/// one, in which the first event of a short answer takes longer than a second.
#[test]
fn a_hot_subject_spreads_before_a_line_forms() {
    let both = compare(&load(2.0, 0.28), 600_000, false);
    assert_no_later(&both);
    let [old, new] = both;
    assert!(old.quantile(0, 0.99) > 1_000, "the load is as described");
    assert!(new.quantile(0, 0.99) <= 1_000);
    assert!(new.reread_tokens[0] < old.reread_tokens[0]);
}

/// The running requests take most of the memory, so that unused parts are evicted within seconds.
#[test]
fn prompts_stay_held_while_memory_is_nearly_full() {
    let both = compare(&load(1.0, 0.0), 150_000, false);
    assert_no_later(&both);
    assert!(both[1].reread_tokens[0] < both[0].reread_tokens[0]);
}

/// One upstream after the other restarts and holds nothing, and reports are late as always. An
/// expectation that is wrong costs a prefill. Guards against a herd of instances at the upstream that
/// has the least load in their old reports.
#[test]
fn restarted_upstreams_draw_no_herd() {
    let both = compare(&load(2.0, 0.0), 600_000, true);
    assert_no_later(&both);
    assert!(both[1].reread_tokens[0] < both[0].reread_tokens[0]);
    assert!(
        both[1].most_arrivals <= 16,
        "more than the slots between two reports"
    );
}

/// Two and a half times the usual load takes nearly all slots. Guards against instances that all send
/// to the few upstreams with a slot free in the last reports, where lines of seconds form.
#[test]
fn no_lines_form_when_nearly_all_slots_are_taken() {
    let [old, new] = compare(&load(2.5, 0.0), 600_000, false);
    assert!(
        new.late() < old.late(),
        "{} after {}",
        new.late(),
        old.late()
    );
    assert!(new.reread_tokens[0] < old.reread_tokens[0]);
    for kind in 0..3 {
        assert!(new.quantile(kind, 0.99) <= old.quantile(kind, 0.99));
    }
}

/// Ten thousand subjects of each kind, of which each is asked for once a minute or less.
#[test]
fn ten_thousand_subjects_are_placed_as_well() {
    let mut kinds = load(1.0, 0.0);
    for kind in &mut kinds {
        kind.subject.0 = 10_000;
    }
    let both = compare(&kinds, 600_000, false);
    assert_no_later(&both);
    assert!(both[1].reread_tokens[0] * 2 <= both[0].reread_tokens[0]);
}

/// Returns a request for a subject with this number.
fn request(subject: u64) -> Request {
    Request {
        kind: 0,
        parts: vec![(1, 512), (mix(subject), 4_870), (mix(!subject), 2_000)],
        output: 300,
        sent_at: START_MS,
    }
}

/// Returns a pool of one of 66 instances to which the loads of the others were reported.
fn pool<F>(domain: &str, load_of: F) -> Pool
where
    F: Fn(&str) -> Load,
{
    let mut replay = Replay::new(DOMAINS.len(), 20, 16, 600_000, true);
    let at = DOMAINS.iter().position(|d| *d == domain).unwrap();
    let mut pool = replay.pools.swap_remove(at);
    let loads = (0..20).map(|n| {
        let upstream: Arc<str> = format!("u{n:03}").into();
        Load {
            upstream: upstream.clone(),
            ..load_of(&upstream)
        }
    });
    let totals = Totals {
        loads: loads.collect(),
        instances: 66,
        domain_instances: Vec::new(),
    };
    pool.update_totals(&totals, Time::from_millis(START_MS));
    pool
}

fn chosen(pool: &Pool, request: &Request, token_ms: f64) -> Arc<str> {
    let criteria = criteria(request, token_ms, 600_000);
    let now = Time::from_millis(START_MS);
    match pool.choose(&criteria, &State::default(), now) {
        Choice::Upstream(target) => target.upstream,
        other => panic!("{other:?}"),
    }
}

/// Requests at the first upstream that cost less than another prefill do not move a prompt away,
/// which the bound on the load does. A line that costs more does, and instances of all failure
/// domains agree on the second upstream.
#[test]
fn the_wait_is_weighed_against_the_prefill() {
    for subject in 0..50 {
        let request = request(subject);
        let home = chosen(&pool("a", |_| Load::default()), &request, 0.01);
        let at_home = |running: u32, prefill: u64| {
            let home = home.clone();
            move |upstream: &str| Load {
                running: if *upstream == *home { running } else { 0 },
                work: if *upstream == *home {
                    u64::from(running) * 4_000
                } else {
                    0
                },
                prefill: if *upstream == *home { prefill } else { 0 },
                ..Load::default()
            }
        };
        let busy = pool("a", at_home(6, 0));
        assert_ne!(chosen(&busy, &request, 0.0), home, "the former decision");
        assert_eq!(chosen(&busy, &request, 0.01), home);
        let line = ["a", "b"].map(|domain| pool(domain, at_home(6, 100_000)));
        let second = chosen(&line[0], &request, 0.01);
        assert_ne!(second, home);
        assert_eq!(second, chosen(&line[1], &request, 0.01));
    }
}

/// What an upstream held is gone with its incarnation. Another failure domain that can't be reached
/// is avoided, whatever it holds.
#[test]
fn nothing_is_held_after_a_restart_or_behind_a_partition() {
    let now = Time::from_millis(START_MS);
    let mut replay = Replay::new(66, 20, 16, 600_000, true);
    replay.report(START_MS);
    let request = request(3);
    let home = chosen(&replay.pools[0], &request, 0.01);
    let criteria = criteria(&request, 0.01, 600_000);
    replay.pools[0].record_prompt(&home, 1, &criteria, now);
    let held = |pool: &Pool| pool.expectation(&home, &criteria, now).unwrap().held_tokens;
    assert!(held(&replay.pools[0]) > 7_000.0);
    let engine: usize = home[1..].parse().unwrap();
    replay.engines[engine].restart();
    replay.announce(START_MS);
    assert!(held(&replay.pools[0]) < 10.0);
    let domain = |upstream: &str| upstream[1..].parse::<usize>().unwrap() % DOMAINS.len();
    let own = (engine + 1) % DOMAINS.len();
    let pool = &mut replay.pools[own];
    for number in (0..20).filter(|n| n % DOMAINS.len() == engine % DOMAINS.len()) {
        let upstream = format!("u{number:03}");
        let incarnation = replay.engines[number].incarnation + 1;
        pool.connect_failed(&upstream, incarnation, Failure::Unresponsive, now);
    }
    let instead = chosen(pool, &request, 0.01);
    assert_ne!(domain(&instead), engine % DOMAINS.len());
}

/// With nothing observed, or with few instances, the choice is the former one: the first upstream in
/// hash order whose load is within the bound. False reports never leave a request without upstream.
#[test]
fn with_nothing_observed_the_choice_is_the_former_one() {
    for case in 0..500_u64 {
        let load_of = |upstream: &str| {
            let draw = mix(digest::of(upstream.as_bytes()) ^ mix(case));
            Load {
                running: u32::try_from(draw % 16).unwrap(),
                work: draw % 70_000,
                prefill: draw % 1_000_000_007,
                ..Load::default()
            }
        };
        let pool = pool("a", load_of);
        let request = request(case);
        let affinity = mix(request.parts[1].0);
        let score = |upstream: &str| {
            let load = load_of(upstream);
            f64::from(load.running) + f64::from(u32::try_from(load.work).unwrap()) / 4_000.0
        };
        let mut order: Vec<String> = (0..20).map(|n| format!("u{n:03}")).collect();
        let local = order.iter().step_by(DOMAINS.len());
        let mean = local.map(|u| score(u)).sum::<f64>() / 5.0;
        order.sort_by_key(|u| mix(digest::of(u.as_bytes()) ^ affinity));
        let within = order.iter().find(|u| score(u) <= mean * 1.25 + 3.0);
        let former = within.unwrap_or(&order[0]);
        assert_eq!(*chosen(&pool, &request, 0.0), **former, "case {case}");
        chosen(&pool, &request, 0.01);
    }
}

/// The records stay within their bound, and the ones in use are kept.
#[test]
fn the_store_is_bounded() {
    let mut store = prompt_cache::Store::default();
    let lifetime = Span::from_secs(60);
    for number in 0..40_000 {
        let now = Time::from_millis(number);
        let parts = [(1, 512), (number, 100)];
        let holder = prompt_cache::holder("u000", 1);
        store.record(prompt_cache::prefixes(1, &parts), holder, now);
        assert!(store.len() <= 8_192);
        let first = prompt_cache::prefixes(1, &parts).next().unwrap();
        assert!(store.certainty(first.digest, holder, lifetime, now) >= 1.0);
    }
}

/// All upstreams have a short queue. Guards against prompts without shared parts that find no room
/// there while others do, and so never get any.
#[test]
fn prompts_without_shared_parts_find_the_same_room() {
    let pool = pool("a", |_| Load {
        running: 18,
        ..Load::default()
    });
    let request = request(1);
    let shared = criteria(&request, 0.01, 600_000);
    let single = Criteria {
        prompt: Prompt {
            parts: &[(7, 2_000)],
            ..shared.prompt
        },
        ..shared.clone()
    };
    for criteria in [&shared, &single] {
        let now = Time::from_millis(START_MS);
        let choice = pool.choose(criteria, &State::default(), now);
        assert!(matches!(choice, Choice::Upstream(_)), "{choice:?}");
    }
}
