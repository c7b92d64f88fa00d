//! Seeded schedules of requests, faults and repairs of the replica set by an operator.

use masticlock_core::consensus::{Event, Fault, Identity};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    check::Violation,
    disk::Failure,
    simulation::{Conditions, Node, Simulation, member},
};

/// Simulated time in which a schedule injects faults, in milliseconds.
const FAULT_PERIOD: u64 = 12_000;

/// Simulated time after the faults within which the replicas must commit again and the replica set
/// must be repaired, in milliseconds.
const RECOVERY_PERIOD: u64 = 12_000;

/// Violation of progress; all others are violations of safety.
pub const NO_PROGRESS: &str = "no progress after all faults ended";

/// Weights of the random steps of a schedule.
#[derive(Debug)]
struct Weights {
    crash: u32,
    /// Probability that a crash hits a leader or candidate.
    crash_leader: f64,
    wipe: u32,
    partition: u32,
    heal: u32,
    disk_failure: u32,
    /// Weight of each fixed sequence of faults that independent random faults rarely form.
    combination: u32,
    /// Weight of a step of the operator's repair.
    repair: u32,
    /// Whether the operator removes a lost replica before its replacement has caught up.
    removes_first: bool,
}

/// Runs the schedule of a seed, with a deliberate fault of the algorithm if there is one.
pub fn run_schedule(seed: u64, fault: Option<Fault>) -> Result<(), Violation> {
    let mut random = ChaCha8Rng::seed_from_u64(!seed);
    let conditions = Conditions {
        loss_probability: [0.0, 0.02, 0.2][random.random_range(0..3)],
        duplicate_probability: [0.0, 0.1][random.random_range(0..2)],
        max_delay: [3, 30, 300][random.random_range(0..3)],
        max_sync_delay: [0, 10, 300][random.random_range(0..3)],
        snapshot_interval: [3, 10, 1_000][random.random_range(0..3)],
        batch_entries: [1, 1, 2, 1_000][random.random_range(0..4)],
    };
    let weights = Weights {
        crash: [0, 3, 8, 20][random.random_range(0..4)],
        crash_leader: [0.2, 1.0][random.random_range(0..2)],
        wipe: random.random_range(0..3),
        partition: [0, 3, 10][random.random_range(0..3)],
        heal: [1, 3][random.random_range(0..2)],
        disk_failure: random.random_range(0..3),
        combination: random.random_range(0..2),
        repair: random.random_range(5..40),
        removes_first: random.random(),
    };
    let voters = [3, 3, 5][random.random_range(0..3)];
    let spare = random.random_range(0..=1);
    let mut sim = Simulation::new(seed, voters, spare, conditions, fault);
    let start = random.random_range(500..2_500);
    sim.run(start)?;
    while sim.now < FAULT_PERIOD {
        random_step(&mut sim, &weights)?;
        let pause = sim.random.random_range(1..=60);
        sim.run(pause)?;
    }
    check_recovery(&mut sim)
}

/// Carries out a random request, fault or repair step.
fn random_step(sim: &mut Simulation, weights: &Weights) -> Result<(), Violation> {
    let node = random_node(sim);
    let kinds = [
        50,
        20,
        weights.repair,
        weights.crash,
        weights.wipe,
        weights.partition,
        weights.heal,
        weights.disk_failure,
        weights.combination,
        weights.combination,
    ];
    match weighted_choice(sim, &kinds) {
        0 => sim.propose(node),
        1 => {
            let ticket = sim.next_ticket();
            sim.step(node, Event::Read { ticket })
        }
        2 => repair_step(sim, weights.removes_first),
        3 => {
            let hits = sim.random.random_bool(weights.crash_leader);
            let node = sim.candidate().filter(|_| hits).unwrap_or(node);
            sim.crash(node);
            restart_later(sim, node);
            Ok(())
        }
        4 => {
            if can_lose_data(sim, node) {
                sim.wipe(node);
                restart_later(sim, node);
            }
            Ok(())
        }
        5 => {
            partition(sim, node);
            Ok(())
        }
        6 => {
            sim.blocked_links.clear();
            Ok(())
        }
        7 => {
            let failure = [Failure::Sync, Failure::Full][sim.random.random_range(0..2)];
            let operations = sim.random.random_range(0..4);
            sim.nodes[node].disk.fail_after(operations, failure);
            Ok(())
        }
        8 => isolate_leader(sim),
        _ => crash_successive_leaders(sim),
    }
}

