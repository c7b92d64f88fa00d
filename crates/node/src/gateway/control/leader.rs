//! Proposals of the leader: changes of the replica set and steps of rollouts.

use masticlock_core::{
    canary,
    consensus::{Event, Member},
    replicated::{Command, Phase},
    rollout::lateness,
    time::{Span, Time},
};

use super::state::{State, encode};

/// Time without contact after which a voter is replaced by a replica that has caught up.
const VOTER_TIMEOUT: Span = Span::from_millis(2_500);

/// Time without contact after which a learner is removed.
const LEARNER_TIMEOUT: Span = Span::from_secs(6);

/// Ticket of the leader's own proposals, whose outcome no caller waits for.
const NO_TICKET: u64 = 0;

/// Returns the proposals that are due; `wall_ms` is the time in milliseconds since the Unix epoch.
pub(super) fn propose(state: &mut State, now: Time, wall_ms: u64) -> Vec<Event> {
    let mut events: Vec<_> = replica_set_change(state, now).into_iter().collect();
    events.extend(rollout_steps(state, now, wall_ms));
    events
}

/// Returns the commands that advance, complete or roll back the rollouts in progress.
fn rollout_steps(state: &State, now: Time, wall_ms: u64) -> Vec<Event> {
    let in_progress = state.agreed.rollouts.iter();
    let in_progress = in_progress.filter(|r| r.phase == Phase::InProgress);
    in_progress
        .filter_map(|rollout| {
            let new = state
                .reports
                .version_stats(&rollout.service, &rollout.target, now);
            let old = state
                .reports
                .baseline_stats(&rollout.service, &rollout.target, now);
            let step = canary::step(rollout, &new, &old, wall_ms)?;
            let (new_timing, old_timing) =
                (lateness::total(&new.timings), lateness::total(&old.timings));
            log::info!(
                event = "rollout", service = &*rollout.service, version = &*rollout.target,
                phase:? = step.phase, permille = step.permille, new_ok = new.ok,
                new_failed = new.failed, new_slow = new.slow, old_ok = old.ok,
                old_failed = old.failed, old_slow = old.slow, old_running = old.running,
                new_judged = new_timing.judged, new_late = new_timing.late,
                old_judged = old_timing.judged, old_late = old_timing.late;
                "proposing the next step of a rollout"
            );
            Some(Event::Propose {
                ticket: NO_TICKET,
                payload: encode(&Command::AdvanceRollout {
                    service: rollout.service.clone(),
                    target: rollout.target.clone(),
                    permille: step.permille,
                    phase: step.phase,
                }),
            })
        })
        .collect()
}

/// Returns the next change of the replica set, one at a time.
///
/// A lost voter is removed once a learner can replace it. A learner that has caught up is promoted
/// while there are fewer voters than [`target_voter_count`] allows. A lost learner is removed.
fn replica_set_change(state: &mut State, now: Time) -> Option<Event> {
    let status = state.replica.status(now);
    let all = status.voters.iter().chain(&status.learners);
    let contacts: Vec<_> = all
        .map(|m| (m.id, state.time_since_contact(m.id, now)))
        .collect();
    let is_lost = |m: &Member, timeout: Span| {
        let contact = contacts.iter().find(|(id, _)| *id == m.id);
        m.id != status.id && contact.is_some_and(|(_, elapsed)| *elapsed > timeout)
    };
    let promotable: Vec<_> = status
        .learners
        .iter()
        .filter(|m| status.caught_up.contains(&m.id) && !is_lost(m, VOTER_TIMEOUT))
        .collect();
    let lost_voter = status.voters.iter().find(|m| is_lost(m, VOTER_TIMEOUT));
    let change = if let (Some(voter), true) = (lost_voter, !promotable.is_empty()) {
        Event::Remove {
            ticket: NO_TICKET,
            id: voter.id,
        }
    } else if let Some(next) = promotable.first()
        && status.voters.len() < target_voter_count(status.voters.len() + promotable.len())
    {
        Event::Promote {
            ticket: NO_TICKET,
            id: next.id,
        }
    } else {
        let lost_learner = status
            .learners
            .iter()
            .find(|m| is_lost(m, LEARNER_TIMEOUT))?;
        Event::Remove {
            ticket: NO_TICKET,
            id: lost_learner.id,
        }
    };
    log::info!(
        event = "replica_set", change:? = change, voters = status.voters.len(),
        learners = status.learners.len();
        "proposing a change of the replica set"
    );
    Some(change)
}

/// Returns the largest odd number of voters among the given number of replicas.
const fn target_voter_count(replicas: usize) -> usize {
    if replicas.is_multiple_of(2) {
        replicas.saturating_sub(1)
    } else {
        replicas
    }
}
