//! Tests of the state machine on the log.

use masticlock_core::{
    claim::{self, Begin, Decision, Finish, Key, Response},
    command::{Command, Outcome},
    config::{Change, Restriction},
    error, inventory,
    machine::{
        Entry, Input, MAX_PERMIT_TERM, Machine, Member, OUTCOME_RETENTION, Output, PermitRequest,
    },
    name, request,
    time::{Span, Time},
};
use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

const SEEDS: u64 = 300;
const STEPS: usize = 300;

fn named<T>(text: &str) -> T
where
    T: for<'a> TryFrom<&'a str, Error = name::Error>,
{
    T::try_from(text).unwrap()
}

fn import(domains: &[&str]) -> Change {
    let domains = domains.iter().map(|d| inventory::Domain {
        name: named(d),
        region: named("r"),
    });
    Change::Import(inventory::Raw {
        domains: domains.collect(),
        ..inventory::Raw::default()
    })
}

fn command(id: &str, expects: Option<u64>, change: Change) -> Command {
    Command {
        id: named(id),
        operator: format!("operator of {id}"),
        expects,
        change,
    }
}

fn ask(key: &str, holder: &str, body: &[u8]) -> Begin {
    let account = named("mill");
    Begin {
        fingerprint: request::Fingerprint::of(&account, body),
        key: Key {
            account,
            key: key.into(),
        },
        holder: named(holder),
        instance: named("entry-1"),
    }
}

fn finish(ask: &Begin, end: claim::Outcome) -> Input {
    Input::Finish(Finish {
        key: ask.key.clone(),
        holder: ask.holder.clone(),
        end,
    })
}

fn answer(text: &str) -> Response {
    Response {
        status: 200,
        content_type: "text/plain".into(),
        body: text.as_bytes().to_vec(),
    }
}

/// A machine and a copy that is sometimes restored from its snapshot.
struct Pair {
    machine: Machine,
    copy: Machine,
    at: Time,
}

impl Pair {
    fn new() -> Self {
        Self {
            machine: Machine::new(),
            copy: Machine::new(),
            at: Time::ZERO,
        }
    }

    fn apply(&mut self, input: Input) -> Output {
        let entry = Entry { at: self.at, input };
        let output = self.machine.apply(&entry);
        assert_eq!(
            self.copy.apply(&entry),
            output,
            "replicas differ at {entry:?}"
        );
        output
    }

    fn restore(&mut self) {
        let snapshot = serde_json::to_vec(&self.copy).unwrap();
        self.copy = serde_json::from_slice(&snapshot).unwrap();
        assert_eq!(self.copy, self.machine, "a snapshot changes the state");
    }

    fn verdict(&mut self, ask: &Begin) -> Decision {
        match self.apply(Input::Begin(ask.clone())) {
            Output::Verdict(verdict) => verdict,
            other => panic!("unexpected {other:?}"),
        }
    }

    fn outcome(&mut self, command: &Command) -> Outcome {
        match self.apply(Input::Submit(command.clone())) {
            Output::Outcome(outcome) => outcome,
            other => panic!("unexpected {other:?}"),
        }
    }
}

