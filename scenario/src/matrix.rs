//! The fault matrix: every step of the mechanisms against every fault.

use std::{
    fmt::Write as _,
    sync::atomic::{AtomicUsize, Ordering},
    thread,
};

use masticlock_core::time::Time;

use crate::{
    brittle, fan_out, invariant, limit,
    run::{Placement, run_with},
    script::Script,
    syntax,
    world::{
        Mutation,
        step::{Column, Step},
    },
};

/// What every cell runs around its step.
const BASE: &str = include_str!("matrix.scenario");
/// Time of the script at which steps begin to count.
const FROM: Time = Time::from_millis(900);
/// Threads that run cells.
const THREADS: usize = 3;

/// What a row is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject {
    /// A streamed request of a model.
    Stream,
    /// A call that must not be repeated.
    Call,
    /// Two racing operators' changes with the same expected revision.
    Change,
    /// The start of a rollout.
    Start,
    /// The next stage of a rollout.
    Advance,
    /// The rollback of a rollout.
    RollBack,
    /// The repair of a replica that lost its data.
    Repair,
    /// A failure domain is taken out.
    TakeOut,
    /// A failure domain is returned.
    Return,
    /// A planned stop of an entry instance.
    Stop,
}

impl Subject {
    const fn name(self) -> &'static str {
        match self {
            Self::Stream => "stream",
            Self::Call => "call",
            Self::Change => "change",
            Self::Start => "rollout start",
            Self::Advance => "rollout stage",
            Self::RollBack => "rollout rollback",
            Self::Repair => "replica repair",
            Self::TakeOut => "take-out",
            Self::Return => "return",
            Self::Stop => "graceful stop",
        }
    }

    /// Returns the statements that begin the subject at 1 s.
    const fn statements(self) -> &'static str {
        match self {
            Self::Stream | Self::Call => "",
            Self::Change => {
                "at 1s operator ana withdraws advisor-14b@2 through control-1 expects 0 id ana-1\n\
                 at 1s operator ben withdraws roster-8b@2 through control-2 expects 0 id ben-1\n"
            }
            Self::Start => {
                "at 1s operator ana rolls out advisor-14b@3 against advisor-14b@2 through control-1\n"
            }
            Self::Advance => {
                "at 300ms operator ana rolls out advisor-14b@3 against advisor-14b@2 through control-1\n\
                 at 1s operator ana advances advisor-14b@3 from 0 through control-2\n\
                 at 2s operator ana advances advisor-14b@3 from 1 through control-3\n"
            }
            Self::RollBack => {
                "at 50ms operator ana rolls out advisor-14b@3 against advisor-14b@2 through control-1\n\
                 at 1s operator ana rolls back advisor-14b@3 through control-2\n"
            }
            Self::Repair => "at 1s restart control-2 without data\n",
            Self::TakeOut => "at 1s operator ana takes out carnarvon through control-1\n",
            Self::Return => {
                "at 200ms operator ana takes out carnarvon through control-1\n\
                 at 1s operator ana returns carnarvon through control-2\n"
            }
            Self::Stop => "at 1250ms stop carnarvon-1\nat 14s restart carnarvon-1\n",
        }
    }

    const fn label(self) -> Option<&'static str> {
        match self {
            Self::Stream => Some("stream"),
            Self::Call => Some("call"),
            _ => None,
        }
    }

    const fn steps(self) -> &'static [Step] {
        match self {
            Self::Stream => &[
                Step::Admitted,
                Step::Chosen,
                Step::Lent,
                Step::Sent,
                Step::FirstByte,
                Step::MidStream,
                Step::Answered,
                Step::Billed,
            ],
            Self::Call => &[
                Step::Admitted,
                Step::Chosen,
                Step::Lent,
                Step::Claimed,
                Step::Sent,
                Step::FirstByte,
                Step::Answered,
                Step::Recorded,
                Step::Billed,
            ],
            Self::Change => &[
                Step::CommandSent,
                Step::Stored,
                Step::Replicated,
                Step::Committed,
                Step::Replied,
                Step::Delivered,
                Step::Applied,
                Step::Confirmed,
            ],
            Self::Start | Self::Advance | Self::RollBack => {
                &[Step::CommandSent, Step::Committed, Step::Applied]
            }
            Self::TakeOut | Self::Return => &[
                Step::CommandSent,
                Step::Committed,
                Step::Delivered,
                Step::Applied,
            ],
            Self::Repair => &[
                Step::Learner,
                Step::Installed,
                Step::Removed,
                Step::Promoted,
            ],
            Self::Stop => &[
                Step::Stopping,
                Step::HandedOver,
                Step::Drained,
                Step::Stopped,
            ],
        }
    }
}

