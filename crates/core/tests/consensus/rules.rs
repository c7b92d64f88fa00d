//! Tests of individual rules of the consensus algorithm.

use masticlock_core::{
    consensus::{
        Action, Body, Event, HEARTBEAT_INTERVAL, Identity, Image, LEASE_DURATION, Limits,
        MAX_ELECTION_TIMEOUT, Members, Message, Payload, Record, Refusal, Replica, Role, Settings,
    },
    time::Time,
};

use super::simulation::{Conditions, Simulation, member};

const OWN: Identity = Identity::from_random(1);
const OTHER: Identity = Identity::from_random(2);
const REMOVED: Identity = Identity::from_random(3);

/// Starts the replica `OWN` with these voters and `REMOVED` as a removed identity.
fn replica(voters: &[Identity]) -> Replica {
    let members = Members {
        voters: voters.iter().map(|&id| member(0, id)).collect(),
        learners: Vec::new(),
        removed: vec![REMOVED],
    };
    let image = Image::founding(OWN, members);
    Replica::new(&Settings::default(), image, Time::ZERO)
}

/// Returns the arrival of a message of term 9.
fn message(from: Identity, to: Identity, body: Body) -> Event {
    Event::Received(Message {
        from,
        to,
        term: 9,
        body,
    })
}

/// Returns the leader of a replica set with one voter, and the time of its election.
fn leader() -> (Replica, Time) {
    let mut replica = replica(&[OWN]);
    let now = Time::ZERO + MAX_ELECTION_TIMEOUT;
    replica.step(Event::Tick, now);
    replica.step(Event::Synced(1), now);
    let actions = replica.step(Event::Synced(2), now);
    assert!(
        matches!(actions[..], [Action::Elected { term: 1 }]),
        "{actions:?}"
    );
    (replica, now)
}

/// Guards against a replica that follows or votes for a removed identity, votes for an unknown one
/// whose log is not ahead, or handles messages to the identity that it replaced.
#[test]
fn removed_and_foreign_identities_are_ignored() {
    let ask = |last_index| Body::Ask {
        pre: false,
        last_index,
        last_term: 0,
    };
    let append = Body::Append {
        prev_index: 0,
        prev_term: 0,
        entries: Vec::new(),
        commit: 0,
        sent: Time::ZERO,
    };
    let unknown = Identity::from_random(8);
    let cases = [
        (message(REMOVED, OWN, ask(5)), 0),
        (message(REMOVED, OWN, append.clone()), 0),
        (message(OTHER, REMOVED, ask(5)), 0),
        (message(OTHER, unknown, append.clone()), 0),
        (message(unknown, OWN, ask(0)), 0),
        (message(unknown, OWN, ask(1)), 9),
        (message(OTHER, OWN, ask(0)), 9),
        (message(OTHER, OWN, append), 9),
    ];
    for (event, term) in cases {
        let mut replica = replica(&[OWN, OTHER]);
        let case = format!("{event:?}");
        replica.step(event, Time::ZERO + MAX_ELECTION_TIMEOUT);
        assert_eq!(replica.term(), term, "{case}");
    }
}

/// Guards against a separate sync for each proposal.
#[test]
fn proposals_share_a_write() {
    let (mut replica, now) = leader();
    let mut writes = Vec::new();
    let mut propose = |replica: &mut Replica, ticket| {
        let payload = Payload::from(vec![0xfe]);
        let actions = replica.step(Event::Propose { ticket, payload }, now);
        writes.extend(actions);
    };
    (0..100).for_each(|ticket| propose(&mut replica, ticket));
    assert!(
        matches!(writes[..], [Action::Write { sequence: 3, .. }]),
        "{writes:?}"
    );
    let actions = replica.step(Event::Synced(3), now);
    let Some(Action::Write { sequence, records }) = actions.last() else {
        panic!("{actions:?}");
    };
    assert!(records.iter().all(|r| matches!(r, Record::Entry(_))));
    assert_eq!((*sequence, records.len()), (4, 99));
    let answers = replica.step(Event::Synced(4), now);
    let is_answer = |a: &&Action| matches!(a, Action::Answer { outcome: Ok(_), .. });
    assert_eq!(answers.iter().filter(is_answer).count(), 99);
}