/// Operators that race, resend after lost answers and reuse ids.
fn operator_step(random: &mut ChaCha8Rng, pair: &mut Pair, known: &mut Vec<(Command, Outcome)>) {
    if !known.is_empty() && random.random_bool(0.4) {
        let (command, outcome) = known.choose(random).unwrap();
        assert_eq!(
            pair.outcome(command),
            *outcome,
            "a resend got another outcome"
        );
        let other = Command {
            operator: "someone else".into(),
            ..command.clone()
        };
        let refused = pair.outcome(&other);
        assert!(
            matches!(&refused, Outcome::Refused { error, .. }
                if error.kind == error::Kind::CommandReused),
            "{refused:?}"
        );
        return;
    }
    let revision = pair.machine.config().revision;
    let expects = match random.random_range(0..4) {
        0 => None,
        1 => Some(revision.saturating_sub(random.random_range(0..3))),
        _ => Some(revision),
    };
    let limit = Restriction::TakeOut(named(["a", "b", "c", "nowhere"].choose(random).unwrap()));
    let change = match random.random_range(0..3) {
        0 => Change::Restrict(limit),
        1 => Change::Allow(limit),
        _ => import(&["a", "b", "c"]),
    };
    let command = command(&format!("c{}", known.len()), expects, change);
    let outcome = pair.outcome(&command);
    match (&outcome, expects) {
        (Outcome::Accepted { revision: made }, _) => {
            assert_eq!(*made, revision + 1);
            assert!(
                expects.is_none_or(|e| e == revision),
                "a stale command was accepted"
            );
        }
        (Outcome::Refused { error, winner }, Some(e)) if e != revision => {
            assert_eq!(error.kind, error::Kind::Conflict);
            let winner = winner.as_ref().expect("a conflict names its winner");
            let made = Outcome::Accepted { revision: e + 1 };
            let won = known.iter().find(|(c, _)| c.id == winner.id);
            assert_eq!(won.map(|(_, o)| o), Some(&made));
        }
        (Outcome::Refused { error, .. }, _) => {
            assert_eq!(error.kind, error::Kind::InvalidChange);
            assert_eq!(pair.machine.config().revision, revision);
        }
    }
    known.push((command, outcome));
}

/// A caller's call as the test sees it.
struct Call {
    ask: Begin,
    /// Whether the holder has sent bytes, or may have.
    sent: bool,
    over: bool,
}

/// Callers that repeat calls through any instance, and holders that end, resend or vanish.
fn claim_step(random: &mut ChaCha8Rng, pair: &mut Pair, calls: &mut Vec<Call>) {
    if !calls.is_empty() && random.random_bool(0.5) {
        let at = random.random_range(0..calls.len());
        let call = &mut calls[at];
        let end = match (call.sent, random.random_range(0..3)) {
            (true, 0) => claim::Outcome::Answered(answer("done")),
            (true, 1) => claim::Outcome::Unknown,
            (true, _) => return,
            (false, _) => claim::Outcome::NotSent,
        };
        call.over = true;
        let input = finish(&call.ask, end);
        pair.apply(input);
        return;
    }
    let key = format!("k{}", random.random_range(0..4));
    let ask = ask(&key, &format!("r{}", calls.len()), b"body");
    let verdict = pair.verdict(&ask);
    let ran = calls.iter().any(|c| c.ask.key == ask.key && c.sent);
    let open = calls.iter().any(|c| c.ask.key == ask.key && !c.over);
    if verdict == Decision::Granted {
        assert!(!ran && !open, "call {key} was granted twice");
        let sent = random.random_bool(0.7);
        calls.push(Call {
            ask,
            sent,
            over: false,
        });
    } else {
        assert!(
            ran || open,
            "{key} is refused and nobody holds it: {verdict:?}"
        );
    }
}

/// Guards against replicas that differ, outcomes that change, and calls that
/// are granted twice, under racing operators, resends, lost answers and
/// restarts from a snapshot.
#[test]
fn random_entries_keep_the_promises() {
    for seed in 0..SEEDS {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let (mut pair, mut known, mut calls) = (Pair::new(), Vec::new(), Vec::new());
        for _ in 0..STEPS {
            pair.at += Span::from_millis(random.random_range(0..50));
            match random.random_range(0..10) {
                0..5 => operator_step(&mut random, &mut pair, &mut known),
                5..9 => claim_step(&mut random, &mut pair, &mut calls),
                _ => pair.restore(),
            }
        }
        pair.restore();
        assert_eq!(
            pair.machine.digest(),
            pair.machine.config().digest(),
            "seed {seed}"
        );
    }
}

