//! The leader's decisions: the replica set and rollouts.

use masticlock_core::{
    canary,
    consensus::{Event, Member},
    replicated::{Command, Phase},
    time::{Span, Time},
};

use super::state::{State, encode};

/// Time without contact after which a voter is replaced by a replica that has caught up.
const LOST_VOTER: Span = Span::from_millis(2_500);

/// Time without contact after which a learner is removed.
const LOST_LEARNER: Span = Span::from_secs(6);

/// Ticket of the leader's own proposals, for whose outcome nobody waits.
const NO_TICKET: u64 = 0;

/// Returns the proposals that are due.
pub(super) fn decide(state: &mut State, now: Time, wall_ms: u64) -> Vec<Event> {
    let mut events: Vec<_> = members(state, now).into_iter().collect();
    events.extend(rollouts(state, now, wall_ms));
    events
}

fn rollouts(state: &State, now: Time, wall_ms: u64) -> Vec<Event> {
    let open = state.agreed.rollouts.iter();
    let open = open.filter(|r| r.phase == Phase::InProgress);
    open.filter_map(|rollout| {
        let new = state
            .reports
            .version_stats(&rollout.service, &rollout.target, now);
        let old = state
            .reports
            .baseline_stats(&rollout.service, &rollout.target, now);
        let step = canary::step(rollout, &new, &old, wall_ms)?;
        log::info!(
            event = "rollout", service = &*rollout.service, version = &*rollout.target,
            phase:? = step.phase, permille = step.permille, new_ok = new.ok,
            new_failed = new.failed, new_slow = new.slow, old_ok = old.ok,
            old_failed = old.failed, old_slow = old.slow, old_running = old.running;
            "a rollout goes on"
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
fn members(state: &mut State, now: Time) -> Option<Event> {
    let status = state.replica.status(now);
    let all = status.voters.iter().chain(&status.learners);
    let silences: Vec<_> = all.map(|m| (m.id, state.silence(m.id, now))).collect();
    let is_lost = |m: &Member, limit: Span| {
        let silence = silences.iter().find(|(id, _)| *id == m.id);
        m.id != status.id && silence.is_some_and(|(_, silence)| *silence > limit)
    };
    let ready: Vec<_> = status
        .learners
        .iter()
        .filter(|m| status.caught_up.contains(&m.id) && !is_lost(m, LOST_VOTER))
        .collect();
    let lost = status.voters.iter().find(|m| is_lost(m, LOST_VOTER));
    let change = if let (Some(lost), true) = (lost, !ready.is_empty()) {
        Event::Remove {
            ticket: NO_TICKET,
            id: lost.id,
        }
    } else if let Some(next) = ready.first()
        && status.voters.len() < wanted_voters(status.voters.len() + ready.len())
    {
        Event::Promote {
            ticket: NO_TICKET,
            id: next.id,
        }
    } else {
        let gone = status.learners.iter().find(|m| is_lost(m, LOST_LEARNER))?;
        Event::Remove {
            ticket: NO_TICKET,
            id: gone.id,
        }
    };
    log::info!(
        event = "replica_set", change:? = change, voters = status.voters.len(),
        learners = status.learners.len();
        "the replica set changes"
    );
    Some(change)
}

/// Returns the largest odd number of voters among that many replicas.
const fn wanted_voters(replicas: usize) -> usize {
    if replicas.is_multiple_of(2) {
        replicas.saturating_sub(1)
    } else {
        replicas
    }
}
