//! What a request costs in slots, bills and claims, and what it leaves in memory.

use masticlock::{peer::wire, rpc};
use masticlock_core::{
    answer, claim,
    ledger::{Action, Bill, Part, PendingBills, Witness},
    limit::{Quota, Share},
    name,
    slot::{Acquire, Holder, Lease, Report, Table, Target},
    time::{Span, Time},
};
use serde::Serialize;

use super::{
    meter::{self, ENVELOPE, Line},
    world,
};

/// Engines of one owner at which slots are measured.
const OWNED: [u32; 2] = [3, 24];
/// Control replicas at which bills are measured.
const REPLICAS: [u32; 2] = [3, 7];
/// Sizes at which memory is measured.
const HELD: [u32; 2] = [20_000, 60_000];
/// Bytes of a stored answer.
const ANSWER_BYTES: usize = 2_000;

/// Slopes of requests.
#[derive(Clone, Copy, Debug)]
pub struct Slopes {
    /// Bytes of an announcement and its answer.
    pub announce_bytes: f64,
    /// Processor microseconds of an announcement at the owner.
    pub announce_micros: f64,
    /// Processor microseconds of a slot at its owner without a call, by engines of the owner.
    pub local_micros: Line,
    /// Processor microseconds of a slot's messages at both sides together.
    pub remote_micros: f64,
    /// Bytes of a slot from another owner: request, grant, release and their answers.
    pub remote_bytes: f64,
    /// Bytes of one renewal and its answer.
    pub renew_bytes: f64,
    /// Bytes of the witness's messages per request, by replicas.
    pub witness_bytes: f64,
    /// Bytes of the messages to control per request, by replicas.
    pub bill_bytes: Line,
    /// Messages about bills per request with their answers, by replicas.
    pub bill_messages: Line,
    /// Processor microseconds of bills at the entry instance per request, by replicas.
    pub bill_micros: Line,
    /// Bytes between entry instance and control per claimed call.
    pub claim_bytes: f64,
}

fn request(at: u32) -> name::Request {
    world::name("request-0123456789abcdef", at)
}

fn ask(at: u32) -> Acquire {
    Acquire {
        request: request(at),
        account: world::name("account", at % 10),
        fingerprint: Some(world::fingerprint(at)),
        target: Target::Version(world::version(0)),
        avoid: Vec::new(),
        wait: Span::from_secs(2),
        hold: None,
    }
}

fn bill(at: u32, answer_tokens: u64) -> Bill {
    Bill {
        account: world::name("account", at % 10),
        request: request(at),
        parts: vec![Part {
            version: Some(world::version(0)),
            prompt_tokens: 180,
            answer_tokens,
            cost: 1_000 + 3 * answer_tokens,
        }],
    }
}

fn me() -> name::Instance {
    world::name("entry", 0)
}

/// Returns a table that owns a number of engines and may grant slots on them.
fn table(engines: u32) -> (Table, Time) {
    let mut table = Table::new(me(), 1);
    let mut now = Time::ZERO + Span::from_secs(1);
    for at in 0..engines {
        let mut engine = world::engine(at);
        engine.versions = vec![world::version(0)];
        engine.token = Some(
            table
                .announced(&engine, false, now)
                .expect("an answer")
                .token,
        );
        now += Span::from_millis(1);
        table.announced(&engine, false, now).expect("an answer");
    }
    (table, now)
}

fn slot_micros(engines: u32) -> f64 {
    let (mut table, now) = table(engines);
    let ask = ask(0);
    let holder = me();
    meter::cpu(|| {
        let lease = table.acquire(&ask, &holder, now).expect("a free slot");
        let report = Report::Completed { first_ms: 300 };
        table.release(&lease.upstream, lease.id, report, now);
    })
}

fn lease() -> Lease {
    let (mut table, now) = table(1);
    table.acquire(&ask(0), &me(), now).expect("a free slot")
}

/// Returns the bytes of a call with its answer.
fn call<A, B>(params: &A, answer: &B) -> f64
where
    A: Serialize,
    B: Serialize,
{
    meter::json(params) + meter::json(answer) + 2.0 * ENVELOPE
}

fn slot(lease: &Lease) -> wire::Slot {
    wire::Slot {
        upstream: lease.upstream.clone(),
        id: lease.id,
    }
}

