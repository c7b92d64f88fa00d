use masticlock_core::{
    command::Command,
    config::{Change, Config, Restriction},
    evidence::{Delta, Pool},
    name,
    rollout::{Action, Controller},
    time::Time,
};

use crate::rpc;

/// Operator name of the leader's own commands.
const OPERATOR: &str = "rollout-controller";

/// Evidence that the leader has, and the rollouts that it moves.
#[derive(Debug)]
pub struct Rollouts {
    id: u64,
    pool: Pool,
    controller: Controller,
    /// Messages that were logged last, so that each is logged once.
    told: Vec<String>,
}

impl Rollouts {
    /// Returns rollouts without evidence. `id` differs between two processes.
    #[must_use]
    pub fn new(instance: name::Instance, id: u64, now: Time) -> Self {
        Self {
            // 0 stands for no leader in the reports of instances.
            id: id.max(1),
            pool: Pool::new(instance, id, now),
            controller: Controller::new(),
            told: Vec::new(),
        }
    }

    /// Takes a report and answers it.
    pub fn share(&mut self, share: &rpc::Share, now: Time) -> rpc::Shared {
        self.pool.tick(now);
        self.pool.merge(&share.delta, now);
        let totals = if share.totals {
            self.pool.aggregated()
        } else {
            Delta::default()
        };
        rpc::Shared {
            leader: self.id,
            totals,
        }
    }

    /// Returns the commands that move rollouts on or back.
    pub fn step(&mut self, config: &Config, now: Time) -> Vec<Command> {
        let mut commands = Vec::new();
        let mut told = Vec::new();
        for action in self.controller.step(config, &self.pool, now) {
            match action {
                Action::Change(change) => commands.extend(command(config, change)),
                Action::Hold { version, reason } => {
                    told.push(format!("rollout of {version} stays at its stage: {reason}"));
                }
                Action::Alarm { version, reason } => {
                    told.push(format!("stable version {version} turned bad: {reason}"));
                }
            }
        }
        for text in &told {
            if !self.told.contains(text) {
                log::warn!("{text}");
            }
        }
        self.told = told;
        commands
    }
}

/// Returns the command of a change, with an id that follows from the change and the stage.
fn command(config: &Config, change: Change) -> Option<Command> {
    let (Change::AdvanceRollout { version, .. }
    | Change::RollBack { version, .. }
    | Change::Restrict(Restriction::Withdraw(version))) = &change
    else {
        return None;
    };
    let rollout = config.rollouts.iter().find(|r| r.version == *version);
    let since = rollout.map_or(config.revision, |r| r.since);
    let step = match &change {
        Change::AdvanceRollout { .. } => "advance",
        Change::RollBack { .. } => "back",
        _ => "withdraw",
    };
    let digest = blake3::hash(version.as_str().as_bytes()).to_hex();
    let id = format!("rollout-{step}-{since}-{}", &digest[..16]);
    Some(Command {
        id: name::Command::try_from(id).ok()?,
        operator: OPERATOR.to_owned(),
        expects: None,
        change,
    })
}