/// Guards against membership changes that would stop the log or add a removed identity again, and
/// against payloads that don't fit in a message.
#[test]
fn unfit_membership_changes_are_refused() {
    let id = OTHER;
    let add = |id| Event::AddLearner {
        ticket: 1,
        member: member(0, id),
    };
    let cases = [
        Event::Remove { ticket: 1, id: OWN },
        Event::Remove { ticket: 1, id },
        Event::Promote { ticket: 1, id },
        add(REMOVED),
        add(OWN),
        Event::Propose {
            ticket: 1,
            payload: Payload::from(vec![0; Limits::default().payload_bytes + 1]),
        },
    ];
    let assert_refused = |replica: &mut Replica, event, now, expected: fn(&Refusal) -> bool| {
        let actions = replica.step(event, now);
        let is_expected =
            |a: &Action| matches!(a, Action::Answer { outcome: Err(r), .. } if expected(r));
        assert!(actions.iter().any(is_expected), "{actions:?}");
    };
    let (mut replica, now) = leader();
    for event in cases {
        assert_refused(&mut replica, event, now, |r| matches!(r, Refusal::Unfit(_)));
    }
    let member = member(1, id);
    replica.step(Event::AddLearner { ticket: 1, member }, now);
    let promote = |ticket| Event::Promote { ticket, id };
    assert_refused(&mut replica, promote(2), now, |r| {
        *r == Refusal::ChangeUnderWay
    });
    replica.step(Event::Synced(3), now);
    assert_refused(&mut replica, promote(3), now, |r| {
        *r == Refusal::NotCaughtUp
    });
}

/// Guards against an isolated replica that ends the leader's term when it reconnects, and against
/// an isolated leader that acts after its lease has ended.
#[test]
fn isolated_replicas_neither_act_nor_end_a_term() {
    for isolates_leader in [false, true] {
        let mut sim = Simulation::new(4, 3, 0, Conditions::RELIABLE, None);
        assert_eq!(
            sim.run_until(5_000, |sim| Ok(sim.active_leader().is_some())),
            Ok(true)
        );
        let leader = sim.active_leader().unwrap();
        let node = if isolates_leader {
            leader
        } else {
            (leader + 1) % 3
        };
        let term = |sim: &Simulation, node: usize| {
            let process = sim.nodes[node].process.as_ref();
            process.map_or(0, |p| p.replica.term())
        };
        let before = term(&sim, leader);
        for other in (0..3).filter(|&other| other != node) {
            sim.blocked_links.extend([(node, other), (other, node)]);
        }
        sim.run(LEASE_DURATION.as_millis() + HEARTBEAT_INTERVAL.as_millis())
            .unwrap();
        assert_ne!(sim.active_leader(), Some(node));
        sim.run(20_000).unwrap();
        assert_eq!(term(&sim, node), before, "isolated replica {node}");
        let process = sim.nodes[node].process.as_ref().unwrap();
        assert_ne!(process.replica.role(), Role::Leader);
        let current = sim.active_leader().unwrap();
        let after = term(&sim, current);
        sim.blocked_links.clear();
        sim.run(5_000).unwrap();
        assert_eq!(
            (sim.active_leader(), term(&sim, current)),
            (Some(current), after)
        );
        assert_eq!(after, before + u64::from(isolates_leader));
    }
}

