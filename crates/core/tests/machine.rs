//! Tests of the control state machine.

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

fn begin(key: &str, holder: &str, body: &[u8]) -> Begin {
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

fn finish(begin: &Begin, end: claim::Outcome) -> Input {
    Input::Finish(Finish {
        key: begin.key.clone(),
        holder: begin.holder.clone(),
        end,
    })
}

fn response(text: &str) -> Response {
    Response {
        status: 200,
        content_type: "text/plain".into(),
        body: text.as_bytes().to_vec(),
    }
}

/// Two replicas that apply the same entries. One of them is sometimes restored from its snapshot.
struct Replicas {
    machine: Machine,
    restored: Machine,
    at: Time,
}

impl Replicas {
    fn new() -> Self {
        Self {
            machine: Machine::new(),
            restored: Machine::new(),
            at: Time::ZERO,
        }
    }

    fn apply(&mut self, input: Input) -> Output {
        let entry = Entry { at: self.at, input };
        let output = self.machine.apply(&entry);
        assert_eq!(
            self.restored.apply(&entry),
            output,
            "replicas differ at {entry:?}"
        );
        output
    }

    fn restore(&mut self) {
        let snapshot = serde_json::to_vec(&self.restored).unwrap();
        self.restored = serde_json::from_slice(&snapshot).unwrap();
        assert_eq!(self.restored, self.machine, "a snapshot changes the state");
    }

    fn begin(&mut self, begin: &Begin) -> Decision {
        match self.apply(Input::Begin(begin.clone())) {
            Output::Verdict(decision) => decision,
            other => panic!("unexpected {other:?}"),
        }
    }

    fn submit(&mut self, command: &Command) -> Outcome {
        match self.apply(Input::Submit(command.clone())) {
            Output::Outcome(outcome) => outcome,
            other => panic!("unexpected {other:?}"),
        }
    }
}

/// Submits a command of an operator who races with others, resends after a lost answer or reuses
/// an id.
fn operator_step(
    rng: &mut ChaCha8Rng,
    replicas: &mut Replicas,
    history: &mut Vec<(Command, Outcome)>,
) {
    if !history.is_empty() && rng.random_bool(0.4) {
        let (command, outcome) = history.choose(rng).unwrap();
        assert_eq!(
            replicas.submit(command),
            *outcome,
            "a resend got another outcome"
        );
        let other = Command {
            operator: "someone else".into(),
            ..command.clone()
        };
        let refused = replicas.submit(&other);
        assert!(
            matches!(&refused, Outcome::Refused { error, .. }
                if error.kind == error::Kind::CommandReused),
            "{refused:?}"
        );
        return;
    }
    let revision = replicas.machine.config().revision;
    let expects = match rng.random_range(0..4) {
        0 => None,
        1 => Some(revision.saturating_sub(rng.random_range(0..3))),
        _ => Some(revision),
    };
    let restriction = Restriction::TakeOut(named(["a", "b", "c", "nowhere"].choose(rng).unwrap()));
    let change = match rng.random_range(0..3) {
        0 => Change::Restrict(restriction),
        1 => Change::Allow(restriction),
        _ => import(&["a", "b", "c"]),
    };
    let command = command(&format!("c{}", history.len()), expects, change);
    let outcome = replicas.submit(&command);
    match (&outcome, expects) {
        (Outcome::Accepted { revision: created }, _) => {
            assert_eq!(*created, revision + 1);
            assert!(
                expects.is_none_or(|e| e == revision),
                "a stale command was accepted"
            );
        }
        (Outcome::Refused { error, winner }, Some(e)) if e != revision => {
            assert_eq!(error.kind, error::Kind::Conflict);
            let winner = winner.as_ref().expect("a conflict names its winner");
            let accepted = Outcome::Accepted { revision: e + 1 };
            let winning = history.iter().find(|(c, _)| c.id == winner.id);
            assert_eq!(winning.map(|(_, o)| o), Some(&accepted));
        }
        (Outcome::Refused { error, .. }, _) => {
            assert_eq!(error.kind, error::Kind::InvalidChange);
            assert_eq!(replicas.machine.config().revision, revision);
        }
    }
    history.push((command, outcome));
}

/// A claimed call.
struct Call {
    begin: Begin,
    /// Whether the holder sent bytes or may have sent them.
    sent: bool,
    ended: bool,
}

/// Repeats a call that a caller sends again, or lets a holder report how its call ended.
/// Some holders never report.
fn claim_step(rng: &mut ChaCha8Rng, replicas: &mut Replicas, calls: &mut Vec<Call>) {
    if !calls.is_empty() && rng.random_bool(0.5) {
        let index = rng.random_range(0..calls.len());
        let call = &mut calls[index];
        let end = match (call.sent, rng.random_range(0..3)) {
            (true, 0) => claim::Outcome::Answered(response("done")),
            (true, 1) => claim::Outcome::Unknown,
            (true, _) => return,
            (false, _) => claim::Outcome::NotSent,
        };
        call.ended = true;
        let input = finish(&call.begin, end);
        replicas.apply(input);
        return;
    }
    let key = format!("k{}", rng.random_range(0..4));
    let begin = begin(&key, &format!("r{}", calls.len()), b"body");
    let decision = replicas.begin(&begin);
    let was_sent = calls.iter().any(|c| c.begin.key == begin.key && c.sent);
    let is_open = calls.iter().any(|c| c.begin.key == begin.key && !c.ended);
    if decision == Decision::Granted {
        assert!(!was_sent && !is_open, "call {key} was granted twice");
        let sent = rng.random_bool(0.7);
        calls.push(Call {
            begin,
            sent,
            ended: false,
        });
    } else {
        assert!(
            was_sent || is_open,
            "{key} is refused and nobody holds it: {decision:?}"
        );
    }
}

/// Guards against replicas that diverge, outcomes that change and calls that are granted
/// twice, under racing operators, resends, lost answers and restarts from a snapshot.
#[test]
fn random_entries_preserve_the_invariants() {
    for seed in 0..SEEDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut replicas, mut history, mut calls) = (Replicas::new(), Vec::new(), Vec::new());
        for _ in 0..STEPS {
            replicas.at += Span::from_millis(rng.random_range(0..50));
            match rng.random_range(0..10) {
                0..5 => operator_step(&mut rng, &mut replicas, &mut history),
                5..9 => claim_step(&mut rng, &mut replicas, &mut calls),
                _ => replicas.restore(),
            }
        }
        replicas.restore();
        assert_eq!(
            replicas.machine.digest(),
            replicas.machine.config().digest(),
            "seed {seed}"
        );
    }
}