/// All subjects in the order of the table.
const SUBJECTS: [Subject; 10] = [
    Subject::Stream,
    Subject::Call,
    Subject::Change,
    Subject::Start,
    Subject::Advance,
    Subject::RollBack,
    Subject::Repair,
    Subject::TakeOut,
    Subject::Return,
    Subject::Stop,
];

/// A row of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Row {
    /// What it is about.
    pub subject: Subject,
    /// The step.
    pub step: Step,
}

/// What a cell showed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The fault struck and all invariants hold.
    Held,
    /// The fault struck and these invariants are broken.
    Broken(Vec<invariant::Violation>),
    /// The cell can't occur.
    Impossible(&'static str),
    /// The step or the message of the fault was not reached, which is a fault of the matrix.
    Missed,
}

/// A cell with its verdict.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cell {
    /// The row.
    pub row: Row,
    /// The fault.
    pub column: Column,
    /// What it showed.
    pub verdict: Verdict,
}

/// Returns all rows.
#[must_use]
pub fn rows() -> Vec<Row> {
    let rows = SUBJECTS.iter().flat_map(|subject| {
        let steps = subject.steps().iter();
        steps.map(|step| Row {
            subject: *subject,
            step: *step,
        })
    });
    rows.collect()
}

const INTRODUCTION: &str = "# Fault matrix

This page is the output of `cargo run --release -p masticlock-scenario --bin fault-matrix`. A test compares it with
a new run.

Each cell runs the decision code of all processes on virtual time with seed 21: three control replicas in three
failure domains, two entry instances in each of two failure domains, an engine and a service in each of the two, and
the requests of `scenario/src/matrix.scenario`. The fault strikes when the step of the column is reached for the first
time. After the end, all twelve invariants are checked by name: `allowed`, `withdrawn`, `session`, `billed`, `cold`,
`taken-out`, `whole`, `not-run`, `at-most-once`, `leaving`, `graceful` and `in-force`.

\"holds\" means that the fault struck and no invariant is broken. Names in bold are broken invariants.

- A crashed process restarts after 1.5 s, an upstream after 2 s, a process with a full disk after 2 s.
- A partition separates the failure domain of the step from all others for 12 s. In one direction, it hears nothing.
- A late message comes after 4.5 s. A lost part of a stream silences its connection.
- \"crashing request\" sends a request that crashes each upstream that runs it; its caller sends it four times.
- \"second fault\" loses a message and lets the leader crash at the next step of any kind.
- A limit counts for an instance from when it has contact with an acting leader.
- A call of a plain service counts against the upstream's limit until the call's deadline, as its slot does.

";

const DELIBERATE: &str = "## Deliberate faults

Each fault is switched on in the wiring of the world and run over the rows of its mechanism. The lists name the cells
that it breaks and that hold without it.

";

const ORDERED: &str = "one connection carries the work and its answer in order, without repeats";
const LAST: &str = "no message of the request follows this step";

/// Returns why a cell can't occur.
const fn impossible(row: Row, column: Column) -> Option<&'static str> {
    let on_stream = matches!(row.step, Step::Sent | Step::FirstByte | Step::MidStream)
        && matches!(row.subject, Subject::Stream | Subject::Call);
    match column {
        Column::Doubled | Column::Reordered if on_stream => Some(ORDERED),
        _ => None,
    }
}