/// Returns the parameters and the answer of the calls for a remote slot.
fn slot_calls() -> (wire::Acquire, wire::Acquired, wire::Release) {
    let lease = lease();
    let release = wire::Release {
        slot: slot(&lease),
        report: Report::Completed { first_ms: 300 },
    };
    let acquire = wire::Acquire {
        ask: ask(0),
        holder: me(),
    };
    (acquire, wire::Acquired::Granted(lease), release)
}

fn remote_bytes() -> f64 {
    let (acquire, acquired, release) = slot_calls();
    call(&acquire, &acquired) + call(&release, &wire::Nothing {})
}

fn remote_micros() -> f64 {
    let (acquire, acquired, release) = slot_calls();
    let texts = [
        serde_json::to_string(&acquire),
        serde_json::to_string(&acquired),
        serde_json::to_string(&release),
    ]
    .map(|text| text.expect("calls serialize"));
    meter::cpu(|| {
        let written = meter::json(&acquire) + meter::json(&acquired) + meter::json(&release);
        let acquire: wire::Acquire = serde_json::from_str(&texts[0]).expect("a call");
        let acquired: wire::Acquired = serde_json::from_str(&texts[1]).expect("an answer");
        let release: wire::Release = serde_json::from_str(&texts[2]).expect("a call");
        (written, acquire, acquired, release)
    })
}

fn renew_bytes() -> f64 {
    let renew = wire::Renew {
        slots: vec![slot(&lease())],
    };
    call(&renew, &[masticlock_core::slot::Renewal::Renewed])
}

/// Messages and bytes of one request's bill.
#[derive(Clone, Copy, Default)]
struct Traffic {
    messages: f64,
    witness: f64,
    control: f64,
}

impl Traffic {
    fn add(&mut self, action: &Action) {
        self.messages += 2.0;
        match action {
            Action::Open { bills, .. } => {
                let open = wire::Open {
                    origin: me(),
                    boot: 1_790_000_000_000,
                    bills: bills.clone(),
                };
                self.witness += call(&open, &wire::Nothing {});
            }
            Action::Close { keys, .. } => {
                let close = wire::Close { keys: keys.clone() };
                self.witness += call(&close, &wire::Nothing {});
            }
            Action::Put { bills, .. } => {
                let put = rpc::Bills {
                    bills: bills.clone(),
                };
                self.control += call(&put, &wire::Nothing {});
            }
        }
    }
}

/// Takes one request through `PendingBills` and returns its messages.
fn settle(pending: &mut PendingBills, replicas: &[String], at: u32) -> Traffic {
    let witness: name::Instance = world::name("entry", 1);
    let mut traffic = Traffic::default();
    let mut send = |actions: Vec<Action>| actions.iter().for_each(|a| traffic.add(a));
    send(pending.open(bill(at, 0), Some(witness.clone())));
    pending.acknowledge_open(&witness, &[bill(at, 0)], Time::ZERO);
    let last = bill(at, 210);
    send(pending.settle(last.clone()));
    pending.acknowledge_open(&witness, std::slice::from_ref(&last), Time::ZERO);
    for replica in replicas {
        send(pending.acknowledge_put(replica, std::slice::from_ref(&last)));
    }
    pending.acknowledge_close(&witness, &[last.key()]);
    traffic
}

fn bills(replicas: u32) -> (Traffic, f64) {
    let replicas: Vec<_> = (0..replicas).map(|at| world::address(9_000 + at)).collect();
    let mut pending = PendingBills::new(replicas.clone());
    let traffic = settle(&mut pending, &replicas, 0);
    let mut at = 0;
    let micros = meter::cpu(|| {
        at += 1;
        settle(&mut pending, &replicas, at).messages
    });
    assert_eq!(pending.totals().open, 0, "all bills are settled");
    (traffic, micros)
}

fn claim_bytes() -> f64 {
    let key = claim::Key {
        account: world::name("account", 0),
        key: "booking-00000000-0123456789abcdef".to_owned(),
    };
    let begin = claim::Begin {
        key: key.clone(),
        fingerprint: world::fingerprint(0),
        holder: request(0),
        instance: me(),
    };
    let finish = claim::Finish {
        key,
        holder: request(0),
        end: claim::Outcome::Answered(claim::Response {
            status: 200,
            content_type: "application/json".to_owned(),
            body: vec![b'x'; 200],
        }),
    };
    call(&begin, &claim::Decision::Granted) + call(&finish, &wire::Nothing {})
}