/// Guards against a log that never commits again because the only replica with the latest entry is
/// a learner in its own log and a voter in the logs of the others, as in the schedule of seed
/// 1109103.
#[test]
fn a_learner_with_the_latest_entry_is_elected_and_does_not_act() {
    let (voters, learner) = ([OWN, OTHER], Identity::from_random(4));
    let mut image = Image::founding(learner, Members::default());
    image.snapshot.members.voters = voters.map(|id| member(0, id)).to_vec();
    image.snapshot.members.learners = vec![member(0, learner)];
    let mut replica = Replica::new(&Settings::default(), image, Time::ZERO);
    let now = Time::ZERO + MAX_ELECTION_TIMEOUT.times(2);
    let sent = |actions: &[Action]| {
        let is_ask =
            |a: &&Action| matches!(a, Action::Send(m) if matches!(m.body, Body::Ask { .. }));
        actions.iter().filter(is_ask).count()
    };
    assert_eq!(
        sent(&replica.step(Event::Tick, Time::ZERO + MAX_ELECTION_TIMEOUT)),
        0
    );
    assert_eq!(sent(&replica.step(Event::Tick, now)), 2);
    let answer = |from, body| {
        Event::Received(Message {
            from,
            to: learner,
            term: 1,
            body,
        })
    };
    let vote = |pre| Body::Vote { pre, granted: true };
    for from in voters {
        replica.step(answer(from, vote(true)), now);
    }
    assert_eq!(sent(&replica.step(Event::Synced(1), now)), 2);
    for from in voters {
        replica.step(answer(from, vote(false)), now);
    }
    assert_eq!(replica.role(), Role::Leader);
    let mut actions = Vec::new();
    for from in voters {
        let body = Body::Appended {
            index: 1,
            matched: true,
            sent: now,
        };
        actions.extend(replica.step(answer(from, body), now));
        assert!(!replica.may_act(now));
    }
    assert!(
        actions.contains(&Action::StepDown { term: 1 }),
        "{actions:?}"
    );
}

/// Guards against a promotion that leaves no majority if the new voter fails right after it.
#[test]
fn a_learner_is_promoted_after_the_lost_voter_is_removed() {
    let mut sim = Simulation::new(4, 3, 1, Conditions::RELIABLE, None);
    assert_eq!(
        sim.run_until(5_000, |sim| Ok(sim.active_leader().is_some())),
        Ok(true)
    );
    let leader = sim.active_leader().unwrap();
    let lost = (leader + 1) % 3;
    let (learner, lost_id) = (sim.id(3), sim.id(lost));
    sim.crash(lost);
    let steps = [
        (
            Event::AddLearner {
                ticket: 0,
                member: member(3, learner),
            },
            false,
        ),
        (
            Event::Promote {
                ticket: 0,
                id: learner,
            },
            false,
        ),
        (
            Event::Remove {
                ticket: 0,
                id: lost_id,
            },
            false,
        ),
        (
            Event::Promote {
                ticket: 0,
                id: learner,
            },
            true,
        ),
    ];
    sim.next_ticket();
    for (event, is_voter) in steps {
        let case = format!("{event:?}");
        sim.step(leader, event).unwrap();
        sim.run(LEASE_DURATION.as_millis() * 2).unwrap();
        let members = sim.nodes[leader]
            .process
            .as_ref()
            .unwrap()
            .replica
            .members();
        assert_eq!(members.is_voter(learner), is_voter, "{case}");
        assert_eq!(members.is_learner(learner), !is_voter, "{case}");
    }
}

/// Returns the entries in messages to `OTHER`, and the send time of the last message.
fn sent_entries(actions: &[Action]) -> (usize, Option<Time>) {
    let mut count = 0;
    let mut last = None;
    for action in actions {
        if let Action::Send(Message {
            body: Body::Append { entries, sent, .. },
            ..
        }) = action
        {
            count += entries.len();
            last = Some(*sent);
        }
    }
    (count, last)
}

