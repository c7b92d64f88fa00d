//! The language: one statement a line, `#` starts a comment.
//!
//! ```text
//! seed 7
//! control c1 in onslow
//! entry e1 in onslow
//! engine a1 in onslow serves advisor-3b@4 warm 4 cold 1
//! service b1 in onslow offers booking warm 4
//! at 1s send plan-1 season-plan as crown-dispatch through e1
//! at 1s call book-1 booking POST /bookings as crown-dispatch through e1 key k1
//! at 2s operator ana takes out onslow through c1
//! at 4s expect no new work on onslow
//! at 9s expect book-1 ran once
//! ```

use masticlock_core::{
    name,
    time::{Span, Time},
};
use winnow::{
    ModalResult, Parser,
    ascii::{Uint, dec_uint, space1},
    combinator::{alt, cut_err, fail, opt, preceded, repeat, terminated},
    error::{ContextError, StrContext, StrContextValue},
    token::take_while,
};

use crate::script::{Action, Expect, Order, Part, Request, Role, Script, Step, Work};

/// A fault in a script.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}, column {column}: {problem}")]
pub struct Error {
    /// Line from 1.
    pub line: usize,
    /// Column from 1.
    pub column: usize,
    /// What was found and what is accepted.
    pub problem: String,
}

enum Statement {
    Seed(u64),
    Deployment(String),
    Part(Part),
    Steps(Vec<(Time, Action)>),
}

/// Parses a script.
///
/// # Errors
///
/// Returns the place of the first fault and what is accepted there.
pub fn parse(text: &str) -> Result<Script, Error> {
    let mut script = Script::default();
    for (at, full) in text.lines().enumerate() {
        let line = full.split('#').next().unwrap_or_default().trim_end();
        if line.trim_start().is_empty() {
            continue;
        }
        let indent = line.len() - line.trim_start().len();
        let statement = statement.parse(line.trim_start()).map_err(|e| Error {
            line: at + 1,
            column: indent + e.offset() + 1,
            problem: problem(&line.trim_start()[e.offset()..], e.inner()),
        })?;
        match statement {
            Statement::Seed(seed) => script.seed = seed,
            Statement::Deployment(name) => script.deployment = Some(name),
            Statement::Part(part) => script.add(part).map_err(|part| Error {
                line: at + 1,
                column: 1,
                problem: format!("{} is declared twice", part.name),
            })?,
            Statement::Steps(steps) => {
                script
                    .steps
                    .extend(steps.into_iter().map(|(time, action)| Step {
                        line: at + 1,
                        at: time,
                        action,
                    }));
            }
        }
    }
    script.steps.sort_by_key(|step| step.at);
    Ok(script)
}

fn problem(rest: &str, error: &ContextError) -> String {
    let found = rest
        .split_whitespace()
        .next()
        .unwrap_or("the end of the line");
    let context = error.to_string();
    if context.is_empty() {
        return format!("unexpected {found}");
    }
    format!("found {found}; {}", context.replace('\n', ", "))
}

fn expected(what: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(what))
}

fn word<'s>(input: &mut &'s str) -> ModalResult<&'s str> {
    take_while(1.., |c: char| !c.is_whitespace())
        .context(expected("a word"))
        .parse_next(input)
}

/// A name that is checked by `TryFrom`, followed by a space or the end.
fn named<T>(input: &mut &str) -> ModalResult<T>
where
    T: for<'a> TryFrom<&'a str>,
{
    word.verify_map(|text| T::try_from(text).ok())
        .context(expected("a name of a-z, 0-9 and . _ - @ :"))
        .parse_next(input)
}

fn text(input: &mut &str) -> ModalResult<String> {
    word.map(str::to_owned).parse_next(input)
}

fn number<N>(input: &mut &str) -> ModalResult<N>
where
    N: Uint,
{
    dec_uint.context(expected("a number")).parse_next(input)
}

/// A keyword in front of a value.
fn after<'s, O, P>(
    keyword: &'static str,
    value: P,
) -> impl Parser<&'s str, O, winnow::error::ErrMode<ContextError>>
where
    P: Parser<&'s str, O, winnow::error::ErrMode<ContextError>>,
{
    let keyword = (keyword, space1).context(StrContext::Expected(StrContextValue::StringLiteral(
        keyword,
    )));
    preceded(keyword, value)
}

