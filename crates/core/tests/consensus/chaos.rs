//! Seeded schedules of faults, and the operator who repairs the replica set.

use masticlock_core::consensus::{Event, Fault, Identity};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    check::Violation,
    disk::Failure,
    world::{Node, Odds, World, member},
};

/// Virtual time of the faults in a schedule, in milliseconds.
const LENGTH: u64 = 12_000;

/// Virtual time after the faults in which the replicas must commit again.
const CALM: u64 = 12_000;

/// The violation that is not one of safety.
pub const NO_PROGRESS: &str = "no progress after all faults ended";

/// Weights of the faults of a schedule.
#[derive(Debug)]
struct Weights {
    crash: u32,
    /// Share of crashes that hit a leader or candidate.
    crash_leader: f64,
    wipe: u32,
    partition: u32,
    heal: u32,
    disk: u32,
    /// Sequences of faults that chance alone rarely puts together.
    sequence: u32,
    operator: u32,
    /// Whether the operator removes a lost replica before its successor has caught up.
    removes_first: bool,
}

/// Runs the schedule of a seed.
pub fn schedule(seed: u64, fault: Option<Fault>) -> Result<(), Violation> {
    let mut random = ChaCha8Rng::seed_from_u64(!seed);
    let odds = Odds {
        loss: [0.0, 0.02, 0.2][random.random_range(0..3)],
        repeat: [0.0, 0.1][random.random_range(0..2)],
        delay: [3, 30, 300][random.random_range(0..3)],
        sync: [0, 10, 300][random.random_range(0..3)],
        snapshot_every: [3, 10, 1_000][random.random_range(0..3)],
        batch: [1, 1, 2, 1_000][random.random_range(0..4)],
    };
    let weights = Weights {
        crash: [0, 3, 8, 20][random.random_range(0..4)],
        crash_leader: [0.2, 1.0][random.random_range(0..2)],
        wipe: random.random_range(0..3),
        partition: [0, 3, 10][random.random_range(0..3)],
        heal: [1, 3][random.random_range(0..2)],
        disk: random.random_range(0..3),
        sequence: random.random_range(0..2),
        operator: random.random_range(5..40),
        removes_first: random.random(),
    };
    let voters = [3, 3, 5][random.random_range(0..3)];
    let spare = random.random_range(0..=1);
    let mut world = World::new(seed, voters, spare, odds, fault);
    let start = random.random_range(500..2_500);
    world.run(start)?;
    while world.now < LENGTH {
        disturb(&mut world, &weights)?;
        let pause = world.random.random_range(1..=60);
        world.run(pause)?;
    }
    settle(&mut world)
}

fn disturb(world: &mut World, weights: &Weights) -> Result<(), Violation> {
    let node = pick(world);
    let kinds = [
        50,
        20,
        weights.operator,
        weights.crash,
        weights.wipe,
        weights.partition,
        weights.heal,
        weights.disk,
        weights.sequence,
        weights.sequence,
    ];
    match draw(world, &kinds) {
        0 => world.propose(node),
        1 => {
            let ticket = world.ticket();
            world.step(node, Event::Read { ticket })
        }
        2 => operate(world, weights.removes_first),
        3 => {
            let hits = world.random.random_bool(weights.crash_leader);
            let node = world.candidate().filter(|_| hits).unwrap_or(node);
            world.crash(node);
            restart(world, node);
            Ok(())
        }
        4 => {
            if can_lose(world, node) {
                world.wipe(node);
                restart(world, node);
            }
            Ok(())
        }
        5 => {
            partition(world, node);
            Ok(())
        }
        6 => {
            world.blocked.clear();
            Ok(())
        }
        7 => {
            let failure = [Failure::Sync, Failure::Full][world.random.random_range(0..2)];
            let operations = world.random.random_range(0..4);
            world.nodes[node].disk.fail_after(operations, failure);
            Ok(())
        }
        8 => isolate(world),
        _ => churn(world),
    }
}

fn draw(world: &mut World, kinds: &[u32]) -> usize {
    let mut left = world.random.random_range(0..kinds.iter().sum::<u32>());
    for (kind, &weight) in kinds.iter().enumerate() {
        if left < weight {
            return kind;
        }
        left -= weight;
    }
    0
}

/// Picks a node that acts in half of the cases, and any node otherwise.
fn pick(world: &mut World) -> usize {
    let any = world.random.random_range(0..world.nodes.len());
    let acting = world.leader();
    if world.random.random() {
        acting.unwrap_or(any)
    } else {
        any
    }
}

/// Loses a replica's data, repairs the replica set, and loses a second replica after `moment`
/// milliseconds of the repair.
pub fn repair(
    voters: usize,
    (first, second): (usize, usize),
    moment: u64,
    removes_first: bool,
    is_data_lost: bool,
) -> Result<(), Violation> {
    let mut world = World::new(moment, voters, 0, Odds::GOOD, None);
    world.run_until(5_000, |world| {
        if let Some(leader) = world.leader() {
            world.propose(leader)?;
        }
        Ok(world.history.acknowledged > 30)
    })?;
    world.wipe(first);
    world.start_in(50, first);
    let end = world.now + moment;
    while world.now < end {
        world.run(10)?;
        operate(&mut world, removes_first)?;
        if let Some(leader) = world.leader() {
            world.propose(leader)?;
        }
    }
    if is_data_lost || can_lose(&world, second) {
        world.wipe(second);
    } else {
        world.crash(second);
    }
    world.start_in(2_000, second);
    world.run(1_000)?;
    settle(&mut world)
}

fn restart(world: &mut World, node: usize) {
    let pause = [50, 1_000, 4_000][world.random.random_range(0..3)];
    world.start_in(pause, node);
}