/// Measures the memory of open requests: bill, record at the witness and held slot.
pub fn open_memory() -> Line {
    let state = (
        PendingBills::new(Vec::new()),
        Witness::default(),
        Holder::default(),
    );
    let granted = lease();
    meter::memory(
        "open requests",
        HELD,
        state,
        |(pending, witness, holder), at| {
            pending.open(bill(at, 0), Some(world::name("entry", 1)));
            witness.open(&me(), 1, vec![bill(at, 0)], Time::ZERO);
            let lease = Lease {
                id: u64::from(at),
                ..granted.clone()
            };
            assert!(holder.granted(lease, None, Time::ZERO, Time::ZERO));
        },
    )
}

/// Measures the memory of stored answers.
pub fn answer_memory() -> Line {
    let store = answer::Store::new(me(), usize::MAX);
    meter::memory("stored answers", HELD, store, |store, at| {
        let key = claim::Key {
            account: world::name("account", at % 10),
            key: format!("key-{at:08}-0123456789abcdef"),
        };
        store.record(key.clone(), world::fingerprint(at), Time::ZERO);
        store.append(&key, vec![b'x'; ANSWER_BYTES], true, Time::ZERO);
    })
}

/// Measures the memory of accounts' shares of their limits.
pub fn account_memory() -> Line {
    let amount = Quota {
        rate: 1_000,
        concurrency: 10,
    };
    meter::memory("accounts", HELD, Vec::new(), |shares, at| {
        let account: name::Account = world::name("account", at);
        shares.push((account, Share::new(amount, Time::ZERO)));
    })
}

/// Measures the memory of the slot table.
pub fn table_memory() -> Line {
    let table = Table::new(me(), 1);
    meter::memory(
        "slot table, by engines",
        [2_000, 6_000],
        table,
        |table, at| {
            let engine = world::engine(at);
            table
                .announced(&engine, false, Time::ZERO)
                .expect("an answer");
        },
    )
}

/// Returns bytes and microseconds of an announcement.
fn announcement() -> (f64, f64) {
    let (mut table, now) = table(3);
    let mut engine = world::engine(0);
    let answer = table.announced(&engine, false, now).expect("an answer");
    engine.token = Some(answer.token.clone());
    let text = serde_json::to_string(&engine).expect("announcements serialize");
    let micros = meter::cpu(|| {
        let engine = serde_json::from_str(&text).expect("an announcement");
        meter::json(&table.announced(&engine, false, now).expect("an answer"))
    });
    (call(&engine, &answer), micros)
}

/// Measures the slopes of requests.
pub fn measure() -> Slopes {
    let (announce_bytes, announce_micros) = announcement();
    let measured = REPLICAS.map(bills);
    let line = |what: &str, unit: &str, pick: &dyn Fn(&(Traffic, f64)) -> f64| {
        let [small, large] = [0, 1].map(|n| (REPLICAS[n], pick(&measured[n])));
        Line::through(what, unit, small, large)
    };
    let slopes = Slopes {
        announce_bytes,
        announce_micros,
        local_micros: Line::measure("slot at its owner, by engines", "us", OWNED, slot_micros),
        remote_micros: remote_micros(),
        remote_bytes: remote_bytes(),
        renew_bytes: renew_bytes(),
        witness_bytes: measured[0].0.witness,
        bill_bytes: line("bill to control, by replicas", "B", &|m| m.0.control),
        bill_messages: line("bill, by replicas", "messages", &|m| m.0.messages),
        bill_micros: line("bill at the entry instance, by replicas", "us", &|m| m.1),
        claim_bytes: claim_bytes(),
    };
    println!(
        "per announcement: {announce_bytes:.0} B, {announce_micros:.2} us; per remote slot: {:.0} B, {:.2} us",
        slopes.remote_bytes, slopes.remote_micros
    );
    println!(
        "per renewal: {:.0} B; per request at the witness: {:.0} B; per claimed call: {:.0} B",
        slopes.renew_bytes, slopes.witness_bytes, slopes.claim_bytes
    );
    slopes
}