/// The same, with a space before it, as the rest of a statement.
fn then<'s, O, P>(
    keyword: &'static str,
    value: P,
) -> impl Parser<&'s str, O, winnow::error::ErrMode<ContextError>>
where
    P: Parser<&'s str, O, winnow::error::ErrMode<ContextError>>,
{
    preceded(space1, after(keyword, value))
}

fn statement(input: &mut &str) -> ModalResult<Statement> {
    alt((
        after("seed", cut_err(number)).map(Statement::Seed),
        after("deployment", cut_err(text)).map(Statement::Deployment),
        after("control", cut_err(plain(Role::Control))).map(Statement::Part),
        after("entry", cut_err(plain(Role::Entry))).map(Statement::Part),
        after("engine", cut_err(engine)).map(Statement::Part),
        after("service", cut_err(service)).map(Statement::Part),
        after(
            "at",
            cut_err((terminated(time, space1), opt(repeated), action)),
        )
        .map(|(at, repeated, action)| Statement::Steps(steps(at, repeated, &action))),
        fail.context(expected(
            "seed, deployment, control, entry, engine, service or at",
        )),
    ))
    .parse_next(input)
}

fn time(input: &mut &str) -> ModalResult<Time> {
    let amount: u64 = dec_uint
        .context(expected("a time such as 2s or 250ms"))
        .parse_next(input)?;
    let unit = alt(("ms".value(1), "s".value(1_000)))
        .context(expected("ms or s"))
        .parse_next(input)?;
    Ok(Time::ZERO + Span::from_millis(amount * unit))
}

/// The number of repeats of an action and the time between them.
fn repeated(input: &mut &str) -> ModalResult<(u64, Span)> {
    let (count, every) = (
        after("repeat", cut_err(number)),
        terminated(then("every", time), space1),
    )
        .parse_next(input)?;
    Ok((count, every.since(Time::ZERO)))
}

/// Repeats an action. Requests get the number of the repeat behind their labels.
fn steps(at: Time, repeated: Option<(u64, Span)>, action: &Action) -> Vec<(Time, Action)> {
    let Some((count, every)) = repeated else {
        return vec![(at, action.clone())];
    };
    let one = |number: u64| {
        let mut action = action.clone();
        if let Action::Send(request) = &mut action {
            request.label = format!("{}-{}", request.label, number + 1);
        }
        (at + every.times(number), action)
    };
    (0..count).map(one).collect()
}

fn plain<'s>(role: Role) -> impl Parser<&'s str, Part, winnow::error::ErrMode<ContextError>> {
    (text, then("in", named)).map(move |(name, domain)| Part {
        name,
        domain,
        role: role.clone(),
    })
}

fn engine(input: &mut &str) -> ModalResult<Part> {
    let (name, domain) = (text, then("in", named)).parse_next(input)?;
    let version = named::<name::Version>;
    let first = then("serves", version).parse_next(input)?;
    let mut serves: Vec<_> =
        repeat(0.., preceded((space1, "and", space1), version)).parse_next(input)?;
    let (warm, cold) = (then("warm", number), then("cold", number)).parse_next(input)?;
    serves.insert(0, first);
    let role = Role::Engine { serves, warm, cold };
    Ok(Part { name, domain, role })
}

fn service(input: &mut &str) -> ModalResult<Part> {
    let (name, domain) = (text, then("in", named)).parse_next(input)?;
    let (offers, warm) = (then("offers", named), then("warm", number)).parse_next(input)?;
    let role = Role::Service { offers, warm };
    Ok(Part { name, domain, role })
}

fn action(input: &mut &str) -> ModalResult<Action> {
    alt((
        after("send", cut_err(send)),
        after("call", cut_err(call)),
        after("operator", cut_err(operator)),
        after("expect", cut_err(expect)).map(Action::Expect),
        fault,
        fail.context(expected(
            "send, call, operator, crash, restart, stop, leave, cool, cut, silence, heal or expect",
        )),
    ))
    .parse_next(input)
}

fn fault(input: &mut &str) -> ModalResult<Action> {
    alt((
        after("crash", cut_err(text)).map(Action::Crash),
        after("restart", cut_err(restart)),
        after("stop", cut_err(text)).map(Action::Stop),
        after("leave", cut_err(text)).map(Action::Leave),
        after("cool", cut_err(text)).map(Action::Cool),
        after("cut", cut_err(cut)),
        after("silence", cut_err((text, then("and", text))))
            .map(|(from, to)| Action::Silence { from, to }),
        "heal".value(Action::Heal),
    ))
    .parse_next(input)
}

