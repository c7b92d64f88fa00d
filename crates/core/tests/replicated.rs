//! The replicated state machine: configuration, failure domains out of service and rollouts.

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

fn start_rollout(target: &str) -> Command {
    Command::StartRollout(Rollout {
        service: "engines".into(),
        target: target.into(),
        began_ms: 1_000,
        duration_ms: 24_000,
        permille: 50,
        phase: Phase::InProgress,
    })
}

fn advance_rollout(target: &str, permille: u16, phase: Phase) -> Command {
    Command::AdvanceRollout {
        service: "engines".into(),
        target: target.into(),
        permille,
        phase,
    }
}

/// Guards against an older or repeated configuration that replaces a newer one.
#[test]
fn the_highest_revision_wins() {
    let mut state = State::default();
    assert!(state.apply(configure(7, "seven")));
    assert!(!state.apply(configure(7, "other")), "the same revision");
    assert!(!state.apply(configure(3, "older")));
    assert_eq!(
        (state.revision, state.content.as_bytes()),
        (7, &b"seven"[..])
    );
    assert!(state.apply(configure(19, "newer")));
    assert_eq!(state.revision, 19);
}

/// Guards against repeated commands that count as changes.
#[test]
fn failure_domains_are_taken_out_and_restored() {
    let mut state = State::default();
    assert!(state.apply(Command::TakeOut("b".into())));
    assert!(state.apply(Command::TakeOut("a".into())));
    assert!(
        !state.apply(Command::TakeOut("b".into())),
        "repeated command"
    );
    assert!(state.is_taken_out("a") && state.is_taken_out("b") && !state.is_taken_out("c"));
    assert!(state.apply(Command::Restore("b".into())));
    assert!(!state.apply(Command::Restore("b".into())));
    assert_eq!(state.taken_out, [Arc::from("a")]);
}

/// Guards against a repeated command that restarts a rollout in progress.
#[test]
fn a_repeated_start_of_a_rollout_changes_nothing() {
    let mut state = State::default();
    assert!(state.apply(start_rollout("v2")));
    assert!(state.apply(advance_rollout("v2", 1_000, Phase::InProgress)));
    assert!(!state.apply(start_rollout("v2")));
    assert_eq!(state.rollout("engines").unwrap().permille, 1_000);
}

/// Guards against requests to versions that were reverted or replaced, also in later rollouts.
#[test]
fn eligibility_follows_the_rollout() {
    let mut state = State::default();
    let eligibilities = |s: &State| {
        (
            s.eligibility("engines", "v1"),
            s.eligibility("engines", "v2"),
        )
    };
    assert_eq!(
        eligibilities(&state),
        (Eligibility::Stable, Eligibility::Stable)
    );
    state.apply(start_rollout("v2"));
    assert_eq!(
        eligibilities(&state),
        (Eligibility::Stable, Eligibility::Canary(50))
    );
    state.apply(advance_rollout("v2", 0, Phase::Reverted));
    assert_eq!(
        eligibilities(&state),
        (Eligibility::Stable, Eligibility::Ineligible)
    );
    assert!(
        !state.apply(advance_rollout("v2", 1_000, Phase::Completed)),
        "it has ended"
    );
    state.apply(start_rollout("v3"));
    state.apply(advance_rollout("v3", 1_000, Phase::Completed));
    assert_eq!(
        eligibilities(&state),
        (Eligibility::Ineligible, Eligibility::Ineligible)
    );
    assert_eq!(state.eligibility("engines", "v3"), Eligibility::Stable);
    state.apply(start_rollout("v4"));
    assert_eq!(state.eligibility("engines", "v3"), Eligibility::Stable);
    assert_eq!(state.eligibility("engines", "v4"), Eligibility::Canary(50));
    assert_eq!(
        eligibilities(&state),
        (Eligibility::Ineligible, Eligibility::Ineligible)
    );
    assert_eq!(
        state.eligibility("bookings", "v1"),
        Eligibility::Stable,
        "another service"
    );
}

/// Guards against commands or states that the codec of the log doesn't restore, such as contents with
/// non-ASCII text or arbitrary bytes.
#[test]
fn commands_and_states_survive_the_codec_of_the_log() {
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

/// Guards against a need for keys that a snapshot loses, and against snapshots that an older build or
/// this one can't read from the other.
#[test]
fn snapshots_keep_whether_keys_are_needed() {
    for needs_keys in [false, true] {
        let state = State {
            revision: 7,
            needs_keys,
            ..State::default()
        };
        let snapshot = state.encode();
        assert_eq!(State::decode(snapshot.as_bytes()), Ok(state.clone()));
        // What an older build reads and writes.
        let open = State {
            needs_keys: false,
            ..state
        };
        assert_eq!(postcard::from_bytes(snapshot.as_bytes()), Ok(open.clone()));
        let older = postcard::to_stdvec(&open).unwrap();
        assert_eq!(State::decode(&older), Ok(open));
    }
    assert_eq!(State::decode(&[]), Ok(State::default()));
    assert!(State::decode(&[7]).is_err());
}