/// Returns the script of a row.
///
/// # Panics
///
/// Never: a test parses the script of every row.
#[must_use]
pub fn script(row: Row) -> Script {
    let text = format!("{BASE}{}", row.subject.statements());
    syntax::parse(&text).expect("the scripts of the matrix are valid")
}

/// Runs a cell.
///
/// # Panics
///
/// Never: the scripts of the matrix name known parts only.
#[must_use]
pub fn run(row: Row, column: Column, mutation: Option<Mutation>) -> Verdict {
    if let Some(reason) = impossible(row, column) {
        return Verdict::Impossible(reason);
    }
    let placement = Placement {
        from: FROM,
        step: row.step,
        label: row.subject.label(),
        column,
    };
    let report = run_with(&script(row), Some(&placement), mutation)
        .expect("the scripts of the matrix name known parts");
    if report.struck == 0 {
        return Verdict::Missed;
    }
    if !report.broken.is_empty() {
        return Verdict::Broken(report.broken);
    }
    if report.pending {
        return Verdict::Impossible(LAST);
    }
    Verdict::Held
}

/// Returns the subjects whose rows a deliberate fault is run over.
const fn subjects_of(mutation: Mutation) -> &'static [Subject] {
    match mutation {
        Mutation::ClaimAfterSending => &[Subject::Call],
        Mutation::NoRevisionCheck => &[Subject::Change],
        Mutation::NoTakeoverWait | Mutation::BillWithoutKey => &[Subject::Stream, Subject::Call],
        Mutation::ColdLimitPerInstance => &[Subject::Stream],
    }
}

/// Runs all cells, in the order of the table.
fn all() -> Vec<Cell> {
    cells(&SUBJECTS, None)
}

/// Runs the cells of some subjects with a deliberate fault.
fn cells(subjects: &[Subject], mutation: Option<Mutation>) -> Vec<Cell> {
    let rows = rows().into_iter().filter(|r| subjects.contains(&r.subject));
    let places: Vec<_> = rows
        .flat_map(|row| Column::ALL.iter().map(move |column| (row, *column)))
        .collect();
    let next = AtomicUsize::new(0);
    let work = || {
        let mut done = Vec::new();
        while let Some(&(row, column)) = places.get(next.fetch_add(1, Ordering::Relaxed)) {
            done.push(Cell {
                row,
                column,
                verdict: run(row, column, mutation),
            });
        }
        done
    };
    let mut cells: Vec<_> = thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|_| scope.spawn(work)).collect();
        let done = threads.into_iter();
        done.flat_map(|t| t.join().expect("a cell panicked"))
            .collect()
    });
    let place = |cell: &Cell| {
        let found = places.iter().position(|p| *p == (cell.row, cell.column));
        found.unwrap_or(places.len())
    };
    cells.sort_by_key(place);
    cells
}

/// Returns the cells that a deliberate fault breaks and that hold without it.
fn caught(mutation: Mutation, without: &[Cell]) -> Vec<Cell> {
    let holds = |cell: &Cell| {
        let same = |c: &&Cell| c.row == cell.row && c.column == cell.column;
        let other = without.iter().find(same);
        other.is_some_and(|c| !matches!(c.verdict, Verdict::Broken(_)))
    };
    let mut cells = cells(subjects_of(mutation), Some(mutation));
    cells.retain(|cell| matches!(cell.verdict, Verdict::Broken(_)) && holds(cell));
    cells
}

fn names(violations: &[invariant::Violation]) -> String {
    let names: Vec<_> = violations.iter().map(|v| v.name).collect();
    names.join(", ")
}

/// The cells without and with the deliberate faults.
#[derive(Clone, Debug)]
pub struct Matrix {
    /// All cells without a deliberate fault.
    pub cells: Vec<Cell>,
    /// The cells that each deliberate fault breaks.
    pub caught: Vec<(Mutation, Vec<Cell>)>,
}

impl Matrix {
    /// Runs everything.
    #[must_use]
    pub fn run() -> Self {
        let cells = all();
        let caught = Mutation::ALL.map(|mutation| (mutation, caught(mutation, &cells)));
        Self {
            caught: caught.to_vec(),
            cells,
        }
    }
}