/// Guards against a large entry that is sent again with each heartbeat while it is on its way, so
/// that the links and the followers carry it many times.
#[test]
fn heartbeats_do_not_repeat_an_entry_that_is_on_its_way() {
    let mut replica = replica(&[OWN, OTHER]);
    let mut now = Time::ZERO + MAX_ELECTION_TIMEOUT;
    let respond = |body| {
        Event::Received(Message {
            from: OTHER,
            to: OWN,
            term: 1,
            body,
        })
    };
    let mut write = 0;
    let mut sync = |replica: &mut Replica, now| {
        write += 1;
        replica.step(Event::Synced(write), now)
    };
    replica.step(Event::Tick, now);
    let pre = true;
    let granted = true;
    replica.step(respond(Body::Vote { pre, granted }), now);
    sync(&mut replica, now);
    let pre = false;
    let actions = replica.step(respond(Body::Vote { pre, granted }), now);
    let (_, sent) = sent_entries(&actions);
    sync(&mut replica, now);
    let appended = |index, sent| Body::Appended {
        index,
        matched: true,
        sent,
    };
    replica.step(respond(appended(1, sent.unwrap())), now);
    now += HEARTBEAT_INTERVAL;
    let sent = sent_entries(&replica.step(Event::Tick, now)).1.unwrap();
    replica.step(respond(appended(1, sent)), now);
    let payload = Payload::from(vec![0; 1_000]);
    let actions = replica.step(Event::Propose { ticket: 1, payload }, now);
    assert_eq!(sent_entries(&actions).0, 1, "{actions:?}");
    sync(&mut replica, now);

    let mut heartbeat_sent = None;
    for _ in 0..2 {
        now += HEARTBEAT_INTERVAL;
        let (entries, sent) = sent_entries(&replica.step(Event::Tick, now));
        assert_eq!(entries, 0, "a heartbeat repeats the entry");
        heartbeat_sent = sent;
    }
    // The answer to a later message shows that the entry was lost.
    let actions = replica.step(respond(appended(1, heartbeat_sent.unwrap())), now);
    assert_eq!(sent_entries(&actions).0, 1, "a lost entry is sent again");
}

/// Guards against a log whose size in memory grows with the size of its entries, committed or not.
#[test]
fn the_log_in_memory_is_bounded_in_bytes() {
    const ROOM: u64 = 1_000_000;
    for size in [10_u64, 10_000, 150_000] {
        let limits = Limits::for_log(ROOM);
        let image = Image::founding(
            OWN,
            Members {
                voters: vec![member(0, OWN)],
                ..Members::default()
            },
        );
        let settings = Settings {
            limits,
            ..Settings::default()
        };
        let mut replica = Replica::new(&settings, image, Time::ZERO);
        let now = Time::ZERO + MAX_ELECTION_TIMEOUT;
        replica.step(Event::Tick, now);
        let mut since_snapshot = 0;
        let mut synced = 0;
        let mut applied = 0;
        let mut refused = 0;
        let mut most = 0;
        for ticket in 0..3_000 {
            let payload = Payload::from(vec![0xfe; usize::try_from(size).unwrap()]);
            let mut actions = replica.step(Event::Propose { ticket, payload }, now);
            // The disk takes a while, so some proposals wait for it.
            if ticket % 7 == 0 {
                synced += 1;
                actions.extend(replica.step(Event::Synced(synced), now));
            }
            most = most.max(replica.log_bytes());
            for action in actions {
                match action {
                    Action::Apply { index, .. } => {
                        applied = index;
                        since_snapshot += size;
                    }
                    Action::Answer {
                        outcome: Err(Refusal::Overloaded),
                        ..
                    } => refused += 1,
                    _ => {}
                }
            }
            if since_snapshot >= ROOM / 4 {
                since_snapshot = 0;
                let data = Payload::default();
                replica.step(
                    Event::Snapshotted {
                        index: applied,
                        data,
                    },
                    now,
                );
            }
        }
        assert!(applied > 400, "{applied} are applied, {refused} refused");
        // An entry beside the parts of the room, as each part may be passed by one.
        assert!(
            most <= ROOM + 2 * size,
            "{most} bytes with entries of {size}"
        );
    }
}
