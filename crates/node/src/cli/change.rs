//! Commands that change the configuration.

use masticlock_core::{
    command::{Command, Outcome},
    config::{Change, Restriction, Stage},
    error, name,
    time::Span,
};

use super::{
    Exit, Failure, LIMIT,
    args::{Action, Commit, Rollout, Subject},
    print, settings,
};
use crate::{client::Control, rpc};

/// A change and where it goes.
pub enum Order {
    /// A change through the log.
    Change {
        /// The change.
        change: Change,
        /// How it is sent.
        commit: Commit,
    },
    /// A restriction at one entry instance.
    Local {
        /// The restriction.
        limit: Restriction,
        /// Address of the entry instance.
        at: String,
        /// How it is sent.
        commit: Commit,
    },
}

impl TryFrom<Subject> for Restriction {
    type Error = name::Error;

    fn try_from(subject: Subject) -> Result<Self, name::Error> {
        Ok(match subject {
            Subject::Version(text) => Self::Withdraw(text.try_into()?),
            Subject::Domain(text) => Self::TakeOut(text.try_into()?),
            Subject::Upstream(text) => Self::Drain(text.try_into()?),
            Subject::Account(text) => Self::Block(text.try_into()?),
        })
    }
}

impl TryFrom<Action> for Order {
    type Error = Failure;

    fn try_from(action: Action) -> Result<Self, Failure> {
        let (change, commit) = match action {
            Action::Import { commit, file } => (Change::Import(settings::parse(&file)?), commit),
            Action::Rules { commit, file } => (Change::SetRules(settings::parse(&file)?), commit),
            Action::Restrict {
                at: Some(at),
                commit,
                subject,
            } => {
                return Ok(Self::Local {
                    limit: subject.try_into()?,
                    at,
                    commit,
                });
            }
            Action::Restrict {
                at: None,
                commit,
                subject,
            } => (Change::Restrict(subject.try_into()?), commit),
            Action::Allow { commit, subject } => (Change::Allow(subject.try_into()?), commit),
            Action::Lift { commit, id } => (Change::Lift(id.try_into()?), commit),
            Action::Withdraw { commit, version } => (
                Change::Restrict(Restriction::Withdraw(version.try_into()?)),
                commit,
            ),
            Action::TakeOut { commit, domain } => (
                Change::Restrict(Restriction::TakeOut(domain.try_into()?)),
                commit,
            ),
            Action::Return { commit, domain } => (
                Change::Allow(Restriction::TakeOut(domain.try_into()?)),
                commit,
            ),
            Action::Rollout { rollout } => rollout_change(rollout)?,
            other => return Err(Failure::usage(format!("{other:?} changes nothing"))),
        };
        Ok(Self::Change { change, commit })
    }
}

fn rollout_change(rollout: Rollout) -> Result<(Change, Commit), Failure> {
    match rollout {
        Rollout::Start {
            baseline,
            shares,
            exposure,
            at_least,
            commit,
            version,
        } => {
            let change = Change::StartRollout {
                version: version.try_into()?,
                baseline: baseline.try_into()?,
                stages: stages(&shares, exposure, Span::from_secs(at_least))?,
            };
            Ok((change, commit))
        }
        Rollout::Advance {
            from,
            commit,
            version,
        } => {
            let version = version.try_into()?;
            Ok((Change::AdvanceRollout { version, from }, commit))
        }
        Rollout::Stop {
            reason,
            commit,
            version,
        } => {
            let version = version.try_into()?;
            Ok((Change::RollBack { version, reason }, commit))
        }
        Rollout::Status => Err(Failure::usage("rollout status changes nothing")),
    }
}

fn stages(shares: &str, exposure: u64, at_least: Span) -> Result<Vec<Stage>, Failure> {
    shares
        .split(',')
        .map(|text| {
            let share = text
                .trim()
                .parse()
                .map_err(|_| Failure::usage(format!("{text} is not a share between 0 and 1")))?;
            Ok(Stage {
                share,
                exposure,
                at_least,
            })
        })
        .collect()
}

/// Returns the given id, or a new random one.
fn command_id(commit: &Commit) -> Result<name::Command, Failure> {
    let text = commit
        .id
        .clone()
        .unwrap_or_else(|| format!("cmd-{:016x}", rand::random::<u64>()));
    Ok(text.try_into()?)
}

/// Submits a change and prints whether it is accepted and in force.
pub async fn submit(
    control: &Control,
    change: Change,
    commit: Commit,
    json: bool,
) -> Result<Exit, Failure> {
    let id = command_id(&commit)?;
    let wait = Span::from_secs(commit.wait).min(rpc::MAX_WAIT);
    let submit = rpc::Submit {
        command: Command {
            id: id.clone(),
            operator: commit.operator,
            expects: commit.expects,
            change,
        },
        wait,
    };
    let submitted = control
        .submit(&submit, LIMIT.plus(wait))
        .await
        .map_err(|error| match error.kind {
            error::Kind::CommandUnknown => Failure {
                exit: Exit::Unknown,
                message: format!("{error}; send it again with --id {id}"),
            },
            _ => Failure::from(error),
        })?;
    print::submitted(&id, &submitted, json)?;
    Ok(exit(&submitted))
}

fn exit(submitted: &rpc::Submitted) -> Exit {
    match (&submitted.outcome, submitted.in_force) {
        (Outcome::Refused { .. }, _) => Exit::Refused,
        (Outcome::Accepted { .. }, true) => Exit::Done,
        (Outcome::Accepted { .. }, false) => Exit::Pending,
    }
}

/// Prints the recorded outcome of an earlier command.
pub async fn outcome(control: &Control, id: &str, json: bool) -> Result<Exit, Failure> {
    let id = name::Command::try_from(id)?;
    let lookup = rpc::Lookup {
        id: id.clone(),
        wait: Span::ZERO,
    };
    let submitted = control.outcome(&lookup, LIMIT).await?;
    print::submitted(&id, &submitted, json)?;
    Ok(exit(&submitted))
}

/// Applies a restriction at one entry instance, without the majority.
pub async fn restrict(
    control: &Control,
    limit: Restriction,
    at: &str,
    commit: Commit,
    json: bool,
) -> Result<Exit, Failure> {
    let id = command_id(&commit)?;
    let restrict = rpc::Restrict {
        id: name::Restriction::try_from(id.as_str())?,
        limit,
    };
    let () = control
        .pool()
        .call(at, rpc::OPERATOR_RESTRICT, &restrict, LIMIT)
        .await
        .map_err(|failure| failure.error)?;
    print::restricted(&restrict, at, json)
}
