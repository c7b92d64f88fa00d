//! The state machine of configuration, failure domains out of service and rollouts.

use std::sync::Arc;

use masticlock_core::{
    consensus::Payload,
    replicated::{Command, Eligibility, Phase, Rollout, State},
};

fn configure(revision: u64, text: &str) -> Command {
    Command::Configure {
        revision,
        content: Payload::from(text.as_bytes()),
    }
}

fn begin(target: &str) -> Command {
    Command::StartRollout(Rollout {
        service: "engines".into(),
        target: target.into(),
        began_ms: 1_000,
        duration_ms: 24_000,
        permille: 50,
        phase: Phase::InProgress,
    })
}

fn advance(target: &str, permille: u16, phase: Phase) -> Command {
    Command::AdvanceRollout {
        service: "engines".into(),
        target: target.into(),
        permille,
        phase,
    }
}

#[test]
fn the_highest_number_wins_and_its_content_stays() {
    let mut state = State::default();
    assert!(state.apply(configure(7, "seven")));
    assert!(!state.apply(configure(7, "other")), "the same number");
    assert!(!state.apply(configure(3, "older")));
    assert_eq!(
        (state.revision, state.content.as_bytes()),
        (7, &b"seven"[..])
    );
    assert!(state.apply(configure(19, "newer")));
    assert_eq!(state.revision, 19);
}

#[test]
fn failure_domains_leave_and_return() {
    let mut state = State::default();
    assert!(state.apply(Command::TakeOut("b".into())));
    assert!(state.apply(Command::TakeOut("a".into())));
    assert!(!state.apply(Command::TakeOut("b".into())), "repeated order");
    assert!(state.is_taken_out("a") && state.is_taken_out("b") && !state.is_taken_out("c"));
    assert!(state.apply(Command::Restore("b".into())));
    assert!(!state.apply(Command::Restore("b".into())));
    assert_eq!(state.taken_out, [Arc::from("a")]);
}

#[test]
fn a_repeated_rollout_order_changes_nothing() {
    let mut state = State::default();
    assert!(state.apply(begin("v2")));
    assert!(state.apply(advance("v2", 1_000, Phase::InProgress)));
    assert!(!state.apply(begin("v2")));
    assert_eq!(state.rollout("engines").unwrap().permille, 1_000);
}

#[test]
fn permits_follow_the_rollout() {
    let mut state = State::default();
    let permits = |s: &State| {
        (
            s.eligibility("engines", "v1"),
            s.eligibility("engines", "v2"),
        )
    };
    assert_eq!(permits(&state), (Eligibility::Stable, Eligibility::Stable));
    state.apply(begin("v2"));
    assert_eq!(
        permits(&state),
        (Eligibility::Stable, Eligibility::Canary(50))
    );
    state.apply(advance("v2", 0, Phase::Reverted));
    assert_eq!(
        permits(&state),
        (Eligibility::Stable, Eligibility::Ineligible)
    );
    assert!(
        !state.apply(advance("v2", 1_000, Phase::Completed)),
        "it has ended"
    );
    state.apply(begin("v3"));
    state.apply(advance("v3", 1_000, Phase::Completed));
    assert_eq!(
        permits(&state),
        (Eligibility::Ineligible, Eligibility::Ineligible)
    );
    assert_eq!(state.eligibility("engines", "v3"), Eligibility::Stable);
    state.apply(begin("v4"));
    assert_eq!(state.eligibility("engines", "v3"), Eligibility::Stable);
    assert_eq!(state.eligibility("engines", "v4"), Eligibility::Canary(50));
    assert_eq!(
        permits(&state),
        (Eligibility::Ineligible, Eligibility::Ineligible)
    );
    assert_eq!(
        state.eligibility("bookings", "v1"),
        Eligibility::Stable,
        "another service"
    );
}

#[test]
fn commands_survive_the_codec_of_the_log() {
    let command = configure(3, "{\"a\": \"\u{e9}\"}");
    let bytes = postcard::to_stdvec(&command).unwrap();
    assert_eq!(postcard::from_bytes::<Command>(&bytes).unwrap(), command);
    let state = State {
        revision: 3,
        content: Payload::from(&[0xff, 0, 1][..]),
        ..State::default()
    };
    let bytes = postcard::to_stdvec(&state).unwrap();
    assert_eq!(postcard::from_bytes::<State>(&bytes).unwrap(), state);
}