/// Returns a random position in `weights` with a probability proportional to its weight.
fn weighted_choice(sim: &mut Simulation, weights: &[u32]) -> usize {
    let mut left = sim.random.random_range(0..weights.iter().sum::<u32>());
    for (kind, &weight) in weights.iter().enumerate() {
        if left < weight {
            return kind;
        }
        left -= weight;
    }
    0
}

/// Returns the active leader, if there is one, with a probability of one half, and any node
/// otherwise.
fn random_node(sim: &mut Simulation) -> usize {
    let any = sim.random.random_range(0..sim.nodes.len());
    let acting = sim.active_leader();
    if sim.random.random() {
        acting.unwrap_or(any)
    } else {
        any
    }
}

/// Wipes the data of the first replica, repairs the replica set, and stops a second replica after
/// `moment` milliseconds of the repair.
///
/// The second replica's data is wiped if every replica set keeps a majority without it, and with
/// `is_data_lost` in any case; otherwise the replica crashes.
pub fn run_repair(
    voters: usize,
    (first, second): (usize, usize),
    moment: u64,
    removes_first: bool,
    is_data_lost: bool,
) -> Result<(), Violation> {
    let mut sim = Simulation::new(moment, voters, 0, Conditions::RELIABLE, None);
    sim.run_until(5_000, |sim| {
        if let Some(leader) = sim.active_leader() {
            sim.propose(leader)?;
        }
        Ok(sim.history.acknowledged > 30)
    })?;
    sim.wipe(first);
    sim.start_after(50, first);
    let end = sim.now + moment;
    while sim.now < end {
        sim.run(10)?;
        repair_step(&mut sim, removes_first)?;
        if let Some(leader) = sim.active_leader() {
            sim.propose(leader)?;
        }
    }
    if is_data_lost || can_lose_data(&sim, second) {
        sim.wipe(second);
    } else {
        sim.crash(second);
    }
    sim.start_after(2_000, second);
    sim.run(1_000)?;
    check_recovery(&mut sim)
}

/// Starts a node again after a random pause.
fn restart_later(sim: &mut Simulation, node: usize) {
    let pause = [50, 1_000, 4_000][sim.random.random_range(0..3)];
    sim.start_after(pause, node);
}

/// Blocks one or both directions between a node and one or all of the others.
fn partition(sim: &mut Simulation, node: usize) {
    let (inbound, outbound) =
        [(true, true), (true, false), (false, true)][sim.random.random_range(0..3)];
    let one = sim.random.random_range(0..sim.nodes.len());
    let is_single: bool = sim.random.random();
    for other in 0..sim.nodes.len() {
        if other == node || is_single && other != one {
            continue;
        }
        if inbound {
            sim.blocked_links.push((other, node));
        }
        if outbound {
            sim.blocked_links.push((node, other));
        }
    }
}

/// Partitions a leader from one replica until that replica may stand for election, and then from
/// all.
fn isolate_leader(sim: &mut Simulation) -> Result<(), Violation> {
    let Some(leader) = sim.active_leader() else {
        return Ok(());
    };
    let other = (leader + sim.random.random_range(1..sim.nodes.len())) % sim.nodes.len();
    sim.blocked_links.extend([(leader, other), (other, leader)]);
    let pause = sim.random.random_range(700..1_700);
    sim.run(pause)?;
    for node in 0..sim.nodes.len() {
        sim.blocked_links.extend([(leader, node), (node, leader)]);
    }
    let pause = sim.random.random_range(0..1_500);
    sim.run(pause)?;
    sim.blocked_links.clear();
    Ok(())
}