/// Returns the page with the tables, their counts and the deliberate faults.
#[must_use]
pub fn page(matrix: &Matrix) -> String {
    let cells = &matrix.cells;
    let mut out = INTRODUCTION.to_owned();
    for subject in SUBJECTS {
        table(&mut out, subject, cells);
    }
    counts(&mut out, cells);
    out.push_str(&limit::page());
    out.push_str(&brittle::page());
    out.push_str(&fan_out::page());
    out.push_str(DELIBERATE);
    for (mutation, caught) in &matrix.caught {
        deliberate(&mut out, *mutation, caught, cells);
    }
    out
}

/// Lists the cells that a deliberate fault breaks, with one line for each row.
fn deliberate(out: &mut String, mutation: Mutation, caught: &[Cell], without: &[Cell]) {
    let subjects: Vec<_> = subjects_of(mutation).iter().map(|s| s.name()).collect();
    let run = without
        .iter()
        .filter(|c| subjects_of(mutation).contains(&c.row.subject))
        .count();
    // Writing to a string can't fail.
    let _ = writeln!(
        out,
        "### {}\n\nBreaks {} of {run} cells of {}:\n",
        mutation.name(),
        caught.len(),
        subjects.join(" and ")
    );
    for row in rows() {
        let cells = caught.iter().filter(|c| c.row == row);
        let list: Vec<_> = cells
            .filter_map(|c| match &c.verdict {
                Verdict::Broken(v) => Some(format!("{} (`{}`)", c.column.name(), names(v))),
                _ => None,
            })
            .collect();
        if !list.is_empty() {
            let (subject, step) = (row.subject.name(), row.step.name());
            let _ = writeln!(out, "- {subject} / {step}: {}", list.join(", "));
        }
    }
    out.push('\n');
}

fn table(out: &mut String, subject: Subject, cells: &[Cell]) {
    let heads: Vec<_> = subject.steps().iter().map(|s| s.name()).collect();
    // Writing to a string can't fail.
    let _ = writeln!(out, "### {}\n", subject.name());
    let _ = writeln!(out, "| fault | {} |", heads.join(" | "));
    let _ = writeln!(out, "|---|{}", "---|".repeat(heads.len()));
    for column in Column::ALL {
        let marks: Vec<_> = cells
            .iter()
            .filter(|c| c.row.subject == subject && c.column == *column)
            .map(|c| match &c.verdict {
                Verdict::Held => "holds".to_owned(),
                Verdict::Broken(violations) => format!("**{}**", names(violations)),
                Verdict::Impossible(ORDERED) => "n/a 1".to_owned(),
                Verdict::Impossible(_) => "n/a 2".to_owned(),
                Verdict::Missed => "**missed**".to_owned(),
            })
            .collect();
        let _ = writeln!(out, "| {} | {} |", column.name(), marks.join(" | "));
    }
    out.push('\n');
}

fn counts(out: &mut String, cells: &[Cell]) {
    let count = |test: fn(&Verdict) -> bool| cells.iter().filter(|c| test(&c.verdict)).count();
    let held = count(|v| matches!(v, Verdict::Held));
    let broken = count(|v| matches!(v, Verdict::Broken(_)));
    let impossible = count(|v| matches!(v, Verdict::Impossible(_)));
    let missed = count(|v| matches!(v, Verdict::Missed));
    let _ = writeln!(
        out,
        "## Counts\n\n| cells | hold | broken | can't occur | missed |\n|---|---|---|---|---|\n\
         | {} | {held} | {broken} | {impossible} | {missed} |\n\n\
         - n/a 1: {ORDERED}.\n- n/a 2: {LAST}.\n",
        cells.len()
    );
    for cell in cells {
        if let Verdict::Broken(violations) = &cell.verdict {
            for violation in violations {
                let _ = writeln!(
                    out,
                    "- {} / {} / {}: `{}`: {}",
                    cell.row.subject.name(),
                    cell.row.step.name(),
                    cell.column.name(),
                    violation.name,
                    violation.seen
                );
            }
        }
    }
}