fn restart(input: &mut &str) -> ModalResult<Action> {
    let part = text.parse_next(input)?;
    let gone = opt((space1, "without", space1, "data")).parse_next(input)?;
    Ok(Action::Restart {
        part,
        without_data: gone.is_some(),
    })
}

fn cut(input: &mut &str) -> ModalResult<Action> {
    let from = text.parse_next(input)?;
    let both = preceded(space1, alt(("from".value(true), "to".value(false))))
        .context(expected("from (both directions) or to (one direction)"))
        .parse_next(input)?;
    let to = preceded(space1, text).parse_next(input)?;
    Ok(Action::Cut { from, to, both })
}

fn send(input: &mut &str) -> ModalResult<Action> {
    let (label, task) = (text, preceded(space1, named)).parse_next(input)?;
    request(input, label, Work::Task(task))
}

fn call(input: &mut &str) -> ModalResult<Action> {
    let label = text.parse_next(input)?;
    let (service, method, path) = (
        preceded(space1, named),
        preceded(space1, text),
        preceded(space1, text),
    )
        .parse_next(input)?;
    let work = Work::Call {
        service,
        method,
        path,
    };
    request(input, label, work)
}

fn request(input: &mut &str, label: String, work: Work) -> ModalResult<Action> {
    let (account, through, key, session, takes, crashes) = (
        then("as", named),
        then("through", text),
        opt(then("key", text)),
        opt(then("session", text)),
        opt(then("takes", time)),
        opt((space1, "crashes")),
    )
        .parse_next(input)?;
    Ok(Action::Send(Request {
        label,
        account,
        through,
        key,
        crashes: crashes.is_some(),
        work,
        session,
        takes: takes.map(|end| end.since(Time::ZERO)),
    }))
}

fn operator(input: &mut &str) -> ModalResult<Action> {
    let operator = text.parse_next(input)?;
    let order = preceded(space1, order).parse_next(input)?;
    let (through, expects, id) = (
        then("through", text),
        opt(then("expects", number)),
        opt(then("id", text)),
    )
        .parse_next(input)?;
    Ok(Action::Operator {
        operator,
        order,
        through,
        expects,
        id,
    })
}

fn order(input: &mut &str) -> ModalResult<Order> {
    alt((
        after("withdraws", cut_err(named)).map(Order::Withdraw),
        preceded(("takes", space1), after("out", cut_err(named))).map(Order::TakeOut),
        after("returns", cut_err(named)).map(Order::Return),
        preceded(
            ("rolls", space1),
            after("out", cut_err((named, then("against", named)))),
        )
        .map(|(version, baseline)| Order::RollOut { version, baseline }),
        after("advances", cut_err((named, then("from", number))))
            .map(|(version, from)| Order::Advance { version, from }),
        preceded(("rolls", space1), after("back", cut_err(named))).map(Order::RollBack),
        fail.context(expected(
            "withdraws, takes out, returns, rolls out, advances or rolls back",
        )),
    ))
    .parse_next(input)
}

fn expect(input: &mut &str) -> ModalResult<Expect> {
    alt((
        ("one", space1, "leader").value(Expect::OneLeader),
        ("in", space1, "force").value(Expect::InForce),
        preceded(
            ("no", space1, "new", space1, "work", space1),
            after("on", cut_err(text)),
        )
        .map(Expect::NoNewWork),
        "repaired".value(Expect::Repaired),
        (
            text,
            preceded(
                (space1, "ran", space1, "at", space1),
                after("most", cut_err(number)),
            ),
        )
            .map(|(label, times)| Expect::RanAtMost(label, times)),
        (terminated(text, space1), fate).map(|(label, fate)| fate(label)),
    ))
    .parse_next(input)
}

fn fate(input: &mut &str) -> ModalResult<fn(String) -> Expect> {
    alt((
        "answered".value(Expect::Answered as fn(String) -> Expect),
        ("not", space1, "run").value(Expect::NotRun as fn(String) -> Expect),
        ("ran", space1, "once").value(Expect::RanOnce as fn(String) -> Expect),
        ("billed", space1, "once").value(Expect::BilledOnce as fn(String) -> Expect),
        "accepted".value(Expect::Accepted as fn(String) -> Expect),
        "conflicts".value(Expect::Conflict as fn(String) -> Expect),
        fail.context(expected(
            "answered, not run, ran once, billed once, accepted or conflicts",
        )),
    ))
    .parse_next(input)
}