/// Guards against a claim that is freed by anything but the report that no byte was sent.
#[test]
fn only_not_sent_frees_a_claim() {
    let large = Response {
        body: vec![b'x'; claim::MAX_RESPONSE_BYTES + 1],
        ..response("")
    };
    let cases = [
        (Some(claim::Outcome::NotSent), Decision::Granted),
        (Some(claim::Outcome::Unknown), Decision::Unknown),
        (
            Some(claim::Outcome::Answered(response("ok"))),
            Decision::Done(response("ok")),
        ),
        (Some(claim::Outcome::Answered(large)), Decision::Unknown),
        (None, Decision::InProgress),
    ];
    for (end, expected) in cases {
        let mut replicas = Replicas::new();
        let first = begin("k", "r1", b"body");
        assert_eq!(replicas.begin(&first), Decision::Granted);
        assert_eq!(
            replicas.begin(&first),
            Decision::Granted,
            "a lost answer is sent again"
        );
        if let Some(end) = end.clone() {
            replicas.apply(finish(&first, end));
        }
        let reused = match expected {
            Decision::Granted => Decision::Granted,
            _ => Decision::Reused,
        };
        assert_eq!(
            replicas.begin(&begin("k", "r3", b"other")),
            reused,
            "{end:?}"
        );
        if expected != Decision::Granted {
            assert_eq!(
                replicas.begin(&begin("k", "r2", b"body")),
                expected,
                "{end:?}"
            );
        }
    }
}

/// Guards against a call that runs on two instances because repeated requests with the same
/// idempotency key have the same id.
#[test]
fn claim_is_granted_to_one_instance_only() {
    let mut replicas = Replicas::new();
    let first = begin("k", "r1", b"body");
    let second = Begin {
        instance: named("entry-2"),
        ..first.clone()
    };
    assert_eq!(replicas.begin(&first), Decision::Granted);
    assert_eq!(replicas.begin(&second), Decision::InProgress);
    assert_eq!(
        replicas.begin(&first),
        Decision::Granted,
        "a lost answer is sent again"
    );
}

/// Guards against reordered messages: the end of a call that arrives before its claim, and a
/// late end reported by a holder after the claim was granted to another one.
#[test]
fn late_messages_free_nothing() {
    let mut replicas = Replicas::new();
    let (first, second) = (begin("k", "r1", b"body"), begin("k", "r2", b"body"));
    replicas.apply(finish(&first, claim::Outcome::NotSent));
    assert_eq!(
        replicas.begin(&first),
        Decision::InProgress,
        "the end was reported before the claim"
    );
    assert_eq!(replicas.begin(&second), Decision::Granted);
    replicas.apply(finish(&first, claim::Outcome::NotSent));
    assert_eq!(
        replicas.begin(&begin("k", "r3", b"body")),
        Decision::InProgress
    );
    replicas.apply(finish(&second, claim::Outcome::Unknown));
    replicas.apply(finish(&first, claim::Outcome::NotSent));
    assert_eq!(
        replicas.begin(&begin("k", "r4", b"body")),
        Decision::Unknown
    );
}