/// Guards against a claim that is freed by anything but proof that no byte was sent.
#[test]
fn only_not_sent_frees_a_claim() {
    let large = Response {
        body: vec![b'x'; claim::MAX_RESPONSE_BYTES + 1],
        ..answer("")
    };
    let cases = [
        (Some(claim::Outcome::NotSent), Decision::Granted),
        (Some(claim::Outcome::Unknown), Decision::Unknown),
        (
            Some(claim::Outcome::Answered(answer("ok"))),
            Decision::Done(answer("ok")),
        ),
        (Some(claim::Outcome::Answered(large)), Decision::Unknown),
        (None, Decision::InProgress),
    ];
    for (end, expected) in cases {
        let mut pair = Pair::new();
        let first = ask("k", "r1", b"body");
        assert_eq!(pair.verdict(&first), Decision::Granted);
        assert_eq!(
            pair.verdict(&first),
            Decision::Granted,
            "a lost answer is sent again"
        );
        if let Some(end) = end.clone() {
            pair.apply(finish(&first, end));
        }
        let reused = match expected {
            Decision::Granted => Decision::Granted,
            _ => Decision::Reused,
        };
        assert_eq!(pair.verdict(&ask("k", "r3", b"other")), reused, "{end:?}");
        if expected != Decision::Granted {
            assert_eq!(pair.verdict(&ask("k", "r2", b"body")), expected, "{end:?}");
        }
    }
}

/// Guards against a call that runs on two instances whose requests have the same id, as repeats
/// with one idempotency key have.
#[test]
fn claim_is_granted_to_one_instance_only() {
    let mut pair = Pair::new();
    let first = ask("k", "r1", b"body");
    let second = Begin {
        instance: named("entry-2"),
        ..first.clone()
    };
    assert_eq!(pair.verdict(&first), Decision::Granted);
    assert_eq!(pair.verdict(&second), Decision::InProgress);
    assert_eq!(
        pair.verdict(&first),
        Decision::Granted,
        "a lost answer is sent again"
    );
}

/// Guards against messages in another order: an end before its claim, and the
/// late end of a request whose claim another one has now.
#[test]
fn late_messages_free_nothing() {
    let mut pair = Pair::new();
    let (first, second) = (ask("k", "r1", b"body"), ask("k", "r2", b"body"));
    pair.apply(finish(&first, claim::Outcome::NotSent));
    assert_eq!(
        pair.verdict(&first),
        Decision::InProgress,
        "the end came before"
    );
    assert_eq!(pair.verdict(&second), Decision::Granted);
    pair.apply(finish(&first, claim::Outcome::NotSent));
    assert_eq!(pair.verdict(&ask("k", "r3", b"body")), Decision::InProgress);
    pair.apply(finish(&second, claim::Outcome::Unknown));
    pair.apply(finish(&first, claim::Outcome::NotSent));
    assert_eq!(pair.verdict(&ask("k", "r4", b"body")), Decision::Unknown);
}

/// Guards against calls that stay in progress after their instance is gone or
/// has restarted, and against a restart that takes the new start's claims.
#[test]
fn claims_of_a_lost_instance_become_unknown() {
    let join = |incarnation| {
        Input::Join(Member {
            instance: named("entry-1"),
            domain: named("a"),
            incarnation,
        })
    };
    let gone = |before| Input::Gone {
        instance: named("entry-1"),
        before: Time::from_millis(before),
    };
    let cases = [
        (gone(100), Decision::InProgress),
        (gone(101), Decision::Unknown),
        (join(1), Decision::InProgress),
        (join(2), Decision::Unknown),
    ];
    for (input, expected) in cases {
        let mut pair = Pair::new();
        pair.apply(join(1));
        pair.at = Time::from_millis(100);
        let first = ask("k", "r1", b"body");
        pair.verdict(&first);
        pair.apply(input.clone());
        assert_eq!(
            pair.verdict(&ask("k", "r2", b"body")),
            expected,
            "{input:?}"
        );
        pair.apply(finish(&first, claim::Outcome::Answered(answer("late"))));
        let done = Decision::Done(answer("late"));
        assert_eq!(pair.verdict(&ask("k", "r3", b"body")), done, "{input:?}");
    }
}

