//! The operators' command line.

mod args;
mod change;
mod check;
mod lines;
mod print;
mod settings;

use std::process::ExitCode;

use masticlock_core::{error, name, time::Span};
use tokio::runtime;

use self::{
    args::{Action, Args, Rollout},
    change::Order,
    settings::Settings,
};
use crate::client::Control;

/// Longest wait for an answer that is not held, over all replicas.
const LIMIT: Span = Span::from_secs(8);

/// Columns of help and of messages about arguments.
const MESSAGE_WIDTH: usize = 100;

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Done, and in force if it is a change.
    Done,
    /// Refused. Nothing was changed.
    Refused,
    /// Bad arguments, settings or files. Nothing was sent.
    Usage,
    /// Accepted, and not yet in force everywhere.
    Pending,
    /// The outcome is not known. The same command can be sent again.
    Unknown,
    /// No process answered. Nothing was changed.
    Unreachable,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(match exit {
            Exit::Done => 0u8,
            Exit::Refused => 1,
            Exit::Usage => 2,
            Exit::Pending => 3,
            Exit::Unknown => 4,
            Exit::Unreachable => 5,
        })
    }
}

/// An error with the way in which the command ends.
#[derive(Debug, thiserror::Error)]
#[error("{message}")]
pub struct Failure {
    exit: Exit,
    message: String,
}

impl Failure {
    // Taken by value because it is passed to `map_err`.
    #[allow(clippy::needless_pass_by_value)]
    fn usage<E>(error: E) -> Self
    where
        E: ToString,
    {
        Self {
            exit: Exit::Usage,
            message: error.to_string(),
        }
    }
}

impl From<error::Error> for Failure {
    fn from(error: error::Error) -> Self {
        let exit = match error.kind {
            // Only a change has an outcome that can be unknown.
            error::Kind::CommandUnknown | error::Kind::NoLeader => Exit::Unreachable,
            _ => Exit::Refused,
        };
        Self {
            exit,
            message: error.to_string(),
        }
    }
}

impl From<name::Error> for Failure {
    fn from(error: name::Error) -> Self {
        Self::usage(error)
    }
}

/// Runs the command line of this process.
#[must_use]
pub fn run() -> ExitCode {
    let args = match args::args().run_inner(bpaf::Args::current_args()) {
        Ok(args) => args,
        Err(failure) => {
            failure.print_message(MESSAGE_WIDTH);
            // Help and version are not errors.
            return match failure.exit_code() {
                0 => Exit::Done.into(),
                _ => Exit::Usage.into(),
            };
        }
    };
    let exit = match dispatch(args) {
        Ok(exit) => exit,
        Err(failure) => {
            eprintln!("masticlock: {failure}");
            failure.exit
        }
    };
    exit.into()
}

fn dispatch(args: Args) -> Result<Exit, Failure> {
    match args.action {
        Action::Check { kind, file } => check::run(kind, &file, args.json),
        Action::Recover { write, file } => check::recover(&file, write, args.json),
        Action::Timeline { lines } if !lines.is_empty() => lines::timeline(&lines, args.json),
        Action::Explain { lines, request } if !lines.is_empty() => {
            lines::explain(&lines, &request, args.json)
        }
        action => {
            let settings = Settings::read(&args.settings)?;
            let runtime = runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .map_err(Failure::usage)?;
            runtime.block_on(connected(action, &settings, args.json))
        }
    }
}

async fn connected(action: Action, settings: &Settings, json: bool) -> Result<Exit, Failure> {
    let control = Control::new(settings.control.clone(), &settings.secret)?;
    match action {
        Action::Status => print::status(&control.status(LIMIT).await?, json),
        Action::Rollout {
            rollout: Rollout::Status,
        } => print::rollouts(&print::config(&control).await?, json),
        Action::Outcome { id } => change::outcome(&control, &id, json).await,
        Action::Bills { account } => print::bills(&control, settings, account, json).await,
        Action::Timeline { .. } => print::timeline(&control, settings, json).await,
        Action::Explain { request, .. } => print::explain(&control, settings, &request, json).await,
        action => match Order::try_from(action)? {
            Order::Change { change, commit } => {
                change::submit(&control, change, commit, json).await
            }
            Order::Local { limit, at, commit } => {
                change::restrict(&control, limit, &at, commit, json).await
            }
        },
    }
}