/// Guards against calls that stay in progress after their instance is gone or has restarted,
/// and against ending claims that the instance made after its restart.
#[test]
fn claims_of_a_lost_instance_become_unknown() {
    let join = |incarnation| {
        Input::Join(Member {
            instance: named("entry-1"),
            domain: named("a"),
            incarnation,
        })
    };
    let instance_gone = |before| Input::Gone {
        instance: named("entry-1"),
        before: Time::from_millis(before),
    };
    let cases = [
        (instance_gone(100), Decision::InProgress),
        (instance_gone(101), Decision::Unknown),
        (join(1), Decision::InProgress),
        (join(2), Decision::Unknown),
    ];
    for (input, expected) in cases {
        let mut replicas = Replicas::new();
        replicas.apply(join(1));
        replicas.at = Time::from_millis(100);
        let first = begin("k", "r1", b"body");
        replicas.begin(&first);
        replicas.apply(input.clone());
        assert_eq!(
            replicas.begin(&begin("k", "r2", b"body")),
            expected,
            "{input:?}"
        );
        replicas.apply(finish(&first, claim::Outcome::Answered(response("late"))));
        let done = Decision::Done(response("late"));
        assert_eq!(
            replicas.begin(&begin("k", "r3", b"body")),
            done,
            "{input:?}"
        );
    }
}

/// Guards against outcomes and claims that are never dropped, and against outcomes and
/// running claims that are dropped too early.
#[test]
fn retention_is_bounded() {
    let mut replicas = Replicas::new();
    let submitted = command("c", None, import(&["a"]));
    let accepted = replicas.submit(&submitted);
    let (running, done) = (
        begin("running", "r1", b"body"),
        begin("done", "r2", b"body"),
    );
    replicas.begin(&running);
    replicas.begin(&done);
    replicas.apply(finish(&done, claim::Outcome::Answered(response("ok"))));
    let advance = |replicas: &mut Replicas, at: Span| {
        replicas.at = Time::ZERO + at;
        replicas.apply(Input::Leave(named("nobody")));
    };
    advance(&mut replicas, claim::RETENTION.minus(Span::from_millis(1)));
    assert_eq!(replicas.machine.claims().len(), 2);
    advance(&mut replicas, claim::RETENTION);
    assert_eq!(replicas.machine.claims().len(), 1);
    advance(&mut replicas, OUTCOME_RETENTION.minus(Span::from_millis(1)));
    assert_eq!(replicas.submit(&submitted), accepted);
    assert_eq!(
        replicas.begin(&begin("running", "r3", b"body")),
        Decision::InProgress
    );
    advance(&mut replicas, OUTCOME_RETENTION);
    assert_eq!(replicas.machine.outcome(&submitted.id), None);
}

/// Guards against two suspect requests with the same fingerprint that run at the same time,
/// and against a permit that never expires after its holder is lost.
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
    let mut replicas = Replicas::new();
    let cases = [
        (0, acquire("r1", 5), Output::Permit(true)),
        (1, acquire("r2", 5), Output::Permit(false)),
        (2, acquire("r1", 5), Output::Permit(true)),
        // A repeated request with the same idempotency key has the same id on another instance.
        (2, acquire_at("entry-2", "r1", 5), Output::Permit(false)),
        (2, release_at("entry-2", "r1"), Output::Applied),
        (2, acquire("r2", 5), Output::Permit(false)),
        (3, release("r2"), Output::Applied),
        (4, acquire("r2", 5), Output::Permit(false)),
        // The permit expires at the time of the first grant, although it was requested again.
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
        replicas.at = Time::ZERO + Span::from_secs(secs);
        assert_eq!(
            replicas.apply(input.clone()),
            expected,
            "at {secs} s: {input:?}"
        );
    }
}

/// Guards against a leader whose clock is behind and moves log time back.
#[test]
fn time_of_the_log_never_goes_back() {
    let mut replicas = Replicas::new();
    replicas.at = Time::from_millis(1_000);
    replicas.apply(Input::Leave(named("nobody")));
    replicas.at = Time::from_millis(10);
    replicas.apply(Input::Leave(named("nobody")));
    assert_eq!(replicas.machine.now(), Time::from_millis(1_000));
}