/// Crashes several leaders in succession before they have replicated all their entries.
fn crash_successive_leaders(sim: &mut Simulation) -> Result<(), Violation> {
    for _ in 0..4 {
        let has_candidate = |sim: &mut Simulation| Ok(sim.candidate().is_some());
        sim.run_until(3_000, has_candidate)?;
        let Some(leader) = sim.candidate() else {
            return Ok(());
        };
        let pause = [0, 20, 100, 400][sim.random.random_range(0..4)];
        sim.run(pause)?;
        let is_cut_off: bool = sim.random.random();
        for node in 0..sim.nodes.len() {
            if is_cut_off {
                sim.blocked_links.push((leader, node));
            }
        }
        sim.propose(leader)?;
        let pause = sim.random.random_range(0..40);
        sim.run(pause)?;
        sim.blocked_links.clear();
        sim.crash(leader);
        restart_later(sim, leader);
    }
    Ok(())
}

/// Returns whether every replica set that a replica knows, or that a message may contain, keeps a
/// majority without the data of the node.
fn can_lose_data(sim: &Simulation, node: usize) -> bool {
    let others = (0..sim.nodes.len()).filter(|&other| other != node);
    let intact: Vec<_> = others.map(|other| sim.id(other)).collect();
    let keeps_majority = |known: &Vec<Identity>| {
        let left = known.iter().filter(|id| intact.contains(id)).count();
        known.is_empty() || left > known.len() / 2
    };
    sim.nodes
        .iter()
        .map(Node::voters)
        .all(|known| keeps_majority(&known))
        && sim
            .recent_wipes
            .iter()
            .all(|(_, known)| keeps_majority(known))
}

/// Carries out the next step of a repair. Every node's former identities are removed, at once with
/// `removes_first` or when the current identity has caught up, and the current one becomes a voter.
pub fn repair_step(sim: &mut Simulation, removes_first: bool) -> Result<(), Violation> {
    let Some(leader) = sim.active_leader() else {
        return Ok(());
    };
    let ticket = sim.next_ticket();
    let nodes = 0..sim.nodes.len();
    let event = nodes.filter_map(|node| next_change(sim, leader, node, removes_first, ticket));
    match event.min_by_key(|event| event.0) {
        Some((_, event)) => sim.step(leader, event),
        None => Ok(()),
    }
}

/// Returns the next membership change for a node with its rank. Removals come first, because a
/// replica is not promoted while too few voters respond.
fn next_change(
    sim: &Simulation,
    leader: usize,
    node: usize,
    removes_first: bool,
    ticket: u64,
) -> Option<(u8, Event)> {
    let replica = &sim.nodes[leader].process.as_ref()?.replica;
    let (members, status) = (replica.members(), replica.status(sim.local_time(leader)));
    let (&id, former) = sim.nodes[node].identities.split_last()?;
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

/// Ends all faults and checks that the replicas commit again, that nothing acknowledged is lost and
/// that the replica set is repaired.
fn check_recovery(sim: &mut Simulation) -> Result<(), Violation> {
    sim.blocked_links.clear();
    sim.conditions.loss_probability = 0.0;
    sim.conditions.duplicate_probability = 0.0;
    sim.conditions.max_delay = 5;
    sim.conditions.max_sync_delay = 5;
    for node in 0..sim.nodes.len() {
        sim.nodes[node].disk.clear_failure();
        sim.start_after(0, node);
    }
    let goal = sim.history.acknowledged;
    let done = sim.run_until(RECOVERY_PERIOD, |sim| {
        if let Some(leader) = sim.active_leader() {
            sim.propose(leader)?;
            repair_step(sim, false)?;
        }
        let reached = |n: &Node| n.process.as_ref().is_some_and(|p| p.machine.index >= goal);
        let all = sim.nodes.iter().all(reached);
        Ok(sim.history.acknowledged > goal && all && is_repaired(sim))
    })?;
    if !done {
        return Err(NO_PROGRESS.to_owned());
    }
    if let Some(leader) = sim.active_leader() {
        let ticket = sim.next_ticket();
        sim.step(leader, Event::Read { ticket })?;
    }
    Ok(())
}

/// Returns whether the voters in the leader's log are exactly the current identities of the nodes.
fn is_repaired(sim: &Simulation) -> bool {
    let leader = sim.active_leader();
    let process = leader.and_then(|leader| sim.nodes[leader].process.as_ref());
    process.is_some_and(|p| {
        let members = p.replica.members();
        members.voters.len() == sim.nodes.len()
            && (0..sim.nodes.len()).all(|node| members.is_voter(sim.id(node)))
    })
}