/// Guards against records that grow without bound, and against outcomes,
/// running claims and permits that are dropped too early.
#[test]
fn retention_is_bounded() {
    let mut pair = Pair::new();
    let submitted = command("c", None, import(&["a"]));
    let accepted = pair.outcome(&submitted);
    let (running, done) = (ask("running", "r1", b"body"), ask("done", "r2", b"body"));
    pair.verdict(&running);
    pair.verdict(&done);
    pair.apply(finish(&done, claim::Outcome::Answered(answer("ok"))));
    let step = |pair: &mut Pair, at: Span| {
        pair.at = Time::ZERO + at;
        pair.apply(Input::Leave(named("nobody")));
    };
    step(&mut pair, claim::RETENTION.minus(Span::from_millis(1)));
    assert_eq!(pair.machine.claims().len(), 2);
    step(&mut pair, claim::RETENTION);
    assert_eq!(pair.machine.claims().len(), 1);
    step(&mut pair, OUTCOME_RETENTION.minus(Span::from_millis(1)));
    assert_eq!(pair.outcome(&submitted), accepted);
    assert_eq!(
        pair.verdict(&ask("running", "r3", b"body")),
        Decision::InProgress
    );
    step(&mut pair, OUTCOME_RETENTION);
    assert_eq!(pair.machine.outcome(&submitted.id), None);
}

/// Guards against two suspect requests with one fingerprint that run at once,
/// and against a permit that outlives its holder for good.
#[test]
fn one_permit_for_each_fingerprint() {
    let fingerprint = request::Fingerprint::of(&named("mill"), b"body");
    let acquire_at = |instance: &str, request: &str, secs| {
        Input::Acquire(PermitRequest {
            fingerprint,
            request: named(request),
            instance: named(instance),
            term: Span::from_secs(secs),
        })
    };
    let release_at = |instance: &str, request: &str| Input::Release {
        fingerprint,
        request: named(request),
        instance: named(instance),
    };
    let acquire = |request: &str, secs| acquire_at("entry-1", request, secs);
    let release = |request: &str| release_at("entry-1", request);
    let mut pair = Pair::new();
    let cases = [
        (0, acquire("r1", 5), Output::Permit(true)),
        (1, acquire("r2", 5), Output::Permit(false)),
        (2, acquire("r1", 5), Output::Permit(true)),
        // A repeat with the same idempotency key has the same id on another instance.
        (2, acquire_at("entry-2", "r1", 5), Output::Permit(false)),
        (2, release_at("entry-2", "r1"), Output::Applied),
        (2, acquire("r2", 5), Output::Permit(false)),
        (3, release("r2"), Output::Applied),
        (4, acquire("r2", 5), Output::Permit(false)),
        // The expiry of the first grant holds, although it was asked for again.
        (5, acquire("r2", 9_999), Output::Permit(true)),
        (6, release("r2"), Output::Applied),
        (7, acquire("r3", 9_999), Output::Permit(true)),
        (
            6 + MAX_PERMIT_TERM.as_millis() / 1_000,
            acquire("r4", 5),
            Output::Permit(false),
        ),
        (
            7 + MAX_PERMIT_TERM.as_millis() / 1_000,
            acquire("r4", 5),
            Output::Permit(true),
        ),
    ];
    for (secs, input, expected) in cases {
        pair.at = Time::ZERO + Span::from_secs(secs);
        assert_eq!(
            pair.apply(input.clone()),
            expected,
            "at {secs} s: {input:?}"
        );
    }
}

/// Guards against a leader whose clock lags behind and moves the log's time back.
#[test]
fn time_of_the_log_never_goes_back() {
    let mut pair = Pair::new();
    pair.at = Time::from_millis(1_000);
    pair.apply(Input::Leave(named("nobody")));
    pair.at = Time::from_millis(10);
    pair.apply(Input::Leave(named("nobody")));
    assert_eq!(pair.machine.now(), Time::from_millis(1_000));
}
