//! Tests of the scenario language.

use masticlock_scenario::{
    script::{Action, Expect, Order, Role, Work},
    syntax::parse,
};

const SCRIPT: &str = "\
# a comment
seed 7
deployment pindan-crown
control c1 in onslow
engine a1 in onslow serves m@1 and m@2 warm 4 cold 1
service b1 in onslow offers booking warm 4   # a comment behind a statement

at 9s expect book-1 ran once
at 1s send plan-1 season-plan as crown-dispatch through e1 crashes
at 1500ms call book-1 booking POST /bookings as crown-dispatch through e1 key k1
at 2s operator ana takes out onslow through c1 expects 3 id x1
at 3s cut onslow to karratha
at 4s restart c1 without data
at 5s expect no new work on onslow
";

/// Guards against steps that run out of order or lose their options.
#[test]
fn all_statements_are_read() {
    let script = parse(SCRIPT).unwrap();
    assert_eq!(
        (script.seed, script.deployment.as_deref()),
        (7, Some("pindan-crown"))
    );
    assert_eq!(script.parts.len(), 3);
    assert!(
        matches!(&script.parts[1].role, Role::Engine { serves, warm: 4, cold: 1 } if serves.len() == 2)
    );
    let actions: Vec<_> = script.steps.iter().map(|s| &s.action).collect();
    assert!(matches!(actions[0], Action::Send(r) if r.crashes && matches!(r.work, Work::Task(_))));
    assert!(matches!(actions[1], Action::Send(r) if r.key.as_deref() == Some("k1")));
    assert!(matches!(
        actions[2],
        Action::Operator {
            order: Order::TakeOut(_),
            expects: Some(3),
            id: Some(_),
            ..
        }
    ));
    assert!(matches!(actions[3], Action::Cut { both: false, .. }));
    assert!(matches!(
        actions[4],
        Action::Restart {
            without_data: true,
            ..
        }
    ));
    assert!(matches!(actions[5], Action::Expect(Expect::NoNewWork(_))));
    assert!(matches!(actions[6], Action::Expect(Expect::RanOnce(_))));
}

/// Guards against a misspelled statement that is passed over, and against
/// errors that don't say where it is and what is accepted.
#[test]
fn errors_name_line_column_and_choice() {
    let cases = [
        ("seed x", 1, 6, "expected a number"),
        ("\nat 1s explode a", 2, 7, "send, call, operator"),
        ("at 1 crash a", 1, 5, "ms or s"),
        ("at 1s expect a vanished", 1, 16, "ran once"),
        ("  colour red", 1, 3, "seed, deployment"),
        ("control c1 in a/b", 1, 15, "a name of"),
        ("control c in a\ncontrol c in a", 2, 1, "declared twice"),
        ("at 1s crash a b", 1, 14, "b"),
        ("at 1s operator ana dances through c", 1, 20, "withdraws"),
    ];
    for (text, line, column, problem) in cases {
        let error = parse(text).unwrap_err();
        assert_eq!(
            (error.line, error.column),
            (line, column),
            "{text:?}: {error}"
        );
        assert!(error.problem.contains(problem), "{text:?}: {error}");
    }
}