/// Blocks one or both directions between a node and one or all others.
fn partition(world: &mut World, node: usize) {
    let (inbound, outbound) =
        [(true, true), (true, false), (false, true)][world.random.random_range(0..3)];
    let one = world.random.random_range(0..world.nodes.len());
    let is_single: bool = world.random.random();
    for other in 0..world.nodes.len() {
        if other == node || is_single && other != one {
            continue;
        }
        if inbound {
            world.blocked.push((other, node));
        }
        if outbound {
            world.blocked.push((node, other));
        }
    }
}

/// Cuts a leader off from one voter until that voter stands for election, and then from all.
fn isolate(world: &mut World) -> Result<(), Violation> {
    let Some(leader) = world.leader() else {
        return Ok(());
    };
    let other = (leader + world.random.random_range(1..world.nodes.len())) % world.nodes.len();
    world.blocked.extend([(leader, other), (other, leader)]);
    let pause = world.random.random_range(700..1_700);
    world.run(pause)?;
    for node in 0..world.nodes.len() {
        world.blocked.extend([(leader, node), (node, leader)]);
    }
    let pause = world.random.random_range(0..1_500);
    world.run(pause)?;
    world.blocked.clear();
    Ok(())
}

/// Stops several leaders one after the other before they have replicated all their entries.
fn churn(world: &mut World) -> Result<(), Violation> {
    for _ in 0..4 {
        let voted = |world: &mut World| Ok(world.candidate().is_some());
        world.run_until(3_000, voted)?;
        let Some(leader) = world.candidate() else {
            return Ok(());
        };
        let pause = [0, 20, 100, 400][world.random.random_range(0..4)];
        world.run(pause)?;
        let is_silent: bool = world.random.random();
        for node in 0..world.nodes.len() {
            if is_silent {
                world.blocked.push((leader, node));
            }
        }
        world.propose(leader)?;
        let pause = world.random.random_range(0..40);
        world.run(pause)?;
        world.blocked.clear();
        world.crash(leader);
        restart(world, leader);
    }
    Ok(())
}

/// Returns whether every replica set that a replica or a message has keeps a majority without the node.
fn can_lose(world: &World, node: usize) -> bool {
    let others = (0..world.nodes.len()).filter(|&other| other != node);
    let intact: Vec<_> = others.map(|other| world.id(other)).collect();
    let is_left = |known: &Vec<Identity>| {
        let left = known.iter().filter(|id| intact.contains(id)).count();
        known.is_empty() || left > known.len() / 2
    };
    world
        .nodes
        .iter()
        .map(Node::voters)
        .all(|known| is_left(&known))
        && world.wiped.iter().all(|(_, known)| is_left(known))
}

/// Takes the next step of a repair: every node's former identities are removed, at once or when the
/// current one has caught up, and the current one becomes a voter.
pub fn operate(world: &mut World, removes_first: bool) -> Result<(), Violation> {
    let Some(leader) = world.leader() else {
        return Ok(());
    };
    let ticket = world.ticket();
    let nodes = 0..world.nodes.len();
    let event = nodes.filter_map(|node| next(world, leader, node, removes_first, ticket));
    match event.min_by_key(|event| event.0) {
        Some((_, event)) => world.step(leader, event),
        None => Ok(()),
    }
}

/// Returns the next change for a node with its rank: removals come first, because a replica is not
/// promoted while a lost voter remains.
fn next(
    world: &World,
    leader: usize,
    node: usize,
    removes_first: bool,
    ticket: u64,
) -> Option<(u8, Event)> {
    let replica = &world.nodes[leader].process.as_ref()?.replica;
    let (members, status) = (replica.members(), replica.status(world.local(leader)));
    let (&id, former) = world.nodes[node].ids.split_last()?;
    let is_caught_up = status.caught_up.contains(&id);
    let former = former.iter().find(|id| members.member(**id).is_some());
    if let Some(&id) = former
        && (removes_first || is_caught_up)
    {
        return Some((0, Event::Remove { ticket, id }));
    }
    if members.member(id).is_none() {
        let member = member(node, id);
        return Some((1, Event::AddLearner { ticket, member }));
    }
    is_caught_up.then_some((2, Event::Promote { ticket, id }))
}

/// Ends all faults and checks that the replicas commit again and nothing acknowledged is lost.
fn settle(world: &mut World) -> Result<(), Violation> {
    world.blocked.clear();
    world.odds.loss = 0.0;
    world.odds.repeat = 0.0;
    world.odds.delay = 5;
    world.odds.sync = 5;
    for node in 0..world.nodes.len() {
        world.nodes[node].disk.heal();
        world.start_in(0, node);
    }
    let goal = world.history.acknowledged;
    let done = world.run_until(CALM, |world| {
        if let Some(leader) = world.leader() {
            world.propose(leader)?;
            operate(world, false)?;
        }
        let reached = |n: &Node| n.process.as_ref().is_some_and(|p| p.machine.index >= goal);
        let all = world.nodes.iter().all(reached);
        Ok(world.history.acknowledged > goal && all && is_repaired(world))
    })?;
    if !done {
        return Err(NO_PROGRESS.to_owned());
    }
    if let Some(leader) = world.leader() {
        let ticket = world.ticket();
        world.step(leader, Event::Read { ticket })?;
    }
    Ok(())
}

/// Returns whether every node's current identity is a voter, as the leader sees it.
fn is_repaired(world: &World) -> bool {
    let leader = world.leader();
    let process = leader.and_then(|leader| world.nodes[leader].process.as_ref());
    process.is_some_and(|p| {
        let members = p.replica.members();
        members.voters.len() == world.nodes.len()
            && (0..world.nodes.len()).all(|node| members.is_voter(world.id(node)))
    })
}
